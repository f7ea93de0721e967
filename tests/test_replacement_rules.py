"""Each rule of members that are replaced by themselves, that no test of test_replacement.py holds by itself."""

from __future__ import annotations

from dataclasses import replace

from cypressbeam.consensus.membership import REPLACE, MembershipChange
from cypressbeam.consensus.views import ip_of
from lab.membership_churn import MembershipChurn
from tests.test_members import newest, world_at_rest


def silent_for_long(world: MembershipChurn, at: str, *silent: str) -> None:
    """As that machine sees it."""
    world.replacements[at].silence.since_s = dict.fromkeys(silent, world.now_s - 100.0)


def test_only_the_head_replaces_a_silent_member_and_only_with_a_delay_above_0() -> None:
    for seconds, replaces in ((60.0, True), (0.0, False)):
        world = world_at_rest(replace_after_s=seconds)
        head = newest(world).head
        victim = next(ip for ip in "abc" if ip != head)
        world.stop(victim)
        world.run(world.now_s + 3.0)
        for ip in sorted(set("abc") - {victim}):
            silent_for_long(world, ip, victim)
            here = world.replacements[ip]
            assert (here.next_change(world.now_s) is not None) is replaces
            assert bool(here.tick(world.now_s)) is (replaces and ip == head) and bool(here.status) is (
                replaces and ip == head
            )


def test_a_member_without_a_reachable_majority_counts_no_silence() -> None:
    world = world_at_rest()
    for ip in "bc":
        world.stop(ip)
    world.run(world.now_s + 3.0)
    assert world.replacements["a"].silence.since_s == {}


def test_a_started_replacement_continues_although_the_member_returned() -> None:
    world = world_at_rest()
    here = world.replacements[newest(world).head]
    begun = here.pending_change = MembershipChange(REPLACE, "b", "c", frozenset("ab"))
    assert here.silence.since_s == {} and here.next_change(world.now_s) == begun
    here.pending_change = MembershipChange(REPLACE, "b", "d", frozenset("abc"))  # its spare is not added yet
    assert here.next_change(world.now_s) is None


def test_a_group_has_a_surplus_member_if_it_is_even_and_above_the_minimum() -> None:
    here = world_at_rest().replacements["a"]
    assert [count for count in range(1, 8) if here.has_surplus_member(frozenset("abcdefg"[:count]))] == [4, 6]


def test_a_departed_member_waits_until_live_successors_have_persisted_the_view() -> None:
    world = world_at_rest()
    here, replica = world.replacements["a"], world.replicas["a"]
    view = replica.state.view
    assert view is not None and not here.successors_lack_view(world.now_s)
    replica.state.view = replace(view, epoch=view.epoch + 256)
    assert not here.successors_lack_view(world.now_s)  # it is a member yet
    others = tuple(name for name in view.chain if ip_of(name) != "a")
    replica.state.view = replace(view, epoch=view.epoch + 256, chain=others, group=others)
    assert here.successors_lack_view(world.now_s)
    first, second = (replica.failure_detector.peers[ip_of(name)] for name in others)
    first.epoch = replica.state.view.epoch
    assert here.successors_lack_view(world.now_s)
    second.alive_s -= 10.0  # it is silent
    assert not here.successors_lack_view(world.now_s)
