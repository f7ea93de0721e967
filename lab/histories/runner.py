"""Plays histories of the core, searches for failing ones, and shrinks those to the steps that they need to fail."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import nullcontext
from typing import Any

from lab.histories import faults, operators
from lab.histories.invariants import (
    InvariantViolationError,
    at_most_one_write_per_base,
    check_condition,
    check_linearizable,
)
from lab.histories.plans import DURATION_S, Step, make_plan, shape_of
from lab.histories.world import World

#: Time in which the core must recover after the last fault, and the part of it that is left for the final calls.
RECOVERY_S, FINAL_CALLS_S = 12.0, 4.0
#: Downstream nodes must have the newest version this long after the final read.
PROPAGATION_S = 0.5
#: Message loss in histories with a burst of changes.
BURST_LOSS = 0.002
#: The partition of a `freeze-cut` outlasts its step by a third.
FREEZE_CUT_FACTOR = 4 / 3


def play(seed: int, plan: list[Step], **options: Any) -> World:
    """Play a history. Raises InvariantViolationError if an invariant fails."""
    shape = shape_of(seed)
    quick = {"quick": True, "loss": BURST_LOSS} if shape.burst_s else {}
    shaped = {"large": shape.large, "machines": shape.machines}
    with operators.keep_few_digests() if shape.many_operators else nullcontext():
        world = World(seed, **shaped | quick | options)
        if shape.many_operators:
            world.many_operators = operators.ManyOperators(world, seed)
        return play_plan(world, plan)


def play_plan(world: World, plan: list[Step]) -> World:
    """Play a plan on a world to its end. Raises InvariantViolationError if an invariant fails."""
    if world.many_operators is not None:
        world.many_operators.begin(DURATION_S)
    for step in plan:
        world.at(step.at_s, "begin", "", step)
    ends_s = [step.at_s + step.for_s * (FREEZE_CUT_FACTOR if step.kind == "freeze-cut" else 1.0) for step in plan]
    world.run(max([DURATION_S, *ends_s]) + RECOVERY_S - FINAL_CALLS_S)
    world.network.loss = 0.0
    for kind in ("read", "replace", "read"):  # without faults all calls work, and see what was acknowledged last
        status = world.callers.finish("x", kind)
        check_condition(status in (200, 404), f"at the end a {kind} was answered with {status}")
    if world.many_operators is not None:
        world.many_operators.finish()
    world.run(world.now_s + PROPAGATION_S)
    check_final_state(world)
    return world


def check_final_state(world: World) -> None:
    """Check the invariants of a finished history. Raises InvariantViolationError."""
    calls = world.callers.calls.values()
    at_most_one_write_per_base(calls)
    check_linearizable(calls, world.chain())
    newest = max(entry.revision for entry in world.observer.committed.values())
    for name, node in world.observer.downstream.items():
        check_condition(node.revision == newest, f"at the end {name} has version {node.revision}, not {newest}")


def violation_of(history: Callable[[], object]) -> str | None:
    """The invariant that a history violates, if any."""
    try:
        history()
    except (InvariantViolationError, AssertionError) as err:
        return f"{type(err).__name__}: {err}"
    return None


def fails(seed: int, plan: list[Step], **options: Any) -> str | None:
    """The invariant that the history of a seed and plan violates, if any."""
    return violation_of(lambda: play(seed, plan, **options))


def shrink(seed: int, plan: list[Step], **options: Any) -> list[Step]:
    """Shrink a failing plan until it no longer fails if any single step is left out."""
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
    """The first seed that fails, and the invariant that it violates."""
    for seed in seeds:
        violation = fails(seed, make_plan(seed), **options)
        if violation is not None:
            return seed, violation
    return None


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """Search with a disabled rule, by name, or with none; runs in a worker process."""
    name, seeds = job
    if not name:
        return search(seeds)
    with faults.fault(name) as options:
        return search(seeds, **options)


def report(seed: int, **options: Any) -> str:
    """Describe a failing seed: the violated invariant and the steps of its shrunk plan."""
    plan = shrink(seed, make_plan(seed), **options)
    steps = "\n".join(
        f"  {step.at_s:7.3f} s  {step.kind} {step.where}" + (f" for {step.for_s:.3f} s" if step.for_s else "")
        for step in plan
    )
    return f"seed {seed}: {fails(seed, plan, **options)}\n{steps}"
