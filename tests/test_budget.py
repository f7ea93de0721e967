"""The fleet's retry budget under uneven load, kills, restarts and additions, summed over windows as RULES.md does."""

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

from cypressbeam import balancing as pr
from cypressbeam.balancing.balancer import Balancer
from cypressbeam.protocol import configuration
from cypressbeam.protocol.settings import Envelope, parse
from cypressbeam.proxy.gateway import balancer_settings
from lab.local_cluster import demo_configuration
from tests.test_gateway_parts import BOOT

SETTINGS = parse(BOOT, "boot.conf")
CHANNELS = [
    channel for channel in configuration.read(cbor2.dumps(demo_configuration())).routes if channel.label == "find"
]
USUAL = SETTINGS.envelope
TIGHT = Envelope(retry_ratio=0.05, retry_slack=5)
SERVERS = tuple(pr.ServerEntry(f"s{number}", "a") for number in range(6))
LASTS_S, MOST_NODES = 40.0, 8
#: How long after a change of their number all nodes know it.
LEARN_S = 1.5


@dataclass
class Fleet:
    """Nodes that share the budget, on a clock of their own."""

    alive: list[int]
    failing: float
    """The share of attempts that end in a reset, which proves that nothing ran."""
    rng: random.Random
    envelope: Envelope = USUAL
    balancers: dict[int, Balancer] = field(default_factory=dict)
    events: list[tuple[float, int, object]] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    firsts_s: list[float] = field(default_factory=list)
    again_s: list[float] = field(default_factory=list)
    tries: Counter[str] = field(default_factory=Counter)

    def at(self, at_s: float, what: object) -> None:
        heapq.heappush(self.events, (at_s, next(self.numbers), what))

    def settings(self, node: int, fronts: int) -> pr.Settings:
        return balancer_settings(CHANNELS, replace(SETTINGS, envelope=self.envelope), fronts, node)

    def start(self, node: int, now_s: float) -> None:
        """A node that starts is told how many there are, itself with them."""
        self.balancers[node] = Balancer(self.settings(node, len(self.alive)), node)
        self.take(node, now_s, pr.ListChanged(1, pr.ListScope.WHOLE, SERVERS))

    def take(self, node: int, now_s: float, event: object) -> None:
        balancer = self.balancers[node]
        for action in balancer.handle(int(now_s * 1e6), event):  # type: ignore[arg-type]
            if isinstance(action, pr.Send):
                number = self.tries[action.request]
                self.tries[action.request] += 1
                (self.again_s if number else self.firsts_s).append(now_s)
                ending = pr.AttemptOutcome.RESET if self.rng.random() < self.failing else pr.AttemptOutcome.OK
                ended = pr.AttemptEnded(
                    action.request, number, action.server, ending, 20_000, ending is pr.AttemptOutcome.OK
                )
                self.at(now_s + 0.02, (node, balancer, ended))
            elif isinstance(action, pr.SetTimer):
                self.at(now_s + action.delay_us / 1e6, (node, balancer, pr.TimerFired(action.token)))

    def change(self, now_s: float, kind: str) -> None:
        """A node ends, or one comes; the others hear of it a little later."""
        if kind == "kill" and len(self.alive) > 1:
            del self.balancers[self.alive.pop(0)]
        elif kind == "add" and len(self.alive) < MOST_NODES:
            node = next(number for number in range(MOST_NODES) if number not in self.alive)
            self.alive.append(node)
            self.start(node, now_s)
        elif kind == "restart":
            self.start(self.alive[0], now_s)
        self.at(now_s + LEARN_S, "learn")

    def run(self) -> None:
        while self.events:
            now_s, _, what = heapq.heappop(self.events)
            if now_s > LASTS_S + 2.0:
                return
            if what == "learn":
                for node in self.alive:
                    self.take(node, now_s, pr.SettingsChanged(self.settings(node, len(self.alive))))
            elif isinstance(what, str):
                self.change(now_s, what)
            elif isinstance(what, int):
                self.arrive(now_s, what)
            elif isinstance(what, tuple):
                node, balancer, event = what
                if self.balancers.get(node) is balancer:  # else it belongs to an earlier life
                    self.take(node, now_s, event)

    def arrive(self, now_s: float, place: int) -> None:
        node = self.alive[place % len(self.alive)]
        request = pr.RequestArrived(
            f"r{next(self.numbers)}", self.settings(node, 1).classes[0].name, int((now_s + 5.0) * 1e6)
        )
        self.take(node, now_s, request)


def over_budget(fleet: Fleet, envelope: Envelope = USUAL) -> float:
    """By how much the worst window of all goes over what is allowed; 0 or less is within it."""
    worst, window_s = -envelope.retry_slack, envelope.retry_window_s

    def count(times_s: list[float], end_s: float) -> int:
        return bisect_right(times_s, end_s) - bisect_right(times_s, end_s - window_s)

    for end_s in fleet.again_s:
        firsts = max(count(fleet.firsts_s, end_s - back_s) for back_s in (0.0, window_s, window_s / 2))
        worst = max(worst, count(fleet.again_s, end_s) - envelope.retry_ratio * firsts - envelope.retry_slack)
    return worst


@st.composite
def days(draw: st.DrawFn) -> Fleet:
    """Load that comes in spells, each to some of the nodes; now and then one of them ends, restarts or comes."""
    seed = draw(st.integers(0, 2**32))
    fleet = Fleet(
        list(range(draw(st.integers(1, MOST_NODES)))), draw(st.sampled_from([0.1, 0.25, 0.45])), random.Random(seed)
    )
    for node in fleet.alive:
        fleet.start(node, 0.0)
    at_s = 0.0
    while at_s < LASTS_S:
        lasts_s = draw(st.floats(0.5, 8.0))
        rate, nodes = draw(st.sampled_from([0, 5, 30, 100])), draw(st.integers(1, MOST_NODES))
        for number in range(int(rate * lasts_s)):
            fleet.at(at_s + number / rate, fleet.rng.randrange(nodes))
        if draw(st.booleans()):
            fleet.at(at_s, draw(st.sampled_from(["kill", "add", "restart"])))
        at_s += lasts_s
    return fleet


@settings(max_examples=40, deadline=None, derandomize=True)
@given(days())
def test_the_fleet_spends_no_more_than_its_budget_in_any_window(fleet: Fleet) -> None:
    fleet.run()
    assert over_budget(fleet) <= 0.0


def steady(nodes: int, failing: float, change: str = "", envelope: Envelope = USUAL) -> Fleet:
    fleet = Fleet(list(range(nodes)), failing, random.Random(1), envelope)
    for node in fleet.alive:
        fleet.start(node, 0.0)
    for number in range(int(60 * LASTS_S)):
        fleet.at(number / 60, fleet.rng.randrange(nodes))
    if change:
        for at_s in range(2, int(LASTS_S), 2):
            fleet.at(at_s, change)
    fleet.run()
    return fleet


def test_the_budget_is_used_where_it_is_needed() -> None:
    """Staying within it is no art for one that never retries: under steady failures most of the ratio is spent."""
    fleet = steady(4, 0.25)
    firsts = len(fleet.firsts_s)
    assert 0.12 * firsts < len(fleet.again_s) <= USUAL.retry_ratio * firsts + USUAL.retry_slack


def test_nodes_that_restart_again_and_again_earn_their_budget_anew() -> None:
    assert over_budget(steady(6, 0.45, "restart")) <= 0.0


def test_a_tighter_budget_is_kept_and_the_model_notices_one_that_is_not() -> None:
    assert over_budget(steady(MOST_NODES, 0.25, envelope=TIGHT), TIGHT) <= 0.0
    assert over_budget(steady(MOST_NODES, 0.25), TIGHT) > 0.0
