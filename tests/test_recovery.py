"""Recovery from a complete power loss after which machines restart one by one, on a simulated network."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest

from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Peers
from lab.membership import Cluster
from lab.simulation import Host, Net

pytestmark = pytest.mark.usefixtures("quiet")

PORT = 7620


def run_on(host: Host, function: Callable[..., Any], *args: Any) -> Any:
    return host.context.copy().run(function, *args)


class Pair:
    """Two machines; `received_s` records when either receives a frame."""

    def __init__(self) -> None:
        self.net = Net(1)
        self.one, self.other = self.net.add("10.0.0.1", "a"), self.net.add("10.0.0.2", "a")
        self.received_s: list[float] = []

    async def start(self, host: Host) -> Peers:
        self.net.start(host)

        async def listen() -> Peers:
            peers = Peers(
                host.ip,
                PORT,
                lambda link, frame: self.received_s.append(self.net.loop.time()),
                lambda link: None,
                1000.0,
            )
            await peers.listen()
            return peers

        return await self.net.loop.create_task(listen(), context=host.context)


def test_connect_started_just_before_power_on_succeeds_once_the_peer_connects() -> None:
    """A connect started 20 ms before the peer was up stayed pending until its timeout, 0.4 s or more, which delayed the
    core's heartbeats."""
    pair = Pair()

    async def scenario() -> None:
        peers = await pair.start(pair.one)
        run_on(pair.one, peers.send, pair.other.ip, frames.KeepAlive())
        await asyncio.sleep(0.02)
        other = await pair.start(pair.other)
        run_on(pair.other, other.send, pair.one.ip, frames.KeepAlive())
        started_s = pair.net.loop.time()
        await asyncio.sleep(2.0)
        assert len(pair.received_s) == 2 and max(pair.received_s) - started_s < 0.1

    pair.net.loop.run_until_complete(scenario())


def test_pending_connect_is_retried_in_parallel() -> None:
    """The peer sends nothing, so nothing signals that it is up."""
    pair = Pair()

    async def scenario() -> None:
        peers = await pair.start(pair.one)
        run_on(pair.one, peers.send, pair.other.ip, frames.KeepAlive())
        await asyncio.sleep(0.02)
        await pair.start(pair.other)
        started_s = pair.net.loop.time()
        await asyncio.sleep(2.0)
        assert len(pair.received_s) == 1 and pair.received_s[0] - started_s < 0.25
        assert len(peers.links) == 1

    pair.net.loop.run_until_complete(scenario())


async def power_cycle(cluster: Cluster, rng: random.Random) -> float:
    """Seconds from the start of the last machine until all nodes have the configuration and an assignment again."""
    await cluster.start_tree()
    cluster.order()
    await cluster.known_by_all()
    for machine in cluster.machines:
        cluster.stop(*machine)

    async def restart(machine: Any, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        cluster.start(*machine)

    delays_s = [rng.uniform(1.1, 1.75) for _ in cluster.machines]
    await asyncio.gather(
        *(restart(machine, delay_s) for machine, delay_s in zip(cluster.machines, delays_s, strict=True))
    )
    return await cluster.until(
        lambda: (
            len(cluster.edges) == 24
            and all(
                node.tree.configuration.revision and node.tree.registration.assignment is not None
                for node in cluster.edges
            )
        )
    )


def test_all_nodes_recover_soon_after_a_complete_power_loss() -> None:
    durations_s = []
    for seed in range(1, 9):
        cluster = Cluster(24, seed, edge_mbps=2.75, core_mbps=30.0, routes=300, cores=5)
        try:
            durations_s.append(cluster.run(power_cycle(cluster, random.Random(seed))))
        finally:
            cluster.close()
    assert max(durations_s) < 0.5, durations_s
    assert sum(durations_s) / len(durations_s) < 0.2, durations_s
