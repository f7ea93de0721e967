"""Ownership of background asyncio tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Keeps a strong reference to each task until it is done. The event loop keeps only weak references."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.running: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task."""
        task = self.loop.create_task(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task
