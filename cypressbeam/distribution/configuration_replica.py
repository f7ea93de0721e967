"""The replica of the committed configuration, distributed down the tree.

A parent announces a version (`ConfigurationAnnouncement`) or sends a small change inline (`ConfigurationDelta`). The
body is fetched from it in chunks over a separate connection (transport/blobs/). Bodies are fetched one at a time, so
that each can be the delta base of the next. Invariant: the revision never decreases.
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

#: A node whose configuration has been outdated for longer than this logs one warning.
LAG_REPORT_S = 1.0
#: Key of the replica's callbacks in `Fetcher`.
FETCH_KEY = "configuration"


class ConfigurationTransfer:
    """The fetch of the newest body, and of one earlier body whose fetch stalled. The earlier one is not cancelled at
    once: if each version of a rapid sequence cancelled the fetch before it, none would complete on a saturated link."""

    def __init__(self, fetcher: Fetcher) -> None:
        self.fetcher = fetcher
        self.digest = b""
        """Digest of the body that is being fetched, or b""."""
        self.earlier_digest = b""
        """Digest of an earlier body whose stalled fetch continues in parallel, or b""."""

    def may_start(self, blob_digest: bytes) -> bool:
        """Whether the fetch of a body may start now: not while another one makes progress. A stalled fetch becomes the
        earlier one, or is cancelled if there is an earlier one already."""
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
        """Cancel the fetch: the body was received or is no longer needed."""
        self.fetcher.cancel(self.digest, FETCH_KEY)
        self.digest = b""

    def end_earlier(self) -> None:
        """Cancel the earlier fetch: the newest body was received."""
        self.fetcher.cancel(self.earlier_digest, FETCH_KEY)
        self.earlier_digest = b""


@dataclass(slots=True)
class Lag:
    """Since when a newer version is known than the local one; 0 if the local one is the newest."""

    since_s: float = 0.0
    reported: bool = False

    def begin(self, now_s: float) -> None:
        """A newer version is known."""
        self.since_s = self.since_s or now_s

    def end(self) -> None:
        """The local version is the newest."""
        self.since_s, self.reported = 0.0, False

    def should_report(self, now_s: float) -> bool:
        """Whether the lag exceeds `LAG_REPORT_S` and was not reported yet; marks it as reported."""
        if now_s - self.since_s <= LAG_REPORT_S or self.reported:
            return False
        self.reported = True
        return True


@dataclass(slots=True)
class Announcement:
    """The message that announces the local version to children."""

    message: frames.ConfigurationAnnouncement | frames.ConfigurationDelta | None = None
    base: int = 0
    """The previous local revision; a child that has it can be sent this message."""


class ConfigurationReplica:
    """The local configuration, and the fetch of a newer one."""

    def __init__(
        self,
        context: NodeContext,
        fence: EpochFence,
        broadcast: Callable[[frames.Frame], None],
        message_epoch: Callable[[], int],
        parent_ip: Callable[[], str],
    ) -> None:
        """`broadcast` sends to all children; `message_epoch` returns the epoch of this node's own messages."""
        self.context = context
        self.fence = fence
        self.broadcast = broadcast
        self.message_epoch = message_epoch
        self.parent_ip = parent_ip
        self.revision = 0
        self.body = b""
        self.newest = (0, b"")
        """Revision and body digest of the newest announced version."""
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

    def update_for_child(self, revision: int) -> frames.Frame | None:
        """The announcement for a child that has the given revision; None if that is up to date."""
        newest, blob_digest = self.newest if self.transfer.digest else (self.revision, b"")
        if newest <= revision:
            return None
        blob_digest = blob_digest or self.store.put(self.body)
        if not self.transfer.digest and revision == self.announced.base and self.announced.message is not None:
            return replace(self.announced.message, epoch=self.message_epoch())
        return frames.ConfigurationAnnouncement(newest, blob_digest, self.message_epoch())

    def publish(self, revision: int, body: bytes) -> None:
        """Take over a committed configuration and announce it. One that is not newer is ignored."""
        if revision <= self.revision:
            return
        base_revision, base_digest = self.revision, self.store.put(self.body) if self.body else b""
        self.revision, self.body = revision, body
        blob_digest = self.store.put(body)
        if revision > self.newest[0]:
            self.newest = (revision, blob_digest)
        if revision == self.newest[0]:
            self.lag.end()
        self.announce(blob_digest, base_revision, base_digest)
        if self.transfer.digest != self.newest[1] or revision == self.newest[0]:
            self.transfer.end()
        if revision == self.newest[0]:
            self.transfer.end_earlier()
        self.on_committed(revision, body)

    def announce(self, blob_digest: bytes, base_revision: int, base_digest: bytes) -> None:
        """Announce the local version to the children, with an inline delta if it is small enough."""
        inline_delta = self.store.inline_delta(blob_digest, base_digest)
        message = (
            frames.ConfigurationDelta(self.revision, blob_digest, base_digest, inline_delta, self.message_epoch())
            if inline_delta
            else frames.ConfigurationAnnouncement(self.revision, blob_digest, self.message_epoch())
        )
        self.announced = Announcement(message, base_revision)
        # Without an inline delta, a fetched version was announced already when its fetch started.
        if inline_delta or blob_digest != self.transfer.digest:
            self.broadcast(message)

    # -- from the parent -----------------------------------------------------------------------------------

    def on_announcement(self, link: Link, frame: frames.ConfigurationAnnouncement) -> None:
        """The parent announces a version whose body it has, or is fetching."""
        if not self.fence.rejects(link, frame.epoch) and self.should_fetch(frame.revision, frame.digest):
            self.fetch(link.ip)

    def on_delta(self, link: Link, frame: frames.ConfigurationDelta) -> None:
        """The parent sends a version as a delta. Without its base, or if the result is wrong, the body is fetched."""
        if len(frame.digest) != frames.DIGEST_BYTES or len(frame.data) > MAX_INLINE_DELTA_BYTES:
            log.warning(
                "node %s: invalid configuration delta (%d bytes of data, %d bytes of digest), closing connection",
                link.ip,
                len(frame.data),
                len(frame.digest),
            )
            link.close()
        elif not self.fence.rejects(link, frame.epoch) and self.should_fetch(frame.revision, frame.digest):
            body = self.fetcher.apply_inline_delta(frame.digest, frame.base_digest, frame.data)
            if body is None:
                self.fetch(link.ip)
            else:
                self.publish(frame.revision, body)

    def should_fetch(self, revision: int, blob_digest: bytes) -> bool:
        """Whether an announced version should be fetched; it becomes the newest known one then."""
        if revision <= self.revision or revision < self.newest[0]:
            return False
        self.newest = (revision, blob_digest)
        self.lag.begin(self.context.now_s())
        return True

    def fetch(self, source: str) -> None:
        """Fetch the newest body, unless another fetch makes progress. The version is announced to children at the
        start, so that they fetch the body while it is still being received here. A stalled fetch of an older body does
        not delay the newest one."""
        revision, blob_digest = self.newest
        if not self.transfer.may_start(blob_digest):
            return
        if self.transfer.digest != blob_digest:
            self.transfer.digest = blob_digest
            self.broadcast(frames.ConfigurationAnnouncement(revision, blob_digest, self.message_epoch()))
        self.fetcher.fetch(blob_digest, source, lambda body: self.complete_fetch(revision, body, source), key=FETCH_KEY)

    def complete_fetch(self, revision: int, body: bytes, source: str) -> None:
        """A body was received: publish it, and fetch the next one if a newer version was announced meanwhile."""
        self.publish(revision, body)
        if self.newest[0] > self.revision:
            self.fetch(self.parent_ip() or source)

    def is_missing(self, revision: int) -> bool:
        """Whether a revision is neither held nor being received."""
        coming = self.newest[0] if self.fetcher.is_arriving(self.transfer.digest) else self.revision
        return revision > coming

    def report_lag(self, revision: int) -> None:
        """Log a warning, once, if this node has been behind the committed revision for too long."""
        if revision <= self.revision:
            return
        now_s = self.context.now_s()
        self.lag.begin(now_s)
        if self.lag.should_report(now_s):
            log.warning(
                "configuration outdated for %.1f s: revision %d here, newest known %d, committed %d; %s",
                now_s - self.lag.since_s,
                self.revision,
                self.newest[0],
                revision,
                self.fetcher.describe(self.transfer.digest),
            )
