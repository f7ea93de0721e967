"""What a power failure leaves of the database and of atomically written files; disks that fail, hang or are corrupt."""

from __future__ import annotations

import asyncio
import os
import random
import sqlite3
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from cypressbeam.consensus.views import Entry
from cypressbeam.node import core_machine as cores
from cypressbeam.storage import files
from cypressbeam.storage.store import CorruptStateError, LoadedState, SqliteStore, StoreError
from lab import chaos, disk_power_loss
from lab.disk_power_loss import Life, LostWriteError, Op, image, without
from lab.membership import Cluster
from lab.simulation import Disk
from tests.simulated import run_nodes


@pytest.fixture(scope="module")
def life(tmp_path_factory: pytest.TempPathFactory) -> Life:
    return disk_power_loss.lived(tmp_path_factory.mktemp("life"))


def test_a_power_failure_after_any_operation_preserves_acknowledged_state(life: Life) -> None:
    """Covers first use, checkpoints, a disk that fills up during a commit, a closed file, and a file set aside."""
    assert {op.kind for op in life.notes.ops} >= {"create", "write", "truncate", "sync", "folder", "remove", "rename"}
    for point in range(0, len(life.notes.ops) + 1, 7):
        life.check(point, seed=0)


@pytest.mark.parametrize("kind", ["folder", "sync"])
def test_an_omitted_sync_is_detected(life: Life, kind: str) -> None:
    ops = without(life.notes.ops, kind)
    with pytest.raises(LostWriteError):
        for point in range(0, len(ops), 7):
            life.check(point, seed=0, ops=ops)


def test_the_simulated_disk_tears_writes_and_loses_names() -> None:
    """The simulated disk produces every outcome that a power failure allows, and never loses synced data."""
    ops = [
        Op("create", "a"),
        Op("write", "a", 0, b"x" * 2048),
        Op("sync", "a"),
        Op("folder"),
        Op("write", "a", 0, b"y" * 2048),
        Op("create", "b"),
        Op("sync", "b"),
        Op("rename", "a", to="c"),
    ]
    images = [image(ops, random.Random(seed)) for seed in range(300)]
    assert {tuple(sorted(files)) for files in images} == {("a",), ("c",), ("a", "b"), ("b", "c")}
    bodies = {files.get("a", files.get("c", b"")) for files in images}
    assert b"x" * 2048 in bodies and b"y" * 2048 in bodies and len(bodies) > 4
    assert image(ops[:4], random.Random(1)) == {"a": b"x" * 2048}


def test_an_atomic_write_leaves_the_old_or_the_new_contents(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    ops = [Op("create", "state"), Op("write", "state", 0, b"old" * 900), Op("sync", "state"), Op("folder")]
    real_replace = files.replace_file

    def fsync(handle: int) -> None:
        path = Path(os.readlink(f"/proc/self/fd/{handle}"))
        if path.is_dir():
            ops.append(Op("folder"))
        else:
            ops.extend([Op("create", path.name), Op("write", path.name, 0, path.read_bytes()), Op("sync", path.name)])

    def recorded_replace(old: Path, new: Path) -> None:
        real_replace(old, new)
        ops.append(Op("rename", old.name, to=new.name))

    monkeypatch.setattr(os, "fsync", fsync)
    monkeypatch.setattr(files, "replace_file", recorded_replace)
    files.write_atomically(tmp_path / "state", b"new" * 900)
    assert [op.kind for op in ops[4:]] == ["create", "write", "sync", "rename", "folder"]
    for point in range(4, len(ops) + 1):
        contents = {image(ops[:point], random.Random(seed)).get("state") for seed in range(40)}
        assert contents <= ({b"old" * 900, b"new" * 900} if point < len(ops) else {b"new" * 900})


def test_a_full_disk_leaves_the_old_contents(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = tmp_path / "state"
    file.write_bytes(b"old")

    def fail(handle: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError, match="No space"):
        files.write_atomically(file, b"new")
    assert file.read_bytes() == b"old" and [path.name for path in tmp_path.iterdir()] == ["state"]


def test_a_store_whose_disk_hangs_does_not_block_process_exit(tmp_path: Path) -> None:
    """At exit the interpreter would wait for a thread that is not a daemon."""
    released = threading.Event()

    def hang(path: Path) -> Any:
        released.wait(5.0)
        raise sqlite3.OperationalError("disk I/O error")

    async def scenario() -> None:
        store = SqliteStore(tmp_path, hang)
        loading = asyncio.ensure_future(store.load())
        await asyncio.sleep(0)
        store.close()
        assert not await store.wait_closed(0.05) and store.thread.daemon
        released.set()
        with pytest.raises(StoreError, match="disk I/O error"):
            await loading
        assert await store.wait_closed(2.0)

    asyncio.run(scenario())


# -- whole nodes on a simulated network ------------------------------------------------------------------------------


class FaultyDisk(Disk):
    """A disk whose first loads fail, or that turns out to be corrupt at a write."""

    failures_left = 0
    corrupt = False

    async def load(self, reset: bool = False) -> LoadedState:
        self.failures_left -= 1
        if self.failures_left >= 0:
            raise StoreError("state.db: disk I/O error")
        return await super().load(reset)

    async def save_entry(self, entry: Entry) -> None:
        if self.corrupt:
            self.corrupt = False
            raise CorruptStateError("state.db: database disk image is malformed")
        await super().save_entry(entry)


def run_with_fault(
    fault: Callable[[Cluster, FaultyDisk], Awaitable[None]], seed: int, back_s: float = 0.0, number: int = 1
) -> tuple[str, str, int]:
    """Run a cluster in which the disk of one core machine has a fault. Returns the identity of the disk before and
    after, and by how many revisions its entry is behind."""
    cluster = Cluster(4, seed)
    name = cluster.machines[number][1].node
    disk = FaultyDisk("0123456789ab")
    cluster.disks[name] = disk

    async def play() -> None:
        cluster.start_all()
        await chaos.settle(cluster, "the start")
        await fault(cluster, disk)
        if back_s:
            await asyncio.sleep(back_s)
            cluster.start(*cluster.machines[1])
            await asyncio.sleep(cores.LOAD_TIMEOUT_S + 0.3)
            assert cluster.nodes[name].tree.subscription.parent is not None or cluster.nodes[name].tree.position.is_root
        await chaos.settle(cluster, "the fault")

    run_nodes(cluster, play())
    assert disk.kept.entry is not None
    return "0123456789ab", disk.kept.identity, disk.kept.entry.revision - cluster.revision


def test_a_node_with_a_rolled_back_disk_continues_as_a_new_member() -> None:
    async def roll_back(cluster: Cluster, disk: FaultyDisk) -> None:
        older = disk.kept
        for _ in range(3):
            await chaos.settle(cluster, "a write")
        cluster.stop(*cluster.machines[1])
        disk.kept = older

    old, new, lag = run_with_fault(roll_back, 3, back_s=0.5)
    assert new != old and lag == 0


def test_a_node_whose_disk_fails_or_hangs_at_startup_serves_and_loads_it_later() -> None:
    async def fail(cluster: Cluster, disk: FaultyDisk) -> None:
        disk.failures_left = 2
        cluster.stop(*cluster.machines[1])

    async def hang(cluster: Cluster, disk: FaultyDisk) -> None:
        disk.load_delay_s = 3.0
        cluster.stop(*cluster.machines[1])

    for fault in (fail, hang):
        old, new, lag = run_with_fault(fault, 4, back_s=0.5)
        assert new == old and lag == 0


def test_a_node_whose_state_is_found_corrupt_at_a_write_continues_as_a_new_member() -> None:
    async def corrupt(cluster: Cluster, disk: FaultyDisk) -> None:
        disk.corrupt = True

    for number in range(3):  # one of them is the root of the distribution tree
        old, new, lag = run_with_fault(corrupt, 5, number=number)
        assert new != old and lag == 0
