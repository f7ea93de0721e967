"""Rollback detection: whether a machine runs on an older copy of its disk.

An older copy has the machine's identity but lacks what the machine promised, installed and stored after the copy was
made. Therefore each start of the process increments an incarnation number on disk and draws a random id for it, and a
machine reports both in its heartbeats, with the numbers of everything that it has on disk. Its peers keep the highest
marks that each name has reported.

Messages can be reordered, so a lower report alone proves nothing. The machine is sent what it reported before
(`RollbackNotice`), and gives up its identity only if its own disk is behind that. Two starts from the same copy use the
same incarnation number, but draw different ids.

Invariants: a machine reports only what is on its disk; a member that reports less than before is ignored.
Source: docs/design/disk.md.
"""

from __future__ import annotations

from dataclasses import replace

from cypressbeam.consensus.chain import ChainReplica
from cypressbeam.consensus.effects import Effect, SendMessage
from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.state import ReplicaState
from cypressbeam.consensus.views import View, ip_of
from cypressbeam.protocol import frames


class RollbackDetector:
    """The marks that this machine and its peers have reported of their disks."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.durable = HighWaterMarks()
        """What is on this disk, except for the number of the newest entry."""
        self.pending = HighWaterMarks()
        """The incarnation that the first write of this process persists."""
        self.reported: dict[str, HighWaterMarks] = {}
        """The highest marks that each other member has reported, by name."""
        self.rejected: set[str] = set()
        """Members whose disks are older than what they reported."""
        self.reason = ""
        """Why this machine's disk is known to be rolled back; empty if it is not."""

    # -- this disk -----------------------------------------------------------------------------------------

    def own_marks(self) -> HighWaterMarks:
        """What is on this disk now."""
        entry = self.state.newest_entry()
        return replace(self.durable, number=entry.number if entry is not None else 0)

    def write_completed(self) -> None:
        """Record that a write is on disk; it included the incarnation."""
        self.durable = replace(
            self.durable, incarnation=self.pending.incarnation, incarnation_id=self.pending.incarnation_id
        )

    def promise_persisted(self, epoch: int) -> None:
        """Record that a promise is on disk."""
        self.durable = replace(self.durable, promised=max(self.durable.promised, epoch))

    def view_persisted(self, view: View) -> None:
        """Record that a view is on disk. `state` must still have the chain of the view before it."""
        self.durable = replace(self.durable, epoch=view.epoch, promised=max(self.durable.promised, view.epoch))
        self.record_committed(self.state.chain)
        self.reported = {name: marks for name, marks in self.reported.items() if name in view.group}
        self.rejected &= set(view.group)

    def mark_rolled_back(self, reason: str) -> None:
        """Stop taking part: this disk is rolled back. The machine keeps its identity until a majority has newer state,
        because until then its disk may be the only copy left to recover from."""
        self.reason = self.reason or reason
        self.state.seal()

    def on_notice(self, frame: frames.RollbackNotice) -> bool:
        """Handle a peer's notice that this machine has reported higher marks before. Returns whether this disk is
        rolled back; it is not if the peer received an old report late."""
        reported = HighWaterMarks(frame.incarnation, frame.draw, frame.promised, frame.epoch, frame.number)
        own = self.own_marks()
        behind = frame.name == self.state.name and own.is_behind(reported)
        if behind:
            self.mark_rolled_back(f"this disk is an older copy of itself: it has {own}, but {reported} was reported")
        return behind

    def shows_rollback(self, frame: frames.ReplicaHeartbeat) -> bool:
        """Whether a peer's heartbeat proves that this disk is rolled back. Within an epoch no member has an entry that
        a predecessor in the chain lacks, and an entry is started only once all members have the previous one."""
        view, own = self.state.view, self.own_marks()
        if self.state.chain is None or view is None or not view.epoch == own.epoch == frame.stored_epoch:
            return False
        if frame.name not in view.chain or frame.name == self.state.name:
            return False
        precedes = view.chain.index(frame.name) < view.chain.index(self.state.name)
        return frame.stored_number > own.number + precedes

    # -- disks of others -----------------------------------------------------------------------------------

    def rejects(self, name: str, marks: HighWaterMarks) -> bool:
        """Whether a member reports less than before. If not, its marks are recorded."""
        known = self.reported.get(name)
        if known is not None and marks.is_behind(known):
            return True
        view = self.state.view
        if view is not None and name in view.group and name != self.state.name:
            self.reported[name] = marks
            self.rejected.discard(name)
        return False

    def report_rollback(self, name: str) -> list[Effect]:
        """Reject a member and send it the marks that it reported before."""
        self.rejected.add(name)
        known = self.reported[name]
        notice = frames.RollbackNotice(
            name, known.incarnation, known.incarnation_id, known.promised, known.epoch, known.number
        )
        return [SendMessage(ip_of(name), notice)]

    def record_committed(self, chain: ChainReplica | None) -> None:
        """Raise the marks of the members of a chain whose view ends: its committed entries were on all of their disks,
        reported or not. Not done while the view lasts, when a late heartbeat may report less and must be accepted."""
        if chain is None or not chain.active:
            return
        committed = chain.view.epoch, chain.committed
        for name in chain.view.chain:
            known = self.reported.get(name)
            if known is not None and (known.epoch, known.number) < committed:
                self.reported[name] = replace(known, epoch=committed[0], number=committed[1])
