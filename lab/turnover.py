"""Histories of a core whose members come and go: the rules of histories.py, with five machines, of which three are the
group at first, and operators who add, remove and replace members while machines are in trouble.

Beside all that histories.py checks: a view that becomes active begins with all that was committed in those below it,
each member of its chain has it on disk, and the groups of two views that were active one after the other have
majorities that meet. So two groups never both decide, and nothing is lost over a change.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from cypressbeam import frames, members
from cypressbeam.agreement import COUNTED, Keeper
from cypressbeam.chain import View, ip_of
from cypressbeam.members import ADD, REMOVE, REPLACE, Members
from lab import histories
from lab.histories import AGAIN_S, CLIENT, IPS, Patch, Step, Violation, World, demand

SPARES = ("d", "e")
LOSSES = 1
#: Seconds for which an operator goes on asking for a change; a member that is silent for so long is gone for good.
CHANGE_S, REPLACE_AFTER_S = 6.0, 5.0
#: Names of operators of the group.
OPERATORS = ("m", "n")


@dataclass
class Asked:
    """A change that an operator wants."""

    kind: int
    old: str
    new: str
    base: tuple[str, ...]
    until_s: float
    status: int = 0


class Turnover(World):
    def __init__(self, seed: int, **options: Any) -> None:
        self.members: dict[str, Members] = {}
        self.asked: dict[int, Asked] = {}
        self.steps = 0
        """Views that became active with another group than the one before."""
        self.active: dict[int, View] = {}
        super().__init__(seed, **options)
        for ip in SPARES:
            self.disks[ip], self.lives[ip], self.pending[ip] = histories.Disk(f"{ip}/0"), 0, []
            self.start(ip)

    @property
    def machines(self) -> tuple[str, ...]:
        return (*IPS, *SPARES)

    def start(self, ip: str) -> None:
        super().start(ip)
        self.members[ip] = Members(self.keepers[ip], LOSSES, REPLACE_AFTER_S)

    def newest(self) -> View:
        views = [keeper.view for keeper in self.keepers.values() if keeper.view is not None]
        return max(views, key=lambda view: view.epoch, default=self.last_seen)

    last_seen = View(256, IPS, IPS)

    # -- frames and time -----------------------------------------------------------------------------------

    def deliver(self, ip: str, frame: frames.Frame) -> None:
        here = self.members[ip]
        if isinstance(frame, frames.Change):
            self.carry_out(ip, here.order(frame, self.now_s))
        elif isinstance(frame, frames.Level):
            self.carry_out(ip, here.on_level(frame, self.now_s))
        elif isinstance(frame, frames.Levelled):
            self.carry_out(ip, here.on_levelled(frame))
        else:
            super().deliver(ip, frame)

    def answer(self, frame: frames.Frame) -> None:
        if not isinstance(frame, frames.Progress):
            super().answer(frame)
        elif frame.status != members.WAITS:
            self.asked[frame.ident].status = frame.status

    def step(self) -> None:
        _, _, (kind, where, *rest) = self.events[0]
        if kind == "ask":
            self.now_s = heapq.heappop(self.events)[0]
            self.ask(rest[0])
        elif kind == "tick" and where not in self.frozen and self.lives[where] == rest[0]:
            self.now_s = heapq.heappop(self.events)[0]
            keeper = self.keepers[where]
            self.carry_out(where, keeper.tick(self.now_s))
            self.carry_out(where, self.members[where].tick(self.now_s))
            if keeper.view is None:  # as a node does that has learned of the core from the root
                for name in self.newest().group:
                    self.send(where, ip_of(name), keeper.own_pulse(self.now_s))
            self.at(histories.TICK_S, kind, where, *rest)
            self.check()
        else:
            super().step()

    # -- operators of the group ------------------------------------------------------------------------------

    def change(self) -> None:
        """Some change of the group as it is now."""
        group = [ip_of(name) for name in self.newest().group]
        others = [ip for ip in self.machines if ip not in group]
        kind = self.chance.choice([ADD, REMOVE, REPLACE, REPLACE])
        old = self.chance.choice(group) if kind != ADD else ""
        new = self.chance.choice(others or group) if kind != REMOVE else ""
        ident = next(self.numbers) + 1
        self.asked[ident] = Asked(kind, old, new, tuple(group), self.now_s + CHANGE_S)
        self.ask(ident)

    def ask(self, ident: int) -> None:
        asked = self.asked[ident]
        if asked.status or self.now_s > asked.until_s:
            return
        if self.keepers:
            self.send(CLIENT, self.chance.choice(sorted(self.keepers)),
                      frames.Change(ident, CLIENT, asked.kind, asked.old, asked.new, asked.base))
        self.at(AGAIN_S, "ask", "", ident)

    # -- troubles --------------------------------------------------------------------------------------------

    def begin(self, step: Step) -> None:
        if step.kind == "change":
            self.trace.append(f"{step.at_s:7.3f} change")
            self.change()
        elif step.kind == "power":
            self.last_seen = self.newest()
            for ip in SPARES:
                self.stop(ip)
            super().begin(step)
        else:
            super().begin(step)

    def end(self, step: Step) -> None:
        super().end(step)
        if step.kind == "power":
            for ip in SPARES:
                if ip not in self.keepers:
                    self.start(ip)

    def cut_off(self, step: Step) -> None:
        where = self.leader() if step.kind == histories.LEADING else step.where
        others = [other for other in self.machines if other != where]
        self.cut = {(where, other) for other in others}
        if step.kind != "one-way":
            self.cut |= {(other, where) for other in others}
        if step.kind == "cut":
            self.cut |= {(where, CLIENT), (CLIENT, where)}

    # -- what must hold --------------------------------------------------------------------------------------

    def check(self) -> None:
        super().check()
        for keeper in self.keepers.values():
            member = keeper.member
            if member is not None and member.active and member.view.epoch not in self.active:
                self.became_active(member.view)

    def became_active(self, view: View) -> None:
        """Some machine says so. One that stood still may say it long after later views."""
        below = max((number for number, entry in self.committed.items() if entry.epoch < view.epoch), default=0)
        demand(view.began >= below, f"epoch {view.epoch} begins with {view.began}, {below} was committed below it")
        for name in view.chain:
            disk = self.disks[ip_of(name)]
            held = disk.view.epoch if disk.view is not None else 0
            demand(disk.name != name or held >= view.epoch, f"{name} counts in epoch {view.epoch} and holds {held}")
        self.active[view.epoch] = view
        epochs = sorted(self.active)
        at = epochs.index(view.epoch)
        for before, after in itertools.pairwise(epochs[max(at - 1, 0):at + 2]):
            one, other = (frozenset(ip_of(name) for name in self.active[epoch].group) for epoch in (before, after))
            demand(len(one ^ other) <= 1, f"a majority of epoch {before} ({' '.join(sorted(one))}) need not meet one of"
                                          f" {after} ({' '.join(sorted(other))})")
            self.steps += one != other


def make_plan(seed: int) -> list[Step]:
    """The troubles and calls of histories.py, on five machines, and changes of the group all along."""
    chance = random.Random(f"turnover {seed}")
    plan = []
    for step in histories.make_plan(seed):
        where = chance.choice((*IPS, *SPARES)) if step.where in IPS else step.where
        plan.append(Step(step.at_s, step.kind, where, step.for_s))
    at_s = chance.uniform(0.3, 2.0)
    while at_s < histories.LASTS_S:
        plan += [Step(at_s, "change", chance.choice(OPERATORS))]
        at_s += chance.choice((0.05, 1.0, 2.0, 3.0)) + chance.uniform(0.0, 1.0)
    if seed % 5 == 2:  # a machine that is gone for longer than one that is replaced by itself
        plan.append(Step(chance.uniform(1.0, 10.0), "kill", chance.choice(IPS), 2.0 * REPLACE_AFTER_S))
    return sorted(plan, key=lambda step: step.at_s)


def play(seed: int, plan: list[Step], **options: Any) -> Turnover:
    """One history. Raises Violation with what does not hold."""
    world = Turnover(seed, **{"large": seed % 4 == 1} | options)
    histories.play_in(world, plan)
    group = world.newest().group
    demand(len(group) >= 2 * LOSSES + 1, f"the group is {group}")
    return world


def fails(seed: int, plan: list[Step], **options: Any) -> str | None:
    """What does not hold, if anything."""
    try:
        play(seed, plan, **options)
    except (Violation, AssertionError) as err:
        return f"{type(err).__name__}: {err}"
    return None


# -- seeded faults ---------------------------------------------------------------------------------------------------


def two_at_once(patch: Patch) -> None:
    """A replacement is one step: the majorities of the two groups need not meet."""
    def steps(self: members.Change) -> list[frozenset[str]]:
        return [self.base, frozenset((self.base | {self.new}) - {self.old, ""})]

    def judge(change: members.Change, known: members.Known) -> members.Verdict:
        now = frozenset(ip_of(name) for name in known.view.group)
        new = known.standing_by.get(change.new)
        if change.kind != REPLACE or now != change.base or new is None:
            return real(change, known)
        kept = tuple(name for name in known.view.group if ip_of(name) != change.old)
        return members.Verdict(members.WAITS, "at once", (*kept, new))
    real = members.judge
    patch(members.Change, "steps", steps)
    patch(members, "judge", judge)


def count_before_level(patch: Patch) -> None:
    """A newcomer counts as soon as it is named: a view is active before it has it."""
    def all_hold(self: Keeper, now_s: float) -> bool:
        assert self.view is not None
        return all(name == self.name or ((heard := self.heard.get(ip_of(name))) is not None and heard.name == name
                                         and (heard.epoch == self.view.epoch or heard.standing != COUNTED))
                   for name in self.view.chain)
    patch(Keeper, "all_hold", all_hold)


def step_from_any_view(patch: Patch) -> None:
    """Any machine changes the group on top of what it holds, settled or not, and to several groups."""
    patch(Members, "may_step", lambda self, epoch, wanted: True)
    patch(Members, "heads", lambda self, now_s: self.keeper.member is not None)


def a_chain_without_a_majority(patch: Patch) -> None:
    """A chain of a changed group may hold fewer than a majority of it."""
    patch(Keeper, "majority", lambda self, group: max(len(group) - 1, 2) // 2 + 1)


def keep_a_proposal(patch: Patch) -> None:
    """A proposal goes on with the group that it began with, though its machine has heard of a newer view."""
    real = Keeper.on_view

    def on_view(self: Keeper, frame: frames.ViewIs, now_s: float) -> list[Any]:
        proposal = self.proposal
        done = real(self, frame, now_s)
        self.proposal = proposal
        return done
    patch(Keeper, "on_view", on_view)


FAULTS: dict[str, Callable[[Patch], None]] = {
    "two-at-once": two_at_once, "count-before-level": count_before_level, "step-from-any-view": step_from_any_view,
    "keep-a-proposal": keep_a_proposal, "small-majority": a_chain_without_a_majority}


def search(seeds: Iterable[int], name: str = "") -> tuple[int, str] | None:
    """The first seed that fails, and with what; with a rule left out by its name."""
    with histories.patched(FAULTS[name] if name else None):
        for seed in seeds:
            told = fails(seed, make_plan(seed))
            if told is not None:
                return seed, told
    return None


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """The same for a process of its own."""
    name, seeds = job
    return search(seeds, name)
