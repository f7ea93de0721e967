"""Invalid configurations are rejected whenever and however they arrive; valid ones can be applied."""

from __future__ import annotations

import math
from typing import Any
from unittest.mock import Mock

import cbor2
import pytest

from cypressbeam.consensus.chain import MAX_RESULT_TEXT, ChainReplica
from cypressbeam.consensus.effects import PersistEntry, SendMessage
from cypressbeam.consensus.views import View
from cypressbeam.node.control_api import ControlApi
from cypressbeam.node.core_machine import revision_of
from cypressbeam.protocol import configuration, frames
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage
from cypressbeam.proxy.routing import RoutingTable
from lab.local_cluster import HOST, demo_configuration
from tests.loopback import run

SINGLE_MEMBER_VIEW = View(256, ("a/1",), ("a/1",))
IN_FORCE, NEXT = 7, 9
Document = dict[str, Any]


def with_route(revision: int = NEXT, **changes: Any) -> Document:
    document = demo_configuration(revision)
    document["channels"][0] |= changes
    return document


def split(*gains: float, plants: tuple[str, ...] = ("finder", "booker")) -> Document:
    document = with_route(
        allocation=[{"plant": plant, "gain": gain} for plant, gain in zip(plants, gains, strict=True)]
    )
    del document["channels"][0]["plant"]
    return document


def another_route(**changes: Any) -> Document:
    document = demo_configuration(NEXT)
    document["channels"].append(document["channels"][0] | {"label": "added"} | changes)
    return document


def revised(revision: Any) -> bytes:
    return cbor2.dumps(demo_configuration(revision))


def pairs(*items: tuple[str, Any]) -> bytes:
    """A CBOR map with these keys; a key may be repeated."""
    return bytes([0xA0 + len(items)]) + b"".join(cbor2.dumps(key) + cbor2.dumps(value) for key, value in items)


DEMO = cbor2.dumps(demo_configuration(NEXT))
ITEMS = tuple(demo_configuration(NEXT).items())
#: The base revision and the body of a write, by the kind of error.
BAD_CONFIGURATIONS: dict[str, tuple[int, bytes]] = {
    "cut_short": (IN_FORCE, DEMO[:-40]),
    "unknown_service": (IN_FORCE, cbor2.dumps(with_route(plant="nobody"))),
    "same_place": (IN_FORCE, cbor2.dumps(another_route())),
    "no_weight": (IN_FORCE, cbor2.dumps(split(0, 0))),
    "no_timeout": (IN_FORCE, cbor2.dumps(with_route(cutoffMs=0))),
    "old_version": (IN_FORCE, cbor2.dumps(with_route(IN_FORCE - 1, tries=3))),
    "same_version": (IN_FORCE, cbor2.dumps(with_route(IN_FORCE, tries=3))),
    "stale_match": (IN_FORCE - 2, cbor2.dumps(with_route(tries=3))),
    "shared_key": (IN_FORCE, pairs(("revision", NEXT + 1), *ITEMS)),
}
VALID = cbor2.dumps(with_route(tries=4))


def head() -> ChainReplica:
    """A single replica that is both head and tail, with revisions 5 and 7 committed."""
    replica = ChainReplica("a", SINGLE_MEMBER_VIEW, revision_of, configuration.digest, active=True)
    for base, revision in ((0, IN_FORCE - 2), (IN_FORCE - 2, IN_FORCE)):
        assert submit_write(replica, base, cbor2.dumps(demo_configuration(revision))) == {}
        persist(replica)
    return replica


def submit_write(member: ChainReplica, base: int, body: bytes, ident: int = 1) -> dict[int, int]:
    """Submit a write; returns the results that are sent immediately."""
    return results_of(member.submit(frames.WriteRequest(ident, "client", base, body), 0.0))


def persist(member: ChainReplica) -> dict[int, int]:
    assert member.persisting is not None
    return results_of(member.entry_persisted(member.persisting, 0.0))


def results_of(actions: list[Any]) -> dict[int, int]:
    return {
        one.frame.request_id: one.frame.status
        for one in actions
        if isinstance(one, SendMessage) and isinstance(one.frame, frames.WriteResult)
    }


@pytest.mark.parametrize("kind", BAD_CONFIGURATIONS)
def test_each_kind_of_bad_configuration_is_rejected_alone_in_a_race_and_when_repeated(kind: str) -> None:
    base, body = BAD_CONFIGURATIONS[kind]
    alone = head()
    for ident in (1, 2):  # repeated, as if the first response was lost
        assert submit_write(alone, base, body, ident)[ident] in (400, 412) and alone.persisting is None
    for bad_first in (True, False):
        member = head()
        answers = submit_write(member, base, body, 1) if bad_first else {}
        answers |= submit_write(member, IN_FORCE, VALID, 2) | submit_write(member, base, body, 3)
        assert member.persisting is not None and member.persisting.body == VALID and 2 not in answers
        answers |= persist(member) | submit_write(member, base, body, 4) | submit_write(member, IN_FORCE, VALID, 5)
        assert answers.pop(2) == answers.pop(5) == 200
        assert set(answers) == {1, 3, 4} if bad_first else {3, 4}
        assert set(answers.values()) <= {400, 412} and member.revision == NEXT
        assert configuration.digest(body) not in member.applied_digests.values()


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (pairs(*ITEMS, ("revision", NEXT)), "Duplicate"),
        (cbor2.dumps(with_route()).replace(cbor2.dumps("tries") + b"\x02", cbor2.dumps("rank") + b"\x02"), "Duplicate"),
        (revised(math.nan), "revision"),
        (revised(9.0), "revision"),
        (revised(True), "revision"),
        (revised(-1), "revision"),
        (revised(10**5000), "revision"),
        (cbor2.dumps(with_route(tries=10**5000)), "tries"),
        (cbor2.dumps(with_route(rank=2**63)), "rank"),
        (cbor2.dumps(with_route(cutoffMs=math.nan)), "cutoffMs"),
        (cbor2.dumps(with_route(cutoffMs=True)), "cutoffMs"),
        (cbor2.dumps(with_route(cutoffMs=10**400)), "range"),
        (cbor2.dumps(with_route(prefix="")), "slash"),
        (cbor2.dumps(with_route(prefix="/find")), "slash"),
        (cbor2.dumps(with_route(host=" ")), "host"),
        (cbor2.dumps(with_route(plant="")), "unknown service"),
        (cbor2.dumps(another_route(host=HOST.upper())), "host and prefix"),
        (cbor2.dumps(another_route(host=f"{HOST}:80")), "host and prefix"),
        (cbor2.dumps(another_route(host=f" {HOST} ")), "host and prefix"),
        (cbor2.dumps(split(1e308, 1e308)), "weights"),
        (cbor2.dumps(split(math.nan, 1)), "weights"),
        (cbor2.dumps(split(math.inf, 1)), "weights"),
        (cbor2.dumps(split(1, 0, plants=("finder", "nobody"))), "unknown"),
        (cbor2.dumps(with_route(allocation=[{"plant": "finder", "gain": 1}])), "either plant or allocation"),
        (cbor2.dumps(with_route(plant=None)), "either plant or allocation"),
        (cbor2.dumps(with_route() | {"plants": demo_configuration()["plants"] * 2}), "same label"),
        (cbor2.dumps(with_route() | {"constraints": {"bodyMaxBytes": 2**63}}), "constraints"),
        (cbor2.dumps(with_route() | {"constraints": {"quietMs": math.nan}}), "constraints"),
        (cbor2.dumps(with_route() | {"constraints": {"headerMaxBytes": 0}}), "constraints"),
        (DEMO + b"\xf6", "behind"),
        (b"\xbf" + DEMO[1:], "CBOR"),
        (b"\x81" * 100_000, "CBOR"),
        (b"\x9b" + b"\xff" * 8, "CBOR"),
        (cbor2.dumps(cbor2.CBORTag(5, [2**62, 3])), "CBOR"),
        (b"\xd8\x1c\x81\xd8\x1d\x00", "object"),
    ],
    ids=lambda value: str(value)[:30],
)
def test_malformed_bytes_are_rejected(body: bytes, message: str) -> None:
    with pytest.raises(configuration.InvalidConfigurationError, match=message):
        configuration.read(body)


@pytest.mark.parametrize(
    "body",
    [
        b"\xbf" + DEMO[1:] + b"\xff",
        DEMO.replace(cbor2.dumps("find"), b"\x7f\x62fi\x62nd\xff", 1),
        DEMO.replace(cbor2.dumps("revision") + b"\x09", cbor2.dumps("revision") + b"\xc2\x41\x09"),
        cbor2.dumps(cbor2.CBORTag(55799, demo_configuration(NEXT))),
    ],
    ids=["map", "text", "number", "tag"],
)
def test_other_encodings_of_the_same_configuration_are_accepted(body: bytes) -> None:
    """Indefinite lengths, a small number encoded as a bignum, and a map with the CBOR tag."""
    assert configuration.read(body) == configuration.read(DEMO) and body != DEMO


def test_a_configuration_committed_by_an_earlier_version_is_served_even_if_invalid_now() -> None:
    """Otherwise nodes with two program versions would apply different configurations."""
    for body in (pairs(*ITEMS, ("revision", NEXT + 1)), cbor2.dumps(another_route(host=f"{HOST}:80"))):
        assert RoutingTable(configuration.read_committed(body)).find(HOST, "/find/1") is not None


def test_a_route_whose_host_has_a_port_is_served() -> None:
    table = RoutingTable(configuration.read(cbor2.dumps(another_route(host="Shop.example:8443"))))
    assert all(table.find(host, "/find/1") for host in ("shop.example", "shop.example:80", "SHOP.example:8443"))


@pytest.mark.parametrize(
    "body",
    [
        cbor2.dumps(with_route(plant="n" * 100_000)),
        cbor2.dumps(with_route(label="\u00e9" * 70_000, cutoffMs=0)),
        cbor2.dumps(with_route(mode="m" * 100_000)),
    ],
    ids=["service", "label", "mode"],
)
def test_a_rejection_fits_into_its_frame_whatever_was_sent(body: bytes) -> None:
    """A text has a length of two bytes: a longer rejection could not be sent, nor were later actions executed."""
    member = head()
    submit_write(member, IN_FORCE, VALID, 1)
    submit_write(member, NEXT, body, 2)
    submit_write(member, NEXT, cbor2.dumps(with_route(NEXT + 1, tries=5)), 3)
    assert member.persisting is not None
    actions = member.entry_persisted(member.persisting, 0.0)
    assert results_of(actions) == {1: 200, 2: 400} and isinstance(actions[-1], PersistEntry)
    for action in actions:
        if isinstance(action, SendMessage) and isinstance(action.frame, frames.WriteResult):
            assert action.frame.pack() and len(action.frame.text) <= MAX_RESULT_TEXT


@pytest.mark.parametrize(
    ("base", "taken"),
    [
        (str(configuration.MAX_REVISION), True),
        ("0", True),
        (str(configuration.MAX_REVISION + 1), False),
        ("9" * 5000, False),
        ("-1", False),
        ("1.0", False),
        ("", False),
    ],
    ids=lambda value: str(value)[:25],
)
def test_any_revision_that_may_be_in_force_is_accepted_as_the_base(base: str, taken: bool) -> None:
    passed: list[frames.Frame] = []
    message = RequestMessage(
        b"POST", b"/-/Configuration.Replace", [(b"base-revision", b"Base-Revision", base.encode())], b"x", True, 0
    )

    async def scenario() -> None:
        control = ControlApi("10.0.0.1", lambda: ("10.0.0.2",), lambda ip, frame: passed.append(frame), Mock())
        control.replace(message, Mock())
        control.client_disconnected(next(iter(control.pending_calls)))

    if taken:
        run(scenario())
        assert isinstance(passed[0], frames.WriteRequest) and passed[0].base == int(base)
        assert passed[0].pack()  # the base fits into the frame
    else:
        with pytest.raises(BadRequestError):
            run(scenario())
