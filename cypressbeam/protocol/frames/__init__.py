"""The messages between nodes: the binary codec, and a typed message for all that is said, by subject.

On a stream a frame is its length and code, then fields in the order of its class. Numbers are in network order; a text
has 2 bytes of length before it, a blob 4, a list of texts 2 bytes of count. A configuration's body goes by its digest:
a node that lacks it fetches it beside the frame (`cypressbeam.transport.blobs`).

| module | messages |
| --- | --- |
| `codec`, `validation` | header and fields; checks that messages share |
| `tree` | joining, the assignment of a parent, subscription, replication down the tree |
| `health` | suspicion of nodes, outlier detection of servers |
| `chain` | write and read requests, entries along the chain |
| `consensus` | founding, heartbeats, ballots, read index, rollback detection |
| `membership` | changes of the core's group |
| `blobs` | chunks of bodies |
| `status` | the state of the core for operators |
| `registry` | from a frame's code to its class |
"""

from __future__ import annotations

from cypressbeam.protocol.frames.blobs import Lacking, Slice, Want
from cypressbeam.protocol.frames.chain import Committed, Forward, Order, Outcome, Read, Reading
from cypressbeam.protocol.frames.codec import DIGEST, HEAD, MOST_FRAME, U8, U16, U32, U64, Frame
from cypressbeam.protocol.frames.consensus import (
    Accept,
    Confirm,
    Confirmed,
    Found,
    Founded,
    Prepare,
    Promise,
    Pulse,
    StaleDisk,
    ViewIs,
)
from cypressbeam.protocol.frames.health import Ailing, Leave, Suspect, Verdict
from cypressbeam.protocol.frames.membership import Change, Level, Levelled, Progress
from cypressbeam.protocol.frames.registry import FRAMES, unpack
from cypressbeam.protocol.frames.status import ACTIVE, DISK_WORKS, ROOT, Ask, StandingBy, State
from cypressbeam.protocol.frames.tree import (
    BOOTSTRAP,
    FRONT,
    QUORUM,
    SLOW,
    Alive,
    Attach,
    Beat,
    Join,
    News,
    Place,
    Refer,
    Released,
    Servers,
    Update,
)
from cypressbeam.protocol.frames.validation import LEAST_EPOCH, MOST_EPOCH, MOST_NAMED, MOST_NUMBER, FrameError

__all__ = [
    "ACTIVE",
    "BOOTSTRAP",
    "DIGEST",
    "DISK_WORKS",
    "FRAMES",
    "FRONT",
    "HEAD",
    "LEAST_EPOCH",
    "MOST_EPOCH",
    "MOST_FRAME",
    "MOST_NAMED",
    "MOST_NUMBER",
    "QUORUM",
    "ROOT",
    "SLOW",
    "U8",
    "U16",
    "U32",
    "U64",
    "Accept",
    "Ailing",
    "Alive",
    "Ask",
    "Attach",
    "Beat",
    "Change",
    "Committed",
    "Confirm",
    "Confirmed",
    "Forward",
    "Found",
    "Founded",
    "Frame",
    "FrameError",
    "Join",
    "Lacking",
    "Leave",
    "Level",
    "Levelled",
    "News",
    "Order",
    "Outcome",
    "Place",
    "Prepare",
    "Progress",
    "Promise",
    "Pulse",
    "Read",
    "Reading",
    "Refer",
    "Released",
    "Servers",
    "Slice",
    "StaleDisk",
    "StandingBy",
    "State",
    "Suspect",
    "Update",
    "Verdict",
    "ViewIs",
    "Want",
    "unpack",
]
