"""Files whose names must outlive a loss of power: a name that was made or changed is there for good once its folder is
synced."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(old: Path, new: Path) -> None:
    """In place of what has the new name; for good once the folder is synced."""
    old.replace(new)


def sync_folder(folder: Path) -> None:
    """Names in it that were made, changed or removed last from here on."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_atomically(file: Path, data: bytes) -> None:
    """The file holds all of it, or what it held before, whatever happens in between; all of it once this returns."""
    fresh = file.with_name(f"{file.name}.part")
    try:
        with fresh.open("wb") as out:
            out.write(data)
            out.flush()
            os.fsync(out.fileno())
        replace_file(fresh, file)
    except OSError:
        fresh.unlink(missing_ok=True)
        raise
    sync_folder(file.parent)
