"""The main command group: the operators' commands, and commands that other packages add through entry points."""

from __future__ import annotations

from importlib.metadata import EntryPoint, entry_points

import click

from cypressbeam.cli.config import config
from cypressbeam.cli.member import member
from cypressbeam.cli.state import members, restore, save_state, show_status

#: The entry point group of additional commands; an entry point's name is that of its command.
COMMANDS_GROUP = "cypressbeam.commands"


def added_commands() -> dict[str, EntryPoint]:
    """The entry points of additional commands, by name. They are not loaded."""
    return {point.name: point for point in entry_points(group=COMMANDS_GROUP)}


class PluginGroup(click.Group):
    """A group with additional commands, which are loaded on demand. Built-in commands take precedence."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The sorted names of all commands."""
        return sorted({*super().list_commands(ctx), *added_commands()})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command with a name, or None."""
        builtin = super().get_command(ctx, cmd_name)
        if builtin is not None:
            return builtin
        entry_point = added_commands().get(cmd_name)
        if entry_point is None:
            return None
        command: click.Command = entry_point.load()
        return command


@click.group(cls=PluginGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An API gateway: nodes that proxy HTTP/1.1 requests, discover each other and replicate the configuration.

    Exit codes: 0 success; 1 failure (no response, unreadable file); 2 invalid arguments or settings; 3 rejected by the
    system or by a check.
    """


@main.command()
def node() -> None:
    """Run a node with the settings file in CYPRESSBEAM_BOOT."""
    raise AssertionError("a node starts in __main__, without this module")


for command in (show_status, members, member, config, save_state, restore):
    main.add_command(command)
