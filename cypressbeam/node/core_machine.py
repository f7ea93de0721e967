"""A machine with a disk: its part in the consensus, on real sockets and a real disk.

It reads the disk at the start, gives messages and time to the replica, has the effects carried out
(effect_executor.py), and takes and leaves the lead (leader_role.py). What it says of the leader is fenced by the epoch
(docs/design/fencing.md).
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
from cypressbeam.node.effect_executor import EffectExecutor
from cypressbeam.node.leader_role import LeaderRole
from cypressbeam.protocol import configuration, frames
from cypressbeam.protocol.settings import Settings
from cypressbeam.storage.store import LoadedState, Storage, StoreError, UnsupportedFormatError
from cypressbeam.transport.peers import Link

log = logging.getLogger(__name__)

TICK_S = 0.1
#: A tail that leads while nodes have seen a higher epoch than its view's (a restored system's) proposes a view above it
#: after so long.
HIGHER_EPOCH_S = 1.0
#: A start waits so long for the disk, which is read within milliseconds; one that hangs or refuses is read later, while
#: the node serves on, and is asked again so often.
LOAD_TIMEOUT_S, LOAD_RETRY_S = 0.2, 1.0
#: What peers have reported, and the incarnation of this process, go to disk with the next write; without one, after so
#: long.
SAVE_MARKS_S = 1.0
#: A draining member asks for its replacement this often.
HAND_OVER_INTERVAL_S = 0.15
#: A spare sends the members a heartbeat this often.
SPARE_HEARTBEAT_S = 0.3
REQUEST_ID_BITS = 63


def revision_of(body: bytes) -> int:
    """The revision of a configuration. Raises ValueError for an invalid one."""
    try:
        return configuration.read(body).revision
    except configuration.InvalidConfigurationError as err:
        raise ValueError(str(err)) from None


class CoreMachine:
    """A machine with a disk. Times in seconds of the event loop's clock."""

    def __init__(
        self, settings: Settings, relay: TreeNode, send: Callable[[str, frames.Frame], None], store: Storage
    ) -> None:
        self.settings = settings
        self.tree = relay
        self.send = send
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.rng: random.Random = random.SystemRandom()
        self.tasks = BackgroundTasks()
        self.executor = EffectExecutor(self, store, send, self.tasks)
        self.leader_role = LeaderRole(settings, relay, send, lambda: self.rng, self.vouched_leader)
        self.replica: Replica | None = None
        """None while the disk is not read yet."""
        self.membership: MembershipManager | None = None
        self.replacement: ReplacementManager | None = None
        self.dispatcher: Dispatcher | None = None
        self.higher_epoch_since_s: float | None = None
        """Since when this machine would lead, but for a higher epoch that nodes have seen."""
        self.last_turn_s = self.loop.time()
        """When the replica last had its turn."""
        self.on_loaded: Callable[[], None] | None = None
        """Called when the disk has been read, where that took longer than a start may."""
        self.marks_saved_s = 0.0
        self.former_group: tuple[str, ...] = ()
        """Whom a machine that has reset its identity tells of itself."""
        self.spare_heartbeat_s = 0.0
        self.reported_rejections: set[str] = set()
        self.quorum_monitor = QuorumMonitor()
        relay.fence.on_epoch = self.on_higher_epoch
        relay.fence.vouched_leader = self.vouched_leader

    # -- start and stop ------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Read what is on disk. Raises UnsupportedFormatError; whatever else is wrong with the disk, the node
        starts."""
        task = self.tasks.spawn(self.load())
        await asyncio.wait({task}, timeout=LOAD_TIMEOUT_S)
        if task.done():
            task.result()
        self.tick()

    async def load(self, reset: bool = False) -> None:
        """Read what is on disk, again and again while it refuses. `reset`: set that aside, and begin with an empty
        disk. Raises UnsupportedFormatError."""
        began_s = self.loop.time()
        while True:
            try:
                loaded = await self.store.load(reset)
                break
            except UnsupportedFormatError as err:
                if self.loop.time() < began_s + LOAD_TIMEOUT_S:
                    raise
                log.error("disk unusable: %s; this node goes on without it", err)
                return
            except StoreError as err:
                log.error("disk read failed: %s", err)
                await asyncio.sleep(LOAD_RETRY_S)
        self.adopt(loaded)
        if self.on_loaded is not None and self.loop.time() > began_s + LOAD_TIMEOUT_S:
            self.on_loaded()

    def adopt(self, loaded: LoadedState) -> None:
        """Begin as the member whose disk this is."""
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
        if loaded.view is not None:
            log.info("view %d loaded: chain %s", loaded.view.epoch, " ".join(loaded.view.chain))
        self.executor.execute(
            replica.load(loaded.view, loaded.promised, loaded.entry, loaded.applied_digests, self.loop.time())
        )

    def reset_identity(self, reason: str) -> None:
        """Go on as another member with an empty disk, in the same process. What is on the disk is kept aside."""
        replica = self.replica
        if replica is None:
            return
        log.error("resetting identity: %s", reason)
        view = replica.state.view
        self.former_group = tuple(ip_of(name) for name in view.group) if view is not None else ()
        if self.tree.position.is_root:
            self.set_leadership(False)
        self.replica = None
        self.tree.registration.identity = ""
        self.reported_rejections = set()
        self.tasks.spawn(self.load(reset=True))

    async def hand_over(self, until_s: float) -> None:
        """Ask for a spare to take this member's place, until it has, there is none, or time is up."""
        if self.replica is not None:
            self.replica.is_draining = True
        asked = False
        while self.replica is not None and self.replacement is not None and self.loop.time() < until_s:
            change = self.replacement.departure_change(self.loop.time())
            if change is not None:
                self.request_change(change)
                asked = True
            elif not asked or not self.replacement.successors_lack_view(self.loop.time()):
                return
            await asyncio.sleep(HAND_OVER_INTERVAL_S)

    def request_change(self, change: MembershipChange) -> None:
        """Send the head a request for a change of the group, as an operator would."""
        log.info("handing over: group is to be %s", " ".join(sorted(change.steps()[-1])))
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
        """The settings file has changed."""
        self.settings = self.leader_role.settings = settings

    def close(self) -> None:
        """Ask the platform no more, and close the disk."""
        self.leader_role.close()
        self.store.close()

    # -- the leader ----------------------------------------------------------------------------------------

    @property
    def view(self) -> View | None:
        """The newest view that this machine knows of."""
        return self.replica.state.view if self.replica is not None else None

    def has_quorum_contact(self) -> bool:
        """Whether a majority of the group is in reach, and none of its members holds a later view. Without that this
        machine names no leader and sends no updates."""
        replica, view = self.replica, self.view
        if replica is None or view is None:
            return False
        detector = replica.failure_detector
        return detector.has_quorum_contact(self.loop.time()) and all(
            peer.epoch <= view.epoch for peer in detector.peers.values()
        )

    def vouched_leader(self) -> str:
        """The leader's address as this machine may name it to others: with a majority in reach, and no later view
        promised or seen, the tail of the chain, which leads as soon as the view is active; of a machine that is no
        member, what any node may name; otherwise nobody."""
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
        """An epoch counts as seen once somebody leads in it: one that is only proposed may come to nothing."""
        replica, view = self.replica, self.view
        if replica is not None and view is not None:
            self.tree.fence.learn_group(tuple(ip_of(name) for name in view.group), view.epoch)
            if replica.leadership.leads(self.loop.time()):
                self.tree.fence.observe(view.epoch)

    def on_higher_epoch(self) -> None:
        """A higher epoch was seen. The leader passes it on at once, if it is its own view's, or leads no more."""
        epoch, view = self.tree.fence.epoch, self.view
        if not self.tree.position.is_root or view is None:
            return
        if view.epoch >= epoch:
            self.tree.feed.send_heartbeat()
        else:
            log.warning("view %d superseded by epoch %d", view.epoch, epoch)
            self.set_leadership(False)

    def follow_leadership(self, replica: Replica, now_s: float) -> None:
        """Lead as long as the replica holds the lease, and no higher epoch than its view's was seen."""
        view, epoch = replica.state.view, self.tree.fence.epoch
        if view is None:
            return
        leadership, proposer = replica.leadership, replica.proposer
        fenced_off = leadership.is_leader and leadership.leads(now_s) and epoch > view.epoch
        if not fenced_off:
            self.higher_epoch_since_s = None
        elif self.higher_epoch_since_s is None:
            self.higher_epoch_since_s = now_s
        elif now_s - self.higher_epoch_since_s >= HIGHER_EPOCH_S and proposer.proposal is None:
            log.warning("view %d is below epoch %d that nodes have seen: proposing a higher one", view.epoch, epoch)
            self.higher_epoch_since_s = None
            replica.state.observe_epoch(epoch)
            self.executor.execute(proposer.propose(now_s))
        leads = leadership.is_leader and self.tree.fence.epoch <= view.epoch
        if leads is not self.tree.position.is_root:
            self.set_leadership(leads)

    def set_leadership(self, leads: bool) -> None:
        """Be the root of the distribution tree, or no more."""
        view = self.view
        assert view is not None
        if leads is self.tree.position.is_root or (leads and self.tree.fence.epoch > view.epoch):
            return
        if leads:
            self.leader_role.begin(view, self.take_list)
        else:
            self.leader_role.end()

    def publish(self, entry: Entry) -> None:
        """A configuration is committed."""
        self.tree.configuration.publish(entry.revision, entry.body)

    # -- upkeep --------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """The timer, every `TICK_S`."""
        self.loop.call_later(TICK_S, self.tick)
        self.take_turn()

    def catch_up(self) -> None:
        """Before a message, or a list, is taken: in a process that was paused what its sockets hold is read before its
        timers run, and it may lead no more."""
        if self.loop.time() - self.last_turn_s > PAUSE_THRESHOLD_S:
            self.take_turn()

    def take_turn(self) -> None:
        """Let the replica, and the leader's duties, go on with time."""
        now_s = self.last_turn_s = self.loop.time()
        if self.replica is not None and self.replacement is not None:
            self.executor.execute(self.replica.tick(now_s))
            self.executor.execute(self.replacement.tick(now_s))
            self.observe_epoch()
            self.tick_replica(now_s)
        if self.tree.position.is_root:
            self.leader_role.tick(now_s)

    def tick_replica(self, now_s: float) -> None:
        """What follows from the state of the replica."""
        if self.replica is not None:
            self.follow_leadership(self.replica, now_s)
        if self.replica is not None:
            self.save_marks(self.replica, now_s)
        if now_s > self.spare_heartbeat_s + SPARE_HEARTBEAT_S:
            self.send_spare_heartbeat()
        if self.replica is not None:
            self.watch_quorum(self.replica, now_s)

    def save_marks(self, replica: Replica, now_s: float) -> None:
        """What peers have reported goes to disk with another write, or by itself after a while. Each member that is
        rejected is logged once."""
        rollback = replica.rollback
        if not self.store.stage_marks(rollback.reported):
            self.marks_saved_s = now_s
        elif now_s > self.marks_saved_s + SAVE_MARKS_S:
            self.marks_saved_s = now_s
            self.executor.execute(replica.probe_disk(now_s))
        for name in rollback.rejected - self.reported_rejections:
            log.error("member %s rejected: disk is older than reported marks %s", name, rollback.reported.get(name))
        self.reported_rejections = set(rollback.rejected)

    def send_spare_heartbeat(self) -> None:
        """A machine that the group does not count tells its members that it is there, if it may be one. Those of the
        view that it holds hear its heartbeats anyway."""
        replica, settings = self.replica, self.settings
        if replica is None or not settings.quorum_member or self.awaits_bootstrap(replica):
            return
        now_s = self.spare_heartbeat_s = self.loop.time()
        view = replica.state.view
        group = {ip_of(name) for name in view.group} if view is not None else set()
        if settings.ip in group:
            return
        for ip in dict.fromkeys([*self.former_group, *self.tree.fence.group]):
            if ip not in group and ip != settings.ip:
                self.send(ip, replica.own_heartbeat(now_s))

    def awaits_bootstrap(self, replica: Replica) -> bool:
        """Whether this machine waits for the first view: the machine that proposes it sends it."""
        return replica.state.view is None and self.settings.bootstrap and not self.former_group

    def watch_quorum(self, replica: Replica, now_s: float) -> None:
        """Log it if a majority of the members is missing for long."""
        view, detector = replica.state.view, replica.failure_detector
        group = view.group if view is not None and replica.name in view.group else ()
        alive = {ip: peer.name for ip, peer in detector.peers.items() if detector.is_alive(ip, now_s)}
        report = self.quorum_monitor.tick(group, alive | {replica.ip: replica.name}, now_s, replica.rollback.rejected)
        if report is not None:
            log.log(report.level, "%s", report.text)

    # -- messages ------------------------------------------------------------------------------------------

    def on_message(self, frame: frames.Frame) -> None:
        """A message from another machine with a disk, or a request from any node. Raises FrameError."""
        replica, dispatcher, now_s = self.replica, self.dispatcher, self.loop.time()
        if replica is None or dispatcher is None or self.replacement is None:
            return  # the disk is not read yet
        if isinstance(frame, frames.StatusQuery):
            self.executor.execute(self.describe(frame, replica, self.replacement, now_s))
        else:
            self.executor.execute(dispatcher.dispatch(frame, now_s))

    def describe(
        self, frame: frames.StatusQuery, replica: Replica, replacement: ReplacementManager, now_s: float
    ) -> Sequence[Effect]:
        """What this machine holds and whom it hears, for an operator."""
        spares = replacement.describe(frame.request_id, now_s)
        silent = self.quorum_monitor.missing_durations() or spares.silent_members
        return [
            SendMessage(frame.origin, replace(spares, silent_members=silent)),
            SendMessage(frame.origin, replica.status(frame.request_id, now_s)),
        ]

    def on_bootstrap_request(self, link: Link, frame: frames.BootstrapRequest) -> None:
        """The first view is proposed. Only the first one is ever accepted, and it is on disk before it counts."""
        replica = self.replica
        if replica is None:
            return
        if self.settings.bootstrap:
            self.executor.execute(replica.bootstrap(View(frame.epoch, frame.chain, frame.chain), self.loop.time()))
        chain = replica.state.chain
        if chain is not None:
            link.send(frames.BootstrapAck(replica.name, chain.view.epoch, chain.view.chain))

    def on_early_join(self, link: Link, frame: frames.JoinRequest) -> None:
        """The tail leads as soon as its view is active: who has registered by then is not left to ask again."""
        if self.view is not None and self.view.members[-1:] == (self.settings.ip,):
            self.leader_role.keep_early(link, frame)

    def on_join(self, link: Link, frame: frames.JoinRequest) -> None:
        """A node registers at the leader."""
        self.leader_role.on_join(link, frame, self.view)

    def take_list(self, servers: list[Endpoint]) -> None:
        """The platform's list, at the leader."""
        self.catch_up()
        self.leader_role.take_list(servers)
