"""Asking the platform for the list of servers."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from urllib.parse import quote

from cypressbeam.distribution.endpoint_list import Endpoint, read_page
from cypressbeam.protocol.address import Address
from cypressbeam.proxy.http_client import HttpClient

log = logging.getLogger(__name__)

#: The list is asked for this often; on trouble sooner or later, with full jitter.
POLL_INTERVAL_S = 0.9
POLL_TIMEOUT_S = 1.0
POLL_RETRY_S = (0.1, 0.3)


class EndpointPoller:
    """Asks the platform for the whole list, page by page, over one kept connection."""

    def __init__(self, address: Address, on_list: Callable[[list[Endpoint]], None], rng: random.Random) -> None:
        self.address = address
        self.on_list = on_list
        self.rng = rng

    async def run(self) -> None:
        """Ask for ever, over a new connection after each failure."""
        while True:
            connection = HttpClient(self.address)
            try:
                await connection.open()
                while True:
                    await self.poll(connection)
                    await asyncio.sleep(POLL_INTERVAL_S)
            except Exception as err:  # noqa: BLE001 (whatever comes, the list stays and is asked for again)
                log.warning("endpoint list poll failed: %s: %s", type(err).__name__, err)
            finally:
                connection.close()
            await asyncio.sleep(self.rng.uniform(*POLL_RETRY_S))

    async def poll(self, connection: HttpClient) -> None:
        """One whole list. A page that is refused over the rate is asked for again, later."""
        servers: list[Endpoint] = []
        token: str | None = ""
        while token is not None:
            answer = await connection.get("/servers" + (f"?pageToken={quote(token)}" if token else ""), POLL_TIMEOUT_S)
            if answer.status == 429:
                await asyncio.sleep(self.rng.uniform(*POLL_RETRY_S))
                continue
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            page, token = read_page(answer.body)
            servers += page
        self.on_list(servers)
