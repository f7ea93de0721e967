"""Shared by the components of a node's distribution layer: settings, connections, clock, random number generator."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from cypressbeam.protocol.settings import Settings
from cypressbeam.transport.peers import Peers


@dataclass(slots=True)
class NodeContext:
    """One instance is shared by all components of a node, so that reloaded settings apply to all of them."""

    settings: Settings
    peers: Peers
    loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.get_running_loop)
    rng: random.Random = field(default_factory=random.Random)

    def now_s(self) -> float:
        """The event loop's time."""
        return self.loop.time()
