"""Messages of the core's consensus (replica.py): bootstrap, heartbeats, ballots, read index and rollback detection.

A member's name consists of its address and the identity of its disk. A view consists of an epoch, a chain (from head to
tail) and the group whose majority decides on the next view.
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame
from cypressbeam.protocol.frames.validation import check_epochs, check_member, check_number, check_view, require


@dataclass(frozen=True, slots=True)
class BootstrapRequest(Frame):
    """The arbiter of the bootstrap proposes the first view to its members."""

    CODE = 16
    FIELDS = "ql"
    epoch: int
    chain: tuple[str, ...]
    """Names of all members, from head to tail."""

    def check(self) -> None:
        """Checks that the chain is a valid group."""
        check_view(self, self.epoch, self.chain, self.chain)


@dataclass(frozen=True, slots=True)
class BootstrapPrepare(Frame):
    """A seed that takes over the bootstrap asks a machine to accept no view of an earlier seed. The reply is
    `BootstrapPromise`, or `BootstrapAck` from a machine that has a view."""

    CODE = 54
    FIELDS = "e"
    epoch: int
    """The epoch of the view that the sender may propose."""


@dataclass(frozen=True, slots=True)
class BootstrapPromise(Frame):
    """The promise that `BootstrapPrepare` asks for; it is on disk."""

    CODE = 55
    FIELDS = "se"
    name: str
    """The name of the machine."""
    epoch: int

    def check(self) -> None:
        """Checks that the sender is a valid member."""
        check_member(self, self.name)
        check_epochs(self, self.epoch)


@dataclass(frozen=True, slots=True)
class BootstrapAck(Frame):
    """The reply to `BootstrapRequest`: the member has a view on disk, either the proposed one or an earlier one."""

    CODE = 17
    FIELDS = "sql"
    name: str
    """The name of the member."""
    epoch: int
    chain: tuple[str, ...]
    """The chain of the member's view."""

    def check(self) -> None:
        """Checks that the sender is a valid member."""
        check_member(self, self.name)
        check_epochs(self, self.epoch)


@dataclass(frozen=True, slots=True)
class ReplicaHeartbeat(Frame):
    """A heartbeat between members, and from spares. The receiver echoes it immediately, which proves contact. The
    high-water marks of the sender serve to detect a rollback of its disk (rollback_detection.py)."""

    CODE = 18
    FIELDS = "sqqccqqqqqqq"
    name: str
    """The name of the sender."""
    epoch: int
    """The epoch of the sender's view."""
    promised: int
    """The epoch that the sender has promised."""
    disk_flags: int
    """0 if the disk rejects writes or the sender is leaving; otherwise 1, plus twice the version of the sender's
    configuration validation rules."""
    disk_state: int = 1
    """A value of `DiskState` (state.py): EMPTY, VOTER or LEARNER."""
    sequence: int = 0
    """The sequence number that the receiver echoes; 0: no reply is needed."""
    echoed_sequence: int = 0
    """The sequence number of the heartbeat that this one replies to; 0: none."""
    incarnation: int = 0
    """How many times a process has started from the sender's disk."""
    draw: int = 0
    """A random number that was generated for this incarnation."""
    durable_promise: int = 0
    """The promise on disk; a higher one may not be written yet."""
    stored_epoch: int = 0
    """The epoch of the newest view on disk."""
    stored_number: int = 0
    """The number of the newest entry on disk."""

    def check(self) -> None:
        """Checks that the sender is a valid member whose promise is not below its view."""
        check_member(self, self.name)
        check_epochs(self, self.epoch, self.promised)
        require(self.epoch <= self.promised, self, "the promise is below the view that is held")


@dataclass(frozen=True, slots=True)
class ViewAnnouncement(Frame):
    """The newest view, sent to a member whose heartbeat contained an older epoch."""

    CODE = 19
    FIELDS = "qll"
    epoch: int
    chain: tuple[str, ...]
    group: tuple[str, ...]

    def check(self) -> None:
        """Checks that the view is valid."""
        check_view(self, self.epoch, self.chain, self.group)


@dataclass(frozen=True, slots=True)
class Prepare(Frame):
    """Phase 1 of a ballot: a proposer asks each member of the group to promise not to take part in lower epochs."""

    CODE = 20
    FIELDS = "qsq"
    epoch: int
    """The epoch of the ballot."""
    name: str
    """The name of the proposer."""
    digests_since: int = 0
    """The revision up to which the proposer's deduplication table is complete."""

    def check(self) -> None:
        """Checks that the sender is a valid member."""
        check_epochs(self, self.epoch)
        check_member(self, self.name)


@dataclass(frozen=True, slots=True)
class Promise(Frame):
    """The reply to `Prepare`, once the promise is on the member's disk: the member's newest view and entry."""

    CODE = 21
    FIELDS = "qsqllqqqqdbqqq"
    epoch: int
    """The epoch of the ballot."""
    name: str
    """The name of the member."""
    view_epoch: int
    """The epoch of the newest view that the member knows."""
    chain: tuple[str, ...]
    """The chain of that view."""
    group: tuple[str, ...]
    """The group of that view."""
    number: int
    """The number of the member's newest entry; 0: none."""
    entry_epoch: int
    """The epoch in which that entry was written."""
    revision: int
    """The revision of that entry."""
    base: int
    """The previous revision."""
    body: bytes
    """The configuration of that entry; its digest on the wire."""
    applied_digests: bytes
    """Digests of applied writes above the revision in `Prepare` (deduplication.py)."""
    incarnation: int = 0
    """As in `ReplicaHeartbeat`."""
    draw: int = 0
    """As in `ReplicaHeartbeat`."""
    stored_epoch: int = 0
    """The epoch of the newest view on the member's disk. `view_epoch` may be that of a view that is not on disk."""

    def check(self) -> None:
        """Checks that view and entry are valid, and that the entry is from an epoch below the ballot."""
        check_member(self, self.name)
        check_view(self, self.view_epoch, self.chain, self.group)
        check_epochs(self, self.epoch, self.entry_epoch)
        require(self.entry_epoch < self.epoch, self, "the epoch of the entry is not below the ballot")
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class Accept(Frame):
    """Phase 2 of a ballot: the proposer sends the new view, and the entry with which all members of its chain start."""

    CODE = 22
    FIELDS = "qllqqqdbq"
    epoch: int
    """The epoch of the ballot, and of the new view."""
    chain: tuple[str, ...]
    group: tuple[str, ...]
    number: int
    """The number of the entry; 0: there is none yet."""
    revision: int
    base: int
    body: bytes
    applied_digests: bytes
    """Digests of applied writes above `digests_since` (deduplication.py)."""
    digests_since: int = 0
    """The revision up to which the receiver has reported that it has the digests."""

    def check(self) -> None:
        """Checks that view and entry are valid."""
        check_view(self, self.epoch, self.chain, self.group)
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class QuorumReadCheck(Frame):
    """Read index: before a read, the tail asks each member whether its epoch is still the newest promised one."""

    CODE = 23
    FIELDS = "qqs"
    epoch: int
    """The epoch of the tail's view."""
    request_id: int
    """The pending request."""
    origin: str
    """The address of the tail."""


@dataclass(frozen=True, slots=True)
class QuorumReadAck(Frame):
    """The reply to `QuorumReadCheck` from a member that has not promised a higher epoch."""

    CODE = 24
    FIELDS = "qqs"
    epoch: int
    request_id: int
    name: str
    """The name of the member."""

    def check(self) -> None:
        """Checks that the sender is a valid member."""
        check_epochs(self, self.epoch)
        check_member(self, self.name)


@dataclass(frozen=True, slots=True)
class RollbackNotice(Frame):
    """Rollback detection (rollback_detection.py): sent to a member whose heartbeat reported less than an earlier one,
    with the highest marks that the member has reported. If its disk has less, it starts with an empty one."""

    CODE = 48
    FIELDS = "sqqqqq"
    name: str
    """The name of the receiver."""
    incarnation: int
    draw: int
    promised: int
    epoch: int
    """The epoch of the newest view that it reported to be on disk."""
    number: int
    """The number of the newest entry that it reported to be on disk."""
