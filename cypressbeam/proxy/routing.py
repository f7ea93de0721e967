"""The routing table: selects a route by host, then by the longest matching path prefix. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import lru_cache

from cypressbeam.protocol.configuration import Configuration, RouteConfiguration, normalize_host


@dataclass(frozen=True, slots=True)
class Route:
    """A route in the form used for lookups."""

    configuration: RouteConfiguration
    class_name: str
    """The request class at the balancer. Routes with equal parameters share a class and its statistics."""
    services: tuple[str, ...]
    weights: tuple[float, ...]
    """Cumulative weights, for the weighted choice."""

    def choose(self, rng: random.Random) -> str:
        """Choose the service for a request at random, by weight."""
        if len(self.services) == 1:
            return self.services[0]
        return rng.choices(self.services, cum_weights=self.weights)[0]


def class_name_of(configured: RouteConfiguration) -> str:
    return format_class_name(
        configured.mode, configured.latency_target_ms, configured.timeout_ms, configured.rank, configured.tries
    )


@lru_cache(1024)
def format_class_name(mode: str, latency_target_ms: float, timeout_ms: float, rank: int, tries: int) -> str:
    """Cached: many routes share few classes, and formatting the names took a third of the time to build a table."""
    return f"{mode}/{latency_target_ms:g}/{timeout_ms:g}/{rank}/{tries}"


def make_route(configured: RouteConfiguration) -> Route:
    shares = configured.weighted_services()
    total, weights = 0.0, []
    for share in shares:
        total += share.weight
        weights.append(total)
    return Route(configured, class_name_of(configured), tuple(share.service for share in shares), tuple(weights))


class RoutingTable:
    """All routes of one configuration. Immutable: a request keeps the table under which it arrived."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.routes: dict[str, dict[str, Route]] = {}
        self.classes: dict[str, dict[str, RouteConfiguration]] = {}
        """For each service: its request classes, with one route of each."""
        for configured in configuration.routes:
            route = make_route(configured)
            self.routes.setdefault(normalize_host(configured.host), {})[configured.prefix] = route
            for service in route.services:
                self.classes.setdefault(service, {}).setdefault(route.class_name, configured)

    def find(self, host: str, path: str) -> Route | None:
        """The route for a Host header, whose port is ignored, and a path without a query."""
        host_routes = self.routes.get(normalize_host(host))
        if host_routes is None:
            return None
        slash = path.rfind("/")
        while slash >= 0:
            route = host_routes.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind("/", 0, slash)
        return None
