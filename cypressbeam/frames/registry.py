"""The registry of messages: from a frame's code to its class."""

from __future__ import annotations

from cypressbeam.frames.blobs import Lacking, Slice, Want
from cypressbeam.frames.chain import Committed, Forward, Order, Outcome, Read, Reading
from cypressbeam.frames.codec import Frame
from cypressbeam.frames.consensus import (
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
from cypressbeam.frames.health import Ailing, Leave, Suspect, Verdict
from cypressbeam.frames.membership import Change, Level, Levelled, Progress
from cypressbeam.frames.status import Ask, StandingBy, State
from cypressbeam.frames.tree import Alive, Attach, Beat, Join, News, Place, Refer, Released, Servers, Update
from cypressbeam.frames.validation import FrameError

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
