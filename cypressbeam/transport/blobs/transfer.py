"""The blob transfer of one node: combines the store, incoming and outgoing transfers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cypressbeam.protocol import frames
from cypressbeam.transport.blobs.fetcher import Fetcher
from cypressbeam.transport.blobs.link import Connection, Connections, LinkRate
from cypressbeam.transport.blobs.server import ChunkServer
from cypressbeam.transport.blobs.store import MAX_BLOBS, MAX_BLOBS_CORE, BlobStore


class BlobTransfer:
    """The components of the blob transfer, and the handlers of its messages."""

    def __init__(self, connections: Connections, link_mbps: float, shared: bool) -> None:
        """`shared` says whether the network link also carries client traffic."""
        rate = LinkRate.from_link(link_mbps, shared)
        self.store = BlobStore(MAX_BLOBS if shared else MAX_BLOBS_CORE)
        self.fetcher = Fetcher(connections, self.store, rate.window_bytes, lambda: self.server.pump())
        self.server = ChunkServer(self.store, self.fetcher, rate)
        self.handlers: dict[type[frames.Frame], Callable[[Connection, Any], None]] = {
            frames.Chunk: lambda link, frame: self.fetcher.on_chunk(link, frame),
            frames.ChunkRequest: lambda link, frame: self.server.on_chunk_request(link, frame),
            frames.BlobNotFound: lambda link, frame: self.fetcher.on_not_found(link, frame),
        }

    def link_lost(self, link: Connection) -> None:
        """Drop what belongs to a closed connection."""
        self.server.link_lost(link)
        self.fetcher.link_lost(link)
