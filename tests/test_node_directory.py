"""The directory of node addresses: announcements to silent nodes, its copies on the members of the core and on disk."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import pytest

from cypressbeam.consensus.failure_detection import FAILURE_TIMEOUT_S
from cypressbeam.distribution import node_directory
from cypressbeam.distribution.node_directory import (
    ANNOUNCEMENT_INTERVAL_S,
    MAX_ANNOUNCEMENT_INTERVAL_S,
    MAX_ANNOUNCEMENTS,
    OVERDUE_S,
    REGISTRATION_GRACE_S,
    RETENTION_S,
    NodeDirectory,
)
from cypressbeam.distribution.node_registry import RENEWAL_INTERVAL_S
from cypressbeam.node.directory_replication import REFRESH_INTERVAL_S, SHARE_INTERVAL_S, DirectoryReplication
from cypressbeam.protocol import frames
from cypressbeam.storage.store import SqliteStore
from tests.loopback import run
from tests.parts import EPOCH_1, EPOCH_2, EPOCH_3, OTHER_IP, ROOT_IP, TreeNodeHarness
from tests.test_word_rules import CoreMachineHarness

SEED_IP = "10.0.0.7"
NODES = ("10.1.0.1", "10.1.0.2")
SILENT_AFTER_S = RENEWAL_INTERVAL_S + OVERDUE_S


def directory_of(*addresses: str) -> NodeDirectory:
    directory = NodeDirectory()
    directory.add(addresses, 0.0)
    return directory


def announcement_times(directory: NodeDirectory, from_s: float, until_s: float, step_s: float = 0.25) -> list[float]:
    """The times of all announcements to the only silent node."""
    steps = int((until_s - from_s) / step_s)
    return [from_s + step * step_s for step in range(steps + 1) if directory.due_announcements(from_s + step * step_s)]


def test_a_node_is_announced_to_once_its_registration_is_overdue_and_then_at_doubling_intervals() -> None:
    directory = directory_of(NODES[0])
    assert not directory.due_announcements(SILENT_AFTER_S)
    times_s = announcement_times(directory, SILENT_AFTER_S + 0.25, 60.0)
    intervals_s = [later - earlier for earlier, later in itertools.pairwise(times_s)]
    assert intervals_s[:5] == [ANNOUNCEMENT_INTERVAL_S * 2**number for number in range(5)]
    assert max(intervals_s) == MAX_ANNOUNCEMENT_INTERVAL_S


def test_a_lost_connection_makes_an_announcement_due_and_a_registration_ends_them() -> None:
    directory = directory_of(*NODES)
    directory.note_lost(NODES[0], 1.0)
    assert directory.due_announcements(1.0) == [NODES[0]]
    directory.note_registration(NODES[0], 1.0)  # from before the connection was lost
    assert directory.due_announcements(1.0 + ANNOUNCEMENT_INTERVAL_S) == [NODES[0]]
    directory.note_registration(NODES[0], 1.6)
    assert announcement_times(directory, 1.75, 3.0) == []


def test_a_new_leader_announces_itself_to_nodes_that_do_not_register_by_themselves() -> None:
    directory = directory_of(*NODES)
    directory.begin_term(10.0)
    directory.note_registration(NODES[0], 10.1)
    assert not directory.due_announcements(10.0 + REGISTRATION_GRACE_S - 0.01)
    assert directory.due_announcements(10.0 + REGISTRATION_GRACE_S) == [NODES[1]]


def test_announcements_at_one_time_are_limited_and_all_nodes_get_their_turn() -> None:
    addresses = {f"10.{index // 250}.0.{index % 250}" for index in range(2 * MAX_ANNOUNCEMENTS)}
    directory = directory_of(*addresses)
    directory.begin_term(0.0)
    first = directory.due_announcements(REGISTRATION_GRACE_S)
    second = directory.due_announcements(REGISTRATION_GRACE_S)
    assert len(first) == len(second) == MAX_ANNOUNCEMENTS and {*first, *second} == addresses


def test_addresses_are_forgotten_after_long_silence_or_beyond_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    directory = directory_of(*NODES)
    directory.note_registration(NODES[1], 5.0)
    directory.expire(RETENTION_S)
    assert directory.addresses() == NODES
    directory.expire(RETENTION_S + 1.0)
    assert directory.addresses() == NODES[1:]
    monkeypatch.setattr(node_directory, "MAX_ADDRESSES", 1)
    directory.add(["10.1.0.9"], 9.0)
    directory.expire(9.0)
    assert directory.addresses() == ("10.1.0.9",)


class ReplicationHarness(TreeNodeHarness):
    """The replication of a core machine, whose sent frames are recorded."""

    def __init__(self) -> None:
        super().__init__()
        self.sent_frames: list[tuple[str, frames.Frame]] = []
        self.replication = DirectoryReplication(self.tree, lambda ip, frame: self.sent_frames.append((ip, frame)))
        self.tree.fence.learn_group((OTHER_IP, ROOT_IP, self.tree.context.settings.ip), EPOCH_2)

    def receive(self, epoch: int, *addresses: str) -> list[frames.Frame]:
        """What a member answers to an update of the leader."""
        link = self.link(ROOT_IP)
        link.sent.clear()
        self.replication.on_update(link, frames.NodeDirectoryUpdate(epoch, addresses), self.now_s)
        return list(link.sent)

    def share(self) -> list[str]:
        """The members that receive the directory now."""
        self.sent_frames.clear()
        self.replication.share(self.now_s)
        return [ip for ip, _ in self.sent_frames]


def test_a_leader_sends_its_directory_when_it_has_changed_and_from_time_to_time() -> None:
    async def scenario() -> None:
        leader = ReplicationHarness()
        leader.become_root(EPOCH_2)
        leader.replication.directory.add(NODES, leader.now_s)
        assert leader.share() == [OTHER_IP, ROOT_IP]
        assert leader.sent_frames[0][1] == frames.NodeDirectoryUpdate(EPOCH_2, NODES)
        leader.now_s += SHARE_INTERVAL_S
        assert not leader.share()
        leader.replication.directory.add(["10.1.0.3"], leader.now_s)
        assert leader.share()
        leader.now_s += REFRESH_INTERVAL_S
        assert leader.share()

    run(scenario())


def test_a_member_takes_the_directory_over_and_tells_the_leader_its_seeds_and_once_what_it_knew() -> None:
    async def scenario() -> None:
        member = ReplicationHarness()
        member.replication.directory.add(["10.1.0.8"], 0.0)
        answers = member.receive(EPOCH_2, *NODES)
        assert answers == [frames.NodeDirectoryUpdate(EPOCH_2, ("10.1.0.8", SEED_IP))]
        assert member.replication.directory.addresses() == tuple(sorted([*NODES, "10.1.0.8", SEED_IP]))
        assert member.receive(EPOCH_2, *NODES) == [frames.NodeDirectoryUpdate(EPOCH_2, (SEED_IP,))]
        assert member.receive(EPOCH_2, *NODES, SEED_IP) == []
        assert member.replication.directory.addresses() == tuple(sorted([SEED_IP, *NODES]))

    run(scenario())


def test_a_leader_adds_the_addresses_that_a_member_tells_and_keeps_its_own() -> None:
    async def scenario() -> None:
        leader = ReplicationHarness()
        leader.become_root(EPOCH_2)
        leader.replication.directory.add(NODES[:1], 0.0)
        assert leader.receive(EPOCH_2, NODES[1]) == []
        assert leader.replication.directory.addresses() == NODES

    run(scenario())


def test_a_directory_of_an_earlier_epoch_is_rejected() -> None:
    async def scenario() -> None:
        member = ReplicationHarness()
        member.tree.fence.observe(EPOCH_3)
        answers = member.receive(EPOCH_1, *NODES)
        assert [type(answer) for answer in answers] == [frames.LeaderRedirect]
        assert not member.replication.directory.addresses()

    run(scenario())


@pytest.mark.parametrize("has_majority", [True, False])
def test_a_leader_sends_its_directory_only_with_a_majority(has_majority: bool) -> None:
    async def scenario() -> None:
        machine = CoreMachineHarness().take_lead()
        machine.now_s += 0.01 if has_majority else FAILURE_TIMEOUT_S + 0.01
        machine.core.leader_role.tick(machine.now_s)
        updates = [ip for ip, frame in machine.sent_frames if isinstance(frame, frames.NodeDirectoryUpdate)]
        assert bool(updates) is has_majority

    run(scenario())


@pytest.mark.parametrize("address", ["", "10.0.0.1,10.0.0.2"])
def test_an_update_with_an_address_that_cannot_be_stored_is_invalid(address: str) -> None:
    data = frames.NodeDirectoryUpdate(EPOCH_2, (address,)).pack()
    with pytest.raises(frames.FrameError, match="is not an address"):
        frames.unpack(frames.NodeDirectoryUpdate.CODE, data[frames.HEADER.size :])


def test_the_directory_is_stored_with_the_next_write_and_read_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        store = SqliteStore(tmp_path)
        assert (await store.load()).node_addresses == ()
        assert not store.stage_addresses(()) and store.stage_addresses(NODES)
        await store.save_promise(EPOCH_1)
        assert not store.stage_addresses(NODES) and store.stage_addresses(NODES[:1])
        store.close()
        assert await store.wait_closed(5.0)
        reopened = SqliteStore(tmp_path)
        assert (await reopened.load()).node_addresses == NODES
        reopened.close()
        assert await reopened.wait_closed(5.0)

    asyncio.run(scenario())
