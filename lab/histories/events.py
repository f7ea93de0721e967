"""Simulated time: a queue of events, each handled at its time by the handler of its kind."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class EventLoop:
    """Handles events in time order. An event has a kind, a target (such as a machine), and further arguments."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.events: list[tuple[float, int, tuple[Any, ...]]] = []
        self.numbers = itertools.count()
        self.handlers: dict[str, Callable[..., None]] = {}
        """By event kind. A handler receives the target and the further arguments."""

    def at(self, delay_s: float, *what: Any) -> None:
        """Schedule an event: its kind, its target, and further arguments."""
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.numbers), what))

    def step(self) -> None:
        """Handle the next event."""
        self.now_s, _, what = heapq.heappop(self.events)
        kind, where, *rest = what
        self.handlers[kind](where, *rest)

    def skip(self) -> None:
        """Advance to the next event and drop it without handling it."""
        self.now_s, _, _ = heapq.heappop(self.events)

    def run(self, until_s: float) -> None:
        """Handle all events before a time."""
        while self.events and self.events[0][0] < until_s:
            self.step()
        self.now_s = until_s
