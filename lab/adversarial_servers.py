"""The real gate between clients and servers that do their worst, in memory: bytes come and go when a test says so.

The clock is the simulation's. What a server was given, and what it told, is kept, and held against what the clients
got: a server may have run each request of which it was given a byte, unless it has proven that it did not.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from cypressbeam.distribution import endpoint_list
from cypressbeam.protocol.configuration import Configuration, RouteConfiguration, ServiceConfiguration
from cypressbeam.protocol.settings import parse
from cypressbeam.proxy.attempts import NOT_EXECUTED_STATUSES
from cypressbeam.proxy.frontend import ClientConnection, Frontend
from cypressbeam.proxy.gateway import Gateway
from cypressbeam.proxy.upstream import Attempt, ServerConnection
from lab.simulation import Loop, Net

SETTINGS = """node=edge-1
ip=10.1.0.13
zone=a
listeners.front=10.1.0.13:8641
internalPorts=7620,7635
seedPeers=10.1.0.16:8649
bootstrap=true
envelope.retryRatio=5
envelope.retrySlack=60
"""
CUTOFF_MS = 2000
#: Far over the balancer's pause before a second server, and what a client's deadline leaves to the last.
SOON_S, TO_THE_END_S = 0.3, 2.1
SERVERS = 4


class BrokenRuleError(Exception):
    """What does not hold, by the name of its rule where it has one."""


def hold(holds: bool, text: str) -> None:
    if not holds:
        raise BrokenRuleError(text)


class Wire(asyncio.Transport):
    """The program's end of a connection. It takes so many bytes at once (`room`); the rest waits until `drain`."""

    def __init__(self, world: World, protocol: Any, room: float = float("inf")) -> None:
        super().__init__({"unread": self.unread})
        self.world, self.protocol, self.room = world, protocol, room
        self.got = bytearray()
        self.held = b""
        self.inbox: list[bytes | Exception | None] = []
        """Come, and not yet read by the event loop; otherwise the other side's close or reset."""
        self.closing = False

    def unread(self) -> bool:
        return bool(self.inbox)

    def write(self, data: Any) -> None:
        if self.closing:
            return
        taken = bytes(data[: int(min(self.room, len(data)))])
        self.got += taken
        self.room -= len(taken)
        self.held += bytes(data[len(taken) :])
        if self.held:
            self.protocol.pause_writing()

    def writelines(self, data: Any) -> None:
        self.write(b"".join(data))

    def write_eof(self) -> None:
        """The other side is told nothing of it."""

    def drain(self) -> None:
        self.room = float("inf")
        if self.held and not self.closing:
            self.got += self.held
            self.held = b""
            self.protocol.resume_writing()

    def abort(self) -> None:
        if not self.closing:
            self.closing, self.held = True, b""
            self.world.loop.call_soon(self.protocol.connection_lost, None)

    close = abort

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return len(self.held)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """None: as the program asks."""

    def pause_reading(self) -> None:
        """Clients here read at once."""

    resume_reading = pause_reading

    # The other side.

    def feed(self, data: bytes) -> None:
        """Bytes come, and are read at once unless others wait."""
        self.arrive(data)
        if len(self.inbox) == 1:
            self.read()

    def lose(self, error: Exception | None = None) -> None:
        self.arrive(error)
        if len(self.inbox) == 1:
            self.read()

    def arrive(self, data: bytes | Exception | None) -> None:
        """Bytes, or the other side's close, that the event loop does not read yet."""
        if not self.closing:
            self.inbox.append(data)

    def read(self) -> None:
        """The event loop gets to what has come."""
        inbox, self.inbox = self.inbox, []
        for data in inbox:
            if self.closing:
                return
            if isinstance(data, bytes):
                self.protocol.data_received(data)
            else:
                self.closing, self.held = True, b""
                self.protocol.connection_lost(data)


class ReceivedAttempt:
    """A request as a server was given it."""

    def __init__(self, attempt: Attempt, wire: ServerWire) -> None:
        self.ident, self.server, self.wire = attempt.request, attempt.server, wire
        self.attempt = attempt
        self.refuses = False
        self.proven = False
        """The server has told that it did not run it, to the last byte."""

    def told(self, text: str) -> bytes:
        """A body that no other answer has."""
        return f"{text} of {self.ident} by {self.server}".encode()


class ServerWire(Wire):
    def write(self, data: Any) -> None:
        attempt = self.protocol.attempt
        if not self.closing and attempt is not None:
            self.sending = ReceivedAttempt(attempt, self)
            self.world.sendings.append(self.sending)
            self.world.fresh.append(self.sending)
        super().write(data)


class SentRequest:
    """A request as its client sent it."""

    def __init__(self, ident: str, kind: str, method: str = "") -> None:
        self.ident, self.kind = ident, kind
        self.method = method or {"read": "GET", "book": "POST"}[kind]

    def message(self, body: bytes = b"x" * 50) -> bytes:
        head = f"{self.method} /{self.kind}/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {self.ident}\r\n"
        if self.method != "POST":
            return f"{head}\r\n".encode()
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Client:
    def __init__(self, world: World) -> None:
        self.connection = ClientConnection(world.frontend)
        self.wire = Wire(world, self.connection)
        self.connection.connection_made(self.wire)
        self.asked: list[SentRequest] = []
        self.gone = False

    def ask(self, *requests: SentRequest) -> None:
        """Several at once are sent ahead."""
        if not self.wire.closing:
            self.asked += requests
            self.wire.feed(b"".join(request.message() for request in requests))

    def leave(self) -> None:
        self.gone = True
        self.wire.lose()

    def answers(self) -> list[tuple[int, dict[bytes, bytes], bytes]]:
        """Read by the length alone, in order. Raises BrokenRuleError for what is no row of whole answers."""
        found: list[tuple[int, dict[bytes, bytes], bytes]] = []
        rest = bytes(self.wire.got)
        while rest:
            head, end, rest = rest.partition(b"\r\n\r\n")
            status, *lines = head.split(b"\r\n")
            hold(bool(end) and status.startswith(b"HTTP/1.1 "), f"MIXED: no answer: {head!r}")
            headers = {name.lower(): value for name, _, value in (line.partition(b": ") for line in lines)}
            size = int(headers.get(b"content-length", b"0"))
            hold(len(found) < len(self.asked), "MIXED: an answer where no request waits")
            if self.asked[len(found)].method == "HEAD":
                size = 0
            hold(len(rest) >= size, "MIXED: an answer that ends early")
            found.append((int(status[9:12]), headers, rest[:size]))
            rest = rest[size:]
        return found


class WorldLoop(Loop):
    """Connections to servers come up when the world says so."""

    world: World

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        return await self.world.connect(protocol_factory)


class World:
    """One gate, its clients and its servers."""

    def __init__(self, loop: WorldLoop) -> None:
        self.loop = loop
        loop.world = self
        self.sendings: list[ReceivedAttempt] = []
        self.fresh: list[ReceivedAttempt] = []
        """Those that nobody has answered yet."""
        self.successes: dict[str, list[bytes]] = {}
        """Whole bodies that servers gave, by request."""
        self.connects: list[asyncio.Future[None]] = []
        self.at_once = True
        """Connections come up by themselves."""
        self.room = float("inf")
        self.clients: list[Client] = []
        self.wires: list[ServerWire] = []
        self.gate = Gateway(parse(SETTINGS, "boot.conf"), lambda: int(loop.time() * 1e6))
        self.gate.rng.seed(1)
        self.frontend = Frontend(self.gate, 100, 0, self.gate.limits)
        self.gate.apply_configuration(
            Configuration(
                1,
                tuple(
                    RouteConfiguration(kind, "h.example", f"/{kind}/", mode, CUTOFF_MS, 500, tries=3, service="p")  # type: ignore[arg-type]
                    for kind, mode in (("read", "idempotent"), ("book", "effectful"))
                ),
                (ServiceConfiguration("p"),),
            )
        )
        self.states = {f"s{number}": endpoint_list.IN_SERVICE for number in range(SERVERS)}
        self.tell()

    def tell(self) -> None:
        """The list as it is now."""
        self.gate.update_servers(
            {
                ident: endpoint_list.Endpoint(ident, "p", ("10.9.0.1", 8000 + int(ident[1:])), "a", 4, state, 0)
                for ident, state in self.states.items()
            }
        )

    def client(self) -> Client:
        self.clients.append(Client(self))
        return self.clients[-1]

    async def connect(self, protocol_factory: Callable[[], ServerConnection]) -> Any:
        if not self.at_once:
            coming: asyncio.Future[None] = self.loop.create_future()
            self.connects.append(coming)
            await coming
        protocol = protocol_factory()
        wire = ServerWire(self, protocol, self.room)
        self.wires.append(wire)
        protocol.connection_made(wire)
        return wire, protocol

    async def settle(self, for_s: float = 0.0) -> None:
        await asyncio.sleep(for_s)
        for _ in range(4):
            await asyncio.sleep(0)

    def pooled(self, wire: ServerWire) -> bool:
        return any(wire.protocol in place.idle for place in self.gate.upstream.pools.values()) and not wire.closing

    # -- what must hold ------------------------------------------------------------------------------------

    def runs(self) -> Counter[str]:
        """How often each request may have run."""
        return Counter(sending.ident for sending in self.sendings if not sending.proven)

    def check(self) -> None:
        """Raises BrokenRuleError."""
        runs = self.runs()
        for client in self.clients:
            for asked, (status, headers, body) in zip(client.asked, client.answers(), strict=False):
                if 200 <= status < 300:
                    named, whole = headers.get(b"attempt-id"), body in self.successes.get(asked.ident, [])
                    hold(named == asked.ident.encode(), f"MIXED: {asked.ident} got the answer to {named!r}")
                    hold(asked.method == "HEAD" or whole, f"MIXED: {asked.ident} got {body!r}")
                    hold(b"server-seal" in headers, f"MIXED: {asked.ident} got no seal")
                if status in NOT_EXECUTED_STATUSES and asked.kind == "book":
                    hold(not runs[asked.ident], f"REFUSED: {asked.ident} got {status} and may have run")
            for asked in client.asked:
                hold(asked.kind == "read" or runs[asked.ident] <= 1, f"TWICE: {asked.ident}")

    def check_all_answered(self) -> None:
        """At the end: who has stayed has an answer to all, or a close behind the last."""
        for client in self.clients:
            hold(client.gone or client.wire.closing or len(client.answers()) == len(client.asked), "LOST")
        hold(not self.gate.requests and not self.gate.upstream.connecting, "requests are left over")


#: How an answer says where its body ends; "none" says nothing, and "close" that its connection ends with it.
FRAMINGS = {
    "length": "Content-Length: {}\r\n",
    "chunks": "Transfer-Encoding: chunked\r\n",
    "close": "Connection: close\r\n",
    "none": "",
}


def answer(
    sending: ReceivedAttempt,
    status: int = 200,
    more: str = "",
    ident: str = "",
    body: bytes | None = None,
    framing: str = "length",
) -> bytes:
    """A whole answer of a server's, to this request or in the name of another."""
    body = (b"" if status in (204, 205, 304) else sending.told(str(status))) if body is None else body
    lines = more + FRAMINGS[framing].format(len(body))
    if framing == "chunks":
        body = b"%x\r\n%s\r\n%x;a=b\r\n%s\r\n0\r\nAttempt-Id: trailer\r\n\r\n" % (
            len(body) - 1,
            body[:-1],
            1,
            body[-1:],
        )
    head = f"HTTP/1.1 {status} X\r\nAttempt-Id: {ident or sending.ident}\r\nServer-Seal: a.b\r\n{lines}\r\n"
    return head.encode("latin-1") + body


def play(scenario: Callable[[World], Coroutine[Any, Any, None]]) -> None:
    """On a loop and in a world of its own."""
    loop = WorldLoop(Net(0))

    async def whole() -> None:
        await scenario(World(loop))

    try:
        loop.run_until_complete(whole())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
