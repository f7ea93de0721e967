"""A node's place in the distribution tree: joins the parts of `distribution/`, and handles the tree's messages.

A node registers at the root, subscribes to one of the parents that it is assigned, passes on to its own children what
comes from there, and takes another parent when that one fails. At the root all that goes down begins here.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from cypressbeam.distribution.children import Children
from cypressbeam.distribution.configuration_replica import ConfigurationReplica
from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.endpoint_list_replica import ServerListReplica
from cypressbeam.distribution.feed import Feed
from cypressbeam.distribution.fencing import EpochFence
from cypressbeam.distribution.heartbeats import Heartbeats
from cypressbeam.distribution.position import TreePosition
from cypressbeam.distribution.registration import Registration
from cypressbeam.distribution.root_locator import RootLocator
from cypressbeam.distribution.subscription import Subscription
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import Settings
from cypressbeam.transport.peers import Link, Peers

log = logging.getLogger(__name__)

TICK_S = 0.1

#: By the type of a message: what handles it, given the connection that it came on.
Handlers = dict[type[frames.Frame], Callable[[Link, Any], None]]


class Relay:
    """The node's end of the tree."""

    def __init__(self, settings: Settings, peers: Peers, flags: int) -> None:
        self.context = NodeContext(settings, peers)
        self.fence = EpochFence()
        self.registration = Registration(self.context, flags)
        self.locator = RootLocator(self.context, self.fence, self.registration, self.register, self.resume_search)
        self.subscription = Subscription(self.context, self.subscribe_request)
        self.heartbeats = Heartbeats()
        self.position = TreePosition(
            self.context, self.fence, self.registration, self.locator, self.subscription, self.heartbeats
        )
        self.fence.vouched = self.position.named
        self.children = Children()
        self.configuration = ConfigurationReplica(
            self.context, self.fence, self.children.tell, self.position.standing, self.subscription.parent_ip
        )
        self.servers = ServerListReplica()
        self.feed = Feed(self.position, self.children, self.configuration, self.servers)
        peers.blobs.fetcher.on_progress = self.subscription.on_heard
        peers.blobs.fetcher.others = self.body_sources

    def handlers(self) -> Handlers:
        """The messages of the tree, but for `Join`, which is the core's at the root."""
        return {
            frames.RootHeartbeat: self.on_beat,
            frames.ConfigurationAnnouncement: self.configuration.on_news,
            frames.ConfigurationDelta: self.configuration.on_update,
            frames.EndpointUpdate: self.on_servers_message,
            frames.KeepAlive: self.on_alive,
            frames.Unsubscribed: self.on_released,
            frames.Subscribe: self.feed.on_attach,
            frames.LeaderRedirect: self.on_refer,
            frames.ParentAssignment: self.on_placed,
        }

    def start(self) -> None:
        """Begin to search for the root."""
        self.tick()

    def tick(self) -> None:
        """Look after the parent, the children and the registration; every `TICK_S`."""
        self.context.loop.call_later(TICK_S, self.tick)
        now_s = self.context.now_s()
        self.registration.lag.on_tick(now_s, TICK_S)
        if self.position.is_root:
            return
        failure = self.subscription.failure(now_s)
        if failure is not None:
            self.subscription.silences += 1
            log.warning("parent %s %s", self.subscription.parent_ip(), failure)
            self.leave_parent()
        if self.heartbeats.keep_alive_due(now_s, self.subscription.beat_s):
            self.children.tell(frames.KeepAlive())
        self.locator.searching = self.locator.searching and self.position.seeks(now_s)
        if self.position.seeks(now_s) or self.registration.expires(now_s):
            self.join(now_s)

    # -- joining -------------------------------------------------------------------------------------------

    def join(self, now_s: float) -> None:
        """Register anew, or again at the root that feeds this node still; the node registry there is soft state."""
        if self.position.seeks(now_s):
            self.locator.seek(now_s)
        elif self.registration.may_ask(now_s):
            self.locator.renew(now_s)

    def resume_search(self) -> None:
        """Go on with the search, if the root is still looked for."""
        now_s = self.context.now_s()
        if not self.position.is_root and self.position.seeks(now_s):
            self.locator.seek(now_s)

    def register(self, target: str) -> None:
        """Send the registration to a node that may be the root, or know it."""
        self.context.peers.send(target, self.registration.request(self.fence.epoch, self.position.given()))

    def on_refer(self, link: Link, frame: frames.LeaderRedirect) -> None:
        """Another node names the root, or nobody. One that names a root of an epoch that is over learns that."""
        self.fence.learn_group(frame.group, frame.epoch)
        # Who names nobody is not answered: two that know no root would go on telling each other.
        if frame.leader and self.fence.rejects(link, frame.epoch):
            return
        self.fence.see(frame.epoch)
        if not self.position.is_root:
            now_s = self.context.now_s()
            self.locator.on_redirect(link.ip, frame.leader, now_s, self.position.seeks(now_s))

    def on_placed(self, link: Link, frame: frames.ParentAssignment) -> None:
        """The root assigns parents to this node."""
        if self.fence.rejects(link, frame.epoch) or self.position.is_root:
            return
        now_s, subscription = self.context.now_s(), self.subscription
        # The root that feeds it lives, and there is no beat: the way is being mended, and is soon left if it isn't.
        waits = (
            subscription.parent is not None
            and subscription.misses_heartbeat(now_s)
            and subscription.epoch == frame.epoch
        )
        self.heartbeats.root_heard_s = now_s
        self.locator.found(link.ip)
        self.registration.assign(frame, now_s)
        self.fence.learn_group(frame.group or frame.chain, frame.epoch)
        self.registration.on_assigned()
        if waits:
            subscription.tried = -1
            return
        self.locator.search.over()
        if subscription.parent is None or subscription.parent.ip not in frame.parents:
            subscription.tried = 0
            subscription.begin(frame.parents[0])
        elif subscription.epoch < frame.epoch:
            subscription.ask()  # the parent may not have heard yet

    # -- the parent ----------------------------------------------------------------------------------------

    def subscribe_request(self) -> frames.Subscribe:
        """What this node tells its parent that it has."""
        listing = self.servers.listing
        return frames.Subscribe(
            self.context.settings.node, self.configuration.revision, listing.life, listing.seq, self.fence.epoch
        )

    def leave_parent(self) -> None:
        """The parent has failed: the next one of the assignment is tried, or the root asked for others."""
        subscription, registration = self.subscription, self.registration
        if subscription.parent is None:
            return
        registration.lost = subscription.parent.ip
        subscription.end()
        registration.due_s = 0.0
        subscription.tried += 1
        assignment = registration.assignment
        if assignment is not None and subscription.tried < len(assignment.parents) and not self.position.behind():
            subscription.begin(assignment.parents[subscription.tried])
            registration.registered_s = 0.0  # and tell the root who was lost
        else:
            self.locator.forget_if(registration.lost)

    def link_lost(self, link: Link) -> None:
        """A connection is lost: of a child, of the parent, or of one that was asked for the root."""
        self.children.remove(link)
        if link is self.subscription.parent:
            log.info("the connection to parent %s is lost", link.ip)
            self.leave_parent()
        self.locator.on_no_help(link.ip)

    def on_released(self, link: Link, frame: frames.Unsubscribed) -> None:
        """The parent feeds this node no more."""
        subscription = self.subscription
        if link is not subscription.parent:
            return
        subscription.parent = None
        if subscription.source is not link:
            self.registration.lost = link.ip  # it had no beat to give: the root thinks better of it than it is
        self.locator.forget_if(link.ip)
        self.registration.due_s = 0.0

    def on_alive(self, link: Link, frame: frames.KeepAlive) -> None:
        """The parent lives, though it has no heartbeat to pass on."""
        if link is self.subscription.parent:
            self.subscription.heard_s = self.context.now_s()

    def on_servers_message(self, link: Link, frame: frames.EndpointUpdate) -> None:
        """The parent sends the list of servers, or changes of it."""
        if link is not self.subscription.parent or self.fence.rejects(link, frame.epoch):
            return
        changed = self.servers.apply(frame)
        if changed is None:
            self.subscription.ask()
        elif changed:
            self.children.tell(frame)
            self.servers.on_change()

    def on_beat(self, link: Link, frame: frames.RootHeartbeat) -> None:
        """The parent passes on a heartbeat of the root."""
        subscription = self.subscription
        if (
            link is not subscription.parent
            or self.fence.rejects(link, frame.epoch)
            or not self.heartbeats.is_new(frame)
        ):
            return
        now_s = self.context.now_s()
        self.heartbeats.take(frame, now_s)
        subscription.on_heartbeat(link, frame.epoch, now_s)
        self.servers.confirm(frame)
        self.feed.pass_beat(frame)
        if frame.edge_count and frame.edge_count != self.registration.fronts:
            self.registration.fronts = frame.edge_count
            self.registration.on_assigned()
        self.configuration.note_behind(frame.revision)
        lacks = self.configuration.lacks(frame.revision) or self.servers.lacks(frame)
        if lacks and subscription.may_ask_again(now_s):
            subscription.ask()

    def leave(self) -> None:
        """This node is going to end: others feed its children from now on; updates still come until then."""
        self.registration.leaving = True
        if self.locator.root:
            self.context.peers.send(self.locator.root, frames.LeaveNotice(self.context.settings.node))
        self.children.release()

    def body_sources(self) -> list[str]:
        """Who has the newest version for sure, or soon, whatever the tree is like: the parent, and the core in any
        order, so that those who turn there together don't all ask one machine."""
        members = [*(self.registration.chain() or self.fence.group)]
        self.context.chance.shuffle(members)
        known = [self.subscription.parent_ip(), *members, self.locator.root]
        return [ip for ip in dict.fromkeys(known) if ip not in ("", self.context.settings.ip)]

    # -- at the root ---------------------------------------------------------------------------------------

    def become_root(self, life: int, epoch: int) -> None:
        """The list of this root's term goes down from here. What an earlier root told is kept until then."""
        self.fence.see(epoch)
        self.position.is_root = True
        self.servers.begin_term(life)
        self.locator.root = self.context.settings.ip
        self.subscription.end()
        self.feed.beat(life)

    def resign(self) -> None:
        """Another one is the root by now, or none: children look for it, and so does this node."""
        self.position.is_root = False
        self.locator.forget()
        self.registration.due_s = 0.0
        self.children.release()
