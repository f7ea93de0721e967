"""Machines of the core cut off from each other, while all other nodes still reach every one of them: how soon is each
node under the new root and holds what was confirmed, and does any act on the word of the old one after that?

Whole nodes on a simulated network. The cut is both ways or one way, silent or with resets and refusals, for 0.5 to
25 s; meanwhile machines of either side restart, and some nodes with seeds that are all on the wrong side.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, fields, replace
from typing import Any
from unittest import mock

from cypressbeam.consensus.failure_detection import FAILURE_TIMEOUT_S
from cypressbeam.distribution.fencing import EpochFence
from cypressbeam.distribution.subscription import HEARTBEAT_TIMEOUT_S
from cypressbeam.node import core_machine
from cypressbeam.node.gateway_node import GatewayNode
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import Settings
from cypressbeam.transport.peers import Link
from lab.membership import CONTROL, Cluster, SimulatedNode, span
from lab.simulation import Disk, Host

EDGES = 16
WHO, WAYS, HOW = ("root", "head", "seed", "two"), ("both", "in", "out"), ("silent", "refuse")
RESTARTS = ("", "cut off", "others", "both", "edges")
LASTS_S = (0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 25.0)
#: Bounds, seconds: until all are under the root that leads; until all hold what was confirmed (convergeMs).
UNDER_S, NEWEST_S = 2.0, 3.0
#: A machine knows so long after a majority's last pulses that it hears none; then it names no root and has no news.
KNOWS_S = FAILURE_TIMEOUT_S + 0.2
TICK_S, ORDER_S, RESTART_S, SETTLE_S = 0.02, 0.4, 0.3, 6.0

Machine = tuple[Host, Settings]
#: Frames that say who leads or what is in force.
WORDS = (
    frames.RootHeartbeat,
    frames.ConfigurationAnnouncement,
    frames.ConfigurationDelta,
    frames.EndpointUpdate,
    frames.OutlierEjection,
    frames.ParentAssignment,
)


@dataclass(frozen=True)
class Case:
    who: str
    way: str
    """both; in: what the others send is lost; out: what they send themselves is lost."""
    how: str
    lasts_s: float
    restart: str
    cores: int

    @classmethod
    def drawn(cls, seed: int) -> Case:
        rng = random.Random(f"cut {seed}")
        cores = rng.choice((3, 5))
        who = rng.choice(WHO if cores == 5 else WHO[:3])
        return cls(who, rng.choice(WAYS), rng.choice(HOW), rng.choice(LASTS_S), rng.choice(RESTARTS), cores)


@dataclass
class Measurements:
    """Of one history: seconds, and what was not as it should be."""

    root_s: list[float] = field(default_factory=list)
    """From the cut until a root leads that is not cut off."""
    under_s: list[float] = field(default_factory=list)
    """From then until the last node is under it."""
    newest_s: list[float] = field(default_factory=list)
    """From the confirmation of the first version after the cut until the last node holds it."""
    cut_newest_s: list[float] = field(default_factory=list)
    """The same from the cut."""
    breaches: list[str] = field(default_factory=list)


class WatchedNode(SimulatedNode):
    """Keeps for itself what epochs it was told of, and looks at what its rules do with each frame."""

    history: History
    highest = 0

    def on_frame(self, link: Link, frame: frames.Frame) -> None:
        self.history.heard(self, link, frame)
        before = self.state()
        super().on_frame(link, frame)
        epoch = getattr(frame, "epoch", None)
        if epoch is None or not isinstance(
            frame, (*WORDS, frames.LeaderRedirect, frames.JoinRequest, frames.Subscribe)
        ):
            return
        if isinstance(frame, WORDS) and epoch < self.highest and self.state() != before:
            self.history.breach(
                f"{self.settings.node} took {type(frame).__name__} of epoch {epoch}, having seen {self.highest}"
            )
        self.highest = max(self.highest, epoch)

    def state(self) -> Any:
        """What a word of the root's may change."""
        at = self.tree
        return (
            at.configuration.newest,
            at.endpoints.endpoints.term,
            at.endpoints.endpoints.sequence,
            sum(at.heartbeats.numbers.values()),
            at.registration.assignment,
        )


class CutCluster(Cluster):
    history: History

    def add(self, name: str, ip: str, zone: str, core: bool) -> None:
        """Names differ by seed: who feeds whom follows from them."""
        super().add(f"{name}-{self.seed}", ip, zone, core)

    def make_node(self, host: Host, settings: Settings, disk: Disk | None) -> GatewayNode:
        node = WatchedNode(settings, disk)
        node.history = self.history
        return node


class History:
    def __init__(self, seed: int, case: Case | None = None, edges: int = EDGES) -> None:
        self.case = case or Case.drawn(seed)
        self.rng = random.Random(f"history {seed}")
        self.cluster = CutCluster(edges, seed, cores=self.case.cores)
        self.cluster.history = self
        self.found = Measurements()
        self.struck: list[Machine] = []
        self.pulses: dict[tuple[str, str], float] = {}
        """When a machine of the core had a pulse of another one last."""
        self.wrong_seeds: tuple[tuple[str, int], ...] = ()
        self.cut_s = self.calm_s = 0.0
        """When the cut began; when something changed last, for which all have their time."""
        self.lives: dict[int, int] = {}
        """The epoch in which each life of a root began."""
        self.acked: dict[int, float] = {}
        self.under_s: dict[str, float] = {}
        """When each edge node was last seen to be under the root that leads."""
        self.led: tuple[str, int] | None = None
        self.led_s = 0.0

    @property
    def now_s(self) -> float:
        return self.cluster.loop.time()

    def breach(self, text: str) -> None:
        self.found.breaches.append(f"{self.now_s - self.cut_s:.2f} s after the cut: {text}")

    # -- what is looked at ---------------------------------------------------------------------------------

    def is_struck(self, ip: str) -> bool:
        return any(settings.ip == ip for _, settings in self.struck)

    def heard(self, node: GatewayNode, link: Link, frame: frames.Frame) -> None:
        """What comes from a machine that is cut off, and must know that."""
        if isinstance(frame, frames.ReplicaHeartbeat):
            self.pulses[node.settings.ip, link.ip] = self.now_s
        said = isinstance(frame, WORDS) or (isinstance(frame, frames.LeaderRedirect) and frame.leader)
        if said and self.is_struck(link.ip) and not self.is_struck(node.settings.ip) and not self.passed_on(frame):
            lately = 1 + sum(self.now_s - at_s <= KNOWS_S for (at, _), at_s in self.pulses.items() if at == link.ip)
            if lately <= self.case.cores // 2:
                self.breach(f"{link.ip}, cut off, sends {frame}")

    def passed_on(self, frame: frames.Frame) -> bool:
        """Whether it is the word of the root that leads: an edge node may feed a machine that is cut off."""
        root = self.leader()
        if root is None or root.core is None or root.core.view is None:
            return False
        if isinstance(frame, (frames.RootHeartbeat, frames.EndpointUpdate)):
            return frame.term == root.tree.endpoints.endpoints.term
        return (
            isinstance(frame, (frames.ConfigurationAnnouncement, frames.ConfigurationDelta, frames.OutlierEjection))
            and getattr(frame, "epoch", 0) == root.core.view.epoch
        )

    def leader(self) -> GatewayNode | None:
        """The root that leads, by the newest view; not one that is cut off."""
        led = [
            (core.view.epoch, node)
            for node in self.cluster.nodes.values()
            if (core := node.core) is not None
            and core.view is not None
            and core.replica is not None
            and node.tree.position.is_root
            and core.replica.leadership.leads(self.now_s)
            and not (self.cut_s and self.is_struck(node.settings.ip))
        ]
        return max(led, key=lambda one: one[0], default=(0, None))[1]

    def under(self, node: GatewayNode, root: GatewayNode) -> bool:
        """Whether a node's parents lead to the root, and its beats come."""
        by_ip = {other.settings.ip: other for other in self.cluster.nodes.values()}
        at: GatewayNode | None = node
        for _ in range(len(by_ip)):
            if at is None or at is root or at.tree.subscription.parent is None:
                break
            at = by_ip.get(at.tree.subscription.parent.ip)
        return at is root and self.now_s - node.tree.subscription.heartbeat_s < HEARTBEAT_TIMEOUT_S

    def look(self) -> None:
        """One instant: bounds, and that nobody goes back to a list of an earlier root's."""
        root = self.leader()
        now = (root.settings.ip, root.tree.endpoints.endpoints.term) if root is not None else None
        if now != self.led:
            self.led, self.led_s = now, self.now_s
        if root is None:
            return
        assert root.core is not None and root.core.view is not None
        self.lives.setdefault(root.tree.endpoints.endpoints.term, root.core.view.epoch)
        if root.tree.configuration.revision == self.cluster.revision:
            self.acked.setdefault(self.cluster.revision, self.now_s)
        for node in self.cluster.edges:
            if self.under(node, root):
                self.under_s[node.settings.node] = self.now_s
            elif self.now_s - max(self.led_s, self.calm_s, self.under_s.get(node.settings.node, 0.0)) > UNDER_S:
                self.breach(f"{node.settings.node} not under {root.settings.node} for {UNDER_S} s")
        due = [revision for revision, at_s in self.acked.items() if self.now_s - max(at_s, self.calm_s) > NEWEST_S]
        behind = [
            node.settings.node for node in self.cluster.edges if due and node.tree.configuration.revision < max(due)
        ]
        if behind:
            self.breach(f"{' '.join(behind)} without version {max(due)} after {NEWEST_S} s")

    # -- what happens --------------------------------------------------------------------------------------

    def settle_on(self, root: GatewayNode) -> list[Machine]:
        cores = self.cluster.machines[: self.case.cores]
        by_ip = {settings.ip: (host, settings) for host, settings in cores}
        members = root.members()
        if self.case.who == "root":
            return [by_ip[members[-1]]]
        if self.case.who == "head":
            return [by_ip[members[0]]]
        if self.case.who == "seed":
            return [cores[0]]
        return [by_ip[members[-1]], by_ip[members[0]]]

    def cut(self) -> None:
        struck = {host.ip for host, _ in self.struck}
        cores = {host.ip for host, _ in self.cluster.machines[: self.case.cores]}

        def lost(one: Host, other: Host) -> bool:
            if not (one.ip in cores and other.ip in cores) or (one.ip in struck) == (other.ip in struck):
                return False
            return self.case.way == "both" or (one.ip in struck) == (self.case.way == "out")

        self.cluster.net.cut = lost
        self.cluster.net.refuses = self.case.how != "silent"

    async def restart(self, machine: Machine, wrong_seeds: bool = False) -> None:
        host, settings = machine
        settings = replace(settings, bootstrap=False)
        if wrong_seeds:
            settings = replace(settings, seeds=self.wrong_seeds)
        self.cluster.stop(*machine)
        self.calm_s = self.now_s + RESTART_S
        await asyncio.sleep(RESTART_S)
        self.cluster.start(host, settings)
        self.calm_s = self.now_s

    async def restarts(self) -> None:
        kind = self.case.restart
        await asyncio.sleep(self.rng.uniform(0.1, 0.6) * self.case.lasts_s)
        others = [one for one in self.cluster.machines[: self.case.cores] if one not in self.struck]
        if kind in ("cut off", "both"):
            for machine in self.struck:
                await self.restart(machine)
        if kind in ("others", "both"):
            await self.restart(self.rng.choice(others))
        if kind == "edges":
            for machine in self.rng.sample(self.cluster.machines[self.case.cores :], 3):
                await self.restart(machine, wrong_seeds=True)

    async def operate(self) -> None:
        """A change every now and then at the head of the side that leads; one that was not taken again."""
        while True:
            root = self.leader()
            if root is not None:
                if root.tree.configuration.revision < self.cluster.revision:
                    self.cluster.revision -= 1
                with contextlib.suppress(StopIteration):  # the head is just restarting
                    self.cluster.order_at(root.members()[0])
            await asyncio.sleep(ORDER_S)

    async def measure(self) -> None:
        """From the cut on: the root, all under it, and the first version that is confirmed after it."""
        found, until = self.found, self.cluster.until
        took_s = await until(lambda: self.leader() is not None, self.case.lasts_s)
        root = self.leader()
        if root is None:
            return
        found.root_s.append(took_s)
        first = self.cluster.revision + 1
        found.under_s.append(await until(lambda: all(self.under(node, root) for node in self.cluster.edges)))
        await until(lambda: any(revision >= first for revision in self.acked))
        number, at_s = min((one, at) for one, at in self.acked.items() if one >= first)
        await until(lambda: all(node.tree.configuration.revision >= number for node in self.cluster.edges))
        found.newest_s.append(self.now_s - at_s)
        found.cut_newest_s.append(self.now_s - self.cut_s)

    async def watch(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(TICK_S)

    async def play(self) -> None:
        cluster = self.cluster
        await cluster.start_tree()
        cluster.order()
        await cluster.known_by_all()
        cluster.poll(5)
        await asyncio.sleep(self.rng.uniform(3.0, 6.0))  # joins are renewed at any time before it
        root = self.leader()
        assert root is not None
        self.struck = self.settle_on(root)
        self.wrong_seeds = tuple((host.ip, CONTROL) for host, _ in self.struck)
        self.cut_s = self.calm_s = self.now_s
        self.cut()
        tasks = [cluster.loop.create_task(what) for what in (self.watch(), self.operate(), self.restarts())]
        measured = cluster.loop.create_task(self.measure())
        await asyncio.sleep(self.case.lasts_s)
        cluster.net.cut = lambda one, other: False
        cluster.net.refuses = False
        self.struck, self.calm_s = [], self.now_s
        await asyncio.sleep(SETTLE_S)
        for task in [*tasks, measured]:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result


def play(seed: int, case: Case | None = None, edges: int = EDGES) -> tuple[Case, Measurements]:
    history = History(seed, case, edges)
    try:
        history.cluster.run(history.play())
        if history.cluster.net.faults:
            history.found.breaches.append(str(dict(history.cluster.net.faults)))
        return history.case, history.found
    finally:
        history.cluster.close()


# -- faults that must be found -----------------------------------------------------------------------------------


@contextlib.contextmanager
def no_epochs() -> Iterator[None]:
    """Nobody looks at the epoch of what it is told."""
    with (
        mock.patch.object(EpochFence, "rejects", lambda self, link, epoch: False),
        mock.patch.object(EpochFence, "observe", lambda self, epoch: setattr(self, "epoch", max(self.epoch, epoch))),
    ):
        yield


@contextlib.contextmanager
def names_itself() -> Iterator[None]:
    """A machine of the core names the last of the chain that it holds, whomever it hears."""

    def vouched(self: core_machine.CoreMachine) -> str:
        return self.view.members[-1] if self.view is not None else ""

    with mock.patch.object(core_machine.CoreMachine, "vouched_leader", vouched):
        yield


FAULTS = {"no epochs": no_epochs, "names itself": names_itself}


@dataclass
class Report:
    """Of many histories: times by who is cut off and which way, and the first histories that broke something."""

    rows: dict[str, Measurements] = field(default_factory=dict)
    broken: list[tuple[int, str]] = field(default_factory=list)
    played: int = 0

    def add(self, other: Report) -> None:
        for name, found in other.rows.items():
            self.take(name, found)
        self.broken += other.broken
        self.played += other.played

    def take(self, name: str, found: Measurements) -> None:
        row = self.rows.setdefault(name, Measurements())
        for item in fields(Measurements):
            getattr(row, item.name).extend(getattr(found, item.name))

    def table(self) -> str:
        """Seconds (median / worst) as a Markdown table."""
        lines = [
            "| cut off | way | with a root | cut to root | root to all under it | confirmed to all hold it |"
            " cut to all hold it | broken |",
            "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |",
        ]
        for name, row in sorted(self.rows.items()):
            lines.append(
                f"| {name} | {len(row.root_s)} | {span(row.root_s)} | {span(row.under_s)} |"
                f" {span(row.newest_s)} | {span(row.cut_newest_s)} | {len(row.breaches)} |"
            )
        return "\n".join(lines)


def search(seeds: Iterable[int], fault: str = "", edges: int = EDGES) -> Report:
    """Play these histories; with a fault only until the first that breaks something."""
    report = Report()
    with FAULTS[fault]() if fault else contextlib.nullcontext():
        for seed in seeds:
            case, found = play(seed, edges=edges)
            report.played += 1
            report.take(f"{case.who} | {case.way}", replace(found, breaches=found.breaches[:1]))
            if found.breaches:
                report.broken.append((seed, f"{case}: {found.breaches[0]}"))
                if fault:
                    break
    return report


def search_with(job: tuple[str, range]) -> Report:
    """The same for a process of its own."""
    return search(job[1], job[0])
