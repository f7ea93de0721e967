"""Connections to servers: the connection pool, attempts, and how each attempt ends.

An attempt is written once, completely, on a connection that it uses exclusively. The table in `attempts` decides what
its end means: before the first byte was written the request was not executed; after that it may have been.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from cypressbeam.balancing.interface import AttemptOutcome, Report
from cypressbeam.protocol.address import Address
from cypressbeam.proxy.attempts import AttemptResult, EndCause, ReplyKind, SendProgress, result_of
from cypressbeam.proxy.http_responses import (
    MAX_RESPONSE_BYTES,
    Response,
    ResponseReader,
    has_unread_input,
    parse_keep_alive_timeout,
)
from cypressbeam.proxy.protocol_profile import STANDALONE_PROFILE, ProtocolProfile
from cypressbeam.proxy.response_budget import ResponseBudget, ResponseReservation
from cypressbeam.proxy.response_validation import RequestContext, begun_at_the_end

log = logging.getLogger(__name__)

#: Idle connections are closed after this share of the time at which the server would close them. A request that is
#: written while the server closes the connection is reset, and may have been executed.
IDLE_SHARE = 0.5
#: The share that applies if the server has announced its idle timeout.
ADVERTISED_IDLE_SHARE = 0.8
#: How long to wait for trailing bytes after a body that ends with a possible prefix of another response.
TRAILING_BYTES_WAIT_S = 0.03
#: The memory for response bodies where no limit is given.
UNLIMITED_BYTES = 1 << 40
#: Turns of the event loop after the timeout of a connect in which a connection that is up is still noticed.
TURNS_AFTER_TIMEOUT = 4
#: How many recent request IDs a connection remembers. A request is never sent twice on one connection, because a
#: duplicate of the earlier response would be accepted as the response.
REMEMBERED = 32


WHOLE_BODY = RequestContext()


class Attempt:
    """One attempt to send a request to a server."""

    __slots__ = (
        "again",
        "body",
        "connecting",
        "connection",
        "context",
        "ended",
        "may_have_run",
        "message",
        "number",
        "request",
        "sent_us",
        "server",
        "timer",
    )

    def __init__(
        self,
        request: str,
        number: int,
        server: str,
        message: bytes,
        sent_us: int,
        context: RequestContext = WHOLE_BODY,
        again: bool = False,
        body: bytes = b"",
    ) -> None:
        """`body` is written after `message`; small bodies are part of `message`."""
        self.context = context
        # The server got this request before: a pooled connection might still deliver the earlier response.
        self.again = again
        self.request = request
        self.number = number
        self.server = server
        self.message = message
        self.body = body
        self.sent_us = sent_us
        self.ended = False
        self.may_have_run = True  # or may still be executed
        self.connecting: asyncio.Task[None] | None = None
        self.connection: ServerConnection | None = None
        self.timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class EndpointPool:
    """The address of a server and its idle connections, the longest idle first."""

    address: Address
    started_us: int
    accepts_new: bool
    idle: deque[ServerConnection]


class ServerConnection(asyncio.Protocol):
    """One connection to a server, idle or with one attempt on it."""

    def __init__(self, upstream: Upstream, server: str, address: Address, opened_us: int) -> None:
        self.upstream = upstream
        self.server = server
        self.address = address  # stored, because the system knows none after a reset
        self.opened_us = opened_us
        self.idle_since_s = 0.0
        self.established = False
        self.attempt: Attempt | None = None
        self.write_paused = False
        self.closed = False
        self.recent_requests: deque[str] = deque(maxlen=REMEMBERED)
        self.trailing_timer: asyncio.TimerHandle | None = None
        """Runs while a complete response waits for possible trailing bytes."""
        self.reservation = self.new_reservation()
        """The memory of the response that is being read."""
        self.idle_timeout_s = upstream.idle_timeout_s
        profile = upstream.profile
        self.reader = ResponseReader(
            upstream.max_response_bytes, profile.request_id_header if profile.echoes_request_id else None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio.Transport: a check of the type would fail.
        self.transport: asyncio.Transport = cast(asyncio.Transport, transport)
        self.established = True
        if self.closed:  # the attempt ended while the connection came up
            self.transport.abort()
            return
        # With a limit of 0, pause_writing is called whenever the system does not accept all bytes of a write at once.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False

    def reserve_memory(self, attempt: Attempt) -> None:
        """Reserve memory for the response that is being read, or stop reading until there is some. The server has
        answered in time then: only the deadline of the request ends the attempt."""
        if not self.reservation.is_waiting and not self.reservation.reserve(self.reader.needed_bytes()):
            self.transport.pause_reading()
            if attempt.timer is not None:
                attempt.timer.cancel()

    def resume_reading(self) -> None:
        """Read on: memory for the response has become available."""
        if not self.closed:
            self.transport.resume_reading()

    def quiet(self) -> bool:
        """Whether neither bytes nor the server's close have arrived since the last response. Unread bytes would be
        taken for the response to the next request."""
        return not self.closed and not self.transport.is_closing() and not has_unread_input(self.transport)

    def send_progress(self) -> SendProgress:
        """How much of the current request has been written."""
        return SendProgress.PART if self.write_paused else SendProgress.WHOLE

    def send(self, attempt: Attempt) -> None:
        self.attempt = attempt
        attempt.connection = self
        self.recent_requests.append(attempt.request)
        self.reader.reset(attempt.context.no_body, attempt.request.encode("latin-1"))
        if attempt.body:
            self.transport.writelines([attempt.message, attempt.body])
        else:
            self.transport.write(attempt.message)

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:  # a server must not send anything without a request
            self.close()
            return
        if self.trailing_timer is not None:
            self.reader.trailing_bytes, self.reader.keep_alive = data, False
            self.complete_response()
            return
        dropped_before = self.reader.dropped_responses
        try:
            self.reader.feed(data)
        except (ValueError, httptools.HttpParserError) as err:
            log.warning("server %s: %s", self.server, err.__context__ or err)
            self.end(EndCause.MALFORMED)
            return
        if self.reader.dropped_responses > dropped_before:
            log.warning("server %s: discarded a response to another request", self.server)
        if not self.reader.complete:
            self.reserve_memory(attempt)
            return
        if (
            self.reader.remaining_body_bytes is not None
            and not self.reader.trailing_bytes
            and begun_at_the_end(self.reader.answer.body)
        ):
            self.trailing_timer = self.upstream.loop.call_later(TRAILING_BYTES_WAIT_S, self.complete_response)
        else:
            self.complete_response()

    def complete_response(self) -> None:
        """Finish the attempt: the response is complete, and the wait for trailing bytes is over."""
        response = self.reader.take_answer()
        response.reservation, self.reservation = self.reservation, self.new_reservation()
        response.reservation.count(len(response.body))
        advertised_s = parse_keep_alive_timeout(response)
        if advertised_s is not None:
            self.idle_timeout_s = advertised_s * ADVERTISED_IDLE_SHARE
        self.end(EndCause.ANSWERED, response)

    def end(self, cause: EndCause, response: Response | None = None) -> None:
        """End the current attempt. Only a complete response to a fully sent request keeps the connection usable."""
        if self.trailing_timer is not None:
            self.trailing_timer.cancel()
            self.trailing_timer = None
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            self.close()
            return
        reply = None if response is None else self.classify(attempt, response)
        result = result_of(self.send_progress(), cause, reply)
        if result.reusable and self.reader.keep_alive and not self.closed:
            self.upstream.return_to_pool(self)
        else:
            self.close()
        self.upstream.end(attempt, result, None if reply is ReplyKind.INVALID else response)

    def classify(self, attempt: Attempt, response: Response) -> ReplyKind:
        """Classify a response. A success must prove that it is the server's own and complete."""
        reply = self.upstream.profile.classify(response)
        if reply is ReplyKind.SUCCESS:
            failed_check = self.upstream.profile.failed_check(response, attempt.context, self.reader.trailing_bytes)
            if failed_check:
                log.warning(
                    "server %s: response %d to %s rejected: %s",
                    self.server,
                    response.status,
                    attempt.request,
                    failed_check,
                )
                return ReplyKind.INVALID
        return reply

    def new_reservation(self) -> ResponseReservation:
        """A reservation for the next response."""
        return ResponseReservation(self.upstream.response_budget, self.resume_reading)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.reservation.release()
            if self.established:
                # Not close(), which would first write the rest of the request although the attempt has ended.
                self.transport.abort()
            self.upstream.drop(self)

    def connection_lost(self, exc: Exception | None) -> None:
        # Only a clean close, after the whole request was written, can complete a response without a length.
        closed_cleanly = exc is None and not self.closed and self.send_progress() is SendProgress.WHOLE
        is_whole = self.trailing_timer is not None or (
            closed_cleanly and self.attempt is not None and self.reader.complete_on_close()
        )
        self.closed = True
        self.reader.close()
        self.upstream.drop(self)
        if not is_whole:
            self.reservation.release()
        if self.attempt is None:
            return
        if is_whole:
            self.complete_response()
        else:
            self.end(EndCause.CLOSED)


class Upstream:
    """All connections to servers. `on_end` is called once for each attempt, with its outcome."""

    def __init__(
        self,
        connect_timeout_us: int,
        idle_us: int,
        max_connections: int,
        now_us: Callable[[], int],
        on_end: Callable[[Attempt, AttemptOutcome, Response | None, Report | None], None],
        profile: ProtocolProfile = STANDALONE_PROFILE,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        response_budget_bytes: int = UNLIMITED_BYTES,
    ) -> None:
        self.profile = profile
        self.response_budget = ResponseBudget(response_budget_bytes)
        self.max_response_bytes = max_response_bytes
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.idle_timeout_s = idle_us / 1e6 * IDLE_SHARE
        self.max_connections = max_connections
        self.now_us = now_us
        self.on_end = on_end
        self.pools: dict[str, EndpointPool] = {}
        self.connections: set[ServerConnection] = set()
        self.stale: list[ServerConnection] = []
        self.connecting = 0
        self.exhausted_since_s: float | None = None
        """When attempts began to find no connection available; None once one has found one."""

    # -- servers -----------------------------------------------------------------------------------------

    def update_server(self, server: str, address: Address, started_us: int, accepts_new: bool) -> None:
        """Add or update a server from the server list. Attempts at a process that no longer exists are ended later by
        `end_stale`, once the balancer knows of the change."""
        server_pool = self.pools.get(server)
        if server_pool is None:
            self.pools[server] = EndpointPool(address, started_us, accepts_new, deque())
            return
        moved = server_pool.address != address
        restarted = started_us > server_pool.started_us
        server_pool.address, server_pool.started_us, server_pool.accepts_new = address, started_us, accepts_new
        if moved or not accepts_new:
            self.drop_idle(server_pool)
        if restarted:
            self.stale += [c for c in self.connections if c.server == server and c.opened_us < started_us]

    def end_stale(self) -> None:
        """End the attempts at processes that have been replaced. A machine that vanished never resets its connections,
        so these attempts would get no response. Connections opened after the restart belong to the new process."""
        stale, self.stale = self.stale, []
        for connection in stale:
            connection.end(EndCause.SERVER_GONE)

    def remove_server(self, server: str) -> None:
        """Remove a server that has left the server list. Its attempts in flight continue; nothing else is kept, so
        a new server at the same address starts without state."""
        server_pool = self.pools.pop(server, None)
        if server_pool is not None:
            self.drop_idle(server_pool)

    def drop_idle(self, server_pool: EndpointPool) -> None:
        while server_pool.idle:
            server_pool.idle.pop().close()

    # -- attempts ----------------------------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        server_pool = self.pools.get(attempt.server)
        if server_pool is None or not server_pool.accepts_new:
            self.end(attempt, result_of(SendProgress.NOTHING, EndCause.NO_CONNECTION))
            return
        connection = None if attempt.again else self.take_idle(server_pool, attempt.request)
        if connection is not None:
            self.exhausted_since_s = None
            connection.send(attempt)
            return
        if not self.has_capacity():
            if self.exhausted_since_s is None:
                self.exhausted_since_s = self.loop.time()
            log.warning("server %s: no connection available, all %d are in use", attempt.server, self.max_connections)
            self.end(attempt, result_of(SendProgress.NOTHING, EndCause.NO_CONNECTION))
            return
        self.exhausted_since_s = None
        self.connecting += 1
        attempt.connecting = self.loop.create_task(self.connect(attempt, server_pool.address))
        # Counted here and not in the task, because a task that is cancelled early never runs.
        attempt.connecting.add_done_callback(self.connect_done)

    def take_idle(self, server_pool: EndpointPool, request: str) -> ServerConnection | None:
        """Take the most recently used idle connection that is suitable for the request; close unusable ones."""
        now_s = self.loop.time()
        found, already_used = None, []
        while found is None and server_pool.idle:
            connection = server_pool.idle.pop()
            if now_s - connection.idle_since_s > connection.idle_timeout_s or not connection.quiet():
                connection.close()
            elif self.profile.echoes_request_id and request in connection.recent_requests:
                already_used.append(connection)
            else:
                found = connection
        server_pool.idle.extend(reversed(already_used))
        return found

    def below_limit(self) -> bool:
        """Whether another connection may be opened without closing one."""
        return len(self.connections) + self.connecting < self.max_connections

    def exhausted_for_s(self) -> float:
        """For how long attempts have found no connection available; 0 if one would find one now."""
        if self.exhausted_since_s is None or self.below_limit() or any(pool.idle for pool in self.pools.values()):
            return 0.0
        return self.loop.time() - self.exhausted_since_s

    def has_capacity(self) -> bool:
        """Whether another connection may be opened; if need be the longest idle one is closed."""
        if self.below_limit():
            return True
        idle = [server_pool.idle[0] for server_pool in self.pools.values() if server_pool.idle]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since_s).close()
        return True

    async def connect(self, attempt: Attempt, address: Address) -> None:
        connection = ServerConnection(self, attempt.server, address, self.now_us())
        try:
            await self.open_connection(connection, address)
        except asyncio.CancelledError:
            connection.close()
            raise
        except (OSError, TimeoutError):
            connection.close()
            self.end(attempt, result_of(SendProgress.NOTHING, EndCause.NO_CONNECTION))
            return
        # Counted only now: if the task is cancelled after connection_made, uvloop closes the connection without calling
        # connection_lost.
        if not connection.closed:
            self.connections.add(connection)
        attempt.connecting = None
        # Nothing is written if, in the meantime, the request ended, the server started to drain or changed its address,
        # or the server closed the connection again, for instance because it has too many.
        server_pool = self.pools.get(attempt.server)
        if (
            attempt.ended
            or server_pool is None
            or not server_pool.accepts_new
            or server_pool.address != address
            or not connection.quiet()
        ):
            connection.close()
            self.end(attempt, result_of(SendProgress.NOTHING, EndCause.NO_CONNECTION))
        else:
            connection.send(attempt)

    async def open_connection(self, connection: ServerConnection, address: Address) -> None:
        """Open a connection within the timeout. Raises OSError or TimeoutError.

        The event loop runs due timers before it looks at sockets. When it was held up for longer than the timeout, the
        connection may be up without it having seen that, so it turns a few more times first."""
        opening = self.loop.create_task(self.loop.create_connection(lambda: connection, *address))
        opening.add_done_callback(lambda task: task.cancelled() or task.exception())  # retrieved even if cancelled here
        try:
            await asyncio.wait({opening}, timeout=self.connect_timeout_s)
            for _ in range(TURNS_AFTER_TIMEOUT):
                if not opening.done():
                    await asyncio.sleep(0)
            if not opening.done():
                raise TimeoutError
            opening.result()
        finally:
            opening.cancel()

    def connect_done(self, task: asyncio.Task[None]) -> None:
        self.connecting -= 1
        if not task.cancelled() and task.exception() is not None:
            log.error("unexpected error while connecting", exc_info=task.exception())

    def stop(self, attempt: Attempt, cause: EndCause) -> None:
        """End an attempt from this side: close its connection and write nothing more."""
        if attempt.ended:
            return
        if attempt.connection is not None:
            attempt.connection.end(cause)
            return
        if attempt.connecting is not None:
            attempt.connecting.cancel()
        self.end(attempt, result_of(SendProgress.NOTHING, cause))

    def end(self, attempt: Attempt, result: AttemptResult, response: Response | None = None) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        attempt.may_have_run = result.may_have_run
        attempt.connection = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        report = None if response is None else self.profile.parse_load(response.header(self.profile.load_header))
        self.on_end(attempt, result.ending, response, report)

    # -- pool --------------------------------------------------------------------------------------------

    def return_to_pool(self, connection: ServerConnection) -> None:
        server_pool = self.pools.get(connection.server)
        if server_pool is None or not server_pool.accepts_new or connection.address != server_pool.address:
            connection.close()
            return
        connection.idle_since_s = self.loop.time()
        server_pool.idle.append(connection)

    def drop(self, connection: ServerConnection) -> None:
        # Immediately, not when connection_lost is called: until then it would count against the limit.
        self.connections.discard(connection)
        server_pool = self.pools.get(connection.server)
        if server_pool is not None and connection in server_pool.idle:
            server_pool.idle.remove(connection)

    def sweep(self) -> None:
        """Close connections that have exceeded their idle time."""
        now_s = self.loop.time()
        for server_pool in self.pools.values():
            while server_pool.idle and now_s - server_pool.idle[0].idle_since_s > server_pool.idle[0].idle_timeout_s:
                server_pool.idle[0].close()

    def close(self) -> None:
        for connection in list(self.connections):
            connection.close()
