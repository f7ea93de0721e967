"""Client requests: reading complete messages from a connection, and validating them."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

import httptools

from cypressbeam.balancing.interface import Repeat, RequestArrived, RequestClass
from cypressbeam.errors import CypressbeamError
from cypressbeam.proxy.http_responses import MAX_FRAMING_FACTOR, Limits
from cypressbeam.proxy.protocol_profile import STANDALONE_PROFILE, ProtocolProfile

#: Pipelined requests per connection, beyond the first unanswered one.
MAX_PIPELINED_REQUESTS = 4
#: How long a body that was sent all at once may take to arrive over a slow link. A body that takes longer is being sent
#: slowly, and its client's deadline must not expire before the body has arrived.
MAX_BODY_TRANSIT_US = 1_000_000
#: Retry-After, in seconds, when the memory for request bodies is exhausted.
BODY_BUDGET_RETRY_AFTER_S = b"1"
TIMEOUT_PATTERN = re.compile(rb"([0-9]{1,10}(?:\.[0-9]{1,6})?)([mu])")
#: The headers that say where a body ends.
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
PLAIN_KEY_PATTERN = re.compile(rb"k=[0-9A-Za-z_.~-]+")
MICROSECONDS_PER_UNIT = {b"m": 1000.0, b"u": 1.0}


class BadRequestError(CypressbeamError):
    """A request that can't be accepted: the status of its response, and the reason."""

    def __init__(self, status: int, reason: str, allow: bytes = b"", retry_after: bytes = b"") -> None:
        super().__init__(reason)
        self.status = status
        self.allow = allow
        self.retry_after = retry_after


class BodyBudget:
    """The memory for request bodies that all connections of one listening socket share."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.buffered_bytes = 0

    def reserve(self, size: int) -> bool:
        """Whether this many more bytes may be buffered. They are counted in any case, until they are released."""
        self.buffered_bytes += size
        return self.buffered_bytes <= self.limits.max_buffered_bytes

    def release(self, size: int) -> None:
        """Return bytes that are no longer buffered."""
        self.buffered_bytes -= size


class BodyReservation:
    """The bytes of one body in a budget. Whoever holds the body holds its reservation too: the bytes are returned when
    the last of them lets go."""

    __slots__ = ("budget", "size")

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.size = 0

    def grow(self, size: int) -> bool:
        """Count more bytes. Returns whether they may be buffered; they are counted in any case."""
        self.size += size
        return self.budget.reserve(size)

    def __del__(self) -> None:
        self.budget.release(self.size)


@dataclass(slots=True)
class RequestMessage:
    """A complete HTTP request as received."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes, bytes]]
    """The lower-case name, the name as received, and the value of each header."""
    body: bytes
    keep_alive: bool
    arrived_us: int
    """When its client started to wait, as far as this node can tell: the arrival of its first byte, or
    `MAX_BODY_TRANSIT_US` before the arrival of its last byte if that is later."""
    body_reservation: BodyReservation | None = None


@dataclass(frozen=True, slots=True)
class BodyCallbacks:
    """The callbacks of a parser that reads the body of a request whose head has been read by another one."""

    on_body: Callable[[bytes], None]
    on_message_complete: Callable[[], None]


class RequestReader:
    """Parses the bytes of one client connection into complete requests. The first error is final: the start of the
    next request is unknown after it, so later input is neither parsed nor kept."""

    def __init__(self, now_us: Callable[[], int], on_expect: Callable[[], None], body_budget: BodyBudget) -> None:
        self.limits = body_budget.limits
        self.body_budget = body_budget
        self.body = bytearray()
        """The part of the current request's body that has been received."""
        self.body_reservation: BodyReservation | None = None
        self.now_us = now_us
        self.on_expect = on_expect
        self.messages: deque[RequestMessage] = deque()
        self.error: BadRequestError | None = None
        self.partial = False
        """Part of a request has been received."""
        self.awaits_continue = False
        """The client waits for 100 Continue before it sends the body."""
        self.raw_bytes = 0
        self.headers_done = False
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        if self.error is not None or self.parser is None:
            return
        self.raw_bytes += len(data)
        try:
            self.parse(self.parser, data)
        except httptools.HttpParserError as err:
            self.error = self.error or BadRequestError(400, f"malformed request: {err}")
        # Raw bytes are counted because the parser buffers a line until it is complete.
        if self.partial and self.error is None and self.raw_bytes > self.max_raw_bytes():
            self.error = (
                BadRequestError(413, "the body is too large")
                if self.headers_done
                else BadRequestError(431, "the headers are too large")
            )
        if self.error is not None:
            self.close()

    def parse(self, parser: httptools.HttpRequestParser, data: bytes) -> None:
        """Parse bytes, also those of a body after an offer to upgrade. Raises httptools.HttpParserError."""
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade as stopped:
            if parser.get_method() == b"CONNECT":  # refused by every application; what follows is no HTTP
                self.messages[-1].keep_alive = False
                self.close()
                return
            (head_end,) = stopped.args
            self.parse_body(parser, data[head_end:])

    def parse_body(self, stopped: httptools.HttpRequestParser, data: bytes) -> None:
        """Go on with the body of the current request, whose parser stopped after the head, in a parser of its own.

        httptools takes an offer to upgrade for an upgrade and reads no body after it. The offer is declined by ignoring
        it (RFC 9110, 7.8), and the connection closes after the response."""
        head = [b"%s / HTTP/%s\r\n" % (stopped.get_method(), stopped.get_http_version().encode())]
        head += [b"%s: %s\r\n" % (name, value) for lower, name, value in self.headers if lower in FRAMING_HEADERS]
        head.append(b"Connection: close\r\n\r\n")
        # Set before it is fed: without a body, the request is complete at the end of the head.
        self.parser = parser = httptools.HttpRequestParser(BodyCallbacks(self.on_body, self.on_message_complete))
        parser.feed_data(b"".join(head))
        parser.feed_data(data)

    def max_raw_bytes(self) -> int:
        return self.limits.max_head_bytes + MAX_FRAMING_FACTOR * len(self.body)

    def max_body_size(self) -> int:
        """The body limit; a body larger than the whole budget would never fit."""
        return min(self.limits.max_body_bytes, self.limits.max_buffered_bytes)

    def close(self) -> None:
        """Parse nothing more, and let go of the body. Breaks the reference cycle between parser and reader, so that
        both are freed without the garbage collector."""
        self.parser = None
        self.take_body()

    def take_body(self) -> tuple[bytes, BodyReservation | None]:
        """Hand over what has been received of the body. Nothing of it is kept here: the next request on this connection
        may be long in coming."""
        body, reservation = bytes(self.body), self.body_reservation
        self.body, self.body_reservation = bytearray(), None
        return body, reservation

    def fail(self, error: BadRequestError) -> None:
        """Stop parsing, from within a parser callback."""
        self.error = self.error or error
        raise error

    # Callbacks of httptools. An exception raised here leaves feed_data as an HttpParserError.

    def on_message_begin(self) -> None:
        # State is reset here and not when bytes arrive: they may be a blank line between requests, or contain the end
        # of one request and the start of the next.
        if len(self.messages) > MAX_PIPELINED_REQUESTS:
            self.fail(BadRequestError(400, "too many requests sent ahead"))
        self.target = b""
        self.headers: list[tuple[bytes, bytes, bytes]] = []
        self.headers_done = False
        self.partial = True
        self.started_us = self.now_us()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.headers_done:  # trailers are ignored: they must not set what a header sets
            self.headers.append((name.lower(), name, value))

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        self.headers_done = True
        version = self.parser.get_http_version()
        if version not in ("1.1", "1.0"):
            self.fail(BadRequestError(505, f"HTTP/{version} is not spoken here"))
        size = len(self.target)
        for lower, name, value in self.headers:
            size += len(name) + len(value) + 4
            # httptools itself rejects repeated or conflicting lengths, and a length together with a transfer encoding.
            if lower == b"content-length" and (len(value) > 18 or int(value) > self.max_body_size()):
                self.fail(BadRequestError(413, "the body is too large"))
            if lower == b"transfer-encoding" and (version == "1.0" or value.strip().lower() != b"chunked"):
                self.fail(BadRequestError(501, "of all Transfer-Encodings only chunked is read"))
            if lower == b"expect" and value.lower() == b"100-continue" and version == "1.1":
                self.awaits_continue = True
                self.on_expect()
        if size > self.limits.max_head_bytes:
            self.fail(BadRequestError(431, "the headers are too large"))

    def on_body(self, data: bytes) -> None:
        if self.body_reservation is None:
            self.body_reservation = BodyReservation(self.body_budget)
        self.body += data
        fits = self.body_reservation.grow(len(data))
        if len(self.body) > self.max_body_size():
            self.fail(BadRequestError(413, "the body is too large"))
        if not fits:
            self.fail(BadRequestError(503, "too many bodies at once", retry_after=BODY_BUDGET_RETRY_AFTER_S))

    def on_message_complete(self) -> None:
        assert self.parser is not None
        method = self.parser.get_method()
        if self.parser.should_upgrade() and method != b"CONNECT":
            return  # only the head is complete: `parse_body` goes on
        arrived_us = max(self.started_us, self.now_us() - MAX_BODY_TRANSIT_US)
        body, reservation = self.take_body()
        keep_alive = self.parser.should_keep_alive()
        self.messages.append(
            RequestMessage(method, self.target, self.headers, body, keep_alive, arrived_us, reservation)
        )
        self.partial = self.awaits_continue = False
        self.headers_done = False
        self.raw_bytes = 0


def parse_timeout(text: bytes) -> int:
    match = TIMEOUT_PATTERN.fullmatch(text)
    timeout_us = int(float(match[1]) * MICROSECONDS_PER_UNIT[match[2]]) if match else 0
    if timeout_us <= 0:
        raise BadRequestError(400, f"Request-Timeout: a number and a unit, m or u, are needed, not {text!r}")
    return timeout_us


def parse_key(query: bytes) -> str | None:
    """The key of a request: the query parameter `k`."""
    if PLAIN_KEY_PATTERN.fullmatch(query):  # the common case; parsing the whole query takes far longer
        return query[2:].decode("latin-1")
    return parse_qs(query.decode("latin-1")).get("k", [None])[0]


def find_request_class(message: RequestMessage, classes: dict[str, RequestClass]) -> RequestClass:
    """The request class, by the first segment of the path."""
    path = message.target.partition(b"?")[0]
    name = path[1:].split(b"/", 1)[0].decode("latin-1")
    request_class = classes.get(name)
    if request_class is None or not path.startswith(b"/"):
        raise BadRequestError(404, f"no class {name!r}")
    method = b"GET" if request_class.repeat is Repeat.SAFE else b"POST"
    if message.method != method:
        raise BadRequestError(405, f"{message.method!r} for class {name}", method)
    # A server that ignores the body of a GET would parse it as the next request.
    if message.method == b"GET" and message.body:
        raise BadRequestError(400, "GET takes no body")
    return request_class


def collect_headers(message: RequestMessage, profile: ProtocolProfile) -> tuple[dict[bytes, bytes], set[bytes]]:
    """The headers of a request by name, and the names that its Connection header declares hop-by-hop."""
    headers: dict[bytes, bytes] = {}
    connection_headers: set[bytes] = set()
    for lower, _, value in message.headers:
        if lower in headers and lower in profile.protected_headers:
            raise BadRequestError(400, f"{lower.decode('latin-1')} is given twice")
        headers[lower] = value
        if lower == b"connection":
            connection_headers.update(part.strip().lower() for part in value.split(b","))
    return headers, connection_headers - profile.protected_headers


def request_head(message: RequestMessage, connection_headers: set[bytes], profile: ProtocolProfile) -> bytes:
    """The request head that every server gets; headers for a single server are appended to it."""
    head = [b"%s %s HTTP/1.1\r\n" % (message.method, message.target)]
    for lower, name, value in message.headers:
        if lower not in profile.dropped_request_headers and lower not in connection_headers:
            head.append(b"%s: %s\r\n" % (name, value))
    if message.body or message.method not in (b"GET", b"HEAD"):
        head.append(b"Content-Length: %d\r\n" % len(message.body))
    return b"".join(head)


def read_request(
    message: RequestMessage, classes: dict[str, RequestClass], margin_us: int
) -> tuple[RequestArrived, bytes]:
    """Validate a request. Returns it as an event, and the head to forward without Request-Timeout."""
    request_class = find_request_class(message, classes)
    headers, connection_headers = collect_headers(message, STANDALONE_PROFILE)
    head = request_head(message, connection_headers, STANDALONE_PROFILE)
    if b"host" not in headers:
        head += b"Host: backend.local\r\n"
    request_id = headers.get(b"request-id", b"").decode("latin-1")
    if not request_id or len(request_id) > 128 or not request_id.isprintable() or " " in request_id:
        raise BadRequestError(400, "Request-Id: a word is needed")
    if request_class.repeat is Repeat.KEYED and not headers.get(b"idempotency-key"):
        raise BadRequestError(400, "Idempotency-Key is needed")
    key = parse_key(message.target.partition(b"?")[2])
    hint = headers.get(b"work-hint", b"")
    tenant = headers.get(b"tenant")
    # Capped at the deadline of the class: a longer timeout would keep the connection occupied for as long.
    timeout_us = min(parse_timeout(headers.get(b"request-timeout", b"")), request_class.deadline_us)
    return RequestArrived(
        request=request_id,
        class_name=request_class.name,
        give_up_at_us=message.arrived_us + timeout_us - margin_us,
        tenant=None if tenant is None else tenant.decode("latin-1"),
        key=key,
        hint_us=int(hint) if hint.isdigit() and len(hint) < 12 else None,
        is_client_retry=headers.get(b"client-retry") == b"1",
    ), head
