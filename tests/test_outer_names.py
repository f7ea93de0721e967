"""Names that leave the process stay in the code letter for letter.

Clients, back ends, peers, operators' tools, disks and the simulator know these names: fields and values of messages,
keys of settings and documents, stored fields and file names, flags, environment variables, paths and headers.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
NAMES = (ROOT / "tests" / "data" / "outer_names.txt").read_text(encoding="utf-8").splitlines()
#: A name with its separators (`listeners.front`, `--json`), and the words within it.
NAME_PATTERNS = (re.compile(r"[\w.:/-]+"), re.compile(r"[\w-]+"), re.compile(r"\w+"))


def names_in(text: str) -> set[str]:
    """The names that a text may hold."""
    return {name for pattern in NAME_PATTERNS for name in pattern.findall(text)}


def docstrings(tree: ast.Module) -> set[int]:
    """The identities of the constants that are docstrings."""
    return {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def outer_names(source: str) -> Iterator[str]:
    """Names in texts, fields of classes, and commands and flags, which click takes from functions and parameters."""
    tree = ast.parse(source)
    prose = docstrings(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in prose:
            yield from names_in(node.value)
        elif isinstance(node, ast.Constant) and isinstance(node.value, bytes):
            yield from names_in(node.value.decode("latin-1"))
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            yield node.target.id
        elif isinstance(node, ast.FunctionDef):
            yield node.name.replace("_", "-")
            yield from (f"--{argument.arg.replace('_', '-')}" for argument in node.args.args)


def test_each_outer_name_is_in_the_sources() -> None:
    found = {
        name
        for package in ("cypressbeam", "lab")
        for path in (ROOT / package).rglob("*.py")
        for name in outer_names(path.read_text(encoding="utf-8"))
    }
    for path in (ROOT / "deploy").glob("*.toml"):
        found |= names_in(path.read_text(encoding="utf-8"))
    assert [name for name in NAMES if name not in found] == []


def test_the_list_is_sorted_and_names_nothing_twice() -> None:
    assert len(NAMES) > 400 and sorted(set(NAMES)) == NAMES


def test_a_name_in_a_docstring_or_a_local_variable_does_not_count() -> None:
    source = (
        '"""a.docstring"""\nlocal = 1\ndef add_node(seen_by): return b"X-Header: 1", "a.key"\nclass C:\n field: int'
    )
    found = set(outer_names(source))
    assert {"X-Header", "a.key", "field", "add-node", "--seen-by"} <= found
    assert not {"a.docstring", "local"} & found
