"""The memory of response bodies: the budget's rules, and a node's process under large responses."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import cbor2
import pytest

from cypressbeam.proxy.response_budget import SMALL_BODY_BYTES, ResponseBudget, ResponseReservation
from lab.local_cluster import HOST, demo_configuration, push_until_taken
from lab.soak.documents import DocumentServer, Reading, read_message, read_response
from lab.standins import Platform
from lab.system import Machine, System
from tests.loopback import run
from tests.test_memory import memory_mb

MEMORY_MB = 300
READERS, BODY_BYTES = 16, 30 * 1024 * 1024
BOOKERS = 4
#: The pause of a client that is refused, and the time in which all responses of a burst must have come.
RETRY_S, BURST_S = 0.5, 60.0
KB = 1024


class Granted:
    """Reservations of one budget, by name, and the names of those that got memory later."""

    def __init__(self, max_bytes: int) -> None:
        self.budget = ResponseBudget(max_bytes)
        self.names: list[str] = []

    def new(self, name: str) -> ResponseReservation:
        return ResponseReservation(self.budget, lambda: self.names.append(name))


def test_memory_goes_to_the_response_that_began_first() -> None:
    granted = Granted(1000 * KB)
    one, two, three = granted.new("one"), granted.new("two"), granted.new("three")
    assert one.reserve(900 * KB)
    assert not two.reserve(800 * KB)
    assert not three.reserve(100 * KB)  # it would fit, and waits its turn
    one.release()
    assert granted.names == ["two", "three"] and granted.budget.reserved_bytes == 900 * KB


def test_small_bodies_never_wait() -> None:
    granted = Granted(100 * KB)
    holder, waiting, small = granted.new("holder"), granted.new("waiting"), granted.new("small")
    assert holder.reserve(100 * KB) and not waiting.reserve(70 * KB)
    assert small.reserve(SMALL_BODY_BYTES) and granted.budget.reserved_bytes == 100 * KB + SMALL_BODY_BYTES


def test_a_body_that_has_been_read_is_counted_without_waiting() -> None:
    granted = Granted(100 * KB)
    holder, whole = granted.new("holder"), granted.new("whole")
    assert holder.reserve(100 * KB)
    whole.count(300 * KB)
    assert not whole.is_waiting and granted.budget.reserved_bytes == 400 * KB and granted.budget.holders == 2


def test_growing_bodies_that_all_wait_exceed_the_budget_by_one_of_them_only() -> None:
    granted = Granted(1000 * KB)
    growing = [granted.new(str(number)) for number in range(5)]
    assert all(reservation.reserve(200 * KB) for reservation in growing)
    for size in range(300 * KB, 2000 * KB, 100 * KB):
        for reservation in growing:
            reservation.reserve(size)
        assert [reservation.size for reservation in growing[1:]] == [200 * KB] * 4
    assert growing[0].size == 1900 * KB


def test_released_memory_is_counted_once_however_a_reservation_ends() -> None:
    granted, rng = Granted(500 * KB), random.Random(1)
    held: list[ResponseReservation] = []
    for _ in range(3000):
        if held and rng.random() < 0.5:
            reservation = held.pop(rng.randrange(len(held)))
            if reservation.is_waiting or rng.random() < 0.5:
                reservation.release()
            del reservation
        else:
            reservation = granted.new("")
            (reservation.reserve if rng.random() < 0.8 else reservation.count)(rng.randrange(0, 300) * KB)
            held.append(reservation)
            if not reservation.is_waiting:
                reservation.reserve(reservation.size + rng.randrange(0, 100) * KB)
        budget = granted.budget
        assert budget.reserved_bytes == sum(reservation.size for reservation in held)
        assert budget.holders == sum(1 for one in held if one.size and not one.is_waiting)
        assert budget.holders or not budget.waiting
    for reservation in held:
        reservation.release()
    assert not granted.budget.reserved_bytes and not granted.budget.waiting


def book_message(name: str) -> bytes:
    head = f"POST /book/{name} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\nTime-Left-Ms: 6000\r\n"
    return f"{head}Content-Length: 4\r\n\r\nseat".encode()


async def read_until_served(
    machine: Machine, name: str, chunked: bool, take: Callable[[int], float], ends: Counter[int]
) -> Reading:
    """Read a large response; a client that is refused tries again, as the refusal says."""
    tries = 0
    while True:
        tries += 1
        reading = await read_response(machine, read_message(f"{name}-{tries}", BODY_BYTES, chunked), take)
        ends[reading.status] += 1
        if reading.status != 503 or not reading.is_whole():
            return reading
        await asyncio.sleep(RETRY_S)


def quick(size: int) -> float:
    return 0.0


def slow(size: int) -> float:
    return 0.01


def leaving(size: int) -> float:
    return -1.0 if size > BODY_BYTES // 3 else 0.0


@pytest.mark.parametrize("chunked", [False, True], ids=["with a length", "in chunks"])
@pytest.mark.parametrize("take", [quick, slow, leaving])
def test_large_responses_at_once_keep_a_node_within_its_memory(take: Any, chunked: bool) -> None:
    """Guards against a node that is killed for its memory, with all requests that it has in hand (review/8)."""

    async def scenario() -> None:
        platform, ends = Platform(), Counter[int]()
        await platform.listen()
        for zone in ("east", "west"):
            for service in ("finder", "booker"):
                documents = DocumentServer(service, zone, slots=64, queue=64, work_s=0.02)
                await documents.listen()
                platform.servers.append(documents)
        document = demo_configuration()
        for channel in document["channels"]:
            channel["cutoffMs"] = 30000
        async with System(platform.address, edges=1, extra={"constraints.memoryMb": str(MEMORY_MB)}) as system:
            async with asyncio.timeout(20.0):
                await push_until_taken(system.machines[-1], cbor2.dumps(document), 0)
            machine = system.fronts[0]
            await system.ready(machine)
            for burst in range(2):
                books = [read_response(machine, book_message(f"b{burst}-{n}"), quick) for n in range(BOOKERS)]
                reads = [read_until_served(machine, f"r{burst}-{n}", chunked, take, ends) for n in range(READERS)]
                async with asyncio.timeout(BURST_S):
                    readings = await asyncio.gather(*books, *reads)
                assert [reading.status for reading in readings] == [200] * (BOOKERS + READERS)
                least_bytes = BODY_BYTES // 3 if take is leaving else BODY_BYTES
                assert all(reading.size >= least_bytes for reading in readings[BOOKERS:])
            peak_mb = memory_mb(machine, "VmHWM")
            print(f"{peak_mb:.0f} MB at most; reads {dict(ends)}")
            assert peak_mb < MEMORY_MB
        for server in platform.servers:
            server.close()
        platform.close()

    run(scenario())
