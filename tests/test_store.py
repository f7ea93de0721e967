"""The state on disk: what a power failure may leave of the last write, and corrupt files."""

from __future__ import annotations

import asyncio
import random
import shutil
import sqlite3
import sys
import tempfile
import threading
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.views import Entry, View
from cypressbeam.storage import store as stores
from cypressbeam.storage.store import FILE_NAME, LoadedState, SqliteStore, StoreError

VIEW = View(256, ("10.0.0.1/a", "10.0.0.2/b"), ("10.0.0.1/a", "10.0.0.2/b", "10.0.0.3/c"))
Files = dict[str, bytes]


def entry(number: int) -> Entry:
    return Entry(number, 256, number * 10, number * 10 - 10, bytes([number]) * 3000)


def files(folder: Path) -> Files:
    return {path.name: path.read_bytes() for path in folder.iterdir() if not path.name.endswith("-shm")}


async def write_states(folder: Path, entries: int) -> list[Files]:
    """The files after each of several writes, while the store is open."""
    store, states = SqliteStore(folder), []
    await store.load()
    await store.save_view(VIEW, None, {})
    for number in range(1, entries + 1):
        await store.save_entry(entry(number))
        states.append(files(folder))
    close(store)
    return states


def close(store: SqliteStore) -> None:
    """Close the store and wait until it no longer accesses its files."""
    store.close()
    store.thread.join()


def load(contents: Files) -> LoadedState:
    """What a store reads from these files. Raises StoreError."""
    folder = Path(tempfile.mkdtemp(prefix="cypressbeam-store-"))
    try:
        for name, data in contents.items():
            (folder / name).write_bytes(data)

        async def read() -> LoadedState:
            store = SqliteStore(folder)
            try:
                return await store.load()
            finally:
                close(store)

        return asyncio.run(read())
    finally:
        shutil.rmtree(folder)


@pytest.fixture(scope="module")
def states(tmp_path_factory: pytest.TempPathFactory) -> list[Files]:
    return asyncio.run(write_states(tmp_path_factory.mktemp("state"), 6))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(index=st.integers(0, 4), kept=st.floats(0, 1), corrupted=st.integers(0, 200), seed=st.integers(0, 2**32))
def test_a_torn_write_preserves_what_was_synced_before_it(
    states: list[Files], index: int, kept: float, corrupted: int, seed: int
) -> None:
    """A part of the bytes that the last write appended is there, and some of them are corrupt."""
    before, after = states[index], states[index + 1]
    wal = f"{FILE_NAME}-wal"
    assert before[FILE_NAME] == after[FILE_NAME] and after[wal].startswith(before[wal])
    added = bytearray(after[wal][len(before[wal]) :])
    added = added[: int(len(added) * kept)]
    rng = random.Random(seed)
    for _ in range(corrupted if added else 0):
        added[rng.randrange(len(added))] ^= 1 << rng.randrange(8)
    loaded = load(before | {wal: before[wal] + bytes(added)})
    assert loaded.view == VIEW and loaded.entry in (entry(index + 1), entry(index + 2))
    assert loaded.entry == entry(index + 1) or not corrupted


def test_synced_state_is_read_back_complete(states: list[Files]) -> None:
    loaded = load(states[-1])
    assert (loaded.view, loaded.entry, set(loaded.applied_digests)) == (VIEW, entry(6), {10, 20, 30, 40, 50, 60})


def corrupt_body(data: bytes) -> bytes:
    return data.replace(bytes([6]) * 2000, bytes(2000))


def truncate(data: bytes) -> bytes:
    return data[:5000]


def not_a_database(data: bytes) -> bytes:
    return b"no database at all" * 100


def corrupt_header(data: bytes) -> bytes:
    return b"SQLite format 3\x00" + b"\xff" * 5000


def missing_identity(data: bytes) -> bytes:
    return data.replace(b"identity", b"idendity")


@pytest.mark.parametrize("corrupt", [corrupt_body, truncate, not_a_database, corrupt_header, missing_identity])
def test_a_corrupt_file_is_set_aside_and_the_machine_gets_a_new_identity(
    corrupt: Callable[[bytes], bytes], tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A corrupt file used to end the process at every start."""

    async def scenario() -> None:
        store = SqliteStore(tmp_path)
        old = (await store.load()).identity
        await store.save_view(VIEW, entry(6), {})
        close(store)
        corrupted = corrupt((tmp_path / FILE_NAME).read_bytes())
        (tmp_path / FILE_NAME).write_bytes(corrupted)
        store = SqliteStore(tmp_path)
        loaded = await store.load()
        assert loaded.identity != old and (loaded.promised, loaded.view, loaded.entry, loaded.applied_digests) == (
            0,
            None,
            None,
            {},
        )
        await store.save_promise(512)
        close(store)
        assert (tmp_path / f"{FILE_NAME}.aside-1").read_bytes() == corrupted
        assert "state.db is kept as state.db.aside-1" in caplog.text
        store = SqliteStore(tmp_path)
        again = await store.load()
        assert (again.identity, again.promised) == (loaded.identity, 512)
        close(store)

    asyncio.run(scenario())


def test_a_reset_keeps_the_old_files(tmp_path: Path) -> None:
    async def scenario() -> None:
        store = SqliteStore(tmp_path)
        names = set()
        for number in range(11):
            loaded = await store.load(reset=number > 0)
            names.add(loaded.identity)
            await store.save_promise(256 + number)
            await store.save_entry(entry(number + 1))
        assert len(names) == 11
        close(store)

    asyncio.run(scenario())
    with sqlite3.connect(tmp_path / f"{FILE_NAME}.aside-1") as database:  # as docs/operations/recovery.md restores it
        assert database.execute("select body from entry order by number desc limit 1").fetchone() == (entry(1).body,)
    database.close()
    kept = sorted(path.name for path in tmp_path.iterdir())
    assert kept == [FILE_NAME, *(f"{FILE_NAME}.aside-{number}" for number in range(1, 9))]


def test_the_first_write_stores_the_incarnation_and_reported_marks(tmp_path: Path) -> None:
    async def scenario() -> None:
        marks = {"10.0.0.2/b": HighWaterMarks(3, 4, 512, 512, 7)}
        seen = []
        for _ in range(3):
            store = SqliteStore(tmp_path)
            loaded = await store.load()
            seen.append((loaded.durable_marks, loaded.pending_marks, loaded.reported_marks))
            assert store.stage_marks(marks)
            await store.save_view(VIEW, None, {})
            assert not store.stage_marks(marks) and not store.stage_marks(
                {"10.0.0.2/b": HighWaterMarks(3, 4, 512, 512, 8)}
            )
            assert store.stage_marks({"10.0.0.2/b": HighWaterMarks(4, 5, 512, 512, 8)})
            close(store)
        assert [(durable.incarnation, pending.incarnation) for durable, pending, _ in seen] == [(1, 1), (1, 2), (2, 3)]
        assert [durable.incarnation_id for durable, _, _ in seen[1:]] == [
            pending.incarnation_id for _, pending, _ in seen[:-1]
        ]
        assert [reported for _, _, reported in seen] == [{}, marks, marks]

    asyncio.run(scenario())


def test_digests_of_old_versions_are_deleted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stores, "MAX_DIGESTS", 4)

    async def scenario() -> None:
        store = SqliteStore(tmp_path)
        await store.load()
        await store.save_view(VIEW, entry(1), {number: bytes(32) for number in range(-20, 0)})
        for number in range(2, 7):
            await store.save_entry(entry(number))
        assert set((await store.load()).applied_digests) == {30, 40, 50, 60}
        close(store)

    asyncio.run(scenario())


def test_a_state_of_a_later_format_is_left_unchanged(tmp_path: Path) -> None:
    with sqlite3.connect(tmp_path / FILE_NAME) as database:
        database.execute("pragma user_version=99")
    database.close()
    with pytest.raises(StoreError, match="format 99"):
        load(files(tmp_path))


# -- interleavings of the event loop and the store's thread -----------------------------------------------------------


class PausedStore:
    """A store whose thread blocks until released; it then completes all queued work before the event loop continues."""

    def __init__(self, folder: Path) -> None:
        self.store = SqliteStore(folder)
        self.released = threading.Event()

    async def begin(self) -> LoadedState:
        loaded = await self.store.load()
        await self.store.save_view(VIEW, None, {})
        self.store.work.put(self.block)
        return loaded

    def block(self) -> None:
        self.released.wait(5.0)

    def release(self) -> None:
        done = threading.Event()
        self.released.set()
        self.store.work.put(done.set)
        assert done.wait(5.0)


async def start(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    task = asyncio.get_running_loop().create_task(work)
    await asyncio.sleep(0)
    return task


def test_marks_removed_during_a_write_are_removed_on_disk(tmp_path: Path) -> None:
    async def scenario() -> None:
        paused = PausedStore(tmp_path)
        await paused.begin()
        paused.store.stage_marks({"10.0.0.9/x": HighWaterMarks(1, 2, 300)})
        first = await start(paused.store.save_promise(300))
        paused.store.stage_marks({})  # a view has removed that member
        second = await start(paused.store.save_promise(301))
        paused.release()
        await asyncio.gather(first, second)
        close(paused.store)

    asyncio.run(scenario())
    loaded = load(files(tmp_path))
    assert loaded.promised == 301 and loaded.reported_marks == {}


def test_a_write_stores_the_values_from_when_it_was_requested(tmp_path: Path) -> None:
    async def scenario() -> None:
        paused = PausedStore(tmp_path)
        loaded = await paused.begin()
        digests = {10: b"ten"}
        write = await start(paused.store.save_view(VIEW, None, digests))
        digests[20] = b"twenty"
        paused.release()
        await write
        loaded.reported_marks["10.0.0.2/b"] = HighWaterMarks(1, 2)
        assert paused.store.stage_marks(
            loaded.reported_marks
        )  # the caller's change to the returned dictionary is not on disk
        close(paused.store)

    asyncio.run(scenario())
    assert load(files(tmp_path)).applied_digests == {10: b"ten"}


def test_event_loop_and_store_thread_may_interleave_at_any_point(tmp_path: Path) -> None:
    async def scenario() -> dict[str, HighWaterMarks]:
        store, marks, digests = (
            SqliteStore(tmp_path),
            {"10.0.0.2/b": HighWaterMarks(1, 2)},
            dict.fromkeys(range(1, 400), b"mark"),
        )
        await store.load()
        writes = []
        for number in range(1, 60):
            store.stage_marks(marks)
            writes.append(
                await start(
                    store.save_entry(entry(number)) if number % 3 else store.save_view(VIEW, entry(number), digests)
                )
            )
            marks[f"10.0.1.{number}/n"] = HighWaterMarks(number, number)
            digests[1000 + number] = b"late"
            marks.pop(f"10.0.1.{number - 2}/n", None)
            if number % 10 == 0:
                await asyncio.gather(*writes)
        store.stage_marks(marks)
        await asyncio.gather(*writes, store.save_promise(400))
        close(store)
        return marks

    default_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    try:
        marks = asyncio.run(scenario())
    finally:
        sys.setswitchinterval(default_s)
    loaded = load(files(tmp_path))
    assert loaded.reported_marks == marks and loaded.entry == entry(59)
