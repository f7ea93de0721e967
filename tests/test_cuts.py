"""Fencing: machines of the core that are cut off, while all other nodes still reach them."""

from __future__ import annotations

import asyncio
import random
from typing import cast

import pytest

from cypressbeam.consensus.failure_detection import FAILURE_TIMEOUT_S
from cypressbeam.distribution.root_search import ROUND_PAUSE_S, STEP_INTERVAL_S, RootSearch
from cypressbeam.protocol import frames
from cypressbeam.proxy.frontend import ClientConnection
from lab import partitions
from lab.membership import Cluster
from tests.simulated import run_nodes

pytestmark = pytest.mark.usefixtures("quiet")

CASES = [
    partitions.Case("root", "both", "silent", 8.0, "edges", 3),  # and restarted nodes know nobody else
    partitions.Case("root", "both", "refuse", 4.0, "cut off", 3),
    partitions.Case("root", "both", "silent", 4.0, "both", 5),
    partitions.Case("root", "in", "silent", 4.0, "", 5),
    partitions.Case("root", "out", "silent", 4.0, "", 3),
    partitions.Case("head", "both", "silent", 4.0, "others", 5),
    partitions.Case("two", "both", "refuse", 4.0, "edges", 5),
    partitions.Case("seed", "out", "silent", 2.0, "edges", 3),
    partitions.Case("root", "both", "silent", 0.5, "", 3),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: "-".join(map(str, vars(case).values())))
def test_all_nodes_follow_the_side_that_leads_and_nobody_the_other(case: partitions.Case) -> None:
    _, found = partitions.play(7, case, edges=12)
    assert found.breaches == []
    if case.way == "both" and case.who == "root" and case.lasts_s > FAILURE_TIMEOUT_S:
        assert found.root_s and found.under_s and found.newest_s


def test_a_node_whose_parent_is_cut_off_from_the_root_tells_the_root_though_that_parent_fed_it_before() -> None:
    """A new view came before the node had given its parent up: it was released, placed there again and released again
    for eight seconds, with a version that was confirmed meanwhile not in force (incident 021)."""
    _, found = partitions.play(0, partitions.Case("head", "both", "silent", 12.0, "none", 3), edges=10)
    assert found.breaches == []


@pytest.mark.parametrize("fault", partitions.FAULTS)
def test_a_rule_that_is_left_out_is_noticed(fault: str) -> None:
    assert partitions.search(range(40), fault, edges=8).broken


@pytest.mark.parametrize(
    "frame",
    [
        frames.RootHeartbeat(1, 2, 3, 4, 5, epoch=255),
        frames.LeaderRedirect("", 2**48 + 1, ()),
        frames.Subscribe("n", 0, 0, 0, 2**64 - 1),
        frames.ParentAssignment(7, (), (), (), (), 0, 0, 0),
    ],
    ids=lambda frame: type(frame).__name__,
)
def test_an_epoch_that_cannot_be_is_no_frame(frame: frames.Frame) -> None:
    with pytest.raises(frames.FrameError, match="no epoch"):
        frames.unpack(frame.CODE, frame.pack()[frames.HEADER.size :])


GROUP, SEEDS = ("10.0.0.1", "10.1.0.1", "10.2.0.1"), ("10.0.0.1", "10.3.0.1", "10.4.0.1")


def asked(search: RootSearch, until_s: float, rng: random.Random, fleet: int = 77) -> list[tuple[float, str]]:
    """Who is asked when, in steps of a tick."""
    found = []
    for tick in range(int(until_s / 0.01)):
        target = search.next_target(tick / 100, GROUP, SEEDS, fleet, rng)
        if target is not None:
            found.append((tick / 100, target))
    return found


def test_a_round_over_all_that_may_know_ends_in_time_though_all_are_silent() -> None:
    found = asked(RootSearch("10.9.9.9"), 3.0, random.Random(1))
    first = found[:5]
    assert {ip for _, ip in first} == {*GROUP, *SEEDS} and {ip for _, ip in first[:3]} == set(GROUP)
    assert first[-1][0] <= 5 * (1.1 * STEP_INTERVAL_S + 0.01)
    assert found[5][0] - first[-1][0] <= ROUND_PAUSE_S[1] + 0.01
    assert len(found) <= 3.0 / (0.8 * STEP_INTERVAL_S)


def test_one_that_names_nobody_gives_way_at_once_and_only_once() -> None:
    search, rng = RootSearch("10.9.9.9"), random.Random(1)
    first = search.next_target(0.0, GROUP, (), 77, rng)
    assert first is not None
    soon_s = search.skip(first, 0.001, GROUP, rng)
    assert soon_s is not None and soon_s < 0.05
    assert search.next_target(0.001 + soon_s, GROUP, (), 77, rng) not in (None, first)
    assert search.skip(first, 0.05, GROUP, rng) is None


def test_a_large_fleet_that_looks_for_the_root_asks_no_more_often_than_a_small_one_can() -> None:
    assert len(asked(RootSearch("10.9.9.9"), 3.0, random.Random(1), fleet=2700)) * 2700 / 3.0 < 1.3 * 6000.0


def test_a_node_that_reaches_nobody_tells_its_age_and_takes_no_orders_until_it_does() -> None:
    cluster = Cluster(6, 1)

    async def scenario() -> None:
        await cluster.start_tree()
        cluster.order()
        await cluster.known_by_all()
        node = cluster.edges[0]
        told = node.describe()
        assert told["epoch"] >= 256 and told["age_s"] < 1.0 and not node.is_isolated()
        lost = {node.settings.ip}
        cluster.net.cut = lambda one, other: (one.ip in lost) != (other.ip in lost)
        await asyncio.sleep(5.0)
        assert node.tree.configuration.revision == 1 and 4.0 < node.describe()["age_s"] < 5.5 and node.is_isolated()
        answer = node.control.submit(frames.WriteRequest(1, node.settings.ip, 1, b""), cast(ClientConnection, None))
        assert answer is not None and answer.status == 503 and (b"Retry-After", b"0.3") in answer.headers
        cluster.net.cut = lambda one, other: False
        assert await cluster.until(lambda: not node.is_isolated() and node.describe()["age_s"] < 0.5) < 2.0

    run_nodes(cluster, scenario())


def test_a_system_that_begins_anew_below_what_its_nodes_have_seen_makes_a_view_above_it() -> None:
    """All disks of the core are new, and edge nodes go on: they take nothing of an epoch below the old system's."""
    cluster = Cluster(6, 1)

    async def scenario() -> None:
        await cluster.start_tree()
        for node in cluster.edges:
            node.tree.fence.observe(9 << 8)
        cores = cluster.machines[:3]
        for machine in cores:
            cluster.stop(*machine)
            del cluster.disks[machine[1].node]
        await asyncio.sleep(1.0)
        for machine in cores:
            cluster.start(*machine)
        assert (
            await cluster.until(
                lambda: (
                    cluster.root is not None and cluster.root.tree.fence.epoch > 9 << 8 and len(cluster.depths()) == 6
                )
            )
            < 6.0
        )
        cluster.order()
        assert await cluster.known_by_all() < 3.0

    run_nodes(cluster, scenario())
