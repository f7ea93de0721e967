"""Order and timing of the requests by which a node searches for the root of the tree.

Does no I/O; times are seconds of a monotonic clock. All nodes that may know the root are asked one after another at
short intervals, whether or not earlier ones have answered: a partitioned machine does not answer, or knows no root, and
must not delay the requests to others. A reply without a root ends the interval early. A round ends once all were asked;
the next one starts after a pause.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

#: Interval between requests, and the range of the random delay after a reply that names no root.
STEP_INTERVAL_S, SKIP_DELAY_S = 0.1, (0.005, 0.03)
#: Range of the random pause between rounds.
ROUND_PAUSE_S = (0.1, 0.2)
#: Limit of the total request rate when all nodes search for the root at the same time.
MAX_REQUESTS_PER_S = 6000.0


class RootSearch:
    """The search of one node, round after round until `reset` is called."""

    def __init__(self, own_ip: str) -> None:
        self.own_ip = own_ip
        self.asked: set[str] = set()
        """Addresses asked in this round."""
        self.unanswered: set[str] = set()
        """Those of them that have neither replied without a root nor failed."""
        self.due_s = 0.0

    def reset(self) -> None:
        """The root was found: the next search starts a new round immediately."""
        self.asked.clear()
        self.unanswered.clear()
        self.due_s = 0.0

    def next_target(
        self, now_s: float, group: Sequence[str], seeds: Sequence[str], node_count: int, rng: random.Random
    ) -> str | None:
        """The address to ask now: random ones of the group first, then the seeds in order. `node_count` is the number
        of nodes, 0 while unknown. None if no request is due."""
        if now_s < self.due_s:
            return None
        if not self.remaining([*group, *seeds]):
            self.asked.clear()
        candidates = self.remaining(group)
        target = rng.choice(candidates) if candidates else next(iter(self.remaining(seeds)), None)
        if target is None:
            return None
        self.asked.add(target)
        self.unanswered.add(target)
        interval_s = max(STEP_INTERVAL_S, node_count / MAX_REQUESTS_PER_S) * rng.uniform(0.8, 1.1)
        if not self.remaining([*group, *seeds]):
            interval_s = max(interval_s, rng.uniform(*ROUND_PAUSE_S))
        self.due_s = now_s + interval_s
        return target

    def remaining(self, known: Sequence[str]) -> list[str]:
        """The addresses that were not asked in this round."""
        return [ip for ip in dict.fromkeys(known) if ip != self.own_ip and ip not in self.asked]

    def skip(self, ip: str, now_s: float, known: Sequence[str], rng: random.Random) -> float | None:
        """A node that was asked knows no root or can't be reached. Returns the delay until the next request, if any
        known address is left in this round and that is sooner than planned."""
        if ip not in self.unanswered:
            return None
        self.unanswered.discard(ip)
        delay_s = rng.uniform(*SKIP_DELAY_S)
        if not self.remaining(known) or now_s + delay_s >= self.due_s:
            return None
        self.due_s = now_s + delay_s
        return delay_s
