"""Operators' commands: status from any node, checking and comparing configurations, backup and restore."""

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
from tests.test_gateway import DEMO, read_configuration, running_system


def test_any_node_reports_the_state_of_chain_and_view() -> None:
    async def scenario() -> None:
        async with running_system(edges=1) as setup:
            for machine in setup.system.machines:
                state = await status.read_state(machine.control)
                assert state["node"]["name"] == machine.name and state["epoch"] >= 256 and len(state["chain"]) == 3
                assert [
                    (member["revision"], member["lag"], member["active"], member["disk"]) for member in state["members"]
                ] == [(1, 0, True, True)] * 3
                assert sum(member["root"] for member in state["members"]) == 1
            stopped = setup.system.machines[1]
            await setup.system.kill(stopped)
            state = await status.read_state(setup.edges[0].control)
            assert [member["ip"] for member in state["members"] if not member["answers"]] == [stopped.ip]
            assert f"{stopped.ip:15} does not answer" in status.describe_state(state)
            assert f"it has seen epoch {state['node']['epoch']}, and the root's word" in status.describe_state(state)

    run(scenario())


def test_a_backup_is_restored_into_a_new_system_and_over_a_newer_revision(tmp_path: Path) -> None:
    async def scenario() -> None:
        file = tmp_path / "state"
        async with running_system(edges=1) as setup:
            assert "revision 1 saved" in await backup.backup(setup.edges[0].control, file)
        async with running_system(edges=1, configured=False) as setup:
            edge = setup.edges[0]
            async with asyncio.timeout(20.0):
                while True:
                    try:
                        await backup.restore(edge.control, file, over=False)
                        break
                    except (errors.RequestRejectedError, OSError, EOFError):  # the new system has no chain yet
                        await asyncio.sleep(0.05)
            assert (await read_configuration(edge)).body == DEMO
            assert "in force already" in await backup.restore(edge.control, file, over=False)
            await config_calls.push(edge.control, cbor2.dumps(demo_configuration(5)))
            with pytest.raises(errors.RequestRejectedError, match="--over restores it as 6"):
                await backup.restore(edge.control, file, over=False)
            assert "revision 6 is in force" in await backup.restore(edge.control, file, over=True)
            assert cbor2.loads((await read_configuration(edge)).body) == demo_configuration(6)
            assert await config_calls.diff(edge.control, write_json(tmp_path, demo_configuration(7))) == [
                "- revision = 6",
                "+ revision = 7",
            ]

    run(scenario())


def write_json(folder: Path, document: dict[str, Any], name: str = "new.json") -> Path:
    file = folder / name
    file.write_text(json.dumps(document), encoding="utf-8")
    return file


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda data: data[:-3],
        lambda data: b"",
        lambda data: data.replace(b"find", b"mind", 1),
        lambda data: data.replace(b"state 1", b"state 9"),
    ],
)
def test_a_corrupt_backup_is_rejected(tmp_path: Path, corrupt: Any) -> None:
    file = tmp_path / "state"
    digest = configuration.digest(DEMO)
    valid = cbor2.dumps({"format": backup.BACKUP_FORMAT, "revision": 1, "digest": digest, "epoch": 256, "body": DEMO})
    file.write_bytes(valid)
    assert backup.read_backup(file) == (1, DEMO)
    file.write_bytes(corrupt(valid))
    with pytest.raises(errors.InvalidFileError, match="state"):
        backup.read_backup(file)


def test_config_check_prints_warnings_routes_and_errors(tmp_path: Path) -> None:
    document = demo_configuration()
    document["plants"].append({"label": "idle", "probe": "/", "connLimit": 1, "protocol": "h1", "tls": False})
    document["channels"][0]["setpointMs"] = 9000
    result = CliRunner().invoke(main, ["config", "check", str(write_json(tmp_path, document))])
    assert result.exit_code == 0 and "plants[idle]: no route leads here" in result.output
    assert "channels[find]: the aim of 9000 ms lies behind the end at 5000 ms" in result.output
    assert "demo.example/book/ -> booker" in result.output
    document["channels"][0]["plant"] = "nobody"
    result = CliRunner().invoke(main, ["config", "check", "--json", str(write_json(tmp_path, document))])
    assert result.exit_code == 3 and "unknown service nobody" in json.loads(result.output)["invalid"]


def test_an_unreadable_file_is_reported_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "new.json"
    file.write_text("{", encoding="utf-8")
    result = CliRunner().invoke(main, ["config", "push", "127.0.0.1:1", str(file)])
    assert result.exit_code == 1 and result.output.startswith("cypressbeam: ") and "new.json" in result.output


@pytest.mark.parametrize(
    ("arguments", "code", "output"),
    [
        (["status", "nowhere"], 2, "'nowhere' is not host:port"),
        (["status", "127.0.0.1:1"], 1, "cypressbeam:"),
        (["config", "check", "/nowhere/at/all"], 2, "does not exist"),
        (["--help"], 0, "Exit codes"),
        (["nothing"], 2, "No such command"),
    ],
)
def test_exit_codes(arguments: list[str], code: int, output: str) -> None:
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == code and output in result.output
