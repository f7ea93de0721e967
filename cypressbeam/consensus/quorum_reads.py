"""Quorum reads: what is in force is answered only once a majority has confirmed the epoch.

Source: the read index of Raft (Ongaro, 2014, section 6.4). The tail answers reads; a refusal of a write names the
version in force too, and a head that was cut off or paused may not have heard yet that there is a newer one.
Invariant: an answer counts confirmations of the current view alone, none older than `CONFIRMATION_TIMEOUT_S`.
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.consensus.effects import Effect, SendMessage
from cypressbeam.consensus.rollback_detection import RollbackDetector
from cypressbeam.consensus.state import ReplicaState
from cypressbeam.consensus.views import ip_of
from cypressbeam.protocol import frames

#: A majority's confirmation is waited for this long.
CONFIRMATION_TIMEOUT_S = 0.8
OK, NOT_FOUND = 200, 404


@dataclass(slots=True)
class PendingRead:
    """A read, or a refusal of a write, that waits for a majority to confirm the epoch."""

    origin: str
    """The address of the node that took the call."""
    refusal: frames.WriteResult | None
    """The answer, where it is one to a write."""
    deadline_s: float
    confirmed_by: set[str]
    """Names of members."""


class QuorumReads:
    """The answers that wait for a confirmation."""

    def __init__(self, state: ReplicaState, rollback: RollbackDetector) -> None:
        self.state = state
        self.rollback = rollback
        self.pending: dict[int, PendingRead] = {}
        """By the number of the request."""

    def begin(self, request_id: int, origin: str, refusal: frames.WriteResult | None, now_s: float) -> list[Effect]:
        """Ask the group whether the epoch still holds, before something is answered."""
        state, view = self.state, self.state.view
        assert view is not None
        if request_id in self.pending:
            return []
        self.pending[request_id] = PendingRead(origin, refusal, now_s + CONFIRMATION_TIMEOUT_S, {state.name})
        check = frames.QuorumReadCheck(view.epoch, request_id, state.ip)
        checks: list[Effect] = [SendMessage(ip_of(name), check) for name in view.group if name != state.name]
        return checks + self.complete(request_id)

    def on_ack(self, frame: frames.QuorumReadAck, now_s: float) -> list[Effect]:
        """A member confirms the epoch."""
        read, view = self.pending.get(frame.request_id), self.state.view
        if read is None or now_s > read.deadline_s or view is None or frame.epoch != view.epoch:
            return []
        if frame.name in view.group and frame.name not in self.rollback.rejected:
            read.confirmed_by.add(frame.name)
        return self.complete(frame.request_id)

    def complete(self, request_id: int) -> list[Effect]:
        """Answer, if a majority has confirmed and all that is stored here is committed."""
        read, chain, view = self.pending[request_id], self.state.chain, self.state.view
        assert view is not None
        if len(read.confirmed_by) < self.state.quorum_size(view.group):
            return []
        if chain is None or chain.sealed or not chain.is_caught_up():
            return []
        if read.refusal is not None:
            del self.pending[request_id]
            return [SendMessage(read.origin, read.refusal)]
        entry = chain.last if chain.committed == chain.number else None
        if entry is None and chain.number:
            return []  # the tail's own sync is what commits, so this does not last
        del self.pending[request_id]
        result = frames.ReadResult(request_id, OK if entry else NOT_FOUND, entry.body if entry else b"")
        return [SendMessage(read.origin, result)]

    def expire(self, now_s: float) -> None:
        """Give up those that have waited too long; their callers ask again."""
        for request_id in [number for number, read in self.pending.items() if now_s > read.deadline_s]:
            del self.pending[request_id]

    def clear(self) -> None:
        """Another view: what others have confirmed was the epoch before."""
        self.pending.clear()
