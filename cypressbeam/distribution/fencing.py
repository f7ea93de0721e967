"""Epoch fencing (docs/design/fencing.md).

Every message about the leader or the committed state carries the epoch of the view in which it was sent. A node keeps
the highest epoch that it has seen, rejects messages of a lower one, and replies to them with the current one.
Invariant: the epoch never decreases.
"""

from __future__ import annotations

from collections.abc import Callable

from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link


class EpochFence:
    """The highest epoch that a node has seen, and the core's group as of the newest epoch that named it."""

    def __init__(self) -> None:
        self.epoch = 0
        """The highest epoch in which a node is known to have led."""
        self.group: tuple[str, ...] = ()
        """Addresses of the core's group."""
        self.group_epoch = 0
        """The epoch of the message that named the group."""
        self.on_epoch: Callable[[], None] = lambda: None
        """Called when a higher epoch was seen."""
        self.vouched_leader: Callable[[], str] = str
        """Returns the root's address if this node may name it to others, otherwise an empty string."""

    def observe(self, epoch: int) -> None:
        """Record an epoch in which a node leads or has led; messages of lower epochs are obsolete."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.on_epoch()

    def rejects(self, link: Link, epoch: int) -> bool:
        """Whether a message must be ignored because its epoch is outdated; its sender is sent the current one then."""
        if epoch < self.epoch:
            link.send(self.redirect())
            return True
        self.observe(epoch)
        return False

    def redirect(self) -> frames.LeaderRedirect:
        """A message that names the root, as far as this node may, with the current epoch and the core's group."""
        return frames.LeaderRedirect(self.vouched_leader(), self.epoch, self.group)

    def learn_group(self, group: tuple[str, ...], epoch: int) -> None:
        """Record the core's group from a message of the given epoch, unless a newer message named it already."""
        if group and epoch >= self.group_epoch:
            self.group, self.group_epoch = group, epoch
