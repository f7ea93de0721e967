"""Messages about failures: of nodes (suspicion and orderly leaving) and of servers (outlier detection)."""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame


@dataclass(frozen=True, slots=True)
class SuspectReport(Frame):
    """A node that was assigned to monitor another tells the root that it does not answer."""

    CODE = 8
    FIELDS = "s"
    name: str
    """The suspected node's name."""


@dataclass(frozen=True, slots=True)
class LeaveNotice(Frame):
    """A node tells the root that it is about to end."""

    CODE = 9
    FIELDS = "s"
    name: str
    """The node's own name."""


@dataclass(frozen=True, slots=True)
class OutlierReport(Frame):
    """A node reports servers whose requests have failed at it lately; from child to parent up to the root."""

    CODE = 32
    FIELDS = "cssl"
    hops: int
    """How many nodes have passed it on: a circle of parents ends by this count."""
    name: str
    """The reporting node's name."""
    zone: str
    """Its zone."""
    servers: tuple[str, ...]
    """The servers' addresses, with port."""


@dataclass(frozen=True, slots=True)
class OutlierEjection(Frame):
    """The root's finding that servers fail for many nodes of a zone; from parent to child down the tree."""

    CODE = 33
    FIELDS = "sle"
    zone: str
    """The zone whose nodes it concerns."""
    servers: tuple[str, ...]
    """The servers' addresses, with port."""
    epoch: int = 0
    """In which the root leads."""
