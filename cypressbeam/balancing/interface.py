"""Data types of the load balancer: settings, input events and output actions.

All types are plain data. Times are whole microseconds (names end in _us).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """Whether a request that may already have been executed can be sent again.

    `SAFE`: any number of times. `KEYED`: within its time window, to servers that deduplicate by its key. `UNSAFE`:
    never.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that share one deduplication table for keyed requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """Lifecycle state of a listed server. Only active servers receive attempts."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a server list event carries.

    `CHANGES`: only the changed entries. `WHOLE`: a complete snapshot. `SAVED`: a complete snapshot from local storage,
    possibly outdated. `FAILED`: nothing, the call to the list failed.
    """

    CHANGES = "changes"
    WHOLE = "whole"
    SAVED = "saved"
    FAILED = "failed"


class WeightMeaning(Enum):
    """How to read a server's listed weight: not at all, as its nominal size, or as a weight that changes with load."""

    NONE = "none"
    SIZE = "size"
    LIVE = "live"


class AttemptOutcome(Enum):
    """How an attempt ended. `FULL`: the server had no capacity for it. `DROPPED`: it was dropped and never executed."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    DROPPED = "dropped"


#: Outcomes that prove that the server did not execute the request.
NEVER_RAN = frozenset({AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.DROPPED})


def _require_integer(owner: str, name: str, value: object, minimum: int = 0) -> None:
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise ValueError(f"{owner}.{name}: a whole number of at least {minimum} is needed, not {value!r}")


def _require_number(owner: str, name: str, value: object, positive: bool = False) -> None:
    if not isinstance(value, (int, float)) or isinstance(value, bool) or not 0 <= value < float("inf"):
        raise ValueError(f"{owner}.{name}: a number of at least 0 is needed, not {value!r}")
    if positive and value <= 0:
        raise ValueError(f"{owner}.{name}: a number above 0 is needed, not {value!r}")


def _require_instance(owner: str, name: str, value: object, expected: type) -> None:
    if not isinstance(value, expected):
        raise ValueError(f"{owner}.{name}: {expected.__name__} is needed, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Parameters shared by all requests of a class.

    `value` is what a response within the latency target is worth, `late_value` what a later one is worth. A keyed
    request may be sent again until `window_us` after the first attempt that may have been executed.
    """

    name: str
    repeat: Repeat
    latency_target_us: int
    deadline_us: int
    group: Group = Group.ALL
    window_us: int = 0
    value: float = 1.0
    late_value: float = 0.0
    streamed: bool = False
    latency_target_stretch: float = 0.0
    tries: int = 0
    """Maximum number of servers a request may be sent to; 0 applies `Settings.max_attempts`."""

    def __post_init__(self) -> None:
        owner = f"classes[{self.name}]"
        _require_instance(owner, "repeat", self.repeat, Repeat)
        _require_instance(owner, "group", self.group, Group)
        _require_integer(owner, "latency_target_us", self.latency_target_us, 1)
        _require_integer(owner, "deadline_us", self.deadline_us, 1)
        _require_integer(owner, "window_us", self.window_us)
        _require_integer(owner, "tries", self.tries)
        _require_number(owner, "value", self.value)
        _require_number(owner, "late_value", self.late_value)
        _require_number(owner, "latency_target_stretch", self.latency_target_stretch)


@dataclass(frozen=True, slots=True)
class Prices:
    """Cost of one unit of each kind of overhead, as a share of the value of a request."""

    cross_zone: float = 0.0
    waste: float = 0.0
    handshake: float = 0.0
    probe: float = 0.0
    message: float = 0.0
    late_failure: float = 0.0

    def __post_init__(self) -> None:
        for name in ("cross_zone", "waste", "handshake", "probe", "message", "late_failure"):
            _require_number("prices", name, getattr(self, name))


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of one balancer.

    `own_name` is the index of this proxy, from 0 to `proxies` - 1. A server that has just started begins with
    `cold_share` of its capacity and reaches all of it after `cold_us`. Sending it `fall_multiple` times its fair share
    within `fall_us` would overload it. `tick_us` is the clock resolution of the host.
    """

    classes: tuple[RequestClass, ...]
    proxies: int = 1
    own_name: int = 0
    zone: str = ""
    must_subscribe: bool = False
    may_cancel: bool = True
    may_overlap: bool = False
    may_probe: bool = False
    may_message: bool = False
    retry_advice: bool = False
    max_attempts: int = 3
    max_advice_us: int = 0
    warm_keys: bool = False
    weights: WeightMeaning = WeightMeaning.NONE
    value_is_per_work: bool = False
    reports: tuple[str, ...] = ()
    reports_in_answers: bool = True
    prices: Prices = field(default_factory=Prices)
    drain_grace_us: int = 0
    ask_within_us: int = 10_000_000
    cold_share: float = 1.0
    cold_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 0
    answer_slack_us: int = 0
    tick_us: int = 1000
    tenants: Mapping[str, float] = field(default_factory=dict)
    retry_share: float = 0.1
    """Retry tokens earned by each first attempt."""
    retry_burst: float = 20.0
    """Capacity of the retry token bucket."""
    retry_from_empty: bool = False
    """Start with an empty bucket, so that restarts of a proxy don't add to a budget shared by many proxies."""

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings.classes: at least one class is needed")
        names = [c.name for c in self.classes]
        if len(set(names)) != len(names):
            raise ValueError("settings.classes: two classes have the same name")
        _require_integer("settings", "proxies", self.proxies, 1)
        _require_integer("settings", "me", self.own_name)
        if self.own_name >= self.proxies:
            raise ValueError(f"settings.me: must be below proxies ({self.proxies}), not {self.own_name}")
        _require_integer("settings", "max_attempts", self.max_attempts, 1)
        for name in ("max_advice_us", "drain_grace_us", "ask_within_us", "cold_us", "fall_us", "answer_slack_us"):
            _require_integer("settings", name, getattr(self, name))
        _require_integer("settings", "tick_us", self.tick_us, 1)
        _require_number("settings", "retry_share", self.retry_share)
        _require_number("settings", "retry_burst", self.retry_burst)
        _require_number("settings", "cold_share", self.cold_share)
        if self.cold_share > 1:
            raise ValueError(f"settings.cold_share: at most 1, not {self.cold_share!r}")
        _require_number("settings", "fall_multiple", self.fall_multiple, positive=True)
        _require_instance("settings", "weights", self.weights, WeightMeaning)


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A server as the server list describes it."""

    server: str
    zone: str = ""
    cell: int = 0
    state: ServerState = ServerState.ACTIVE
    weight: float = 1.0
    started_us: int = 0
    """Clock time of the last start of the server; 0 if unknown or long past."""


@dataclass(frozen=True, slots=True)
class Report:
    """Load figures reported by a server; None for a value that it doesn't report."""

    queue: float | None = None
    service_us: float | None = None
    in_flight: float | None = None
    utilization: float | None = None


@dataclass(frozen=True, slots=True)
class ListChanged:
    """An update of the server list, or the failure of a call to it."""

    version: int
    scope: ListScope
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client request. `is_client_retry` marks a retry by the client itself, `hint_us` is its estimate of the work."""

    request: str
    class_name: str
    give_up_at_us: int
    tenant: str | None = None
    key: str | None = None
    hint_us: int | None = None
    is_client_retry: bool = False
    is_write: bool = False
    is_large: bool = False
    """Too large to send to another zone while a server of the own zone has capacity."""
    cross_zone_cost: float = 1.0
    """Cost of sending the request and its response across zones, as a multiple of `Prices.cross_zone`."""


@dataclass(frozen=True, slots=True)
class StreamBegan:
    """The response to an attempt began to be streamed to the client."""

    request: str
    attempt: int
    server: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended. `final`: the client has its answer, so no further attempt may follow."""

    request: str
    attempt: int
    server: str
    ending: AttemptOutcome
    latency_us: int
    final: bool
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client disconnected before it had an answer."""

    request: str


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a `Probe`."""

    server: str
    ending: AttemptOutcome
    latency_us: int
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer set by the `SetTimer` with this token expired."""

    token: int


@dataclass(frozen=True, slots=True)
class MessageCame:
    """A message from another proxy."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Replaces the settings. Requests in flight keep the class they arrived with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ServerUnhealthy:
    """Other proxies report a failing server: it is ejected as after a fault seen by this proxy."""

    server: str


Event = (
    SettingsChanged
    | ListChanged
    | RequestArrived
    | StreamBegan
    | AttemptEnded
    | ClientGone
    | ProbeEnded
    | ServerUnhealthy
    | TimerFired
    | MessageCame
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start the next attempt of a request. With a timeout of 0 it may take until the client's deadline."""

    request: str
    server: str
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Abort an attempt in flight."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the client with an error: the request may have been executed."""

    request: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Reject the request: the client may safely send it again, after `retry_after_us` if that is not 0."""

    request: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the server list."""


@dataclass(frozen=True, slots=True)
class FetchList:
    """Request one complete snapshot of the server list."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `TimerFired` with this token after the delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a health probe to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another proxy."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line."""

    text: str


Action = Send | Cancel | Fail | Refuse | Subscribe | FetchList | SetTimer | Probe | SendMessage | Log
