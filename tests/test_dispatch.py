"""Each message type has exactly one handler: in the transport, at the node, or in the consensus."""

from __future__ import annotations

from pathlib import Path

from cypressbeam.consensus.dispatch import Dispatcher
from cypressbeam.consensus.membership import MembershipManager
from cypressbeam.consensus.replacement import ReplacementManager
from cypressbeam.consensus.replica import Replica
from cypressbeam.node.gateway_node import GatewayNode
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import parse
from tests.loopback import run
from tests.test_gateway_parts import BOOT

#: Messages that transfer bodies, handled by the transport (`Peers.take`).
TRANSFER = {frames.Chunk, frames.ChunkRequest, frames.BlobNotFound}
#: Messages between core machines and requests to them (`CoreMachine.on_message`).
CORE = {
    frames.WriteRequest,
    frames.ReadRequest,
    frames.MembershipChangeRequest,
    frames.ForwardEntry,
    frames.CommitNotice,
    frames.ReplicaHeartbeat,
    frames.ViewAnnouncement,
    frames.Prepare,
    frames.Promise,
    frames.Accept,
    frames.QuorumReadCheck,
    frames.QuorumReadAck,
    frames.RollbackNotice,
    frames.CatchUp,
    frames.CatchUpAck,
    frames.StatusQuery,
}
#: Other messages that only a core machine handles.
CORE_MACHINE = {
    frames.BootstrapRequest,
    frames.BootstrapPrepare,
    frames.NodeDirectoryUpdate,
    frames.SuspectReport,
    frames.LeaveNotice,
}


def test_each_message_has_exactly_one_handler(tmp_path: Path) -> None:
    async def scenario() -> None:
        settings = parse(BOOT, "boot.conf")
        edge = GatewayNode(settings)
        assert edge.core is None
        all_nodes = set(edge.handlers)
        groups = (TRANSFER, CORE, CORE_MACHINE, all_nodes)
        assert sum(map(len, groups)) == len(frames.FRAME_TYPES) and set().union(*groups) == set(
            frames.FRAME_TYPES.values()
        )
        replica = Replica("10.0.0.1/a", 1, len, bytes, lambda: 0.5)
        membership = MembershipManager(replica, 0)
        dispatcher = Dispatcher(replica)
        dispatcher.add_membership(membership, ReplacementManager(membership, 0.0))
        assert set(dispatcher.handlers) | {frames.StatusQuery} == CORE
        tables = (edge.tree.handlers(), edge.outliers.handlers(), edge.node_handlers())
        assert sum(map(len, tables)) == len(all_nodes)
        machine = GatewayNode(parse(BOOT + f"stateDir={tmp_path}", "boot.conf"))
        assert machine.core is not None and set(machine.handlers) == all_nodes | CORE_MACHINE
        for node in (edge, machine):
            node.failure_detector.close()
            node.peers.close()

    run(scenario())
