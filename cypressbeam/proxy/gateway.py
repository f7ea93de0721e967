"""The data plane of a node that carries traffic: routes, one balancer a service, and the shared carrier of requests."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterable

from cypressbeam.balancing import interface as it
from cypressbeam.balancing.balancer import Balancer
from cypressbeam.distribution import endpoint_list
from cypressbeam.protocol.configuration import Configuration, Constraints, RouteConfiguration
from cypressbeam.protocol.settings import Envelope, Settings
from cypressbeam.proxy.attempts import PROMISES
from cypressbeam.proxy.frontend import CLIENT_SHARE, ClientConnection
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage, collect_headers, request_head
from cypressbeam.proxy.http_responses import Answer, Limits
from cypressbeam.proxy.protocol_profile import GATEWAY_PROFILE
from cypressbeam.proxy.proxy_core import ANSWER_MARGIN_US, BalancerHost, ProxiedRequest, ProxyCore
from cypressbeam.proxy.response_validation import RequestContext
from cypressbeam.proxy.routing import Route, RoutingTable, kind_of
from cypressbeam.proxy.upstream import Attempt

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_US = 250_000
#: Where a server does not say how long it keeps idle connections.
IDLE_US = 15_000_000
MOST_ANSWER = 64 * 1024 * 1024
#: Descriptors kept for all that is no client or server connection.
SPARE_DESCRIPTORS = 400
OVERFLOW = 12
#: Bodies of requests hold at most so much of the memory; while one is read it is there twice.
HELD_SHARE = 0.3
#: Of the fleet's retry budget nodes plan to use so much of the ratio, and of the slack: arrivals come a little later
#: than tokens are spent, and the number of nodes is known a little late.
RATIO_USED = 0.8
SLACK_USED = 0.6
#: How dear a crossing between zones is taken to be, as a share of a request's worth.
CROSSING = 0.3
#: That price is for so many bytes, of a request's body and its answer's together; for more it is so many times as high
#: at most. The weight of the newest answer in the usual size.
CROSSING_BYTES = 500
MOST_CROSSING = 11.0
SIZE_NEWEST = 0.05
#: A body of so many bytes goes to another zone only where no server near by has room.
HEAVY_BYTES = 16_000
#: A started server: the share of its speed that it begins with, and the time to come up.
COLD_SHARE = 0.5
COLD_US = 3_000_000
#: Clients that are told to come back: at most so much later.
MOST_ADVICE_US = 2_000_000
#: A node that has no configuration yet asks its clients to come back after so many seconds.
NOT_READY_S = b"0.5"

#: What a server does wrong by itself, as far as a node can tell. A connect may fail by this side's doing.
SERVERS_FAULTS = frozenset({it.AttemptOutcome.ERROR, it.AttemptOutcome.RESET})

MODES = {"idempotent": it.Repeat.SAFE, "effectful": it.Repeat.UNSAFE, "ingest": it.Repeat.UNSAFE}


def request_class(channel: RouteConfiguration) -> it.RequestClass:
    """What a route asks for, in the balancer's words. Rank 0 is the highest: each further one is worth half."""
    return it.RequestClass(
        kind_of(channel),
        MODES[channel.mode],
        latency_target_us=max(int(channel.latency_target_ms * 1000), 1),
        deadline_us=max(int(channel.timeout_ms * 1000), 1),
        value=2.0 ** -min(channel.rank, 8),
        late_value=0.3 * 2.0 ** -min(channel.rank, 8),
        tries=max(channel.tries, 1),
    )


def balancer_settings(channels: list[RouteConfiguration], settings: Settings, fronts: int, index: int) -> it.Settings:
    """The settings of one service's balancer. The retry budget of the fleet is parted among its nodes."""
    envelope: Envelope = settings.envelope
    classes = {kind_of(channel): request_class(channel) for channel in channels}
    return it.Settings(
        classes=tuple(classes.values()),
        proxies=max(fronts, 1),
        own_name=min(index, max(fronts, 1) - 1),
        zone=settings.zone,
        may_cancel=True,
        retry_advice=True,
        max_advice_us=MOST_ADVICE_US,
        weights=it.WeightMeaning.SIZE,
        reports=("queue", "in_flight"),
        prices=it.Prices(cross_zone=CROSSING),
        cold_share=COLD_SHARE,
        cold_us=COLD_US,
        fall_multiple=1e6,
        retry_share=RATIO_USED * envelope.retry_ratio,
        retry_burst=SLACK_USED * envelope.retry_slack / max(fronts, 1),
        retry_from_empty=True,
    )


class AnswerSizes:
    """How large the answers of each class of requests are, lately, for what a crossing would carry."""

    def __init__(self) -> None:
        self.usual: dict[str, float] = {}

    def answered(self, kind: str, size: int) -> None:
        usual = self.usual.get(kind, float(size))
        self.usual[kind] = usual + SIZE_NEWEST * (size - usual)

    def cross_zone_cost(self, kind: str, body: int) -> float:
        """What a crossing costs a request with such a body, as a multiple of the usual price."""
        usual = self.usual.get(kind)
        return 1.0 if usual is None else min((body + usual) / CROSSING_BYTES, MOST_CROSSING)


class Gateway(ProxyCore):
    """Takes clients' requests by the routes in force. A request ends under the table it came in with."""

    def __init__(self, settings: Settings, now_us: Callable[[], int] | None = None) -> None:
        usable = settings.file_handles - SPARE_DESCRIPTORS
        self.client_connections = max(1, int(usable * CLIENT_SHARE))
        super().__init__(
            GATEWAY_PROFILE, CONNECT_TIMEOUT_US, IDLE_US, max(1, usable - self.client_connections), MOST_ANSWER, now_us
        )
        self.settings = settings
        self.rng = random.Random()
        self.table: RoutingTable | None = None
        usual = Constraints()  # until there is a configuration: bodies are not to be refused that it would allow
        self.limits = Limits(
            body_bytes=usual.body_max_bytes, body_renews=True, held_bytes=int(settings.memory_mb * HELD_SHARE * 1e6)
        )
        self.hosts: dict[str, BalancerHost] = {}
        self.sizes = AnswerSizes()
        self.servers: dict[str, endpoint_list.Endpoint] = {}
        self.started_us: dict[str, int] = {}
        self.listed = False
        self.version = 0
        self.fronts, self.index = 1, 0
        self.on_failure: Callable[[str], None] = lambda server: None
        """Told of each server that has failed a request which it had."""
        self.start_upkeep()

    def can_serve(self) -> bool:
        return self.table is not None and self.listed

    # -- news ----------------------------------------------------------------------------------------------

    def take_configuration(self, configuration: Configuration) -> None:
        """Swap the table of routes, in one step. What balancers have learned stays."""
        self.table = RoutingTable(configuration)
        limits = configuration.constraints
        self.limits.head_bytes, self.limits.body_bytes = limits.header_max_bytes, limits.body_max_bytes
        self.limits.ask_s = limits.header_wait_ms / 1000
        self.limits.body_s = self.limits.idle_s = limits.quiet_ms / 1000
        log.info("configuration %d applied: %d routes", configuration.revision, len(configuration.routes))
        self.update_balancers()

    def take_fleet(self, fronts: int, index: int) -> None:
        """How many nodes carry traffic, and which of them this one is."""
        if (fronts, index) != (self.fronts, self.index):
            self.fronts, self.index = fronts, index
            if self.table is not None:
                self.update_balancers()

    def update_balancers(self) -> None:
        """Each service's balancer gets its classes; one that has none any more stays as it was, for requests
        in hand."""
        assert self.table is not None
        for service, kinds in self.table.kinds.items():
            settings = balancer_settings([*kinds.values()], self.settings, self.fronts, self.index)
            desk = self.hosts.get(service)
            if desk is None:
                self.hosts[service] = BalancerHost(self, Balancer(settings, self.rng.getrandbits(63)))
                self.notify_servers(service)
            elif desk.balancer.settings != settings:
                desk.handle(it.SettingsChanged(settings))

    def take_servers(self, servers: dict[str, endpoint_list.Endpoint]) -> None:
        """The list as it is now; each service's balancer is told of what concerns it."""
        self.listed = True
        self.version += 1
        touched = {server.service for ident, server in servers.items() if self.servers.get(ident) != server}
        touched |= {server.service for ident, server in self.servers.items() if ident not in servers}
        for ident in self.servers.keys() - servers.keys():
            self.upstream.shut(ident)
            self.started_us.pop(ident, None)
        now_us = self.now_us()
        for server in servers.values():
            if server.instance_id not in self.started_us:
                warm_us = server.warmup_ms * 1000
                self.started_us[server.instance_id] = now_us + warm_us - COLD_US if warm_us else 0
            self.upstream.pool(
                server.instance_id,
                server.address,
                self.started_us[server.instance_id],
                server.state == endpoint_list.IN_SERVICE,
            )
        self.servers = dict(servers)
        for service in touched:
            self.notify_servers(service)

    def notify_servers(self, service: str) -> None:
        desk = self.hosts.get(service)
        if desk is None:
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
        desk.handle(it.ListChanged(self.version, it.ListScope.WHOLE, entries))

    def take_ejections(self, servers: Iterable[str]) -> None:
        """Servers that fail for many nodes."""
        for ident in servers:
            server = self.servers.get(ident)
            desk = self.hosts.get(server.service) if server is not None else None
            if desk is not None:
                desk.handle(it.ServerUnhealthy(ident))

    # -- requests ------------------------------------------------------------------------------------------

    def attempt_ended(
        self, attempt: Attempt, ending: it.AttemptOutcome, answer: Answer | None, report: it.Report | None
    ) -> None:
        if ending in SERVERS_FAULTS:
            self.on_failure(attempt.server)
        super().attempt_ended(attempt, ending, answer, report)

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Answer | None:
        if self.table is None or not self.listed or not connection.admitted:
            connection.closing = True
            return Answer(503, [(b"Retry-After", NOT_READY_S)])
        found, named = collect_headers(message, GATEWAY_PROFILE)
        route = find_route(self.table, message, found)
        ident = found.get(b"attempt-id", b"").decode("latin-1")
        if not ident or len(ident) > 128 or not ident.isprintable() or " " in ident:
            raise BadRequestError(400, "Attempt-Id: a word is needed")
        if self.knows(ident):
            raise BadRequestError(400, f"Attempt-Id: {ident} is still in hand")
        service = route.choose(self.rng)
        arrived = it.RequestArrived(
            ident,
            route.kind,
            self.give_up_at(message, found, route),
            is_large=len(message.body) >= HEAVY_BYTES,
            cross_zone_cost=self.sizes.cross_zone_cost(route.kind, len(message.body)),
        )
        connection.request = ident
        self.take(
            ProxiedRequest(
                self.hosts[service],
                arrived,
                request_head(message, named, GATEWAY_PROFILE),
                message.body,
                connection.respond,
                MODES[route.configuration.mode] is it.Repeat.SAFE,
                RequestContext(message.method == b"HEAD", b"range" in found),
            )
        )
        return None

    def give_up_at(self, message: RequestMessage, found: dict[bytes, bytes], route: Route) -> int:
        """When the answer is due: before the client's patience ends, and the operator's."""
        left_ms = route.configuration.timeout_ms
        text = found.get(b"time-left-ms")
        if text is not None:
            if not text.isdigit() or len(text) > 12:
                raise BadRequestError(400, f"Time-Left-Ms: milliseconds are needed, not {text!r}")
            left_ms = min(left_ms, int(text))
        return message.came_us + int(left_ms * 1000) - ANSWER_MARGIN_US

    def finish(self, request: ProxiedRequest, answer: Answer) -> None:
        if not request.finished and answer.status < 300:
            self.sizes.answered(request.arrived.class_name, len(answer.body))
        super().finish(request, answer)

    def refusal(self, request: ProxiedRequest, retry_after_us: int) -> Answer:
        own_word = self.forwarded_failure(request)
        return own_word or super().refusal(request, retry_after_us)

    def failure(self, request: ProxiedRequest) -> Answer:
        return self.forwarded_failure(request) or super().failure(request)

    def forwarded_failure(self, request: ProxiedRequest) -> Answer | None:
        """A server's own failure goes back as it came, unless it would promise what the server did not prove."""
        answer = request.last_answer
        if answer is None or request.last_ending is not it.AttemptOutcome.ERROR or answer.status in PROMISES:
            return None
        return self.forwarded_answer(answer)


def find_route(table: RoutingTable, message: RequestMessage, found: dict[bytes, bytes]) -> Route:
    """Raises BadRequestError where no route leads on."""
    if message.method == b"CONNECT":
        raise BadRequestError(405, "CONNECT is not served here")
    path = message.target.partition(b"?")[0]
    if not path.startswith(b"/"):
        raise BadRequestError(400, "a path is needed")
    host = found.get(b"host")
    if host is None:
        raise BadRequestError(400, "Host is needed")
    route = table.find(host.decode("latin-1"), path.decode("latin-1"))
    if route is None:
        raise BadRequestError(404, "no route")
    return route
