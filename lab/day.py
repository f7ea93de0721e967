"""A day of the emulator, as a TOML file or by code: the machines, the services, who asks what, and the troubles.

Every figure has a usual value, so a file names only what it is about. What does not fit the schema is refused with the
place in the file, what was found and what is wanted.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec

Ill = Literal["errors", "shed", "busy", "hang", "mute", "reset", "slow"]


class DayError(Exception):
    """One line on what is wrong with a day's file."""


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Servers of one kind. `connections` is the most that one of them takes from all nodes together."""

    name: str
    servers: int = 12
    slots: int = 6
    queue: int = 12
    connections: int = 520
    spread: float = 0.15
    """How unlike their speeds are: the deviation of the logarithm."""


class Kind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Requests of one kind: a route, and who asks for it. Times in milliseconds, worth as the operator counts it."""

    name: str
    service: str
    mode: Literal["idempotent", "effectful", "ingest"] = "idempotent"
    per_s: float = 10.0
    work_ms: float = 220.0
    aim_ms: float = 1200.0
    deadline_ms: float = 8000.0
    cutoff_ms: float = 0.0
    """The longest time that the operator wants a request held; 0: until its deadline."""
    worth: float = 1.0
    late_worth: float = 0.3
    repeats: int = 2
    """Further tries of a client, after the first."""
    tries: int = 2
    """Servers that one try may go to."""
    body: int = 0
    """Bytes that a request carries."""
    calls: str = ""
    """The kind of request that a server sends to the system midway through its work on this one."""

    @property
    def cutoff(self) -> float:
        return self.cutoff_ms or self.deadline_ms


#: What may be wrong, or planned, in a day; the order is that of random draws.
FaultKind = Literal[
    "srv_ill",
    "srv_crash",
    "srv_flap",
    "release",
    "scale_in",
    "scale_out",
    "idle_race",
    "answer_lost",
    "surplus",
    "node_kill",
    "roll_term",
    "power_off_all",
    "zone_cut",
    "lossy",
    "burst",
    "config_change",
    "config_race",
    "reuse",
    "hup",
]


class Trouble(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One entry of a day: what, when (seconds from the start of traffic), for how long, and on how many."""

    kind: FaultKind
    at: float = 0.0
    for_s: float = 5.0
    gap_s: float = 1.0
    share: float = 0.15
    x: float = 4.0
    how: Ill = "errors"
    service: str = ""
    """Left out: all services."""
    on: Literal["edge", "core"] = "edge"


class Day(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A whole day. Traffic begins `lead_s` after the machines do."""

    name: str = "day"
    edges: int = 12
    cores: int = 3
    zones: int = 3
    edge_mbps: float = 2.75
    core_mbps: float = 30.0
    edge_share: float = 0.43
    """Of one core."""
    core_share: float = 0.645
    memory_mb: int = 200
    idle_routes: int = 8
    """Routes that nobody asks for."""
    lead_s: float = 10.0
    traffic_s: float = 20.0
    share_faults: bool = True
    """Whether nodes tell each other which servers fail."""
    contact_s: float = 5.0
    """A machine is out of touch until so long after its trouble."""
    grace_s: float = 6.0
    """After a SIGTERM a process gets so long to end."""
    loss_slack_s: float = 0.2
    """A connection may end so soon after a request was sent on it, if the request went to no server."""
    drain_s: float = 4.0
    converge_s: float = 4.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 60.0
    list_delay_s: float = 0.8
    kept: float = 0.6
    """The share of the clients' requests that go on connections which are kept."""
    services: tuple[Service, ...] = (Service(name="finder"), Service(name="booker", servers=8))
    kinds: tuple[Kind, ...] = (
        Kind(name="lookup", service="finder", per_s=120.0),
        Kind(name="booking", service="booker", mode="effectful", per_s=40.0, work_ms=290.0, worth=2.0, late_worth=0.6),
    )
    troubles: tuple[Trouble, ...] = ()

    def wrong(self) -> str:
        """What the schema can't say; empty where all is well."""
        if min(self.edges, self.cores, self.zones, len(self.kinds), len(self.services)) < 1:
            return "edges, cores, zones, kinds and services must each be at least 1"
        names = {service.name for service in self.services}
        for name in [what.service for what in self.kinds] + [what.service for what in self.troubles if what.service]:
            if name not in names:
                return f"service {name!r} is not there; one of {', '.join(sorted(names))} is wanted"
        kinds = {kind.name for kind in self.kinds}
        for called in [kind.calls for kind in self.kinds if kind.calls]:
            if called not in kinds:
                return f"kind {called!r} is not there; one of {', '.join(sorted(kinds))} is wanted"
        return ""


def read(document: Any, source: str) -> Day:
    """Raises DayError."""
    try:
        day = msgspec.convert(document, Day)
    except msgspec.ValidationError as err:
        raise DayError(f"{source}: {err}") from None
    if wrong := day.wrong():
        raise DayError(f"{source}: {wrong}")
    return day


def load(path: Path) -> Day:
    """Raises DayError."""
    try:
        with path.open("rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as err:
        raise DayError(f"{path}: {err}") from None
    return read(document, str(path))
