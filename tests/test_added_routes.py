"""A route that is added is served at once, and no node goes back to what was in force before it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest.mock import Mock

import cbor2
import pytest

from cypressbeam.distribution import endpoint_list
from cypressbeam.distribution.tree_node import TreeNode
from cypressbeam.protocol import configuration, frames
from cypressbeam.protocol.configuration import digest
from cypressbeam.protocol.settings import parse
from cypressbeam.proxy.gateway import Gateway
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage
from cypressbeam.transport.peers import Link, Peers
from lab.local_cluster import HOST, demo_configuration
from tests.loopback import run

BOOT = parse(
    "node=edge-1\nip=127.0.0.1\nzone=a\nlisteners.front=127.0.0.1:8641\ninternalPorts=7620,7635\n"
    "seedPeers=127.0.0.2:8649\nbootstrap=true\n",
    "boot.conf",
)


def document(revision: int, *plants: str, **changes: Any) -> bytes:
    """The usual one, and a route `/NAME/` to each further service."""
    made = demo_configuration(revision)
    made["plants"] += [made["plants"][0] | {"label": plant} for plant in plants]
    made["channels"] += [
        made["channels"][0] | {"label": plant, "prefix": f"/{plant}/", "plant": plant} | changes for plant in plants
    ]
    return cbor2.dumps(made)


def servers(*plants: str) -> dict[str, endpoint_list.Endpoint]:
    return {
        f"{plant}-{number}": endpoint_list.Endpoint(
            f"{plant}-{number}", plant, ("127.0.0.1", 9), "a", 4, endpoint_list.IN_SERVICE, 0
        )
        for plant in plants
        for number in range(3)
    }


def asked(gate: Gateway, path: str, ident: str) -> str:
    """The service that a request is sent to at once; nothing if to none."""
    sent: list[str] = []
    gate.execute = lambda desk, action: sent.append(getattr(action, "server", ""))  # type: ignore
    message = RequestMessage(
        b"GET",
        path.encode(),
        [(name.lower(), name, value) for name, value in ((b"Host", HOST.encode()), (b"Attempt-Id", ident.encode()))],
        b"",
        True,
        gate.now_us(),
    )
    gate.serve(message, Mock(admitted=True, closing=False))
    return next((server.rpartition("-")[0] for server in sent if server), "")


CONFIGURED: Callable[[Gateway], None] = lambda gate: gate.apply_configuration(  # noqa: E731
    configuration.read(document(2, "added", "other"))
)
LISTED: Callable[[Gateway], None] = lambda gate: gate.update_servers(  # noqa: E731
    servers("finder", "booker", "added", "other")
)


@pytest.mark.parametrize(
    "steps",
    [(LISTED, CONFIGURED), (CONFIGURED, LISTED), (LISTED, CONFIGURED, LISTED)],
    ids=["list first", "configuration first", "list again"],
)
def test_the_balancer_of_a_new_service_knows_its_servers_at_once(steps: tuple[Callable[[Gateway], None], ...]) -> None:
    async def scenario() -> None:
        gate = Gateway(BOOT)
        gate.apply_configuration(configuration.read(document(1)))
        if steps[0] is CONFIGURED:
            gate.update_servers(servers("finder", "booker"))
        for step in steps:
            step(gate)
        for number in range(20):
            assert asked(gate, "/added/1", f"a{number}") == "added" and asked(gate, "/other/", f"o{number}") == "other"

    run(scenario())


def test_a_route_that_was_dropped_and_is_back_is_served_with_the_servers_of_now() -> None:
    async def scenario() -> None:
        gate = Gateway(BOOT)
        CONFIGURED(gate)
        LISTED(gate)
        gate.apply_configuration(configuration.read(document(3)))
        with pytest.raises(BadRequestError) as caught:
            asked(gate, "/added/1", "x")
        assert caught.value.status == 404
        gate.update_servers(servers("finder", "booker"))  # its servers go meanwhile, and others come
        gate.update_servers(
            servers("finder", "booker")
            | {
                "added-9": endpoint_list.Endpoint(
                    "added-9", "added", ("127.0.0.1", 9), "a", 4, endpoint_list.IN_SERVICE, 0
                )
            }
        )
        gate.apply_configuration(configuration.read(document(4, "added")))
        assert asked(gate, "/added/1", "y") == "added"

    run(scenario())


def test_a_kind_of_request_that_a_balancer_did_not_know_is_sent_on_at_once() -> None:
    """The added route leads to a service that has others, and asks for something else."""

    async def scenario() -> None:
        gate = Gateway(BOOT)
        gate.apply_configuration(configuration.read(document(1)))
        gate.update_servers(servers("finder", "booker"))
        made = demo_configuration(2)
        made["channels"].append(made["channels"][0] | {"label": "new", "prefix": "/new/", "cutoffMs": 1234, "rank": 9})
        gate.apply_configuration(configuration.read(cbor2.dumps(made)))
        for number in range(20):
            assert asked(gate, "/new/1", f"n{number}") == "finder"

    run(scenario())


# -- never back ---------------------------------------------------------------------------------------------------


def relay_of(taken: list[int]) -> tuple[TreeNode, Link]:
    peers = Peers("127.0.0.1", 1, lambda link, frame: None, lambda link: None, 1000.0)
    relay = TreeNode(BOOT, peers, frames.SERVES_CLIENTS)
    relay.configuration.on_committed = lambda revision, body: taken.append(revision)
    return relay, Link(peers, "127.0.0.9")


def test_an_older_version_is_not_taken_whichever_way_it_comes() -> None:
    async def scenario() -> None:
        taken: list[int] = []
        relay, link = relay_of(taken)
        old, new = document(4), document(5)
        relay.fence.observe(512)
        relay.configuration.publish(5, new)
        relay.configuration.publish(4, old)
        relay.configuration.store.put(old)
        relay.configuration.on_announcement(link, frames.ConfigurationAnnouncement(4, digest(old), 512))
        relay.configuration.on_announcement(
            link, frames.ConfigurationAnnouncement(5, digest(old), 512)
        )  # another one under the same number
        assert relay.configuration.newest == (5, digest(new)) and not relay.configuration.transfer.digest
        data = relay.configuration.store.inline_delta(digest(old), digest(new))
        assert data
        relay.configuration.on_delta(link, frames.ConfigurationDelta(4, digest(old), digest(new), data, 768))
        assert taken == [5] and (relay.configuration.revision, relay.configuration.body) == (5, new)

    run(scenario())


def test_a_body_that_comes_after_a_newer_one_is_no_news() -> None:
    """It was asked for while it was the newest; two others came meanwhile."""

    async def scenario() -> None:
        taken: list[int] = []
        relay, link = relay_of(taken)
        bodies = [document(revision) for revision in (4, 5, 6)]
        relay.configuration.on_announcement(link, frames.ConfigurationAnnouncement(4, digest(bodies[0]), 512))
        assert relay.configuration.transfer.digest == digest(bodies[0]) and not taken
        relay.configuration.publish(6, bodies[2])
        relay.configuration.fetcher.store_and_deliver(digest(bodies[0]), bodies[0])
        relay.configuration.complete_fetch(5, bodies[1], link.ip)
        assert taken == [6] and relay.configuration.body == bodies[2]

    run(scenario())
