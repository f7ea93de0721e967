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


@dataclass(frozen=True, slots=True)
class SettingsKey:
    """One key of the settings file."""

    name: str
    kind: ValueKind
    meaning: str
    users: Users = Users.ALL
    default: float = 0.0
    least: float = 0.0
    """The lowest valid value of a number."""

    def expected(self) -> str:
        """What is wanted, for an error message."""
        if self.kind in (ValueKind.COUNT, ValueKind.NUMBER, ValueKind.FIGURE):
            return f"{self.kind.value}, at least {self.least:g},"
        return str(self.kind.value)


SETTINGS_KEYS = (
    SettingsKey("node", ValueKind.TEXT, "name of the node, unique in the system"),
    SettingsKey("ip", ValueKind.TEXT, "address of the machine"),
    SettingsKey("zone", ValueKind.TEXT, "zone of the machine"),
    SettingsKey("seedPeers", ValueKind.ADDRESSES, "nodes to ask for the leader"),
    SettingsKey("listeners.front", ValueKind.ADDRESS, "listener for clients; makes the node an edge node"),
    SettingsKey("listeners.readiness", ValueKind.ADDRESS, "listener for readiness checks", Users.EDGE),
    SettingsKey("listeners.control", ValueKind.ADDRESS, "listener for the operator's calls"),
    SettingsKey("internalPorts", ValueKind.PORTS, "ports for messages between nodes"),
    SettingsKey("bootstrap", ValueKind.FLAG, "whether the whole system starts for the first time"),
    SettingsKey("quorumMember", ValueKind.FLAG, "whether the machine may be a member of the core"),
    SettingsKey("stateDir", ValueKind.FOLDER, "folder of the state; makes the node a core machine"),
    SettingsKey("constraints.memoryMb", ValueKind.NUMBER, "memory of the process, MB", Users.EDGE, 300.0, 1.0),
    SettingsKey("constraints.fileHandles", ValueKind.COUNT, "descriptors of the process", Users.EDGE, 1024.0, 64.0),
    SettingsKey("constraints.linkMbps", ValueKind.NUMBER, "rate of the machine's link", Users.ALL, 1000.0, 0.01),
    SettingsKey("tolerance.machineLosses", ValueKind.COUNT, "members that may be lost at one time", Users.CORE),
    SettingsKey("platform.address", ValueKind.ADDRESS, "address of the platform's list of servers", Users.CORE),
    SettingsKey("platform.ratePerS", ValueKind.NUMBER, "calls that the platform takes a second", Users.NONE, 10.0),
    SettingsKey("envelope.contactMs", ValueKind.FIGURE, "time without a free connection", Users.EDGE, 4000.0),
    SettingsKey("envelope.convergeMs", ValueKind.FIGURE, "time for a change to take effect", Users.NONE, 3000.0),
    SettingsKey("envelope.drainDeadlineMs", ValueKind.FIGURE, "time for a server to drain", Users.NONE, 3000.0),
    SettingsKey("envelope.gracePeriodS", ValueKind.FIGURE, "time from SIGTERM to SIGKILL", Users.ALL, 6.0),
    SettingsKey("envelope.syncS", ValueKind.FIGURE, "time for which a started machine counts as lost", Users.CORE, 4.0),
    SettingsKey("envelope.retryRatio", ValueKind.FIGURE, "retries allowed for each request", Users.EDGE, 0.2),
    SettingsKey("envelope.retryWindowS", ValueKind.FIGURE, "window in which retries are counted", Users.EDGE, 10.0),
    SettingsKey("envelope.retrySlack", ValueKind.FIGURE, "retries allowed beside the ratio", Users.EDGE, 60.0),
    SettingsKey("gateway.shareFaults", ValueKind.FLAG, "whether nodes report failing servers", Users.EDGE, 1.0),
    SettingsKey(
        "gateway.replaceAfterS",
        ValueKind.NUMBER,
        "silence after which a spare replaces a member; 0: never; by default a quarter of `envelope.syncS`",
        Users.CORE,
    ),
)
KEYS_BY_NAME = {key.name: key for key in SETTINGS_KEYS}
