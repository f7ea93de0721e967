"""Epoch fencing (docs/design/fencing.md).

Whatever says who leads, or what is in force, carries the epoch of the view under which it was said. A node keeps the
highest epoch that it has seen, rejects messages of a lower one, and replies to them with the current one.
Invariant: the epoch never falls.
"""

from __future__ import annotations

from collections.abc import Callable

from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link


class EpochFence:
    """The highest epoch that a node has seen, and the core's group as of the newest epoch that named it."""

    def __init__(self) -> None:
        self.epoch = 0
        """The highest in which anybody led, as far as was heard here."""
        self.group: tuple[str, ...] = ()
        """Addresses of the core's group."""
        self.group_epoch = 0
        """Since which epoch."""
        self.on_epoch: Callable[[], None] = lambda: None
        """Told when a higher epoch was seen."""
        self.vouched_leader: Callable[[], str] = str
        """The root's address as this node may name it to others, or nothing."""

    def observe(self, epoch: int) -> None:
        """Somebody leads in this epoch, or has: what was said under lower ones is over."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.on_epoch()

    def rejects(self, link: Link, epoch: int) -> bool:
        """Whether a message is of an older epoch: it is ignored, and its sender is sent the current one."""
        if epoch < self.epoch:
            link.send(self.redirect())
            return True
        self.observe(epoch)
        return False

    def redirect(self) -> frames.LeaderRedirect:
        """Where the root is, as this node knows it."""
        return frames.LeaderRedirect(self.vouched_leader(), self.epoch, self.group)

    def learn_group(self, group: tuple[str, ...], epoch: int) -> None:
        """Addresses of the core's group, as somebody knows it who has seen that epoch."""
        if group and epoch >= self.group_epoch:
            self.group, self.group_epoch = group, epoch
