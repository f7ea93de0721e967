"""A majority of the core that is missing: what is said, how soon, and the operator's way out on real processes."""

from __future__ import annotations

import asyncio
import json
import logging
import shutil
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

import cbor2
import pytest

from cypressbeam.admin import backup, config_calls, errors, membership, status
from cypressbeam.consensus.quorum_loss import RUNBOOK, RUNBOOK_SECTION, Absence, QuorumMonitor, detect, parse_silences
from cypressbeam.proxy.http_responses import Answer
from lab import repair
from lab.local_cluster import demo_configuration
from lab.simulation import Disk, Host
from lab.system import Machine
from tests.loopback import run
from tests.test_gateway import Rig, ask, read_back, rig

ABC = ("10.0.0.1/a", "10.0.0.2/b", "10.0.0.3/c")
#: The bound of the operator: so long after the loss it is told.
TOLD_S = 10.0


def heard(*names: str) -> Mapping[str, str]:
    return {name.partition("/")[0]: name for name in names}


@pytest.mark.parametrize(
    ("group", "there", "lost"),
    [
        (ABC, ABC, False),
        (ABC, ABC[:2], False),
        (ABC, ABC[:1], True),
        (ABC, (), True),
        ((), (), False),
        (ABC[:1], ABC[:1], False),
        ((*ABC, "10.0.0.4/d"), ABC[:2], True),
        ((*ABC, "10.0.0.4/d"), ABC, False),
        (ABC, ("10.0.0.1/a", "10.0.0.9/x", "10.0.0.8/y"), True),
    ],
    ids=str,
)
def test_a_majority_is_missing_where_fewer_than_that_are_there(
    group: tuple[str, ...], there: tuple[str, ...], lost: bool
) -> None:
    assert (detect(group, heard(*there), {}) is not None) is lost


def test_the_statement_names_who_is_missing_and_both_ways_out() -> None:
    found = detect(ABC, heard("10.0.0.1/a", "10.0.0.2/new"), {"10.0.0.3": 7.4})
    assert found is not None and found.here == ("10.0.0.1",) and found.majority == 2
    assert [(one.ip, one.absence, one.for_s) for one in found.missing] == [
        ("10.0.0.2", Absence.NEW_DISK, None),
        ("10.0.0.3", Absence.SILENT, 7.4),
    ]
    seen, _, way_out = found.lines()
    assert seen.endswith(
        ": 1 of 3 members are there, 2 are needed; missing: 10.0.0.2 (without its disk), 10.0.0.3 (silent for 7 s)"
    )
    assert "with their disks" in way_out and RUNBOOK in way_out and RUNBOOK_SECTION in way_out
    page = (Path(__file__).parent.parent / RUNBOOK).read_text(encoding="utf-8")
    assert f"\n## {RUNBOOK_SECTION}\n" in page


def told(
    watch: QuorumMonitor, there: Mapping[str, str], from_s: float, to_s: float, group: tuple[str, ...] = ABC
) -> list[tuple[float, int]]:
    """When something is said, and at which level, of ticks ten times a second."""
    ticks = [round(from_s + number / 10, 1) for number in range(round(10 * (to_s - from_s)))]
    said = [(at_s, watch.tick(group, there, at_s)) for at_s in ticks]
    return [(at_s, line.level) for at_s, line in said if line is not None]


def test_a_lost_majority_is_told_once_it_has_lasted_and_again_and_its_end_too() -> None:
    watch = QuorumMonitor()
    assert told(watch, heard(*ABC), 0.0, 1.0) == []
    assert told(watch, heard(*ABC[:2]), 1.0, 20.0) == []  # one may be missing for as long as it likes
    assert told(watch, heard(ABC[0]), 20.0, 24.9) == [] and watch.silences() == ()
    assert told(watch, heard(*ABC[:2]), 24.9, 25.0) == []  # back in time
    assert told(watch, heard(ABC[0]), 25.0, 95.0) == [(30.0, logging.ERROR), (90.0, logging.ERROR)]
    assert parse_silences(watch.silences()) == {"10.0.0.2": 70.0, "10.0.0.3": 94.0}
    assert told(watch, heard(*ABC[1:]), 95.0, 96.0) == [(95.0, logging.WARNING)] and watch.silences() == ()


def test_a_machine_that_stood_still_or_is_no_member_tells_nothing_of_that_time() -> None:
    watch = QuorumMonitor()
    assert told(watch, heard(ABC[0]), 0.0, 4.0) == []
    assert told(watch, heard(ABC[0]), 30.0, 34.9) == []
    assert told(watch, heard(ABC[0]), 34.9, 36.0) == [(35.0, logging.ERROR)]
    assert told(QuorumMonitor(), {}, 0.0, 60.0, group=()) == []
    assert parse_silences(("10.0.0.1 7", "10.0.0.2", "10.0.0.3 x", "")) == {"10.0.0.1": 7.0}


async def lose_two_disks_and_start_anew(cluster: repair.Core, identities: tuple[str, str]) -> list[Absence]:
    """What the member that is left says of them."""
    await repair.begin(cluster)
    cores = [machine for machine in cluster.machines if machine[1].front_listener is None]
    for machine, identity in zip(cores[:2], identities, strict=True):
        cluster.stop(*machine)
        cluster.disks[machine[1].node] = Disk(identity)
    await asyncio.sleep(1.0)
    for host, settings in cores[:2]:
        cluster.start(host, replace(settings, bootstrap=False))
    await asyncio.sleep(TOLD_S - 1.0)
    core = cluster.nodes[cores[2][1].node].core
    assert core is not None and core.quorum_monitor.loss is not None
    return [one.absence for one in core.quorum_monitor.loss.missing]


@pytest.mark.usefixtures("quiet")
@pytest.mark.parametrize(
    ("identities", "absence"),
    [(("new-one", "new-two"), Absence.NEW_DISK), (("000000000000", "000000000001"), Absence.OLD_DISK)],
)  # their own, and all that they told is not there
def test_members_that_come_back_without_what_they_had_are_missing_all_the_same(
    identities: tuple[str, str], absence: Absence
) -> None:
    cluster = repair.Core(3, 3)
    try:
        assert cluster.run(lose_two_disks_and_start_anew(cluster, identities)) == [absence, absence]
        assert not cluster.net.faults
    finally:
        cluster.close()


class Caller:
    """In place of the connection that asks for the state."""

    def __init__(self) -> None:
        self.request = ""
        self.answers: list[Answer] = []

    def respond(self, answer: Answer) -> None:
        self.answers.append(answer)


async def status_while(cluster: repair.Core, cut: Callable[[Host, Host], bool]) -> dict[str, Any] | None:
    """What an edge node that reaches all machines tells of a core with paths cut."""
    await repair.begin(cluster)
    edge, caller = cluster.edges[0], Caller()
    cores = {host for host, settings in cluster.machines if settings.front_listener is None}
    cluster.net.cut = lambda one, other: one in cores and other in cores and cut(one, other)
    await asyncio.sleep(TOLD_S - 1.0)
    cluster.at(edge, edge.state_query.begin, caller)
    await asyncio.sleep(1.0)
    found: dict[str, Any] = json.loads(caller.answers[0].body)
    loss: dict[str, Any] | None = found["quorumLoss"]
    return loss


@pytest.mark.usefixtures("quiet")
@pytest.mark.parametrize(
    ("cut", "lost"),
    [
        (lambda one, other: True, True),  # no two members hear each other, and all answer this node
        (lambda one, other: "10.0.0.1" in (one.ip, other.ip), False),
    ],  # one says so, and the others lead on
    ids=["all apart", "one apart"],
)
def test_a_core_whose_members_are_apart_has_no_majority_though_all_answer(
    cut: Callable[[Host, Host], bool], lost: bool
) -> None:
    cluster = repair.Core(3, 3)
    try:
        assert (cluster.run(status_while(cluster, cut)) is not None) is lost
    finally:
        cluster.close()


async def statement(machine: Machine, within_s: float = TOLD_S) -> dict[str, Any]:
    """What `status` of a node tells, once it tells of a lost majority and since when."""
    async with asyncio.timeout(within_s):
        while True:
            found = await status.read_state(machine.control)
            loss = found["quorumLoss"]
            if loss is not None and all(one["for_s"] is not None for one in loss["missing"]):
                return found
            await asyncio.sleep(0.1)


async def logged(machine: Machine, text: str) -> None:
    while text not in (machine.folder / "log").read_text(encoding="utf-8"):
        await asyncio.sleep(0.05)


async def lose_two_disks(made: Rig) -> tuple[Machine, list[Machine]]:
    """The member that is left, and those that are gone for ever."""
    left, *gone = [machine for machine in made.system.machines if machine.core]
    for machine in gone:
        await made.system.kill(machine)
        shutil.rmtree(machine.folder / "state")
    return left, gone


def test_a_majority_that_is_gone_is_told_and_a_new_core_is_made_from_a_saved_copy(tmp_path: Path) -> None:
    """As docs/operations/recovery.md has it, step by step."""

    async def scenario() -> None:
        async with rig(edges=1) as made:
            edge, system, copy = made.edges[0], made.system, tmp_path / "copy"
            assert (await status.read_state(edge.control))["quorumLoss"] is None
            await backup.backup(edge.control, copy)
            left, gone = await lose_two_disks(made)
            async with asyncio.timeout(TOLD_S):
                await logged(left, "no majority of the core: 1 of 3 members are there")
                for machine in (left, edge):
                    found = await statement(machine)
                    assert {one["ip"] for one in found["quorumLoss"]["missing"]} == {one.ip for one in gone}
                    for text in (status.describe_state(found), membership.describe_members(found)):
                        assert "! no majority of the core" in text and RUNBOOK in text
            assert (await ask(edge)).status == 200  # it serves on
            with pytest.raises(errors.RequestRefusedError, match="503"):
                await config_calls.push(edge.control, cbor2.dumps(demo_configuration(2)), 1)
            await system.kill(left)
            found = await status.read_state(edge.control)
            assert len(found["quorumLoss"]["missing"]) == 3 and not found["quorumLoss"]["here"]
            shutil.rmtree(left.folder / "state")
            for machine in (left, *gone):
                await system.start(machine, bootstrap=True)
            async with asyncio.timeout(20.0):
                while True:
                    try:
                        await backup.restore(edge.control, copy, over=False)
                        break
                    except (
                        errors.RequestRefusedError,
                        OSError,
                        EOFError,
                        TimeoutError,
                    ):  # the new core has no chain yet
                        await asyncio.sleep(0.1)
            async with asyncio.timeout(10.0):
                await config_calls.push(edge.control, cbor2.dumps(demo_configuration(2)), 1)
                while cbor2.loads((await read_back(edge)).body)["revision"] != 2:
                    await asyncio.sleep(0.05)
                while (await status.read_state(edge.control))["node"]["revision"] != 2:
                    await asyncio.sleep(0.05)
            assert (await status.read_state(edge.control))["quorumLoss"] is None
            assert (await ask(edge, ident="r2")).status == 200

    run(scenario())


def test_members_that_come_back_with_their_disks_are_a_majority_again() -> None:
    async def scenario() -> None:
        async with rig(edges=1) as made:
            left, *away = [machine for machine in made.system.machines if machine.core]
            for machine in away:
                await made.system.kill(machine)
            await statement(left)
            await made.system.start(away[0])
            async with asyncio.timeout(10.0):
                await logged(left, "a majority of the core is available again")
                while (await status.read_state(made.edges[0].control))["quorumLoss"] is not None:
                    await asyncio.sleep(0.1)

    run(scenario())
