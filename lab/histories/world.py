"""A simulated core with the faults of a plan, two operators, and optionally many more."""

from __future__ import annotations

import random
from typing import Any, Protocol

from cypressbeam.consensus.views import Entry
from cypressbeam.protocol import frames
from lab.histories.callers import Callers
from lab.histories.fault_injection import KINDS
from lab.histories.plans import Step
from lab.histories.simulated_core import SimulatedCore

#: With many operators: the share of refused writes that the disk keeps.
KEPT_FAILED_WRITES = 0.5


class LoadGenerator(Protocol):
    """Further operators (operators.py); `on` handles their events."""

    rng: random.Random

    def on(self, what: str, *given: Any) -> None: ...

    def owns(self, ident: int) -> bool: ...

    def answer(self, frame: frames.WriteResult) -> None: ...

    def begin(self, until_s: float) -> None: ...

    def finish(self) -> None: ...


class World(SimulatedCore):
    """Executes the steps of a plan as `begin` and `end` events."""

    def __init__(self, seed: int, **options: Any) -> None:
        """The options are those of `SimulatedCore`."""
        super().__init__(seed, **options)
        self.callers = Callers(self)
        self.many_operators: LoadGenerator | None = None
        self.handlers |= {
            "operators": self.on_operator_event,
            "begin": lambda _, step: self.begin(step),
            "end": lambda _, step: self.end(step),
        }

    def begin(self, step: Step) -> None:
        """Begin a step of the plan: a call, or a fault that ends later."""
        self.trace.append(f"{step.at_s:7.3f} {step.kind} {step.where} {step.for_s:.3f}")
        if step.kind in ("read", "replace"):
            self.callers.call(step.where, step.kind)
        elif step.kind == "burst":
            self.callers.burst_until_s[step.where] = step.at_s + step.for_s
            self.callers.start_next_call(step.where)
        else:
            self.disk_snapshots.take(self.disks)
            KINDS[step.kind].begin(self, step)
            self.at(step.for_s, "end", "", step)

    def end(self, step: Step) -> None:
        """End a fault."""
        KINDS[step.kind].end(self, step)

    def on_operator_event(self, what: str, *given: Any) -> None:
        """Pass an event to the further operators."""
        if self.many_operators is not None:
            self.many_operators.on(what, *given)

    def keeps_refused_write(self) -> bool:
        """With many operators, as drawn; otherwise never."""
        return self.many_operators is not None and self.many_operators.rng.random() < KEPT_FAILED_WRITES

    def answer(self, frame: frames.Frame) -> None:
        """Pass a reply to the operators that made the call."""
        assert isinstance(frame, (frames.WriteResult, frames.ReadResult))
        if (
            self.many_operators is not None
            and isinstance(frame, frames.WriteResult)
            and self.many_operators.owns(frame.request_id)
        ):
            self.many_operators.answer(frame)
        else:
            self.callers.answer(frame)

    def chain(self) -> dict[int, Entry]:
        """The committed entries, by number."""
        calls = self.callers.calls.values()
        return self.observer.chain({call.body for call in calls if call.status == 200})
