"""One member of the chain that holds the configuration. Pure: frames and syncs in, actions out.

Source: chain replication (van Renesse and Schneider, OSDI 2004); replica.py makes and mends the chain. The head
orders and compares bases, each member syncs before it passes on, the tail's sync commits. Every message carries the
view's epoch; another one is refused.
Invariants: no member passes on what it has not synced; nothing is published or answered 200 but by a tail that has
synced it; numbers and revisions only rise; the head has at most one entry that is not committed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache

from cypressbeam.consensus import deduplication
from cypressbeam.protocol import frames

#: An entry that is not committed is sent down again after so long: the link may have broken.
RESEND_S = 0.3
#: Orders that may wait at the head; more are told to come back.
MOST_WAITING = 64
#: Characters of an answer's text: it may hold what an operator has sent, and a frame's texts have two bytes of length.
MOST_TEXT = 300


@lru_cache(maxsize=256)
def ip_of(name: str) -> str:
    """The address of a member."""
    return name.partition("/")[0]


@dataclass(frozen=True, slots=True)
class View:
    """What a majority of the group before it has agreed on. Members are named by address and identity, for a machine
    that has lost its disk has forgotten its promises, and is another one from then on."""

    epoch: int
    chain: tuple[str, ...]
    """From head to tail."""
    group: tuple[str, ...]
    """Whose majority decides the next view; a chain is a part of it."""
    began: int = 0
    """The number of the entry that the view began with; later ones are committed when the tail says so."""

    @property
    def members(self) -> tuple[str, ...]:
        """The chain's addresses, from head to tail."""
        return tuple(ip_of(name) for name in self.chain)

    @property
    def head(self) -> str:
        return self.members[0]

    @property
    def tail(self) -> str:
        return self.members[-1]

    def next(self, ip: str) -> str | None:
        at = self.members.index(ip) + 1
        return self.members[at] if at < len(self.members) else None

    def previous(self, ip: str) -> str | None:
        at = self.members.index(ip)
        return self.members[at - 1] if at else None


@dataclass(frozen=True, slots=True)
class Entry:
    """A version on its way or in force. Of two, the one with the higher epoch, then number, is the newer."""

    number: int
    epoch: int
    revision: int
    base: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Sync:
    """Put an entry on disk, then say so by `synced`."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Tell:
    ip: str
    frame: frames.Frame


@dataclass(frozen=True, slots=True)
class Publish:
    """A committed configuration: to the relays."""

    entry: Entry


Action = Sync | Tell | Publish


@dataclass(slots=True)
class Member:
    """The state of one member. `check` returns a body's revision and raises ValueError if it is invalid."""

    me: str
    view: View
    check: Callable[[bytes], int]
    digest: Callable[[bytes], bytes]
    last: Entry | None = None
    """The newest entry on disk."""
    taken: dict[int, bytes] = field(default_factory=dict)
    """Digests of the entries that led to the newest one on disk, and its own, by revision (deduplication.py)."""
    committed: int = 0
    """The number up to which this member knows entries to be committed."""
    waiting: deque[frames.Order] = field(default_factory=deque)
    syncing: Entry | None = None
    asked: list[tuple[int, str]] = field(default_factory=list)
    """Who is to be answered for the entry under way: ids of orders, and the nodes that took them."""
    sent_s: float = 0.0
    active: bool = False
    """Every member of the chain has taken up this view, and with it the entry that it began with."""
    sealed: bool = False
    """A higher epoch was promised: nothing more is done in this one."""
    wanted: int = 0
    """The highest number that others of the chain had told when this one took up its part."""

    # -- what it is ----------------------------------------------------------------------------------------

    @property
    def number(self) -> int:
        return self.last.number if self.last else 0

    @property
    def revision(self) -> int:
        return self.last.revision if self.last else 0

    def is_head(self) -> bool:
        return self.view.head == self.me

    def is_tail(self) -> bool:
        return self.view.tail == self.me

    def level(self) -> bool:
        """Whether this member has what the others of the chain had when it took up its part."""
        return self.number >= self.wanted

    def activate(self, now_s: float, wanted: int = 0) -> list[Action]:
        """All members hold what this view began with, so that is committed; at the tail, all that it has. After a loss
        of power another member may have a later entry: it comes down the chain, and before the tail has it nobody can
        tell what was acknowledged."""
        self.active, self.wanted = True, wanted
        if self.is_tail() and not self.level():
            return []
        self.committed = max(self.committed, self.number if self.is_tail() else self.view.began)
        return [Publish(self.last)] if self.last is not None and self.is_tail() else self.send_down(now_s)

    # -- orders, at the head -------------------------------------------------------------------------------

    def order(self, order: frames.Order, now_s: float) -> list[Action]:
        if not self.is_head() or self.sealed or not self.active:
            return []  # it is sent again, or its caller told that nobody answered
        if any(other.ident == order.ident for other in self.waiting) or (order.ident, order.origin) in self.asked:
            return []  # its node asks again
        if len(self.waiting) >= MOST_WAITING:
            return [answer(order, 503, "too many orders wait")]
        self.waiting.append(order)
        return self.take_next(now_s)

    def busy(self) -> bool:
        return self.syncing is not None or self.number > self.committed

    def take_next(self, now_s: float) -> list[Action]:
        """Orders are decided one at a time, once what came before is committed: so a refusal for another version
        never names one that is lost."""
        actions: list[Action] = []
        while self.waiting and self.is_head() and not self.sealed:
            order = self.waiting[0]
            if self.busy():
                self.join_same()
                break
            self.waiting.popleft()
            actions += self.decide(order, now_s)
        return actions

    def join_same(self) -> None:
        """An order whose configuration is under way gets the answer of the one that brought it."""
        entry = self.syncing or self.last
        if entry is None:
            return
        for order in [order for order in self.waiting if order.body == entry.body]:
            self.waiting.remove(order)
            self.asked.append((order.ident, order.origin))

    def decide(self, order: frames.Order, now_s: float) -> list[Action]:
        """All that is on disk is committed here. The rule (docs/design/orders.md): what was taken is never refused,
        and what is refused is never taken. So whoever may yet turn out to be either is told to come back."""
        if self.digest(order.body) in self.taken.values():
            return [answer(order, 200, "taken before")]  # first, for a check may have changed since
        if deduplication.forgotten(self.taken, self.number) <= order.base < self.revision:
            # As a rule one of many on the same base: a body of many thousand routes is not read for that.
            return [answer(order, 412, f"the current version is {self.revision}")]
        try:
            revision = self.check(order.body)
        except ValueError as err:
            return [answer(order, 400, str(err))]
        if self.may_come(order.base, revision):
            return [answer(order, 503, f"version {order.base} is not in force here")]
        if self.may_be_taken(order.base, revision):
            return [answer(order, 503, "too old to tell whether it was taken")]
        if order.base != self.revision:
            return [answer(order, 412, f"the current version is {self.revision}")]
        if revision <= self.revision:
            return [answer(order, 400, f"revision {revision} is not above {self.revision}")]
        self.asked = [(order.ident, order.origin)]
        self.syncing = Entry(self.number + 1, self.view.epoch, revision, order.base, order.body)
        return [Sync(self.syncing)]

    def may_come(self, base: int, revision: int) -> bool:
        """Whether an order's base may come into force yet: a copy that is late would be taken then."""
        return self.revision < base < revision

    def may_be_taken(self, base: int, revision: int) -> bool:
        """Whether an order may have been taken so long ago that its digest is not kept any more."""
        return base < revision <= deduplication.forgotten(self.taken, self.number)

    # -- entries, down the chain ---------------------------------------------------------------------------

    def forward(self, frame: frames.Forward, now_s: float) -> list[Action]:
        if frame.epoch != self.view.epoch or self.sealed or not self.active:
            return []
        if frame.number <= self.number:
            return self.on_known(frame, now_s)
        if self.syncing is not None or frame.number != self.number + 1:
            return []  # it comes again
        self.asked = [(frame.ident, frame.origin)] if frame.origin else []
        self.syncing = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)
        return [Sync(self.syncing)]

    def on_known(self, frame: frames.Forward, now_s: float) -> list[Action]:
        """An entry that is on this disk already: the word that it is committed may have been lost."""
        previous = self.view.previous(self.me)
        if self.committed >= frame.number and previous is not None:
            return [Tell(previous, frames.Committed(self.view.epoch, self.committed))]
        return self.send_down(now_s)

    def synced(self, entry: Entry, now_s: float) -> list[Action]:
        """The entry is on disk."""
        self.syncing = None
        self.last = entry
        deduplication.note(self.taken, entry.revision, entry.base, self.digest(entry.body))
        if self.sealed:
            return []
        if not self.is_tail():
            return self.send_down(now_s)
        self.committed = entry.number
        actions: list[Action] = [Publish(entry)]
        actions += [Tell(origin, frames.Outcome(ident, 200, "taken")) for ident, origin in self.asked]
        self.asked = []
        previous = self.view.previous(self.me)
        if previous is not None:
            actions.append(Tell(previous, frames.Committed(self.view.epoch, entry.number)))
        return actions + self.take_next(now_s)

    def failed(self, entry: Entry, now_s: float) -> list[Action]:
        """The disk refused the entry: whoever asked is told to try again later."""
        self.syncing = None
        asked, self.asked = self.asked, []
        return [Tell(origin, frames.Outcome(ident, 503, "the disk refuses")) for ident, origin in asked]

    def send_down(self, now_s: float) -> list[Action]:
        following = self.view.next(self.me)
        if following is None or self.last is None or self.last.number <= self.committed:
            return []
        self.sent_s = now_s
        ident, origin = self.asked[0] if self.asked else (0, "")
        entry = self.last
        return [
            Tell(
                following,
                frames.Forward(self.view.epoch, entry.number, entry.revision, entry.base, entry.body, ident, origin),
            )
        ]

    def remind(self, ip: str, number: int) -> list[Action]:
        """The next one tells that it has entries up to this number only. What is committed was on its disk: it was
        told late, or its disk is an older copy, and then it needs the entry again."""
        if (
            self.last is None
            or not self.active
            or self.sealed
            or self.view.next(self.me) != ip
            or (number >= self.committed or self.last.number != self.committed)
        ):
            return []
        entry = self.last
        return [Tell(ip, frames.Forward(self.view.epoch, entry.number, entry.revision, entry.base, entry.body, 0, ""))]

    def commit(self, frame: frames.Committed, now_s: float) -> list[Action]:
        if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:
            return []
        self.committed = frame.number
        actions: list[Action] = []
        previous = self.view.previous(self.me)
        if previous is not None:
            actions.append(Tell(previous, frames.Committed(self.view.epoch, frame.number)))
        # After a loss of all power the word on an earlier entry may come while a later one is on its way.
        if self.is_head() and self.committed == self.number:
            # The tail has answered the first; the rest had sent the same again meanwhile.
            actions += [Tell(origin, frames.Outcome(ident, 200, "taken")) for ident, origin in self.asked[1:]]
            self.asked = []
            actions += self.take_next(now_s)
        return actions

    def tick(self, now_s: float) -> list[Action]:
        if self.active and not self.sealed and self.number > self.committed and now_s - self.sent_s >= RESEND_S:
            return self.send_down(now_s)
        return []


def answer(order: frames.Order, status: int, text: str) -> Tell:
    return Tell(order.origin, frames.Outcome(order.ident, status, text[:MOST_TEXT]))
