"""Who there is, as the root knows it, and what each node is told of it: its place in the tree, and whom to watch.

Pure. Both follow from rendezvous hashing (Thaler and Ravishankar, 1998), so a node that comes or goes moves few others.
The roster is soft state: nodes join again and again, and one that has not for long is dropped.
"""

from __future__ import annotations

import hashlib
import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass

from cypressbeam.protocol import frames

#: Children of the relays with the thinnest links, and of any one at most; in between by what a link carries.
FAN_OUT, MOST_FAN_OUT = 4, 24
#: How many others a node watches.
WATCHED = 2
#: A node joins again after so long, and is dropped after missing it for longer.
RENEW_S = 3.0
EXPIRES_S = 10.0
#: One that has asked for its place again and again for so long, no longer apart than this, and has not heard the
#: answer, feeds nobody: what it sends comes through, and what is sent to it does not.
DEAF_S, AGAIN_S = 0.5, 1.5


def weight(key: str, name: str) -> int:
    """The rendezvous weight of a name for a key: the same on every node."""
    return int.from_bytes(hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest(), "big")


@dataclass(slots=True)
class Known:
    name: str
    ip: str
    zone: str
    flags: int
    seen_s: float
    kbps: int = 1_000_000
    shunned: bool = False
    """Somebody has lost it; until it joins again it gets no children."""
    since: int = 0
    """The root's epoch when it joined first: whoever has heard the root since was given something of that or later."""
    unheard_s: float | None = None
    """When it joined without having heard the root, first of several times."""
    deaf: bool = False

    def doubtful(self) -> bool:
        return self.shunned or self.deaf

    def listen(self, given: int, now_s: float) -> None:
        """A join has come: was the answer to those before heard?"""
        if given >= max(self.since, 1):
            self.unheard_s, self.deaf = None, False
        elif self.unheard_s is None or now_s - self.seen_s > AGAIN_S:
            self.unheard_s = now_s
        else:
            self.deaf = self.deaf or now_s - self.unheard_s >= DEAF_S


def feeders(order: list[Known]) -> list[Known | None]:
    """Who feeds each: those that stand first, as many as their links carry beside the thinnest one."""
    thinnest = min((known.kbps for known in order), default=1)
    found: list[Known | None] = [None]
    for known in order:
        found += [known] * min(FAN_OUT * max(known.kbps // thinnest, 1), MOST_FAN_OUT)
        if len(found) >= len(order):
            break
    return found[: len(order)]


class Roster:
    """All nodes, at the root."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.nodes: dict[str, Known] = {}
        self.orders: dict[str, list[Known]] = {}
        self.feeders: dict[str, list[Known | None]] = {}
        """Who feeds each of a zone's order; nobody there feeds the first."""
        # Worked out anew for each join they cost the root of 1,000 nodes a third of its processor.
        self.watching: dict[str, list[Known]] = {}
        self.names: list[str] = []
        self.stale = True

    def join(self, frame: frames.JoinRequest, now_s: float, epoch: int = 0) -> None:
        """A node joins, or joins again, at a root that leads in this epoch."""
        known = self.nodes.get(frame.name)
        if known is not None and (known.ip, known.zone, known.flags, known.kbps) == (
            frame.ip,
            frame.zone,
            frame.flags,
            frame.kbps,
        ):
            before = known.doubtful()
            known.listen(frame.acknowledged_epoch, now_s)
            known.seen_s = now_s
            known.shunned = False
            self.stale = self.stale or known.doubtful() is not before
        else:
            self.drop(frame.name)
            self.enter(Known(frame.name, frame.ip, frame.zone, frame.flags, now_s, frame.kbps, since=epoch))
        for other in self.nodes.values():
            if frame.lost_parent and other.ip == frame.lost_parent and not other.shunned and other.name != frame.name:
                other.shunned = self.stale = True

    def enter(self, known: Known) -> None:
        self.nodes[known.name] = known
        self.stale = True
        if known.flags & frames.SERVES_CLIENTS:
            insort(self.names, known.name)
        for name, watched in self.watching.items():
            self.watching[name] = self.nearest(name, [*watched, known])

    def drop(self, name: str) -> None:
        known = self.nodes.pop(name, None)
        if known is None:
            return
        self.stale = True
        if known.flags & frames.SERVES_CLIENTS:
            self.names.remove(name)
        self.watching = {
            other: watched for other, watched in self.watching.items() if other != name and known not in watched
        }

    def expire(self, now_s: float) -> list[str]:
        """Drop those that have not joined for long; returns their names."""
        gone = [name for name, known in self.nodes.items() if now_s - known.seen_s > EXPIRES_S]
        for name in gone:
            self.drop(name)
        return gone

    def fronts(self, zone: str | None = None) -> int:
        """How many nodes carry traffic, in all or in a zone."""
        return sum(
            1 for known in self.nodes.values() if known.flags & frames.SERVES_CLIENTS and zone in (None, known.zone)
        )

    def order(self, zone: str) -> list[Known]:
        """The nodes of a zone as they stand in its tree: the root first, fast links before thin ones, then by weight;
        doubtful ones, and those that can't keep up, last."""
        if self.stale:
            self.orders, self.feeders = {}, {}
            self.stale = False
        if zone not in self.orders:
            here = [known for known in self.nodes.values() if known.zone == zone]
            self.orders[zone] = sorted(
                here,
                key=lambda k: (
                    k.name != self.me,
                    k.doubtful() or bool(k.flags & frames.IS_OVERLOADED),
                    -k.kbps,
                    weight("tree", k.name),
                ),
            )
            self.feeders[zone] = feeders(self.orders[zone])
        return self.orders[zone]

    def parents(self, known: Known, root: str) -> tuple[str, ...]:
        """Addresses to attach to, best first; the root itself is the last resort. It never leads in a circle: a
        parent stands before its children in the zone's order, and the first is fed by the root."""
        at = self.order(known.zone).index(known)
        feeder = self.feeders[known.zone][at]
        if feeder is None or feeder.doubtful() or feeder.ip == root:
            return (root,)
        return (feeder.ip, root)

    def watches(self, known: Known) -> list[Known]:
        """The few that this node watches."""
        if known.name not in self.watching:
            self.watching[known.name] = self.nearest(known.name, list(self.nodes.values()))
        return self.watching[known.name]

    def nearest(self, name: str, others: list[Known]) -> list[Known]:
        """Of the others those that weigh most for a name."""
        return heapq.nlargest(
            WATCHED, (other for other in others if other.name != name), key=lambda other: weight(name, other.name)
        )

    def place(
        self, name: str, epoch: int, members: tuple[str, ...], root: str, fronts: int, group: tuple[str, ...] = ()
    ) -> frames.ParentAssignment:
        """What a node is told. `fronts` is how many carry traffic, 0 while that is not known."""
        known = self.nodes[name]
        watched = self.watches(known)
        return frames.ParentAssignment(
            epoch,
            members,
            self.parents(known, root),
            tuple(other.ip for other in watched),
            tuple(other.name for other in watched),
            fronts,
            self.fronts(known.zone),
            bisect_left(self.names, name) if known.flags & frames.SERVES_CLIENTS else 0,
            group,
        )
