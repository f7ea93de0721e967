"""Days drawn by chance from all troubles, to find broken rules: fuzzing of the whole system, without a network.

A day follows from its seed alone. What it must keep: the rules, no callback that fails, and, once all trouble is over,
requests that are served. A find is shrunk by leaving out one trouble after another while the same rule still breaks.
"""

from __future__ import annotations

import random
from typing import get_args

import msgspec

from lab.day import Day, FaultKind, Kind, Service, Trouble
from lab.day_simulation import DayWorld
from lab.emulator import DayResult

SERVICES = (Service(name="finder", servers=9), Service(name="booker", servers=6))
KINDS = (
    Kind(name="lookup", service="finder", per_s=30.0),
    Kind(name="booking", service="booker", mode="effectful", per_s=12.0, work_ms=290.0, worth=2.0, late_worth=0.6),
    Kind(name="upload", service="booker", mode="ingest", per_s=2.0, work_ms=250.0, body=60_000),
)
KINDS_OF_TROUBLE = get_args(FaultKind)
#: Unplanned trouble of machines excuses lost requests: every so many days have planned work and servers' troubles only.
PLANNED_EVERY = 4
PLANNED = (
    "roll_term",
    "roll_term",
    "hup",
    "hup",
    "config_change",
    "config_change",
    "config_race",
    "release",
    "scale_in",
    "srv_ill",
    "burst",
)
HOW = ("errors", "shed", "busy", "hang", "mute", "reset", "slow")
#: Of each trouble that has one, the least and the most of its strength.
STRENGTH = {
    "srv_ill": (0.1, 1.0),
    "idle_race": (0.1, 1.0),
    "answer_lost": (0.01, 0.3),
    "surplus": (0.01, 0.3),
    "lossy": (0.005, 0.05),
    "burst": (1.5, 4.0),
}
#: The share of days on which servers that book look something up by themselves.
CALLS = 0.33
#: Routes' cut-offs; 0: the deadline.
CUTOFFS_MS = (0.0, 0.0, 2000.0, 4000.0)
TRAFFIC_S, CALM_S, MOST_TROUBLES = 16.0, 4.0, 6
#: Of what is asked in the calm at the end so much must be served.
SERVED = 0.5
#: More than this share of all tries held past their cut-off is a find. A node can't know how long bytes have waited at
#: an overloaded machine before it read them.
HELD = 0.001


def trouble(rng: random.Random, kinds: tuple[str, ...] = KINDS_OF_TROUBLE) -> Trouble:
    kind, how = rng.choice(kinds), rng.choice(HOW)
    strength = (2.0, 8.0) if kind == "srv_ill" and how == "slow" else STRENGTH.get(kind, (1.0, 1.0))
    at = rng.uniform(0.0, TRAFFIC_S - CALM_S - 4.0)
    away = {"power_off_all": (0.2, 1.5), "node_kill": (0.2, 3.0)}.get(kind, (0.5, 4.0))
    return Trouble(
        kind=kind,  # type: ignore[arg-type]
        how=how,  # type: ignore[arg-type]
        at=round(at, 2),
        for_s=round(rng.uniform(*away), 2),
        gap_s=round(rng.uniform(0.2, 1.0), 2),
        share=round(rng.uniform(0.05, 0.5), 2),
        x=round(rng.uniform(*strength), 3),
        on=rng.choice(("edge", "edge", "core")),
        service=rng.choice(("", "finder", "booker")),
    )


def drawn(seed: int) -> Day:
    """The day of a seed."""
    rng = random.Random(f"day {seed}")
    kinds_of_trouble = PLANNED if seed % PLANNED_EVERY == PLANNED_EVERY - 1 else KINDS_OF_TROUBLE
    troubles = tuple(trouble(rng, kinds_of_trouble) for _ in range(rng.randint(1, MOST_TROUBLES)))
    # The operator's bound is now the clients' deadline, now well below it.
    kinds = tuple(msgspec.structs.replace(kind, cutoff_ms=rng.choice(CUTOFFS_MS)) for kind in KINDS)
    if rng.random() < CALLS:
        kinds = tuple(msgspec.structs.replace(kind, calls="lookup" if kind.name == "booking" else "") for kind in kinds)
    return Day(
        name=f"drawn-{seed}",
        edges=rng.randint(4, 16),
        cores=rng.choice((3, 3, 5)),
        zones=rng.randint(2, 4),
        idle_routes=rng.choice((8, 8, 300)),
        traffic_s=TRAFFIC_S,
        services=SERVICES,
        kinds=kinds,
        troubles=troubles,
    )


def wrong(day: Day, seed: int) -> tuple[str, str]:
    """The first rule that a day breaks, and how; empty where it keeps all."""
    world = DayWorld(day, seed)
    try:
        world.run(world.play())
        found: DayResult = world.outcome()
        calm_s = max((wish.began_s for wish in world.ledger.of_clients), default=0.0) - CALM_S
        held, tries = world.ledger.held(), len(world.ledger.tries)
        calm = [wish for wish in world.ledger.of_clients if wish.began_s > calm_s]
    finally:
        world.close()
    if found.breaches:
        first = found.breaches[0]
        return first.rule, f"{first.at_s:.2f} s {first.rule}: {first.text}"
    if len(held) > HELD * tries:
        return "HELD", f"{held[0].sent_s:.2f} s HELD: {len(held)} requests past their cut-off, {held[0].ident} first"
    served = sum(wish.served for wish in calm) / max(len(calm), 1)
    return ("RECOVER", f"RECOVER: {served:.0%} served in the calm at the end") if served < SERVED else ("", "")


def shrunk(day: Day, seed: int, rule: str) -> Day:
    """Without the troubles that the broken rule does not need."""
    at = 0
    while at < len(day.troubles):
        fewer = msgspec.structs.replace(day, troubles=day.troubles[:at] + day.troubles[at + 1 :])
        if wrong(fewer, seed)[0] == rule:
            day = fewer
        else:
            at += 1
    return day


def search_with(job: tuple[str, range]) -> tuple[int, str] | None:
    """The first of some days that breaks a rule: its seed, and what is left of it when shrunk. No name is given."""
    for seed in job[1]:
        day = drawn(seed)
        rule, told = wrong(day, seed)
        if rule:
            left = shrunk(day, seed, rule)
            return seed, "\n".join([told, *(repr(trouble) for trouble in left.troubles)])
    return None
