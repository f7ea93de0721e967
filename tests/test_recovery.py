"""All power is lost and comes back machine by machine: how soon all are one system again, on a simulated network."""

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


def on(host: Host, what: Callable[..., Any], *args: Any) -> Any:
    return host.context.copy().run(what, *args)


class Pair:
    """Two machines; `got` tells when frames of the first came to the second."""

    def __init__(self) -> None:
        self.net = Net(1)
        self.one, self.other = self.net.add("10.0.0.1", "a"), self.net.add("10.0.0.2", "a")
        self.got: list[float] = []

    async def start(self, host: Host) -> Peers:
        self.net.start(host)

        async def begin() -> Peers:
            peers = Peers(
                host.ip, PORT, lambda link, frame: self.got.append(self.net.loop.time()), lambda link: None, 1000.0
            )
            await peers.listen()
            return peers

        return await self.net.loop.create_task(begin(), context=host.context)


def test_a_connect_that_was_begun_just_before_its_machine_had_power_comes_up_when_it_is_heard() -> None:
    """Begun 20 ms before, it hung until it was given up, 0.4 s later or more, and the core waited for its pulse."""
    pair = Pair()

    async def scenario() -> None:
        peers = await pair.start(pair.one)
        on(pair.one, peers.send, pair.other.ip, frames.KeepAlive())
        await asyncio.sleep(0.02)
        other = await pair.start(pair.other)
        on(pair.other, other.send, pair.one.ip, frames.KeepAlive())
        began_s = pair.net.loop.time()
        await asyncio.sleep(2.0)
        assert len(pair.got) == 2 and max(pair.got) - began_s < 0.1

    pair.net.loop.run_until_complete(scenario())


def test_a_connect_that_hangs_is_begun_again_beside_it() -> None:
    """Nobody tells the waiting one that its machine has power by now."""
    pair = Pair()

    async def scenario() -> None:
        peers = await pair.start(pair.one)
        on(pair.one, peers.send, pair.other.ip, frames.KeepAlive())
        await asyncio.sleep(0.02)
        await pair.start(pair.other)
        began_s = pair.net.loop.time()
        await asyncio.sleep(2.0)
        assert len(pair.got) == 1 and pair.got[0] - began_s < 0.25
        assert len(peers.links) == 1

    pair.net.loop.run_until_complete(scenario())


async def lose_all_power(cluster: Cluster, rng: random.Random) -> float:
    """Seconds from the start of the last machine until all know the configuration and a list again."""
    await cluster.start_tree()
    cluster.order()
    await cluster.known_by_all()
    for machine in cluster.machines:
        cluster.stop(*machine)

    async def back(machine: Any, after_s: float) -> None:
        await asyncio.sleep(after_s)
        cluster.start(*machine)

    away = [rng.uniform(1.1, 1.75) for _ in cluster.machines]
    await asyncio.gather(*(back(machine, after_s) for machine, after_s in zip(cluster.machines, away, strict=True)))
    return await cluster.until(
        lambda: (
            len(cluster.edges) == 24
            and all(
                node.tree.configuration.revision and node.tree.registration.assignment is not None
                for node in cluster.edges
            )
        )
    )


def test_after_a_loss_of_all_power_everybody_knows_the_state_soon_after_the_last_machine_is_back() -> None:
    took = []
    for seed in range(1, 9):
        cluster = Cluster(24, seed, edge_mbps=2.75, core_mbps=30.0, routes=300, cores=5)
        try:
            took.append(cluster.run(lose_all_power(cluster, random.Random(seed))))
        finally:
            cluster.close()
    assert max(took) < 0.5, took
    assert sum(took) / len(took) < 0.2, took
