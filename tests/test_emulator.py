"""Whole days on simulated machines: what the parties see, and that each rule's check can fail."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from cypressbeam.balancing import balancer
from cypressbeam.protocol.settings import Settings
from cypressbeam.proxy.http_responses import ResponseReader
from lab import experiment, random_days
from lab.day import Day, DayError, Kind, Service, Trouble, load, read
from lab.day_simulation import DayWorld as World
from lab.day_simulation import play
from lab.emulator import DayResult
from lab.invariant_checker import Breach, Ledger, Run, Try, Wish

pytestmark = pytest.mark.usefixtures("quiet")

SERVICES = (Service(name="finder", servers=6), Service(name="booker", servers=4))
SMALL = {
    "edges": 6,
    "traffic_s": 6.0,
    "services": SERVICES,
    "kinds": (
        Kind(name="lookup", service="finder", per_s=25.0),
        Kind(name="booking", service="booker", mode="effectful", per_s=10.0),
    ),
}


def small(*troubles: Trouble, **more: object) -> Day:
    return Day(**(SMALL | {"troubles": troubles} | more))  # type: ignore[arg-type]


def outcome_and_tries(day: Day, seed: int) -> tuple[DayResult, list[object]]:
    world = World(day, seed)
    try:
        world.run(world.play())
        return world.outcome(), [(one.ident, one.node, one.status, one.ended_s) for one in world.ledger.tries.values()]
    finally:
        world.close()


def test_one_seed_is_one_day_exactly_and_another_seed_another() -> None:
    day = small(Trouble(kind="power_off_all", at=2.0, for_s=0.3), Trouble(kind="roll_term", at=1.0))
    assert outcome_and_tries(day, 1) == outcome_and_tries(day, 1)
    assert outcome_and_tries(day, 1) != outcome_and_tries(day, 2)


def test_a_quiet_day_is_served_whole_within_the_rules() -> None:
    found = play(small(), 1)
    assert found.breaches == [] and found.figures["served"] == 1.0 and found.figures["worth"] > 0.98
    assert found.figures["requests"] > 150 and found.figures["edge processor s"] > 0


@pytest.mark.parametrize(
    "trouble",
    [
        Trouble(kind="srv_ill", how="errors", x=0.5, at=1.0),
        Trouble(kind="srv_ill", how="mute", x=0.5, at=1.0),
        Trouble(kind="srv_crash", at=1.0, for_s=3.0),
        Trouble(kind="srv_flap", at=1.0),
        Trouble(kind="release", at=0.5),
        Trouble(kind="scale_in", at=0.5, share=0.3),
        Trouble(kind="idle_race", at=1.0, share=0.5, x=0.3),
        Trouble(kind="answer_lost", at=1.0, share=0.5, x=0.05),
        Trouble(kind="surplus", at=1.0, share=0.5, x=0.2),
        Trouble(kind="node_kill", at=1.0, for_s=1.0),
        Trouble(kind="node_kill", on="core", at=1.0, for_s=0.5),
        Trouble(kind="zone_cut", at=1.0, for_s=3.0),
        Trouble(kind="lossy", at=1.0, x=0.02),
        Trouble(kind="burst", at=1.0, x=2.0),
        Trouble(kind="config_change", at=1.0),
        Trouble(kind="config_race", at=1.0),
        Trouble(kind="reuse", at=0.5, for_s=1.0, share=0.3),
    ],
    ids=lambda one: f"{one.kind} {one.how}",
)
def test_each_trouble_is_borne_within_the_rules(trouble: Trouble) -> None:
    found = play(small(trouble), 2)
    assert found.breaches == []
    assert found.figures["served"] > 0.9


def test_a_day_finds_nodes_that_hand_on_what_belongs_to_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """The look at `Attempt-Id` left out: surplus answers must show as MIXED."""

    def any_name(self: ResponseReader, names: bytes) -> None:
        """Whatever it is called, it is taken."""

    day = small(Trouble(kind="surplus", at=0.0, for_s=6.0, share=1.0, x=0.3))
    assert play(day, 1).breaches == []
    monkeypatch.setattr(ResponseReader, "check_name", any_name)
    assert "MIXED" in {breach.rule for breach in play(day, 1).breaches}


def test_a_day_finds_a_core_that_confirms_two_changes_on_one_version(monkeypatch: pytest.MonkeyPatch) -> None:
    day = small(Trouble(kind="config_race", at=1.0))
    post = World.post

    async def anything_goes(self: World, settings: Settings, body: bytes, base: int) -> int:
        """As a core would that never looked at what a change builds on."""
        status = await post(self, settings, body, base)
        return 200 if status == 412 else status

    monkeypatch.setattr(World, "post", anything_goes)
    assert [breach.rule for breach in play(day, 1).breaches] == ["CONFIG"]


def test_a_day_finds_nodes_that_repeat_what_must_run_once(monkeypatch: pytest.MonkeyPatch) -> None:
    def whatever(self: balancer.Request) -> None:
        """As if nothing had ever run."""

    monkeypatch.setattr(balancer.Request, "first_that_may_have_run", whatever)
    found = play(small(Trouble(kind="answer_lost", at=0.5, share=1.0, x=0.2)), 1)
    assert {"TWICE"} <= {breach.rule for breach in found.breaches}


def test_days_that_are_drawn_keep_the_rules_and_a_find_is_shrunk(monkeypatch: pytest.MonkeyPatch) -> None:
    assert random_days.search_with(("", range(3))) is None
    assert random_days.drawn(7) == random_days.drawn(7) != random_days.drawn(8)
    needed = Trouble(kind="surplus", at=1.0, for_s=9.0, share=1.0, x=0.3)
    day = small(Trouble(kind="scale_out", at=1.0), needed, Trouble(kind="burst", at=2.0, x=1.5))

    def any_name(self: ResponseReader, names: bytes) -> None:
        """Whatever it is called, it is taken."""

    monkeypatch.setattr(ResponseReader, "check_name", any_name)
    monkeypatch.setattr(random_days, "drawn", lambda seed: day)
    found = random_days.search_with(("", range(1, 2)))
    assert found is not None and found[0] == 1
    told, *left = found[1].splitlines()
    assert "MIXED" in told and left == [repr(needed)]


def test_rules_with_a_time_bound_leave_out_machines_in_trouble() -> None:
    world = World(small(), 1)
    try:
        edge, core = world.machines[-1], world.machines[0]
        with world.out_of_touch([edge]):
            assert not world.ledger.in_touch(edge[1].node, world.loop.time())
        since_s = world.loop.time()
        assert not world.ledger.in_touch(edge[1].node, since_s + world.day.contact_s)
        assert world.ledger.in_touch(edge[1].node, since_s + world.day.contact_s + 0.1)
        assert world.ledger.in_touch("edge-1", since_s)
        with world.out_of_touch([core]):
            assert not world.ledger.in_touch("edge-1", since_s)
    finally:
        world.close()


def sent(ledger: Ledger, ident: str, kind: str = "booking", repeatable: bool = False, at_s: float = 0.0) -> Try:
    one = Try(ident, kind, repeatable, "edge-1", (b"POST", b"/b/", b""), at_s)
    ledger.sends(one, {"booker"})
    return one


def run_of(ident: str, plant: str = "booker", body: bytes = b"") -> Run:
    return Run(ident, "i-1", plant, (b"POST", b"/b/", body), 1.0)


def rules(ledger: Ledger, slack: float = 60.0) -> set[str]:
    return {breach.rule for breach in ledger.breaches(4.0, 0.2, 10.0, slack)}


def test_the_ledger_tells_each_rule_from_what_was_seen() -> None:
    ledger = Ledger()
    ledger.allowed["booking"].add("booker")
    sent(ledger, "r1")
    ledger.ran(run_of("r1"))
    assert rules(ledger) == set()
    ledger.ran(run_of("r1"))
    assert rules(ledger) == {"TWICE"}
    sent(ledger, "r2").status = 503
    ledger.ran(run_of("r2"))
    assert rules(ledger) == {"TWICE", "REFUSED"}
    for wrong, rule in (
        (run_of("nobody"), "UNASKED"),
        (run_of("r1", body=b"x"), "UNASKED"),
        (run_of("r1", plant="finder"), "ROUTE"),
    ):
        other = Ledger()
        other.allowed["booking"].add("booker")
        sent(other, "r1")
        other.ran(wrong)
        assert rules(other) == {rule}


def test_the_ledger_tells_late_work_on_drained_servers_and_a_spent_budget() -> None:
    ledger = Ledger()
    ledger.drained_s["i-1"] = 10.0
    sent(ledger, "early", at_s=9.0)
    ledger.arrived(15.0, "early", "i-1", "booker")  # taken from its client before the list told
    sent(ledger, "late", at_s=13.9)
    ledger.arrived(13.95, "late", "i-1", "booker")
    assert rules(ledger) == set()
    sent(ledger, "too-late", at_s=14.1)
    ledger.arrived(14.2, "too-late", "i-1", "booker")
    assert rules(ledger) == {"DRAIN"}
    spent = Ledger()
    for number in range(20):
        sent(spent, f"r{number}", at_s=number / 10)
        for again in range(2):
            spent.arrived(number / 10 + again / 100, f"r{number}", f"i-{again}", "booker")
    assert rules(spent, slack=20.0) == set()
    assert rules(spent, slack=10.0) == {"BUDGET"}


def test_worth_is_weighed_as_the_operator_counts_it() -> None:
    ledger = Ledger(
        wishes=[
            Wish("a", 0.0, 0.1, 1.0, 1.0, True),
            Wish("a", 0.1, 3.0, 1.0, 0.3, True),
            Wish("b", 3.0, 0.1, 2.0, 0.0, False),
            Wish("b", 9.0, 0.2, 2.0, 2.0, True),
        ]
    )
    assert ledger.worth() == pytest.approx(3.3 / 6)
    assert ledger.worst_windows() == pytest.approx((0.0 + 0.65) / 2)
    assert ledger.by_kind() == {"a": pytest.approx(0.65), "b": pytest.approx(0.5)}
    assert ledger.served() == 0.75 and ledger.took_ms(1.0) == 3000


def test_days_come_from_files_and_wrong_ones_are_told(tmp_path: Path) -> None:
    shipped = load(Path(__file__).parent.parent / "lab" / "days" / "grown.toml")
    assert shipped.edges == 77 and len(shipped.troubles) == 2
    for document, told in (
        ({"edges": "x"}, "Expected `int`, got `str` - at `$.edges`"),
        ({"edgs": 3}, "unknown field `edgs`"),
        ({"edges": 0}, "must each be at least 1"),
        ({"troubles": [{"kind": "srv_ill", "service": "nix"}]}, "service 'nix' is not there"),
        ({"troubles": [{"kind": "hail"}]}, "Invalid enum value 'hail'"),
    ):
        with pytest.raises(DayError, match="here: ") as caught:
            read(document, "here")
        assert told in str(caught.value)
    broken = tmp_path / "day.toml"
    broken.write_text("edges = ", encoding="utf-8")
    with pytest.raises(DayError, match=r"day\.toml"):
        load(broken)


def test_a_change_acts_on_its_side_only_and_wrong_ones_are_told() -> None:
    change = experiment.read_change(["balancer.RETRIES_EACH=0"], "random")
    day = small(Trouble(kind="srv_ill", how="errors", x=1.0, at=0.5, for_s=5.0, share=0.5))
    (pair,) = [(experiment.play_with(day, experiment.Change(), 1), experiment.play_with(day, change, 1))]
    assert pair[0].figures["arrivals beyond the first"] > 0 == pair[1].figures["arrivals beyond the first"]
    assert balancer.RETRIES_EACH == 2 and balancer.Balancer.choose.__name__ == "choose"
    assert "| arrivals beyond the first |" in experiment.table([pair, pair], change)
    for wrong in ("balancer.NOTHING=1", "balancer.PADDING", "other.PADDING=1", "balancer.PADDING=x"):
        with pytest.raises(experiment.ExperimentError):
            experiment.read_change([wrong])
    with pytest.raises(experiment.ExperimentError):
        experiment.read_change([], "best")


def test_an_interval_holds_the_mean_as_often_as_it_says() -> None:
    rng, held = random.Random(1), 0
    for _ in range(2000):
        mean, give = experiment.interval([rng.gauss(3.0, 2.0) for _ in range(5)])
        held += abs(mean - 3.0) <= give
    assert 0.93 < held / 2000 < 0.97
    assert experiment.interval([1.0])[1] == float("inf")


def test_breaches_are_told_in_the_order_of_time() -> None:
    ledger = Ledger(seen=[Breach("B", 2.0, ""), Breach("A", 1.0, "")])
    assert [breach.rule for breach in ledger.breaches(1.0, 0.2, 10.0, 60.0)] == ["A", "B"]
