"""Interfaces of the connections that the blob transfer uses, and its share of the node's network link."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from cypressbeam.protocol import frames

#: Sizes of chunks and windows as transmission times on the node's own link, within the bounds below: a message waits
#: for at most one chunk of each transfer, and a window covers the round-trip time.
CHUNK_S, WINDOW_S = 0.01, 0.06
CHUNK_BYTES = (2 * 1024, 32 * 1024)
WINDOW_BYTES = (8 * 1024, 256 * 1024)
#: Maximum share of the link's rate for chunks, on a link that also carries client traffic and on one that does not.
LINK_SHARE, DEDICATED_LINK_SHARE = 0.5, 0.9


@dataclass(frozen=True, slots=True)
class LinkRate:
    """Chunk size, window size and rate limit of transfers on a network link."""

    chunk_bytes: int
    """Maximum size of a chunk."""
    window_bytes: int
    """Bytes that a fetch requests at a time."""
    bytes_per_s: float
    """Rate limit of all outgoing chunks together."""

    @classmethod
    def from_link(cls, link_mbps: float, shared: bool) -> LinkRate:
        """The limits for a link of `link_mbps`; `shared` says whether it also carries client traffic."""
        bytes_per_s = link_mbps * 1e6 / 8
        return cls(
            int(min(max(bytes_per_s * CHUNK_S, CHUNK_BYTES[0]), CHUNK_BYTES[1])),
            int(min(max(bytes_per_s * WINDOW_S, WINDOW_BYTES[0]), WINDOW_BYTES[1])),
            bytes_per_s * (LINK_SHARE if shared else DEDICATED_LINK_SHARE),
        )


class Connection(Protocol):
    """A connection to another node, as the blob transfer uses it."""

    @property
    def ip(self) -> str:
        """The address of the node at the other end."""

    @property
    def transport(self) -> object | None:
        """None until the connection is established."""

    def send(self, frame: frames.Frame) -> None:
        """Send a message."""


class Connections(Protocol):
    """The connections of this node, as the blob transfer uses them."""

    @property
    def ip(self) -> str:
        """The address of this node."""

    def bulk_link_to(self, ip: str) -> Connection:
        """The outbound connection for chunks."""
