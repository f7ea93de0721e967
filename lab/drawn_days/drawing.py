"""A day drawn from a seed: entries of allowed kinds, sequences of them, changes throughout and a closing fault."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from lab.drawn_days.entries import Entry, draw_entry
from lab.drawn_days.kinds import TABLE, Section
from lab.drawn_days.sequences import LATEST_START, SEQUENCES

#: Entries of a day that are drawn one by one.
LEAST_ENTRIES, MOST_ENTRIES = 3, 8
#: The first entry comes no earlier, and the last one so long before the end of the day.
FIRST_S, LAST_BEFORE_END_S = 1.0, 4.0
SEQUENCE_PROBABILITY = 0.6
SECOND_SEQUENCE_PROBABILITY = 0.15
CLOSING_PROBABILITY = 0.7
#: Routes change at these shares of a day, each moved by up to a second, so that every trouble meets changes.
CHANGES_AT = (0.09, 0.34, 0.59, 0.84)
CHANGE = "config_change"
CLOSING_KINDS = ("wipe_after_ack", "power_off_all", "kill_all")
CLOSING_VARIANTS = ("", "timed", "taken", "oldest")
DOWN_S = (0.5, 1.0, 3.0, 6.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Closing:
    """The fault at the end of a day, right after one more change; `down_s` is how long the machines stay away."""

    kind: str
    down_s: float
    how: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class DrawnDay:
    """A day: its name, the seed of whatever it leaves open, the entries in the order of their times, and its end."""

    name: str
    seed: int
    entries: tuple[Entry, ...]
    closing: Closing | None

    def section(self, section: Section) -> tuple[Entry, ...]:
        """The entries of one list of the day."""
        return tuple(entry for entry in self.entries if entry.section is section)


def draw_closing(rng: random.Random) -> Closing | None:
    """The closing fault; none on some days."""
    if rng.random() >= CLOSING_PROBABILITY:
        return None
    how = rng.choice(CLOSING_VARIANTS)
    return Closing(kind=rng.choice(CLOSING_KINDS), down_s=rng.choice(DOWN_S), how=how or None)


def draw_sequences(rng: random.Random, kinds: frozenset[str], length_s: float) -> list[Entry]:
    """The entries of one or two sequences whose kinds are all allowed; none on some days."""
    allowed = [sequence for sequence in SEQUENCES if sequence.kinds <= kinds]
    wanted = sum(rng.random() < probability for probability in (SEQUENCE_PROBABILITY, SECOND_SEQUENCE_PROBABILITY))
    drawn = rng.sample(allowed, min(wanted, len(allowed)))
    return [entry for sequence in drawn for entry in sequence.draw(rng, rng.uniform(FIRST_S, LATEST_START * length_s))]


def draw_changes(rng: random.Random, length_s: float) -> list[Entry]:
    """Changes of a route throughout the day."""
    return [
        replace(draw_entry(rng, CHANGE, max(0.0, share * length_s + rng.uniform(-1.0, 1.0))), how="route")
        for share in CHANGES_AT
    ]


def draw_day(seed: int, kinds: Iterable[str], length_s: float, name: str) -> DrawnDay:
    """The day of a seed. Raises ValueError without a kind, and for one that the table does not hold."""
    allowed = sorted(set(kinds))
    if not allowed or set(allowed) - TABLE.keys():
        raise ValueError(f"kinds {allowed}; one or more of the table are wanted")
    rng = random.Random(f"drawn day {seed}")
    last_s = max(FIRST_S, length_s - LAST_BEFORE_END_S)
    entries = [
        draw_entry(rng, rng.choice(allowed), rng.uniform(FIRST_S, last_s))
        for _ in range(rng.randint(LEAST_ENTRIES, MOST_ENTRIES))
    ]
    entries += draw_sequences(rng, frozenset(allowed), length_s)
    if CHANGE in allowed:
        entries += draw_changes(rng, length_s)
    ordered = tuple(sorted(entries, key=lambda entry: entry.at_s))
    return DrawnDay(name=name, seed=seed, entries=ordered, closing=draw_closing(rng))
