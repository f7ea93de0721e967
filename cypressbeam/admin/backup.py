"""Backup of the system's state to a file, and restore."""

from __future__ import annotations

from pathlib import Path

import cbor2

from cypressbeam.admin.config_calls import push, read, revision
from cypressbeam.admin.errors import InvalidFileError, RequestRejectedError
from cypressbeam.admin.status import read_state
from cypressbeam.protocol import configuration
from cypressbeam.protocol.address import Address
from cypressbeam.protocol.configuration import InvalidConfigurationError
from cypressbeam.storage.files import write_atomically

#: The value of the `format` field of a backup, with the format version.
BACKUP_FORMAT = "cypressbeam state 1"


async def backup(control: Address, file: Path) -> str:
    """Saves the configuration, the only state that cannot be rebuilt after the loss of all disks. Writes the file
    atomically."""
    body = await read(control)
    state = await read_state(control)
    saved = configuration.read(body).revision
    data = cbor2.dumps(
        {
            "format": BACKUP_FORMAT,
            "revision": saved,
            "digest": configuration.digest(body),
            "epoch": state["epoch"],
            "body": body,
        }
    )
    write_atomically(file, data)
    return f"revision {saved} saved to {file}"


def read_backup(file: Path) -> tuple[int, bytes]:
    """Returns revision and body. Raises InvalidFileError if the file is not a complete, valid backup."""
    try:
        document = cbor2.loads(file.read_bytes())
        if document["format"] != BACKUP_FORMAT:
            raise InvalidFileError(
                f"{file}: format {document['format']!r} is not supported, expected {BACKUP_FORMAT!r}"
            )
        body: bytes = document["body"]
        if configuration.digest(body) != document["digest"]:
            raise InvalidFileError(f"{file}: the body does not match its digest")
        return configuration.read(body).revision, body
    except (cbor2.CBORError, InvalidConfigurationError, KeyError, TypeError, ValueError) as err:
        raise InvalidFileError(f"{file}: not a saved state: {err}") from None


async def restore(control: Address, file: Path, over: bool) -> str:
    """Restores a backup. Raises RequestRejectedError if the system has a newer revision, unless `over` is set: then the
    saved configuration gets the next revision number, because nodes never accept an older revision."""
    saved, body = read_backup(file)
    current = await revision(control)
    if current >= saved:
        if await read(control) == body:
            return f"revision {saved} is in force already"
        if not over:
            raise RequestRejectedError(
                f"revision {current} is in force, {saved} was saved; --over restores it as {current + 1}"
            )
        body = cbor2.dumps(cbor2.loads(body) | {"revision": current + 1})
    return await push(control, body, current)
