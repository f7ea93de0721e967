"""Messages of the core's consensus: founding, heartbeats, ballots, and the leader's check of its epoch (replica.py).

Members are named by address and identity of their disk. A view is an epoch, a chain (head to tail) and the group whose
majority decides the next view.
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame
from cypressbeam.protocol.frames.validation import check_epochs, check_member, check_number, check_view, require


@dataclass(frozen=True, slots=True)
class BootstrapRequest(Frame):
    """The first seed proposes the first view to its members, in the order of the chain."""

    CODE = 16
    FIELDS = "ql"
    epoch: int
    chain: tuple[str, ...]
    """Names of all members, from head to tail."""

    def check(self) -> None:
        """The chain is a group."""
        check_view(self, self.epoch, self.chain, self.chain)


@dataclass(frozen=True, slots=True)
class BootstrapAck(Frame):
    """The reply to `BootstrapRequest`: a view is on the member's disk, be it this one or an earlier one."""

    CODE = 17
    FIELDS = "sql"
    name: str
    """The member's name."""
    epoch: int
    chain: tuple[str, ...]
    """Of the view that it holds."""

    def check(self) -> None:
        """The sender is a member."""
        check_member(self, self.name)
        check_epochs(self, self.epoch)


@dataclass(frozen=True, slots=True)
class ReplicaHeartbeat(Frame):
    """Heartbeat between members, and from machines that stand by; each is echoed at once, which proves contact. It
    carries the sender's high-water marks, by which a rollback of its disk is detected (rollback_detection.py)."""

    CODE = 18
    FIELDS = "sqqccqqqqqqq"
    name: str
    """The sender's name."""
    epoch: int
    """Of the view that it holds."""
    promised: int
    """The epoch that it has promised."""
    disk_flags: int
    """0: it refuses writes, or the sender is a machine that leaves; otherwise 1, and twice the version of the sender's
    check of configurations."""
    disk_state: int = 1
    """What its disk counts for: EMPTY, LEVEL or COUNTED (replica.py)."""
    sequence: int = 0
    """To be echoed; 0: not to be answered."""
    echoed_sequence: int = 0
    """The number of the heartbeat that this one answers, or 0."""
    incarnation: int = 0
    """How often its process has been started from this disk."""
    draw: int = 0
    """A random number that was drawn for this incarnation."""
    durable_promise: int = 0
    """The promise that is on disk; a higher one may be on its way there."""
    stored_epoch: int = 0
    """The epoch of the newest view on disk."""
    stored_number: int = 0
    """The number of the newest entry on disk."""

    def check(self) -> None:
        """The sender is a member, and its promise is not below its view."""
        check_member(self, self.name)
        check_epochs(self, self.epoch, self.promised)
        require(self.epoch <= self.promised, self, "a promise below the view that is held")


@dataclass(frozen=True, slots=True)
class ViewAnnouncement(Frame):
    """The newest view, sent to a member whose heartbeat named an older one."""

    CODE = 19
    FIELDS = "qll"
    epoch: int
    chain: tuple[str, ...]
    group: tuple[str, ...]

    def check(self) -> None:
        """The view is one."""
        check_view(self, self.epoch, self.chain, self.group)


@dataclass(frozen=True, slots=True)
class Prepare(Frame):
    """Phase 1 of a ballot: a proposer asks each member of the group to take part in no lower epoch."""

    CODE = 20
    FIELDS = "qsq"
    epoch: int
    """The ballot."""
    name: str
    """The proposer's name."""
    digests_since: int = 0
    """The revision up to which the proposer's deduplication table is complete."""

    def check(self) -> None:
        """The sender is a member."""
        check_epochs(self, self.epoch)
        check_member(self, self.name)


@dataclass(frozen=True, slots=True)
class Promise(Frame):
    """The reply to `Prepare`, once the promise is on the member's disk: what the member holds."""

    CODE = 21
    FIELDS = "qsqllqqqqdbqqq"
    epoch: int
    """The ballot."""
    name: str
    """The member's name."""
    view_epoch: int
    """The epoch of the newest view that it knows."""
    chain: tuple[str, ...]
    """Of that view."""
    group: tuple[str, ...]
    """Of that view."""
    number: int
    """Of its newest entry; 0: none."""
    entry_epoch: int
    """The epoch in which that entry was written."""
    revision: int
    """That entry's revision."""
    base: int
    """The revision before it."""
    body: bytes
    """Its configuration; on the wire its digest."""
    applied_digests: bytes
    """Digests of applied writes above the revision that the proposer named (deduplication.py)."""
    incarnation: int = 0
    """As in `ReplicaHeartbeat`."""
    draw: int = 0
    """As in `ReplicaHeartbeat`."""
    stored_epoch: int = 0
    """The epoch of the newest view on the sender's disk; `view` may be one that it only knows of."""

    def check(self) -> None:
        """View and entry are sound, and the entry is below the ballot."""
        check_member(self, self.name)
        check_view(self, self.view_epoch, self.chain, self.group)
        check_epochs(self, self.epoch, self.entry_epoch)
        require(self.entry_epoch < self.epoch, self, "it tells of an entry above its promise")
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class Accept(Frame):
    """Phase 2 of a ballot: the proposer sends the new view, and the entry that its whole chain begins with."""

    CODE = 22
    FIELDS = "qllqqqdbq"
    epoch: int
    """The ballot, which is the view's epoch."""
    chain: tuple[str, ...]
    group: tuple[str, ...]
    number: int
    """Of the entry; 0: there is none yet."""
    revision: int
    base: int
    body: bytes
    applied_digests: bytes
    """Digests of applied writes above `since` (deduplication.py)."""
    digests_since: int = 0
    """The revision up to which the receiver has reported that it holds the digests."""

    def check(self) -> None:
        """View and entry are sound."""
        check_view(self, self.epoch, self.chain, self.group)
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class QuorumReadCheck(Frame):
    """Read index: before it answers, the tail asks each member whether its epoch is still the newest promised one."""

    CODE = 23
    FIELDS = "qqs"
    epoch: int
    """Of the tail's view."""
    request_id: int
    """Of the request that waits."""
    origin: str
    """The tail's address."""


@dataclass(frozen=True, slots=True)
class QuorumReadAck(Frame):
    """The reply to `QuorumReadCheck` of a member that has promised no higher epoch."""

    CODE = 24
    FIELDS = "qqs"
    epoch: int
    request_id: int
    name: str
    """The member's name."""

    def check(self) -> None:
        """The sender is a member."""
        check_epochs(self, self.epoch)
        check_member(self, self.name)


@dataclass(frozen=True, slots=True)
class RollbackNotice(Frame):
    """Rollback detection: a member sends another one, whose heartbeat reported less than an earlier one, the highest
    marks that it told. One that has less on its disk starts with an empty one (rollback_detection.py)."""

    CODE = 48
    FIELDS = "sqqqqq"
    name: str
    """The receiver's name."""
    incarnation: int
    draw: int
    promised: int
    epoch: int
    """Of the newest view on its disk."""
    number: int
    """Of the newest entry on its disk."""
