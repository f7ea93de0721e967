"""A node's subscription to its parent in the distribution tree, and the detection of a failed parent."""

from __future__ import annotations

from collections.abc import Callable

from cypressbeam.distribution.context import NodeContext
from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link

#: A parent that was silent for this long is replaced. Finding a new one and receiving missed updates must fit well
#: within the deadlines for distributing configurations and drains.
PARENT_TIMEOUT_S = 1.1
#: A parent that receives no heartbeats itself sends keep-alives. Its children stay with it for this long after the last
#: heartbeat, so that the tree survives a short outage of the root. The timeout also breaks up cycles of parents.
HEARTBEAT_TIMEOUT_S = 1.6
#: A node that has a parent but no heartbeat for this long searches for the root in parallel, because the known root may
#: no longer lead.
SEARCH_AFTER_S = PARENT_TIMEOUT_S
#: Interval at which a child repeats the request for state that it lacks.
REQUEST_INTERVAL_S = 0.3


class Subscription:
    """The parent, when it was last heard, and its index among the assigned parents."""

    def __init__(self, context: NodeContext, request: Callable[[], frames.Subscribe]) -> None:
        """`request` creates the subscription message."""
        self.context = context
        self.request = request
        self.parent: Link | None = None
        self.heard_s = 0.0
        """When the parent was last heard."""
        self.heartbeat_s = 0.0
        """When the last heartbeat of the root was received, or the parent changed."""
        self.epoch = 0
        """Epoch of the last accepted heartbeat."""
        self.source: Link | None = None
        """The parent, if it has sent a heartbeat since this node subscribed to it."""
        self.requested_s = 0.0
        """When the subscription message was last sent."""
        self.attempted_parents = 0
        """Index of the parent that was tried last in the assignment; -1 if none of a new assignment was tried."""
        self.silent_parents = 0
        """Number of parents that were replaced because of a timeout."""

    def subscribe(self, ip: str) -> None:
        """Subscribe to a node, and unsubscribe from the previous parent."""
        # First, so that the closed connection of the previous parent is not taken, and reported, for a lost parent.
        self.unsubscribe()
        self.heard_s = self.heartbeat_s = self.context.now_s()
        self.parent = self.context.peers.link_to(ip)
        self.source = None  # earlier heartbeats don't count: it may have been partitioned from the root since
        # Connect the bulk connection now: when a body is to be fetched, a saturated link would delay the handshake.
        self.context.peers.bulk_link_to(ip)
        self.send_request()

    def unsubscribe(self) -> Link | None:
        """Close the connection to the parent; returns it, if there was one."""
        parent, self.parent = self.parent, None
        if parent is not None:
            parent.close()
        return parent

    def send_request(self) -> None:
        """Send the parent the versions that this node has; it replies with newer ones."""
        self.requested_s = self.context.now_s()
        if self.parent is not None:
            self.parent.send(self.request())

    def may_repeat_request(self, now_s: float) -> bool:
        """Whether the last request was at least `REQUEST_INTERVAL_S` ago."""
        return now_s - self.requested_s >= REQUEST_INTERVAL_S

    def parent_ip(self) -> str:
        """The parent's address, or an empty string."""
        return self.parent.ip if self.parent is not None else ""

    def on_heard(self, ip: str) -> None:
        """A node was heard; it may be the parent."""
        if self.parent is not None and self.parent.ip == ip:
            self.heard_s = self.context.now_s()

    def on_heartbeat(self, link: Link, epoch: int, now_s: float) -> None:
        """The parent has forwarded a heartbeat of the root."""
        self.heard_s = self.heartbeat_s = now_s
        self.epoch, self.source = epoch, link

    def misses_heartbeat(self, now_s: float) -> bool:
        """Whether heartbeats have been missing for so long that the node must search for the root."""
        return now_s - self.heartbeat_s > SEARCH_AFTER_S

    def failure(self, now_s: float) -> str | None:
        """The reason to replace the parent, or None."""
        if self.parent is None:
            return None
        if now_s - self.heard_s > PARENT_TIMEOUT_S:
            return "silent"
        if now_s - self.heartbeat_s > HEARTBEAT_TIMEOUT_S:
            return "no heartbeat of the root"
        return None
