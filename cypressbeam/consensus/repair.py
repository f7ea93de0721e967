"""Repair: proposing the next view where this one has lost a member, or one is back.

A proposer asks the group to promise its epoch; a promise seals all lower epochs at that member. Of the entries that a
majority reports, the newest (by epoch, then number) is what the new chain begins with: an entry is committed once every
member of a chain has it, a chain holds at least `min_copies` members and with them a majority of the group, so any
other majority has met it. Each member of the new chain puts view and entry on disk in one write; the view is active
once all have said so.

Invariants: two views of one epoch are never active with different chains; what a view begins with is at least as new as
all that was ever committed; a machine that lost its disk is in no majority until a view has taken it in under its new
identity; no chain has fewer than `min_copies` members.
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

#: A view must need repair for so long before somebody proposes; those further down the group wait longer, so that as a
#: rule one proposes.
REPAIR_DELAY_S = 0.25
STAGGER_S = 0.3
#: A proposer waits so long for more promises than it needs, and for its view to become active.
GATHER_S = 0.3
PROPOSAL_TIMEOUT_S = 1.2
#: After proposals that came to nothing the next may take so many times as long: bodies may be slow to come.
MAX_BACKOFF = 4
#: The last bits of an epoch are the proposer's position in the group: no two machines ever propose the same one.
POSITION_BITS = 8


@dataclass(slots=True)
class Proposal:
    """A view that this machine has proposed."""

    epoch: int
    group: tuple[str, ...]
    """Whose majority decides."""
    new_group: tuple[str, ...]
    """The group of the new view: the same, but for identities, or one member more or less (membership.py)."""
    began_s: float
    digests_since: int = 0
    """Promises bring the digests of applied writes above this revision."""
    promises: dict[str, frames.Promise] = field(default_factory=dict)
    """By the member's name."""
    quorum_s: float = 0.0
    """When a majority had promised; 0: it has not."""
    sent: bool = False
    """Whether the view was sent to its chain."""


def newest_of(promises: dict[str, frames.Promise]) -> frames.Promise:
    """The promise that reports the newest entry: a committed one is never newer than that."""
    return max(promises.values(), key=lambda promise: (promise.entry_epoch, promise.number))


class Proposer:
    """The proposals of one machine. Times in seconds of its steady clock."""

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
        :param random_fraction: a number from 0 to 1, drawn at random.
        :param on_newer_view: takes a view that was made meanwhile.
        """
        self.state = state
        self.failure_detector = failure_detector
        self.voter = voter
        self.rollback = rollback
        self.random_fraction = random_fraction
        self.on_newer_view = on_newer_view
        self.proposal: Proposal | None = None
        self.backoff = 1
        """How many times as long as usual the next proposal may take."""
        self.needs_repair_since_s: float | None = None

    # -- whether a view is to be proposed -------------------------------------------------------------------

    def needs_repair(self, now_s: float) -> bool:
        """Whether the view should be another one, as far as this machine can tell."""
        view = self.state.view
        assert view is not None
        if self.failure_detector.new_identities(now_s):
            return True
        available = {name for name in view.group if self.failure_detector.is_available(name, now_s)}
        if available != set(view.chain):
            return True
        return any(self.has_left(name, view.epoch) for name in view.chain)

    def has_left(self, name: str, epoch: int) -> bool:
        """Whether a member of the chain has promised a later epoch, or has not this view."""
        if name == self.state.name:
            return self.voter.promised > epoch or self.state.chain is None
        peer = self.failure_detector.peers[ip_of(name)]
        return peer.promised > epoch or peer.epoch != epoch

    def tick(self, now_s: float) -> list[Effect]:
        """Propose the next view where this one has needed repair for long enough, and a majority is there to decide."""
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
        """How long a member waits before it proposes, by its position among those that are available."""
        chain = self.state.chain
        # While a view is being installed some may still wait for what it begins with.
        backoff = self.backoff if chain is not None and not chain.active else 1
        return REPAIR_DELAY_S * backoff + position * STAGGER_S + self.random_fraction() * STAGGER_S / 2

    def defer(self) -> None:
        """Somebody else is at it, or the process was paused: what seemed wrong must be seen again."""
        self.needs_repair_since_s = None

    # -- proposing -----------------------------------------------------------------------------------------

    def propose(self, now_s: float, new_group: tuple[str, ...] | None = None) -> list[Effect]:
        """Ask for promises, for a view of the same group or of another one. Who came back with an empty disk must be
        known by now: whatever the old identity had a part in shows in promises that are asked for later."""
        state = self.state
        assert state.view is not None
        group = state.view.group
        if new_group is None:
            new = self.failure_detector.new_identities(now_s)
            new_group = tuple(new.get(name, name) for name in group)
        if state.chain is not None and not state.chain.active:
            self.backoff = min(2 * self.backoff, MAX_BACKOFF)
        epoch = ((state.highest_epoch >> POSITION_BITS) + 1 << POSITION_BITS) | group.index(state.name)
        state.highest_epoch = epoch
        since = state.digests_complete_up_to()
        self.proposal = Proposal(epoch, group, new_group, now_s, since)
        return [SendMessage(ip_of(name), frames.Prepare(epoch, state.name, since)) for name in group]

    def on_promise(self, frame: frames.Promise, now_s: float) -> list[Effect]:
        """A member promises. Raises FrameError."""
        proposal, view = self.proposal, self.state.view
        if proposal is None or proposal.epoch != frame.epoch or proposal.sent or frame.name not in proposal.group:
            return []
        marks = HighWaterMarks(frame.incarnation, frame.draw, frame.epoch, frame.stored_epoch, frame.number)
        if self.rollback.rejects(frame.name, marks):
            return self.rollback.report_rollback(frame.name)
        if view is not None and frame.view_epoch > view.epoch:
            # Another view was made meanwhile: its group decides, so this proposal is over.
            self.proposal = None
            return self.on_newer_view(frames.ViewAnnouncement(frame.view_epoch, frame.chain, frame.group), now_s)
        deduplication.unpack(frame.applied_digests)  # what is broken is refused here, before anything counts on it
        proposal.promises[frame.name] = frame
        if len(proposal.promises) >= self.state.quorum_size(proposal.group) and not proposal.quorum_s:
            proposal.quorum_s = now_s
        return self.conclude(now_s)

    def conclude(self, now_s: float) -> list[Effect]:
        """Send out the view once enough have promised, and the others had time to; or give the proposal up."""
        proposal = self.proposal
        if proposal is None:
            return []
        if now_s - proposal.began_s > PROPOSAL_TIMEOUT_S * self.backoff:
            self.proposal = None
            self.backoff = min(2 * self.backoff, MAX_BACKOFF)
            self.needs_repair_since_s = now_s  # wait anew: another one may be at it
            return []
        if proposal.sent or not proposal.quorum_s:
            return []
        if self.is_missing_promises(proposal, now_s) and now_s - proposal.quorum_s < GATHER_S:
            return []
        return self.decide(proposal, now_s)

    def is_missing_promises(self, proposal: Proposal, now_s: float) -> bool:
        """Whether a member that is available and can promise has not done so yet."""
        return any(
            name not in proposal.promises
            and self.failure_detector.is_available(name, now_s)
            and not self.failure_detector.is_empty(name, now_s)
            for name in proposal.group
        )

    def decide(self, proposal: Proposal, now_s: float) -> list[Effect]:
        """Send the new view to its chain, if enough members form one."""
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
        """The members of the new chain, from head to tail. The tail stays where it was if it can: it is the root of the
        distribution tree."""
        view, detector = self.state.view, self.failure_detector
        assert view is not None
        group = proposal.new_group
        added = {name for name in group if name not in proposal.group and detector.is_available(name, now_s)}
        there = set(proposal.promises) | added | {name for name in group if detector.is_empty(name, now_s)}
        kept = [name for name in view.chain if name in there and name in group]
        joined = [name for name in group if name in there and name not in kept]
        if len(group) > len(proposal.group) and len(kept) > 1:
            return kept[:1] + joined + kept[1:]  # the head goes on with the change of members
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
        """To each the digests that it lacks: one with an empty disk has reported none."""
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
        """Whether a machine whose address is new to the group has its place in the chain: it holds what counts before
        it counts itself."""
        assert self.state.view is not None
        old = {ip_of(name) for name in self.state.view.group}
        return all(name in chain for name in group if ip_of(name) not in old)
