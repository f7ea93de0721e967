"""Runs test scenarios on simulated nodes."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from lab.membership import Cluster


def run_nodes(cluster: Cluster, scenario: Coroutine[Any, Any, Any]) -> None:
    """Run a scenario to its end; fails if a callback of any node raised an error."""
    try:
        cluster.run(scenario)
        assert not cluster.net.faults
    finally:
        cluster.close()
