"""The duties of the leader, which is the root of the distribution tree: the node registry and the endpoint list.

The registry is soft state: a new leader starts with an empty one, and nodes register again within seconds.
Invariant: the leader sends messages in this role only while `vouched_leader` returns its address.
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
from cypressbeam.node.directory_replication import DirectoryReplication
from cypressbeam.node.endpoint_poller import EndpointPoller
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import Settings
from cypressbeam.transport.peers import Link

log = logging.getLogger(__name__)

#: A new leader knows only the nodes that have registered since it took the lead. It reports no node count before this
#: delay.
NODE_COUNT_DELAY_S = 5.0
#: How often the leader announces itself to seeds and known nodes that have not registered.
INTRODUCTION_INTERVAL_S = 0.5
#: A node is removed if its registration is this late and it does not answer its probes.
SUSPECT_TIMEOUT_S = 1.0
#: When this machine takes the lead it answers registrations that it received up to this long before. Senders of older
#: ones have registered again since.
EARLY_REGISTRATION_MAX_AGE_S = 2.0
#: Terms are random numbers of this many bits. 0 means no term.
TERM_BITS = 63


class LeaderRole:
    """The state and duties of a core machine while it leads. Times are in seconds of the event loop's clock."""

    def __init__(
        self,
        settings: Settings,
        tree: TreeNode,
        send: Callable[[str, frames.Frame], None],
        random_source: Callable[[], random.Random],
        vouched_leader: Callable[[], str],
        replication: DirectoryReplication,
    ) -> None:
        """
        :param vouched_leader: returns the address of the leader if this machine may name it now, otherwise "".
        """
        self.settings = settings
        self.tree = tree
        self.send = send
        self.random_source = random_source
        self.vouched_leader = vouched_leader
        self.replication = replication
        self.loop = asyncio.get_running_loop()
        self.registry = NodeRegistry(settings.node)
        self.leading_since_s = 0.0
        """Time when this machine took the lead."""
        self.last_introduction_s = 0.0
        self.poller: EndpointPoller | None = None
        self.polling: asyncio.Task[None] | None = None
        self.update_from_platform: Callable[[list[Endpoint]], None] = self.update_endpoints
        """Receives each endpoint list polled from the platform."""
        self.early_registrations: dict[str, tuple[Link, frames.JoinRequest, float]] = {}
        """Registrations received before this machine took the lead, by node, with the time of receipt."""

    # -- taking and leaving the lead -----------------------------------------------------------------------

    def begin(self, view: View, update_endpoints: Callable[[list[Endpoint]], None]) -> None:
        """Take the lead. `update_endpoints` is called with each endpoint list polled from the platform."""
        settings = self.settings
        log.info("became root: epoch %d", view.epoch)
        self.leading_since_s = self.loop.time()
        self.tree.become_root(self.random_source().getrandbits(TERM_BITS) | 1, view.epoch)
        self.registry = NodeRegistry(settings.node)
        self.registry.register(self.own_registration(), self.leading_since_s)
        self.replication.begin_term(self.leading_since_s)
        self.update_from_platform = update_endpoints
        self.start_polling()
        early_registrations, self.early_registrations = self.early_registrations, {}
        for link, request, received_s in early_registrations.values():
            if not link.closed and self.leading_since_s - received_s <= EARLY_REGISTRATION_MAX_AGE_S:
                self.on_join(link, request, view)

    def own_registration(self) -> frames.JoinRequest:
        """Return the registration of the leader itself, which is a node as well."""
        settings = self.settings
        return frames.JoinRequest(
            settings.node,
            settings.ip,
            settings.zone,
            self.tree.registration.flags,
            1,
            "",
            kbps=settings.link_kbps,
        )

    def end(self) -> None:
        """Give up the lead."""
        log.warning("lost root role")
        self.tree.resign()
        self.close()

    def start_polling(self) -> None:
        """Poll the platform at the address in the settings."""
        if self.settings.platform is not None:
            self.poller = EndpointPoller(self.settings.platform, self.update_from_platform, self.random_source())
            self.polling = self.loop.create_task(self.poller.run())

    def close(self) -> None:
        """Stop polling the platform."""
        if self.polling is not None:
            self.polling.cancel()
        self.poller = self.polling = None

    def take_settings(self, settings: Settings) -> None:
        """Apply reloaded settings. A leader polls a new address of the platform from now on."""
        moved = settings.platform != self.settings.platform
        self.settings = settings
        if moved and self.tree.position.is_root:
            self.close()
            self.start_polling()

    def tick(self, now_s: float) -> None:
        """Remove nodes whose registration has expired, and announce this machine to nodes that may not know it."""
        self.registry.nodes[self.settings.node].seen_s = now_s
        for name in self.registry.expire(now_s):
            log.warning("node %s expired: no registration", name)
        self.tree.registration.edge_count = self.edge_count()
        if now_s >= self.last_introduction_s + INTRODUCTION_INTERVAL_S:
            self.introduce(now_s)
            if self.vouched_leader():
                self.replication.share(now_s)

    def introduce(self, now_s: float) -> None:
        """Announce the leader to seeds that have not registered, and to nodes that were registered once and are silent.

        After a restart the seeds may not know any other machine, while all other nodes ask them for the leader. They
        need not be the seeds of the leader's own settings.
        """
        self.last_introduction_s = now_s
        if not self.vouched_leader():
            return
        directory = self.replication.directory
        self.replication.note_registrations(self.registry.nodes.values(), now_s)
        known = {node.ip for node in self.registry.nodes.values()}
        missing_seeds = [ip for ip in self.replication.seeds() if ip not in known]
        for ip in dict.fromkeys([*missing_seeds, *directory.due_announcements(now_s)]):
            if ip != self.settings.ip:
                self.send(ip, self.tree.fence.redirect())

    def edge_count(self) -> int:
        """Return the number of nodes that carry traffic, or 0 while it is not known yet."""
        return self.registry.edge_count() if self.loop.time() - self.leading_since_s >= NODE_COUNT_DELAY_S else 0

    # -- the registry --------------------------------------------------------------------------------------

    def hold_registration(self, link: Link, frame: frames.JoinRequest) -> None:
        """Store a registration received before this machine leads, to answer it when it takes the lead."""
        self.early_registrations[frame.name] = link, frame, self.loop.time()

    def on_join(self, link: Link, frame: frames.JoinRequest, view: View | None) -> None:
        """Register a node and assign its parents. A machine that does not lead, or can't be sure of it, redirects."""
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
        """Handle a report that a node does not answer probes.

        Probes are also lost on a saturated link, so a node whose registration is recent is kept.
        """
        known = self.registry.nodes.get(name)
        if known is not None and self.loop.time() - known.seen_s > RENEWAL_INTERVAL_S + SUSPECT_TIMEOUT_S:
            self.remove(name, "unreachable")

    def remove(self, name: str, reason: str) -> None:
        """Remove a node from the registry."""
        if name != self.settings.node and name in self.registry.nodes:
            log.info("node %s removed: %s", name, reason)
            self.registry.remove(name)

    # -- the endpoint list ---------------------------------------------------------------------------------

    def describe_polls(self, request_id: int) -> frames.PlatformStatus | None:
        """Return how the polls of the platform go, for a status query. None if this machine does not poll it."""
        poller = self.poller
        if poller is None:
            return None
        failing_for_s = poller.failing_for_s()
        host, port = poller.address
        if failing_for_s is None:
            return frames.PlatformStatus(request_id, f"{host}:{port}")
        # 0 means that polls succeed
        failing_ms = max(int(failing_for_s * 1000), 1)
        return frames.PlatformStatus(request_id, f"{host}:{port}", failing_ms, poller.last_error)

    def update_endpoints(self, servers: list[Endpoint]) -> None:
        """Handle the platform's endpoint list: broadcast the changes down the tree."""
        if not self.vouched_leader():
            return  # the actual leader polls the platform itself
        tree = self.tree
        changes = tree.endpoints.endpoints.update_from_platform(servers) if tree.position.is_root else None
        if changes is not None:
            tree.children.broadcast(replace(changes, epoch=tree.fence.epoch))
            tree.endpoints.on_change()
