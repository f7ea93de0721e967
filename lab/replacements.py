"""How long a replaced core machine goes on counting as lost, and whether the core bears the next loss after that.

Whole nodes on a simulated network. In each history a machine of the core is replaced by one at another address with an
empty disk, while something else is wrong. Unplanned: it loses its power and the successor starts later. Planned: the
successor starts first, then the machine is told to stop. False alarm: a spare is there and a machine is cut off for a
while, so that it is replaced and comes back as a spare; then another one loses its power for good.

The time measured runs from the successor's start to an active view in which every member of the group is present and
the machine has no part. The bound is `syncS`, or the machine's end where that comes later (the time then counts from
`syncS` before the end): from then on another machine may lose its power together with its disk, and no confirmed
change may be missing.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import statistics
from collections.abc import Callable, Coroutine, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass, field, replace
from typing import Any
from unittest import mock

from cypressbeam.consensus.membership import REPLACE, MembershipChange
from cypressbeam.consensus.replacement import ReplacementManager
from cypressbeam.consensus.state import DiskState
from cypressbeam.consensus.views import View, ip_of
from cypressbeam.node import gateway_node as nodes
from cypressbeam.protocol.settings import REPLACE_AFTER_FRACTION, Settings
from lab.repair import CORE_MBPS, ROUTES, THIN_MBPS, Core, begin
from lab.seeds import first_broken
from lab.simulation import Disk, Host

#: Figures of the control deployments, in seconds.
SYNC_S, GRACE_S = 4.0, 6.0
UNPLANNED, PLANNED, FALSE_ALARM = KINDS = ("unplanned", "planned", "false alarm")
#: The other fault of a history, "none" included.
TROUBLES = ("none", "storm", "slow disk", "head restarts", "one-way cut", "second replacement")
#: Seconds: between two changes of a storm, a write on a slow disk, a restart, a one-way cut.
STORM_S, SLOW_WRITE_S, RESTART_S, ONE_WAY_S = 0.25, 0.15, 1.0, 1.5
#: The successor starts so long after the machine is gone; in a planned replacement, so long before it is told to stop.
LATER_S, EARLIER_S = (0.0, 1.5), (1.0, 5.0)
#: A history is given up after so long.
MOST_S = 30.0
#: After the second loss the others must confirm a change within so long.
NEXT_CHANGE_S = 6.0
TICK_S = 0.02
#: The state is looked at this often, so a time is known no better.
LEEWAY_S = 0.03

Machine = tuple[Host, Settings]


@dataclass(frozen=True, slots=True)
class Case:
    """What is drawn for one history."""

    kind: str
    """One of `KINDS`."""
    position: int
    """Of the machine that is replaced in the chain: 0 is the head."""
    trouble: str
    gap_s: float
    """From one half of the replacement to the other."""
    cores: int
    mbps: float

    @classmethod
    def drawn(cls, seed: int) -> Case:
        rng = random.Random(f"replacement {seed}")
        kind = rng.choice(KINDS)
        cores = rng.choice((3, 3, 5))
        gap_s = rng.uniform(*(LATER_S if kind == UNPLANNED else EARLIER_S))
        return cls(kind, rng.randrange(cores), rng.choice(TROUBLES), gap_s, cores, rng.choice((CORE_MBPS, THIN_MBPS)))


@dataclass(slots=True)
class Measurements:
    """What one history showed."""

    case: Case
    replaced_s: list[float] = field(default_factory=list)
    """Infinite where it never came."""
    lost: str = ""
    """What did not hold after the second loss, if anything."""


class Replacing(Core):
    """A cluster whose machines are told to stop as by SIGTERM, too."""

    replace_after_s = REPLACE_AFTER_FRACTION * SYNC_S

    async def told_to_stop(self, machine: Machine) -> None:
        """SIGTERM; the power goes when the process has ended, or after the grace period."""
        node = self.nodes[machine[1].node]
        host = machine[0]
        task = self.loop.create_task(node.stop(), context=host.context.copy())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GRACE_S):
                await asyncio.shield(task)
        self.stop(*machine)

    def group_stands_without(self, ip: str) -> bool:
        """Whether an active view counts only machines that are there, in an odd group without that address."""
        up = {node.settings.ip for node in self.cores_up()}
        for node in self.cores_up():
            member = node.core.replica.state.chain if node.core is not None and node.core.replica is not None else None
            if member is None or not member.active or member.sealed or not member.is_caught_up():
                continue
            group = {ip_of(name) for name in member.view.group}
            if ip not in group and group <= up and len(group) % 2 == 1 and self.has_copies(member.view):
                return True
        return False

    def play_out(self, scenario: Coroutine[Any, Any, None]) -> None:
        """Run a scenario to its end, and close the cluster. Raises AssertionError where a callback of a node failed."""
        try:
            self.run(scenario)
            assert not self.net.faults, self.net.faults
        finally:
            self.close()

    def has_copies(self, view: View) -> bool:
        """Whether a view's chain lacks no more than the members that may be lost beside the one that is replaced."""
        return len(view.chain) >= len(view.group) - (self.cores // 2 - 1)


class History:
    """One replacement, or two in a row, and then the loss of one more machine with its disk."""

    def __init__(self, seed: int, case: Case) -> None:
        self.case = case
        self.found = Measurements(case)
        self.rng = random.Random(f"history {seed}")
        self.cluster = Replacing(4, seed, core_mbps=case.mbps, edge_mbps=case.mbps, routes=ROUTES, cores=case.cores)
        self.spares = case.cores
        self.troubled_until_s = 0.0
        """When a second machine was last down or cut off: where only one may be lost, nothing is promised before."""

    @property
    def now_s(self) -> float:
        return self.cluster.loop.time()

    def machine_at(self, ip: str) -> Machine:
        return next(machine for machine in self.cluster.machines if machine[1].ip == ip)

    def successor(self) -> None:
        self.spares += 1
        self.cluster.stand_by(self.spares)

    async def replace(self, machine: Machine) -> None:
        """One replacement; how long the machine went on counting."""
        if self.case.kind == PLANNED:
            self.successor()
            started_s = self.now_s
            await asyncio.sleep(self.case.gap_s)
            await self.cluster.told_to_stop(machine)
            since_s = max(started_s, self.now_s - SYNC_S)
        else:
            self.cluster.stop(*machine)
            await asyncio.sleep(self.case.gap_s)
            self.successor()
            since_s = self.now_s
        await self.gone_from_group(machine, since_s)

    async def gone_from_group(self, machine: Machine, since_s: float) -> None:
        """Wait until the group stands without a machine, and note how long that took."""
        there_s = await self.cluster.until(lambda: self.cluster.group_stands_without(machine[1].ip), MOST_S)
        if self.case.cores // 2 == 1:
            since_s = max(since_s, self.troubled_until_s)
        self.found.replaced_s.append(math.inf if there_s == math.inf else self.now_s - since_s)

    async def false_alarm(self, machine: Machine) -> None:
        """A machine is cut off until a spare has taken its place, and comes back."""
        self.successor()
        await asyncio.sleep(self.case.gap_s)
        self.cluster.net.cut = lambda near, far: (near is machine[0]) != (far is machine[0])
        await self.cluster.until(lambda: self.cluster.group_stands_without(machine[1].ip), MOST_S)
        self.cluster.net.cut = lambda near, far: False
        self.troubled_until_s = self.now_s
        await asyncio.sleep(SYNC_S)

    async def lose_for_good(self, machine: Machine) -> None:
        """A machine loses its power while a spare is there, which may be a former member."""
        self.cluster.stop(*machine)
        await self.gone_from_group(machine, self.now_s)

    async def trouble(self, spared: str) -> None:
        """Something else that is wrong meanwhile."""
        trouble, cluster = self.case.trouble, self.cluster
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        others = [machine for machine in cluster.machines[: self.case.cores] if machine[1].ip != spared]
        if trouble == "storm":
            await self.storm()
        elif trouble == "slow disk":
            cluster.disks[self.rng.choice(others)[1].node].sync_s = SLOW_WRITE_S
        elif trouble == "one-way cut":
            await self.one_way_cut(others)
        elif trouble == "head restarts":
            head = cluster.newest().members()[0]
            if head != spared and head in cluster.group():
                await self.restart(self.machine_at(head))

    async def storm(self) -> None:
        while True:
            root = self.cluster.root
            if root is not None and root.tree.configuration.revision >= self.cluster.revision:
                with contextlib.suppress(StopIteration):
                    self.cluster.order_at(root.members()[0])
            await asyncio.sleep(STORM_S)

    async def restart(self, machine: Machine) -> None:
        self.cluster.stop(*machine)
        await asyncio.sleep(RESTART_S)
        self.cluster.start(machine[0], replace(machine[1], bootstrap=False))
        self.troubled_until_s = self.now_s

    async def one_way_cut(self, others: list[Machine]) -> None:
        one, other = (machine[0].ip for machine in self.rng.sample(others, 2))
        self.cluster.net.cut = lambda near, far: (near.ip, far.ip) == (one, other)
        await asyncio.sleep(ONE_WAY_S)
        self.cluster.net.cut = lambda near, far: False
        self.troubled_until_s = self.now_s

    def newest_confirmed(self) -> bool:
        root = self.cluster.root
        return root is not None and root.tree.configuration.revision >= self.cluster.revision

    async def lose_another(self) -> None:
        """The first machine of the chain that is left dies, and nothing of its disk comes back."""
        cluster = self.cluster
        victim = self.machine_at(cluster.newest().members()[0])
        confirmed = max(node.tree.configuration.revision for node in cluster.cores_up())
        cluster.stop(*victim)
        cluster.disks[victim[1].node] = Disk("f" * 12)
        began_s = self.now_s
        while self.now_s - began_s < NEXT_CHANGE_S:
            root = cluster.root
            if root is not None and root.settings.ip != victim[1].ip:
                if root.tree.configuration.revision < confirmed:
                    self.found.lost = (
                        f"version {confirmed} was confirmed, the core has {root.tree.configuration.revision}"
                    )
                    return
                cluster.revision = root.tree.configuration.revision
                with contextlib.suppress(StopIteration):
                    cluster.order_at(root.members()[0])
                if await cluster.until(self.newest_confirmed, 0.5) < math.inf:
                    return
            await asyncio.sleep(TICK_S)
        self.found.lost = "no change was taken after another loss"

    async def play(self) -> None:
        cluster, case = self.cluster, self.case
        await begin(cluster)
        victim = self.machine_at(cluster.newest().members()[case.position])
        if case.kind == FALSE_ALARM:
            await self.false_alarm(victim)
            victim = self.machine_at(cluster.newest().members()[case.position])
        trouble = cluster.loop.create_task(self.trouble(victim[1].ip))
        if case.kind == FALSE_ALARM:
            await self.lose_for_good(victim)
        else:
            await self.replace(victim)
        if case.trouble == "second replacement" and case.kind != FALSE_ALARM:
            await self.replace(self.machine_at(cluster.newest().members()[self.rng.randrange(case.cores)]))
        if case.trouble == "storm":
            trouble.cancel()
        else:
            await trouble
        if math.inf not in self.found.replaced_s:
            await asyncio.sleep(
                max(SYNC_S - self.found.replaced_s[-1], self.troubled_until_s + SYNC_S - self.now_s, 0.0)
            )
            await self.lose_another()


def play(seed: int, case: Case | None = None) -> Measurements:
    """One history. Raises AssertionError where a callback of a node failed."""
    history = History(seed, case or Case.drawn(seed))
    history.cluster.play_out(history.play())
    return history.found


def broken(found: Measurements) -> str:
    """What a history breaks, if anything."""
    worst_s = max(found.replaced_s, default=0.0)
    if worst_s > SYNC_S + LEEWAY_S:
        return f"replaced after {worst_s:.2f} s"
    return found.lost


# -- seeded faults ---------------------------------------------------------------------------------------------------


def wait_a_minute() -> AbstractContextManager[Any]:
    """A member is replaced only after 60 s of silence."""
    return mock.patch.object(Replacing, "replace_after_s", 60.0)


def no_handover() -> AbstractContextManager[Any]:
    """A member that is told to stop does not ask for its replacement."""
    return mock.patch.object(ReplacementManager, "departure_change", lambda self, now_s: None)


def hand_over_too_late() -> AbstractContextManager[Any]:
    """The replacement is asked for once the connections to the others are closed."""

    async def stop(self: nodes.GatewayNode) -> None:
        self.tree.drain()
        self.peers.close()
        await self.hand_over(self.loop.time() + GRACE_S)

    return mock.patch.object(nodes.GatewayNode, "stop", stop)


@contextlib.contextmanager
def no_way_back() -> Iterator[None]:
    """A former member is never taken in again."""
    real = ReplacementManager.spares

    def spares(self: ReplacementManager, now_s: float) -> list[str]:
        heard = self.replica.failure_detector.peers
        return [ip for ip in real(self, now_s) if heard[ip].disk_state != DiskState.VOTER]

    with mock.patch.object(ReplacementManager, "spares", spares):
        yield


def leave_it_half_done() -> AbstractContextManager[Any]:
    """The spare is added, and the old member stays in the group."""

    def steps(self: MembershipChange) -> list[frozenset[str]]:
        return [self.base, self.base | {self.new}] if self.kind == REPLACE else [self.base, self.base - {self.old}]

    return mock.patch.object(MembershipChange, "steps", steps)


FAULTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "wait-a-minute": wait_a_minute,
    "no-handover": no_handover,
    "hand-over-too-late": hand_over_too_late,
    "no-way-back": no_way_back,
    "leave-it-half-done": leave_it_half_done,
}


def search(seeds: range, name: str = "") -> tuple[int, str] | None:
    """The first seed that breaks something, and what; with a rule left out by its name."""
    return first_broken(lambda seed: broken(play(seed)), seeds, FAULTS, name)


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """The same for a process of its own."""
    name, seeds = job
    return search(seeds, name)


def table(seeds: range) -> str:
    """Worst and median time by trouble, as a Markdown table."""
    times: dict[tuple[str, str], list[float]] = {}
    for seed in seeds:
        found = play(seed)
        times.setdefault((found.case.trouble, found.case.kind), []).extend(found.replaced_s)
    lines = ["| trouble meanwhile | replacement | count | median, s | worst, s |", "| --- | --- | ---: | ---: | ---: |"]
    for (trouble, kind), taken_s in sorted(times.items()):
        lines.append(f"| {trouble} | {kind} | {len(taken_s)} | {statistics.median(taken_s):.2f} | {max(taken_s):.2f} |")
    return "\n".join(lines)
