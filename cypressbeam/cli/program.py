"""The program's group of commands: those for operators, and those that other packages add by entry points."""

from __future__ import annotations

from importlib.metadata import EntryPoint, entry_points

import click

from cypressbeam.cli.config import config
from cypressbeam.cli.member import member
from cypressbeam.cli.state import members, restore, save_state, show_status

#: Each entry point of this group is a command, under its name.
COMMANDS_GROUP = "cypressbeam.commands"


def added_commands() -> dict[str, EntryPoint]:
    """The commands that installed packages add, by name; not loaded yet."""
    return {point.name: point for point in entry_points(group=COMMANDS_GROUP)}


class Program(click.Group):
    """A group whose own commands come first, and whose added ones are loaded when they are asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Every name, sorted: the group's own and the added ones."""
        return sorted({*super().list_commands(ctx), *added_commands()})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of a name; None where there is none."""
        own = super().get_command(ctx, cmd_name)
        if own is not None:
            return own
        added = added_commands().get(cmd_name)
        if added is None:
            return None
        command: click.Command = added.load()
        return command


@click.group(cls=Program, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An API gateway: nodes that carry HTTP/1.1 requests, find each other and keep the operator's configuration.

    Exit codes: 0 done; 1 it could not be done (no answer, a file that can't be read); 2 wrong arguments or settings;
    3 the system or a check refused.
    """


@main.command()
def node() -> None:
    """Run one node by the settings file that CYPRESSBEAM_BOOT names."""
    raise AssertionError("a node starts in __main__, without this module")


for command in (show_status, members, member, config, save_state, restore):
    main.add_command(command)
