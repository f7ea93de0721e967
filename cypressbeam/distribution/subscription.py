"""A node's subscription to its parent in the distribution tree, and when that parent is given up."""

from __future__ import annotations

from collections.abc import Callable

from cypressbeam.distribution.context import NodeContext
from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link

#: The silence after which a parent is given up: a new one must be found, and the updates taken up, well inside the
#: bounds of configuration and draining.
SILENCE_S = 1.1
#: A parent that misses the root's heartbeat itself sends keep-alives. Its children stay with it for so long after the
#: last heartbeat: a root that is back at once finds the tree as it was. Nodes that hold each other in a circle part
#: then.
HOLD_S = 1.6
#: A node that has a parent and no heartbeat for so long looks for the root beside it: that one may lead no more.
SEEK_S = SILENCE_S
#: A child that lacks something asks for it again after so long.
ASK_AGAIN_S = 0.3


class Subscription:
    """The parent, what was heard from it, and its place among the assigned parents."""

    def __init__(self, context: NodeContext, request: Callable[[], frames.Subscribe]) -> None:
        """`request` makes the message by which this node subscribes."""
        self.context = context
        self.request = request
        self.parent: Link | None = None
        self.heard_s = 0.0
        """When the parent was heard last."""
        self.beat_s = 0.0
        """When a heartbeat of the root came last, or a new parent was taken."""
        self.epoch = 0
        """Of the last heartbeat that was taken."""
        self.source: Link | None = None
        """The parent, if that came from it since this node subscribed there."""
        self.asked_s = 0.0
        """When the parent was last asked for what this node lacks."""
        self.tried = 0
        """Parents of the assignment that were tried."""
        self.silences = 0
        """Parents that were given up for silence."""

    def begin(self, ip: str) -> None:
        """Subscribe at a node; the old parent goes."""
        # Let go of first: a parent that is left on purpose is not lost, and must not be told to be.
        self.end()
        self.heard_s = self.beat_s = self.context.now_s()
        self.parent = self.context.peers.to(ip)
        self.source = None  # what it gave before says nothing: it may be cut off from the root since
        self.context.peers.bulk(ip)  # so that it is there when a body is to be fetched, though links are full then
        self.ask()

    def end(self) -> Link | None:
        """Close the connection to the parent; gives it, if there was one."""
        parent, self.parent = self.parent, None
        if parent is not None:
            parent.close()
        return parent

    def ask(self) -> None:
        """Tell the parent what is here; it sends what is lacking."""
        self.asked_s = self.context.now_s()
        if self.parent is not None:
            self.parent.send(self.request())

    def may_ask_again(self, now_s: float) -> bool:
        """Whether the last request is long ago."""
        return now_s - self.asked_s >= ASK_AGAIN_S

    def parent_ip(self) -> str:
        """The parent's address, or nothing."""
        return self.parent.ip if self.parent is not None else ""

    def on_heard(self, ip: str) -> None:
        """A node lives; it may be the parent."""
        if self.parent is not None and self.parent.ip == ip:
            self.heard_s = self.context.now_s()

    def on_heartbeat(self, link: Link, epoch: int, now_s: float) -> None:
        """The parent has passed on a heartbeat of the root."""
        self.heard_s = self.beat_s = now_s
        self.epoch, self.source = epoch, link

    def misses_heartbeat(self, now_s: float) -> bool:
        """Whether the root was not heard, through any parent, for so long that it is to be looked for."""
        return now_s - self.beat_s > SEEK_S

    def failure(self, now_s: float) -> str | None:
        """Why the parent is to be given up, if it is."""
        if self.parent is None:
            return None
        if now_s - self.heard_s > SILENCE_S:
            return "has fallen silent"
        if now_s - self.beat_s > HOLD_S:
            return "lives and has no beat to pass on"
        return None
