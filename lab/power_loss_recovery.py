"""How soon the core leads again, and all nodes hold the newest confirmed version, after a loss of all power.

Whole nodes on a simulated network. In each history a machine of the core may have been replaced, and some edge nodes
are cut off from the core; a change is confirmed; then all machines lose their power, one of the core its disk as well;
all start again, spread over a second, and the cut ends. Within `recoveryS` of the last start every edge node must hold
the newest version that was confirmed, and until then none may tell an older one.
"""

from __future__ import annotations

import asyncio
import math
import random
import statistics
from dataclasses import dataclass, replace

from lab.repair import CORE_MBPS, THIN_MBPS, begin
from lab.replacements import SYNC_S, Machine, Replacing, wait_a_minute
from lab.seeds import Faults, first_broken
from lab.simulation import Disk

#: Bound of the control deployments, in seconds.
RECOVERY_S = 15.0
#: How long the power is away, and over how long the machines start.
DOWN_S, SPREAD_S = (1.0, 6.0), 1.0
#: Edge nodes are cut off for up to so long before the change.
CUT_S = 3.0
EDGES, ROUTES = 8, 300


@dataclass(frozen=True, slots=True)
class Case:
    """What is drawn for one history."""

    cores: int
    mbps: float
    replaced: bool
    """A machine was replaced `syncS` before the end."""
    wiped: int
    """The place in the chain of the machine that loses its disk; beyond the chain: none."""
    down_s: float

    @classmethod
    def drawn(cls, seed: int) -> Case:
        rng = random.Random(f"closing {seed}")
        return cls(
            rng.choice((3, 5)),
            rng.choice((CORE_MBPS, THIN_MBPS)),
            rng.random() < 0.5,
            rng.randrange(4),
            rng.uniform(*DOWN_S),
        )


@dataclass(slots=True)
class Measurements:
    """Seconds from the last machine's start; infinite where it never came."""

    case: Case
    led_s: float = math.inf
    held_s: float = math.inf
    older: str = ""
    """Which node told an older version than one that was confirmed, if any."""


class History:
    """One loss of all power."""

    def __init__(self, seed: int, case: Case) -> None:
        self.found = Measurements(case)
        self.case = case
        self.rng = random.Random(f"closing history {seed}")
        self.cluster = Replacing(EDGES, seed, core_mbps=case.mbps, edge_mbps=case.mbps, routes=ROUTES, cores=case.cores)

    async def replace_one(self) -> None:
        """Some machine of the chain, by a new one; the group has stood without it for `syncS` afterwards."""
        cluster = self.cluster
        ip = self.rng.choice(cluster.newest().members())
        victim = next(machine for machine in cluster.machines if machine[1].ip == ip)
        cluster.stop(*victim)
        cluster.machines.remove(victim)
        await asyncio.sleep(1.0)
        cluster.stand_by(self.case.cores + 1)
        await asyncio.sleep(2 * SYNC_S)

    async def confirm(self) -> int:
        """A change that the root has published."""
        cluster = self.cluster
        root = cluster.root
        assert root is not None
        cluster.revision = root.tree.configuration.revision
        cluster.order_at(root.members()[0])
        assert await cluster.until(lambda: root.tree.configuration.revision >= cluster.revision) < math.inf
        return cluster.revision

    def cut_edges_off(self) -> None:
        """A third of the edge nodes reach no machine of the core."""
        edges = [host.ip for host, settings in self.cluster.machines if settings.front_listener is not None]
        lost = set(self.rng.sample(edges, EDGES // 3))
        cores = {host.ip for host, settings in self.cluster.machines if settings.front_listener is None}
        self.cluster.net.cut = lambda one, other: (
            (one.ip in lost and other.ip in cores) or (other.ip in lost and one.ip in cores)
        )

    async def lose_power(self) -> None:
        cluster = self.cluster
        chain = cluster.newest().members()
        for machine in cluster.machines:
            if machine[1].node in cluster.nodes:
                cluster.stop(*machine)
        for _, settings in cluster.machines:
            if settings.ip in chain and chain.index(settings.ip) == self.case.wiped:
                cluster.disks[settings.node] = Disk("f" * 12)
        await asyncio.sleep(self.case.down_s)
        for machine in self.rng.sample(cluster.machines, len(cluster.machines)):
            await asyncio.sleep(SPREAD_S / len(cluster.machines))
            self.start(machine)
        cluster.net.cut = lambda one, other: False

    def start(self, machine: Machine) -> None:
        host, settings = machine
        self.cluster.start(host, replace(settings, bootstrap=False))

    async def measure(self, confirmed: int) -> None:
        cluster, found = self.cluster, self.found

        def held() -> bool:
            told = {node.settings.node: node.tree.configuration.revision for node in cluster.edges}
            older = [name for name, revision in told.items() if 0 < revision < confirmed]
            found.older = found.older or " ".join(older)
            return len(told) == EDGES and all(revision >= confirmed for revision in told.values())

        began_s = cluster.loop.time()
        found.led_s = await cluster.until(lambda: cluster.root is not None, 2 * RECOVERY_S)
        if await cluster.until(held, 2 * RECOVERY_S) < math.inf:
            found.held_s = cluster.loop.time() - began_s

    async def play(self) -> None:
        await begin(self.cluster)
        if self.case.replaced:
            await self.replace_one()
        self.cut_edges_off()
        await asyncio.sleep(self.rng.uniform(0.0, CUT_S))
        confirmed = await self.confirm()
        await self.lose_power()
        await self.measure(confirmed)


def play(seed: int, case: Case | None = None) -> Measurements:
    """One history. Raises AssertionError where a callback of a node failed."""
    history = History(seed, case or Case.drawn(seed))
    history.cluster.play_out(history.play())
    return history.found


def broken(found: Measurements) -> str:
    """What a history breaks, if anything."""
    if found.older:
        return f"{found.older} told an older version than the confirmed one"
    return f"the newest version is held after {found.held_s:.2f} s" if found.held_s > RECOVERY_S else ""


#: Rules that are left out on purpose: without the replacement the group has too few disks left.
FAULTS: Faults = {"wait-a-minute": wait_a_minute}


def search(seeds: range, name: str = "") -> tuple[int, str] | None:
    """The first seed that breaks something, and what; with a rule left out by its name."""
    return first_broken(lambda seed: broken(play(seed)), seeds, FAULTS, name)


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """The same for a process of its own."""
    name, seeds = job
    return search(seeds, name)


def table(seeds: range) -> str:
    """Median and worst seconds from the last start, as a Markdown table."""
    found = [play(seed) for seed in seeds]
    lines = [
        "| core machines | one replaced before | histories | leads, s (median / worst) | all nodes hold it, s |",
        "| ---: | --- | ---: | ---: | ---: |",
    ]
    for cores in (3, 5):
        for replaced in (False, True):
            rows = [one for one in found if (one.case.cores, one.case.replaced) == (cores, replaced)]
            led_s, held_s = [one.led_s for one in rows], [one.held_s for one in rows]
            lines.append(
                f"| {cores} | {'yes' if replaced else 'no'} | {len(rows)} "
                f"| {statistics.median(led_s):.2f} / {max(led_s):.2f} "
                f"| {statistics.median(held_s):.2f} / {max(held_s):.2f} |"
            )
    return "\n".join(lines)
