"""The group `member`: machines of the core added, removed and replaced."""

from __future__ import annotations

import click

from cypressbeam.admin import membership
from cypressbeam.cli.output import as_json, run_call
from cypressbeam.cli.parameters import WHERE
from cypressbeam.protocol.address import Address


@click.group()
def member() -> None:
    """Add, remove or replace a machine of the core, by address. Each waits until the change is done and copies stand.

    Exit code 3, with the reason and nothing changed, where the system refuses. An order that was cut short may be given
    again: it goes on where it was.
    """


def change_members(where: Address, change: str, old: str, new: str, plain: bool) -> None:
    """Ask the system for the change, show what it waits for, and how it ends."""
    done = run_call(
        membership.change_members(where, change, old, new, lambda line: click.echo(f"waits: {line}", err=True))
    )
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
