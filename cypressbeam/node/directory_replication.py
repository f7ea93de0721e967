"""Keeps the directory of node addresses alike on all members of the core (docs/design/node-directory.md).

The leader sends its directory to the other members. A member takes it over, and answers with what the leader lacks: the
seeds of its own settings file, and once in each epoch the addresses that it knew before."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cypressbeam.distribution.node_directory import NodeDirectory
from cypressbeam.distribution.node_registry import NodeRecord
from cypressbeam.distribution.tree_node import TreeNode
from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link

#: A changed directory is sent to the members at most this often, and an unchanged one again after the second interval.
SHARE_INTERVAL_S, REFRESH_INTERVAL_S = 1.0, 10.0


class DirectoryReplication:
    """The directory of a core machine, and its exchange with the other members."""

    def __init__(self, tree: TreeNode, send: Callable[[str, frames.Frame], None]) -> None:
        self.tree = tree
        self.send = send
        self.directory = NodeDirectory()
        self.member_epoch = 0
        """The epoch of the newest update received from a leader."""
        self.shared: tuple[str, ...] = ()
        """The addresses last sent to the members."""
        self.shared_s = 0.0

    def seeds(self) -> list[str]:
        """Addresses of the seeds in this machine's settings file."""
        return [host for host, _ in self.tree.context.settings.seeds]

    def begin_term(self, now_s: float) -> None:
        """This machine takes the lead."""
        self.shared = ()
        self.directory.begin_term(now_s)

    def note_registrations(self, records: Iterable[NodeRecord], now_s: float) -> None:
        """Update the leader's directory from its registry."""
        for record in records:
            self.directory.note_registration(record.ip, record.seen_s)
        self.directory.add(self.seeds(), now_s)
        self.directory.expire(now_s)

    def share(self, now_s: float) -> None:
        """Send the leader's directory to the other members if it has changed, and from time to time."""
        addresses = self.directory.addresses()
        interval_s = SHARE_INTERVAL_S if addresses != self.shared else REFRESH_INTERVAL_S
        if now_s < self.shared_s + interval_s:
            return
        self.shared, self.shared_s = addresses, now_s
        fence = self.tree.fence
        for ip in fence.group:
            if ip != self.tree.context.settings.ip:
                self.send(ip, frames.NodeDirectoryUpdate(fence.epoch, addresses))

    def on_update(self, link: Link, frame: frames.NodeDirectoryUpdate, now_s: float) -> None:
        """Handle the directory of the leader, or at the leader the addresses that a member adds to it."""
        if self.tree.fence.rejects(link, frame.epoch):
            return
        if self.tree.position.is_root:
            self.directory.add(frame.addresses, now_s)
            return
        previous = self.directory.addresses() if frame.epoch > self.member_epoch else ()
        self.member_epoch = frame.epoch
        known = set(frame.addresses)
        missing = tuple(ip for ip in dict.fromkeys([*previous, *self.seeds()]) if ip not in known)
        self.directory.replace([*frame.addresses, *missing], now_s)
        if missing:
            link.send(frames.NodeDirectoryUpdate(frame.epoch, missing))
