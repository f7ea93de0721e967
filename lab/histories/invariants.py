"""What must hold of a history, and the operators' calls that it is checked by.

Calls and committed entries must be linearizable: one register with compare-and-set, whose values are the committed
configurations (Herlihy and Wing, 1990).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cypressbeam.consensus.views import Entry

#: A body of the histories, padded, stands for its own digest.
DIGEST_BYTES = 32


class InvariantViolationError(Exception):
    """An invariant does not hold, or what operators saw can't have happened in any order."""


def demand(holds: bool, what: str) -> None:
    """Raises InvariantViolationError unless the condition holds."""
    if not holds:
        raise InvariantViolationError(what)


def revision(body: bytes) -> int:
    """The revision of a body of the histories: its text up to the first colon."""
    return int(body.split(b":")[0])


def digest(body: bytes) -> bytes:
    """A digest that is read at a glance: the body itself, padded."""
    assert len(body) <= DIGEST_BYTES
    return body.ljust(DIGEST_BYTES)


@dataclass
class Call:
    """One call of an operator, from its first sending to its answer."""

    ident: int
    operator: str
    kind: str
    """`read` or `replace`."""
    began_s: float
    base: int = 0
    """The revision that a replacement is conditional on."""
    body: bytes = b""
    ended_s: float = float("inf")
    status: int = 0
    """An HTTP status; 0: no answer."""
    seen: int | None = None
    """The revision that the answer speaks of as the current one; of a replacement that was taken, its own."""
    text: str = ""


def one_change_a_base(calls: Iterable[Call]) -> None:
    """Of two different changes on top of the same version at most one is acknowledged."""
    taken: dict[int, bytes] = {}
    for call in calls:
        if call.kind == "replace" and call.status == 200:
            same = taken.setdefault(call.base, call.body) == call.body
            demand(same, f"two changes on {call.base} were acknowledged: {taken[call.base]!r} and {call.body!r}")


def linearizable(calls: Iterable[Call], committed: dict[int, Entry]) -> None:
    """Whether there is an order in which the calls could have happened one by one, each between its sending and its
    answer. Raises InvariantViolationError.

    The values are the committed entries in their order. The earliest time at which each can have come into force is
    found one after another; a call that saw a value must have an instant while it was in force.
    """
    values = [0] + [revision(entry.body) for _, entry in sorted(committed.items())]
    place = {value: at for at, value in enumerate(values)}
    demand(len(place) == len(values), f"a revision was committed twice: {values}")
    demand(values == sorted(values), f"revisions go back: {values}")
    writes, seen = _by_value(calls, committed, values, place)
    force_s = 0.0
    for at, value in enumerate(values):
        if at:
            write = writes.get(at)
            demand(write is not None, f"revision {value} was committed and never sent")
            assert write is not None
            force_s = max([force_s, write.began_s, *(call.began_s for call in seen[at - 1])])
            demand(force_s <= write.ended_s, f"{write.body!r} was acknowledged before it can have been in force")
        for call in seen[at]:
            demand(force_s <= call.ended_s, f"{call.kind} {call.ident} saw {value} before it was in force")
    # A call that began after another had ended must not see an older value: the last value has no end to check by.


def _by_value(
    calls: Iterable[Call], committed: dict[int, Entry], values: list[int], place: dict[int, int]
) -> tuple[dict[int, Call], dict[int, list[Call]]]:
    """The call that wrote each value, and the calls that saw it, by the value's place in the order."""
    entries = {entry.body: entry for entry in committed.values()}
    seen: dict[int, list[Call]] = {at: [] for at in place.values()}
    writes: dict[int, Call] = {}
    for call in calls:
        if call.kind == "replace" and call.body in entries:
            entry = entries[call.body]
            writes[place[entry.revision]] = call
            demand(values[place[entry.revision] - 1] == call.base, f"{call.body!r} was taken on another base")
            demand(call.status in (0, 200), f"{call.body!r} was taken, and its sender told {call.status}")
        elif call.kind == "replace" and call.status == 200:
            raise InvariantViolationError(f"{call.body!r} was acknowledged and never committed")
        elif call.seen is not None:
            demand(call.seen in place, f"{call.kind} {call.ident} saw {call.seen}, which was never committed")
            demand(call.status != 412 or call.seen != call.base, f"{call.ident} was refused though its base was right")
            seen[place[call.seen]].append(call)
    return writes, seen
