"""Membership at scale: whole nodes on a simulated network, through joins, kills, cuts and loss; figures as a table."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import statistics
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import cbor2

from cypressbeam.distribution import endpoint_list
from cypressbeam.node.gateway_node import GatewayNode
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import Envelope, Settings
from cypressbeam.proxy.gateway import Gateway
from lab.local_cluster import demo_configuration
from lab.simulation import Disk, Host, Net

CORES, ZONES, PORTS = 3, ("a", "b", "c", "d"), (7620, 7635)
CONTROL = 8649
#: Simulated seconds: how long a step may take before those that are left out are counted; the quiet time measured.
STEP_S, QUIET_S = 30.0, 10.0
TICK_S = 0.01
#: Loss on every path in the lossy step, and the length of the cut.
LOSS, CUT_S = 0.02, 4.0
#: Of all nodes, the share that joins late or loses its power.
SOME = 0.1


def many_routes(revision: int, routes: int, hosts: int = 60, services: int = 0) -> bytes:
    """A configuration with so many routes beside the demonstration's, spread over hosts and services; each version
    changes one of them. Without services of their own all lead to the first one."""
    made = demo_configuration(revision)
    pattern, plant = made["channels"][0], made["plants"][0]
    made["plants"] += [plant | {"label": f"service-{number}"} for number in range(services)]
    made["channels"] += [
        pattern
        | {
            "label": f"r-{number * 7919 % 100_003}",
            "host": f"h{number % hosts}.example",
            "prefix": f"/p{number * 104_729 % 999_983}/",
            "cutoffMs": 5000 + (number == revision),
        }
        | ({"plant": f"service-{number % services}"} if services else {})
        for number in range(routes)
    ]
    return cbor2.dumps(made)


class SimulatedNode(GatewayNode):
    """A node that carries no traffic of its own here: the data plane stays away."""

    def make_gateway(self) -> Gateway | None:
        return None


class Cluster:
    """Core and edge nodes on a simulated network, from one seed."""

    def __init__(
        self,
        edges: int,
        seed: int,
        edge_mbps: float = 1000.0,
        core_mbps: float = 1000.0,
        routes: int = 0,
        cores: int = CORES,
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        """With links of so many Mbit/s, so many routes in the configuration beside a few, and so many core machines."""
        self.net = Net(seed)
        self.seed = seed
        self.edge_mbps, self.core_mbps, self.routes, self.cores = edge_mbps, core_mbps, routes, cores
        self.machines: list[tuple[Host, Settings]] = []
        self.nodes: dict[str, GatewayNode] = {}
        self.disks: dict[str, Disk] = {}
        self.disk_numbers = itertools.count()
        self.revision = 0
        self.late: list[tuple[Host, Settings]] = []
        for number in range(cores):
            self.add(f"core-{number + 1}", f"10.{number}.0.1", zones[number % len(zones)], core=True)
        for number in range(edges):
            row, zone = divmod(number, len(zones))
            self.add(f"edge-{number + 1}", f"10.{zone}.{1 + row // 200}.{1 + row % 200}", zones[zone], core=False)

    def add(self, name: str, ip: str, zone: str, core: bool) -> None:
        settings = self.settings_of(name, ip, zone, core)
        host = self.net.add(ip, zone)
        host.mbps = settings.link_mbps
        self.machines.append((host, settings))

    def settings_of(self, name: str, ip: str, zone: str, core: bool) -> Settings:
        seeds = tuple((f"10.{number}.0.1", CONTROL) for number in range(min(self.cores, 3)))
        return Settings(
            node=name,
            ip=ip,
            zone=zone,
            seeds=seeds,
            front_listener=None if core else (ip, 8641),
            readiness_listener=None,
            control_listener=None,
            internal_ports=PORTS,
            bootstrap=True,
            quorum_member=core,
            state_dir=Path("/nowhere") if core else None,
            memory_mb=300,
            file_handles=1024,
            link_mbps=self.core_mbps if core else self.edge_mbps,
            machine_losses=self.cores // 2,
            platform=None,
            envelope=Envelope(),
        )

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        return self.net.loop

    def start(self, host: Host, settings: Settings) -> None:
        self.net.start(host)
        self.loop.create_task(self.life(host, settings), context=host.context)

    def start_all(self) -> None:
        """Give all machines their power."""
        for machine in self.machines:
            self.start(*machine)

    async def start_tree(self) -> None:
        """Give all machines their power, and wait until all edge nodes are in the root's tree."""
        self.start_all()
        await self.until(lambda: self.root is not None and len(self.depths()) == len(self.edges) > 0)

    async def life(self, host: Host, settings: Settings) -> None:
        disk = self.disk_of(settings) if settings.state_dir else None
        node = self.nodes[settings.node] = self.make_node(host, settings, disk)
        node.tree.context.rng = random.Random(f"{self.seed} {settings.node} {host.life}")
        if node.core is not None:
            node.core.rng = random.Random(f"{self.seed} core {settings.node} {host.life}")
        await node.start()

    def disk_of(self, settings: Settings) -> Disk:
        """The disk of a machine; a new one if it has none. The first process that uses it may write the seeds to it."""
        if settings.node not in self.disks:
            self.disks[settings.node] = Disk(f"{next(self.disk_numbers):012x}")
        disk = self.disks[settings.node]
        if settings.bootstrap and not disk.starts:
            disk.kept = replace(disk.kept, bootstrap_seeds=tuple(host for host, _ in settings.seeds))
        return disk

    def make_node(self, host: Host, settings: Settings, disk: Disk | None) -> GatewayNode:
        return SimulatedNode(settings, disk)

    def stop(self, host: Host, settings: Settings) -> None:
        self.net.stop(host)
        del self.nodes[settings.node]

    # -- what is looked at ---------------------------------------------------------------------------------

    @property
    def edges(self) -> list[GatewayNode]:
        return [node for node in self.nodes.values() if node.settings.front_listener is not None]

    @property
    def root(self) -> GatewayNode | None:
        return next((node for node in self.nodes.values() if node.tree.position.is_root), None)

    def at(self, node: GatewayNode, what: Callable[..., object], *args: object) -> None:
        """Do something as that node's machine, so that what it sets up lives there."""
        self.net.hosts[node.settings.ip].context.copy().run(what, *args)

    def configuration(self, revision: int) -> bytes:
        """Each version changes one of the many routes."""
        return many_routes(revision, self.routes)

    def order(self) -> None:
        """A new configuration, at the head."""
        self.order_at(next(node.members() for node in self.nodes.values() if node.core is not None)[0])

    def order_at(self, ip: str) -> None:
        """The same, at a machine of the core."""
        self.revision += 1
        body = self.configuration(self.revision)
        head = next(node for node in self.nodes.values() if node.settings.ip == ip)
        assert head.core is not None
        self.at(
            head, head.core.on_message, frames.WriteRequest(self.revision, head.settings.ip, self.revision - 1, body)
        )

    def poll(self, servers: int, drained: int = 0) -> tuple[int, int]:
        """A new list at the root; its life and number."""
        root = self.root
        assert root is not None and root.core is not None
        self.at(
            root,
            root.core.update_endpoints,
            [
                endpoint_list.Endpoint(
                    f"i-{number}",
                    "finder",
                    (f"10.9.{number // 250}.{number % 250}", 80),
                    "a",
                    8,
                    endpoint_list.DRAINING if number < drained else endpoint_list.IN_SERVICE,
                    0,
                )
                for number in range(servers)
            ],
        )
        return root.tree.endpoints.endpoints.term, root.tree.endpoints.endpoints.sequence

    def depths(self) -> dict[str, int]:
        """How many relays each edge node's news passes; those whose parents lead nowhere, or in a circle, are left
        out."""
        by_ip = {node.settings.ip: node for node in self.nodes.values()}
        found: dict[str, int] = {}
        for node in self.edges:
            at: GatewayNode | None = node
            steps = 0
            while at is not None and not at.tree.position.is_root and steps <= len(by_ip):
                parent = at.tree.subscription.parent
                at = by_ip.get(parent.ip) if parent is not None else None
                steps += 1
            if at is not None and at.tree.position.is_root:
                found[node.settings.node] = steps
        return found

    # -- time ----------------------------------------------------------------------------------------------

    def run(self, what: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(what)

    async def until(self, holds: Callable[[], bool], most_s: float = STEP_S) -> float:
        """Seconds until it holds; infinite if it does not in time."""
        began_s = self.loop.time()
        while not holds():
            if self.loop.time() - began_s > most_s:
                return math.inf
            await asyncio.sleep(TICK_S)
        return self.loop.time() - began_s

    async def known_by_all(self) -> float:
        return await self.until(lambda: all(node.tree.configuration.revision >= self.revision for node in self.edges))

    def close(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(TICK_S))
        self.net.close()


@dataclass
class Figures:
    """Of one step: seconds until every node knows a new configuration and a new list, and the state of the tree."""

    config_s: list[float] = field(default_factory=list)
    list_s: list[float] = field(default_factory=list)
    left_out: int = 0
    depth: int = 0
    messages: list[float] = field(default_factory=list)
    bytes: list[float] = field(default_factory=list)
    most_bytes: float = 0.0

    def see(self, cluster: Cluster) -> None:
        depths = cluster.depths()
        self.left_out += len(cluster.edges) - len(depths)
        self.depth = max(self.depth, *depths.values())


STEPS = ("start", "quiet", "joins", "kills", "cut", "loss")


async def play(cluster: Cluster, all_figures: dict[str, Figures]) -> None:
    """One history through every step."""
    net, loop = cluster.net, cluster.loop
    edges = [machine for machine in cluster.machines if machine[1].front_listener is not None]
    some = max(1, int(len(edges) * SOME))
    late, early = edges[:some], edges[some:]
    for machine in [*cluster.machines[:CORES], *early]:
        cluster.start(*machine)
    if await cluster.until(lambda: cluster.root is not None and len(cluster.edges) == len(early)) == math.inf:
        raise AssertionError("no root")
    began_s = loop.time()
    cluster.order()
    cluster.poll(5)
    await news(cluster, all_figures["start"], began_s)
    await quiet(cluster, all_figures["quiet"])
    for machine in late:
        cluster.start(*machine)
    await cluster.until(lambda: len(cluster.edges) == len(edges))
    await publish(cluster, all_figures["joins"])
    for machine in net.rng.sample(edges, some):
        cluster.stop(*machine)
    await publish(cluster, all_figures["kills"])
    net.cut = lambda one, other: (one.zone == ZONES[-1]) != (other.zone == ZONES[-1])
    began_s = loop.time()
    cluster.order()
    cluster.poll(7 + cluster.revision)
    await asyncio.sleep(CUT_S)
    net.cut = lambda one, other: False
    await news(cluster, all_figures["cut"], began_s + CUT_S)
    net.loss = LOSS
    await publish(cluster, all_figures["loss"])
    net.loss = 0.0


async def publish(cluster: Cluster, figures: Figures) -> None:
    cluster.order()
    cluster.poll(7 + cluster.revision)
    await news(cluster, figures, cluster.loop.time())


async def news(cluster: Cluster, figures: Figures, since_s: float) -> None:
    """Wait until all know the newest configuration and list, and look at the tree once it has settled."""
    root = cluster.root
    assert root is not None
    wanted = root.tree.endpoints.endpoints

    async def listed() -> float:
        return await cluster.until(
            lambda: all(
                (node.tree.endpoints.endpoints.term, node.tree.endpoints.endpoints.sequence)
                == (wanted.term, wanted.sequence)
                for node in cluster.edges
            )
        )

    lead_s = cluster.loop.time() - since_s
    config_s, list_s = await asyncio.gather(cluster.known_by_all(), listed())
    figures.config_s.append(lead_s + config_s)
    figures.list_s.append(lead_s + list_s)
    await cluster.until(lambda: len(cluster.depths()) == len(cluster.edges), 5.0)
    figures.see(cluster)


async def quiet(cluster: Cluster, figures: Figures) -> None:
    """What nodes say to each other while nothing happens."""
    hosts = [host for host in cluster.net.hosts.values() if host.up]
    before = {host.ip: (host.messages, host.bytes) for host in hosts}
    await asyncio.sleep(QUIET_S)
    rates = [
        ((host.messages - before[host.ip][0]) / QUIET_S, (host.bytes - before[host.ip][1]) / QUIET_S) for host in hosts
    ]
    figures.messages.append(statistics.fmean(rate for rate, _ in rates))
    figures.bytes.append(statistics.fmean(rate for _, rate in rates))
    figures.most_bytes = max(figures.most_bytes, *(rate for _, rate in rates))
    figures.see(cluster)


def measure(edges: int, seeds: Iterable[int]) -> dict[str, Figures]:
    """Play a fleet's history for each seed. Raises AssertionError where a callback of a node failed."""
    figures = {step: Figures() for step in STEPS}
    for seed in seeds:
        cluster = Cluster(edges, seed)
        try:
            cluster.run(play(cluster, figures))
            assert not cluster.net.faults, cluster.net.faults
        finally:
            cluster.close()
    return figures


def span(values: list[float]) -> str:
    return f"{statistics.median(values):.2f} / {max(values):.2f}" if values else "-"


def table(sizes: Iterable[int], seeds: int) -> str:
    """The figures of all sizes as a Markdown table."""
    lines = [
        "| edge nodes | step | configuration known by all, s (median / worst) | list known by all, s | depth"
        " | left out | messages a node a second | bytes a node a second (mean / most) |",
        "| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    for size in sizes:
        for step, found in measure(size, range(1, seeds + 1)).items():
            traffic = (
                f"{statistics.fmean(found.messages):.1f} | {statistics.fmean(found.bytes):.0f} / {found.most_bytes:.0f}"
                if found.messages
                else "- | -"
            )
            lines.append(
                f"| {size} | {step} | {span(found.config_s)} | {span(found.list_s)} | {found.depth} |"
                f" {found.left_out} | {traffic} |"
            )
    return "\n".join(lines)
