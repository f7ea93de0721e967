"""Messages of chain replication: write and read requests with their replies, and entries along the chain (chain.py).

`ident` is a random number by which a reply finds its request at the node that took it (`origin`, an address).
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame
from cypressbeam.protocol.frames.validation import check_epochs, check_number, require


@dataclass(frozen=True, slots=True)
class WriteRequest(Frame):
    """A write request: the node that took an operator's call sends a new configuration to the head of the chain."""

    CODE = 10
    FIELDS = "qsqdc"
    request_id: int
    origin: str
    base: int
    """The revision that the write is conditional on."""
    body: bytes
    """The configuration; on the wire its digest."""
    hops: int = 0
    """How often the core has passed it on: while views differ two machines may each hold the other for the head."""


@dataclass(frozen=True, slots=True)
class WriteResult(Frame):
    """The reply to `WriteRequest`, from the member that decided it to the request's origin."""

    CODE = 11
    FIELDS = "qhs"
    request_id: int
    status: int
    """An HTTP status: 200 committed, 400 invalid, 412 another revision is current, 503 to be sent again."""
    text: str
    """A line for the operator."""


@dataclass(frozen=True, slots=True)
class ForwardEntry(Frame):
    """An entry on its way down the chain, from each member to its successor once it is on the sender's disk."""

    CODE = 12
    FIELDS = "qqqqdqs"
    epoch: int
    """Of the view; members of another one refuse the entry."""
    number: int
    """The entry's place in the log, from 1 on."""
    revision: int
    """The configuration's own revision."""
    base: int
    """The revision before it."""
    body: bytes
    request_id: int
    """Of the write request that the tail is to answer; 0: none."""
    origin: str
    """Where that request came from; nothing: none."""

    def check(self) -> None:
        """The entry has a number and a body."""
        check_epochs(self, self.epoch)
        require(self.number > 0, self, "it has no number")
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class CommitNotice(Frame):
    """An acknowledgement up the chain, from each member to its predecessor: the tail has synced all entries up to this
    one."""

    CODE = 13
    FIELDS = "qq"
    epoch: int
    number: int
    """The number of the newest committed entry."""


@dataclass(frozen=True, slots=True)
class ReadRequest(Frame):
    """A read request: the node that took an operator's call asks the tail for the newest configuration."""

    CODE = 14
    FIELDS = "qsc"
    request_id: int
    origin: str
    hops: int = 0
    """As in `WriteRequest`."""


@dataclass(frozen=True, slots=True)
class ReadResult(Frame):
    """The reply to `ReadRequest`, from the tail to the request's origin."""

    CODE = 15
    FIELDS = "qhd"
    request_id: int
    status: int
    """An HTTP status: 200, or 404 where there is no configuration yet."""
    body: bytes
    """The configuration; on the wire its digest."""
