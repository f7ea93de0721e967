"""The simulated network: all hosts, and the connections and datagrams between them."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from lab.simulation.clock import Loop
from lab.simulation.connections import DatagramSocket, End
from lab.simulation.host import HOST, Host
from lab.simulation.links import Links

#: A machine that is known but has no listener refuses at once; one without power lets the caller wait. The first packet
#: of a connection is sent again after so long, then after twice that, and so on.
SYN_AGAIN_S, FOREVER_S = 1.0, 3600.0
#: How often one that waits for a listener looks for it.
EARLY_TICK_S = 0.005


class Net(Links):
    """All hosts, and what is between them."""

    def __init__(self, seed: int) -> None:
        self.loop = Loop(self)
        self.loop.set_exception_handler(self.fault)
        super().__init__(random.Random(seed), self.loop.time)
        self.hosts: dict[str, Host] = {}
        self.faults: Counter[str] = Counter()
        """What went wrong in callbacks: none of it may."""

    def fault(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A callback has failed."""
        message = context.get("message", "")
        if "exception" in context or "pending" not in message:  # without power a machine leaves its tasks as they are
            self.faults[f"{message}: {context.get('exception')!r}"] += 1

    def close(self) -> None:
        """End all tasks and close the loop. Those of machines without power never wake, so their coroutines are closed
        where they wait: left alone, they would end after the loop, which they still use as they do."""
        for task in asyncio.all_tasks(self.loop):
            with contextlib.suppress(RuntimeError):
                task.get_coro().close()
        for host in self.hosts.values():
            self.stop(host)
        self.loop.close()

    def add(self, ip: str, zone: str) -> Host:
        """One more host, without power yet."""
        host = self.hosts[ip] = Host(ip, zone)
        return host

    def open_datagrams(self, here: Host, port: int, protocol: asyncio.DatagramProtocol) -> Any:
        """A port for datagrams; gives its transport and protocol."""
        transport = DatagramSocket(self.loop, self, self.carry_datagram, here, port)
        here.datagrams[port] = protocol
        protocol.connection_made(transport)
        return transport, protocol

    def carry_datagram(self, socket: DatagramSocket, address: tuple[str, int], data: bytes) -> None:
        """It may be lost, and is dropped at a full link."""
        here, there = socket.host, self.hosts.get(address[0])
        if there is None or not self.open(here, there) or self.lost() or self.full(here, there):
            return
        self.loop.call_later(
            self.way(here, there), self.hand, there, address[1], data, (here.ip, socket.port), context=there.context
        )

    def hand(self, to: Host, port: int, data: bytes, source: tuple[str, int]) -> None:
        """A datagram is there."""
        if port in to.datagrams:
            to.datagrams[port].datagram_received(data, source)

    async def connect(self, loop: Loop, here: Host, factory: Callable[[], Any], ip: str, port: int) -> Any:
        """A connection from a host to an address; gives its transport and protocol."""
        there = self.hosts.get(ip)
        await asyncio.sleep(self.trip(here, there) if there is not None else 0.0)
        there = await self.reach(here, there, f"{ip}:{port}")
        await asyncio.sleep(self.trip(there, here))
        while port in there.early and port not in there.listeners and there.up:
            await asyncio.sleep(EARLY_TICK_S)
        listener = there.listeners.get(port)
        if listener is None or not there.up:
            raise ConnectionRefusedError(f"{ip}:{port}")
        near, far = End(loop, self, here, there, port), End(loop, self, there, here, port)
        near.other, far.other = far, near
        far.protocol = there.context.copy().run(listener)
        near.protocol = factory()
        loop.call_soon(far.protocol.connection_made, far, context=there.context)
        near.protocol.connection_made(near)
        try:
            await asyncio.sleep(0)  # who connects learns of it a turn later
        except asyncio.CancelledError:
            near.vanish()
            raise
        return near, near.protocol

    async def reach(self, here: Host, there: Host | None, address: str) -> Host:
        """Wait until both ways between the two are open, as the first packet is sent again and again: the other side's
        answer to it is waited for. Raises ConnectionRefusedError or TimeoutError."""
        again_s = SYN_AGAIN_S
        while there is None or not (self.open(here, there) and self.open(there, here)):
            if there is not None and (self.refused(here, there) or self.refused(there, here)):
                raise ConnectionRefusedError(address)
            await asyncio.sleep(again_s)
            again_s *= 2
            if again_s > FOREVER_S:
                raise TimeoutError
        return there

    def start(self, host: Host) -> None:
        """Give a host its power; what runs in `host.context` from now on lives there."""
        host.up = True
        host.life += 1
        host.context = contextvars.copy_context()
        host.context.run(HOST.set, host)

    def stop(self, host: Host) -> None:
        """All power is lost: nobody is told."""
        host.up = False
        host.listeners.clear()
        host.datagrams.clear()
        host.early.clear()
        host.busy_until_s = 0.0
