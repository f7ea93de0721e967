"""The standalone node: one balancer, and a server list that comes from discovery."""

from __future__ import annotations

import logging

from cypressbeam.balancing import interface as it
from cypressbeam.balancing.balancer import Balancer
from cypressbeam.proxy.attempts import is_idempotent
from cypressbeam.proxy.frontend import ClientConnection, readiness
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage, read_request
from cypressbeam.proxy.http_responses import Response
from cypressbeam.proxy.protocol_profile import STANDALONE_PROFILE
from cypressbeam.proxy.proxy_core import RESPONSE_MARGIN_US, BalancerHost, ProxiedRequest, ProxyCore
from cypressbeam.standalone.config import Config
from cypressbeam.standalone.discovery import DiscoveryClient, ServerList

log = logging.getLogger(__name__)


class StandaloneNode(ProxyCore):
    def __init__(self, config: Config) -> None:
        super().__init__(STANDALONE_PROFILE, config.connect_timeout_us, config.idle_us, config.server_connections)
        self.config = config
        self.settings = config.settings
        self.classes = {request_class.name: request_class for request_class in config.settings.classes}
        self.balancer = Balancer(config.settings, config.seed)
        self.host = BalancerHost(self, self.balancer)
        self.active_servers: set[str] = set()
        self.discovery = DiscoveryClient(
            config.discovery, config.known.version, config.has_local_agent, self.apply_server_list, self.on_list_failed
        )
        self.apply_server_list(config.known, saved=True)
        self.start_periodic_tasks()

    def can_serve(self) -> bool:
        return bool(self.active_servers)

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        if message.target.partition(b"?")[0] == b"/ready":
            return readiness(connection, message.method)
        if not connection.admitted:
            connection.closing = True
            return Response(503)
        arrival, head = read_request(message, self.classes, RESPONSE_MARGIN_US)
        if self.has_request(arrival.request):
            raise BadRequestError(400, f"Request-Id: {arrival.request} is still in hand")
        connection.request = arrival.request
        self.start_request(
            ProxiedRequest(
                self.host,
                arrival,
                head,
                message.body,
                connection.respond,
                is_idempotent(self.classes[arrival.class_name]),
                body_reservation=message.body_reservation,
            )
        )
        return None

    def apply_server_list(self, update: ServerList, saved: bool = False) -> None:
        if update.is_snapshot:
            listed_names = {listed.entry.server for listed in update.servers}
            for server in self.upstream.pools.keys() - listed_names:
                self.upstream.remove_server(server)
            self.active_servers &= listed_names
        for listed in update.servers:
            entry = listed.entry
            active = entry.state is it.ServerState.ACTIVE
            if listed.address is None or entry.state is it.ServerState.GONE:
                self.upstream.remove_server(entry.server)
            else:
                self.upstream.update_server(entry.server, listed.address, entry.started_us, active)
            (self.active_servers.add if active else self.active_servers.discard)(entry.server)
        scope = it.ListScope.SAVED if saved else it.ListScope.WHOLE if update.is_snapshot else it.ListScope.CHANGES
        self.host.handle(it.ListChanged(update.version, scope, tuple(listed.entry for listed in update.servers)))
        self.upstream.end_stale()

    def on_list_failed(self) -> None:
        if self.settings.must_subscribe:  # otherwise the balancer awaits no call that could fail
            self.host.handle(it.ListChanged(self.discovery.version, it.ListScope.FAILED))

    def on_list_requested(self, whole: bool) -> None:
        if whole:
            self.discovery.fetch_snapshot()
        else:
            self.discovery.subscribe()

    def retry_after_headers(self, retry_after_us: int) -> list[tuple[bytes, bytes]]:
        return super().retry_after_headers(retry_after_us) if self.settings.retry_advice else []
