"""Two ways side by side on the same days: as the program is, and with a figure or a choice changed, paired by seed.

Each seed is one history, exactly, so what differs within a pair comes from the change, and from the chance that it
moves. What is told of a figure is the mean of the differences and their 95% interval (Student's t).
"""

from __future__ import annotations

import contextlib
import math
import statistics
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from types import ModuleType

from cypressbeam.balancing import balancer
from cypressbeam.balancing.balancer import Balancer, Request, ServerView
from cypressbeam.proxy import gateway
from lab.day import Day
from lab.day_simulation import play
from lab.emulator import DayResult

MODULES: dict[str, ModuleType] = {"balancer": balancer, "gate": gateway}
#: Two-sided 95% points of Student's t, by the degrees of freedom; beyond the last one the normal's.
STUDENT = (
    12.71,
    4.30,
    3.18,
    2.78,
    2.57,
    2.45,
    2.36,
    2.31,
    2.26,
    2.23,
    2.20,
    2.18,
    2.16,
    2.14,
    2.13,
    2.12,
    2.11,
    2.10,
    2.09,
    2.09,
    2.08,
    2.07,
    2.07,
    2.06,
    2.06,
    2.06,
    2.05,
    2.05,
    2.05,
    2.04,
)
NORMAL = 1.96


class ExperimentError(Exception):
    """One line on what can't be changed."""


def usable(made: Balancer, request: Request) -> list[ServerView]:
    return [server for server in made.pool if made.may_send(request, server) and not made.is_excluded(request, server)]


def by_chance(made: Balancer, request: Request) -> ServerView | None:
    servers = usable(made, request)
    return made.rng.choice(servers) if servers else None


def in_turn(made: Balancer, request: Request) -> ServerView | None:
    """The one that was sent to longest ago."""
    return min(usable(made, request), key=lambda server: server.last_sent_us, default=None)


#: Other ways to choose a server, for comparison; the program's own is C3's rank.
CHOICES: dict[str, Callable[[Balancer, Request], ServerView | None]] = {"random": by_chance, "round-robin": in_turn}


@dataclass(frozen=True, slots=True)
class Change:
    """What the other side does: constants of a module, as `module.NAME`, with their values; and the choice."""

    constants: tuple[tuple[str, float], ...] = ()
    choice: str = ""

    def __str__(self) -> str:
        told = [f"{name}={value:g}" for name, value in self.constants]
        return " ".join(told + ([f"choice={self.choice}"] if self.choice else [])) or "nothing"


def read_change(settings: Iterable[str], choice: str = "") -> Change:
    """From `module.NAME=value`. Raises ExperimentError."""
    constants = []
    for text in settings:
        name, equals, value = text.partition("=")
        module, _, constant = name.partition(".")
        here = getattr(MODULES.get(module), constant, None)
        if not equals or not constant.isupper() or not isinstance(here, (int, float)):
            raise ExperimentError(f"{text!r}: a figure of {' or '.join(MODULES)} is wanted, as balancer.PADDING=3")
        try:
            constants.append((name, float(value)))
        except ValueError:
            raise ExperimentError(f"{text!r}: {value!r} is no number") from None
    if choice and choice not in CHOICES:
        raise ExperimentError(f"{choice!r}: one of {', '.join(CHOICES)} is wanted")
    return Change(tuple(constants), choice)


@contextlib.contextmanager
def made(change: Change) -> Iterator[None]:
    """The change is in force within."""
    before: list[tuple[object, str, object]] = []

    def put(where: object, name: str, value: object) -> None:
        before.append((where, name, getattr(where, name)))
        setattr(where, name, value)

    try:
        for name, value in change.constants:
            module, _, constant = name.partition(".")
            kept = getattr(MODULES[module], constant)
            put(MODULES[module], constant, type(kept)(value))
        if change.choice:
            put(Balancer, "choose", CHOICES[change.choice])
        yield
    finally:
        for where, name, was in reversed(before):
            setattr(where, name, was)


def play_with(day: Day, change: Change, seed: int) -> DayResult:
    with made(change):
        return play(day, seed)


@dataclass(frozen=True, slots=True)
class Row:
    """One figure: its mean on both sides, and the mean difference with the half width of its 95% interval."""

    name: str
    as_is: float
    changed: float
    difference: float
    give: float

    @property
    def clear(self) -> bool:
        """Whether the interval leaves out no difference at all."""
        return abs(self.difference) > self.give


def interval(differences: Sequence[float]) -> tuple[float, float]:
    """The mean, and the half width of its 95% interval; infinite for a single one."""
    mean = statistics.fmean(differences)
    freedom = len(differences) - 1
    if freedom < 1:
        return mean, math.inf
    point = STUDENT[freedom - 1] if freedom <= len(STUDENT) else NORMAL
    return mean, point * statistics.stdev(differences) / math.sqrt(len(differences))


def rows(pairs: Sequence[tuple[DayResult, DayResult]]) -> list[Row]:
    found = []
    for name in pairs[0][0].figures:
        one = [pair[0].figures.get(name, 0.0) for pair in pairs]
        other = [pair[1].figures.get(name, 0.0) for pair in pairs]
        difference, give = interval([after - before for before, after in zip(one, other, strict=True)])
        found.append(Row(name, statistics.fmean(one), statistics.fmean(other), difference, give))
    return found


def compare(day: Day, change: Change, seeds: Sequence[int], jobs: int) -> list[tuple[DayResult, DayResult]]:
    """Both sides on every seed, in several processes."""
    with ProcessPoolExecutor(jobs) as pool:
        one = pool.map(partial(play_with, day, Change()), seeds)
        other = pool.map(partial(play_with, day, change), seeds)
        return list(zip(one, other, strict=True))


def table(pairs: Sequence[tuple[DayResult, DayResult]], change: Change) -> str:
    """The figures as a Markdown table; what differs clearly is marked."""
    lines = [f"| {len(pairs)} seeds | as it is | {change} | difference | 95% |", "| --- | ---: | ---: | ---: | ---: |"]
    lines += [
        f"| {row.name} | {row.as_is:.4g} | {row.changed:.4g} | {row.difference:+.4g}{' *' if row.clear else ''} |"
        f" ±{row.give:.2g} |"
        for row in rows(pairs)
    ]
    broken = [sum(bool(pair[side].breaches) for pair in pairs) for side in (0, 1)]
    lines.append(f"| days with a broken rule | {broken[0]} | {broken[1]} | | |")
    return "\n".join(lines)
