"""Looking for a state or a storm of attempts in which something does not hold."""

from __future__ import annotations

import logging
import random

from lab.adversarial_servers import BrokenRuleError
from lab.attempt_faults import fault
from lab.attempt_storms import draw, storm
from lab.attempts import states, walk


def search_states() -> tuple[int, str] | None:
    """The first of all states, in a fixed order of chance, that is not as it should be: its number, and what it is."""
    order = list(states())
    random.Random(1).shuffle(order)
    for number, state in enumerate(order, 1):
        try:
            walk(state)
        except BrokenRuleError as err:
            return number, str(err)
    return None


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """The first seed whose storm breaks a rule, and which, with a fault by name or none."""
    name, seeds = job
    logging.disable(logging.CRITICAL)
    with fault(name):
        for seed in seeds:
            try:
                storm(draw(seed))
            except BrokenRuleError as err:
                return seed, str(err)
    return None
