"""Writes of operators: an applied write is never rejected, a rejected one is never applied (docs/design/orders.md)."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path
from unittest.mock import Mock

import cbor2
import pytest

from cypressbeam.consensus import deduplication
from cypressbeam.consensus.chain import ChainReplica
from cypressbeam.consensus.effects import PersistEntry, PersistView, SendMessage
from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol import frames
from cypressbeam.protocol.configuration import digest
from cypressbeam.storage.store import FILE_NAME, SqliteStore
from cypressbeam.transport.peers import Link
from lab.histories import faults, invariants, operators, runner
from lab.histories.plans import make_plan, shape_of
from lab.histories.world import World
from lab.local_cluster import demo_configuration, push
from tests.loopback import run
from tests.test_gateway import read_configuration, running_system

#: Seeds of histories with many operators.
CROWDED = [seed for seed in range(400) if shape_of(seed).many_operators]
ALONE = View(256, ("a/1",), ("a/1",))


def revision(body: bytes) -> int:
    return int(body.split(b":")[0])


def member(versions: int) -> ChainReplica:
    """A replica that is both head and tail, after `versions` writes with revisions 10, 20, ..."""
    replica = ChainReplica("a", ALONE, revision, digest)
    replica.active = True
    for number in range(1, versions + 1):
        replica.submit(frames.WriteRequest(number, "client", number * 10 - 10, body(number)), 0.0)
        assert replica.persisting is not None
        replica.entry_persisted(replica.persisting, 0.0)
    return replica


def body(number: int) -> bytes:
    return b"%d:x" % (number * 10)


def status(replica: ChainReplica, base: int, submitted: bytes) -> int:
    """The status with which a write is answered immediately; 0 if it is accepted."""
    results = [
        effect.frame
        for effect in replica.submit(frames.WriteRequest(99, "client", base, submitted), 0.0)
        if isinstance(effect, SendMessage)
    ]
    assert all(isinstance(frame, frames.WriteResult) for frame in results)
    return results[0].status if results else 0  # type: ignore[attr-defined]


def test_a_write_that_may_have_been_applied_gets_no_definite_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(deduplication, "MAX_DIGESTS", 8)
    replica = member(20)
    assert len(replica.applied_digests) == 8
    for number in range(1, 21):
        assert status(replica, number * 10 - 10, body(number)) == (200 if number > 12 else 503)
    assert status(replica, 130, b"135:never") == 412  # certainly never applied
    assert status(replica, 110, b"115:never") == 503  # unknown whether it was applied
    assert status(replica, 200, b"115:old") == 400  # based on the current version, so it was not applied before
    assert status(replica, 200, b"210:new") == 0


def test_a_write_whose_base_may_become_current_is_not_rejected() -> None:
    """If one copy were rejected and a delayed one applied, a configuration that its operator had given up would become
    current."""
    replica = member(2)
    assert status(replica, 30, b"40:early") == 503
    assert status(replica, 40, b"35:never") == 412  # its revision is below its base, so it is never valid
    replica = member(3)
    assert status(replica, 30, b"40:early") == 0


def test_an_applied_write_is_recognised_before_validation() -> None:
    replica = member(2)

    def stricter(submitted: bytes) -> int:
        raise ValueError("no longer valid")

    replica.check = stricter
    assert status(replica, 0, body(1)) == 200 and status(replica, 20, b"30:x") == 400
    assert status(replica, 10, b"25:late") == 412  # on an older version: its body is not checked


def test_a_repeated_write_is_queued_once() -> None:
    replica = member(1)
    assert status(replica, 10, b"20:first") == 0  # in flight
    for _ in range(100):
        replica.submit(frames.WriteRequest(7, "client", 10, b"20:other"), 0.0)
        replica.submit(frames.WriteRequest(8, "client", 10, b"20:first"), 0.0)
    assert len(replica.queue) == 1 and replica.pending_callers == [(99, "client"), (8, "client")]
    assert replica.persisting is not None
    statuses = {
        effect.frame.request_id: effect.frame.status
        for effect in replica.entry_persisted(replica.persisting, 0.0)
        if isinstance(effect, SendMessage) and isinstance(effect.frame, frames.WriteResult)
    }
    assert statuses == {99: 200, 8: 200, 7: 412}


# -- between machines ---------------------------------------------------------------------------------------------


def test_a_new_view_sends_each_member_the_digests_that_it_lacks() -> None:
    """Members with equal logs are sent one or two digests; a member with an empty disk is sent all digests kept."""
    world = World(1, loss=0.0)
    world.run(1.0)
    for ip, replica in world.replicas.items():
        assert replica.state.chain is not None
        for number in range(1, deduplication.MAX_DIGESTS + 1000):
            entry = Entry(number, replica.state.chain.view.epoch, number * 10, number * 10 - 10, body(number))
            replica.state.chain.entry_persisted(entry, world.now_s)
            replica.state.chain.committed = number
            world.disks[ip].write(PersistEntry(entry))
        assert (
            len(replica.state.chain.applied_digests) == deduplication.MAX_DIGESTS
            and len(world.disks[ip].taken) == deduplication.MAX_DIGESTS
        )
    sent: dict[str, list[int]] = {"a": [], "b": [], "c": []}
    real = world.send

    def send(origin: str, ip: str, frame: frames.Frame) -> None:
        if isinstance(frame, (frames.Promise, frames.Accept)):
            sent[ip].append(len(frame.pack()))
        real(origin, ip, frame)

    world.send = send  # type: ignore[method-assign]
    world.stop("c", wipe=True)
    world.run(world.now_s + 5.0)
    assert max(sent["a"] + sent["b"]) < 400
    world.start("c")
    world.run(world.now_s + 5.0)
    assert max(sent["a"] + sent["b"]) < 400 and sent["c"][-1] > deduplication.MAX_DIGESTS * 40
    new = world.replicas["c"].state.chain
    assert new is not None and new.active and len(new.applied_digests) == deduplication.MAX_DIGESTS
    assert new.applied_digests == world.disks["a"].taken


def test_digests_that_can_not_be_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    packed = deduplication.pack({1: bytes(32), 2: bytes(32)})
    assert (
        deduplication.unpack(packed) == {1: bytes(32), 2: bytes(32)}
        and deduplication.pack(deduplication.unpack(packed), 1) == packed[40:]
    )
    monkeypatch.setattr(deduplication, "MAX_DIGESTS", 2)
    for invalid in (
        packed[:-1],
        packed[40:] + packed[:40],
        packed[:40] * 2,
        deduplication.pack({1: b"", 2: b"", 3: b""}),
    ):
        with pytest.raises(frames.FrameError):
            deduplication.unpack(invalid)


def test_a_frame_with_invalid_digests_closes_its_link() -> None:
    async def scenario() -> None:
        def dispatch(link: Link, frame: frames.Frame) -> None:
            deduplication.unpack(b"x")

        link = Link(Mock(dispatch=dispatch, loop=asyncio.get_running_loop()), "10.0.0.9")
        link.deliver(frames.KeepAlive())
        assert link.closed

    asyncio.run(scenario())


def test_a_view_whose_digests_cannot_be_completed_is_not_accepted() -> None:
    world = World(1, loss=0.0)
    world.run(1.0)
    replica = world.replicas["c"]
    group = tuple(disk.name for disk in world.disks.values())
    frame = frames.Accept(
        replica.voter.promised + 256,
        group,
        group,
        5,
        50,
        40,
        body(5),
        deduplication.pack({50: invariants.digest(body(5))}),
        40,
    )
    assert replica.on_accept(frame, world.now_s) == []
    replica.state.stored_digests[40] = invariants.digest(body(4))
    (persist,) = replica.on_accept(frame, world.now_s)
    assert isinstance(persist, PersistView) and list(persist.applied_digests) == [40, 50]


# -- on disk ------------------------------------------------------------------------------------------------------


async def stored(folder: Path, versions: int) -> SqliteStore:
    store = SqliteStore(folder)
    await store.load()
    await store.save_view(ALONE, None, {})
    for number in range(1, versions + 1):
        await store.save_entry(Entry(number, 256, number * 10, number * 10 - 10, body(number)))
    return store


def close(store: SqliteStore) -> None:
    store.close()
    store.thread.join()


def test_an_entry_that_was_stored_by_a_failed_write_does_not_count_as_applied(tmp_path: Path) -> None:
    """The sync of the entry failed after it was stored; the write applied instead has the same base and another
    revision."""

    async def scenario() -> None:
        store = await stored(tmp_path, 3)
        await store.save_entry(Entry(4, 256, 45, 30, b"45:refused"))
        await store.save_entry(Entry(4, 256, 40, 30, body(4)))
        close(store)
        reopened = SqliteStore(tmp_path)
        loaded = await reopened.load()
        close(reopened)
        assert (
            list(loaded.applied_digests) == [10, 20, 30, 40]
            and loaded.entry is not None
            and loaded.entry.body == body(4)
        )

    asyncio.run(scenario())


def test_the_digests_on_disk_are_bounded_and_only_changes_are_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        store = await stored(tmp_path, 150)
        loaded = await store.load()
        assert list(loaded.applied_digests) == [number * 10 for number in range(51, 151)]
        assert store.database is not None
        before = store.database.total_changes
        digests = dict(list(loaded.applied_digests.items())[1:]) | {1510: digest(body(151))}
        await store.save_view(ALONE, Entry(151, 256, 1510, 1500, body(151)), digests)
        assert store.database.total_changes - before < 20
        assert (await store.load()).applied_digests == digests
        close(store)

    monkeypatch.setattr("cypressbeam.storage.store.MAX_DIGESTS", 100)
    asyncio.run(scenario())
    with sqlite3.connect(tmp_path / FILE_NAME) as database:
        assert database.execute("select count(*) from taken").fetchone() == (100,)
    database.close()


# -- histories ----------------------------------------------------------------------------------------------------


def test_histories_with_many_operators_keep_the_invariants() -> None:
    most_writes = 0
    for seed in CROWDED[:20]:
        world = runner.play(seed, make_plan(seed))
        assert world.many_operators is not None
        most_writes = max(most_writes, len(world.chain()))
    assert most_writes > 4 * operators.KEPT_DIGESTS


@pytest.mark.parametrize(
    "name",
    [
        "refuse-what-is-forgotten",
        "refuse-a-later-base",
        "join-by-number",
        "know-by-number",
        "count-the-newest-as-committed",
        "keep-a-refused-write",
    ],
)
def test_a_disabled_rule_on_writes_is_detected(name: str) -> None:
    with faults.fault(name) as options:
        found = runner.search(CROWDED, **options)
    assert found is not None
    assert runner.fails(found[0], make_plan(found[0])) is None  # with the rule enabled


# -- whole nodes --------------------------------------------------------------------------------------------------


def test_copies_of_a_write_through_all_nodes_get_the_same_answer() -> None:
    """Two writes with the same revision and base are sent through every node at once, and again later."""

    def configuration(prefix: str) -> bytes:
        value = demo_configuration(7)
        value["channels"][0]["prefix"] = prefix
        return cbor2.dumps(value)

    async def scenario() -> None:
        async with running_system() as setup:
            nodes = setup.system.machines
            both = [configuration("/look/"), configuration("/see/")]
            calls = [(node, change) for node in nodes for change in both]
            answers = await asyncio.gather(*(push(node, change, 1) for node, change in calls))
            statuses = [
                {code for (_, sent), (code, _) in zip(calls, answers, strict=True) if sent == change} for change in both
            ]
            assert sorted(statuses, key=min) == [{200}, {412}]
            winner = both[0] if statuses[0] == {200} else both[1]
            assert (await read_configuration(nodes[0])).body == winner
            assert await push(nodes[-1], both[0] if winner == both[1] else both[1], 1) == (
                412,
                b"the current version is 7\n",
            )
            early = cbor2.dumps(demo_configuration(9))
            assert (await push(nodes[0], early, 8))[0] == 503  # version 8 may still become current
            assert (await push(nodes[0], cbor2.dumps(demo_configuration(8)), 7))[0] == 200
            assert {code for code, _ in await asyncio.gather(*(push(node, early, 8) for node in nodes))} == {200}
            assert {code for code, _ in await asyncio.gather(*(push(node, winner, 1) for node in nodes))} == {200}
            assert (await push(nodes[0], winner[:-3], 9))[0] == 400

    run(scenario())
