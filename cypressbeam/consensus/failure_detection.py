"""Failure detection among machines with a disk: which peers are alive, whose disk works, and whether there is a quorum.

Each machine sends numbered heartbeats, and the peers echo the numbers. A peer is known to have been alive at the time
at which the newest heartbeat that it echoed was sent, measured on this machine's clock. The time at which the echo is
read is not used: the echo may have waited in a socket buffer while this process was paused.

Invariant: echoes of heartbeats that an earlier process sent are ignored, because sequence numbers start at random.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.state import DiskState, ReplicaState
from cypressbeam.consensus.views import ip_of
from cypressbeam.protocol import frames

#: How often heartbeats are sent. An echo is one round trip old when it arrives, so the interval is shorter than a
#: detector that only counts received heartbeats would need.
HEARTBEAT_INTERVAL_S = 0.2
#: A peer is unreachable once the newest heartbeat that it echoed was sent longer ago than this.
FAILURE_TIMEOUT_S = 1.0
#: How often, at most, a reply asks a peer that is not known to be alive for an echo.
ECHO_REQUEST_INTERVAL_S = 0.1
#: How long beyond `FAILURE_TIMEOUT_S` the leader keeps its role without contact to a majority. The others elect a new
#: leader soon after that.
LEADER_CONTACT_GRACE_S = 0.5
#: The time of an event that has not happened.
NEVER_S = float("-inf")
#: The process ticks ten times a second. A longer gap between ticks is a pause of the process, during which nothing can
#: be concluded about its disk or its peers.
PAUSE_THRESHOLD_S = 0.5
#: The first sequence number of a process is drawn at random below this.
SEQUENCE_RANGE = 1 << 40


@dataclass(slots=True)
class PeerLiveness:
    """The content of a peer's last heartbeat, and when the peer was last known to be alive."""

    name: str
    epoch: int
    """The epoch of the view that the peer has installed."""
    promised: int
    disk_works: bool
    disk_state: int
    last_alive_s: float
    """When the newest heartbeat that the peer echoed was sent."""
    stored_epoch: int
    """The epoch of the newest view on the peer's disk."""
    stored_number: int
    """The number of the newest entry on the peer's disk."""


class FailureDetector:
    """Tracks the peers of one machine by their heartbeats. Times are seconds of this machine's monotonic clock."""

    def __init__(
        self, state: ReplicaState, own_disk_works: Callable[[float], bool], random_fraction: Callable[[], float]
    ) -> None:
        """
        :param own_disk_works: whether peers may rely on this machine's disk at a given time.
        :param random_fraction: draws a random number from 0 to 1.
        """
        self.state = state
        self.own_disk_works = own_disk_works
        self.peers: dict[str, PeerLiveness] = {}
        """Peers by address."""
        self.heartbeat_due_s = 0.0
        self.sequence = int(random_fraction() * SEQUENCE_RANGE)
        """The number of the last heartbeat sent."""
        self.sent_s: dict[int, float] = {}
        """When heartbeats were sent, by number. Heartbeats too old for their echoes to matter are dropped."""
        self.echo_requested_s: dict[str, float] = {}
        """When a reply last asked a peer for an echo, by address."""

    # -- liveness ------------------------------------------------------------------------------------------

    def is_alive(self, ip: str, now_s: float) -> bool:
        """Whether the peer at an address is alive, whatever its name."""
        peer = self.peers.get(ip)
        return peer is not None and now_s - peer.last_alive_s <= FAILURE_TIMEOUT_S

    def is_available(self, name: str, now_s: float) -> bool:
        """Whether a member is alive and its disk works, as far as this machine knows."""
        if name == self.state.name:
            return self.own_disk_works(now_s)
        peer = self.peers.get(ip_of(name))
        return (
            peer is not None
            and peer.name == name
            and peer.disk_works
            and now_s - peer.last_alive_s <= FAILURE_TIMEOUT_S
        )

    def is_empty(self, name: str, now_s: float) -> bool:
        """Whether a member is available and has no view on disk yet. It cannot promise, and joins a chain without a
        promise."""
        peer = self.peers.get(ip_of(name))
        available = name != self.state.name and self.is_available(name, now_s)
        return available and peer is not None and peer.disk_state == DiskState.EMPTY

    def new_identities(self, now_s: float) -> dict[str, str]:
        """Members that returned with an empty disk under a new name: new names by old ones."""
        view = self.state.view
        assert view is not None
        renamed = {}
        for name in view.group:
            peer = self.peers.get(ip_of(name))
            if (
                peer is not None
                and peer.name != name
                and peer.disk_works
                and now_s - peer.last_alive_s <= FAILURE_TIMEOUT_S
            ):
                renamed[name] = peer.name
        return renamed

    def last_quorum_contact_s(self, now_s: float) -> float:
        """When this machine last had proven two-way contact with a majority of the group, itself included."""
        view = self.state.view
        if view is None:
            return NEVER_S
        times_s = [now_s if name == self.state.name else self.last_alive_s(name) for name in view.group]
        return sorted(times_s, reverse=True)[self.state.quorum_size(view.group) - 1]

    def last_alive_s(self, name: str) -> float:
        """When a member with this name was last known to be alive."""
        peer = self.peers.get(ip_of(name))
        return peer.last_alive_s if peer is not None and peer.name == name else NEVER_S

    def has_quorum_contact(self, now_s: float) -> bool:
        """Whether a majority of the group is reachable."""
        return now_s - self.last_quorum_contact_s(now_s) <= FAILURE_TIMEOUT_S

    # -- what peers have stored ----------------------------------------------------------------------------

    def chain_has_installed(self) -> bool:
        """Whether every member of the chain is known to have the view on disk. A later promise does not change the
        answer: activation only depends on what was written."""
        view = self.state.view
        assert view is not None
        return all(name == self.state.name or self.has_installed(name, view.epoch) for name in view.chain)

    def has_installed(self, name: str, epoch: int) -> bool:
        """Whether a member with this name is known to have the view of an epoch on disk."""
        peer = self.peers.get(ip_of(name))
        return peer is not None and peer.name == name and peer.epoch == epoch

    def highest_stored_number(self) -> int:
        """The highest entry number that other members of the chain have reported in this epoch."""
        view = self.state.view
        assert view is not None
        return max(
            (
                peer.stored_number
                for peer in self.peers.values()
                if peer.name in view.chain and peer.stored_epoch == view.epoch
            ),
            default=0,
        )

    def count_ahead_of(self, own: HighWaterMarks, now_s: float) -> int:
        """How many live peers have newer state on disk than this machine."""
        return sum(
            1
            for peer in self.peers.values()
            if self.is_alive(ip_of(peer.name), now_s)
            and (peer.stored_epoch, peer.stored_number) > (own.epoch, own.number)
        )

    # -- heartbeats ----------------------------------------------------------------------------------------

    def next_sequence(self, now_s: float) -> int:
        """Return the number of a heartbeat that is sent now and requests an echo."""
        max_age_s = FAILURE_TIMEOUT_S + LEADER_CONTACT_GRACE_S
        for number in [number for number, sent_s in self.sent_s.items() if now_s - sent_s > max_age_s]:
            del self.sent_s[number]
        self.sequence += 1
        self.sent_s[self.sequence] = now_s
        return self.sequence

    def echoed_s(self, frame: frames.ReplicaHeartbeat, now_s: float) -> float:
        """When this machine sent the heartbeat that a peer's frame echoes."""
        return self.sent_s.get(frame.echoed_sequence, NEVER_S)

    def record(self, frame: frames.ReplicaHeartbeat, now_s: float) -> None:
        """Record the heartbeat of a peer."""
        ip = ip_of(frame.name)
        previous = self.peers.get(ip)
        last_alive_s = self.echoed_s(frame, now_s)
        if previous is not None and previous.name == frame.name:
            last_alive_s = max(last_alive_s, previous.last_alive_s)
        self.peers[ip] = PeerLiveness(
            frame.name,
            frame.epoch,
            frame.promised,
            bool(frame.disk_flags),
            frame.disk_state,
            last_alive_s,
            frame.stored_epoch,
            frame.stored_number,
        )

    def should_request_echo(self, ip: str, now_s: float) -> bool:
        """Whether the reply to a heartbeat asks for an echo as well. It does if the peer is not known to be alive,
        because either machine has just started or was paused; otherwise both would wait for the next heartbeat."""
        last_s = self.echo_requested_s.get(ip, NEVER_S)
        due = not self.is_alive(ip, now_s) and now_s - last_s > ECHO_REQUEST_INTERVAL_S
        if due:
            self.echo_requested_s[ip] = now_s
        return due


class PauseDetector:
    """Detects that the process was paused: it was not scheduled, or its machine was frozen."""

    def __init__(self) -> None:
        self.last_run_s = NEVER_S

    def start(self, now_s: float) -> None:
        """Record the start of the process."""
        self.last_run_s = now_s

    def pause_before(self, now_s: float) -> float:
        """How many seconds the process was paused before now; 0 if it was not."""
        paused_s = now_s - self.last_run_s
        self.last_run_s = now_s
        return paused_s if paused_s > PAUSE_THRESHOLD_S else 0.0
