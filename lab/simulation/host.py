"""Simulated hosts, and callbacks that are dropped when their host stops."""

from __future__ import annotations

import asyncio
import contextvars
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

#: The host on which the current code runs.
HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)


@dataclass(eq=False)
class Host:
    """One machine. Callbacks scheduled before its last stop are never run."""

    ip: str
    zone: str
    up: bool = False
    life: int = 0
    """How often it was started."""
    listeners: dict[int, Callable[[], asyncio.BaseProtocol]] = field(default_factory=dict)
    datagrams: dict[int, asyncio.DatagramProtocol] = field(default_factory=dict)
    """The protocol that receives datagrams, by port."""
    context: contextvars.Context = field(default_factory=contextvars.copy_context)
    messages: int = 0
    bytes: int = 0
    """Messages and bytes sent."""
    mbps: float = math.inf
    """Link bandwidth in each direction, in Mbit/s."""
    out_free_s: float = 0.0
    in_free_s: float = 0.0
    """When the queue of its link is empty, outbound and inbound."""
    cpu_cost_s: Callable[[int], float] | None = None
    """CPU seconds that reading a chunk of a given size costs, including all processing it causes. None: no cost."""
    busy_until_s: float = 0.0
    cpu_used_s: float = 0.0
    """CPU seconds used so far."""
    early: set[int] = field(default_factory=set)
    """Ports where connections wait until a listener is started."""


def while_alive(callback: Callable[..., object], context: contextvars.Context | None) -> Callable[..., object]:
    """Wrap a callback so that it does nothing if its host was stopped or restarted in the meantime."""
    host = HOST.get() if context is None else context.get(HOST)
    if host is None:
        return callback
    life = host.life

    def call(*args: Any) -> object:
        return callback(*args) if host.up and host.life == life else None

    return call
