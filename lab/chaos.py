"""Whole systems through one trouble after another, on a simulated network: after each, all must be well again."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Iterable
from dataclasses import replace

from cypressbeam.protocol.settings import Settings
from lab.membership import CORES, Cluster
from lab.simulation import Disk, Host

#: Edge nodes, and how many troubles one history has.
EDGES, TROUBLES = 8, 8
KINDS = (
    "core",
    "wiped core",
    "edges",
    "core and edges",
    "all",
    "core cut off",
    "edge cut off",
    "older core",
    "hanging core",
)
#: After a trouble: the core must be whole again, and then an order taken, and its news with a list known by all.
WHOLE_S, TAKEN_S, KNOWN_S = 14.0, 6.0, 4.0
AGAIN_S = 0.3

Machine = tuple[Host, Settings]


class BrokenRuleError(Exception):
    """What was not as it should be after a trouble."""


def victims(cluster: Cluster, kind: str, rng: random.Random) -> list[Machine]:
    cores, edges = cluster.machines[:CORES], cluster.machines[CORES:]
    if kind == "all":
        return list(cluster.machines)
    found = [rng.choice(cores)] if "core" in kind else []
    if "edges" in kind:
        found += rng.sample(edges, 3)
    return found or [rng.choice(edges)]


async def strike(cluster: Cluster, kind: str, rng: random.Random) -> None:
    """A trouble from its begin to its end."""
    struck, lasts_s = victims(cluster, kind, rng), rng.uniform(0.3, 4.0)
    if "cut off" in kind:
        ((one, _),) = struck
        cluster.net.cut = lambda here, there: (here is one) != (there is one)
        await asyncio.sleep(lasts_s)
        cluster.net.cut = lambda here, there: False
        return
    if kind == "older core" and rng.random() < 0.5:
        struck += [machine for machine in cluster.machines[:CORES] if machine not in struck]  # all power, one copy
    for machine in struck:
        cluster.stop(*machine)
    disk = cluster.disks[struck[0][1].node] if "core" in kind else None
    if kind == "older core" and disk is not None:
        disk.kept = rng.choice([copy for copy in disk.copies if copy.identity == disk.kept.identity])
    if kind == "hanging core" and disk is not None:
        disk.load_delay_s = rng.uniform(0.3, 6.0)
    if kind == "wiped core":
        ((host, settings),) = struck
        cluster.disks[settings.node] = Disk(f"{rng.getrandbits(48):012x}")
        struck = [(host, replace(settings, bootstrap=False))]
    await asyncio.sleep(lasts_s)
    for machine in struck:
        cluster.start(*machine)
        await asyncio.sleep(rng.uniform(0.0, 0.2))


def core_is_whole(cluster: Cluster) -> bool:
    """One root, and all machines with a disk in one active chain."""
    cores = [node.core for node in cluster.nodes.values() if node.core is not None]
    views = {core.view.epoch for core in cores if core.view is not None and len(core.view.chain) == CORES}
    return (
        len(cores) == CORES
        and len(views) == 1
        and sum(node.tree.position.is_root for node in cluster.nodes.values()) == 1
        and all(
            core.replica is not None and core.replica.state.chain is not None and core.replica.state.chain.active
            for core in cores
        )
    )


def all_know(cluster: Cluster) -> bool:
    """The newest configuration, and the list as the root has it."""
    root = cluster.root
    if root is None:
        return False
    if not root.tree.endpoints.endpoints.sequence:  # one that has just become the root asks the platform
        cluster.poll(cluster.revision)
    wanted = root.tree.endpoints.endpoints.term, root.tree.endpoints.endpoints.sequence
    return all(
        node.tree.configuration.revision >= cluster.revision
        and (node.tree.endpoints.endpoints.term, node.tree.endpoints.endpoints.sequence) == wanted
        for node in cluster.edges
    )


async def settle(cluster: Cluster, after: str) -> None:
    """Raises BrokenRuleError."""
    if await cluster.until(lambda: core_is_whole(cluster), WHOLE_S) == math.inf:
        raise BrokenRuleError(f"after {after}: the core is not whole")
    for disk in cluster.disks.values():
        disk.copies.append(disk.kept)
    cluster.revision += 1
    ends_s = cluster.loop.time() + TAKEN_S
    while (root := cluster.root) is None or root.tree.configuration.revision < cluster.revision:
        if cluster.loop.time() > ends_s:
            raise BrokenRuleError(f"after {after}: an order is not taken")
        if root is not None and core_is_whole(cluster):
            cluster.revision -= 1
            cluster.order()
        await asyncio.sleep(AGAIN_S)  # as whoever takes an order from an operator does
    cluster.poll(cluster.revision)
    if await cluster.until(lambda: all_know(cluster), KNOWN_S) == math.inf:
        raise BrokenRuleError(f"after {after}: not all know revision {cluster.revision} and the list")


async def history(cluster: Cluster, seed: int) -> None:
    rng = random.Random(f"chaos {seed}")
    cluster.start_all()
    await settle(cluster, "the start")
    for number in range(TROUBLES):
        kind = rng.choice(KINDS)
        await strike(cluster, kind, rng)
        await settle(cluster, f"trouble {number} ({kind})")


def search(seeds: Iterable[int]) -> tuple[int, str] | None:
    """The first seed whose history goes wrong, and how."""
    for seed in seeds:
        cluster = Cluster(EDGES, seed)
        try:
            cluster.run(history(cluster, seed))
            if cluster.net.faults:
                return seed, str(dict(cluster.net.faults))
        except BrokenRuleError as err:
            return seed, str(err)
        finally:
            cluster.close()
    return None


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """The same for a process of its own."""
    return search(job[1])
