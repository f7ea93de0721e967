"""The pages for newcomers name files, classes and log events as the code has them."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/LOG_EVENTS.md", "CONTRIBUTING.md", "README.md")
#: Words in backticks that look like classes and are none of ours.
FOREIGN = {"Server", "TIMEOUT", "POST", "GET", "LEVEL"}
#: Where an event's text has a variable part.
VARIABLE = re.compile(r" [A-Z]\b|\.\.\.|: | / ")


def sources() -> str:
    """All sources of the gateway and of lab, as one text."""
    files = [*(ROOT / "cypressbeam").rglob("*.py"), *(ROOT / "lab").rglob("*.py")]
    return "\n".join(path.read_text(encoding="utf-8") for path in sorted(files))


def strings() -> list[str]:
    """All text literals of the gateway."""
    return [
        node.value
        for path in sorted((ROOT / "cypressbeam").rglob("*.py"))
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    ]


@pytest.mark.parametrize("page", PAGES)
def test_each_file_that_a_page_names_exists(page: str) -> None:
    text = (ROOT / page).read_text(encoding="utf-8")
    for name in re.findall(r"(?<![\w/.])((?:\w+/)+\w+\.(?:py|md|toml|txt))", text):
        places = (ROOT / name, ROOT / "cypressbeam" / name, ROOT / "cypressbeam" / "proxy" / name)
        assert any(place.exists() for place in places), name


@pytest.mark.parametrize("page", PAGES)
def test_each_class_that_a_page_names_exists(page: str) -> None:
    text, code = (ROOT / page).read_text(encoding="utf-8"), sources()
    for name in set(re.findall(r"`\.?([A-Z]\w+(?:\.\w+)?)`", text)) - FOREIGN:
        owner, _, member = name.partition(".")
        assert re.search(rf"\b{owner}\b", code), name
        assert not member or re.search(rf"\b{member}\b", code), name


def test_each_log_event_of_the_index_is_logged() -> None:
    text, known = (ROOT / "docs" / "LOG_EVENTS.md").read_text(encoding="utf-8"), strings()
    events = [
        event for row in re.findall(r"^\| (`.*?) \|", text, re.MULTILINE) for event in re.findall(r"`(.+?)`", row)
    ]
    assert len(events) > 40
    for event in events:
        start = VARIABLE.split(event)[0]
        assert any(start in literal for literal in known), event
