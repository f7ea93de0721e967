"""The nodes that the root knows, and what each is assigned: its position in the tree, and the peers to monitor.

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
FAN_OUT, MAX_FAN_OUT = 4, 24
#: How many others a node watches.
PROBED_PEERS = 2
#: A node joins again after so long, and is dropped after missing it for longer.
RENEWAL_INTERVAL_S = 3.0
EXPIRY_S = 10.0
#: One that has asked for its place again and again for so long, no longer apart than this, and has not heard the
#: answer, feeds nobody: what it sends comes through, and what is sent to it does not.
DEAF_S, RETRY_WINDOW_S = 0.5, 1.5


def weight(key: str, name: str) -> int:
    """The rendezvous weight of a name for a key: the same on every node."""
    return int.from_bytes(hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest(), "big")


@dataclass(slots=True)
class NodeRecord:
    """What the leader knows of a node, by its registrations."""

    name: str
    ip: str
    zone: str
    flags: int
    seen_s: float
    kbps: int = 1_000_000
    is_suspected: bool = False
    """Somebody has lost it; until it joins again it gets no children."""
    registered_epoch: int = 0
    """The root's epoch when it joined first: whoever has heard the root since was given something of that or later."""
    unacknowledged_since_s: float | None = None
    """When it joined without having heard the root, first of several times."""
    is_deaf: bool = False

    def is_doubtful(self) -> bool:
        """Whether the node should have no children."""
        return self.is_suspected or self.is_deaf

    def note_acknowledgement(self, given: int, now_s: float) -> None:
        """A join has come: was the answer to those before heard?"""
        if given >= max(self.registered_epoch, 1):
            self.unacknowledged_since_s, self.is_deaf = None, False
        elif self.unacknowledged_since_s is None or now_s - self.seen_s > RETRY_WINDOW_S:
            self.unacknowledged_since_s = now_s
        else:
            self.is_deaf = self.is_deaf or now_s - self.unacknowledged_since_s >= DEAF_S


def assign_parents(order: list[NodeRecord]) -> list[NodeRecord | None]:
    """Who feeds each: those that stand first, as many as their links carry beside the thinnest one."""
    thinnest = min((record.kbps for record in order), default=1)
    found: list[NodeRecord | None] = [None]
    for record in order:
        found += [record] * min(FAN_OUT * max(record.kbps // thinnest, 1), MAX_FAN_OUT)
        if len(found) >= len(order):
            break
    return found[: len(order)]


class NodeRegistry:
    """All nodes, at the root."""

    def __init__(self, me: str) -> None:
        self.own_name = me
        self.nodes: dict[str, NodeRecord] = {}
        self.orders_by_zone: dict[str, list[NodeRecord]] = {}
        self.parents_by_zone: dict[str, list[NodeRecord | None]] = {}
        """Who feeds each of a zone's order; nobody there feeds the first."""
        # Worked out anew for each join they cost the root of 1,000 nodes a third of its processor.
        self.probed_by: dict[str, list[NodeRecord]] = {}
        self.names: list[str] = []
        self.stale = True

    def register(self, frame: frames.JoinRequest, now_s: float, epoch: int = 0) -> None:
        """A node joins, or joins again, at a root that leads in this epoch."""
        record = self.nodes.get(frame.name)
        if record is not None and (record.ip, record.zone, record.flags, record.kbps) == (
            frame.ip,
            frame.zone,
            frame.flags,
            frame.kbps,
        ):
            before = record.is_doubtful()
            record.note_acknowledgement(frame.acknowledged_epoch, now_s)
            record.seen_s = now_s
            record.is_suspected = False
            self.stale = self.stale or record.is_doubtful() is not before
        else:
            self.remove(frame.name)
            self.add(
                NodeRecord(frame.name, frame.ip, frame.zone, frame.flags, now_s, frame.kbps, registered_epoch=epoch)
            )
        for other in self.nodes.values():
            if (
                frame.lost_parent
                and other.ip == frame.lost_parent
                and not other.is_suspected
                and other.name != frame.name
            ):
                other.is_suspected = self.stale = True

    def add(self, record: NodeRecord) -> None:
        """A node that is new, or has come back as another one."""
        self.nodes[record.name] = record
        self.stale = True
        if record.flags & frames.SERVES_CLIENTS:
            insort(self.names, record.name)
        for name, watched in self.probed_by.items():
            self.probed_by[name] = self.nearest(name, [*watched, record])

    def remove(self, name: str) -> None:
        """A node is gone."""
        record = self.nodes.pop(name, None)
        if record is None:
            return
        self.stale = True
        if record.flags & frames.SERVES_CLIENTS:
            self.names.remove(name)
        self.probed_by = {
            other: watched for other, watched in self.probed_by.items() if other != name and record not in watched
        }

    def expire(self, now_s: float) -> list[str]:
        """Drop those that have not joined for long; returns their names."""
        gone = [name for name, record in self.nodes.items() if now_s - record.seen_s > EXPIRY_S]
        for name in gone:
            self.remove(name)
        return gone

    def edge_count(self, zone: str | None = None) -> int:
        """How many nodes carry traffic, in all or in a zone."""
        return sum(
            1 for record in self.nodes.values() if record.flags & frames.SERVES_CLIENTS and zone in (None, record.zone)
        )

    def order(self, zone: str) -> list[NodeRecord]:
        """The nodes of a zone as they stand in its tree: the root first, fast links before thin ones, then by weight;
        doubtful ones, and those that can't keep up, last."""
        if self.stale:
            self.orders_by_zone, self.parents_by_zone = {}, {}
            self.stale = False
        if zone not in self.orders_by_zone:
            here = [record for record in self.nodes.values() if record.zone == zone]
            self.orders_by_zone[zone] = sorted(
                here,
                key=lambda k: (
                    k.name != self.own_name,
                    k.is_doubtful() or bool(k.flags & frames.IS_OVERLOADED),
                    -k.kbps,
                    weight("tree", k.name),
                ),
            )
            self.parents_by_zone[zone] = assign_parents(self.orders_by_zone[zone])
        return self.orders_by_zone[zone]

    def parents(self, record: NodeRecord, root: str) -> tuple[str, ...]:
        """Addresses to attach to, best first; the root itself is the last resort. It never leads in a circle: a
        parent stands before its children in the zone's order, and the first is fed by the root."""
        at = self.order(record.zone).index(record)
        feeder = self.parents_by_zone[record.zone][at]
        if feeder is None or feeder.is_doubtful() or feeder.ip == root:
            return (root,)
        return (feeder.ip, root)

    def probed_peers(self, record: NodeRecord) -> list[NodeRecord]:
        """The few that this node watches."""
        if record.name not in self.probed_by:
            self.probed_by[record.name] = self.nearest(record.name, list(self.nodes.values()))
        return self.probed_by[record.name]

    def nearest(self, name: str, others: list[NodeRecord]) -> list[NodeRecord]:
        """Of the others those that weigh most for a name."""
        return heapq.nlargest(
            PROBED_PEERS, (other for other in others if other.name != name), key=lambda other: weight(name, other.name)
        )

    def assignment(
        self, name: str, epoch: int, members: tuple[str, ...], root: str, fronts: int, group: tuple[str, ...] = ()
    ) -> frames.ParentAssignment:
        """The assignment of a node. `fronts` is how many carry traffic, 0 while that is not known."""
        record = self.nodes[name]
        watched = self.probed_peers(record)
        return frames.ParentAssignment(
            epoch,
            members,
            self.parents(record, root),
            tuple(other.ip for other in watched),
            tuple(other.name for other in watched),
            fronts,
            self.edge_count(record.zone),
            bisect_left(self.names, name) if record.flags & frames.SERVES_CLIENTS else 0,
            group,
        )
