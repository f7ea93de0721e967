"""The settings file of a process, whose path is in CYPRESSBEAM_BOOT: lines of the form a.b=value (see DEPLOY.md)."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TypeVar

from cypressbeam.errors import CypressbeamError
from cypressbeam.protocol.address import Address, read_address
from cypressbeam.protocol.settings_keys import KEYS_BY_NAME, SETTINGS_KEYS, Effect, SettingsKey, Users, ValueKind

log = logging.getLogger(__name__)

SETTINGS_VARIABLE = "CYPRESSBEAM_BOOT"
T = TypeVar("T")
#: Decimal numbers, as programs in any language write them.
NUMBER_PATTERN = re.compile(r"[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?", re.ASCII)
PORT_PATTERN = re.compile(r"\d{1,5}", re.ASCII)
MAX_PORT = 65535
MAX_LINK_KBPS = 2**32 - 1
#: The default delay of a replacement as a fraction of `syncS`. The rest is for failure detection and two view changes.
REPLACE_AFTER_FRACTION = 0.25


class SettingsError(CypressbeamError):
    """Invalid settings. The message is one line with the file, the line, the key, the value and the expected form."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """Time limits and retry limits of the system, in the units that the names give."""

    contact_ms: float = 4000.0
    """After this long without trouble, the system counts as undisturbed again."""
    grace_period_s: float = 6.0
    sync_s: float = 4.0
    """How long a new or restarted machine still counts as lost."""
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 60.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one process. Addresses are host and port; sizes are in the units that the names give."""

    node: str
    ip: str
    zone: str
    seeds: tuple[Address, ...]
    front_listener: Address | None
    readiness_listener: Address | None
    control_listener: Address | None
    internal_ports: tuple[int, int]
    bootstrap: bool
    quorum_member: bool
    state_dir: Path | None
    memory_mb: float
    file_handles: int
    link_mbps: float
    machine_losses: int
    platform: Address | None
    envelope: Envelope
    share_faults: bool = True
    """Whether nodes report failing servers to each other (docs/design/verdicts.md)."""
    replace_after_s: float = 1.0
    """A member that has been silent for this long is replaced by a spare machine; 0 disables replacement. The default
    is a quarter of `syncS`, so that the whole replacement fits into that time (docs/design/members.md)."""

    def value_of(self, key: SettingsKey) -> object:
        """The value of a key; None if no process uses it."""
        owner = self.envelope if key.field.startswith("envelope.") else self
        return getattr(owner, key.field.rpartition(".")[2]) if key.field else None

    def changed_keys(self, new: Settings) -> list[SettingsKey]:
        """The keys with another value in the new settings."""
        return [key for key in SETTINGS_KEYS if self.value_of(key) != new.value_of(key)]

    def reloaded(self, new: Settings) -> Settings:
        """The new settings with this process's values of all keys that take effect at the next start."""
        kept = {key.field: self.value_of(key) for key in SETTINGS_KEYS if key.effect is Effect.AT_RESTART}
        return replace(new, **kept)  # type: ignore[arg-type]

    @property
    def peer_port(self) -> int:
        """The port on which each machine of the system listens for the other machines."""
        return self.internal_ports[0]

    @property
    def link_kbps(self) -> int:
        """The rate of the machine's link in kbit/s, within the range of the messages."""
        return min(max(int(self.link_mbps * 1000), 1), MAX_LINK_KBPS)


class SettingsReader:
    """Reads and validates values by key. Each method raises SettingsError for an invalid value of a key that this
    process uses; for any other key it logs a warning and returns the default."""

    def __init__(self, path: str, values: Mapping[str, str], lines: Mapping[str, int]) -> None:
        """`lines` has the line number of each key."""
        self.path = path
        self.values = values
        self.lines = lines
        self.roles = {Users.ALL}

    def error(self, name: str) -> SettingsError:
        """The error for a key: its line, its value and the expected form."""
        value = self.values.get(name)
        state = "is missing" if value is None else f"is {value!r}"
        line = f"line {self.lines[name]}: " if name in self.lines else ""
        return SettingsError(f"{self.path}: {line}{name} {state}; {KEYS_BY_NAME[name].expected()} is wanted")

    def read(self, name: str, kind: ValueKind, convert: Callable[[str], T], default: T) -> T:
        """The value of a key, converted; the default if there is none. `convert` raises ValueError."""
        key = KEYS_BY_NAME[name]
        assert key.kind is kind, name
        text = self.values.get(name, "")
        try:
            return convert(text) if text else default
        except ValueError:
            error = self.error(name)
        if key.users in self.roles:
            raise error
        log.warning("%s; this node does not use it", error)
        return default

    def text(self, name: str) -> str:
        """A required value."""
        value = self.read(name, ValueKind.TEXT, str, "")
        if not value:
            raise self.error(name)
        return value

    def address(self, name: str) -> Address | None:
        """A single address, or None."""
        return self.read(name, ValueKind.ADDRESS, read_address, None)

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Comma-separated addresses."""
        return self.read(name, ValueKind.ADDRESSES, read_addresses, ())

    def flag(self, name: str) -> bool:
        """A boolean, true or false."""
        return self.read(name, ValueKind.FLAG, read_flag, bool(KEYS_BY_NAME[name].default))

    def count(self, name: str) -> int:
        """A whole number."""
        key = KEYS_BY_NAME[name]
        return self.read(name, ValueKind.COUNT, lambda text: read_count(text, key.least), int(key.default))

    def number(self, name: str, default: float | None = None) -> float:
        """A number. `default` replaces the one of the key."""
        key = KEYS_BY_NAME[name]
        return self.read(
            name,
            ValueKind.NUMBER,
            lambda text: read_number(text, key.least),
            key.default if default is None else default,
        )

    def figure(self, name: str) -> float:
        """A number, or a boolean that stands for the default or for 0."""
        key = KEYS_BY_NAME[name]
        booleans = {"true": key.default, "false": 0.0}
        return self.read(
            name,
            ValueKind.FIGURE,
            lambda text: booleans[text] if text in booleans else read_number(text, key.least),
            key.default,
        )

    def check_unused(self) -> None:
        """Log a warning for each invalid value of the keys that no process uses."""
        for key in KEYS_BY_NAME.values():
            if key.users is Users.NONE and key.kind is ValueKind.FIGURE:
                self.figure(key.name)
            elif key.users is Users.NONE:
                self.number(key.name)

    def ports(self, name: str) -> tuple[int, int]:
        """The first and the last port of a range; required."""
        if not self.values.get(name):
            raise self.error(name)
        return self.read(name, ValueKind.PORTS, read_ports, (0, 0))


def read_addresses(text: str) -> tuple[Address, ...]:
    """Addresses that are separated by commas. Raises ValueError."""
    return tuple(read_address(part) for part in text.split(",") if part)


def read_flag(text: str) -> bool:
    """A boolean. Raises ValueError."""
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"


def read_number(text: str, least: float) -> float:
    """A finite number that is not below `least`. Raises ValueError."""
    if not NUMBER_PATTERN.fullmatch(text):
        raise ValueError(text)
    value = float(text)
    if not least <= value < math.inf:
        raise ValueError(text)
    return value


def read_count(text: str, least: float) -> int:
    """A whole number that is not below `least`. Raises ValueError."""
    value = read_number(text, least)
    if not value.is_integer():
        raise ValueError(text)
    return int(value)


def read_ports(text: str) -> tuple[int, int]:
    """The first and the last port of a range. Raises ValueError."""
    parts = text.split(",")
    if len(parts) != 2 or not all(PORT_PATTERN.fullmatch(part) and 0 < int(part) <= MAX_PORT for part in parts):
        raise ValueError(text)
    return int(parts[0]), int(parts[1])


def split_lines(text: str, path: str) -> tuple[dict[str, str], dict[str, int]]:
    """The value and the line number of each key. Raises SettingsError."""
    values: dict[str, str] = {}
    lines: dict[str, int] = {}
    for number, line in enumerate(text.split("\n"), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:
            raise SettingsError(f"{path}: line {number} is {line.strip()!r}; key=value is wanted")
        values[key.strip()] = value.strip()
        lines[key.strip()] = number
    return values, lines


def parse(text: str, path: str) -> Settings:
    """Parses the text of a settings file. Unknown keys are ignored. Raises SettingsError."""
    reader = SettingsReader(path, *split_lines(text, path))
    front_listener = reader.address("listeners.front")
    state_dir = reader.read("stateDir", ValueKind.FOLDER, Path, None)
    reader.roles |= ({Users.EDGE} if front_listener else set()) | ({Users.CORE} if state_dir else set())
    reader.check_unused()
    sync_s = reader.figure("envelope.syncS")
    return Settings(
        node=reader.text("node"),
        ip=reader.text("ip"),
        zone=reader.read("zone", ValueKind.TEXT, str, ""),
        seeds=reader.addresses("seedPeers"),
        front_listener=front_listener,
        readiness_listener=reader.address("listeners.readiness"),
        control_listener=reader.address("listeners.control"),
        internal_ports=reader.ports("internalPorts"),
        bootstrap=reader.flag("bootstrap"),
        quorum_member=reader.flag("quorumMember"),
        state_dir=state_dir,
        memory_mb=reader.number("constraints.memoryMb"),
        file_handles=reader.count("constraints.fileHandles"),
        link_mbps=reader.number("constraints.linkMbps"),
        machine_losses=reader.count("tolerance.machineLosses"),
        platform=reader.address("platform.address"),
        share_faults=reader.flag("gateway.shareFaults"),
        replace_after_s=reader.number("gateway.replaceAfterS", REPLACE_AFTER_FRACTION * sync_s),
        envelope=Envelope(
            contact_ms=reader.figure("envelope.contactMs"),
            grace_period_s=reader.figure("envelope.gracePeriodS"),
            sync_s=sync_s,
            retry_ratio=reader.figure("envelope.retryRatio"),
            retry_window_s=reader.figure("envelope.retryWindowS"),
            retry_slack=reader.figure("envelope.retrySlack"),
        ),
    )


def load(environ: Mapping[str, str]) -> Settings:
    """Reads the settings file whose path the environment gives. Raises SettingsError."""
    path = environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set; the path of a settings file is wanted")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(f"{path}: cannot be read: {err}") from None
    return parse(text, path)
