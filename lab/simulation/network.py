"""The simulated network: hosts, and the connections and datagrams between them."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from lab.simulation.clock import Loop
from lab.simulation.connections import DatagramSocket, Endpoint
from lab.simulation.host import HOST, Host
from lab.simulation.links import Links

#: The SYN to an unreachable host is retried after this delay, which doubles until the connect times out.
#: A host that is up but has no listener refuses at once.
SYN_RETRY_S, MAX_SYN_RETRY_S = 1.0, 3600.0
#: How often a connect that waits for a listener checks for it.
LISTENER_POLL_S = 0.005


class Net(Links):
    """All hosts and the network between them."""

    def __init__(self, seed: int) -> None:
        self.loop = Loop(self)
        self.loop.set_exception_handler(self.on_callback_error)
        super().__init__(random.Random(seed), self.loop.time)
        self.hosts: dict[str, Host] = {}
        self.faults: Counter[str] = Counter()
        """Errors raised in callbacks; every run must end without any."""

    def on_callback_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record an error raised in a callback."""
        message = context.get("message", "")
        if "exception" in context or "pending" not in message:  # a power loss leaves tasks pending
            self.faults[f"{message}: {context.get('exception')!r}"] += 1

    def close(self) -> None:
        """Close all tasks and the loop. Tasks of stopped hosts never resume, so their coroutines are closed here;
        otherwise the garbage collector would finish them after the loop is closed, which they still use."""
        for task in asyncio.all_tasks(self.loop):
            with contextlib.suppress(RuntimeError):
                task.get_coro().close()
        for host in self.hosts.values():
            self.stop(host)
        self.loop.close()

    def add(self, ip: str, zone: str) -> Host:
        """Add a host, which is not started yet."""
        host = self.hosts[ip] = Host(ip, zone)
        return host

    def open_datagrams(self, local: Host, port: int, protocol: asyncio.DatagramProtocol) -> Any:
        """Open a datagram socket. Returns its transport and protocol."""
        transport = DatagramSocket(self.loop, self, self.carry_datagram, local, port)
        local.datagrams[port] = protocol
        protocol.connection_made(transport)
        return transport, protocol

    def carry_datagram(self, socket: DatagramSocket, address: tuple[str, int], data: bytes) -> None:
        """Send a datagram, which may be lost and is dropped at a congested link."""
        local, remote = socket.host, self.hosts.get(address[0])
        if (
            remote is None
            or not self.is_reachable(local, remote)
            or self.drops_packet()
            or self.is_congested(local, remote)
        ):
            return
        self.loop.call_later(
            self.packet_delay(local, remote),
            self.deliver_datagram,
            remote,
            address[1],
            data,
            (local.ip, socket.port),
            context=remote.context,
        )

    def deliver_datagram(self, receiver: Host, port: int, data: bytes, source: tuple[str, int]) -> None:
        """Pass an arrived datagram to the protocol of its port."""
        if port in receiver.datagrams:
            receiver.datagrams[port].datagram_received(data, source)

    async def connect(self, loop: Loop, local: Host, factory: Callable[[], Any], ip: str, port: int) -> Any:
        """Connect a host to an address. Returns the transport and protocol of the connecting end."""
        remote = self.hosts.get(ip)
        await asyncio.sleep(self.syn_delay(local, remote) if remote is not None else 0.0)
        remote = await self.wait_until_reachable(local, remote, f"{ip}:{port}")
        await asyncio.sleep(self.syn_delay(remote, local))
        while port in remote.early and port not in remote.listeners and remote.up:
            await asyncio.sleep(LISTENER_POLL_S)
        listener = remote.listeners.get(port)
        if listener is None or not remote.up:
            raise ConnectionRefusedError(f"{ip}:{port}")
        client_end, server_end = Endpoint(loop, self, local, remote, port), Endpoint(loop, self, remote, local, port)
        client_end.remote_end, server_end.remote_end = server_end, client_end
        server_end.protocol = remote.context.copy().run(listener)
        client_end.protocol = factory()
        loop.call_soon(server_end.protocol.connection_made, server_end, context=remote.context)
        client_end.protocol.connection_made(client_end)
        try:
            await asyncio.sleep(0)  # the caller resumes one loop iteration later
        except asyncio.CancelledError:
            client_end.abandon()
            raise
        return client_end, client_end.protocol

    async def wait_until_reachable(self, local: Host, remote: Host | None, address: str) -> Host:
        """Retry the handshake until both directions work, since the SYN needs an answer. Raises ConnectionRefusedError
        or TimeoutError."""
        retry_s = SYN_RETRY_S
        while remote is None or not (self.is_reachable(local, remote) and self.is_reachable(remote, local)):
            if remote is not None and (self.refused(local, remote) or self.refused(remote, local)):
                raise ConnectionRefusedError(address)
            await asyncio.sleep(retry_s)
            retry_s *= 2
            if retry_s > MAX_SYN_RETRY_S:
                raise TimeoutError
        return remote

    def start(self, host: Host) -> None:
        """Start a host; code that runs in `host.context` from now on runs on it."""
        host.up = True
        host.life += 1
        host.context = contextvars.copy_context()
        host.context.run(HOST.set, host)

    def stop(self, host: Host) -> None:
        """Cut a host's power: its peers are not notified."""
        host.up = False
        host.listeners.clear()
        host.datagrams.clear()
        host.early.clear()
        host.busy_until_s = 0.0
