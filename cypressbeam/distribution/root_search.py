"""Whom a node asks for the root of the relays, and when. Pure: times in seconds of a steady clock.

All that may know are asked one after another, a short step apart, whether or not those before have answered: a machine
that is cut off says nothing, or names nobody, and must not keep the others from their turn. One that names nobody ends
its step at once. A round is over once all were asked; a new one begins after a pause.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

#: Between two that are asked, and after one that names nobody.
STEP_INTERVAL_S, SKIP_DELAY_S = 0.1, (0.005, 0.03)
#: From the last one of a round to the next round.
ROUND_PAUSE_S = (0.1, 0.2)
#: A whole fleet that looks for the root at once asks no more often than this, all nodes and machines together.
MAX_REQUESTS_PER_S = 6000.0


class RootSearch:
    """One node's search. It goes on over its rounds until it is stopped."""

    def __init__(self, me: str) -> None:
        self.own_ip = me
        self.asked: set[str] = set()
        """Who was asked in this round."""
        self.unanswered: set[str] = set()
        """Those of them that have not answered."""
        self.due_s = 0.0

    def reset(self) -> None:
        """The root is found: the next search begins anew, with its first step at once."""
        self.asked.clear()
        self.unanswered.clear()
        self.due_s = 0.0

    def next_target(
        self, now_s: float, group: Sequence[str], seeds: Sequence[str], fleet: int, rng: random.Random
    ) -> str | None:
        """Whom to ask now: one of the group by chance, then the seeds in their order. `fleet` is the number of nodes,
        as far as it is known. None: nobody, or not yet."""
        if now_s < self.due_s:
            return None
        if not self.remaining([*group, *seeds]):
            self.asked.clear()
        near = self.remaining(group)
        target = rng.choice(near) if near else next(iter(self.remaining(seeds)), None)
        if target is None:
            return None
        self.asked.add(target)
        self.unanswered.add(target)
        step_s = max(STEP_INTERVAL_S, fleet / MAX_REQUESTS_PER_S) * rng.uniform(0.8, 1.1)
        if not self.remaining([*group, *seeds]):
            step_s = max(step_s, rng.uniform(*ROUND_PAUSE_S))
        self.due_s = now_s + step_s
        return target

    def remaining(self, known: Sequence[str]) -> list[str]:
        """Those that were not asked in this round."""
        return [ip for ip in dict.fromkeys(known) if ip != self.own_ip and ip not in self.asked]

    def skip(self, ip: str, now_s: float, known: Sequence[str], rng: random.Random) -> float | None:
        """One that was asked names nobody, or can't be reached: seconds until the next may be asked, if any of those
        that are known is left in this round, and that is sooner than planned."""
        if ip not in self.unanswered:
            return None
        self.unanswered.discard(ip)
        soon_s = rng.uniform(*SKIP_DELAY_S)
        if not self.remaining(known) or now_s + soon_s >= self.due_s:
            return None
        self.due_s = now_s + soon_s
        return soon_s
