"""The duties of the leader, the root of the distribution tree: the registry of all nodes, and the endpoint list.

The registry is soft state: a new leader begins with an empty one, and nodes register again within seconds.
Invariant: each statement of the leader is made only while `vouched_leader` says that it leads.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace

from cypressbeam.consensus.views import View
from cypressbeam.distribution.endpoint_list import Endpoint
from cypressbeam.distribution.node_registry import RENEWAL_INTERVAL_S, NodeRegistry
from cypressbeam.distribution.tree_node import TreeNode
from cypressbeam.node.endpoint_poller import EndpointPoller
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import Settings
from cypressbeam.transport.peers import Link

log = logging.getLogger(__name__)

#: A new leader knows only the nodes that have registered since; it reports no number of them before.
COUNTING_S = 5.0
#: The leader tells seeds that have not registered of itself this often.
INTRODUCTION_INTERVAL_S = 0.5
#: A node that is late with its registration by so much, and does not answer those that probe it, is gone.
SUSPICION_S = 1.0
#: Registrations that came so long before this machine leads are answered then; whoever sent an older one has sent
#: another.
EARLY_REGISTRATION_S = 2.0
#: Terms have random numbers below this one; 0 means none.
TERM_BITS = 63


class LeaderRole:
    """What a machine with a disk does while it leads. Times in seconds of the event loop's clock."""

    def __init__(
        self,
        settings: Settings,
        relay: TreeNode,
        send: Callable[[str, frames.Frame], None],
        random_source: Callable[[], random.Random],
        vouched_leader: Callable[[], str],
    ) -> None:
        """
        :param vouched_leader: the leader's address as this machine may name it now, or nothing.
        """
        self.settings = settings
        self.tree = relay
        self.send = send
        self.random_source = random_source
        self.vouched_leader = vouched_leader
        self.loop = asyncio.get_running_loop()
        self.registry = NodeRegistry(settings.node)
        self.since_s = 0.0
        """When this machine took the lead."""
        self.introduced_s = 0.0
        self.poller: asyncio.Task[None] | None = None
        self.early: dict[str, tuple[Link, frames.JoinRequest, float]] = {}
        """Registrations that came while this machine was about to lead, by node, and when."""

    # -- taking and leaving the lead -----------------------------------------------------------------------

    def begin(self, view: View, take_list: Callable[[list[Endpoint]], None]) -> None:
        """This machine leads from now on. `take_list` gets the platform's list, again and again."""
        settings = self.settings
        log.info("became root: epoch %d", view.epoch)
        self.since_s = self.loop.time()
        self.tree.become_root(self.random_source().getrandbits(TERM_BITS) | 1, view.epoch)
        self.registry = NodeRegistry(settings.node)
        self.registry.register(self.own_registration(), self.since_s)
        if settings.platform is not None:
            poller = EndpointPoller(settings.platform, take_list, self.random_source())
            self.poller = self.loop.create_task(poller.run())
        early, self.early = self.early, {}
        for link, request, came_s in early.values():
            if not link.closed and self.since_s - came_s <= EARLY_REGISTRATION_S:
                self.on_join(link, request, view)

    def own_registration(self) -> frames.JoinRequest:
        """The leader is a node as well."""
        settings = self.settings
        return frames.JoinRequest(
            settings.node,
            settings.ip,
            settings.zone,
            self.tree.registration.flags,
            1,
            "",
            kbps=max(int(settings.link_mbps * 1000), 1),
        )

    def end(self) -> None:
        """Another machine leads, or none."""
        log.warning("lost root role")
        self.tree.resign()
        self.close()

    def close(self) -> None:
        """Ask the platform no more."""
        if self.poller is not None:
            self.poller.cancel()
            self.poller = None

    def tick(self, now_s: float) -> None:
        """Drop nodes that have not registered for long, and introduce this machine to the seeds."""
        self.registry.nodes[self.settings.node].seen_s = now_s
        for name in self.registry.expire(now_s):
            log.warning("node %s expired: no registration", name)
        self.tree.registration.edge_count = self.edge_count()
        if now_s >= self.introduced_s + INTRODUCTION_INTERVAL_S:
            self.introduce(now_s)

    def introduce(self, now_s: float) -> None:
        """Tell the seeds who leads, as far as they have not registered. After a loss of all power the seeds may be
        machines that know nobody, and all others ask them."""
        self.introduced_s = now_s
        if not self.vouched_leader():
            return
        known = {node.ip for node in self.registry.nodes.values()}
        for ip, _ in self.settings.seeds:
            if ip not in known:
                self.send(ip, self.tree.fence.redirect())

    def edge_count(self) -> int:
        """How many nodes carry traffic; 0 while this is not known yet."""
        return self.registry.edge_count() if self.loop.time() - self.since_s >= COUNTING_S else 0

    # -- the registry --------------------------------------------------------------------------------------

    def keep_early(self, link: Link, frame: frames.JoinRequest) -> None:
        """A registration has come before this machine leads; it is answered then."""
        self.early[frame.name] = link, frame, self.loop.time()

    def on_join(self, link: Link, frame: frames.JoinRequest, view: View | None) -> None:
        """A node asks for its parents. A machine that leads no more, or can't tell, says so."""
        if not self.tree.position.is_root or not self.vouched_leader():
            link.send(self.tree.fence.redirect())
            return
        if frame.name not in self.registry.nodes:
            log.info("node %s registered: ip %s", frame.name, frame.ip)
        epoch, group = self.tree.fence.epoch, self.tree.fence.group
        self.registry.register(frame, self.loop.time(), epoch)
        assert view is not None
        link.send(self.registry.assignment(frame.name, epoch, view.members, self.settings.ip, self.edge_count(), group))

    def on_suspect(self, name: str) -> None:
        """A node that probes it does not hear it. Where a link is full its datagrams are lost, so that alone says
        little: a node that has registered again since it would have been missed is there."""
        known = self.registry.nodes.get(name)
        if known is not None and self.loop.time() - known.seen_s > RENEWAL_INTERVAL_S + SUSPICION_S:
            self.remove(name, "unreachable")

    def remove(self, name: str, reason: str) -> None:
        """A node is gone."""
        if name != self.settings.node and name in self.registry.nodes:
            log.info("node %s removed: %s", name, reason)
            self.registry.remove(name)

    # -- the endpoint list ---------------------------------------------------------------------------------

    def take_list(self, servers: list[Endpoint]) -> None:
        """The platform's list: what has changed goes down the tree."""
        if not self.vouched_leader():
            return  # whoever leads by now asks the platform too
        relay = self.tree
        changes = relay.endpoints.endpoints.update_from_platform(servers) if relay.position.is_root else None
        if changes is not None:
            relay.children.broadcast(replace(changes, epoch=relay.fence.epoch))
            relay.endpoints.on_change()
