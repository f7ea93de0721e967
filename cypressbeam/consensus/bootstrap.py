"""The founding of a system: the first view, at the very first start. Pure."""

from __future__ import annotations

from cypressbeam.consensus.chain import Tell, View, ip_of
from cypressbeam.protocol import frames

#: The epoch of the founding view: below all that are proposed later.
FOUNDING_EPOCH = 1 << 8
#: The founder waits so long for one more machine with a disk, and asks a member again that has not agreed yet.
FOUNDING_QUIET_S = 0.3
FOUNDING_AGAIN_S = 0.4


class Founding:
    """At the first seed, at the very first start: gathers the machines with a disk and proposes the first view."""

    def __init__(self, wanted: int) -> None:
        """`wanted` machines are needed at least."""
        self.wanted = wanted
        self.candidates: set[str] = set()
        self.changed_s = 0.0
        self.view: View | None = None
        self.agreed: set[str] = set()
        self.asked_s = 0.0

    def candidate(self, name: str, now_s: float) -> None:
        """A machine with a disk has joined, under this name."""
        if self.view is None and name not in self.candidates:
            self.candidates.add(name)
            self.changed_s = now_s

    def tick(self, now_s: float) -> list[Tell]:
        """Propose the view once enough are there and no more have come for a while; again to those that lack it."""
        quiet = now_s - self.changed_s >= FOUNDING_QUIET_S
        if self.view is None and len(self.candidates) >= self.wanted and quiet:
            members = tuple(sorted(self.candidates))
            self.view = View(FOUNDING_EPOCH, members, members)
        if self.view is None or now_s - self.asked_s < FOUNDING_AGAIN_S:
            return []
        self.asked_s = now_s
        frame = frames.Found(self.view.epoch, self.view.chain)
        return [Tell(ip_of(name), frame) for name in self.view.chain if name not in self.agreed]

    def done(self) -> bool:
        """Whether all members of the view have it."""
        return self.view is not None and self.agreed == set(self.view.chain)
