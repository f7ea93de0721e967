"""Frame connections between nodes over TCP.

A node opens one outbound connection for messages to each node that it writes to, and a second one for chunks of blobs,
so that messages never queue behind bulk data.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

from cypressbeam.protocol import frames
from cypressbeam.transport.blobs.transfer import BlobTransfer

log = logging.getLogger(__name__)

#: A connection whose peer has sent nothing for this long since the first unanswered write is replaced on the next send.
#: The kernel retransmits to a powered-off machine with growing intervals, so waiting for TCP takes much longer.
SILENCE_TIMEOUT_S = 1.5
#: Initial and maximum timeout of a connect. It doubles with each failure: a powered-off machine is retried soon, and
#: one behind a saturated link gets the time it needs.
CONNECT_TIMEOUT_S = (0.4, 1.6)
#: Connect timeout of bulk connections. On a saturated link the handshake takes seconds, and a stalled fetch switches to
#: another source by itself.
BULK_CONNECT_TIMEOUT_S = 4.0
#: A connect that has been pending for at least this long is restarted when another connection with the same node
#: succeeds, because that node is running by then.
CONNECT_RESTART_AFTER_S = 0.05
#: Interval at which parallel connect attempts are added while a connect is pending. If the machine was off when the
#: first SYN was sent, the kernel retransmits it only after 1 s and then after 2 s more. Bulk connects, which have the
#: longer timeout, are limited to `MAX_BULK_ATTEMPTS`.
ATTEMPT_INTERVAL_S, MAX_BULK_ATTEMPTS = 0.2, 5
#: The two outbound connections to a node: messages, and chunks of blobs.
CONTROL_LANE, BULK_LANE = 0, 1
#: Limit of the write buffer of one connection; a peer that lets it grow beyond this is disconnected.
MAX_UNWRITTEN_BYTES = 8 * 1024 * 1024


class Link(asyncio.Protocol):
    """One inbound or outbound connection to another node. Frames sent before it is established are queued."""

    def __init__(self, peers: Peers, ip: str, lane: int = CONTROL_LANE) -> None:
        self.peers = peers
        self.ip = ip
        self.lane = lane
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.queued: list[bytes] = []
        self.closed = False
        self.connecting_since_s = peers.loop.time()
        self.connecting: asyncio.Task[None] | None = None
        self.waiting_since_s = 0.0
        """Time of the first write since data was last received from the node."""
        self.last_received_s = 0.0
        """Time at which data was last received on this connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established: send the queued frames."""
        self.transport = cast(asyncio.Transport, transport)
        self.ip = transport.get_extra_info("peername")[0]
        if self.closed:
            self.transport.abort()
            return
        self.peers.links.add(self)
        if self.queued:
            self.transport.write(b"".join(self.queued))
            self.queued.clear()
        self.peers.on_connected(self.ip)

    def send(self, frame: frames.Frame) -> None:
        """Send a message. If it refers to a body, the body is stored first so that the receiver can fetch it."""
        if body := frame.body_or_digest():
            self.peers.blobs.store.put(body)
        self.send_packed(frame.pack())

    def send_packed(self, data: bytes) -> None:
        """Send an encoded message, or queue it until the connection is established."""
        if self.closed:
            return
        if self.waiting_since_s <= self.last_heard_s():
            self.waiting_since_s = self.peers.loop.time()
        if self.transport is None:
            self.queued.append(data)
        elif self.transport.get_write_buffer_size() > MAX_UNWRITTEN_BYTES:
            log.warning("node %s: write buffer is full, closing connection", self.ip)
            self.close()
        else:
            try:
                self.transport.write(data)
            except RuntimeError as err:  # uvloop: the transport is closed, and connection_lost was never called
                log.warning("connection to node %s failed: %s", self.ip, err)
                self.mark_closed()

    def last_heard_s(self) -> float:
        """When the node was last heard on any connection; for a bulk connection, on that connection only. After a
        network partition the kernel may resume sending on the old bulk connection only after seconds, while the control
        connection is new and receives data."""
        return self.last_received_s if self.lane == BULK_LANE else self.peers.last_heard_s.get(self.ip, 0.0)

    def is_silent(self) -> bool:
        """Whether data was sent and nothing was received for more than `SILENCE_TIMEOUT_S` since."""
        return (
            self.waiting_since_s > self.last_heard_s()
            and self.peers.loop.time() - self.waiting_since_s > SILENCE_TIMEOUT_S
        )

    def data_received(self, data: bytes) -> None:
        """Buffer received data and process each complete frame."""
        self.last_received_s = self.peers.last_heard_s[self.ip] = self.peers.loop.time()
        self.buffer += data
        while len(self.buffer) >= frames.HEADER.size and not self.closed:
            length, kind = frames.HEADER.unpack_from(self.buffer)
            end = frames.HEADER.size + length
            if length > frames.MAX_FRAME_BYTES:
                log.warning("node %s: frame of %d bytes exceeds the limit, closing connection", self.ip, length)
                self.close()
                return
            if len(self.buffer) < end:
                return
            payload = bytes(self.buffer[frames.HEADER.size : end])
            del self.buffer[:end]
            self.receive(kind, payload)

    def receive(self, kind: int, payload: bytes) -> None:
        """Decode a frame and deliver it; one that refers to a body is delivered once the body was fetched."""
        try:
            frame = frames.unpack(kind, payload)
        except frames.FrameError as err:
            log.warning("node %s: invalid frame, closing connection: %s", self.ip, err)
            self.close()
            return
        if blob_digest := frame.body_or_digest():
            self.peers.blobs.fetcher.fetch(
                blob_digest,
                self.ip,
                lambda body: self.deliver(replace(cast(Any, frame), body=body)),
                key=(kind, payload),
            )
        else:
            self.deliver(frame)

    def deliver(self, frame: frames.Frame) -> None:
        """Pass a complete frame to its handler. An exception of the handler is logged and keeps the connection open."""
        try:
            self.peers.dispatch(self, frame)
        except frames.FrameError as err:
            log.warning("node %s: invalid %s, closing connection: %s", self.ip, type(frame).__name__, err)
            self.close()
        except Exception:
            log.exception("handler of %s from node %s failed", type(frame).__name__, self.ip)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection was closed by the peer or failed."""
        self.mark_closed()

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()
        self.mark_closed()

    def mark_closed(self) -> None:
        """Mark the connection as closed and notify `Peers` once."""
        if not self.closed:
            self.closed = True
            self.peers.on_link_closed(self)


class ConnectAttempt(asyncio.Protocol):
    """Protocol of one connect attempt of a link, until its connection is handed over to the link."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.up = self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established; the attempt may still be cancelled."""
        self.up = True

    def data_received(self, data: bytes) -> None:
        """Buffer data that arrives before the connection is handed over to the link."""
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection was lost before it was handed over to the link."""
        self.lost = True


class LocalLink(Link):
    """Loopback to the node itself: frames are dispatched in the next iteration of the event loop."""

    def send(self, frame: frames.Frame) -> None:
        """Schedule the frame for dispatch to this node."""
        self.peers.loop.call_soon(self.peers.dispatch, self, frame)


class Peers:
    """All connections of a node to other nodes."""

    def __init__(
        self,
        ip: str,
        port: int,
        on_frame: Callable[[Link, frames.Frame], None],
        on_lost: Callable[[Link], None],
        link_mbps: float,
        shared: bool = True,
    ) -> None:
        """`shared` says whether the network link also carries client traffic."""
        self.loop = asyncio.get_running_loop()
        self.ip = ip
        self.blobs = BlobTransfer(self, link_mbps, shared)
        self.local = LocalLink(self, ip)
        self.port = port
        self.on_frame = on_frame
        self.on_lost = on_lost
        self.links: set[Link] = set()
        self.outbound: dict[tuple[str, int], Link] = {}
        self.last_heard_s: dict[str, float] = {}
        """Time at which data was last received from a node on any connection, by address."""
        self.connect_timeouts_s: dict[str, float] = {}
        """Timeout of the next connect to a node, by address."""
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections from other nodes. Raises OSError."""
        self.server = await self.loop.create_server(lambda: Link(self, ""), self.ip, self.port)

    def dispatch(self, link: Link, frame: frames.Frame) -> None:
        """Pass a frame to the blob transfer if it handles that type, otherwise to the node."""
        handler = self.blobs.handlers.get(type(frame), self.on_frame)
        handler(link, frame)

    def link_to(self, ip: str, lane: int = CONTROL_LANE) -> Link:
        """The outbound connection to a node; connects in the background if there is none or it is silent."""
        if ip == self.ip:
            return self.local
        link = self.outbound.get((ip, lane))
        if link is not None and link.transport is not None and link.is_silent():
            link.close()
            link = None
        if link is None:
            link = self.outbound[ip, lane] = Link(self, ip, lane)
            self.start_connect(link)
        return link

    def start_connect(self, link: Link) -> None:
        """Start connecting a link."""
        link.connecting_since_s = self.loop.time()
        link.connecting = self.loop.create_task(self.connect(link))
        self.tasks.add(link.connecting)
        link.connecting.add_done_callback(self.tasks.discard)

    def on_connected(self, ip: str) -> None:
        """A connection with a node is established: restart its other pending connects. They may have been started while
        the machine was off, and the kernel retransmits their SYN only after 1 s or more. A connect younger than
        `CONNECT_RESTART_AFTER_S` is restarted only once it reaches that age."""
        self.connect_timeouts_s[ip] = CONNECT_TIMEOUT_S[0]
        for lane in (CONTROL_LANE, BULK_LANE):
            link = self.outbound.get((ip, lane))
            if link is not None and link.transport is None and link.connecting is not None:
                delay_s = link.connecting_since_s + CONNECT_RESTART_AFTER_S - self.loop.time()
                if delay_s > 0:
                    self.loop.call_later(delay_s, self.restart_connect, link, link.connecting)
                else:
                    self.restart_connect(link, link.connecting)

    def restart_connect(self, link: Link, connecting: asyncio.Task[None]) -> None:
        """Restart a connect that is still pending."""
        if link.connecting is connecting and link.transport is None and not link.closed:
            connecting.cancel()
            self.start_connect(link)

    def bulk_link_to(self, ip: str) -> Link:
        """The outbound connection for chunks of blobs."""
        return self.link_to(ip, BULK_LANE)

    def send(self, ip: str, frame: frames.Frame) -> None:
        """Send a message to a node, connecting in the background if needed."""
        self.link_to(ip).send(frame)

    async def connect(self, link: Link) -> None:
        """Connect a link with parallel attempts until one succeeds or the timeout expires."""
        timeout_s = self.connect_timeouts_s.get(link.ip, CONNECT_TIMEOUT_S[0])
        bulk = link.lane == BULK_LANE
        attempts: dict[asyncio.Task[Any], ConnectAttempt] = {}
        try:
            async with asyncio.timeout(BULK_CONNECT_TIMEOUT_S if bulk else timeout_s):
                while link.transport is None and not link.closed:
                    if not bulk or len(attempts) < MAX_BULK_ATTEMPTS:
                        self.start_attempt(link, attempts)
                    pending = [task for task in attempts if not task.done()]
                    await asyncio.wait(
                        pending,
                        timeout=ATTEMPT_INTERVAL_S * len(attempts) if bulk else ATTEMPT_INTERVAL_S,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    for task in attempts:
                        if task.done() and link.transport is None:
                            task.result()  # re-raises the error of the attempt
                            raise ConnectionResetError("connection lost before it was set up")
        except (OSError, TimeoutError):
            if link.transport is None:
                self.connect_timeouts_s[link.ip] = min(2 * timeout_s, CONNECT_TIMEOUT_S[1])
                link.mark_closed()
        finally:
            for task, attempt in attempts.items():
                if not attempt.up:  # an established one is closed by on_attempt_done in the next loop iteration
                    task.cancel()

    def start_attempt(self, link: Link, attempts: dict[asyncio.Task[Any], ConnectAttempt]) -> None:
        """Start another connect attempt of a link."""
        attempt = ConnectAttempt()
        # Bind to the node's own address: peers identify nodes by it, also on machines with several addresses.
        task = self.loop.create_task(
            self.loop.create_connection(lambda: attempt, link.ip, self.port, local_addr=(self.ip, 0))
        )
        task.add_done_callback(lambda done: self.on_attempt_done(link, done))
        attempts[task] = attempt

    def on_attempt_done(self, link: Link, task: asyncio.Task[Any]) -> None:
        """Hand the connection of the first successful attempt over to the link, and close any others. The link must not
        use it earlier: if the task is cancelled after the connection was established, uvloop closes the connection
        without calling connection_lost."""
        if task.cancelled() or task.exception() is not None:
            return
        transport, attempt = task.result()
        if link.transport is not None or link.closed or attempt.lost:
            transport.abort()
            return
        transport.set_protocol(link)
        link.connection_made(transport)
        if attempt.received:
            link.data_received(bytes(attempt.received))

    def on_link_closed(self, link: Link) -> None:
        """Drop a closed link; the next message to its node opens a new one."""
        self.links.discard(link)
        if self.outbound.get((link.ip, link.lane)) is link:
            del self.outbound[link.ip, link.lane]
        self.blobs.link_lost(link)
        self.on_lost(link)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for link in [*self.links]:
            link.close()
