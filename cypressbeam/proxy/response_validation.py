"""Checks that a success is the server's own complete response, in the gateway's protocol (docs/design/attempts.md).

A 2xx is accepted only if every check passes. A failed check counts as a server fault, and the request may have been
executed.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from cypressbeam.proxy.http_responses import Response

#: Headers in every response of a server of this system. Any of them tells a real response head from quoted text.
SERVER_HEADER = re.compile(rb"\r\n(?:attempt-id|server-seal)[ \t]*:", re.IGNORECASE)
#: A status line, followed by any number of complete header lines.
RESPONSE_HEAD = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: [^\r\n]*)?(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*)*")
#: A header line that is cut off.
PARTIAL_HEADER_LINE = re.compile(rb"(?:\r(?:\n[!#$%&'*+.^_`|~0-9A-Za-z-]*\r?)?)?")
#: The bytes of a status line; all of its prefixes, including the whole; and an incomplete one at the end of a body.
STATUS_LINE_PARTS = (rb"H", rb"T", rb"T", rb"P", rb"/", rb"1", rb"\.", rb"[01]", rb" ", rb"[0-9]", rb"[0-9]", rb"[0-9]")
STATUS_LINE_PREFIXES = [re.compile(b"".join(STATUS_LINE_PARTS[:size])) for size in range(1, len(STATUS_LINE_PARTS) + 1)]
STATUS_LINE_BYTES = len(STATUS_LINE_PARTS)
PARTIAL_STATUS_LINE = re.compile(b"(?:" + b"|".join(part.pattern for part in STATUS_LINE_PREFIXES[:-1]) + rb")\Z")


@dataclass(frozen=True, slots=True)
class RequestContext:
    """The properties of a request that decide which responses to it are complete."""

    no_body: bool = False
    """The request is a HEAD."""
    has_range: bool = False
    """The request has a `Range` header."""


def starts_response(data: bytes) -> bool:
    """Whether the bytes start with a status line, or are a prefix of one."""
    size = min(len(data), STATUS_LINE_BYTES)
    return size > 0 and STATUS_LINE_PREFIXES[size - 1].match(data) is not None


def begun_at_the_end(body: bytes) -> bool:
    """Whether a body ends with a possible prefix of a status line; only the following bytes show whether it is one."""
    return PARTIAL_STATUS_LINE.search(body, max(len(body) - STATUS_LINE_BYTES + 1, 0)) is not None


def contains_response(body: bytes) -> bool:
    """Whether another response starts within a body, as happens when a truncated response is followed by another: a
    status line with headers that include a `SERVER_HEADER`, or that reach the end of the body. A status line that is
    merely quoted in text doesn't count."""
    if b"HTTP/1." not in body:  # the common case, and far faster than the pattern
        return False
    return any(
        SERVER_HEADER.search(head[0]) or PARTIAL_HEADER_LINE.fullmatch(body, head.end())
        for head in RESPONSE_HEAD.finditer(body)
    )


def lacks_single_seal(response: Response, context: RequestContext, trailing: bytes) -> bool:
    return len(response.header_values(b"server-seal")) != 1


def has_empty_seal(response: Response, context: RequestContext, trailing: bytes) -> bool:
    return not all(seal.strip() for seal in response.header_values(b"server-seal"))


def is_encoded(response: Response, context: RequestContext, trailing: bytes) -> bool:
    """Requests never ask for a content encoding, so an encoded body is not the server's own."""
    return bool(response.header_values(b"content-encoding"))


def is_unrequested_partial(response: Response, context: RequestContext, trailing: bytes) -> bool:
    return not context.has_range and (response.status == 206 or bool(response.header_values(b"content-range")))


def has_forbidden_body(response: Response, context: RequestContext, trailing: bytes) -> bool:
    """A 204 or 205 has no body; one with a body originally had another status."""
    framing = response.header_values(b"transfer-encoding") or response.header(b"content-length") not in (None, b"0")
    return (response.status == 204 and bool(framing)) or (response.status == 205 and bool(response.body))


def has_embedded_response(response: Response, context: RequestContext, trailing: bytes) -> bool:
    """Chunks prove their end themselves: where one is truncated, no other response has the form of what is missing."""
    return not response.header_values(b"transfer-encoding") and contains_response(response.body)


def has_invalid_trailing_bytes(response: Response, context: RequestContext, trailing: bytes) -> bool:
    """Whether the trailing bytes don't start another response. Then either the length is too small and they belong to
    the body, or the body is truncated and ends with the start of the response that they continue."""
    return not context.no_body and bool(trailing) and not starts_response(trailing)


#: All checks of a success, by the description that is logged for a response that fails.
CHECKS: dict[str, Callable[[Response, RequestContext, bytes], bool]] = {
    "no Server-Seal, or more than one": lacks_single_seal,
    "an empty Server-Seal": has_empty_seal,
    "a Content-Encoding": is_encoded,
    "a part that nobody asked for": is_unrequested_partial,
    "a body with a status that has none": has_forbidden_body,
    "another answer within its body": has_embedded_response,
    "bytes behind it that begin no answer": has_invalid_trailing_bytes,
}


def failed_check(response: Response, context: RequestContext, trailing: bytes = b"") -> str:
    """The first check that a success fails, or an empty string. `trailing` arrived together with its end."""
    return next((name for name, fails in CHECKS.items() if fails(response, context, trailing)), "")
