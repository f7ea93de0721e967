"""What happens in a history of the core, from its seed: its shape, its troubles, and the operators' calls.

Other modules may add kinds of fault: a class of its own with `begin` and `end`, put into `fault_injection.KINDS` by
name, and steps of that kind in a plan.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

MACHINES = ("a", "b", "c", "d", "e")
IPS = MACHINES[:3]
#: Nodes downstream of the core.
DOWNSTREAM = ("n1", "n2", "n3")
OPERATORS = ("x", "y")
#: Seconds: one history's troubles and orders, and those of one with long freezes and cuts.
LASTS_S, LONG_LASTS_S = 20.0, 50.0
#: Seconds: how long a trouble lasts at most, and the long ones.
TROUBLE_S, LONG_S = 3.0, (5.0, 25.0)
LONG_KINDS = ("freeze", "cut", "one-way", "lead", "deaf", "freeze-cut")
#: Seconds for which operators change the configuration one after another.
HUNDREDS_S, THOUSANDS_S = 10.0, 90.0

OLDER = "older"
#: All power is lost, and one disk comes back as an older copy.
POWER_OLDER = "power-older"
#: What takes the place of a trouble where a disk comes back as an older copy (disks.py).
INSTEAD = {"wipe": OLDER, "power": POWER_OLDER}
TROUBLES = ("kill", "kill", "wipe", "power", "cut", "one-way", "lead", "freeze", "refuse", "stall")
#: With five machines, and in long histories, these too.
MORE_TROUBLES = (*TROUBLES, "freeze", "freeze-cut", "deaf", "tail")


@dataclass(frozen=True, slots=True)
class Step:
    """What happens at a time: a trouble for so long, or an operator's call."""

    at_s: float
    kind: str
    where: str = ""
    for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Shape:
    """What kind of history a seed is. `machines`: three or five; `wild`: troubles overlap as they like; `large`: bodies
    are; `long`: freezes and cuts of up to 25 s; `hurry_s`: operators change one after another for so long;
    `aimed`: all its troubles are rows that lead to a view with a newcomer on one disk alone; `crowd`: operators come in
    crowds (operators.py)."""

    machines: int = 3
    wild: bool = False
    large: bool = False
    long: bool = False
    hurry_s: float = 0.0
    aimed: bool = False
    crowd: bool = False


def shape_of(seed: int) -> Shape:
    """Ratios that keep the time for one history bounded: two of five have five machines, one of seven is long, and
    another one has crowds of operators; one of twenty has several hundred changes, one of two hundred 2,000."""
    hurry_s = THOUSANDS_S if seed % 200 == 50 else HUNDREDS_S if seed % 20 == 10 else 0.0
    return Shape(
        machines=5 if seed % 5 in (2, 4) else 3,
        wild=seed % 3 == 0,
        large=seed % 4 == 1,
        long=seed % 7 == 3 and not hurry_s,
        hurry_s=hurry_s,
        aimed=seed % 20 == 13,
        crowd=seed % 7 == 0 and not hurry_s,
    )


def make_plan(seed: int) -> list[Step]:
    """Troubles, with calls of two operators all along. In every third plan troubles overlap as they like, but no more
    disks are lost than may be; in the others as many machines are in trouble at once as may be lost, or all lose their
    power."""
    shape = shape_of(seed)
    rng = random.Random(f"plan {seed}")
    lasts_s = LONG_LASTS_S if shape.long else max(LASTS_S, shape.hurry_s + 2.0)
    plan = troubles(shape, rng, lasts_s)
    # Two changes on one version at the same time, as a rule while somebody is in trouble.
    for _ in range(3):
        at_s = rng.choice(plan).at_s + rng.uniform(0.0, 1.5)
        plan += [Step(at_s, "replace", "x"), Step(at_s + rng.uniform(0.0, 0.3), "replace", "y")]
    for operator in OPERATORS:
        at_s = rng.uniform(0.1, 1.0)
        while at_s < lasts_s:
            plan.append(Step(at_s, rng.choice(("read", "replace", "replace")), operator))
            at_s += rng.expovariate(1.0)
    if shape.hurry_s:
        plan.append(Step(rng.uniform(0.0, 1.0), "hurry", rng.choice(OPERATORS), shape.hurry_s))
    plan.sort(key=lambda step: step.at_s)
    return plan if shape.wild or shape.aimed else with_older_copies(seed, plan)


def with_older_copies(seed: int, plan: list[Step]) -> list[Step]:
    """Half of the lost disks are older copies instead, and half of the losses of all power have one besides."""
    rng = random.Random(f"older {seed}")
    return [
        replace(step, kind=INSTEAD[step.kind]) if step.kind in INSTEAD and rng.random() < 0.5 else step for step in plan
    ]


def troubles(shape: Shape, rng: random.Random, lasts_s: float) -> list[Step]:
    """The troubles of a plan of that shape."""
    kinds = MORE_TROUBLES if shape.long or shape.machines > 3 else TROUBLES
    names, losses = MACHINES[: shape.machines], shape.machines // 2
    plan: list[Step] = []
    at_s = rng.uniform(0.5, 2.0)
    while shape.aimed and at_s < lasts_s:
        plan += orphaned(at_s, rng, list(names))
        at_s += rng.uniform(9.0, 11.0)
    while at_s < lasts_s:
        wiped = shape.wild and sum(step.kind == "wipe" for step in plan) >= losses
        kind = rng.choice([kind for kind in kinds if kind != "wipe" or not wiped])
        for_s = rng.uniform(*LONG_S) if shape.long and kind in LONG_KINDS else rng.uniform(0.1, TROUBLE_S)
        step = Step(at_s, kind, rng.choice(names), for_s)
        plan.append(step)
        if shape.wild:
            at_s += rng.uniform(0.1, 2.5)
            continue
        for _ in range(losses - 1):
            plan.append(second(step, rng, [name for name in names if name != step.where]))
        # A machine that was away is lost to the others until they have mended the chain: no more than may be.
        at_s += for_s + (4.0 if kind in ("wipe", "power") else rng.uniform(3.0, 5.0)) + (losses - 1)
    return plan


def orphaned(at_s: float, rng: random.Random, names: list[str]) -> list[Step]:
    """One machine is away while a second loses its disk; whoever first has a view with the new one loses its power."""
    rng.shuffle(names)
    wipe_s, back_s = at_s + rng.uniform(1.4, 2.2), at_s + rng.uniform(1.6, 3.0)
    return [
        Step(at_s, "kill", names[0], back_s - at_s),
        Step(wipe_s, "wipe", names[1], rng.uniform(0.1, 0.4)),
        Step(wipe_s, "orphan", "", 4.0),
    ]


#: Troubles that take a machine by its place in the chain, or all of them: with these no second one goes.
PLACED = ("lead", "tail", "power")


def second(step: Step, rng: random.Random, others: list[str]) -> Step:
    """A second loss at once with the first one."""
    if step.kind in PLACED:
        return replace(step, kind="kill", where=rng.choice(others), for_s=0.0)
    kind = rng.choice(("kill", "wipe", "freeze", "refuse", "stall"))
    return Step(step.at_s + rng.uniform(0.0, step.for_s / 2), kind, rng.choice(others), step.for_s / 2)
