"""A simulated network, clock and disk on which whole nodes run unchanged: one thread, one seed, no real socket or time.

The event loop is asyncio's own with another clock: where it would wait for sockets, time jumps to the next timer.
Connections and datagrams between hosts are carried by `Net`, with delay, loss, cuts and hosts that lose their power.
A machine's link carries so many bits a second each way, for all its connections together, in the order in which they
come.
"""

from lab.simulation.clock import EarlySocket, Loop
from lab.simulation.disk import Disk
from lab.simulation.host import Host
from lab.simulation.network import Net

__all__ = ["Disk", "EarlySocket", "Host", "Loop", "Net"]
