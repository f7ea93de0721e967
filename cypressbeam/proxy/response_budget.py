"""The memory for response bodies that all connections to servers share (docs/design/response-memory.md).

A response reserves the size of its body before it is read, and holds it until its client has it. While the memory is
used up, the connections of further responses are not read, so that their servers wait; memory that becomes free goes to
the longest waiting response."""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable

#: Bodies up to this size never wait.
SMALL_BODY_BYTES = 64 * 1024
#: A body whose length is not known reserves memory in steps of this size.
GROWTH_BYTES = 1024 * 1024


class ResponseBudget:
    """Counts the bytes of response bodies that are reserved, and the reservations that wait for memory."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0
        self.holders = 0
        """Number of reservations that hold memory and do not wait for more."""
        self.waiting: list[ResponseReservation] = []
        """The reservations that wait, the one that began first in front."""
        self.begun = 0
        """Number of reservations that have begun."""

    def fits(self, size: int) -> bool:
        """Whether this many more bytes may be reserved. When all others wait, one gets its memory in any case, since
        nothing would become free otherwise."""
        return self.reserved_bytes + size <= self.max_bytes or not self.holders

    def grant_waiting(self) -> None:
        """Give memory to the reservations that wait, in the order in which they began. One that was begun first goes on
        until its response is complete, so the budget is exceeded by one response at most."""
        while self.waiting and self.fits(self.waiting[0].missing_bytes()):
            reservation = self.waiting.pop(0)
            reservation.is_waiting = False
            reservation.grow()
            reservation.on_granted()


class ResponseReservation:
    """The memory of one response body. Whoever holds the body holds its reservation too; the memory is free again after
    `release`, or when the last of them lets go. One that waits is to be released."""

    __slots__ = ("budget", "is_waiting", "number", "on_granted", "size", "wanted_bytes")

    def __init__(self, budget: ResponseBudget, on_granted: Callable[[], None]) -> None:
        """
        :param on_granted: called when memory that was not available becomes available.
        """
        self.budget = budget
        self.on_granted = on_granted
        self.size = 0
        self.wanted_bytes = 0
        self.number = 0
        """The order in which reservations began; 0 before that."""
        self.is_waiting = False

    def missing_bytes(self) -> int:
        """How many bytes are still to be reserved."""
        return self.wanted_bytes - self.size

    def reserve(self, total_bytes: int) -> bool:
        """Reserve memory for a body of this size in all. Returns whether it is available; if not, the body must not be
        read on before `on_granted` is called."""
        if self.is_waiting or total_bytes <= self.size:
            return not self.is_waiting
        self.begin_growth(total_bytes)
        budget = self.budget
        if total_bytes <= SMALL_BODY_BYTES or (not budget.waiting and budget.fits(self.missing_bytes())):
            self.grow()
            return True
        self.is_waiting = True
        insort(budget.waiting, self, key=lambda reservation: reservation.number)
        budget.grant_waiting()
        return not self.is_waiting

    def count(self, total_bytes: int) -> None:
        """Reserve memory for a body that has been read already, whether or not it fits."""
        if not self.is_waiting and total_bytes > self.size:
            self.begin_growth(total_bytes)
            self.grow()

    def begin_growth(self, total_bytes: int) -> None:
        """Note how much is wanted. The reservation does not count as a holder until it has that."""
        if not self.number:
            self.budget.begun += 1
            self.number = self.budget.begun
        self.wanted_bytes = total_bytes
        if self.size:
            self.budget.holders -= 1

    def grow(self) -> None:
        """Count the wanted bytes."""
        self.budget.reserved_bytes += self.missing_bytes()
        self.budget.holders += 1
        self.size = self.wanted_bytes

    def release(self) -> None:
        """Return the memory."""
        budget, size = self.budget, self.size
        self.size = self.wanted_bytes = self.number = 0
        if self.is_waiting:
            self.is_waiting = False
            budget.waiting.remove(self)
        elif size:
            budget.holders -= 1
        budget.reserved_bytes -= size
        budget.grant_waiting()

    def __del__(self) -> None:
        self.release()
