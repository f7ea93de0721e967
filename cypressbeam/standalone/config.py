"""The configuration of a standalone node, read from the JSON file that `EDGE_CONFIG` names."""

from __future__ import annotations

import json
import logging
import resource
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from cypressbeam.balancing.interface import Settings
from cypressbeam.errors import CypressbeamError
from cypressbeam.protocol.address import Address, read_address
from cypressbeam.proxy.frontend import CLIENT_CONNECTION_SHARE
from cypressbeam.standalone.discovery import ServerList, parse_server_list
from cypressbeam.standalone.profile import Profile

log = logging.getLogger(__name__)

#: File descriptors reserved for everything but client and server connections: standard streams, the event loop, the
#: listening socket and discovery.
RESERVED_DESCRIPTORS = 20
#: Client connections beyond the limit that are accepted only to be answered with 503.
OVERFLOW_CONNECTIONS = 12
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_IDLE_US = 15_000_000


class ConfigError(CypressbeamError):
    """The configuration is invalid. The text is a single line."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    known: ServerList
    has_local_agent: bool
    """Whether a local agent provides the server list; otherwise it comes from the discovery service."""
    connect_timeout_us: int
    idle_us: int
    """Idle time after which servers close a connection."""
    client_connections: int
    server_connections: int


def flatten_settings(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Flatten settings to paths and text values, as in the PROVISION message of the simulator."""
    if isinstance(value, dict):
        for name, nested in value.items():
            yield from flatten_settings(nested, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for number, item in enumerate(value):
            yield from flatten_settings(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def parse_seed(value: object) -> int:
    if isinstance(value, int):
        return value
    if isinstance(value, str):
        return int(value, 16)
    raise ValueError(f"hex digits are needed, not {value!r}")


def max_descriptors(limits: object) -> int:
    """The maximum number of open file descriptors: the configured limit, or that of the system if it is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    configured = limits.get("sockets") if isinstance(limits, dict) else None
    if configured is None:
        return min(soft, 1024)
    if not isinstance(configured, int) or configured <= 0:
        raise ValueError(f"sockets: a number above 0 is needed, not {configured!r}")
    return min(soft, configured) if soft != resource.RLIM_INFINITY else configured


def load_config(environ: Mapping[str, str]) -> Config:
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        document = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as err:
        raise ConfigError(f"EDGE_CONFIG: {path}: {err.strerror}") from None
    except (ValueError, RecursionError) as err:
        raise ConfigError(f"EDGE_CONFIG: {path}: invalid JSON: {err}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"EDGE_CONFIG: {path}: an object is needed")
    return parse_config(document, environ)


def reload_config(old: Config, environ: Mapping[str, str]) -> Config:
    """Read the configuration again and return the old one with the changes that can be applied without a restart.

    EDGE_DISCOVERY is ignored, because it still holds the address from the start of the node.
    """
    new = load_config({name: value for name, value in environ.items() if name != "EDGE_DISCOVERY"})
    reloaded = replace(old, discovery=new.discovery)
    if replace(new, seed=old.seed, known=old.known) != reloaded:
        log.warning("reload: only discovery is taken up, other changes wait for a restart")
    return reloaded


def parse_config(document: Mapping[str, object], environ: Mapping[str, str]) -> Config:
    key = ""
    try:
        key = "listen"
        listen = read_address(environ.get("EDGE_LISTEN") or document.get("listen"))
        key = "discovery"
        discovery = read_address(environ.get("EDGE_DISCOVERY") or document.get("discovery"))
        key = "seed"
        seed = parse_seed(document.get("seed", 0))
        key = "known"
        known = parse_server_list(document.get("known", {"generation": 0, "reset": True, "instances": []}))
        key = "limits"
        usable = max_descriptors(document.get("limits")) - RESERVED_DESCRIPTORS - OVERFLOW_CONNECTIONS
        if usable < 2:
            raise ValueError(f"sockets: at least {RESERVED_DESCRIPTORS + OVERFLOW_CONNECTIONS + 2} are needed")
        key = "settings"
        if not isinstance(document.get("settings"), dict):
            raise ValueError("an object is needed")
        profile = Profile(dict(flatten_settings(document["settings"])))
        settings = profile.settings()
        clients = max(1, int(usable * CLIENT_CONNECTION_SHARE))
        return Config(
            name=str(environ.get("EDGE_NAME") or document.get("name") or "node"),
            listen=listen,
            discovery=discovery,
            seed=seed,
            settings=settings,
            known=known,
            has_local_agent=not settings.must_subscribe,
            connect_timeout_us=profile.integer("bounds.connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT_US),
            idle_us=profile.integer("bounds.connIdleUs", DEFAULT_IDLE_US),
            client_connections=min(clients, profile.integer("bounds.maxOpen", usable)),
            server_connections=usable - clients,
        )
    except ValueError as err:
        raise ConfigError(f"configuration: {key}: {' '.join(str(err).split())}") from None
