"""Commands on the state of a system: shown, saved and brought back."""

from __future__ import annotations

from pathlib import Path

import click

from cypressbeam.admin import backup, membership, status
from cypressbeam.cli.output import as_json, run_call
from cypressbeam.cli.parameters import FILE, NEW_FILE, WHERE
from cypressbeam.protocol.address import Address


@click.command("status")
@click.argument("where", type=WHERE)
@click.option("--json", "plain", is_flag=True, help="The whole answer as JSON.")
def show_status(where: Address, plain: bool) -> None:
    """The state of chain and view, as the node at WHERE (a control listener) learns it from the core.

    Shows the epoch, each machine of the core with its revision and how many entries it lags behind, and the node.
    """
    state = run_call(status.read_state(where))
    click.echo(as_json(state) if plain else status.describe_state(state))


@click.command()
@click.argument("where", type=WHERE)
@click.option("--json", "plain", is_flag=True, help="The whole answer as JSON.")
def members(where: Address, plain: bool) -> None:
    """Who belongs to the core: its group, which of them hold whole copies, who is missing, and who stands by."""
    state = run_call(status.read_state(where))
    click.echo(as_json(state) if plain else membership.describe_members(state))


@click.command("backup")
@click.argument("where", type=WHERE)
@click.argument("file", type=NEW_FILE)
def save_state(where: Address, file: Path) -> None:
    """Save the system's state to FILE: the configuration as committed, with its digest and the view it was read in."""
    click.echo(run_call(backup.backup(where, file)))


@click.command()
@click.argument("where", type=WHERE)
@click.argument("file", type=FILE)
@click.option("--over", is_flag=True, help="Bring it back over a newer revision, under the next number.")
def restore(where: Address, file: Path, over: bool) -> None:
    """Bring back what `backup` has saved, into a new system or over the state of one that runs."""
    click.echo(run_call(backup.restore(where, file, over)))
