"""Messages of the distribution tree: joining, the assignment of a parent, and what goes from parents to children.

An `epoch` here is that of the view under which the sender's statement was made (docs/design/fencing.md): a receiver
that has seen a higher one takes nothing of the message, and replies with `LeaderRedirect`.
"""

from __future__ import annotations

from dataclasses import dataclass

from cypressbeam.protocol.frames.codec import Frame

#: Flags of a node: it serves clients; it may be a member of the core; it is named to found one; its event loop is
#: late, and it should have no children.
SERVES_CLIENTS, MAY_BE_MEMBER, MAY_BOOTSTRAP, IS_OVERLOADED = 1, 2, 4, 8


@dataclass(frozen=True, slots=True)
class JoinRequest(Frame):
    """A node registers itself: to a seed, a machine of the core or the root; repeated, for the root's node registry is
    soft state. The root answers with `ParentAssignment`, any other node with `LeaderRedirect`."""

    CODE = 1
    FIELDS = "sssccssiee"
    name: str
    """The node's name, unique in the system."""
    ip: str
    zone: str
    flags: int
    """FRONT, QUORUM, BOOTSTRAP, SLOW."""
    has_assignment: int
    """1 from a node that already has an assignment, else 0."""
    lost_parent: str
    """The address of a parent that has fallen silent, or nothing."""
    identity: str = ""
    """Of a machine with a disk: its name as a member, address and identity."""
    kbps: int = 1_000_000
    """The rate of its link, in kbit/s."""
    epoch: int = 0
    """The highest that it has seen; 0: none."""
    acknowledged_epoch: int = 0
    """The epoch of the newest assignment or heartbeat that it was given: proof to the root that it is heard."""


@dataclass(frozen=True, slots=True)
class LeaderRedirect(Frame):
    """Where the root is: the answer of a node that is not the root to `JoinRequest`, and of any node to a message of
    an older epoch. A new root sends it unasked to the seeds."""

    CODE = 2
    FIELDS = "sel"
    leader: str
    """The root's address; empty: the sender cannot vouch for any."""
    epoch: int = 0
    """The highest that the sender has seen a root lead in."""
    group: tuple[str, ...] = ()
    """Addresses of the core's group, as the sender knows it: others to ask."""


@dataclass(frozen=True, slots=True)
class ParentAssignment(Frame):
    """The root's answer to `JoinRequest`: the parents and the monitored peers that it assigns to the node."""

    CODE = 3
    FIELDS = "ellllhhhl"
    epoch: int
    """In which the root leads."""
    chain: tuple[str, ...]
    """Addresses of the chain, from head to tail."""
    parents: tuple[str, ...]
    """Addresses of parents, to be tried in this order."""
    probed_ips: tuple[str, ...]
    """Addresses of the nodes that this one is to probe."""
    probed_names: tuple[str, ...]
    """Their names, in the same order."""
    edge_count: int
    """How many nodes serve clients."""
    zone_edge_count: int
    """How many of these are in the node's zone."""
    index: int
    """The node's number among those that serve clients, from 0."""
    group: tuple[str, ...] = ()
    """Addresses of the core's group, also of those that are not in the chain."""


@dataclass(frozen=True, slots=True)
class Subscribe(Frame):
    """A child subscribes at its parent and tells what it has; the parent sends what it lacks, and all updates from then
    on. A parent that has no root itself answers with `Unsubscribed`."""

    CODE = 4
    FIELDS = "sqqie"
    name: str
    """The child's name."""
    revision: int
    """Of the configuration that it has; 0: none."""
    term: int
    """The root's term whose list of servers it has (see `EndpointUpdate`); 0: none."""
    sequence: int
    """That list's sequence number."""
    epoch: int = 0
    """The highest that the child has seen."""


@dataclass(frozen=True, slots=True)
class ConfigurationAnnouncement(Frame):
    """Parent to child: a configuration is committed. Its body is to be fetched from the sender (`ChunkRequest`)."""

    CODE = 5
    FIELDS = "qbe"
    revision: int
    digest: bytes
    """The body's digest."""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationDelta(Frame):
    """Parent to child: a configuration is committed, and what it changes is small enough to be in the message."""

    CODE = 50
    FIELDS = "qbbbe"
    revision: int
    digest: bytes
    """The body's digest."""
    base_digest: bytes
    """The digest of the version before, on which the data is packed (delta.py)."""
    data: bytes
    """The body, packed on that base."""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate(Frame):
    """Parent to child: the list of servers, whole or as the changes from one sequence number to a later one."""

    CODE = 6
    FIELDS = "qiicbe"
    term: int
    """A random number that the root has drawn for its term; sequence numbers count within it."""
    base_sequence: int
    """The sequence number that the changes apply to."""
    sequence: int
    """The sequence number that they lead to."""
    whole: int
    """1: the rows are the whole list; 0: changes."""
    rows: bytes
    """Rows of servers, as endpoint_list.py packs them."""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class RootHeartbeat(Frame):
    """The root's heartbeat, from parent to child down the tree, with what is newest at the root. A child that lacks one
    of these subscribes again."""

    CODE = 7
    FIELDS = "qiqhie"
    term: int
    """The root's term, as in `EndpointUpdate`."""
    sequence: int
    """The newest sequence number of the list of servers."""
    revision: int
    """Of the newest committed configuration."""
    edge_count: int
    """How many nodes serve clients; 0: not known yet."""
    number: int = 0
    """Rises with each heartbeat of a term: one that comes a second time has gone in a circle."""
    epoch: int = 0
    """In which the root leads. It may rise within a term."""


@dataclass(frozen=True, slots=True)
class KeepAlive(Frame):
    """Keep-alive from parent to child while there is no heartbeat of the root to pass on: the sender searches for the
    root, and its children stay with it for a while."""

    CODE = 31
    FIELDS = ""


@dataclass(frozen=True, slots=True)
class Unsubscribed(Frame):
    """Parent to child: the subscription has ended, and another parent is to be found. The connection stays for other
    messages."""

    CODE = 30
    FIELDS = ""
