"""The news on thin links: how long a configuration and a drain take to reach all, and what the links carry for it.

One fleet on the simulated network, through the cases that were hard in service: the first configuration, one changed
route, many routes more, versions in quick succession, and a root that dies and is back at once just as a server begins
to drain.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cypressbeam.distribution import endpoint_list
from lab.membership import CORES, Cluster

SERVERS = 112
#: Changes of a storm, and the seconds between two.
STORM, STORM_GAP_S = 20, 0.2
#: A process that dies is back after so long; a machine that is stopped for as long is taken for lost.
BACK_S, AWAY_S = 0.25, 2.5
MORE_ROUTES = 1000


@dataclass(frozen=True, slots=True)
class Row:
    """Of one case: seconds until all edge nodes know, and kilobytes that an edge and a core machine sent."""

    case: str
    config_s: float | None
    drain_s: float | None
    edge_kb: float
    busiest_edge_kb: float
    core_kb: float
    silences: int


class Fleet:
    def __init__(self, edges: int, seed: int, edge_mbps: float, core_mbps: float, routes: int) -> None:
        self.cluster = Cluster(edges, seed, edge_mbps, core_mbps, routes)
        self.rows: list[Row] = []
        self.drained = 0

    async def drain(self) -> None:
        """One more server begins to drain, and the root hears of it; the next root, if there is none just now."""
        self.drained += 1
        await self.cluster.until(lambda: self.cluster.root is not None)
        self.cluster.poll(SERVERS, self.drained)

    def drains_known(self) -> bool:
        """Whether no edge node takes a draining server for one in service."""
        names = {f"i-{number}" for number in range(self.drained)}
        return all(
            names <= node.tree.endpoints.endpoints.servers.keys()
            and all(node.tree.endpoints.endpoints.servers[name].state == endpoint_list.DRAINING for name in names)
            for node in self.cluster.edges
        )

    async def case(self, name: str, begin: Callable[[], object], config: bool, drain: bool) -> Row:
        """Play one case, and count until all know what it brings."""
        hosts = {host: (host.bytes, settings.front_listener is not None) for host, settings in self.cluster.machines}
        silent = sum(node.tree.subscription.silent_parents for node in self.cluster.nodes.values())
        began_s = self.cluster.loop.time()
        config_s = drain_s = None
        told = begin()
        if asyncio.iscoroutine(told):
            await told
        lead_s = self.cluster.loop.time() - began_s
        if drain:
            drain_s = lead_s + await self.cluster.until(self.drains_known)
        if config:
            config_s = self.cluster.loop.time() - began_s + await self.cluster.known_by_all()
        edges = [(host.bytes - before) / 1000 for host, (before, edge) in hosts.items() if edge]
        cores = [(host.bytes - before) / 1000 for host, (before, edge) in hosts.items() if not edge]
        row = Row(
            name,
            config_s,
            drain_s,
            sum(edges) / len(edges),
            max(edges),
            sum(cores) / len(cores),
            sum(node.tree.subscription.silent_parents for node in self.cluster.nodes.values()) - silent,
        )
        self.rows.append(row)
        await asyncio.sleep(2.0)
        return row

    async def storm(self) -> None:
        """Versions in quick succession; half way a server begins to drain."""
        for _ in range(STORM):
            self.cluster.order()
            await asyncio.sleep(STORM_GAP_S)

    async def drain_amid(self, versions: asyncio.Task[None]) -> None:
        await asyncio.sleep(STORM * STORM_GAP_S / 2)
        await self.case("a server drains amid those", self.drain, False, True)
        await versions

    async def root_dies(self, away_s: float) -> None:
        """The root's process dies; another one, or its next life, polls the list anew, where a server drains by now."""
        cluster = self.cluster
        root = cluster.root
        assert root is not None
        machine = next(machine for machine in cluster.machines if machine[1].node == root.settings.node)
        cluster.stop(*machine)
        await asyncio.sleep(away_s)
        cluster.start(*machine)
        await self.drain()

    async def play(self, kills: bool) -> None:
        cluster = self.cluster
        await cluster.start_tree()
        cluster.poll(SERVERS)
        await self.case("the first configuration", cluster.order, True, False)
        await self.case("one route changes", cluster.order, True, False)
        await self.case("a server drains", self.drain, False, True)
        cluster.routes += MORE_ROUTES
        await self.case(f"{MORE_ROUTES} routes more", cluster.order, True, False)
        versions = cluster.loop.create_task(self.storm())
        await self.case(f"{STORM} versions, {STORM_GAP_S} s apart", lambda: self.drain_amid(versions), True, False)
        if not kills:
            return
        await self.case("the root dies and is back at once", lambda: self.root_dies(BACK_S), False, True)
        await self.case("the root is away for long", lambda: self.root_dies(AWAY_S), False, True)


def measure(edges: int, seed: int, edge_mbps: float, core_mbps: float, routes: int, kills: bool = True) -> list[Row]:
    """Play all cases, or those without a root that dies. Raises AssertionError where a callback of a node failed."""
    fleet = Fleet(edges, seed, edge_mbps, core_mbps, routes)
    try:
        fleet.cluster.run(fleet.play(kills))
        assert not fleet.cluster.net.faults, fleet.cluster.net.faults
        return fleet.rows
    finally:
        fleet.cluster.close()


def table(rows: list[Row]) -> str:
    """The figures as a Markdown table."""

    def seconds(value: float | None) -> str:
        return "-" if value is None else f"{value:.2f}"

    lines = [
        "| case | configuration known by all, s | drain known by all, s | kB an edge node sent (mean / most)"
        f" | kB a core machine sent (of {CORES}) | parents given up as silent |",
        "| --- | ---: | ---: | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {row.case} | {seconds(row.config_s)} | {seconds(row.drain_s)} | {row.edge_kb:.1f} /"
        f" {row.busiest_edge_kb:.1f} | {row.core_kb:.0f} | {row.silences} |"
        for row in rows
    ]
    return "\n".join(lines)
