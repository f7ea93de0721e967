"""Messages of the distribution tree: joining, parent assignment, and replication from parents to children.

`epoch` is a fencing token, the epoch of the view in which the message's content originated (docs/design/fencing.md). A
receiver that has seen a higher epoch ignores the message and replies with `LeaderRedirect`.
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame
from cypressbeam.protocol.frames.validation import check_epochs, require

#: Flags of a node: it serves clients; it may be a member of the core; it may bootstrap the core; its event loop lags,
#: and it should have no children.
SERVES_CLIENTS, MAY_BE_MEMBER, MAY_BOOTSTRAP, IS_OVERLOADED = 1, 2, 4, 8


@dataclass(frozen=True, slots=True)
class JoinRequest(Frame):
    """A node registers with a seed, a machine of the core or the root, and repeats this because the root's node
    registry is soft state. The root replies with `ParentAssignment`, any other node with `LeaderRedirect`."""

    CODE = 1
    FIELDS = "sssccssiee"
    name: str
    """The name of the node, unique in the system."""
    ip: str
    zone: str
    flags: int
    """A combination of SERVES_CLIENTS, MAY_BE_MEMBER, MAY_BOOTSTRAP and IS_OVERLOADED."""
    has_assignment: int
    """1 if the node already has an assignment, else 0."""
    lost_parent: str
    """The address of a parent that has stopped responding, or empty."""
    identity: str = ""
    """The member name of a machine with a disk: address and identity."""
    kbps: int = 1_000_000
    """The bandwidth of the node's link in kbit/s."""
    epoch: int = 0
    """The highest epoch that the node has seen; 0: none."""
    acknowledged_epoch: int = 0
    """The epoch of the newest assignment or heartbeat that reached the node, to show that it has contact."""


@dataclass(frozen=True, slots=True)
class LeaderRedirect(Frame):
    """The address of the root: the reply to `JoinRequest` from a node that is not the root, and of any node to a
    message with an older epoch. The root sends it to seeds and known nodes that are silent without a request."""

    CODE = 2
    FIELDS = "sel"
    leader: str
    """The address of the root; empty if the sender does not know the current one."""
    epoch: int = 0
    """The highest epoch in which the sender has seen a root lead."""
    group: tuple[str, ...] = ()
    """Addresses of the core's group as known to the sender; the receiver can send its request to these."""


@dataclass(frozen=True, slots=True)
class ParentAssignment(Frame):
    """The root's reply to `JoinRequest`: the parents and the peers to monitor that it assigns to the node."""

    CODE = 3
    FIELDS = "ellllhhhl"
    epoch: int
    """The epoch in which the root leads."""
    chain: tuple[str, ...]
    """Addresses of the chain, from head to tail."""
    parents: tuple[str, ...]
    """Addresses of candidate parents, in order of preference."""
    probed_ips: tuple[str, ...]
    """Addresses of the nodes that the receiver probes."""
    probed_names: tuple[str, ...]
    """Names of these nodes, in the same order."""
    edge_count: int
    """The number of nodes that serve clients."""
    zone_edge_count: int
    """The number of these nodes in the receiver's zone."""
    index: int
    """The index of the receiver among the nodes that serve clients, from 0."""
    group: tuple[str, ...] = ()
    """Addresses of the core's group, including members that are not in the chain."""


@dataclass(frozen=True, slots=True)
class Subscribe(Frame):
    """A child subscribes to its parent and reports its current state. The parent sends what is missing, and all further
    updates. A parent without a connection to the root replies with `Unsubscribed`."""

    CODE = 4
    FIELDS = "sqqie"
    name: str
    """The name of the child."""
    revision: int
    """The revision of its configuration; 0: none."""
    term: int
    """The root's term of its endpoint list (see `EndpointUpdate`); 0: none."""
    sequence: int
    """The sequence number of that list."""
    epoch: int = 0
    """The highest epoch that the child has seen."""


@dataclass(frozen=True, slots=True)
class ConfigurationAnnouncement(Frame):
    """Parent to child: a configuration is committed. The child fetches its body from the sender (`ChunkRequest`)."""

    CODE = 5
    FIELDS = "qbe"
    revision: int
    digest: bytes
    """The digest of the body."""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationDelta(Frame):
    """Parent to child: a configuration is committed, and its delta is small enough to be sent in the message."""

    CODE = 50
    FIELDS = "qbbbe"
    revision: int
    digest: bytes
    """The digest of the body."""
    base_digest: bytes
    """The digest of the previous configuration, the base of the delta (delta.py)."""
    data: bytes
    """The body, packed against that base."""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate(Frame):
    """Parent to child: the endpoint list, either in full or as changes from one sequence number to a later one."""

    CODE = 6
    FIELDS = "qiicbe"
    term: int
    """A random number that the root generated for its term. Sequence numbers apply within a term."""
    base_sequence: int
    """The sequence number that the changes apply to."""
    sequence: int
    """The sequence number after the changes."""
    whole: int
    """1: `rows` is the full list; 0: `rows` contains changes."""
    rows: bytes
    """Servers in the encoding of endpoint_list.py."""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class RootHeartbeat(Frame):
    """The root's heartbeat, forwarded from parent to child down the tree, with the newest versions at the root. A child
    with an older version subscribes again."""

    CODE = 7
    FIELDS = "qiqhie"
    term: int
    """The root's term, as in `EndpointUpdate`."""
    sequence: int
    """The newest sequence number of the endpoint list."""
    revision: int
    """The revision of the newest committed configuration."""
    edge_count: int
    """The number of nodes that serve clients; 0: not known yet."""
    number: int = 0
    """Increases with each heartbeat of a term. A heartbeat that arrives a second time has gone through a cycle."""
    epoch: int = 0
    """The epoch in which the root leads. It may increase within a term."""


@dataclass(frozen=True, slots=True)
class KeepAlive(Frame):
    """Keep-alive from parent to child while there is no root heartbeat to forward: the sender is searching for the
    root, and its children stay connected for a limited time."""

    CODE = 31
    FIELDS = ""


@dataclass(frozen=True, slots=True)
class NodeDirectoryUpdate(Frame):
    """Leader to member of the core: the addresses of all nodes in its directory. Member to leader: addresses to add."""

    CODE = 52
    FIELDS = "el"
    epoch: int
    """The epoch in which the leader leads."""
    addresses: tuple[str, ...] = ()

    def check(self) -> None:
        """Check that the addresses can be stored as one list."""
        check_epochs(self, self.epoch)
        for address in self.addresses:
            require(bool(address) and "," not in address, self, f"{address!r} is not an address")


@dataclass(frozen=True, slots=True)
class Unsubscribed(Frame):
    """Parent to child: the subscription has ended, and the child has to find another parent. The connection stays open
    for other messages."""

    CODE = 30
    FIELDS = ""
