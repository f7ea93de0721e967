"""The deploy files: what a build calls is provided by the packages that the file lists, and a build is done once."""

from __future__ import annotations

import os
import re
import shlex
import shutil
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
DEPLOY_FILES = ["system.toml", "balancer.toml"]
#: What the shell itself provides.
BUILTINS = {"[", "test", "exec", "cd", ":"}
#: Which Debian package provides a command, and a module of Python that is started by `-m`.
COMMAND_PACKAGES = {"python3": "python3", "cat": "coreutils", "cp": "coreutils", "rm": "coreutils", "cmp": "diffutils"}
MODULE_PACKAGES = {"pip": "python3-pip", "venv": "python3-venv"}
#: Packages are fetched over HTTPS.
FETCH_PACKAGE = "ca-certificates"
#: Stands in for the interpreter: counts its calls and, where the folder holds a file `cut`, dies half-way.
INTERPRETER = """#!/bin/sh
echo "$*" >> calls
mkdir -p target/deps
: > target/deps/module.py
[ ! -e cut ]
"""


def deploy(name: str) -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / name).read_text(encoding="utf-8"))


def commands(line: str) -> list[list[str]]:
    """The simple commands of a shell line, those of its command substitutions too, each as its words."""
    substituted = re.findall(r"\$\(([^()]*)\)", line)
    lexer = shlex.shlex(re.sub(r"\$\([^()]*\)", "substituted", line), posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    found: list[list[str]] = [[]]
    for word in lexer:
        if set(word) <= set("();&|"):
            found.append([])
        else:
            found[-1].append(word)
    return [words for words in found if words] + [words for part in substituted for words in commands(part)]


def packages_needed(line: str) -> set[str]:
    """The packages that a build line needs. A command that no package is known for raises KeyError."""
    needed = set()
    for words in commands(line):
        if words[0] not in BUILTINS and not words[0].startswith(".venv/bin/"):
            needed.add(COMMAND_PACKAGES[words[0]])
        if words[1:2] == ["-m"]:
            needed.add(MODULE_PACKAGES[words[2]])
        if "install" in words:
            needed.add(FETCH_PACKAGE)
    return needed


@pytest.mark.parametrize("name", DEPLOY_FILES)
def test_each_command_of_a_build_is_provided_by_a_listed_package(name: str) -> None:
    told = deploy(name)
    assert packages_needed(told["build"]) == set(told["packages"])


def test_what_a_build_calls_is_found_in_every_place_of_the_line() -> None:
    assert commands('[ "$(cat a)" = "$(cat b)" ] || (rm -rf c && python3 -m pip install d; cp e f)') == [
        ["[", "substituted", "=", "substituted", "]"],
        ["rm", "-rf", "c"],
        ["python3", "-m", "pip", "install", "d"],
        ["cp", "e", "f"],
        ["cat", "a"],
        ["cat", "b"],
    ]
    with pytest.raises(KeyError, match="curl"):
        packages_needed("[ -e a ] || curl b")


def checkout(folder: Path, name: str) -> Path:
    """A checkout with the requirements, and a folder `bin` that holds only what the listed packages provide."""
    (folder / "bin").mkdir()
    shutil.copy(ROOT / "requirements.txt", folder)
    listed = deploy(name)["packages"]
    for command, package in COMMAND_PACKAGES.items():
        path = shutil.which(command)
        if package in listed and command != "python3" and path is not None:
            (folder / "bin" / command).symlink_to(path)
    (folder / "bin" / "python3").write_text(INTERPRETER.replace("mkdir", shutil.which("mkdir") or "mkdir"))
    (folder / "bin" / "python3").chmod(0o755)
    return folder


def build(folder: Path) -> tuple[int, int]:
    """Run the build; its exit code, and how often the interpreter has been started so far."""
    run = subprocess.run(
        ["/bin/sh", "-c", deploy("system.toml")["build"]],
        cwd=folder,
        capture_output=True,
        env={**os.environ, "PATH": str(folder / "bin")},
        check=False,
    )
    calls = folder / "calls"
    return run.returncode, len(calls.read_text().splitlines()) if calls.exists() else 0


def test_the_system_is_built_once_and_again_when_the_requirements_change(tmp_path: Path) -> None:
    folder = checkout(tmp_path, "system.toml")
    assert build(folder) == (0, 1)
    assert build(folder) == (0, 1)
    with (folder / "requirements.txt").open("a") as file:
        file.write("another==1.0\n")
    (folder / "target" / "deps" / "stale.py").touch()
    assert build(folder) == (0, 2)
    assert not (folder / "target" / "deps" / "stale.py").exists()
    assert build(folder) == (0, 2)
    assert {path.name for path in folder.iterdir()} == {"bin", "calls", "requirements.txt", "target"}


def test_a_build_that_was_cut_short_fails_and_is_redone(tmp_path: Path) -> None:
    folder = checkout(tmp_path, "system.toml")
    (folder / "cut").touch()
    code, _ = build(folder)
    assert code != 0
    (folder / "cut").unlink()
    assert build(folder) == (0, 2)
    (folder / "target" / "built").write_text("uvloop")  # the copy itself was cut short
    assert build(folder) == (0, 3)
    (folder / "requirements.txt").unlink()
    assert build(folder)[0] != 0
