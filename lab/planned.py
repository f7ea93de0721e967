"""LOST: connections that end without an answer around planned work.

Planned work is a SIGTERM, a SIGHUP, and a configuration that may be in force. Times are those of the simulated clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

#: Planned work after a SIGTERM lasts so much longer than the grace period, and that of a configuration than its bound.
AFTER_GRACE_S, AFTER_CONVERGE_S = 1.0, 1.0
#: Beside a configuration a cut counts only if it came before this share of the request's time had passed ...
USED = 0.7
#: ... and if the machine cuts more than so many times as often as at other times.
TIMES_AS_OFTEN = 3.0
#: A server that is still at work after this share of the grace period excuses the machine.
LATE_IN_GRACE = 0.5
#: Clocks are read a little apart.
EDGE_S = 0.001

Spans = Mapping[str, Sequence[tuple[float, float]]]


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the rules on planned work, in seconds."""

    grace_s: float = 6.0
    converge_s: float = 4.0
    contact_s: float = 5.0
    loss_slack_s: float = 0.2


@dataclass(slots=True)
class Change:
    """A configuration that was sent. It may be in force unless it was refused."""

    sent_s: float
    acked_s: float = math.inf
    refused: bool = False

    def answered(self, taken: bool, at_s: float) -> None:
        if taken:
            self.acked_s = at_s
        else:
            self.refused = True


@dataclass
class Planned:
    """The planned work of a day."""

    terms: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    """By node: when it got a SIGTERM."""
    hups: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    changes: list[Change] = field(default_factory=list)

    def sends(self, at_s: float) -> Change:
        change = Change(at_s)
        self.changes.append(change)
        return change

    def changes_at(self, at_s: float, bounds: Bounds) -> bool:
        """Whether this moment lies beside a configuration that may be in force."""
        return any(
            not change.refused and change.sent_s <= at_s <= change.acked_s + bounds.converge_s + AFTER_CONVERGE_S
            for change in self.changes
        )


class ClientWish(Protocol):
    """What the rule needs to know of a try."""

    ident: str
    node: str
    sent_s: float
    ended_s: float | None
    asked_s: float | None
    """When its last byte was sent."""
    ends_s: float
    """When its client's deadline is reached."""
    cutoff_s: float
    """The time-out of its route."""
    was_read: bool
    """Whether the node had read all of it when its connection ended."""
    status: int | None


@dataclass(frozen=True, slots=True)
class Work:
    """A server's work on a request."""

    ident: str
    server: str
    from_s: float
    to_s: float


@dataclass
class Losses:
    """What LOST is told from."""

    tries: Sequence[ClientWish]
    passed_on: set[str]
    """Requests that were passed on to a server."""
    work: dict[str, list[Work]]
    """By request."""
    broke_off: set[str]
    """Requests whose server broke off."""
    planned: Planned
    troubled: Spans
    """By node, and under `everybody`: when it had unplanned trouble."""
    everybody: str
    bounds: Bounds

    def found(self) -> Iterator[tuple[ClientWish, str]]:
        """Each request that was lost, with the planned work around it."""
        cuts = [one for one in self.tries if self.is_cut(one)]
        for one in cuts:
            if self.after_term(one):
                yield one, "a SIGTERM"
            elif self.after_hup(one):
                yield one, "a SIGHUP"
        for node in sorted({one.node for one in cuts}):
            for one in self.beside_changes(node, [one for one in cuts if one.node == node]):
                yield one, "a configuration"

    def is_cut(self, one: ClientWish) -> bool:
        """Whether its connection ended without an answer, in calm times, and nothing excuses that."""
        if one.status is not None or one.asked_s is None or one.ended_s is None or not one.was_read:
            return False
        late = one.ended_s - one.asked_s > self.bounds.loss_slack_s
        time_is_up = one.ended_s >= min(one.ends_s, one.sent_s + one.cutoff_s) - EDGE_S
        return (
            (one.ident in self.passed_on or late)
            and not time_is_up
            and one.ident not in self.broke_off
            and not self.works_late(one)
            and self.is_calm(one)
        )

    def is_calm(self, one: ClientWish) -> bool:
        assert one.ended_s is not None
        since_s = one.sent_s - self.bounds.contact_s
        return not any(
            from_s <= one.ended_s and to_s >= since_s
            for name in (one.node, self.everybody)
            for from_s, to_s in self.troubled.get(name, ())
        )

    def after_term(self, one: ClientWish) -> bool:
        assert one.ended_s is not None
        grace_s = self.bounds.grace_s
        return any(
            term_s <= one.ended_s <= term_s + grace_s + AFTER_GRACE_S for term_s in self.planned.terms.get(one.node, ())
        )

    def works_late(self, one: ClientWish) -> bool:
        """Whether its server was still at work in the second half of a grace period, until its connection ended."""
        assert one.ended_s is not None
        grace_s = self.bounds.grace_s
        return any(
            work.from_s <= term_s + grace_s and min(work.to_s, one.ended_s) >= term_s + LATE_IN_GRACE * grace_s
            for term_s in self.planned.terms.get(one.node, ())
            for work in self.work.get(one.ident, ())
        )

    def after_hup(self, one: ClientWish) -> bool:
        assert one.ended_s is not None
        return any(
            hup_s < one.ended_s and one.sent_s <= hup_s + self.bounds.converge_s
            for hup_s in self.planned.hups.get(one.node, ())
        )

    def beside_changes(self, node: str, cuts: list[ClientWish]) -> list[ClientWish]:
        """The cuts that count, if the machine cuts more often beside changes than at other times."""
        beside = [one for one in cuts if self.is_beside(one) and not self.used_up(one)]
        other = [one for one in cuts if not self.is_beside(one)]
        asked_beside = self.count(node, self.is_beside)
        asked_other = self.count(node, lambda one: not self.is_beside(one))
        often = len(beside) / max(asked_beside, 1)
        usual = len(other) / max(asked_other, 1)
        return beside if often > TIMES_AS_OFTEN * usual else []

    def count(self, node: str, counts: Callable[[ClientWish], bool]) -> int:
        return sum(1 for one in self.tries if one.node == node and one.ended_s is not None and counts(one))

    def is_beside(self, one: ClientWish) -> bool:
        return one.ended_s is not None and self.planned.changes_at(one.ended_s, self.bounds)

    def used_up(self, one: ClientWish) -> bool:
        assert one.ended_s is not None
        return one.ended_s - one.sent_s >= USED * (min(one.ends_s, one.sent_s + one.cutoff_s) - one.sent_s)
