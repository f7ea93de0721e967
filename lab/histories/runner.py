"""Histories of the core, from a seed: play one, look for one that fails, and shrink that to the steps that it needs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import nullcontext
from typing import Any

from lab.histories import faults, operators
from lab.histories.invariants import InvariantViolationError, demand, linearizable, one_change_a_base
from lab.histories.plans import LASTS_S, Step, make_plan, shape_of
from lab.histories.world import World

#: Seconds in which all must work again once nothing disturbs it; the last of them are those of the calls at rest.
CALM_S, LAST_CALLS_S = 12.0, 4.0
#: The downstream nodes have the newest version so long after it was read.
SETTLE_S = 0.5
#: Messages that are lost in histories of many changes.
QUICK_LOSS = 0.002
#: A freeze with a cut ends a third later than its step does.
FREEZE_CUT_FACTOR = 4 / 3


def play(seed: int, plan: list[Step], **options: Any) -> World:
    """One history. Raises InvariantViolationError with what does not hold."""
    shape = shape_of(seed)
    quick = {"quick": True, "loss": QUICK_LOSS} if shape.hurry_s else {}
    shaped = {"large": shape.large, "machines": shape.machines}
    with operators.few_kept() if shape.crowd else nullcontext():
        world = World(seed, **shaped | quick | options)
        if shape.crowd:
            world.crowd = operators.Crowd(world, seed)
        return play_in(world, plan)


def play_in(world: World, plan: list[Step]) -> World:
    """A plan on a world, to its end. Raises InvariantViolationError with what does not hold."""
    if world.crowd is not None:
        world.crowd.begin(LASTS_S)
    for step in plan:
        world.at(step.at_s, "begin", "", step)
    ends_s = [step.at_s + step.for_s * (FREEZE_CUT_FACTOR if step.kind == "freeze-cut" else 1.0) for step in plan]
    world.run(max([LASTS_S, *ends_s]) + CALM_S - LAST_CALLS_S)
    world.network.loss = 0.0
    for kind in ("read", "replace", "read"):  # in the end all must work, and say what was last acknowledged
        status = world.callers.finish("x", kind)
        demand(status in (200, 404), f"at rest a {kind} ends with {status}")
    if world.crowd is not None:
        world.crowd.finish()
    world.run(world.now_s + SETTLE_S)
    check_whole(world)
    return world


def check_whole(world: World) -> None:
    """What must hold of a history that has ended. Raises InvariantViolationError."""
    calls = world.callers.calls.values()
    one_change_a_base(calls)
    linearizable(calls, world.chain())
    newest = max(entry.revision for entry in world.observer.committed.values())
    for name, node in world.observer.downstream.items():
        demand(node.revision == newest, f"at rest {name} has version {node.revision}, not {newest}")


def violation_of(history: Callable[[], object]) -> str | None:
    """What does not hold of a history, if anything."""
    try:
        history()
    except (InvariantViolationError, AssertionError) as err:
        return f"{type(err).__name__}: {err}"
    return None


def fails(seed: int, plan: list[Step], **options: Any) -> str | None:
    """What does not hold of the history of a seed and plan, if anything."""
    return violation_of(lambda: play(seed, plan, **options))


def shrink(seed: int, plan: list[Step], **options: Any) -> list[Step]:
    """A part of the plan that still fails and from which no single step can be left out."""
    size = max(len(plan) // 2, 1)
    while True:
        at, before = 0, len(plan)
        while at < len(plan):
            less = plan[:at] + plan[at + size :]
            if fails(seed, less, **options):
                plan = less
            else:
                at += size
        if size == 1 and len(plan) == before:
            return plan
        size = max(size // 2, 1)


def search(seeds: Iterable[int], **options: Any) -> tuple[int, str] | None:
    """The first seed that fails, and with what."""
    for seed in seeds:
        told = fails(seed, make_plan(seed), **options)
        if told is not None:
            return seed, told
    return None


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """The same in a process of its own, with a fault by name or none."""
    name, seeds = job
    if not name:
        return search(seeds)
    with faults.fault(name) as options:
        return search(seeds, **options)


def report(seed: int, **options: Any) -> str:
    """A failing seed, shrunk: the steps that it fails with, and what does not hold."""
    plan = shrink(seed, make_plan(seed), **options)
    steps = "\n".join(
        f"  {step.at_s:7.3f} s  {step.kind} {step.where}" + (f" for {step.for_s:.3f} s" if step.for_s else "")
        for step in plan
    )
    return f"seed {seed}: {fails(seed, plan, **options)}\n{steps}"
