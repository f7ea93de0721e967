"""What nodes tell each other of servers that fail: who counts, who is told, and what a verdict does to a balancer."""

from __future__ import annotations

import msgspec
import pytest

from cypressbeam import balancing as pr
from cypressbeam.balancing.balancer import TRIAL_US, Balancer
from cypressbeam.distribution.outlier_detection import EJECTION_S, WINDOW_S, OutlierDetector
from lab.day import Day, Kind, Service, Trouble
from lab.day_simulation import DayWorld as World

pytestmark = pytest.mark.usefixtures("quiet")

LISTED = 40


def test_two_nodes_of_a_zone_make_a_verdict_for_it_once_in_a_rest() -> None:
    detector = OutlierDetector()
    assert detector.report("n1", "a", ["s1"], LISTED, 10.0) == []
    assert detector.report("n1", "a", ["s1"], LISTED, 10.1) == []  # the same one again
    assert detector.report("n2", "b", ["s1"], LISTED, 10.2) == []  # of another zone: it may fail for one alone
    assert detector.report("n3", "a", ["s1", "s2", "s1"], LISTED, 10.3) == ["s1"]
    assert detector.report("n4", "a", ["s1"], LISTED, 10.4) == []  # told of just now
    assert detector.report("n4", "a", ["s1"], LISTED, 10.3 + EJECTION_S) == ["s1"]


def test_reports_fade_and_leave_nothing_behind() -> None:
    detector = OutlierDetector()
    detector.report("n1", "a", ["s1"], LISTED, 10.0)
    assert detector.report("n2", "a", ["s1"], LISTED, 10.1 + WINDOW_S) == []
    detector.report("n2", "a", ["s1"], LISTED, 11.0 + WINDOW_S)
    detector.expire(100.0)
    assert not detector.reports and not detector.ejected


def test_a_node_that_is_ill_itself_and_a_day_on_which_all_fails_empty_no_zone() -> None:
    detector = OutlierDetector()
    everything = [f"s{number}" for number in range(LISTED)]
    assert detector.report("ill", "a", everything, LISTED, 10.0) == []
    assert detector.report("well", "a", ["s1"], LISTED, 10.1) == []  # the other reporter does not count
    assert detector.report("well-too", "a", ["s1"], LISTED, 10.2) == ["s1"]
    busy = OutlierDetector()
    told = []
    for number in range(LISTED):  # a few of each node, so that none looks ill
        for node in range(2):
            told += busy.report(f"n{number // 5}-{node}", "a", [f"s{number}"], LISTED, 10.0 + number / 100)
    assert len(told) == LISTED // 4


def balancer() -> Balancer:
    kinds = (
        pr.RequestClass("read", pr.Repeat.SAFE, latency_target_us=10**6, deadline_us=10**7),
        pr.RequestClass("order", pr.Repeat.UNSAFE, latency_target_us=10**6, deadline_us=10**7),
    )
    made = Balancer(pr.Settings(classes=kinds, proxies=40), seed=1)
    made.handle(0, pr.ListChanged(1, pr.ListScope.WHOLE, tuple(pr.ServerEntry(f"s{i}") for i in range(2))))
    return made


def sent_to(made: Balancer, now_us: int, ident: str, kind: str) -> str:
    actions = made.handle(now_us, pr.RequestArrived(ident, kind, now_us + 10**7))
    (send,) = [action for action in actions if isinstance(action, pr.Send)]
    made.handle(now_us + 10, pr.AttemptEnded(ident, 0, send.server, pr.AttemptOutcome.OK, 10, True))
    return send.server


def test_a_verdict_rests_a_server_as_a_fault_of_ones_own_and_no_longer() -> None:
    made = balancer()
    made.handle(1, pr.ServerUnhealthy("s0"))
    made.handle(1, pr.ServerUnhealthy("unknown"))
    rest_us = made.servers["s0"].ejected_until_us
    assert 0.75 * TRIAL_US <= rest_us <= 1.25 * TRIAL_US
    made.handle(2, pr.ServerUnhealthy("s0"))  # it rests already
    assert made.servers["s0"].ejected_until_us == rest_us and made.servers["s0"].consecutive_faults == 1
    assert {sent_to(made, 100 + i, f"r{i}", "read") for i in range(30)} == {"s1"}
    later = 2 * TRIAL_US
    assert {sent_to(made, later + i, f"o{i}", "order") for i in range(30)} == {"s1"}  # tried with what may be repeated
    assert "s0" in {sent_to(made, later + 100 + i, f"l{i}", "read") for i in range(30)}


def test_nodes_that_share_lose_fewer_requests_that_may_not_be_repeated() -> None:
    """Twelve nodes in one zone, a quarter of the servers fails all that it gets."""
    day = Day(
        edges=12,
        zones=1,
        traffic_s=8.0,
        services=(Service(name="booker", servers=12),),
        kinds=(Kind(name="booking", service="booker", mode="effectful", per_s=100.0, work_ms=200.0, repeats=0),),
        troubles=(Trouble(kind="srv_ill", how="errors", x=1.0, share=0.25, at=1.0, for_s=6.0),),
    )

    def lost(share: bool, seed: int) -> int:
        world = World(msgspec.structs.replace(day, share_faults=share), seed)
        try:
            world.run(world.play())
            assert not world.outcome().breaches
            return sum(not wish.served for wish in world.ledger.wishes)
        finally:
            world.close()

    alone, together = sum(lost(False, seed) for seed in (1, 2)), sum(lost(True, seed) for seed in (1, 2))
    assert together < 0.6 * alone, (together, alone)
