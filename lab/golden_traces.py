"""Golden traces: a digest of everything observable that fixed seeds of the simulations do.

The simulations run from a seed alone, so the same seed gives the same events as long as the behaviour is the same,
whatever modules and classes there are. A trace covers each message (time, sender, receiver, bytes), each answer to a
caller and each write to a disk. No name of a class, function or module goes into it, so code can be renamed and moved
while the digests stay equal. A digest that differs means that the order of messages, random draws or iteration, or the
contents of a message, have changed.

Each simulation is played by a process of its own with `PYTHONHASHSEED=0`.
"""

from __future__ import annotations

import contextlib
import enum
import hashlib
import itertools
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, fields, is_dataclass
from functools import partial
from pathlib import Path
from typing import Any
from unittest import mock

from cypressbeam.protocol.frames import Frame
from cypressbeam.proxy.frontend import ClientConnection
from cypressbeam.proxy.upstream import ServerConnection
from cypressbeam.transport.peers import Link
from lab import (
    adversarial_servers,
    attempt_storms,
    attempts,
    day_simulation,
    fetches,
    membership,
    membership_churn,
    partitions,
    power_loss_recovery,
    random_days,
    replacements,
)
from lab.histories import disks, network, plans, runner
from lab.simulation import connections, disk


def canonical(value: object) -> str:
    """A text that is equal for equal values and names no class: the values of a dataclass in the order of its fields,
    sets in sorted order, frames as their bytes."""
    if isinstance(value, Frame):
        return value.pack().hex()
    if isinstance(value, enum.Enum):
        return canonical(value.value)
    if is_dataclass(value):
        return canonical([getattr(value, item.name) for item in fields(value)])
    if isinstance(value, dict):
        return "{" + ",".join(f"{canonical(key)}:{canonical(item)}" for key, item in value.items()) + "}"
    if isinstance(value, (set, frozenset)):
        return "{" + ",".join(sorted(map(canonical, value))) + "}"
    if isinstance(value, (list, tuple)):
        return "[" + ",".join(map(canonical, value)) + "]"
    if isinstance(value, (bytes, bytearray, memoryview)):
        return bytes(value).hex()
    return repr(value)


@dataclass
class Recorder:
    """The running digest over the events of one simulation."""

    digest: Any = field(default_factory=hashlib.sha256)
    events: int = 0

    def record(self, *event: object) -> None:
        """Add one event."""
        self.digest.update(canonical(event).encode() + b"\n")
        self.events += 1


@contextlib.contextmanager
def sets_in_order_of_creation() -> Iterator[None]:
    """Connections hash by the order in which they were first put into a set. By default a set of objects iterates in
    the order of their addresses in memory, which differs from run to run."""
    numbers = itertools.count()

    def number_of(self: Any) -> int:
        return int(self.__dict__.setdefault("golden_number", next(numbers)))

    with contextlib.ExitStack() as patches:
        for kind in (Link, ClientConnection, ServerConnection, adversarial_servers.ReceivedAttempt):
            patches.enter_context(mock.patch.object(kind, "__hash__", number_of))
        yield


@contextlib.contextmanager
def recorded(recorder: Recorder) -> Iterator[None]:
    """Record what all simulations of this process send and write while the context is open."""
    send = network.Network.send
    write_history = disks.Disk.write
    write = connections.Endpoint.write
    send_datagram = connections.DatagramSocket.sendto
    sync = disk.Disk.sync
    write_wire = adversarial_servers.Wire.write

    def on_send(self: network.Network, origin: str, ip: str, frame: Frame) -> None:
        recorder.record("message", self.loop.now_s, origin, ip, frame)
        send(self, origin, ip, frame)

    def on_write_history(self: disks.Disk, *given: Any) -> None:
        write_history(self, *given)
        recorder.record("disk", self)

    def on_write(self: connections.Endpoint, data: Any) -> None:
        recorder.record("bytes", self.loop.time(), self.host.ip, self.peer.ip, data)
        write(self, data)

    def on_datagram(self: connections.DatagramSocket, data: Any, addr: Any = None) -> None:
        recorder.record("datagram", self.loop.time(), self.host.ip, addr, data)
        send_datagram(self, data, addr)

    async def on_sync(self: disk.Disk) -> None:
        recorder.record("sync begins", self.kept)
        await sync(self)
        recorder.record("sync ends", self.kept)

    def on_wire(self: adversarial_servers.Wire, data: Any) -> None:
        recorder.record("bytes", self.world.loop.time(), data)
        write_wire(self, data)

    with (
        mock.patch.object(network.Network, "send", on_send),
        mock.patch.object(disks.Disk, "write", on_write_history),
        mock.patch.object(connections.Endpoint, "write", on_write),
        mock.patch.object(connections.DatagramSocket, "sendto", on_datagram),
        mock.patch.object(disk.Disk, "sync", on_sync),
        mock.patch.object(adversarial_servers.Wire, "write", on_wire),
    ):
        yield


# -- the simulations -------------------------------------------------------------------------------------------------


def play_core(seeds: range) -> None:
    """The consensus on a simulated network, clock and disk."""
    for seed in seeds:
        runner.play(seed, plans.make_plan(seed))


def play_turnover(seeds: range) -> None:
    """The consensus while members come and go."""
    for seed in seeds:
        membership_churn.play(seed, membership_churn.make_plan(seed))


def play_replacements(seeds: range) -> None:
    """Members replaced by spares; whole nodes."""
    for seed in seeds:
        replacements.play(seed)


def play_cuts(seeds: range) -> None:
    """Network partitions of the core; whole nodes."""
    for seed in seeds:
        partitions.play(seed)


def play_power_loss(seeds: range) -> None:
    """A loss of all power; whole nodes."""
    for seed in seeds:
        power_loss_recovery.play(seed)


def play_membership(seeds: range) -> None:
    """Joins, kills, a cut and loss in the tree; whole nodes."""
    membership.measure(24, seeds)


def play_fetches(seeds: range, cases: tuple[str, ...]) -> None:
    """Fetches of configurations over full links; whole nodes."""
    for case in cases:
        fetches.measure(case, seeds)


def play_attempts(share: int) -> None:
    """Each so many of the states that an attempt can be in."""
    for number, state in enumerate(attempts.states()):
        if number % share == 0:
            attempts.walk(state)


def play_storms(seeds: range) -> None:
    """Servers that do their worst, against one gateway."""
    for seed in seeds:
        attempt_storms.storm(attempt_storms.draw(seed))


def play_days(seeds: range) -> None:
    """Whole days with clients, servers, platform and operator."""
    for seed in seeds:
        day_simulation.play(random_days.drawn(seed), seed)


SIMULATIONS: dict[str, Callable[[], None]] = {
    "core-1": partial(play_core, range(0, 20)),
    "core-2": partial(play_core, range(20, 40)),
    "core-3": partial(play_core, range(51, 70)),
    "core-4": partial(play_core, range(70, 95)),
    "core-5": partial(play_core, range(95, 120)),
    "turnover-1": partial(play_turnover, range(0, 24)),
    "turnover-2": partial(play_turnover, range(24, 48)),
    "replacements-1": partial(play_replacements, range(0, 6)),
    "replacements-2": partial(play_replacements, range(6, 12)),
    "cuts-1": partial(play_cuts, range(0, 3)),
    "cuts-2": partial(play_cuts, range(3, 6)),
    "power-loss": partial(play_power_loss, range(0, 6)),
    "membership": partial(play_membership, range(1, 2)),
    "fetches": partial(play_fetches, range(1, 2), ("full links", "a storm of versions, still relays, full links")),
    "attempts": partial(play_attempts, 6),
    "storms": partial(play_storms, range(0, 150)),
    "day-1": partial(play_days, range(0, 1)),
    "day-2": partial(play_days, range(1, 2)),
    "day-3": partial(play_days, range(3, 4)),
}
#: Simulations that are short enough for every run of the tests.
SHORT = ("core-4", "turnover-1", "cuts-1", "storms")


def trace(name: str) -> str:
    """Play one simulation in this process; gives its name, its number of events and their digest, on one line."""
    recorder = Recorder()
    with recorded(recorder), sets_in_order_of_creation():
        SIMULATIONS[name]()
    return f"{name} {recorder.events} {recorder.digest.hexdigest()}"


def trace_in_process(name: str) -> str:
    """The same in a process of its own, in which hashes of texts are the same each time."""
    script = "import sys; from lab.golden_traces import main; main(sys.argv[1])"
    done = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", script, name],
        env=os.environ | {"PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip() if done.returncode == 0 else f"{name} failed: {done.stderr.strip()[-2000:]}"


def main(name: str) -> None:
    """Print the trace of one simulation."""
    import logging

    logging.disable(logging.CRITICAL)
    print(trace(name))


def trace_all(names: tuple[str, ...], jobs: int) -> list[str]:
    """The traces of several simulations, in their order."""
    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(trace_in_process, names))


def differences(found: list[str], golden: Path) -> list[str]:
    """What differs from the traces in a file, a line for each simulation."""
    expected = {line.split()[0]: line for line in golden.read_text(encoding="utf-8").splitlines()}
    return [
        f"{line}\n  expected: {expected.get(line.split()[0], 'nothing')}"
        for line in found
        if expected.get(line.split()[0]) != line
    ]
