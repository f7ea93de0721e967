"""HTTP calls to a control listener."""

from __future__ import annotations

import msgspec

from cypressbeam.protocol.address import Address
from cypressbeam.proxy.http_client import HttpClient
from cypressbeam.proxy.http_responses import Response

CALL_TIMEOUT_S = 5.0


async def call(control: Address, method: str, path: bytes, headers: str = "", body: bytes = b"") -> Response:
    """Sends one request to a control listener. Raises OSError, EOFError or TimeoutError if there is no response."""
    connection = HttpClient(control)
    await connection.open()
    try:
        head = f"{method} {path.decode()} HTTP/1.1\r\nHost: control\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        return await connection.call(head.encode() + body, CALL_TIMEOUT_S)
    finally:
        connection.close()


def response_text(response: Response) -> str:
    """The message in a response, which is JSON if it comes from the head of the chain."""
    try:
        return str(msgspec.json.decode(response.body)["text"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return response.body.decode(errors="replace").strip()
