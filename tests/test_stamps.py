"""A failure bears a server's stamp only with that server's own status: every place that makes or changes a status."""

from __future__ import annotations

import ast
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from cypressbeam.balancing.balancer import Balancer
from cypressbeam.balancing.interface import AttemptEnded
from cypressbeam.proxy.gateway import Gateway
from cypressbeam.proxy.http_responses import Answer
from lab.adversarial_servers import SOON_S, TO_THE_END_S, Client, SentRequest, World, answer, play

pytestmark = pytest.mark.usefixtures("quiet")

ROOT = Path(__file__).parent.parent
#: Each function between clients and servers that makes an answer. A new one needs a case below that reaches it.
MAKERS = {
    "cypressbeam/proxy/proxy_core.py": {
        "ProxyCore.refusal",
        "ProxyCore.failure",
        "ProxyCore.abandon",
        "ProxyCore.time_is_up",
        "ProxyCore.finish",
        "ProxyCore.forwarded_answer",
    },
    "cypressbeam/proxy/frontend.py": {
        "ClientConnection.handle_next",
        "ClientConnection.respond",
        "readiness",
        "error_response",
    },
    "cypressbeam/proxy/gateway.py": {"Gateway.serve"},
}


def makers(path: Path) -> set[str]:
    found = set()
    for place in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        for child in ast.iter_child_nodes(place):
            if isinstance(child, ast.FunctionDef) and any(
                isinstance(call, ast.Call) and getattr(call.func, "id", "") in ("Answer", "replace")
                for call in ast.walk(child)
            ):
                found.add(f"{place.name}.{child.name}" if isinstance(place, ast.ClassDef) else child.name)
    return found


def test_all_places_that_make_an_answer_are_known() -> None:
    assert {name: makers(ROOT / name) for name in MAKERS} == MAKERS


async def servers_say(world: World, status: int, more: str = "") -> None:
    """All that are asked answer so, until nobody is asked any more."""
    for _ in range(6):
        await world.settle(SOON_S)
        while world.fresh:
            sending = world.fresh.pop()
            sending.wire.feed(answer(sending, status, more))


Case = Callable[[World, Client, Any], Any]


def says(kind: str, status: int, more: str = "") -> Case:
    async def case(world: World, client: Client, patch: Any) -> None:
        client.ask(SentRequest("r", kind))
        await servers_say(world, status, more)

    return case


def raw(data: bytes) -> Case:
    async def case(world: World, client: Client, patch: Any) -> None:
        client.asked.append(SentRequest("r", "read"))
        client.wire.feed(data)
        await world.settle(SOON_S)

    return case


async def one_fails_and_the_next_is_mute(world: World, client: Client, patch: Any) -> None:
    client.ask(SentRequest("r", "read"))
    await world.settle()
    sending = world.fresh.pop()
    sending.wire.feed(answer(sending, 500))
    await world.settle(TO_THE_END_S)


async def the_time_is_up(world: World, client: Client, patch: Any) -> None:
    """And the balancer has no answer to it."""
    patch.setattr(Balancer, "end", lambda self, request: None)
    await one_fails_and_the_next_is_mute(world, client, patch)


async def the_balancer_breaks(world: World, client: Client, patch: Any) -> None:
    handle = Balancer.handle

    def broken(self: Balancer, now_us: int, event: Any) -> Any:
        if isinstance(event, AttemptEnded):
            raise RuntimeError
        return handle(self, now_us, event)

    patch.setattr(Balancer, "handle", broken)
    client.ask(SentRequest("r", "read"))
    await servers_say(world, 500)


async def a_false_promise(world: World, client: Client, patch: Any) -> None:
    patch.setattr(Gateway, "failure", lambda self, request: Answer(503, request.last_response.headers))
    client.ask(SentRequest("r", "book"))
    await servers_say(world, 500)


async def taking_it_breaks(world: World, client: Client, patch: Any) -> None:
    patch.setattr(Gateway, "take", lambda self, request: 1 / 0)
    client.ask(SentRequest("r", "read"))


async def no_table_yet(world: World, client: Client, patch: Any) -> None:
    world.gate.table = None
    client.ask(SentRequest("r", "read"))


async def it_does_not_come_whole(world: World, client: Client, patch: Any) -> None:
    world.frontend.sweep()
    client.asked.append(SentRequest("r", "read"))
    client.wire.feed(HEAD[:20])
    await world.settle(20.0)


async def the_node_stops(world: World, client: Client, patch: Any) -> None:
    client.asked.append(SentRequest("r", "read"))
    client.wire.feed(HEAD[:20])
    world.frontend.refuse_partial()


async def another_has_the_id(world: World, client: Client, patch: Any) -> None:
    world.client().ask(SentRequest("r", "read"))
    client.ask(SentRequest("r", "read"))


HEAD = b"GET /read/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r\r\n\r\n"
CASES: dict[str, tuple[int, bool, Case]] = {
    "a server's own": (500, True, says("book", 500)),
    "a server's own to all tries": (500, True, says("read", 500)),
    "a server's own 404": (404, True, says("book", 404)),
    "its 304": (304, True, says("book", 304)),
    "a promise without proof": (502, False, says("book", 503)),
    "the same as 429": (502, False, says("book", 429)),
    "the same as 408": (502, False, says("book", 408)),
    "the same, of all": (503, False, says("read", 503)),
    "not run by any": (503, False, says("book", 503, "Not-Executed: 1\r\n")),
    "nobody is who was meant": (503, False, says("book", 421)),
    "a spoilt success": (502, False, says("book", 200, "Content-Encoding: x\r\n")),
    "spoilt successes": (503, False, says("read", 200, "Content-Encoding: x\r\n")),
    "mute": (503, False, one_fails_and_the_next_is_mute),
    "time is up": (504, False, the_time_is_up),
    "the balancer breaks": (500, False, the_balancer_breaks),
    "a false promise": (502, False, a_false_promise),
    "taking it breaks": (500, False, taking_it_breaks),
    "no table yet": (503, False, no_table_yet),
    "not whole": (408, False, it_does_not_come_whole),
    "the node stops": (503, False, the_node_stops),
    "an id that is in hand": (400, False, another_has_the_id),
    "no id": (400, False, raw(HEAD.replace(b"Attempt-Id: r\r\n", b""))),
    "no route": (404, False, raw(HEAD.replace(b"/read/", b"/no/"))),
    "a time that is none": (400, False, raw(HEAD.replace(b"Host", b"Time-Left-Ms: x\r\nHost"))),
    "a CONNECT": (405, False, raw(HEAD.replace(b"GET /read/1", b"CONNECT h:1"))),
    "no HTTP": (400, False, raw(b"nonsense\r\n\r\n")),
    "a large head": (431, False, raw(b"GET /" + b"x" * 20_000)),
    "another coding": (501, False, raw(HEAD.replace(b"Host", b"Transfer-Encoding: gzip, chunked\r\nHost"))),
    "a large body": (413, False, raw(HEAD.replace(b"Host", b"Content-Length: 99999999999\r\nHost"))),
}


@pytest.mark.parametrize("name", CASES)
def test_a_status_of_our_own_bears_no_stamp(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    status, stamped, case = CASES[name]

    async def scenario(world: World) -> None:
        client = world.client()
        await case(world, client, monkeypatch)
        await world.settle(SOON_S)
        ((got, headers, _),) = client.answers()
        assert (got, b"server-seal" in headers) == (status, stamped)

    play(scenario)


def test_a_refusal_to_a_head_bears_none_either() -> None:
    async def scenario(world: World) -> None:
        client = world.client()
        client.ask(SentRequest("r", "unknown", "HEAD"))
        await world.settle(SOON_S)
        assert client.answers()[0][0] == 404 and b"Server-Seal" not in client.wire.got

    play(scenario)
