"""Each rule of docs/design/control-state.md by itself, at one machine that agrees on views."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from cypressbeam.consensus import replica
from cypressbeam.consensus.chain import Entry, View
from cypressbeam.consensus.replica import CONFIRM_S, GATHER_S, PROPOSAL_S, Keeper, SavePromise, SaveView, TryDisk
from cypressbeam.protocol import frames
from lab.histories import invariants
from lab.histories.network import CLIENT
from tests.core_parts import GROUP, ONE, VIEW, accept, echo, promise, pulse, quiet_world, told


def test_a_promise_is_on_disk_before_it_is_told_seals_lower_epochs_and_never_goes_down() -> None:
    world = quiet_world()
    keeper = world.keepers["b"]
    assert keeper.member is not None
    (write,) = keeper.on_prepare(frames.Prepare(1024, "a/0"), world.now_s)
    assert write == SavePromise(1024, "a") and keeper.member.sealed and not keeper.stands()
    assert keeper.on_prepare(frames.Prepare(1024, "c/0"), world.now_s) == []
    assert keeper.on_prepare(frames.Prepare(768, "c/0"), world.now_s) == []
    assert keeper.on_prepare(frames.Prepare(2048, "c/0"), world.now_s)
    assert keeper.promise_saved(1024, "a", world.now_s) == []  # a later one is on its way to disk
    assert told(keeper.promise_saved(2048, "c", world.now_s), frames.Promise)


def test_a_machine_without_a_view_on_its_disk_promises_nothing() -> None:
    keeper = Keeper("c/7", 2, invariants.revision, invariants.digest, lambda: 0.5)
    keeper.load(None, 0, None, {}, 0.0)
    keeper.on_view(frames.ViewAnnouncement(256, GROUP[:2], (*GROUP[:2], "c/7")), 0.0)  # told, and not on its disk
    assert keeper.on_prepare(frames.Prepare(1024, "a/0"), 0.1) == [] and keeper.promised == 0


def test_a_view_that_was_promised_over_is_held_sealed() -> None:
    world = quiet_world()
    keeper = world.keepers["b"]
    keeper.promised = 1024
    keeper.hold(VIEW)
    assert keeper.member is not None and keeper.member.sealed


def test_a_view_is_taken_up_once_from_the_promise_on_and_by_its_members() -> None:
    world = quiet_world()
    keeper = world.keepers["b"]
    keeper.promised = 1024
    assert keeper.on_accept(accept(768), world.now_s) == []
    assert keeper.on_accept(accept(1024, ("a/0", "c/0")), world.now_s) == []
    keeper.promised = 256
    (write,) = keeper.on_accept(accept(1024), world.now_s)
    assert isinstance(write, SaveView) and keeper.promised == 1024
    assert keeper.member is not None and keeper.member.sealed
    assert keeper.on_accept(accept(1024), world.now_s) == []


def test_only_a_machine_that_has_no_view_takes_up_a_founding_one() -> None:
    keeper = Keeper("a/0", 2, invariants.revision, invariants.digest, lambda: 0.5)
    keeper.load(None, 256, None, {}, 0.0)
    assert keeper.found(VIEW, 0.0) == []
    keeper.promised = 0
    assert keeper.found(replace(VIEW, chain=GROUP[1:]), 0.0) == []
    assert keeper.found(VIEW, 0.0) and keeper.found(VIEW, 0.0) == []
    assert quiet_world().keepers["a"].found(replace(VIEW, epoch=512), 1.0) == []


def test_a_view_begins_with_the_newest_entry_that_a_majority_of_the_group_tells() -> None:
    world = quiet_world()
    keeper = world.keepers["a"]
    keeper.propose(world.now_s)
    proposal = keeper.proposal
    assert proposal is not None and proposal.epoch & 0xFF == 0
    epoch, older = proposal.epoch, Entry(9, 256, 90, 80, b"90:x")
    assert keeper.on_promise(promise("x/0", epoch), world.now_s) == []
    assert keeper.on_promise(promise("b/0", epoch + 1), world.now_s) == []
    assert keeper.on_promise(promise("b/0", epoch, older), world.now_s) == [] and len(proposal.promises) == 1
    assert keeper.conclude(world.now_s + GATHER_S + 0.01) == []  # one is no majority of three
    newer = Entry(2, 512, 95, 10, b"95:x")
    assert keeper.on_promise(promise("c/0", epoch, newer), world.now_s) == []  # a third is there and may promise too
    sent = told(keeper.conclude(world.now_s + GATHER_S + 0.01), frames.Accept)
    assert {one.number for one in sent} == {2} and {one.revision for one in sent} == {95} and len(sent) == 2
    assert all(one.chain == ("b/0", "c/0") for one in sent)  # the tail stays where it was
    assert keeper.on_promise(promise("a/0", epoch), world.now_s) == []


def test_a_newcomer_counts_for_a_chain_and_not_for_the_majority_that_decides() -> None:
    world = quiet_world()
    keeper, now_s = world.keepers["a"], world.now_s
    echo(keeper, now_s, pulse("c/7", epoch=0, promised=0, stored_epoch=0, stored_number=0, disk_state=0))
    keeper.heard["b"].at_s = replica.NEVER_S
    keeper.propose(now_s)
    assert keeper.proposal is not None and keeper.proposal.wanted == ("a/0", "b/0", "c/7")
    assert keeper.on_promise(promise("a/0", keeper.proposal.epoch), now_s) == []
    assert keeper.conclude(now_s + GATHER_S + 0.01) == [] and not keeper.proposal.sent
    assert keeper.on_promise(promise("b/0", keeper.proposal.epoch), now_s + 0.5)


def test_the_tail_stays_where_it_was_also_before_those_that_come_back() -> None:
    world = quiet_world()
    keeper = world.keepers["a"]
    keeper.view = replace(VIEW, chain=("b/0", "a/0"))
    keeper.propose(world.now_s)
    proposal = keeper.proposal
    assert proposal is not None
    proposal.promises = {name: promise(name, proposal.epoch) for name in GROUP}
    sent = told(keeper.decide(proposal, world.now_s), frames.Accept)
    assert {one.chain for one in sent} == {("c/0", "b/0", "a/0")}


@pytest.mark.parametrize(("copies", "there", "enough"), [(2, 2, True), (3, 2, False), (1, 1, False)])
def test_a_chain_has_enough_copies_and_a_majority_of_its_group(copies: int, there: int, enough: bool) -> None:
    world = quiet_world()
    keeper = world.keepers["a"]
    keeper.copies = copies
    keeper.propose(world.now_s)
    proposal = keeper.proposal
    assert proposal is not None
    proposal.promises = {name: promise(name, proposal.epoch) for name in GROUP[:there]}
    assert bool(keeper.decide(proposal, world.now_s)) is enough


def test_half_of_a_group_is_no_majority() -> None:
    keeper = quiet_world().keepers["a"]
    assert [keeper.majority(GROUP[:1] * count) for count in (1, 2, 3, 4, 5)] == [1, 2, 2, 3, 3]


def test_epochs_that_are_proposed_are_above_all_seen_and_no_two_machines_propose_the_same() -> None:
    world = quiet_world()
    keepers = [world.keepers[ip] for ip in "abc"]
    keepers[0].on_pulse(pulse("b/0", promised=5000, durable_promise=0, stored_epoch=0, stored_number=0), world.now_s)
    assert keepers[0].seen_epoch == 5000
    for keeper in keepers:
        keeper.seen_epoch = 5000
    epochs = [told(keeper.propose(world.now_s), frames.Prepare)[0].epoch for keeper in keepers]
    assert len(set(epochs)) == 3 and min(epochs) > 5000


@pytest.mark.parametrize("which", ["all", "one of another name", "one of another view"])
def test_a_view_is_active_once_all_of_its_chain_are_known_to_hold_it(which: str) -> None:
    world = quiet_world()
    keeper = world.keepers["a"]
    assert keeper.member is not None
    keeper.member.active, keeper.heard = False, {}
    other = pulse("c/0")
    if which == "one of another name":
        other = pulse("c/9")
    elif which == "one of another view":
        other = pulse("c/0", epoch=0)
    echo(keeper, world.now_s, pulse("b/0"), other)
    keeper.tick(world.now_s)
    assert keeper.member.active is (which == "all")


def test_a_proposal_that_gathers_too_few_lapses_and_the_next_has_more_time() -> None:
    world = quiet_world()
    keeper = world.keepers["a"]
    keeper.propose(world.now_s)
    keeper.conclude(world.now_s + PROPOSAL_S - 0.1)
    assert keeper.proposal is not None and keeper.patience == 1
    keeper.conclude(world.now_s + PROPOSAL_S + 0.1)
    assert keeper.proposal is None and keeper.patience == 2


def test_a_view_is_mended_by_its_group_with_a_majority_and_once_it_was_wrong_for_a_while() -> None:
    for name, others, mends in (("a/0", ("b/0",), True), ("a/0", (), False), ("x/0", ("b/0", "a/0"), False)):
        keeper = Keeper(name, 2, invariants.revision, invariants.digest, lambda: 0.5)
        keeper.load(VIEW, 256, None, {}, 0.0)
        proposed: list[float] = []
        for tick in range(1, 12):
            actions = echo(keeper, tick / 10, *(pulse(other, stored_number=0) for other in others))
            if told([*actions, *keeper.tick(tick / 10)], frames.Prepare):
                proposed.append(tick / 10)
        assert bool(proposed) is mends and (not mends or proposed[0] > 0.1 + replica.WRONG_S)


def test_a_lost_disk_makes_a_view_wrong_though_all_are_there() -> None:
    world = quiet_world()
    keeper = world.keepers["a"]
    echo(keeper, world.now_s, pulse("b/0"), pulse("c/0"))
    assert not keeper.wrong(world.now_s)
    keeper.view = replace(VIEW, chain=GROUP[:2])
    echo(keeper, world.now_s, pulse("b/0"), pulse("c/7", epoch=0, stored_epoch=0, stored_number=0, disk_state=0))
    assert keeper.newcomers(world.now_s) == {"c/0": "c/7"} and keeper.wrong(world.now_s)


def test_who_hears_of_a_newer_view_drops_its_proposal_and_keeps_what_is_on_its_disk() -> None:
    later = View(1024, GROUP[1:], GROUP)
    for by_promise in (True, False):
        world = quiet_world()
        keeper = world.keepers["a"]
        newest = keeper.newest()
        keeper.last, keeper.taken = None, {}  # as they were when the view was put on disk
        keeper.propose(world.now_s)
        assert keeper.proposal is not None
        if by_promise:
            keeper.on_promise(promise("b/0", keeper.proposal.epoch, view=later), world.now_s)
        else:
            keeper.on_view(frames.ViewAnnouncement(later.epoch, later.chain, later.group), world.now_s)
        assert keeper.proposal is None and keeper.view == later and keeper.member is None
        assert keeper.newest() == newest and keeper.all_taken()


# -- reads --------------------------------------------------------------------------------------------------------


def confirmed(keeper: Keeper, now_s: float, name: str = "a/0", epoch: int = 256) -> list[Any]:
    return told(keeper.on_confirmed(frames.QuorumReadAck(epoch, 7, name), now_s))


@pytest.mark.parametrize("why", ["", "late", "another epoch", "no member", "sealed", "behind", "not committed"])
def test_a_read_is_answered_with_a_majority_s_word_in_time_on_this_epoch(why: str) -> None:
    world = quiet_world()
    keeper, now_s = world.keepers["c"], world.now_s
    assert keeper.member is not None
    assert len(told(keeper.read(frames.ReadRequest(7, CLIENT), now_s), frames.QuorumReadCheck)) == 2
    if why == "sealed":
        keeper.member.sealed = True
    elif why == "behind":
        keeper.member.catch_up_target = 99
    elif why == "not committed":
        keeper.member.committed = 0
    found = confirmed(
        keeper,
        now_s + (CONFIRM_S + 0.1 if why == "late" else 0.1),
        "x/0" if why == "no member" else "a/0",
        255 if why == "another epoch" else 256,
    )
    assert [type(frame) for frame in found] == ([] if why else [frames.ReadResult])


def test_who_leads_no_more_answers_no_read_and_takes_no_order() -> None:
    world = quiet_world()
    now_s = world.now_s + replica.DEAD_S + 0.5
    assert world.keepers["c"].read(frames.ReadRequest(7, CLIENT), now_s) == []
    head = world.keepers["a"]
    assert head.order(frames.WriteRequest(8, CLIENT, 10, b"20:x"), now_s) == [] and not head.writes
    assert head.order(frames.WriteRequest(8, CLIENT, 10, b"20:x"), world.now_s)


@pytest.mark.parametrize(("promised", "view", "confirms"), [(256, 256, True), (512, 256, False), (512, 512, False)])
def test_a_member_confirms_an_epoch_until_it_has_promised_a_later_one(promised: int, view: int, confirms: bool) -> None:
    keeper = quiet_world().keepers["b"]
    keeper.promised, keeper.view = promised, replace(VIEW, epoch=view)
    assert bool(keeper.on_confirm(frames.QuorumReadCheck(256, 7, "c"))) is confirms


# -- contact ------------------------------------------------------------------------------------------------------


def test_contact_is_with_a_majority_by_name_and_as_old_as_the_pulse_that_was_echoed() -> None:
    keeper = quiet_world().keepers["a"]
    for heard in keeper.heard.values():
        heard.at_s = 5.0
    keeper.heard["b"].at_s = 8.0
    assert keeper.contact_s(20.0) == 8.0
    keeper.heard["b"].name = "b/9"
    assert keeper.contact_s(20.0) == 5.0
    keeper.heard["c"].name = "c/9"
    assert keeper.contact_s(20.0) == replica.NEVER_S


def test_a_root_whose_view_is_not_active_stays_it_for_a_while_only() -> None:
    world = quiet_world()
    keeper = world.keepers["c"]
    assert keeper.member is not None and keeper.root
    keeper.member.active, keeper.root_s = False, world.now_s
    assert keeper.holds_root(world.now_s)
    for at_s, holds in (
        (world.now_s + replica.ROOT_GRACE_S - 0.1, True),
        (world.now_s + replica.ROOT_GRACE_S + 0.1, False),
    ):
        for heard in keeper.heard.values():
            heard.at_s = at_s
        assert keeper.holds_root(at_s) is holds
    keeper.root = False
    assert not keeper.holds_root(world.now_s)


# -- the disk -----------------------------------------------------------------------------------------------------


def test_a_disk_that_refuses_does_not_work_and_is_tried_again() -> None:
    world = quiet_world()
    keeper, now_s = world.keepers["b"], world.now_s
    view = replace(VIEW, epoch=512)
    (write,) = keeper.accept_view(view, ONE, {}, now_s)
    assert isinstance(write, SaveView)
    keeper.write_failed(write, now_s)
    assert not keeper.disk_works(now_s) and keeper.accepting is None
    assert TryDisk() not in keeper.tick(now_s + replica.TRY_DISK_S - 0.1)
    assert TryDisk() in keeper.tick(now_s + replica.TRY_DISK_S + 0.1)
    keeper.disk_tried(now_s + replica.TRY_DISK_S + 0.2)
    assert keeper.disk_works(now_s + replica.TRY_DISK_S + 0.2)


def test_a_write_of_an_epoch_that_is_over_counts_for_nothing() -> None:
    world = quiet_world()
    keeper = world.keepers["a"]
    assert keeper.member is not None
    before = keeper.member.last
    assert keeper.synced(Entry(2, 128, 20, 10, b"20:x"), world.now_s) == [] and keeper.member.last == before
