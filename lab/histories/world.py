"""A simulated core with all that acts on it: the troubles of a plan, two operators, and a crowd if one is set."""

from __future__ import annotations

import random
from typing import Any, Protocol

from cypressbeam.consensus.views import Entry
from cypressbeam.protocol import frames
from lab.histories.callers import Callers
from lab.histories.fault_injection import KINDS
from lab.histories.plans import Step
from lab.histories.simulated_core import SimulatedCore

#: With a crowd: the share of refused writes that are on the disk all the same.
KEPT_THOUGH_REFUSED = 0.5


class LoadGenerator(Protocol):
    """Operators beside the two (operators.py): their events come to `on`."""

    rng: random.Random

    def on(self, what: str, *given: Any) -> None: ...

    def sent(self, ident: int) -> bool: ...

    def answer(self, frame: frames.WriteResult) -> None: ...

    def begin(self, until_s: float) -> None: ...

    def finish(self) -> None: ...


class World(SimulatedCore):
    """Takes the steps of a plan by `begin` and `end` events."""

    def __init__(self, seed: int, **options: Any) -> None:
        """The options are those of `SimulatedCore`."""
        super().__init__(seed, **options)
        self.callers = Callers(self)
        self.crowd: LoadGenerator | None = None
        self.handlers |= {
            "crowd": self.on_crowd,
            "begin": lambda _, step: self.begin(step),
            "end": lambda _, step: self.end(step),
        }

    def begin(self, step: Step) -> None:
        """A step of the plan: a call, or a trouble and later its end."""
        self.trace.append(f"{step.at_s:7.3f} {step.kind} {step.where} {step.for_s:.3f}")
        if step.kind in ("read", "replace"):
            self.callers.call(step.where, step.kind)
        elif step.kind == "hurry":
            self.callers.hurried[step.where] = step.at_s + step.for_s
            self.callers.hurry(step.where)
        else:
            self.copies_of_disks.take(self.disks)
            KINDS[step.kind].begin(self, step)
            self.at(step.for_s, "end", "", step)

    def end(self, step: Step) -> None:
        """A trouble's end."""
        KINDS[step.kind].end(self, step)

    def on_crowd(self, what: str, *given: Any) -> None:
        """An event of the crowd's."""
        if self.crowd is not None:
            self.crowd.on(what, *given)

    def keeps_refused_write(self) -> bool:
        """Where a crowd calls, half of the time."""
        return self.crowd is not None and self.crowd.rng.random() < KEPT_THOUGH_REFUSED

    def answer(self, frame: frames.Frame) -> None:
        """A reply, to whoever has called."""
        assert isinstance(frame, (frames.WriteResult, frames.ReadResult))
        if self.crowd is not None and isinstance(frame, frames.WriteResult) and self.crowd.sent(frame.request_id):
            self.crowd.answer(frame)
        else:
            self.callers.answer(frame)

    def chain(self) -> dict[int, Entry]:
        """What was committed, by number."""
        calls = self.callers.calls.values()
        return self.observer.chain({call.body for call in calls if call.status == 200})
