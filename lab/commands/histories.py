"""Searches through histories of trouble: each plays seeds until a rule is broken."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from cypressbeam.cli.parameters import FILE
from lab.commands.parallel import BATCH, first_failure, silence_simulated_nodes

Command = Callable[..., None]
fault_option = click.option(
    "--fault", help="Leave out a rule, by its name, or `all` one after another: each must be found."
)


def search_options(seeds: int, jobs: int, seeds_help: str) -> Callable[[Command], Command]:
    """The options of a search through seeds: how many, from which on, in how many processes."""

    def add(command: Command) -> Command:
        for option in (
            click.option("--jobs", default=jobs, show_default=True, help="Processes at once."),
            click.option("--first", default=0, show_default=True, help="The first seed."),
            click.option("--seeds", default=seeds, show_default=True, help=seeds_help),
        ):
            command = option(command)
        return command

    return add


#: Plays histories with a rule left out, by its name, or none: the first that fails, and what it breaks.
Search = Callable[[tuple[str, range]], tuple[int, str] | None]


@click.command()
@search_options(seeds=10_000, jobs=8, seeds_help="How many histories.")
@fault_option
def core(seeds: int, first: int, jobs: int, fault: str | None) -> None:
    """Histories of the core on a simulated network, clock and disk, checked for linearizability.

    Exit code 3 if one fails, with its steps shrunk; with --fault, if none does.
    """
    from lab.histories import faults, runner

    names = list(faults.FAULTS) if fault == "all" else [fault or ""]
    passed = True
    for name in names:
        found = first_failure(runner.search_with, name, range(first, first + seeds), jobs)
        if found is not None and name:
            with faults.fault(name) as options:
                click.echo(f"{name}: found. {runner.report(found[0], **options)}")
        elif found is not None:
            click.echo(runner.report(found[0]))
        else:
            click.echo(f"{name or 'the rules as they are'}: {seeds} histories, nothing found")
        passed = passed and (found is not None) == bool(name)
    sys.exit(0 if passed else 3)


def report_search(search_with: Search, faults: Iterable[str], fault: str | None, seeds: range, jobs: int) -> None:
    """Play histories with the rules as they are, with one rule left out, or with each in turn; then end the process
    with code 3 if one fails, or with a rule left out if none does."""
    passed = True
    for name in list(faults) if fault == "all" else [fault or ""]:
        found = first_failure(search_with, name, seeds, jobs)
        told = f"seed {found[0]}: {found[1]}" if found is not None else f"{len(seeds)} histories, nothing found"
        click.echo(f"{name or 'the rules as they are'}: {told}")
        passed = passed and (found is not None) == bool(name)
    sys.exit(0 if passed else 3)


@click.command()
@search_options(seeds=2_000, jobs=8, seeds_help="How many histories.")
@fault_option
def turnover(seeds: int, first: int, jobs: int, fault: str | None) -> None:
    """Histories of a core whose members come and go. Exit code 3 if one fails; with --fault, if none does."""
    from lab.membership_churn import FAULTS, search_with

    report_search(search_with, FAULTS, fault, range(first, first + seeds), jobs)


@click.command()
@search_options(seeds=300, jobs=4, seeds_help="How many histories.")
@fault_option
@click.option("--times", is_flag=True, help="Print how long each kind of replacement takes instead, as a table.")
def replacements(seeds: int, first: int, jobs: int, fault: str | None, times: bool) -> None:
    """Core machines replaced by others, with other troubles meanwhile and one more loss afterwards; whole nodes.

    Exit code 3 if a replaced machine counts for too long or a confirmed change is lost; with --fault, if none does.
    """
    from lab.replacements import FAULTS, search_with, table

    silence_simulated_nodes()
    if times:
        click.echo(table(range(first, first + seeds)))
    else:
        report_search(search_with, FAULTS, fault, range(first, first + seeds), jobs)


@click.command()
@search_options(seeds=200, jobs=4, seeds_help="How many histories.")
@fault_option
@click.option("--times", is_flag=True, help="Print how long the recovery takes instead, as a table.")
def closing(seeds: int, first: int, jobs: int, fault: str | None, times: bool) -> None:
    """All power lost right after a confirmed change, with one disk; whole nodes start again.

    Exit code 3 if a node holds the newest version too late, or tells an older one; with --fault, if none does.
    """
    from lab.power_loss_recovery import FAULTS, search_with, table

    silence_simulated_nodes()
    if times:
        click.echo(table(range(first, first + seeds)))
    else:
        report_search(search_with, FAULTS, fault, range(first, first + seeds), jobs)


@click.command()
@search_options(seeds=2000, jobs=8, seeds_help="How many storms.")
@fault_option
def attempts(seeds: int, first: int, jobs: int, fault: str | None) -> None:
    """All states of an attempt at a request, and storms of servers that do their worst (docs/design/attempts.md).

    Exit code 3 if something does not hold; with --fault, if nothing is found.
    """
    from lab.attempt_faults import FAULTS
    from lab.attempt_faults import fault as left_out
    from lab.attempt_search import search_states, search_with

    silence_simulated_nodes()
    passed = True
    for name in list(FAULTS) if fault == "all" else [fault or ""]:
        with left_out(name):
            state = search_states()
        found = first_failure(search_with, name, range(first, first + seeds), jobs)
        told = f"state {state[0]}: {state[1]}" if state is not None else "all states as they should be"
        storms = f"storm {found[0]}: {found[1]}" if found is not None else f"{seeds} storms, nothing found"
        click.echo(f"{name or 'the rules as they are'}: {told}; {storms}")
        passed = passed and (state is not None) == bool(name) and (found is None or bool(name))
    sys.exit(0 if passed else 3)


@click.command()
@search_options(seeds=200, jobs=8, seeds_help="How many histories.")
def chaos(seeds: int, first: int, jobs: int) -> None:
    """Whole systems through kills, lost disks, cuts and the loss of all power, on a simulated network.

    After each trouble the core must be whole, an order taken, and its news known by all. Exit code 3 if not.
    """
    from lab.chaos import search_with

    found = first_failure(search_with, "", range(first, first + seeds), jobs)
    click.echo(f"seed {found[0]}: {found[1]}" if found is not None else f"{seeds} histories, nothing found")
    sys.exit(3 if found is not None else 0)


@click.command()
@search_options(seeds=200, jobs=2, seeds_help="How many histories.")
@click.option("--fault", default="", help="Leave out a rule, by its name: it must be found.")
def cuts(seeds: int, first: int, jobs: int, fault: str) -> None:
    """Machines of the core cut off from each other: how soon all are under the new root and hold what was confirmed.

    Exit code 3 if a bound is broken, or a node acts on the word of an epoch that is over; with --fault, if none does.
    """
    from lab.partitions import Report, search_with

    silence_simulated_nodes()
    report = Report()
    batches = [(fault, range(at, min(at + BATCH, first + seeds))) for at in range(first, first + seeds, BATCH)]
    with (
        ProcessPoolExecutor(jobs, initializer=silence_simulated_nodes) as pool,
        click.progressbar(
            pool.map(search_with, batches), len(batches), label=fault or "histories", file=sys.stderr
        ) as results,
    ):
        for part in results:
            report.add(part)
    click.echo(report.table())
    for seed, text in sorted(report.broken)[:5]:
        click.echo(f"seed {seed}: {text}")
    click.echo(f"{report.played} histories, {len(report.broken)} broken")
    sys.exit(3 if bool(report.broken) is not bool(fault) else 0)


@click.command()
@click.option("--jobs", default=8, show_default=True, help="Processes at once.")
@click.option("--golden", type=FILE, help="A file with the digests that are expected.")
@click.argument("names", nargs=-1)
def traces(names: tuple[str, ...], golden: Path | None, jobs: int) -> None:
    """Digests of all that fixed seeds of the simulations do, to see whether a change of the code changed its behaviour.

    NAMES are simulations; without any, all. Exit code 3 if a digest differs from the expected one.
    """
    from lab import golden_traces

    found = golden_traces.trace_all(names or tuple(golden_traces.SIMULATIONS), jobs)
    click.echo("\n".join(found))
    differing = golden_traces.differences(found, golden) if golden is not None else []
    if differing:
        click.echo("\n".join(["", "differ:", *differing]))
    sys.exit(3 if differing else 0)
