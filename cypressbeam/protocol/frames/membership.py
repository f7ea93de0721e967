"""Messages that change the core's group: an operator's request, and the state transfer to a new member."""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import DIGEST_BYTES, Frame
from cypressbeam.protocol.frames.validation import (
    MAX_GROUP_SIZE,
    check_epochs,
    check_member,
    check_number,
    check_view,
    require,
)

ADD_MEMBER, REMOVE_MEMBER, REPLACE_MEMBER = 1, 2, 3


@dataclass(frozen=True, slots=True)
class MembershipChangeRequest(Frame):
    """A membership change: the node that took an operator's call sends it to the head of the chain, again and again
    until it is done."""

    CODE = 42
    FIELDS = "qscsslc"
    request_id: int
    """A random number by which the reply finds the request."""
    origin: str
    """The address of the node that took the call."""
    kind: int
    """1: add `new`; 2: remove `old`; 3: both, in this order."""
    old: str
    """An address, or nothing."""
    new: str
    """An address, or nothing."""
    base: tuple[str, ...]
    """The addresses of the group that the change is conditional on."""
    hops: int = 0
    """How often the core has passed it on."""

    def check(self) -> None:
        """The kind of change and the group are possible."""
        require(self.kind in (ADD_MEMBER, REMOVE_MEMBER, REPLACE_MEMBER), self, f"change {self.kind} cannot be")
        require(0 < len(self.base) == len(set(self.base)) <= MAX_GROUP_SIZE, self, "its group cannot be")


@dataclass(frozen=True, slots=True)
class MembershipChangeStatus(Frame):
    """The reply to `MembershipChangeRequest`, from the head to the request's origin: how far the change is."""

    CODE = 43
    FIELDS = "qhsl"
    request_id: int
    status: int
    """An HTTP status: 200 done, 202 under way, 404, 409 or 412 refused."""
    text: str
    """A line for the operator."""
    group: tuple[str, ...]
    """The group's addresses now."""


@dataclass(frozen=True, slots=True)
class CatchUp(Frame):
    """State transfer: the head sends its view and newest entry to a machine that stands by and is to be a member."""

    CODE = 44
    FIELDS = "ssqllqqqqdb"
    name: str
    """The receiver's name."""
    origin: str
    """The head's address."""
    epoch: int
    """Of the view."""
    chain: tuple[str, ...]
    group: tuple[str, ...]
    number: int
    """Of the entry; 0: there is none yet."""
    entry_epoch: int
    """The epoch in which the entry was written."""
    revision: int
    base: int
    body: bytes
    applied_digests: bytes
    """The deduplication table, the first time; later nothing (deduplication.py)."""

    def check(self) -> None:
        """View and entry are sound."""
        check_member(self, self.name)
        check_view(self, self.epoch, self.chain, self.group)
        check_epochs(self, self.entry_epoch)
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class CatchUpAck(Frame):
    """The reply to `CatchUp`: a view is on the disk of the machine that stands by, and that entry's body is there."""

    CODE = 45
    FIELDS = "sqqb"
    name: str
    """The sender's name."""
    epoch: int
    number: int
    digest: bytes
    """The body's digest; nothing where there is no entry yet."""

    def check(self) -> None:
        """An entry has a digest."""
        check_member(self, self.name)
        check_epochs(self, self.epoch)
        require(len(self.digest) == (DIGEST_BYTES if self.number else 0), self, "its digest cannot be")
