"""Offers to upgrade the protocol (`Upgrade: h2c`): declined by ignoring them, on every listener and from servers."""

from __future__ import annotations

import itertools

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypressbeam.proxy.http_requests import BodyBudget, RequestMessage, RequestReader
from cypressbeam.proxy.http_responses import Limits
from lab.adversarial_servers import SentRequest, World, play
from lab.local_cluster import demo_configuration
from tests.golden_answers import replace
from tests.loopback import run, running_node
from tests.test_gateway import make_request, read_configuration, running_system, send

OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABk\r\n"
BODY = b'{"subscriber": "0001", "amount": 101}'
FRAMINGS = {
    "length": b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY),
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x\r\n%s\r\n0\r\nX: y\r\n\r\n"
    % (BODY[:5], len(BODY) - 5, BODY[5:]),
}


def read_stream(pieces: list[bytes]) -> tuple[list[RequestMessage], RequestReader]:
    """The requests that a reader finds in the pieces of a stream, and the reader."""
    reader = RequestReader(lambda: 0, lambda: None, BodyBudget(Limits()))
    for piece in pieces:
        reader.feed(piece)
    return [*reader.messages], reader


def request_bytes(method: bytes, offer: bytes, framing: bytes, version: bytes = b"1.1") -> bytes:
    return b"%s /book/1 HTTP/%s\r\nHost: h\r\nAttempt-Id: a\r\n%s%s" % (method, version, offer, framing)


@given(
    st.sampled_from([b"POST", b"PUT", b"PATCH", b"DELETE", b"GET"]),
    st.sampled_from([*FRAMINGS.values(), b"Content-Length: 0\r\n\r\n", b"\r\n"]),
    st.sampled_from([OFFER, b"Upgrade: websocket\r\nConnection: keep-alive, upgrade\r\n", b"Upgrade: h2c\r\n"]),
    st.lists(st.integers(0, 400), max_size=5),
)
def test_an_offer_to_upgrade_changes_nothing_of_a_request(
    method: bytes, framing: bytes, offer: bytes, cuts: list[int]
) -> None:
    """Guards against a request that counts as complete, with an empty body, although its body has not been read."""
    plain, _ = read_stream([request_bytes(method, b"", framing)])
    stream = request_bytes(method, offer, framing)
    bounds = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})
    offered, reader = read_stream([stream[start:end] for start, end in itertools.pairwise(bounds)])
    assert [(message.method, message.target, message.body) for message in offered] == [
        (message.method, message.target, message.body) for message in plain
    ]
    assert reader.error is None and not reader.partial


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_request_with_an_offer_to_upgrade_is_not_complete_before_its_body(framing: str) -> None:
    """Guards against passing a request on before its body has arrived."""
    stream = request_bytes(b"POST", OFFER, FRAMINGS[framing])
    for size in range(len(stream)):
        messages, reader = read_stream([stream[:size]])
        assert not messages and reader.error is None
        assert reader.partial == (size > 0)


def test_limits_hold_for_a_body_after_an_offer_to_upgrade() -> None:
    """Guards against a way around the limits of bodies: a second parser that nobody counts for."""
    too_long = Limits().max_body_bytes + 1
    chunked = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (too_long, b"a" * too_long)
    for framing in (b"Content-Length: %d\r\n\r\n" % too_long, chunked):
        messages, reader = read_stream([request_bytes(b"POST", OFFER, framing)])
        assert not messages and reader.error is not None and reader.error.status == 413
    malformed = b"Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX"
    messages, reader = read_stream([request_bytes(b"POST", OFFER, malformed)])
    assert not messages and reader.error is not None and reader.error.status == 400


def test_a_body_after_an_offer_to_upgrade_is_counted_until_it_is_released() -> None:
    """Guards against bodies of such requests that the node's memory limit doesn't count."""
    budget = BodyBudget(Limits())
    reader = RequestReader(lambda: 0, lambda: None, budget)
    reader.feed(request_bytes(b"POST", OFFER, FRAMINGS["length"]))
    assert budget.buffered_bytes == len(BODY)
    reader.messages.clear()
    assert budget.buffered_bytes == 0


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_a_connection_ends_with_a_request_that_offers_an_upgrade(version: bytes) -> None:
    """Guards against reading a request of another protocol as one of this connection."""
    stream = request_bytes(b"POST", OFFER, FRAMINGS["length"], version)
    messages, _ = read_stream([stream + request_bytes(b"POST", b"", FRAMINGS["length"])])
    assert [(message.body, message.keep_alive) for message in messages] == [(BODY, False)]


def test_a_connect_request_reads_nothing_after_its_head() -> None:
    """Guards against taking what follows a refused CONNECT for requests."""
    messages, reader = read_stream([b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + request_bytes(b"GET", b"", b"\r\n")])
    assert [(message.method, message.body, message.keep_alive) for message in messages] == [(b"CONNECT", b"", False)]
    assert reader.parser is None


def test_an_expectation_beside_an_offer_to_upgrade_is_answered_once() -> None:
    """Guards against two interim responses where two parsers read one request."""
    expected: list[None] = []
    reader = RequestReader(lambda: 0, lambda: expected.append(None), BodyBudget(Limits()))
    reader.feed(request_bytes(b"POST", OFFER + b"Expect: 100-continue\r\n", b"Content-Length: 3\r\n\r\n"))
    assert len(expected) == 1 and not reader.messages
    reader.feed(b"abc")
    assert len(expected) == 1 and reader.messages[0].body == b"abc"


@pytest.mark.parametrize("framing", FRAMINGS)
def test_the_standalone_proxy_passes_on_the_body_after_an_offer_to_upgrade(framing: str) -> None:
    """Guards against orders that run with an empty body: the older program shares the reader."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            client = await node_fixture.client()
            client.raw(
                b"POST /order HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nRequest-Timeout: 900m\r\n"
                + OFFER
                + FRAMINGS[framing]
            )
            got = await node_fixture.servers[0].next()
            assert got.body == BODY and got.headers["content-length"] == str(len(BODY))
            assert not {"upgrade", "connection", "http2-settings"} & set(got.headers)
            got.reply()
            assert (await client.answer()).status == 200 and await client.closed()

    run(scenario())


def test_gateway_and_control_listeners_read_the_body_after_an_offer_to_upgrade() -> None:
    """Guards against bookings that run with an empty body, and valid configurations that are refused as empty."""
    replacement = cbor2.dumps(demo_configuration(2))

    async def scenario() -> None:
        async with running_system(edges=1) as fixture:
            edge = fixture.edges[0]
            answer = await make_request(edge, "/book/1", method="POST", headers=OFFER.decode(), body=BODY)
            assert answer.status == 200
            assert [run[3] for server in fixture.servers("booker") for run in server.ran] == [BODY]
            order = replace(1, replacement).replace(b"\r\n", b"\r\n" + OFFER, 1)
            assert (await send(edge.control, order)).status == 200
            assert (await read_configuration(edge)).body == replacement

    run(scenario())


def test_a_response_that_offers_an_upgrade_is_read_as_any_other() -> None:
    """Guards against a success without its body: servers may tell in any response which protocols they speak."""

    async def scenario(world: World) -> None:
        client = world.client()
        client.ask(SentRequest("a", "read"))
        await world.settle()
        attempt = world.fresh.pop()
        attempt.wire.feed(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
            b"Content-Length: 5\r\n\r\nhello"
        )
        await world.settle()
        assert [(status, body) for status, _, body in client.answers()] == [(200, b"hello")]

    play(scenario)
