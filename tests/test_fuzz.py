"""Property tests for external input: invalid input is rejected with the expected error, and valid input can be used."""

from __future__ import annotations

import contextlib
import itertools
import math
import struct
from collections import Counter
from typing import Any

import cbor2
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cypressbeam.distribution import endpoint_list
from cypressbeam.protocol import configuration, frames
from cypressbeam.protocol.settings import Envelope, Settings, SettingsError, parse
from cypressbeam.proxy.gateway import balancer_settings
from cypressbeam.proxy.http_requests import BadRequestError, BodyBudget, RequestMessage, RequestReader, collect_headers
from cypressbeam.proxy.http_responses import Limits
from cypressbeam.proxy.protocol_profile import GATEWAY_PROFILE
from cypressbeam.proxy.routing import RoutingTable
from lab.adversarial_servers import SentRequest, World, answer, play
from lab.day import DayError, read
from lab.local_cluster import demo_configuration

MAX_REVISION = 2**63 - 1

# -- frames between nodes ------------------------------------------------------------------------------------


@settings(max_examples=2000)
@given(st.sampled_from(sorted(frames.FRAME_TYPES)), st.binary(max_size=200))
def test_any_bytes_are_rejected_or_a_frame_that_is_packed_into_the_same_bytes(kind: int, data: bytes) -> None:
    with contextlib.suppress(frames.FrameError):
        frame = frames.unpack(kind, data)
        if "d" not in frame.FIELDS:  # a body is sent as its digest, which is packed differently
            assert frame.pack() == frames.HEADER.pack(len(data), kind) + data


@settings(max_examples=500)
@given(st.binary(max_size=300))
def test_any_rows_are_an_endpoint_list_or_are_rejected(data: bytes) -> None:
    with contextlib.suppress(frames.FrameError):
        endpoint_list.unpack_rows(data)


# -- configurations ------------------------------------------------------------------------------------------

unusual_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 2**70),
    st.just(10**5000),
    st.floats(),
    st.text(max_size=5),
    st.binary(max_size=5),
    st.just([]),
    st.just({}),
    st.just([{}]),
)


@st.composite
def documents(draw: st.DrawFn) -> dict[str, Any]:
    """The demo configuration with one to three of its values replaced by unusual ones or removed."""
    document = demo_configuration()
    document["channels"].append(
        document["channels"][0]
        | {
            "label": "split",
            "prefix": "/split/",
            "allocation": [{"plant": "finder", "gain": 9}, {"plant": "booker", "gain": 1}],
        }
    )
    del document["channels"][-1]["plant"]
    targets = [
        document,
        document["constraints"],
        *document["channels"],
        *document["plants"],
        *document["channels"][-1]["allocation"],
    ]
    for _ in range(draw(st.integers(1, 3))):
        target = draw(st.sampled_from([item for item in targets if item]))
        key = draw(st.sampled_from(sorted(target)))
        if draw(st.booleans()):
            target[key] = draw(unusual_values)
        else:
            del target[key]
    return document


@settings(max_examples=1500)
@given(documents())
def test_an_accepted_configuration_can_be_applied(document: dict[str, Any]) -> None:
    try:
        accepted = configuration.read(cbor2.dumps(document))
    except configuration.InvalidConfigurationError:
        return
    assert 0 < accepted.revision <= MAX_REVISION  # eight bytes in messages
    limits = accepted.constraints
    assert all(
        math.isfinite(limit) and limit > 0
        for limit in (limits.header_max_bytes, limits.body_max_bytes, limits.header_wait_ms, limits.quiet_ms)
    )
    node = Settings(
        "n",
        "127.0.0.1",
        "a",
        (),
        None,
        None,
        None,
        (1, 2),
        False,
        False,
        None,
        200,
        4100,
        2.75,
        1,
        None,
        Envelope(),
    )
    for routes in RoutingTable(accepted).classes.values():
        for request_class in balancer_settings([*routes.values()], node, 3, 0).classes:
            assert (
                request_class.latency_target_us >= 1
                and request_class.deadline_us >= 1
                and 0 < request_class.value <= 1
                and request_class.tries >= 1
            )


@settings(max_examples=1000)
@given(st.binary(max_size=120))
def test_any_bytes_are_a_configuration_or_are_rejected(data: bytes) -> None:
    for body in (data, cbor2.dumps(demo_configuration())[: len(data)], cbor2.dumps(demo_configuration()) + data[:1]):
        with contextlib.suppress(configuration.InvalidConfigurationError):
            assert isinstance(configuration.read(body), configuration.Configuration)


@pytest.mark.parametrize("key, value", [("headerWaitMs", math.nan), ("quietMs", math.inf)])
def test_limits_that_are_not_finite_are_rejected(key: str, value: float) -> None:
    document = demo_configuration()
    document["constraints"][key] = value
    with pytest.raises(configuration.InvalidConfigurationError, match="constraints"):
        configuration.read(cbor2.dumps(document))


def test_a_revision_that_does_not_fit_into_a_message_is_rejected() -> None:
    assert configuration.read(cbor2.dumps(demo_configuration(MAX_REVISION))).revision == MAX_REVISION
    with pytest.raises(configuration.InvalidConfigurationError, match="revision"):
        configuration.read(cbor2.dumps(demo_configuration(MAX_REVISION + 1)))
    with pytest.raises(struct.error):  # the failure without this check
        frames.CommitNotice(256, 2**64).pack()


# -- settings and days ---------------------------------------------------------------------------------------


@settings(max_examples=500)
@given(
    st.text(max_size=60),
    st.sampled_from(
        [
            "constraints.memoryMb",
            "internalPorts",
            "seedPeers",
            "bootstrap",
            "ip",
            "platform.ratePerS",
            "listeners.front",
            "envelope.retrySlack",
        ]
    ),
)
def test_any_settings_are_parsed_or_rejected_in_one_line(text: str, key: str) -> None:
    for lines in (text, f"node=n\nip=127.0.0.1\ninternalPorts=1,2\n{key}={text}\n"):
        try:
            parsed = parse(lines, "boot.conf")
        except SettingsError as err:
            assert str(err).startswith("boot.conf: ") and "\n" not in str(err)
        else:
            assert parsed.memory_mb >= 1 and parsed.link_mbps > 0


@settings(max_examples=300)
@given(
    st.dictionaries(
        st.sampled_from(["edges", "cores", "zones", "kinds", "services", "troubles", "kept", "x"]), unusual_values
    )
)
def test_any_day_is_parsed_or_rejected(document: dict[str, Any]) -> None:
    with contextlib.suppress(DayError):
        assert min((day := read(document, "day")).edges, day.cores, day.zones) >= 1


# -- requests ------------------------------------------------------------------------------------------------

REQUESTS = (
    b"GET /a/b HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
    b"POST /a/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nContent-Length: 3\r\n\r\nxyz",
    b"POST /a/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
)
MALICIOUS_HEADERS = (
    b"Content-Length: 3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Length: 3, 4\r\n",
    b"Transfer-Encoding : chunked\r\n",
    b"Attempt-Id: z\r\n",
    b"Connection: attempt-id\r\n",
    b" folded\r\n",
    b"Content-Length: +3\r\n",
    b"Transfer-Encoding: x, chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"Host: other\r\n",
    b"\x00: 1\r\n",
)


@st.composite
def streams(draw: st.DrawFn) -> bytes:
    """Pipelined requests, each of them valid, with a malicious header, or with a byte replaced by one or two others."""
    parts = []
    for request in draw(st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=4)):
        at = request.index(b"Host")
        if draw(st.booleans()):
            request = request[:at] + draw(st.sampled_from(MALICIOUS_HEADERS)) + request[at:]
        if draw(st.integers(0, 3)) == 0:
            position = draw(st.integers(0, len(request) - 1))
            request = request[:position] + draw(st.binary(min_size=1, max_size=2)) + request[position + 1 :]
        parts.append(request)
    return b"".join(parts)


def read_all(pieces: list[bytes]) -> tuple[list[tuple[bytes, ...]], bool]:
    """The parsed requests, and whether the reader stopped with an error."""
    reader = RequestReader(lambda: 0, lambda: None, BodyBudget(Limits(max_body_bytes=1000, body_timeout_restarts=True)))
    messages: list[RequestMessage] = []
    for piece in pieces:
        reader.feed(piece)
        messages += reader.messages
        reader.messages.clear()
    return [summary(message) for message in messages], reader.error is not None


def summary(message: RequestMessage) -> tuple[bytes, ...]:
    try:
        headers, _ = collect_headers(message, GATEWAY_PROFILE)
    except BadRequestError as err:
        return b"refused", str(err.status).encode()
    return message.method, message.target, message.body, headers.get(b"attempt-id", b"")


@settings(max_examples=1500)
@given(streams(), st.lists(st.integers(0, 400), max_size=8))
def test_parsing_does_not_depend_on_how_bytes_are_split(stream: bytes, cuts: list[int]) -> None:
    """Guards against request smuggling, where two parsers see different requests in the same bytes."""
    bounds = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})
    pieces = [stream[start:end] for start, end in itertools.pairwise(bounds)]
    whole, whole_failed = read_all([stream])
    split, split_failed = read_all(pieces)
    assert split[: len(whole)] == whole[: len(split)] and whole_failed == split_failed
    if not whole_failed:
        assert whole == split


@settings(max_examples=300, suppress_health_check=[HealthCheck.too_slow])
@given(streams(), st.lists(st.integers(0, 400), max_size=8), st.sampled_from(["length", "chunks"]))
def test_servers_receive_requests_as_parsed_and_clients_receive_their_own_responses(
    stream: bytes, cuts: list[int], framing: str
) -> None:
    """Covers the whole path: client connection, parser, forwarding, connection pool and responses."""
    stream = stream.replace(b" /a/", b" /book/").replace(b"Host: h\r", b"Host: h.example\r")
    expected = read_all([stream])[0]
    bounds = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})

    async def scenario(world: World) -> None:
        client = world.client()
        for start, end in itertools.pairwise(bounds):
            client.wire.feed(stream[start:end])
        for _ in range(6):
            await world.settle()
            while world.fresh:
                attempt = world.fresh.pop()
                attempt.wire.feed(answer(attempt, framing=framing))
        received = [request for wire in world.wires for request in read_all([bytes(wire.got)])[0]]
        assert not Counter(received) - Counter(expected)
        client.wire.got = client.wire.got.replace(b"HTTP/1.1 100 Continue\r\n\r\n", b"")
        client.asked += [SentRequest("any", "read")] * (len(expected) + 1)  # at most one error response after them
        answered_ids = [head[b"attempt-id"].decode("latin-1") for status, head, _ in client.answers() if status == 200]
        assert answered_ids == [attempt.ident for attempt in world.sendings] and len(answered_ids) == len(received)
        remaining = iter(expected)
        # The responses are in the order of the requests.
        assert all(any(name.encode("latin-1") == message[-1] for message in remaining) for name in answered_ids)

    play(scenario)
