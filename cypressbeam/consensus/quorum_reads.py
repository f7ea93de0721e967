"""Quorum reads: the current version is reported only once a majority has confirmed the epoch.

Source: the read index of Raft (Ongaro, 2014, section 6.4). The tail answers reads. A rejection of a write also names
the current version, and a head that was partitioned or paused may not know yet that there is a newer one.
Invariant: an answer relies only on confirmations of the current view, none older than `CONFIRMATION_TIMEOUT_S`.
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.consensus.effects import Effect, SendMessage
from cypressbeam.consensus.rollback_detection import RollbackDetector
from cypressbeam.consensus.state import ReplicaState
from cypressbeam.consensus.views import ip_of
from cypressbeam.protocol import frames

#: How long a read waits for the confirmation of a majority.
CONFIRMATION_TIMEOUT_S = 0.8
OK, NOT_FOUND = 200, 404


@dataclass(slots=True)
class PendingRead:
    """A read, or a rejection of a write, that waits for a majority to confirm the epoch."""

    origin: str
    """The address of the node that received the call."""
    rejection: frames.WriteResult | None
    """The rejection to send; None for a read."""
    deadline_s: float
    confirmed_by: set[str]
    """Names of the members that confirmed the epoch."""


class QuorumReads:
    """The reads and rejections that wait for confirmation."""

    def __init__(self, state: ReplicaState, rollback: RollbackDetector) -> None:
        self.state = state
        self.rollback = rollback
        self.pending: dict[int, PendingRead] = {}
        """By request id."""

    def begin(self, request_id: int, origin: str, rejection: frames.WriteResult | None, now_s: float) -> list[Effect]:
        """Ask the group to confirm the epoch, before a read or a rejection is answered."""
        state, view = self.state, self.state.view
        assert view is not None
        if request_id in self.pending:
            return []
        self.pending[request_id] = PendingRead(origin, rejection, now_s + CONFIRMATION_TIMEOUT_S, {state.name})
        check = frames.QuorumReadCheck(view.epoch, request_id, state.ip)
        checks: list[Effect] = [SendMessage(ip_of(name), check) for name in view.group if name != state.name]
        return checks + self.complete(request_id)

    def on_ack(self, frame: frames.QuorumReadAck, now_s: float) -> list[Effect]:
        """Handle a member's confirmation of the epoch."""
        read, view = self.pending.get(frame.request_id), self.state.view
        if read is None or now_s > read.deadline_s or view is None or frame.epoch != view.epoch:
            return []
        if frame.name in view.group and frame.name not in self.rollback.rejected:
            read.confirmed_by.add(frame.name)
        return self.complete(frame.request_id)

    def complete(self, request_id: int) -> list[Effect]:
        """Answer if a majority has confirmed and every entry on this disk is committed."""
        read, chain, view = self.pending[request_id], self.state.chain, self.state.view
        assert view is not None
        if len(read.confirmed_by) < self.state.quorum_size(view.group):
            return []
        if chain is None or chain.sealed or not chain.is_caught_up():
            return []
        if read.rejection is not None:
            del self.pending[request_id]
            return [SendMessage(read.origin, read.rejection)]
        entry = chain.last if chain.committed == chain.number else None
        if entry is None and chain.number:
            return []  # temporary: the tail commits an entry as soon as its own sync completes
        del self.pending[request_id]
        result = frames.ReadResult(request_id, OK if entry else NOT_FOUND, entry.body if entry else b"")
        return [SendMessage(read.origin, result)]

    def expire(self, now_s: float) -> None:
        """Drop reads whose deadline has passed; their callers ask again."""
        for request_id in [pending_id for pending_id, read in self.pending.items() if now_s > read.deadline_s]:
            del self.pending[request_id]

    def clear(self) -> None:
        """Drop all pending reads when the view changes: the confirmations were for the previous epoch."""
        self.pending.clear()
