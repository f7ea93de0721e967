"""Connections between nodes on real sockets and the loop that runs in service."""

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


#: A frame that has not come by then never does. On a busy machine it takes longer than on an idle one.
ARRIVAL_S = 5.0


async def until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds, or for `ARRIVAL_S`."""
    ends_s = time.monotonic() + ARRIVAL_S
    while not holds() and time.monotonic() < ends_s:
        await asyncio.sleep(0.01)


async def frames_that_come(lane: int, held_s: float) -> int:
    """Two nodes write to each other at once, again and again, while the loop is held up; how many frames come."""
    network, came = LoopbackNetwork(), 0

    def take(*_: object) -> None:
        nonlocal came
        came += 1

    for pair in range(PAIRS):
        addresses = [network.address(2 * pair + number) for number in (1, 2)]
        nodes = [Peers(address, PORT, take, lambda link: None, 1000.0) for address in addresses]
        for node in nodes:
            await node.listen()
        links = [nodes[0].link_to(nodes[1].ip, lane), nodes[1].link_to(nodes[0].ip, lane)]
        for link in links:
            link.send(frames.LeaderRedirect("first"))
        for _ in range(1 + pair % 4):
            await asyncio.sleep(0)
        time.sleep(held_s)  # a new table of routes, for one
        await until(lambda: came >= 4 * pair + 2)  # noqa: B023 (done within this turn)
        for link in links:
            if not link.closed:
                link.send(frames.LeaderRedirect("second"))
        await until(lambda: came >= 4 * pair + 4)  # noqa: B023
        for node in nodes:
            node.close()
    network.close()
    return came


@pytest.mark.parametrize("lane", [CONTROL_LANE, BULK_LANE])
@pytest.mark.parametrize("held_s", [CONNECT_RESTART_AFTER_S + 0.01, 0.25])
def test_a_loop_that_is_held_up_leaves_no_dead_connection(lane: int, held_s: float) -> None:
    """Connects of two nodes to each other that come up in one turn: the one was cancelled as it had just come up, and
    the link held on to a closed transport. Every later frame raised RuntimeError, and nothing opened a new one."""
    assert uvloop.run(frames_that_come(lane, held_s)) == 4 * PAIRS
