"""A small deployment of separate processes on loopback, started with the commands of the deploy file."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import cbor2

from rig2.http import Address, call, pack

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL = 8641, 8640, 8649
PEERS = 7620, 7635
ZONES = ("bahirdar-hall", "gondar-hall", "dessie-hall")
#: The figures of a control site's envelope, as its settings files have them.
ENVELOPE = {
    "seedDelayS": 3,
    "addressReuseS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "syncS": 4,
    "drainDeadlineMs": 3000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "convergeMs": 3000,
    "regressSlackMs": 250,
    "stretchMaxMs": 12000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 64,
    "recoveryS": 15,
}


class CannotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


@dataclass
class Machine:
    """One machine, and the process on it."""

    name: str
    ip: str
    zone: str
    core: bool
    folder: Path
    seeds: list[str] = field(default_factory=list)
    bootstrap: bool = True
    process: asyncio.subprocess.Process | None = None

    @property
    def control(self) -> Address:
        """The address for the operator."""
        return self.ip, CONTROL

    @property
    def front(self) -> Address:
        """The address for clients."""
        return self.ip, FRONT


class Network:
    """Addresses of their own in 127.0.0.0/8, with the system's ports free."""

    def __init__(self) -> None:
        for _ in range(50):
            self.prefix = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
            if all(self.is_free(f"{self.prefix}.{last}") for last in range(1, 20)):
                return
        raise CannotRunError("no free loopback addresses")

    @staticmethod
    def is_free(ip: str) -> bool:
        """Whether the ports of a machine can be bound."""
        for port in (FRONT, READY, CONTROL, PEERS[0]):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
        return True

    def address(self, last: int) -> str:
        """The address with this last part."""
        return f"{self.prefix}.{last}"


class System:
    """The machines of a deployment, and the commands by which they start."""

    def __init__(self, platform: Address, edges: int = 4, cores: int = 3, network: Network | None = None) -> None:
        self.platform = platform
        self.network = network or Network()
        self.envelope = dict(ENVELOPE)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))["roles"]
        self.commands = {role["on"]: role["run"].split(" ") for role in roles.values()}
        self.cores = [self.machine(f"core-{i + 1}", i + 1, ZONES[i % 3], True) for i in range(cores)]
        self.edges = [self.machine(f"edge-{i + 1}", 10 + i, ZONES[i % 3], False) for i in range(edges)]
        seeds = [machine.ip for machine in self.cores[:3]]
        for machine in self.machines:
            machine.seeds = seeds

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.cores, *self.edges]

    def machine(self, name: str, last: int, zone: str, core: bool) -> Machine:
        """A machine of the deployment, which is not running yet."""
        folder = self.folder / name
        (folder / "state").mkdir(parents=True)
        return Machine(name, self.network.address(last), zone, core, folder)

    def write_settings(self, machine: Machine) -> None:
        """Write the settings file of a machine as one replacement."""
        lines: dict[str, object] = {
            "node": machine.name,
            "function": "my-core" if machine.core else "my-edge",
            "machineClass": "core" if machine.core else "edge",
            "planes": "controller" if machine.core else "edge,controller",
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "amhara",
            **{f"zoneMap.{zone}": "amhara" for zone in ZONES},
            "listeners.control": f"{machine.ip}:{CONTROL}",
            "internalPorts": f"{PEERS[0]},{PEERS[1]}",
            "seedPeers": ",".join(f"{ip}:{CONTROL}" for ip in machine.seeds),
            "bootstrap": str(machine.bootstrap).lower(),
            "quorumMember": str(machine.core).lower(),
            "constraints.memoryMb": 296 if machine.core else 300,
            "constraints.fileHandles": 1024,
            "constraints.linkMbps": 700.0 if machine.core else 1000.0,
            "discovery": "platform",
            "ingress": "virtual_ip",
            "invariants": "base,drain,config,cost,retry,recover",
            "tolerance.machineLosses": 1,
            "tolerance.zoneMap": 0,
            "tolerance.regionLosses": 0,
            **{f"envelope.{name}": value for name, value in self.envelope.items()},
            "platform.address": f"{self.platform[0]}:{self.platform[1]}",
            "platform.ratePerS": 54.0,
            "platform.delayMs": 800,
        }
        if machine.core:
            lines["stateDir"] = machine.folder / "state"
        else:
            lines["listeners.front"] = f"{machine.ip}:{FRONT}"
            lines["listeners.readiness"] = f"{machine.ip}:{READY}"
        part = machine.folder / "boot.part"
        part.write_text("".join(f"{key}={value}\n" for key, value in lines.items()), encoding="utf-8")
        part.replace(machine.folder / "boot.conf")

    async def start(self, machine: Machine) -> None:
        """Start the process of a machine with the settings that it has now."""
        self.write_settings(machine)
        program, *arguments = self.commands["core" if machine.core else "edge"]
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (machine.folder / "log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=keep
                | {"CYPRESSBEAM_BOOT": str(machine.folder / "boot.conf"), "PYTHONPATH": str(ROOT / "target" / "deps")},
            )

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine, if it runs."""
        if machine.process is not None and machine.process.returncode is None:
            machine.process.send_signal(number)

    async def kill(self, machines: list[Machine]) -> None:
        """Kill the processes of these machines at the same moment."""
        for machine in machines:
            self.signal(machine, signal.SIGKILL)
        for machine in machines:
            if machine.process is not None:
                await machine.process.wait()

    async def ready(self, machine: Machine) -> bool:
        """Whether the platform's readiness question is answered with 200."""
        try:
            answer = await call((machine.ip, READY), pack("GET /-/ready HTTP/1.1", {"Host": machine.ip}), 1.0)
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, machines: list[Machine], timeout_s: float) -> list[Machine]:
        """Wait until machines are ready; returns those that are not when the time is over."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        waiting = list(machines)
        while waiting and loop.time() < until_s:
            waiting = [machine for machine in waiting if not await self.ready(machine)]
            await asyncio.sleep(0.1)
        return waiting

    async def close(self) -> None:
        """End every process that was started, and remove the folder."""
        for machine in self.machines:
            self.signal(machine, signal.SIGCONT)
        await self.kill(self.machines)
        if "KEEP" in os.environ:
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # -- the operator --------------------------------------------------------------------------------------

    async def push(self, document: dict[str, object], base: int, machines: list[Machine], timeout_s: float) -> int:
        """Send a configuration to one node after another until an answer is clear; 0 if the time is over."""
        body = cbor2.dumps(document)
        loop = asyncio.get_running_loop()
        until_s, pause_s = loop.time() + timeout_s, 0.05
        while loop.time() < until_s:
            machine = random.choice(machines)
            data = pack(
                "POST /-/Configuration.Replace HTTP/1.1",
                {"Host": machine.ip, "Base-Revision": str(base), "Content-Type": "application/cbor"},
                body,
            )
            try:
                answer = await call(machine.control, data, 1.0)
                if answer.status < 500 and answer.status not in (408, 429):
                    return answer.status
            except (OSError, EOFError, TimeoutError):
                pass
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, 0.5)
        return 0

    async def read(self, machine: Machine) -> int:
        """The revision that a node answers to a read, 0 without a clear answer."""
        try:
            answer = await call(machine.control, pack("GET /-/Configuration.Read HTTP/1.1", {"Host": machine.ip}), 1.0)
        except (OSError, EOFError, TimeoutError):
            return 0
        return int(cbor2.loads(answer.body)["revision"]) if answer.status == 200 else 0


def route(label: str, service: str, mode: str, cutoff_ms: int = 6000, tries: int = 2) -> dict[str, object]:
    """A route as the operator writes it; its prefix is its label."""
    return {
        "label": label,
        "host": "portal.example",
        "prefix": f"/{label}/",
        "mode": mode,
        "cutoffMs": cutoff_ms,
        "setpointMs": 1000,
        "rank": 1,
        "plant": service,
        "tries": tries,
    }


def document(revision: int, routes: list[dict[str, object]], services: list[str]) -> dict[str, object]:
    """A whole configuration."""
    return {
        "revision": revision,
        "channels": routes,
        "plants": [
            {"label": label, "probe": "/health", "connLimit": 130, "protocol": "h1", "tls": False} for label in services
        ],
        "constraints": {"headerMaxBytes": 16384, "bodyMaxBytes": 67108864, "headerWaitMs": 3000, "quietMs": 15000},
    }
