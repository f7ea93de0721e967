"""The one table of requests: feeds balancers with events, carries out their actions, and answers clients.

It decides nothing about where, when or whether to send. What it adds is bookkeeping: each request gets
exactly one final answer, before its client gives up, also when a balancer or the carrier itself has a fault.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cypressbeam.balancing import interface as it
from cypressbeam.balancing.balancer import Balancer
from cypressbeam.proxy.attempts import EndCause, may_answer_status
from cypressbeam.proxy.http_responses import MAX_ANSWER_BYTES, Answer
from cypressbeam.proxy.protocol_profile import ProtocolProfile
from cypressbeam.proxy.response_validation import RequestContext
from cypressbeam.proxy.upstream import WHOLE_BODY, Attempt, Upstream

log = logging.getLogger(__name__)

#: An answer is due so long before its client gives up: for the way back, loop lag, parsing and writing.
ANSWER_MARGIN_US = 10_000
SWEEP_S = 1.0
#: Loop lag looks like slow servers to the balancer; one over so much is worth a line in the log.
LAG_TICK_S = 0.1
LAG_WARN_S = 0.05
LAG_LOG_EVERY_S = 10.0


class Clock:
    """Microseconds of Unix time that never go back: the monotonic clock, set once when the node starts.

    The list gives server starts in Unix time, so both can be compared.
    """

    def __init__(self) -> None:
        self.offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def __call__(self) -> int:
        return time.monotonic_ns() // 1000 + self.offset_us


class BalancerHost:
    """One balancer, and the events that wait for it."""

    def __init__(self, carrier: ProxyCore, balancer: Balancer) -> None:
        self.core = carrier
        self.balancer = balancer
        self.events: deque[it.Event] = deque()
        self.feeding = False

    def handle(self, event: it.Event) -> None:
        """Give the balancer an event. What its actions bring about at once waits its turn behind them."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    actions = self.balancer.handle(self.core.now_us(), event)
                except Exception:
                    log.exception("the balancer failed on %r", event)
                    self.core.abandon(event)
                    continue
                for action in actions:
                    try:
                        self.core.execute(self, action)
                    except Exception:
                        log.exception("action %r failed", action)
                        self.core.abandon(action)
        finally:
            self.feeding = False


@dataclass(slots=True, eq=False)
class ProxiedRequest:
    """A request that a client has sent, and what has become of it."""

    host: BalancerHost
    arrived: it.RequestArrived
    head: bytes
    """Request line and headers as they go to any server, without the blank line."""
    body: bytes
    respond: Callable[[Answer], None]
    repeatable: bool = False
    """Its client may send it again though it may have run."""
    asked: RequestContext = WHOLE_BODY
    """Which answers to it are whole."""
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    finished: bool = False
    timer: asyncio.TimerHandle | None = None
    last_ending: it.AttemptOutcome | None = None
    last_answer: Answer | None = None


class ProxyCore:
    """Requests between clients, balancers and the connections to servers. Programs derive from it."""

    def __init__(
        self,
        dialect: ProtocolProfile,
        connect_timeout_us: int,
        idle_us: int,
        server_connections: int,
        most_answer: int = MAX_ANSWER_BYTES,
        now_us: Callable[[], int] | None = None,
    ) -> None:
        """With another clock than the machine's, where one is given."""
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.profile = dialect
        self.now_us = now_us or Clock()
        self.requests: dict[str, ProxiedRequest] = {}
        self.upstream = Upstream(
            connect_timeout_us, idle_us, server_connections, self.now_us, self.attempt_ended, dialect, most_answer
        )
        self.lag_due_s = 0.0
        self.lag_logged_s = 0.0
        self.lag_most_s = 0.0

    def start_upkeep(self) -> None:
        self.sweep()
        self.watch_lag(first=True)

    # What a program may do in its own way.

    def advice(self, retry_after_us: int) -> list[tuple[bytes, bytes]]:
        """Headers of a refusal that tell the client when to come back."""
        return [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []

    def refusal(self, request: ProxiedRequest, retry_after_us: int) -> Answer:
        """The answer to a request that may be sent again."""
        return Answer(503, self.advice(retry_after_us))

    def failure(self, request: ProxiedRequest) -> Answer:
        """The answer to a request that has failed, and may have run."""
        return Answer(504 if request.last_ending is it.AttemptOutcome.TIMEOUT else 502)

    def list_wanted(self, whole: bool) -> None:
        """A balancer asks for the list, or for its changes."""

    def abandon(self, about: it.Event | it.Action) -> None:
        """After an unexpected error: the request that it concerns still gets its one answer."""
        request = self.requests.get(getattr(about, "request", ""))
        if request is not None:
            self.finish(request, Answer(500))
            self.stop_attempts(request, EndCause.CANCELLED)

    # -- requests ----------------------------------------------------------------------------------------

    def take(self, request: ProxiedRequest) -> None:
        """A client's request has come in; from here on it is owed one final answer."""
        arrived = request.arrived
        self.requests[arrived.request] = request
        # Timers go by whole milliseconds and may be early by one; the balancer must see the time as up.
        left_s = max(arrived.give_up_at_us - self.now_us(), 0) / 1e6 + 0.001
        request.timer = self.loop.call_later(left_s, self.time_is_up, request)
        request.host.handle(arrived)

    def knows(self, name: str) -> bool:
        return name in self.requests

    def client_gone(self, name: str) -> None:
        request = self.requests.get(name)
        if request is not None and not request.finished:
            self.close(request)
            request.host.handle(it.ClientGone(name))

    def time_is_up(self, request: ProxiedRequest) -> None:
        """The client is about to give up: attempts still out have timed out, and what is owed is given."""
        self.stop_attempts(request, EndCause.TIMED_OUT)
        if not request.finished:
            log.warning("request %s was left without an answer", request.arrived.request)
            self.finish(request, Answer(504))
            request.host.handle(it.ClientGone(request.arrived.request))

    def finish(self, request: ProxiedRequest, answer: Answer) -> None:
        """The one place where a final answer goes to a client; the first one stands."""
        if request.finished:
            return
        if not may_answer_status(
            answer.status, request.repeatable, (attempt.may_have_run for attempt in request.attempts)
        ):
            log.error("request %s may have run: %d would be a false promise", request.arrived.request, answer.status)
            answer = Answer(502)
        self.close(request)
        request.respond(answer)

    def close(self, request: ProxiedRequest) -> None:
        request.finished = True
        if request.out == 0:
            self.forget(request)

    def forget(self, request: ProxiedRequest) -> None:
        if request.timer is not None:
            request.timer.cancel()
        self.requests.pop(request.arrived.request, None)

    def stop_attempts(self, request: ProxiedRequest, cause: EndCause) -> None:
        for attempt in request.attempts:
            self.upstream.stop(attempt, cause)

    def attempt_ended(
        self, attempt: Attempt, ending: it.AttemptOutcome, answer: Answer | None, report: it.Report | None
    ) -> None:
        request = self.requests[attempt.request]
        request.out -= 1
        request.last_ending, request.last_answer = ending, answer
        latency_us = self.now_us() - attempt.sent_us
        if ending is it.AttemptOutcome.OK and answer is not None and not request.finished:
            self.finish(request, self.forwarded_answer(answer))
        elif request.finished and request.out == 0:
            self.forget(request)
        request.host.handle(
            it.AttemptEnded(
                attempt.request, attempt.number, attempt.server, ending, latency_us, request.finished, report
            )
        )

    def forwarded_answer(self, answer: Answer) -> Answer:
        """A server's answer as its client gets it."""
        headers = [(name, value) for name, value in answer.headers if name.lower() not in self.profile.not_passed_back]
        return Answer(answer.status, headers, answer.body, answer.length)

    # -- actions -----------------------------------------------------------------------------------------

    def execute(self, desk: BalancerHost, action: it.Action) -> None:
        if isinstance(action, it.Send):
            self.send(action)
        elif isinstance(action, it.SetTimer):
            self.loop.call_later(action.delay_us / 1e6, desk.handle, it.TimerFired(action.token))
        elif isinstance(action, it.Refuse):
            request = self.requests.get(action.request)
            if request is not None:
                self.finish(request, self.refusal(request, action.retry_after_us))
        elif isinstance(action, it.Fail):
            request = self.requests.get(action.request)
            if request is not None:
                self.finish(request, self.failure(request))
        elif isinstance(action, it.Cancel):
            request = self.requests.get(action.request)
            if request is not None and action.attempt < len(request.attempts):
                self.upstream.stop(request.attempts[action.attempt], EndCause.CANCELLED)
        elif isinstance(action, (it.Subscribe, it.FetchList)):
            self.list_wanted(whole=isinstance(action, it.FetchList))
        elif isinstance(action, it.Log):
            log.info("%s", action.text)
        else:  # probes and messages between nodes are not offered: the balancer is never told it may
            log.error("unknown action %r", action)

    def send(self, action: it.Send) -> None:
        request = self.requests.get(action.request)
        now_us = self.now_us()
        if request is None or request.finished:
            log.error("a send for request %s, which is over", action.request)
            return
        left_us = max(request.arrived.give_up_at_us - now_us, 1000)
        wait_us = min(action.timeout_us, left_us) if action.timeout_us > 0 else left_us
        lines = self.profile.address(max(wait_us // 1000, 1), action.server)
        message = b"%s%s\r\n%s" % (request.head, lines, request.body)
        attempt = Attempt(
            action.request,
            len(request.attempts),
            action.server,
            message,
            now_us,
            request.asked,
            any(tried.server == action.server for tried in request.attempts),
        )
        request.attempts.append(attempt)
        request.out += 1
        if wait_us < left_us:  # otherwise the request's own timer ends it
            attempt.timer = self.loop.call_later(wait_us / 1e6, self.upstream.stop, attempt, EndCause.TIMED_OUT)
        self.upstream.start(attempt)

    # -- upkeep ------------------------------------------------------------------------------------------

    def sweep(self) -> None:
        self.loop.call_later(SWEEP_S, self.sweep)
        self.upstream.sweep()

    def watch_lag(self, first: bool = False) -> None:
        now_s = self.now_us() / 1e6
        if not first:
            self.lag_most_s = max(self.lag_most_s, now_s - self.lag_due_s)
        if self.lag_most_s > LAG_WARN_S and now_s - self.lag_logged_s >= LAG_LOG_EVERY_S:
            log.warning("the event loop was up to %.0f ms late", self.lag_most_s * 1000)
            self.lag_logged_s, self.lag_most_s = now_s, 0.0
        self.lag_due_s = now_s + LAG_TICK_S
        self.loop.call_later(LAG_TICK_S, self.watch_lag)
