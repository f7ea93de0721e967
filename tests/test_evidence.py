"""Checks of a success: each one separately, and response streams through the real gateway, split at any byte."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cypressbeam.proxy.http_responses import Response
from cypressbeam.proxy.response_validation import (
    CHECKS,
    RequestContext,
    begun_at_the_end,
    contains_response,
    failed_check,
    starts_response,
)
from cypressbeam.proxy.upstream import TRAILING_BYTES_WAIT_S
from lab.adversarial_servers import FRAMINGS, ReceivedAttempt, SentRequest, World, answer, play

pytestmark = pytest.mark.usefixtures("quiet")

SERVER_SEAL, CONTENT_LENGTH = (b"Server-Seal", b"a.b"), (b"Content-Length", b"1")
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nServer-Seal: a.b\r\nContent-Length: 2\r\n\r\nok"
RANGE_REQUEST, HEAD_REQUEST = RequestContext(has_range=True), RequestContext(no_body=True)
CONTENT_ENCODING = (b"Content-Encoding", b"identity")
CONTENT_RANGE = (b"Content-Range", b"bytes 0-0/2")


@pytest.mark.parametrize(
    ("given_answer", "asked", "trailing", "failed"),
    [
        (Response(200, [SERVER_SEAL], b"x"), RequestContext(), b"", None),
        (Response(201, [SERVER_SEAL], b"x"), RequestContext(), b"", None),
        (Response(204, [SERVER_SEAL]), RequestContext(), b"", None),
        (Response(205, [SERVER_SEAL]), RequestContext(), b"", None),
        (Response(206, [SERVER_SEAL, CONTENT_RANGE], b"x"), RANGE_REQUEST, b"", None),
        (Response(200, [SERVER_SEAL, CONTENT_LENGTH]), HEAD_REQUEST, b"junk", None),
        (Response(200, [SERVER_SEAL], b"x"), RequestContext(), b"HTTP/1.1 2", None),
        (Response(200, [SERVER_SEAL], b"x"), RequestContext(), COMPLETE_RESPONSE, None),
        (Response(200, [], b"x"), RequestContext(), b"", 0),
        (Response(200, [SERVER_SEAL, SERVER_SEAL], b"x"), RequestContext(), b"", 0),
        (Response(200, [], b""), HEAD_REQUEST, b"", 0),
        (Response(204), RequestContext(), b"", 0),
        (Response(200, [(b"server-seal", b"")], b"x"), RequestContext(), b"", 1),
        (Response(200, [SERVER_SEAL, CONTENT_ENCODING], b"x"), RequestContext(), b"", 2),
        (Response(200, [SERVER_SEAL, CONTENT_ENCODING]), HEAD_REQUEST, b"", 2),
        (Response(206, [SERVER_SEAL], b"x"), RequestContext(), b"", 3),
        (Response(200, [SERVER_SEAL, CONTENT_RANGE], b"x"), RequestContext(), b"", 3),
        (Response(204, [SERVER_SEAL, CONTENT_LENGTH]), RequestContext(), b"", 4),
        (Response(205, [SERVER_SEAL], b"x"), RequestContext(), b"", 4),
        (Response(204, [SERVER_SEAL, (b"Transfer-Encoding", b"chunked")]), RequestContext(), b"", 4),
        (Response(200, [SERVER_SEAL], b"x" + COMPLETE_RESPONSE), RequestContext(), b"", 5),
        (Response(200, [SERVER_SEAL], b"x" + COMPLETE_RESPONSE[:12]), RequestContext(), b"", 5),
        (Response(200, [SERVER_SEAL], b"x" + COMPLETE_RESPONSE[:5]), RequestContext(), COMPLETE_RESPONSE[5:], 6),
        (Response(200, [SERVER_SEAL], b"x"), RequestContext(), b"\r\n", 6),
    ],
)
def test_each_check_of_a_success(
    given_answer: Response, asked: RequestContext, trailing: bytes, failed: int | None
) -> None:
    assert failed_check(given_answer, asked, trailing) == ("" if failed is None else list(CHECKS)[failed])


def test_a_response_start_is_recognized_at_every_split() -> None:
    for size in range(1, len(COMPLETE_RESPONSE)):
        assert starts_response(COMPLETE_RESPONSE[:size]) and not starts_response(COMPLETE_RESPONSE[size:] or b"x")
        assert begun_at_the_end(b"body" + COMPLETE_RESPONSE[:size]) or contains_response(
            b"body" + COMPLETE_RESPONSE[:size]
        )
        assert contains_response(COMPLETE_RESPONSE[:size]) == (size >= len(b"HTTP/1.1 200"))
    assert not begun_at_the_end(b"body") and not begun_at_the_end(b"") and not starts_response(b"")


def test_a_quoted_status_line_is_no_response() -> None:
    for text in (
        b"GET / HTTP/1.1\r\n",
        b"it said HTTP/1.1 404 Not Found\nand left",
        b"HTTP/1.1 200\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nDate: today\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nno header\r\n",
    ):
        assert not contains_response(b"see: " + text)


# -- streams ---------------------------------------------------------------------------------------------------

# A body that contains a complete status line is rejected; a separate test covers that.
bodies = st.one_of(
    st.binary(min_size=2, max_size=40).filter(lambda body: not contains_response(body)),
    st.sampled_from([b"it ends with H", b"HTTP/1.1", b"HTTP/1.1 20"]),
)
framings = st.sampled_from(sorted(FRAMINGS.keys() - {"none"}))


def client_result(
    pieces: Callable[[ReceivedAttempt], list[bytes]], ends: Exception | None, closes: bool
) -> tuple[int, bytes]:
    """The status and body that the client of a non-idempotent request gets if the server sends these pieces."""
    results: list[tuple[int, bytes]] = []

    async def scenario(world: World) -> None:
        client = world.client()
        client.ask(SentRequest("r", "book"))
        await world.settle()
        (attempt,) = world.fresh
        for piece in pieces(attempt):
            attempt.wire.feed(piece)
        if closes:
            attempt.wire.lose(ends)
        await world.settle(3.0)
        (got,) = client.answers()
        results.append((got[0], got[2]))

    play(scenario)
    return results[0]


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    offsets = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    return [data[start:end] for start, end in itertools.pairwise(offsets)]


@settings(max_examples=250, suppress_health_check=[HealthCheck.too_slow])
@given(
    bodies,
    framings,
    st.lists(st.integers(0, 300), max_size=6),
    st.sampled_from([b"", COMPLETE_RESPONSE, COMPLETE_RESPONSE[:30], COMPLETE_RESPONSE[:3]]),
    st.integers(0, 2),
)
def test_a_complete_response_is_delivered_whatever_response_follows(
    body: bytes, framing: str, cuts: list[int], extra: bytes, surplus: int
) -> None:
    def pieces(attempt: ReceivedAttempt) -> list[bytes]:
        others = answer(attempt, ident="other", body=b"other") * surplus
        trailing = extra if framing != "close" else b""
        return split_at(others + answer(attempt, body=body, framing=framing) + trailing, cuts)

    assert client_result(pieces, None, framing == "close") == (200, body)


@pytest.mark.parametrize("framing", ["close", "length"])
def test_a_body_that_is_a_status_line_is_rejected(framing: str) -> None:
    def pieces(attempt: ReceivedAttempt) -> list[bytes]:
        return [answer(attempt, body=b"HTTP/1.0 000", framing=framing)]

    assert client_result(pieces, None, framing == "close") == (502, b"")


quoting_bodies = st.one_of(
    st.just(b"HTTP/1.0 000"),
    st.builds(lambda before, after: before + COMPLETE_RESPONSE + after, st.binary(max_size=20), st.binary(max_size=20)),
)


@settings(max_examples=150, suppress_health_check=[HealthCheck.too_slow])
@given(quoting_bodies, st.lists(st.integers(0, 300), max_size=6), st.sampled_from([b"", COMPLETE_RESPONSE]))
def test_a_chunked_body_that_quotes_a_response_is_delivered(body: bytes, cuts: list[int], extra: bytes) -> None:
    """Guards against 502 for work that ran and whose response, such as a log, quotes another: chunks prove its end."""

    def pieces(attempt: ReceivedAttempt) -> list[bytes]:
        return split_at(answer(attempt, body=body, framing="chunks") + extra, cuts)

    assert client_result(pieces, None, False) == (200, body)


@settings(max_examples=500, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.one_of(bodies, quoting_bodies),
    framings,
    st.integers(1, 60),
    st.lists(st.integers(0, 300), max_size=6),
    st.booleans(),
    st.sampled_from(["own", "extra", "other"]),
)
def test_a_truncated_response_followed_by_another_is_rejected(
    body: bytes, framing: str, lacks: int, cuts: list[int], closes: bool, copy: str
) -> None:
    def pieces(attempt: ReceivedAttempt) -> list[bytes]:
        whole = answer(attempt, body=body, framing=framing)
        late = {"own": whole, "extra": COMPLETE_RESPONSE, "other": answer(attempt, ident="other", body=b"other")}[copy]
        return split_at(whole[: -min(lacks, len(whole) - 1)] + late, cuts)

    assert client_result(pieces, None, closes)[0] in (502, 504)


@pytest.mark.parametrize("how", [None, ConnectionResetError()])
@pytest.mark.parametrize("framing", ["close", "none", "length", "chunks"])
def test_only_an_announced_clean_close_completes_a_response(how: Exception | None, framing: str) -> None:
    def pieces(attempt: ReceivedAttempt) -> list[bytes]:
        data = answer(attempt, body=b"body", framing=framing)
        return [data if framing in ("close", "none") else data[:-1]]

    got = client_result(pieces, how, True)
    assert got == ((200, b"body") if framing == "close" and how is None else (502, b""))


@pytest.mark.parametrize("asks", [True, False])
def test_a_partial_response_is_accepted_only_for_a_range_request(asks: bool) -> None:
    async def scenario(world: World) -> None:
        client = world.client()
        client.asked.append(SentRequest("r", "book"))
        lines = b"Range: bytes=0-1\r\nHost" if asks else b"Host"
        client.wire.feed(SentRequest("r", "book").message().replace(b"Host", lines))
        await world.settle()
        (attempt,) = world.fresh
        attempt.wire.feed(answer(attempt, 206, "Content-Range: bytes 0-1/9\r\n", body=b"ab"))
        await world.settle()
        assert [status for status, _, _ in client.answers()] == [206 if asks else 502]

    play(scenario)


@pytest.mark.parametrize(
    ("body", "framing", "waits"),
    [(b"body", "length", False), (b"ends with HT", "length", True), (b"ends with HT", "chunks", False)],
)
def test_only_a_response_with_an_ambiguous_end_waits_for_trailing_bytes(body: bytes, framing: str, waits: bool) -> None:
    async def scenario(world: World) -> None:
        client = world.client()
        client.ask(SentRequest("r", "book"))
        await world.settle()
        (attempt,) = world.fresh
        attempt.wire.feed(answer(attempt, body=body, framing=framing))
        assert bool(client.answers()) != waits
        await world.settle(TRAILING_BYTES_WAIT_S + 0.005)
        assert client.answers()[0][2] == body and world.pooled(attempt.wire)

    play(scenario)


def test_the_log_says_which_check_failed(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.WARNING):
        client_result(lambda attempt: [answer(attempt, more="Content-Encoding: gzip\r\n")], None, False)
    assert "response 200 to r rejected: a Content-Encoding" in caplog.text
