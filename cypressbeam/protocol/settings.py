"""The settings file of a process: lines of the form a.b=value, named by CYPRESSBEAM_BOOT (source: DEPLOY.md)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from cypressbeam.errors import CypressbeamError
from cypressbeam.protocol.address import Address, read_address

VARIABLE = "CYPRESSBEAM_BOOT"
T = TypeVar("T", int, float)
#: A member is replaced after this share of `syncS`: the rest is for noticing its silence and for two views.
REPLACE_SHARE = 0.25


class SettingsError(CypressbeamError):
    """One plain line on what is wrong with the settings: the file, the key, what was found and what is wanted."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """The figures within which the rules hold. Milliseconds or seconds, as the names say."""

    converge_ms: int = 3000
    drain_deadline_ms: int = 3000
    grace_period_s: float = 6.0
    sync_s: float = 4.0
    """A machine that is back, or new, counts as lost for so long."""
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 60.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one process. Addresses are host and port; sizes are in the units of their names."""

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
    platform_per_s: float
    envelope: Envelope
    share_faults: bool = True
    """Whether nodes tell each other which servers fail (docs/design/verdicts.md)."""
    replace_after_s: float = 1.0
    """A member that was silent for so long is replaced by a machine that stands by; 0: never. As a rule a quarter of
    `syncS`, so that all of a replacement fits into that time (docs/design/members.md)."""

    @property
    def peer_port(self) -> int:
        """The port at which every machine of the system listens for the others."""
        return self.internal_ports[0]


class SettingsReader:
    """Values by key, each read with a check that names file, key, what was found and what is wanted."""

    def __init__(self, path: str, values: Mapping[str, str]) -> None:
        self.path = path
        self.values = values

    def error(self, key: str, wanted: str) -> SettingsError:
        """What is wrong with a key: what was found, and what is wanted."""
        found = self.values.get(key)
        found_text = "is missing" if found is None else f"is {found!r}"
        return SettingsError(f"{self.path}: {key} {found_text}; {wanted} is wanted")

    def text(self, key: str) -> str:
        """A value that must be there. Raises SettingsError, as all of these."""
        value = self.values.get(key, "")
        if not value:
            raise self.error(key, "a value")
        return value

    def address(self, key: str) -> Address | None:
        """One address, or None."""
        found = self.addresses(key)
        if len(found) > 1 or (self.values.get(key) and not found):
            raise self.error(key, "host:port")
        return found[0] if found else None

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Addresses, separated by commas."""
        try:
            return tuple(read_address(part) for part in self.values.get(key, "").split(",") if part)
        except ValueError:
            raise self.error(key, "host:port") from None

    def flag(self, key: str, default: bool = False) -> bool:
        """true or false."""
        value = self.values.get(key, str(default).lower())
        if value not in ("true", "false"):
            raise self.error(key, "true or false")
        return value == "true"

    def number(self, key: str, default: T, least: float = 0) -> T:
        """A number of the default's type, at least `least`."""
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
        """A first and a last port."""
        parts = self.text(key).split(",")
        if len(parts) != 2 or not all(part.isdecimal() and 0 < int(part) < 65536 for part in parts):
            raise self.error(key, "a first and a last port")
        return int(parts[0]), int(parts[1])


def parse(text: str, path: str) -> Settings:
    """Read a settings file's text. Unknown keys are left alone. Raises SettingsError."""
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:
            raise SettingsError(f"{path}: line {number} is {line.strip()!r}; key=value is wanted")
        values[key.strip()] = value.strip()
    lines = SettingsReader(path, values)
    sync_s = lines.number("envelope.syncS", 4.0)
    state_dir = values.get("stateDir")
    return Settings(
        node=lines.text("node"),
        ip=lines.text("ip"),
        zone=values.get("zone", ""),
        seeds=lines.addresses("seedPeers"),
        front_listener=lines.address("listeners.front"),
        readiness_listener=lines.address("listeners.readiness"),
        control_listener=lines.address("listeners.control"),
        internal_ports=lines.ports("internalPorts"),
        bootstrap=lines.flag("bootstrap"),
        quorum_member=lines.flag("quorumMember"),
        state_dir=Path(state_dir) if state_dir else None,
        memory_mb=lines.number("constraints.memoryMb", 300, 1),
        file_handles=lines.number("constraints.fileHandles", 1024, 64),
        link_mbps=lines.number("constraints.linkMbps", 1000.0, 0.01),
        machine_losses=lines.number("tolerance.machineLosses", 0),
        platform=lines.address("platform.address"),
        platform_per_s=lines.number("platform.ratePerS", 10.0),
        share_faults=lines.flag("gateway.shareFaults", True),
        replace_after_s=lines.number("gateway.replaceAfterS", REPLACE_SHARE * sync_s),
        envelope=Envelope(
            converge_ms=lines.number("envelope.convergeMs", 3000),
            drain_deadline_ms=lines.number("envelope.drainDeadlineMs", 3000),
            grace_period_s=lines.number("envelope.gracePeriodS", 6.0),
            sync_s=sync_s,
            retry_ratio=lines.number("envelope.retryRatio", 0.2),
            retry_window_s=lines.number("envelope.retryWindowS", 10.0),
            retry_slack=lines.number("envelope.retrySlack", 60.0),
        ),
    )


def load(environ: Mapping[str, str]) -> Settings:
    """The settings that the environment names. Raises SettingsError."""
    path = environ.get(VARIABLE)
    if not path:
        raise SettingsError(f"{VARIABLE} is not set; the path of a settings file is wanted")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(f"{path}: cannot be read: {err}") from None
    return parse(text, path)
