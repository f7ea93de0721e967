"""Messages of the status survey, by which any node tells an operator the state of the core (state_query.py)."""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame

#: Flags of a machine of the core: it holds a view that is active, its disk takes writes, it is the root.
VIEW_ACTIVE, DISK_WORKS, IS_ROOT = 1, 2, 4


@dataclass(frozen=True, slots=True)
class StatusQuery(Frame):
    """A status query, from the node that an operator asked to each machine of the core."""

    CODE = 25
    FIELDS = "qs"
    request_id: int
    """A random number by which replies find the query."""
    origin: str
    """The querying node's address."""


@dataclass(frozen=True, slots=True)
class ReplicaStatus(Frame):
    """The reply to `StatusQuery`: what a machine of the core holds."""

    CODE = 26
    FIELDS = "qsqllqqqqc"
    request_id: int
    name: str
    """The machine's name as a member."""
    epoch: int
    """Of its view."""
    chain: tuple[str, ...]
    group: tuple[str, ...]
    promised: int
    """The epoch that it has promised."""
    number: int
    """Of its newest entry; 0: none."""
    revision: int
    """Of that entry."""
    committed: int
    """The number up to which it knows all entries to be committed."""
    flags: int
    """ACTIVE, DISK_WORKS, ROOT."""


@dataclass(frozen=True, slots=True)
class SpareAnnouncement(Frame):
    """Sent beside `ReplicaStatus`: the spares, and at the head also the members that are silent."""

    CODE = 46
    FIELDS = "qslls"
    request_id: int
    name: str
    """The sender's name."""
    spares: tuple[str, ...]
    """Names of machines that stand by, as the sender hears them."""
    silent_members: tuple[str, ...]
    """A member's address and the seconds since it was heard, each."""
    replacement_status: str
    """What an automatic replacement waits for, in words; or nothing."""
