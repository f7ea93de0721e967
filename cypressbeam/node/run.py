"""Running a node, from its start to its exit code."""

from __future__ import annotations

import gc
import logging
import os
import signal
import socket
import sys

import uvloop

from cypressbeam.node.gateway_node import serve
from cypressbeam.protocol.settings import SettingsError, load
from cypressbeam.runtime import GC_THRESHOLDS, LogRateLimiter
from cypressbeam.storage.store import StoreError


def run_node(front: socket.socket | None) -> int:
    """With a socket that clients already connect to, if there is one.

    Exit codes: 0 stopped in order, 1 an address or the state can't be used, 2 wrong settings.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop runs
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", stream=sys.stderr)
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimiter())
    try:
        settings = load(os.environ)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        uvloop.run(serve(settings, front))
    except SettingsError as err:
        print(f"cypressbeam: {err}", file=sys.stderr)
        return 2
    except (OSError, StoreError) as err:
        print(f"cypressbeam: {err}", file=sys.stderr)
        return 1
    return 0
