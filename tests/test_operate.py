"""What operators do: the state from any node, configurations checked and compared, the state saved and brought back."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import cbor2
import pytest
from click.testing import CliRunner

from cypressbeam.admin import backup, config_calls, errors, status
from cypressbeam.cli.program import main
from cypressbeam.protocol import configuration
from lab.local_cluster import demo_configuration
from tests.loopback import run
from tests.test_gateway import DEMO, read_back, rig


def test_the_state_of_chain_and_view_is_told_by_any_node() -> None:
    async def scenario() -> None:
        async with rig(edges=1) as made:
            for machine in made.system.machines:
                told = await status.read_state(machine.control)
                assert told["node"]["name"] == machine.name and told["epoch"] >= 256 and len(told["chain"]) == 3
                assert [
                    (member["revision"], member["lag"], member["active"], member["disk"]) for member in told["members"]
                ] == [(1, 0, True, True)] * 3
                assert sum(member["root"] for member in told["members"]) == 1
            lost = made.system.machines[1]
            await made.system.kill(lost)
            told = await status.read_state(made.edges[0].control)
            assert [member["ip"] for member in told["members"] if not member["answers"]] == [lost.ip]
            assert f"{lost.ip:15} does not answer" in status.describe_state(told)
            assert f"it has seen epoch {told['node']['epoch']}, and the root's word" in status.describe_state(told)

    run(scenario())


def test_a_saved_state_comes_back_into_a_new_system_and_over_a_newer_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        file = tmp_path / "state"
        async with rig(edges=1) as made:
            assert "revision 1 saved" in await backup.backup(made.edges[0].control, file)
        async with rig(edges=1, configured=False) as made:
            edge = made.edges[0]
            async with asyncio.timeout(20.0):
                while True:
                    try:
                        await backup.restore(edge.control, file, over=False)
                        break
                    except (errors.RequestRefusedError, OSError, EOFError):  # the new system has no chain yet
                        await asyncio.sleep(0.05)
            assert (await read_back(edge)).body == DEMO
            assert "in force already" in await backup.restore(edge.control, file, over=False)
            await config_calls.push(edge.control, cbor2.dumps(demo_configuration(5)))
            with pytest.raises(errors.RequestRefusedError, match="--over restores it as 6"):
                await backup.restore(edge.control, file, over=False)
            assert "revision 6 is in force" in await backup.restore(edge.control, file, over=True)
            assert cbor2.loads((await read_back(edge)).body) == demo_configuration(6)
            assert await config_calls.diff(edge.control, written(tmp_path, demo_configuration(7))) == [
                "- revision = 6",
                "+ revision = 7",
            ]

    run(scenario())


def written(folder: Path, told: dict[str, Any], name: str = "new.json") -> Path:
    file = folder / name
    file.write_text(json.dumps(told), encoding="utf-8")
    return file


@pytest.mark.parametrize(
    "spoil",
    [
        lambda data: data[:-3],
        lambda data: b"",
        lambda data: data.replace(b"find", b"mind", 1),
        lambda data: data.replace(b"state 1", b"state 9"),
    ],
)
def test_a_spoilt_saved_state_is_not_used(tmp_path: Path, spoil: Any) -> None:
    file = tmp_path / "state"
    digest = configuration.digest(DEMO)
    whole = cbor2.dumps({"format": backup.BACKUP_FORMAT, "revision": 1, "digest": digest, "epoch": 256, "body": DEMO})
    file.write_bytes(whole)
    assert backup.read_backup(file) == (1, DEMO)
    file.write_bytes(spoil(whole))
    with pytest.raises(errors.UnusableFileError, match="state"):
        backup.read_backup(file)


def test_a_configuration_is_explained_before_it_is_sent(tmp_path: Path) -> None:
    odd = demo_configuration()
    odd["plants"].append({"label": "idle", "probe": "/", "connLimit": 1, "protocol": "h1", "tls": False})
    odd["channels"][0]["setpointMs"] = 9000
    call = CliRunner().invoke(main, ["config", "check", str(written(tmp_path, odd))])
    assert call.exit_code == 0 and "plants[idle]: no route leads here" in call.output
    assert "channels[find]: setpointMs of 9000 exceeds cutoffMs of 5000" in call.output
    assert "demo.example/book/ -> booker" in call.output
    odd["channels"][0]["plant"] = "nobody"
    call = CliRunner().invoke(main, ["config", "check", "--json", str(written(tmp_path, odd))])
    assert call.exit_code == 3 and "unknown service nobody" in json.loads(call.output)["invalid"]


def test_a_file_that_cannot_be_read_is_told_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "new.json"
    file.write_text("{", encoding="utf-8")
    call = CliRunner().invoke(main, ["config", "push", "127.0.0.1:1", str(file)])
    assert call.exit_code == 1 and call.output.startswith("cypressbeam: ") and "new.json" in call.output


@pytest.mark.parametrize(
    ("words", "code", "told"),
    [
        (["status", "nowhere"], 2, "'nowhere' is not host:port"),
        (["status", "127.0.0.1:1"], 1, "cypressbeam:"),
        (["config", "check", "/nowhere/at/all"], 2, "does not exist"),
        (["--help"], 0, "Exit codes"),
        (["nothing"], 2, "No such command"),
    ],
)
def test_exit_codes(words: list[str], code: int, told: str) -> None:
    call = CliRunner().invoke(main, words)
    assert call.exit_code == code and told in call.output
