"""A process of hollow nodes: the control parts of many real nodes (Peers, Relay, Watch) on real sockets, no data plane.

It is started by `lab/hollow.py`, which tells it on its standard input, a line of JSON each: first its `Task`, then a
`look` as often as wanted. Each gets one line of JSON, a `Look`. When the input ends the process ends.
"""

from __future__ import annotations

import asyncio
import gc
import json
import resource
import sys
import time
from collections import defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock

import uvloop

from cypressbeam.distribution.failure_detector import PACKET, UdpFailureDetector
from cypressbeam.protocol.address import Address
from cypressbeam.protocol.settings import Envelope, Settings
from cypressbeam.runtime import GC_THRESHOLDS
from cypressbeam.transport import peers
from lab.membership import SimulatedNode

#: Bytes of a line of JSON, at most.
MOST_LINE = 8 * 1024 * 1024


@dataclass(slots=True)
class Counts:
    """What one node sent and received: frames and their bytes on connections, and datagrams."""

    frames_in: int = 0
    bytes_in: int = 0
    frames_out: int = 0
    bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0


@dataclass(frozen=True, slots=True)
class Task:
    """The nodes of one process, as (name, address, zone), and what they are told."""

    nodes: list[list[str]]
    seeds: list[list[Any]]
    ports: list[int]
    link_mbps: float = 1000.0


@dataclass(slots=True)
class Look:
    """A process at one moment. Times are of the machine's steady clock, which all processes share."""

    at_s: float
    cpu_s: float
    """Processor time of the process since it began."""
    rss_kb: int
    base_kb: int
    """Memory before the first node was made."""
    nodes: int
    placed: int
    """Nodes that have a parent and know a version."""
    rchar: int
    """Bytes that the process has read and written by the kernel's own count, on connections and files."""
    wchar: int
    versions: dict[str, list[float]] = field(default_factory=dict)
    """Of each version: how many nodes have it, and when the last of them took it up."""
    lists: dict[str, list[float]] = field(default_factory=dict)
    """The same of each number of the list."""
    counts: dict[str, list[int]] = field(default_factory=dict)
    """By node, in the order of `Counts`."""


COUNTS: defaultdict[str, Counts] = defaultdict(Counts)
"""By the node's address."""


class CountedLink(peers.Link):
    def send_packed(self, data: bytes) -> None:
        if not self.closed:
            counts = COUNTS[self.peers.ip]
            counts.frames_out += 1
            counts.bytes_out += len(data)
        super().send_packed(data)

    def data_received(self, data: bytes) -> None:
        COUNTS[self.peers.ip].bytes_in += len(data)
        super().data_received(data)

    def receive(self, kind: int, body: bytes) -> None:
        COUNTS[self.peers.ip].frames_in += 1
        super().receive(kind, body)


class CountedWatch(UdpFailureDetector):
    def __init__(self, watch: UdpFailureDetector, ip: str) -> None:
        super().__init__(watch.port, watch.on_silent)
        self.counts = COUNTS[ip]

    def send(self, kind: int, number: int, to: Address) -> None:
        self.counts.datagrams_out += 1
        super().send(kind, number, to)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.counts.datagrams_in += len(data) == PACKET.size
        super().datagram_received(data, addr)


class HollowNode(SimulatedNode):
    """A real node without a data plane, which notes when it takes up news."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.failure_detector = CountedWatch(self.failure_detector, settings.ip)
        self.versions: dict[int, float] = {}
        self.lists: dict[int, float] = {}

    def apply_configuration(self, revision: int, body: bytes) -> None:
        self.versions[revision] = time.monotonic()

    def update_servers(self) -> None:
        self.lists[self.tree.endpoints.endpoints.sequence] = time.monotonic()


def settings_of(name: str, ip: str, zone: str, task: Task) -> Settings:
    seeds = tuple((str(host), int(port)) for host, port in task.seeds)
    return Settings(
        node=name,
        ip=ip,
        zone=zone,
        seeds=seeds,
        front_listener=(ip, 1),
        readiness_listener=None,
        control_listener=None,
        internal_ports=(task.ports[0], task.ports[1]),
        bootstrap=False,
        quorum_member=False,
        state_dir=None,
        memory_mb=300,
        file_handles=1024,
        link_mbps=task.link_mbps,
        machine_losses=1,
        platform=None,
        envelope=Envelope(),
    )


def rss_kb() -> int:
    """Resident memory of this process, in kB."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * resource.getpagesize() // 1024


def read_io(pid: int | str) -> tuple[int, int]:
    """Bytes that a process has read and written by the kernel's count. Raises OSError."""
    lines = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text(encoding="ascii").splitlines())
    return int(lines["rchar"]), int(lines["wchar"])


def last_taken(all_received: list[dict[int, float]]) -> dict[str, list[float]]:
    """Of each number: how many nodes took it up, and when the last did."""
    found: dict[str, list[float]] = {}
    for taken in all_received:
        for number, at_s in taken.items():
            count, last_s = found.get(str(number), (0, 0.0))
            found[str(number)] = [count + 1, max(last_s, at_s)]
    return found


def look(nodes: list[HollowNode], base_kb: int) -> Look:
    placed = sum(node.tree.subscription.parent is not None and node.tree.configuration.revision > 0 for node in nodes)
    return Look(
        time.monotonic(),
        time.process_time(),
        rss_kb(),
        base_kb,
        len(nodes),
        placed,
        *read_io("self"),
        last_taken([node.versions for node in nodes]),
        last_taken([node.lists for node in nodes]),
        {node.settings.node: [*asdict(COUNTS[node.settings.ip]).values()] for node in nodes},
    )


async def work() -> None:
    """Read the task, start the nodes, and answer until the input ends."""
    reader = asyncio.StreamReader(limit=MOST_LINE)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    task = Task(**json.loads(await reader.readline()))
    base_kb = rss_kb()
    nodes = [HollowNode(settings_of(name, ip, zone, task)) for name, ip, zone in task.nodes]
    await asyncio.gather(*(node.start() for node in nodes))
    while await reader.readline():
        print(json.dumps(asdict(look(nodes, base_kb))), flush=True)


def main() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)  # as a real node
    with mock.patch.object(peers, "Link", CountedLink):
        uvloop.run(work())


if __name__ == "__main__":
    main()
