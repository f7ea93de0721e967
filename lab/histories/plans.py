"""The plan of a history of the core, from its seed: its shape, its faults, and the operators' calls.

Other modules may add a kind of fault: a class with `begin` and `end`, registered by name in `fault_injection.KINDS`,
and steps of that kind in a plan.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

MACHINES = ("a", "b", "c", "d", "e")
IPS = MACHINES[:3]
#: Downstream nodes.
DOWNSTREAM = ("n1", "n2", "n3")
OPERATORS = ("x", "y")
#: How long faults and calls go on in a history, and in one with long pauses and partitions.
DURATION_S, LONG_DURATION_S = 20.0, 50.0
#: The longest duration of a usual fault, and the range for long ones.
MAX_FAULT_S, LONG_FAULT_S = 3.0, (5.0, 25.0)
LONG_FAULT_KINDS = ("freeze", "cut", "one-way", "lead", "deaf", "freeze-cut")
#: How long an operator makes changes in a burst: several hundred, or 2,000.
BURST_S, LONG_BURST_S = 10.0, 90.0

OLDER_COPY = "older"
#: All power is lost, and one disk is rolled back to an older copy.
POWER_AND_OLDER_COPY = "power-older"
#: The variant of a fault in which a disk is rolled back to an older copy (disks.py).
OLDER_COPY_VARIANTS = {"wipe": OLDER_COPY, "power": POWER_AND_OLDER_COPY}
FAULT_KINDS = ("kill", "kill", "wipe", "power", "cut", "one-way", "lead", "freeze", "refuse", "stall")
#: The kinds with five machines and in long histories.
MORE_FAULT_KINDS = (*FAULT_KINDS, "freeze", "freeze-cut", "deaf", "tail")


@dataclass(frozen=True, slots=True)
class Step:
    """A fault and its duration, or an operator's call."""

    at_s: float
    kind: str
    where: str = ""
    for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Shape:
    """The properties of a history.

    - `machines`: three or five
    - `overlapping`: faults overlap without restriction
    - `large`: bodies are large
    - `long`: pauses and partitions last up to 25 s
    - `burst_s`: how long an operator makes changes in a burst
    - `newcomer_only`: all faults are sequences that leave a view with a new identity on one disk alone
    - `many_operators`: many operators at once (operators.py)
    """

    machines: int = 3
    overlapping: bool = False
    large: bool = False
    long: bool = False
    burst_s: float = 0.0
    newcomer_only: bool = False
    many_operators: bool = False


def shape_of(seed: int) -> Shape:
    """Derive the shape of a history. The ratios bound the time that histories take: two of five have five machines,
    one of seven is long, another one of seven has many operators, one of twenty has several hundred changes, and one
    of two hundred has 2,000."""
    burst_s = LONG_BURST_S if seed % 200 == 50 else BURST_S if seed % 20 == 10 else 0.0
    return Shape(
        machines=5 if seed % 5 in (2, 4) else 3,
        overlapping=seed % 3 == 0,
        large=seed % 4 == 1,
        long=seed % 7 == 3 and not burst_s,
        burst_s=burst_s,
        newcomer_only=seed % 20 == 13,
        many_operators=seed % 7 == 0 and not burst_s,
    )


def make_plan(seed: int) -> list[Step]:
    """Faults, with calls of two operators throughout. In every third plan faults overlap without restriction, but no
    more disks are lost than tolerated; in the others no more machines than tolerated fail at once, or all lose
    power."""
    shape = shape_of(seed)
    rng = random.Random(f"plan {seed}")
    duration_s = LONG_DURATION_S if shape.long else max(DURATION_S, shape.burst_s + 2.0)
    plan = make_faults(shape, rng, duration_s)
    # Two changes based on one version at the same time, usually during a fault.
    for _ in range(3):
        at_s = rng.choice(plan).at_s + rng.uniform(0.0, 1.5)
        plan += [Step(at_s, "replace", "x"), Step(at_s + rng.uniform(0.0, 0.3), "replace", "y")]
    for operator in OPERATORS:
        at_s = rng.uniform(0.1, 1.0)
        while at_s < duration_s:
            plan.append(Step(at_s, rng.choice(("read", "replace", "replace")), operator))
            at_s += rng.expovariate(1.0)
    if shape.burst_s:
        plan.append(Step(rng.uniform(0.0, 1.0), "burst", rng.choice(OPERATORS), shape.burst_s))
    plan.sort(key=lambda step: step.at_s)
    return plan if shape.overlapping or shape.newcomer_only else with_older_copies(seed, plan)


def with_older_copies(seed: int, plan: list[Step]) -> list[Step]:
    """Turn half of the lost disks into rollbacks, and add a rollback to half of the losses of all power."""
    rng = random.Random(f"older {seed}")
    return [
        replace(step, kind=OLDER_COPY_VARIANTS[step.kind])
        if step.kind in OLDER_COPY_VARIANTS and rng.random() < 0.5
        else step
        for step in plan
    ]


def make_faults(shape: Shape, rng: random.Random, duration_s: float) -> list[Step]:
    """The faults of a plan."""
    kinds = MORE_FAULT_KINDS if shape.long or shape.machines > 3 else FAULT_KINDS
    names, losses = MACHINES[: shape.machines], shape.machines // 2
    plan: list[Step] = []
    at_s = rng.uniform(0.5, 2.0)
    while shape.newcomer_only and at_s < duration_s:
        plan += newcomer_faults(at_s, rng, list(names))
        at_s += rng.uniform(9.0, 11.0)
    while at_s < duration_s:
        wiped = shape.overlapping and sum(step.kind == "wipe" for step in plan) >= losses
        kind = rng.choice([kind for kind in kinds if kind != "wipe" or not wiped])
        for_s = rng.uniform(*LONG_FAULT_S) if shape.long and kind in LONG_FAULT_KINDS else rng.uniform(0.1, MAX_FAULT_S)
        step = Step(at_s, kind, rng.choice(names), for_s)
        plan.append(step)
        if shape.overlapping:
            at_s += rng.uniform(0.1, 2.5)
            continue
        for _ in range(losses - 1):
            plan.append(second_fault(step, rng, [name for name in names if name != step.where]))
        # A machine that was down counts as lost until the others have repaired the chain, so the next fault waits.
        at_s += for_s + (4.0 if kind in ("wipe", "power") else rng.uniform(3.0, 5.0)) + (losses - 1)
    return plan


def newcomer_faults(at_s: float, rng: random.Random, names: list[str]) -> list[Step]:
    """One machine is down while a second loses its disk; the first to persist a view with the new identity crashes."""
    rng.shuffle(names)
    wipe_s, back_s = at_s + rng.uniform(1.4, 2.2), at_s + rng.uniform(1.6, 3.0)
    return [
        Step(at_s, "kill", names[0], back_s - at_s),
        Step(wipe_s, "wipe", names[1], rng.uniform(0.1, 0.4)),
        Step(wipe_s, "orphan", "", 4.0),
    ]


#: Faults that hit a machine by its position in the chain, or all machines: with these the second fault has no duration.
POSITIONAL_KINDS = ("lead", "tail", "power")


def second_fault(step: Step, rng: random.Random, others: list[str]) -> Step:
    """A second loss at the same time as the first one."""
    if step.kind in POSITIONAL_KINDS:
        return replace(step, kind="kill", where=rng.choice(others), for_s=0.0)
    kind = rng.choice(("kill", "wipe", "freeze", "refuse", "stall"))
    return Step(step.at_s + rng.uniform(0.0, step.for_s / 2), kind, rng.choice(others), step.for_s / 2)
