"""The root's heartbeats, as a node sends or forwards them, and the keep-alives sent while there are none."""

from __future__ import annotations

from cypressbeam.protocol import frames

#: Interval of the root's heartbeats.
HEARTBEAT_INTERVAL_S = 0.4
#: A node without a heartbeat for this long sends keep-alives to its children.
KEEP_ALIVE_AFTER_S = 1.5 * HEARTBEAT_INTERVAL_S
#: A node names the root to others for this long after it received a heartbeat or an assignment from it.
FRESHNESS_S = 1.0


class Heartbeats:
    """The last heartbeat that was sent or forwarded, and the last sequence number of each root's term."""

    def __init__(self) -> None:
        self.numbers: dict[int, int] = {}
        """Number of the last heartbeat, by the root's term."""
        self.last: frames.RootHeartbeat | None = None
        """The last heartbeat that was sent or forwarded."""
        self.root_heard_s: float | None = None
        """When the last heartbeat or assignment of the root was received."""
        self.keep_alive_due_s = 0.0

    def is_new(self, heartbeat: frames.RootHeartbeat) -> bool:
        """Whether a heartbeat was not received before. Assignments made at different times can form a cycle of parents.
        A repeated heartbeat is neither forwarded nor counted as received, so that nodes in a cycle time out and search
        for the root."""
        return heartbeat.number > self.numbers.get(heartbeat.term, 0)

    def record(self, heartbeat: frames.RootHeartbeat, now_s: float) -> None:
        """Record a new heartbeat."""
        self.numbers[heartbeat.term] = heartbeat.number
        self.root_heard_s = now_s

    def next_number(self, term: int) -> int:
        """The number of the root's next heartbeat."""
        return self.numbers.get(term, 0) + 1

    def is_fresh(self, now_s: float) -> bool:
        """Whether the root was heard within `FRESHNESS_S`."""
        return self.root_heard_s is not None and now_s - self.root_heard_s <= FRESHNESS_S

    def age_s(self, now_s: float) -> float | None:
        """Seconds since the root was last heard; None if it never was."""
        return now_s - self.root_heard_s if self.root_heard_s is not None else None

    def keep_alive_due(self, now_s: float, heartbeat_s: float) -> bool:
        """Whether to send a keep-alive to the children now, where the last heartbeat was received at `heartbeat_s`."""
        if now_s - heartbeat_s <= KEEP_ALIVE_AFTER_S or now_s < self.keep_alive_due_s:
            return False
        self.keep_alive_due_s = now_s + HEARTBEAT_INTERVAL_S
        return True
