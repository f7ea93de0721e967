"""HTTP responses, and an incremental reader for them based on httptools."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import re
import select
import sys
import termios
from dataclasses import dataclass, field

import httptools

from cypressbeam.errors import CypressbeamError
from cypressbeam.proxy.response_budget import GROWTH_BYTES, SMALL_BODY_BYTES, ResponseReservation

Headers = list[tuple[bytes, bytes]]

#: Limits on all header lines together, and on the body of a request.
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
#: Servers also send valid responses over 64 KiB, up to 256 KiB.
MAX_RESPONSE_BYTES = 512 * 1024
#: With the smallest possible chunks a message is this many times the size of its body, plus a small constant.
MAX_FRAMING_FACTOR = 7
#: Larger bodies are written separately from the head, to avoid copying them.
MAX_COPIED_BODY_BYTES = 32 * 1024
#: Headers that concern a single connection or the framing of a single message, and are never forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


BLANK_LINE = b"\r\n\r\n"
#: Statuses of responses that have no body.
BODILESS_STATUSES = frozenset({204, 304})
#: HTTP versions that are accepted in responses.
VERSIONS = frozenset({"1.0", "1.1"})
#: Within the head of a response it means that another response began before this one had ended.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, or the peer's close, have arrived that the event loop has not read yet."""
    unread = transport.get_extra_info("unread")
    if unread is not None:  # a transport without a socket, as in simulations
        return bool(unread())
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def count_unread_bytes(transport: asyncio.Transport) -> int:
    """How many written bytes the peer has not acknowledged: those that wait in the transport, and in the system."""
    size = transport.get_write_buffer_size()
    if transport.get_extra_info("unread") is None:  # a real socket
        with contextlib.suppress(OSError, ValueError):  # it has just been closed
            queued = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, bytes(4))
            size += int.from_bytes(queued, sys.byteorder)
    return size


class ResponseTooLargeError(CypressbeamError, ValueError):
    """A response that exceeds a limit."""


@dataclass(slots=True)
class Limits:
    """Size limits and timeouts for client connections."""

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    head_timeout_s: float = 2.0
    """For receiving the head of a request, from the connect or from its first byte."""
    body_timeout_s: float = 2.0
    """For receiving the body; with `body_timeout_restarts`, the longest pause within it."""
    idle_timeout_s: float = 10.0
    """Between two requests."""
    body_timeout_restarts: bool = False
    max_buffered_bytes: int = 1 << 40
    """For the bodies of all requests together; each counts from its first byte until the response."""


@dataclass(slots=True)
class Response:
    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    length: int | None = None
    """For HEAD: the length of the omitted body."""
    reservation: ResponseReservation | None = None
    """The memory of the body, if it is counted."""

    def header(self, name: bytes) -> bytes | None:
        """The first value of a header, by its lower-case name."""
        return next((value for key, value in self.headers if key.lower() == name), None)

    def header_values(self, name: bytes) -> list[bytes]:
        """All values of a header, by its lower-case name."""
        return [value for key, value in self.headers if key.lower() == name]


def parse_keep_alive_timeout(response: Response) -> int | None:
    """How long the server keeps an idle connection open, if the response says so: `Keep-Alive: timeout=N`."""
    value = response.header(b"keep-alive")
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number)
    return None


class ResponseReader:
    """Reads one response after another from a connection; `complete` is set once a response is complete.

    In a protocol where responses carry the ID of their request (`id_header`, a lower-case header name), only the
    response with the expected ID counts. A complete response to another request is discarded, and reading goes on. A
    response without an ID, or with several, is an error. In that protocol a response may also have no length and end
    with its connection, if it announces that (`complete_on_close`).
    """

    def __init__(self, max_body_bytes: int = MAX_RESPONSE_BYTES, id_header: bytes | None = None) -> None:
        self.max_body_bytes = max_body_bytes
        self.id_header = id_header
        self.dropped_responses = 0
        """Number of discarded responses to other requests."""
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.reset()

    def close(self) -> None:
        """Break the reference cycle between parser and reader, so that both are freed without the garbage collector."""
        self.parser = None

    def reset(self, no_body: bool = False, expected: bytes = b"") -> None:
        """Prepare for the next response on the same connection. With `no_body` it consists of its head only."""
        self.no_body = no_body
        self.expected = expected
        self.is_for_other_request = False
        self.skipped_bytes = 0
        self.complete = False
        self.keep_alive = False
        self.raw_bytes = 0
        self.headers_done = False
        self.headers: Headers = []
        self.body = bytearray()
        self.answer = Response(0)
        self.remaining_body_bytes: int | None = None
        """Of the current body, if its head gives a length."""
        self.ends_at_close = False
        """The current body ends only when the connection closes."""
        self.head_tail = b""
        """The last bytes of the incomplete head, to find a blank line that is split between reads."""
        self.trailing_bytes = b""
        """Bytes that arrived together with the end of a response, after it."""

    def needed_bytes(self) -> int:
        """The memory that the body needs in all, as far as is known; for a body without a length, more than it has."""
        if not self.headers_done or self.is_for_other_request:
            return 0
        if self.remaining_body_bytes is not None:
            return len(self.body) + self.remaining_body_bytes
        if len(self.body) <= SMALL_BODY_BYTES:
            return len(self.body)
        return (len(self.body) // GROWTH_BYTES + 1) * GROWTH_BYTES

    def take_answer(self) -> Response:
        """Hand over the complete response. Nothing of it is kept here: the next one may be long in coming."""
        answer = self.answer
        self.answer, self.body = Response(0), bytearray()
        return answer

    def feed(self, data: bytes) -> None:
        """Parse received bytes. Raises ValueError or httptools.HttpParserError if the response is invalid or too large.

        Bytes after a complete response do not invalidate it, but nothing more can be read from that connection:
        `keep_alive` becomes false.
        """
        if self.complete or self.parser is None:
            raise ValueError("bytes after a complete response")
        if self.id_header is None:
            self.parse(data)
            return
        while data and not self.complete:
            piece, data = self.split_at_boundary(data)
            self.parse(piece)
        if data:
            self.trailing_bytes, self.keep_alive = data, False

    def split_at_boundary(self, data: bytes) -> tuple[bytes, bytes]:
        """Split after the end of the head, or of a body with a length, to know which bytes follow a response."""
        size = len(data)
        if not self.headers_done:
            received = self.head_tail + data
            end = received.find(BLANK_LINE)
            if end >= 0:
                size = end + len(BLANK_LINE) - len(self.head_tail)
            self.head_tail = received[1 - len(BLANK_LINE) :] if end < 0 else b""
        elif self.remaining_body_bytes:
            size = self.remaining_body_bytes
        return data[:size], data[size:]

    def parse(self, data: bytes) -> None:
        assert self.parser is not None
        self.raw_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise ValueError("an unrequested protocol upgrade") from None
        except httptools.HttpParserError:
            if not self.complete or self.remaining_body_bytes is not None:
                raise
            self.keep_alive = False
        if self.complete:
            return
        # Limits heads that never end, even while the parser buffers them, and bodies that consist mostly of framing.
        if self.raw_bytes > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * (len(self.body) + self.skipped_bytes):
            raise ResponseTooLargeError("the response is too large")

    # Callbacks of httptools. An exception raised here leaves feed_data as an HttpParserError.

    def on_message_begin(self) -> None:
        if self.complete:
            raise ValueError("bytes after a complete response")
        self.headers = []
        self.reason = b""

    def on_status(self, reason: bytes) -> None:
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.headers_done:
            self.headers.append((name, value))
        # Trailers are ignored: they must not set what a header sets.
        elif self.id_header is not None and STATUS_LINE.search(value):
            raise ValueError("a status line within the trailers of another response")

    def on_headers_complete(self) -> None:
        self.headers_done = True
        if sum(len(name) + len(value) + 4 for name, value in self.headers) > MAX_HEAD_BYTES:
            raise ResponseTooLargeError("the response head is too large")
        if b"HTTP/1." in self.reason and STATUS_LINE.search(self.reason):
            raise ValueError("a status line within the head of another response")
        for name, value in self.headers:
            if b"HTTP/1." in value and STATUS_LINE.search(value):
                raise ValueError("a status line within the head of another response")
            lower = name.lower()
            if lower == b"content-length" and (len(value) > 18 or int(value) > self.max_body_bytes):
                raise ResponseTooLargeError("the response is too large")
            if lower == b"transfer-encoding" and value.lower() != b"chunked":
                raise ValueError(f"unsupported Transfer-Encoding {value!r}")
        assert self.parser is not None
        if self.id_header is not None:
            status, version = self.parser.get_status_code(), self.parser.get_http_version()
            self.check_status(status, version)
            self.check_codings(version)
            self.determine_framing(status)
            if status >= 200:
                self.check_name(self.id_header)
        if self.no_body and self.parser.get_status_code() >= 200:
            self.complete = True  # the parser still expects a body: the connection can't be reused
            self.answer = Response(self.parser.get_status_code(), self.headers)
            length = self.answer.header(b"content-length")
            self.answer.length = int(length) if length is not None else 0

    def check_status(self, status: int, version: str) -> None:
        if version not in VERSIONS:
            raise ValueError(f"HTTP/{version} is not supported here")
        if not 100 <= status <= 599:
            raise ValueError(f"invalid status {status}")

    def check_codings(self, version: str) -> None:
        transfer_encodings = len(Response(0, self.headers).header_values(b"transfer-encoding"))
        if transfer_encodings > 1 or (transfer_encodings and version == "1.0"):
            raise ValueError("a Transfer-Encoding that does not say where the body ends")

    def determine_framing(self, status: int) -> None:
        """Determine how the end of the body is recognized."""
        head = Response(status, self.headers)
        length = head.header(b"content-length")
        has_body = status >= 200 and status not in BODILESS_STATUSES and not self.no_body
        self.remaining_body_bytes = int(length) if has_body and length is not None else None
        self.ends_at_close = has_body and length is None and not head.header_values(b"transfer-encoding")

    def announced(self) -> bool:
        """Whether the head announces that the connection closes after this response."""
        assert self.parser is not None
        connection_options = [
            part.strip().lower()
            for value in Response(0, self.headers).header_values(b"connection")
            for part in value.split(b",")
        ]
        return b"close" in connection_options or (
            self.parser.get_http_version() == "1.0" and b"keep-alive" not in connection_options
        )

    def complete_on_close(self) -> bool:
        """When the connection has closed cleanly: whether that completes the response."""
        if (
            not self.ends_at_close
            or self.is_for_other_request
            or self.complete
            or self.parser is None
            or not self.announced()
        ):
            return False
        self.complete = True
        self.answer = Response(self.parser.get_status_code(), self.headers, bytes(self.body))
        return True

    def check_name(self, id_header: bytes) -> None:
        given = [value for name, value in self.headers if name.lower() == id_header]
        if len(given) != 1:
            raise ValueError(f"a response with {len(given)} request IDs")
        self.is_for_other_request = given[0] != self.expected
        if self.is_for_other_request and self.no_body:
            raise ValueError("a response to another request: where it ends is not known, as none to a HEAD has a body")

    def on_body(self, data: bytes) -> None:
        if self.remaining_body_bytes is not None:
            self.remaining_body_bytes -= len(data)
        if self.is_for_other_request:
            self.skipped_bytes += len(data)
        else:
            self.body += data
        if len(self.body) + self.skipped_bytes > self.max_body_bytes:
            raise ResponseTooLargeError("the response is too large")

    def on_message_complete(self) -> None:
        if self.no_body and self.complete:
            return
        assert self.parser is not None
        status = self.parser.get_status_code()
        if status < 200:  # an interim response; the final one follows
            self.headers_done = False
            return
        if self.is_for_other_request:
            if not self.parser.should_keep_alive():
                raise ValueError("a response to another request, which closes the connection")
            self.headers_done = self.is_for_other_request = False
            self.dropped_responses += 1
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
        self.answer = Response(status, self.headers, bytes(self.body))
