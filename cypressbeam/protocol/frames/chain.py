"""Messages of chain replication (chain.py): write and read requests, their replies, and the forwarding of entries.

`request_id` is a random number that matches a reply to its request at `origin`, the address of the node that received
the operator's call.
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame
from cypressbeam.protocol.frames.validation import check_epochs, check_number, require


@dataclass(frozen=True, slots=True)
class WriteRequest(Frame):
    """A write request: the node that received an operator's call sends a new configuration to the head of the chain."""

    CODE = 10
    FIELDS = "qsqdc"
    request_id: int
    origin: str
    base: int
    """The write applies only if this is the current revision."""
    body: bytes
    """The configuration; its digest on the wire."""
    hops: int = 0
    """How many times the core has forwarded the request, to limit loops: while views differ, two machines may each take
    the other for the head."""


@dataclass(frozen=True, slots=True)
class WriteResult(Frame):
    """The reply to `WriteRequest`, from the member that decided on it to the origin of the request."""

    CODE = 11
    FIELDS = "qhs"
    request_id: int
    status: int
    """An HTTP status: 200 committed, 400 invalid, 412 another revision is current, 503 retry."""
    text: str
    """One line for the operator."""


@dataclass(frozen=True, slots=True)
class ForwardEntry(Frame):
    """Forwards an entry down the chain: a member sends it to its successor once it is on its own disk."""

    CODE = 12
    FIELDS = "qqqqdqs"
    epoch: int
    """The epoch of the sender's view. Members with another view reject the entry."""
    number: int
    """The position of the entry in the log, starting at 1."""
    revision: int
    """The revision of the configuration."""
    base: int
    """The previous revision."""
    body: bytes
    request_id: int
    """The write request that the tail replies to; 0: none."""
    origin: str
    """The origin of that request; empty if there is none."""

    def check(self) -> None:
        """Checks that the entry has a number and a body."""
        check_epochs(self, self.epoch)
        require(self.number > 0, self, "the entry has no number")
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class CommitNotice(Frame):
    """An acknowledgement up the chain, from each member to its predecessor: the tail has synced all entries up to this
    one, which are thereby committed."""

    CODE = 13
    FIELDS = "qq"
    epoch: int
    number: int
    """The number of the newest committed entry."""


@dataclass(frozen=True, slots=True)
class ReadRequest(Frame):
    """A read request: the node that received an operator's call asks the tail for the newest configuration."""

    CODE = 14
    FIELDS = "qsc"
    request_id: int
    origin: str
    hops: int = 0
    """As in `WriteRequest`."""


@dataclass(frozen=True, slots=True)
class ReadResult(Frame):
    """The reply to `ReadRequest`, from the tail to the origin of the request."""

    CODE = 15
    FIELDS = "qhd"
    request_id: int
    status: int
    """An HTTP status: 200, or 404 if there is no configuration yet."""
    body: bytes
    """The configuration; its digest on the wire."""
