"""Responses carry the ID of their request: whatever bytes a server sends, no client gets another one's response."""

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
from cypressbeam.proxy.http_responses import Response, ResponseReader
from cypressbeam.proxy.protocol_profile import GATEWAY_PROFILE
from cypressbeam.proxy.response_validation import RequestContext
from cypressbeam.proxy.upstream import Attempt, Upstream
from tests.loopback import ReceivedRequest, StubServer, run, within_timeout

ID_HEADER = b"attempt-id"


def answer(request_id: str, body: bytes = b"body", extra_headers: str = "") -> bytes:
    return (
        f"HTTP/1.1 200 X\r\nAttempt-Id: {request_id}\r\nServer-Seal: a.b\r\n"
        f"{extra_headers}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def chunked(request_id: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 200 X\r\nAttempt-Id: {request_id}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


request_ids = st.sampled_from(["a", "b", "c"])
bodies = st.binary(min_size=1, max_size=30)
pieces = st.one_of(
    st.builds(answer, request_ids, bodies),
    st.builds(chunked, request_ids, bodies),
    st.binary(max_size=40),
    st.builds(lambda request_id: answer(request_id, extra_headers="Attempt-Id: a\r\n"), request_ids),
    st.just(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx"),
    st.just(b"HTTP/1.1 100 Continue\r\n\r\n"),
    st.builds(lambda request_id, body: answer(request_id, body)[:-1], request_ids, bodies),
    st.builds(lambda request_id: answer(request_id, extra_headers="Connection: close\r\n"), request_ids),
)


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(st.lists(pieces, max_size=5), st.lists(st.integers(1, 60), max_size=40), st.booleans())
def test_a_response_to_another_request_is_never_returned_for_any_input(
    parts: list[bytes], cuts: list[int], no_body: bool
) -> None:
    data = b"".join(parts)
    reader = ResponseReader(id_header=ID_HEADER)
    reader.reset(no_body, b"a")
    with contextlib.suppress(ValueError, httptools.HttpParserError):
        at = 0
        for cut in [*cuts, len(data)]:
            if data[at : at + cut]:
                reader.feed(data[at : at + cut])
            at += cut
    if reader.complete:
        given_names = [value for name, value in reader.answer.headers if name.lower() == ID_HEADER]
        assert given_names == [b"a"]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(["b", "c"]), bodies, st.booleans()), max_size=4), bodies, st.integers(1, 50))
def test_the_expected_response_is_read_after_responses_to_other_requests(
    others: list[tuple[str, bytes, bool]], body: bytes, size: int
) -> None:
    data = b"".join(
        chunked(request_id, other) if in_chunks else answer(request_id, other)
        for request_id, other, in_chunks in others
    ) + answer("a", body)
    reader = ResponseReader(id_header=ID_HEADER)
    reader.reset(expected=b"a")
    for at in range(0, len(data), size):
        reader.feed(data[at : at + size])
    assert reader.complete and reader.keep_alive and reader.answer.body == body
    assert reader.dropped_responses == len(others)


@pytest.mark.parametrize("status", [200, 500, 503])
@pytest.mark.parametrize("lost", [200, 503])
def test_a_truncated_response_is_never_merged_with_the_next_one(lost: int, status: int) -> None:
    """A response that is truncated at any byte and followed by the next one."""
    extra_headers = "Not-Executed: 1\r\nVia: HTTP/1.1 x\r\n" if lost == 503 else "Server-Seal: s\r\n"
    first = answer("b", extra_headers=extra_headers).replace(b"200", b"%d" % lost)
    second = answer("a", b"mine").replace(b"200", b"%d" % status)
    for moved in (first, first.replace(b"Attempt-Id: b\r\n", b"").replace(b"\r\n\r\n", b"\r\nAttempt-Id: b\r\n\r\n")):
        for cut in range(len(moved)):
            reader = ResponseReader(id_header=ID_HEADER)
            reader.reset(expected=b"a")
            with contextlib.suppress(ValueError, httptools.HttpParserError):
                reader.feed(moved[:cut] + second)
            assert not reader.complete or (cut == 0 and reader.answer.status == status), moved[:cut]


def test_a_via_header_with_a_protocol_version_is_no_status_line() -> None:
    reader = ResponseReader(id_header=ID_HEADER)
    reader.reset(expected=b"a")
    reader.feed(answer("a", extra_headers="Via: HTTP/1.1 proxy\r\n"))
    assert reader.complete


class UpstreamFixture:
    """A connection pool for one server, and the outcomes of the attempts."""

    def __init__(self, server: StubServer) -> None:
        self.server = server
        self.ended: asyncio.Queue[tuple[str, AttemptOutcome, Response | None]] = asyncio.Queue()
        self.upstream = Upstream(
            5_000_000, 60_000_000, 10, lambda: time.monotonic_ns() // 1000, self.on_end, GATEWAY_PROFILE
        )
        self.upstream.update_server("s", ("127.0.0.1", server.port), 0, True)

    def on_end(self, attempt: Attempt, ending: AttemptOutcome, answer: Response | None, report: Report | None) -> None:
        self.ended.put_nowait((attempt.request, ending, answer))

    async def send(self, request_id: str, no_body: bool = False) -> ReceivedRequest:
        head = f"GET / HTTP/1.1\r\nAttempt-Id: {request_id}\r\n\r\n".encode()
        self.upstream.start(Attempt(request_id, 0, "s", head, 0, RequestContext(no_body)))
        return await self.server.next()

    async def end(self) -> tuple[str, AttemptOutcome, bytes | None]:
        request_id, ending, got = await within_timeout(self.ended.get())
        return request_id, ending, got.body if got is not None else None


@contextlib.asynccontextmanager
async def upstream_fixture() -> AsyncIterator[UpstreamFixture]:
    server = StubServer()
    await server.start()
    fixture = UpstreamFixture(server)
    try:
        yield fixture
    finally:
        fixture.upstream.close()
        server.stop()


def test_a_duplicate_response_is_discarded_and_the_expected_one_awaited() -> None:
    async def scenario() -> None:
        async with upstream_fixture() as fixture:
            (await fixture.send("one")).raw(answer("one", b"1"))
            assert await fixture.end() == ("one", AttemptOutcome.OK, b"1")
            got = await fixture.send("two")
            got.raw(answer("one", b"again"))
            got.raw(answer("two", b"2"))
            assert await fixture.end() == ("two", AttemptOutcome.OK, b"2")
            (await fixture.send("three")).raw(answer("three", b"3"))
            assert await fixture.end() == ("three", AttemptOutcome.OK, b"3")
            assert len(fixture.server.peers) == 1  # the connection was kept

    run(scenario())


@pytest.mark.parametrize(
    "wrong",
    [
        b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx",
        answer("two", extra_headers="Attempt-Id: one\r\n"),
        answer("one", extra_headers="Connection: close\r\n"),
        answer("one") + b"and more",
    ],
)
def test_an_ambiguous_response_closes_the_connection_and_may_have_run(wrong: bytes) -> None:
    async def scenario() -> None:
        async with upstream_fixture() as fixture:
            (await fixture.send("two")).raw(wrong)
            assert await fixture.end() == ("two", AttemptOutcome.RESET, None)
            await fixture.send("three")
            assert len(fixture.server.peers) == 2

    run(scenario())


def test_a_response_to_another_request_closes_the_connection_of_a_head_request() -> None:
    async def scenario() -> None:
        async with upstream_fixture() as fixture:
            (await fixture.send("two", no_body=True)).raw(answer("one")[:-4])
            assert await fixture.end() == ("two", AttemptOutcome.RESET, None)

    run(scenario())
