"""What the parts of a node's distribution layer share: settings, connections, clock and randomness."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from cypressbeam.protocol.settings import Settings
from cypressbeam.transport.peers import Peers


@dataclass(slots=True)
class NodeContext:
    """One for all parts of a node, so that a reload of the settings reaches each of them."""

    settings: Settings
    peers: Peers
    loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.get_running_loop)
    rng: random.Random = field(default_factory=random.Random)

    def now_s(self) -> float:
        """The event loop's time."""
        return self.loop.time()
