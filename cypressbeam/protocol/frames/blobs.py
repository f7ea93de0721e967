"""Messages of the blob transfer: bodies in chunks, on a connection of their own (`cypressbeam.transport.blobs`)."""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame


@dataclass(frozen=True, slots=True)
class ChunkRequest(Frame):
    """A request for a chunk of a packed body, to any node that may have it. The answer is `Chunk` or `BlobNotFound`."""

    CODE = 27
    FIELDS = "bbii"
    digest: bytes
    """The body's digest."""
    base_digests: bytes
    """Digests of bodies that the requesting node has, the newest last; a later request names the one of the first."""
    offset: int
    """The first byte of the packed body that is wanted."""
    length: int
    """How many bytes from there on."""


@dataclass(frozen=True, slots=True)
class Chunk(Frame):
    """A chunk of a body, packed on a base that the receiver has, or on none."""

    CODE = 28
    FIELDS = "bbiib"
    digest: bytes
    """The body's digest."""
    base_digest: bytes
    """The base's digest, or nothing."""
    total: int
    """Bytes of the packed body."""
    offset: int
    """Where in it the chunk begins."""
    data: bytes


@dataclass(frozen=True, slots=True)
class BlobNotFound(Frame):
    """The body that was requested is not here: the receiver asks another node."""

    CODE = 29
    FIELDS = "b"
    digest: bytes
    """The body's digest."""
