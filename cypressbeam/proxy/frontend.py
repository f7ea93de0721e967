"""Client connections: limits and timeouts, reading requests and writing responses."""

from __future__ import annotations

import asyncio
import logging
import socket
from http import HTTPStatus
from itertools import islice
from typing import Protocol, cast

from cypressbeam.proxy.http_requests import BadRequestError, BodyBudget, RequestMessage, RequestReader
from cypressbeam.proxy.http_responses import (
    BODILESS_STATUSES,
    MAX_COPIED_BODY_BYTES,
    Limits,
    Response,
    count_unread_bytes,
    has_unread_input,
)
from cypressbeam.proxy.response_budget import ResponseReservation

log = logging.getLogger(__name__)

#: Share of the usable file descriptors that client connections may hold. Active clients may hold a third of all
#: descriptors, and idle clients must not crowd them out. A request usually needs one server connection at a time.
CLIENT_CONNECTION_SHARE = 0.6

BACKLOG = 1024
SWEEP_INTERVAL_S = 0.2
#: How long a connection stays open behind its last response at least, for the client to read it.
FLUSH_TIME_S = 2.0
#: How long a closing connection is still read, so that a reset does not destroy the response.
LINGER_S = 1.0
#: Retry-After, in seconds, for clients that a stopping node rejects; they can retry at another node.
STOPPING_RETRY_AFTER_S = b"0.5"
#: At the connection limit, connections in these states that have waited at least this many seconds are evicted, in
#: this order. At most `MAX_EVICTION_CHECKS` are checked per step, because each check costs a system call.
EVICTION_ORDER = (
    ("silent", 0.1),
    ("partial", 0.5),
    ("idle", 1.0),
    ("silent", 0.01),
    ("partial", 0.05),
    ("idle", 0.2),
    ("silent", 0.0),
    ("partial", 0.0),
    ("idle", 0.0),
)
MAX_EVICTION_CHECKS = 8
#: Time that a client gets to close the connection itself after its last response.
MIN_LINGER_S = 0.1
#: Rejections caused by a configured limit.
LIMIT_STATUSES = frozenset({408, 413, 431, 503})
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}

#: Connections in one state, with the time at which they entered it; the longest wait first.
ConnectionTimes = dict["ClientConnection", float]


class Application(Protocol):
    """Handles the requests that arrive at a listening socket."""

    loop: asyncio.AbstractEventLoop

    def now_us(self) -> int: ...

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Handle a complete request. None: the response follows later through the connection's `respond`.

        Raises BadRequestError if the request can't be accepted."""

    def client_disconnected(self, name: str) -> None:
        """The client of the request whose ID `serve` set on the connection has disconnected."""

    def can_serve(self) -> bool: ...


class Frontend:
    """A listening socket and all its client connections."""

    def __init__(
        self, app: Application, max_connections: int, overflow_connections: int, limits: Limits | None = None
    ) -> None:
        self.app = app
        self.limits = limits or Limits()
        self.body_budget = BodyBudget(self.limits)
        self.loop = app.loop
        self.max_connections = max_connections
        self.overflow_connections = overflow_connections
        self.connections: set[ClientConnection] = set()
        # Connections without an open request, by state. A connection with an open request is in none of these.
        self.silent: ConnectionTimes = {}
        self.partial: ConnectionTimes = {}
        self.idle: ConnectionTimes = {}
        self.closing: ConnectionTimes = {}
        self.sending: set[ClientConnection] = set()
        """Connections with large responses that may not be written yet."""
        self.stopping = False
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int, listening_socket: socket.socket | None = None) -> None:
        """Listen at an address, or on a socket that is already listening."""
        if listening_socket is None:
            self.server = await self.loop.create_server(lambda: ClientConnection(self), host, port, backlog=BACKLOG)
        else:
            self.server = await self.loop.create_server(
                lambda: ClientConnection(self), sock=listening_socket, backlog=BACKLOG
            )
        self.sweep()

    def ready(self) -> bool:
        return not self.stopping and self.app.can_serve()

    def stop_accepting(self) -> None:
        """Second to last step of a shutdown: accept no new connections and close those without a request."""
        if self.server is not None:
            self.server.close()
        for connection in [*self.silent, *self.idle]:
            connection.close_unless_readable()

    def has_pending_responses(self) -> bool:
        """Whether a request is partly received, a response is pending, or part of a response is still unsent."""
        return bool(self.partial) or any(
            connection.current is not None or connection.reader.messages or connection.transport.get_write_buffer_size()
            for connection in self.connections
        )

    def drop_queued_requests(self) -> None:
        """Take up no more pipelined requests, at the end of a shutdown. None was forwarded."""
        for connection in self.connections:
            if connection.reader.messages:
                connection.reader.messages.clear()
                connection.closing = True

    def reject_partial_requests(self) -> None:
        """Reject partly received requests at the end of a shutdown. None was forwarded, so its client may retry."""
        for connection in [*self.partial]:
            connection.reject(BadRequestError(503, "the node stops", retry_after=STOPPING_RETRY_AFTER_S))

    def admit(self, connection: ClientConnection) -> bool:
        """Whether a new connection is within the limit; if need be a connection without an open request is evicted."""
        self.connections.add(connection)
        if len(self.connections) <= self.max_connections or self.evict_one():
            return True
        log.warning("all %d client connections are in use, rejecting a new one", self.max_connections)
        return False

    def evict_one(self) -> bool:
        """Close one connection to make room for another; False if none can be closed.

        Well-behaved clients send a request right after connecting, and all of it at once. Connections that don't are
        evicted first, then the one that has been idle longest, which a frequently used connection never is. A client
        that is sending a request after its first one is kept: its last byte may have arrived already, and the request
        would be lost."""
        now_s = self.loop.time()
        lingering = next(iter(self.closing), None)
        if lingering is not None and self.closing[lingering] - now_s <= LINGER_S - MIN_LINGER_S:
            lingering.transport.abort()
            return True
        for state, min_wait_s in EVICTION_ORDER:
            group: ConnectionTimes = getattr(self, state)
            for connection, since_s in list(islice(group.items(), MAX_EVICTION_CHECKS)):
                if now_s - since_s < min_wait_s:
                    break
                if (
                    group is not self.partial or not connection.has_sent_request
                ) and connection.close_unless_readable():
                    return True
        return False

    def sweep(self) -> None:
        """Disconnect clients that exceed a timeout without sending a request or reading a response."""
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now_s = self.loop.time()
        limits = self.limits
        for connection in list(self.sending):
            connection.release_sent()
        for group, timeout_s in ((self.silent, limits.head_timeout_s), (self.idle, limits.idle_timeout_s)):
            for connection, since_s in list(group.items()):
                if now_s - since_s < timeout_s:
                    break
                if not connection.write_paused:
                    connection.close_unless_readable()
        for connection, since_s in list(self.partial.items()):
            in_body = connection.reader.headers_done
            if now_s - since_s >= (limits.body_timeout_s if in_body else limits.head_timeout_s):
                connection.reject(BadRequestError(408, "the request did not come whole in time"))
        for connection in list(self.idle):
            if connection.write_paused and not connection.client_reads(now_s):
                connection.transport.abort()
        for connection, until_s in list(self.closing.items()):
            reads = connection.client_reads(now_s)
            if now_s >= until_s and not reads:
                connection.transport.abort()


class ClientConnection(asyncio.Protocol):
    """One client connection; its requests are handled one at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.app = frontend.app
        self.reader = RequestReader(self.app.now_us, self.send_continue, frontend.body_budget)
        self.current: RequestMessage | None = None  # the request whose response is pending
        self.request: str | None = None  # its ID, once the application has accepted it
        self.closing = False
        self.admitted = True
        self.has_sent_request = False
        self.write_paused = False  # the client does not read the response
        self.unsent: list[ResponseReservation] = []  # the memory of responses that are not written yet
        self.unread_bytes = 0  # of responses, when they were last looked at
        self.last_read_s = 0.0  # when `unread_bytes` last changed
        self.group: ConnectionTimes | None = None  # the frontend's map that contains this connection
        self.opened_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio.Transport: a check of the type would fail.
        self.transport: asyncio.Transport = cast(asyncio.Transport, transport)
        self.opened_s = self.frontend.loop.time()
        self.admitted = self.frontend.admit(self)
        if (
            not self.admitted
            and len(self.frontend.connections) > self.frontend.max_connections + self.frontend.overflow_connections
        ):
            self.begin_close()
            return
        self.move_to(self.frontend.silent, self.opened_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.frontend.connections.discard(self)
        self.move_to(None)
        self.current = None
        self.release_unsent()
        self.reader.messages.clear()
        self.reader.close()
        if self.request is not None:
            request, self.request = self.request, None
            self.app.client_disconnected(request)

    def move_to(self, group: ConnectionTimes | None, since_s: float = 0.0) -> None:
        if self.group is not None:
            self.group.pop(self, None)
        self.group = group
        if group is not None:
            group[self] = since_s

    def close_unless_readable(self) -> bool:
        """Close the connection unless it has input that was not answered or not read. Returns whether it was closed."""
        if self.reader.messages or has_unread_input(self.transport):
            return False
        self.begin_close()
        return True

    def begin_close(self) -> None:
        self.closing = True
        self.move_to(self.frontend.closing, self.frontend.loop.time())
        self.transport.close()

    # -- reading -----------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        reader = self.reader
        was_partial = reader.partial
        reader.feed(data)
        if self.current is not None:
            return
        if reader.messages:
            self.handle_next()
        elif reader.error is not None:
            self.reject(reader.error)
        elif reader.partial and not was_partial:
            self.move_to(self.frontend.partial, self.frontend.loop.time() if self.has_sent_request else self.opened_s)
        elif reader.headers_done and self.frontend.limits.body_timeout_restarts:
            self.move_to(self.frontend.partial, self.frontend.loop.time())

    def send_continue(self) -> None:
        """Send 100 Continue, unless the response to an earlier request is still pending."""
        if self.current is None and not self.reader.messages:
            self.reader.awaits_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # -- responding --------------------------------------------------------------------------------------

    def handle_next(self) -> None:
        """Handle the next complete request. Pipelined requests are handled one at a time, in order."""
        message = self.current = self.reader.messages.popleft()
        self.has_sent_request = True
        self.move_to(None)
        try:
            response = self.app.serve(message, self)
        except BadRequestError as err:
            log_rejection(err)
            self.respond(error_response(err))
            return
        except Exception:
            log.exception("handling a request failed")
            self.closing = True
            self.respond(Response(500))
            return
        if response is not None:
            self.respond(response)

    def respond(self, response: Response) -> None:
        """Write the pending response, then continue with pipelined input."""
        message, self.current, self.request = self.current, None, None
        if message is None or self.transport.is_closing():
            return
        if message.method == b"HEAD" and response.body:  # the body would be read as the next response
            response = Response(response.status, response.headers, length=len(response.body))
        # A stopping node still answers what it has begun to read.
        last = self.frontend.stopping and not (self.reader.messages or self.reader.partial)
        close = self.closing or last or not message.keep_alive
        self.write(response, close)
        if close:
            self.linger()
        else:
            self.continue_after_response()

    def continue_after_response(self) -> None:
        """Handle the next request, report a read error, or wait for input."""
        reader, now_s = self.reader, self.frontend.loop.time()
        if reader.messages and not self.write_paused:
            self.frontend.loop.call_soon(self.handle_next_if_open)
            self.move_to(None)
        elif reader.error is not None and not reader.messages:
            self.reject(reader.error)
        elif reader.partial and not self.write_paused:
            self.move_to(self.frontend.partial, now_s)
            if reader.awaits_continue:
                self.send_continue()
        else:
            self.move_to(self.frontend.idle, now_s)

    def handle_next_if_open(self) -> None:
        if self.current is None and self.reader.messages and not self.closing:
            self.handle_next()

    def client_reads(self, now_s: float) -> bool:
        """Whether responses are still to be read, and the client has read some of them within the idle timeout. Called
        periodically while they are."""
        if not self.transport.get_write_buffer_size():
            return False
        unread_bytes = count_unread_bytes(self.transport)
        if unread_bytes != self.unread_bytes:
            self.unread_bytes, self.last_read_s = unread_bytes, now_s
        return now_s - self.last_read_s < self.frontend.limits.idle_timeout_s

    def release_sent(self) -> None:
        """Return the memory of responses once they are written."""
        if self.transport.get_write_buffer_size() <= MAX_COPIED_BODY_BYTES:
            self.release_unsent()

    def release_unsent(self) -> None:
        """Return the memory of all responses."""
        if not self.unsent:
            return
        self.frontend.sending.discard(self)
        unsent, self.unsent = self.unsent, []
        for reservation in unsent:
            reservation.release()

    def pause_writing(self) -> None:
        # Otherwise a client that sends requests without reading could make the node buffer unlimited responses.
        self.write_paused = True
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.write_paused = False
        self.release_unsent()
        if not self.transport.is_closing():
            self.transport.resume_reading()
            if self.current is None and not self.closing:
                self.continue_after_response()

    def write(self, response: Response, close: bool) -> None:
        lines = [b"HTTP/1.1 %d %s\r\n" % (response.status, REASON_PHRASES.get(response.status, b"-"))]
        if response.status not in BODILESS_STATUSES:
            length = len(response.body) if response.length is None else response.length
            lines.append(b"Content-Length: %d\r\n" % length)
        lines += [b"%s: %s\r\n" % header for header in response.headers]
        lines.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        if len(response.body) > MAX_COPIED_BODY_BYTES:
            self.transport.writelines([b"".join(lines), response.body])
            if response.reservation is not None:
                self.unsent.append(response.reservation)
                self.frontend.sending.add(self)
            return
        lines.append(response.body)
        self.transport.write(b"".join(lines))

    def reject(self, error: BadRequestError) -> None:
        """Respond to a request that can't be read completely and close: the start of the next request is unknown."""
        log_rejection(error)
        self.write(error_response(error), close=True)
        self.linger()

    def linger(self) -> None:
        """Close once the response is written. Closing with unread input would reset the connection, and the client
        might never see the response, so input is read and discarded until the client closes or a timeout expires."""
        self.closing = True
        now_s = self.frontend.loop.time()
        if self.reader.partial or self.reader.error is not None:
            self.reader.close()
            self.move_to(self.frontend.closing, now_s + LINGER_S)
            self.transport.write_eof()
        else:
            self.move_to(self.frontend.closing, now_s + FLUSH_TIME_S)
            self.transport.close()


def readiness(connection: ClientConnection, method: bytes) -> Response:
    """The response to a readiness check: 200 while the node accepts requests, otherwise 503."""
    if method not in (b"GET", b"HEAD"):
        raise BadRequestError(405, f"{method!r} for readiness", b"GET, HEAD")
    return Response(200 if connection.frontend.ready() else 503)


def log_rejection(error: BadRequestError) -> None:
    """Log a rejected request: at INFO if a configured limit caused it, at DEBUG if it is the client's fault."""
    level = logging.INFO if error.status in LIMIT_STATUSES else logging.DEBUG
    log.log(level, "request rejected: %d: %s", error.status, error)


def error_response(error: BadRequestError) -> Response:
    headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if error.retry_after:
        headers.append((b"Retry-After", error.retry_after))
    if error.allow:
        headers.append((b"Allow", error.allow))
    return Response(error.status, headers, f"{error}\n".encode())
