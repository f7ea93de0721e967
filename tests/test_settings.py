"""The settings file: each key reads all that the pages allow for it, and rejects all else with a full message."""

from __future__ import annotations

import logging
import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypressbeam.protocol.settings import REPLACE_AFTER_FRACTION, SettingsError, parse
from cypressbeam.protocol.settings_keys import KEYS_BY_NAME, SETTINGS_KEYS, SettingsKey, Users, ValueKind

REQUIRED = {"node": "edge-1", "ip": "10.1.0.13", "internalPorts": "7620,7635"}
#: The keys that make a process an edge node or a core machine.
ROLE_KEYS = {Users.EDGE: {"listeners.front": "10.1.0.13:8641"}, Users.CORE: {"stateDir": "/var/state"}}
NUMERIC = (ValueKind.COUNT, ValueKind.NUMBER, ValueKind.FIGURE)


def file_of(values: dict[str, str], *roles: Users) -> str:
    """The text of a settings file of a process with these roles."""
    lines = dict(REQUIRED)
    for role in roles:
        lines |= ROLE_KEYS[role]
    return "".join(f"{name}={value}\n" for name, value in (lines | values).items())


def decimal_texts(least: float) -> st.SearchStrategy[str]:
    """Whole numbers and fractions from `least` on, as programs write them."""
    whole = st.integers(math.ceil(least), 10**9)
    fractions = st.floats(least, 1e9, allow_subnormal=False)
    return st.one_of(whole.map(str), fractions.map(repr), whole.map(lambda number: f"{number}.0"))


def address_texts() -> st.SearchStrategy[str]:
    return st.builds("{}:{}".format, st.ip_addresses(v=4), st.integers(1, 65535))


def valid_texts(key: SettingsKey) -> st.SearchStrategy[str]:
    """The values that the pages allow for a key."""
    return {
        ValueKind.TEXT: st.from_regex(r"[a-z0-9.-]{1,20}", fullmatch=True),
        ValueKind.FOLDER: st.from_regex(r"/[a-z0-9/.-]{1,20}", fullmatch=True),
        ValueKind.ADDRESS: address_texts(),
        ValueKind.ADDRESSES: st.lists(address_texts(), max_size=4).map(",".join),
        ValueKind.PORTS: st.builds("{},{}".format, st.integers(1, 65535), st.integers(1, 65535)),
        ValueKind.FLAG: st.sampled_from(["true", "false"]),
        ValueKind.COUNT: st.integers(math.ceil(key.least), 10**6).map(str),
        ValueKind.NUMBER: decimal_texts(key.least),
        ValueKind.FIGURE: st.one_of(decimal_texts(key.least), st.sampled_from(["true", "false"])),
    }[key.kind]


def invalid_texts(key: SettingsKey) -> st.SearchStrategy[str]:
    """Values that no page allows for a key; any text is a name or a folder."""
    odd = [
        "nan",
        "inf",
        "-inf",
        "1e999",
        "1_000",
        "0x10",
        "1,5,7",
        "-",
        "\u0663",
        "1 2",
        "True",
        "yes",
        "none",
        "1:2:x",
    ]
    texts = st.sampled_from(odd)
    if key.kind in NUMERIC:
        texts |= st.floats(max_value=key.least, exclude_max=True, allow_infinity=False).map(repr)
    if key.kind is ValueKind.COUNT:
        texts |= st.sampled_from(["true", "false", f"{math.ceil(key.least)}.5"])
    if key.kind is ValueKind.NUMBER:
        texts |= st.sampled_from(["true", "false"])
    if key.kind in (ValueKind.ADDRESS, ValueKind.ADDRESSES):
        texts |= st.sampled_from(["10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", ":80", "10.0.0.1:\u0663"])
    if key.kind is ValueKind.PORTS:
        texts |= st.sampled_from(["7620", "0,1", "1,65536", "1,2,3", "a,b", ",", "\u0663,\u0664"])
    return texts


def expected_number(key: SettingsKey, text: str) -> float:
    return {"true": key.default, "false": 0.0}[text] if text in ("true", "false") else float(text)


CHECKED = [key for key in SETTINGS_KEYS if key.kind not in (ValueKind.TEXT, ValueKind.FOLDER)]
USED = [key for key in CHECKED if key.users is not Users.NONE]
BOTH_ROLES = (Users.EDGE, Users.CORE)


@pytest.mark.parametrize("key", SETTINGS_KEYS, ids=lambda key: key.name)
@given(data=st.data())
def test_each_value_that_the_pages_allow_is_read(key: SettingsKey, data: st.DataObject) -> None:
    """Guards against a key that takes whole numbers only since its default is one (review/7)."""
    text = data.draw(valid_texts(key))
    if key.users is Users.NONE:
        assert parse(file_of({key.name: text}, *BOTH_ROLES), "boot.conf") == parse(
            file_of({}, *BOTH_ROLES), "boot.conf"
        )
        return
    value: Any = parse(file_of({key.name: text}, *BOTH_ROLES), "boot.conf").value_of(key)
    if key.kind in NUMERIC:
        assert value == expected_number(key, text)
    elif key.kind is ValueKind.FLAG:
        assert value is (text == "true")
    elif key.kind is ValueKind.ADDRESS:
        assert f"{value[0]}:{value[1]}" == text
    elif key.kind in (ValueKind.ADDRESSES, ValueKind.PORTS):
        assert ",".join(f"{item[0]}:{item[1]}" if isinstance(item, tuple) else str(item) for item in value) == text
    else:
        assert str(value).rstrip("/") == str(type(value)(text)).rstrip("/")


@pytest.mark.parametrize("key", USED, ids=lambda key: key.name)
@given(data=st.data())
def test_any_other_value_is_an_error_with_file_line_key_value_and_expected_form(
    key: SettingsKey, data: st.DataObject
) -> None:
    text = data.draw(invalid_texts(key))
    file = file_of({key.name: text}, *BOTH_ROLES)
    line = next(number for number, row in enumerate(file.split("\n"), 1) if row.startswith(f"{key.name}="))
    with pytest.raises(SettingsError) as caught:
        parse(file, "boot.conf")
    assert str(caught.value) == f"boot.conf: line {line}: {key.name} is {text!r}; {key.expected()} is wanted"


@pytest.mark.parametrize("key", [key for key in CHECKED if key.users is not Users.ALL], ids=lambda key: key.name)
def test_an_invalid_value_that_the_process_does_not_use_is_logged_and_its_default_taken(
    key: SettingsKey, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a process that does not start for a value that only other roles use (review/7)."""
    other = Users.CORE if key.users is Users.EDGE else Users.EDGE
    with caplog.at_level(logging.WARNING):
        settings = parse(file_of({key.name: "?"}, other), "boot.conf")
    assert settings == parse(file_of({}, other), "boot.conf")
    assert f"{key.name} is '?'" in caplog.text and "does not use it" in caplog.text


def test_the_delay_of_a_replacement_follows_from_the_sync_time() -> None:
    settings = parse(file_of({"envelope.syncS": "6.5"}), "boot.conf")
    assert settings.replace_after_s == REPLACE_AFTER_FRACTION * 6.5


def test_each_key_has_one_entry() -> None:
    assert len(KEYS_BY_NAME) == len(SETTINGS_KEYS)
    assert all(key.default >= key.least or key.kind not in NUMERIC for key in SETTINGS_KEYS)


@pytest.mark.parametrize("mbps", ["1e-2", "1e12"])
def test_any_rate_of_the_link_fits_into_a_registration(mbps: str) -> None:
    assert 0 < parse(file_of({"constraints.linkMbps": mbps}), "boot.conf").link_kbps < 2**32
