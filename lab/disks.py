"""Disks that came back as older copies of themselves, for the histories of the core (histories.py).

A machine loses its power and returns with what was on its disk at some earlier time of the history: its identity is
still there, and what it promised, held and synced since then is not. That is a lost disk, and the rules allow for one
loss at a time: it comes in the plans that have one machine in trouble at a time, in the place of half of the lost
disks, and with half of the losses of all power. Where troubles overlap, the one machine that knows of the lost promise
may be cut off in that moment, and no other can tell (docs/design/disk.md).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from cypressbeam.agreement import Keeper

if TYPE_CHECKING:
    from lab.histories import Disk, World
    from lab.plans import Step

OLDER = "older"
#: All power is lost, and one disk comes back as an older copy.
POWER_OLDER = "power-older"
INSTEAD = {"wipe": OLDER, "power": POWER_OLDER}
#: Copies of each disk that a history keeps at most.
MOST_COPIES = 64


def with_older_copies(seed: int, plan: list[Step]) -> list[Step]:
    """Half of the lost disks are older copies instead, and half of the losses of all power have one besides."""
    chance = random.Random(f"older {seed}")
    return [replace(step, kind=INSTEAD[step.kind]) if step.kind in INSTEAD and chance.random() < 0.5 else step
            for step in plan]


class Copies:
    """What the disks of a history held at times."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(f"copies {seed}")
        self.of: dict[str, list[Disk]] = {}

    def take(self, disks: dict[str, Disk]) -> None:
        for ip, disk in disks.items():
            kept = self.of.setdefault(ip, [])
            kept.append(replace(disk, taken=dict(disk.taken), marks=dict(disk.marks)))
            if len(kept) > MOST_COPIES:
                del kept[self.chance.randrange(MOST_COPIES)]

    def put_back(self, world: World, ip: str) -> None:
        """One of this identity; a disk that was used for no time yet stays as it is."""
        disk = world.disks[ip]
        same = [copy for copy in self.of.get(ip, []) if copy.name == disk.name]
        if same:
            copy = self.chance.choice(same)
            world.disks[ip] = replace(copy, taken=dict(copy.taken), marks=dict(copy.marks))


def trust_every_disk(patch: Callable[[Any, str, Any], None]) -> None:
    """Nobody compares what a member tells with what it told before, or with what it must have."""
    patch(Keeper, "refuses", lambda self, name, told: False)
    patch(Keeper, "shows_a_loss", lambda self, frame: False)
