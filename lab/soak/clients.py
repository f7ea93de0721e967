"""Clients of a soak: each keeps its connection until the node closes it, and sends what is drawn."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from lab.soak.judge import Judge, Try
from lab.soak.requests import DrawnRequest, draw_request
from lab.system import Machine

SHARE_IN_A_ROW, MOST_IN_A_ROW = 0.15, 4
SHARE_IN_PIECES, MOST_PIECES, PIECE_PAUSE_S = 0.2, 6, 0.02
SHARE_LEAVING, LEAVES_AFTER_S = 0.03, 0.05
PAUSE_S = 0.05
CONNECT_TIMEOUT_S = 1.0


class Client:
    """One client at a time on one connection."""

    def __init__(self, name: str, rng: random.Random, judge: Judge, pick: Callable[[], Machine]) -> None:
        self.name, self.rng, self.judge, self.pick = name, rng, judge, pick
        self.loop = asyncio.get_running_loop()
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.machine = pick()
        self.count = 0

    async def run(self, until_s: float) -> None:
        """Send until the time is over."""
        while self.loop.time() < until_s:
            if self.connection is None and not await self.connect():
                await asyncio.sleep(self.rng.uniform(0.0, 4 * PAUSE_S))
                continue
            await self.send_batch()
            await asyncio.sleep(self.rng.uniform(0.0, 2 * PAUSE_S))
        self.close()

    async def connect(self) -> bool:
        """Open a connection to one of the machines that the platform would choose."""
        self.machine = self.pick()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self.connection = await asyncio.open_connection(*self.machine.front)
        except (OSError, TimeoutError):
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection[1].close()
        self.connection = None

    def draw_batch(self) -> list[DrawnRequest]:
        """Draw one request, or some repeatable ones that are sent in a row."""
        size = self.rng.randint(2, MOST_IN_A_ROW) if self.rng.random() < SHARE_IN_A_ROW else 1
        batch: list[DrawnRequest] = []
        while len(batch) < size:
            self.count += 1
            request = draw_request(self.rng, f"{self.name}-{self.count}")
            if size == 1 or (request.repeatable and not request.ends_connection and request.left_ms > 1000):
                batch.append(request)
        return batch

    async def send_batch(self) -> None:
        """Send a batch and read its responses; note how each ended."""
        assert self.connection is not None
        reader, writer = self.connection
        tries = [Try(request, self.machine.name, self.loop.time()) for request in self.draw_batch()]
        self.judge.tries += tries
        leaves = self.rng.random() < SHARE_LEAVING
        try:
            async with asyncio.timeout(tries[0].request.left_ms / 1000):
                await self.send(writer, b"".join(one.request.message for one in tries))
                for one in tries:
                    one.sent_s = self.loop.time()
                if leaves:
                    await asyncio.sleep(self.rng.uniform(0.0, LEAVES_AFTER_S))
                for one in tries if not leaves else []:
                    await read_response(reader, one)
                    one.ended_s = self.loop.time()
                    if one.headers.get("connection") == "close":
                        break
        except TimeoutError:
            self.end(tries, timed_out=True)
        except (OSError, EOFError):
            self.end(tries)
        else:
            self.end(tries, left=leaves)
            if not leaves and tries[-1].headers.get("connection") != "close" and not tries[-1].request.ends_connection:
                return
        self.close()

    async def send(self, writer: asyncio.StreamWriter, message: bytes) -> None:
        """Write a message, at times in pieces with pauses. Raises OSError."""
        if self.rng.random() < SHARE_IN_PIECES:
            for _ in range(self.rng.randint(1, MOST_PIECES)):
                size = self.rng.randrange(len(message))
                await write(writer, message[:size])
                message = message[size:]
                await asyncio.sleep(self.rng.uniform(0.0, PIECE_PAUSE_S))
        await write(writer, message)

    def end(self, tries: list[Try], timed_out: bool = False, left: bool = False) -> None:
        """Note the end of those that have no response."""
        for one in tries:
            if not one.status:
                one.ended_s, one.timed_out, one.left = self.loop.time(), timed_out, left


async def write(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write some bytes. Raises OSError, also where the connection has been closed meanwhile."""
    if writer.is_closing():
        raise ConnectionResetError("the connection is closed")
    writer.write(data)
    await writer.drain()


async def read_response(reader: asyncio.StreamReader, one: Try) -> None:
    """Read the final response to a try. Raises OSError, EOFError."""
    status = 100
    while status < 200:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split()[1])
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
    has_body = one.request.method != "HEAD" and status not in (204, 304)
    one.body = await reader.readexactly(int(headers.get("content-length", "0"))) if has_body else b""
    one.headers, one.status = headers, status
