"""The state of one machine with a disk: the view that it has installed, its place in the chain, and what it stores.

Invariants: the highest epoch that was seen never falls; what the chain replica has put on disk stays known when the
machine leaves the chain, for it may be the only copy that is left.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

from cypressbeam.consensus.chain import ChainReplica
from cypressbeam.consensus.views import Entry, View, ip_of, majority


class DiskState(IntEnum):
    """What a machine's disk counts for, as it goes over the wire."""

    EMPTY = 0
    """It holds no view yet."""
    VOTER = 1
    """It holds, or held, a view that counts the machine in its group."""
    LEARNER = 2
    """It holds a view that was put there before the machine was a member, as a spare."""


class ReplicaState:
    """What the parts of a replica share. Each attribute is changed by its owner, named beside it, alone."""

    def __init__(
        self, name: str, min_copies: int, check: Callable[[bytes], int], digest: Callable[[bytes], bytes]
    ) -> None:
        """
        :param name: address and identity of this machine.
        :param min_copies: how many members a chain has at least.
        :param check: gives the revision of a configuration; raises ValueError where it is invalid.
        :param digest: of a configuration.
        """
        self.name = name
        self.ip = ip_of(name)
        self.min_copies = min_copies
        self.check = check
        self.digest = digest
        self.view: View | None = None
        """The newest view that this machine knows of; it may have no place in it."""
        self.chain: ChainReplica | None = None
        """This machine's place in the chain of that view."""
        self.stored_entry: Entry | None = None
        """The newest entry on disk when the view was installed; later `chain` has it."""
        self.stored_digests: dict[int, bytes] = {}
        """The digests of applied writes at that time (deduplication.py)."""
        self.disk_state = DiskState.EMPTY
        self.highest_epoch = 0
        """Of all that was seen; a proposal goes above it."""
        self.installed_epoch = 0
        """Of the view that was put on disk since the process started; what it did before that it has forgotten."""
        self.pending_view: View | None = None
        """A view whose write to disk is under way."""

    def newest_entry(self) -> Entry | None:
        """The newest entry on disk."""
        return self.chain.last if self.chain is not None else self.stored_entry

    def applied_digests(self) -> dict[int, bytes]:
        """The digests of the writes that led to it, by revision."""
        return self.chain.applied_digests if self.chain is not None else self.stored_digests

    def digests_complete_up_to(self) -> int:
        """The revision up to which the digests here are those of committed versions, and all that are kept: what came
        before an entry was committed before that was put on any disk."""
        entry = self.newest_entry()
        return entry.base if entry is not None else 0

    def quorum_size(self, group: tuple[str, ...]) -> int:
        """How many members of a group are a majority."""
        return majority(len(group))

    def is_voter(self) -> bool:
        """Whether the view counts this machine in its group."""
        return self.view is not None and self.name in self.view.group

    def is_active(self) -> bool:
        """Whether this machine's view is active, as far as it knows."""
        chain = self.chain
        return chain is not None and chain.active and not chain.sealed and chain.is_caught_up()

    def observe_epoch(self, *epochs: int) -> None:
        """Epochs were seen."""
        self.highest_epoch = max(self.highest_epoch, *epochs)

    def seal(self) -> None:
        """Nothing more is done in the epoch of the chain."""
        if self.chain is not None:
            self.chain.sealed = True

    def install(self, view: View, promised: int) -> None:
        """A view is on disk."""
        self.view = view
        counts = self.name in view.group or self.disk_state is DiskState.VOTER
        self.disk_state = DiskState.VOTER if counts else DiskState.LEARNER
        self.observe_epoch(view.epoch)
        self.chain = None
        if self.name in view.chain:
            self.chain = ChainReplica(self.ip, view, self.check, self.digest, self.stored_entry, self.stored_digests)
            self.chain.sealed = promised > view.epoch

    def learn_view(self, view: View) -> None:
        """A newer view is known of than is on disk: this machine has no place in it, or its write is under way."""
        self.view = view
        self.observe_epoch(view.epoch)
        # What the chain replica has synced is on disk still, and a promise must name it.
        self.stored_entry, self.stored_digests = self.newest_entry(), self.applied_digests()
        self.chain = None
