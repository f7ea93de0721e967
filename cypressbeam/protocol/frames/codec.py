"""The binary codec: the frame header, the field encodings, and `Frame`, the base class of all messages."""

from __future__ import annotations

import struct
from dataclasses import dataclass, fields
from typing import ClassVar, Self

from cypressbeam.protocol.configuration import digest
from cypressbeam.protocol.frames.validation import MAX_EPOCH, MIN_EPOCH, FrameError, check_epochs

#: The header of a frame on a stream: the length of the fields, and the code of the message.
HEADER = struct.Struct("!IB")
#: The maximum length of the fields of a frame.
MAX_FRAME_BYTES = 16 * 1024 * 1024
U8, U16, U32, U64 = struct.Struct("!B"), struct.Struct("!H"), struct.Struct("!I"), struct.Struct("!Q")
#: The size of a SHA-256 digest.
DIGEST_BYTES = 32
#: The integer encodings by field code.
INTEGER_FORMATS = {"c": U8, "h": U16, "i": U32, "q": U64, "e": U64}


@dataclass(frozen=True, slots=True)
class Frame:
    """A message. `CODE` is its code on the wire. `FIELDS` has one letter for the encoding of each field, in order:

    c, h, i, q: an unsigned integer of 1, 2, 4 or 8 bytes; e: an epoch, in 8 bytes; s: a UTF-8 string with a 2-byte
    length prefix; b: bytes with a 4-byte length prefix; l: a list of strings with a 2-byte count; d: the body of a
    configuration, which is sent as its digest, so that the field is the digest after `unpack`.
    """

    CODE: ClassVar[int] = 0
    FIELDS: ClassVar[str] = ""

    def pack(self) -> bytes:
        """Encodes the frame with its header."""
        body = b"".join(
            _pack(code, getattr(self, field.name)) for code, field in zip(self.FIELDS, fields(self), strict=True)
        )
        return HEADER.pack(len(body), self.CODE) + body

    @classmethod
    def unpack(cls, data: bytes) -> Self:
        """Decodes the fields. Raises FrameError if the data is not exactly one message of this class."""
        values: list[object] = []
        offset = 0
        try:
            for code in cls.FIELDS:
                value, offset = _unpack(code, data, offset)
                values.append(value)
        except (struct.error, UnicodeDecodeError) as err:
            raise FrameError(str(err), cls.__name__) from None
        if offset != len(data):
            raise FrameError(f"{len(data) - offset} trailing bytes", cls.__name__)
        frame = cls(*values)
        frame.check()
        return frame

    def check(self) -> None:
        """Raises FrameError for values that no correct node sends: an impossible epoch, member, count or digest."""
        check_epochs(self, getattr(self, "epoch", 0))

    def body_or_digest(self) -> bytes:
        """The body in the message, or its digest if the message was decoded; empty for messages without a body."""
        return getattr(self, "body", b"") if "d" in self.FIELDS else b""


def _pack(code: str, value: object) -> bytes:
    if code in INTEGER_FORMATS:
        return INTEGER_FORMATS[code].pack(value)
    if code == "s":
        assert isinstance(value, str)
        text = value.encode()
        return U16.pack(len(text)) + text
    if code == "b":
        assert isinstance(value, bytes)
        return U32.pack(len(value)) + value
    if code == "d":
        assert isinstance(value, bytes)
        return digest(value) if value else bytes(DIGEST_BYTES)
    assert code == "l" and isinstance(value, tuple)
    return U16.pack(len(value)) + b"".join(_pack("s", item) for item in value)


def _unpack(code: str, data: bytes, offset: int) -> tuple[object, int]:
    """The value of the field at an offset, and the offset of the next field."""
    if code in INTEGER_FORMATS:
        return _unpack_integer(code, data, offset)
    if code == "l":
        return _unpack_strings(data, offset)
    if code == "d":
        return _unpack_digest(data, offset)
    prefix = U16 if code == "s" else U32
    (length,) = prefix.unpack_from(data, offset)
    offset += prefix.size
    if offset + length > len(data):
        raise FrameError("a field extends beyond the frame")
    part = data[offset : offset + length]
    return (part.decode() if code == "s" else part), offset + length


def _unpack_integer(code: str, data: bytes, offset: int) -> tuple[int, int]:
    encoding = INTEGER_FORMATS[code]
    (value,) = encoding.unpack_from(data, offset)
    if code == "e" and value and not MIN_EPOCH <= value <= MAX_EPOCH:
        raise FrameError(f"no epoch has the value {value}")
    return value, offset + encoding.size


def _unpack_strings(data: bytes, offset: int) -> tuple[tuple[object, ...], int]:
    (count,) = U16.unpack_from(data, offset)
    offset += U16.size
    items = []
    for _ in range(count):
        item, offset = _unpack("s", data, offset)
        items.append(item)
    return tuple(items), offset


def _unpack_digest(data: bytes, offset: int) -> tuple[bytes, int]:
    digest = data[offset : offset + DIGEST_BYTES]
    if len(digest) < DIGEST_BYTES:
        raise FrameError("a digest extends beyond the frame")
    return (digest if any(digest) else b""), offset + DIGEST_BYTES
