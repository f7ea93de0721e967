"""What a loss of power may leave of files, for a store whose real writes are noted.

`Noted` opens the database through a file layer of our own below sqlite (`apsw`): each write, truncation, sync, new and
removed name is noted in its order. `image` then gives the files as a loss of power after any of them may leave them:

- A file holds what its last sync covered; each later write is there, missing or torn, and at some losses all are gone.
- A name that was made, changed or removed since its folder was last synced is as it was or as it is, each by itself.

The node's sqlite is Python's, and the one below is `apsw`'s own, which is newer: the order in which it writes was
compared by hand with the calls that the node's makes (docs/design/disk.md); what is found is read back by the node's.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import shutil
import sqlite3
import tempfile
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import apsw

from cypressbeam.consensus.views import Entry, View
from cypressbeam.storage import files
from cypressbeam.storage import store as stores
from cypressbeam.storage.store import LoadedState, SqliteStore, StoreError

#: A disk writes this much at once, or not.
SECTOR = 512
FULL = "database or disk is full"


@dataclass(frozen=True, slots=True)
class Op:
    """What was done to a file, by its name in the folder."""

    kind: str
    """create, write, truncate, sync, remove, rename, folder (a sync of it); and `done`: a call has returned."""
    name: str = ""
    at: int = 0
    data: bytes = b""
    to: str = ""


class Notes:
    """All that was done, in its order; and whether the disk refuses writes."""

    def __init__(self) -> None:
        self.ops: list[Op] = []
        self.room: int | None = None
        """So many more writes are taken, where the disk is filling up; then none."""
        self.numbers = itertools.count()

    def add(self, kind: str, path: str | Path = "", at: int = 0, data: bytes = b"", to: str | Path = "") -> None:
        self.ops.append(Op(kind, os.path.basename(path), at, data, os.path.basename(to)))

    def take_one(self) -> None:
        if self.room is not None:
            self.room -= 1
            if self.room < 0:
                raise apsw.FullError(FULL)

    def opened(self, path: Path) -> Noted:
        return Noted(self, path)


class NotingFile(apsw.VFSFile):
    def __init__(self, notes: Notes, name: Any, flags: list[int]) -> None:
        self.notes = notes
        self.path = name.filename() if isinstance(name, apsw.URIFilename) else str(name)
        fresh = not os.path.exists(self.path)
        super().__init__("", name, flags)
        # The folder is synced with the first sync of a new log or journal, and of no other file: so does sqlite's.
        self.unnamed = fresh and bool(flags[0] & (apsw.SQLITE_OPEN_WAL | apsw.SQLITE_OPEN_MAIN_JOURNAL))
        if fresh:
            notes.add("create", self.path)

    def xWrite(self, data: Any, offset: int) -> None:  # noqa: N802 (SQLite names it)
        self.notes.take_one()
        self.notes.add("write", self.path, offset, bytes(data))
        super().xWrite(data, offset)

    def xTruncate(self, newsize: int) -> None:  # noqa: N802 (SQLite names it)
        self.notes.take_one()
        self.notes.add("truncate", self.path, newsize)
        super().xTruncate(newsize)

    def xSync(self, flags: int) -> None:  # noqa: N802 (SQLite names it)
        self.notes.take_one()
        self.notes.add("sync", self.path)
        if self.unnamed:
            self.unnamed = False
            self.notes.add("folder")


class NotingVFS(apsw.VFS):
    def __init__(self, notes: Notes) -> None:
        self.notes = notes
        self.named = f"noting-{id(notes)}-{next(notes.numbers)}"
        super().__init__(self.named, "unix")

    def xOpen(self, name: Any, flags: list[int]) -> apsw.VFSFile:  # noqa: N802 (SQLite names it)
        return NotingFile(self.notes, name, flags)

    def xDelete(self, filename: str, syncdir: bool) -> None:  # noqa: N802 (SQLite names it)
        if os.path.exists(filename):
            self.notes.add("remove", filename)
        super().xDelete(filename, syncdir)
        if syncdir:
            self.notes.add("folder")


class Noted:
    """As much of a `sqlite3.Connection` as the store uses."""

    def __init__(self, notes: Notes, path: Path) -> None:
        self.vfs = NotingVFS(notes)
        self.database = apsw.Connection(str(path), vfs=self.vfs.named)
        self.run("pragma wal_autocheckpoint=12")  # so that a short history has many of them

    def run(self, sql: str, values: Any = ()) -> Any:
        try:
            return self.database.execute(sql, values)
        except apsw.Error as err:
            raised = sqlite3.OperationalError(str(err))
            raised.sqlite_errorcode = getattr(err, "result", 1)
            raise raised from None

    def begin(self, sql: str) -> None:
        if sql.startswith(("insert", "update", "delete")) and not self.database.in_transaction:
            self.run("begin")

    def execute(self, sql: str, values: Any = ()) -> Any:
        self.begin(sql)
        return self.run(sql, values)

    def executemany(self, sql: str, rows: Iterable[Any]) -> None:
        for row in rows:
            self.execute(sql, row)

    def executescript(self, sql: str) -> None:
        self.run(sql)

    def __enter__(self) -> Noted:
        return self

    def __exit__(self, kind: Any, *_: object) -> None:
        if self.database.in_transaction:
            self.run("rollback" if kind else "commit")

    def close(self) -> None:
        try:
            self.database.close()
        except apsw.Error as err:
            raise sqlite3.OperationalError(str(err)) from None


# -- what is left ------------------------------------------------------------------------------------------------


@dataclass
class Held:
    """One file's bytes: those that are safe, and what was done since."""

    safe: bytes = b""
    since: list[Op] = field(default_factory=list)


def apply(data: bytearray, op: Op) -> None:
    if op.kind == "truncate":
        del data[op.at :]
        data.extend(bytes(op.at - len(data)))
        return
    data.extend(bytes(max(op.at + len(op.data) - len(data), 0)))
    data[op.at : op.at + len(op.data)] = op.data


def tear(op: Op, rng: random.Random) -> Iterator[Op]:
    """Some sectors of a write, and of one of them perhaps a part."""
    for at in range(0, len(op.data), SECTOR):
        part = op.data[at : at + SECTOR]
        if rng.random() < 0.5:
            yield Op("write", op.name, op.at + at, part[: rng.randint(1, SECTOR)] if rng.random() < 0.2 else part)


def left_of(held: Held, rng: random.Random, share: float) -> bytes:
    """`share` of the writes since the last sync; a third of the others is torn."""
    data = bytearray(held.safe)
    for op in held.since:
        if rng.random() < share:
            apply(data, op)
        elif op.kind == "write" and share > 0.0 and rng.random() < 0.33:
            for part in tear(op, rng):
                apply(data, part)
    return bytes(data)


def image(ops: Iterable[Op], rng: random.Random) -> dict[str, bytes]:
    """The files after a loss of power right after the last of these."""
    safe: dict[str, Held] = {}
    names: dict[str, Held] = {}
    moved: list[tuple[str, Op, Held]] = []
    for op in ops:
        if op.kind == "create":
            names[op.name] = Held()
            moved.append((op.name, op, names[op.name]))
        elif op.kind in ("write", "truncate"):
            names[op.name].since.append(op)
        elif op.kind == "sync":
            names[op.name].safe = left_of(names[op.name], rng, 1.0)
            names[op.name].since.clear()
        elif op.kind in ("remove", "rename"):
            held = names.pop(op.name)
            if op.to:
                names[op.to] = held
            moved.append((op.name, op, held))
        elif op.kind == "folder":
            safe, moved = dict(names), []
    share = rng.choice((0.0, 0.0, 0.5, 0.9, 1.0))
    for name, op, held in moved:
        if rng.random() < 0.5:
            continue
        if op.kind == "create":
            safe[name] = held
        elif safe.get(name) is held:
            del safe[name]
        if op.to:
            safe[op.to] = held
    return {name: left_of(held, rng, share) for name, held in sorted(safe.items())}


async def read_back(found: dict[str, bytes]) -> LoadedState:
    """What a node that starts from these files takes up. Raises StoreError."""
    folder = Path(tempfile.mkdtemp(prefix="cypressbeam-image-"))
    try:
        for name, data in found.items():
            (folder / name).write_bytes(data)
        store = SqliteStore(folder)
        try:
            return await store.load()
        finally:
            store.close()
            store.thread.join()
    finally:
        shutil.rmtree(folder)


# -- a store's life, and what must be left of it ------------------------------------------------------------------


class LostWriteError(Exception):
    """After a loss of power the disk holds what it may not."""


@dataclass(frozen=True, slots=True)
class Kept:
    """What a disk must hold. An identity of "" is any: nobody was told it yet."""

    identity: str = ""
    promised: int = 0
    view: View | None = None
    last: Entry | None = None

    def fits(self, found: LoadedState) -> bool:
        return self.identity in ("", found.identity) and (self.promised, self.view, self.last) == (
            found.promised,
            found.view,
            found.entry,
        )


@dataclass
class Life:
    """What was done, and what the disk may hold: before the first call returned, after it, and so on."""

    notes: Notes = field(default_factory=Notes)
    may: list[frozenset[Kept]] = field(default_factory=lambda: [frozenset({Kept()})])
    also: frozenset[Kept] = frozenset()
    """What a refused write may have left: on some disks it is there in the end."""

    async def call(self, work: Awaitable[Any], after: Callable[[Kept], Kept], refused: bool = False) -> Any:
        """One call of a store. While it runs the disk may hold what was before or what is after."""
        now = self.may[-1]
        self.may[-1] = now | frozenset(map(after, now))
        try:
            done = await work
        except StoreError:
            if not refused:
                raise
            self.may.append(self.may[-1])
        else:
            self.may.append(frozenset(map(after, now)))
            if isinstance(done, LoadedState):
                self.may[-1] = frozenset({replace(kept, identity=done.identity) for kept in self.may[-1]})
        self.notes.add("done")

    def check(self, point: int, seed: int, ops: Sequence[Op] | None = None) -> None:
        """Power is lost after so many operations. Raises LostWriteError."""
        ops = self.notes.ops if ops is None else ops
        found = image(ops[:point], random.Random(f"{point} {seed}"))
        told = asyncio.run(read_back(found))
        may = self.may[sum(op.kind == "done" for op in ops[:point])]
        if not any(kept.fits(told) for kept in may):
            held = (told.identity, told.promised, told.view and told.view.epoch, told.entry and told.entry.number)
            raise LostWriteError(f"after {point} operations, seed {seed}: the disk holds {held} of {sorted(found)}")


@contextmanager
def noting(notes: Notes) -> Iterator[None]:
    """Names that the store changes by itself are noted too."""
    rename, sync_folder = files.replace_file, files.sync_folder

    def noted_rename(old: Path, new: Path) -> None:
        rename(old, new)
        notes.add("rename", old, to=new)

    files.replace_file = noted_rename
    files.sync_folder = lambda folder: notes.add("folder")
    try:
        yield
    finally:
        files.replace_file, files.sync_folder = rename, sync_folder


def entry(number: int, epoch: int) -> Entry:
    return Entry(number, epoch, number * 10, number * 10 - 10, random.Random(number).randbytes(3000))


def view(epoch: int, began: int = 0) -> View:
    names = ("10.0.0.1/a", "10.0.0.2/b")
    return View(epoch, names, names, began)


async def live(life: Life, folder: Path) -> None:
    """A disk is first used, checkpointed, full at each of a commit's writes, closed, used again, and set aside."""
    store = SqliteStore(folder, life.notes.opened)

    async def promise(epoch: int) -> None:
        await life.call(store.save_promise(epoch), lambda kept: replace(kept, promised=max(kept.promised, epoch)))

    async def hold(epoch: int, last: Entry | None) -> None:
        held = view(epoch, last.number if last else 0)
        await life.call(
            store.save_view(held, last, {}),
            lambda kept: replace(kept, promised=max(kept.promised, epoch), view=held, last=last),
        )

    async def put(number: int, epoch: int, refused: bool = False) -> None:
        new = entry(number, epoch)
        await life.call(store.save_entry(new), lambda kept: replace(kept, last=new), refused)

    await life.call(store.load(), lambda kept: kept)
    await hold(256, None)
    for number in range(1, 6):
        await put(number, 256)
    await promise(512)
    await hold(512, entry(5, 512))
    for room in range(12):  # the disk fills up within a commit, and has room again
        life.notes.room = room
        await put(6 + room, 512, refused=True)
        life.notes.room = None
        await put(6 + room, 512)
    store.close()
    store.thread.join()
    store = SqliteStore(folder, life.notes.opened)
    await life.call(store.load(), lambda kept: kept)
    await promise(768)
    await put(18, 512)
    await life.call(store.load(reset=True), lambda kept: Kept())
    await promise(1024)
    await hold(1024, entry(1, 1024))
    store.close()
    store.thread.join()


def lived(folder: Path) -> Life:
    life, limit = Life(), stores.WAL_LIMIT_BYTES
    stores.WAL_LIMIT_BYTES = 16384
    try:
        with noting(life.notes):
            asyncio.run(live(life, folder))
    finally:
        stores.WAL_LIMIT_BYTES = limit
    return life


def without(ops: Sequence[Op], kind: str) -> list[Op]:
    """A seeded fault: nothing of this kind is ever done."""
    return [op for op in ops if op.kind != kind]


def search(folder: Path, seeds: int) -> str:
    """A loss of power after each operation, `seeds` times: the first that leaves what it may not, or that none does."""
    life = lived(folder)
    for point in range(len(life.notes.ops) + 1):
        for seed in range(seeds):
            try:
                life.check(point, seed)
            except LostWriteError as err:
                return str(err)
    return f"{len(life.notes.ops)} operations, {seeds} losses of power after each: nothing lost"
