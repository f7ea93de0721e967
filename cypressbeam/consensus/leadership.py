"""Leadership: whether this machine, the tail of an active view, is the root of the distribution tree.

The root holds a lease, which is checked before each message that depends on it rather than by a timer: after a pause
of the process, received messages are handled before expired timers.
Invariant: a machine leads only while its view is active, or was within `VIEW_CHANGE_GRACE_S`, and a majority is
reachable.
"""

from __future__ import annotations

from cypressbeam.consensus import failure_detection
from cypressbeam.consensus.effects import Effect, SetLeadership
from cypressbeam.consensus.failure_detection import FAILURE_TIMEOUT_S, NEVER_S, FailureDetector
from cypressbeam.consensus.state import ReplicaState
from cypressbeam.consensus.views import ip_of

#: The root keeps its role for this long while its view is inactive. The next view usually has the same tail, and
#: resigning would make the whole fleet rebuild the distribution tree.
VIEW_CHANGE_GRACE_S = 1.0


class Leadership:
    """The state of the root's lease at one machine."""

    def __init__(self, state: ReplicaState, failure_detector: FailureDetector) -> None:
        self.state = state
        self.failure_detector = failure_detector
        self.is_leader = False
        """Whether this machine was the root at the last tick."""
        self.last_active_tail_s = NEVER_S
        """When this machine was last the tail of an active view."""

    def leads(self, now_s: float) -> bool:
        """Whether this machine may answer for the replicated state: its view is active and a majority is reachable."""
        return self.state.is_active() and self.failure_detector.has_quorum_contact(now_s)

    def holds_lease(self, now_s: float) -> bool:
        """Whether this machine may become the root, or remain it."""
        view = self.state.view
        if view is None or ip_of(view.chain[-1]) != self.state.ip:
            return False
        if not self.is_leader:
            return self.leads(now_s)
        if now_s - self.last_active_tail_s >= VIEW_CHANGE_GRACE_S:
            return False
        contact_s = self.failure_detector.last_quorum_contact_s(now_s)
        return now_s - contact_s <= FAILURE_TIMEOUT_S + failure_detection.LEADER_CONTACT_GRACE_S

    def tick(self, now_s: float) -> list[Effect]:
        """Become the root or resign, as the lease requires."""
        chain = self.state.chain
        if chain is not None and chain.is_tail() and self.state.is_active():
            self.last_active_tail_s = now_s
        holds = self.holds_lease(now_s)
        if holds is self.is_leader:
            return []
        self.is_leader = holds
        return [SetLeadership(holds)]
