"""What traffic costs as the fleet grows: emulated days in which requests and servers grow with the edge nodes.

What is told of each size belongs to one request, one machine or one server, so none of it should grow with the fleet;
what the platform and the core bear may grow as the fleet does.
"""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

from lab.day import Day, Kind, Service, Trouble
from lab.day_simulation import DayWorld
from lab.scale import Sized

#: For each edge node: requests a second, and servers. As on the fleets that grew: each node sees few of a kind.
LOOKUPS, BOOKINGS, FINDERS, BOOKERS = 3.5, 1.4, 0.6, 0.3
#: Of the retry budget's slack, for each edge node.
SLACK = 2.5


@dataclass(frozen=True, slots=True)
class Traffic(Sized):
    """Of one size. Of all figures more is worse."""

    lost_worth: float
    """The share of the worth owed that was not earned."""
    p99_ms: float
    extra_each: float
    """Arrivals at servers beyond the first, for each request."""
    most_connections: int
    """At one server at once."""
    edge_ms_each: float
    """Processor time of all edge nodes, for each request."""
    core_ms_s: float
    """Processor time of the busiest core machine, a second."""
    busiest_edge_kb_s: float
    """What the busiest edge node sent, a second."""
    platform_calls_s: float


def day_of(edges: int, traffic_s: float) -> Day:
    services = (
        Service(name="finder", servers=max(int(FINDERS * edges), 3)),
        Service(name="booker", servers=max(int(BOOKERS * edges), 3)),
    )
    kinds = (
        Kind(name="lookup", service="finder", per_s=LOOKUPS * edges),
        Kind(
            name="booking",
            service="booker",
            mode="effectful",
            per_s=BOOKINGS * edges,
            work_ms=290.0,
            worth=2.0,
            late_worth=0.6,
        ),
    )
    troubles = (
        Trouble(kind="srv_ill", how="errors", x=0.5, share=0.05, at=1.0, for_s=traffic_s / 2),
        Trouble(kind="scale_in", share=0.05, at=traffic_s / 2),
        Trouble(kind="config_change", at=1.0),
    )
    return Day(
        name=f"growth-{edges}",
        edges=edges,
        services=services,
        kinds=kinds,
        troubles=troubles,
        traffic_s=traffic_s,
        retry_slack=SLACK * edges,
    )


def measure(edges: int, traffic_s: float = 10.0, seed: int = 1) -> Traffic:
    """One size. Raises AssertionError where a rule was broken."""
    world = DayWorld(day_of(edges, traffic_s), seed)
    try:
        world.run(world.play())
        found, played_s = world.outcome(), world.loop.time() - world.began_s
    finally:
        world.close()
    assert not found.breaches, found.breaches[:3]
    figures, cores = found.figures, [host for host, settings in world.machines if settings.front_listener is None]
    return Traffic(
        edges,
        1.0 - figures["worth"],
        figures["p99 ms"],
        figures["arrivals beyond the first"] / figures["requests"],
        world.most_connections,
        1000 * figures["edge processor s"] / figures["requests"],
        1000 * max(host.cpu_used_s for host in cores) * world.day.core_share / played_s,
        figures["busiest edge kB"] / played_s,
        world.platform.calls / played_s,
    )


def measure_all(sizes: Sequence[int], traffic_s: float, seed: int, jobs: int) -> list[Traffic]:
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(partial(measure, traffic_s=traffic_s, seed=seed), sizes))
