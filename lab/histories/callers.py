"""Two operators who read and replace the configuration, a call at a time each, sent again until it is answered."""

from __future__ import annotations

from cypressbeam.protocol import frames
from lab.histories.invariants import Call, revision
from lab.histories.network import CLIENT
from lab.histories.plans import OPERATORS
from lab.histories.simulated_core import SimulatedCore

#: An operator sends a call again after so long, and gives it up after its patience. One in a hurry calls again so soon.
AGAIN_S, PATIENCE_S = 0.3, 4.0
HURRY_S = (0.001, 0.01)
#: The share of replacements among the calls of one in a hurry.
HURRIED_REPLACEMENTS = 0.95


class Callers:
    """The operators' calls, by `press` and `hurry` events of the core that they call."""

    def __init__(self, core: SimulatedCore) -> None:
        self.core = core
        self.calls: dict[int, Call] = {}
        self.known: dict[str, int] = {}
        """The newest revision that each operator has seen."""
        self.open: dict[str, int] = {}
        """The number of each operator's call that is under way."""
        self.hurried: dict[str, float] = {}
        """Until when an operator calls again at once."""
        core.handlers |= {"press": self.press, "hurry": self.hurry}

    def call(self, operator: str, kind: str) -> None:
        """Begin a call, unless the operator is still at the one before."""
        if operator in self.open:
            return
        ident = next(self.core.numbers) + 1
        known = self.known.get(operator, 0)
        call = self.calls[ident] = Call(ident, operator, kind, self.core.now_s, base=known)
        if kind == "replace":
            call.body = b"%d:%s%d" % ((known // 10 + 1) * 10 + OPERATORS.index(operator), operator.encode(), ident)
        self.open[operator] = ident
        self.press(ident)

    def close(self, operator: str) -> None:
        """A call has ended. One in a hurry makes the next at once."""
        del self.open[operator]
        if self.core.now_s < self.hurried.get(operator, 0.0):
            self.core.at(self.core.rng.uniform(*HURRY_S), "hurry", operator)

    def hurry(self, operator: str) -> None:
        """The next call of one in a hurry."""
        self.call(operator, "replace" if self.core.rng.random() < HURRIED_REPLACEMENTS else "read")

    def press(self, ident: int) -> None:
        """Send a call, again until it is answered or given up, each time to any machine."""
        call, core = self.calls[ident], self.core
        if self.open.get(call.operator) != ident:
            return
        if core.now_s - call.began_s > PATIENCE_S:
            self.close(call.operator)
            return
        if core.replicas:
            frame = (
                frames.WriteRequest(ident, CLIENT, call.base, call.body)
                if call.kind == "replace"
                else frames.ReadRequest(ident, CLIENT)
            )
            core.send(CLIENT, core.rng.choice(sorted(core.replicas)), frame)
        core.at(AGAIN_S, "press", ident)

    def answer(self, frame: frames.WriteResult | frames.ReadResult) -> None:
        """A reply; 503 asks for the call to be sent again."""
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
        """One more call, to its end; what it ends with, or 0."""
        self.open.pop(operator, None)
        self.call(operator, kind)
        ident = self.open[operator]
        until_s = self.core.now_s + PATIENCE_S
        while self.open.get(operator) == ident and self.core.now_s < until_s:
            self.core.step()
        return self.calls[ident].status
