"""How the core agrees on its view, and mends the chain. Pure: frames, ticks and finished writes in, actions out.

A view is (epoch, chain, group). To make the next one a proposer asks the group to promise its epoch; a promise is on
disk before it is given, and seals all lower epochs at that member. Of the entries that a majority tells, the newest
(by epoch, then number) is what the new chain begins with: an entry is committed once every member of a chain has it,
a chain holds at least `copies` members and with them a majority of the group, so any other majority has met it. Each
member of the new chain puts view and entry on disk in one write; the view is active once all have said so.

Sources: Vertical Paxos (Lamport, Malkhi, Zhou, 2009) for mending a chain by views; Paxos for the promise.

A machine promises only once it has itself put a view on disk. One that came back with an empty disk is named in a new
group before it has that view, and others may hear of the group from a single machine that has it: a majority with the
empty one in it would know of nothing (docs/incidents/009). One at an address that is new to the group takes nobody's
place: it has put the view before the one that names it on disk, and promises from then on (membership.py).

Invariants: a promise never goes down, and survives on disk; two views of one epoch are never active with different
chains; what a view begins with is at least as new as all that was ever committed; a machine that lost its disk is
in no majority until a view has taken it in under its new identity; no chain has fewer than `copies` members.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cypressbeam.consensus import chain
from cypressbeam.consensus import deduplication as digests
from cypressbeam.consensus.chain import ChainReplica, Entry, PersistEntry, SendMessage, View, ip_of
from cypressbeam.consensus.rollback_detection import HighWaterMarks
from cypressbeam.protocol import frames

#: Members ask each other for an echo this often; one is taken for lost once the last own pulse that it has echoed was
#: sent so long ago. An echo is as old as the way there and back, and an own stall makes it older, so pulses go out more
#: often than silence alone would ask for.
PULSE_S = 0.2
DEAD_S = 1.0
#: An answer asks a member that was not heard lately for an echo in turn, at most this often.
ANSWER_S = 0.1
#: Nothing was echoed yet.
NEVER_S = float("-inf")
#: A process that ticks ten times a second and was not up for so long stood still: that time says nothing of its disk,
#: nor of the others.
STOOD_STILL_S = 0.5
#: What is wrong with the view must stay wrong for so long before somebody mends it; those further down the group wait
#: longer, so that as a rule one proposes.
WRONG_S = 0.25
STAGGER_S = 0.3
#: A proposer waits so long for more promises than it needs, and for its view to become active.
GATHER_S = 0.3
PROPOSAL_S = 1.2
#: After proposals that came to nothing the next may take so many times as long: bodies may be slow to come.
MOST_PATIENCE = 4
#: The root of the relays stays it for so long while its view is not active: as a rule the next one has the same tail,
#: and the tree of the whole fleet would be torn down and put together again.
ROOT_GRACE_S = 1.0
#: It stays it for so long after a majority was last known to be in reach: the others have another one soon after that.
ROOT_ALONE_S = 0.5
#: A write that has not come back by then is a disk that does not work, until it does.
STALL_S = 1.0
#: A disk that refused a write is tried again after so long.
TRY_DISK_S = 1.0
#: How often machines of the core pass on an order or a read that is not theirs.
MOST_HOPS = 2
#: Answers that say which version is in force; the first may depend on the program that judges.
INVALID = 400
REFUSALS = (INVALID, 412)
#: A read waits so long for a majority's word.
CONFIRM_S = 0.8


@dataclass(frozen=True, slots=True)
class SavePromise:
    """Put a promise on disk, then say so by `promise_saved`."""

    epoch: int
    proposer: str
    """Its address."""


@dataclass(frozen=True, slots=True)
class SaveView:
    """Put a view and what it begins with on disk, in one write, then say so by `view_saved`."""

    view: View
    entry: Entry | None
    taken: dict[int, bytes]


@dataclass(frozen=True, slots=True)
class Lead:
    """Be the root of the relays from now on, or no more."""

    root: bool


@dataclass(frozen=True, slots=True)
class TryDisk:
    """Write something, to see whether a disk that refused a write takes them again; then say so by `disk_tried`."""


#: What a machine's disk says of it: no view yet; a view that counts it in its group; one that was put there before it
#: was a member, while it stood by.
EMPTY, COUNTED, LEVEL = 0, 1, 2


@dataclass(frozen=True, slots=True)
class StartAnew:
    """This machine's disk is an older copy of itself: go on as another machine, with an empty disk."""

    why: str


Action = chain.ChainEffect | SavePromise | SaveView | Lead | TryDisk | StartAnew


@dataclass(slots=True)
class Heard:
    """The last pulse of a member, and up to when it is known to have lived."""

    name: str
    epoch: int
    promised: int
    disk: bool
    standing: int
    at_s: float
    """When the newest of this machine's pulses that it has echoed was sent: a lease on this machine's own clock."""
    held: int
    """The epoch of the newest view on its disk, and the number of its newest entry."""
    number: int


@dataclass(slots=True)
class Proposal:
    epoch: int
    group: tuple[str, ...]
    """Whose majority decides."""
    wanted: tuple[str, ...]
    """The group of the new view: the same, but for identities, or one member more or less (membership.py)."""
    began_s: float
    since: int = 0
    """Promises bring the digests of what was taken above this revision."""
    promises: dict[str, frames.Promise] = field(default_factory=dict)
    enough_s: float = 0.0
    sent: bool = False


@dataclass(slots=True)
class Asked:
    """A read, or a refusal, that waits for a majority's word that the epoch still holds."""

    origin: str
    refusal: frames.WriteResult | None
    due_s: float
    names: set[str]


def newest_of(promises: dict[str, frames.Promise]) -> frames.Promise:
    """The promise that tells of the newest entry: a committed one is never newer than that."""
    return max(promises.values(), key=lambda promise: (promise.entry_epoch, promise.number))


class Keeper:
    """One machine with a disk: its part in agreeing on views, and its member of the chain."""

    def __init__(
        self,
        name: str,
        copies: int,
        check: Callable[[bytes], int],
        digest: Callable[[bytes], bytes],
        jitter: Callable[[], float],
    ) -> None:
        self.name = name
        self.ip = ip_of(name)
        self.copies = copies
        self.check = check
        self.digest = digest
        self.jitter = jitter
        self.view: View | None = None
        """The newest that this machine knows of; it may have no place in it."""
        self.promised = 0
        self.promised_since = 0
        """The revision above which the newest promise tells what was taken."""
        self.seen_epoch = 0
        self.fresh_epoch = 0
        """Of the view that this machine has put on disk in this life; what it did before its start it has forgotten."""
        self.standing = EMPTY
        """What is on this disk."""
        self.member: ChainReplica | None = None
        self.last: Entry | None = None
        self.taken: dict[int, bytes] = {}
        self.heard: dict[str, Heard] = {}
        """By address."""
        self.checks = 0
        """By which version of the check this machine judges configurations (configuration.CHECKS)."""
        self.checks_of: dict[str, int] = {}
        """The same of others, by address, as they told it last."""
        self.proposal: Proposal | None = None
        self.patience = 1
        self.accepting: View | None = None
        self.wrong_since_s: float | None = None
        self.pulse_due_s = 0.0
        self.pulse_number = int(jitter() * (1 << 40))
        """Of the last pulse sent: from a number by chance, so that no echo of a life before counts in this one."""
        self.sent: dict[int, float] = {}
        """When pulses were sent, by number, as long as an echo of them says anything."""
        self.asked_s: dict[str, float] = {}
        """When an answer last asked a member for an echo, by address."""
        self.up_s = NEVER_S
        """When this process was last seen to run."""
        self.root = False
        self.root_s = NEVER_S
        """When this machine was last the tail of an active view."""
        self.writes: list[float] = []
        """When the writes that have not come back were begun."""
        self.disk_failed_s: float | None = None
        self.reads: dict[int, Asked] = {}
        self.own = self.raised = HighWaterMarks()
        """What is on this disk; and with the incarnation that the first write of this start puts there."""
        self.marks: dict[str, HighWaterMarks] = {}
        """The most that each other member has told, by name."""
        self.refused: set[str] = set()
        """Members whose disks are older than what they told."""
        self.leaving = False
        """This process was told to stop: it is no spare."""
        self.lacks = ""
        """Why this machine's disk is known to have lost something, if it is."""

    # -- start ---------------------------------------------------------------------------------------------

    def load(
        self, view: View | None, promised: int, last: Entry | None, taken: dict[int, bytes], now_s: float
    ) -> list[Action]:
        """What was on disk at the start."""
        self.promised, self.last, self.taken = promised, last, taken
        self.seen_epoch = promised
        self.own = replace(self.own, promised=promised)
        self.up_s = now_s
        if view is not None:
            self.hold(view)
        return self.tick(now_s)

    def remember(self, own: HighWaterMarks, raised: HighWaterMarks, marks: dict[str, HighWaterMarks]) -> None:
        """The incarnation on disk, the one that is put there by the first write, and what the others have told. Before
        `load`."""
        self.own, self.raised, self.marks = own, raised, marks

    def found(self, view: View, now_s: float) -> list[Action]:
        """The founding view: the first one proposed to a machine that has none is taken up."""
        if self.view is not None or self.accepting is not None or self.promised or self.name not in view.chain:
            return []
        return self.accept_view(view, None, {}, now_s)

    def hold(self, view: View) -> None:
        """This machine has put a view on disk, or finds it there."""
        self.view = view
        self.standing = COUNTED if self.name in view.group or self.standing == COUNTED else LEVEL
        self.seen_epoch = max(self.seen_epoch, view.epoch)
        self.own = replace(self.own, epoch=view.epoch, promised=max(self.own.promised, view.epoch))
        self.note_committed()
        self.marks = {name: marks for name, marks in self.marks.items() if name in view.group}
        self.refused &= set(view.group)
        self.reads.clear()  # what others have confirmed was the epoch before; callers ask again
        self.member = None
        if self.name in view.chain:
            self.member = ChainReplica(self.ip, view, self.check, self.digest, self.last, self.taken)
            self.member.sealed = self.promised > view.epoch

    # -- what is known -------------------------------------------------------------------------------------

    def disk_works(self, now_s: float) -> bool:
        stalled = bool(self.writes) and now_s - self.writes[0] > STALL_S
        return not stalled and self.disk_failed_s is None and not self.lacks

    def offers_disk(self, now_s: float) -> bool:
        """Whether others may count on this disk: one that leaves serves its group to the end, but joins none."""
        member = self.view is not None and self.name in self.view.group
        return self.disk_works(now_s) and (member or not self.leaving)

    def majority(self, group: tuple[str, ...]) -> int:
        return len(group) // 2 + 1

    def heard_lately(self, ip: str, now_s: float) -> bool:
        heard = self.heard.get(ip)
        return heard is not None and now_s - heard.at_s <= DEAD_S

    def present(self, name: str, now_s: float) -> bool:
        """Whether a member lives and its disk works, as far as is known here."""
        if name == self.name:
            return self.disk_works(now_s)
        heard = self.heard.get(ip_of(name))
        return heard is not None and heard.name == name and heard.disk and now_s - heard.at_s <= DEAD_S

    def contact_s(self, now_s: float) -> float:
        """Up to when a majority of the group, this machine with it, is known to have been in reach both ways."""
        if self.view is None:
            return NEVER_S
        times_s = [
            now_s
            if name == self.name
            else heard.at_s
            if (heard := self.heard.get(ip_of(name))) is not None and heard.name == name
            else NEVER_S
            for name in self.view.group
        ]
        return sorted(times_s, reverse=True)[self.majority(self.view.group) - 1]

    def stands(self) -> bool:
        """Whether this machine's view is active, as far as it knows."""
        member = self.member
        return member is not None and member.active and not member.sealed and member.is_caught_up()

    def leads(self, now_s: float) -> bool:
        """Whether this machine's word on the state counts now: its view is active, and a majority is in reach."""
        return self.stands() and now_s - self.contact_s(now_s) <= DEAD_S

    def holds_root(self, now_s: float) -> bool:
        """Whether this machine is the root of the relays, or stays it. To be asked before each word as the root: in a
        process that stood still timers run after what its sockets hold."""
        if self.view is None or ip_of(self.view.chain[-1]) != self.ip:
            return False
        if not self.root:
            return self.leads(now_s)
        return now_s - self.root_s < ROOT_GRACE_S and now_s - self.contact_s(now_s) <= DEAD_S + ROOT_ALONE_S

    def newcomers(self, now_s: float) -> dict[str, str]:
        """Machines of the group that came back as others, with empty disks: new names by old ones."""
        assert self.view is not None
        found = {}
        for name in self.view.group:
            heard = self.heard.get(ip_of(name))
            if heard is not None and heard.name != name and heard.disk and now_s - heard.at_s <= DEAD_S:
                found[name] = heard.name
        return found

    def may_promise(self) -> bool:
        return self.standing != EMPTY

    def empty(self, name: str, now_s: float) -> bool:
        """Whether a machine of the group is there and has no view on its disk yet: it promises nothing, and is taken
        into the chain without that."""
        heard = self.heard.get(ip_of(name))
        return name != self.name and self.present(name, now_s) and heard is not None and heard.standing == EMPTY

    # -- upkeep --------------------------------------------------------------------------------------------

    def run_on(self, now_s: float) -> None:
        """This process runs. If it stood still since it last did, no write was slow for that, and nothing was seen to
        be wrong all the while."""
        still_s = now_s - self.up_s
        self.up_s = now_s
        if still_s > STOOD_STILL_S:
            self.writes = [began_s + still_s for began_s in self.writes]
            self.wrong_since_s = None

    def tick(self, now_s: float) -> list[Action]:
        self.run_on(now_s)
        actions: list[Action] = []
        if now_s >= self.pulse_due_s:
            actions += self.pulse(now_s)
        if self.disk_failed_s is not None and now_s - self.disk_failed_s > TRY_DISK_S and not self.writes:
            self.writes.append(now_s)
            actions.append(TryDisk())
        if self.view is None:
            return actions
        if self.lacks and self.newer(now_s) >= self.majority(self.view.group):
            return [*actions, StartAnew(self.lacks)]
        member = self.member
        if member is not None:
            if not member.active and not member.sealed and self.all_hold(now_s):
                self.patience = 1
                actions += member.activate(now_s, self.most_told())
            actions += member.tick(now_s)
        if member is not None and member.is_tail() and self.stands():
            self.root_s = now_s
        root = self.holds_root(now_s)
        if root is not self.root:
            self.root = root
            actions.append(Lead(root))
        actions += self.conclude(now_s)
        actions += self.mend(now_s)
        for ident in [ident for ident, asked in self.reads.items() if now_s > asked.due_s]:
            del self.reads[ident]
        return actions

    def all_hold(self, now_s: float) -> bool:
        """Whether each member of the chain is known to have this view on disk. Nothing is undone by a later
        promise: activation only says what has been written."""
        assert self.view is not None
        return all(
            name == self.name
            or (
                (heard := self.heard.get(ip_of(name))) is not None
                and heard.name == name
                and heard.epoch == self.view.epoch
            )
            for name in self.view.chain
        )

    def pulse(self, now_s: float) -> list[Action]:
        self.pulse_due_s = now_s + PULSE_S
        if self.view is None:
            return []
        frame = self.own_pulse(now_s)
        members = [ip_of(name) for name in self.view.group]
        standing_by = [ip for ip in self.heard if ip not in members and self.heard_lately(ip, now_s)]
        return [SendMessage(ip, frame) for ip in [*members, *standing_by] if ip != self.ip]

    def own_pulse(self, now_s: float, echo: int = 0, asks: bool = True) -> frames.ReplicaHeartbeat:
        """With a number that is to be echoed, if it asks for that."""
        epoch = self.member.view.epoch if self.member is not None else 0
        own = self.own_marks()
        disk = 1 + 2 * self.checks if self.offers_disk(now_s) else 0
        return frames.ReplicaHeartbeat(
            self.name,
            epoch,
            self.promised,
            disk,
            self.standing,
            self.next_number(now_s) if asks else 0,
            echo,
            own.incarnation,
            own.incarnation_id,
            own.promised,
            own.epoch,
            own.number,
        )

    def next_number(self, now_s: float) -> int:
        for number in [number for number, at_s in self.sent.items() if now_s - at_s > DEAD_S + ROOT_ALONE_S]:
            del self.sent[number]
        self.pulse_number += 1
        self.sent[self.pulse_number] = now_s
        return self.pulse_number

    def echoed_s(self, frame: frames.ReplicaHeartbeat, now_s: float) -> float:
        """When the pulse of this machine that another one echoes was sent. When the echo is read says nothing: it may
        have been in a socket for long."""
        return self.sent.get(frame.echoed_sequence, NEVER_S)

    def on_pulse(self, frame: frames.ReplicaHeartbeat, now_s: float) -> list[Action]:
        self.run_on(now_s)
        ip = ip_of(frame.name)
        told = HighWaterMarks(
            frame.incarnation, frame.draw, frame.durable_promise, frame.stored_epoch, frame.stored_number
        )
        if self.refuses(frame.name, told):
            return [*self.accuse(frame.name), *self.echo(ip, frame, now_s)]
        before = self.heard.get(ip)
        at_s = self.echoed_s(frame, now_s)
        if before is not None and before.name == frame.name:
            at_s = max(at_s, before.at_s)
        self.heard[ip] = Heard(
            frame.name,
            frame.epoch,
            frame.promised,
            bool(frame.disk_flags),
            frame.disk_state,
            at_s,
            frame.stored_epoch,
            frame.stored_number,
        )
        if frame.disk_flags:
            self.checks_of[ip] = frame.disk_flags >> 1
        if self.shows_a_loss(frame):
            self.lose(
                f"{frame.name} has entry {frame.stored_number} of epoch {frame.stored_epoch},"
                f" and this disk {self.own_marks()}"
            )
        self.seen_epoch = max(self.seen_epoch, frame.promised, frame.epoch)
        actions: list[Action] = []
        if self.view is not None and frame.epoch < self.view.epoch:
            view = self.view
            if frame.name not in view.chain:
                actions.append(SendMessage(ip, frames.ViewAnnouncement(view.epoch, view.chain, view.group)))
        elif self.member is not None and not self.member.active:
            actions += self.tick(now_s)
        if self.member is not None and frame.stored_epoch == self.member.view.epoch:
            actions += self.member.resend_to_successor(ip, frame.stored_number)
        return actions + self.echo(ip, frame, now_s)

    def echo(self, ip: str, frame: frames.ReplicaHeartbeat, now_s: float) -> list[Action]:
        """Answer a pulse at once. One who was not heard lately (it or this machine has just started, or stood still) is
        asked for an echo in turn, so that nobody waits for the next pulse."""
        if not frame.sequence:
            return []
        asks = not self.heard_lately(ip, now_s) and now_s - self.asked_s.get(ip, NEVER_S) > ANSWER_S
        if asks:
            self.asked_s[ip] = now_s
        return [SendMessage(ip, self.own_pulse(now_s, frame.sequence, asks))]

    def on_view(self, frame: frames.ViewAnnouncement, now_s: float) -> list[Action]:
        """A newer view than this machine holds: it has no place in it, or its write is still under way."""
        if self.view is not None and frame.epoch <= self.view.epoch:
            return []
        self.view = View(frame.epoch, frame.chain, frame.group)
        self.seen_epoch = max(self.seen_epoch, frame.epoch)
        self.proposal = None  # it was to follow on another view, and its majority is that of another group
        # What the member has synced is on disk still, and a promise must tell of it: it may be the only copy left.
        self.last, self.taken = self.newest(), self.all_taken()
        self.reads.clear()
        self.member = None
        self.wrong_since_s = None
        return self.pulse(now_s)

    # -- older copies of disks -----------------------------------------------------------------------------

    def own_marks(self) -> HighWaterMarks:
        """What is on this disk by now."""
        entry = self.newest()
        return replace(self.own, number=entry.number if entry is not None else 0)

    def note_committed(self) -> None:
        """As a view ends: what was committed in it was on the disks of its whole chain, told by pulses or not. While
        it lasts, a pulse that is a little late tells less, and must be heard."""
        member = self.member
        if member is None or not member.active:
            return
        has = member.view.epoch, member.committed
        for name in member.view.chain:
            known = self.marks.get(name)
            if known is not None and (known.epoch, known.number) < has:
                self.marks[name] = replace(known, epoch=has[0], number=has[1])

    def refuses(self, name: str, told: HighWaterMarks) -> bool:
        """Whether a member tells less than it told before. Its word counts for nothing then."""
        known = self.marks.get(name)
        if known is not None and told.is_behind(known):
            return True
        if self.view is not None and name in self.view.group and name != self.name:
            self.marks[name] = told
            self.refused.discard(name)
        return False

    def accuse(self, name: str) -> list[Action]:
        """Tell a member what it told before."""
        self.refused.add(name)
        known = self.marks[name]
        return [
            SendMessage(
                ip_of(name),
                frames.RollbackNotice(
                    name, known.incarnation, known.incarnation_id, known.promised, known.epoch, known.number
                ),
            )
        ]

    def on_stale(self, frame: frames.RollbackNotice, now_s: float) -> list[Action]:
        """Another one holds that this machine has told more. An old word of ours may have come late: then not."""
        told = HighWaterMarks(frame.incarnation, frame.draw, frame.promised, frame.epoch, frame.number)
        own = self.own_marks()
        if frame.name == self.name and own.is_behind(told):
            self.lose(f"this disk is an older copy of itself: it has {own}, and {told} was told")
            return self.tick(now_s)
        return []

    def lose(self, why: str) -> None:
        """This machine's word counts for nothing from now on. It starts anew, as with an empty disk, once a majority
        has something newer: until then its old disk may be all that is left to go on with."""
        self.lacks = self.lacks or why
        if self.member is not None:
            self.member.sealed = True

    def newer(self, now_s: float) -> int:
        """How many others are there that have more on their disks."""
        own = self.own_marks()
        return sum(
            1
            for heard in self.heard.values()
            if self.heard_lately(ip_of(heard.name), now_s) and (heard.held, heard.number) > (own.epoch, own.number)
        )

    def shows_a_loss(self, frame: frames.ReplicaHeartbeat) -> bool:
        """Whether this disk must once have had more: within an epoch nobody has an entry that one before it in the
        chain lacks, and an entry is only begun once all have the one before it."""
        view, own = self.view, self.own_marks()
        if self.member is None or view is None or not view.epoch == own.epoch == frame.stored_epoch:
            return False
        if frame.name not in view.chain or frame.name == self.name:
            return False
        before = view.chain.index(frame.name) < view.chain.index(self.name)
        return frame.stored_number > own.number + before

    def most_told(self) -> int:
        """The highest number that others of the chain have told in this epoch."""
        assert self.view is not None
        return max(
            (
                heard.number
                for heard in self.heard.values()
                if heard.name in self.view.chain and heard.held == self.view.epoch
            ),
            default=0,
        )

    # -- mending -------------------------------------------------------------------------------------------

    def wrong(self, now_s: float) -> bool:
        """Whether the view should be another one, as far as this machine can tell."""
        view = self.view
        assert view is not None
        if self.newcomers(now_s):
            return True
        wanted = {name for name in view.group if self.present(name, now_s)}
        if wanted != set(view.chain):
            return True
        for name in view.chain:
            if name == self.name:
                if self.promised > view.epoch or self.member is None:
                    return True
            else:
                heard = self.heard[ip_of(name)]
                if heard.promised > view.epoch or heard.epoch != view.epoch:
                    return True
        return False

    def mend(self, now_s: float) -> list[Action]:
        """Propose the next view where this one is wrong for long enough, and a majority is there to decide it."""
        view = self.view
        assert view is not None
        if self.name not in view.group or not self.wrong(now_s):
            self.wrong_since_s = None
            return []
        if self.wrong_since_s is None:
            self.wrong_since_s = now_s
        present = [name for name in view.group if self.present(name, now_s)]
        able = [name for name in present if not self.empty(name, now_s)]
        if self.name not in present or len(able) < self.majority(view.group) or self.proposal is not None:
            return []
        # While a view is being taken up some may still wait for what it begins with.
        patience = self.patience if self.member is not None and not self.member.active else 1
        wait_s = WRONG_S * patience + present.index(self.name) * STAGGER_S + self.jitter() * STAGGER_S / 2
        if now_s - self.wrong_since_s < wait_s:
            return []
        return self.propose(now_s)

    def propose(self, now_s: float, wanted: tuple[str, ...] | None = None) -> list[Action]:
        """Ask for promises, for a view of the same group or of another one. Who came back with an empty disk must be
        known by now: whatever the old identity had a part in shows in promises that are asked for later."""
        assert self.view is not None
        group = self.view.group
        if wanted is None:
            new = self.newcomers(now_s)
            wanted = tuple(new.get(name, name) for name in group)
        if self.member is not None and not self.member.active:
            self.patience = min(2 * self.patience, MOST_PATIENCE)
        # No two machines ever propose the same epoch: its last eight bits are the proposer's place.
        epoch = (self.seen_epoch >> 8) + 1 << 8 | group.index(self.name)
        self.seen_epoch = epoch
        since = self.taken_up_to()
        self.proposal = Proposal(epoch, group, wanted, now_s, since)
        return [SendMessage(ip_of(name), frames.Prepare(epoch, self.name, since)) for name in group]

    def on_prepare(self, frame: frames.Prepare, now_s: float) -> list[Action]:
        if frame.epoch <= self.promised:
            return []
        self.seen_epoch = max(self.seen_epoch, frame.epoch)
        if self.lacks or not self.may_promise():
            return []
        self.promised, self.promised_since = frame.epoch, frame.digests_since
        if self.member is not None:
            self.member.sealed = True
        self.wrong_since_s = None  # somebody mends it
        self.writes.append(now_s)
        return [SavePromise(frame.epoch, ip_of(frame.name))]

    def promise_saved(self, epoch: int, proposer: str, now_s: float) -> list[Action]:
        """The promise is on disk; what is told with it was on disk before."""
        self.written(now_s)
        self.own = replace(self.own, promised=max(self.own.promised, epoch))
        if epoch != self.promised:
            return []
        view = self.view or View(0, (), ())
        entry = self.newest() or Entry(0, 0, 0, 0, b"")
        return [
            SendMessage(
                proposer,
                frames.Promise(
                    epoch,
                    self.name,
                    view.epoch,
                    view.chain,
                    view.group,
                    entry.number,
                    entry.epoch,
                    entry.revision,
                    entry.base,
                    entry.body,
                    digests.pack(self.all_taken(), self.promised_since),
                    self.own.incarnation,
                    self.own.incarnation_id,
                    self.own.epoch,
                ),
            )
        ]

    def newest(self) -> Entry | None:
        return self.member.last if self.member is not None else self.last

    def all_taken(self) -> dict[int, bytes]:
        return self.member.applied_digests if self.member is not None else self.taken

    def taken_up_to(self) -> int:
        """The revision up to which the digests here are those of committed versions, and all that are kept: what came
        before an entry was committed before that was put on any disk."""
        entry = self.newest()
        return entry.base if entry is not None else 0

    def on_promise(self, frame: frames.Promise, now_s: float) -> list[Action]:
        """Raises FrameError."""
        proposal = self.proposal
        if proposal is None or proposal.epoch != frame.epoch or proposal.sent or frame.name not in proposal.group:
            return []
        if self.refuses(
            frame.name, HighWaterMarks(frame.incarnation, frame.draw, frame.epoch, frame.stored_epoch, frame.number)
        ):
            return self.accuse(frame.name)
        if self.view is not None and frame.view_epoch > self.view.epoch:
            # Another view was made meanwhile: its group decides, so this proposal is over.
            self.proposal = None
            return self.on_view(frames.ViewAnnouncement(frame.view_epoch, frame.chain, frame.group), now_s)
        digests.unpack(frame.applied_digests)  # what is broken is refused here, before anything counts on it
        proposal.promises[frame.name] = frame
        if len(proposal.promises) >= self.majority(proposal.group) and not proposal.enough_s:
            proposal.enough_s = now_s
        return self.conclude(now_s)

    def conclude(self, now_s: float) -> list[Action]:
        """Send out the view once enough have promised, and the others had time to."""
        proposal = self.proposal
        if proposal is None:
            return []
        if now_s - proposal.began_s > PROPOSAL_S * self.patience:
            self.proposal = None
            self.patience = min(2 * self.patience, MOST_PATIENCE)
            self.wrong_since_s = now_s  # wait anew: another one may be at it
            return []
        if proposal.sent or not proposal.enough_s:
            return []
        missing = [
            name
            for name in proposal.group
            if name not in proposal.promises and self.present(name, now_s) and not self.empty(name, now_s)
        ]
        if missing and now_s - proposal.enough_s < GATHER_S:
            return []
        return self.decide(proposal, now_s)

    def decide(self, proposal: Proposal, now_s: float) -> list[Action]:
        assert self.view is not None
        group = proposal.wanted
        added = {name for name in group if name not in proposal.group and self.present(name, now_s)}
        there = set(proposal.promises) | added | {name for name in group if self.empty(name, now_s)}
        # The tail stays where it was if it can: it is the root of the relays.
        kept = [name for name in self.view.chain if name in there and name in group]
        members = [name for name in group if name in there and name not in kept] + kept
        if len(group) > len(proposal.group) and len(kept) > 1:
            members = kept[:1] + [name for name in members if name not in kept] + kept[1:]  # the change goes on there
        if len(members) < max(self.copies, self.majority(group)) or not self.has_the_new_one(group, members):
            return []
        best = newest_of(proposal.promises)
        proposal.sent = True
        taken = digests.merge(self.all_taken(), proposal.since, digests.unpack(best.applied_digests))
        return [
            SendMessage(ip_of(name), self.accept_for(proposal, name, tuple(members), group, best, taken))
            for name in members
        ]

    def accept_for(
        self,
        proposal: Proposal,
        name: str,
        members: tuple[str, ...],
        group: tuple[str, ...],
        best: frames.Promise,
        taken: dict[int, bytes],
    ) -> frames.Accept:
        """To each the digests that it lacks: one with an empty disk has told of none."""
        promise = proposal.promises.get(name)
        since = promise.base if promise is not None else 0
        return frames.Accept(
            proposal.epoch,
            members,
            group,
            best.number,
            best.revision,
            best.base,
            best.body,
            digests.pack(taken, since),
            since,
        )

    def has_the_new_one(self, group: tuple[str, ...], chain: list[str]) -> bool:
        """Whether a machine whose address is new to the group has its place in the chain: it holds what counts before
        it counts itself."""
        assert self.view is not None
        old = {ip_of(name) for name in self.view.group}
        return all(name in chain for name in group if ip_of(name) not in old)

    def on_accept(self, frame: frames.Accept, now_s: float) -> list[Action]:
        view = View(frame.epoch, frame.chain, frame.group, frame.number)
        if frame.epoch < self.promised or self.name not in frame.chain or self.lacks:
            return []
        if self.accepting == view or (self.view is not None and self.view.epoch >= view.epoch):
            return []
        entry = None
        if frame.number:
            entry = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)
        if frame.digests_since and frame.digests_since not in self.all_taken():
            return []  # not the disk that the promise told of: digests would be missing
        taken = digests.merge(self.all_taken(), frame.digests_since, digests.unpack(frame.applied_digests))
        return self.accept_view(view, entry, taken, now_s)

    def accept_view(self, view: View, entry: Entry | None, taken: dict[int, bytes], now_s: float) -> list[Action]:
        self.accepting = view
        self.promised = max(self.promised, view.epoch)
        if self.member is not None:
            self.member.sealed = True
        self.writes.append(now_s)
        return [SaveView(view, entry, taken)]

    def view_saved(self, view: View, entry: Entry | None, taken: dict[int, bytes], now_s: float) -> list[Action]:
        self.written(now_s)
        if self.accepting == view:
            self.accepting = None
        self.last, self.taken = entry, taken
        self.fresh_epoch = view.epoch
        self.proposal = None
        self.wrong_since_s = None
        self.hold(view)
        return self.pulse(now_s) + self.tick(now_s)

    # -- the disk ------------------------------------------------------------------------------------------

    def written(self, now_s: float) -> None:
        """A write has come back; the disk works."""
        if self.writes:
            self.writes.pop(0)
        self.disk_failed_s = None
        self.own = replace(self.own, incarnation=self.raised.incarnation, incarnation_id=self.raised.incarnation_id)

    def try_disk(self, now_s: float) -> list[Action]:
        """Write something soon, for there is something to be kept that waits for a write."""
        if self.writes or self.disk_failed_s is not None:
            return []
        self.writes.append(now_s)
        return [TryDisk()]

    def disk_tried(self, now_s: float) -> list[Action]:
        self.written(now_s)
        return self.pulse(now_s)

    def write_failed(self, what: SavePromise | SaveView | PersistEntry | TryDisk, now_s: float) -> list[Action]:
        """The disk refused a write: until another one goes through this machine is no good member."""
        if self.writes:
            self.writes.pop(0)
        self.disk_failed_s = now_s
        if isinstance(what, SaveView) and self.accepting == what.view:
            self.accepting = None
        actions: list[Action] = []
        if isinstance(what, PersistEntry) and self.member is not None:
            actions += self.member.persist_failed(what.entry, now_s)
        return actions + self.pulse(now_s)

    def state(self, ident: int, now_s: float) -> frames.ReplicaStatus:
        """What this machine holds, for an operator."""
        view = self.view or View(0, (), ())
        member, newest = self.member, self.newest()
        flags = (
            (frames.VIEW_ACTIVE if member is not None and member.active and not member.sealed else 0)
            | (frames.DISK_WORKS if self.disk_works(now_s) else 0)
            | (frames.IS_ROOT if self.root else 0)
        )
        return frames.ReplicaStatus(
            ident,
            self.name,
            view.epoch,
            view.chain,
            view.group,
            self.promised,
            newest.number if newest else 0,
            newest.revision if newest else 0,
            member.committed if member is not None else 0,
            flags,
        )

    # -- orders and reads ----------------------------------------------------------------------------------

    def order(self, frame: frames.WriteRequest, now_s: float) -> list[Action]:
        if self.view is None:
            return []
        if ip_of(self.view.chain[0]) != self.ip:
            return self.pass_on(ip_of(self.view.chain[0]), frame)
        if self.member is None or not self.leads(now_s):
            return []
        return self.note_syncs(self.member.submit(frame, now_s), now_s)

    def pass_on(
        self, ip: str, frame: frames.WriteRequest | frames.ReadRequest | frames.MembershipChangeRequest
    ) -> list[Action]:
        """To the machine whose part it is, at most so often; whoever took the call sends it again."""
        return [SendMessage(ip, replace(frame, hops=frame.hops + 1))] if frame.hops < MOST_HOPS else []

    def forward(self, frame: frames.ForwardEntry, now_s: float) -> list[Action]:
        return self.note_syncs(self.member.on_forward(frame, now_s), now_s) if self.member is not None else []

    def committed(self, frame: frames.CommitNotice, now_s: float) -> list[Action]:
        return self.note_syncs(self.member.on_commit(frame, now_s), now_s) if self.member is not None else []

    def synced(self, entry: Entry, now_s: float) -> list[Action]:
        self.written(now_s)
        if self.member is None or self.member.view.epoch != entry.epoch:
            return []  # a view has come in between, and with it what counts
        return self.note_syncs(self.member.entry_persisted(entry, now_s), now_s)

    def note_syncs(self, actions: list[chain.ChainEffect], now_s: float) -> list[Action]:
        """What the member wants done. A refusal names the version in force: a head that was cut off, or frozen, may
        not have heard yet that there is a newer one, so the others are asked first."""
        done: list[Action] = []
        for action in actions:
            if isinstance(action, PersistEntry):
                self.writes.append(now_s)
            if (
                isinstance(action, SendMessage)
                and isinstance(action.frame, frames.WriteResult)
                and (action.frame.status == INVALID and not self.judge_alike())
            ):
                done.append(
                    SendMessage(action.ip, replace(action.frame, status=503, text=f"for now: {action.frame.text}"))
                )
            elif (
                isinstance(action, SendMessage)
                and isinstance(action.frame, frames.WriteResult)
                and action.frame.status in REFUSALS
            ):
                done += self.confirm(action.frame.request_id, action.ip, action.frame, now_s)
            else:
                done.append(action)
        return done

    def judge_alike(self) -> bool:
        """Whether no member is known to judge configurations by another version of the check: it may be the head next,
        and take a late copy of what was refused here."""
        return self.view is None or all(
            self.checks_of.get(ip_of(name), self.checks) == self.checks for name in self.view.group
        )

    def confirm(self, ident: int, origin: str, refusal: frames.WriteResult | None, now_s: float) -> list[Action]:
        """Ask the group whether this epoch still holds, before something is answered."""
        assert self.view is not None
        if ident in self.reads:
            return []
        self.reads[ident] = Asked(origin, refusal, now_s + CONFIRM_S, {self.name})
        ask = frames.QuorumReadCheck(self.view.epoch, ident, self.ip)
        others: list[Action] = [SendMessage(ip_of(name), ask) for name in self.view.group if name != self.name]
        return others + self.answer_read(ident)

    def read(self, frame: frames.ReadRequest, now_s: float) -> list[Action]:
        """Answered by the tail, once a majority has confirmed that no later epoch was promised."""
        if self.view is None:
            return []
        tail = ip_of(self.view.chain[-1])
        if tail != self.ip:
            return self.pass_on(tail, frame)
        return self.confirm(frame.request_id, frame.origin, None, now_s) if self.leads(now_s) else []

    def on_confirm(self, frame: frames.QuorumReadCheck) -> list[Action]:
        if self.promised > frame.epoch or self.view is None or self.view.epoch > frame.epoch or self.lacks:
            return []
        return [SendMessage(frame.origin, frames.QuorumReadAck(frame.epoch, frame.request_id, self.name))]

    def on_confirmed(self, frame: frames.QuorumReadAck, now_s: float) -> list[Action]:
        asked = self.reads.get(frame.request_id)
        if asked is None or now_s > asked.due_s or self.view is None or frame.epoch != self.view.epoch:
            return []
        if frame.name in self.view.group and frame.name not in self.refused:
            asked.names.add(frame.name)
        return self.answer_read(frame.request_id)

    def answer_read(self, ident: int) -> list[Action]:
        asked = self.reads[ident]
        member = self.member
        assert self.view is not None
        if (
            len(asked.names) < self.majority(self.view.group)
            or member is None
            or member.sealed
            or not member.is_caught_up()
        ):
            return []
        if asked.refusal is not None:
            del self.reads[ident]
            return [SendMessage(asked.origin, asked.refusal)]
        entry = member.last if member.committed == member.number else None
        if entry is None and member.number:
            return []  # the tail's own sync is what commits, so this does not last
        del self.reads[ident]
        frame = frames.ReadResult(ident, 200 if entry else 404, entry.body if entry else b"")
        return [SendMessage(asked.origin, frame)]
