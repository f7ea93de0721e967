"""Whole nodes on a simulated network: joins, kills, cuts and loss, from one seed."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import pytest

from cypressbeam.distribution.node_registry import FAN_OUT, RENEWAL_INTERVAL_S
from cypressbeam.distribution.tree_node import TreeNode
from cypressbeam.protocol import frames
from lab import chaos
from lab.membership import STEPS, ZONES, Cluster, Figures, measure, play
from lab.simulation import Net
from tests.simulated import run_nodes

#: Within this a configuration or a list must be known to all, in seconds (source: DEPLOY.md, convergeMs).
CONVERGE_S = 3.0


@pytest.mark.parametrize("edges", [10, 100, 1000])
def test_news_reaches_every_node_through_joins_kills_cuts_and_loss(edges: int) -> None:
    for step, found in measure(edges, [1]).items():
        assert found.left_out == 0, step
        assert all(took_s <= CONVERGE_S for took_s in [*found.config_s, *found.list_s]), (step, found)
        # Within a zone the tree is as deep as its fan-out allows; the root feeds the first of each, and those that
        # have not found a better parent yet.
        assert found.depth <= 2 + math.ceil(math.log(edges / len(ZONES) + 1, FAN_OUT)), (step, found)


def test_a_seed_plays_the_same_history_again() -> None:
    assert str(measure(20, [5])) == str(measure(20, [5])) != str(measure(20, [6]))


def test_a_relay_that_never_gives_up_a_silent_parent_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The measurement itself: with the tree's mending left out it must not look well."""
    monkeypatch.setattr("lab.membership.SOME", 0.3)  # relays among them, not leaves alone
    monkeypatch.setattr("cypressbeam.distribution.subscription.PARENT_TIMEOUT_S", math.inf)
    monkeypatch.setattr("cypressbeam.distribution.subscription.HEARTBEAT_TIMEOUT_S", math.inf)
    monkeypatch.setattr(TreeNode, "link_lost", lambda self, link: self.children.remove(link))
    cluster, figures = Cluster(40, 1), {step: Figures() for step in STEPS}
    try:
        cluster.run(play(cluster, figures))
        assert max(figures["kills"].config_s) > CONVERGE_S  # only the next renewal of its place helps a node
    finally:
        cluster.close()


def test_the_simulated_network_keeps_order_and_holds_bytes_back_over_a_cut() -> None:
    net = Net(1)
    one, other = net.add("10.0.0.1", "a"), net.add("10.0.0.2", "b")
    got: list[tuple[float, bytes]] = []
    lost: list[Exception | None] = []

    class Taker(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            got.append((net.loop.time(), data))

        def connection_lost(self, exc: Exception | None) -> None:
            lost.append(exc)

    async def listen() -> None:
        await net.loop.create_server(Taker, other.ip, 1)

    async def talk() -> None:
        transport, _ = await net.loop.create_connection(Taker, other.ip, 1)
        net.loss = 0.4
        for number in range(50):
            transport.write(b"%d" % number)
        await asyncio.sleep(10.0)
        net.loss = 0.0
        net.cut = lambda here, there: True
        transport.write(b"held")
        await asyncio.sleep(1.0)
        assert len(got) == 50
        net.cut = lambda here, there: False
        await asyncio.sleep(1.0)
        assert got[-1][1] == b"held"
        net.stop(other)
        net.start(other)  # it knows nothing of the connection any more
        transport.write(b"never")
        await asyncio.sleep(1.0)

    for host, what in ((other, listen()), (one, talk())):
        net.start(host)
        task: asyncio.Task[Any] = net.loop.create_task(what, context=host.context)
        net.loop.run_until_complete(task)
    assert [data for _, data in got] == [b"%d" % number for number in range(50)] + [b"held"]
    assert [type(err) for err in lost] == [ConnectionResetError] and not net.faults
    net.loop.close()


def test_whole_systems_come_back_from_one_trouble_after_another() -> None:
    assert chaos.search(range(12)) is None


def test_a_system_whose_core_never_mends_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cypressbeam.consensus.repair.Proposer.tick", lambda self, now_s: [])
    found = chaos.search(range(12))
    assert found is not None and "the core is not whole" in found[1]


def test_a_node_that_was_cut_off_is_written_to_on_a_new_connection() -> None:
    """The old one waits ever longer before it sends again: after a cut of 7 s it does so after 5.6 s more."""
    cluster = Cluster(0, 1)
    one = cluster.machines[0][0]

    async def scenario() -> float:
        cluster.start_all()
        await cluster.until(lambda: cluster.root is not None)
        cluster.net.cut = lambda here, there: one in (here, there)
        await asyncio.sleep(7.0)
        cluster.net.cut = lambda here, there: False
        nodes = list(cluster.nodes.values())
        return await cluster.until(
            lambda: all(len(node.members()) == 3 for node in nodes) and len({node.members() for node in nodes}) == 1
        )

    try:
        assert cluster.run(scenario()) < 2.5 and not cluster.net.faults
    finally:
        cluster.close()


def test_a_node_that_joins_is_not_dropped_because_its_watchers_do_not_hear_it() -> None:
    """Datagrams are lost where a link is full: 75 of 77 nodes were dropped from the roster in a second once."""
    cluster = Cluster(8, 1)

    async def scenario() -> None:
        cluster.start_all()
        await cluster.until(
            lambda: (
                cluster.root is not None
                and cluster.root.core is not None
                and len(cluster.root.core.leader_role.registry.nodes) == 11
            )
        )
        root = cluster.root
        assert root is not None and root.core is not None
        name = cluster.edges[0].settings.node
        for _ in range(80):
            root.on_frame(root.peers.local, frames.SuspectReport(name))
            await asyncio.sleep(0.1)
            assert name in root.core.leader_role.registry.nodes
        host = next(host for host, settings in cluster.machines if settings.node == name)
        cluster.net.stop(host)
        await asyncio.sleep(4.5)
        root.on_frame(root.peers.local, frames.SuspectReport(name))
        assert name not in root.core.leader_role.registry.nodes

    run_nodes(cluster, scenario())


def test_the_tree_stands_while_the_core_changes_its_view_and_keeps_its_tail() -> None:
    """Every view was a new life of the root once: all nodes lost their parents, and asked for the whole list."""
    cluster = Cluster(12, 3)

    async def scenario() -> None:
        await cluster.start_tree()
        cluster.poll(5)
        cluster.order()
        await cluster.known_by_all()
        await asyncio.sleep(
            RENEWAL_INTERVAL_S + 0.5
        )  # places that were told while the roster was filling are told anew by then
        root = cluster.root
        assert root is not None and root.core is not None and root.core.view is not None
        life, epoch = root.tree.endpoints.endpoints.term, root.core.view.epoch
        head = next(machine for machine in cluster.machines if machine[1].ip == root.core.view.head)
        before = {node.settings.node: node.tree.subscription.parent for node in cluster.edges}
        cluster.stop(*head)
        await cluster.until(
            lambda: root.core is not None and root.core.view is not None and root.core.view.epoch > epoch
        )
        await asyncio.sleep(1.5)
        assert cluster.root is root and root.tree.endpoints.endpoints.term == life
        kept = [node for node in cluster.edges if before[node.settings.node] is node.tree.subscription.parent]
        fed_by_the_head = [parent for parent in before.values() if parent is not None and parent.ip == head[1].ip]
        assert len(kept) == 12 - len(fed_by_the_head) > 6
        cluster.order_at(root.members()[0])
        assert await cluster.known_by_all() < CONVERGE_S

    run_nodes(cluster, scenario())


def test_children_that_are_let_go_keep_the_connection_and_look_for_another_parent() -> None:
    cluster = Cluster(4, 2)

    async def scenario() -> None:
        await cluster.start_tree()
        root = cluster.root
        assert root is not None
        child = next(
            node
            for node in cluster.nodes.values()
            if node.tree.subscription.parent is not None and node.tree.subscription.parent.ip == root.settings.ip
        )
        link = child.tree.subscription.parent
        cluster.at(root, root.tree.children.release)
        await asyncio.sleep(0.02)
        assert child.tree.subscription.parent is None and link is not None and not link.closed
        assert await cluster.until(lambda: len(cluster.depths()) == 4) < 1.0

    run_nodes(cluster, scenario())


def test_frames_of_the_survey_go_there_and_back() -> None:
    state = frames.ReplicaStatus(1, "10.0.0.1/ab", 300, ("a", "b"), ("a", "b", "c"), 301, 4, 40, 3, frames.IS_ROOT)
    packed = state.pack()
    assert frames.unpack(packed[4], packed[frames.HEADER.size :]) == state
