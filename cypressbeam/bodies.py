"""Bodies by their digests: what this node holds, what it fetches from others, and what it hands out.

Frames between nodes name a body by its digest; whoever lacks it fetches it from whoever named it, over a connection
beside the one for frames, so nothing small waits behind it. It comes packed (delta.py), in slices that the fetching
side asks for a window at a time: so a thin link never holds more than a window of it. The handing side spaces its
slices by its own link. A node that is still fetching hands on what it has so far; a fetch goes on where it stopped
when it goes to another source. One that does not move is asked of others too: of those who have named it, then of
those whom the tree does not need (`Bodies.others`). What does not match its digest is thrown away and fetched whole
elsewhere.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from cypressbeam import delta, frames
from cypressbeam.configuration import digest

log = logging.getLogger(__name__)

#: Bodies that are held, the newest (more where a machine has no clients: the core sees those of lost races too); and
#: packed forms, of which children ask for one or two.
KEPT, KEPT_CORE, PACKED_KEPT = 4, 12, 8
#: Slices and windows are what the node's own link carries in so long, within bounds: a frame waits behind one slice of
#: each transfer, and a window covers the way there and back.
SLICE_S, WINDOW_S = 0.01, 0.06
SLICE_BYTES = (2 * 1024, 32 * 1024)
WINDOW_BYTES = (8 * 1024, 256 * 1024)
#: Slices take at most this share of the link; requests have the rest, where a node carries any.
LINK_SHARE, FREE_SHARE = 0.5, 0.9
#: A fetch that has not moved for so long is asked of another source as well, and of a third after as long; then it has
#: so many times the patience: a full link takes its time, and is not to be filled by asking. Each waits up to so much
#: longer, so that those who wait for one source don't all turn to another in one moment. One without progress is over
#: in the end.
STALL_S, PATIENCE, JITTER = 0.4, 2, 0.5
#: One whose first slice took long has so many times that long, up to so many times the patience; and the window grows,
#: up to so many times.
MOST_WAYS, MOST_PATIENCE, MOST_WINDOWS = 2, 3, 4
GIVE_UP_S = 6.0
#: One that has been quiet for so long gives way to a source that is told of now, or to a newer version.
QUIET_S = 0.3
TICK_S = 0.1
#: A packed body of so many bytes goes with the frame that names it: no larger than the smallest slice.
BRIEF_BYTES = SLICE_BYTES[0]


class Connection(Protocol):
    """A connection to another node, as far as slices need it."""

    @property
    def ip(self) -> str: ...

    @property
    def transport(self) -> object | None:
        """None: it is not up yet."""

    def send(self, frame: frames.Frame) -> None: ...


class Connections(Protocol):
    """The node's connections to others."""

    @property
    def ip(self) -> str: ...

    def bulk(self, ip: str) -> Connection:
        """The connection out for slices."""


@dataclass(slots=True)
class Fetch:
    """A body on its way here."""

    sources: list[str]
    """Addresses, the one that is asked first."""
    moved_s: float
    asked_s: float
    began_s: float
    window: int
    link: Connection | None = None
    base: bytes = b""
    base_body: bytes = b""
    total: int = -1
    """Of the packed body; below 0 while it is not known."""
    got: bytearray = field(default_factory=bytearray)
    wanted: int = 0
    """Up to where it was asked for."""
    then: dict[object, Callable[[bytes], None]] = field(default_factory=dict)
    whole: bool = False
    """Nothing of what is here may serve as a base: what was packed on it did not match."""
    spent: set[str] = field(default_factory=set)
    """Sources that have said that it is not there."""
    asked_again: int = 0
    """How often, since it moved."""
    due_s: float = 0.0
    """When it is asked again, unless it moves."""
    way_s: float = 0.0
    """How long the first slice took to come."""

    def begin_anew(self) -> None:
        self.got.clear()
        self.total, self.base, self.base_body = -1, b"", b""


@dataclass(slots=True)
class Serving:
    """A body that a child fetches from here: its next slice begins at `at`, and goes at most up to `end`."""

    bases: list[bytes]
    at: int
    end: int
    base: bytes | None = None
    """What it is packed on; None while that can't be told, for the body is on its way here itself."""


class Bodies:
    """All bodies of one node. `on_progress` gets the address of a node that has just sent a part of one."""

    def __init__(self, peers: Connections, link_mbps: float, shared: bool) -> None:
        self.peers = peers
        self.chance = random.Random(peers.ip)
        self.loop = asyncio.get_running_loop()
        per_s = link_mbps * 1e6 / 8
        self.slice = int(min(max(per_s * SLICE_S, SLICE_BYTES[0]), SLICE_BYTES[1]))
        self.window = int(min(max(per_s * WINDOW_S, WINDOW_BYTES[0]), WINDOW_BYTES[1]))
        self.kept = KEPT if shared else KEPT_CORE
        self.per_s = per_s * (LINK_SHARE if shared else FREE_SHARE)
        self.held: OrderedDict[bytes, bytes] = OrderedDict()
        self.packed: OrderedDict[tuple[bytes, bytes], bytes] = OrderedDict()
        self.fetches: dict[bytes, Fetch] = {}
        self.serving: dict[tuple[Connection, bytes], Serving] = {}
        """In the order in which they take turns."""
        self.free_s = 0.0
        """When the link has carried what was handed to it."""
        self.pumping = False
        self.ticking = False
        self.fetched_bytes = self.handed_bytes = 0
        self.on_progress: Callable[[str], None] = lambda ip: None
        self.others: Callable[[], list[str]] = list
        """Whom to turn to for what nobody sends who has named it, the best first."""

    # -- what is held --------------------------------------------------------------------------------------

    def put(self, body: bytes) -> bytes:
        """Hold a body, so that those who are told of it find it here; returns its digest."""
        mark = digest(body)
        self.held[mark] = body
        self.held.move_to_end(mark)
        while len(self.held) > self.kept:
            self.held.popitem(last=False)
        return mark

    def need(self, mark: bytes, source: str, then: Callable[[bytes], None], key: object = None) -> None:
        """Get a body: `then` is called with it, at once if it is here; of several with one key the last counts. A body
        that can't be got is given up without a word, for whoever has named it names it again."""
        body = self.held.get(mark)
        if body is not None:
            self.held.move_to_end(mark)
            then(body)
            return
        fetch = self.fetches.get(mark)
        if fetch is None:
            now_s = self.loop.time()
            fetch = self.fetches[mark] = Fetch([source], now_s, now_s, now_s, self.window)
            self.ask(mark, fetch)
        elif source not in fetch.sources:
            fetch.spent.discard(source)
            fetch.sources.insert(0, source)
            if self.loop.time() - max(fetch.moved_s, fetch.asked_s) > QUIET_S:
                self.ask(mark, fetch)
            else:
                fetch.sources.append(fetch.sources.pop(0))
        fetch.then[key if key is not None else then] = then
        if not self.ticking:
            self.ticking = True
            self.loop.call_later(TICK_S, self.tick)

    def comes(self, mark: bytes) -> bool:
        """Whether a body is on its way here, and has moved lately; that it was asked for again says nothing."""
        fetch = self.fetches.get(mark)
        return fetch is not None and self.loop.time() - fetch.moved_s <= QUIET_S

    def sought(self, mark: bytes) -> bool:
        """Whether a body is asked for, though nothing may come."""
        return mark in self.fetches

    def drop(self, mark: bytes, key: object) -> None:
        """Whoever has waited for a body under this key does not any more."""
        fetch = self.fetches.get(mark)
        if fetch is not None and fetch.then.pop(key, None) is not None and not fetch.then:
            del self.fetches[mark]
            self.pump()

    def how(self, mark: bytes) -> str:
        """How a fetch stands, for the log."""
        fetch = self.fetches.get(mark)
        if fetch is None:
            return "nobody is asked for it"
        now_s = self.loop.time()
        return (f"{len(fetch.got)} of {fetch.total} bytes, moved {now_s - fetch.moved_s:.1f} s ago, asked"
                f" {now_s - fetch.asked_s:.1f} s ago, begun {now_s - fetch.began_s:.1f} s ago; sources"
                f" {' '.join(fetch.sources)}")

    # -- fetching ------------------------------------------------------------------------------------------

    def ask(self, mark: bytes, fetch: Fetch) -> None:
        """Ask the first source for the next window."""
        now_s = fetch.asked_s = self.loop.time()
        waits_s = STALL_S if fetch.asked_again < 2 else STALL_S * PATIENCE
        fetch.due_s = now_s + waits_s * self.chance.uniform(1.0, 1.0 + JITTER)
        link = self.peers.bulk(fetch.sources[0])
        at = len(fetch.got)
        if link is fetch.link and link.transport is None and fetch.wanted == at + fetch.window:
            return  # what is asked of it already waits for its connection
        fetch.link, fetch.wanted = link, at + fetch.window
        bases = fetch.base
        if fetch.total < 0 and not fetch.whole:
            bases = b"".join(self.held)
        link.send(frames.Want(mark, bases, at, fetch.window))

    def ask_elsewhere(self, mark: bytes, fetch: Fetch) -> None:
        """Ask the next source, and for more: each window takes long now. What the one before still sends is taken as
        well."""
        fetch.asked_again += 1
        fetch.window = min(2 * fetch.window, MOST_WINDOWS * self.window)
        fetch.sources += [ip for ip in self.others() if ip not in fetch.sources and ip not in fetch.spent]
        fetch.sources.append(fetch.sources.pop(0))
        self.ask(mark, fetch)

    def tick(self) -> None:
        # The next one first: whatever one fetch does, the others go on.
        self.ticking = bool(self.fetches)
        if self.ticking:
            self.loop.call_later(TICK_S, self.tick)
        now_s = self.loop.time()
        for mark, fetch in [*self.fetches.items()]:
            if now_s - fetch.moved_s > GIVE_UP_S:
                log.warning("body %s: nobody sends it", mark.hex()[:8])
                del self.fetches[mark]
            elif now_s >= fetch.due_s:
                self.ask_elsewhere(mark, fetch)

    def on_slice(self, link: Connection, frame: frames.Slice) -> None:
        fetch = self.fetches.get(frame.mark)
        if fetch is None:
            return
        if (frame.base, frame.total) != (fetch.base, fetch.total):
            if frame.at or (fetch.got and self.comes(frame.mark)):
                return  # of another packed form: not its beginning, or not needed while the first one moves
            if frame.base and frame.base not in self.held:
                return  # it has gone from here since it was named
            fetch.base, fetch.total, fetch.base_body = frame.base, frame.total, self.held.get(frame.base, b"")
            fetch.got.clear()
        if frame.at != len(fetch.got):
            return  # it came twice, or after one that was lost with its connection
        fetch.moved_s = self.loop.time()
        fetch.way_s = fetch.way_s or fetch.moved_s - fetch.began_s
        waits_s = min(max(STALL_S, MOST_WAYS * fetch.way_s), STALL_S * MOST_PATIENCE)
        fetch.asked_again, fetch.due_s = 0, fetch.moved_s + waits_s * self.chance.uniform(1.0, 1.0 + JITTER)
        self.fetched_bytes += len(frame.data)
        self.on_progress(link.ip)
        fetch.got += frame.data
        if len(fetch.got) >= fetch.total:
            self.finish(frame.mark, fetch)
            return
        if len(fetch.got) >= fetch.wanted - fetch.window // 2:
            self.ask_on(link, frame.mark, fetch)
        self.pump()

    def ask_on(self, link: Connection, mark: bytes, fetch: Fetch) -> None:
        """Half of what was asked for has come. At a full link, where a window takes long, there may be more of it on
        the way."""
        if fetch.way_s > MOST_WAYS * WINDOW_S:
            fetch.window = min(2 * fetch.window, MOST_WINDOWS * self.window)
        if link is fetch.link:
            more = fetch.window - (fetch.wanted - len(fetch.got))
            link.send(frames.Want(mark, fetch.base, fetch.wanted, more))
            fetch.wanted += more
        elif link.ip in fetch.sources:  # it was slow, another was asked, and it is before that one: it goes on
            fetch.sources.remove(link.ip)
            fetch.sources.insert(0, link.ip)
            self.ask(mark, fetch)

    def on_lacking(self, link: Connection, frame: frames.Lacking) -> None:
        """A source does not have it; the next one may. Where there is none the fetch is over: a version that was
        followed by others has gone from those who had it, and must not hold up the newest."""
        fetch = self.fetches.get(frame.mark)
        if fetch is None or link.ip not in fetch.sources:
            return
        first = fetch.sources[0] == link.ip
        fetch.sources.remove(link.ip)
        fetch.spent.add(link.ip)
        if not fetch.sources:
            fetch.sources += [ip for ip in self.others() if ip not in fetch.spent]
        if not fetch.sources:
            del self.fetches[frame.mark]
        elif first:
            fetch.begin_anew()
            self.ask(frame.mark, fetch)

    def finish(self, mark: bytes, fetch: Fetch) -> None:
        try:
            body = delta.unpack(bytes(fetch.got), fetch.base_body)
            if digest(body) != mark:
                raise delta.Broken("it is not what its digest says")
        except delta.Broken as err:
            log.error("body %s from %s: %s", mark.hex()[:8], fetch.sources[0], err)
            fetch.begin_anew()
            fetch.whole = True
            self.ask_elsewhere(mark, fetch)
            return
        self.keep_packed((mark, fetch.base), bytes(fetch.got))
        self.arrived(mark, body)

    def arrived(self, mark: bytes, body: bytes) -> None:
        """It is here: whoever waits for it gets it, and may hand it on."""
        fetch = self.fetches.pop(mark, None)
        self.put(body)
        for then in [*fetch.then.values()] if fetch is not None else []:
            then(body)
        self.pump()

    def brief(self, mark: bytes, base: bytes) -> bytes:
        """A held body packed on another one, if that is little; else nothing."""
        found = self.form(mark, base) if base in self.held and mark in self.held and mark != base else None
        return bytes(found[0]) if found is not None and found[1] <= BRIEF_BYTES else b""

    def open_brief(self, mark: bytes, base: bytes, data: bytes) -> bytes | None:
        """The body that a frame brought packed; None where its base is not here, or where it is not what its digest
        says: it is to be fetched then."""
        if base not in self.held:
            return None
        try:
            body = delta.unpack(data, self.held[base])
            if digest(body) != mark:
                raise delta.Broken("it is not what its digest says")
        except delta.Broken as err:
            log.error("body %s, brief: %s", mark.hex()[:8], err)
            return None
        self.keep_packed((mark, base), data)
        self.arrived(mark, body)
        return body

    # -- handing out ---------------------------------------------------------------------------------------

    def keep_packed(self, key: tuple[bytes, bytes], data: bytes) -> bytes:
        self.packed[key] = data
        self.packed.move_to_end(key)
        while len(self.packed) > PACKED_KEPT:
            self.packed.popitem(last=False)
        return data

    def on_want(self, link: Connection, frame: frames.Want) -> None:
        """A node wants a part of a body, and names what it has that might serve as a base."""
        bases = [frame.bases[at:at + frames.DIGEST] for at in range(0, len(frame.bases), frames.DIGEST)]
        key = (link, frame.mark)
        serving = self.serving.get(key)
        if serving is not None and serving.end == frame.at and serving.base == frame.bases:
            serving.end += frame.length
        else:
            self.serving[key] = Serving(bases, frame.at, frame.at + frame.length)
        self.pump()

    def settle_base(self, mark: bytes, serving: Serving) -> None:
        """Choose what a body is packed on: the newest that both sides have, or what it comes packed on here, which can
        be handed on as it comes. One that goes on names only the base that it has begun with; where that is not here
        it begins anew."""
        fetch = self.fetches.get(mark)
        if mark in self.held:
            serving.base = next((base for base in reversed(serving.bases) if base in self.held and base != mark), b"")
        elif fetch is not None and fetch.total >= 0 and (not fetch.base or fetch.base in serving.bases):
            serving.base = fetch.base
        if serving.base is not None and serving.at and serving.bases != [serving.base] and (
                serving.base or serving.bases):
            serving.at, serving.end = 0, serving.end - serving.at

    def form(self, mark: bytes, base: bytes) -> tuple[bytes | bytearray, int] | None:
        """A packed body, as much of it as is here, and its size in all; None if there is none, or its size is not
        known yet."""
        data = self.packed.get((mark, base))
        if data is None and mark in self.held and (not base or base in self.held):
            data = self.keep_packed((mark, base), delta.pack(self.held[mark], self.held[base] if base else b""))
        if data is not None:
            return data, len(data)
        fetch = self.fetches.get(mark)
        if fetch is not None and fetch.base == base and fetch.total >= 0:
            return fetch.got, fetch.total
        return None

    def pump(self) -> None:
        """Hand out slices, one of each transfer in turn, no faster than the link carries them."""
        if self.pumping:
            return
        while (ready := self.next_ready()) is not None:
            now_s = self.loop.time()
            if self.free_s > now_s + 0.001:
                self.pumping = True
                self.loop.call_later(self.free_s - now_s, self.pump_again)
                return
            (link, mark), serving, part, total = ready
            self.serving[link, mark] = self.serving.pop((link, mark))  # to the end of the turns
            assert serving.base is not None
            link.send(frames.Slice(mark, serving.base, total, serving.at, part))
            serving.at += len(part)
            self.handed_bytes += len(part)
            self.free_s = max(self.free_s, now_s) + len(part) / self.per_s
            if serving.at >= total:
                self.serving.pop((link, mark), None)

    def pump_again(self) -> None:
        self.pumping = False
        self.pump()

    def next_ready(self) -> tuple[tuple[Connection, bytes], Serving, bytes, int] | None:
        """The next transfer that has something to send now, with its slice and the size of the whole."""
        for key, serving in [*self.serving.items()]:
            if serving.base is None:
                self.settle_base(key[1], serving)
            found = self.form(key[1], serving.base) if serving.base is not None else None
            if found is None:
                if key[1] not in self.fetches:
                    del self.serving[key]
                    key[0].send(frames.Lacking(key[1]))
                continue
            data, total = found
            part = bytes(data[serving.at:min(serving.end, serving.at + self.slice)])
            if part:
                return key, serving, part, total
        return None

    def link_lost(self, link: Connection) -> None:
        self.serving = {key: serving for key, serving in self.serving.items() if key[0] is not link}
        for fetch in self.fetches.values():
            if fetch.link is link:
                fetch.link = None
                # A connect that fails at once must not be tried again and again.
                fetch.due_s = min(fetch.due_s, max(self.loop.time(), fetch.asked_s + QUIET_S))
