"""A soak by rounds: in each, a drawn series of settings, kills or large responses, and then all must work again.

The system is started with kills from its first tenth of a second on. After each round all machines are back, and within
`RECOVERY_S` a new configuration must be taken and a request on its new route be served by each edge node."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import cbor2

from cypressbeam.node.state_query import STATE_PATH
from cypressbeam.protocol.settings_keys import SETTINGS_KEYS, SettingsKey, ValueKind
from lab.local_cluster import HOST, demo_configuration, push
from lab.soak.documents import DocumentServer, Reading, read_message, read_response
from lab.soak.run import peak_memory_mb
from lab.standins import Platform
from lab.system import CONTROL, READY, Machine, System, status_of

#: `recoveryS` of the deployments, and the memory of an edge node.
RECOVERY_S, MEMORY_MB = 15.0, 300
#: Delays of kills after the first start, and how long machines are down.
FIRST_KILL_S, DOWN_S = (0.1, 1.5), (0.3, 1.5)
#: Machines start within this time of each other.
START_SPREAD_S = 0.3
#: A changed settings file is read within this time without a signal (gateway_node.SETTINGS_POLL_INTERVAL_S).
FILE_WATCH_S = 1.5
#: Time for registrations to reach the disks of the core.
SETTLED_S = 2.0
#: The polls of a leader come within this time at a new address.
POLL_S = 5.0
READERS, MAX_BODY_BYTES, SLOW_READ_S = 12, 30 * 1024 * 1024, 0.005
#: Keys whose values decide whether the system can work at all; the others are drawn.
FIXED_KEYS = frozenset({"constraints.memoryMb", "constraints.linkMbps", "tolerance.machineLosses"})
#: The range in which a figure is drawn, as a multiple of its default.
FIGURE_RANGE = (0.7, 1.5)


@dataclass(slots=True)
class OutageReport:
    """What was played and found."""

    seed: int
    rounds: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    reads: Counter[int] = field(default_factory=Counter)
    peak_mb: float = 0.0

    def text(self) -> str:
        """One line, and one for each finding."""
        reads = ", ".join(f"{status}: {count}" for status, count in sorted(self.reads.items()))
        line = f"seed {self.seed}: {len(self.findings)} findings; {'; '.join(self.rounds)}; reads {reads or 'none'}"
        return "\n".join([f"{line}; {self.peak_mb:.0f} MB at most", *(f"  {finding}" for finding in self.findings)])


def drawn_figure(key: SettingsKey, rng: random.Random) -> str:
    """A value that the pages allow: a whole number, a fraction, or a boolean."""
    value = key.default * rng.uniform(*FIGURE_RANGE)
    if key.kind is ValueKind.COUNT:
        return str(int(value))
    if key.kind is ValueKind.FIGURE and rng.random() < 0.1:
        return "true"
    return rng.choice([f"{value:.3f}", str(max(round(value), 1))])


class OutageSoak:
    """One soak by rounds."""

    def __init__(self, seed: int, rounds: int, edges: int = 3) -> None:
        self.seed = seed
        self.rng = random.Random()
        """Draws what a round plays; each round has its own, so that delays do not change what later rounds play."""
        self.check_rng = random.Random(seed)
        """Draws the machines that the checks ask."""
        self.rounds = rounds
        self.edges = edges
        self.report = OutageReport(seed)
        self.loop = asyncio.get_running_loop()
        self.platforms = [Platform()]
        self.revision = 0
        self.reads = 0

    async def run(self) -> OutageReport:
        """Play the whole soak; it ends with the first round after which the system does not work again."""
        await self.start_servers()
        extra = {"constraints.memoryMb": str(MEMORY_MB)}
        try:
            async with System(self.platforms[0].address, edges=self.edges, extra=extra) as system:
                self.system = system
                await self.play()
        finally:
            for server in self.platforms[0].servers:
                server.close()
            for platform in self.platforms:
                platform.close()
        return self.report

    async def start_servers(self) -> None:
        """Start the platform and the stand-in servers."""
        await self.platforms[0].listen()
        for zone in ("east", "west"):
            for service in ("finder", "booker"):
                server = DocumentServer(service, zone, slots=64, queue=64, work_s=0.02)
                await server.listen()
                self.platforms[0].servers.append(server)

    async def play(self) -> None:
        """Play the first start and the rounds."""
        series: list[Callable[[], Awaitable[str]]] = [
            self.change_settings,
            self.change_settings,
            self.kill_group,
            self.kill_group,
            self.move_platform,
            self.read_documents,
        ]
        for number in range(self.rounds + 1):
            self.rng = random.Random(f"outages {self.seed} {number}")
            played = await (self.rng.choice(series)() if number else self.disturb_first_start())
            self.report.rounds.append(played)
            await self.check_all(played)
            if self.report.findings:
                return

    # -- series --------------------------------------------------------------------------------------------

    async def disturb_first_start(self) -> str:
        """Kill one or two machines during the first start."""
        victims = self.rng.sample(self.system.machines, self.rng.choice([1, 1, 2]))
        delays_s = [(self.rng.uniform(*FIRST_KILL_S), self.rng.uniform(*DOWN_S)) for _ in victims]
        await asyncio.gather(*(self.restart(victim, *delays) for victim, delays in zip(victims, delays_s, strict=True)))
        return f"first start without {' '.join(machine.name for machine in victims)} for a moment"

    async def restart(self, machine: Machine, delay_s: float, down_s: float) -> None:
        """Kill a machine after a delay and start it again."""
        await asyncio.sleep(delay_s)
        await self.system.kill(machine)
        await asyncio.sleep(down_s)
        await self.system.start(machine)

    async def change_settings(self) -> str:
        """Write new files for some machines: other seeds, other figures; with or without a signal."""
        cores = [machine for machine in self.system.machines if machine.core]
        seeds = self.rng.sample(self.rng.choice([self.system.machines, self.system.fronts, cores]), 3)
        some = self.rng.sample(self.system.machines, self.rng.randint(1, len(self.system.machines)))
        changed = self.rng.choice([some, self.system.fronts, self.system.machines])
        signals = self.rng.random() < 0.5
        for machine in changed:
            machine.seeds = ",".join(f"{seed.ip}:{CONTROL}" for seed in seeds)
            for key in self.rng.sample(SETTINGS_KEYS, 6):
                if key.kind in (ValueKind.COUNT, ValueKind.NUMBER, ValueKind.FIGURE) and key.name not in FIXED_KEYS:
                    machine.changes[key.name] = drawn_figure(key, self.rng)
            self.renew(machine, signals)
        await asyncio.sleep(SETTLED_S + (0.0 if signals else FILE_WATCH_S))
        names = " ".join(machine.name for machine in changed)
        return f"seeds {' '.join(seed.name for seed in seeds)} for {names}{', SIGHUP' if signals else ''}"

    def renew(self, machine: Machine, signals: bool) -> None:
        """Write a machine's file anew, and tell its process."""
        self.system.write_settings(machine)
        if signals and machine.process is not None and machine.process.returncode is None:
            machine.process.send_signal(signal.SIGHUP)

    async def move_platform(self) -> str:
        """The platform moves, with SIGHUP at every machine; the old address falls silent later."""
        former, platform = self.platforms[-1], Platform(servers=self.platforms[0].servers)
        await platform.listen()
        self.platforms.append(platform)
        self.system.platform = platform.address
        for machine in self.system.machines:
            self.renew(machine, signals=True)
        await asyncio.sleep(POLL_S)
        if not platform.calls:
            self.report.findings.append("the platform was not called at its new address")
        former.close()
        return "the platform moved"

    async def kill_group(self) -> str:
        """Kill all machines, all edge nodes or all core machines at once, and start them in a drawn order."""
        name, members = self.rng.choice(
            [
                ("all machines", self.system.machines),
                ("all edge nodes", self.system.fronts),
                ("all core machines", [machine for machine in self.system.machines if machine.core]),
            ]
        )
        down_s = self.rng.uniform(*DOWN_S)
        delays_s = [self.rng.uniform(0.0, START_SPREAD_S) for _ in members]
        await asyncio.gather(*(self.system.kill(machine) for machine in members))
        await asyncio.sleep(down_s)
        await asyncio.gather(*map(self.start_late, members, delays_s))
        return f"{name} killed"

    async def start_late(self, machine: Machine, delay_s: float) -> None:
        """Start a machine after a delay."""
        await asyncio.sleep(delay_s)
        await self.system.start(machine)

    async def read_documents(self) -> str:
        """Read responses of 0 bytes to 30 MiB at one node at once, some of them slowly."""
        machine = self.rng.choice(self.system.fronts)
        sizes = [self.rng.choice([0, 1, 70_000, 3_000_000, MAX_BODY_BYTES, MAX_BODY_BYTES]) for _ in range(READERS)]
        readings = await asyncio.gather(*(self.read(machine, size) for size in sizes), return_exceptions=True)
        for size, reading in zip(sizes, readings, strict=True):
            if isinstance(reading, BaseException):
                self.report.findings.append(f"a read of {size} bytes ended with {type(reading).__name__}")
            else:
                self.judge_reading(size, reading)
        return f"{sum(size == MAX_BODY_BYTES for size in sizes)} responses of 30 MiB at {machine.name}"

    async def read(self, machine: Machine, size: int) -> Reading:
        """Read one response."""
        self.reads += 1
        pause_s = self.rng.choice([0.0, 0.0, SLOW_READ_S])
        message = read_message(f"d{self.reads}", size, chunked=self.rng.random() < 0.5)
        return await read_response(machine, message, lambda _: pause_s)

    def judge_reading(self, size: int, reading: Reading) -> None:
        """A read is served whole or refused."""
        self.report.reads[reading.status] += 1
        served = reading.status == 200 and reading.size == size
        if not served and not (reading.status in (503, 504) and reading.is_whole()):
            self.report.findings.append(f"a read of {size} bytes ended with {reading}")

    # -- after each round ----------------------------------------------------------------------------------

    async def check_all(self, played: str) -> None:
        """All works again within the time, no process has ended, and none has taken too much memory."""
        until_s = self.loop.time() + RECOVERY_S
        if not await self.is_configured(until_s):
            self.report.findings.append(f"after {played}: no configuration is taken")
            return
        for machine in self.system.fronts:
            if not await self.is_serving(machine, until_s):
                self.report.findings.append(f"after {played}: {machine.name} does not serve")
        for machine in self.system.machines:
            while await status_of(machine.control, STATE_PATH.decode()) != 200 and self.loop.time() < until_s:
                await asyncio.sleep(0.1)
            if machine.process is None or machine.process.returncode is not None:
                self.report.findings.append(f"after {played}: {machine.name} ended by itself")
            self.report.peak_mb = max(self.report.peak_mb, peak_memory_mb(machine))
        if self.report.peak_mb > MEMORY_MB:
            self.report.findings.append(f"after {played}: {self.report.peak_mb:.0f} MB of {MEMORY_MB}")

    async def is_configured(self, until_s: float) -> bool:
        """Whether a configuration with a new route is taken in time."""
        document = demo_configuration(self.revision + 1)
        document["channels"].append(document["channels"][0] | {"label": "new", "prefix": self.new_prefix()})
        body = cbor2.dumps(document)
        while self.loop.time() < until_s:
            try:
                async with asyncio.timeout(2.0):
                    status, _ = await push(self.check_rng.choice(self.system.machines), body, self.revision)
            except (OSError, EOFError, TimeoutError):
                status = 0
            if status == 200:
                self.revision += 1
                return True
            await asyncio.sleep(0.1)
        return False

    def new_prefix(self) -> str:
        """The path of the route that the next configuration adds."""
        return f"/new-{self.revision + 1}/"

    async def is_serving(self, machine: Machine, until_s: float) -> bool:
        """Whether a node is ready and serves the newest route in time."""
        while self.loop.time() < until_s:
            self.reads += 1
            target = f"/new-{self.revision}/{self.reads}"
            head = f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: n{self.reads}\r\nTime-Left-Ms: 3000\r\n\r\n"
            try:
                async with asyncio.timeout(4.0):
                    reading = await read_response(machine, head.encode(), lambda _: 0.0)
                if reading.status == 200 and await status_of((machine.ip, READY), "/-/ready") == 200:
                    return True
            except (OSError, EOFError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False
