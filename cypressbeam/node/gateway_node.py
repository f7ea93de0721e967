"""One node of the system: which parts run follows from its settings. Start, the way of frames, stop."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from cypressbeam.consensus.bootstrap import Bootstrap
from cypressbeam.consensus.effects import SendMessage
from cypressbeam.distribution.failure_detector import UdpFailureDetector
from cypressbeam.distribution.outlier_reports import OutlierReports
from cypressbeam.distribution.tree_node import Handlers, TreeNode
from cypressbeam.node import control_api, early_listener
from cypressbeam.node.control_api import ControlApi
from cypressbeam.node.core_machine import CoreMachine
from cypressbeam.node.state_query import StateQuery
from cypressbeam.protocol import configuration, frames
from cypressbeam.protocol.address import Address
from cypressbeam.protocol.settings import VARIABLE, Settings, SettingsError, load
from cypressbeam.proxy.frontend import ClientConnection, Frontend, readiness
from cypressbeam.proxy.gateway import OVERFLOW_CONNECTIONS, Gateway
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage
from cypressbeam.proxy.http_responses import Response
from cypressbeam.storage.store import SqliteStore, Storage
from cypressbeam.transport.peers import Link, Peers

log = logging.getLogger(__name__)

READY_PATH = b"/-/ready"
#: After SIGTERM new connections still come until two readiness calls, a second apart, were missed.
DRAIN_ACCEPT_S = 2.4
#: A node that has started gets the configuration within a few milliseconds, as a rule. Clients wait for it, at most so
#: long.
ACCEPT_DELAY_MAX_S, ACCEPT_TICK_S = 0.8, 0.005
#: All that is in hand is answered so long before the end of the grace period.
STOP_MARGIN_S = 0.8
#: A stop waits so long for the disk at the end; what it has acknowledged is there, and a closed file is no more.
DISK_CLOSE_TIMEOUT_S = 0.4
BOOTSTRAP_TICK_S = 0.1
#: A node whose link would take longer for the whole configuration sends those who read it to the core.
MAX_READ_S = 0.1
#: A node that has heard no machine that may know the root for so long, and has no parent, takes no calls of operators.
ISOLATED_AFTER_S = 3.0
#: How often the settings file is looked at.
FILE_TICK_S = 1.0


class ReadinessApi:
    """The application behind the readiness listener."""

    def __init__(self, gate: Gateway) -> None:
        self.loop = gate.loop
        self.now_us = gate.now_us
        self.gateway = gate
        self.front: Frontend | None = None

    def can_serve(self) -> bool:
        """Whether clients may be sent here."""
        return self.gateway.can_serve()

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Answer the platform's call; raises BadRequestError for any other."""
        if message.target.partition(b"?")[0] != READY_PATH:
            raise BadRequestError(404, "no such call")
        return readiness(connection, message.method)

    def client_disconnected(self, name: str) -> None:
        """Every answer is given at once."""


class GatewayNode:
    """One process: it joins the parts that its settings ask for, and gives each message to its handler."""

    def __init__(
        self, settings: Settings, store: Storage | None = None, listening: socket.socket | None = None
    ) -> None:
        """A machine that has a folder for state keeps it there, or in the given place. Clients may be waiting at a
        socket that listens already."""
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.listening = listening
        flags = (
            (frames.SERVES_CLIENTS if settings.front_listener else 0)
            | (frames.MAY_BE_MEMBER if settings.quorum_member else 0)
            | (frames.MAY_BOOTSTRAP if settings.bootstrap else 0)
        )
        self.peers = Peers(
            settings.ip,
            settings.peer_port,
            self.on_frame,
            self.on_lost,
            settings.link_mbps,
            settings.front_listener is not None,
        )
        self.tree = TreeNode(settings, self.peers, flags)
        self.tree.configuration.on_committed = self.apply_configuration
        self.tree.endpoints.on_change = self.update_servers
        self.tree.registration.on_assigned = self.take_assignment
        self.failure_detector = UdpFailureDetector(settings.peer_port, self.on_silent)
        self.gateway = self.make_gateway()
        self.core: CoreMachine | None = None
        if settings.state_dir is not None:
            self.core = CoreMachine(settings, self.tree, self.peers.send, store or SqliteStore(settings.state_dir))
        self.state_query = StateQuery(settings.ip, self.members, self.describe, self.peers.send)
        self.control = ControlApi(
            settings.ip, self.members, self.peers.send, self.state_query, self.better_reader, self.is_isolated
        )
        self.bootstrap: Bootstrap | None = None
        self.outliers = OutlierReports(self.tree.context, self.tree, self.take_outliers)
        if self.gateway is not None and settings.share_faults:
            self.gateway.on_failure = self.outliers.record_failure
        self.frontends: list[Frontend] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.handlers = (
            self.tree.handlers() | self.outliers.handlers() | self.node_handlers() | self.root_handlers(self.core)
        )

    def make_gateway(self) -> Gateway | None:
        """The data plane, where the settings have a listener for clients."""
        return Gateway(self.settings) if self.settings.front_listener else None

    # -- start and stop ------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Raises StoreError, or OSError where an address can't be listened at."""
        settings = self.settings
        await self.peers.listen()
        if self.core is not None:
            await self.core.start()
        if self.core is not None and self.core.replica is None:
            self.core.on_loaded = self.begin_bootstrap
        else:
            self.begin_bootstrap()
        if settings.control_listener is not None:
            await self.listen(
                Frontend(self.control, control_api.MAX_CONNECTIONS, OVERFLOW_CONNECTIONS, control_api.LIMITS),
                settings.control_listener,
            )
        if self.gateway is not None and settings.front_listener is not None:
            self.listening = self.listening or early_listener.listen(*settings.front_listener)
            frontend = Frontend(
                self.gateway, self.gateway.client_connections, OVERFLOW_CONNECTIONS, self.gateway.limits
            )
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
        """Take clients' connections, which wait at the socket until then, once requests can be served; or after a
        while, or when the node is told to stop, to tell them that they can't: left there, they would be reset."""
        assert self.gateway is not None
        until_s = self.loop.time() + ACCEPT_DELAY_MAX_S
        while not (self.gateway.can_serve() or frontend.stopping) and self.loop.time() < until_s:
            await asyncio.sleep(ACCEPT_TICK_S)
        await frontend.listen(*address, self.listening)

    async def listen(self, frontend: Frontend, address: Address) -> None:
        """Take connections at an address. Raises OSError."""
        await frontend.listen(*address)
        self.frontends.append(frontend)

    async def stop(self) -> None:
        """In order: unready, go on serving until clients stay away, answer what is in hand, end."""
        ends_s = self.loop.time() + self.settings.envelope.grace_period_s - STOP_MARGIN_S
        leaving = self.loop.create_task(self.hand_over(ends_s - DISK_CLOSE_TIMEOUT_S))
        if self.gateway is None:
            await leaving  # its children are fed meanwhile
        self.tree.drain()
        for frontend in self.frontends:
            frontend.stopping = True
        if self.gateway is not None:
            await asyncio.sleep(DRAIN_ACCEPT_S)
            for frontend in self.frontends:
                frontend.stop_accepting()
            # Also requests that are still coming in: on a thin link a body takes a second.
            while (
                self.gateway.requests or any(frontend.has_pending_responses() for frontend in self.frontends)
            ) and self.loop.time() < ends_s:
                await asyncio.sleep(0.02)
            for request in [*self.gateway.requests.values()]:
                self.gateway.time_is_up(request)
            for frontend in self.frontends:
                frontend.reject_partial_requests()
            await asyncio.sleep(0.05)
            self.gateway.upstream.close()
        await leaving
        if self.core is not None:
            self.core.close()
            if not await self.core.store.wait_closed(DISK_CLOSE_TIMEOUT_S):
                log.error("disk close timed out: exiting anyway")
        self.failure_detector.close()
        self.peers.close()

    async def hand_over(self, until_s: float) -> None:
        """Leave the core's group, if another machine can take this one's place."""
        if self.core is not None:
            await self.core.hand_over(until_s)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Take up a changed settings file: the seeds; all else waits for a restart. A wrong one changes nothing."""
        try:
            new = load(environ)
        except SettingsError as err:
            log.error("settings reload rejected: %s; keeping the old ones", err)
            return
        self.take_settings(new)

    def take_settings(self, new: Settings) -> None:
        """The settings file has changed; only the seeds are taken up."""
        if new.seeds != self.settings.seeds:
            log.info("settings reloaded: seeds %s", " ".join(f"{host}:{port}" for host, port in new.seeds))
        self.settings = self.tree.context.settings = new
        if self.core is not None:
            self.core.take_settings(new)

    def watch_file(self, path: Path, seen_ns: int = 0) -> None:
        """The settings file may also change without a signal."""
        try:
            now_ns = path.stat().st_mtime_ns
        except OSError:
            now_ns = seen_ns  # it is just being replaced
        if seen_ns and now_ns != seen_ns:
            self.reload(os.environ)
        self.loop.call_later(FILE_TICK_S, self.watch_file, path, now_ns)

    def begin_bootstrap(self) -> None:
        """At the first seed, and before a view is known: gather machines for the first view."""
        settings = self.settings
        if settings.bootstrap and settings.seeds and settings.seeds[0][0] == settings.ip and not self.members():
            self.bootstrap = Bootstrap(2 * settings.machine_losses + 1)
            self.bootstrap_step()

    def bootstrap_step(self) -> None:
        """Propose the first view, again and again until all of its members have it."""
        founding = self.bootstrap
        if founding is None:
            return
        if self.settings.quorum_member and self.tree.registration.identity:
            founding.add_candidate(self.tree.registration.identity, self.loop.time())
        for tell in founding.tick(self.loop.time()):
            assert isinstance(tell, SendMessage)
            self.peers.send(tell.ip, tell.frame)
        if founding.is_done() or self.tree.registration.assignment is not None:
            self.bootstrap = None
        else:
            self.loop.call_later(BOOTSTRAP_TICK_S, self.bootstrap_step)

    # -- what is known -------------------------------------------------------------------------------------

    def members(self) -> tuple[str, ...]:
        """The chain, head first, as this node knows it; empty before it does."""
        if self.core is not None and self.core.view is not None:
            return self.core.view.members
        return self.tree.registration.chain()

    def better_reader(self) -> Address | None:
        """A machine of the core, where this node's link would take long for the whole configuration. Any of them: one
        may be down, and the caller asks again."""
        control, members = self.settings.control_listener, self.members()
        takes_s = len(self.tree.configuration.body) * 8 / (self.settings.link_mbps * 1e6)
        if control is None or self.core is not None or not members or takes_s < MAX_READ_S:
            return None
        return self.tree.context.rng.choice(members), control[1]

    def is_isolated(self) -> bool:
        """Whether this node has looked for the root for long, and heard none of those that may know it."""
        relay, now_s = self.tree, self.loop.time()
        heard_s = relay.heartbeats.root_heard_s or 0.0
        if self.core is not None or relay.subscription.parent is not None or now_s - heard_s < ISOLATED_AFTER_S:
            return False
        group, seeds = relay.locator.candidates()
        return all(now_s - self.peers.last_heard_s.get(ip, 0.0) > ISOLATED_AFTER_S for ip in [*group, *seeds])

    def describe(self) -> dict[str, Any]:
        """This node for an operator, in what JSON can hold."""
        relay, settings = self.tree, self.settings
        return {
            "name": settings.node,
            "ip": settings.ip,
            "zone": settings.zone,
            "parent": relay.subscription.parent.ip if relay.subscription.parent is not None else None,
            "is_root": relay.position.is_root,
            "children": len(relay.children),
            "revision": relay.configuration.revision,
            "servers": len(relay.endpoints.endpoints.servers),
            "list": relay.endpoints.endpoints.sequence,
            "fronts": relay.registration.edge_count,
            "epoch": relay.fence.epoch,
            "age_s": relay.position.leader_age_s(),
            "ready": self.gateway.can_serve() if self.gateway is not None else None,
        }

    def apply_configuration(self, revision: int, body: bytes) -> None:
        """A committed configuration is here: the data plane serves by it."""
        if self.gateway is not None:
            try:
                self.gateway.apply_configuration(configuration.read_committed(body))
            except (
                configuration.InvalidConfigurationError
            ) as err:  # the head has checked it, so this is a fault of ours
                log.error("configuration %d not applied: %s", revision, err)

    def update_servers(self) -> None:
        """The endpoint list has changed."""
        if self.gateway is not None:
            self.gateway.update_servers(self.tree.endpoints.endpoints.servers)

    def take_outliers(self, servers: tuple[str, ...]) -> None:
        """Servers fail for many nodes of this zone."""
        if self.gateway is not None:
            self.gateway.eject_servers(servers)

    def take_assignment(self) -> None:
        """The leader has assigned parents, and peers to probe."""
        place = self.tree.registration.assignment
        if place is None:
            return
        self.failure_detector.watch(place.probed_ips, place.probed_names)
        if self.core is not None:
            self.core.send_spare_heartbeat()
        if self.gateway is not None:
            self.gateway.set_fleet(self.tree.registration.edge_count or 1, place.index)

    def on_silent(self, name: str) -> None:
        """A probed peer does not answer: it is reported to the leader."""
        if self.tree.position.is_root and self.core is not None:
            self.core.leader_role.on_suspect(name)
        elif self.tree.locator.root:
            self.peers.send(self.tree.locator.root, frames.SuspectReport(name))

    # -- frames --------------------------------------------------------------------------------------------

    def on_lost(self, link: Link) -> None:
        """A connection to another node is over."""
        self.tree.link_lost(link)

    def node_handlers(self) -> Handlers:
        """What every node handles beside the messages of the tree. Replies find their request at the control calls."""
        return {
            frames.JoinRequest: self.on_join,
            frames.BootstrapAck: lambda link, frame: self.on_bootstrap_ack(frame),
            frames.WriteResult: lambda link, frame: self.control.on_write_result(frame),
            frames.ReadResult: lambda link, frame: self.control.on_read_result(frame),
            frames.MembershipChangeStatus: lambda link, frame: self.control.on_change_status(frame),
            frames.ReplicaStatus: lambda link, frame: self.state_query.on_state(frame),
            frames.SpareAnnouncement: lambda link, frame: self.state_query.on_spares(frame),
        }

    def root_handlers(self, core: CoreMachine | None) -> Handlers:
        """What a machine of the core handles beside the messages of the core itself."""
        if core is None:
            return {}
        return {
            frames.BootstrapRequest: core.on_bootstrap_request,
            frames.SuspectReport: lambda link, frame: (
                core.leader_role.on_suspect(frame.name) if self.tree.position.is_root else None
            ),
            frames.LeaveNotice: lambda link, frame: (
                core.leader_role.remove(frame.name, "left") if self.tree.position.is_root else None
            ),
        }

    def on_frame(self, link: Link, frame: frames.Frame) -> None:
        """A message from another node, to its handler; what has none here is the core's, on a machine of it."""
        core = self.core
        if core is not None:
            core.catch_up()
        handler = self.handlers.get(type(frame))
        if handler is not None:
            handler(link, frame)
        elif core is not None:
            core.on_message(frame)

    def on_join(self, link: Link, frame: frames.JoinRequest) -> None:
        """A node registers here: at the leader it is answered, elsewhere redirected."""
        self.tree.fence.observe(frame.epoch)
        if self.tree.position.is_root and self.core is not None:
            self.core.on_join(link, frame)
            return
        if self.core is not None:
            self.core.on_early_join(link, frame)
        if self.bootstrap is not None and frame.identity and not frame.has_assignment:
            self.bootstrap.add_candidate(frame.identity, self.loop.time())
        link.send(self.tree.fence.redirect())

    def on_bootstrap_ack(self, frame: frames.BootstrapAck) -> None:
        """A machine has the first view on disk."""
        founding = self.bootstrap
        if founding is not None and founding.view is not None and frame.chain == founding.view.chain:
            founding.acknowledged.add(frame.name)


async def serve(settings: Settings, listening: socket.socket | None = None) -> None:
    """Run a node until it is stopped."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = GatewayNode(settings, listening=listening)
    loop.add_signal_handler(signal.SIGHUP, node.reload, os.environ)
    await node.start()
    node.watch_file(Path(os.environ[VARIABLE]))
    log.info("node %s started: ip %s", settings.node, settings.ip)
    await stop.wait()
    log.info("stopping")
    await node.stop()
    log.info("stopped")
