"""Reads and replaces the configuration in force, and compares it with a file."""

from __future__ import annotations

from pathlib import Path

import cbor2

from cypressbeam.admin.calls import call
from cypressbeam.admin.config_file import flatten, load
from cypressbeam.admin.errors import RequestRejectedError
from cypressbeam.node.control_api import READ_PATH, REPLACE_PATH
from cypressbeam.protocol import configuration
from cypressbeam.protocol.address import Address, read_address
from cypressbeam.proxy.http_responses import Response

MAX_REDIRECTS = 2


def read_location(response: Response) -> Address:
    """The target of a redirect; nodes with a slow link redirect reads. Raises RequestRejectedError."""
    location = (response.header(b"location") or b"").decode("latin-1")
    try:
        return read_address(location.removeprefix("http://").partition("/")[0])
    except ValueError:
        raise RequestRejectedError(f"307: invalid Location {location!r}, expected http://host:port") from None


async def read(control: Address) -> bytes:
    """The configuration in force. Raises RequestRejectedError, whose message begins with 404 if there is none yet."""
    response = await call(control, "GET", READ_PATH)
    for _ in range(MAX_REDIRECTS):
        if response.status != 307:
            break
        response = await call(read_location(response), "GET", READ_PATH)
    if response.status != 200:
        raise RequestRejectedError(
            f"{response.status}: {response.body.decode(errors='replace').strip() or 'no configuration'}"
        )
    return response.body


async def revision(control: Address) -> int:
    """The revision in force, or 0 if there is none yet."""
    try:
        return configuration.read(await read(control)).revision
    except RequestRejectedError as err:
        if str(err).startswith("404"):
            return 0
        raise


async def push(control: Address, body: bytes, base: int | None = None) -> str:
    """Replaces the configuration if its revision is `base`, by default that in force. Raises RequestRejectedError."""
    if base is None:
        base = await revision(control)
    response = await call(
        control, "POST", REPLACE_PATH, f"Base-Revision: {base}\r\nContent-Type: application/cbor\r\n", body
    )
    text = response.body.decode(errors="replace").strip()
    if response.status != 200:
        raise RequestRejectedError(f"{response.status}: {text}")
    return f"revision {configuration.read(body).revision} is in force ({text})"


async def push_file(control: Address, file: Path, base: int | None) -> str:
    """Replaces the configuration by that of a file. Raises InvalidFileError if the file is unreadable, before anything
    is sent."""
    return await push(control, load(file), base)


async def diff(control: Address, file: Path) -> list[str]:
    """Lists the values that a file would remove from or add to the configuration in force. Raises InvalidFileError if
    the file is unreadable. Raises RequestRejectedError."""
    current, new = flatten(cbor2.loads(await read(control))), flatten(cbor2.loads(load(file)))
    lines = []
    for key in sorted(current.keys() | new.keys()):
        if current.get(key) != new.get(key):
            lines += [f"- {key} = {current[key]!r}"] if key in current else []
            lines += [f"+ {key} = {new[key]!r}"] if key in new else []
    return lines
