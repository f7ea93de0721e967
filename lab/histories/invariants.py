"""Invariants of a history, and the operators' calls on which they are checked.

Calls and committed entries must be linearizable: one register with compare-and-set, whose values are the committed
configurations (Herlihy and Wing, 1990).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cypressbeam.consensus.views import Entry

#: Size of a digest: in histories it is the padded body itself.
DIGEST_BYTES = 32


class InvariantViolationError(Exception):
    """An invariant does not hold, or the operators' calls are not linearizable."""


def check_condition(holds: bool, what: str) -> None:
    """Raises InvariantViolationError unless the condition holds."""
    if not holds:
        raise InvariantViolationError(what)


def revision(body: bytes) -> int:
    """The revision of a body: its text up to the first colon."""
    return int(body.split(b":")[0])


def digest(body: bytes) -> bytes:
    """A readable digest: the body itself, padded."""
    assert len(body) <= DIGEST_BYTES
    return body.ljust(DIGEST_BYTES)


@dataclass
class Call:
    """One call of an operator, from its first request to its answer."""

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
    """The revision that the answer reports as current; for an applied replacement, its own."""
    text: str = ""


def at_most_one_write_per_base(calls: Iterable[Call]) -> None:
    """Check that of two different changes based on the same version at most one is acknowledged."""
    taken: dict[int, bytes] = {}
    for call in calls:
        if call.kind == "replace" and call.status == 200:
            same = taken.setdefault(call.base, call.body) == call.body
            check_condition(
                same, f"two changes based on {call.base} were acknowledged: {taken[call.base]!r} and {call.body!r}"
            )


def check_linearizable(calls: Iterable[Call], committed: dict[int, Entry]) -> None:
    """Check that the calls could have happened one by one in some order, each between its request and its answer.
    Raises InvariantViolationError.

    The values are the committed entries in order. For each in turn the earliest time is computed at which it can have
    become current; a call that saw a value must overlap with the time in which that value was current.
    """
    values = [0] + [revision(entry.body) for _, entry in sorted(committed.items())]
    position = {value: index for index, value in enumerate(values)}
    check_condition(len(position) == len(values), f"a revision was committed twice: {values}")
    check_condition(values == sorted(values), f"revisions go back: {values}")
    writers, seen = _by_value(calls, committed, values, position)
    effective_s = 0.0
    for index, value in enumerate(values):
        if index:
            write = writers.get(index)
            check_condition(write is not None, f"revision {value} was committed but never sent")
            assert write is not None
            effective_s = max([effective_s, write.began_s, *(call.began_s for call in seen[index - 1])])
            check_condition(
                effective_s <= write.ended_s, f"{write.body!r} was acknowledged before it can have been in force"
            )
        for call in seen[index]:
            check_condition(effective_s <= call.ended_s, f"{call.kind} {call.ident} saw {value} before it was in force")
    # A call that began after another had ended must not see an older value: the bounds above cover that for every
    # value but the last, which stays current.


def _by_value(
    calls: Iterable[Call], committed: dict[int, Entry], values: list[int], position: dict[int, int]
) -> tuple[dict[int, Call], dict[int, list[Call]]]:
    """The call that wrote each value, and the calls that saw it, by the value's position in the order."""
    entries = {entry.body: entry for entry in committed.values()}
    seen: dict[int, list[Call]] = {index: [] for index in position.values()}
    writers: dict[int, Call] = {}
    for call in calls:
        if call.kind == "replace" and call.body in entries:
            entry = entries[call.body]
            writers[position[entry.revision]] = call
            check_condition(
                values[position[entry.revision] - 1] == call.base, f"{call.body!r} was applied on another base"
            )
            check_condition(call.status in (0, 200), f"{call.body!r} was applied, but answered with {call.status}")
        elif call.kind == "replace" and call.status == 200:
            raise InvariantViolationError(f"{call.body!r} was acknowledged but never committed")
        elif call.seen is not None:
            check_condition(
                call.seen in position, f"{call.kind} {call.ident} saw {call.seen}, which was never committed"
            )
            check_condition(
                call.status != 412 or call.seen != call.base,
                f"{call.ident} was rejected although its base was in force",
            )
            seen[position[call.seen]].append(call)
    return writers, seen
