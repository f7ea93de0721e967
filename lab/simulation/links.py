"""Links between simulated hosts: delay, loss, partitions, and a bandwidth that all connections of a host share."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from lab.simulation.host import Host

#: One-way delay within a zone and between zones, and the added delay of a lost packet.
SAME_ZONE_S, CROSS_ZONE_S, RETRANSMIT_S = 0.0005, 0.005, 0.2
#: Datagrams are dropped if the queue of a link is longer than this.
MAX_BACKLOG_S = 0.2
#: Size of a handshake packet, which queues at busy links like any other.
SYN_BYTES = 60


class Links:
    """Decides delay and loss of packets between two hosts."""

    def __init__(self, rng: random.Random, now_s: Callable[[], float]) -> None:
        self.rng = rng
        self.now_s = now_s
        self.loss = 0.0
        """The probability that a packet is lost."""
        self.cut: Callable[[Host, Host], bool] = lambda sender, receiver: False
        """Whether packets from the first host to the second are dropped; a partition may be one-way."""
        self.refuses = False
        """Whether a partition resets connections and refuses new ones, instead of dropping packets silently."""

    def is_reachable(self, sender: Host, receiver: Host) -> bool:
        """Whether packets now get from the sender to the receiver. A machine whose process has ended still answers."""
        return sender.up and receiver.up and not self.cut(sender, receiver)

    def refused(self, sender: Host, receiver: Host) -> bool:
        """Whether a partition between the two hosts resets connections."""
        return self.refuses and sender.up and receiver.up and self.cut(sender, receiver)

    def drops_packet(self) -> bool:
        """Draw whether the next packet is lost."""
        return self.loss > 0.0 and self.rng.random() < self.loss

    def packet_delay(self, sender: Host, receiver: Host) -> float:
        """The one-way delay of a packet, in seconds."""
        return (SAME_ZONE_S if sender.zone == receiver.zone else CROSS_ZONE_S) * self.rng.uniform(0.8, 1.4)

    def transfer_delay(self, sender: Host, receiver: Host) -> float:
        """The delay of bytes on a connection, in seconds, including retransmissions of lost packets."""
        delay_s = self.packet_delay(sender, receiver)
        while self.drops_packet():
            delay_s += RETRANSMIT_S
        return delay_s

    def arrival_s(self, sender: Host, receiver: Host, size: int) -> float:
        """When bytes sent now on a connection arrive. They queue at the links of both hosts; a queue at the sender's
        link doesn't delay other senders' bytes at the receiver."""
        now_s = self.now_s()
        sender.out_free_s = max(sender.out_free_s, now_s) + size * 8e-6 / sender.mbps
        arrives_s = sender.out_free_s + self.transfer_delay(sender, receiver) + size * 8e-6 / receiver.mbps
        if math.isinf(receiver.mbps):
            return arrives_s
        receiver.in_free_s = max(receiver.in_free_s, now_s) + size * 8e-6 / receiver.mbps
        return max(arrives_s, receiver.in_free_s)

    def is_congested(self, sender: Host, receiver: Host) -> bool:
        """Whether a link between the two hosts has so long a queue that datagrams are dropped."""
        return max(sender.out_free_s, receiver.in_free_s) > self.now_s() + MAX_BACKLOG_S

    def syn_delay(self, sender: Host, receiver: Host) -> float:
        """The one-way delay of a handshake packet, including queueing at the links."""
        if math.isinf(sender.mbps) and math.isinf(receiver.mbps):
            return self.transfer_delay(sender, receiver)
        return self.arrival_s(sender, receiver, SYN_BYTES) - self.now_s()
