"""Histories of a core whose members come and go: the rules of histories/, with five machines, of which three are the
group at first, and operators who add, remove and replace members while machines are in trouble.

Beside all that those check: a view that becomes active begins with all that was committed in those below it,
each member of its chain has it on disk, and the groups of two views that were active one after the other have
majorities that meet. So two groups never both decide, and nothing is lost over a change.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from cypressbeam.consensus import membership
from cypressbeam.consensus.failure_detection import FailureDetector
from cypressbeam.consensus.membership import ADD, REMOVE, REPLACE, MembershipManager
from cypressbeam.consensus.replacement import ReplacementManager
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.state import DiskState
from cypressbeam.consensus.views import View, ip_of
from cypressbeam.protocol import frames
from lab.histories import faults, plans, runner
from lab.histories.callers import RETRY_S
from lab.histories.faults import Patch
from lab.histories.invariants import check_condition
from lab.histories.network import CLIENT
from lab.histories.plans import IPS, MACHINES, Shape, Step
from lab.histories.world import World

LOSSES = 1
#: Seconds for which an operator goes on asking for a change; a member that is silent for so long is gone for good.
CHANGE_S, REPLACE_AFTER_S = 6.0, 1.0


@dataclass
class RequestedChange:
    """A change that an operator wants."""

    kind: int
    old: str
    new: str
    base: tuple[str, ...]
    until_s: float
    status: int = 0


class MembershipChurn(World):
    def __init__(self, seed: int, replace_after_s: float = REPLACE_AFTER_S, **options: Any) -> None:
        self.replace_after_s = replace_after_s
        self.members: dict[str, MembershipManager] = {}
        self.replacements: dict[str, ReplacementManager] = {}
        self.asked: dict[int, RequestedChange] = {}
        self.steps = 0
        """Views that became active with another group than the one before."""
        self.active: dict[int, View] = {}
        super().__init__(seed, machines=len(MACHINES), standing_by=len(MACHINES) - len(IPS), **options)

    def start(self, ip: str) -> None:
        super().start(ip)
        self.members[ip] = MembershipManager(self.replicas[ip], LOSSES)
        self.replacements[ip] = ReplacementManager(self.members[ip], self.replace_after_s)
        self.dispatchers[ip].add_membership(self.members[ip], self.replacements[ip])

    def group(self) -> tuple[str, ...]:
        """Addresses of the newest group that anybody holds."""
        view = self.newest_view()
        return tuple(ip_of(name) for name in view.group) if view is not None else ()

    # -- frames and time -----------------------------------------------------------------------------------

    def answer(self, frame: frames.Frame) -> None:
        if not isinstance(frame, frames.MembershipChangeStatus):
            super().answer(frame)
        elif frame.status != membership.PENDING:
            self.asked[frame.request_id].status = frame.status

    def step(self) -> None:
        _, _, (kind, _, *rest) = self.events[0]
        if kind == "ask":
            self.now_s = heapq.heappop(self.events)[0]
            self.ask(rest[0])
        else:
            super().step()

    def tick(self, ip: str) -> None:
        super().tick(ip)
        self.execute(ip, self.replacements[ip].tick(self.now_s))

    # -- operators of the group ------------------------------------------------------------------------------

    def change(self) -> None:
        """Some change of the group as it is now."""
        group = self.group()
        if not group:
            return
        others = [ip for ip in self.ips if ip not in group]
        kind = self.rng.choice([ADD, REMOVE, REPLACE, REPLACE])
        old = self.rng.choice(group) if kind != ADD else ""
        new = self.rng.choice(others or group) if kind != REMOVE else ""
        ident = next(self.numbers) + 1
        self.asked[ident] = RequestedChange(kind, old, new, group, self.now_s + CHANGE_S)
        self.ask(ident)

    def ask(self, ident: int) -> None:
        asked = self.asked[ident]
        if asked.status or self.now_s > asked.until_s:
            return
        if self.replicas:
            self.send(
                CLIENT,
                self.rng.choice(sorted(self.replicas)),
                frames.MembershipChangeRequest(ident, CLIENT, asked.kind, asked.old, asked.new, asked.base),
            )
        self.at(RETRY_S, "ask", "", ident)

    def begin(self, step: Step) -> None:
        if step.kind == "change":
            self.trace.append(f"{step.at_s:7.3f} change")
            self.change()
        else:
            super().begin(step)

    # -- what must hold --------------------------------------------------------------------------------------

    def check(self, ip: str) -> None:
        super().check(ip)
        replica = self.replicas.get(ip)
        member = replica.state.chain if replica is not None else None
        if member is not None and member.active and member.view.epoch not in self.active:
            self.became_active(member.view)

    def became_active(self, view: View) -> None:
        """Some machine says so. One that stood still may say it long after later views."""
        committed = self.observer.committed.items()
        below = max((number for number, entry in committed if entry.epoch < view.epoch), default=0)
        check_condition(
            view.initial_number >= below,
            f"epoch {view.epoch} begins with {view.initial_number}, {below} was committed below it",
        )
        for name in view.chain:
            disk = self.disks[ip_of(name)]
            held = disk.view.epoch if disk.view is not None else 0
            check_condition(
                disk.name != name or held >= view.epoch, f"{name} counts in epoch {view.epoch} and holds {held}"
            )
        self.active[view.epoch] = view
        epochs = sorted(self.active)
        at = epochs.index(view.epoch)
        for before, after in itertools.pairwise(epochs[max(at - 1, 0) : at + 2]):
            one, other = (frozenset(ip_of(name) for name in self.active[epoch].group) for epoch in (before, after))
            check_condition(
                len(one ^ other) <= 1,
                f"a majority of epoch {before} ({' '.join(sorted(one))}) need not meet one of"
                f" {after} ({' '.join(sorted(other))})",
            )
            self.steps += one != other


def make_plan(seed: int) -> list[Step]:
    """The troubles and calls of the histories, on all machines, and changes of the group all along."""
    shape = Shape(overlapping=seed % 3 == 0, large=seed % 4 == 1, long=seed % 7 == 3)
    rng = random.Random(f"turnover {seed}")
    lasts_s = plans.LONG_DURATION_S if shape.long else plans.DURATION_S
    plan = [replace(step, where=rng.choice(MACHINES)) for step in plans.make_faults(shape, rng, lasts_s)]
    for _ in range(3):  # two changes on one version at the same time, as a rule while somebody is in trouble
        at_s = rng.choice(plan).at_s + rng.uniform(0.0, 1.5)
        plan += [Step(at_s, "replace", "x"), Step(at_s + rng.uniform(0.0, 0.3), "replace", "y")]
    for operator in plans.OPERATORS:
        at_s = rng.uniform(0.1, 1.0)
        while at_s < lasts_s:
            plan.append(Step(at_s, rng.choice(("read", "replace", "replace")), operator))
            at_s += rng.expovariate(1.0)
    at_s = rng.uniform(0.3, 2.0)
    while at_s < lasts_s:
        plan += [Step(at_s, "change")]
        at_s += rng.choice((0.05, 1.0, 2.0, 3.0)) + rng.uniform(0.0, 1.0)
    if seed % 5 == 2:  # a machine that is gone for longer than one that is replaced by itself
        plan.append(Step(rng.uniform(1.0, 10.0), "kill", rng.choice(IPS), 2.0 * REPLACE_AFTER_S))
    return sorted(plan, key=lambda step: step.at_s)


def play(seed: int, plan: list[Step], **options: Any) -> MembershipChurn:
    """One history. Raises InvariantViolationError with what does not hold."""
    world = MembershipChurn(seed, **{"large": seed % 4 == 1} | options)
    runner.play_plan(world, plan)
    check_condition(len(world.group()) >= 2 * LOSSES + 1, f"the group is {world.group()}")
    return world


def fails(seed: int, plan: list[Step], **options: Any) -> str | None:
    """What does not hold, if anything."""
    return runner.violation_of(lambda: play(seed, plan, **options))


# -- seeded faults ---------------------------------------------------------------------------------------------------


def two_at_once(patch: Patch) -> None:
    """A replacement is one step: the majorities of the two groups need not meet."""

    def steps(self: membership.MembershipChange) -> list[frozenset[str]]:
        return [self.base, frozenset((self.base | {self.new}) - {self.old, ""})]

    def judge(change: membership.MembershipChange, known: membership.MembershipState) -> membership.ChangeDecision:
        now = frozenset(ip_of(name) for name in known.view.group)
        new = known.spares.get(change.new)
        if change.kind != REPLACE or now != change.base or new is None:
            return real(change, known)
        kept = tuple(name for name in known.view.group if ip_of(name) != change.old)
        return membership.ChangeDecision(membership.PENDING, "at once", (*kept, new))

    real = membership.next_step
    patch(membership.MembershipChange, "steps", steps)
    patch(membership, "next_step", judge)


def count_before_level(patch: Patch) -> None:
    """A newcomer counts as soon as it is named: a view is active before it has it."""

    def has_installed(self: FailureDetector, name: str, epoch: int) -> bool:
        peer = self.peers.get(ip_of(name))
        return peer is not None and peer.name == name and (peer.epoch == epoch or peer.disk_state != DiskState.VOTER)

    patch(FailureDetector, "has_installed", has_installed)


def step_from_any_view(patch: Patch) -> None:
    """Any machine changes the group on top of what it holds, settled or not, and to several groups."""
    patch(MembershipManager, "may_propose_group", lambda self, epoch, wanted: True)
    patch(MembershipManager, "is_active_head", lambda self, now_s: self.replica.state.chain is not None)


def keep_a_proposal(patch: Patch) -> None:
    """A proposal goes on with the group that it began with, though its machine has heard of a newer view."""
    real = Replica.on_view_announcement

    def on_view(self: Replica, frame: frames.ViewAnnouncement, now_s: float) -> list[Any]:
        proposal = self.proposer.proposal
        done = real(self, frame, now_s)
        self.proposer.proposal = proposal
        return done

    patch(Replica, "on_view_announcement", on_view)


FAULTS: dict[str, Callable[[Patch], None]] = {
    "two-at-once": two_at_once,
    "count-before-level": count_before_level,
    "step-from-any-view": step_from_any_view,
    "keep-a-proposal": keep_a_proposal,
}


def search(seeds: Iterable[int], name: str = "") -> tuple[int, str] | None:
    """The first seed that fails, and with what; with a rule left out by its name."""
    with faults.patched(FAULTS[name] if name else None):
        for seed in seeds:
            told = fails(seed, make_plan(seed))
            if told is not None:
                return seed, told
    return None


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """The same for a process of its own."""
    name, seeds = job
    return search(seeds, name)
