"""Messages of the status query, by which any node reports the state of the core to an operator (state_query.py)."""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame

#: Flags of a machine of the core: its view is active, its disk accepts writes, it is the root.
VIEW_ACTIVE, DISK_WORKS, IS_ROOT = 1, 2, 4


@dataclass(frozen=True, slots=True)
class StatusQuery(Frame):
    """A status query from the node that received an operator's call to each machine of the core."""

    CODE = 25
    FIELDS = "qs"
    request_id: int
    """A random number that matches replies to the query."""
    origin: str
    """The address of the querying node."""


@dataclass(frozen=True, slots=True)
class ReplicaStatus(Frame):
    """The reply to `StatusQuery`: the state of a machine of the core."""

    CODE = 26
    FIELDS = "qsqllqqqqc"
    request_id: int
    name: str
    """The member name of the machine."""
    epoch: int
    """The epoch of its view."""
    chain: tuple[str, ...]
    group: tuple[str, ...]
    promised: int
    """The epoch that the machine has promised."""
    number: int
    """The number of its newest entry; 0: none."""
    revision: int
    """The revision of that entry."""
    committed: int
    """The number of the newest entry that it knows to be committed."""
    flags: int
    """A combination of VIEW_ACTIVE, DISK_WORKS and IS_ROOT."""


@dataclass(frozen=True, slots=True)
class PlatformStatus(Frame):
    """Sent by the leader along with `ReplicaStatus`: how its polls of the platform's endpoint list go."""

    CODE = 53
    FIELDS = "qsqs"
    request_id: int
    address: str
    """Host and port of the platform."""
    failing_ms: int = 0
    """For how long polls have failed, in ms; 0: the last one succeeded."""
    error: str = ""
    """The last error."""


@dataclass(frozen=True, slots=True)
class SpareAnnouncement(Frame):
    """Sent along with `ReplicaStatus`: the spares, and from the head also the silent members."""

    CODE = 46
    FIELDS = "qslls"
    request_id: int
    name: str
    """The name of the sender."""
    spares: tuple[str, ...]
    """Names of the spares that the sender receives heartbeats from."""
    silent_members: tuple[str, ...]
    """For each silent member, its address and the seconds since its last heartbeat."""
    replacement_status: str
    """What an automatic replacement is waiting for, as text; otherwise empty."""
