"""Connections and datagram sockets of the simulated network, as asyncio's transports.

A connection keeps the order of its bytes, whatever is lost on the way: loss shows as delay, as it does with TCP. A
machine with a price for its work reads one thing after another, each as late as what came before it has taken.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from lab.simulation.host import Host
from lab.simulation.links import Links

#: Timers of one instant come in any order: what must stay in order is set apart.
LATER_S = 1e-7
#: Bytes that can't get through are sent again after so long, then after twice that, and so on.
PROBE_S, MOST_PROBE_S = 0.2, 60.0


class NoSocket:
    """In place of a connection's socket: takes every option."""

    def setsockopt(self, *_: Any) -> None:
        """Nothing is behind it."""


class End(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, links: Links, host: Host, peer: Host, port: int) -> None:
        super().__init__({"peername": (peer.ip, port), "socket": NoSocket(), "unread": self.unread})
        self.loop, self.links, self.host, self.peer = loop, links, host, peer
        self.lives = host.life, peer.life
        self.other: End | None = None
        self.protocol: Any = None
        self.shut = False
        self.arrives_s = 0.0
        self.held: list[bytes] = []
        self.probe_s = PROBE_S
        self.inbox: deque[bytes] = deque()
        self.written = self.read_so_far = 0
        """Bytes that this side has sent, and that its reader has been given."""
        self.paused = False
        self.ended: Exception | None = None
        """How the other side has ended it, once what it sent before has been read."""
        self.gone = False

    def write(self, data: Any) -> None:
        """Send bytes; they are there after the links' delay."""
        if self.gone:
            raise RuntimeError("the handler is closed")  # as uvloop says it
        if self.shut:
            return
        self.host.messages += 1
        self.host.bytes += len(data)
        self.written += len(data)
        if self.links.refused(self.host, self.peer):
            self.end(ConnectionResetError("cut"))
        elif self.held or not self.links.open(self.host, self.peer):
            self.hold(bytes(data))
        else:
            self.carry(bytes(data))

    def hold(self, data: bytes) -> None:
        """Bytes don't get through: they wait, and are sent again."""
        if not self.held:
            self.probe_s = PROBE_S
            self.loop.call_later(PROBE_S, self.probe, context=self.host.context)
        self.held.append(data)

    def probe(self) -> None:
        """Bytes that did not get through are sent again."""
        if self.shut:
            return
        if self.links.open(self.host, self.peer):
            held, self.held = self.held, []
            for data in held:
                self.carry(data)
        else:
            self.probe_s = min(2 * self.probe_s, MOST_PROBE_S)
            self.loop.call_later(self.probe_s, self.probe, context=self.host.context)

    def carry(self, data: bytes) -> None:
        """Bytes are on their way."""
        if (self.peer.life, self.peer.up) != (self.lives[1], True):
            self.end(ConnectionResetError("another life"))  # it knows nothing of this connection
            return
        self.arrives_s = max(self.arrives_s + LATER_S, self.links.through(self.host, self.peer, len(data)))
        assert self.other is not None
        self.loop.call_at(self.arrives_s, self.other.take, data, context=self.peer.context)

    def writelines(self, data: Any) -> None:
        """Send all of them."""
        self.write(b"".join(data))

    def write_eof(self) -> None:
        """The other side sees the end once it is closed; a half-closed connection is not told apart."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Writers are never held up here: what a link can't carry yet is on its way."""

    def unread(self) -> bool:
        """Whether something has come that its reader has not seen."""
        return bool(self.inbox) or self.ended is not None

    def take(self, data: bytes) -> None:
        """Bytes have come: they are read once the machine gets to it."""
        if self.shut:
            return
        host = self.host
        if host.work_s is None and not self.paused and not self.inbox:
            self.give(data)
            return
        self.inbox.append(data)
        if host.work_s is None:
            return
        cost_s = host.work_s(len(data))
        host.busy_until_s = max(host.busy_until_s, self.loop.time()) + cost_s
        host.worked_s += cost_s
        self.loop.call_at(host.busy_until_s, self.read, context=host.context)

    def give(self, data: bytes) -> None:
        """Hand bytes to the reader."""
        self.read_so_far += len(data)
        self.protocol.data_received(data)

    def delivered(self) -> bool:
        """Whether the other side has read all that this one has sent."""
        return self.other is not None and self.other.read_so_far >= self.written

    def read(self) -> None:
        """Give what has come to the protocol."""
        while self.inbox and not self.shut and not self.paused:
            self.give(self.inbox.popleft())
            if self.host.work_s is not None:
                break  # each piece has a turn of its own
        if self.ended is not None and not self.inbox and not self.shut:
            self.end(self.ended)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Who is given what comes from now on."""
        self.protocol = protocol

    def pause_reading(self) -> None:
        """Hold back what comes."""
        self.paused = True

    def resume_reading(self) -> None:
        """Give what was held back, in the next turn."""
        self.paused = False
        self.loop.call_soon(self.read, context=self.host.context)

    def ends(self, err: Exception) -> None:
        """The other side has ended it: told behind all that it has sent."""
        if self.inbox and not self.shut:
            self.ended = err
        else:
            self.end(err)

    def end(self, err: Exception | None) -> None:
        """The connection is over at this end."""
        if not self.shut:
            self.shut = True
            self.loop.call_soon(self.protocol.connection_lost, err, context=self.host.context)

    def abort(self) -> None:
        """End the connection; the other side is told, if packets get there."""
        if self.shut or self.loop.is_closed():
            return
        self.end(None)
        if self.links.open(self.host, self.peer) and self.other is not None:
            late_s = max(self.arrives_s + LATER_S, self.loop.time() + self.links.delay(self.host, self.peer))
            self.loop.call_at(late_s, self.other.ends, ConnectionResetError("closed"), context=self.peer.context)

    close = abort

    def vanish(self) -> None:
        """Closed by the loop, for who connects was cancelled: its protocol is not told."""
        told, self.protocol = self.protocol, asyncio.Protocol()
        self.abort()
        self.protocol, self.gone = told, True

    def is_closing(self) -> bool:
        """Whether it is over at this end."""
        return self.shut

    def get_write_buffer_size(self) -> int:
        """Bytes that wait to be sent again."""
        return sum(map(len, self.held))


#: Carries a datagram from a socket to an address.
Hand = Callable[["DatagramSocket", tuple[str, int], bytes], None]


class DatagramSocket(asyncio.DatagramTransport):
    """A port for datagrams at one machine."""

    def __init__(self, loop: asyncio.AbstractEventLoop, links: Links, hand: Hand, host: Host, port: int) -> None:
        super().__init__()
        self.loop, self.links, self.hand, self.host, self.port = loop, links, hand, host, port
        self.shut = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram: it may be lost."""
        self.host.messages += 1
        self.host.bytes += len(data)
        self.hand(self, addr, bytes(data))

    def close(self) -> None:
        """Receive no more."""
        self.shut = True
        self.host.datagrams.pop(self.port, None)

    abort = close

    def is_closing(self) -> bool:
        """Whether it is over at this end."""
        return self.shut
