"""Pages for people: one HTML file with tables and plots inside, that needs nothing else to be read.

The plots are drawn by matplotlib as SVG. Nothing but the commands that write a page loads this module.
"""

from __future__ import annotations

import html
import io
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path

from matplotlib import rc_context
from matplotlib.figure import Figure
from matplotlib.ticker import NullFormatter

STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:70rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .7rem;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}
.plots{display:grid;grid-template-columns:repeat(auto-fill,minmax(20rem,1fr));gap:1rem}
.plots svg{width:100%;height:auto}.plots svg:only-child{grid-column:1/-1}
.found{color:#b00020;font-weight:600}"""
COLUMNS = ("#1f5fa8", "#b00020")


def svg(figure: Figure) -> str:
    """A figure as a piece of HTML."""
    out = io.StringIO()
    with rc_context({"svg.hashsalt": "cypressbeam"}):  # the same figures give the same file
        figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def power_plot(name: str, points: Sequence[tuple[float, float]], slope: float | None, most: float) -> str:
    """A cost over the size on log axes, with its fitted exponent; over `most` it is red."""
    shown = [(size, cost) for size, cost in points if cost > 0]
    found = slope is not None and slope > most
    figure = Figure(figsize=(4.0, 2.8), layout="constrained")
    axes = figure.subplots()
    if shown:
        axes.plot(*zip(*shown, strict=True), "o-", color=COLUMNS[found])
        axes.set_xscale("log")
        axes.set_yscale("log")
        costs = [cost for _, cost in shown]
        # A decade at least, or a cost that hardly moves would look as one that does.
        middle, ratio = math.sqrt(min(costs) * max(costs)), max(costs) / min(costs)
        half = max(math.sqrt(ratio) * 1.2, math.sqrt(10.0))
        axes.set_ylim(middle / half, middle * half)
        axes.set_xticks([size for size, _ in points], [f"{size:g}" for size, _ in points], minor=False)
        axes.set_xticks([], minor=True)
        axes.yaxis.set_major_formatter("{x:g}")
        axes.yaxis.set_minor_formatter(NullFormatter())
    axes.set_title(f"{name}\n" + ("no exponent" if slope is None else f"exponent {slope:.2f}"), fontsize=10)
    axes.set_xlabel("edge nodes")
    axes.grid(True, which="both", alpha=0.25)
    return svg(figure)


def target_plot(
    name: str,
    unit: str,
    over: str,
    points: Sequence[tuple[float, float]],
    at: Callable[[float], float],
    target: tuple[float, float],
    limit: float | None,
) -> str:
    """Measured points on log axes, the line on to the target, and the limit; over that it is red."""
    figure = Figure(figsize=(4.4, 3.2), layout="constrained")
    axes = figure.subplots()
    shown = [(size, value) for size, value in points if size > 0 and value > 0]
    colour = COLUMNS[limit is not None and target[1] > limit]
    sizes = [size for size, _ in shown] + [target[0]]
    first, last = min(sizes), max(sizes)
    steps = [first * (last / first) ** (step / 60) for step in range(61)]
    line = [(size, at(size)) for size in steps if at(size) > 0]
    if line:
        axes.plot(*zip(*line, strict=True), "-", color=colour, linewidth=1.0, alpha=0.7)
    if shown:
        axes.plot(*zip(*shown, strict=True), "o", color=colour, markersize=4)
    axes.plot([target[0]], [target[1]], "o", color=colour, markersize=11, fillstyle="none")
    axes.set_xscale("log")
    axes.set_yscale("log")
    values = [value for _, value in shown] + [target[1]]
    if limit is not None:
        axes.axhline(limit, color="#444", linestyle="--", linewidth=1.0)
        axes.annotate(
            "limit",
            (0.0, limit),
            xycoords=("axes fraction", "data"),
            xytext=(3, 2),
            textcoords="offset points",
            fontsize=8,
            color="#444",
        )
        values.append(limit)
    # A decade at least, or a cost that hardly moves would look as one that does.
    middle = math.sqrt(min(values) * max(values))
    half = max(math.sqrt(max(values) / min(values)) * 1.6, math.sqrt(10.0))
    axes.set_ylim(middle / half, middle * half)
    for axis in (axes.xaxis, axes.yaxis):
        axis.set_major_formatter("{x:g}")
        axis.set_minor_formatter(NullFormatter())
    axes.set_title(name, fontsize=9, wrap=True)
    axes.set_xlabel(over)
    axes.set_ylabel(unit)
    axes.grid(True, which="major", alpha=0.25)
    return svg(figure)


def difference_plot(rows: Sequence[tuple[str, float, float, float]]) -> str:
    """Of each figure (name, what it was, mean difference, half width) the difference as a share of what it was."""
    shown = [row for row in rows if row[1]]
    figure = Figure(figsize=(8.0, 0.6 + 0.32 * len(shown)), layout="constrained")
    axes = figure.subplots()
    for place, (_, was, difference, give) in enumerate(shown):
        clear = abs(difference) > give
        reach = min(give, 10 * abs(was)) / abs(was)
        axes.errorbar(100 * difference / was, -place, xerr=100 * reach, fmt="o", capsize=3, color=COLUMNS[clear])
    axes.set_yticks([-place for place in range(len(shown))], [row[0] for row in shown])
    axes.axvline(0.0, color="#888", linewidth=0.8)
    axes.set_xlabel("difference, % of the figure as it is (95%; red: clear)")
    axes.grid(True, axis="x", alpha=0.25)
    return svg(figure)


def as_html(markdown: str) -> str:
    """A Markdown table as HTML; cells that are marked as a finding stand out."""
    rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in markdown.splitlines()]
    head, body = rows[0], rows[2:]

    def cell(text: str) -> str:
        mark = ' class="found"' if text.endswith(("(!)", "*")) else ""
        return f"<td{mark}>{html.escape(text)}</td>"

    lines = ["<tr>" + "".join(f"<th>{html.escape(text)}</th>" for text in head) + "</tr>"]
    lines += ["<tr>" + "".join(map(cell, row)) + "</tr>" for row in body]
    return "<table>" + "".join(lines) + "</table>"


def write(file: Path, title: str, told: Mapping[str, str], table: str, plots: Iterable[str]) -> None:
    """A page: what was played, as terms and their words, the plots, and the table they show."""
    terms = "".join(f"<li><b>{html.escape(term)}</b>: {html.escape(word)}</li>" for term, word in told.items())
    file.write_text(
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>"
        f"<style>{STYLE}</style><h1>{html.escape(title)}</h1><ul>{terms}</ul>"
        f"<div class=plots>{''.join(plots)}</div>{as_html(table)}</html>\n",
        encoding="utf-8",
    )
