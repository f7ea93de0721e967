"""Which part of the core's rules takes a message: a table from type to handler. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from cypressbeam.consensus.membership import MembershipManager
from cypressbeam.consensus.replacement import ReplacementManager
from cypressbeam.consensus.replica import Action, Keeper
from cypressbeam.protocol import frames


@dataclass(frozen=True, slots=True)
class Rules:
    """The parts that take messages, and the time at which one is taken, in seconds."""

    replica: Keeper
    members: MembershipManager
    replacement: ReplacementManager
    now_s: float


#: What is done with a message. It may raise FrameError where its content cannot be.
Handler = Callable[[Rules, Any], Sequence[Action]]

HANDLERS: dict[type[frames.Frame], Handler] = {
    frames.ReplicaHeartbeat: lambda rules, frame: rules.replica.on_pulse(frame, rules.now_s),
    frames.WriteRequest: lambda rules, frame: rules.replica.order(frame, rules.now_s),
    frames.ForwardEntry: lambda rules, frame: rules.replica.forward(frame, rules.now_s),
    frames.CommitNotice: lambda rules, frame: rules.replica.committed(frame, rules.now_s),
    frames.ReadRequest: lambda rules, frame: rules.replica.read(frame, rules.now_s),
    frames.QuorumReadCheck: lambda rules, frame: rules.replica.on_confirm(frame),
    frames.QuorumReadAck: lambda rules, frame: rules.replica.on_confirmed(frame, rules.now_s),
    frames.ViewAnnouncement: lambda rules, frame: rules.replica.on_view(frame, rules.now_s),
    frames.Prepare: lambda rules, frame: rules.replica.on_prepare(frame, rules.now_s),
    frames.Promise: lambda rules, frame: rules.replica.on_promise(frame, rules.now_s),
    frames.Accept: lambda rules, frame: rules.replica.on_accept(frame, rules.now_s),
    frames.RollbackNotice: lambda rules, frame: rules.replica.on_stale(frame, rules.now_s),
    frames.MembershipChangeRequest: lambda rules, frame: rules.replacement.on_change_request(frame, rules.now_s),
    frames.CatchUp: lambda rules, frame: rules.members.on_catch_up(frame, rules.now_s),
    frames.CatchUpAck: lambda rules, frame: rules.members.on_catch_up_ack(frame),
}


def dispatch(
    frame: frames.Frame, replica: Keeper, members: MembershipManager, replacement: ReplacementManager, now_s: float
) -> Sequence[Action]:
    """What a message asks for; nothing where it is none of the core's. Raises FrameError."""
    handler = HANDLERS.get(type(frame))
    return handler(Rules(replica, members, replacement, now_s), frame) if handler is not None else ()
