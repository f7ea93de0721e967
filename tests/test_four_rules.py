"""A test for each of the four rules and its edge cases; tests/driver.py asserts the rules themselves."""

from __future__ import annotations

import re

import pytest

from cypressbeam import balancing
from cypressbeam.balancing import balancer
from tests.driver import ANYWHERE, CELLED, MS, SAFE, UNSAFE, ZONED, Driver, S, entry, settings


def driver(**changes: object) -> Driver:
    d = Driver(settings(**changes))
    d.update_list(entry("a1", "a", 1), entry("a2", "a", 2), entry("b1", "b", 1), scope=balancing.ListScope.SAVED)
    return d


@pytest.mark.parametrize("request_class", [SAFE, ZONED, UNSAFE])
def test_timeout_at_the_deadline_still_gets_an_answer(request_class: balancing.RequestClass) -> None:
    d = driver()
    name = d.arrive(request_class)
    d.advance(request_class.deadline_us)
    assert d.answers(name) == [balancing.Refuse if request_class is SAFE else balancing.Fail]


def test_nothing_is_sent_after_the_client_disconnected() -> None:
    d = driver()
    name = d.arrive()
    d.end_attempt(name, balancing.AttemptOutcome.ERROR)
    d.disconnect(name)
    d.advance(S)
    assert len(d.sends(name)) == 1 and d.answers(name) == []


def test_client_disconnect_cancels_open_attempts_where_allowed() -> None:
    for allowed in (True, False):
        d = driver(may_cancel=allowed)
        name = d.arrive()
        actions = d.disconnect(name)
        assert (balancing.Cancel(name, 0) in actions) is allowed


def test_requests_are_refused_without_servers() -> None:
    d = Driver(settings())
    d.update_list(scope=balancing.ListScope.SAVED)
    assert [d.answers(d.arrive(request_class)) for request_class in (SAFE, ZONED, UNSAFE)] == [[balancing.Refuse]] * 3


@pytest.mark.parametrize(
    "ending",
    [
        balancing.AttemptOutcome.ERROR,
        balancing.AttemptOutcome.RESET,
        balancing.AttemptOutcome.TIMEOUT,
        balancing.AttemptOutcome.CANCELLED,
    ],
)
def test_unsafe_request_that_may_have_run_fails_and_is_not_sent_again(ending: balancing.AttemptOutcome) -> None:
    d = driver()
    name = d.arrive(UNSAFE)
    d.end_attempt(name, ending)
    d.advance(S)
    assert len(d.sends(name)) == 1 and d.answers(name) == [balancing.Fail]


@pytest.mark.parametrize("ending", [balancing.AttemptOutcome.FULL, balancing.AttemptOutcome.CONNECT_FAILED])
def test_unsafe_request_that_did_not_run_is_sent_again(ending: balancing.AttemptOutcome) -> None:
    d = driver()
    name = d.arrive(UNSAFE)
    d.end_attempt(name, ending)
    d.advance(balancer.BACKOFF_BASE_US)
    assert len(d.sends(name)) == 2


@pytest.mark.parametrize(("request_class", "group"), [(ZONED, {"a1", "a2"}), (ANYWHERE, {"a1", "a2", "b1"})])
def test_keyed_request_stays_in_its_group(request_class: balancing.RequestClass, group: set[str]) -> None:
    d = driver()
    for _ in range(6):
        name = d.arrive(request_class)
        allowed = {"b1"} if request_class is ZONED and d.sends(name)[0] == "b1" else group
        d.end_attempt(name, balancing.AttemptOutcome.ERROR)
        d.advance(balancer.BACKOFF_BASE_US)
        assert set(d.sends(name)) <= allowed
        if name in d.unanswered:
            d.end_attempt(name, balancing.AttemptOutcome.OK)


def test_keyed_request_by_cell_crosses_zones_within_its_cell() -> None:
    d = driver()
    d.update_list(entry("a1", "a", 1), entry("b1", "b", 1), entry("c1", "c", 3))
    name = d.arrive(CELLED)
    first = d.sends(name)[0]
    d.end_attempt(name, balancing.AttemptOutcome.ERROR)
    d.advance(balancer.BACKOFF_BASE_US)
    assert (set(d.sends(name)) == {"a1", "b1"}) if first != "c1" else (d.sends(name) == ["c1", "c1"])


def test_keyed_request_is_not_sent_again_after_its_window() -> None:
    d = driver()
    name = d.arrive(ZONED)
    d.now_us += ZONED.window_us
    d.end_attempt(name, balancing.AttemptOutcome.ERROR)
    d.advance(100 * MS)
    assert len(d.sends(name)) == 1 and d.answers(name) == [balancing.Fail]


def test_keyed_request_that_may_have_run_is_refused_only_if_all_servers_deduplicate() -> None:
    for request_class, answer in ((ZONED, balancing.Fail), (CELLED, balancing.Fail), (ANYWHERE, balancing.Refuse)):
        d = driver()
        name = d.arrive(request_class, is_client_retry=True)
        d.end_attempt(name, balancing.AttemptOutcome.ERROR)
        assert d.answers(name) == [answer]


def test_draining_and_removed_servers_get_no_attempts() -> None:
    d = driver()
    d.update_list(
        entry("a1", state=balancing.ServerState.DRAINING),
        entry("b1", state=balancing.ServerState.GONE),
        scope=balancing.ListScope.CHANGES,
    )
    assert {d.sends(d.arrive())[0] for _ in range(4)} == {"a2"}


def test_server_missing_from_a_complete_list_is_removed() -> None:
    d = driver()
    d.update_list(entry("a2"))
    assert {d.sends(d.arrive())[0] for _ in range(4)} == {"a2"}


def test_retry_avoids_a_server_that_began_to_drain() -> None:
    d = driver()
    name = d.arrive()
    d.end_attempt(name, balancing.AttemptOutcome.ERROR)
    first = d.sends(name)[0]
    d.update_list(
        *(entry(x, state=balancing.ServerState.DRAINING) for x in ("a1", "a2", "b1") if x != first),
        scope=balancing.ListScope.CHANGES,
    )
    d.advance(balancer.BACKOFF_BASE_US)
    assert set(d.sends(name)) == {first}


def test_subscribes_at_once_and_again_after_a_failure() -> None:
    d = Driver(settings(must_subscribe=True))
    assert balancing.Subscribe() in d.update_list(entry("a1"), scope=balancing.ListScope.SAVED)
    for _ in range(6):
        d.feed(balancing.ListChanged(0, balancing.ListScope.FAILED))
        actions = d.advance(balancer.RESUBSCRIBE_CAP_US)
        assert actions.count(balancing.Subscribe()) == 1
    assert d.config.ask_within_us > balancer.RESUBSCRIBE_CAP_US


def test_never_subscribes_where_changes_are_pushed() -> None:
    d = driver()
    d.advance(5 * S)
    assert not any(isinstance(a, balancing.Subscribe) for _, a in d.action_log)


def test_cold_server_gets_at_most_its_share_of_the_traffic() -> None:
    """Near full capacity, a warm server handles 1/n of all requests."""
    d = driver()
    d.update_list(entry("a1"), entry("a2"), entry("b1"), entry("new", started_us=d.now_us))
    span_requests = 400  # within `Settings.fall_us`, while the new server's capacity share rises from 0.2 to 0.36
    for _ in range(span_requests):
        name = d.arrive()
        d.advance(5 * MS)
        if name in d.unanswered:
            d.end_attempt(name, balancing.AttemptOutcome.OK)
    budget = 3.0 * 0.2 * span_requests / 4
    assert 1 <= d.peak_sends("new") <= budget and balancer.COLD_BUDGET_SHARE < 1.0


def test_every_request_is_answered_if_all_servers_are_cold_or_failing() -> None:
    d = Driver(settings())
    d.update_list(*(entry(f"s{i}", started_us=d.now_us) for i in range(3)), scope=balancing.ListScope.SAVED)
    names = []
    for _ in range(30):
        names.append(d.arrive())
        if names[-1] in d.unanswered:
            d.end_attempt(names[-1], balancing.AttemptOutcome.CONNECT_FAILED)
        d.advance(20 * MS)
    d.advance(3 * S)
    assert not d.unanswered and all(len(d.answers(name)) == 1 for name in names)


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"classes": (SAFE, SAFE)}, "settings.classes: two classes have the same name"),
        ({"own_name": 3}, "settings.me: must be below proxies (3), not 3"),
        ({"cold_share": 1.5}, "settings.cold_share: at most 1, not 1.5"),
        ({"cold_share": -0.5}, "settings.cold_share: a number of at least 0 is needed, not -0.5"),
        ({"proxies": 1.5}, "settings.proxies: a whole number of at least 1 is needed, not 1.5"),
        ({"fall_multiple": 0}, "settings.fall_multiple: a number above 0 is needed, not 0"),
        ({"weights": "size"}, "settings.weights: WeightMeaning is needed, not 'size'"),
    ],
)
def test_message_of_bad_settings(changes: dict[str, object], text: str) -> None:
    with pytest.raises(ValueError, match=f"^{re.escape(text)}$"):
        settings(**changes)


def test_errors_of_invalid_settings_name_the_field() -> None:
    for changes, field in (
        ({"classes": ()}, "settings.classes"),
        ({"proxies": 0}, "settings.proxies"),
        ({"own_name": 3}, "settings.me"),
        ({"fall_us": -1}, "settings.fall_us"),
        ({"cold_share": 1.5}, "settings.cold_share"),
        ({"max_attempts": 0}, "settings.max_attempts"),
    ):
        with pytest.raises(ValueError, match=field):
            settings(**changes)
    with pytest.raises(ValueError, match=r"classes\[x\]\.latency_target_us"):
        balancing.RequestClass("x", balancing.Repeat.SAFE, latency_target_us=-5, deadline_us=1)
    with pytest.raises(ValueError, match=r"classes\[x\]\.repeat"):
        balancing.RequestClass("x", "lucky", latency_target_us=5, deadline_us=1)  # type: ignore[arg-type]


DEPLOYMENTS: list[dict[str, object]] = [
    {"proxies": 1, "own_name": 0},
    {"proxies": 20, "own_name": 19},
    {"reports": (), "reports_in_answers": False},
    {"may_cancel": False},
    {"may_overlap": True},
    {"must_subscribe": True},
    {"warm_keys": True},
    {"weights": balancing.WeightMeaning.LIVE},
    {"tenants": {"t": 5.0}},
    {"cold_us": 0, "cold_share": 1.0},
    {"max_attempts": 1},
]


@pytest.mark.parametrize("changes", DEPLOYMENTS)
def test_rules_hold_in_other_deployments(changes: dict[str, object]) -> None:
    d = driver(**changes)
    served = 0
    for i in range(200):
        request_class = d.config.classes[i % len(d.config.classes)]
        name = d.arrive(request_class, key=f"k{i % 7}")
        d.advance(3 * MS)
        for pending in [r for r in d.unanswered if r != name and any(a[2] is None for a in d.attempts[r])]:
            d.end_attempt(pending, balancing.AttemptOutcome.OK)
            served += 1
        if name in d.unanswered and i % 9 == 0:
            d.end_attempt(
                name,
                [
                    balancing.AttemptOutcome.ERROR,
                    balancing.AttemptOutcome.FULL,
                    balancing.AttemptOutcome.RESET,
                    balancing.AttemptOutcome.CONNECT_FAILED,
                ][i % 4],
            )
        elif name in d.unanswered:
            d.end_attempt(name, balancing.AttemptOutcome.OK)
            served += 1
    d.advance(5 * S)
    assert served >= 150 and not d.unanswered


def test_finishing_twice_answers_once() -> None:
    d = driver()
    name = d.arrive()
    request = d.balancer.requests[name]
    d.balancer.actions = []
    d.balancer.finish(request)
    d.balancer.finish(request)
    assert sum(isinstance(a, (balancing.Refuse, balancing.Fail)) for a in d.balancer.actions) == 1
