"""The blobs that a node holds, by digest, and a cache of their delta encodings."""

from __future__ import annotations

from collections import OrderedDict

from cypressbeam.protocol import delta
from cypressbeam.protocol.configuration import digest
from cypressbeam.transport.blobs.link import CHUNK_BYTES

#: Number of bodies kept on a node that serves clients, and on one that does not. Core machines need more, because they
#: also receive the bodies of writes that lost a race. Then the number of cached delta encodings; children request one
#: or two of a version.
MAX_BLOBS, MAX_BLOBS_CORE, MAX_PACKED = 4, 12, 8
#: Maximum size of a delta that is sent inline in the announcement: the smallest chunk size.
MAX_INLINE_DELTA_BYTES = CHUNK_BYTES[0]


class BlobStore:
    """The most recently used bodies, and the most recently used delta encodings."""

    def __init__(self, max_blobs: int) -> None:
        self.max_blobs = max_blobs
        self.blobs: OrderedDict[bytes, bytes] = OrderedDict()
        self.packed: OrderedDict[tuple[bytes, bytes], bytes] = OrderedDict()
        """Delta encodings by the digests of the body and of the base (b"" for none)."""

    def put(self, body: bytes) -> bytes:
        """Store a body so that other nodes can fetch it; returns its digest."""
        blob_digest = digest(body)
        self.blobs[blob_digest] = body
        self.blobs.move_to_end(blob_digest)
        while len(self.blobs) > self.max_blobs:
            self.blobs.popitem(last=False)
        return blob_digest

    def get(self, blob_digest: bytes) -> bytes | None:
        """A body, if it is held; marks it as most recently used."""
        body = self.blobs.get(blob_digest)
        if body is not None:
            self.blobs.move_to_end(blob_digest)
        return body

    def put_packed(self, key: tuple[bytes, bytes], data: bytes) -> bytes:
        """Cache a delta encoding by the digests of body and base; returns it."""
        self.packed[key] = data
        self.packed.move_to_end(key)
        while len(self.packed) > MAX_PACKED:
            self.packed.popitem(last=False)
        return data

    def get_packed(self, blob_digest: bytes, base: bytes) -> bytes | None:
        """The delta encoding of a body against a base, or against none (b""); None if either is not held."""
        data = self.packed.get((blob_digest, base))
        if data is None and blob_digest in self.blobs and (not base or base in self.blobs):
            data = self.put_packed(
                (blob_digest, base), delta.pack(self.blobs[blob_digest], self.blobs[base] if base else b"")
            )
        return data

    def inline_delta(self, blob_digest: bytes, base: bytes) -> bytes:
        """The delta between two held bodies if it is small enough to be sent inline, otherwise b""."""
        both_held = base in self.blobs and blob_digest in self.blobs and blob_digest != base
        data = self.get_packed(blob_digest, base) if both_held else None
        return data if data is not None and len(data) <= MAX_INLINE_DELTA_BYTES else b""
