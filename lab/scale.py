"""What grows with the fleet: one history at each of several sizes, the cost of each kind, and its exponent.

Every size plays the same: all machines start at once, a first configuration, one changed route, a server that drains,
a quiet while, the root's process that dies and is back, and a tenth of the edge nodes that joins late. A cost that
belongs to one machine (a node, the root, the busiest link) should not grow with the fleet, or as slowly as its
logarithm; one of all together should grow no faster than the fleet. The exponent is the slope of the cost over the
size, both as logarithms.
"""

from __future__ import annotations

import asyncio
import math
import statistics
from collections.abc import Sequence
from dataclasses import asdict, dataclass, fields

from lab.membership import Cluster
from lab.simulation import Host
from lab.update_propagation import BACK_S

QUIET_S = 6.0
LATE = 0.1
#: An exponent over this against the size is a finding.
MOST_EXPONENT = 1.1


@dataclass(frozen=True, slots=True)
class Sized:
    """Costs of a fleet of so many edge nodes."""

    edges: int


@dataclass(frozen=True, slots=True)
class Costs(Sized):
    """Of one size. Times are simulated seconds, rates a second; of all figures more is worse."""

    start_s: float
    """Until all have a place and the first configuration."""
    change_s: float
    """Until all know a changed route."""
    drain_s: float
    root_back_s: float
    """Until all know the list of a root that died and is back."""
    joins_s: float
    """Until a tenth that joins late knows the newest configuration."""
    change_kb: float
    """Sent by all machines for a changed route."""
    busiest_edge_kb: float
    """The most that one edge node sent for the first configuration."""
    quiet_edge_bytes: float
    """Sent by an edge node in a quiet second, on average."""
    quiet_root_bytes: float
    quiet_root_frames: float
    depth: int
    """Relays that news passes, at most."""
    looking: int
    """Nodes that looked for the root when it died, whether or not they left their parents for it."""


def sent(hosts: Sequence[Host]) -> dict[Host, tuple[int, int]]:
    return {host: (host.bytes, host.messages) for host in hosts}


class History:
    def __init__(self, cluster: Cluster, servers: int) -> None:
        self.cluster = cluster
        self.servers = servers
        self.drained = 0
        edges = [machine for machine in cluster.machines if machine[1].front_listener is not None]
        self.late = edges[: max(1, int(len(edges) * LATE))]

    async def listed(self) -> float:
        """Seconds until all edge nodes hold the root's list."""
        root = self.cluster.root
        assert root is not None
        wanted = root.tree.endpoints.endpoints
        return await self.cluster.until(
            lambda: all(
                (node.tree.endpoints.endpoints.term, node.tree.endpoints.endpoints.sequence)
                == (wanted.term, wanted.sequence)
                for node in self.cluster.edges
            )
        )

    async def drain(self) -> float:
        self.drained += 1
        self.cluster.poll(self.servers, self.drained)
        return await self.listed()

    async def known(self) -> float:
        self.cluster.order()
        return await self.cluster.known_by_all()

    async def start(self) -> float:
        cluster = self.cluster
        began_s = cluster.loop.time()
        late = {host for host, _ in self.late}
        for machine in cluster.machines:
            if machine[0] not in late:
                cluster.start(*machine)
        await cluster.until(lambda: cluster.root is not None and len(cluster.depths()) == len(cluster.edges) > 0)
        cluster.poll(self.servers)
        await self.known()
        return cluster.loop.time() - began_s

    async def quiet(self) -> tuple[float, float, float]:
        """Bytes of an edge node on average, bytes and frames of the root, a second."""
        cluster = self.cluster
        root = cluster.root
        assert root is not None
        before = sent([host for host, _ in cluster.machines])
        await asyncio.sleep(QUIET_S)
        edges = [
            (host.bytes - before[host][0]) / QUIET_S
            for host, settings in cluster.machines
            if settings.front_listener is not None and host.up
        ]
        here = cluster.net.hosts[root.settings.ip]
        return (
            statistics.fmean(edges),
            (here.bytes - before[here][0]) / QUIET_S,
            (here.messages - before[here][1]) / QUIET_S,
        )

    async def root_dies(self) -> tuple[float, int]:
        """Seconds until all know the list of the root's next life, and how many looked for it meanwhile."""
        cluster = self.cluster
        root = cluster.root
        assert root is not None
        machine = next(machine for machine in cluster.machines if machine[1].node == root.settings.node)
        before = sum(node.tree.locator.search_count for node in cluster.edges)
        began_s = cluster.loop.time()
        cluster.stop(*machine)
        await asyncio.sleep(BACK_S)
        cluster.start(*machine)
        await cluster.until(lambda: cluster.root is not None)
        await self.drain()
        return cluster.loop.time() - began_s, sum(node.tree.locator.search_count for node in cluster.edges) - before

    async def join_late(self) -> float:
        for machine in self.late:
            self.cluster.start(*machine)
        began_s = self.cluster.loop.time()
        await self.cluster.until(lambda: all(settings.node in self.cluster.nodes for _, settings in self.late))
        await self.cluster.known_by_all()
        return self.cluster.loop.time() - began_s

    async def play(self) -> Costs:
        cluster = self.cluster
        start_s = await self.start()
        busiest = max(host.bytes for host, settings in cluster.machines if settings.front_listener is not None) / 1000
        await asyncio.sleep(1.0)
        before = sum(host.bytes for host, _ in cluster.machines)
        change_s = await self.known()
        change_kb = (sum(host.bytes for host, _ in cluster.machines) - before) / 1000
        drain_s = await self.drain()
        edge, root, frames = await self.quiet()
        depth = max(cluster.depths().values())
        back_s, looking = await self.root_dies()
        await asyncio.sleep(2.0)
        joins_s = await self.join_late()
        return Costs(
            len(cluster.edges),
            start_s,
            change_s,
            drain_s,
            back_s,
            joins_s,
            change_kb,
            busiest,
            edge,
            root,
            frames,
            depth,
            looking,
        )


def measure(
    edges: int,
    cores: int = 3,
    routes: int = 200,
    servers: int = 100,
    seed: int = 1,
    edge_mbps: float = 2.75,
    core_mbps: float = 30.0,
) -> Costs:
    """One size. Raises AssertionError where a callback of a node failed."""
    cluster = Cluster(edges, seed, edge_mbps, core_mbps, routes, cores)
    try:
        costs: Costs = cluster.run(History(cluster, servers).play())
        assert not cluster.net.faults, cluster.net.faults
        return costs
    finally:
        cluster.close()


def exponent(found: Sequence[tuple[float, float]]) -> float | None:
    """The slope of the cost over the size, both as logarithms; None where there is nothing to fit."""
    logs = [(math.log(size), math.log(cost)) for size, cost in found if cost > 0 and math.isfinite(cost)]
    if len({size for size, _ in logs}) < 2:
        return None
    middle = statistics.fmean(size for size, _ in logs), statistics.fmean(cost for _, cost in logs)
    spread = sum((size - middle[0]) ** 2 for size, _ in logs)
    return sum((size - middle[0]) * (cost - middle[1]) for size, cost in logs) / spread


def points(all_costs: Sequence[Sized]) -> dict[str, list[tuple[float, float]]]:
    """Each cost at each size."""
    return {
        field.name: [(float(costs.edges), float(getattr(costs, field.name))) for costs in all_costs]
        for field in fields(all_costs[0])
        if field.name != "edges"
    }


def exponents(all_costs: Sequence[Sized]) -> dict[str, float | None]:
    """Of each cost, over the number of edge nodes."""
    return {name: exponent(found) for name, found in points(all_costs).items()}


def table(all_costs: Sequence[Sized]) -> str:
    """The figures as a Markdown table, one row a cost, with the exponents; findings are marked."""
    lines = [
        "| cost | " + " | ".join(f"{costs.edges}" for costs in all_costs) + " | exponent |",
        "| --- |" + " ---: |" * (len(all_costs) + 1),
    ]
    for name, slope in exponents(all_costs).items():
        found = "-" if slope is None else f"{slope:.2f}" + (" (!)" if slope > MOST_EXPONENT else "")
        values = [float(getattr(costs, name)) for costs in all_costs]
        lines.append(
            f"| {name} | "
            + " | ".join(f"{value:.3g}" if value < 1000 else f"{value:.0f}" for value in values)
            + f" | {found} |"
        )
    return "\n".join(lines)


def document(all_costs: Sequence[Sized]) -> dict[str, object]:
    """The same for programs."""
    return {"sizes": [asdict(costs) for costs in all_costs], "exponents": exponents(all_costs)}
