"""Messages for membership changes of the core: an operator's request, and the state transfer to a new member."""

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
    """A membership change. The node that received an operator's call sends it to the head of the chain and repeats it
    until the change is done."""

    CODE = 42
    FIELDS = "qscsslc"
    request_id: int
    """A random number that matches the reply to the request."""
    origin: str
    """The address of the node that received the call."""
    kind: int
    """1: add `new`; 2: remove `old`; 3: both, in this order."""
    old: str
    """An address, or empty."""
    new: str
    """An address, or empty."""
    base: tuple[str, ...]
    """The change applies only if these are the addresses of the current group."""
    hops: int = 0
    """How many times the core has forwarded the request."""

    def check(self) -> None:
        """Checks that the kind of change and the group are valid."""
        require(self.kind in (ADD_MEMBER, REMOVE_MEMBER, REPLACE_MEMBER), self, f"change {self.kind} cannot be")
        require(0 < len(self.base) == len(set(self.base)) <= MAX_GROUP_SIZE, self, "its group cannot be")


@dataclass(frozen=True, slots=True)
class MembershipChangeStatus(Frame):
    """The reply to `MembershipChangeRequest`, from the head to the request's origin: the progress of the change."""

    CODE = 43
    FIELDS = "qhsl"
    request_id: int
    status: int
    """An HTTP status: 200 done, 202 in progress, 404, 409 or 412 rejected."""
    text: str
    """One line for the operator."""
    group: tuple[str, ...]
    """The addresses of the current group."""


@dataclass(frozen=True, slots=True)
class CatchUp(Frame):
    """State transfer: the head sends its view and newest entry to a spare that is about to become a member."""

    CODE = 44
    FIELDS = "ssqllqqqqdb"
    name: str
    """The name of the receiver."""
    origin: str
    """The address of the head."""
    epoch: int
    """The epoch of the view."""
    chain: tuple[str, ...]
    group: tuple[str, ...]
    number: int
    """The number of the entry; 0: there is none yet."""
    entry_epoch: int
    """The epoch in which the entry was written."""
    revision: int
    base: int
    body: bytes
    applied_digests: bytes
    """The deduplication table in the first message of a transfer, then empty (deduplication.py)."""

    def check(self) -> None:
        """Checks that receiver, view and entry are valid."""
        check_member(self, self.name)
        check_view(self, self.epoch, self.chain, self.group)
        check_epochs(self, self.entry_epoch)
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class CatchUpAck(Frame):
    """The reply to `CatchUp`: the spare has the view on disk and the body of the entry."""

    CODE = 45
    FIELDS = "sqqb"
    name: str
    """The name of the sender."""
    epoch: int
    number: int
    digest: bytes
    """The digest of the body; empty if there is no entry yet."""

    def check(self) -> None:
        """Checks that the sender is a valid member and that an entry has a digest."""
        check_member(self, self.name)
        check_epochs(self, self.epoch)
        require(
            len(self.digest) == (DIGEST_BYTES if self.number else 0),
            self,
            "the length of the digest does not match the entry",
        )
