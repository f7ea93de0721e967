"""The registry of messages: from a frame's code to its class."""

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
from cypressbeam.protocol.frames.status import ReplicaStatus, SpareAnnouncement, StatusQuery
from cypressbeam.protocol.frames.tree import (
    ConfigurationAnnouncement,
    ConfigurationDelta,
    EndpointUpdate,
    JoinRequest,
    KeepAlive,
    LeaderRedirect,
    ParentAssignment,
    RootHeartbeat,
    Subscribe,
    Unsubscribed,
)
from cypressbeam.protocol.frames.validation import FrameError

FRAME_TYPES: dict[int, type[Frame]] = {
    kind.CODE: kind
    for kind in (
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
    )
}


def unpack(kind: int, body: bytes) -> Frame:
    """A message by its code. Raises FrameError."""
    if kind not in FRAME_TYPES:
        raise FrameError(f"unknown kind {kind}")
    return FRAME_TYPES[kind].unpack(body)
