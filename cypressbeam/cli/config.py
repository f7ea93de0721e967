"""The group `config`: the configuration checked, sent, read and compared."""

from __future__ import annotations

import sys
from pathlib import Path

import cbor2
import click

from cypressbeam.admin import config_calls, config_file
from cypressbeam.cli.output import as_json, run_call
from cypressbeam.cli.parameters import FILE, NEW_FILE, WHERE
from cypressbeam.protocol.address import Address


@click.group()
def config() -> None:
    """Check, send, read and compare the gateway's configuration (CBOR, JSON or TOML, by the file's ending)."""


@config.command()
@click.argument("file", type=FILE)
@click.option("--json", "plain", is_flag=True, help="The findings as JSON.")
def check(file: Path, plain: bool) -> None:
    """Explain a configuration before it is sent: what is invalid, what is odd, and where each route leads."""
    found = run_call(config_file.check(file))
    click.echo(as_json(found) if plain else config_file.describe_check(found))
    sys.exit(3 if found["invalid"] else 0)


@config.command()
@click.argument("where", type=WHERE)
@click.argument("file", type=FILE)
@click.option("--base", type=int, help="The revision that it is to replace; without it, the one in force.")
def push(where: Address, file: Path, base: int | None) -> None:
    """Replace the configuration. Done once it is on the disks of the whole chain."""
    click.echo(run_call(config_calls.push_file(where, file, base)))


@config.command()
@click.argument("where", type=WHERE)
@click.argument("file", type=NEW_FILE, required=False)
def get(where: Address, file: Path | None) -> None:
    """Read the configuration in force: its bytes into FILE, or as JSON onto the screen."""
    body = run_call(config_calls.read(where))
    if file is None:
        click.echo(as_json(cbor2.loads(body)))
    else:
        file.write_bytes(body)


@config.command()
@click.argument("where", type=WHERE)
@click.argument("file", type=FILE)
def diff(where: Address, file: Path) -> None:
    """What FILE would change of the configuration in force. Exit code 3 if anything."""
    lines = run_call(config_calls.diff(where, file))
    click.echo("\n".join(lines) or "the same")
    sys.exit(3 if lines else 0)
