"""The simulated core: machines that run the real rules of chain and view on a simulated network, clock and disk.

Large bodies: a machine that lacks one which a message names has the message only once the body has come, seconds later.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

from cypressbeam.consensus.dispatch import Dispatcher
from cypressbeam.consensus.effects import (
    PersistEntry,
    PersistPromise,
    PersistView,
    ProbeDisk,
    Publish,
    ResetIdentity,
    SendMessage,
    SetLeadership,
)
from cypressbeam.consensus.failure_detection import FAILURE_TIMEOUT_S, LEADER_CONTACT_GRACE_S
from cypressbeam.consensus.high_water_marks import HighWaterMarks
from cypressbeam.consensus.quorum_reads import CONFIRMATION_TIMEOUT_S
from cypressbeam.consensus.replica import REJECTION_STATUSES, Replica
from cypressbeam.consensus.views import Entry, View, ip_of, majority
from cypressbeam.protocol import frames
from lab.histories.disks import Copies, Disk
from lab.histories.downstream import Announcement
from lab.histories.events import EventLoop
from lab.histories.invariants import demand, digest, revision
from lab.histories.network import CLIENT, Network
from lab.histories.observer import Observer
from lab.histories.plans import DOWNSTREAM, IPS, MACHINES, Step
from lab.histories.vector_clocks import VectorTime

TICK_S = 0.1
#: Seconds that a frame is on its way, and a write takes; in histories of many changes, where also less is lost.
WAY_S, WRITE_S = (0.001, 0.02), (0.002, 0.03)
QUICK_WAY_S, QUICK_WRITE_S = (0.0005, 0.004), (0.001, 0.004)
#: Seconds after which a write that hangs is looked at again.
STALLED_S = 0.2
#: A root speaks only so long after it was in contact with a majority; who reads, or is refused, is told only so long
#: after one was asked.
ROOT_BOUND_S = FAILURE_TIMEOUT_S + LEADER_CONTACT_GRACE_S
ANSWER_BOUND_S = CONFIRMATION_TIMEOUT_S
#: For sums of times that are compared.
LEEWAY_S = 1e-6
#: The view that all machines of the group begin with.
FIRST_EPOCH = 256

#: Events of a machine, which wait while it stands still.
MACHINE_EVENTS = ("tick", "written", "frame", "held")


class SimulatedCore(EventLoop):
    """The machines, their disks and what they do. Subclasses say what disturbs them, and who calls them."""

    def __init__(
        self,
        seed: int,
        loss: float = 0.02,
        lying: bool = False,
        same_name: bool = False,
        copies: int = 0,
        large: bool = False,
        machines: int = len(IPS),
        quick: bool = False,
        standing_by: int = 0,
    ) -> None:
        """`lying`: disks keep no entry over a stop; `same_name`: a disk that was lost keeps its identity; `copies`:
        how many the rules are told that a chain must have; the last of the machines may stand by: the group is the
        others."""
        super().__init__()
        self.ips = MACHINES[:machines]
        self.rng = random.Random(f"world {seed}")
        self.network = Network(self, self.rng, self.ips, QUICK_WAY_S if quick else WAY_S, loss, large)
        self.write_s = QUICK_WRITE_S if quick else WRITE_S
        self.lying, self.same_name = lying, same_name
        group = self.ips[: machines - standing_by]
        enough = majority(len(group))
        self.observer = Observer(DOWNSTREAM, enough)
        self.copies = copies or enough
        self.disks = {ip: Disk(f"{ip}/0") for ip in self.ips}
        self.copies_of_disks = Copies(seed)
        self.lives = dict.fromkeys(self.ips, 0)
        self.replicas: dict[str, Replica] = {}
        self.dispatchers: dict[str, Dispatcher] = {}
        self.pending: dict[str, list[Any]] = {ip: [] for ip in self.ips}
        """Writes that are under way."""
        self.frozen: dict[str, list[tuple[Any, ...]]] = {}
        """What waits in the sockets of a machine that stands still, and its timer and finished writes."""
        self.orphans: list[Step] = []
        self.identities: set[str] = set()
        """Names that the machines had when views began to be orphaned."""
        self.refusing: set[str] = set()
        self.stalled: set[str] = set()
        self.told: dict[str, int] = {}
        """The version that each machine has published in this life."""
        self.trace: list[str] = []
        self.handlers |= {
            "tick": self.on_tick,
            "written": self.on_written,
            "frame": self.on_frame,
            "held": self.on_held,
            "announcement": self.hear,
        }
        self.found(group)

    def found(self, group: tuple[str, ...]) -> None:
        """All of the group hold one view."""
        names = tuple(f"{ip}/0" for ip in group)
        view = View(FIRST_EPOCH, names, names)
        for ip in group:
            self.disks[ip].view, self.disks[ip].promised = view, FIRST_EPOCH
        for ip in self.ips:
            self.start(ip)

    # -- machines ------------------------------------------------------------------------------------------

    def start(self, ip: str) -> None:
        """The process starts, from what is on the machine's disk."""
        disk = self.disks[ip]
        self.lives[ip] += 1
        self.told[ip] = 0
        self.network.bodies[ip] = {disk.last.body: 0.0} if disk.last is not None else {}
        replica = self.replicas[ip] = Replica(disk.name, self.copies, revision, digest, self.rng.random)
        self.dispatchers[ip] = Dispatcher(replica)
        replica.restore_marks(disk.own, HighWaterMarks(disk.own.incarnation + 1, self.lives[ip]), dict(disk.marks))
        self.execute(ip, replica.load(disk.view, disk.promised, disk.last, dict(disk.taken), self.now_s))
        self.at(TICK_S, "tick", ip, self.lives[ip])

    def stop(self, ip: str, wipe: bool = False) -> None:
        """Power is lost. Of the writes that were under way some are on the disk, whole, though nobody was told."""
        replica = self.replicas.pop(ip, None)
        self.lives[ip] += 1
        self.frozen.pop(ip, None)
        pending, self.pending[ip] = self.pending[ip], []
        if not self.lying and ip not in self.refusing and ip not in self.stalled:
            for action in pending[: self.rng.randint(0, len(pending))]:
                self.disks[ip].write(action, replica)
        if wipe:
            self.disks[ip] = Disk(f"{ip}/0" if self.same_name else f"{ip}/{self.lives[ip]}")

    def may_lose_disk(self, ip: str) -> bool:
        """Whether no more disks are lost then than may be: one that was lost is, until a view on it counts it."""
        lost = [
            other
            for other, disk in self.disks.items()
            if other != ip and (disk.view is None or disk.name not in disk.view.group)
        ]
        return len(lost) < len(self.ips) // 2

    def thaw(self, ip: str) -> None:
        """A machine that stood still goes on. It reads what waits in its sockets, one after another, at once; its timer
        and what its disk has done meanwhile come before or after that."""
        held = self.frozen.pop(ip, [])
        rank = {origin: self.rng.random() for origin in (*self.ips, CLIENT)}
        read = sorted((what for what in held if what[0] == "held"), key=lambda what: rank[what[2]])
        others = [what for what in held if what[0] != "held"]
        for what in [*read, *others] if self.rng.random() < 0.5 else [*others, *read]:
            self.at(0.0, *what)

    def newest_view(self) -> View | None:
        """The newest that anybody holds."""
        views = [replica.state.view for replica in self.replicas.values() if replica.state.view is not None]
        return max(views, key=lambda view: view.epoch, default=None)

    def leader(self) -> str:
        """The head of the newest chain that anybody holds."""
        view = self.newest_view()
        return view.head if view is not None else self.ips[0]

    # -- effects of the rules ------------------------------------------------------------------------------

    def execute(self, ip: str, actions: Iterable[Any]) -> None:
        """Do what a machine's rules ask for."""
        for action in actions:
            if isinstance(action, SendMessage):
                if action.ip == CLIENT:
                    self.may_answer(ip, action.frame)
                self.send(ip, action.ip, action.frame)
            elif isinstance(action, Publish):
                self.publish(ip, action.entry)
            elif isinstance(action, ResetIdentity):
                self.trace.append(f"{self.now_s:7.3f} {ip} starts anew")
                self.stop(ip, wipe=True)
                self.start(ip)
                return
            elif not isinstance(action, SetLeadership):
                self.pending[ip].append(action)
                self.at(self.rng.uniform(*self.write_s), "written", ip, self.lives[ip])

    def publish(self, ip: str, entry: Entry) -> None:
        """A machine has published an entry as committed."""
        self.observer.on_published(entry)
        self.told[ip] = max(self.told[ip], entry.revision)
        self.speak(ip)

    def on_written(self, ip: str, life: int) -> None:
        """The oldest write of a machine has come to its end, unless the machine was stopped meanwhile."""
        if self.lives[ip] != life:
            return
        if ip in self.stalled:
            self.at(STALLED_S, "written", ip, life)
            return
        replica, action = self.replicas[ip], self.pending[ip].pop(0)
        if ip in self.refusing:
            if self.keeps_refused_write():
                self.disks[ip].write(action, replica)
            self.execute(ip, replica.write_failed(action, self.now_s))
            return
        if not (self.lying and isinstance(action, PersistEntry)):
            self.disks[ip].write(action, replica)
        self.execute(ip, self.write_done(ip, replica, action))

    def write_done(self, ip: str, replica: Replica, action: Any) -> Iterable[Any]:
        """Tell the rules that a write is on disk; gives what they ask for then."""
        if isinstance(action, PersistEntry):
            self.observer.on_synced(action.entry)
            return replica.entry_persisted(action.entry, self.now_s)
        if isinstance(action, PersistPromise):
            return replica.promise_persisted(action.epoch, action.proposer, self.now_s)
        if isinstance(action, PersistView):
            done = replica.view_persisted(action.view, action.entry, dict(action.applied_digests), self.now_s)
            self.orphan(ip, action.view)
            return done
        assert isinstance(action, ProbeDisk)
        return replica.disk_probed(self.now_s)

    def keeps_refused_write(self) -> bool:
        """Whether a disk keeps a write that it refuses, since only the sync failed: a later start finds the write."""
        return False

    def orphan(self, ip: str, view: View) -> None:
        """While views are to be orphaned: the first machine that has one with a new identity is lost a moment later."""
        if self.orphans and any(name not in self.identities for name in view.group):
            step = self.orphans.pop()
            self.at(self.rng.uniform(0.0, 0.4), "begin", "", Step(self.now_s, "kill", ip, step.for_s))

    # -- contact, and downstream nodes ----------------------------------------------------------------------

    def alone_s(self, ip: str) -> float:
        """How long ago a machine was last in contact with a majority, by what the frames that it has read prove."""
        view = self.replicas[ip].state.view
        group = tuple(ip_of(name) for name in view.group) if view is not None else ()
        return self.now_s - self.network.clocks.contact_s(ip, group, self.now_s)

    def may_answer(self, ip: str, frame: frames.Frame) -> None:
        """What is in force is told only by a machine in contact with a majority."""
        if isinstance(frame, frames.ReadResult) or (
            isinstance(frame, frames.WriteResult) and frame.status in REJECTION_STATUSES
        ):
            demand(self.alone_s(ip) <= ANSWER_BOUND_S + LEEWAY_S, f"{ip} answers after {self.alone_s(ip):.3f} s alone")

    def speak(self, ip: str) -> None:
        """The root announces to the downstream nodes what it has."""
        replica = self.replicas[ip]
        if not replica.leadership.holds_lease(self.now_s) or replica.state.view is None or not self.told[ip]:
            return
        alone_s = self.alone_s(ip)
        demand(alone_s <= ROOT_BOUND_S + LEEWAY_S, f"{ip} speaks as the root after {alone_s:.3f} s alone")
        announced = Announcement(replica.state.view.epoch, ip, self.told[ip])
        for name in DOWNSTREAM:
            self.network.try_way("announcement", name, ip, announced)

    def hear(self, name: str, ip: str, announced: Announcement) -> None:
        """A root's announcement is at a downstream node, unless the way is cut."""
        if (ip, name) not in self.network.cut:
            self.observer.on_announced(name, announced)

    # -- messages ------------------------------------------------------------------------------------------

    def send(self, origin: str, ip: str, frame: frames.Frame) -> None:
        """A machine, or an operator, sends a message."""
        self.network.send(origin, ip, frame)

    def on_frame(self, ip: str, origin: str, frame: frames.Frame, time: VectorTime) -> None:
        """A message is at a machine or at the operators, unless the way is cut."""
        if ip == CLIENT:
            if (origin, ip) not in self.network.cut:
                self.answer(frame)
        elif ip in self.replicas and self.network.passes(origin, ip, frame):
            self.take(ip, origin, frame, time)

    def on_held(self, ip: str, origin: str, frame: frames.Frame, time: VectorTime) -> None:
        """A message that waited in a socket is read, whatever is cut by now."""
        if ip in self.replicas:
            self.take(ip, origin, frame, time)

    def take(self, ip: str, origin: str, frame: frames.Frame, time: VectorTime) -> None:
        """It is carried out once its body is there too."""
        wait_s = self.network.body_due_s(origin, ip, frame.body_or_digest())
        if wait_s > 0.0:
            self.at(wait_s, "frame", ip, origin, frame, time)
        else:
            if origin != CLIENT:
                self.network.clocks.on_read(ip, origin, time)
            self.deliver(ip, frame)

    def deliver(self, ip: str, frame: frames.Frame) -> None:
        """Give a message to a machine's rules."""
        self.execute(ip, self.dispatchers[ip].dispatch(frame, self.now_s))

    def answer(self, frame: frames.Frame) -> None:
        """A reply is at the operators; here there are none."""

    # -- time ----------------------------------------------------------------------------------------------

    def step(self) -> None:
        """Handle the next event, or let it wait at a machine that stands still; then check that machine."""
        _, _, what = self.events[0]
        kind, where, *rest = what
        if where in self.frozen and kind in MACHINE_EVENTS:
            self.skip()
            self.hold(where, kind, what, rest)
        else:
            super().step()
        self.check(where)

    def hold(self, ip: str, kind: str, what: tuple[Any, ...], rest: list[Any]) -> None:
        """An event waits until its machine goes on. A message is in the socket, whatever is cut later."""
        if kind != "frame":
            self.frozen[ip].append(what)
        elif (rest[0], ip) not in self.network.cut:
            self.frozen[ip].append(("held", ip, *rest))

    def on_tick(self, ip: str, life: int) -> None:
        """A machine's timer, unless the machine was stopped meanwhile."""
        if self.lives[ip] == life:
            self.tick(ip)
            self.at(TICK_S, "tick", ip, life)

    def tick(self, ip: str) -> None:
        """A machine's timer."""
        replica = self.replicas[ip]
        self.execute(ip, replica.tick(self.now_s))
        if replica.state.view is None:  # as a node does that has learned of the core from the root
            for other in self.ips:
                if other != ip:
                    self.send(ip, other, replica.own_heartbeat(self.now_s))
        if replica.leadership.is_leader:
            demand(replica.leadership.holds_lease(self.now_s), f"{ip} is the root and holds it no more")
        self.speak(ip)

    def check(self, ip: str) -> None:
        """After what one machine did: what must hold of it."""
        replica = self.replicas.get(ip)
        if replica is not None:
            self.observer.check(replica)
