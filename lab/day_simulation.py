"""A whole day: the emulated world, and the troubles that are injected into it."""

from __future__ import annotations

from lab import fault_injection
from lab.day import Day, Trouble
from lab.emulator import DayResult, World


class DayWorld(World):
    """The world of a day, with its troubles."""

    async def inject(self, trouble: Trouble) -> None:
        """Let a trouble of the day begin and end."""
        await fault_injection.KINDS[trouble.kind](self, trouble)


def play(day: Day, seed: int) -> DayResult:
    """Play a day. Raises whatever went wrong in the emulator itself."""
    world = DayWorld(day, seed)
    try:
        world.run(world.play())
        return world.outcome()
    finally:
        world.close()
