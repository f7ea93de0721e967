"""The server list: its JSON format, and the client that keeps it up to date from the discovery endpoint."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from cypressbeam.balancing.interface import ServerEntry, ServerState
from cypressbeam.protocol.address import Address, read_address
from cypressbeam.proxy.http_client import HttpClient
from cypressbeam.standalone.simulator import SERVER_STATES

log = logging.getLogger(__name__)

ENDPOINTS_PATH = "/v1/endpoints"
#: How long a long poll waits for changes. Polling a local agent is cheap, and a short wait detects its failure early. A
#: discovery service shared by all nodes is polled as rarely as it allows.
AGENT_WAIT_MS = 4_000
SERVICE_WAIT_MS = 20_000
#: Wait of the first poll at a new address, kept short because its response confirms that the new address works.
FIRST_WAIT_MS = 50
#: How much longer than its wait a poll may take.
RESPONSE_MARGIN_S = 2.0
#: Bounds of the random delay (full jitter) before a failed agent is polled again. Updates continue without a gap if the
#: next poll arrives within 200 ms.
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.15


@dataclass(frozen=True, slots=True)
class ListedServer:
    entry: ServerEntry
    address: Address | None
    """None for a server that has left and is listed without an address."""


@dataclass(frozen=True, slots=True)
class ServerList:
    version: int
    is_snapshot: bool
    servers: tuple[ListedServer, ...]


def parse_listed_server(row: object) -> ListedServer:
    if not isinstance(row, dict):
        raise ValueError(f"an entry is not an object: {row!r}")
    name, state, started_ms = row.get("instanceId"), row.get("lifecycle"), row.get("startedAtMs", 0)
    weight = row.get("weight", 1.0)
    if not isinstance(name, str) or not name:
        raise ValueError(f"instanceId: a name is needed, not {name!r}")
    if state not in SERVER_STATES:
        raise ValueError(f"{name}: lifecycle: unknown value {state!r}")
    if not isinstance(started_ms, (int, float)) or not 0 <= started_ms < 1e15:
        raise ValueError(f"{name}: startedAtMs: a time is needed, not {started_ms!r}")
    if not isinstance(weight, (int, float)) or not 0 <= weight < float("inf"):
        raise ValueError(f"{name}: weight: a number is needed, not {weight!r}")
    cell = row.get("cell", 0)
    entry = ServerEntry(
        server=name,
        zone=str(row.get("zone", "")),
        cell=cell if isinstance(cell, int) else 0,
        state=SERVER_STATES[state],
        weight=float(weight),
        started_us=int(started_ms * 1000),
    )
    has_no_address = entry.state is ServerState.GONE and "hostPort" not in row
    return ListedServer(entry, None if has_no_address else read_address(row.get("hostPort")))


def parse_server_list(document: object) -> ServerList:
    """Parse a list in the JSON format of discovery. Raises ValueError for an invalid one."""
    if not isinstance(document, dict):
        raise ValueError("the list is not an object")
    version, is_snapshot, rows = document.get("generation"), document.get("reset"), document.get("instances")
    if not isinstance(version, int) or not isinstance(is_snapshot, bool) or not isinstance(rows, list):
        raise ValueError("generation, reset and instances are needed")
    return ServerList(version, is_snapshot, tuple(parse_listed_server(row) for row in rows))


class DiscoveryClient:
    """Keeps the server list up to date by long polling.

    Calls `on_update` for each response and `on_failure` for each failed call.

    A local agent is polled continuously. A discovery service is polled from `subscribe()` until the first failure; the
    balancer decides whether and when to subscribe again.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        has_local_agent: bool,
        on_update: Callable[[ServerList], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.address = address
        self.version = version
        self.has_local_agent = has_local_agent
        self.on_update = on_update
        self.on_failure = on_failure
        self.poll_requested = asyncio.Event()
        self.snapshot_requested = False
        self.task: asyncio.Task[None] | None = None
        self.previous_task: asyncio.Task[None] | None = None
        """Polls the previous address until the current one has responded."""
        if has_local_agent:
            self.poll_requested.set()

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.run(self.address))

    def close(self) -> None:
        for task in (self.task, self.previous_task):
            if task is not None:
                task.cancel()

    def change_address(self, address: Address) -> None:
        """Continue polling at another address. The list and its version are kept until it responds."""
        if address == self.address:
            return
        self.address = address
        # If the address changes twice, the first new one may not have responded yet: the task before it is kept.
        if self.previous_task is None or self.previous_task.done():
            self.previous_task = self.task
        elif self.task is not None:
            self.task.cancel()
        self.start()

    def subscribe(self) -> None:
        self.poll_requested.set()

    def fetch_snapshot(self) -> None:
        """Fetch a complete snapshot once. A running subscription fetches it with its next poll."""
        self.snapshot_requested = True
        self.poll_requested.set()

    async def run(self, address: Address) -> None:
        own_task = asyncio.current_task()
        while True:
            await self.poll_requested.wait()
            connection = HttpClient(address)
            try:
                await connection.open()
                while self.poll_requested.is_set():
                    await self.poll(connection)
                    if self.previous_task is not None and own_task is self.task:
                        self.previous_task.cancel()
                        self.previous_task = None
            except Exception as err:  # noqa: BLE001 (any error keeps the current list)
                if own_task is not self.task:
                    return  # the previous address is not reconnected
                log.warning("server list: %s: %s", type(err).__name__, err)
                if not self.has_local_agent:
                    self.poll_requested.clear()
                self.on_failure()
            finally:
                connection.close()
            if self.has_local_agent:
                await asyncio.sleep(random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))

    async def poll(self, connection: HttpClient) -> None:
        wait_ms = (
            FIRST_WAIT_MS
            if self.previous_task is not None
            else AGENT_WAIT_MS
            if self.has_local_agent
            else SERVICE_WAIT_MS
        )
        fetching_snapshot = self.snapshot_requested
        path = ENDPOINTS_PATH if fetching_snapshot else f"{ENDPOINTS_PATH}?after={self.version}&wait_ms={wait_ms}"
        response = await connection.get(path, wait_ms / 1000 + RESPONSE_MARGIN_S)
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        update = parse_server_list(json.loads(response.body))
        if not update.is_snapshot and (fetching_snapshot or update.version < self.version):
            # The version went backwards, so changes may be missing: fetch a snapshot.
            self.snapshot_requested = True
            raise ValueError(f"changes to version {update.version} are not based on version {self.version}")
        if fetching_snapshot:
            self.snapshot_requested = False
        self.version = update.version
        self.on_update(update)
