"""Configuration files: reading, validation and description before they are sent."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import cbor2

from cypressbeam.admin.errors import InvalidFileError
from cypressbeam.protocol import configuration
from cypressbeam.protocol.configuration import Configuration, InvalidConfigurationError, RouteConfiguration

#: A target latency above this fraction of the timeout leaves no time for a second try.
MAX_TARGET_FRACTION = 0.5


def load(file: Path) -> bytes:
    """Reads a configuration file and converts it to CBOR. Raises InvalidFileError."""
    data = file.read_bytes()
    try:
        if file.suffix == ".json":
            return cbor2.dumps(json.loads(data))
        if file.suffix == ".toml":
            return cbor2.dumps(tomllib.loads(data.decode()))
    except ValueError as err:
        raise InvalidFileError(f"{file}: {err}") from None
    return data


async def check(file: Path) -> dict[str, Any]:
    """Validates a configuration: the reason why it is invalid, or warnings and a description of its routes."""
    try:
        parsed = configuration.read(load(file))
    except InvalidConfigurationError as err:
        return {"invalid": str(err), "odd": [], "routes": []}
    return {
        "invalid": None,
        "revision": parsed.revision,
        "odd": find_warnings(parsed),
        "routes": [describe_route(route) for route in parsed.routes],
    }


def describe_route(route: RouteConfiguration) -> str:
    """Describes the match, the services and the limits of a route."""
    services = route.weighted_services()
    total = sum(weighted.weight for weighted in services)
    targets = ", ".join(
        f"{weighted.service} {weighted.weight / total:.0%}" if len(services) > 1 else weighted.service
        for weighted in services
    )
    return (
        f"{route.host}{route.prefix} -> {targets} ({route.mode}, {route.tries} tries, wanted in"
        f" {route.latency_target_ms:g} ms, given up after {route.timeout_ms:g} ms, rank {route.rank})"
    )


def find_warnings(parsed: Configuration) -> list[str]:
    """Finds settings that are valid but probably unintended."""
    warnings = []
    used = {weighted.service for route in parsed.routes for weighted in route.weighted_services()}
    warnings += [
        f"plants[{service.label}]: no route leads here" for service in parsed.services if service.label not in used
    ]
    for route in parsed.routes:
        where = f"channels[{route.label}]"
        if route.latency_target_ms > route.timeout_ms:
            warnings.append(
                f"{where}: the aim of {route.latency_target_ms:g} ms lies behind the end at {route.timeout_ms:g} ms"
            )
        elif route.tries > 1 and route.latency_target_ms > MAX_TARGET_FRACTION * route.timeout_ms:
            warnings.append(
                f"{where}: an aim of {route.latency_target_ms:g} of {route.timeout_ms:g} ms leaves little for a"
                " second try"
            )
        if route.mode != "idempotent" and route.tries > 1:
            warnings.append(f"{where}: {route.mode} requests are tried again only where they surely did not run")
        warnings += [
            f"{where}.allocation: {weighted.service} has weight 0"
            for weighted in route.allocation
            if weighted.weight == 0
        ]
    return warnings


def describe_check(result: dict[str, Any]) -> str:
    """Formats the result of `check`, one line for each route and warning."""
    if result["invalid"]:
        return f"invalid: {result['invalid']}"
    return "\n".join(
        [
            f"valid: revision {result['revision']}, {len(result['routes'])} routes",
            *(f"  {route}" for route in result["routes"]),
            *(f"odd: {warning}" for warning in result["odd"]),
        ]
    )


def flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Flattens a configuration to a map from path to scalar value. List items are named by their label, if any."""
    if isinstance(value, dict):
        parts = [(str(key), item) for key, item in value.items()]
    elif isinstance(value, list):
        parts = [
            (str(item.get("label", item.get("plant", number))) if isinstance(item, dict) else str(number), item)
            for number, item in enumerate(value)
        ]
    else:
        return {path: value}
    values: dict[str, Any] = {}
    for key, item in parts:
        values |= flatten(item, f"{path}.{key}" if path else key)
    return values
