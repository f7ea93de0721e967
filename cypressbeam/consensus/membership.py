"""Membership changes of the core group. Performs no I/O: takes messages, ticks and peer liveness, returns effects.

A single step adds or removes one address, so every majority of the old group overlaps every majority of the new one and
no joint group is needed. A replacement is an add followed by a remove. Each step is one view (replica.py): a majority
of the old group promises it, and it becomes active once every member of a chain that includes a majority of the new
group has it on disk.

Two single-step changes that two machines make on top of the same view can lead to groups whose majorities do not
overlap (Ongaro, "bug in single-server membership changes", 2015). Therefore only the head of a view changes its group,
only once the view is active, and to at most one other group. If it already proposed another group, or no longer knows
because it restarted, it first makes a new view of the same group, which invalidates any change started on the old one.

A change request names the group that it is based on, so it can be retried and gets the same answer.
Sources: Vertical Paxos (Lamport, Malkhi, Zhou, 2009); Raft, section 6 (Ongaro, 2014).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cypressbeam.consensus import deduplication as digests
from cypressbeam.consensus.effects import Effect, SendMessage
from cypressbeam.consensus.failure_detection import NEVER_S
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.state import DiskState
from cypressbeam.consensus.views import NO_ENTRY, Entry, View, ip_of, majority
from cypressbeam.protocol import frames

#: Kinds of change.
ADD, REMOVE, REPLACE = 1, 2, 3
CHANGE_KINDS = {"add": ADD, "remove": REMOVE, "replace": REPLACE}
#: Each member adds one disk sync to the latency of a write.
MAX_MEMBERS = 9
#: How often the newest entry is resent to a spare while a change waits for it.
CATCH_UP_INTERVAL_S = 0.2
#: How often the first catch-up message is resent. It carries all digests, up to 0.2 MB, which take a while on a slow
#: link.
FIRST_CATCH_UP_INTERVAL_S = 1.0
#: How many entries a spare may lag behind and still be added: under continuous writes it never catches up completely,
#: and the next body is sent as a delta to the previous one.
MAX_SPARE_LAG_ENTRIES = 1

#: Statuses of a change, as HTTP status codes.
DONE, PENDING, NOT_FOUND, REFUSED, GROUP_CHANGED = 200, 202, 404, 409, 412


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of a group. Members are given by address: `old` is empty for an add, `new` for a remove. `base` is the
    group that the change was requested for."""

    kind: int
    old: str
    new: str
    base: frozenset[str]

    def steps(self) -> list[frozenset[str]]:
        """The sequence of groups that the change goes through, starting with `base`."""
        groups = [self.base]
        if self.kind in (ADD, REPLACE):
            groups.append(groups[-1] | {self.new})
        if self.kind in (REMOVE, REPLACE):
            groups.append(groups[-1] - {self.old})
        return groups


@dataclass(frozen=True, slots=True)
class MembershipState:
    """What the head of an active view knows when it decides on a change."""

    view: View
    tolerated_losses: int
    """How many machines the deployment must be able to lose."""
    spares: Mapping[str, str]
    """Live machines outside the group whose disks work: names by address."""
    caught_up: frozenset[str] = frozenset()
    """Names of the spares that have the newest entry."""


@dataclass(frozen=True, slots=True)
class ChangeDecision:
    """The status of a change. With `PENDING` it may also name the group to propose, or the address of the spare to
    bring up to date."""

    status: int
    text: str
    group: tuple[str, ...] = ()
    catch_up: str = ""


def validate_change(change: MembershipChange) -> ChangeDecision | None:
    """Why a change is invalid, if it is. Does not depend on the state, so a retried request gets the same answer."""
    if change.kind not in CHANGE_KINDS.values() or not change.base:
        return ChangeDecision(REFUSED, "add, remove or replace, and the group that it is for")
    if change.kind in (ADD, REPLACE) and change.new in change.base:
        return ChangeDecision(REFUSED, f"{change.new} is a member already")
    if change.kind in (REMOVE, REPLACE) and change.old not in change.base:
        return ChangeDecision(NOT_FOUND, f"{change.old} is no member")
    return None


def next_step(change: MembershipChange, state: MembershipState) -> ChangeDecision:
    """Decide on the next step of a change, or why there is none."""
    error = validate_change(change)
    if error is not None:
        return error
    current = frozenset(ip_of(name) for name in state.view.group)
    steps = change.steps()
    if current == steps[-1]:
        return ChangeDecision(DONE, "the group is " + " ".join(sorted(current)))
    if current not in steps:
        return ChangeDecision(GROUP_CHANGED, "the group is another one now: " + " ".join(sorted(current)))
    target = steps[steps.index(current) + 1]
    return decide_add(change.new, state) if len(target) > len(current) else decide_remove(change.old, state)


def decide_add(ip: str, state: MembershipState) -> ChangeDecision:
    """Decide on the next step of adding the machine at an address."""
    name = state.spares.get(ip)
    if name is None:
        return ChangeDecision(NOT_FOUND, f"no machine with a disk at {ip} has joined")
    if len(state.view.group) >= MAX_MEMBERS:
        return ChangeDecision(REFUSED, f"a group has {MAX_MEMBERS} members at most")
    if name not in state.caught_up:
        return ChangeDecision(PENDING, f"{ip} is brought level", catch_up=ip)
    return ChangeDecision(PENDING, f"{ip} is taken in", (*state.view.group, name))


def decide_remove(ip: str, state: MembershipState) -> ChangeDecision:
    """Decide on the removal of a member: refused if too few members or copies would remain."""
    group = tuple(name for name in state.view.group if ip_of(name) != ip)
    chain = [name for name in state.view.chain if ip_of(name) != ip]
    min_members, min_copies = 2 * state.tolerated_losses + 1, max(state.tolerated_losses + 1, majority(len(group)))
    if len(group) < min_members:
        return ChangeDecision(
            REFUSED, f"{len(group)} members would be left; to lose {state.tolerated_losses} it takes {min_members}"
        )
    if len(chain) < min_copies:
        return ChangeDecision(REFUSED, f"{len(chain)} whole copies would be left; {min_copies} are needed")
    return ChangeDecision(PENDING, f"{ip} is let go", group)


class MembershipManager:
    """Tracks the spares at every machine of the core, and carries out changes of the group at the head."""

    def __init__(self, replica: Replica, losses: int) -> None:
        self.replica = replica
        self.tolerated_losses = losses
        self.spare_entry_numbers: dict[str, int] = {}
        """The number of the newest entry that each spare has acknowledged, by name."""
        self.catch_up_sent_s: dict[str, float] = {}
        """When the newest entry was last sent to each spare, by address."""
        self.proposed_group: tuple[int, frozenset[str]] | None = None
        """The last change of the group that was proposed: the epoch of the view that it builds on, and the addresses of
        the new group."""

    # -- state ---------------------------------------------------------------------------------------------

    def spares(self, now_s: float) -> dict[str, str]:
        """Live machines outside the group whose disks work: names by address."""
        view = self.replica.state.view
        if view is None:
            return {}
        members = {ip_of(name) for name in view.group}
        return {
            ip: peer.name
            for ip, peer in self.replica.failure_detector.peers.items()
            if ip not in members and peer.disk_works and self.replica.failure_detector.is_alive(ip, now_s)
        }

    def is_active_head(self, now_s: float) -> bool:
        """Whether this machine may carry out the next step of a change."""
        replica = self.replica
        return replica.state.chain is not None and replica.state.chain.is_head() and replica.leadership.leads(now_s)

    def state(self, now_s: float) -> MembershipState:
        """The state that decisions on changes are based on."""
        view, newest = self.replica.state.view, self.replica.state.newest_entry()
        assert view is not None
        number = newest.number if newest is not None else 0
        spares = self.spares(now_s)
        min_number = max(number - MAX_SPARE_LAG_ENTRIES, min(number, 1))
        caught_up = frozenset(name for name in spares.values() if self.spare_entry_numbers.get(name, -1) >= min_number)
        return MembershipState(view, self.tolerated_losses, spares, caught_up)

    # -- changes, at the head ------------------------------------------------------------------------------

    def on_change_request(self, frame: frames.MembershipChangeRequest, now_s: float) -> list[Effect]:
        """Handle an operator's request. The client repeats it until the change is done; each request starts the next
        step."""
        replica = self.replica
        if replica.state.view is None:
            return []
        if replica.state.view.head != replica.ip:
            return replica.forward(replica.state.view.head, frame)
        if not self.is_active_head(now_s):
            return []
        change = MembershipChange(frame.kind, frame.old, frame.new, frozenset(frame.base))
        decision = next_step(change, self.state(now_s))
        group = tuple(sorted(ip_of(name) for name in replica.state.view.group))
        answer = frames.MembershipChangeStatus(frame.request_id, decision.status, decision.text, group)
        return [SendMessage(frame.origin, answer), *self.effects_of(decision, now_s)]

    def effects_of(self, decision: ChangeDecision, now_s: float) -> list[Effect]:
        """The effects of a decision: a catch-up message, or the proposal of a view with another group."""
        if decision.catch_up:
            return self.send_catch_up(decision.catch_up, now_s)
        return self.propose_group(decision.group, now_s) if decision.group else []

    def propose_group(self, group: tuple[str, ...], now_s: float) -> list[Effect]:
        """Propose a view with another group, or with the same group if that change may not be made on this view."""
        replica = self.replica
        assert replica.state.view is not None
        if replica.proposer.proposal is not None or replica.failure_detector.new_identities(now_s):
            return []
        epoch, addresses = replica.state.view.epoch, frozenset(ip_of(name) for name in group)
        if not self.may_propose_group(epoch, addresses):
            return replica.proposer.propose(now_s)
        self.proposed_group = epoch, addresses
        return replica.proposer.propose(now_s, group)

    def may_propose_group(self, epoch: int, addresses: frozenset[str]) -> bool:
        """Whether a group may be proposed on top of a view: at most one other group per view, and only if the view was
        installed since this process started, because earlier proposals are not remembered."""
        installed = self.replica.state.installed_epoch == epoch
        return installed and (
            self.proposed_group is None or self.proposed_group[0] != epoch or self.proposed_group[1] == addresses
        )

    def send_catch_up(self, ip: str, now_s: float) -> list[Effect]:
        """Send the view and the newest entry to a spare, which must have both before it becomes a member."""
        replica, view = self.replica, self.replica.state.view
        first = replica.failure_detector.peers[ip].disk_state == DiskState.EMPTY
        interval_s = FIRST_CATCH_UP_INTERVAL_S if first else CATCH_UP_INTERVAL_S
        if view is None or now_s - self.catch_up_sent_s.get(ip, NEVER_S) < interval_s:
            return []
        self.catch_up_sent_s[ip] = now_s
        entry = replica.state.newest_entry() or NO_ENTRY
        return [
            SendMessage(
                ip,
                frames.CatchUp(
                    replica.failure_detector.peers[ip].name,
                    replica.ip,
                    view.epoch,
                    view.chain,
                    view.group,
                    entry.number,
                    entry.epoch,
                    entry.revision,
                    entry.base,
                    entry.body,
                    digests.pack(replica.state.applied_digests()) if first else b"",
                ),
            )
        ]

    def on_catch_up(self, frame: frames.CatchUp, now_s: float) -> list[Effect]:
        """Handle a catch-up message at the spare, once the body has arrived. If the disk is empty the view is persisted
        first, and from then on this machine may promise; the message is acknowledged when it is resent."""
        replica = self.replica
        stale = replica.state.view is not None and frame.epoch < replica.state.view.epoch
        if frame.name != replica.name or replica.name in frame.group or stale or replica.state.pending_view is not None:
            return []
        if replica.state.disk_state != DiskState.EMPTY:
            body_digest = replica.state.digest(frame.body) if frame.number else b""
            return [SendMessage(frame.origin, frames.CatchUpAck(replica.name, frame.epoch, frame.number, body_digest))]
        entry = None
        if frame.number:
            entry = Entry(frame.number, frame.entry_epoch, frame.revision, frame.base, frame.body)
        view = View(frame.epoch, frame.chain, frame.group)
        return replica.accept_view(view, entry, digests.unpack(frame.applied_digests), now_s)

    def on_catch_up_ack(self, frame: frames.CatchUpAck) -> list[Effect]:
        """Record which entry a spare has, unless its body differs from the one stored here."""
        newest = self.replica.state.newest_entry()
        mismatch = (
            newest is not None
            and frame.number == newest.number
            and frame.digest != self.replica.state.digest(newest.body)
        )
        if not mismatch:
            self.spare_entry_numbers[frame.name] = frame.number
        return []
