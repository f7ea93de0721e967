"""Mutation rules: each pairs a rule of the design pages with the source that implements it and a mutant without it.

The rules are listed in rules_fencing.py, rules_replacement.py, rules_orders.py and rules_core.py. lab/mutation.py
applies one mutation at a time and runs the tests of the rule. A new rule in the design pages needs an entry in one of
these lists and a short test that fails without the rule.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rule:
    name: str
    page: str
    """The design page that states the rule, without folder and extension."""
    file: str
    text: str
    """The source that implements the rule. It occurs exactly once in the file."""
    replacement: str
    """What replaces `text` in the mutant."""
    tests: tuple[str, ...]
    """Test files or node ids. At least one of these tests must fail on the mutant."""
