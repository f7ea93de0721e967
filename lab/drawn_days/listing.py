"""Which kinds may be drawn: those of a site's listing, those that somebody names, or all of the table.

A listing is text with a line `name: explanation` for each kind; its other lines are skipped.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from pathlib import Path

from lab.drawn_days.kinds import TABLE

KIND_LINE = re.compile(r"^([a-z][a-z_]*): ", re.MULTILINE)


class ListingError(Exception):
    """No kinds can be had from what was given: one line."""


def named_kinds(text: str) -> frozenset[str]:
    """The kinds that a listing names."""
    return frozenset(KIND_LINE.findall(text))


def allowed_kinds(
    listing: Path | None, only: Sequence[str] = (), also: Sequence[str] = ()
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """The kinds to draw from, and those of the listing that the table does not hold, both sorted.

    `also` holds kinds that a site takes though its listing lacks them. Raises ListingError for a name in `also` that
    the table lacks, for one in `only` that is not among the others, and where nothing is left.
    """
    if unknown := set(also) - TABLE.keys():
        raise ListingError(f"no kind {min(unknown)!r} in the table; there are {', '.join(sorted(TABLE))}")
    named = frozenset(TABLE) if listing is None else named_kinds(listing.read_text(encoding="utf-8"))
    known = (named & TABLE.keys()) | set(also)
    if missing := set(only) - known:
        raise ListingError(f"no kind {min(missing)!r} to draw; there are {', '.join(sorted(known)) or 'none'}")
    if not known:
        raise ListingError(f"{listing}: no known kind; a line `name: text` for each is wanted")
    return tuple(sorted(only or known)), tuple(sorted(named - known))
