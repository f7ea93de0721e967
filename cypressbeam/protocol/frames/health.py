"""Messages about failures: suspected and leaving nodes, and outlier detection for servers."""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame


@dataclass(frozen=True, slots=True)
class SuspectReport(Frame):
    """A node reports to the root that a node that it monitors does not respond."""

    CODE = 8
    FIELDS = "s"
    name: str
    """The name of the suspected node."""


@dataclass(frozen=True, slots=True)
class LeaveNotice(Frame):
    """A node reports to the root that it is about to stop."""

    CODE = 9
    FIELDS = "s"
    name: str
    """The name of the leaving node."""


@dataclass(frozen=True, slots=True)
class OutlierReport(Frame):
    """A node reports servers that recently failed its requests; forwarded from child to parent up to the root."""

    CODE = 32
    FIELDS = "cssl"
    hops: int
    """How many nodes have forwarded it. A limit ends forwarding in a cycle of parents."""
    name: str
    """The name of the reporting node."""
    zone: str
    """The zone of the reporting node."""
    servers: tuple[str, ...]
    """Addresses of the servers, with port."""


@dataclass(frozen=True, slots=True)
class OutlierEjection(Frame):
    """The root has found that servers fail for many nodes of a zone; forwarded from parent to child down the tree."""

    CODE = 33
    FIELDS = "sle"
    zone: str
    """The zone whose nodes are affected."""
    servers: tuple[str, ...]
    """Addresses of the servers, with port."""
    epoch: int = 0
    """The epoch in which the root leads."""
