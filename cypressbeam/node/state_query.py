"""The state of chain and view, told by any node that takes control calls: it asks each machine of the core."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cypressbeam.consensus.quorum_loss import detect, parse_silences
from cypressbeam.consensus.views import ip_of
from cypressbeam.protocol import frames
from cypressbeam.proxy.frontend import ClientConnection
from cypressbeam.proxy.http_responses import Answer

STATE = b"/-/System.State"
#: A machine that has not answered by then is told as silent.
QUERY_TIMEOUT_S = 0.5
JSON = (b"Content-Type", b"application/json")


@dataclass(slots=True)
class PendingQuery:
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
        self.chance = random.SystemRandom()
        self.pending: dict[str, PendingQuery] = {}

    def begin(self, connection: ClientConnection) -> Answer | None:
        """Ask the core; the answer comes once all have told, or after a while. At once where no core is known."""
        members = self.members()
        question = PendingQuery(connection)
        if not members:
            return self.build_answer(question)
        ident = self.chance.getrandbits(63)
        name = connection.request = str(ident)
        self.pending[name] = question
        self.query(ident, question, members)
        self.loop.call_later(QUERY_TIMEOUT_S, self.conclude, name)
        return None

    def query(self, ident: int, question: PendingQuery, ips: tuple[str, ...]) -> None:
        for ip in ips:
            if ip not in question.queried:
                question.queried.add(ip)
                self.send(ip, frames.StatusQuery(ident, self.ip))

    def on_state(self, frame: frames.ReplicaStatus) -> None:
        question = self.pending.get(str(frame.request_id))
        if question is None:
            return
        question.answers[ip_of(frame.name)] = frame
        # Those of the group that the chain has left out are asked too: it may be they that are looked for.
        self.query(frame.request_id, question, tuple(ip_of(name) for name in frame.group))
        if question.queried <= question.answers.keys():
            self.conclude(str(frame.request_id))

    def on_spares(self, frame: frames.SpareAnnouncement) -> None:
        """Each machine of the core sends it before its state."""
        question = self.pending.get(str(frame.request_id))
        if question is not None:
            question.spares.update(frame.spares)
            question.silent_members = frame.silent_members or question.silent_members
            question.replacement_status = frame.replacement_status or question.replacement_status

    def conclude(self, name: str) -> None:
        question = self.pending.pop(name, None)
        if question is not None:
            question.connection.respond(self.build_answer(question))

    def client_gone(self, name: str) -> bool:
        return self.pending.pop(name, None) is not None

    def build_answer(self, question: PendingQuery) -> Answer:
        newest = max(question.answers.values(), key=lambda state: state.epoch, default=None)
        head = max(
            (state.number for state in question.answers.values() if newest and state.epoch == newest.epoch), default=0
        )
        told = {
            "node": self.own_state(),
            "epoch": newest.epoch if newest else None,
            "chain": newest.chain if newest else (),
            "group": newest.group if newest else (),
            "quorumLoss": self.quorum_loss(question, newest),
            "standingBy": sorted(question.spares),
            "silent": question.silent_members,
            "waits": question.replacement_status,
            "members": [describe(ip, question.answers.get(ip), head) for ip in sorted(question.queried)],
        }
        return Answer(200, [JSON], msgspec.json.encode(told))

    def quorum_loss(self, question: PendingQuery, newest: frames.ReplicaStatus | None) -> dict[str, Any] | None:
        """Where no majority of the core answers, or none of it leads and one says that it hears no majority: what that
        means and what to do. Where nobody answers, of the machines that were asked."""
        group = newest.group if newest is not None else tuple(question.queried)
        heard = {ip: state.name for ip, state in question.answers.items()}
        silent_s = parse_silences(question.silent_members)
        if not any(state.flags & frames.IS_ROOT for state in question.answers.values()):
            heard = {ip: name for ip, name in heard.items() if ip not in silent_s}
        loss = detect(group, heard, silent_s)
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
