"""A failure carries a Server-Seal only with that server's own status: every place that creates or changes a status."""

from __future__ import annotations

import ast
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from cypressbeam.balancing.balancer import Balancer
from cypressbeam.balancing.interface import AttemptEnded
from cypressbeam.proxy.gateway import Gateway
from cypressbeam.proxy.http_responses import Response
from lab.adversarial_servers import SOON_S, TO_THE_END_S, Client, SentRequest, World, answer, play

pytestmark = pytest.mark.usefixtures("quiet")

ROOT = Path(__file__).parent.parent
#: All functions between clients and servers that create a response. A new one needs a case below that reaches it.
RESPONSE_SOURCES = {
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


def functions_creating_responses(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        for child in ast.iter_child_nodes(node):
            if isinstance(child, ast.FunctionDef) and any(
                isinstance(call, ast.Call) and getattr(call.func, "id", "") in (Response.__name__, "replace")
                for call in ast.walk(child)
            ):
                found.add(f"{node.name}.{child.name}" if isinstance(node, ast.ClassDef) else child.name)
    return found


def test_every_function_that_creates_a_response_is_listed() -> None:
    assert {name: functions_creating_responses(ROOT / name) for name in RESPONSE_SOURCES} == RESPONSE_SOURCES


async def servers_respond(world: World, status: int, more: str = "") -> None:
    """All servers respond like this until no attempt is left."""
    for _ in range(6):
        await world.settle(SOON_S)
        while world.fresh:
            attempt = world.fresh.pop()
            attempt.wire.feed(answer(attempt, status, more))


Case = Callable[[World, Client, Any], Any]


def server_responds(kind: str, status: int, more: str = "") -> Case:
    async def case(world: World, client: Client, patch: Any) -> None:
        client.ask(SentRequest("r", kind))
        await servers_respond(world, status, more)

    return case


def client_sends(data: bytes) -> Case:
    async def case(world: World, client: Client, patch: Any) -> None:
        client.asked.append(SentRequest("r", "read"))
        client.wire.feed(data)
        await world.settle(SOON_S)

    return case


async def one_server_fails_and_the_next_never_responds(world: World, client: Client, patch: Any) -> None:
    client.ask(SentRequest("r", "read"))
    await world.settle()
    attempt = world.fresh.pop()
    attempt.wire.feed(answer(attempt, 500))
    await world.settle(TO_THE_END_S)


async def the_deadline_passes(world: World, client: Client, patch: Any) -> None:
    """The balancer does not end the request itself."""
    patch.setattr(Balancer, "finish", lambda self, request: None)
    await one_server_fails_and_the_next_never_responds(world, client, patch)


async def the_balancer_raises(world: World, client: Client, patch: Any) -> None:
    handle = Balancer.handle

    def raising(self: Balancer, now_us: int, event: Any) -> Any:
        if isinstance(event, AttemptEnded):
            raise RuntimeError
        return handle(self, now_us, event)

    patch.setattr(Balancer, "handle", raising)
    client.ask(SentRequest("r", "read"))
    await servers_respond(world, 500)


async def an_unproven_not_executed_status(world: World, client: Client, patch: Any) -> None:
    patch.setattr(Gateway, "failure", lambda self, request: Response(503, request.last_response.headers))
    client.ask(SentRequest("r", "book"))
    await servers_respond(world, 500)


async def accepting_it_raises(world: World, client: Client, patch: Any) -> None:
    patch.setattr(Gateway, Gateway.start_request.__name__, lambda self, request: 1 / 0)
    client.ask(SentRequest("r", "read"))


async def no_routing_table_yet(world: World, client: Client, patch: Any) -> None:
    world.gate.table = None
    client.ask(SentRequest("r", "read"))


async def the_request_stays_incomplete(world: World, client: Client, patch: Any) -> None:
    world.frontend.sweep()
    client.asked.append(SentRequest("r", "read"))
    client.wire.feed(HEAD[:20])
    await world.settle(20.0)


async def the_node_shuts_down(world: World, client: Client, patch: Any) -> None:
    client.asked.append(SentRequest("r", "read"))
    client.wire.feed(HEAD[:20])
    world.frontend.reject_partial_requests()


async def the_id_is_in_use(world: World, client: Client, patch: Any) -> None:
    world.client().ask(SentRequest("r", "read"))
    client.ask(SentRequest("r", "read"))


HEAD = b"GET /read/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r\r\n\r\n"
CASES: dict[str, tuple[int, bool, Case]] = {
    "own status of a server": (500, True, server_responds("book", 500)),
    "own status of a server to all tries": (500, True, server_responds("read", 500)),
    "own 404 of a server": (404, True, server_responds("book", 404)),
    "own 304 of a server": (304, True, server_responds("book", 304)),
    "503 without proof": (502, False, server_responds("book", 503)),
    "429 without proof": (502, False, server_responds("book", 429)),
    "408 without proof": (502, False, server_responds("book", 408)),
    "503 without proof from all servers": (503, False, server_responds("read", 503)),
    "not run by any server": (503, False, server_responds("book", 503, "Not-Executed: 1\r\n")),
    "none of the servers is who was meant": (503, False, server_responds("book", 421)),
    "invalid success": (502, False, server_responds("book", 200, "Content-Encoding: x\r\n")),
    "invalid success of all servers": (503, False, server_responds("read", 200, "Content-Encoding: x\r\n")),
    "no response": (503, False, one_server_fails_and_the_next_never_responds),
    "time is up": (504, False, the_deadline_passes),
    "balancer raises": (500, False, the_balancer_raises),
    "unproven 503 of the gateway": (502, False, an_unproven_not_executed_status),
    "accepting the request raises": (500, False, accepting_it_raises),
    "no routing table yet": (503, False, no_routing_table_yet),
    "incomplete request": (408, False, the_request_stays_incomplete),
    "node shuts down": (503, False, the_node_shuts_down),
    "id in use": (400, False, the_id_is_in_use),
    "no id": (400, False, client_sends(HEAD.replace(b"Attempt-Id: r\r\n", b""))),
    "no route": (404, False, client_sends(HEAD.replace(b"/read/", b"/no/"))),
    "invalid Time-Left-Ms": (400, False, client_sends(HEAD.replace(b"Host", b"Time-Left-Ms: x\r\nHost"))),
    "CONNECT": (405, False, client_sends(HEAD.replace(b"GET /read/1", b"CONNECT h:1"))),
    "not HTTP": (400, False, client_sends(b"nonsense\r\n\r\n")),
    "large head": (431, False, client_sends(b"GET /" + b"x" * 20_000)),
    "unsupported Transfer-Encoding": (
        501,
        False,
        client_sends(HEAD.replace(b"Host", b"Transfer-Encoding: gzip, chunked\r\nHost")),
    ),
    "large body": (413, False, client_sends(HEAD.replace(b"Host", b"Content-Length: 99999999999\r\nHost"))),
}


@pytest.mark.parametrize("name", CASES)
def test_a_status_of_the_node_itself_has_no_server_seal(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    status, has_seal, case = CASES[name]

    async def scenario(world: World) -> None:
        client = world.client()
        await case(world, client, monkeypatch)
        await world.settle(SOON_S)
        ((got, headers, _),) = client.answers()
        assert (got, b"server-seal" in headers) == (status, has_seal)

    play(scenario)


def test_a_rejected_head_request_has_no_server_seal() -> None:
    async def scenario(world: World) -> None:
        client = world.client()
        client.ask(SentRequest("r", "unknown", "HEAD"))
        await world.settle(SOON_S)
        assert client.answers()[0][0] == 404 and b"Server-Seal" not in client.wire.got

    play(scenario)
