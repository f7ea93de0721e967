"""The gateway configuration that the operator sends: its schema and validation rules (PROTOCOL.md)."""

from __future__ import annotations

import hashlib
import io
import math
from typing import Literal

import cbor2
import msgspec

from cypressbeam.errors import CypressbeamError

Mode = Literal["idempotent", "effectful", "ingest"]
#: A revision is a signed 8-byte integer in messages and on disk. Other integers have the same limit, because Python
#: refuses to format an integer with thousands of digits.
MAX_REVISION = MAX_INTEGER = 2**63 - 1
#: The version of the validation rules, at most 127. Increment it whenever the set of rejected configurations changes.
#: While members with two versions run, an invalid configuration gets no definite answer (docs/design/orders.md).
CHECK_VERSION = 1


class InvalidConfigurationError(CypressbeamError):
    """An invalid configuration. The message is one line with the location and the reason."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests. `name` gives the field names of the document."""

    service: str = msgspec.field(name="plant")
    weight: float = msgspec.field(name="gain")


class RouteConfiguration(msgspec.Struct, frozen=True, rename="camel"):
    """A route (a channel in the document). Times are in milliseconds."""

    label: str
    host: str
    prefix: str
    mode: Mode
    timeout_ms: float = msgspec.field(name="cutoffMs")
    """The time limit for a request, including retries."""
    latency_target_ms: float = msgspec.field(name="setpointMs")
    """The target latency of a response."""
    rank: int = 0
    """Priority: requests with a lower rank have a higher value."""
    tries: int = 1
    service: str | None = msgspec.field(name="plant", default=None)
    allocation: tuple[WeightedService, ...] = ()

    def weighted_services(self) -> tuple[WeightedService, ...]:
        """The services that receive requests of this route; services with weight 0 are left out."""
        if self.service is not None:
            return (WeightedService(self.service, 1.0),)
        return tuple(weighted for weighted in self.allocation if weighted.weight > 0)


class ServiceConfiguration(msgspec.Struct, frozen=True, rename="camel"):
    """A service (a plant in the document)."""

    label: str
    probe: str = ""
    conn_limit: int = 0
    """The maximum number of connections to each server."""
    protocol: str = "h1"
    tls: bool = False


class Constraints(msgspec.Struct, frozen=True, rename="camel"):
    """Limits for client requests: sizes in bytes, timeouts and idle time in milliseconds."""

    header_max_bytes: int = 16384
    body_max_bytes: int = 64 * 1024 * 1024
    header_wait_ms: float = 3000
    quiet_ms: float = 15000


class Configuration(msgspec.Struct, frozen=True):
    """The operator's configuration document."""

    revision: int
    routes: tuple[RouteConfiguration, ...] = msgspec.field(name="channels")
    services: tuple[ServiceConfiguration, ...] = msgspec.field(name="plants")
    constraints: Constraints = Constraints()


def digest(body: bytes) -> bytes:
    """The SHA-256 digest that identifies the bytes of a configuration."""
    return hashlib.sha256(body).digest()


def normalize_host(text: str) -> str:
    """The normalized form by which hosts of routes and requests are compared: lower case, without a port."""
    name = text.strip().lower()
    return name if name.endswith("]") else name.rpartition(":")[0] or name


def decode(body: bytes, committed: bool = False) -> object:
    """Decodes exactly one CBOR item without trailing data.

    A map with a duplicate key is rejected, because decoders differ in which value they use. A configuration committed
    by an earlier version may contain duplicates; the last value is used. Raises InvalidConfigurationError for any
    invalid input: the head of the chain validates it while it processes other writes.
    """
    stream = io.BytesIO(body)
    try:
        value: object = cbor2.load(stream, allow_duplicate_keys=committed)
    except Exception as err:  # noqa: BLE001 (the decoder raises arbitrary exceptions on malformed bytes)
        raise InvalidConfigurationError(f"no CBOR: {err}") from None
    if stream.tell() != len(body):
        raise InvalidConfigurationError("bytes behind the CBOR item")
    return value


def read(body: bytes) -> Configuration:
    """Decodes and validates a configuration. Raises InvalidConfigurationError."""
    configuration = convert(decode(body))
    check(configuration)
    return configuration


def read_committed(body: bytes) -> Configuration:
    """Decodes a committed configuration without validating it again: the core did so before the commit, possibly with
    the rules of another version. Raises InvalidConfigurationError if it does not match the schema."""
    return convert(decode(body, committed=True))


def convert(document: object) -> Configuration:
    """Converts a decoded document. Raises InvalidConfigurationError if it does not match the schema."""
    try:
        return msgspec.convert(document, Configuration)
    except (msgspec.ValidationError, ValueError, OverflowError, RecursionError) as err:
        raise InvalidConfigurationError(str(err)) from None


def check(configuration: Configuration) -> None:
    """Raises InvalidConfigurationError if PROTOCOL.md calls the configuration invalid, or if it cannot be applied."""
    if not 0 < configuration.revision <= MAX_REVISION:
        raise InvalidConfigurationError(f"revision: 1 to {MAX_REVISION} is wanted")
    limits = configuration.constraints
    # Compare each value separately: with NaN, comparisons are false, and min() could return another value.
    if not all(
        0 < limit < math.inf
        for limit in (limits.header_max_bytes, limits.body_max_bytes, limits.header_wait_ms, limits.quiet_ms)
    ):
        raise InvalidConfigurationError("constraints: each must be above 0, and a number")
    if max(limits.header_max_bytes, limits.body_max_bytes) > MAX_INTEGER:
        raise InvalidConfigurationError(f"constraints: at most {MAX_INTEGER} bytes")
    services = {service.label for service in configuration.services}
    if len(services) != len(configuration.services):
        raise InvalidConfigurationError("plants: two have the same label")
    labels: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        check_route(route, services)
        match = (normalize_host(route.host), route.prefix)
        if match in labels:
            raise InvalidConfigurationError(f"channels[{route.label}]: host and prefix are those of {labels[match]}")
        labels[match] = route.label


def check_route(route: RouteConfiguration, services: set[str]) -> None:
    """Validates a single route. Raises InvalidConfigurationError."""
    where = f"channels[{route.label}]"
    if not normalize_host(route.host):
        raise InvalidConfigurationError(f"{where}.host: a name is wanted")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise InvalidConfigurationError(f"{where}.prefix: must begin and end with a slash, not {route.prefix!r}")
    if not 0 < route.timeout_ms < 1e9 or not 0 <= route.latency_target_ms < 1e9:
        raise InvalidConfigurationError(f"{where}: cutoffMs must be above 0, setpointMs at least 0")
    if not (0 <= route.tries <= MAX_INTEGER and 0 <= route.rank <= MAX_INTEGER):
        raise InvalidConfigurationError(f"{where}: tries and rank must be 0 to {MAX_INTEGER}")
    if (route.service is None) == (not route.allocation):
        raise InvalidConfigurationError(f"{where}: either plant or allocation is wanted")
    named = {route.service} if route.service is not None else {weighted.service for weighted in route.allocation}
    if unknown := named - services:
        raise InvalidConfigurationError(f"{where}: unknown service {min(map(str, unknown))}")
    total = sum(weighted.weight for weighted in route.weighted_services())
    if any(not weighted.weight >= 0 for weighted in route.allocation) or not 0 < total < math.inf:
        raise InvalidConfigurationError(
            f"{where}.allocation: the weights must be at least 0, not add up to 0, and their sum a number"
        )
