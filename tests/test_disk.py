"""Tests of rolled-back and lost disks on a simulated core."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cypressbeam.consensus import deduplication
from cypressbeam.consensus.high_water_marks import HighWaterMarks, pack_marks, unpack_marks
from cypressbeam.protocol import frames
from lab.histories import faults, runner
from lab.histories.disks import Disk
from lab.histories.plans import IPS, Step, make_plan
from lab.histories.world import World


def settled(seed: int, changes: int = 1) -> World:
    """Three idle machines after some writes."""
    world = World(seed, loss=0.0)
    world.run(1.0)
    for _ in range(changes):
        change(world)
    world.run(world.now_s + 1.0)
    return world


def change(world: World) -> None:
    """Write one configuration and wait for the answer."""
    world.callers.call("x", "replace")
    ident = world.callers.open["x"]
    while world.callers.open.get("x") == ident:
        world.step()
    assert world.callers.calls[ident].status == 200


def copy(disk: Disk) -> Disk:
    return replace(disk, taken=dict(disk.taken), marks=dict(disk.marks))


def restart_with_disk(world: World, ip: str, disk: Disk, restart_all: bool) -> None:
    for other in IPS if restart_all else (ip,):
        world.stop(other)
    world.disks[ip] = disk
    for other in IPS if restart_all else (ip,):
        world.start(other)


@pytest.mark.parametrize("restart_all", [False, True])
@pytest.mark.parametrize("ip", IPS)
@pytest.mark.parametrize("behind", [1, 2, 7])
def test_an_older_copy_of_a_disk_is_detected_and_no_old_version_is_read(
    ip: str, behind: int, restart_all: bool
) -> None:
    """For the head, the middle and the tail, after a restart of one machine or of all, also without a new view."""
    world = settled(3, 3)
    older = copy(world.disks[ip])
    for _ in range(behind):
        change(world)
    newest = max(world.observer.committed)
    restart_with_disk(world, ip, older, restart_all)
    before = len(world.callers.calls)
    for _ in range(4):
        world.callers.open.clear()
        world.callers.call("y", "read")
        world.run(world.now_s + 1.0)
    revisions = [call.seen for call in list(world.callers.calls.values())[before:] if call.status]
    assert revisions and set(revisions) == {world.observer.committed[newest].revision}
    assert {replica.rollback.own_marks().number for replica in world.replicas.values()} == {newest}
    if behind > 1:
        assert world.disks[ip].name != older.name
    change(world)


@pytest.mark.parametrize("ip", IPS)
def test_a_disk_that_was_not_rolled_back_keeps_its_name(ip: str) -> None:
    """Kills, a power loss of all machines and delayed frames must not be taken for a rollback."""
    world = settled(5, 2)
    for round_s in (0.05, 0.4, 2.0):
        change(world)
        for step in (Step(0.0, "kill", ip, round_s), Step(0.0, "power", ip, round_s)):
            world.begin(step)
            world.run(world.now_s + round_s + 3.0)
    change(world)
    assert [disk.name for disk in world.disks.values()] == [f"{ip}/0" for ip in IPS]


def test_two_starts_from_one_copy_are_distinguished() -> None:
    first, second = HighWaterMarks(3, 17, 512, 512, 4), HighWaterMarks(3, 18, 512, 512, 4)
    assert first.is_behind(second) and second.is_behind(first) and not first.is_behind(first)
    for lower in (
        HighWaterMarks(2, 99, 512, 512, 4),
        HighWaterMarks(3, 17, 256, 512, 4),
        HighWaterMarks(3, 17, 512, 256, 9),
        HighWaterMarks(3, 17, 512, 512, 3),
    ):
        assert lower.is_behind(first) and not first.is_behind(lower)
    marks = {"10.0.0.1/a": first, "10.0.0.2/b": HighWaterMarks()}
    assert unpack_marks(pack_marks(marks)) == marks and unpack_marks("") == {}
    with pytest.raises(ValueError, match="marks of 'a': 2 numbers, expected 5"):
        unpack_marks("a 1 2")


def test_a_rolled_back_machine_does_not_promise_and_waits_for_a_majority_with_newer_state() -> None:
    """While only one other machine is up, the old disk may be needed for recovery."""
    world = settled(4, 2)
    older = copy(world.disks["c"])
    change(world)
    change(world)
    world.stop("b")
    restart_with_disk(world, "c", older, restart_all=False)
    world.run(world.now_s + 3.0)
    replica = world.replicas["c"]
    assert replica.rollback.reason and world.disks["c"].name == "c/0" and not replica.disk_works(world.now_s)
    assert replica.state.view is not None
    assert not any(
        replica.leadership.leads(world.now_s) or replica.leadership.is_leader for replica in world.replicas.values()
    )
    world.start("b")
    world.run(world.now_s + 4.0)
    assert world.disks["c"].name != "c/0" and world.replicas["c"].rollback.own_marks().number == 4


class TrafficCountingWorld(World):
    """Records what one machine is sent: the bytes of frames, and each body that they refer to once."""

    def __init__(self, seed: int, receiver: str) -> None:
        self.receiver, self.frame_bytes, self.bodies = receiver, 0, set[bytes]()
        super().__init__(seed, loss=0.0)

    def send(self, origin: str, ip: str, frame: frames.Frame) -> None:
        super().send(origin, ip, frame)
        if ip == self.receiver and origin in IPS:
            self.frame_bytes += len(frame.pack())
            self.bodies.add(frame.body_or_digest())


@pytest.mark.parametrize("how", ["its disk", "empty", "an older copy"])
def test_a_member_that_missed_hundreds_of_changes_catches_up_at_once(how: str) -> None:
    """It receives the newest entry and the digests that it lacks of those that are kept. A corrupt disk counts as
    empty."""
    traffic = []
    for changes in (5, 200, 2000):
        world = TrafficCountingWorld(11, "c")
        world.run(1.0)
        change(world)
        older = copy(world.disks["c"])
        for _ in range(3):
            change(world)
        world.stop("c", wipe=how == "empty")
        if how == "an older copy":
            world.disks["c"] = older
        for _ in range(changes):
            change(world)
        newest, world.frame_bytes, started_s = max(world.observer.committed), 0, world.now_s
        world.bodies.clear()
        world.start("c")
        world.begin(Step(0.0, "read", "y"))
        while world.replicas["c"].rollback.own_marks().number != newest:
            assert not world.replicas["c"].leadership.leads(world.now_s)
            assert world.now_s - started_s < 4.0
            world.step()
        traffic.append(world.frame_bytes + sum(map(len, world.bodies)))
        world.run(world.now_s + 1.0)
        assert (world.disks["c"].name == "c/0") is (how == "its disk")
        (read,) = (call for call in world.callers.calls.values() if call.operator == "y")
        assert read.seen == world.observer.committed[newest].revision
    assert (
        traffic[2]
        < 4000 + 1.1 * 2000 * deduplication.RECORD.size
        < 2 * deduplication.MAX_DIGESTS * deduplication.RECORD.size
    )


def test_trusting_every_disk_is_detected_in_some_history() -> None:
    with faults.fault("keep-an-older-copy") as options:
        found = runner.search(range(108, 116), **options)
    assert found is not None
    assert runner.fails(found[0], make_plan(found[0])) is None
