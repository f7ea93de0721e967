"""A simulated network, clock and disk on which whole nodes run unchanged: one thread, one seed, no real socket or time.

The event loop is asyncio's own with a virtual clock: instead of waiting for sockets, it advances to the next timer.
`Net` carries connections and datagrams between hosts and simulates delay, packet loss, network partitions and power
loss. A host's link has a fixed bandwidth per direction, which all its connections share in FIFO order.
"""

from lab.simulation.clock import EarlySocket, Loop
from lab.simulation.disk import Disk
from lab.simulation.host import Host
from lab.simulation.network import Net

__all__ = ["Disk", "EarlySocket", "Host", "Loop", "Net"]
