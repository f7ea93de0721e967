"""Quorum loss: what is reported and how soon, and recovery by an operator with real processes."""

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
from cypressbeam.consensus.quorum_loss import (
    RUNBOOK,
    RUNBOOK_SECTION,
    Absence,
    QuorumMonitor,
    detect,
    parse_missing_durations,
)
from cypressbeam.proxy.http_responses import Response
from lab import repair
from lab.local_cluster import demo_configuration
from lab.simulation import Disk, Host
from lab.system import Machine
from tests.loopback import run
from tests.test_gateway import SystemFixture, make_request, read_configuration, running_system

ABC = ("10.0.0.1/a", "10.0.0.2/b", "10.0.0.3/c")
#: A quorum loss must be reported within this time.
REPORT_LIMIT_S = 10.0


def alive(*names: str) -> Mapping[str, str]:
    return {name.partition("/")[0]: name for name in names}


@pytest.mark.parametrize(
    ("group", "available", "lost"),
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
def test_quorum_is_lost_when_fewer_than_a_majority_are_available(
    group: tuple[str, ...], available: tuple[str, ...], lost: bool
) -> None:
    assert (detect(group, alive(*available), {}) is not None) is lost


def test_the_report_names_missing_members_and_both_ways_to_recover() -> None:
    loss = detect(ABC, alive("10.0.0.1/a", "10.0.0.2/new"), {"10.0.0.3": 7.4})
    assert loss is not None and loss.here == ("10.0.0.1",) and loss.majority == 2
    assert [(member.ip, member.absence, member.for_s) for member in loss.missing] == [
        ("10.0.0.2", Absence.NEW_DISK, None),
        ("10.0.0.3", Absence.SILENT, 7.4),
    ]
    observation, _, recovery = loss.lines()
    assert observation.endswith(
        ": 1 of 3 members are there, 2 are needed; missing: 10.0.0.2 (without its disk), 10.0.0.3 (silent for 7 s)"
    )
    assert "with their disks" in recovery and RUNBOOK in recovery and RUNBOOK_SECTION in recovery
    page = (Path(__file__).parent.parent / RUNBOOK).read_text(encoding="utf-8")
    assert f"\n## {RUNBOOK_SECTION}\n" in page


def reports(
    monitor: QuorumMonitor, available: Mapping[str, str], from_s: float, to_s: float, group: tuple[str, ...] = ABC
) -> list[tuple[float, int]]:
    """The times and levels of reports, with ten ticks a second."""
    ticks = [round(from_s + number / 10, 1) for number in range(round(10 * (to_s - from_s)))]
    results = [(at_s, monitor.tick(group, available, at_s)) for at_s in ticks]
    return [(at_s, report.level) for at_s, report in results if report is not None]


def test_a_lasting_quorum_loss_is_reported_repeatedly_and_so_is_its_end() -> None:
    monitor = QuorumMonitor()
    assert reports(monitor, alive(*ABC), 0.0, 1.0) == []
    assert reports(monitor, alive(*ABC[:2]), 1.0, 20.0) == []  # one missing member is tolerated indefinitely
    assert reports(monitor, alive(ABC[0]), 20.0, 24.9) == [] and monitor.missing_durations() == ()
    assert reports(monitor, alive(*ABC[:2]), 24.9, 25.0) == []  # back before the report was due
    assert reports(monitor, alive(ABC[0]), 25.0, 95.0) == [(30.0, logging.ERROR), (90.0, logging.ERROR)]
    assert parse_missing_durations(monitor.missing_durations()) == {"10.0.0.2": 70.0, "10.0.0.3": 94.0}
    assert (
        reports(monitor, alive(*ABC[1:]), 95.0, 96.0) == [(95.0, logging.WARNING)] and monitor.missing_durations() == ()
    )


def test_a_pause_restarts_the_delay_and_a_machine_outside_the_group_reports_nothing() -> None:
    monitor = QuorumMonitor()
    assert reports(monitor, alive(ABC[0]), 0.0, 4.0) == []
    assert reports(monitor, alive(ABC[0]), 30.0, 34.9) == []
    assert reports(monitor, alive(ABC[0]), 34.9, 36.0) == [(35.0, logging.ERROR)]
    assert reports(QuorumMonitor(), {}, 0.0, 60.0, group=()) == []
    assert parse_missing_durations(("10.0.0.1 7", "10.0.0.2", "10.0.0.3 x", "")) == {"10.0.0.1": 7.0}


async def lose_two_disks_and_start_anew(cluster: repair.Core, identities: tuple[str, str]) -> list[Absence]:
    """The absences that the remaining member reports."""
    await repair.begin(cluster)
    cores = [machine for machine in cluster.machines if machine[1].front_listener is None]
    for machine, identity in zip(cores[:2], identities, strict=True):
        cluster.stop(*machine)
        cluster.disks[machine[1].node] = Disk(identity)
    await asyncio.sleep(1.0)
    for host, settings in cores[:2]:
        cluster.start(host, replace(settings, bootstrap=False))
    await asyncio.sleep(REPORT_LIMIT_S - 1.0)
    core = cluster.nodes[cores[2][1].node].core
    assert core is not None and core.quorum_monitor.loss is not None
    return [member.absence for member in core.quorum_monitor.loss.missing]


@pytest.mark.usefixtures("quiet")
@pytest.mark.parametrize(
    ("identities", "absence"),
    [
        (("new-one", "new-two"), Absence.NEW_DISK),
        # their own identities, without the state that they had reported
        (("000000000000", "000000000001"), Absence.OLD_DISK),
    ],
)
def test_members_that_return_without_their_data_still_count_as_missing(
    identities: tuple[str, str], absence: Absence
) -> None:
    cluster = repair.Core(3, 3)
    try:
        assert cluster.run(lose_two_disks_and_start_anew(cluster, identities)) == [absence, absence]
        assert not cluster.net.faults
    finally:
        cluster.close()


class Caller:
    """Stands in for the connection that requests the state."""

    def __init__(self) -> None:
        self.request = ""
        self.answers: list[Response] = []

    def respond(self, answer: Response) -> None:
        self.answers.append(answer)


async def status_while(cluster: repair.Core, cut: Callable[[Host, Host], bool]) -> dict[str, Any] | None:
    """What an edge node that reaches all machines reports about a core with paths cut between its members."""
    await repair.begin(cluster)
    edge, caller = cluster.edges[0], Caller()
    cores = {host for host, settings in cluster.machines if settings.front_listener is None}
    cluster.net.cut = lambda one, other: one in cores and other in cores and cut(one, other)
    await asyncio.sleep(REPORT_LIMIT_S - 1.0)
    cluster.at(edge, edge.state_query.begin, caller)
    await asyncio.sleep(1.0)
    state: dict[str, Any] = json.loads(caller.answers[0].body)
    loss: dict[str, Any] | None = state["quorumLoss"]
    return loss


@pytest.mark.usefixtures("quiet")
@pytest.mark.parametrize(
    ("cut", "lost"),
    [
        (lambda one, other: True, True),  # no two members reach each other, and all answer this node
        # one reports a loss, the others still have a leader
        (lambda one, other: "10.0.0.1" in (one.ip, other.ip), False),
    ],
    ids=["all isolated", "one isolated"],
)
def test_a_core_partitioned_internally_has_no_majority_though_every_member_answers(
    cut: Callable[[Host, Host], bool], lost: bool
) -> None:
    cluster = repair.Core(3, 3)
    try:
        assert (cluster.run(status_while(cluster, cut)) is not None) is lost
    finally:
        cluster.close()


async def state_with_loss(machine: Machine, within_s: float = REPORT_LIMIT_S) -> dict[str, Any]:
    """The state that a node reports, once it includes a quorum loss with all durations."""
    async with asyncio.timeout(within_s):
        while True:
            state = await status.read_state(machine.control)
            loss = state["quorumLoss"]
            if loss is not None and all(member["for_s"] is not None for member in loss["missing"]):
                return state
            await asyncio.sleep(0.1)


async def logged(machine: Machine, text: str) -> None:
    while text not in (machine.folder / "log").read_text(encoding="utf-8"):
        await asyncio.sleep(0.05)


async def lose_two_disks(setup: SystemFixture) -> tuple[Machine, list[Machine]]:
    """Kill two members and delete their state; returns the remaining member and the lost ones."""
    left, *gone = [machine for machine in setup.system.machines if machine.core]
    for machine in gone:
        await setup.system.kill(machine)
        shutil.rmtree(machine.folder / "state")
    return left, gone


def test_a_permanent_quorum_loss_is_reported_and_a_new_core_is_restored_from_a_backup(tmp_path: Path) -> None:
    """Follows docs/operations/recovery.md step by step."""

    async def scenario() -> None:
        async with running_system(edges=1) as setup:
            edge, system, copy = setup.edges[0], setup.system, tmp_path / "copy"
            assert (await status.read_state(edge.control))["quorumLoss"] is None
            await backup.backup(edge.control, copy)
            left, gone = await lose_two_disks(setup)
            async with asyncio.timeout(REPORT_LIMIT_S):
                await logged(left, "no majority of the core: 1 of 3 members are there")
                for machine in (left, edge):
                    state = await state_with_loss(machine)
                    assert {member["ip"] for member in state["quorumLoss"]["missing"]} == {lost.ip for lost in gone}
                    for text in (status.describe_state(state), membership.describe_members(state)):
                        assert "! no majority of the core" in text and RUNBOOK in text
            assert (await make_request(edge)).status == 200  # it keeps serving
            with pytest.raises(errors.RequestRejectedError, match="503"):
                await config_calls.push(edge.control, cbor2.dumps(demo_configuration(2)), 1)
            await system.kill(left)
            state = await status.read_state(edge.control)
            assert len(state["quorumLoss"]["missing"]) == 3 and not state["quorumLoss"]["here"]
            shutil.rmtree(left.folder / "state")
            for machine in (left, *gone):
                await system.start(machine, bootstrap=True)
            async with asyncio.timeout(20.0):
                while True:
                    try:
                        await backup.restore(edge.control, copy, over=False)
                        break
                    except (
                        errors.RequestRejectedError,
                        OSError,
                        EOFError,
                        TimeoutError,
                    ):  # the new core has no chain yet
                        await asyncio.sleep(0.1)
            async with asyncio.timeout(10.0):
                await config_calls.push(edge.control, cbor2.dumps(demo_configuration(2)), 1)
                while cbor2.loads((await read_configuration(edge)).body)["revision"] != 2:
                    await asyncio.sleep(0.05)
                while (await status.read_state(edge.control))["node"]["revision"] != 2:
                    await asyncio.sleep(0.05)
            assert (await status.read_state(edge.control))["quorumLoss"] is None
            assert (await make_request(edge, ident="r2")).status == 200

    run(scenario())


def test_members_that_return_with_their_disks_restore_the_quorum() -> None:
    async def scenario() -> None:
        async with running_system(edges=1) as setup:
            left, *away = [machine for machine in setup.system.machines if machine.core]
            for machine in away:
                await setup.system.kill(machine)
            await state_with_loss(left)
            await setup.system.start(away[0])
            async with asyncio.timeout(10.0):
                await logged(left, "a majority of the core is available again")
                while (await status.read_state(setup.edges[0].control))["quorumLoss"] is not None:
                    await asyncio.sleep(0.1)

    run(scenario())
