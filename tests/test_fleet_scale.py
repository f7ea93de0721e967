"""What grows with the fleet: the figures at small sizes, and the measurement itself."""

from __future__ import annotations

import pytest

from lab import scale


def test_no_cost_grows_faster_than_the_fleet() -> None:
    found = [scale.measure(size, routes=50, servers=40) for size in (20, 60, 150)]
    slopes = scale.exponents(found)
    assert all(slope is not None and slope <= scale.MOST_EXPONENT for slope in slopes.values()), scale.table(found)
    assert scale.measure(20, routes=50, servers=40) == found[0]  # one seed, one history


def test_a_cost_that_grows_faster_than_the_fleet_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Were each node told of all others, the root's bytes would grow with the square of the fleet."""
    assert scale.exponent([(10, 1.0), (100, 100.0)]) == pytest.approx(2.0)
    assert scale.exponent([(10, 0.0), (100, 5.0)]) is None
    monkeypatch.setattr("cypressbeam.roster.WATCHED", 10_000)
    found = [scale.measure(size, routes=10, servers=5) for size in (20, 60, 150)]
    slope = scale.exponents(found)["quiet_root_bytes"]
    assert slope is not None and slope > scale.MOST_EXPONENT and "(!)" in scale.table(found)
