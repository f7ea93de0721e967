"""Whether a machine's disk is an older copy of itself. Pure.

An older copy keeps the machine's identity and has forgotten what it promised, held and synced since it was made. So
each start of the process raises an incarnation number on disk, with a number drawn for it, and a machine tells these
with all that it has on disk in its pulses. The others keep the highest that each name told: its high-water marks. All
of them only ever rise, and are told only once they are on disk, so a machine that tells less has an older disk.

Words may overtake each other, so hearing less proves nothing by itself: the machine is told what it told before
(`StaleDisk`), and only one that finds itself behind that starts anew, as with an empty disk. Two starts from one copy
raise the same number, and draw different ones.
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
    epoch: int = 0
    """Of the newest view on its disk."""
    number: int = 0
    """Of the newest entry on its disk; rises within an epoch."""

    def is_behind(self, told: HighWaterMarks) -> bool:
        """Whether a disk that has this lacks something of what its machine has told."""
        return (
            self.incarnation < told.incarnation
            or (self.incarnation == told.incarnation and self.incarnation_id != told.incarnation_id)
            or self.promised < told.promised
            or (self.epoch, self.number) < (told.epoch, told.number)
        )


#: Of a machine that has told nothing.
NO_MARKS = HighWaterMarks()


def pack_marks(marks: dict[str, HighWaterMarks]) -> str:
    """By name, one a line, as they are kept on disk."""
    return "\n".join(" ".join([name, *map(str, astuple(mark))]) for name, mark in sorted(marks.items()))


def unpack_marks(text: str) -> dict[str, HighWaterMarks]:
    """Raises ValueError."""
    found = {}
    for line in text.splitlines():
        name, *numbers = line.split(" ")
        if len(numbers) != 5:
            raise ValueError(f"marks of {name!r}: {len(numbers)} numbers")
        found[name] = HighWaterMarks(*map(int, numbers))
    return found
