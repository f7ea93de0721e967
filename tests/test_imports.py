"""The import graph has layers and no cycles. Imports within functions and for types only count too."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("cypressbeam", "lab")
#: Modules and packages of cypressbeam. Each may import only itself and those listed before it.
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
#: Packages without input and output: no event loop, socket, file, thread or clock.
PURE_PACKAGES = ("balancing", "consensus")
IMPURE_MODULES = {"asyncio", "socket", "sqlite3", "threading", "time", "os", "pathlib", "subprocess", "uvloop"}


def modules_by_name() -> dict[str, Path]:
    """All modules by dotted name. A package is represented by its `__init__`."""
    found = {}
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            parts = path.relative_to(ROOT).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported_modules(path: Path, known: dict[str, Path]) -> set[str]:
    """The modules that a file imports. `from package import name` counts as `package.name` if that is a module."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                found.add(name if name in known else node.module)
    return found


def transitive_imports(graph: dict[str, set[str]], start: str) -> set[str]:
    """All modules that a module imports directly or indirectly."""
    seen: set[str] = set()
    pending = [start]
    while pending:
        new = graph[pending.pop()] - seen
        seen |= new
        pending += new
    return seen


def test_there_are_no_import_cycles() -> None:
    known = modules_by_name()
    assert len(known) > 60
    graph = {name: imported_modules(path, known) & known.keys() for name, path in known.items()}
    reached = {name: transitive_imports(graph, name) for name in graph}
    cycles = {
        frozenset(other for other in reached[name] if name in reached[other]) for name in graph if name in reached[name]
    }
    assert not cycles, sorted(map(sorted, cycles))


def test_each_layer_imports_only_itself_and_earlier_layers() -> None:
    known = modules_by_name()
    for name, path in known.items():
        parts = name.split(".")
        if parts[0] != "cypressbeam" or len(parts) == 1:
            continue
        allowed = LAYERS[: LAYERS.index(parts[1]) + 1]
        for imported in imported_modules(path, known):
            if imported.startswith("cypressbeam."):
                assert imported.split(".")[1] in allowed, f"{name} imports {imported}"


@pytest.mark.parametrize("package", PURE_PACKAGES)
def test_a_pure_package_has_no_event_loop_socket_file_or_clock(package: str) -> None:
    known = modules_by_name()
    for path in sorted((ROOT / "cypressbeam" / package).rglob("*.py")):
        top_level = {name.partition(".")[0] for name in imported_modules(path, known)}
        assert not top_level & IMPURE_MODULES, path
