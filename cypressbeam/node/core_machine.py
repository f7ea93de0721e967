"""A core machine: runs a consensus replica on real sockets and a real disk.

It loads the state on disk at start-up, passes messages and timer ticks to the replica, has the resulting effects
executed (effect_executor.py), and takes and gives up the lead (leader_role.py). Its messages about the leader are
fenced by the epoch (docs/design/fencing.md).
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from cypressbeam.consensus.dispatch import Dispatcher
from cypressbeam.consensus.effects import Effect, SendMessage
from cypressbeam.consensus.failure_detection import PAUSE_THRESHOLD_S
from cypressbeam.consensus.membership import MembershipChange, MembershipManager
from cypressbeam.consensus.quorum_loss import QuorumMonitor
from cypressbeam.consensus.replacement import ReplacementManager
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import Entry, View, ip_of
from cypressbeam.distribution.endpoint_list import Endpoint
from cypressbeam.distribution.tree_node import TreeNode
from cypressbeam.node.background_tasks import BackgroundTasks
from cypressbeam.node.directory_replication import DirectoryReplication
from cypressbeam.node.effect_executor import EffectExecutor
from cypressbeam.node.leader_role import LeaderRole
from cypressbeam.protocol import configuration, frames
from cypressbeam.protocol.settings import Settings
from cypressbeam.storage.store import LoadedState, Storage, StoreError, UnsupportedFormatError
from cypressbeam.transport.peers import Link

log = logging.getLogger(__name__)

TICK_S = 0.1
#: If nodes have seen a higher epoch than that of the leading tail's view, as in a restored system, the tail proposes a
#: view above that epoch after this time.
HIGHER_EPOCH_TIMEOUT_S = 1.0
#: Start-up waits this long for the disk, which normally takes milliseconds. If the disk hangs or fails, the node starts
#: without it, and loading is retried at the second interval.
LOAD_TIMEOUT_S, LOAD_RETRY_S = 0.2, 1.0
#: The marks reported by peers, and the incarnation of this process, are saved with the next disk write, or on their own
#: after this time.
SAVE_MARKS_INTERVAL_S = 1.0
#: How often a draining member requests its replacement.
HAND_OVER_INTERVAL_S = 0.15
#: How often a spare sends heartbeats to the members.
SPARE_HEARTBEAT_S = 0.3
REQUEST_ID_BITS = 63


def revision_of(body: bytes) -> int:
    """Return the revision of a configuration. Raises ValueError if it is invalid."""
    try:
        return configuration.read(body).revision
    except configuration.InvalidConfigurationError as err:
        raise ValueError(str(err)) from None


class CoreMachine:
    """A machine with a replica and a disk. Times are in seconds of the event loop's clock."""

    def __init__(
        self, settings: Settings, tree: TreeNode, send: Callable[[str, frames.Frame], None], store: Storage
    ) -> None:
        self.settings = settings
        self.tree = tree
        self.send = send
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.rng: random.Random = random.SystemRandom()
        self.tasks = BackgroundTasks()
        self.executor = EffectExecutor(self, store, send, self.tasks)
        self.replication = DirectoryReplication(tree, send)
        self.leader_role = LeaderRole(settings, tree, send, lambda: self.rng, self.vouched_leader, self.replication)
        self.bootstrap_seeds: tuple[str, ...] = ()
        """The seeds of the system's first start, if the disk has been in use since then."""
        self.replica: Replica | None = None
        """None until the disk state is loaded, and while it is being replaced by an empty one."""
        self.membership: MembershipManager | None = None
        self.replacement: ReplacementManager | None = None
        self.dispatcher: Dispatcher | None = None
        self.higher_epoch_since_s: float | None = None
        """Time since which only a higher epoch seen by nodes has kept this machine from leading."""
        self.last_advance_s = self.loop.time()
        """Time of the last timer tick of the replica."""
        self.on_loaded: Callable[[], None] | None = None
        """Called once the disk state is loaded, if that took longer than `LOAD_TIMEOUT_S`."""
        self.marks_saved_s = 0.0
        self.previous_group: tuple[str, ...] = ()
        """Addresses of the group before this machine reset its identity; they receive its spare heartbeats."""
        self.last_spare_heartbeat_s = 0.0
        self.reported_rejections: set[str] = set()
        self.quorum_monitor = QuorumMonitor()
        tree.fence.on_epoch = self.on_higher_epoch
        tree.fence.vouched_leader = self.vouched_leader

    # -- start and stop ------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Load the state on disk. Raises UnsupportedFormatError; with any other disk error the node starts without
        it."""
        task = self.tasks.spawn(self.load())
        await asyncio.wait({task}, timeout=LOAD_TIMEOUT_S)
        if task.done():
            task.result()
        self.tick()

    async def load(self, reset: bool = False) -> None:
        """Load the state on disk, retrying until it succeeds. With `reset`, the existing state is set aside and
        replaced by an empty one. Raises UnsupportedFormatError if the format is rejected within `LOAD_TIMEOUT_S`."""
        started_s = self.loop.time()
        while True:
            try:
                loaded = await self.store.load(reset)
                break
            except UnsupportedFormatError as err:
                if self.loop.time() < started_s + LOAD_TIMEOUT_S:
                    raise
                log.error("disk unusable: %s; continuing without it", err)
                return
            except StoreError as err:
                log.error("disk read failed: %s", err)
                await asyncio.sleep(LOAD_RETRY_S)
        self.apply_loaded_state(loaded)
        if self.on_loaded is not None and self.loop.time() > started_s + LOAD_TIMEOUT_S:
            self.on_loaded()

    def apply_loaded_state(self, loaded: LoadedState) -> None:
        """Create the replica of the member whose state was loaded."""
        settings = self.settings
        name = f"{settings.ip}/{loaded.identity}"
        self.tree.registration.identity = name
        replica = Replica(name, settings.machine_losses + 1, revision_of, configuration.digest, self.rng.random)
        replica.check_version = configuration.CHECK_VERSION
        self.replica = replica
        self.membership = MembershipManager(replica, settings.machine_losses)
        self.replacement = ReplacementManager(self.membership, settings.replace_after_s)
        self.dispatcher = Dispatcher(replica)
        self.dispatcher.add_membership(self.membership, self.replacement)
        replica.restore_marks(loaded.durable_marks, loaded.pending_marks, loaded.reported_marks)
        self.marks_saved_s = self.loop.time()
        self.replication.directory.add(loaded.node_addresses, self.loop.time())
        self.set_bootstrap_seeds(loaded.bootstrap_seeds)
        if loaded.view is not None:
            log.info("view %d loaded: chain %s", loaded.view.epoch, " ".join(loaded.view.chain))
        self.executor.execute(
            replica.load(loaded.view, loaded.promised, loaded.entry, loaded.applied_digests, self.loop.time())
        )

    def set_bootstrap_seeds(self, seeds: tuple[str, ...]) -> None:
        """Record whether this machine takes part in the bootstrap, which its registrations tell."""
        self.bootstrap_seeds = seeds
        registration = self.tree.registration
        takes_part = seeds and self.settings.quorum_member
        registration.flags &= ~frames.MAY_BOOTSTRAP
        registration.flags |= frames.MAY_BOOTSTRAP if takes_part else 0

    def stored_view(self) -> View | None:
        """Return the view on disk whose chain includes this machine."""
        chain = self.replica.state.chain if self.replica is not None else None
        return chain.view if chain is not None else None

    def reset_identity(self, reason: str) -> None:
        """Continue as a new member with an empty disk in the same process. The old state on disk is set aside."""
        replica = self.replica
        if replica is None:
            return
        log.error("resetting identity: %s", reason)
        view = replica.state.view
        self.previous_group = tuple(ip_of(name) for name in view.group) if view is not None else ()
        if self.tree.position.is_root:
            self.set_leadership(False)
        self.replica = None
        self.set_bootstrap_seeds(())
        self.tree.registration.identity = ""
        self.reported_rejections = set()
        self.tasks.spawn(self.load(reset=True))

    async def hand_over(self, until_s: float) -> None:
        """Request that a spare replaces this member, until it has, no spare exists, or `until_s` is reached."""
        if self.replica is not None:
            self.replica.is_draining = True
        requested = False
        while self.replica is not None and self.replacement is not None and self.loop.time() < until_s:
            change = self.replacement.departure_change(self.loop.time())
            if change is not None:
                self.request_change(change)
                requested = True
            elif not requested or not self.replacement.successors_lack_view(self.loop.time()):
                return
            await asyncio.sleep(HAND_OVER_INTERVAL_S)

    def request_change(self, change: MembershipChange) -> None:
        """Send a membership change request to the head, as an operator would."""
        log.info("handing over: requesting group %s", " ".join(sorted(change.steps()[-1])))
        self.on_message(
            frames.MembershipChangeRequest(
                self.rng.getrandbits(REQUEST_ID_BITS),
                self.settings.ip,
                change.kind,
                change.old,
                change.new,
                tuple(sorted(change.base)),
            )
        )

    def take_settings(self, settings: Settings) -> None:
        """Apply the reloaded settings."""
        self.settings = settings
        self.leader_role.take_settings(settings)
        if self.replica is not None and self.membership is not None and self.replacement is not None:
            self.replica.state.min_copies = settings.machine_losses + 1
            self.membership.tolerated_losses = settings.machine_losses
            self.replacement.replace_after_s = settings.replace_after_s

    def close(self) -> None:
        """Stop polling the platform, and close the disk."""
        self.leader_role.close()
        self.store.close()

    # -- the leader ----------------------------------------------------------------------------------------

    @property
    def view(self) -> View | None:
        """The newest view that this machine knows."""
        return self.replica.state.view if self.replica is not None else None

    def has_quorum_contact(self) -> bool:
        """Return whether a majority of the group is reachable and no member has a later view. Otherwise this machine
        names no leader and sends no updates."""
        replica, view = self.replica, self.view
        if replica is None or view is None:
            return False
        detector = replica.failure_detector
        return detector.has_quorum_contact(self.loop.time()) and all(
            peer.epoch <= view.epoch for peer in detector.peers.values()
        )

    def vouched_leader(self) -> str:
        """Return the address of the leader if this machine may name it to others, otherwise an empty text.

        A member names the tail of the chain if it reaches a majority and has neither promised nor seen a later view;
        the tail leads as soon as the view is active. A machine outside the group follows the rules of other nodes.
        """
        replica, view = self.replica, self.view
        if replica is None or view is None or replica.name not in view.group:
            return self.tree.position.known_leader()
        if not self.has_quorum_contact():
            return ""
        self.observe_epoch()
        if self.tree.position.is_root:
            return self.settings.ip
        highest_epoch = max(replica.voter.promised, self.tree.fence.epoch)
        return view.tail if highest_epoch <= view.epoch else ""

    def observe_epoch(self) -> None:
        """Record the epoch as seen once a machine leads in it. An epoch that is only proposed may never take effect."""
        replica, view = self.replica, self.view
        if replica is not None and view is not None:
            self.tree.fence.learn_group(tuple(ip_of(name) for name in view.group), view.epoch)
            if replica.leadership.leads(self.loop.time()):
                self.tree.fence.observe(view.epoch)

    def on_higher_epoch(self) -> None:
        """Handle a higher epoch. A leader whose own view has it sends a heartbeat immediately; any other resigns."""
        epoch, view = self.tree.fence.epoch, self.view
        if not self.tree.position.is_root or view is None:
            return
        if view.epoch >= epoch:
            self.tree.feed.send_heartbeat()
        else:
            log.warning("view %d superseded by epoch %d", view.epoch, epoch)
            self.set_leadership(False)

    def follow_leadership(self, replica: Replica, now_s: float) -> None:
        """Lead while the replica holds the lease and no higher epoch than that of its view was seen."""
        view, epoch = replica.state.view, self.tree.fence.epoch
        if view is None:
            return
        leadership, proposer = replica.leadership, replica.proposer
        is_fenced = leadership.is_leader and leadership.leads(now_s) and epoch > view.epoch
        if not is_fenced:
            self.higher_epoch_since_s = None
        elif self.higher_epoch_since_s is None:
            self.higher_epoch_since_s = now_s
        elif now_s - self.higher_epoch_since_s >= HIGHER_EPOCH_TIMEOUT_S and proposer.proposal is None:
            log.warning("view %d is below epoch %d seen by nodes: proposing a higher one", view.epoch, epoch)
            self.higher_epoch_since_s = None
            replica.state.observe_epoch(epoch)
            self.executor.execute(proposer.propose(now_s))
        leads = leadership.is_leader and self.tree.fence.epoch <= view.epoch
        if leads is not self.tree.position.is_root:
            self.set_leadership(leads)

    def set_leadership(self, leads: bool) -> None:
        """Become the root of the distribution tree, or resign."""
        view = self.view
        assert view is not None
        if leads is self.tree.position.is_root or (leads and self.tree.fence.epoch > view.epoch):
            return
        if leads:
            self.leader_role.begin(view, self.update_endpoints)
        else:
            self.leader_role.end()

    def publish(self, entry: Entry) -> None:
        """Distribute a committed configuration."""
        self.tree.configuration.publish(entry.revision, entry.body)

    # -- timers --------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Timer callback, every `TICK_S`."""
        self.loop.call_later(TICK_S, self.tick)
        self.advance()

    def advance_after_pause(self) -> None:
        """Run the overdue timer tick, if the process was paused, before a message or list is handled.

        After a pause the event loop reads sockets before it runs timers, while this machine may have lost the lead.
        """
        if self.loop.time() - self.last_advance_s > PAUSE_THRESHOLD_S:
            self.advance()

    def advance(self) -> None:
        """Run the timer tick of the replica and of the leader role."""
        now_s = self.last_advance_s = self.loop.time()
        if self.replica is not None and self.replacement is not None:
            self.executor.execute(self.replica.tick(now_s))
            self.executor.execute(self.replacement.tick(now_s))
            self.observe_epoch()
            self.tick_replica(now_s)
        if self.tree.position.is_root:
            self.leader_role.tick(now_s)

    def tick_replica(self, now_s: float) -> None:
        """Act on the state of the replica after its tick."""
        if self.replica is not None:
            self.follow_leadership(self.replica, now_s)
        if self.replica is not None:
            self.save_marks(self.replica, now_s)
        if now_s > self.last_spare_heartbeat_s + SPARE_HEARTBEAT_S:
            self.send_spare_heartbeat()
        if self.replica is not None:
            self.watch_quorum(self.replica, now_s)

    def save_marks(self, replica: Replica, now_s: float) -> None:
        """Save the marks reported by peers, and the node directory, with the next disk write, or on their own after
        `SAVE_MARKS_INTERVAL_S`. Each rejected member is logged once."""
        rollback = replica.rollback
        marks_changed = self.store.stage_marks(rollback.reported)
        directory_changed = self.store.stage_addresses(self.replication.directory.addresses())
        if not (marks_changed or directory_changed):
            self.marks_saved_s = now_s
        elif now_s > self.marks_saved_s + SAVE_MARKS_INTERVAL_S:
            self.marks_saved_s = now_s
            self.executor.execute(replica.probe_disk(now_s))
        for name in rollback.rejected - self.reported_rejections:
            log.error("member %s rejected: disk is older than reported marks %s", name, rollback.reported.get(name))
        self.reported_rejections = set(rollback.rejected)

    def send_spare_heartbeat(self) -> None:
        """Announce this machine as a spare to the members, if it is outside the group and may become a member. Members
        of the view that it holds receive the replica's heartbeats anyway."""
        replica, settings = self.replica, self.settings
        if replica is None or not settings.quorum_member or self.awaits_bootstrap(replica):
            return
        now_s = self.last_spare_heartbeat_s = self.loop.time()
        view = replica.state.view
        group = {ip_of(name) for name in view.group} if view is not None else set()
        if settings.ip in group:
            return
        for ip in dict.fromkeys([*self.previous_group, *self.tree.fence.group]):
            if ip not in group and ip != settings.ip:
                self.send(ip, replica.own_heartbeat(now_s))

    def awaits_bootstrap(self, replica: Replica) -> bool:
        """Return whether this machine waits for the first view, which the bootstrapping machine sends."""
        return replica.state.view is None and bool(self.bootstrap_seeds) and not self.previous_group

    def watch_quorum(self, replica: Replica, now_s: float) -> None:
        """Log if a majority of the members is missing for long."""
        view, detector = replica.state.view, replica.failure_detector
        group = view.group if view is not None and replica.name in view.group else ()
        alive = {ip: peer.name for ip, peer in detector.peers.items() if detector.is_alive(ip, now_s)}
        report = self.quorum_monitor.tick(group, alive | {replica.ip: replica.name}, now_s, replica.rollback.rejected)
        if report is not None:
            log.log(report.level, "%s", report.text)

    # -- messages ------------------------------------------------------------------------------------------

    def on_message(self, frame: frames.Frame) -> None:
        """Handle a message from another core machine, or a request from any node. Raises FrameError."""
        replica, dispatcher, now_s = self.replica, self.dispatcher, self.loop.time()
        if replica is None or dispatcher is None or self.replacement is None:
            return  # the disk state is not loaded yet
        if isinstance(frame, frames.StatusQuery):
            self.executor.execute(self.status_messages(frame, replica, self.replacement, now_s))
        else:
            self.executor.execute(dispatcher.dispatch(frame, now_s))

    def status_messages(
        self, frame: frames.StatusQuery, replica: Replica, replacement: ReplacementManager, now_s: float
    ) -> Sequence[Effect]:
        """Return the messages that answer a status query: the spares, from a leader the polls of the platform, and the
        status of this replica."""
        spares = replacement.describe(frame.request_id, now_s)
        silent = self.quorum_monitor.missing_durations() or spares.silent_members
        polls = self.leader_role.describe_polls(frame.request_id)
        return [
            *([SendMessage(frame.origin, polls)] if polls is not None else []),
            SendMessage(frame.origin, replace(spares, silent_members=silent)),
            SendMessage(frame.origin, replica.status(frame.request_id, now_s)),
        ]

    def on_directory_update(self, link: Link, frame: frames.NodeDirectoryUpdate) -> None:
        """Handle node addresses from the leader, or at the leader from a member."""
        self.replication.on_update(link, frame, self.loop.time())

    def on_link_lost(self, link: Link) -> None:
        """The connection to a node was lost: if it has restarted, it may not find the leader by itself."""
        if self.tree.position.is_root:
            self.replication.directory.note_lost(link.ip, self.loop.time())

    def on_bootstrap_request(self, link: Link, frame: frames.BootstrapRequest) -> None:
        """Handle a proposal of the first view. Only the first is ever accepted, and it counts once it is on disk. The
        view names this machine with the identity of its disk, so a machine whose disk was replaced accepts none that
        its former disk was part of."""
        if self.replica is not None:
            view = View(frame.epoch, frame.chain, frame.chain)
            self.executor.execute(self.replica.bootstrap(view, self.loop.time()))
            self.acknowledge_bootstrap(link)

    def on_bootstrap_prepare(self, link: Link, frame: frames.BootstrapPrepare) -> None:
        """Handle the request of a seed that takes over the bootstrap."""
        if self.replica is not None:
            self.executor.execute(self.replica.prepare_bootstrap(frame.epoch, link.ip, self.loop.time()))
            self.acknowledge_bootstrap(link)

    def acknowledge_bootstrap(self, link: Link) -> None:
        """Tell the arbiter of the bootstrap which view is on disk, if there is one."""
        view = self.stored_view()
        if self.replica is not None and view is not None:
            link.send(frames.BootstrapAck(self.replica.name, view.epoch, view.chain))

    def on_early_join(self, link: Link, frame: frames.JoinRequest) -> None:
        """Store a registration at the tail until it leads in its active view, so that the node need not resend it."""
        if self.view is not None and self.view.members[-1:] == (self.settings.ip,):
            self.leader_role.hold_registration(link, frame)

    def on_join(self, link: Link, frame: frames.JoinRequest) -> None:
        """Handle the registration of a node at the leader."""
        self.leader_role.on_join(link, frame, self.view)

    def update_endpoints(self, servers: list[Endpoint]) -> None:
        """Handle the platform's endpoint list at the leader."""
        self.advance_after_pause()
        self.leader_role.update_endpoints(servers)
