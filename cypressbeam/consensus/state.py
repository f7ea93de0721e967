"""The state that the components of a replica share: the installed view, the chain position, and the stored entry.

Invariants: the highest epoch seen never decreases; the entry on disk stays known when the machine leaves the chain,
since it may be the only remaining copy.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

from cypressbeam.consensus.chain import ChainReplica
from cypressbeam.consensus.views import Entry, View, ip_of, majority


class DiskState(IntEnum):
    """The role that the views on a machine's disk give it; the value is sent in heartbeats."""

    EMPTY = 0
    """The disk holds no view yet."""
    VOTER = 1
    """The disk holds, or held, a view whose group includes the machine."""
    LEARNER = 2
    """The disk holds a view that was installed while the machine was a spare, before it became a member."""


class ReplicaState:
    """State shared by the components of a replica; only `Replica` and `Proposer` assign its attributes directly."""

    def __init__(
        self, name: str, min_copies: int, check: Callable[[bytes], int], digest: Callable[[bytes], bytes]
    ) -> None:
        """
        :param name: address and disk identity of this machine.
        :param min_copies: the minimum length of a chain.
        :param check: returns the revision of a configuration; raises ValueError if it is invalid.
        :param digest: returns the digest of a configuration.
        """
        self.name = name
        self.ip = ip_of(name)
        self.min_copies = min_copies
        self.check = check
        self.digest = digest
        self.view: View | None = None
        """The newest view that this machine knows of; the machine is not necessarily part of it."""
        self.chain: ChainReplica | None = None
        """This machine's member of the chain of that view, None if it is not in the chain."""
        self.stored_entry: Entry | None = None
        """The newest entry on disk when the view was installed; `chain` holds later ones."""
        self.stored_digests: dict[int, bytes] = {}
        """The digests of applied writes at that time (deduplication.py)."""
        self.disk_state = DiskState.EMPTY
        self.highest_epoch = 0
        """The highest epoch seen; a proposal uses a higher one."""
        self.installed_epoch = 0
        """The epoch of the last view persisted since the process started; 0 before that, as earlier activity is not
        known after a restart."""
        self.pending_view: View | None = None
        """A view that is being written to disk."""

    def newest_entry(self) -> Entry | None:
        """The newest entry on disk."""
        return self.chain.last if self.chain is not None else self.stored_entry

    def applied_digests(self) -> dict[int, bytes]:
        """The digests of that entry and of those before it, by revision."""
        return self.chain.applied_digests if self.chain is not None else self.stored_digests

    def digests_complete_up_to(self) -> int:
        """The revision up to which the digests here are complete and belong to committed versions: the base of the
        newest entry, since an entry reaches a disk only after its base was committed."""
        entry = self.newest_entry()
        return entry.base if entry is not None else 0

    def quorum_size(self, group: tuple[str, ...]) -> int:
        """The number of members that form a majority of a group."""
        return majority(len(group))

    def is_voter(self) -> bool:
        """Whether the group of the current view includes this machine."""
        return self.view is not None and self.name in self.view.group

    def is_active(self) -> bool:
        """Whether this machine's view is active and the machine has caught up, as far as it knows."""
        chain = self.chain
        return chain is not None and chain.active and not chain.sealed and chain.is_caught_up()

    def observe_epoch(self, *epochs: int) -> None:
        """Record epochs seen in messages or on disk."""
        self.highest_epoch = max(self.highest_epoch, *epochs)

    def seal(self) -> None:
        """Stop all activity of the chain in its current epoch."""
        if self.chain is not None:
            self.chain.sealed = True

    def install(self, view: View, promised: int) -> None:
        """Switch to a view that is on disk."""
        self.view = view
        is_voter = self.name in view.group or self.disk_state is DiskState.VOTER
        self.disk_state = DiskState.VOTER if is_voter else DiskState.LEARNER
        self.observe_epoch(view.epoch)
        self.chain = None
        if self.name in view.chain:
            self.chain = ChainReplica(self.ip, view, self.check, self.digest, self.stored_entry, self.stored_digests)
            self.chain.sealed = promised > view.epoch

    def learn_view(self, view: View) -> None:
        """Record a view newer than the one on disk: this machine is not part of it, or is still writing it."""
        self.view = view
        self.observe_epoch(view.epoch)
        # The entry synced by the chain replica is still on disk, and a promise must report it.
        self.stored_entry, self.stored_digests = self.newest_entry(), self.applied_digests()
        self.chain = None
