"""Failure detection of the few peers that a node was assigned: datagrams there and back, and a report to the root."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any, cast

PROBE_INTERVAL_S = 0.7
#: Datagrams get lost; so many in a row do not.
MAX_MISSED_PROBES = 3
PACKET = struct.Struct("!BI")
PING, PONG = 1, 2


class UdpFailureDetector(asyncio.DatagramProtocol):
    """`on_silent` gets the name of a node that has not answered for a while, again and again while it is watched."""

    def __init__(self, port: int, on_silent: Callable[[str], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.port = port
        self.on_silent = on_silent
        self.names: dict[str, str] = {}
        """Names of the watched, by address."""
        self.missed_probes: dict[str, int] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.number = 0

    async def start(self, ip: str) -> None:
        """Open the port, and begin to probe. Raises OSError."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=(ip, self.port))
        self.tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The port is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def watch(self, ips: tuple[str, ...], names: tuple[str, ...]) -> None:
        """Probe these nodes from now on, and no others."""
        self.names = dict(zip(ips, names, strict=True))
        self.missed_probes = {ip: self.missed_probes.get(ip, 0) for ip in ips}

    def tick(self) -> None:
        """Send a probe to each, and report those that miss too many."""
        self.loop.call_later(PROBE_INTERVAL_S, self.tick)
        self.number += 1
        for ip, name in self.names.items():
            if self.missed_probes[ip] >= MAX_MISSED_PROBES:
                self.on_silent(name)
            self.missed_probes[ip] += 1
            self.send(PING, self.number, (ip, self.port))

    def send(self, kind: int, number: int, to: tuple[str, int]) -> None:
        """Send a probe, or the answer to one."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(PACKET.pack(kind, number), to)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Answer a probe, or take an answer."""
        if len(data) != PACKET.size:
            return
        kind, number = PACKET.unpack(data)
        if kind == PING:
            self.send(PONG, number, (addr[0], addr[1]))
        elif addr[0] in self.missed_probes:
            self.missed_probes[addr[0]] = 0

    def close(self) -> None:
        """Probe no more."""
        if self.transport is not None:
            self.transport.close()
