"""Stand-ins for the users' servers, platform and clients, as PROTOCOL.md has them."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import cbor2

from rig2.http import Address, Message, pack, read_message


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self.started_s

    def add(self, text: str) -> None:
        """Add a line with the time."""
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Add a line and show it."""
        self.add(text)
        print(f"{self.now_s():8.3f} {text}", flush=True)


@dataclass
class Run:
    """One request that a server began to work on."""

    server: str
    attempt_id: str
    at_s: float
    request: Message


class Server:
    """A server: it works on `slots` requests at a time, queues a few, and answers with its seal."""

    def __init__(self, record: Record, service: str, zone: str, work_s: float = 0.05, slots: int = 6) -> None:
        self.record, self.service, self.zone, self.work_s, self.slots = record, service, zone, work_s, slots
        self.ident = f"i-{secrets.token_hex(4)}"
        self.state = "in_service"
        self.arrived: list[Run] = []
        self.gate = asyncio.Semaphore(slots)
        self.waiting = 0
        self.address: Address = ("", 0)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str) -> None:
        """Accept connections at a free port."""
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def row(self) -> dict[str, object]:
        """This server in the platform's list."""
        return {
            "id": self.ident,
            "plant": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "revision": "v1",
            "capacity": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
        }

    def close(self) -> None:
        """End the server: no process is there any more."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self.answer(request))
                await writer.drain()
        except (EOFError, OSError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: Message) -> bytes:
        """Work on a request and return the bytes of the answer."""
        name = request.headers.get("attempt-id", "")
        if request.line.startswith("GET /health ") and not name:
            status = "200 OK" if self.state == "in_service" else "503 Service Unavailable"
            return pack(f"HTTP/1.1 {status}", {"Server-Id": self.ident})
        headers = {"Attempt-Id": name}
        if not name:
            return pack("HTTP/1.1 400 Bad Request", {"Not-Executed": "1"})
        if request.headers.get("target-server", self.ident) != self.ident:
            return pack("HTTP/1.1 421 Misdirected Request", headers | {"Server-Id": self.ident})
        if self.waiting >= 4 * self.slots:
            return pack("HTTP/1.1 503 Service Unavailable", headers | {"Not-Executed": "1"})
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            run = Run(self.ident, name, self.record.now_s(), request)
            self.arrived.append(run)
            self.record.add(f"run {name} at {self.ident} ({self.service}) {request.line}")
            await asyncio.sleep(self.work_s)
        seal = f"{secrets.token_hex(4)}.{len(request.body)}"
        load = f"{self.slots - self.gate._value},{self.waiting},{self.slots}"
        return pack("HTTP/1.1 200 OK", headers | {"Server-Seal": seal, "Server-Load": load}, f"{self.ident}\n".encode())


class Platform:
    """The platform's list of servers, `delay_s` behind."""

    def __init__(self, record: Record, rows: Callable[[], list[dict[str, object]]], delay_s: float = 0.8) -> None:
        self.record, self.rows, self.delay_s = record, rows, delay_s
        self.history: list[tuple[float, list[dict[str, object]]]] = []
        self.calls = 0
        self.address: Address = ("", 0)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.refresher: asyncio.Task[None] | None = None

    async def listen(self, ip: str, port: int = 0) -> None:
        """Accept connections, and keep what the list was."""
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.refresher = asyncio.create_task(self.refresh())

    async def refresh(self) -> None:
        """Remember the list as it is, every 50 ms."""
        while True:
            self.history.append((self.record.now_s(), self.rows()))
            del self.history[:-200]
            await asyncio.sleep(0.05)

    def shown(self) -> list[dict[str, object]]:
        """The list as the platform shows it now."""
        until_s = self.record.now_s() - self.delay_s
        old = [rows for at_s, rows in self.history if at_s <= until_s]
        return old[-1] if old else self.history[0][1]

    def close(self) -> None:
        """End the platform at this address."""
        if self.server is not None:
            self.server.close()
        if self.refresher is not None:
            self.refresher.cancel()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each call with the whole list as one page."""
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                self.calls += 1
                if not request.line.startswith("GET /servers"):
                    writer.write(pack("HTTP/1.1 404 Not Found", {}))
                    continue
                body = cbor2.dumps({"servers": self.shown(), "nextToken": None})
                writer.write(pack("HTTP/1.1 200 OK", {"Content-Type": "application/cbor"}, body))
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass
class Sent:
    """One try of a client: its id, when it was sent, and how it ended."""

    attempt_id: str
    at_s: float
    node: str
    path: str
    status: int = 0
    body: bytes = b""
    ended_s: float = 0.0
    how: str = ""


@dataclass
class Clients:
    """Clients that send requests at a steady rate, each on a kept connection to a node."""

    record: Record
    nodes: list[tuple[str, Address]]
    sent: list[Sent] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    stopping: bool = False

    def begin(self, path: str, method: str, count: int, pause_s: float, time_left_ms: int = 5000) -> None:
        """Start this many clients for a path."""
        for number in range(count):
            node = self.nodes[number % len(self.nodes)]
            self.tasks.append(asyncio.create_task(self.client(node, path, method, pause_s, time_left_ms)))

    async def client(self, node: tuple[str, Address], path: str, method: str, pause_s: float, left_ms: int) -> None:
        """Send one request after another."""
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        while not self.stopping:
            sent = Sent(secrets.token_hex(8), self.record.now_s(), node[0], path)
            self.sent.append(sent)
            self.record.add(f"send {sent.attempt_id} {method} {path} to {node[0]}")
            try:
                async with asyncio.timeout(left_ms / 1000 + 0.5):
                    if writer is None:
                        async with asyncio.timeout(1.0):
                            reader, writer = await asyncio.open_connection(*node[1])
                    assert reader is not None
                    headers = {"Host": "portal.example", "Attempt-Id": sent.attempt_id, "Time-Left-Ms": str(left_ms)}
                    writer.write(pack(f"{method} {path} HTTP/1.1", headers, b"" if method == "GET" else b"x" * 400))
                    answer = await read_message(reader)
                sent.status, sent.body = answer.status, answer.body
                if answer.headers.get("connection", "") == "close":
                    writer.close()
                    writer = None
            except (OSError, EOFError, TimeoutError) as err:
                sent.how = type(err).__name__
                if writer is not None:
                    writer.close()
                writer = None
            sent.ended_s = self.record.now_s()
            self.record.add(f"end {sent.attempt_id} {sent.status or sent.how}")
            await asyncio.sleep(pause_s)
        if writer is not None:
            writer.close()

    async def end(self) -> None:
        """Stop, once the requests in hand have ended."""
        self.stopping = True
        await asyncio.gather(*self.tasks)

    def served(self, from_s: float, to_s: float = float("inf")) -> tuple[int, int]:
        """How many of the requests sent in a span were served, and how many were sent."""
        some = [sent for sent in self.sent if from_s <= sent.at_s < to_s and sent.ended_s]
        return sum(sent.status == 200 for sent in some), len(some)
