"""Distribution over slow links, on simulated nodes: it meets the deadline, and no node is taken for failed
meanwhile."""

from __future__ import annotations

import zlib

import pytest

from cypressbeam.protocol import delta
from cypressbeam.transport.blobs import link
from cypressbeam.transport.peers import Link, Peers
from lab import update_propagation

#: Deadline in seconds for distributing a configuration or a drain to all nodes (source: envelopes of the grown
#: deployments).
DEADLINE_S = 4.0
LINKS = {"edge_mbps": 2.75, "core_mbps": 30.0, "routes": 1500}


def measure_rows(seed: int = 1, kills: bool = True) -> dict[str, update_propagation.Row]:
    return {row.case: row for row in update_propagation.measure(40, seed, kills=kills, **LINKS)}  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", [1, 2])
def test_configurations_and_drains_reach_all_nodes_in_time(seed: int) -> None:
    results = measure_rows(seed=seed)
    for row in results.values():
        assert row.drain_s is None or row.drain_s < DEADLINE_S, row
        assert row.config_s is None or row.config_s < DEADLINE_S + (
            update_propagation.STORM * update_propagation.STORM_GAP_S if "versions" in row.case else 0.0
        ), row
        assert row.silences == 0 or "root" in row.case, row
    # While the root is down for a moment only its own children leave their parent; the others receive keep-alives.
    assert results["the root dies and is back at once"].silences < 20
    route_change = results["one route changes"]
    assert route_change.busiest_edge_kb < 5.0 and route_change.config_s is not None and route_change.config_s < 0.5
    assert results["a server drains amid those"].drain_s is not None


def test_measurement_detects_bodies_sent_over_the_control_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Tests the measurement: if uncompressed bodies share the connection of heartbeats, parents seem to have failed
    during transfers and drains are late."""

    def pack_uncompressed(body: bytes, base: bytes = b"") -> bytes:
        return zlib.compress(delta.RANGE_HEADER.pack(0, 0, len(body)) + body, 0)

    def control_link_to(self: Peers, ip: str) -> Link:
        return self.link_to(ip)

    monkeypatch.setattr(delta, "pack", pack_uncompressed)
    monkeypatch.setattr(Peers, "bulk_link_to", control_link_to)
    monkeypatch.setattr(link, "CHUNK_BYTES", (1 << 24, 1 << 24))
    monkeypatch.setattr(link, "WINDOW_BYTES", (1 << 24, 1 << 24))
    monkeypatch.setattr(link, "LINK_SHARE", 1e9)
    monkeypatch.setattr(link, "DEDICATED_LINK_SHARE", 1e9)
    results = measure_rows(kills=False)
    assert sum(row.silences for row in results.values() if "root" not in row.case) > 0
    drain_s = results["a server drains amid those"].drain_s
    assert drain_s is not None and drain_s > 1.0  # instead of 0.01 s
