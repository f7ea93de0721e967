"""Bootstrap of a new system: proposes its first view. Performs no I/O."""

from __future__ import annotations

from cypressbeam.consensus.effects import SendMessage
from cypressbeam.consensus.views import View, ip_of
from cypressbeam.protocol import frames

#: The epoch of the first view, lower than every epoch that is proposed later.
BOOTSTRAP_EPOCH = 1 << 8
#: The view is proposed once no further candidate has joined for this long.
CANDIDATE_WAIT_S = 0.3
#: How often the view is sent to the members that have not acknowledged it.
REQUEST_INTERVAL_S = 0.4


class Bootstrap:
    """Collects the machines with a disk and proposes the first view. Runs on the first seed of a new system."""

    def __init__(self, min_members: int) -> None:
        """
        :param min_members: how many candidates are needed before a view is proposed.
        """
        self.min_members = min_members
        self.candidates: set[str] = set()
        self.last_candidate_s = 0.0
        self.view: View | None = None
        self.acknowledged: set[str] = set()
        self.requested_s = 0.0

    def add_candidate(self, name: str, now_s: float) -> None:
        """Record that a machine with a disk has joined."""
        if self.view is None and name not in self.candidates:
            self.candidates.add(name)
            self.last_candidate_s = now_s

    def tick(self, now_s: float) -> list[SendMessage]:
        """Propose the view once enough candidates have joined and no more arrive; resend it until acknowledged."""
        settled = now_s - self.last_candidate_s >= CANDIDATE_WAIT_S
        if self.view is None and len(self.candidates) >= self.min_members and settled:
            members = tuple(sorted(self.candidates))
            self.view = View(BOOTSTRAP_EPOCH, members, members)
        if self.view is None or now_s - self.requested_s < REQUEST_INTERVAL_S:
            return []
        self.requested_s = now_s
        frame = frames.BootstrapRequest(self.view.epoch, self.view.chain)
        return [SendMessage(ip_of(name), frame) for name in self.view.chain if name not in self.acknowledged]

    def is_done(self) -> bool:
        """Whether every member of the view has acknowledged it."""
        return self.view is not None and self.acknowledged == set(self.view.chain)
