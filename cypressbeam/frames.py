"""What nodes say to each other: frames packed with `struct`, all of them here.

On a stream a frame is its length and kind, then fields in the order of its class. Numbers are in network order; a
text has 2 bytes of length before it, a blob 4, a list of texts 2 bytes of count. A configuration's body goes by its
digest: whoever lacks it fetches it beside the frame (bodies.py).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, fields
from typing import ClassVar, TypeVar

from cypressbeam.configuration import digest

HEAD = struct.Struct("!IB")
MOST_FRAME = 16 * 1024 * 1024
U8, U16, U32, U64 = struct.Struct("!B"), struct.Struct("!H"), struct.Struct("!I"), struct.Struct("!Q")
#: The bytes of a digest.
DIGEST = 32
NUMBERS = {"c": U8, "h": U16, "i": U32, "q": U64, "e": U64}
#: Epochs as there can be any: none yet (0), or a proposer's place in the last eight bits below a count from one on.
LEAST_EPOCH, MOST_EPOCH = 1 << 8, 1 << 48


class FrameError(ValueError):
    """Bytes that are no frame."""


F = TypeVar("F", bound="Frame")


@dataclass(frozen=True, slots=True)
class Frame:
    """One message. `FORM` gives its fields in order: c, h, i, q numbers of 1 to 8 bytes; e an epoch; s text; b blob;
    l texts; d a body, which is its digest on the stream, and after `unpack`."""

    KIND: ClassVar[int] = 0
    FORM: ClassVar[str] = ""

    def pack(self) -> bytes:
        """The frame with its head, as it goes onto a stream."""
        body = b"".join(_pack(form, getattr(self, field.name))
                        for form, field in zip(self.FORM, fields(self), strict=True))
        return HEAD.pack(len(body), self.KIND) + body

    @classmethod
    def unpack(cls: type[F], data: bytes) -> F:
        """Raises FrameError if the bytes are not exactly this frame's fields."""
        values: list[object] = []
        at = 0
        try:
            for form in cls.FORM:
                value, at = _unpack(form, data, at)
                values.append(value)
        except (struct.error, UnicodeDecodeError) as err:
            raise FrameError(f"{cls.__name__}: {err}") from None
        if at != len(data):
            raise FrameError(f"{cls.__name__}: {len(data) - at} bytes too many")
        frame = cls(*values)
        frame.check()
        return frame

    def check(self) -> None:
        """Raises FrameError for values that no node sends: an epoch, a member, a count or a digest that cannot be."""
        check_epochs(self, getattr(self, "epoch", 0))

    def body_field(self) -> bytes:
        """The body that the frame speaks of, or its digest where the frame comes from a stream; often none."""
        return getattr(self, "body", b"") if "d" in self.FORM else b""


#: Members that a group may have by its frames. The rules allow fewer (members.py).
MOST_NAMED = 64
#: The highest epoch: its place takes eight bits, and numbers of the disk are signed.
MOST_NUMBER = (1 << 62) - 1


def demand(holds: bool, frame: Frame, what: str) -> None:
    if not holds:
        raise FrameError(f"{type(frame).__name__}: {what}")


def check_epochs(frame: Frame, *epochs: int) -> None:
    for epoch in epochs:
        demand(epoch <= MOST_EPOCH, frame, f"epoch {epoch} cannot be")


def check_member(frame: Frame, name: str) -> None:
    """A member is named by its address and the identity of its disk."""
    ip, slash, identity = name.partition("/")
    plain = bool(ip and slash and identity) and not set(name) & {",", " ", "\n"}
    demand(plain and name.count("/") == 1 and len(name) <= 128, frame, f"{name[:128]!r} is no member")


def check_view(frame: Frame, epoch: int, chain: tuple[str, ...], group: tuple[str, ...]) -> None:
    """A chain of a group: no address twice, none in the chain that is not in the group, and somebody in it."""
    check_epochs(frame, epoch)
    demand(len(group) <= MOST_NAMED, frame, f"{len(group)} members")
    for name in group:
        check_member(frame, name)
    addresses = {name.partition("/")[0] for name in group}
    demand(len(addresses) == len(group), frame, "an address is twice in the group")
    demand(0 < len(chain) == len(set(chain)) and set(chain) <= set(group), frame, "the chain is no part of the group")


def check_number(frame: Frame, number: int, body: bytes) -> None:
    """An entry that there is has a body, and its digest."""
    demand(number <= MOST_NUMBER and bool(number) == bool(body), frame, f"entry {number} and its digest do not match")


def _pack(form: str, value: object) -> bytes:
    if form in NUMBERS:
        return NUMBERS[form].pack(value)
    if form == "s":
        assert isinstance(value, str)
        text = value.encode()
        return U16.pack(len(text)) + text
    if form == "b":
        assert isinstance(value, bytes)
        return U32.pack(len(value)) + value
    if form == "d":
        assert isinstance(value, bytes)
        return digest(value) if value else bytes(DIGEST)
    assert form == "l" and isinstance(value, tuple)
    return U16.pack(len(value)) + b"".join(_pack("s", item) for item in value)


def _unpack(form: str, data: bytes, at: int) -> tuple[object, int]:
    if form in NUMBERS:
        number = NUMBERS[form]
        (value,) = number.unpack_from(data, at)
        if form == "e" and value and not LEAST_EPOCH <= value <= MOST_EPOCH:
            raise FrameError(f"no epoch can be {value}")
        return value, at + number.size
    if form == "l":
        (count,) = U16.unpack_from(data, at)
        at += U16.size
        items = []
        for _ in range(count):
            item, at = _unpack("s", data, at)
            items.append(item)
        return tuple(items), at
    if form == "d":
        mark = data[at:at + DIGEST]
        if len(mark) < DIGEST:
            raise FrameError("a digest ends behind the frame")
        return (mark if any(mark) else b""), at + DIGEST
    size = U16 if form == "s" else U32
    (length,) = size.unpack_from(data, at)
    at += size.size
    if at + length > len(data):
        raise FrameError("a field ends behind the frame")
    part = data[at:at + length]
    return (part.decode() if form == "s" else part), at + length


#: Flags of a node. A slow one can't keep up with its own work.
FRONT, QUORUM, BOOTSTRAP, SLOW = 1, 2, 4, 8


@dataclass(frozen=True, slots=True)
class Join(Frame):
    """A node tells of itself, to a seed or to the root; again and again, for the root's roster is soft."""

    KIND = 1
    FORM = "sssccssiee"
    name: str
    ip: str
    zone: str
    flags: int
    placed: int
    """1 from a node that already has a place."""
    lost: str
    """The address of a parent that has fallen silent, or nothing."""
    identity: str = ""
    """Of a machine with a disk: its name as a member."""
    kbps: int = 1_000_000
    """What its link carries, in kbit/s."""
    epoch: int = 0
    """The highest that it has seen; 0: none."""
    fed: int = 0
    """The epoch of the newest place or beat that it was given: this is how the root knows that it is heard."""


@dataclass(frozen=True, slots=True)
class Refer(Frame):
    """The root is there; an empty address: the sender can't vouch for any. Also told unasked: by a root to seeds, and
    to whoever has sent something of an epoch that is over."""

    KIND = 2
    FORM = "sel"
    root: str
    epoch: int = 0
    """The highest that the sender has seen somebody lead in."""
    members: tuple[str, ...] = ()
    """Addresses of the core's group, as the sender knows it: others to ask."""


@dataclass(frozen=True, slots=True)
class Place(Frame):
    """The root tells a node its few: parents to try in this order, nodes to watch, and how many carry traffic."""

    KIND = 3
    FORM = "ellllhhhl"
    epoch: int
    members: tuple[str, ...]
    """Addresses of the chain, from head to tail."""
    parents: tuple[str, ...]
    watches: tuple[str, ...]
    watch_names: tuple[str, ...]
    fronts: int
    zone_fronts: int
    index: int
    """This node's number among those that carry traffic."""
    group: tuple[str, ...] = ()
    """Addresses of the core's group, also of those that the chain has left out."""


@dataclass(frozen=True, slots=True)
class Attach(Frame):
    """A child tells its parent what it has; the parent sends what it lacks, and all news from then on."""

    KIND = 4
    FORM = "sqqie"
    name: str
    revision: int
    life: int
    seq: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class News(Frame):
    """There is a committed configuration; its body is fetched from whoever tells of it."""

    KIND = 5
    FORM = "qbe"
    revision: int
    mark: bytes
    """The body's digest."""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Servers(Frame):
    """Rows of the list (see listing.py): all of it, or the changes that lead from `since` to `seq`."""

    KIND = 6
    FORM = "qiicbe"
    life: int
    since: int
    seq: int
    whole: int
    rows: bytes
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Beat(Frame):
    """The root lives, and these are its newest; a child that lacks one of them attaches again."""

    KIND = 7
    FORM = "qiqhie"
    life: int
    seq: int
    revision: int
    fronts: int
    number: int = 0
    """Rises with each beat of a life: one that comes a second time has gone in a circle."""
    epoch: int = 0
    """In which the root leads. It may rise within a life."""


@dataclass(frozen=True, slots=True)
class Suspect(Frame):
    """A watcher tells the root that a node does not answer."""

    KIND = 8
    FORM = "s"
    name: str


@dataclass(frozen=True, slots=True)
class Leave(Frame):
    """A node is going to end."""

    KIND = 9
    FORM = "s"
    name: str


@dataclass(frozen=True, slots=True)
class Order(Frame):
    """A configuration on its way to the head of the chain, from the node that took the call."""

    KIND = 10
    FORM = "qsqdc"
    ident: int
    origin: str
    base: int
    body: bytes
    hops: int = 0
    """How often the core has passed it on: while views differ two machines may each hold the other for the head."""


@dataclass(frozen=True, slots=True)
class Outcome(Frame):
    """What has become of an order, as an HTTP status and a line of text."""

    KIND = 11
    FORM = "qhs"
    ident: int
    status: int
    text: str


@dataclass(frozen=True, slots=True)
class Forward(Frame):
    """An entry on its way down the chain."""

    KIND = 12
    FORM = "qqqqdqs"
    epoch: int
    number: int
    revision: int
    base: int
    body: bytes
    ident: int
    origin: str

    def check(self) -> None:
        check_epochs(self, self.epoch)
        demand(self.number > 0, self, "it has no number")
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class Committed(Frame):
    """The tail has synced all entries up to this one; it goes up the chain."""

    KIND = 13
    FORM = "qq"
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Read(Frame):
    """The newest configuration is asked for, at the tail."""

    KIND = 14
    FORM = "qsc"
    ident: int
    origin: str
    hops: int = 0


@dataclass(frozen=True, slots=True)
class Reading(Frame):
    KIND = 15
    FORM = "qhd"
    ident: int
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Found(Frame):
    """The founding view, proposed to its members in their order."""

    KIND = 16
    FORM = "ql"
    epoch: int
    chain: tuple[str, ...]

    def check(self) -> None:
        check_view(self, self.epoch, self.chain, self.chain)


@dataclass(frozen=True, slots=True)
class Founded(Frame):
    """A member has a view on disk; this is its chain."""

    KIND = 17
    FORM = "sql"
    name: str
    epoch: int
    chain: tuple[str, ...]

    def check(self) -> None:
        check_member(self, self.name)
        check_epochs(self, self.epoch)


@dataclass(frozen=True, slots=True)
class Pulse(Frame):
    """A member lives: the view it holds, the epoch it has promised, whether its disk works (0: it does not; else 1, and
    twice the version of its check of configurations), and what it says of it."""

    KIND = 18
    FORM = "sqqccqqqqqqq"
    name: str
    epoch: int
    promised: int
    disk: int
    standing: int = 1
    number: int = 0
    """To be echoed at once; 0: not to be answered."""
    echo: int = 0
    """The number of the pulse that this one answers, or 0."""
    incarnation: int = 0
    """From here on: what is on the sender's disk (marks.py)."""
    draw: int = 0
    kept: int = 0
    """The promise that is on disk; a higher one may be on its way there."""
    held: int = 0
    entry: int = 0
    """The number of the newest entry on disk."""

    def check(self) -> None:
        check_member(self, self.name)
        check_epochs(self, self.epoch, self.promised)
        demand(self.epoch <= self.promised, self, "a promise below the view that is held")


@dataclass(frozen=True, slots=True)
class ViewIs(Frame):
    """For a member that holds an older view: the newest one."""

    KIND = 19
    FORM = "qll"
    epoch: int
    chain: tuple[str, ...]
    group: tuple[str, ...]

    def check(self) -> None:
        check_view(self, self.epoch, self.chain, self.group)


@dataclass(frozen=True, slots=True)
class Prepare(Frame):
    """A proposer asks for the promise to take part in no epoch below this one."""

    KIND = 20
    FORM = "qsq"
    epoch: int
    name: str
    since: int = 0
    """Up to this revision the proposer knows what was taken."""

    def check(self) -> None:
        check_epochs(self, self.epoch)
        check_member(self, self.name)


@dataclass(frozen=True, slots=True)
class Promise(Frame):
    """The promise is on disk. With it: the view that the member holds, its newest entry, and digests of what was taken
    above the revision that the proposer named (taken.py)."""

    KIND = 21
    FORM = "qsqllqqqqdbqqq"
    epoch: int
    name: str
    view: int
    chain: tuple[str, ...]
    group: tuple[str, ...]
    number: int
    entry_epoch: int
    revision: int
    base: int
    body: bytes
    taken: bytes
    incarnation: int = 0
    draw: int = 0
    held: int = 0
    """The epoch of the newest view on the sender's disk; `view` may be one that it was only told of."""

    def check(self) -> None:
        check_member(self, self.name)
        check_view(self, self.view, self.chain, self.group)
        check_epochs(self, self.epoch, self.entry_epoch)
        demand(self.entry_epoch < self.epoch, self, "it tells of an entry above its promise")
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class Accept(Frame):
    """The view of an epoch, and the entry that all of its chain begin with (number 0: none yet)."""

    KIND = 22
    FORM = "qllqqqdbq"
    epoch: int
    chain: tuple[str, ...]
    group: tuple[str, ...]
    number: int
    revision: int
    base: int
    body: bytes
    taken: bytes
    since: int = 0
    """The digests are those above this revision: the receiver has told that it holds the earlier ones."""

    def check(self) -> None:
        check_view(self, self.epoch, self.chain, self.group)
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class Confirm(Frame):
    """The tail asks whether its epoch is still the newest that a member has promised."""

    KIND = 23
    FORM = "qqs"
    epoch: int
    ident: int
    origin: str


@dataclass(frozen=True, slots=True)
class Confirmed(Frame):
    KIND = 24
    FORM = "qqs"
    epoch: int
    ident: int
    name: str

    def check(self) -> None:
        check_epochs(self, self.epoch)
        check_member(self, self.name)


#: Flags of a machine of the core.
ACTIVE, DISK_WORKS, ROOT = 1, 2, 4


@dataclass(frozen=True, slots=True)
class Ask(Frame):
    """A node that was asked for the state of the core asks a machine of it."""

    KIND = 25
    FORM = "qs"
    ident: int
    origin: str


@dataclass(frozen=True, slots=True)
class State(Frame):
    """What a machine of the core holds: its view, its newest entry, and up to which number it knows all committed."""

    KIND = 26
    FORM = "qsqllqqqqc"
    ident: int
    name: str
    epoch: int
    chain: tuple[str, ...]
    group: tuple[str, ...]
    promised: int
    number: int
    revision: int
    committed: int
    flags: int


@dataclass(frozen=True, slots=True)
class Want(Frame):
    """A part of a packed body is wanted: so many bytes from there on."""

    KIND = 27
    FORM = "bbii"
    mark: bytes
    bases: bytes
    """Digests of bodies that the asking node has, the newest last; one that goes on names what it has begun with."""
    at: int
    length: int


@dataclass(frozen=True, slots=True)
class Slice(Frame):
    """A part of a body, packed for one who has the base (or none)."""

    KIND = 28
    FORM = "bbiib"
    mark: bytes
    base: bytes
    total: int
    at: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Lacking(Frame):
    """The body that was wanted is not here."""

    KIND = 29
    FORM = "b"
    mark: bytes


@dataclass(frozen=True, slots=True)
class Released(Frame):
    """The sender feeds this child no more; another parent is to be found. The connection stays for other frames."""

    KIND = 30
    FORM = ""


@dataclass(frozen=True, slots=True)
class Alive(Frame):
    """The sender lives, though it has no beat of the root to pass on: it is looking for it."""

    KIND = 31
    FORM = ""


@dataclass(frozen=True, slots=True)
class Ailing(Frame):
    """Servers that have failed the named node lately; from parent to parent up to the root."""

    KIND = 32
    FORM = "cssl"
    hops: int
    name: str
    zone: str
    servers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Verdict(Frame):
    """Servers that fail for many nodes of a zone, from the root down the tree."""

    KIND = 33
    FORM = "sle"
    zone: str
    servers: tuple[str, ...]
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Update(Frame):
    """There is a committed configuration; the little that has changed since the version before is in the frame."""

    KIND = 50
    FORM = "qbbbe"
    revision: int
    mark: bytes
    """The body's digest."""
    base: bytes
    """The digest of the version before, on which the data is packed (delta.py)."""
    data: bytes
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Change(Frame):
    """An operator's change of the group on its way to the head of the chain; sent again until it is done."""

    KIND = 42
    FORM = "qscsslc"
    ident: int
    origin: str
    change: int
    """1: add `new`; 2: remove `old`; 3: both, in this order. Addresses."""
    old: str
    new: str
    base: tuple[str, ...]
    """The addresses of the group that it is made for."""
    hops: int = 0

    def check(self) -> None:
        demand(self.change in (1, 2, 3), self, f"change {self.change} cannot be")
        demand(0 < len(self.base) == len(set(self.base)) <= MOST_NAMED, self, "its group cannot be")


@dataclass(frozen=True, slots=True)
class Progress(Frame):
    """How far a change of the group is, as an HTTP status and a line of text, and the group's addresses now."""

    KIND = 43
    FORM = "qhsl"
    ident: int
    status: int
    text: str
    group: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Level(Frame):
    """The view and the newest entry, for a machine that stands by and is to be a member."""

    KIND = 44
    FORM = "ssqllqqqqdb"
    name: str
    """Whom it is for."""
    origin: str
    epoch: int
    chain: tuple[str, ...]
    group: tuple[str, ...]
    number: int
    entry_epoch: int
    revision: int
    base: int
    body: bytes
    taken: bytes

    def check(self) -> None:
        check_member(self, self.name)
        check_view(self, self.epoch, self.chain, self.group)
        check_epochs(self, self.entry_epoch)
        check_number(self, self.number, self.body)


@dataclass(frozen=True, slots=True)
class Levelled(Frame):
    """A view is on the disk of a machine that stands by, and the body of that entry is here."""

    KIND = 45
    FORM = "sqqb"
    name: str
    epoch: int
    number: int
    mark: bytes
    """The body's digest; nothing where there is no entry yet."""

    def check(self) -> None:
        check_member(self, self.name)
        check_epochs(self, self.epoch)
        demand(len(self.mark) == (DIGEST if self.number else 0), self, "its digest cannot be")


@dataclass(frozen=True, slots=True)
class StandingBy(Frame):
    """Beside a machine's `State`: who stands by as it hears, and at the head who is missing, and what a replacement
    that is made by itself waits for."""

    KIND = 46
    FORM = "qslls"
    ident: int
    name: str
    standing_by: tuple[str, ...]
    """Names."""
    silent: tuple[str, ...]
    """Address and seconds."""
    waits: str


@dataclass(frozen=True, slots=True)
class StaleDisk(Frame):
    """A machine has told more than it tells now: what it told, of all that its disk must have (marks.py)."""

    KIND = 48
    FORM = "sqqqqq"
    name: str
    incarnation: int
    draw: int
    promised: int
    epoch: int
    number: int


FRAMES: dict[int, type[Frame]] = {
    kind.KIND: kind for kind in (Join, Refer, Place, Attach, News, Servers, Beat, Suspect, Leave, Order, Outcome,
                                 Forward, Committed, Read, Reading, Found, Founded, Pulse, ViewIs, Prepare,
                                 Promise, Accept, Confirm, Confirmed, Ask, State, Want, Slice, Lacking, Released,
                                 Alive, Ailing, Verdict, Change, Progress, Level, Levelled, StandingBy,
                                 Update, StaleDisk)}


def unpack(kind: int, body: bytes) -> Frame:
    """A frame by its kind. Raises FrameError."""
    if kind not in FRAMES:
        raise FrameError(f"unknown kind {kind}")
    return FRAMES[kind].unpack(body)
