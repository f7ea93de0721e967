"""A node of the system. Its settings determine which components run; it starts, connects and stops them."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from cypressbeam.distribution.failure_detector import UdpFailureDetector
from cypressbeam.distribution.outlier_reports import OutlierReports
from cypressbeam.distribution.tree_node import Handlers, TreeNode
from cypressbeam.node import control_api, early_listener
from cypressbeam.node.control_api import ControlApi
from cypressbeam.node.core_machine import CoreMachine
from cypressbeam.node.state_query import StateQuery
from cypressbeam.node.system_bootstrap import SystemBootstrap
from cypressbeam.protocol import configuration, frames
from cypressbeam.protocol.address import Address
from cypressbeam.protocol.settings import SETTINGS_VARIABLE, Settings, SettingsError, load
from cypressbeam.protocol.settings_keys import Effect, SettingsKey
from cypressbeam.proxy.frontend import ClientConnection, Frontend, readiness
from cypressbeam.proxy.gateway import OVERFLOW_CONNECTIONS, Gateway
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage
from cypressbeam.proxy.http_responses import Response
from cypressbeam.storage.store import SqliteStore, Storage
from cypressbeam.transport.peers import Link, Peers

log = logging.getLogger(__name__)

READY_PATH = b"/-/ready"
#: After SIGTERM new connections are accepted for this long: they arrive until two readiness checks, one second apart,
#: have failed.
DRAIN_ACCEPT_S = 2.4
#: A started node normally receives the configuration within milliseconds. Connections of clients are accepted after
#: that, or after the maximum delay.
ACCEPT_DELAY_MAX_S, ACCEPT_POLL_INTERVAL_S = 0.8, 0.005
#: All pending requests are answered this long before the end of the grace period.
STOP_MARGIN_S = 0.8
#: How long a stop waits for the disk to close. Acknowledged writes are durable regardless.
DISK_CLOSE_TIMEOUT_S = 0.4
#: A node whose link needs longer to transfer the whole configuration redirects reads to the core.
MAX_READ_TRANSFER_S = 0.1
#: A node without a parent that has not heard from any machine that may know the root for this long rejects control
#: calls.
ISOLATED_AFTER_S = 3.0
#: How often the settings file is checked for changes.
SETTINGS_POLL_INTERVAL_S = 1.0


class ReadinessApi:
    """The application of the readiness listener."""

    def __init__(self, gateway: Gateway) -> None:
        self.loop = gateway.loop
        self.now_us = gateway.now_us
        self.gateway = gateway
        self.front: Frontend | None = None

    def can_serve(self) -> bool:
        """Return whether this node can serve clients."""
        return self.gateway.can_serve()

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Answer a readiness check. Raises BadRequestError for any other request."""
        if message.target.partition(b"?")[0] != READY_PATH:
            raise BadRequestError(404, "no such call")
        return readiness(connection, message.method)

    def client_disconnected(self, name: str) -> None:
        """Nothing to drop: every call is answered immediately."""


class GatewayNode:
    """A node: creates the components that its settings require, and passes each message to its handler."""

    def __init__(
        self, settings: Settings, store: Storage | None = None, front_socket: socket.socket | None = None
    ) -> None:
        """
        :param store: the storage of a core machine; by default a database in the state directory of the settings.
        :param front_socket: the client listener if it is already open. Connections may be waiting in its backlog.
        """
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.front_socket = front_socket
        flags = (
            (frames.SERVES_CLIENTS if settings.front_listener else 0)
            | (frames.MAY_BE_MEMBER if settings.quorum_member else 0)
            | (frames.MAY_BOOTSTRAP if settings.bootstrap else 0)
        )
        self.peers = Peers(
            settings.ip,
            settings.peer_port,
            self.on_frame,
            self.on_link_lost,
            settings.link_mbps,
            settings.front_listener is not None,
        )
        self.tree = TreeNode(settings, self.peers, flags)
        self.tree.configuration.on_committed = self.apply_configuration
        self.tree.endpoints.on_change = self.update_servers
        self.tree.registration.on_assigned = self.apply_assignment
        self.failure_detector = UdpFailureDetector(settings.peer_port, self.on_probe_timeout)
        self.gateway = self.make_gateway()
        self.core: CoreMachine | None = None
        if settings.state_dir is not None:
            seeds = tuple(host for host, _ in settings.seeds) if settings.bootstrap else ()
            store = store or SqliteStore(settings.state_dir, bootstrap_seeds=seeds)
            self.core = CoreMachine(settings, self.tree, self.peers.send, store)
        self.system_bootstrap = SystemBootstrap(settings, self.tree, self.core, self.peers.send)
        self.state_query = StateQuery(settings.ip, self.members, self.describe, self.peers.send)
        self.control = ControlApi(
            settings.ip, self.members, self.peers.send, self.state_query, self.faster_reader, self.is_isolated
        )
        self.outliers = OutlierReports(self.tree.context, self.tree, self.eject_outliers)
        self.share_failures(settings.share_faults)
        self.frontends: list[Frontend] = []
        self.client_frontend: Frontend | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.handlers = (
            self.tree.handlers() | self.outliers.handlers() | self.node_handlers() | self.root_handlers(self.core)
        )

    def make_gateway(self) -> Gateway | None:
        """Create the data plane if the settings have a listener for clients."""
        return Gateway(self.settings) if self.settings.front_listener else None

    def make_client_frontend(self) -> Frontend:
        """Create the listening socket's side of the client connections."""
        assert self.gateway is not None
        return Frontend(self.gateway, self.gateway.client_connections, OVERFLOW_CONNECTIONS, self.gateway.limits)

    # -- start and stop ------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start all components. Raises StoreError, or OSError if a listening socket can't be opened."""
        settings = self.settings
        await self.peers.listen()
        if self.core is not None:
            await self.core.start()
        if self.core is not None and self.core.replica is None:
            self.core.on_loaded = self.system_bootstrap.begin
        else:
            self.system_bootstrap.begin()
        if settings.control_listener is not None:
            await self.listen(
                Frontend(self.control, control_api.MAX_CONNECTIONS, OVERFLOW_CONNECTIONS, control_api.LIMITS),
                settings.control_listener,
            )
        if self.gateway is not None and settings.front_listener is not None:
            self.front_socket = self.front_socket or early_listener.listen(*settings.front_listener)
            frontend = self.client_frontend = self.make_client_frontend()
            self.frontends.append(frontend)
            task = self.loop.create_task(self.accept(frontend, settings.front_listener))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            if settings.readiness_listener is not None:
                await self.listen(
                    Frontend(ReadinessApi(self.gateway), 64, OVERFLOW_CONNECTIONS, control_api.LIMITS),
                    settings.readiness_listener,
                )
        self.tree.start()
        await self.failure_detector.start(settings.ip)

    async def accept(self, frontend: Frontend, address: Address) -> None:
        """Accept client connections as soon as requests can be served.

        Until then they wait in the listen backlog. They are also accepted after `ACCEPT_DELAY_MAX_S` or when the node
        is stopping, so that they get an error response: connections left in the backlog would be reset.
        """
        assert self.gateway is not None
        until_s = self.loop.time() + ACCEPT_DELAY_MAX_S
        while not (self.gateway.can_serve() or frontend.stopping) and self.loop.time() < until_s:
            await asyncio.sleep(ACCEPT_POLL_INTERVAL_S)
        await frontend.listen(*address, self.front_socket)

    async def listen(self, frontend: Frontend, address: Address) -> None:
        """Accept connections at an address. Raises OSError."""
        await frontend.listen(*address)
        self.frontends.append(frontend)

    async def stop(self) -> None:
        """Stop gracefully: fail readiness checks, serve until clients stay away, answer pending requests, close."""
        deadline_s = self.loop.time() + self.settings.envelope.grace_period_s - STOP_MARGIN_S
        handover = self.loop.create_task(self.hand_over(deadline_s - DISK_CLOSE_TIMEOUT_S))
        if self.gateway is None:
            await handover  # its children receive updates until then
        self.tree.drain()
        for frontend in self.frontends:
            frontend.stopping = True
        if self.gateway is not None:
            await asyncio.sleep(DRAIN_ACCEPT_S)
            for frontend in self.frontends:
                frontend.stop_accepting()
            # Includes requests that are still being received: on a slow link a body takes a second.
            while (
                self.gateway.requests or any(frontend.has_pending_responses() for frontend in self.frontends)
            ) and self.loop.time() < deadline_s:
                await asyncio.sleep(0.02)
            for frontend in self.frontends:
                frontend.drop_queued_requests()
            for request in [*self.gateway.requests.values()]:
                self.gateway.time_is_up(request)
            for frontend in self.frontends:
                frontend.reject_partial_requests()
            await asyncio.sleep(0.05)
            self.gateway.upstream.close()
        await handover
        if self.core is not None:
            self.core.close()
            if not await self.core.store.wait_closed(DISK_CLOSE_TIMEOUT_S):
                log.error("disk close timed out: exiting anyway")
        self.failure_detector.close()
        self.peers.close()

    async def hand_over(self, until_s: float) -> None:
        """Leave the core group if another machine can replace this one."""
        if self.core is not None:
            await self.core.hand_over(until_s)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Reload the settings file. An invalid file changes nothing."""
        try:
            new_settings = load(environ)
        except SettingsError as err:
            log.error("settings reload rejected: %s; keeping the current settings", err)
            return
        self.take_settings(new_settings)

    def take_settings(self, new_settings: Settings) -> None:
        """Apply the reloaded settings, except for the keys that take effect at the next start (settings_keys.py)."""
        changed = self.settings.changed_keys(new_settings)
        log_changes(changed)
        self.settings = self.tree.context.settings = settings = self.settings.reloaded(new_settings)
        if self.core is not None:
            self.core.take_settings(settings)
        if self.gateway is not None:
            self.gateway.take_settings(settings)
            self.share_failures(settings.share_faults)
        if self.client_frontend is not None and self.gateway is not None:
            self.client_frontend.max_connections = self.gateway.client_connections

    def share_failures(self, enabled: bool) -> None:
        """Report failing servers to the leader, or stop reporting them."""
        if self.gateway is not None:
            self.gateway.on_failure = self.outliers.record_failure if enabled else ignore_failure

    def watch_settings_file(self, path: Path, last_modified_ns: int = 0) -> None:
        """Reload the settings file when it changes without a signal. Called periodically."""
        try:
            modified_ns = path.stat().st_mtime_ns
        except OSError:
            modified_ns = last_modified_ns  # the file is being replaced
        if last_modified_ns and modified_ns != last_modified_ns:
            self.reload(os.environ)
        self.loop.call_later(SETTINGS_POLL_INTERVAL_S, self.watch_settings_file, path, modified_ns)

    # -- state and updates ----------------------------------------------------------------------------------

    def members(self) -> tuple[str, ...]:
        """Return the chain that this node knows, head first. Empty if it knows none."""
        if self.core is not None and self.core.view is not None:
            return self.core.view.members
        return self.tree.registration.chain()

    def faster_reader(self) -> Address | None:
        """Return a core machine for reads if the link of this node is too slow for the whole configuration.

        The machine is chosen at random: one may be down, and the caller retries.
        """
        control, members = self.settings.control_listener, self.members()
        transfer_s = len(self.tree.configuration.body) * 8 / (self.settings.link_mbps * 1e6)
        if control is None or self.core is not None or not members or transfer_s < MAX_READ_TRANSFER_S:
            return None
        return self.tree.context.rng.choice(members), control[1]

    def is_isolated(self) -> bool:
        """Return whether this node has had no root for long and heard from no machine that may know it."""
        tree, now_s = self.tree, self.loop.time()
        heard_s = tree.heartbeats.root_heard_s or 0.0
        if self.core is not None or tree.subscription.parent is not None or now_s - heard_s < ISOLATED_AFTER_S:
            return False
        group, seeds = tree.locator.candidates()
        return all(now_s - self.peers.last_heard_s.get(ip, 0.0) > ISOLATED_AFTER_S for ip in [*group, *seeds])

    def describe(self) -> dict[str, Any]:
        """Return the state of this node for System.State, as JSON-compatible values."""
        tree, settings = self.tree, self.settings
        return {
            "name": settings.node,
            "ip": settings.ip,
            "zone": settings.zone,
            "parent": tree.subscription.parent.ip if tree.subscription.parent is not None else None,
            "is_root": tree.position.is_root,
            "children": len(tree.children),
            "revision": tree.configuration.revision,
            "servers": len(tree.endpoints.endpoints.servers),
            "list": tree.endpoints.endpoints.sequence,
            "fronts": tree.registration.edge_count,
            "epoch": tree.fence.epoch,
            "age_s": tree.position.leader_age_s(),
            "ready": self.gateway.can_serve() if self.gateway is not None else None,
        }

    def apply_configuration(self, revision: int, body: bytes) -> None:
        """Apply a committed configuration to the data plane."""
        if self.gateway is not None:
            try:
                self.gateway.apply_configuration(configuration.read_committed(body))
            except configuration.InvalidConfigurationError as err:  # the head has validated it, so this is a bug
                log.error("configuration %d not applied: %s", revision, err)

    def update_servers(self) -> None:
        """Pass the changed endpoint list to the data plane."""
        if self.gateway is not None:
            self.gateway.update_servers(self.tree.endpoints.endpoints.servers)

    def eject_outliers(self, servers: tuple[str, ...]) -> None:
        """Eject servers that fail for many nodes of this zone."""
        if self.gateway is not None:
            self.gateway.eject_servers(servers)

    def apply_assignment(self) -> None:
        """Apply a new assignment of parents and of peers to probe."""
        assignment = self.tree.registration.assignment
        if assignment is None:
            return
        self.failure_detector.watch(assignment.probed_ips, assignment.probed_names)
        if self.core is not None:
            self.core.send_spare_heartbeat()
        if self.gateway is not None:
            self.gateway.set_fleet(self.tree.registration.edge_count or 1, assignment.index)

    def on_probe_timeout(self, name: str) -> None:
        """Report a peer that does not answer probes to the leader."""
        if self.tree.position.is_root and self.core is not None:
            self.core.leader_role.on_suspect(name)
        elif self.tree.locator.root:
            self.peers.send(self.tree.locator.root, frames.SuspectReport(name))

    # -- frames --------------------------------------------------------------------------------------------

    def on_link_lost(self, link: Link) -> None:
        """Handle the loss of a connection to another node."""
        self.tree.link_lost(link)
        if self.core is not None:
            self.core.on_link_lost(link)

    def node_handlers(self) -> Handlers:
        """Return the handlers of every node, beside those of the tree. Replies are matched to pending control calls."""
        return {
            frames.JoinRequest: self.on_join,
            frames.BootstrapAck: lambda link, frame: self.system_bootstrap.on_ack(frame),
            frames.BootstrapPromise: lambda link, frame: self.system_bootstrap.on_promise(frame),
            frames.WriteResult: lambda link, frame: self.control.on_write_result(frame),
            frames.ReadResult: lambda link, frame: self.control.on_read_result(frame),
            frames.MembershipChangeStatus: lambda link, frame: self.control.on_change_status(frame),
            frames.ReplicaStatus: lambda link, frame: self.state_query.on_replica_status(frame),
            frames.PlatformStatus: lambda link, frame: self.state_query.on_platform_status(frame),
            frames.SpareAnnouncement: lambda link, frame: self.state_query.on_spare_announcement(frame),
        }

    def root_handlers(self, core: CoreMachine | None) -> Handlers:
        """Return the handlers of a core machine, beside those of the consensus."""
        if core is None:
            return {}
        return {
            frames.BootstrapRequest: core.on_bootstrap_request,
            frames.BootstrapPrepare: core.on_bootstrap_prepare,
            frames.NodeDirectoryUpdate: core.on_directory_update,
            frames.SuspectReport: lambda link, frame: (
                core.leader_role.on_suspect(frame.name) if self.tree.position.is_root else None
            ),
            frames.LeaveNotice: lambda link, frame: (
                core.leader_role.remove(frame.name, "left") if self.tree.position.is_root else None
            ),
        }

    def on_frame(self, link: Link, frame: frames.Frame) -> None:
        """Pass a message to its handler. On a core machine, messages without a handler here go to the consensus."""
        core = self.core
        if core is not None:
            core.advance_after_pause()
        handler = self.handlers.get(type(frame))
        if handler is not None:
            handler(link, frame)
        elif core is not None:
            core.on_message(frame)

    def on_join(self, link: Link, frame: frames.JoinRequest) -> None:
        """Handle the registration of a node: the leader answers it, any other node redirects it."""
        self.tree.fence.observe(frame.epoch)
        if self.tree.position.is_root and self.core is not None:
            self.core.on_join(link, frame)
            return
        if self.core is not None:
            self.core.on_early_join(link, frame)
        self.system_bootstrap.on_registration(frame)
        link.send(self.tree.fence.redirect())


def ignore_failure(server: str) -> None:
    """Do nothing: failures are not reported."""


def log_changes(changed: list[SettingsKey]) -> None:
    """Log which keys of reloaded settings have taken effect, and which wait for the next start."""
    applied = [key.name for key in changed if key.effect is Effect.AT_ONCE]
    waiting = [key.name for key in changed if key.effect is Effect.AT_RESTART]
    if applied:
        log.info("settings reloaded: %s", " ".join(applied))
    if waiting:
        log.warning("settings reloaded: %s will take effect at the next start", " ".join(waiting))


async def serve(settings: Settings, front_socket: socket.socket | None = None) -> None:
    """Run a node until it is stopped."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    node = GatewayNode(settings, front_socket=front_socket)
    loop.add_signal_handler(signal.SIGHUP, node.reload, os.environ)
    await node.start()
    node.watch_settings_file(Path(os.environ[SETTINGS_VARIABLE]))
    log.info("node %s started: ip %s", settings.node, settings.ip)
    await stop.wait()
    log.info("stopping")
    await node.stop()
    log.info("stopped")
