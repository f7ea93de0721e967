"""The news over thin links, on simulated nodes: in time for all, and nobody is taken for silent because of it."""

from __future__ import annotations

import zlib

import pytest

from cypressbeam.protocol import delta
from cypressbeam.transport.blobs import link
from cypressbeam.transport.peers import Link, Peers
from lab import update_propagation

#: Seconds within which a configuration, or a drain, must be known by all (source: the grown deployments' envelopes).
WITHIN_S = 4.0
LINKS = {"edge_mbps": 2.75, "core_mbps": 30.0, "routes": 1500}


def rows(seed: int = 1, kills: bool = True) -> dict[str, update_propagation.Row]:
    return {row.case: row for row in update_propagation.measure(40, seed, kills=kills, **LINKS)}  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", [1, 2])
def test_configurations_and_drains_reach_all_in_time(seed: int) -> None:
    found = rows(seed=seed)
    for row in found.values():
        assert row.drain_s is None or row.drain_s < WITHIN_S, row
        assert row.config_s is None or row.config_s < WITHIN_S + (
            update_propagation.STORM * update_propagation.STORM_GAP_S if "versions" in row.case else 0.0
        ), row
        assert row.silences == 0 or "root" in row.case, row
    # Only those that the root itself fed give up a parent while it is away for a moment; relays hold the rest.
    assert found["the root dies and is back at once"].silences < 20
    one = found["one route changes"]
    assert one.busiest_edge_kb < 5.0 and one.config_s is not None and one.config_s < 0.5
    assert found["a server drains amid those"].drain_s is not None


def test_whole_bodies_on_the_connection_of_the_beats_are_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The measurement itself: as it was once, parents look silent while bodies move, and drains come late."""

    def whole(body: bytes, base: bytes = b"") -> bytes:
        return zlib.compress(delta.RANGE.pack(0, 0, len(body)) + body, 0)

    def on_the_same(self: Peers, ip: str) -> Link:
        return self.link_to(ip)

    monkeypatch.setattr(delta, "pack", whole)
    monkeypatch.setattr(Peers, "bulk_link_to", on_the_same)
    monkeypatch.setattr(link, "CHUNK_BYTES", (1 << 24, 1 << 24))
    monkeypatch.setattr(link, "WINDOW_BYTES", (1 << 24, 1 << 24))
    monkeypatch.setattr(link, "LINK_SHARE", 1e9)
    monkeypatch.setattr(link, "DEDICATED_LINK_SHARE", 1e9)
    found = rows(kills=False)
    assert sum(row.silences for row in found.values() if "root" not in row.case) > 0
    drain_s = found["a server drains amid those"].drain_s
    assert drain_s is not None and drain_s > 1.0  # and not a hundredth of a second
