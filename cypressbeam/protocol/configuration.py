"""The gateway's configuration as the operator sends it: schema, and the checks that make it valid (PROTOCOL.md)."""

from __future__ import annotations

import hashlib
import io
import math
from typing import Literal

import cbor2
import msgspec

from cypressbeam.errors import CypressbeamError

Mode = Literal["idempotent", "effectful", "ingest"]
#: Between nodes and on disk a version's number has eight bytes, with a sign. Other whole numbers have the same bound:
#: one of thousands of digits can't even be written as text.
MAX_REVISION = MAX_INTEGER = 2**63 - 1
#: The version of the check, up to 127: to be raised with each change of what is refused. While members of two versions
#: are there, what is no valid configuration is left without a clear answer (docs/design/orders.md).
CHECK_VERSION = 1


class InvalidConfigurationError(CypressbeamError):
    """A configuration that can't be taken: one line on where and why."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service among those that a route leads to. The names of the document stand in `name`."""

    service: str = msgspec.field(name="plant")
    weight: float = msgspec.field(name="gain")


class RouteConfiguration(msgspec.Struct, frozen=True, rename="camel"):
    """A route (a channel of the document). Times are in milliseconds."""

    label: str
    host: str
    prefix: str
    mode: Mode
    timeout_ms: float = msgspec.field(name="cutoffMs")
    """How long a request may take in all."""
    latency_target_ms: float = msgspec.field(name="setpointMs")
    """How soon an answer is wanted."""
    rank: int = 0
    """The lower, the more its requests are worth."""
    tries: int = 1
    service: str | None = msgspec.field(name="plant", default=None)
    allocation: tuple[WeightedService, ...] = ()

    def weighted_services(self) -> tuple[WeightedService, ...]:
        """The services that the route leads to, each with its weight above 0."""
        if self.service is not None:
            return (WeightedService(self.service, 1.0),)
        return tuple(weighted for weighted in self.allocation if weighted.weight > 0)


class ServiceConfiguration(msgspec.Struct, frozen=True, rename="camel"):
    """A service (a plant of the document)."""

    label: str
    probe: str = ""
    conn_limit: int = 0
    """Connections that one of its servers takes."""
    protocol: str = "h1"
    tls: bool = False


class Constraints(msgspec.Struct, frozen=True, rename="camel"):
    """What a client may send, and how long it may take or stay idle. Bytes and milliseconds."""

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
    """What tells one configuration's bytes from another's."""
    return hashlib.sha256(body).digest()


def host_name(text: str) -> str:
    """A host as routes and requests are compared by it: in small letters and without a port."""
    name = text.strip().lower()
    return name if name.endswith("]") else name.rpartition(":")[0] or name


def decode(body: bytes, committed: bool = False) -> object:
    """One whole CBOR item and nothing behind it, with no key twice in a map: readers differ in which one counts. What
    an earlier program has committed may have some: the last one counts. Raises InvalidConfigurationError, whatever the
    bytes are: the head judges them between the writes of other orders."""
    stream = io.BytesIO(body)
    try:
        value: object = cbor2.load(stream, allow_duplicate_keys=committed)
    except Exception as err:  # noqa: BLE001 (the decoder raises what it likes on hostile bytes)
        raise InvalidConfigurationError(f"no CBOR: {err}") from None
    if stream.tell() != len(body):
        raise InvalidConfigurationError("bytes behind the CBOR item")
    return value


def read(body: bytes) -> Configuration:
    """A configuration from its bytes, checked. Raises InvalidConfigurationError."""
    configuration = convert(decode(body))
    check(configuration)
    return configuration


def read_committed(body: bytes) -> Configuration:
    """One that the core has checked before it was committed, maybe by another program: only its form is read again.
    Raises InvalidConfigurationError."""
    return convert(decode(body, committed=True))


def convert(document: object) -> Configuration:
    """Raises InvalidConfigurationError for what has another form."""
    try:
        return msgspec.convert(document, Configuration)
    except (msgspec.ValidationError, ValueError, OverflowError, RecursionError) as err:
        raise InvalidConfigurationError(str(err)) from None


def check(configuration: Configuration) -> None:
    """Raises InvalidConfigurationError for what PROTOCOL.md calls invalid, and for what could not be carried out."""
    if not 0 < configuration.revision <= MAX_REVISION:
        raise InvalidConfigurationError(f"revision: 1 to {MAX_REVISION} is wanted")
    limits = configuration.constraints
    # Each by itself: what is no number compares with nothing, and would pass for the least of them.
    if not all(
        0 < figure < math.inf
        for figure in (limits.header_max_bytes, limits.body_max_bytes, limits.header_wait_ms, limits.quiet_ms)
    ):
        raise InvalidConfigurationError("constraints: each must be above 0, and a number")
    if max(limits.header_max_bytes, limits.body_max_bytes) > MAX_INTEGER:
        raise InvalidConfigurationError(f"constraints: at most {MAX_INTEGER} bytes")
    services = {plant.label for plant in configuration.services}
    if len(services) != len(configuration.services):
        raise InvalidConfigurationError("plants: two have the same label")
    places: dict[tuple[str, str], str] = {}
    for channel in configuration.routes:
        check_channel(channel, services)
        place = (host_name(channel.host), channel.prefix)
        if place in places:
            raise InvalidConfigurationError(f"channels[{channel.label}]: host and prefix are those of {places[place]}")
        places[place] = channel.label


def check_channel(channel: RouteConfiguration, services: set[str]) -> None:
    """One route by itself. Raises InvalidConfigurationError."""
    where = f"channels[{channel.label}]"
    if not host_name(channel.host):
        raise InvalidConfigurationError(f"{where}.host: a name is wanted")
    if not (channel.prefix.startswith("/") and channel.prefix.endswith("/")):
        raise InvalidConfigurationError(f"{where}.prefix: must begin and end with a slash, not {channel.prefix!r}")
    if not 0 < channel.timeout_ms < 1e9 or not 0 <= channel.latency_target_ms < 1e9:
        raise InvalidConfigurationError(f"{where}: cutoffMs must be above 0, setpointMs at least 0")
    if not (0 <= channel.tries <= MAX_INTEGER and 0 <= channel.rank <= MAX_INTEGER):
        raise InvalidConfigurationError(f"{where}: tries and rank must be 0 to {MAX_INTEGER}")
    if (channel.service is None) == (not channel.allocation):
        raise InvalidConfigurationError(f"{where}: either plant or allocation is wanted")
    named = {channel.service} if channel.service is not None else {share.service for share in channel.allocation}
    if unknown := named - services:
        raise InvalidConfigurationError(f"{where}: unknown service {min(map(str, unknown))}")
    total = sum(share.weight for share in channel.weighted_services())
    if any(not share.weight >= 0 for share in channel.allocation) or not 0 < total < math.inf:
        raise InvalidConfigurationError(
            f"{where}.allocation: the weights must be at least 0, not add up to 0, and their sum a number"
        )
