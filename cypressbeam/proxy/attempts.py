"""What is known of a request once an attempt at it has ended: whether its server may have run it, or may run it yet.

This is the one table of docs/design/attempts.md. It takes no account of chance: what can't be proven may have happened.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from cypressbeam.balancing.interface import AttemptOutcome, Group, Repeat, RequestClass

#: Statuses that promise: the request has not run and never will (PROTOCOL.md, Answers).
PROMISES = frozenset({408, 421, 429, 503})


class SendProgress(Enum):
    """How much of a request its connection was given. What was given may have left, whatever breaks later: that the
    system holds it back is known of the part that was not taken off, not of the rest."""

    NOTHING = "nothing"
    PART = "part"
    WHOLE = "whole"


class EndCause(Enum):
    """What ended an attempt."""

    NO_CONNECTION = "no connection"
    """Refused, not up in time, no room for it, or not to be used once it was up."""
    ANSWERED = "answered"
    """A whole answer to this very request, by its name where answers have one."""
    CLOSED = "closed"
    """The server closed or reset the connection before that."""
    MALFORMED = "malformed"
    """Bytes that are no answer, that are too many, or that can't be told to belong to this request."""
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"
    """From this side: the client has left, or an error of this program's own."""
    SERVER_GONE = "server gone"
    """The list tells that the process which had it is no more."""


class ReplyKind(Enum):
    """What a whole answer says of its request."""

    SUCCESS = "success"
    SPOILT = "spoilt"
    """A success that lacks the proof that it is the server's own and whole."""
    FAILURE = "failure"
    """Also a status that promises, where the server gives no proof."""
    NOT_EXECUTED = "not executed"
    """With the server's proof that it has not run it and will not."""
    MISDIRECTED = "misdirected"
    """By another server than was meant, which has not run it either."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What becomes of an attempt."""

    ending: AttemptOutcome
    may_have_run: bool
    """Or may run yet. False: it has not and never will."""
    reusable: bool = False
    """The connection may carry another request, if its framing allows."""


UNSENT = AttemptResult(AttemptOutcome.CONNECT_FAILED, may_have_run=False)
UNSENT_CANCELLED = AttemptResult(AttemptOutcome.CANCELLED, may_have_run=False)
BROKEN = {
    cause: AttemptResult(ending, may_have_run=True)
    for cause, ending in (
        (EndCause.CLOSED, AttemptOutcome.RESET),
        (EndCause.MALFORMED, AttemptOutcome.RESET),
        (EndCause.SERVER_GONE, AttemptOutcome.RESET),
        (EndCause.TIMED_OUT, AttemptOutcome.TIMEOUT),
        (EndCause.CANCELLED, AttemptOutcome.CANCELLED),
    )
}
REPLIES = {
    ReplyKind.SUCCESS: (AttemptOutcome.OK, True),
    ReplyKind.SPOILT: (AttemptOutcome.RESET, True),
    ReplyKind.FAILURE: (AttemptOutcome.ERROR, True),
    ReplyKind.NOT_EXECUTED: (AttemptOutcome.FULL, False),
    ReplyKind.MISDIRECTED: (AttemptOutcome.CONNECT_FAILED, False),
}
#: After these the connection is of no more use.
LAST_REPLIES = frozenset({ReplyKind.SPOILT, ReplyKind.MISDIRECTED})
ANSWERED = {
    (sent, reply): AttemptResult(*known, reusable=sent is SendProgress.WHOLE and reply not in LAST_REPLIES)
    for sent in (SendProgress.PART, SendProgress.WHOLE)
    for reply, known in REPLIES.items()
}


def result_of(sent: SendProgress, cause: EndCause, reply: ReplyKind | None = None) -> AttemptResult:
    """The table. An answer (`reply`) goes with Cause.ANSWERED alone. Raises KeyError for what can't be."""
    if sent is SendProgress.NOTHING:
        return UNSENT_CANCELLED if cause is EndCause.CANCELLED else UNSENT
    if cause is EndCause.ANSWERED and reply is not None:
        return ANSWERED[sent, reply]
    return BROKEN[cause]


def is_idempotent(kind: RequestClass) -> bool:
    """Whether a client may send a request of this class again though it may have run."""
    return kind.repeat is Repeat.SAFE or (kind.repeat is Repeat.KEYED and kind.group is Group.ALL)


def may_answer_status(status: int, is_repeatable: bool, may_have_run: Iterable[bool]) -> bool:
    """Whether a status may be the final answer to a request with such attempts: a promise only where all are known
    not to have run, or where a repeat does no harm."""
    return status not in PROMISES or is_repeatable or not any(may_have_run)
