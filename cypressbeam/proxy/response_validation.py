"""What proves that a success is the server's own, whole answer, on the gateway's wire (docs/design/attempts.md).

A 2xx counts only if every check here passes. What fails one is the server's fault, and its request may have run.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from cypressbeam.proxy.http_responses import Answer

#: What a server of this system puts into each of its heads; one of them tells a copied head from a quotation.
MARKS = re.compile(rb"\r\n(?:attempt-id|server-seal)[ \t]*:", re.IGNORECASE)
#: A status line, and the header lines behind it as far as they are there.
HEAD = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: [^\r\n]*)?(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*)*")
#: A header line of which only the beginning is there.
BROKEN_LINE = re.compile(rb"(?:\r(?:\n[!#$%&'*+.^_`|~0-9A-Za-z-]*\r?)?)?")
#: A status line by its bytes; its beginnings, up to the whole; and those that are no whole one, at the end of a body.
PARTS = (rb"H", rb"T", rb"T", rb"P", rb"/", rb"1", rb"\.", rb"[01]", rb" ", rb"[0-9]", rb"[0-9]", rb"[0-9]")
BEGINNINGS = [re.compile(b"".join(PARTS[:size])) for size in range(1, len(PARTS) + 1)]
STATUS_SIZE = len(PARTS)
BEGUN = re.compile(b"(?:" + b"|".join(part.pattern for part in BEGINNINGS[:-1]) + rb")\Z")


@dataclass(frozen=True, slots=True)
class RequestContext:
    """What a request asked for, as far as it decides which answers are whole."""

    no_body: bool = False
    """HEAD."""
    part: bool = False
    """It has a `Range`."""


def begins_an_answer(data: bytes) -> bool:
    """Whether bytes are an answer's, as far as they go: a status line, or the beginning of one."""
    size = min(len(data), STATUS_SIZE)
    return size > 0 and BEGINNINGS[size - 1].match(data) is not None


def begun_at_the_end(body: bytes) -> bool:
    """Whether a body ends with what may be the beginning of a status line: the bytes behind it tell whether it is."""
    return BEGUN.search(body, max(len(body) - STATUS_SIZE + 1, 0)) is not None


def holds_an_answer(body: bytes) -> bool:
    """Whether another answer begins within a body, as one does that came behind an answer cut off: a status line with
    headers that bear a server's marks, or that go on to the body's end. A quoted status line is none."""
    if b"HTTP/1." not in body:  # nearly always, and far sooner told than by the pattern
        return False
    return any(MARKS.search(head[0]) or BROKEN_LINE.fullmatch(body, head.end()) for head in HEAD.finditer(body))


def lacks_one_stamp(answer: Answer, asked: RequestContext, behind: bytes) -> bool:
    return len(answer.all_of(b"server-seal")) != 1


def has_an_empty_stamp(answer: Answer, asked: RequestContext, behind: bytes) -> bool:
    return not all(stamp.strip() for stamp in answer.all_of(b"server-seal"))


def is_encoded(answer: Answer, asked: RequestContext, behind: bytes) -> bool:
    """Clients ask for bodies without an encoding, so one with any is not the server's."""
    return bool(answer.all_of(b"content-encoding"))


def is_a_part(answer: Answer, asked: RequestContext, behind: bytes) -> bool:
    return not asked.part and (answer.status == 206 or bool(answer.all_of(b"content-range")))


def tells_of_no_body_and_of_one(answer: Answer, asked: RequestContext, behind: bytes) -> bool:
    """A 204 ends with its head, a 205 has nothing behind it: with a body it was another status once."""
    framed = answer.all_of(b"transfer-encoding") or answer.header(b"content-length") not in (None, b"0")
    return (answer.status == 204 and bool(framed)) or (answer.status == 205 and bool(answer.body))


def has_an_answer_within(answer: Answer, asked: RequestContext, behind: bytes) -> bool:
    return holds_an_answer(answer.body)


def has_more_behind(answer: Answer, asked: RequestContext, behind: bytes) -> bool:
    """Bytes at its end that begin no other answer: its length may be too short, and they its own; or its body lacks
    its end, and has the beginning of the answer in its place that they go on with."""
    return not asked.no_body and bool(behind) and not begins_an_answer(behind)


#: All checks of a success, each by what the log says of an answer that fails it.
CHECKS: dict[str, Callable[[Answer, RequestContext, bytes], bool]] = {
    "no Server-Seal, or more than one": lacks_one_stamp,
    "an empty Server-Seal": has_an_empty_stamp,
    "a Content-Encoding": is_encoded,
    "a part that nobody asked for": is_a_part,
    "a body with a status that has none": tells_of_no_body_and_of_one,
    "another answer within its body": has_an_answer_within,
    "bytes behind it that begin no answer": has_more_behind,
}


def flaw(answer: Answer, asked: RequestContext, behind: bytes = b"") -> str:
    """The check that a success fails; empty where it counts. `behind`: the bytes that came with its end."""
    return next((name for name, fails in CHECKS.items() if fails(answer, asked, behind)), "")
