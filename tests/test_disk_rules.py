"""Unit tests of the rules in docs/design/disk.md: rollback detection, and the files of the state."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from cypressbeam.consensus.effects import ResetIdentity
from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol import frames
from cypressbeam.storage import files
from cypressbeam.storage.store import FILE_NAME, SqliteStore, StoreError
from lab.histories import invariants
from lab.histories.network import CLIENT
from tests.core_parts import GROUP, VIEW, accept, exchange_heartbeats, heartbeat, idle_world, promise, sent_frames

#: What b has reported, and fields of heartbeats that report less.
REPORTED = heartbeat("b/0", incarnation=3, draw=9)
LOWER_FIELDS: dict[str, dict[str, Any]] = {
    "a start": {"incarnation": 2},
    "another start from the same copy": {"draw": 8},
    "a promise": {"durable_promise": 255},
    "an entry": {"stored_number": 0},
    "a view": {"stored_epoch": 0},
}


@pytest.mark.parametrize("what", LOWER_FIELDS)
def test_a_member_that_reports_less_than_before_is_rejected_and_notified(what: str) -> None:
    world = idle_world()
    replica, now_s = world.replicas["a"], world.now_s
    exchange_heartbeats(replica, now_s, REPORTED)
    peer = replica.failure_detector.peers["b"]
    effects = exchange_heartbeats(replica, now_s + 0.2, replace(REPORTED, sequence=5, **LOWER_FIELDS[what]))
    assert (
        replica.failure_detector.peers["b"] is peer
        and peer.last_alive_s == now_s
        and replica.rollback.rejected == {"b/0"}
    )
    notice, answer = sent_frames(effects)
    assert notice == frames.RollbackNotice("b/0", 3, 9, 256, 256, 1) and answer.echoed_sequence == 5
    replica.proposer.propose(now_s)
    assert replica.proposer.proposal is not None
    lower = promise("b/0", replica.proposer.proposal.epoch)  # of an earlier incarnation than the one reported
    assert [type(frame) for frame in sent_frames(replica.proposer.on_promise(lower, now_s))] == [frames.RollbackNotice]
    assert not replica.proposer.proposal.promises


def test_a_rejected_member_confirms_nothing() -> None:
    world = idle_world()
    replica = world.replicas["c"]
    assert replica.read(frames.ReadRequest(7, CLIENT), world.now_s)
    replica.rollback.rejected.add("b/0")
    assert replica.reads.on_ack(frames.QuorumReadAck(256, 7, "b/0"), world.now_s) == []
    replica.rollback.rejected.clear()
    assert replica.reads.on_ack(frames.QuorumReadAck(256, 7, "b/0"), world.now_s)


def rollback_notice(name: str, number: int) -> frames.RollbackNotice:
    return frames.RollbackNotice(name, 0, 0, 0, 256, number)


def test_a_machine_compares_a_rollback_notice_with_its_own_disk() -> None:
    for name, number, rolled_back in (("a/0", 1, False), ("b/0", 9, False), ("a/0", 9, True)):
        world = idle_world()
        replica = world.replicas["a"]
        replica.on_rollback_notice(rollback_notice(name, number), world.now_s)
        assert bool(replica.rollback.reason) is rolled_back and replica.state.is_active() is not rolled_back


def test_a_rolled_back_machine_promises_accepts_and_confirms_nothing() -> None:
    world = idle_world()
    replica, now_s = world.replicas["b"], world.now_s
    replica.rollback.mark_rolled_back("this disk is an older copy")
    assert replica.state.chain is not None and replica.state.chain.sealed and not replica.disk_works(now_s)
    assert replica.own_heartbeat(now_s).disk_flags == 0
    assert replica.on_prepare(frames.Prepare(1024, "a/0"), now_s) == [] and replica.voter.promised == 256
    assert replica.on_accept(accept(1024), now_s) == []
    assert replica.voter.on_read_check(frames.QuorumReadCheck(256, 7, "c")) == []


@pytest.mark.parametrize(
    ("name", "entry", "epoch", "rolled_back"),
    [
        ("a/0", 2, 256, False),
        ("a/0", 3, 256, True),
        ("c/0", 1, 256, False),
        ("c/0", 2, 256, True),
        ("c/0", 2, 512, False),
    ],
)
def test_entry_numbers_of_the_chain_reveal_a_rollback_within_an_epoch(
    name: str, entry: int, epoch: int, rolled_back: bool
) -> None:
    """Here b has entry 1. Its predecessor in the chain may have one entry more, its successor may not."""
    world = idle_world()
    replica = world.replicas["b"]
    replica.on_heartbeat(heartbeat(name, stored_number=entry, stored_epoch=epoch), world.now_s)
    assert bool(replica.rollback.reason) is rolled_back


@pytest.mark.parametrize(("newer", "alive", "resets"), [("bc", "bc", True), ("b", "bc", False), ("bc", "b", False)])
def test_a_rolled_back_machine_resets_its_identity_once_a_live_majority_has_newer_state(
    newer: str, alive: str, resets: bool
) -> None:
    world = idle_world()
    replica, now_s = world.replicas["a"], world.now_s + 5.0
    replica.rollback.mark_rolled_back("this disk is an older copy")
    others = [heartbeat(f"{ip}/0", stored_number=2 if ip in newer else 1, epoch=256) for ip in "bc"]
    for frame in others:
        replica.on_heartbeat(frame, now_s)
    exchange_heartbeats(replica, now_s, *(frame for frame in others if frame.name[0] in alive))
    assert (ResetIdentity(replica.rollback.reason) in replica.tick(now_s)) is resets


def test_the_end_of_a_view_records_its_committed_entry_for_the_chain() -> None:
    world = idle_world()
    replica = world.replicas["a"]
    replica.rollback.reported = {"b/0": HighWaterMarks(3, 9, 256, 256, 0)}
    replica.install_view(replace(VIEW, epoch=512))
    assert replica.rollback.reported == {"b/0": HighWaterMarks(3, 9, 256, 256, 1)}


def test_only_persisted_state_is_reported() -> None:
    replica = Replica("a/0", 2, invariants.revision, invariants.digest, lambda: 0.5)
    replica.restore_marks(HighWaterMarks(1, 5), HighWaterMarks(2, 6), {})
    replica.load(VIEW, 256, None, {}, 0.0)
    assert replica.on_prepare(frames.Prepare(1024, "b/0"), 0.0)
    heartbeats = [replica.own_heartbeat(0.0)]
    replica.promise_persisted(1024, "b", 0.1)
    heartbeats.append(replica.own_heartbeat(0.1))
    assert [(one.promised, one.durable_promise, one.incarnation, one.draw) for one in heartbeats] == [
        (1024, 256, 1, 5),
        (1024, 1024, 2, 6),
    ]


# -- files --------------------------------------------------------------------------------------------------------


def with_store(folder: Path, what: Any) -> Any:
    """Load the store of a folder and return the result of an operation on it."""

    async def scenario() -> Any:
        store = SqliteStore(folder)
        try:
            store.found = await store.load()  # type: ignore[attr-defined]
            found = what(store)
            return await found if isinstance(found, Coroutine) else found
        finally:
            store.close()
            store.thread.join()

    return asyncio.run(scenario())


def entry(number: int) -> Entry:
    return Entry(number, 256, number * 10, number * 10 - 10, bytes([number]) * 100)


async def fill(store: SqliteStore) -> None:
    await store.save_view(View(256, GROUP, GROUP), None, {})
    for number in range(1, 7):
        await store.save_entry(entry(number))


def query(folder: Path, statement: str) -> list[Any]:
    database = sqlite3.connect(folder / FILE_NAME)
    try:
        found = database.execute(statement).fetchall()
        database.commit()
        return found
    finally:
        database.close()


def test_the_last_three_bodies_are_kept_and_a_view_replaces_them(tmp_path: Path) -> None:
    with_store(tmp_path, fill)
    assert query(tmp_path, "select number from entry order by number") == [(4,), (5,), (6,)]
    with_store(tmp_path, lambda store: store.save_view(View(512, GROUP, GROUP), entry(6), {60: b"x"}))
    assert query(tmp_path, "select number from entry") == [(6,)] and query(tmp_path, "select epoch from view") == [
        (512,)
    ]


def test_a_persisted_promise_never_decreases_and_a_view_persists_its_own_epoch(tmp_path: Path) -> None:
    async def promise_and_view(store: SqliteStore) -> None:
        await store.save_promise(1024)
        await store.save_promise(768)
        await store.save_view(View(2048, GROUP, GROUP), None, {})

    with_store(tmp_path, promise_and_view)
    assert with_store(tmp_path, lambda store: store.found.promised) == 2048
    with_store(tmp_path, lambda store: store.save_promise(512))
    assert with_store(tmp_path, lambda store: store.found.promised) == 2048


def test_each_commit_is_synced(tmp_path: Path) -> None:
    async def synced(store: SqliteStore) -> int:
        return await store.run(lambda database: int(database.execute("pragma synchronous").fetchone()[0]))

    assert with_store(tmp_path, synced) == 2  # full


def test_a_failed_write_closes_the_database_and_the_next_one_reopens_it(tmp_path: Path) -> None:
    def fail(database: Any) -> None:
        raise sqlite3.OperationalError("disk I/O error")

    async def fail_and_probe(store: SqliteStore) -> tuple[Any, Any]:
        before = store.database
        with pytest.raises(StoreError, match="disk I/O"):
            await store.write(fail)
        closed = store.database
        await store.probe()
        return closed, store.database is before

    assert with_store(tmp_path, fail_and_probe) == (None, False)


@pytest.mark.parametrize(
    "corruption",
    [
        "update entry set body = zeroblob(100) where number = 6",
        "update taken set digest = zeroblob(32) where revision = 60",
    ],
)
def test_an_entry_that_does_not_match_its_digest_is_not_loaded(tmp_path: Path, corruption: str) -> None:
    with_store(tmp_path, fill)
    assert with_store(tmp_path, lambda store: store.found.entry) == entry(6)
    query(tmp_path, corruption)
    assert with_store(tmp_path, lambda store: store.found.entry) is None


class CorruptConnection(sqlite3.Connection):
    """A database with all rows present and one corrupt page."""

    def execute(self, statement: str, *values: Any) -> sqlite3.Cursor:
        return super().execute("select 'page 3 is corrupt'" if "quick_check" in statement else statement, *values)


def test_all_pages_are_checked_at_load(tmp_path: Path) -> None:
    with_store(tmp_path, fill)
    opened = list[str]()

    def connect(path: Path) -> sqlite3.Connection:
        opened.append(path.name)
        return sqlite3.connect(
            path, check_same_thread=False, factory=CorruptConnection if len(opened) == 1 else sqlite3.Connection
        )

    async def scenario() -> Any:
        store = SqliteStore(tmp_path, connect)
        try:
            return await store.load()
        finally:
            store.close()
            store.thread.join()

    assert asyncio.run(scenario()).entry is None and (tmp_path / f"{FILE_NAME}.aside-1").exists()


def test_a_database_is_set_aside_before_its_log_and_under_a_free_name(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    moved: list[str] = []
    real = files.replace_file

    def rename(path: Path, target: Path) -> None:
        moved.append(path.name)
        real(path, target)

    monkeypatch.setattr(files, "replace_file", rename)

    def set_aside(store: SqliteStore) -> None:
        (tmp_path / f"{FILE_NAME}-journal").write_bytes(b"left")
        store._set_aside()

    for number in (1, 2):
        with_store(tmp_path, set_aside)
        assert moved == [FILE_NAME, f"{FILE_NAME}-journal"]
        moved.clear()
        assert (tmp_path / f"{FILE_NAME}.aside-{number}").exists()


def test_a_log_without_its_database_is_not_used_for_a_new_one(tmp_path: Path) -> None:
    with_store(tmp_path, fill)
    (tmp_path / FILE_NAME).unlink()
    (tmp_path / f"{FILE_NAME}-wal").write_bytes(b"of the one that was")
    assert with_store(tmp_path, lambda store: store.found.entry) is None
    assert (tmp_path / f"{FILE_NAME}.aside-1-wal").read_bytes() == b"of the one that was"
