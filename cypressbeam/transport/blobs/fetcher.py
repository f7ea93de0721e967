"""Incoming blob transfers: fetches bodies in chunks, each from one source at a time.

A fetch that moves to another source resumes at the same offset. A stalled fetch is also requested from other sources:
first the nodes that announced the body, then those of `Fetcher.other_sources`. A body that does not match its digest is
discarded and fetched again from another source, without a delta base.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cypressbeam.protocol import delta, frames
from cypressbeam.protocol.configuration import digest
from cypressbeam.transport.blobs.link import WINDOW_S, Connection, Connections
from cypressbeam.transport.blobs.store import BlobStore

log = logging.getLogger(__name__)

#: A fetch without progress for `STALL_S` is requested from the next source as well. From the third request on the
#: timeout is multiplied by `STALL_BACKOFF`: a saturated link is slow, and further requests would only add load.
#: Timeouts are extended by a random share of up to `STALL_JITTER`, so that nodes waiting for the same source don't all
#: switch to another one at the same moment.
STALL_S, STALL_BACKOFF, STALL_JITTER = 0.4, 2, 0.5
#: The stall timeout is at least `FIRST_CHUNK_FACTOR` times the delay of the first chunk, but at most `MAX_STALL_FACTOR`
#: times `STALL_S`. If the delay exceeds `FIRST_CHUNK_FACTOR` times `WINDOW_S` the window is doubled with each request,
#: up to `MAX_WINDOW_FACTOR` times its initial size.
FIRST_CHUNK_FACTOR, MAX_STALL_FACTOR, MAX_WINDOW_FACTOR = 2, 3, 4
#: A fetch without progress for this long is abandoned.
GIVE_UP_S = 6.0
#: A fetch without progress for this long yields to a newly announced source or to a newer version.
QUIET_S = 0.3
TICK_S = 0.1


@dataclass(slots=True)
class Fetch:
    """A body that is being fetched."""

    sources: list[str]
    """Addresses of the sources; the current one is first."""
    progressed_s: float
    requested_s: float
    started_s: float
    window: int
    link: Connection | None = None
    base: bytes = b""
    base_body: bytes = b""
    total: int = -1
    """Size of the delta-encoded body; negative while unknown."""
    data: bytearray = field(default_factory=bytearray)
    requested_end: int = 0
    """End offset of the range requested so far."""
    callbacks: dict[object, Callable[[bytes], None]] = field(default_factory=dict)
    without_base: bool = False
    """Don't offer any base, because a body that was unpacked did not match its digest."""
    exhausted_sources: set[str] = field(default_factory=set)
    """Sources that replied that they don't have the body."""
    retries: int = 0
    """Requests to other sources since the last progress."""
    due_s: float = 0.0
    """Time at which the next source is asked unless there is progress."""
    first_chunk_s: float = 0.0
    """Time from the start of the fetch to its first chunk."""

    def restart(self) -> None:
        """Discard everything received so far."""
        self.data.clear()
        self.total, self.base, self.base_body = -1, b"", b""


class Fetcher:
    """All incoming transfers of a node."""

    def __init__(self, connections: Connections, store: BlobStore, window: int, on_data: Callable[[], None]) -> None:
        """`on_data` is called when data was received, so that it can be forwarded."""
        self.connections = connections
        self.store = store
        self.window = window
        self.on_data = on_data
        self.rng = random.Random(connections.ip)
        self.loop = asyncio.get_running_loop()
        self.fetches: dict[bytes, Fetch] = {}
        self.ticking = False
        self.fetched_bytes = 0
        self.on_progress: Callable[[str], None] = lambda ip: None
        """Called with the address of a node that has just sent a chunk."""
        self.other_sources: Callable[[], list[str]] = list
        """Further sources, best first, for a body that none of the nodes that announced it sends."""

    def fetch(self, blob_digest: bytes, source: str, callback: Callable[[bytes], None], key: object = None) -> None:
        """Fetch a body and call `callback` with it, immediately if it is held already. A callback replaces an earlier
        one with the same key. A fetch that fails is abandoned without calling it; the sender of the reference repeats
        it."""
        body = self.store.get(blob_digest)
        if body is not None:
            callback(body)
            return
        fetch = self.fetches.get(blob_digest)
        if fetch is None:
            now_s = self.loop.time()
            fetch = self.fetches[blob_digest] = Fetch([source], now_s, now_s, now_s, self.window)
            self.request(blob_digest, fetch)
        elif source not in fetch.sources:
            fetch.exhausted_sources.discard(source)
            fetch.sources.insert(0, source)
            if self.loop.time() - max(fetch.progressed_s, fetch.requested_s) > QUIET_S:
                self.request(blob_digest, fetch)
            else:
                fetch.sources.append(fetch.sources.pop(0))
        fetch.callbacks[key if key is not None else callback] = callback
        if not self.ticking:
            self.ticking = True
            self.loop.call_later(TICK_S, self.tick)

    def is_arriving(self, blob_digest: bytes) -> bool:
        """Whether a body is being fetched and data was received within `QUIET_S`; repeated requests don't count."""
        fetch = self.fetches.get(blob_digest)
        return fetch is not None and self.loop.time() - fetch.progressed_s <= QUIET_S

    def is_pending(self, blob_digest: bytes) -> bool:
        """Whether a body is being fetched, with or without progress."""
        return blob_digest in self.fetches

    def cancel(self, blob_digest: bytes, key: object) -> None:
        """Remove the callback with this key; a fetch without callbacks is cancelled."""
        fetch = self.fetches.get(blob_digest)
        if fetch is not None and fetch.callbacks.pop(key, None) is not None and not fetch.callbacks:
            del self.fetches[blob_digest]
            self.on_data()

    def describe(self, blob_digest: bytes) -> str:
        """The state of a fetch, for log messages."""
        fetch = self.fetches.get(blob_digest)
        if fetch is None:
            return "no fetch in progress"
        now_s = self.loop.time()
        return (
            f"{len(fetch.data)} of {fetch.total} bytes received, last progress {now_s - fetch.progressed_s:.1f} s ago,"
            f" last request {now_s - fetch.requested_s:.1f} s ago, started {now_s - fetch.started_s:.1f} s ago;"
            f" sources: {' '.join(fetch.sources)}"
        )

    def request(self, blob_digest: bytes, fetch: Fetch) -> None:
        """Request the next window from the current source."""
        now_s = fetch.requested_s = self.loop.time()
        timeout_s = STALL_S if fetch.retries < 2 else STALL_S * STALL_BACKOFF
        fetch.due_s = now_s + timeout_s * self.rng.uniform(1.0, 1.0 + STALL_JITTER)
        link = self.connections.bulk_link_to(fetch.sources[0])
        offset = len(fetch.data)
        if link is fetch.link and link.transport is None and fetch.requested_end == offset + fetch.window:
            return  # the same request is already queued until the connection is established
        fetch.link, fetch.requested_end = link, offset + fetch.window
        bases = fetch.base
        if fetch.total < 0 and not fetch.without_base:
            bases = b"".join(self.store.blobs)
        link.send(frames.ChunkRequest(blob_digest, bases, offset, fetch.window))

    def request_from_next_source(self, blob_digest: bytes, fetch: Fetch) -> None:
        """Switch to the next source, with a larger window because each one takes long now. Chunks that the previous
        source still sends are accepted."""
        fetch.retries += 1
        fetch.window = min(2 * fetch.window, MAX_WINDOW_FACTOR * self.window)
        fetch.sources += [
            ip for ip in self.other_sources() if ip not in fetch.sources and ip not in fetch.exhausted_sources
        ]
        fetch.sources.append(fetch.sources.pop(0))
        self.request(blob_digest, fetch)

    def tick(self) -> None:
        """Abandon or reassign stalled fetches; called every `TICK_S` while there are any."""
        # Reschedule first, so that an exception in one fetch does not stop the timer of the others.
        self.ticking = bool(self.fetches)
        if self.ticking:
            self.loop.call_later(TICK_S, self.tick)
        now_s = self.loop.time()
        for blob_digest, fetch in [*self.fetches.items()]:
            if now_s - fetch.progressed_s > GIVE_UP_S:
                log.warning("blob %s: giving up the fetch, no source sends it", blob_digest.hex()[:8])
                del self.fetches[blob_digest]
            elif now_s >= fetch.due_s:
                self.request_from_next_source(blob_digest, fetch)

    def on_chunk(self, link: Connection, frame: frames.Chunk) -> None:
        """A chunk was received."""
        fetch = self.fetches.get(frame.digest)
        if fetch is None:
            return
        if (frame.base_digest, frame.total) != (fetch.base, fetch.total):
            if frame.offset or (fetch.data and self.is_arriving(frame.digest)):
                return  # another encoding: this is not its start, or the current one is still making progress
            if frame.base_digest and frame.base_digest not in self.store.blobs:
                return  # the base was evicted since it was offered
            fetch.base, fetch.total, fetch.base_body = (
                frame.base_digest,
                frame.total,
                self.store.blobs.get(frame.base_digest, b""),
            )
            fetch.data.clear()
        if frame.offset != len(fetch.data):
            return  # a duplicate, or a chunk before it was lost with its connection
        fetch.progressed_s = self.loop.time()
        fetch.first_chunk_s = fetch.first_chunk_s or fetch.progressed_s - fetch.started_s
        timeout_s = min(max(STALL_S, FIRST_CHUNK_FACTOR * fetch.first_chunk_s), STALL_S * MAX_STALL_FACTOR)
        fetch.retries, fetch.due_s = 0, fetch.progressed_s + timeout_s * self.rng.uniform(1.0, 1.0 + STALL_JITTER)
        self.fetched_bytes += len(frame.data)
        self.on_progress(link.ip)
        fetch.data += frame.data
        if len(fetch.data) >= fetch.total:
            self.finish(frame.digest, fetch)
            return
        if len(fetch.data) >= fetch.requested_end - fetch.window // 2:
            self.request_more(link, frame.digest, fetch)
        self.on_data()

    def request_more(self, link: Connection, blob_digest: bytes, fetch: Fetch) -> None:
        """Half of the window has been received: request more. On a saturated link, where chunks take long to arrive,
        the window grows so that more is in flight."""
        if fetch.first_chunk_s > FIRST_CHUNK_FACTOR * WINDOW_S:
            fetch.window = min(2 * fetch.window, MAX_WINDOW_FACTOR * self.window)
        if link is fetch.link:
            length = fetch.window - (fetch.requested_end - len(fetch.data))
            link.send(frames.ChunkRequest(blob_digest, fetch.base, fetch.requested_end, length))
            fetch.requested_end += length
        elif link.ip in fetch.sources:  # a slow source that was replaced delivers first: switch back to it
            fetch.sources.remove(link.ip)
            fetch.sources.insert(0, link.ip)
            self.request(blob_digest, fetch)

    def on_not_found(self, link: Connection, frame: frames.BlobNotFound) -> None:
        """A source does not have the body: try the next one. Without any the fetch ends: a superseded version has been
        evicted everywhere, and must not delay the newest."""
        fetch = self.fetches.get(frame.digest)
        if fetch is None or link.ip not in fetch.sources:
            return
        was_current = fetch.sources[0] == link.ip
        fetch.sources.remove(link.ip)
        fetch.exhausted_sources.add(link.ip)
        if not fetch.sources:
            fetch.sources += [ip for ip in self.other_sources() if ip not in fetch.exhausted_sources]
        if not fetch.sources:
            del self.fetches[frame.digest]
        elif was_current:
            fetch.restart()
            self.request(frame.digest, fetch)

    def finish(self, blob_digest: bytes, fetch: Fetch) -> None:
        """All data was received: decode the body and verify its digest."""
        try:
            body = delta.unpack(bytes(fetch.data), fetch.base_body)
            if digest(body) != blob_digest:
                raise delta.DeltaError("digest mismatch")
        except delta.DeltaError as err:
            log.error("blob %s from %s is corrupt: %s", blob_digest.hex()[:8], fetch.sources[0], err)
            fetch.restart()
            fetch.without_base = True
            self.request_from_next_source(blob_digest, fetch)
            return
        self.store.put_packed((blob_digest, fetch.base), bytes(fetch.data))
        self.store_and_deliver(blob_digest, body)

    def store_and_deliver(self, blob_digest: bytes, body: bytes) -> None:
        """Store a body and pass it to all callbacks that wait for it."""
        fetch = self.fetches.pop(blob_digest, None)
        self.store.put(body)
        for callback in [*fetch.callbacks.values()] if fetch is not None else []:
            callback(body)
        self.on_data()

    def apply_inline_delta(self, blob_digest: bytes, base: bytes, data: bytes) -> bytes | None:
        """Decode a body from a delta that came inline in a frame. Returns None if the base is not held or the result
        does not match the digest; the body has to be fetched then."""
        if base not in self.store.blobs:
            return None
        try:
            body = delta.unpack(data, self.store.blobs[base])
            if digest(body) != blob_digest:
                raise delta.DeltaError("digest mismatch")
        except delta.DeltaError as err:
            log.error("blob %s: inline delta is corrupt: %s", blob_digest.hex()[:8], err)
            return None
        self.store.put_packed((blob_digest, base), data)
        self.store_and_deliver(blob_digest, body)
        return body

    def link_lost(self, link: Connection) -> None:
        """A connection was lost: reassign the fetches that used it soon."""
        for fetch in self.fetches.values():
            if fetch.link is link:
                fetch.link = None
                # Not before QUIET_S after the request: a connect that fails at once must not be retried in a busy loop.
                fetch.due_s = min(fetch.due_s, max(self.loop.time(), fetch.requested_s + QUIET_S))
