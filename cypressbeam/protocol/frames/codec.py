"""The binary codec: a frame's header, the forms that fields can have, and `Frame`, the base class of all messages."""

from __future__ import annotations

import struct
from dataclasses import dataclass, fields
from typing import ClassVar, Self

from cypressbeam.protocol.configuration import digest
from cypressbeam.protocol.frames.validation import MAX_EPOCH, MIN_EPOCH, FrameError, check_epochs

#: A frame's header on a stream: the length of what follows, and the message's code.
HEADER = struct.Struct("!IB")
#: Bytes that may follow a header.
MAX_FRAME_BYTES = 16 * 1024 * 1024
U8, U16, U32, U64 = struct.Struct("!B"), struct.Struct("!H"), struct.Struct("!I"), struct.Struct("!Q")
#: Bytes of a digest (SHA-256).
DIGEST_BYTES = 32
#: Forms that are numbers.
NUMBER_FORMS = {"c": U8, "h": U16, "i": U32, "q": U64, "e": U64}


@dataclass(frozen=True, slots=True)
class Frame:
    """One message. `CODE` is its code on the wire; `FIELDS` gives its fields in order, a letter each:

    c, h, i, q: an unsigned number of 1, 2, 4 or 8 bytes; e: an epoch, in 8 bytes; s: text in UTF-8, below 2 bytes of
    length; b: bytes, below 4 bytes of length; l: texts, below 2 bytes of count; d: the body of a configuration, which
    goes onto the wire as its digest, and is that digest after `unpack`.
    """

    CODE: ClassVar[int] = 0
    FIELDS: ClassVar[str] = ""

    def pack(self) -> bytes:
        """The frame with its header, as it goes onto a stream."""
        body = b"".join(
            _pack(form, getattr(self, field.name)) for form, field in zip(self.FIELDS, fields(self), strict=True)
        )
        return HEADER.pack(len(body), self.CODE) + body

    @classmethod
    def unpack(cls, data: bytes) -> Self:
        """Raises FrameError if the bytes are not exactly this message's fields."""
        values: list[object] = []
        at = 0
        try:
            for form in cls.FIELDS:
                value, at = _unpack(form, data, at)
                values.append(value)
        except (struct.error, UnicodeDecodeError) as err:
            raise FrameError(str(err), cls.__name__) from None
        if at != len(data):
            raise FrameError(f"{len(data) - at} bytes too many", cls.__name__)
        frame = cls(*values)
        frame.check()
        return frame

    def check(self) -> None:
        """Raises FrameError for values that no node sends: an epoch, a member, a count or a digest that cannot be."""
        check_epochs(self, getattr(self, "epoch", 0))

    def body_or_digest(self) -> bytes:
        """The body that the message names, or its digest where the message comes from a stream; often none."""
        return getattr(self, "body", b"") if "d" in self.FIELDS else b""


def _pack(form: str, value: object) -> bytes:
    if form in NUMBER_FORMS:
        return NUMBER_FORMS[form].pack(value)
    if form == "s":
        assert isinstance(value, str)
        text = value.encode()
        return U16.pack(len(text)) + text
    if form == "b":
        assert isinstance(value, bytes)
        return U32.pack(len(value)) + value
    if form == "d":
        assert isinstance(value, bytes)
        return digest(value) if value else bytes(DIGEST_BYTES)
    assert form == "l" and isinstance(value, tuple)
    return U16.pack(len(value)) + b"".join(_pack("s", item) for item in value)


def _unpack(form: str, data: bytes, at: int) -> tuple[object, int]:
    """The field that begins at a byte, and where the next one begins."""
    if form in NUMBER_FORMS:
        return _unpack_number(form, data, at)
    if form == "l":
        return _unpack_texts(data, at)
    if form == "d":
        return _unpack_digest(data, at)
    size = U16 if form == "s" else U32
    (length,) = size.unpack_from(data, at)
    at += size.size
    if at + length > len(data):
        raise FrameError("a field ends behind the frame")
    part = data[at : at + length]
    return (part.decode() if form == "s" else part), at + length


def _unpack_number(form: str, data: bytes, at: int) -> tuple[int, int]:
    number = NUMBER_FORMS[form]
    (value,) = number.unpack_from(data, at)
    if form == "e" and value and not MIN_EPOCH <= value <= MAX_EPOCH:
        raise FrameError(f"no epoch can be {value}")
    return value, at + number.size


def _unpack_texts(data: bytes, at: int) -> tuple[tuple[object, ...], int]:
    (count,) = U16.unpack_from(data, at)
    at += U16.size
    items = []
    for _ in range(count):
        item, at = _unpack("s", data, at)
        items.append(item)
    return tuple(items), at


def _unpack_digest(data: bytes, at: int) -> tuple[bytes, int]:
    digest = data[at : at + DIGEST_BYTES]
    if len(digest) < DIGEST_BYTES:
        raise FrameError("a digest ends behind the frame")
    return (digest if any(digest) else b""), at + DIGEST_BYTES
