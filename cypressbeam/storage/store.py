"""The state on disk: the view, and the entries of the chain (`sqlite3`, each change synced, on a thread of its own).

What a loss of power may leave of it, and what is done about that: docs/design/disk.md.
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
#: Entries whose bodies are kept; of older ones the newest digests stay, by which a repeated write is recognised.
BODIES_KEPT = 3
FILE_NAME = "state.db"
#: What belongs to the database file: its log, and the journal that there is while it is made.
COMPANION_SUFFIXES = ("-wal", "-journal")
#: Files that can't be read are kept under a name of their own, so many at most: the last one is the newest then.
MAX_SET_ASIDE = 8
#: Codes of sqlite for a database whose bytes are wrong, as against a disk that refuses.
CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
INCARNATION_ID_BITS = 62
#: Bytes that the log is cut back to once all of it is in the database.
WAL_LIMIT_BYTES = 4 * 1024 * 1024
CLOSE_TICK_S = 0.002
T = TypeVar("T")


class StoreError(CypressbeamError):
    """The state can't be read or written: one line on why."""


class CorruptStateError(StoreError):
    """The disk gives bytes, and they are no state: the disk has lost what it held."""


class UnsupportedFormatError(StoreError):
    """The state of a later program: it is left alone."""


@dataclass(frozen=True, slots=True)
class LoadedState:
    """What was on disk. The identity is drawn when the disk is first used: one that was lost had another."""

    identity: str
    promised: int
    view: View | None
    entry: Entry | None
    applied_digests: dict[int, bytes]
    durable_marks: HighWaterMarks = NO_MARKS
    """The incarnation that is on disk, and nothing else."""
    pending_marks: HighWaterMarks = NO_MARKS
    """That of this start, which the first write puts on disk."""
    reported_marks: dict[str, HighWaterMarks] = field(default_factory=dict)
    """The most that other members have reported."""


class Storage(Protocol):
    """Durable state of a machine: what a call has returned for outlives a loss of power. Each raises StoreError."""

    async def load(self, anew: bool = False) -> LoadedState:
        """Anew: as from an empty disk; what was there is kept under another name."""

    async def save_promise(self, epoch: int) -> None:
        """Put a promise on disk; a lower one changes nothing."""

    async def save_view(self, view: View, entry: Entry | None, applied_digests: dict[int, bytes]) -> None:
        """Put a view on disk, with the entry and the digests that it begins with in place of what was there."""

    async def save_entry(self, entry: Entry) -> None:
        """Put an entry on disk."""

    async def probe(self) -> None:
        """Write something that says nothing, to see whether the disk takes writes."""

    def stage_marks(self, marks: dict[str, HighWaterMarks]) -> bool:
        """What others have reported goes to disk with the next write, as does the incarnation of this start. Whether
        one should be made for that: not for numbers of entries, which each member's own entry tells near enough."""

    def close(self) -> None:
        """Begin to close; what is under way is done first."""

    async def closed(self, wait_s: float) -> bool:
        """Whether all that was under way has come to its end by then; a disk may hang for seconds."""


def connect(path: Path) -> sqlite3.Connection:
    """A connection to the database, for use on another thread."""
    return sqlite3.connect(path, check_same_thread=False)


class SqliteStore:
    """The database file in a folder. Calls wait on the disk, so they run on the store's own thread. The thread is a
    daemon: a process that ends doesn't wait for a disk that hangs."""

    def __init__(self, folder: Path, opened: Callable[[Path], Any] = connect) -> None:
        """`opened` gives the connection; another one may note what is done to the files."""
        self.path = folder / FILE_NAME
        self.opened = opened
        self.work: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._work, name="store", daemon=True)
        self.thread.start()
        self.database: Any = None
        self.pending_marks: HighWaterMarks | None = None
        """The incarnation that the next write puts on disk."""
        self.staged_marks: dict[str, HighWaterMarks] = {}
        self.stored_marks: dict[str, HighWaterMarks] = {}
        """The marks that were on disk when the loop last heard of it: the thread may be further on."""

    def _work(self) -> None:
        while (task := self.work.get()) is not None:
            task()

    async def run(self, what: Callable[[Any], T], anew: bool = False) -> T:
        """Do something with the database on the store's thread, or with a new one. Raises StoreError."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[T] = loop.create_future()

        def settle(value: T | None, error: BaseException | None) -> None:
            if done.cancelled():
                return
            if error is not None:
                done.set_exception(error)
            else:
                done.set_result(value)  # type: ignore[arg-type]

        def task() -> None:
            value, error = None, None
            try:
                value = self._run(what, anew)
            except BaseException as err:  # noqa: BLE001 (the caller gets it)
                error = err
            with contextlib.suppress(RuntimeError):  # the loop is closed by now: nobody waits
                loop.call_soon_threadsafe(settle, value, error)

        self.work.put(task)
        return await done

    def _run(self, what: Callable[[Any], T], anew: bool) -> T:
        try:
            if anew:
                self._set_aside()
            if self.database is None:
                self.database = self._open()
            with self.database:
                return what(self.database)
        except (sqlite3.Error, OSError, CorruptStateError) as err:
            # Opened anew the next time: after a refused write nothing that is in memory of it can be trusted.
            self._shut()
            if isinstance(err, CorruptStateError) or getattr(err, "sqlite_errorcode", 0) & 0xFF in CORRUPTION_CODES:
                raise CorruptStateError(f"{self.path.name}: {err}") from None
            raise StoreError(f"{self.path.name}: {err}") from None

    def _shut(self) -> None:
        database, self.database = self.database, None
        if database is not None:
            with contextlib.suppress(sqlite3.Error):
                database.close()

    def _open(self) -> Any:
        if not self.path.exists():
            self._move_beside(next((name for name in reversed(self._asides()) if name.exists()), self._asides()[0]))
        database = self.opened(self.path)
        try:
            self._prepare(database)
        except BaseException:
            database.close()
            raise
        return database

    def _prepare(self, database: Any) -> None:
        # Exclusive: no shared memory beside the log, and one process has the folder.
        for line in (
            "locking_mode=exclusive",
            "journal_mode=wal",
            "synchronous=full",
            f"journal_size_limit={WAL_LIMIT_BYTES}",
        ):
            database.execute(f"pragma {line}")
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
                f" ('incarnation', 1), ('draw', {secrets.randbits(INCARNATION_ID_BITS)});"
                f"pragma user_version={FORMAT_VERSION}; commit;"
            )

    # -- files that can't be read ---------------------------------------------------------------------------

    def _asides(self) -> list[Path]:
        return [self.path.with_name(f"{FILE_NAME}.aside-{number}") for number in range(1, MAX_SET_ASIDE + 1)]

    def _move_beside(self, aside: Path) -> None:
        """The log of a database that was set aside follows it."""
        for suffix in COMPANION_SUFFIXES:
            beside = self.path.with_name(FILE_NAME + suffix)
            if beside.exists():
                files.replace_file(beside, aside.with_name(aside.name + suffix))
                files.sync_folder(self.path.parent)

    def _set_aside(self) -> None:
        """Under a name that is free, or the last one. The database goes first, and for good: without its log it would
        be an older copy of itself, while a log without a database is no state."""
        self._shut()
        if self.path.exists():
            names = self._asides()
            aside = next((name for name in names if not name.exists()), names[-1])
            files.replace_file(self.path, aside)
            files.sync_folder(self.path.parent)
            self._move_beside(aside)
            log.error("%s is kept as %s; this machine goes on as a new one", self.path.name, aside.name)

    async def load(self, anew: bool = False) -> LoadedState:
        """Files that are torn are set aside too."""
        try:
            found = await self.run(read_all, anew)
        except CorruptStateError as err:
            log.error("state corrupt: %s", err)
            found = await self.run(read_all, anew=True)
        self.stored_marks, self.staged_marks = dict(found.reported_marks), dict(found.reported_marks)
        self.pending_marks = found.pending_marks if found.pending_marks != found.durable_marks else None
        return found

    def stage_marks(self, marks: dict[str, HighWaterMarks]) -> bool:
        """Marks go to disk with the next write; returns whether one should be made for that."""
        self.staged_marks = dict(marks)
        return self.pending_marks is not None or without_numbers(self.staged_marks) != without_numbers(
            self.stored_marks
        )

    async def write(self, what: Callable[[Any], None]) -> None:
        """Do it, with the incarnation of this start and what others have reported in the same transaction."""
        marks, raised = self.staged_marks, self.pending_marks

        def save(database: Any) -> None:
            what(database)
            if raised is not None:
                database.executemany(
                    "insert or replace into meta values (?, ?)",
                    [("incarnation", raised.incarnation), ("draw", raised.incarnation_id)],
                )
            write_marks(database, marks)

        await self.run(save)
        self.stored_marks = marks
        if raised is not None:
            self.pending_marks = None

    async def save_promise(self, epoch: int) -> None:
        """Put a promise on disk; a lower one changes nothing."""
        await self.write(lambda database: write_promise(database, epoch))

    async def save_view(self, view: View, entry: Entry | None, applied_digests: dict[int, bytes]) -> None:
        """The view, and what it begins with in place of what was there."""
        applied_digests = dict(applied_digests)  # the caller's may change before the thread gets to it

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
        """A new version; old ones go, their digests stay, by which a repeated write is recognised."""

        def save(database: Any) -> None:
            write_entry(database, entry)
            database.execute("delete from entry where number <= ?", (entry.number - BODIES_KEPT,))

        await self.write(save)

    async def probe(self) -> None:
        """Write and sync something that says nothing."""

        def save(database: Any) -> None:
            database.execute("insert or replace into meta values ('tried', ?)", (secrets.token_bytes(512),))

        await self.write(save)

    def close(self) -> None:
        """Close the file once all writes are done, and end the thread."""
        self.work.put(self._shut)
        self.work.put(None)

    async def closed(self, wait_s: float) -> bool:
        """Whether the thread has ended by then."""
        until_s = asyncio.get_running_loop().time() + wait_s
        while self.thread.is_alive() and asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(CLOSE_TICK_S)
        return not self.thread.is_alive()


def without_numbers(marks: dict[str, HighWaterMarks]) -> dict[str, HighWaterMarks]:
    """Without the numbers of entries."""
    return {name: replace(reported, number=0) for name, reported in marks.items()}


def write_promise(database: Any, epoch: int) -> None:
    """A promise never goes down."""
    database.execute("update meta set value = max(value, ?) where key = 'promised'", (epoch,))


def write_marks(database: Any, marks: dict[str, HighWaterMarks]) -> None:
    """Compared with what is on disk, not with what the loop knows of it: that may be older."""
    packed = pack_marks(marks)
    held = database.execute("select value from meta where key = 'marks'").fetchone()
    if packed != (held[0] if held is not None else ""):
        database.execute("insert or replace into meta values ('marks', ?)", (packed,))


def write_digests(database: Any, applied_digests: dict[int, bytes]) -> None:
    """These and no others; as a rule nearly all stand there already."""
    known = dict(database.execute("select revision, digest from taken"))
    database.executemany(
        "delete from taken where revision = ?", [(revision,) for revision in known if revision not in applied_digests]
    )
    database.executemany(
        "insert or replace into taken values (?, ?)",
        [
            (revision, entry_digest)
            for revision, entry_digest in applied_digests.items()
            if known.get(revision) != entry_digest
        ],
    )


def write_entry(database: Any, entry: Entry) -> None:
    """As `deduplication.record` has it in memory: what stands above the base was refused by this disk, and is there all
    the same."""
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
    """Raises CorruptStateError if a body is not what its digest says, or something is missing."""
    (report,) = database.execute("pragma quick_check(1)").fetchone()
    if report != "ok":
        raise CorruptStateError(report.splitlines()[0])
    try:
        return read_rows(database)
    except (KeyError, TypeError, ValueError) as err:
        raise CorruptStateError(f"{type(err).__name__}: {err}") from None


def read_rows(database: Any) -> LoadedState:
    """The state in the tables. Raises CorruptStateError, KeyError, TypeError or ValueError."""
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
        raise CorruptStateError(f"entry {last.number} does not match the digest that was taken")
    own = HighWaterMarks(meta.get("incarnation", 0), meta.get("draw", 0))
    # The first start of a disk has its incarnation on it already.
    raised = (
        own
        if view is None and last is None and own.incarnation == 1
        else HighWaterMarks(own.incarnation + 1, secrets.randbits(INCARNATION_ID_BITS))
    )
    return LoadedState(
        str(meta["identity"]),
        int(meta["promised"]),
        view,
        last,
        applied_digests,
        own,
        raised,
        unpack_marks(meta.get("marks", "")),
    )
