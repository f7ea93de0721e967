"""Tests of the individual rules of docs/design/fencing.md, at a node of the tree."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

import pytest

from cypressbeam.distribution.endpoint_list import EndpointList
from cypressbeam.distribution.heartbeats import FRESHNESS_S
from cypressbeam.distribution.node_registry import UNREACHABLE_AFTER_S, NodeRegistry
from cypressbeam.distribution.outlier_reports import OutlierReports
from cypressbeam.distribution.registration import RESPONSE_TIMEOUT_S
from cypressbeam.distribution.subscription import HEARTBEAT_TIMEOUT_S, SEARCH_AFTER_S
from cypressbeam.node.gateway_node import GatewayNode
from cypressbeam.protocol import frames
from cypressbeam.protocol.configuration import digest
from tests.loopback import run
from tests.parts import EPOCH_1, EPOCH_2, EPOCH_3, EPOCH_4, OTHER_IP, OWN_IP, ROOT_IP, RecordingLink, TreeNodeHarness

BODY = b"a body"


def encoded_rows() -> bytes:
    endpoints = EndpointList(7)
    endpoints.update_from_platform([])
    return endpoints.snapshot().rows


def send_ejection(harness: TreeNodeHarness, link: RecordingLink, epoch: int) -> None:
    accepted: list[tuple[str, ...]] = []
    OutlierReports(harness.tree.context, harness.tree, accepted.append).on_ejection(
        link, frames.OutlierEjection("a", ("s",), epoch)
    )
    if accepted:
        harness.tree.heartbeats.numbers[99] = 1  # a change that is visible in `state`


#: Delivers each type of message of a parent or the root, with a given epoch.
MESSAGES: dict[str, Callable[[TreeNodeHarness, RecordingLink, int], None]] = {
    "ConfigurationAnnouncement": lambda harness, link, epoch: harness.tree.configuration.on_announcement(
        link, frames.ConfigurationAnnouncement(3, digest(BODY), epoch)
    ),
    "ConfigurationDelta": lambda harness, link, epoch: harness.tree.configuration.on_delta(
        link, frames.ConfigurationDelta(3, digest(BODY), bytes(32), b"", epoch)
    ),
    "EndpointUpdate": lambda harness, link, epoch: harness.tree.on_endpoint_update(
        link, frames.EndpointUpdate(7, 0, 1, 1, encoded_rows(), epoch)
    ),
    "RootHeartbeat": lambda harness, link, epoch: harness.tree.on_heartbeat(
        link, frames.RootHeartbeat(7, 0, 0, 3, 9, epoch)
    ),
    "ParentAssignment": lambda harness, link, epoch: harness.assign(epoch, OTHER_IP),
    "LeaderRedirect": lambda harness, link, epoch: harness.tree.on_leader_redirect(
        link, frames.LeaderRedirect(OTHER_IP, epoch)
    ),
    "OutlierEjection": send_ejection,
}


def state(harness: TreeNodeHarness) -> Any:
    tree = harness.tree
    locator, subscription = tree.locator, tree.subscription
    return (
        tree.configuration.newest,
        tree.endpoints.endpoints.sequence,
        dict(tree.heartbeats.numbers),
        tree.registration.assignment,
        locator.root,
        locator.request_sent_s,
        subscription.epoch,
        subscription.heard_s,
    )


@pytest.mark.parametrize("message", MESSAGES)
def test_message_of_an_old_epoch_is_ignored_and_its_sender_is_told_the_current_one(message: str) -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        harness.tree.fence.observe(EPOCH_3)
        harness.now_s += 0.5
        link, before = harness.link(ROOT_IP), state(harness)
        MESSAGES[message](harness, link, EPOCH_2)
        assert state(harness) == before
        assert [frame for frame in link.sent if isinstance(frame, frames.LeaderRedirect)] == [
            harness.tree.fence.redirect()
        ]
        link.sent.clear()
        MESSAGES[message](harness, link, EPOCH_3)
        assert state(harness) != before and "LeaderRedirect" not in link.kinds()
        MESSAGES[message](harness, link, EPOCH_4)
        assert harness.tree.fence.epoch == EPOCH_4

    run(scenario())


def test_highest_epoch_is_kept_whatever_message_carries_it() -> None:
    async def scenario() -> None:
        for send in (
            lambda harness: harness.tree.on_leader_redirect(harness.link(OTHER_IP), frames.LeaderRedirect("", EPOCH_3)),
            lambda harness: harness.child(EPOCH_3),
            lambda harness: GatewayNode.on_join(
                cast(
                    Any,
                    SimpleNamespace(tree=harness.tree, core=None, system_bootstrap=Mock()),
                ),
                harness.link(OTHER_IP),
                frames.JoinRequest("x", OTHER_IP, "a", 0, 0, "", epoch=EPOCH_3),
            ),
        ):
            harness = TreeNodeHarness().join_root(EPOCH_2)
            send(harness)
            assert harness.tree.fence.epoch == EPOCH_3
            harness.tree.fence.observe(EPOCH_1)
            assert harness.tree.fence.epoch == EPOCH_3

    run(scenario())


def test_all_messages_of_a_root_carry_its_epoch() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().become_root(EPOCH_2)
        tree = harness.tree
        link = harness.child(EPOCH_1)
        assert link.kinds()[0] == "LeaderRedirect"  # it has seen a lower epoch, and is told the current one
        tree.configuration.publish(3, BODY)
        tree.endpoints.endpoints.update_from_platform([])
        tree.configuration.publish(4, b"another")
        tree.fence.observe(EPOCH_3)  # the same root: the next view has the same tail
        tree.feed.send_heartbeat()
        tree.configuration.publish(5, b"a third")
        epochs = [cast(Any, frame).epoch for frame in link.sent]
        assert epochs == sorted(epochs) and set(epochs) == {EPOCH_2, EPOCH_3} and epochs[-1] == EPOCH_3
        assert set(link.kinds()) == {
            "LeaderRedirect",
            "ConfigurationAnnouncement",
            "RootHeartbeat",
            "ConfigurationDelta",
        }
        for number, revision in enumerate((0, 3, 4, 5)):
            late = harness.child(EPOCH_3, f"10.0.0.{30 + number}", revision)
            assert {cast(Any, frame).epoch for frame in late.sent} == {EPOCH_3} and len(late.sent) == 3 - (
                revision == 5
            )

    run(scenario())


def test_outdated_heartbeat_is_not_sent_to_a_new_child() -> None:
    async def scenario() -> None:
        root = TreeNodeHarness().become_root(EPOCH_2)
        root.tree.fence.observe(EPOCH_3)  # without a heartbeat of this epoch yet
        assert "RootHeartbeat" not in root.child(EPOCH_3).kinds()
        harness = TreeNodeHarness().join_root(EPOCH_2)
        assert "RootHeartbeat" in harness.child(EPOCH_2).kinds()
        harness.now_s += (FRESHNESS_S + SEARCH_AFTER_S) / 2
        assert harness.child(EPOCH_2, "10.0.0.21").kinds() == []

    run(scenario())


def test_configuration_is_forwarded_with_the_epoch_of_the_last_heartbeat() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        link = harness.child(EPOCH_2)
        harness.tree.configuration.on_announcement(
            harness.link(ROOT_IP), frames.ConfigurationAnnouncement(3, digest(BODY), EPOCH_2)
        )
        (announcement,) = [frame for frame in link.sent if isinstance(frame, frames.ConfigurationAnnouncement)]
        assert announcement.epoch == EPOCH_2

    run(scenario())


def test_new_child_is_not_served_while_the_local_state_is_of_an_old_epoch() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        harness.tree.configuration.publish(3, BODY)
        harness.tree.fence.observe(EPOCH_3)
        harness.tree.on_assignment(
            harness.link(ROOT_IP), frames.ParentAssignment(EPOCH_3, (ROOT_IP,), (ROOT_IP,), (), (), 3, 3, 0)
        )
        link = harness.child(EPOCH_3)
        assert link in harness.tree.children.links and not link.sent
        harness.heartbeat(EPOCH_3, 2)
        assert link.kinds() == ["RootHeartbeat", "ConfigurationAnnouncement", "RootHeartbeat"] and all(
            cast(Any, one).epoch == EPOCH_3 for one in link.sent
        )

    run(scenario())


def test_server_list_not_confirmed_in_the_current_epoch_is_not_sent_to_children() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        MESSAGES["EndpointUpdate"](harness, harness.link(ROOT_IP), EPOCH_2)
        assert harness.tree.endpoints.endpoints.sequence == 1
        assert "EndpointUpdate" in harness.child(EPOCH_2).kinds()
        harness.tree.fence.observe(EPOCH_3)
        harness.assign(EPOCH_3)
        # Another term: another list.
        harness.tree.on_heartbeat(harness.link(ROOT_IP), frames.RootHeartbeat(8, 1, 0, 3, 1, EPOCH_3))
        assert "EndpointUpdate" not in harness.child(EPOCH_3, "10.0.0.22").kinds()
        # The root confirms the local list.
        harness.tree.on_heartbeat(harness.link(ROOT_IP), frames.RootHeartbeat(7, 1, 0, 3, 2, EPOCH_3))
        assert "EndpointUpdate" in harness.child(EPOCH_3, "10.0.0.23").kinds()

    run(scenario())


def test_registration_and_subscription_carry_the_epochs_of_their_sender() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        harness.tree.fence.observe(EPOCH_3)
        harness.tree.send_registration(OTHER_IP)
        harness.tree.subscription.subscribe(OTHER_IP)
        registration, subscription = harness.link(OTHER_IP).sent
        assert isinstance(registration, frames.JoinRequest) and (
            registration.epoch,
            registration.acknowledged_epoch,
        ) == (EPOCH_3, EPOCH_2)
        assert isinstance(subscription, frames.Subscribe) and subscription.epoch == EPOCH_3

    run(scenario())


# -- naming the root ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("missing", ["nothing", "parent", "recent heartbeat", "current epoch"])
def test_node_names_the_root_only_if_it_was_heard_recently(missing: str) -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        if missing == "parent":
            harness.tree.subscription.parent = None
        elif missing == "recent heartbeat":
            harness.now_s += FRESHNESS_S + 0.01
        elif missing == "current epoch":
            harness.tree.fence.observe(EPOCH_3)
        assert harness.tree.position.known_leader() == (ROOT_IP if missing == "nothing" else "")
        assert harness.tree.fence.redirect() == frames.LeaderRedirect(
            harness.tree.position.known_leader(), harness.tree.fence.epoch, (ROOT_IP, OTHER_IP)
        )

    run(scenario())


@pytest.mark.parametrize(
    ("why", "accepted"), [("nothing", True), ("no parent", False), ("no heartbeat", False), ("old epoch", False)]
)
def test_node_that_searches_for_the_root_accepts_no_children(why: str, accepted: bool) -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        if why == "no parent":
            harness.tree.subscription.parent = None
        elif why == "no heartbeat":
            harness.now_s += SEARCH_AFTER_S + 0.01
        elif why == "old epoch":
            harness.tree.fence.observe(EPOCH_3)
        assert harness.tree.position.needs_root(harness.now_s) is not accepted
        link = harness.child(harness.tree.fence.epoch)
        assert (link in harness.tree.children.links) is accepted and ("Unsubscribed" in link.kinds()) is not accepted

    run(scenario())


def test_root_without_a_majority_sends_no_heartbeats_and_accepts_no_children() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().become_root(EPOCH_2)
        link = harness.child(EPOCH_2)
        link.sent.clear()
        harness.tree.fence.vouched_leader = lambda: ""
        harness.tree.feed.send_heartbeat()
        assert link.kinds() == ["KeepAlive"]
        assert harness.child(EPOCH_2, "10.0.0.21").kinds() == ["Unsubscribed"]

    run(scenario())


def test_root_that_resigns_unsubscribes_its_children() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().become_root(EPOCH_2)
        link = harness.child(EPOCH_2)
        harness.tree.resign()
        assert (
            not harness.tree.position.is_root and not harness.tree.children.links and link.kinds()[-1] == "Unsubscribed"
        )

    run(scenario())


# -- searching for the root ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("epoch", [EPOCH_2, EPOCH_3])
def test_node_without_heartbeats_changes_its_parent_only_for_an_assignment_of_a_higher_epoch(epoch: int) -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        parent = harness.tree.subscription.parent
        harness.now_s += SEARCH_AFTER_S + 0.1
        harness.assign(epoch, OTHER_IP)
        assert (harness.tree.subscription.parent is parent) is (epoch == EPOCH_2)
        assert harness.tree.subscription.parent is harness.link(ROOT_IP if epoch == EPOCH_2 else OTHER_IP)

    run(scenario())


def test_parent_without_heartbeats_is_left_after_the_timeout() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        harness.now_s += HEARTBEAT_TIMEOUT_S - 0.1
        harness.tree.on_keep_alive(harness.link(ROOT_IP), frames.KeepAlive())
        harness.tree.tick()
        assert harness.tree.subscription.parent is not None
        harness.now_s += 0.2
        harness.tree.on_keep_alive(harness.link(ROOT_IP), frames.KeepAlive())
        harness.tree.tick()
        assert harness.tree.subscription.parent is None

    run(scenario())


def test_named_root_is_asked_once_and_forgotten_if_it_does_not_answer() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness()
        for _ in range(3):
            harness.tree.on_leader_redirect(harness.link(OTHER_IP), frames.LeaderRedirect(ROOT_IP, EPOCH_2))
        assert harness.link(ROOT_IP).kinds() == ["JoinRequest"] and harness.tree.locator.root == ROOT_IP
        harness.now_s += RESPONSE_TIMEOUT_S + 0.01
        harness.tree.locator.forget_silent(harness.now_s)
        assert harness.tree.locator.root == ""
        harness.tree.on_leader_redirect(harness.link(OTHER_IP), frames.LeaderRedirect(ROOT_IP, EPOCH_2))
        assert harness.link(ROOT_IP).kinds() == ["JoinRequest", "JoinRequest"]
        # It is not, or no longer, the root.
        harness.tree.on_leader_redirect(harness.link(ROOT_IP), frames.LeaderRedirect("", EPOCH_2))
        assert harness.tree.locator.root == ""

    run(scenario())


def test_redirect_without_a_root_is_not_answered() -> None:
    """Two nodes that know no root would answer each other endlessly."""

    async def scenario() -> None:
        harness = TreeNodeHarness()
        harness.tree.fence.observe(EPOCH_3)
        harness.tree.on_leader_redirect(harness.link(OTHER_IP), frames.LeaderRedirect("", EPOCH_2))
        assert harness.link(OTHER_IP).sent == []

    run(scenario())


def test_group_of_the_newest_epoch_is_kept() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().join_root(EPOCH_2)
        harness.tree.on_leader_redirect(harness.link(OTHER_IP), frames.LeaderRedirect("", EPOCH_1, ("10.9.9.9",)))
        assert list(harness.tree.fence.group) == [ROOT_IP, OTHER_IP]
        harness.tree.on_leader_redirect(harness.link(OTHER_IP), frames.LeaderRedirect("", EPOCH_3, (OTHER_IP,)))
        assert list(harness.tree.fence.group) == [OTHER_IP]

    run(scenario())


# -- nodes that don't receive answers -----------------------------------------------------------------------------


def test_node_that_does_not_receive_the_roots_answers_gets_no_children() -> None:
    registry = NodeRegistry("root")
    for name in ("root", "one", "two"):
        registry.register(
            frames.JoinRequest(
                name, name, "a", frames.SERVES_CLIENTS, 1, "", epoch=EPOCH_2, acknowledged_epoch=EPOCH_2
            ),
            0.0,
            EPOCH_2,
        )
    first = next(record.name for record in registry.order("a") if record.name != "root")

    def may_have_children(at_s: float, acknowledged_epoch: int) -> bool:
        """Whether the node may have children after this registration."""
        registry.register(
            frames.JoinRequest(
                first, first, "a", frames.SERVES_CLIENTS, 1, "", epoch=EPOCH_2, acknowledged_epoch=acknowledged_epoch
            ),
            at_s,
            EPOCH_2,
        )
        return registry.order("a")[1].name == first

    assert may_have_children(1.0, EPOCH_1) and may_have_children(1.2, EPOCH_1)
    assert not may_have_children(1.0 + UNREACHABLE_AFTER_S, EPOCH_1) and not may_have_children(1.7, EPOCH_1)
    assert may_have_children(1.8, EPOCH_2)
    # Not repeated without an answer: the registration at 1.8 s acknowledged one.
    assert may_have_children(3.0, EPOCH_1) and may_have_children(6.0, EPOCH_1)


def test_root_names_itself_by_its_own_address() -> None:
    async def scenario() -> None:
        harness = TreeNodeHarness().become_root(EPOCH_2)
        assert harness.tree.position.known_leader() == OWN_IP and harness.tree.position.message_epoch() == EPOCH_2

    run(scenario())
