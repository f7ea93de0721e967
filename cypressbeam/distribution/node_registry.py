"""The nodes registered at the root, and the assignment of each: its position in the tree, and the peers to monitor.

Does no I/O. Assignments use rendezvous hashing (Thaler and Ravishankar, 1998), so that a node that joins or leaves
moves few others. The registry is soft state: nodes renew their registration periodically, and expire if they don't."""

from __future__ import annotations

import hashlib
import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass

from cypressbeam.protocol import frames

#: Number of children of the nodes with the slowest links, and the maximum for any node; in between it is proportional
#: to the link's rate.
FAN_OUT, MAX_FAN_OUT = 4, 24
#: Number of peers that a node probes.
PROBED_PEERS = 2
#: Interval at which nodes renew their registration, and the time without a renewal after which one expires.
RENEWAL_INTERVAL_S = 3.0
EXPIRY_S = 10.0
#: A node that has requested its assignment repeatedly for `UNREACHABLE_AFTER_S`, at intervals of at most
#: `RETRY_WINDOW_S`, without acknowledging an answer gets no children: its messages arrive, but those sent to it don't.
UNREACHABLE_AFTER_S, RETRY_WINDOW_S = 0.5, 1.5


def weight(key: str, name: str) -> int:
    """The rendezvous weight of a name for a key; the same on every node."""
    return int.from_bytes(hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest(), "big")


@dataclass(slots=True)
class NodeRecord:
    """A registered node."""

    name: str
    ip: str
    zone: str
    flags: int
    seen_s: float
    kbps: int = 1_000_000
    is_suspected: bool = False
    """A child reported it as lost; it gets no children until it registers again."""
    registered_epoch: int = 0
    """The root's epoch at the first registration. A node that has received anything from the root since then
    acknowledges this epoch or a later one."""
    unacknowledged_since_s: float | None = None
    """Time of the first of several registrations that did not acknowledge the root's answers."""
    is_unreachable: bool = False

    def is_unreliable(self) -> bool:
        """Whether the node should not get children."""
        return self.is_suspected or self.is_unreachable

    def note_acknowledgement(self, acknowledged_epoch: int, now_s: float) -> None:
        """Update `is_unreachable` from the epoch that a registration acknowledges."""
        if acknowledged_epoch >= max(self.registered_epoch, 1):
            self.unacknowledged_since_s, self.is_unreachable = None, False
        elif self.unacknowledged_since_s is None or now_s - self.seen_s > RETRY_WINDOW_S:
            self.unacknowledged_since_s = now_s
        else:
            self.is_unreachable = self.is_unreachable or now_s - self.unacknowledged_since_s >= UNREACHABLE_AFTER_S


def assign_parents(order: list[NodeRecord]) -> list[NodeRecord | None]:
    """The parent of each node: nodes at the front of the order get as many children as their link's rate allows,
    relative to the slowest one."""
    slowest_kbps = min((record.kbps for record in order), default=1)
    parents: list[NodeRecord | None] = [None]
    for record in order:
        parents += [record] * min(FAN_OUT * max(record.kbps // slowest_kbps, 1), MAX_FAN_OUT)
        if len(parents) >= len(order):
            break
    return parents[: len(order)]


class NodeRegistry:
    """All registered nodes, at the root."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.nodes: dict[str, NodeRecord] = {}
        self.orders_by_zone: dict[str, list[NodeRecord]] = {}
        self.parents_by_zone: dict[str, list[NodeRecord | None]] = {}
        """The parent of each node in a zone's order; None for the first one."""
        # Cached: recomputing these for each registration took a third of the root's CPU time with 1,000 nodes.
        self.probed_by: dict[str, list[NodeRecord]] = {}
        self.names: list[str] = []
        self.stale = True

    def register(self, frame: frames.JoinRequest, now_s: float, epoch: int = 0) -> None:
        """Register a node, or renew its registration, at a root that leads in this epoch."""
        record = self.nodes.get(frame.name)
        if record is not None and (record.ip, record.zone, record.flags, record.kbps) == (
            frame.ip,
            frame.zone,
            frame.flags,
            frame.kbps,
        ):
            before = record.is_unreliable()
            record.note_acknowledgement(frame.acknowledged_epoch, now_s)
            record.seen_s = now_s
            record.is_suspected = False
            self.stale = self.stale or record.is_unreliable() is not before
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
        """Add a node that is new or whose properties have changed."""
        self.nodes[record.name] = record
        self.stale = True
        if record.flags & frames.SERVES_CLIENTS:
            insort(self.names, record.name)
        for name, probed in self.probed_by.items():
            self.probed_by[name] = self.nearest(name, [*probed, record])

    def remove(self, name: str) -> None:
        """Remove a node, if it is registered."""
        record = self.nodes.pop(name, None)
        if record is None:
            return
        self.stale = True
        if record.flags & frames.SERVES_CLIENTS:
            self.names.remove(name)
        self.probed_by = {
            other: probed for other, probed in self.probed_by.items() if other != name and record not in probed
        }

    def expire(self, now_s: float) -> list[str]:
        """Remove nodes whose registration has expired; returns their names."""
        expired = [name for name, record in self.nodes.items() if now_s - record.seen_s > EXPIRY_S]
        for name in expired:
            self.remove(name)
        return expired

    def edge_count(self, zone: str | None = None) -> int:
        """Number of nodes that serve clients, in all zones or in one."""
        return sum(
            1 for record in self.nodes.values() if record.flags & frames.SERVES_CLIENTS and zone in (None, record.zone)
        )

    def order(self, zone: str) -> list[NodeRecord]:
        """The nodes of a zone in tree order: the root first, then by link rate and weight; unreliable and overloaded
        ones last."""
        if self.stale:
            self.orders_by_zone, self.parents_by_zone = {}, {}
            self.stale = False
        if zone not in self.orders_by_zone:
            in_zone = [record for record in self.nodes.values() if record.zone == zone]
            self.orders_by_zone[zone] = sorted(
                in_zone,
                key=lambda record: (
                    record.name != self.own_name,
                    record.is_unreliable() or bool(record.flags & frames.IS_OVERLOADED),
                    -record.kbps,
                    weight("tree", record.name),
                ),
            )
            self.parents_by_zone[zone] = assign_parents(self.orders_by_zone[zone])
        return self.orders_by_zone[zone]

    def parents(self, record: NodeRecord, root: str) -> tuple[str, ...]:
        """Addresses of the parents to try, best first, with the root last. Parents can't form a cycle: a parent
        precedes its children in the zone's order, and the first node's parent is the root."""
        index = self.order(record.zone).index(record)
        parent = self.parents_by_zone[record.zone][index]
        if parent is None or parent.is_unreliable() or parent.ip == root:
            return (root,)
        return (parent.ip, root)

    def probed_peers(self, record: NodeRecord) -> list[NodeRecord]:
        """The peers that this node probes."""
        if record.name not in self.probed_by:
            self.probed_by[record.name] = self.nearest(record.name, list(self.nodes.values()))
        return self.probed_by[record.name]

    def nearest(self, name: str, others: list[NodeRecord]) -> list[NodeRecord]:
        """Those of the others with the highest weights for a name."""
        return heapq.nlargest(
            PROBED_PEERS, (other for other in others if other.name != name), key=lambda other: weight(name, other.name)
        )

    def assignment(
        self, name: str, epoch: int, members: tuple[str, ...], root: str, edge_count: int, group: tuple[str, ...] = ()
    ) -> frames.ParentAssignment:
        """The assignment of a node. `edge_count` is the number of nodes that serve clients, 0 while unknown."""
        record = self.nodes[name]
        probed = self.probed_peers(record)
        return frames.ParentAssignment(
            epoch,
            members,
            self.parents(record, root),
            tuple(other.ip for other in probed),
            tuple(other.name for other in probed),
            edge_count,
            self.edge_count(record.zone),
            bisect_left(self.names, name) if record.flags & frames.SERVES_CLIENTS else 0,
            group,
        )
