"""How long the core takes to stand again after each kind of loss: whole nodes on a simulated network, with thin links
and a large configuration. It stands once an active view holds as many whole copies as before, a majority among them."""

from __future__ import annotations

import asyncio
import base64
import math
import random
from collections.abc import Iterable
from dataclasses import replace

import cbor2

from cypressbeam.consensus.membership import ADD, REMOVE, REPLACE
from cypressbeam.node.gateway_node import GatewayNode
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import Settings
from lab.membership import Cluster
from lab.simulation import Disk, Host

KINDS = ("killed", "wiped", "gone, replaced by an operator", "gone, replaced by itself")
#: A configuration of 300 kB, of which packing leaves over half: routes, and bytes of chance in the prefix of each.
ROUTES, PREFIX_BYTES = 850, 180
#: Links: of a core machine of the grown deployments, and of the thinnest edge node.
CORE_MBPS, THIN_MBPS = 30.0, 2.75
#: A machine that lost its power is back after so long, when the others have mended the chain. An operator asks again
#: after so long.
BACK_S, AGAIN_S = 3.0, 0.3
#: A member that is silent for so long is gone for good, in a history in which that is looked at.
GONE_S = 20.0
STANDS_S = 60.0


class Core(Cluster):
    """A cluster that may lose core machines for good, and get others."""

    replace_after_s = 0.0

    def configuration(self, revision: int) -> bytes:
        """Prefixes that do not pack well, the same in each version."""
        made = cbor2.loads(super().configuration(revision))
        rng = random.Random(self.seed)
        for channel in made["channels"][-ROUTES:]:
            channel["prefix"] = f"/{base64.urlsafe_b64encode(rng.randbytes(PREFIX_BYTES)).decode()}/"
        return cbor2.dumps(made)

    def settings_of(self, name: str, ip: str, zone: str, core: bool) -> Settings:
        return replace(super().settings_of(name, ip, zone, core), replace_after_s=self.replace_after_s)

    def stand_by(self, number: int) -> tuple[Host, Settings]:
        """A new core machine with an empty disk, at an address of its own."""
        self.add(f"core-{number}", f"10.{number}.9.9", "a", core=True)
        host, settings = self.machines[-1]
        machine = self.machines[-1] = host, replace(settings, bootstrap=False)
        self.start(*machine)
        return machine

    def cores_up(self) -> list[GatewayNode]:
        return [node for node in self.nodes.values() if node.core is not None]

    def newest(self) -> GatewayNode:
        """The core machine that holds the newest view."""
        return max(self.cores_up(), key=lambda node: node.core.view.epoch if node.core and node.core.view else 0)

    def group(self) -> frozenset[str]:
        core = self.newest().core
        assert core is not None and core.view is not None
        return frozenset(name.partition("/")[0] for name in core.view.group)

    def stands(self, addresses: Iterable[str]) -> bool:
        """Whether these are the group, all of them whole copies of an active chain, and one of them the root."""
        wanted = frozenset(addresses)
        views, there = set(), 0
        for node in self.cores_up():
            if node.settings.ip in wanted:
                member = node.core.replica.state.chain if node.core and node.core.replica else None
                if member is None or not member.active or member.sealed or len(member.view.chain) != len(wanted):
                    return False
                there += 1
                views.add((member.view.epoch, frozenset(ip.partition("/")[0] for ip in member.view.group)))
        return there == len(wanted) and len(views) == 1 and views.pop()[1] == wanted and self.root is not None

    def change(self, kind: int, old: str, new: str, base: frozenset[str]) -> None:
        """An operator's order, given to some machine of the core."""
        node = self.newest()
        assert node.core is not None
        self.at(
            node,
            node.core.on_message,
            frames.MembershipChangeRequest(1, node.settings.ip, kind, old, new, tuple(sorted(base))),
        )

    async def change_until(self, kind: int, old: str, new: str, most_s: float = STANDS_S) -> float:
        """Give an order again and again, as `cypressbeam member` does; seconds until the group is as wanted, and
        stands."""
        base = self.group()
        wanted = (base | {new} if kind in (ADD, REPLACE) else base) - ({old} if kind in (REMOVE, REPLACE) else set())
        began_s = self.loop.time()
        while self.loop.time() - began_s < most_s:
            self.change(kind, old, new, base)
            if await self.until(lambda: self.stands(wanted), AGAIN_S) < math.inf:
                return self.loop.time() - began_s
        return math.inf


async def begin(cluster: Core) -> None:
    """All run, and a large configuration is in force."""
    for machine in cluster.machines:
        cluster.start(*machine)
    assert (
        await cluster.until(
            lambda: (
                cluster.root is not None
                and cluster.stands(settings.ip for _, settings in cluster.machines if settings.front_listener is None)
            )
        )
        < math.inf
    )
    cluster.order()
    assert (
        await cluster.until(
            lambda: all(node.tree.configuration.revision >= cluster.revision for node in cluster.cores_up())
        )
        < math.inf
    )


async def lose(cluster: Core, kind: str) -> float:
    """Lose the head, and see all stand again: seconds, from its start where it comes back, from the order where an
    operator replaces it, from the loss where that is done by itself."""
    await begin(cluster)
    addresses = cluster.group()
    head = next(machine for machine in cluster.machines if machine[1].ip == cluster.newest().members()[0])
    if "gone" in kind:
        new = cluster.stand_by(len(addresses) + 1)[1].ip
        await asyncio.sleep(3.0)
        lost_s = cluster.loop.time()
        cluster.stop(*head)
        wanted = addresses - {head[1].ip} | {new}
        if "operator" in kind:
            await asyncio.sleep(2.0)
            return await cluster.change_until(REPLACE, head[1].ip, new)
        await cluster.until(lambda: cluster.stands(wanted), STANDS_S + GONE_S)
        return cluster.loop.time() - lost_s if cluster.stands(wanted) else math.inf
    cluster.stop(*head)
    if kind == "wiped":
        cluster.disks[head[1].node] = Disk("ffffffffffff")
        head = head[0], replace(head[1], bootstrap=False)
    await asyncio.sleep(BACK_S)
    cluster.start(*head)
    return await cluster.until(lambda: cluster.stands(addresses), STANDS_S)


def measure(kind: str, cores: int, core_mbps: float, seed: int, edges: int = 6) -> float:
    """One history; its seconds. Raises AssertionError where a callback of a node failed."""
    made = type("Made", (Core,), {"replace_after_s": GONE_S if "itself" in kind else 0.0})
    cluster: Core = made(edges, seed, core_mbps=core_mbps, edge_mbps=THIN_MBPS, routes=ROUTES, cores=cores)
    try:
        took_s: float = cluster.run(lose(cluster, kind))
        assert not cluster.net.faults, cluster.net.faults
        return took_s
    finally:
        cluster.close()


def table(seeds: int) -> str:
    """Every kind of loss, three and five core machines, two kinds of links, as a Markdown table."""
    lines = [
        "| lost | core machines | Mbit/s each | stands again after, s (worst of seeds) |",
        "| --- | ---: | ---: | ---: |",
    ]
    for kind in KINDS:
        for cores in (3, 5):
            for mbps in (CORE_MBPS, THIN_MBPS):
                worst = max(measure(kind, cores, mbps, seed) for seed in range(1, seeds + 1))
                lines.append(f"| {kind} | {cores} | {mbps:g} | {worst:.2f} |")
    return "\n".join(lines)
