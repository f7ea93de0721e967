"""Fixtures for tests of single consensus rules: a chain member, three idle machines, and messages to them."""

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
ENTRY_1, ENTRY_2 = Entry(1, 256, 10, 0, b"10:x"), Entry(2, 256, 20, 10, b"20:x")


def chain_member(ip: str, last: Entry | None = None, committed: int = 0, **changes: Any) -> ChainReplica:
    """A member of an active chain, with some attributes changed."""
    replica = ChainReplica(ip, VIEW, invariants.revision, invariants.digest, last, active=True, committed=committed)
    for name, value in changes.items():
        setattr(replica, name, value)
    return replica


def forward_frame(entry: Entry, epoch: int = 256) -> frames.ForwardEntry:
    return frames.ForwardEntry(epoch, entry.number, entry.revision, entry.base, entry.body, 7, CLIENT)


def sent_frames(effects: list[Any], kind: type[frames.Frame] = frames.Frame) -> list[Any]:
    """The frames of a kind that are sent by a list of effects."""
    return [effect.frame for effect in effects if isinstance(effect, SendMessage) and isinstance(effect.frame, kind)]


def idle_world() -> World:
    """Three idle machines, a being the head and c the tail, with one committed version."""
    world = World(1, loss=0.0)
    world.run(1.0)
    world.callers.call("x", "replace")
    world.run(3.0)
    assert all(
        replica.state.view == VIEW and replica.state.is_active() and replica.state.newest_entry()
        for replica in world.replicas.values()
    )
    for replica in world.replicas.values():
        replica.rollback.reported.clear()  # the heartbeats of the tests report less than the real ones did
    return world


def heartbeat(name: str, echoed: int = 0, **changes: Any) -> frames.ReplicaHeartbeat:
    return replace(
        frames.ReplicaHeartbeat(
            name, 256, 256, 1, echoed_sequence=echoed, durable_promise=256, stored_epoch=256, stored_number=1
        ),
        **changes,
    )


def exchange_heartbeats(replica: Replica, now_s: float, *heartbeats: frames.ReplicaHeartbeat) -> list[Any]:
    """The effects at a machine when others echo a heartbeat of it."""
    number = sent_frames(replica.heartbeat(now_s), frames.ReplicaHeartbeat)[0].sequence
    return [
        effect for frame in heartbeats for effect in replica.on_heartbeat(replace(frame, echoed_sequence=number), now_s)
    ]


def promise(name: str, epoch: int, entry: Entry = ENTRY_1, view: View = VIEW) -> frames.Promise:
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
