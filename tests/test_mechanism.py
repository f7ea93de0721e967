"""The parts of the balancer one by one, with expected values computed by hand."""

from __future__ import annotations

import math
import random

import pytest

from cypressbeam import balancing
from cypressbeam.balancing import balancer
from tests.driver import ANYWHERE, MS, SAFE, UNSAFE, Driver, S, entry, settings

DEFAULTS = settings()
RETRY_BURST, RETRY_SHARE = DEFAULTS.retry_burst, DEFAULTS.retry_share


def driver(*names: str, **changes: object) -> Driver:
    d = Driver(settings(**changes))
    d.update_list(*(entry(name) for name in names), scope=balancing.ListScope.SAVED)
    return d


def test_percentile_is_the_upper_edge_of_its_bucket() -> None:
    percentiles = balancer.LatencyPercentile()
    for _ in range(990):
        percentiles.add(10_000)
    for _ in range(10):
        percentiles.add(1_000_000)
    step = 2 ** (1 / 8)
    assert 10_000 < percentiles.exceeding(0.5) <= 10_000 * step
    assert 10_000 < percentiles.exceeding(0.011) <= 10_000 * step
    assert 1_000_000 < percentiles.exceeding(0.009) <= 1_000_000 * step


def test_percentile_samples_decay() -> None:
    percentiles = balancer.LatencyPercentile()
    for _ in range(balancer.LatencyPercentile.HALVE_AT):
        percentiles.add(1_000_000)
    for _ in range(3 * balancer.LatencyPercentile.HALVE_AT):
        percentiles.add(1_000)
    assert percentiles.exceeding(0.05) < 2_000 and percentiles.total <= balancer.LatencyPercentile.HALVE_AT


def serve(d: Driver, rounds: int, latency_us: int) -> None:
    for _ in range(rounds):
        name = d.arrive()
        d.advance(latency_us)
        d.end_attempt(name, balancing.AttemptOutcome.OK)


def test_timeout_is_padded_if_the_percentile_is_near_the_median() -> None:
    d = driver("s0", "s1")
    serve(d, balancer.MIN_SAMPLES + 60, 10 * MS)
    name = d.arrive()
    send = next(a for _, a in reversed(d.action_log) if isinstance(a, balancing.Send) and a.request == name)
    assert 2 * 10 * MS <= send.timeout_us <= 2 * 10 * MS * 2 ** (1 / 8) + 1


def test_no_timeout_without_enough_samples() -> None:
    d = driver("s0", "s1")
    serve(d, 20, 10 * MS)
    name = d.arrive()
    assert [a.timeout_us for _, a in d.action_log if isinstance(a, balancing.Send) and a.request == name] == [0]


def test_tail_estimate_is_wide_for_few_samples_and_narrows() -> None:
    rng = random.Random(3)
    truth_us = 200_000 * math.exp(0.6 * balancer.TAIL_Z_SCORE)
    mean_tails: list[float] = []
    for count in (balancer.MIN_LOGNORMAL_SAMPLES, 80, balancer.MIN_SAMPLES - 1):
        tails = []
        for _ in range(40):
            seen = balancer.LatencyPercentile()
            for _ in range(count):
                seen.add(rng.lognormvariate(math.log(200_000), 0.6))
            tails.append(seen.tail_us(allow_estimate=True))
            assert seen.tail_us(allow_estimate=False) == 0.0
        assert sum(tail > 0.9 * truth_us for tail in tails) >= 38  # rarely cuts off a response that is merely slow
        mean_tails.append(sum(tails) / len(tails))
    assert 6 * truth_us > mean_tails[0] > mean_tails[1] > mean_tails[2] > truth_us


def test_with_many_proxies_few_samples_are_enough_for_a_timeout() -> None:
    """Without a timeout, requests at an unresponsive server are held until the client's deadline.

    With many proxies, none of them collects enough samples for a measured percentile.
    """
    d = Driver(settings(proxies=60))
    d.update_list(*(entry(f"s{i}") for i in range(60)))
    serve(d, balancer.MIN_LOGNORMAL_SAMPLES + 10, 10 * MS)
    d.advance(2 * balancer.HOUSEKEEPING_US)
    name = d.arrive()
    (sent,) = d.sends(name)
    d.advance(500 * MS)
    assert len(d.sends(name)) > 1 and sent not in d.sends(name)[1:]  # no server answers in this test


def test_no_timeout_for_requests_that_cannot_be_retried() -> None:
    d = driver("s0", "s1")
    serve(d, balancer.MIN_SAMPLES + 60, 10 * MS)
    names = {d.arrive(UNSAFE), d.arrive(is_client_retry=True)}
    assert [a.timeout_us for _, a in d.action_log if isinstance(a, balancing.Send) and a.request in names] == [0, 0]


def test_retry_budget_refills_and_is_bounded() -> None:
    budget = balancer.TokenBudget(RETRY_BURST)
    assert sum(budget.spend(S) for _ in range(50)) == RETRY_BURST
    for _ in range(math.ceil(2 / RETRY_SHARE) + 1):
        budget.earn(RETRY_SHARE)
    assert [budget.spend(S) for _ in range(3)] == [True, True, False]


def test_retry_backs_off_and_uses_another_server() -> None:
    d = driver("s0", "s1", "s2")
    name = d.arrive()
    d.end_attempt(name, balancing.AttemptOutcome.ERROR)
    assert len(d.sends(name)) == 1
    d.advance(balancer.BACKOFF_BASE_US)
    first, second = d.sends(name)
    assert first != second


def test_backoff_is_fully_jittered_and_capped() -> None:
    delays_us = []
    for seed in range(60):
        d = Driver(settings(), seed=seed)
        d.update_list(entry("s0"), entry("s1"), scope=balancing.ListScope.SAVED)
        name = d.arrive()
        actions = d.end_attempt(name, balancing.AttemptOutcome.ERROR)
        delays_us += [a.delay_us for a in actions if isinstance(a, balancing.SetTimer)]
    assert len(delays_us) == 60 and max(delays_us) <= balancer.BACKOFF_BASE_US
    assert min(delays_us) < balancer.BACKOFF_BASE_US * 0.2 and max(delays_us) > balancer.BACKOFF_BASE_US * 0.8


def test_no_retry_beyond_the_client_deadline() -> None:
    for seed in range(20):
        d = Driver(settings(), seed=seed)
        d.update_list(entry("s0"), entry("s1"), scope=balancing.ListScope.SAVED)
        name = d.arrive(time_left_us=1)
        d.end_attempt(name, balancing.AttemptOutcome.ERROR)
        assert len(d.sends(name)) == 1 and d.answers(name) == [balancing.Refuse]


def test_retries_are_limited_per_request() -> None:
    d = driver("s0", "s1", "s2", "s3", "s4", max_attempts=9)
    name = d.arrive()
    for _ in range(5):
        if name in d.unanswered:
            d.end_attempt(name, balancing.AttemptOutcome.ERROR)
            d.advance(balancer.BACKOFF_CAP_US)
    assert len(d.sends(name)) == 1 + balancer.RETRIES_EACH and d.answers(name) == [balancing.Refuse]


def test_client_retry_is_sent_once() -> None:
    d = driver("s0", "s1")
    name = d.arrive(is_client_retry=True)
    d.end_attempt(name, balancing.AttemptOutcome.ERROR)
    d.advance(balancer.BACKOFF_CAP_US)
    assert len(d.sends(name)) == 1 and d.answers(name) == [balancing.Refuse]


def test_no_retries_while_servers_are_unhealthy() -> None:
    d = driver("s0", "s1")
    for server in d.balancer.servers.values():
        server.success = balancer.MIN_FLEET_SUCCESS - 0.05
    name = d.arrive()
    actions = d.end_attempt(name, balancing.AttemptOutcome.ERROR)
    assert d.answers(name) == [balancing.Refuse]
    assert any(isinstance(a, balancing.Log) and a.text.startswith("retries off") for a in actions)


def test_c3_rank() -> None:
    """R - 1/mu + q^3/mu with q = 1 + in flight x proxies + queue; zone and weight have no influence here."""
    d = driver("s0", proxies=3)
    server = d.balancer.servers["s0"]
    server.latency_us, server.service_us, server.queue = 50_000.0, 20_000.0, 2.0
    server.in_flight[("x", 0)] = d.now_us
    d.balancer.refresh_server(server)
    assert server.rank == pytest.approx(50_000 - 20_000 + (1 + 1 * 3 + 2) ** 3 * 20_000)


def test_servers_without_responses_assume_the_fleet_mean() -> None:
    d = driver("s0", "s1", "s2")
    for name, latency, service in (("s0", 30_000.0, 10_000.0), ("s1", 50_000.0, 30_000.0)):
        d.balancer.servers[name].latency_us = latency
        d.balancer.servers[name].service_us = service
    d.balancer.refresh_all()
    assert d.balancer.servers["s2"].rank == pytest.approx(40_000 - 20_000 + 20_000)


def test_affinity_agrees_between_proxies_and_survives_removal_of_other_servers() -> None:
    config = settings(warm_keys=True)
    first, second = balancing.Balancer(config, 1), balancing.Balancer(settings(warm_keys=True, own_name=2), 99)
    rows = tuple(entry(f"s{i}") for i in range(6))
    for proxy in (first, second):
        proxy.handle(1, balancing.ListChanged(1, balancing.ListScope.WHOLE, rows))
    preferred = {key: first.affinity_server(key) for key in map(str, range(200))}
    assert preferred == {key: second.affinity_server(key) for key in preferred} and len(set(preferred.values())) == 6
    first.handle(2, balancing.ListChanged(2, balancing.ListScope.WHOLE, rows[1:]))
    assert all(
        first.affinity_server(key) == preferred_server
        for key, preferred_server in preferred.items()
        if preferred_server != "s0"
    )


def test_server_that_has_served_a_key_is_preferred() -> None:
    d = driver("s0", "s1", "s2", warm_keys=True)
    name = d.arrive(key="k")
    preferred_server = d.sends(name)[0]
    d.advance(10 * MS)
    d.end_attempt(name, balancing.AttemptOutcome.OK)
    assert {d.sends(d.arrive(SAFE, key="k"))[0] for _ in range(1)} == {preferred_server}


def test_overload_is_refused_at_once_and_logged() -> None:
    d = driver("s0")
    for server in d.balancer.servers.values():
        server.response_interval_us = 400.0 * MS
    d.arrive(ANYWHERE)
    d.arrive(ANYWHERE)
    name = d.arrive(ANYWHERE)
    assert d.sends(name) == [] and d.answers(name) == [balancing.Refuse]
    assert any(isinstance(a, balancing.Log) and a.text.startswith("refusing") for _, a in d.action_log)


@pytest.mark.parametrize(("allowed", "max_us"), [(True, 60 * S), (True, 90 * MS), (False, 60 * S)])
def test_retry_after_is_the_expected_wait_for_capacity(allowed: bool, max_us: int) -> None:
    d = driver("s0", retry_advice=allowed, max_advice_us=max_us)
    for server in d.balancer.servers.values():
        server.response_interval_us = 400.0 * MS
    for _ in range(3):
        name = d.arrive(ANYWHERE)
    (refusal,) = d.final_answers[name]
    assert isinstance(refusal, balancing.Refuse)
    server = d.balancer.servers["s0"]
    over_us = d.balancer.expected_delay_us(server) - ANYWHERE.latency_target_us / d.balancer.latency_spread
    assert over_us > 90 * MS
    if not allowed:
        assert refusal.retry_after_us == 0
    elif max_us < over_us:
        assert refusal.retry_after_us == max_us
    else:
        assert over_us <= refusal.retry_after_us <= 2 * over_us


def test_failing_server_is_unhealthy_until_a_trial() -> None:
    """Failed connects count as failures. A server with a success rate below one half waits for its trial."""
    d = driver("s0", "s1")
    server = d.balancer.servers["s0"]
    failures = 0
    while not server.is_unhealthy:
        assert failures < 10
        name = d.arrive()
        outcome = balancing.AttemptOutcome.CONNECT_FAILED if d.sends(name)[0] == "s0" else balancing.AttemptOutcome.OK
        failures += outcome is balancing.AttemptOutcome.CONNECT_FAILED
        d.advance(5 * MS)
        d.end_attempt(name, outcome)
    assert failures == 4  # 0.8 ** 4 is the first power below one half
    for _ in range(5):
        name = d.arrive()
        assert d.sends(name)[0] == "s1"
        d.advance(5 * MS)
        d.end_attempt(name, balancing.AttemptOutcome.OK)
    d.advance(2 * balancer.BASE_EJECTION_US)
    assert d.balancer.trial_due(server)


def ejected_after_faults(faulty_servers: int, servers: int) -> list[bool]:
    """Which servers are unhealthy after some of them have answered twice and failed once, shared by many proxies."""
    d = driver(*(f"s{number}" for number in range(servers)), proxies=40)
    for number in range(faulty_servers):
        server = d.balancer.servers[f"s{number}"]
        for outcome in (balancing.AttemptOutcome.OK, balancing.AttemptOutcome.OK, balancing.AttemptOutcome.RESET):
            d.balancer.record_attempt(
                d.balancer.requests[d.arrive(SAFE)],
                server,
                balancing.AttemptEnded("r", 0, server.entry.server, outcome, 10 * MS, False, None),
            )
    d.balancer.refresh_all()
    return [server.is_unhealthy for server in d.balancer.servers.values()]


def test_one_fault_ejects_a_server_unless_most_servers_fail() -> None:
    assert ejected_after_faults(1, 4) == [True, False, False, False]
    assert ejected_after_faults(2, 4) == [True, True, False, False]
    assert ejected_after_faults(3, 4) == [False] * 4


def test_servers_that_always_fail_are_ejected_even_if_most_servers_fail() -> None:
    d = driver("s0", "s1", "s2", proxies=40)
    for name, outcomes in (("s0", "x" * 5), ("s1", "ooox" * 4), ("s2", "ooox" * 4)):
        for outcome in outcomes:
            d.balancer.record_attempt(
                d.balancer.requests[d.arrive(SAFE)],
                d.balancer.servers[name],
                balancing.AttemptEnded(
                    "r",
                    0,
                    name,
                    balancing.AttemptOutcome.OK if outcome == "o" else balancing.AttemptOutcome.RESET,
                    10 * MS,
                    False,
                    None,
                ),
            )
    d.balancer.refresh_all()
    assert [server.is_unhealthy for server in d.balancer.servers.values()] == [True, False, False]


def test_unresponsive_server_is_avoided() -> None:
    """The longer attempts are without a response, the longer the expected delay."""
    d = driver("s0", "s1")
    serve(d, 60, 10 * MS)
    server = d.balancer.servers["s0"]
    server.update_waited(d.now_us, math.inf)
    server.in_flight[("x", 0)] = d.now_us
    d.advance(1 * S)
    assert d.balancer.expected_delay_us(server) >= 0.8 * S / balancer.INTERVAL_SLACK
    for _ in range(20):
        name = d.arrive()
        assert d.sends(name) == ["s1"]
        d.advance(10 * MS)
        d.end_attempt(name, balancing.AttemptOutcome.OK)


def test_lost_attempt_is_not_queued_once_a_later_one_was_answered() -> None:
    """A request that never got a response must not block a server that answers all others."""
    d = driver("s0")
    serve(d, 60, 10 * MS)
    server = d.balancer.servers["s0"]
    lost = d.arrive()
    assert d.sends(lost) == ["s0"]
    d.advance(int(2 * d.balancer.lost_after_us))
    assert server.outstanding(d.now_us, d.balancer.lost_after_us)[0] == 1 and d.balancer.expected_delay_us(server) > 0
    later = d.arrive()
    assert d.sends(later) == ["s0"]
    d.advance(5 * MS)
    d.end_attempt(later, balancing.AttemptOutcome.OK)
    assert (
        server.outstanding(d.now_us, d.balancer.lost_after_us)[0] == 0 and d.balancer.expected_delay_us(server) == 0.0
    )
    assert len(server.in_flight) == 1  # it is still in flight


def test_reported_service_time_of_zero_is_ignored() -> None:
    """Taken as a service time, a reported 0 would rank a new server first whatever its load."""
    d = driver("s0", "s1")
    server = d.balancer.servers["s0"]
    server.apply_report(balancing.Report(queue=0.0, service_us=0.0))
    assert server.service_us is None
    server.apply_report(balancing.Report(queue=0.0, service_us=9000.0))
    assert server.service_us == 9000.0


def test_stale_keys_and_removed_servers_are_discarded() -> None:
    d = driver("s0", "s1", warm_keys=True)
    for number in range(50):
        name = d.arrive(key=f"k{number}")
        d.advance(5 * MS)
        d.end_attempt(name, balancing.AttemptOutcome.OK)
    assert len(d.balancer.key_servers) == len(d.balancer.affinity) == 50
    open_request = d.arrive(key="last")
    gone = d.sends(open_request)[0]
    d.feed(balancing.ListChanged(9, balancing.ListScope.CHANGES, (entry(gone, state=balancing.ServerState.GONE),)))
    d.advance(balancer.HOUSEKEEPING_US + MS)
    assert gone in d.balancer.servers  # it still has an attempt in flight
    d.end_attempt(open_request, balancing.AttemptOutcome.OK)
    for _ in range(3):
        d.advance(balancer.KEY_RETENTION_US)
    assert not (
        d.balancer.key_servers or d.balancer.previous_key_servers or d.balancer.affinity or d.balancer.previous_affinity
    )
    assert gone not in d.balancer.servers and len(d.balancer.servers) == 1


def test_housekeeping_phase_is_constant_and_differs_between_proxies() -> None:
    def first_timer(index: int, seed: int) -> int:
        actions = balancing.Balancer(settings(own_name=index), seed).handle(5, balancing.TimerFired(9))
        return next(a.delay_us for a in actions if isinstance(a, balancing.SetTimer))

    assert first_timer(1, 7) == first_timer(1, 8)
    assert len({first_timer(index, 7) for index in range(3)}) == 3


def test_class_without_responses_does_not_lower_the_limits_of_others() -> None:
    d = driver("s0", "s1")
    serve(d, 60, 10 * MS)
    assert set(d.balancer.limit_factors.values()) == {1.0}


def test_slow_reported_service_time_means_saturation() -> None:
    d = driver("s0")
    server = d.balancer.servers["s0"]
    server.baseline_service_us, server.service_us = 100.0, 100.0 * balancer.SLOW_SERVICE_RATIO - 1
    assert not d.balancer.is_saturated(server)
    server.service_us = 100.0 * balancer.SLOW_SERVICE_RATIO + 1
    assert d.balancer.is_saturated(server)


def test_new_server_assumes_the_fleet_interval_over_its_slow_start_factor() -> None:
    """Without an assumed interval, new servers are sent requests without limit until their first response."""
    d = driver("s0")
    d.update_list(entry("new", started_us=d.now_us), scope=balancing.ListScope.CHANGES)
    d.balancer.servers["s0"].response_interval_us = 30.0 * MS
    d.balancer.refresh_all()
    new = d.balancer.servers["new"]
    assert d.balancer.expected_delay_us(new) == 0.0
    new.in_flight[("x", 0)] = new.wait_updated_us = d.now_us
    assert d.balancer.expected_delay_us(new) == pytest.approx(30 * MS / 0.2)


def test_rare_but_prompt_responses_do_not_mean_saturation() -> None:
    """After a drop in load, servers with few requests in flight must not count as saturated."""
    d = driver("s0")
    server = d.balancer.servers["s0"]
    server.baseline_interval_us, server.response_interval_us = 10.0, 10.0 * balancer.SATURATION_RATIO + 1
    server.baseline_latency_us = server.latency_us = 100.0
    assert not d.balancer.is_saturated(server)
    server.latency_us = 100.0 * balancer.SATURATION_RATIO + 1
    assert d.balancer.is_saturated(server)


def test_server_without_the_key_has_a_lower_limit_under_overload() -> None:
    """If keys may go to any server with capacity, every server has more work for each request."""
    d = driver("s0", "s1", warm_keys=True)
    serve(d, 40, 10 * MS)
    for server in d.balancer.servers.values():
        server.in_flight[("x", 0)] = server.wait_updated_us = d.now_us
        server.waited_us = 0
    d.balancer.refresh_all()
    limit_us = SAFE.latency_target_us / d.balancer.latency_spread
    for server in d.balancer.servers.values():
        server.response_interval_us = server.baseline_interval_us = (
            limit_us * (balancer.UNKNOWN_KEY_LIMIT_FACTOR + 1.0) / 2
        )
    d.balancer.affinity["k"] = "nowhere"
    assert d.answers(d.arrive(key="k")) == [balancing.Refuse]
    d.balancer.affinity["l"] = "s0"
    assert d.sends(d.arrive(key="l")) == ["s0"]


def test_cross_zone_price_counts_as_load() -> None:
    """A factor on the rank is too weak: a single request of this proxy already counts with its cube."""
    d = Driver(settings(prices=balancing.Prices(cross_zone=0.04)))
    d.update_list(entry("near"), entry("far", zone="b"), scope=balancing.ListScope.SAVED)
    for server in d.balancer.servers.values():
        server.latency_us = server.service_us = 10_000.0
        d.balancer.refresh_server(server)
    near, far = d.balancer.servers["near"], d.balancer.servers["far"]
    assert near.rank == pytest.approx(10_000)
    assert far.rank == pytest.approx((1 + balancer.CROSS_ZONE_LOAD * 0.04) ** 3 * 10_000)


def test_baseline_latency_is_not_raised_by_congestion() -> None:
    """A baseline that follows congestion upwards would make congested servers look normal."""
    d = driver("s0")
    serve(d, 40, 10 * MS)
    server = d.balancer.servers["s0"]
    before = server.baseline_latency_us or 0.0
    serve(d, 20, 100 * MS)
    assert (server.latency_us or 0.0) > 5 * before
    assert (server.baseline_latency_us or 0.0) < 3 * before
    serve(d, 60, 10 * MS)
    assert (server.baseline_latency_us or 0.0) < 1.6 * before


def test_delay_limit_follows_the_latency_target_of_the_class() -> None:
    """By the latency target of the strictest class, a tenth of normal traffic was refused."""
    patient = balancing.RequestClass("patient", balancing.Repeat.SAFE, latency_target_us=2 * S, deadline_us=4 * S)
    d = Driver(settings(classes=(SAFE, patient)))
    d.update_list(entry("s0"), scope=balancing.ListScope.SAVED)
    d.balancer.servers["s0"].response_interval_us = 400.0 * MS
    assert d.sends(d.arrive(patient)) and d.sends(d.arrive(patient))
    assert not d.sends(d.arrive(SAFE))
    assert d.sends(d.arrive(patient))
