"""What a machine with a disk does beside the others: its member of the chain, the store, and, at the tail, the
roster and the polling of the platform's list."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from typing import Any

from cypressbeam.consensus.chain import PersistEntry, Publish, SendMessage, View, ip_of
from cypressbeam.consensus.dispatch import dispatch
from cypressbeam.consensus.membership import MembershipChange, MembershipManager
from cypressbeam.consensus.quorum_loss import QuorumMonitor
from cypressbeam.consensus.replacement import ReplacementManager
from cypressbeam.consensus.replica import (
    DEAD_S,
    STOOD_STILL_S,
    Action,
    Keeper,
    Lead,
    SavePromise,
    SaveView,
    StartAnew,
    TryDisk,
)
from cypressbeam.distribution.endpoint_list import Server
from cypressbeam.distribution.node_registry import RENEW_S, Roster
from cypressbeam.distribution.relay import Relay
from cypressbeam.node.endpoint_poller import Poller
from cypressbeam.protocol import configuration, frames
from cypressbeam.protocol.settings import Settings
from cypressbeam.storage.store import FormatError, Loaded, Storage, StoreError, TornError
from cypressbeam.transport.peers import Link

log = logging.getLogger(__name__)

TICK_S = 0.1
#: A root that is new knows only those that have joined since; it tells no number of them before.
COUNTING_S = 5.0
#: The root tells seeds that have not joined of itself this often.
INTRODUCE_S = 0.5
#: A node that is late with its join by so much, and is not heard by its watchers, is gone.
SUSPECT_S = 1.0
#: A tail that leads while nodes have seen a higher epoch than its view's (a restored system's) makes a view above it.
ABOVE_S = 1.0
#: Joins that came so long before this machine leads are answered then; whoever sent an older one has asked again.
EARLY_S = 2.0
#: A start waits so long for the disk, which is read within milliseconds; one that hangs or refuses is read later, while
#: the node serves on, and is asked again so often.
LOAD_S, LOAD_AGAIN_S = 0.2, 1.0
#: What others have told, and the number of this start, go to disk with the next write; without one, after so long.
NOTE_S = 1.0
#: A member that is told to stop asks for its replacement this often.
HAND_OVER_AGAIN_S = 0.15
#: A machine that is no member tells the core of itself this often.
GREET_S = 0.3


def revision_of(body: bytes) -> int:
    """Raises ValueError for an invalid configuration."""
    try:
        return configuration.read(body).revision
    except configuration.Invalid as err:
        raise ValueError(str(err)) from None


class Core:
    """A machine with a disk: its part in the core on real sockets and a real disk."""

    def __init__(
        self, settings: Settings, relay: Relay, send: Callable[[str, frames.Frame], None], store: Storage
    ) -> None:
        self.settings = settings
        self.relay = relay
        self.send = send
        self.loop = asyncio.get_running_loop()
        self.store = store
        self.chance: random.Random = random.SystemRandom()
        self.keeper: Keeper | None = None
        self.members: MembershipManager | None = None
        self.replacement: ReplacementManager | None = None
        self.roster = Roster(settings.node)
        self.rooted_s = self.introduced_s = 0.0
        self.above_since_s: float | None = None
        self.went_on_s = self.loop.time()
        """When the rules last had their turn."""
        self.poller: asyncio.Task[None] | None = None
        self.early: dict[str, tuple[Link, frames.JoinRequest, float]] = {}
        """Joins that came while this machine was about to be the root, and when."""
        self.tasks: set[asyncio.Task[Any]] = set()
        relay.on_epoch = self.on_epoch
        relay.vouched = self.vouched
        self.on_loaded: Callable[[], None] | None = None
        """Called when the disk has been read, where that took longer than a start may."""
        self.noted_s = 0.0
        self.known: tuple[str, ...] = ()
        """Whom a machine that started anew tells of itself."""
        self.greeted_s = 0.0
        self.refused: set[str] = set()
        self.quorum = QuorumMonitor()

    # -- start ---------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Read what is on disk. Raises FormatError; whatever else is wrong with the disk, the node starts."""
        task = self.spawn(self.load())
        await asyncio.wait({task}, timeout=LOAD_S)
        if task.done():
            task.result()
        self.tick()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def load(self, anew: bool = False) -> None:
        """Read what is on disk, again and again while it refuses. Raises FormatError."""
        began_s = self.loop.time()
        while True:
            try:
                loaded = await self.store.load(anew)
                break
            except FormatError as err:
                if self.loop.time() < began_s + LOAD_S:
                    raise
                log.error("the disk: %s; this node goes on without it", err)
                return
            except StoreError as err:
                log.error("the disk: %s", err)
                await asyncio.sleep(LOAD_AGAIN_S)
        self.take_up(loaded)
        if self.on_loaded is not None and self.loop.time() > began_s + LOAD_S:
            self.on_loaded()

    def take_up(self, loaded: Loaded) -> None:
        name = f"{self.settings.ip}/{loaded.identity}"
        self.relay.identity = name
        self.keeper = Keeper(
            name, self.settings.machine_losses + 1, revision_of, configuration.digest, self.chance.random
        )
        self.keeper.checks = configuration.CHECKS
        self.members = MembershipManager(self.keeper, self.settings.machine_losses)
        self.replacement = ReplacementManager(self.members, self.settings.replace_after_s)
        self.keeper.remember(loaded.own, loaded.raised, loaded.marks)
        self.noted_s = self.loop.time()
        if loaded.view is not None:
            log.info("view %d: %s", loaded.view.epoch, " ".join(loaded.view.chain))
        self.carry_out(self.keeper.load(loaded.view, loaded.promised, loaded.last, loaded.taken, self.loop.time()))

    def start_anew(self, why: str) -> None:
        """Go on as another machine with an empty disk, in the same process. What is on the disk is kept aside."""
        keeper = self.keeper
        if keeper is None:
            return
        log.error("%s; it starts anew", why)
        self.known = tuple(ip_of(name) for name in keeper.view.group) if keeper.view is not None else ()
        if self.relay.is_root:
            self.lead(False)
        self.keeper = None
        self.relay.identity = ""
        self.refused = set()
        self.spawn(self.load(anew=True))

    @property
    def view(self) -> View | None:
        return self.keeper.view if self.keeper is not None else None

    # -- who leads -----------------------------------------------------------------------------------------

    def contact(self) -> bool:
        """Whether a majority of the group is heard, and none of it holds a later view. Without that this machine names
        no root and hands out no news."""
        keeper, view, now_s = self.keeper, self.view, self.loop.time()
        return (
            keeper is not None
            and view is not None
            and now_s - keeper.contact_s(now_s) <= DEAD_S
            and all(heard.epoch <= view.epoch for heard in keeper.heard.values())
        )

    def vouched(self) -> str:
        """The root as this machine may name it to others: with a majority in reach, and no later view promised or
        seen, the last of the chain, which is the root as soon as the view is active; without a part in the group
        whoever feeds it; otherwise nobody."""
        keeper, view = self.keeper, self.view
        if keeper is None or view is None or keeper.name not in view.group:
            return self.relay.named()
        if not self.contact():
            return ""
        self.note_epoch()
        if self.relay.is_root:
            return self.settings.ip
        return view.members[-1] if max(keeper.promised, self.relay.epoch) <= view.epoch else ""

    def note_epoch(self) -> None:
        """An epoch counts as seen once somebody leads in it: one that is only proposed may come to nothing."""
        keeper, view = self.keeper, self.view
        if keeper is not None and view is not None:
            self.relay.learn(tuple(ip_of(name) for name in view.group), view.epoch)
            if keeper.leads(self.loop.time()):
                self.relay.see(view.epoch)

    def on_epoch(self) -> None:
        """A higher epoch was seen. The root carries it on at once, if it is its own view's, or leads no more."""
        if not self.relay.is_root or self.view is None:
            return
        if self.view.epoch >= self.relay.epoch:
            self.relay.tell_beat()
        else:
            log.warning("view %d is over: somebody leads in epoch %d", self.view.epoch, self.relay.epoch)
            self.lead(False)

    def follow(self, now_s: float) -> None:
        """Be the root as long as the keeper says so, and no higher epoch than its view's was seen."""
        keeper, view = self.keeper, self.view
        if keeper is None or view is None:
            return
        above = keeper.root and keeper.leads(now_s) and self.relay.epoch > view.epoch
        if not above:
            self.above_since_s = None
        elif self.above_since_s is None:
            self.above_since_s = now_s
        elif now_s - self.above_since_s >= ABOVE_S and keeper.proposal is None:
            log.warning(
                "view %d is below epoch %d, which nodes have seen: a higher one is proposed",
                view.epoch,
                self.relay.epoch,
            )
            self.above_since_s = None
            keeper.seen_epoch = max(keeper.seen_epoch, self.relay.epoch)
            self.carry_out(keeper.propose(now_s))
        root = keeper.root and self.relay.epoch <= view.epoch
        if root is not self.relay.is_root:
            self.lead(root)

    def lead(self, root: bool) -> None:
        """Be the root of the relays, with the roster and the polling of the list, or no more."""
        assert self.view is not None
        if root is self.relay.is_root or (root and self.relay.epoch > self.view.epoch):
            return
        if not root:
            log.warning("the root of the relays no more")
            self.relay.resign()
            if self.poller is not None:
                self.poller.cancel()
                self.poller = None
            return
        log.info("the root of the relays")
        self.rooted_s = self.loop.time()
        self.relay.become_root(self.chance.getrandbits(63) | 1, self.view.epoch)
        self.roster = Roster(self.settings.node)
        self.roster.join(
            frames.JoinRequest(
                self.settings.node,
                self.settings.ip,
                self.settings.zone,
                self.relay.flags,
                1,
                "",
                kbps=max(int(self.settings.link_mbps * 1000), 1),
            ),
            self.rooted_s,
        )
        if self.settings.platform is not None:
            self.poller = self.loop.create_task(Poller(self.settings.platform, self.take_list, self.chance).run())
        early, self.early = self.early, {}
        for link, join, came_s in early.values():
            if not link.closed and self.rooted_s - came_s <= EARLY_S:
                self.on_join(link, join)

    def on_found(self, link: Link, frame: frames.BootstrapRequest) -> None:
        """The founding view is proposed. Only the first one is ever taken up, and it is on disk before it counts."""
        keeper = self.keeper
        if keeper is None:
            return
        if self.settings.bootstrap:
            self.carry_out(keeper.found(View(frame.epoch, frame.chain, frame.chain), self.loop.time()))
        if keeper.member is not None:
            link.send(frames.BootstrapAck(keeper.name, keeper.member.view.epoch, keeper.member.view.chain))

    def greet(self) -> None:
        """A machine that the group does not count tells its members that it is there, if it may be one. Those of the
        view that it holds hear its heartbeats anyway."""
        keeper, settings = self.keeper, self.settings
        if keeper is None or not settings.quorum_member or self.is_founding(keeper):
            return
        now_s = self.greeted_s = self.loop.time()
        group = {ip_of(name) for name in keeper.view.group} if keeper.view is not None else set()
        if settings.ip in group:
            return
        for ip in dict.fromkeys([*self.known, *self.relay.group]):
            if ip not in group and ip != settings.ip:
                self.send(ip, keeper.own_pulse(now_s))

    def is_founding(self, keeper: Keeper) -> bool:
        """Whether this machine waits for the founding view: it is told of that by the founder."""
        return keeper.view is None and self.settings.bootstrap and not self.known

    def keep_notes(self, keeper: Keeper, now_s: float) -> None:
        """What others have told goes to disk with another write, or by itself after a while. What is refused is said
        once."""
        if not self.store.note(keeper.marks):
            self.noted_s = now_s
        elif now_s > self.noted_s + NOTE_S:
            self.noted_s = now_s
            self.carry_out(keeper.try_disk(now_s))
        for name in keeper.refused - self.refused:
            log.error("%s is refused: it has told %s, and tells less now", name, keeper.marks.get(name))
        self.refused = set(keeper.refused)

    # -- stop ----------------------------------------------------------------------------------------------

    async def hand_over(self, until_s: float) -> None:
        """Ask for a spare to take this member's place, until it has, there is none, or time is up."""
        if self.keeper is not None:
            self.keeper.leaving = True
        asked = False
        while self.keeper is not None and self.replacement is not None and self.loop.time() < until_s:
            change = self.replacement.departure_change(self.loop.time())
            if change is not None:
                self.ask_for(change)
                asked = True
            elif not asked or not self.replacement.successors_lack_view(self.loop.time()):
                return
            await asyncio.sleep(HAND_OVER_AGAIN_S)

    def ask_for(self, change: MembershipChange) -> None:
        """Send the head an order for a change of the group, as an operator would."""
        log.info("this machine leaves; the group is to be %s", " ".join(sorted(change.steps()[-1])))
        self.on_core(
            frames.MembershipChangeRequest(
                self.chance.getrandbits(63),
                self.settings.ip,
                change.kind,
                change.old,
                change.new,
                tuple(sorted(change.base)),
            )
        )

    # -- upkeep --------------------------------------------------------------------------------------------

    def tick(self) -> None:
        self.loop.call_later(TICK_S, self.tick)
        self.go_on()

    def catch_up(self) -> None:
        """Before a frame, or a list, is taken: in a process that stood still what its sockets hold is read before its
        timers run, and it may be the root no more."""
        if self.loop.time() - self.went_on_s > STOOD_STILL_S:
            self.go_on()

    def go_on(self) -> None:
        now_s = self.went_on_s = self.loop.time()
        if self.keeper is not None and self.replacement is not None:
            self.carry_out(self.keeper.tick(now_s))
            self.carry_out(self.replacement.tick(now_s))
            self.note_epoch()
            self.follow(now_s)
            self.keep_notes(self.keeper, now_s)
            if now_s > self.greeted_s + GREET_S:
                self.greet()
            self.watch_quorum(self.keeper, now_s)
        if self.relay.is_root:
            self.roster.nodes[self.settings.node].seen_s = now_s
            for name in self.roster.expire(now_s):
                log.warning("node %s has not joined for long", name)
            self.relay.fronts = self.fronts()
            if now_s >= self.introduced_s + INTRODUCE_S:
                self.introduce(now_s)

    def watch_quorum(self, keeper: Keeper, now_s: float) -> None:
        """Say so if a majority of the members is missing for long."""
        group = keeper.view.group if keeper.view is not None and keeper.name in keeper.view.group else ()
        heard = {ip: one.name for ip, one in keeper.heard.items() if keeper.heard_lately(ip, now_s)}
        said = self.quorum.tick(group, heard | {keeper.ip: keeper.name}, now_s, keeper.refused)
        if said is not None:
            log.log(said.level, "%s", said.text)

    def introduce(self, now_s: float) -> None:
        """Tell the seeds who is the root, as far as they have not joined. After a loss of all power the seeds may be
        machines that know nobody, and all others ask them."""
        self.introduced_s = now_s
        if not self.vouched():
            return
        known = {node.ip for node in self.roster.nodes.values()}
        for ip, _ in self.settings.seeds:
            if ip not in known:
                self.send(ip, self.relay.refer())

    def fronts(self) -> int:
        """How many nodes carry traffic; 0 while this is not known yet."""
        return self.roster.fronts() if self.loop.time() - self.rooted_s >= COUNTING_S else 0

    def close(self) -> None:
        if self.poller is not None:
            self.poller.cancel()
        self.store.close()

    # -- what the rules want done --------------------------------------------------------------------------

    def carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self.send(action.ip, action.frame)
            elif isinstance(action, Publish):
                self.relay.publish(action.entry.revision, action.entry.body)
            elif isinstance(action, Lead):
                self.lead(action.root)
            elif isinstance(action, StartAnew):
                self.start_anew(action.why)
            else:
                self.spawn(self.write(action))

    async def write(self, action: PersistEntry | SavePromise | SaveView | TryDisk) -> None:
        keeper = self.keeper
        if keeper is None:
            return  # what was to be written belongs to a disk that was set aside
        self.store.note(keeper.marks)
        try:
            if isinstance(action, PersistEntry):
                await self.store.save_entry(action.entry)
                done = keeper.synced(action.entry, self.loop.time())
            elif isinstance(action, SavePromise):
                await self.store.save_promise(action.epoch)
                done = keeper.promise_saved(action.epoch, action.proposer, self.loop.time())
            elif isinstance(action, SaveView):
                await self.store.save_view(action.view, action.entry, action.taken)
                log.info("view %d: %s", action.view.epoch, " ".join(action.view.chain))
                done = keeper.view_saved(action.view, action.entry, action.taken, self.loop.time())
            else:
                await self.store.try_disk()
                done = keeper.disk_tried(self.loop.time())
        except TornError as err:
            if keeper is self.keeper:
                self.start_anew(str(err))
            return
        except StoreError as err:
            log.error("the disk: %s", err)
            done = keeper.write_failed(action, self.loop.time())
        if keeper is self.keeper:
            self.carry_out(done)

    def on_core(self, frame: frames.Frame) -> None:
        """A frame from another machine of the core, or an order or a read from any node."""
        keeper, members, now_s = self.keeper, self.members, self.loop.time()
        if keeper is None or members is None or self.replacement is None:
            return  # the disk is not read yet
        if isinstance(frame, frames.StatusQuery):
            self.carry_out(self.describe(frame, keeper, self.replacement, now_s))
        else:
            self.carry_out(dispatch(frame, keeper, members, self.replacement, now_s))

    def describe(
        self, frame: frames.StatusQuery, keeper: Keeper, replacement: ReplacementManager, now_s: float
    ) -> list[Action]:
        """What this machine holds and whom it hears, for an operator."""
        spares = replacement.describe(frame.request_id, now_s)
        silent = self.quorum.silences() or spares.silent_members
        return [
            SendMessage(frame.origin, replace(spares, silent_members=silent)),
            SendMessage(frame.origin, keeper.state(frame.request_id, now_s)),
        ]

    # -- the roster and the list, at the root --------------------------------------------------------------

    def on_early_join(self, link: Link, frame: frames.JoinRequest) -> None:
        """The last of the chain is the root as soon as it leads: who has asked by then is not left to ask again."""
        if self.view is not None and self.view.members[-1:] == (self.settings.ip,):
            self.early[frame.name] = link, frame, self.loop.time()

    def on_join(self, link: Link, frame: frames.JoinRequest) -> None:
        """A node asks the root for its place. One that leads no more, or can't tell, says so."""
        if not self.relay.is_root or not self.vouched():
            link.send(self.relay.refer())
            return
        if frame.name not in self.roster.nodes:
            log.info("node %s at %s joins", frame.name, frame.ip)
        self.roster.join(frame, self.loop.time(), self.relay.epoch)
        assert self.view is not None
        link.send(
            self.roster.place(
                frame.name, self.relay.epoch, self.view.members, self.settings.ip, self.fronts(), self.relay.group
            )
        )

    def on_suspect(self, name: str) -> None:
        """A watcher does not hear it. Where a link is full its datagrams are lost, so that alone says little: a node
        that has joined again since it would have been missed is there."""
        known = self.roster.nodes.get(name)
        if known is not None and self.loop.time() - known.seen_s > RENEW_S + SUSPECT_S:
            self.on_gone(name, "does not answer")

    def on_gone(self, name: str, why: str) -> None:
        if name != self.settings.node and name in self.roster.nodes:
            log.info("node %s %s", name, why)
            self.roster.drop(name)

    def take_list(self, servers: list[Server]) -> None:
        self.catch_up()
        if not self.vouched():
            return  # whoever leads by now asks the platform too
        changes = self.relay.listing.poll(servers) if self.relay.is_root else None
        if changes is not None:
            self.relay.tell(replace(changes, epoch=self.relay.epoch))
            self.relay.on_servers()
