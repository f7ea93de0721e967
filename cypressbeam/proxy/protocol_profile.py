"""What differs between the wires that this program speaks: names of headers, and how figures are written.

One parser, one pool and one table of requests serve all of them; a dialect is the data that they take.
Sources: WIRE-cypressbeam.md for the older program, PROTOCOL.md for the gateway.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cypressbeam.balancing.interface import Report
from cypressbeam.proxy import response_validation
from cypressbeam.proxy.attempts import ReplyKind
from cypressbeam.proxy.http_responses import HOP_BY_HOP, Answer
from cypressbeam.proxy.response_validation import RequestContext

#: The names of load figures on sockets, with those that the settings use.
LOAD_NAMES = {
    "queue": "queue",
    "backlog": "queue",
    "inflight": "in_flight",
    "outstanding": "in_flight",
    "util": "utilization",
    "utilization": "utilization",
    "latency_ms": "latency_ms",
    "recent_ms": "latency_ms",
}


def read_report(text: bytes | None) -> Report | None:
    """A load report such as `queue=2,util=0.61`. What can't be read is left out; it is only advice."""
    if text is None:
        return None
    seen: dict[str, float] = {}
    for pair in text.decode("latin-1").split(","):
        name, _, figure = pair.partition("=")
        known = LOAD_NAMES.get(name.strip())
        try:
            value = float(figure)
        except ValueError:
            continue
        if known and 0 <= value < float("inf"):
            seen[known] = value
    service_ms = seen.get("latency_ms")
    service_us = None if service_ms is None else service_ms * 1000.0
    return Report(seen.get("queue"), service_us, seen.get("in_flight"), seen.get("utilization"))


def read_load(text: bytes | None) -> Report | None:
    """A load report such as `3,0,8`: requests running, requests waiting, slots. None if it can't be read."""
    parts = text.split(b",") if text is not None else []
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return Report(queue=float(waiting), in_flight=float(running), utilization=running / max(slots, 1))


def classify_standalone(answer: Answer) -> ReplyKind:
    if answer.status == 200:
        return ReplyKind.SUCCESS
    if answer.status in (503, 504) and answer.header(b"not-started") == b"1":
        return ReplyKind.NOT_EXECUTED
    return ReplyKind.FAILURE


def classify_gateway(answer: Answer) -> ReplyKind:
    """421 is another server's word at this address: the one that was meant is not there."""
    if 200 <= answer.status < 300:
        return ReplyKind.SUCCESS
    if answer.status == 421:
        return ReplyKind.MISDIRECTED
    if answer.header(b"not-executed") is not None:
        return ReplyKind.NOT_EXECUTED
    return ReplyKind.FAILURE


def flaw_node(answer: Answer, asked: RequestContext, behind: bytes) -> str:
    """The older program's servers put no proof into their answers."""
    return ""


@dataclass(frozen=True, slots=True)
class ProtocolProfile:
    """One wire, towards clients and servers alike. Header names are in lower case."""

    ident: bytes
    """Names a request, also in logs."""
    essential: frozenset[bytes]
    """Headers that say what a request is. Given twice, node and server might each take another one for it;
    and a Connection header can't have them left out."""
    not_passed_on: frozenset[bytes]
    """Headers of a request that are written anew for a server, or concern one connection."""
    not_passed_back: frozenset[bytes]
    """Headers of an answer that speak of the server or of its connection, not to the client."""
    load: bytes
    read_load: Callable[[bytes | None], Report | None]
    judge: Callable[[Answer], ReplyKind]
    address: Callable[[int, str], bytes]
    """The lines that a server gets beside the client's: milliseconds left, and its own name."""
    names_answers: bool = False
    """Whether each answer of a server names its request by the `ident` header."""
    flaw: Callable[[Answer, RequestContext, bytes], str] = flaw_node
    """Why a success does not count, with the bytes that came behind it; empty where it does."""


STANDALONE_PROFILE = ProtocolProfile(
    ident=b"request-id",
    essential=frozenset({b"request-id", b"idempotency-key", b"request-timeout", b"host", b"tenant"}),
    not_passed_on=HOP_BY_HOP | {b"request-timeout"},
    not_passed_back=HOP_BY_HOP | {b"server-load", b"not-started"},
    load=b"server-load",
    read_load=read_report,
    judge=classify_standalone,
    address=lambda left_ms, server: b"Request-Timeout: %dm\r\n" % left_ms,
)

GATEWAY_PROFILE = ProtocolProfile(
    ident=b"attempt-id",
    essential=frozenset({b"attempt-id", b"time-left-ms", b"host", b"target-server"}),
    not_passed_on=HOP_BY_HOP | {b"time-left-ms", b"target-server"},
    not_passed_back=HOP_BY_HOP | {b"server-load", b"not-executed"},
    load=b"server-load",
    read_load=read_load,
    judge=classify_gateway,
    address=lambda left_ms, server: b"Time-Left-Ms: %d\r\nTarget-Server: %s\r\n" % (left_ms, server.encode()),
    names_answers=True,
    flaw=response_validation.flaw,
)
