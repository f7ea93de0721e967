"""The program's commands: lab adds its own, and the gateway knows nothing of lab."""

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
#: A module of commands holds no more lines.
MOST_LINES = 300


def imports(file: Path) -> set[str]:
    """The top-level packages that a file imports, also within functions."""
    found = set()
    for part in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if isinstance(part, ast.Import):
            found |= {name.name.partition(".")[0] for name in part.names}
        elif isinstance(part, ast.ImportFrom):
            found.add((part.module or "").partition(".")[0])
    return found


def command_paths(group: click.Group, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Every command below a group, by the words that call it."""
    context = click.Context(group)
    for name in group.list_commands(context):
        command = group.get_command(context, name)
        yield (*path, name)
        if isinstance(command, click.Group):
            yield from command_paths(command, (*path, name))


@pytest.mark.parametrize("package", GATEWAY)
def test_the_gateway_imports_nothing_of_lab(package: str) -> None:
    files = sorted((ROOT / package).rglob("*.py"))
    assert files and [str(file) for file in files if "lab" in imports(file)] == []


def test_the_installed_distribution_adds_the_commands_that_pyproject_states() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    stated = project["entry-points"][COMMANDS_GROUP]
    assert {name: point.value for name, point in added_commands().items()} == stated, "pip install -e . is due"
    assert {"lab", "up", "node", "status"} <= set(main.list_commands(click.Context(main)))


def test_every_command_shows_its_help() -> None:
    paths = list(command_paths(main))
    assert len(paths) > 30 and ("lab", "write-days") in paths and ("config", "check") in paths
    for path in paths:
        run = CliRunner().invoke(main, [*path, "--help"], prog_name="cypressbeam")
        assert run.exit_code == 0 and run.output.startswith(f"Usage: cypressbeam {' '.join(path)} "), path


def test_an_unknown_command_ends_with_2() -> None:
    run = CliRunner().invoke(main, ["labs"])
    assert run.exit_code == 2 and "No such command 'labs'" in run.output


@pytest.mark.parametrize("package", ["cypressbeam/admin", "cypressbeam/cli", "lab/commands"])
def test_the_modules_of_commands_stay_small(package: str) -> None:
    files = sorted((ROOT / package).glob("*.py"))
    assert files and all(len(file.read_text(encoding="utf-8").splitlines()) <= MOST_LINES for file in files)
