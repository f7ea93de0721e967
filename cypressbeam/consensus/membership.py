"""Who belongs to the core, and how that changes. Pure: messages, ticks and peers' liveness in, effects out.

A change goes from one group to the next that has one address more, or one less: so any majority of the one meets any
of the other, and no joint group is needed. A replacement is an add, then a remove. Each is one view (replica.py):
promised by a majority of the old group, and active once all of a chain hold it, with a majority of the new group among
them.

Two single changes, made by two machines on top of one view, may leave groups whose majorities do not meet (Ongaro, "bug
in single-server membership changes", 2015). So only the head of a view changes its group, only once the view is active,
to one other group and no second one, and not from memory that a restart has emptied: otherwise it makes a new view of
the same group first, which all that was begun on the old one runs into.

A change request names the group that it was made for, so it may be sent again: it gets the same answer.
Source for the way of changes: Vertical Paxos (Lamport, Malkhi, Zhou, 2009); Raft, section 6 (Ongaro, 2014).
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
KINDS = {"add": ADD, "remove": REMOVE, "replace": REPLACE}
#: Each member is one more sync on the way of a write.
MAX_MEMBERS = 9
#: The newest entry is sent to a spare again after so long, while a change waits for it.
CATCH_UP_INTERVAL_S = 0.2
#: The first time with all digests, which a thin link takes a while for: up to 0.2 MB.
FIRST_CATCH_UP_INTERVAL_S = 1.0
#: A spare may lag by so many entries: while writes go on it is never quite caught up, and the body of the next one
#: comes packed on the one before.
MAX_SPARE_LAG = 1

DONE, WAITS, UNKNOWN, REFUSED, ANOTHER = 200, 202, 404, 409, 412


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of a group. Addresses; `old` is nothing for an add, `new` for a remove. `base` is the group that it
    was made for."""

    kind: int
    old: str
    new: str
    base: frozenset[str]

    def steps(self) -> list[frozenset[str]]:
        """The groups that it goes through, the one that it begins with first."""
        found = [self.base]
        if self.kind in (ADD, REPLACE):
            found.append(found[-1] | {self.new})
        if self.kind in (REMOVE, REPLACE):
            found.append(found[-1] - {self.old})
        return found


@dataclass(frozen=True, slots=True)
class MembershipState:
    """What the head of an active view knows when it is asked."""

    view: View
    tolerated_losses: int
    """Machines that the deployment must be able to lose."""
    spares: Mapping[str, str]
    """Machines with a disk that works, heard lately and in no group: names by addresses."""
    caught_up: frozenset[str] = frozenset()
    """Names of those that hold the newest entry."""


@dataclass(frozen=True, slots=True)
class ChangeDecision:
    """What becomes of a change now: an answer, and with `WAITS` maybe the group to propose, or the spare to bring up to
    date."""

    status: int
    text: str
    group: tuple[str, ...] = ()
    catch_up: str = ""


def find_fault(change: MembershipChange) -> ChangeDecision | None:
    """What is wrong with a change whatever the state is: so the same request gets the same answer."""
    if change.kind not in KINDS.values() or not change.base:
        return ChangeDecision(REFUSED, "add, remove or replace, and the group that it is for")
    if change.kind in (ADD, REPLACE) and change.new in change.base:
        return ChangeDecision(REFUSED, f"{change.new} is a member already")
    if change.kind in (REMOVE, REPLACE) and change.old not in change.base:
        return ChangeDecision(UNKNOWN, f"{change.old} is no member")
    return None


def next_step(change: MembershipChange, state: MembershipState) -> ChangeDecision:
    """The next step of a change, or why there is none."""
    fault = find_fault(change)
    if fault is not None:
        return fault
    now = frozenset(ip_of(name) for name in state.view.group)
    steps = change.steps()
    if now == steps[-1]:
        return ChangeDecision(DONE, "the group is " + " ".join(sorted(now)))
    if now not in steps:
        return ChangeDecision(ANOTHER, "the group is another one now: " + " ".join(sorted(now)))
    wanted = steps[steps.index(now) + 1]
    return add_member(change.new, state) if len(wanted) > len(now) else remove_member(change.old, state)


def add_member(ip: str, state: MembershipState) -> ChangeDecision:
    """The next step of taking in the machine at an address."""
    name = state.spares.get(ip)
    if name is None:
        return ChangeDecision(UNKNOWN, f"no machine with a disk at {ip} has joined")
    if len(state.view.group) >= MAX_MEMBERS:
        return ChangeDecision(REFUSED, f"a group has {MAX_MEMBERS} members at most")
    if name not in state.caught_up:
        return ChangeDecision(WAITS, f"{ip} is brought level", catch_up=ip)
    return ChangeDecision(WAITS, f"{ip} is taken in", (*state.view.group, name))


def remove_member(ip: str, state: MembershipState) -> ChangeDecision:
    """The next step of letting a member go, if the others can bear it."""
    group = tuple(name for name in state.view.group if ip_of(name) != ip)
    chain = [name for name in state.view.chain if ip_of(name) != ip]
    least, copies = 2 * state.tolerated_losses + 1, max(state.tolerated_losses + 1, majority(len(group)))
    if len(group) < least:
        return ChangeDecision(
            REFUSED, f"{len(group)} members would be left; to lose {state.tolerated_losses} it takes {least}"
        )
    if len(chain) < copies:
        return ChangeDecision(REFUSED, f"{len(chain)} whole copies would be left; {copies} are needed")
    return ChangeDecision(WAITS, f"{ip} is let go", group)


class MembershipManager:
    """At each machine of the core: the spares; at the head, the changes of the group."""

    def __init__(self, replica: Replica, losses: int) -> None:
        self.replica = replica
        self.tolerated_losses = losses
        self.spare_entry_numbers: dict[str, int] = {}
        """Names of spares, and the newest entry that each has reported."""
        self.catch_up_sent_s: dict[str, float] = {}
        """When the newest entry was last sent to each spare, by address."""
        self.proposed_group: tuple[int, frozenset[str]] | None = None
        """The epoch of the view whose group was to be changed, and to which addresses."""

    # -- what is known -------------------------------------------------------------------------------------

    def spares(self, now_s: float) -> dict[str, str]:
        """Machines with a disk that works, alive and in no group: names by addresses."""
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
        """Whether the next step of a change is this machine's to make."""
        replica = self.replica
        return replica.state.chain is not None and replica.state.chain.is_head() and replica.leadership.leads(now_s)

    def state(self, now_s: float) -> MembershipState:
        """What the head of an active view knows."""
        view, newest = self.replica.state.view, self.replica.state.newest_entry()
        assert view is not None
        number = newest.number if newest is not None else 0
        spares = self.spares(now_s)
        least = max(number - MAX_SPARE_LAG, min(number, 1))
        caught_up = frozenset(name for name in spares.values() if self.spare_entry_numbers.get(name, -1) >= least)
        return MembershipState(view, self.tolerated_losses, spares, caught_up)

    # -- changes, at the head ------------------------------------------------------------------------------

    def on_change_request(self, frame: frames.MembershipChangeRequest, now_s: float) -> list[Effect]:
        """An operator's request, sent again and again until it is done: each time the next step is begun."""
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
        """What a decision asks for: a catch-up, or a view with another group."""
        if decision.catch_up:
            return self.send_catch_up(decision.catch_up, now_s)
        return self.propose_group(decision.group, now_s) if decision.group else []

    def propose_group(self, group: tuple[str, ...], now_s: float) -> list[Effect]:
        """Propose a view with another group, or the same group anew where this view has been used up."""
        replica = self.replica
        assert replica.state.view is not None
        if replica.proposer.proposal is not None or replica.failure_detector.new_identities(now_s):
            return []
        epoch, wanted = replica.state.view.epoch, frozenset(ip_of(name) for name in group)
        if not self.may_propose_group(epoch, wanted):
            return replica.proposer.propose(now_s)
        self.proposed_group = epoch, wanted
        return replica.proposer.propose(now_s, group)

    def may_propose_group(self, epoch: int, wanted: frozenset[str]) -> bool:
        """One other group on top of a view, ever; what this machine proposed in an earlier incarnation it does not
        know."""
        fresh = self.replica.state.installed_epoch == epoch
        return fresh and (
            self.proposed_group is None or self.proposed_group[0] != epoch or self.proposed_group[1] == wanted
        )

    def send_catch_up(self, ip: str, now_s: float) -> list[Effect]:
        """Send view and newest entry to a spare, so that it has both before it counts."""
        replica, view = self.replica, self.replica.state.view
        first = replica.failure_detector.peers[ip].disk_state == DiskState.EMPTY
        again_s = FIRST_CATCH_UP_INTERVAL_S if first else CATCH_UP_INTERVAL_S
        if view is None or now_s - self.catch_up_sent_s.get(ip, NEVER_S) < again_s:
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
        """At the spare, once the body is here. The view goes to disk if there is none yet: from then on this machine
        promises. The message comes again, and is answered then."""
        replica = self.replica
        older = replica.state.view is not None and frame.epoch < replica.state.view.epoch
        if frame.name != replica.name or replica.name in frame.group or older or replica.state.pending_view is not None:
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
        """A spare says which entry it holds; it counts if its body is the one that is here."""
        newest = self.replica.state.newest_entry()
        fault = (
            newest is not None
            and frame.number == newest.number
            and frame.digest != self.replica.state.digest(newest.body)
        )
        if not fault:
            self.spare_entry_numbers[frame.name] = frame.number
        return []
