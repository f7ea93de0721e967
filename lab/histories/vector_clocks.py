"""Vector clocks of the simulated machines (Fidge 1988, Mattern 1989).

They prove when a machine was last in contact with a majority, independently of its own failure detection. Pure.
"""

from __future__ import annotations

#: The latest known time of each machine, by its address.
VectorTime = dict[str, float]
NEVER_S = float("-inf")


class VectorClocks:
    """The vector clock of each machine, and the latest of its own times that others have echoed."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.known: dict[str, VectorTime] = {name: {} for name in names}
        """By machine: the latest time of each other one that it has learned of, directly or through others."""
        self.echoed: dict[str, VectorTime] = {name: {} for name in names}
        """By machine: the latest of its own times that each other one had read when it sent a message read here."""

    def on_send(self, name: str, now_s: float) -> VectorTime:
        """The vector time to send with a message."""
        self.known[name][name] = now_s
        return self.known[name].copy()

    def on_read(self, name: str, origin: str, received: VectorTime) -> None:
        """Merge the vector time of a message that a machine has read."""
        known, echoed = self.known[name], self.echoed[name]
        echoed[origin] = max(echoed.get(origin, NEVER_S), received.get(name, NEVER_S))
        for other, at_s in received.items():
            if at_s > known.get(other, NEVER_S):
                known[other] = at_s

    def contact_s(self, name: str, group: tuple[str, ...], now_s: float) -> float:
        """The latest time at which contact of a machine with a majority of the group is proven."""
        times_s = sorted(
            (now_s if other == name else self.echoed[name].get(other, NEVER_S) for other in group), reverse=True
        )
        return times_s[len(group) // 2] if group else NEVER_S
