"""The state on disk: what a loss of power may leave of the last write, and files that are no state."""

from __future__ import annotations

import asyncio
import random
import shutil
import sqlite3
import tempfile
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypressbeam.chain import Entry, View
from cypressbeam.store import FILE, Loaded, Store, StoreError

VIEW = View(256, ("10.0.0.1/a", "10.0.0.2/b"), ("10.0.0.1/a", "10.0.0.2/b", "10.0.0.3/c"))
Files = dict[str, bytes]


def entry(number: int) -> Entry:
    return Entry(number, 256, number * 10, number * 10 - 10, bytes([number]) * 3000)


def files(folder: Path) -> Files:
    return {path.name: path.read_bytes() for path in folder.iterdir() if not path.name.endswith("-shm")}


async def written(folder: Path, entries: int) -> list[Files]:
    """The files after each of some writes, as they are while the node runs."""
    store, states = Store(folder), []
    await store.load()
    await store.save_view(VIEW, None, {})
    for number in range(1, entries + 1):
        await store.save_entry(entry(number))
        states.append(files(folder))
    close(store)
    return states


def close(store: Store) -> None:
    """And wait until the files are left alone."""
    store.close()
    store.thread.shutdown(wait=True)


def load(found: Files) -> Loaded:
    """What a node that starts from these files reads. Raises StoreError."""
    folder = Path(tempfile.mkdtemp(prefix="cypressbeam-store-"))
    try:
        for name, data in found.items():
            (folder / name).write_bytes(data)

        async def read() -> Loaded:
            store = Store(folder)
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
def test_a_torn_write_leaves_what_was_synced_before_it(states: list[Files], at: int, kept: float, spoilt: int,
                                                       seed: int) -> None:
    """Of the bytes that one more write added, some are there, and some of those are wrong."""
    before, after = states[at], states[at + 1]
    wal = f"{FILE}-wal"
    assert before[FILE] == after[FILE] and after[wal].startswith(before[wal])
    added = bytearray(after[wal][len(before[wal]):])
    added = added[:int(len(added) * kept)]
    chance = random.Random(seed)
    for _ in range(spoilt if added else 0):
        added[chance.randrange(len(added))] ^= 1 << chance.randrange(8)
    found = load(before | {wal: before[wal] + bytes(added)})
    assert found.view == VIEW and found.last in (entry(at + 1), entry(at + 2))
    assert found.last == entry(at + 1) or not spoilt


def test_what_was_synced_is_read_back_whole(states: list[Files]) -> None:
    found = load(states[-1])
    assert (found.view, found.last, set(found.taken)) == (VIEW, entry(6), {10, 20, 30, 40, 50, 60})


def test_a_body_that_does_not_match_its_digest_stops_the_node(states: list[Files], tmp_path: Path) -> None:
    for name, data in states[-1].items():
        (tmp_path / name).write_bytes(data)
    with sqlite3.connect(tmp_path / FILE) as database:
        database.execute("update entry set body = zeroblob(3000) where number = 6")
    database.close()
    with pytest.raises(StoreError, match="entry 6 does not match its digest"):
        load(files(tmp_path))


@pytest.mark.parametrize("data", [b"no database at all" * 100, b"SQLite format 3\x00" + b"\xff" * 5000])
def test_files_that_are_no_state_stop_the_node_with_one_line(data: bytes) -> None:
    with pytest.raises(StoreError) as caught:
        load({FILE: data})
    assert "\n" not in str(caught.value)


def test_the_state_of_a_later_program_is_left_alone(tmp_path: Path) -> None:
    with sqlite3.connect(tmp_path / FILE) as database:
        database.execute("pragma user_version=99")
    database.close()
    with pytest.raises(StoreError, match="format 99"):
        load(files(tmp_path))
