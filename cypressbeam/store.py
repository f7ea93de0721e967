"""The state on disk: the view, and the entries of the chain (`sqlite3`, each change synced, on a thread of its own)."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import sqlite3
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol, TypeVar

from cypressbeam.chain import Entry, View
from cypressbeam.configuration import digest
from cypressbeam.taken import KEPT

FORMAT = 2
#: Entries whose bodies are kept; of older ones the newest digests stay, by which a repeated order is known.
BODIES_KEPT = 3
FILE = "state.db"
T = TypeVar("T")


class StoreError(Exception):
    """The state can't be read or written: one line on why."""


@dataclass(frozen=True, slots=True)
class Loaded:
    """What was on disk. The identity is drawn when the disk is first used: one that was lost had another."""

    identity: str
    promised: int
    view: View | None
    last: Entry | None
    taken: dict[int, bytes]


class Storage(Protocol):
    """What keeps the state of a machine: what a call has returned for outlives a loss of power. Each raises StoreError.
    """

    async def load(self) -> Loaded: ...

    async def save_promise(self, epoch: int) -> None: ...

    async def save_view(self, view: View, entry: Entry | None, taken: dict[int, bytes]) -> None: ...

    async def save_entry(self, entry: Entry) -> None: ...

    async def try_disk(self) -> None: ...

    def close(self) -> None: ...


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
        except (sqlite3.Error, OSError) as err:
            # Opened anew the next time: after a refused write nothing that is in memory of it can be trusted.
            database, self.database = self.database, None
            if database is not None:
                with contextlib.suppress(sqlite3.Error):
                    database.close()
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
                "begin; create table meta (key text primary key, value) without rowid;"
                "create table view (epoch integer primary key, chain text not null, members text not null,"
                " began integer not null);"
                "create table entry (number integer primary key, epoch integer not null, revision integer not null,"
                " base integer not null, digest blob not null, body blob not null);"
                "create table taken (revision integer primary key, digest blob not null);"
                f"insert into meta values ('identity', '{secrets.token_hex(6)}'), ('promised', 0);"
                f"pragma user_version={FORMAT}; commit;")
        return database

    async def load(self) -> Loaded:
        return await self.run(read_all)

    async def save_promise(self, epoch: int) -> None:
        await self.run(lambda database: write_promise(database, epoch))

    async def save_view(self, view: View, entry: Entry | None, taken: dict[int, bytes]) -> None:
        """The view, and what it begins with in place of what was there."""
        def save(database: sqlite3.Connection) -> None:
            write_promise(database, view.epoch)
            database.execute("delete from view")
            database.execute("insert into view values (?, ?, ?, ?)",
                             (view.epoch, ",".join(view.chain), ",".join(view.group), view.began))
            database.execute("delete from entry")
            write_taken(database, taken)
            if entry is not None:
                write_entry(database, entry)
        await self.run(save)

    async def save_entry(self, entry: Entry) -> None:
        """A new version; old ones go, their digests stay, by which a repeated order is known."""
        def save(database: sqlite3.Connection) -> None:
            write_entry(database, entry)
            database.execute("delete from entry where number <= ?", (entry.number - BODIES_KEPT,))
        await self.run(save)

    async def try_disk(self) -> None:
        """Write and sync something that says nothing."""
        def save(database: sqlite3.Connection) -> None:
            database.execute("insert or replace into meta values ('tried', ?)", (secrets.token_bytes(512),))
        await self.run(save)

    def close(self) -> None:
        def shut() -> None:
            if self.database is not None:
                self.database.close()
        self.thread.submit(shut)
        self.thread.shutdown(wait=False)


def write_promise(database: sqlite3.Connection, epoch: int) -> None:
    database.execute("update meta set value = max(value, ?) where key = 'promised'", (epoch,))


def write_taken(database: sqlite3.Connection, taken: dict[int, bytes]) -> None:
    """These and no others; as a rule nearly all stand there already."""
    known = dict(database.execute("select revision, digest from taken"))
    database.executemany("delete from taken where revision = ?",
                         [(revision,) for revision in known if revision not in taken])
    database.executemany("insert or replace into taken values (?, ?)",
                         [(revision, mark) for revision, mark in taken.items() if known.get(revision) != mark])


def write_entry(database: sqlite3.Connection, entry: Entry) -> None:
    """As `taken.note` has it in memory: what stands above the base was refused by this disk, and is there all the
    same."""
    mark = digest(entry.body)
    database.execute("delete from taken where revision > ?", (entry.base,))
    database.execute("insert or replace into entry values (?, ?, ?, ?, ?, ?)",
                     (entry.number, entry.epoch, entry.revision, entry.base, mark, entry.body))
    database.execute("insert or replace into taken values (?, ?)", (entry.revision, mark))
    database.execute("delete from taken where revision <= (select revision from taken order by revision desc"
                     " limit 1 offset ?)", (KEPT,))


def read_all(database: sqlite3.Connection) -> Loaded:
    """Raises StoreError if the newest body is not what its digest says."""
    meta = dict(database.execute("select key, value from meta where key in ('identity', 'promised')"))
    row = database.execute("select epoch, chain, members, began from view").fetchone()
    view = View(row[0], tuple(row[1].split(",")), tuple(row[2].split(",")), row[3]) if row else None
    taken = dict(database.execute("select revision, digest from taken order by revision"))
    row = database.execute("select number, epoch, revision, base, body from entry"
                           " order by number desc limit 1").fetchone()
    last = Entry(*row) if row else None
    if last is not None and digest(last.body) != taken[last.revision]:
        raise StoreError(f"entry {last.number} does not match its digest")
    return Loaded(meta["identity"], meta["promised"], view, last, taken)
