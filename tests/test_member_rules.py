"""Unit tests of the membership rules in docs/design/members.md, except for automatic replacement."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cypressbeam.consensus.membership import MembershipManager
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.state import DiskState
from cypressbeam.consensus.views import Entry
from cypressbeam.protocol import frames
from lab.histories import invariants
from tests.core_parts import ENTRY_1, GROUP, VIEW, exchange_heartbeats, heartbeat, idle_world, sent_frames

NEW = "d/7"


def catch_up(**changes: object) -> frames.CatchUp:
    return replace(frames.CatchUp(NEW, "a", 256, GROUP, GROUP, 1, 256, 10, 0, ENTRY_1.body, b""), **changes)  # type: ignore


def spare_replica() -> Replica:
    """A spare that has a view on disk in which it is not a member."""
    replica = Replica(NEW, 2, invariants.revision, invariants.digest, lambda: 0.5)
    replica.load(VIEW, 256, ENTRY_1, {}, 0.0)
    assert replica.state.disk_state == DiskState.LEARNER
    return replica


def test_only_a_leading_head_of_an_active_view_carries_out_changes() -> None:
    world = idle_world()
    assert [MembershipManager(world.replicas[ip], 1).is_active_head(world.now_s) for ip in "abc"] == [
        True,
        False,
        False,
    ]
    assert not MembershipManager(world.replicas["a"], 1).is_active_head(world.now_s + 5.0)


def test_the_chain_of_a_view_that_adds_a_machine_includes_it() -> None:
    replica = idle_world().replicas["a"]
    larger = (*GROUP, NEW)
    assert replica.proposer.includes_new_address(larger, [*GROUP, NEW]) and replica.proposer.includes_new_address(
        GROUP, ["a/0", "b/0"]
    )
    assert not replica.proposer.includes_new_address(larger, [*GROUP])


@pytest.mark.parametrize("wrong", [{"name": "d/8"}, {"group": (*GROUP, NEW)}, {"epoch": 255}])
def test_a_spare_acknowledges_only_its_own_catch_up_for_a_current_view_without_it(wrong: dict[str, object]) -> None:
    membership = MembershipManager(spare_replica(), 1)
    (answer,) = sent_frames(membership.on_catch_up(catch_up(), 0.0))
    assert answer == frames.CatchUpAck(NEW, 256, 1, invariants.digest(ENTRY_1.body))
    assert membership.on_catch_up(catch_up(**wrong), 0.0) == []


def test_a_spare_is_caught_up_by_digest_and_at_most_one_entry_behind() -> None:
    world = idle_world()
    replica = world.replicas["a"]
    membership = MembershipManager(replica, 1)
    exchange_heartbeats(replica, world.now_s, heartbeat(NEW, epoch=0, stored_epoch=0, stored_number=0, disk_state=0))
    assert membership.spares(world.now_s) == {"d": NEW} and replica.state.chain is not None
    replica.state.chain.last = Entry(3, 256, 30, 20, b"30:x")
    digest = invariants.digest(b"30:x")
    for number, acked_digest, caught_up in ((3, b"another", False), (1, b"", False), (2, b"", True), (3, digest, True)):
        membership.spare_entry_numbers.clear()
        membership.on_catch_up_ack(frames.CatchUpAck(NEW, 256, number, acked_digest))
        assert membership.state(world.now_s).caught_up == (frozenset({NEW}) if caught_up else frozenset()), number


def test_no_group_is_proposed_during_a_proposal_or_while_a_lost_disk_waits() -> None:
    for reason in ("proposal", "lost disk", ""):
        world = idle_world()
        replica = world.replicas["a"]
        membership = MembershipManager(replica, 1)
        if reason == "proposal":
            replica.proposer.propose(world.now_s)
        elif reason == "lost disk":
            exchange_heartbeats(
                replica, world.now_s, heartbeat("c/7", epoch=0, stored_epoch=0, stored_number=0, disk_state=0)
            )
        assert bool(membership.propose_group((*GROUP, NEW), world.now_s)) is (reason == "")
