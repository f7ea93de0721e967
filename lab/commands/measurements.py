"""What simulated nodes, links and disks take: times and bytes, as tables."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from lab.commands.parallel import silence_simulated_nodes


@click.command("membership")
@click.option("--sizes", default="10,100,1000", show_default=True, help="Numbers of edge nodes.")
@click.option("--seeds", default=3, show_default=True, help="Histories of each size.")
def fleet_membership(sizes: str, seeds: int) -> None:
    """Joins, kills, cuts and loss in fleets of whole nodes on a simulated network; figures as a Markdown table."""
    from lab.membership import table

    silence_simulated_nodes()
    click.echo(table([int(size) for size in sizes.split(",")], seeds))


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="So many soaks, one after another.")
@click.option("--minutes", default=1.0, show_default=True, help="Minutes of each soak.")
@click.option("--processes", default=5, show_default=True, help="Node processes: three core machines, the rest edge.")
@click.option("--clients", default=24, show_default=True, help="Clients, one connection each.")
def soak(seed: int, seeds: int, minutes: float, processes: int, clients: int) -> None:
    """Real processes on loopback under drawn clients, signals and configurations; exit code 1 if a rule broke."""
    import uvloop

    from lab.soak.run import Plan
    from lab.soak.run import soak as play

    broken = 0
    for one in range(seed, seed + seeds):
        report = uvloop.run(play(Plan(one, minutes, max(processes - 3, 1), clients)))
        click.echo(report.text())
        broken += bool(report.findings)
    sys.exit(1 if broken else 0)


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="So many soaks, one after another.")
@click.option("--rounds", default=4, show_default=True, help="Rounds after the first start.")
@click.option("--edges", default=3, show_default=True, help="Edge nodes, beside three core machines.")
def outages(seed: int, seeds: int, rounds: int, edges: int) -> None:
    """Real processes through kills at the first start and rounds of changed settings, kills of whole groups and large
    responses; after each all must work again. Exit code 1 if something did not."""
    import uvloop

    from lab.soak.outages import OutageSoak

    async def play(one: int) -> str:
        report = await OutageSoak(one, rounds, edges).run()
        findings.extend(report.findings)
        return report.text()

    findings: list[str] = []
    for one in range(seed, seed + seeds):
        click.echo(uvloop.run(play(one)))
    sys.exit(1 if findings else 0)


@click.command()
@click.option("--seeds", default=3, show_default=True, help="Histories of each kind.")
def repair(seeds: int) -> None:
    """How long until the core stands again after each kind of loss, over thin links; figures as a Markdown table."""
    from lab.repair import table

    silence_simulated_nodes()
    click.echo(table(seeds))


@click.command()
@click.option("--changes", default=5000, show_default=True, help="Versions that are written one after another.")
@click.option("--sizes", default="3000,300000", show_default=True, help="Bytes of a body.")
@click.option("--seeds", default=1, show_default=True, help="Losses of power after each operation.")
def disk(changes: int, sizes: str, seeds: int) -> None:
    """What the state's files and the process come to over many changes; and what a loss of power leaves of them.

    Exit code 3 if that is not what was told to be there.
    """
    import tempfile

    from lab import disk_growth, disk_power_loss

    silence_simulated_nodes()
    for row in disk_growth.rows(changes, [int(size) for size in sizes.split(",")]):
        click.echo(row)
    with tempfile.TemporaryDirectory(prefix="cypressbeam-life-") as folder:
        found = disk_power_loss.search(Path(folder), seeds)
    click.echo(found)
    sys.exit(3 if "nothing lost" not in found else 0)


@click.command()
@click.option("--edges", default=77, show_default=True, help="How many edge nodes.")
@click.option("--edge-mbps", default=2.75, show_default=True, help="What the link of an edge node carries.")
@click.option("--core-mbps", default=30.0, show_default=True, help="What the link of a core machine carries.")
@click.option("--routes", default=1500, show_default=True, help="Routes of the first configuration.")
@click.option("--seed", default=1, show_default=True, help="What comes by chance.")
def news(edges: int, edge_mbps: float, core_mbps: float, routes: int, seed: int) -> None:
    """How long configurations and drains take over thin links, and what the links carry for them."""
    from lab.update_propagation import measure, table

    silence_simulated_nodes()
    click.echo(table(measure(edges, seed, edge_mbps, core_mbps, routes)))


@click.command()
@click.option("--seeds", default=20, show_default=True, help="How often each case is played.")
@click.option("--fault", type=click.Choice(["no other sources"]), help="What bounds a fetch, left out on purpose.")
def fetches(seeds: int, fault: str | None) -> None:
    """How long nodes stay behind where links are full, relays stand still or go, and versions come in a storm.

    Exit code 3 if a node was behind for longer than the bound.
    """
    from lab.fetches import fault as seeded
    from lab.fetches import table

    silence_simulated_nodes()
    with seeded(fault or ""):
        text, passed = table(seeds)
    click.echo(text)
    sys.exit(0 if passed else 3)
