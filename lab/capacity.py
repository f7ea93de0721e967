"""Every cost at the size of the target: measured points, the line through them, the value there, and its limit.

The points stand in `lab/capacity.toml`, each cost with the command that gave them and the run; docs/CAPACITY.md shows
the table that is made here from them, and a page shows them as plots.
"""

from __future__ import annotations

import math
import statistics
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Literal

import msgspec

FILE = Path(__file__).with_name("capacity.toml")
#: Up to this part of its limit a cost holds; from there up to the limit it is near.
NEAR = 0.5


class Cost(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A cost of one role over what it grows with. `points` are (size, value); one size may be there several times."""

    name: str
    role: str
    unit: str
    over: str
    points: tuple[tuple[float, float], ...]
    target: float
    """The size at the target, as `over` counts it."""
    command: str
    run: str
    model: Literal["line", "power", "same"] = "line"
    """How the points go on: along a line with an offset, along a power of the size, or not at all."""
    limit: float | None = None
    carried: str = ""
    """What carries it, or what is missing."""
    trial: bool = False
    """Of a form that the program does not have."""
    reckoned: bool = False
    """The points are worked out from what was measured, as the run tells."""


class Costs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    cost: tuple[Cost, ...]


@dataclass(frozen=True, slots=True)
class Fit:
    """What the points come to. `low` and `high` are the least and most of what was measured at the target's size, or
    of the values there with any one point left out; the value itself where that can't be done."""

    slope: float | None
    """Of a line what one item more costs, of a power its exponent."""
    value: float
    low: float
    high: float
    measured: bool
    """Whether the target's own size was played."""


class CapacityError(Exception):
    """The file of costs can't be used: one line on why."""


def load(file: Path = FILE) -> tuple[Cost, ...]:
    """Raises CapacityError."""
    try:
        costs = msgspec.convert(tomllib.loads(file.read_text(encoding="utf-8")), Costs).cost
    except (OSError, ValueError) as err:  # what is no TOML, or not of this form, is a ValueError
        raise CapacityError(f"{file.name}: {err}") from None
    for cost in costs:
        sizes = {size for size, _ in cost.points}
        if not sizes or (cost.model != "same" and len(sizes) < 2):
            raise CapacityError(f"{file.name}: {cost.name}: a {cost.model} needs points at two sizes")
    if len({cost.name for cost in costs}) != len(costs):
        raise CapacityError(f"{file.name}: two costs have the same name")
    return costs


def line(points: Sequence[tuple[float, float]], model: str) -> tuple[float, float]:
    """Offset and slope by least squares; of a power both of the logarithms."""
    if model == "power":
        points = [(math.log(size), math.log(value)) for size, value in points if size > 0 and value > 0]
    if len({size for size, _ in points}) < 2:
        return statistics.fmean(value for _, value in points), 0.0
    slope, offset = statistics.linear_regression(*zip(*points, strict=True))
    return offset, slope


def at(points: Sequence[tuple[float, float]], model: str, size: float) -> float:
    """The value along the line at a size."""
    if model == "same":
        return statistics.median(value for _, value in points)
    offset, slope = line(points, model)
    return math.exp(offset + slope * math.log(size)) if model == "power" else offset + slope * size


def fit(cost: Cost) -> Fit:
    points, model = cost.points, cost.model
    own = [value for size, value in points if size == cost.target]
    value = statistics.median(own) if own else at(points, model, cost.target)
    rests = [points[:left] + points[left + 1 :] for left in range(len(points))]
    others = [at(rest, model, cost.target) for rest in rests if len({size for size, _ in rest}) > (model != "same")]
    seen = own if own else [value, *others]
    return Fit(
        None if model == "same" else line(points, model)[1],
        value,
        min(seen),
        max(seen),
        bool(own) and not cost.reckoned,
    )


def ratio(cost: Cost) -> float | None:
    return None if cost.limit is None else fit(cost).value / cost.limit


def verdict(cost: Cost) -> str:
    found = ratio(cost)
    if found is None:
        return "no limit"
    return "holds" if found <= NEAR else "near" if found <= 1.0 else "breaks"


def beyond(costs: Sequence[Cost]) -> list[Cost]:
    """Those over their limit, trials left out."""
    return [cost for cost in costs if not cost.trial and (found := ratio(cost)) is not None and found > 1.0]


def ordered(costs: Sequence[Cost]) -> list[Cost]:
    """The worst first; what has no limit last, as it stands in the file."""
    return sorted(costs, key=lambda cost: -(ratio(cost) or 0.0))


def number(value: float) -> str:
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.2g}" if abs(value) < 1 else f"{value:.3g}"


def growth(cost: Cost, found: Fit) -> str:
    if found.slope is None:
        return "same"
    if cost.model == "power":
        return f"power {found.slope:.2f}"
    return f"{number(found.slope)} each"


def spread(found: Fit) -> str:
    return "-" if found.low == found.high else f"{number(found.low)} to {number(found.high)}"


def table(costs: Sequence[Cost]) -> str:
    """All costs as a Markdown table, the worst first."""
    lines = [
        "| cost (role) | over | points | growth | at the target | spread | limit | ratio | verdict |",
        "| --- | --- | --- | --- | ---: | --- | ---: | ---: | --- |",
    ]
    for cost in ordered(costs):
        found, share = fit(cost), ratio(cost)
        points = ", ".join(f"{number(size)}: {number(value)}" for size, value in cost.points)
        lines.append(
            f"| {'trial: ' * cost.trial}{cost.name} ({cost.role}), {cost.unit} | {cost.over} | {points}"
            f" | {growth(cost, found)} | {number(found.value)} at {number(cost.target)},"
            f" {'measured' if found.measured else 'reckoned'} | {spread(found)}"
            f" | {'-' if cost.limit is None else number(cost.limit)}"
            f" | {'-' if share is None else number(share)} | {verdict(cost)} |"
        )
    return "\n".join(lines)


def sources(costs: Sequence[Cost]) -> str:
    """Of each cost the command, the run, and what carries it, as a Markdown table."""
    lines = ["| cost | command | run | carried by |", "| --- | --- | --- | --- |"]
    lines += [
        f"| {'trial: ' * cost.trial}{cost.name} | `{cost.command}` | {cost.run} | {cost.carried or '-'} |"
        for cost in ordered(costs)
    ]
    return "\n".join(lines)


def write_page(costs: Sequence[Cost], file: Path) -> None:
    """A page with a plot for each cost."""
    from lab import plots

    drawn = [
        plots.target_plot(
            f"{'trial: ' * cost.trial}{cost.name}",
            cost.unit,
            cost.over,
            cost.points,
            partial(at, cost.points, cost.model),
            (cost.target, fit(cost).value),
            cost.limit,
        )
        for cost in ordered(costs)
    ]
    plots.write(
        file,
        "Every cost at the size of the target",
        {
            "points": "what was measured; the line goes on to the target (a ring: reckoned where no point lies in it)",
            "limit": "dashed; a cost over it is red",
            "order": "the worst ratio of value and limit first",
        },
        table(costs),
        drawn,
    )
