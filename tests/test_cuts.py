"""Fencing: machines of the core are partitioned from each other while all other nodes still reach them."""

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
    partitions.Case("root", "both", "silent", 8.0, "edges", 3),  # and restarted nodes know no other machine
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
def test_all_nodes_follow_only_the_partition_that_leads(case: partitions.Case) -> None:
    _, found = partitions.play(7, case, edges=12)
    assert found.breaches == []
    if case.way == "both" and case.who == "root" and case.lasts_s > FAILURE_TIMEOUT_S:
        assert found.root_s and found.under_s and found.newest_s


def test_node_reports_a_parent_that_is_partitioned_from_the_root() -> None:
    """Incident 021: a new view was installed before the node had left its partitioned parent. For eight seconds it was
    unsubscribed and assigned to the same parent again, and did not receive a version that was committed meanwhile."""
    _, found = partitions.play(0, partitions.Case("head", "both", "silent", 12.0, "none", 3), edges=10)
    assert found.breaches == []


@pytest.mark.parametrize("fault", partitions.FAULTS)
def test_search_detects_a_disabled_rule(fault: str) -> None:
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
def test_frame_with_an_invalid_epoch_is_rejected(frame: frames.Frame) -> None:
    with pytest.raises(frames.FrameError, match="no epoch"):
        frames.unpack(frame.CODE, frame.pack()[frames.HEADER.size :])


GROUP, SEEDS = ("10.0.0.1", "10.1.0.1", "10.2.0.1"), ("10.0.0.1", "10.3.0.1", "10.4.0.1")


def requests(search: RootSearch, until_s: float, rng: random.Random, node_count: int = 77) -> list[tuple[float, str]]:
    """The times and targets of a search's requests, polled every 10 ms."""
    found = []
    for tick in range(int(until_s / 0.01)):
        target = search.next_target(tick / 100, GROUP, SEEDS, node_count, rng)
        if target is not None:
            found.append((tick / 100, target))
    return found


def test_search_round_over_silent_nodes_ends_in_time() -> None:
    found = requests(RootSearch("10.9.9.9"), 3.0, random.Random(1))
    first = found[:5]
    assert {ip for _, ip in first} == {*GROUP, *SEEDS} and {ip for _, ip in first[:3]} == set(GROUP)
    assert first[-1][0] <= 5 * (1.1 * STEP_INTERVAL_S + 0.01)
    assert found[5][0] - first[-1][0] <= ROUND_PAUSE_S[1] + 0.01
    assert len(found) <= 3.0 / (0.8 * STEP_INTERVAL_S)


def test_reply_without_a_root_ends_the_interval_only_once() -> None:
    search, rng = RootSearch("10.9.9.9"), random.Random(1)
    first = search.next_target(0.0, GROUP, (), 77, rng)
    assert first is not None
    delay_s = search.skip(first, 0.001, GROUP, rng)
    assert delay_s is not None and delay_s < 0.05
    assert search.next_target(0.001 + delay_s, GROUP, (), 77, rng) not in (None, first)
    assert search.skip(first, 0.05, GROUP, rng) is None


def test_request_rate_of_a_large_system_searching_for_the_root_is_limited() -> None:
    assert len(requests(RootSearch("10.9.9.9"), 3.0, random.Random(1), node_count=2700)) * 2700 / 3.0 < 1.3 * 6000.0


def test_isolated_node_reports_its_age_and_rejects_writes_until_reconnected() -> None:
    cluster = Cluster(6, 1)

    async def scenario() -> None:
        await cluster.start_tree()
        cluster.order()
        await cluster.known_by_all()
        node = cluster.edges[0]
        status = node.describe()
        assert status["epoch"] >= 256 and status["age_s"] < 1.0 and not node.is_isolated()
        lost = {node.settings.ip}
        cluster.net.cut = lambda one, other: (one.ip in lost) != (other.ip in lost)
        await asyncio.sleep(5.0)
        assert node.tree.configuration.revision == 1 and 4.0 < node.describe()["age_s"] < 5.5 and node.is_isolated()
        answer = node.control.submit(frames.WriteRequest(1, node.settings.ip, 1, b""), cast(ClientConnection, None))
        assert answer is not None and answer.status == 503 and (b"Retry-After", b"0.3") in answer.headers
        cluster.net.cut = lambda one, other: False
        assert await cluster.until(lambda: not node.is_isolated() and node.describe()["age_s"] < 0.5) < 2.0

    run_nodes(cluster, scenario())


def test_reinitialized_core_creates_a_view_above_the_epochs_seen_by_nodes() -> None:
    """All disks of the core are empty while edge nodes keep running and reject epochs below those of the old system."""
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
