"""Parts of the core for tests of single rules: a member of a chain, three machines at rest, and what they are told."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cypressbeam.consensus.chain import ChainReplica
from cypressbeam.consensus.effects import SendMessage
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol import frames
from lab.histories import invariants
from lab.histories.network import CLIENT
from lab.histories.world import World

GROUP = ("a/0", "b/0", "c/0")
VIEW = View(256, GROUP, GROUP)
ONE, TWO = Entry(1, 256, 10, 0, b"10:x"), Entry(2, 256, 20, 10, b"20:x")


def member(ip: str, last: Entry | None = None, committed: int = 0, **changes: Any) -> ChainReplica:
    made = ChainReplica(ip, VIEW, invariants.revision, invariants.digest, last, active=True, committed=committed)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def forward(entry: Entry, epoch: int = 256) -> frames.ForwardEntry:
    return frames.ForwardEntry(epoch, entry.number, entry.revision, entry.base, entry.body, 7, CLIENT)


def told(actions: list[Any], kind: type[frames.Frame] = frames.Frame) -> list[Any]:
    return [one.frame for one in actions if isinstance(one, SendMessage) and isinstance(one.frame, kind)]


def quiet_world() -> World:
    """Three machines at rest: a is the head, c the tail; one version is in force."""
    world = World(1, loss=0.0)
    world.run(1.0)
    world.callers.call("x", "replace")
    world.run(3.0)
    assert all(
        replica.state.view == VIEW and replica.state.is_active() and replica.state.newest_entry()
        for replica in world.replicas.values()
    )
    for replica in world.replicas.values():
        replica.rollback.reported.clear()  # what the tests make up tells less than what was told
    return world


def pulse(name: str, echo: int = 0, **changes: Any) -> frames.ReplicaHeartbeat:
    return replace(
        frames.ReplicaHeartbeat(
            name, 256, 256, 1, echoed_sequence=echo, durable_promise=256, stored_epoch=256, stored_number=1
        ),
        **changes,
    )


def echo(replica: Replica, now_s: float, *pulses: frames.ReplicaHeartbeat) -> list[Any]:
    """A pulse of this machine that others answer, and what it wants done then."""
    number = told(replica.heartbeat(now_s), frames.ReplicaHeartbeat)[0].sequence
    return [
        action for frame in pulses for action in replica.on_heartbeat(replace(frame, echoed_sequence=number), now_s)
    ]


def promise(name: str, epoch: int, entry: Entry = ONE, view: View = VIEW) -> frames.Promise:
    return frames.Promise(
        epoch,
        name,
        view.epoch,
        view.chain,
        view.group,
        entry.number,
        entry.epoch,
        entry.revision,
        entry.base,
        entry.body,
        b"",
        stored_epoch=view.epoch,
    )


def accept(epoch: int, chain: tuple[str, ...] = GROUP) -> frames.Accept:
    return frames.Accept(epoch, chain, GROUP, 1, 10, 0, b"10:x", b"")
