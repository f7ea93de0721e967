"""Identifiers that must not come back, former product names, and names in comments that the code must define.

The on-call engineers asked for the identifiers of an earlier house style to be removed.
"""

from __future__ import annotations

import io
import re
import tokenize
from pathlib import Path

ROOT = Path(__file__).parent.parent
#: Complete identifiers. The former message names used in frame_bytes.txt are mapped by `data/frame_names.txt`.
REMOVED_IDENTIFIERS = frozenset(
    [
        "pepperrelay",
        "mallowworks",
        "Keeper",
        "keeper",
        "keepers",
        "Desk",
        "desks",
        "Carrier",
        "Gate",
        "Roster",
        "Listing",
        "Marks",
        "Tell",
        "Lead",
        "StartAnew",
        "TryDisk",
        "SavePromise",
        "SaveView",
        "Pulse",
        "Heard",
        "heard_lately",
        "Beat",
        "ViewIs",
        "Levelled",
        "StandingBy",
        "Asked",
        "answer_read",
        "all_taken",
        "may_promise",
        "newcomers",
        "note_syncs",
        "judge_alike",
        "Knock",
        "Survey",
        "Poller",
        "Verdicts",
        "Ailing",
        "ServerAils",
        "Dialect",
        "Ending",
        "cold_room",
        "choked",
        "warmth",
        "lay_out",
        "earns",
        "Percentile",
        "TokenBucket",
        "Throttle",
        "Crossing",
        "Broken",
        "Unusable",
        "TooLarge",
        "MOST_PATIENCE",
        "STOOD_STILL_S",
        "DEAD_S",
        "PULSE_S",
        "ROOT_ALONE_S",
        "BootstrapRunner",
        "Founded",
        "Sparing",
        "RingRoster",
        "start_anew",
        "go_on",
        "carry_out",
        "mend",
    ]
)
SOURCE_PACKAGES = ("cypressbeam", "lab", "tests")
FORMER_PRODUCT_NAMES = re.compile(r"pepperrelay|mallowworks", re.IGNORECASE)


def identifiers(path: Path) -> set[str]:
    """All identifiers and keywords in a source file."""
    text = path.read_text(encoding="utf-8")
    return {
        token.string for token in tokenize.generate_tokens(io.StringIO(text).readline) if token.type == tokenize.NAME
    }


def test_no_removed_identifier_is_in_the_sources() -> None:
    found = {
        str(path.relative_to(ROOT)): sorted(names)
        for package in SOURCE_PACKAGES
        for path in sorted((ROOT / package).rglob("*.py"))
        if (names := identifiers(path) & REMOVED_IDENTIFIERS)
    }
    assert found == {}


def test_no_former_product_name_is_in_installed_files_or_documentation() -> None:
    files = [
        ROOT / "pyproject.toml",
        ROOT / "requirements.txt",
        ROOT / "README.md",
        ROOT / ".ci" / "run",
        *(ROOT / "deploy").glob("*.toml"),
        *(ROOT / "docs").glob("*.md"),
        *(ROOT / "docs" / "design").glob("*.md"),
        *(ROOT / "docs" / "operations").glob("*.md"),
    ]
    found = [
        str(path.relative_to(ROOT)) for path in files if FORMER_PRODUCT_NAMES.search(path.read_text(encoding="utf-8"))
    ]
    assert [name for name in found if name != "docs/GLOSSARY.md"] == []


#: Names in backticks that the code does not define: documented keys and headers, and environment variables.
EXTERNAL_NAMES = frozenset(["syncS", "recoveryS", "Range", "EDGE_CONFIG", "module.NAME"])
BACKTICKED = re.compile(r"`([A-Za-z_][\w.]*)`")
MODULE_CONSTANT = re.compile(r"\b([a-z_]+)\.([A-Z][A-Z0-9_]{2,})\b")
RAISED_EXCEPTION = re.compile(r"\bRaises ([A-Z]\w+)")
SOURCE_FILE = re.compile(r"\b([a-z_]+\.py)\b")


def comments_and_docstrings(path: Path) -> list[str]:
    """All comments and docstrings of a source file."""
    text = path.read_text(encoding="utf-8")
    return [
        token.string
        for token in tokenize.generate_tokens(io.StringIO(text).readline)
        if token.type == tokenize.COMMENT or (token.type == tokenize.STRING and token.string.startswith('"""'))
    ]


def unknown_names(prose: str, names: set[str], modules: set[str]) -> set[str]:
    """Names in a comment or docstring that the code does not define."""
    found = {
        name for name in BACKTICKED.findall(prose) if not name.endswith(".py") and name.rpartition(".")[2] not in names
    }
    found |= set(RAISED_EXCEPTION.findall(prose)) - names
    found |= {name for name in SOURCE_FILE.findall(prose) if name.removesuffix(".py") not in modules}
    found |= {
        f"{module}.{name}"
        for module, name in MODULE_CONSTANT.findall(prose)
        if module not in modules or name not in names
    }
    return found - EXTERNAL_NAMES


def test_names_in_comments_and_docstrings_are_defined() -> None:
    sources = [path for package in ("cypressbeam", "lab") for path in sorted((ROOT / package).rglob("*.py"))]
    modules = {path.stem for path in sources} | {path.parent.name for path in sources}
    names = modules.union(*(identifiers(path) for path in sources))
    found = {
        str(path.relative_to(ROOT)): sorted(unknown)
        for path in sources
        if (unknown := set().union(*(unknown_names(prose, names, modules) for prose in comments_and_docstrings(path))))
    }
    assert found == {}
    assert unknown_names("`Keeper` of relay.py, or agreement.DEAD_S. Raises Violation.", names, modules) == {
        "Violation",
        "Keeper",
        "relay.py",
        "agreement.DEAD_S",
    }
