"""A drawn day as a TOML file: one `[[day]]` with the lists `plan` and `faults` and, on most days, `closing`."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

from lab.drawn_days.drawing import Closing, DrawnDay, draw_day
from lab.drawn_days.entries import Entry
from lab.drawn_days.kinds import Section

#: What a day must state beside its entries: its slot, the figures that its score is scaled by, and its labels.
HEAD = """slot = "trouble"
one = 0.95
zero = 0.1
goal = { floor = 0.1 }
labels = []
"""
#: Seeds of a run are kept apart by this factor: the days of one seed never meet those of the next.
DAYS_OF_A_SEED = 10_000


def inline_table(values: dict[str, str | float | int | None]) -> str:
    """An inline table of the values that are not None. JSON writes plain strings and numbers as TOML does."""
    return "{ " + ", ".join(f"{key} = {json.dumps(value)}" for key, value in values.items() if value is not None) + " }"


def entry_text(entry: Entry) -> str:
    """One entry as an inline table, under the names that the file uses."""
    return inline_table(
        {
            "at": entry.at_s,
            "kind": entry.kind,
            "for_s": entry.duration_s,
            "share": entry.share,
            "count": entry.count,
            "x": entry.strength,
            "gap_s": entry.gap_s,
            "on": entry.machines,
            "how": entry.how,
        }
    )


def closing_text(closing: Closing | None) -> str:
    """The line of the closing fault; nothing where there is none."""
    if closing is None:
        return ""
    return f"closing = {inline_table({'kind': closing.kind, 'down_s': closing.down_s, 'how': closing.how})}\n"


def day_text(day: DrawnDay) -> str:
    """The whole file."""
    lists = "".join(
        f"{section.value} = [\n" + "".join(f"  {entry_text(entry)},\n" for entry in day.section(section)) + "]\n"
        for section in Section
    )
    return f"[[day]]\nname = {json.dumps(day.name)}\nseed = {day.seed}\n{HEAD}{lists}{closing_text(day.closing)}"


def write_days(folder: Path, kinds: Iterable[str], seed: int, days: int, length_s: float) -> list[Path]:
    """Write days into a folder, which is made if need be; the files in the order of their seeds."""
    folder.mkdir(parents=True, exist_ok=True)
    allowed = tuple(kinds)
    files = []
    for number in range(days):
        day_seed = seed * DAYS_OF_A_SEED + number
        day = draw_day(day_seed, allowed, length_s, f"drawn-{day_seed}")
        file = folder / f"{day.name}.toml"
        file.write_text(day_text(day), encoding="utf-8")
        files.append(file)
    return files
