"""Effects: the actions that the consensus code requests from its host, which carries them out in order.

The host confirms each disk write by calling `entry_persisted`, `promise_persisted`, `view_persisted` or `disk_probed`,
or `write_failed` if the disk rejected it.
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol import frames


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another machine, or to this one."""

    ip: str
    frame: frames.Frame


@dataclass(frozen=True, slots=True)
class PersistEntry:
    """Write an entry to disk."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class PersistPromise:
    """Write a promise to disk: the machine takes part in no lower epoch from then on."""

    epoch: int
    proposer: str
    """The address of the machine that requested the promise."""


@dataclass(frozen=True, slots=True)
class PersistBootstrapPromise:
    """Write a promise to disk: the machine accepts no first view of a lower epoch from then on."""

    epoch: int
    arbiter: str
    """The address of the machine that requested the promise."""


@dataclass(frozen=True, slots=True)
class PersistView:
    """Write a view to disk, together with its initial entry and digests of applied writes, in one transaction."""

    view: View
    entry: Entry | None
    applied_digests: dict[int, bytes]


@dataclass(frozen=True, slots=True)
class ProbeDisk:
    """Write a test record, to see whether a disk that rejected a write accepts writes again."""


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish a committed configuration to the distribution tree."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class SetLeadership:
    """Become the root of the distribution tree, or stop being it."""

    leads: bool


@dataclass(frozen=True, slots=True)
class ResetIdentity:
    """Continue as a new member with an empty disk, since this machine's disk was rolled back."""

    reason: str


#: Effects of a chain member.
ChainEffect = PersistEntry | SendMessage | Publish
#: Effects that write to the disk.
DiskWrite = PersistEntry | PersistPromise | PersistBootstrapPromise | PersistView | ProbeDisk
Effect = ChainEffect | DiskWrite | SetLeadership | ResetIdentity
