"""Parts of the core for tests of single rules: a member of a chain, three machines at rest, and what they are told."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cypressbeam.consensus.chain import Entry, Member, Tell, View
from cypressbeam.consensus.replica import Keeper
from cypressbeam.protocol import frames
from lab.histories import invariants
from lab.histories.network import CLIENT
from lab.histories.world import World

GROUP = ("a/0", "b/0", "c/0")
VIEW = View(256, GROUP, GROUP)
ONE, TWO = Entry(1, 256, 10, 0, b"10:x"), Entry(2, 256, 20, 10, b"20:x")


def member(ip: str, last: Entry | None = None, committed: int = 0, **changes: Any) -> Member:
    made = Member(ip, VIEW, invariants.revision, invariants.digest, last, active=True, committed=committed)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def forward(entry: Entry, epoch: int = 256) -> frames.Forward:
    return frames.Forward(epoch, entry.number, entry.revision, entry.base, entry.body, 7, CLIENT)


def told(actions: list[Any], kind: type[frames.Frame] = frames.Frame) -> list[Any]:
    return [one.frame for one in actions if isinstance(one, Tell) and isinstance(one.frame, kind)]


def quiet_world() -> World:
    """Three machines at rest: a is the head, c the tail; one version is in force."""
    world = World(1, loss=0.0)
    world.run(1.0)
    world.callers.call("x", "replace")
    world.run(3.0)
    assert all(keeper.view == VIEW and keeper.stands() and keeper.newest() for keeper in world.keepers.values())
    for keeper in world.keepers.values():
        keeper.marks.clear()  # what the tests make up tells less than what was told
    return world


def pulse(name: str, echo: int = 0, **changes: Any) -> frames.Pulse:
    return replace(frames.Pulse(name, 256, 256, 1, echo=echo, kept=256, held=256, entry=1), **changes)


def echo(keeper: Keeper, now_s: float, *pulses: frames.Pulse) -> list[Any]:
    """A pulse of this machine that others answer, and what it wants done then."""
    number = told(keeper.pulse(now_s), frames.Pulse)[0].number
    return [action for frame in pulses for action in keeper.on_pulse(replace(frame, echo=number), now_s)]


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
        held=view.epoch,
    )


def accept(epoch: int, chain: tuple[str, ...] = GROUP) -> frames.Accept:
    return frames.Accept(epoch, chain, GROUP, 1, 10, 0, b"10:x", b"")
