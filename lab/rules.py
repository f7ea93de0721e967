"""A rule of the design pages, the text that holds it, and how to leave it out. The lists are in the modules beside it:
rules_fencing.py, rules_replacement.py, rules_orders.py and rules_core.py; lab/mutation.py takes them out one by one.

A new rule of those pages gets an entry there, and a test of a few lines that fails without it.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rule:
    name: str
    page: str
    """The page that tells it, without its folder and ending."""
    file: str
    text: str
    """What holds it: there exactly once in the file."""
    instead: str
    tests: tuple[str, ...]
    """Files of tests, or tests of them, of which some must fail without it."""
