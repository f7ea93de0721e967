"""The command line: `python -m cypressbeam node`."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys

import uvloop

from cypressbeam.node import serve
from cypressbeam.settings import SettingsError, load
from cypressbeam.store import StoreError
from mallowworks.__main__ import GC_THRESHOLDS, Sparing


def run_node() -> int:
    """Exit codes: 0 stopped in order, 1 an address or the state can't be used, 2 wrong settings."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop runs
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", stream=sys.stderr)
    for handler in logging.getLogger().handlers:
        handler.addFilter(Sparing())
    try:
        settings = load(os.environ)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        uvloop.run(serve(settings))
    except SettingsError as err:
        print(f"cypressbeam: {err}", file=sys.stderr)
        return 2
    except (OSError, StoreError) as err:
        print(f"cypressbeam: {err}", file=sys.stderr)
        return 1
    return 0


def main() -> int:
    words = sys.argv[1:]
    if words == ["node"]:
        return run_node()
    if words == ["up"]:
        from lab.up import up  # not loaded by a node

        uvloop.run(up())
        return 0
    print("usage: python -m cypressbeam node | up", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
