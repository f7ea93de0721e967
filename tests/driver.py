"""A test driver for one balancer, without a model of servers, that checks the four rules.

Rule 1: each request has exactly one final answer, in time. Rule 2: a request isn't executed twice unless its class
allows that. Rule 3: a draining or removed server gets no new attempts. Rule 4: a cold server isn't overloaded. Rules 1
to 3 are asserted as events are fed in; `Driver.peak_sends` measures rule 4.
"""

from __future__ import annotations

from typing import Any

from cypressbeam import balancing

MS = 1000
S = 1_000_000

SAFE = balancing.RequestClass("safe", balancing.Repeat.SAFE, latency_target_us=500 * MS, deadline_us=1 * S)
ZONED = balancing.RequestClass(
    "zoned",
    balancing.Repeat.KEYED,
    latency_target_us=500 * MS,
    deadline_us=2 * S,
    group=balancing.Group.ZONE,
    window_us=400 * MS,
)
CELLED = balancing.RequestClass(
    "celled",
    balancing.Repeat.KEYED,
    latency_target_us=500 * MS,
    deadline_us=2 * S,
    group=balancing.Group.CELL,
    window_us=400 * MS,
)
ANYWHERE = balancing.RequestClass(
    "anywhere",
    balancing.Repeat.KEYED,
    latency_target_us=500 * MS,
    deadline_us=2 * S,
    group=balancing.Group.ALL,
    window_us=400 * MS,
)
UNSAFE = balancing.RequestClass("unsafe", balancing.Repeat.UNSAFE, latency_target_us=500 * MS, deadline_us=2 * S)
STREAM = balancing.RequestClass(
    "stream", balancing.Repeat.SAFE, latency_target_us=500 * MS, deadline_us=1 * S, streamed=True
)
CLASSES = (SAFE, ZONED, CELLED, ANYWHERE, UNSAFE, STREAM)


def settings(**changes: Any) -> balancing.Settings:
    defaults: dict[str, Any] = {
        "classes": CLASSES,
        "proxies": 3,
        "own_name": 0,
        "zone": "a",
        "max_attempts": 4,
        "drain_grace_us": 500 * MS,
        "cold_share": 0.2,
        "cold_us": 10 * S,
        "fall_multiple": 3.0,
        "fall_us": 2 * S,
        "answer_slack_us": 16 * MS,
        "tick_us": 4 * MS,
        "reports": ("queue", "latency_ms"),
        "weights": balancing.WeightMeaning.NONE,
    }
    return balancing.Settings(**{**defaults, **changes})


def entry(
    name: str,
    zone: str = "a",
    cell: int = 0,
    state: balancing.ServerState = balancing.ServerState.ACTIVE,
    weight: float = 1.0,
    started_us: int = 0,
) -> balancing.ServerEntry:
    return balancing.ServerEntry(name, zone, cell, state, weight, started_us)


class Driver:
    """Feeds events to a balancer, records its actions and raises AssertionError if one breaks a rule."""

    def __init__(self, config: balancing.Settings, seed: int = 1, now_us: int = 100 * S) -> None:
        self.config = config
        self.balancer = balancing.Balancer(config, seed)
        self.now_us = now_us
        self.classes = {k.name: k for k in config.classes}
        self.listed: dict[str, balancing.ServerEntry] = {}
        self.inactive_since_us: dict[str, int] = {}
        self.unanswered: dict[str, balancing.RequestArrived] = {}
        self.arrived: dict[str, balancing.RequestArrived] = {}
        self.ended: set[str] = set()
        self.attempts: dict[str, list[tuple[str, int, balancing.AttemptOutcome | None]]] = {}
        self.timers: list[tuple[int, int]] = []
        self.action_log: list[tuple[int, balancing.Action]] = []
        self.final_answers: dict[str, list[balancing.Action | str]] = {}
        self.request_count = 0

    # Events

    def feed(self, event: balancing.Event) -> list[balancing.Action]:
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.action_log.append((self.now_us, action))
            self.check(action)
        return actions

    def update_list(
        self, *entries: balancing.ServerEntry, scope: balancing.ListScope = balancing.ListScope.WHOLE
    ) -> list[balancing.Action]:
        if scope in (balancing.ListScope.WHOLE, balancing.ListScope.SAVED):
            for name in self.listed:
                if name not in {update.server for update in entries}:
                    self.inactive_since_us.setdefault(name, self.now_us)
        for update in entries:
            self.listed[update.server] = update
            if update.state is balancing.ServerState.ACTIVE:
                self.inactive_since_us.pop(update.server, None)
            else:
                self.inactive_since_us.setdefault(update.server, self.now_us)
        return self.feed(balancing.ListChanged(1, scope, entries))

    def arrive(
        self,
        request_class: balancing.RequestClass = SAFE,
        time_left_us: int | None = None,
        key: str | None = None,
        hint_us: int | None = None,
        is_client_retry: bool = False,
    ) -> str:
        self.request_count += 1
        name = f"r{self.request_count}"
        time_left_us = request_class.deadline_us if time_left_us is None else time_left_us
        event = balancing.RequestArrived(
            name, request_class.name, self.now_us + time_left_us, None, key, hint_us, is_client_retry
        )
        self.unanswered[name] = self.arrived[name] = event
        self.attempts[name] = []
        self.feed(event)
        return name

    def end_attempt(
        self,
        name: str,
        outcome: balancing.AttemptOutcome,
        attempt: int | None = None,
        report: balancing.Report | None = None,
    ) -> list[balancing.Action]:
        in_flight = [i for i, a in enumerate(self.attempts[name]) if a[2] is None]
        number = in_flight[0] if attempt is None else attempt
        server, sent_us, previous = self.attempts[name][number]
        assert previous is None
        self.attempts[name][number] = (server, sent_us, outcome)
        final = name not in self.unanswered or outcome is balancing.AttemptOutcome.OK
        if outcome is balancing.AttemptOutcome.OK and name in self.unanswered:
            self.final_answers.setdefault(name, []).append("served")
            del self.unanswered[name]
            self.ended.add(name)
        return self.feed(balancing.AttemptEnded(name, number, server, outcome, self.now_us - sent_us, final, report))

    def disconnect(self, name: str) -> list[balancing.Action]:
        self.unanswered.pop(name, None)
        self.ended.add(name)
        return self.feed(balancing.ClientGone(name))

    def advance(self, span_us: int) -> list[balancing.Action]:
        """Advance the clock: timers fire and attempts time out when due."""
        until_us = self.now_us + span_us
        seen = len(self.action_log)
        while True:
            due = [(at, "timer", token, "") for at, token in self.timers]
            for name, tries in self.attempts.items():
                for number, (_, _, outcome) in enumerate(tries):
                    if outcome is None:
                        due.append((self.timeout_at_us(name, number), "attempt", number, name))
            due = sorted(d for d in due if d[0] <= until_us)
            if not due:
                break
            at, what, number, name = due[0]
            self.now_us = max(self.now_us, at)
            if what == "timer":
                self.timers.remove((at, number))
                self.feed(balancing.TimerFired(number))
            else:
                self.end_attempt(name, balancing.AttemptOutcome.TIMEOUT, number)
        self.now_us = until_us
        self.check_overdue()
        return [a for _, a in self.action_log[seen:]]

    def timeout_at_us(self, name: str, number: int) -> int:
        _, sent_us, _ = self.attempts[name][number]
        sends = [a for _, a in self.action_log if isinstance(a, balancing.Send) and a.request == name]
        timeout_us = sends[number].timeout_us
        deadline_us = self.arrived[name].give_up_at_us
        return min(sent_us + timeout_us, deadline_us) if timeout_us > 0 else deadline_us

    # Results

    def sends(self, name: str) -> list[str]:
        return [a.server for _, a in self.action_log if isinstance(a, balancing.Send) and a.request == name]

    def answers(self, name: str) -> list[type]:
        return [type(a) for a in self.final_answers.get(name, []) if not isinstance(a, str)]

    # The four rules

    def check_overdue(self) -> None:
        for name, event in self.unanswered.items():
            overdue_us = self.now_us - event.give_up_at_us
            assert overdue_us <= self.config.answer_slack_us, f"{name} has no final answer by its deadline (rule 1)"

    def check(self, action: balancing.Action) -> None:
        if isinstance(action, balancing.SetTimer):
            assert action.delay_us > 0
            self.timers.append((self.now_us + action.delay_us, action.token))
        elif isinstance(action, balancing.Send):
            self.check_send(action)
        elif isinstance(action, (balancing.Refuse, balancing.Fail)):
            name = action.request
            assert name in self.unanswered, f"{name} is answered twice or is unknown (rule 1)"
            if isinstance(action, balancing.Refuse):
                self.check_refusal(name)
            self.final_answers.setdefault(name, []).append(action)
            del self.unanswered[name]
            self.ended.add(name)
        elif isinstance(action, balancing.Cancel):
            assert self.config.may_cancel, "a cancel where none is allowed"
            assert action.attempt < len(self.attempts[action.request]), "cancels an attempt that was never sent"
        elif isinstance(action, balancing.Probe):
            assert self.config.may_probe and action.server in self.listed
        elif isinstance(action, balancing.SendMessage):
            assert self.config.may_message

    def may_have_run(self, name: str) -> list[tuple[str, int]]:
        return [
            (server, sent)
            for server, sent, outcome in self.attempts[name]
            if outcome not in balancing.interface.NEVER_RAN
        ]

    def check_send(self, action: balancing.Send) -> None:
        name, request_class = action.request, self.classes[self.arrived[action.request].class_name]
        assert name in self.unanswered, f"{name} is sent after its final answer (rule 1)"
        assert action.server in self.listed, "sent to a server that no list contained"
        assert action.timeout_us >= 0
        assert len(self.attempts[name]) < self.config.max_attempts
        in_flight = [a for a in self.attempts[name] if a[2] is None]
        assert self.config.may_overlap or not in_flight, f"{name} has two attempts in flight (rule 2)"
        executed = self.may_have_run(name)
        if executed and request_class.repeat is balancing.Repeat.UNSAFE:
            raise AssertionError(f"{name} may run twice (rule 2)")
        if executed and request_class.repeat is balancing.Repeat.KEYED:
            first, sent_us = executed[0]
            assert self.now_us < sent_us + request_class.window_us, (
                f"{name} is sent again after its deduplication window (rule 2)"
            )
            target, first_entry = self.listed[action.server], self.listed[first]
            same_group = {
                balancing.Group.ALL: True,
                balancing.Group.ZONE: target.zone == first_entry.zone,
                balancing.Group.CELL: target.cell == first_entry.cell,
            }[request_class.group]
            assert same_group, f"{name} is sent outside its deduplication group (rule 2)"
        inactive_since_us = self.inactive_since_us.get(action.server)
        overdue = inactive_since_us is not None and self.now_us - inactive_since_us > self.config.drain_grace_us
        assert not overdue, f"{action.server} is draining and is sent work (rule 3)"
        self.attempts[name].append((action.server, self.now_us, None))

    def check_refusal(self, name: str) -> None:
        request_class = self.classes[self.arrived[name].class_name]
        if self.may_have_run(name) and request_class.repeat is not balancing.Repeat.SAFE:
            assert request_class.repeat is balancing.Repeat.KEYED and request_class.group is balancing.Group.ALL, (
                f"{name} is refused although it may have been executed (rule 2)"
            )

    def peak_sends(self, server: str) -> int:
        """The largest number of attempts sent to a server within any span of `Settings.fall_us` (rule 4)."""
        at = sorted(sent for tries in self.attempts.values() for name, sent, _ in tries if name == server)
        return max((sum(1 for x in at if a <= x < a + self.config.fall_us) for a in at), default=0)
