"""Each rule of docs/design/orders.md by itself, that no other test holds."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

import pytest

from cypressbeam.consensus import deduplication
from cypressbeam.consensus.chain import MAX_QUEUED_WRITES, ChainReplica
from cypressbeam.consensus.effects import SendMessage
from cypressbeam.consensus.repair import Proposal
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import Entry, View
from cypressbeam.node.control_api import CALL_TIMEOUT_S, RESEND_INTERVAL_S, ControlApi
from cypressbeam.protocol import frames
from cypressbeam.protocol.configuration import MAX_REVISION, digest
from lab.histories.invariants import revision
from lab.histories.world import World
from tests.loopback import run

ALONE = View(256, ("a/1",), ("a/1",))
CHAIN = View(256, ("a/1", "b/1"), ("a/1", "b/1"))


def order(ident: int, body: bytes = b"10:x", base: int = 0) -> frames.WriteRequest:
    return frames.WriteRequest(ident, "client", base, body)


def statuses(actions: list[Any]) -> dict[int, int]:
    return {
        one.frame.request_id: one.frame.status
        for one in actions
        if isinstance(one, SendMessage) and isinstance(one.frame, frames.WriteResult)
    }


def quiet_world() -> World:
    world = World(1, loss=0.0)
    world.run(1.0)
    return world


# -- at the head --------------------------------------------------------------------------------------------------


def test_too_many_orders_that_wait_are_told_to_come_back() -> None:
    member = ChainReplica("a", ALONE, revision, digest, active=True)
    member.submit(order(0), 0.0)
    for ident in range(1, MAX_QUEUED_WRITES + 1):
        assert statuses(member.submit(order(ident, b"11:%d" % ident), 0.0)) == {}
    assert statuses(member.submit(order(999, b"12:x"), 0.0)) == {999: 503} and len(member.queue) == MAX_QUEUED_WRITES


@pytest.mark.parametrize(("me", "sealed", "active"), [("b", False, True), ("a", True, True), ("a", False, False)])
def test_only_the_head_of_an_active_view_takes_orders(me: str, sealed: bool, active: bool) -> None:
    member = ChainReplica(me, CHAIN, revision, digest, active=active, sealed=sealed)
    assert member.submit(order(1), 0.0) == [] and not member.queue and member.persisting is None


@pytest.mark.parametrize(("status", "asks"), [(400, True), (412, True), (503, False), (200, False)])
def test_what_names_the_version_in_force_waits_for_a_majority_s_word(status: int, asks: bool) -> None:
    world = quiet_world()
    replica = world.replicas["a"]
    outcome = frames.WriteResult(7, status, "")
    told = [
        one.frame
        for one in replica.chain_effects([SendMessage("client", outcome)], world.now_s)
        if isinstance(one, SendMessage)
    ]
    assert (outcome not in told) is asks and any(isinstance(frame, frames.QuorumReadCheck) for frame in told) is asks


@pytest.mark.parametrize(("status", "final"), [(400, False), (412, True)])
def test_while_members_judge_by_two_versions_of_the_check_nothing_is_said_to_be_invalid(
    status: int, final: bool
) -> None:
    """The next head may be the one that takes it, when a late copy comes."""
    world = quiet_world()
    replica, now_s = world.replicas["a"], world.now_s
    for replica.check_version, final_now in (
        (1, final),
        (0, True),
    ):  # the others' is 0: first before, then after the roll-out
        told = replica.chain_effects([SendMessage("client", frames.WriteResult(7, status, "no valid one"))], now_s)
        assert (statuses(told) == {}) is final_now and (final_now or statuses(told) == {7: 503})
        replica.reads.pending.clear()


def test_a_pulse_tells_the_version_of_the_check_and_that_stays_known_of_a_disk_in_trouble() -> None:
    world = quiet_world()
    here, there = world.replicas["a"], world.replicas["b"]
    assert here.checks_agree() and there.own_heartbeat(world.now_s).disk_flags == 1
    there.check_version = 3
    here.on_heartbeat(there.own_heartbeat(world.now_s), world.now_s)
    assert not here.checks_agree() and here.failure_detector.peers["b"].disk_works
    there.disk.failed_s = world.now_s
    here.on_heartbeat(there.own_heartbeat(world.now_s), world.now_s)
    assert not here.checks_agree() and not here.failure_detector.peers["b"].disk_works
    here.peer_check_versions["x"] = 9  # no member: it will not be the head
    here.check_version, here.peer_check_versions["c"] = 3, 3
    assert here.checks_agree()


# -- digests ------------------------------------------------------------------------------------------------------


def test_what_stands_above_an_entry_s_base_was_not_taken() -> None:
    known = {10: b"ten", 20: b"twenty", 30: b"thirty"}
    deduplication.record(known, 25, 10, b"new")
    assert known == {10: b"ten", 25: b"new"}


def test_without_the_digests_all_versions_may_be_forgotten() -> None:
    assert deduplication.forgotten_up_to({}, 0) == 0 and deduplication.forgotten_up_to({}, 5) == MAX_REVISION
    assert (
        deduplication.forgotten_up_to({40: b"", 50: b""}, 5) == 39
        and deduplication.forgotten_up_to({10: b"", 20: b""}, 2) == 0
    )


def test_of_one_s_own_digests_count_those_that_all_hold() -> None:
    own = {10: b"ten", 20: b"twenty", 30: b"refused"}
    assert deduplication.merge(own, 20, {40: b"forty"}) == {10: b"ten", 20: b"twenty", 40: b"forty"}


def test_between_machines_go_the_digests_that_the_other_lacks() -> None:
    """The proposer names the base of its newest entry; a promise brings what is above; each is sent what it lacks."""
    world = quiet_world()
    for replica in world.replicas.values():
        assert replica.state.chain is not None
        replica.state.chain.last = Entry(3, 256, 30, 20, b"30:x")
        replica.state.chain.applied_digests.update({number: bytes([number]) * 32 for number in (10, 20, 30)})
    replica = world.replicas["a"]
    (prepare, *_) = (one.frame for one in replica.proposer.propose(world.now_s) if isinstance(one, SendMessage))
    assert isinstance(prepare, frames.Prepare) and prepare.digests_since == 20
    promise = promised(world.replicas["b"], prepare, world.now_s)
    assert list(deduplication.unpack(promise.applied_digests)) == [30]
    proposal = Proposal(prepare.epoch, (), (), world.now_s, promises={promise.name: promise})
    known = world.replicas["b"].state.applied_digests()
    for name, sent in ((promise.name, [30]), ("c/empty", [10, 20, 30])):
        accept = replica.proposer.accept_for(proposal, name, (), (), promise, known)
        assert list(deduplication.unpack(accept.applied_digests)) == sent and accept.digests_since == (
            20 if len(sent) == 1 else 0
        )


def promised(replica: Replica, prepare: frames.Prepare, now_s: float) -> frames.Promise:
    assert replica.on_prepare(prepare, now_s)
    (told,) = replica.promise_persisted(prepare.epoch, "a", now_s)
    assert isinstance(told, SendMessage) and isinstance(told.frame, frames.Promise)
    return told.frame


# -- at the node that took the call -------------------------------------------------------------------------------


def test_a_call_is_sent_again_until_its_caller_goes_on_and_then_left_without_a_clear_answer() -> None:
    sent: list[tuple[str, frames.Frame]] = []
    later: list[tuple[float, Any]] = []

    async def scenario() -> None:
        control = ControlApi("10.0.0.1", lambda: ("head", "tail"), lambda ip, frame: sent.append((ip, frame)), Mock())
        now_s, connection = 5.0, Mock()
        control.loop = cast(
            Any,
            SimpleNamespace(
                time=lambda: now_s, call_later=lambda wait_s, what, name: later.append((wait_s, lambda: what(name)))
            ),
        )
        control.submit(order(1), connection)
        for _ in range(20):
            if not later:
                break
            wait_s, what = later.pop()
            now_s += wait_s
            what()
        assert {ip for ip, _ in sent} == {"head"} and 3 <= len(sent) <= 5
        assert CALL_TIMEOUT_S <= now_s - 5.0 < CALL_TIMEOUT_S + RESEND_INTERVAL_S
        assert connection.respond.call_args.args[0].status == 503 and not control.calls

    run(scenario())


def test_reads_go_to_the_tail() -> None:
    sent: list[str] = []

    async def scenario() -> None:
        control = ControlApi("10.0.0.1", lambda: ("head", "tail"), lambda ip, frame: sent.append(ip), Mock())
        control.submit(frames.ReadRequest(1, "10.0.0.1"), Mock())
        control.calls.clear()

    run(scenario())
    assert sent == ["tail"]
