"""The state of the core and of one node, and its description for operators."""

from __future__ import annotations

from typing import Any

import msgspec

from cypressbeam.admin.calls import call
from cypressbeam.admin.errors import RequestRejectedError
from cypressbeam.node.state_query import STATE_PATH
from cypressbeam.protocol.address import Address


async def read_state(control: Address) -> dict[str, Any]:
    """The state that a node reports. Raises RequestRejectedError."""
    response = await call(control, "GET", STATE_PATH)
    if response.status != 200:
        raise RequestRejectedError(f"{response.status}: {response.body.decode(errors='replace').strip()}")
    state: dict[str, Any] = msgspec.json.decode(response.body)
    return state


def describe_state(state: dict[str, Any]) -> str:
    """Formats lines for the node and the chain, and one for each machine of the core."""
    node = state["node"]
    lines = [
        f"node {node['name']} at {node['ip']}: revision {node['revision']}, {node['servers']} servers"
        f" (list {node['list']}), news from {node['parent'] or 'itself'}, {node['fronts']} nodes carry traffic",
        f"it has seen epoch {node['epoch']}, and the root's word "
        + (f"{node['age_s']:.1f} s ago" if node["age_s"] is not None else "never"),
        f"epoch {state['epoch']}, chain {' > '.join(state['chain']) or 'not known'}",
    ]
    for member in state["members"]:
        if not member["answers"]:
            lines.append(f"  {member['ip']:15} does not answer")
            continue
        lines.append(
            f"  {member['ip']:15} epoch {member['epoch']}, revision {member['revision']},"
            f" lag {member['lag']}, {'active' if member['active'] else 'not active'},"
            f" disk {'works' if member['disk'] else 'refuses'}{', root' if member['root'] else ''}"
        )
    return "\n".join([*lines, *describe_quorum_loss(state), *describe_platform(state)])


def describe_platform(state: dict[str, Any]) -> list[str]:
    """Formats a line about failing polls of the platform; none while they succeed."""
    platform = state.get("platform")
    if platform is None or platform["failing_s"] is None:
        return []
    duration = f"{platform['failing_s']:.0f} s"
    return [f"! polls of the platform at {platform['address']} have failed for {duration}: {platform['error']}"]


def describe_quorum_loss(state: dict[str, Any]) -> list[str]:
    """Formats lines about a missing majority of the core; none while a majority responds."""
    loss = state.get("quorumLoss")
    return [f"! {line}" for line in loss["text"]] if loss is not None else []
