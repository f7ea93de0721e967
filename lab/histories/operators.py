"""Many concurrent operators in the histories of the core, as adverse as the documentation permits: up to eight writes
in flight, one write through several machines at once, the same revision for different changes, writes based on a
version that is not committed yet, lost answers, late copies, late repeats, and hundreds of changes in between.

Invariants (docs/design/orders.md): a write that is or becomes current was never rejected for any of its senders; no two
changes are acknowledged with the same revision; an acknowledged write that is repeated is acknowledged again or gets no
definite answer; and the newest change, repeated with no other one made since, is acknowledged.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from cypressbeam.consensus import deduplication
from cypressbeam.protocol import frames
from lab.histories.invariants import Call, InvariantViolationError, check_condition, revision
from lab.histories.network import CLIENT
from lab.histories.plans import Step, shape_of
from lab.histories.world import World

MAX_IN_FLIGHT = 8
#: Digests kept in these histories: so few that repeats arrive after their digest was discarded.
KEPT_DIGESTS = 16
#: A node retries at the first interval, a caller tries another node at the second. It gives up after the timeout, and
#: repeats the write later, as the documentation allows.
RETRY_S, NEXT_NODE_S = 0.3, 1.0
CALL_TIMEOUT_S = (2.0, 8.0)
REPEAT_DELAY_S = (0.5, 15.0)
#: Delay of a copy that waits in the buffers of a paused node.
LATE_COPY_S = (0.5, 6.0)
DEFINITE_STATUSES = (200, 400, 412)
#: Shares of answers that are lost: with concurrent changes, and with sequential ones.
LOST_ANSWERS, LOST_ANSWERS_SEQUENTIAL = 0.2, 0.03
#: Share of frames that are lost while nobody receives the head's.
LOSS_DURING_CUT = 0.25
#: Copies are still sent for this long after the last new write.
DRAIN_S = 3.0
#: Older writes that are repeated at the end.
FINAL_REPEATS = 20


@dataclass
class PendingWrite:
    """One change, and the status of every answer to any copy of it."""

    call: Call
    deadline_s: float
    statuses: set[int] = field(default_factory=set)

    @property
    def body(self) -> bytes:
        return self.call.body

    def is_open(self, now_s: float) -> bool:
        return not self.call.status and now_s < self.deadline_s


class ManyOperators:
    """Operators of a world, in addition to its two others. Their events have the kind `operators`."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.rng = random.Random(f"operators {seed}")
        self.writes: list[PendingWrite] = []
        self.copies: dict[int, PendingWrite] = {}
        """By the request id of each copy."""
        self.known = 0
        self.seen = [0]
        """The current revisions that operators learned of; some operators work on an older one."""
        self.until_s = 0.0
        self.finishing = False
        self.sequential = self.rng.random() < 0.5
        """Whether changes follow one another at once, over a hundred in a history, instead of competing."""
        shape = shape_of(seed)
        self.overlapping = shape.overlapping and not shape.newcomer_only
        """Whether faults overlap in this history (`make_plan`) and no more disks are lost than tolerated, so that a
        further fault is tolerated too. If disks are lost in sequence, a cut keeps the first from catching up."""

    def begin(self, until_s: float) -> None:
        self.until_s = until_s
        self.world.at(self.rng.uniform(0.1, 1.0), "operators", "submit_some")
        for _ in range(3):
            if self.overlapping:
                self.world.at(self.rng.uniform(1.0, until_s), "operators", "cut_head")
            self.world.at(self.rng.uniform(1.0, until_s), "operators", "fail_head_disk")

    def cut_head(self) -> None:
        """Cut the head's outgoing direction, and lose many frames, among them the one that would tell it that it is no
        longer the leader. Callers still reach it."""
        self.world.begin(Step(self.world.now_s, "one-way", self.world.leader(), self.rng.uniform(2.0, 4.0)))
        self.world.at(3.0, "operators", "set_loss", min(self.world.network.loss, 0.02))
        self.set_loss(LOSS_DURING_CUT)

    def fail_head_disk(self) -> None:
        """Make the head's disk refuse writes for a moment; once it accepts them again, restart its process."""
        head = self.world.leader()
        self.world.begin(Step(self.world.now_s, "refuse", head, self.rng.uniform(0.05, 0.2)))
        self.world.at(self.rng.uniform(0.25, 0.6), "operators", "crash", head)

    def crash(self, ip: str) -> None:
        self.world.begin(Step(self.world.now_s, "kill", ip, self.rng.uniform(0.05, 0.3)))

    def set_loss(self, share: float) -> None:
        self.world.network.loss = share

    def owns(self, ident: int) -> bool:
        """Whether a request id belongs to these operators."""
        return ident in self.copies

    def on(self, what: str, *given: Any) -> None:
        """Handle an event, which names the method to call."""
        getattr(self, what)(*given)

    def submit_some(self) -> None:
        """Submit some new writes, and schedule the next ones."""
        now_s = self.world.now_s
        if now_s > self.until_s:
            return
        in_flight_count = sum(1 for write in self.writes[-4 * MAX_IN_FLIGHT :] if write.is_open(now_s))
        most = MAX_IN_FLIGHT if not self.sequential else 1
        for _ in range(min(self.rng.choice((1, 1, 2, 3)), most - in_flight_count)):
            self.submit()
        self.world.at(
            self.rng.choice((0.3, 0.6) if self.sequential else (0.01, 0.05, 0.1, 0.3)), "operators", "submit_some"
        )

    def submit(self) -> None:
        """Submit a write, usually based on the known version, sometimes on one in flight. Revisions often collide."""
        base = self.known if self.rng.random() > 0.15 else self.rng.choice(self.seen[-10:])
        in_flight = [write for write in self.writes[-MAX_IN_FLIGHT:] if write.is_open(self.world.now_s)]
        if in_flight and self.rng.random() < 0.2:
            base = revision(self.rng.choice(in_flight).body)
        ident = next(self.world.numbers) + 1
        number = (base // 10 + 1) * 10 + self.rng.choice((0, 0, 0, 2, 3))
        call = Call(
            ident, f"operator {ident}", "replace", self.world.now_s, base=base, body=b"%d:c%d" % (number, ident)
        )
        self.world.callers.calls[ident] = call
        write = PendingWrite(call, self.world.now_s + self.rng.uniform(*CALL_TIMEOUT_S))
        self.writes.append(write)
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            self.send(write)
        self.world.at(self.rng.uniform(*REPEAT_DELAY_S), "operators", "repeat", write)

    def send(self, write: PendingWrite) -> None:
        """Send a copy through one machine, which retries it a few times."""
        ident = next(self.world.numbers) + 1
        self.copies[ident] = write
        late_s = self.rng.uniform(*LATE_COPY_S) if self.rng.random() < 0.1 else 0.0
        self.world.at(late_s, "operators", "send_copy", ident, 3)
        self.world.at(NEXT_NODE_S, "operators", "try_next_node", write)

    def send_copy(self, ident: int, times: int) -> None:
        write, replicas = self.copies[ident], self.world.replicas
        resting = not self.finishing and self.world.now_s > self.until_s + DRAIN_S
        if replicas and not resting:
            frame = frames.WriteRequest(ident, CLIENT, write.call.base, write.body)
            self.world.send(CLIENT, self.rng.choice(sorted(replicas)), frame)
        if times > 1:
            self.world.at(RETRY_S, "operators", "send_copy", ident, times - 1)

    def try_next_node(self, write: PendingWrite) -> None:
        if write.is_open(self.world.now_s):
            self.send(write)

    def repeat(self, write: PendingWrite) -> None:
        """Repeat a write much later, unless it was rejected, as the documentation demands."""
        if write.call.status in (0, 200):
            self.send(write)

    def answer(self, frame: frames.WriteResult) -> None:
        """Handle an answer. It may be lost on the way to the caller, but counts for the invariants either way."""
        write = self.copies[frame.request_id]
        write.statuses.add(frame.status)
        call = write.call
        lost = self.rng.random() < (LOST_ANSWERS_SEQUENTIAL if self.sequential else LOST_ANSWERS)
        if call.status or frame.status not in DEFINITE_STATUSES or lost:
            return
        call.ended_s, call.status, call.text = self.world.now_s, frame.status, frame.text
        if frame.status == 200:
            call.seen = revision(write.body)
        elif frame.status == 412:
            call.seen = int(frame.text.rpartition(" ")[2])
        self.seen.append(call.seen or 0)
        self.known = max(self.seen)
        if self.sequential and frame.status == 200 and self.world.now_s < self.until_s:
            self.submit()

    # -- invariants ----------------------------------------------------------------------------------------

    def finish(self) -> None:
        """Repeat the newest change and some older ones without faults. Raises InvariantViolationError."""
        self.check()
        self.finishing = True
        newest = max(self.world.chain().items(), default=(0, None))[1]
        mine = [write for write in self.writes if newest is not None and write.body == newest.body]
        old = [write for write in self.writes if 200 in write.statuses]
        for write in mine + self.rng.sample(old, min(FINAL_REPEATS, len(old))):
            write.statuses = set()
            write.deadline_s = self.world.now_s + 4.0
            self.send(write)
        self.world.run(self.world.now_s + 4.0)
        for write in mine:
            check_condition(
                200 in write.statuses, f"{write.body!r} is current, but its repeat was answered with {write.statuses}"
            )
        if any(400 in write.statuses or 412 in write.statuses for write in old):
            raise InvariantViolationError("a repeat of an acknowledged change was rejected")
        self.check()

    def check(self) -> None:
        in_force = {entry.body for entry in self.world.chain().values()}
        numbers: dict[int, bytes] = {}
        for write in self.writes:
            if write.body in in_force:
                refused = write.statuses - {200, 503}
                check_condition(not refused, f"{write.body!r} became current, but was also answered with {refused}")
            elif 200 in write.statuses:
                raise InvariantViolationError(f"{write.body!r} was acknowledged but never committed")
            if 200 in write.statuses:
                same = numbers.setdefault(revision(write.body), write.body) == write.body
                check_condition(same, f"two changes were acknowledged with revision {revision(write.body)}")


@contextmanager
def keep_few_digests() -> Iterator[None]:
    """Keep only a few digests while the context is open."""
    before, deduplication.MAX_DIGESTS = deduplication.MAX_DIGESTS, KEPT_DIGESTS
    try:
        yield
    finally:
        deduplication.MAX_DIGESTS = before
