"""A small model of the nodes downstream of the core, and of the announcements that they accept from a root. Pure.

A root announces its epoch and its version; a node rejects announcements of a lower epoch than the highest it has seen.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Announcement:
    """A root's announcement: the epoch in which it leads, its address, and its version."""

    epoch: int
    root: str
    revision: int


@dataclass(slots=True)
class DownstreamNode:
    """A node: the highest epoch that it has seen, and its version."""

    epoch: int = 0
    revision: int = 0
    roots: dict[int, str] = field(default_factory=dict)
    """The root whose announcements were accepted, by epoch."""

    def accepts(self, announced: Announcement) -> bool:
        """Whether an announcement's epoch is at least the highest seen."""
        return announced.epoch >= self.epoch

    def take(self, announced: Announcement) -> str | None:
        """Accept or reject an announcement. Returns the violated invariant, if any."""
        if not self.accepts(announced):
            return None
        epoch, root, revision = announced.epoch, announced.root, announced.revision
        if self.roots.setdefault(epoch, root) != root:
            return f"two roots were accepted in epoch {epoch}: {self.roots[epoch]} and {root}"
        if epoch == self.epoch and revision <= self.revision:
            return None  # reordered: a newer announcement of this root came first
        before, self.revision, self.epoch = self.revision, revision, max(self.epoch, epoch)
        if revision < before:
            return f"a node goes back from version {before} to {revision}, announced by {root} for epoch {epoch}"
        return None
