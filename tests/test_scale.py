"""Behaviour that emerges from many independent balancers, up to hundreds of proxies."""

from __future__ import annotations

from itertools import pairwise

from cypressbeam import balancing
from cypressbeam.balancing import balancer
from tests.driver import ANYWHERE, CELLED, MS, SAFE, UNSAFE, Driver, S, entry, settings


def make_fleet(proxies: int, servers: tuple[balancing.ServerEntry, ...], **changes: object) -> list[balancing.Balancer]:
    fleet = [
        balancing.Balancer(settings(proxies=proxies, own_name=index, **changes), index) for index in range(proxies)
    ]
    for proxy in fleet:
        proxy.handle(100 * S, balancing.ListChanged(1, balancing.ListScope.WHOLE, servers))
    return fleet


def test_pools_are_small_and_cover_all_servers_evenly() -> None:
    """If each of 200 proxies connects to every server, the connection tables of the servers fill up."""
    fleet = make_fleet(200, tuple(entry(f"s{i}") for i in range(40)))
    proxies_of = {f"s{i}": 0 for i in range(40)}
    for proxy in fleet:
        assert balancer.MIN_POOL_SIZE <= len(proxy.pool) <= 10
        for server in proxy.pool:
            proxies_of[server.entry.server] += 1
    expected = 200 * balancer.MIN_POOL_SIZE / 40  # here the minimum pool size applies
    assert max(proxies_of.values()) <= expected + 5
    assert min(proxies_of.values()) >= expected - 5


def test_each_of_forty_proxies_uses_a_part_of_sixty_servers() -> None:
    """A proxy that uses all 60 servers gets a response from each once in 2.5 s, too rarely to judge any of them."""
    rows = tuple(entry(f"{zone}{i}", zone) for zone in "abcd" for i in range(15))
    fleet = make_fleet(40, rows)
    for proxy in fleet:
        zones = [server.entry.zone for server in proxy.pool]
        assert zones.count("a") == 15 and len(zones) <= 24
    remote_servers = {server.entry.server for proxy in fleet for server in proxy.pool if server.entry.zone != "a"}
    assert len(remote_servers) == 45


def test_few_proxies_use_every_server() -> None:
    assert all(len(proxy.pool) == 40 for proxy in make_fleet(3, tuple(entry(f"s{i}") for i in range(40))))


def test_pool_prefers_the_own_zone_and_includes_others() -> None:
    rows = tuple(entry(f"{zone}{i}", zone) for zone in "ab" for i in range(20))
    for proxy in make_fleet(200, rows):
        zones = [server.entry.zone for server in proxy.pool]
        assert zones.count("a") > zones.count("b") > 0


def test_hundreds_of_proxies_together_stay_within_the_budget_of_a_cold_server() -> None:
    """One request from each proxy within the span was 3.7 times what a cold server could handle."""
    rows = tuple(entry(f"s{i}") for i in range(29))
    fleet = make_fleet(300, (*rows, entry("new", started_us=100 * S)))
    sent = arrivals = 0
    now_us = 100 * S
    for n in range(4000):  # two seconds of load near full capacity
        now_us += 500
        proxy = fleet[n * 7 % 300]
        for action in proxy.handle(now_us, balancing.RequestArrived(f"r{n}", "safe", now_us + S)):
            if isinstance(action, balancing.Send):
                arrivals += 1
                sent += action.server == "new"
    budget = 3.0 * 0.2 * arrivals / 30  # overload multiple x cold share x a warm server's share
    assert arrivals > 3500 and 0 < sent <= budget


def serve_all(fleet: list[balancing.Balancer], count: int) -> dict[str, int]:
    """Serve a number of requests, all answered promptly, and count them by server."""
    sent: dict[str, int] = {}
    now_us = 101 * S
    for n in range(count):
        now_us += MS
        proxy, name = fleet[n % len(fleet)], f"r{n}"
        for action in proxy.handle(now_us, balancing.RequestArrived(name, "safe", now_us + S)):
            if isinstance(action, balancing.Send):
                sent[action.server] = sent.get(action.server, 0) + 1
                report = balancing.Report(0.0, 10.0 * MS)
                ended = balancing.AttemptEnded(name, 0, action.server, balancing.AttemptOutcome.OK, 100, True, report)
                proxy.handle(now_us + 100, ended)
    return sent


def test_cold_servers_take_their_share_while_most_servers_are_cold() -> None:
    """With 36 of 60 servers cold, these got only 2% of all requests while the warm ones were overloaded."""
    warm = tuple(entry(f"w{i}") for i in range(24))
    fleet = make_fleet(40, (*warm, *(entry(f"c{i}", started_us=100 * S) for i in range(36))))
    sent = serve_all(fleet, 4000)
    capacity = 24 + 36 * 0.2  # they start at a fifth and reach full capacity in ten seconds
    cold = [sent.get(f"c{i}", 0) for i in range(36)]
    assert 0.7 * 36 * 0.2 / capacity < sum(cold) / 4000 < 2.0 * 36 * 0.2 / capacity
    assert max(cold) < 3.0 * 4000 / capacity * 0.45  # none near overload, at three times its capacity by then


def remote_share(proxy: balancing.Balancer, count: int, local_latency_us: int) -> float:
    """The share of requests that went to zone b, where responses are prompt, instead of the local zone a."""
    remote_count = 0
    for n in range(count):
        name, sent_us = f"r{proxy.now_us}", proxy.now_us + 40 * MS
        for action in proxy.handle(sent_us, balancing.RequestArrived(name, "safe", sent_us + S)):
            if isinstance(action, balancing.Send):
                remote = action.server.startswith("b")
                remote_count += remote
                latency_us = 10 * MS if remote else local_latency_us
                ended = balancing.AttemptEnded(name, 0, action.server, balancing.AttemptOutcome.OK, latency_us, True)
                proxy.handle(sent_us + 10 * MS, ended)
        if n % 5 == 0:
            proxy.refresh_all()
    return remote_count / count


def test_more_requests_leave_their_zone_while_local_responses_are_late() -> None:
    """A fixed price kept 30 requests per second on each of 12 servers of one zone, and 5 on those of another."""
    rows = tuple(entry(f"{zone}{i}", zone) for zone in "ab" for i in range(30))
    proxy = make_fleet(40, rows, prices=balancing.Prices(cross_zone=0.08))[0]
    prompt = remote_share(proxy, 300, 10 * MS)
    late = remote_share(proxy, 300, 600 * MS)
    remote_share(proxy, 1500, 10 * MS)
    after = remote_share(proxy, 300, 10 * MS)
    assert prompt < 0.1 and late > 0.25 and after < 0.1


def test_server_with_a_longer_service_time_is_sampled_less() -> None:
    proxy = make_fleet(40, tuple(entry(f"s{i}") for i in range(20)))[0]
    for name, server in proxy.servers.items():
        server.apply_report(balancing.Report(0.0, (40.0 if name == "s0" else 10.0) * MS))
    proxy.refresh_all()
    capacity_ratio = proxy.estimated_capacity(proxy.servers["s0"]) / proxy.estimated_capacity(proxy.servers["s1"])
    assert abs(capacity_ratio - 0.25) < 0.01


def failures_seen(d: Driver, seconds: int, request_class: balancing.RequestClass, faulty_server: str) -> list[int]:
    """When requests reached a server that answers everything with errors; the others are prompt."""
    failure_times_us = []
    for _ in range(seconds * 20):
        name = d.arrive(request_class)
        while name in d.unanswered and d.attempts[name]:
            d.advance(20 * MS)
            if d.attempts[name][-1][2] is None:
                failed = d.attempts[name][-1][0] == faulty_server
                failure_times_us += [d.now_us] if failed else []
                d.end_attempt(name, balancing.AttemptOutcome.ERROR if failed else balancing.AttemptOutcome.OK)
        d.advance(30 * MS)
    return failure_times_us


def test_with_many_proxies_one_fault_ejects_and_trials_become_rarer() -> None:
    """A server with fast errors must not receive requests from each of 40 proxies again and again."""
    d = Driver(settings(proxies=40))
    d.update_list(*(entry(f"s{i}") for i in range(20)))
    failure_times_us = failures_seen(d, 60, SAFE, d.balancer.pool[0].entry.server)
    assert 3 <= len(failure_times_us) <= 7
    gaps = [after - before for before, after in pairwise(failure_times_us)]
    assert gaps[0] >= 1.5 * S and gaps[2] >= 6 * S


def test_unsafe_requests_are_never_trials() -> None:
    d = Driver(settings(proxies=40))
    d.update_list(*(entry(f"s{i}") for i in range(20)))
    assert len(failures_seen(d, 60, UNSAFE, d.balancer.pool[0].entry.server)) == 1


def test_throttle_closes_on_late_responses_and_opens_on_prompt_ones() -> None:
    """With one or two attempts in flight per proxy, none sees queues grow until all responses are late."""
    d = Driver(settings(proxies=200))
    few_proxies = Driver(settings(proxies=3))
    d.update_list(*(entry(f"s{i}") for i in range(10)), scope=balancing.ListScope.SAVED)
    for _ in range(60):
        name = d.arrive(UNSAFE)
        d.advance(600 * MS)
        if name in d.unanswered:
            d.end_attempt(name, balancing.AttemptOutcome.OK)
    assert d.balancer.throttle.shed_share() > 0.3
    few_proxies.update_list(*(entry(f"s{i}") for i in range(10)), scope=balancing.ListScope.SAVED)
    few_proxies.balancer.throttle.admission = 0.1
    # With few proxies the throttle isn't used, since they see queues in their own attempts.
    assert all(few_proxies.sends(few_proxies.arrive()) for _ in range(20))
    for _ in range(400):
        name = d.arrive(SAFE)
        d.advance(50 * MS)
        if name in d.unanswered:
            d.end_attempt(name, balancing.AttemptOutcome.OK)
    assert d.balancer.throttle.shed_share() == 0.0


def test_throttle_ignores_a_single_late_response() -> None:
    throttle = balancer.AdaptiveThrottle()
    for n, good in enumerate((True, True, False)):
        throttle.record(good, n * 100 * MS)
    assert throttle.shed_share() == 0.0
    for n in range(10):
        throttle.record(False, S + n * 100 * MS)
    assert throttle.shed_share() > 0.4


def test_throttle_refuses_classes_of_low_value_first() -> None:
    """With half of the servers cold, payments must not be refused as readily as map views."""
    classes = tuple(
        balancing.RequestClass(name, balancing.Repeat.SAFE, 500 * MS, S, value=value)
        for name, value in (("map", 1.0), ("profile", 5.0), ("payment", 10.0))
    )
    d = Driver(settings(proxies=200, classes=classes, value_is_per_work=True))
    d.update_list(*(entry(f"s{i}") for i in range(10)), scope=balancing.ListScope.SAVED)

    def play(rounds: int) -> dict[str, int]:
        sent = dict.fromkeys((request_class.name for request_class in classes), 0)
        for _ in range(rounds):
            for request_class in classes:
                name = d.arrive(request_class, hint_us=50 * MS)
                d.advance(5 * MS)
                if d.sends(name):
                    sent[request_class.name] += 1
                    d.end_attempt(name, balancing.AttemptOutcome.OK)
        return sent

    assert set(play(100).values()) == {100}
    d.balancer.throttle.admission = 0.5
    d.balancer.throttle.recent_count = 1e9  # keeps the admission level nearly constant
    sent = play(400)
    assert sent["payment"] > 350 and 100 < sent["profile"] < 260 and sent["map"] < 80
    assert 500 < sum(sent.values()) < 700  # half of the offered work, by the admission level


def test_capacity_unused_by_one_class_goes_to_the_others() -> None:
    demand = balancer.ClassDemand(["cheap", "dear"])
    value_per_work = {"cheap": 0.1, "dear": 1.0}
    for n in range(100):
        demand.record("cheap" if n % 4 else "dear", 1.0, 1000 * n)
    assert (
        demand.admitted_share("dear", 1.0, value_per_work) == demand.admitted_share("cheap", 1.0, value_per_work) == 1.0
    )
    for share in (0.1, 0.25, 0.5, 0.9):
        passed = {
            name: demand.admitted_share(name, share, value_per_work) * offered
            for name, offered in demand.offered_work.items()
        }
        assert abs(sum(passed.values()) - share * sum(demand.offered_work.values())) < 1e-6
        assert passed["dear"] / demand.offered_work["dear"] >= passed["cheap"] / demand.offered_work["cheap"]


def test_throttle_opens_soon_after_a_burst() -> None:
    """A throttle that counts its own refusals as late responses stays closed even at half the load."""
    throttle = balancer.AdaptiveThrottle()
    for n in range(40):
        throttle.record(False, n * 25 * MS)
    now_us = S
    while throttle.shed_share() > 0.0:
        now_us += int(150 * MS / (1.0 - throttle.shed_share()))  # 7 arrivals per second, less the refused ones
        throttle.record(True, now_us)
    assert now_us < 60 * S


def test_new_weights_do_not_rebuild_the_pool() -> None:
    """With live weights, a pool rebuild for each list of 144 servers cost more CPU than all requests."""
    d = Driver(settings(proxies=200, weights=balancing.WeightMeaning.LIVE))
    d.update_list(*(entry(f"s{i}") for i in range(40)), scope=balancing.ListScope.SAVED)
    pool = d.balancer.pool
    d.update_list(*(entry(f"s{i}", weight=0.5) for i in range(40)), scope=balancing.ListScope.CHANGES)
    assert d.balancer.pool is pool and pool[0].entry.weight == 0.5
    d.update_list(entry(pool[0].entry.server, state=balancing.ServerState.DRAINING), scope=balancing.ListScope.CHANGES)
    assert d.balancer.pool is not pool


def test_requests_over_a_tenants_share_are_shed_first() -> None:
    """One tenant at 4 times its traffic must not degrade the service of all tenants."""
    d = Driver(settings(proxies=100, tenants={"loud": 100.0, "calm": 100.0}))
    d.update_list(*(entry(f"s{i}") for i in range(10)), scope=balancing.ListScope.SAVED)
    refused = {"loud": 0, "calm": 0}
    for n in range(80):
        d.balancer.throttle.admission = 1.1
        tenant = "calm" if n % 8 == 0 else "loud"
        name = f"t{n}"
        actions = d.balancer.handle(d.now_us, balancing.RequestArrived(name, "safe", d.now_us + S, tenant))
        refused[tenant] += balancing.Refuse(name) in actions
        d.now_us += 200 * MS
        for send in [a for a in actions if isinstance(a, balancing.Send)]:
            d.balancer.handle(
                d.now_us, balancing.AttemptEnded(name, 0, send.server, balancing.AttemptOutcome.OK, 200 * MS, True)
            )
    assert refused["loud"] > 30 and refused["calm"] == 0


def test_other_zones_make_up_for_a_small_zone_unless_keys_are_warm() -> None:
    """Proxies with a pool size of 11 used only 9 of 12 servers, because their zone was small."""
    rows = tuple(entry(f"{zone}{i}", zone) for zone in "ab" for i in range(6))
    assert all(len(proxy.pool) == 11 for proxy in make_fleet(16, rows))
    assert all(len(proxy.pool) == 9 for proxy in make_fleet(16, rows, warm_keys=True))


def test_client_that_left_early_counts_neither_as_on_time_nor_as_late() -> None:
    """The cancelled attempt of a client that left before the latency target must not count as on time."""
    d = Driver(settings(proxies=200))
    d.update_list(*(entry(f"s{i}") for i in range(10)), scope=balancing.ListScope.SAVED)
    d.balancer.throttle.admission = 1.0
    name = d.arrive()
    d.advance(50 * MS)
    d.disconnect(name)
    d.end_attempt(name, balancing.AttemptOutcome.CANCELLED)
    assert d.balancer.throttle.admission == 1.0
    name = d.arrive()
    d.advance(SAFE.latency_target_us + MS)
    d.disconnect(name)
    d.end_attempt(name, balancing.AttemptOutcome.CANCELLED)
    assert d.balancer.throttle.admission < 1.0


def test_tenant_over_its_share_keeps_its_share() -> None:
    """A tenant above its rate must not be refused the requests that are within its share."""
    d = Driver(settings(proxies=100, tenants={"loud": 100.0}))
    d.update_list(*(entry(f"s{i}") for i in range(10)), scope=balancing.ListScope.SAVED)
    served = 0
    for n in range(400):  # four per second; the share of this proxy is one
        d.balancer.throttle.admission = 1.1
        d.now_us += 250 * MS
        for action in d.balancer.handle(d.now_us, balancing.RequestArrived(f"t{n}", "safe", d.now_us + S, "loud")):
            if isinstance(action, balancing.Send):
                served += 1
                ended = balancing.AttemptEnded(f"t{n}", 0, action.server, balancing.AttemptOutcome.OK, 100 * MS, True)
                d.balancer.handle(d.now_us, ended)
    assert 100 <= served <= 110


def test_keyed_retry_leaves_the_pool_only_for_its_group() -> None:
    """Servers outside the pool once had a rank of 0, which drew every keyed retry to an unknown server."""
    for request_class, inside in ((ANYWHERE, True), (CELLED, False)):
        d = Driver(settings(proxies=200))
        d.update_list(*(entry(f"s{i}") for i in range(40)), scope=balancing.ListScope.SAVED)
        pool = {server.entry.server for server in d.balancer.pool}
        single = next(iter(pool))
        d.update_list(*(entry(f"s{i}", cell=int(f"s{i}" in pool - {single})) for i in range(40)))
        for _ in range(30):
            name = d.arrive(request_class)
            first_server = d.sends(name)[0]
            d.end_attempt(name, balancing.AttemptOutcome.ERROR)
            d.advance(balancer.BACKOFF_BASE_US)
            retried = d.sends(name)[1:]
            if inside or first_server != single:
                assert set(retried) <= pool
            if name in d.unanswered:
                d.end_attempt(name, balancing.AttemptOutcome.OK)
            d.balancer.budget.tokens = d.balancer.budget.capacity
            for server in d.balancer.servers.values():
                server.success = 1.0


def test_fleet_health_is_measured_over_the_pool() -> None:
    """If servers that are never used count as healthy, retries never stop in a large fleet."""
    d = Driver(settings(proxies=200))
    d.update_list(*(entry(f"s{i}") for i in range(60)), scope=balancing.ListScope.SAVED)
    for server in d.balancer.pool:
        server.success = balancer.MIN_FLEET_SUCCESS - 0.05
    name = d.arrive()
    d.end_attempt(name, balancing.AttemptOutcome.ERROR)
    assert d.answers(name) == [balancing.Refuse]


def overloaded_zone(remote_is_late: bool) -> Driver:
    """A proxy whose own zone answers late, with servers in another zone."""
    d = Driver(settings(proxies=200))
    d.update_list(*(entry(f"{zone}{i}", zone) for zone in "ab" for i in range(10)), scope=balancing.ListScope.SAVED)
    zones = {server.entry.server: server.entry.zone for server in d.balancer.pool}
    for _ in range(120):
        name = d.arrive(UNSAFE)
        sent = d.sends(name)
        local = bool(sent) and zones[sent[0]] == "a"
        d.advance(600 * MS if local or remote_is_late else 20 * MS)
        if name in d.unanswered:
            d.end_attempt(name, balancing.AttemptOutcome.OK)
    d.balancer.throttle.admission = 0.1
    return d


def test_throttled_requests_go_to_another_zone_that_is_on_time() -> None:
    """When a zone lost one of its two servers, its proxies refused most requests although others had capacity."""
    d = overloaded_zone(remote_is_late=False)
    sent = []
    for _ in range(40):
        name = d.arrive(UNSAFE)
        sent += d.sends(name)
        d.advance(20 * MS)
        if name in d.unanswered:
            d.end_attempt(name, balancing.AttemptOutcome.OK)
    assert len(sent) == 40 and sum(server.startswith("b") for server in sent) > 25
    assert d.balancer.throttle.shed_share() > 0.5  # responses of other zones don't open the throttle


def test_throttled_requests_are_refused_if_other_zones_are_late_too() -> None:
    d = overloaded_zone(remote_is_late=True)
    refused = 0
    for _ in range(40):
        name = d.arrive(UNSAFE)
        refused += not d.sends(name)
        d.advance(600 * MS)
        if name in d.unanswered:
            d.end_attempt(name, balancing.AttemptOutcome.OK)
    assert refused > 20
