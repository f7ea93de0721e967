"""Property tests: the four rules, asserted by tests/driver.py, hold for any sequence of valid events."""

from __future__ import annotations

from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cypressbeam import balancing
from tests.driver import CLASSES, MS, Driver, S, entry
from tests.driver import settings as config

NAMES = [f"s{i}" for i in range(6)]
STATES = [
    balancing.ServerState.ACTIVE,
    balancing.ServerState.ACTIVE,
    balancing.ServerState.DRAINING,
    balancing.ServerState.GONE,
]


def listed(name: str, state: balancing.ServerState, started_us: int, weight: float) -> balancing.ServerEntry:
    return entry(name, "ab"[int(name[1]) % 2], int(name[1]) // 2, state, weight, started_us)


entries = st.builds(
    listed,
    st.sampled_from(NAMES),
    st.sampled_from(STATES),
    st.sampled_from([0, 99 * S, 101 * S]),
    st.sampled_from([0.0, 1.0, 2.5]),
)
lists = st.lists(entries, max_size=6, unique_by=lambda x: x.server)
reports = st.one_of(
    st.none(),
    st.builds(balancing.Report, st.one_of(st.none(), st.floats(0, 50)), st.one_of(st.none(), st.floats(0, 1e6))),
)
steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("arrive"),
            st.sampled_from(CLASSES),
            st.integers(1, 1500),
            st.booleans(),
            st.sampled_from([None, "k1", "k2"]),
        ),
        st.tuples(st.just("end"), st.integers(0, 99), st.sampled_from(list(balancing.AttemptOutcome)), reports),
        st.tuples(st.just("list"), st.sampled_from(list(balancing.ListScope)), lists),
        st.tuples(st.just("time"), st.integers(1, 900)),
        st.tuples(st.just("gone"), st.integers(0, 99)),
        st.tuples(st.just("odd"), st.integers(0, 5)),
    ),
    max_size=60,
)


def odd_event(which: int, driver: Driver) -> balancing.Event:
    """Valid but unusual events: late ones, and ones about unknown or finished requests."""
    finished_request = next(iter(driver.arrived), "never")
    events: list[balancing.Event] = [
        balancing.TimerFired(999_999),
        balancing.ClientGone("never"),
        balancing.MessageCame(2, b"\x00\xff"),
        balancing.AttemptEnded("never", 0, "nowhere", balancing.AttemptOutcome.OK, 5, True),
        balancing.StreamBegan(finished_request, 7, "nowhere", 5),
        balancing.ProbeEnded("nowhere", balancing.AttemptOutcome.TIMEOUT, 5),
    ]
    return events[which]


def run_script(driver: Driver, script: list[Any]) -> None:
    for step in script:
        if step[0] == "arrive":
            driver.arrive(step[1], step[2] * MS, key=step[4], is_client_retry=step[3])
        elif step[0] == "end":
            in_flight = [
                (name, i)
                for name, tries in driver.attempts.items()
                for i, attempt in enumerate(tries)
                if attempt[2] is None
            ]
            if in_flight:
                name, number = in_flight[step[1] % len(in_flight)]
                driver.end_attempt(name, step[2], number, step[3])
        elif step[0] == "list":
            if step[1] is balancing.ListScope.FAILED:
                driver.feed(balancing.ListChanged(0, step[1]))
            else:
                driver.update_list(*step[2], scope=step[1])
        elif step[0] == "time":
            driver.advance(step[1] * MS)
        elif step[0] == "gone":
            names = list(driver.arrived)
            if names:
                driver.disconnect(names[step[1] % len(names)])
        else:
            driver.feed(odd_event(step[1], driver))
    driver.advance(10 * S)
    assert not driver.unanswered
    assert all(len(answers) <= 1 for answers in driver.final_answers.values())


@settings(derandomize=True, max_examples=250, deadline=None, suppress_health_check=list(HealthCheck))
@given(steps, st.booleans(), st.booleans(), st.booleans(), st.booleans(), st.sampled_from([1, 3, 20]))
def test_rules_hold_for_any_events(
    script: list[Any], overlap: bool, cancel: bool, ask: bool, warm: bool, proxies: int
) -> None:
    driver = Driver(
        config(
            may_overlap=overlap,
            may_cancel=cancel,
            must_subscribe=ask,
            warm_keys=warm,
            proxies=proxies,
            weights=balancing.WeightMeaning.SIZE if warm else balancing.WeightMeaning.NONE,
        )
    )
    driver.update_list(entry("s0"), entry("s1", "b"), entry("s2", cell=1), scope=balancing.ListScope.SAVED)
    run_script(driver, script)


@settings(derandomize=True, max_examples=40, deadline=None, suppress_health_check=list(HealthCheck))
@given(steps)
def test_same_events_same_actions(script: list[Any]) -> None:
    drivers = [Driver(config()), Driver(config())]
    for driver in drivers:
        driver.update_list(entry("s0"), entry("s1", "b"), scope=balancing.ListScope.SAVED)
        run_script(driver, script)
    assert drivers[0].action_log == drivers[1].action_log
