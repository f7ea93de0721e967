"""A node's position in the distribution tree: whether it is the root, has a valid parent, or must search for the
root."""

from __future__ import annotations

from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.fencing import EpochFence
from cypressbeam.distribution.heartbeats import Heartbeats
from cypressbeam.distribution.registration import Registration
from cypressbeam.distribution.root_locator import RootLocator
from cypressbeam.distribution.subscription import Subscription


class TreePosition:
    """Derives the position from the state of the other components; its only own state is whether this node is the
    root."""

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
        """Address of the root if it was heard recently and no node is known to have led since, otherwise empty."""
        if self.is_root:
            return self.context.settings.ip
        fresh = self.heartbeats.is_fresh(self.context.now_s())
        return self.locator.root if fresh and self.subscription.parent is not None and not self.is_stale() else ""

    def assigned_epoch(self) -> int:
        """The epoch of the newest assignment or heartbeat that this node has received."""
        return max(self.subscription.epoch, self.registration.assigned_epoch())

    def is_stale(self) -> bool:
        """Whether the parent and the assignment are of an epoch that is over."""
        return self.assigned_epoch() < self.fence.epoch

    def message_epoch(self) -> int:
        """The epoch of messages that this node sends: at the root the current one, otherwise that of the last
        heartbeat, even if a higher one was seen since."""
        return self.fence.epoch if self.is_root else self.subscription.epoch

    def needs_root(self, now_s: float) -> bool:
        """Whether to search for the root: there is no parent, it is of an old epoch, or it sends no heartbeats."""
        return self.subscription.parent is None or self.is_stale() or self.subscription.misses_heartbeat(now_s)

    def may_have_children(self) -> bool:
        """Whether nodes may subscribe here."""
        return bool(self.fence.vouched_leader()) if self.is_root else not self.needs_root(self.context.now_s())

    def leader_age_s(self) -> float | None:
        """Seconds since the root was last heard; None if it never was."""
        return 0.0 if self.is_root else self.heartbeats.age_s(self.context.now_s())
