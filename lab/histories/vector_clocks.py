"""Vector clocks of the simulated machines (Fidge 1988, Mattern 1989).

They prove up to when a machine was in contact with a majority, whatever its own rules make of the messages. Pure.
"""

from __future__ import annotations

#: The latest known time of each machine, by its address.
VectorTime = dict[str, float]
NEVER_S = float("-inf")


class VectorClocks:
    """The vector clock of each machine, and what others have echoed of its own time."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.known: dict[str, VectorTime] = {name: {} for name in names}
        """By machine: the latest time of each other one of which it has read, at any remove."""
        self.echoed: dict[str, VectorTime] = {name: {} for name in names}
        """By machine: its own latest time that each other one had read when it sent what was read here."""

    def on_send(self, name: str, now_s: float) -> VectorTime:
        """The vector time that goes with a message."""
        self.known[name][name] = now_s
        return self.known[name].copy()

    def on_read(self, name: str, origin: str, received: VectorTime) -> None:
        """A machine has read a message and merges its vector time."""
        known, echoed = self.known[name], self.echoed[name]
        echoed[origin] = max(echoed.get(origin, NEVER_S), received.get(name, NEVER_S))
        for other, at_s in received.items():
            if at_s > known.get(other, NEVER_S):
                known[other] = at_s

    def contact_s(self, name: str, group: tuple[str, ...], now_s: float) -> float:
        """Up to when a majority of the group is proven to have been in reach of a machine."""
        times_s = sorted(
            (now_s if other == name else self.echoed[name].get(other, NEVER_S) for other in group), reverse=True
        )
        return times_s[len(group) // 2] if group else NEVER_S
