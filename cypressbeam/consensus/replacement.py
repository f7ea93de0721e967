"""Automatic replacement of failed core members by spares. Performs no I/O: takes the time, returns effects.

A spare is a reachable machine with a disk that is not a member. For a while, a machine that is lost for good cannot be
told apart from one that restarts or is partitioned. The rules therefore make a wrong guess cheap: a member that returns
after it was replaced becomes a spare that still has its data, and can replace the next member that falls silent. Data
is never at risk, because a replacement is an ordinary membership change (membership.py): the spare has the newest entry
before it becomes a member, and no member is removed before that.

- Every member tracks how long the others have been silent, so a new head does not start from zero. Only the head acts.
- A group with an odd number of members replaces a silent one: the spare is added, then the member is removed. Once the
  spare is added the replacement is completed even if the member returns.
- A group with an even number of members that is larger than required removes a silent one.
- Spares catch up before they are needed: a new one at once, the others while a member is silent.
- A member that is shutting down requests its own replacement before its process ends, if there is a spare.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cypressbeam.consensus.effects import Effect
from cypressbeam.consensus.failure_detection import FAILURE_TIMEOUT_S, PAUSE_THRESHOLD_S
from cypressbeam.consensus.membership import REMOVE, REPLACE, MembershipChange, MembershipManager, next_step
from cypressbeam.consensus.repair import MAX_BACKOFF, PROPOSAL_TIMEOUT_S
from cypressbeam.consensus.state import DiskState
from cypressbeam.consensus.views import ip_of
from cypressbeam.protocol import frames

#: How long the last due change is remembered: the view that adds a spare may become active after the member that it
#: replaces has returned.
PENDING_CHANGE_KEPT_S = PROPOSAL_TIMEOUT_S * MAX_BACKOFF


class SilenceTracker:
    """Tracks since when peers have been silent. Counts only while this process runs and has contact to a majority."""

    def __init__(self) -> None:
        self.since_s: dict[str, float] = {}
        """Since when each silent peer has been silent, by address, on this machine's monotonic clock."""
        self.ticked_s: float | None = None

    def tick(self, now_s: float) -> bool:
        """Return whether the process has run since the last tick. After a pause all counts start again, because nothing
        is known about the peers during it."""
        paused = self.ticked_s is None or now_s - self.ticked_s > PAUSE_THRESHOLD_S
        self.ticked_s = now_s
        if paused:
            self.since_s.clear()
        return not paused

    def update(self, addresses: Iterable[str], is_alive: Callable[[str, float], bool], now_s: float) -> None:
        """Start or continue counting for peers that are not alive, and stop for the others."""
        silent = [ip for ip in addresses if not is_alive(ip, now_s)]
        self.since_s = {ip: self.since_s.get(ip, now_s) for ip in silent}

    def silent_for(self, min_silence_s: float, now_s: float) -> list[str]:
        """Addresses of the peers that have been silent for at least this long, longest first."""
        due = [(since_s, ip) for ip, since_s in self.since_s.items() if now_s - since_s >= min_silence_s]
        return [ip for _, ip in sorted(due)]


class ReplacementManager:
    """Tracks silent members and spares at every machine of the core, and carries out replacements at the head."""

    def __init__(self, membership: MembershipManager, replace_after_s: float) -> None:
        """
        :param replace_after_s: a member is replaced once it has not been alive (failure_detection.FAILURE_TIMEOUT_S)
            for this many more seconds; 0 disables replacement.
        """
        self.membership = membership
        self.replica = membership.replica
        self.replace_after_s = replace_after_s
        self.silence = SilenceTracker()
        self.pending_change: MembershipChange | None = None
        """The last change that was due, as this machine sees it."""
        self.pending_since_s = 0.0
        """When that change was last due."""
        self.status = ""
        """The status of the current replacement, for operators."""

    # -- state ---------------------------------------------------------------------------------------------

    def group(self) -> frozenset[str]:
        """The addresses of the members; empty before a view is known."""
        view = self.replica.state.view
        return frozenset(ip_of(name) for name in view.group) if view is not None else frozenset()

    def has_quorum(self, now_s: float) -> bool:
        """Whether this machine is a member that reaches a majority. Otherwise the silence of others is no evidence that
        they failed."""
        view = self.replica.state.view
        return (
            view is not None
            and self.replica.name in view.group
            and now_s - self.replica.failure_detector.last_quorum_contact_s(now_s) <= FAILURE_TIMEOUT_S
        )

    def has_surplus_member(self, group: frozenset[str]) -> bool:
        """Whether a member can be removed without a replacement. A group with an even number of members tolerates no
        more losses than one with a member less, and needs one more machine for a majority."""
        min_members = 2 * self.membership.tolerated_losses + 1
        return len(group) > min_members and len(group) % 2 == 0

    def spares(self, now_s: float) -> list[str]:
        """Addresses of the spares in order of preference: machines that were never members, then former members."""
        peers = self.replica.failure_detector.peers
        return sorted(self.membership.spares(now_s), key=lambda ip: (peers[ip].disk_state == DiskState.VOTER, ip))

    # -- at the head ---------------------------------------------------------------------------------------

    def tick(self, now_s: float) -> list[Effect]:
        """Update how long members have been silent; at the head, start or continue a replacement."""
        was_running = self.silence.tick(now_s)
        if not was_running or not self.has_quorum(now_s):
            self.silence.since_s.clear()
            return []
        others = self.group() - {self.replica.ip}
        self.silence.update(others, self.replica.failure_detector.is_alive, now_s)
        change = self.next_change(now_s)
        if not self.membership.is_active_head(now_s):
            self.status = ""
            return []
        if change is None:
            self.status = ""
            return self.catch_up_spares(now_s)
        decision = next_step(change, self.membership.state(now_s))
        self.status = decision.text
        return self.membership.effects_of(decision, now_s)

    def on_change_request(self, frame: frames.MembershipChangeRequest, now_s: float) -> list[Effect]:
        """Handle a request of an operator or of a member that is shutting down. It takes precedence over an automatic
        change, which may be about to remove the machine that the request adds."""
        pending, base = self.pending_change, frozenset(frame.base)
        if pending is not None and (frame.old, frame.new, base) != (pending.old, pending.new, pending.base):
            self.pending_change = None
        return self.membership.on_change_request(frame, now_s)

    def next_change(self, now_s: float) -> MembershipChange | None:
        """The automatic change of the group that is due, if any."""
        pending, group = self.pending_change, self.group()
        if pending is not None and pending.kind == REPLACE and group == pending.base | {pending.new}:
            return self.second_step(pending)
        if pending is not None and group == pending.steps()[-1]:
            self.pending_change = None
        change = self.needed_change(group, now_s)
        if change is not None:
            self.pending_change, self.pending_since_s = change, now_s
        elif now_s - self.pending_since_s > PENDING_CHANGE_KEPT_S:
            self.pending_change = None
        return change

    def needed_change(self, group: frozenset[str], now_s: float) -> MembershipChange | None:
        """The change that a silent member requires, if any."""
        silent = self.silence.silent_for(self.replace_after_s, now_s) if self.replace_after_s else []
        if not silent:
            return None
        if self.has_surplus_member(group):
            return MembershipChange(REMOVE, silent[0], "", group)
        spares = self.spares(now_s)
        return MembershipChange(REPLACE, silent[0], spares[0], group) if spares else None

    def second_step(self, pending: MembershipChange) -> MembershipChange:
        """The second step of a replacement. If the spare has fallen silent and the old member has returned, the old
        member is kept and the spare removed."""
        silent = self.silence.since_s
        if pending.new in silent and pending.old not in silent:
            return MembershipChange(REPLACE, pending.new, pending.old, (pending.base - {pending.old}) | {pending.new})
        return pending

    def catch_up_spares(self, now_s: float) -> list[Effect]:
        """Send the view and the newest entry to new spares, and to all spares while a member is silent."""
        state = self.membership.state(now_s)
        effects: list[Effect] = []
        for ip, name in state.spares.items():
            new = self.replica.failure_detector.peers[ip].disk_state == DiskState.EMPTY
            if new or (self.silence.since_s and name not in state.caught_up):
                effects += self.membership.send_catch_up(ip, now_s)
        return effects

    # -- at a member that is shutting down ---------------------------------------------------------------------

    def departure_change(self, now_s: float) -> MembershipChange | None:
        """The change by which this machine leaves the group. None if it is not a member, if there is no spare, or if no
        majority is reachable to decide on it."""
        if not self.has_quorum(now_s):
            return None
        group, own = self.group(), self.replica.ip
        if self.has_surplus_member(group):
            return MembershipChange(REMOVE, own, "", group)
        spares = self.spares(now_s)
        return MembershipChange(REPLACE, own, spares[0], group) if spares else None

    def successors_lack_view(self, now_s: float) -> bool:
        """Whether live members of the chain have not yet persisted the view that excludes this machine. Until then, the
        old group may still be needed to decide on another view."""
        view, peers = self.replica.state.view, self.replica.failure_detector.peers
        if view is None or self.replica.name in view.group:
            return False
        return any(
            self.replica.failure_detector.is_alive(ip, now_s) and peers[ip].epoch < view.epoch for ip in view.members
        )

    # -- for operators -----------------------------------------------------------------------------------------

    def describe(self, request_id: int, now_s: float) -> frames.SpareAnnouncement:
        """The spares, and which members this machine sees as silent and for how many seconds."""
        silent = sorted(self.silence.since_s.items())
        return frames.SpareAnnouncement(
            request_id,
            self.replica.name,
            tuple(sorted(self.membership.spares(now_s).values())),
            tuple(f"{ip} {now_s - since_s:.0f}" for ip, since_s in silent),
            self.status,
        )
