"""The judge of a soak: it knows what clients and servers saw, and when signals were sent, and nothing else."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from lab.soak.requests import DrawnRequest
from lab.standins import Server

#: Statuses that promise that a request did not run and never will (PROTOCOL.md, Answers).
PROMISES = frozenset({408, 421, 429, 503})
#: Seconds after its last byte in which a connection may still end on a request that was not passed on (lossSlackMs).
LOSS_SLACK_S = 0.2


@dataclass(slots=True)
class Try:
    """One request on its way, and how it ended at the client."""

    request: DrawnRequest
    machine: str
    began_s: float
    sent_s: float = 0.0
    """When its last byte was sent; 0 if it was not."""
    ended_s: float = 0.0
    status: int = 0
    """0: the connection ended, or the client's time was over."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    timed_out: bool = False
    left: bool = False
    """The client left on purpose."""


@dataclass(frozen=True, slots=True)
class Trouble:
    """A time in which the connections of a machine may break: it was killed, or its grace period is over."""

    machine: str
    from_s: float
    until_s: float


class Judge:
    """Collects the tries, and holds them against what the servers ran."""

    def __init__(self) -> None:
        self.tries: list[Try] = []
        self.troubles: list[Trouble] = []
        self.lags: list[tuple[float, float]] = []
        """When the clients' own event loop stood still, and for how many seconds."""

    def ends(self) -> Counter[str]:
        """How tries ended, for the report."""
        return Counter("left" if t.left else "timed out" if t.timed_out else str(t.status or "cut") for t in self.tries)

    def findings(self, servers: list[Server]) -> list[str]:
        """What broke a rule."""
        runs = [(server.ident, *run) for server in servers for run in server.ran]
        by_ident: Counter[str] = Counter(run[1].decode("latin-1") for run in runs)
        sent = {t.request.ident: t.request for t in self.tries}
        found = [finding for run in runs if (finding := judge_run(run, sent))]
        for one in self.tries:
            found += self.judge_try(one, by_ident[one.request.ident])
        return found

    def judge_try(self, one: Try, runs: int) -> list[str]:
        """What broke a rule at one try."""
        request = one.request
        found = []
        if not request.repeatable and runs > 1:
            found.append(f"TWICE: {request.ident} ran {runs} times")
        if not request.repeatable and one.status in PROMISES and runs:
            found.append(f"REFUSED: {request.ident} got {one.status} and ran")
        if 200 <= one.status < 300:
            found += judge_success(one)
        if one.status in (400, 401, 403, 404, 405, 413, 431, 501, 505):
            found.append(f"DENIED: {request.ident} got {one.status}: {request.message[:200]!r}")
        if self.is_lost(one, runs):
            found.append(
                f"LOST: {request.ident} at {one.machine} ({one.sent_s:.2f} to {one.ended_s:.2f} s, runs: {runs})"
            )
        return found

    def is_lost(self, one: Try, runs: int) -> bool:
        """Whether a connection ended on a request that had been read, with nothing that excuses it."""
        if one.status or one.timed_out or one.left or not one.sent_s:
            return False
        if any(t.machine == one.machine and t.from_s <= one.ended_s <= t.until_s for t in self.troubles):
            return False
        lag_s = sum(lag_s for at_s, lag_s in self.lags if one.sent_s <= at_s <= one.ended_s + lag_s)
        return runs > 0 or one.ended_s > one.sent_s + LOSS_SLACK_S + lag_s


def judge_run(run: tuple[str, bytes, bytes, bytes, bytes], sent: dict[str, DrawnRequest]) -> str:
    """What broke UNASKED at one run of a server; empty if nothing did."""
    server, ident, method, target, body = run
    request = sent.get(ident.decode("latin-1"))
    if request is None:
        return f"UNASKED: {server} ran {ident!r}, which no client sent"
    if (method.decode(), target.decode(), body) != (request.method, request.target, request.body):
        return f"UNASKED: {server} ran {method!r} {target!r} with {len(body)} bytes for {request.message[:300]!r}"
    return ""


def judge_success(one: Try) -> list[str]:
    """What broke MIXED at one success."""
    request = one.request
    server, _, ident = one.headers.get("server-seal", "").partition(".")
    expected = f"from {server}: {request.method} {request.target}\n".encode()
    if ident != request.ident or one.headers.get("attempt-id", request.ident) != request.ident:
        return [f"MIXED: {request.ident} got the answer to {ident}"]
    if request.method != "HEAD" and one.body != expected:
        return [f"MIXED: {request.ident} got {one.body!r} in place of {expected!r}"]
    return []
