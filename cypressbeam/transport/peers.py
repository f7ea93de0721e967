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
SILENT_S = 1.5
#: A connect that gets no answer is given up after the first of these, and later ones after longer, up to the last: a
#: machine without power is tried again soon, one behind a full link has the time it needs.
CONNECT_TIMEOUT_S = (0.4, 1.6)
#: One for bodies is waited for longer: at a full link the answer takes seconds, and a fetch goes elsewhere by itself.
BULK_CONNECT_S = 4.0
#: One that has not come up after so long is begun anew when its machine is heard: it runs by now.
CONNECT_QUIET_S = 0.05
#: A connect that hangs is joined by another one after so long, and again: the first packet of one that was begun before
#: its machine had power is sent again only after a second, and then after two more. One that is waited for longer is
#: joined by a few in all.
KNOCK_S, KNOCKS = 0.2, 5
#: The two connections out to a node.
SMALL, BULK = 0, 1
#: Bytes that may wait for a peer that does not read.
MOST_UNWRITTEN = 8 * 1024 * 1024


class Link(asyncio.Protocol):
    """One connection to another node, either way. Frames sent before it is up wait for it."""

    def __init__(self, peers: Peers, ip: str, lane: int = SMALL) -> None:
        self.peers = peers
        self.ip = ip
        self.lane = lane
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.early: list[bytes] = []
        self.closed = False
        self.begun_s = peers.loop.time()
        self.connecting: asyncio.Task[None] | None = None
        self.asked_s = 0.0
        """When the first bytes were sent since the node was last heard."""
        self.heard_s = 0.0
        """When anything came on this connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.ip = transport.get_extra_info("peername")[0]
        if self.closed:
            self.transport.abort()
            return
        self.peers.links.add(self)
        if self.early:
            self.transport.write(b"".join(self.early))
            self.early.clear()
        self.peers.on_up(self.ip)

    def send(self, frame: frames.Frame) -> None:
        if body := frame.body_or_digest():
            self.peers.blobs.store.put(body)
        self.send_packed(frame.pack())

    def send_packed(self, data: bytes) -> None:
        if self.closed:
            return
        if self.asked_s <= self.last_heard_s():
            self.asked_s = self.peers.loop.time()
        if self.transport is None:
            self.early.append(data)
        elif self.transport.get_write_buffer_size() > MOST_UNWRITTEN:
            log.warning("node %s does not read; its connection is closed", self.ip)
            self.close()
        else:
            try:
                self.transport.write(data)
            except RuntimeError as err:  # uvloop raises it where a connection is over and its loss was never told
                log.warning("the connection to %s: %s", self.ip, err)
                self.lost()

    def last_heard_s(self) -> float:
        """Of the node, on any connection. One for bodies goes by itself: after a cut it may be sent again to only after
        seconds, while the one for frames is new, and heard."""
        return self.heard_s if self.lane == BULK else self.peers.heard.get(self.ip, 0.0)

    def silent(self) -> bool:
        """Whether bytes were sent and no answer, nor anything else, has come from there for long."""
        return self.asked_s > self.last_heard_s() and self.peers.loop.time() - self.asked_s > SILENT_S

    def data_received(self, data: bytes) -> None:
        self.heard_s = self.peers.heard[self.ip] = self.peers.loop.time()
        self.buffer += data
        while len(self.buffer) >= frames.HEADER.size and not self.closed:
            length, kind = frames.HEADER.unpack_from(self.buffer)
            end = frames.HEADER.size + length
            if length > frames.MAX_FRAME_BYTES:
                log.warning("node %s: a frame of %d bytes", self.ip, length)
                self.close()
                return
            if len(self.buffer) < end:
                return
            body = bytes(self.buffer[frames.HEADER.size : end])
            del self.buffer[:end]
            self.take(kind, body)

    def take(self, kind: int, body: bytes) -> None:
        try:
            frame = frames.unpack(kind, body)
        except frames.FrameError as err:
            log.warning("node %s: %s", self.ip, err)
            self.close()
            return
        if mark := frame.body_or_digest():
            self.peers.blobs.fetcher.need(
                mark, self.ip, lambda whole: self.hand(replace(cast(Any, frame), body=whole)), key=(kind, body)
            )
        else:
            self.hand(frame)

    def hand(self, frame: frames.Frame) -> None:
        """To whoever carries it out, now that it is whole."""
        try:
            self.peers.take(self, frame)
        except frames.FrameError as err:
            log.warning("node %s: %s: %s", self.ip, type(frame).__name__, err)
            self.close()
        except Exception:
            log.exception("%s from %s could not be carried out", type(frame).__name__, self.ip)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.lost()

    def lost(self) -> None:
        if not self.closed:
            self.closed = True
            self.peers.forget(self)


class Knock(asyncio.Protocol):
    """One of the connects of a link, until it is certain that it has come up: then it becomes the link's connection."""

    def __init__(self) -> None:
        self.early = bytearray()
        self.up = self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.up = True

    def data_received(self, data: bytes) -> None:
        self.early += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


class LocalLink(Link):
    """To the node itself: frames come back in the next turn of the loop."""

    def send(self, frame: frames.Frame) -> None:
        self.peers.loop.call_soon(self.peers.take, self, frame)


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
        self.out: dict[tuple[str, int], Link] = {}
        self.heard: dict[str, float] = {}
        """When a node was last heard, on any connection, by its address."""
        self.waits: dict[str, float] = {}
        """How long the next connect to a node is waited for."""
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        self.server = await self.loop.create_server(lambda: Link(self, ""), self.ip, self.port)

    def take(self, link: Link, frame: frames.Frame) -> None:
        handler = self.blobs.handlers.get(type(frame), self.on_frame)
        handler(link, frame)

    def to(self, ip: str, lane: int = SMALL) -> Link:
        """The connection out to a node; it comes up by itself."""
        if ip == self.ip:
            return self.local
        link = self.out.get((ip, lane))
        if link is not None and link.transport is not None and link.silent():
            link.close()
            link = None
        if link is None:
            link = self.out[ip, lane] = Link(self, ip, lane)
            self.begin(link)
        return link

    def begin(self, link: Link) -> None:
        link.begun_s = self.loop.time()
        link.connecting = self.loop.create_task(self.connect(link))
        self.tasks.add(link.connecting)
        link.connecting.add_done_callback(self.tasks.discard)

    def on_up(self, ip: str) -> None:
        """A connection with a node has come up. Others to it that hang were begun while it had no power: their packets
        are sent again only after a second and more. One that was begun just now gets the time it needs first."""
        self.waits[ip] = CONNECT_TIMEOUT_S[0]
        for lane in (SMALL, BULK):
            link = self.out.get((ip, lane))
            if link is not None and link.transport is None and link.connecting is not None:
                left_s = link.begun_s + CONNECT_QUIET_S - self.loop.time()
                if left_s > 0:
                    self.loop.call_later(left_s, self.begin_anew, link, link.connecting)
                else:
                    self.begin_anew(link, link.connecting)

    def begin_anew(self, link: Link, connecting: asyncio.Task[None]) -> None:
        """Unless that connect has come up, or was given up, by now."""
        if link.connecting is connecting and link.transport is None and not link.closed:
            connecting.cancel()
            self.begin(link)

    def bulk(self, ip: str) -> Link:
        """The connection out for slices of bodies."""
        return self.to(ip, BULK)

    def send(self, ip: str, frame: frames.Frame) -> None:
        self.to(ip).send(frame)

    async def connect(self, link: Link) -> None:
        wait_s = self.waits.get(link.ip, CONNECT_TIMEOUT_S[0])
        bulk = link.lane == BULK
        knocks: dict[asyncio.Task[Any], Knock] = {}
        try:
            async with asyncio.timeout(BULK_CONNECT_S if bulk else wait_s):
                while link.transport is None and not link.closed:
                    if not bulk or len(knocks) < KNOCKS:
                        self.knock(link, knocks)
                    pending = [task for task in knocks if not task.done()]
                    await asyncio.wait(
                        pending, timeout=KNOCK_S * len(knocks) if bulk else KNOCK_S, return_when=asyncio.FIRST_COMPLETED
                    )
                    for task in knocks:
                        if task.done() and link.transport is None:
                            task.result()  # raises what it failed of
                            raise ConnectionResetError("lost as it came up")
        except (OSError, TimeoutError):
            if link.transport is None:
                self.waits[link.ip] = min(2 * wait_s, CONNECT_TIMEOUT_S[1])
                link.lost()
        finally:
            for task, knock in knocks.items():
                if not knock.up:  # one that is ends by itself in the next turn
                    task.cancel()

    def knock(self, link: Link, knocks: dict[asyncio.Task[Any], Knock]) -> None:
        knock = Knock()
        # From the node's own address: the other side knows nodes by it, also on machines with several.
        task = self.loop.create_task(
            self.loop.create_connection(lambda: knock, link.ip, self.port, local_addr=(self.ip, 0))
        )
        task.add_done_callback(lambda done: self.knocked(link, done))
        knocks[task] = knock

    def knocked(self, link: Link, task: asyncio.Task[Any]) -> None:
        """A connect has ended. Only now is its connection a link's: cancelled a moment before, when it had come up
        already, uvloop closes it and tells nobody. The first one counts; others are closed."""
        if task.cancelled() or task.exception() is not None:
            return
        transport, knock = task.result()
        if link.transport is not None or link.closed or knock.lost:
            transport.abort()
            return
        transport.set_protocol(link)
        link.connection_made(transport)
        if knock.early:
            link.data_received(bytes(knock.early))

    def forget(self, link: Link) -> None:
        self.links.discard(link)
        if self.out.get((link.ip, link.lane)) is link:
            del self.out[link.ip, link.lane]
        self.blobs.link_lost(link)
        self.on_lost(link)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for link in [*self.links]:
            link.close()
