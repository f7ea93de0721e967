"""A node's registration at the root, and the assignment that it received.

The root's node registry is soft state, so a node renews its registration every `RENEWAL_INTERVAL_S`.
"""

from __future__ import annotations

from collections.abc import Callable

from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.node_registry import RENEWAL_INTERVAL_S
from cypressbeam.protocol import frames

#: A node whose event loop was recently delayed by more than this asks to be assigned no children; and the factor by
#: which the recorded delay decays at each tick.
OVERLOAD_LAG_S, LAG_DECAY = 0.3, 0.97
#: Timeout for the answer of a known root before the next request to it, plus a random delay up to the jitter.
RESPONSE_TIMEOUT_S = 0.4
RESPONSE_JITTER_S = 0.1


class LoopLag:
    """The recent delay of the event loop, decaying over time."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.due_s = 0.0
        """Time of the next tick; 0 before the first one."""

    def on_tick(self, now_s: float, period_s: float) -> None:
        """Measure the delay of a tick of a periodic timer."""
        late_s = now_s - self.due_s if self.due_s else 0.0
        self.lag_s = max(late_s, self.lag_s * LAG_DECAY)
        self.due_s = now_s + period_s

    def is_overloaded(self) -> bool:
        """Whether the event loop was delayed by more than `OVERLOAD_LAG_S`."""
        return self.lag_s > OVERLOAD_LAG_S


class Registration:
    """The node's data for the registration, and the newest assignment (`ParentAssignment`) from the root."""

    def __init__(self, context: NodeContext, flags: int) -> None:
        self.context = context
        self.flags = flags
        self.identity = ""
        """The member name of a machine with a disk, otherwise empty."""
        self.assignment: frames.ParentAssignment | None = None
        self.edge_count = 0
        """Number of nodes that serve clients; 0 while unknown."""
        self.lost_parent = ""
        """Address of a lost parent that is to be reported to the root."""
        self.registered_s = 0.0
        """When the root last answered."""
        self.due_s = 0.0
        """Earliest time of the next request to a known root."""
        self.is_draining = False
        self.lag = LoopLag()
        self.on_assigned: Callable[[], None] = lambda: None

    def request(self, epoch: int, assigned_epoch: int) -> frames.JoinRequest:
        """The registration message, with the highest epoch seen and the newest epoch of an assignment or heartbeat."""
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
            settings.link_kbps,
            epoch,
            assigned_epoch,
        )

    def is_due(self, now_s: float) -> bool:
        """Whether the registration must be renewed."""
        return not self.is_draining and now_s - self.registered_s >= RENEWAL_INTERVAL_S

    def take_request_slot(self, now_s: float) -> bool:
        """Whether a request to a known root may be sent now; if so, the next one is delayed."""
        if now_s < self.due_s:
            return False
        self.due_s = now_s + RESPONSE_TIMEOUT_S + self.context.rng.uniform(0.0, RESPONSE_JITTER_S)
        return True

    def assign(self, assignment: frames.ParentAssignment, now_s: float) -> None:
        """Store the assignment that the root sent."""
        self.registered_s, self.lost_parent = now_s, ""
        self.assignment = assignment
        self.edge_count = assignment.edge_count or self.edge_count

    def chain(self) -> tuple[str, ...]:
        """Addresses of the core's chain from the assignment."""
        return self.assignment.chain if self.assignment is not None else ()

    def assigned_epoch(self) -> int:
        """The epoch of the assignment; 0 without one."""
        return self.assignment.epoch if self.assignment is not None else 0
