"""The retry budget of the whole fleet under uneven load, kills, restarts and additions, over windows as in RULES.md."""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field, replace

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from cypressbeam import balancing
from cypressbeam.balancing.balancer import Balancer
from cypressbeam.protocol import configuration
from cypressbeam.protocol.settings import Envelope, parse
from cypressbeam.proxy.gateway import balancer_settings
from lab.local_cluster import demo_configuration
from tests.test_gateway_parts import BOOT

SETTINGS = parse(BOOT, "boot.conf")
ROUTES = [route for route in configuration.read(cbor2.dumps(demo_configuration())).routes if route.label == "find"]
DEFAULT_ENVELOPE = SETTINGS.envelope
TIGHT_ENVELOPE = Envelope(retry_ratio=0.05, retry_slack=5)
SERVERS = tuple(balancing.ServerEntry(f"s{number}", "a") for number in range(6))
DURATION_S, MAX_NODES = 40.0, 8
#: Time until all nodes know that their number has changed.
PROPAGATION_S = 1.5


@dataclass
class Fleet:
    """Nodes that share a retry budget, on a simulated clock."""

    alive: list[int]
    failure_rate: float
    """The share of attempts that end in a connection reset."""
    rng: random.Random
    envelope: Envelope = DEFAULT_ENVELOPE
    balancers: dict[int, Balancer] = field(default_factory=dict)
    events: list[tuple[float, int, object]] = field(default_factory=list)
    sequence: itertools.count[int] = field(default_factory=itertools.count)
    first_attempts_s: list[float] = field(default_factory=list)
    retries_s: list[float] = field(default_factory=list)
    tries: Counter[str] = field(default_factory=Counter)

    def schedule(self, at_s: float, item: object) -> None:
        heapq.heappush(self.events, (at_s, next(self.sequence), item))

    def settings(self, node: int, node_count: int) -> balancing.Settings:
        return balancer_settings(ROUTES, replace(SETTINGS, envelope=self.envelope), node_count, node)

    def start(self, node: int, now_s: float) -> None:
        """Start a node, which knows the number of nodes including itself."""
        self.balancers[node] = Balancer(self.settings(node, len(self.alive)), node)
        self.deliver(node, now_s, balancing.ListChanged(1, balancing.ListScope.WHOLE, SERVERS))

    def deliver(self, node: int, now_s: float, event: object) -> None:
        balancer = self.balancers[node]
        for action in balancer.handle(int(now_s * 1e6), event):  # type: ignore[arg-type]
            if isinstance(action, balancing.Send):
                number = self.tries[action.request]
                self.tries[action.request] += 1
                (self.retries_s if number else self.first_attempts_s).append(now_s)
                outcome = (
                    balancing.AttemptOutcome.RESET
                    if self.rng.random() < self.failure_rate
                    else balancing.AttemptOutcome.OK
                )
                end_event = balancing.AttemptEnded(
                    action.request, number, action.server, outcome, 20_000, outcome is balancing.AttemptOutcome.OK
                )
                self.schedule(now_s + 0.02, (node, balancer, end_event))
            elif isinstance(action, balancing.SetTimer):
                self.schedule(now_s + action.delay_us / 1e6, (node, balancer, balancing.TimerFired(action.token)))

    def change(self, now_s: float, kind: str) -> None:
        """Kill, restart or add a node; the others learn of it after PROPAGATION_S."""
        if kind == "kill" and len(self.alive) > 1:
            del self.balancers[self.alive.pop(0)]
        elif kind == "add" and len(self.alive) < MAX_NODES:
            node = next(number for number in range(MAX_NODES) if number not in self.alive)
            self.alive.append(node)
            self.start(node, now_s)
        elif kind == "restart":
            self.start(self.alive[0], now_s)
        self.schedule(now_s + PROPAGATION_S, "learn")

    def run(self) -> None:
        while self.events:
            now_s, _, item = heapq.heappop(self.events)
            if now_s > DURATION_S + 2.0:
                return
            if item == "learn":
                for node in self.alive:
                    self.deliver(node, now_s, balancing.SettingsChanged(self.settings(node, len(self.alive))))
            elif isinstance(item, str):
                self.change(now_s, item)
            elif isinstance(item, int):
                self.arrive(now_s, item)
            elif isinstance(item, tuple):
                node, balancer, event = item
                if self.balancers.get(node) is balancer:  # otherwise the event is for a previous process of the node
                    self.deliver(node, now_s, event)

    def arrive(self, now_s: float, node_slot: int) -> None:
        node = self.alive[node_slot % len(self.alive)]
        request = balancing.RequestArrived(
            f"r{next(self.sequence)}", self.settings(node, 1).classes[0].name, int((now_s + 5.0) * 1e6)
        )
        self.deliver(node, now_s, request)


def excess_over_budget(fleet: Fleet, envelope: Envelope = DEFAULT_ENVELOPE) -> float:
    """By how many retries the worst window exceeds the budget; 0 or less is within it."""
    largest_excess, window_s = -envelope.retry_slack, envelope.retry_window_s

    def count(times_s: list[float], end_s: float) -> int:
        return bisect_right(times_s, end_s) - bisect_right(times_s, end_s - window_s)

    for end_s in fleet.retries_s:
        first_attempts = max(
            count(fleet.first_attempts_s, end_s - shift_s) for shift_s in (0.0, window_s, window_s / 2)
        )
        largest_excess = max(
            largest_excess, count(fleet.retries_s, end_s) - envelope.retry_ratio * first_attempts - envelope.retry_slack
        )
    return largest_excess


@st.composite
def fleets(draw: st.DrawFn) -> Fleet:
    """Load in phases, each on some of the nodes, with nodes that are killed, restarted or added in between."""
    seed = draw(st.integers(0, 2**32))
    fleet = Fleet(
        list(range(draw(st.integers(1, MAX_NODES)))), draw(st.sampled_from([0.1, 0.25, 0.45])), random.Random(seed)
    )
    for node in fleet.alive:
        fleet.start(node, 0.0)
    at_s = 0.0
    while at_s < DURATION_S:
        spell_s = draw(st.floats(0.5, 8.0))
        rate, nodes = draw(st.sampled_from([0, 5, 30, 100])), draw(st.integers(1, MAX_NODES))
        for number in range(int(rate * spell_s)):
            fleet.schedule(at_s + number / rate, fleet.rng.randrange(nodes))
        if draw(st.booleans()):
            fleet.schedule(at_s, draw(st.sampled_from(["kill", "add", "restart"])))
        at_s += spell_s
    return fleet


@settings(max_examples=40, deadline=None, derandomize=True)
@given(fleets())
def test_fleet_stays_within_its_retry_budget_in_any_window(fleet: Fleet) -> None:
    fleet.run()
    assert excess_over_budget(fleet) <= 0.0


def steady(nodes: int, failure_rate: float, change: str = "", envelope: Envelope = DEFAULT_ENVELOPE) -> Fleet:
    fleet = Fleet(list(range(nodes)), failure_rate, random.Random(1), envelope)
    for node in fleet.alive:
        fleet.start(node, 0.0)
    for number in range(int(60 * DURATION_S)):
        fleet.schedule(number / 60, fleet.rng.randrange(nodes))
    if change:
        for at_s in range(2, int(DURATION_S), 2):
            fleet.schedule(at_s, change)
    fleet.run()
    return fleet


def test_budget_is_used_under_steady_failures() -> None:
    """Guards against a budget that is kept only because nothing is retried: most of the ratio must be used."""
    fleet = steady(4, 0.25)
    first_attempts = len(fleet.first_attempts_s)
    assert (
        0.12 * first_attempts
        < len(fleet.retries_s)
        <= DEFAULT_ENVELOPE.retry_ratio * first_attempts + DEFAULT_ENVELOPE.retry_slack
    )


def test_restarting_nodes_earn_their_budget_again() -> None:
    assert excess_over_budget(steady(6, 0.45, "restart")) <= 0.0


def test_tighter_budget_is_kept_and_violations_are_detected() -> None:
    assert excess_over_budget(steady(MAX_NODES, 0.25, envelope=TIGHT_ENVELOPE), TIGHT_ENVELOPE) <= 0.0
    assert excess_over_budget(steady(MAX_NODES, 0.25), TIGHT_ENVELOPE) > 0.0
