"""Connections and datagram sockets of the simulated network, as asyncio's transports.

A connection delivers its bytes in order; packet loss shows as delay, as it does with TCP. A host with a processing cost
(`Host.cpu_cost_s`) reads one chunk after another, each once the processing of those before it has finished.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from lab.simulation.host import Host
from lab.simulation.links import Links

#: Least time between events that must stay in order: timers due at the same time may run in any order.
ORDERING_GAP_S = 1e-7
#: Undeliverable bytes are retransmitted after this delay, which doubles up to the maximum.
RETRANSMIT_S, MAX_RETRANSMIT_S = 0.2, 60.0


class NoSocket:
    """Stands in for a connection's socket and accepts every option."""

    def setsockopt(self, *_: Any) -> None:
        """Ignore the option."""


class Endpoint(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, links: Links, host: Host, peer: Host, port: int) -> None:
        super().__init__({"peername": (peer.ip, port), "socket": NoSocket(), "unread": self.has_unread})
        self.loop, self.links, self.host, self.peer = loop, links, host, peer
        self.host_lives = host.life, peer.life
        self.remote_end: Endpoint | None = None
        self.protocol: Any = None
        self.closed = False
        self.last_arrival_s = 0.0
        self.unsent: list[bytes] = []
        self.retransmit_s = RETRANSMIT_S
        self.receive_buffer: deque[bytes] = deque()
        self.bytes_written = self.bytes_read = 0
        """Bytes that this end has sent, and bytes that its protocol has received."""
        self.paused = False
        self.pending_error: Exception | None = None
        """The error with which the remote end closed; reported once the receive buffer has been read."""
        self.abandoned = False

    def write(self, data: Any) -> None:
        """Send bytes; they arrive after the links' delay."""
        if self.abandoned:
            raise RuntimeError("the handler is closed")  # uvloop's message
        if self.closed:
            return
        self.host.messages += 1
        self.host.bytes += len(data)
        self.bytes_written += len(data)
        if self.links.refused(self.host, self.peer):
            self.finish(ConnectionResetError("connection reset by a network partition"))
        elif self.unsent or not self.links.is_reachable(self.host, self.peer):
            self.buffer(bytes(data))
        else:
            self.transmit(bytes(data))

    def buffer(self, data: bytes) -> None:
        """Keep bytes that can't be delivered now, and retransmit them later."""
        if not self.unsent:
            self.retransmit_s = RETRANSMIT_S
            self.loop.call_later(RETRANSMIT_S, self.retransmit, context=self.host.context)
        self.unsent.append(data)

    def retransmit(self) -> None:
        """Send the buffered bytes again, or back off if the peer is still unreachable."""
        if self.closed:
            return
        if self.links.is_reachable(self.host, self.peer):
            unsent, self.unsent = self.unsent, []
            for data in unsent:
                self.transmit(data)
        else:
            self.retransmit_s = min(2 * self.retransmit_s, MAX_RETRANSMIT_S)
            self.loop.call_later(self.retransmit_s, self.retransmit, context=self.host.context)

    def transmit(self, data: bytes) -> None:
        """Schedule the arrival of bytes at the remote end."""
        if (self.peer.life, self.peer.up) != (self.host_lives[1], True):
            self.finish(ConnectionResetError("peer restarted"))  # the new process has no such connection
            return
        self.last_arrival_s = max(
            self.last_arrival_s + ORDERING_GAP_S, self.links.arrival_s(self.host, self.peer, len(data))
        )
        assert self.remote_end is not None
        self.loop.call_at(self.last_arrival_s, self.remote_end.receive, data, context=self.peer.context)

    def writelines(self, data: Any) -> None:
        """Send several chunks as one."""
        self.write(b"".join(data))

    def write_eof(self) -> None:
        """Do nothing: half-closed connections are not simulated, the peer sees the end at close."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: there is no backpressure, bytes that wait for a link count as sent."""

    def has_unread(self) -> bool:
        """Whether received data, or the remote end's close, has not reached the protocol yet."""
        return bool(self.receive_buffer) or self.pending_error is not None

    def receive(self, data: bytes) -> None:
        """Accept bytes that have arrived; the protocol receives them once the host has processed what came before."""
        if self.closed:
            return
        host = self.host
        if host.cpu_cost_s is None and not self.paused and not self.receive_buffer:
            self.deliver(data)
            return
        self.receive_buffer.append(data)
        if host.cpu_cost_s is None:
            return
        cost_s = host.cpu_cost_s(len(data))
        host.busy_until_s = max(host.busy_until_s, self.loop.time()) + cost_s
        host.cpu_used_s += cost_s
        self.loop.call_at(host.busy_until_s, self.deliver_buffered, context=host.context)

    def deliver(self, data: bytes) -> None:
        """Pass bytes to the protocol."""
        self.bytes_read += len(data)
        self.protocol.data_received(data)

    def delivered(self) -> bool:
        """Whether the remote end has read everything that this end sent."""
        return self.remote_end is not None and self.remote_end.bytes_read >= self.bytes_written

    def deliver_buffered(self) -> None:
        """Pass buffered bytes to the protocol, then a pending close."""
        while self.receive_buffer and not self.closed and not self.paused:
            self.deliver(self.receive_buffer.popleft())
            if self.host.cpu_cost_s is not None:
                break  # with a processing cost, each chunk has its own callback
        if self.pending_error is not None and not self.receive_buffer and not self.closed:
            self.finish(self.pending_error)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol that receives data from now on."""
        self.protocol = protocol

    def pause_reading(self) -> None:
        """Buffer received data."""
        self.paused = True

    def resume_reading(self) -> None:
        """Deliver buffered data in the next loop iteration."""
        self.paused = False
        self.loop.call_soon(self.deliver_buffered, context=self.host.context)

    def close_after_buffered(self, err: Exception) -> None:
        """Handle the remote end's close: the protocol learns of it after all data sent before."""
        if self.receive_buffer and not self.closed:
            self.pending_error = err
        else:
            self.finish(err)

    def finish(self, err: Exception | None) -> None:
        """Close this end and notify the protocol."""
        if not self.closed:
            self.closed = True
            self.loop.call_soon(self.protocol.connection_lost, err, context=self.host.context)

    def abort(self) -> None:
        """Close the connection; the remote end learns of it if it is reachable."""
        if self.closed or self.loop.is_closed():
            return
        self.finish(None)
        if self.links.is_reachable(self.host, self.peer) and self.remote_end is not None:
            closes_s = max(
                self.last_arrival_s + ORDERING_GAP_S, self.loop.time() + self.links.transfer_delay(self.host, self.peer)
            )
            self.loop.call_at(
                closes_s,
                self.remote_end.close_after_buffered,
                ConnectionResetError("closed by the peer"),
                context=self.peer.context,
            )

    close = abort

    def abandon(self) -> None:
        """Close after the connecting task was cancelled: the protocol is not notified, and later writes raise."""
        protocol, self.protocol = self.protocol, asyncio.Protocol()
        self.abort()
        self.protocol, self.abandoned = protocol, True

    def is_closing(self) -> bool:
        """Whether this end is closed."""
        return self.closed

    def get_write_buffer_size(self) -> int:
        """Bytes that wait for retransmission."""
        return sum(map(len, self.unsent))


#: Sends a datagram from a socket to an address.
SendDatagram = Callable[["DatagramSocket", tuple[str, int], bytes], None]


class DatagramSocket(asyncio.DatagramTransport):
    """A datagram socket of one host."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, links: Links, send_datagram: SendDatagram, host: Host, port: int
    ) -> None:
        super().__init__()
        self.loop, self.links, self.send_datagram, self.host, self.port = loop, links, send_datagram, host, port
        self.closed = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram, which may be lost."""
        self.host.messages += 1
        self.host.bytes += len(data)
        self.send_datagram(self, addr, bytes(data))

    def close(self) -> None:
        """Stop receiving."""
        self.closed = True
        self.host.datagrams.pop(self.port, None)

    abort = close

    def is_closing(self) -> bool:
        """Whether the socket is closed."""
        return self.closed
