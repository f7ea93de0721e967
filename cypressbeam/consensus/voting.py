"""Voting: the promises that this machine gives to proposers of views.

A promise answers `Prepare`: the machine takes part in no lower epoch from then on.

Invariants: the promised epoch never decreases, and is on disk before the promise is sent; a promise seals all lower
epochs at this machine; a machine votes only once it has persisted a view itself. The reason for the last one: a machine
that returns with an empty disk is part of a new group before it has the view of that group, and others can learn of the
group from a single machine that has the view. A majority that includes the empty machine could then know of no
committed entry (docs/incidents/009).
Source: Paxos.
"""

from __future__ import annotations

from cypressbeam.consensus import deduplication
from cypressbeam.consensus.disk_health import DiskHealth
from cypressbeam.consensus.effects import Effect, PersistPromise, SendMessage
from cypressbeam.consensus.rollback_detection import RollbackDetector
from cypressbeam.consensus.state import DiskState, ReplicaState
from cypressbeam.consensus.views import NO_ENTRY, NO_VIEW, ip_of
from cypressbeam.protocol import frames


class Voter:
    """The promises of this machine."""

    def __init__(self, state: ReplicaState, disk: DiskHealth, rollback: RollbackDetector) -> None:
        self.state = state
        self.disk = disk
        self.rollback = rollback
        self.promised = 0
        """The highest epoch that this machine has promised or accepted a view of."""
        self.digests_since = 0
        """The newest promise reports the digests of applied writes above this revision."""

    def can_vote(self) -> bool:
        """Whether this machine has a view on disk."""
        return self.state.disk_state != DiskState.EMPTY

    def on_prepare(self, frame: frames.Prepare, now_s: float) -> list[Effect]:
        """Handle a request for a promise. The promise is sent once it is on disk."""
        if frame.epoch <= self.promised:
            return []
        self.state.observe_epoch(frame.epoch)
        if self.rollback.reason or not self.can_vote():
            return []
        self.promised, self.digests_since = frame.epoch, frame.digests_since
        self.state.seal()
        self.disk.write_begun(now_s)
        return [PersistPromise(frame.epoch, ip_of(frame.name))]

    def promise_persisted(self, epoch: int, proposer: str) -> list[Effect]:
        """Send a promise that is now on disk. The state that it reports was on disk before."""
        self.rollback.promise_persisted(epoch)
        if epoch != self.promised:
            return []
        state, durable = self.state, self.rollback.durable
        view = state.view or NO_VIEW
        entry = state.newest_entry() or NO_ENTRY
        promise = frames.Promise(
            epoch,
            state.name,
            view.epoch,
            view.chain,
            view.group,
            entry.number,
            entry.epoch,
            entry.revision,
            entry.base,
            entry.body,
            deduplication.pack(state.applied_digests(), self.digests_since),
            durable.incarnation,
            durable.incarnation_id,
            durable.epoch,
        )
        return [SendMessage(proposer, promise)]

    def on_read_check(self, frame: frames.QuorumReadCheck) -> list[Effect]:
        """Confirm the tail's epoch, unless a later epoch is promised or installed here."""
        view = self.state.view
        if self.promised > frame.epoch or view is None or view.epoch > frame.epoch or self.rollback.reason:
            return []
        return [SendMessage(frame.origin, frames.QuorumReadAck(frame.epoch, frame.request_id, self.state.name))]
