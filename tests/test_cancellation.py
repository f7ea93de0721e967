"""Whatever ends a connect, an attempt or a request, and at whatever turn of the event loop: nothing of it is kept.

The sockets are real, and the event loop is that of the program, since what is kept depends on how it ends a connect."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from cypressbeam.balancing.interface import AttemptOutcome, Report
from cypressbeam.distribution import endpoint_list
from cypressbeam.protocol import frames
from cypressbeam.protocol.configuration import Configuration, RouteConfiguration, ServiceConfiguration
from cypressbeam.protocol.settings import Envelope, parse
from cypressbeam.proxy.attempts import EndCause
from cypressbeam.proxy.frontend import Frontend
from cypressbeam.proxy.gateway import Gateway
from cypressbeam.proxy.http_responses import Response
from cypressbeam.proxy.upstream import Attempt, Upstream
from cypressbeam.transport.peers import BULK_LANE, CONTROL_LANE, Peers
from lab.adversarial_servers import SETTINGS
from lab.standins import Server
from tests.loopback import StubServer, run, within_timeout

ROUNDS = 1500
#: More turns of the event loop than a connect on loopback takes.
MOST_TURNS = 10


async def take_turns(count: int) -> None:
    """Let the event loop turn so many times."""
    for _ in range(count):
        await asyncio.sleep(0)


async def wait_until(condition: Callable[[], bool]) -> bool:
    """Whether a condition comes to hold within two seconds."""
    for _ in range(200):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return condition()


def end_attempt(upstream: Upstream, attempt: Attempt, cause: str, address: tuple[str, int]) -> None:
    """End an attempt the way that `cause` names."""
    if cause == "server gone":
        upstream.remove_server("s")
        upstream.update_server("s", address, 0, True)
    elif cause == "server drains":
        upstream.update_server("s", address, 0, False)
        upstream.update_server("s", address, 0, True)
    upstream.stop(attempt, EndCause.CANCELLED if cause == "client gone" else EndCause.TIMED_OUT)


@pytest.mark.parametrize("cause", ["client gone", "time-out", "server gone", "server drains"])
def test_an_attempt_stopped_at_any_turn_of_its_connect_leaves_no_connection(cause: str) -> None:
    """Guards against a node that counts connections which are closed until it refuses everything (review/3)."""

    async def scenario() -> None:
        server, rng = StubServer(), random.Random(1)
        await server.start()
        ended: list[AttemptOutcome] = []

        def on_end(attempt: Attempt, ending: AttemptOutcome, response: Response | None, report: Report | None) -> None:
            ended.append(ending)

        upstream = Upstream(250_000, 15_000_000, ROUNDS * 2, lambda: 0, on_end)
        address = ("127.0.0.1", server.port)
        upstream.update_server("s", address, 0, True)
        for number in range(ROUNDS):
            attempt = Attempt(f"r{number}", 0, "s", b"GET / HTTP/1.1\r\n\r\n", 0)
            upstream.start(attempt)
            await take_turns(rng.randrange(MOST_TURNS))
            end_attempt(upstream, attempt, cause, address)
        assert await wait_until(lambda: not upstream.connecting and not upstream.connections)
        assert len(ended) == ROUNDS
        assert await wait_until(lambda: all(peer.lost.is_set() for peer in server.peers if hasattr(peer, "transport")))
        server.stop()

    run(scenario())


def test_a_connect_that_times_out_at_any_turn_leaves_no_connection() -> None:
    """Guards against the same for the time-out of the connect, which cancels it from within."""

    async def scenario() -> None:
        server, rng = StubServer(), random.Random(2)
        await server.start()
        upstream = Upstream(1, 15_000_000, ROUNDS * 2, lambda: 0, lambda *_: None)
        upstream.update_server("s", ("127.0.0.1", server.port), 0, True)
        attempts = [Attempt(f"r{number}", 0, "s", b"GET / HTTP/1.1\r\n\r\n", 0) for number in range(ROUNDS)]
        for attempt in attempts:
            upstream.connect_timeout_s = rng.uniform(0.0, 0.0006)
            upstream.start(attempt)
            await take_turns(rng.randrange(3))
        assert await wait_until(lambda: not upstream.connecting)
        for attempt in attempts:
            upstream.stop(attempt, EndCause.TIMED_OUT)
        assert not upstream.connections
        server.stop()

    run(scenario())


def test_a_connect_that_came_up_while_the_event_loop_was_held_up_is_used() -> None:
    """Guards against requests that are refused, and servers blamed, for a delay of the node itself (incident 032)."""

    async def scenario() -> None:
        server = StubServer()
        await server.start()
        ended: list[AttemptOutcome] = []
        upstream = Upstream(50_000, 15_000_000, 10, lambda: 0, lambda attempt, ending, *_: ended.append(ending))
        upstream.update_server("s", ("127.0.0.1", server.port), 0, True)
        for number in range(20):
            upstream.start(Attempt(f"r{number}", 0, "s", b"GET / HTTP/1.1\r\n\r\n", 0))
            await take_turns(1)
            time.sleep(0.06)
            assert await wait_until(lambda: not upstream.connecting)
            assert len(upstream.connections) == 1 and not ended
            for connection in list(upstream.connections):
                connection.end(EndCause.CANCELLED)
            ended.clear()
        server.stop()

    run(scenario())


ROUTE_MODES = (("read", "idempotent"), ("book", "effectful"))


@asynccontextmanager
async def running_gateway(servers: list[Server]) -> AsyncIterator[tuple[Gateway, Frontend]]:
    """A gateway on a real listening socket, in this process."""
    gateway = Gateway(parse(SETTINGS, "boot.conf"))
    frontend = Frontend(gateway, 1000, 10, gateway.limits)
    routes = tuple(
        RouteConfiguration(name, "h.example", f"/{name}/", mode, 2000, 500, tries=3, service="p")  # type: ignore[arg-type]
        for name, mode in ROUTE_MODES
    )
    gateway.apply_configuration(Configuration(1, routes, (ServiceConfiguration("p"),)))
    list_servers(gateway, servers)
    await frontend.listen("127.0.0.1", 0)
    try:
        yield gateway, frontend
    finally:
        frontend.stop_accepting()
        gateway.upstream.close()


def list_servers(gateway: Gateway, servers: list[Server]) -> None:
    """Give the gateway a server list."""
    gateway.update_servers(
        {
            server.ident: endpoint_list.Endpoint(
                server.ident, "p", server.address, "a", 64, endpoint_list.IN_SERVICE, 0
            )
            for server in servers
        }
    )


async def impatient_client(port: int, rng: random.Random, name: str) -> None:
    """Sends one request with little time left, and leaves at some turn before or after its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    kind = rng.choice(["read", "book"])
    method, body = ("GET", "") if kind == "read" else ("POST", "x" * rng.randrange(2000))
    head = f"{method} /{kind}/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {name}\r\n"
    message = f"{head}Time-Left-Ms: {rng.randint(11, 25)}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
    writer.write(message[: rng.choice([len(message), len(message), rng.randrange(len(message))])])
    leaves = rng.random()
    if leaves < 0.5:
        await take_turns(rng.randrange(40))
    elif leaves < 0.8:
        await asyncio.sleep(rng.uniform(0.0, 0.02))
    else:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(100), 0.05)
    writer.close()


def test_requests_that_end_at_any_turn_leave_no_counts_behind() -> None:
    """Guards against requests, connections, bodies or attempts that a node counts although they have ended."""

    async def scenario() -> None:
        gc.disable()
        rng = random.Random(3)
        servers = [Server("p", slots=64, queue=100, work_s=0.002) for _ in range(4)]
        for server in servers:
            await server.listen()
        async with running_gateway(servers) as (gateway, frontend):
            assert frontend.server is not None
            port = frontend.server.sockets[0].getsockname()[1]
            for number in range(0, ROUNDS, 30):
                await asyncio.gather(*(impatient_client(port, rng, f"r{number + i}") for i in range(30)))
                left = rng.sample(servers, 3) if rng.random() < 0.3 else servers
                list_servers(gateway, left)
            list_servers(gateway, servers)
            upstream, balancer = gateway.upstream, gateway.hosts["p"].balancer
            assert await wait_until(lambda: not gateway.requests and not frontend.connections)
            assert await wait_until(lambda: not upstream.connecting)
            assert not balancer.requests and not any(known.in_flight for known in balancer.servers.values())
            assert frontend.body_budget.buffered_bytes == 0  # also while closed connections wait for the collector
            assert not (frontend.silent or frontend.partial or frontend.idle or frontend.closing)
            idle = [connection for pool in upstream.pools.values() for connection in pool.idle]
            assert upstream.connections == set(idle)
            assert all(connection.attempt is None for connection in idle)
            for server in servers:
                server.close()
            assert await wait_until(lambda: not upstream.connections)

    try:
        run(scenario())
    finally:
        gc.enable()


@pytest.mark.parametrize("lane", [CONTROL_LANE, BULK_LANE])
def test_a_peer_connect_ended_at_any_turn_leaves_no_link(lane: int) -> None:
    """Guards against links, connects and queued frames of peers that are kept after their end."""

    async def scenario() -> None:
        rng = random.Random(4)
        listener = Peers("127.0.0.1", 0, lambda link, frame: None, lambda link: None, 1000.0)
        await listener.listen()
        assert listener.server is not None
        port = listener.server.sockets[0].getsockname()[1]
        peers = Peers("127.0.0.2", port, lambda link, frame: None, lambda link: None, 1000.0)
        for _ in range(ROUNDS // 3):
            link = peers.link_to("127.0.0.1", lane)
            link.send(frames.ReadRequest(1, "127.0.0.2"))
            await take_turns(rng.randrange(MOST_TURNS))
            if rng.random() < 0.3:
                peers.on_connected("127.0.0.1")
            await take_turns(rng.randrange(3))
            link.close()
        assert await wait_until(lambda: not peers.tasks)
        assert not peers.links and not peers.outbound
        assert await wait_until(lambda: not listener.links)
        listener.close()
        await within_timeout(asyncio.sleep(0))

    run(scenario())


def test_a_gateway_that_gets_no_server_connections_is_not_ready(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a node that refuses everything for good and calls itself ready (review/3)."""

    async def scenario() -> None:
        servers = [Server("p", slots=64, work_s=0.3)]
        await servers[0].listen()
        async with running_gateway(servers) as (gateway, frontend):
            assert frontend.server is not None
            port = frontend.server.sockets[0].getsockname()[1]
            gateway.settings = replace(gateway.settings, envelope=Envelope(contact_ms=100))
            gateway.upstream.max_connections = 1
            busy, other = Conversation(port), Conversation(port)
            first = asyncio.ensure_future(busy.read("r1"))
            await asyncio.sleep(0.05)
            assert await other.read("r2") == 503 and gateway.can_serve()  # a moment of it is no reason
            await asyncio.sleep(0.12)
            assert not gateway.can_serve()
            gateway.sweep()
            assert "not ready: no server connection was available for" in caplog.text
            assert await first == 200 and gateway.can_serve()  # a connection is free again
            assert await other.read("r3") == 200 and gateway.can_serve()

    run(scenario())


class Conversation:
    """A client that reads on one connection."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def read(self, name: str) -> int:
        """The status of the answer to one request."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(f"GET /read/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {name}\r\n\r\n".encode())
        head = await within_timeout(reader.readuntil(b"\r\n\r\n"))
        writer.close()
        return int(head.split()[1])
