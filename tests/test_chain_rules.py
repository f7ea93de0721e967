"""The rules of docs/design/control-state.md, each tested on a single chain member."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from cypressbeam.consensus.chain import RESEND_INTERVAL_S
from cypressbeam.consensus.effects import PersistEntry, Publish
from cypressbeam.consensus.views import Entry
from cypressbeam.protocol import frames
from tests.core_parts import ENTRY_1, ENTRY_2, VIEW, chain_member, forward_frame, sent_frames


def test_an_entry_is_synced_before_it_is_forwarded_and_committed_only_by_the_tail() -> None:
    for ip in "bc":
        replica = chain_member(ip)
        assert (
            replica.on_forward(forward_frame(ENTRY_1), 0.0) == [PersistEntry(ENTRY_1)]
            and replica.last is None
            and replica.committed == 0
        )
        effects = replica.entry_persisted(ENTRY_1, 0.0)
        assert (Publish(ENTRY_1) in effects) is (ip == "c") is (replica.committed == 1)
        frame_types = [type(frame).__name__ for frame in sent_frames(effects)]
        assert frame_types == (["WriteResult", "CommitNotice"] if ip == "c" else ["ForwardEntry"])


@pytest.mark.parametrize(
    "changes",
    [
        {"sealed": True},
        {"active": False},
        {"persisting": ENTRY_2},
        {"last": ENTRY_2},
        {"view": replace(VIEW, epoch=512)},
    ],
)
def test_only_the_next_entry_of_the_current_epoch_is_accepted(changes: dict[str, Any]) -> None:
    replica = chain_member("b", **changes)
    before = replica.persisting
    entry = Entry(4 if replica.last else 1, 256, 40, 30, b"40:x")
    assert replica.on_forward(forward_frame(entry), 0.0) == [] and replica.persisting is before


def test_a_commit_notice_applies_to_stored_entries_of_the_current_epoch_and_is_passed_up_the_chain() -> None:
    replica = chain_member("b", ENTRY_2)
    assert (
        replica.on_commit(frames.CommitNotice(512, 1), 0.0) == []
        and replica.on_commit(frames.CommitNotice(256, 3), 0.0) == []
    )
    assert replica.committed == 0
    assert (
        sent_frames(replica.on_commit(frames.CommitNotice(256, 2), 0.0)) == [frames.CommitNotice(256, 2)]
        and replica.committed == 2
    )
    sealed = chain_member("b", ENTRY_2, sealed=True)
    assert sealed.on_commit(frames.CommitNotice(256, 2), 0.0) == [] and sealed.committed == 0


def test_a_member_sealed_during_a_write_sends_nothing() -> None:
    for ip in "abc":
        replica = chain_member(ip, sealed=True, persisting=ENTRY_1)
        assert replica.entry_persisted(ENTRY_1, 0.0) == [] and replica.last == ENTRY_1 and replica.committed == 0


def test_an_uncommitted_entry_is_resent_and_a_duplicate_of_a_committed_one_is_acknowledged() -> None:
    replica = chain_member("a", ENTRY_1, forwarded_s=5.0)
    assert replica.tick(5.0 + RESEND_INTERVAL_S / 2) == []
    assert sent_frames(replica.tick(5.01 + RESEND_INTERVAL_S)) == [frames.ForwardEntry(256, 1, 10, 0, b"10:x", 0, "")]
    assert chain_member("a", ENTRY_1, 1).tick(9.0) == [] and chain_member("a", ENTRY_1, sealed=True).tick(9.0) == []
    assert sent_frames(chain_member("b", ENTRY_1, 1).on_forward(forward_frame(ENTRY_1), 0.0)) == [
        frames.CommitNotice(256, 1)
    ]
    assert sent_frames(chain_member("b", ENTRY_1).on_forward(forward_frame(ENTRY_1), 0.0), frames.ForwardEntry)


def test_a_tail_that_lacks_reported_entries_neither_publishes_nor_commits() -> None:
    tail = chain_member("c", ENTRY_1)
    assert tail.activate(0.0, catch_up_target=2) == [] and tail.committed == 0
    assert tail.on_forward(forward_frame(ENTRY_2), 0.0) == [PersistEntry(ENTRY_2)]
    assert Publish(ENTRY_2) in tail.entry_persisted(ENTRY_2, 0.0) and tail.is_caught_up()
    caught_up = chain_member("c", ENTRY_1)
    assert caught_up.activate(0.0, catch_up_target=1) == [Publish(ENTRY_1)] and caught_up.committed == 1


def test_the_initial_entry_of_a_view_is_committed_on_activation() -> None:
    head = chain_member("a", ENTRY_2, view=replace(VIEW, initial_number=1))
    assert (
        sent_frames(head.activate(0.0)) == [frames.ForwardEntry(256, 2, 20, 10, b"20:x", 0, "")] and head.committed == 1
    )
