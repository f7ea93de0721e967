"""The control API. Any node accepts calls and forwards them: writes to the head of the chain, reads to the tail.

`faster_reader` returns the address of a core machine for reads if the link of this node is too slow for them.
`is_isolated` returns whether no core machine is reachable. Calls are then rejected immediately, so that callers try
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
from cypressbeam.node.state_query import JSON_CONTENT_TYPE, STATE_PATH, StateQuery
from cypressbeam.protocol import frames
from cypressbeam.protocol.address import Address
from cypressbeam.protocol.configuration import MAX_REVISION
from cypressbeam.proxy.frontend import ClientConnection
from cypressbeam.proxy.http_requests import BadRequestError, RequestMessage
from cypressbeam.proxy.http_responses import Limits, Response
from cypressbeam.proxy.proxy_core import Clock

log = logging.getLogger(__name__)

REPLACE_PATH, READ_PATH = b"/-/Configuration.Replace", b"/-/Configuration.Read"
MEMBERS_PATH = b"/-/System.Members"
#: Enough for a configuration with many thousand routes. Larger bodies are rejected with 413.
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
#: Callers try another node after one second without a response, so the call fails before that.
CALL_TIMEOUT_S = 0.9
#: Requests without an answer are resent, because the link may have broken. The head recognizes duplicates.
RESEND_INTERVAL_S = 0.3
CBOR_CONTENT_TYPE = (b"Content-Type", b"application/cbor")
#: Name of the body of System.Members in error messages. Callers may match these messages.
REQUEST_LABEL = "Change"


class MembersCall(msgspec.Struct):
    """The body of System.Members. All values are addresses, except `change`; `base` is the group that it applies to."""

    change: str
    base: list[str]
    old: str = ""
    new: str = ""


@dataclass(slots=True)
class PendingCall:
    """A call that waits for an answer from the chain."""

    connection: ClientConnection
    frame: frames.WriteRequest | frames.ReadRequest | frames.MembershipChangeRequest
    deadline_s: float


class ControlApi:
    """The application of the control listener. `view` returns the last known chain, head first."""

    def __init__(
        self,
        ip: str,
        view: Callable[[], tuple[str, ...]],
        send: Callable[[str, frames.Frame], None],
        state_query: StateQuery,
        faster_reader: Callable[[], Address | None] = lambda: None,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.now_us = Clock()
        self.ip = ip
        self.chain = view
        self.send = send
        self.state_query = state_query
        self.faster_reader, self.is_isolated = faster_reader, is_isolated
        self.rng = random.SystemRandom()
        self.pending_calls: dict[str, PendingCall] = {}

    def can_serve(self) -> bool:
        """Whether this node knows the chain."""
        return bool(self.chain())

    def serve(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Handle a call. Returns None if the response follows later. Raises BadRequestError for an invalid call."""
        path = message.target.partition(b"?")[0]
        if path == REPLACE_PATH:
            return self.replace(message, connection)
        if path == READ_PATH:
            return self.read(message, connection)
        if path == MEMBERS_PATH:
            return self.change_members(message, connection)
        if path == STATE_PATH:
            if message.method not in (b"GET", b"HEAD"):
                raise BadRequestError(405, "System.State is a GET", b"GET, HEAD")
            return self.state_query.begin(connection)
        raise BadRequestError(404, "no such call")

    def replace(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Handle Configuration.Replace: send a write request to the head."""
        if message.method != b"POST":
            raise BadRequestError(405, "Configuration.Replace is a POST", b"POST")
        values = [value for lower, _, value in message.headers if lower == b"base-revision"]
        if len(values) != 1 or not values[0].isdigit() or len(values[0]) > 19 or int(values[0]) > MAX_REVISION:
            raise BadRequestError(400, "Base-Revision: the number of a version is needed")
        # The head validates the body: it knows whether it was applied before, and this node may run another version.
        request_id = self.rng.getrandbits(63)
        return self.submit(frames.WriteRequest(request_id, self.ip, int(values[0]), message.body), connection)

    def read(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Handle Configuration.Read: send a read request to the tail, or redirect to a machine with a faster link."""
        if message.method not in (b"GET", b"HEAD"):
            raise BadRequestError(405, "Configuration.Read is a GET", b"GET, HEAD")
        target = self.faster_reader()
        if target is not None:
            location = b"http://%s:%d%s" % (target[0].encode(), target[1], READ_PATH)
            return Response(307, [(b"Location", location)])
        return self.submit(frames.ReadRequest(self.rng.getrandbits(63), self.ip), connection)

    def change_members(self, message: RequestMessage, connection: ClientConnection) -> Response | None:
        """Handle System.Members: change the core group. Callers repeat the call unchanged while the status is 202."""
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
        """Send a request to the chain. The call is answered when the result arrives."""
        if not self.chain():
            return unavailable("the chain is not known here yet")
        if self.is_isolated():
            return unavailable("no machine of the core is in reach")
        name = str(frame.request_id)
        connection.request = name
        self.pending_calls[name] = PendingCall(connection, frame, self.loop.time() + CALL_TIMEOUT_S)
        self.send_pending(name)
        return None

    def send_pending(self, name: str) -> None:
        """Send a pending call, and resend it until it is answered or times out."""
        call = self.pending_calls.get(name)
        if call is None:
            return
        if self.loop.time() >= call.deadline_s:
            log.warning("control call timed out: no answer from the chain")
            self.complete(name, unavailable("the chain does not answer"))
            return
        members = self.chain()
        if members:
            self.send(members[-1] if isinstance(call.frame, frames.ReadRequest) else members[0], call.frame)
        self.loop.call_later(
            min(RESEND_INTERVAL_S, max(call.deadline_s - self.loop.time(), 0.001)), self.send_pending, name
        )

    def complete(self, name: str, answer: Response) -> None:
        """Answer a pending call."""
        call = self.pending_calls.pop(name, None)
        if call is not None:
            call.connection.respond(answer)

    def on_write_result(self, frame: frames.WriteResult) -> None:
        """Answer a Configuration.Replace call."""
        headers = [(b"Retry-After", b"0.3")] if frame.status == 503 else []
        self.complete(str(frame.request_id), Response(frame.status, headers, f"{frame.text}\n".encode()))

    def on_read_result(self, frame: frames.ReadResult) -> None:
        """Answer a Configuration.Read call."""
        self.complete(
            str(frame.request_id), Response(frame.status, [CBOR_CONTENT_TYPE] if frame.body else [], frame.body)
        )

    def on_change_status(self, frame: frames.MembershipChangeStatus) -> None:
        """Answer a System.Members call with the progress of the change."""
        body = msgspec.json.encode({"status": frame.status, "text": frame.text, "group": frame.group})
        self.complete(str(frame.request_id), Response(frame.status, [JSON_CONTENT_TYPE], body))

    def client_disconnected(self, name: str) -> None:
        """Drop the call of a client that disconnected."""
        if not self.state_query.client_disconnected(name):
            self.pending_calls.pop(name, None)


def unavailable(why: str) -> Response:
    """Return a 503 response with Retry-After."""
    return Response(503, [(b"Retry-After", b"0.3")], f"{why}\n".encode())
