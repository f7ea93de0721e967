"""The platform's list of servers: parsing its pages, computing changes, and encoding rows for transfer between nodes.

Does no I/O.
"""

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
#: Maximum uncompressed size of the rows of a frame, enough for 100,000 servers.
MAX_ROW_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of a server. `warmup_ms` is its remaining warm-up time when the root first saw it."""

    instance_id: str
    service: str
    address: Address
    zone: str
    capacity: int
    state: int
    warmup_ms: int


class PlatformRow(msgspec.Struct, frozen=True, rename="camel"):
    """A server in the platform's list."""

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
    """The servers of a page, and the token of the next page. Raises ValueError for an invalid page."""
    try:
        page = msgspec.convert(decode(body), PlatformPage)
    except (msgspec.ValidationError, InvalidConfigurationError) as err:
        raise ValueError(f"invalid page of servers: {err}") from None
    return [read_endpoint(row) for row in page.servers], page.next_token


def read_endpoint(row: PlatformRow) -> Endpoint:
    """Convert a row of the platform's list. Raises ValueError for an invalid address."""
    return Endpoint(
        row.id,
        row.plant,
        read_address(row.address),
        row.zone,
        min(max(row.capacity, 1), 65535),
        STATES.get(row.state, DRAINING),
        min(max(int(row.warmup_left_ms), 0), 2**32 - 1),
    )


def pack_rows(servers: list[Endpoint]) -> bytes:
    """Encode rows for transfer between nodes: IPv4 addresses as four bytes, the whole compressed with zlib."""
    parts = []
    for server in servers:
        host = bytes(int(part) for part in server.address[0].split("."))
        parts.append(ROW.pack(server.capacity, server.warmup_ms, server.state, host, server.address[1]))
        for text in (server.instance_id, server.service, server.zone):
            data = text.encode()
            parts.append(frames.U8.pack(len(data)) + data)
    return zlib.compress(b"".join(parts), 1)


def unpack_bytes(packed: bytes) -> bytes:
    """Decompress rows. Raises FrameError if they are corrupt, truncated or too large."""
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(packed, MAX_ROW_BYTES)
    except zlib.error as err:
        raise frames.FrameError(f"rows: {err}") from None
    if not reader.eof or reader.unused_data:
        raise frames.FrameError("rows: too large, truncated, or followed by extra bytes")
    return data


def unpack_rows(packed: bytes) -> list[Endpoint]:
    """Decode rows. Raises FrameError for invalid ones."""
    servers, offset = [], 0
    data = unpack_bytes(packed)
    try:
        while offset < len(data):
            capacity, warmup_ms, state, host, port = ROW.unpack_from(data, offset)
            offset += ROW.size
            texts = []
            for _ in range(3):
                length = data[offset]
                texts.append(data[offset + 1 : offset + 1 + length].decode())
                offset += 1 + length
            if offset > len(data):
                raise frames.FrameError("rows: the last row is truncated")
            instance_id, service, zone = texts
            servers.append(
                Endpoint(instance_id, service, (".".join(map(str, host)), port), zone, capacity, state, warmup_ms)
            )
    except (struct.error, IndexError, UnicodeDecodeError) as err:
        raise frames.FrameError(f"rows: {err}") from None
    return servers


class EndpointList:
    """A node's copy of the list. Each root has its own term; changes are numbered consecutively within a term."""

    def __init__(self, term: int = 0) -> None:
        self.term = term
        self.sequence = 0
        self.servers: dict[str, Endpoint] = {}

    def update_from_platform(self, servers: list[Endpoint]) -> frames.EndpointUpdate | None:
        """At the root: replace the list by one from the platform. Returns the changes for the children, if any."""
        changed = []
        current = {server.instance_id: server for server in servers}
        for instance_id, server in current.items():
            previous = self.servers.get(instance_id)
            # The remaining warm-up time decreases without any update: only its first value is sent.
            updated = replace(server, warmup_ms=previous.warmup_ms) if previous is not None else server
            current[instance_id] = updated
            if updated != previous:
                changed.append(updated)
        changed += [
            replace(previous, state=GONE)
            for instance_id, previous in self.servers.items()
            if instance_id not in current
        ]
        if not changed and self.sequence:
            return None
        self.servers = current
        self.sequence += 1
        return frames.EndpointUpdate(self.term, self.sequence - 1, self.sequence, 0, pack_rows(changed))

    def snapshot(self) -> frames.EndpointUpdate:
        """The complete list, for a child that has none or another one."""
        return frames.EndpointUpdate(self.term, 0, self.sequence, 1, pack_rows(list(self.servers.values())))

    def apply(self, frame: frames.EndpointUpdate) -> bool | None:
        """Apply an update from the parent. Returns True if the list changed, False if the update is not new, and None
        if it does not follow on the local list, so that the complete list is needed."""
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
