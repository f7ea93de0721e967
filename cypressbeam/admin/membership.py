"""The members of the core: listing, adding, removing and replacing them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import msgspec

from cypressbeam.admin.calls import call, response_text
from cypressbeam.admin.errors import RequestRejectedError
from cypressbeam.admin.status import describe_quorum_loss, read_state
from cypressbeam.consensus.views import ip_of, majority
from cypressbeam.node.control_api import MEMBERS_PATH
from cypressbeam.protocol.address import Address

#: The interval at which a membership change is repeated, and its timeout. A new member takes seconds to catch up over a
#: slow link.
CHANGE_RETRY_INTERVAL_S, CHANGE_TIMEOUT_S = 0.3, 60.0


def describe_members(state: dict[str, Any]) -> str:
    """Formats one line for each member and each spare."""
    replies = {member["ip"]: member for member in state["members"]}
    silent = dict(line.split(" ") for line in state["silent"])
    group, chain = state["group"], state["chain"]
    members, needed = len(group), majority(len(group))
    lines = [f"epoch {state['epoch']}: {members} members, {needed} are a majority, {len(chain)} whole copies"]
    for name in group:
        ip = ip_of(name)
        role = f"copy {chain.index(name) + 1} of {len(chain)}" if name in chain else "no copy that counts"
        silence = "" if replies.get(ip, {}).get("answers") else ", does not answer"
        silence += f", not heard for {silent[ip]} s" if ip in silent else ""
        lines.append(f"  {name:32} {role}{silence}")
    lines += [f"  {name:32} stands by" for name in state["standingBy"]]
    lines += [f"a replacement is under way: {state['waits']}"] if state["waits"] else []
    return "\n".join([*lines, *describe_quorum_loss(state)])


async def change_members(
    control: Address, change: str, old: str, new: str, on_progress: Callable[[str], None] = lambda line: None
) -> dict[str, Any]:
    """Adds, removes or replaces a member, by addresses, and waits until the change is done.

    `on_progress` receives the reason for each wait. The request contains the group that it applies to, so it is safe to
    repeat it. Raises RequestRejectedError or TimeoutError.
    """
    state = await read_state(control)
    base = {ip_of(name) for name in state["group"]}
    if change == "replace" and {old, new} <= base:
        base.discard(new)  # an earlier call has already added it
    body = json.dumps({"change": change, "old": old, "new": new, "base": sorted(base)}).encode()
    progress = ""
    async with asyncio.timeout(CHANGE_TIMEOUT_S):
        while True:
            response = await call(control, "POST", MEMBERS_PATH, "Content-Type: application/json\r\n", body)
            if response.status not in (200, 202, 503):
                raise RequestRejectedError(f"{response.status}: {response_text(response)}")
            if response.status == 200:
                done: dict[str, Any] = msgspec.json.decode(response.body)
                return done
            if response_text(response) != progress:
                progress = response_text(response)
                on_progress(progress)
            await asyncio.sleep(CHANGE_RETRY_INTERVAL_S)
