"""Outlier detection of servers: which reports count, which zones are notified, and the effect on a balancer."""

from __future__ import annotations

import msgspec
import pytest

from cypressbeam import balancing as pr
from cypressbeam.balancing.balancer import BASE_EJECTION_US, Balancer
from cypressbeam.distribution.outlier_detection import EJECTION_S, WINDOW_S, OutlierDetector
from lab.day import Day, Kind, Service, Trouble
from lab.day_simulation import DayWorld as World

pytestmark = pytest.mark.usefixtures("quiet")

SERVER_COUNT = 40


def test_two_reporters_of_a_zone_eject_a_server_once_per_ejection_time() -> None:
    detector = OutlierDetector()
    assert detector.report("n1", "a", ["s1"], SERVER_COUNT, 10.0) == []
    assert detector.report("n1", "a", ["s1"], SERVER_COUNT, 10.1) == []  # the same reporter again
    # Another zone: a server may fail for one zone only.
    assert detector.report("n2", "b", ["s1"], SERVER_COUNT, 10.2) == []
    assert detector.report("n3", "a", ["s1", "s2", "s1"], SERVER_COUNT, 10.3) == ["s1"]
    assert detector.report("n4", "a", ["s1"], SERVER_COUNT, 10.4) == []  # ejected a moment ago
    assert detector.report("n4", "a", ["s1"], SERVER_COUNT, 10.3 + EJECTION_S) == ["s1"]


def test_reports_expire() -> None:
    detector = OutlierDetector()
    detector.report("n1", "a", ["s1"], SERVER_COUNT, 10.0)
    assert detector.report("n2", "a", ["s1"], SERVER_COUNT, 10.1 + WINDOW_S) == []
    detector.report("n2", "a", ["s1"], SERVER_COUNT, 11.0 + WINDOW_S)
    detector.expire(100.0)
    assert not detector.reports and not detector.ejected


def test_faulty_reporter_or_failure_of_all_servers_ejects_only_a_limited_share() -> None:
    detector = OutlierDetector()
    all_servers = [f"s{number}" for number in range(SERVER_COUNT)]
    assert detector.report("ill", "a", all_servers, SERVER_COUNT, 10.0) == []
    assert detector.report("well", "a", ["s1"], SERVER_COUNT, 10.1) == []  # the faulty reporter does not count
    assert detector.report("well-too", "a", ["s1"], SERVER_COUNT, 10.2) == ["s1"]
    widespread = OutlierDetector()
    ejected = []
    for number in range(SERVER_COUNT):  # a few per node, so that none counts as faulty
        for node in range(2):
            ejected += widespread.report(
                f"n{number // 5}-{node}", "a", [f"s{number}"], SERVER_COUNT, 10.0 + number / 100
            )
    assert len(ejected) == SERVER_COUNT // 4


def make_balancer() -> Balancer:
    classes = (
        pr.RequestClass("read", pr.Repeat.SAFE, latency_target_us=10**6, deadline_us=10**7),
        pr.RequestClass("order", pr.Repeat.UNSAFE, latency_target_us=10**6, deadline_us=10**7),
    )
    balancer = Balancer(pr.Settings(classes=classes, proxies=40), seed=1)
    balancer.handle(0, pr.ListChanged(1, pr.ListScope.WHOLE, tuple(pr.ServerEntry(f"s{i}") for i in range(2))))
    return balancer


def route(balancer: Balancer, now_us: int, request_id: str, request_class: str) -> str:
    actions = balancer.handle(now_us, pr.RequestArrived(request_id, request_class, now_us + 10**7))
    (send,) = [action for action in actions if isinstance(action, pr.Send)]
    balancer.handle(now_us + 10, pr.AttemptEnded(request_id, 0, send.server, pr.AttemptOutcome.OK, 10, True))
    return send.server


def test_ejection_has_the_same_effect_as_one_local_fault() -> None:
    balancer = make_balancer()
    balancer.handle(1, pr.ServerUnhealthy("s0"))
    balancer.handle(1, pr.ServerUnhealthy("unknown"))
    ejection_us = balancer.servers["s0"].ejection_us
    assert 0.75 * BASE_EJECTION_US <= ejection_us <= 1.25 * BASE_EJECTION_US
    balancer.handle(2, pr.ServerUnhealthy("s0"))  # it is ejected already
    assert balancer.servers["s0"].ejection_us == ejection_us and balancer.servers["s0"].consecutive_faults == 1
    assert {route(balancer, 100 + i, f"r{i}", "read") for i in range(30)} == {"s1"}
    later = 2 * BASE_EJECTION_US
    # An ejected server is probed with retryable requests only.
    assert {route(balancer, later + i, f"o{i}", "order") for i in range(30)} == {"s1"}
    assert "s0" in {route(balancer, later + 100 + i, f"l{i}", "read") for i in range(30)}


def test_shared_reports_reduce_failures_of_non_retryable_requests() -> None:
    """Twelve nodes in one zone; a quarter of the servers fails all requests."""
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
