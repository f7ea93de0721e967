"""All states of an attempt with all that may end it, walked in full, and storms of chance: the real gate, in memory.

What must hold is said once more here, apart from the code's own table (docs/design/attempts.md). Faults are seeded on
purpose, and each has to be found.
"""

from __future__ import annotations

import itertools
import logging
import random
import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from cypressbeam import gate, listing
from lab.worst import SOON_S, TO_THE_END_S, Asked, Broken, Sending, ServerWire, World, answer, hold, play
from mallowworks import attempts, carrier, dialect, evidence, http, upstream
from mallowworks.attempts import Cause, Outcome, Reply, Sent
from mallowworks.carrier import Carrier, Request
from mallowworks.http import Answer, ResponseReader

Patch = Callable[[Any, str, Any], None]
#: What is done, to which of those there are, and how.
Step = tuple[str, int, int]

# -- all states, walked in full --------------------------------------------------------------------------------

#: How much of an answer has come when the event does.
PROGRESS = ("none", "interim", "part head", "head", "part body")


@dataclass(frozen=True)
class State:
    kind: str
    origin: str
    sent: Sent
    progress: str
    event: str


@dataclass(frozen=True)
class Expected:
    may_have_run: bool
    pooled: bool
    statuses: tuple[int, ...]
    """What its client may get at last; none: nothing."""


def reply_to(event: str, sending: Sending) -> bytes:
    """The answer that the server is about, by the event that is to end it."""
    if event in REPLIES:
        status, more = REPLIES[event]
        return answer(sending, status, more)
    return answer(sending, framing=UNUSUAL.get(event, "length"))


PROOF = "Not-Executed: 1\r\n"
REPLIES = {"misdirected": (421, ""), "not executed": (503, PROOF), "turned away": (429, PROOF), "alone": (503, PROOF),
           "503": (503, ""),
           "429": (429, ""), "408": (408, ""), "500": (500, ""), "504": (504, ""), "204": (204, ""),
           "last": (200, "Connection: close\r\n"), "205": (205, "")}
#: With proof; "alone": by the one server that there is.
PROVEN = ("misdirected", "not executed", "turned away", "alone")
STAMP = b"Server-Seal: a.b\r\n"


def cut_and_copied(sending: Sending, lacks: int) -> bytes:
    """An answer without its last bytes, and the whole of it behind that."""
    return answer(sending)[:-lacks] + answer(sending)


#: What makes of a stream, at any place, no answer to this request.
SPOILS: dict[str, Callable[[Sending], bytes | tuple[bytes, bytes]]] = {
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
    "a copy in the body, and its rest": lambda sending: (answer(sending)[:-13] + answer(sending)[:13],
                                                         answer(sending)[13:]),
    "a copy in two pieces": lambda sending: (answer(sending)[:-5] + answer(sending)[:5], answer(sending)[5:])}


def spoil(event: str, sending: Sending) -> None:
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
        yield State(kind, "connecting", Sent.NOTHING, "none", event)
    for kind, event in itertools.product(("read", "book"), IDLE):
        yield State(kind, "reused", Sent.WHOLE, "none", event)
    for kind, origin, sent, progress in itertools.product(("read", "book"), ("fresh", "reused"),
                                                          (Sent.PART, Sent.WHOLE), PROGRESS):
        if kind == "read" and sent is Sent.PART:
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
        return Expected(state.sent is not Sent.NOTHING, False, ())
    if state.sent is Sent.NOTHING:
        return Expected(False, False, {"silence": (503,), "stop": (503, 504)}.get(event, (200,)))
    if event in PROVEN:
        return Expected(False, state.sent is Sent.WHOLE and event != "misdirected", (200,))
    if event in ANSWERS:
        status = REPLIES.get(event, (200,))[0]
        clean = state.sent is Sent.WHOLE and event not in ("last", "surplus", "part of a surplus", "late surplus")
        if status >= 400 and again:
            return Expected(True, clean, (200,))
        return Expected(True, clean, (502 if status in (503, 429, 408) else status,))
    if event == "unframed" and state.sent is Sent.WHOLE:
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

    async def reach(self) -> Sending | None:
        """The request under way, and as much of its answer there as the state says."""
        world, state = self.world, self.state
        self.client = world.client()
        if state.origin == "reused":
            for ident in world.states:  # all have a connection that has been used
                self.client.ask(Asked(f"first {ident}".replace(" ", "-"), "read"))
                await world.settle()
                serve(world, world.fresh.pop())
                await world.settle()
        room = 30.0 if state.sent is Sent.PART else float("inf")
        world.room = room
        for wire in world.wires:
            wire.room = room
        world.at_once = state.origin != "connecting"
        idle = list(world.wires)
        if state.event in IDLE:
            for wire in idle:
                wire.arrive(IDLE[state.event])
        self.client.ask(Asked("r", state.kind))
        await world.settle()
        if state.sent is Sent.NOTHING:
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

    def finish(self, sending: Sending) -> None:
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

    async def strike(self, sending: Sending | None) -> None:
        world, event = self.world, self.state.event
        if sending is not None and (event in ANSWERS or event in IDLE or event in UNFRAMED):
            if event == "alone":
                world.states = {ident: listing.IN_SERVICE if ident == sending.server else listing.DRAINING
                                for ident in world.states}
                world.tell()
            self.finish(sending)
        elif sending is not None and event in SPOILS:
            spoil(event, sending)
        elif event in ("close", "reset") and sending is not None:
            sending.wire.lose(ConnectionResetError() if event == "reset" else None)
        elif event in ("drain", "restart"):
            world.states[self.attempt.server] = listing.DRAINING
            if event == "restart":
                world.gate.upstream.place(self.attempt.server, ("10.9.0.1", 8000 + int(self.attempt.server[1:])),
                                          world.gate.now_us() + 1, True)
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

    async def ask_next(self, sending: Sending | None) -> None:
        """The next request of the same client, while the first one's server says late what it had to say."""
        if self.client.gone or self.client.wire.closing:
            return
        self.client.ask(Asked("next", "read"))
        await self.world.settle()
        if sending is not None:
            sending.wire.feed(self.rest)
        for _ in range(3):
            while self.world.fresh:
                serve(self.world, self.world.fresh.pop())
            await self.world.settle(SOON_S)
        status, headers, _ = self.client.answers()[-1]
        hold((status, headers.get(b"attempt-id")) == (200, b"next"), f"MIXED: the next got {status}: {self.state}")

    def look(self, sending: Sending | None, wanted: Expected) -> None:
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


def note(world: World, sending: Sending, body: bytes) -> None:
    world.successes.setdefault(sending.ident, []).append(body)


def serve(world: World, sending: Sending) -> None:
    note(world, sending, sending.told("200"))
    sending.wire.drain()
    sending.wire.feed(answer(sending))


def walk(state: State) -> None:
    async def scenario(world: World) -> None:
        await Walk(world, state).run()
    play(scenario)


# -- by chance -------------------------------------------------------------------------------------------------

FORMS = [(200, "", "length"), (200, "", "chunks"), (200, "", "close"), (200, "Connection: close\r\n", "length"),
         *[(*reply, "length") for reply in REPLIES.values()]]


class Storm:
    """Clients, servers and the list do what is drawn, one thing after another."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.clients = [world.client() for _ in range(3)]
        self.asked = 0
        self.replies: dict[Sending, bytes] = {}
        self.rests: dict[Sending, bytes] = {}
        """What has still to come of an answer that was begun."""
        self.unframed: set[Sending] = set()
        """Those whose answer has no length."""

    # What clients do.

    def ask(self, which: int, how: int) -> None:
        client = self.clients[which % 3]
        if len(client.asked) - len(client.answers()) < 3:
            self.asked += 1
            kind, method = [("book", ""), ("read", ""), ("book", ""), ("read", "HEAD")][how % 4]
            client.ask(*[Asked(f"r{self.asked}-{n}", kind, method) for n in range(1 + (how % 5 == 0))])

    def leave(self, which: int, how: int) -> None:
        if how % 4 == 0 and not self.clients[which % 3].gone:
            self.clients[which % 3].leave()
            self.clients[which % 3] = self.world.client()

    # What servers do.

    def whole(self, which: int, how: int) -> None:
        """An answer, or the rest of one."""
        if self.world.fresh:
            self.say(self.world.fresh[which % len(self.world.fresh)], how, 1 << 20)

    def part(self, which: int, how: int) -> None:
        if self.world.fresh:
            self.say(self.world.fresh[which % len(self.world.fresh)], how, 1 + how % 130)

    def say(self, sending: Sending, how: int, size: int) -> None:
        if sending not in self.rests:
            self.rests[sending] = self.replies[sending] = self.reply(sending, *FORMS[how % len(FORMS)])
        data, rest = self.rests[sending][:size], self.rests[sending][size:]
        self.rests[sending] = rest
        if not rest:
            self.world.fresh.remove(sending)
            sending.proven = sending.refuses and not sending.wire.closing
        sending.wire.feed(data)
        if not rest and sending in self.unframed:
            sending.wire.lose()

    def reply(self, sending: Sending, status: int, more: str, framing: str) -> bytes:
        data = answer(sending, status, more, framing=framing)
        if framing == "close":
            self.unframed.add(sending)
        sending.refuses = status == 421 or "Not-Executed" in more
        if self.method(sending) == "HEAD":
            data = data[:data.index(b"\r\n\r\n") + 4]
        if status < 300:
            note(self.world, sending, b"" if status in (204, 205) else sending.told(str(status)))
        return data

    def stutter(self, which: int, how: int) -> None:
        """An answer that was begun breaks off, and the whole of it comes behind in two pieces; at times the first of
        them ends where the answer would have."""
        begun = [sending for sending, rest in self.rests.items() if rest]
        if begun:
            sending = begun[which % len(begun)]
            data, lacks = self.replies[sending], len(self.rests[sending])
            self.rests[sending] = b""
            self.world.fresh.remove(sending)
            sending.proven = sending.refuses and not sending.wire.closing
            size = lacks if how % 2 else how % len(data)
            for piece in (data[:size], data[size:]):
                sending.wire.feed(piece)
            if sending in self.unframed:
                sending.wire.lose()

    def method(self, sending: Sending) -> str:
        return next(asked.method for client in self.world.clients for asked in client.asked
                    if asked.ident == sending.ident)

    def again(self, which: int, how: int) -> None:
        """An answer that was given comes again, whole or cut short; at times it waits unread, as a close may."""
        told = [sending for sending, rest in self.rests.items() if not rest]
        if told:
            sending = told[which % len(told)]
            wires = [wire for wire in self.between_answers() if wire.protocol.server == sending.server and (
                wire is sending.wire or not self.carries(wire, sending.ident))]
            data = self.replies[sending]
            if wires:
                wire = wires[how % len(wires)]
                (wire.arrive if how % 2 else wire.feed)(data if how % 3 else data[:how // 6 % len(data)])

    def carries(self, wire: ServerWire, ident: str) -> bool:
        """Whether an answer with that name would be the right one there: nobody could tell a copy of another
        connection's from it."""
        return any(sending.wire is wire and sending.ident == ident for sending in self.world.fresh)

    def between_answers(self) -> list[ServerWire]:
        """Nobody could tell what is put into the middle of an answer."""
        begun = {sending.wire for sending, rest in self.rests.items() if rest}
        return [wire for wire in self.world.wires if wire not in begun and not wire.closing]

    def spoil(self, which: int, how: int) -> None:
        fresh = [sending for sending in self.world.fresh
                 if sending not in self.rests or b"\r\n\r\n" in self.rests[sending]]  # not within a body
        if fresh:
            sending = fresh[which % len(fresh)]
            spoil([*SPOILS][how % len(SPOILS)], sending)

    def unread(self, which: int, how: int) -> None:
        """A close, or a byte, comes and is not read before the connection is taken again."""
        wires = self.between_answers()
        if wires:
            wires[which % len(wires)].arrive(None if how % 2 else b"x")

    def lose(self, which: int, how: int) -> None:
        """A close or a reset; within an answer without a length a reset, for nobody could tell that a close cut it."""
        begun = {sending.wire: sending for sending, rest in self.rests.items() if rest}
        wires = [*begun] if begun and how % 3 else self.world.wires
        if wires:
            wire = wires[which % len(wires)]
            wire.lose(ConnectionResetError() if how % 2 or begun.get(wire) in self.unframed else None)

    def drain(self, which: int, how: int) -> None:
        if self.world.wires:
            self.world.wires[which % len(self.world.wires)].drain()

    def room(self, which: int, how: int) -> None:
        self.world.room = [float("inf"), 30.0, 0.0][how % 3]
        for wire in self.world.wires[which % 4::4]:
            wire.room = self.world.room

    def connect(self, which: int, how: int) -> None:
        self.world.at_once = how % 3 != 0
        for coming in self.world.connects[:1 + which % 3]:
            if not coming.done():
                coming.set_exception(ConnectionRefusedError()) if how % 4 == 0 else coming.set_result(None)
        del self.world.connects[:1 + which % 3]

    # What the platform and time do.

    def tell(self, which: int, how: int) -> None:
        self.world.states[f"s{which % 4}"] = listing.DRAINING if how % 2 else listing.IN_SERVICE
        self.world.tell()

    async def wait(self, how: int) -> None:
        for wire in self.world.wires if how % 3 else []:
            wire.read()
        await self.world.settle([0.0, 0.0, 0.0, 0.02, 0.05, 0.3, TO_THE_END_S][how % 7])

    async def run(self, steps: list[Step]) -> None:
        for what, which, how in steps:
            getattr(self, what)(which, how)
            await self.wait(how // 7)
        for coming in self.world.connects:
            if not coming.done():
                coming.set_result(None)
        await self.world.settle(TO_THE_END_S)
        await self.world.settle(TO_THE_END_S)  # of those that were sent ahead and taken up when the first had timed out
        await self.world.settle(TO_THE_END_S)
        self.world.check()
        self.world.check_all_answered()


#: What is likelier is there more than once.
STEPS = ["ask", "ask", "ask", "whole", "whole", "whole", "part", "part", "again", "again", "spoil", "stutter",
         "unread", "lose", "drain", "room", "connect", "tell", "leave"]
def storm(taken: list[Step]) -> None:
    async def scenario(world: World) -> None:
        await Storm(world).run(taken)
    play(scenario)


# -- faults seeded on purpose ----------------------------------------------------------------------------------

def compare_no_names(patch: Patch) -> None:
    """The next whole answer is taken for the one that is waited for."""
    patch(ResponseReader, "check_name", lambda self, names: None)


def let_heads_grow_together(patch: Patch) -> None:
    """The beginning of one answer's head goes on with the next one's."""
    patch(http, "STATUS_LINE", re.compile(b"(?!)"))


def leave_bytes_behind(patch: Patch) -> None:
    """A connection with bytes behind its last answer goes back to the pool, and they are read with the next answer."""
    end, send = upstream.ServerConnection.end, upstream.ServerConnection.send

    def keep(self: upstream.ServerConnection, cause: Cause, answer: Answer | None = None) -> None:
        self.reader.keep_alive = True
        end(self, cause, answer)

    def read_on(self: upstream.ServerConnection, attempt: upstream.Attempt) -> None:
        behind = self.reader.behind
        send(self, attempt)
        if behind:
            self.data_received(behind)
    patch(upstream.ServerConnection, "end", keep)
    patch(upstream.ServerConnection, "send", read_on)


def look_at_no_idle_connection(patch: Patch) -> None:
    """A connection is written to whatever has come on it while it rested."""
    patch(upstream.ServerConnection, "quiet", lambda self: True)


def take_the_same_connection(patch: Patch) -> None:
    """A server that is tried again has the request on the connection on which it has refused it."""
    patch(upstream.Attempt, "again", property(lambda self: False, lambda self, again: None))
    patch(upstream, "REMEMBERED", 0)


def take_part_for_nothing(patch: Patch) -> None:
    """A request of which a part was written counts as one that never left."""
    known = attempts.outcome

    def told(sent: Sent, cause: Cause, reply: Reply | None = None) -> Outcome:
        return known(Sent.NOTHING if sent is Sent.PART and reply is None else sent, cause, reply)
    patch(upstream, "outcome", told)


def take_a_close_for_a_refusal(patch: Patch) -> None:
    known = attempts.outcome

    def told(sent: Sent, cause: Cause, reply: Reply | None = None) -> Outcome:
        return attempts.UNSENT if cause is Cause.CLOSED else known(sent, cause, reply)
    patch(upstream, "outcome", told)


def believe_any_503(patch: Patch) -> None:
    def judge(answer: Answer) -> Reply:
        return Reply.NOT_EXECUTED if answer.status == 503 else dialect.judge_gate(answer)
    patch(gate, "GATE", replace(dialect.GATE, judge=judge))


def take_what_has_come(patch: Patch) -> None:
    """An answer that a close cuts short goes to the client as if it were whole."""
    def connection_lost(self: upstream.ServerConnection, exc: Exception | None) -> None:
        self.closed = True
        self.upstream.drop(self)
        if self.attempt is not None:
            parser, found = self.reader.parser, self.reader
            if found.headers_done and parser is not None:
                self.end(Cause.ANSWERED, Answer(parser.get_status_code(), found.headers, bytes(found.body)))
            else:
                self.end(Cause.CLOSED)
    patch(upstream.ServerConnection, "connection_lost", connection_lost)


def answer_twice(patch: Patch) -> None:
    """A time-out leaves the attempt, and what comes then is written to whoever waits on that connection."""
    time_is_up = Carrier.time_is_up

    def told(self: Carrier, request: Request) -> None:
        if request.timer is not None and not request.finished:
            request.respond(Answer(504))
            request.timer = self.loop.call_later(SOON_S * 4, time_is_up, self, request)
    patch(Carrier, "time_is_up", told)


def promise_at_the_end(patch: Patch) -> None:
    """Whoever fails is told to come again."""
    patch(Carrier, "failure", lambda self, request: Answer(503))
    patch(gate.Gate, "failure", lambda self, request: Answer(503))
    patch(carrier, "may_tell", lambda *_: True)


def leave_out(check: str) -> Callable[[Patch], None]:
    """One check of a success is not made."""
    def without(patch: Patch) -> None:
        patch(evidence, "CHECKS", {name: fails for name, fails in evidence.CHECKS.items() if name != check})
    return without


def hand_on_at_once(patch: Patch) -> None:
    """No answer waits for what comes behind it."""
    patch(upstream, "begun_at_the_end", lambda body: False)


def take_a_reset_for_the_end(patch: Patch) -> None:
    """An answer without a length is whole however its connection ends."""
    lost = upstream.ServerConnection.connection_lost
    patch(upstream.ServerConnection, "connection_lost", lambda self, exc: lost(self, None))


def take_any_close_for_the_end(patch: Patch) -> None:
    """An answer without a length is whole though nothing told that its connection would end."""
    patch(ResponseReader, "announced", lambda self: True)


def read_any_status(patch: Patch) -> None:
    patch(ResponseReader, "check_status", lambda self, status, version: None)


def read_two_codings(patch: Patch) -> None:
    patch(ResponseReader, "check_codings", lambda self, version: None)


RULES_LEFT_OUT: dict[str, Callable[[Patch], None]] = {
    "compare-no-names": compare_no_names, "let-heads-grow-together": let_heads_grow_together,
    "leave-bytes-behind": leave_bytes_behind, "take-the-same-connection": take_the_same_connection,
    "look-at-no-idle-connection": look_at_no_idle_connection,

    "take-a-part-for-nothing": take_part_for_nothing, "take-a-close-for-a-refusal": take_a_close_for_a_refusal,
    "believe-any-503": believe_any_503, "take-what-has-come": take_what_has_come, "answer-twice": answer_twice,
    "promise-at-the-end": promise_at_the_end}
#: Each leaves out one check of an answer, which few states and few storms need.
CHECKS_LEFT_OUT: dict[str, Callable[[Patch], None]] = {
    "hand-on-at-once": hand_on_at_once, "take-a-reset-for-the-end": take_a_reset_for_the_end,
    "take-any-close-for-the-end": take_any_close_for_the_end, "read-any-status": read_any_status,
    "read-two-codings": read_two_codings,
    **{f"take-{name.lower().replace(',', '').replace(' ', '-')}": leave_out(name) for name in evidence.CHECKS}}
FAULTS = RULES_LEFT_OUT | CHECKS_LEFT_OUT


@contextmanager
def fault(name: str) -> Iterator[None]:
    """While a rule is left out."""
    patched: list[tuple[Any, str, Any]] = []

    def patch(where: Any, what: str, new: Any) -> None:
        patched.append((where, what, getattr(where, what)))
        setattr(where, what, new)
    if name:
        FAULTS[name](patch)
    try:
        yield
    finally:
        for where, what, old in reversed(patched):
            setattr(where, what, old)


# -- looking for what does not hold ----------------------------------------------------------------------------

def draw(seed: int) -> list[Step]:
    chance = random.Random(f"storm {seed}")
    return [(chance.choice(STEPS), chance.randrange(8), chance.randrange(1001)) for _ in range(chance.randrange(5, 60))]


def search_states() -> tuple[int, str] | None:
    """The first of all states, in a fixed order of chance, that is not as it should be: its number, and what it is."""
    order = list(states())
    random.Random(1).shuffle(order)
    for number, state in enumerate(order, 1):
        try:
            walk(state)
        except Broken as err:
            return number, str(err)
    return None


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """The first seed whose storm breaks a rule, and which, with a fault by name or none."""
    name, seeds = job
    logging.disable(logging.CRITICAL)
    with fault(name):
        for seed in seeds:
            try:
                storm(draw(seed))
            except Broken as err:
                return seed, str(err)
    return None
