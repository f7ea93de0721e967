"""Messages that change the core's group: an operator's request, and the state transfer to a new member."""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import DIGEST, Frame
from cypressbeam.protocol.frames.validation import (
    MOST_NAMED,
    check_epochs,
    check_member,
    check_number,
    check_view,
    demand,
)

ADD_MEMBER, REMOVE_MEMBER, REPLACE_MEMBER = 1, 2, 3


@dataclass(frozen=True, slots=True)
class Change(Frame):
    """A membership change: the node that took an operator's call sends it to the head of the chain, again and again
    until it is done."""

    KIND = 42
    FORM = "qscsslc"
    ident: int
    """A random number by which the reply finds the request."""
    origin: str
    """The address of the node that took the call."""
    change: int
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
        demand(self.change in (ADD_MEMBER, REMOVE_MEMBER, REPLACE_MEMBER), self, f"change {self.change} cannot be")
        demand(0 < len(self.base) == len(set(self.base)) <= MOST_NAMED, self, "its group cannot be")


@dataclass(frozen=True, slots=True)
class Progress(Frame):
    """The reply to `Change`, from the head to the request's origin: how far the change is."""

    KIND = 43
    FORM = "qhsl"
    ident: int
    status: int
    """An HTTP status: 200 done, 202 under way, 404, 409 or 412 refused."""
    text: str
    """A line for the operator."""
    group: tuple[str, ...]
    """The group's addresses now."""


@dataclass(frozen=True, slots=True)
class Level(Frame):
    """State transfer: the head sends its view and newest entry to a machine that stands by and is to be a member."""

    KIND = 44
    FORM = "ssqllqqqqdb"
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
    taken: bytes
    """The deduplication table, the first time; later nothing (deduplication.py)."""

    def check(self) -> None:
        """View and entry are sound."""
        check_member(self, self.name)
        check_view(self, self.epoch, self.chain, self.group)
        check_epochs(self, self.entry_epoch)
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class Levelled(Frame):
    """The reply to `Level`: a view is on the disk of the machine that stands by, and that entry's body is there."""

    KIND = 45
    FORM = "sqqb"
    name: str
    """The sender's name."""
    epoch: int
    number: int
    mark: bytes
    """The body's digest; nothing where there is no entry yet."""

    def check(self) -> None:
        """An entry has a digest."""
        check_member(self, self.name)
        check_epochs(self, self.epoch)
        demand(len(self.mark) == (DIGEST if self.number else 0), self, "its digest cannot be")
