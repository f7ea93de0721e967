"""The wire format of every message equals that of the golden file, because nodes of different versions communicate."""

from __future__ import annotations

from dataclasses import fields, replace
from pathlib import Path

import pytest

from cypressbeam.protocol import frames
from cypressbeam.protocol.configuration import digest

#: One message per line: the class name when the golden file was written, and the current one.
RENAMED = dict(line.split() for line in (Path(__file__).parent / "data" / "frame_names.txt").read_text().splitlines())
#: One message per line: the former class name, and the complete frame in hex.
GOLDEN = {
    RENAMED[name]: data
    for name, data in map(str.split, Path(__file__).with_name("frame_bytes.txt").read_text().splitlines())
}
#: Values of fields for which the checks of a message require specific ones. Others depend on the encoding of the field.
SPECIFIC_VALUES: dict[str, object] = {"kind": 3, "entry_epoch": 7, "digest": bytes(range(frames.DIGEST_BYTES))}


def sample(frame_type: type[frames.Frame]) -> frames.Frame:
    """A message in which no field has its default value and all numbers differ."""
    values: dict[str, object] = {}
    for index, (code, field) in enumerate(zip(frame_type.FIELDS, fields(frame_type), strict=True)):
        by_code: dict[str, object] = {
            "c": index + 1,
            "s": f"10.0.0.{index}/né",
            "b": b"blob %d" % index,
            "d": b"body %d" % index,
            "l": ("10.0.0.1/a", "10.0.0.2/b"),
        }
        values[field.name] = SPECIFIC_VALUES.get(field.name, by_code.get(code, (1 << 12) + index))
    return frame_type(**values)


def test_every_message_has_a_unique_code_and_golden_bytes() -> None:
    declared = {(frame_type.CODE, frame_type.__name__) for frame_type in frames.Frame.__subclasses__()}
    assert sorted(name for _, name in declared) == sorted(GOLDEN)
    assert declared == {(code, frame_type.__name__) for code, frame_type in frames.FRAME_TYPES.items()}


@pytest.mark.parametrize("frame_type", frames.FRAME_TYPES.values(), ids=lambda frame_type: frame_type.__name__)
def test_a_message_is_packed_into_its_golden_bytes_and_unpacked(frame_type: type[frames.Frame]) -> None:
    message = sample(frame_type)
    data = bytes.fromhex(GOLDEN[frame_type.__name__])
    assert message.pack() == data
    length, code = frames.HEADER.unpack_from(data)
    assert (length, code) == (len(data) - frames.HEADER.size, frame_type.CODE)
    if body := message.body_or_digest():  # on the wire a body is represented by its digest
        message = replace(message, body=digest(body))  # type: ignore[call-arg]
    assert frames.unpack(code, data[frames.HEADER.size :]) == message
