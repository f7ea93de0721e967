"""Simulated time: a queue of events, each handled at its time by the handler of its kind."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class EventLoop:
    """Handles events in the order of their times. An event is its kind, whom it concerns, and what its handler is
    given besides."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.events: list[tuple[float, int, tuple[Any, ...]]] = []
        self.numbers = itertools.count()
        self.handlers: dict[str, Callable[..., None]] = {}
        """By the event's kind. A handler is given whom the event concerns, and the rest."""

    def at(self, delay_s: float, *what: Any) -> None:
        """Put an event into the queue: its kind, whom it concerns, and the rest."""
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.numbers), what))

    def step(self) -> None:
        """Handle the next event."""
        self.now_s, _, what = heapq.heappop(self.events)
        kind, where, *rest = what
        self.handlers[kind](where, *rest)

    def skip(self) -> None:
        """Take the next event from the queue, and don't handle it."""
        self.now_s, _, _ = heapq.heappop(self.events)

    def run(self, until_s: float) -> None:
        """Handle all events before a time."""
        while self.events and self.events[0][0] < until_s:
            self.step()
        self.now_s = until_s
