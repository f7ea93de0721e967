"""Histories played in several processes."""

from __future__ import annotations

import logging
import sys
import warnings
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import click

#: Histories that one process plays before it tells of them.
BATCH = 20


def silence_simulated_nodes() -> None:
    """Hide what simulated nodes log, and the coroutines that one leaves unfinished when it loses its power."""
    logging.disable(logging.CRITICAL)
    warnings.filterwarnings("ignore", "coroutine .* was never awaited", RuntimeWarning)


def first_failure(
    play: Callable[[tuple[str, range]], tuple[int, str] | None], name: str, seeds: range, jobs: int
) -> tuple[int, str] | None:
    """Play histories in several processes until one fails; shows how far it is, where somebody looks on."""
    batches = [(name, seeds[at : at + BATCH]) for at in range(0, len(seeds), BATCH)]
    with (
        ProcessPoolExecutor(jobs) as pool,
        click.progressbar(pool.map(play, batches), len(batches), label=name or "histories", file=sys.stderr) as results,
    ):
        for found in results:
            if found is not None:
                pool.shutdown(wait=False, cancel_futures=True)
                return found
    return None
