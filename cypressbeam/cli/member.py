"""The command group `member`: adds, removes and replaces machines of the core."""

from __future__ import annotations

import click

from cypressbeam.admin import membership
from cypressbeam.cli.output import as_json, run_call
from cypressbeam.cli.parameters import CONTROL_LISTENER
from cypressbeam.protocol.address import Address


@click.group()
def member() -> None:
    """Add, remove or replace a machine of the core, by address, and wait until the change and the copies are complete.

    Exit code 3 if the system rejects the change; it prints the reason and changes nothing. An interrupted command can
    be repeated: it continues the change.
    """


def change_members(where: Address, change: str, old: str, new: str, json_output: bool) -> None:
    """Request the change, and show its progress and result."""
    result = run_call(
        membership.change_members(where, change, old, new, lambda line: click.echo(f"waits: {line}", err=True))
    )
    click.echo(as_json(result) if json_output else result["text"])


JSON_OPTION = click.option("--json", "json_output", is_flag=True, help="Print the response as JSON.")


@member.command("add")
@click.argument("where", type=CONTROL_LISTENER)
@click.argument("address")
@JSON_OPTION
def add_member(where: Address, address: str, json_output: bool) -> None:
    """Add the spare machine at ADDRESS, which has already joined."""
    change_members(where, "add", "", address, json_output)


@member.command("remove")
@click.argument("where", type=CONTROL_LISTENER)
@click.argument("address")
@JSON_OPTION
def remove_member(where: Address, address: str, json_output: bool) -> None:
    """Remove the member at ADDRESS, if enough other members remain."""
    change_members(where, "remove", address, "", json_output)


@member.command("replace")
@click.argument("where", type=CONTROL_LISTENER)
@click.argument("address")
@click.argument("successor")
@JSON_OPTION
def replace_member(where: Address, address: str, successor: str, json_output: bool) -> None:
    """Add the machine at SUCCESSOR, then remove the member at ADDRESS."""
    change_members(where, "replace", address, successor, json_output)
