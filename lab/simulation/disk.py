"""A simulated disk for whole nodes, with the interface of `SqliteStore`."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol.configuration import digest
from cypressbeam.storage.store import LoadedState


class Disk:
    """Stands in for a `SqliteStore`: synced data survives a power loss, writes in progress don't."""

    def __init__(self, identity: str, sync_s: float = 0.002) -> None:
        self.kept = LoadedState(identity, 0, None, None, {})
        self.sync_s = sync_s
        self.load_delay_s = 0.0
        """How long the next load hangs."""
        self.copies: list[LoadedState] = []
        """Earlier states, from which a test can restore an older copy."""
        self.starts = 0
        self.current_marks = HighWaterMarks()
        self.peer_marks: dict[str, HighWaterMarks] = {}
        self.node_addresses: tuple[str, ...] = ()

    async def load(self, reset: bool = False) -> LoadedState:
        """Load the durable state; with `reset`, an empty one under a new identity."""
        load_delay_s, self.load_delay_s = self.load_delay_s, 0.0
        if load_delay_s:
            await asyncio.sleep(load_delay_s)
        self.starts += 1
        if reset:
            self.kept = LoadedState(f"{self.kept.identity}.{self.starts}", 0, None, None, {})
        self.current_marks, self.peer_marks = (
            HighWaterMarks(self.kept.durable_marks.incarnation + 1, self.starts),
            self.kept.reported_marks,
        )
        self.node_addresses = self.kept.node_addresses
        return replace(self.kept, applied_digests=dict(self.kept.applied_digests), pending_marks=self.current_marks)

    def stage_marks(self, marks: dict[str, HighWaterMarks]) -> bool:
        """Stage the peers' marks for the next write. Returns whether the own marks are still to be written."""
        self.peer_marks = dict(marks)
        return self.current_marks != self.kept.durable_marks

    def stage_addresses(self, addresses: tuple[str, ...]) -> bool:
        """Stage the directory of node addresses. Returns whether it is still to be written."""
        self.node_addresses = addresses
        return addresses != self.kept.node_addresses

    async def sync(self) -> None:
        """Persist the high-water marks and the directory of node addresses."""
        marks, addresses = self.peer_marks, self.node_addresses
        await asyncio.sleep(self.sync_s)
        self.kept = replace(self.kept, durable_marks=self.current_marks, reported_marks=marks, node_addresses=addresses)

    async def save_promise(self, epoch: int) -> None:
        """Persist a promise."""
        await self.sync()
        self.kept = replace(self.kept, promised=max(self.kept.promised, epoch))

    async def save_view(self, view: View, entry: Entry | None, taken: dict[int, bytes]) -> None:
        """Persist a view, its first entry and its digests of applied changes."""
        await self.sync()
        self.kept = replace(
            self.kept, promised=max(self.kept.promised, view.epoch), view=view, entry=entry, applied_digests=dict(taken)
        )

    async def save_entry(self, entry: Entry) -> None:
        """Persist an entry and its digest."""
        await self.sync()
        self.kept = replace(
            self.kept, entry=entry, applied_digests=self.kept.applied_digests | {entry.revision: digest(entry.body)}
        )

    async def probe(self) -> None:
        """Check that the disk accepts writes."""
        await self.sync()

    def close(self) -> None:
        """Do nothing: no file is open."""

    async def wait_closed(self, wait_s: float) -> bool:
        """Return at once: no write is queued."""
        return True
