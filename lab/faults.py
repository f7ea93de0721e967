"""Rules of the core that are left out on purpose, one at a time: some history must show each (histories.py).

To add one: a function that patches, and a line in FAULTS.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from cypressbeam import agreement, frames
from cypressbeam.agreement import Keeper
from cypressbeam.chain import Entry, Member, Tell, View
from lab import operators
from lab.below import Below

#: Puts something new in the place of an attribute.
Patch = Callable[[Any, str, Any], None]


def forget_promises(patch: Patch) -> None:
    """A machine that comes back accepts epochs below the one that it had promised."""
    real = Keeper.load

    def load(self: Keeper, view: View | None, promised: int, last: Entry | None, taken: dict[int, bytes],
             now_s: float) -> list[Any]:
        return real(self, view, view.epoch if view is not None else 0, last, taken, now_s)
    patch(Keeper, "load", load)


def promise_with_an_empty_disk(patch: Patch) -> None:
    """A machine promises though no view on its disk counts it in a group."""
    patch(Keeper, "may_promise", lambda self: True)


def acknowledge_at_the_head(patch: Patch) -> None:
    """An order is answered once its first copy is on disk."""
    real = Member.synced

    def synced(self: Member, entry: Entry, now_s: float) -> list[Any]:
        early = [Tell(origin, frames.Outcome(ident, 200, "early")) for ident, origin in self.asked if self.is_head()]
        return [*early, *real(self, entry, now_s)]
    patch(Member, "synced", synced)


def begin_with_the_oldest(patch: Patch) -> None:
    """A new chain begins with the oldest entry that a majority tells."""
    patch(agreement, "newest_of",
          lambda promises: min(promises.values(), key=lambda promise: (promise.entry_epoch, promise.number)))


def decide_alone(patch: Patch) -> None:
    """One machine is a majority, and a chain of one will do."""
    patch(Keeper, "majority", lambda self, group: 1)


def acknowledge_while_cut_off(patch: Patch) -> None:
    """A head that can't pass an entry on takes it for committed after a while: two sides of a cut have one each."""
    real = Member.tick

    def tick(self: Member, now_s: float) -> list[Any]:
        if self.is_head() and self.active and self.busy() and self.asked and now_s > self.sent_s + 0.25:
            self.committed = self.number
            asked, self.asked = self.asked, []
            return [Tell(origin, frames.Outcome(ident, 200, "alone")) for ident, origin in asked]
        return real(self, now_s)
    patch(Member, "tick", tick)


def count_old_pulses(patch: Patch) -> None:
    """A member counts as heard when a pulse of it is read, however long that was in a socket."""
    patch(Keeper, "echoed_s", lambda self, frame, now_s: now_s)


def stay_the_root(patch: Patch) -> None:
    """A root that is in contact with no majority stays it."""
    patch(agreement, "ROOT_ALONE_S", 60.0)


def lead_alone(patch: Patch) -> None:
    """Whoever holds an active view leads, whether it is in contact with a majority or not."""
    patch(Keeper, "contact_s", lambda self, now_s: now_s)


def answer_by_old_words(patch: Patch) -> None:
    """A majority's word counts for a read, or a refusal, however long ago it was asked for."""
    real = Keeper.on_confirmed

    def on_confirmed(self: Keeper, frame: frames.Confirmed, now_s: float) -> list[Any]:
        asked = self.reads.get(frame.ident)
        return real(self, frame, min(now_s, asked.due_s) if asked is not None else now_s)
    patch(Keeper, "on_confirmed", on_confirmed)


def believe_any_epoch(patch: Patch) -> None:
    """A node below takes any root's word."""
    patch(Below, "fresh", lambda self, word: True)


#: By name: what patches the rules, and the options of the world that it is played in.
FAULTS: dict[str, tuple[Callable[[Patch], None] | None, dict[str, Any]]] = {
    "skip-a-sync": (None, {"lying": True}),
    "count-a-wiped-machine": (promise_with_an_empty_disk, {"same_name": True}),
    "count-a-newcomer": (promise_with_an_empty_disk, {}),
    "accept-a-lower-epoch": (forget_promises, {}),
    "acknowledge-at-the-head": (acknowledge_at_the_head, {}),
    "begin-with-the-oldest": (begin_with_the_oldest, {}),
    "decide-alone": (decide_alone, {"copies": 1}),
    "acknowledge-while-cut-off": (acknowledge_while_cut_off, {}),
    "count-old-pulses": (count_old_pulses, {}),
    "stay-the-root": (stay_the_root, {}),
    "lead-alone": (lead_alone, {}),
    "answer-by-old-words": (answer_by_old_words, {}),
    "believe-any-epoch": (believe_any_epoch, {}),
    **operators.FAULTS}


@contextmanager
def fault(name: str) -> Iterator[dict[str, Any]]:
    """While a rule is left out; gives the options for the world."""
    patched: list[tuple[Any, str, Any]] = []

    def patch(where: Any, what: str, new: Any) -> None:
        patched.append((where, what, getattr(where, what)))
        setattr(where, what, new)
    apply, options = FAULTS[name]
    if apply is not None:
        apply(patch)
    try:
        yield options
    finally:
        for where, what, old in patched:
            setattr(where, what, old)
