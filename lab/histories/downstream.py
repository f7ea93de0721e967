"""Nodes downstream of the core, and what a root may announce to them: a small model beside the histories. Pure.

A root announces its epoch and its version; a node rejects announcements of a lower epoch than the highest it has seen.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a root announces: the epoch in which it leads, its address, and the version that it has."""

    epoch: int
    root: str
    revision: int


@dataclass(slots=True)
class DownstreamNode:
    """One node: the highest epoch that it has seen, and the version that it has."""

    epoch: int = 0
    revision: int = 0
    roots: dict[int, str] = field(default_factory=dict)
    """Whose announcement was accepted, by epoch."""

    def accepts(self, announced: Announcement) -> bool:
        """Whether an announcement is of no lower epoch than the highest seen."""
        return announced.epoch >= self.epoch

    def take(self, announced: Announcement) -> str | None:
        """Accept an announcement or reject it. Returns the invariant that it breaks, if any."""
        if not self.accepts(announced):
            return None
        epoch, root, revision = announced.epoch, announced.root, announced.revision
        if self.roots.setdefault(epoch, root) != root:
            return f"two roots were believed in epoch {epoch}: {self.roots[epoch]} and {root}"
        if epoch == self.epoch and revision <= self.revision:
            return None  # an older announcement of the same root was overtaken
        before, self.revision, self.epoch = self.revision, revision, max(self.epoch, epoch)
        if revision < before:
            return f"a node goes back from {before} to {revision}, which {root} tells for {epoch}"
        return None
