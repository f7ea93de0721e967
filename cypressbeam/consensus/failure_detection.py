"""Failure detection among machines with a disk: who is alive, whose disk works, and whether a majority is in reach.

Each machine sends a numbered heartbeat and the others echo the number. A peer counts as alive up to when the newest
heartbeat that it has echoed was sent: a lease on this machine's own clock. When an echo is read says nothing, for it
may have been in a socket for long while the process stood still.

Invariant: an echo of an earlier process proves nothing, since numbers begin at random.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.state import DiskState, ReplicaState
from cypressbeam.consensus.views import ip_of
from cypressbeam.protocol import frames

#: Heartbeats go out this often; a peer is unreachable once the last one that it has echoed was sent so long ago. An
#: echo is as old as the way there and back, so heartbeats go out more often than silence alone would ask for.
HEARTBEAT_INTERVAL_S = 0.2
FAILURE_TIMEOUT_S = 1.0
#: A reply asks a peer that was not heard lately for an echo in turn, at most this often.
ECHO_REQUEST_INTERVAL_S = 0.1
#: The leader stays it for so long after a majority was last known to be in reach: the others have another one soon
#: after that.
LEADER_CONTACT_GRACE_S = 0.5
#: Nothing was echoed yet.
NEVER_S = float("-inf")
#: A process that ticks ten times a second and was not up for so long was paused: that time says nothing of its disk,
#: nor of the others.
PAUSE_THRESHOLD_S = 0.5
#: Heartbeat numbers begin below this one, drawn at random.
SEQUENCE_RANGE = 1 << 40


@dataclass(slots=True)
class PeerLiveness:
    """What the last heartbeat of a peer said, and up to when it is known to have been alive."""

    name: str
    epoch: int
    """Of the view that it has installed."""
    promised: int
    disk_works: bool
    disk_state: int
    alive_s: float
    """When the newest heartbeat that it has echoed was sent."""
    stored_epoch: int
    """The epoch of the newest view on its disk, and the number of its newest entry."""
    stored_number: int


class FailureDetector:
    """The peers of one machine, by their heartbeats. Times in seconds of its steady clock."""

    def __init__(
        self, state: ReplicaState, own_disk_works: Callable[[float], bool], random_share: Callable[[], float]
    ) -> None:
        """
        :param own_disk_works: whether others may count on this machine's disk at a time.
        :param random_share: a number from 0 to 1, drawn at random.
        """
        self.state = state
        self.own_disk_works = own_disk_works
        self.peers: dict[str, PeerLiveness] = {}
        """By address."""
        self.heartbeat_due_s = 0.0
        self.sequence = int(random_share() * SEQUENCE_RANGE)
        """Of the last heartbeat sent."""
        self.sent_s: dict[int, float] = {}
        """When heartbeats were sent, by number, as long as an echo of them says anything."""
        self.echo_requested_s: dict[str, float] = {}
        """When a reply last asked a peer for an echo, by address."""

    # -- who is there --------------------------------------------------------------------------------------

    def is_alive(self, ip: str, now_s: float) -> bool:
        """Whether any member at an address is alive."""
        peer = self.peers.get(ip)
        return peer is not None and now_s - peer.alive_s <= FAILURE_TIMEOUT_S

    def is_available(self, name: str, now_s: float) -> bool:
        """Whether a member is alive and its disk works, as far as is known here."""
        if name == self.state.name:
            return self.own_disk_works(now_s)
        peer = self.peers.get(ip_of(name))
        return peer is not None and peer.name == name and peer.disk_works and now_s - peer.alive_s <= FAILURE_TIMEOUT_S

    def is_empty(self, name: str, now_s: float) -> bool:
        """Whether a member is available and has no view on its disk yet: it promises nothing, and is taken into the
        chain without that."""
        peer = self.peers.get(ip_of(name))
        available = name != self.state.name and self.is_available(name, now_s)
        return available and peer is not None and peer.disk_state == DiskState.EMPTY

    def new_identities(self, now_s: float) -> dict[str, str]:
        """Members that came back as others, with empty disks: new names by old ones."""
        view = self.state.view
        assert view is not None
        found = {}
        for name in view.group:
            peer = self.peers.get(ip_of(name))
            if peer is not None and peer.name != name and peer.disk_works and now_s - peer.alive_s <= FAILURE_TIMEOUT_S:
                found[name] = peer.name
        return found

    def last_quorum_contact_s(self, now_s: float) -> float:
        """Up to when a majority of the group, this machine with it, is known to have been in reach both ways."""
        view = self.state.view
        if view is None:
            return NEVER_S
        times_s = [now_s if name == self.state.name else self.alive_s(name) for name in view.group]
        return sorted(times_s, reverse=True)[self.state.quorum_size(view.group) - 1]

    def alive_s(self, name: str) -> float:
        """Up to when a member is known to have been alive, under this name."""
        peer = self.peers.get(ip_of(name))
        return peer.alive_s if peer is not None and peer.name == name else NEVER_S

    def has_quorum_contact(self, now_s: float) -> bool:
        """Whether a majority of the group is in reach."""
        return now_s - self.last_quorum_contact_s(now_s) <= FAILURE_TIMEOUT_S

    # -- what they hold ------------------------------------------------------------------------------------

    def chain_has_installed(self) -> bool:
        """Whether each member of the chain is known to have the view on disk. Nothing is undone by a later promise:
        activation only says what has been written."""
        view = self.state.view
        assert view is not None
        return all(name == self.state.name or self.has_installed(name, view.epoch) for name in view.chain)

    def has_installed(self, name: str, epoch: int) -> bool:
        """Whether a member, under this name, is known to have the view of an epoch on disk."""
        peer = self.peers.get(ip_of(name))
        return peer is not None and peer.name == name and peer.epoch == epoch

    def highest_stored_number(self) -> int:
        """The highest number of an entry that others of the chain have reported in this epoch."""
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
        """How many live peers have more on their disks than this machine."""
        return sum(
            1
            for peer in self.peers.values()
            if self.is_alive(ip_of(peer.name), now_s)
            and (peer.stored_epoch, peer.stored_number) > (own.epoch, own.number)
        )

    # -- heartbeats ----------------------------------------------------------------------------------------

    def next_sequence(self, now_s: float) -> int:
        """The number of a heartbeat that is sent now and is to be echoed."""
        kept_s = FAILURE_TIMEOUT_S + LEADER_CONTACT_GRACE_S
        for number in [number for number, sent_s in self.sent_s.items() if now_s - sent_s > kept_s]:
            del self.sent_s[number]
        self.sequence += 1
        self.sent_s[self.sequence] = now_s
        return self.sequence

    def echoed_s(self, frame: frames.ReplicaHeartbeat, now_s: float) -> float:
        """When the heartbeat of this machine that another one echoes was sent."""
        return self.sent_s.get(frame.echoed_sequence, NEVER_S)

    def record(self, frame: frames.ReplicaHeartbeat, now_s: float) -> None:
        """A heartbeat of a peer has come."""
        ip = ip_of(frame.name)
        before = self.peers.get(ip)
        alive_s = self.echoed_s(frame, now_s)
        if before is not None and before.name == frame.name:
            alive_s = max(alive_s, before.alive_s)
        self.peers[ip] = PeerLiveness(
            frame.name,
            frame.epoch,
            frame.promised,
            bool(frame.disk_flags),
            frame.disk_state,
            alive_s,
            frame.stored_epoch,
            frame.stored_number,
        )

    def should_request_echo(self, ip: str, now_s: float) -> bool:
        """Whether the reply to a heartbeat asks for an echo in turn, so that nobody waits for the next heartbeat: the
        peer was not heard lately, since it or this machine has just started or was paused."""
        last_s = self.echo_requested_s.get(ip, NEVER_S)
        asks = not self.is_alive(ip, now_s) and now_s - last_s > ECHO_REQUEST_INTERVAL_S
        if asks:
            self.echo_requested_s[ip] = now_s
        return asks


class PauseDetector:
    """Notices that the process stood still: it was not scheduled, or its machine was frozen."""

    def __init__(self) -> None:
        self.last_run_s = NEVER_S

    def start(self, now_s: float) -> None:
        """The process starts."""
        self.last_run_s = now_s

    def pause_before(self, now_s: float) -> float:
        """For how many seconds the process stood still before now; 0: it did not."""
        paused_s = now_s - self.last_run_s
        self.last_run_s = now_s
        return paused_s if paused_s > PAUSE_THRESHOLD_S else 0.0
