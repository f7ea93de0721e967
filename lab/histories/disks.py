"""Simulated disks, and disks that come back as older copies of themselves.

A machine loses its power and returns with what was on its disk at some earlier time of the history: its identity is
still there, and what it promised, held and synced since then is not. That is a lost disk, and the rules allow for one
loss at a time: it comes in the plans that have one machine in trouble at a time, in the place of half of the lost
disks, and with half of the losses of all power. Where troubles overlap, the one machine that knows of the lost promise
may be cut off in that moment, and no other can tell (docs/design/disk.md).
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

#: Copies of each disk that a history keeps at most.
MOST_COPIES = 64


@dataclass
class Disk:
    """What a machine's disk holds. What is synced survives a stop; a disk that is lost leaves another identity."""

    name: str
    promised: int = 0
    view: View | None = None
    last: Entry | None = None
    taken: dict[int, bytes] = field(default_factory=dict)
    own: HighWaterMarks = field(default_factory=HighWaterMarks)
    """The incarnation of the start that wrote last."""
    marks: dict[str, HighWaterMarks] = field(default_factory=dict)

    def write(self, action: Any, replica: Replica | None = None) -> None:
        """Put on disk what an action of the rules asks for, and the marks of the replica that asks."""
        if replica is not None:
            self.own, self.marks = replica.rollback.pending, dict(replica.rollback.reported)
        if isinstance(action, PersistEntry):
            self.last = action.entry
            deduplication.record(self.taken, action.entry.revision, action.entry.base, digest(action.entry.body))
        elif isinstance(action, PersistPromise):
            self.promised = max(self.promised, action.epoch)
        elif isinstance(action, PersistView):
            self.promised = max(self.promised, action.view.epoch)
            self.view, self.last, self.taken = action.view, action.entry, dict(action.applied_digests)


class Copies:
    """What the disks of a history held at times."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"copies {seed}")
        self.of: dict[str, list[Disk]] = {}

    def take(self, disks: dict[str, Disk]) -> None:
        """Keep a copy of each disk as it is now."""
        for ip, disk in disks.items():
            kept = self.of.setdefault(ip, [])
            kept.append(replace(disk, taken=dict(disk.taken), marks=dict(disk.marks)))
            if len(kept) > MOST_COPIES:
                del kept[self.rng.randrange(MOST_COPIES)]

    def put_back(self, disks: dict[str, Disk], ip: str) -> None:
        """One of this identity; a disk that was used for no time yet stays as it is."""
        disk = disks[ip]
        same = [copy for copy in self.of.get(ip, []) if copy.name == disk.name]
        if same:
            copy = self.rng.choice(same)
            disks[ip] = replace(copy, taken=dict(copy.taken), marks=dict(copy.marks))
