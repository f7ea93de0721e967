"""The fetches of a node: bodies that are on their way here, in chunks, each from one source at a time.

A fetch goes on where it stopped when it goes to another source. One that does not move is asked of others too: of those
who have named it, then of those whom the tree does not need (`Fetcher.others`). What does not match its digest is
thrown away and fetched whole elsewhere.
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

#: A fetch that has not moved for so long is asked of another source as well, and of a third after as long; then it has
#: so many times the patience: a full link takes its time, and is not to be filled by asking. Each waits up to so much
#: longer, so that those who wait for one source don't all turn to another in one moment. One without progress is over
#: in the end.
STALL_S, PATIENCE, JITTER = 0.4, 2, 0.5
#: One whose first slice took long has so many times that long, up to so many times the patience; and the window grows,
#: up to so many times.
MOST_WAYS, MAX_STALL_FACTOR, MOST_WINDOWS = 2, 3, 4
GIVE_UP_S = 6.0
#: One that has been quiet for so long gives way to a source that is announced now, or to a newer version.
QUIET_S = 0.3
TICK_S = 0.1


@dataclass(slots=True)
class Fetch:
    """A body on its way here."""

    sources: list[str]
    """Addresses, the one that is asked first."""
    moved_s: float
    asked_s: float
    began_s: float
    window: int
    link: Connection | None = None
    base: bytes = b""
    base_body: bytes = b""
    total: int = -1
    """Of the packed body; below 0 while it is not known."""
    got: bytearray = field(default_factory=bytearray)
    wanted: int = 0
    """Up to where it was asked for."""
    then: dict[object, Callable[[bytes], None]] = field(default_factory=dict)
    whole: bool = False
    """Nothing of what is here may serve as a base: what was packed on it did not match."""
    spent: set[str] = field(default_factory=set)
    """Sources that have said that it is not there."""
    asked_again: int = 0
    """How often, since it moved."""
    due_s: float = 0.0
    """When it is asked again, unless it moves."""
    way_s: float = 0.0
    """How long the first slice took to come."""

    def begin_anew(self) -> None:
        """Nothing of what has come counts."""
        self.got.clear()
        self.total, self.base, self.base_body = -1, b"", b""


class Fetcher:
    """All fetches of one node."""

    def __init__(self, connections: Connections, store: BlobStore, window: int, on_moved: Callable[[], None]) -> None:
        """`on_moved` is called when a part of a body, or a whole one, has come: it may be handed on."""
        self.connections = connections
        self.store = store
        self.window = window
        self.on_moved = on_moved
        self.rng = random.Random(connections.ip)
        self.loop = asyncio.get_running_loop()
        self.fetches: dict[bytes, Fetch] = {}
        self.ticking = False
        self.fetched_bytes = 0
        self.on_progress: Callable[[str], None] = lambda ip: None
        """Gets the address of a node that has just sent a part of a body."""
        self.other_sources: Callable[[], list[str]] = list
        """Whom to turn to for what nobody sends who has named it, the best first."""

    def fetch(self, blob_digest: bytes, source: str, then: Callable[[bytes], None], key: object = None) -> None:
        """Get a body: `then` is called with it, at once if it is here; of several with one key the last counts. A body
        that can't be got is given up without a word, for whoever has named it names it again."""
        body = self.store.get(blob_digest)
        if body is not None:
            then(body)
            return
        fetch = self.fetches.get(blob_digest)
        if fetch is None:
            now_s = self.loop.time()
            fetch = self.fetches[blob_digest] = Fetch([source], now_s, now_s, now_s, self.window)
            self.request(blob_digest, fetch)
        elif source not in fetch.sources:
            fetch.spent.discard(source)
            fetch.sources.insert(0, source)
            if self.loop.time() - max(fetch.moved_s, fetch.asked_s) > QUIET_S:
                self.request(blob_digest, fetch)
            else:
                fetch.sources.append(fetch.sources.pop(0))
        fetch.then[key if key is not None else then] = then
        if not self.ticking:
            self.ticking = True
            self.loop.call_later(TICK_S, self.tick)

    def is_arriving(self, blob_digest: bytes) -> bool:
        """Whether a body is on its way here, and has moved lately; that it was asked for again says nothing."""
        fetch = self.fetches.get(blob_digest)
        return fetch is not None and self.loop.time() - fetch.moved_s <= QUIET_S

    def is_pending(self, blob_digest: bytes) -> bool:
        """Whether a body is asked for, though nothing may come."""
        return blob_digest in self.fetches

    def cancel(self, blob_digest: bytes, key: object) -> None:
        """Whoever has waited for a body under this key does not any more."""
        fetch = self.fetches.get(blob_digest)
        if fetch is not None and fetch.then.pop(key, None) is not None and not fetch.then:
            del self.fetches[blob_digest]
            self.on_moved()

    def describe(self, blob_digest: bytes) -> str:
        """How a fetch stands, for the log."""
        fetch = self.fetches.get(blob_digest)
        if fetch is None:
            return "nobody is asked for it"
        now_s = self.loop.time()
        return (
            f"{len(fetch.got)} of {fetch.total} bytes, moved {now_s - fetch.moved_s:.1f} s ago, asked"
            f" {now_s - fetch.asked_s:.1f} s ago, begun {now_s - fetch.began_s:.1f} s ago; sources"
            f" {' '.join(fetch.sources)}"
        )

    def request(self, blob_digest: bytes, fetch: Fetch) -> None:
        """Ask the first source for the next window."""
        now_s = fetch.asked_s = self.loop.time()
        waits_s = STALL_S if fetch.asked_again < 2 else STALL_S * PATIENCE
        fetch.due_s = now_s + waits_s * self.rng.uniform(1.0, 1.0 + JITTER)
        link = self.connections.bulk_link_to(fetch.sources[0])
        at = len(fetch.got)
        if link is fetch.link and link.transport is None and fetch.wanted == at + fetch.window:
            return  # what is asked of it already waits for its connection
        fetch.link, fetch.wanted = link, at + fetch.window
        bases = fetch.base
        if fetch.total < 0 and not fetch.whole:
            bases = b"".join(self.store.blobs)
        link.send(frames.ChunkRequest(blob_digest, bases, at, fetch.window))

    def request_elsewhere(self, blob_digest: bytes, fetch: Fetch) -> None:
        """Ask the next source, and for more: each window takes long now. What the one before still sends is taken as
        well."""
        fetch.asked_again += 1
        fetch.window = min(2 * fetch.window, MOST_WINDOWS * self.window)
        fetch.sources += [ip for ip in self.other_sources() if ip not in fetch.sources and ip not in fetch.spent]
        fetch.sources.append(fetch.sources.pop(0))
        self.request(blob_digest, fetch)

    def tick(self) -> None:
        """Look after all fetches, every `TICK_S` while there are any."""
        # The next one first: whatever one fetch does, the others go on.
        self.ticking = bool(self.fetches)
        if self.ticking:
            self.loop.call_later(TICK_S, self.tick)
        now_s = self.loop.time()
        for blob_digest, fetch in [*self.fetches.items()]:
            if now_s - fetch.moved_s > GIVE_UP_S:
                log.warning("blob %s: fetch given up, no source sends it", blob_digest.hex()[:8])
                del self.fetches[blob_digest]
            elif now_s >= fetch.due_s:
                self.request_elsewhere(blob_digest, fetch)

    def on_chunk(self, link: Connection, frame: frames.Chunk) -> None:
        """A chunk has come."""
        fetch = self.fetches.get(frame.digest)
        if fetch is None:
            return
        if (frame.base_digest, frame.total) != (fetch.base, fetch.total):
            if frame.offset or (fetch.got and self.is_arriving(frame.digest)):
                return  # of another packed form: not its beginning, or not needed while the first one moves
            if frame.base_digest and frame.base_digest not in self.store.blobs:
                return  # it has gone from here since it was named
            fetch.base, fetch.total, fetch.base_body = (
                frame.base_digest,
                frame.total,
                self.store.blobs.get(frame.base_digest, b""),
            )
            fetch.got.clear()
        if frame.offset != len(fetch.got):
            return  # it came twice, or after one that was lost with its connection
        fetch.moved_s = self.loop.time()
        fetch.way_s = fetch.way_s or fetch.moved_s - fetch.began_s
        waits_s = min(max(STALL_S, MOST_WAYS * fetch.way_s), STALL_S * MAX_STALL_FACTOR)
        fetch.asked_again, fetch.due_s = 0, fetch.moved_s + waits_s * self.rng.uniform(1.0, 1.0 + JITTER)
        self.fetched_bytes += len(frame.data)
        self.on_progress(link.ip)
        fetch.got += frame.data
        if len(fetch.got) >= fetch.total:
            self.finish(frame.digest, fetch)
            return
        if len(fetch.got) >= fetch.wanted - fetch.window // 2:
            self.request_more(link, frame.digest, fetch)
        self.on_moved()

    def request_more(self, link: Connection, blob_digest: bytes, fetch: Fetch) -> None:
        """Half of what was asked for has come. At a full link, where a window takes long, there may be more of it on
        the way."""
        if fetch.way_s > MOST_WAYS * WINDOW_S:
            fetch.window = min(2 * fetch.window, MOST_WINDOWS * self.window)
        if link is fetch.link:
            more = fetch.window - (fetch.wanted - len(fetch.got))
            link.send(frames.ChunkRequest(blob_digest, fetch.base, fetch.wanted, more))
            fetch.wanted += more
        elif link.ip in fetch.sources:  # it was slow, another was asked, and it is before that one: it goes on
            fetch.sources.remove(link.ip)
            fetch.sources.insert(0, link.ip)
            self.request(blob_digest, fetch)

    def on_not_found(self, link: Connection, frame: frames.BlobNotFound) -> None:
        """A source does not have it; the next one may. Where there is none the fetch is over: a version that was
        followed by others has gone from those who had it, and must not hold up the newest."""
        fetch = self.fetches.get(frame.digest)
        if fetch is None or link.ip not in fetch.sources:
            return
        first = fetch.sources[0] == link.ip
        fetch.sources.remove(link.ip)
        fetch.spent.add(link.ip)
        if not fetch.sources:
            fetch.sources += [ip for ip in self.other_sources() if ip not in fetch.spent]
        if not fetch.sources:
            del self.fetches[frame.digest]
        elif first:
            fetch.begin_anew()
            self.request(frame.digest, fetch)

    def finish(self, blob_digest: bytes, fetch: Fetch) -> None:
        """All bytes have come: unpack them, and compare the digest."""
        try:
            body = delta.unpack(bytes(fetch.got), fetch.base_body)
            if digest(body) != blob_digest:
                raise delta.DeltaError("it is not what its digest says")
        except delta.DeltaError as err:
            log.error("blob %s from %s is corrupt: %s", blob_digest.hex()[:8], fetch.sources[0], err)
            fetch.begin_anew()
            fetch.whole = True
            self.request_elsewhere(blob_digest, fetch)
            return
        self.store.keep_packed((blob_digest, fetch.base), bytes(fetch.got))
        self.arrived(blob_digest, body)

    def arrived(self, blob_digest: bytes, body: bytes) -> None:
        """It is here: whoever waits for it gets it, and may hand it on."""
        fetch = self.fetches.pop(blob_digest, None)
        self.store.put(body)
        for then in [*fetch.then.values()] if fetch is not None else []:
            then(body)
        self.on_moved()

    def open_brief(self, blob_digest: bytes, base: bytes, data: bytes) -> bytes | None:
        """The body that a frame brought packed; None where its base is not here, or where it is not what its digest
        says: it is to be fetched then."""
        if base not in self.store.blobs:
            return None
        try:
            body = delta.unpack(data, self.store.blobs[base])
            if digest(body) != blob_digest:
                raise delta.DeltaError("it is not what its digest says")
        except delta.DeltaError as err:
            log.error("blob %s: inline delta is corrupt: %s", blob_digest.hex()[:8], err)
            return None
        self.store.keep_packed((blob_digest, base), data)
        self.arrived(blob_digest, body)
        return body

    def link_lost(self, link: Connection) -> None:
        """What was asked for on a connection does not come any more."""
        for fetch in self.fetches.values():
            if fetch.link is link:
                fetch.link = None
                # A connect that fails at once must not be tried again and again.
                fetch.due_s = min(fetch.due_s, max(self.loop.time(), fetch.asked_s + QUIET_S))
