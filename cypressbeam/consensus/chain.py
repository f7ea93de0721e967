"""Chain replication: one machine's place in the chain that stores the configuration.

The head orders writes and compares bases, each member syncs an entry before it forwards it, the tail's sync commits.
Every message carries the view's epoch; one of another epoch is ignored. repair.py makes and repairs the chain.

Invariants: no member forwards what it has not synced; nothing is published or answered 200 but by a tail that has
synced it; numbers and revisions only rise; the head has at most one entry that is not committed.
Source: van Renesse and Schneider, "Chain replication for supporting high throughput and availability", OSDI 2004.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cypressbeam.consensus import deduplication
from cypressbeam.consensus.effects import ChainEffect, PersistEntry, Publish, SendMessage
from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol import frames

#: An entry that is not committed is sent down again after so long: the link may have broken.
RESEND_INTERVAL_S = 0.3
#: Writes that may wait at the head; more are rejected with 503.
MAX_QUEUED_WRITES = 64
#: Characters of an answer's text: it may hold what an operator has sent, and a frame's texts have two bytes of length.
MAX_RESULT_TEXT = 300


@dataclass(slots=True)
class ChainReplica:
    """The state of one member. `check` returns a body's revision and raises ValueError if it is invalid."""

    ip: str
    view: View
    check: Callable[[bytes], int]
    digest: Callable[[bytes], bytes]
    last: Entry | None = None
    """The newest entry on disk."""
    applied_digests: dict[int, bytes] = field(default_factory=dict)
    """Digests of the entries that led to the newest one on disk, and its own, by revision (deduplication.py)."""
    committed: int = 0
    """The number up to which this member knows entries to be committed."""
    queue: deque[frames.WriteRequest] = field(default_factory=deque)
    persisting: Entry | None = None
    pending_callers: list[tuple[int, str]] = field(default_factory=list)
    """Who is to be answered for the entry in flight: ids of write requests, and the nodes that took the calls."""
    forwarded_s: float = 0.0
    active: bool = False
    """Every member of the chain has taken up this view, and with it the entry that it began with."""
    sealed: bool = False
    """A higher epoch was promised: nothing more is done in this one."""
    catch_up_target: int = 0
    """The highest number that other members of the chain had reported when the view became active."""

    # -- what it is ----------------------------------------------------------------------------------------

    @property
    def number(self) -> int:
        """The number of the newest entry on disk; 0: there is none."""
        return self.last.number if self.last else 0

    @property
    def revision(self) -> int:
        """Its revision; 0: there is none."""
        return self.last.revision if self.last else 0

    def is_head(self) -> bool:
        """Whether this machine orders writes."""
        return self.view.head == self.ip

    def is_tail(self) -> bool:
        """Whether this machine commits entries."""
        return self.view.tail == self.ip

    def is_caught_up(self) -> bool:
        """Whether this member has what the others of the chain had when the view became active."""
        return self.number >= self.catch_up_target

    def activate(self, now_s: float, wanted: int = 0) -> list[ChainEffect]:
        """All members hold what this view began with, so that is committed; at the tail, all that it has. After a loss
        of power another member may have a later entry: it comes down the chain, and before the tail has it nobody can
        tell what was acknowledged."""
        self.active, self.catch_up_target = True, wanted
        if self.is_tail() and not self.is_caught_up():
            return []
        self.committed = max(self.committed, self.number if self.is_tail() else self.view.initial_number)
        return [Publish(self.last)] if self.last is not None and self.is_tail() else self.forward_to_successor(now_s)

    # -- orders, at the head -------------------------------------------------------------------------------

    def submit(self, request: frames.WriteRequest, now_s: float) -> list[ChainEffect]:
        """A write request, at the head: it is queued, and decided in its turn."""
        if not self.is_head() or self.sealed or not self.active:
            return []  # it is sent again, or its caller gets a time-out
        if (
            any(other.request_id == request.request_id for other in self.queue)
            or (request.request_id, request.origin) in self.pending_callers
        ):
            return []  # its node asks again
        if len(self.queue) >= MAX_QUEUED_WRITES:
            return [write_result(request, 503, "too many orders wait")]
        self.queue.append(request)
        return self.process_queue(now_s)

    def has_uncommitted(self) -> bool:
        """Whether an entry is on its way: being written here, or not committed yet."""
        return self.persisting is not None or self.number > self.committed

    def process_queue(self, now_s: float) -> list[ChainEffect]:
        """Writes are decided one at a time, once what came before is committed: so a rejection for another version
        never names one that is lost."""
        effects: list[ChainEffect] = []
        while self.queue and self.is_head() and not self.sealed:
            request = self.queue[0]
            if self.has_uncommitted():
                self.coalesce_duplicates()
                break
            self.queue.popleft()
            effects += self.decide(request, now_s)
        return effects

    def coalesce_duplicates(self) -> None:
        """A write whose configuration is in flight gets the result of the request that brought it."""
        entry = self.persisting or self.last
        if entry is None:
            return
        for request in [request for request in self.queue if request.body == entry.body]:
            self.queue.remove(request)
            self.pending_callers.append((request.request_id, request.origin))

    def decide(self, request: frames.WriteRequest, now_s: float) -> list[ChainEffect]:
        """All that is on disk is committed here. The rule (docs/design/orders.md): what was applied is never
        rejected, and what is rejected is never applied. So a write that may yet turn out to be either gets 503."""
        if self.digest(request.body) in self.applied_digests.values():
            return [write_result(request, 200, "taken before")]  # first, for a check may have changed since
        if deduplication.forgotten_up_to(self.applied_digests, self.number) <= request.base < self.revision:
            # As a rule one of many on the same base: a body of many thousand routes is not read for that.
            return [write_result(request, 412, f"the current version is {self.revision}")]
        try:
            revision = self.check(request.body)
        except ValueError as err:
            return [write_result(request, 400, str(err))]
        if self.base_may_become_current(request.base, revision):
            return [write_result(request, 503, f"version {request.base} is not in force here")]
        if self.may_have_been_applied(request.base, revision):
            return [write_result(request, 503, "too old to tell whether it was taken")]
        if request.base != self.revision:
            return [write_result(request, 412, f"the current version is {self.revision}")]
        if revision <= self.revision:
            return [write_result(request, 400, f"revision {revision} is not above {self.revision}")]
        self.pending_callers = [(request.request_id, request.origin)]
        self.persisting = Entry(self.number + 1, self.view.epoch, revision, request.base, request.body)
        return [PersistEntry(self.persisting)]

    def base_may_become_current(self, base: int, revision: int) -> bool:
        """Whether a write's base may become current yet: a late copy of it would be applied then."""
        return self.revision < base < revision

    def may_have_been_applied(self, base: int, revision: int) -> bool:
        """Whether a write may have been applied so long ago that its digest is not kept any more."""
        return base < revision <= deduplication.forgotten_up_to(self.applied_digests, self.number)

    # -- entries, down the chain ---------------------------------------------------------------------------

    def on_forward(self, frame: frames.ForwardEntry, now_s: float) -> list[ChainEffect]:
        """An entry comes from the predecessor: it is put on disk if it is the next one."""
        if frame.epoch != self.view.epoch or self.sealed or not self.active:
            return []
        if frame.number <= self.number:
            return self.on_duplicate(frame, now_s)
        if self.persisting is not None or frame.number != self.number + 1:
            return []  # it comes again
        self.pending_callers = [(frame.request_id, frame.origin)] if frame.origin else []
        self.persisting = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)
        return [PersistEntry(self.persisting)]

    def on_duplicate(self, frame: frames.ForwardEntry, now_s: float) -> list[ChainEffect]:
        """An entry that is on this disk already: the notice that it is committed may have been lost."""
        previous = self.view.predecessor(self.ip)
        if self.committed >= frame.number and previous is not None:
            return [SendMessage(previous, frames.CommitNotice(self.view.epoch, self.committed))]
        return self.forward_to_successor(now_s)

    def entry_persisted(self, entry: Entry, now_s: float) -> list[ChainEffect]:
        """The entry is on disk."""
        self.persisting = None
        self.last = entry
        deduplication.record(self.applied_digests, entry.revision, entry.base, self.digest(entry.body))
        if self.sealed:
            return []
        if not self.is_tail():
            return self.forward_to_successor(now_s)
        self.committed = entry.number
        effects: list[ChainEffect] = [Publish(entry)]
        effects += [
            SendMessage(origin, frames.WriteResult(request_id, 200, "taken"))
            for request_id, origin in self.pending_callers
        ]
        self.pending_callers = []
        previous = self.view.predecessor(self.ip)
        if previous is not None:
            effects.append(SendMessage(previous, frames.CommitNotice(self.view.epoch, entry.number)))
        return effects + self.process_queue(now_s)

    def persist_failed(self, entry: Entry, now_s: float) -> list[ChainEffect]:
        """The disk refused the entry: its callers get 503, to retry later."""
        self.persisting = None
        callers, self.pending_callers = self.pending_callers, []
        return [
            SendMessage(origin, frames.WriteResult(request_id, 503, "the disk refuses"))
            for request_id, origin in callers
        ]

    def forward_to_successor(self, now_s: float) -> list[ChainEffect]:
        """Send the newest entry down the chain, if it is not committed."""
        successor = self.view.successor(self.ip)
        if successor is None or self.last is None or self.last.number <= self.committed:
            return []
        self.forwarded_s = now_s
        request_id, origin = self.pending_callers[0] if self.pending_callers else (0, "")
        entry = self.last
        return [
            SendMessage(
                successor,
                frames.ForwardEntry(
                    self.view.epoch, entry.number, entry.revision, entry.base, entry.body, request_id, origin
                ),
            )
        ]

    def resend_to_successor(self, ip: str, number: int) -> list[ChainEffect]:
        """The successor reports entries up to this number only. What is committed was on its disk: the report is
        late, or the disk is an older copy of itself, and then it needs the entry again."""
        if (
            self.last is None
            or not self.active
            or self.sealed
            or self.view.successor(self.ip) != ip
            or (number >= self.committed or self.last.number != self.committed)
        ):
            return []
        entry = self.last
        return [
            SendMessage(
                ip, frames.ForwardEntry(self.view.epoch, entry.number, entry.revision, entry.base, entry.body, 0, "")
            )
        ]

    def on_commit(self, frame: frames.CommitNotice, now_s: float) -> list[ChainEffect]:
        """The successor says that entries are committed."""
        if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:
            return []
        self.committed = frame.number
        effects: list[ChainEffect] = []
        previous = self.view.predecessor(self.ip)
        if previous is not None:
            effects.append(SendMessage(previous, frames.CommitNotice(self.view.epoch, frame.number)))
        # After a loss of all power the notice of an earlier entry may come while a later one is on its way.
        if self.is_head() and self.committed == self.number:
            # The tail has answered the first; the rest had sent the same again meanwhile.
            effects += [
                SendMessage(origin, frames.WriteResult(request_id, 200, "taken"))
                for request_id, origin in self.pending_callers[1:]
            ]
            self.pending_callers = []
            effects += self.process_queue(now_s)
        return effects

    def tick(self, now_s: float) -> list[ChainEffect]:
        """Send an entry again that was not acknowledged for long."""
        if (
            self.active
            and not self.sealed
            and self.number > self.committed
            and now_s - self.forwarded_s >= RESEND_INTERVAL_S
        ):
            return self.forward_to_successor(now_s)
        return []


def write_result(request: frames.WriteRequest, status: int, text: str) -> SendMessage:
    """The result of a write request, for the node that took the call."""
    return SendMessage(request.origin, frames.WriteResult(request.request_id, status, text[:MAX_RESULT_TEXT]))
