"""Clients that read their response slowly, or not at all."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cypressbeam.proxy.frontend import ClientConnection, Frontend
from cypressbeam.proxy.http_requests import RequestMessage
from cypressbeam.proxy.http_responses import Limits, Response
from cypressbeam.proxy.proxy_core import Clock
from tests.loopback import run

BODY_BYTES, PIECE_BYTES, PAUSE_S = 8 * 1024 * 1024, 256 * 1024, 0.1
QUIET_S = 0.8


class LargeResponses:
    """An application that answers each request with a large body."""

    def __init__(self) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.now_us = Clock()

    def can_serve(self) -> bool:
        return True

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        return Response(200, body=bytes(BODY_BYTES))

    def client_disconnected(self, name: str) -> None:
        """Nothing is pending."""


async def connect(frontend: Frontend) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A client whose system takes little ahead of what the client reads."""
    assert frontend.server is not None
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, frontend.server.sockets[0].getsockname())
    return await asyncio.open_connection(sock=client, limit=PIECE_BYTES)


@pytest.mark.parametrize("connection_header", ["", "Connection: close\r\n"])
def test_a_client_that_reads_on_gets_the_whole_response(connection_header: str) -> None:
    """Guards against responses that are cut because they take a client longer than a time-out to read."""

    async def scenario() -> None:
        frontend = Frontend(LargeResponses(), 10, 0, Limits(idle_timeout_s=QUIET_S))
        await frontend.listen("127.0.0.1", 0)
        reader, writer = await connect(frontend)
        writer.write(f"GET / HTTP/1.1\r\n{connection_header}\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        received = 0
        while received < BODY_BYTES:
            await asyncio.sleep(PAUSE_S)
            received += len(await reader.readexactly(min(PIECE_BYTES, BODY_BYTES - received)))
        writer.close()
        frontend.stop_accepting()

    run(scenario())


@pytest.mark.parametrize("connection_header", ["", "Connection: close\r\n"])
def test_a_client_that_stops_reading_is_disconnected_after_the_idle_timeout(connection_header: str) -> None:
    """Guards against connections that hold a response for a client that will never read it."""

    async def scenario() -> None:
        frontend = Frontend(LargeResponses(), 10, 0, Limits(idle_timeout_s=QUIET_S))
        await frontend.listen("127.0.0.1", 0)
        reader, writer = await connect(frontend)
        writer.write(f"GET / HTTP/1.1\r\n{connection_header}\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while frontend.connections and loop.time() < began_s + 10.0:
            await asyncio.sleep(0.01)
        assert QUIET_S * 0.9 < loop.time() - began_s < 3 * QUIET_S
        writer.close()
        frontend.stop_accepting()

    run(scenario())
