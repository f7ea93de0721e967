"""Runs a soak: starts the system, plays drawn series of signals and configurations beside the clients, and judges."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import cbor2

from lab.local_cluster import demo_configuration, push, push_until_taken
from lab.soak.clients import Client
from lab.soak.judge import Judge, Trouble
from lab.standins import Platform, Server
from lab.system import READY, Machine, System, status_of

#: Seconds: how long a node may take to stop (gracePeriodS), and how long its platform takes to notice (two checks).
GRACE_S, CHECK_INTERVAL_S = 6.0, 1.0
#: Seconds after a restart in which connections may still break (contactMs).
CONTACT_S = 4.0
RESTART_DELAY_S = 0.3
#: Before the program's first line runs, nothing in it can keep SIGHUP from ending the process.
INTERPRETER_START_S = 0.2
SERVERS_EACH, SLOTS, QUEUE = 3, 16, 64
#: The mean work on a request.
WORK_S = 0.12
#: The pause between the steps of a series.
STEP_PAUSE_S = (0.3, 2.5)
SECOND_S = 1.0
LAG_CHECK_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class Plan:
    """What is played."""

    seed: int = 1
    minutes: float = 1.0
    edges: int = 2
    clients: int = 24


@dataclass(slots=True)
class Report:
    """What was played and seen."""

    plan: Plan
    ends: Counter[str]
    steps: Counter[str]
    findings: list[str]
    memory_mb: dict[str, float] = field(default_factory=dict)

    def text(self) -> str:
        """One line, and one for each finding."""
        ends = ", ".join(f"{name}: {count}" for name, count in sorted(self.ends.items()))
        steps = ", ".join(f"{name}: {count}" for name, count in sorted(self.steps.items()))
        memory = ", ".join(f"{name}: {size:.0f}" for name, size in sorted(self.memory_mb.items()))
        lines = [f"seed {self.plan.seed}: {len(self.findings)} findings; ends {ends}; steps {steps}; MB {memory}"]
        return "\n".join([*lines, *(f"  {finding}" for finding in self.findings)])


class Soak:
    """One soak, from its start to its report."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.loop = asyncio.get_running_loop()
        self.judge = Judge()
        self.platform = Platform()
        self.steps: Counter[str] = Counter()
        self.in_choice: dict[str, Machine] = {}
        """The machines that the platform gives to new connections, by name."""
        self.revision = 1
        self.faults: list[str] = []
        """Processes that ended by themselves or did not get ready."""
        self.started_s: dict[str, float] = {}
        """When each machine's process was started again, by its name."""

    async def run(self) -> Report:
        """Play the whole soak."""
        await self.start_servers()
        async with System(self.platform.address, edges=self.plan.edges) as system:
            self.system = system
            await push_until_taken(system.machines[-1], cbor2.dumps(demo_configuration()), 0)
            for machine in system.fronts:
                await system.ready(machine)
            await self.play()
            memory_mb = {machine.name: peak_memory_mb(machine) for machine in system.fronts}
        servers = self.platform.servers
        report = Report(self.plan, self.judge.ends(), self.steps, self.faults + self.judge.findings(servers), memory_mb)
        for server in servers:
            server.close()
        self.platform.close()
        return report

    async def start_servers(self) -> None:
        """Start the platform and the stand-in servers."""
        await self.platform.listen()
        for number in range(2 * SERVERS_EACH):
            service, zone = ("finder", "booker")[number % 2], ("east", "west")[number // 2 % 2]
            server = Server(
                service, zone, slots=SLOTS, queue=QUEUE, work_of=lambda _: WORK_S, rng=random.Random(number)
            )
            await server.listen()
            self.platform.servers.append(server)

    async def play(self) -> None:
        """Clients and series beside each other, until the time is over."""
        until_s = self.loop.time() + 60 * self.plan.minutes
        checks = asyncio.gather(self.check_readiness(), self.watch_lag())
        while len(self.in_choice) < len(self.system.fronts):
            await asyncio.sleep(0.01)
        clients = [
            Client(f"c{number}", random.Random(self.rng.random()), self.judge, self.pick)
            for number in range(self.plan.clients)
        ]
        series = [
            self.series(random.Random(self.rng.random()), until_s, step)
            for step in (self.restart_edge, self.reload_edge, self.restart_core, self.change_configuration)
        ]
        await asyncio.gather(*(client.run(until_s) for client in clients), *series)
        checks.cancel()

    def pick(self) -> Machine:
        """A machine for a new connection, as the platform picks it."""
        return self.rng.choice(list(self.in_choice.values()) or self.system.fronts)

    async def check_readiness(self) -> None:
        """The platform's part: two failed checks in a row take a machine out of the choice."""
        failed: Counter[str] = Counter()
        while True:
            for machine in self.system.fronts:
                if await status_of((machine.ip, READY), "/-/ready") == 200:
                    failed[machine.name] = 0
                    self.in_choice[machine.name] = machine
                else:
                    failed[machine.name] += 1
                    if failed[machine.name] >= 2:
                        self.in_choice.pop(machine.name, None)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def watch_lag(self) -> None:
        """Note when this process's event loop stands still: ends of connections are seen late then."""
        while True:
            due_s = self.loop.time() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            if (lag_s := self.loop.time() - due_s) > LAG_CHECK_INTERVAL_S:
                self.judge.lags.append((self.loop.time(), lag_s))

    async def series(
        self, rng: random.Random, until_s: float, step: Callable[[random.Random], Awaitable[None]]
    ) -> None:
        """Repeat a step with drawn pauses."""
        while (pause_s := rng.uniform(*STEP_PAUSE_S)) < until_s - self.loop.time():
            await asyncio.sleep(pause_s)
            await step(rng)

    async def restart_edge(self, rng: random.Random) -> None:
        """Stop an edge machine, mostly in order, and start it again; the other ones serve meanwhile."""
        machine = rng.choice(self.system.fronts)
        killed = rng.random() < 0.3
        self.steps["SIGKILL edge" if killed else "SIGTERM edge"] += 1
        began_s = self.loop.time()
        self.check_alive(machine)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.system.kill(machine, signal.SIGKILL if killed else signal.SIGTERM)
        except TimeoutError:
            self.judge.troubles.append(Trouble(machine.name, self.loop.time(), self.loop.time() + SECOND_S))
            await self.system.kill(machine)
        if killed:
            self.judge.troubles.append(Trouble(machine.name, began_s, self.loop.time() + SECOND_S))
            self.in_choice.pop(machine.name, None)
        await self.start_again(machine)
        try:
            await self.system.ready(machine)
        except TimeoutError as err:
            self.faults.append(f"Fault: {err}")

    async def reload_edge(self, rng: random.Random) -> None:
        """SIGHUP to an edge machine."""
        machine = rng.choice(self.system.fronts)
        self.steps["SIGHUP edge"] += 1
        if self.loop.time() - self.started_s.get(machine.name, 0.0) > INTERPRETER_START_S:
            with contextlib.suppress(ProcessLookupError):
                assert machine.process is not None
                machine.process.send_signal(signal.SIGHUP)

    async def restart_core(self, rng: random.Random) -> None:
        """Kill or stop one core machine and start it again; the next one only once it counts again."""
        machine = rng.choice([machine for machine in self.system.machines if machine.core])
        number = rng.choice([signal.SIGKILL, signal.SIGTERM])
        self.steps[f"{number.name} core"] += 1
        self.check_alive(machine)
        await self.system.kill(machine, number)
        await self.start_again(machine)
        await asyncio.sleep(CONTACT_S)

    async def start_again(self, machine: Machine) -> None:
        """The platform's part: start a process that has ended."""
        await asyncio.sleep(RESTART_DELAY_S)
        self.started_s[machine.name] = self.loop.time()
        await self.system.start(machine)

    def check_alive(self, machine: Machine) -> None:
        """Note a process that has ended by itself."""
        if machine.process is not None and machine.process.returncode is not None:
            self.faults.append(f"Fault: {machine.name} ended by itself with {machine.process.returncode}")

    async def change_configuration(self, rng: random.Random) -> None:
        """Send a configuration, valid or not, to any machine."""
        valid = rng.random() < 0.7
        self.steps["valid configuration" if valid else "invalid configuration"] += 1
        document = demo_configuration(self.revision + 1)
        if not valid:
            document["channels"][0]["plant"] = "nobody"
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            status, _ = await push(rng.choice(self.system.machines), cbor2.dumps(document), self.revision)
            self.revision += valid and status == 200


def peak_memory_mb(machine: Machine) -> float:
    """The highest resident memory of a machine's process; 0 if it doesn't run."""
    if machine.process is None or machine.process.returncode is not None:
        return 0.0
    status = Path(f"/proc/{machine.process.pid}/status").read_text("utf-8")
    return next(int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmHWM"))


async def soak(plan: Plan) -> Report:
    """Play a soak."""
    return await Soak(plan).run()
