"""Restarts of nodes whose settings name other seeds than those of the leader, on a simulated network."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import Any

import pytest

from cypressbeam.protocol.settings import Settings
from lab.membership import CONTROL, Cluster
from lab.simulation import Host

pytestmark = pytest.mark.usefixtures("quiet")

EDGES = 6
DOWN_S = 1.2
#: `recoveryS` of the deployments.
RECOVERY_S = 15.0
#: Time for the registrations to reach the disks of the core.
SETTLED_S = 4.0


def is_in_tree(cluster: Cluster) -> bool:
    """Whether all edge nodes are in the leader's tree and have the newest configuration."""
    return len(cluster.depths()) == EDGES and all(
        node.tree.configuration.revision == cluster.revision for node in cluster.edges
    )


def name_edges_as_seeds(cluster: Cluster, renewed_cores: frozenset[str]) -> None:
    """Name three edge nodes as the seeds of all edge nodes and of some core machines, as a SIGHUP does."""
    seeds = tuple((node.settings.ip, CONTROL) for node in cluster.edges[:3])

    def renew(settings: Settings) -> Settings:
        changed = settings.state_dir is None or settings.node in renewed_cores
        return replace(settings, bootstrap=False, seeds=seeds if changed else settings.seeds)

    cluster.machines = [(host, renew(settings)) for host, settings in cluster.machines]
    for _, settings in cluster.machines:
        cluster.nodes[settings.node].take_settings(settings)


async def recovery_s(cluster: Cluster, renewed_cores: frozenset[str], kills_core: bool, order: random.Random) -> float:
    """Seconds from the start of the last machine until all edge nodes are back in the tree."""
    await cluster.start_tree()
    cluster.order()
    await cluster.known_by_all()
    await asyncio.sleep(SETTLED_S)
    name_edges_as_seeds(cluster, renewed_cores)
    await asyncio.sleep(SETTLED_S)
    killed = [machine for machine in cluster.machines if kills_core or machine[1].state_dir is None]
    for machine in killed:
        cluster.stop(*machine)

    async def restart(machine: tuple[Host, Settings], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        cluster.start(*machine)

    await asyncio.gather(*(restart(machine, DOWN_S + order.uniform(0.0, 0.5)) for machine in killed))
    return await cluster.until(lambda: is_in_tree(cluster), RECOVERY_S)


@pytest.mark.parametrize("kills_core", [True, False], ids=["all killed", "edge nodes killed"])
@pytest.mark.parametrize("renewed_cores", [(), ("core-1",), ("core-2", "core-3")], ids=len)
def test_nodes_with_other_seeds_than_the_leader_return_after_a_restart(
    renewed_cores: tuple[str, ...], kills_core: bool
) -> None:
    """Guards against nodes that stay out for good, since all of their seeds restarted and know no leader (031)."""
    for seed in range(1, 5):
        cluster = Cluster(EDGES, seed)
        try:
            duration_s = cluster.run(
                recovery_s(cluster, frozenset(renewed_cores), kills_core, random.Random(f"start order {seed}"))
            )
            assert duration_s < RECOVERY_S, (seed, described(cluster))
        finally:
            cluster.close()


def described(cluster: Cluster) -> dict[str, Any]:
    """The known leader and the parent of each node, for the message of a failed test."""
    return {
        name: (node.tree.locator.root, node.tree.subscription.parent_ip(), node.tree.configuration.revision)
        for name, node in cluster.nodes.items()
    }
