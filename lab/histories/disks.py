"""Simulated disks, and disks that are rolled back to an older copy.

A machine loses power and restarts with the contents of its disk at some earlier time of the history: it keeps its
identity, but its later promises, views and entries are gone. That counts as a lost disk, and the core tolerates one
loss at a time. So rollbacks occur only in plans without overlapping faults, in place of half of the lost disks and
together with half of the losses of all power. With overlapping faults, the only machine that knows of the lost promise
may be partitioned at that time, and no other can detect the loss (docs/design/disk.md).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import Any

from cypressbeam.consensus import deduplication
from cypressbeam.consensus.effects import PersistEntry, PersistPromise, PersistView
from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import Entry, View
from lab.histories.invariants import digest

#: Snapshots kept of each disk.
MAX_SNAPSHOTS = 64


@dataclass
class Disk:
    """The contents of a machine's disk. Synced data survives a stop; a lost disk is replaced under a new identity."""

    name: str
    promised: int = 0
    view: View | None = None
    last: Entry | None = None
    taken: dict[int, bytes] = field(default_factory=dict)
    own_marks: HighWaterMarks = field(default_factory=HighWaterMarks)
    """The machine's own high-water marks, as of its last write."""
    marks: dict[str, HighWaterMarks] = field(default_factory=dict)

    def write(self, action: Any, replica: Replica | None = None) -> None:
        """Apply a persistence effect, together with the marks of the replica that requested it."""
        if replica is not None:
            self.own_marks, self.marks = replica.rollback.pending, dict(replica.rollback.reported)
        if isinstance(action, PersistEntry):
            self.last = action.entry
            deduplication.record(self.taken, action.entry.revision, action.entry.base, digest(action.entry.body))
        elif isinstance(action, PersistPromise):
            self.promised = max(self.promised, action.epoch)
        elif isinstance(action, PersistView):
            self.promised = max(self.promised, action.view.epoch)
            self.view, self.last, self.taken = action.view, action.entry, dict(action.applied_digests)


class DiskSnapshots:
    """Snapshots of the disks of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"copies {seed}")
        self.by_ip: dict[str, list[Disk]] = {}

    def take(self, disks: dict[str, Disk]) -> None:
        """Take a snapshot of each disk."""
        for ip, disk in disks.items():
            kept = self.by_ip.setdefault(ip, [])
            kept.append(replace(disk, taken=dict(disk.taken), marks=dict(disk.marks)))
            if len(kept) > MAX_SNAPSHOTS:
                del kept[self.rng.randrange(MAX_SNAPSHOTS)]

    def restore(self, disks: dict[str, Disk], ip: str) -> None:
        """Restore a random snapshot of the machine's current identity; without one the disk stays as it is."""
        disk = disks[ip]
        same = [copy for copy in self.by_ip.get(ip, []) if copy.name == disk.name]
        if same:
            copy = self.rng.choice(same)
            disks[ip] = replace(copy, taken=dict(copy.taken), marks=dict(copy.marks))
