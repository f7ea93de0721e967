"""What the software does is what it did at commit dd25593: traces of simulations, answers, the state on disk, settings.

A difference here is a change of behaviour. It is not to be explained away by writing the golden data anew.
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
#: A history that is short, and in which views change.
SEEDS = range(9, 10)


@pytest.mark.parametrize("name", golden_traces.SHORT)
def test_a_simulation_repeats_its_golden_trace(name: str) -> None:
    assert golden_traces.differences([golden_traces.trace_in_process(name)], TRACES) == []


def trace_of(seeds: range) -> str:
    """The digest of a few histories."""
    recorder = golden_traces.Recorder()
    with golden_traces.recorded(recorder):
        golden_traces.play_core(seeds)
    return str(recorder.digest.hexdigest())


def test_a_trace_repeats_itself_and_shows_a_changed_timeout() -> None:
    before = trace_of(SEEDS)
    assert trace_of(SEEDS) == before
    with mock.patch.object(repair, "REPAIR_DELAY_S", repair.REPAIR_DELAY_S + 0.01):
        assert trace_of(SEEDS) != before


def test_a_trace_shows_two_sends_in_another_order() -> None:
    before = trace_of(SEEDS)
    send = network.Network.send
    delayed: list[tuple[object, ...]] = []
    swapped = 0

    def send_pairs_swapped(*sent: object) -> None:
        """The first two messages in the other order; all others as they are."""
        nonlocal swapped
        if swapped == 2:
            send(*sent)  # type: ignore[arg-type]
            return
        swapped += 1
        delayed.insert(0, sent)
        if swapped == 2:
            for one in delayed:
                send(*one)  # type: ignore[arg-type]

    with mock.patch.object(network.Network, "send", send_pairs_swapped):
        assert trace_of(SEEDS) != before


def test_every_call_is_answered_as_before(tmp_path: Path) -> None:
    found = golden_answers.answers_of_process(tmp_path)
    assert found.split("\n\n") == (DATA / "answers.txt").read_text(encoding="utf-8").split("\n\n")


def test_a_state_folder_of_the_earlier_program_is_read(tmp_path: Path) -> None:
    folder = tmp_path / "state"
    folder.mkdir()
    (folder / "state.db").write_bytes((DATA / "state" / "state.db").read_bytes())
    loaded = asyncio.run(golden_state.load(folder))
    assert golden_state.describe(loaded) + "\n" == (DATA / "state.txt").read_text(encoding="utf-8")


def test_the_earlier_program_finds_the_rows_that_it_would_have_written(tmp_path: Path) -> None:
    asyncio.run(golden_state.write(tmp_path))
    assert golden_state.dump(tmp_path / "state.db") == (DATA / "state.sql").read_text(encoding="utf-8")


class RecordedKeys(Mapping[str, str]):
    """Values that remember which keys were asked for."""

    def __init__(self, values: Mapping[str, str], asked: set[str]) -> None:
        self.values_by_key = values
        self.asked = asked

    def __getitem__(self, key: str) -> str:
        self.asked.add(key)
        return self.values_by_key[key]

    def __iter__(self) -> Iterator[str]:
        return iter(self.values_by_key)

    def __len__(self) -> int:
        return len(self.values_by_key)


def test_the_settings_file_has_the_keys_that_it_had(monkeypatch: pytest.MonkeyPatch) -> None:
    asked: set[str] = set()
    init = settings.SettingsReader.__init__

    def record(self: settings.SettingsReader, path: str, values: Mapping[str, str]) -> None:
        init(self, path, RecordedKeys(values, asked))

    monkeypatch.setattr(settings.SettingsReader, "__init__", record)
    settings.parse(SETTINGS, "boot.conf")
    golden = (DATA / "settings_keys.txt").read_text(encoding="utf-8").split()
    assert sorted(asked | {"zone", "stateDir"}) == golden


def test_the_older_program_reads_the_variables_and_keys_that_it_read() -> None:
    asked: set[str] = set()
    environment = RecordedKeys({"EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"}, asked)
    with pytest.raises(config.ConfigError, match="settings: an object is needed"):
        config.parse_config(RecordedKeys({}, asked), environment)
    assert sorted(asked) == ["EDGE_DISCOVERY", "EDGE_LISTEN", "known", "limits", "seed", "settings"]
