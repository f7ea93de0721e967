"""High-water marks: the highest persisted state that a machine has reported.

The numbers only increase and are reported only once they are on disk. A machine that reports less than before therefore
runs on an older copy of its disk (rollback_detection.py).
"""

from __future__ import annotations

from dataclasses import astuple, dataclass


@dataclass(frozen=True, slots=True)
class HighWaterMarks:
    """The numbers that summarise what a machine has on disk."""

    incarnation: int = 0
    """How often the process was started from this disk; 0 for a disk written by an earlier version of the program."""
    incarnation_id: int = 0
    """Random number drawn for this incarnation, below 2**62."""
    promised: int = 0
    """The epoch of the newest promise."""
    epoch: int = 0
    """The epoch of the newest view."""
    number: int = 0
    """The number of the newest entry; increases within an epoch."""

    def is_behind(self, reported: HighWaterMarks) -> bool:
        """Whether a disk with these marks lacks something that its machine has reported."""
        return (
            self.incarnation < reported.incarnation
            or (self.incarnation == reported.incarnation and self.incarnation_id != reported.incarnation_id)
            or self.promised < reported.promised
            or (self.epoch, self.number) < (reported.epoch, reported.number)
        )


#: The marks of a machine that has reported nothing.
NO_MARKS = HighWaterMarks()


def pack_marks(marks: dict[str, HighWaterMarks]) -> str:
    """Serialise marks by member name, one member per line, for storage on disk."""
    return "\n".join(" ".join([name, *map(str, astuple(mark))]) for name, mark in sorted(marks.items()))


def unpack_marks(text: str) -> dict[str, HighWaterMarks]:
    """Parse the output of `pack_marks`. Raises ValueError for malformed text."""
    found = {}
    for line in text.splitlines():
        name, *numbers = line.split(" ")
        if len(numbers) != 5:
            raise ValueError(f"marks of {name!r}: {len(numbers)} numbers, expected 5")
        found[name] = HighWaterMarks(*map(int, numbers))
    return found
