"""What the program costs as fleets and configurations grow."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
import msgspec

from cypressbeam.cli.output import as_json, run_call
from cypressbeam.cli.parameters import HTML_OPTION
from lab.commands.parallel import silence_simulated_nodes


def write_growth(page: Path | None, title: str, told: dict[str, str], found: Sequence[Any]) -> None:
    """A page of what grows with the fleet, one plot a cost, if one is wanted."""
    if page is None:
        return
    from lab import plots
    from lab.scale import MOST_EXPONENT, exponents, points, table

    slopes = exponents(found)
    drawn = [plots.power_plot(name, at, slopes[name], MOST_EXPONENT) for name, at in points(found).items()]
    plots.write(page, title, told, table(found), drawn)


def too_steep(found: Sequence[Any]) -> bool:
    """Whether a cost grows faster than the fleet."""
    from lab.scale import MOST_EXPONENT, exponents

    return any(slope is not None and slope > MOST_EXPONENT for slope in exponents(found).values())


@click.command()
@click.option("--sizes", default="20,80,300", show_default=True, help="Numbers of edge nodes.")
@click.option("--cores", default=3, show_default=True, help="Machines of the core.")
@click.option("--routes", default=200, show_default=True, help="Routes of the configuration.")
@click.option("--servers", default=100, show_default=True, help="Servers on the platform's list.")
@click.option("--seed", default=1, show_default=True, help="What comes by chance.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@HTML_OPTION
def scale(sizes: str, cores: int, routes: int, servers: int, seed: int, as_json: bool, page: Path | None) -> None:
    """What grows with the fleet: costs at several sizes, and the exponent of each.

    Exit code 3 if a cost grows faster than the fleet.
    """
    from lab.scale import document, measure, table

    silence_simulated_nodes()
    found = [measure(int(size), cores, routes, servers, seed) for size in sizes.split(",")]
    click.echo(msgspec.json.encode(document(found)).decode() if as_json else table(found))
    write_growth(
        page,
        "What grows with the fleet",
        {"played": f"{cores} core machines, {routes} routes, {servers} servers, seed {seed}"},
        found,
    )
    sys.exit(3 if too_steep(found) else 0)


@click.command()
@click.option("--sizes", default="20,80,300", show_default=True, help="Numbers of edge nodes.")
@click.option("--seconds", default=10.0, show_default=True, help="Of traffic.")
@click.option("--seed", default=1, show_default=True, help="What comes by chance.")
@click.option("--jobs", default=4, show_default=True, help="Processes at once.")
@HTML_OPTION
def growth(sizes: str, seconds: float, seed: int, jobs: int, page: Path | None) -> None:
    """What traffic costs as the fleet grows: emulated days whose requests and servers grow with the edge nodes.

    Exit code 3 if a cost grows faster than the fleet.
    """
    from lab.growth import measure_all
    from lab.scale import table

    silence_simulated_nodes()
    found = measure_all([int(size) for size in sizes.split(",")], seconds, seed, jobs)
    click.echo(table(found))
    write_growth(
        page,
        "What traffic costs as the fleet grows",
        {"played": f"{seconds:g} s of traffic at each size, seed {seed}"},
        found,
    )
    sys.exit(3 if too_steep(found) else 0)


@click.command()
@click.option("--nodes", default=300, show_default=True, help="Hollow nodes.")
@click.option("--processes", default=8, show_default=True, help="Processes that hold them.")
@click.option("--real", default=4, show_default=True, help="Whole edge nodes among them, a process each.")
@click.option("--cores", default=3, show_default=True, help="Machines of the core.")
@click.option("--routes", default=200, show_default=True, help="Routes of the configuration.")
@click.option("--servers", default=100, show_default=True, help="Servers on the platform's list.")
@click.option("--services", default=0, show_default=True, help="Services of the configuration, beside two.")
@click.option("--hosts", default=60, show_default=True, help="Hosts (tenants) of the configuration.")
@click.option("--racks", default=0, show_default=True, help="Processes that are killed at once, and come back.")
@click.option("--changes", default=5, show_default=True, help="Changes of a route, and of a server, one by one.")
@click.option("--quiet-s", default=10.0, show_default=True, help="Seconds in which nothing happens.")
@click.option("--most-s", default=180.0, show_default=True, help="After so long all is ended.")
@click.option("--json", "plain", is_flag=True, help="For programs.")
def hollow(
    nodes: int,
    processes: int,
    real: int,
    cores: int,
    routes: int,
    servers: int,
    services: int,
    hosts: int,
    racks: int,
    changes: int,
    quiet_s: float,
    most_s: float,
    plain: bool,
) -> None:
    """Control parts of hundreds of nodes on real sockets, many in a process, with whole nodes among them.

    Exit code 1 if it was not done in time, 2 if it is more than the machine is to bear.
    """
    from dataclasses import asdict

    from lab.hollow import Plan, RunTooLargeError, measure, table

    plan = Plan(nodes, processes, real, cores, routes, servers, changes, quiet_s, most_s, services, hosts, racks)
    try:
        found = run_call(measure(plan))
    except RunTooLargeError as err:
        click.echo(f"cypressbeam: {err}", err=True)
        sys.exit(2)
    click.echo(as_json(asdict(found)) if plain else table([found]))


@click.command()
@click.option(
    "--family",
    "families",
    multiple=True,
    help="routes, tenants, servers, services, samples, nodes, "
    "digests, requests or connections; as often as wanted. Without it, all.",
)
@click.option("--sizes", help="Other sizes than usual, for all that are measured.")
@click.option("--repeat", default=3, show_default=True, help="Times that each size is measured.")
@click.option("--json", "plain", is_flag=True, help="For programs.")
def footprint(families: tuple[str, ...], sizes: str | None, repeat: int, plain: bool) -> None:
    """Bytes and processor time a route, tenant, server, service, node, connection, sample, digest and request.

    Each size in a process of its own; the value at the target is measured, or told as reckoned.
    """
    from lab.footprint import FAMILIES, measure, rows, table

    if unknown := set(families) - FAMILIES.keys():
        click.echo(f"cypressbeam: no family {min(unknown)}; there are {', '.join(FAMILIES)}", err=True)
        sys.exit(2)
    for name in families or FAMILIES:
        _, usual, target = FAMILIES[name]
        found = measure(name, [int(size) for size in sizes.split(",")] if sizes else usual, repeat)
        click.echo(as_json({name: rows(found, target)}) if plain else table(name, found, target) + "\n")


@click.command()
@click.option("--sources", is_flag=True, help="Of each cost the command, the run, and what carries it.")
@HTML_OPTION
def capacity(sources: bool, page: Path | None) -> None:
    """Every cost at the size of the target, the worst first, from the points in lab/capacity.toml (docs/CAPACITY.md).

    Exit code 3 while a cost is over its limit there.
    """
    from lab import capacity as costs

    found = costs.load()
    click.echo(costs.sources(found) if sources else costs.table(found))
    if page is not None:
        costs.write_page(found, page)
    sys.exit(3 if costs.beyond(found) else 0)
