"""Deduplication of writes: the digests of all versions that led to the one in force, by revision, the lowest first.

A write that is sent again is recognised by its digest (docs/design/orders.md). The newest `MAX_DIGESTS` are kept, in
memory and on disk; between machines go only those that the other lacks. Pure.
"""

from __future__ import annotations

import struct
from itertools import pairwise, takewhile

from cypressbeam.protocol import frames
from cypressbeam.protocol.configuration import MAX_REVISION

#: Digests that are kept: 0.54 MB of memory, 0.2 MB on disk. At eight changes a second, the most that was measured
#: with updates for a whole fleet, they go back over eight minutes; callers give up far sooner, and days hold hundreds.
MAX_DIGESTS = 4096
RECORD = struct.Struct("!Q32s")

AppliedDigests = dict[int, bytes]


def record(applied: AppliedDigests, revision: int, base: int, digest: bytes) -> None:
    """A version on top of `base` is on disk. What stands above its base was refused by a disk that kept it all the
    same, and led nowhere; it must not be answered as applied."""
    for refused in list(takewhile(lambda known: known > base, reversed(applied))):
        del applied[refused]
    applied[revision] = digest
    while len(applied) > MAX_DIGESTS:
        del applied[next(iter(applied))]


def forgotten_up_to(applied: AppliedDigests, number: int) -> int:
    """The revision up to which the digests of the first `number` versions are not kept any more, 0 if all are."""
    if len(applied) >= number:
        return 0
    return next(iter(applied)) - 1 if applied else MAX_REVISION


def pack(applied: AppliedDigests, above: int = 0) -> bytes:
    """Those above a revision."""
    return b"".join(RECORD.pack(revision, digest) for revision, digest in sorted(applied.items()) if revision > above)


def unpack(data: bytes) -> AppliedDigests:
    """Raises FrameError for what is cut off, too long, or not in order."""
    if len(data) % RECORD.size:
        raise frames.FrameError("digests end within one")
    found = list(RECORD.iter_unpack(data))
    if len(found) > MAX_DIGESTS:
        raise frames.FrameError(f"{len(found)} digests, and {MAX_DIGESTS} are kept")
    if any(one[0] >= other[0] for one, other in pairwise(found)):
        raise frames.FrameError("digests are not in the order of their revisions")
    return dict(found)


def merge(own: AppliedDigests, above: int, reported: AppliedDigests) -> AppliedDigests:
    """One's own up to a revision that all hold, and what another member reported of the later ones."""
    merged = {revision: digest for revision, digest in sorted(own.items()) if revision <= above} | reported
    return dict(list(merged.items())[-MAX_DIGESTS:])
