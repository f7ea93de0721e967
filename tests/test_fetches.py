"""A fetch is bounded: whatever one source, one connection or one version does, a node is not behind for long."""

from __future__ import annotations

import asyncio
import logging
import socket

import pytest
import uvloop

from cypressbeam.protocol import delta, frames
from cypressbeam.protocol.configuration import digest
from cypressbeam.transport import peers
from cypressbeam.transport.blobs import fetcher
from cypressbeam.transport.blobs.fetcher import Fetcher
from cypressbeam.transport.peers import BULK_LANE, Peers
from lab import fetches
from lab.membership import Cluster
from tests.test_news import Line


def cut_off(line: Line, number: int) -> None:
    """A node's transfers stand still: it hears what is wanted and sends nothing."""
    line.peers[number].blobs.server.on_chunk_request = lambda link, frame: None  # type: ignore[method-assign]


@pytest.mark.parametrize("policy", [uvloop.new_event_loop, asyncio.new_event_loop])
def test_two_lanes_that_come_up_in_one_turn_both_live(policy: object, monkeypatch: pytest.MonkeyPatch) -> None:
    """Incident 014. The connection for frames comes up and has the other one, which hangs, begun anew, in the turn in
    which that one comes up too: cancelled then, uvloop closes it, and nobody is told."""
    monkeypatch.setattr(peers, "CONNECT_RESTART_AFTER_S", 0.0)  # stands for a full link, on which connects take longer
    came: list[frames.Frame] = []

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
        one = Peers("127.0.0.1", port, lambda link, frame: None, lambda link: None, 100.0)
        other = Peers("127.0.0.2", port, lambda link, frame: came.append(frame), lambda link: None, 100.0)
        await other.listen()
        for number in range(20):
            small, large = one.link_to(other.ip), one.bulk_link_to(other.ip)
            await asyncio.sleep(0.01)
            large.send(frames.SuspectReport(str(number)))
            await asyncio.sleep(0.005)
            small.close()
            large.close()
        one.close()
        other.close()

    loop = policy()  # type: ignore[operator]
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()
    assert came == [frames.SuspectReport(str(number)) for number in range(20)]


def test_a_connect_that_is_begun_anew_as_it_comes_up_leaves_no_dead_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """The same on the simulated network, which closes a cancelled connect as uvloop does."""
    line = Line(2)
    made = peers.ConnectAttempt.connection_made
    begun = [0]

    def connection_made(self: peers.ConnectAttempt, transport: asyncio.BaseTransport) -> None:
        link = line.peers[0].outbound.get((line.hosts[1].ip, BULK_LANE))
        if link is not None and link.connecting is not None and not begun[0]:
            begun[0] += 1
            line.at(0, line.peers[0].restart_connect, link, link.connecting)
        made(self, transport)

    monkeypatch.setattr(peers.ConnectAttempt, "connection_made", connection_made)
    got: list[bytes] = []
    line.need(0, line.peers[1].blobs.store.put(b"body"), 1, got)
    line.run(0.2)
    assert begun == [1] and got == [b"body"]


def test_a_connection_that_is_over_and_was_never_told_so_is_lost_when_written_to() -> None:
    line = Line(2)
    got: list[bytes] = []
    line.need(0, line.peers[1].blobs.store.put(b"first"), 1, got)
    line.run(0.1)
    line.peers[0].outbound[line.hosts[1].ip, BULK_LANE].transport.vanish()  # type: ignore[union-attr]
    line.need(0, line.peers[1].blobs.store.put(b"second"), 1, got)
    line.run(0.7)
    assert got == [b"first", b"second"]


def test_a_source_that_sends_nothing_gives_way_to_one_that_was_not_told_of() -> None:
    line = Line(3)
    body = bytes(line.net.rng.getrandbits(8) for _ in range(60_000))
    got: list[bytes] = []
    mark = line.peers[0].blobs.store.put(body)
    line.peers[1].blobs.store.put(body)
    cut_off(line, 0)
    line.peers[2].blobs.fetcher.other_sources = lambda: [line.hosts[0].ip, line.hosts[1].ip]
    line.need(2, mark, 0, got)
    line.run(fetcher.STALL_S * (1 + fetcher.STALL_JITTER) + 60_000 * 8e-6 / (2.75 / 2) + 0.3)
    assert got == [body]


def test_one_that_stalls_midway_goes_on_elsewhere_where_it_stopped() -> None:
    line = Line(3)
    body = bytes(line.net.rng.getrandbits(8) for _ in range(60_000))
    got: list[bytes] = []
    mark = line.peers[0].blobs.store.put(body)
    line.peers[1].blobs.store.put(body)
    line.peers[2].blobs.fetcher.other_sources = lambda: [line.hosts[1].ip]
    line.need(2, mark, 0, got)
    line.run(0.15)
    line.peers[0].blobs.server.transfers.clear()
    cut_off(line, 0)
    line.run(1.2)
    assert got == [body] and line.peers[1].blobs.server.sent_bytes < 60_000
    assert line.peers[2].blobs.fetcher.fetched_bytes == len(delta.pack(body))


def test_another_packed_form_does_not_put_an_end_to_one_that_moves() -> None:
    line = Line(3)
    got: list[bytes] = []
    mark = digest(b"body")
    cut_off(line, 0)
    line.need(2, mark, 0, got)
    line.run(0.1)
    link = line.peers[2].bulk_link_to(line.hosts[0].ip)
    line.at(2, line.peers[2].blobs.fetcher.on_chunk, link, frames.Chunk(mark, b"", 100, 0, b"twenty bytes of them"))
    line.at(2, line.peers[2].blobs.fetcher.on_chunk, link, frames.Chunk(mark, b"", 90, 0, b"other"))
    fetch = line.peers[2].blobs.fetcher.fetches[mark]
    assert (fetch.total, len(fetch.data)) == (100, 20)
    line.run(fetcher.QUIET_S + 0.05)  # and takes the place of one that does not
    line.at(2, line.peers[2].blobs.fetcher.on_chunk, link, frames.Chunk(mark, b"", 90, 0, b"other"))
    assert (fetch.total, len(fetch.data)) == (90, 5)


def test_a_connection_for_bodies_that_hangs_is_replaced_though_its_node_is_heard() -> None:
    """After a cut the bytes on it are sent again only after seconds; frames go over a new connection meanwhile."""
    line = Line(2)
    got: list[bytes] = []
    line.need(0, line.peers[1].blobs.store.put(b"first"), 1, got)
    line.run(0.1)
    hung = line.peers[0].outbound[line.hosts[1].ip, BULK_LANE].transport
    hung.write = lambda data: None  # type: ignore[union-attr, method-assign]
    line.need(0, line.peers[1].blobs.store.put(b"second"), 1, got)
    for _ in range(30):
        line.at(1, line.peers[1].send, line.hosts[0].ip, frames.SuspectReport("heard"))
        line.run(0.1)
    assert got == [b"first", b"second"]


def test_a_fetch_that_fails_does_not_end_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    line = Line(3)
    got: list[bytes] = []
    mark = line.peers[1].blobs.store.put(b"body")
    cut_off(line, 0)
    line.need(2, digest(b"never"), 0, got)
    line.need(2, mark, 0, got)
    line.peers[2].blobs.fetcher.other_sources = lambda: [line.hosts[1].ip]
    usual = Fetcher.request

    def ask(self: Fetcher, wanted: bytes, fetch: fetcher.Fetch) -> None:
        if wanted != mark and fetch.retries == 1:
            raise RuntimeError("as it was seen")
        usual(self, wanted, fetch)

    monkeypatch.setattr(Fetcher, "request", ask)
    line.net.loop.run_until_complete(asyncio.sleep(3.0))
    assert got == [b"body"]


def fleet(edges: int = 4) -> Cluster:
    cluster = Cluster(edges, 1, edge_mbps=2.75, core_mbps=30.0, routes=300)
    cluster.run(cluster.start_tree())
    cluster.order()
    cluster.run(cluster.known_by_all())
    return cluster


def test_a_small_change_goes_with_its_news_and_is_fetched_by_nobody() -> None:
    cluster = fleet()
    try:
        before = [node.peers.blobs.server.sent_bytes for node in cluster.nodes.values() if node.tree.children]
        held = {node: node.peers.blobs.fetcher.fetched_bytes for node in cluster.edges}
        cluster.order()
        assert cluster.run(cluster.known_by_all()) < 0.2
        assert before and held == {node: node.peers.blobs.fetcher.fetched_bytes for node in cluster.edges}
        assert not cluster.net.faults
    finally:
        cluster.close()


@pytest.mark.parametrize("wrong", ["no such base", "not what its digest says", "spoilt"])
def test_news_with_a_change_that_can_not_be_used_has_the_body_fetched(wrong: str) -> None:
    cluster = fleet()
    try:
        child = next(node for node in cluster.edges if node.tree.subscription.parent is not None)
        root, body = cluster.root, cluster.configuration(2)
        assert child.tree.subscription.parent is not None and root is not None
        base = child.tree.configuration.store.put(child.tree.configuration.body)
        data = delta.pack(cluster.configuration(3) if wrong.startswith("not") else body, child.tree.configuration.body)
        frame = frames.ConfigurationDelta(
            2,
            digest(body),
            digest(b"x") if wrong == "no such base" else base,
            b"spoilt" if wrong == "spoilt" else data,
            child.tree.fence.epoch,
        )
        for node in cluster.nodes.values():
            node.tree.configuration.store.put(body)
        child.tree.configuration.store.blobs.pop(digest(body))
        cluster.at(child, child.tree.configuration.on_delta, child.tree.subscription.parent, frame)
        cluster.run(asyncio.sleep(0.5))
        assert (child.tree.configuration.revision, child.tree.configuration.body) == (2, body)
        assert not cluster.net.faults
    finally:
        cluster.close()


def test_an_update_that_can_not_be_is_refused_and_its_connection_closed(caplog: pytest.LogCaptureFixture) -> None:
    cluster = fleet()
    try:
        child = next(node for node in cluster.edges if node.tree.subscription.parent is not None)
        for frame in (
            frames.ConfigurationDelta(2, b"short", b"", b""),
            frames.ConfigurationDelta(2, bytes(32), b"", bytes(9000)),
        ):
            link = child.tree.subscription.parent
            assert link is not None
            with caplog.at_level(logging.WARNING):
                cluster.at(child, child.tree.configuration.on_delta, link, frame)
            assert link.closed and "invalid configuration delta" in caplog.text
            cluster.run(asyncio.sleep(2.0))
        assert child.tree.configuration.revision == 1
    finally:
        cluster.close()


def test_an_older_version_that_does_not_move_holds_up_nothing() -> None:
    cluster = fleet()
    try:
        child = next(node for node in cluster.edges if node.tree.subscription.parent is not None)
        parent = child.tree.subscription.parent
        assert parent is not None
        source = next(node for node in cluster.nodes.values() if node.settings.ip == parent.ip)
        for node in cluster.nodes.values():
            node.peers.blobs.server.on_chunk_request = lambda link, frame: None  # type: ignore[method-assign]
        replica, epoch = child.tree.configuration, child.tree.fence.epoch
        cluster.at(
            child,
            replica.on_announcement,
            parent,
            frames.ConfigurationAnnouncement(2, digest(b"nobody sends it"), epoch),
        )
        cluster.run(asyncio.sleep(fetcher.QUIET_S + 0.1))
        del source.peers.blobs.server.on_chunk_request
        body = cluster.configuration(3)
        mark = source.tree.configuration.store.put(body)
        cluster.at(
            child, replica.on_announcement, parent, frames.ConfigurationAnnouncement(3, mark, child.tree.fence.epoch)
        )
        cluster.run(asyncio.sleep(0.3))
        assert child.tree.configuration.revision == 3
    finally:
        cluster.close()


def test_a_node_that_is_behind_says_so_once(caplog: pytest.LogCaptureFixture) -> None:
    cluster = fleet()
    try:
        child = next(node for node in cluster.edges if node.tree.subscription.parent is not None)
        for node in cluster.nodes.values():
            node.peers.blobs.server.on_chunk_request = lambda link, frame: None  # type: ignore[method-assign]
        cluster.routes += 2000  # no small change
        with caplog.at_level(logging.WARNING, logger="cypressbeam.distribution.configuration_replica"):
            for node in cluster.nodes.values():
                if node.core is not None:
                    cluster.at(node, node.tree.configuration.publish, 2, cluster.configuration(2))
            cluster.run(asyncio.sleep(4.0))
        assert child.tree.configuration.revision == 1
        told = [record.message for record in caplog.records if "configuration outdated for" in record.message]
        assert len(told) == len(cluster.edges)
        assert all("revision 1 here, newest known 2" in text and "last request" in text for text in told)
    finally:
        cluster.close()


CASES = ["still relays", "still relays, full links", "a relay goes, full links"]


@pytest.mark.parametrize("case", CASES)
def test_no_node_is_behind_for_longer_than_the_bound(case: str) -> None:
    found = fetches.measure(case, [1, 2])
    assert found.behind_s and found.over == 0, (max(found.behind_s), found.bound_s)


def test_in_a_storm_versions_do_not_put_an_end_to_each_other() -> None:
    """Each lets go of the one before, which has had no time to come: on a full link nothing ever does."""
    found = fetches.measure("a storm of versions, still relays, full links", [1], edges=16)
    assert len(found.behind_s) == 16 and found.over == 0, (max(found.behind_s), found.bound_s)


def test_without_other_sources_nodes_stay_behind() -> None:
    """The measurement itself."""
    with fetches.fault(fetches.FAULT):
        assert fetches.measure("still relays", [1, 2]).over > 0
