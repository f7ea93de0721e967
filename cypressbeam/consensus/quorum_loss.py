"""Quorum loss: whether a majority of the core is missing, since when, and how an operator can recover. No I/O.

A member is missing while it is unreachable, while the machine at its address has another identity (its disk is new, and
the promises on the old one are lost), or while it reports less than before (its disk was rolled back, and its reports
are ignored). Whether missing members will return cannot be known here, so the report states what was observed, its
consequences, and both ways to recover. Quorum loss never triggers an automatic action (docs/operations/recovery.md
explains why).
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from cypressbeam.consensus.failure_detection import PAUSE_THRESHOLD_S
from cypressbeam.consensus.views import ip_of, majority

#: Quorum loss is reported after 5 s: longer than a restart, a view change or a short network partition takes, and well
#: within the 10 s in which an operator must be told. The report is repeated at the interval while the loss lasts.
REPORT_AFTER_S, REPORT_INTERVAL_S = 5.0, 60.0
RUNBOOK = "docs/operations/recovery.md"
RUNBOOK_SECTION = "A majority of the core is gone for ever"


class Absence(StrEnum):
    """Why a member is missing."""

    SILENT = "silent"
    NEW_DISK = "new disk"
    OLD_DISK = "old disk"


ABSENCE_TEXTS = {Absence.SILENT: "silent", Absence.NEW_DISK: "without its disk", Absence.OLD_DISK: "with an older disk"}


@dataclass(frozen=True, slots=True)
class MissingMember:
    """A member that does not count towards a majority."""

    ip: str
    absence: Absence
    for_s: float | None
    """How long the member has been missing; None if unknown."""

    def text(self) -> str:
        """The member and the reason, for an operator."""
        reason = ABSENCE_TEXTS[self.absence]
        return f"{self.ip} ({reason})" if self.for_s is None else f"{self.ip} ({reason} for {self.for_s:.0f} s)"


@dataclass(frozen=True, slots=True)
class QuorumLoss:
    """The state of a group of which fewer members than a majority are available."""

    members: int
    here: tuple[str, ...]
    """Addresses of the available members."""
    missing: tuple[MissingMember, ...]

    @property
    def majority(self) -> int:
        """The number of members required."""
        return majority(self.members)

    def lines(self) -> list[str]:
        """The report for an operator: the observation, its consequences, and how to recover."""
        missing_text = ", ".join(member.text() for member in self.missing)
        return [
            f"no majority of the core: {len(self.here)} of {self.members} members are there, {self.majority} are"
            f" needed; missing: {missing_text}",
            "orders, reads and changes of members get 503; nodes serve on with the configuration and the list that"
            " they have",
            "the way out: bring back enough of these members with their disks, at their addresses; if their disks"
            f' are gone for ever, make a new core from a saved copy: {RUNBOOK}, "{RUNBOOK_SECTION}"',
        ]


def absence_of(name: str, alive: Mapping[str, str], rejected: Collection[str]) -> Absence:
    """Why a missing member does not count, given the available members by address and the rejected names."""
    if name in rejected:
        return Absence.OLD_DISK
    return Absence.NEW_DISK if alive.get(ip_of(name), name) != name else Absence.SILENT


def detect(
    group: Collection[str], alive: Mapping[str, str], missing_s: Mapping[str, float], rejected: Collection[str] = ()
) -> QuorumLoss | None:
    """Return the quorum loss of a group, or None if a majority is available.

    :param group: the names of the members.
    :param alive: the names of the available machines, by address.
    :param missing_s: how long members have been missing, by address, as far as known.
    :param rejected: the names of members whose disks were rolled back.
    """
    here = tuple(sorted(ip_of(name) for name in group if alive.get(ip_of(name)) == name))
    missing = tuple(
        MissingMember(ip_of(name), absence_of(name, alive, rejected), missing_s.get(ip_of(name)))
        for name in sorted(group)
        if ip_of(name) not in here
    )
    loss = QuorumLoss(len(group), here, missing)
    return loss if group and len(here) < loss.majority else None


@dataclass(frozen=True, slots=True)
class QuorumLossReport:
    """A line for the log, with its level."""

    level: int
    text: str


@dataclass
class QuorumMonitor:
    """Tracks at a member of the core which members are missing, since when, and whether to report it."""

    missing_since_s: dict[str, float] = field(default_factory=dict)
    """When each missing member went missing, by name, as observed without interruption by this machine."""
    ticked_s: float | None = None
    loss: QuorumLoss | None = None
    """The current quorum loss, once it has lasted `REPORT_AFTER_S`."""
    lost_s: float = 0.0
    reported_s: float = 0.0

    def tick(
        self, group: Collection[str], alive: Mapping[str, str], now_s: float, rejected: Collection[str] = ()
    ) -> QuorumLossReport | None:
        """Update from the machines that are alive now, including this one. The group is empty at a machine that is not
        a member."""
        if self.ticked_s is not None and now_s - self.ticked_s > PAUSE_THRESHOLD_S:
            self.missing_since_s.clear()  # after a pause it is unknown which members were reachable meanwhile
        self.ticked_s = now_s
        self.missing_since_s = {
            name: self.missing_since_s.get(name, now_s) for name in group if alive.get(ip_of(name)) != name
        }
        missing_s = {ip_of(name): now_s - since_s for name, since_s in self.missing_since_s.items()}
        loss = detect(group, alive, missing_s, rejected)
        if loss is None:
            return self.on_regained(now_s)
        # Quorum was lost when one member more than the tolerated number had gone missing.
        lost_s = sorted(self.missing_since_s.values())[loss.members - loss.majority]
        if now_s - lost_s < REPORT_AFTER_S and self.loss is None:
            return None
        return self.on_lost(loss, lost_s, now_s)

    def on_lost(self, loss: QuorumLoss, lost_s: float, now_s: float) -> QuorumLossReport | None:
        """Report a lasting quorum loss once, and then every `REPORT_INTERVAL_S`."""
        if self.loss is not None and now_s - self.reported_s < REPORT_INTERVAL_S:
            self.loss = loss
            return None
        if self.loss is None:
            self.lost_s = lost_s
        self.loss, self.reported_s = loss, now_s
        return QuorumLossReport(logging.ERROR, "; ".join(loss.lines()))

    def on_regained(self, now_s: float) -> QuorumLossReport | None:
        """Report that a majority is available again, if its loss was reported."""
        if self.loss is None:
            return None
        self.loss = None
        return QuorumLossReport(
            logging.WARNING, f"a majority of the core is available again, after {now_s - self.lost_s:.0f} s"
        )

    def missing_durations(self) -> tuple[str, ...]:
        """During a reported loss, a line "address seconds" for each missing member, as sent in the machine's status."""
        if self.loss is None:
            return ()
        return tuple(f"{member.ip} {member.for_s:.0f}" for member in self.loss.missing if member.for_s is not None)


def parse_missing_durations(lines: Collection[str]) -> dict[str, float]:
    """Parse lines "address seconds" into seconds by address; malformed lines are ignored."""
    words = [line.split(" ") for line in lines]
    return {pair[0]: float(pair[1]) for pair in words if len(pair) == 2 and pair[1].isdecimal()}
