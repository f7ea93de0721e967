"""Automatic replacement of members of the configuration group by spares. Pure: time in, actions out.

A spare is a machine with a disk that runs, is reached, and is no member. A machine that is gone for good, one that
restarts and one that is cut off look alike for a while, so the rule is chosen such that a wrong guess is cheap: a
member that comes back after it was replaced is a spare, with all its data, and takes the place of the next member that
falls silent. Data is never at risk, for a replacement is an ordinary change of the group (membership.py): the spare
holds the newest entry before it counts, and nobody is removed before that.

- Every member counts the silence of the others, so that a new head does not begin anew. Only the head acts on it.
- A group of an odd number replaces a silent member: the spare is added, then the member removed. Once the spare is
  added the replacement is carried to its end, also if the member comes back meanwhile.
- A group of an even number, larger than the least, removes a silent member.
- Spares are brought level before they are needed: a new one at once, any of them while a member is silent.
- A member that is told to stop asks for its own replacement before its process ends, if there is a spare.
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

#: A change that was due is remembered for so long: the view that adds a spare may become active after the member that
#: it was to replace is back.
PENDING_CHANGE_KEPT_S = PROPOSAL_TIMEOUT_S * MAX_BACKOFF


class SilenceTracker:
    """Since when others have not been heard, by a process that itself runs and is in contact."""

    def __init__(self) -> None:
        self.since_s: dict[str, float] = {}
        """By address, on this machine's steady clock."""
        self.ticked_s: float | None = None

    def tick(self, now_s: float) -> bool:
        """Whether the process ran since the last tick. What it had heard before says nothing of the time in which it
        stood still, so that ends all silences."""
        stood_still = self.ticked_s is None or now_s - self.ticked_s > PAUSE_THRESHOLD_S
        self.ticked_s = now_s
        if stood_still:
            self.since_s.clear()
        return not stood_still

    def update(self, addresses: Iterable[str], peers: Callable[[str, float], bool], now_s: float) -> None:
        """Count for those that are not heard; forget the others."""
        silent = [ip for ip in addresses if not peers(ip, now_s)]
        self.since_s = {ip: self.since_s.get(ip, now_s) for ip in silent}

    def silent_for(self, least_s: float, now_s: float) -> list[str]:
        """Addresses that were silent for at least so long, longest first."""
        due = [(since_s, ip) for ip, since_s in self.since_s.items() if now_s - since_s >= least_s]
        return [ip for _, ip in sorted(due)]


class ReplacementManager:
    """At each machine of the core: who is silent and who is a spare; at the head, the replacements."""

    def __init__(self, members: MembershipManager, replace_after_s: float) -> None:
        """A member is replaced once it was not alive (failure_detection.FAILURE_TIMEOUT_S) for `replace_after_s`
        more seconds; 0: never."""
        self.membership = members
        self.replica = members.replica
        self.replace_after_s = replace_after_s
        self.silence = SilenceTracker()
        self.pending_change: MembershipChange | None = None
        self.pending_since_s = 0.0
        """The last change that was due, as this machine sees it, and when it was."""
        self.status = ""
        """What a replacement last waited for, for operators."""

    # -- what is known -------------------------------------------------------------------------------------

    def group(self) -> frozenset[str]:
        """The members' addresses; empty before a view is known."""
        view = self.replica.state.view
        return frozenset(ip_of(name) for name in view.group) if view is not None else frozenset()

    def has_quorum(self, now_s: float) -> bool:
        """Whether this machine is a member with a majority in reach: only then others' silence says something."""
        view = self.replica.state.view
        return (
            view is not None
            and self.replica.name in view.group
            and now_s - self.replica.failure_detector.last_quorum_contact_s(now_s) <= FAILURE_TIMEOUT_S
        )

    def has_surplus_member(self, group: frozenset[str]) -> bool:
        """An even number bears no more losses than the odd one below it, and needs one machine more for a majority."""
        least = 2 * self.membership.tolerated_losses + 1
        return len(group) > least and len(group) % 2 == 0

    def spares(self, now_s: float) -> list[str]:
        """Addresses, best first: machines that were never members, then former ones."""
        peers = self.replica.failure_detector.peers
        return sorted(self.membership.spares(now_s), key=lambda ip: (peers[ip].disk_state == DiskState.VOTER, ip))

    # -- at the head ---------------------------------------------------------------------------------------

    def tick(self, now_s: float) -> list[Effect]:
        """Count silences; at the head, begin or go on with a replacement."""
        ran = self.silence.tick(now_s)
        if not ran or not self.has_quorum(now_s):
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
        """A request of an operator, or of a member that drains, takes precedence over an automatic change: that may be
        about to remove the very machine that the request adds."""
        pending, ordered = self.pending_change, frozenset(frame.base)
        if pending is not None and (frame.old, frame.new, ordered) != (pending.old, pending.new, pending.base):
            self.pending_change = None
        return self.membership.on_change_request(frame, now_s)

    def next_change(self, now_s: float) -> MembershipChange | None:
        """The change of the group that is to be made by itself, if any."""
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
        """What the silence of a member asks for."""
        silent = self.silence.silent_for(self.replace_after_s, now_s) if self.replace_after_s else []
        if not silent:
            return None
        if self.has_surplus_member(group):
            return MembershipChange(REMOVE, silent[0], "", group)
        spares = self.spares(now_s)
        return MembershipChange(REPLACE, silent[0], spares[0], group) if spares else None

    def second_step(self, pending: MembershipChange) -> MembershipChange:
        """The second step of a replacement. Where the spare has fallen silent and the old member is back, that is the
        one to keep."""
        silent = self.silence.since_s
        if pending.new in silent and pending.old not in silent:
            return MembershipChange(REPLACE, pending.new, pending.old, (pending.base - {pending.old}) | {pending.new})
        return pending

    def catch_up_spares(self, now_s: float) -> list[Effect]:
        """A new spare gets view and entry at once; the others the newest entry while a member is silent."""
        known = self.membership.state(now_s)
        effects: list[Effect] = []
        for ip, name in known.spares.items():
            new = self.replica.failure_detector.peers[ip].disk_state == DiskState.EMPTY
            if new or (self.silence.since_s and name not in known.caught_up):
                effects += self.membership.send_catch_up(ip, now_s)
        return effects

    # -- at a member that is told to stop ----------------------------------------------------------------------

    def departure_change(self, now_s: float) -> MembershipChange | None:
        """The change by which this machine leaves the group. None: it is no member, there is no spare, or no majority
        that could decide it."""
        if not self.has_quorum(now_s):
            return None
        group, own = self.group(), self.replica.ip
        if self.has_surplus_member(group):
            return MembershipChange(REMOVE, own, "", group)
        spares = self.spares(now_s)
        return MembershipChange(REPLACE, own, spares[0], group) if spares else None

    def successors_lack_view(self, now_s: float) -> bool:
        """Whether the view without this machine is not on the disks of all its chain yet: until then the old group may
        have to decide once more."""
        view, peers = self.replica.state.view, self.replica.failure_detector.peers
        if view is None or self.replica.name in view.group:
            return False
        return any(
            self.replica.failure_detector.is_alive(ip, now_s) and peers[ip].epoch < view.epoch for ip in view.members
        )

    # -- for operators -----------------------------------------------------------------------------------------

    def describe(self, request_id: int, now_s: float) -> frames.SpareAnnouncement:
        """The spares, and which members are silent here, for how many seconds."""
        silent = sorted(self.silence.since_s.items())
        return frames.SpareAnnouncement(
            request_id,
            self.replica.name,
            tuple(sorted(self.membership.spares(now_s).values())),
            tuple(f"{ip} {now_s - since_s:.0f}" for ip, since_s in silent),
            self.status,
        )
