"""Chain replication without sockets or disks: three members on a simulated network."""

from __future__ import annotations

import random
from collections import deque

from cypressbeam.consensus.chain import ChainReplica
from cypressbeam.consensus.effects import ChainEffect, PersistEntry, Publish, SendMessage
from cypressbeam.consensus.views import Entry, View
from cypressbeam.protocol import frames

VIEW = View(1, ("a", "b", "c"), ("a", "b", "c"))


def revision(body: bytes) -> int:
    return int(body.split(b":")[0])


def member(ip: str, last: Entry | None = None, view: View = VIEW) -> ChainReplica:
    replica = ChainReplica(ip, view, revision, lambda body: body, last, {last.revision: last.body} if last else {})
    replica.active = last is None
    return replica


class Chain:
    """Three members on a network that loses, duplicates and reorders messages at a given rate, driven by a seed."""

    def __init__(self, seed: int = 0, fault_rate: float = 0.0) -> None:
        self.rng, self.fault_rate = random.Random(seed), fault_rate
        self.members = {ip: member(ip) for ip in VIEW.members}
        self.disks: dict[str, list[Entry]] = {ip: [] for ip in VIEW.members}
        self.in_transit: deque[tuple[str, frames.Frame | Entry]] = deque()
        self.answers: dict[int, int] = {}
        self.published: list[int] = []
        self.now_s = 0.0

    def write(self, request_id: int, base: int, body: bytes) -> None:
        self.in_transit.append(("a", frames.WriteRequest(request_id, "client", base, body)))

    def apply(self, ip: str, effects: list[ChainEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                if effect.ip == "client":
                    assert isinstance(effect.frame, frames.WriteResult)
                    self.answers.setdefault(effect.frame.request_id, effect.frame.status)
                elif self.rng.random() >= self.fault_rate:
                    for _ in range(1 + (self.rng.random() < self.fault_rate)):
                        self.in_transit.append((effect.ip, effect.frame))
            elif isinstance(effect, PersistEntry):
                self.in_transit.append((ip, effect.entry))
            else:
                assert isinstance(effect, Publish)
                assert all(effect.entry in self.disks[other] for other in VIEW.members)
                self.published.append(effect.entry.revision)

    def step(self) -> None:
        if self.rng.random() < self.fault_rate:
            self.in_transit.rotate(1)
        ip, event = self.in_transit.popleft()
        member = self.members[ip]
        if isinstance(event, Entry):
            self.disks[ip].append(event)
            self.apply(ip, member.entry_persisted(event, self.now_s))
        elif isinstance(event, frames.WriteRequest):
            self.apply(ip, member.submit(event, self.now_s))
        elif isinstance(event, frames.ForwardEntry):
            self.apply(ip, member.on_forward(event, self.now_s))
        elif isinstance(event, frames.CommitNotice):
            self.apply(ip, member.on_commit(event, self.now_s))

    def run(self) -> None:
        for _ in range(2000):
            while self.in_transit:
                self.step()
            if not any(member.number > member.committed or member.queue for member in self.members.values()):
                return
            self.now_s += 0.5
            for ip, member in self.members.items():
                self.apply(ip, member.tick(self.now_s))
        raise AssertionError("the chain did not become idle")


def test_a_write_is_on_every_disk_before_it_is_answered() -> None:
    chain = Chain()
    chain.write(1, 0, b"5:x")
    chain.run()
    assert chain.answers == {1: 200} and chain.published == [5]
    assert [member.committed for member in chain.members.values()] == [1, 1, 1]


def test_one_of_two_writes_on_one_base_is_applied_and_a_repeated_write_succeeds() -> None:
    chain = Chain()
    chain.write(1, 0, b"5:x")
    chain.write(2, 0, b"6:y")
    chain.write(3, 0, b"5:x")
    chain.run()
    chain.write(4, 5, b"9:z")
    chain.write(5, 0, b"5:x")  # applied before, although a later version is current by now
    chain.write(6, 9, b"9:other")
    chain.write(7, 9, b"7:old")
    chain.run()
    assert chain.answers == {1: 200, 2: 412, 3: 200, 4: 200, 5: 200, 6: 400, 7: 400}
    assert chain.published == [5, 9]


def test_entries_stay_complete_and_in_order_when_messages_are_lost_duplicated_and_reordered() -> None:
    for seed in range(200):
        chain = Chain(seed, fault_rate=0.3)
        for request_id in range(1, 6):
            chain.write(request_id, request_id - 1, b"%d:x" % request_id)
            chain.run()
        assert chain.published == [1, 2, 3, 4, 5]
        assert all([entry.revision for entry in disk] == [1, 2, 3, 4, 5] for disk in chain.disks.values())


def test_messages_of_another_epoch_are_ignored() -> None:
    replica = member("b")
    assert replica.on_forward(frames.ForwardEntry(2, 1, 5, 0, b"5:x", 1, "client"), 0.0) == []
    assert replica.on_commit(frames.CommitNotice(0, 1), 0.0) == []


def test_a_member_resumes_from_its_disk() -> None:
    last = Entry(3, 1, 7, 5, b"7:x")
    tail = member("c", last)
    assert tail.activate(0.0) == [Publish(last)] and tail.committed == 3
    head = member("a", last)
    assert head.activate(0.0) == [SendMessage("b", frames.ForwardEntry(1, 3, 7, 5, b"7:x", 0, ""))]
    assert head.has_uncommitted()  # until the tail has confirmed the entry
    head.on_commit(frames.CommitNotice(1, 3), 0.0)
    assert not head.has_uncommitted()
    resumed = member("a", last, View(1, VIEW.chain, VIEW.group, initial_number=3))
    assert resumed.activate(0.0) == [] and not resumed.has_uncommitted()  # the initial entry is on every disk


def test_a_failed_disk_write_is_answered_with_503() -> None:
    replica = member("a")
    (persist,) = replica.submit(frames.WriteRequest(1, "client", 0, b"5:x"), 0.0)
    assert isinstance(persist, PersistEntry)
    assert replica.persist_failed(persist.entry, 0.0) == [
        SendMessage("client", frames.WriteResult(1, 503, "the disk refuses"))
    ]
    assert replica.number == 0 and not replica.has_uncommitted()


def test_a_commit_notice_for_an_earlier_entry_does_not_acknowledge_a_later_one() -> None:
    """After a power failure of all members a head held two uncommitted entries, and took the commit notice for the
    first as an acknowledgement of both (seed 2195)."""
    view = View(256, ("a/0", "b/0"), ("a/0", "b/0"))
    last = Entry(10, 256, 100, 90, b"100:x")
    head = ChainReplica("a", view, lambda body: 100, lambda body: body, last, {100: b"100:x"}, committed=6, active=True)
    head.pending_callers = [(1, "client"), (2, "client")]
    assert head.on_commit(frames.CommitNotice(256, 9), 0.0) == []
    assert [
        effect.frame for effect in head.on_commit(frames.CommitNotice(256, 10), 0.0) if isinstance(effect, SendMessage)
    ] == [frames.WriteResult(2, 200, "taken")]
