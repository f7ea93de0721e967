"""Rules of the core that are left out on purpose, one at a time: some history must show each (runner.py).

To add one: a function that patches, and a line in FAULTS.
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

#: Puts something new in the place of an attribute.
Patch = Callable[[Any, str, Any], None]


def trust_every_disk(patch: Patch) -> None:
    """Nobody compares what a member tells with what it told before, or with what it must have."""
    patch(RollbackDetector, "rejects", lambda self, name, marks: False)
    patch(RollbackDetector, "shows_rollback", lambda self, frame: False)


def forget_promises(patch: Patch) -> None:
    """A machine that comes back accepts epochs below the one that it had promised, and nobody compares that with
    what it told."""
    trust_every_disk(patch)
    real = Replica.load

    def load(
        self: Replica, view: View | None, promised: int, last: Entry | None, taken: dict[int, bytes], now_s: float
    ) -> list[Any]:
        return real(self, view, view.epoch if view is not None else 0, last, taken, now_s)

    patch(Replica, "load", load)


def promise_with_an_empty_disk(patch: Patch) -> None:
    """A machine promises though no view on its disk counts it in a group."""
    patch(Voter, "can_vote", lambda self: True)


def count_as_the_old_one(patch: Patch) -> None:
    """A machine that lost its disk promises under its old name, and nobody compares that with what it told."""
    trust_every_disk(patch)
    promise_with_an_empty_disk(patch)


def acknowledge_at_the_head(patch: Patch) -> None:
    """An order is answered once its first copy is on disk."""
    real = ChainReplica.entry_persisted

    def synced(self: ChainReplica, entry: Entry, now_s: float) -> list[Any]:
        early = [
            SendMessage(origin, frames.WriteResult(ident, 200, "early"))
            for ident, origin in self.pending_callers
            if self.is_head()
        ]
        return [*early, *real(self, entry, now_s)]

    patch(ChainReplica, "entry_persisted", synced)


def begin_with_the_oldest(patch: Patch) -> None:
    """A new chain begins with the oldest entry that a majority tells."""
    patch(
        repair,
        "newest_of",
        lambda promises: min(promises.values(), key=lambda promise: (promise.entry_epoch, promise.number)),
    )


def decide_alone(patch: Patch) -> None:
    """One machine is a majority, and a chain of one will do."""
    patch(ReplicaState, "quorum_size", lambda self, group: 1)


def acknowledge_while_cut_off(patch: Patch) -> None:
    """A head that can't pass an entry on takes it for committed after a while: two sides of a cut have one each."""
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


def count_old_pulses(patch: Patch) -> None:
    """A member counts as heard when a pulse of it is read, however long that was in a socket."""
    patch(FailureDetector, "echoed_s", lambda self, frame, now_s: now_s)


def stay_the_root(patch: Patch) -> None:
    """A root that is in contact with no majority stays it."""
    patch(failure_detection, "LEADER_CONTACT_GRACE_S", 60.0)


def lead_alone(patch: Patch) -> None:
    """Whoever holds an active view leads, whether it is in contact with a majority or not."""
    patch(FailureDetector, "last_quorum_contact_s", lambda self, now_s: now_s)


def answer_by_old_words(patch: Patch) -> None:
    """A majority's confirmation counts for a read, or a refusal, however long ago it was asked for."""
    real = QuorumReads.on_ack

    def on_ack(self: QuorumReads, frame: frames.QuorumReadAck, now_s: float) -> list[Any]:
        read = self.pending.get(frame.request_id)
        return real(self, frame, min(now_s, read.deadline_s) if read is not None else now_s)

    patch(QuorumReads, "on_ack", on_ack)


def believe_any_epoch(patch: Patch) -> None:
    """A downstream node accepts any root's announcement."""
    patch(DownstreamNode, "accepts", lambda self, announced: True)


def refuse_what_is_forgotten(patch: Patch) -> None:
    """What is not known as taken is taken for never taken, however long ago it may have been."""
    patch(ChainReplica, "may_have_been_applied", lambda self, base, revision: False)


def refuse_a_later_base(patch: Patch) -> None:
    """An order is refused because its base is not in force yet; a late copy of it is taken then."""
    patch(ChainReplica, "base_may_become_current", lambda self, base, revision: False)


def keep_a_refused_write(patch: Patch) -> None:
    """What a disk refused and kept all the same counts as taken after the next start."""
    real = deduplication.record
    patch(deduplication, "record", lambda kept, revision, base, mark: real(kept, revision, revision, mark))


def join_by_number(patch: Patch) -> None:
    """An order gets the answer of another one under the same number: two operators are confirmed."""

    def join_same(self: ChainReplica) -> None:
        entry = self.persisting or self.last
        for order in list(self.queue):
            if entry is not None and self.check(order.body) == entry.revision:
                self.queue.remove(order)
                self.pending_callers.append((order.request_id, order.origin))

    patch(ChainReplica, "coalesce_duplicates", join_same)


def know_by_number(patch: Patch) -> None:
    """What was taken is known by its number, and not by its digest."""
    real = ChainReplica.decide

    def decide(self: ChainReplica, order: frames.WriteRequest, now_s: float) -> list[ChainEffect]:
        if self.check(order.body) in self.applied_digests:
            return [write_result(order, 200, "a number taken before")]
        return real(self, order, now_s)

    patch(ChainReplica, "decide", decide)


def count_the_newest_as_committed(patch: Patch) -> None:
    """A proposer holds the digest of its newest entry for one of all: that may be lost with the view."""

    def digests_complete_up_to(self: ReplicaState) -> int:
        entry = self.newest_entry()
        return entry.revision if entry is not None else 0

    patch(ReplicaState, "digests_complete_up_to", digests_complete_up_to)


#: By name: what patches the rules, and the options of the world that it is played in.
FAULTS: dict[str, tuple[Callable[[Patch], None] | None, dict[str, Any]]] = {
    "skip-a-sync": (trust_every_disk, {"lying": True}),
    "keep-an-older-copy": (trust_every_disk, {}),
    "count-a-wiped-machine": (count_as_the_old_one, {"same_name": True}),
    "count-a-newcomer": (promise_with_an_empty_disk, {}),
    "accept-a-lower-epoch": (forget_promises, {}),
    "acknowledge-at-the-head": (acknowledge_at_the_head, {}),
    "begin-with-the-oldest": (begin_with_the_oldest, {}),
    "decide-alone": (decide_alone, {"copies": 1}),
    "acknowledge-while-cut-off": (acknowledge_while_cut_off, {}),
    "count-old-pulses": (count_old_pulses, {}),
    "stay-the-root": (stay_the_root, {}),
    "lead-alone": (lead_alone, {}),
    "answer-by-old-words": (answer_by_old_words, {}),
    "believe-any-epoch": (believe_any_epoch, {}),
    "refuse-what-is-forgotten": (refuse_what_is_forgotten, {}),
    "refuse-a-later-base": (refuse_a_later_base, {}),
    "keep-a-refused-write": (keep_a_refused_write, {}),
    "join-by-number": (join_by_number, {}),
    "know-by-number": (know_by_number, {}),
    "count-the-newest-as-committed": (count_the_newest_as_committed, {}),
}


@contextmanager
def patched(apply: Callable[[Patch], None] | None) -> Iterator[None]:
    """While a rule is left out."""
    done: list[tuple[Any, str, Any]] = []

    def patch(where: Any, what: str, new: Any) -> None:
        done.append((where, what, getattr(where, what)))
        setattr(where, what, new)

    if apply is not None:
        apply(patch)
    try:
        yield
    finally:
        for where, what, old in reversed(done):
            setattr(where, what, old)


@contextmanager
def fault(name: str) -> Iterator[dict[str, Any]]:
    """While a rule is left out; gives the options for the world."""
    apply, options = FAULTS[name]
    with patched(apply):
        yield options
