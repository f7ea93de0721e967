"""Messages for the transfer of bodies in chunks, on a separate connection (`cypressbeam.transport.blobs`)."""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame


@dataclass(frozen=True, slots=True)
class ChunkRequest(Frame):
    """Requests a chunk of a packed body from any node that may have it. The reply is `Chunk` or `BlobNotFound`."""

    CODE = 27
    FIELDS = "bbii"
    digest: bytes
    """The digest of the body."""
    base_digests: bytes
    """Concatenated digests of bodies that the requesting node has, the newest last. Later requests of a transfer name
    only the base of the first reply."""
    offset: int
    """The offset of the chunk in the packed body."""
    length: int
    """The length of the chunk in bytes."""


@dataclass(frozen=True, slots=True)
class Chunk(Frame):
    """A chunk of a packed body. The body may be a delta against a base that the receiver has."""

    CODE = 28
    FIELDS = "bbiib"
    digest: bytes
    """The digest of the body."""
    base_digest: bytes
    """The digest of the base; empty if there is none."""
    total: int
    """The size of the packed body in bytes."""
    offset: int
    """The offset of the chunk in the packed body."""
    data: bytes


@dataclass(frozen=True, slots=True)
class BlobNotFound(Frame):
    """The sender does not have the requested body. The receiver asks another node."""

    CODE = 29
    FIELDS = "b"
    digest: bytes
    """The digest of the body."""
