"""Calls to a system from a command, and how answers and errors are shown."""

from __future__ import annotations

import sys
from collections.abc import Coroutine
from typing import Any, TypeVar

import click
import msgspec
import uvloop

from cypressbeam.admin import errors

T = TypeVar("T")


def run_call(what: Coroutine[Any, Any, T]) -> T:
    """Run a call to a system. Exit code 1 with one line where it can't be done, 3 where the system refuses."""
    try:
        return uvloop.run(what)
    except errors.RequestRefusedError as err:
        click.echo(f"cypressbeam: {err}", err=True)
        sys.exit(3)
    except (OSError, EOFError, TimeoutError, errors.UnusableFileError) as err:
        click.echo(f"cypressbeam: {err or type(err).__name__}", err=True)
        sys.exit(1)


def as_json(value: Any) -> str:
    """A value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
