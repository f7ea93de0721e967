"""The table of routes: by host, then by the longest prefix that begins the path. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import lru_cache

from cypressbeam.protocol.configuration import Configuration, RouteConfiguration, host_name


@dataclass(frozen=True, slots=True)
class Route:
    """A route as requests meet it."""

    configuration: RouteConfiguration
    kind: str
    """The class of its requests at a balancer: routes that ask for the same share one, and so what was learned."""
    services: tuple[str, ...]
    weights: tuple[float, ...]
    """Running sums, for the weighted choice."""

    def choose(self, rng: random.Random) -> str:
        """The service for one request, by weight."""
        if len(self.services) == 1:
            return self.services[0]
        return rng.choices(self.services, cum_weights=self.weights)[0]


def kind_of(channel: RouteConfiguration) -> str:
    return kind(channel.mode, channel.latency_target_ms, channel.timeout_ms, channel.rank, channel.tries)


@lru_cache(1024)
def kind(mode: str, setpoint_ms: float, cutoff_ms: float, rank: int, tries: int) -> str:
    """Few kinds serve many routes: to write each anew took a third of the time of a new table."""
    return f"{mode}/{setpoint_ms:g}/{cutoff_ms:g}/{rank}/{tries}"


def make_route(channel: RouteConfiguration) -> Route:
    shares = channel.weighted_services()
    total, weights = 0.0, []
    for share in shares:
        total += share.weight
        weights.append(total)
    return Route(channel, kind_of(channel), tuple(share.service for share in shares), tuple(weights))


class RoutingTable:
    """All routes of one configuration. It never changes: a request ends under the table it came in with."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.routes: dict[str, dict[str, Route]] = {}
        self.kinds: dict[str, dict[str, RouteConfiguration]] = {}
        """By service: its kinds of requests, and a route of each."""
        for channel in configuration.routes:
            route = make_route(channel)
            self.routes.setdefault(host_name(channel.host), {})[channel.prefix] = route
            for service in route.services:
                self.kinds.setdefault(service, {}).setdefault(route.kind, channel)

    def find(self, host: str, path: str) -> Route | None:
        """The route for a Host header (a port in it does not count) and a path without its query."""
        of_host = self.routes.get(host_name(host))
        if of_host is None:
            return None
        cut = path.rfind("/")
        while cut >= 0:
            route = of_host.get(path[: cut + 1])
            if route is not None:
                return route
            cut = path.rfind("/", 0, cut)
        return None
