"""A configuration as a file: read, checked and described before it is sent."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import cbor2

from cypressbeam.admin.errors import UnusableFileError
from cypressbeam.protocol import configuration
from cypressbeam.protocol.configuration import Configuration, InvalidConfigurationError, RouteConfiguration

#: A setpoint over this share of the cut-off leaves no time for a second try.
LATE_SETPOINT = 0.5


def load(file: Path) -> bytes:
    """A configuration file as the CBOR that goes out. Raises UnusableFileError."""
    data = file.read_bytes()
    try:
        if file.suffix == ".json":
            return cbor2.dumps(json.loads(data))
        if file.suffix == ".toml":
            return cbor2.dumps(tomllib.loads(data.decode()))
    except ValueError as err:
        raise UnusableFileError(f"{file}: {err}") from None
    return data


async def check(file: Path) -> dict[str, Any]:
    """Why a configuration is invalid, or what is odd about it and where its routes lead."""
    try:
        read = configuration.read(load(file))
    except InvalidConfigurationError as err:
        return {"invalid": str(err), "odd": [], "routes": []}
    return {
        "invalid": None,
        "revision": read.revision,
        "odd": oddities(read),
        "routes": [describe_route(channel) for channel in read.routes],
    }


def describe_route(channel: RouteConfiguration) -> str:
    """Where a route leads, and how its requests are treated."""
    shares = channel.weighted_services()
    total = sum(share.weight for share in shares)
    leads = ", ".join(
        f"{share.service} {share.weight / total:.0%}" if len(shares) > 1 else share.service for share in shares
    )
    return (
        f"{channel.host}{channel.prefix} -> {leads} ({channel.mode}, {channel.tries} tries, wanted in"
        f" {channel.latency_target_ms:g} ms, given up after {channel.timeout_ms:g} ms, rank {channel.rank})"
    )


def oddities(read: Configuration) -> list[str]:
    """What is valid and probably not meant."""
    found = []
    led_to = {share.service for channel in read.routes for share in channel.weighted_services()}
    found += [f"plants[{plant.label}]: no route leads here" for plant in read.services if plant.label not in led_to]
    for channel in read.routes:
        where = f"channels[{channel.label}]"
        if channel.latency_target_ms > channel.timeout_ms:
            found.append(
                f"{where}: the aim of {channel.latency_target_ms:g} ms lies behind the end at {channel.timeout_ms:g} ms"
            )
        elif channel.tries > 1 and channel.latency_target_ms > LATE_SETPOINT * channel.timeout_ms:
            found.append(
                f"{where}: an aim of {channel.latency_target_ms:g} of {channel.timeout_ms:g} ms leaves little for a"
                " second try"
            )
        if channel.mode != "idempotent" and channel.tries > 1:
            found.append(f"{where}: {channel.mode} requests are tried again only where they surely did not run")
        found += [
            f"{where}.allocation: {share.service} has weight 0" for share in channel.allocation if share.weight == 0
        ]
    return found


def describe_check(found: dict[str, Any]) -> str:
    """What `check` found, a line each."""
    if found["invalid"]:
        return f"invalid: {found['invalid']}"
    return "\n".join(
        [
            f"valid: revision {found['revision']}, {len(found['routes'])} routes",
            *(f"  {route}" for route in found["routes"]),
            *(f"odd: {line}" for line in found["odd"]),
        ]
    )


def flatten(value: Any, at: str = "") -> dict[str, Any]:
    """A configuration as lines: each plain value by its place, rows by their label where they have one."""
    if isinstance(value, dict):
        parts = [(str(key), item) for key, item in value.items()]
    elif isinstance(value, list):
        parts = [
            (str(item.get("label", item.get("plant", number))) if isinstance(item, dict) else str(number), item)
            for number, item in enumerate(value)
        ]
    else:
        return {at: value}
    lines: dict[str, Any] = {}
    for key, item in parts:
        lines |= flatten(item, f"{at}.{key}" if at else key)
    return lines
