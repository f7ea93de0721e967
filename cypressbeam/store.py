"""The state on disk: the view, and the entries of the chain (`sqlite3`, each change synced, on a thread of its own)."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from cypressbeam.chain import Entry, View
from cypressbeam.configuration import digest

FORMAT = 1
#: Entries whose bodies are kept; of older ones the digests stay, by which a repeated order is known.
BODIES_KEPT = 3
FILE = "state.db"
T = TypeVar("T")


class StoreError(Exception):
    """The state can't be read or written: one line on why."""


@dataclass(frozen=True, slots=True)
class Loaded:
    """What was on disk."""

    view: View | None
    last: Entry | None
    taken: dict[int, bytes]


class Store:
    """The database file in a folder. Calls wait on the disk, so they run on the store's own thread."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="store")
        self.database: sqlite3.Connection | None = None

    async def run(self, what: Callable[[sqlite3.Connection], T]) -> T:
        """Do something with the database on the store's thread. Raises StoreError."""
        return await asyncio.get_running_loop().run_in_executor(self.thread, self._run, what)

    def _run(self, what: Callable[[sqlite3.Connection], T]) -> T:
        try:
            if self.database is None:
                self.database = self._open()
            with self.database:
                return what(self.database)
        except sqlite3.Error as err:
            raise StoreError(f"{self.path.name}: {err}") from None

    def _open(self) -> sqlite3.Connection:
        database = sqlite3.connect(self.path, check_same_thread=False)
        # Exclusive: no shared memory beside the log, and one process has the folder.
        for line in ("locking_mode=exclusive", "journal_mode=wal", "synchronous=full",
                     "journal_size_limit=4194304"):
            database.execute(f"pragma {line}")
        (version,) = database.execute("pragma user_version").fetchone()
        if version not in (0, FORMAT):
            raise StoreError(f"{self.path.name} has format {version}; this program reads {FORMAT}")
        if version == 0:
            database.executescript(
                "begin; create table view (epoch integer primary key, members text not null);"
                "create table entry (number integer primary key, epoch integer not null,"
                " revision integer not null, base integer not null, digest blob not null, body blob);"
                f"pragma user_version={FORMAT}; commit;")
        return database

    async def load(self) -> Loaded:
        return await self.run(read_all)

    async def save_view(self, view: View) -> None:
        await self.run(lambda database: database.execute(
            "insert or replace into view values (?, ?)", (view.epoch, ",".join(view.members))))

    async def save_entry(self, entry: Entry) -> None:
        def save(database: sqlite3.Connection) -> None:
            database.execute("insert into entry values (?, ?, ?, ?, ?, ?)",
                             (entry.number, entry.epoch, entry.revision, entry.base, digest(entry.body),
                              entry.body))
            database.execute("update entry set body = null where number <= ? and body is not null",
                             (entry.number - BODIES_KEPT,))
        await self.run(save)

    def close(self) -> None:
        def shut() -> None:
            if self.database is not None:
                self.database.close()
        self.thread.submit(shut)
        self.thread.shutdown(wait=False)


def read_all(database: sqlite3.Connection) -> Loaded:
    """Raises StoreError if the newest body is not what its digest says."""
    row = database.execute("select epoch, members from view order by epoch desc limit 1").fetchone()
    view = View(row[0], tuple(row[1].split(","))) if row else None
    taken = dict(database.execute("select revision, digest from entry"))
    row = database.execute("select number, epoch, revision, base, body from entry"
                           " order by number desc limit 1").fetchone()
    last = Entry(*row) if row else None
    if last is not None and digest(last.body or b"") != taken[last.revision]:
        raise StoreError(f"entry {last.number} does not match its digest")
    return Loaded(view, last, taken)
