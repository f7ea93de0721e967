"""Unit tests of the rules of docs/design/fencing.md at a core machine: who may act as the root, and for how long."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

import pytest

from cypressbeam.consensus.failure_detection import FAILURE_TIMEOUT_S
from cypressbeam.consensus.state import ReplicaState
from cypressbeam.consensus.views import View
from cypressbeam.distribution.outlier_reports import OutlierReports
from cypressbeam.node.control_api import ControlApi
from cypressbeam.node.core_machine import HIGHER_EPOCH_TIMEOUT_S, CoreMachine
from cypressbeam.node.gateway_node import ISOLATED_AFTER_S, GatewayNode
from cypressbeam.node.leader_role import INTRODUCTION_INTERVAL_S
from cypressbeam.protocol import configuration, frames
from cypressbeam.storage.store import LoadedState
from cypressbeam.transport.peers import Link
from tests.loopback import run
from tests.parts import EPOCH_1, EPOCH_2, EPOCH_3, OTHER_IP, OWN_IP, ROOT_IP, SETTINGS, RecordingLink, TreeNodeHarness

VIEW = View(EPOCH_2, (f"{OTHER_IP}/b", f"{OWN_IP}/a"), (f"{OWN_IP}/a", f"{OTHER_IP}/b", f"{ROOT_IP}/c"))


class CoreMachineHarness(TreeNodeHarness):
    """A core machine, the tail of its chain, whose replica state is set by the test."""

    def __init__(self) -> None:
        super().__init__()
        self.last_contact_s, self.holds_lease, self.proposed_epoch = self.now_s, True, 0
        self.sent_frames: list[tuple[str, frames.Frame]] = []
        self.core = CoreMachine(SETTINGS, self.tree, lambda ip, frame: self.sent_frames.append((ip, frame)), Mock())
        self.core.loop = self.core.leader_role.loop = self.tree.context.loop
        self.core_peers = {OTHER_IP: SimpleNamespace(epoch=EPOCH_2), ROOT_IP: SimpleNamespace(epoch=EPOCH_2)}
        self.state = ReplicaState(f"{OWN_IP}/a", 1, len, bytes)
        self.state.view, self.state.highest_epoch = VIEW, EPOCH_2
        detector = SimpleNamespace(
            peers=self.core_peers, has_quorum_contact=lambda now_s: now_s - self.last_contact_s <= FAILURE_TIMEOUT_S
        )
        self.replica: Any = SimpleNamespace(
            name=f"{OWN_IP}/a",
            state=self.state,
            voter=SimpleNamespace(promised=EPOCH_2),
            leadership=SimpleNamespace(is_leader=True, leads=lambda now_s: self.holds_lease),
            failure_detector=detector,
            proposer=SimpleNamespace(proposal=None, propose=self.propose),
        )
        self.core.replica = cast(Any, self.replica)

    def propose(self, now_s: float) -> list[Any]:
        self.proposed_epoch = self.state.highest_epoch
        return []

    def take_lead(self) -> CoreMachineHarness:
        self.core.set_leadership(True)
        assert self.tree.position.is_root
        self.sent_frames.clear()
        return self


@pytest.mark.parametrize(
    ("condition", "expected"),
    [("", OWN_IP), ("no majority", ""), ("a later view", ""), ("a later promise", ""), ("a higher epoch", "")],
)
def test_a_machine_names_the_root_only_with_a_majority_and_without_a_later_epoch(condition: str, expected: str) -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness()
        machine.holds_lease = False
        if condition == "no majority":
            machine.now_s += FAILURE_TIMEOUT_S + 0.01
        elif condition == "a later view":
            machine.core_peers[ROOT_IP].epoch = EPOCH_3
        elif condition == "a later promise":
            machine.replica.voter.promised = EPOCH_3
        elif condition == "a higher epoch":
            machine.tree.fence.observe(EPOCH_3)
        assert machine.core.vouched_leader() == expected

    run(scenario())


def test_a_machine_outside_the_group_names_the_root_like_other_nodes() -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness()
        machine.state.view = replace(VIEW, group=VIEW.group[1:])
        assert machine.core.vouched_leader() == ""
        machine.join_root(EPOCH_2)
        assert machine.core.vouched_leader() == ROOT_IP

    run(scenario())


def test_an_epoch_counts_as_seen_once_a_machine_leads_in_it() -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness()
        machine.holds_lease = False
        machine.core.observe_epoch()
        assert machine.tree.fence.epoch == 0 and machine.tree.fence.group == (OWN_IP, OTHER_IP, ROOT_IP)
        machine.holds_lease = True
        machine.core.observe_epoch()
        assert machine.tree.fence.epoch == EPOCH_2

    run(scenario())


def test_a_root_resigns_when_it_sees_a_higher_epoch() -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness().take_lead()
        link = machine.child(EPOCH_2)
        machine.tree.fence.observe(EPOCH_3)
        assert not machine.tree.position.is_root and link.kinds()[-1] == "Unsubscribed"
        machine.core.set_leadership(True)
        assert not machine.tree.position.is_root

    run(scenario())


def test_a_root_whose_own_view_has_the_higher_epoch_stays_root_and_sends_a_heartbeat() -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness().take_lead()
        link = machine.child(EPOCH_2)
        machine.state.view = replace(VIEW, epoch=EPOCH_3)
        machine.tree.fence.observe(EPOCH_3)
        assert machine.tree.position.is_root and link in machine.tree.children.links
        assert isinstance(link.sent[-1], frames.RootHeartbeat) and link.sent[-1].epoch == EPOCH_3

    run(scenario())


def test_a_tail_below_the_highest_epoch_seen_proposes_a_higher_view() -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness()
        machine.tree.fence.observe(EPOCH_3)
        machine.core.follow_leadership(machine.replica, machine.now_s)
        assert not machine.tree.position.is_root
        machine.now_s += HIGHER_EPOCH_TIMEOUT_S - 0.1
        machine.core.follow_leadership(machine.replica, machine.now_s)
        assert not machine.proposed_epoch
        machine.now_s += 0.1
        machine.core.follow_leadership(machine.replica, machine.now_s)
        assert machine.proposed_epoch >= EPOCH_3 and not machine.tree.position.is_root

    run(scenario())


def test_a_root_resigns_when_its_replica_loses_the_lead() -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness().take_lead()
        machine.replica.leadership.is_leader = False
        machine.core.follow_leadership(machine.replica, machine.now_s)
        assert not machine.tree.position.is_root

    run(scenario())


@pytest.mark.parametrize("has_majority", [True, False])
def test_a_root_registers_nodes_updates_endpoints_and_introduces_itself_only_with_a_majority(
    has_majority: bool,
) -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness().take_lead()
        child, link = machine.child(EPOCH_2), machine.link("10.0.0.30")
        child.sent.clear()
        if not has_majority:
            machine.now_s += FAILURE_TIMEOUT_S + 0.01
        machine.core.last_advance_s = machine.now_s
        machine.core.on_join(link, frames.JoinRequest("x", link.ip, "a", frames.SERVES_CLIENTS, 0, "", epoch=EPOCH_2))
        machine.core.update_endpoints([])
        machine.core.leader_role.introduce(machine.now_s + INTRODUCTION_INTERVAL_S)
        assert link.kinds() == (["ParentAssignment"] if has_majority else ["LeaderRedirect"])
        assert child.kinds() == (["EndpointUpdate"] if has_majority else [])
        assert [type(frame) for _, frame in machine.sent_frames] == ([frames.LeaderRedirect] if has_majority else [])
        assert all(cast(Any, frame).epoch == EPOCH_2 for frame in [*link.sent, *child.sent])

    run(scenario())


def test_ejections_carry_the_epoch_of_the_root() -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness().take_lead()
        link = machine.child(EPOCH_2)
        reports = OutlierReports(machine.tree.context, machine.tree, lambda servers: None)
        reports.detector = cast(Any, SimpleNamespace(report=lambda *_: ["s"]))
        reports.forward_to_root(frames.OutlierReport(0, "x", "a", ("s",)))
        assert link.sent[-1] == frames.OutlierEjection("a", ("s",), EPOCH_2)

    run(scenario())


def test_a_frame_with_an_invalid_epoch_closes_its_link() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness()
        for epoch, closed in ((0, False), (EPOCH_1, False), (1, True), (255, True), (2**48 + 1, True)):
            link = Link(harness.peers, OTHER_IP)
            data = frames.LeaderRedirect("", epoch).pack()
            link.data_received(data)
            assert link.closed is closed, epoch

    run(scenario())


@pytest.mark.parametrize(
    ("condition", "isolated"),
    [("", True), ("a parent", False), ("heard lately", False), ("a moment only", False), ("of the core", False)],
)
def test_an_isolated_node_rejects_control_calls_immediately(condition: str, isolated: bool) -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        if condition != "a parent":
            harness.tree.subscription.parent = None
        harness.now_s += ISOLATED_AFTER_S + (-0.1 if condition == "a moment only" else 0.1)
        harness.peers.last_heard_s = {OTHER_IP: harness.now_s - 1.0} if condition == "heard lately" else {}
        node = SimpleNamespace(
            tree=harness.tree,
            core=Mock() if condition == "of the core" else None,
            peers=harness.peers,
            loop=harness.tree.context.loop,
        )
        assert GatewayNode.is_isolated(cast(Any, node)) is isolated
        control = ControlApi(OWN_IP, lambda: (ROOT_IP,), lambda ip, frame: None, Mock(), is_isolated=lambda: isolated)
        answer = control.submit(frames.ReadRequest(1, OWN_IP), Mock())
        assert (answer is not None and answer.status == 503) is isolated
        control.pending_calls.clear()

    run(scenario())


def test_a_replica_uses_the_check_version_of_the_program() -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness()
        machine.core.apply_loaded_state(LoadedState("abc", 0, None, None, {}))
        assert (
            machine.core.replica is not None and machine.core.replica.check_version == configuration.CHECK_VERSION > 0
        )

    run(scenario())


def test_a_recording_link_records_packed_frames() -> None:
    async def scenario() -> None:
        link = RecordingLink(TreeNodeHarness().peers, OTHER_IP)
        link.send_packed(frames.KeepAlive().pack())
        assert link.sent == [frames.KeepAlive()]

    run(scenario())
