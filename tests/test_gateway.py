"""A whole small system: real processes on loopback, with stand-in servers and platform."""

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


class Rig:
    def __init__(self, platform: Platform, system: System) -> None:
        self.platform = platform
        self.system = system

    @property
    def edges(self) -> list[Machine]:
        return self.system.fronts

    def servers(self, plant: str) -> list[Server]:
        return [server for server in self.platform.servers if server.plant == plant]


@asynccontextmanager
async def rig(
    edges: int = 2, work_s: float = 0.0, configured: bool = True, extra: dict[str, str] | None = None
) -> AsyncIterator[Rig]:
    platform = Platform(page=2, refuse=1)
    await platform.listen()
    for plant in ("finder", "finder", "booker"):
        server = Server(plant, "east", work_s=work_s)
        await server.listen()
        platform.servers.append(server)
    async with System(platform.address, edges=edges, extra=extra or {}) as system:
        made = Rig(platform, system)
        if configured:
            async with asyncio.timeout(20.0):
                await push_until_taken(system.machines[-1], DEMO, 0)
            for machine in made.edges:
                await system.ready(machine)
        yield made
    for server in platform.servers:
        server.close()
    platform.close()


async def send(to: Address, message: bytes) -> Response:
    connection = HttpClient(to)
    await connection.open()
    try:
        return await connection.call(message, 20.0)
    finally:
        connection.close()


async def ask(
    machine: Machine, path: str = "/find/1", ident: str = "r1", method: str = "GET", more: str = "", body: bytes = b""
) -> Response:
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {ident}\r\nTime-Left-Ms: 5000\r\n{more}"
        f"{f'Content-Length: {len(body)}' if body else 'X: 1'}\r\n\r\n"
    )
    return await send(machine.front, head.encode() + body)


async def until(what: Callable[[], bool]) -> None:
    async with asyncio.timeout(20.0):
        while not what():
            await asyncio.sleep(0.01)


async def read_back(machine: Machine) -> Response:
    return await send(machine.control, b"GET /-/Configuration.Read HTTP/1.1\r\nHost: c\r\n\r\n")


def test_requests_go_through_and_bad_ones_reach_no_server() -> None:
    async def scenario() -> None:
        async with rig() as made:
            for machine in made.edges:
                got = await ask(machine, "/find/1?a=b")
                assert got.status == 200 and b"/find/1?a=b" in got.body
                assert got.header(b"attempt-id") == b"r1" and (got.header(b"server-seal") or b"").endswith(b".r1")
                assert got.header(b"server-load") is None
            (booker,) = made.servers("booker")
            chunked = (
                f"POST /book/2 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: c1\r\nTime-Left-Ms: 5000\r\n"
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            assert (await send(made.edges[0].front, chunked.encode())).status == 200
            large = b"x" * 300_000
            assert (await ask(made.edges[0], "/book/3", "c2", "PUT", body=large)).status == 200
            assert booker.ran == [(b"c1", b"POST", b"/book/2", b"abcde"), (b"c2", b"PUT", b"/book/3", large)]
            ran = sum(len(server.ran) for server in made.platform.servers)
            front = made.edges[0].front
            assert (await ask(made.edges[0], "/nothing/here")).status == 404
            assert (await ask(made.edges[0], more="Attempt-Id: r2\r\n")).status == 400
            assert (await ask(made.edges[0], more=f"Big: {'x' * 20000}\r\n")).status == 431
            for wrong, status in (
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
                assert (await send(front, wrong)).status == status
            assert sum(len(server.ran) for server in made.platform.servers) == ran

    run(scenario())


def log_of(machine: Machine) -> str:
    return (machine.folder / "log").read_text(encoding="utf-8")


def test_bodies_are_held_within_a_bound_over_all_of_them() -> None:
    async def scenario() -> None:
        async with rig(edges=1, extra={"constraints.memoryMb": "2"}) as made:  # 0.6 MB for bodies
            (edge,), body = made.edges, b"x" * 400_000
            first = HttpClient(edge.front)
            await first.open()
            head = (
                f"PUT /book/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: held\r\nTime-Left-Ms: 9000\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            answered = asyncio.create_task(first.call(head + body[:-1], 20.0))
            async with asyncio.timeout(20.0):
                while (got := await ask(edge, "/book/2", "b2", "PUT", body=body)).status == 200:
                    await asyncio.sleep(0)  # the first one's bytes are still on their way
            assert got.status == 503 and got.header(b"retry-after") == b"1"
            assert "request rejected: 503: too many bodies at once" in log_of(edge)
            assert (await ask(edge, "/book/3", "b3", "PUT", body=body * 2)).status == 413
            assert "request rejected: 413: the body is too large" in log_of(edge)
            assert first.writer is not None
            first.writer.write(body[-1:])
            assert (await within_timeout(answered)).status == 200
            first.close()
            for number in range(4):  # what was held has been given back
                assert (await ask(edge, "/book/4", f"after{number}", "PUT", body=body)).status == 200

    run(scenario())


def test_a_full_table_of_connections_is_told_to_client_and_operator() -> None:
    async def scenario() -> None:
        async with rig(edges=1, extra={"constraints.fileHandles": "420"}) as made:  # 12 of them for clients
            (edge,) = made.edges
            whole = (
                f"PUT /book/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: h%d\r\nTime-Left-Ms: 9000\r\n"
                "Content-Length: 2\r\n\r\nab"
            ).encode()
            held: list[HttpClient] = []
            for number in range(12):
                held.append(HttpClient(edge.front))
                await held[-1].open()
                assert (await held[-1].call(whole % number, 20.0)).status == 200
                assert held[-1].writer is not None
                held[-1].writer.write((whole % number)[:-1])  # within a second request: it keeps its place
            refused = await ask(edge, ident="one-too-many")
            assert refused.status == 503 and refused.header(b"retry-after") == b"0.5"
            assert "all 12 client connections are in use, rejecting a new one" in log_of(edge)
            for connection in held:
                assert (await connection.call(b"b", 20.0)).status == 200
                connection.close()
            async with asyncio.timeout(20.0):
                while (await ask(edge, ident="now-there-is")).status != 200:
                    await asyncio.sleep(0)  # the node has yet to see them close

    run(scenario())


def test_configurations_are_taken_refused_and_read_back_at_any_node() -> None:
    async def scenario() -> None:
        async with rig() as made:
            core, edge = made.system.machines[0], made.edges[0]
            for machine in made.system.machines:
                got = await read_back(machine)
                assert got.status == 200 and got.body == DEMO
            later = demo_configuration(7)
            later["channels"][0]["prefix"] = "/look/"
            body = cbor2.dumps(later)
            assert (await push(edge, body, 0))[0] == 412
            assert (await push(edge, body[:-5], 1))[0] == 400
            other = cbor2.dumps(later | {"plants": list(reversed(later["plants"]))})
            both = await asyncio.gather(push(core, body, 1), push(edge, other, 1))
            assert sorted(status for status, _ in both) == [200, 412]
            winner = body if both[0][0] == 200 else other
            assert (await push(made.system.machines[1], winner, 1))[0] == 200
            assert (await push(made.system.machines[1], DEMO, 0))[0] == 200  # taken before
            assert (await push(core, cbor2.dumps(demo_configuration(5)), 7))[0] == 400
            huge = b"POST /-/Configuration.Replace HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999\r\n\r\n"
            assert (await send(edge.control, huge)).status == 413
            for machine in made.edges:
                async with asyncio.timeout(20.0):
                    while (await ask(machine, "/look/1")).status != 200:
                        await asyncio.sleep(0.01)
                assert (await ask(machine, "/find/1")).status == 404
            assert (await read_back(edge)).body == winner

    run(scenario())


def test_a_node_with_a_thin_link_sends_those_who_read_to_the_core() -> None:
    many = demo_configuration(2)
    many["channels"] += [
        many["channels"][0] | {"label": f"more-{number}", "prefix": f"/more/{number}/"} for number in range(300)
    ]

    async def scenario() -> None:
        async with rig(edges=1, extra={"constraints.linkMbps": "2.75"}) as made:
            (edge,), cores = made.edges, made.system.machines[:3]
            assert (await read_back(edge)).body == DEMO  # a small one is told at once
            assert (await push(edge, cbor2.dumps(many), 1))[0] == 200
            async with asyncio.timeout(20.0):
                while (answer := await read_back(edge)).status != 307:
                    assert answer.status == 200
            location = (answer.header(b"location") or b"").decode()
            assert location in [f"http://{core.ip}:{core.control[1]}/-/Configuration.Read" for core in cores]
            assert await config_calls.read(edge.control) == cbor2.dumps(many)

    run(scenario())


def test_a_configuration_of_many_hundred_routes_is_taken_and_outlives_the_core() -> None:
    many = demo_configuration(2)
    many["channels"] += [
        many["channels"][0] | {"label": f"more-{number}", "prefix": f"/more/{number}/"} for number in range(900)
    ]
    body = cbor2.dumps(many)

    async def scenario() -> None:
        async with rig(edges=1) as made:
            (edge,), cores = made.edges, made.system.machines[:3]
            assert (await push(edge, body, 1))[0] == 200
            async with asyncio.timeout(20.0):
                while (await ask(edge, "/more/899/x")).status != 200:
                    await asyncio.sleep(0.01)
            for machine in cores:
                await made.system.kill(machine)
            for machine in cores:
                await made.system.start(machine)
            async with asyncio.timeout(20.0):
                while await status_of(cores[0].control, "/-/Configuration.Read") != 200:
                    await asyncio.sleep(0.05)
            assert (await read_back(cores[0])).body == body

    run(scenario())


def test_the_state_outlives_the_core_and_a_restart_changes_nothing() -> None:
    async def scenario() -> None:
        async with rig(edges=1) as made:
            cores = [machine for machine in made.system.machines if machine.core]
            for machine in cores:
                await made.system.kill(machine)
            assert (await ask(made.edges[0])).status == 200  # the edge goes on with what it has
            assert (await push(made.edges[0], DEMO, 0))[0] == 503
            for machine in cores:
                await made.system.start(machine)
            async with asyncio.timeout(20.0):
                while await status_of(cores[1].control, "/-/Configuration.Read") != 200:
                    await asyncio.sleep(0.05)
            assert (await read_back(cores[1])).body == DEMO
            second = cbor2.dumps(demo_configuration(2))
            async with asyncio.timeout(20.0):
                await push_until_taken(made.edges[0], second, 1)
            assert (await read_back(made.edges[0])).body == second

    run(scenario())


def test_clients_of_a_node_that_starts_wait_a_little_and_are_served() -> None:
    async def scenario() -> None:
        async with rig(edges=1) as made:
            (edge,) = made.edges
            for number in range(3):
                await made.system.kill(edge)
                await made.system.start(edge)
                async with asyncio.timeout(20.0):
                    while True:
                        try:
                            got = await ask(edge, "/book/1", f"early{number}", "PUT", body=b"x" * 300_000)
                            break
                        except ConnectionRefusedError:
                            await asyncio.sleep(0)
                assert got.status == 200

    run(scenario())


def test_drained_and_replaced_servers_get_nothing_more() -> None:
    async def scenario() -> None:
        async with rig() as made:
            first, second = made.servers("finder")
            first.state = "draining"
            calls = made.platform.calls
            await until(lambda: made.platform.calls >= calls + 4)
            for machine in made.edges:
                await until_moved(machine, first)
            ran = len(first.ran)
            for number in range(10):
                assert (await ask(made.edges[number % 2], ident=f"d{number}")).status == 200
            assert len(first.ran) == ran
            second.ident = "i-another-life"  # the address is another's by now: 421 there, and no other server
            assert (await ask(made.edges[0], ident="gone")).status == 503

    run(scenario())


async def until_moved(machine: Machine, server: Server) -> None:
    """Until a node sends its requests elsewhere: three in a row."""
    missed = 0
    async with asyncio.timeout(20.0):
        while missed < 3:
            before = len(server.ran)
            await ask(machine)
            missed = missed + 1 if len(server.ran) == before else 0


def test_a_node_that_is_told_to_stop_answers_what_it_took() -> None:
    async def scenario() -> None:
        async with rig(edges=1, work_s=0.4) as made:
            waiting = asyncio.create_task(ask(made.edges[0], "/book/1", method="POST", body=b"x"))
            await until(lambda: bool(made.servers("booker")[0].running))
            ended = asyncio.create_task(made.system.kill(made.edges[0], signal.SIGTERM))
            assert (await within_timeout(waiting)).status == 200
            assert await status_of((made.edges[0].ip, 8640), "/-/ready") == 503
            late = await ask(made.edges[0], ident="late")  # clients still come until they have noticed
            assert late.status == 200 and late.header(b"connection") == b"close"
            assert await within_timeout(ended) == 0

    run(scenario())


def test_a_node_that_is_told_to_stop_waits_for_requests_that_are_still_coming_in() -> None:
    """Over a thin link a body takes seconds; the node ended while one came, and its client got no answer (LOST)."""

    async def scenario() -> None:
        async with rig(edges=1) as made:
            (edge,) = made.edges
            head = (f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nTime-Left-Ms: 9000\r\nContent-Length: 10\r\n").encode()
            whole, never = [await asyncio.open_connection(*edge.front) for _ in range(2)]
            for ident, (_, writer) in ((b"whole", whole), (b"never", never)):
                writer.write(head + b"Attempt-Id: %s\r\n\r\nfirst" % ident)
            ended = asyncio.create_task(made.system.kill(edge, signal.SIGTERM))
            async with asyncio.timeout(20.0):
                with contextlib.suppress(ConnectionRefusedError):
                    while True:  # until no new connections are taken: what was open by then is all there is
                        (await asyncio.open_connection(*edge.front))[1].close()
                        await asyncio.sleep(0.01)
            whole[1].write(b"after")
            assert b" 200 " in await within_timeout(whole[0].readline())
            assert b" 503 " in await within_timeout(never[0].readline())
            assert b"Retry-After" in await within_timeout(never[0].read())
            assert await within_timeout(ended) == 0
            assert [ident for ident, *_ in made.servers("booker")[0].ran] == [b"whole"]

    run(scenario())


def test_a_node_that_is_told_to_stop_as_it_starts_answers_those_who_wait_for_it() -> None:
    """Stopped before it took the first connection, it never took any: they were reset when it ended."""

    async def scenario() -> None:
        async with rig(edges=1, configured=False) as made:
            (edge,) = made.edges
            await made.system.kill(edge)
            await made.system.start(edge)
            async with asyncio.timeout(20.0):
                while await status_of((edge.ip, 8640), "/-/ready") != 503:
                    await asyncio.sleep(0)
            ended = asyncio.create_task(made.system.kill(edge, signal.SIGTERM))
            got = await ask(edge)
            assert got.status == 503 and got.header(b"retry-after") == b"0.5"
            assert await within_timeout(ended) == 0

    run(scenario())


def test_a_node_that_is_not_configured_says_so() -> None:
    async def scenario() -> None:
        async with rig(edges=1, configured=False) as made:
            async with asyncio.timeout(20.0):
                while await status_of((made.edges[0].ip, 8640), "/-/ready") != 503:
                    await asyncio.sleep(0.02)
            got = await ask(made.edges[0])
            assert got.status == 503 and got.header(b"retry-after") == b"0.5"
            made.edges[0].process.send_signal(signal.SIGHUP)  # type: ignore[union-attr]
            async with asyncio.timeout(20.0):
                await push_until_taken(made.edges[0], DEMO, 0)
            await made.system.ready(made.edges[0])

    run(scenario())


def test_wrong_settings_end_the_program_with_one_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        boot = tmp_path / "boot.conf"
        boot.write_text("node=n\nip=127.0.0.1\ninternalPorts=x\n", encoding="utf-8")
        environ: dict[str, Any] = os.environ | {"CYPRESSBEAM_BOOT": str(boot)}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cypressbeam", "node", env=environ, stderr=asyncio.subprocess.PIPE
        )
        _, told = await within_timeout(process.communicate())
        assert process.returncode == 2 and told.count(b"\n") == 1
        assert b"internalPorts is 'x'; a first and a last port is wanted" in told

    run(scenario())
