"""`cypressbeam up`: a small system on loopback, with stand-in servers, until it is told to stop."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import cbor2

from cypressbeam.proxy.http_client import HttpClient
from lab.standins import Platform, Server
from lab.system import Machine, System

HOST = "demo.example"


def demo_configuration(revision: int = 1) -> dict[str, Any]:
    """A configuration with one route that may be repeated and one that may not."""
    channels = [
        {
            "label": "find",
            "host": HOST,
            "prefix": "/find/",
            "mode": "idempotent",
            "cutoffMs": 5000,
            "setpointMs": 800,
            "rank": 2,
            "plant": "finder",
            "tries": 2,
        },
        {
            "label": "book",
            "host": HOST,
            "prefix": "/book/",
            "mode": "effectful",
            "cutoffMs": 6000,
            "setpointMs": 1000,
            "rank": 1,
            "plant": "booker",
            "tries": 2,
        },
    ]
    plants = [
        {"label": name, "probe": "/health", "connLimit": 120, "protocol": "h1", "tls": False}
        for name in ("finder", "booker")
    ]
    return {
        "revision": revision,
        "channels": channels,
        "plants": plants,
        "constraints": {"headerMaxBytes": 16384, "bodyMaxBytes": 67108864, "headerWaitMs": 3000, "quietMs": 15000},
    }


async def push(machine: Machine, body: bytes, base: int) -> tuple[int, bytes]:
    """Send a configuration to a node; the status and text of its answer."""
    connection = HttpClient(machine.control)
    await connection.open()
    try:
        answer = await connection.call(
            b"POST /-/Configuration.Replace HTTP/1.1\r\nHost: control\r\nBase-Revision: %d\r\n"
            b"Content-Type: application/cbor\r\nContent-Length: %d\r\n\r\n%s" % (base, len(body), body),
            5.0,
        )
        return answer.status, answer.body
    finally:
        connection.close()


async def push_until_taken(machine: Machine, body: bytes, base: int) -> None:
    """A system that has just started has no chain yet, and says so."""
    while True:
        try:
            status, text = await push(machine, body, base)
        except (OSError, EOFError):
            status, text = 503, b""
        if status == 200:
            return
        if status != 503:
            raise ValueError(f"{status}: {text.decode(errors='replace')}")
        await asyncio.sleep(0.05)


async def up(edges: int = 2) -> None:
    """Run until SIGINT or SIGTERM."""
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    platform = Platform()
    await platform.listen()
    for plant in ("finder", "booker"):
        for zone in ("east", "west"):
            server = Server(plant, zone, work_s=0.01)
            await server.listen()
            platform.servers.append(server)
    async with System(platform.address, edges=edges) as system:
        await push_until_taken(system.machines[-1], cbor2.dumps(demo_configuration()), 0)
        for machine in system.fronts:
            await system.ready(machine)
        print("ready:")
        for machine in system.fronts:
            print(f"  curl -H 'Host: {HOST}' -H 'Attempt-Id: 1' http://{machine.ip}:{machine.front[1]}/find/1")
        for machine in system.machines:
            print(f"  control of {machine.name}: http://{machine.ip}:{machine.control[1]}/-/Configuration.Read")
        print("Ctrl-C ends it", flush=True)
        await stop.wait()
