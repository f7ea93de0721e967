"""Bodies where something is in the way: full links, relays that send nothing, parents that go, versions in a storm.

One fleet on the simulated network for each case and seed. A case changes many routes, so that the change is no brief
one, and asks of each node how long it stays behind. Until then a node may take `BOUND_S` and what its own link needs
for the body: whatever one source does, another one has it.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import hashlib
import statistics
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import cbor2

from cypressbeam.node.gateway_node import GatewayNode
from cypressbeam.protocol import delta, frames
from cypressbeam.transport.blobs.fetcher import Fetcher
from cypressbeam.transport.peers import Link
from lab.local_cluster import demo_configuration
from lab.membership import Cluster
from lab.simulation import Host

EDGES, CORES, ROUTES, MORE_ROUTES = 40, 5, 400, 1200
EDGE_MBPS, CORE_MBPS = 2.75, 30.0
#: What a node may be behind beside the time that its link takes for the body, at half its rate (link.LINK_SHARE), and
#: for what waits there, there and back.
BOUND_S = 2.0
#: Uploads keep so many seconds of a link waiting, both ways; how often that changes, and the share of the nodes.
FULL_S, FULL_TICK_S, FULL_SHARE = (0.05, 0.45), 0.05, 0.5
#: Versions of a storm, seconds between two, and routes that each brings: too many for a brief one.
STORM, STORM_GAP_S, STORM_ROUTES = 30, 0.2, 100
#: What is looked at begins with the commit.
MOST_S, COMMIT_S = 15.0, 60.0


@dataclass
class Measurements:
    """Of one case: seconds for which nodes were behind, of all seeds together; and the bound."""

    behind_s: list[float] = field(default_factory=list)
    bound_s: float = 0.0
    over: int = 0
    """Nodes beyond the bound."""
    busiest_kb: float = 0.0
    """The most that one machine of the core sent."""


class Wide(Cluster):
    """Its routes have names that don't pack well: 100 bytes each, and 35 packed."""

    def configuration(self, revision: int) -> bytes:
        made = demo_configuration(revision)
        pattern = made["channels"][0]
        made["channels"] += [
            pattern | {"label": f"r-{name}", "host": f"{name[:8]}.example", "prefix": f"/{name[8:20]}/"}
            for name in map(name_of, range(self.routes))
        ]
        return cbor2.dumps(made)


@functools.cache
def name_of(number: int) -> str:
    return hashlib.sha256(f"{number}".encode()).hexdigest()[:24]


class Fleet:
    def __init__(self, seed: int, edges: int = EDGES) -> None:
        self.cluster = Wide(edges, seed, EDGE_MBPS, CORE_MBPS, ROUTES, CORES)
        self.rng = self.cluster.net.rng
        self.full: dict[Host, float] = {}
        self.filling = False
        self.before = b""
        """The version that all have at the beginning."""
        self.ways = 0
        """How often packets of a fetch may wait at full links, there and back."""

    # -- what is in the way --------------------------------------------------------------------------------

    async def fill(self) -> None:
        """Uploads: a part of the links, now these and now those, has so much waiting."""
        hosts = [host for host, settings in self.cluster.machines if settings.front_listener is not None]
        self.filling = True
        while self.filling:
            if not self.full or self.rng.random() < FULL_TICK_S:
                self.full = {
                    host: self.rng.uniform(*FULL_S) for host in self.rng.sample(hosts, int(len(hosts) * FULL_SHARE))
                }
            now_s = self.cluster.loop.time()
            for host, waits_s in self.full.items():
                host.out_free_s = max(host.out_free_s, now_s + waits_s)
                host.in_free_s = max(host.in_free_s, now_s + waits_s)
            await asyncio.sleep(FULL_TICK_S)

    def relays(self) -> list[GatewayNode]:
        """Those that feed others, without the root."""
        return [node for node in self.cluster.nodes.values() if node.tree.children and not node.tree.position.is_root]

    def hold_still(self) -> None:
        """Half of the relays hand nothing to edge nodes, though their beats go on: as where connections hang. Of the
        core no more than may be lost; its own transfers go on, for it is not what is looked at."""
        relays = self.relays()
        held = self.rng.sample(relays, max(1, len(relays) // 2))
        cores = [node for node in held if node.core is not None]
        edges = {node.settings.ip for node in self.cluster.edges}
        for node in [node for node in held if node.core is None] + cores[: CORES // 2]:

            def on_want(
                link: Link, frame: frames.ChunkRequest, usual: Callable[[Link, frames.ChunkRequest], None]
            ) -> None:
                if link.ip not in edges:
                    usual(link, frame)

            server = node.peers.blobs.server
            server.on_chunk_request = functools.partial(on_want, usual=server.on_chunk_request)  # type: ignore[method-assign]

    def lose_a_relay(self) -> None:
        """The one that feeds the most loses its power."""
        node = max(self.relays(), key=lambda node: len(node.tree.children))
        self.cluster.stop(*next(machine for machine in self.cluster.machines if machine[1] is node.settings))

    # -- one case ------------------------------------------------------------------------------------------

    async def settle(self) -> None:
        cluster = self.cluster
        await cluster.start_tree()
        cluster.order()
        await cluster.known_by_all()
        await asyncio.sleep(4.0)  # all have joined again, under the parents that they keep

    def change(self) -> None:
        """Many routes more; the places of the others in the body stay."""
        self.cluster.routes += MORE_ROUTES
        self.cluster.order()

    async def storm(self) -> None:
        for _ in range(STORM):
            self.change_a_few()
            await asyncio.sleep(STORM_GAP_S)

    def change_a_few(self) -> None:
        self.cluster.routes += STORM_ROUTES
        self.cluster.order()

    def bound_s(self) -> float:
        newest = self.cluster.configuration(self.cluster.revision)
        own_s = len(delta.pack(newest, self.before)) * 8e-6 / (EDGE_MBPS / 2)
        return BOUND_S + own_s + 2 * FULL_S[1] * self.ways

    async def watch_storm(self, found: Measurements) -> None:
        """The most that each node is behind: since when a version is in force that is newer than its own."""
        cluster = self.cluster
        root = cluster.root
        assert root is not None
        came_s: dict[int, float] = {}
        most_s = {node.settings.node: 0.0 for node in cluster.edges}
        last, ends_s = cluster.revision + STORM, cluster.loop.time() + COMMIT_S
        while cluster.loop.time() < ends_s:
            now_s = cluster.loop.time()
            came_s.setdefault(root.tree.configuration.revision, now_s)
            for node in cluster.edges:
                newer_s = [at_s for revision, at_s in came_s.items() if revision > node.tree.configuration.revision]
                if newer_s:
                    most_s[node.settings.node] = max(most_s[node.settings.node], now_s - min(newer_s))
            if all(node.tree.configuration.revision >= last for node in cluster.edges):
                break
            await asyncio.sleep(0.02)
        found.behind_s += most_s.values()

    async def lag(self, found: Measurements) -> None:
        """How long each node is behind the newest version, counted from its commit at the root."""
        cluster = self.cluster
        root = cluster.root
        assert root is not None
        wanted = cluster.revision
        await cluster.until(lambda: root.tree.configuration.revision >= wanted, COMMIT_S)
        began_s = cluster.loop.time()
        waiting = {node.settings.node: node for node in cluster.edges}  # without those that lose their power
        found.bound_s = max(found.bound_s, self.bound_s())
        while waiting and (took_s := cluster.loop.time() - began_s) < MOST_S:
            there = [name for name, node in waiting.items() if node.tree.configuration.revision >= wanted]
            found.behind_s += [took_s for name in there if waiting.pop(name)]
            await asyncio.sleep(0.01)
        found.behind_s += [MOST_S] * len(waiting)

    async def play(self, case: str, found: Measurements) -> None:
        cluster = self.cluster
        # In a storm an older version that moves comes first: the newest is packed on it.
        self.ways = ("full links" in case) * (2 if "storm" in case else 1)
        await self.settle()
        self.before = cluster.configuration(cluster.revision)
        cores = {host: host.bytes for host, settings in cluster.machines if settings.front_listener is None}
        if "full links" in case:
            filling = cluster.loop.create_task(self.fill())
            await asyncio.sleep(1.0)
        if "still" in case:
            self.hold_still()
        if "storm" in case:
            watching = cluster.loop.create_task(self.watch_storm(found))
            await asyncio.sleep(0.0)
            await self.storm()
            found.bound_s = max(found.bound_s, self.bound_s())
            await watching
        else:
            self.change()
            if "relay goes" in case:
                self.lose_a_relay()
            await self.lag(found)
        found.busiest_kb = max(found.busiest_kb, *((host.bytes - before) / 1000 for host, before in cores.items()))
        if self.filling:
            self.filling = False
            await filling


#: In a storm a node is looked at all the while.
CASES = (
    "nothing in the way",
    "full links",
    "still relays",
    "still relays, full links",
    "a relay goes, full links",
    "a storm of versions, full links",
    "a storm of versions, still relays, full links",
)


def measure(case: str, seeds: Iterable[int], edges: int = EDGES) -> Measurements:
    """Play a case for each seed. Raises AssertionError where a callback of a node failed."""
    found = Measurements()
    for seed in seeds:
        fleet = Fleet(seed, edges)
        try:
            fleet.cluster.run(fleet.play(case, found))
            assert not fleet.cluster.net.faults, fleet.cluster.net.faults
        finally:
            fleet.cluster.close()
    found.over = sum(1 for behind_s in found.behind_s if behind_s > found.bound_s)
    return found


#: The fault that is seeded on purpose.
FAULT = "no other sources"


@contextlib.contextmanager
def fault(name: str) -> Iterator[None]:
    """With what bounds a fetch left out: it is asked of its first source alone. None for any other name."""
    saved = Fetcher.request_from_next_source
    try:
        if name == FAULT:
            Fetcher.request_from_next_source = Fetcher.request  # type: ignore[method-assign]
        yield
    finally:
        Fetcher.request_from_next_source = saved  # type: ignore[method-assign]


def table(seeds: int) -> tuple[str, bool]:
    """The figures of all cases as a Markdown table, and whether all nodes were within the bound."""
    lines = [
        "| case | behind, s (median / 99 % / worst) | bound, s | nodes over it | the busiest core machine sent, kB |",
        "| --- | ---: | ---: | ---: | ---: |",
    ]
    passed = True
    for case in CASES:
        found = measure(case, range(1, seeds + 1))
        ranked = sorted(found.behind_s)
        lines.append(
            f"| {case} | {statistics.median(ranked):.2f} / {ranked[int(len(ranked) * 0.99)]:.2f} /"
            f" {ranked[-1]:.2f} | {found.bound_s:.2f} | {found.over} of {len(ranked)}"
            f" | {found.busiest_kb:.0f} |"
        )
        passed = passed and not found.over
    return "\n".join(lines), passed
