"""Long polling of the server list."""

from __future__ import annotations

import json
from typing import Any

import pytest

from cypressbeam.standalone.discovery import parse_server_list
from tests.loopback import ReceivedRequest, StubServer, run, running_node, server_list, server_row, within_timeout


def respond(call: ReceivedRequest, document: Any) -> None:
    call.reply(body=json.dumps(document).encode())


def test_changes_and_snapshots_are_applied() -> None:
    async def scenario() -> None:
        async with running_node(servers=3) as node_fixture:
            ports = [server.port for server in node_fixture.servers]
            call = await node_fixture.agent.next()
            assert call.target.startswith("/v1/endpoints?after=1&wait_ms=")
            respond(call, server_list(2, server_row(0, ports[0], lifecycle="leaving"), whole=False))
            call = await node_fixture.agent.next()
            assert call.target.startswith("/v1/endpoints?after=2&") and node_fixture.node.active_servers == {"s1", "s2"}
            respond(call, server_list(5, server_row(1, ports[1]), server_row(9, ports[2])))
            await node_fixture.agent.next()
            assert node_fixture.node.active_servers == {"s1", "s9"} and len(node_fixture.agent.peers) == 1
            assert node_fixture.node.balancer.servers["s2"].is_inactive
            assert not node_fixture.node.balancer.servers["s9"].is_inactive

    run(scenario())


INVALID_LISTS: list[Any] = [
    [],
    {},
    {"generation": 2, "reset": False, "instances": [7]},
    server_list(2, server_row(0, 1, lifecycle="odd")),
    server_list(2, server_row(0, 99_999)),
    server_list(2, server_row(0, 1, startedAtMs="x")),
    server_list(2, server_row(0, 1, weight=-1)),
]


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"",
        b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n{]}",
        b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n\xff\xfe\xfd",
        "[" * 100_000,
        *(json.dumps(document) for document in INVALID_LISTS),
    ],
    ids=lambda answer: str(answer)[:60],
)
def test_a_failed_poll_is_retried_and_keeps_the_list(answer: bytes | str) -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            call = await node_fixture.agent.next()
            if isinstance(answer, str):
                call.reply(body=answer.encode())
            else:
                call.raw(answer)
                if not answer:
                    call.peer.transport.abort()
            call = await node_fixture.agent.next()
            assert node_fixture.node.active_servers == {"s0"}
            client = await node_fixture.client()
            client.send()
            (await node_fixture.servers[0].next()).reply()
            assert (await client.answer()).status == 200
            respond(call, server_list(7, server_row(3, 1)))
            await node_fixture.agent.next()
            assert node_fixture.node.active_servers == {"s3"}

    run(scenario())


def test_a_snapshot_is_fetched_when_the_version_goes_backwards() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            respond(await node_fixture.agent.next(), server_list(0, whole=False))
            call = await node_fixture.agent.next()
            assert call.target == "/v1/endpoints"
            respond(call, server_list(0, server_row(4, 1)))
            call = await node_fixture.agent.next()
            assert call.target.startswith("/v1/endpoints?after=0&") and node_fixture.node.active_servers == {"s4"}

    run(scenario())


def test_a_discovery_service_is_polled_when_the_balancer_subscribes() -> None:
    async def scenario() -> None:
        async with running_node(changes={"membershipMode": "ask"}) as node_fixture:
            call = await node_fixture.agent.next()  # the balancer subscribes when it starts
            call.reply(503)
            call = await node_fixture.agent.next()  # and again after a failure
            respond(call, server_list(2, server_row(5, 1)))
            await node_fixture.agent.next()
            assert node_fixture.node.active_servers == {"s5"} and node_fixture.node.balancer.failed_list_calls == 0

    run(scenario())


def test_an_agent_that_closes_the_connection_is_reconnected_at_once() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            call = await node_fixture.agent.next()
            call.reply(body=json.dumps(server_list(2, whole=False)).encode(), head="Connection: close\r\n")
            await node_fixture.agent.next()
            await within_timeout(call.peer.lost.wait())
            assert len(node_fixture.agent.peers) == 2 and node_fixture.node.active_servers == {"s0"}

    run(scenario())


def test_a_server_that_left_may_be_listed_without_an_address() -> None:
    async def scenario() -> None:
        async with running_node(servers=2) as node_fixture:
            gone = {"instanceId": "s1", "lifecycle": "left"}
            respond(await node_fixture.agent.next(), server_list(2, gone, whole=False))
            await node_fixture.agent.next()
            assert node_fixture.node.active_servers == {"s0"} and list(node_fixture.node.upstream.pools) == ["s0"]

    run(scenario())


def test_a_snapshot_is_fetched_after_the_running_poll() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            call = await node_fixture.agent.next()
            node_fixture.node.discovery.fetch_snapshot()
            respond(call, server_list(2, server_row(1, 1), whole=False))
            call = await node_fixture.agent.next()
            assert call.target == "/v1/endpoints" and node_fixture.node.active_servers == {"s0", "s1"}
            respond(call, server_list(3, server_row(2, 1)))
            call = await node_fixture.agent.next()
            assert call.target.startswith("/v1/endpoints?after=3&") and node_fixture.node.active_servers == {"s2"}
            assert len(node_fixture.agent.peers) == 1

    run(scenario())


def test_a_new_address_keeps_the_list_and_version_until_it_responds() -> None:
    """After a change of the configured address, no update is missed and the list is not discarded."""

    async def scenario() -> None:
        async with running_node() as node_fixture:
            old_call = await node_fixture.agent.next()
            first, second = StubServer(), StubServer()
            for agent in (first, second):
                await agent.start()
            node_fixture.node.discovery.change_address(("127.0.0.1", first.port))
            unanswered_call = await first.next()
            assert unanswered_call.target.startswith("/v1/endpoints?after=1&wait_ms=")
            # The old address stays in use until a new one has responded, also if the address changes again before that.
            respond(old_call, server_list(2, server_row(1, 1), whole=False))
            node_fixture.node.discovery.change_address(("127.0.0.1", second.port))
            await within_timeout(unanswered_call.peer.lost.wait())
            next_old_call = await node_fixture.agent.next()
            assert node_fixture.node.active_servers == {"s0", "s1"} and not next_old_call.peer.lost.is_set()
            call = await second.next()
            respond(call, server_list(2, whole=False))
            await within_timeout(next_old_call.peer.lost.wait())
            call = await second.next()
            assert call.target.startswith("/v1/endpoints?after=2&") and node_fixture.node.active_servers == {"s0", "s1"}
            respond(call, server_list(3, server_row(2, 1), whole=False))
            await second.next()
            assert node_fixture.node.active_servers == {"s0", "s1", "s2"} and node_fixture.agent.received.empty()
            first.stop()
            second.stop()

    run(scenario())


def test_a_previous_address_that_closes_is_not_reconnected() -> None:
    async def scenario() -> None:
        async with running_node() as node_fixture:
            old_call = await node_fixture.agent.next()
            new_agent = StubServer()
            await new_agent.start()
            node_fixture.node.discovery.change_address(("127.0.0.1", new_agent.port))
            await new_agent.next()
            task = node_fixture.node.discovery.previous_task
            old_call.peer.transport.abort()
            assert task is not None
            await within_timeout(task)
            assert len(node_fixture.agent.peers) == 1 and node_fixture.node.active_servers == {"s0"}
            new_agent.stop()

    run(scenario())


def test_start_times_are_converted_to_microseconds() -> None:
    listed = parse_server_list(server_list(1, server_row(0, 1, startedAtMs=1_700_000_000_000))).servers[0]
    assert listed.entry.started_us == 1_700_000_000_000_000 and listed.address == ("127.0.0.1", 1)
