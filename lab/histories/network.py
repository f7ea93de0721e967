"""The simulated network: messages are lost, duplicated, delayed and reordered, and directions between nodes are cut."""

from __future__ import annotations

import random
from typing import Any

from cypressbeam.protocol import frames
from lab.histories.events import EventLoop
from lab.histories.plans import Step
from lab.histories.vector_clocks import VectorClocks

#: The operators' address on the network.
CLIENT = "client"
#: Range of the time that fetching a large body takes.
BODY_FETCH_S = (0.2, 1.1)

#: Directions of the network, as pairs of sender and receiver.
Directions = set[tuple[str, str]]


class Network:
    """Carries messages as `frame` events, each with the sender's vector time (`clocks`)."""

    def __init__(
        self,
        loop: EventLoop,
        rng: random.Random,
        ips: tuple[str, ...],
        delay_s: tuple[float, float],
        loss: float,
        large: bool,
    ) -> None:
        self.loop = loop
        self.rng = rng
        self.delay_s = delay_s
        """The range of message delays."""
        self.loss = loss
        """The probability that a message is lost."""
        self.large = large
        """Whether bodies are large: the receiver handles a message only once it has fetched the body."""
        self.body_arrivals_s: dict[str, dict[bytes, float]] = {ip: {} for ip in ips}
        """By machine and body: when the machine has it, or will have it."""
        self.cut: Directions = set()
        """Directions in which all messages are lost."""
        self.cuts: list[tuple[Step, Directions]] = []
        """The cut directions of each step in progress."""
        self.clocks = VectorClocks(ips)

    def send(self, origin: str, ip: str, frame: frames.Frame) -> None:
        """Send a message, which may be lost, duplicated or reordered."""
        time = self.clocks.on_send(origin, self.loop.now_s) if origin != CLIENT else {}
        for _ in range(1 + (self.rng.random() < self.loss / 2)):
            self.schedule_delivery("frame", ip, origin, frame, time)

    def schedule_delivery(self, *event: Any) -> None:
        """Schedule an event at the receiver of a message, unless the message is lost."""
        if self.rng.random() >= self.loss:
            self.loop.at(self.rng.uniform(*self.delay_s), *event)

    def passes(self, origin: str, ip: str, frame: frames.Frame) -> bool:
        """Whether the direction of a message is open; if it is cut, a pending fetch of the body is aborted."""
        if (origin, ip) not in self.cut:
            return True
        body = frame.body_or_digest()
        if self.body_arrivals_s[ip].get(body, 0.0) > self.loop.now_s:
            del self.body_arrivals_s[ip][body]
        return False

    def body_due_s(self, origin: str, ip: str, body: bytes) -> float:
        """Seconds until a machine has the body that a message refers to; each body is fetched once."""
        if not self.large or not body or ip == CLIENT or origin == ip:
            return 0.0
        due_s = self.body_arrivals_s[ip].setdefault(body, self.loop.now_s + self.rng.uniform(*BODY_FETCH_S))
        return max(due_s - self.loop.now_s, 0.0)

    def add_cut(self, step: Step, directions: Directions) -> None:
        """Cut directions for a step of the plan."""
        self.cuts.append((step, directions))
        self.cut |= directions

    def remove_cut(self, step: Step) -> None:
        """End a step's cut; directions cut by other steps stay cut."""
        self.cuts = [(other, directions) for other, directions in self.cuts if other != step]
        self.cut = {direction for _, directions in self.cuts for direction in directions}
