"""The replica of the committed configuration that goes down the distribution tree.

A parent names a version (`ConfigurationAnnouncement`), or sends what it changes (`ConfigurationDelta`); the body is
fetched from it in chunks beside that (transport/blobs/). Bodies are fetched one at a time, so that each is the base of
the next. Invariant: the revision never falls.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.fencing import EpochFence
from cypressbeam.protocol import frames
from cypressbeam.transport.blobs.fetcher import Fetcher
from cypressbeam.transport.blobs.store import MAX_INLINE_DELTA_BYTES, BlobStore
from cypressbeam.transport.peers import Link

log = logging.getLogger(__name__)

#: A node that has been behind the newest version for so long says so in its log, once.
LAG_REPORT_S = 1.0
#: Under which key the replica's fetches stand in `Fetcher`.
FETCH_KEY = "news"


class ConfigurationTransfer:
    """The fetch of the newest body, and of one before it that did not move. On a full link nothing would ever come in a
    storm of versions, if each put an end to the one before."""

    def __init__(self, fetcher: Fetcher) -> None:
        self.fetcher = fetcher
        self.digest = b""
        """The digest of the body that is on its way here, or nothing."""
        self.earlier_digest = b""
        """That of one before it, which does not move: it is waited for beside the newest."""

    def may_start(self, blob_digest: bytes) -> bool:
        """Whether a body may be fetched now, for none before it is on its way and moves."""
        if not self.digest or self.digest == blob_digest:
            return True
        if self.fetcher.is_arriving(self.digest):
            return False
        if self.fetcher.is_pending(self.earlier_digest):
            self.fetcher.cancel(self.digest, FETCH_KEY)
        else:
            self.earlier_digest = self.digest
        return True

    def end(self) -> None:
        """The body is here, or wanted no more."""
        self.fetcher.cancel(self.digest, FETCH_KEY)
        self.digest = b""

    def end_earlier(self) -> None:
        """The newest body is here: the one before it is wanted no more."""
        self.fetcher.cancel(self.earlier_digest, FETCH_KEY)
        self.earlier_digest = b""


@dataclass(slots=True)
class Lag:
    """Since when a newer version is known of than is here; 0: none is."""

    since_s: float = 0.0
    reported: bool = False

    def begin(self, now_s: float) -> None:
        """A newer version is known of."""
        self.since_s = self.since_s or now_s

    def end(self) -> None:
        """The newest version is here."""
        self.since_s, self.reported = 0.0, False

    def should_report(self, now_s: float) -> bool:
        """Whether it lasts for long and was not reported; then it counts as reported."""
        if now_s - self.since_s <= LAG_REPORT_S or self.reported:
            return False
        self.reported = True
        return True


@dataclass(slots=True)
class Announcement:
    """What is announced to children of the version that is here."""

    message: frames.ConfigurationAnnouncement | frames.ConfigurationDelta | None = None
    base: int = 0
    """The revision that was here before: to a child that has it the message is enough."""


class ConfigurationReplica:
    """The newest configuration that is here, and the fetch of a newer one."""

    def __init__(
        self,
        context: NodeContext,
        fence: EpochFence,
        tell: Callable[[frames.Frame], None],
        standing: Callable[[], int],
        parent_ip: Callable[[], str],
    ) -> None:
        """`tell` sends to all children, `standing` is the epoch under which this node's own statements stand."""
        self.context = context
        self.fence = fence
        self.broadcast = tell
        self.epoch_of_statements = standing
        self.parent_ip = parent_ip
        self.revision = 0
        self.body = b""
        self.newest = (0, b"")
        """The newest version that was announced: its revision, and its body's digest."""
        self.announced = Announcement()
        self.transfer = ConfigurationTransfer(context.peers.blobs.fetcher)
        self.lag = Lag()
        self.on_committed: Callable[[int, bytes], None] = lambda revision, body: None

    @property
    def store(self) -> BlobStore:
        """All bodies that the node holds."""
        return self.context.peers.blobs.store

    @property
    def fetcher(self) -> Fetcher:
        """All fetches of the node."""
        return self.context.peers.blobs.fetcher

    # -- to children ---------------------------------------------------------------------------------------

    def for_child(self, revision: int) -> frames.Frame | None:
        """What is announced to a child that has a revision, if anything."""
        newest, blob_digest = self.newest if self.transfer.digest else (self.revision, b"")
        if newest <= revision:
            return None
        blob_digest = blob_digest or self.store.put(self.body)
        if not self.transfer.digest and revision == self.announced.base and self.announced.message is not None:
            return replace(self.announced.message, epoch=self.epoch_of_statements())
        return frames.ConfigurationAnnouncement(newest, blob_digest, self.epoch_of_statements())

    def publish(self, revision: int, body: bytes) -> None:
        """A committed configuration. One that is not newer is ignored: a node never goes back."""
        if revision <= self.revision:
            return
        before, former = self.revision, self.store.put(self.body) if self.body else b""
        self.revision, self.body = revision, body
        blob_digest = self.store.put(body)
        if revision > self.newest[0]:
            self.newest = (revision, blob_digest)
        if revision == self.newest[0]:
            self.lag.end()
        self.announce(blob_digest, before, former)
        if self.transfer.digest != self.newest[1] or revision == self.newest[0]:
            self.transfer.end()
        if revision == self.newest[0]:
            self.transfer.end_earlier()
        self.on_committed(revision, body)

    def announce(self, blob_digest: bytes, before: int, former: bytes) -> None:
        """Tell children of the version that is here, in what it changes where that is little."""
        brief = self.store.inline_delta(blob_digest, former)
        message = (
            frames.ConfigurationDelta(self.revision, blob_digest, former, brief, self.epoch_of_statements())
            if brief
            else frames.ConfigurationAnnouncement(self.revision, blob_digest, self.epoch_of_statements())
        )
        self.announced = Announcement(message, before)
        if brief or blob_digest != self.transfer.digest:  # otherwise it was announced to children when it began to come
            self.broadcast(message)

    # -- from the parent -----------------------------------------------------------------------------------

    def on_announcement(self, link: Link, frame: frames.ConfigurationAnnouncement) -> None:
        """A version is to be had from a node that has it, or a part of it."""
        if not self.fence.rejects(link, frame.epoch) and self.should_fetch(frame.revision, frame.digest):
            self.fetch(link.ip)

    def on_delta(self, link: Link, frame: frames.ConfigurationDelta) -> None:
        """A version, in what has changed since the one before. Who lacks that one fetches it all."""
        if len(frame.digest) != frames.DIGEST_BYTES or len(frame.data) > MAX_INLINE_DELTA_BYTES:
            log.warning("node %s: an update of %d bytes for %d", link.ip, len(frame.data), len(frame.digest))
            link.close()
        elif not self.fence.rejects(link, frame.epoch) and self.should_fetch(frame.revision, frame.digest):
            body = self.fetcher.apply_inline_delta(frame.digest, frame.base_digest, frame.data)
            if body is None:
                self.fetch(link.ip)
            else:
                self.publish(frame.revision, body)

    def should_fetch(self, revision: int, blob_digest: bytes) -> bool:
        """Whether a version that a node tells of is to be got; then it is the newest one."""
        if revision <= self.revision or revision < self.newest[0]:
            return False
        self.newest = (revision, blob_digest)
        self.lag.begin(self.context.now_s())
        return True

    def fetch(self, source: str) -> None:
        """Get the newest body, one at a time. It is announced to children as it begins to come, and they fetch it as it
        comes. An older one that does not move holds up nothing: the newest is asked for beside it."""
        revision, blob_digest = self.newest
        if not self.transfer.may_start(blob_digest):
            return
        if self.transfer.digest != blob_digest:
            self.transfer.digest = blob_digest
            self.broadcast(frames.ConfigurationAnnouncement(revision, blob_digest, self.epoch_of_statements()))
        self.fetcher.fetch(blob_digest, source, lambda body: self.complete_fetch(revision, body, source), key=FETCH_KEY)

    def complete_fetch(self, revision: int, body: bytes, source: str) -> None:
        """A body is here; the next one may be wanted already."""
        self.publish(revision, body)
        if self.newest[0] > self.revision:
            self.fetch(self.parent_ip() or source)

    def is_missing(self, revision: int) -> bool:
        """Whether a revision is neither here nor coming."""
        coming = self.newest[0] if self.fetcher.is_arriving(self.transfer.digest) else self.revision
        return revision > coming

    def report_lag(self, revision: int) -> None:
        """A revision is in force. Say once that this node has been behind for long, and how its fetch stands."""
        if revision <= self.revision:
            return
        now_s = self.context.now_s()
        self.lag.begin(now_s)
        if self.lag.should_report(now_s):
            log.warning(
                "behind for %.1f s: version %d is here, %d is known of, %d in force; %s",
                now_s - self.lag.since_s,
                self.revision,
                self.newest[0],
                revision,
                self.fetcher.describe(self.transfer.digest),
            )
