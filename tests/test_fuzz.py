"""Whatever comes in from outside: no crash, no acceptance of what is wrong, one way of refusing it."""

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

REVISION_MOST = 2**63 - 1

# -- frames between nodes ------------------------------------------------------------------------------------


@settings(max_examples=2000)
@given(st.sampled_from(sorted(frames.FRAME_TYPES)), st.binary(max_size=200))
def test_any_bytes_are_a_frame_that_packs_into_them_again_or_are_refused(kind: int, data: bytes) -> None:
    with contextlib.suppress(frames.FrameError):
        frame = frames.unpack(kind, data)
        if "d" not in frame.FIELDS:  # a body goes out as its digest, and comes in as that
            assert frame.pack() == frames.HEADER.pack(len(data), kind) + data


@settings(max_examples=500)
@given(st.binary(max_size=300))
def test_any_rows_are_a_list_or_are_refused(data: bytes) -> None:
    with contextlib.suppress(frames.FrameError):
        endpoint_list.unpack_rows(data)


# -- configurations ------------------------------------------------------------------------------------------

odd = st.one_of(
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
    """The usual configuration with one to three of its values made odd or left out."""
    made = demo_configuration()
    made["channels"].append(
        made["channels"][0]
        | {
            "label": "split",
            "prefix": "/split/",
            "allocation": [{"plant": "finder", "gain": 9}, {"plant": "booker", "gain": 1}],
        }
    )
    del made["channels"][-1]["plant"]
    places = [made, made["constraints"], *made["channels"], *made["plants"], *made["channels"][-1]["allocation"]]
    for _ in range(draw(st.integers(1, 3))):
        place = draw(st.sampled_from([place for place in places if place]))
        key = draw(st.sampled_from(sorted(place)))
        if draw(st.booleans()):
            place[key] = draw(odd)
        else:
            del place[key]
    return made


@settings(max_examples=1500)
@given(documents())
def test_a_configuration_that_is_taken_can_be_carried_out(document: dict[str, Any]) -> None:
    try:
        taken = configuration.read(cbor2.dumps(document))
    except configuration.InvalidConfigurationError:
        return
    assert 0 < taken.revision <= REVISION_MOST  # eight bytes between nodes
    limits = taken.constraints
    assert all(
        math.isfinite(figure) and figure > 0
        for figure in (limits.header_max_bytes, limits.body_max_bytes, limits.header_wait_ms, limits.quiet_ms)
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
        10.0,
        Envelope(),
    )
    for channels in RoutingTable(taken).classes.values():
        for kind in balancer_settings([*channels.values()], node, 3, 0).classes:
            assert kind.latency_target_us >= 1 and kind.deadline_us >= 1 and 0 < kind.value <= 1 and kind.tries >= 1


@settings(max_examples=1000)
@given(st.binary(max_size=120))
def test_any_bytes_are_a_configuration_or_are_refused(data: bytes) -> None:
    for body in (data, cbor2.dumps(demo_configuration())[: len(data)], cbor2.dumps(demo_configuration()) + data[:1]):
        with contextlib.suppress(configuration.InvalidConfigurationError):
            assert isinstance(configuration.read(body), configuration.Configuration)


@pytest.mark.parametrize("key, value", [("headerWaitMs", math.nan), ("quietMs", math.inf)])
def test_figures_that_are_no_numbers_are_refused(key: str, value: float) -> None:
    made = demo_configuration()
    made["constraints"][key] = value
    with pytest.raises(configuration.InvalidConfigurationError, match="constraints"):
        configuration.read(cbor2.dumps(made))


def test_a_revision_that_has_no_room_between_nodes_is_refused() -> None:
    assert configuration.read(cbor2.dumps(demo_configuration(REVISION_MOST))).revision == REVISION_MOST
    with pytest.raises(configuration.InvalidConfigurationError, match="revision"):
        configuration.read(cbor2.dumps(demo_configuration(REVISION_MOST + 1)))
    with pytest.raises(struct.error):  # what it would have come to
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
def test_any_settings_are_read_or_refused_in_one_line(text: str, key: str) -> None:
    for lines in (text, f"node=n\nip=127.0.0.1\ninternalPorts=1,2\n{key}={text}\n"):
        try:
            made = parse(lines, "boot.conf")
        except SettingsError as err:
            assert str(err).startswith("boot.conf: ") and "\n" not in str(err)
        else:
            assert made.memory_mb >= 1 and made.link_mbps > 0


@settings(max_examples=300)
@given(st.dictionaries(st.sampled_from(["edges", "cores", "zones", "kinds", "services", "troubles", "kept", "x"]), odd))
def test_any_day_is_read_or_refused_in_one_line(document: dict[str, Any]) -> None:
    with contextlib.suppress(DayError):
        assert min((made := read(document, "day")).edges, made.cores, made.zones) >= 1


# -- requests ------------------------------------------------------------------------------------------------

HEADS = (
    b"GET /a/b HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
    b"POST /a/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nContent-Length: 3\r\n\r\nxyz",
    b"POST /a/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
)
SMUGGLED = (
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
    """Requests one behind another, each whole or with a header too many, a byte changed, or cut."""
    parts = []
    for head in draw(st.lists(st.sampled_from(HEADS), min_size=1, max_size=4)):
        at = head.index(b"Host")
        if draw(st.booleans()):
            head = head[:at] + draw(st.sampled_from(SMUGGLED)) + head[at:]
        if draw(st.integers(0, 3)) == 0:
            where = draw(st.integers(0, len(head) - 1))
            head = head[:where] + draw(st.binary(min_size=1, max_size=2)) + head[where + 1 :]
        parts.append(head)
    return b"".join(parts)


def read_all(pieces: list[bytes]) -> tuple[list[tuple[bytes, ...]], bool]:
    """The requests that came out, and whether the reading ended in a refusal."""
    reader = RequestReader(lambda: 0, lambda: None, BodyBudget(Limits(max_body_bytes=1000, body_timeout_restarts=True)))
    found: list[RequestMessage] = []
    for piece in pieces:
        reader.feed(piece)
        found += reader.messages
        reader.messages.clear()
    return [taken(message) for message in found], reader.error is not None


def taken(message: RequestMessage) -> tuple[bytes, ...]:
    try:
        named, _ = collect_headers(message, GATEWAY_PROFILE)
    except BadRequestError as err:
        return b"refused", str(err.status).encode()
    return message.method, message.target, message.body, named.get(b"attempt-id", b"")


@settings(max_examples=1500)
@given(streams(), st.lists(st.integers(0, 400), max_size=8))
def test_requests_are_the_same_however_their_bytes_are_split(stream: bytes, cuts: list[int]) -> None:
    """Else node and server, or two nodes, might take another part of the bytes for a request."""
    places = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})
    pieces = [stream[one:other] for one, other in itertools.pairwise(places)]
    whole, refused = read_all([stream])
    split, split_refused = read_all(pieces)
    assert split[: len(whole)] == whole[: len(split)] and refused == split_refused
    if not refused:
        assert whole == split


@settings(max_examples=300, suppress_health_check=[HealthCheck.too_slow])
@given(streams(), st.lists(st.integers(0, 400), max_size=8), st.sampled_from(["length", "chunks"]))
def test_servers_get_requests_as_they_were_read_and_each_answer_goes_to_its_own(
    stream: bytes, cuts: list[int], framing: str
) -> None:
    """Through the whole gate: connection, reader, carrier, pool and answers."""
    stream = stream.replace(b" /a/", b" /book/").replace(b"Host: h\r", b"Host: h.example\r")
    meant = read_all([stream])[0]
    places = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})

    async def scenario(world: World) -> None:
        client = world.client()
        for one, other in itertools.pairwise(places):
            client.wire.feed(stream[one:other])
        for _ in range(6):
            await world.settle()
            while world.fresh:
                sending = world.fresh.pop()
                sending.wire.feed(answer(sending, framing=framing))
        got = [sent for wire in world.wires for sent in read_all([bytes(wire.got)])[0]]
        assert not Counter(got) - Counter(meant)
        client.wire.got = client.wire.got.replace(b"HTTP/1.1 100 Continue\r\n\r\n", b"")
        client.asked += [SentRequest("any", "read")] * (len(meant) + 1)  # one refusal behind them at most
        given_names = [head[b"attempt-id"].decode("latin-1") for status, head, _ in client.answers() if status == 200]
        assert given_names == [sending.ident for sending in world.sendings] and len(given_names) == len(got)
        rest = iter(meant)
        assert all(any(name.encode("latin-1") == message[-1] for message in rest) for name in given_names)  # in order

    play(scenario)
