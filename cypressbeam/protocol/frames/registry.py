"""The registry of messages: from a frame's code to its class."""

from __future__ import annotations

from cypressbeam.protocol.frames.blobs import Lacking, Slice, Want
from cypressbeam.protocol.frames.chain import Committed, Forward, Order, Outcome, Read, Reading
from cypressbeam.protocol.frames.codec import Frame
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
from cypressbeam.protocol.frames.status import Ask, StandingBy, State
from cypressbeam.protocol.frames.tree import Alive, Attach, Beat, Join, News, Place, Refer, Released, Servers, Update
from cypressbeam.protocol.frames.validation import FrameError

FRAMES: dict[int, type[Frame]] = {
    kind.KIND: kind
    for kind in (
        Join,
        Refer,
        Place,
        Attach,
        News,
        Servers,
        Beat,
        Suspect,
        Leave,
        Order,
        Outcome,
        Forward,
        Committed,
        Read,
        Reading,
        Found,
        Founded,
        Pulse,
        ViewIs,
        Prepare,
        Promise,
        Accept,
        Confirm,
        Confirmed,
        Ask,
        State,
        Want,
        Slice,
        Lacking,
        Released,
        Alive,
        Ailing,
        Verdict,
        Change,
        Progress,
        Level,
        Levelled,
        StandingBy,
        Update,
        StaleDisk,
    )
}


def unpack(kind: int, body: bytes) -> Frame:
    """A message by its code. Raises FrameError."""
    if kind not in FRAMES:
        raise FrameError(f"unknown kind {kind}")
    return FRAMES[kind].unpack(body)
