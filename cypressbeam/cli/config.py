"""The command group `config`: checks, sends, reads and compares the configuration."""

from __future__ import annotations

import sys
from pathlib import Path

import cbor2
import click

from cypressbeam.admin import config_calls, config_file
from cypressbeam.cli.output import as_json, run_call
from cypressbeam.cli.parameters import CONTROL_LISTENER, FILE, NEW_FILE
from cypressbeam.protocol.address import Address


@click.group()
def config() -> None:
    """Check, send, read and compare the gateway's configuration (CBOR, JSON or TOML, by the file extension)."""


@config.command()
@click.argument("file", type=FILE)
@click.option("--json", "json_output", is_flag=True, help="Print the result as JSON.")
def check(file: Path, json_output: bool) -> None:
    """Check a configuration before it is sent: print errors, warnings and the services of each route."""
    result = run_call(config_file.check(file))
    click.echo(as_json(result) if json_output else config_file.describe_check(result))
    sys.exit(3 if result["invalid"] else 0)


@config.command()
@click.argument("where", type=CONTROL_LISTENER)
@click.argument("file", type=FILE)
@click.option("--base", type=int, help="The revision to replace. Default: the one in force.")
def push(where: Address, file: Path, base: int | None) -> None:
    """Replace the configuration, and wait until it is on the disks of the whole chain."""
    click.echo(run_call(config_calls.push_file(where, file, base)))


@config.command()
@click.argument("where", type=CONTROL_LISTENER)
@click.argument("file", type=NEW_FILE, required=False)
def get(where: Address, file: Path | None) -> None:
    """Read the configuration in force and write its bytes to FILE, or print it as JSON."""
    body = run_call(config_calls.read(where))
    if file is None:
        click.echo(as_json(cbor2.loads(body)))
    else:
        file.write_bytes(body)


@config.command()
@click.argument("where", type=CONTROL_LISTENER)
@click.argument("file", type=FILE)
def diff(where: Address, file: Path) -> None:
    """Show what FILE would change in the configuration in force. Exit code 3 if there is a difference."""
    lines = run_call(config_calls.diff(where, file))
    click.echo("\n".join(lines) or "the same")
    sys.exit(3 if lines else 0)
