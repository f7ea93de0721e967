"""The soak by rounds: it finds nothing on the program as it is."""

from __future__ import annotations

import pytest

from lab.soak.outages import OutageSoak
from tests.loopback import run

ROUNDS = 4


@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_soak_by_rounds_finds_nothing(seed: int) -> None:
    async def scenario() -> str:
        report = await OutageSoak(seed, ROUNDS).run()
        assert len(report.rounds) == ROUNDS + 1
        return "" if not report.findings else report.text()

    assert run(scenario()) == ""
