"""Runs the standalone node and maps errors to exit codes."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from cypressbeam.proxy.frontend import Frontend
from cypressbeam.runtime import GC_THRESHOLDS, LogRateLimiter
from cypressbeam.standalone.config import OVERFLOW_CONNECTIONS, Config, ConfigError, load_config, reload_config
from cypressbeam.standalone.node import StandaloneNode

log = logging.getLogger(__name__)

#: How long new connections are accepted after SIGTERM. Clients still open them for up to 0.4 s.
ACCEPT_AFTER_SIGTERM_S = 0.5
#: Every accepted request is answered by its deadline. Shutdown waits at most for the longest deadline plus this margin.
SHUTDOWN_MARGIN_S = 0.2


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    node = StandaloneNode(config)
    loop.add_signal_handler(signal.SIGHUP, reload_node, node)
    frontend = Frontend(node, config.client_connections, OVERFLOW_CONNECTIONS)
    await frontend.listen(*config.listen)
    node.discovery.start()
    log.info("%s serves at %s:%d, %d servers known", config.name, *config.listen, len(node.active_servers))
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    await stop.wait()
    log.info("stopping: %d requests in hand", len(node.requests))
    frontend.stopping = True
    await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
    frontend.stop_accepting()
    longest_deadline_s = max(request_class.deadline_us for request_class in config.settings.classes) / 1e6
    stop_at_s = loop.time() + longest_deadline_s + SHUTDOWN_MARGIN_S
    while frontend.connections and loop.time() < stop_at_s:
        await asyncio.sleep(0.01)
    node.discovery.close()
    node.upstream.close()
    log.info("stopped: %d requests in hand", len(node.requests))


def reload_node(node: StandaloneNode) -> None:
    """Reload the configuration on SIGHUP. An invalid one is rejected and the node continues unchanged."""
    try:
        node.config = reload_config(node.config, os.environ)
    except ConfigError as err:
        log.error("reload: %s; the old configuration stays", err)
        return
    node.discovery.change_address(node.config.discovery)
    log.info("reloaded: discovery at %s:%d", *node.config.discovery)


def main() -> int:
    """Run the node until it is stopped. Returns its exit code: 1 for an unusable address, 2 for an invalid file."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", stream=sys.stderr)
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimiter())
    try:
        config = load_config(os.environ)
        uvloop.run(serve(config))
    except ConfigError as err:
        print(f"cypressbeam: {err}", file=sys.stderr)
        return 2
    except OSError as err:
        print(f"cypressbeam: {err}", file=sys.stderr)
        return 1
    return 0
