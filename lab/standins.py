"""Stand-ins written from PROTOCOL.md: servers that work on requests, and the platform's list of them."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from dataclasses import dataclass, field

import cbor2

from mallowworks.carrier import Clock
from mallowworks.discovery import Address
from mallowworks.frontend import ClientConnection, Frontend
from mallowworks.http import Answer, Limits
from mallowworks.messages import BadRequest, Message

LIMITS = Limits(body_bytes=64 * 1024 * 1024, ask_s=5.0, body_s=5.0, idle_s=30.0, body_renews=True)


class StandIn:
    """An application at a listening socket of its own."""

    def __init__(self) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.now_us = Clock()
        self.frontend = Frontend(self, 1000, 10, LIMITS)
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

    def client_gone(self, name: str) -> None:
        """What runs goes on; its answer has nowhere to go."""

    def serve(self, message: Message, connection: ClientConnection) -> Answer | None:
        raise NotImplementedError


def header(message: Message, name: bytes) -> bytes | None:
    return next((value for lower, _, value in message.headers if lower == name), None)


def named(message: Message) -> list[tuple[bytes, bytes]]:
    """The header by which an answer names its request."""
    return [(b"Attempt-Id", header(message, b"attempt-id") or b"")]


class Server(StandIn):
    """A server: so many slots, a queue behind them, and work of a fixed length for each request."""

    def __init__(self, plant: str, zone: str = "", slots: int = 8, queue: int = 16, work_s: float = 0.0) -> None:
        super().__init__()
        self.ident = f"i-{secrets.token_hex(5)}"
        self.plant, self.zone, self.slots, self.queue, self.work_s = plant, zone, slots, queue, work_s
        self.state = "in_service"
        self.running = 0
        self.waiting: list[tuple[Message, ClientConnection]] = []
        self.ran: list[tuple[bytes, bytes, bytes, bytes]] = []
        """Attempt-Id, method, target and body of each request that ran."""
        self.failing = 0
        """So many of the next requests run and end in a 500."""

    def load(self) -> tuple[bytes, bytes]:
        return b"Server-Load", b"%d,%d,%d" % (self.running, len(self.waiting), self.slots)

    def serve(self, message: Message, connection: ClientConnection) -> Answer | None:
        if message.target == b"/health":
            return Answer(200 if self.state == "in_service" else 503,
                          [(b"Server-Id", self.ident.encode()), self.load()])
        target = header(message, b"target-server")
        if target is not None and target != self.ident.encode():
            return Answer(421, [*named(message), (b"Server-Id", self.ident.encode())])
        if header(message, b"attempt-id") is None:
            return Answer(400, [(b"Not-Executed", b"1")])
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                return Answer(503, [*named(message), (b"Not-Executed", b"1"), self.load()])
            self.waiting.append((message, connection))
        else:
            self.begin(message, connection)
        return None

    def begin(self, message: Message, connection: ClientConnection) -> None:
        self.running += 1
        self.ran.append((header(message, b"attempt-id") or b"", message.method, message.target, message.body))
        self.loop.call_later(self.work_s, self.end, message, connection)

    def end(self, message: Message, connection: ClientConnection) -> None:
        self.running -= 1
        status, self.failing = (500, self.failing - 1) if self.failing else (200, 0)
        seal = b"%s.%s" % (self.ident.encode(), header(message, b"attempt-id"))
        connection.respond(Answer(status, [*named(message), (b"Server-Seal", seal), self.load()],
                                  b"from %s: %s %s\n" % (self.ident.encode(), message.method, message.target)))
        if self.waiting and self.running < self.slots:
            self.begin(*self.waiting.pop(0))


@dataclass
class Platform(StandIn):
    """The platform's list, with pages and, if wanted, refusals over the rate."""

    page: int = 50
    refuse: int = 0
    """So many of the next calls get 429."""
    servers: list[Server] = field(default_factory=list)
    calls: int = 0

    def __post_init__(self) -> None:
        StandIn.__init__(self)

    def serve(self, message: Message, connection: ClientConnection) -> Answer | None:
        path, _, query = message.target.partition(b"?")
        if path != b"/servers":
            raise BadRequest(404, "no such call")
        self.calls += 1
        if self.refuse:
            self.refuse -= 1
            return Answer(429)
        at = int(query.partition(b"pageToken=p-")[2] or b"0")
        rows = [{"id": server.ident, "plant": server.plant, "zone": server.zone, "revision": "v1",
                 "address": f"{server.address[0]}:{server.address[1]}", "capacity": server.slots,
                 "state": server.state, "warmupLeftMs": 0}
                for server in itertools.islice(self.servers, at, at + self.page)]
        more = at + self.page < len(self.servers)
        body = cbor2.dumps({"servers": rows, "nextToken": f"p-{at + self.page}" if more else None})
        return Answer(200, [(b"Content-Type", b"application/cbor")], body)
