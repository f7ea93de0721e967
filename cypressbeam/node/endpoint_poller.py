"""Polls the platform for the endpoint list."""

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

#: Interval between polls. After a failure the delay is drawn uniformly from `POLL_RETRY_S`.
POLL_INTERVAL_S = 0.9
POLL_TIMEOUT_S = 1.0
POLL_RETRY_S = (0.1, 0.3)


class EndpointPoller:
    """Fetches the whole endpoint list from the platform, page by page, over a persistent connection."""

    def __init__(self, address: Address, on_list: Callable[[list[Endpoint]], None], rng: random.Random) -> None:
        self.address = address
        self.on_list = on_list
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.failing_since_s: float | None = None
        """Time of the first failure since the last list; None if the last poll succeeded."""
        self.last_error = ""

    def failing_for_s(self) -> float | None:
        """For how long polls have failed; None if the last one succeeded."""
        return None if self.failing_since_s is None else self.loop.time() - self.failing_since_s

    async def run(self) -> None:
        """Poll forever. A new connection is opened after each failure."""
        while True:
            connection = HttpClient(self.address)
            try:
                await connection.open()
                while True:
                    await self.poll(connection)
                    await asyncio.sleep(POLL_INTERVAL_S)
            except Exception as err:  # noqa: BLE001 (on any error the current list stays in use and polling continues)
                self.last_error = f"{type(err).__name__}: {err}".rstrip(": ")
                if self.failing_since_s is None:
                    self.failing_since_s = self.loop.time()
                log.warning("endpoint list poll at %s:%d failed: %s", *self.address, self.last_error)
            finally:
                connection.close()
            await asyncio.sleep(self.rng.uniform(*POLL_RETRY_S))

    async def poll(self, connection: HttpClient) -> None:
        """Fetch the whole list once. A page rejected with 429 is requested again after a delay."""
        servers: list[Endpoint] = []
        page_token: str | None = ""
        while page_token is not None:
            answer = await connection.get(
                "/servers" + (f"?pageToken={quote(page_token)}" if page_token else ""), POLL_TIMEOUT_S
            )
            if answer.status == 429:
                await asyncio.sleep(self.rng.uniform(*POLL_RETRY_S))
                continue
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            page, page_token = read_page(answer.body)
            servers += page
        self.failing_since_s = None
        self.on_list(servers)
