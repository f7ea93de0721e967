"""Start and stop of the standalone program: configuration, signals and exit codes."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from cypressbeam.proxy.http_responses import Response
from cypressbeam.runtime import LogRateLimiter
from cypressbeam.standalone.config import OVERFLOW_CONNECTIONS, ConfigError, flatten_settings, parse_config
from lab.loopback_network import LoopbackNetwork
from tests.loopback import (
    SETTINGS,
    TIMEOUT_S,
    Client,
    StubServer,
    configuration,
    run,
    server_list,
    server_row,
    within_timeout,
)


def test_configuration_is_read() -> None:
    config = configuration({"known": server_list(4, server_row(0, 80)), "name": "n3"})
    assert (config.name, config.seed, config.has_local_agent, config.known.version) == ("n3", 0x1F, True, 4)
    assert (config.connect_timeout_us, config.idle_us) == (5_000_000, 60_000_000)
    assert [kind.name for kind in config.settings.classes] == ["read", "refresh", "order"]
    assert config.settings.classes[1].window_us == 2_500_000 and config.settings.zone == "a"


@pytest.mark.parametrize("sockets", [256, 384, 1024])
def test_clients_and_servers_each_get_over_a_third_of_the_descriptors(sockets: int) -> None:
    """Half of what a large reserve left over was less than the third that typical clients may hold."""
    config = configuration({"limits": {"sockets": sockets}})
    assert config.client_connections > sockets / 3 < config.server_connections
    assert config.client_connections + config.server_connections + OVERFLOW_CONNECTIONS <= sockets - 20


def test_settings_are_flattened_as_on_the_wire() -> None:
    values = {"a": [1, 2], "b": {"c": True, "d": None}, "e": [{"f": "x y"}], "tenants": []}
    assert dict(flatten_settings(values)) == {"a": "1,2", "b.c": "true", "e.count": "1", "e.0.f": "x y", "tenants": ""}


@pytest.mark.parametrize(
    ("changes", "where"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": None}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"known": []}, "known"),
        ({"limits": {"sockets": 30}}, "limits"),
        ({"limits": {"sockets": "x"}}, "limits"),
        ({"settings": 1}, "settings"),
        ({"settings": {}}, "settings"),
        ({"settings": SETTINGS | {"siblings": "many"}}, "settings"),
    ],
)
def test_configuration_errors_name_the_field(changes: dict[str, Any], where: str) -> None:
    with pytest.raises(ConfigError, match=f"^configuration: {where}: [^\n]+$"):
        configuration(changes)


def test_environment_variables_override_the_file() -> None:
    document = {"listen": "10.0.0.1:1", "discovery": "10.0.0.2:1", "settings": SETTINGS}
    config = parse_config(document, {"EDGE_LISTEN": "127.0.0.1:7", "EDGE_DISCOVERY": "127.0.0.1:8"})
    assert config.listen == ("127.0.0.1", 7) and config.discovery == ("127.0.0.1", 8)


async def start(config: Path, **environ: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "cypressbeam.standalone",
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(config)} | environ,
    )


@pytest.mark.parametrize("text", [None, "no json", "[]", "{}"])
def test_a_startup_error_is_one_line(tmp_path: Path, text: str | None) -> None:
    async def scenario() -> None:
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await start(path)
        _, stderr = await within_timeout(process.communicate())
        assert process.returncode == 2
        assert stderr.startswith(b"cypressbeam: ") and stderr.count(b"\n") == 1

    run(scenario())


def test_log_lines_of_one_statement_are_rate_limited() -> None:
    """Without the limit, a failing peer caused hundreds of log lines a second."""
    limiter = LogRateLimiter()

    def log_line(line: int, at_s: float) -> str | None:
        record = logging.LogRecord("n", logging.WARNING, "f.py", line, "server %s", ("s1",), None)
        record.created = at_s
        return record.getMessage() if limiter.filter(record) else None

    assert [log_line(1, 100.0) for _ in range(15)] == ["server s1"] * 10 + [None] * 5
    assert log_line(2, 100.0) == "server s1"
    assert log_line(1, 109.0) is None
    assert log_line(1, 111.0) == "server s1 (6 similar lines suppressed)" and log_line(1, 111.0) == "server s1"


#: Port of the node. Its address is used by no other process.
NODE_PORT = 8000


class NodeProcess:
    """A node in a separate process."""

    def __init__(self, tmp_path: Path, **limits: int) -> None:
        self.path = tmp_path / "config.json"
        self.limits = limits
        self.server, self.discovery = StubServer(), StubServer()

    async def start(self) -> None:
        await self.server.start()
        await self.discovery.start()
        self.network = LoopbackNetwork()  # reserves the address, so that no other process can take the port first
        self.host, self.port = self.network.address(1), NODE_PORT
        self.write_config(self.discovery.port)
        await self.launch()

    def write_config(self, discovery_port: int, **changes: Any) -> None:
        """Write the configuration file."""
        self.path.write_text(
            json.dumps(
                {
                    "listen": f"{self.host}:{self.port}",
                    "discovery": f"127.0.0.1:{discovery_port}",
                    "seed": "1",
                    "limits": {"sockets": 1024} | self.limits,
                    "known": server_list(1, server_row(0, self.server.port)),
                    "settings": SETTINGS,
                }
                | changes
            )
        )

    def send_sighup(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    async def launch(self) -> None:
        # The platform also sets the initial discovery address in the environment.
        self.process = await start(self.path, EDGE_DISCOVERY=f"127.0.0.1:{self.discovery.port}")
        await self.wait_for_log(b"serves at")

    async def wait_for_log(self, text: bytes) -> None:
        assert self.process.stderr is not None
        while text not in await within_timeout(self.process.stderr.readline()):
            assert self.process.returncode is None

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(self.host, self.port))

    async def assert_serves(self) -> None:
        client = await self.client()
        client.send("order")
        (await self.server.next()).reply()
        assert (await client.answer()).status == 200
        client.close()

    async def assert_serves_once_connections_are_free(self) -> None:
        """Retry while the node rejects clients because it has not noticed yet that earlier ones disconnected."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                client = await self.client()
                client.send("order")
                forwarded = asyncio.ensure_future(self.server.received.get())
                response = asyncio.ensure_future(client.answer())
                await asyncio.wait({forwarded, response}, return_when=asyncio.FIRST_COMPLETED)
                if forwarded.done():
                    forwarded.result().reply()
                    assert (await response).status == 200
                    client.close()
                    return
                forwarded.cancel()
                refused = response.exception() or response.result().status
                assert refused == 503 or isinstance(refused, (EOFError, ConnectionError))
                client.close()

    async def terminate(self) -> bytes:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        _, stderr = await within_timeout(self.process.communicate())
        self.server.stop()
        self.discovery.stop()
        self.network.close()
        return stderr


def test_sigterm_completes_pending_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        node = NodeProcess(tmp_path)
        await node.start()
        busy, idle = await node.client(), await node.client()
        busy.send("order")
        request = await node.server.next()
        node.process.send_signal(signal.SIGTERM)
        await node.wait_for_log(b"stopping")
        idle.raw(b"GET /ready HTTP/1.1\r\n\r\n")
        assert (await idle.answer()).status == 503
        new_client = await node.client()  # clients still connect for a while
        new_client.send("order")
        (await node.server.next()).reply()
        answer = await new_client.answer()
        assert (answer.status, answer.header(b"connection")) == (200, b"close")
        request.reply()
        assert (await busy.answer()).status == 200
        stderr = await node.terminate()
        assert node.process.returncode == 0 and b"0 requests in hand" in stderr and b"Traceback" not in stderr

    run(scenario())


def test_sighup_switches_to_the_new_discovery_address(tmp_path: Path) -> None:
    """SIGHUP ended the process, and the old address in the environment took precedence over the file."""

    async def scenario() -> None:
        node = NodeProcess(tmp_path)
        await node.start()
        old = await node.discovery.next()
        other, server = StubServer(), StubServer()
        await other.start()
        await server.start()
        busy = await node.client()
        busy.send("order")
        pending = await node.server.next()
        node.write_config(other.port)
        node.send_sighup()
        await node.wait_for_log(b"reloaded")
        call = await other.next()
        assert call.target.startswith("/v1/endpoints?after=1&")
        update = server_list(
            2, server_row(0, node.server.port, lifecycle="left"), server_row(1, server.port), whole=False
        )
        call.reply(body=json.dumps(update).encode())
        await within_timeout(old.peer.lost.wait())
        await other.next()
        new_client = await node.client()
        new_client.send("order")
        (await server.next()).reply()
        assert (await new_client.answer()).status == 200
        pending.reply()  # pending requests continue
        assert (await busy.answer()).status == 200
        busy.close()
        new_client.close()
        assert b"Traceback" not in await node.terminate() and node.process.returncode == 0
        other.stop()
        server.stop()

    run(scenario())


def test_sighup_with_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        node = NodeProcess(tmp_path)
        await node.start()
        await node.discovery.next()
        for text in ("{", "[]", json.dumps({"listen": "127.0.0.1:1"}), "[" * 100_000):
            node.path.write_text(text)
            node.send_sighup()
            await node.wait_for_log(b"the old configuration stays")
        node.path.unlink()
        node.send_sighup()
        await node.wait_for_log(b"the old configuration stays")
        await node.assert_serves()
        node.write_config(node.discovery.port, name="renamed")
        node.send_sighup()
        await node.wait_for_log(b"other changes wait for a restart")
        await node.assert_serves()
        assert len(node.discovery.peers) == 1
        assert b"Traceback" not in await node.terminate() and node.process.returncode == 0

    run(scenario())


def test_a_killed_node_restarts_at_the_same_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        node = NodeProcess(tmp_path)
        await node.start()
        busy = await node.client()
        busy.send("order")
        await node.server.next()
        node.process.kill()
        await within_timeout(node.process.communicate())
        await node.launch()
        await node.assert_serves()
        assert b"Traceback" not in await node.terminate()

    run(scenario())


def test_a_node_survives_more_connections_than_descriptors(tmp_path: Path) -> None:
    async def scenario() -> None:
        node = NodeProcess(tmp_path, sockets=110)
        await node.start()
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (110, 110))
        clients = []
        for _ in range(300):
            clients.append(await node.client())
            clients[-1].send("order", timeout="2000m")
        # Each client gets a response or its connection is closed. The server does not respond to forwarded requests.
        outcomes = await asyncio.gather(*(client.answer() for client in clients), return_exceptions=True)
        statuses = {outcome.status for outcome in outcomes if isinstance(outcome, Response)}
        assert statuses <= {503, 504} and 503 in statuses
        assert all(isinstance(outcome, (Response, EOFError, ConnectionError)) for outcome in outcomes)
        for client in clients:
            client.close()
        while not node.server.received.empty():
            node.server.received.get_nowait()
        await node.assert_serves_once_connections_are_free()
        assert b"Traceback" not in await node.terminate() and node.process.returncode == 0

    run(scenario())


@pytest.mark.parametrize("module", [["cypressbeam", "node"], ["cypressbeam.standalone"]])
def test_a_sighup_during_the_imports_does_not_end_the_process(module: list[str], tmp_path: Path) -> None:
    """Guards against a restart that fails because the settings file changes while the program still starts."""
    slow_import = tmp_path / "uvloop.py"  # stands in for the imports, which take longer on a busy machine
    slow_import.write_text("import sys, time\nprint('importing', flush=True)\ntime.sleep(0.5)\nsys.exit(7)\n", "utf-8")
    path = os.pathsep.join([str(tmp_path), str(Path(__file__).parent.parent)])
    with subprocess.Popen(
        [sys.executable, "-m", *module], env=os.environ | {"PYTHONPATH": path}, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout is not None and process.stdout.readline() == "importing\n"
        process.send_signal(signal.SIGHUP)
        assert process.wait(20.0) == 7
