"""The request table: feeds events to the balancers, executes their actions and responds to clients.

Balancers decide where, when and whether to send. The core only keeps track: each request gets exactly one final
response before its client times out, even if a balancer or the core itself raises an unexpected error.
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
from cypressbeam.proxy.http_requests import BodyReservation
from cypressbeam.proxy.http_responses import MAX_COPIED_BODY_BYTES, MAX_RESPONSE_BYTES, Response
from cypressbeam.proxy.protocol_profile import ProtocolProfile
from cypressbeam.proxy.response_validation import RequestContext
from cypressbeam.proxy.upstream import UNLIMITED_BYTES, WHOLE_BODY, Attempt, Upstream

log = logging.getLogger(__name__)

#: How long before the client's timeout a response is due: for the network, event loop lag, parsing and writing.
RESPONSE_MARGIN_US = 10_000
SWEEP_INTERVAL_S = 1.0
#: Event loop lag looks like slow servers to the balancer, so lag over `LAG_WARNING_S` is logged.
LAG_CHECK_INTERVAL_S = 0.1
LAG_WARNING_S = 0.05
LAG_LOG_INTERVAL_S = 10.0


class Clock:
    """Monotonic Unix time in microseconds: the monotonic clock plus an offset that is determined once, at startup.

    The server list gives start times in Unix time, so the two can be compared.
    """

    def __init__(self) -> None:
        self.offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def __call__(self) -> int:
        return time.monotonic_ns() // 1000 + self.offset_us


class BalancerHost:
    """A balancer and its event queue."""

    def __init__(self, core: ProxyCore, balancer: Balancer) -> None:
        self.core = core
        self.balancer = balancer
        self.events: deque[it.Event] = deque()
        self.dispatching = False

    def handle(self, event: it.Event) -> None:
        """Pass an event to the balancer. Events that its actions cause are queued until the actions are done."""
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    actions = self.balancer.handle(self.core.now_us(), event)
                except Exception:
                    log.exception("balancer failed on event %r", event)
                    self.core.abandon(event)
                    continue
                for action in actions:
                    try:
                        self.core.execute(self, action)
                    except Exception:
                        log.exception("action %r failed", action)
                        self.core.abandon(action)
        finally:
            self.dispatching = False


@dataclass(slots=True, eq=False)
class ProxiedRequest:
    """A client request and its state."""

    host: BalancerHost
    arrived: it.RequestArrived
    head: bytes
    """Request line and headers that every server gets, without the blank line."""
    body: bytes
    respond: Callable[[Response], None]
    idempotent: bool = False
    """The request may be repeated even though it may have been executed."""
    context: RequestContext = WHOLE_BODY
    """Decides which responses are complete."""
    body_reservation: BodyReservation | None = None
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    finished: bool = False
    timer: asyncio.TimerHandle | None = None
    last_ending: it.AttemptOutcome | None = None
    last_response: Response | None = None


class ProxyCore:
    """Connects clients, balancers and server connections. Base class of the gateway and of the standalone node."""

    def __init__(
        self,
        profile: ProtocolProfile,
        connect_timeout_us: int,
        idle_us: int,
        server_connections: int,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        now_us: Callable[[], int] | None = None,
        response_budget_bytes: int = UNLIMITED_BYTES,
    ) -> None:
        """`now_us` replaces the system clock, for simulations."""
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.profile = profile
        self.now_us = now_us or Clock()
        self.requests: dict[str, ProxiedRequest] = {}
        self.upstream = Upstream(
            connect_timeout_us,
            idle_us,
            server_connections,
            self.now_us,
            self.attempt_ended,
            profile,
            max_response_bytes,
            response_budget_bytes,
        )
        self.next_lag_check_s = 0.0
        self.lag_last_logged_s = 0.0
        self.max_lag_s = 0.0

    def start_periodic_tasks(self) -> None:
        self.sweep()
        self.watch_lag(first=True)

    # Subclasses may override these.

    def retry_after_headers(self, retry_after_us: int) -> list[tuple[bytes, bytes]]:
        """Headers of a refusal that tell the client when to retry."""
        return [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []

    def refusal(self, request: ProxiedRequest, retry_after_us: int) -> Response:
        """The response to a request that the client may retry."""
        return Response(503, self.retry_after_headers(retry_after_us))

    def failure(self, request: ProxiedRequest) -> Response:
        """The response to a request that failed and may have been executed."""
        return Response(504 if request.last_ending is it.AttemptOutcome.TIMEOUT else 502)

    def on_list_requested(self, whole: bool) -> None:
        """Called when a balancer asks for the server list (`whole`) or for its changes."""

    def abandon(self, subject: it.Event | it.Action) -> None:
        """After an unexpected error, respond to the request that the event or action concerns and stop its attempts."""
        request = self.requests.get(getattr(subject, "request", ""))
        if request is not None:
            self.finish(request, Response(500))
            self.stop_attempts(request, EndCause.CANCELLED)

    # -- requests ----------------------------------------------------------------------------------------

    def start_request(self, request: ProxiedRequest) -> None:
        """Accept a client request. From here on it gets exactly one final response."""
        arrived = request.arrived
        self.requests[arrived.request] = request
        # Timers have millisecond resolution and may fire 1 ms early; for the balancer the deadline must have passed.
        remaining_s = max(arrived.give_up_at_us - self.now_us(), 0) / 1e6 + 0.001
        request.timer = self.loop.call_later(remaining_s, self.time_is_up, request)
        request.host.handle(arrived)

    def has_request(self, name: str) -> bool:
        return name in self.requests

    def client_disconnected(self, name: str) -> None:
        request = self.requests.get(name)
        if request is not None and not request.finished:
            self.close(request)
            request.host.handle(it.ClientGone(name))

    def time_is_up(self, request: ProxiedRequest) -> None:
        """The deadline has passed: end the attempts in flight as timed out, and respond if that is still pending."""
        self.stop_attempts(request, EndCause.TIMED_OUT)
        if not request.finished:
            log.warning("request %s was left without a response until its deadline", request.arrived.request)
            self.finish(request, Response(504))
            request.host.handle(it.ClientGone(request.arrived.request))

    def finish(self, request: ProxiedRequest, response: Response) -> None:
        """Send the final response to the client. Any later one is ignored."""
        if request.finished:
            return
        if not may_answer_status(
            response.status, request.idempotent, (attempt.may_have_run for attempt in request.attempts)
        ):
            log.error(
                "request %s may have run on a server: responding 502 instead of %d",
                request.arrived.request,
                response.status,
            )
            response = Response(502)
        self.close(request)
        request.respond(response)

    def close(self, request: ProxiedRequest) -> None:
        request.finished = True
        if request.in_flight == 0:
            self.forget(request)

    def forget(self, request: ProxiedRequest) -> None:
        if request.timer is not None:
            request.timer.cancel()
        self.requests.pop(request.arrived.request, None)

    def stop_attempts(self, request: ProxiedRequest, cause: EndCause) -> None:
        for attempt in request.attempts:
            self.upstream.stop(attempt, cause)

    def attempt_ended(
        self, attempt: Attempt, ending: it.AttemptOutcome, response: Response | None, report: it.Report | None
    ) -> None:
        request = self.requests[attempt.request]
        request.in_flight -= 1
        request.last_ending, request.last_response = ending, response
        latency_us = self.now_us() - attempt.sent_us
        if ending is it.AttemptOutcome.OK and response is not None and not request.finished:
            self.finish(request, self.forwarded_answer(response))
        elif request.finished and request.in_flight == 0:
            self.forget(request)
        request.host.handle(
            it.AttemptEnded(
                attempt.request, attempt.number, attempt.server, ending, latency_us, request.finished, report
            )
        )

    def forwarded_answer(self, response: Response) -> Response:
        """The response to the client for a server's response."""
        headers = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in self.profile.dropped_response_headers
        ]
        return Response(response.status, headers, response.body, response.length, response.reservation)

    # -- actions -----------------------------------------------------------------------------------------

    def execute(self, host: BalancerHost, action: it.Action) -> None:
        if isinstance(action, it.Send):
            self.send(action)
        elif isinstance(action, it.SetTimer):
            self.loop.call_later(action.delay_us / 1e6, host.handle, it.TimerFired(action.token))
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
            self.on_list_requested(whole=isinstance(action, it.FetchList))
        elif isinstance(action, it.Log):
            log.info("%s", action.text)
        else:  # probes and messages between nodes are unsupported, and the settings never allow them
            log.error("unknown action %r", action)

    def send(self, action: it.Send) -> None:
        request = self.requests.get(action.request)
        now_us = self.now_us()
        if request is None or request.finished:
            log.error("send for finished request %s ignored", action.request)
            return
        remaining_us = max(request.arrived.give_up_at_us - now_us, 1000)
        timeout_us = min(action.timeout_us, remaining_us) if action.timeout_us > 0 else remaining_us
        address_headers = self.profile.address(max(timeout_us // 1000, 1), action.server)
        message = b"%s%s\r\n" % (request.head, address_headers)
        separate_body = request.body
        if len(request.body) <= MAX_COPIED_BODY_BYTES:
            message, separate_body = message + request.body, b""
        attempt = Attempt(
            action.request,
            len(request.attempts),
            action.server,
            message,
            now_us,
            request.context,
            any(earlier.server == action.server for earlier in request.attempts),
            separate_body,
        )
        request.attempts.append(attempt)
        request.in_flight += 1
        if timeout_us < remaining_us:  # otherwise the timer of the request ends the attempt
            attempt.timer = self.loop.call_later(timeout_us / 1e6, self.upstream.stop, attempt, EndCause.TIMED_OUT)
        self.upstream.start(attempt)

    # -- upkeep ------------------------------------------------------------------------------------------

    def sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.upstream.sweep()

    def watch_lag(self, first: bool = False) -> None:
        now_s = self.now_us() / 1e6
        if not first:
            self.max_lag_s = max(self.max_lag_s, now_s - self.next_lag_check_s)
        if self.max_lag_s > LAG_WARNING_S and now_s - self.lag_last_logged_s >= LAG_LOG_INTERVAL_S:
            log.warning("event loop lag of up to %.0f ms", self.max_lag_s * 1000)
            self.lag_last_logged_s, self.max_lag_s = now_s, 0.0
        self.next_lag_check_s = now_s + LAG_CHECK_INTERVAL_S
        self.loop.call_later(LAG_CHECK_INTERVAL_S, self.watch_lag)
