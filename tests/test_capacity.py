"""The page of capacity: what it names is there, and its table is the one that its points make."""

from __future__ import annotations

import re
import shlex
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from cypressbeam.cli.program import main
from lab import capacity
from lab.capacity import CapacityError, Cost

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
COSTS = capacity.load()
COMMANDS = sorted(
    {
        *re.findall(r"`(?:python -m )?cypressbeam ([^`]+)`", PAGE),
        *(cost.command.removeprefix("cypressbeam ") for cost in COSTS if cost.command.startswith("cypressbeam ")),
    }
)
FOLDERS = "cypressbeam|lab|docs|tests|deploy"


@pytest.mark.parametrize("line", COMMANDS)
def test_every_command_that_the_page_names_parses(line: str) -> None:
    command: click.Command = main
    words = shlex.split(line)
    while isinstance(command, click.Group):
        named = command.get_command(click.Context(command), words[0]) if words else None
        assert named is not None, f"no command {words[:1]} of {command.name}"
        command = named
        words.pop(0)
    with command.make_context(command.name, words):
        pass  # raises UsageError for an option or a value that there is not


def test_every_file_that_the_page_names_exists() -> None:
    named = set(re.findall(rf"`((?:{FOLDERS})/[\w./-]+)`", PAGE))
    assert len(named) > 10 and not [file for file in named if not (ROOT / file).exists()]
    parts = re.findall(rf"`((?:{FOLDERS})/[\w./-]+\.py)` \(`([\w.]+)`", PAGE)
    assert len(parts) > 10
    for file, part in parts:
        name = part.rpartition(".")[2]
        made = rf"^\s*(?:async )?(?:def|class) {name}\b|^(?:    )?(?:\w+, )*{name}\b.* ="
        text = (ROOT / file).read_text(encoding="utf-8")
        assert re.search(made, text, re.MULTILINE), f"{file} has no {part}"


def test_every_run_of_the_bench_that_the_page_names_is_in_the_journal() -> None:
    named = set(re.findall(r"\bsnapshot ([0-9a-f]{8})\b", PAGE))
    assert named and not [ident for ident in named if not [*(ROOT / "journal").glob(f"*-{ident}.json")]]


def test_the_pages_tables_are_those_of_the_command() -> None:
    told = CliRunner().invoke(main, ["lab", "capacity"])
    assert told.exit_code == (3 if capacity.beyond(COSTS) else 0)
    assert told.output.strip() in PAGE
    assert CliRunner().invoke(main, ["lab", "capacity", "--sources"]).output.strip() in PAGE


def test_the_page_with_plots_shows_every_cost(tmp_path: Path) -> None:
    file = tmp_path / "capacity.html"
    capacity.write_page(COSTS[:3], file)
    text = file.read_text(encoding="utf-8")
    assert text.count("<svg") == 3 and "<script" not in text and "http-equiv" not in text


def cost(**changes: object) -> Cost:
    usual: dict[str, object] = {
        "name": "a",
        "role": "root",
        "unit": "kB",
        "over": "nodes",
        "points": ((100.0, 20.0), (300.0, 40.0), (500.0, 60.0)),
        "target": 2700.0,
        "command": "c",
        "run": "r",
        "limit": 100.0,
    }
    return Cost(**(usual | changes))  # type: ignore[arg-type]


def test_lines_powers_and_spreads() -> None:
    found = capacity.fit(cost())
    assert found.value == pytest.approx(280.0) and found.slope == pytest.approx(0.1) and not found.measured
    assert found.low == pytest.approx(280.0) and found.high == pytest.approx(280.0)
    assert capacity.verdict(cost()) == "breaks" and capacity.ratio(cost()) == pytest.approx(2.8)
    bent = capacity.fit(cost(points=((100.0, 20.0), (300.0, 40.0), (500.0, 90.0))))
    assert bent.low < bent.value < bent.high  # a point that does not lie on the line shows as spread
    power = capacity.fit(cost(model="power", points=((10.0, 100.0), (100.0, 10_000.0))))
    assert power.slope == pytest.approx(2.0) and power.value == pytest.approx(7.29e6)
    own = capacity.fit(cost(points=((100.0, 1.0), (2700.0, 30.0), (2700.0, 40.0), (2700.0, 34.0))))
    assert (own.value, own.low, own.high, own.measured) == (34.0, 30.0, 40.0, True)
    assert not capacity.fit(cost(points=((100.0, 1.0), (2700.0, 30.0)), reckoned=True)).measured
    assert capacity.fit(cost(model="same", points=((1.0, 3.0),))).value == 3.0
    assert [capacity.verdict(cost(limit=limit)) for limit in (600.0, 300.0, 200.0, None)] == [
        "holds",
        "near",
        "breaks",
        "no limit",
    ]
    assert capacity.beyond([cost(), cost(trial=True), cost(limit=None)]) == [cost()]
    worst = cost(name="b", limit=1.0)
    assert capacity.ordered([cost(limit=None), cost(), worst])[0] is worst


@pytest.mark.parametrize(
    ("text", "why"), [("[[cost]]\nname = 'a'", "missing"), ("nothing", "capacity"), ("x = 1", "unknown")]
)
def test_a_file_that_is_no_table_of_costs_is_told(tmp_path: Path, text: str, why: str) -> None:
    file = tmp_path / "capacity.toml"
    file.write_text(text, encoding="utf-8")
    with pytest.raises(CapacityError, match=why):
        capacity.load(file)
