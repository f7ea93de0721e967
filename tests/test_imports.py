"""The import graph: layers, and no circles, also not by imports within functions or for types alone."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("cypressbeam", "lab")
#: Parts of the distribution: each imports only itself and those above it.
LAYERS = (
    "errors",
    "runtime",
    "balancing",
    "protocol",
    "consensus",
    "storage",
    "transport",
    "distribution",
    "proxy",
    "standalone",
    "node",
    "admin",
    "cli",
    "__main__",
)
#: Packages that are pure: no event loop, socket, file, thread or clock.
PURE = ("balancing", "consensus")
IMPURE_MODULES = {"asyncio", "socket", "sqlite3", "threading", "time", "os", "pathlib", "subprocess", "uvloop"}


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
    return found


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
    graph = {name: imports(path, known) & known.keys() for name, path in known.items()}
    reach = {name: reachable(graph, name) for name in graph}
    circles = {
        frozenset(other for other in reach[name] if name in reach[other]) for name in graph if name in reach[name]
    }
    assert not circles, sorted(map(sorted, circles))


def test_each_layer_imports_only_those_above_it() -> None:
    known = modules()
    for name, path in known.items():
        parts = name.split(".")
        if parts[0] != "cypressbeam" or len(parts) == 1:
            continue
        allowed = LAYERS[: LAYERS.index(parts[1]) + 1]
        for imported in imports(path, known):
            if imported.startswith("cypressbeam."):
                assert imported.split(".")[1] in allowed, f"{name} imports {imported}"


@pytest.mark.parametrize("package", PURE)
def test_a_pure_package_has_no_event_loop_socket_file_or_clock(package: str) -> None:
    known = modules()
    for path in sorted((ROOT / "cypressbeam" / package).rglob("*.py")):
        outside = {name.partition(".")[0] for name in imports(path, known)}
        assert not outside & IMPURE_MODULES, path
