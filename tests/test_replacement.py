"""Tests of automatic replacement: silent members, spares, and members that shut down."""

from __future__ import annotations

import asyncio
import math

import pytest

from cypressbeam.consensus.membership import ADD, REMOVE, REPLACE, MembershipChange
from cypressbeam.consensus.replacement import PENDING_CHANGE_KEPT_S, SilenceTracker
from cypressbeam.consensus.views import ip_of
from cypressbeam.protocol.settings import SettingsError, parse
from lab import power_loss_recovery, repair, replacements
from lab.membership_churn import MembershipChurn
from lab.replacements import FALSE_ALARM, PLANNED, UNPLANNED, Case
from tests.test_members import group_of, idle_world, newest_view, request_change, write_configuration

pytestmark = pytest.mark.usefixtures("quiet")

SETTINGS = """node=core-1
ip=10.0.0.1
listeners.control=10.0.0.1:8649
internalPorts=7620,7635
quorumMember=true
"""


def head_of(world: MembershipChurn) -> str:
    return newest_view(world).head


# -- on the simulated core -----------------------------------------------------------------------------------------


def test_silence_counts_only_while_the_process_runs() -> None:
    tracker = SilenceTracker()
    assert not tracker.tick(10.0) and tracker.tick(10.1)
    tracker.update(["a", "b"], lambda ip, now_s: ip == "b", 10.1)
    assert tracker.tick(10.2)
    tracker.update(["a", "b"], lambda ip, now_s: ip == "b", 10.2)
    assert tracker.silent_for(0.09, 10.2) == ["a"] and tracker.silent_for(0.2, 10.2) == []
    assert not tracker.tick(20.0) and tracker.silent_for(0.0, 20.0) == []


def test_a_silent_member_is_replaced_by_a_spare_and_returns_as_a_spare() -> None:
    world = idle_world()
    victim = next(ip for ip in "abc" if ip != head_of(world))
    world.stop(victim)
    world.run(world.now_s + 4.0)
    assert group_of(world) == "".join(sorted(set("abcd") - {victim}))
    world.start(victim)
    world.run(world.now_s + 2.0)
    assert victim in world.members[head_of(world)].spares(world.now_s)
    for ip in "de":  # leaves no spare that was never a member
        world.stop(ip)
    world.run(world.now_s + 4.0)
    assert group_of(world) == "abc"
    write_configuration(world)


def test_a_spare_that_was_never_a_member_is_preferred_to_a_former_member() -> None:
    world = idle_world()
    world.stop("a")
    world.run(world.now_s + 4.0)
    world.start("a")
    world.run(world.now_s + 2.0)
    manager = world.replacements[head_of(world)]
    assert manager.spares(world.now_s) == ["e", "a"]


def test_every_member_tracks_silence_so_that_a_new_head_can_continue() -> None:
    world = idle_world(replace_after_s=60.0)
    first = head_of(world)
    victim = next(ip for ip in "abc" if ip != first)
    other = next(ip for ip in "abc" if ip not in (first, victim))
    world.stop(victim)
    world.run(world.now_s + 3.0)
    manager = world.replacements[other]
    manager.silence.since_s[victim] -= 60.0
    assert manager.next_change(world.now_s) == MembershipChange(REPLACE, victim, "d", frozenset("abc"))


def test_a_started_replacement_is_completed_or_reverted() -> None:
    world = idle_world()
    manager = world.replacements[head_of(world)]
    pending = manager.pending_change = MembershipChange(REPLACE, "b", "d", frozenset("abc"))
    assert manager.second_step(pending) == pending
    manager.silence.since_s = {"d": world.now_s}
    assert manager.second_step(pending) == MembershipChange(REPLACE, "d", "b", frozenset("acd"))
    manager.silence.since_s = {"d": world.now_s, "b": world.now_s}
    assert manager.second_step(pending) == pending


def test_a_spare_added_after_the_member_returned_does_not_leave_an_even_group() -> None:
    """The view that adds it was proposed earlier, and no member is silent any more when it becomes active."""
    world = idle_world()
    for _ in range(2):  # the first view keeps the group, because the head does not know what it proposed on the old one
        head = head_of(world)
        for ip in "abc":
            world.replacements[ip].pending_change = MembershipChange(REPLACE, "b", "d", frozenset("abc"))
            world.replacements[ip].pending_since_s = world.now_s
        world.execute(head, world.members[head].propose_group((*newest_view(world).group, "d/0"), world.now_s))
        world.run(world.now_s + 1.5)
    assert group_of(world) == "acd"


def test_a_change_that_was_due_long_ago_is_discarded() -> None:
    """If an operator adds the same machine later, it must not be taken for the first step of that change."""
    world = idle_world()
    for ip in "abc":
        world.replacements[ip].pending_change = MembershipChange(REPLACE, "b", "d", frozenset("abc"))
        world.replacements[ip].pending_since_s = world.now_s - PENDING_CHANGE_KEPT_S - 0.1
    world.run(world.now_s + 0.5)
    assert request_change(world, ADD, "", "d", "abc") == 200 and group_of(world) == "abcd"


def test_an_operator_request_takes_precedence_over_an_automatic_change() -> None:
    """A draining member requested the machine that a false alarm had removed: it was added and removed in turns."""
    world = idle_world()
    for ip in "abc":
        world.replacements[ip].pending_change = MembershipChange(REPLACE, "d", "b", frozenset("acd"))
        world.replacements[ip].pending_since_s = world.now_s
    assert request_change(world, ADD, "", "d", "abc") == 200 and group_of(world) == "abcd"


def test_an_even_group_removes_its_silent_member() -> None:
    world = idle_world(replace_after_s=60.0)
    assert request_change(world, ADD, "", "d", "abc") == 200 and group_of(world) == "abcd"
    silent = next(ip for ip in "abc" if ip != head_of(world))
    manager = world.replacements[head_of(world)]
    manager.silence.since_s = {silent: world.now_s - 60.0}
    assert manager.next_change(world.now_s) == MembershipChange(REMOVE, silent, "", frozenset("abcd"))


def test_a_draining_member_requests_its_replacement_and_is_no_spare_itself() -> None:
    world = idle_world()
    manager = world.replacements["a"]
    assert manager.departure_change(world.now_s) == MembershipChange(REPLACE, "a", "d", frozenset("abc"))
    for ip in "de":
        world.stop(ip)
    world.run(world.now_s + 2.0)
    assert manager.departure_change(world.now_s) is None  # without a spare there is nothing to wait for
    member = world.replicas["b"]
    assert member.state.view is not None
    member.is_draining = True
    assert member.offers_disk(world.now_s)  # while it is a member
    member.state.view = type(member.state.view)(member.state.view.epoch, ("a/0", "c/0"), ("a/0", "c/0", "d/0"))
    assert not member.offers_disk(world.now_s)


def test_without_a_reachable_majority_no_replacement_is_requested() -> None:
    world = idle_world()
    for ip in "bc":
        world.stop(ip)
    world.run(world.now_s + 3.0)
    assert world.replacements["a"].departure_change(world.now_s) is None


def test_a_new_spare_catches_up_before_it_is_needed() -> None:
    world = idle_world()
    world.run(world.now_s + 2.0)
    view = world.disks["d"].view
    assert view is not None and ip_of(world.disks["d"].name) not in {ip_of(name) for name in view.group}


# -- whole nodes -----------------------------------------------------------------------------------------------------


def test_a_replaced_machine_counts_as_lost_for_less_than_sync_s_and_the_next_loss_is_tolerated() -> None:
    """Covers planned and unplanned replacements, false alarms, heads, bursts of changes, slow disks, partitions and
    slow links."""
    for seed in range(24):
        assert replacements.broken(replacements.play(seed)) == "", seed


@pytest.mark.parametrize("kind", [UNPLANNED, PLANNED, FALSE_ALARM])
@pytest.mark.parametrize("position", [0, 2])
def test_a_loss_after_two_replacements_is_tolerated(kind: str, position: int) -> None:
    result = replacements.play(3, Case(kind, position, "second replacement", 1.2, 3, repair.CORE_MBPS))
    assert replacements.broken(result) == "" and math.inf not in result.replaced_s


@pytest.mark.parametrize("fault", replacements.FAULTS)
def test_a_missing_replacement_rule_is_detected(fault: str) -> None:
    assert replacements.search(range(12), fault) is not None


def test_a_machine_that_is_stopped_without_a_spare_exits_at_once() -> None:
    cluster = replacements.Replacing(4, 1)

    async def scenario() -> float:
        await repair.begin(cluster)
        machine = cluster.machines[0]
        started_s = cluster.loop.time()
        await cluster.told_to_stop(machine)
        elapsed_s: float = cluster.loop.time() - started_s
        await asyncio.sleep(1.0)
        return elapsed_s

    try:
        assert cluster.run(scenario()) < 0.5
    finally:
        cluster.close()


def test_the_newest_version_survives_a_power_loss_and_one_lost_disk_also_after_a_replacement() -> None:
    for seed in range(12):
        assert power_loss_recovery.broken(power_loss_recovery.play(seed)) == "", seed
    assert power_loss_recovery.search(range(4), "wait-a-minute") is not None


# -- settings --------------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("lines", "seconds"),
    [
        ("", 1.0),
        ("envelope.syncS=6\n", 1.5),
        ("envelope.syncS=6\ngateway.replaceAfterS=9\n", 9.0),
        ("gateway.replaceAfterS=0\n", 0.0),
    ],
)
def test_a_member_is_replaced_well_within_sync_s_unless_configured_otherwise(lines: str, seconds: float) -> None:
    assert parse(SETTINGS + lines, "boot.conf").replace_after_s == seconds


@pytest.mark.parametrize("value", ["-1", "soon", "nan", "inf"])
def test_an_invalid_delay_is_reported_with_file_key_value_and_expected_format(value: str) -> None:
    text = f"stateDir=/state\n{SETTINGS}gateway.replaceAfterS={value}\n"
    key = f"line {text.count(chr(10))}: gateway.replaceAfterS"
    with pytest.raises(SettingsError, match=rf"boot.conf: {key} is '{value}'; .* is wanted"):
        parse(text, "boot.conf")
