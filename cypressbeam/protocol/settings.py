"""The settings file of a process, whose path is in CYPRESSBEAM_BOOT: lines of the form a.b=value (see DEPLOY.md)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from cypressbeam.errors import CypressbeamError
from cypressbeam.protocol.address import Address, read_address

SETTINGS_VARIABLE = "CYPRESSBEAM_BOOT"
T = TypeVar("T", int, float)
#: The default delay of a replacement as a fraction of `syncS`. The rest is for failure detection and two view changes.
REPLACE_AFTER_FRACTION = 0.25


class SettingsError(CypressbeamError):
    """Invalid settings. The message is one line with the file, the key, the value and the expected form."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """Time limits and retry limits of the system, in the units that the names give."""

    contact_ms: int = 4000
    """After this long without trouble, the system counts as undisturbed again."""
    converge_ms: int = 3000
    drain_deadline_ms: int = 3000
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
    memory_mb: int
    file_handles: int
    link_mbps: float
    machine_losses: int
    platform: Address | None
    platform_rate_per_s: float
    envelope: Envelope
    share_faults: bool = True
    """Whether nodes report failing servers to each other (docs/design/verdicts.md)."""
    replace_after_s: float = 1.0
    """A member that has been silent for this long is replaced by a spare machine; 0 disables replacement. The default
    is a quarter of `syncS`, so that the whole replacement fits into that time (docs/design/members.md)."""

    @property
    def peer_port(self) -> int:
        """The port on which each machine of the system listens for the other machines."""
        return self.internal_ports[0]


class SettingsReader:
    """Reads and validates values by key. Each method raises SettingsError for an invalid value."""

    def __init__(self, path: str, values: Mapping[str, str]) -> None:
        self.path = path
        self.values = values

    def error(self, key: str, expected: str) -> SettingsError:
        """The error for a key: its value and the expected form."""
        value = self.values.get(key)
        state = "is missing" if value is None else f"is {value!r}"
        return SettingsError(f"{self.path}: {key} {state}; {expected} is wanted")

    def text(self, key: str) -> str:
        """A required value."""
        value = self.values.get(key, "")
        if not value:
            raise self.error(key, "a value")
        return value

    def address(self, key: str) -> Address | None:
        """A single address, or None."""
        addresses = self.addresses(key)
        if len(addresses) > 1 or (self.values.get(key) and not addresses):
            raise self.error(key, "host:port")
        return addresses[0] if addresses else None

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Comma-separated addresses."""
        try:
            return tuple(read_address(part) for part in self.values.get(key, "").split(",") if part)
        except ValueError:
            raise self.error(key, "host:port") from None

    def flag(self, key: str, default: bool = False) -> bool:
        """A boolean, true or false."""
        value = self.values.get(key, str(default).lower())
        if value not in ("true", "false"):
            raise self.error(key, "true or false")
        return value == "true"

    def number(self, key: str, default: T, least: float = 0) -> T:
        """A finite number of the type of `default`, not below `least`."""
        text = self.values.get(key)
        if text is None or text == "":
            return default
        try:
            value = type(default)(text)
        except ValueError:
            raise self.error(key, "a number") from None
        if not least <= value < float("inf"):
            raise self.error(key, f"at least {least:g}")
        return value

    def ports(self, key: str) -> tuple[int, int]:
        """The first and the last port of a range."""
        parts = self.text(key).split(",")
        if len(parts) != 2 or not all(part.isdecimal() and 0 < int(part) < 65536 for part in parts):
            raise self.error(key, "a first and a last port")
        return int(parts[0]), int(parts[1])


def parse(text: str, path: str) -> Settings:
    """Parses the text of a settings file. Unknown keys are ignored. Raises SettingsError."""
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:
            raise SettingsError(f"{path}: line {number} is {line.strip()!r}; key=value is wanted")
        values[key.strip()] = value.strip()
    reader = SettingsReader(path, values)
    sync_s = reader.number("envelope.syncS", 4.0)
    state_dir = values.get("stateDir")
    return Settings(
        node=reader.text("node"),
        ip=reader.text("ip"),
        zone=values.get("zone", ""),
        seeds=reader.addresses("seedPeers"),
        front_listener=reader.address("listeners.front"),
        readiness_listener=reader.address("listeners.readiness"),
        control_listener=reader.address("listeners.control"),
        internal_ports=reader.ports("internalPorts"),
        bootstrap=reader.flag("bootstrap"),
        quorum_member=reader.flag("quorumMember"),
        state_dir=Path(state_dir) if state_dir else None,
        memory_mb=reader.number("constraints.memoryMb", 300, 1),
        file_handles=reader.number("constraints.fileHandles", 1024, 64),
        link_mbps=reader.number("constraints.linkMbps", 1000.0, 0.01),
        machine_losses=reader.number("tolerance.machineLosses", 0),
        platform=reader.address("platform.address"),
        platform_rate_per_s=reader.number("platform.ratePerS", 10.0),
        share_faults=reader.flag("gateway.shareFaults", True),
        replace_after_s=reader.number("gateway.replaceAfterS", REPLACE_AFTER_FRACTION * sync_s),
        envelope=Envelope(
            contact_ms=reader.number("envelope.contactMs", 4000),
            converge_ms=reader.number("envelope.convergeMs", 3000),
            drain_deadline_ms=reader.number("envelope.drainDeadlineMs", 3000),
            grace_period_s=reader.number("envelope.gracePeriodS", 6.0),
            sync_s=sync_s,
            retry_ratio=reader.number("envelope.retryRatio", 0.2),
            retry_window_s=reader.number("envelope.retryWindowS", 10.0),
            retry_slack=reader.number("envelope.retrySlack", 60.0),
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
