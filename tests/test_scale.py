"""What each of hundreds of proxies does by itself so that all together behave."""

from __future__ import annotations

from itertools import pairwise

from cypressbeam import balancing as pr
from cypressbeam.balancing import balancer
from tests.driver import ANYWHERE, CELLED, MS, SAFE, UNSAFE, Driver, S, entry, settings


def fleet(proxies: int, servers: tuple[pr.ServerEntry, ...], **changes: object) -> list[pr.Balancer]:
    many = [pr.Balancer(settings(proxies=proxies, own_name=me, **changes), me) for me in range(proxies)]
    for one in many:
        one.handle(100 * S, pr.ListChanged(1, pr.ListScope.WHOLE, servers))
    return many


def test_working_sets_are_small_and_cover_all_servers_evenly() -> None:
    """Seen on lahore big-2: 200 proxies, each connected to all servers, found half of the tables full."""
    many = fleet(200, tuple(entry(f"s{i}") for i in range(40)))
    users = {f"s{i}": 0 for i in range(40)}
    for one in many:
        assert balancer.MIN_POOL_SIZE <= len(one.pool) <= 10
        for server in one.pool:
            users[server.entry.server] += 1
    each = 200 * balancer.MIN_POOL_SIZE / 40  # the least set is the larger one here
    assert max(users.values()) <= each + 5
    assert min(users.values()) >= each - 5


def test_forty_proxies_use_a_part_of_sixty_servers_each_and_all_of_them_together() -> None:
    """Seen on join+vast: a proxy that used all 60 heard of each once in 2.5 s and knew none of them."""
    rows = tuple(entry(f"{zone}{i}", zone) for zone in "abcd" for i in range(15))
    many = fleet(40, rows)
    for one in many:
        zones = [server.entry.zone for server in one.pool]
        assert zones.count("a") == 15 and len(zones) <= 24
    away = {server.entry.server for one in many for server in one.pool if server.entry.zone != "a"}
    assert len(away) == 45


def test_few_proxies_use_every_server() -> None:
    assert all(len(one.pool) == 40 for one in fleet(3, tuple(entry(f"s{i}") for i in range(40))))


def test_working_set_prefers_the_own_zone_and_keeps_some_elsewhere() -> None:
    rows = tuple(entry(f"{zone}{i}", zone) for zone in "ab" for i in range(20))
    for one in fleet(200, rows):
        zones = [server.entry.zone for server in one.pool]
        assert zones.count("a") > zones.count("b") > 0


def test_hundreds_of_proxies_together_stay_within_a_cold_servers_budget() -> None:
    """Seen on jakarta big-1: one send a span from each proxy was 3.7 times what a cold server could do."""
    rows = tuple(entry(f"s{i}") for i in range(29))
    many = fleet(300, (*rows, entry("new", started_us=100 * S)))
    sent = arrivals = 0
    now_us = 100 * S
    for n in range(4000):  # the load of two seconds at about full capacity
        now_us += 500
        one = many[n * 7 % 300]
        for action in one.handle(now_us, pr.RequestArrived(f"r{n}", "safe", now_us + S)):
            if isinstance(action, pr.Send):
                arrivals += 1
                sent += action.server == "new"
    budget = 3.0 * 0.2 * arrivals / 30  # multiple x cold share x a warm server's part of all work
    assert arrivals > 3500 and 0 < sent <= budget


def spread(many: list[pr.Balancer], count: int) -> dict[str, int]:
    """How many of so many requests each server gets, all answered at once."""
    sent: dict[str, int] = {}
    now_us = 101 * S
    for n in range(count):
        now_us += MS
        one, name = many[n % len(many)], f"r{n}"
        for action in one.handle(now_us, pr.RequestArrived(name, "safe", now_us + S)):
            if isinstance(action, pr.Send):
                sent[action.server] = sent.get(action.server, 0) + 1
                report = pr.Report(0.0, 10.0 * MS)
                ended = pr.AttemptEnded(name, 0, action.server, pr.AttemptOutcome.OK, 100, True, report)
                one.handle(now_us + 100, ended)
    return sent


def test_cold_servers_carry_their_part_while_most_are_cold() -> None:
    """Seen on join+vast: 36 of 60 servers were cold and got 2% of all requests; the warm ones jammed."""
    warm = tuple(entry(f"w{i}") for i in range(24))
    many = fleet(40, (*warm, *(entry(f"c{i}", started_us=100 * S) for i in range(36))))
    sent = spread(many, 4000)
    capacity = 24 + 36 * 0.2  # they start at a fifth, and warm up in ten seconds
    cold = [sent.get(f"c{i}", 0) for i in range(36)]
    assert 0.7 * 36 * 0.2 / capacity < sum(cold) / 4000 < 2.0 * 36 * 0.2 / capacity
    assert max(cold) < 3.0 * 4000 / capacity * 0.45  # none near the fall, at three times its warmth of then


def crossed(one: pr.Balancer, count: int, near_us: int) -> float:
    """The share of so many requests that went to zone b, where answers are prompt, and not to zone a."""
    away = 0
    for n in range(count):
        name, sent_us = f"r{one.now_us}", one.now_us + 40 * MS
        for action in one.handle(sent_us, pr.RequestArrived(name, "safe", sent_us + S)):
            if isinstance(action, pr.Send):
                far = action.server.startswith("b")
                away += far
                took_us = 10 * MS if far else near_us
                ended = pr.AttemptEnded(name, 0, action.server, pr.AttemptOutcome.OK, took_us, True)
                one.handle(sent_us + 10 * MS, ended)
        if n % 5 == 0:
            one.refresh_all()
    return away / count


def test_requests_cross_more_while_answers_near_by_come_late() -> None:
    """Seen on zone+vast 3: 12 servers of one zone took 30 requests a second each, those of another 5."""
    rows = tuple(entry(f"{zone}{i}", zone) for zone in "ab" for i in range(30))
    one = fleet(40, rows, prices=pr.Prices(cross_zone=0.08))[0]
    prompt = crossed(one, 300, 10 * MS)
    late = crossed(one, 300, 600 * MS)
    crossed(one, 1500, 10 * MS)
    after = crossed(one, 300, 10 * MS)
    assert prompt < 0.1 and late > 0.25 and after < 0.1


def test_a_server_that_reports_slower_service_is_drawn_less() -> None:
    one = fleet(40, tuple(entry(f"s{i}") for i in range(20)))[0]
    for name, server in one.servers.items():
        server.apply_report(pr.Report(0.0, (40.0 if name == "s0" else 10.0) * MS))
    one.refresh_all()
    drawn = one.estimated_capacity(one.servers["s0"]) / one.estimated_capacity(one.servers["s1"])
    assert abs(drawn - 0.25) < 0.01


def faulty(d: Driver, seconds: int, kind: pr.RequestClass, bad: str) -> list[int]:
    """When (microseconds) requests went to a server that answers all with errors; the others are prompt."""
    met = []
    for _ in range(seconds * 20):
        name = d.arrive(kind)
        while name in d.owed and d.attempts[name]:
            d.pass_time(20 * MS)
            if d.attempts[name][-1][2] is None:
                ill = d.attempts[name][-1][0] == bad
                met += [d.now_us] if ill else []
                d.end(name, pr.AttemptOutcome.ERROR if ill else pr.AttemptOutcome.OK)
        d.pass_time(30 * MS)
    return met


def test_where_many_share_a_server_one_fault_is_enough_and_trials_grow_rare() -> None:
    """Seen on zone+vast and join+vast: fast errors were met by each of 40 proxies, again and again."""
    d = Driver(settings(proxies=40))
    d.members(*(entry(f"s{i}") for i in range(20)))
    met = faulty(d, 60, SAFE, d.balancer.pool[0].entry.server)
    assert 3 <= len(met) <= 7
    gaps = [after - before for before, after in pairwise(met)]
    assert gaps[0] >= 1.5 * S and gaps[2] >= 6 * S


def test_an_unsafe_request_is_never_a_trial() -> None:
    d = Driver(settings(proxies=40))
    d.members(*(entry(f"s{i}") for i in range(20)))
    assert len(faulty(d, 60, UNSAFE, d.balancer.pool[0].entry.server)) == 1


def test_late_answers_throttle_and_prompt_ones_release() -> None:
    """Seen on lahore big-2: no proxy held more than an attempt or two, and queues grew until all was late."""
    d = Driver(settings(proxies=200))
    few = Driver(settings(proxies=3))
    d.members(*(entry(f"s{i}") for i in range(10)), scope=pr.ListScope.SAVED)
    for _ in range(60):
        name = d.arrive(UNSAFE)
        d.pass_time(600 * MS)
        if name in d.owed:
            d.end(name, pr.AttemptOutcome.OK)
    assert d.balancer.throttle.shed_share() > 0.3
    few.members(*(entry(f"s{i}") for i in range(10)), scope=pr.ListScope.SAVED)
    few.balancer.throttle.admission = 0.1
    assert all(few.sends(few.arrive()) for _ in range(20))  # few proxies see queues in their own attempts
    for _ in range(400):
        name = d.arrive(SAFE)
        d.pass_time(50 * MS)
        if name in d.owed:
            d.end(name, pr.AttemptOutcome.OK)
    assert d.balancer.throttle.shed_share() == 0.0


def test_a_late_answer_among_prompt_ones_is_chance() -> None:
    throttle = balancer.AdaptiveThrottle()
    for n, good in enumerate((True, True, False)):
        throttle.record(good, n * 100 * MS)
    assert throttle.shed_share() == 0.0
    for n in range(10):
        throttle.record(False, S + n * 100 * MS)
    assert throttle.shed_share() > 0.4


def test_a_throttle_refuses_the_cheap_before_the_dear() -> None:
    """Seen on join+vast: with half of the servers cold, payments were refused as readily as map views."""
    kinds = tuple(
        pr.RequestClass(name, pr.Repeat.SAFE, 500 * MS, S, value=worth)
        for name, worth in (("map", 1.0), ("profile", 5.0), ("payment", 10.0))
    )
    d = Driver(settings(proxies=200, classes=kinds, worth_by_work=True))
    d.members(*(entry(f"s{i}") for i in range(10)), scope=pr.ListScope.SAVED)

    def play(rounds: int) -> dict[str, int]:
        sent = dict.fromkeys((kind.name for kind in kinds), 0)
        for _ in range(rounds):
            for kind in kinds:
                name = d.arrive(kind, hint_us=50 * MS)
                d.pass_time(5 * MS)
                if d.sends(name):
                    sent[kind.name] += 1
                    d.end(name, pr.AttemptOutcome.OK)
        return sent

    assert set(play(100).values()) == {100}
    d.balancer.throttle.admission = 0.5
    d.balancer.throttle.recent_count = 1e9  # so that it stays there
    sent = play(400)
    assert sent["payment"] > 350 and 100 < sent["profile"] < 260 and sent["map"] < 80
    assert 500 < sum(sent.values()) < 700  # half of the work in all, as the throttle says


def test_what_one_class_does_not_need_is_left_to_the_others() -> None:
    demand = balancer.ClassDemand(["cheap", "dear"])
    value_per_work = {"cheap": 0.1, "dear": 1.0}
    for n in range(100):
        demand.record("cheap" if n % 4 else "dear", 1.0, 1000 * n)
    assert (
        demand.admitted_share("dear", 1.0, value_per_work) == demand.admitted_share("cheap", 1.0, value_per_work) == 1.0
    )
    for share in (0.1, 0.25, 0.5, 0.9):
        passed = {
            name: demand.admitted_share(name, share, value_per_work) * asked
            for name, asked in demand.offered_work.items()
        }
        assert abs(sum(passed.values()) - share * sum(demand.offered_work.values())) < 1e-6
        assert passed["dear"] / demand.offered_work["dear"] >= passed["cheap"] / demand.offered_work["cheap"]


def test_throttle_opens_soon_after_a_burst() -> None:
    """Seen in ib51557: a throttle that counted its own refusals as bad stayed shut at half the load."""
    throttle = balancer.AdaptiveThrottle()
    for n in range(40):
        throttle.record(False, n * 25 * MS)
    now_us = S
    while throttle.shed_share() > 0.0:
        now_us += int(150 * MS / (1.0 - throttle.shed_share()))  # 7 arrivals a second, less what is refused
        throttle.record(True, now_us)
    assert now_us < 60 * S


def test_a_list_of_new_weights_does_not_lay_out_the_fleet_anew() -> None:
    """Seen in i89f96a: with live weights the lists of 144 servers cost more CPU than all requests."""
    d = Driver(settings(proxies=200, weights=pr.WeightMeaning.LIVE))
    d.members(*(entry(f"s{i}") for i in range(40)), scope=pr.ListScope.SAVED)
    pool = d.balancer.pool
    d.members(*(entry(f"s{i}", weight=0.5) for i in range(40)), scope=pr.ListScope.CHANGES)
    assert d.balancer.pool is pool and pool[0].entry.weight == 0.5
    d.members(entry(pool[0].entry.server, state=pr.ServerState.DRAINING), scope=pr.ListScope.CHANGES)
    assert d.balancer.pool is not pool


def test_under_strain_what_is_over_a_tenants_share_goes_first() -> None:
    """Seen on jakarta big-1: one tenant at four times its traffic cost all tenants alike."""
    d = Driver(settings(proxies=100, tenants={"loud": 100.0, "calm": 100.0}))
    d.members(*(entry(f"s{i}") for i in range(10)), scope=pr.ListScope.SAVED)
    refused = {"loud": 0, "calm": 0}
    for n in range(80):
        d.balancer.throttle.admission = 1.1
        tenant = "calm" if n % 8 == 0 else "loud"
        name = f"t{n}"
        actions = d.balancer.handle(d.now_us, pr.RequestArrived(name, "safe", d.now_us + S, tenant))
        refused[tenant] += pr.Refuse(name) in actions
        d.now_us += 200 * MS
        for send in [a for a in actions if isinstance(a, pr.Send)]:
            d.balancer.handle(d.now_us, pr.AttemptEnded(name, 0, send.server, pr.AttemptOutcome.OK, 200 * MS, True))
    assert refused["loud"] > 30 and refused["calm"] == 0


def test_a_small_zone_is_made_up_for_elsewhere_unless_keys_are_warm() -> None:
    """Seen on lahore's quiet day: proxies with a working set of 11 used 9 of 12 servers."""
    rows = tuple(entry(f"{zone}{i}", zone) for zone in "ab" for i in range(6))
    assert all(len(one.pool) == 11 for one in fleet(16, rows))
    assert all(len(one.pool) == 9 for one in fleet(16, rows, warm_keys=True))


def test_a_client_that_left_early_counts_neither_as_in_time_nor_as_late() -> None:
    """Seen in review: the cancelled attempt of a client that left before the aim passed for a good answer."""
    d = Driver(settings(proxies=200))
    d.members(*(entry(f"s{i}") for i in range(10)), scope=pr.ListScope.SAVED)
    d.balancer.throttle.admission = 1.0
    name = d.arrive()
    d.pass_time(50 * MS)
    d.gone(name)
    d.end(name, pr.AttemptOutcome.CANCELLED)
    assert d.balancer.throttle.admission == 1.0
    name = d.arrive()
    d.pass_time(SAFE.latency_target_us + MS)
    d.gone(name)
    d.end(name, pr.AttemptOutcome.CANCELLED)
    assert d.balancer.throttle.admission < 1.0


def test_a_tenant_over_its_share_keeps_its_share() -> None:
    """Seen in review: above its rate a tenant was refused all, what lies within its share with the rest."""
    d = Driver(settings(proxies=100, tenants={"loud": 100.0}))
    d.members(*(entry(f"s{i}") for i in range(10)), scope=pr.ListScope.SAVED)
    served = 0
    for n in range(400):  # four a second, and its part here is one
        d.balancer.throttle.admission = 1.1
        d.now_us += 250 * MS
        for action in d.balancer.handle(d.now_us, pr.RequestArrived(f"t{n}", "safe", d.now_us + S, "loud")):
            if isinstance(action, pr.Send):
                served += 1
                ended = pr.AttemptEnded(f"t{n}", 0, action.server, pr.AttemptOutcome.OK, 100 * MS, True)
                d.balancer.handle(d.now_us, ended)
    assert 100 <= served <= 110


def test_a_keyed_retry_leaves_the_working_set_only_for_its_group() -> None:
    """Seen in review: servers outside had a rank of 0, so every keyed retry went to one never heard from."""
    for kind, inside in ((ANYWHERE, True), (CELLED, False)):
        d = Driver(settings(proxies=200))
        d.members(*(entry(f"s{i}") for i in range(40)), scope=pr.ListScope.SAVED)
        pool = {server.entry.server for server in d.balancer.pool}
        lone = next(iter(pool))
        d.members(*(entry(f"s{i}", cell=int(f"s{i}" in pool - {lone})) for i in range(40)))
        for _ in range(30):
            name = d.arrive(kind)
            first = d.sends(name)[0]
            d.end(name, pr.AttemptOutcome.ERROR)
            d.pass_time(balancer.BACKOFF_BASE_US)
            again = d.sends(name)[1:]
            if inside or first != lone:
                assert set(again) <= pool
            if name in d.owed:
                d.end(name, pr.AttemptOutcome.OK)
            d.balancer.budget.tokens = d.balancer.budget.most
            for server in d.balancer.servers.values():
                server.success = 1.0


def test_health_goes_by_the_servers_in_use() -> None:
    """Seen in review: servers never sent to counted as well, so at full size retries were never off."""
    d = Driver(settings(proxies=200))
    d.members(*(entry(f"s{i}") for i in range(60)), scope=pr.ListScope.SAVED)
    for server in d.balancer.pool:
        server.success = balancer.MIN_FLEET_SUCCESS - 0.05
    name = d.arrive()
    d.end(name, pr.AttemptOutcome.ERROR)
    assert d.answers(name) == [pr.Refuse]


def jammed(late_away: bool) -> Driver:
    """A proxy whose zone answers late, while the other zone has servers too."""
    d = Driver(settings(proxies=200))
    d.members(*(entry(f"{zone}{i}", zone) for zone in "ab" for i in range(10)), scope=pr.ListScope.SAVED)
    zones = {server.entry.server: server.entry.zone for server in d.balancer.pool}
    for _ in range(120):
        name = d.arrive(UNSAFE)
        sent = d.sends(name)
        near = bool(sent) and zones[sent[0]] == "a"
        d.pass_time(600 * MS if near or late_away else 20 * MS)
        if name in d.owed:
            d.end(name, pr.AttemptOutcome.OK)
    d.balancer.throttle.admission = 0.1
    return d


def test_what_the_throttle_would_refuse_goes_to_another_zone_that_answers_in_time() -> None:
    """Seen on abay-portal: one of a zone's two servers was emptied, and its proxies refused most of what came."""
    d = jammed(late_away=False)
    sent = []
    for _ in range(40):
        name = d.arrive(UNSAFE)
        sent += d.sends(name)
        d.pass_time(20 * MS)
        if name in d.owed:
            d.end(name, pr.AttemptOutcome.OK)
    assert len(sent) == 40 and sum(server.startswith("b") for server in sent) > 25
    assert d.balancer.throttle.shed_share() > 0.5  # what other zones answer in time does not open it here


def test_what_would_be_late_there_too_is_refused() -> None:
    d = jammed(late_away=True)
    refused = 0
    for _ in range(40):
        name = d.arrive(UNSAFE)
        refused += not d.sends(name)
        d.pass_time(600 * MS)
        if name in d.owed:
            d.end(name, pr.AttemptOutcome.OK)
    assert refused > 20
