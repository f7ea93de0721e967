"""Views: which machines form the chain in an epoch, and which group decides the next view by majority.

Source: Vertical Paxos (Lamport, Malkhi, Zhou, 2009). A member's name consists of its address and the identity of its
disk, such as "10.0.0.1/5f2a": a machine that lost its disk has lost its promises, and becomes a different member.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache


@lru_cache(maxsize=256)
def ip_of(name: str) -> str:
    """The address of a member."""
    return name.partition("/")[0]


def majority(count: int) -> int:
    """The smallest majority of `count` members."""
    return count // 2 + 1


@dataclass(frozen=True, slots=True)
class View:
    """A configuration of the core for one epoch, agreed on by a majority of the previous view's group."""

    epoch: int
    chain: tuple[str, ...]
    """Member names, from head to tail."""
    group: tuple[str, ...]
    """Names of the members whose majority decides the next view; includes all members of the chain."""
    initial_number: int = 0
    """The number of the view's initial entry; later entries are committed by the tail."""

    @property
    def members(self) -> tuple[str, ...]:
        """The addresses of the chain, from head to tail."""
        return tuple(ip_of(name) for name in self.chain)

    @property
    def head(self) -> str:
        """The address of the machine that orders writes."""
        return self.members[0]

    @property
    def tail(self) -> str:
        """The address of the machine that commits entries and answers reads."""
        return self.members[-1]

    def successor(self, ip: str) -> str | None:
        """The address of the next member towards the tail; None for the tail."""
        position = self.members.index(ip) + 1
        return self.members[position] if position < len(self.members) else None

    def predecessor(self, ip: str) -> str | None:
        """The address of the next member towards the head; None for the head."""
        position = self.members.index(ip)
        return self.members[position - 1] if position else None


@dataclass(frozen=True, slots=True)
class Entry:
    """A version of the configuration in the replicated log. Entries are ordered by epoch, then number."""

    number: int
    """The position in the log, starting at 1."""
    epoch: int
    """The epoch of the view in which the entry was written."""
    revision: int
    """The revision stated in the configuration."""
    base: int
    """The revision of the preceding version."""
    body: bytes
    """The configuration, as the operator sent it."""


#: Placeholders for a view and an entry that do not exist yet.
NO_VIEW = View(0, (), ())
NO_ENTRY = Entry(0, 0, 0, 0, b"")
