"""Each rule of docs/design/control-state.md by itself, at one member of a chain."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from cypressbeam.consensus.chain import RESEND_INTERVAL_S
from cypressbeam.consensus.effects import PersistEntry, Publish
from cypressbeam.consensus.views import Entry
from cypressbeam.protocol import frames
from tests.core_parts import ONE, TWO, VIEW, forward, member, told


def test_an_entry_is_synced_before_it_is_passed_on_and_committed_by_the_tail_alone() -> None:
    for ip in "bc":
        one = member(ip)
        assert one.on_forward(forward(ONE), 0.0) == [PersistEntry(ONE)] and one.last is None and one.committed == 0
        actions = one.entry_persisted(ONE, 0.0)
        assert (Publish(ONE) in actions) is (ip == "c") is (one.committed == 1)
        kinds = [type(frame).__name__ for frame in told(actions)]
        assert kinds == (["WriteResult", "CommitNotice"] if ip == "c" else ["ForwardEntry"])


@pytest.mark.parametrize(
    "changes",
    [{"sealed": True}, {"active": False}, {"persisting": TWO}, {"last": TWO}, {"view": replace(VIEW, epoch=512)}],
)
def test_an_entry_is_taken_in_its_turn_and_in_its_epoch_only(changes: dict[str, Any]) -> None:
    one = member("b", **changes)
    before = one.persisting
    three = Entry(4 if one.last else 1, 256, 40, 30, b"40:x")
    assert one.on_forward(forward(three), 0.0) == [] and one.persisting is before


def test_word_of_a_commit_counts_for_what_is_here_in_this_epoch_and_goes_up() -> None:
    one = member("b", TWO)
    assert (
        one.on_commit(frames.CommitNotice(512, 1), 0.0) == [] and one.on_commit(frames.CommitNotice(256, 3), 0.0) == []
    )
    assert one.committed == 0
    assert told(one.on_commit(frames.CommitNotice(256, 2), 0.0)) == [frames.CommitNotice(256, 2)] and one.committed == 2
    sealed = member("b", TWO, sealed=True)
    assert sealed.on_commit(frames.CommitNotice(256, 2), 0.0) == [] and sealed.committed == 0


def test_one_that_was_sealed_while_it_wrote_says_nothing() -> None:
    for ip in "abc":
        one = member(ip, sealed=True, persisting=ONE)
        assert one.entry_persisted(ONE, 0.0) == [] and one.last == ONE and one.committed == 0


def test_an_entry_that_is_not_committed_is_sent_again_and_one_that_is_known_is_told_of_again() -> None:
    one = member("a", ONE, forwarded_s=5.0)
    assert one.tick(5.0 + RESEND_INTERVAL_S / 2) == []
    assert told(one.tick(5.01 + RESEND_INTERVAL_S)) == [frames.ForwardEntry(256, 1, 10, 0, b"10:x", 0, "")]
    assert member("a", ONE, 1).tick(9.0) == [] and member("a", ONE, sealed=True).tick(9.0) == []
    assert told(member("b", ONE, 1).on_forward(forward(ONE), 0.0)) == [frames.CommitNotice(256, 1)]
    assert told(member("b", ONE).on_forward(forward(ONE), 0.0), frames.ForwardEntry)


def test_a_tail_that_lacks_what_others_told_publishes_and_commits_nothing() -> None:
    tail = member("c", ONE)
    assert tail.activate(0.0, catch_up_target=2) == [] and tail.committed == 0
    assert tail.on_forward(forward(TWO), 0.0) == [PersistEntry(TWO)]
    assert Publish(TWO) in tail.entry_persisted(TWO, 0.0) and tail.is_caught_up()
    level = member("c", ONE)
    assert level.activate(0.0, catch_up_target=1) == [Publish(ONE)] and level.committed == 1


def test_what_a_view_began_with_is_committed_once_it_is_active() -> None:
    head = member("a", TWO, view=replace(VIEW, initial_number=1))
    assert told(head.activate(0.0)) == [frames.ForwardEntry(256, 2, 20, 10, b"20:x", 0, "")] and head.committed == 1
