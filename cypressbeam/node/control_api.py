"""Control calls: the operator's configuration, taken by any node and passed on; read back from the tail.

`better_reader` gives the address of a node that answers a read sooner, where this one's link is too thin for it.
`is_isolated` tells that no machine of the core is in reach: calls are refused at once then, and callers go on to
another node.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from cypressbeam.consensus.membership import CHANGE_KINDS
from cypressbeam.node.state_query import JSON, STATE, StateQuery
from cypressbeam.protocol import frames
from cypressbeam.protocol.address import Address
from cypressbeam.protocol.configuration import MAX_REVISION
from cypressbeam.proxy.frontend import ClientConnection
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage
from cypressbeam.proxy.http_responses import Limits, Response
from cypressbeam.proxy.proxy_core import Clock

log = logging.getLogger(__name__)

REPLACE, READ = b"/-/Configuration.Replace", b"/-/Configuration.Read"
MEMBERS = b"/-/System.Members"
#: A configuration of many thousand routes fits; more is refused with 413.
MAX_BODY_BYTES = 8 * 1024 * 1024
LIMITS = Limits(
    max_head_bytes=16 * 1024,
    max_body_bytes=MAX_BODY_BYTES,
    head_timeout_s=5.0,
    body_timeout_s=5.0,
    idle_timeout_s=30.0,
    body_timeout_restarts=True,
)
MAX_CONNECTIONS = 64
#: Callers move on after a second of silence, so by then they hear that they should.
CALL_TIMEOUT_S = 0.9
#: An order or read without an answer is sent again: the link may have broken. The head knows one that it has.
RESEND_INTERVAL_S = 0.3
CBOR = (b"Content-Type", b"application/cbor")
#: How answers name the body of System.Members; callers may compare them.
REQUEST_LABEL = "Change"


class MembersCall(msgspec.Struct):
    """The body of System.Members. Addresses; `base` are those of the group that the change was made for."""

    change: str
    base: list[str]
    old: str = ""
    new: str = ""


@dataclass(slots=True)
class PendingCall:
    """A call that waits for the chain's answer."""

    connection: ClientConnection
    frame: frames.WriteRequest | frames.ReadRequest | frames.MembershipChangeRequest
    deadline_s: float


class ControlApi:
    """The application behind a control listener. `view` gives the chain's members, head first, as last known."""

    def __init__(
        self,
        ip: str,
        view: Callable[[], tuple[str, ...]],
        send: Callable[[str, frames.Frame], None],
        survey: StateQuery,
        better_reader: Callable[[], Address | None] = lambda: None,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.now_us = Clock()
        self.ip = ip
        self.chain = view
        self.send = send
        self.state_query = survey
        self.better_reader, self.is_isolated = better_reader, is_isolated
        self.rng = random.SystemRandom()
        self.calls: dict[str, PendingCall] = {}

    def can_serve(self) -> bool:
        """Whether the chain is known here."""
        return bool(self.chain())

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Answer a call, or begin to; raises BadRequestError for one that is wrong."""
        path = message.target.partition(b"?")[0]
        if path == REPLACE:
            return self.replace(message, connection)
        if path == READ:
            return self.read(message, connection)
        if path == MEMBERS:
            return self.change_members(message, connection)
        if path == STATE:
            if message.method not in (b"GET", b"HEAD"):
                raise BadRequestError(405, "System.State is a GET", b"GET, HEAD")
            return self.state_query.begin(connection)
        raise BadRequestError(404, "no such call")

    def replace(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Configuration.Replace: a write request to the head."""
        if message.method != b"POST":
            raise BadRequestError(405, "Configuration.Replace is a POST", b"POST")
        given = [value for lower, _, value in message.headers if lower == b"base-revision"]
        if len(given) != 1 or not given[0].isdigit() or len(given[0]) > 19 or int(given[0]) > MAX_REVISION:
            raise BadRequestError(400, "Base-Revision: the number of a version is needed")
        # The head judges whether it is valid, for it knows whether it was applied: this node's program may be another
        # one.
        request_id = self.rng.getrandbits(63)
        return self.submit(frames.WriteRequest(request_id, self.ip, int(given[0]), message.body), connection)

    def read(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Configuration.Read: a read request to the tail, or a redirect to a node that answers sooner."""
        if message.method not in (b"GET", b"HEAD"):
            raise BadRequestError(405, "Configuration.Read is a GET", b"GET, HEAD")
        better = self.better_reader()
        if better is not None:
            where = b"http://%s:%d%s" % (better[0].encode(), better[1], READ)
            return Response(307, [(b"Location", where)])
        return self.submit(frames.ReadRequest(self.rng.getrandbits(63), self.ip), connection)

    def change_members(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """A change of the core's group: sent again and again, as it was, until the answer is no longer 202."""
        if message.method != b"POST":
            raise BadRequestError(405, "System.Members is a POST", b"POST")
        request_id = self.rng.getrandbits(63)
        try:
            request = msgspec.json.decode(message.body, type=MembersCall)
        except (msgspec.DecodeError, msgspec.ValidationError) as err:
            raise BadRequestError(400, f"System.Members: {err}") from None
        frame = frames.MembershipChangeRequest(
            request_id, self.ip, CHANGE_KINDS.get(request.change, 0), request.old, request.new, tuple(request.base)
        )
        try:
            frame.check()
        except frames.FrameError as err:
            raise BadRequestError(400, f"System.Members: {REQUEST_LABEL}: {err.reason}") from None
        return self.submit(frame, connection)

    def submit(
        self,
        frame: frames.WriteRequest | frames.ReadRequest | frames.MembershipChangeRequest,
        connection: ClientConnection,
    ) -> Response | None:
        """Send a request to the chain, and answer the call when its result comes."""
        if not self.chain():
            return unavailable("the chain is not known here yet")
        if self.is_isolated():
            return unavailable("no machine of the core is in reach")
        name = str(frame.request_id)
        connection.request = name
        self.calls[name] = PendingCall(connection, frame, self.loop.time() + CALL_TIMEOUT_S)
        self.send_pending(name)
        return None

    def send_pending(self, name: str) -> None:
        """Send a call that waits, again until it is answered or its caller moves on."""
        call = self.calls.get(name)
        if call is None:
            return
        if self.loop.time() >= call.deadline_s:
            log.warning("operator call timed out: no answer from the chain")
            self.complete(name, unavailable("the chain does not answer"))
            return
        members = self.chain()
        if members:
            self.send(members[-1] if isinstance(call.frame, frames.ReadRequest) else members[0], call.frame)
        self.loop.call_later(
            min(RESEND_INTERVAL_S, max(call.deadline_s - self.loop.time(), 0.001)), self.send_pending, name
        )

    def complete(self, name: str, answer: Response) -> None:
        """Answer a call that waits."""
        call = self.calls.pop(name, None)
        if call is not None:
            call.connection.respond(answer)

    def on_write_result(self, frame: frames.WriteResult) -> None:
        """The result of a write."""
        headers = [(b"Retry-After", b"0.3")] if frame.status == 503 else []
        self.complete(str(frame.request_id), Response(frame.status, headers, f"{frame.text}\n".encode()))

    def on_read_result(self, frame: frames.ReadResult) -> None:
        """The configuration that was read."""
        self.complete(str(frame.request_id), Response(frame.status, [CBOR] if frame.body else [], frame.body))

    def on_change_status(self, frame: frames.MembershipChangeStatus) -> None:
        """How far a change of the members is."""
        body = msgspec.json.encode({"status": frame.status, "text": frame.text, "group": frame.group})
        self.complete(str(frame.request_id), Response(frame.status, [JSON], body))

    def client_disconnected(self, name: str) -> None:
        """A client has left: its call is forgotten."""
        if not self.state_query.client_disconnected(name):
            self.calls.pop(name, None)


def unavailable(why: str) -> Response:
    """503, and when to come back."""
    return Response(503, [(b"Retry-After", b"0.3")], f"{why}\n".encode())
