"""What a success must bear: each check by itself, and streams of answers through the real gate, in any pieces."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cypressbeam.proxy.http_responses import Answer
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

SEAL, LENGTH = (b"Server-Seal", b"a.b"), (b"Content-Length", b"1")
COPY = b"HTTP/1.1 200 OK\r\nServer-Seal: a.b\r\nContent-Length: 2\r\n\r\nok"
PART, HEAD = RequestContext(has_range=True), RequestContext(no_body=True)
CODING = (b"Content-Encoding", b"identity")
RANGE = (b"Content-Range", b"bytes 0-0/2")


@pytest.mark.parametrize(
    ("given_answer", "asked", "trailing", "failed"),
    [
        (Answer(200, [SEAL], b"x"), RequestContext(), b"", None),
        (Answer(201, [SEAL], b"x"), RequestContext(), b"", None),
        (Answer(204, [SEAL]), RequestContext(), b"", None),
        (Answer(205, [SEAL]), RequestContext(), b"", None),
        (Answer(206, [SEAL, RANGE], b"x"), PART, b"", None),
        (Answer(200, [SEAL, LENGTH]), HEAD, b"junk", None),
        (Answer(200, [SEAL], b"x"), RequestContext(), b"HTTP/1.1 2", None),
        (Answer(200, [SEAL], b"x"), RequestContext(), COPY, None),
        (Answer(200, [], b"x"), RequestContext(), b"", 0),
        (Answer(200, [SEAL, SEAL], b"x"), RequestContext(), b"", 0),
        (Answer(200, [], b""), HEAD, b"", 0),
        (Answer(204), RequestContext(), b"", 0),
        (Answer(200, [(b"server-seal", b"")], b"x"), RequestContext(), b"", 1),
        (Answer(200, [SEAL, CODING], b"x"), RequestContext(), b"", 2),
        (Answer(200, [SEAL, CODING]), HEAD, b"", 2),
        (Answer(206, [SEAL], b"x"), RequestContext(), b"", 3),
        (Answer(200, [SEAL, RANGE], b"x"), RequestContext(), b"", 3),
        (Answer(204, [SEAL, LENGTH]), RequestContext(), b"", 4),
        (Answer(205, [SEAL], b"x"), RequestContext(), b"", 4),
        (Answer(204, [SEAL, (b"Transfer-Encoding", b"chunked")]), RequestContext(), b"", 4),
        (Answer(200, [SEAL], b"x" + COPY), RequestContext(), b"", 5),
        (Answer(200, [SEAL], b"x" + COPY[:12]), RequestContext(), b"", 5),
        (Answer(200, [SEAL], b"x" + COPY[:5]), RequestContext(), COPY[5:], 6),
        (Answer(200, [SEAL], b"x"), RequestContext(), b"\r\n", 6),
    ],
)
def test_each_check_of_a_success(
    given_answer: Answer, asked: RequestContext, trailing: bytes, failed: int | None
) -> None:
    assert failed_check(given_answer, asked, trailing) == ("" if failed is None else list(CHECKS)[failed])


def test_an_answer_is_known_by_its_beginning_wherever_it_is_cut() -> None:
    for size in range(1, len(COPY)):
        assert starts_response(COPY[:size]) and not starts_response(COPY[size:] or b"x")
        assert begun_at_the_end(b"body" + COPY[:size]) or contains_response(b"body" + COPY[:size])
        assert contains_response(COPY[:size]) == (size >= len(b"HTTP/1.1 200"))
    assert not begun_at_the_end(b"body") and not begun_at_the_end(b"") and not starts_response(b"")


def test_a_quoted_status_line_is_no_answer() -> None:
    for text in (
        b"GET / HTTP/1.1\r\n",
        b"it said HTTP/1.1 404 Not Found\nand left",
        b"HTTP/1.1 200\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nDate: today\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nno header\r\n",
    ):
        assert not contains_response(b"see: " + text)


# -- streams ---------------------------------------------------------------------------------------------------

# A body that holds a whole status line is refused: it has a test of its own.
bodies = st.one_of(
    st.binary(min_size=2, max_size=40).filter(lambda body: not contains_response(body)),
    st.sampled_from([b"it ends with H", b"HTTP/1.1", b"HTTP/1.1 20"]),
)
framings = st.sampled_from(sorted(FRAMINGS.keys() - {"none"}))


def played(pieces: Callable[[ReceivedAttempt], list[bytes]], ends: Exception | None, closes: bool) -> tuple[int, bytes]:
    """What its client gets of a request that may not be repeated, where a server says such pieces."""
    told: list[tuple[int, bytes]] = []

    async def scenario(world: World) -> None:
        client = world.client()
        client.ask(SentRequest("r", "book"))
        await world.settle()
        (sending,) = world.fresh
        for piece in pieces(sending):
            sending.wire.feed(piece)
        if closes:
            sending.wire.lose(ends)
        await world.settle(3.0)
        (got,) = client.answers()
        told.append((got[0], got[2]))

    play(scenario)
    return told[0]


def cut_at(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    return [data[one:other] for one, other in itertools.pairwise(places)]


@settings(max_examples=250, suppress_health_check=[HealthCheck.too_slow])
@given(
    bodies,
    framings,
    st.lists(st.integers(0, 300), max_size=6),
    st.sampled_from([b"", COPY, COPY[:30], COPY[:3]]),
    st.integers(0, 2),
)
def test_a_whole_answer_arrives_whatever_answer_comes_behind(
    body: bytes, framing: str, cuts: list[int], extra: bytes, surplus: int
) -> None:
    def pieces(sending: ReceivedAttempt) -> list[bytes]:
        others = answer(sending, ident="other", body=b"other") * surplus
        trailing = extra if framing != "close" else b""
        return cut_at(others + answer(sending, body=body, framing=framing) + trailing, cuts)

    assert played(pieces, None, framing == "close") == (200, body)


@pytest.mark.parametrize("framing", sorted(FRAMINGS.keys() - {"none"}))
def test_a_body_that_is_a_status_line_is_refused(framing: str) -> None:
    def pieces(sending: ReceivedAttempt) -> list[bytes]:
        return [answer(sending, body=b"HTTP/1.0 000", framing=framing)]

    assert played(pieces, None, framing == "close") == (502, b"")


@settings(max_examples=500, suppress_health_check=[HealthCheck.too_slow])
@given(
    bodies,
    framings,
    st.integers(1, 60),
    st.lists(st.integers(0, 300), max_size=6),
    st.booleans(),
    st.sampled_from(["own", "extra", "other"]),
)
def test_an_answer_that_is_cut_with_another_behind_it_is_none(
    body: bytes, framing: str, lacks: int, cuts: list[int], closes: bool, copy: str
) -> None:
    def pieces(sending: ReceivedAttempt) -> list[bytes]:
        whole = answer(sending, body=body, framing=framing)
        late = {"own": whole, "extra": COPY, "other": answer(sending, ident="other", body=b"other")}[copy]
        return cut_at(whole[: -min(lacks, len(whole) - 1)] + late, cuts)

    assert played(pieces, None, closes)[0] in (502, 504)


@pytest.mark.parametrize("how", [None, ConnectionResetError()])
@pytest.mark.parametrize("framing", ["close", "none", "length", "chunks"])
def test_only_an_end_that_was_announced_and_came_in_order_ends_an_answer(how: Exception | None, framing: str) -> None:
    def pieces(sending: ReceivedAttempt) -> list[bytes]:
        data = answer(sending, body=b"body", framing=framing)
        return [data if framing in ("close", "none") else data[:-1]]

    got = played(pieces, how, True)
    assert got == ((200, b"body") if framing == "close" and how is None else (502, b""))


@pytest.mark.parametrize("asks", [True, False])
def test_who_asks_for_a_range_gets_a_part(asks: bool) -> None:
    async def scenario(world: World) -> None:
        client = world.client()
        client.asked.append(SentRequest("r", "book"))
        lines = b"Range: bytes=0-1\r\nHost" if asks else b"Host"
        client.wire.feed(SentRequest("r", "book").message().replace(b"Host", lines))
        await world.settle()
        (sending,) = world.fresh
        sending.wire.feed(answer(sending, 206, "Content-Range: bytes 0-1/9\r\n", body=b"ab"))
        await world.settle()
        assert [status for status, _, _ in client.answers()] == [206 if asks else 502]

    play(scenario)


@pytest.mark.parametrize(
    ("body", "framing", "waits"),
    [(b"body", "length", False), (b"ends with HT", "length", True), (b"ends with HT", "chunks", False)],
)
def test_only_an_answer_whose_end_is_in_doubt_waits_and_for_a_moment(body: bytes, framing: str, waits: bool) -> None:
    async def scenario(world: World) -> None:
        client = world.client()
        client.ask(SentRequest("r", "book"))
        await world.settle()
        (sending,) = world.fresh
        sending.wire.feed(answer(sending, body=body, framing=framing))
        assert bool(client.answers()) != waits
        await world.settle(TRAILING_BYTES_WAIT_S + 0.005)
        assert client.answers()[0][2] == body and world.pooled(sending.wire)

    play(scenario)


def test_the_log_says_which_check_failed(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.WARNING):
        played(lambda sending: [answer(sending, more="Content-Encoding: gzip\r\n")], None, False)
    assert "response 200 to r rejected: a Content-Encoding" in caplog.text
