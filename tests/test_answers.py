"""Answers name their request: whatever bytes a server sends, nobody gets what belongs to another."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypressbeam.balancing.interface import AttemptOutcome, Report
from cypressbeam.proxy.http_responses import Answer, ResponseReader
from cypressbeam.proxy.protocol_profile import GATEWAY_PROFILE
from cypressbeam.proxy.response_validation import RequestContext
from cypressbeam.proxy.upstream import Attempt, Upstream
from tests.loopback import Exchange, StubServer, run, soon

NAME = b"attempt-id"


def answer(ident: str, body: bytes = b"body", more: str = "") -> bytes:
    return (
        f"HTTP/1.1 200 X\r\nAttempt-Id: {ident}\r\nServer-Seal: a.b\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def chunked(ident: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 200 X\r\nAttempt-Id: {ident}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


idents = st.sampled_from(["a", "b", "c"])
bodies = st.binary(min_size=1, max_size=30)
pieces = st.one_of(
    st.builds(answer, idents, bodies),
    st.builds(chunked, idents, bodies),
    st.binary(max_size=40),
    st.builds(lambda ident: answer(ident, more="Attempt-Id: a\r\n"), idents),
    st.just(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx"),
    st.just(b"HTTP/1.1 100 Continue\r\n\r\n"),
    st.builds(lambda ident, body: answer(ident, body)[:-1], idents, bodies),
    st.builds(lambda ident: answer(ident, more="Connection: close\r\n"), idents),
)


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(st.lists(pieces, max_size=5), st.lists(st.integers(1, 60), max_size=40), st.booleans())
def test_any_bytes_in_any_pieces_never_give_what_is_anothers(
    parts: list[bytes], cuts: list[int], no_body: bool
) -> None:
    data = b"".join(parts)
    reader = ResponseReader(id_header=NAME)
    reader.reset(no_body, b"a")
    with contextlib.suppress(ValueError, httptools.HttpParserError):
        at = 0
        for cut in [*cuts, len(data)]:
            if data[at : at + cut]:
                reader.feed(data[at : at + cut])
            at += cut
    if reader.complete:
        given_names = [value for name, value in reader.answer.headers if name.lower() == NAME]
        assert given_names == [b"a"]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(["b", "c"]), bodies, st.booleans()), max_size=4), bodies, st.integers(1, 50))
def test_the_right_answer_is_found_behind_those_of_others(
    surplus: list[tuple[str, bytes, bool]], body: bytes, size: int
) -> None:
    data = b"".join(
        chunked(ident, other) if in_chunks else answer(ident, other) for ident, other, in_chunks in surplus
    ) + answer("a", body)
    reader = ResponseReader(id_header=NAME)
    reader.reset(expected=b"a")
    for at in range(0, len(data), size):
        reader.feed(data[at : at + size])
    assert reader.complete and reader.keep_alive and reader.answer.body == body
    assert reader.dropped_responses == len(surplus)


@pytest.mark.parametrize("status", [200, 500, 503])
@pytest.mark.parametrize("lost", [200, 503])
def test_the_beginning_of_another_answer_is_never_read_as_one_with_the_right_one(lost: int, status: int) -> None:
    """One that breaks off, and the next behind it, wherever the first one ends."""
    more = "Not-Executed: 1\r\nVia: HTTP/1.1 x\r\n" if lost == 503 else "Server-Seal: s\r\n"
    first = answer("b", more=more).replace(b"200", b"%d" % lost)
    second = answer("a", b"mine").replace(b"200", b"%d" % status)
    for moved in (first, first.replace(b"Attempt-Id: b\r\n", b"").replace(b"\r\n\r\n", b"\r\nAttempt-Id: b\r\n\r\n")):
        for cut in range(len(moved)):
            reader = ResponseReader(id_header=NAME)
            reader.reset(expected=b"a")
            with contextlib.suppress(ValueError, httptools.HttpParserError):
                reader.feed(moved[:cut] + second)
            assert not reader.complete or (cut == 0 and reader.answer.status == status), moved[:cut]


def test_a_proxy_that_names_its_protocol_is_no_second_answer() -> None:
    reader = ResponseReader(id_header=NAME)
    reader.reset(expected=b"a")
    reader.feed(answer("a", more="Via: HTTP/1.1 proxy\r\n"))
    assert reader.complete


class Sender:
    """A pool of connections to one server, and how the attempts ended."""

    def __init__(self, server: StubServer) -> None:
        self.server = server
        self.ended: asyncio.Queue[tuple[str, AttemptOutcome, Answer | None]] = asyncio.Queue()
        self.upstream = Upstream(
            5_000_000, 60_000_000, 10, lambda: time.monotonic_ns() // 1000, self.on_end, GATEWAY_PROFILE
        )
        self.upstream.pool("s", ("127.0.0.1", server.port), 0, True)

    def on_end(self, attempt: Attempt, ending: AttemptOutcome, answer: Answer | None, report: Report | None) -> None:
        self.ended.put_nowait((attempt.request, ending, answer))

    async def send(self, ident: str, no_body: bool = False) -> Exchange:
        head = f"GET / HTTP/1.1\r\nAttempt-Id: {ident}\r\n\r\n".encode()
        self.upstream.start(Attempt(ident, 0, "s", head, 0, RequestContext(no_body)))
        return await self.server.next()

    async def end(self) -> tuple[str, AttemptOutcome, bytes | None]:
        ident, ending, got = await soon(self.ended.get())
        return ident, ending, got.body if got is not None else None


@contextlib.asynccontextmanager
async def sender() -> AsyncIterator[Sender]:
    server = StubServer()
    await server.start()
    made = Sender(server)
    try:
        yield made
    finally:
        made.upstream.close()
        server.stop()


def test_an_answer_that_comes_again_is_dropped_and_the_right_one_waited_for() -> None:
    async def scenario() -> None:
        async with sender() as made:
            (await made.send("one")).raw(answer("one", b"1"))
            assert await made.end() == ("one", AttemptOutcome.OK, b"1")
            got = await made.send("two")
            got.raw(answer("one", b"again"))
            got.raw(answer("two", b"2"))
            assert await made.end() == ("two", AttemptOutcome.OK, b"2")
            (await made.send("three")).raw(answer("three", b"3"))
            assert await made.end() == ("three", AttemptOutcome.OK, b"3")
            assert len(made.server.peers) == 1  # none of it cost the connection

    run(scenario())


@pytest.mark.parametrize(
    "wrong",
    [
        b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx",
        answer("two", more="Attempt-Id: one\r\n"),
        answer("one", more="Connection: close\r\n"),
        answer("one") + b"and more",
    ],
)
def test_what_cannot_be_told_apart_ends_the_connection_and_may_have_run(wrong: bytes) -> None:
    async def scenario() -> None:
        async with sender() as made:
            (await made.send("two")).raw(wrong)
            assert await made.end() == ("two", AttemptOutcome.RESET, None)
            await made.send("three")
            assert len(made.server.peers) == 2

    run(scenario())


def test_anothers_answer_to_a_head_ends_the_connection() -> None:
    async def scenario() -> None:
        async with sender() as made:
            (await made.send("two", no_body=True)).raw(answer("one")[:-4])
            assert await made.end() == ("two", AttemptOutcome.RESET, None)

    run(scenario())
