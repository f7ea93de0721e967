"""Tests of membership changes: the decisions alone, on a simulated core, on whole nodes, and through the admin API."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest

from cypressbeam.admin import errors, membership, status
from cypressbeam.consensus.effects import SendMessage
from cypressbeam.consensus.failure_detection import FAILURE_TIMEOUT_S
from cypressbeam.consensus.membership import ADD, REMOVE, REPLACE, MembershipChange, MembershipState, next_step
from cypressbeam.consensus.views import View, ip_of
from cypressbeam.protocol import frames
from lab import membership_churn, repair
from lab.histories import callers
from lab.histories.plans import Step
from lab.membership_churn import MembershipChurn
from lab.simulation import Disk
from lab.system import Machine
from tests.loopback import run
from tests.test_gateway import read_configuration, running_system, send

ABC = View(512, ("b/0", "c/0", "a/0"), ("a/0", "b/0", "c/0"))
MANY = View(512, tuple(f"m{i}/0" for i in range(9)), tuple(f"m{i}/0" for i in range(9)))


def change(kind: int, old: str, new: str, view: View = ABC) -> MembershipChange:
    return MembershipChange(kind, old, new, frozenset(ip_of(name) for name in view.group))


@pytest.mark.parametrize(
    ("requested", "known", "status", "text"),
    [
        (change(ADD, "", "x"), MembershipState(ABC, 1, {}), 404, "no machine with a disk at x"),
        (change(ADD, "", "b"), MembershipState(ABC, 1, {}), 409, "b is a member already"),
        (
            change(ADD, "", "x", MANY),
            MembershipState(MANY, 1, {"x": "x/1"}, frozenset({"x/1"})),
            409,
            "9 members at most",
        ),
        (change(REMOVE, "x", ""), MembershipState(ABC, 1, {}), 404, "x is no member"),
        (change(REMOVE, "a", ""), MembershipState(ABC, 1, {}), 409, "2 members would be left; to lose 1 it takes 3"),
        (
            change(REMOVE, "m3", "", MANY),
            MembershipState(replace(MANY, chain=MANY.chain[:5]), 2, {}),
            409,
            "4 whole copies",
        ),
        (change(REPLACE, "x", "y"), MembershipState(ABC, 1, {"y": "y/1"}), 404, "x is no member"),
        (change(REPLACE, "a", "b"), MembershipState(ABC, 1, {}), 409, "b is a member already"),
        (change(ADD, "", "x"), MembershipState(MANY, 1, {"x": "x/1"}), 412, "another one now"),
        (MembershipChange(9, "a", "b", frozenset("abc")), MembershipState(ABC, 1, {}), 409, "add, remove or replace"),
    ],
)
def test_an_invalid_change_is_refused_with_its_reason(
    requested: MembershipChange, known: MembershipState, status: int, text: str
) -> None:
    decision = next_step(requested, known)
    assert decision.status == status and text in decision.text and not decision.group and not decision.catch_up


def test_a_replacement_is_an_add_then_a_remove_and_its_request_may_be_sent_at_any_time() -> None:
    requested = change(REPLACE, "a", "d")
    assert next_step(requested, MembershipState(ABC, 1, {"d": "d/7"})).catch_up == "d"
    added = next_step(requested, MembershipState(ABC, 1, {"d": "d/7"}, frozenset({"d/7"})))
    assert (added.status, added.group) == (202, ("a/0", "b/0", "c/0", "d/7"))
    four = View(768, ("b/0", "d/7", "c/0"), added.group)
    removed = next_step(requested, MembershipState(four, 1, {}))
    assert (removed.status, removed.group) == (202, ("b/0", "c/0", "d/7"))
    assert next_step(requested, MembershipState(View(1024, four.chain, removed.group), 1, {"a": "a/0"})).status == 200


# -- on a simulated core -------------------------------------------------------------------------------------------


#: A replacement delay that is longer than a restart.
LONG_REPLACE_AFTER_S = 5.0


def idle_world(seed: int = 3, replace_after_s: float = membership_churn.REPLACE_AFTER_S) -> MembershipChurn:
    world = MembershipChurn(seed, replace_after_s, loss=0.0)
    world.run(1.0)
    write_configuration(world)
    return world


def write_configuration(world: MembershipChurn) -> bytes:
    """Write a configuration, which must succeed; returns its body."""
    world.callers.call("x", "replace")
    ident = world.callers.open["x"]
    world.run(world.now_s + callers.CALL_TIMEOUT_S + 1.0)
    assert world.callers.calls[ident].status == 200
    return world.callers.calls[ident].body


def request_change(world: MembershipChurn, kind: int, old: str, new: str, base: str, for_s: float = 6.0) -> int:
    """The status of a change that an operator requests repeatedly."""
    ident = next(world.numbers) + 1
    world.asked[ident] = membership_churn.RequestedChange(kind, old, new, tuple(base), world.now_s + for_s)
    world.ask(ident)
    world.run(world.now_s + for_s + 0.5)
    return world.asked[ident].status


def newest_view(world: MembershipChurn) -> View:
    view = world.newest_view()
    assert view is not None
    return view


def group_of(world: MembershipChurn) -> str:
    return "".join(sorted(world.group()))


def test_a_spare_has_the_newest_entry_before_it_is_added_and_a_removed_member_takes_no_part() -> None:
    world = idle_world()
    body = world.disks["a"].last
    entries_when_added: list[Any] = []
    real = world.became_active

    def became_active(view: View) -> None:
        if "d/0" in view.group and not entries_when_added:
            entries_when_added.append(world.disks["d"].last)
        real(view)

    world.became_active = became_active  # type: ignore[method-assign]
    assert request_change(world, REPLACE, "a", "d", "abc") == 200 and group_of(world) == "bcd"
    assert body is not None and entries_when_added[0].body == body.body
    assert (
        request_change(world, REPLACE, "a", "d", "abc") == 200 and group_of(world) == "bcd"
    )  # a repeated request gets the same answer
    replica = world.replicas["a"]
    assert replica.state.chain is None and not replica.leadership.is_leader
    epoch = replica.state.highest_epoch
    for ip in "bc":
        world.stop(ip)
    world.run(world.now_s + 4.0)
    assert (
        replica.proposer.proposal is None and newest_view(world).epoch == epoch
    )  # a and d are not a majority, and a does not propose
    for ip in "bc":
        world.start(ip)
    world.run(world.now_s + 4.0)
    write_configuration(world)


def proposed_group(world: MembershipChurn, ip: str, group: tuple[str, ...]) -> tuple[str, ...]:
    """The group of the view that a head proposes when it is asked to change to a group."""
    world.execute(ip, world.members[ip].propose_group(group, world.now_s))
    proposal = world.replicas[ip].proposer.proposal
    assert proposal is not None
    return proposal.new_group


def test_a_view_is_changed_to_one_other_group_only_and_not_by_a_restarted_head() -> None:
    """Two changes on top of one view may lead to groups whose majorities do not overlap."""
    world = idle_world()
    head = newest_view(world).head
    epoch = newest_view(world).epoch
    world.stop(head)
    world.start(head)
    world.run(world.now_s + 0.5)
    manager, replica = world.members[head], world.replicas[head]
    assert manager.is_active_head(world.now_s) and replica.state.view is not None and replica.state.view.epoch == epoch
    larger = (*replica.state.view.group, "d/0")
    assert proposed_group(world, head, larger) == replica.state.view.group  # a new view of the same group first
    world.run(world.now_s + 1.0)
    assert replica.state.view.epoch > epoch and manager.is_active_head(world.now_s)
    manager.proposed_group = replica.state.view.epoch, frozenset("abcd")
    assert proposed_group(world, head, (*replica.state.view.group, "e/0")) == replica.state.view.group
    world.run(world.now_s + 1.0)
    assert proposed_group(world, head, (*replica.state.view.group, "e/0")) == (*replica.state.view.group, "e/0")


def test_a_member_that_returns_empty_after_prepare_waits_for_the_next_view() -> None:
    """Promises given before that do not show what its old identity took part in: the two members that decide next could
    miss a view of a higher epoch with an acknowledged entry."""
    world = idle_world()
    replica = world.replicas["b"]
    assert replica.state.view is not None
    replica.proposer.propose(world.now_s)
    assert replica.proposer.proposal is not None
    for name in ("b/0", "a/0"):
        own, entry = world.replicas[ip_of(name)].rollback.own_marks(), world.replicas[ip_of(name)].state.newest_entry()
        assert entry is not None
        replica.proposer.on_promise(
            frames.Promise(
                replica.proposer.proposal.epoch,
                name,
                replica.state.view.epoch,
                replica.state.view.chain,
                replica.state.view.group,
                entry.number,
                entry.epoch,
                entry.revision,
                entry.base,
                entry.body,
                b"",
                own.incarnation,
                own.incarnation_id,
                own.epoch,
            ),
            world.now_s,
        )
    replica.on_heartbeat(frames.ReplicaHeartbeat("c/9", 0, 0, 1, 0), world.now_s)  # c has lost its disk
    effects = replica.proposer.conclude(world.now_s + 0.5)
    accepts = [
        effect.frame
        for effect in effects
        if isinstance(effect, SendMessage) and isinstance(effect.frame, frames.Accept)
    ]
    assert accepts and all(frame.group == replica.state.view.group for frame in accepts)


def test_a_proposal_is_cancelled_by_a_view_with_another_group() -> None:
    """In seed 1224 a proposal continued with the group of the previous view and re-added a removed member."""
    world = idle_world()
    replica = world.replicas["b"]
    assert replica.state.view is not None
    replica.proposer.propose(world.now_s)
    assert replica.proposer.proposal is not None
    epoch, group = replica.proposer.proposal.epoch, replica.state.view.group
    replica.on_view_announcement(frames.ViewAnnouncement(epoch - 1, ("a/0", "d/0"), ("a/0", "b/0", "d/0")), world.now_s)
    for name in group:
        promise = frames.Promise(epoch, name, 256, group, group, 0, 0, 0, 0, b"", b"")
        assert replica.proposer.on_promise(promise, world.now_s) == []
    assert replica.proposer.conclude(world.now_s + 0.5) == []


def test_a_head_that_was_paused_counts_no_silence_from_before() -> None:
    world = idle_world(replace_after_s=LONG_REPLACE_AFTER_S)
    head = newest_view(world).head
    victim = next(ip for ip in "abc" if ip != head)
    world.stop(victim)
    world.run(world.now_s + 3.0)
    manager, replica = world.replacements[newest_view(world).head], world.replicas[newest_view(world).head]
    assert list(manager.silence.since_s) == [victim]
    for peer in replica.failure_detector.peers.values():  # old heartbeats, all read when the head resumes
        peer.last_alive_s += 30.0 if peer.name != f"{victim}/0" else 0.0
    assert manager.membership.is_active_head(world.now_s + 30.0)
    manager.tick(world.now_s + 30.0)
    assert not manager.silence.since_s and manager.next_change(world.now_s + 30.0) is None


def test_only_a_member_that_stays_silent_is_replaced_automatically() -> None:
    world = idle_world(replace_after_s=LONG_REPLACE_AFTER_S)
    world.run(world.now_s + 2.0)
    victim = ip_of(newest_view(world).chain[-1])
    world.stop(victim)
    world.run(world.now_s + LONG_REPLACE_AFTER_S - 0.5)
    world.start(victim)
    world.run(world.now_s + 4.0)
    assert group_of(world) == "abc"  # a restart is not a loss
    head = newest_view(world).head
    world.begin(Step(world.now_s, "freeze", head, 3.0))
    world.run(world.now_s + 8.0)
    assert group_of(world) == "abc"  # a paused head does not count the silence of others
    world.stop(victim)
    world.run(world.now_s + LONG_REPLACE_AFTER_S + FAILURE_TIMEOUT_S + 5.0)
    assert victim not in group_of(world) and len(group_of(world)) == 3
    others = newest_view(world).members
    world.stop(others[0])  # a second loss
    write_configuration(world)


def test_without_a_majority_there_are_no_changes_no_writes_and_no_reads() -> None:
    world = idle_world()
    for ip in ("b", "c"):
        world.stop(ip)
    world.run(world.now_s + 2.0)
    assert request_change(world, ADD, "", "d", "abc") == 0 and group_of(world) == "abc"
    for kind in ("replace", "read"):
        world.callers.open.pop("x", None)
        world.callers.call("x", kind)
        ident = world.callers.open["x"]
        world.run(world.now_s + callers.CALL_TIMEOUT_S)
        assert world.callers.calls[ident].status == 0
    assert not any(replica.leadership.is_leader for replica in world.replicas.values())


def test_histories_with_membership_changes_keep_every_invariant() -> None:
    for seed in [*range(30, 50), 1224]:
        violation = membership_churn.fails(seed, membership_churn.make_plan(seed))
        assert violation is None, f"seed {seed}: {violation}"


@pytest.mark.parametrize("name", ["two-at-once", "count-before-level", "step-from-any-view"])
def test_a_missing_membership_rule_is_detected_in_some_history(name: str) -> None:
    """The other faults need some hundred histories: `lab turnover --fault all`."""
    found = membership_churn.search(range(60), name)
    assert found is not None
    assert membership_churn.fails(found[0], membership_churn.make_plan(found[0])) is None


# -- whole nodes ---------------------------------------------------------------------------------------------------


async def lose_two(cluster: repair.Core) -> None:
    """Lose a machine for good and replace it at another address; then lose a second one with its disk."""
    await repair.begin(cluster)
    first = cluster.machines[0]
    cluster.stop(*first)
    spare = cluster.stand_by(4)[1].ip
    await asyncio.sleep(2.0)
    assert await cluster.change_until(REPLACE, first[1].ip, spare) < 4.0
    assert spare in cluster.group() and first[1].ip not in cluster.group()
    second = cluster.machines[1]
    cluster.stop(*second)
    cluster.disks[second[1].node] = Disk("f" * 12)  # a new, empty disk
    await asyncio.sleep(2.5)
    revision = cluster.revision
    assert all(node.tree.configuration.revision == revision for node in cluster.edges)
    cluster.order()
    assert await cluster.known_by_all() < 3.0 and cluster.revision == revision + 1
    assert all(node.tree.configuration.body == cluster.configuration(revision + 1) for node in cluster.edges)


def test_a_second_loss_is_tolerated_after_a_replacement_at_another_address() -> None:
    cluster = repair.Core(6, 2, routes=200)
    try:
        cluster.run(lose_two(cluster))
        assert not cluster.net.faults
    finally:
        cluster.close()


async def lose_the_core(cluster: repair.Core) -> None:
    """All core machines lose their disks, and a new core is started at the same addresses (recovery.md)."""
    await repair.begin(cluster)
    cores = [machine for machine in cluster.machines if machine[1].front_listener is None]
    for machine in cores[:2]:  # make views that the new core does not know
        cluster.stop(*machine)
        await asyncio.sleep(2.5)
        cluster.start(*machine)
        await asyncio.sleep(2.5)
    revision = cluster.revision
    for number, machine in enumerate(cores):
        cluster.stop(*machine)
        cluster.disks[machine[1].node] = Disk(f"{number:012x}")
    await asyncio.sleep(5.0)
    assert all(node.tree.configuration.revision == revision for node in cluster.edges)  # edges keep serving
    for machine in cores:
        cluster.start(*machine)
    assert await cluster.until(lambda: cluster.root is not None) < 10.0
    cluster.revision += 1
    body = cluster.configuration(cluster.revision)
    for ident in range(20):  # as when restoring a saved copy: repeat until it is accepted
        node = cluster.newest()
        assert node.core is not None
        cluster.at(node, node.core.on_message, frames.WriteRequest(ident, node.settings.ip, 0, body))
        if await cluster.until(lambda: all(node.tree.configuration.body == body for node in cluster.edges), 0.5) < 0.5:
            return
    raise AssertionError({node.settings.node: node.tree.configuration.revision for node in cluster.edges})


def test_surviving_nodes_accept_the_configuration_of_a_new_core() -> None:
    cluster = repair.Core(6, 3, routes=200)
    try:
        cluster.run(lose_the_core(cluster))
        assert not cluster.net.faults
    finally:
        cluster.close()


#: How long a machine counts as lost after it has returned or, if it is new, after its start (setting syncS).
SYNC_S = 4.0


@pytest.mark.parametrize("kind", repair.KINDS)
def test_the_core_recovers_well_before_the_next_loss_may_occur(kind: str) -> None:
    wait_s = repair.GONE_S if "itself" in kind else 0.0
    assert repair.measure(kind, 3, repair.THIN_MBPS, 1) - wait_s < 0.75 * SYNC_S


# -- invalid frames, and the admin API -----------------------------------------------------------------------------

GROUP = ("a/0", "b/0", "c/0")


@pytest.mark.parametrize(
    "frame",
    [
        frames.ReplicaHeartbeat("a", 256, 256, 1),
        frames.ReplicaHeartbeat("a/0", 512, 256, 1),
        frames.ReplicaHeartbeat("a/0", 0, 1 << 63, 1),
        frames.ViewAnnouncement(256, ("a/0", "d/0"), GROUP),
        frames.ViewAnnouncement(256, (), GROUP),
        frames.ViewAnnouncement(256, ("a/0",), ("a/0", "a/1")),
        frames.ViewAnnouncement(256, ("a/0", "a/0"), GROUP),
        frames.ViewAnnouncement(256, ("m1/0",), tuple(f"m{i}/0" for i in range(65))),
        frames.QuorumReadCheck(1 << 62, 1, "a"),
        frames.Accept(256, GROUP, GROUP, 3, 1, 0, b"", b""),
        frames.Prepare(1 << 62, "a/0"),
        frames.MembershipChangeRequest(1, "x", 4, "a", "", ("a",)),
        frames.MembershipChangeRequest(1, "x", 1, "", "d", ("a", "a")),
        frames.CatchUpAck("d/0", 256, 3, b"short"),
        frames.BootstrapRequest(256, ("a/0", "b")),
    ],
)
def test_invalid_frames_are_rejected(frame: frames.Frame) -> None:
    packed = frame.pack()
    with pytest.raises(frames.FrameError, match=type(frame).__name__):
        frames.unpack(packed[4], packed[frames.HEADER.size :])


def test_an_operator_replaces_a_machine_of_a_running_system() -> None:
    async def scenario() -> None:
        async with running_system(edges=1) as made:
            where = made.edges[0].control
            core = [machine for machine in made.system.machines if machine.core]
            victim = core[0]
            spare = Machine("core-9", victim.ip.rpartition(".")[0] + ".99", "east", True, made.system.folder / "core-9")
            for request, error in (
                ((where, "remove", victim.ip, ""), "409: 2 members would be left"),
                ((where, "add", "", spare.ip), "404: no machine with a disk"),
                ((where, "add", "", victim.ip), "409: .* is a member already"),
                ((where, "remove", spare.ip, ""), "404: .* is no member"),
            ):
                with pytest.raises(errors.RequestRejectedError, match=error):
                    await membership.change_members(*request)
            bad = json.dumps({"change": "add", "new": spare.ip, "base": []}).encode()
            for body in (b"{", bad):
                answer = await send(
                    where,
                    b"POST /-/System.Members HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
                )
                assert answer.status == 400
            made.system.machines.append(spare)
            await made.system.start(spare)
            async with asyncio.timeout(20.0):
                while not (await status.read_state(where))["standingBy"]:
                    await asyncio.sleep(0.1)
            assert "stands by" in membership.describe_members(await status.read_state(where))
            progress: list[str] = []
            done = await membership.change_members(where, "replace", victim.ip, spare.ip, progress.append)
            assert victim.ip not in done["group"] and spare.ip in done["group"] and progress
            await made.system.kill(victim)
            state = await status.read_state(where)
            assert spare.ip in [ip_of(name) for name in state["chain"]] and len(state["group"]) == 3
            assert (await read_configuration(made.edges[0])).status == 200
            assert membership.describe_members(state).startswith(f"epoch {state['epoch']}: 3 members, 2 are a majority")

    run(scenario())
