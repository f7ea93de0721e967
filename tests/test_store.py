"""The state on disk: what a loss of power may leave of the last write, and files that are no state."""

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


async def written(folder: Path, entries: int) -> list[Files]:
    """The files after each of some writes, as they are while the node runs."""
    store, states = SqliteStore(folder), []
    await store.load()
    await store.save_view(VIEW, None, {})
    for number in range(1, entries + 1):
        await store.save_entry(entry(number))
        states.append(files(folder))
    close(store)
    return states


def close(store: SqliteStore) -> None:
    """And wait until the files are left alone."""
    store.close()
    store.thread.join()


def load(found: Files) -> LoadedState:
    """What a node that starts from these files reads. Raises StoreError."""
    folder = Path(tempfile.mkdtemp(prefix="cypressbeam-store-"))
    try:
        for name, data in found.items():
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
    return asyncio.run(written(tmp_path_factory.mktemp("state"), 6))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(at=st.integers(0, 4), kept=st.floats(0, 1), spoilt=st.integers(0, 200), seed=st.integers(0, 2**32))
def test_a_torn_write_leaves_what_was_synced_before_it(
    states: list[Files], at: int, kept: float, spoilt: int, seed: int
) -> None:
    """Of the bytes that one more write added, some are there, and some of those are wrong."""
    before, after = states[at], states[at + 1]
    wal = f"{FILE_NAME}-wal"
    assert before[FILE_NAME] == after[FILE_NAME] and after[wal].startswith(before[wal])
    added = bytearray(after[wal][len(before[wal]) :])
    added = added[: int(len(added) * kept)]
    rng = random.Random(seed)
    for _ in range(spoilt if added else 0):
        added[rng.randrange(len(added))] ^= 1 << rng.randrange(8)
    found = load(before | {wal: before[wal] + bytes(added)})
    assert found.view == VIEW and found.entry in (entry(at + 1), entry(at + 2))
    assert found.entry == entry(at + 1) or not spoilt


def test_what_was_synced_is_read_back_whole(states: list[Files]) -> None:
    found = load(states[-1])
    assert (found.view, found.entry, set(found.applied_digests)) == (VIEW, entry(6), {10, 20, 30, 40, 50, 60})


def spoil_a_body(data: bytes) -> bytes:
    return data.replace(bytes([6]) * 2000, bytes(2000))


def cut_short(data: bytes) -> bytes:
    return data[:5000]


def no_database(data: bytes) -> bytes:
    return b"no database at all" * 100


def bad_header(data: bytes) -> bytes:
    return b"SQLite format 3\x00" + b"\xff" * 5000


def no_identity(data: bytes) -> bytes:
    return data.replace(b"identity", b"idendity")


@pytest.mark.parametrize("spoil", [spoil_a_body, cut_short, no_database, bad_header, no_identity])
def test_a_torn_file_is_kept_aside_and_the_machine_is_a_new_one(
    spoil: Callable[[bytes], bytes], tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """It used to end the process, at each start anew."""

    async def scenario() -> None:
        store = SqliteStore(tmp_path)
        old = (await store.load()).identity
        await store.save_view(VIEW, entry(6), {})
        close(store)
        torn = spoil((tmp_path / FILE_NAME).read_bytes())
        (tmp_path / FILE_NAME).write_bytes(torn)
        store = SqliteStore(tmp_path)
        found = await store.load()
        assert found.identity != old and (found.promised, found.view, found.entry, found.applied_digests) == (
            0,
            None,
            None,
            {},
        )
        await store.save_promise(512)
        close(store)
        assert (tmp_path / f"{FILE_NAME}.aside-1").read_bytes() == torn
        assert "state.db is kept as state.db.aside-1" in caplog.text
        store = SqliteStore(tmp_path)
        again = await store.load()
        assert (again.identity, again.promised) == (found.identity, 512)
        close(store)

    asyncio.run(scenario())


def test_a_machine_that_starts_anew_keeps_its_old_files(tmp_path: Path) -> None:
    async def scenario() -> None:
        store = SqliteStore(tmp_path)
        names = set()
        for number in range(11):
            found = await store.load(anew=number > 0)
            names.add(found.identity)
            await store.save_promise(256 + number)
            await store.save_entry(entry(number + 1))
        assert len(names) == 11
        close(store)

    asyncio.run(scenario())
    with sqlite3.connect(
        tmp_path / f"{FILE_NAME}.aside-1"
    ) as database:  # as docs/operations/recovery.md brings it back
        assert database.execute("select body from entry order by number desc limit 1").fetchone() == (entry(1).body,)
    database.close()
    kept = sorted(path.name for path in tmp_path.iterdir())
    assert kept == [FILE_NAME, *(f"{FILE_NAME}.aside-{number}" for number in range(1, 9))]


def test_a_start_is_counted_with_the_first_write_and_what_others_told_is_kept(tmp_path: Path) -> None:
    async def scenario() -> None:
        told = {"10.0.0.2/b": HighWaterMarks(3, 4, 512, 512, 7)}
        seen = []
        for _ in range(3):
            store = SqliteStore(tmp_path)
            found = await store.load()
            seen.append((found.durable_marks, found.pending_marks, found.reported_marks))
            assert store.stage_marks(told)
            await store.save_view(VIEW, None, {})
            assert not store.stage_marks(told) and not store.stage_marks(
                {"10.0.0.2/b": HighWaterMarks(3, 4, 512, 512, 8)}
            )
            assert store.stage_marks({"10.0.0.2/b": HighWaterMarks(4, 5, 512, 512, 8)})
            close(store)
        assert [(own.incarnation, raised.incarnation) for own, raised, _ in seen] == [(1, 1), (1, 2), (2, 3)]
        assert [own.incarnation_id for own, _, _ in seen[1:]] == [raised.incarnation_id for _, raised, _ in seen[:-1]]
        assert [marks for _, _, marks in seen] == [{}, told, told]

    asyncio.run(scenario())


def test_digests_of_old_versions_go(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_the_state_of_a_later_program_is_left_alone(tmp_path: Path) -> None:
    with sqlite3.connect(tmp_path / FILE_NAME) as database:
        database.execute("pragma user_version=99")
    database.close()
    with pytest.raises(StoreError, match="format 99"):
        load(files(tmp_path))


# -- the loop and the store's thread, which take turns at any point --------------------------------------------------


class Held:
    """A store whose thread stands still until it is let go; then it does all that waits before the loop goes on."""

    def __init__(self, folder: Path) -> None:
        self.store = SqliteStore(folder)
        self.may_go_on = threading.Event()

    async def begin(self) -> LoadedState:
        found = await self.store.load()
        await self.store.save_view(VIEW, None, {})
        self.store.work.put(self.stand_still)
        return found

    def stand_still(self) -> None:
        self.may_go_on.wait(5.0)

    def let_go(self) -> None:
        done = threading.Event()
        self.may_go_on.set()
        self.store.work.put(done.set)
        assert done.wait(5.0)


async def begun(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    task = asyncio.get_running_loop().create_task(work)
    await asyncio.sleep(0)
    return task


def test_marks_that_go_back_while_a_write_is_under_way_are_written(tmp_path: Path) -> None:
    async def scenario() -> None:
        held = Held(tmp_path)
        await held.begin()
        held.store.stage_marks({"10.0.0.9/x": HighWaterMarks(1, 2, 300)})
        one = await begun(held.store.save_promise(300))
        held.store.stage_marks({})  # a view has let that member go
        other = await begun(held.store.save_promise(301))
        held.let_go()
        await asyncio.gather(one, other)
        close(held.store)

    asyncio.run(scenario())
    found = load(files(tmp_path))
    assert found.promised == 301 and found.reported_marks == {}


def test_a_write_is_of_what_its_caller_had_when_it_was_begun(tmp_path: Path) -> None:
    async def scenario() -> None:
        held = Held(tmp_path)
        found = await held.begin()
        taken = {10: b"ten"}
        write = await begun(held.store.save_view(VIEW, None, taken))
        taken[20] = b"twenty"
        held.let_go()
        await write
        found.reported_marks["10.0.0.2/b"] = HighWaterMarks(1, 2)
        assert held.store.stage_marks(
            found.reported_marks
        )  # what the caller does with what it was given is not on disk
        close(held.store)

    asyncio.run(scenario())
    assert load(files(tmp_path)).applied_digests == {10: b"ten"}


def test_the_loop_and_the_thread_may_take_turns_after_each_step(tmp_path: Path) -> None:
    async def scenario() -> dict[str, HighWaterMarks]:
        store, marks, taken = (
            SqliteStore(tmp_path),
            {"10.0.0.2/b": HighWaterMarks(1, 2)},
            dict.fromkeys(range(1, 400), b"mark"),
        )
        await store.load()
        writes = []
        for number in range(1, 60):
            store.stage_marks(marks)
            writes.append(
                await begun(
                    store.save_entry(entry(number)) if number % 3 else store.save_view(VIEW, entry(number), taken)
                )
            )
            marks[f"10.0.1.{number}/n"] = HighWaterMarks(number, number)
            taken[1000 + number] = b"late"
            marks.pop(f"10.0.1.{number - 2}/n", None)
            if number % 10 == 0:
                await asyncio.gather(*writes)
        store.stage_marks(marks)
        await asyncio.gather(*writes, store.save_promise(400))
        close(store)
        return marks

    usual_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    try:
        marks = asyncio.run(scenario())
    finally:
        sys.setswitchinterval(usual_s)
    found = load(files(tmp_path))
    assert found.reported_marks == marks and found.entry == entry(59)
