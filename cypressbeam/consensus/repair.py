"""Repair: proposes the next view when a member of the current one fails or returns.

A proposer asks the group to promise its epoch; a promise seals all lower epochs at that member. The new chain starts
with the newest entry (by epoch, then number) that a majority reports. That entry is at least as new as every committed
one: an entry is committed once every member of a chain has it, and a chain includes at least `min_copies` members and a
majority of the group, so it shares a member with every other majority. Each member of the new chain persists the view
and the entry in one write; the view is active once all have confirmed that.

Invariants: two views of one epoch are never active with different chains; a view starts with an entry at least as new
as any that was ever committed; a machine that lost its disk counts towards no majority until a view has added it under
its new identity; no chain has fewer than `min_copies` members.
Sources: Vertical Paxos (Lamport, Malkhi, Zhou, 2009) for repairing a chain by views; Paxos for the promise.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cypressbeam.consensus import deduplication
from cypressbeam.consensus.effects import Effect, SendMessage
from cypressbeam.consensus.failure_detection import FailureDetector
from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.rollback_detection import RollbackDetector
from cypressbeam.consensus.state import ReplicaState
from cypressbeam.consensus.views import ip_of
from cypressbeam.consensus.voting import Voter
from cypressbeam.protocol import frames

#: How long a view must need repair before a member proposes the next one.
REPAIR_DELAY_S = 0.25
#: Additional delay per position in the group, so that normally only one member proposes.
STAGGER_S = 0.3
#: How long a proposer that has a majority waits for the remaining promises.
PROMISE_WAIT_S = 0.3
#: How long a proposal may take until its view is active.
PROPOSAL_TIMEOUT_S = 1.2
#: Failed proposals multiply the timeout of the next one by up to this factor, because bodies may arrive slowly.
MAX_BACKOFF = 4
#: The low bits of an epoch hold the proposer's position in the group, so no two machines propose the same epoch.
POSITION_BITS = 8


@dataclass(slots=True)
class Proposal:
    """A view that this machine has proposed."""

    epoch: int
    group: tuple[str, ...]
    """The group whose majority decides."""
    new_group: tuple[str, ...]
    """The group of the new view: the same except for new identities, or with one member added or removed
    (membership.py)."""
    started_s: float
    digests_since: int = 0
    """Promises include the digests of applied writes above this revision."""
    promises: dict[str, frames.Promise] = field(default_factory=dict)
    """Promises received, by member name."""
    quorum_s: float = 0.0
    """When a majority had promised; 0 if it has not yet."""
    sent: bool = False
    """Whether the view was sent to its chain."""


def newest_of(promises: dict[str, frames.Promise]) -> frames.Promise:
    """The promise that reports the newest entry, which is at least as new as every committed one."""
    return max(promises.values(), key=lambda promise: (promise.entry_epoch, promise.number))


class Proposer:
    """The proposals of one machine. Times are seconds of its monotonic clock."""

    def __init__(
        self,
        state: ReplicaState,
        failure_detector: FailureDetector,
        voter: Voter,
        rollback: RollbackDetector,
        random_fraction: Callable[[], float],
        on_newer_view: Callable[[frames.ViewAnnouncement, float], list[Effect]],
    ) -> None:
        """
        :param random_fraction: draws a random number from 0 to 1.
        :param on_newer_view: handles a newer view that a promise reports.
        """
        self.state = state
        self.failure_detector = failure_detector
        self.voter = voter
        self.rollback = rollback
        self.random_fraction = random_fraction
        self.on_newer_view = on_newer_view
        self.proposal: Proposal | None = None
        self.backoff = 1
        """The factor by which the timeout of the next proposal is extended."""
        self.needs_repair_since_s: float | None = None

    # -- when to propose ------------------------------------------------------------------------------------

    def needs_repair(self, now_s: float) -> bool:
        """Whether the view should be replaced, as far as this machine can tell."""
        view = self.state.view
        assert view is not None
        if self.failure_detector.new_identities(now_s):
            return True
        available = {name for name in view.group if self.failure_detector.is_available(name, now_s)}
        if available != set(view.chain):
            return True
        return any(self.has_left(name, view.epoch) for name in view.chain)

    def has_left(self, name: str, epoch: int) -> bool:
        """Whether a member of the chain has promised a later epoch, or does not have this view."""
        if name == self.state.name:
            return self.voter.promised > epoch or self.state.chain is None
        peer = self.failure_detector.peers[ip_of(name)]
        return peer.promised > epoch or peer.epoch != epoch

    def tick(self, now_s: float) -> list[Effect]:
        """Propose the next view if this one has needed repair for long enough and a majority can promise."""
        view = self.state.view
        assert view is not None
        if self.state.name not in view.group or not self.needs_repair(now_s):
            self.needs_repair_since_s = None
            return []
        if self.needs_repair_since_s is None:
            self.needs_repair_since_s = now_s
        available = [name for name in view.group if self.failure_detector.is_available(name, now_s)]
        voters = [name for name in available if not self.failure_detector.is_empty(name, now_s)]
        if self.state.name not in available or len(voters) < self.state.quorum_size(view.group):
            return []
        if self.proposal is not None:
            return []
        if now_s - self.needs_repair_since_s < self.delay_s(available.index(self.state.name)):
            return []
        return self.propose(now_s)

    def delay_s(self, position: int) -> float:
        """How long a member waits before it proposes, depending on its position among the available ones."""
        chain = self.state.chain
        # While a view is being installed, some members may still be waiting for the body of its first entry.
        backoff = self.backoff if chain is not None and not chain.active else 1
        return REPAIR_DELAY_S * backoff + position * STAGGER_S + self.random_fraction() * STAGGER_S / 2

    def defer(self) -> None:
        """Restart the repair delay: another member is proposing, or the process was paused and must check again."""
        self.needs_repair_since_s = None

    # -- proposing -----------------------------------------------------------------------------------------

    def propose(self, now_s: float, new_group: tuple[str, ...] | None = None) -> list[Effect]:
        """Ask for promises for a view of the same group, or of `new_group`. Members that return with an empty disk
        after this are not in the new view: only later promises show what their old identities took part in."""
        state = self.state
        assert state.view is not None
        group = state.view.group
        if new_group is None:
            renamed = self.failure_detector.new_identities(now_s)
            new_group = tuple(renamed.get(name, name) for name in group)
        if state.chain is not None and not state.chain.active:
            self.backoff = min(2 * self.backoff, MAX_BACKOFF)
        epoch = ((state.highest_epoch >> POSITION_BITS) + 1 << POSITION_BITS) | group.index(state.name)
        state.highest_epoch = epoch
        since = state.digests_complete_up_to()
        self.proposal = Proposal(epoch, group, new_group, now_s, since)
        return [SendMessage(ip_of(name), frames.Prepare(epoch, state.name, since)) for name in group]

    def on_promise(self, frame: frames.Promise, now_s: float) -> list[Effect]:
        """Handle the promise of a member. Raises FrameError."""
        proposal, view = self.proposal, self.state.view
        if proposal is None or proposal.epoch != frame.epoch or proposal.sent or frame.name not in proposal.group:
            return []
        marks = HighWaterMarks(frame.incarnation, frame.draw, frame.epoch, frame.stored_epoch, frame.number)
        if self.rollback.rejects(frame.name, marks):
            return self.rollback.report_rollback(frame.name)
        if view is not None and frame.view_epoch > view.epoch:
            # A newer view exists, and only its group may decide, so this proposal is abandoned.
            self.proposal = None
            return self.on_newer_view(frames.ViewAnnouncement(frame.view_epoch, frame.chain, frame.group), now_s)
        deduplication.unpack(frame.applied_digests)  # reject malformed digests before the promise is counted
        proposal.promises[frame.name] = frame
        if len(proposal.promises) >= self.state.quorum_size(proposal.group) and not proposal.quorum_s:
            proposal.quorum_s = now_s
        return self.conclude(now_s)

    def conclude(self, now_s: float) -> list[Effect]:
        """Send the view once a majority has promised and the others had time to, or abandon the proposal after its
        timeout."""
        proposal = self.proposal
        if proposal is None:
            return []
        if now_s - proposal.started_s > PROPOSAL_TIMEOUT_S * self.backoff:
            self.proposal = None
            self.backoff = min(2 * self.backoff, MAX_BACKOFF)
            self.needs_repair_since_s = now_s  # restart the delay: another member may be proposing
            return []
        if proposal.sent or not proposal.quorum_s:
            return []
        if self.is_missing_promises(proposal, now_s) and now_s - proposal.quorum_s < PROMISE_WAIT_S:
            return []
        return self.decide(proposal, now_s)

    def is_missing_promises(self, proposal: Proposal, now_s: float) -> bool:
        """Whether a member that is available and able to promise has not done so yet."""
        return any(
            name not in proposal.promises
            and self.failure_detector.is_available(name, now_s)
            and not self.failure_detector.is_empty(name, now_s)
            for name in proposal.group
        )

    def decide(self, proposal: Proposal, now_s: float) -> list[Effect]:
        """Send the new view to its chain, if enough members are available to form one."""
        group = proposal.new_group
        chain = self.chain_for(proposal, now_s)
        min_members = max(self.state.min_copies, self.state.quorum_size(group))
        if len(chain) < min_members or not self.includes_new_address(group, chain):
            return []
        newest = newest_of(proposal.promises)
        proposal.sent = True
        digests = deduplication.merge(
            self.state.applied_digests(), proposal.digests_since, deduplication.unpack(newest.applied_digests)
        )
        return [
            SendMessage(ip_of(name), self.accept_for(proposal, name, tuple(chain), group, newest, digests))
            for name in chain
        ]

    def chain_for(self, proposal: Proposal, now_s: float) -> list[str]:
        """The members of the new chain, from head to tail. The tail is kept if possible, because it is the root of the
        distribution tree."""
        view, detector = self.state.view, self.failure_detector
        assert view is not None
        group = proposal.new_group
        added = {name for name in group if name not in proposal.group and detector.is_available(name, now_s)}
        eligible = set(proposal.promises) | added | {name for name in group if detector.is_empty(name, now_s)}
        kept = [name for name in view.chain if name in eligible and name in group]
        joined = [name for name in group if name in eligible and name not in kept]
        if len(group) > len(proposal.group) and len(kept) > 1:
            return kept[:1] + joined + kept[1:]  # keep the head, which continues the membership change
        return joined + kept

    def accept_for(
        self,
        proposal: Proposal,
        name: str,
        chain: tuple[str, ...],
        group: tuple[str, ...],
        newest: frames.Promise,
        digests: dict[int, bytes],
    ) -> frames.Accept:
        """The message that sends the view to a member, with the digests that it lacks. A member with an empty disk has
        reported none and gets all of them."""
        promise = proposal.promises.get(name)
        since = promise.base if promise is not None else 0
        return frames.Accept(
            proposal.epoch,
            chain,
            group,
            newest.number,
            newest.revision,
            newest.base,
            newest.body,
            deduplication.pack(digests, since),
            since,
        )

    def includes_new_address(self, group: tuple[str, ...], chain: list[str]) -> bool:
        """Whether every machine whose address is new to the group is in the chain: it must store the state before it
        counts towards a majority."""
        assert self.state.view is not None
        old = {ip_of(name) for name in self.state.view.group}
        return all(name in chain for name in group if ip_of(name) not in old)
