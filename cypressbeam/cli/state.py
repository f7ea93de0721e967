"""Commands that show, save and restore the state of a system."""

from __future__ import annotations

from pathlib import Path

import click

from cypressbeam.admin import backup, membership, status
from cypressbeam.cli.output import as_json, run_call
from cypressbeam.cli.parameters import CONTROL_LISTENER, FILE, NEW_FILE
from cypressbeam.protocol.address import Address


@click.command("status")
@click.argument("where", type=CONTROL_LISTENER)
@click.option("--json", "json_output", is_flag=True, help="Print the full response as JSON.")
def show_status(where: Address, json_output: bool) -> None:
    """Show the state of chain and view as reported by the core to the node at WHERE, a control listener.

    Shows the epoch, the revision and the lag in entries of each machine of the core, and the state of the node.
    """
    state = run_call(status.read_state(where))
    click.echo(as_json(state) if json_output else status.describe_state(state))


@click.command()
@click.argument("where", type=CONTROL_LISTENER)
@click.option("--json", "json_output", is_flag=True, help="Print the full response as JSON.")
def members(where: Address, json_output: bool) -> None:
    """Show the members of the core, which of them have full copies and which are missing, and the spares."""
    state = run_call(status.read_state(where))
    click.echo(as_json(state) if json_output else membership.describe_members(state))


@click.command("backup")
@click.argument("where", type=CONTROL_LISTENER)
@click.argument("file", type=NEW_FILE)
def save_state(where: Address, file: Path) -> None:
    """Save the system's state to FILE: the committed configuration, its digest and the epoch of the view."""
    click.echo(run_call(backup.backup(where, file)))


@click.command()
@click.argument("where", type=CONTROL_LISTENER)
@click.argument("file", type=FILE)
@click.option("--over", is_flag=True, help="Replace a newer revision; the restored one gets the next number.")
def restore(where: Address, file: Path, over: bool) -> None:
    """Restore a file written by `backup`, into a new system or a running one."""
    click.echo(run_call(backup.restore(where, file, over)))
