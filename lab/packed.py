"""Trials of forms in which a node could hold what it knows at the size of thousands of nodes. No node uses them yet."""

from __future__ import annotations

import heapq
from array import array
from collections import defaultdict
from collections.abc import Iterable

from cypressbeam.configuration import Configuration
from cypressbeam.listing import Server
from cypressbeam.roster import weight
from cypressbeam.routing import kind_of

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
        for channel in configuration.channels:
            key = self.key(channel.host.lower(), channel.prefix)
            parts.append(key)
            end += len(key)
            self.ends.append(end)
            same = kind_of(channel), tuple((share.plant, share.gain) for share in channel.shares())
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
            if self.keys[end - len(key):end] == key and self.begin(number) == end - len(key):
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
            number = self.index[self.slot(self.key(name, path[:cut + 1]))]
            if number != FREE:
                return self.shared[self.what[number]]
            cut = path.rfind("/", 0, cut)
        return None


class Buckets:
    """A token bucket for each of so many tenants, by number: what is left, and when that was."""

    def __init__(self, tenants: int) -> None:
        self.left = array("f", [0.0]) * tenants
        self.at_s = array("f", [0.0]) * tenants


def subset(node: str, servers: Iterable[Server], each: int) -> list[Server]:
    """Of each service the servers that weigh most for a node, by rendezvous hashing."""
    of_service: defaultdict[str, list[Server]] = defaultdict(list)
    for server in servers:
        of_service[server.plant].append(server)
    return [server for found in of_service.values()
            for server in heapq.nlargest(each, found, key=lambda server: weight(node, server.ident))]
