"""Each rule of docs/design/fencing.md by itself, at a node of the tree."""

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


def rows() -> bytes:
    made = EndpointList(7)
    made.update_from_platform([])
    return made.snapshot().rows


def verdict(part: Part, link: Wire, epoch: int) -> None:
    taken: list[tuple[str, ...]] = []
    OutlierReports(part.relay.context, part.relay, taken.append).on_ejection(
        link, frames.OutlierEjection("a", ("s",), epoch)
    )
    if taken:
        part.relay.heartbeats.numbers[99] = 1  # a change that `state` shows


#: Each word that a parent, or the root, says, under an epoch.
WORDS: dict[str, Callable[[Part, Wire, int], None]] = {
    "ConfigurationAnnouncement": lambda part, link, epoch: part.relay.configuration.on_announcement(
        link, frames.ConfigurationAnnouncement(3, digest(BODY), epoch)
    ),
    "ConfigurationDelta": lambda part, link, epoch: part.relay.configuration.on_delta(
        link, frames.ConfigurationDelta(3, digest(BODY), bytes(32), b"", epoch)
    ),
    "EndpointUpdate": lambda part, link, epoch: part.relay.on_endpoint_update(
        link, frames.EndpointUpdate(7, 0, 1, 1, rows(), epoch)
    ),
    "RootHeartbeat": lambda part, link, epoch: part.relay.on_heartbeat(
        link, frames.RootHeartbeat(7, 0, 0, 3, 9, epoch)
    ),
    "ParentAssignment": lambda part, link, epoch: part.place(epoch, OTHER),
    "LeaderRedirect": lambda part, link, epoch: part.relay.on_leader_redirect(
        link, frames.LeaderRedirect(OTHER, epoch)
    ),
    "OutlierEjection": verdict,
}


def state(part: Part) -> Any:
    relay = part.relay
    locator, subscription = relay.locator, relay.subscription
    return (
        relay.configuration.newest,
        relay.endpoints.endpoints.sequence,
        dict(relay.heartbeats.numbers),
        relay.registration.assignment,
        locator.root,
        locator.asked_s,
        subscription.epoch,
        subscription.heard_s,
    )


@pytest.mark.parametrize("word", WORDS)
def test_a_word_of_an_epoch_that_is_over_changes_nothing_and_its_sender_learns_why(word: str) -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        part.relay.fence.observe(THIRD)
        part.now_s += 0.5
        link, before = part.wire(ROOT), state(part)
        WORDS[word](part, link, SECOND)
        assert state(part) == before
        assert [frame for frame in link.sent if isinstance(frame, frames.LeaderRedirect)] == [
            part.relay.fence.redirect()
        ]
        link.sent.clear()
        WORDS[word](part, link, THIRD)
        assert state(part) != before and "LeaderRedirect" not in link.kinds()
        WORDS[word](part, link, FOURTH)
        assert part.relay.fence.epoch == FOURTH

    run(scenario())


def test_the_highest_epoch_that_was_seen_holds_whoever_tells_of_it() -> None:
    async def scenario() -> None:
        for told in (
            lambda part: part.relay.on_leader_redirect(part.wire(OTHER), frames.LeaderRedirect("", THIRD)),
            lambda part: part.child(THIRD),
            lambda part: GatewayNode.on_join(
                cast(Any, SimpleNamespace(tree=part.relay, core=None, bootstrap=None)),
                part.wire(OTHER),
                frames.JoinRequest("x", OTHER, "a", 0, 0, "", epoch=THIRD),
            ),
        ):
            part = Part().under(SECOND)
            told(part)
            assert part.relay.fence.epoch == THIRD
            part.relay.fence.observe(FIRST)
            assert part.relay.fence.epoch == THIRD

    run(scenario())


def test_all_that_a_root_says_carries_the_epoch_in_which_it_leads() -> None:
    async def scenario() -> None:
        part = Part().lead(SECOND)
        relay = part.relay
        link = part.child(FIRST)
        assert link.kinds()[0] == "LeaderRedirect"  # it has seen less, and learns the epoch of now
        relay.configuration.publish(3, BODY)
        relay.endpoints.endpoints.update_from_platform([])
        relay.configuration.publish(4, b"another")
        relay.fence.observe(THIRD)  # the same root, by a view with the same tail
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
            late = part.child(THIRD, f"10.0.0.{30 + number}", revision)
            assert {cast(Any, frame).epoch for frame in late.sent} == {THIRD} and len(late.sent) == 3 - (revision == 5)

    run(scenario())


def test_a_beat_of_an_epoch_that_is_over_or_whose_root_is_not_fresh_is_told_to_no_new_child() -> None:
    async def scenario() -> None:
        root = Part().lead(SECOND)
        root.relay.fence.observe(THIRD)  # and no beat of it yet
        assert "RootHeartbeat" not in root.child(THIRD).kinds()
        part = Part().under(SECOND)
        assert "RootHeartbeat" in part.child(SECOND).kinds()
        part.now_s += (FRESHNESS_S + SEARCH_AFTER_S) / 2
        assert part.child(SECOND, "10.0.0.21").kinds() == []

    run(scenario())


def test_a_relay_passes_news_on_under_the_epoch_of_the_beat_that_it_had() -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        link = part.child(SECOND)
        part.relay.configuration.on_announcement(
            part.wire(ROOT), frames.ConfigurationAnnouncement(3, digest(BODY), SECOND)
        )
        (news,) = [frame for frame in link.sent if isinstance(frame, frames.ConfigurationAnnouncement)]
        assert news.epoch == SECOND

    run(scenario())


def test_a_child_that_comes_while_the_news_here_is_of_an_epoch_that_is_over_is_told_none_of_it() -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        part.relay.configuration.publish(3, BODY)
        part.relay.fence.observe(THIRD)
        part.relay.on_assignment(part.wire(ROOT), frames.ParentAssignment(THIRD, (ROOT,), (ROOT,), (), (), 3, 3, 0))
        link = part.child(THIRD)
        assert link in part.relay.children.links and not link.sent
        part.beat(THIRD, 2)
        assert link.kinds() == ["RootHeartbeat", "ConfigurationAnnouncement", "RootHeartbeat"] and all(
            cast(Any, one).epoch == THIRD for one in link.sent
        )

    run(scenario())


def test_a_list_that_was_not_in_force_in_this_epoch_is_told_to_nobody() -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        WORDS["EndpointUpdate"](part, part.wire(ROOT), SECOND)
        assert part.relay.endpoints.endpoints.sequence == 1
        assert "EndpointUpdate" in part.child(SECOND).kinds()
        part.relay.fence.observe(THIRD)
        part.place(THIRD)
        part.relay.on_heartbeat(
            part.wire(ROOT), frames.RootHeartbeat(8, 1, 0, 3, 1, THIRD)
        )  # another life: another list
        assert "EndpointUpdate" not in part.child(THIRD, "10.0.0.22").kinds()
        part.relay.on_heartbeat(
            part.wire(ROOT), frames.RootHeartbeat(7, 1, 0, 3, 2, THIRD)
        )  # this very list is in force
        assert "EndpointUpdate" in part.child(THIRD, "10.0.0.23").kinds()

    run(scenario())


def test_a_join_and_an_attach_tell_what_their_sender_has_seen_and_was_given() -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        part.relay.fence.observe(THIRD)
        part.relay.send_registration(OTHER)
        part.relay.subscription.subscribe(OTHER)
        join, attach = part.wire(OTHER).sent
        assert isinstance(join, frames.JoinRequest) and (join.epoch, join.acknowledged_epoch) == (THIRD, SECOND)
        assert isinstance(attach, frames.Subscribe) and attach.epoch == THIRD

    run(scenario())


# -- no hearsay ---------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("loses", ["nothing", "its parent", "the root's word", "the epoch"])
def test_a_node_names_the_root_only_by_that_one_s_own_fresh_word(loses: str) -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        if loses == "its parent":
            part.relay.subscription.parent = None
        elif loses == "the root's word":
            part.now_s += FRESHNESS_S + 0.01
        elif loses == "the epoch":
            part.relay.fence.observe(THIRD)
        assert part.relay.position.known_leader() == (ROOT if loses == "nothing" else "")
        assert part.relay.fence.redirect() == frames.LeaderRedirect(
            part.relay.position.known_leader(), part.relay.fence.epoch, (ROOT, OTHER)
        )

    run(scenario())


@pytest.mark.parametrize(
    ("why", "taken"), [("nothing", True), ("no parent", False), ("no beat", False), ("an epoch that is over", False)]
)
def test_a_relay_that_looks_for_the_root_takes_no_children(why: str, taken: bool) -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        if why == "no parent":
            part.relay.subscription.parent = None
        elif why == "no beat":
            part.now_s += SEARCH_AFTER_S + 0.01
        elif why == "an epoch that is over":
            part.relay.fence.observe(THIRD)
        assert part.relay.position.needs_root(part.now_s) is not taken
        link = part.child(part.relay.fence.epoch)
        assert (link in part.relay.children.links) is taken and ("Unsubscribed" in link.kinds()) is not taken

    run(scenario())


def test_a_root_without_a_majority_beats_no_more_and_takes_no_children() -> None:
    async def scenario() -> None:
        part = Part().lead(SECOND)
        link = part.child(SECOND)
        link.sent.clear()
        part.relay.fence.vouched_leader = lambda: ""
        part.relay.feed.send_heartbeat()
        assert link.kinds() == ["KeepAlive"]
        assert part.child(SECOND, "10.0.0.21").kinds() == ["Unsubscribed"]

    run(scenario())


def test_a_root_that_resigns_lets_its_children_go() -> None:
    async def scenario() -> None:
        part = Part().lead(SECOND)
        link = part.child(SECOND)
        part.relay.resign()
        assert not part.relay.position.is_root and not part.relay.children.links and link.kinds()[-1] == "Unsubscribed"

    run(scenario())


# -- looking for the root -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("epoch", [SECOND, THIRD])
def test_without_a_beat_a_place_of_the_same_epoch_moves_nobody_and_one_of_a_higher_does(epoch: int) -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        parent = part.relay.subscription.parent
        part.now_s += SEARCH_AFTER_S + 0.1
        part.place(epoch, OTHER)
        assert (part.relay.subscription.parent is parent) is (epoch == SECOND)
        assert part.relay.subscription.parent is part.wire(ROOT if epoch == SECOND else OTHER)

    run(scenario())


def test_a_parent_without_a_beat_is_stayed_with_for_a_bounded_time() -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        part.now_s += HEARTBEAT_TIMEOUT_S - 0.1
        part.relay.on_keep_alive(part.wire(ROOT), frames.KeepAlive())
        part.relay.tick()
        assert part.relay.subscription.parent is not None
        part.now_s += 0.2
        part.relay.on_keep_alive(part.wire(ROOT), frames.KeepAlive())
        part.relay.tick()
        assert part.relay.subscription.parent is None

    run(scenario())


def test_a_root_that_is_named_is_asked_at_once_and_once_and_given_up_when_silent() -> None:
    async def scenario() -> None:
        part = Part()
        for _ in range(3):
            part.relay.on_leader_redirect(part.wire(OTHER), frames.LeaderRedirect(ROOT, SECOND))
        assert part.wire(ROOT).kinds() == ["JoinRequest"] and part.relay.locator.root == ROOT
        part.now_s += RESPONSE_TIMEOUT_S + 0.01
        part.relay.locator.forget_silent(part.now_s)
        assert part.relay.locator.root == ""
        part.relay.on_leader_redirect(part.wire(OTHER), frames.LeaderRedirect(ROOT, SECOND))
        assert part.wire(ROOT).kinds() == ["JoinRequest", "JoinRequest"]
        part.relay.on_leader_redirect(
            part.wire(ROOT), frames.LeaderRedirect("", SECOND)
        )  # it is the root no more, or not yet
        assert part.relay.locator.root == ""

    run(scenario())


def test_who_names_nobody_is_not_answered() -> None:
    """Two that know no root would go on telling each other."""

    async def scenario() -> None:
        part = Part()
        part.relay.fence.observe(THIRD)
        part.relay.on_leader_redirect(part.wire(OTHER), frames.LeaderRedirect("", SECOND))
        assert part.wire(OTHER).sent == []

    run(scenario())


def test_the_group_is_known_by_the_newest_word_on_it() -> None:
    async def scenario() -> None:
        part = Part().under(SECOND)
        part.relay.on_leader_redirect(part.wire(OTHER), frames.LeaderRedirect("", FIRST, ("10.9.9.9",)))
        assert list(part.relay.fence.group) == [ROOT, OTHER]
        part.relay.on_leader_redirect(part.wire(OTHER), frames.LeaderRedirect("", THIRD, (OTHER,)))
        assert list(part.relay.fence.group) == [OTHER]

    run(scenario())


# -- who feeds must hear ------------------------------------------------------------------------------------------


def test_one_that_does_not_hear_the_root_feeds_nobody_until_it_does() -> None:
    registry = NodeRegistry("root")
    for name in ("root", "one", "two"):
        registry.register(
            frames.JoinRequest(name, name, "a", frames.SERVES_CLIENTS, 1, "", epoch=SECOND, acknowledged_epoch=SECOND),
            0.0,
            SECOND,
        )
    first = next(known.name for known in registry.order("a") if known.name != "root")

    def join(at_s: float, fed: int) -> bool:
        """Whether it may feed others after this join."""
        registry.register(
            frames.JoinRequest(first, first, "a", frames.SERVES_CLIENTS, 1, "", epoch=SECOND, acknowledged_epoch=fed),
            at_s,
            SECOND,
        )
        return registry.order("a")[1].name == first

    assert join(1.0, FIRST) and join(1.2, FIRST)
    assert not join(1.0 + UNREACHABLE_AFTER_S, FIRST) and not join(1.7, FIRST)
    assert join(1.8, SECOND)
    assert join(3.0, FIRST) and join(6.0, FIRST)  # no longer again and again: the answers came between


def test_the_root_itself_is_named_by_its_own_address() -> None:
    async def scenario() -> None:
        part = Part().lead(SECOND)
        assert part.relay.position.known_leader() == ME and part.relay.position.message_epoch() == SECOND

    run(scenario())
