"""System.State: reports the state of the core. Any node with a control listener queries each core machine for it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cypressbeam.consensus.quorum_loss import detect, parse_missing_durations
from cypressbeam.consensus.views import ip_of
from cypressbeam.protocol import frames
from cypressbeam.proxy.frontend import ClientConnection
from cypressbeam.proxy.http_responses import Response

STATE_PATH = b"/-/System.State"
#: Machines that have not answered by then are reported as not answering.
QUERY_TIMEOUT_S = 0.5
JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")


@dataclass(slots=True)
class PendingQuery:
    """A System.State call that waits for answers from core machines."""

    connection: ClientConnection
    queried: set[str] = field(default_factory=set)
    """Addresses of the core machines that were queried."""
    answers: dict[str, frames.ReplicaStatus] = field(default_factory=dict)
    spares: set[str] = field(default_factory=set)
    """Names of the spares that any core machine hears."""
    silent_members: tuple[str, ...] = ()
    platform: frames.PlatformStatus | None = None
    """How the leader's polls of the platform go."""
    replacement_status: str = ""
    """The head's description of members that it does not hear and of a replacement in progress."""


class StateQuery:
    """Handles System.State calls. `own_state` returns the state of this node as JSON-compatible values."""

    def __init__(
        self,
        ip: str,
        members: Callable[[], tuple[str, ...]],
        own_state: Callable[[], dict[str, Any]],
        send: Callable[[str, frames.Frame], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.ip, self.members, self.own_state, self.send = ip, members, own_state, send
        self.rng = random.SystemRandom()
        self.pending: dict[str, PendingQuery] = {}

    def begin(self, connection: ClientConnection) -> Response | None:
        """Query the core. The response is sent when all machines have answered or the query times out, and immediately
        if no core machine is known."""
        members = self.members()
        query = PendingQuery(connection)
        if not members:
            return self.build_answer(query)
        request_id = self.rng.getrandbits(63)
        name = connection.request = str(request_id)
        self.pending[name] = query
        self.query(request_id, query, members)
        self.loop.call_later(QUERY_TIMEOUT_S, self.complete, name)
        return None

    def query(self, request_id: int, query: PendingQuery, ips: tuple[str, ...]) -> None:
        """Query the core machines that were not queried yet."""
        for ip in ips:
            if ip not in query.queried:
                query.queried.add(ip)
                self.send(ip, frames.StatusQuery(request_id, self.ip))

    def on_replica_status(self, frame: frames.ReplicaStatus) -> None:
        """Record the answer of a core machine."""
        query = self.pending.get(str(frame.request_id))
        if query is None:
            return
        query.answers[ip_of(frame.name)] = frame
        # Members of the group that are not in the chain are queried too: they may be what the operator is looking for.
        self.query(frame.request_id, query, tuple(ip_of(name) for name in frame.group))
        if query.queried <= query.answers.keys():
            self.complete(str(frame.request_id))

    def on_spare_announcement(self, frame: frames.SpareAnnouncement) -> None:
        """Record the spares. Each core machine sends this message before its status."""
        query = self.pending.get(str(frame.request_id))
        if query is not None:
            query.spares.update(frame.spares)
            query.silent_members = frame.silent_members or query.silent_members
            query.replacement_status = frame.replacement_status or query.replacement_status

    def on_platform_status(self, frame: frames.PlatformStatus) -> None:
        """Record how the polls of the platform go. The leader sends this message before its status."""
        query = self.pending.get(str(frame.request_id))
        if query is not None:
            query.platform = frame

    def complete(self, name: str) -> None:
        """Respond with the answers received so far."""
        query = self.pending.pop(name, None)
        if query is not None:
            query.connection.respond(self.build_answer(query))

    def client_disconnected(self, name: str) -> bool:
        """Drop the call of a client that disconnected. Returns whether it was a System.State call."""
        return self.pending.pop(name, None) is not None

    def build_answer(self, query: PendingQuery) -> Response:
        """Build the JSON response from the state of the core and of this node."""
        newest = max(query.answers.values(), key=lambda state: state.epoch, default=None)
        head_number = max(
            (state.number for state in query.answers.values() if newest and state.epoch == newest.epoch), default=0
        )
        state = {
            "node": self.own_state(),
            "epoch": newest.epoch if newest else None,
            "chain": newest.chain if newest else (),
            "group": newest.group if newest else (),
            "quorumLoss": self.quorum_loss(query, newest),
            "standingBy": sorted(query.spares),
            "silent": query.silent_members,
            "waits": query.replacement_status,
            "platform": describe_platform(query.platform),
            "members": [describe_member(ip, query.answers.get(ip), head_number) for ip in sorted(query.queried)],
        }
        return Response(200, [JSON_CONTENT_TYPE], msgspec.json.encode(state))

    def quorum_loss(self, query: PendingQuery, newest: frames.ReplicaStatus | None) -> dict[str, Any] | None:
        """Describe a quorum loss and what to do about it.

        A quorum is lost if no majority of the core answers, or if no machine leads and one reports that it hears no
        majority. If no machine answers, the queried machines are taken as the group.
        """
        group = newest.group if newest is not None else tuple(query.queried)
        alive = {ip: state.name for ip, state in query.answers.items()}
        silent_s = parse_missing_durations(query.silent_members)
        if not any(state.flags & frames.IS_ROOT for state in query.answers.values()):
            alive = {ip: name for ip, name in alive.items() if ip not in silent_s}
        loss = detect(group, alive, silent_s)
        return {"here": loss.here, "missing": loss.missing, "text": loss.lines()} if loss is not None else None


def describe_platform(status: frames.PlatformStatus | None) -> dict[str, Any] | None:
    """Describe the polls of the platform. None if no leader has answered, or if it has no address of the platform."""
    if status is None:
        return None
    failing_s = status.failing_ms / 1000 if status.failing_ms else None
    return {"address": status.address, "failing_s": failing_s, "error": status.error}


def describe_member(ip: str, state: frames.ReplicaStatus | None, head_number: int) -> dict[str, Any]:
    """Describe a core machine. Its lag is how many entries it is behind the newest one on any disk of the chain."""
    if state is None:
        return {"ip": ip, "answers": False}
    return {
        "ip": ip,
        "answers": True,
        "name": state.name,
        "epoch": state.epoch,
        "promised": state.promised,
        "active": bool(state.flags & frames.VIEW_ACTIVE),
        "disk": bool(state.flags & frames.DISK_WORKS),
        "root": bool(state.flags & frames.IS_ROOT),
        "revision": state.revision,
        "number": state.number,
        "committed": state.committed,
        "lag": head_number - state.number,
    }
