"""The commands for people. A node itself is started without this module: arguments, colours and help cost memory."""

from __future__ import annotations

import logging
import sys
import warnings
from collections.abc import Callable, Coroutine, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

import cbor2
import click
import msgspec
import uvloop

from cypressbeam import operate
from mallowworks.discovery import Address, read_address

T = TypeVar("T")


class Where(click.ParamType[Address]):
    """A control listener."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        try:
            return read_address(value)
        except ValueError:
            self.fail(f"{value!r} is no host:port", param, ctx)


WHERE = Where()
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW_FILE = click.Path(dir_okay=False, path_type=Path)
HTML = click.option("--html", "page", type=NEW_FILE, help="Write a page with tables and plots.")


def reach(what: Coroutine[Any, Any, T]) -> T:
    """Run a call to a system. Exit code 1 with one line where it can't be done, 3 where the system refuses."""
    try:
        return uvloop.run(what)
    except operate.Refused as err:
        click.echo(f"cypressbeam: {err}", err=True)
        sys.exit(3)
    except (OSError, EOFError, TimeoutError, operate.Unusable) as err:
        click.echo(f"cypressbeam: {err or type(err).__name__}", err=True)
        sys.exit(1)


def as_json(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An API gateway: nodes that carry HTTP/1.1 requests, find each other and keep the operator's configuration.

    Exit codes: 0 done; 1 it could not be done (no answer, a file that can't be read); 2 wrong arguments or settings;
    3 the system or a check refused.
    """


@main.command()
def node() -> None:
    """Run one node, told by the settings file that CYPRESSBEAM_BOOT names."""
    raise AssertionError("a node starts in __main__, without this module")


@main.command()
@click.option("--edges", default=2, show_default=True, help="Nodes that carry traffic.")
def up(edges: int) -> None:
    """Run a whole small system on loopback, with stand-in servers, and print the calls that it answers."""
    from lab.up import up as run_up

    uvloop.run(run_up(edges))


@main.command()
@click.argument("where", type=WHERE)
@click.option("--json", "plain", is_flag=True, help="The whole answer as JSON.")
def status(where: Address, plain: bool) -> None:
    """The state of chain and view, as the node at WHERE (a control listener) learns it from the core.

    Shows the epoch, each machine of the core with its revision and how many entries it lags behind, and the node.
    """
    told = reach(operate.state(where))
    click.echo(as_json(told) if plain else operate.describe_state(told))


@main.command()
@click.argument("where", type=WHERE)
@click.option("--json", "plain", is_flag=True, help="The whole answer as JSON.")
def members(where: Address, plain: bool) -> None:
    """Who belongs to the core: its group, which of them hold whole copies, who is missing, and who stands by."""
    told = reach(operate.state(where))
    click.echo(as_json(told) if plain else operate.describe_members(told))


@main.group()
def member() -> None:
    """Add, remove or replace a machine of the core, by address. Each waits until the change is done and copies stand.

    Exit code 3, with the reason and nothing changed, where the system refuses. An order that was cut short may be given
    again: it goes on where it was.
    """


def change_members(where: Address, change: str, old: str, new: str, plain: bool) -> None:
    done = reach(operate.change_members(where, change, old, new, lambda line: click.echo(f"waits: {line}", err=True)))
    click.echo(as_json(done) if plain else done["text"])


PLAIN = click.option("--json", "plain", is_flag=True, help="The answer as JSON.")


@member.command("add")
@click.argument("where", type=WHERE)
@click.argument("address")
@PLAIN
def add_member(where: Address, address: str, plain: bool) -> None:
    """Take in the machine at ADDRESS, which has joined and stands by."""
    change_members(where, "add", "", address, plain)


@member.command("remove")
@click.argument("where", type=WHERE)
@click.argument("address")
@PLAIN
def remove_member(where: Address, address: str, plain: bool) -> None:
    """Let the member at ADDRESS go, if the others can bear it."""
    change_members(where, "remove", address, "", plain)


@member.command("replace")
@click.argument("where", type=WHERE)
@click.argument("address")
@click.argument("successor")
@PLAIN
def replace_member(where: Address, address: str, successor: str, plain: bool) -> None:
    """Take in the machine at SUCCESSOR, then let the member at ADDRESS go."""
    change_members(where, "replace", address, successor, plain)


@main.group()
def config() -> None:
    """Check, send, read and compare the gateway's configuration (CBOR, JSON or TOML, by the file's ending)."""


@config.command()
@click.argument("file", type=FILE)
@click.option("--json", "plain", is_flag=True, help="The findings as JSON.")
def check(file: Path, plain: bool) -> None:
    """Explain a configuration before it is sent: what is invalid, what is odd, and where each route leads."""
    found = reach(operate.check(file))
    click.echo(as_json(found) if plain else operate.describe_check(found))
    sys.exit(3 if found["invalid"] else 0)


@config.command()
@click.argument("where", type=WHERE)
@click.argument("file", type=FILE)
@click.option("--base", type=int, help="The revision that it is to replace; without it, the one in force.")
def push(where: Address, file: Path, base: int | None) -> None:
    """Replace the configuration. Done once it is on the disks of the whole chain."""
    click.echo(reach(operate.push_file(where, file, base)))


@config.command()
@click.argument("where", type=WHERE)
@click.argument("file", type=NEW_FILE, required=False)
def get(where: Address, file: Path | None) -> None:
    """Read the configuration in force: its bytes into FILE, or as JSON onto the screen."""
    body = reach(operate.read(where))
    if file is None:
        click.echo(as_json(cbor2.loads(body)))
    else:
        file.write_bytes(body)


@config.command()
@click.argument("where", type=WHERE)
@click.argument("file", type=FILE)
def diff(where: Address, file: Path) -> None:
    """What FILE would change of the configuration in force. Exit code 3 if anything."""
    lines = reach(operate.diff(where, file))
    click.echo("\n".join(lines) or "the same")
    sys.exit(3 if lines else 0)


@main.command()
@click.argument("where", type=WHERE)
@click.argument("file", type=NEW_FILE)
def backup(where: Address, file: Path) -> None:
    """Save the system's state to FILE: the configuration as committed, with its digest and the view it was read in."""
    click.echo(reach(operate.backup(where, file)))


@main.command()
@click.argument("where", type=WHERE)
@click.argument("file", type=FILE)
@click.option("--over", is_flag=True, help="Bring it back over a newer revision, under the next number.")
def restore(where: Address, file: Path, over: bool) -> None:
    """Bring back what `backup` has saved, into a new system or over the state of one that runs."""
    click.echo(reach(operate.restore(where, file, over)))


#: Histories that one process plays before it tells of them.
BATCH = 20


@main.group()
def lab() -> None:
    """Simulations and measurements that need no network: everything from a seed, on one machine."""


@lab.command()
@click.option("--sizes", default="10,100,1000", show_default=True, help="Numbers of edge nodes.")
@click.option("--seeds", default=3, show_default=True, help="Histories of each size.")
def membership(sizes: str, seeds: int) -> None:
    """Joins, kills, cuts and loss in fleets of whole nodes on a simulated network; figures as a Markdown table."""
    from lab.membership import table

    quiet()
    click.echo(table([int(size) for size in sizes.split(",")], seeds))


@lab.command()
@click.option("--seeds", default=10_000, show_default=True, help="How many histories.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--jobs", default=8, show_default=True, help="Processes at once.")
@click.option("--fault", help="Leave out a rule, by its name, or `all` one after another: each must be found.")
def core(seeds: int, first: int, jobs: int, fault: str | None) -> None:
    """Histories of the core on a simulated network, clock and disk, checked for linearizability.

    Exit code 3 if one fails, with its steps shrunk; with --fault, if none does.
    """
    from lab import faults, histories

    names = list(faults.FAULTS) if fault == "all" else [fault or ""]
    passed = True
    for name in names:
        found = hunt(histories.search_with, name, range(first, first + seeds), jobs)
        if found is not None and name:
            with faults.fault(name) as options:
                click.echo(f"{name}: found. {histories.report(found[0], **options)}")
        elif found is not None:
            click.echo(histories.report(found[0]))
        else:
            click.echo(f"{name or 'the rules as they are'}: {seeds} histories, nothing found")
        passed = passed and (found is not None) == bool(name)
    sys.exit(0 if passed else 3)


@lab.command()
@click.option("--seeds", default=2_000, show_default=True, help="How many histories.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--jobs", default=8, show_default=True, help="Processes at once.")
@click.option("--fault", help="Leave out a rule, by its name, or `all` one after another: each must be found.")
def turnover(seeds: int, first: int, jobs: int, fault: str | None) -> None:
    """Histories of a core whose members come and go. Exit code 3 if one fails; with --fault, if none does."""
    from lab.turnover import FAULTS, search_with

    passed = True
    for name in list(FAULTS) if fault == "all" else [fault or ""]:
        found = hunt(search_with, name, range(first, first + seeds), jobs)
        told = f"seed {found[0]}: {found[1]}" if found is not None else f"{seeds} histories, nothing found"
        click.echo(f"{name or 'the rules as they are'}: {told}")
        passed = passed and (found is not None) == bool(name)
    sys.exit(0 if passed else 3)


@lab.command()
@click.option("--seeds", default=3, show_default=True, help="Histories of each kind.")
def repair(seeds: int) -> None:
    """How long until the core stands again after each kind of loss, over thin links; figures as a Markdown table."""
    from lab.repair import table

    quiet()
    click.echo(table(seeds))


@lab.command()
@click.option("--seeds", default=2000, show_default=True, help="How many storms.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--jobs", default=8, show_default=True, help="Processes at once.")
@click.option("--fault", help="Leave out a rule, by its name, or `all` one after another: each must be found.")
def attempts(seeds: int, first: int, jobs: int, fault: str | None) -> None:
    """All states of an attempt at a request, and storms of servers that do their worst (docs/design/attempts.md).

    Exit code 3 if something does not hold; with --fault, if nothing is found.
    """
    from lab import attempt_faults
    from lab.attempt_search import search_states, search_with

    quiet()
    passed = True
    for name in list(attempt_faults.FAULTS) if fault == "all" else [fault or ""]:
        with attempt_faults.fault(name):
            state = search_states()
        found = hunt(search_with, name, range(first, first + seeds), jobs)
        told = f"state {state[0]}: {state[1]}" if state is not None else "all states as they should be"
        storms = f"storm {found[0]}: {found[1]}" if found is not None else f"{seeds} storms, nothing found"
        click.echo(f"{name or 'the rules as they are'}: {told}; {storms}")
        passed = passed and (state is not None) == bool(name) and (found is None or bool(name))
    sys.exit(0 if passed else 3)


@lab.command()
@click.option("--seeds", default=200, show_default=True, help="How many histories.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--jobs", default=8, show_default=True, help="Processes at once.")
def chaos(seeds: int, first: int, jobs: int) -> None:
    """Whole systems through kills, lost disks, cuts and the loss of all power, on a simulated network.

    After each trouble the core must be whole, an order taken, and its news known by all. Exit code 3 if not.
    """
    from lab.chaos import search_with

    found = hunt(search_with, "", range(first, first + seeds), jobs)
    click.echo(f"seed {found[0]}: {found[1]}" if found is not None else f"{seeds} histories, nothing found")
    sys.exit(3 if found is not None else 0)


@lab.command()
@click.option("--seeds", default=200, show_default=True, help="How many histories.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--jobs", default=2, show_default=True, help="Processes at once.")
@click.option("--fault", default="", help="Leave out a rule, by its name: it must be found.")
def cuts(seeds: int, first: int, jobs: int, fault: str) -> None:
    """Machines of the core cut off from each other: how soon all are under the new root and hold what was confirmed.

    Exit code 3 if a bound is broken, or a node acts on the word of an epoch that is over; with --fault, if none does.
    """
    from lab.cuts import Report, search_with

    quiet()
    report = Report()
    batches = [(fault, range(at, min(at + BATCH, first + seeds))) for at in range(first, first + seeds, BATCH)]
    with ProcessPoolExecutor(jobs, initializer=quiet) as pool, click.progressbar(
            pool.map(search_with, batches), len(batches), label=fault or "histories", file=sys.stderr) as results:
        for part in results:
            report.add(part)
    click.echo(report.table())
    for seed, text in sorted(report.broken)[:5]:
        click.echo(f"seed {seed}: {text}")
    click.echo(f"{report.played} histories, {len(report.broken)} broken")
    sys.exit(3 if bool(report.broken) is not bool(fault) else 0)


@lab.command()
@click.option("--changes", default=5000, show_default=True, help="Versions that are written one after another.")
@click.option("--sizes", default="3000,300000", show_default=True, help="Bytes of a body.")
@click.option("--seeds", default=1, show_default=True, help="Losses of power after each operation.")
def disk(changes: int, sizes: str, seeds: int) -> None:
    """What the state's files and the process come to over many changes; and what a loss of power leaves of them.

    Exit code 3 if that is not what was told to be there.
    """
    import tempfile

    from lab import disk_growth, powerloss

    quiet()
    for row in disk_growth.rows(changes, [int(size) for size in sizes.split(",")]):
        click.echo(row)
    with tempfile.TemporaryDirectory(prefix="cypressbeam-life-") as folder:
        found = powerloss.search(Path(folder), seeds)
    click.echo(found)
    sys.exit(3 if "nothing lost" not in found else 0)


@lab.command()
@click.option("--edges", default=77, show_default=True, help="How many edge nodes.")
@click.option("--edge-mbps", default=2.75, show_default=True, help="What the link of an edge node carries.")
@click.option("--core-mbps", default=30.0, show_default=True, help="What the link of a core machine carries.")
@click.option("--routes", default=1500, show_default=True, help="Routes of the first configuration.")
@click.option("--seed", default=1, show_default=True, help="What comes by chance.")
def news(edges: int, edge_mbps: float, core_mbps: float, routes: int, seed: int) -> None:
    """How long configurations and drains take over thin links, and what the links carry for them."""
    from lab.news import measure, table

    quiet()
    click.echo(table(measure(edges, seed, edge_mbps, core_mbps, routes)))


@lab.command()
@click.option("--seeds", default=20, show_default=True, help="How often each case is played.")
@click.option("--fault", type=click.Choice(["no other sources"]), help="What bounds a fetch, left out on purpose.")
def fetches(seeds: int, fault: str | None) -> None:
    """How long nodes stay behind where links are full, relays stand still or go, and versions come in a storm.

    Exit code 3 if a node was behind for longer than the bound.
    """
    from lab.fetches import fault as seeded
    from lab.fetches import table

    quiet()
    with seeded(fault or ""):
        text, passed = table(seeds)
    click.echo(text)
    sys.exit(0 if passed else 3)


@lab.command()
@click.option("--sizes", default="20,80,300", show_default=True, help="Numbers of edge nodes.")
@click.option("--cores", default=3, show_default=True, help="Machines of the core.")
@click.option("--routes", default=200, show_default=True, help="Routes of the configuration.")
@click.option("--servers", default=100, show_default=True, help="Servers on the platform's list.")
@click.option("--seed", default=1, show_default=True, help="What comes by chance.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@HTML
def scale(sizes: str, cores: int, routes: int, servers: int, seed: int, as_json: bool, page: Path | None) -> None:
    """What grows with the fleet: costs at several sizes, and the exponent of each.

    Exit code 3 if a cost grows faster than the fleet.
    """
    from lab.scale import document, measure, table

    quiet()
    found = [measure(int(size), cores, routes, servers, seed) for size in sizes.split(",")]
    click.echo(msgspec.json.encode(document(found)).decode() if as_json else table(found))
    write_growth(page, "What grows with the fleet",
                 {"played": f"{cores} core machines, {routes} routes, {servers} servers, seed {seed}"}, found)
    sys.exit(3 if too_steep(found) else 0)


def quiet() -> None:
    """Simulated nodes tell of simulated trouble; and one that loses its power leaves what it was about to do."""
    logging.disable(logging.CRITICAL)
    warnings.filterwarnings("ignore", "coroutine .* was never awaited", RuntimeWarning)


def day_of(file: Path | None) -> Any:
    """The day in a file, or the usual one. Exit code 2 with one line where the file is no day."""
    from lab.day import Day, DayError, load

    try:
        return Day() if file is None else load(file)
    except DayError as err:
        click.echo(f"cypressbeam: {err}", err=True)
        sys.exit(2)


@lab.command()
@click.argument("file", type=FILE, required=False)
@click.option("--seed", default=1, show_default=True, help="What comes by chance.")
@click.option("--json", "plain", is_flag=True, help="For programs.")
def day(file: Path | None, seed: int, plain: bool) -> None:
    """Play a whole day of requests and troubles (FILE: TOML; without it, a quiet one) on simulated machines and links.

    Shows what was served, and every rule that the day's clients, servers and operator saw broken: exit code 3 if any.
    """
    from lab.emulator import play

    quiet()
    found = play(day_of(file), seed)
    if plain:
        click.echo(as_json({"figures": found.figures, "breaches": found.breaches}))
    else:
        click.echo("\n".join(f"{name:28} {value:.4g}" for name, value in found.figures.items()))
        click.echo("\n".join(f"{breach.at_s:8.2f} s {breach.rule}: {breach.text}" for breach in found.breaches)
                   or "no rule broken")
    sys.exit(3 if found.breaches else 0)


@lab.command()
@click.option("--seeds", default=200, show_default=True, help="How many days.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--jobs", default=8, show_default=True, help="Processes at once.")
def days(seeds: int, first: int, jobs: int) -> None:
    """Days drawn by chance from all troubles, to find broken rules; a find is shrunk. Exit code 3 if there is one."""
    from lab.daily import search_with

    quiet()
    found = hunt(search_with, "", range(first, first + seeds), jobs)
    click.echo(f"seed {found[0]}: {found[1]}" if found is not None else f"{seeds} days, nothing found")
    sys.exit(3 if found is not None else 0)


@lab.command()
@click.argument("file", type=FILE, required=False)
@click.option("--set", "settings", multiple=True, metavar="MODULE.NAME=VALUE",
              help="A figure of the other side, such as balancer.PADDING=3; as often as wanted.")
@click.option("--choice", default="", help="How the other side chooses a server: random or round-robin.")
@click.option("--seeds", default=8, show_default=True, help="How many days of each side.")
@click.option("--jobs", default=8, show_default=True, help="Processes at once.")
@HTML
def compare(file: Path | None, settings: tuple[str, ...], choice: str, seeds: int, jobs: int,
            page: Path | None) -> None:
    """The program as it is against one with other figures, on the same days, paired by seed; a Markdown table.

    A difference whose 95% interval leaves out 0 is marked with a star.
    """
    from lab import experiment

    quiet()
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
        plots.write(page, f"{played.name}: as it is, and with {change}", {"days": f"seeds 1 to {seeds}, in pairs"},
                    experiment.table(pairs, change), [plots.difference_plot(rows)])


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
    from lab.scale import MOST_EXPONENT, exponents

    return any(slope is not None and slope > MOST_EXPONENT for slope in exponents(found).values())


@lab.command()
@click.option("--sizes", default="20,80,300", show_default=True, help="Numbers of edge nodes.")
@click.option("--seconds", default=10.0, show_default=True, help="Of traffic.")
@click.option("--seed", default=1, show_default=True, help="What comes by chance.")
@click.option("--jobs", default=4, show_default=True, help="Processes at once.")
@HTML
def growth(sizes: str, seconds: float, seed: int, jobs: int, page: Path | None) -> None:
    """What traffic costs as the fleet grows: emulated days whose requests and servers grow with the edge nodes.

    Exit code 3 if a cost grows faster than the fleet.
    """
    from lab.growth import measure_all
    from lab.scale import table

    quiet()
    found = measure_all([int(size) for size in sizes.split(",")], seconds, seed, jobs)
    click.echo(table(found))
    write_growth(page, "What traffic costs as the fleet grows",
                 {"played": f"{seconds:g} s of traffic at each size, seed {seed}"}, found)
    sys.exit(3 if too_steep(found) else 0)


@lab.command()
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
def hollow(nodes: int, processes: int, real: int, cores: int, routes: int, servers: int, services: int, hosts: int,
           racks: int, changes: int, quiet_s: float, most_s: float, plain: bool) -> None:
    """Control parts of hundreds of nodes on real sockets, many in a process, with whole nodes among them.

    Exit code 1 if it was not done in time, 2 if it is more than the machine is to bear.
    """
    from dataclasses import asdict

    from lab.hollow import Plan, TooLarge, measure, table

    plan = Plan(nodes, processes, real, cores, routes, servers, changes, quiet_s, most_s, services, hosts, racks)
    try:
        found = reach(measure(plan))
    except TooLarge as err:
        click.echo(f"cypressbeam: {err}", err=True)
        sys.exit(2)
    click.echo(as_json(asdict(found)) if plain else table([found]))


@lab.command()
@click.option("--family", "families", multiple=True, help="routes, tenants, servers, services, samples, nodes, "
              "digests, requests or connections; as often as wanted. Without it, all.")
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


@lab.command()
@click.option("--sources", is_flag=True, help="Of each cost the command, the run, and what carries it.")
@HTML
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


def hunt(play: Callable[[tuple[str, range]], tuple[int, str] | None], name: str, seeds: range,
         jobs: int) -> tuple[int, str] | None:
    """Play histories in several processes until one fails; shows how far it is, where somebody looks on."""
    batches = [(name, seeds[at:at + BATCH]) for at in range(0, len(seeds), BATCH)]
    with ProcessPoolExecutor(jobs) as pool, click.progressbar(
            pool.map(play, batches), len(batches), label=name or "histories", file=sys.stderr) as results:
        for found in results:
            if found is not None:
                pool.shutdown(wait=False, cancel_futures=True)
                return found
    return None


