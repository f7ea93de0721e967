"""Trials of forms in which a node could hold what it knows at the size of thousands of nodes. No node uses them yet."""

from __future__ import annotations

import heapq
from array import array
from bisect import bisect_left, bisect_right, insort
from collections import Counter, defaultdict
from collections.abc import Iterable

from cypressbeam.distribution.endpoint_list import Endpoint
from cypressbeam.distribution.node_registry import PROBED_PEERS, NodeRecord, NodeRegistry, assign_parents, weight
from cypressbeam.protocol import frames
from cypressbeam.protocol.configuration import Configuration
from cypressbeam.proxy.routing import class_name_of

#: A slot of the index that holds no route.
FREE = 0xFFFFFFFF


class Routes:
    """The table of routes in arrays: keys one behind the other, and an index with open addressing over their hashes.

    What routes share (mode, times, rank, services and weights) is held once for all that have it.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.shared: list[tuple[str, tuple[tuple[str, float], ...]]] = []
        """Kind, and services with their weights."""
        self.keys = b""
        self.ends = array("I")
        self.what = array("H")
        known: dict[tuple[str, tuple[tuple[str, float], ...]], int] = {}
        parts, end = [], 0
        for channel in configuration.routes:
            key = self.key(channel.host.lower(), channel.prefix)
            parts.append(key)
            end += len(key)
            self.ends.append(end)
            same = class_name_of(channel), tuple((share.service, share.weight) for share in channel.weighted_services())
            if same not in known:
                known[same] = len(self.shared)
                self.shared.append(same)
            self.what.append(known[same])
        self.keys = b"".join(parts)
        self.mask = (1 << (2 * len(self.ends)).bit_length()) - 1
        self.index = array("I", [FREE]) * (self.mask + 1)
        for number, key in enumerate(parts):
            self.index[self.slot(key)] = number

    @staticmethod
    def key(host: str, prefix: str) -> bytes:
        return f"{host}\0{prefix}".encode()

    def slot(self, key: bytes) -> int:
        """Where the key is, or the free slot where it would be."""
        at = hash(key) & self.mask
        while (number := self.index[at]) != FREE:
            end = self.ends[number]
            if self.keys[end - len(key) : end] == key and self.begin(number) == end - len(key):
                return at
            at = (at + 1) & self.mask
        return at

    def begin(self, number: int) -> int:
        return self.ends[number - 1] if number else 0

    def find(self, host: str, path: str) -> tuple[str, tuple[tuple[str, float], ...]] | None:
        """As `routing.Table.find`."""
        name = host.strip().lower()
        if not name.endswith("]"):
            name = name.rpartition(":")[0] or name
        cut = path.rfind("/")
        while cut >= 0:
            number = self.index[self.slot(self.key(name, path[: cut + 1]))]
            if number != FREE:
                return self.shared[self.what[number]]
            cut = path.rfind("/", 0, cut)
        return None


class Buckets:
    """A token bucket for each of so many tenants, by number: what is left, and when that was."""

    def __init__(self, tenants: int) -> None:
        self.left = array("f", [0.0]) * tenants
        self.at_s = array("f", [0.0]) * tenants


def subset(node: str, servers: Iterable[Endpoint], each: int) -> list[Endpoint]:
    """Of each service the servers that weigh most for a node, by rendezvous hashing."""
    of_service: defaultdict[str, list[Endpoint]] = defaultdict(list)
    for server in servers:
        of_service[server.service].append(server)
    return [
        server
        for found in of_service.values()
        for server in heapq.nlargest(each, found, key=lambda server: weight(node, server.instance_id))
    ]


class RingRegistry(NodeRegistry):
    """The node registry without work that grows with all nodes for each join: numbers are counted as nodes come and
    go, a zone's order keeps each node's rank, and a node watches those that follow it on a ring of hashes.

    Orders and parents are those of `NodeRegistry`; who watches whom is not, and each is watched by as many as it
    watches.
    """

    def __init__(self, me: str) -> None:
        super().__init__(me)
        self.counts: Counter[str] = Counter()
        """Nodes that carry traffic, by zone; under no name all of them."""
        self.ring: list[tuple[int, str]] = []
        self.sorted: defaultdict[str, list[tuple[tuple[bool, bool, int, int], str]]] = defaultdict(list)
        self.ranks: dict[str, tuple[tuple[bool, bool, int, int], str]] = {}

    def rank(self, known: NodeRecord) -> tuple[tuple[bool, bool, int, int], str]:
        slow = known.is_unreliable() or bool(known.flags & frames.IS_OVERLOADED)
        return (known.name != self.own_name, slow, -known.kbps, weight("tree", known.name)), known.name

    def register(self, frame: frames.JoinRequest, now_s: float, epoch: int = 0) -> None:
        known = self.nodes.get(frame.name)
        doubted = bool(frame.lost_parent) or (known is not None and known.is_unreliable())
        if (
            known is None
            or doubted
            or (known.ip, known.zone, known.flags, known.kbps) != (frame.ip, frame.zone, frame.flags, frame.kbps)
        ):
            super().register(frame, now_s, epoch)
            for other in self.nodes.values() if doubted else ():
                self.enlist(other)
        else:
            known.note_acknowledgement(frame.acknowledged_epoch, now_s)
            known.seen_s = now_s
            self.enlist(known)
            if known.is_unreliable():
                self.enlist(known)

    def enlist(self, known: NodeRecord) -> None:
        """Where it stands in its zone's order, now that it is new or its rank may be another."""
        rank = self.rank(known)
        if self.ranks.get(known.name) != rank:
            self.delist(known)
            insort(self.sorted[known.zone], rank)
            self.ranks[known.name] = rank
            self.parents_by_zone.pop(known.zone, None)

    def delist(self, known: NodeRecord) -> None:
        rank = self.ranks.pop(known.name, None)
        if rank is not None:
            order = self.sorted[known.zone]
            del order[bisect_left(order, rank)]
            self.parents_by_zone.pop(known.zone, None)

    def add(self, known: NodeRecord) -> None:
        self.nodes[known.name] = known
        self.enlist(known)
        insort(self.ring, (weight("ring", known.name), known.name))
        if known.flags & frames.SERVES_CLIENTS:
            insort(self.names, known.name)
            self.counts.update((known.zone, ""))

    def remove(self, name: str) -> None:
        known = self.nodes.pop(name, None)
        if known is not None:
            self.delist(known)
            del self.ring[bisect_left(self.ring, (weight("ring", name), name))]
            if known.flags & frames.SERVES_CLIENTS:
                del self.names[bisect_left(self.names, name)]
                self.counts.subtract((known.zone, ""))

    def edge_count(self, zone: str | None = None) -> int:
        return self.counts[zone or ""]

    def order(self, zone: str) -> list[NodeRecord]:
        return [self.nodes[name] for _, name in self.sorted[zone]]

    def parents(self, known: NodeRecord, root: str) -> tuple[str, ...]:
        if known.zone not in self.parents_by_zone:
            self.parents_by_zone[known.zone] = assign_parents(self.order(known.zone))
        at = bisect_left(self.sorted[known.zone], self.ranks[known.name])
        feeder = self.parents_by_zone[known.zone][at]
        return (root,) if feeder is None or feeder.is_unreliable() or feeder.ip == root else (feeder.ip, root)

    def probed_peers(self, known: NodeRecord) -> list[NodeRecord]:
        at = bisect_right(self.ring, (weight("ring", known.name), known.name))
        following = [
            self.ring[(at + step) % len(self.ring)][1] for step in range(min(PROBED_PEERS, len(self.ring) - 1))
        ]
        return [self.nodes[name] for name in following]
