"""Clients as PROTOCOL.md has them: they come when they will, whatever the answers do, and try again within their time.

Load is open: a request comes at its time, whether or not those before it were answered, so a slow system can't hide
what it does by slowing those who ask.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

from cypressbeam.protocol.address import Address
from cypressbeam.proxy.http_responses import Response, ResponseReader
from lab.day import Kind
from lab.invariant_checker import Ledger, Try, Wish

MOST_ANSWER = 1 << 20
CONNECT_S = 1.0
#: A machine reads of a long request what has come: at most so many bytes at once.
PIECE = 16 * 1024
#: Before a try that nobody asked to wait for: at most so long, at random.
PAUSE_S = 0.2
#: A promise may be followed by another try; of what can't be repeated nothing else may.
PROMISES = frozenset({408, 421, 429, 503})
REPEATED = frozenset({500, 502, 504, *PROMISES})


class Wire(asyncio.Protocol):
    """One connection to a node, with one request on it at a time."""

    def __init__(self, on_stray: Callable[[], None]) -> None:
        self.reader = ResponseReader(MOST_ANSWER)
        self.done: asyncio.Future[Response] | None = None
        self.on_stray = on_stray
        self.closed = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.done is None or self.done.done():
            self.on_stray()
            self.close()
            return
        try:
            self.reader.feed(data)
        except (ValueError, httptools.HttpParserError) as err:
            self.done.set_exception(EOFError(str(err)))
            return
        if self.reader.complete:
            self.done.set_result(self.reader.answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.done is not None and not self.done.done():
            self.done.set_exception(EOFError("closed"))

    def was_read(self) -> bool:
        """Whether the node has read all that was sent to it."""
        return bool(self.transport.delivered())

    async def call(self, message: bytes, most_s: float) -> Response:
        """Raises EOFError where the connection ends first, TimeoutError where it takes longer."""
        self.reader.reset()
        self.done = asyncio.get_running_loop().create_future()
        for at in range(0, len(message), PIECE):
            self.transport.write(message[at : at + PIECE])
        async with asyncio.timeout(most_s):
            return await self.done

    def close(self) -> None:
        self.closed = True
        self.transport.close()


@dataclass
class ClientPopulation:
    """The clients of one zone. `nodes` gives the addresses that the platform passes them to, by name."""

    zone: str
    kinds: tuple[Kind, ...]
    share: float
    """Of all requests of each kind."""
    nodes: Callable[[], dict[str, Address]]
    host: Callable[[Kind], str]
    services: Callable[[Kind], set[str]]
    kept: float
    ledger: Ledger
    rng: random.Random
    stops_s: float = 0.0
    pace: dict[str, float] = field(default_factory=lambda: defaultdict(lambda: 1.0))
    """By service: how many times the usual rate."""
    count: int = 0
    idle: dict[str, list[Wire]] = field(default_factory=lambda: defaultdict(list))
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start(self) -> None:
        for kind in self.kinds:
            self.spawn(self.arrivals(kind))

    def spawn(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def arrivals(self, kind: Kind) -> None:
        """Requests come by chance alone, at the rate of the day."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.rng.expovariate(kind.per_s * self.share * self.pace[kind.service]))
            if loop.time() >= self.stops_s:
                return
            self.spawn(self.wish(kind))

    async def wish(self, kind: Kind) -> None:
        """One request over all its tries."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        ends_s = began_s + kind.deadline_ms / 1000
        self.count += 1
        name = f"{self.zone}-{self.count}"
        met: set[str] = set()
        served = False
        for number in range(1 + kind.repeats):
            answer, pause_s = await self.one_try(kind, f"{name}-{number}", ends_s, met, fresh=number > 0)
            served = answer is not None and answer.status < 300
            if served or not self.again(kind, answer) or loop.time() + pause_s >= ends_s:
                break
            await asyncio.sleep(pause_s)
        took_s = loop.time() - began_s
        earned = (kind.worth if took_s <= kind.aim_ms / 1000 else kind.late_worth) if served else 0.0
        self.ledger.wishes.append(Wish(kind.name, began_s, took_s, kind.worth, earned, served))

    def again(self, kind: Kind, answer: Response | None) -> bool:
        """Whether a client may try again after this."""
        if kind.mode == "idempotent":
            return answer is None or answer.status in REPEATED
        return answer is not None and answer.status in PROMISES

    async def one_try(
        self, kind: Kind, ident: str, ends_s: float, met: set[str], fresh: bool, of_repeat: bool = False
    ) -> tuple[Response | None, float]:
        """The answer, if one came, and how long to wait before another try."""
        loop = asyncio.get_running_loop()
        nodes = self.nodes()
        choice = sorted(nodes.keys() - met or nodes)
        if not choice:
            return None, self.rng.uniform(0.0, PAUSE_S)
        node = self.rng.choice(choice)
        met.add(node)
        method, target = (b"GET" if kind.mode == "idempotent" else b"POST"), f"/{kind.name}/{ident}".encode()
        body = ident.encode() * (kind.body // len(ident) + 1) if kind.body else b""
        left_ms = max(int(1000 * (ends_s - loop.time())), 1)
        message = (
            b"%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s"
            % (method, target, self.host(kind).encode(), ident.encode(), left_ms, len(body), body)
        )
        one = Try(
            ident,
            kind.name,
            kind.mode == "idempotent",
            node,
            (method, target, body),
            loop.time(),
            servers=kind.tries,
            ends_s=ends_s,
            cutoff_s=kind.cutoff / 1000,
            worth=kind.worth,
            of_repeat=of_repeat,
        )
        self.ledger.sends(one, self.services(kind))
        answer: Response | None = None
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            answer = await self.exchange(one, nodes[node], message, fresh)
        one.ended_s = loop.time()
        if answer is None:
            return None, self.rng.uniform(0.0, PAUSE_S)
        one.status = answer.status
        self.check(one, answer)
        told = answer.header(b"retry-after")
        return answer, float(told) if told is not None else self.rng.uniform(0.0, PAUSE_S)

    async def exchange(self, one: Try, address: Address, message: bytes, fresh: bool) -> Response:
        loop = asyncio.get_running_loop()
        idle = self.idle[one.node]
        wire = None
        while idle and not fresh and wire is None:
            kept = idle.pop()
            wire = None if kept.closed else kept
        if wire is None:
            async with asyncio.timeout(CONNECT_S):
                _, wire = await loop.create_connection(lambda: Wire(self.stray), *address)
        try:
            one.asked_s = loop.time()
            answer = await wire.call(message, max(one.ends_s - loop.time(), 0.001))
        except BaseException:
            one.was_read = wire.was_read()
            wire.close()
            raise
        if wire.reader.keep_alive and self.rng.random() < self.kept:
            idle.append(wire)
        else:
            wire.close()
        return answer

    def stray(self) -> None:
        self.ledger.breach("MIXED", asyncio.get_running_loop().time(), "bytes on a connection where no request waits")

    def check(self, one: Try, answer: Response) -> None:
        """MIXED: a success has its server's seal and the whole body of the server's answer to this very request; a
        failure that has a seal has the status that its server gave."""
        if answer.status >= 300:
            self.check_failure(one, answer)
            return
        seal = answer.header(b"server-seal") or b""
        server, _, ident = seal.rpartition(b".")
        whole = b"from %s: %s %s\n" % (server, one.what[0], one.what[1])
        if ident != one.ident.encode() or answer.body != whole:
            self.ledger.breach("MIXED", one.ended_s or one.sent_s, f"{one.ident} got an answer sealed {seal!r}")

    def check_failure(self, one: Try, answer: Response) -> None:
        for seal in [value for name, value in answer.headers if name.lower() == b"server-seal"]:
            given = self.ledger.given.get(seal)
            if given != answer.status or seal.rpartition(b".")[2] != one.ident.encode():
                self.ledger.breach(
                    "MIXED",
                    one.ended_s or one.sent_s,
                    f"{one.ident} got {answer.status} sealed {seal!r}, whose server gave {given}",
                )
