"""Rules of the core that are disabled on purpose, one at a time: some history must detect each (runner.py).

To add one, write a function that patches the rule, and list it in FAULTS.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from cypressbeam.consensus import deduplication, failure_detection, repair
from cypressbeam.consensus.chain import ChainReplica, write_result
from cypressbeam.consensus.effects import ChainEffect, SendMessage
from cypressbeam.consensus.failure_detection import FailureDetector
from cypressbeam.consensus.quorum_reads import QuorumReads
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.rollback_detection import RollbackDetector
from cypressbeam.consensus.state import ReplicaState
from cypressbeam.consensus.views import Entry, View
from cypressbeam.consensus.voting import Voter
from cypressbeam.protocol import frames
from lab.histories.downstream import DownstreamNode

#: Replaces an attribute of a class or module.
Patch = Callable[[Any, str, Any], None]


def disable_rollback_detection(patch: Patch) -> None:
    """No machine compares a member's reported marks with earlier ones, or with those that it must have."""
    patch(RollbackDetector, "rejects", lambda self, name, marks: False)
    patch(RollbackDetector, "shows_rollback", lambda self, frame: False)


def ignore_persisted_promises(patch: Patch) -> None:
    """A restarted machine accepts epochs below the one that it had promised, and rollback detection is disabled."""
    disable_rollback_detection(patch)
    real = Replica.load

    def load(
        self: Replica, view: View | None, promised: int, last: Entry | None, taken: dict[int, bytes], now_s: float
    ) -> list[Any]:
        return real(self, view, view.epoch if view is not None else 0, last, taken, now_s)

    patch(Replica, "load", load)


def promise_without_a_view(patch: Patch) -> None:
    """A machine promises although no view on its disk has it in the group."""
    patch(Voter, "can_vote", lambda self: True)


def promise_after_disk_loss(patch: Patch) -> None:
    """A machine that lost its disk promises under its old name, and rollback detection is disabled."""
    disable_rollback_detection(patch)
    promise_without_a_view(patch)


def acknowledge_at_the_head(patch: Patch) -> None:
    """A write is acknowledged once its first copy is on disk."""
    real = ChainReplica.entry_persisted

    def synced(self: ChainReplica, entry: Entry, now_s: float) -> list[Any]:
        early = [
            SendMessage(origin, frames.WriteResult(ident, 200, "early"))
            for ident, origin in self.pending_callers
            if self.is_head()
        ]
        return [*early, *real(self, entry, now_s)]

    patch(ChainReplica, "entry_persisted", synced)


def start_with_oldest_entry(patch: Patch) -> None:
    """A new chain starts with the oldest entry that a majority reports."""
    patch(
        repair,
        "newest_of",
        lambda promises: min(promises.values(), key=lambda promise: (promise.entry_epoch, promise.number)),
    )


def accept_quorum_of_one(patch: Patch) -> None:
    """One machine is a quorum, and a chain of one is enough."""
    patch(ReplicaState, "quorum_size", lambda self, group: 1)


def acknowledge_while_cut_off(patch: Patch) -> None:
    """A head that can't forward an entry treats it as committed after a while: both sides of a partition commit one."""
    real = ChainReplica.tick

    def tick(self: ChainReplica, now_s: float) -> list[Any]:
        if (
            self.is_head()
            and self.active
            and self.has_uncommitted()
            and self.pending_callers
            and now_s > self.forwarded_s + 0.25
        ):
            self.committed = self.number
            asked, self.pending_callers = self.pending_callers, []
            return [SendMessage(origin, frames.WriteResult(ident, 200, "alone")) for ident, origin in asked]
        return real(self, now_s)

    patch(ChainReplica, "tick", tick)


def count_stale_heartbeats(patch: Patch) -> None:
    """A member counts as alive when its heartbeat is read, however long that waited in a socket buffer."""
    patch(FailureDetector, "echoed_s", lambda self, frame, now_s: now_s)


def keep_leadership_without_quorum(patch: Patch) -> None:
    """A root without contact to a majority stays root."""
    patch(failure_detection, "LEADER_CONTACT_GRACE_S", 60.0)


def lead_without_quorum_contact(patch: Patch) -> None:
    """Any machine with an active view leads, with or without contact to a majority."""
    patch(FailureDetector, "last_quorum_contact_s", lambda self, now_s: now_s)


def accept_late_confirmations(patch: Patch) -> None:
    """A majority's confirmation of a read or rejection counts however long ago it was requested."""
    real = QuorumReads.on_ack

    def on_ack(self: QuorumReads, frame: frames.QuorumReadAck, now_s: float) -> list[Any]:
        read = self.pending.get(frame.request_id)
        return real(self, frame, min(now_s, read.deadline_s) if read is not None else now_s)

    patch(QuorumReads, "on_ack", on_ack)


def accept_any_epoch(patch: Patch) -> None:
    """A downstream node accepts announcements of any epoch."""
    patch(DownstreamNode, "accepts", lambda self, announced: True)


def reject_forgotten_writes(patch: Patch) -> None:
    """A write without a known digest counts as never applied, even if its digest may have been discarded."""
    patch(ChainReplica, "may_have_been_applied", lambda self, base, revision: False)


def reject_future_bases(patch: Patch) -> None:
    """A write is rejected because its base is not current yet; a late copy of it is then applied."""
    patch(ChainReplica, "base_may_become_current", lambda self, base, revision: False)


def count_failed_write_as_applied(patch: Patch) -> None:
    """A write that the disk reported as failed but kept counts as applied after the next start."""
    real = deduplication.record
    patch(deduplication, "record", lambda kept, revision, base, mark: real(kept, revision, revision, mark))


def coalesce_by_revision(patch: Patch) -> None:
    """A write gets the answer of another one with the same revision: two operators are acknowledged."""

    def coalesce(self: ChainReplica) -> None:
        entry = self.persisting or self.last
        for order in list(self.queue):
            if entry is not None and self.check(order.body) == entry.revision:
                self.queue.remove(order)
                self.pending_callers.append((order.request_id, order.origin))

    patch(ChainReplica, "coalesce_duplicates", coalesce)


def recognise_by_revision(patch: Patch) -> None:
    """An applied write is recognised by its revision instead of its digest."""
    real = ChainReplica.decide

    def decide(self: ChainReplica, order: frames.WriteRequest, now_s: float) -> list[ChainEffect]:
        if self.check(order.body) in self.applied_digests:
            return [write_result(order, 200, "a revision number applied before")]
        return real(self, order, now_s)

    patch(ChainReplica, "decide", decide)


def count_newest_entry_as_committed(patch: Patch) -> None:
    """A proposer reports its digests as complete up to its newest entry, which may be lost with the view."""

    def digests_complete_up_to(self: ReplicaState) -> int:
        entry = self.newest_entry()
        return entry.revision if entry is not None else 0

    patch(ReplicaState, "digests_complete_up_to", digests_complete_up_to)


#: By name: the function that patches the rule, and options for the world.
FAULTS: dict[str, tuple[Callable[[Patch], None] | None, dict[str, Any]]] = {
    "skip-a-sync": (disable_rollback_detection, {"lying": True}),
    "keep-an-older-copy": (disable_rollback_detection, {}),
    "count-a-wiped-machine": (promise_after_disk_loss, {"same_name": True}),
    "count-a-newcomer": (promise_without_a_view, {}),
    "accept-a-lower-epoch": (ignore_persisted_promises, {}),
    "acknowledge-at-the-head": (acknowledge_at_the_head, {}),
    "begin-with-the-oldest": (start_with_oldest_entry, {}),
    "decide-alone": (accept_quorum_of_one, {"copies": 1}),
    "acknowledge-while-cut-off": (acknowledge_while_cut_off, {}),
    "count-old-pulses": (count_stale_heartbeats, {}),
    "stay-the-root": (keep_leadership_without_quorum, {}),
    "lead-alone": (lead_without_quorum_contact, {}),
    "answer-by-old-words": (accept_late_confirmations, {}),
    "believe-any-epoch": (accept_any_epoch, {}),
    "refuse-what-is-forgotten": (reject_forgotten_writes, {}),
    "refuse-a-later-base": (reject_future_bases, {}),
    "keep-a-refused-write": (count_failed_write_as_applied, {}),
    "join-by-number": (coalesce_by_revision, {}),
    "know-by-number": (recognise_by_revision, {}),
    "count-the-newest-as-committed": (count_newest_entry_as_committed, {}),
}


@contextmanager
def patched(apply: Callable[[Patch], None] | None) -> Iterator[None]:
    """Disable a rule while the context is open."""
    replaced: list[tuple[Any, str, Any]] = []

    def patch(where: Any, what: str, new: Any) -> None:
        replaced.append((where, what, getattr(where, what)))
        setattr(where, what, new)

    if apply is not None:
        apply(patch)
    try:
        yield
    finally:
        for where, what, old in reversed(replaced):
            setattr(where, what, old)


@contextmanager
def fault(name: str) -> Iterator[dict[str, Any]]:
    """Disable a rule, by name, while the context is open. Yields the options for the world."""
    apply, options = FAULTS[name]
    with patched(apply):
        yield options
