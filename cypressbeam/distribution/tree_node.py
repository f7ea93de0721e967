"""A node of the distribution tree: combines the components of `distribution/`, and handles the tree's messages.

A node registers at the root, subscribes to one of its assigned parents, forwards updates to its own children, and
switches to another parent when that one fails. The root is the source of all updates.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from cypressbeam.distribution.children import Children
from cypressbeam.distribution.configuration_replica import ConfigurationReplica
from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.endpoint_list_replica import EndpointListReplica
from cypressbeam.distribution.feed import ChildFeed
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

#: Handlers by message type, called with the connection that a message was received on.
Handlers = dict[type[frames.Frame], Callable[[Link, Any], None]]


class TreeNode:
    """The components of one node of the tree."""

    def __init__(self, settings: Settings, peers: Peers, flags: int) -> None:
        self.context = NodeContext(settings, peers)
        self.fence = EpochFence()
        self.registration = Registration(self.context, flags)
        self.locator = RootLocator(
            self.context, self.fence, self.registration, self.send_registration, self.resume_search
        )
        self.subscription = Subscription(self.context, self.subscribe_request)
        self.heartbeats = Heartbeats()
        self.position = TreePosition(
            self.context, self.fence, self.registration, self.locator, self.subscription, self.heartbeats
        )
        self.fence.vouched_leader = self.position.known_leader
        self.children = Children()
        self.configuration = ConfigurationReplica(
            self.context,
            self.fence,
            self.children.broadcast,
            self.position.message_epoch,
            self.subscription.parent_ip,
        )
        self.endpoints = EndpointListReplica()
        self.feed = ChildFeed(self.position, self.children, self.configuration, self.endpoints)
        peers.blobs.fetcher.on_progress = self.subscription.on_heard
        peers.blobs.fetcher.other_sources = self.blob_sources

    def handlers(self) -> Handlers:
        """The handlers of the tree's messages, except for `JoinRequest`, which the root's core handles."""
        return {
            frames.RootHeartbeat: self.on_heartbeat,
            frames.ConfigurationAnnouncement: self.configuration.on_announcement,
            frames.ConfigurationDelta: self.configuration.on_delta,
            frames.EndpointUpdate: self.on_endpoint_update,
            frames.KeepAlive: self.on_keep_alive,
            frames.Unsubscribed: self.on_unsubscribed,
            frames.Subscribe: self.feed.on_subscribe,
            frames.LeaderRedirect: self.on_leader_redirect,
            frames.ParentAssignment: self.on_assignment,
        }

    def start(self) -> None:
        """Start the timer, which starts the search for the root."""
        self.tick()

    def tick(self) -> None:
        """Check the parent, the children and the registration; called every `TICK_S`."""
        self.context.loop.call_later(TICK_S, self.tick)
        now_s = self.context.now_s()
        self.registration.lag.on_tick(now_s, TICK_S)
        if self.position.is_root:
            return
        failure = self.subscription.failure(now_s)
        if failure is not None:
            self.subscription.silent_parents += 1
            log.warning("leaving parent %s: %s", self.subscription.parent_ip(), failure)
            self.leave_parent()
        if self.heartbeats.keep_alive_due(now_s, self.subscription.heartbeat_s):
            self.children.broadcast(frames.KeepAlive())
        self.locator.is_searching = self.locator.is_searching and self.position.needs_root(now_s)
        if self.position.needs_root(now_s) or self.registration.is_due(now_s):
            self.register_or_search(now_s)

    # -- joining -------------------------------------------------------------------------------------------

    def register_or_search(self, now_s: float) -> None:
        """Search for the root if needed, otherwise renew the registration there."""
        if self.position.needs_root(now_s):
            self.locator.search_step(now_s)
        elif self.registration.take_request_slot(now_s):
            self.locator.renew(now_s)

    def resume_search(self) -> None:
        """Continue the search, if the root is still needed."""
        now_s = self.context.now_s()
        if not self.position.is_root and self.position.needs_root(now_s):
            self.locator.search_step(now_s)

    def send_registration(self, target: str) -> None:
        """Send the registration to a node that may be the root or know it."""
        self.context.peers.send(target, self.registration.request(self.fence.epoch, self.position.assigned_epoch()))

    def on_leader_redirect(self, link: Link, frame: frames.LeaderRedirect) -> None:
        """Another node names the root, or says that it knows none. If it names one of an old epoch it is told the
        current epoch."""
        self.fence.learn_group(frame.group, frame.epoch)
        # A redirect without a root is not answered: two nodes that know no root would answer each other endlessly.
        if frame.leader and self.fence.rejects(link, frame.epoch):
            return
        self.fence.observe(frame.epoch)
        if not self.position.is_root:
            now_s = self.context.now_s()
            self.locator.on_redirect(link.ip, frame.leader, now_s, self.position.needs_root(now_s))

    def on_assignment(self, link: Link, frame: frames.ParentAssignment) -> None:
        """The root assigns parents to this node."""
        if self.fence.rejects(link, frame.epoch) or self.position.is_root:
            return
        now_s, subscription = self.context.now_s(), self.subscription
        # The root is alive but its heartbeats are missing: the path to it is probably being repaired. Keep the parent
        # for now; it is replaced after HEARTBEAT_TIMEOUT_S otherwise.
        awaits_heartbeat = (
            subscription.parent is not None
            and subscription.misses_heartbeat(now_s)
            and subscription.epoch == frame.epoch
        )
        self.heartbeats.root_heard_s = now_s
        self.locator.confirm_root(link.ip)
        self.registration.assign(frame, now_s)
        self.fence.learn_group(frame.group or frame.chain, frame.epoch)
        self.registration.on_assigned()
        if awaits_heartbeat:
            subscription.attempted_parents = -1
            return
        self.locator.search.reset()
        if subscription.parent is None or subscription.parent.ip not in frame.parents:
            subscription.attempted_parents = 0
            subscription.subscribe(frame.parents[0])
        elif subscription.epoch < frame.epoch:
            subscription.send_request()  # the parent may not know the new epoch yet

    # -- the parent ----------------------------------------------------------------------------------------

    def subscribe_request(self) -> frames.Subscribe:
        """The subscription message, with the versions that this node has."""
        endpoints = self.endpoints.endpoints
        return frames.Subscribe(
            self.context.settings.node,
            self.configuration.revision,
            endpoints.term,
            endpoints.sequence,
            self.fence.epoch,
        )

    def leave_parent(self) -> None:
        """The parent has failed: try the next one of the assignment, or ask the root for another assignment."""
        subscription, registration = self.subscription, self.registration
        if subscription.parent is None:
            return
        registration.lost_parent = subscription.parent.ip
        subscription.unsubscribe()
        registration.due_s = 0.0
        subscription.attempted_parents += 1
        assignment = registration.assignment
        if (
            assignment is not None
            and subscription.attempted_parents < len(assignment.parents)
            and not self.position.is_stale()
        ):
            subscription.subscribe(assignment.parents[subscription.attempted_parents])
            registration.registered_s = 0.0  # renew the registration, to report the lost parent to the root
        else:
            self.locator.forget_if(registration.lost_parent)

    def link_lost(self, link: Link) -> None:
        """A connection was lost: to a child, to the parent, or to a node that was asked for the root."""
        self.children.remove(link)
        if link is self.subscription.parent:
            log.info("lost connection to parent %s", link.ip)
            self.leave_parent()
        self.locator.on_no_root(link.ip)

    def on_unsubscribed(self, link: Link, frame: frames.Unsubscribed) -> None:
        """The parent has unsubscribed this node."""
        subscription = self.subscription
        if link is not subscription.parent:
            return
        subscription.parent = None
        if subscription.source is not link:
            # It has sent no heartbeat: report it, because the root assigned it as a working parent.
            self.registration.lost_parent = link.ip
        self.locator.forget_if(link.ip)
        self.registration.due_s = 0.0

    def on_keep_alive(self, link: Link, frame: frames.KeepAlive) -> None:
        """The parent is alive but has no heartbeat to forward."""
        if link is self.subscription.parent:
            self.subscription.heard_s = self.context.now_s()

    def on_endpoint_update(self, link: Link, frame: frames.EndpointUpdate) -> None:
        """The parent sends the list of servers, or changes to it."""
        if link is not self.subscription.parent or self.fence.rejects(link, frame.epoch):
            return
        changed = self.endpoints.apply(frame)
        if changed is None:
            self.subscription.send_request()
        elif changed:
            self.children.broadcast(frame)
            self.endpoints.on_change()

    def on_heartbeat(self, link: Link, frame: frames.RootHeartbeat) -> None:
        """The parent forwards a heartbeat of the root."""
        subscription = self.subscription
        if (
            link is not subscription.parent
            or self.fence.rejects(link, frame.epoch)
            or not self.heartbeats.is_new(frame)
        ):
            return
        now_s = self.context.now_s()
        self.heartbeats.record(frame, now_s)
        subscription.on_heartbeat(link, frame.epoch, now_s)
        self.endpoints.confirm(frame)
        self.feed.forward_heartbeat(frame)
        if frame.edge_count and frame.edge_count != self.registration.edge_count:
            self.registration.edge_count = frame.edge_count
            self.registration.on_assigned()
        self.configuration.report_lag(frame.revision)
        is_behind = self.configuration.is_missing(frame.revision) or self.endpoints.is_missing(frame)
        if is_behind and subscription.may_repeat_request(now_s):
            subscription.send_request()

    def drain(self) -> None:
        """This node is going to shut down: its children must find another parent. It still receives updates until
        then."""
        self.registration.is_draining = True
        if self.locator.root:
            self.context.peers.send(self.locator.root, frames.LeaveNotice(self.context.settings.node))
        self.children.release()

    def blob_sources(self) -> list[str]:
        """Sources that have the newest version, or will soon, independent of the tree: the parent, and the machines of
        the core in random order, so that nodes that need them at the same time don't all ask the same one."""
        members = [*(self.registration.chain() or self.fence.group)]
        self.context.rng.shuffle(members)
        known = [self.subscription.parent_ip(), *members, self.locator.root]
        return [ip for ip in dict.fromkeys(known) if ip not in ("", self.context.settings.ip)]

    # -- at the root ---------------------------------------------------------------------------------------

    def become_root(self, term: int, epoch: int) -> None:
        """Become the root: start a new term of the server list, which replaces the list received from an earlier root,
        and send heartbeats."""
        self.fence.observe(epoch)
        self.position.is_root = True
        self.endpoints.begin_term(term)
        self.locator.root = self.context.settings.ip
        self.subscription.unsubscribe()
        self.feed.start_heartbeats(term)

    def resign(self) -> None:
        """Stop being the root: the children and this node search for the new one."""
        self.position.is_root = False
        self.locator.forget()
        self.registration.due_s = 0.0
        self.children.release()
