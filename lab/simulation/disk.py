"""A simulated disk for whole nodes, in place of a `SqliteStore`."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol.configuration import digest
from cypressbeam.storage.store import LoadedState


class Disk:
    """In place of a `SqliteStore`: what was synced survives a loss of power, what was still on its way does not."""

    def __init__(self, identity: str, sync_s: float = 0.002) -> None:
        self.kept = LoadedState(identity, 0, None, None, {})
        self.sync_s = sync_s
        self.hangs_s = 0.0
        """How long the next read takes."""
        self.copies: list[LoadedState] = []
        """What it held at earlier times, for whoever puts an older copy in its place."""
        self.starts = 0
        self.raised = HighWaterMarks()
        self.noted: dict[str, HighWaterMarks] = {}

    async def load(self, reset: bool = False) -> LoadedState:
        """What is on the disk; with `reset` an empty one under another identity."""
        hangs_s, self.hangs_s = self.hangs_s, 0.0
        if hangs_s:
            await asyncio.sleep(hangs_s)
        self.starts += 1
        if reset:
            self.kept = LoadedState(f"{self.kept.identity}.{self.starts}", 0, None, None, {})
        self.raised, self.noted = (
            HighWaterMarks(self.kept.durable_marks.incarnation + 1, self.starts),
            self.kept.reported_marks,
        )
        return replace(self.kept, applied_digests=dict(self.kept.applied_digests), pending_marks=self.raised)

    def stage_marks(self, marks: dict[str, HighWaterMarks]) -> bool:
        """High-water marks that go onto the disk with the next write; whether there is anything to write."""
        self.noted = dict(marks)
        return self.raised != self.kept.durable_marks

    async def sync(self) -> None:
        """Marks are on the disk."""
        marks = self.noted
        await asyncio.sleep(self.sync_s)
        self.kept = replace(self.kept, durable_marks=self.raised, reported_marks=marks)

    async def save_promise(self, epoch: int) -> None:
        """A promise is on the disk."""
        await self.sync()
        self.kept = replace(self.kept, promised=max(self.kept.promised, epoch))

    async def save_view(self, view: View, entry: Entry | None, taken: dict[int, bytes]) -> None:
        """A view, and what it begins with, is on the disk."""
        await self.sync()
        self.kept = replace(
            self.kept, promised=max(self.kept.promised, view.epoch), view=view, entry=entry, applied_digests=dict(taken)
        )

    async def save_entry(self, entry: Entry) -> None:
        """An entry is on the disk."""
        await self.sync()
        self.kept = replace(
            self.kept, entry=entry, applied_digests=self.kept.applied_digests | {entry.revision: digest(entry.body)}
        )

    async def probe(self) -> None:
        """Whether the disk takes writes."""
        await self.sync()

    def close(self) -> None:
        """Nothing is open."""

    async def wait_closed(self, wait_s: float) -> bool:
        """All writes are done."""
        return True
