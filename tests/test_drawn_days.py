"""Days drawn for a deployment: they follow from their seed, hold every kind and word, and are TOML that reads back."""

from __future__ import annotations

import random
import tomllib
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from cypressbeam.cli.program import main
from lab.drawn_days.drawing import CLOSING_KINDS, CLOSING_VARIANTS, DrawnDay, draw_day
from lab.drawn_days.entries import Entry, draw_entry
from lab.drawn_days.kinds import INVALID_CONFIGURATIONS, TABLE, Section
from lab.drawn_days.sequences import SEQUENCES
from lab.drawn_days.writing import day_text

MANY = 600
LISTING = """Each entry has 'at' and 'kind'.
zone, to_zone: where.
closing = { kind, down_s }: at the end

replace_core: one is gone for good
garble: answers are spoilt

these may come too:
meteorite: not in the table
core_cut: cut off
"""


def day(seed: int, kinds: Iterable[str] = TABLE) -> DrawnDay:
    return draw_day(seed, kinds, 32.0, f"drawn-{seed}")


def read_back(drawn: DrawnDay) -> dict[str, Any]:
    """The only day of the text that a drawn day is written as."""
    days = tomllib.loads(day_text(drawn))["day"]
    assert len(days) == 1
    return dict(days[0])


def test_one_seed_is_one_day_whatever_the_order_of_the_kinds() -> None:
    assert day(5) == day(5, reversed(list(TABLE)))
    assert len({day_text(day(seed)) for seed in range(50)}) == 50


def test_every_kind_and_every_word_of_how_comes_up() -> None:
    words: defaultdict[str, set[str]] = defaultdict(set)
    bare: set[str] = set()
    for seed in range(MANY):
        for entry in day(seed).entries:
            words[entry.kind] |= set((entry.how or "").split())
            bare |= {entry.kind} if entry.how is None else set()
    assert words.keys() == TABLE.keys()
    for name, kind in TABLE.items():
        assert words[name] == kind.words(), name
        assert (name in bare) == ("" in kind.variants), name


def test_every_value_of_every_field_comes_up_in_entries_of_its_kind() -> None:
    for name, kind in TABLE.items():
        rng = random.Random(name)
        drawn = [draw_entry(rng, name, 1.0) for _ in range(300)]
        strengths = {value for values in [kind.strength, *kind.variant_strength.values()] for value in values}
        assert {entry.duration_s for entry in drawn} - {None} == set(kind.duration_s), name
        assert {entry.share for entry in drawn} - {None} == set(kind.share), name
        assert {entry.count for entry in drawn} - {None} == set(kind.count), name
        assert {entry.strength for entry in drawn} - {None} == strengths, name
        assert {entry.gap_s for entry in drawn} - {None} == set(kind.gap_s), name
        assert {entry.machines or "" for entry in drawn} == set(kind.machines or [""]), name


def test_a_day_reads_back_from_its_text_as_it_was_drawn() -> None:
    for seed in range(100):
        drawn = day(seed)
        told = read_back(drawn)
        assert (told["name"], told["seed"]) == (drawn.name, seed)
        for section in Section:
            assert [
                (entry["at"], entry["kind"], entry.get("how"), entry.get("for_s"), entry.get("x"))
                for entry in told[section.value]
            ] == [
                (entry.at_s, entry.kind, entry.how, entry.duration_s, entry.strength)
                for entry in drawn.section(section)
            ]
        assert len(told["plan"]) + len(told["faults"]) == len(drawn.entries)
        assert told.get("closing", {}).get("kind") == (drawn.closing.kind if drawn.closing else None)


def test_a_day_keeps_to_its_length_and_to_the_kinds_that_are_allowed() -> None:
    for seed in range(100):
        drawn = draw_day(seed, ["garble", "hup"], 12.0, "short")
        assert {entry.kind for entry in drawn.entries} <= {"garble", "hup"}
        assert all(1.0 <= entry.at_s <= 8.0 for entry in drawn.entries)
        assert all(0.0 <= entry.at_s <= 32.0 for entry in day(seed).entries)


@pytest.mark.parametrize("kinds", [[], ["garble", "meteorite"]])
def test_kinds_that_the_table_does_not_hold_are_refused(kinds: list[str]) -> None:
    with pytest.raises(ValueError, match="one or more of the table are wanted"):
        day(1, kinds)


def test_every_closing_fault_comes_up_in_every_variant() -> None:
    closings = [drawn.closing for drawn in map(day, range(MANY))]
    assert {(closing.kind, closing.how or "") for closing in closings if closing} == {
        (kind, how) for kind in CLOSING_KINDS for how in CLOSING_VARIANTS
    }
    assert None in closings


@pytest.mark.parametrize("sequence", SEQUENCES, ids=lambda sequence: sequence.name)
def test_a_sequence_draws_no_kind_but_those_that_it_states(sequence: Any) -> None:
    drawn: list[Entry] = []
    for seed in range(100):
        drawn += sequence.draw(random.Random(seed), 10.0)
    assert {entry.kind for entry in drawn} == sequence.kinds


def test_the_sequences_hold_what_they_are_named_for() -> None:
    named = {sequence.name: sequence.draw(random.Random(1), 8.0) for sequence in SEQUENCES}
    assert [entry.kind for entry in named["replacements_in_a_row"]] == ["replace_core", "replace_core"]
    cut, replacement = named["replacement_during_a_cut"]
    assert cut.duration_s is not None and cut.at_s < replacement.at_s < cut.at_s + cut.duration_s
    assert {entry.how for entry in named["every_invalid_configuration"][1:]} == set(INVALID_CONFIGURATIONS)
    assert (named["long_absence"][0].duration_s or 0.0) > 20.0
    assert named["change_storm"][0].gap_s == 0.1


def write(folder: Path, *arguments: str) -> Any:
    return CliRunner().invoke(main, ["lab", "write-days", str(folder), *arguments])


def test_the_command_writes_days_of_the_kinds_that_a_listing_names(tmp_path: Path) -> None:
    listing = tmp_path / "kinds"
    listing.write_text(LISTING)
    run = write(tmp_path / "days", "--kinds-of", str(listing), "--days", "30", "--seed", "2")
    assert run.exit_code == 0 and "left out, as not in the table of kinds: meteorite" in run.output
    assert "30 days of 3 kinds" in run.output
    files = sorted((tmp_path / "days").iterdir())
    assert [file.name for file in files] == [f"drawn-{20000 + number}.toml" for number in range(30)]
    days = [tomllib.loads(file.read_text())["day"][0] for file in files]
    assert {entry["kind"] for told in days for entry in told["plan"] + told["faults"]} == {
        "replace_core",
        "garble",
        "core_cut",
    }
    before = [file.read_bytes() for file in files]
    assert write(tmp_path / "days", "--kinds-of", str(listing), "--days", "30", "--seed", "2").exit_code == 0
    assert [file.read_bytes() for file in files] == before


def test_the_command_draws_from_further_kinds_where_they_are_named(tmp_path: Path) -> None:
    listing = tmp_path / "kinds"
    listing.write_text(LISTING)
    run = write(tmp_path / "days", "--kinds-of", str(listing), "--also", "add_nodes, hup", "--only", "hup,garble")
    assert run.exit_code == 0 and "20 days of 2 kinds" in run.output


@pytest.mark.parametrize(
    ("listed", "option", "told"),
    [
        ("nothing here", ("--only", ""), "no known kind"),
        (LISTING, ("--only", "hup"), "no kind 'hup' to draw"),
        (LISTING, ("--also", "meteorite"), "no kind 'meteorite' in the table"),
        ("meteorite: not in the table", ("--only", ""), "no known kind"),
    ],
)
def test_the_command_ends_with_one_line_where_there_is_nothing_to_draw(
    tmp_path: Path, listed: str, option: tuple[str, str], told: str
) -> None:
    listing = tmp_path / "kinds"
    listing.write_text(listed)
    run = write(tmp_path / "days", "--kinds-of", str(listing), *option)
    assert run.exit_code == 2 and told in run.output and not (tmp_path / "days").exists()
