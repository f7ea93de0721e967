"""The first start of a system: exactly one group is founded, whatever is killed meanwhile."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import pytest

from cypressbeam.consensus.bootstrap import (
    BOOTSTRAP_EPOCH,
    CANDIDATE_WAIT_S,
    FIRST_REPAIR_EPOCH,
    TAKEOVER_WAIT_S,
    Bootstrap,
)
from cypressbeam.consensus.effects import PersistBootstrapPromise, PersistView
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import View, ip_of
from cypressbeam.protocol import frames
from cypressbeam.storage.store import FILE_NAME, SqliteStore, StoreError
from lab.membership import CONTROL, Cluster

pytestmark = pytest.mark.usefixtures("quiet")

SEEDS = ("10.0.0.1", "10.1.0.1", "10.2.0.1")
NAMES = tuple(f"{ip}/disk" for ip in SEEDS)
#: `recoveryS` of the deployments.
RECOVERY_S = 15.0
EDGES = 3


@dataclass(frozen=True)
class Kill:
    """A machine that is killed during the first start, and comes back."""

    machine: int
    at_s: float
    down_s: float
    loses_disk: bool = False


def drawn_kills(rng: random.Random, cores: int) -> list[Kill]:
    """One or two kills of any machine in the first five seconds; at most one loses its disk."""
    kills = []
    for _ in range(rng.choice([1, 1, 2])):
        at_s = rng.choice([rng.uniform(0.0, 0.6), rng.uniform(0.0, 5.0)])
        kills.append(Kill(rng.randrange(cores + EDGES), at_s, rng.uniform(0.2, 2.0)))
    if rng.random() < 0.4:
        kills[0] = replace(kills[0], loses_disk=True)
    return kills


class FirstStart:
    """The first start of a cluster with kills. Records every view that a core machine has active."""

    def __init__(self, cores: int, seed: int, kills: list[Kill], edge_seeds: bool = False) -> None:
        self.rng = random.Random(f"first start {seed}")
        self.cluster = Cluster(EDGES, seed, cores=cores)
        if edge_seeds:
            edges = [settings for _, settings in self.cluster.machines if settings.front_listener is not None]
            seeds = tuple((settings.ip, CONTROL) for settings in edges)
            self.cluster.machines = [(host, replace(settings, seeds=seeds)) for host, settings in self.cluster.machines]
        self.kills = kills
        self.active_views: dict[int, set[tuple[str, ...]]] = {}

    async def kill(self, kill: Kill) -> None:
        """Kill a machine if it runs, and start it again, as the pages say without `bootstrap`."""
        cluster = self.cluster
        host, settings = cluster.machines[kill.machine]
        await asyncio.sleep(kill.at_s)
        if settings.node not in cluster.nodes or not host.up:
            return
        cluster.stop(host, settings)
        if kill.loses_disk:
            cluster.disks.pop(settings.node, None)
        await asyncio.sleep(kill.down_s)
        cluster.start(host, replace(settings, bootstrap=False))

    def observe(self) -> None:
        for node in self.cluster.nodes.values():
            replica = node.core.replica if node.core is not None else None
            if replica is not None and replica.state.view is not None and replica.state.is_active():
                view = replica.state.view
                self.active_views.setdefault(view.epoch, set()).add(view.group)

    async def watch(self) -> None:
        while True:
            self.observe()
            await asyncio.sleep(0.02)

    async def start(self, machine: int) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        self.cluster.start(*self.cluster.machines[machine])

    def is_whole(self) -> bool:
        """Whether all core machines know the same view, and all nodes the newest configuration."""
        cores = [node.core for node in self.cluster.nodes.values() if node.core is not None]
        views = {core.view for core in cores}
        return (
            len(cores) == self.cluster.cores
            and len(views) == 1
            and None not in views
            and self.cluster.root is not None
            and len(self.cluster.edges) == EDGES
            and all(node.tree.configuration.revision for node in self.cluster.edges)
        )

    async def order(self) -> None:
        """Send the first configuration to the head, as often as it takes."""
        while True:
            nodes = list(self.cluster.nodes.values())
            heads = [node.members()[0] for node in nodes if node.core is not None and node.members()]
            if heads and any(node.settings.ip == heads[0] for node in nodes):
                self.cluster.revision = 0
                self.cluster.order_at(heads[0])
            await asyncio.sleep(0.5)

    async def play(self) -> float:
        """Seconds after the last machine is back until the system is whole; infinite if it is not in time."""
        watch = asyncio.create_task(self.watch())
        await asyncio.gather(
            *(self.start(machine) for machine in range(len(self.cluster.machines))),
            *(self.kill(kill) for kill in self.kills),
        )
        order = asyncio.create_task(self.order())
        duration_s = await self.cluster.until(self.is_whole, RECOVERY_S)
        order.cancel()
        watch.cancel()
        return duration_s


def founded_groups(start: FirstStart) -> set[tuple[str, ...]]:
    """The groups of the views that a bootstrap proposed and that became active."""
    return {group for epoch, groups in start.active_views.items() if epoch < FIRST_REPAIR_EPOCH for group in groups}


def play(cores: int, seed: int, kills: list[Kill], edge_seeds: bool = False) -> None:
    """Play a first start. Raises AssertionError if not exactly one group is founded in time."""
    start = FirstStart(cores, seed, kills, edge_seeds)
    try:
        duration_s = start.cluster.run(start.play())
        views = {node.settings.node: node.core.view for node in start.cluster.nodes.values() if node.core is not None}
        assert duration_s <= RECOVERY_S, (seed, kills, views)
        assert all(len(groups) == 1 for groups in start.active_views.values()), (seed, kills, start.active_views)
        assert len(founded_groups(start)) <= 1, (seed, kills, start.active_views)
    finally:
        start.cluster.close()


@pytest.mark.parametrize("loses_disk", [False, True], ids=["disk kept", "disk lost"])
@pytest.mark.parametrize("machine", range(3))
@pytest.mark.parametrize("at_s", [0.02, 0.35, 0.45, 0.55, 0.7, 1.0, 3.0])
def test_a_core_machine_killed_during_the_first_start_keeps_no_system_from_being_founded(
    at_s: float, machine: int, loses_disk: bool
) -> None:
    """Guards against a system that is never founded since its first seed has restarted (review/6)."""
    play(3, 1, [Kill(machine, at_s, 1.0, loses_disk)])


def play_drawn(cores: int, seed: int, edge_seeds: bool = False) -> None:
    """Play a first start with drawn kills."""
    play(cores, seed, drawn_kills(random.Random(f"kills {cores} {seed}"), cores), edge_seeds)


@pytest.mark.parametrize("edge_seeds", [False, True], ids=["core machines are seeds", "edge nodes are seeds"])
@pytest.mark.parametrize("cores", [3, 5])
def test_drawn_kills_during_the_first_start_found_exactly_one_group(cores: int, edge_seeds: bool) -> None:
    for seed in range(40):
        play_drawn(cores, seed, edge_seeds)


# -- rules of the arbiter ----------------------------------------------------------------------------------


def sent(bootstrap: Bootstrap, now_s: float) -> list[tuple[str, frames.Frame]]:
    return [(message.ip, message.frame) for message in bootstrap.tick(now_s)]


def register_all(bootstrap: Bootstrap, now_s: float = 0.0, takes_part: bool = True) -> None:
    for ip, name in zip(SEEDS, NAMES, strict=True):
        bootstrap.on_registration(ip, name, takes_part, now_s)


def test_the_first_seed_stores_its_view_before_it_sends_it_to_others() -> None:
    bootstrap = Bootstrap(SEEDS[0], SEEDS, 3)
    register_all(bootstrap)
    assert not sent(bootstrap, CANDIDATE_WAIT_S - 0.01)
    request = frames.BootstrapRequest(BOOTSTRAP_EPOCH, NAMES)
    assert sent(bootstrap, 1.0) == [(SEEDS[0], request)]
    bootstrap.on_ack(NAMES[0], View(BOOTSTRAP_EPOCH, NAMES, NAMES))
    assert sent(bootstrap, 1.01) == [(SEEDS[1], request), (SEEDS[2], request)]
    for name in NAMES[1:]:
        bootstrap.on_ack(name, View(BOOTSTRAP_EPOCH, NAMES, NAMES))
    assert bootstrap.is_done()


def test_a_view_needs_enough_candidates() -> None:
    bootstrap = Bootstrap(SEEDS[0], SEEDS, 3)
    for name in NAMES[:2]:
        bootstrap.add_candidate(name, 0.0)
    assert not sent(bootstrap, 60.0)


def test_a_later_seed_proposes_nothing_while_an_earlier_one_may() -> None:
    bootstrap = Bootstrap(SEEDS[1], SEEDS, 3)
    register_all(bootstrap)
    assert not sent(bootstrap, 60.0)


def test_a_seed_that_takes_over_has_all_candidates_promise_first() -> None:
    bootstrap = Bootstrap(SEEDS[1], SEEDS, 3)
    register_all(bootstrap)
    bootstrap.on_registration(SEEDS[0], f"{SEEDS[0]}/new", False, 5.0)
    assert not sent(bootstrap, 5.0 + TAKEOVER_WAIT_S - 0.01)
    prepare = frames.BootstrapPrepare(BOOTSTRAP_EPOCH + 1)
    assert sent(bootstrap, 8.0) == [(ip, prepare) for ip in SEEDS]
    members = (f"{SEEDS[0]}/new", *NAMES[1:])
    for name in members[:2]:
        bootstrap.on_promise(name, BOOTSTRAP_EPOCH + 1)
    bootstrap.on_promise(members[2], BOOTSTRAP_EPOCH)  # of another arbiter
    assert sent(bootstrap, 9.0) == [(SEEDS[2], prepare)]
    bootstrap.on_promise(members[2], BOOTSTRAP_EPOCH + 1)
    assert sent(bootstrap, 10.0) == [(SEEDS[1], frames.BootstrapRequest(BOOTSTRAP_EPOCH + 1, members))]


def test_a_seed_that_takes_over_adopts_a_view_that_a_machine_has_stored() -> None:
    bootstrap = Bootstrap(SEEDS[1], SEEDS, 3)
    register_all(bootstrap)
    bootstrap.on_registration(SEEDS[0], f"{SEEDS[0]}/new", False, 0.0)
    assert sent(bootstrap, 3.0)
    bootstrap.on_ack(NAMES[2], View(BOOTSTRAP_EPOCH, NAMES, NAMES))
    request = frames.BootstrapRequest(BOOTSTRAP_EPOCH, NAMES)
    assert sent(bootstrap, 4.0) == [(SEEDS[1], request)]


def test_a_later_view_ends_a_bootstrap_that_has_proposed_none() -> None:
    bootstrap = Bootstrap(SEEDS[0], SEEDS, 3)
    bootstrap.on_ack(NAMES[1], View(FIRST_REPAIR_EPOCH, NAMES[1:], NAMES[1:]))
    assert bootstrap.is_done()


def test_a_member_without_a_view_is_sent_the_first_one_although_others_have_a_later_one() -> None:
    """Guards against a member that was killed before it stored the first view, and is left out for good."""
    bootstrap = Bootstrap(SEEDS[0], SEEDS, 3)
    bootstrap.on_ack(NAMES[0], View(BOOTSTRAP_EPOCH, NAMES, NAMES))
    bootstrap.on_ack(NAMES[2], View(FIRST_REPAIR_EPOCH, NAMES[::2], NAMES[::2]))
    assert not bootstrap.is_done()
    assert sent(bootstrap, 60.0) == [(SEEDS[1], frames.BootstrapRequest(BOOTSTRAP_EPOCH, NAMES))]
    bootstrap.on_ack(NAMES[1], View(BOOTSTRAP_EPOCH, NAMES, NAMES))
    assert bootstrap.is_done()


def test_a_machine_that_lost_its_disk_is_a_candidate_under_its_new_name_only() -> None:
    bootstrap = Bootstrap(SEEDS[0], SEEDS, 3)
    register_all(bootstrap)
    bootstrap.on_registration(SEEDS[2], f"{SEEDS[2]}/new", False, 0.1)
    assert sent(bootstrap, 1.0)
    assert bootstrap.view is not None and bootstrap.view.group == (*NAMES[:2], f"{SEEDS[2]}/new")
    assert {ip_of(name) for name in bootstrap.view.group} == set(SEEDS)


# -- rules of the members, and of their disks --------------------------------------------------------------


def idle_replica() -> Replica:
    replica = Replica(NAMES[1], 2, len, bytes, lambda: 0.5)
    replica.load(None, 0, None, {}, 0.0)
    return replica


def written(effects: list[Any]) -> list[type]:
    return [type(effect) for effect in effects if isinstance(effect, (PersistView, PersistBootstrapPromise))]


def test_a_machine_stores_only_a_first_view_that_names_the_identity_of_its_disk() -> None:
    former = (NAMES[0], f"{SEEDS[1]}/former", NAMES[2])
    assert not written(idle_replica().bootstrap(View(BOOTSTRAP_EPOCH, former, former), 0.0))
    assert written(idle_replica().bootstrap(View(BOOTSTRAP_EPOCH, NAMES, NAMES), 0.0)) == [PersistView]


def test_a_machine_that_has_promised_stores_no_view_of_an_earlier_arbiter() -> None:
    replica = idle_replica()
    assert written(replica.prepare_bootstrap(BOOTSTRAP_EPOCH + 1, SEEDS[1], 0.0)) == [PersistBootstrapPromise]
    assert not written(replica.bootstrap(View(BOOTSTRAP_EPOCH, NAMES, NAMES), 0.0))
    assert written(replica.bootstrap(View(BOOTSTRAP_EPOCH + 1, NAMES, NAMES), 0.0)) == [PersistView]


def test_a_machine_with_a_view_or_a_later_promise_makes_no_promise() -> None:
    replica = idle_replica()
    assert written(replica.prepare_bootstrap(BOOTSTRAP_EPOCH + 2, SEEDS[2], 0.0))
    assert not written(replica.prepare_bootstrap(BOOTSTRAP_EPOCH + 1, SEEDS[1], 0.0))
    replica = idle_replica()
    assert written(replica.bootstrap(View(BOOTSTRAP_EPOCH, NAMES, NAMES), 0.0))
    assert not written(replica.prepare_bootstrap(BOOTSTRAP_EPOCH + 1, SEEDS[1], 0.0))


def test_only_the_disk_of_the_first_start_says_that_its_machine_takes_part(tmp_path: Path) -> None:
    async def seeds_after(store: SqliteStore, reset: bool = False) -> tuple[str, ...]:
        loaded = await store.load(reset)
        store.close()
        assert await store.wait_closed(5.0)
        return loaded.bootstrap_seeds

    async def scenario() -> None:
        assert await seeds_after(SqliteStore(tmp_path, bootstrap_seeds=SEEDS)) == SEEDS
        assert await seeds_after(SqliteStore(tmp_path)) == SEEDS
        assert await seeds_after(SqliteStore(tmp_path), reset=True) == ()
        assert await seeds_after(SqliteStore(tmp_path)) == ()
        corrupt = tmp_path / "corrupt"
        corrupt.mkdir()
        (corrupt / FILE_NAME).write_bytes(b"no database" * 1000)
        assert await seeds_after(SqliteStore(corrupt, bootstrap_seeds=SEEDS)) == ()
        lost = tmp_path / "lost"
        lost.mkdir()
        store = SqliteStore(lost, bootstrap_seeds=SEEDS)
        assert (await store.load()).bootstrap_seeds == SEEDS
        for file in lost.iterdir():
            file.unlink()
        with pytest.raises(StoreError):  # a failed operation closes the file; the next one opens it anew
            await store.run(lambda database: database.execute("no statement"))
        assert await seeds_after(store) == ()

    asyncio.run(scenario())
