"""The deploy files list the packages that their builds need, and an up-to-date build is not repeated."""

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
#: Commands built into the shell.
BUILTINS = {"[", "test", "exec", "cd", ":"}
#: The Debian packages that provide commands, and Python modules started with `-m`.
COMMAND_PACKAGES = {
    "python3": "python3",
    "cat": "coreutils",
    "cp": "coreutils",
    "rm": "coreutils",
    "uname": "coreutils",
    "cmp": "diffutils",
}
MODULE_PACKAGES = {"pip": "python3-pip", "venv": "python3-venv"}
#: Packages are fetched over HTTPS.
FETCH_PACKAGE = "ca-certificates"
#: A fake interpreter that tells the version in the file `version`, records its other calls and, if the folder contains
#: a file `cut`, fails half-way.
INTERPRETER = """#!/bin/sh
[ "$1" = -V ] && exec cat version
echo "$*" >> calls
mkdir -p target/deps
: > target/deps/module.py
[ ! -e cut ]
"""


def read_deploy_file(name: str) -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / name).read_text(encoding="utf-8"))


def commands(line: str) -> list[list[str]]:
    """Split a shell line into its simple commands, including those in command substitutions, each as its words."""
    substituted = re.findall(r"\$\(([^()]*)\)", line)
    lexer = shlex.shlex(re.sub(r"\$\([^()]*\)", "substituted", line), posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    found: list[list[str]] = [[]]
    for word in lexer:
        if set(word) <= set("();&|"):
            found.append([])
        else:
            found[-1].append(word)
    simple = [words for words in found if words and words[0] != ">"]  # without redirections of a subshell
    return simple + [words for part in substituted for words in commands(part)]


def packages_needed(line: str) -> set[str]:
    """Return the packages that a build line needs. Raises KeyError for a command with no known package."""
    needed = set()
    for words in commands(line):
        if words[0] not in BUILTINS and not words[0].startswith(".venv/bin/"):
            needed.add(COMMAND_PACKAGES[words[0]])
        if words[0].rpartition("/")[2].startswith("python") and words[1:2] == ["-m"]:
            needed.add(MODULE_PACKAGES[words[2]])
        if "install" in words:
            needed.add(FETCH_PACKAGE)
    return needed


@pytest.mark.parametrize("name", DEPLOY_FILES)
def test_each_command_of_a_build_is_provided_by_a_listed_package(name: str) -> None:
    deploy_file = read_deploy_file(name)
    assert packages_needed(deploy_file["build"]) == set(deploy_file["packages"])


def test_commands_are_found_in_all_parts_of_a_shell_line() -> None:
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


def create_checkout(folder: Path, name: str) -> Path:
    """Create a checkout with the requirements, and a folder `bin` with only the commands of the listed packages."""
    (folder / "bin").mkdir()
    (folder / "version").write_text("Python 3.11.6\n")
    shutil.copy(ROOT / "requirements.txt", folder)
    packages = read_deploy_file(name)["packages"]
    for command, package in COMMAND_PACKAGES.items():
        path = shutil.which(command)
        if package in packages and command != "python3" and path is not None:
            (folder / "bin" / command).symlink_to(path)
    (folder / "bin" / "python3").write_text(INTERPRETER.replace("mkdir", shutil.which("mkdir") or "mkdir"))
    (folder / "bin" / "python3").chmod(0o755)
    return folder


def run_build(folder: Path) -> tuple[int, int]:
    """Run the build and return its exit code and the total number of installations."""
    process = subprocess.run(
        ["/bin/sh", "-c", read_deploy_file("system.toml")["build"]],
        cwd=folder,
        capture_output=True,
        env={**os.environ, "PATH": str(folder / "bin")},
        check=False,
    )
    calls = folder / "calls"
    return process.returncode, len(calls.read_text().splitlines()) if calls.exists() else 0


def test_the_system_is_rebuilt_only_when_the_requirements_change(tmp_path: Path) -> None:
    folder = create_checkout(tmp_path, "system.toml")
    assert run_build(folder) == (0, 1)
    assert run_build(folder) == (0, 1)
    with (folder / "requirements.txt").open("a") as file:
        file.write("another==1.0\n")
    (folder / "target" / "deps" / "stale.py").touch()
    assert run_build(folder) == (0, 2)
    assert not (folder / "target" / "deps" / "stale.py").exists()
    assert run_build(folder) == (0, 2)
    assert {path.name for path in folder.iterdir()} == {"bin", "calls", "requirements.txt", "target", "version"}


@pytest.mark.parametrize("change", ["interpreter", "machine"])
def test_the_system_is_rebuilt_for_another_interpreter_or_kind_of_machine(tmp_path: Path, change: str) -> None:
    """Guards against a folder built on x86-64 that is taken over on arm64, where no module can be imported."""
    folder = create_checkout(tmp_path, "system.toml")
    assert run_build(folder) == (0, 1)
    if change == "interpreter":
        (folder / "version").write_text("Python 3.12.1\n")
    else:
        (folder / "bin" / "uname").unlink()
        (folder / "bin" / "uname").write_text("#!/bin/sh\necho another\n")
        (folder / "bin" / "uname").chmod(0o755)
    (folder / "target" / "deps" / "stale.py").touch()
    assert run_build(folder) == (0, 2)
    assert not (folder / "target" / "deps" / "stale.py").exists()
    assert run_build(folder) == (0, 2)


def test_an_interrupted_build_fails_and_is_repeated(tmp_path: Path) -> None:
    folder = create_checkout(tmp_path, "system.toml")
    (folder / "cut").touch()
    code, _ = run_build(folder)
    assert code != 0
    (folder / "cut").unlink()
    assert run_build(folder) == (0, 2)
    (folder / "target" / "built").write_text("uvloop")  # the copy itself was interrupted
    assert run_build(folder) == (0, 3)
    (folder / "requirements.txt").unlink()
    assert run_build(folder)[0] != 0
