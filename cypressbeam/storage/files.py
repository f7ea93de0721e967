"""File operations that survive a power failure: a created or renamed file is durable once its folder is synced."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(old: Path, new: Path) -> None:
    """Rename a file, replacing any file of the new name; durable once the folder is synced."""
    old.replace(new)


def sync_folder(folder: Path) -> None:
    """Make created, renamed and removed files of a folder durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_atomically(file: Path, data: bytes) -> None:
    """Replace the contents of a file: a failure at any point leaves the old or the new contents, complete. The new
    contents are durable once this returns."""
    temporary = file.with_name(f"{file.name}.part")
    try:
        with temporary.open("wb") as out:
            out.write(data)
            out.flush()
            os.fsync(out.fileno())
        replace_file(temporary, file)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    sync_folder(file.parent)
