"""Calls that servers make to the system while they work on a request: one each, from the server's machine, by way of
the platform as clients come, and without a further try."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from cypressbeam.protocol.address import Address
from cypressbeam.proxy.http_requests import RequestMessage
from lab.clients import ClientPopulation
from lab.day import Kind
from lab.invariant_checker import Ledger, Wish
from lab.standins import Server, name_of


class Calls:
    """Who calls whom, by the kinds of a day."""

    def __init__(
        self,
        kinds: tuple[Kind, ...],
        host: str,
        nodes_of: Callable[[str], dict[str, Address]],
        ledger: Ledger,
        seed: int,
    ) -> None:
        by_name = {kind.name: kind for kind in kinds}
        self.called = {f"/{kind.name}/".encode(): (kind.name, by_name[kind.calls]) for kind in kinds if kind.calls}
        self.kinds, self.host, self.nodes_of, self.ledger, self.seed = kinds, host, nodes_of, ledger, seed
        self.callers: dict[str, ClientPopulation] = {}
        """By zone."""
        self.count = 0
        self.begun: set[str] = set()
        """Requests at which a server has been at work."""

    def of(self, server: Server, message: RequestMessage) -> Coroutine[Any, Any, None] | None:
        """The call that belongs to a server's work on a request."""
        path = message.target[: message.target.find(b"/", 1) + 1]
        if path not in self.called:
            return None
        caller, kind = self.called[path]
        repeat = name_of(message) in self.begun
        self.begun.add(name_of(message))
        return self.call(server.zone, caller, kind, repeat)

    async def call(self, zone: str, caller: str, kind: Kind, repeat: bool) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.count += 1
        answer, _ = await self.caller(zone).one_try(
            kind, f"call-{self.count}", began_s + kind.deadline_ms / 1000, set(), fresh=True, of_repeat=repeat
        )
        served = answer is not None and answer.status < 300
        self.ledger.wishes.append(Wish(kind.name, began_s, loop.time() - began_s, 0.0, 0.0, served, caller))

    def caller(self, zone: str) -> ClientPopulation:
        """The same as clients of the zone, on connections of their own; what they send is no client's request."""
        if zone not in self.callers:
            self.callers[zone] = ClientPopulation(
                zone,
                self.kinds,
                0.0,
                lambda: self.nodes_of(zone),
                lambda kind: self.host,
                lambda kind: set(),
                0.0,
                self.ledger,
                random.Random(f"{self.seed} calls {zone}"),
            )
        return self.callers[zone]
