"""A whole small system on loopback: real processes, each machine an address of its own in 127.0.0.0/8."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from cypressbeam.protocol.address import Address
from cypressbeam.protocol.settings import SETTINGS_VARIABLE
from cypressbeam.proxy.http_client import HttpClient
from lab.loopback_network import SYSTEM_NETWORKS, LoopbackNetwork

#: Ports of a system's machines; each system draws its own network, so several run side by side.
FRONT, READY, CONTROL, PEERS = 8641, 8640, 8649, (7620, 7635)
START_S = 20.0


@dataclass
class Machine:
    """One machine, and the process on it."""

    name: str
    ip: str
    zone: str
    core: bool
    folder: Path
    process: asyncio.subprocess.Process | None = None
    seeds: str = ""
    """The seeds in its settings file; by default those of the first start."""
    changes: dict[str, str] = field(default_factory=dict)
    """Lines of its settings file that differ from those of the others."""

    @property
    def front(self) -> Address:
        return self.ip, FRONT

    @property
    def control(self) -> Address:
        return self.ip, CONTROL

    def settings(self, seeds: str, platform: Address, bootstrap: bool, extra: Mapping[str, str]) -> str:
        lines = {
            "node": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "machineClass": "core" if self.core else "edge",
            "listeners.control": f"{self.ip}:{CONTROL}",
            "internalPorts": f"{PEERS[0]},{PEERS[1]}",
            "seedPeers": seeds,
            "bootstrap": str(bootstrap).lower(),
            "quorumMember": str(self.core).lower(),
            "constraints.fileHandles": "1024",
            "constraints.memoryMb": "300",
            "tolerance.machineLosses": "1",
            "platform.address": f"{platform[0]}:{platform[1]}",
            "platform.ratePerS": "50",
        }
        if self.core:
            lines["stateDir"] = str(self.folder / "state")
        else:
            lines["listeners.front"] = f"{self.ip}:{FRONT}"
            lines["listeners.readiness"] = f"{self.ip}:{READY}"
        return "".join(f"{key}={value}\n" for key, value in (lines | dict(extra)).items())


@dataclass
class System:
    """Core and edge machines. Use it as an async context: it starts the processes, and ends those that it started."""

    platform: Address
    cores: int = 3
    edges: int = 2
    zones: tuple[str, ...] = ("east", "west")
    extra: Mapping[str, str] = field(default_factory=dict)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="cypressbeam-")))

    def __post_init__(self) -> None:
        self.network = LoopbackNetwork(SYSTEM_NETWORKS)
        names = [(f"core-{i + 1}", True, i) for i in range(self.cores)]
        names += [(f"edge-{i + 1}", False, i) for i in range(self.edges)]
        self.machines = [
            Machine(name, self.network.address(number + 1), self.zones[i % len(self.zones)], core, self.folder / name)
            for number, (name, core, i) in enumerate(names)
        ]

    def named(self, name: str) -> Machine:
        return next(machine for machine in self.machines if machine.name == name)

    @property
    def fronts(self) -> list[Machine]:
        return [machine for machine in self.machines if not machine.core]

    def write_settings(self, machine: Machine, bootstrap: bool = False) -> Path:
        """Write a machine's settings file as one replacement; returns its path."""
        seeds = machine.seeds or ",".join(f"{other.ip}:{CONTROL}" for other in self.machines[:3])
        (machine.folder / "state").mkdir(parents=True, exist_ok=True)
        boot, new = machine.folder / "boot.conf", machine.folder / "boot.conf.part"
        extra = {**self.extra, **machine.changes}
        new.write_text(machine.settings(seeds, self.platform, bootstrap, extra), encoding="utf-8")
        new.replace(boot)
        return boot

    async def start(self, machine: Machine, bootstrap: bool = False) -> None:
        boot = self.write_settings(machine, bootstrap)
        with (machine.folder / "log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cypressbeam",
                "node",
                stdout=log,
                stderr=log,
                env=os.environ | {SETTINGS_VARIABLE: str(boot)},
            )

    async def kill(self, machine: Machine, number: signal.Signals = signal.SIGKILL) -> int:
        """End a machine's process; returns its exit code."""
        assert machine.process is not None
        if machine.process.returncode is None:
            machine.process.send_signal(number)
        return await machine.process.wait()

    async def ready(self, machine: Machine) -> None:
        """Wait until a node calls itself ready. Raises TimeoutError with the end of its log."""
        try:
            async with asyncio.timeout(START_S):
                while await status_of((machine.ip, READY), "/-/ready") != 200:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            tail = (machine.folder / "log").read_text(encoding="utf-8")[-2000:]
            raise TimeoutError(f"{machine.name} is not ready:\n{tail}") from None

    async def __aenter__(self) -> System:
        for machine in self.machines:
            await self.start(machine, bootstrap=True)
        return self

    async def __aexit__(self, *_: object) -> None:
        for machine in self.machines:
            if machine.process is not None:
                await self.kill(machine)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.network.close()


async def status_of(address: Address, path: str) -> int:
    """The status of a GET, or 0 where nothing answers."""
    connection = HttpClient(address)
    try:
        await connection.open()
        return (await connection.get(path, 1.0)).status
    except (OSError, EOFError, TimeoutError):
        return 0
    finally:
        connection.close()
