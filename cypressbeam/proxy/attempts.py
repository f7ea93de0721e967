"""Decides, when an attempt ends, whether its server may have executed the request or may still execute it.

This is the table in docs/design/attempts.md. Probability plays no part: whatever can't be ruled out may have happened.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from cypressbeam.balancing.interface import AttemptOutcome, Group, Repeat, RequestClass

#: Statuses that guarantee that the request was not executed and never will be (PROTOCOL.md, Answers).
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class SendProgress(Enum):
    """How much of a request was written to its connection. Written bytes may have been sent even if the connection
    breaks later; only bytes that are still in the transport's buffer are known to be unsent."""

    NOTHING = "nothing"
    PART = "part"
    WHOLE = "whole"


class EndCause(Enum):
    """Why an attempt ended."""

    NO_CONNECTION = "no connection"
    """The connection was refused, timed out, exceeded the limit, or was no longer usable once established."""
    ANSWERED = "answered"
    """A complete response to this request, matched by request ID where responses carry one."""
    CLOSED = "closed"
    """The server closed or reset the connection before a complete response."""
    MALFORMED = "malformed"
    """The bytes are not a valid response, exceed a limit, or can't be attributed to this request."""
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"
    """Stopped by this node: the client disconnected, or an internal error occurred."""
    SERVER_GONE = "server gone"
    """The server list shows that the process that received the request no longer exists."""


class ReplyKind(Enum):
    """What a complete response says about its request."""

    SUCCESS = "success"
    INVALID = "spoilt"
    """A success without proof that it is the server's own and complete."""
    FAILURE = "failure"
    """Includes a status of `NOT_EXECUTED_STATUSES` without proof from the server."""
    NOT_EXECUTED = "not executed"
    """The server proves that it has not executed the request and will not."""
    MISDIRECTED = "misdirected"
    """Sent by a server other than the intended one, which has not executed the request either."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The outcome of an attempt."""

    ending: AttemptOutcome
    may_have_run: bool
    """The server has executed the request, or may yet. False: it has not and never will."""
    reusable: bool = False
    """The connection may carry another request, if the framing of the response allows it."""


UNSENT = AttemptResult(AttemptOutcome.CONNECT_FAILED, may_have_run=False)
UNSENT_CANCELLED = AttemptResult(AttemptOutcome.CANCELLED, may_have_run=False)
UNANSWERED = {
    cause: AttemptResult(ending, may_have_run=True)
    for cause, ending in (
        (EndCause.CLOSED, AttemptOutcome.RESET),
        (EndCause.MALFORMED, AttemptOutcome.RESET),
        (EndCause.SERVER_GONE, AttemptOutcome.RESET),
        (EndCause.TIMED_OUT, AttemptOutcome.TIMEOUT),
        (EndCause.CANCELLED, AttemptOutcome.CANCELLED),
    )
}
REPLY_OUTCOMES = {
    ReplyKind.SUCCESS: (AttemptOutcome.OK, True),
    ReplyKind.INVALID: (AttemptOutcome.RESET, True),
    ReplyKind.FAILURE: (AttemptOutcome.ERROR, True),
    ReplyKind.NOT_EXECUTED: (AttemptOutcome.FULL, False),
    ReplyKind.MISDIRECTED: (AttemptOutcome.CONNECT_FAILED, False),
}
#: The connection is closed after these.
CLOSING_REPLIES = frozenset({ReplyKind.INVALID, ReplyKind.MISDIRECTED})
ANSWERED = {
    (sent, reply): AttemptResult(*result, reusable=sent is SendProgress.WHOLE and reply not in CLOSING_REPLIES)
    for sent in (SendProgress.PART, SendProgress.WHOLE)
    for reply, result in REPLY_OUTCOMES.items()
}


def result_of(sent: SendProgress, cause: EndCause, reply: ReplyKind | None = None) -> AttemptResult:
    """Look up the outcome of an attempt; `reply` is given for `EndCause.ANSWERED` only.

    Raises KeyError for an impossible combination."""
    if sent is SendProgress.NOTHING:
        return UNSENT_CANCELLED if cause is EndCause.CANCELLED else UNSENT
    if cause is EndCause.ANSWERED and reply is not None:
        return ANSWERED[sent, reply]
    return UNANSWERED[cause]


def is_idempotent(request_class: RequestClass) -> bool:
    """Whether a request of this class may be repeated even though it may have been executed."""
    return request_class.repeat is Repeat.SAFE or (
        request_class.repeat is Repeat.KEYED and request_class.group is Group.ALL
    )


def may_answer_status(status: int, idempotent: bool, may_have_run: Iterable[bool]) -> bool:
    """Whether a status may be the final response to a request with these attempts. One of `NOT_EXECUTED_STATUSES` is
    allowed only if no attempt may have been executed, or if the request is idempotent."""
    return status not in NOT_EXECUTED_STATUSES or idempotent or not any(may_have_run)
