"""Messages of the blob transfer: bodies in chunks, on a connection of their own (`cypressbeam.transport.blobs`)."""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame


@dataclass(frozen=True, slots=True)
class Want(Frame):
    """A request for a chunk of a packed body, to any node that may have it. The answer is `Slice` or `Lacking`."""

    KIND = 27
    FORM = "bbii"
    mark: bytes
    """The body's digest."""
    bases: bytes
    """Digests of bodies that the requesting node has, the newest last; a later request names the one of the first."""
    at: int
    """The first byte of the packed body that is wanted."""
    length: int
    """How many bytes from there on."""


@dataclass(frozen=True, slots=True)
class Slice(Frame):
    """A chunk of a body, packed on a base that the receiver has, or on none."""

    KIND = 28
    FORM = "bbiib"
    mark: bytes
    """The body's digest."""
    base: bytes
    """The base's digest, or nothing."""
    total: int
    """Bytes of the packed body."""
    at: int
    """Where in it the chunk begins."""
    data: bytes


@dataclass(frozen=True, slots=True)
class Lacking(Frame):
    """The body that was requested is not here: the receiver asks another node."""

    KIND = 29
    FORM = "b"
    mark: bytes
    """The body's digest."""
