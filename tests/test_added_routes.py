"""Added routes are served immediately, and no node reverts to an older configuration."""

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

SETTINGS = parse(
    "node=edge-1\nip=127.0.0.1\nzone=a\nlisteners.front=127.0.0.1:8641\ninternalPorts=7620,7635\n"
    "seedPeers=127.0.0.2:8649\nbootstrap=true\n",
    "boot.conf",
)


def configuration_body(revision: int, *plants: str, **changes: Any) -> bytes:
    """Encode the demo configuration with an additional route `/NAME/` for each given service."""
    values = demo_configuration(revision)
    values["plants"] += [values["plants"][0] | {"label": plant} for plant in plants]
    values["channels"] += [
        values["channels"][0] | {"label": plant, "prefix": f"/{plant}/", "plant": plant} | changes for plant in plants
    ]
    return cbor2.dumps(values)


def endpoints(*plants: str) -> dict[str, endpoint_list.Endpoint]:
    return {
        f"{plant}-{number}": endpoint_list.Endpoint(
            f"{plant}-{number}", plant, ("127.0.0.1", 9), "a", 4, endpoint_list.IN_SERVICE, 0
        )
        for plant in plants
        for number in range(3)
    }


def selected_service(gateway: Gateway, path: str, ident: str) -> str:
    """Return the service that a request is immediately sent to, or an empty text if it is not sent."""
    sent: list[str] = []
    gateway.execute = lambda request, action: sent.append(getattr(action, "server", ""))  # type: ignore
    message = RequestMessage(
        b"GET",
        path.encode(),
        [(name.lower(), name, value) for name, value in ((b"Host", HOST.encode()), (b"Attempt-Id", ident.encode()))],
        b"",
        True,
        gateway.now_us(),
    )
    gateway.serve(message, Mock(admitted=True, closing=False))
    return next((server.rpartition("-")[0] for server in sent if server), "")


APPLY_CONFIGURATION: Callable[[Gateway], None] = lambda gateway: gateway.apply_configuration(  # noqa: E731
    configuration.read(configuration_body(2, "added", "other"))
)
UPDATE_SERVERS: Callable[[Gateway], None] = lambda gateway: gateway.update_servers(  # noqa: E731
    endpoints("finder", "booker", "added", "other")
)


@pytest.mark.parametrize(
    "steps",
    [
        (UPDATE_SERVERS, APPLY_CONFIGURATION),
        (APPLY_CONFIGURATION, UPDATE_SERVERS),
        (UPDATE_SERVERS, APPLY_CONFIGURATION, UPDATE_SERVERS),
    ],
    ids=["list first", "configuration first", "list again"],
)
def test_the_balancer_of_a_new_service_has_its_servers_immediately(
    steps: tuple[Callable[[Gateway], None], ...],
) -> None:
    async def scenario() -> None:
        gateway = Gateway(SETTINGS)
        gateway.apply_configuration(configuration.read(configuration_body(1)))
        if steps[0] is APPLY_CONFIGURATION:
            gateway.update_servers(endpoints("finder", "booker"))
        for step in steps:
            step(gateway)
        for number in range(20):
            assert (
                selected_service(gateway, "/added/1", f"a{number}") == "added"
                and selected_service(gateway, "/other/", f"o{number}") == "other"
            )

    run(scenario())


def test_a_restored_route_uses_the_current_servers() -> None:
    async def scenario() -> None:
        gateway = Gateway(SETTINGS)
        APPLY_CONFIGURATION(gateway)
        UPDATE_SERVERS(gateway)
        gateway.apply_configuration(configuration.read(configuration_body(3)))
        with pytest.raises(BadRequestError) as caught:
            selected_service(gateway, "/added/1", "x")
        assert caught.value.status == 404
        gateway.update_servers(endpoints("finder", "booker"))  # its servers are replaced meanwhile
        gateway.update_servers(
            endpoints("finder", "booker")
            | {
                "added-9": endpoint_list.Endpoint(
                    "added-9", "added", ("127.0.0.1", 9), "a", 4, endpoint_list.IN_SERVICE, 0
                )
            }
        )
        gateway.apply_configuration(configuration.read(configuration_body(4, "added")))
        assert selected_service(gateway, "/added/1", "y") == "added"

    run(scenario())


def test_requests_of_a_new_class_are_sent_immediately() -> None:
    """The added route belongs to a service that already has routes, but its requests form a new class."""

    async def scenario() -> None:
        gateway = Gateway(SETTINGS)
        gateway.apply_configuration(configuration.read(configuration_body(1)))
        gateway.update_servers(endpoints("finder", "booker"))
        values = demo_configuration(2)
        values["channels"].append(
            values["channels"][0] | {"label": "new", "prefix": "/new/", "cutoffMs": 1234, "rank": 9}
        )
        gateway.apply_configuration(configuration.read(cbor2.dumps(values)))
        for number in range(20):
            assert selected_service(gateway, "/new/1", f"n{number}") == "finder"

    run(scenario())


# -- older revisions ----------------------------------------------------------------------------------------------


def make_tree_node(applied_revisions: list[int]) -> tuple[TreeNode, Link]:
    peers = Peers("127.0.0.1", 1, lambda link, frame: None, lambda link: None, 1000.0)
    tree = TreeNode(SETTINGS, peers, frames.SERVES_CLIENTS)
    tree.configuration.on_committed = lambda revision, body: applied_revisions.append(revision)
    return tree, Link(peers, "127.0.0.9")


def test_an_older_revision_is_never_applied() -> None:
    async def scenario() -> None:
        applied_revisions: list[int] = []
        tree, link = make_tree_node(applied_revisions)
        old, new = configuration_body(4), configuration_body(5)
        tree.fence.observe(512)
        tree.configuration.publish(5, new)
        tree.configuration.publish(4, old)
        tree.configuration.store.put(old)
        tree.configuration.on_announcement(link, frames.ConfigurationAnnouncement(4, digest(old), 512))
        tree.configuration.on_announcement(
            link, frames.ConfigurationAnnouncement(5, digest(old), 512)
        )  # another body with the same revision
        assert tree.configuration.newest == (5, digest(new)) and not tree.configuration.transfer.digest
        data = tree.configuration.store.inline_delta(digest(old), digest(new))
        assert data
        tree.configuration.on_delta(link, frames.ConfigurationDelta(4, digest(old), digest(new), data, 768))
        assert applied_revisions == [5] and (tree.configuration.revision, tree.configuration.body) == (5, new)

    run(scenario())


def test_a_body_that_arrives_after_a_newer_one_is_not_applied() -> None:
    """Its fetch started while it was the newest; two newer bodies arrived in the meantime."""

    async def scenario() -> None:
        applied_revisions: list[int] = []
        tree, link = make_tree_node(applied_revisions)
        bodies = [configuration_body(revision) for revision in (4, 5, 6)]
        tree.configuration.on_announcement(link, frames.ConfigurationAnnouncement(4, digest(bodies[0]), 512))
        assert tree.configuration.transfer.digest == digest(bodies[0]) and not applied_revisions
        tree.configuration.publish(6, bodies[2])
        tree.configuration.fetcher.store_and_deliver(digest(bodies[0]), bodies[0])
        tree.configuration.complete_fetch(5, bodies[1], link.ip)
        assert applied_revisions == [6] and tree.configuration.body == bodies[2]

    run(scenario())
