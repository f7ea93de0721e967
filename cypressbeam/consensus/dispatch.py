"""Dispatch of consensus messages: one handler per message type. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from cypressbeam.consensus.effects import Effect
from cypressbeam.consensus.membership import MembershipManager
from cypressbeam.consensus.replacement import ReplacementManager
from cypressbeam.consensus.replica import Replica
from cypressbeam.protocol import frames

M = TypeVar("M", bound=frames.Frame)
#: Handles a message at a time in seconds and returns the effects. May raise FrameError for invalid content.
Handler = Callable[[M, float], Sequence[Effect]]


class Dispatcher:
    """The message handlers of one machine."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.handlers: dict[type[frames.Frame], Handler[Any]] = {}
        """Handlers by message type."""
        self.register(frames.ReplicaHeartbeat, replica.on_heartbeat)
        self.register(frames.WriteRequest, replica.submit)
        self.register(frames.ForwardEntry, replica.on_forward_entry)
        self.register(frames.CommitNotice, replica.on_commit_notice)
        self.register(frames.ReadRequest, replica.read)
        self.register(frames.QuorumReadCheck, self._on_read_check)
        self.register(frames.QuorumReadAck, replica.reads.on_ack)
        self.register(frames.ViewAnnouncement, replica.on_view_announcement)
        self.register(frames.Prepare, replica.on_prepare)
        self.register(frames.Promise, replica.proposer.on_promise)
        self.register(frames.Accept, replica.on_accept)
        self.register(frames.RollbackNotice, replica.on_rollback_notice)

    def add_membership(self, membership: MembershipManager, replacement: ReplacementManager) -> None:
        """Register the handlers for changes of the group."""

        def on_catch_up_ack(frame: frames.CatchUpAck, _now_s: float) -> Sequence[Effect]:
            return membership.on_catch_up_ack(frame)

        self.register(frames.MembershipChangeRequest, replacement.on_change_request)
        self.register(frames.CatchUp, membership.on_catch_up)
        self.register(frames.CatchUpAck, on_catch_up_ack)

    def register(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler for a message type."""
        self.handlers[kind] = handler

    def dispatch(self, frame: frames.Frame, now_s: float) -> Sequence[Effect]:
        """Handle a message and return its effects; none if it is not a consensus message. Raises FrameError."""
        handler = self.handlers.get(type(frame))
        return handler(frame, now_s) if handler is not None else ()

    def _on_read_check(self, frame: frames.QuorumReadCheck, _now_s: float) -> Sequence[Effect]:
        return self.replica.voter.on_read_check(frame)
