"""Takes the rules of the design pages out, one by one, in a scratch copy of the tree, and tells which tests notice.

The list is written by hand (lab/rules.py and beside it): a rule, the text that holds it and what stands in its place.
A text that is not there exactly once is an error, so the list stays true; a change that breaks the program (no test
runs any more) is one too. From the root of a checkout: `python -m lab.mutation [--jobs N] [--only WORD] [--out PAGE]`.
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import click

from lab.rules import Rule
from lab.rules_bootstrap import BOOTSTRAP_RULES
from lab.rules_core import CORE_RULES, DISK_RULES
from lab.rules_fencing import FENCING_RULES, MEMBERS_RULES
from lab.rules_orders import ORDERS_RULES
from lab.rules_replacement import REPLACEMENT_RULES

RULES = (
    *FENCING_RULES,
    *MEMBERS_RULES,
    *REPLACEMENT_RULES,
    *ORDERS_RULES,
    *CORE_RULES,
    *DISK_RULES,
    *BOOTSTRAP_RULES,
)
ROOT = Path(__file__).resolve().parent.parent
#: What the tests need of a checkout.
COPIED = ("cypressbeam", "lab", "tests", "docs", "deploy", "pyproject.toml", "README.md")
#: The named tests take seconds; a rule without which they stand still is told as such.
MOST_S = 240.0
#: How pytest ends: all passed; some failed. Anything else says nothing of the rule.
PASSED, FAILED = 0, 1


class RuleListError(Exception):
    """An entry of the list that is not true of the sources: one line on which and why."""


@dataclass(frozen=True, slots=True)
class RuleResult:
    """What became of one rule."""

    rule: Rule
    noticed: tuple[str, ...]
    """The tests that failed without it."""
    error: str = ""
    """Why nothing can be said."""

    def held(self) -> bool:
        return bool(self.noticed) and not self.error


def without(rule: Rule, text: str) -> str:
    """The text of the rule's file without the rule. Raises RuleListError."""
    found = text.count(rule.text)
    if found != 1:
        raise RuleListError(f"{rule.name}: its text is {found} times in {rule.file}, not once")
    return text.replace(rule.text, rule.replacement)


@contextmanager
def scratch() -> Iterator[Path]:
    """A copy of the tree."""
    with tempfile.TemporaryDirectory(prefix="rules-") as folder:
        for name in COPIED:
            source, target = ROOT / name, Path(folder) / name
            if source.is_dir():
                shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(source, target)
        yield Path(folder)


def run_tests(tree: Path, tests: Iterable[str]) -> tuple[int, str]:
    """How pytest ends on these tests of a tree, and what it says."""
    environ = os.environ | {"PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"}
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-rf",
        "--tb=no",
        "-p",
        "no:cacheprovider",
        "--numprocesses=0",
        *tests,
    ]
    try:
        run = subprocess.run(
            command, cwd=tree, env=environ, capture_output=True, text=True, check=False, timeout=MOST_S
        )
    except subprocess.TimeoutExpired:
        return -1, f"no end within {MOST_S:.0f} s"
    return run.returncode, run.stdout + run.stderr


def noticed_by(said: str) -> tuple[str, ...]:
    """The names of the tests that failed, each once, whatever they were given."""
    names = re.findall(r"^FAILED tests/\w+\.py::(\w+)", said, re.MULTILINE)
    return tuple(dict.fromkeys(names))


def try_without(rule: Rule) -> RuleResult:
    """Play the rule's tests on a copy of the tree that lacks it. Raises RuleListError."""
    with scratch() as tree:
        path = tree / rule.file
        path.write_text(without(rule, path.read_text(encoding="utf-8")), encoding="utf-8")
        code, said = run_tests(tree, rule.tests)
    if code in (PASSED, FAILED):
        return RuleResult(rule, noticed_by(said) if code == FAILED else ())
    return RuleResult(rule, (), (said.strip().splitlines() or ["nothing was said"])[-1])


def table(outcomes: Iterable[RuleResult]) -> str:
    """Markdown: rule, page, which tests noticed."""
    lines = ["| rule | page | noticed by |", "| --- | --- | --- |"]
    for outcome in outcomes:
        tests = ", ".join(f"`{name}`" for name in outcome.noticed) or outcome.error or "**nobody**"
        lines.append(f"| {outcome.rule.name} | {outcome.rule.page} | {tests} |")
    return "\n".join(lines)


def selected(words: str) -> list[Rule]:
    """The rules whose name or page has the words in it. Raises RuleListError for an entry that is not true."""
    chosen = [rule for rule in RULES if words in rule.name or words in rule.page]
    for rule in chosen:
        without(rule, (ROOT / rule.file).read_text(encoding="utf-8"))
    return chosen


@click.command()
@click.option("--jobs", default=1, show_default=True, help="Processes at a time.")
@click.option("--only", default="", help="Rules with these words in their name or page.")
@click.option("--out", type=click.Path(path_type=Path), help="A page whose table is to be written anew.")
def main(jobs: int, only: str, out: Path | None) -> None:
    """Take out each rule of lab/rules.py and tell which tests notice; ends with 1 where none does."""
    rules = selected(only)
    with scratch() as tree:
        code, said = run_tests(tree, sorted({test for rule in rules for test in rule.tests}))
    if code != PASSED:
        raise click.ClickException(f"with all rules in place the tests don't pass:\n{said[-2000:]}")
    outcomes = []
    with ThreadPoolExecutor(jobs) as pool:
        for outcome in pool.map(try_without, rules):
            outcomes.append(outcome)
            if not outcome.held():
                click.echo(f"not held: {outcome.rule.name}: {outcome.error or 'no test noticed'}", err=True)
    held = sum(outcome.held() for outcome in outcomes)
    told = f"{table(outcomes)}\n\n{held} of {len(outcomes)} rules are held by a test.\n"
    click.echo(told)
    if out is not None:
        head = out.read_text(encoding="utf-8").partition("| rule |")[0]
        out.write_text(head + told, encoding="utf-8")
    sys.exit(held < len(outcomes))


if __name__ == "__main__":
    main()
