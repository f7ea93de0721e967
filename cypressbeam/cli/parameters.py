"""Parameter types, and options shared by several commands."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from cypressbeam.protocol.address import Address, read_address


class ControlListener(click.ParamType[Address]):
    """The address of a control listener."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        """Parses the address; fails for any other text."""
        try:
            return read_address(value)
        except ValueError:
            self.fail(f"{value!r} is not host:port", param, ctx)


CONTROL_LISTENER = ControlListener()
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW_FILE = click.Path(dir_okay=False, path_type=Path)
HTML_OPTION = click.option("--html", "page", type=NEW_FILE, help="Write an HTML page with tables and plots.")
