"""A node's registration at the root: what it says of itself, and the assignment that it was given.

The root's node registry is soft state, so a node registers again every `RENEWAL_INTERVAL_S`.
"""

from __future__ import annotations

from collections.abc import Callable

from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.node_registry import RENEWAL_INTERVAL_S
from cypressbeam.protocol import frames

#: A node whose event loop was so late lately asks to be given no children; how the lateness fades, each tick.
OVERLOAD_LAG_S, LAG_DECAY = 0.3, 0.97
#: How long the answer of a known root is waited for before the next request to it.
RESPONSE_TIMEOUT_S = 0.4
RESPONSE_JITTER_S = 0.1


class LoopLag:
    """How late the event loop was lately; it fades."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.due_s = 0.0
        """When the next tick is due; 0: there was none yet."""

    def on_tick(self, now_s: float, period_s: float) -> None:
        """The timer has come, and comes again after a period."""
        late_s = now_s - self.due_s if self.due_s else 0.0
        self.lag_s = max(late_s, self.lag_s * LAG_DECAY)
        self.due_s = now_s + period_s

    def is_overloaded(self) -> bool:
        """Whether the node can't keep up with its own work."""
        return self.lag_s > OVERLOAD_LAG_S


class Registration:
    """What a node reports to the root of itself, and the newest assignment (`ParentAssignment`) from there."""

    def __init__(self, context: NodeContext, flags: int) -> None:
        self.context = context
        self.flags = flags
        self.identity = ""
        """Of a machine with a disk: its name as a member."""
        self.assignment: frames.ParentAssignment | None = None
        self.edge_count = 0
        """How many nodes serve clients, as far as is known; 0: not at all."""
        self.lost_parent = ""
        """The address of a lost parent, to be reported to the root."""
        self.registered_s = 0.0
        """When the root answered last."""
        self.due_s = 0.0
        """Not before this time a known root is asked again."""
        self.is_draining = False
        self.lag = LoopLag()
        self.on_assigned: Callable[[], None] = lambda: None

    def request(self, epoch: int, given: int) -> frames.JoinRequest:
        """The registration as it goes to the root, with the highest epoch seen and the newest one of an assignment or
        heartbeat."""
        settings = self.context.settings
        flags = self.flags | (frames.IS_OVERLOADED if self.lag.is_overloaded() else 0)
        return frames.JoinRequest(
            settings.node,
            settings.ip,
            settings.zone,
            flags,
            int(self.assignment is not None),
            self.lost_parent,
            self.identity,
            max(int(settings.link_mbps * 1000), 1),
            epoch,
            given,
        )

    def is_due(self, now_s: float) -> bool:
        """Whether the registration is to be renewed."""
        return not self.is_draining and now_s - self.registered_s >= RENEWAL_INTERVAL_S

    def take_request_slot(self, now_s: float) -> bool:
        """Whether a known root may be asked now; then not again for a while."""
        if now_s < self.due_s:
            return False
        self.due_s = now_s + RESPONSE_TIMEOUT_S + self.context.rng.uniform(0.0, RESPONSE_JITTER_S)
        return True

    def assign(self, assignment: frames.ParentAssignment, now_s: float) -> None:
        """The root has answered."""
        self.registered_s, self.lost_parent = now_s, ""
        self.assignment = assignment
        self.edge_count = assignment.edge_count or self.edge_count

    def chain(self) -> tuple[str, ...]:
        """Addresses of the core's chain, as they came with the assignment."""
        return self.assignment.chain if self.assignment is not None else ()

    def assigned_epoch(self) -> int:
        """The epoch of the assignment; 0: there is none."""
        return self.assignment.epoch if self.assignment is not None else 0
