"""Operators in the histories of the core, at the pages' worst: up to eight orders under way at once, one order through
several machines at the same time, one number for different changes, orders on top of a version that is only under way,
answers that are lost, copies that come late, repeats long after, and hundreds of changes in between.

What must hold (docs/design/orders.md): whatever is or comes into force was never refused to anybody who asked for it;
no two changes are acknowledged under one number; what was acknowledged is acknowledged again or left without a clear
answer; and the newest change, sent again with no other one made since, is acknowledged.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from cypressbeam.consensus import deduplication
from cypressbeam.protocol import frames
from lab.histories.invariants import Call, InvariantViolationError, demand, revision
from lab.histories.network import CLIENT
from lab.histories.plans import Step, shape_of
from lab.histories.world import World

MOST_UNDER_WAY = 8
#: Digests that are kept in these histories: so few that repeats come from beyond them.
KEPT = 16
#: A node's sending comes again after so long, a caller's next one goes to another node; then it gives up, or repeats
#: the order later, as the pages let it.
AGAIN_S, NEXT_S = 0.3, 1.0
PATIENCE_S = (2.0, 8.0)
LATER_S = (0.5, 15.0)
#: Copies may wait in the buffers of a node that stands still.
LATE_S = (0.5, 6.0)
CLEAR = (200, 400, 412)
#: Answers that get lost, of all.
LOST, LOST_BRISK = 0.2, 0.03
#: Frames that are lost while a head is heard by nobody.
LOSS_WHILE_MUTE = 0.25
#: Copies are under way for so long after the last order; then all must be at rest.
REST_S = 3.0
#: Orders that are sent once more at the end.
REPEATED = 20


@dataclass
class PendingWrite:
    """One change, and all that was ever answered to any copy of it."""

    call: Call
    gives_up_s: float
    statuses: set[int] = field(default_factory=set)

    @property
    def body(self) -> bytes:
        return self.call.body

    def open(self, now_s: float) -> bool:
        return not self.call.status and now_s < self.gives_up_s


class Crowd:
    """The operators of one world, who come on top of its two others. Events of theirs are `crowd` ones."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.rng = random.Random(f"operators {seed}")
        self.orders: list[PendingWrite] = []
        self.copies: dict[int, PendingWrite] = {}
        """By the number of the frame that carries one."""
        self.known = 0
        self.seen = [0]
        """What anybody heard to be in force: some have not heard of the last."""
        self.until_s = 0.0
        self.finishing = False
        self.brisk = self.rng.random() < 0.5
        """One change follows on the other at once, a hundred and more in a history; else many compete."""
        shape = shape_of(seed)
        self.wild = shape.wild and not shape.aimed
        """Troubles overlap in this history (`make_plan`), and no more disks are lost than may be, so that one more
        trouble does no harm that is not owed. Where disks are lost in a row a cut keeps the first from coming level."""

    def begin(self, until_s: float) -> None:
        self.until_s = until_s
        self.world.at(self.rng.uniform(0.1, 1.0), "crowd", "proceed")
        for _ in range(3):
            if self.wild:
                self.world.at(self.rng.uniform(1.0, until_s), "crowd", "mute")
            self.world.at(self.rng.uniform(1.0, until_s), "crowd", "spoil")

    def mute(self) -> None:
        """The head hears the others, and they don't hear it; and many frames are lost, among them the one that would
        tell it that it leads no more. Callers reach it still."""
        self.world.begin(Step(self.world.now_s, "one-way", self.world.leader(), self.rng.uniform(2.0, 4.0)))
        self.world.at(3.0, "crowd", "lose", min(self.world.network.loss, 0.02))
        self.lose(LOSS_WHILE_MUTE)

    def spoil(self) -> None:
        """The head's disk refuses for a moment; once it takes writes again, its process ends and starts."""
        head = self.world.leader()
        self.world.begin(Step(self.world.now_s, "refuse", head, self.rng.uniform(0.05, 0.2)))
        self.world.at(self.rng.uniform(0.25, 0.6), "crowd", "crash", head)

    def crash(self, ip: str) -> None:
        self.world.begin(Step(self.world.now_s, "kill", ip, self.rng.uniform(0.05, 0.3)))

    def lose(self, share: float) -> None:
        self.world.network.loss = share

    def sent(self, ident: int) -> bool:
        """Whether a request with this number is one of these operators'."""
        return ident in self.copies

    def on(self, what: str, *given: Any) -> None:
        """Handle an event of the method's name."""
        getattr(self, what)(*given)

    def proceed(self) -> None:
        """Some new orders; then again, in a while."""
        now_s = self.world.now_s
        if now_s > self.until_s:
            return
        under_way = sum(1 for order in self.orders[-4 * MOST_UNDER_WAY :] if order.open(now_s))
        most = MOST_UNDER_WAY if not self.brisk else 1
        for _ in range(min(self.rng.choice((1, 1, 2, 3)), most - under_way)):
            self.order()
        self.world.at(self.rng.choice((0.3, 0.6) if self.brisk else (0.01, 0.05, 0.1, 0.3)), "crowd", "proceed")

    def order(self) -> None:
        """As a rule on top of what is known, now and then on top of what is under way; numbers are often the same."""
        base = self.known if self.rng.random() > 0.15 else self.rng.choice(self.seen[-10:])
        open_now = [order for order in self.orders[-MOST_UNDER_WAY:] if order.open(self.world.now_s)]
        if open_now and self.rng.random() < 0.2:
            base = revision(self.rng.choice(open_now).body)
        ident = next(self.world.numbers) + 1
        number = (base // 10 + 1) * 10 + self.rng.choice((0, 0, 0, 2, 3))
        call = Call(ident, f"crowd {ident}", "replace", self.world.now_s, base=base, body=b"%d:c%d" % (number, ident))
        self.world.callers.calls[ident] = call
        order = PendingWrite(call, self.world.now_s + self.rng.uniform(*PATIENCE_S))
        self.orders.append(order)
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            self.send(order)
        self.world.at(self.rng.uniform(*LATER_S), "crowd", "repeat", order)

    def send(self, order: PendingWrite) -> None:
        """One copy through one machine, which sends it on again until its own patience ends."""
        ident = next(self.world.numbers) + 1
        self.copies[ident] = order
        late_s = self.rng.uniform(*LATE_S) if self.rng.random() < 0.1 else 0.0
        self.world.at(late_s, "crowd", "press", ident, 3)
        self.world.at(NEXT_S, "crowd", "turn", order)

    def press(self, ident: int, times: int) -> None:
        order, replicas = self.copies[ident], self.world.replicas
        resting = not self.finishing and self.world.now_s > self.until_s + REST_S
        if replicas and not resting:
            frame = frames.WriteRequest(ident, CLIENT, order.call.base, order.body)
            self.world.send(CLIENT, self.rng.choice(sorted(replicas)), frame)
        if times > 1:
            self.world.at(AGAIN_S, "crowd", "press", ident, times - 1)

    def turn(self, order: PendingWrite) -> None:
        if order.open(self.world.now_s):
            self.send(order)

    def repeat(self, order: PendingWrite) -> None:
        """Long after: only by those who were not refused, as the pages have it."""
        if order.call.status in (0, 200):
            self.send(order)

    def answer(self, frame: frames.WriteResult) -> None:
        """The caller hears it, or not; what was said counts in both cases."""
        order = self.copies[frame.request_id]
        order.statuses.add(frame.status)
        call = order.call
        lost = self.rng.random() < (LOST_BRISK if self.brisk else LOST)
        if call.status or frame.status not in CLEAR or lost:
            return
        call.ended_s, call.status, call.text = self.world.now_s, frame.status, frame.text
        if frame.status == 200:
            call.seen = revision(order.body)
        elif frame.status == 412:
            call.seen = int(frame.text.rpartition(" ")[2])
        self.seen.append(call.seen or 0)
        self.known = max(self.seen)
        if self.brisk and frame.status == 200 and self.world.now_s < self.until_s:
            self.order()

    # -- what must hold ------------------------------------------------------------------------------------

    def finish(self) -> None:
        """At rest: the newest change is sent again, and some of the older ones. Raises InvariantViolationError."""
        self.check()
        self.finishing = True
        newest = max(self.world.chain().items(), default=(0, None))[1]
        mine = [order for order in self.orders if newest is not None and order.body == newest.body]
        old = [order for order in self.orders if 200 in order.statuses]
        for order in mine + self.rng.sample(old, min(REPEATED, len(old))):
            order.statuses = set()
            order.gives_up_s = self.world.now_s + 4.0
            self.send(order)
        self.world.run(self.world.now_s + 4.0)
        for order in mine:
            demand(200 in order.statuses, f"{order.body!r} is in force, and its repeat ends with {order.statuses}")
        if any(400 in order.statuses or 412 in order.statuses for order in old):
            raise InvariantViolationError("a change that was acknowledged is refused when it comes again")
        self.check()

    def check(self) -> None:
        in_force = {entry.body for entry in self.world.chain().values()}
        numbers: dict[int, bytes] = {}
        for order in self.orders:
            if order.body in in_force:
                refused = order.statuses - {200, 503}
                demand(not refused, f"{order.body!r} came into force, and was answered {refused} as well")
            elif 200 in order.statuses:
                raise InvariantViolationError(f"{order.body!r} was acknowledged and never committed")
            if 200 in order.statuses:
                same = numbers.setdefault(revision(order.body), order.body) == order.body
                demand(same, f"two changes were acknowledged as {revision(order.body)}")


@contextmanager
def few_kept() -> Iterator[None]:
    """While few digests are kept."""
    before, deduplication.MAX_DIGESTS = deduplication.MAX_DIGESTS, KEPT
    try:
        yield
    finally:
        deduplication.MAX_DIGESTS = before
