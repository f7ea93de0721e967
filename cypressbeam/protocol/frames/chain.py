"""Messages of chain replication: write and read requests with their replies, and entries along the chain (chain.py).

`ident` is a random number by which a reply finds its request at the node that took it (`origin`, an address).
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame
from cypressbeam.protocol.frames.validation import check_epochs, check_number, demand


@dataclass(frozen=True, slots=True)
class Order(Frame):
    """A write request: the node that took an operator's call sends a new configuration to the head of the chain."""

    KIND = 10
    FORM = "qsqdc"
    ident: int
    origin: str
    base: int
    """The revision that the write is conditional on."""
    body: bytes
    """The configuration; on the wire its digest."""
    hops: int = 0
    """How often the core has passed it on: while views differ two machines may each hold the other for the head."""


@dataclass(frozen=True, slots=True)
class Outcome(Frame):
    """The reply to `Order`, from the member that decided it to the request's origin."""

    KIND = 11
    FORM = "qhs"
    ident: int
    status: int
    """An HTTP status: 200 committed, 400 invalid, 412 another revision is current, 503 to be sent again."""
    text: str
    """A line for the operator."""


@dataclass(frozen=True, slots=True)
class Forward(Frame):
    """An entry on its way down the chain, from each member to its successor once it is on the sender's disk."""

    KIND = 12
    FORM = "qqqqdqs"
    epoch: int
    """Of the view; members of another one refuse the entry."""
    number: int
    """The entry's place in the log, from 1 on."""
    revision: int
    """The configuration's own revision."""
    base: int
    """The revision before it."""
    body: bytes
    ident: int
    """Of the write request that the tail is to answer; 0: none."""
    origin: str
    """Where that request came from; nothing: none."""

    def check(self) -> None:
        """The entry has a number and a body."""
        check_epochs(self, self.epoch)
        demand(self.number > 0, self, "it has no number")
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class Committed(Frame):
    """An acknowledgement up the chain, from each member to its predecessor: the tail has synced all entries up to this
    one."""

    KIND = 13
    FORM = "qq"
    epoch: int
    number: int
    """The number of the newest committed entry."""


@dataclass(frozen=True, slots=True)
class Read(Frame):
    """A read request: the node that took an operator's call asks the tail for the newest configuration."""

    KIND = 14
    FORM = "qsc"
    ident: int
    origin: str
    hops: int = 0
    """As in `Order`."""


@dataclass(frozen=True, slots=True)
class Reading(Frame):
    """The reply to `Read`, from the tail to the request's origin."""

    KIND = 15
    FORM = "qhd"
    ident: int
    status: int
    """An HTTP status: 200, or 404 where there is no configuration yet."""
    body: bytes
    """The configuration; on the wire its digest."""
