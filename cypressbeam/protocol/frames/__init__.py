"""The messages between nodes: the binary codec and the message classes, by subject.

On a stream, a frame is its length and code, followed by the fields in the order of its class. Numbers are in network
byte order. A string has a 2-byte length prefix, a blob a 4-byte length prefix, and a list of strings a 2-byte count. A
configuration is represented by its digest: a node that does not have the body fetches it separately
(`cypressbeam.transport.blobs`).

| module | messages |
| --- | --- |
| `codec`, `validation` | header and field encodings; checks shared by messages |
| `tree` | joining, parent assignment, subscription, replication down the tree |
| `health` | suspected nodes, outlier detection for servers |
| `chain` | write and read requests, forwarding of entries along the chain |
| `consensus` | bootstrap, heartbeats, ballots, read index, rollback detection |
| `membership` | membership changes of the core |
| `blobs` | transfer of bodies in chunks |
| `status` | status of the core for operators |
| `registry` | message classes by code |
"""

from __future__ import annotations

from cypressbeam.protocol.frames.blobs import BlobNotFound, Chunk, ChunkRequest
from cypressbeam.protocol.frames.chain import (
    CommitNotice,
    ForwardEntry,
    ReadRequest,
    ReadResult,
    WriteRequest,
    WriteResult,
)
from cypressbeam.protocol.frames.codec import DIGEST_BYTES, HEADER, MAX_FRAME_BYTES, U8, U16, U32, U64, Frame
from cypressbeam.protocol.frames.consensus import (
    Accept,
    BootstrapAck,
    BootstrapPrepare,
    BootstrapPromise,
    BootstrapRequest,
    Prepare,
    Promise,
    QuorumReadAck,
    QuorumReadCheck,
    ReplicaHeartbeat,
    RollbackNotice,
    ViewAnnouncement,
)
from cypressbeam.protocol.frames.health import LeaveNotice, OutlierEjection, OutlierReport, SuspectReport
from cypressbeam.protocol.frames.membership import CatchUp, CatchUpAck, MembershipChangeRequest, MembershipChangeStatus
from cypressbeam.protocol.frames.registry import FRAME_TYPES, unpack
from cypressbeam.protocol.frames.status import (
    DISK_WORKS,
    IS_ROOT,
    VIEW_ACTIVE,
    PlatformStatus,
    ReplicaStatus,
    SpareAnnouncement,
    StatusQuery,
)
from cypressbeam.protocol.frames.tree import (
    IS_OVERLOADED,
    MAY_BE_MEMBER,
    MAY_BOOTSTRAP,
    SERVES_CLIENTS,
    ConfigurationAnnouncement,
    ConfigurationDelta,
    EndpointUpdate,
    JoinRequest,
    KeepAlive,
    LeaderRedirect,
    NodeDirectoryUpdate,
    ParentAssignment,
    RootHeartbeat,
    Subscribe,
    Unsubscribed,
)
from cypressbeam.protocol.frames.validation import MAX_ENTRY_NUMBER, MAX_EPOCH, MAX_GROUP_SIZE, MIN_EPOCH, FrameError

__all__ = [
    "DIGEST_BYTES",
    "DISK_WORKS",
    "FRAME_TYPES",
    "HEADER",
    "IS_OVERLOADED",
    "IS_ROOT",
    "MAX_ENTRY_NUMBER",
    "MAX_EPOCH",
    "MAX_FRAME_BYTES",
    "MAX_GROUP_SIZE",
    "MAY_BE_MEMBER",
    "MAY_BOOTSTRAP",
    "MIN_EPOCH",
    "SERVES_CLIENTS",
    "U8",
    "U16",
    "U32",
    "U64",
    "VIEW_ACTIVE",
    "Accept",
    "BlobNotFound",
    "BootstrapAck",
    "BootstrapPrepare",
    "BootstrapPromise",
    "BootstrapRequest",
    "CatchUp",
    "CatchUpAck",
    "Chunk",
    "ChunkRequest",
    "CommitNotice",
    "ConfigurationAnnouncement",
    "ConfigurationDelta",
    "EndpointUpdate",
    "ForwardEntry",
    "Frame",
    "FrameError",
    "JoinRequest",
    "KeepAlive",
    "LeaderRedirect",
    "LeaveNotice",
    "MembershipChangeRequest",
    "MembershipChangeStatus",
    "NodeDirectoryUpdate",
    "OutlierEjection",
    "OutlierReport",
    "ParentAssignment",
    "PlatformStatus",
    "Prepare",
    "Promise",
    "QuorumReadAck",
    "QuorumReadCheck",
    "ReadRequest",
    "ReadResult",
    "ReplicaHeartbeat",
    "ReplicaStatus",
    "RollbackNotice",
    "RootHeartbeat",
    "SpareAnnouncement",
    "StatusQuery",
    "Subscribe",
    "SuspectReport",
    "Unsubscribed",
    "ViewAnnouncement",
    "WriteRequest",
    "WriteResult",
    "unpack",
]
