"""The members of the core: who they are, and how one is added, removed or replaced."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import msgspec

from cypressbeam.admin.calls import call, reason_of
from cypressbeam.admin.errors import RequestRefusedError
from cypressbeam.admin.status import describe_quorum_loss, read_state
from cypressbeam.consensus.views import ip_of, majority
from cypressbeam.node.control_api import MEMBERS_PATH
from cypressbeam.protocol.address import Address

#: A change of members is sent again after so long, and given up after so long: a newcomer on a thin link is brought
#: level in seconds.
CHANGE_AGAIN_S, CHANGE_S = 0.3, 60.0


def describe_members(state: dict[str, Any]) -> str:
    """A line for each member and for each machine that stands by."""
    answers = {member["ip"]: member for member in state["members"]}
    silent = dict(line.split(" ") for line in state["silent"])
    group, chain = state["group"], state["chain"]
    members, needed = len(group), majority(len(group))
    lines = [f"epoch {state['epoch']}: {members} members, {needed} are a majority, {len(chain)} whole copies"]
    for name in group:
        ip = ip_of(name)
        place = f"copy {chain.index(name) + 1} of {len(chain)}" if name in chain else "no copy that counts"
        quiet = "" if answers.get(ip, {}).get("answers") else ", does not answer"
        quiet += f", not heard for {silent[ip]} s" if ip in silent else ""
        lines.append(f"  {name:32} {place}{quiet}")
    lines += [f"  {name:32} stands by" for name in state["standingBy"]]
    lines += [f"a replacement is under way: {state['waits']}"] if state["waits"] else []
    return "\n".join([*lines, *describe_quorum_loss(state)])


async def change_members(
    where: Address, change: str, old: str, new: str, tell: Callable[[str], None] = lambda line: None
) -> dict[str, Any]:
    """Add, remove or replace a member, by addresses, and wait until it is done; `tell` hears what it waits for. The
    order names the group that it was made for, so it is safe to send it again. Raises RequestRefusedError, or
    TimeoutError."""
    state = await read_state(where)
    base = {ip_of(name) for name in state["group"]}
    if change == "replace" and {old, new} <= base:
        base.discard(new)  # half of it was done before
    body = json.dumps({"change": change, "old": old, "new": new, "base": sorted(base)}).encode()
    said = ""
    async with asyncio.timeout(CHANGE_S):
        while True:
            answer = await call(where, "POST", MEMBERS_PATH, "Content-Type: application/json\r\n", body)
            if answer.status not in (200, 202, 503):
                raise RequestRefusedError(f"{answer.status}: {reason_of(answer)}")
            if answer.status == 200:
                done: dict[str, Any] = msgspec.json.decode(answer.body)
                return done
            if reason_of(answer) != said:
                said = reason_of(answer)
                tell(said)
            await asyncio.sleep(CHANGE_AGAIN_S)
