"""The rules of docs/design/orders.md that no other test covers, each tested by itself."""

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


def write_request(request_id: int, body: bytes = b"10:x", base: int = 0) -> frames.WriteRequest:
    return frames.WriteRequest(request_id, "client", base, body)


def statuses(effects: list[Any]) -> dict[int, int]:
    return {
        effect.frame.request_id: effect.frame.status
        for effect in effects
        if isinstance(effect, SendMessage) and isinstance(effect.frame, frames.WriteResult)
    }


def quiet_world() -> World:
    world = World(1, loss=0.0)
    world.run(1.0)
    return world


# -- at the head --------------------------------------------------------------------------------------------------


def test_writes_beyond_the_queue_limit_get_503() -> None:
    member = ChainReplica("a", ALONE, revision, digest, active=True)
    member.submit(write_request(0), 0.0)
    for request_id in range(1, MAX_QUEUED_WRITES + 1):
        assert statuses(member.submit(write_request(request_id, b"11:%d" % request_id), 0.0)) == {}
    assert (
        statuses(member.submit(write_request(999, b"12:x"), 0.0)) == {999: 503}
        and len(member.queue) == MAX_QUEUED_WRITES
    )


@pytest.mark.parametrize(("ip", "sealed", "active"), [("b", False, True), ("a", True, True), ("a", False, False)])
def test_only_the_head_of_an_active_view_accepts_writes(ip: str, sealed: bool, active: bool) -> None:
    member = ChainReplica(ip, CHAIN, revision, digest, active=active, sealed=sealed)
    assert member.submit(write_request(1), 0.0) == [] and not member.queue and member.persisting is None


@pytest.mark.parametrize(("status", "waits"), [(400, True), (412, True), (503, False), (200, False)])
def test_a_result_that_names_the_current_version_waits_for_a_majority(status: int, waits: bool) -> None:
    world = quiet_world()
    replica = world.replicas["a"]
    result = frames.WriteResult(7, status, "")
    sent = [
        effect.frame
        for effect in replica.chain_effects([SendMessage("client", result)], world.now_s)
        if isinstance(effect, SendMessage)
    ]
    assert (result not in sent) is waits and any(isinstance(frame, frames.QuorumReadCheck) for frame in sent) is waits


@pytest.mark.parametrize(("status", "final"), [(400, False), (412, True)])
def test_nothing_is_rejected_as_invalid_while_members_use_two_check_versions(status: int, final: bool) -> None:
    """The next head may use the other version and accept a delayed copy of the write."""
    world = quiet_world()
    replica, now_s = world.replicas["a"], world.now_s
    for replica.check_version, final_now in (
        (1, final),
        (0, True),
    ):  # the other members use version 0: first mixed versions, then equal ones
        effects = replica.chain_effects([SendMessage("client", frames.WriteResult(7, status, "invalid"))], now_s)
        assert (statuses(effects) == {}) is final_now and (final_now or statuses(effects) == {7: 503})
        replica.reads.pending.clear()


def test_a_heartbeat_reports_the_check_version_which_stays_known_while_the_disk_fails() -> None:
    world = quiet_world()
    local, peer = world.replicas["a"], world.replicas["b"]
    assert local.checks_agree() and peer.own_heartbeat(world.now_s).disk_flags == 1
    peer.check_version = 3
    local.on_heartbeat(peer.own_heartbeat(world.now_s), world.now_s)
    assert not local.checks_agree() and local.failure_detector.peers["b"].disk_works
    peer.disk.failed_s = world.now_s
    local.on_heartbeat(peer.own_heartbeat(world.now_s), world.now_s)
    assert not local.checks_agree() and not local.failure_detector.peers["b"].disk_works
    local.peer_check_versions["x"] = 9  # not a member, so it can't become the head
    local.check_version, local.peer_check_versions["c"] = 3, 3
    assert local.checks_agree()


# -- digests ------------------------------------------------------------------------------------------------------


def test_digests_above_the_base_of_an_entry_are_dropped() -> None:
    digests = {10: b"ten", 20: b"twenty", 30: b"thirty"}
    deduplication.record(digests, 25, 10, b"new")
    assert digests == {10: b"ten", 25: b"new"}


def test_without_digests_every_version_may_be_forgotten() -> None:
    assert deduplication.forgotten_up_to({}, 0) == 0 and deduplication.forgotten_up_to({}, 5) == MAX_REVISION
    assert (
        deduplication.forgotten_up_to({40: b"", 50: b""}, 5) == 39
        and deduplication.forgotten_up_to({10: b"", 20: b""}, 2) == 0
    )


def test_merge_keeps_own_digests_only_up_to_the_revision_that_all_hold() -> None:
    own = {10: b"ten", 20: b"twenty", 30: b"refused"}
    assert deduplication.merge(own, 20, {40: b"forty"}) == {10: b"ten", 20: b"twenty", 40: b"forty"}


def test_machines_exchange_only_the_digests_that_the_other_lacks() -> None:
    """The proposer names the base of its newest entry, a promise returns the digests above it, and each member is sent
    the digests that it lacks."""
    world = quiet_world()
    for replica in world.replicas.values():
        assert replica.state.chain is not None
        replica.state.chain.last = Entry(3, 256, 30, 20, b"30:x")
        replica.state.chain.applied_digests.update({number: bytes([number]) * 32 for number in (10, 20, 30)})
    replica = world.replicas["a"]
    (prepare, *_) = (
        effect.frame for effect in replica.proposer.propose(world.now_s) if isinstance(effect, SendMessage)
    )
    assert isinstance(prepare, frames.Prepare) and prepare.digests_since == 20
    promise = promise_of(world.replicas["b"], prepare, world.now_s)
    assert list(deduplication.unpack(promise.applied_digests)) == [30]
    proposal = Proposal(prepare.epoch, (), (), world.now_s, promises={promise.name: promise})
    known = world.replicas["b"].state.applied_digests()
    for name, sent in ((promise.name, [30]), ("c/empty", [10, 20, 30])):
        accept = replica.proposer.accept_for(proposal, name, (), (), promise, known)
        assert list(deduplication.unpack(accept.applied_digests)) == sent and accept.digests_since == (
            20 if len(sent) == 1 else 0
        )


def promise_of(replica: Replica, prepare: frames.Prepare, now_s: float) -> frames.Promise:
    assert replica.on_prepare(prepare, now_s)
    (sent,) = replica.promise_persisted(prepare.epoch, "a", now_s)
    assert isinstance(sent, SendMessage) and isinstance(sent.frame, frames.Promise)
    return sent.frame


# -- at the node that received the call -------------------------------------------------------------------------------


def test_a_call_is_resent_until_its_timeout_and_then_gets_503() -> None:
    sent: list[tuple[str, frames.Frame]] = []
    timers: list[tuple[float, Any]] = []

    async def scenario() -> None:
        control = ControlApi("10.0.0.1", lambda: ("head", "tail"), lambda ip, frame: sent.append((ip, frame)), Mock())
        now_s, connection = 5.0, Mock()
        control.loop = cast(
            Any,
            SimpleNamespace(
                time=lambda: now_s,
                call_later=lambda delay_s, callback, name: timers.append((delay_s, lambda: callback(name))),
            ),
        )
        control.submit(write_request(1), connection)
        for _ in range(20):
            if not timers:
                break
            delay_s, callback = timers.pop()
            now_s += delay_s
            callback()
        assert {ip for ip, _ in sent} == {"head"} and 3 <= len(sent) <= 5
        assert CALL_TIMEOUT_S <= now_s - 5.0 < CALL_TIMEOUT_S + RESEND_INTERVAL_S
        assert connection.respond.call_args.args[0].status == 503 and not control.pending_calls

    run(scenario())


def test_reads_go_to_the_tail() -> None:
    sent: list[str] = []

    async def scenario() -> None:
        control = ControlApi("10.0.0.1", lambda: ("head", "tail"), lambda ip, frame: sent.append(ip), Mock())
        control.submit(frames.ReadRequest(1, "10.0.0.1"), Mock())
        control.pending_calls.clear()

    run(scenario())
    assert sent == ["tail"]
