"""asyncio's event loop on simulated time: where it would wait for sockets, time jumps to the next timer."""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from typing import Any, Protocol

from lab.simulation.host import HOST, Host, while_alive


class SimulationStuckError(Exception):
    """Nothing is left that could ever happen."""


class Jump(selectors.SelectSelector):
    """In place of waiting, the clock moves on."""

    now_s = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Move the clock on by the time that would be waited. Raises SimulationStuckError where that is for ever."""
        if timeout is None:
            raise SimulationStuckError
        self.now_s += max(timeout, 0.0)
        return []


class Sockets(Protocol):
    """The network that carries connections and datagrams."""

    async def connect(self, loop: Loop, here: Host, factory: Callable[[], Any], ip: str, port: int) -> Any: ...

    def open_datagrams(self, here: Host, port: int, protocol: asyncio.DatagramProtocol) -> Any: ...


class EarlySocket:
    """In place of a socket that listens before all else: who connects waits until a listener takes it up."""

    def __init__(self, host: Host, port: int) -> None:
        self.port = port
        host.early.add(port)


class Listener:
    """A port at which a machine takes connections."""

    def __init__(self, host: Host, port: int) -> None:
        self.host, self.port = host, port
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        """Address and port."""
        return self.host.ip, self.port

    def close(self) -> None:
        """Later connections are refused."""
        self.host.listeners.pop(self.port, None)
        self.host.early.discard(self.port)


class Loop(asyncio.SelectorEventLoop):
    """asyncio's loop on a clock that jumps, with the sockets of a simulated network."""

    def __init__(self, sockets: Sockets) -> None:
        self.jump = Jump()
        self.sockets = sockets
        super().__init__(self.jump)

    def time(self) -> float:
        """The simulated time."""
        return self.jump.now_s

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """As asyncio's, unless the callback's host has ended by then."""
        return super().call_at(when, while_alive(callback, context), *args, context=context)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """As asyncio's, unless the callback's host has ended by then."""
        return super().call_soon(while_alive(callback, context), *args, context=context)

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, sock: Any = None, **_: Any
    ) -> Any:
        """Listen at a port of the host that asks."""
        here = HOST.get()
        assert here is not None
        port = sock.port if isinstance(sock, EarlySocket) else port
        here.listeners[port] = protocol_factory
        return Listener(here, port)

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        """Connect from the host that asks."""
        here = HOST.get()
        assert here is not None
        return await self.sockets.connect(self, here, protocol_factory, host, port)

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any = None, **_: Any
    ) -> Any:
        """Open a port for datagrams at the host that asks."""
        here = HOST.get()
        assert here is not None
        return self.sockets.open_datagrams(here, local_addr[1], protocol_factory())
