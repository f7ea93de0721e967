"""A node's place among the others: joining, the parent that feeds it, the children it feeds, and the news itself.

Fencing (docs/design/fencing.md): whatever says who leads, or what is in force, carries the epoch of the view under
which it was said. A node keeps the highest epoch that it has seen, takes nothing of a lower one, and tells whoever sent
that.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace

from cypressbeam import frames
from cypressbeam.bodies import BRIEF_BYTES
from cypressbeam.listing import Listing
from cypressbeam.peers import Link, Peers
from cypressbeam.roster import RENEW_S
from cypressbeam.search import Search
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
#: A node that has a parent and no beat for so long looks for the root beside it: that one may lead no more.
SEEK_S = SILENCE_S
#: A node vouches for the root that it knows for so long after that one's word.
FRESH_S = 1.0
#: A node whose event loop was so late lately asks to be no relay; how the lateness fades, each tick.
SLOW_S, LAG_FADES = 0.3, 0.97
#: How long the answer of a root that is known is waited for before others are asked beside it.
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
        """Who has placed this node last, or was named since, as long as it answers."""
        self.root_asked_s = 0.0
        """When it was asked; 0: it has answered."""
        self.epoch = 0
        """The highest in which anybody led, as far as was heard here; it never falls."""
        self.fed = 0
        """The epoch of the last beat that was taken."""
        self.listed = 0
        """The newest epoch in which the list that is here was in force."""
        self.told_s: float | None = None
        """When the root's word, a beat or a place, came last."""
        self.group: tuple[str, ...] = ()
        self.group_epoch = 0
        """Addresses of the core's group, and since which epoch."""
        self.search = Search(settings.ip)
        self.looking = False
        self.parent: Link | None = None
        self.fed_by: Link | None = None
        """Where the last beat came from."""
        self.silences = 0  # parents that were given up for it
        self.looked = 0  # searches for the root
        self.tried = 0  # parents of the place that were tried
        self.children: dict[Link, frames.Attach | None] = {}  # in the order in which they came: runs can be repeated
        """With what each had when it came, until it was given what it lacks."""
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
        self.beat_told: frames.Beat | None = None
        """The last one that was told, or passed on."""
        self.beats: dict[int, int] = {}
        """The last beat's number, by the root's life."""
        self.asked_s = 0.0
        self.joined_s = 0.0
        self.join_due_s = 0.0
        self.lost = ""
        self.is_root = False
        self.leaving = False
        self.on_epoch: Callable[[], None] = lambda: None
        """Told when a higher epoch was seen."""
        self.vouched: Callable[[], str] = self.named
        """The root as this node may name it to others; a machine of the core has more to go by."""
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
        self.looking = self.looking and self.seeks(now_s)
        if self.seeks(now_s) or (not self.leaving and now_s - self.joined_s >= RENEW_S):
            self.join(now_s)

    # -- fencing -------------------------------------------------------------------------------------------

    def see(self, epoch: int) -> None:
        """Somebody leads in this epoch, or has: what was said under lower ones is over."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.on_epoch()

    def fenced(self, link: Link, epoch: int) -> bool:
        """Whether a frame is of an epoch that is over: nothing of it is taken, and its sender learns why."""
        if epoch < self.epoch:
            link.send(self.refer())
            return True
        self.see(epoch)
        return False

    def refer(self) -> frames.Refer:
        return frames.Refer(self.vouched(), self.epoch, self.group)

    def named(self) -> str:
        """The root, if its own word is fresh here and nobody is known to have led since; or nobody."""
        if self.is_root:
            return self.settings.ip
        fresh = self.told_s is not None and self.loop.time() - self.told_s <= FRESH_S
        return self.root if fresh and self.parent is not None and not self.behind() else ""

    def behind(self) -> bool:
        """Whether what feeds this node, and its place, are of an epoch that is over."""
        return self.given() < self.epoch

    def given(self) -> int:
        """The epoch of the newest place or beat that was given to this node."""
        return max(self.fed, self.place.epoch if self.place is not None else 0)

    def standing(self) -> int:
        """The epoch under which this node's own news stands."""
        return self.epoch if self.is_root else self.fed

    def learn(self, group: tuple[str, ...], epoch: int) -> None:
        """Addresses of the core's group, as somebody knows it who has seen that epoch."""
        if group and epoch >= self.group_epoch:
            self.group, self.group_epoch = group, epoch

    def age_s(self) -> float | None:
        """Seconds since the root's word came last; None: it never did."""
        if self.is_root:
            return 0.0
        return self.loop.time() - self.told_s if self.told_s is not None else None

    # -- joining -------------------------------------------------------------------------------------------

    def seeks(self, now_s: float) -> bool:
        """Whether the root is to be looked for: nobody feeds this node, or one whose word is over, or has none."""
        return self.parent is None or self.behind() or now_s - self.beat_s > SEEK_S

    def join(self, now_s: float) -> None:
        """Ask for a place: anew, or again at the root that feeds this node still; the roster there is soft."""
        if self.seeks(now_s):
            self.seek(now_s)
            return
        if now_s < self.join_due_s:
            return
        self.join_due_s = now_s + JOIN_S + self.chance.uniform(0.0, JOIN_JITTER_S)
        self.forget_silent_root(now_s)
        if self.root:
            self.ask_root(self.root, now_s)
        else:
            self.seek(now_s)

    def forget_silent_root(self, now_s: float) -> None:
        if self.root_asked_s and now_s - self.root_asked_s >= JOIN_S:
            self.root, self.root_asked_s = "", 0.0

    def seek(self, now_s: float) -> None:
        """Ask the root that is known, and beside it one after another of all that may know it."""
        self.looked += not self.looking
        self.looking = True
        self.forget_silent_root(now_s)
        if self.root and not self.root_asked_s and now_s - self.joined_s >= JOIN_S:
            self.ask_root(self.root, now_s)
        target = self.search.next(now_s, *self.known(), self.fronts, self.chance)
        if target is not None and not (target == self.root and self.root_asked_s):
            self.ask(target)

    def known(self) -> tuple[list[str], list[str]]:
        """Who may know the root: machines of the core, and the seeds."""
        members = self.place.members if self.place is not None else ()
        return [*self.group, *members], [host for host, _ in self.settings.seeds]

    def ask_root(self, ip: str, now_s: float) -> None:
        """One that was named, by whomever: it is asked once, and has its time to answer."""
        if ip != self.root or not self.root_asked_s:
            self.root, self.root_asked_s = ip, now_s
            self.ask(ip)

    def ask(self, target: str) -> None:
        settings = self.settings
        flags = self.flags | (frames.SLOW if self.lag_s > SLOW_S else 0)
        self.peers.send(target, frames.Join(settings.node, settings.ip, settings.zone, flags,
                                            int(self.place is not None), self.lost, self.identity,
                                            max(int(settings.link_mbps * 1000), 1), self.epoch, self.given()))

    def on_refer(self, link: Link, frame: frames.Refer) -> None:
        """Another node names the root, or nobody. One that names a root of an epoch that is over learns that."""
        self.learn(frame.members, frame.epoch)
        # Who names nobody is not answered: two that know no root would go on telling each other.
        if frame.root and self.fenced(link, frame.epoch):
            return
        self.see(frame.epoch)
        if self.is_root:
            return
        now_s = self.loop.time()
        if link.ip == self.root and frame.root != self.root:
            self.root, self.root_asked_s = "", 0.0  # it is the root no more, or not yet
        if frame.root and frame.root != self.settings.ip and (self.seeks(now_s) or not self.root):
            self.ask_root(frame.root, now_s)
        elif not frame.root:
            self.go_on(link.ip)

    def go_on(self, ip: str) -> None:
        """One that was asked is no help: the next one has its turn."""
        group, seeds = self.known()
        soon_s = self.search.no_help(ip, self.loop.time(), [*group, *seeds], self.chance)
        if soon_s is not None:
            self.loop.call_later(soon_s, self.seek_on)

    def seek_on(self) -> None:
        now_s = self.loop.time()
        if not self.is_root and self.seeks(now_s):
            self.seek(now_s)

    def on_placed(self, link: Link, frame: frames.Place) -> None:
        if self.fenced(link, frame.epoch) or self.is_root:
            return
        now_s = self.loop.time()
        # The root that feeds it lives, and there is no beat: the way is being mended, and is soon left if it isn't.
        waits = self.parent is not None and now_s - self.beat_s > SEEK_S and self.fed == frame.epoch
        self.joined_s = self.told_s = now_s
        self.root, self.lost, self.root_asked_s = link.ip, "", 0.0
        self.place = frame
        self.learn(frame.group or frame.members, frame.epoch)
        self.fronts = frame.fronts or self.fronts
        self.on_place()
        if waits:
            self.tried = -1
            return
        self.search.over()
        if self.parent is None or self.parent.ip not in frame.parents:
            self.tried = 0
            self.attach(frame.parents[0])
        elif self.fed < frame.epoch:
            self.ask_news()  # the parent may not have heard yet

    def attach(self, ip: str) -> None:
        """Ask a node for the news; the old parent goes."""
        # Let go of first: a parent that is left on purpose is not lost, and must not be told to be.
        former, self.parent = self.parent, None
        if former is not None:
            former.close()
        self.heard_s = self.beat_s = self.loop.time()
        self.parent = self.peers.to(ip)
        self.fed_by = None  # what it gave before says nothing: it may be cut off from the root since
        self.peers.bulk(ip)  # so that it is there when a body is to be fetched, though links are full then
        self.ask_news()

    def ask_news(self) -> None:
        self.asked_s = self.loop.time()
        if self.parent is not None:
            self.parent.send(frames.Attach(self.settings.node, self.revision, self.listing.life,
                                           self.listing.seq, self.epoch))

    def leave_parent(self) -> None:
        parent, self.parent = self.parent, None
        if parent is None:
            return
        self.lost = parent.ip
        parent.close()
        self.join_due_s = 0.0
        self.tried += 1
        if self.place is not None and self.tried < len(self.place.parents) and not self.behind():
            self.attach(self.place.parents[self.tried])
            self.joined_s = 0.0  # and tell the root who was lost
        elif self.lost == self.root:
            self.root, self.root_asked_s = "", 0.0

    def link_lost(self, link: Link) -> None:
        self.children.pop(link, None)
        if link is self.parent:
            log.info("the connection to parent %s is lost", link.ip)
            self.leave_parent()
        self.go_on(link.ip)  # if it was asked for the root

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
            if self.fed_by is not link:
                self.lost = link.ip  # it had no beat to give: the root thinks better of it than it is
            if self.root == link.ip:
                self.root, self.root_asked_s = "", 0.0
            self.join_due_s = 0.0

    # -- at the root ---------------------------------------------------------------------------------------

    def become_root(self, life: int, epoch: int) -> None:
        """The list of this root's life goes down from here. What an earlier root told is kept until then."""
        self.see(epoch)
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
        self.root, self.root_asked_s = "", 0.0
        self.join_due_s = 0.0
        self.release()

    def beat(self, life: int) -> None:
        """A root that a majority does not hear has no word to give: it only tells that it lives."""
        if self.is_root and self.listing.life == life:
            self.loop.call_later(BEAT_S, self.beat, life)
            self.tell_beat()

    def tell_beat(self) -> None:
        life = self.listing.life
        if not self.vouched():
            self.tell(frames.Alive())
            return
        self.beats[life] = self.beats.get(life, 0) + 1
        self.told_s = self.loop.time()
        self.pass_beat(frames.Beat(life, self.listing.seq, self.revision, self.fronts, self.beats[life], self.epoch))

    # -- news ----------------------------------------------------------------------------------------------

    def tell(self, frame: frames.Frame) -> None:
        """To all children."""
        if self.children:
            data = frame.pack()
            for child in [*self.children]:
                child.send_packed(data)

    def pass_beat(self, frame: frames.Beat) -> None:
        """To all children; those that came while this node could not vouch for what it has get that now."""
        self.beat_told = frame
        self.tell(frame)
        for link, had in [*self.children.items()]:
            if had is not None:
                self.serve(link, had)

    def on_attach(self, link: Link, frame: frames.Attach) -> None:
        if self.leaving:
            link.close()
            return
        if frame.epoch < self.epoch:
            link.send(self.refer())
        self.see(frame.epoch)
        if not self.vouched() if self.is_root else self.seeks(self.loop.time()):
            link.send(frames.Released())
            return
        self.children[link] = frame
        if self.standing() == self.epoch:
            self.serve(link, frame)

    def serve(self, link: Link, frame: frames.Attach) -> None:
        """What a child lacks, and the last beat while that is news."""
        self.children[link] = None
        revision, mark = self.newest if self.fetching else (self.revision, b"")
        if revision > frame.revision:
            mark = mark or self.bodies.put(self.body)
            brief = self.news if not self.fetching and frame.revision == self.before else None
            link.send(replace(brief, epoch=self.standing()) if brief is not None
                      else frames.News(revision, mark, self.standing()))
        listed = self.epoch if self.is_root else self.listed
        if self.listing.seq and listed == self.epoch and (frame.life, frame.seq) != (
                self.listing.life, self.listing.seq):
            link.send(replace(self.listing.whole(), epoch=listed))
        if self.beat_told is not None and self.beat_told.epoch == self.epoch and self.named():
            link.send(self.beat_told)

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
        self.news = (frames.Update(revision, mark, former, brief, self.standing()) if brief
                     else frames.News(revision, mark, self.standing()))
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
        if not self.fenced(link, frame.epoch) and self.told(frame.revision, frame.mark):
            self.fetch(link.ip)

    def on_update(self, link: Link, frame: frames.Update) -> None:
        """A version, in what has changed since the one before. Who lacks that one fetches it all."""
        if len(frame.mark) != frames.DIGEST or len(frame.data) > BRIEF_BYTES:
            log.warning("node %s: an update of %d bytes for %d", link.ip, len(frame.data), len(frame.mark))
            link.close()
        elif not self.fenced(link, frame.epoch) and self.told(frame.revision, frame.mark):
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
            self.tell(frames.News(revision, mark, self.standing()))
        self.bodies.need(mark, source, lambda body: self.take(revision, body, source), key="news")

    def others(self) -> list[str]:
        """Who has the newest version for sure, or soon, whatever the tree is like: the parent, and the core in any
        order, so that those who turn there together don't all ask one machine."""
        members = [*(self.place.members if self.place is not None else self.group)]
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
        if link is not self.parent or self.fenced(link, frame.epoch):
            return
        news = self.listing.apply(frame)
        if news is None:
            self.ask_news()
            return
        self.listed = frame.epoch
        if news:
            self.tell(frame)
            self.on_servers()

    def on_beat(self, link: Link, frame: frames.Beat) -> None:
        # Places that were told at different times can make a circle. A beat that comes again neither goes on nor
        # counts as heard, so those in a circle soon look for the root.
        if (link is not self.parent or self.fenced(link, frame.epoch)
                or frame.number <= self.beats.get(frame.life, 0)):
            return
        self.beats[frame.life] = frame.number
        now_s = self.heard_s = self.beat_s = self.told_s = self.loop.time()
        self.fed, self.fed_by = frame.epoch, link
        if (frame.life, frame.seq) == (self.listing.life, self.listing.seq):
            self.listed = frame.epoch
        self.pass_beat(frame)
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
