"""Just enough HTTP/1.1 for the stand-ins: reading heads and bodies, on asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

Address = tuple[str, int]


@dataclass
class Message:
    """A request or a response: its first line, its headers by lower-case name, and its body."""

    line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and headers. Raises EOFError if the connection ends before."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.rstrip("\r\n").split("\r\n")
    message = Message(line)
    for text in rest:
        name, _, value = text.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that the headers announce."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a head and its body. Raises EOFError if the connection ends before."""
    message = await read_head(reader)
    await read_body(reader, message)
    return message


def pack(line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """The bytes of a message whose body has a length."""
    lines = [line, *(f"{name}: {value}" for name, value in headers.items())]
    if body or line.startswith(("HTTP/", "POST ")):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(address: Address, data: bytes, timeout_s: float) -> Message:
    """Send one request on a new connection and return the response. Raises OSError, EOFError or TimeoutError."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            writer.close()
