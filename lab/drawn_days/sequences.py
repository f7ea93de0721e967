"""Entries that belong together: faults that matter only in one order and close to each other."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from lab.drawn_days.entries import Entry, draw_entry
from lab.drawn_days.kinds import INVALID_CONFIGURATIONS

#: A sequence begins no later than this share of a day, so that its steps and what follows from them still fit.
LATEST_START = 0.5


@dataclass(frozen=True, slots=True)
class Sequence:
    """A named sequence: the kinds that it needs, and the function that draws it from its start on."""

    name: str
    kinds: frozenset[str]
    draw: Callable[[random.Random, float], list[Entry]]


def replacements_in_a_row(rng: random.Random, at_s: float) -> list[Entry]:
    """A second machine of the core is replaced while, or soon after, the successor of the first is brought level."""
    pause_s = rng.choice((0.5, 2.0, 5.0, 9.0))
    return [draw_entry(rng, "replace_core", at_s), draw_entry(rng, "replace_core", at_s + pause_s)]


def replacement_during_a_cut(rng: random.Random, at_s: float) -> list[Entry]:
    """A machine of the core is replaced while another, or the same one, is cut off."""
    cut = replace(draw_entry(rng, "core_cut", at_s), duration_s=rng.choice((6.0, 12.0)), count=1)
    return [cut, draw_entry(rng, "replace_core", at_s + rng.uniform(0.1, 5.0))]


def replacement_at_an_acknowledgement(rng: random.Random, at_s: float) -> list[Entry]:
    """A machine is replaced just before or after another loses power, or its disk, with an acknowledgement."""
    loss = rng.choice(("after_ack_kill", "after_ack_wipe"))
    return [
        draw_entry(rng, loss, at_s),
        replace(draw_entry(rng, "config_change", at_s + 0.05), how="route"),
        draw_entry(rng, "replace_core", max(0.0, at_s + rng.uniform(-1.0, 1.0))),
    ]


def replacement_with_a_full_disk(rng: random.Random, at_s: float) -> list[Entry]:
    """A successor is brought level while the disk of another member refuses or delays what is written."""
    trouble = replace(draw_entry(rng, rng.choice(("disk_full", "disk_slow", "disk_stall")), at_s), duration_s=8.0)
    return [trouble, draw_entry(rng, "replace_core", at_s + rng.uniform(0.1, 3.0))]


def replacement_of_a_large_configuration(rng: random.Random, at_s: float) -> list[Entry]:
    """A successor fetches a large configuration, and changes go on."""
    return [
        replace(draw_entry(rng, "big_config", at_s), count=1000),
        draw_entry(rng, "replace_core", at_s + rng.uniform(0.5, 3.0)),
        replace(draw_entry(rng, "config_race", at_s + 1.0), count=6, gap_s=0.3),
    ]


def change_storm(rng: random.Random, at_s: float) -> list[Entry]:
    """Pairs of changes on one version close after each other, with a trouble of the core among them."""
    trouble = rng.choice(("node_kill", "core_cut", "after_ack_kill", "disk_slow"))
    storm = replace(draw_entry(rng, "config_race", at_s), count=rng.choice((12, 24)), gap_s=0.1)
    among = draw_entry(rng, trouble, at_s + rng.uniform(0.1, 2.0))
    return [storm, replace(among, machines="core") if trouble == "node_kill" else among]


def every_invalid_configuration(rng: random.Random, at_s: float) -> list[Entry]:
    """Each way in which a configuration is invalid, in any order, with valid changes between them."""
    ways = rng.sample(INVALID_CONFIGURATIONS, len(INVALID_CONFIGURATIONS))
    race = replace(draw_entry(rng, "config_race", at_s), count=6, gap_s=0.5)
    return [
        race,
        *(
            replace(draw_entry(rng, "bad_config", at_s + 0.4 * number), count=1, how=way)
            for number, way in enumerate(ways)
        ),
    ]


def invalid_configuration_in_a_cut(rng: random.Random, at_s: float) -> list[Entry]:
    """Invalid configurations reach a part that is cut off, in a race with valid ones."""
    cut = replace(draw_entry(rng, "core_cut", at_s), duration_s=8.0, count=1)
    return [
        cut,
        replace(draw_entry(rng, "bad_config", at_s + 0.5), count=6, gap_s=0.5),
        replace(draw_entry(rng, "config_race", at_s + 0.6), count=6, gap_s=0.5),
    ]


def long_absence(rng: random.Random, at_s: float) -> list[Entry]:
    """Nodes are cut off for longer than others remember them, and the configuration changes meanwhile."""
    cut = replace(draw_entry(rng, "node_cut", at_s / 4), duration_s=rng.choice((21.0, 25.0)))
    changes = [replace(draw_entry(rng, "config_change", at_s + later_s), how="route") for later_s in (1.0, 3.0, 5.0)]
    return [cut, *changes, draw_entry(rng, "hup", at_s + 4.0)]


def growth_during_a_cut(rng: random.Random, at_s: float) -> list[Entry]:
    """Nodes are added while the core is cut, and their seeds change."""
    cut = replace(draw_entry(rng, "core_cut", at_s), duration_s=8.0, count=1)
    return [cut, draw_entry(rng, "add_nodes", at_s + 1.0), draw_entry(rng, "seed_turnover", at_s + 2.0)]


def lost_acknowledgements(rng: random.Random, at_s: float) -> list[Entry]:
    """The operator misses answers and sends again while the core loses its leader."""
    lost = replace(draw_entry(rng, "ack_lost", at_s), duration_s=8.0)
    kill = replace(draw_entry(rng, "node_kill", at_s + 1.0), machines="core", how="leader")
    return [lost, replace(draw_entry(rng, "config_race", at_s + 0.5), count=6, gap_s=0.5), kill]


def spoilt_answers(rng: random.Random, at_s: float) -> list[Entry]:
    """Answers are spoilt and lost at once while servers are replaced."""
    spoilt = replace(draw_entry(rng, "garble", at_s), duration_s=8.0, share=1.0, strength=0.25)
    lost = replace(draw_entry(rng, "answer_lost", at_s + 0.5), duration_s=8.0)
    return [spoilt, lost, draw_entry(rng, "release", at_s + 1.0)]


def sequence(draw: Callable[[random.Random, float], list[Entry]], *kinds: str) -> Sequence:
    """A sequence that is named as its function is."""
    return Sequence(draw.__name__, frozenset(kinds), draw)


SEQUENCES = (
    sequence(replacements_in_a_row, "replace_core"),
    sequence(replacement_during_a_cut, "replace_core", "core_cut"),
    sequence(replacement_at_an_acknowledgement, "replace_core", "after_ack_kill", "after_ack_wipe", "config_change"),
    sequence(replacement_with_a_full_disk, "replace_core", "disk_full", "disk_slow", "disk_stall"),
    sequence(replacement_of_a_large_configuration, "replace_core", "big_config", "config_race"),
    sequence(change_storm, "config_race", "node_kill", "core_cut", "after_ack_kill", "disk_slow"),
    sequence(every_invalid_configuration, "bad_config", "config_race"),
    sequence(invalid_configuration_in_a_cut, "bad_config", "config_race", "core_cut"),
    sequence(long_absence, "node_cut", "config_change", "hup"),
    sequence(growth_during_a_cut, "core_cut", "add_nodes", "seed_turnover"),
    sequence(lost_acknowledgements, "ack_lost", "config_race", "node_kill"),
    sequence(spoilt_answers, "garble", "answer_lost", "release"),
)
