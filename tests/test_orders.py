"""Orders of operators: what was taken is never refused, what is refused is never taken (docs/design/orders.md)."""

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
from tests.test_gateway import read_back, rig

#: Seeds of histories with crowds of operators.
CROWDED = [seed for seed in range(400) if shape_of(seed).crowd]
ALONE = View(256, ("a/1",), ("a/1",))


def revision(body: bytes) -> int:
    return int(body.split(b":")[0])


def member(versions: int) -> ChainReplica:
    """One that is head and tail, after so many versions: 10, 20, ..."""
    made = ChainReplica("a", ALONE, revision, digest)
    made.active = True
    for number in range(1, versions + 1):
        made.submit(frames.WriteRequest(number, "client", number * 10 - 10, body(number)), 0.0)
        assert made.persisting is not None
        made.entry_persisted(made.persisting, 0.0)
    return made


def body(number: int) -> bytes:
    return b"%d:x" % (number * 10)


def status(made: ChainReplica, base: int, what: bytes) -> int:
    """What an order is answered at once; 0: it is taken."""
    found = [
        action.frame
        for action in made.submit(frames.WriteRequest(99, "client", base, what), 0.0)
        if isinstance(action, SendMessage)
    ]
    assert all(isinstance(frame, frames.WriteResult) for frame in found)
    return found[0].status if found else 0  # type: ignore[attr-defined]


def test_what_may_have_been_taken_is_left_without_a_clear_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(deduplication, "MAX_DIGESTS", 8)
    made = member(20)
    assert len(made.applied_digests) == 8
    for number in range(1, 21):
        assert status(made, number * 10 - 10, body(number)) == (200 if number > 12 else 503)
    assert status(made, 130, b"135:never") == 412  # known never to have been taken
    assert status(made, 110, b"115:never") == 503  # not known
    assert status(made, 200, b"115:old") == 400  # on top of the newest: nobody who was acknowledged asks so
    assert status(made, 200, b"210:new") == 0


def test_an_order_on_a_version_that_may_come_is_not_refused() -> None:
    """One copy was refused, a later one taken: a configuration came into force that its operator gave up."""
    made = member(2)
    assert status(made, 30, b"40:early") == 503
    assert status(made, 40, b"35:never") == 412  # no number above its own base: that is never valid
    made = member(3)
    assert status(made, 30, b"40:early") == 0


def test_what_was_taken_is_known_before_it_is_checked_again() -> None:
    made = member(2)

    def stricter(what: bytes) -> int:
        raise ValueError("no more")

    made.check = stricter
    assert status(made, 0, body(1)) == 200 and status(made, 20, b"30:x") == 400
    assert status(made, 10, b"25:late") == 412  # on an older version: its body is not read


def test_an_order_that_comes_again_waits_once() -> None:
    made = member(1)
    assert status(made, 10, b"20:first") == 0  # under way
    for _ in range(100):
        made.submit(frames.WriteRequest(7, "client", 10, b"20:other"), 0.0)
        made.submit(frames.WriteRequest(8, "client", 10, b"20:first"), 0.0)
    assert len(made.queue) == 1 and made.pending_callers == [(99, "client"), (8, "client")]
    assert made.persisting is not None
    told = {
        action.frame.request_id: action.frame.status
        for action in made.entry_persisted(made.persisting, 0.0)
        if isinstance(action, SendMessage) and isinstance(action.frame, frames.WriteResult)
    }
    assert told == {99: 200, 8: 200, 7: 412}


# -- between machines ---------------------------------------------------------------------------------------------


def test_a_new_view_brings_to_each_the_digests_that_it_lacks() -> None:
    """Level members are sent one or two; one with an empty disk is sent all that are kept."""
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
    good = deduplication.pack({1: bytes(32), 2: bytes(32)})
    assert (
        deduplication.unpack(good) == {1: bytes(32), 2: bytes(32)}
        and deduplication.pack(deduplication.unpack(good), 1) == good[40:]
    )
    monkeypatch.setattr(deduplication, "MAX_DIGESTS", 2)
    for wrong in (good[:-1], good[40:] + good[:40], good[:40] * 2, deduplication.pack({1: b"", 2: b"", 3: b""})):
        with pytest.raises(frames.FrameError):
            deduplication.unpack(wrong)


def test_a_frame_with_such_digests_closes_its_link() -> None:
    async def scenario() -> None:
        def take(link: Link, frame: frames.Frame) -> None:
            deduplication.unpack(b"x")

        link = Link(Mock(dispatch=take, loop=asyncio.get_running_loop()), "10.0.0.9")
        link.deliver(frames.KeepAlive())
        assert link.closed

    asyncio.run(scenario())


def test_a_machine_takes_up_no_view_whose_digests_it_can_not_complete() -> None:
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
    (saved,) = replica.on_accept(frame, world.now_s)
    assert isinstance(saved, PersistView) and list(saved.applied_digests) == [40, 50]


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


def test_a_write_that_was_refused_and_is_there_all_the_same_was_not_taken(tmp_path: Path) -> None:
    """Its sync failed; what was taken in its place stands on the same base, under another number."""

    async def scenario() -> None:
        store = await stored(tmp_path, 3)
        await store.save_entry(Entry(4, 256, 45, 30, b"45:refused"))
        await store.save_entry(Entry(4, 256, 40, 30, body(4)))
        close(store)
        again = SqliteStore(tmp_path)
        found = await again.load()
        close(again)
        assert (
            list(found.applied_digests) == [10, 20, 30, 40] and found.entry is not None and found.entry.body == body(4)
        )

    asyncio.run(scenario())


def test_the_digests_on_disk_are_bounded_and_written_as_far_as_they_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        store = await stored(tmp_path, 150)
        found = await store.load()
        assert list(found.applied_digests) == [number * 10 for number in range(51, 151)]
        assert store.database is not None
        before = store.database.total_changes
        wanted = dict(list(found.applied_digests.items())[1:]) | {1510: digest(body(151))}
        await store.save_view(ALONE, Entry(151, 256, 1510, 1500, body(151)), wanted)
        assert store.database.total_changes - before < 20
        assert (await store.load()).applied_digests == wanted
        close(store)

    monkeypatch.setattr("cypressbeam.storage.store.MAX_DIGESTS", 100)
    asyncio.run(scenario())
    with sqlite3.connect(tmp_path / FILE_NAME) as database:
        assert database.execute("select count(*) from taken").fetchone() == (100,)
    database.close()


# -- histories ----------------------------------------------------------------------------------------------------


def test_histories_with_crowds_of_operators_keep_the_rule() -> None:
    changes = 0
    for seed in CROWDED[:20]:
        world = runner.play(seed, make_plan(seed))
        assert world.crowd is not None
        changes = max(changes, len(world.chain()))
    assert changes > 4 * operators.KEPT


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
def test_a_rule_on_orders_that_is_left_out_shows(name: str) -> None:
    with faults.fault(name) as options:
        found = runner.search(CROWDED, **options)
    assert found is not None
    assert runner.fails(found[0], make_plan(found[0])) is None  # with the rule in place


# -- whole nodes --------------------------------------------------------------------------------------------------


def test_copies_through_all_nodes_at_once_get_one_answer() -> None:
    """Two changes under one number on one base, each through every node at the same time; then again, later."""

    def change(prefix: str) -> bytes:
        later = demo_configuration(7)
        later["channels"][0]["prefix"] = prefix
        return cbor2.dumps(later)

    async def scenario() -> None:
        async with rig() as made:
            nodes = made.system.machines
            both = [change("/look/"), change("/see/")]
            jobs = [(node, one) for node in nodes for one in both]
            answers = await asyncio.gather(*(push(node, one, 1) for node, one in jobs))
            told = [{code for (_, sent), (code, _) in zip(jobs, answers, strict=True) if sent == one} for one in both]
            assert sorted(told, key=min) == [{200}, {412}]
            winner = both[0] if told[0] == {200} else both[1]
            assert (await read_back(nodes[0])).body == winner
            assert await push(nodes[-1], both[0] if winner == both[1] else both[1], 1) == (
                412,
                b"the current version is 7\n",
            )
            early = cbor2.dumps(demo_configuration(9))
            assert (await push(nodes[0], early, 8))[0] == 503  # version 8 may come
            assert (await push(nodes[0], cbor2.dumps(demo_configuration(8)), 7))[0] == 200
            assert {code for code, _ in await asyncio.gather(*(push(node, early, 8) for node in nodes))} == {200}
            assert {code for code, _ in await asyncio.gather(*(push(node, winner, 1) for node in nodes))} == {200}
            assert (await push(nodes[0], winner[:-3], 9))[0] == 400

    run(scenario())
