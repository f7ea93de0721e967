"""Bootstrap of a system: the first view, at the very first start. Pure."""

from __future__ import annotations

from cypressbeam.consensus.effects import SendMessage
from cypressbeam.consensus.views import View, ip_of
from cypressbeam.protocol import frames

#: The epoch of the first view: below all that are proposed later.
BOOTSTRAP_EPOCH = 1 << 8
#: The first seed waits so long for one more machine with a disk, and asks a member again that has not agreed yet.
CANDIDATE_WAIT_S = 0.3
REQUEST_INTERVAL_S = 0.4


class Bootstrap:
    """At the first seed, at the very first start: gathers the machines with a disk and proposes the first view."""

    def __init__(self, wanted: int) -> None:
        """`wanted` machines are needed at least."""
        self.min_members = wanted
        self.candidates: set[str] = set()
        self.last_candidate_s = 0.0
        self.view: View | None = None
        self.acknowledged: set[str] = set()
        self.requested_s = 0.0

    def add_candidate(self, name: str, now_s: float) -> None:
        """A machine with a disk has joined, under this name."""
        if self.view is None and name not in self.candidates:
            self.candidates.add(name)
            self.last_candidate_s = now_s

    def tick(self, now_s: float) -> list[SendMessage]:
        """Propose the view once enough are there and no more have come for a while; again to those that lack it."""
        quiet = now_s - self.last_candidate_s >= CANDIDATE_WAIT_S
        if self.view is None and len(self.candidates) >= self.min_members and quiet:
            members = tuple(sorted(self.candidates))
            self.view = View(BOOTSTRAP_EPOCH, members, members)
        if self.view is None or now_s - self.requested_s < REQUEST_INTERVAL_S:
            return []
        self.requested_s = now_s
        frame = frames.BootstrapRequest(self.view.epoch, self.view.chain)
        return [SendMessage(ip_of(name), frame) for name in self.view.chain if name not in self.acknowledged]

    def is_done(self) -> bool:
        """Whether all members of the view have it."""
        return self.view is not None and self.acknowledged == set(self.view.chain)
