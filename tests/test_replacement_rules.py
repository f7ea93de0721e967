"""Unit tests of the rules of automatic replacement that test_replacement.py does not cover separately."""

from __future__ import annotations

from dataclasses import replace

from cypressbeam.consensus.membership import REPLACE, MembershipChange
from cypressbeam.consensus.views import ip_of
from lab.membership_churn import MembershipChurn
from tests.test_members import idle_world, newest_view


def make_silent(world: MembershipChurn, observer: str, *silent: str) -> None:
    """Let a machine see others as silent for 100 s."""
    world.replacements[observer].silence.since_s = dict.fromkeys(silent, world.now_s - 100.0)


def test_only_the_head_replaces_a_silent_member_and_only_with_a_delay_above_0() -> None:
    for seconds, replaces in ((60.0, True), (0.0, False)):
        world = idle_world(replace_after_s=seconds)
        head = newest_view(world).head
        victim = next(ip for ip in "abc" if ip != head)
        world.stop(victim)
        world.run(world.now_s + 3.0)
        for ip in sorted(set("abc") - {victim}):
            make_silent(world, ip, victim)
            manager = world.replacements[ip]
            assert (manager.next_change(world.now_s) is not None) is replaces
            assert bool(manager.tick(world.now_s)) is (replaces and ip == head) and bool(manager.status) is (
                replaces and ip == head
            )


def test_a_member_without_a_reachable_majority_counts_no_silence() -> None:
    world = idle_world()
    for ip in "bc":
        world.stop(ip)
    world.run(world.now_s + 3.0)
    assert world.replacements["a"].silence.since_s == {}


def test_a_started_replacement_continues_although_the_member_returned() -> None:
    world = idle_world()
    manager = world.replacements[newest_view(world).head]
    pending = manager.pending_change = MembershipChange(REPLACE, "b", "c", frozenset("ab"))
    assert manager.silence.since_s == {} and manager.next_change(world.now_s) == pending
    manager.pending_change = MembershipChange(REPLACE, "b", "d", frozenset("abc"))  # the spare is not added yet
    assert manager.next_change(world.now_s) is None


def test_a_group_has_a_surplus_member_if_it_is_even_and_above_the_minimum() -> None:
    manager = idle_world().replacements["a"]
    assert [count for count in range(1, 8) if manager.has_surplus_member(frozenset("abcdefg"[:count]))] == [4, 6]


def test_a_departed_member_waits_until_live_successors_have_persisted_the_view() -> None:
    world = idle_world()
    manager, replica = world.replacements["a"], world.replicas["a"]
    view = replica.state.view
    assert view is not None and not manager.successors_lack_view(world.now_s)
    replica.state.view = replace(view, epoch=view.epoch + 256)
    assert not manager.successors_lack_view(world.now_s)  # still a member
    others = tuple(name for name in view.chain if ip_of(name) != "a")
    replica.state.view = replace(view, epoch=view.epoch + 256, chain=others, group=others)
    assert manager.successors_lack_view(world.now_s)
    first, second = (replica.failure_detector.peers[ip_of(name)] for name in others)
    first.epoch = replica.state.view.epoch
    assert manager.successors_lack_view(world.now_s)
    second.last_alive_s -= 10.0  # falls silent
    assert not manager.successors_lack_view(world.now_s)
