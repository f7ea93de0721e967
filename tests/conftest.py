"""The same cases each time, and no verdict by the clock: a run of the tests says the same twice."""

import logging
from collections.abc import Iterator

import pytest
from hypothesis import settings

from lab.simulation import Net

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


@pytest.fixture
def quiet() -> Iterator[None]:
    """Simulated nodes tell of simulated trouble."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.fixture(autouse=True)
def _close_simulated_networks(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Each simulated network that a test has made is closed with it."""
    opened: list[Net] = []
    init = Net.__init__

    def remember(self: Net, seed: int) -> None:
        opened.append(self)
        init(self, seed)

    monkeypatch.setattr(Net, "__init__", remember)
    yield
    for net in opened:
        if not net.loop.is_closed():
            net.close()
