"""Health of this machine's disk: it is unhealthy after a failed write, or while a write stalls."""

from __future__ import annotations

#: A write that takes longer makes the disk count as failed until the write completes.
STALL_TIMEOUT_S = 1.0
#: How long after a failed write the disk is probed.
PROBE_INTERVAL_S = 1.0


class DiskHealth:
    """Tracks the writes in flight and the last failure. Times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        self.pending_since_s: list[float] = []
        """When each write in flight was started, oldest first."""
        self.failed_s: float | None = None
        """When a write last failed; None once a later write has succeeded."""

    def write_begun(self, now_s: float) -> None:
        """Record that a write was submitted to the disk."""
        self.pending_since_s.append(now_s)

    def write_completed(self) -> None:
        """Record that the oldest write in flight is on disk."""
        if self.pending_since_s:
            self.pending_since_s.pop(0)
        self.failed_s = None

    def write_failed(self, now_s: float) -> None:
        """Record that the oldest write in flight failed."""
        if self.pending_since_s:
            self.pending_since_s.pop(0)
        self.failed_s = now_s

    def works(self, now_s: float) -> bool:
        """Whether the disk accepts writes, as far as is known."""
        stalled = bool(self.pending_since_s) and now_s - self.pending_since_s[0] > STALL_TIMEOUT_S
        return not stalled and self.failed_s is None

    def is_idle(self) -> bool:
        """Whether no write is in flight and the last one did not fail."""
        return not self.pending_since_s and self.failed_s is None

    def probe_due(self, now_s: float) -> bool:
        """Whether to probe the disk now, after a failed write."""
        return self.failed_s is not None and now_s - self.failed_s > PROBE_INTERVAL_S and not self.pending_since_s

    def process_paused(self, paused_s: float) -> None:
        """Exclude a pause of the process from the age of the writes in flight: it says nothing about the disk."""
        self.pending_since_s = [since_s + paused_s for since_s in self.pending_since_s]
