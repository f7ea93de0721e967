"""A short soak of the whole system, and what its judge finds wrong."""

from __future__ import annotations

import dataclasses
import random

import pytest

from lab.soak.judge import Judge, Trouble, Try
from lab.soak.requests import DrawnRequest, draw_request
from lab.soak.run import Plan, soak
from lab.standins import Server
from tests.loopback import run


def test_a_short_soak_finds_nothing() -> None:
    """Guards the whole of a small system, restarted and reconfigured under unusual but proper clients."""
    report = run(soak(Plan(seed=1, minutes=0.4)))
    assert not report.findings, report.text()
    assert report.ends["200"] > 500 and report.steps["SIGTERM edge"] > 0


def test_the_same_seed_draws_the_same_requests() -> None:
    drawn = [[draw_request(rng, f"r{number}") for number in range(50)] for rng in (random.Random(7), random.Random(7))]
    assert drawn[0] == drawn[1]


READ = DrawnRequest("r", "GET", "/find/1", b"", b"GET", 1000, False)
BOOK = DrawnRequest("r", "POST", "/book/1", b"body", b"POST", 1000, False)
SOUND_RUN = (b"r", b"POST", b"/book/1", b"body")


async def find(one: Try, *runs: tuple[bytes, bytes, bytes, bytes], troubles: tuple[Trouble, ...] = ()) -> list[str]:
    """The rules that a judge finds broken."""
    server, judge = Server("p", ident="s"), Judge()
    server.ran += runs
    judge.tries.append(one)
    judge.troubles += troubles
    return [finding.partition(":")[0] for finding in judge.findings([server])]


def answered(request: DrawnRequest, status: int = 200, **changes: object) -> Try:
    """A try with a response; a sound one unless `changes` say otherwise."""
    headers = {"server-seal": "s.r", "attempt-id": "r"}
    body = f"from s: {request.method} {request.target}\n".encode()
    sound = Try(request, "edge-1", 1.0, 1.1, 1.2, status, headers, body)
    return dataclasses.replace(sound, **changes)  # type: ignore[arg-type]


CUT = Try(READ, "edge-1", 1.0, 1.1, 1.2)


@pytest.mark.parametrize(
    ("one", "runs", "expected"),
    [
        (answered(BOOK), [SOUND_RUN], []),
        (answered(BOOK), [SOUND_RUN, SOUND_RUN], ["TWICE"]),
        (answered(BOOK), [(b"r", b"POST", b"/book/1", b"")], ["UNASKED"]),
        (answered(BOOK), [SOUND_RUN, (b"other", b"GET", b"/find/1", b"")], ["UNASKED"]),
        (answered(BOOK, 503), [SOUND_RUN], ["REFUSED"]),
        (answered(BOOK, 503), [], []),
        (answered(READ, 503), [(b"r", b"GET", b"/find/1", b"")], []),
        (answered(READ, 404), [], ["DENIED"]),
        (answered(READ, body=b"from s: GET /find/2\n"), [], ["MIXED"]),
        (answered(READ, headers={"server-seal": "s.other", "attempt-id": "other"}), [], ["MIXED"]),
        (CUT, [(b"r", b"GET", b"/find/1", b"")], ["LOST"]),
        (CUT, [], []),
        (dataclasses.replace(CUT, ended_s=1.4), [], ["LOST"]),
        (dataclasses.replace(CUT, ended_s=1.4, left=True), [], []),
        (dataclasses.replace(CUT, sent_s=0.0, ended_s=1.4), [], []),
    ],
)
def test_the_judge_names_the_rule_that_broke(
    one: Try, runs: list[tuple[bytes, bytes, bytes, bytes]], expected: list[str]
) -> None:
    async def scenario() -> list[str]:
        return await find(one, *runs)

    assert run(scenario()) == expected


def test_a_stall_of_the_clients_excuses_only_as_much_time() -> None:
    async def scenario(ended_s: float) -> list[str]:
        judge = Judge()
        judge.tries.append(dataclasses.replace(CUT, ended_s=ended_s))
        judge.lags.append((1.3, 0.2))
        return [finding.partition(":")[0] for finding in judge.findings([])]

    assert run(scenario(1.45)) == [] and run(scenario(1.55)) == ["LOST"]


def test_a_killed_machine_excuses_what_it_cut() -> None:
    async def scenario() -> None:
        late = dataclasses.replace(CUT, ended_s=1.5)
        assert await find(late, troubles=(Trouble("edge-1", 1.3, 2.0),)) == []
        assert await find(late, troubles=(Trouble("edge-2", 1.3, 2.0),)) == ["LOST"]
        assert await find(late, troubles=(Trouble("edge-1", 1.6, 2.0),)) == ["LOST"]

    run(scenario())
