"""Simulated machines, and callbacks that end with them."""

from __future__ import annotations

import asyncio
import contextvars
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

#: The machine on which the code that runs now lives.
HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)


@dataclass(eq=False)
class Host:
    """One machine. What an earlier life of it has set up is never called again."""

    ip: str
    zone: str
    up: bool = False
    life: int = 0
    listeners: dict[int, Callable[[], asyncio.BaseProtocol]] = field(default_factory=dict)
    datagrams: dict[int, asyncio.DatagramProtocol] = field(default_factory=dict)
    """What receives the datagrams at each port."""
    context: contextvars.Context = field(default_factory=contextvars.copy_context)
    messages: int = 0
    bytes: int = 0
    """What it has sent."""
    mbps: float = math.inf
    """What its link carries, each way."""
    out_free_s: float = 0.0
    in_free_s: float = 0.0
    """When its link will have carried what waits, each way."""
    work_s: Callable[[int], float] | None = None
    """The processor time that reading so many bytes takes, with all that follows from it. None: no time at all."""
    busy_until_s: float = 0.0
    worked_s: float = 0.0
    early: set[int] = field(default_factory=set)
    """Ports where connections wait for a listener that is to come."""


def while_alive(callback: Callable[..., object], context: contextvars.Context | None) -> Callable[..., object]:
    """The callback, unless its host has ended by then."""
    host = HOST.get() if context is None else context.get(HOST)
    if host is None:
        return callback
    life = host.life

    def call(*args: Any) -> object:
        return callback(*args) if host.up and host.life == life else None

    return call
