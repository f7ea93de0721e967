"""Each message from another node has one handler: at the connections, at the node, or at the core."""

from __future__ import annotations

from pathlib import Path

from cypressbeam.consensus.dispatch import HANDLERS
from cypressbeam.node.gateway_node import GatewayNode
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import parse
from tests.loopback import run
from tests.test_gateway_parts import BOOT

#: Chunks of bodies, which the connections take themselves (`Peers.take`).
TRANSFER = {frames.Slice, frames.Want, frames.Lacking}
#: What machines of the core say to each other, and what is sent to them (`Core.on_core`).
CORE = {
    frames.Order,
    frames.Read,
    frames.Change,
    frames.Forward,
    frames.Committed,
    frames.Pulse,
    frames.ViewIs,
    frames.Prepare,
    frames.Promise,
    frames.Accept,
    frames.Confirm,
    frames.Confirmed,
    frames.StaleDisk,
    frames.Level,
    frames.Levelled,
    frames.Ask,
}
#: What only a machine of the core handles itself, beside those.
CORE_MACHINE = {frames.Found, frames.Suspect, frames.Leave}


def test_each_message_has_exactly_one_handler(tmp_path: Path) -> None:
    async def scenario() -> None:
        settings = parse(BOOT, "boot.conf")
        edge = GatewayNode(settings)
        assert edge.core is None
        everywhere = set(edge.handlers)
        groups = (TRANSFER, CORE, CORE_MACHINE, everywhere)
        assert sum(map(len, groups)) == len(frames.FRAMES) and set().union(*groups) == set(frames.FRAMES.values())
        assert set(HANDLERS) | {frames.Ask} == CORE
        tables = (edge.relay.handlers(), edge.outliers.handlers(), edge.node_handlers())
        assert sum(map(len, tables)) == len(everywhere)
        machine = GatewayNode(parse(BOOT + f"stateDir={tmp_path}", "boot.conf"))
        assert machine.core is not None and set(machine.handlers) == everywhere | CORE_MACHINE
        for node in (edge, machine):
            node.watch.close()
            node.peers.close()

    run(scenario())
