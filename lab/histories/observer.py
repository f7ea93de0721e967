"""What an observer of the simulated core sees: each entry that was synced or committed, each view that was active, and
the downstream nodes that hear the roots. It raises Violation at once for what must not be."""

from __future__ import annotations

from collections.abc import Iterable

from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import Entry
from lab.histories.downstream import Announcement, DownstreamNode
from lab.histories.invariants import InvariantViolationError, demand


class Observer:
    """Checks, over all machines: one entry a number, one chain an epoch, enough copies, no step back below."""

    def __init__(self, downstream: Iterable[str], enough: int) -> None:
        self.enough = enough
        """Copies that an active chain must have."""
        self.committed: dict[int, Entry] = {}
        """What was ever published, by its number."""
        self.synced: dict[tuple[int, int], list[Entry]] = {}
        """What was ever on some disk, by number and revision."""
        self.chains: dict[int, tuple[str, ...]] = {}
        """What was ever active, by epoch."""
        self.downstream = {name: DownstreamNode() for name in downstream}

    def on_synced(self, entry: Entry) -> None:
        """Some machine has put an entry on disk."""
        self.synced.setdefault((entry.number, entry.revision), []).append(entry)

    def on_published(self, entry: Entry) -> None:
        """Some machine has published an entry as committed."""
        known = self.committed.setdefault(entry.number, entry)
        demand(known.body == entry.body, f"entry {entry.number} was committed as {known.body!r} and {entry.body!r}")

    def on_announced(self, name: str, announced: Announcement) -> None:
        """A downstream node hears a root."""
        wrong = self.downstream[name].take(announced)
        demand(wrong is None, str(wrong))

    def check(self, replica: Replica) -> None:
        """After what one machine did: a promise never below what is held; of what is active, one chain an epoch, ever,
        and never too few copies."""
        if replica.state.chain is None:
            return
        view, active = replica.state.chain.view, replica.state.chain.active
        demand(replica.voter.promised >= view.epoch, "a promise below the view that is held")
        if active and self.chains.setdefault(view.epoch, view.chain) != view.chain:
            raise InvariantViolationError(f"two chains in epoch {view.epoch}")
        if active and len(view.chain) < self.enough:
            raise InvariantViolationError("a chain with too few copies is active")

    def chain(self, acknowledged: set[bytes]) -> dict[int, Entry]:
        """What was committed, by number. A tail may be lost after its sync and before it published: the next entry
        then tells by its base what it follows on."""
        found: dict[int, Entry] = {}
        for number in range(max(self.committed, default=0), 0, -1):
            entry = self.committed.get(number)
            if entry is None:
                same = self.synced.get((number, found[number + 1].base), [])
                demand(bool(same), f"entry {number} is missing below a committed one")
                entry = max(same, key=lambda entry: entry.body in acknowledged)
            found[number] = entry
        return found
