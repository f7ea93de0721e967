"""The group `lab` of all its commands."""

from __future__ import annotations

import click

from lab.commands import costs, days, histories, measurements

COMMANDS = (
    histories.core,
    histories.turnover,
    histories.replacements,
    histories.closing,
    histories.attempts,
    histories.chaos,
    histories.cuts,
    histories.traces,
    measurements.fleet_membership,
    measurements.repair,
    measurements.soak,
    measurements.outages,
    measurements.disk,
    measurements.news,
    measurements.fetches,
    days.day,
    days.days,
    days.write_days,
    days.compare,
    costs.scale,
    costs.growth,
    costs.hollow,
    costs.footprint,
    costs.capacity,
)


@click.group()
def lab() -> None:
    """Simulations and measurements that need no network: everything from a seed, on one machine."""


for command in COMMANDS:
    lab.add_command(command)
