"""A stand-in server with responses of any size, and a client that reads them at any pace."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass

from cypressbeam.proxy.frontend import ClientConnection
from cypressbeam.proxy.http_requests import RequestMessage
from lab.local_cluster import HOST
from lab.standins import Server, header, named
from lab.system import Machine

READ_BYTES = 256 * 1024
#: The target of a read: the size of the response, and whether it comes in chunks.
TARGET = re.compile(rb"/find/size-(\d+)(-chunked)?-")


class DocumentServer(Server):
    """Answers `/find/size-N-...` with N bytes, and `/find/size-N-chunked-...` with N bytes in one chunk."""

    def answer(self, message: RequestMessage, connection: ClientConnection, ill: str) -> None:
        """Write a response of the size that the target names; any other target is answered as by other servers."""
        match = TARGET.match(message.target)
        if match is None:
            super().answer(message, connection, ill)
            return
        body = bytes(int(match[1]))
        head = b"HTTP/1.1 200 OK\r\n" + b"".join(b"%s: %s\r\n" % line for line in named(message))
        head += b"Server-Seal: %s.%s\r\n" % (self.ident.encode(), header(message, b"attempt-id"))
        if match[2] and body:
            head += b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
            body += b"\r\n0\r\n\r\n"
        else:
            head += b"Content-Length: %d\r\n\r\n" % len(body)
        connection.transport.write(head + body)
        connection.current = connection.request = None
        connection.move_to(connection.frontend.idle, self.loop.time())


@dataclass(frozen=True, slots=True)
class Reading:
    """How a read ended: the status, the length that the response announced, and the bytes that were read."""

    status: int
    length: int
    size: int

    def is_whole(self) -> bool:
        """Whether all bytes have come."""
        return self.size == self.length


def read_message(name: str, size: int, chunked: bool = False) -> bytes:
    """A request for a response of a size."""
    target = f"/find/size-{size}{'-chunked' if chunked else ''}-{name}"
    return f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\nTime-Left-Ms: 30000\r\n\r\n".encode()


async def read_response(machine: Machine, message: bytes, pause_after: Callable[[int], float]) -> Reading:
    """Send a request on a new connection and read the response. `pause_after` gives the pause in seconds after so many
    bytes; the client leaves where it is negative. Raises OSError or EOFError."""
    reader, writer = await asyncio.open_connection(*machine.front)
    try:
        writer.write(message)
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        size, pause_s = 0, 0.0
        while size < length and pause_s >= 0 and (data := await reader.read(READ_BYTES)):
            size += len(data)
            pause_s = pause_after(size)
            if pause_s > 0:
                await asyncio.sleep(pause_s)
        return Reading(int(head.split()[1]), length, size)
    finally:
        writer.close()
