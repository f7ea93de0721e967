"""Behaviour equals that of commit dd25593: simulation traces, HTTP responses, the state on disk, settings.

A difference is a change of behaviour. Do not regenerate the golden data to make a test pass.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Mapping
from pathlib import Path
from unittest import mock

import pytest

from cypressbeam.consensus import repair
from cypressbeam.protocol import settings
from cypressbeam.standalone import config
from lab import golden_traces
from lab.histories import network
from tests import golden_answers, golden_state

DATA = Path(__file__).with_name("data")
TRACES = DATA / "traces.txt"
SETTINGS = "node=n\nip=127.0.0.1\ninternalPorts=1,2\n"
#: The seed of a short history with view changes.
SEEDS = range(9, 10)


@pytest.mark.parametrize("name", golden_traces.SHORT)
def test_a_simulation_repeats_its_golden_trace(name: str) -> None:
    assert golden_traces.differences([golden_traces.trace_in_process(name)], TRACES) == []


def trace_of(seeds: range) -> str:
    """The digest of the trace of the histories."""
    recorder = golden_traces.Recorder()
    with golden_traces.recorded(recorder):
        golden_traces.play_core(seeds)
    return str(recorder.digest.hexdigest())


def test_a_trace_is_reproducible_and_changes_with_a_timeout() -> None:
    before = trace_of(SEEDS)
    assert trace_of(SEEDS) == before
    with mock.patch.object(repair, "REPAIR_DELAY_S", repair.REPAIR_DELAY_S + 0.01):
        assert trace_of(SEEDS) != before


def test_a_trace_changes_with_the_order_of_two_sends() -> None:
    before = trace_of(SEEDS)
    send = network.Network.send
    delayed: list[tuple[object, ...]] = []
    swapped = 0

    def send_swapped(*arguments: object) -> None:
        """Swaps the first two messages."""
        nonlocal swapped
        if swapped == 2:
            send(*arguments)  # type: ignore[arg-type]
            return
        swapped += 1
        delayed.insert(0, arguments)
        if swapped == 2:
            for message in delayed:
                send(*message)  # type: ignore[arg-type]

    with mock.patch.object(network.Network, "send", send_swapped):
        assert trace_of(SEEDS) != before


def test_every_call_gets_its_golden_response(tmp_path: Path) -> None:
    responses = golden_answers.responses_from_subprocess(tmp_path)
    assert responses.split("\n\n") == (DATA / "answers.txt").read_text(encoding="utf-8").split("\n\n")


def test_a_state_folder_of_the_earlier_version_is_read(tmp_path: Path) -> None:
    folder = tmp_path / "state"
    folder.mkdir()
    (folder / "state.db").write_bytes((DATA / "state" / "state.db").read_bytes())
    loaded = asyncio.run(golden_state.load(folder))
    assert golden_state.describe(loaded) + "\n" == (DATA / "state.txt").read_text(encoding="utf-8")


def test_the_state_is_written_as_by_the_earlier_version(tmp_path: Path) -> None:
    asyncio.run(golden_state.write(tmp_path))
    assert golden_state.dump(tmp_path / "state.db") == (DATA / "state.sql").read_text(encoding="utf-8")


class RecordedKeys(Mapping[str, str]):
    """A mapping that records the keys that are read."""

    def __init__(self, values: Mapping[str, str], read_keys: set[str]) -> None:
        self.values_by_key = values
        self.read_keys = read_keys

    def __getitem__(self, key: str) -> str:
        self.read_keys.add(key)
        return self.values_by_key[key]

    def __iter__(self) -> Iterator[str]:
        return iter(self.values_by_key)

    def __len__(self) -> int:
        return len(self.values_by_key)


def test_the_settings_file_has_the_golden_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    read_keys: set[str] = set()
    init = settings.SettingsReader.__init__

    def record(self: settings.SettingsReader, path: str, values: Mapping[str, str], lines: Mapping[str, int]) -> None:
        init(self, path, RecordedKeys(values, read_keys), lines)

    monkeypatch.setattr(settings.SettingsReader, "__init__", record)
    settings.parse(SETTINGS, "boot.conf")
    golden = (DATA / "settings_keys.txt").read_text(encoding="utf-8").split()
    assert sorted(read_keys) == golden


def test_the_standalone_proxy_reads_its_variables_and_keys() -> None:
    read_keys: set[str] = set()
    environment = RecordedKeys({"EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"}, read_keys)
    with pytest.raises(config.ConfigError, match="settings: an object is needed"):
        config.parse_config(RecordedKeys({}, read_keys), environment)
    assert sorted(read_keys) == ["EDGE_DISCOVERY", "EDGE_LISTEN", "known", "limits", "seed", "settings"]
