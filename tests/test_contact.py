"""Tests of failure detection by echoed heartbeats: pauses of processes, partitions, and data buffered in sockets."""

from __future__ import annotations

import asyncio

import pytest

from cypressbeam.consensus.disk_health import STALL_TIMEOUT_S
from cypressbeam.consensus.effects import Effect, PersistPromise, SendMessage, SetLeadership
from cypressbeam.consensus.failure_detection import (
    FAILURE_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    LEADER_CONTACT_GRACE_S,
    NEVER_S,
)
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import View
from cypressbeam.protocol import frames
from lab.histories import faults, invariants, runner, simulated_core
from lab.histories.downstream import Announcement, DownstreamNode
from lab.histories.network import CLIENT
from lab.histories.plans import Step, make_plan, shape_of
from lab.histories.vector_clocks import VectorClocks
from lab.histories.world import World
from lab.membership import Cluster


def idle_world(machines: int = 3) -> World:
    world = World(1, loss=0.0, machines=machines)
    world.run(1.0)
    return world


def heartbeat(name: str, echoed: int, number: int = 0) -> frames.ReplicaHeartbeat:
    return frames.ReplicaHeartbeat(
        name, 256, 256, 1, sequence=number, echoed_sequence=echoed, durable_promise=256, stored_epoch=256
    )


def sent_sequence(effects: list[Effect]) -> int:
    """The number of the heartbeat among the effects of a machine."""
    (number,) = {
        effect.frame.sequence
        for effect in effects
        if isinstance(effect, SendMessage)
        and isinstance(effect.frame, frames.ReplicaHeartbeat)
        and effect.frame.sequence
    }
    return number


def test_a_replica_frozen_for_20_s_does_not_lead_or_answer_and_resigns() -> None:
    """Heartbeats that waited in its sockets while it was frozen were counted as current."""
    world = idle_world()
    root, head = world.replicas["c"], world.replicas["a"]
    assert root.leadership.is_leader and root.leadership.leads(world.now_s) and head.leadership.leads(world.now_s)
    now_s = world.now_s + 20.0
    for replica, others in ((root, ("a/0", "b/0")), (head, ("b/0", "c/0"))):
        last = replica.failure_detector.sequence
        for number in range(1, 101):  # what the others sent in the meantime
            for name in others:
                replica.on_heartbeat(heartbeat(name, last, number), now_s)
        assert not replica.leadership.leads(now_s) and not replica.leadership.holds_lease(now_s)
    assert root.read(frames.ReadRequest(7, CLIENT), now_s) == []
    assert head.submit(frames.WriteRequest(8, CLIENT, 0, b"10:x"), now_s) == []
    effects = root.tick(now_s)
    assert SetLeadership(False) in effects and not root.leadership.is_leader
    # One echo of the heartbeat that it sends now makes a majority with itself, and it leads again.
    root.on_heartbeat(heartbeat("a/0", sent_sequence(effects)), now_s + 0.01)
    assert root.leadership.leads(now_s + 0.01) and SetLeadership(True) in root.tick(now_s + 0.02)


def test_a_replica_partitioned_while_frozen_does_not_lead_after_it_resumes() -> None:
    """The request to promise never reached it, so nothing in its sockets announced the new view: it led for 0.9 s."""
    world = idle_world()
    replica = world.replicas["c"]
    world.begin(Step(world.now_s, "freeze", "c", 20.0))
    world.at(1.0, "begin", "", Step(world.now_s + 1.0, "tail", "", 30.0))
    world.run(21.0)
    buffered = len(world.paused_events["c"])
    world.run(21.3)
    assert (
        buffered > 8
        and "c" not in world.paused_events
        and replica.state.view is not None
        and replica.state.view.epoch == 256
    )
    assert not replica.leadership.leads(world.now_s) and not replica.leadership.is_leader
    assert sum(other.leadership.is_leader for other in world.replicas.values()) == 1


@pytest.mark.usefixtures("quiet")
def test_a_former_root_ignores_a_join_or_an_endpoint_list_that_waited_in_a_socket() -> None:
    """Sockets are read before timers run: it accepted the node as its child and sent it the old list."""
    for paused in (False, True):
        cluster = Cluster(1, 3)
        try:
            cluster.run(scenario(cluster, paused))
        finally:
            cluster.close()


async def scenario(cluster: Cluster, paused: bool) -> None:
    cluster.start_all()
    await cluster.until(lambda: cluster.root is not None)
    await asyncio.sleep(1.0)
    node = cluster.root
    assert node is not None and node.core is not None and node.core.replica is not None
    core, replica = node.core, node.core.replica
    if paused:  # as if it had been paused for 20 s until now
        core.last_advance_s -= 20.0
        replica.leadership.last_active_tail_s -= 20.0
        for peer in replica.failure_detector.peers.values():
            peer.last_alive_s -= 20.0
    sequence = node.tree.endpoints.endpoints.sequence
    cluster.at(node, core.update_endpoints, [])
    assert (node.tree.endpoints.endpoints.sequence != sequence) is not paused
    cluster.at(node, node.on_frame, node.peers.local, frames.JoinRequest("new", "10.9.0.9", "a", 0, 0, ""))
    assert (node.tree.position.is_root, "new" in core.leader_role.registry.nodes) == (
        (False, False) if paused else (True, True)
    )


def test_after_a_short_pause_the_root_keeps_its_role_and_answers_only_after_an_echo() -> None:
    world = idle_world()
    replica, now_s = world.replicas["c"], world.now_s + FAILURE_TIMEOUT_S + 0.2
    assert not replica.leadership.holds_lease(now_s)  # its sockets are read before its timer runs
    effects = replica.tick(now_s)
    assert (
        SetLeadership(False) not in effects
        and replica.leadership.holds_lease(now_s)
        and not replica.leadership.leads(now_s)
    )
    assert replica.read(frames.ReadRequest(7, CLIENT), now_s) == []
    replica.on_heartbeat(heartbeat("b/0", sent_sequence(effects)), now_s)
    assert replica.leadership.leads(now_s) and replica.read(frames.ReadRequest(7, CLIENT), now_s)


def test_a_partitioned_root_resigns_within_its_time_limit() -> None:
    world = idle_world()
    cut_s = world.now_s
    world.begin(Step(cut_s, "tail", "", 5.0))
    world.run(cut_s + FAILURE_TIMEOUT_S - HEARTBEAT_INTERVAL_S - 2 * simulated_core.TICK_S)
    assert world.replicas["c"].leadership.is_leader and world.replicas["a"].failure_detector.is_available(
        "c/0", world.now_s
    )  # not detected too early
    world.run(cut_s + FAILURE_TIMEOUT_S + LEADER_CONTACT_GRACE_S + simulated_core.TICK_S)
    assert not world.replicas["c"].leadership.is_leader and not world.replicas["a"].failure_detector.is_available(
        "c/0", world.now_s
    )


def test_a_one_way_link_makes_both_ends_unreachable_to_each_other() -> None:
    world = idle_world()
    world.begin(Step(world.now_s, "one-way", "c", 9.0))
    world.run(world.now_s + 1.5)
    assert not world.replicas["a"].failure_detector.is_alive("c", world.now_s)
    assert not world.replicas["c"].failure_detector.is_alive("a", world.now_s)
    assert world.replicas["a"].failure_detector.is_alive("b", world.now_s)


def test_a_pause_of_0_6_s_triggers_no_repair() -> None:
    """A detector by received heartbeats tolerated pauses up to 0.7 s, less the time between two ticks."""
    world = idle_world()
    world.begin(Step(world.now_s, "freeze", "b", 0.6))
    world.run(world.now_s + 3.0)
    assert [replica.voter.promised for replica in world.replicas.values()] == [256] * 3


def test_a_new_identity_counts_by_its_own_echo_and_not_by_earlier_ones_of_its_address() -> None:
    world = idle_world()
    replica, now_s = world.replicas["a"], world.now_s
    effects = replica.on_heartbeat(frames.ReplicaHeartbeat("c/7", 0, 0, 1, 0, sequence=3), now_s)
    assert replica.failure_detector.new_identities(now_s) == {} and not replica.failure_detector.is_available(
        "c/0", now_s
    )
    assert [
        effect.frame.echoed_sequence
        for effect in effects
        if isinstance(effect, SendMessage) and isinstance(effect.frame, frames.ReplicaHeartbeat)
    ] == [3]
    replica.on_heartbeat(frames.ReplicaHeartbeat("c/7", 0, 0, 1, 0, echoed_sequence=sent_sequence(effects)), now_s)
    assert replica.failure_detector.new_identities(now_s) == {"c/0": "c/7"}


def test_a_machine_without_a_view_answers_heartbeats() -> None:
    """Otherwise a root that lost its disk was added to the group again only after it had found another root."""
    replica = Replica("c/7", 2, invariants.revision, invariants.digest, lambda: 0.5)
    assert replica.load(None, 0, None, {}, 0.0) == []
    (reply,) = replica.on_heartbeat(heartbeat("a/0", 0, 5), 0.1)
    assert isinstance(reply, SendMessage) and reply.ip == "a" and isinstance(reply.frame, frames.ReplicaHeartbeat)
    assert (reply.frame.echoed_sequence, reply.frame.epoch, reply.frame.disk_state, reply.frame.disk_flags) == (
        5,
        0,
        0,
        1,
    )


def test_nobody_proposes_without_a_majority_that_can_promise() -> None:
    """During bootstrap others may be slow to persist the view: they answer heartbeats but cannot promise yet."""
    view = View(256, ("a/0", "b/0", "c/0"), ("a/0", "b/0", "c/0"))
    for empty in (True, False):
        replica = Replica("a/0", 2, invariants.revision, invariants.digest, lambda: 0.5)
        replica.load(view, 256, None, {}, 0.0)
        effects: list[Effect] = []
        for tick in range(1, 30):
            number = sent_sequence(replica.heartbeat(0.1 * tick))
            for name in view.group[1:]:
                replica.on_heartbeat(
                    frames.ReplicaHeartbeat(name, 0, 0, 1, int(not empty), echoed_sequence=number), 0.1 * tick
                )
            effects += replica.tick(0.1 * tick)
        assert proposes(effects) is not empty


def test_echoes_for_an_earlier_process_are_ignored() -> None:
    replicas = [
        Replica("a/0", 2, invariants.revision, invariants.digest, lambda fraction=fraction: fraction)  # type: ignore[misc]
        for fraction in (0.25, 0.75)
    ]
    number = replicas[0].own_heartbeat(1.0).sequence
    replicas[1].own_heartbeat(1.0)
    for replica in replicas:
        replica.on_heartbeat(heartbeat("b/0", number), 1.1)
    assert [replica.failure_detector.is_alive("b", 1.1) for replica in replicas] == [True, False]


def test_a_pause_of_the_process_is_not_a_disk_stall() -> None:
    world = idle_world()
    replica, now_s = world.replicas["a"], world.now_s
    (write,) = replica.on_prepare(frames.Prepare(1024, "b/0"), now_s)
    assert isinstance(write, PersistPromise)
    replica.tick(now_s + 20.0)
    assert replica.disk_works(now_s + 20.0)
    for tick in range(1, 13):
        replica.tick(now_s + 20.0 + 0.1 * tick)
    assert not replica.disk_works(now_s + 20.0 + STALL_TIMEOUT_S + 0.2)


def test_the_repair_delay_starts_again_after_a_pause() -> None:
    """A member becomes unreachable before a pause of 20 s, during which nobody watches it, and answers soon after."""
    world = idle_world()
    replica, now_s = world.replicas["a"], world.now_s
    exchange_heartbeats(replica, ("b/0",), now_s + FAILURE_TIMEOUT_S)
    assert replica.proposer.needs_repair_since_s is not None
    assert proposes(exchange_heartbeats(replica, ("b/0",), now_s + 20.0)) is False
    assert proposes(exchange_heartbeats(replica, ("b/0", "c/0"), now_s + 20.1)) is False
    assert replica.proposer.needs_repair_since_s is None


def exchange_heartbeats(replica: Replica, names: tuple[str, ...], now_s: float) -> list[Effect]:
    """A heartbeat that these members echo, and then a tick."""
    number = sent_sequence(replica.heartbeat(now_s))
    for name in names:
        replica.on_heartbeat(heartbeat(name, number), now_s)
    return replica.tick(now_s)


def proposes(effects: list[Effect]) -> bool:
    return any(isinstance(effect, SendMessage) and isinstance(effect.frame, frames.Prepare) for effect in effects)


def test_a_confirmation_that_is_read_late_answers_nothing() -> None:
    world = idle_world()
    replica, now_s = world.replicas["c"], world.now_s
    assert replica.read(frames.ReadRequest(7, CLIENT), now_s)
    ack = frames.QuorumReadAck(256, 7, "a/0")
    assert replica.reads.on_ack(ack, now_s + 20.0) == []
    (answer,) = replica.reads.on_ack(ack, now_s + 0.1)
    assert isinstance(answer, SendMessage) and answer.ip == CLIENT


def test_a_downstream_node_follows_the_highest_epoch_and_one_root_in_it() -> None:
    node = DownstreamNode()
    assert node.take(Announcement(512, "b", 20)) is None and node.take(Announcement(256, "c", 10)) is None
    assert (node.epoch, node.revision) == (512, 20)
    assert "goes back" in (node.take(Announcement(768, "a", 10)) or "")
    assert "two roots" in (DownstreamNode(512, 20, {512: "b"}).take(Announcement(512, "c", 30)) or "")


def test_contact_proven_by_frames_dates_from_what_their_sender_had_read() -> None:
    clocks = VectorClocks(("a", "b", "c"))
    sent = clocks.on_send("a", 1.0)
    clocks.on_read("b", "a", sent)
    clocks.on_read("a", "b", clocks.on_send("b", 1.1))
    assert clocks.contact_s("a", ("a", "b", "c"), 21.0) == 1.0
    assert clocks.contact_s("b", ("a", "b", "c"), 21.0) == NEVER_S


def test_five_machines_keep_working_without_two_of_them() -> None:
    world = idle_world(5)
    for ip in ("c", "e"):
        world.begin(Step(world.now_s, "kill", ip, 9.0))
    world.run(world.now_s + 3.0)
    assert world.callers.finish("x", "replace") == 200
    assert {replica.state.view.chain for replica in world.replicas.values() if replica.state.view} == {
        ("a/0", "b/0", "d/0")
    }


def test_a_second_disk_may_be_lost_only_after_the_first_machine_has_recovered() -> None:
    """Seed 9093 lost a second disk while partitions kept the first machine away, which no rule can tolerate."""
    world = idle_world()
    world.stop("a", wipe=True)
    assert not world.may_lose_disk("c") and world.may_lose_disk("a")
    world.start("a")
    world.run(world.now_s + 4.0)
    assert world.may_lose_disk("c")
    assert runner.fails(9093, make_plan(9093)) is None


def test_thousands_of_consecutive_changes_are_committed() -> None:
    assert shape_of(50).burst_s
    assert len(runner.play(50, make_plan(50)).observer.committed) >= 2000


@pytest.mark.parametrize("name", ["count-old-pulses", "stay-the-root", "lead-alone", "believe-any-epoch"])
def test_a_missing_contact_rule_is_detected_in_some_history(name: str) -> None:
    with faults.fault(name) as options:
        found = runner.search(range(60), **options)
    assert found is not None and runner.fails(found[0], make_plan(found[0])) is None
