"""The data plane of a node that serves clients: routes, one balancer per service, and the shared proxy core."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cypressbeam.balancing import interface as it
from cypressbeam.balancing.balancer import Balancer
from cypressbeam.distribution import endpoint_list
from cypressbeam.protocol.configuration import Configuration, Constraints, RouteConfiguration
from cypressbeam.protocol.settings import Envelope, Settings
from cypressbeam.proxy.attempts import NOT_EXECUTED_STATUSES
from cypressbeam.proxy.frontend import CLIENT_CONNECTION_SHARE, ClientConnection
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage, collect_headers, request_head
from cypressbeam.proxy.http_responses import Limits, Response
from cypressbeam.proxy.protocol_profile import GATEWAY_PROFILE
from cypressbeam.proxy.proxy_core import RESPONSE_MARGIN_US, BalancerHost, ProxiedRequest, ProxyCore
from cypressbeam.proxy.response_validation import RequestContext
from cypressbeam.proxy.routing import Route, RoutingTable, class_name_of
from cypressbeam.proxy.upstream import Attempt

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_US = 250_000
#: For servers that do not announce how long they keep idle connections open.
IDLE_US = 15_000_000
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
#: File descriptors reserved for everything except client and server connections.
SPARE_DESCRIPTORS = 400
OVERFLOW_CONNECTIONS = 12
#: Share of the memory that request bodies may occupy, and that of response bodies. A request body exists twice while it
#: is being read.
BODY_MEMORY_SHARE = 0.3
#: Shares of the fleet's retry ratio and retry slack that the nodes use. The rest is headroom, because requests are
#: counted a little later than retry tokens are spent, and the number of nodes is known with a delay.
RETRY_RATIO_SHARE = 0.8
RETRY_SLACK_SHARE = 0.6
#: Price of sending a request to another zone, as a share of the value of the request.
CROSS_ZONE_PRICE = 0.3
#: The price applies to this many bytes of request and response body together. It grows in proportion to the size, up to
#: `MAX_CROSS_ZONE_FACTOR` times. `SIZE_SMOOTHING` is the weight of the newest response in the average size.
CROSS_ZONE_PRICE_BYTES = 500
MAX_CROSS_ZONE_FACTOR = 11.0
SIZE_SMOOTHING = 0.05
#: Requests with a body of at least this size go to another zone only if no server in this zone has capacity.
LARGE_BODY_BYTES = 16_000
#: Warm-up of a started server: its initial share of the full speed, and the duration.
WARMUP_START_SHARE = 0.5
WARMUP_US = 3_000_000
MAX_RETRY_AFTER_US = 2_000_000
#: Retry-After, in seconds, while the node has no configuration or server list yet.
NOT_READY_RETRY_AFTER_S = b"0.5"

#: Outcomes attributed to the server. A failed connect is not among them, since it may be caused by this node.
SERVER_FAULTS = frozenset({it.AttemptOutcome.ERROR, it.AttemptOutcome.RESET})

REPEAT_BY_MODE = {"idempotent": it.Repeat.SAFE, "effectful": it.Repeat.UNSAFE, "ingest": it.Repeat.UNSAFE}


def request_class(route: RouteConfiguration) -> it.RequestClass:
    """The balancer's request class for a route. Rank 0 is the highest; each further rank halves the value."""
    return it.RequestClass(
        class_name_of(route),
        REPEAT_BY_MODE[route.mode],
        latency_target_us=max(int(route.latency_target_ms * 1000), 1),
        deadline_us=max(int(route.timeout_ms * 1000), 1),
        value=2.0 ** -min(route.rank, 8),
        late_value=0.3 * 2.0 ** -min(route.rank, 8),
        tries=max(route.tries, 1),
    )


def balancer_settings(
    routes: list[RouteConfiguration], settings: Settings, node_count: int, node_index: int
) -> it.Settings:
    """The settings of the balancer of one service. The retry budget of the fleet is divided among its nodes."""
    envelope: Envelope = settings.envelope
    classes = {class_name_of(route): request_class(route) for route in routes}
    return it.Settings(
        classes=tuple(classes.values()),
        proxies=max(node_count, 1),
        own_name=min(node_index, max(node_count, 1) - 1),
        zone=settings.zone,
        may_cancel=True,
        retry_advice=True,
        max_advice_us=MAX_RETRY_AFTER_US,
        weights=it.WeightMeaning.SIZE,
        reports=("queue", "in_flight"),
        prices=it.Prices(cross_zone=CROSS_ZONE_PRICE),
        cold_share=WARMUP_START_SHARE,
        cold_us=WARMUP_US,
        fall_multiple=1e6,
        retry_share=RETRY_RATIO_SHARE * envelope.retry_ratio,
        retry_burst=RETRY_SLACK_SHARE * envelope.retry_slack / max(node_count, 1),
        retry_from_empty=True,
    )


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections of clients and to servers the descriptors allow."""

    clients: int
    servers: int

    @classmethod
    def of(cls, settings: Settings) -> ConnectionLimits:
        """The limits by the settings."""
        usable = settings.file_handles - SPARE_DESCRIPTORS
        clients = max(1, int(usable * CLIENT_CONNECTION_SHARE))
        return cls(clients, max(1, usable - clients))


def body_budget_bytes(settings: Settings) -> int:
    """The memory for request bodies, and the same again for response bodies, in bytes."""
    return int(settings.memory_mb * BODY_MEMORY_SHARE * 1e6)


class ResponseSizes:
    """Moving average of the response size of each request class, to price traffic between zones."""

    def __init__(self) -> None:
        self.average: dict[str, float] = {}

    def record(self, class_name: str, size: int) -> None:
        average = self.average.get(class_name, float(size))
        self.average[class_name] = average + SIZE_SMOOTHING * (size - average)

    def price_factor(self, class_name: str, body: int) -> float:
        """The price of sending a request with this body size to another zone, as a multiple of `CROSS_ZONE_PRICE`."""
        average = self.average.get(class_name)
        return 1.0 if average is None else min((body + average) / CROSS_ZONE_PRICE_BYTES, MAX_CROSS_ZONE_FACTOR)


class Gateway(ProxyCore):
    """Forwards client requests according to the current routes. A request keeps the table under which it arrived."""

    def __init__(self, settings: Settings, now_us: Callable[[], int] | None = None) -> None:
        connections = ConnectionLimits.of(settings)
        self.client_connections = connections.clients
        super().__init__(
            GATEWAY_PROFILE,
            CONNECT_TIMEOUT_US,
            IDLE_US,
            connections.servers,
            min(MAX_RESPONSE_BYTES, body_budget_bytes(settings)),
            now_us,
            body_budget_bytes(settings),
        )
        self.settings = settings
        self.rng = random.Random()
        self.table: RoutingTable | None = None
        defaults = (
            Constraints()
        )  # until the first configuration arrives, so that no body is rejected that it would allow
        self.limits = Limits(
            max_body_bytes=defaults.body_max_bytes,
            body_timeout_restarts=True,
            max_buffered_bytes=body_budget_bytes(settings),
        )
        self.hosts: dict[str, BalancerHost] = {}
        self.sizes = ResponseSizes()
        self.servers: dict[str, endpoint_list.Endpoint] = {}
        self.started_us: dict[str, int] = {}
        self.listed = False
        self.version = 0
        self.node_count, self.node_index = 1, 0
        self.on_failure: Callable[[str], None] = lambda server: None
        """Called with the ID of each server that received a request and failed it."""
        self.start_periodic_tasks()

    def can_serve(self) -> bool:
        return self.table is not None and self.listed and not self.lacks_connections()

    def lacks_connections(self) -> bool:
        """Whether no server connection has been available for so long that other nodes should get the clients."""
        return self.upstream.exhausted_for_s() * 1000 > self.settings.envelope.contact_ms

    def sweep(self) -> None:
        super().sweep()
        if self.lacks_connections():
            log.warning(
                "not ready: no server connection was available for %.1f s, all %d are in use",
                self.upstream.exhausted_for_s(),
                self.upstream.max_connections,
            )

    # -- updates -------------------------------------------------------------------------------------------

    def take_settings(self, settings: Settings) -> None:
        """Apply reloaded settings. Connections and bodies above a lowered limit stay until they end."""
        self.settings = settings
        connections = ConnectionLimits.of(settings)
        self.client_connections, self.upstream.max_connections = connections.clients, connections.servers
        self.limits.max_buffered_bytes = self.upstream.response_budget.max_bytes = body_budget_bytes(settings)
        self.upstream.max_response_bytes = min(MAX_RESPONSE_BYTES, body_budget_bytes(settings))
        if self.table is not None:
            self.update_balancers()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Replace the routing table in one step. Balancers keep what they have learned."""
        self.table = RoutingTable(configuration)
        limits = configuration.constraints
        self.limits.max_head_bytes, self.limits.max_body_bytes = limits.header_max_bytes, limits.body_max_bytes
        self.limits.head_timeout_s = limits.header_wait_ms / 1000
        self.limits.body_timeout_s = self.limits.idle_timeout_s = limits.quiet_ms / 1000
        log.info("configuration %d applied: %d routes", configuration.revision, len(configuration.routes))
        self.update_balancers()

    def set_fleet(self, node_count: int, node_index: int) -> None:
        """Set how many nodes serve clients, and the index of this node among them."""
        if (node_count, node_index) != (self.node_count, self.node_index):
            self.node_count, self.node_index = node_count, node_index
            if self.table is not None:
                self.update_balancers()

    def update_balancers(self) -> None:
        """Update the request classes of each service's balancer. A balancer without classes is kept unchanged for its
        requests in flight."""
        assert self.table is not None
        for service, classes in self.table.classes.items():
            settings = balancer_settings([*classes.values()], self.settings, self.node_count, self.node_index)
            host = self.hosts.get(service)
            if host is None:
                self.hosts[service] = BalancerHost(self, Balancer(settings, self.rng.getrandbits(63)))
                self.notify_servers(service)
            elif host.balancer.settings != settings:
                host.handle(it.SettingsChanged(settings))

    def update_servers(self, servers: dict[str, endpoint_list.Endpoint]) -> None:
        """Replace the server list and notify the balancers of the services that changed."""
        self.listed = True
        self.version += 1
        changed_services = {
            server.service for server_id, server in servers.items() if self.servers.get(server_id) != server
        }
        changed_services |= {server.service for server_id, server in self.servers.items() if server_id not in servers}
        for server_id in self.servers.keys() - servers.keys():
            self.upstream.remove_server(server_id)
            self.started_us.pop(server_id, None)
        now_us = self.now_us()
        for server in servers.values():
            if server.instance_id not in self.started_us:
                warmup_us = server.warmup_ms * 1000
                self.started_us[server.instance_id] = now_us + warmup_us - WARMUP_US if warmup_us else 0
            self.upstream.update_server(
                server.instance_id,
                server.address,
                self.started_us[server.instance_id],
                server.state == endpoint_list.IN_SERVICE,
            )
        self.servers = dict(servers)
        for service in changed_services:
            self.notify_servers(service)

    def notify_servers(self, service: str) -> None:
        host = self.hosts.get(service)
        if host is None:
            return
        entries = tuple(
            it.ServerEntry(
                server.instance_id,
                zone=server.zone,
                weight=float(server.capacity),
                state=(it.ServerState.ACTIVE if server.state == endpoint_list.IN_SERVICE else it.ServerState.DRAINING),
                started_us=self.started_us[server.instance_id],
            )
            for server in self.servers.values()
            if server.service == service
        )
        host.handle(it.ListChanged(self.version, it.ListScope.WHOLE, entries))

    def eject_servers(self, servers: Iterable[str]) -> None:
        """Mark servers as unhealthy that fail for many nodes."""
        for server_id in servers:
            server = self.servers.get(server_id)
            host = self.hosts.get(server.service) if server is not None else None
            if host is not None:
                host.handle(it.ServerUnhealthy(server_id))

    # -- requests ------------------------------------------------------------------------------------------

    def attempt_ended(
        self, attempt: Attempt, ending: it.AttemptOutcome, response: Response | None, report: it.Report | None
    ) -> None:
        if ending in SERVER_FAULTS:
            self.on_failure(attempt.server)
        super().attempt_ended(attempt, ending, response, report)

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        if self.table is None or not self.listed or not connection.admitted:
            connection.closing = True
            return Response(503, [(b"Retry-After", NOT_READY_RETRY_AFTER_S)])
        headers, connection_headers = collect_headers(message, GATEWAY_PROFILE)
        route = find_route(self.table, message, headers)
        request_id = headers.get(b"attempt-id", b"").decode("latin-1")
        if not request_id or len(request_id) > 128 or not request_id.isprintable() or " " in request_id:
            raise BadRequestError(400, "Attempt-Id: a word is needed")
        if self.has_request(request_id):
            raise BadRequestError(400, f"Attempt-Id: {request_id} is still in hand")
        service = route.choose(self.rng)
        arrived = it.RequestArrived(
            request_id,
            route.class_name,
            self.give_up_at(message, headers, route),
            is_large=len(message.body) >= LARGE_BODY_BYTES,
            cross_zone_cost=self.sizes.price_factor(route.class_name, len(message.body)),
        )
        connection.request = request_id
        self.start_request(
            ProxiedRequest(
                self.hosts[service],
                arrived,
                request_head(message, connection_headers, GATEWAY_PROFILE),
                message.body,
                connection.respond,
                REPEAT_BY_MODE[route.configuration.mode] is it.Repeat.SAFE,
                RequestContext(message.method == b"HEAD", b"range" in headers),
                message.body_reservation,
            )
        )
        return None

    def give_up_at(self, message: RequestMessage, headers: dict[bytes, bytes], route: Route) -> int:
        """When the response is due: before the client's timeout and before the timeout of the route."""
        remaining_ms = route.configuration.timeout_ms
        text = headers.get(b"time-left-ms")
        if text is not None:
            if not text.isdigit() or len(text) > 12:
                raise BadRequestError(400, f"Time-Left-Ms: milliseconds are needed, not {text!r}")
            remaining_ms = min(remaining_ms, int(text))
        return message.arrived_us + int(remaining_ms * 1000) - RESPONSE_MARGIN_US

    def finish(self, request: ProxiedRequest, response: Response) -> None:
        if not request.finished and response.status < 300:
            self.sizes.record(request.arrived.class_name, len(response.body))
        super().finish(request, response)

    def refusal(self, request: ProxiedRequest, retry_after_us: int) -> Response:
        server_failure = self.forwarded_failure(request)
        return server_failure or super().refusal(request, retry_after_us)

    def failure(self, request: ProxiedRequest) -> Response:
        return self.forwarded_failure(request) or super().failure(request)

    def forwarded_failure(self, request: ProxiedRequest) -> Response | None:
        """The server's own failure, to be forwarded unless it is one of `NOT_EXECUTED_STATUSES`, which need proof."""
        response = request.last_response
        if (
            response is None
            or request.last_ending is not it.AttemptOutcome.ERROR
            or response.status in NOT_EXECUTED_STATUSES
        ):
            return None
        return self.forwarded_answer(response)


def find_route(table: RoutingTable, message: RequestMessage, headers: dict[bytes, bytes]) -> Route:
    """Find the route for a request. Raises BadRequestError if there is none."""
    if message.method == b"CONNECT":
        raise BadRequestError(405, "CONNECT is not served here")
    path = message.target.partition(b"?")[0]
    if not path.startswith(b"/"):
        raise BadRequestError(400, "a path is needed")
    host = headers.get(b"host")
    if host is None:
        raise BadRequestError(400, "Host is needed")
    route = table.find(host.decode("latin-1"), path.decode("latin-1"))
    if route is None:
        raise BadRequestError(404, "no route")
    return route
