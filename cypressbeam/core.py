"""What a machine with a disk does beside the others: its member of the chain, the store, and, at the tail, the
roster and the polling of the platform's list."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import quote

from cypressbeam import configuration, frames
from cypressbeam.chain import Action, Entry, Member, Publish, Sync, Tell, View
from cypressbeam.listing import Server, read_page
from cypressbeam.peers import Link
from cypressbeam.relay import Relay
from cypressbeam.roster import Roster
from cypressbeam.settings import Settings
from cypressbeam.store import Store, StoreError
from mallowworks.discovery import Address, ListConnection

log = logging.getLogger(__name__)

TICK_S = 0.1
#: The founder waits so long for one more machine with a disk, and asks a member again that has not agreed yet.
FOUNDING_QUIET_S = 0.3
FOUNDING_AGAIN_S = 0.4
#: The list is asked for this often; on trouble sooner or later, with full jitter.
POLL_S = 0.9
POLL_TIMEOUT_S = 1.0
POLL_AGAIN_S = (0.1, 0.3)


def revision_of(body: bytes) -> int:
    """Raises ValueError for an invalid configuration."""
    try:
        return configuration.read(body).revision
    except configuration.Invalid as err:
        raise ValueError(str(err)) from None


class Founding:
    """At the first seed, at the very first start: gathers the machines with a disk and proposes the first view."""

    def __init__(self, wanted: int) -> None:
        self.wanted = wanted
        self.candidates: set[str] = set()
        self.changed_s = 0.0
        self.view: View | None = None
        self.agreed: set[str] = set()
        self.asked_s = 0.0

    def candidate(self, ip: str, now_s: float) -> None:
        if self.view is None and ip not in self.candidates:
            self.candidates.add(ip)
            self.changed_s = now_s

    def tick(self, now_s: float) -> list[Tell]:
        quiet = now_s - self.changed_s >= FOUNDING_QUIET_S
        if self.view is None and len(self.candidates) >= self.wanted and quiet:
            self.view = View(1, tuple(sorted(self.candidates)))
        if self.view is None or now_s - self.asked_s < FOUNDING_AGAIN_S:
            return []
        self.asked_s = now_s
        frame = frames.Found(self.view.epoch, self.view.members)
        return [Tell(ip, frame) for ip in self.view.members if ip not in self.agreed]

    def done(self) -> bool:
        return self.view is not None and self.agreed == set(self.view.members)


class Poller:
    """Asks the platform for the whole list, page by page, over one kept connection."""

    def __init__(self, address: Address, on_list: Callable[[list[Server]], None]) -> None:
        self.address = address
        self.on_list = on_list
        self.chance = random.Random()

    async def run(self) -> None:
        while True:
            connection = ListConnection(self.address)
            try:
                await connection.open()
                while True:
                    await self.poll(connection)
                    await asyncio.sleep(POLL_S)
            except Exception as err:  # whatever comes, the list stays as it was and is asked for again
                log.warning("list of servers: %s: %s", type(err).__name__, err)
            finally:
                connection.close()
            await asyncio.sleep(self.chance.uniform(*POLL_AGAIN_S))

    async def poll(self, connection: ListConnection) -> None:
        """One whole list. A page that is refused over the rate is asked for again, later."""
        servers: list[Server] = []
        token: str | None = ""
        while token is not None:
            answer = await connection.get("/servers" + (f"?pageToken={quote(token)}" if token else ""),
                                          POLL_TIMEOUT_S)
            if answer.status == 429:
                await asyncio.sleep(self.chance.uniform(*POLL_AGAIN_S))
                continue
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            page, token = read_page(answer.body)
            servers += page
        self.on_list(servers)


class Core:
    """A member of the chain on real sockets and a real disk."""

    def __init__(self, settings: Settings, relay: Relay, send: Callable[[str, frames.Frame], None]) -> None:
        assert settings.state_dir is not None
        self.settings = settings
        self.relay = relay
        self.send = send
        self.loop = asyncio.get_running_loop()
        self.store = Store(settings.state_dir)
        self.member: Member | None = None
        self.view: View | None = None
        self.roster = Roster(settings.node)
        self.life = random.SystemRandom().getrandbits(63) | 1
        self.poller: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    # -- start ---------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Read what is on disk. Raises StoreError."""
        loaded = await self.store.load()
        if loaded.view is not None:
            self.take_view(loaded.view, loaded.last, loaded.taken)
        self.tick()

    def take_view(self, view: View, last: Entry | None, taken: dict[int, bytes]) -> None:
        self.view = view
        self.member = Member(self.settings.ip, view, revision_of, configuration.digest, last, taken)
        log.info("view %d: %s, newest entry %d", view.epoch, " ".join(view.members), self.member.number)
        if self.member.is_tail():
            self.become_root()
        self.carry_out(self.member.start(self.loop.time()))

    def become_root(self) -> None:
        self.relay.become_root(self.life)
        flags = self.relay.flags
        self.roster.join(frames.Join(self.settings.node, self.settings.ip, self.settings.zone, flags, 1, ""),
                         self.loop.time())
        if self.settings.platform is not None and self.poller is None:
            self.poller = self.loop.create_task(Poller(self.settings.platform, self.take_list).run())

    async def on_found(self, link: Link, frame: frames.Found) -> None:
        """The founding view is proposed. Only the first one is ever taken up, and it is on disk before it counts."""
        view = View(frame.epoch, frame.members)
        if self.view is None and self.settings.bootstrap and self.settings.ip in frame.members:
            self.view = view  # at once: another proposal must not pass while this one is synced
            await self.store.save_view(view)
            self.take_view(view, None, {})
        if self.member is not None and self.view is not None:
            link.send(frames.Founded(self.settings.ip, self.view.epoch, self.view.members))

    # -- upkeep --------------------------------------------------------------------------------------------

    def tick(self) -> None:
        self.loop.call_later(TICK_S, self.tick)
        now_s = self.loop.time()
        if self.member is not None:
            self.carry_out(self.member.tick(now_s))
        if self.relay.is_root:
            me = self.roster.nodes[self.settings.node]
            me.seen_s = now_s
            for name in self.roster.expire(now_s):
                log.warning("node %s has not joined for long", name)
            self.relay.fronts = self.roster.fronts()

    def task(self, what: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        if self.poller is not None:
            self.poller.cancel()
        self.store.close()

    # -- the chain -----------------------------------------------------------------------------------------

    def carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Tell):
                self.send(action.ip, action.frame)
            elif isinstance(action, Sync):
                self.task(self.sync(action.entry))
            else:
                assert isinstance(action, Publish)
                self.relay.publish(action.entry.revision, action.entry.body)

    async def sync(self, entry: Entry) -> None:
        member = self.member
        assert member is not None
        try:
            await self.store.save_entry(entry)
        except StoreError as err:
            log.error("entry %d is not on disk: %s", entry.number, err)
            self.carry_out(member.failed(entry, self.loop.time()))
            return
        self.carry_out(member.synced(entry, self.loop.time()))

    def on_chain(self, frame: frames.Frame) -> None:
        member, now_s = self.member, self.loop.time()
        if member is None:
            return
        if isinstance(frame, frames.Order):
            self.carry_out(member.order(frame, now_s))
        elif isinstance(frame, frames.Forward):
            self.carry_out(member.forward(frame, now_s))
        elif isinstance(frame, frames.Committed):
            self.carry_out(member.commit(frame, now_s))
        elif isinstance(frame, frames.Read):
            self.carry_out(member.read(frame))

    # -- the roster and the list, at the root --------------------------------------------------------------

    def on_join(self, link: Link, frame: frames.Join) -> None:
        if frame.name not in self.roster.nodes:
            log.info("node %s at %s joins", frame.name, frame.ip)
        self.roster.join(frame, self.loop.time())
        assert self.view is not None
        link.send(self.roster.place(frame.name, self.view.epoch, self.view.members, self.settings.ip))

    def on_gone(self, name: str, why: str) -> None:
        if name != self.settings.node and name in self.roster.nodes:
            log.info("node %s %s", name, why)
            self.roster.drop(name)

    def take_list(self, servers: list[Server]) -> None:
        changes = self.relay.listing.poll(servers)
        if changes is not None:
            self.relay.tell(changes)
            self.relay.on_servers()
