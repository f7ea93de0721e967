"""Outgoing blob transfers: sends chunks to other nodes, paced to the node's share of its link.

A body that this node is still fetching is forwarded as far as it has been received.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cypressbeam.protocol import frames
from cypressbeam.transport.blobs.fetcher import Fetcher
from cypressbeam.transport.blobs.link import Connection, LinkRate
from cypressbeam.transport.blobs.store import BlobStore


@dataclass(slots=True)
class OutgoingTransfer:
    """A body that another node fetches from here; the requested bytes from `at` up to `end` are still to be sent."""

    bases: list[bytes]
    at: int
    end: int
    base: bytes | None = None
    """Digest of the delta's base, b"" for none; None while unknown because the body is still being fetched here."""


class ChunkServer:
    """All outgoing transfers of a node."""

    def __init__(self, store: BlobStore, fetcher: Fetcher, rate: LinkRate) -> None:
        self.store = store
        self.fetcher = fetcher
        self.rate = rate
        self.loop = asyncio.get_running_loop()
        self.transfers: dict[tuple[Connection, bytes], OutgoingTransfer] = {}
        """In round-robin order."""
        self.link_free_s = 0.0
        """Time at which the link will have transmitted everything sent so far, at the transfer's rate limit."""
        self.pump_scheduled = False
        self.sent_bytes = 0

    def on_chunk_request(self, link: Connection, frame: frames.ChunkRequest) -> None:
        """A node requests a range of a body, and lists the digests of bodies that it has as possible bases."""
        bases = [
            frame.base_digests[at : at + frames.DIGEST_BYTES]
            for at in range(0, len(frame.base_digests), frames.DIGEST_BYTES)
        ]
        key = (link, frame.digest)
        transfer = self.transfers.get(key)
        if transfer is not None and transfer.end == frame.offset and transfer.base == frame.base_digests:
            transfer.end += frame.length
        else:
            self.transfers[key] = OutgoingTransfer(bases, frame.offset, frame.offset + frame.length)
        self.pump()

    def select_base(self, blob_digest: bytes, transfer: OutgoingTransfer) -> None:
        """Choose the base of the delta: the newest body that both sides have or, for a body that is being fetched here,
        the base of that fetch, so that its chunks can be forwarded as they arrive. A resumed transfer names only the
        base that it started with; if that is not available here the transfer restarts."""
        fetch = self.fetcher.fetches.get(blob_digest)
        if blob_digest in self.store.blobs:
            common_bases = (
                base for base in reversed(transfer.bases) if base in self.store.blobs and base != blob_digest
            )
            transfer.base = next(common_bases, b"")
        elif fetch is not None and fetch.total >= 0 and (not fetch.base or fetch.base in transfer.bases):
            transfer.base = fetch.base
        if (
            transfer.base is not None
            and transfer.at
            and transfer.bases != [transfer.base]
            and (transfer.base or transfer.bases)
        ):
            transfer.at, transfer.end = 0, transfer.end - transfer.at

    def packed_form(self, blob_digest: bytes, base: bytes) -> tuple[bytes | bytearray, int] | None:
        """The delta-encoded body as far as it is available here, and its total size; None if it is not available or its
        size is not known yet."""
        data = self.store.get_packed(blob_digest, base)
        if data is not None:
            return data, len(data)
        fetch = self.fetcher.fetches.get(blob_digest)
        if fetch is not None and fetch.base == base and fetch.total >= 0:
            return fetch.data, fetch.total
        return None

    def pump(self) -> None:
        """Send chunks round-robin over all transfers, paced to the rate limit."""
        if self.pump_scheduled:
            return
        while (ready := self.next_ready()) is not None:
            now_s = self.loop.time()
            if self.link_free_s > now_s + 0.001:
                self.pump_scheduled = True
                self.loop.call_later(self.link_free_s - now_s, self.resume_pump)
                return
            (link, blob_digest), transfer, chunk, total = ready
            self.transfers[link, blob_digest] = self.transfers.pop((link, blob_digest))  # move it to the end
            assert transfer.base is not None
            link.send(frames.Chunk(blob_digest, transfer.base, total, transfer.at, chunk))
            transfer.at += len(chunk)
            self.sent_bytes += len(chunk)
            self.link_free_s = max(self.link_free_s, now_s) + len(chunk) / self.rate.bytes_per_s
            if transfer.at >= total:
                self.transfers.pop((link, blob_digest), None)

    def resume_pump(self) -> None:
        """Continue sending once the link is free."""
        self.pump_scheduled = False
        self.pump()

    def next_ready(self) -> tuple[tuple[Connection, bytes], OutgoingTransfer, bytes, int] | None:
        """The next transfer that has data to send, with its chunk and the total size. Transfers of bodies that are
        neither held nor being fetched are answered with `BlobNotFound` and dropped."""
        for key, transfer in [*self.transfers.items()]:
            if transfer.base is None:
                self.select_base(key[1], transfer)
            packed = self.packed_form(key[1], transfer.base) if transfer.base is not None else None
            if packed is None:
                if key[1] not in self.fetcher.fetches:
                    del self.transfers[key]
                    key[0].send(frames.BlobNotFound(key[1]))
                continue
            data, total = packed
            chunk = bytes(data[transfer.at : min(transfer.end, transfer.at + self.rate.chunk_bytes)])
            if chunk:
                return key, transfer, chunk, total
        return None

    def link_lost(self, link: Connection) -> None:
        """Drop the transfers of a closed connection."""
        self.transfers = {key: transfer for key, transfer in self.transfers.items() if key[0] is not link}
