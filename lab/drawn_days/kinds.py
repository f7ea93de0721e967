"""The kinds of entries that a day may hold, and the values that each of their fields may take.

`TABLE` is the only place that names kinds: an entry is drawn from its row, and a row that lists no values for a field
leaves that field to the default of whatever plays the day.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

#: Seconds that an entry lasts. A deployment forgets a node's absence after some seconds, so some lie far beyond that.
DURATIONS_S = (0.5, 2.0, 4.0, 8.0, 12.0, 20.0)
CUT_DURATIONS_S = (*DURATIONS_S, 25.0)
SHARES = (0.1, 0.3, 0.5, 1.0)
SMALL_SHARES = (0.05, 0.15, 0.3)
GAPS_S = (0.1, 0.3, 0.5, 1.0, 2.0)
ONE_OR_TWO = (1, 2)
#: Which machine is struck: by its part in the system, or left to chance.
TARGETS = ("", "turn", "leader", "reader", "seed")
#: What follows on the machine that was struck: changes sent to it as it returns, and servers of its zone that leave.
FOLLOW_UPS = ("meet", "race", "hard", "drain")
#: What a cut does to packets, beside dropping them silently.
REJECTIONS = ("", "reset", "refuse")
#: How widely trouble strikes the servers.
SPREADS = ("", "across", "all")
#: The ways in which a configuration is invalid.
INVALID_CONFIGURATIONS = (
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
)


class Section(StrEnum):
    """The list of a day that an entry belongs to: planned work or faults."""

    PLAN = "plan"
    FAULTS = "faults"


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of entry. Each tuple holds the values that are drawn from; an empty one leaves the field out.

    `variants` are the alternatives of `how`; `variant_strength` replaces `strength` for those that measure it in
    another unit. Each tuple in `modifiers` adds one of its words, and any number of `follow_ups` may come last.
    """

    name: str
    section: Section = Section.FAULTS
    duration_s: Sequence[float] = ()
    share: Sequence[float] = ()
    count: Sequence[int] = ()
    strength: Sequence[float] = ()
    gap_s: Sequence[float] = ()
    machines: Sequence[str] = ()
    variants: Sequence[str] = ("",)
    variant_strength: Mapping[str, Sequence[float]] = field(default_factory=dict)
    modifiers: Sequence[Sequence[str]] = ()
    follow_ups: Sequence[str] = ()

    def words(self) -> frozenset[str]:
        """Every word that `how` may hold."""
        texts = [*self.variants, *self.follow_ups, *(word for choice in self.modifiers for word in choice)]
        return frozenset(word for text in texts for word in text.split())


def server_kinds() -> tuple[Kind, ...]:
    """What happens to servers, and planned work on them."""
    return (
        Kind(
            name="srv_crash",
            duration_s=DURATIONS_S,
            share=SMALL_SHARES,
            variants=("", "dark", "gone", "dark gone"),
            modifiers=(SPREADS,),
        ),
        Kind(name="srv_slow", duration_s=DURATIONS_S, share=SHARES, strength=(2.0, 4.0, 8.0), modifiers=(SPREADS,)),
        Kind(
            name="srv_grey",
            duration_s=DURATIONS_S,
            share=SMALL_SHARES,
            strength=(0.2, 0.4, 1.0),
            variants=("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
            variant_strength={"slow": (4.0, 8.0)},
            modifiers=(("", "one_zone"), SPREADS),
        ),
        Kind(
            name="srv_lying_health",
            duration_s=DURATIONS_S,
            share=SMALL_SHARES,
            variants=("errors", "hang", "reset", "bad"),
            modifiers=(SPREADS,),
        ),
        Kind(name="srv_flap", duration_s=DURATIONS_S, share=SMALL_SHARES, gap_s=(0.5, 1.0, 2.0)),
        Kind(name="idle_race", duration_s=DURATIONS_S, share=SHARES, strength=(100.0, 300.0, 1000.0)),
        Kind(
            name="answer_lost",
            duration_s=DURATIONS_S,
            share=SHARES,
            strength=(0.03, 0.1, 0.25),
            variants=("", "reset"),
            modifiers=(SPREADS,),
        ),
        Kind(
            name="garble",
            duration_s=DURATIONS_S,
            share=SHARES,
            strength=(0.02, 0.1, 0.25),
            variants=("", "extra", "extra late", "unframed", "early"),
            modifiers=(SPREADS,),
        ),
        Kind(name="replace_with_reuse", share=SMALL_SHARES, variants=("", "drain", "dark")),
        Kind(name="release", section=Section.PLAN, share=SHARES, strength=(1.0, 3.0, 6.0), gap_s=GAPS_S),
        Kind(name="scale_in", section=Section.PLAN, share=SMALL_SHARES, strength=(0.5, 2.0), variants=("", "spot")),
        Kind(name="scale_out", section=Section.PLAN, share=SMALL_SHARES, gap_s=(0.5, 2.0)),
    )


def client_kinds() -> tuple[Kind, ...]:
    """What clients and the network towards them do."""
    return (
        Kind(name="burst", duration_s=(2.0, 4.0, 8.0), strength=(1.5, 2.0, 3.0)),
        Kind(name="shift", duration_s=DURATIONS_S, share=(0.3, 0.5)),
        Kind(name="retry_abuse", duration_s=DURATIONS_S, share=(0.2, 0.4), strength=(2.0, 3.0)),
        Kind(name="give_up", duration_s=DURATIONS_S, share=(0.2, 0.5), strength=(50.0, 400.0)),
        Kind(name="lossy", duration_s=DURATIONS_S, strength=(0.01, 0.03, 0.1)),
    )


def machine_kinds() -> tuple[Kind, ...]:
    """Machines that stop, freeze, turn slow or are cut off, and planned stops."""
    return (
        Kind(
            name="node_kill",
            duration_s=DURATIONS_S,
            share=SMALL_SHARES,
            machines=("", "core"),
            variants=("", "power"),
            modifiers=(TARGETS,),
            follow_ups=FOLLOW_UPS,
        ),
        Kind(
            name="node_freeze",
            duration_s=DURATIONS_S,
            share=SMALL_SHARES,
            machines=("", "core"),
            modifiers=(TARGETS,),
            follow_ups=FOLLOW_UPS,
        ),
        Kind(
            name="node_slow",
            duration_s=DURATIONS_S,
            share=SMALL_SHARES,
            strength=(3.0, 6.0),
            machines=("", "core"),
            modifiers=(TARGETS,),
        ),
        Kind(
            name="node_cut",
            duration_s=CUT_DURATIONS_S,
            share=SMALL_SHARES,
            variants=("", "all", "servers"),
            modifiers=(REJECTIONS,),
            follow_ups=FOLLOW_UPS,
        ),
        Kind(
            name="core_cut",
            duration_s=CUT_DURATIONS_S,
            count=ONE_OR_TWO,
            variants=("", "all", "near", "oldest", "one_way", "seeds", "both", "lure"),
            modifiers=(TARGETS, REJECTIONS),
            follow_ups=FOLLOW_UPS,
        ),
        Kind(
            name="herd_kill",
            duration_s=DURATIONS_S,
            share=(0.3, 0.6, 1.0),
            machines=("", "core"),
            variants=("", "power", "taken", "taken all"),
            follow_ups=("race",),
        ),
        Kind(name="reset_conns", share=SMALL_SHARES, strength=(0.5, 1.0), modifiers=(TARGETS,)),
        Kind(
            name="clock_step",
            duration_s=DURATIONS_S,
            share=(0.3, 0.6),
            strength=(500.0, 2000.0, 10_000.0),
            variants=("", "back", "ahead"),
            modifiers=(TARGETS,),
        ),
        Kind(name="seed_turnover"),
        Kind(
            name="roll_term",
            section=Section.PLAN,
            share=(0.3, 1.0),
            strength=(1.0, 3.0),
            gap_s=GAPS_S,
            machines=("", "core"),
            variants=("", "remove"),
            modifiers=(("", "busy"),),
        ),
        Kind(name="add_nodes", section=Section.PLAN, share=(0.5, 1.0)),
        Kind(name="hup", section=Section.PLAN, share=(0.3, 1.0), gap_s=(0.5, 2.0)),
    )


def storage_kinds() -> tuple[Kind, ...]:
    """Disks in trouble, and the loss or replacement of machines that hold state."""
    return (
        Kind(
            name="disk_slow",
            duration_s=DURATIONS_S,
            count=ONE_OR_TWO,
            strength=(10.0, 30.0, 100.0),
            modifiers=(TARGETS,),
        ),
        Kind(name="disk_stall", duration_s=DURATIONS_S, count=ONE_OR_TWO, modifiers=(TARGETS,)),
        Kind(name="disk_full", duration_s=DURATIONS_S, count=ONE_OR_TWO, modifiers=(TARGETS,)),
        Kind(
            name="after_ack_kill",
            duration_s=DURATIONS_S,
            count=ONE_OR_TWO,
            variants=("", "kill", "timed", "taken", "taken gone"),
        ),
        Kind(name="after_ack_wipe", duration_s=DURATIONS_S, count=ONE_OR_TWO, variants=("", "timed", "oldest")),
        Kind(name="replace_core", strength=(0.5, 1.0, 4.0, 10.0), variants=("", "planned", "oldest", "leader")),
    )


def configuration_kinds() -> tuple[Kind, ...]:
    """What the operator sends."""
    return (
        Kind(
            name="config_change",
            section=Section.PLAN,
            variants=("route", "weights", "timeout", "tenant", "quota", "idle"),
        ),
        Kind(name="config_race", section=Section.PLAN, count=(1, 3, 6, 12), gap_s=GAPS_S),
        Kind(name="config_storm", section=Section.PLAN, duration_s=(2.0, 4.0, 8.0), gap_s=(0.1, 0.2, 0.4)),
        Kind(name="bad_config", section=Section.PLAN, count=(1, 3, 6), gap_s=GAPS_S, variants=INVALID_CONFIGURATIONS),
        Kind(name="big_config", section=Section.PLAN, count=(50, 300, 1000)),
        Kind(name="ack_lost", duration_s=DURATIONS_S, strength=(0.3, 0.7, 1.0)),
    )


TABLE: dict[str, Kind] = {
    kind.name: kind
    for group in (server_kinds(), client_kinds(), machine_kinds(), storage_kinds(), configuration_kinds())
    for kind in group
}
