"""A node's subscription to its parent in the distribution tree, and when that parent is given up."""

from __future__ import annotations

from collections.abc import Callable

from cypressbeam.distribution.context import NodeContext
from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link

#: The silence after which a parent is given up: a new one must be found, and the updates taken up, well inside the
#: bounds of configuration and draining.
PARENT_TIMEOUT_S = 1.1
#: A parent that misses the root's heartbeat itself sends keep-alives. Its children stay with it for so long after the
#: last heartbeat: a root that is back at once finds the tree as it was. Nodes that hold each other in a circle part
#: then.
HEARTBEAT_TIMEOUT_S = 1.6
#: A node that has a parent and no heartbeat for so long looks for the root beside it: that one may lead no more.
SEARCH_AFTER_S = PARENT_TIMEOUT_S
#: A child that lacks something asks for it again after so long.
REQUEST_INTERVAL_S = 0.3


class Subscription:
    """The parent, what was heard from it, and its place among the assigned parents."""

    def __init__(self, context: NodeContext, request: Callable[[], frames.Subscribe]) -> None:
        """`request` makes the message by which this node subscribes."""
        self.context = context
        self.request = request
        self.parent: Link | None = None
        self.heard_s = 0.0
        """When the parent was heard last."""
        self.heartbeat_s = 0.0
        """When a heartbeat of the root came last, or a new parent was taken."""
        self.epoch = 0
        """Of the last heartbeat that was taken."""
        self.source: Link | None = None
        """The parent, if that came from it since this node subscribed there."""
        self.requested_s = 0.0
        """When the parent was last asked for what this node lacks."""
        self.attempted_parents = 0
        """Parents of the assignment that were tried."""
        self.silent_parents = 0
        """Parents that were given up for silence."""

    def subscribe(self, ip: str) -> None:
        """Subscribe at a node; the old parent goes."""
        # Let go of first: a parent that is left on purpose is not lost, and must not be reported as lost.
        self.unsubscribe()
        self.heard_s = self.heartbeat_s = self.context.now_s()
        self.parent = self.context.peers.link_to(ip)
        self.source = None  # what it gave before says nothing: it may be cut off from the root since
        self.context.peers.bulk_link_to(
            ip
        )  # so that it is there when a body is to be fetched, though links are full then
        self.send_request()

    def unsubscribe(self) -> Link | None:
        """Close the connection to the parent; gives it, if there was one."""
        parent, self.parent = self.parent, None
        if parent is not None:
            parent.close()
        return parent

    def send_request(self) -> None:
        """Tell the parent what is here; it sends what is lacking."""
        self.requested_s = self.context.now_s()
        if self.parent is not None:
            self.parent.send(self.request())

    def may_repeat_request(self, now_s: float) -> bool:
        """Whether the last request is long ago."""
        return now_s - self.requested_s >= REQUEST_INTERVAL_S

    def parent_ip(self) -> str:
        """The parent's address, or nothing."""
        return self.parent.ip if self.parent is not None else ""

    def on_heard(self, ip: str) -> None:
        """A node lives; it may be the parent."""
        if self.parent is not None and self.parent.ip == ip:
            self.heard_s = self.context.now_s()

    def on_heartbeat(self, link: Link, epoch: int, now_s: float) -> None:
        """The parent has passed on a heartbeat of the root."""
        self.heard_s = self.heartbeat_s = now_s
        self.epoch, self.source = epoch, link

    def misses_heartbeat(self, now_s: float) -> bool:
        """Whether the root was not heard, through any parent, for so long that it is to be looked for."""
        return now_s - self.heartbeat_s > SEARCH_AFTER_S

    def failure(self, now_s: float) -> str | None:
        """Why the parent is to be given up, if it is."""
        if self.parent is None:
            return None
        if now_s - self.heard_s > PARENT_TIMEOUT_S:
            return "silent"
        if now_s - self.heartbeat_s > HEARTBEAT_TIMEOUT_S:
            return "alive without a heartbeat of the root"
        return None
