"""Running calls from commands, and the output of results and errors."""

from __future__ import annotations

import sys
from collections.abc import Coroutine
from typing import Any, TypeVar

import click
import msgspec
import uvloop

from cypressbeam.admin import errors

T = TypeVar("T")


def run_call(call: Coroutine[Any, Any, T]) -> T:
    """Run a call to a system. On failure, print one line and exit with 3 if the system rejects it, otherwise with 1."""
    try:
        return uvloop.run(call)
    except errors.RequestRejectedError as err:
        click.echo(f"cypressbeam: {err}", err=True)
        sys.exit(3)
    except (OSError, EOFError, TimeoutError, errors.InvalidFileError) as err:
        click.echo(f"cypressbeam: {err or type(err).__name__}", err=True)
        sys.exit(1)


def as_json(value: Any) -> str:
    """Formats a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
