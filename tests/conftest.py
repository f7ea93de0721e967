"""The same cases each time, and no verdict by the clock: a run of the tests says the same twice."""

import importlib
import logging
import pkgutil
from collections.abc import Iterator

import pytest
from hypothesis import settings

import cypressbeam
import lab
from lab.simulation import Net

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


def load_every_module() -> None:
    """Load all before the first test: Hypothesis draws from constants of loaded modules, the same in each worker."""
    for package in (cypressbeam, lab):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if not module.name.endswith("__main__"):
                importlib.import_module(module.name)


load_every_module()


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
