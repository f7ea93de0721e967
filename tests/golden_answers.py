"""Responses of a small simulated system to a fixed list of HTTP requests of operators and clients, as text.

`python -m tests.golden_answers FOLDER` prints them. `tests/data/answers.txt` contains the responses of commit dd25593.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import subprocess
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import cbor2

from cypressbeam.admin import config_file, membership, status
from lab.day import Day
from lab.emulator import FRONT, READY, World
from lab.local_cluster import demo_configuration
from lab.membership import CONTROL

DATA = Path(__file__).with_name("data")
#: The time to wait for a response, in simulated seconds.
RESPONSE_WAIT_S = 3.0
OPERATOR = "10.250.0.2"


class HttpClientProtocol(asyncio.Protocol):
    """Sends one request and collects the response."""

    def __init__(self, request: bytes) -> None:
        self.request = request
        self.response = b""

    def connection_made(self, transport: Any) -> None:
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        self.response += data


def request(method: str, target: str, headers: Mapping[str, str] | None = None, body: bytes = b"") -> bytes:
    """A complete HTTP/1.1 request."""
    length = {"Content-Length": str(len(body))} if body else {}
    lines = [f"{method} {target} HTTP/1.1", "Host: api.example"]
    lines += [f"{name}: {value}" for name, value in ({**(headers or {}), **length}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def replace(base: object, document: object) -> bytes:
    """An operator's request to replace the configuration."""
    body = document if isinstance(document, bytes) else cbor2.dumps(document)
    return request("POST", "/-/Configuration.Replace", {"Base-Revision": str(base)}, body)


def change_members(document: object) -> bytes:
    """An operator's request for a membership change."""
    return request("POST", "/-/System.Members", {"Content-Type": "application/json"}, json.dumps(document).encode())


def invalid_documents() -> Iterator[object]:
    """Configurations that are rejected, each for a different reason."""
    valid = demo_configuration(9)
    yield b"\xff"
    yield valid | {"revision": 0}
    yield valid | {"revision": 1}
    yield valid | {"channels": [valid["channels"][0] | {"plant": "nobody"}]}
    yield valid | {"channels": [valid["channels"][0] | {"prefix": "find"}]}
    yield valid | {"channels": [valid["channels"][0] | {"cutoffMs": 0}]}
    yield valid | {"channels": [valid["channels"][0]] * 2}
    yield valid | {"plants": valid["plants"] * 2}
    yield valid | {"constraints": {"headerMaxBytes": 0}}
    yield {"revision": 9}


def operator_calls() -> Iterator[tuple[int, bytes]]:
    """Ports and requests of an operator, in order."""
    yield CONTROL, request("GET", "/-/System.State")
    yield CONTROL, request("POST", "/-/System.State")
    yield CONTROL, request("GET", "/-/Nothing")
    yield CONTROL, request("GET", "/-/Configuration.Read")
    yield CONTROL, request("HEAD", "/-/Configuration.Read")
    yield CONTROL, request("DELETE", "/-/Configuration.Read")
    yield CONTROL, request("GET", "/-/Configuration.Replace")
    yield CONTROL, request("POST", "/-/Configuration.Replace", body=b"x")
    for document in invalid_documents():
        yield CONTROL, replace(1, document)
    yield CONTROL, replace(0, demo_configuration(8))
    yield CONTROL, replace(5, demo_configuration(8))
    yield CONTROL, replace(1, demo_configuration(8))
    yield CONTROL, replace(1, demo_configuration(8))
    yield CONTROL, request("GET", "/-/Configuration.Read")
    yield CONTROL, request("GET", "/-/System.Members")
    yield CONTROL, change_members("no object")
    yield CONTROL, change_members({"change": "add"})
    yield CONTROL, change_members({"change": "grow", "base": []})
    yield CONTROL, change_members({"change": "add", "base": ["10.0.0.1"], "new": "10.0.0.1"})
    yield CONTROL, change_members({"change": "add", "base": ["10.0.0.1"] * 100, "new": "10.0.0.9"})
    yield CONTROL, change_members({"change": "add", "base": ["10.0.0.1"], "new": "x" * 70_000})
    yield CONTROL, change_members({"change": "remove", "base": ["10.0.0.1"], "old": "10.0.0.7"})
    three = ["10.0.0.1", "10.1.0.1", "10.2.0.1"]
    yield CONTROL, change_members({"change": "remove", "base": three, "old": "10.0.0.1"})
    yield CONTROL, change_members({"change": "add", "base": three, "new": "10.0.0.9"})
    yield CONTROL, change_members({"change": "add", "base": ["10.9.0.1"], "new": "10.0.0.9"})
    yield CONTROL, request("GET", "/-/System.State")


def client_calls() -> Iterator[tuple[int, bytes]]:
    """Ports and requests of clients and the platform, sent to an edge node."""
    yield READY, request("GET", "/-/ready")
    yield READY, request("POST", "/-/ready")
    yield READY, request("GET", "/other")
    deadline = {"Time-Left-Ms": "2000"}
    yield FRONT, request("GET", "/find/a", {"Attempt-Id": "c-1"} | deadline)
    yield FRONT, request("GET", "/nowhere/a", {"Attempt-Id": "c-2"} | deadline)
    yield FRONT, request("GET", "/find/a")
    yield FRONT, request("POST", "/book/a", {"Attempt-Id": "c-3"} | deadline, b"seat")
    yield FRONT, b"nonsense\r\n\r\n"
    yield FRONT, request("GET", "/find/a", {"Attempt-Id": "c-4", "Time-Left-Ms": "x"})
    yield FRONT, request("GET", "/find/a", {"Attempt-Id": "c-5", "X": "x" * 40_000} | deadline)


async def call(world: World, ip: str, port: int, data: bytes) -> bytes:
    """Sends one request on a new connection from the operator's machine; returns the response within the wait time."""

    async def exchange() -> bytes:
        transport, client = await world.loop.create_connection(lambda: HttpClientProtocol(data), ip, port)
        await asyncio.sleep(RESPONSE_WAIT_S)
        transport.close()
        return client.response

    return bytes(await world.as_operator(exchange))


async def record(world: World, lines: list[str]) -> None:
    """Starts the system and sends all requests; adds a paragraph for each."""
    for host in world.outside.values():
        world.net.start(host)
    world.net.start(world.net.add(OPERATOR, world.zones[0]))
    for service in world.day.services:
        for number in range(service.servers):
            await world.add_server(service, world.zones[number % len(world.zones)])
    await world.start_platform()
    for machine in world.machines:
        world.start(*machine)
    await world.as_operator(world.push)
    await asyncio.sleep(5.0)
    states = []
    ip_by_kind = {"core": "10.0.0.1", "edge": world.machines[-1][1].ip}
    for kind, calls in (("core", operator_calls()), ("edge", operator_calls()), ("edge", client_calls())):
        for port, data in calls:
            response = await call(world, ip_by_kind[kind], port, data)
            shown = data if len(data) < 300 else data[:120] + b"..." + b"%d" % len(data)
            lines.append(f"{kind}:{port} {shown!r}\n    {response!r}")
            if b"System.State" in data and b"200 OK" in response:
                states.append(json.loads(response.partition(b"\r\n\r\n")[2]))
    for state in states:
        lines += [status.describe_state(state), membership.describe_members(state)]


def record_checks(lines: list[str], folder: Path) -> None:
    """Adds the results of `config check` for files."""
    for number, document in enumerate((demo_configuration(3), *invalid_documents())):
        file = folder / f"{number}.cbor"
        file.write_bytes(document if isinstance(document, bytes) else cbor2.dumps(document))
        result = asyncio.run(config_file.check(file))
        lines += [json.dumps(result), config_file.describe_check(result)]


def responses(folder: Path) -> str:
    """All responses, one paragraph each."""
    lines: list[str] = []
    world = World(Day(edges=2, zones=2), 1)
    try:
        world.run(record(world, lines))
    finally:
        world.close()
    record_checks(lines, folder)
    return "\n\n".join(lines) + "\n"


def responses_from_subprocess(folder: Path) -> str:
    """The responses from a process with a fixed hash seed, which makes string hashes reproducible."""
    return subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "tests.golden_answers", str(folder)],
        cwd=DATA.parent.parent,
        env=os.environ | {"PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        check=True,
    ).stdout


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    sys.stdout.write(responses(Path(sys.argv[1])))
