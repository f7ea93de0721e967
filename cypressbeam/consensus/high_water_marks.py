"""High-water marks: the most that a machine has reported of what is on its disk.

All of the numbers only ever rise, and are reported only once they are on disk, so a machine that reports less than
before has an older copy of its disk (rollback_detection.py).
"""

from __future__ import annotations

from dataclasses import astuple, dataclass


@dataclass(frozen=True, slots=True)
class HighWaterMarks:
    """What a machine has on its disk, as far as it goes by numbers."""

    incarnation: int = 0
    """How often the process has been started from this disk; 0 from a disk of an earlier program."""
    incarnation_id: int = 0
    """Drawn for this incarnation, below 2**62."""
    promised: int = 0
    """The epoch of the newest promise."""
    epoch: int = 0
    """Of the newest view on its disk."""
    number: int = 0
    """Of the newest entry on its disk; rises within an epoch."""

    def is_behind(self, reported: HighWaterMarks) -> bool:
        """Whether a disk that has this lacks something of what its machine has reported."""
        return (
            self.incarnation < reported.incarnation
            or (self.incarnation == reported.incarnation and self.incarnation_id != reported.incarnation_id)
            or self.promised < reported.promised
            or (self.epoch, self.number) < (reported.epoch, reported.number)
        )


#: Of a machine that has reported nothing.
NO_MARKS = HighWaterMarks()


def pack_marks(marks: dict[str, HighWaterMarks]) -> str:
    """Marks by the member's name as text, one member a line, as they are kept on disk."""
    return "\n".join(" ".join([name, *map(str, astuple(mark))]) for name, mark in sorted(marks.items()))


def unpack_marks(text: str) -> dict[str, HighWaterMarks]:
    """The reverse of `pack_marks`. Raises ValueError for text of another form."""
    found = {}
    for line in text.splitlines():
        name, *numbers = line.split(" ")
        if len(numbers) != 5:
            raise ValueError(f"marks of {name!r}: {len(numbers)} numbers")
        found[name] = HighWaterMarks(*map(int, numbers))
    return found
