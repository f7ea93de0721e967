"""Mutation tests: the list of rules matches the sources, and the command reports which tests detect a removed rule."""

from __future__ import annotations

import re
from collections import Counter

import pytest
from click.testing import CliRunner

from lab import mutation
from lab.mutation import ROOT, RULES, RuleListError, RuleResult, noticed_by, table, try_without, without
from lab.rules import Rule

SAMPLE = Rule(
    "a sample",
    "orders",
    "cypressbeam/consensus/deduplication.py",
    "if len(found) > MAX_DIGESTS:",
    "if False:",
    ("tests/test_orders.py::test_digests_that_can_not_be_are_refused",),
)


@pytest.mark.parametrize("file", sorted({rule.file for rule in RULES}))
def test_the_text_of_each_rule_occurs_exactly_once(file: str) -> None:
    text = (ROOT / file).read_text(encoding="utf-8")
    for rule in RULES:
        if rule.file == file:
            assert without(rule, text) != text, rule.name


def test_each_rule_has_a_unique_name_an_existing_page_and_existing_tests() -> None:
    assert [name for name, count in Counter((rule.page, rule.name) for rule in RULES).items() if count > 1] == []
    for rule in RULES:
        assert (ROOT / "docs" / "design" / f"{rule.page}.md").is_file() and rule.tests, rule.name
    for test in {test for rule in RULES for test in rule.tests}:
        file, _, name = test.partition("::")
        assert re.search(rf"^def {name or 'test_'}", (ROOT / file).read_text(encoding="utf-8"), re.MULTILINE), test


def test_the_page_lists_each_rule() -> None:
    page = (ROOT / "docs" / "design" / "rules-held.md").read_text(encoding="utf-8")
    rows = re.findall(r"^\| ([^|]+) \| ([a-z-]+) \| `", page, re.MULTILINE)
    assert rows == [(rule.name, rule.page) for rule in RULES]


def test_a_text_that_is_missing_or_occurs_twice_is_an_error() -> None:
    for text in ("", SAMPLE.text * 2):
        with pytest.raises(
            RuleListError, match=r"a sample: its text is [02] times in cypressbeam/consensus/deduplication"
        ):
            without(SAMPLE, text)


def test_a_removed_rule_is_detected_and_a_broken_program_is_an_error() -> None:
    assert try_without(SAMPLE).noticed == ("test_digests_that_can_not_be_are_refused",)
    broken = try_without(Rule("broken", "orders", SAMPLE.file, SAMPLE.text, "if (:", SAMPLE.tests))
    assert not broken.held() and not broken.noticed and broken.error


def test_failed_tests_are_reported_as_a_table() -> None:
    pytest_output = (
        "FAILED tests/test_a.py::test_one[x-1] - assert\nFAILED tests/test_a.py::test_one[y]\nERROR tests/b.py\n"
    )
    assert noticed_by(pytest_output) == ("test_one",)
    rows = table([RuleResult(SAMPLE, ("test_one",)), RuleResult(SAMPLE, ())]).splitlines()[2:]
    assert rows == ["| a sample | orders | `test_one` |", "| a sample | orders | **nobody** |"]


def test_a_rule_that_no_test_detects_makes_the_command_exit_with_1(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mutation, "RULES", (SAMPLE,))
    monkeypatch.setattr(mutation, "run_tests", lambda tree, tests: (0, ""))
    result = CliRunner().invoke(mutation.main, [])
    assert result.exit_code == 1 and "0 of 1 rules are held by a test" in result.output
