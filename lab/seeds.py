"""Search through seeds for one that fails, with a rule left out or with the rules as they are."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from contextlib import AbstractContextManager, nullcontext
from typing import Any

#: Rules that are left out on purpose, by name: entering the context leaves one out.
Faults = Mapping[str, Callable[[], AbstractContextManager[Any]]]


def first_broken(
    breaks: Callable[[int], str], seeds: Iterable[int], faults: Faults, name: str = ""
) -> tuple[int, str] | None:
    """The first seed that breaks something, and what; with a rule left out by its name, if there is one."""
    with faults[name]() if name else nullcontext():
        for seed in seeds:
            told = breaks(seed)
            if told:
                return seed, told
    return None
