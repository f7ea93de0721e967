"""The command line: lab adds commands through entry points, and the gateway does not depend on lab."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from cypressbeam.cli.program import COMMANDS_GROUP, added_commands, main

ROOT = Path(__file__).resolve().parent.parent
GATEWAY = ("cypressbeam",)
#: The maximum length of a module with commands.
MAX_LINES = 300


def imports(file: Path) -> set[str]:
    """The top-level packages that a file imports, including imports within functions."""
    packages = set()
    for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            packages |= {name.name.partition(".")[0] for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            packages.add((node.module or "").partition(".")[0])
    return packages


def command_paths(group: click.Group, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """The paths of all commands below a group."""
    context = click.Context(group)
    for name in group.list_commands(context):
        command = group.get_command(context, name)
        yield (*path, name)
        if isinstance(command, click.Group):
            yield from command_paths(command, (*path, name))


@pytest.mark.parametrize("package", GATEWAY)
def test_the_gateway_does_not_import_lab(package: str) -> None:
    files = sorted((ROOT / package).rglob("*.py"))
    assert files and [str(file) for file in files if "lab" in imports(file)] == []


def test_installed_entry_points_equal_those_in_pyproject() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    declared = project["entry-points"][COMMANDS_GROUP]
    assert {name: point.value for name, point in added_commands().items()} == declared, "run pip install -e ."
    assert {"lab", "up", "node", "status"} <= set(main.list_commands(click.Context(main)))


def test_every_command_shows_its_help() -> None:
    paths = list(command_paths(main))
    assert len(paths) > 30 and ("lab", "write-days") in paths and ("config", "check") in paths
    for path in paths:
        result = CliRunner().invoke(main, [*path, "--help"], prog_name="cypressbeam")
        assert result.exit_code == 0 and result.output.startswith(f"Usage: cypressbeam {' '.join(path)} "), path


def test_an_unknown_command_exits_with_2() -> None:
    result = CliRunner().invoke(main, ["labs"])
    assert result.exit_code == 2 and "No such command 'labs'" in result.output


@pytest.mark.parametrize("package", ["cypressbeam/admin", "cypressbeam/cli", "lab/commands"])
def test_command_modules_are_short(package: str) -> None:
    files = sorted((ROOT / package).glob("*.py"))
    assert files and all(len(file.read_text(encoding="utf-8").splitlines()) <= MAX_LINES for file in files)
