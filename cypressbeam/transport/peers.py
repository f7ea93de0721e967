"""Connections between nodes: frames over TCP, one connection out to each node that is written to, and one more for the
slices of bodies, so that no frame waits behind them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

from cypressbeam.protocol import frames
from cypressbeam.transport.blobs.transfer import BlobTransfer

log = logging.getLogger(__name__)

#: A machine without power stays silent, and the kernel goes on sending to it, ever more seldom. Whoever has written to
#: one and heard nothing of it for so long opens a new connection for what comes next.
SILENCE_TIMEOUT_S = 1.5
#: A connect that gets no answer is given up after the first of these, and later ones after longer, up to the last: a
#: machine without power is tried again soon, one behind a full link has the time it needs.
CONNECT_TIMEOUT_S = (0.4, 1.6)
#: One for bodies is waited for longer: at a full link the answer takes seconds, and a fetch goes elsewhere by itself.
BULK_CONNECT_TIMEOUT_S = 4.0
#: One that has not come up after so long is begun anew when its machine is heard: it runs by now.
CONNECT_RESTART_AFTER_S = 0.05
#: A connect that hangs is joined by another one after so long, and again: the first packet of one that was begun before
#: its machine had power is sent again only after a second, and then after two more. One that is waited for longer is
#: joined by a few in all.
PROBE_INTERVAL_S, MAX_BULK_PROBES = 0.2, 5
#: The two connections out to a node.
CONTROL_LANE, BULK_LANE = 0, 1
#: Bytes that may wait for a peer that does not read.
MAX_UNWRITTEN_BYTES = 8 * 1024 * 1024


class Link(asyncio.Protocol):
    """One connection to another node, either way. Frames sent before it is up wait for it."""

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
        """When the first bytes were sent since the node was last heard."""
        self.last_received_s = 0.0
        """When anything came on this connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up: what was queued goes out."""
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
        """Send a message; the body that it names can be fetched here from now on."""
        if body := frame.body_or_digest():
            self.peers.blobs.store.put(body)
        self.send_packed(frame.pack())

    def send_packed(self, data: bytes) -> None:
        """Send a message that is packed already; one that comes before the connection is up waits for it."""
        if self.closed:
            return
        if self.waiting_since_s <= self.last_heard_s():
            self.waiting_since_s = self.peers.loop.time()
        if self.transport is None:
            self.queued.append(data)
        elif self.transport.get_write_buffer_size() > MAX_UNWRITTEN_BYTES:
            log.warning("node %s does not read: closing its connection", self.ip)
            self.close()
        else:
            try:
                self.transport.write(data)
            except RuntimeError as err:  # uvloop raises it where a connection is over and its loss was never signalled
                log.warning("connection to node %s failed: %s", self.ip, err)
                self.mark_closed()

    def last_heard_s(self) -> float:
        """Of the node, on any connection. One for bodies goes by itself: after a cut it may be sent again to only after
        seconds, while the one for frames is new, and heard."""
        return self.last_received_s if self.lane == BULK_LANE else self.peers.last_heard_s.get(self.ip, 0.0)

    def is_silent(self) -> bool:
        """Whether bytes were sent and no answer, nor anything else, has come from there for long."""
        return (
            self.waiting_since_s > self.last_heard_s()
            and self.peers.loop.time() - self.waiting_since_s > SILENCE_TIMEOUT_S
        )

    def data_received(self, data: bytes) -> None:
        """Bytes have come: each whole frame is taken."""
        self.last_received_s = self.peers.last_heard_s[self.ip] = self.peers.loop.time()
        self.buffer += data
        while len(self.buffer) >= frames.HEADER.size and not self.closed:
            length, kind = frames.HEADER.unpack_from(self.buffer)
            end = frames.HEADER.size + length
            if length > frames.MAX_FRAME_BYTES:
                log.warning("node %s: frame of %d bytes is too long, closing its connection", self.ip, length)
                self.close()
                return
            if len(self.buffer) < end:
                return
            body = bytes(self.buffer[frames.HEADER.size : end])
            del self.buffer[:end]
            self.receive(kind, body)

    def receive(self, kind: int, body: bytes) -> None:
        """Take a frame; one that names a body waits until the body is here."""
        try:
            frame = frames.unpack(kind, body)
        except frames.FrameError as err:
            log.warning("node %s: invalid frame, closing its connection: %s", self.ip, err)
            self.close()
            return
        if mark := frame.body_or_digest():
            self.peers.blobs.fetcher.fetch(
                mark, self.ip, lambda whole: self.deliver(replace(cast(Any, frame), body=whole)), key=(kind, body)
            )
        else:
            self.deliver(frame)

    def deliver(self, frame: frames.Frame) -> None:
        """To whoever carries it out, now that it is whole."""
        try:
            self.peers.dispatch(self, frame)
        except frames.FrameError as err:
            log.warning("node %s: invalid %s, closing its connection: %s", self.ip, type(frame).__name__, err)
            self.close()
        except Exception:
            log.exception("handler of %s from node %s failed", type(frame).__name__, self.ip)

    def connection_lost(self, exc: Exception | None) -> None:
        """The other side, or the network, has ended the connection."""
        self.mark_closed()

    def close(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()
        self.mark_closed()

    def mark_closed(self) -> None:
        """The connection is over; signalled once."""
        if not self.closed:
            self.closed = True
            self.peers.on_link_closed(self)


class ConnectProbe(asyncio.Protocol):
    """One of the connects of a link, until it is certain that it has come up: then it becomes the link's connection."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.up = self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection has come up, and may still be cancelled."""
        self.up = True

    def data_received(self, data: bytes) -> None:
        """Keep bytes that come before the connection is the link's."""
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over before it was the link's."""
        self.lost = True


class LocalLink(Link):
    """To the node itself: frames come back in the next turn of the loop."""

    def send(self, frame: frames.Frame) -> None:
        """Hand the message to this node in the next turn."""
        self.peers.loop.call_soon(self.peers.dispatch, self, frame)


class Peers:
    """All connections to other nodes."""

    def __init__(
        self,
        ip: str,
        port: int,
        on_frame: Callable[[Link, frames.Frame], None],
        on_lost: Callable[[Link], None],
        link_mbps: float,
        shared: bool = True,
    ) -> None:
        """`shared`: the link also carries clients' requests."""
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
        """When a node was last heard, on any connection, by its address."""
        self.connect_timeouts_s: dict[str, float] = {}
        """How long the next connect to a node is waited for."""
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Take connections of other nodes. Raises OSError."""
        self.server = await self.loop.create_server(lambda: Link(self, ""), self.ip, self.port)

    def dispatch(self, link: Link, frame: frames.Frame) -> None:
        """Give a message to the blob transfer, if it is one of its own, or to the node."""
        handler = self.blobs.handlers.get(type(frame), self.on_frame)
        handler(link, frame)

    def link_to(self, ip: str, lane: int = CONTROL_LANE) -> Link:
        """The connection out to a node; it comes up by itself."""
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
        """Begin to connect a link."""
        link.connecting_since_s = self.loop.time()
        link.connecting = self.loop.create_task(self.connect(link))
        self.tasks.add(link.connecting)
        link.connecting.add_done_callback(self.tasks.discard)

    def on_connected(self, ip: str) -> None:
        """A connection with a node has come up. Others to it that hang were begun while it had no power: their packets
        are sent again only after a second and more. One that was begun just now gets the time it needs first."""
        self.connect_timeouts_s[ip] = CONNECT_TIMEOUT_S[0]
        for lane in (CONTROL_LANE, BULK_LANE):
            link = self.outbound.get((ip, lane))
            if link is not None and link.transport is None and link.connecting is not None:
                left_s = link.connecting_since_s + CONNECT_RESTART_AFTER_S - self.loop.time()
                if left_s > 0:
                    self.loop.call_later(left_s, self.restart_connect, link, link.connecting)
                else:
                    self.restart_connect(link, link.connecting)

    def restart_connect(self, link: Link, connecting: asyncio.Task[None]) -> None:
        """Unless that connect has come up, or was given up, by now."""
        if link.connecting is connecting and link.transport is None and not link.closed:
            connecting.cancel()
            self.start_connect(link)

    def bulk_link_to(self, ip: str) -> Link:
        """The connection out for slices of bodies."""
        return self.link_to(ip, BULK_LANE)

    def send(self, ip: str, frame: frames.Frame) -> None:
        """Send a message to a node; the connection comes up by itself."""
        self.link_to(ip).send(frame)

    async def connect(self, link: Link) -> None:
        """Connect a link, by several connects beside each other, until one is up or time is up."""
        wait_s = self.connect_timeouts_s.get(link.ip, CONNECT_TIMEOUT_S[0])
        bulk = link.lane == BULK_LANE
        probes: dict[asyncio.Task[Any], ConnectProbe] = {}
        try:
            async with asyncio.timeout(BULK_CONNECT_TIMEOUT_S if bulk else wait_s):
                while link.transport is None and not link.closed:
                    if not bulk or len(probes) < MAX_BULK_PROBES:
                        self.probe_connect(link, probes)
                    pending = [task for task in probes if not task.done()]
                    await asyncio.wait(
                        pending,
                        timeout=PROBE_INTERVAL_S * len(probes) if bulk else PROBE_INTERVAL_S,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    for task in probes:
                        if task.done() and link.transport is None:
                            task.result()  # raises what it failed of
                            raise ConnectionResetError("lost as it came up")
        except (OSError, TimeoutError):
            if link.transport is None:
                self.connect_timeouts_s[link.ip] = min(2 * wait_s, CONNECT_TIMEOUT_S[1])
                link.mark_closed()
        finally:
            for task, probe in probes.items():
                if not probe.up:  # one that is ends by itself in the next turn
                    task.cancel()

    def probe_connect(self, link: Link, probes: dict[asyncio.Task[Any], ConnectProbe]) -> None:
        """Begin one more connect of a link."""
        probe = ConnectProbe()
        # From the node's own address: the other side knows nodes by it, also on machines with several.
        task = self.loop.create_task(
            self.loop.create_connection(lambda: probe, link.ip, self.port, local_addr=(self.ip, 0))
        )
        task.add_done_callback(lambda done: self.on_probe_done(link, done))
        probes[task] = probe

    def on_probe_done(self, link: Link, task: asyncio.Task[Any]) -> None:
        """A connect has ended. Only now is its connection a link's: cancelled a moment before, when it had come up
        already, uvloop closes it and tells nobody. The first one counts; others are closed."""
        if task.cancelled() or task.exception() is not None:
            return
        transport, probe = task.result()
        if link.transport is not None or link.closed or probe.lost:
            transport.abort()
            return
        transport.set_protocol(link)
        link.connection_made(transport)
        if probe.received:
            link.data_received(bytes(probe.received))

    def on_link_closed(self, link: Link) -> None:
        """A link is over: a later message to that node opens a new one."""
        self.links.discard(link)
        if self.outbound.get((link.ip, link.lane)) is link:
            del self.outbound[link.ip, link.lane]
        self.blobs.link_lost(link)
        self.on_lost(link)

    def close(self) -> None:
        """End all connections."""
        if self.server is not None:
            self.server.close()
        for link in [*self.links]:
            link.close()
