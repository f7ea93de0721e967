"""asyncio's event loop on virtual time: instead of waiting for sockets, it advances to the next timer."""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from typing import Any, Protocol

from lab.simulation.host import HOST, Host, while_alive


class SimulationStuckError(Exception):
    """The event loop has no callback and no timer left, so it would block forever."""


class TimeSkippingSelector(selectors.SelectSelector):
    """A selector that advances the virtual clock instead of blocking."""

    now_s = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout. Raises SimulationStuckError if there is no timeout."""
        if timeout is None:
            raise SimulationStuckError
        self.now_s += max(timeout, 0.0)
        return []


class Transports(Protocol):
    """The network that opens connections and datagram sockets."""

    async def connect(self, loop: Loop, here: Host, factory: Callable[[], Any], ip: str, port: int) -> Any: ...

    def open_datagrams(self, here: Host, port: int, protocol: asyncio.DatagramProtocol) -> Any: ...


class EarlySocket:
    """Stands in for a socket bound before the server starts: connects wait until a listener uses the port."""

    def __init__(self, host: Host, port: int) -> None:
        self.port = port
        host.early.add(port)


class Listener:
    """A port on which a host accepts connections, with the interface of asyncio's server."""

    def __init__(self, host: Host, port: int) -> None:
        self.host, self.port = host, port
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        """The address and port of the listener."""
        return self.host.ip, self.port

    def close(self) -> None:
        """Stop listening: later connections are refused."""
        self.host.listeners.pop(self.port, None)
        self.host.early.discard(self.port)


class Loop(asyncio.SelectorEventLoop):
    """asyncio's loop with a virtual clock and the transports of a simulated network."""

    def __init__(self, network: Transports) -> None:
        self.time_selector = TimeSkippingSelector()
        self.network = network
        super().__init__(self.time_selector)

    def time(self) -> float:
        """The virtual time, in seconds."""
        return self.time_selector.now_s

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback; it is skipped if its host has been stopped by then."""
        return super().call_at(when, while_alive(callback, context), *args, context=context)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback; it is skipped if its host has been stopped by then."""
        return super().call_soon(while_alive(callback, context), *args, context=context)

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, sock: Any = None, **_: Any
    ) -> Any:
        """Listen on a port of the calling host."""
        here = HOST.get()
        assert here is not None
        port = sock.port if isinstance(sock, EarlySocket) else port
        here.listeners[port] = protocol_factory
        return Listener(here, port)

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        """Open a connection from the calling host."""
        here = HOST.get()
        assert here is not None
        return await self.network.connect(self, here, protocol_factory, host, port)

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any = None, **_: Any
    ) -> Any:
        """Open a datagram socket on the calling host."""
        here = HOST.get()
        assert here is not None
        return self.network.open_datagrams(here, local_addr[1], protocol_factory())
