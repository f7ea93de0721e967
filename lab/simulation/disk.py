"""A simulated disk for whole nodes, in place of a `Store`."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol.configuration import digest
from cypressbeam.storage.store import Loaded


class Disk:
    """In place of a `Store`: what was synced survives a loss of power, what was still on its way does not."""

    def __init__(self, identity: str, sync_s: float = 0.002) -> None:
        self.kept = Loaded(identity, 0, None, None, {})
        self.sync_s = sync_s
        self.hangs_s = 0.0
        """How long the next read takes."""
        self.copies: list[Loaded] = []
        """What it held at earlier times, for whoever puts an older copy in its place."""
        self.starts = 0
        self.raised = HighWaterMarks()
        self.noted: dict[str, HighWaterMarks] = {}

    async def load(self, anew: bool = False) -> Loaded:
        """What is on the disk; with `anew` an empty one under another identity."""
        hangs_s, self.hangs_s = self.hangs_s, 0.0
        if hangs_s:
            await asyncio.sleep(hangs_s)
        self.starts += 1
        if anew:
            self.kept = Loaded(f"{self.kept.identity}.{self.starts}", 0, None, None, {})
        self.raised, self.noted = HighWaterMarks(self.kept.own.incarnation + 1, self.starts), self.kept.marks
        return replace(self.kept, taken=dict(self.kept.taken), raised=self.raised)

    def note(self, marks: dict[str, HighWaterMarks]) -> bool:
        """High-water marks that go onto the disk with the next write; whether there is anything to write."""
        self.noted = dict(marks)
        return self.raised != self.kept.own

    async def sync(self) -> None:
        """Marks are on the disk."""
        marks = self.noted
        await asyncio.sleep(self.sync_s)
        self.kept = replace(self.kept, own=self.raised, marks=marks)

    async def save_promise(self, epoch: int) -> None:
        """A promise is on the disk."""
        await self.sync()
        self.kept = replace(self.kept, promised=max(self.kept.promised, epoch))

    async def save_view(self, view: View, entry: Entry | None, taken: dict[int, bytes]) -> None:
        """A view, and what it begins with, is on the disk."""
        await self.sync()
        self.kept = replace(
            self.kept, promised=max(self.kept.promised, view.epoch), view=view, last=entry, taken=dict(taken)
        )

    async def save_entry(self, entry: Entry) -> None:
        """An entry is on the disk."""
        await self.sync()
        self.kept = replace(self.kept, last=entry, taken=self.kept.taken | {entry.revision: digest(entry.body)})

    async def try_disk(self) -> None:
        """Whether the disk takes writes."""
        await self.sync()

    def close(self) -> None:
        """Nothing is open."""

    async def closed(self, wait_s: float) -> bool:
        """All writes are done."""
        return True
