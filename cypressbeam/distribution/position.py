"""Where a node stands in the distribution tree: whether it is the root, is fed, or has to look for the root."""

from __future__ import annotations

from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.fencing import EpochFence
from cypressbeam.distribution.heartbeats import Heartbeats
from cypressbeam.distribution.registration import Registration
from cypressbeam.distribution.root_locator import RootLocator
from cypressbeam.distribution.subscription import Subscription


class TreePosition:
    """What follows from the state of the parts; of its own it has only whether this node is the root."""

    def __init__(
        self,
        context: NodeContext,
        fence: EpochFence,
        registration: Registration,
        locator: RootLocator,
        subscription: Subscription,
        heartbeats: Heartbeats,
    ) -> None:
        self.context = context
        self.fence = fence
        self.registration = registration
        self.locator = locator
        self.subscription = subscription
        self.heartbeats = heartbeats
        self.is_root = False

    def known_leader(self) -> str:
        """The root, if its own word is fresh here and nobody is known to have led since; or nobody."""
        if self.is_root:
            return self.context.settings.ip
        fresh = self.heartbeats.is_fresh(self.context.now_s())
        return self.locator.root if fresh and self.subscription.parent is not None and not self.is_stale() else ""

    def assigned_epoch(self) -> int:
        """The epoch of the newest assignment or heartbeat that was given to this node."""
        return max(self.subscription.epoch, self.registration.assigned_epoch())

    def is_stale(self) -> bool:
        """Whether what feeds this node, and its assignment, are of an epoch that is over."""
        return self.assigned_epoch() < self.fence.epoch

    def epoch_of_statements(self) -> int:
        """The epoch under which this node's own statements stand."""
        return self.fence.epoch if self.is_root else self.subscription.epoch

    def needs_root(self, now_s: float) -> bool:
        """Whether the root is to be looked for: nobody feeds this node, or one whose word is over, or has none."""
        return self.subscription.parent is None or self.is_stale() or self.subscription.misses_heartbeat(now_s)

    def may_have_children(self) -> bool:
        """Whether children may subscribe here."""
        return bool(self.fence.vouched_leader()) if self.is_root else not self.needs_root(self.context.now_s())

    def leader_age_s(self) -> float | None:
        """Seconds since the root's word came last; None: it never did."""
        return 0.0 if self.is_root else self.heartbeats.age_s(self.context.now_s())
