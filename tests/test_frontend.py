"""Client connections: what is accepted, what is forwarded, and how bad clients are handled."""

from __future__ import annotations

import asyncio
import os
import select
from typing import Any

import pytest

from cypressbeam.balancing.interface import Action, Event, Refuse, RequestArrived
from cypressbeam.proxy.http_requests import parse_key
from cypressbeam.proxy.http_responses import ResponseReader
from tests.loopback import SETTINGS, Client, run, running_node, within_timeout


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send(
                "refresh",
                body=b"ask\x00",
                query="?k=a%20b&x=1",
                ident="r-1",
                head="Connection: X-Mine\r\nX-Mine: 1\r\nTenant: acme\r\n",
            )
            got = await node_fixture.servers[0].next()
            assert (got.method, got.target, got.body) == ("POST", "/refresh?k=a%20b&x=1", b"ask\x00")
            assert got.headers["request-id"] == "r-1" and got.headers["idempotency-key"] == "key-r-1"
            assert got.headers["tenant"] == "acme" and "x-mine" not in got.headers
            assert got.headers["request-timeout"].endswith("m")
            assert 0 < int(got.headers["request-timeout"][:-1]) < 9000
            got.reply(body=b"told\x00", head="X-Kind: fast\r\nServer-Load: queue=1\r\n")
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, b"told\x00")
            assert answer.header(b"x-kind") == b"fast" and answer.header(b"server-load") is None

    run(scenario())


def test_a_chunked_body_at_the_size_limit_is_accepted() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(
                b"POST /order HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout: 9000000u\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n8000\r\n" + b"a" * 0x8000 + b"\r\n"
            )
            client.raw(b"8000\r\n" + b"b" * 0x8000 + b"\r\n0\r\n\r\n")
            got = await node_fixture.servers[0].next()
            assert got.body == b"a" * 0x8000 + b"b" * 0x8000 and got.headers["content-length"] == "65536"
            got.reply(body=got.body)
            assert (await client.answer()).body == got.body

    run(scenario())


@pytest.mark.parametrize(
    ("query", "key"),
    [
        (b"k=7f3a", "7f3a"),
        (b"k=a%20b&x=1", "a b"),
        (b"x=1&k=v", "v"),
        (b"k=a&k=b", "a"),
        (b"k=", None),
        (b"", None),
        (b"kk=1", None),
        (b"k=a+b", "a b"),
        (b"k=%ff", "\ufffd"),
    ],
)
def test_the_request_key_is_parsed_from_the_query(query: bytes, key: str | None) -> None:
    assert parse_key(query) == key


VALID_HEADERS = "Request-Id: r1\r\nRequest-Timeout: 900m\r\n"


@pytest.mark.parametrize(
    ("text", "status"),
    [
        ("nonsense\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\nRequest-Timeout: 900m\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\nRequest-Id: a b\r\nRequest-Timeout: 900m\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\nRequest-Id: r1\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout: 900\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout: -5m\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout: 0m\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout: nanm\r\n\r\n", 400),
        (f"POST /refresh HTTP/1.1\r\n{VALID_HEADERS}Content-Length: 0\r\n\r\n", 400),
        (f"GET /nothing HTTP/1.1\r\n{VALID_HEADERS}\r\n", 404),
        (f"GET / HTTP/1.1\r\n{VALID_HEADERS}\r\n", 404),
        (f"GET /order HTTP/1.1\r\n{VALID_HEADERS}\r\n", 405),
        (f"POST /read HTTP/1.1\r\n{VALID_HEADERS}Content-Length: 0\r\n\r\n", 405),
        ("POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (f"POST /order HTTP/1.1\r\n{VALID_HEADERS}Content-Length: 65537\r\n\r\n", 413),
        (f"POST /order HTTP/1.1\r\n{VALID_HEADERS}Transfer-Encoding: chunked\r\n\r\n10001\r\n" + "a" * 0x10001, 413),
        (f"GET /read HTTP/1.1\r\n{VALID_HEADERS}X: " + "a" * 17_000 + "\r\n\r\n", 431),
        ("GET /read HTTP/1.1\r\nX: " + "a" * 17_000, 431),
        ("GET /" + "a" * 17_000, 431),
    ],
    ids=lambda value: str(value)[:40].split("\r")[0],
)
def test_bad_requests_are_rejected_without_affecting_other_clients(text: str, status: int) -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(text.encode())
            assert (await client.answer()).status == status
            # Other clients are not affected.
            other = await node_fixture.client()
            other.send()
            (await node_fixture.servers[0].next()).reply()
            assert (await other.answer()).status == 200
            assert len(node_fixture.servers[0].peers) == 1 and not node_fixture.node.requests

    run(scenario())


def test_a_connection_stays_open_after_a_bad_request_with_known_length() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(f"GET /nothing HTTP/1.1\r\n{VALID_HEADERS}\r\n".encode())
            assert (await client.answer()).status == 404
            client.send()
            (await node_fixture.servers[0].next()).reply()
            assert (await client.answer()).status == 200

    run(scenario())


def test_a_rejected_head_request_gets_no_body() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(
                f"HEAD /read HTTP/1.1\r\n{VALID_HEADERS}\r\n"
                f"GET /nothing HTTP/1.1\r\n{VALID_HEADERS}Connection: close\r\n\r\n".encode()
            )
            first, second = (await client.ended()).split(b"HTTP/1.1 ")[1:]
            assert first.startswith(b"405 ") and first.endswith(b"\r\n\r\n") and b"Content-Length: " in first
            assert second.startswith(b"404 ")

    run(scenario())


def test_a_connection_is_closed_after_the_response_to_an_upgrade_request() -> None:
    """Input after such a request is not parsed, so a request in it would never be answered."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send(head="Connection: Upgrade\r\nUpgrade: h2c\r\n")
            (await node_fixture.servers[0].next()).reply()
            answer = await client.answer()
            assert answer.status == 200 and answer.header(b"connection") == b"close"
            assert await client.closed()

    run(scenario())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            for ident in ("r1", "r2", "r3"):
                client.send(ident=ident)
            for ident in ("r1", "r2", "r3"):
                got = await node_fixture.servers[0].next()
                assert got.headers["request-id"] == ident
                got.reply(body=ident.encode())
                assert (await client.answer()).body == ident.encode()

    run(scenario())


def test_a_bad_request_pipelined_after_a_good_one_gets_its_own_response() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send("read")
            client.raw(b"nonsense\r\n\r\n")
            (await node_fixture.servers[0].next()).reply()
            reader = ResponseReader()
            data = b""
            while chunk := await within_timeout(client.reader.read(65536)):
                data += chunk
            first, second = data.split(b"HTTP/1.1 ")[1:]
            reader.feed(b"HTTP/1.1 " + second)
            assert first.startswith(b"200 ") and reader.answer.status == 400

    run(scenario())


def test_a_connection_with_a_partly_received_request_is_not_idle() -> None:
    async def scenario() -> None:
        async with running_node(client_connections=1) as node_fixture:
            client = await node_fixture.client()
            client.raw(b"GET /ready HTTP/1.1\r\n\r\nGET /ready HTT")
            assert (await client.answer()).status == 200
            other = await node_fixture.client()
            other.raw(b"GET /read HTTP/1.1\r\n\r\n")
            assert (await other.answer()).status == 503
            client.raw(b"P/1.1\r\n\r\n\r\n")  # the trailing blank line does not start a request
            assert (await client.answer()).status == 200
            third = await node_fixture.client()
            third.raw(b"GET /ready HTTP/1.1\r\n\r\n")
            assert (await third.answer()).status == 200 and await client.closed()

    run(scenario())


def test_a_wrong_method_gets_an_allow_header() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            allowed_methods = {"GET /order": b"POST", "POST /read": b"GET", "PUT /ready": b"GET, HEAD"}
            for line, allow in allowed_methods.items():
                client.raw(f"{line} HTTP/1.1\r\nContent-Length: 0\r\n\r\n".encode())
                answer = await client.answer()
                assert (answer.status, answer.header(b"allow")) == (405, allow)

    run(scenario())


def test_a_request_id_in_use_is_rejected() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            first, second = await node_fixture.client(), await node_fixture.client()
            first.send("order", ident="same")
            got = await node_fixture.servers[0].next()
            second.send("order", ident="same")
            assert (await second.answer()).status == 400
            got.reply()
            assert (await first.answer()).status == 200

    run(scenario())


def test_the_node_is_ready_only_while_it_can_serve() -> None:
    async def ready(client: Client) -> int:
        client.raw(b"GET /ready HTTP/1.1\r\n\r\n")
        return (await client.answer()).status

    async def scenario() -> None:
        async with running_node() as node_fixture:
            assert await ready(await node_fixture.client()) == 200
            node_fixture.frontend.stopping = True
            assert await ready(await node_fixture.client()) == 503
        async with running_node(servers=0) as node_fixture:
            assert await ready(await node_fixture.client()) == 503

    run(scenario())


def test_a_stopping_node_answers_requests_and_closes_connections() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            busy, idle = await node_fixture.client(), await node_fixture.client()
            idle.raw(b"GET /ready HTTP/1.1\r\n\r\n")
            await idle.answer()
            busy.send("order")
            got = await node_fixture.servers[0].next()
            node_fixture.frontend.stopping = True
            late = await node_fixture.client()
            late.send("order")
            (await node_fixture.servers[0].next()).reply()
            answer = await late.answer()
            assert (answer.status, answer.header(b"connection")) == (200, b"close")
            node_fixture.frontend.stop_accepting()
            assert await idle.closed()
            got.reply()
            assert (await busy.answer()).status == 200 and await busy.closed()

    run(scenario())


def test_a_client_disconnect_ends_its_attempt() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send("order")
            got = await node_fixture.servers[0].next()
            client.close()
            await within_timeout(got.peer.lost.wait())
            assert not node_fixture.node.requests

    run(scenario())


def test_at_the_connection_limit_the_longest_idle_connection_is_evicted() -> None:
    async def scenario() -> None:
        async with running_node(client_connections=2) as node_fixture:
            clients = [await node_fixture.client() for _ in range(2)]
            for client in clients:
                client.raw(b"GET /ready HTTP/1.1\r\n\r\n")
                await client.answer()
            third = await node_fixture.client()
            third.send()
            (await node_fixture.servers[0].next()).reply()
            assert (await third.answer()).status == 200
            assert await clients[0].closed()

    run(scenario())


def test_over_the_connection_limit_requests_are_refused() -> None:
    async def scenario() -> None:
        async with running_node(client_connections=1) as node_fixture:
            busy = await node_fixture.client()
            busy.send("order")
            got = await node_fixture.servers[0].next()
            other = await node_fixture.client()
            other.send("order")
            assert (await other.answer()).status == 503 and await other.closed()
            got.reply()
            assert (await busy.answer()).status == 200
            assert node_fixture.servers[0].received.empty()

    run(scenario())


def test_100_continue_is_sent_on_request() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(f"POST /order HTTP/1.1\r\n{VALID_HEADERS}".encode())
            client.raw(b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
            assert (await within_timeout(client.reader.readuntil(b"\r\n\r\n"))).startswith(b"HTTP/1.1 100 ")
            client.raw(b"hi")
            got = await node_fixture.servers[0].next()
            assert got.body == b"hi" and "expect" not in got.headers
            got.reply()
            assert (await client.answer()).status == 200

    run(scenario())


def test_100_continue_follows_earlier_responses_and_is_not_sent_to_http_1_0_clients() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send(ident="r1")
            client.raw(
                f"POST /order HTTP/1.1\r\n{VALID_HEADERS}Expect: 100-continue\r\nContent-Length: 4\r\n\r\n".encode()
            )
            first = await node_fixture.servers[0].next()
            first.reply(body=b"first")
            data = b""
            while not data.endswith(b"\r\n\r\n") or b" 100 " not in data:
                data += await within_timeout(client.reader.read(65536))
            assert data.index(b"first") < data.index(b"HTTP/1.1 100 Continue")
            client.raw(b"body")
            got = await node_fixture.servers[0].next()
            assert got.body == b"body"
            got.reply()
            assert (await client.answer()).status == 200
            old = await node_fixture.client()
            old.raw(
                f"POST /order HTTP/1.0\r\n{VALID_HEADERS}Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody".encode()
            )
            (await node_fixture.servers[0].next()).reply()
            assert (await old.ended()).startswith(b"HTTP/1.1 200 ")

    run(scenario())


def test_an_internal_error_still_gives_one_response(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            handle = node_fixture.node.balancer.handle

            def raising(now_us: int, event: Event) -> Any:
                raise RuntimeError("for the test")

            monkeypatch.setattr(node_fixture.node.balancer, "handle", raising)
            client = await node_fixture.client()
            client.send("order")
            assert (await client.answer()).status == 500
            monkeypatch.setattr(node_fixture.node.balancer, "handle", handle)
            client.send("order")
            (await node_fixture.servers[0].next()).reply()
            assert (await client.answer()).status == 200
            assert not node_fixture.node.requests

    run(scenario())


@pytest.mark.parametrize(("allowed", "advice"), [(True, b"0.250"), (False, None)])
def test_a_refusal_has_a_retry_after_header_if_allowed(
    allowed: bool, advice: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        bounds = SETTINGS["bounds"] | {"retryAfter": allowed}
        async with running_node(changes={"bounds": bounds}) as node_fixture:

            def refuse(now_us: int, event: Event) -> list[Action]:
                return [Refuse(event.request, 250_000)] if isinstance(event, RequestArrived) else []

            monkeypatch.setattr(node_fixture.node.balancer, "handle", refuse)
            client = await node_fixture.client()
            client.send("order")
            answer = await client.answer()
            assert (answer.status, answer.header(b"retry-after")) == (503, advice)

    run(scenario())


def test_the_deadline_timer_does_not_fire_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Event loop timers have millisecond resolution; if one fired 1 ms early, the balancer could still plan a retry."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            node = node_fixture.node
            margins_us: list[float] = []

            class TimerWatch:
                def __getattr__(self, name: str) -> Any:
                    return getattr(node_fixture.frontend.loop, name)

                def call_later(self, delay_s: float, what: Any, *args: Any) -> Any:
                    if what == node.time_is_up:
                        left_us = args[0].arrived.give_up_at_us - node.now_us()
                        margins_us.append(int(delay_s * 1000) * 1000 - left_us)
                    return node_fixture.frontend.loop.call_later(delay_s, what, *args)

            monkeypatch.setattr(node, "loop", TimerWatch())
            client = await node_fixture.client()
            for number in range(20):
                client.send("order", timeout=f"{5_000_000 + 50 * number}u")
                (await node_fixture.servers[0].next()).reply()
                assert (await client.answer()).status == 200
            assert len(margins_us) == 20 and min(margins_us) >= 0

    run(scenario())


def test_a_silent_client_is_disconnected() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            assert await (await node_fixture.client()).closed()

    run(scenario())


@pytest.mark.parametrize(
    "start",
    [
        b"GET /read HTTP/1.1\r\nRequest-",
        b"\r\n",
        b"POST /order HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout: 9m\r\nContent-Length: 500\r\n\r\n",
    ],
)
def test_an_incomplete_request_times_out_from_its_connect(start: bytes) -> None:
    """Each received byte used to extend the timeout by 10 s."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(start)
            loop = asyncio.get_running_loop()
            task = loop.create_task(send_bytes_slowly(client))
            received = await client.ended()
            task.cancel()
            assert received.startswith(b"HTTP/1.1 408 ") or start == b"\r\n"
            assert not node_fixture.node.requests and node_fixture.servers[0].received.empty()

    async def send_bytes_slowly(client: Client) -> None:
        while True:
            client.raw(b"\r\n" if start == b"\r\n" else b"x")
            await asyncio.sleep(0.1)

    run(scenario())


def test_hundreds_of_silent_clients_do_not_crowd_out_others() -> None:
    """Incomplete requests used to occupy connections for 10 s, silent clients for 75 s."""

    async def scenario() -> None:
        async with running_node(client_connections=8) as node_fixture:
            active = await node_fixture.client()
            active.send()
            (await node_fixture.servers[0].next()).reply()
            assert (await active.answer()).status == 200
            for number in range(120):
                other = await node_fixture.client()
                if number % 3:
                    other.raw(b"GET /read HTTP/1.1\r\nRequest-")
                if number % 3 == 2:
                    other.raw(b"Id: q%d\r\nRequest-Timeout: 9000m\r\n" % number)
                if number % 10 == 0:
                    active.send()
                    (await node_fixture.servers[0].next()).reply()
                    assert (await active.answer()).status == 200
                    late = await node_fixture.client()
                    late.send()
                    (await node_fixture.servers[0].next()).reply()
                    assert (await late.answer()).status == 200
            assert len(node_fixture.frontend.connections) <= 8 + 8

    run(scenario())


def test_a_connection_with_unread_input_is_not_closed_as_idle() -> None:
    """A connection was closed as idle while a request was unread in its socket, and the client had to repeat it."""

    async def scenario() -> None:
        async with running_node(client_connections=1) as node_fixture:
            client = await node_fixture.client()
            client.raw(b"GET /ready HTTP/1.1\r\n\r\n")
            await client.answer()
            (connection,) = node_fixture.frontend.idle
            raw = client.writer.get_extra_info("socket")
            os.write(raw.fileno(), b"GET /ready HTTP/1.1\r\n\r\n")
            poll = select.poll()
            poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
            assert poll.poll(20_000)
            assert not node_fixture.frontend.evict_one()
            node_fixture.frontend.stop_accepting()
            assert (await client.answer()).status == 200

    run(scenario())


def test_responses_to_a_client_that_does_not_read_are_bounded() -> None:
    """Unread responses used to accumulate in the node, one for each pipelined request."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            body = b"a" * 65_536
            sent = 0
            while not any(connection.write_paused for connection in node_fixture.frontend.connections):
                client.send(ident=f"r{sent}")
                sent += 1
                (await node_fixture.servers[0].next()).reply(body=body)
                await asyncio.sleep(0)
                while node_fixture.node.requests:
                    await asyncio.sleep(0)
                await asyncio.sleep(0)
            (connection,) = node_fixture.frontend.connections
            client.send(ident="one-more")
            assert connection.transport.get_write_buffer_size() < 4 * len(body)
            while node_fixture.frontend.connections:  # it is disconnected
                await asyncio.sleep(0.01)
            assert node_fixture.servers[0].received.empty()

    run(scenario())


ORDER_HEAD = f"POST /order HTTP/1.1\r\n{VALID_HEADERS}"
SMUGGLED_REQUEST = "GET /read HTTP/1.1\r\nRequest-Id: hidden\r\nRequest-Timeout: 900m\r\n\r\n"


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (f"{ORDER_HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (f"{ORDER_HEAD}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400),
        (f"{ORDER_HEAD}Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (f"{ORDER_HEAD}Content-Length: 4\r\nContent-Length: 0\r\n\r\nabcd", 400),
        (f"{ORDER_HEAD}Content-Length: 4, 4\r\n\r\nabcd", 400),
        (f"{ORDER_HEAD}Content-Length: +4\r\n\r\nabcd", 400),
        (f"{ORDER_HEAD}Content-Length: -4\r\n\r\nabcd", 400),
        (f"{ORDER_HEAD}Content-Length: 4 4\r\n\r\nabcd", 400),
        (f"{ORDER_HEAD}Content-Length: 18446744073709551620\r\n\r\nabcd", 400),
        (f"{ORDER_HEAD}Content-Length: 18446744073709551615\r\n\r\nabcd", 413),
        (f"{ORDER_HEAD}Content-Length: 60000000\r\n\r\nabcd", 413),
        (f"{ORDER_HEAD}Content-Length: {'0' * 5000}4\r\n\r\nabcd", 413),
        (f"{ORDER_HEAD}Content-Length:\r\n 4\r\n\r\nabcd", 400),
        (f"{ORDER_HEAD}X: a\r\n b\r\nContent-Length: 0\r\n\r\n", 400),
        (f"{ORDER_HEAD}Content-Length : 4\r\n\r\nabcd", 400),
        (f"{ORDER_HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501),
        (f"{ORDER_HEAD}Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 400),
        (f"{ORDER_HEAD}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501),
        (f"{ORDER_HEAD}Transfer-Encoding: chunked\r\n\r\n+4\r\nabcd\r\n0\r\n\r\n", 400),
        (f"{ORDER_HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nabcdXX0\r\n\r\n", 400),
        (f"{ORDER_HEAD}Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabcd", 400),
        (f"{ORDER_HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + "t" * 1_000_000, 413),
        (f"{ORDER_HEAD}X: a\rY: b\r\nContent-Length: 0\r\n\r\n", 400),
        (f"{ORDER_HEAD}X: a\nContent-Length: 0\r\n\r\n", 400),
        (f"{ORDER_HEAD}X: a\0b\r\nContent-Length: 0\r\n\r\n", 400),
        ("POST /order\rX HTTP/1.1\r\n" + VALID_HEADERS + "Content-Length: 0\r\n\r\n", 400),
        (f"POST /order HTTP/2.0\r\n{VALID_HEADERS}Content-Length: 0\r\n\r\n", 505),
        ("POST /order HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501),
    ],
    ids=lambda value: repr(value)[-60:],
)
def test_ambiguous_framing_is_rejected_and_nothing_after_it_is_read(text: str, status: int) -> None:
    """Request smuggling: node and servers must never disagree on the end of a request. httptools must stay strict."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.send("order", ident="before")  # an earlier valid request still gets its response first
            client.raw((text + SMUGGLED_REQUEST).encode("latin-1"))
            got = await node_fixture.servers[0].next()
            assert got.headers["request-id"] == "before"
            got.reply(body=b"mine")
            first, second = (await client.ended()).split(b"HTTP/1.1 ")[1:]
            assert first.startswith(b"200 ") and first.endswith(b"mine")
            assert second.startswith(b"%d " % status) and b"\r\nConnection: close\r\n" in second
            assert node_fixture.servers[0].received.empty() and not node_fixture.node.requests

    run(scenario())


@pytest.mark.parametrize(
    "text",
    [
        f"{ORDER_HEAD}Request-Id: r2\r\nContent-Length: 0\r\n\r\n",
        f"{ORDER_HEAD}Request-Timeout: 1m\r\nContent-Length: 0\r\n\r\n",
        f"{ORDER_HEAD}Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n",
        f"{ORDER_HEAD}Host: a\r\nHost: b\r\nContent-Length: 0\r\n\r\n",
        f"GET /read HTTP/1.1\r\n{VALID_HEADERS}Content-Length: {len(SMUGGLED_REQUEST)}\r\n\r\n{SMUGGLED_REQUEST}",
    ],
    ids=["id", "timeout", "key", "host", "body"],
)
def test_requests_that_a_server_might_interpret_differently_are_not_forwarded(text: str) -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(text.encode())
            assert (await client.answer()).status == 400
            assert node_fixture.servers[0].received.empty() and not node_fixture.node.requests

    run(scenario())


def test_trailers_and_connection_headers_do_not_change_protected_headers() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(
                f"POST /refresh HTTP/1.1\r\n{VALID_HEADERS}Idempotency-Key: k\r\nX: 1\r\n"
                "Connection: X, Request-Id, Idempotency-Key\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nhi\r\n0\r\nRequest-Id: other\r\nY: 1\r\n\r\n".encode()
            )
            got = await node_fixture.servers[0].next()
            assert (got.headers["request-id"], got.headers["idempotency-key"], got.body) == ("r1", "k", b"hi")
            assert not {"x", "y", "connection", "transfer-encoding"} & set(got.headers)
            got.reply()
            assert (await client.answer()).status == 200

    run(scenario())


def test_a_rejected_body_is_not_kept() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(ORDER_HEAD.encode() + b"Content-Length: 60000000\r\n\r\n")
            assert (await client.answer()).status == 413
            for _ in range(40):
                client.raw(b"a" * 100_000)
                await asyncio.sleep(0)
            for connection in node_fixture.frontend.connections:
                assert connection.reader.parser is None and not connection.reader.body
            assert await client.closed()

    run(scenario())


def test_a_request_id_is_free_again_after_its_client_disconnects() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            first, second = await node_fixture.client(), await node_fixture.client()
            first.send("order", ident="same")
            got = await node_fixture.servers[0].next()
            second.send("order", ident="same")
            assert (await second.answer()).status == 400
            second.close()
            first.close()
            await within_timeout(got.peer.lost.wait())
            third = await node_fixture.client()
            third.send("order", ident="same")  # no longer in use
            (await node_fixture.servers[0].next()).reply(body=b"third")
            assert (await third.answer()).body == b"third"

    run(scenario())


def test_no_request_outlasts_the_deadline_of_its_class() -> None:
    async def scenario() -> None:
        kinds = [kind | {"deadlineUs": 500_000} for kind in SETTINGS["classes"]]
        async with running_node(changes={"classes": kinds}) as node_fixture:
            client = await node_fixture.client()
            client.send("order", timeout="3600000m")
            await node_fixture.servers[0].next()
            assert (await client.answer()).status == 504

    run(scenario())


@pytest.mark.parametrize("second_arrives", ["with the first", "in two parts"])
def test_a_stopping_node_answers_pipelined_requests_that_it_has_read(second_arrives: str) -> None:
    """Guards against requests that are read and dropped unanswered: the connection closed behind the first response."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            second = f"GET /read HTTP/1.1\r\n{VALID_HEADERS.replace('r1', 'r2')}\r\n".encode()
            early = len(second) if second_arrives == "with the first" else 30
            client.raw(f"GET /read HTTP/1.1\r\n{VALID_HEADERS}\r\n".encode() + second[:early])
            first_received = await node_fixture.servers[0].next()
            node_fixture.frontend.stopping = True
            node_fixture.frontend.stop_accepting()
            first_received.reply(body=b"first")
            answer = await client.answer()
            assert (answer.body, answer.header(b"connection")) == (b"first", None)
            assert node_fixture.frontend.has_pending_responses()
            client.raw(second[early:])
            (await node_fixture.servers[0].next()).reply(body=b"second")
            answer = await client.answer()
            assert (answer.body, answer.header(b"connection")) == (b"second", b"close")
            assert await client.closed() and not node_fixture.frontend.has_pending_responses()

    run(scenario())


def test_a_slow_reader_with_pipelined_requests_is_not_closed_before_they_are_answered() -> None:
    """Guards against the same where the next request waits for the client to read: it is idle and yet not finished."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            for number in range(200):
                client.send(ident=f"first-{number}")
                client.send(ident=f"second-{number}")
                (await node_fixture.servers[0].next()).reply(body=b"a" * 65_536)
                while f"first-{number}" in node_fixture.node.requests:
                    await asyncio.sleep(0)
                await asyncio.sleep(0.001)
                (connection,) = node_fixture.frontend.connections
                if connection.write_paused:
                    break
                (await node_fixture.servers[0].next()).reply()
                while node_fixture.node.requests:
                    await asyncio.sleep(0)
            assert connection.reader.messages
            node_fixture.frontend.stopping = True
            node_fixture.frontend.stop_accepting()
            assert not connection.closing and node_fixture.frontend.has_pending_responses()

    run(scenario())
