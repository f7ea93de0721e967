"""What a store's files and memory come to over thousands of changes: a real one, in this process, on a real disk."""

from __future__ import annotations

import asyncio
import os
import random
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from cypressbeam.consensus.views import Entry, View
from cypressbeam.storage.store import FILE_NAME, SqliteStore

NAMES = ("10.0.0.1/a", "10.0.0.2/b", "10.0.0.3/c")


@dataclass(frozen=True, slots=True)
class Size:
    """After so many changes. Files in kB; memory is what the process holds, in MB; a change's mean time in ms."""

    changes: int
    database_kb: float
    log_kb: float
    memory_mb: float
    change_ms: float


def resident_mb() -> float:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def kilobytes(path: Path) -> float:
    return path.stat().st_size / 1e3 if path.exists() else 0.0


async def grow(folder: Path, changes: int, size: int, steps: int) -> list[Size]:
    store, rng, found = SqliteStore(folder), random.Random(size), []
    body = bytearray(rng.randbytes(size))
    await store.load()
    await store.save_view(View(256, NAMES, NAMES), None, {})
    began_s = time.perf_counter()
    for number in range(1, changes + 1):
        body[:8] = number.to_bytes(8)
        await store.save_entry(Entry(number, 256, number, number - 1, bytes(body)))
        if number % (changes // steps) == 0:
            took_ms = (time.perf_counter() - began_s) * 1e3 / (changes // steps)
            found.append(
                Size(
                    number,
                    kilobytes(folder / FILE_NAME),
                    kilobytes(folder / f"{FILE_NAME}-wal"),
                    resident_mb(),
                    took_ms,
                )
            )
            began_s = time.perf_counter()
    store.close()
    store.thread.join()
    return found


def rows(changes: int, sizes: list[int], steps: int = 5) -> Iterator[str]:
    yield "| body, bytes | changes | state.db, kB | log, kB | process, MB | ms a change |"
    yield "| ---: | ---: | ---: | ---: | ---: | ---: |"
    for size in sizes:
        with tempfile.TemporaryDirectory(prefix="cypressbeam-disk-") as folder:
            for at in asyncio.run(grow(Path(folder), changes, size, steps)):
                yield (
                    f"| {size} | {at.changes} | {at.database_kb:.0f} | {at.log_kb:.0f} | {at.memory_mb:.1f} |"
                    f" {at.change_ms:.2f} |"
                )
