"""Agreement among core machines on a simulated network, clock and disk. A seed determines a whole run, and the
invariants are checked after each step."""

from __future__ import annotations

import dataclasses

import pytest

from cypressbeam.consensus.effects import PersistPromise, SendMessage
from cypressbeam.consensus.replica import MAX_HOPS, Replica
from cypressbeam.consensus.views import View, ip_of
from cypressbeam.protocol import frames
from lab.histories import callers, faults, runner
from lab.histories.invariants import Call, InvariantViolationError, check_linearizable
from lab.histories.network import CLIENT
from lab.histories.plans import IPS, Step, make_plan
from lab.histories.world import World


def run_call(world: World, kind: str) -> Call:
    """Run one operator call to completion."""
    world.callers.call("x", kind)
    ident = world.callers.open["x"]
    world.run(world.now_s + callers.CALL_TIMEOUT_S + 1.0)
    return world.callers.calls[ident]


def write_configuration(world: World) -> bytes:
    """Apply a new configuration, which must succeed; returns its body."""
    call = run_call(world, "replace")
    assert call.status == 200
    return call.body


def leader_ip(world: World) -> str:
    (ip,) = (ip for ip, replica in world.replicas.items() if replica.leadership.is_leader)
    return ip


def quiet_world(seed: int) -> World:
    world = World(seed, loss=0.0)
    world.run(1.0)
    return world


def test_histories_with_all_kinds_of_faults_keep_every_invariant() -> None:
    """Faults overlap in every third seed. `cypressbeam lab core` runs many thousands more."""
    for seed in range(90):
        violation = runner.fails(seed, make_plan(seed))
        assert violation is None, f"seed {seed}: {violation}"


def test_a_machine_excluded_from_a_newer_view_still_reports_its_stored_entry() -> None:
    """Such a machine reported no entry, and a majority of two of them undid an acknowledged write (seed 468)."""
    world = quiet_world(6)
    body = write_configuration(world)
    replica = world.replicas["a"]
    assert replica.state.view is not None
    group = replica.state.view.group
    replica.on_view_announcement(frames.ViewAnnouncement(replica.state.view.epoch + 512, group[1:], group), world.now_s)
    (persist,) = replica.on_prepare(frames.Prepare(replica.voter.promised + 2048, group[1]), world.now_s)
    assert isinstance(persist, PersistPromise)
    (sent,) = replica.promise_persisted(persist.epoch, persist.proposer, world.now_s)
    assert isinstance(sent, SendMessage) and isinstance(sent.frame, frames.Promise)
    assert (sent.frame.body, sent.frame.number) == (body, 1) and sent.frame.applied_digests
    assert runner.fails(468, make_plan(468)) is None


def test_a_machine_with_an_empty_disk_promises_nothing_before_it_is_a_member() -> None:
    """The machine learned of a group that includes it from the only member that had installed that view. The two of
    them formed a majority and undid an acknowledged write (seed 3165)."""
    world = quiet_world(6)
    write_configuration(world)
    world.stop("c", wipe=True)
    world.start("c")
    replica = world.replicas["c"]
    assert replica.on_prepare(frames.Prepare(290, "b/0"), world.now_s) == []
    group = ("a/0", "b/0", replica.name)
    replica.on_view_announcement(
        frames.ViewAnnouncement(300, ("a/0", "b/0"), group), world.now_s
    )  # announced, but not on its disk
    assert replica.on_prepare(frames.Prepare(310, "b/0"), world.now_s) == []
    world.run(world.now_s + 6.0)
    assert replica.state.view is not None and replica.name in replica.state.view.group  # now it is a member
    (persist,) = replica.on_prepare(frames.Prepare(replica.voter.promised + 256, "b/0"), world.now_s)
    assert isinstance(persist, PersistPromise)
    assert runner.fails(3165, make_plan(3165)) is None


def test_a_heartbeat_is_echoed_immediately() -> None:
    """After a restart of all processes the root had missed the others' heartbeats and waited 0.3 s for the next."""
    world = quiet_world(4)
    replica = world.replicas["a"]
    request, response = (
        dataclasses.replace(world.replicas["b"].own_heartbeat(world.now_s), sequence=number) for number in (5, 0)
    )
    (sent,) = replica.on_heartbeat(request, world.now_s)
    assert (
        isinstance(sent, SendMessage)
        and sent.ip == "b"
        and isinstance(sent.frame, frames.ReplicaHeartbeat)
        and sent.frame.echoed_sequence == 5
    )
    assert replica.on_heartbeat(dataclasses.replace(response, echoed_sequence=sent.frame.sequence), world.now_s) == []


def test_a_head_rejects_a_write_only_after_a_majority_has_confirmed_its_epoch() -> None:
    """A head that had been partitioned rejected a write based on a version older than the one acknowledged in the
    meantime (seed 1679)."""
    world = quiet_world(8)
    write_configuration(world)
    replica = world.replicas["a"]
    assert replica.state.chain is not None and replica.state.chain.is_head() and replica.state.view is not None
    checks = replica.submit(frames.WriteRequest(77, "client", 0, b"50:late"), world.now_s)
    assert {type(effect.frame) for effect in checks if isinstance(effect, SendMessage)} == {frames.QuorumReadCheck}
    epoch, name = replica.state.view.epoch, replica.state.view.group[1]
    assert replica.reads.on_ack(frames.QuorumReadAck(epoch - 1, 77, name), world.now_s) == []
    (sent,) = replica.reads.on_ack(frames.QuorumReadAck(epoch, 77, name), world.now_s)
    assert isinstance(sent, SendMessage) and isinstance(sent.frame, frames.WriteResult) and sent.frame.status == 412


def test_confirmations_of_an_epoch_do_not_count_in_the_next() -> None:
    world = quiet_world(9)
    write_configuration(world)
    replica = world.replicas["c"]
    assert replica.state.view is not None and replica.read(frames.ReadRequest(78, "client"), world.now_s)
    replica.install_view(replica.state.view)
    assert (
        replica.reads.on_ack(
            frames.QuorumReadAck(replica.state.view.epoch, 78, replica.state.view.group[0]), world.now_s
        )
        == []
    )


def test_a_seed_reproduces_its_history() -> None:
    first, again = (runner.play(7, make_plan(7)) for _ in range(2))
    assert first.trace == again.trace
    assert [call.ended_s for call in first.callers.calls.values()] == [
        call.ended_s for call in again.callers.calls.values()
    ]


@pytest.mark.parametrize(
    "name",
    [
        "skip-a-sync",
        "acknowledge-at-the-head",
        "begin-with-the-oldest",
        "decide-alone",
        "acknowledge-while-cut-off",
        "count-a-wiped-machine",
    ],
)
def test_a_disabled_rule_is_detected_in_some_history(name: str) -> None:
    with faults.fault(name) as options:
        found = runner.search(range(80), **options)
        assert found is not None
        plan = runner.shrink(found[0], make_plan(found[0]), **options)
        assert len(plan) < len(make_plan(found[0]))
        assert runner.fails(found[0], plan, **options)
    assert runner.fails(found[0], plan) is None  # with the rule enabled the same plan passes


def test_the_linearizability_check_detects_stale_reads_and_lost_writes() -> None:
    """A value read after a newer one was read is not a history of a single register."""
    world = quiet_world(1)
    write_configuration(world)
    write_configuration(world)
    chain, calls = world.chain(), list(world.callers.calls.values())
    check_linearizable(calls, chain)
    first = next(call for call in calls if call.status == 200)
    stale = Call(99, "x", "read", world.now_s, ended_s=world.now_s + 1.0, status=200, seen=first.seen)
    with pytest.raises(InvariantViolationError, match="in force"):
        check_linearizable(
            [
                *calls,
                Call(
                    98,
                    "y",
                    "read",
                    0.0,
                    ended_s=world.now_s - 0.5,
                    status=200,
                    seen=max(entry.revision for entry in chain.values()),
                ),
                stale,
            ],
            chain,
        )
    with pytest.raises(InvariantViolationError, match="never committed"):
        check_linearizable([*calls, Call(97, "y", "replace", 0.0, body=b"990:z", status=200)], chain)


def test_a_machine_without_a_reachable_majority_neither_leads_nor_answers() -> None:
    world = quiet_world(1)
    write_configuration(world)
    tail = leader_ip(world)
    world.network.cut = {pair for other in IPS if other != tail for pair in ((tail, other), (other, tail))}
    world.run(world.now_s + 2.5)
    assert not world.replicas[tail].leadership.is_leader
    assert (
        sum(replica.leadership.is_leader for replica in world.replicas.values()) == 1
    )  # the others have repaired the chain
    write_configuration(world)
    before = len(world.trace)
    world.callers.calls[10**6] = Call(10**6, "z", "read", world.now_s)
    world.callers.open["z"] = 10**6
    world.send(CLIENT, tail, frames.ReadRequest(10**6, CLIENT))
    world.run(world.now_s + 1.0)
    assert world.callers.calls[10**6].status == 0 and len(world.trace) == before


def test_a_wiped_machine_rejoins_as_a_new_member() -> None:
    world = quiet_world(2)
    body = write_configuration(world)
    world.stop("c", wipe=True)
    world.start("c")
    world.run(world.now_s + 3.0)
    replica = world.replicas["a"]
    assert replica.state.view is not None and world.disks["c"].name in replica.state.view.chain
    assert (last := world.disks["c"].last) is not None and last.body == body
    assert ip_of(world.disks["c"].name) == "c" and "c/0" not in replica.state.view.group


def test_a_machine_with_a_failed_disk_leaves_the_chain_and_returns_after_recovery() -> None:
    world = quiet_world(3)
    head = next(ip for ip, replica in world.replicas.items() if replica.state.chain and replica.state.chain.is_head())
    world.refusing = {head}
    write_configuration(world)
    name = world.disks[head].name
    other = next(replica for ip, replica in world.replicas.items() if ip != head)
    assert other.state.view is not None and name not in other.state.view.chain and name in other.state.view.group
    world.refusing = set()
    world.run(world.now_s + 4.0)  # its disk is probed, and it rejoins the chain
    assert name in other.state.view.chain and world.disks[head].last is not None


def test_a_request_is_not_forwarded_endlessly_between_two_machines() -> None:
    world = quiet_world(4)
    names = world.replicas["a"].state.view.group if world.replicas["a"].state.view else ()
    world.replicas["b"].state.view = View(999, (names[2], names[0]), names)  # b takes c for the head, and c takes b
    world.replicas["c"].state.view = View(998, (names[1], names[0]), names)
    frame: frames.Frame = frames.WriteRequest(1, "client", 0, b"5:x")
    ip, hops = "b", 0
    while hops < 20:
        assert isinstance(frame, frames.WriteRequest)
        sent = [effect for effect in world.replicas[ip].submit(frame, 0.0) if isinstance(effect, SendMessage)]
        if not sent:
            break
        ip, frame, hops = sent[0].ip, sent[0].frame, hops + 1
    assert hops == MAX_HOPS


def test_the_status_shows_which_machine_lags() -> None:
    world = quiet_world(5)
    write_configuration(world)
    world.begin(Step(world.now_s, "freeze", "a", 30.0))
    world.run(world.now_s + 3.0)
    write_configuration(world)
    states = {ip: replica.status(1, world.now_s) for ip, replica in world.replicas.items()}
    newest = max(states.values(), key=lambda state: state.epoch)
    assert ip_of(newest.name) != "a" and "a" not in {ip_of(name) for name in newest.chain}
    assert states["a"].number == newest.number - 1
    assert sum(bool(state.flags & frames.IS_ROOT) for ip, state in states.items() if ip != "a") == 1
    assert isinstance(world.replicas["a"], Replica)
