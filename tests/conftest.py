"""Makes test runs reproducible: Hypothesis draws the same cases each time and has no deadline."""

import importlib
import logging
import pkgutil
from collections.abc import Iterator

import pytest
from hypothesis import settings

import cypressbeam
import lab
from lab.simulation import Net

settings.register_profile("deterministic", derandomize=True, deadline=None, database=None)
settings.load_profile("deterministic")


def load_every_module() -> None:
    """Import all modules before the first test. Hypothesis draws from the constants of imported modules, and all
    workers must draw the same cases."""
    for package in (cypressbeam, lab):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if not module.name.endswith("__main__"):
                importlib.import_module(module.name)


load_every_module()


@pytest.fixture
def quiet() -> Iterator[None]:
    """Disable logging, since simulated nodes log simulated failures."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.fixture(autouse=True)
def _close_simulated_networks(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Close each simulated network that a test created."""
    opened: list[Net] = []
    init = Net.__init__

    def record_network(self: Net, seed: int) -> None:
        opened.append(self)
        init(self, seed)

    monkeypatch.setattr(Net, "__init__", record_network)
    yield
    for net in opened:
        if not net.loop.is_closed():
            net.close()
