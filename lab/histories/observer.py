"""A global observer of the simulated core: it sees each entry that was synced or committed, each view that was active,
and what the downstream nodes hear of the roots. It raises InvariantViolationError at once when an invariant fails."""

from __future__ import annotations

from collections.abc import Iterable

from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import Entry
from lab.histories.downstream import Announcement, DownstreamNode
from lab.histories.invariants import InvariantViolationError, check_condition


class Observer:
    """Checks across all machines: one entry per number, one chain per epoch, enough copies, and versions that never
    go back at downstream nodes."""

    def __init__(self, downstream: Iterable[str], min_copies: int) -> None:
        self.min_copies = min_copies
        """The least length of an active chain."""
        self.committed: dict[int, Entry] = {}
        """Every published entry, by its number."""
        self.synced_entries: dict[tuple[int, int], list[Entry]] = {}
        """Every entry that was on some disk, by number and revision."""
        self.chains: dict[int, tuple[str, ...]] = {}
        """Every chain that was active, by epoch."""
        self.downstream = {name: DownstreamNode() for name in downstream}

    def on_synced(self, entry: Entry) -> None:
        """Record that a machine has persisted an entry."""
        self.synced_entries.setdefault((entry.number, entry.revision), []).append(entry)

    def on_published(self, entry: Entry) -> None:
        """Record that a machine has published an entry as committed."""
        known = self.committed.setdefault(entry.number, entry)
        check_condition(
            known.body == entry.body, f"entry {entry.number} was committed as {known.body!r} and {entry.body!r}"
        )

    def on_announced(self, name: str, announced: Announcement) -> None:
        """Deliver a root's announcement to a downstream node."""
        wrong = self.downstream[name].take(announced)
        check_condition(wrong is None, str(wrong))

    def check(self, replica: Replica) -> None:
        """Check a machine after it has acted: its promise is never below its view's epoch, and an active chain is the
        only one of its epoch and has enough members."""
        if replica.state.chain is None:
            return
        view, active = replica.state.chain.view, replica.state.chain.active
        check_condition(replica.voter.promised >= view.epoch, "a promise below the epoch of the installed view")
        if active and self.chains.setdefault(view.epoch, view.chain) != view.chain:
            raise InvariantViolationError(f"two chains in epoch {view.epoch}")
        if active and len(view.chain) < self.min_copies:
            raise InvariantViolationError("an active chain has too few members")

    def chain(self, acknowledged: set[bytes]) -> dict[int, Entry]:
        """All committed entries, by number. A tail may fail after it synced an entry and before it published it; the
        entry is then identified by the base of the next one."""
        found: dict[int, Entry] = {}
        for number in range(max(self.committed, default=0), 0, -1):
            entry = self.committed.get(number)
            if entry is None:
                same = self.synced_entries.get((number, found[number + 1].base), [])
                check_condition(bool(same), f"entry {number} is missing below a committed one")
                entry = max(same, key=lambda entry: entry.body in acknowledged)
            found[number] = entry
        return found
