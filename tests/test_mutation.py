"""The list of rules that are taken out one by one is true of the sources, and the command tells which tests notice."""

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
def test_the_text_of_each_rule_is_there_exactly_once(file: str) -> None:
    text = (ROOT / file).read_text(encoding="utf-8")
    for rule in RULES:
        if rule.file == file:
            assert without(rule, text) != text, rule.name


def test_each_rule_has_a_name_of_its_own_a_page_and_tests_that_there_are() -> None:
    assert [name for name, count in Counter((rule.page, rule.name) for rule in RULES).items() if count > 1] == []
    for rule in RULES:
        assert (ROOT / "docs" / "design" / f"{rule.page}.md").is_file() and rule.tests, rule.name
    for test in {test for rule in RULES for test in rule.tests}:
        file, _, name = test.partition("::")
        assert re.search(rf"^def {name or 'test_'}", (ROOT / file).read_text(encoding="utf-8"), re.MULTILINE), test


def test_the_page_tells_of_each_rule_of_the_list() -> None:
    page = (ROOT / "docs" / "design" / "rules-held.md").read_text(encoding="utf-8")
    rows = re.findall(r"^\| ([^|]+) \| ([a-z-]+) \| `", page, re.MULTILINE)
    assert rows == [(rule.name, rule.page) for rule in RULES]


def test_a_text_that_is_not_there_or_there_twice_is_an_error() -> None:
    for text in ("", SAMPLE.text * 2):
        with pytest.raises(
            RuleListError, match=r"a sample: its text is [02] times in cypressbeam/consensus/deduplication"
        ):
            without(SAMPLE, text)


def test_a_rule_that_is_out_is_noticed_and_a_program_that_is_broken_is_no_proof() -> None:
    assert try_without(SAMPLE).noticed == ("test_digests_that_can_not_be_are_refused",)
    broken = try_without(Rule("broken", "orders", SAMPLE.file, SAMPLE.text, "if (:", SAMPLE.tests))
    assert not broken.held() and not broken.noticed and broken.error


def test_what_pytest_says_is_told_as_a_table() -> None:
    said = "FAILED tests/test_a.py::test_one[x-1] - assert\nFAILED tests/test_a.py::test_one[y]\nERROR tests/b.py\n"
    assert noticed_by(said) == ("test_one",)
    rows = table([RuleResult(SAMPLE, ("test_one",)), RuleResult(SAMPLE, ())]).splitlines()[2:]
    assert rows == ["| a sample | orders | `test_one` |", "| a sample | orders | **nobody** |"]


def test_a_rule_that_no_test_holds_ends_the_command_with_1(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mutation, "RULES", (SAMPLE,))
    monkeypatch.setattr(mutation, "run_tests", lambda tree, tests: (0, ""))
    found = CliRunner().invoke(mutation.main, [])
    assert found.exit_code == 1 and "0 of 1 rules are held by a test" in found.output
