"""Repeated request IDs and late responses: no client gets the response to another request."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cypressbeam.proxy.upstream import ServerConnection
from lab.adversarial_servers import SOON_S, ReceivedAttempt, SentRequest, World, answer, play

pytestmark = pytest.mark.usefixtures("quiet")


async def next_attempt(world: World) -> ReceivedAttempt:
    await world.settle()
    (attempt,) = world.fresh
    world.fresh.clear()
    return attempt


def keep_one_server(world: World) -> None:
    """Remove all servers but one."""
    for server_id in [*world.states][1:]:
        del world.states[server_id]
    world.tell()


def test_a_second_client_with_the_same_request_id_is_rejected_while_the_first_is_in_flight() -> None:
    async def scenario(world: World) -> None:
        first, second = world.client(), world.client()
        first.ask(SentRequest("same", "read"))
        attempt = await next_attempt(world)
        second.ask(SentRequest("same", "book"))
        await world.settle()
        assert [status for status, _, _ in second.answers()] == [400] and not world.fresh
        second.leave()  # which does not affect the first client
        await world.settle()
        attempt.wire.feed(answer(attempt, body=b"of the first"))
        assert [(status, body) for status, _, body in first.answers()] == [(200, b"of the first")]

    play(scenario)


@pytest.mark.parametrize("kind", ["read", "book"])
def test_a_request_id_reused_after_a_disconnect_gets_a_separate_connection(kind: str) -> None:
    async def scenario(world: World) -> None:
        keep_one_server(world)
        first, second = world.client(), world.client()
        first.ask(SentRequest("same", kind))
        earlier = await next_attempt(world)
        first.leave()
        await world.settle()
        second.ask(SentRequest("same", "read"))
        attempt = await next_attempt(world)
        earlier.wire.feed(answer(earlier, body=b"of the first"))
        await world.settle()
        assert attempt.wire is not earlier.wire and earlier.wire.closing and not second.answers()
        attempt.wire.feed(answer(attempt, body=b"of the second"))
        assert [body for _, _, body in second.answers()] == [b"of the second"]

    play(scenario)


def test_a_request_id_is_never_sent_twice_on_a_connection() -> None:
    async def scenario(world: World) -> None:
        keep_one_server(world)
        first, second = world.client(), world.client()
        first.ask(SentRequest("same", "read"))
        earlier = await next_attempt(world)
        earlier.wire.feed(answer(earlier, body=b"of the first"))
        await world.settle()
        assert world.pooled(earlier.wire)
        second.ask(SentRequest("same", "read"))
        attempt = await next_attempt(world)
        assert attempt.wire is not earlier.wire and world.pooled(
            earlier.wire
        )  # the earlier connection stays available for other requests
        earlier.wire.feed(answer(earlier, body=b"of the first"))
        attempt.wire.feed(answer(attempt, body=b"of the second"))
        assert [body for _, _, body in second.answers()] == [b"of the second"]
        first.ask(SentRequest("next", "read"))
        assert (await next_attempt(world)).wire is attempt.wire

    play(scenario)


# -- bytes on a connection without a request ------------------------------------------------------------------

LATE_BYTES: dict[str, Callable[[ReceivedAttempt], bytes]] = {
    "a duplicate response": lambda attempt: answer(attempt, body=b"copy"),
    "a byte": lambda attempt: b"x",
    "the start of a response": lambda attempt: answer(attempt)[:30],
    "a response without the name of its request": lambda attempt: (
        b"HTTP/1.1 200 OK\r\nServer-Seal: a\r\nContent-Length: 2\r\n\r\nok"
    ),
}


@pytest.mark.parametrize("late", LATE_BYTES)
def test_an_idle_connection_that_receives_bytes_is_closed_and_not_reused(late: str) -> None:
    async def scenario(world: World) -> None:
        keep_one_server(world)
        client = world.client()
        client.ask(SentRequest("one", "read"))
        earlier = await next_attempt(world)
        earlier.wire.feed(answer(earlier))
        await world.settle(SOON_S)
        assert world.pooled(earlier.wire)
        earlier.wire.feed(LATE_BYTES[late](earlier))
        assert earlier.wire.closing and not any(place.idle for place in world.gate.upstream.pools.values())
        client.ask(SentRequest("two", "read"))
        assert (await next_attempt(world)).wire is not earlier.wire

    play(scenario)


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("late", LATE_BYTES)
def test_bytes_that_arrive_between_the_idle_check_and_the_write_belong_to_no_request(
    late: str, together: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are read as if they were the response: separately, or in one read with the start of the expected one."""
    quiet = ServerConnection.quiet

    async def scenario(world: World) -> None:
        keep_one_server(world)
        client = world.client()
        client.ask(SentRequest("one", "book"))
        earlier = await next_attempt(world)
        earlier.wire.feed(answer(earlier))
        await world.settle()

        def quiet_then_bytes_arrive(self: ServerConnection) -> bool:
            found = quiet(self)
            earlier.wire.arrive(LATE_BYTES[late](earlier))
            return found

        monkeypatch.setattr(ServerConnection, "quiet", quiet_then_bytes_arrive)
        client.ask(SentRequest("two", "book"))
        attempt = await next_attempt(world)
        monkeypatch.setattr(ServerConnection, "quiet", quiet)
        assert attempt.wire is earlier.wire
        expected = answer(attempt, body=b"right")
        if together:
            attempt.wire.inbox[-1] += expected[:60]  # type: ignore[operator]
        attempt.wire.read()
        attempt.wire.feed(expected[60 if together else 0 :])
        await world.settle(SOON_S)
        status, _, body = client.answers()[-1]
        assert (status, body) == ((200, b"right") if late == "a duplicate response" else (502, b""))

    play(scenario)
