"""The same cases each time, and no verdict by the clock: a run of the tests says the same twice."""

import logging
from collections.abc import Iterator

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


@pytest.fixture
def quiet() -> Iterator[None]:
    """Simulated nodes tell of simulated trouble."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)
