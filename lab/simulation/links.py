"""The links between simulated machines: delay, loss, cuts, and a rate each way that all connections of one share."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from lab.simulation.host import Host

#: One way, within a zone and between two; a lost packet comes after so much more.
NEAR_S, FAR_S, RESEND_S = 0.0005, 0.005, 0.2
#: Datagrams are dropped where a link has so much waiting already.
FULL_S = 0.2
#: The packets of a connect wait at full links like all others.
SYN_BYTES = 60


class Links:
    """What happens to a packet between two machines."""

    def __init__(self, rng: random.Random, now_s: Callable[[], float]) -> None:
        self.rng = rng
        self.now_s = now_s
        self.loss = 0.0
        """The share of packets that are lost."""
        self.cut: Callable[[Host, Host], bool] = lambda one, other: False
        """Whether what the one sends to the other is lost; it may hold one way only."""
        self.refuses = False
        """Whether cuts end connections and refuse new ones, and are not silent."""

    def open(self, one: Host, other: Host) -> bool:
        """Whether packets get from one to the other now. One whose process ended still answers for it."""
        return one.up and other.up and not self.cut(one, other)

    def refused(self, one: Host, other: Host) -> bool:
        """Whether a cut between the two ends connections."""
        return self.refuses and one.up and other.up and self.cut(one, other)

    def lost(self) -> bool:
        """Whether the next packet is lost."""
        return self.loss > 0.0 and self.rng.random() < self.loss

    def way(self, one: Host, other: Host) -> float:
        """Of one packet, seconds."""
        return (NEAR_S if one.zone == other.zone else FAR_S) * self.rng.uniform(0.8, 1.4)

    def delay(self, one: Host, other: Host) -> float:
        """Of bytes on a connection, seconds: those that are lost come later."""
        delay_s = self.way(one, other)
        while self.lost():
            delay_s += RESEND_S
        return delay_s

    def through(self, one: Host, other: Host, size: int) -> float:
        """When bytes that are sent now on a connection are there: the links at both ends carry them one after
        another, behind what waits there. What is late by its sender's link holds up nobody else's at the receiver."""
        now_s = self.now_s()
        one.out_free_s = max(one.out_free_s, now_s) + size * 8e-6 / one.mbps
        arrives_s = one.out_free_s + self.delay(one, other) + size * 8e-6 / other.mbps
        if math.isinf(other.mbps):
            return arrives_s
        other.in_free_s = max(other.in_free_s, now_s) + size * 8e-6 / other.mbps
        return max(arrives_s, other.in_free_s)

    def full(self, one: Host, other: Host) -> bool:
        """Whether so much waits at a link between the two that datagrams are dropped."""
        return max(one.out_free_s, other.in_free_s) > self.now_s() + FULL_S

    def trip(self, one: Host, other: Host) -> float:
        """How long a packet of a connect is on its way, behind what waits at the links."""
        if math.isinf(one.mbps) and math.isinf(other.mbps):
            return self.delay(one, other)
        return self.through(one, other, SYN_BYTES) - self.now_s()
