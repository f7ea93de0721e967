"""The state on disk: the view and the entries of the chain, in a SQLite database (`sqlite3`) with its own thread.

Every transaction is synced. What a power failure may leave on disk, and how it is handled: docs/design/disk.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import queue
import secrets
import sqlite3
import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Protocol, TypeVar

from cypressbeam.consensus.deduplication import MAX_DIGESTS
from cypressbeam.consensus.high_water_marks import NO_MARKS, HighWaterMarks, pack_marks, unpack_marks
from cypressbeam.consensus.views import Entry, View
from cypressbeam.errors import CypressbeamError
from cypressbeam.protocol.configuration import digest
from cypressbeam.storage import files

log = logging.getLogger(__name__)

FORMAT_VERSION = 2
#: The newest entries are kept with their bodies; of older ones only digests remain, to recognise repeated writes.
BODIES_KEPT = 3
FILE_NAME = "state.db"
#: Files that belong to the database: the write-ahead log, and the rollback journal used while it is created.
COMPANION_SUFFIXES = ("-wal", "-journal")
#: Unreadable databases that are kept under other names; once all names are used, the last one is overwritten.
MAX_SET_ASIDE = 8
#: SQLite result codes for a database with corrupt contents, as opposed to a disk that fails.
CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
INCARNATION_ID_BITS = 62
#: The write-ahead log is truncated to this size after a checkpoint.
WAL_LIMIT_BYTES = 4 * 1024 * 1024
CLOSE_TICK_S = 0.002
T = TypeVar("T")


class StoreError(CypressbeamError):
    """The state can't be read or written; the message is one line with the reason."""


class CorruptStateError(StoreError):
    """The disk returned data that is not a valid state, so the stored state is lost."""


class UnsupportedFormatError(StoreError):
    """The state was written by a later version of the program; it is left unchanged."""


@dataclass(frozen=True, slots=True)
class LoadedState:
    """The state read from disk. The identity is generated when the disk is first used, so a new disk has another."""

    identity: str
    promised: int
    view: View | None
    entry: Entry | None
    applied_digests: dict[int, bytes]
    durable_marks: HighWaterMarks = NO_MARKS
    """The incarnation on disk; the other fields are not set."""
    pending_marks: HighWaterMarks = NO_MARKS
    """The incarnation of this process, which the first write stores."""
    reported_marks: dict[str, HighWaterMarks] = field(default_factory=dict)
    """The highest marks that other members have reported, by name."""
    node_addresses: tuple[str, ...] = ()
    """The directory of node addresses (docs/design/node-directory.md)."""
    bootstrap_seeds: tuple[str, ...] = ()
    """Addresses of the seeds of the system's first start, if this disk has been in use since then; otherwise empty."""


class Storage(Protocol):
    """Durable state of a machine. A write survives a power failure once its call has returned. The calls that access
    the disk raise StoreError."""

    async def load(self, reset: bool = False) -> LoadedState:
        """Read the state from disk. With `reset`, start with an empty one and keep the previous files under another
        name."""

    async def save_promise(self, epoch: int) -> None:
        """Store a promise; one lower than the stored promise has no effect."""

    async def save_view(self, view: View, entry: Entry | None, applied_digests: dict[int, bytes]) -> None:
        """Store a view with its initial entry and digests, replacing the previous ones."""

    async def save_entry(self, entry: Entry) -> None:
        """Store an entry."""

    async def probe(self) -> None:
        """Write and sync a test record, to see whether the disk accepts writes."""

    def stage_marks(self, marks: dict[str, HighWaterMarks]) -> bool:
        """Include the marks that others have reported in the next write, together with the incarnation of this process.

        Returns whether they warrant a write of their own. Changed entry numbers do not: each member's own entry is a
        good enough estimate of them."""

    def stage_addresses(self, addresses: tuple[str, ...]) -> bool:
        """Include the directory of node addresses in the next write. Returns whether it differs from the stored one."""

    def close(self) -> None:
        """Start closing; pending operations complete first."""

    async def wait_closed(self, wait_s: float) -> bool:
        """Wait until all pending operations have completed, for at most `wait_s`, since a disk may hang for seconds;
        returns whether they have."""


def connect(path: Path) -> sqlite3.Connection:
    """Open a connection to the database that may be used from another thread."""
    return sqlite3.connect(path, check_same_thread=False)


class SqliteStore:
    """The database file in a folder. Calls block on the disk, so they run on the store's own thread. It is a daemon
    thread, so that a process can exit while the disk hangs."""

    def __init__(
        self, folder: Path, open_connection: Callable[[Path], Any] = connect, bootstrap_seeds: tuple[str, ...] = ()
    ) -> None:
        """
        :param folder: the folder of the database.
        :param bootstrap_seeds: the seeds, if the whole system starts for the first time. They are stored in a database
            that this object creates first, and in no later one.
        :param open_connection: opens the database; tests pass one that records file operations.
        """
        self.path = folder / FILE_NAME
        self.bootstrap_seeds = bootstrap_seeds
        self.open_connection = open_connection
        self.work: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._work, name="store", daemon=True)
        self.thread.start()
        self.database: Any = None
        self.pending_marks: HighWaterMarks | None = None
        """The incarnation that the next write stores."""
        self.staged_marks: dict[str, HighWaterMarks] = {}
        self.stored_marks: dict[str, HighWaterMarks] = {}
        """The marks on disk as last reported to the event loop; the store's thread may have written later ones."""
        self.staged_addresses: tuple[str, ...] = ()
        self.stored_addresses: tuple[str, ...] = ()
        """The directory on disk, as last reported to the event loop."""

    def _work(self) -> None:
        while (task := self.work.get()) is not None:
            task()

    async def run(self, operation: Callable[[Any], T], reset: bool = False) -> T:
        """Run an operation on the database in the store's thread, with `reset` on an empty one. Raises StoreError."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[T] = loop.create_future()

        def settle(value: T | None, error: BaseException | None) -> None:
            if future.cancelled():
                return
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(value)  # type: ignore[arg-type]

        def task() -> None:
            value, error = None, None
            try:
                value = self._run(operation, reset)
            except BaseException as err:  # noqa: BLE001 (raised again for the caller)
                error = err
            with contextlib.suppress(RuntimeError):  # the event loop is closed, so nothing waits for the result
                loop.call_soon_threadsafe(settle, value, error)

        self.work.put(task)
        return await future

    def _run(self, operation: Callable[[Any], T], reset: bool) -> T:
        try:
            if reset:
                self._set_aside()
            if self.database is None:
                self.database = self._open()
            with self.database:
                return operation(self.database)
        except (sqlite3.Error, OSError, CorruptStateError) as err:
            # The next operation reopens the file: after a failed write SQLite's in-memory state can't be trusted.
            self._close_database()
            if isinstance(err, CorruptStateError) or getattr(err, "sqlite_errorcode", 0) & 0xFF in CORRUPTION_CODES:
                raise CorruptStateError(f"{self.path.name}: {err}") from None
            raise StoreError(f"{self.path.name}: {err}") from None

    def _close_database(self) -> None:
        database, self.database = self.database, None
        if database is not None:
            with contextlib.suppress(sqlite3.Error):
                database.close()

    def _open(self) -> Any:
        if not self.path.exists():
            # A power failure while a database was set aside may have left its companions behind.
            self._move_companions(
                next((path for path in reversed(self._aside_paths()) if path.exists()), self._aside_paths()[0])
            )
        database = self.open_connection(self.path)
        try:
            self._prepare(database)
        except BaseException:
            database.close()
            raise
        self.bootstrap_seeds = ()
        return database

    def _prepare(self, database: Any) -> None:
        # Exclusive mode needs no shared-memory file, and keeps other processes from using the folder.
        for setting in (
            "locking_mode=exclusive",
            "journal_mode=wal",
            "synchronous=full",
            f"journal_size_limit={WAL_LIMIT_BYTES}",
        ):
            database.execute(f"pragma {setting}")
        (version,) = database.execute("pragma user_version").fetchone()
        if version not in (0, FORMAT_VERSION):
            raise UnsupportedFormatError(f"{self.path.name} has format {version}; this program reads {FORMAT_VERSION}")
        if version == 0:
            database.executescript(
                "begin; create table meta (key text primary key, value) without rowid;"
                "create table view (epoch integer primary key, chain text not null, members text not null,"
                " began integer not null);"
                "create table entry (number integer primary key, epoch integer not null, revision integer not null,"
                " base integer not null, digest blob not null, body blob not null);"
                "create table taken (revision integer primary key, digest blob not null);"
                f"insert into meta values ('identity', '{secrets.token_hex(6)}'), ('promised', 0),"
                f" ('incarnation', 1), ('draw', {secrets.randbits(INCARNATION_ID_BITS)}){self._bootstrap_row()};"
                f"pragma user_version={FORMAT_VERSION}; commit;"
            )

    def _bootstrap_row(self) -> str:
        """The row of the first seeds as SQL, if there are any. Addresses have no quotes."""
        seeds = ",".join(self.bootstrap_seeds).replace("'", "")
        return f", ('bootstrap_seeds', '{seeds}')" if seeds else ""

    # -- unreadable files -----------------------------------------------------------------------------------

    def _aside_paths(self) -> list[Path]:
        return [self.path.with_name(f"{FILE_NAME}.aside-{number}") for number in range(1, MAX_SET_ASIDE + 1)]

    def _move_companions(self, aside: Path) -> None:
        """Move the companion files of a database that was set aside next to it."""
        for suffix in COMPANION_SUFFIXES:
            companion = self.path.with_name(FILE_NAME + suffix)
            if companion.exists():
                files.replace_file(companion, aside.with_name(aside.name + suffix))
                files.sync_folder(self.path.parent)

    def _set_aside(self) -> None:
        """Rename the database to the first unused name, or the last one. The database is moved and synced before its
        companions: without its log it would be a valid but older state, while a log without a database is none."""
        self._close_database()
        self.bootstrap_seeds = ()
        if self.path.exists():
            paths = self._aside_paths()
            aside = next((path for path in paths if not path.exists()), paths[-1])
            files.replace_file(self.path, aside)
            files.sync_folder(self.path.parent)
            self._move_companions(aside)
            log.error("%s is kept as %s; this machine continues with an empty state", self.path.name, aside.name)

    async def load(self, reset: bool = False) -> LoadedState:
        """Read the state; a corrupt database is set aside as well."""
        try:
            loaded = await self.run(read_all, reset)
        except CorruptStateError as err:
            log.error("state corrupt: %s", err)
            loaded = await self.run(read_all, reset=True)
        self.stored_marks, self.staged_marks = dict(loaded.reported_marks), dict(loaded.reported_marks)
        self.pending_marks = loaded.pending_marks if loaded.pending_marks != loaded.durable_marks else None
        self.stored_addresses = self.staged_addresses = loaded.node_addresses
        return loaded

    def stage_marks(self, marks: dict[str, HighWaterMarks]) -> bool:
        """Include marks in the next write; returns whether they warrant a write of their own."""
        self.staged_marks = dict(marks)
        return self.pending_marks is not None or without_numbers(self.staged_marks) != without_numbers(
            self.stored_marks
        )

    def stage_addresses(self, addresses: tuple[str, ...]) -> bool:
        """Include the directory in the next write; returns whether it differs from the stored one."""
        self.staged_addresses = addresses
        return addresses != self.stored_addresses

    async def write(self, operation: Callable[[Any], None]) -> None:
        """Run an operation, and store the incarnation of this process and what is staged in the same transaction."""
        marks, pending_marks = self.staged_marks, self.pending_marks
        addresses, stored_addresses = self.staged_addresses, self.stored_addresses

        def save(database: Any) -> None:
            operation(database)
            if pending_marks is not None:
                database.executemany(
                    "insert or replace into meta values (?, ?)",
                    [("incarnation", pending_marks.incarnation), ("draw", pending_marks.incarnation_id)],
                )
            write_marks(database, marks)
            if addresses != stored_addresses:
                database.execute("insert or replace into meta values ('nodes', ?)", (",".join(addresses),))

        await self.run(save)
        self.stored_marks, self.stored_addresses = marks, addresses
        if pending_marks is not None:
            self.pending_marks = None

    async def save_promise(self, epoch: int) -> None:
        """Store a promise; one lower than the stored promise has no effect."""
        await self.write(lambda database: write_promise(database, epoch))

    async def save_view(self, view: View, entry: Entry | None, applied_digests: dict[int, bytes]) -> None:
        """Store a view with its initial entry and digests, replacing the previous ones."""
        applied_digests = dict(applied_digests)  # the caller may change its copy before the thread reads it

        def save(database: Any) -> None:
            write_promise(database, view.epoch)
            database.execute("delete from view")
            database.execute(
                "insert into view values (?, ?, ?, ?)",
                (view.epoch, ",".join(view.chain), ",".join(view.group), view.initial_number),
            )
            database.execute("delete from entry")
            write_digests(database, applied_digests)
            if entry is not None:
                write_entry(database, entry)

        await self.write(save)

    async def save_entry(self, entry: Entry) -> None:
        """Store an entry and delete the oldest ones; their digests remain, to recognise repeated writes."""

        def save(database: Any) -> None:
            write_entry(database, entry)
            database.execute("delete from entry where number <= ?", (entry.number - BODIES_KEPT,))

        await self.write(save)

    async def probe(self) -> None:
        """Write and sync a test record."""

        def save(database: Any) -> None:
            database.execute("insert or replace into meta values ('tried', ?)", (secrets.token_bytes(512),))

        await self.write(save)

    def close(self) -> None:
        """Close the file and end the thread, once all queued operations are done."""
        self.work.put(self._close_database)
        self.work.put(None)

    async def wait_closed(self, wait_s: float) -> bool:
        """Wait for the thread to end, for at most `wait_s`; returns whether it has."""
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while self.thread.is_alive() and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(CLOSE_TICK_S)
        return not self.thread.is_alive()


def without_numbers(marks: dict[str, HighWaterMarks]) -> dict[str, HighWaterMarks]:
    """The marks with all entry numbers set to 0, for comparison."""
    return {name: replace(reported, number=0) for name, reported in marks.items()}


def write_promise(database: Any, epoch: int) -> None:
    """Store a promise, unless a higher one is stored."""
    database.execute("update meta set value = max(value, ?) where key = 'promised'", (epoch,))


def write_marks(database: Any, marks: dict[str, HighWaterMarks]) -> None:
    """Store marks if they changed. They are compared with those on disk, since the event loop's copy may be older."""
    packed = pack_marks(marks)
    stored = database.execute("select value from meta where key = 'marks'").fetchone()
    if packed != (stored[0] if stored is not None else ""):
        database.execute("insert or replace into meta values ('marks', ?)", (packed,))


def write_digests(database: Any, applied_digests: dict[int, bytes]) -> None:
    """Replace the stored digests; only rows that differ are written, since usually nearly all are unchanged."""
    stored = dict(database.execute("select revision, digest from taken"))
    database.executemany(
        "delete from taken where revision = ?", [(revision,) for revision in stored if revision not in applied_digests]
    )
    database.executemany(
        "insert or replace into taken values (?, ?)",
        [
            (revision, entry_digest)
            for revision, entry_digest in applied_digests.items()
            if stored.get(revision) != entry_digest
        ],
    )


def write_entry(database: Any, entry: Entry) -> None:
    """Store an entry and its digest. Digests above its base are deleted, as in `deduplication.record`: they belong to
    writes that this disk reported as failed but stored nevertheless."""
    entry_digest = digest(entry.body)
    database.execute("delete from taken where revision > ?", (entry.base,))
    database.execute(
        "insert or replace into entry values (?, ?, ?, ?, ?, ?)",
        (entry.number, entry.epoch, entry.revision, entry.base, entry_digest, entry.body),
    )
    database.execute("insert or replace into taken values (?, ?)", (entry.revision, entry_digest))
    database.execute(
        "delete from taken where revision <= (select revision from taken order by revision desc limit 1 offset ?)",
        (MAX_DIGESTS,),
    )


def read_all(database: Any) -> LoadedState:
    """Check and read the database. Raises CorruptStateError if data is missing or a body does not match its digest."""
    (report,) = database.execute("pragma quick_check(1)").fetchone()
    if report != "ok":
        raise CorruptStateError(report.splitlines()[0])
    try:
        return read_rows(database)
    except (KeyError, TypeError, ValueError) as err:
        raise CorruptStateError(f"{type(err).__name__}: {err}") from None


def read_rows(database: Any) -> LoadedState:
    """Read the state from the tables. Raises CorruptStateError, KeyError, TypeError or ValueError."""
    meta = dict(database.execute("select key, value from meta where key != 'tried'"))
    row = database.execute("select epoch, chain, members, began from view").fetchone()
    view = View(row[0], tuple(row[1].split(",")), tuple(row[2].split(",")), row[3]) if row else None
    applied_digests = dict(database.execute("select revision, digest from taken order by revision"))
    last = None
    entry_digest = b""
    for number, epoch, revision, base, entry_digest, body in database.execute(
        "select number, epoch, revision, base, digest, body from entry order by number"
    ):
        last = Entry(number, epoch, revision, base, body)
        if digest(body) != entry_digest:
            raise CorruptStateError(f"entry {last.number} does not match its digest")
    if last is not None and applied_digests[last.revision] != entry_digest:
        raise CorruptStateError(f"entry {last.number} does not match the digest recorded for its revision")
    durable_marks = HighWaterMarks(meta.get("incarnation", 0), meta.get("draw", 0))
    # A new database already contains the first incarnation.
    pending_marks = (
        durable_marks
        if view is None and last is None and durable_marks.incarnation == 1
        else HighWaterMarks(durable_marks.incarnation + 1, secrets.randbits(INCARNATION_ID_BITS))
    )
    return LoadedState(
        str(meta["identity"]),
        int(meta["promised"]),
        view,
        last,
        applied_digests,
        durable_marks,
        pending_marks,
        unpack_marks(meta.get("marks", "")),
        split_addresses(meta.get("nodes")),
        split_addresses(meta.get("bootstrap_seeds")),
    )


def split_addresses(text: object) -> tuple[str, ...]:
    """A stored list of addresses."""
    return tuple(str(text).split(",")) if text else ()
