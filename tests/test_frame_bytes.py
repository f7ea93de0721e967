"""The bytes of every message on the wire, as they were when the golden file was written: nodes of two versions talk."""

from __future__ import annotations

from dataclasses import fields, replace
from pathlib import Path

import pytest

from cypressbeam.protocol import frames
from cypressbeam.protocol.configuration import digest

#: One message a line: the name that its class had when the file was written, and that which it has now.
RENAMED = dict(line.split() for line in (Path(__file__).parent / "data" / "frame_names.txt").read_text().splitlines())
#: One message a line: its former name, and the whole frame in hex.
GOLDEN = {
    RENAMED[name]: data
    for name, data in map(str.split, Path(__file__).with_name("frame_bytes.txt").read_text().splitlines())
}
#: Values by field, where the checks of a message ask for particular ones; all others follow from the field's form.
PARTICULAR: dict[str, object] = {"kind": 3, "entry_epoch": 7, "digest": bytes(range(frames.DIGEST_BYTES))}


def sample(kind: type[frames.Frame]) -> frames.Frame:
    """A message whose fields all differ from their defaults, and numbers from each other."""
    made: dict[str, object] = {}
    for place, (form, field) in enumerate(zip(kind.FIELDS, fields(kind), strict=True)):
        by_form: dict[str, object] = {
            "c": place + 1,
            "s": f"10.0.0.{place}/né",
            "b": b"blob %d" % place,
            "d": b"body %d" % place,
            "l": ("10.0.0.1/a", "10.0.0.2/b"),
        }
        made[field.name] = PARTICULAR.get(field.name, by_form.get(form, (1 << 12) + place))
    return kind(**made)


def test_every_message_has_a_code_of_its_own_and_golden_bytes() -> None:
    declared = {(kind.CODE, kind.__name__) for kind in frames.Frame.__subclasses__()}
    assert sorted(name for _, name in declared) == sorted(GOLDEN)
    assert declared == {(code, kind.__name__) for code, kind in frames.FRAME_TYPES.items()}


@pytest.mark.parametrize("kind", frames.FRAME_TYPES.values(), ids=lambda kind: kind.__name__)
def test_a_message_packs_into_its_golden_bytes_and_comes_back(kind: type[frames.Frame]) -> None:
    message = sample(kind)
    data = bytes.fromhex(GOLDEN[kind.__name__])
    assert message.pack() == data
    length, code = frames.HEADER.unpack_from(data)
    assert (length, code) == (len(data) - frames.HEADER.size, kind.CODE)
    if body := message.body_or_digest():  # on the wire a body is its digest
        message = replace(message, body=digest(body))  # type: ignore[call-arg]
    assert frames.unpack(code, data[frames.HEADER.size :]) == message
