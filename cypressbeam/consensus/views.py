"""Views: which machines form the chain in an epoch, and whose majority decides the next view.

Source: Vertical Paxos (Lamport, Malkhi, Zhou, 2009). A member is named by its address and the identity of its disk,
"10.0.0.1/5f2a": a machine that lost its disk has forgotten its promises, and is another member from then on.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache


@lru_cache(maxsize=256)
def ip_of(name: str) -> str:
    """The address of a member."""
    return name.partition("/")[0]


def majority(count: int) -> int:
    """How many of so many members are a majority."""
    return count // 2 + 1


@dataclass(frozen=True, slots=True)
class View:
    """What a majority of the group before it has agreed on."""

    epoch: int
    chain: tuple[str, ...]
    """Names, from head to tail."""
    group: tuple[str, ...]
    """Names of the members whose majority decides the next view; the chain is a part of them."""
    initial_number: int = 0
    """The number of the entry that the view began with; later ones are committed when the tail says so."""

    @property
    def members(self) -> tuple[str, ...]:
        """The chain's addresses, from head to tail."""
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
        """The address behind one in the chain; None behind the tail."""
        at = self.members.index(ip) + 1
        return self.members[at] if at < len(self.members) else None

    def predecessor(self, ip: str) -> str | None:
        """The address before one in the chain; None before the head."""
        at = self.members.index(ip)
        return self.members[at - 1] if at else None


@dataclass(frozen=True, slots=True)
class Entry:
    """A version of the configuration in the replicated log. Of two entries, the one with the higher epoch, then number,
    is the newer."""

    number: int
    """Its position in the log, from 1 on."""
    epoch: int
    """Of the view in which it was written."""
    revision: int
    """The configuration's own number."""
    base: int
    """The revision before it."""
    body: bytes
    """The configuration, as the operator sent it."""


#: In place of the view and the entry where there is none yet.
NO_VIEW = View(0, (), ())
NO_ENTRY = Entry(0, 0, 0, 0, b"")
