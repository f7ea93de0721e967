"""Who there is, as the root knows it, and what each node is told of it: its place in the tree, and whom to watch.

Pure. Both follow from rendezvous hashing (Thaler and Ravishankar, 1998), so a node that comes or goes moves few others.
The roster is soft state: nodes join again and again, and one that has not for long is dropped.
"""

from __future__ import annotations

import hashlib
import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass

from cypressbeam import frames

#: Children of one relay within its zone.
FAN_OUT = 4
#: How many others a node watches.
WATCHED = 2
#: A node joins again after so long, and is dropped after missing it for longer.
RENEW_S = 3.0
EXPIRES_S = 10.0


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
    shunned: bool = False
    """Somebody has lost it; until it joins again it gets no children."""


class Roster:
    """All nodes, at the root."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.nodes: dict[str, Known] = {}
        self.orders: dict[str, list[Known]] = {}
        # Worked out anew for each join they cost the root of 1,000 nodes a third of its processor.
        self.watching: dict[str, list[Known]] = {}
        self.names: list[str] = []
        self.stale = True

    def join(self, frame: frames.Join, now_s: float) -> None:
        known = self.nodes.get(frame.name)
        if known is not None and (known.ip, known.zone, known.flags) == (frame.ip, frame.zone, frame.flags):
            known.seen_s = now_s
            self.stale = self.stale or known.shunned
            known.shunned = False
        else:
            self.drop(frame.name)
            self.enter(Known(frame.name, frame.ip, frame.zone, frame.flags, now_s))
        for other in self.nodes.values():
            if frame.lost and other.ip == frame.lost and not other.shunned and other.name != frame.name:
                other.shunned = self.stale = True

    def enter(self, known: Known) -> None:
        self.nodes[known.name] = known
        self.stale = True
        if known.flags & frames.FRONT:
            insort(self.names, known.name)
        for name, watched in self.watching.items():
            self.watching[name] = self.nearest(name, [*watched, known])

    def drop(self, name: str) -> None:
        known = self.nodes.pop(name, None)
        if known is None:
            return
        self.stale = True
        if known.flags & frames.FRONT:
            self.names.remove(name)
        self.watching = {other: watched for other, watched in self.watching.items()
                         if other != name and known not in watched}

    def expire(self, now_s: float) -> list[str]:
        """Drop those that have not joined for long; returns their names."""
        gone = [name for name, known in self.nodes.items() if now_s - known.seen_s > EXPIRES_S]
        for name in gone:
            self.drop(name)
        return gone

    def fronts(self, zone: str | None = None) -> int:
        """How many nodes carry traffic, in all or in a zone."""
        return sum(1 for known in self.nodes.values()
                   if known.flags & frames.FRONT and zone in (None, known.zone))

    def order(self, zone: str) -> list[Known]:
        """The traffic-carrying nodes of a zone as they stand in its tree: by weight, doubtful ones last."""
        if self.stale:
            self.orders = {}
            self.stale = False
        if zone not in self.orders:
            fronts = [known for known in self.nodes.values()
                      if known.zone == zone and known.flags & frames.FRONT]
            self.orders[zone] = sorted(fronts, key=lambda k: (k.shunned, weight("tree", k.name)))
        return self.orders[zone]

    def parents(self, known: Known, root: str) -> tuple[str, ...]:
        """Addresses to attach to, best first; the root itself is the last resort. It never leads in a circle: a
        parent stands before its children in the zone's order, and the first is fed by the root."""
        if not known.flags & frames.FRONT:
            return (root,)
        order = self.order(known.zone)
        at = order.index(known)
        if at == 0 or order[(at - 1) // FAN_OUT].shunned:
            return (root,)
        return (order[(at - 1) // FAN_OUT].ip, root)

    def watches(self, known: Known) -> list[Known]:
        """The few that this node watches."""
        if known.name not in self.watching:
            self.watching[known.name] = self.nearest(known.name, list(self.nodes.values()))
        return self.watching[known.name]

    def nearest(self, name: str, others: list[Known]) -> list[Known]:
        """Of the others those that weigh most for a name."""
        return heapq.nlargest(WATCHED, (other for other in others if other.name != name),
                              key=lambda other: weight(name, other.name))

    def place(self, name: str, epoch: int, members: tuple[str, ...], root: str, fronts: int) -> frames.Place:
        """What a node is told. `fronts` is how many carry traffic, 0 while that is not known."""
        known = self.nodes[name]
        watched = self.watches(known)
        return frames.Place(
            epoch, members, self.parents(known, root), tuple(other.ip for other in watched),
            tuple(other.name for other in watched), fronts, self.fronts(known.zone),
            bisect_left(self.names, name) if known.flags & frames.FRONT else 0)
