"""Connections between nodes over real sockets, with uvloop, the event loop used in production."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import pytest
import uvloop

from cypressbeam.protocol import frames
from cypressbeam.transport.peers import BULK_LANE, CONNECT_RESTART_AFTER_S, CONTROL_LANE, Peers
from lab.loopback_network import LoopbackNetwork

PAIRS, PORT = 4, 7655

#: A frame that has not arrived by then counts as lost; long enough for a busy machine.
ARRIVAL_S = 5.0


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for at most `ARRIVAL_S`."""
    deadline_s = time.monotonic() + ARRIVAL_S
    while not condition() and time.monotonic() < deadline_s:
        await asyncio.sleep(0.01)


async def count_delivered_frames(lane: int, blocked_s: float) -> int:
    """The number of frames that arrive when the two nodes of several pairs connect to each other at the same time while
    the event loop is blocked."""
    network, delivered = LoopbackNetwork(), 0

    def on_frame(*_: object) -> None:
        nonlocal delivered
        delivered += 1

    for pair in range(PAIRS):
        addresses = [network.address(2 * pair + number) for number in (1, 2)]
        nodes = [Peers(address, PORT, on_frame, lambda link: None, 1000.0) for address in addresses]
        for node in nodes:
            await node.listen()
        links = [nodes[0].link_to(nodes[1].ip, lane), nodes[1].link_to(nodes[0].ip, lane)]
        for link in links:
            link.send(frames.LeaderRedirect("first"))
        for _ in range(1 + pair % 4):
            await asyncio.sleep(0)
        time.sleep(blocked_s)  # as when a new routing table is built
        await wait_until(lambda: delivered >= 4 * pair + 2)  # noqa: B023 (awaited within this iteration)
        for link in links:
            if not link.closed:
                link.send(frames.LeaderRedirect("second"))
        await wait_until(lambda: delivered >= 4 * pair + 4)  # noqa: B023
        for node in nodes:
            node.close()
    network.close()
    return delivered


@pytest.mark.parametrize("lane", [CONTROL_LANE, BULK_LANE])
@pytest.mark.parametrize("blocked_s", [CONNECT_RESTART_AFTER_S + 0.01, 0.25])
def test_blocked_event_loop_leaves_no_dead_connection(lane: int, blocked_s: float) -> None:
    """Two nodes connect to each other and both connects succeed in one loop iteration. If one is cancelled just after
    it succeeded the link keeps a closed transport: each later frame raises RuntimeError, and no new connection is
    opened."""
    assert uvloop.run(count_delivered_frames(lane, blocked_s)) == 4 * PAIRS
