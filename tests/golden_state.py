"""Golden data of the state folder: a view, entries, digests of applied writes, and marks of several members.

`tests/data/state` was written by commit dd25593 with the steps of `write`. `tests/data/state.sql` holds its schema and
rows, and `tests/data/state.txt` the state that the same commit loaded from it.
"""

from __future__ import annotations

import re
import shutil
import sqlite3
from dataclasses import replace
from pathlib import Path

from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.views import Entry, View
from cypressbeam.storage.store import LoadedState, SqliteStore
from lab.golden_traces import canonical
from lab.membership import many_routes

DATA = Path(__file__).with_name("data")
CLOSE_S = 5.0


async def close(store: SqliteStore) -> None:
    """Close a store and wait until its thread has closed the file."""
    store.close()
    assert await store.wait_closed(CLOSE_S)


async def load(folder: Path) -> LoadedState:
    """The state that a store loads from a copy of a folder."""
    copy = folder.with_name(f"{folder.name}-read")
    shutil.copytree(folder, copy)
    store = SqliteStore(copy)
    loaded = await store.load()
    await close(store)
    return loaded


async def write(folder: Path) -> None:
    """Write the state of one machine in two process runs: a view with five entries, then a later view with one more."""
    store = SqliteStore(folder)
    identity = (await store.load()).identity
    names = (f"10.0.0.1/{identity}", "10.0.0.2/00aa11bb22cc", "10.0.0.3/00aa11bb22cd")
    store.stage_marks({})
    await store.save_view(View(256, names, names), None, {})
    for number in range(1, 6):
        marks = HighWaterMarks(2, 123456789, 256, 256, number)
        store.stage_marks({names[1]: marks, names[2]: HighWaterMarks(1, 987654321, 256, 256, number - 1)})
        await store.save_entry(Entry(number, 256, number * 3, (number - 1) * 3, many_routes(number * 3, 2)))
    await store.save_promise(513)
    await store.probe()
    await close(store)
    store = SqliteStore(folder)
    loaded = await store.load()
    last = loaded.entry
    assert last is not None
    store.stage_marks(
        {names[1]: HighWaterMarks(3, 1234567890, 513, 256, 5), names[2]: HighWaterMarks(1, 987654321, 256, 256, 5)}
    )
    view = View(513, (names[2], names[0]), names, last.number)
    await store.save_view(view, replace(last, epoch=513), dict(loaded.applied_digests))
    await store.save_entry(Entry(6, 513, 20, 15, many_routes(20, 2)))
    await close(store)


def describe(loaded: LoadedState) -> str:
    """A description of the loaded state, without the random incarnation id of the current process."""
    return canonical(replace(loaded, pending_marks=replace(loaded.pending_marks, incarnation_id=0)))


def dump(file: Path) -> str:
    """The schema and rows of a database, with placeholders for its random values."""
    with sqlite3.connect(file) as database:
        text = "\n".join(database.iterdump())
        (identity,) = database.execute("select value from meta where key = 'identity'").fetchone()
        (draw,) = database.execute("select value from meta where key = 'draw'").fetchone()
        version = database.execute("pragma user_version").fetchone()
    text = text.replace(identity, "<identity>").replace(str(draw), "<draw>")
    return f"-- user_version {version[0]}\n" + re.sub(r"('tried',)X'[0-9A-F]+'", r"\1<bytes>", text) + "\n"
