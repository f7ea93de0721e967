"""Two operators who read and replace the configuration, one call at a time each, retried until it is answered."""

from __future__ import annotations

from cypressbeam.protocol import frames
from lab.histories.invariants import Call, revision
from lab.histories.network import CLIENT
from lab.histories.plans import OPERATORS
from lab.histories.simulated_core import SimulatedCore

#: An operator retries a call at this interval, and gives it up after the timeout.
RETRY_S, CALL_TIMEOUT_S = 0.3, 4.0
#: Pause between the calls of an operator in a burst of changes.
BURST_GAP_S = (0.001, 0.01)
#: The share of replacements among the calls of a burst.
BURST_WRITE_SHARE = 0.95


class Callers:
    """The operators' calls, by `send_call` and `start_next_call` events of the core that they call."""

    def __init__(self, core: SimulatedCore) -> None:
        self.core = core
        self.calls: dict[int, Call] = {}
        self.known: dict[str, int] = {}
        """The newest revision that each operator has seen."""
        self.open: dict[str, int] = {}
        """The number of each operator's call in progress."""
        self.burst_until_s: dict[str, float] = {}
        """When the burst of an operator ends."""
        core.handlers |= {"send_call": self.send_call, "start_next_call": self.start_next_call}

    def call(self, operator: str, kind: str) -> None:
        """Start a call, unless the operator's previous one is still in progress."""
        if operator in self.open:
            return
        ident = next(self.core.numbers) + 1
        known = self.known.get(operator, 0)
        call = self.calls[ident] = Call(ident, operator, kind, self.core.now_s, base=known)
        if kind == "replace":
            call.body = b"%d:%s%d" % ((known // 10 + 1) * 10 + OPERATORS.index(operator), operator.encode(), ident)
        self.open[operator] = ident
        self.send_call(ident)

    def close(self, operator: str) -> None:
        """End a call. In a burst the next one follows at once."""
        del self.open[operator]
        if self.core.now_s < self.burst_until_s.get(operator, 0.0):
            self.core.at(self.core.rng.uniform(*BURST_GAP_S), "start_next_call", operator)

    def start_next_call(self, operator: str) -> None:
        """Start the next call of a burst."""
        self.call(operator, "replace" if self.core.rng.random() < BURST_WRITE_SHARE else "read")

    def send_call(self, ident: int) -> None:
        """Send a call to a random machine, and again until it is answered or given up."""
        call, core = self.calls[ident], self.core
        if self.open.get(call.operator) != ident:
            return
        if core.now_s - call.began_s > CALL_TIMEOUT_S:
            self.close(call.operator)
            return
        if core.replicas:
            frame = (
                frames.WriteRequest(ident, CLIENT, call.base, call.body)
                if call.kind == "replace"
                else frames.ReadRequest(ident, CLIENT)
            )
            core.send(CLIENT, core.rng.choice(sorted(core.replicas)), frame)
        core.at(RETRY_S, "send_call", ident)

    def answer(self, frame: frames.WriteResult | frames.ReadResult) -> None:
        """Handle a reply; after a 503 the call is retried."""
        call = self.calls[frame.request_id]
        if self.open.get(call.operator) != frame.request_id or frame.status == 503:
            return
        self.close(call.operator)
        call.ended_s, call.status = self.core.now_s, frame.status
        if isinstance(frame, frames.ReadResult):
            call.seen = revision(frame.body) if frame.body else 0
            call.body = frame.body
        elif frame.status == 200:
            call.seen = revision(call.body)
        elif frame.status == 412:
            call.seen = int(frame.text.rpartition(" ")[2])
        call.text = frame.text if isinstance(frame, frames.WriteResult) else ""
        if call.seen is not None:
            self.known[call.operator] = call.seen

    def finish(self, operator: str, kind: str) -> int:
        """Make one more call and run until it ends. Returns its status, or 0 without an answer."""
        self.open.pop(operator, None)
        self.call(operator, kind)
        ident = self.open[operator]
        until_s = self.core.now_s + CALL_TIMEOUT_S
        while self.open.get(operator) == ident and self.core.now_s < until_s:
            self.core.step()
        return self.calls[ident].status
