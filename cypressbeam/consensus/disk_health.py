"""Whether this machine's disk takes writes: one that has refused a write, or holds one up for long, does not."""

from __future__ import annotations

#: A write that has not come back by then is a disk that does not work, until it does.
STALL_TIMEOUT_S = 1.0
#: A disk that refused a write is probed after so long.
PROBE_INTERVAL_S = 1.0


class DiskHealth:
    """The writes that are under way, and the last refusal. Times in seconds of a steady clock."""

    def __init__(self) -> None:
        self.pending_since_s: list[float] = []
        """When the writes that have not come back were begun, the oldest first."""
        self.failed_s: float | None = None
        """When the disk refused a write, unless one has gone through since."""

    def write_begun(self, now_s: float) -> None:
        """A write is handed to the disk."""
        self.pending_since_s.append(now_s)

    def write_completed(self) -> None:
        """The oldest write is on disk."""
        if self.pending_since_s:
            self.pending_since_s.pop(0)
        self.failed_s = None

    def write_failed(self, now_s: float) -> None:
        """The disk refused the oldest write."""
        if self.pending_since_s:
            self.pending_since_s.pop(0)
        self.failed_s = now_s

    def works(self, now_s: float) -> bool:
        """Whether the disk takes writes, as far as is known."""
        stalled = bool(self.pending_since_s) and now_s - self.pending_since_s[0] > STALL_TIMEOUT_S
        return not stalled and self.failed_s is None

    def is_idle(self) -> bool:
        """Whether no write is under way and none was refused."""
        return not self.pending_since_s and self.failed_s is None

    def probe_due(self, now_s: float) -> bool:
        """Whether a disk that refused a write is to be probed now."""
        return self.failed_s is not None and now_s - self.failed_s > PROBE_INTERVAL_S and not self.pending_since_s

    def process_paused(self, paused_s: float) -> None:
        """The process stood still for so long: no write was slow for that."""
        self.pending_since_s = [since_s + paused_s for since_s in self.pending_since_s]
