"""The state of chain and view, at any node that takes control calls: it queries each machine of the core."""

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

STATE = b"/-/System.State"
#: A machine that has not answered by then is shown as silent.
QUERY_TIMEOUT_S = 0.5
JSON = (b"Content-Type", b"application/json")


@dataclass(slots=True)
class PendingQuery:
    """An operator's call that waits for the answers of core machines."""

    connection: ClientConnection
    queried: set[str] = field(default_factory=set)
    """Addresses of machines of the core."""
    answers: dict[str, frames.ReplicaStatus] = field(default_factory=dict)
    spares: set[str] = field(default_factory=set)
    """Names of machines that stand by, as any of the core hears them."""
    silent_members: tuple[str, ...] = ()
    replacement_status: str = ""
    """What the head tells of members that it does not hear, and of a replacement under way."""


class StateQuery:
    """Calls for the state that wait for the core. `own` tells of this node itself, in what JSON can hold."""

    def __init__(
        self,
        ip: str,
        members: Callable[[], tuple[str, ...]],
        own: Callable[[], dict[str, Any]],
        send: Callable[[str, frames.Frame], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.ip, self.members, self.own_state, self.send = ip, members, own, send
        self.rng = random.SystemRandom()
        self.pending: dict[str, PendingQuery] = {}

    def begin(self, connection: ClientConnection) -> Response | None:
        """Ask the core; the answer comes once all have answered, or after a time-out. At once where no core is
        known."""
        members = self.members()
        query = PendingQuery(connection)
        if not members:
            return self.build_answer(query)
        request_id = self.rng.getrandbits(63)
        name = connection.request = str(request_id)
        self.pending[name] = query
        self.query(request_id, query, members)
        self.loop.call_later(QUERY_TIMEOUT_S, self.conclude, name)
        return None

    def query(self, request_id: int, query: PendingQuery, ips: tuple[str, ...]) -> None:
        """Ask core machines that were not asked yet."""
        for ip in ips:
            if ip not in query.queried:
                query.queried.add(ip)
                self.send(ip, frames.StatusQuery(request_id, self.ip))

    def on_state(self, frame: frames.ReplicaStatus) -> None:
        """A core machine has answered."""
        query = self.pending.get(str(frame.request_id))
        if query is None:
            return
        query.answers[ip_of(frame.name)] = frame
        # Those of the group that the chain has left out are asked too: it may be they that are looked for.
        self.query(frame.request_id, query, tuple(ip_of(name) for name in frame.group))
        if query.queried <= query.answers.keys():
            self.conclude(str(frame.request_id))

    def on_spares(self, frame: frames.SpareAnnouncement) -> None:
        """Each machine of the core sends it before its state."""
        query = self.pending.get(str(frame.request_id))
        if query is not None:
            query.spares.update(frame.spares)
            query.silent_members = frame.silent_members or query.silent_members
            query.replacement_status = frame.replacement_status or query.replacement_status

    def conclude(self, name: str) -> None:
        """Answer with what has come."""
        query = self.pending.pop(name, None)
        if query is not None:
            query.connection.respond(self.build_answer(query))

    def client_disconnected(self, name: str) -> bool:
        """A client has left; returns whether it had called for the state."""
        return self.pending.pop(name, None) is not None

    def build_answer(self, query: PendingQuery) -> Response:
        """The state of the core and of this node, as JSON."""
        newest = max(query.answers.values(), key=lambda state: state.epoch, default=None)
        head = max(
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
            "members": [describe(ip, query.answers.get(ip), head) for ip in sorted(query.queried)],
        }
        return Response(200, [JSON], msgspec.json.encode(state))

    def quorum_loss(self, query: PendingQuery, newest: frames.ReplicaStatus | None) -> dict[str, Any] | None:
        """Where no majority of the core answers, or none of it leads and one says that it hears no majority: what that
        means and what to do. Where nobody answers, of the machines that were asked."""
        group = newest.group if newest is not None else tuple(query.queried)
        alive = {ip: state.name for ip, state in query.answers.items()}
        silent_s = parse_missing_durations(query.silent_members)
        if not any(state.flags & frames.IS_ROOT for state in query.answers.values()):
            alive = {ip: name for ip, name in alive.items() if ip not in silent_s}
        loss = detect(group, alive, silent_s)
        return {"here": loss.here, "missing": loss.missing, "text": loss.lines()} if loss is not None else None


def describe(ip: str, state: frames.ReplicaStatus | None, head: int) -> dict[str, Any]:
    """One machine of the core. Its lag is how many entries it is behind the newest on any disk of the chain."""
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
        "lag": head - state.number,
    }
