"""A whole small system on loopback."""

from __future__ import annotations

import click
import uvloop


@click.command()
@click.option("--edges", default=2, show_default=True, help="Nodes that carry traffic.")
def up(edges: int) -> None:
    """Run a whole small system on loopback, with stand-in servers, and print the calls that it answers."""
    from lab.local_cluster import up as run_up

    uvloop.run(run_up(edges))
