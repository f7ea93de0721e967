"""The keys of the settings file (see DEPLOY.md): what each may hold, its default, and which roles use it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ValueKind(Enum):
    """The form of a value, in the words of error messages."""

    TEXT = "a value"
    FOLDER = "a folder"
    ADDRESS = "host:port"
    ADDRESSES = "host:port, joined by commas,"
    PORTS = "a first and a last port"
    FLAG = "true or false"
    COUNT = "a whole number"
    NUMBER = "a number"
    FIGURE = "a number, true or false"
    """A figure of the envelope: true stands for its default, false for 0."""


class Users(Enum):
    """The processes that use a value. An invalid value does not keep any other process from starting."""

    ALL = "all"
    EDGE = "edge nodes"
    CORE = "core machines"
    NONE = "none"


class Effect(Enum):
    """When a changed value takes effect in a running process."""

    AT_ONCE = "at once"
    AT_RESTART = "at the next start"


@dataclass(frozen=True, slots=True)
class SettingsKey:
    """One key of the settings file."""

    name: str
    field: str
    """Where `Settings` has the value: an attribute, or one of its envelope. Empty if no process uses it."""
    kind: ValueKind
    meaning: str
    effect: Effect = Effect.AT_RESTART
    users: Users = Users.ALL
    default: float = 0.0
    least: float = 0.0
    """The lowest valid value of a number."""

    def expected(self) -> str:
        """What is wanted, for an error message."""
        if self.kind in (ValueKind.COUNT, ValueKind.NUMBER, ValueKind.FIGURE):
            return f"{self.kind.value}, at least {self.least:g},"
        return str(self.kind.value)


def figure(name: str, field: str, meaning: str, users: Users, default: float) -> SettingsKey:
    """A figure of the envelope."""
    field = f"envelope.{field}" if field else ""
    return SettingsKey(name, field, ValueKind.FIGURE, meaning, Effect.AT_ONCE, users, default)


SETTINGS_KEYS = (
    SettingsKey("node", "node", ValueKind.TEXT, "name of the node, unique in the system"),
    SettingsKey("ip", "ip", ValueKind.TEXT, "address of the machine"),
    SettingsKey("zone", "zone", ValueKind.TEXT, "zone of the machine"),
    SettingsKey("seedPeers", "seeds", ValueKind.ADDRESSES, "nodes to ask for the leader", Effect.AT_ONCE),
    SettingsKey(
        "listeners.front", "front_listener", ValueKind.ADDRESS, "listener for clients; makes the node an edge node"
    ),
    SettingsKey(
        "listeners.readiness",
        "readiness_listener",
        ValueKind.ADDRESS,
        "listener for readiness checks",
        users=Users.EDGE,
    ),
    SettingsKey("listeners.control", "control_listener", ValueKind.ADDRESS, "listener for the operator's calls"),
    SettingsKey("internalPorts", "internal_ports", ValueKind.PORTS, "ports for messages between nodes"),
    SettingsKey("bootstrap", "bootstrap", ValueKind.FLAG, "whether the whole system starts for the first time"),
    SettingsKey("quorumMember", "quorum_member", ValueKind.FLAG, "whether the machine may be a member of the core"),
    SettingsKey("stateDir", "state_dir", ValueKind.FOLDER, "folder of the state; makes the node a core machine"),
    SettingsKey(
        "constraints.memoryMb",
        "memory_mb",
        ValueKind.NUMBER,
        "memory of the process, MB",
        Effect.AT_ONCE,
        Users.EDGE,
        300.0,
        1.0,
    ),
    SettingsKey(
        "constraints.fileHandles",
        "file_handles",
        ValueKind.COUNT,
        "descriptors of the process",
        Effect.AT_ONCE,
        Users.EDGE,
        1024.0,
        64.0,
    ),
    SettingsKey(
        "constraints.linkMbps",
        "link_mbps",
        ValueKind.NUMBER,
        "rate of the machine's link",
        default=1000.0,
        least=0.01,
    ),
    SettingsKey(
        "tolerance.machineLosses",
        "machine_losses",
        ValueKind.COUNT,
        "members that may be lost at one time",
        Effect.AT_ONCE,
        Users.CORE,
    ),
    SettingsKey(
        "platform.address",
        "platform",
        ValueKind.ADDRESS,
        "address of the platform's list of servers",
        Effect.AT_ONCE,
        Users.CORE,
    ),
    SettingsKey(
        "platform.ratePerS",
        "",
        ValueKind.NUMBER,
        "calls that the platform takes a second",
        Effect.AT_ONCE,
        Users.NONE,
        10.0,
    ),
    figure(
        "envelope.contactMs",
        "contact_ms",
        "time without a free connection until a node is not ready",
        Users.EDGE,
        4000.0,
    ),
    figure("envelope.convergeMs", "", "time for a change to take effect", Users.NONE, 3000.0),
    figure("envelope.drainDeadlineMs", "", "time for a server to drain", Users.NONE, 3000.0),
    figure("envelope.gracePeriodS", "grace_period_s", "time from SIGTERM to SIGKILL", Users.ALL, 6.0),
    figure("envelope.syncS", "sync_s", "time for which a started machine counts as lost", Users.CORE, 4.0),
    figure("envelope.retryRatio", "retry_ratio", "retries allowed for each request", Users.EDGE, 0.2),
    figure("envelope.retryWindowS", "retry_window_s", "window in which retries are counted", Users.EDGE, 10.0),
    figure("envelope.retrySlack", "retry_slack", "retries allowed beside the ratio", Users.EDGE, 60.0),
    SettingsKey(
        "gateway.shareFaults",
        "share_faults",
        ValueKind.FLAG,
        "whether nodes report failing servers",
        Effect.AT_ONCE,
        Users.EDGE,
        1.0,
    ),
    SettingsKey(
        "gateway.replaceAfterS",
        "replace_after_s",
        ValueKind.NUMBER,
        "silence after which a spare replaces a member; 0: never; by default a quarter of envelope.syncS",
        Effect.AT_ONCE,
        Users.CORE,
    ),
)
KEYS_BY_NAME = {key.name: key for key in SETTINGS_KEYS}
