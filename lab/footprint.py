"""What state costs: bytes and processor time a route, tenant, server, service, node, connection, sample and digest.

Each family of costs is measured at several sizes, each in a process of its own, on the program's own objects: bytes as
`tracemalloc` counts them, or as the process grows; times are processor time, which a busy machine stretches little.
Figures whose names begin with `trial` are of forms that the program does not have.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import multiprocessing
import resource
import socket
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, TypeVar
from unittest import mock

import cbor2

from cypressbeam.balancing.balancer import HOUSEKEEPING_US, LatencyPercentile
from cypressbeam.distribution import endpoint_list
from cypressbeam.distribution.node_registry import RENEWAL_INTERVAL_S, NodeRegistry
from cypressbeam.protocol import configuration, delta, frames
from cypressbeam.proxy.frontend import Frontend
from cypressbeam.proxy.gateway import Gateway
from cypressbeam.proxy.routing import RoutingTable, make_route
from lab import packed_blobs
from lab.hollow import seen
from lab.hollow_nodes import Task, rss_kb, settings_of
from lab.local_cluster import HOST, push_until_taken
from lab.membership import many_routes
from lab.scale import exponent
from lab.standins import Platform, Server
from lab.system import System

T = TypeVar("T")
Measurements = dict[str, float]

#: Servers of a service, as at the target: 28,000 in 1,100 services.
EACH = 25
ZONES = 7
#: Look-ups that are timed.
LOOKUPS = 20_000
#: Requests that are sent in a row, and the time without any before them.
REQUESTS, IDLE_S = 2000, 3.0
ZONE_NAMES = ("za", "zb")
#: Of each service's servers a node keeps so many in the trial of subsets.
KEPT = 8


def timed(what: Callable[[], T]) -> tuple[T, float]:
    """The result, and milliseconds of processor time."""
    gc.collect()
    began_s = time.process_time()
    made = what()
    return made, 1000 * (time.process_time() - began_s)


def held(what: Callable[[], T]) -> tuple[T, float]:
    """The result, and the kilobytes that it keeps."""
    gc.collect()
    tracemalloc.start()
    made = what()
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    return made, kept


def services_of(routes: int) -> int:
    return max(routes // 44, 1)  # 48,000 routes lead to some 1,100


def collected_rss_kb() -> int:
    """Resident memory in kB once garbage is collected, which would else be freed in the measured step."""
    gc.collect()
    return rss_kb()


def peak_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


# -- routes ------------------------------------------------------------------------------------------------


def routes(size: int) -> Measurements:
    """A configuration of so many routes on 60 hosts: reading it, its table, one changed route."""
    services = services_of(size)
    base = many_routes(1, size, services=services)
    body = many_routes(size // 2, size, services=services)
    before_kb, before_peak_kb = collected_rss_kb(), peak_kb()
    read, read_ms = timed(lambda: configuration.read_committed(body))
    table, table_ms = timed(lambda: RoutingTable(read))
    found = {
        "body_kb": len(body) / 1000,
        "read_ms": read_ms,
        "table_ms": table_ms,
        "swap_grows_kb": float(rss_kb() - before_kb),
        "swap_peak_kb": float(peak_kb() - before_peak_kb),
    }
    found["collect_ms"] = timed(gc.collect)[1]  # all generations, with one version
    found["check_ms"] = timed(lambda: configuration.check(read))[1]
    found["digest_ms"] = timed(lambda: configuration.digest(body))[1]
    found["read_kb"] = held(lambda: configuration.read_committed(body))[1]
    found["table_kb"] = held(lambda: RoutingTable(read))[1]
    found |= changed(base, body)
    found["find_us"] = find_us(table, [(channel.host, channel.prefix + "x") for channel in read.routes])
    return found | trial_routes(read, table)


def changed(base: bytes, body: bytes) -> Measurements:
    """Packing and unpacking, whole and where only a route has changed."""
    whole, whole_ms = timed(lambda: delta.pack(body))
    part, part_ms = timed(lambda: delta.pack(body, base))
    unpack_ms = timed(lambda: delta.unpack(part, base))[1]
    return {
        "whole_kb": len(whole) / 1000,
        "pack_whole_ms": whole_ms,
        "change_bytes": float(len(part)),
        "pack_change_ms": part_ms,
        "unpack_change_ms": unpack_ms,
    }


def find_us(table: Any, wanted: Sequence[tuple[str, str]]) -> float:
    """Microseconds of one look-up."""
    asked = [wanted[number * 7919 % len(wanted)] for number in range(LOOKUPS)]
    assert all(table.find(host, path) is not None for host, path in asked[:100])

    def look() -> None:
        for host, path in asked:
            table.find(host, path)

    return 1000 * timed(look)[1] / LOOKUPS


def trial_routes(read: configuration.Configuration, table: RoutingTable) -> Measurements:
    made, build_ms = timed(lambda: packed_blobs.Routes(read))
    wanted = [(channel.host, channel.prefix + "x") for channel in read.routes]
    one = read.routes[len(read.routes) // 2]

    def patch() -> dict[str, Any]:
        routes = dict(table.routes)
        of_host = routes[one.host] = dict(routes[one.host])
        of_host[one.prefix] = make_route(one)
        return routes

    return {
        "trial_packed_kb": held(lambda: packed_blobs.Routes(read))[1],
        "trial_packed_build_ms": build_ms,
        "trial_packed_find_us": find_us(made, wanted),
        "trial_patch_ms": timed(patch)[1],
    }


def tenants(size: int) -> Measurements:
    """So many routes, each on a host of its own, against as many on 60 hosts."""
    own = configuration.read_committed(many_routes(1, size, hosts=size))
    few = configuration.read_committed(many_routes(1, size))
    own_kb, few_kb = held(lambda: RoutingTable(own))[1], held(lambda: RoutingTable(few))[1]
    limits_kb = held(lambda: {f"tenant-{number}": [0.0, 0.0] for number in range(size)})[1]
    return {
        "table_kb": own_kb,
        "hosts_kb": own_kb - few_kb,
        "find_us": find_us(RoutingTable(own), [(channel.host, channel.prefix) for channel in own.routes]),
        "trial_limits_kb": limits_kb,
        "trial_limits_packed_kb": held(lambda: packed_blobs.Buckets(size))[1],
        "trial_packed_kb": held(lambda: packed_blobs.Routes(own))[1],
    }


# -- servers and services ----------------------------------------------------------------------------------


def server(number: int, services: int, state: int = endpoint_list.IN_SERVICE) -> endpoint_list.Endpoint:
    host = (f"10.{number // 62_500}.{number // 250 % 250}.{1 + number % 250}", 8080)
    return endpoint_list.Endpoint(
        f"i-{number:08x}", f"service-{number % services}", host, f"zone-{number // services % ZONES}", 8, state, 0
    )


def servers(size: int) -> Measurements:
    """So many servers in a 25th as many services: the list at the root and at a node, and the data plane's part."""
    services = max(size // EACH, 1)
    rows = [server(number, services) for number in range(size)]
    root = endpoint_list.EndpointList(1)
    root.update_from_platform(rows)
    whole, pack_ms = timed(root.snapshot)
    node = endpoint_list.EndpointList()
    _, apply_ms = timed(lambda: node.apply(whole))
    drained = [server(0, services, endpoint_list.DRAINING), *rows[1:]]
    change, poll_ms = timed(lambda: root.update_from_platform(drained))
    assert change is not None and node.apply(change)
    pages = [
        cbor2.dumps(
            {
                "servers": [
                    {
                        "id": row.instance_id,
                        "plant": row.service,
                        "zone": row.zone,
                        "revision": "v1",
                        "capacity": row.capacity,
                        "address": f"{row.address[0]}:{row.address[1]}",
                        "state": "in_service",
                        "warmupLeftMs": 0,
                    }
                    for row in rows[at : at + 1000]
                ],
                "nextToken": None,
            }
        )
        for at in range(0, size, 1000)
    ]
    _, pages_ms = timed(lambda: [endpoint_list.read_page(page) for page in pages])
    found = {
        "list_bytes": float(len(whole.pack())),
        "change_bytes": float(len(change.pack())),
        "pages_bytes": float(sum(map(len, pages))),
        "root_pages_ms": pages_ms,
        "root_compare_ms": poll_ms,
        "pack_list_ms": pack_ms,
        "apply_list_ms": apply_ms,
        "listing_kb": held(lambda: endpoint_list.unpack_rows(whole.rows))[1],
        "trial_rows_packed_kb": len(endpoint_list.unpack_bytes(whole.rows)) / 1000,
    }
    # Of each service the servers that weigh most for this node.
    few, subset_ms = timed(lambda: packed_blobs.subset("edge-1", rows, KEPT))
    return (
        found
        | asyncio.run(planes(rows, services))
        | {"trial_subset_servers": float(len(few)), "trial_subset_ms": subset_ms}
        | {
            f"trial_subset_{name}": value
            for name, value in asyncio.run(planes(few, services)).items()
            if name in ("plane_kb", "plane_upkeep_share")
        }
    )


async def planes(rows: Sequence[endpoint_list.Endpoint], services: int) -> Measurements:
    """A data plane with those servers and a route to each service: what it holds, and what its timers do while it is
    idle, as a share of a core: one after another, so less than in a process that wakes for each (`lab hollow`)."""
    body = many_routes(1, services, services=services)
    known = {row.instance_id: row for row in rows}
    drained = known | {rows[0].instance_id: server(0, services, endpoint_list.DRAINING)}

    def make() -> Gateway:
        gate = Gateway(settings_of("edge-1", "127.0.0.1", "zone-0", Task([], [], [1, 2])))
        gate.set_fleet(2700, 1)
        gate.apply_configuration(configuration.read_committed(body))
        gate.update_servers(known)
        return gate

    gate, make_ms = timed(make)

    def upkeep() -> None:
        for desk in gate.hosts.values():
            desk.balancer.now_us = gate.now_us()
            desk.balancer.refresh_all()

    _, upkeep_ms = timed(upkeep)
    _, collect_ms = timed(gc.collect)
    _, drain_ms = timed(lambda: gate.update_servers(drained))
    _, sweep_ms = timed(gate.upstream.sweep)
    return {
        "plane_make_ms": make_ms,
        "plane_kb": held(make)[1],
        "plane_drain_ms": drain_ms,
        "plane_collect_ms": collect_ms,
        "plane_upkeep_share": upkeep_ms / (HOUSEKEEPING_US / 1000) + sweep_ms / 1000,
    }


def services(size: int) -> Measurements:
    """So many services of one server each."""
    rows = [server(number, size) for number in range(size)]
    found = asyncio.run(planes(rows, size))
    usual = LatencyPercentile.exceeding
    with mock.patch.object(
        LatencyPercentile, "exceeding", lambda seen, share: usual(seen, share) if seen.total else 0.0
    ):
        trial = asyncio.run(planes(rows, size))
    return {name: found[name] for name in ("plane_kb", "plane_make_ms", "plane_upkeep_share")} | {
        "trial_no_empty_walks_upkeep_share": trial["plane_upkeep_share"]
    }


def samples(size: int) -> Measurements:
    """So many answers in one class's percentiles; and as many classes with a thousand answers each."""

    def fill() -> LatencyPercentile:
        made = LatencyPercentile()
        for number in range(size):
            made.add(1000.0 + number * 7919 % 400_000)
        return made

    return {"one_class_kb": held(fill)[1], "add_ms": timed(fill)[1]}


# -- nodes and the core ------------------------------------------------------------------------------------


def join_of(number: int, lost: str = "") -> frames.JoinRequest:
    return frames.JoinRequest(
        f"edge-{number}",
        f"10.{number % ZONES}.{number // 200}.{1 + number % 200}",
        f"zone-{number % ZONES}",
        frames.SERVES_CLIENTS,
        1,
        lost,
    )


def nodes(size: int) -> Measurements:
    """The root's roster of so many nodes: all join, renew, and one goes and comes back amid renewals."""
    found = roster_costs(NodeRegistry, size)
    trial = roster_costs(packed_blobs.RingRegistry, size)
    return found | {
        f"trial_ring_{name}": trial[name] for name in ("all_join_ms", "renew_us", "root_renewals_share", "churn_ms")
    }


def roster_costs(kind: type[NodeRegistry], size: int) -> Measurements:
    registry = kind("edge-0")

    def tell(number: int, at_s: float) -> frames.ParentAssignment:
        registry.register(join_of(number), at_s)
        return registry.assignment(f"edge-{number}", 1, ("10.0.0.1",) * 5, "10.0.0.1", size)

    def churn() -> None:
        for number in range(1, 6):
            registry.remove(f"edge-{number}")
            tell(0, 2.0)
            tell(number, 2.0)

    before_kb = collected_rss_kb()
    _, start_ms = timed(lambda: [tell(number, 0.0) for number in range(size)] and None)
    grown_kb = float(rss_kb() - before_kb)
    _, renew_ms = timed(lambda: [tell(number, 1.0) for number in range(size)] and None)
    _, churn_ms = timed(churn)
    return {
        "roster_kb": grown_kb,
        "all_join_ms": start_ms,
        "renew_us": 1000 * renew_ms / size,
        "root_renewals_share": renew_ms / 1000 / RENEWAL_INTERVAL_S,
        "churn_ms": churn_ms / 5,
        "join_bytes": float(len(join_of(1).pack())),
        "place_bytes": float(len(tell(1, 3.0).pack())),
    }


def digests(size: int) -> Measurements:
    """So many versions that were taken, by number and digest."""
    return {
        "taken_kb": held(
            lambda: {number: configuration.digest(number.to_bytes(8, "big")) for number in range(1000, 1000 + size)}
        )[1]
    }


def connections(size: int) -> Measurements:
    """So many clients' connections that rest, at one listener; the client's end, a bare socket, is in it too."""
    return asyncio.run(resting(size))


async def resting(size: int) -> Measurements:
    gate = Gateway(settings_of("edge-1", "127.0.0.1", "zone-0", Task([], [], [1, 2])))
    frontend = Frontend(gate, size + 10, 0, gate.limits)
    await frontend.listen("127.0.0.1", 0)
    assert frontend.server is not None
    address = frontend.server.sockets[0].getsockname()
    before_kb = collected_rss_kb()
    ends: list[socket.socket] = []
    while len(ends) < size:
        ends += [socket.create_connection(address) for _ in range(min(50, size - len(ends)))]
        while len(frontend.connections) < len(ends):
            await asyncio.sleep(0.001)
    found = {"connections_kb": float(rss_kb() - before_kb)}
    for end in ends:
        end.close()
    frontend.stop_accepting()
    return found


def requests(size: int) -> Measurements:
    """Requests in a row over one real node with so many routes, on a kept connection; servers that answer at once."""
    return asyncio.run(asked(size))


async def asked(size: int) -> Measurements:
    """Processor time is the node's alone; times are of the whole way, with the stand-in servers in it."""
    platform = Platform(page=1000)
    await platform.listen()
    for zone in ZONE_NAMES:
        made = Server("finder", zone, slots=64)
        await made.listen()
        platform.servers.append(made)
    async with System(platform.address, 3, 1, ZONE_NAMES) as system:
        await push_until_taken(system.machines[0], many_routes(1, size), 0)
        machine = system.fronts[0]
        await system.ready(machine)
        await asyncio.sleep(IDLE_S)
        begun, began_s = seen(machine), time.monotonic()
        await asyncio.sleep(IDLE_S)
        idle = (seen(machine).cpu_s - begun.cpu_s) / (time.monotonic() - began_s)
        reader, writer = await asyncio.open_connection(*machine.front)
        begun, began_s = seen(machine), time.monotonic()
        times = sorted([await ask(reader, writer, name) for name in range(REQUESTS)])
        passed_s, spent_s = time.monotonic() - began_s, seen(machine).cpu_s - begun.cpu_s
        writer.close()
    return {
        "idle_share": idle,
        "request_us": 1e6 * (spent_s - idle * passed_s) / REQUESTS,
        "p50_ms": 1000 * times[REQUESTS // 2],
        "p99_ms": 1000 * times[REQUESTS * 99 // 100],
    }


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: int) -> float:
    """Seconds until a request has its answer; one that is refused counts as well."""
    began_s = time.monotonic()
    writer.write(b"GET /find/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a%d\r\n\r\n" % (HOST.encode(), name))
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    await reader.readexactly(int(head.partition(b"content-length:")[2].split()[0]))
    return time.monotonic() - began_s


#: Families: what is measured, at which sizes, and the size at the target.
FAMILIES: dict[str, tuple[Callable[[int], Measurements], tuple[int, ...], int]] = {
    "routes": (routes, (1000, 10_000, 48_000), 48_000),
    "tenants": (tenants, (1000, 10_000, 48_000), 85_000),
    "servers": (servers, (1000, 10_000, 28_000), 28_000),
    "services": (services, (100, 400, 1100), 1100),
    "samples": (samples, (1000, 10_000, 100_000), 100_000),
    "nodes": (nodes, (100, 300, 1000, 2700), 2700),
    "digests": (digests, (128, 1500, 15_000), 1500),
    "requests": (requests, (200, 2000, 10_000), 48_000),
    "connections": (connections, (200, 1000, 3000), 3000),
}


def play(name: str, size: int) -> Measurements:
    logging.disable(logging.CRITICAL)  # the data plane warns of a loop that is late, as it is here on purpose
    return FAMILIES[name][0](size)


def measure(name: str, sizes: Sequence[int], repeat: int) -> dict[int, list[Measurements]]:
    """Each size so many times, each time in a process of its own, one after another."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, context, max_tasks_per_child=1) as pool:
        return {size: [pool.submit(play, name, size).result() for _ in range(repeat)] for size in sizes}


def line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Offset and slope of the line through them, by least squares."""
    if len({size for size, _ in points}) < 2:
        return points[0][1], 0.0
    slope, offset = statistics.linear_regression(*zip(*points, strict=True))
    return offset, slope


def spread(values: Sequence[float]) -> float:
    """How far repeated values lie apart, as a share of the middle one."""
    middle = statistics.median(values)
    return (max(values) - min(values)) / abs(middle) if middle else 0.0


def rows(found: dict[int, list[Measurements]], target: int) -> list[dict[str, Any]]:
    """Of each figure: the median at each size, slope an item, exponent, spread at the largest size, and the value at
    the target: as measured where that size was played, else along the line."""
    made = []
    for name in next(iter(found.values()))[0]:
        middles = [(float(size), statistics.median(run[name] for run in runs)) for size, runs in found.items()]
        offset, slope = line(middles)
        measured = dict(middles).get(float(target))
        made.append(
            {
                "figure": name,
                "at": dict(middles),
                "slope": slope,
                "exponent": exponent(middles),
                "spread": spread([run[name] for run in found[max(found)]]),
                "target": measured if measured is not None else offset + slope * target,
                "reckoned": measured is None,
            }
        )
    return made


def number(value: float) -> str:
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"


def table(name: str, found: dict[int, list[Measurements]], target: int) -> str:
    """A family as a Markdown table."""
    sizes = [*found]
    lines = [
        f"| {name} | " + " | ".join(map(str, sizes)) + f" | an item | exponent | spread | at {target} |",
        "| --- |" + " ---: |" * (len(sizes) + 4),
    ]
    for row in rows(found, target):
        slope = "-" if row["exponent"] is None else f"{row['exponent']:.2f}"
        lines.append(
            f"| {row['figure']} | "
            + " | ".join(number(row["at"][float(size)]) for size in sizes)
            + f" | {number(row['slope'])} | {slope} | {row['spread']:.0%} | {number(row['target'])}"
            + (" (reckoned) |" if row["reckoned"] else " |")
        )
    return "\n".join(lines)
