"""Server connections: how attempts end, and what is never written."""

from __future__ import annotations

import asyncio
import os
import select
from typing import Any

import pytest

from cypressbeam.balancing.interface import AttemptOutcome, Report
from cypressbeam.proxy.http_responses import MAX_RESPONSE_BYTES, Response
from cypressbeam.proxy.protocol_profile import parse_named_load
from cypressbeam.proxy.upstream import Attempt, Upstream
from cypressbeam.standalone.discovery import parse_server_list
from tests.loopback import (
    LONG_AGO_MS,
    NodeFixture,
    StubServer,
    run,
    running_node,
    server_list,
    server_row,
    within_timeout,
)

NOT_STARTED = "Not-Started: 1\r\n"


def report_servers(node_fixture: NodeFixture, version: int, *rows: dict[str, Any], whole: bool = True) -> None:
    node_fixture.node.apply_server_list(parse_server_list(server_list(version, *rows, whole=whole)))


async def next_request(node_fixture: NodeFixture) -> tuple[int, Any]:
    """The index of the server that received the next request, and the request."""
    waits = [asyncio.ensure_future(server.received.get()) for server in node_fixture.servers]
    done, rest = await asyncio.wait(waits, timeout=20.0, return_when=asyncio.FIRST_COMPLETED)
    for wait in rest:
        wait.cancel()
    (one,) = done
    return waits.index(one), one.result()


def test_a_refused_connection_is_retried_at_another_server() -> None:
    async def scenario() -> None:
        async with running_node(servers=2) as node_fixture:
            node_fixture.servers[0].refuse()
            for _ in range(6):
                client = await node_fixture.client()
                client.send("order")
                (await node_fixture.servers[1].next()).reply()
                assert (await client.answer()).status == 200

    run(scenario())


@pytest.mark.parametrize("status", [503, 504])
def test_a_not_started_response_is_retried_at_another_server(status: int) -> None:
    async def scenario() -> None:
        async with running_node(servers=2) as node_fixture:
            client = await node_fixture.client()
            client.send("order")
            first, got = await next_request(node_fixture)
            got.reply(status, head=NOT_STARTED)
            second, got = await next_request(node_fixture)
            assert second != first
            got.reply()
            assert (await client.answer()).status == 200

    run(scenario())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 X\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 X\r\n\r\nno end stated",
        b"nonsense\r\n\r\n",
        b"",
    ],
)
def test_an_unsafe_request_that_may_have_run_is_never_retried(answer: bytes) -> None:
    async def scenario() -> None:
        async with running_node(servers=2) as node_fixture:
            client = await node_fixture.client()
            client.send("order")
            _, got = await next_request(node_fixture)
            got.raw(answer)
            if not answer.endswith(b"\r\n\r\n"):
                got.peer.transport.close()
            response = await client.answer()
            assert response.status == 502  # a refusal would tell the client that a retry is harmless
            assert all(server.received.empty() for server in node_fixture.servers)
            assert not node_fixture.node.requests

    run(scenario())


def test_a_timeout_is_answered_in_time_and_closes_the_connection() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            began = asyncio.get_running_loop().time()
            client.send("order", timeout="1000m")
            got = await node_fixture.servers[0].next()
            assert (await client.answer()).status == 504
            assert asyncio.get_running_loop().time() - began > 0.2  # and not too early
            await within_timeout(got.peer.lost.wait())
            assert not node_fixture.node.requests

    run(scenario())


def test_a_connection_is_reused_only_after_a_complete_response() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            for _ in range(3):
                client.send()
                (await node_fixture.servers[0].next()).reply()
                assert (await client.answer()).status == 200
            assert len(node_fixture.servers[0].peers) == 1
            client.send("order", timeout="1000m")
            await node_fixture.servers[0].next()
            assert (await client.answer()).status == 504
            client.send()
            got = await node_fixture.servers[0].next()
            assert len(node_fixture.servers[0].peers) == 2
            got.reply(head="Connection: close\r\n")
            assert (await client.answer()).status == 200
            client.send()
            (await node_fixture.servers[0].next()).reply()
            assert (await client.answer()).status == 200 and len(node_fixture.servers[0].peers) == 3

    run(scenario())


def test_idle_connections_are_closed_before_the_server_closes_them() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send()
            got = await node_fixture.servers[0].next()
            got.reply()
            await client.answer()
            (connection,) = node_fixture.node.upstream.connections
            node_fixture.node.upstream.sweep()
            assert not connection.closed
            connection.idle_since_s -= 31.0  # beyond half of the idle timeout of 60 s
            node_fixture.node.upstream.sweep()
            await within_timeout(got.peer.lost.wait())

    run(scenario())


def test_unsolicited_bytes_close_an_idle_connection() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send()
            got = await node_fixture.servers[0].next()
            got.reply()
            assert (await client.answer()).status == 200
            got.reply(body=b"for nobody")
            await within_timeout(got.peer.lost.wait())
            client.send()
            (await node_fixture.servers[0].next()).reply(body=b"mine")
            assert (await client.answer()).body == b"mine"

    run(scenario())


def test_a_reported_restart_ends_the_attempts_at_the_old_process() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send("order")
            got = await node_fixture.servers[0].next()
            now_ms = node_fixture.node.now_us() // 1000 + 1
            report_servers(
                node_fixture, 2, server_row(0, node_fixture.servers[0].port, startedAtMs=now_ms), whole=False
            )
            assert (await client.answer()).status == 502
            await within_timeout(got.peer.lost.wait())

    run(scenario())


def test_attempts_ended_by_a_restart_are_retried_only_after_the_balancer_knows_of_it() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send("read")
            await node_fixture.servers[0].next()
            now_us = node_fixture.node.now_us() // 1000 * 1000 + 1000
            report_servers(
                node_fixture, 2, server_row(0, node_fixture.servers[0].port, startedAtMs=now_us // 1000), whole=False
            )
            got = await node_fixture.servers[0].next()  # the retry, on a new connection
            assert len(node_fixture.servers[0].peers) == 2
            assert node_fixture.node.balancer.servers["s0"].entry.started_us == now_us
            assert len(node_fixture.node.balancer.servers["s0"].in_flight) == 1
            got.reply()
            assert (await client.answer()).status == 200

    run(scenario())


def test_a_restart_reported_late_keeps_connections_to_the_new_process() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send("order")
            got = await node_fixture.servers[0].next()
            before_ms = node_fixture.node.now_us() // 1000 - 60_000
            report_servers(
                node_fixture, 2, server_row(0, node_fixture.servers[0].port, startedAtMs=before_ms), whole=False
            )
            got.reply()
            assert (await client.answer()).status == 200

    run(scenario())


def test_a_server_with_a_new_address_is_contacted_there() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send()
            old = await node_fixture.servers[0].next()
            old.reply()
            await client.answer()
            moved = StubServer()
            await moved.start()
            report_servers(node_fixture, 2, server_row(0, moved.port), whole=False)
            await within_timeout(old.peer.lost.wait())
            client.send()
            (await moved.next()).reply()
            assert (await client.answer()).status == 200
            moved.stop()

    run(scenario())


def test_a_response_over_the_size_limit_is_no_success() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send("order")
            got = await node_fixture.servers[0].next()
            got.reply(body=b"a" * (MAX_RESPONSE_BYTES + 1))
            assert (await client.answer()).status == 502
            await within_timeout(got.peer.lost.wait())
            client.send("order")
            (await node_fixture.servers[0].next()).reply(body=b"a" * MAX_RESPONSE_BYTES)
            assert len((await client.answer()).body) == MAX_RESPONSE_BYTES

    run(scenario())


RESPONSE = b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone"


@pytest.mark.parametrize(
    "answer",
    [
        RESPONSE + RESPONSE,
        RESPONSE + b"noise \x00\xff",
        RESPONSE + b"HTT",
        b"HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone" + RESPONSE,
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n" + RESPONSE,
    ],
    ids=["copy", "noise", "part", "closing", "chunked"],
)
def test_trailing_bytes_cost_the_connection_but_not_the_response(answer: bytes) -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            for _ in range(2):
                client.send("order")
                got = await node_fixture.servers[0].next()
                got.raw(answer)
                response = await client.answer()
                assert (response.status, response.body) == (200, b"done")
                await within_timeout(got.peer.lost.wait())

    run(scenario())


def test_trailing_bytes_are_not_read_as_the_next_response() -> None:
    """A duplicate that the event loop has not read yet when the connection would be reused."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send("order", ident="r1")
            got = await node_fixture.servers[0].next()
            got.raw(RESPONSE)
            assert (await client.answer()).status == 200
            (connection,) = node_fixture.node.upstream.connections
            assert connection.quiet()
            # Sent and awaited without the event loop, which would otherwise read it first.
            os.write(got.peer.transport.get_extra_info("socket").fileno(), RESPONSE)
            poll = select.poll()
            poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
            assert poll.poll(20_000)
            assert not connection.quiet()
            node_fixture.node.upstream.start(Attempt("r2", 0, "s0", b"", 0))
            assert connection.closed

    run(scenario())


@pytest.mark.parametrize(
    "answer", [b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE, b"HTTP/1.1 103 X\r\nLink: a\r\n\r\n" * 3 + RESPONSE]
)
def test_interim_responses_are_skipped(answer: bytes) -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            for _ in range(2):
                client.send("order")
                (await node_fixture.servers[0].next()).raw(answer)
                response = await client.answer()
                assert (response.status, response.body) == (200, b"done")
                assert response.header(b"link") is None
            assert len(node_fixture.servers[0].peers) == 1

    run(scenario())


CHUNKED_RESPONSE = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"


@pytest.mark.parametrize(
    "answer",
    [
        b"\x00\xffnoise\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\n\r\n",
        b"HTTP/1.1 OK 200\r\n\r\n",
        b"HTTP/1.1 200 X\r\nno colon here\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 X\r\nContent-Length: -1\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 X\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nsome of it",
        b"HTTP/1.1 200 X\r\nContent-Length: 18446744073709551615\r\n\r\nsome of it",
        b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + RESPONSE,
        b"HTTP/1.1 200 X\r\n" + b"X-Pad: ppp\r\n" * 2000,
        b"HTTP/1.1 200 X\r\nX-Pad: " + b"p" * 20_000,
        b"HTTP/1.1 100 X\r\n\r\n" * 2000,
        CHUNKED_RESPONSE + b"zz\r\n",
        CHUNKED_RESPONSE + b"ffffffffffffffffff\r\n",
        CHUNKED_RESPONSE + b"90000\r\n" + b"a" * 0x90000,
        CHUNKED_RESPONSE + b"0\r\nX-End: " + b"e" * 500_000,
    ],
    ids=lambda answer: repr(answer)[:70],
)
def test_a_malformed_response_is_a_failure_that_may_have_run_and_closes_the_connection(answer: bytes) -> None:
    """The server keeps the connection open and may continue to send: the node must neither wait nor buffer it."""

    async def scenario() -> None:
        async with running_node(servers=2) as node_fixture:
            client = await node_fixture.client()
            client.send("order")
            _, got = await next_request(node_fixture)
            got.raw(answer)
            assert (await client.answer()).status == 502
            await within_timeout(got.peer.lost.wait())
            assert all(server.received.empty() for server in node_fixture.servers)
            assert not node_fixture.node.requests and not node_fixture.node.upstream.connections

    run(scenario())


def test_trailers_are_not_read_as_headers() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send("order")
            (await node_fixture.servers[0].next()).raw(
                CHUNKED_RESPONSE + b"0\r\nServer-Load: queue=900\r\nX: 1\r\n\r\n"
            )
            answer = await client.answer()
            assert (answer.status, answer.body, answer.header(b"x")) == (200, b"done", None)
            assert node_fixture.node.balancer.servers["s0"].queue == 0.0

    run(scenario())


@pytest.mark.parametrize(("class_name", "status"), [("read", 200), ("refresh", 200), ("order", 502)])
def test_a_connection_closed_during_a_request_is_a_reset(class_name: str, status: int) -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send(class_name)
            (await node_fixture.servers[0].next()).reply()
            assert (await client.answer()).status == 200
            client.send(class_name)
            got = await node_fixture.servers[0].next()
            got.peer.transport.abort()
            if status == 200:  # it may have run, and may run again
                again = await node_fixture.servers[0].next()
                assert again.headers["request-id"] == got.headers["request-id"]
                assert again.peer is not got.peer
                again.reply()
            assert (await client.answer()).status == status
            assert node_fixture.servers[0].received.empty()

    run(scenario())


def test_a_removed_server_leaves_no_state_for_the_next_one_at_its_address() -> None:
    """State of removed servers was never freed, and a new server at the same address inherited it."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            port = node_fixture.servers[0].port
            client, busy = await node_fixture.client(), await node_fixture.client()
            busy.send("order")
            held = await node_fixture.servers[0].next()
            client.send("order")
            (await node_fixture.servers[0].next()).reply(500)
            assert (await client.answer()).status == 502
            for number in range(1, 20):
                left = server_row(number - 1, port, lifecycle="left")
                report_servers(node_fixture, 1 + number, left, server_row(number, port), whole=False)
            assert list(node_fixture.node.upstream.pools) == ["s19"]
            assert node_fixture.node.balancer.servers["s19"].success == 1.0
            client.send("order")
            got = await node_fixture.servers[0].next()
            assert got.peer not in node_fixture.servers[0].peers[:2]
            got.reply()
            assert (await client.answer()).status == 200
            held.reply()  # a response of the removed server still counts
            assert (await busy.answer()).status == 200
            await within_timeout(held.peer.lost.wait())
            while len(node_fixture.node.balancer.servers) > 1:
                await asyncio.sleep(0.01)
            report_servers(node_fixture, 30, server_row(7, port))
            assert list(node_fixture.node.upstream.pools) == ["s7"] and node_fixture.node.active_servers == {"s7"}

    run(scenario())


class PausedConnectLoop:
    """Wraps the event loop and delays established connections until `resumed` is set."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.resumed = asyncio.Event()
        self.connected = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any) -> Any:
        connection = await self.loop.create_connection(*args)
        self.connected.set()
        await asyncio.shield(self.resumed.wait())
        return connection


def test_a_connection_established_after_a_drain_is_not_written_to() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            node_fixture.node.upstream.loop = paused_loop = PausedConnectLoop()  # type: ignore[assignment]
            client = await node_fixture.client()
            client.send("order")
            await within_timeout(paused_loop.connected.wait())
            peer = await within_timeout(node_fixture.servers[0].opened.get())
            report_servers(
                node_fixture, 2, server_row(0, node_fixture.servers[0].port, lifecycle="leaving"), whole=False
            )
            paused_loop.resumed.set()
            assert (await client.answer()).status == 503  # it never ran
            await within_timeout(peer.lost.wait())
            assert peer.got == 0

    run(scenario())


def test_a_timeout_before_the_connection_is_established_never_ran() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            node_fixture.node.upstream.loop = PausedConnectLoop()  # type: ignore[assignment]
            client = await node_fixture.client()
            client.send("order", timeout="200m")
            assert (await client.answer()).status == 503
            assert node_fixture.servers[0].received.empty() and not node_fixture.node.requests

    run(scenario())


def test_a_pending_connection_is_not_written_to_after_the_client_disconnects() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            node_fixture.node.upstream.loop = paused_loop = PausedConnectLoop()  # type: ignore[assignment]
            client = await node_fixture.client()
            client.send("order")
            await within_timeout(paused_loop.connected.wait())
            peer = await within_timeout(node_fixture.servers[0].opened.get())
            client.close()
            while node_fixture.node.requests:
                await asyncio.sleep(0.001)
            paused_loop.resumed.set()
            node_fixture.node.upstream.close()
            await within_timeout(peer.lost.wait())
            assert peer.got == 0 and node_fixture.node.upstream.connecting == 0

    run(scenario())


def test_at_the_connection_limit_idle_connections_are_closed_or_the_request_is_refused() -> None:
    async def scenario() -> None:
        async with running_node(servers=2, server_connections=1) as node_fixture:
            first, second = await node_fixture.client(), await node_fixture.client()
            first.send("order")
            number, got = await next_request(node_fixture)
            second.send("order")
            assert (await second.answer()).status == 503
            got.reply()
            assert (await first.answer()).status == 200
            report_servers(node_fixture, 2, server_row(1 - number, node_fixture.servers[1 - number].port))
            second.send("order")
            (await node_fixture.servers[1 - number].next()).reply()
            assert (await second.answer()).status == 200
            assert len(node_fixture.node.upstream.connections) == 1

    run(scenario())


@pytest.mark.parametrize("separate_body", [False, True])
def test_a_connection_that_breaks_after_a_partial_write_may_have_run_the_request(separate_body: bool) -> None:
    async def scenario() -> None:
        server = StubServer()
        await server.start()
        ended: asyncio.Queue[AttemptOutcome] = asyncio.Queue()

        def on_end(attempt: Attempt, ending: AttemptOutcome, answer: Response | None, report: Report | None) -> None:
            ended.put_nowait(ending)

        upstream = Upstream(5_000_000, 60_000_000, 4, lambda: 0, on_end)
        upstream.update_server("s", ("127.0.0.1", server.port), LONG_AGO_MS, True)
        head, body = b"POST /order HTTP/1.1\r\nContent-Length: 50000000\r\n\r\n", b"a" * 50_000_000
        attempt = Attempt("r1", 0, "s", head, 0, body=body) if separate_body else Attempt("r1", 0, "s", head + body, 0)
        upstream.start(attempt)
        peer = await within_timeout(server.opened.get())
        peer.transport.pause_reading()
        while not any(connection.write_paused for connection in upstream.connections):
            await asyncio.sleep(0.001)
        peer.transport.abort()
        assert await within_timeout(ended.get()) is AttemptOutcome.RESET
        upstream.close()
        server.stop()

    run(scenario())


def test_load_reports_are_parsed_under_either_name() -> None:
    assert parse_named_load(b"queue=2,util=0.5,latency_ms=14.5") == Report(2.0, 14500.0, None, 0.5)
    assert parse_named_load(b"backlog=3, outstanding=7,odd=1,queue=x,util=nan") == Report(3.0, None, 7.0, None)
    assert parse_named_load(None) is None
