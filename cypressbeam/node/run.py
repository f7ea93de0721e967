"""Runs a node and maps errors to exit codes."""

from __future__ import annotations

import gc
import logging
import os
import socket
import sys

import uvloop

from cypressbeam.node.gateway_node import serve
from cypressbeam.protocol.settings import SettingsError, load
from cypressbeam.runtime import GC_THRESHOLDS, LogRateLimiter
from cypressbeam.storage.store import StoreError


def run_node(front_socket: socket.socket | None) -> int:
    """Run a node until it is stopped, and return its exit code.

    Exit codes: 0 clean shutdown, 1 an address or the state on disk is unusable, 2 invalid settings.

    :param front_socket: the client listener if it is already open.
    """
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", stream=sys.stderr)
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimiter())
    try:
        settings = load(os.environ)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        uvloop.run(serve(settings, front_socket))
    except SettingsError as err:
        print(f"cypressbeam: {err}", file=sys.stderr)
        return 2
    except (OSError, StoreError) as err:
        print(f"cypressbeam: {err}", file=sys.stderr)
        return 1
    return 0
