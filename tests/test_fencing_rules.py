"""Tests of the individual rules of docs/design/fencing.md, at a node of the tree."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

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
from tests.parts import FIRST, FOURTH, ME, OTHER, ROOT, SECOND, THIRD, Part, Wire

BODY = b"a body"


def encoded_rows() -> bytes:
    endpoints = EndpointList(7)
    endpoints.update_from_platform([])
    return endpoints.snapshot().rows


def send_ejection(harness: Part, link: Wire, epoch: int) -> None:
    accepted: list[tuple[str, ...]] = []
    OutlierReports(harness.relay.context, harness.relay, accepted.append).on_ejection(
        link, frames.OutlierEjection("a", ("s",), epoch)
    )
    if accepted:
        harness.relay.heartbeats.numbers[99] = 1  # a change that is visible in `state`


#: Delivers each type of message of a parent or the root, with a given epoch.
MESSAGES: dict[str, Callable[[Part, Wire, int], None]] = {
    "ConfigurationAnnouncement": lambda harness, link, epoch: harness.relay.configuration.on_announcement(
        link, frames.ConfigurationAnnouncement(3, digest(BODY), epoch)
    ),
    "ConfigurationDelta": lambda harness, link, epoch: harness.relay.configuration.on_delta(
        link, frames.ConfigurationDelta(3, digest(BODY), bytes(32), b"", epoch)
    ),
    "EndpointUpdate": lambda harness, link, epoch: harness.relay.on_endpoint_update(
        link, frames.EndpointUpdate(7, 0, 1, 1, encoded_rows(), epoch)
    ),
    "RootHeartbeat": lambda harness, link, epoch: harness.relay.on_heartbeat(
        link, frames.RootHeartbeat(7, 0, 0, 3, 9, epoch)
    ),
    "ParentAssignment": lambda harness, link, epoch: harness.place(epoch, OTHER),
    "LeaderRedirect": lambda harness, link, epoch: harness.relay.on_leader_redirect(
        link, frames.LeaderRedirect(OTHER, epoch)
    ),
    "OutlierEjection": send_ejection,
}


def state(harness: Part) -> Any:
    relay = harness.relay
    locator, subscription = relay.locator, relay.subscription
    return (
        relay.configuration.newest,
        relay.endpoints.endpoints.sequence,
        dict(relay.heartbeats.numbers),
        relay.registration.assignment,
        locator.root,
        locator.request_sent_s,
        subscription.epoch,
        subscription.heard_s,
    )


@pytest.mark.parametrize("message", MESSAGES)
def test_message_of_an_old_epoch_is_ignored_and_its_sender_is_told_the_current_one(message: str) -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        harness.relay.fence.observe(THIRD)
        harness.now_s += 0.5
        link, before = harness.wire(ROOT), state(harness)
        MESSAGES[message](harness, link, SECOND)
        assert state(harness) == before
        assert [frame for frame in link.sent if isinstance(frame, frames.LeaderRedirect)] == [
            harness.relay.fence.redirect()
        ]
        link.sent.clear()
        MESSAGES[message](harness, link, THIRD)
        assert state(harness) != before and "LeaderRedirect" not in link.kinds()
        MESSAGES[message](harness, link, FOURTH)
        assert harness.relay.fence.epoch == FOURTH

    run(scenario())


def test_highest_epoch_is_kept_whatever_message_carries_it() -> None:
    async def scenario() -> None:
        for send in (
            lambda harness: harness.relay.on_leader_redirect(harness.wire(OTHER), frames.LeaderRedirect("", THIRD)),
            lambda harness: harness.child(THIRD),
            lambda harness: GatewayNode.on_join(
                cast(Any, SimpleNamespace(tree=harness.relay, core=None, bootstrap=None)),
                harness.wire(OTHER),
                frames.JoinRequest("x", OTHER, "a", 0, 0, "", epoch=THIRD),
            ),
        ):
            harness = Part().under(SECOND)
            send(harness)
            assert harness.relay.fence.epoch == THIRD
            harness.relay.fence.observe(FIRST)
            assert harness.relay.fence.epoch == THIRD

    run(scenario())


def test_all_messages_of_a_root_carry_its_epoch() -> None:
    async def scenario() -> None:
        harness = Part().lead(SECOND)
        relay = harness.relay
        link = harness.child(FIRST)
        assert link.kinds()[0] == "LeaderRedirect"  # it has seen a lower epoch, and is told the current one
        relay.configuration.publish(3, BODY)
        relay.endpoints.endpoints.update_from_platform([])
        relay.configuration.publish(4, b"another")
        relay.fence.observe(THIRD)  # the same root: the next view has the same tail
        relay.feed.send_heartbeat()
        relay.configuration.publish(5, b"a third")
        epochs = [cast(Any, frame).epoch for frame in link.sent]
        assert epochs == sorted(epochs) and set(epochs) == {SECOND, THIRD} and epochs[-1] == THIRD
        assert set(link.kinds()) == {
            "LeaderRedirect",
            "ConfigurationAnnouncement",
            "RootHeartbeat",
            "ConfigurationDelta",
        }
        for number, revision in enumerate((0, 3, 4, 5)):
            late = harness.child(THIRD, f"10.0.0.{30 + number}", revision)
            assert {cast(Any, frame).epoch for frame in late.sent} == {THIRD} and len(late.sent) == 3 - (revision == 5)

    run(scenario())


def test_outdated_heartbeat_is_not_sent_to_a_new_child() -> None:
    async def scenario() -> None:
        root = Part().lead(SECOND)
        root.relay.fence.observe(THIRD)  # without a heartbeat of this epoch yet
        assert "RootHeartbeat" not in root.child(THIRD).kinds()
        harness = Part().under(SECOND)
        assert "RootHeartbeat" in harness.child(SECOND).kinds()
        harness.now_s += (FRESHNESS_S + SEARCH_AFTER_S) / 2
        assert harness.child(SECOND, "10.0.0.21").kinds() == []

    run(scenario())


def test_configuration_is_forwarded_with_the_epoch_of_the_last_heartbeat() -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        link = harness.child(SECOND)
        harness.relay.configuration.on_announcement(
            harness.wire(ROOT), frames.ConfigurationAnnouncement(3, digest(BODY), SECOND)
        )
        (announcement,) = [frame for frame in link.sent if isinstance(frame, frames.ConfigurationAnnouncement)]
        assert announcement.epoch == SECOND

    run(scenario())


def test_new_child_is_not_served_while_the_local_state_is_of_an_old_epoch() -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        harness.relay.configuration.publish(3, BODY)
        harness.relay.fence.observe(THIRD)
        harness.relay.on_assignment(
            harness.wire(ROOT), frames.ParentAssignment(THIRD, (ROOT,), (ROOT,), (), (), 3, 3, 0)
        )
        link = harness.child(THIRD)
        assert link in harness.relay.children.links and not link.sent
        harness.beat(THIRD, 2)
        assert link.kinds() == ["RootHeartbeat", "ConfigurationAnnouncement", "RootHeartbeat"] and all(
            cast(Any, one).epoch == THIRD for one in link.sent
        )

    run(scenario())


def test_server_list_not_confirmed_in_the_current_epoch_is_not_sent_to_children() -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        MESSAGES["EndpointUpdate"](harness, harness.wire(ROOT), SECOND)
        assert harness.relay.endpoints.endpoints.sequence == 1
        assert "EndpointUpdate" in harness.child(SECOND).kinds()
        harness.relay.fence.observe(THIRD)
        harness.place(THIRD)
        # Another term: another list.
        harness.relay.on_heartbeat(harness.wire(ROOT), frames.RootHeartbeat(8, 1, 0, 3, 1, THIRD))
        assert "EndpointUpdate" not in harness.child(THIRD, "10.0.0.22").kinds()
        # The root confirms the local list.
        harness.relay.on_heartbeat(harness.wire(ROOT), frames.RootHeartbeat(7, 1, 0, 3, 2, THIRD))
        assert "EndpointUpdate" in harness.child(THIRD, "10.0.0.23").kinds()

    run(scenario())


def test_registration_and_subscription_carry_the_epochs_of_their_sender() -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        harness.relay.fence.observe(THIRD)
        harness.relay.send_registration(OTHER)
        harness.relay.subscription.subscribe(OTHER)
        registration, subscription = harness.wire(OTHER).sent
        assert isinstance(registration, frames.JoinRequest) and (
            registration.epoch,
            registration.acknowledged_epoch,
        ) == (THIRD, SECOND)
        assert isinstance(subscription, frames.Subscribe) and subscription.epoch == THIRD

    run(scenario())


# -- naming the root ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("missing", ["nothing", "parent", "recent heartbeat", "current epoch"])
def test_node_names_the_root_only_if_it_was_heard_recently(missing: str) -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        if missing == "parent":
            harness.relay.subscription.parent = None
        elif missing == "recent heartbeat":
            harness.now_s += FRESHNESS_S + 0.01
        elif missing == "current epoch":
            harness.relay.fence.observe(THIRD)
        assert harness.relay.position.known_leader() == (ROOT if missing == "nothing" else "")
        assert harness.relay.fence.redirect() == frames.LeaderRedirect(
            harness.relay.position.known_leader(), harness.relay.fence.epoch, (ROOT, OTHER)
        )

    run(scenario())


@pytest.mark.parametrize(
    ("why", "accepted"), [("nothing", True), ("no parent", False), ("no heartbeat", False), ("old epoch", False)]
)
def test_node_that_searches_for_the_root_accepts_no_children(why: str, accepted: bool) -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        if why == "no parent":
            harness.relay.subscription.parent = None
        elif why == "no heartbeat":
            harness.now_s += SEARCH_AFTER_S + 0.01
        elif why == "old epoch":
            harness.relay.fence.observe(THIRD)
        assert harness.relay.position.needs_root(harness.now_s) is not accepted
        link = harness.child(harness.relay.fence.epoch)
        assert (link in harness.relay.children.links) is accepted and ("Unsubscribed" in link.kinds()) is not accepted

    run(scenario())


def test_root_without_a_majority_sends_no_heartbeats_and_accepts_no_children() -> None:
    async def scenario() -> None:
        harness = Part().lead(SECOND)
        link = harness.child(SECOND)
        link.sent.clear()
        harness.relay.fence.vouched_leader = lambda: ""
        harness.relay.feed.send_heartbeat()
        assert link.kinds() == ["KeepAlive"]
        assert harness.child(SECOND, "10.0.0.21").kinds() == ["Unsubscribed"]

    run(scenario())


def test_root_that_resigns_unsubscribes_its_children() -> None:
    async def scenario() -> None:
        harness = Part().lead(SECOND)
        link = harness.child(SECOND)
        harness.relay.resign()
        assert (
            not harness.relay.position.is_root
            and not harness.relay.children.links
            and link.kinds()[-1] == "Unsubscribed"
        )

    run(scenario())


# -- searching for the root ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("epoch", [SECOND, THIRD])
def test_node_without_heartbeats_changes_its_parent_only_for_an_assignment_of_a_higher_epoch(epoch: int) -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        parent = harness.relay.subscription.parent
        harness.now_s += SEARCH_AFTER_S + 0.1
        harness.place(epoch, OTHER)
        assert (harness.relay.subscription.parent is parent) is (epoch == SECOND)
        assert harness.relay.subscription.parent is harness.wire(ROOT if epoch == SECOND else OTHER)

    run(scenario())


def test_parent_without_heartbeats_is_left_after_the_timeout() -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        harness.now_s += HEARTBEAT_TIMEOUT_S - 0.1
        harness.relay.on_keep_alive(harness.wire(ROOT), frames.KeepAlive())
        harness.relay.tick()
        assert harness.relay.subscription.parent is not None
        harness.now_s += 0.2
        harness.relay.on_keep_alive(harness.wire(ROOT), frames.KeepAlive())
        harness.relay.tick()
        assert harness.relay.subscription.parent is None

    run(scenario())


def test_named_root_is_asked_once_and_forgotten_if_it_does_not_answer() -> None:
    async def scenario() -> None:
        harness = Part()
        for _ in range(3):
            harness.relay.on_leader_redirect(harness.wire(OTHER), frames.LeaderRedirect(ROOT, SECOND))
        assert harness.wire(ROOT).kinds() == ["JoinRequest"] and harness.relay.locator.root == ROOT
        harness.now_s += RESPONSE_TIMEOUT_S + 0.01
        harness.relay.locator.forget_silent(harness.now_s)
        assert harness.relay.locator.root == ""
        harness.relay.on_leader_redirect(harness.wire(OTHER), frames.LeaderRedirect(ROOT, SECOND))
        assert harness.wire(ROOT).kinds() == ["JoinRequest", "JoinRequest"]
        # It is not, or no longer, the root.
        harness.relay.on_leader_redirect(harness.wire(ROOT), frames.LeaderRedirect("", SECOND))
        assert harness.relay.locator.root == ""

    run(scenario())


def test_redirect_without_a_root_is_not_answered() -> None:
    """Two nodes that know no root would answer each other endlessly."""

    async def scenario() -> None:
        harness = Part()
        harness.relay.fence.observe(THIRD)
        harness.relay.on_leader_redirect(harness.wire(OTHER), frames.LeaderRedirect("", SECOND))
        assert harness.wire(OTHER).sent == []

    run(scenario())


def test_group_of_the_newest_epoch_is_kept() -> None:
    async def scenario() -> None:
        harness = Part().under(SECOND)
        harness.relay.on_leader_redirect(harness.wire(OTHER), frames.LeaderRedirect("", FIRST, ("10.9.9.9",)))
        assert list(harness.relay.fence.group) == [ROOT, OTHER]
        harness.relay.on_leader_redirect(harness.wire(OTHER), frames.LeaderRedirect("", THIRD, (OTHER,)))
        assert list(harness.relay.fence.group) == [OTHER]

    run(scenario())


# -- nodes that don't receive answers -----------------------------------------------------------------------------


def test_node_that_does_not_receive_the_roots_answers_gets_no_children() -> None:
    registry = NodeRegistry("root")
    for name in ("root", "one", "two"):
        registry.register(
            frames.JoinRequest(name, name, "a", frames.SERVES_CLIENTS, 1, "", epoch=SECOND, acknowledged_epoch=SECOND),
            0.0,
            SECOND,
        )
    first = next(record.name for record in registry.order("a") if record.name != "root")

    def may_have_children(at_s: float, acknowledged_epoch: int) -> bool:
        """Whether the node may have children after this registration."""
        registry.register(
            frames.JoinRequest(
                first, first, "a", frames.SERVES_CLIENTS, 1, "", epoch=SECOND, acknowledged_epoch=acknowledged_epoch
            ),
            at_s,
            SECOND,
        )
        return registry.order("a")[1].name == first

    assert may_have_children(1.0, FIRST) and may_have_children(1.2, FIRST)
    assert not may_have_children(1.0 + UNREACHABLE_AFTER_S, FIRST) and not may_have_children(1.7, FIRST)
    assert may_have_children(1.8, SECOND)
    # Not repeated without an answer: the registration at 1.8 s acknowledged one.
    assert may_have_children(3.0, FIRST) and may_have_children(6.0, FIRST)


def test_root_names_itself_by_its_own_address() -> None:
    async def scenario() -> None:
        harness = Part().lead(SECOND)
        assert harness.relay.position.known_leader() == ME and harness.relay.position.message_epoch() == SECOND

    run(scenario())
