"""Whom a node asks for the root of the relays, and when. Pure: times in seconds of a steady clock.

All that may know are asked one after another, a short step apart, whether or not those before have answered: a machine
that is cut off says nothing, or names nobody, and must not keep the others from their turn. One that names nobody ends
its step at once. A round is over once all were asked; a new one begins after a pause.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

#: Between two that are asked, and after one that names nobody.
STEP_S, AT_ONCE_S = 0.1, (0.005, 0.03)
#: From the last one of a round to the next round.
PAUSE_S = (0.1, 0.2)
#: A whole fleet that looks for the root at once asks no more often than this, all nodes and machines together.
ASKS_PER_S = 6000.0


class Search:
    """One node's search. It goes on over its rounds until `over` is told."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.round: set[str] = set()
        """Who was asked in this round."""
        self.open: set[str] = set()
        """Those of them that have not answered."""
        self.due_s = 0.0

    def over(self) -> None:
        """The root is found: the next search begins anew, with its first step at once."""
        self.round.clear()
        self.open.clear()
        self.due_s = 0.0

    def next(
        self, now_s: float, group: Sequence[str], seeds: Sequence[str], fleet: int, chance: random.Random
    ) -> str | None:
        """Whom to ask now: one of the group by chance, then the seeds in their order. `fleet` is the number of nodes,
        as far as it is known. None: nobody, or not yet."""
        if now_s < self.due_s:
            return None
        if not self.left([*group, *seeds]):
            self.round.clear()
        near = self.left(group)
        target = chance.choice(near) if near else next(iter(self.left(seeds)), None)
        if target is None:
            return None
        self.round.add(target)
        self.open.add(target)
        step_s = max(STEP_S, fleet / ASKS_PER_S) * chance.uniform(0.8, 1.1)
        if not self.left([*group, *seeds]):
            step_s = max(step_s, chance.uniform(*PAUSE_S))
        self.due_s = now_s + step_s
        return target

    def left(self, known: Sequence[str]) -> list[str]:
        return [ip for ip in dict.fromkeys(known) if ip != self.me and ip not in self.round]

    def no_help(self, ip: str, now_s: float, known: Sequence[str], chance: random.Random) -> float | None:
        """One that was asked names nobody, or can't be reached: seconds until the next may be asked, if any of those
        that are known is left in this round, and that is sooner than planned."""
        if ip not in self.open:
            return None
        self.open.discard(ip)
        soon_s = chance.uniform(*AT_ONCE_S)
        if not self.left(known) or now_s + soon_s >= self.due_s:
            return None
        self.due_s = now_s + soon_s
        return soon_s
