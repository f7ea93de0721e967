"""Whole days without a network: every machine's real node, data plane included, with servers, clients, platform and
operator around it, on the simulated clock, links and disks of `simulation`. One seed, one run, exactly.

A machine's processor is a price for each piece of bytes that it reads (`READ_S`, `BYTE_S`, on its share of a core),
paid one after another; its link carries news and requests together. What the parties saw goes into a ledger, which
tells the rules that were broken. What is not played: processes that take turns on one core, memory, the handshake's
price.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any

import cbor2

from cypressbeam.node.gateway_node import GatewayNode
from cypressbeam.protocol.address import Address
from cypressbeam.protocol.settings import Envelope, Settings
from cypressbeam.proxy.gateway import Gateway
from cypressbeam.proxy.http_client import HttpClient
from lab.calls import Calls
from lab.clients import ClientPopulation
from lab.day import Day, Kind, Service, Trouble
from lab.invariant_checker import EVERYBODY, Breach, Ledger, Try
from lab.membership import CONTROL, Cluster
from lab.planned import Bounds
from lab.simulation import Disk, EarlySocket, Host
from lab.standins import Platform, Server

log = logging.getLogger(__name__)

FRONT, READY, SERVER_PORT, PLATFORM = 8641, 8640, 8080, ("10.250.0.1", 8642)
HOST_NAME = "api.example"
#: Processor seconds of a whole core: for each piece of bytes that a node reads, with all that it does for it, and for
#: each byte (docs/design/emulator.md tells how they were measured).
READ_S, BYTE_S = 7.5e-5, 1e-9
#: The platform asks each node so often whether it is ready; two misses and it gets no more clients.
READY_EVERY_S, READY_TIMEOUT_S, MISSES = 1.0, 1.0, 2
#: The operator's pause between tries, and its patience with one.
AGAIN_S, PATIENCE_S = 0.2, 3.0
#: How often servers' connections are counted.
COUNT_S = 0.2
#: Each node that is ready gets so many requests on a route that was added, one each so often.
VISITS, VISIT_EVERY_S = 5, 0.25
#: After the last request has come, for the answers of those in hand.
TAIL_S = 3.0


class Emulated(GatewayNode):
    """A node with its data plane, on the simulated clock."""

    def make_gateway(self) -> Gateway | None:
        return Gateway(self.settings, now_us) if self.settings.front_listener else None


def now_us() -> int:
    return int(asyncio.get_running_loop().time() * 1e6)


@dataclass(frozen=True, slots=True)
class DayResult:
    """What a day came to. Shares from 0 to 1; times in milliseconds; processor time in seconds of whole cores."""

    figures: dict[str, float]
    breaches: list[Breach]


class World(Cluster):
    """All machines of a day and everybody around them."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        self.zones = tuple(f"zone-{number + 1}" for number in range(day.zones))
        super().__init__(day.edges, seed, day.edge_mbps, day.core_mbps, day.idle_routes, day.cores, self.zones)
        self.ledger = Ledger()
        self.rng = random.Random(f"{seed} world")
        self.outside: dict[str, Host] = {
            zone: self.net.add(f"10.240.{number}.1", zone) for number, zone in enumerate(self.zones)
        }
        self.servers: list[Server] = []
        self.hosts: dict[str, Host] = {}
        """By server."""
        self.misses: dict[str, int] = {}
        self.added: list[str] = []
        """Labels of the routes that changes of the configuration have added, the newest last."""
        self.populations: list[ClientPopulation] = []
        self.calls = Calls(day.kinds, HOST_NAME, self.nodes_of, self.ledger, seed)
        self.works_s = {f"/{kind.name}/".encode(): kind.work_ms / 1000 for kind in day.kinds}
        self.born = 0
        self.operator = asyncio.Lock()
        """One operator at a time, unless two race."""
        self.began_s = self.loop.time()
        self.most_connections = 0
        """At one server at once, as looked at now and then."""

    # -- machines ------------------------------------------------------------------------------------------

    def settings_of(self, name: str, ip: str, zone: str, core: bool) -> Settings:
        day = self.day
        envelope = Envelope(
            grace_period_s=day.grace_s,
            retry_ratio=day.retry_ratio,
            retry_window_s=day.retry_window_s,
            retry_slack=day.retry_slack,
        )
        return replace(
            super().settings_of(name, ip, zone, core),
            control_listener=(ip, CONTROL),
            platform=PLATFORM,
            readiness_listener=None if core else (ip, READY),
            memory_mb=day.memory_mb,
            file_handles=4100,
            envelope=envelope,
            share_faults=day.share_faults,
        )

    def add(self, name: str, ip: str, zone: str, core: bool) -> None:
        super().add(name, ip, zone, core)
        share = self.day.core_share if core else self.day.edge_share
        self.machines[-1][0].cpu_cost_s = lambda size: (READ_S + size * BYTE_S) / share

    def make_node(self, host: Host, settings: Settings, disk: Disk | None) -> GatewayNode:
        early = EarlySocket(host, FRONT) if settings.front_listener else None
        node = Emulated(settings, disk, early)  # type: ignore[arg-type]  # a stand-in for a socket
        seed = f"{self.seed} {settings.node} {host.life}"
        node.control.rng = node.state_query.rng = random.Random(f"{seed} calls")  # type: ignore[assignment]
        if node.gateway is not None:
            node.gateway.rng.seed(f"{seed} gate")
        return node

    async def add_server(self, service: Service, zone: str, new: bool = False, host: Host | None = None) -> Server:
        """A server of a life of its own, at an address of its own or at that of one that is gone; a new one is cold and
        shows on the list later."""
        self.born += 1
        ip = f"10.{100 + self.zones.index(zone)}.{self.born // 200}.{1 + self.born % 200}"
        place = host or self.net.add(ip, zone)
        self.net.start(place)

        async def begin() -> Server:
            server = Server(
                service.name,
                zone,
                service.slots,
                service.queue,
                ident=f"i-{self.born:05x}",
                connections=service.connections,
                ledger=self.ledger,
                work_of=self.work_of,
                rng=random.Random(f"{self.seed} server {self.born}"),
            )
            server.call_of = self.calls.of
            server.speed = server.rng.lognormvariate(0.0, service.spread)
            await server.listen(place.ip, SERVER_PORT)
            return server

        server = await self.loop.create_task(begin(), context=place.context)
        if new:
            server.started_s = self.loop.time()
            server.history = [(self.loop.time(), "in_service")]
        self.hosts[server.ident] = place
        self.servers.append(server)
        return server

    def work_of(self, target: bytes) -> float:
        return self.works_s.get(target[: target.find(b"/", 1) + 1], 0.05)

    def drain(self, server: Server) -> None:
        server.state = "draining"
        self.ledger.drained_s[server.ident] = self.loop.time() + self.day.list_delay_s

    def of(self, service: str) -> list[Server]:
        """Servers in service, of one service or of all."""
        return [
            server
            for server in self.servers
            if server.state == "in_service" and self.hosts[server.ident].up and service in ("", server.plant)
        ]

    # -- the platform --------------------------------------------------------------------------------------

    async def start_platform(self) -> None:
        host = self.net.add(PLATFORM[0], self.zones[0])
        self.net.start(host)

        async def begin() -> Platform:
            platform = Platform(delay_s=self.day.list_delay_s, servers=self.servers)
            await platform.listen(*PLATFORM)
            for machine, settings in self.machines:
                if settings.readiness_listener is not None:
                    self.misses[settings.node] = MISSES
                    self.loop.create_task(self.watch(machine, settings), context=host.context)
            return platform

        self.platform = await self.loop.create_task(begin(), context=host.context)

    async def watch(self, machine: Host, settings: Settings) -> None:
        """Ask one node again and again whether it is ready."""
        assert settings.readiness_listener is not None
        await asyncio.sleep(self.rng.uniform(0.0, READY_EVERY_S))
        while True:
            ready = False
            connection = HttpClient(settings.readiness_listener)
            try:
                async with asyncio.timeout(READY_TIMEOUT_S):
                    await connection.open()
                    ready = (await connection.get("/-/ready", READY_TIMEOUT_S)).status == 200
            except (OSError, EOFError, TimeoutError):
                pass
            connection.close()
            self.misses[settings.node] = 0 if ready else self.misses[settings.node] + 1
            await asyncio.sleep(READY_EVERY_S)

    def nodes_of(self, zone: str) -> dict[str, Address]:
        """Where the platform passes the connections of a zone's clients."""
        edges = [(host.zone, settings) for host, settings in self.machines if settings.front_listener is not None]
        ready = [(at, settings) for at, settings in edges if self.misses[settings.node] < MISSES]
        here = [settings for at, settings in ready if at == zone]
        local = [settings for at, settings in edges if at == zone]
        chosen = here if 2 * len(here) >= len(local) else (local if here else [settings for _, settings in ready])
        return {settings.node: (settings.ip, FRONT) for settings in chosen}

    # -- the operator --------------------------------------------------------------------------------------

    def document(self, revision: int) -> dict[str, Any]:
        """The configuration: the day's routes, those that nobody asks for, and those that were added."""
        day = self.day
        channels = [self.channel(kind.name, kind) for kind in day.kinds]
        usual = day.kinds[0]
        channels += [self.channel(f"idle-{number}", usual) for number in range(day.idle_routes)]
        channels += [self.channel(label, usual) for label in self.added[-1:]]
        plants = [
            {
                "label": service.name,
                "probe": "/health",
                "connLimit": service.connections,
                "protocol": "h1",
                "tls": False,
            }
            for service in day.services
        ]
        return {
            "revision": revision,
            "channels": channels,
            "plants": plants,
            "constraints": {"headerMaxBytes": 16384, "bodyMaxBytes": 1 << 24, "headerWaitMs": 3000, "quietMs": 15000},
        }

    def channel(self, label: str, kind: Kind) -> dict[str, Any]:
        return {
            "label": label,
            "host": HOST_NAME,
            "prefix": f"/{label}/",
            "mode": kind.mode,
            "cutoffMs": kind.cutoff,
            "setpointMs": kind.aim_ms,
            "rank": 0 if kind.worth > 1 else 1,
            "tries": kind.tries,
            "plant": kind.service,
        }

    async def push(self) -> float:
        """Replace the configuration, at any node, until it is taken; when that was acknowledged."""
        async with self.operator:
            base, self.revision = self.revision, self.revision + 1
            status = await self.settle(self.document(self.revision), base)
            assert status == 200, f"a proper change got {status}"
            return self.loop.time()

    async def settle(self, document: dict[str, Any], base: int) -> int:
        """Send a change until it has a clear answer: 200, or that it is refused."""
        body, change = cbor2.dumps(document), self.ledger.planned.sends(self.loop.time())
        while True:
            machine, settings = self.rng.choice(self.machines)
            if machine.up:
                with contextlib.suppress(OSError, EOFError, TimeoutError):
                    status = await self.post(settings, body, base)
                    if status in (200, 400, 409, 412, 413, 422):
                        change.answered(status == 200, self.loop.time())
                        return status
            await asyncio.sleep(AGAIN_S)

    async def race(self) -> None:
        """Two operators change the same version at the same time: one of them wins."""
        async with self.operator:
            base, self.revision = self.revision, self.revision + 2
            numbers = (base + 1, base + 2)
            answers = await asyncio.gather(*(self.settle(self.document(number), base) for number in numbers))
            won = [number for number, status in zip(numbers, answers, strict=True) if status == 200]
            if len(won) != 1:
                self.ledger.breach("CONFIG", self.loop.time(), f"two changes on version {base} got {answers}")
            self.revision = max(won, default=base)

    async def post(self, settings: Settings, body: bytes, base: int) -> int:
        assert settings.control_listener is not None
        connection = HttpClient(settings.control_listener)
        async with asyncio.timeout(PATIENCE_S):
            await connection.open()
            try:
                answer = await connection.call(
                    b"POST /-/Configuration.Replace HTTP/1.1\r\nHost: control\r\nBase-Revision: %d\r\n"
                    b"Content-Type: application/cbor\r\nContent-Length: %d\r\n\r\n%s" % (base, len(body), body),
                    PATIENCE_S,
                )
            finally:
                connection.close()
        return answer.status

    async def change_routes(self) -> None:
        """Add a route, take away the one added before, and look at each node, once the change must be there."""
        label, gone = f"added-{self.revision}", self.added[-1] if self.added else ""
        self.added.append(label)
        self.ledger.allowed[label].add(self.day.kinds[0].service)
        await self.push()
        await asyncio.sleep(self.day.converge_s)
        self.ledger.added.add(label)
        for number in range(VISITS):
            if self.added[-1] != label:
                return  # a later change has taken it away again
            ready = [settings for _, settings in self.machines if self.misses.get(settings.node, MISSES) < MISSES]
            await asyncio.gather(*(self.look(settings, label, gone, number) for settings in ready))
            await asyncio.sleep(VISIT_EVERY_S)

    async def look(self, settings: Settings, label: str, gone: str, number: int) -> None:
        for name, allowed in ((label, True), (gone, False)):
            if not name:
                continue
            ident = f"look-{name}-{settings.node}-{number}"
            target = f"/{name}/{ident}".encode()
            one = self.ledger.tries[ident] = Try(
                ident, name, True, settings.node, (b"GET", target, b""), self.loop.time()
            )
            connection = HttpClient((settings.ip, FRONT))
            try:
                async with asyncio.timeout(PATIENCE_S):
                    await connection.open()
                    answer = await connection.call(
                        b"GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left-Ms: 2000\r\n\r\n"
                        % (target, HOST_NAME.encode(), ident.encode()),
                        PATIENCE_S,
                    )
            except (OSError, EOFError, TimeoutError):
                continue
            finally:
                connection.close()
            one.ended_s, one.status = self.loop.time(), answer.status
            if (answer.status == 404) == allowed and self.ledger.in_touch(settings.node, self.loop.time()):
                self.ledger.breach("CONFIG", self.loop.time(), f"{settings.node} answers {answer.status} on {name}")

    # -- a day ---------------------------------------------------------------------------------------------

    async def play(self) -> None:
        """All of it, from the start of the machines until the last answer."""
        day = self.day
        for host in self.outside.values():
            self.net.start(host)
        self.net.start(self.net.add("10.250.0.2", self.zones[0]))
        for kind in day.kinds:
            self.ledger.allowed[kind.name].add(kind.service)
        for service in day.services:
            for number in range(service.servers):
                await self.add_server(service, self.zones[number % len(self.zones)])
        await self.start_platform()
        for machine in self.machines:
            self.start(*machine)
        began_s = self.loop.time()
        await self.as_operator(self.push)
        await asyncio.sleep(max(began_s + day.lead_s - self.loop.time(), 0.0))
        self.start_clients(self.loop.time() + day.traffic_s)
        self.count_connections()
        events = [self.loop.create_task(self.befall(trouble)) for trouble in day.troubles]
        await asyncio.sleep(day.traffic_s + TAIL_S + max(kind.deadline_ms for kind in day.kinds) / 1000)
        for event in events:  # one that waits for a machine without power would wait for ever
            if event.done():
                event.result()
            event.cancel()

    def count_connections(self) -> None:
        self.most_connections = max(self.most_connections, *(len(one.frontend.connections) for one in self.servers))
        self.loop.call_later(COUNT_S, self.count_connections)

    async def as_operator(self, what: Callable[[], Any]) -> Any:
        return await self.loop.create_task(what(), context=self.net.hosts["10.250.0.2"].context.copy())

    def start_clients(self, stops_s: float) -> None:
        day = self.day
        for zone, host in self.outside.items():
            population = ClientPopulation(
                zone,
                day.kinds,
                1.0 / len(self.zones),
                lambda zone=zone: self.nodes_of(zone),  # type: ignore[misc]
                lambda kind: HOST_NAME,
                lambda kind: self.ledger.allowed[kind.name],
                day.kept,
                self.ledger,
                random.Random(f"{self.seed} clients {zone}"),
                stops_s,
            )
            self.populations.append(population)
            host.context.copy().run(population.start)

    @contextlib.contextmanager
    def out_of_touch(self, machines: Iterable[tuple[Host, Settings]], planned: bool = False) -> Iterator[None]:
        """While trouble is on these machines, and until `contact_s` after; the core's is everybody's."""
        names = {EVERYBODY if settings.front_listener is None else settings.node for _, settings in machines}
        from_s = self.loop.time()
        spans = [self.ledger.out] if planned else [self.ledger.out, self.ledger.troubled]
        for name, by_name in itertools.product(sorted(names), spans):
            by_name[name].append((from_s, math.inf))
        yield
        for name, by_name in itertools.product(sorted(names), spans):
            after_s = self.day.contact_s if by_name is self.ledger.out else 0.0
            by_name[name].remove((from_s, math.inf))
            by_name[name].append((from_s, self.loop.time() + after_s))

    async def befall(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.at)
        log.info("trouble: %s", trouble.kind)
        await self.inject(trouble)

    async def inject(self, trouble: Trouble) -> None:
        """Act on the world as a trouble of the day does; lab/day_simulation.py knows how."""
        raise NotImplementedError

    def outcome(self) -> DayResult:
        day, ledger = self.day, self.ledger
        found = ledger.breaches(
            day.drain_s,
            day.retry_ratio,
            day.retry_window_s,
            day.retry_slack,
            Bounds(
                grace_s=day.grace_s, converge_s=day.converge_s, contact_s=day.contact_s, loss_slack_s=day.loss_slack_s
            ),
        )
        found += [Breach("FAULT", 0.0, text) for text in self.net.faults]
        edges = [host for host, settings in self.machines if settings.front_listener is not None]
        figures = {"worth": ledger.worth(), "worst windows": ledger.worst_windows(), "served": ledger.served()}
        figures |= {f"worth of {kind}": worth for kind, worth in ledger.by_kind().items()}
        figures |= {f"p{100 * share:g} ms": ledger.took_ms(share) for share in (0.5, 0.99, 0.999)}
        figures |= {
            "requests": float(len(ledger.of_clients)),
            "arrivals beyond the first": float(sum(len(ledger.extra(plant)) for plant in ledger.arrivals)),
            "held past the cut-off": float(len(ledger.held())),
            "price of these": ledger.price_of_held(),
            "edge processor s": sum(host.cpu_used_s * day.edge_share for host in edges),
            "busiest edge kB": max(host.bytes for host in edges) / 1000,
        }
        return DayResult(figures, found)
