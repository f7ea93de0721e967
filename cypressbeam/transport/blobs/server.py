"""What a node hands out to others: chunks of bodies, no faster than its link carries them beside all else.

A body that is still on its way here is handed on as far as it has come.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cypressbeam.protocol import frames
from cypressbeam.transport.blobs.fetcher import Fetcher
from cypressbeam.transport.blobs.link import Connection, LinkRate
from cypressbeam.transport.blobs.store import BlobStore


@dataclass(slots=True)
class Serving:
    """A body that a child fetches from here: its next slice begins at `at`, and goes at most up to `end`."""

    bases: list[bytes]
    at: int
    end: int
    base: bytes | None = None
    """What it is packed on; None while that is unknown, for the body is on its way here itself."""


class ChunkServer:
    """All transfers from one node to others."""

    def __init__(self, store: BlobStore, fetcher: Fetcher, rate: LinkRate) -> None:
        self.store = store
        self.fetcher = fetcher
        self.rate = rate
        self.loop = asyncio.get_running_loop()
        self.serving: dict[tuple[Connection, bytes], Serving] = {}
        """In the order in which they take turns."""
        self.free_s = 0.0
        """When the link has carried what was handed to it."""
        self.pumping = False
        self.handed_bytes = 0

    def on_chunk_request(self, link: Connection, frame: frames.ChunkRequest) -> None:
        """A node wants a part of a body, and names what it has that might serve as a base."""
        bases = [
            frame.base_digests[at : at + frames.DIGEST_BYTES]
            for at in range(0, len(frame.base_digests), frames.DIGEST_BYTES)
        ]
        key = (link, frame.digest)
        serving = self.serving.get(key)
        if serving is not None and serving.end == frame.offset and serving.base == frame.base_digests:
            serving.end += frame.length
        else:
            self.serving[key] = Serving(bases, frame.offset, frame.offset + frame.length)
        self.pump()

    def settle_base(self, blob_digest: bytes, serving: Serving) -> None:
        """Choose what a body is packed on: the newest that both sides have, or what it comes packed on here, which can
        be handed on as it comes. One that goes on names only the base that it has begun with; where that is not here
        it begins anew."""
        fetch = self.fetcher.fetches.get(blob_digest)
        if blob_digest in self.store.blobs:
            both_have = (base for base in reversed(serving.bases) if base in self.store.blobs and base != blob_digest)
            serving.base = next(both_have, b"")
        elif fetch is not None and fetch.total >= 0 and (not fetch.base or fetch.base in serving.bases):
            serving.base = fetch.base
        if (
            serving.base is not None
            and serving.at
            and serving.bases != [serving.base]
            and (serving.base or serving.bases)
        ):
            serving.at, serving.end = 0, serving.end - serving.at

    def form(self, blob_digest: bytes, base: bytes) -> tuple[bytes | bytearray, int] | None:
        """A packed body, as much of it as is here, and its size in all; None if there is none, or its size is not
        known yet."""
        data = self.store.packed_on(blob_digest, base)
        if data is not None:
            return data, len(data)
        fetch = self.fetcher.fetches.get(blob_digest)
        if fetch is not None and fetch.base == base and fetch.total >= 0:
            return fetch.got, fetch.total
        return None

    def pump(self) -> None:
        """Hand out slices, one of each transfer in turn, no faster than the link carries them."""
        if self.pumping:
            return
        while (ready := self.next_ready()) is not None:
            now_s = self.loop.time()
            if self.free_s > now_s + 0.001:
                self.pumping = True
                self.loop.call_later(self.free_s - now_s, self.pump_again)
                return
            (link, blob_digest), serving, part, total = ready
            self.serving[link, blob_digest] = self.serving.pop((link, blob_digest))  # to the end of the turns
            assert serving.base is not None
            link.send(frames.Chunk(blob_digest, serving.base, total, serving.at, part))
            serving.at += len(part)
            self.handed_bytes += len(part)
            self.free_s = max(self.free_s, now_s) + len(part) / self.rate.per_s
            if serving.at >= total:
                self.serving.pop((link, blob_digest), None)

    def pump_again(self) -> None:
        """The link is free again."""
        self.pumping = False
        self.pump()

    def next_ready(self) -> tuple[tuple[Connection, bytes], Serving, bytes, int] | None:
        """The next transfer that has something to send now, with its slice and the size of the whole."""
        for key, serving in [*self.serving.items()]:
            if serving.base is None:
                self.settle_base(key[1], serving)
            found = self.form(key[1], serving.base) if serving.base is not None else None
            if found is None:
                if key[1] not in self.fetcher.fetches:
                    del self.serving[key]
                    key[0].send(frames.BlobNotFound(key[1]))
                continue
            data, total = found
            part = bytes(data[serving.at : min(serving.end, serving.at + self.rate.chunk_bytes)])
            if part:
                return key, serving, part, total
        return None

    def link_lost(self, link: Connection) -> None:
        """Nothing more is handed out on a connection."""
        self.serving = {key: serving for key, serving in self.serving.items() if key[0] is not link}
