"""What the blob transfer needs of connections, and how much of the node's link it takes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from cypressbeam.protocol import frames

#: Slices and windows are what the node's own link carries in so long, within bounds: a frame waits behind one slice of
#: each transfer, and a window covers the way there and back.
CHUNK_S, WINDOW_S = 0.01, 0.06
CHUNK_BYTES = (2 * 1024, 32 * 1024)
WINDOW_BYTES = (8 * 1024, 256 * 1024)
#: Slices take at most this share of the link; requests have the rest, where a node carries any.
LINK_SHARE, FREE_SHARE = 0.5, 0.9


@dataclass(frozen=True, slots=True)
class LinkRate:
    """How the transfer uses a link."""

    chunk_bytes: int
    """Bytes of a chunk that is sent at once."""
    window_bytes: int
    """Bytes that a fetch asks for at once."""
    per_s: float
    """Bytes a second that chunks may take."""

    @classmethod
    def of(cls, link_mbps: float, shared: bool) -> LinkRate:
        """Of a link that carries so many Mbit/s; `shared`: also clients' requests."""
        per_s = link_mbps * 1e6 / 8
        return cls(
            int(min(max(per_s * CHUNK_S, CHUNK_BYTES[0]), CHUNK_BYTES[1])),
            int(min(max(per_s * WINDOW_S, WINDOW_BYTES[0]), WINDOW_BYTES[1])),
            per_s * (LINK_SHARE if shared else FREE_SHARE),
        )


class Connection(Protocol):
    """A connection to another node, as far as slices need it."""

    @property
    def ip(self) -> str:
        """The address of the node at the other end."""

    @property
    def transport(self) -> object | None:
        """None: it is not up yet."""

    def send(self, frame: frames.Frame) -> None:
        """Send a message."""


class Connections(Protocol):
    """The node's connections to others."""

    @property
    def ip(self) -> str:
        """The address of this node."""

    def bulk_link_to(self, ip: str) -> Connection:
        """The connection out for slices."""
