"""All states of an attempt with all that may end it, walked in full: the real gate, in memory.

What must hold is said once more here, apart from the code's own table (docs/design/attempts.md).
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from cypressbeam.distribution import endpoint_list
from cypressbeam.proxy.attempts import SendProgress
from lab.adversarial_servers import SOON_S, TO_THE_END_S, ReceivedAttempt, SentRequest, World, answer, hold, play

#: How much of an answer has come when the event does.
PROGRESS = ("none", "interim", "part head", "head", "part body")


@dataclass(frozen=True)
class State:
    kind: str
    origin: str
    sent: SendProgress
    progress: str
    event: str


@dataclass(frozen=True)
class Expected:
    may_have_run: bool
    pooled: bool
    statuses: tuple[int, ...]
    """What its client may get at last; none: nothing."""


def reply_to(event: str, sending: ReceivedAttempt) -> bytes:
    """The answer that the server is about, by the event that is to end it."""
    if event in REPLIES:
        status, more = REPLIES[event]
        return answer(sending, status, more)
    return answer(sending, framing=UNUSUAL.get(event, "length"))


PROOF = "Not-Executed: 1\r\n"
REPLIES = {
    "misdirected": (421, ""),
    "not executed": (503, PROOF),
    "turned away": (429, PROOF),
    "alone": (503, PROOF),
    "503": (503, ""),
    "429": (429, ""),
    "408": (408, ""),
    "500": (500, ""),
    "504": (504, ""),
    "204": (204, ""),
    "last": (200, "Connection: close\r\n"),
    "205": (205, ""),
}
#: With proof; "alone": by the one server that there is.
PROVEN = ("misdirected", "not executed", "turned away", "alone")
STAMP = b"Server-Seal: a.b\r\n"


def cut_and_copied(sending: ReceivedAttempt, lacks: int) -> bytes:
    """An answer without its last bytes, and the whole of it behind that."""
    return answer(sending)[:-lacks] + answer(sending)


#: What makes of a stream, at any place, no answer to this request.
SPOILS: dict[str, Callable[[ReceivedAttempt], bytes | tuple[bytes, bytes]]] = {
    "garbage": lambda sending: b"\x00\xff nonsense \x00\r\n\r\n",
    "no name": lambda sending: b"HTTP/1.1 200 X\r\nServer-Seal: a\r\nContent-Length: 1\r\n\r\nx",
    "two names": lambda sending: answer(sending, more=f"Attempt-Id: {sending.ident}\r\n"),
    "two framings": lambda sending: answer(sending, more="Transfer-Encoding: chunked\r\n"),
    "two lengths": lambda sending: answer(sending, more="Content-Length: 1\r\n"),
    "large head": lambda sending: answer(sending, more=f"X: {'y' * 20_000}\r\n"),
    "cut head before": lambda sending: b"HTTP/1.1 200 O" + answer(sending, 503, PROOF),
    "another's last": lambda sending: answer(sending, more="Connection: close\r\n", ident="other"),
    "upgrade": lambda sending: b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "no stamp": lambda sending: answer(sending).replace(STAMP, b""),
    "two stamps": lambda sending: answer(sending, more=STAMP.decode()),
    "an empty stamp": lambda sending: answer(sending).replace(STAMP, b"Server-Seal: \r\n"),
    "encoded": lambda sending: answer(sending, more="Content-Encoding: gzip\r\n"),
    "a part": lambda sending: answer(sending, 206, "Content-Range: bytes 0-1/9\r\n"),
    "a range": lambda sending: answer(sending, more="Content-Range: bytes 0-1/9\r\n"),
    "204 of a body": lambda sending: answer(sending).replace(b"200 X", b"204 X"),
    "205 of a body": lambda sending: answer(sending).replace(b"200 X", b"205 X"),
    "no such status": lambda sending: answer(sending, 799),
    "no such version": lambda sending: answer(sending).replace(b"HTTP/1.1", b"HTTP/2.0"),
    "two codings": lambda sending: answer(sending, framing="chunks", more="Transfer-Encoding: chunked\r\n"),
    "too short a length": lambda sending: answer(sending).replace(b"Content-Length: ", b"Content-Length: 1\r\nX: "),
    "a copy in the body": lambda sending: cut_and_copied(sending, 13),
    "a copy at the end": lambda sending: cut_and_copied(sending, 5),
    "a copy in the body, and its rest": lambda sending: (
        answer(sending)[:-13] + answer(sending)[:13],
        answer(sending)[13:],
    ),
    "a copy in two pieces": lambda sending: (answer(sending)[:-5] + answer(sending)[:5], answer(sending)[5:]),
}


def spoil(event: str, sending: ReceivedAttempt) -> None:
    """Such bytes come, one piece right after the other."""
    data = SPOILS[event](sending)
    for piece in data if isinstance(data, tuple) else [data]:
        sending.wire.feed(piece)


ANSWERS = ("ok", "chunked", "surplus", "part of a surplus", "late surplus", "another's before", *REPLIES)
#: By the close: one that was announced, one that was not, and a reset.
UNFRAMED = {"unframed": "close", "unframed not told": "none", "unframed reset": "close"}
UNUSUAL = {"chunked": "chunks", **UNFRAMED}
ENDS = ("close", "reset", "silence", "drain", "restart", "stop", "client gone")
#: What has come unread on all idle connections when one is needed: none of them may be written to.
IDLE: dict[str, bytes | None] = {"idle closed": None, "idle spoken": b"x"}
UNSENT = ("refused", "silence", "drain", "stop", "client gone", "closed", "spoken")


#: A 204 or an empty 205 is whole with its head, and garbage within a body of a given length can't be told.
UNLIKE = {(event, progress) for event in ("204", "205", "garbage") for progress in ("head", "part body")}


def states() -> Iterator[State]:
    for kind, event in itertools.product(("read", "book"), UNSENT):
        yield State(kind, "connecting", SendProgress.NOTHING, "none", event)
    for kind, event in itertools.product(("read", "book"), IDLE):
        yield State(kind, "reused", SendProgress.WHOLE, "none", event)
    for kind, origin, sent, progress in itertools.product(
        ("read", "book"), ("fresh", "reused"), (SendProgress.PART, SendProgress.WHOLE), PROGRESS
    ):
        if kind == "read" and sent is SendProgress.PART:
            continue  # has no body: it is never that long
        whole = [event for event in ANSWERS if progress in ("none", "interim") or event != "another's before"]
        spoils = [event for event in SPOILS if progress == "none" or event == "garbage"]
        unframed = UNFRAMED if progress in ("none", "interim") else ()
        for event in (*whole, *spoils, *unframed, *ENDS):
            if (event, progress) not in UNLIKE:
                yield State(kind, origin, sent, progress, event)


def expected(state: State) -> Expected:
    """Said once more and apart, from the rules' words."""
    event, again = state.event, state.kind == "read"
    if event in IDLE:
        return Expected(True, True, (200,))
    if state.event == "client gone":
        return Expected(state.sent is not SendProgress.NOTHING, False, ())
    if state.sent is SendProgress.NOTHING:
        return Expected(False, False, {"silence": (503,), "stop": (503, 504)}.get(event, (200,)))
    if event in PROVEN:
        return Expected(False, state.sent is SendProgress.WHOLE and event != "misdirected", (200,))
    if event in ANSWERS:
        status = REPLIES.get(event, (200,))[0]
        clean = state.sent is SendProgress.WHOLE and event not in (
            "last",
            "surplus",
            "part of a surplus",
            "late surplus",
        )
        if status >= 400 and again:
            return Expected(True, clean, (200,))
        return Expected(True, clean, (502 if status in (503, 429, 408) else status,))
    if event == "unframed" and state.sent is SendProgress.WHOLE:
        return Expected(True, False, (200,))
    if event == "drain":  # what is out goes on, and nothing new comes behind it
        return Expected(True, False, (200,))
    if event in ("silence", "stop"):
        return Expected(True, False, (503, 504) if again else (504,))
    return Expected(True, False, (200,) if again else (502,))


class Walk:
    """One state in a world of its own: brought about, ended, and looked at."""

    def __init__(self, world: World, state: State) -> None:
        self.world, self.state = world, state

    async def reach(self) -> ReceivedAttempt | None:
        """The request under way, and as much of its answer there as the state says."""
        world, state = self.world, self.state
        self.client = world.client()
        if state.origin == "reused":
            for ident in world.states:  # all have a connection that has been used
                self.client.ask(SentRequest(f"first {ident}".replace(" ", "-"), "read"))
                await world.settle()
                serve(world, world.fresh.pop())
                await world.settle()
        room = 30.0 if state.sent is SendProgress.PART else float("inf")
        world.room = room
        for wire in world.wires:
            wire.room = room
        world.at_once = state.origin != "connecting"
        idle = list(world.wires)
        if state.event in IDLE:
            for wire in idle:
                wire.arrive(IDLE[state.event])
        self.client.ask(SentRequest("r", state.kind))
        await world.settle()
        if state.sent is SendProgress.NOTHING:
            self.attempt = world.gate.requests["r"].attempts[0]
            return None
        sending = world.fresh.pop()
        hold(state.event not in IDLE or sending.wire not in idle, f"written behind what was unread: {state}")
        self.attempt = sending.attempt
        world.room = float("inf")  # for the others
        whole = reply_to(state.event, sending)
        head = whole.index(b"\r\n\r\n") + 4
        upto = {"none": 0, "interim": 0, "part head": head // 2, "head": head, "part body": head + 4}[state.progress]
        if state.progress == "interim":
            sending.wire.feed(b"HTTP/1.1 103 X\r\nLink: a\r\n\r\n")
        if upto:
            sending.wire.feed(whole[:upto])
        self.rest = whole[upto:]
        return sending

    def finish(self, sending: ReceivedAttempt) -> None:
        """The rest of the answer, with what the event puts around it."""
        event, rest = self.state.event, self.rest
        if event in PROVEN:
            sending.proven = True
        if event not in REPLIES or event in ("204", "205", "last"):
            note(self.world, sending, b"" if event in ("204", "205") else sending.told("200"))
        other = answer(sending, ident="other", body=b"other")
        extra = {"surplus": other, "part of a surplus": other[:40]}.get(event, b"")
        sending.wire.feed((other if event == "another's before" else b"") + rest + extra)
        if event in UNFRAMED:
            sending.wire.lose(ConnectionResetError() if event == "unframed reset" else None)
        if event == "late surplus":
            sending.wire.feed(other)

    async def strike(self, sending: ReceivedAttempt | None) -> None:
        world, event = self.world, self.state.event
        if sending is not None and (event in ANSWERS or event in IDLE or event in UNFRAMED):
            if event == "alone":
                world.states = {
                    ident: endpoint_list.IN_SERVICE if ident == sending.server else endpoint_list.DRAINING
                    for ident in world.states
                }
                world.tell()
            self.finish(sending)
        elif sending is not None and event in SPOILS:
            spoil(event, sending)
        elif event in ("close", "reset") and sending is not None:
            sending.wire.lose(ConnectionResetError() if event == "reset" else None)
        elif event in ("drain", "restart"):
            world.states[self.attempt.server] = endpoint_list.DRAINING
            if event == "restart":
                world.gate.upstream.update_server(
                    self.attempt.server,
                    ("10.9.0.1", 8000 + int(self.attempt.server[1:])),
                    world.gate.now_us() + 1,
                    True,
                )
                world.gate.upstream.end_stale()
            else:
                world.tell()
                await world.settle()
                if sending is not None:
                    self.finish(sending)
                else:
                    self.come_up()
        elif event == "stop":
            world.gate.time_is_up(world.gate.requests["r"])
        elif event == "client gone":
            self.client.leave()
        elif event == "refused":
            world.connects.pop().set_exception(ConnectionRefusedError())
            world.at_once = True
        elif event in ("closed", "spoken"):
            self.come_up()

    def come_up(self) -> None:
        self.world.at_once = True
        self.world.connects.pop().set_result(None)

    async def run(self) -> None:
        world, state = self.world, self.state
        wanted = expected(state)
        if state.event in ("closed", "spoken"):
            spoil_first_wire(world, state.event)
        sending = await self.reach()
        await self.strike(sending)
        await world.settle()
        if state.event == "silence":
            await world.settle(TO_THE_END_S)
        self.look(sending, wanted)
        world.at_once = True
        for _ in range(3):  # whoever is asked next answers at once; nobody may be asked who must not be
            await world.settle(SOON_S)
            if sending is not None and state.event in PROVEN:
                sending.wire.feed(reply_to(state.event, sending))  # once more
            while world.fresh:
                serve(world, world.fresh.pop())
        await world.settle(SOON_S)
        answers = [] if self.client.gone else self.client.answers()
        last = answers[-1][0] if len(answers) == len(self.client.asked) else None
        hold(last in wanted.statuses if wanted.statuses else self.client.gone, f"the client got {last}: {state}")
        await self.ask_next(sending)
        world.check()
        world.check_all_answered()

    async def ask_next(self, sending: ReceivedAttempt | None) -> None:
        """The next request of the same client, while the first one's server says late what it had to say."""
        if self.client.gone or self.client.wire.closing:
            return
        self.client.ask(SentRequest("next", "read"))
        await self.world.settle()
        if sending is not None:
            sending.wire.feed(self.rest)
        for _ in range(3):
            while self.world.fresh:
                serve(self.world, self.world.fresh.pop())
            await self.world.settle(SOON_S)
        status, headers, _ = self.client.answers()[-1]
        hold((status, headers.get(b"attempt-id")) == (200, b"next"), f"MIXED: the next got {status}: {self.state}")

    def look(self, sending: ReceivedAttempt | None, wanted: Expected) -> None:
        if self.state.event == "drain" and sending is None:
            return
        hold(self.attempt.ended and self.attempt.may_have_run == wanted.may_have_run, f"may have run: {self.state}")
        if sending is not None:
            hold(self.world.pooled(sending.wire) == wanted.pooled, f"kept or not: {self.state}")
            hold(wanted.pooled or sending.wire.closing, f"neither kept nor closed: {self.state}")


def spoil_first_wire(world: World, how: str) -> None:
    """The first connection is closed, or speaks, as it comes up."""
    gate_connect = world.connect

    async def connect(factory: Any) -> Any:
        made = await gate_connect(factory)
        if len(world.wires) == 1:
            made[0].inbox.append(None if how == "closed" else b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        return made

    world.connect = connect  # type: ignore[method-assign,assignment]


def note(world: World, sending: ReceivedAttempt, body: bytes) -> None:
    world.successes.setdefault(sending.ident, []).append(body)


def serve(world: World, sending: ReceivedAttempt) -> None:
    note(world, sending, sending.told("200"))
    sending.wire.drain()
    sending.wire.feed(answer(sending))


def walk(state: State) -> None:
    async def scenario(world: World) -> None:
        await Walk(world, state).run()

    play(scenario)
