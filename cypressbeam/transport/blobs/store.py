"""The blobs that a node holds, by their digests, and packed forms of them."""

from __future__ import annotations

from collections import OrderedDict

from cypressbeam.protocol import delta
from cypressbeam.protocol.configuration import digest
from cypressbeam.transport.blobs.link import CHUNK_BYTES

#: Bodies that are held, the newest (more where a machine has no clients: the core sees those of lost races too); and
#: packed forms, of which children ask for one or two.
MAX_BLOBS, MAX_BLOBS_CORE, MAX_PACKED = 4, 12, 8
#: A packed body of so many bytes goes with the frame that names it: no larger than the smallest slice.
MAX_INLINE_DELTA_BYTES = CHUNK_BYTES[0]


class BlobStore:
    """The newest bodies, and the newest packed forms."""

    def __init__(self, kept: int) -> None:
        self.max_blobs = kept
        self.blobs: OrderedDict[bytes, bytes] = OrderedDict()
        self.packed: OrderedDict[tuple[bytes, bytes], bytes] = OrderedDict()
        """By the digests of the body and of the base that it is packed on."""

    def put(self, body: bytes) -> bytes:
        """Hold a body, so that those to whom it is announced find it here; returns its digest."""
        blob_digest = digest(body)
        self.blobs[blob_digest] = body
        self.blobs.move_to_end(blob_digest)
        while len(self.blobs) > self.max_blobs:
            self.blobs.popitem(last=False)
        return blob_digest

    def get(self, blob_digest: bytes) -> bytes | None:
        """A held body; it counts as new then."""
        body = self.blobs.get(blob_digest)
        if body is not None:
            self.blobs.move_to_end(blob_digest)
        return body

    def keep_packed(self, key: tuple[bytes, bytes], data: bytes) -> bytes:
        """Hold a packed form, by the digests of body and base."""
        self.packed[key] = data
        self.packed.move_to_end(key)
        while len(self.packed) > MAX_PACKED:
            self.packed.popitem(last=False)
        return data

    def packed_on(self, blob_digest: bytes, base: bytes) -> bytes | None:
        """A held body, packed on a base that is held or on none (b""); None if either is not here."""
        data = self.packed.get((blob_digest, base))
        if data is None and blob_digest in self.blobs and (not base or base in self.blobs):
            data = self.keep_packed(
                (blob_digest, base), delta.pack(self.blobs[blob_digest], self.blobs[base] if base else b"")
            )
        return data

    def inline_delta(self, blob_digest: bytes, base: bytes) -> bytes:
        """A held body packed on another one, if that is little; else nothing."""
        both = base in self.blobs and blob_digest in self.blobs and blob_digest != base
        data = self.packed_on(blob_digest, base) if both else None
        return data if data is not None and len(data) <= MAX_INLINE_DELTA_BYTES else b""
