"""A replica: one machine with a disk, which takes part in agreeing on views and may be a member of the chain.

Performs no I/O: messages, ticks and completed disk writes are inputs, effects are outputs, to be carried out in order.
The replica combines components that each have their own state and rules:

| component | module | responsibility |
| --- | --- | --- |
| `state` | state.py | the installed view, the chain position, the stored entry |
| `disk` | disk_health.py | whether the disk accepts writes |
| `rollback` | rollback_detection.py | which disks were rolled back to an older copy |
| `failure_detector` | failure_detection.py | which machines are alive, and whether a majority is reachable |
| `leadership` | leadership.py | whether this machine is the root of the distribution tree |
| `voter` | voting.py | which proposals this machine takes part in |
| `proposer` | repair.py | when a new view is proposed, and its initial entry |
| `reads` | quorum_reads.py | when a read or a rejection may be answered |

The invariants are stated in those modules. A machine at an address that is new to the group does not take over another
member's place: it persists the view before the one that includes it, and votes from then on (membership.py).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from cypressbeam.consensus import deduplication
from cypressbeam.consensus.disk_health import DiskHealth
from cypressbeam.consensus.effects import (
    ChainEffect,
    DiskWrite,
    Effect,
    PersistBootstrapPromise,
    PersistEntry,
    PersistView,
    ProbeDisk,
    ResetIdentity,
    SendMessage,
)
from cypressbeam.consensus.failure_detection import HEARTBEAT_INTERVAL_S, FailureDetector, PauseDetector
from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.leadership import Leadership
from cypressbeam.consensus.quorum_reads import QuorumReads
from cypressbeam.consensus.repair import Proposer
from cypressbeam.consensus.rollback_detection import RollbackDetector
from cypressbeam.consensus.state import DiskState, ReplicaState
from cypressbeam.consensus.views import NO_VIEW, Entry, View, ip_of
from cypressbeam.consensus.voting import Voter
from cypressbeam.protocol import frames

#: How many times replicas forward a request that another one has to answer.
MAX_HOPS = 2
#: Statuses that assert which version is current; whether a body is invalid also depends on the program's version.
INVALID = 400
PRECONDITION_FAILED = 412
REJECTION_STATUSES = (INVALID, PRECONDITION_FAILED)
UNAVAILABLE = 503

#: Requests that a replica may forward to the one responsible.
Forwardable = frames.WriteRequest | frames.ReadRequest | frames.MembershipChangeRequest


class Replica:
    """The consensus state machine of one machine with a disk. Times are in seconds of its monotonic clock."""

    def __init__(
        self,
        name: str,
        min_copies: int,
        check: Callable[[bytes], int],
        digest: Callable[[bytes], bytes],
        random_share: Callable[[], float],
    ) -> None:
        """
        :param name: address and disk identity of this machine.
        :param min_copies: the minimum length of a chain.
        :param check: returns the revision of a configuration; raises ValueError if it is invalid.
        :param digest: returns the digest of a configuration.
        :param random_share: returns a random number from 0 to 1.
        """
        self.name = name
        self.ip = ip_of(name)
        self.state = ReplicaState(name, min_copies, check, digest)
        self.disk = DiskHealth()
        self.rollback = RollbackDetector(self.state)
        self.failure_detector = FailureDetector(self.state, self.disk_works, random_share)
        self.leadership = Leadership(self.state, self.failure_detector)
        self.voter = Voter(self.state, self.disk, self.rollback)
        self.proposer = Proposer(
            self.state, self.failure_detector, self.voter, self.rollback, random_share, self.on_view_announcement
        )
        self.reads = QuorumReads(self.state, self.rollback)
        self.pause = PauseDetector()
        self.check_version = 0
        """The version of the validation rules that this machine applies to configurations
        (configuration.CHECK_VERSION)."""
        self.peer_check_versions: dict[str, int] = {}
        """The versions that other machines reported last, by address."""
        self.is_draining = False
        """This process was asked to stop, so it does not offer itself as a spare."""

    # -- start ---------------------------------------------------------------------------------------------

    def restore_marks(
        self, durable: HighWaterMarks, pending: HighWaterMarks, reported: dict[str, HighWaterMarks]
    ) -> None:
        """Restore the incarnation on disk, the one that the first write stores, and the marks that other members have
        reported. Called before `load`."""
        self.rollback.durable, self.rollback.pending, self.rollback.reported = durable, pending, reported

    def load(
        self, view: View | None, promised: int, entry: Entry | None, digests: dict[int, bytes], now_s: float
    ) -> list[Effect]:
        """Restore the state that was on disk when the process started."""
        self.voter.promised = promised
        self.state.stored_entry, self.state.stored_digests = entry, digests
        self.state.highest_epoch = promised
        self.rollback.durable = replace(self.rollback.durable, promised=promised)
        self.pause.start(now_s)
        if view is not None:
            self.install_view(view)
        return self.tick(now_s)

    def bootstrap(self, view: View, now_s: float) -> list[Effect]:
        """Accept the first view of a new group, unless this machine has a view on disk, is writing one, or has promised
        a later epoch. It may know of a later view: then it is a member that was down while others went on."""
        state = self.state
        has_view = state.disk_state != DiskState.EMPTY or state.pending_view is not None
        if has_view or self.voter.promised > view.epoch:
            return []
        return self.accept_view(view, None, {}, now_s) if self.name in view.chain else []

    def prepare_bootstrap(self, epoch: int, arbiter: str, now_s: float) -> list[Effect]:
        """Promise to accept no first view of a lower epoch, unless this machine has a view or is writing one."""
        state = self.state
        if state.view is not None or state.pending_view is not None or self.voter.promised > epoch:
            return []
        self.voter.promised = epoch
        self.disk.write_begun(now_s)
        return [PersistBootstrapPromise(epoch, arbiter)]

    def bootstrap_promise_persisted(self, epoch: int, arbiter: str) -> list[Effect]:
        """Send a promise that is now on disk."""
        self.write_completed()
        self.rollback.promise_persisted(epoch)
        return [SendMessage(arbiter, frames.BootstrapPromise(self.name, epoch))]

    # -- periodic work -------------------------------------------------------------------------------------

    def disk_works(self, now_s: float) -> bool:
        """Whether this machine's disk accepts writes and was not rolled back."""
        return self.disk.works(now_s) and not self.rollback.reason

    def offers_disk(self, now_s: float) -> bool:
        """Whether other machines may rely on this disk. A draining machine remains a member until it stops, but does
        not join a group."""
        return self.disk_works(now_s) and (self.state.is_voter() or not self.is_draining)

    def resume(self, now_s: float) -> None:
        """Detect a pause of this process. Time spent paused counts neither as a slow disk write nor towards the delay
        before a repair."""
        paused_s = self.pause.pause_before(now_s)
        if paused_s:
            self.disk.process_paused(paused_s)
            self.proposer.defer()

    def tick(self, now_s: float) -> list[Effect]:
        """Send heartbeats, probe the disk, activate or repair the view, acquire or resign leadership. To be called ten
        times a second."""
        self.resume(now_s)
        effects: list[Effect] = []
        if now_s >= self.failure_detector.heartbeat_due_s:
            effects += self.heartbeat(now_s)
        if self.disk.probe_due(now_s):
            self.disk.write_begun(now_s)
            effects.append(ProbeDisk())
        if self.state.view is None:
            return effects
        if self.should_reset_identity(self.state.view, now_s):
            return [*effects, ResetIdentity(self.rollback.reason)]
        effects += self.tick_chain(now_s)
        effects += self.leadership.tick(now_s)
        effects += self.proposer.conclude(now_s)
        effects += self.proposer.tick(now_s)
        self.reads.expire(now_s)
        return effects

    def should_reset_identity(self, view: View, now_s: float) -> bool:
        """Whether this disk was rolled back and a majority holds newer state."""
        if not self.rollback.reason:
            return False
        ahead = self.failure_detector.count_ahead_of(self.rollback.own_marks(), now_s)
        return ahead >= self.state.quorum_size(view.group)

    def tick_chain(self, now_s: float) -> list[Effect]:
        """Activate the chain once all its members have installed the view, and resend unacknowledged entries."""
        chain = self.state.chain
        if chain is None:
            return []
        effects: list[Effect] = []
        if not chain.active and not chain.sealed and self.failure_detector.chain_has_installed():
            self.proposer.backoff = 1
            effects += chain.activate(now_s, self.failure_detector.highest_stored_number())
        return [*effects, *chain.tick(now_s)]

    # -- heartbeats ----------------------------------------------------------------------------------------

    def heartbeat(self, now_s: float) -> list[Effect]:
        """Send a heartbeat to all members of the group and to spares that are alive."""
        detector, view = self.failure_detector, self.state.view
        detector.heartbeat_due_s = now_s + HEARTBEAT_INTERVAL_S
        if view is None:
            return []
        frame = self.own_heartbeat(now_s)
        members = [ip_of(name) for name in view.group]
        spares = [ip for ip in detector.peers if ip not in members and detector.is_alive(ip, now_s)]
        return [SendMessage(ip, frame) for ip in [*members, *spares] if ip != self.ip]

    def own_heartbeat(
        self, now_s: float, echoed_sequence: int = 0, requests_echo: bool = True
    ) -> frames.ReplicaHeartbeat:
        """Build a heartbeat; with a sequence number to be echoed if `requests_echo`."""
        chain, own = self.state.chain, self.rollback.own_marks()
        return frames.ReplicaHeartbeat(
            self.name,
            chain.view.epoch if chain is not None else 0,
            self.voter.promised,
            1 + 2 * self.check_version if self.offers_disk(now_s) else 0,
            self.state.disk_state,
            self.failure_detector.next_sequence(now_s) if requests_echo else 0,
            echoed_sequence,
            own.incarnation,
            own.incarnation_id,
            own.promised,
            own.epoch,
            own.number,
        )

    def on_heartbeat(self, frame: frames.ReplicaHeartbeat, now_s: float) -> list[Effect]:
        """Handle a peer's heartbeat: echo it immediately, and send the peer the view or entry that it lacks."""
        self.resume(now_s)
        ip = ip_of(frame.name)
        reported = HighWaterMarks(
            frame.incarnation, frame.draw, frame.durable_promise, frame.stored_epoch, frame.stored_number
        )
        if self.rollback.rejects(frame.name, reported):
            return [*self.rollback.report_rollback(frame.name), *self.echo(ip, frame, now_s)]
        self.failure_detector.record(frame, now_s)
        if frame.disk_flags:
            self.peer_check_versions[ip] = frame.disk_flags >> 1
        if self.rollback.shows_rollback(frame):
            self.rollback.mark_rolled_back(
                f"{frame.name} has entry {frame.stored_number} of epoch {frame.stored_epoch},"
                f" this disk has {self.rollback.own_marks()}"
            )
        self.state.observe_epoch(frame.promised, frame.epoch)
        effects = self.bring_up_to_date(ip, frame, now_s)
        chain = self.state.chain
        if chain is not None and frame.stored_epoch == chain.view.epoch:
            effects += chain.resend_to_successor(ip, frame.stored_number)
        return effects + self.echo(ip, frame, now_s)

    def bring_up_to_date(self, ip: str, frame: frames.ReplicaHeartbeat, now_s: float) -> list[Effect]:
        """Announce the view to a peer that holds an older one and is not in the chain; otherwise its heartbeat may
        activate the chain."""
        view, chain = self.state.view, self.state.chain
        if view is not None and frame.epoch < view.epoch:
            if frame.name in view.chain:
                return []
            return [SendMessage(ip, frames.ViewAnnouncement(view.epoch, view.chain, view.group))]
        return self.tick(now_s) if chain is not None and not chain.active else []

    def echo(self, ip: str, frame: frames.ReplicaHeartbeat, now_s: float) -> list[Effect]:
        """Echo the sequence number of a heartbeat, if it has one."""
        if not frame.sequence:
            return []
        requests_echo = self.failure_detector.should_request_echo(ip, now_s)
        return [SendMessage(ip, self.own_heartbeat(now_s, frame.sequence, requests_echo))]

    # -- views ---------------------------------------------------------------------------------------------

    def install_view(self, view: View) -> None:
        """Switch to a view that was written to disk or loaded from it."""
        self.rollback.view_persisted(view)
        self.state.install(view, self.voter.promised)
        self.reads.clear()

    def on_view_announcement(self, frame: frames.ViewAnnouncement, now_s: float) -> list[Effect]:
        """Handle the announcement of a newer view, which does not include this machine or is still being written."""
        if self.state.view is not None and frame.epoch <= self.state.view.epoch:
            return []
        self.state.learn_view(View(frame.epoch, frame.chain, frame.group))
        self.proposer.proposal = None  # it was based on the previous view, whose group may have another majority
        self.reads.clear()
        self.proposer.defer()
        return self.heartbeat(now_s)

    def on_prepare(self, frame: frames.Prepare, now_s: float) -> list[Effect]:
        """Handle a proposer's request for a promise."""
        effects = self.voter.on_prepare(frame, now_s)
        if effects:
            self.proposer.defer()
        return effects

    def on_accept(self, frame: frames.Accept, now_s: float) -> list[Effect]:
        """Handle the view that a proposer sends once a majority has promised. Raises FrameError."""
        state, view = self.state, View(frame.epoch, frame.chain, frame.group, frame.number)
        if frame.epoch < self.voter.promised or self.name not in frame.chain or self.rollback.reason:
            return []
        if state.pending_view == view or (state.view is not None and state.view.epoch >= view.epoch):
            return []
        entry = None
        if frame.number:
            entry = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)
        digests = state.applied_digests()
        if frame.digests_since and frame.digests_since not in digests:
            return []  # not the disk that the promise described: digests would be missing
        digests = deduplication.merge(digests, frame.digests_since, deduplication.unpack(frame.applied_digests))
        return self.accept_view(view, entry, digests, now_s)

    def accept_view(self, view: View, entry: Entry | None, digests: dict[int, bytes], now_s: float) -> list[Effect]:
        """Write a view to disk; it takes effect once it is there."""
        self.state.pending_view = view
        self.voter.promised = max(self.voter.promised, view.epoch)
        self.state.seal()
        self.disk.write_begun(now_s)
        return [PersistView(view, entry, digests)]

    # -- completed disk writes -----------------------------------------------------------------------------

    def write_completed(self) -> None:
        """Record that a write is on disk, and the incarnation of this process with it."""
        self.disk.write_completed()
        self.rollback.write_completed()

    def promise_persisted(self, epoch: int, proposer: str, now_s: float) -> list[Effect]:
        """Handle the completion of `PersistPromise`."""
        self.write_completed()
        return self.voter.promise_persisted(epoch, proposer)

    def view_persisted(self, view: View, entry: Entry | None, digests: dict[int, bytes], now_s: float) -> list[Effect]:
        """Handle the completion of `PersistView`."""
        self.write_completed()
        state = self.state
        if state.pending_view == view:
            state.pending_view = None
        state.stored_entry, state.stored_digests = entry, digests
        state.installed_epoch = view.epoch
        self.proposer.proposal = None
        self.proposer.defer()
        self.install_view(view)
        return self.heartbeat(now_s) + self.tick(now_s)

    def entry_persisted(self, entry: Entry, now_s: float) -> list[Effect]:
        """Handle the completion of `PersistEntry`."""
        self.write_completed()
        chain = self.state.chain
        if chain is None or chain.view.epoch != entry.epoch:
            return []  # superseded by the entry of a view installed in the meantime
        return self.chain_effects(chain.entry_persisted(entry, now_s), now_s)

    def probe_disk(self, now_s: float) -> list[Effect]:
        """Start a disk probe if the disk is idle, so that staged marks are stored with it."""
        if not self.disk.is_idle():
            return []
        self.disk.write_begun(now_s)
        return [ProbeDisk()]

    def disk_probed(self, now_s: float) -> list[Effect]:
        """Handle the completion of `ProbeDisk`."""
        self.write_completed()
        return self.heartbeat(now_s)

    def write_failed(self, write: DiskWrite, now_s: float) -> list[Effect]:
        """Handle a write that the disk rejected: this machine reports a failed disk until another write succeeds."""
        self.disk.write_failed(now_s)
        if isinstance(write, PersistView) and self.state.pending_view == write.view:
            self.state.pending_view = None
        effects: list[Effect] = []
        if isinstance(write, PersistEntry) and self.state.chain is not None:
            effects += self.state.chain.persist_failed(write.entry, now_s)
        return effects + self.heartbeat(now_s)

    def on_rollback_notice(self, frame: frames.RollbackNotice, now_s: float) -> list[Effect]:
        """Handle a peer's notice that this machine had reported newer state than it does now."""
        return self.tick(now_s) if self.rollback.on_notice(frame) else []

    # -- requests ------------------------------------------------------------------------------------------

    def submit(self, frame: frames.WriteRequest, now_s: float) -> list[Effect]:
        """Handle a write request; the head decides it."""
        view, chain = self.state.view, self.state.chain
        if view is None:
            return []
        if view.head != self.ip:
            return self.forward(view.head, frame)
        if chain is None or not self.leadership.leads(now_s):
            return []
        return self.chain_effects(chain.submit(frame, now_s), now_s)

    def read(self, frame: frames.ReadRequest, now_s: float) -> list[Effect]:
        """Handle a read request; the tail answers it once a majority has confirmed that no later epoch was promised."""
        view = self.state.view
        if view is None:
            return []
        if view.tail != self.ip:
            return self.forward(view.tail, frame)
        if not self.leadership.leads(now_s):
            return []
        return self.reads.begin(frame.request_id, frame.origin, None, now_s)

    def forward(self, ip: str, frame: Forwardable) -> list[Effect]:
        """Forward a request to the responsible machine, unless it was forwarded `MAX_HOPS` times already; the node that
        received the call resends it."""
        return [SendMessage(ip, replace(frame, hops=frame.hops + 1))] if frame.hops < MAX_HOPS else []

    def on_forward_entry(self, frame: frames.ForwardEntry, now_s: float) -> list[Effect]:
        """Handle an entry that the predecessor forwards."""
        chain = self.state.chain
        return self.chain_effects(chain.on_forward(frame, now_s), now_s) if chain is not None else []

    def on_commit_notice(self, frame: frames.CommitNotice, now_s: float) -> list[Effect]:
        """Handle a commit notice from the successor."""
        chain = self.state.chain
        return self.chain_effects(chain.on_commit(frame, now_s), now_s) if chain is not None else []

    def chain_effects(self, effects: Iterable[ChainEffect], now_s: float) -> list[Effect]:
        """Translate the effects of the chain replica, and defer rejections to a quorum read: a rejection names the
        current version, and a head that was partitioned or paused may not know that there is a newer one."""
        translated: list[Effect] = []
        for effect in effects:
            if isinstance(effect, PersistEntry):
                self.disk.write_begun(now_s)
            if isinstance(effect, SendMessage) and isinstance(effect.frame, frames.WriteResult):
                translated += self.answer_write(effect.ip, effect.frame, now_s)
            else:
                translated.append(effect)
        return translated

    def answer_write(self, ip: str, result: frames.WriteResult, now_s: float) -> list[Effect]:
        """Send the result of a write; a rejection only once a majority has confirmed the epoch."""
        if result.status == INVALID and not self.checks_agree():
            return [SendMessage(ip, replace(result, status=UNAVAILABLE, text=f"for now: {result.text}"))]
        if result.status in REJECTION_STATUSES:
            return self.reads.begin(result.request_id, ip, result, now_s)
        return [SendMessage(ip, result)]

    def checks_agree(self) -> bool:
        """Whether no member is known to apply another version of the validation rules. Such a member may become the
        head and accept a delayed copy of a write that was rejected here as invalid."""
        view = self.state.view
        return view is None or all(
            self.peer_check_versions.get(ip_of(name), self.check_version) == self.check_version for name in view.group
        )

    def status(self, request_id: int, now_s: float) -> frames.ReplicaStatus:
        """The state of this machine, as shown to an operator."""
        view = self.state.view or NO_VIEW
        chain, newest = self.state.chain, self.state.newest_entry()
        flags = 0
        if chain is not None and chain.active and not chain.sealed:
            flags |= frames.VIEW_ACTIVE
        if self.disk_works(now_s):
            flags |= frames.DISK_WORKS
        if self.leadership.is_leader:
            flags |= frames.IS_ROOT
        return frames.ReplicaStatus(
            request_id,
            self.name,
            view.epoch,
            view.chain,
            view.group,
            self.voter.promised,
            newest.number if newest else 0,
            newest.revision if newest else 0,
            chain.committed if chain is not None else 0,
            flags,
        )
