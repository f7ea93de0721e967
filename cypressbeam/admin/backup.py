"""The state of the system saved to a file, and brought back."""

from __future__ import annotations

from pathlib import Path

import cbor2

from cypressbeam.admin.config_calls import push, read, revision
from cypressbeam.admin.errors import RequestRefusedError, UnusableFileError
from cypressbeam.admin.status import read_state
from cypressbeam.protocol import configuration
from cypressbeam.protocol.address import Address
from cypressbeam.protocol.configuration import InvalidConfigurationError
from cypressbeam.storage.files import write_atomically

#: The first field of a saved state, and its version.
BACKUP_FORMAT = "cypressbeam state 1"


async def backup(where: Address, file: Path) -> str:
    """What is lost with all disks is the configuration: the rest is agreed on anew. The file is whole or not there."""
    body = await read(where)
    state = await read_state(where)
    number = configuration.read(body).revision
    data = cbor2.dumps(
        {
            "format": BACKUP_FORMAT,
            "revision": number,
            "digest": configuration.digest(body),
            "epoch": state["epoch"],
            "body": body,
        }
    )
    write_atomically(file, data)
    return f"revision {number} saved to {file}"


def read_backup(file: Path) -> tuple[int, bytes]:
    """Revision and body. Raises UnusableFileError for what is no whole saved state."""
    try:
        saved = cbor2.loads(file.read_bytes())
        if saved["format"] != BACKUP_FORMAT:
            raise UnusableFileError(f"{file}: format {saved['format']!r}; {BACKUP_FORMAT!r} is wanted")
        body: bytes = saved["body"]
        if configuration.digest(body) != saved["digest"]:
            raise UnusableFileError(f"{file}: the body does not match its digest")
        return configuration.read(body).revision, body
    except (cbor2.CBORError, InvalidConfigurationError, KeyError, TypeError, ValueError) as err:
        raise UnusableFileError(f"{file}: no saved state: {err}") from None


async def restore(where: Address, file: Path, over: bool) -> str:
    """Raises RequestRefusedError where the system holds something newer, unless it is to go over that: nodes never take
    an older revision, so what was saved then comes back under the next number."""
    saved, body = read_backup(file)
    held = await revision(where)
    if held >= saved:
        if await read(where) == body:
            return f"revision {saved} is in force already"
        if not over:
            raise RequestRefusedError(
                f"revision {held} is in force, {saved} was saved; --over brings it back as {held + 1}"
            )
        body = cbor2.dumps(cbor2.loads(body) | {"revision": held + 1})
    return await push(where, body, held)
