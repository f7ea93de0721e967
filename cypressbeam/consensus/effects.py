"""Effects: what the consensus asks its host to do. The host carries them out in their order.

A write is confirmed by a call back: `entry_persisted`, `promise_persisted`, `view_persisted` and `disk_probed`, or
`write_failed` where the disk has refused it.
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
    """Put an entry on disk."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class PersistPromise:
    """Put a promise on disk: no lower epoch is taken part in from then on."""

    epoch: int
    proposer: str
    """The address of the machine that asked for it."""


@dataclass(frozen=True, slots=True)
class PersistView:
    """Put a view on disk, with the entry and the digests of applied writes that it begins with, in one write."""

    view: View
    entry: Entry | None
    applied_digests: dict[int, bytes]


@dataclass(frozen=True, slots=True)
class ProbeDisk:
    """Write something, to see whether a disk that refused a write takes them again."""


@dataclass(frozen=True, slots=True)
class Publish:
    """A committed configuration: to the distribution tree."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class SetLeadership:
    """Be the root of the distribution tree from now on, or no more."""

    leads: bool


@dataclass(frozen=True, slots=True)
class ResetIdentity:
    """This machine's disk is an older copy of itself: go on as another member, with an empty disk."""

    reason: str


#: What a place in the chain asks for.
ChainEffect = PersistEntry | SendMessage | Publish
#: What is written to the disk.
DiskWrite = PersistEntry | PersistPromise | PersistView | ProbeDisk
Effect = ChainEffect | DiskWrite | SetLeadership | ResetIdentity
