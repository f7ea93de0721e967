"""Whether a majority of the core's members is missing, since when, and what an operator can do about it. Pure.

A member is missing while it is not heard, while the machine at its address answers under another identity (its disk is
a new one, and all that it had promised is gone with the old one), or while it reports less than it did before (its disk
is an older copy of itself, and its reports count for nothing). Whether those who are missing will come back nobody here
can know, so the statement says what is seen, what it means meanwhile, and both ways on. It is never a reason to do
anything by itself (docs/operations/recovery.md tells why).
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from cypressbeam.consensus.failure_detection import PAUSE_THRESHOLD_S
from cypressbeam.consensus.views import ip_of, majority

#: A majority that is missing for so long is reported: longer than a restart, a new view or a short cut takes, and well
#: within 10 s. While it lasts the log says so again this often.
REPORT_AFTER_S, REPORT_INTERVAL_S = 5.0, 60.0
RUNBOOK = "docs/operations/recovery.md"
RUNBOOK_SECTION = "A majority of the core is gone for ever"


class Absence(StrEnum):
    """Why a member does not count."""

    SILENT = "silent"
    NEW_DISK = "new disk"
    OLD_DISK = "old disk"


ABSENCE_TEXTS = {Absence.SILENT: "silent", Absence.NEW_DISK: "without its disk", Absence.OLD_DISK: "with an older disk"}


@dataclass(frozen=True, slots=True)
class MissingMember:
    """A member that is not there."""

    ip: str
    absence: Absence
    for_s: float | None
    """For how long; None where that is not known."""

    def text(self) -> str:
        """As an operator reads it."""
        what = ABSENCE_TEXTS[self.absence]
        return f"{self.ip} ({what})" if self.for_s is None else f"{self.ip} ({what} for {self.for_s:.0f} s)"


@dataclass(frozen=True, slots=True)
class QuorumLoss:
    """Fewer members are there than decide anything."""

    members: int
    here: tuple[str, ...]
    """Addresses of the members that are there."""
    missing: tuple[MissingMember, ...]

    @property
    def majority(self) -> int:
        """How many members are needed."""
        return majority(self.members)

    def lines(self) -> list[str]:
        """For an operator: what is seen, what that means, and what to do."""
        gone = ", ".join(one.text() for one in self.missing)
        return [
            f"no majority of the core: {len(self.here)} of {self.members} members are there, {self.majority} are"
            f" needed; missing: {gone}",
            "orders, reads and changes of members get 503; nodes serve on with the configuration and the list that"
            " they have",
            "the way out: bring back enough of these members with their disks, at their addresses; if their disks"
            f' are gone for ever, make a new core from a saved copy: {RUNBOOK}, "{RUNBOOK_SECTION}"',
        ]


def absence_of(name: str, alive: Mapping[str, str], rejected: Collection[str]) -> Absence:
    """Why a member that is missing does not count."""
    if name in rejected:
        return Absence.OLD_DISK
    return Absence.NEW_DISK if alive.get(ip_of(name), name) != name else Absence.SILENT


def detect(
    group: Collection[str], alive: Mapping[str, str], silent_s: Mapping[str, float], rejected: Collection[str] = ()
) -> QuorumLoss | None:
    """The loss of a group's quorum, if it is lost. `group` has names; `alive` gives who is there, by address, under
    which name; `silent_s` for how long members have been missing, by address, as far as that is known; `rejected`
    names those whose disks are older than what they reported."""
    here = tuple(sorted(ip_of(name) for name in group if alive.get(ip_of(name)) == name))
    missing = tuple(
        MissingMember(ip_of(name), absence_of(name, alive, rejected), silent_s.get(ip_of(name)))
        for name in sorted(group)
        if ip_of(name) not in here
    )
    loss = QuorumLoss(len(group), here, missing)
    return loss if group and len(here) < loss.majority else None


@dataclass(frozen=True, slots=True)
class QuorumLossReport:
    """A line for the log."""

    level: int
    text: str


@dataclass
class QuorumMonitor:
    """At a member of the core: who is missing, since when, and whether that is to be reported."""

    missing_since_s: dict[str, float] = field(default_factory=dict)
    """By name of a member: since when it is missing, as this machine saw it without a break."""
    ticked_s: float | None = None
    loss: QuorumLoss | None = None
    """The loss, once it is to be reported."""
    lost_s: float = 0.0
    reported_s: float = 0.0

    def tick(
        self, group: Collection[str], alive: Mapping[str, str], now_s: float, rejected: Collection[str] = ()
    ) -> QuorumLossReport | None:
        """Take in who is heard now, this machine with it. A machine that is no member gives an empty group."""
        if self.ticked_s is not None and now_s - self.ticked_s > PAUSE_THRESHOLD_S:
            self.missing_since_s.clear()  # whom it would have heard meanwhile it can't say
        self.ticked_s = now_s
        self.missing_since_s = {
            name: self.missing_since_s.get(name, now_s) for name in group if alive.get(ip_of(name)) != name
        }
        silent_s = {ip_of(name): now_s - since_s for name, since_s in self.missing_since_s.items()}
        loss = detect(group, alive, silent_s, rejected)
        if loss is None:
            return self.on_regained(now_s)
        # The majority was lost with the first member that was one too many.
        lost_s = sorted(self.missing_since_s.values())[loss.members - loss.majority]
        if now_s - lost_s < REPORT_AFTER_S and self.loss is None:
            return None
        return self.on_lost(loss, lost_s, now_s)

    def on_lost(self, loss: QuorumLoss, lost_s: float, now_s: float) -> QuorumLossReport | None:
        """A majority is missing for long: reported at first, and again each `REPORT_INTERVAL_S`."""
        if self.loss is not None and now_s - self.reported_s < REPORT_INTERVAL_S:
            self.loss = loss
            return None
        if self.loss is None:
            self.lost_s = lost_s
        self.loss, self.reported_s = loss, now_s
        return QuorumLossReport(logging.ERROR, "; ".join(loss.lines()))

    def on_regained(self, now_s: float) -> QuorumLossReport | None:
        """A majority is there; reported if its loss was."""
        if self.loss is None:
            return None
        self.loss = None
        return QuorumLossReport(
            logging.WARNING, f"a majority of the core is there again, after {now_s - self.lost_s:.0f} s"
        )

    def silences(self) -> tuple[str, ...]:
        """While a majority is missing: address and seconds of each member that is, as a machine's state tells it."""
        if self.loss is None:
            return ()
        return tuple(f"{one.ip} {one.for_s:.0f}" for one in self.loss.missing if one.for_s is not None)


def parse_silences(lines: Collection[str]) -> dict[str, float]:
    """Seconds by address. What is no such line says nothing."""
    words = [line.split(" ") for line in lines]
    return {pair[0]: float(pair[1]) for pair in words if len(pair) == 2 and pair[1].isdecimal()}
