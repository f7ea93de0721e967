"""One entry of a day, and how it is drawn from the row of its kind."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

from lab.drawn_days.kinds import TABLE, Kind, Section

Value = TypeVar("Value")

#: A word of `how` that follows the others is drawn with this probability.
FOLLOW_UP_PROBABILITY = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """What happens when. A field that is None is left out of the file; `at_s` counts from the start of traffic."""

    kind: str
    at_s: float
    duration_s: float | None = None
    share: float | None = None
    count: int | None = None
    strength: float | None = None
    gap_s: float | None = None
    machines: str | None = None
    how: str | None = None

    @property
    def section(self) -> Section:
        """The list of the day that the entry belongs to."""
        return TABLE[self.kind].section


def one_of(rng: random.Random, values: Sequence[Value]) -> Value | None:
    """One of some values, None where there are none."""
    return rng.choice(values) if values else None


def draw_words(rng: random.Random, kind: Kind, variant: str) -> str:
    """The text of `how`: a variant, a word of each modifier, and follow-ups, each word once."""
    texts = [variant, *(rng.choice(words) for words in kind.modifiers)]
    texts += [word for word in kind.follow_ups if rng.random() < FOLLOW_UP_PROBABILITY]
    return " ".join(dict.fromkeys(word for text in texts for word in text.split()))


def draw_entry(rng: random.Random, name: str, at_s: float) -> Entry:
    """An entry of a kind at a time. Raises KeyError for a kind that the table does not hold."""
    kind = TABLE[name]
    variant = rng.choice(kind.variants)
    return Entry(
        kind=name,
        at_s=round(at_s, 2),
        duration_s=one_of(rng, kind.duration_s),
        share=one_of(rng, kind.share),
        count=one_of(rng, kind.count),
        strength=one_of(rng, kind.variant_strength.get(variant, kind.strength)),
        gap_s=one_of(rng, kind.gap_s),
        machines=one_of(rng, kind.machines) or None,
        how=draw_words(rng, kind, variant) or None,
    )
