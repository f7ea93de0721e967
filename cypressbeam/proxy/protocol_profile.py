"""The differences between the supported wire protocols: header names and the formats of header values.

All protocols share one parser, one connection pool and one request table; a profile is the data that configures them.
Specified in WIRE-cypressbeam.md for the standalone program and in PROTOCOL.md for the gateway.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cypressbeam.balancing.interface import Report
from cypressbeam.proxy import response_validation
from cypressbeam.proxy.attempts import ReplyKind
from cypressbeam.proxy.http_responses import HOP_BY_HOP, Response
from cypressbeam.proxy.response_validation import RequestContext

#: The names of load figures on the wire, mapped to the names that the settings use.
LOAD_FIELD_NAMES = {
    "queue": "queue",
    "backlog": "queue",
    "inflight": "in_flight",
    "outstanding": "in_flight",
    "util": "utilization",
    "utilization": "utilization",
    "latency_ms": "latency_ms",
    "recent_ms": "latency_ms",
}


def parse_named_load(text: bytes | None) -> Report | None:
    """Parse a load report such as `queue=2,util=0.61`. Invalid fields are ignored, since a report is only a hint."""
    if text is None:
        return None
    values: dict[str, float] = {}
    for pair in text.decode("latin-1").split(","):
        name, _, number = pair.partition("=")
        field_name = LOAD_FIELD_NAMES.get(name.strip())
        try:
            value = float(number)
        except ValueError:
            continue
        if field_name and 0 <= value < float("inf"):
            values[field_name] = value
    service_ms = values.get("latency_ms")
    service_us = None if service_ms is None else service_ms * 1000.0
    return Report(values.get("queue"), service_us, values.get("in_flight"), values.get("utilization"))


def parse_load(text: bytes | None) -> Report | None:
    """Parse a load report such as `3,0,8`: requests running, requests waiting, slots. None if it is invalid."""
    parts = text.split(b",") if text is not None else []
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return Report(queue=float(waiting), in_flight=float(running), utilization=running / max(slots, 1))


def classify_standalone(response: Response) -> ReplyKind:
    if response.status == 200:
        return ReplyKind.SUCCESS
    if response.status in (503, 504) and response.header(b"not-started") == b"1":
        return ReplyKind.NOT_EXECUTED
    return ReplyKind.FAILURE


def classify_gateway(response: Response) -> ReplyKind:
    """A 421 comes from another server at this address: the intended one is not there."""
    if 200 <= response.status < 300:
        return ReplyKind.SUCCESS
    if response.status == 421:
        return ReplyKind.MISDIRECTED
    if response.header(b"not-executed") is not None:
        return ReplyKind.NOT_EXECUTED
    return ReplyKind.FAILURE


def no_checks(response: Response, context: RequestContext, trailing: bytes) -> str:
    """Servers of the standalone program send no proof in their responses."""
    return ""


@dataclass(frozen=True, slots=True)
class ProtocolProfile:
    """A wire protocol, used with clients and servers alike. Header names are in lower case."""

    request_id_header: bytes
    """Carries the request ID, which also appears in logs."""
    protected_headers: frozenset[bytes]
    """Headers that identify a request. Repeated ones are rejected, because node and server might each use a different
    one, and a Connection header can't remove them."""
    dropped_request_headers: frozenset[bytes]
    """Request headers that are rewritten for each server or concern a single connection."""
    dropped_response_headers: frozenset[bytes]
    """Response headers that concern the server or its connection and are not for the client."""
    load_header: bytes
    parse_load: Callable[[bytes | None], Report | None]
    classify: Callable[[Response], ReplyKind]
    address: Callable[[int, str], bytes]
    """Builds the header lines for a single server from the remaining milliseconds and the name of the server."""
    echoes_request_id: bool = False
    """Whether each server response carries the ID of its request in `request_id_header`."""
    failed_check: Callable[[Response, RequestContext, bytes], str] = no_checks
    """Returns why a success is rejected, given the bytes that followed it; empty if it is accepted."""


STANDALONE_PROFILE = ProtocolProfile(
    request_id_header=b"request-id",
    protected_headers=frozenset({b"request-id", b"idempotency-key", b"request-timeout", b"host", b"tenant"}),
    dropped_request_headers=HOP_BY_HOP | {b"request-timeout"},
    dropped_response_headers=HOP_BY_HOP | {b"server-load", b"not-started"},
    load_header=b"server-load",
    parse_load=parse_named_load,
    classify=classify_standalone,
    address=lambda remaining_ms, server: b"Request-Timeout: %dm\r\n" % remaining_ms,
)

GATEWAY_PROFILE = ProtocolProfile(
    request_id_header=b"attempt-id",
    protected_headers=frozenset({b"attempt-id", b"time-left-ms", b"host", b"target-server"}),
    dropped_request_headers=HOP_BY_HOP | {b"time-left-ms", b"target-server"},
    dropped_response_headers=HOP_BY_HOP | {b"server-load", b"not-executed"},
    load_header=b"server-load",
    parse_load=parse_load,
    classify=classify_gateway,
    address=lambda remaining_ms, server: b"Time-Left-Ms: %d\r\nTarget-Server: %s\r\n" % (remaining_ms, server.encode()),
    echoes_request_id=True,
    failed_check=response_validation.failed_check,
)
