"""One call to a control listener, and what its answer says."""

from __future__ import annotations

import msgspec

from cypressbeam.protocol.address import Address
from cypressbeam.proxy.http_client import HttpClient
from cypressbeam.proxy.http_responses import Response

CALL_S = 5.0


async def call(where: Address, method: str, path: bytes, head: str = "", body: bytes = b"") -> Response:
    """One call to a control listener. Raises OSError, EOFError or TimeoutError where nothing answers."""
    connection = HttpClient(where)
    await connection.open()
    try:
        text = f"{method} {path.decode()} HTTP/1.1\r\nHost: control\r\n{head}Content-Length: {len(body)}\r\n\r\n"
        return await connection.call(text.encode() + body, CALL_S)
    finally:
        connection.close()


def reason_of(answer: Response) -> str:
    """The line in an answer, which is JSON where it comes from the head of the chain."""
    try:
        return str(msgspec.json.decode(answer.body)["text"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return answer.body.decode(errors="replace").strip()
