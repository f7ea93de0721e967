"""Rollback detection: whether a machine's disk is an older copy of itself.

An older copy keeps the machine's identity and has forgotten what it promised, installed and stored since it was made.
So each start of the process raises an incarnation number on disk, with a random number drawn for it, and a machine
reports these with all that it has on disk in its heartbeats. Its peers keep the highest that each name has reported.

Messages may overtake each other, so hearing less proves nothing by itself: the machine is sent what it reported before
(`RollbackNotice`), and only one that finds itself behind that gives up its identity. Two starts from one copy raise the
same number, and draw different ones.

Invariants: a machine reports only what is on its disk; a member that reports less than it did counts for nothing.
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
    """What this machine and its peers have reported of their disks."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.durable = HighWaterMarks()
        """What is on this disk, but for the number of the newest entry."""
        self.pending = HighWaterMarks()
        """The incarnation that the first write of this process puts on disk."""
        self.reported: dict[str, HighWaterMarks] = {}
        """The most that each other member has reported, by name."""
        self.rejected: set[str] = set()
        """Members whose disks are older than what they reported."""
        self.reason = ""
        """Why this machine's disk is known to have lost something, if it is."""

    # -- this disk -----------------------------------------------------------------------------------------

    def own_marks(self) -> HighWaterMarks:
        """What is on this disk by now."""
        entry = self.state.newest_entry()
        return replace(self.durable, number=entry.number if entry is not None else 0)

    def write_completed(self) -> None:
        """A write has come back, and the incarnation was in it."""
        self.durable = replace(
            self.durable, incarnation=self.pending.incarnation, incarnation_id=self.pending.incarnation_id
        )

    def promise_persisted(self, epoch: int) -> None:
        """A promise is on disk."""
        self.durable = replace(self.durable, promised=max(self.durable.promised, epoch))

    def view_persisted(self, view: View) -> None:
        """A view is on disk; the chain of the one before it is still known to `state`."""
        self.durable = replace(self.durable, epoch=view.epoch, promised=max(self.durable.promised, view.epoch))
        self.record_committed(self.state.chain)
        self.reported = {name: marks for name, marks in self.reported.items() if name in view.group}
        self.rejected &= set(view.group)

    def mark_rolled_back(self, reason: str) -> None:
        """This machine's statements count for nothing from now on. It gives up its identity once a majority has
        something newer: until then its old disk may be all that is left to go on with."""
        self.reason = self.reason or reason
        self.state.seal()

    def on_notice(self, frame: frames.RollbackNotice) -> bool:
        """A peer holds that this machine has reported more. An old report may have come late: then not. Returns
        whether this disk is found to be an older copy."""
        reported = HighWaterMarks(frame.incarnation, frame.draw, frame.promised, frame.epoch, frame.number)
        own = self.own_marks()
        behind = frame.name == self.state.name and own.is_behind(reported)
        if behind:
            self.mark_rolled_back(f"this disk is an older copy of itself: it has {own}, and {reported} was reported")
        return behind

    def shows_rollback(self, frame: frames.ReplicaHeartbeat) -> bool:
        """Whether this disk must once have had more: within an epoch nobody has an entry that one before it in the
        chain lacks, and an entry is only begun once all have the one before it."""
        view, own = self.state.view, self.own_marks()
        if self.state.chain is None or view is None or not view.epoch == own.epoch == frame.stored_epoch:
            return False
        if frame.name not in view.chain or frame.name == self.state.name:
            return False
        precedes = view.chain.index(frame.name) < view.chain.index(self.state.name)
        return frame.stored_number > own.number + precedes

    # -- disks of others -----------------------------------------------------------------------------------

    def rejects(self, name: str, marks: HighWaterMarks) -> bool:
        """Whether a member reports less than it did before; otherwise this is what it has reported."""
        known = self.reported.get(name)
        if known is not None and marks.is_behind(known):
            return True
        view = self.state.view
        if view is not None and name in view.group and name != self.state.name:
            self.reported[name] = marks
            self.rejected.discard(name)
        return False

    def report_rollback(self, name: str) -> list[Effect]:
        """Send a member what it reported before."""
        self.rejected.add(name)
        known = self.reported[name]
        notice = frames.RollbackNotice(
            name, known.incarnation, known.incarnation_id, known.promised, known.epoch, known.number
        )
        return [SendMessage(ip_of(name), notice)]

    def record_committed(self, chain: ChainReplica | None) -> None:
        """As a view ends: what was committed in it was on the disks of its whole chain, reported or not. While the view
        lasts, a heartbeat that is a little late reports less, and must be heard."""
        if chain is None or not chain.active:
            return
        committed = chain.view.epoch, chain.committed
        for name in chain.view.chain:
            known = self.reported.get(name)
            if known is not None and (known.epoch, known.number) < committed:
                self.reported[name] = replace(known, epoch=committed[0], number=committed[1])
