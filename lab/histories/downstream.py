"""Nodes below the core, and what the core may tell them: a small model beside the histories. Pure.

A root says which epoch it speaks for and which version it has; a node keeps to the highest epoch that it has heard of.
What a machine knows of the others' time is kept as vector times (Fidge 1988, Mattern 1989) of all that it has read, so
that a machine's contact is what the frames prove, whatever its own rules make of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Word:
    """What a root tells: the epoch that it speaks for, who it is, and the version that it has."""

    epoch: int
    root: str
    revision: int


@dataclass(slots=True)
class Below:
    """One node. `take` says whether it takes a word."""

    epoch: int = 0
    revision: int = 0
    roots: dict[int, str] = field(default_factory=dict)
    """Whose word was taken, by epoch."""

    def fresh(self, word: Word) -> bool:
        return word.epoch >= self.epoch

    def take(self, word: Word) -> str | None:
        """Returns what does not hold, if anything."""
        if not self.fresh(word):
            return None
        if self.roots.setdefault(word.epoch, word.root) != word.root:
            return f"two roots were believed in epoch {word.epoch}: {self.roots[word.epoch]} and {word.root}"
        if word.epoch == self.epoch and word.revision <= self.revision:
            return None  # one of the same root's words was overtaken
        before, self.revision, self.epoch = self.revision, word.revision, max(self.epoch, word.epoch)
        if word.revision < before:
            return f"a node goes back from {before} to {word.revision}, which {word.root} tells for {word.epoch}"
        return None


Past = dict[str, float]
NEVER_S = float("-inf")


class Pasts:
    """What each machine's frames have told of the others' time."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.known: dict[str, Past] = {name: {} for name in names}
        """The latest time of each machine that is in a machine's past."""
        self.echoed: dict[str, Past] = {name: {} for name in names}
        """The latest own time that is in the past of what a machine has read of another."""

    def leave(self, name: str, now_s: float) -> Past:
        """What goes with a frame."""
        self.known[name][name] = now_s
        return self.known[name].copy()

    def read(self, name: str, origin: str, past: Past) -> None:
        known, echoed = self.known[name], self.echoed[name]
        echoed[origin] = max(echoed.get(origin, NEVER_S), past.get(name, NEVER_S))
        for other, at_s in past.items():
            if at_s > known.get(other, NEVER_S):
                known[other] = at_s

    def contact_s(self, name: str, group: tuple[str, ...], now_s: float) -> float:
        """Up to when a majority of the group is proven to have been in reach of a machine."""
        times_s = sorted((now_s if other == name else self.echoed[name].get(other, NEVER_S) for other in group),
                         reverse=True)
        return times_s[len(group) // 2] if group else NEVER_S
