"""Adapter for the simulator: parses batches of events, passes them to balancers and writes the resulting actions.

All decisions are made in cypressbeam/balancing/balancer.py. The line protocol runs over stdin and stdout.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NoReturn, TextIO, TypeVar

from cypressbeam.balancing import interface as it
from cypressbeam.balancing.balancer import Balancer
from cypressbeam.errors import CypressbeamError
from cypressbeam.standalone.profile import BOOLEANS, Profile, ProfileError, parse_choice, parse_integer, parse_number

T = TypeVar("T")

ATTEMPT_OUTCOMES = {
    "100": it.AttemptOutcome.OK,
    "301": it.AttemptOutcome.ERROR,
    "302": it.AttemptOutcome.FULL,
    "303": it.AttemptOutcome.TIMEOUT,
    "304": it.AttemptOutcome.CONNECT_FAILED,
    "305": it.AttemptOutcome.RESET,
    "306": it.AttemptOutcome.CANCELLED,
    "307": it.AttemptOutcome.DROPPED,
}
SERVER_STATES = {"active": it.ServerState.ACTIVE, "leaving": it.ServerState.DRAINING, "left": it.ServerState.GONE}
LIST_SCOPES = {
    "INCREMENTAL": it.ListScope.CHANGES,
    "FULL": it.ListScope.WHOLE,
    "SAVED": it.ListScope.SAVED,
    "FAILED": it.ListScope.FAILED,
}
FLAG_HINT_VALID = 1
FLAG_CLIENT_RETRY = 2
FLAG_WRITE = 4
MAX_TIMER_US = 71 * 60 * 1_000_000


class ProtocolError(CypressbeamError):
    """An invalid batch. The text names the batch, the message and the field."""


class Message:
    """A message: its name, followed by fields that are read by position. Errors name the field."""

    def __init__(self, text: str, batch: str) -> None:
        self.fields = text.split(" ")
        self.name = self.fields[0]
        self.batch = batch

    def fail(self, field: str, reason: str) -> NoReturn:
        raise ProtocolError(f"batch {self.batch}: {self.name or '(empty line)'}: {field}: {reason}")

    def require_fields(self, expected: int) -> None:
        if len(self.fields) != expected + 1:
            self.fail("number of fields", f"{expected} needed, {len(self.fields) - 1} given")

    def required_text(self, index: int, field: str) -> str:
        value = self.fields[index]
        if value in ("", "-"):
            self.fail(field, "a value is needed")
        return value

    def optional_text(self, index: int) -> str | None:
        value = self.fields[index]
        return None if value in ("", "-") else value

    def integer(self, index: int, field: str, minimum: int | None = None) -> int:
        return self.parse_int(self.fields[index], field, minimum)

    def parse_int(self, text: str, field: str, minimum: int | None = None) -> int:
        try:
            return parse_integer(text, field, minimum)
        except ProfileError as err:
            self.fail(err.path, err.reason)

    def parse_float(self, text: str, field: str) -> float:
        try:
            return parse_number(text, field)
        except ProfileError as err:
            self.fail(err.path, err.reason)

    def choice(self, text: str, field: str, choices: Mapping[str, T]) -> T:
        try:
            return parse_choice(text, field, choices)
        except ProfileError as err:
            self.fail(err.path, err.reason)

    def load_report(self, index: int) -> it.Report | None:
        text = self.optional_text(index)
        if text is None:
            return None
        values: dict[str, float] = {}
        for pair in text.split(","):
            name, colon, value = pair.partition(":")
            if not colon:
                self.fail("telemetry", f"name:value is needed, not {pair!r}")
            if value not in ("", "-"):
                values[name] = self.parse_float(value, f"telemetry.{name}")
        service_ms = values.get("recent_ms")
        return it.Report(
            values.get("backlog"),
            None if service_ms is None else service_ms * 1000.0,
            values.get("outstanding"),
            values.get("utilization"),
        )


def parse_profile(message: Message, start: int) -> Profile:
    """Parse the path=value pairs of PROVISION, from the field at index `start` on."""
    values: dict[str, str] = {}
    for pair in message.fields[start:]:
        path, equals, value = pair.partition("=")
        if not equals:
            message.fail("profileData", f"path=value is needed, not {pair!r}")
        values[path] = value
    return Profile(values)


def parse_server_entry(message: Message) -> it.ServerEntry:
    if message.name != "M":
        message.fail("rowsIn", "an M line is needed here")
    message.require_fields(7)
    return it.ServerEntry(
        server=message.required_text(1, "server"),
        zone=message.optional_text(2) or "",
        cell=0 if message.optional_text(4) is None else message.integer(4, "cell"),
        state=message.choice(message.required_text(5, "status"), "status", SERVER_STATES),
        weight=1.0 if message.optional_text(6) is None else message.parse_float(message.fields[6], "rating"),
        started_us=0 if message.optional_text(7) is None else message.integer(7, "lastStartUs", 0),
    )


def parse_list_change(message: Message, following_lines: Iterator[str]) -> it.ListChanged:
    message.require_fields(4)
    rows = 0 if message.optional_text(4) is None else message.integer(4, "rowsIn", 0)
    entries: list[it.ServerEntry] = []
    for _ in range(rows):
        text = next(following_lines, None)
        if text is None:
            message.fail("rowsIn", f"{rows} entries were announced, but {len(entries)} follow")
        entries.append(parse_server_entry(Message(text, message.batch)))
    version = 0 if message.optional_text(2) is None else message.integer(2, "generation", 0)
    return it.ListChanged(
        version, message.choice(message.required_text(3, "scope"), "scope", LIST_SCOPES), tuple(entries)
    )


def parse_arrival(message: Message, following_lines: Iterator[str]) -> it.RequestArrived:
    message.require_fields(8)
    flags = 0 if message.optional_text(8) is None else message.integer(8, "flags", 0)
    hint = None if message.optional_text(7) is None else message.integer(7, "effortUs", 0)
    return it.RequestArrived(
        request=message.required_text(2, "ref"),
        class_name=message.required_text(3, "lane"),
        give_up_at_us=message.integer(5, "giveUpAtUs", 0),
        tenant=message.optional_text(4),
        key=message.optional_text(6),
        hint_us=hint if flags & FLAG_HINT_VALID else None,
        is_client_retry=bool(flags & FLAG_CLIENT_RETRY),
        is_write=bool(flags & FLAG_WRITE),
    )


def parse_stream_start(message: Message, following_lines: Iterator[str]) -> it.StreamBegan:
    message.require_fields(5)
    return it.StreamBegan(
        message.required_text(2, "ref"),
        message.integer(3, "go", 0),
        message.required_text(4, "server"),
        message.integer(5, "lagUs", 0),
    )


def parse_attempt_end(message: Message, following_lines: Iterator[str]) -> it.AttemptEnded:
    message.require_fields(8)
    return it.AttemptEnded(
        message.required_text(2, "ref"),
        message.integer(3, "go", 0),
        message.required_text(4, "server"),
        message.choice(message.required_text(5, "ending"), "ending", ATTEMPT_OUTCOMES),
        message.integer(6, "lagUs", 0),
        message.choice(message.required_text(7, "terminal"), "terminal", BOOLEANS),
        message.load_report(8),
    )


def parse_client_gone(message: Message, following_lines: Iterator[str]) -> it.ClientGone:
    message.require_fields(2)
    return it.ClientGone(message.required_text(2, "ref"))


def parse_probe_end(message: Message, following_lines: Iterator[str]) -> it.ProbeEnded:
    message.require_fields(5)
    return it.ProbeEnded(
        message.required_text(2, "server"),
        message.choice(message.required_text(3, "ending"), "ending", ATTEMPT_OUTCOMES),
        message.integer(4, "lagUs", 0),
        message.load_report(5),
    )


def parse_timer(message: Message, following_lines: Iterator[str]) -> it.TimerFired:
    message.require_fields(2)
    return it.TimerFired(message.integer(2, "label", 0))


def parse_peer_message(message: Message, following_lines: Iterator[str]) -> it.MessageCame:
    message.require_fields(3)
    try:
        data = bytes.fromhex(message.optional_text(3) or "")
    except ValueError:
        message.fail("bytes", f"hex digits are needed, not {message.fields[3]!r}")
    return it.MessageCame(message.integer(2, "neighbour", 0), data)


EVENT_PARSERS: dict[str, Callable[[Message, Iterator[str]], it.Event]] = {
    "SYNC": parse_list_change,
    "ACCEPT": parse_arrival,
    "STREAMING": parse_stream_start,
    "ATTEMPT_END": parse_attempt_end,
    "TIMED_OUT_CLIENT": parse_client_gone,
    "SAMPLED": parse_probe_end,
    "WAKEUP": parse_timer,
    "PEER_DATA": parse_peer_message,
}


#: Formats an action of a balancer instance as a message, by the type of the action.
ACTION_FORMATTERS: dict[type[it.Action], Callable[[int, Any], str]] = {
    it.Send: lambda instance, action: f"PASS_ON {instance} {action.request} {action.server} {action.timeout_us}",
    it.SetTimer: lambda instance, action: f"SLEEP {instance} {min(action.delay_us, MAX_TIMER_US)} {action.token}",
    it.Fail: lambda instance, action: f"REPORT_FAILURE {instance} {action.request}",
    it.Refuse: lambda instance, action: f"TURN_AWAY {instance} {action.request} {action.retry_after_us}",
    it.Cancel: lambda instance, action: f"WITHDRAW {instance} {action.request} {action.attempt}",
    it.Subscribe: lambda instance, action: f"TAIL {instance} 1",
    it.FetchList: lambda instance, action: f"READ_LIST {instance}",
    it.Probe: lambda instance, action: f"TOUCH {instance} {action.server}",
    it.SendMessage: lambda instance, action: f"SAY {instance} {action.receiver} {action.data.hex() or '-'}",
    it.Log: lambda instance, action: f"RECORD {instance} {' '.join(action.text.split())}",
}


def format_action(instance: int, action: it.Action) -> str:
    """Format an action of a balancer instance as a message."""
    return ACTION_FORMATTERS[type(action)](instance, action)


class SimulatedProxies:
    """The balancers of all simulated proxies, by instance number. Processes one batch at a time."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}

    def handle_batch(self, header: str, lines: list[str]) -> list[str]:
        tick = Message(header, "?")
        if tick.name != "TICK":
            tick.fail("message", "a batch must start with TICK")
        tick.require_fields(2)
        tick.batch = tick.fields[2]
        now_us, number = tick.integer(1, "clock", 0), tick.integer(2, "batch", 0)
        reply: list[str] = []
        following_lines = iter(lines)
        for text in following_lines:
            message = Message(text, str(number))
            if message.name not in EVENT_PARSERS and message.name not in ("PROVISION", "POWER_OFF"):
                message.fail("message", "unknown message")
            if len(message.fields) < 2:
                message.fail("number of fields", "the field who is needed")
            instance = message.integer(1, "who", 0)
            if message.name == "PROVISION":
                if len(message.fields) < 3:
                    message.fail("number of fields", "the field nonce64 is needed")
                seed = message.integer(2, "nonce64")
                try:
                    self.instances[instance] = Balancer(parse_profile(message, 3).settings(), seed)
                except ProfileError as err:
                    message.fail(err.path, err.reason)
                except ValueError as err:
                    message.fail("profileData", str(err))
                continue
            if instance not in self.instances:
                message.fail("who", f"instance {instance} is not running")
            if message.name == "POWER_OFF":
                message.require_fields(1)
                del self.instances[instance]
                continue
            event = EVENT_PARSERS[message.name](message, following_lines)
            try:
                actions = self.instances[instance].handle(now_us, event)
            except Exception as err:  # noqa: BLE001 (reported as BUG, which ends the simulation)
                reply.append(f"BUG {instance} {type(err).__name__}: {' '.join(str(err).split())}")
                continue
            reply.extend(format_action(instance, action) for action in actions)
        reply.append(f"ACK {number}")
        return reply


def serve(source: TextIO, sink: TextIO) -> None:
    """Process batches until the end of the input.

    Raises ProtocolError for an invalid batch, before any part of its reply is written.
    """
    proxies = SimulatedProxies()
    while True:
        header = source.readline()
        if not header:
            return
        lines: list[str] = []
        while True:
            text = source.readline()
            if not text.endswith("\n"):
                raise ProtocolError(f"batch {header.strip()!r}: OVER_TO_YOU: the input ended inside the batch")
            if text == "OVER_TO_YOU\n":
                break
            lines.append(text[:-1])
        sink.write("\n".join(proxies.handle_batch(header.rstrip("\n"), lines)) + "\n")
        sink.flush()


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except (ProtocolError, UnicodeDecodeError) as err:
        print(f"cypressbeam: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
