"""Each rule of docs/design/control-state.md by itself, at one machine that agrees on views."""

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
from tests.core_parts import GROUP, ONE, VIEW, accept, echo, promise, pulse, quiet_world, told


def test_a_promise_is_on_disk_before_it_is_told_seals_lower_epochs_and_never_goes_down() -> None:
    world = quiet_world()
    replica = world.replicas["b"]
    assert replica.state.chain is not None
    (write,) = replica.on_prepare(frames.Prepare(1024, "a/0"), world.now_s)
    assert write == PersistPromise(1024, "a") and replica.state.chain.sealed and not replica.state.is_active()
    assert replica.on_prepare(frames.Prepare(1024, "c/0"), world.now_s) == []
    assert replica.on_prepare(frames.Prepare(768, "c/0"), world.now_s) == []
    assert replica.on_prepare(frames.Prepare(2048, "c/0"), world.now_s)
    assert replica.promise_persisted(1024, "a", world.now_s) == []  # a later one is on its way to disk
    assert told(replica.promise_persisted(2048, "c", world.now_s), frames.Promise)


def test_a_machine_without_a_view_on_its_disk_promises_nothing() -> None:
    replica = Replica("c/7", 2, invariants.revision, invariants.digest, lambda: 0.5)
    replica.load(None, 0, None, {}, 0.0)
    replica.on_view_announcement(
        frames.ViewAnnouncement(256, GROUP[:2], (*GROUP[:2], "c/7")), 0.0
    )  # told, and not on its disk
    assert replica.on_prepare(frames.Prepare(1024, "a/0"), 0.1) == [] and replica.voter.promised == 0


def test_a_view_that_was_promised_over_is_held_sealed() -> None:
    world = quiet_world()
    replica = world.replicas["b"]
    replica.voter.promised = 1024
    replica.install_view(VIEW)
    assert replica.state.chain is not None and replica.state.chain.sealed


def test_a_view_is_taken_up_once_from_the_promise_on_and_by_its_members() -> None:
    world = quiet_world()
    replica = world.replicas["b"]
    replica.voter.promised = 1024
    assert replica.on_accept(accept(768), world.now_s) == []
    assert replica.on_accept(accept(1024, ("a/0", "c/0")), world.now_s) == []
    replica.voter.promised = 256
    (write,) = replica.on_accept(accept(1024), world.now_s)
    assert isinstance(write, PersistView) and replica.voter.promised == 1024
    assert replica.state.chain is not None and replica.state.chain.sealed
    assert replica.on_accept(accept(1024), world.now_s) == []


def test_only_a_machine_that_has_no_view_takes_up_a_founding_one() -> None:
    replica = Replica("a/0", 2, invariants.revision, invariants.digest, lambda: 0.5)
    replica.load(None, 256, None, {}, 0.0)
    assert replica.bootstrap(VIEW, 0.0) == []
    replica.voter.promised = 0
    assert replica.bootstrap(replace(VIEW, chain=GROUP[1:]), 0.0) == []
    assert replica.bootstrap(VIEW, 0.0) and replica.bootstrap(VIEW, 0.0) == []
    assert quiet_world().replicas["a"].bootstrap(replace(VIEW, epoch=512), 1.0) == []


def test_a_view_begins_with_the_newest_entry_that_a_majority_of_the_group_tells() -> None:
    world = quiet_world()
    replica = world.replicas["a"]
    replica.proposer.propose(world.now_s)
    proposal = replica.proposer.proposal
    assert proposal is not None and proposal.epoch & 0xFF == 0
    epoch, older = proposal.epoch, Entry(9, 256, 90, 80, b"90:x")
    assert replica.proposer.on_promise(promise("x/0", epoch), world.now_s) == []
    assert replica.proposer.on_promise(promise("b/0", epoch + 1), world.now_s) == []
    assert replica.proposer.on_promise(promise("b/0", epoch, older), world.now_s) == [] and len(proposal.promises) == 1
    assert replica.proposer.conclude(world.now_s + PROMISE_WAIT_S + 0.01) == []  # one is no majority of three
    newer = Entry(2, 512, 95, 10, b"95:x")
    assert (
        replica.proposer.on_promise(promise("c/0", epoch, newer), world.now_s) == []
    )  # a third is there and may promise too
    sent = told(replica.proposer.conclude(world.now_s + PROMISE_WAIT_S + 0.01), frames.Accept)
    assert {one.number for one in sent} == {2} and {one.revision for one in sent} == {95} and len(sent) == 2
    assert all(one.chain == ("b/0", "c/0") for one in sent)  # the tail stays where it was
    assert replica.proposer.on_promise(promise("a/0", epoch), world.now_s) == []


def test_a_newcomer_counts_for_a_chain_and_not_for_the_majority_that_decides() -> None:
    world = quiet_world()
    replica, now_s = world.replicas["a"], world.now_s
    echo(replica, now_s, pulse("c/7", epoch=0, promised=0, stored_epoch=0, stored_number=0, disk_state=0))
    replica.failure_detector.peers["b"].alive_s = NEVER_S
    replica.proposer.propose(now_s)
    assert replica.proposer.proposal is not None and replica.proposer.proposal.new_group == ("a/0", "b/0", "c/7")
    assert replica.proposer.on_promise(promise("a/0", replica.proposer.proposal.epoch), now_s) == []
    assert replica.proposer.conclude(now_s + PROMISE_WAIT_S + 0.01) == [] and not replica.proposer.proposal.sent
    assert replica.proposer.on_promise(promise("b/0", replica.proposer.proposal.epoch), now_s + 0.5)


def test_the_tail_stays_where_it_was_also_before_those_that_come_back() -> None:
    world = quiet_world()
    replica = world.replicas["a"]
    replica.state.view = replace(VIEW, chain=("b/0", "a/0"))
    replica.proposer.propose(world.now_s)
    proposal = replica.proposer.proposal
    assert proposal is not None
    proposal.promises = {name: promise(name, proposal.epoch) for name in GROUP}
    sent = told(replica.proposer.decide(proposal, world.now_s), frames.Accept)
    assert {one.chain for one in sent} == {("c/0", "b/0", "a/0")}


@pytest.mark.parametrize(("copies", "there", "enough"), [(2, 2, True), (3, 2, False), (1, 1, False)])
def test_a_chain_has_enough_copies_and_a_majority_of_its_group(copies: int, there: int, enough: bool) -> None:
    world = quiet_world()
    replica = world.replicas["a"]
    replica.state.min_copies = copies
    replica.proposer.propose(world.now_s)
    proposal = replica.proposer.proposal
    assert proposal is not None
    proposal.promises = {name: promise(name, proposal.epoch) for name in GROUP[:there]}
    assert bool(replica.proposer.decide(proposal, world.now_s)) is enough


def test_half_of_a_group_is_no_majority() -> None:
    replica = quiet_world().replicas["a"]
    assert [replica.state.quorum_size(GROUP[:1] * count) for count in (1, 2, 3, 4, 5)] == [1, 2, 2, 3, 3]


def test_epochs_that_are_proposed_are_above_all_seen_and_no_two_machines_propose_the_same() -> None:
    world = quiet_world()
    replicas = [world.replicas[ip] for ip in "abc"]
    replicas[0].on_heartbeat(
        pulse("b/0", promised=5000, durable_promise=0, stored_epoch=0, stored_number=0), world.now_s
    )
    assert replicas[0].state.highest_epoch == 5000
    for replica in replicas:
        replica.state.highest_epoch = 5000
    epochs = [told(replica.proposer.propose(world.now_s), frames.Prepare)[0].epoch for replica in replicas]
    assert len(set(epochs)) == 3 and min(epochs) > 5000


@pytest.mark.parametrize("which", ["all", "one of another name", "one of another view"])
def test_a_view_is_active_once_all_of_its_chain_are_known_to_hold_it(which: str) -> None:
    world = quiet_world()
    replica = world.replicas["a"]
    assert replica.state.chain is not None
    replica.state.chain.active, replica.failure_detector.peers = False, {}
    other = pulse("c/0")
    if which == "one of another name":
        other = pulse("c/9")
    elif which == "one of another view":
        other = pulse("c/0", epoch=0)
    echo(replica, world.now_s, pulse("b/0"), other)
    replica.tick(world.now_s)
    assert replica.state.chain.active is (which == "all")


def test_a_proposal_that_gathers_too_few_lapses_and_the_next_has_more_time() -> None:
    world = quiet_world()
    replica = world.replicas["a"]
    replica.proposer.propose(world.now_s)
    replica.proposer.conclude(world.now_s + PROPOSAL_TIMEOUT_S - 0.1)
    assert replica.proposer.proposal is not None and replica.proposer.backoff == 1
    replica.proposer.conclude(world.now_s + PROPOSAL_TIMEOUT_S + 0.1)
    assert replica.proposer.proposal is None and replica.proposer.backoff == 2


def test_a_view_is_mended_by_its_group_with_a_majority_and_once_it_was_wrong_for_a_while() -> None:
    for name, others, mends in (("a/0", ("b/0",), True), ("a/0", (), False), ("x/0", ("b/0", "a/0"), False)):
        replica = Replica(name, 2, invariants.revision, invariants.digest, lambda: 0.5)
        replica.load(VIEW, 256, None, {}, 0.0)
        proposed: list[float] = []
        for tick in range(1, 12):
            actions = echo(replica, tick / 10, *(pulse(other, stored_number=0) for other in others))
            if told([*actions, *replica.tick(tick / 10)], frames.Prepare):
                proposed.append(tick / 10)
        assert bool(proposed) is mends and (not mends or proposed[0] > 0.1 + REPAIR_DELAY_S)


def test_a_lost_disk_makes_a_view_wrong_though_all_are_there() -> None:
    world = quiet_world()
    replica = world.replicas["a"]
    echo(replica, world.now_s, pulse("b/0"), pulse("c/0"))
    assert not replica.proposer.needs_repair(world.now_s)
    replica.state.view = replace(VIEW, chain=GROUP[:2])
    echo(replica, world.now_s, pulse("b/0"), pulse("c/7", epoch=0, stored_epoch=0, stored_number=0, disk_state=0))
    assert replica.failure_detector.new_identities(world.now_s) == {"c/0": "c/7"} and replica.proposer.needs_repair(
        world.now_s
    )


def test_who_hears_of_a_newer_view_drops_its_proposal_and_keeps_what_is_on_its_disk() -> None:
    later = View(1024, GROUP[1:], GROUP)
    for by_promise in (True, False):
        world = quiet_world()
        replica = world.replicas["a"]
        newest = replica.state.newest_entry()
        replica.state.stored_entry, replica.state.stored_digests = (
            None,
            {},
        )  # as they were when the view was put on disk
        replica.proposer.propose(world.now_s)
        assert replica.proposer.proposal is not None
        if by_promise:
            replica.proposer.on_promise(promise("b/0", replica.proposer.proposal.epoch, view=later), world.now_s)
        else:
            replica.on_view_announcement(frames.ViewAnnouncement(later.epoch, later.chain, later.group), world.now_s)
        assert replica.proposer.proposal is None and replica.state.view == later and replica.state.chain is None
        assert replica.state.newest_entry() == newest and replica.state.applied_digests()


# -- reads --------------------------------------------------------------------------------------------------------


def confirmed(replica: Replica, now_s: float, name: str = "a/0", epoch: int = 256) -> list[Any]:
    return told(replica.reads.on_ack(frames.QuorumReadAck(epoch, 7, name), now_s))


@pytest.mark.parametrize("why", ["", "late", "another epoch", "no member", "sealed", "behind", "not committed"])
def test_a_read_is_answered_with_a_majority_s_word_in_time_on_this_epoch(why: str) -> None:
    world = quiet_world()
    replica, now_s = world.replicas["c"], world.now_s
    assert replica.state.chain is not None
    assert len(told(replica.read(frames.ReadRequest(7, CLIENT), now_s), frames.QuorumReadCheck)) == 2
    if why == "sealed":
        replica.state.chain.sealed = True
    elif why == "behind":
        replica.state.chain.catch_up_target = 99
    elif why == "not committed":
        replica.state.chain.committed = 0
    found = confirmed(
        replica,
        now_s + (CONFIRMATION_TIMEOUT_S + 0.1 if why == "late" else 0.1),
        "x/0" if why == "no member" else "a/0",
        255 if why == "another epoch" else 256,
    )
    assert [type(frame) for frame in found] == ([] if why else [frames.ReadResult])


def test_who_leads_no_more_answers_no_read_and_takes_no_order() -> None:
    world = quiet_world()
    now_s = world.now_s + FAILURE_TIMEOUT_S + 0.5
    assert world.replicas["c"].read(frames.ReadRequest(7, CLIENT), now_s) == []
    head = world.replicas["a"]
    assert head.submit(frames.WriteRequest(8, CLIENT, 10, b"20:x"), now_s) == [] and not head.disk.pending_since_s
    assert head.submit(frames.WriteRequest(8, CLIENT, 10, b"20:x"), world.now_s)


@pytest.mark.parametrize(("promised", "view", "confirms"), [(256, 256, True), (512, 256, False), (512, 512, False)])
def test_a_member_confirms_an_epoch_until_it_has_promised_a_later_one(promised: int, view: int, confirms: bool) -> None:
    replica = quiet_world().replicas["b"]
    replica.voter.promised, replica.state.view = promised, replace(VIEW, epoch=view)
    assert bool(replica.voter.on_read_check(frames.QuorumReadCheck(256, 7, "c"))) is confirms


# -- contact ------------------------------------------------------------------------------------------------------


def test_contact_is_with_a_majority_by_name_and_as_old_as_the_pulse_that_was_echoed() -> None:
    replica = quiet_world().replicas["a"]
    for heard in replica.failure_detector.peers.values():
        heard.alive_s = 5.0
    replica.failure_detector.peers["b"].alive_s = 8.0
    assert replica.failure_detector.last_quorum_contact_s(20.0) == 8.0
    replica.failure_detector.peers["b"].name = "b/9"
    assert replica.failure_detector.last_quorum_contact_s(20.0) == 5.0
    replica.failure_detector.peers["c"].name = "c/9"
    assert replica.failure_detector.last_quorum_contact_s(20.0) == NEVER_S


def test_a_root_whose_view_is_not_active_stays_it_for_a_while_only() -> None:
    world = quiet_world()
    replica = world.replicas["c"]
    assert replica.state.chain is not None and replica.leadership.is_leader
    replica.state.chain.active, replica.leadership.last_active_tail_s = False, world.now_s
    assert replica.leadership.holds_lease(world.now_s)
    for at_s, holds in (
        (world.now_s + VIEW_CHANGE_GRACE_S - 0.1, True),
        (world.now_s + VIEW_CHANGE_GRACE_S + 0.1, False),
    ):
        for heard in replica.failure_detector.peers.values():
            heard.alive_s = at_s
        assert replica.leadership.holds_lease(at_s) is holds
    replica.leadership.is_leader = False
    assert not replica.leadership.holds_lease(world.now_s)


# -- the disk -----------------------------------------------------------------------------------------------------


def test_a_disk_that_refuses_does_not_work_and_is_tried_again() -> None:
    world = quiet_world()
    replica, now_s = world.replicas["b"], world.now_s
    view = replace(VIEW, epoch=512)
    (write,) = replica.accept_view(view, ONE, {}, now_s)
    assert isinstance(write, PersistView)
    replica.write_failed(write, now_s)
    assert not replica.disk_works(now_s) and replica.state.pending_view is None
    assert ProbeDisk() not in replica.tick(now_s + PROBE_INTERVAL_S - 0.1)
    assert ProbeDisk() in replica.tick(now_s + PROBE_INTERVAL_S + 0.1)
    replica.disk_probed(now_s + PROBE_INTERVAL_S + 0.2)
    assert replica.disk_works(now_s + PROBE_INTERVAL_S + 0.2)


def test_a_write_of_an_epoch_that_is_over_counts_for_nothing() -> None:
    world = quiet_world()
    replica = world.replicas["a"]
    assert replica.state.chain is not None
    before = replica.state.chain.last
    assert (
        replica.entry_persisted(Entry(2, 128, 20, 10, b"20:x"), world.now_s) == []
        and replica.state.chain.last == before
    )
