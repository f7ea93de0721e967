"""Blob transfer between nodes: delta encoding, chunks, resumption, and verification by digest."""

from __future__ import annotations

import asyncio
import contextlib
import zlib
from collections import Counter
from collections.abc import Callable

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypressbeam.protocol import delta, frames
from cypressbeam.protocol.configuration import digest
from cypressbeam.transport.blobs import fetcher, link
from cypressbeam.transport.peers import BULK_LANE, CONNECT_TIMEOUT_S, Link, Peers
from lab.local_cluster import demo_configuration
from lab.membership import Cluster
from lab.simulation import Host, Net
from tests.simulated import run_nodes

MBPS = 2.75


def routes(count: int, revision: int = 1, changed: int = -1) -> bytes:
    """A configuration with many routes, of which `changed` has another latency target."""
    configuration = demo_configuration(revision)
    configuration["channels"] = [
        {
            "label": f"r-{number * 7919 % 100_003}",
            "host": f"h{number % 60}.example",
            "prefix": f"/p{number * 104_729 % 999_983}/",
            "mode": "idempotent",
            "cutoffMs": 5000,
            "setpointMs": 801 if number == changed else 800,
            "plant": "finder",
        }
        for number in range(count)
    ]
    return cbor2.dumps(configuration)


def test_delta_of_one_changed_route_takes_a_few_hundred_bytes() -> None:
    old, new = routes(1500), routes(1500, 2, changed=700)
    packed = delta.pack(new, old)
    assert len(packed) < 400
    assert delta.unpack(packed, old) == new
    assert len(delta.pack(new)) < len(new) / 4 and delta.unpack(delta.pack(new)) == new


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(st.sampled_from([b"\x65labela", b"\x65labelb", b"\x65labelc", b"x", b""]), max_size=12),
    st.lists(st.sampled_from([b"\x65labela", b"\x65labelb", b"\x65labelc", b"x", b""]), max_size=12),
)
def test_delta_round_trip(old: list[bytes], new: list[bytes]) -> None:
    base, body = b"".join(old), b"".join(new)
    assert delta.unpack(delta.pack(body, base), base) == body


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.one_of(st.binary(max_size=80), st.binary(max_size=80).map(zlib.compress)), st.binary(max_size=20))
def test_corrupt_delta_raises_only_delta_error(data: bytes, base: bytes) -> None:
    with contextlib.suppress(delta.DeltaError):
        assert len(delta.unpack(data, base, 60)) <= 60


@pytest.mark.parametrize(
    "data",
    [
        zlib.compress(bytes(70_000)),
        zlib.compress(delta.RANGE_HEADER.pack(0, 5, 0)),
        delta.pack(b"whole")[:-3],
        delta.pack(b"whole") + b"x",
        zlib.compress(delta.RANGE_HEADER.pack(0, 0, 9) + b"short"),
    ],
)
def test_delta_that_is_too_large_or_truncated_is_rejected(data: bytes) -> None:
    with pytest.raises(delta.DeltaError):
        delta.unpack(data, b"1234", max_bytes=10_000)


class PeerNetwork:
    """A few nodes on a simulated network, each with its `Peers`; the hosts count the bytes that they send."""

    def __init__(self, count: int, mbps: float = MBPS) -> None:
        self.net = Net(7)
        self.hosts: list[Host] = []
        self.peers: list[Peers] = []
        self.received: list[tuple[int, frames.Frame, float]] = []
        self.net.loop.run_until_complete(self.start_nodes(count, mbps))

    async def start_nodes(self, count: int, mbps: float) -> None:
        for number in range(count):
            host = self.net.add(f"10.0.0.{number + 1}", "a")
            self.hosts.append(host)
            self.net.start(host)
            await asyncio.get_running_loop().create_task(self.start_node(number, mbps), context=host.context)

    async def start_node(self, number: int, mbps: float) -> None:
        def on_frame(link: Link, frame: frames.Frame) -> None:
            self.received.append((number, frame, self.net.loop.time()))

        peers = Peers(self.hosts[number].ip, 7620, on_frame, lambda link: None, mbps)
        await peers.listen()
        self.peers.append(peers)

    def run_on(self, number: int, function: Callable[..., object], *args: object) -> None:
        self.hosts[number].context.copy().run(function, *args)

    def fetch(self, number: int, blob_digest: bytes, source: int, bodies: list[bytes]) -> None:
        self.run_on(number, self.peers[number].blobs.fetcher.fetch, blob_digest, self.hosts[source].ip, bodies.append)

    def run(self, for_s: float) -> None:
        self.net.loop.run_until_complete(asyncio.sleep(for_s))
        assert not self.net.faults


def test_body_is_transferred_once_for_many_frames_that_refer_to_it() -> None:
    network = PeerNetwork(2)
    body = routes(1500)
    for _ in range(20):
        network.run_on(
            0, network.peers[0].send, network.hosts[1].ip, frames.WriteRequest(1, network.hosts[0].ip, 0, body)
        )
        network.run(0.02)
    network.run(2.0)
    requests = [frame for number, frame, _ in network.received if isinstance(frame, frames.WriteRequest)]
    assert requests and all(request.body == body for request in requests)
    size = len(delta.pack(body))
    assert network.peers[1].blobs.fetcher.fetched_bytes == network.peers[0].blobs.server.sent_bytes == size
    assert network.hosts[0].bytes < size * 1.1 + 5000


def test_only_a_delta_is_sent_to_a_node_that_has_an_earlier_version() -> None:
    network = PeerNetwork(2)
    old, new = routes(1500), routes(1500, 2, changed=9)
    received: list[bytes] = []
    for peers in network.peers:
        peers.blobs.store.put(old)
    network.fetch(1, network.peers[0].blobs.store.put(new), 0, received)
    network.run(0.5)
    assert received == [new] and network.peers[1].blobs.fetcher.fetched_bytes < 400


def test_frames_are_not_delayed_by_a_body() -> None:
    network = PeerNetwork(2)
    network.fetch(1, network.peers[0].blobs.store.put(bytes(range(256)) * 4000), 0, [])
    sent_s = []
    for _ in range(20):
        sent_s.append(network.net.loop.time())
        network.run_on(0, network.peers[0].send, network.hosts[1].ip, frames.SuspectReport("x"))
        network.run(0.05)
    received_s = [at_s for _, frame, at_s in network.received if isinstance(frame, frames.SuspectReport)]
    assert max(came - sent for came, sent in zip(received_s, sent_s, strict=True)) < 0.02


def test_chunks_use_no_more_than_their_share_of_the_link() -> None:
    network = PeerNetwork(5)
    rng = network.net.rng
    body = bytes(rng.getrandbits(8) for _ in range(60_000))
    received: list[bytes] = []
    blob_digest = network.peers[0].blobs.store.put(body)
    started_s = network.net.loop.time()
    for number in range(1, 5):
        network.fetch(number, blob_digest, 0, received)
    while len(received) < 4:
        network.run(0.02)
    duration_s = network.net.loop.time() - started_s
    min_duration_s = 4 * len(body) / (MBPS * 1e6 / 8 * link.LINK_SHARE)
    assert min_duration_s * 0.95 <= duration_s <= min_duration_s * 1.2


def test_body_is_forwarded_while_it_is_still_being_received() -> None:
    network = PeerNetwork(4)
    body = bytes(network.net.rng.getrandbits(8) for _ in range(60_000))
    received: list[bytes] = []
    blob_digest = network.peers[0].blobs.store.put(body)
    started_s = network.net.loop.time()
    for number in range(1, 4):
        network.fetch(number, blob_digest, number - 1, received)
    while len(received) < 3:
        network.run(0.02)
    single_hop_s = len(body) / (MBPS * 1e6 / 8 * link.LINK_SHARE)
    assert network.net.loop.time() - started_s < 1.5 * single_hop_s  # without forwarding 3 times as long


def test_fetch_resumes_from_another_source_at_the_same_offset() -> None:
    network = PeerNetwork(3)
    body = bytes(network.net.rng.getrandbits(8) for _ in range(60_000))
    received: list[bytes] = []
    blob_digest = network.peers[0].blobs.store.put(body)
    network.peers[1].blobs.store.put(body)
    network.fetch(2, blob_digest, 0, received)
    network.run(0.2)
    received_bytes = network.peers[2].blobs.fetcher.fetched_bytes
    assert 0 < received_bytes < len(body)
    network.net.stop(network.hosts[0])
    network.fetch(2, blob_digest, 1, received)
    network.run(3.0)
    assert received == [body, body] or received == [body]
    assert network.peers[2].blobs.fetcher.fetched_bytes <= len(delta.pack(body))


def test_body_with_a_digest_mismatch_is_fetched_from_another_source() -> None:
    network = PeerNetwork(3)
    body, other = routes(300), routes(300, 3)
    received: list[bytes] = []
    blob_digest = digest(body)
    network.peers[0].blobs.store.blobs[blob_digest] = other  # a node with corrupt memory
    network.peers[1].blobs.store.put(body)
    network.fetch(2, blob_digest, 0, received)
    network.fetch(2, blob_digest, 1, received)
    network.run(5.0)
    assert received and set(received) == {body} and network.peers[2].blobs.store.blobs[blob_digest] == body


def test_fetch_ends_at_once_if_no_source_has_the_body() -> None:
    """On abay-portal-grown the fetch of a superseded version delayed the newest one at a node for 4 s."""
    network = PeerNetwork(2)
    received: list[bytes] = []
    network.fetch(1, digest(b"gone"), 0, received)
    network.run(0.1)
    assert not received and not network.peers[1].blobs.fetcher.fetches


def test_fetch_is_abandoned_if_no_source_responds() -> None:
    network = PeerNetwork(2)
    received: list[bytes] = []
    network.net.stop(network.hosts[0])
    network.fetch(1, digest(b"never"), 0, received)
    network.run(fetcher.GIVE_UP_S + 1.0)
    assert not received and not network.peers[1].blobs.fetcher.fetches


def test_evicted_version_does_not_delay_the_newest() -> None:
    cluster = Cluster(3, 1, edge_mbps=2.75, core_mbps=30.0, routes=300)

    async def scenario() -> None:
        await cluster.start_tree()
        cluster.order()
        await cluster.known_by_all()
        child = next(node for node in cluster.edges if node.tree.subscription.parent is not None)
        assert child.tree.subscription.parent is not None
        # It starts to fetch a version that its parent has evicted; then the newest one is published.
        cluster.at(
            child,
            child.tree.configuration.on_announcement,
            child.tree.subscription.parent,
            frames.ConfigurationAnnouncement(2, digest(b"gone")),
        )
        cluster.revision = 2
        root = cluster.root
        assert root is not None
        cluster.at(root, root.tree.configuration.publish, 3, cluster.configuration(3))
        cluster.revision = 3
        assert await cluster.known_by_all() < 1.0

    run_nodes(cluster, scenario())


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.builds(
                frames.Chunk,
                st.sampled_from([digest(b"body"), b"x"]),
                st.sampled_from([b"", digest(b"base"), b"y"]),
                st.integers(0, 200),
                st.integers(0, 100),
                st.binary(max_size=60),
            ),
            st.builds(
                frames.ChunkRequest,
                st.sampled_from([digest(b"body"), b"x"]),
                st.binary(max_size=70),
                st.integers(0, 2**32 - 1),
                st.integers(0, 2**32 - 1),
            ),
            st.builds(frames.BlobNotFound, st.sampled_from([digest(b"body"), b"x"])),
        ),
        max_size=8,
    )
)
def test_unexpected_transfer_frames_neither_crash_a_node_nor_change_its_store(unexpected: list[frames.Frame]) -> None:
    network = PeerNetwork(2)
    received: list[bytes] = []
    network.peers[0].blobs.store.put(b"body")
    network.peers[1].blobs.store.put(b"base")
    network.fetch(1, digest(b"body"), 0, received)
    for frame in unexpected:
        network.run_on(0, lambda frame=frame: network.peers[0].bulk_link_to(network.hosts[1].ip).send(frame))
    network.run(9.0)
    assert set(received) <= {b"body"} and network.peers[1].blobs.store.blobs[digest(b"base")] == b"base"
    kinds = Counter(len(blob_digest) for blob_digest in network.peers[1].blobs.store.blobs)
    assert kinds.keys() == {frames.DIGEST_BYTES} and BULK_LANE != 0


def test_pending_connect_is_restarted_once_the_peer_connects() -> None:
    """After a complete power loss the first machines to restart connect to others that are still off."""
    network = PeerNetwork(2)
    network.net.stop(network.hosts[1])
    network.run_on(0, network.peers[0].send, network.hosts[1].ip, frames.SuspectReport("early"))
    network.run(0.2)
    network.net.start(network.hosts[1])
    network.net.loop.run_until_complete(
        network.net.loop.create_task(network.start_node(1, MBPS), context=network.hosts[1].context)
    )
    restarted_s = network.net.loop.time()
    network.run_on(1, network.peers[2].send, network.hosts[0].ip, frames.SuspectReport("back"))
    network.run(0.1)
    delivered_s = {frame.name: at_s for _, frame, at_s in network.received if isinstance(frame, frames.SuspectReport)}
    assert delivered_s["back"] < restarted_s + 0.02 and delivered_s["early"] < restarted_s + 0.02


def test_connect_timeout_grows_up_to_its_maximum() -> None:
    network = PeerNetwork(2)
    network.net.stop(network.hosts[1])
    for _ in range(6):
        network.run_on(0, network.peers[0].send, network.hosts[1].ip, frames.SuspectReport("x"))
        network.run(2.0)
    assert network.peers[0].connect_timeouts_s[network.hosts[1].ip] == CONNECT_TIMEOUT_S[1]
