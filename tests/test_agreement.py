"""The core's agreement on a simulated network, clock and disk: one seed for a whole run, invariants after each step."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

import pytest

from cypressbeam import agreement, frames
from cypressbeam.agreement import Action, Keeper, Lead, SavePromise, SaveView, TryDisk
from cypressbeam.chain import Entry, Publish, Sync, Tell, View, ip_of

IPS = ("a", "b", "c")
COPIES = 2


def revision(body: bytes) -> int:
    return int(body.split(b":")[0])


def digest(body: bytes) -> bytes:
    return body.ljust(32)[:32]


class Disk:
    """What is synced survives; a wipe leaves another identity."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.promised = 0
        self.view: View | None = None
        self.last: Entry | None = None
        self.taken: dict[int, bytes] = {}


class World:
    def __init__(self, seed: int, loss: float = 0.0) -> None:
        self.chance = random.Random(seed)
        self.loss = loss
        self.now_s = 0.0
        self.events: list[tuple[float, int, Any]] = []
        self.numbers = itertools.count()
        self.disks = {ip: Disk(f"{ip}/0") for ip in IPS}
        self.lives = dict.fromkeys(IPS, 0)
        self.keepers: dict[str, Keeper] = {}
        self.cut: set[frozenset[str]] = set()
        self.refusing: set[str] = set()
        """Machines whose disks refuse every write."""
        self.acked: dict[int, bytes] = {}
        self.published: list[bytes] = []
        self.answers: dict[int, int] = {}
        self.readings: dict[int, bytes] = {}
        view = View(256, tuple(f"{ip}/0" for ip in IPS), tuple(f"{ip}/0" for ip in IPS))
        for ip in IPS:
            self.disks[ip].view, self.disks[ip].promised = view, 256
            self.start(ip)

    def at(self, delay_s: float, what: Any) -> None:
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.numbers), what))

    def start(self, ip: str) -> None:
        disk = self.disks[ip]
        self.lives[ip] += 1
        keeper = self.keepers[ip] = Keeper(disk.name, COPIES, revision, digest, self.chance.random)
        self.carry_out(ip, keeper.load(disk.view, disk.promised, disk.last, dict(disk.taken), self.now_s))
        self.at(0.1, ("tick", ip, self.lives[ip]))

    def stop(self, ip: str, wipe: bool = False) -> None:
        self.keepers.pop(ip, None)
        self.lives[ip] += 1
        if wipe:
            self.disks[ip] = Disk(f"{ip}/{self.lives[ip]}")

    def send(self, origin: str, ip: str, frame: frames.Frame) -> None:
        for _ in range(1 + (self.chance.random() < self.loss / 2)):
            if self.chance.random() >= self.loss:
                self.at(self.chance.uniform(0.001, 0.02), ("frame", origin, ip, frame))

    def carry_out(self, ip: str, actions: Any) -> None:
        for action in actions:
            if isinstance(action, Tell):
                self.send(ip, action.ip, action.frame)
            elif isinstance(action, Publish):
                self.published.append(action.entry.body)
            elif not isinstance(action, Lead):
                self.at(self.chance.uniform(0.002, 0.03), ("written", ip, self.lives[ip], action))

    def write(self, ip: str, action: Action) -> None:
        disk, keeper = self.disks[ip], self.keepers[ip]
        if ip in self.refusing:
            assert not isinstance(action, (Tell, Publish, Lead))
            self.carry_out(ip, keeper.write_failed(action, self.now_s))
        elif isinstance(action, Sync):
            disk.last = action.entry
            disk.taken[action.entry.revision] = digest(action.entry.body)
            self.carry_out(ip, keeper.synced(action.entry, self.now_s))
        elif isinstance(action, SavePromise):
            disk.promised = max(disk.promised, action.epoch)
            self.carry_out(ip, keeper.promise_saved(action.epoch, action.proposer, self.now_s))
        elif isinstance(action, SaveView):
            disk.promised = max(disk.promised, action.view.epoch)
            disk.view, disk.last, disk.taken = action.view, action.entry, dict(action.taken)
            self.carry_out(ip, keeper.view_saved(action.view, action.entry, dict(action.taken), self.now_s))
        else:
            assert isinstance(action, TryDisk)
            self.carry_out(ip, keeper.disk_tried(self.now_s))

    def deliver(self, ip: str, frame: frames.Frame) -> None:
        keeper, now_s = self.keepers[ip], self.now_s
        handlers: dict[type, Any] = {
            frames.Pulse: keeper.on_pulse, frames.Order: keeper.order, frames.Forward: keeper.forward,
            frames.Committed: keeper.committed, frames.Read: keeper.read, frames.ViewIs: keeper.on_view,
            frames.Prepare: keeper.on_prepare, frames.Promise: keeper.on_promise, frames.Accept: keeper.on_accept}
        if isinstance(frame, frames.Confirm):
            self.carry_out(ip, keeper.on_confirm(frame))
        elif isinstance(frame, frames.Confirmed):
            self.carry_out(ip, keeper.on_confirmed(frame))
        else:
            self.carry_out(ip, handlers[type(frame)](frame, now_s))

    def step(self) -> None:
        self.now_s, _, what = heapq.heappop(self.events)
        if what[0] == "tick" and self.lives[what[1]] == what[2]:
            ip = what[1]
            self.carry_out(ip, self.keepers[ip].tick(self.now_s))
            if self.keepers[ip].view is None:  # as a node does that has learned of the core from the root
                for other in IPS:
                    self.send(ip, other, self.keepers[ip].own_pulse(self.now_s))
            self.at(0.1, what)
        elif what[0] == "written" and self.lives[what[1]] == what[2]:
            self.write(what[1], what[3])
        elif what[0] == "frame":
            _, origin, ip, frame = what
            if ip == "client":
                if isinstance(frame, frames.Outcome):
                    self.answers[frame.ident] = frame.status
                elif isinstance(frame, frames.Reading):
                    self.readings[frame.ident] = frame.body
            elif ip in self.keepers and frozenset((origin, ip)) not in self.cut:
                self.deliver(ip, frame)
        self.check()

    def check(self) -> None:
        """One chain an epoch; a promise never below what is held; and of what is active, never too few copies."""
        chains: dict[int, tuple[str, ...]] = {}
        for keeper in self.keepers.values():
            member = keeper.member
            assert keeper.promised >= (member.view.epoch if member else 0)
            if member is not None and member.active:
                assert len(member.view.chain) >= 2
                assert chains.setdefault(member.view.epoch, member.view.chain) == member.view.chain

    def run(self, for_s: float) -> None:
        ends_s = self.now_s + for_s
        while self.events and self.events[0][0] < ends_s:
            self.step()
        self.now_s = ends_s

    def order(self, ident: int, base: int, body: bytes, patience_s: float = 12.0) -> int:
        """An operator who sends again, to any machine, until there is an answer or patience ends."""
        ends_s = self.now_s + patience_s
        while self.now_s < ends_s and self.answers.get(ident, 503) == 503:
            self.answers.pop(ident, None)
            if self.keepers:
                self.send("client", self.chance.choice(sorted(self.keepers)), frames.Order(ident, "client", base, body))
            self.run(0.3)
        return self.answers.get(ident, 0)

    def read(self, ident: int, patience_s: float = 12.0) -> bytes | None:
        ends_s = self.now_s + patience_s
        while self.now_s < ends_s and ident not in self.readings:
            self.send("client", self.chance.choice(sorted(self.keepers)), frames.Read(ident, "client"))
            self.run(0.3)
        return self.readings.get(ident)


def trouble(world: World, kind: str) -> None:
    """One machine is lost, or all at once with their disks, or the network is cut; then all come back."""
    ip = world.chance.choice(IPS)
    if kind == "kill":
        world.stop(ip)
        world.run(world.chance.uniform(0.1, 3.0))
        world.start(ip)
    elif kind == "wipe":
        world.stop(ip, wipe=True)
        world.run(world.chance.uniform(0.1, 3.0))
        world.start(ip)
    elif kind == "all":
        for other in IPS:
            world.stop(other)
        world.run(0.5)
        for other in IPS:
            world.start(other)
            world.run(world.chance.uniform(0.0, 0.2))
    else:
        world.cut = {frozenset((ip, other)) for other in IPS if other != ip}
        world.run(world.chance.uniform(0.5, 4.0))
        world.cut = set()


def history(seed: int, loss: float = 0.02) -> World:
    world = World(seed, loss)
    current, body = 0, b""
    for number in range(1, 7):
        offered = b"%d:%d" % (number * 10, number)
        if world.chance.random() < 0.5:  # the trouble strikes while the order is on its way
            world.send("client", "a", frames.Order(number, "client", current, offered))
            world.run(world.chance.uniform(0.0, 0.1))
        trouble(world, world.chance.choice(("kill", "wipe", "all", "cut")))
        status = world.order(number, current, offered)
        assert status == 200, f"seed {seed}: order {number} ended with {status}"
        current, body = number * 10, offered
        world.run(4.0)  # so long a machine that returned still counts as lost
        assert world.read(1000 + number) == body, f"seed {seed}: what was acknowledged does not come back"
    revisions = [revision(published) for published in world.published]
    firsts = list(dict.fromkeys(revisions))
    assert firsts == sorted(firsts), f"seed {seed}: published {revisions}"
    return world


@pytest.mark.parametrize("start", range(0, 60, 20))
def test_what_was_acknowledged_outlives_kills_wipes_cuts_and_the_loss_of_all_power(start: int) -> None:
    for seed in range(start, start + 20):
        history(seed)


def test_one_that_reaches_no_majority_neither_leads_nor_answers() -> None:
    world = World(1)
    world.run(1.0)
    assert world.order(1, 0, b"5:x") == 200
    (tail,) = (ip for ip, keeper in world.keepers.items() if keeper.root)
    world.cut = {frozenset((tail, other)) for other in IPS if other != tail}
    world.run(2.5)
    assert not world.keepers[tail].root
    assert sum(keeper.root for keeper in world.keepers.values()) == 1  # the others have mended the chain
    assert world.order(2, 5, b"6:y") == 200
    world.send("client", tail, frames.Read(9, "client"))
    world.run(1.0)
    assert 9 not in world.readings


def test_a_wiped_machine_is_another_one_until_a_view_has_taken_it_in() -> None:
    world = World(2)
    world.run(1.0)
    assert world.order(1, 0, b"5:x") == 200
    world.stop("c", wipe=True)
    world.start("c")
    world.run(3.0)
    keeper = world.keepers["a"]
    assert keeper.view is not None and world.disks["c"].name in keeper.view.chain
    assert world.disks["c"].last is not None and world.disks["c"].last.body == b"5:x"
    assert ip_of(world.disks["c"].name) == "c" and "c/0" not in keeper.view.group


def test_a_disk_that_refuses_leaves_the_chain_by_view() -> None:
    world = World(3)
    world.run(1.0)
    head = next(ip for ip, keeper in world.keepers.items() if keeper.member and keeper.member.is_head())
    world.refusing = {head}
    assert world.order(1, 0, b"5:x") == 200
    name = world.disks[head].name
    world.run(2.0)
    other = next(keeper for ip, keeper in world.keepers.items() if ip != head)
    assert other.view is not None and name not in other.view.chain and name in other.view.group
    world.refusing = set()
    world.run(4.0)  # it is tried again, and taken in
    assert name in other.view.chain and world.disks[head].last is not None


def test_a_call_does_not_go_round_between_two_that_hold_each_other_for_the_head() -> None:
    world = World(4)
    names = world.keepers["a"].view.group if world.keepers["a"].view else ()
    world.keepers["b"].view = View(999, (names[2], names[0]), names)  # b holds c for the head, and c holds b
    world.keepers["c"].view = View(998, (names[1], names[0]), names)
    frame: frames.Frame = frames.Order(1, "client", 0, b"5:x")
    ip, passed = "b", 0
    while passed < 20:
        assert isinstance(frame, frames.Order)
        told = [action for action in world.keepers[ip].order(frame, 0.0) if isinstance(action, Tell)]
        if not told:
            break
        ip, frame, passed = told[0].ip, told[0].frame, passed + 1
    assert passed == agreement.MOST_HOPS


@pytest.mark.parametrize("fault", ["lower epoch", "too few copies", "oldest entry"])
def test_the_simulation_sees_seeded_faults(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A rule that is left out must show in some run."""
    if fault == "lower epoch":
        real = Keeper.load

        def forget(self: Keeper, view: View | None, promised: int, last: Entry | None, taken: dict[int, bytes],
                   now_s: float) -> list[Action]:
            return real(self, view, 0, last, taken, now_s)
        monkeypatch.setattr(Keeper, "load", forget)
    elif fault == "too few copies":
        monkeypatch.setattr(Keeper, "majority", lambda self, group: 1)
        monkeypatch.setitem(globals(), "COPIES", 1)
    else:
        def oldest(promises: dict[str, frames.Promise]) -> frames.Promise:
            return min(promises.values(), key=lambda promise: (promise.entry_epoch, promise.number))
        monkeypatch.setattr(agreement, "newest_of", oldest)
    with pytest.raises(AssertionError):
        for seed in range(60):
            history(seed)
