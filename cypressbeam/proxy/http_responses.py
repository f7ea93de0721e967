"""HTTP answers: what one consists of, and reading one off a connection with httptools."""

from __future__ import annotations

import asyncio
import re
import select
from dataclasses import dataclass, field

import httptools

from cypressbeam.errors import CypressbeamError

Headers = list[tuple[bytes, bytes]]

#: Header lines, together, and the bodies of requests hold at most so many bytes.
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
#: Servers also give good answers over 64 KiB; a quarter of a megabyte has been seen.
MAX_ANSWER_BYTES = 512 * 1024
#: With chunks as small as they can be a message is so many times the size of its body, and a little more.
MAX_FRAMED_BYTES = 7
#: Headers that concern one connection, or the framing of one message, and are never passed on.
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
#: Answers that end with their head.
BODILESS = frozenset({204, 304})
#: Versions of HTTP whose answers are read.
VERSIONS = frozenset({"1.0", "1.1"})
#: Within an answer's head: another answer began before this one had ended.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")


def readable(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, or the other side's close, have come that the event loop has not read yet."""
    unread = transport.get_extra_info("unread")
    if unread is not None:  # a transport without a socket answers for itself
        return bool(unread())
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class AnswerTooLargeError(CypressbeamError, ValueError):
    """A message over the limits."""


@dataclass(slots=True)
class Limits:
    """What a client may send, and for how long it may take or stay idle."""

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES
    ask_s: float = 2.0
    """For a request's head to come, from the connect or from its first byte."""
    body_s: float = 2.0
    """For the body; with `body_renews`, between two pieces of it."""
    idle_s: float = 10.0
    """Between requests."""
    body_renews: bool = False
    held_bytes: int = 1 << 40
    """Of all requests' bodies together, from their first byte until the answer."""


@dataclass(slots=True)
class Answer:
    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    length: int | None = None
    """What a HEAD's answer says of the body that it leaves out."""

    def header(self, name: bytes) -> bytes | None:
        """The value of a header by its name in lower case."""
        return next((value for key, value in self.headers if key.lower() == name), None)

    def all_of(self, name: bytes) -> list[bytes]:
        """All values that a header is given, by its name in lower case."""
        return [value for key, value in self.headers if key.lower() == name]


def keep_alive_s(answer: Answer) -> int | None:
    """How long the server keeps an idle connection, if its answer says so: `Keep-Alive: timeout=N`."""
    value = answer.header(b"keep-alive")
    for part in (value or b"").split(b","):
        name, _, figure = part.strip().partition(b"=")
        if name.lower() == b"timeout" and figure.isdigit():
            return int(figure)
    return None


class ResponseReader:
    """Reads answers one after another; `complete` is set once a whole one has come.

    On a wire where answers name their request (`names`, a header in lower case), only the answer that bears the
    expected name counts. A whole answer to another request is surplus: it is taken off and dropped, and the right one
    is still waited for. An answer without a name, or with more than one, ends the reading. On that wire an answer may
    have no length and end with its connection, if it says so (`ends_with_close`).
    """

    def __init__(self, most_body: int = MAX_ANSWER_BYTES, names: bytes | None = None) -> None:
        self.most_body = most_body
        self.names = names
        self.dropped = 0
        """Whole answers to other requests, so far."""
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.reset()

    def close(self) -> None:
        """Parser and reader refer to each other: taken apart they are freed at once, not by a collection."""
        self.parser = None

    def reset(self, no_body: bool = False, expected: bytes = b"") -> None:
        """Ready for the next answer on the same connection. With `no_body` its head is the whole of it."""
        self.no_body = no_body
        self.expected = expected
        self.surplus = False
        self.skipped = 0
        self.complete = False
        self.keep_alive = False
        self.raw_bytes = 0
        self.headers_done = False
        self.headers: Headers = []
        self.body = bytearray()
        self.answer = Answer(0)
        self.left: int | None = None
        """Of the body that is being read, where its head gives a length."""
        self.unframed = False
        """Only the close of the connection ends the body that is being read."""
        self.head_end = b""
        """The last bytes of the head that is being read."""
        self.behind = b""
        """What came behind an answer with a length, in one piece with its end."""

    def feed(self, data: bytes) -> None:
        """Raises ValueError or httptools.HttpParserError on what is no answer, or too large a one.

        What comes behind a whole answer does not spoil it, but nothing more can be read on that connection:
        `keep_alive` is off then.
        """
        if self.complete or self.parser is None:
            raise ValueError("bytes behind a whole answer")
        if self.names is None:
            self.parse(data)
            return
        while data and not self.complete:
            piece, data = self.next_piece(data)
            self.parse(piece)
        if data:
            self.behind, self.keep_alive = data, False

    def next_piece(self, data: bytes) -> tuple[bytes, bytes]:
        """Up to the end of a head, or of a body with a length, and the rest: what comes behind is known to a byte."""
        size = len(data)
        if not self.headers_done:
            before = self.head_end + data
            end = before.find(BLANK_LINE)
            if end >= 0:
                size = end + len(BLANK_LINE) - len(self.head_end)
            self.head_end = before[1 - len(BLANK_LINE) :] if end < 0 else b""
        elif self.left:
            size = self.left
        return data[:size], data[size:]

    def parse(self, data: bytes) -> None:
        assert self.parser is not None
        self.raw_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise ValueError("an upgrade that nobody asked for") from None
        except httptools.HttpParserError:
            if not self.complete or self.left is not None:
                raise
            self.keep_alive = False
        if self.complete:
            return
        # Heads without end, also in parts that the parser still holds, and bodies that are mostly frame.
        if self.raw_bytes > MAX_HEAD_BYTES + MAX_FRAMED_BYTES * (len(self.body) + self.skipped):
            raise AnswerTooLargeError("the answer is too large")

    # httptools' callbacks; what they raise comes out of feed_data as a HttpParserError

    def on_message_begin(self) -> None:
        if self.complete:
            raise ValueError("bytes behind a whole answer")
        self.headers = []
        self.reason = b""

    def on_status(self, reason: bytes) -> None:
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.headers_done:
            self.headers.append((name, value))
        # Otherwise a trailer, which may say nothing that a header should.
        elif self.names is not None and STATUS_LINE.search(value):
            raise ValueError("an answer that begins within the trailers of another")

    def on_headers_complete(self) -> None:
        self.headers_done = True
        if sum(len(name) + len(value) + 4 for name, value in self.headers) > MAX_HEAD_BYTES:
            raise AnswerTooLargeError("the answer's head is too large")
        if b"HTTP/1." in self.reason and STATUS_LINE.search(self.reason):
            raise ValueError("an answer that begins within the head of another")
        for name, value in self.headers:
            if b"HTTP/1." in value and STATUS_LINE.search(value):
                raise ValueError("an answer that begins within the head of another")
            lower = name.lower()
            if lower == b"content-length" and (len(value) > 18 or int(value) > self.most_body):
                raise AnswerTooLargeError("the answer is too large")
            if lower == b"transfer-encoding" and value.lower() != b"chunked":
                raise ValueError(f"Transfer-Encoding {value!r} was not asked for")
        assert self.parser is not None
        if self.names is not None:
            status, version = self.parser.get_status_code(), self.parser.get_http_version()
            self.check_status(status, version)
            self.check_codings(version)
            self.find_end(status)
            if status >= 200:
                self.check_name(self.names)
        if self.no_body and self.parser.get_status_code() >= 200:
            self.complete = True  # the parser waits for a body: the connection is of no more use
            self.answer = Answer(self.parser.get_status_code(), self.headers)
            length = self.answer.header(b"content-length")
            self.answer.length = int(length) if length is not None else 0

    def check_status(self, status: int, version: str) -> None:
        if version not in VERSIONS:
            raise ValueError(f"HTTP/{version} is not spoken here")
        if not 100 <= status <= 599:
            raise ValueError(f"{status} is no status")

    def check_codings(self, version: str) -> None:
        codings = len(Answer(0, self.headers).all_of(b"transfer-encoding"))
        if codings > 1 or (codings and version == "1.0"):
            raise ValueError("a Transfer-Encoding that does not say where the body ends")

    def find_end(self, status: int) -> None:
        """How the end of the body will be known."""
        head = Answer(status, self.headers)
        length = head.header(b"content-length")
        has_body = status >= 200 and status not in BODILESS and not self.no_body
        self.left = int(length) if has_body and length is not None else None
        self.unframed = has_body and length is None and not head.all_of(b"transfer-encoding")

    def announced(self) -> bool:
        """Whether the head tells that the connection ends with this answer."""
        assert self.parser is not None
        told = [
            part.strip().lower()
            for value in Answer(0, self.headers).all_of(b"connection")
            for part in value.split(b",")
        ]
        return b"close" in told or (self.parser.get_http_version() == "1.0" and b"keep-alive" not in told)

    def ends_with_close(self) -> bool:
        """At the connection's end in order: whether the answer is whole by it."""
        if not self.unframed or self.surplus or self.complete or self.parser is None or not self.announced():
            return False
        self.complete = True
        self.answer = Answer(self.parser.get_status_code(), self.headers, bytes(self.body))
        return True

    def check_name(self, names: bytes) -> None:
        given = [value for name, value in self.headers if name.lower() == names]
        if len(given) != 1:
            raise ValueError(f"an answer with {len(given)} names of requests")
        self.surplus = given[0] != self.expected
        if self.surplus and self.no_body:
            raise ValueError("another's answer, whose end is not known where none has a body")

    def on_body(self, data: bytes) -> None:
        if self.left is not None:
            self.left -= len(data)
        if self.surplus:
            self.skipped += len(data)
        else:
            self.body += data
        if len(self.body) + self.skipped > self.most_body:
            raise AnswerTooLargeError("the answer is too large")

    def on_message_complete(self) -> None:
        if self.no_body and self.complete:
            return
        assert self.parser is not None
        status = self.parser.get_status_code()
        if status < 200:  # an interim answer; the final one follows
            self.headers_done = False
            return
        if self.surplus:
            if not self.parser.should_keep_alive():
                raise ValueError("another's answer, and the last of its connection")
            self.headers_done = self.surplus = False
            self.dropped += 1
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
        self.answer = Answer(status, self.headers, bytes(self.body))
