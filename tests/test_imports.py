"""The import graph: no circles, also not by imports within functions or for types alone."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGES = ("cypressbeam", "lab")
#: Circles that are still to be broken. None may be added.
KNOWN = {frozenset({"lab.emulator", "lab.fault_injection"})}


def modules() -> dict[str, Path]:
    """All modules by their dotted name; a package by its `__init__`."""
    found = {}
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            parts = path.relative_to(ROOT).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imports(path: Path, known: dict[str, Path]) -> set[str]:
    """The modules that a file imports. `from package import name` is of the module `package.name` if there is one."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                found.add(name if name in known else node.module)
    return found & known.keys()


def reachable(graph: dict[str, set[str]], start: str) -> set[str]:
    """All modules that a module imports, at any remove."""
    seen: set[str] = set()
    left = [start]
    while left:
        new = graph[left.pop()] - seen
        seen |= new
        left += new
    return seen


def test_no_module_imports_itself_at_any_remove() -> None:
    known = modules()
    assert len(known) > 60
    graph = {name: imports(path, known) for name, path in known.items()}
    reach = {name: reachable(graph, name) for name in graph}
    circles = {
        frozenset(other for other in reach[name] if name in reach[other]) for name in graph if name in reach[name]
    }
    assert circles == KNOWN, sorted(map(sorted, circles))
