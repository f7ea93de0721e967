"""The chain's rules, driven without sockets or disk."""

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
    made = ChainReplica(ip, view, revision, lambda body: body, last, {last.revision: last.body} if last else {})
    made.active = last is None
    return made


class Chain:
    """Three members on a network that a seed may let lose, double and reorder messages."""

    def __init__(self, seed: int = 0, trouble: float = 0.0) -> None:
        self.rng, self.trouble = random.Random(seed), trouble
        self.members = {ip: member(ip) for ip in VIEW.members}
        self.disks: dict[str, list[Entry]] = {ip: [] for ip in VIEW.members}
        self.waiting: deque[tuple[str, frames.Frame | Entry]] = deque()
        self.answers: dict[int, int] = {}
        self.published: list[int] = []
        self.now_s = 0.0

    def order(self, ident: int, base: int, body: bytes) -> None:
        self.waiting.append(("a", frames.WriteRequest(ident, "client", base, body)))

    def execute(self, ip: str, actions: list[ChainEffect]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                if action.ip == "client":
                    assert isinstance(action.frame, frames.WriteResult)
                    self.answers.setdefault(action.frame.request_id, action.frame.status)
                elif self.rng.random() >= self.trouble:
                    for _ in range(1 + (self.rng.random() < self.trouble)):
                        self.waiting.append((action.ip, action.frame))
            elif isinstance(action, PersistEntry):
                self.waiting.append((ip, action.entry))
            else:
                assert isinstance(action, Publish)
                assert all(action.entry in self.disks[other] for other in VIEW.members)
                self.published.append(action.entry.revision)

    def step(self) -> None:
        if self.rng.random() < self.trouble:
            self.waiting.rotate(1)
        ip, what = self.waiting.popleft()
        member = self.members[ip]
        if isinstance(what, Entry):
            self.disks[ip].append(what)
            self.execute(ip, member.entry_persisted(what, self.now_s))
        elif isinstance(what, frames.WriteRequest):
            self.execute(ip, member.submit(what, self.now_s))
        elif isinstance(what, frames.ForwardEntry):
            self.execute(ip, member.on_forward(what, self.now_s))
        elif isinstance(what, frames.CommitNotice):
            self.execute(ip, member.on_commit(what, self.now_s))

    def run(self) -> None:
        for _ in range(2000):
            while self.waiting:
                self.step()
            if not any(member.number > member.committed or member.queue for member in self.members.values()):
                return
            self.now_s += 0.5
            for ip, member in self.members.items():
                self.execute(ip, member.tick(self.now_s))
        raise AssertionError("the chain did not come to rest")


def test_an_order_is_on_every_disk_before_it_is_answered() -> None:
    chain = Chain()
    chain.order(1, 0, b"5:x")
    chain.run()
    assert chain.answers == {1: 200} and chain.published == [5]
    assert [member.committed for member in chain.members.values()] == [1, 1, 1]


def test_of_two_on_one_base_one_wins_and_the_same_again_is_taken() -> None:
    chain = Chain()
    chain.order(1, 0, b"5:x")
    chain.order(2, 0, b"6:y")
    chain.order(3, 0, b"5:x")
    chain.run()
    chain.order(4, 5, b"9:z")
    chain.order(5, 0, b"5:x")  # taken, though a later one is in force by now
    chain.order(6, 9, b"9:other")
    chain.order(7, 9, b"7:old")
    chain.run()
    assert chain.answers == {1: 200, 2: 412, 3: 200, 4: 200, 5: 200, 6: 400, 7: 400}
    assert chain.published == [5, 9]


def test_nothing_is_lost_or_undone_where_messages_are_lost_doubled_and_reordered() -> None:
    for seed in range(200):
        chain = Chain(seed, trouble=0.3)
        for ident in range(1, 6):
            chain.order(ident, ident - 1, b"%d:x" % ident)
            chain.run()
        assert chain.published == [1, 2, 3, 4, 5]
        assert all([entry.revision for entry in disk] == [1, 2, 3, 4, 5] for disk in chain.disks.values())


def test_a_message_of_another_epoch_is_refused() -> None:
    one = member("b")
    assert one.on_forward(frames.ForwardEntry(2, 1, 5, 0, b"5:x", 1, "client"), 0.0) == []
    assert one.on_commit(frames.CommitNotice(0, 1), 0.0) == []


def test_a_member_starts_again_from_its_disk() -> None:
    last = Entry(3, 1, 7, 5, b"7:x")
    tail = member("c", last)
    assert tail.activate(0.0) == [Publish(last)] and tail.committed == 3
    head = member("a", last)
    assert head.activate(0.0) == [SendMessage("b", frames.ForwardEntry(1, 3, 7, 5, b"7:x", 0, ""))]
    assert head.has_uncommitted()  # until the tail has said that it has it
    head.on_commit(frames.CommitNotice(1, 3), 0.0)
    assert not head.has_uncommitted()
    began = member("a", last, View(1, VIEW.chain, VIEW.group, initial_number=3))
    assert began.activate(0.0) == [] and not began.has_uncommitted()  # all members began with it


def test_a_disk_that_refuses_is_no_silence() -> None:
    one = member("a")
    (sync,) = one.submit(frames.WriteRequest(1, "client", 0, b"5:x"), 0.0)
    assert isinstance(sync, PersistEntry)
    assert one.persist_failed(sync.entry, 0.0) == [
        SendMessage("client", frames.WriteResult(1, 503, "the disk refuses"))
    ]
    assert one.number == 0 and not one.has_uncommitted()


def test_word_of_an_earlier_entry_acknowledges_no_later_one() -> None:
    """After a loss of all power a head held an entry beyond what the tail had confirmed, and took the word on that
    for both (seed 2195)."""
    view = View(256, ("a/0", "b/0"), ("a/0", "b/0"))
    last = Entry(10, 256, 100, 90, b"100:x")
    head = ChainReplica("a", view, lambda body: 100, lambda body: body, last, {100: b"100:x"}, committed=6, active=True)
    head.pending_callers = [(1, "client"), (2, "client")]
    assert head.on_commit(frames.CommitNotice(256, 9), 0.0) == []
    assert [
        action.frame for action in head.on_commit(frames.CommitNotice(256, 10), 0.0) if isinstance(action, SendMessage)
    ] == [frames.WriteResult(2, 200, "taken")]
