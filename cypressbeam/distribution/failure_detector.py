"""Failure detection of the few peers assigned to a node: UDP probes, and a callback for peers that don't answer."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any, cast

PROBE_INTERVAL_S = 0.7
#: Consecutive missed probes after which a peer is reported; a single datagram may be lost.
MAX_MISSED_PROBES = 3
PACKET = struct.Struct("!BI")
PING, PONG = 1, 2


class UdpFailureDetector(asyncio.DatagramProtocol):
    """Calls `on_silent` with the name of a node that missed too many probes, at each tick until it answers."""

    def __init__(self, port: int, on_silent: Callable[[str], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.port = port
        self.on_silent = on_silent
        self.names: dict[str, str] = {}
        """Names of the probed nodes, by address."""
        self.missed_probes: dict[str, int] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.number = 0

    async def start(self, ip: str) -> None:
        """Open the port and start probing. Raises OSError."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=(ip, self.port))
        self.tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the open port."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def watch(self, ips: tuple[str, ...], names: tuple[str, ...]) -> None:
        """Replace the set of probed nodes."""
        self.names = dict(zip(ips, names, strict=True))
        self.missed_probes = {ip: self.missed_probes.get(ip, 0) for ip in ips}

    def tick(self) -> None:
        """Report nodes that missed too many probes, and probe each node again."""
        self.loop.call_later(PROBE_INTERVAL_S, self.tick)
        self.number += 1
        for ip, name in self.names.items():
            if self.missed_probes[ip] >= MAX_MISSED_PROBES:
                self.on_silent(name)
            self.missed_probes[ip] += 1
            self.send(PING, self.number, (ip, self.port))

    def send(self, kind: int, number: int, to: tuple[str, int]) -> None:
        """Send a probe or a reply."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(PACKET.pack(kind, number), to)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Reply to a probe, or record a reply."""
        if len(data) != PACKET.size:
            return
        kind, number = PACKET.unpack(data)
        if kind == PING:
            self.send(PONG, number, (addr[0], addr[1]))
        elif addr[0] in self.missed_probes:
            self.missed_probes[addr[0]] = 0

    def close(self) -> None:
        """Close the port."""
        if self.transport is not None:
            self.transport.close()
