"""Connections to servers: the pool, attempts, and how each attempt ends.

An attempt is written once, whole, on a connection of its own for that time. What its end says of the request is
the table of `attempts`: before its connection got the first byte it never ran; after that, whatever breaks, it may.
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
from cypressbeam.proxy.http_responses import MAX_ANSWER_BYTES, Answer, ResponseReader, keep_alive_s, readable
from cypressbeam.proxy.protocol_profile import STANDALONE_PROFILE, ProtocolProfile
from cypressbeam.proxy.response_validation import RequestContext, begun_at_the_end

log = logging.getLogger(__name__)

#: Idle connections are retired after this share of the time at which the server would close them: a request
#: written as the server closes is a reset, which may have run.
IDLE_SHARE = 0.5
#: The same where the server itself said how long it keeps the connection.
TOLD_SHARE = 0.8
#: An answer whose body ends with what may be the beginning of another one waits so long for the bytes behind it.
DOUBT_S = 0.03
#: So many requests back a connection knows which it had: none is on it twice, for a copy of an earlier answer would
#: pass for the answer.
REMEMBERED = 32


WHOLE_BODY = RequestContext()


class Attempt:
    """One sending of a request to one server."""

    __slots__ = (
        "again",
        "asked",
        "connecting",
        "connection",
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
        asked: RequestContext = WHOLE_BODY,
        again: bool = False,
    ) -> None:
        self.asked = asked
        self.again = again  # its server had the request before: a connection may still bring that answer once more
        self.request = request
        self.number = number
        self.server = server
        self.message = message
        self.sent_us = sent_us
        self.ended = False
        self.may_have_run = True  # or may run yet, as far as is known
        self.connecting: asyncio.Task[None] | None = None
        self.connection: ServerConnection | None = None
        self.timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class EndpointPool:
    """Where a server is, and its idle connections, longest idle first."""

    address: Address
    started_us: int
    open_to_new: bool
    idle: deque[ServerConnection]


class ServerConnection(asyncio.Protocol):
    """One connection to a server, idle or with one attempt on it."""

    def __init__(self, upstream: Upstream, server: str, address: Address, opened_us: int) -> None:
        self.upstream = upstream
        self.server = server
        self.address = address  # kept here: one that was reset behind its answer has none to ask the system for
        self.opened_us = opened_us
        self.idle_since_s = 0.0
        self.attempt: Attempt | None = None
        self.unwritten = False
        self.closed = False
        self.carried: deque[str] = deque(maxlen=REMEMBERED)
        self.doubt: asyncio.TimerHandle | None = None
        """Runs while a whole answer waits for what may come behind it."""
        self.idle_s = upstream.idle_s
        dialect = upstream.profile
        self.reader = ResponseReader(upstream.most_answer, dialect.ident if dialect.names_answers else None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio.Transport: a check of the type would fail.
        self.transport: asyncio.Transport = cast(asyncio.Transport, transport)
        # With no room to buffer, a write goes to the system at once, and pause_writing tells of a rest.
        self.transport.set_write_buffer_limits(high=0)
        self.upstream.connections.add(self)

    def pause_writing(self) -> None:
        self.unwritten = True

    def resume_writing(self) -> None:
        self.unwritten = False

    def quiet(self) -> bool:
        """Whether nothing has come since the last answer, neither bytes nor the server's close. What has come
        unread would pass for the answer to the next request."""
        return not self.closed and not self.transport.is_closing() and not readable(self.transport)

    def sent(self) -> SendProgress:
        """How much of the request on this connection it was given."""
        return SendProgress.PART if self.unwritten else SendProgress.WHOLE

    def send(self, attempt: Attempt) -> None:
        self.attempt = attempt
        attempt.connection = self
        self.carried.append(attempt.request)
        self.reader.reset(attempt.asked.no_body, attempt.request.encode("latin-1"))
        self.transport.write(attempt.message)

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:  # a server has nothing to say unasked
            self.close()
            return
        if self.doubt is not None:
            self.reader.behind, self.reader.keep_alive = data, False
            self.answered()
            return
        dropped = self.reader.dropped
        try:
            self.reader.feed(data)
        except (ValueError, httptools.HttpParserError) as err:
            log.warning("server %s: %s", self.server, err.__context__ or err)
            self.end(EndCause.MALFORMED)
            return
        if self.reader.dropped > dropped:
            log.warning("server %s: an answer that belongs to no request is dropped", self.server)
        if not self.reader.complete:
            return
        if self.reader.left is not None and not self.reader.behind and begun_at_the_end(self.reader.answer.body):
            self.doubt = self.upstream.loop.call_later(DOUBT_S, self.answered)
        else:
            self.answered()

    def answered(self) -> None:
        """A whole answer is there, with all that is waited for behind it."""
        answer = self.reader.answer
        told_s = keep_alive_s(answer)
        if told_s is not None:
            self.idle_s = told_s * TOLD_SHARE
        self.end(EndCause.ANSWERED, answer)

    def end(self, cause: EndCause, answer: Answer | None = None) -> None:
        """Take the attempt off; only a whole answer to a whole request leaves the connection fit for more."""
        if self.doubt is not None:
            self.doubt.cancel()
            self.doubt = None
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            self.close()
            return
        reply = None if answer is None else self.judge(attempt, answer)
        known = result_of(self.sent(), cause, reply)
        if known.reusable and self.reader.keep_alive and not self.closed:
            self.upstream.keep(self)
        else:
            self.close()
        self.upstream.end(attempt, known, None if reply is ReplyKind.SPOILT else answer)

    def judge(self, attempt: Attempt, answer: Answer) -> ReplyKind:
        """What an answer says of its request. A success must prove that it is the server's own and whole."""
        reply = self.upstream.profile.judge(answer)
        if reply is ReplyKind.SUCCESS:
            flaw = self.upstream.profile.flaw(answer, attempt.asked, self.reader.behind)
            if flaw:
                log.warning(
                    "server %s: its answer %d to %s is not taken: %s", self.server, answer.status, attempt.request, flaw
                )
                return ReplyKind.SPOILT
        return reply

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            # Not close(): that would first write out a rest of the request, and the attempt is over.
            self.transport.abort()
            self.upstream.drop(self)

    def connection_lost(self, exc: Exception | None) -> None:
        # A close in order ends an answer without a length; a reset does not, nor one before the whole request was read.
        in_order = exc is None and not self.closed and self.sent() is SendProgress.WHOLE
        whole = self.doubt is not None or (in_order and self.attempt is not None and self.reader.ends_with_close())
        self.closed = True
        self.reader.close()
        self.upstream.drop(self)
        if self.attempt is None:
            return
        if whole:
            self.answered()
        else:
            self.end(EndCause.CLOSED)


class Upstream:
    """All connections to servers. `on_end` gets each attempt once, with its ending."""

    def __init__(
        self,
        connect_timeout_us: int,
        idle_us: int,
        most: int,
        now_us: Callable[[], int],
        on_end: Callable[[Attempt, AttemptOutcome, Answer | None, Report | None], None],
        dialect: ProtocolProfile = STANDALONE_PROFILE,
        most_answer: int = MAX_ANSWER_BYTES,
    ) -> None:
        self.profile = dialect
        self.most_answer = most_answer
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.idle_s = idle_us / 1e6 * IDLE_SHARE
        self.max_connections = most
        self.now_us = now_us
        self.on_end = on_end
        self.pools: dict[str, EndpointPool] = {}
        self.connections: set[ServerConnection] = set()
        self.stale: list[ServerConnection] = []
        self.connecting = 0

    # -- servers -----------------------------------------------------------------------------------------

    def pool(self, server: str, address: Address, started_us: int, open_to_new: bool) -> None:
        """Take up what the list says of a server. Attempts with a process that is no more are left for
        `end_stale`, to be ended once the balancer knows of the change."""
        place = self.pools.get(server)
        if place is None:
            self.pools[server] = EndpointPool(address, started_us, open_to_new, deque())
            return
        moved = place.address != address
        restarted = started_us > place.started_us
        place.address, place.started_us, place.open_to_new = address, started_us, open_to_new
        if moved or not open_to_new:
            self.drop_idle(place)
        if restarted:
            self.stale += [c for c in self.connections if c.server == server and c.opened_us < started_us]

    def end_stale(self) -> None:
        """A machine that vanished never resets its connections: what its old process was asked gets no answer
        any more. Connections opened since it started again belong to the new process."""
        stale, self.stale = self.stale, []
        for connection in stale:
            connection.end(EndCause.SERVER_GONE)

    def shut(self, server: str) -> None:
        """The server has left the list. What is out on its connections goes on; nothing else of it is kept,
        and one that comes to its address under a new id starts with nothing."""
        place = self.pools.pop(server, None)
        if place is not None:
            self.drop_idle(place)

    def drop_idle(self, place: EndpointPool) -> None:
        while place.idle:
            place.idle.pop().close()

    # -- attempts ----------------------------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        place = self.pools.get(attempt.server)
        if place is None or not place.open_to_new:
            self.end(attempt, result_of(SendProgress.NOTHING, EndCause.NO_CONNECTION))
            return
        connection = None if attempt.again else self.idle(place, attempt.request)
        if connection is not None:
            connection.send(attempt)
            return
        if not self.has_capacity():
            log.warning("server %s: no connection, all %d are in use", attempt.server, self.max_connections)
            self.end(attempt, result_of(SendProgress.NOTHING, EndCause.NO_CONNECTION))
            return
        self.connecting += 1
        attempt.connecting = self.loop.create_task(self.connect(attempt, place.address))
        # Counted here and not in the task, for one that is cancelled early never runs.
        attempt.connecting.add_done_callback(self.connected)

    def idle(self, place: EndpointPool, request: str) -> ServerConnection | None:
        """The connection that was idle for the shortest time, of those fit for the request; unfit ones are closed."""
        now_s = self.loop.time()
        found, had_it = None, []
        while found is None and place.idle:
            connection = place.idle.pop()
            if now_s - connection.idle_since_s > connection.idle_s or not connection.quiet():
                connection.close()
            elif self.profile.names_answers and request in connection.carried:
                had_it.append(connection)
            else:
                found = connection
        place.idle.extend(reversed(had_it))
        return found

    def has_capacity(self) -> bool:
        """Room for one more connection, by closing the one that has been idle longest if need be."""
        if len(self.connections) + self.connecting < self.max_connections:
            return True
        idle = [place.idle[0] for place in self.pools.values() if place.idle]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since_s).close()
        return True

    async def connect(self, attempt: Attempt, address: Address) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                opened_us = self.now_us()
                _, connection = await self.loop.create_connection(
                    lambda: ServerConnection(self, attempt.server, address, opened_us), *address
                )
        except (OSError, TimeoutError):
            self.end(attempt, result_of(SendProgress.NOTHING, EndCause.NO_CONNECTION))
            return
        attempt.connecting = None
        # While it came up the request may have ended, the list told of a drain or of another address, or the server
        # have closed it again, as one does that has too many: nothing is written then.
        place = self.pools.get(attempt.server)
        if (
            attempt.ended
            or place is None
            or not place.open_to_new
            or place.address != address
            or not connection.quiet()
        ):
            connection.close()
            self.end(attempt, result_of(SendProgress.NOTHING, EndCause.NO_CONNECTION))
        else:
            connection.send(attempt)

    def connected(self, task: asyncio.Task[None]) -> None:
        self.connecting -= 1
        if not task.cancelled() and task.exception() is not None:
            log.error("connecting failed unexpectedly", exc_info=task.exception())

    def stop(self, attempt: Attempt, cause: EndCause) -> None:
        """End an attempt from this side: its connection closes and nothing of it is written any more."""
        if attempt.ended:
            return
        if attempt.connection is not None:
            attempt.connection.end(cause)
            return
        if attempt.connecting is not None:
            attempt.connecting.cancel()
        self.end(attempt, result_of(SendProgress.NOTHING, cause))

    def end(self, attempt: Attempt, known: AttemptResult, answer: Answer | None = None) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        attempt.may_have_run = known.may_have_run
        attempt.connection = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        report = None if answer is None else self.profile.read_load(answer.header(self.profile.load))
        self.on_end(attempt, known.ending, answer, report)

    # -- pool --------------------------------------------------------------------------------------------

    def keep(self, connection: ServerConnection) -> None:
        place = self.pools.get(connection.server)
        if place is None or not place.open_to_new or connection.address != place.address:
            connection.close()
            return
        connection.idle_since_s = self.loop.time()
        place.idle.append(connection)

    def drop(self, connection: ServerConnection) -> None:
        # At once, not when its loss is told: until then it would take the room of another.
        self.connections.discard(connection)
        place = self.pools.get(connection.server)
        if place is not None and connection in place.idle:
            place.idle.remove(connection)

    def sweep(self) -> None:
        """Retire connections that have been idle for long."""
        now_s = self.loop.time()
        for place in self.pools.values():
            while place.idle and now_s - place.idle[0].idle_since_s > place.idle[0].idle_s:
                place.idle[0].close()

    def close(self) -> None:
        for connection in list(self.connections):
            connection.close()
