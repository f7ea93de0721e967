"""The time for which a node is outdated is bounded, whatever a single source, connection or version does."""

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
from tests.test_news import PeerNetwork


def stop_serving(network: PeerNetwork, number: int) -> None:
    """Make a node ignore chunk requests."""
    network.peers[number].blobs.server.on_chunk_request = lambda link, frame: None  # type: ignore[method-assign]


@pytest.mark.parametrize("policy", [uvloop.new_event_loop, asyncio.new_event_loop])
def test_both_lanes_work_if_they_connect_in_the_same_loop_iteration(
    policy: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Incident 014: the control connection is established and restarts the pending bulk connect in the same loop
    iteration in which that one succeeds. When it is cancelled then, uvloop closes it without any notification."""
    monkeypatch.setattr(peers, "CONNECT_RESTART_AFTER_S", 0.0)  # simulates a saturated link, where connects are slow
    received: list[frames.Frame] = []

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as reserved:
            port = reserved.getsockname()[1]
        one = Peers("127.0.0.1", port, lambda link, frame: None, lambda link: None, 100.0)
        other = Peers("127.0.0.2", port, lambda link, frame: received.append(frame), lambda link: None, 100.0)
        await other.listen()
        for number in range(20):
            control, bulk = one.link_to(other.ip), one.bulk_link_to(other.ip)
            await asyncio.sleep(0.01)
            bulk.send(frames.SuspectReport(str(number)))
            await asyncio.sleep(0.005)
            control.close()
            bulk.close()
        one.close()
        other.close()

    loop = policy()  # type: ignore[operator]
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()
    assert received == [frames.SuspectReport(str(number)) for number in range(20)]


def test_connect_restarted_while_it_succeeds_leaves_no_dead_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """The same fault on the simulated network, which closes a cancelled connect as uvloop does."""
    network = PeerNetwork(2)
    original = peers.ConnectAttempt.connection_made
    restarts = [0]

    def connection_made(self: peers.ConnectAttempt, transport: asyncio.BaseTransport) -> None:
        link = network.peers[0].outbound.get((network.hosts[1].ip, BULK_LANE))
        if link is not None and link.connecting is not None and not restarts[0]:
            restarts[0] += 1
            network.run_on(0, network.peers[0].restart_connect, link, link.connecting)
        original(self, transport)

    monkeypatch.setattr(peers.ConnectAttempt, "connection_made", connection_made)
    received: list[bytes] = []
    network.fetch(0, network.peers[1].blobs.store.put(b"body"), 1, received)
    network.run(0.2)
    assert restarts == [1] and received == [b"body"]


def test_connection_closed_without_notification_is_detected_by_the_next_write() -> None:
    network = PeerNetwork(2)
    received: list[bytes] = []
    network.fetch(0, network.peers[1].blobs.store.put(b"first"), 1, received)
    network.run(0.1)
    network.peers[0].outbound[network.hosts[1].ip, BULK_LANE].transport.abandon()  # type: ignore[union-attr]
    network.fetch(0, network.peers[1].blobs.store.put(b"second"), 1, received)
    network.run(0.7)
    assert received == [b"first", b"second"]


def test_stalled_fetch_uses_a_source_that_did_not_announce_the_body() -> None:
    network = PeerNetwork(3)
    body = bytes(network.net.rng.getrandbits(8) for _ in range(60_000))
    received: list[bytes] = []
    blob_digest = network.peers[0].blobs.store.put(body)
    network.peers[1].blobs.store.put(body)
    stop_serving(network, 0)
    network.peers[2].blobs.fetcher.other_sources = lambda: [network.hosts[0].ip, network.hosts[1].ip]
    network.fetch(2, blob_digest, 0, received)
    network.run(fetcher.STALL_S * (1 + fetcher.STALL_JITTER) + 60_000 * 8e-6 / (2.75 / 2) + 0.3)
    assert received == [body]


def test_fetch_that_stalls_midway_resumes_from_another_source() -> None:
    network = PeerNetwork(3)
    body = bytes(network.net.rng.getrandbits(8) for _ in range(60_000))
    received: list[bytes] = []
    blob_digest = network.peers[0].blobs.store.put(body)
    network.peers[1].blobs.store.put(body)
    network.peers[2].blobs.fetcher.other_sources = lambda: [network.hosts[1].ip]
    network.fetch(2, blob_digest, 0, received)
    network.run(0.15)
    network.peers[0].blobs.server.transfers.clear()
    stop_serving(network, 0)
    network.run(1.2)
    assert received == [body] and network.peers[1].blobs.server.sent_bytes < 60_000
    assert network.peers[2].blobs.fetcher.fetched_bytes == len(delta.pack(body))


def test_other_encoding_replaces_a_fetch_only_if_it_stalls() -> None:
    network = PeerNetwork(3)
    received: list[bytes] = []
    blob_digest = digest(b"body")
    stop_serving(network, 0)
    network.fetch(2, blob_digest, 0, received)
    network.run(0.1)
    link = network.peers[2].bulk_link_to(network.hosts[0].ip)
    network.run_on(
        2,
        network.peers[2].blobs.fetcher.on_chunk,
        link,
        frames.Chunk(blob_digest, b"", 100, 0, b"twenty bytes of them"),
    )
    network.run_on(2, network.peers[2].blobs.fetcher.on_chunk, link, frames.Chunk(blob_digest, b"", 90, 0, b"other"))
    fetch = network.peers[2].blobs.fetcher.fetches[blob_digest]
    assert (fetch.total, len(fetch.data)) == (100, 20)
    network.run(fetcher.QUIET_S + 0.05)  # then the first encoding counts as stalled
    network.run_on(2, network.peers[2].blobs.fetcher.on_chunk, link, frames.Chunk(blob_digest, b"", 90, 0, b"other"))
    assert (fetch.total, len(fetch.data)) == (90, 5)


def test_hanging_bulk_connection_is_replaced_although_its_node_is_heard() -> None:
    """After a partition TCP retransmits on the old bulk connection only after seconds, while frames already use a new
    control connection."""
    network = PeerNetwork(2)
    received: list[bytes] = []
    network.fetch(0, network.peers[1].blobs.store.put(b"first"), 1, received)
    network.run(0.1)
    transport = network.peers[0].outbound[network.hosts[1].ip, BULK_LANE].transport
    transport.write = lambda data: None  # type: ignore[union-attr, method-assign]
    network.fetch(0, network.peers[1].blobs.store.put(b"second"), 1, received)
    for _ in range(30):
        network.run_on(1, network.peers[1].send, network.hosts[0].ip, frames.SuspectReport("heard"))
        network.run(0.1)
    assert received == [b"first", b"second"]


def test_exception_in_one_fetch_does_not_stop_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    network = PeerNetwork(3)
    received: list[bytes] = []
    blob_digest = network.peers[1].blobs.store.put(b"body")
    stop_serving(network, 0)
    network.fetch(2, digest(b"never"), 0, received)
    network.fetch(2, blob_digest, 0, received)
    network.peers[2].blobs.fetcher.other_sources = lambda: [network.hosts[1].ip]
    original = Fetcher.request

    def failing_request(self: Fetcher, wanted: bytes, fetch: fetcher.Fetch) -> None:
        if wanted != blob_digest and fetch.retries == 1:
            raise RuntimeError("injected")
        original(self, wanted, fetch)

    monkeypatch.setattr(Fetcher, "request", failing_request)
    network.net.loop.run_until_complete(asyncio.sleep(3.0))
    assert received == [b"body"]


def synchronized_cluster(edges: int = 4) -> Cluster:
    cluster = Cluster(edges, 1, edge_mbps=2.75, core_mbps=30.0, routes=300)
    cluster.run(cluster.start_tree())
    cluster.order()
    cluster.run(cluster.known_by_all())
    return cluster


def test_small_change_is_sent_inline_and_not_fetched() -> None:
    cluster = synchronized_cluster()
    try:
        sent_before = [node.peers.blobs.server.sent_bytes for node in cluster.nodes.values() if node.tree.children]
        fetched_before = {node: node.peers.blobs.fetcher.fetched_bytes for node in cluster.edges}
        cluster.order()
        assert cluster.run(cluster.known_by_all()) < 0.2
        assert sent_before and fetched_before == {
            node: node.peers.blobs.fetcher.fetched_bytes for node in cluster.edges
        }
        assert not cluster.net.faults
    finally:
        cluster.close()


@pytest.mark.parametrize("defect", ["unknown base", "digest mismatch", "corrupt"])
def test_body_is_fetched_if_the_inline_delta_is_unusable(defect: str) -> None:
    cluster = synchronized_cluster()
    try:
        child = next(node for node in cluster.edges if node.tree.subscription.parent is not None)
        root, body = cluster.root, cluster.configuration(2)
        assert child.tree.subscription.parent is not None and root is not None
        base = child.tree.configuration.store.put(child.tree.configuration.body)
        data = delta.pack(
            cluster.configuration(3) if defect.startswith("digest") else body, child.tree.configuration.body
        )
        frame = frames.ConfigurationDelta(
            2,
            digest(body),
            digest(b"x") if defect == "unknown base" else base,
            b"spoilt" if defect == "corrupt" else data,
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


def test_invalid_configuration_delta_closes_the_connection(caplog: pytest.LogCaptureFixture) -> None:
    cluster = synchronized_cluster()
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


def test_stalled_older_version_does_not_delay_the_newest() -> None:
    cluster = synchronized_cluster()
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
        blob_digest = source.tree.configuration.store.put(body)
        cluster.at(
            child,
            replica.on_announcement,
            parent,
            frames.ConfigurationAnnouncement(3, blob_digest, child.tree.fence.epoch),
        )
        cluster.run(asyncio.sleep(0.3))
        assert child.tree.configuration.revision == 3
    finally:
        cluster.close()


def test_outdated_node_logs_one_warning(caplog: pytest.LogCaptureFixture) -> None:
    cluster = synchronized_cluster()
    try:
        child = next(node for node in cluster.edges if node.tree.subscription.parent is not None)
        for node in cluster.nodes.values():
            node.peers.blobs.server.on_chunk_request = lambda link, frame: None  # type: ignore[method-assign]
        cluster.routes += 2000  # too large for an inline delta
        with caplog.at_level(logging.WARNING, logger="cypressbeam.distribution.configuration_replica"):
            for node in cluster.nodes.values():
                if node.core is not None:
                    cluster.at(node, node.tree.configuration.publish, 2, cluster.configuration(2))
            cluster.run(asyncio.sleep(4.0))
        assert child.tree.configuration.revision == 1
        warnings = [record.message for record in caplog.records if "configuration outdated for" in record.message]
        assert len(warnings) == len(cluster.edges)
        assert all("revision 1 here, newest known 2" in text and "last request" in text for text in warnings)
    finally:
        cluster.close()


CASES = ["still relays", "still relays, full links", "a relay goes, full links"]


@pytest.mark.parametrize("case", CASES)
def test_no_node_is_outdated_for_longer_than_the_bound(case: str) -> None:
    measurements = fetches.measure(case, [1, 2])
    assert measurements.behind_s and measurements.over == 0, (max(measurements.behind_s), measurements.bound_s)


def test_rapid_versions_do_not_cancel_each_other() -> None:
    """If each version cancelled the fetch of the one before, none would complete on a saturated link."""
    measurements = fetches.measure("a storm of versions, still relays, full links", [1], edges=16)
    assert len(measurements.behind_s) == 16 and measurements.over == 0, (
        max(measurements.behind_s),
        measurements.bound_s,
    )


def test_measurement_detects_missing_fallback_sources() -> None:
    """Tests the measurement: it must detect that stalled fetches don't switch to other sources."""
    with fetches.fault(fetches.FAULT):
        assert fetches.measure("still relays", [1, 2]).over > 0
