"""Heartbeats of the root, as a node sends or passes them on, and keep-alives while there is none."""

from __future__ import annotations

from cypressbeam.protocol import frames

#: The root's heartbeat.
HEARTBEAT_INTERVAL_S = 0.4
#: A node that has heard none for so long sends its children keep-alives.
KEEP_ALIVE_AFTER_S = 1.5 * HEARTBEAT_INTERVAL_S
#: A node vouches for the root that it knows for so long after that one's word.
FRESHNESS_S = 1.0


class Heartbeats:
    """The last heartbeat that was sent or passed on, and the last number of each term of a root."""

    def __init__(self) -> None:
        self.numbers: dict[int, int] = {}
        """The last heartbeat's number, by the root's term."""
        self.last: frames.RootHeartbeat | None = None
        """The last one that was sent, or passed on."""
        self.root_heard_s: float | None = None
        """When the root's word, a heartbeat or an assignment, came last."""
        self.keep_alive_due_s = 0.0

    def is_new(self, beat: frames.RootHeartbeat) -> bool:
        """Assignments that were made at different times can make a circle of parents. A heartbeat that comes again
        neither goes on nor counts as heard, so those in a circle soon look for the root."""
        return beat.number > self.numbers.get(beat.term, 0)

    def record(self, beat: frames.RootHeartbeat, now_s: float) -> None:
        """A new one has come."""
        self.numbers[beat.term] = beat.number
        self.root_heard_s = now_s

    def next_number(self, life: int) -> int:
        """For the root: the number of the heartbeat after the last."""
        return self.numbers.get(life, 0) + 1

    def is_fresh(self, now_s: float) -> bool:
        """Whether the root's word came lately."""
        return self.root_heard_s is not None and now_s - self.root_heard_s <= FRESHNESS_S

    def age_s(self, now_s: float) -> float | None:
        """Seconds since the root's word came last; None: it never did."""
        return now_s - self.root_heard_s if self.root_heard_s is not None else None

    def keep_alive_due(self, now_s: float, beat_s: float) -> bool:
        """Whether children are to be sent a keep-alive now, the last heartbeat having come at `beat_s`."""
        if now_s - beat_s <= KEEP_ALIVE_AFTER_S or now_s < self.keep_alive_due_s:
            return False
        self.keep_alive_due_s = now_s + HEARTBEAT_INTERVAL_S
        return True
