"""Rules and checks of attempts that are left out on purpose: the states or the storms must find each."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from cypressbeam.proxy import (
    attempts,
    gateway,
    http_responses,
    protocol_profile,
    proxy_core,
    response_validation,
    upstream,
)
from cypressbeam.proxy.attempts import AttemptResult, EndCause, ReplyKind, SendProgress
from cypressbeam.proxy.http_responses import Response, ResponseReader
from cypressbeam.proxy.proxy_core import ProxiedRequest, ProxyCore
from lab.adversarial_servers import SOON_S

Patch = Callable[[Any, str, Any], None]


def compare_no_names(patch: Patch) -> None:
    """The next whole answer is taken for the one that is waited for."""
    patch(ResponseReader, "check_name", lambda self, names: None)


def let_heads_grow_together(patch: Patch) -> None:
    """The beginning of one answer's head goes on with the next one's."""
    patch(http_responses, "STATUS_LINE", re.compile(b"(?!)"))


def leave_bytes_behind(patch: Patch) -> None:
    """A connection with bytes behind its last answer goes back to the pool, and they are read with the next answer."""
    end, send = upstream.ServerConnection.end, upstream.ServerConnection.send

    def keep(self: upstream.ServerConnection, cause: EndCause, answer: Response | None = None) -> None:
        self.reader.keep_alive = True
        end(self, cause, answer)

    def read_on(self: upstream.ServerConnection, attempt: upstream.Attempt) -> None:
        trailing_bytes = self.reader.trailing_bytes
        send(self, attempt)
        if trailing_bytes:
            self.data_received(trailing_bytes)

    patch(upstream.ServerConnection, "end", keep)
    patch(upstream.ServerConnection, "send", read_on)


def look_at_no_idle_connection(patch: Patch) -> None:
    """A connection is written to whatever has come on it while it rested."""
    patch(upstream.ServerConnection, "quiet", lambda self: True)


def take_the_same_connection(patch: Patch) -> None:
    """A server that is tried again has the request on the connection on which it has refused it."""
    patch(upstream.Attempt, "again", property(lambda self: False, lambda self, again: None))
    patch(upstream, "REMEMBERED", 0)


def take_part_for_nothing(patch: Patch) -> None:
    """A request of which a part was written counts as one that never left."""
    known = attempts.result_of

    def told(sent: SendProgress, cause: EndCause, reply: ReplyKind | None = None) -> AttemptResult:
        return known(SendProgress.NOTHING if sent is SendProgress.PART and reply is None else sent, cause, reply)

    patch(upstream, "result_of", told)


def take_a_close_for_a_refusal(patch: Patch) -> None:
    known = attempts.result_of

    def told(sent: SendProgress, cause: EndCause, reply: ReplyKind | None = None) -> AttemptResult:
        return attempts.UNSENT if cause is EndCause.CLOSED else known(sent, cause, reply)

    patch(upstream, "result_of", told)


def believe_any_503(patch: Patch) -> None:
    def classify(answer: Response) -> ReplyKind:
        return ReplyKind.NOT_EXECUTED if answer.status == 503 else protocol_profile.classify_gateway(answer)

    patch(gateway, "GATEWAY_PROFILE", replace(protocol_profile.GATEWAY_PROFILE, classify=classify))


def take_what_has_come(patch: Patch) -> None:
    """An answer that a close cuts short goes to the client as if it were whole."""

    def connection_lost(self: upstream.ServerConnection, exc: Exception | None) -> None:
        self.closed = True
        self.upstream.drop(self)
        if self.attempt is not None:
            parser, found = self.reader.parser, self.reader
            if found.headers_done and parser is not None:
                self.end(EndCause.ANSWERED, Response(parser.get_status_code(), found.headers, bytes(found.body)))
            else:
                self.end(EndCause.CLOSED)

    patch(upstream.ServerConnection, "connection_lost", connection_lost)


def answer_twice(patch: Patch) -> None:
    """A time-out leaves the attempt, and what comes then is written to whoever waits on that connection."""
    time_is_up = ProxyCore.time_is_up

    def told(self: ProxyCore, request: ProxiedRequest) -> None:
        if request.timer is not None and not request.finished:
            request.respond(Response(504))
            request.timer = self.loop.call_later(SOON_S * 4, time_is_up, self, request)

    patch(ProxyCore, "time_is_up", told)


def promise_at_the_end(patch: Patch) -> None:
    """Whoever fails is told to come again."""
    patch(ProxyCore, "failure", lambda self, request: Response(503))
    patch(gateway.Gateway, "failure", lambda self, request: Response(503))
    patch(proxy_core, "may_answer_status", lambda *_: True)


def leave_out(check: str) -> Callable[[Patch], None]:
    """One check of a success is not made."""

    def without(patch: Patch) -> None:
        others = {name: fails for name, fails in response_validation.CHECKS.items() if name != check}
        patch(response_validation, "CHECKS", others)

    return without


def hand_on_at_once(patch: Patch) -> None:
    """No answer waits for what comes behind it."""
    patch(upstream, "begun_at_the_end", lambda body: False)


def take_a_reset_for_the_end(patch: Patch) -> None:
    """An answer without a length is whole however its connection ends."""
    lost = upstream.ServerConnection.connection_lost
    patch(upstream.ServerConnection, "connection_lost", lambda self, exc: lost(self, None))


def take_any_close_for_the_end(patch: Patch) -> None:
    """An answer without a length is whole though nothing told that its connection would end."""
    patch(ResponseReader, "announced", lambda self: True)


def read_any_status(patch: Patch) -> None:
    patch(ResponseReader, "check_status", lambda self, status, version: None)


def read_two_codings(patch: Patch) -> None:
    patch(ResponseReader, "check_codings", lambda self, version: None)


RULES_LEFT_OUT: dict[str, Callable[[Patch], None]] = {
    "compare-no-names": compare_no_names,
    "let-heads-grow-together": let_heads_grow_together,
    "leave-bytes-behind": leave_bytes_behind,
    "take-the-same-connection": take_the_same_connection,
    "look-at-no-idle-connection": look_at_no_idle_connection,
    "take-a-part-for-nothing": take_part_for_nothing,
    "take-a-close-for-a-refusal": take_a_close_for_a_refusal,
    "believe-any-503": believe_any_503,
    "take-what-has-come": take_what_has_come,
    "answer-twice": answer_twice,
    "promise-at-the-end": promise_at_the_end,
}
#: Each leaves out one check of an answer, which few states and few storms need.
CHECKS_LEFT_OUT: dict[str, Callable[[Patch], None]] = {
    "hand-on-at-once": hand_on_at_once,
    "take-a-reset-for-the-end": take_a_reset_for_the_end,
    "take-any-close-for-the-end": take_any_close_for_the_end,
    "read-any-status": read_any_status,
    "read-two-codings": read_two_codings,
    **{
        f"take-{name.lower().replace(',', '').replace(' ', '-')}": leave_out(name)
        for name in response_validation.CHECKS
    },
}
FAULTS = RULES_LEFT_OUT | CHECKS_LEFT_OUT


@contextmanager
def fault(name: str) -> Iterator[None]:
    """While a rule is left out."""
    patched: list[tuple[Any, str, Any]] = []

    def patch(where: Any, what: str, new: Any) -> None:
        patched.append((where, what, getattr(where, what)))
        setattr(where, what, new)

    if name:
        FAULTS[name](patch)
    try:
        yield
    finally:
        for where, what, old in reversed(patched):
            setattr(where, what, old)
