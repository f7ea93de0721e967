"""The simulated core: machines that run the real chain and view code on a simulated network, clock and disk.

With large bodies, a machine handles a message only once it has fetched the body that the message refers to.
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
from lab.histories.disks import Disk, DiskSnapshots
from lab.histories.downstream import Announcement
from lab.histories.events import EventLoop
from lab.histories.invariants import check_condition, digest, revision
from lab.histories.network import CLIENT, Network
from lab.histories.observer import Observer
from lab.histories.plans import DOWNSTREAM, IPS, MACHINES, Step
from lab.histories.vector_clocks import VectorTime

TICK_S = 0.1
#: Ranges of message delay and write time; shorter in histories with many changes.
DELAY_S, WRITE_S = (0.001, 0.02), (0.002, 0.03)
QUICK_DELAY_S, QUICK_WRITE_S = (0.0005, 0.004), (0.001, 0.004)
#: How often a stalled write is checked again.
STALL_POLL_S = 0.2
#: A root may announce versions, and a machine may answer reads or reject writes, only this long after its last contact
#: with a majority.
ANNOUNCEMENT_BOUND_S = FAILURE_TIMEOUT_S + LEADER_CONTACT_GRACE_S
ANSWER_BOUND_S = CONFIRMATION_TIMEOUT_S
#: Rounding tolerance when times are compared.
TOLERANCE_S = 1e-6
#: The epoch of the view that the group starts with.
FIRST_EPOCH = 256

#: Events of a machine, which wait while it is paused.
MACHINE_EVENTS = ("tick", "written", "frame", "held")


class SimulatedCore(EventLoop):
    """The machines and their disks. Subclasses add faults and callers."""

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
        """`lying`: disks don't persist entries; `same_name`: a lost disk is replaced under its old identity;
        `copies`: the least chain length that replicas are configured with (0: a majority); `standing_by`: how many of
        the machines, the last ones, are not in the group at first."""
        super().__init__()
        self.ips = MACHINES[:machines]
        self.rng = random.Random(f"world {seed}")
        self.network = Network(self, self.rng, self.ips, QUICK_DELAY_S if quick else DELAY_S, loss, large)
        self.write_s = QUICK_WRITE_S if quick else WRITE_S
        self.lying, self.same_name = lying, same_name
        group = self.ips[: machines - standing_by]
        min_copies = majority(len(group))
        self.observer = Observer(DOWNSTREAM, min_copies)
        self.copies = copies or min_copies
        self.disks = {ip: Disk(f"{ip}/0") for ip in self.ips}
        self.disk_snapshots = DiskSnapshots(seed)
        self.incarnations = dict.fromkeys(self.ips, 0)
        self.replicas: dict[str, Replica] = {}
        self.dispatchers: dict[str, Dispatcher] = {}
        self.pending: dict[str, list[Any]] = {ip: [] for ip in self.ips}
        """Writes in progress, by machine."""
        self.paused_events: dict[str, list[tuple[Any, ...]]] = {}
        """By paused machine: the events that wait, which are messages in its sockets, its timer and finished writes."""
        self.pending_crashes: list[Step] = []
        self.known_identities: set[str] = set()
        """The identities that were known when the last "orphan" step began."""
        self.refusing: set[str] = set()
        self.stalled: set[str] = set()
        self.published_revisions: dict[str, int] = {}
        """The version that each machine has published since its last start."""
        self.trace: list[str] = []
        self.handlers |= {
            "tick": self.on_tick,
            "written": self.on_written,
            "frame": self.on_frame,
            "held": self.on_held,
            "announcement": self.on_announcement,
        }
        self.bootstrap(group)

    def bootstrap(self, group: tuple[str, ...]) -> None:
        """Give all machines of the group the same view, and start all machines."""
        names = tuple(f"{ip}/0" for ip in group)
        view = View(FIRST_EPOCH, names, names)
        for ip in group:
            self.disks[ip].view, self.disks[ip].promised = view, FIRST_EPOCH
        for ip in self.ips:
            self.start(ip)

    # -- machines ------------------------------------------------------------------------------------------

    def start(self, ip: str) -> None:
        """Start a machine's process from its disk."""
        disk = self.disks[ip]
        self.incarnations[ip] += 1
        self.published_revisions[ip] = 0
        self.network.body_arrivals_s[ip] = {disk.last.body: 0.0} if disk.last is not None else {}
        replica = self.replicas[ip] = Replica(disk.name, self.copies, revision, digest, self.rng.random)
        self.dispatchers[ip] = Dispatcher(replica)
        replica.restore_marks(
            disk.own_marks, HighWaterMarks(disk.own_marks.incarnation + 1, self.incarnations[ip]), dict(disk.marks)
        )
        self.execute(ip, replica.load(disk.view, disk.promised, disk.last, dict(disk.taken), self.now_s))
        self.at(TICK_S, "tick", ip, self.incarnations[ip])

    def stop(self, ip: str, wipe: bool = False) -> None:
        """Cut a machine's power. Some of the writes in progress are completed on disk, but never confirmed."""
        replica = self.replicas.pop(ip, None)
        self.incarnations[ip] += 1
        self.paused_events.pop(ip, None)
        pending, self.pending[ip] = self.pending[ip], []
        if not self.lying and ip not in self.refusing and ip not in self.stalled:
            for action in pending[: self.rng.randint(0, len(pending))]:
                self.disks[ip].write(action, replica)
        if wipe:
            self.disks[ip] = Disk(f"{ip}/0" if self.same_name else f"{ip}/{self.incarnations[ip]}")

    def may_lose_disk(self, ip: str) -> bool:
        """Whether losing this disk is tolerated. A lost disk counts as lost until a view on it has its new identity."""
        lost = [
            other
            for other, disk in self.disks.items()
            if other != ip and (disk.view is None or disk.name not in disk.view.group)
        ]
        return len(lost) < len(self.ips) // 2

    def resume(self, ip: str) -> None:
        """Resume a paused machine. It reads all messages from its sockets, one socket after another; its timer and
        finished writes come before or after that."""
        held = self.paused_events.pop(ip, [])
        rank = {origin: self.rng.random() for origin in (*self.ips, CLIENT)}
        read = sorted((what for what in held if what[0] == "held"), key=lambda what: rank[what[2]])
        others = [what for what in held if what[0] != "held"]
        for what in [*read, *others] if self.rng.random() < 0.5 else [*others, *read]:
            self.at(0.0, *what)

    def newest_view(self) -> View | None:
        """The newest view of any running machine."""
        views = [replica.state.view for replica in self.replicas.values() if replica.state.view is not None]
        return max(views, key=lambda view: view.epoch, default=None)

    def leader(self) -> str:
        """The head of the newest view's chain."""
        view = self.newest_view()
        return view.head if view is not None else self.ips[0]

    # -- effects of the core -------------------------------------------------------------------------------

    def execute(self, ip: str, actions: Iterable[Any]) -> None:
        """Execute the effects that a machine's replica requests."""
        for action in actions:
            if isinstance(action, SendMessage):
                if action.ip == CLIENT:
                    self.check_answer(ip, action.frame)
                self.send(ip, action.ip, action.frame)
            elif isinstance(action, Publish):
                self.publish(ip, action.entry)
            elif isinstance(action, ResetIdentity):
                self.trace.append(f"{self.now_s:7.3f} {ip} restarts with a new identity")
                self.stop(ip, wipe=True)
                self.start(ip)
                return
            elif not isinstance(action, SetLeadership):
                self.pending[ip].append(action)
                self.at(self.rng.uniform(*self.write_s), "written", ip, self.incarnations[ip])

    def publish(self, ip: str, entry: Entry) -> None:
        """Handle that a machine has published an entry as committed."""
        self.observer.on_published(entry)
        self.published_revisions[ip] = max(self.published_revisions[ip], entry.revision)
        self.announce(ip)

    def on_written(self, ip: str, incarnation: int) -> None:
        """Finish the oldest write of a machine, unless the machine was stopped in the meantime."""
        if self.incarnations[ip] != incarnation:
            return
        if ip in self.stalled:
            self.at(STALL_POLL_S, "written", ip, incarnation)
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
        """Notify a replica that a write is on disk. Returns the resulting effects."""
        if isinstance(action, PersistEntry):
            self.observer.on_synced(action.entry)
            return replica.entry_persisted(action.entry, self.now_s)
        if isinstance(action, PersistPromise):
            return replica.promise_persisted(action.epoch, action.proposer, self.now_s)
        if isinstance(action, PersistView):
            done = replica.view_persisted(action.view, action.entry, dict(action.applied_digests), self.now_s)
            self.crash_on_new_identity(ip, action.view)
            return done
        assert isinstance(action, ProbeDisk)
        return replica.disk_probed(self.now_s)

    def keeps_refused_write(self) -> bool:
        """Whether a disk keeps a refused write because only its sync failed: a later start then finds it."""
        return False

    def crash_on_new_identity(self, ip: str, view: View) -> None:
        """During an "orphan" step: crash the first machine that has persisted a view with a new identity."""
        if self.pending_crashes and any(name not in self.known_identities for name in view.group):
            step = self.pending_crashes.pop()
            self.at(self.rng.uniform(0.0, 0.4), "begin", "", Step(self.now_s, "kill", ip, step.for_s))

    # -- contact, and downstream nodes ----------------------------------------------------------------------

    def contact_age_s(self, ip: str) -> float:
        """Seconds since the last contact with a majority that is proven by the messages which a machine has read."""
        view = self.replicas[ip].state.view
        group = tuple(ip_of(name) for name in view.group) if view is not None else ()
        return self.now_s - self.network.clocks.contact_s(ip, group, self.now_s)

    def check_answer(self, ip: str, frame: frames.Frame) -> None:
        """Check that a machine that reports the current version is in contact with a majority."""
        if isinstance(frame, frames.ReadResult) or (
            isinstance(frame, frames.WriteResult) and frame.status in REJECTION_STATUSES
        ):
            check_condition(
                self.contact_age_s(ip) <= ANSWER_BOUND_S + TOLERANCE_S,
                f"{ip} answers after {self.contact_age_s(ip):.3f} s without quorum contact",
            )

    def announce(self, ip: str) -> None:
        """If the machine is the root, announce its version to the downstream nodes."""
        replica = self.replicas[ip]
        if (
            not replica.leadership.holds_lease(self.now_s)
            or replica.state.view is None
            or not self.published_revisions[ip]
        ):
            return
        contact_age_s = self.contact_age_s(ip)
        check_condition(
            contact_age_s <= ANNOUNCEMENT_BOUND_S + TOLERANCE_S,
            f"{ip} announces as the root after {contact_age_s:.3f} s without quorum contact",
        )
        announced = Announcement(replica.state.view.epoch, ip, self.published_revisions[ip])
        for name in DOWNSTREAM:
            self.network.schedule_delivery("announcement", name, ip, announced)

    def on_announcement(self, name: str, ip: str, announced: Announcement) -> None:
        """Deliver a root's announcement to a downstream node, unless the direction is cut."""
        if (ip, name) not in self.network.cut:
            self.observer.on_announced(name, announced)

    # -- messages ------------------------------------------------------------------------------------------

    def send(self, origin: str, ip: str, frame: frames.Frame) -> None:
        """Send a message from a machine or an operator."""
        self.network.send(origin, ip, frame)

    def on_frame(self, ip: str, origin: str, frame: frames.Frame, time: VectorTime) -> None:
        """Deliver a message to a machine or to the operators, unless the direction is cut."""
        if ip == CLIENT:
            if (origin, ip) not in self.network.cut:
                self.answer(frame)
        elif ip in self.replicas and self.network.passes(origin, ip, frame):
            self.receive(ip, origin, frame, time)

    def on_held(self, ip: str, origin: str, frame: frames.Frame, time: VectorTime) -> None:
        """Read a message that waited in a socket, whatever directions are cut by now."""
        if ip in self.replicas:
            self.receive(ip, origin, frame, time)

    def receive(self, ip: str, origin: str, frame: frames.Frame, time: VectorTime) -> None:
        """Handle a message once its body has been fetched."""
        wait_s = self.network.body_due_s(origin, ip, frame.body_or_digest())
        if wait_s > 0.0:
            self.at(wait_s, "frame", ip, origin, frame, time)
        else:
            if origin != CLIENT:
                self.network.clocks.on_read(ip, origin, time)
            self.deliver(ip, frame)

    def deliver(self, ip: str, frame: frames.Frame) -> None:
        """Dispatch a message to a machine's replica."""
        self.execute(ip, self.dispatchers[ip].dispatch(frame, self.now_s))

    def answer(self, frame: frames.Frame) -> None:
        """Handle a reply to the operators; there are none here."""

    # -- time ----------------------------------------------------------------------------------------------

    def step(self) -> None:
        """Handle the next event, or hold it if its machine is paused; then check that machine."""
        _, _, what = self.events[0]
        kind, where, *rest = what
        if where in self.paused_events and kind in MACHINE_EVENTS:
            self.skip()
            self.hold_event(where, kind, what, rest)
        else:
            super().step()
        self.check(where)

    def hold_event(self, ip: str, kind: str, what: tuple[Any, ...], rest: list[Any]) -> None:
        """Hold an event until its machine resumes. A message is already in the socket: later cuts don't affect it."""
        if kind != "frame":
            self.paused_events[ip].append(what)
        elif (rest[0], ip) not in self.network.cut:
            self.paused_events[ip].append(("held", ip, *rest))

    def on_tick(self, ip: str, incarnation: int) -> None:
        """Handle a machine's timer, unless the machine was stopped in the meantime."""
        if self.incarnations[ip] == incarnation:
            self.tick(ip)
            self.at(TICK_S, "tick", ip, incarnation)

    def tick(self, ip: str) -> None:
        """Handle a machine's timer."""
        replica = self.replicas[ip]
        self.execute(ip, replica.tick(self.now_s))
        if replica.state.view is None:  # as a node does that learned the members from the root
            for other in self.ips:
                if other != ip:
                    self.send(ip, other, replica.own_heartbeat(self.now_s))
        if replica.leadership.is_leader:
            check_condition(replica.leadership.holds_lease(self.now_s), f"{ip} is the root without a lease")
        self.announce(ip)

    def check(self, ip: str) -> None:
        """Check the invariants of a machine after it has acted."""
        replica = self.replicas.get(ip)
        if replica is not None:
            self.observer.check(replica)
