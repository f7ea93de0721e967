"""Addresses of nodes that have been registered at a leader, kept longer than their registrations.

An edge node has no disk: after a restart it knows only the seeds of its settings file. If these have restarted too, no
node that it can ask knows the leader, so the leader announces itself to the addresses of the directory. The core
machines keep a copy of it on their disks (docs/design/node-directory.md). Does no I/O; times are seconds of a monotonic
clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cypressbeam.distribution.node_registry import RENEWAL_INTERVAL_S

#: A node whose registration is this much overdue is announced to.
OVERDUE_S = 1.0
#: First and longest interval between announcements to the same node; the interval doubles each time.
ANNOUNCEMENT_INTERVAL_S, MAX_ANNOUNCEMENT_INTERVAL_S = 0.5, 8.0
#: Limit of announcements at one time.
MAX_ANNOUNCEMENTS = 128
#: Nodes that are running register at a new leader by themselves before this time.
REGISTRATION_GRACE_S = 1.0
#: An address is forgotten when its node has not been registered for this long.
RETENTION_S = 3600.0
#: Limit of the addresses that are kept; those that have been silent for longest are forgotten first.
MAX_ADDRESSES = 8192


@dataclass(slots=True)
class DirectoryEntry:
    """What is known about one address."""

    seen_s: float
    """When the node last registered, or when the address was added."""
    is_lost: bool = False
    """Whether its connection was lost, or the leader has changed, since it registered."""
    due_s: float = 0.0
    """When the next announcement is due."""
    interval_s: float = ANNOUNCEMENT_INTERVAL_S

    def is_silent(self, now_s: float) -> bool:
        """Whether the node may not know the leader."""
        return self.is_lost or now_s - self.seen_s > RENEWAL_INTERVAL_S + OVERDUE_S


class NodeDirectory:
    """Addresses of nodes, and when the next announcement to each of them is due."""

    def __init__(self) -> None:
        self.entries: dict[str, DirectoryEntry] = {}
        self.sorted_addresses: tuple[str, ...] | None = ()

    def addresses(self) -> tuple[str, ...]:
        """All addresses in sorted order; the same object until one is added or forgotten."""
        if self.sorted_addresses is None:
            self.sorted_addresses = tuple(sorted(self.entries))
        return self.sorted_addresses

    def add(self, addresses: Iterable[str], now_s: float) -> None:
        """Add addresses that are not known yet."""
        for ip in addresses:
            if ip not in self.entries:
                self.entries[ip] = DirectoryEntry(now_s)
                self.sorted_addresses = None

    def replace(self, addresses: Iterable[str], now_s: float) -> None:
        """Keep these addresses only, as the leader has them."""
        kept = set(addresses)
        for ip in [ip for ip in self.entries if ip not in kept]:
            self.forget(ip)
        self.add(kept, now_s)

    def note_registration(self, ip: str, seen_s: float) -> None:
        """Record when a node last registered."""
        entry = self.entries.get(ip)
        if entry is None:
            self.add([ip], seen_s)
        elif seen_s > entry.seen_s:
            self.entries[ip] = DirectoryEntry(seen_s)

    def note_lost(self, ip: str, now_s: float) -> None:
        """Record that the connection of a node was lost."""
        entry = self.entries.get(ip)
        if entry is not None and not entry.is_lost:
            self.entries[ip] = DirectoryEntry(now_s, is_lost=True, due_s=now_s)

    def begin_term(self, now_s: float) -> None:
        """A new leader has no registrations: nodes that do not register by themselves are announced to."""
        for ip in self.entries:
            self.entries[ip] = DirectoryEntry(now_s, is_lost=True, due_s=now_s + REGISTRATION_GRACE_S)

    def due_announcements(self, now_s: float) -> list[str]:
        """Addresses of silent nodes to announce the leader to now; the next announcement to each comes later."""
        due = [ip for ip, entry in self.entries.items() if entry.is_silent(now_s) and now_s >= entry.due_s]
        due = sorted(due, key=lambda ip: self.entries[ip].due_s)[:MAX_ANNOUNCEMENTS]
        for ip in due:
            entry = self.entries[ip]
            entry.due_s = now_s + entry.interval_s
            entry.interval_s = min(2 * entry.interval_s, MAX_ANNOUNCEMENT_INTERVAL_S)
        return due

    def expire(self, now_s: float) -> None:
        """Forget addresses without a registration for `RETENTION_S`, and the oldest ones above `MAX_ADDRESSES`."""
        by_age = sorted(self.entries, key=lambda ip: self.entries[ip].seen_s)
        excess = len(by_age) - MAX_ADDRESSES
        for index, ip in enumerate(by_age):
            if index >= excess and now_s - self.entries[ip].seen_s <= RETENTION_S:
                return
            self.forget(ip)

    def forget(self, ip: str) -> None:
        """Remove an address."""
        del self.entries[ip]
        self.sorted_addresses = None
