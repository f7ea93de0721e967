"""The configuration in force: read, replaced, and compared with a file."""

from __future__ import annotations

from pathlib import Path

import cbor2

from cypressbeam.admin.calls import call
from cypressbeam.admin.config_file import flatten, load
from cypressbeam.admin.errors import RequestRefusedError
from cypressbeam.node.control_api import READ_PATH, REPLACE_PATH
from cypressbeam.protocol import configuration
from cypressbeam.protocol.address import Address, read_address
from cypressbeam.proxy.http_responses import Response

#: A call is sent elsewhere so often at most.
MOST_HOPS = 2


def read_location(answer: Response) -> Address:
    """Where a node with a thin link sends those who read. Raises RequestRefusedError."""
    location = (answer.header(b"location") or b"").decode("latin-1")
    try:
        return read_address(location.removeprefix("http://").partition("/")[0])
    except ValueError:
        raise RequestRefusedError(f"307: Location is {location!r}; http://host:port is wanted") from None


async def read(where: Address) -> bytes:
    """The configuration in force. Raises RequestRefusedError; its text begins with 404 where there is none yet."""
    answer = await call(where, "GET", READ_PATH)
    for _ in range(MOST_HOPS):
        if answer.status != 307:
            break
        answer = await call(read_location(answer), "GET", READ_PATH)
    if answer.status != 200:
        raise RequestRefusedError(
            f"{answer.status}: {answer.body.decode(errors='replace').strip() or 'no configuration'}"
        )
    return answer.body


async def revision(where: Address) -> int:
    """The revision in force, 0 before the first."""
    try:
        return configuration.read(await read(where)).revision
    except RequestRefusedError as err:
        if str(err).startswith("404"):
            return 0
        raise


async def push(where: Address, body: bytes, base: int | None = None) -> str:
    """Replace the configuration, that of revision `base` or the one in force. Raises RequestRefusedError."""
    if base is None:
        base = await revision(where)
    answer = await call(
        where, "POST", REPLACE_PATH, f"Base-Revision: {base}\r\nContent-Type: application/cbor\r\n", body
    )
    text = answer.body.decode(errors="replace").strip()
    if answer.status != 200:
        raise RequestRefusedError(f"{answer.status}: {text}")
    return f"revision {configuration.read(body).revision} is in force ({text})"


async def push_file(where: Address, file: Path, base: int | None) -> str:
    """Raises UnusableFileError, before anything is sent, for a file that can't be read."""
    return await push(where, load(file), base)


async def diff(where: Address, file: Path) -> list[str]:
    """What a file would take out of the configuration in force, and what it would put in. Raises RequestRefusedError,
    UnusableFileError."""
    now, new = flatten(cbor2.loads(await read(where))), flatten(cbor2.loads(load(file)))
    lines = []
    for key in sorted(now.keys() | new.keys()):
        if now.get(key) != new.get(key):
            lines += [f"- {key} = {now[key]!r}"] if key in now else []
            lines += [f"+ {key} = {new[key]!r}"] if key in new else []
    return lines
