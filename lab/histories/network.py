"""The simulated network: messages are lost, doubled, delayed and overtaken, and directions between nodes are cut."""

from __future__ import annotations

import random
from typing import Any

from cypressbeam.protocol import frames
from lab.histories.events import EventLoop
from lab.histories.plans import Step
from lab.histories.vector_clocks import VectorClocks

#: The operators' place on the network.
CLIENT = "client"
#: Seconds that a large body takes over a link to one who lacks it.
SLOW_BODY_S = (0.2, 1.1)

#: Directions of the network: sender and receiver.
Directions = set[tuple[str, str]]


class Network:
    """Carries messages by `frame` events. Each takes the sender's vector time with it (`clocks`)."""

    def __init__(
        self,
        loop: EventLoop,
        rng: random.Random,
        ips: tuple[str, ...],
        way_s: tuple[float, float],
        loss: float,
        large: bool,
    ) -> None:
        self.loop = loop
        self.rng = rng
        self.way_s = way_s
        """The least and the most time that a message is on its way."""
        self.loss = loss
        """The share of messages that are lost."""
        self.large = large
        """Bodies are so large that a message waits for its own at the receiver."""
        self.bodies: dict[str, dict[bytes, float]] = {ip: {} for ip in ips}
        """Bodies that each machine has, or will have: when."""
        self.cut: Directions = set()
        """In which nothing gets through."""
        self.cuts: list[tuple[Step, Directions]] = []
        """By the steps that are under way."""
        self.clocks = VectorClocks(ips)

    def send(self, origin: str, ip: str, frame: frames.Frame) -> None:
        """It may be lost, come twice, or be overtaken."""
        time = self.clocks.on_send(origin, self.loop.now_s) if origin != CLIENT else {}
        for _ in range(1 + (self.rng.random() < self.loss / 2)):
            self.try_way("frame", ip, origin, frame, time)

    def try_way(self, *event: Any) -> None:
        """One event that a message makes at its receiver, unless it is lost."""
        if self.rng.random() >= self.loss:
            self.loop.at(self.rng.uniform(*self.way_s), *event)

    def passes(self, origin: str, ip: str, frame: frames.Frame) -> bool:
        """Whether a message gets to a machine, and not into a cut; there the fetch of its body breaks off."""
        if (origin, ip) not in self.cut:
            return True
        body = frame.body_or_digest()
        if self.bodies[ip].get(body, 0.0) > self.loop.now_s:
            del self.bodies[ip][body]
        return False

    def body_due_s(self, origin: str, ip: str, body: bytes) -> float:
        """How long until a machine has the body that a message names: it is fetched once, however often it is named."""
        if not self.large or not body or ip == CLIENT or origin == ip:
            return 0.0
        due_s = self.bodies[ip].setdefault(body, self.loop.now_s + self.rng.uniform(*SLOW_BODY_S))
        return max(due_s - self.loop.now_s, 0.0)

    def cut_off(self, step: Step, directions: Directions) -> None:
        """A step of the plan cuts these directions."""
        self.cuts.append((step, directions))
        self.cut |= directions

    def join_up(self, step: Step) -> None:
        """A step's cut ends; others under way stay."""
        self.cuts = [(other, directions) for other, directions in self.cuts if other != step]
        self.cut = {direction for _, directions in self.cuts for direction in directions}
