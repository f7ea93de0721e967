"""The rules of docs/design/bootstrap.md."""

from __future__ import annotations

from lab.rule_files import BOOTSTRAP, CONSENSUS_REPLICA, STORE
from lab.rules import Rule

TESTS = ("tests/test_bootstrap.py",)


def bootstrap(name: str, file: str, text: str, instead: str) -> Rule:
    return Rule(name, "bootstrap", file, text, instead, TESTS)


BOOTSTRAP_RULES = (
    bootstrap(
        "a later seed waits for all earlier ones to take no part",
        BOOTSTRAP,
        "            not self.earlier_arbiters\n            and len",
        "            len",
    ),
    bootstrap(
        "a seed that takes over has all candidates promise first",
        BOOTSTRAP,
        "if self.is_takeover and not self.promised.issuperset(self.candidates.values()):",
        "if False:",
    ),
    bootstrap(
        "promises of another arbiter do not count",
        BOOTSTRAP,
        "        if epoch == self.epoch:\n",
        "        if epoch:\n",
    ),
    bootstrap(
        "an arbiter stores its view before it sends it to others",
        BOOTSTRAP,
        "for name in own or waiting]",
        "for name in waiting]",
    ),
    bootstrap(
        "a view that a machine has stored is adopted",
        BOOTSTRAP,
        "        elif self.view is None:\n            self.adopt(view)\n",
        "",
    ),
    bootstrap(
        "a view needs enough candidates", BOOTSTRAP, "            and len(self.candidates) >= self.min_members\n", ""
    ),
    bootstrap(
        "a first view names the identity of each member's disk",
        CONSENSUS_REPLICA,
        "return self.accept_view(view, None, {}, now_s) if self.name in view.chain else []",
        "return self.accept_view(view, None, {}, now_s)",
    ),
    bootstrap(
        "a machine with a view or a later promise makes no promise",
        CONSENSUS_REPLICA,
        "if state.view is not None or state.pending_view is not None or self.voter.promised > epoch:",
        "if False:",
    ),
    bootstrap(
        "a later disk of the same process is none of the first start",
        STORE,
        "            raise\n        self.bootstrap_seeds = ()\n        return database",
        "            raise\n        return database",
    ),
    bootstrap(
        "a disk that was set aside is not followed by one of the first start",
        STORE,
        "        self._close_database()\n        self.bootstrap_seeds = ()\n        if self.path",
        "        self._close_database()\n        if self.path",
    ),
)
