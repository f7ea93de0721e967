"""End-to-end tests of a small system: real node processes on loopback, with simulated servers and platform."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import cbor2

from cypressbeam.admin import config_calls
from cypressbeam.protocol.address import Address
from cypressbeam.proxy.http_client import HttpClient
from cypressbeam.proxy.http_responses import Response
from lab.local_cluster import HOST, demo_configuration, push, push_until_taken
from lab.standins import Platform, Server
from lab.system import Machine, System, status_of
from tests.loopback import run, within_timeout

DEMO = cbor2.dumps(demo_configuration())


class SystemFixture:
    def __init__(self, platform: Platform, system: System) -> None:
        self.platform = platform
        self.system = system

    @property
    def edges(self) -> list[Machine]:
        return self.system.fronts

    def servers(self, plant: str) -> list[Server]:
        return [server for server in self.platform.servers if server.plant == plant]


@asynccontextmanager
async def running_system(
    edges: int = 2, work_s: float = 0.0, configured: bool = True, extra: dict[str, str] | None = None
) -> AsyncIterator[SystemFixture]:
    platform = Platform(page=2, refuse=1)
    await platform.listen()
    for plant in ("finder", "finder", "booker"):
        server = Server(plant, "east", work_s=work_s)
        await server.listen()
        platform.servers.append(server)
    async with System(platform.address, edges=edges, extra=extra or {}) as system:
        fixture = SystemFixture(platform, system)
        if configured:
            async with asyncio.timeout(20.0):
                await push_until_taken(system.machines[-1], DEMO, 0)
            for machine in fixture.edges:
                await system.ready(machine)
        yield fixture
    for server in platform.servers:
        server.close()
    platform.close()


async def send(address: Address, message: bytes) -> Response:
    connection = HttpClient(address)
    await connection.open()
    try:
        return await connection.call(message, 20.0)
    finally:
        connection.close()


async def make_request(
    machine: Machine,
    path: str = "/find/1",
    ident: str = "r1",
    method: str = "GET",
    headers: str = "",
    body: bytes = b"",
) -> Response:
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {ident}\r\nTime-Left-Ms: 5000\r\n{headers}"
        f"{f'Content-Length: {len(body)}' if body else 'X: 1'}\r\n\r\n"
    )
    return await send(machine.front, head.encode() + body)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)


async def read_configuration(machine: Machine) -> Response:
    return await send(machine.control, b"GET /-/Configuration.Read HTTP/1.1\r\nHost: c\r\n\r\n")


def test_valid_requests_are_proxied_and_invalid_ones_are_rejected() -> None:
    async def scenario() -> None:
        async with running_system() as fixture:
            for machine in fixture.edges:
                response = await make_request(machine, "/find/1?a=b")
                assert response.status == 200 and b"/find/1?a=b" in response.body
                assert response.header(b"attempt-id") == b"r1" and (response.header(b"server-seal") or b"").endswith(
                    b".r1"
                )
                assert response.header(b"server-load") is None
            (booker,) = fixture.servers("booker")
            chunked = (
                f"POST /book/2 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: c1\r\nTime-Left-Ms: 5000\r\n"
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            assert (await send(fixture.edges[0].front, chunked.encode())).status == 200
            large = b"x" * 300_000
            assert (await make_request(fixture.edges[0], "/book/3", "c2", "PUT", body=large)).status == 200
            assert booker.ran == [(b"c1", b"POST", b"/book/2", b"abcde"), (b"c2", b"PUT", b"/book/3", large)]
            ran = sum(len(server.ran) for server in fixture.platform.servers)
            front = fixture.edges[0].front
            assert (await make_request(fixture.edges[0], "/nothing/here")).status == 404
            assert (await make_request(fixture.edges[0], headers="Attempt-Id: r2\r\n")).status == 400
            assert (await make_request(fixture.edges[0], headers=f"Big: {'x' * 20000}\r\n")).status == 431
            for invalid, status in (
                (b"GET /find/1 HTTP/1.1\r\nAttempt-Id: x\r\n\r\n", 400),
                (b"GET /find/1 HTTP/1.1\r\nHost: demo.example\r\n\r\n", 400),
                (
                    b"GET /find/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: x\r\n"
                    b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET",
                    400,
                ),
                (
                    b"POST /book/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: x\r\nContent-Length: 99999999\r\n\r\n",
                    413,
                ),
            ):
                assert (await send(front, invalid)).status == status
            assert sum(len(server.ran) for server in fixture.platform.servers) == ran

    run(scenario())


def read_log(machine: Machine) -> str:
    return (machine.folder / "log").read_text(encoding="utf-8")


def test_request_bodies_share_a_memory_limit() -> None:
    async def scenario() -> None:
        async with running_system(edges=1, extra={"constraints.memoryMb": "2"}) as fixture:  # 0.6 MB for bodies
            (edge,), body = fixture.edges, b"x" * 400_000
            first = HttpClient(edge.front)
            await first.open()
            head = (
                f"PUT /book/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: held\r\nTime-Left-Ms: 9000\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            first_response = asyncio.create_task(first.call(head + body[:-1], 20.0))
            async with asyncio.timeout(20.0):
                while (response := await make_request(edge, "/book/2", "b2", "PUT", body=body)).status == 200:
                    await asyncio.sleep(0)  # the body of the first request is still in transit
            assert response.status == 503 and response.header(b"retry-after") == b"1"
            assert "request rejected: 503: too many bodies at once" in read_log(edge)
            assert (await make_request(edge, "/book/3", "b3", "PUT", body=body * 2)).status == 413
            assert "request rejected: 413: the body is too large" in read_log(edge)
            assert first.writer is not None
            first.writer.write(body[-1:])
            assert (await within_timeout(first_response)).status == 200
            first.close()
            for number in range(4):  # the memory has been released
                assert (await make_request(edge, "/book/4", f"after{number}", "PUT", body=body)).status == 200

    run(scenario())


def test_connections_over_the_limit_are_rejected_and_logged() -> None:
    async def scenario() -> None:
        async with running_system(
            edges=1, extra={"constraints.fileHandles": "420"}
        ) as fixture:  # 12 of them for clients
            (edge,) = fixture.edges
            request = (
                f"PUT /book/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: h%d\r\nTime-Left-Ms: 9000\r\n"
                "Content-Length: 2\r\n\r\nab"
            ).encode()
            connections: list[HttpClient] = []
            for number in range(12):
                connections.append(HttpClient(edge.front))
                await connections[-1].open()
                assert (await connections[-1].call(request % number, 20.0)).status == 200
                assert connections[-1].writer is not None
                connections[-1].writer.write(
                    (request % number)[:-1]
                )  # a partial second request keeps the connection open
            refused = await make_request(edge, ident="one-too-many")
            assert refused.status == 503 and refused.header(b"retry-after") == b"0.5"
            assert "all 12 client connections are in use, rejecting a new one" in read_log(edge)
            for connection in connections:
                assert (await connection.call(b"b", 20.0)).status == 200
                connection.close()
            async with asyncio.timeout(20.0):
                while (await make_request(edge, ident="now-there-is")).status != 200:
                    await asyncio.sleep(0)  # the node has not noticed the closed connections yet

    run(scenario())


def test_any_node_accepts_rejects_and_reads_configurations() -> None:
    async def scenario() -> None:
        async with running_system() as fixture:
            core, edge = fixture.system.machines[0], fixture.edges[0]
            for machine in fixture.system.machines:
                response = await read_configuration(machine)
                assert response.status == 200 and response.body == DEMO
            changed = demo_configuration(7)
            changed["channels"][0]["prefix"] = "/look/"
            body = cbor2.dumps(changed)
            assert (await push(edge, body, 0))[0] == 412
            assert (await push(edge, body[:-5], 1))[0] == 400
            other = cbor2.dumps(changed | {"plants": list(reversed(changed["plants"]))})
            results = await asyncio.gather(push(core, body, 1), push(edge, other, 1))
            assert sorted(status for status, _ in results) == [200, 412]
            winner = body if results[0][0] == 200 else other
            assert (await push(fixture.system.machines[1], winner, 1))[0] == 200
            assert (await push(fixture.system.machines[1], DEMO, 0))[0] == 200  # applied before
            assert (await push(core, cbor2.dumps(demo_configuration(5)), 7))[0] == 400
            huge = b"POST /-/Configuration.Replace HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999\r\n\r\n"
            assert (await send(edge.control, huge)).status == 413
            for machine in fixture.edges:
                async with asyncio.timeout(20.0):
                    while (await make_request(machine, "/look/1")).status != 200:
                        await asyncio.sleep(0.01)
                assert (await make_request(machine, "/find/1")).status == 404
            assert (await read_configuration(edge)).body == winner

    run(scenario())


def test_a_node_with_a_slow_link_redirects_reads_to_the_core() -> None:
    large = demo_configuration(2)
    large["channels"] += [
        large["channels"][0] | {"label": f"more-{number}", "prefix": f"/more/{number}/"} for number in range(300)
    ]

    async def scenario() -> None:
        async with running_system(edges=1, extra={"constraints.linkMbps": "2.75"}) as fixture:
            (edge,), cores = fixture.edges, fixture.system.machines[:3]
            assert (await read_configuration(edge)).body == DEMO  # a small one is returned directly
            assert (await push(edge, cbor2.dumps(large), 1))[0] == 200
            async with asyncio.timeout(20.0):
                while (answer := await read_configuration(edge)).status != 307:
                    assert answer.status == 200
            location = (answer.header(b"location") or b"").decode()
            assert location in [f"http://{core.ip}:{core.control[1]}/-/Configuration.Read" for core in cores]
            assert await config_calls.read(edge.control) == cbor2.dumps(large)

    run(scenario())


def test_a_large_configuration_is_applied_and_survives_a_core_restart() -> None:
    large = demo_configuration(2)
    large["channels"] += [
        large["channels"][0] | {"label": f"more-{number}", "prefix": f"/more/{number}/"} for number in range(900)
    ]
    body = cbor2.dumps(large)

    async def scenario() -> None:
        async with running_system(edges=1) as fixture:
            (edge,), cores = fixture.edges, fixture.system.machines[:3]
            assert (await push(edge, body, 1))[0] == 200
            async with asyncio.timeout(20.0):
                while (await make_request(edge, "/more/899/x")).status != 200:
                    await asyncio.sleep(0.01)
            for machine in cores:
                await fixture.system.kill(machine)
            for machine in cores:
                await fixture.system.start(machine)
            async with asyncio.timeout(20.0):
                while await status_of(cores[0].control, "/-/Configuration.Read") != 200:
                    await asyncio.sleep(0.05)
            assert (await read_configuration(cores[0])).body == body

    run(scenario())


def test_state_survives_a_restart_of_the_core() -> None:
    async def scenario() -> None:
        async with running_system(edges=1) as fixture:
            cores = [machine for machine in fixture.system.machines if machine.core]
            for machine in cores:
                await fixture.system.kill(machine)
            assert (
                await make_request(fixture.edges[0])
            ).status == 200  # the edge node continues with its current configuration
            assert (await push(fixture.edges[0], DEMO, 0))[0] == 503
            for machine in cores:
                await fixture.system.start(machine)
            async with asyncio.timeout(20.0):
                while await status_of(cores[1].control, "/-/Configuration.Read") != 200:
                    await asyncio.sleep(0.05)
            assert (await read_configuration(cores[1])).body == DEMO
            second = cbor2.dumps(demo_configuration(2))
            async with asyncio.timeout(20.0):
                await push_until_taken(fixture.edges[0], second, 1)
            assert (await read_configuration(fixture.edges[0])).body == second

    run(scenario())


def test_clients_that_connect_during_startup_are_served() -> None:
    async def scenario() -> None:
        async with running_system(edges=1) as fixture:
            (edge,) = fixture.edges
            for number in range(3):
                await fixture.system.kill(edge)
                await fixture.system.start(edge)
                async with asyncio.timeout(20.0):
                    while True:
                        try:
                            response = await make_request(edge, "/book/1", f"early{number}", "PUT", body=b"x" * 300_000)
                            break
                        except ConnectionRefusedError:
                            await asyncio.sleep(0)
                assert response.status == 200

    run(scenario())


def test_draining_and_replaced_servers_receive_no_requests() -> None:
    async def scenario() -> None:
        async with running_system() as fixture:
            first, second = fixture.servers("finder")
            first.state = "draining"
            calls = fixture.platform.calls
            await wait_until(lambda: fixture.platform.calls >= calls + 4)
            for machine in fixture.edges:
                await wait_until_unused(machine, first)
            ran = len(first.ran)
            for number in range(10):
                assert (await make_request(fixture.edges[number % 2], ident=f"d{number}")).status == 200
            assert len(first.ran) == ran
            second.ident = (
                "i-another-life"  # the address belongs to another server: it responds 421, and no other server is left
            )
            assert (await make_request(fixture.edges[0], ident="gone")).status == 503

    run(scenario())


async def wait_until_unused(machine: Machine, server: Server) -> None:
    """Wait until a node sends three requests in a row to other servers."""
    skipped = 0
    async with asyncio.timeout(20.0):
        while skipped < 3:
            before = len(server.ran)
            await make_request(machine)
            skipped = skipped + 1 if len(server.ran) == before else 0


def test_a_stopping_node_answers_pending_requests() -> None:
    async def scenario() -> None:
        async with running_system(edges=1, work_s=0.4) as fixture:
            pending = asyncio.create_task(make_request(fixture.edges[0], "/book/1", method="POST", body=b"x"))
            await wait_until(lambda: bool(fixture.servers("booker")[0].running))
            stopped = asyncio.create_task(fixture.system.kill(fixture.edges[0], signal.SIGTERM))
            assert (await within_timeout(pending)).status == 200
            assert await status_of((fixture.edges[0].ip, 8640), "/-/ready") == 503
            late = await make_request(fixture.edges[0], ident="late")  # clients still connect until they notice
            assert late.status == 200 and late.header(b"connection") == b"close"
            assert await within_timeout(stopped) == 0

    run(scenario())


def test_a_stopping_node_waits_for_partially_received_requests() -> None:
    """A body takes seconds on a slow link. A node that exited while receiving one left its client unanswered (LOST)."""

    async def scenario() -> None:
        async with running_system(edges=1) as fixture:
            (edge,) = fixture.edges
            head = (f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nTime-Left-Ms: 9000\r\nContent-Length: 10\r\n").encode()
            completed, abandoned = [await asyncio.open_connection(*edge.front) for _ in range(2)]
            for ident, (_, writer) in ((b"whole", completed), (b"never", abandoned)):
                writer.write(head + b"Attempt-Id: %s\r\n\r\nfirst" % ident)
            stopped = asyncio.create_task(fixture.system.kill(edge, signal.SIGTERM))
            async with asyncio.timeout(20.0):
                with contextlib.suppress(ConnectionRefusedError):
                    while True:  # until no new connections are accepted
                        (await asyncio.open_connection(*edge.front))[1].close()
                        await asyncio.sleep(0.01)
            completed[1].write(b"after")
            assert b" 200 " in await within_timeout(completed[0].readline())
            assert b" 503 " in await within_timeout(abandoned[0].readline())
            assert b"Retry-After" in await within_timeout(abandoned[0].read())
            assert await within_timeout(stopped) == 0
            assert [ident for ident, *_ in fixture.servers("booker")[0].ran] == [b"whole"]

    run(scenario())


def test_a_node_stopped_during_startup_answers_waiting_clients() -> None:
    """A node stopped before it accepted its first connection accepted none, and all were reset when it exited."""

    async def scenario() -> None:
        async with running_system(edges=1, configured=False) as fixture:
            (edge,) = fixture.edges
            await fixture.system.kill(edge)
            await fixture.system.start(edge)
            async with asyncio.timeout(20.0):
                while await status_of((edge.ip, 8640), "/-/ready") != 503:
                    await asyncio.sleep(0)
            stopped = asyncio.create_task(fixture.system.kill(edge, signal.SIGTERM))
            response = await make_request(edge)
            assert response.status == 503 and response.header(b"retry-after") == b"0.5"
            assert await within_timeout(stopped) == 0

    run(scenario())


def test_a_node_without_a_configuration_responds_503() -> None:
    async def scenario() -> None:
        async with running_system(edges=1, configured=False) as fixture:
            async with asyncio.timeout(20.0):
                while await status_of((fixture.edges[0].ip, 8640), "/-/ready") != 503:
                    await asyncio.sleep(0.02)
            response = await make_request(fixture.edges[0])
            assert response.status == 503 and response.header(b"retry-after") == b"0.5"
            fixture.edges[0].process.send_signal(signal.SIGHUP)  # type: ignore[union-attr]
            async with asyncio.timeout(20.0):
                await push_until_taken(fixture.edges[0], DEMO, 0)
            await fixture.system.ready(fixture.edges[0])

    run(scenario())


def test_invalid_settings_end_the_program_with_a_one_line_error(tmp_path: Path) -> None:
    async def scenario() -> None:
        boot = tmp_path / "boot.conf"
        boot.write_text("node=n\nip=127.0.0.1\ninternalPorts=x\n", encoding="utf-8")
        environ: dict[str, Any] = os.environ | {"CYPRESSBEAM_BOOT": str(boot)}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cypressbeam", "node", env=environ, stderr=asyncio.subprocess.PIPE
        )
        _, stderr = await within_timeout(process.communicate())
        assert process.returncode == 2 and stderr.count(b"\n") == 1
        assert b"internalPorts is 'x'; a first and a last port is wanted" in stderr

    run(scenario())
