"""Chain replication: the state machine of one member of the chain that stores the configuration.

The head orders writes and checks each against its base revision, every member syncs an entry before forwarding it,
and an entry is committed once the tail has synced it. Every message carries the view's epoch; messages of other epochs
are ignored. repair.py creates and repairs the chain.

Invariants: no member forwards an entry that it has not synced; only a tail that has synced an entry publishes it or
answers its write with 200; entry numbers and revisions only increase; the head has at most one uncommitted entry.
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

#: An uncommitted entry is forwarded again after this time, since the link may have broken.
RESEND_INTERVAL_S = 0.3
#: Writes queued at the head; further ones are rejected with 503.
MAX_QUEUED_WRITES = 64
#: Maximum characters in the text of a result. The text may quote the operator's input, and the length field of a text
#: in a frame has two bytes.
MAX_RESULT_TEXT = 300


@dataclass(slots=True)
class ChainReplica:
    """The state of one chain member. `check` returns the revision of a body and raises ValueError if it is invalid."""

    ip: str
    view: View
    check: Callable[[bytes], int]
    digest: Callable[[bytes], bytes]
    last: Entry | None = None
    """The newest entry on disk."""
    applied_digests: dict[int, bytes] = field(default_factory=dict)
    """Digests of the newest entry on disk and of the entries before it, by revision (deduplication.py)."""
    committed: int = 0
    """The highest entry number that this member knows to be committed."""
    queue: deque[frames.WriteRequest] = field(default_factory=deque)
    persisting: Entry | None = None
    pending_callers: list[tuple[int, str]] = field(default_factory=list)
    """The write requests that the entry in flight will answer: request id and address of the node that received it."""
    forwarded_s: float = 0.0
    active: bool = False
    """Every member of the chain has installed this view and its initial entry."""
    sealed: bool = False
    """A higher epoch was promised, so nothing more is done in this one."""
    catch_up_target: int = 0
    """The highest entry number that the other members of the chain had reported when the view became active."""

    # -- role and position ---------------------------------------------------------------------------------

    @property
    def number(self) -> int:
        """The number of the newest entry on disk, 0 if there is none."""
        return self.last.number if self.last else 0

    @property
    def revision(self) -> int:
        """The revision of the newest entry on disk, 0 if there is none."""
        return self.last.revision if self.last else 0

    def is_head(self) -> bool:
        """Whether this machine orders writes."""
        return self.view.head == self.ip

    def is_tail(self) -> bool:
        """Whether this machine commits entries."""
        return self.view.tail == self.ip

    def is_caught_up(self) -> bool:
        """Whether this member has every entry that the others had reported when the view became active."""
        return self.number >= self.catch_up_target

    def activate(self, now_s: float, catch_up_target: int = 0) -> list[ChainEffect]:
        """Activate the view once every member has installed it.

        The initial entry is then committed, and at the tail everything on its disk. After a power failure another
        member may hold a later entry: it is forwarded down the chain, and until the tail has it no member can tell
        which entries were acknowledged."""
        self.active, self.catch_up_target = True, catch_up_target
        if self.is_tail() and not self.is_caught_up():
            return []
        self.committed = max(self.committed, self.number if self.is_tail() else self.view.initial_number)
        return [Publish(self.last)] if self.last is not None and self.is_tail() else self.forward_to_successor(now_s)

    # -- writes, at the head -------------------------------------------------------------------------------

    def submit(self, request: frames.WriteRequest, now_s: float) -> list[ChainEffect]:
        """Queue a write request at the head; requests are decided in order."""
        if not self.is_head() or self.sealed or not self.active:
            return []  # the receiving node resends it until its caller times out
        if (
            any(other.request_id == request.request_id for other in self.queue)
            or (request.request_id, request.origin) in self.pending_callers
        ):
            return []  # resent by the node that received it
        if len(self.queue) >= MAX_QUEUED_WRITES:
            return [write_result(request, 503, "too many orders wait")]
        self.queue.append(request)
        return self.process_queue(now_s)

    def has_uncommitted(self) -> bool:
        """Whether an entry is in flight: being written to disk here, or not yet committed."""
        return self.persisting is not None or self.number > self.committed

    def process_queue(self, now_s: float) -> list[ChainEffect]:
        """Decide queued writes one at a time, each after the entry before it is committed, so that a rejection never
        names a current version that can still be lost."""
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
        """Let queued writes with the same body as the entry in flight share its result."""
        entry = self.persisting or self.last
        if entry is None:
            return
        for request in [request for request in self.queue if request.body == entry.body]:
            self.queue.remove(request)
            self.pending_callers.append((request.request_id, request.origin))

    def decide(self, request: frames.WriteRequest, now_s: float) -> list[ChainEffect]:
        """Apply or reject a write; every entry on disk is committed at this point.

        An applied write is never rejected, and a rejected write is never applied (docs/design/orders.md), so a write
        whose outcome is uncertain gets 503."""
        if self.digest(request.body) in self.applied_digests.values():
            # Before the check, which may have changed since the body was applied.
            return [write_result(request, 200, "taken before")]
        if deduplication.forgotten_up_to(self.applied_digests, self.number) <= request.base < self.revision:
            # Usually one of many writes on the same base: the body, with many thousand routes, need not be parsed.
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
        """Whether the base of a write may still become current; a delayed copy of the write would then be applied."""
        return self.revision < base < revision

    def may_have_been_applied(self, base: int, revision: int) -> bool:
        """Whether a write may have been applied so long ago that its digest was discarded."""
        return base < revision <= deduplication.forgotten_up_to(self.applied_digests, self.number)

    # -- entries forwarded down the chain ------------------------------------------------------------------

    def on_forward(self, frame: frames.ForwardEntry, now_s: float) -> list[ChainEffect]:
        """Handle an entry from the predecessor: persist it if it is the next in sequence."""
        if frame.epoch != self.view.epoch or self.sealed or not self.active:
            return []
        if frame.number <= self.number:
            return self.on_duplicate(frame, now_s)
        if self.persisting is not None or frame.number != self.number + 1:
            return []  # the predecessor resends it
        self.pending_callers = [(frame.request_id, frame.origin)] if frame.origin else []
        self.persisting = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)
        return [PersistEntry(self.persisting)]

    def on_duplicate(self, frame: frames.ForwardEntry, now_s: float) -> list[ChainEffect]:
        """Handle an entry that is already on this disk: the predecessor may have missed its commit notice."""
        previous = self.view.predecessor(self.ip)
        if self.committed >= frame.number and previous is not None:
            return [SendMessage(previous, frames.CommitNotice(self.view.epoch, self.committed))]
        return self.forward_to_successor(now_s)

    def entry_persisted(self, entry: Entry, now_s: float) -> list[ChainEffect]:
        """Handle the completion of `PersistEntry`: forward the entry, or commit it at the tail."""
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
        """Handle the failure of `PersistEntry`: answer the callers with 503, so that they retry later."""
        self.persisting = None
        callers, self.pending_callers = self.pending_callers, []
        return [
            SendMessage(origin, frames.WriteResult(request_id, 503, "the disk refuses"))
            for request_id, origin in callers
        ]

    def forward_to_successor(self, now_s: float) -> list[ChainEffect]:
        """Forward the newest entry to the successor, unless it is committed."""
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
        """Resend the newest entry to a successor that reports only entries up to `number`, if that entry is committed.

        The successor must have had a committed entry on disk. Either its report is outdated, or its disk was rolled
        back and needs the entry again."""
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
        """Handle a commit notice from the successor and pass it to the predecessor."""
        if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:
            return []
        self.committed = frame.number
        effects: list[ChainEffect] = []
        previous = self.view.predecessor(self.ip)
        if previous is not None:
            effects.append(SendMessage(previous, frames.CommitNotice(self.view.epoch, frame.number)))
        # After a power failure of all members the notice of an earlier entry may arrive while a later one is in flight.
        if self.is_head() and self.committed == self.number:
            # The tail has answered the first caller; the others had sent the same body in the meantime.
            effects += [
                SendMessage(origin, frames.WriteResult(request_id, 200, "taken"))
                for request_id, origin in self.pending_callers[1:]
            ]
            self.pending_callers = []
            effects += self.process_queue(now_s)
        return effects

    def tick(self, now_s: float) -> list[ChainEffect]:
        """Resend an entry that was not acknowledged within `RESEND_INTERVAL_S`."""
        if (
            self.active
            and not self.sealed
            and self.number > self.committed
            and now_s - self.forwarded_s >= RESEND_INTERVAL_S
        ):
            return self.forward_to_successor(now_s)
        return []


def write_result(request: frames.WriteRequest, status: int, text: str) -> SendMessage:
    """The result of a write request, addressed to the node that received it."""
    return SendMessage(request.origin, frames.WriteResult(request.request_id, status, text[:MAX_RESULT_TEXT]))
