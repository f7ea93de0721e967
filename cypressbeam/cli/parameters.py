"""Types of arguments, and options that several commands take."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from cypressbeam.protocol.address import Address, read_address


class Where(click.ParamType[Address]):
    """A control listener."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        """The address; fails where the text is none."""
        try:
            return read_address(value)
        except ValueError:
            self.fail(f"{value!r} is no host:port", param, ctx)


WHERE = Where()
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW_FILE = click.Path(dir_okay=False, path_type=Path)
HTML = click.option("--html", "page", type=NEW_FILE, help="Write a page with tables and plots.")
