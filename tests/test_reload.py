"""Settings that change while a node runs: what takes effect at once, and what waits for the next start."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import cbor2
import pytest

from cypressbeam.admin.status import describe_state, read_state
from cypressbeam.node.gateway_node import GatewayNode, ignore_failure
from cypressbeam.protocol.settings import SETTINGS_VARIABLE, parse
from cypressbeam.protocol.settings_keys import KEYS_BY_NAME, SETTINGS_KEYS, Effect, SettingsKey, Users
from lab.local_cluster import demo_configuration, push_until_taken
from lab.simulation import Disk
from lab.standins import Platform
from lab.system import System
from tests.loopback import run

PAGE = Path(__file__).parent.parent / "docs" / "operations" / "settings.md"
BASE = {
    "node": "n",
    "ip": "127.0.0.1",
    "zone": "a",
    "internalPorts": "7620,7635",
    "listeners.front": "127.0.0.1:8641",
    "stateDir": "/state",
}
#: Another value for each key that some process uses.
OTHER_VALUES = {
    "node": "m",
    "ip": "127.0.0.2",
    "zone": "b",
    "seedPeers": "10.0.0.1:8649",
    "listeners.front": "127.0.0.1:8741",
    "listeners.readiness": "127.0.0.1:8740",
    "listeners.control": "127.0.0.1:8749",
    "internalPorts": "7720,7735",
    "bootstrap": "true",
    "quorumMember": "true",
    "stateDir": "/other",
    "constraints.memoryMb": "200",
    "constraints.fileHandles": "900",
    "constraints.linkMbps": "10.5",
    "tolerance.machineLosses": "2",
    "platform.address": "10.0.0.9:80",
    "envelope.contactMs": "2500.5",
    "envelope.gracePeriodS": "9.5",
    "envelope.syncS": "8",
    "envelope.retryRatio": "0.1",
    "envelope.retryWindowS": "5",
    "envelope.retrySlack": "false",
    "gateway.shareFaults": "false",
    "gateway.replaceAfterS": "7.5",
}
#: Where a running node uses the value of a key; for the other keys, where its settings are looked at.
USED_AT: dict[str, Callable[[Any], object]] = {
    "seedPeers": lambda node: node.tree.locator.candidates()[1],
    "constraints.memoryMb": lambda node: node.gateway.limits.max_buffered_bytes,
    "constraints.fileHandles": lambda node: (
        node.client_frontend.max_connections,
        node.gateway.upstream.max_connections,
    ),
    "tolerance.machineLosses": lambda node: (
        node.core.replica.state.min_copies,
        node.core.membership.tolerated_losses,
    ),
    "platform.address": lambda node: node.core.leader_role.settings.platform,
    "envelope.contactMs": lambda node: node.gateway.settings.envelope.contact_ms,
    "envelope.syncS": lambda node: node.core.replacement.replace_after_s,
    "gateway.shareFaults": lambda node: node.gateway.on_failure is ignore_failure,
    "gateway.replaceAfterS": lambda node: node.core.replacement.replace_after_s,
}
USED = [key for key in SETTINGS_KEYS if key.users is not Users.NONE]


def settings_text(**changes: str) -> str:
    return "".join(f"{name}={value}\n" for name, value in (BASE | changes).items())


async def loaded_node() -> Any:
    """A node with both roles that has loaded its disk and listens nowhere."""
    node = GatewayNode(parse(settings_text(), "boot.conf"), Disk("d"))
    assert node.core is not None
    node.client_frontend = node.make_client_frontend()
    await node.core.load()
    return node


def value_in_use(node: Any, key: SettingsKey) -> object:
    look = USED_AT.get(key.name)
    return look(node) if look is not None else node.settings.value_of(key)


@pytest.mark.parametrize("key", USED, ids=lambda key: key.name)
def test_a_changed_key_takes_effect_when_its_table_says(key: SettingsKey, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against parts of a node that keep a value from their start, such as the platform's address (review/5)."""

    async def scenario() -> None:
        node = await loaded_node()
        before = value_in_use(node, key)
        with caplog.at_level(logging.INFO):
            node.take_settings(parse(settings_text(**{key.name: OTHER_VALUES[key.name]}), "boot.conf"))
        changed = value_in_use(node, key) != before
        assert changed is (key.effect is Effect.AT_ONCE)
        waits = "will take effect at the next start"
        lines = [line for line in caplog.messages if line.startswith("settings reloaded") and key.name in line]
        assert [waits in line for line in lines] == [not changed], lines

    run(scenario())


def test_a_file_with_an_error_leaves_the_running_settings_whole(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        node = await loaded_node()
        before = node.settings
        boot = tmp_path / "boot.conf"
        boot.write_text(settings_text(**OTHER_VALUES | {"envelope.contactMs": "soon"}), encoding="utf-8")
        node.reload({SETTINGS_VARIABLE: str(boot)})
        assert node.settings is before and "settings reload rejected" in caplog.text

    run(scenario())


def test_the_page_for_operators_has_the_table_of_keys() -> None:
    rows = [
        f"| `{key.name}` | "
        + " | ".join((key.kind.value, f"{key.default:g}", key.users.value, key.effect.value, key.meaning))
        + " |"
        for key in SETTINGS_KEYS
    ]
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    assert [line for line in lines if line.startswith("| `")] == rows
    assert KEYS_BY_NAME.keys() == {key.name for key in SETTINGS_KEYS}


def test_a_leader_polls_the_new_address_of_the_platform_and_status_tells_that_polls_fail() -> None:
    """Guards against a leader that polls the platform where it was when it took the lead (review/5)."""

    async def scenario() -> None:
        platforms = [Platform(), Platform()]
        for platform in platforms:
            await platform.listen()
        async with System(platforms[0].address, edges=1) as system:
            async with asyncio.timeout(20.0):
                await push_until_taken(system.machines[-1], cbor2.dumps(demo_configuration()), 0)
                while not platforms[0].calls:
                    await asyncio.sleep(0.05)

            async def move_to(address: tuple[str, int]) -> None:
                for machine in system.machines:
                    seeds = ",".join(f"{other.ip}:{other.control[1]}" for other in system.machines[:3])
                    text = machine.settings(seeds, address, False, system.extra)
                    (machine.folder / "boot.conf").write_text(text, encoding="utf-8")
                    assert machine.process is not None
                    machine.process.send_signal(signal.SIGHUP)

            await move_to(platforms[1].address)
            async with asyncio.timeout(5.0):
                while not platforms[1].calls:
                    await asyncio.sleep(0.05)
            calls_before = platforms[0].calls
            await asyncio.sleep(2.0)
            assert platforms[0].calls == calls_before and platforms[1].calls > 1
            platforms[1].close()
            async with asyncio.timeout(10.0):
                while not (state := await read_state(system.fronts[0].control))["platform"]["failing_s"]:
                    await asyncio.sleep(0.2)
            host, port = platforms[1].address
            assert f"! polls of the platform at {host}:{port} have failed for " in describe_state(state)
        for platform in platforms:
            platform.close()

    run(scenario())
