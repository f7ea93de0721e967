"""Whole days of requests and troubles: played, drawn, written and compared."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from cypressbeam.cli.output import as_json
from cypressbeam.cli.parameters import FILE, HTML_OPTION
from lab.commands.parallel import first_failure, silence_simulated_nodes


def day_of(file: Path | None) -> Any:
    """The day in a file, or the usual one. Exit code 2 with one line where the file is no day."""
    from lab.day import Day, DayError, load

    try:
        return Day() if file is None else load(file)
    except DayError as err:
        click.echo(f"cypressbeam: {err}", err=True)
        sys.exit(2)


@click.command()
@click.argument("file", type=FILE, required=False)
@click.option("--seed", default=1, show_default=True, help="What comes by chance.")
@click.option("--json", "plain", is_flag=True, help="For programs.")
def day(file: Path | None, seed: int, plain: bool) -> None:
    """Play a whole day of requests and troubles (FILE: TOML; without it, a quiet one) on simulated machines and links.

    Shows what was served, and every rule that the day's clients, servers and operator saw broken: exit code 3 if any.
    """
    from lab.day_simulation import play

    silence_simulated_nodes()
    found = play(day_of(file), seed)
    if plain:
        click.echo(as_json({"figures": found.figures, "breaches": found.breaches}))
    else:
        click.echo("\n".join(f"{name:28} {value:.4g}" for name, value in found.figures.items()))
        click.echo(
            "\n".join(f"{breach.at_s:8.2f} s {breach.rule}: {breach.text}" for breach in found.breaches)
            or "no rule broken"
        )
    sys.exit(3 if found.breaches else 0)


@click.command()
@click.option("--seeds", default=200, show_default=True, help="How many days.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--jobs", default=8, show_default=True, help="Processes at once.")
def days(seeds: int, first: int, jobs: int) -> None:
    """Days drawn by chance from all troubles, to find broken rules; a find is shrunk. Exit code 3 if there is one."""
    from lab.random_days import search_with

    silence_simulated_nodes()
    found = first_failure(search_with, "", range(first, first + seeds), jobs)
    click.echo(f"seed {found[0]}: {found[1]}" if found is not None else f"{seeds} days, nothing found")
    sys.exit(3 if found is not None else 0)


def names(text: str) -> list[str]:
    """The names in an option that joins them by commas."""
    return [name.strip() for name in text.split(",") if name.strip()]


@click.command("write-days")
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
@click.option("--seed", default=1, show_default=True, help="Another seed gives other days; the same one the same.")
@click.option("--days", default=20, show_default=True, type=click.IntRange(1, 10_000), help="How many.")
@click.option(
    "--length",
    "length_s",
    default=32.0,
    show_default=True,
    type=click.FloatRange(5.0),
    help="Seconds of traffic in a day.",
)
@click.option("--kinds-of", "listing", type=FILE, help="Only the kinds that this file lists, one `name: text` a line.")
@click.option("--also", default="", help="These kinds too, joined by commas.")
@click.option("--only", default="", help="Only these kinds, joined by commas.")
def write_days(folder: Path, seed: int, days: int, length_s: float, listing: Path | None, also: str, only: str) -> None:
    """Write test days of a deployment into FOLDER, as TOML files; plays nothing. Without --kinds-of, of all kinds."""
    from lab.drawn_days import writing
    from lab.drawn_days.listing import ListingError, allowed_kinds

    try:
        kinds, left_out = allowed_kinds(listing, names(only), names(also))
        files = writing.write_days(folder, kinds, seed, days, length_s)
    except (OSError, UnicodeDecodeError, ListingError) as err:
        click.echo(f"cypressbeam: {err}", err=True)
        sys.exit(2)
    if left_out:
        click.echo(f"cypressbeam: left out, as not in the table of kinds: {', '.join(left_out)}", err=True)
    click.echo(f"{len(files)} days of {len(kinds)} kinds in {folder}, {files[0].name} to {files[-1].name}")


@click.command()
@click.argument("file", type=FILE, required=False)
@click.option(
    "--set",
    "settings",
    multiple=True,
    metavar="MODULE.NAME=VALUE",
    help="A figure of the other side, such as balancer.PADDING=3; as often as wanted.",
)
@click.option("--choice", default="", help="How the other side chooses a server: random or round-robin.")
@click.option("--seeds", default=8, show_default=True, help="How many days of each side.")
@click.option("--jobs", default=8, show_default=True, help="Processes at once.")
@HTML_OPTION
def compare(
    file: Path | None, settings: tuple[str, ...], choice: str, seeds: int, jobs: int, page: Path | None
) -> None:
    """The program as it is against one with other figures, on the same days, paired by seed; a Markdown table.

    A difference whose 95% interval leaves out 0 is marked with a star.
    """
    from lab import experiment

    silence_simulated_nodes()
    try:
        change = experiment.read_change(settings, choice)
    except experiment.ExperimentError as err:
        click.echo(f"cypressbeam: {err}", err=True)
        sys.exit(2)
    played = day_of(file)
    pairs = experiment.compare(played, change, range(1, seeds + 1), jobs)
    click.echo(experiment.table(pairs, change))
    if page is not None:
        from lab import plots

        rows = [(row.name, row.as_is, row.difference, row.give) for row in experiment.rows(pairs)]
        plots.write(
            page,
            f"{played.name}: as it is, and with {change}",
            {"days": f"seeds 1 to {seeds}, in pairs"},
            experiment.table(pairs, change),
            [plots.difference_plot(rows)],
        )
