"""The message classes by frame code."""

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
from cypressbeam.protocol.frames.codec import Frame
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
from cypressbeam.protocol.frames.status import PlatformStatus, ReplicaStatus, SpareAnnouncement, StatusQuery
from cypressbeam.protocol.frames.tree import (
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
from cypressbeam.protocol.frames.validation import FrameError

FRAME_TYPES: dict[int, type[Frame]] = {
    frame_type.CODE: frame_type
    for frame_type in (
        JoinRequest,
        LeaderRedirect,
        ParentAssignment,
        Subscribe,
        ConfigurationAnnouncement,
        EndpointUpdate,
        RootHeartbeat,
        SuspectReport,
        LeaveNotice,
        WriteRequest,
        WriteResult,
        ForwardEntry,
        CommitNotice,
        ReadRequest,
        ReadResult,
        BootstrapRequest,
        BootstrapAck,
        ReplicaHeartbeat,
        ViewAnnouncement,
        Prepare,
        Promise,
        Accept,
        QuorumReadCheck,
        QuorumReadAck,
        StatusQuery,
        ReplicaStatus,
        ChunkRequest,
        Chunk,
        BlobNotFound,
        Unsubscribed,
        KeepAlive,
        OutlierReport,
        OutlierEjection,
        MembershipChangeRequest,
        MembershipChangeStatus,
        CatchUp,
        CatchUpAck,
        SpareAnnouncement,
        ConfigurationDelta,
        RollbackNotice,
        NodeDirectoryUpdate,
        PlatformStatus,
        BootstrapPrepare,
        BootstrapPromise,
    )
}


def unpack(code: int, data: bytes) -> Frame:
    """Decodes the fields of a message by its code. Raises FrameError."""
    if code not in FRAME_TYPES:
        raise FrameError(f"unknown message code {code}")
    return FRAME_TYPES[code].unpack(data)
