"""A minimal HTTP/1.1 client for calls to the platform, to discovery and, from operators, to a node."""

from __future__ import annotations

import asyncio

from cypressbeam.protocol.address import Address
from cypressbeam.proxy.http_responses import Response, ResponseReader

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class HttpClient:
    """A persistent connection that carries one call at a time. Methods raise OSError, EOFError or TimeoutError."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.host = f"{address[0]}:{address[1]}"
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self.reader, self.writer = await asyncio.open_connection(*self.address)

    async def get(self, path: str, timeout_s: float) -> Response:
        """Send a GET and return its response."""
        return await self.call(f"GET {path} HTTP/1.1\r\nHost: {self.host}\r\n\r\n".encode(), timeout_s)

    async def call(self, message: bytes, timeout_s: float) -> Response:
        """Send a complete request and return its response."""
        assert self.writer is not None
        async with asyncio.timeout(timeout_s):
            if self.writer.is_closing():
                raise ConnectionResetError("the connection is closed")
            self.writer.write(message)
            reader = ResponseReader(MAX_RESPONSE_BYTES)
            while not reader.complete:
                data = await self.reader.read(65536)
                if not data:
                    raise EOFError("the connection closed before the response was complete")
                reader.feed(data)
            if not reader.keep_alive:
                self.writer.close()
                await self.open()
            return reader.answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
