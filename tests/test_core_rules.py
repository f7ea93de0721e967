"""Unit tests of the rules in docs/design/control-state.md that concern views, reads, liveness and the disk."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from cypressbeam.consensus.disk_health import PROBE_INTERVAL_S
from cypressbeam.consensus.effects import PersistPromise, PersistView, ProbeDisk
from cypressbeam.consensus.failure_detection import FAILURE_TIMEOUT_S, NEVER_S
from cypressbeam.consensus.leadership import VIEW_CHANGE_GRACE_S
from cypressbeam.consensus.quorum_reads import CONFIRMATION_TIMEOUT_S
from cypressbeam.consensus.repair import PROMISE_WAIT_S, PROPOSAL_TIMEOUT_S, REPAIR_DELAY_S
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol import frames
from lab.histories import invariants
from lab.histories.network import CLIENT
from tests.core_parts import (
    ENTRY_1,
    GROUP,
    VIEW,
    accept,
    exchange_heartbeats,
    heartbeat,
    idle_world,
    promise,
    sent_frames,
)


def test_a_promise_is_persisted_before_it_is_sent_seals_lower_epochs_and_never_decreases() -> None:
    world = idle_world()
    replica = world.replicas["b"]
    assert replica.state.chain is not None
    (write,) = replica.on_prepare(frames.Prepare(1024, "a/0"), world.now_s)
    assert write == PersistPromise(1024, "a") and replica.state.chain.sealed and not replica.state.is_active()
    assert replica.on_prepare(frames.Prepare(1024, "c/0"), world.now_s) == []
    assert replica.on_prepare(frames.Prepare(768, "c/0"), world.now_s) == []
    assert replica.on_prepare(frames.Prepare(2048, "c/0"), world.now_s)
    assert replica.promise_persisted(1024, "a", world.now_s) == []  # a later one is being written
    assert sent_frames(replica.promise_persisted(2048, "c", world.now_s), frames.Promise)


def test_a_machine_without_a_view_on_disk_does_not_promise() -> None:
    replica = Replica("c/7", 2, invariants.revision, invariants.digest, lambda: 0.5)
    replica.load(None, 0, None, {}, 0.0)
    # The view is announced, but not on disk.
    replica.on_view_announcement(frames.ViewAnnouncement(256, GROUP[:2], (*GROUP[:2], "c/7")), 0.0)
    assert replica.on_prepare(frames.Prepare(1024, "a/0"), 0.1) == [] and replica.voter.promised == 0


def test_a_view_is_installed_sealed_if_a_higher_epoch_was_promised() -> None:
    world = idle_world()
    replica = world.replicas["b"]
    replica.voter.promised = 1024
    replica.install_view(VIEW)
    assert replica.state.chain is not None and replica.state.chain.sealed


def test_a_view_is_accepted_once_by_its_chain_members_and_not_below_their_promise() -> None:
    world = idle_world()
    replica = world.replicas["b"]
    replica.voter.promised = 1024
    assert replica.on_accept(accept(768), world.now_s) == []
    assert replica.on_accept(accept(1024, ("a/0", "c/0")), world.now_s) == []
    replica.voter.promised = 256
    (write,) = replica.on_accept(accept(1024), world.now_s)
    assert isinstance(write, PersistView) and replica.voter.promised == 1024
    assert replica.state.chain is not None and replica.state.chain.sealed
    assert replica.on_accept(accept(1024), world.now_s) == []


def test_only_a_machine_without_a_view_accepts_the_bootstrap_view() -> None:
    replica = Replica("a/0", 2, invariants.revision, invariants.digest, lambda: 0.5)
    replica.load(None, 256, None, {}, 0.0)
    assert replica.bootstrap(replace(VIEW, epoch=255), 0.0) == []  # below its promise
    assert replica.bootstrap(replace(VIEW, chain=GROUP[1:]), 0.0) == []
    assert replica.bootstrap(VIEW, 0.0) and replica.bootstrap(VIEW, 0.0) == []
    assert idle_world().replicas["a"].bootstrap(replace(VIEW, epoch=512), 1.0) == []


def test_a_view_starts_with_the_newest_entry_that_a_majority_of_the_group_reports() -> None:
    world = idle_world()
    replica = world.replicas["a"]
    replica.proposer.propose(world.now_s)
    proposal = replica.proposer.proposal
    assert proposal is not None and proposal.epoch & 0xFF == 0
    epoch, older = proposal.epoch, Entry(9, 256, 90, 80, b"90:x")
    assert replica.proposer.on_promise(promise("x/0", epoch), world.now_s) == []
    assert replica.proposer.on_promise(promise("b/0", epoch + 1), world.now_s) == []
    assert replica.proposer.on_promise(promise("b/0", epoch, older), world.now_s) == [] and len(proposal.promises) == 1
    assert replica.proposer.conclude(world.now_s + PROMISE_WAIT_S + 0.01) == []  # one of three is not a majority
    newer = Entry(2, 512, 95, 10, b"95:x")
    # The third member is alive and may still promise.
    assert replica.proposer.on_promise(promise("c/0", epoch, newer), world.now_s) == []
    accepts = sent_frames(replica.proposer.conclude(world.now_s + PROMISE_WAIT_S + 0.01), frames.Accept)
    assert (
        {frame.number for frame in accepts} == {2}
        and {frame.revision for frame in accepts} == {95}
        and len(accepts) == 2
    )
    assert all(frame.chain == ("b/0", "c/0") for frame in accepts)  # the tail is kept
    assert replica.proposer.on_promise(promise("a/0", epoch), world.now_s) == []


def test_a_member_with_a_new_identity_counts_for_the_chain_but_not_for_the_deciding_majority() -> None:
    world = idle_world()
    replica, now_s = world.replicas["a"], world.now_s
    exchange_heartbeats(
        replica, now_s, heartbeat("c/7", epoch=0, promised=0, stored_epoch=0, stored_number=0, disk_state=0)
    )
    replica.failure_detector.peers["b"].last_alive_s = NEVER_S
    replica.proposer.propose(now_s)
    assert replica.proposer.proposal is not None and replica.proposer.proposal.new_group == ("a/0", "b/0", "c/7")
    assert replica.proposer.on_promise(promise("a/0", replica.proposer.proposal.epoch), now_s) == []
    assert replica.proposer.conclude(now_s + PROMISE_WAIT_S + 0.01) == [] and not replica.proposer.proposal.sent
    assert replica.proposer.on_promise(promise("b/0", replica.proposer.proposal.epoch), now_s + 0.5)


def test_the_tail_is_kept_when_members_return() -> None:
    world = idle_world()
    replica = world.replicas["a"]
    replica.state.view = replace(VIEW, chain=("b/0", "a/0"))
    replica.proposer.propose(world.now_s)
    proposal = replica.proposer.proposal
    assert proposal is not None
    proposal.promises = {name: promise(name, proposal.epoch) for name in GROUP}
    accepts = sent_frames(replica.proposer.decide(proposal, world.now_s), frames.Accept)
    assert {frame.chain for frame in accepts} == {("c/0", "b/0", "a/0")}


@pytest.mark.parametrize(("min_copies", "promised", "enough"), [(2, 2, True), (3, 2, False), (1, 1, False)])
def test_a_chain_has_enough_copies_and_a_majority_of_its_group(min_copies: int, promised: int, enough: bool) -> None:
    world = idle_world()
    replica = world.replicas["a"]
    replica.state.min_copies = min_copies
    replica.proposer.propose(world.now_s)
    proposal = replica.proposer.proposal
    assert proposal is not None
    proposal.promises = {name: promise(name, proposal.epoch) for name in GROUP[:promised]}
    assert bool(replica.proposer.decide(proposal, world.now_s)) is enough


def test_half_of_a_group_is_not_a_majority() -> None:
    replica = idle_world().replicas["a"]
    assert [replica.state.quorum_size(GROUP[:1] * count) for count in (1, 2, 3, 4, 5)] == [1, 2, 2, 3, 3]


def test_proposed_epochs_are_above_all_seen_and_differ_between_machines() -> None:
    world = idle_world()
    replicas = [world.replicas[ip] for ip in "abc"]
    replicas[0].on_heartbeat(
        heartbeat("b/0", promised=5000, durable_promise=0, stored_epoch=0, stored_number=0), world.now_s
    )
    assert replicas[0].state.highest_epoch == 5000
    for replica in replicas:
        replica.state.highest_epoch = 5000
    epochs = [sent_frames(replica.proposer.propose(world.now_s), frames.Prepare)[0].epoch for replica in replicas]
    assert len(set(epochs)) == 3 and min(epochs) > 5000


@pytest.mark.parametrize("which", ["all", "another name", "another view"])
def test_a_view_is_active_once_all_of_its_chain_are_known_to_have_it(which: str) -> None:
    world = idle_world()
    replica = world.replicas["a"]
    assert replica.state.chain is not None
    replica.state.chain.active, replica.failure_detector.peers = False, {}
    other = heartbeat("c/0")
    if which == "another name":
        other = heartbeat("c/9")
    elif which == "another view":
        other = heartbeat("c/0", epoch=0)
    exchange_heartbeats(replica, world.now_s, heartbeat("b/0"), other)
    replica.tick(world.now_s)
    assert replica.state.chain.active is (which == "all")


def test_a_proposal_without_a_majority_times_out_and_the_next_one_has_more_time() -> None:
    world = idle_world()
    replica = world.replicas["a"]
    replica.proposer.propose(world.now_s)
    replica.proposer.conclude(world.now_s + PROPOSAL_TIMEOUT_S - 0.1)
    assert replica.proposer.proposal is not None and replica.proposer.backoff == 1
    replica.proposer.conclude(world.now_s + PROPOSAL_TIMEOUT_S + 0.1)
    assert replica.proposer.proposal is None and replica.proposer.backoff == 2


def test_a_view_is_repaired_by_a_group_member_with_a_majority_after_a_delay() -> None:
    for name, others, repairs in (("a/0", ("b/0",), True), ("a/0", (), False), ("x/0", ("b/0", "a/0"), False)):
        replica = Replica(name, 2, invariants.revision, invariants.digest, lambda: 0.5)
        replica.load(VIEW, 256, None, {}, 0.0)
        proposed: list[float] = []
        for tick in range(1, 12):
            effects = exchange_heartbeats(replica, tick / 10, *(heartbeat(other, stored_number=0) for other in others))
            if sent_frames([*effects, *replica.tick(tick / 10)], frames.Prepare):
                proposed.append(tick / 10)
        assert bool(proposed) is repairs and (not repairs or proposed[0] > 0.1 + REPAIR_DELAY_S)


def test_a_view_needs_repair_after_a_lost_disk_although_all_members_are_alive() -> None:
    world = idle_world()
    replica = world.replicas["a"]
    exchange_heartbeats(replica, world.now_s, heartbeat("b/0"), heartbeat("c/0"))
    assert not replica.proposer.needs_repair(world.now_s)
    replica.state.view = replace(VIEW, chain=GROUP[:2])
    exchange_heartbeats(
        replica, world.now_s, heartbeat("b/0"), heartbeat("c/7", epoch=0, stored_epoch=0, stored_number=0, disk_state=0)
    )
    assert replica.failure_detector.new_identities(world.now_s) == {"c/0": "c/7"} and replica.proposer.needs_repair(
        world.now_s
    )


def test_a_newer_view_cancels_the_proposal_and_keeps_the_persisted_state() -> None:
    later = View(1024, GROUP[1:], GROUP)
    for by_promise in (True, False):
        world = idle_world()
        replica = world.replicas["a"]
        newest = replica.state.newest_entry()
        # As they were when the view was persisted.
        replica.state.stored_entry, replica.state.stored_digests = None, {}
        replica.proposer.propose(world.now_s)
        assert replica.proposer.proposal is not None
        if by_promise:
            replica.proposer.on_promise(promise("b/0", replica.proposer.proposal.epoch, view=later), world.now_s)
        else:
            replica.on_view_announcement(frames.ViewAnnouncement(later.epoch, later.chain, later.group), world.now_s)
        assert replica.proposer.proposal is None and replica.state.view == later and replica.state.chain is None
        assert replica.state.newest_entry() == newest and replica.state.applied_digests()


# -- reads --------------------------------------------------------------------------------------------------------


def answers_after_ack(replica: Replica, now_s: float, name: str = "a/0", epoch: int = 256) -> list[Any]:
    return sent_frames(replica.reads.on_ack(frames.QuorumReadAck(epoch, 7, name), now_s))


@pytest.mark.parametrize("why", ["", "late", "another epoch", "no member", "sealed", "behind", "not committed"])
def test_a_read_needs_timely_confirmation_of_the_epoch_by_a_majority(why: str) -> None:
    world = idle_world()
    replica, now_s = world.replicas["c"], world.now_s
    assert replica.state.chain is not None
    assert len(sent_frames(replica.read(frames.ReadRequest(7, CLIENT), now_s), frames.QuorumReadCheck)) == 2
    if why == "sealed":
        replica.state.chain.sealed = True
    elif why == "behind":
        replica.state.chain.catch_up_target = 99
    elif why == "not committed":
        replica.state.chain.committed = 0
    answers = answers_after_ack(
        replica,
        now_s + (CONFIRMATION_TIMEOUT_S + 0.1 if why == "late" else 0.1),
        "x/0" if why == "no member" else "a/0",
        255 if why == "another epoch" else 256,
    )
    assert [type(frame) for frame in answers] == ([] if why else [frames.ReadResult])


def test_a_former_leader_answers_no_read_and_accepts_no_write() -> None:
    world = idle_world()
    now_s = world.now_s + FAILURE_TIMEOUT_S + 0.5
    assert world.replicas["c"].read(frames.ReadRequest(7, CLIENT), now_s) == []
    head = world.replicas["a"]
    assert head.submit(frames.WriteRequest(8, CLIENT, 10, b"20:x"), now_s) == [] and not head.disk.pending_since_s
    assert head.submit(frames.WriteRequest(8, CLIENT, 10, b"20:x"), world.now_s)


@pytest.mark.parametrize(("promised", "view", "confirms"), [(256, 256, True), (512, 256, False), (512, 512, False)])
def test_a_member_confirms_an_epoch_until_it_has_promised_a_later_one(promised: int, view: int, confirms: bool) -> None:
    replica = idle_world().replicas["b"]
    replica.voter.promised, replica.state.view = promised, replace(VIEW, epoch=view)
    assert bool(replica.voter.on_read_check(frames.QuorumReadCheck(256, 7, "c"))) is confirms


# -- liveness and leadership --------------------------------------------------------------------------------------


def test_quorum_contact_counts_members_by_name_and_dates_from_the_echoed_heartbeat() -> None:
    replica = idle_world().replicas["a"]
    for peer in replica.failure_detector.peers.values():
        peer.last_alive_s = 5.0
    replica.failure_detector.peers["b"].last_alive_s = 8.0
    assert replica.failure_detector.last_quorum_contact_s(20.0) == 8.0
    replica.failure_detector.peers["b"].name = "b/9"
    assert replica.failure_detector.last_quorum_contact_s(20.0) == 5.0
    replica.failure_detector.peers["c"].name = "c/9"
    assert replica.failure_detector.last_quorum_contact_s(20.0) == NEVER_S


def test_a_root_with_an_inactive_view_keeps_its_role_for_a_limited_time() -> None:
    world = idle_world()
    replica = world.replicas["c"]
    assert replica.state.chain is not None and replica.leadership.is_leader
    replica.state.chain.active, replica.leadership.last_active_tail_s = False, world.now_s
    assert replica.leadership.holds_lease(world.now_s)
    for at_s, holds in (
        (world.now_s + VIEW_CHANGE_GRACE_S - 0.1, True),
        (world.now_s + VIEW_CHANGE_GRACE_S + 0.1, False),
    ):
        for peer in replica.failure_detector.peers.values():
            peer.last_alive_s = at_s
        assert replica.leadership.holds_lease(at_s) is holds
    replica.leadership.is_leader = False
    assert not replica.leadership.holds_lease(world.now_s)


# -- the disk -----------------------------------------------------------------------------------------------------


def test_a_disk_that_fails_a_write_is_unhealthy_and_is_probed() -> None:
    world = idle_world()
    replica, now_s = world.replicas["b"], world.now_s
    view = replace(VIEW, epoch=512)
    (write,) = replica.accept_view(view, ENTRY_1, {}, now_s)
    assert isinstance(write, PersistView)
    replica.write_failed(write, now_s)
    assert not replica.disk_works(now_s) and replica.state.pending_view is None
    assert ProbeDisk() not in replica.tick(now_s + PROBE_INTERVAL_S - 0.1)
    assert ProbeDisk() in replica.tick(now_s + PROBE_INTERVAL_S + 0.1)
    replica.disk_probed(now_s + PROBE_INTERVAL_S + 0.2)
    assert replica.disk_works(now_s + PROBE_INTERVAL_S + 0.2)


def test_a_completed_write_of_a_past_epoch_is_ignored() -> None:
    world = idle_world()
    replica = world.replicas["a"]
    assert replica.state.chain is not None
    before = replica.state.chain.last
    assert (
        replica.entry_persisted(Entry(2, 128, 20, 10, b"20:x"), world.now_s) == []
        and replica.state.chain.last == before
    )
