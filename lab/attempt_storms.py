"""Storms of clients, servers and a list that do what is drawn, on the real gate in memory (docs/design/attempts.md)."""

from __future__ import annotations

import random

from cypressbeam.distribution import endpoint_list
from lab.adversarial_servers import TO_THE_END_S, ReceivedAttempt, SentRequest, ServerWire, World, answer, play
from lab.attempts import REPLIES, SPOILS, note, spoil

#: What is done, to which of those there are, and how.
Step = tuple[str, int, int]

FORMS = [
    (200, "", "length"),
    (200, "", "chunks"),
    (200, "", "close"),
    (200, "Connection: close\r\n", "length"),
    *[(*reply, "length") for reply in REPLIES.values()],
]


class Storm:
    """Clients, servers and the list do what is drawn, one thing after another."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.clients = [world.client() for _ in range(3)]
        self.asked = 0
        self.replies: dict[ReceivedAttempt, bytes] = {}
        self.rests: dict[ReceivedAttempt, bytes] = {}
        """What has still to come of an answer that was begun."""
        self.unframed: set[ReceivedAttempt] = set()
        """Those whose answer has no length."""

    # What clients do.

    def ask(self, which: int, how: int) -> None:
        client = self.clients[which % 3]
        if len(client.asked) - len(client.answers()) < 3:
            self.asked += 1
            kind, method = [("book", ""), ("read", ""), ("book", ""), ("read", "HEAD")][how % 4]
            client.ask(*[SentRequest(f"r{self.asked}-{n}", kind, method) for n in range(1 + (how % 5 == 0))])

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

    def say(self, sending: ReceivedAttempt, how: int, size: int) -> None:
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

    def reply(self, sending: ReceivedAttempt, status: int, more: str, framing: str) -> bytes:
        data = answer(sending, status, more, framing=framing)
        if framing == "close":
            self.unframed.add(sending)
        sending.refuses = status == 421 or "Not-Executed" in more
        if self.method(sending) == "HEAD":
            data = data[: data.index(b"\r\n\r\n") + 4]
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

    def method(self, sending: ReceivedAttempt) -> str:
        return next(
            asked.method for client in self.world.clients for asked in client.asked if asked.ident == sending.ident
        )

    def again(self, which: int, how: int) -> None:
        """An answer that was given comes again, whole or cut short; at times it waits unread, as a close may."""
        told = [sending for sending, rest in self.rests.items() if not rest]
        if told:
            sending = told[which % len(told)]
            wires = [
                wire
                for wire in self.between_answers()
                if wire.protocol.server == sending.server
                and (wire is sending.wire or not self.carries(wire, sending.ident))
            ]
            data = self.replies[sending]
            if wires:
                wire = wires[how % len(wires)]
                (wire.arrive if how % 2 else wire.feed)(data if how % 3 else data[: how // 6 % len(data)])

    def carries(self, wire: ServerWire, ident: str) -> bool:
        """Whether an answer with that name would be the right one there: nobody could tell a copy of another
        connection's from it."""
        return any(sending.wire is wire and sending.ident == ident for sending in self.world.fresh)

    def between_answers(self) -> list[ServerWire]:
        """Nobody could tell what is put into the middle of an answer."""
        begun = {sending.wire for sending, rest in self.rests.items() if rest}
        return [wire for wire in self.world.wires if wire not in begun and not wire.closing]

    def spoil(self, which: int, how: int) -> None:
        fresh = [
            sending for sending in self.world.fresh if sending not in self.rests or b"\r\n\r\n" in self.rests[sending]
        ]  # not within a body
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
        for wire in self.world.wires[which % 4 :: 4]:
            wire.room = self.world.room

    def connect(self, which: int, how: int) -> None:
        self.world.at_once = how % 3 != 0
        for coming in self.world.connects[: 1 + which % 3]:
            if not coming.done():
                coming.set_exception(ConnectionRefusedError()) if how % 4 == 0 else coming.set_result(None)
        del self.world.connects[: 1 + which % 3]

    # What the platform and time do.

    def tell(self, which: int, how: int) -> None:
        self.world.states[f"s{which % 4}"] = endpoint_list.DRAINING if how % 2 else endpoint_list.IN_SERVICE
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
STEPS = [
    "ask",
    "ask",
    "ask",
    "whole",
    "whole",
    "whole",
    "part",
    "part",
    "again",
    "again",
    "spoil",
    "stutter",
    "unread",
    "lose",
    "drain",
    "room",
    "connect",
    "tell",
    "leave",
]


def storm(taken: list[Step]) -> None:
    async def scenario(world: World) -> None:
        await Storm(world).run(taken)

    play(scenario)


def draw(seed: int) -> list[Step]:
    rng = random.Random(f"storm {seed}")
    return [(rng.choice(STEPS), rng.randrange(8), rng.randrange(1001)) for _ in range(rng.randrange(5, 60))]
