"""Stand-ins written from PROTOCOL.md: servers that work on requests, and the platform's list of them.

They are the same on real sockets and on a simulated network: what they run on follows from the event loop.
"""

from __future__ import annotations

import asyncio
import math
import random
import secrets
import weakref
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import cbor2

from cypressbeam.protocol.address import Address
from cypressbeam.proxy.frontend import ClientConnection, Frontend
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage
from cypressbeam.proxy.http_responses import Limits, Response
from cypressbeam.proxy.proxy_core import Clock
from lab.invariant_checker import Ledger, Run

LIMITS = Limits(
    max_body_bytes=64 * 1024 * 1024,
    head_timeout_s=5.0,
    body_timeout_s=5.0,
    idle_timeout_s=30.0,
    body_timeout_restarts=True,
)
#: How unlike the work of two requests is: the deviation of its logarithm.
WORK_SPREAD = 0.35
#: A server that has just started works at this share of its speed, for so long.
COLD_SPEED, COLD_S = 0.5, 3.0
#: An error of a server that is ill comes sooner than an answer: this part of the work.
ERROR_WORK = 0.05


class StandIn:
    """An application at a listening socket of its own."""

    def __init__(self, connections: int = 1000) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.now_us = Clock()
        self.frontend = Frontend(self, connections, 0, LIMITS)
        self.address: Address = ("", 0)

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        await self.frontend.listen(host, port)
        assert self.frontend.server is not None
        self.address = self.frontend.server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        self.frontend.stop_accepting()
        for connection in [*self.frontend.connections]:
            connection.transport.abort()

    def can_serve(self) -> bool:
        return True

    def client_disconnected(self, name: str) -> None:
        """What runs goes on; its answer has nowhere to go."""

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        raise NotImplementedError


def header(message: RequestMessage, name: bytes) -> bytes | None:
    return next((value for lower, _, value in message.headers if lower == name), None)


def name_of(message: RequestMessage) -> str:
    return (header(message, b"attempt-id") or b"").decode("latin-1")


def named(message: RequestMessage) -> list[tuple[bytes, bytes]]:
    """The header by which an answer names its request."""
    return [(b"Attempt-Id", header(message, b"attempt-id") or b"")]


@dataclass(frozen=True, slots=True)
class Illness:
    """What is wrong with a server: it concerns this share of its requests."""

    how: str
    """errors: 500 after little work; shed, busy: turned away with 503 or 429 though there is room; hang, mute: run, and
    never answered; reset: run, and the connection reset; slow: `times` as long."""
    share: float = 1.0
    times: float = 4.0


class Server(StandIn):
    """A server: so many slots, a queue behind them, and work for each request, of fixed or of drawn length."""

    def __init__(
        self,
        plant: str,
        zone: str = "",
        slots: int = 8,
        queue: int = 16,
        work_s: float = 0.0,
        ident: str = "",
        connections: int = 1000,
        ledger: Ledger | None = None,
        work_of: Callable[[bytes], float] | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """`work_of` gives the mean work for a target, in seconds, in place of the fixed length; `ledger` is told of
        what comes and what runs."""
        super().__init__(connections)
        self.ident = ident or f"i-{secrets.token_hex(5)}"
        self.plant, self.zone, self.slots, self.queue, self.work_s = plant, zone, slots, queue, work_s
        self.work_of, self.ledger, self.rng = work_of, ledger, rng or random.Random()
        self.speed = 1.0
        self.call_of: Callable[[Server, RequestMessage], Coroutine[Any, Any, None] | None] = lambda server, message: (
            None
        )
        """The call to the system that belongs to the work on a request, if there is one."""
        self.started_s = -math.inf
        """For the work's length: one that started long ago is warm."""
        self.history: list[tuple[float, str]] = [(-math.inf, "in_service")]
        self.running = 0
        self.working: set[asyncio.Task[None]] = set()
        self.waiting: list[tuple[RequestMessage, ClientConnection]] = []
        self.ran: list[tuple[bytes, bytes, bytes, bytes]] = []
        """Attempt-Id, method, target and body of each request that ran."""
        self.failing = 0
        """So many of the next requests run and end in a 500."""
        self.illness: Illness | None = None
        self.loses = self.repeats = 0.0
        """Shares of the answers that are lost, and that come with another one's before them."""
        self.last_answer: Response | None = None
        self.forgets_s = math.inf
        """Connections that have rested for so long are forgotten without a word."""
        self.rests: weakref.WeakKeyDictionary[ClientConnection, float] = weakref.WeakKeyDictionary()

    @property
    def state(self) -> str:
        return self.history[-1][1]

    @state.setter
    def state(self, state: str) -> None:
        self.history.append((self.loop.time(), state))

    def state_at(self, at_s: float) -> str:
        return next(state for since_s, state in reversed(self.history) if since_s <= at_s)

    def cold_ms(self, at_s: float) -> int:
        return max(int(1000 * (self.started_s + COLD_S - at_s)), 0) if self.started_s > -math.inf else 0

    def load(self) -> tuple[bytes, bytes]:
        return b"Server-Load", b"%d,%d,%d" % (self.running, len(self.waiting), self.slots)

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        if message.target == b"/health":
            return Response(
                200 if self.state == "in_service" else 503, [(b"Server-Id", self.ident.encode()), self.load()]
            )
        ident, target = header(message, b"attempt-id"), header(message, b"target-server")
        if self.loop.time() - self.rests.pop(connection, self.loop.time()) > self.forgets_s:
            self.break_off(message, connection)
            return None
        if target is not None and target != self.ident.encode():
            return Response(421, [*named(message), (b"Server-Id", self.ident.encode())])
        if ident is None:
            return Response(400, [(b"Not-Executed", b"1")])
        if self.ledger is not None:
            self.ledger.arrived(self.loop.time(), ident.decode("latin-1"), self.ident, self.plant)
        ill = self.ill()
        if ill in ("shed", "busy"):
            return self.turned_away(message, 503 if ill == "shed" else 429)
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                return self.turned_away(message, 503)
            self.waiting.append((message, connection))
        else:
            self.begin(message, connection, ill)
        return None

    def ill(self) -> str:
        """What befalls the next request."""
        illness = self.illness
        return illness.how if illness is not None and self.rng.random() < illness.share else ""

    def turned_away(self, message: RequestMessage, status: int) -> Response:
        return Response(status, [*named(message), (b"Not-Executed", b"1"), self.load()])

    def takes_s(self, message: RequestMessage, ill: str) -> float:
        if self.work_of is None:
            return self.work_s
        takes_s = self.work_of(message.target) * self.rng.lognormvariate(0.0, WORK_SPREAD) / self.speed
        if self.loop.time() - self.started_s < COLD_S:
            takes_s /= COLD_SPEED
        if ill == "slow" and self.illness is not None:
            takes_s *= self.illness.times
        return takes_s * (ERROR_WORK if ill == "errors" else 1.0)

    def begin(self, message: RequestMessage, connection: ClientConnection, ill: str = "") -> None:
        self.running += 1
        ident = header(message, b"attempt-id") or b""
        self.ran.append((ident, message.method, message.target, message.body))
        if self.ledger is not None:
            self.ledger.ran(
                Run(
                    ident.decode("latin-1"),
                    self.ident,
                    self.plant,
                    (message.method, message.target, message.body),
                    self.loop.time(),
                )
            )
        takes_s, call = self.takes_s(message, ill), self.call_of(self, message)
        if call is None:
            self.loop.call_later(takes_s, self.end, message, connection, ill)
        else:
            task = self.loop.create_task(self.work_and_call(takes_s, call, message, connection, ill))
            self.working.add(task)
            task.add_done_callback(self.working.discard)

    async def work_and_call(
        self,
        takes_s: float,
        call: Coroutine[Any, Any, None],
        message: RequestMessage,
        connection: ClientConnection,
        ill: str,
    ) -> None:
        """With the call in the middle of the work."""
        await asyncio.sleep(takes_s / 2)
        await call
        await asyncio.sleep(takes_s / 2)
        self.end(message, connection, ill)

    def end(self, message: RequestMessage, connection: ClientConnection, ill: str = "") -> None:
        self.running -= 1
        if self.ledger is not None:
            self.ledger.done(name_of(message), self.ident, self.loop.time())
        if ill == "reset" or self.rng.random() < self.loses:
            self.break_off(message, connection)
        elif ill not in ("hang", "mute"):
            self.answer(message, connection, ill)
        if self.waiting and self.running < self.slots:
            self.begin(*self.waiting.pop(0), self.ill())

    def break_off(self, message: RequestMessage, connection: ClientConnection) -> None:
        if self.ledger is not None:
            self.ledger.broke_off.add(name_of(message))
        connection.transport.abort()

    def answer(self, message: RequestMessage, connection: ClientConnection, ill: str) -> None:
        status, self.failing = (500, self.failing - 1) if self.failing else (500 if ill == "errors" else 200, 0)
        seal = b"%s.%s" % (self.ident.encode(), header(message, b"attempt-id"))
        answer = Response(
            status,
            [*named(message), (b"Server-Seal", seal), self.load()],
            b"from %s: %s %s\n" % (self.ident.encode(), message.method, message.target),
        )
        if self.ledger is not None:
            self.ledger.given[seal] = status
        if (
            self.last_answer is not None
            and not connection.transport.is_closing()
            and (self.rng.random() < self.repeats)
        ):
            connection.write(self.last_answer, close=False)
        self.last_answer = answer
        self.rests[connection] = self.loop.time()
        connection.respond(answer)


@dataclass
class Platform(StandIn):
    """The platform's list, with pages and, if wanted, refusals over the rate. It shows what was so long ago."""

    page: int = 50
    refuse: int = 0
    """So many of the next calls get 429."""
    servers: list[Server] = field(default_factory=list)
    calls: int = 0
    delay_s: float = 0.0

    def __post_init__(self) -> None:
        StandIn.__init__(self)

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        path, _, query = message.target.partition(b"?")
        if path != b"/servers":
            raise BadRequestError(404, "no such call")
        self.calls += 1
        if self.refuse:
            self.refuse -= 1
            return Response(429)
        at, then_s = int(query.partition(b"pageToken=p-")[2] or b"0"), self.loop.time() - self.delay_s
        listed = [
            (server, state)
            for server in self.servers
            if server.history[0][0] <= then_s and (state := server.state_at(then_s)) != "gone"
        ]
        rows = [
            {
                "id": server.ident,
                "plant": server.plant,
                "zone": server.zone,
                "revision": "v1",
                "address": f"{server.address[0]}:{server.address[1]}",
                "capacity": server.slots,
                "state": state,
                "warmupLeftMs": server.cold_ms(then_s),
            }
            for server, state in listed[at : at + self.page]
        ]
        more = at + self.page < len(listed)
        body = cbor2.dumps({"servers": rows, "nextToken": f"p-{at + self.page}" if more else None})
        return Response(200, [(b"Content-Type", b"application/cbor")], body)
