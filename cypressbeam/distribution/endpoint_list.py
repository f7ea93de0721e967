"""The platform's list of servers: reading its pages, telling what changed, and its rows between nodes. Pure."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, replace

import msgspec

from cypressbeam.protocol import frames
from cypressbeam.protocol.address import Address, read_address
from cypressbeam.protocol.configuration import InvalidConfigurationError, decode

IN_SERVICE, DRAINING, GONE = 0, 1, 2
STATES = {"in_service": IN_SERVICE, "draining": DRAINING}
ROW = struct.Struct("!HIB4sH")
#: Bytes of all rows of a frame: a list of 100,000 servers fits.
MAX_ROW_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of a server. `warmup_ms` is how much longer it was slow when the root first saw it."""

    instance_id: str
    service: str
    address: Address
    zone: str
    capacity: int
    state: int
    warmup_ms: int


class PlatformRow(msgspec.Struct, frozen=True, rename="camel"):
    """A server as the platform lists it."""

    id: str
    plant: str
    address: str
    zone: str = ""
    capacity: int = 1
    state: str = "in_service"
    warmup_left_ms: float = 0


class PlatformPage(msgspec.Struct, frozen=True, rename="camel"):
    """A page of the platform's list."""

    servers: tuple[PlatformRow, ...]
    next_token: str | None = None


def read_page(body: bytes) -> tuple[list[Endpoint], str | None]:
    """The servers of a page, and the token of the next. Raises ValueError for what is no page."""
    try:
        page = msgspec.convert(decode(body), PlatformPage)
    except (msgspec.ValidationError, InvalidConfigurationError) as err:
        raise ValueError(f"no page of servers: {err}") from None
    return [read_endpoint(listed) for listed in page.servers], page.next_token


def read_endpoint(listed: PlatformRow) -> Endpoint:
    """An endpoint from the platform's row. Raises ValueError for an address that is none."""
    return Endpoint(
        listed.id,
        listed.plant,
        read_address(listed.address),
        listed.zone,
        min(max(listed.capacity, 1), 65535),
        STATES.get(listed.state, DRAINING),
        min(max(int(listed.warmup_left_ms), 0), 2**32 - 1),
    )


def pack_rows(servers: list[Endpoint]) -> bytes:
    """Rows as they go between nodes: an address by its four bytes, all of it compressed."""
    parts = []
    for server in servers:
        host = bytes(int(part) for part in server.address[0].split("."))
        parts.append(ROW.pack(server.capacity, server.warmup_ms, server.state, host, server.address[1]))
        for text in (server.instance_id, server.service, server.zone):
            data = text.encode()
            parts.append(frames.U8.pack(len(data)) + data)
    return zlib.compress(b"".join(parts), 1)


def unpack_bytes(packed: bytes) -> bytes:
    """Raises FrameError for what is broken, cut off or too large when unpacked."""
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(packed, MAX_ROW_BYTES)
    except zlib.error as err:
        raise frames.FrameError(f"rows: {err}") from None
    if not reader.eof or reader.unused_data:
        raise frames.FrameError("rows: too large, cut off, or with bytes behind them")
    return data


def unpack_rows(packed: bytes) -> list[Endpoint]:
    """Raises FrameError."""
    servers, at = [], 0
    data = unpack_bytes(packed)
    try:
        while at < len(data):
            capacity, warmup_ms, state, host, port = ROW.unpack_from(data, at)
            at += ROW.size
            texts = []
            for _ in range(3):
                length = data[at]
                texts.append(data[at + 1 : at + 1 + length].decode())
                at += 1 + length
            if at > len(data):
                raise frames.FrameError("a row ends behind the frame")
            instance_id, service, zone = texts
            servers.append(
                Endpoint(instance_id, service, (".".join(map(str, host)), port), zone, capacity, state, warmup_ms)
            )
    except (struct.error, IndexError, UnicodeDecodeError) as err:
        raise frames.FrameError(f"rows: {err}") from None
    return servers


class EndpointList:
    """A node's copy of the list. A term is one root's; changes follow one another within it."""

    def __init__(self, term: int = 0) -> None:
        self.term = term
        self.sequence = 0
        self.servers: dict[str, Endpoint] = {}

    def update_from_platform(self, polled: list[Endpoint]) -> frames.EndpointUpdate | None:
        """At the root: take up a whole list from the platform; returns what changed, for the children."""
        changed = []
        now = {server.instance_id: server for server in polled}
        for instance_id, server in now.items():
            known = self.servers.get(instance_id)
            # The warm-up runs on by itself: only its first figure is sent.
            same = replace(server, warmup_ms=known.warmup_ms) if known is not None else server
            now[instance_id] = same
            if same != known:
                changed.append(same)
        changed += [replace(known, state=GONE) for instance_id, known in self.servers.items() if instance_id not in now]
        if not changed and self.sequence:
            return None
        self.servers = now
        self.sequence += 1
        return frames.EndpointUpdate(self.term, self.sequence - 1, self.sequence, 0, pack_rows(changed))

    def snapshot(self) -> frames.EndpointUpdate:
        """All that is known, for a child that has none of it."""
        return frames.EndpointUpdate(self.term, 0, self.sequence, 1, pack_rows(list(self.servers.values())))

    def apply(self, frame: frames.EndpointUpdate) -> bool | None:
        """Take up what a parent sent. True: the list changed; False: it says nothing new; None: it does not follow
        on what is here, so the whole is needed."""
        if frame.whole:
            if (frame.term, frame.sequence) == (self.term, self.sequence):
                return False
            self.servers = {server.instance_id: server for server in unpack_rows(frame.rows)}
        elif frame.term != self.term or frame.base_sequence > self.sequence:
            return None
        elif frame.sequence <= self.sequence:
            return False
        else:
            for server in unpack_rows(frame.rows):
                if server.state == GONE:
                    self.servers.pop(server.instance_id, None)
                else:
                    self.servers[server.instance_id] = server
        self.term, self.sequence = frame.term, frame.sequence
        return True
