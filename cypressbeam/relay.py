"""A node's place among the others: joining, the parent that feeds it, the children it feeds, and the news itself."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from cypressbeam import frames
from cypressbeam.bodies import BRIEF_BYTES
from cypressbeam.listing import Listing
from cypressbeam.peers import Link, Peers
from cypressbeam.roster import RENEW_S
from cypressbeam.settings import Settings

log = logging.getLogger(__name__)

TICK_S = 0.1
#: The root's beat, and the silence after which a parent is given up: a new one must be found, and the news taken up,
#: well inside the bounds of configuration and draining.
BEAT_S = 0.4
SILENCE_S = 1.1
#: A relay that misses the beat itself tells its children that it lives. They stay with it for so long after the last
#: beat: a root that is back at once finds the tree as it was. Nodes that hold each other in a circle part then.
HOLD_S = 1.6
#: A node whose event loop was so late lately asks to be no relay; how the lateness fades, each tick.
SLOW_S, LAG_FADES = 0.3, 0.97
#: How long an answer to a join is waited for before another node is asked.
JOIN_S = 0.4
JOIN_JITTER_S = 0.1
#: A child that lacks something asks for it again after so long.
ASK_AGAIN_S = 0.3
#: A node that has been behind the newest version for so long says so in its log, once.
BEHIND_S = 1.0


class Relay:
    """The node's end of the tree. `on_configuration` and `on_servers` are told of news, `on_place` of a new place."""

    def __init__(self, settings: Settings, peers: Peers, flags: int) -> None:
        self.settings = settings
        self.peers = peers
        self.flags = flags
        self.identity = ""
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random()
        self.place: frames.Place | None = None
        self.root = ""
        self.parent: Link | None = None
        self.silences = 0  # parents that were given up for it
        self.tried = 0  # parents of the place that were tried
        self.children: dict[Link, None] = {}  # in the order in which they came, so that runs can be repeated
        self.revision = 0
        self.body = b""
        self.newest = (0, b"")
        """The newest version that was told of, and its body's digest."""
        self.fetching = b""
        """The digest of the one that is on its way here; one at a time, so that each is the base of the next."""
        self.elder = b""
        """That of one before it, which does not move: it is waited for beside the newest. On a full link nothing would
        ever come in a storm of versions, if each put an end to the one before."""
        self.news: frames.News | frames.Update | None = None
        """What children are told of the version that is here."""
        self.before = 0
        """The version that was here before it."""
        self.behind_s, self.behind_told = 0.0, False
        """Since when a newer version is known of than is here; 0: none is."""
        self.bodies = peers.bodies
        self.bodies.on_progress = self.on_progress
        self.bodies.others = self.others
        self.listing = Listing()
        self.fronts = 0
        self.heard_s = 0.0
        self.beat_s = 0.0
        """When a beat of the root's came last, or a new parent was taken."""
        self.alive_due_s = 0.0
        self.tick_due_s = 0.0
        self.lag_s = 0.0
        """How late the event loop was lately; it fades."""
        self.beats: dict[int, int] = {}
        """The last beat's number, by the root's life."""
        self.asked_s = 0.0
        self.joined_s = 0.0
        self.join_due_s = 0.0
        self.seed = 0
        self.lost = ""
        self.is_root = False
        self.leaving = False
        self.on_configuration: Callable[[int, bytes], None] = lambda revision, body: None
        self.on_servers: Callable[[], None] = lambda: None
        self.on_place: Callable[[], None] = lambda: None

    def start(self) -> None:
        self.tick()

    def tick(self) -> None:
        self.loop.call_later(TICK_S, self.tick)
        now_s = self.loop.time()
        self.lag_s = max(now_s - self.tick_due_s if self.tick_due_s else 0.0, self.lag_s * LAG_FADES)
        self.tick_due_s = now_s + TICK_S
        if self.is_root:
            return
        if self.parent is not None and now_s - self.heard_s > SILENCE_S:
            self.silences += 1
            log.warning("parent %s has fallen silent", self.parent.ip)
            self.leave_parent()
        elif self.parent is not None and now_s - self.beat_s > HOLD_S:
            self.silences += 1
            log.warning("parent %s lives and has no beat to pass on", self.parent.ip)
            self.leave_parent()
        if now_s - self.beat_s > 1.5 * BEAT_S and now_s >= self.alive_due_s:
            self.alive_due_s = now_s + BEAT_S
            self.tell(frames.Alive())
        if self.parent is None or (not self.leaving and now_s - self.joined_s >= RENEW_S):
            self.join(now_s)

    # -- joining -------------------------------------------------------------------------------------------

    def join(self, now_s: float) -> None:
        """Ask the root, or a seed that may know it, for a place; one at a time."""
        if now_s < self.join_due_s:
            return
        self.join_due_s = now_s + JOIN_S + self.chance.uniform(0.0, JOIN_JITTER_S)
        target = self.root
        if not target:
            members = self.place.members if self.place is not None else ()
            known = [*members, *(host for host, _ in self.settings.seeds)]
            others = [host for host in known if host != self.settings.ip]
            if not others:
                return
            target = others[self.seed % len(others)]
            self.seed += 1
        self.root = ""  # until it has answered
        self.ask(target)

    def ask(self, target: str) -> None:
        settings = self.settings
        flags = self.flags | (frames.SLOW if self.lag_s > SLOW_S else 0)
        self.peers.send(target, frames.Join(settings.node, settings.ip, settings.zone, flags,
                                            int(self.place is not None), self.lost, self.identity,
                                            max(int(settings.link_mbps * 1000), 1)))

    def on_refer(self, frame: frames.Refer) -> None:
        if frame.root and frame.root != self.settings.ip and not self.root:
            self.root = frame.root
            self.ask(frame.root)
        elif not frame.root:
            self.join_due_s = self.loop.time() + self.chance.uniform(0.3, 1.0) * JOIN_JITTER_S

    def on_placed(self, link: Link, frame: frames.Place) -> None:
        self.joined_s = self.loop.time()
        self.root, self.lost = link.ip, ""
        self.place = frame
        self.fronts = frame.fronts or self.fronts
        self.on_place()
        if self.parent is None or self.parent.ip not in frame.parents:
            self.tried = 0
            self.attach(frame.parents[0])

    def attach(self, ip: str) -> None:
        """Ask a node for the news; the old parent goes."""
        # Let go of first: a parent that is left on purpose is not lost, and must not be told to be.
        former, self.parent = self.parent, None
        if former is not None:
            former.close()
        self.heard_s = self.beat_s = self.loop.time()
        self.parent = self.peers.to(ip)
        self.peers.bulk(ip)  # so that it is there when a body is to be fetched, though links are full then
        self.ask_news()

    def ask_news(self) -> None:
        self.asked_s = self.loop.time()
        if self.parent is not None:
            self.parent.send(frames.Attach(self.settings.node, self.revision, self.listing.life,
                                           self.listing.seq))

    def leave_parent(self) -> None:
        parent, self.parent = self.parent, None
        if parent is None:
            return
        self.lost = parent.ip
        parent.close()
        self.join_due_s = 0.0
        self.tried += 1
        if self.place is not None and self.tried < len(self.place.parents):
            self.attach(self.place.parents[self.tried])
            self.joined_s = 0.0  # and tell the root who was lost
        elif self.lost == self.root:
            self.root = ""

    def link_lost(self, link: Link) -> None:
        self.children.pop(link, None)
        if link is self.parent:
            log.info("the connection to parent %s is lost", link.ip)
            self.leave_parent()

    def leave(self) -> None:
        """This node is going to end: others feed its children from now on; news still comes until then."""
        self.leaving = True
        if self.root:
            self.peers.send(self.root, frames.Leave(self.settings.node))
        self.release()

    def release(self) -> None:
        """Children look for others. Connections stay: what else goes over them must not be lost."""
        children, self.children = self.children, {}
        for child in children:
            child.send(frames.Released())

    def on_released(self, link: Link) -> None:
        if link is self.parent:
            self.parent = None
            if self.root == link.ip:
                self.root = ""
            self.join_due_s = 0.0

    # -- at the root ---------------------------------------------------------------------------------------

    def become_root(self, life: int) -> None:
        """The list of this root's life goes down from here. What an earlier root told is kept until then."""
        self.is_root = True
        self.listing = Listing(life)
        self.root = self.settings.ip
        parent, self.parent = self.parent, None
        if parent is not None:
            parent.close()
        self.beat(life)

    def resign(self) -> None:
        """Another one is the root by now, or none: children look for it, and so does this node."""
        self.is_root = False
        self.root = ""
        self.join_due_s = 0.0
        self.release()

    def beat(self, life: int) -> None:
        if self.is_root and self.listing.life == life:
            self.loop.call_later(BEAT_S, self.beat, life)
            self.beats[life] = self.beats.get(life, 0) + 1
            self.tell(frames.Beat(life, self.listing.seq, self.revision, self.fronts, self.beats[life]))

    # -- news ----------------------------------------------------------------------------------------------

    def tell(self, frame: frames.Frame) -> None:
        """To all children."""
        if self.children:
            data = frame.pack()
            for child in [*self.children]:
                child.send_packed(data)

    def on_attach(self, link: Link, frame: frames.Attach) -> None:
        if self.leaving:
            link.close()
            return
        self.children[link] = None
        revision, mark = self.newest if self.fetching else (self.revision, b"")
        if revision > frame.revision:
            mark = mark or self.bodies.put(self.body)
            brief = self.news if not self.fetching and frame.revision == self.before else None
            link.send(brief or frames.News(revision, mark))
        if self.listing.seq and (frame.life, frame.seq) != (self.listing.life, self.listing.seq):
            link.send(self.listing.whole())

    def publish(self, revision: int, body: bytes) -> None:
        """A committed configuration. One that is not newer is no news: a node never goes back."""
        if revision <= self.revision:
            return
        self.before, former = self.revision, self.bodies.put(self.body) if self.body else b""
        self.revision, self.body = revision, body
        mark = self.bodies.put(body)
        if revision > self.newest[0]:
            self.newest = (revision, mark)
        if revision == self.newest[0]:
            self.behind_s, self.behind_told = 0.0, False
        brief = self.bodies.brief(mark, former)
        self.news = frames.Update(revision, mark, former, brief) if brief else frames.News(revision, mark)
        if brief or mark != self.fetching:  # otherwise children were told when it began to come
            self.tell(self.news)
        if self.fetching != self.newest[1] or revision == self.newest[0]:
            self.bodies.drop(self.fetching, "news")
            self.fetching = b""
        if revision == self.newest[0]:
            self.bodies.drop(self.elder, "news")
            self.elder = b""
        self.on_configuration(revision, body)

    def on_news(self, link: Link, frame: frames.News) -> None:
        """A version is to be had from a node that has it, or a part of it."""
        if self.told(frame.revision, frame.mark):
            self.fetch(link.ip)

    def on_update(self, link: Link, frame: frames.Update) -> None:
        """A version, in what has changed since the one before. Who lacks that one fetches it all."""
        if len(frame.mark) != frames.DIGEST or len(frame.data) > BRIEF_BYTES:
            log.warning("node %s: an update of %d bytes for %d", link.ip, len(frame.data), len(frame.mark))
            link.close()
        elif self.told(frame.revision, frame.mark):
            body = self.bodies.open_brief(frame.mark, frame.base, frame.data)
            if body is None:
                self.fetch(link.ip)
            else:
                self.publish(frame.revision, body)

    def told(self, revision: int, mark: bytes) -> bool:
        """Whether a version that a node tells of is to be got."""
        if revision <= self.revision or revision < self.newest[0]:
            return False
        self.newest = (revision, mark)
        self.behind_s = self.behind_s or self.loop.time()
        return True

    def fetch(self, source: str) -> None:
        """Get the newest body, one at a time. Children are told as it begins to come, and take it as it comes. An
        older one that does not move holds up nothing: the newest is asked for beside it."""
        revision, mark = self.newest
        if self.fetching and self.fetching != mark:
            if self.bodies.comes(self.fetching):
                return
            if self.bodies.sought(self.elder):
                self.bodies.drop(self.fetching, "news")
            else:
                self.elder = self.fetching
        if self.fetching != mark:
            self.fetching = mark
            self.tell(frames.News(revision, mark))
        self.bodies.need(mark, source, lambda body: self.take(revision, body, source), key="news")

    def others(self) -> list[str]:
        """Who has the newest version for sure, or soon, whatever the tree is like: the parent, and the core in any
        order, so that those who turn there together don't all ask one machine."""
        members = [*self.place.members] if self.place is not None else []
        self.chance.shuffle(members)
        known = [self.parent.ip if self.parent is not None else "", *members, self.root]
        return [ip for ip in dict.fromkeys(known) if ip not in ("", self.settings.ip)]

    def take(self, revision: int, body: bytes, source: str) -> None:
        self.publish(revision, body)
        if self.newest[0] > self.revision:
            self.fetch(self.parent.ip if self.parent is not None else source)

    def on_alive(self, link: Link) -> None:
        if link is self.parent:
            self.heard_s = self.loop.time()

    def on_progress(self, ip: str) -> None:
        """A part of a body came: its sender lives, though its beats may be late."""
        if self.parent is not None and ip == self.parent.ip:
            self.heard_s = self.loop.time()

    def on_listed(self, link: Link, frame: frames.Servers) -> None:
        if link is not self.parent:
            return
        news = self.listing.apply(frame)
        if news is None:
            self.ask_news()
        elif news:
            self.tell(frame)
            self.on_servers()

    def on_beat(self, link: Link, frame: frames.Beat) -> None:
        # Places that were told at different times can make a circle. A beat that comes again neither goes on nor
        # counts as heard, so those in a circle soon look for the root.
        if link is not self.parent or frame.number <= self.beats.get(frame.life, 0):
            return
        self.beats[frame.life] = frame.number
        now_s = self.heard_s = self.beat_s = self.loop.time()
        self.tell(frame)
        if frame.fronts and frame.fronts != self.fronts:
            self.fronts = frame.fronts
            self.on_place()
        self.note_behind(frame.revision)
        coming = self.newest[0] if self.bodies.comes(self.fetching) else self.revision
        lacks = (frame.revision > coming
                 or (frame.seq and (frame.life, frame.seq) != (self.listing.life, self.listing.seq)))
        if lacks and now_s - self.asked_s >= ASK_AGAIN_S:
            self.ask_news()

    def note_behind(self, revision: int) -> None:
        """Say once that this node has been behind for long, and how its fetch stands."""
        if revision <= self.revision:
            return
        now_s = self.loop.time()
        self.behind_s = self.behind_s or now_s
        if now_s - self.behind_s > BEHIND_S and not self.behind_told:
            self.behind_told = True
            log.warning("behind for %.1f s: version %d is here, %d is known of, %d in force; %s", now_s - self.behind_s,
                        self.revision, self.newest[0], revision, self.bodies.how(self.fetching))
