"""What an operator does with a running system: reads its state, checks and replaces the configuration, saves it."""

from __future__ import annotations

import asyncio
import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import cbor2
import msgspec

from cypressbeam import configuration
from cypressbeam.chain import ip_of
from cypressbeam.configuration import Channel, Configuration, Invalid
from cypressbeam.control import MEMBERS, READ, REPLACE
from cypressbeam.files import write_whole
from cypressbeam.survey import STATE
from mallowworks.discovery import Address, ListConnection, read_address
from mallowworks.http import Answer

#: The first field of a saved state, and its version.
BACKUP_FORMAT = "cypressbeam state 1"
CALL_S = 5.0
#: A change of members is sent again after so long, and given up after so long: a newcomer on a thin link is brought
#: level in seconds.
CHANGE_AGAIN_S, CHANGE_S = 0.3, 60.0
#: A call is sent elsewhere so often at most.
MOST_HOPS = 2
#: A setpoint over this share of the cut-off leaves no time for a second try.
LATE_SETPOINT = 0.5


class Unusable(Exception):
    """A file that can't be used, or an answer that makes no sense: one line."""


class Refused(Exception):
    """The system has answered, and not with what was asked for: one line."""


async def call(where: Address, method: str, path: bytes, head: str = "", body: bytes = b"") -> Answer:
    """One call to a control listener. Raises OSError, EOFError or TimeoutError where nothing answers."""
    connection = ListConnection(where)
    await connection.open()
    try:
        text = f"{method} {path.decode()} HTTP/1.1\r\nHost: control\r\n{head}Content-Length: {len(body)}\r\n\r\n"
        return await connection.call(text.encode() + body, CALL_S)
    finally:
        connection.close()


def load(file: Path) -> bytes:
    """A configuration file as the CBOR that goes out. Raises Unusable."""
    data = file.read_bytes()
    try:
        if file.suffix == ".json":
            return cbor2.dumps(json.loads(data))
        if file.suffix == ".toml":
            return cbor2.dumps(tomllib.loads(data.decode()))
    except ValueError as err:
        raise Unusable(f"{file}: {err}") from None
    return data


async def state(where: Address) -> dict[str, Any]:
    answer = await call(where, "GET", STATE)
    if answer.status != 200:
        raise Refused(f"{answer.status}: {answer.body.decode(errors='replace').strip()}")
    told: dict[str, Any] = msgspec.json.decode(answer.body)
    return told


def describe_state(told: dict[str, Any]) -> str:
    node = told["node"]
    lines = [f"node {node['name']} at {node['ip']}: revision {node['revision']}, {node['servers']} servers"
             f" (list {node['list']}), news from {node['parent'] or 'itself'}, {node['fronts']} nodes carry traffic",
             f"it has seen epoch {node['epoch']}, and the root's word "
             + (f"{node['age_s']:.1f} s ago" if node["age_s"] is not None else "never"),
             f"epoch {told['epoch']}, chain {' > '.join(told['chain']) or 'not known'}"]
    for member in told["members"]:
        if not member["answers"]:
            lines.append(f"  {member['ip']:15} does not answer")
            continue
        lines.append(f"  {member['ip']:15} epoch {member['epoch']}, revision {member['revision']},"
                     f" lag {member['lag']}, {'active' if member['active'] else 'not active'},"
                     f" disk {'works' if member['disk'] else 'refuses'}{', root' if member['root'] else ''}")
    return "\n".join([*lines, *describe_quorum_loss(told)])


def describe_quorum_loss(told: dict[str, Any]) -> list[str]:
    """Nothing while a majority of the core answers."""
    loss = told.get("quorumLoss")
    return [f"! {line}" for line in loss["text"]] if loss is not None else []


# -- the members of the core ---------------------------------------------------------------------------------------


def describe_members(told: dict[str, Any]) -> str:
    answers = {member["ip"]: member for member in told["members"]}
    silent = dict(line.split(" ") for line in told["silent"])
    group, chain = told["group"], told["chain"]
    lines = [f"epoch {told['epoch']}: {len(group)} members, {len(group) // 2 + 1} are a majority,"
             f" {len(chain)} whole copies"]
    for name in group:
        ip = ip_of(name)
        place = f"copy {chain.index(name) + 1} of {len(chain)}" if name in chain else "no copy that counts"
        quiet = "" if answers.get(ip, {}).get("answers") else ", does not answer"
        quiet += f", not heard for {silent[ip]} s" if ip in silent else ""
        lines.append(f"  {name:32} {place}{quiet}")
    lines += [f"  {name:32} stands by" for name in told["standingBy"]]
    lines += [f"a replacement is under way: {told['waits']}"] if told["waits"] else []
    return "\n".join([*lines, *describe_quorum_loss(told)])


async def change_members(where: Address, change: str, old: str, new: str,
                         tell: Callable[[str], None] = lambda line: None) -> dict[str, Any]:
    """Add, remove or replace a member, by addresses, and wait until it is done; `tell` hears what it waits for. The
    order names the group that it was made for, so it is safe to send it again. Raises Refused, or TimeoutError."""
    told = await state(where)
    base = {ip_of(name) for name in told["group"]}
    if change == "replace" and {old, new} <= base:
        base.discard(new)  # half of it was done before
    body = json.dumps({"change": change, "old": old, "new": new, "base": sorted(base)}).encode()
    said = ""
    async with asyncio.timeout(CHANGE_S):
        while True:
            answer = await call(where, "POST", MEMBERS, "Content-Type: application/json\r\n", body)
            if answer.status not in (200, 202, 503):
                raise Refused(f"{answer.status}: {reason_of(answer)}")
            if answer.status == 200:
                done: dict[str, Any] = msgspec.json.decode(answer.body)
                return done
            if reason_of(answer) != said:
                said = reason_of(answer)
                tell(said)
            await asyncio.sleep(CHANGE_AGAIN_S)


def reason_of(answer: Answer) -> str:
    """The line in an answer, which is JSON where it comes from the head of the chain."""
    try:
        return str(msgspec.json.decode(answer.body)["text"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return answer.body.decode(errors="replace").strip()


# -- the configuration -------------------------------------------------------------------------------------------


def read_location(answer: Answer) -> Address:
    """Where a node with a thin link sends those who read. Raises Refused."""
    location = (answer.header(b"location") or b"").decode("latin-1")
    try:
        return read_address(location.removeprefix("http://").partition("/")[0])
    except ValueError:
        raise Refused(f"307: Location is {location!r}; http://host:port is wanted") from None


async def read(where: Address) -> bytes:
    """The configuration in force. Raises Refused; its text begins with 404 where there is none yet."""
    answer = await call(where, "GET", READ)
    for _ in range(MOST_HOPS):
        if answer.status != 307:
            break
        answer = await call(read_location(answer), "GET", READ)
    if answer.status != 200:
        raise Refused(f"{answer.status}: {answer.body.decode(errors='replace').strip() or 'no configuration'}")
    return answer.body


async def revision(where: Address) -> int:
    """The revision in force, 0 before the first."""
    try:
        return configuration.read(await read(where)).revision
    except Refused as err:
        if str(err).startswith("404"):
            return 0
        raise


async def push(where: Address, body: bytes, base: int | None = None) -> str:
    if base is None:
        base = await revision(where)
    answer = await call(where, "POST", REPLACE, f"Base-Revision: {base}\r\nContent-Type: application/cbor\r\n", body)
    text = answer.body.decode(errors="replace").strip()
    if answer.status != 200:
        raise Refused(f"{answer.status}: {text}")
    return f"revision {configuration.read(body).revision} is in force ({text})"


async def check(file: Path) -> dict[str, Any]:
    """Why a configuration is invalid, or what is odd about it and where its routes lead."""
    try:
        read = configuration.read(load(file))
    except Invalid as err:
        return {"invalid": str(err), "odd": [], "routes": []}
    return {"invalid": None, "revision": read.revision, "odd": oddities(read),
            "routes": [describe_route(channel) for channel in read.channels]}


def describe_route(channel: Channel) -> str:
    shares = channel.shares()
    total = sum(share.gain for share in shares)
    leads = ", ".join(f"{share.plant} {share.gain / total:.0%}" if len(shares) > 1 else share.plant
                      for share in shares)
    return (f"{channel.host}{channel.prefix} -> {leads} ({channel.mode}, {channel.tries} tries, wanted in"
            f" {channel.setpoint_ms:g} ms, given up after {channel.cutoff_ms:g} ms, rank {channel.rank})")


def oddities(read: Configuration) -> list[str]:
    """What is valid and probably not meant."""
    found = []
    led_to = {share.plant for channel in read.channels for share in channel.shares()}
    found += [f"plants[{plant.label}]: no route leads here" for plant in read.plants if plant.label not in led_to]
    for channel in read.channels:
        where = f"channels[{channel.label}]"
        if channel.setpoint_ms > channel.cutoff_ms:
            found.append(f"{where}: the aim of {channel.setpoint_ms:g} ms lies behind the end at"
                         f" {channel.cutoff_ms:g} ms")
        elif channel.tries > 1 and channel.setpoint_ms > LATE_SETPOINT * channel.cutoff_ms:
            found.append(f"{where}: an aim of {channel.setpoint_ms:g} of {channel.cutoff_ms:g} ms leaves little for a"
                         " second try")
        if channel.mode != "idempotent" and channel.tries > 1:
            found.append(f"{where}: {channel.mode} requests are tried again only where they surely did not run")
        found += [f"{where}.allocation: {share.plant} has weight 0" for share in channel.allocation if share.gain == 0]
    return found


def describe_check(found: dict[str, Any]) -> str:
    if found["invalid"]:
        return f"invalid: {found['invalid']}"
    return "\n".join([f"valid: revision {found['revision']}, {len(found['routes'])} routes",
                      *(f"  {route}" for route in found["routes"]), *(f"odd: {line}" for line in found["odd"])])


def flatten(value: Any, at: str = "") -> dict[str, Any]:
    """A configuration as lines: each plain value by its place, rows by their label where they have one."""
    if isinstance(value, dict):
        parts = [(str(key), item) for key, item in value.items()]
    elif isinstance(value, list):
        parts = [(str(item.get("label", item.get("plant", number))) if isinstance(item, dict) else str(number), item)
                 for number, item in enumerate(value)]
    else:
        return {at: value}
    lines: dict[str, Any] = {}
    for key, item in parts:
        lines |= flatten(item, f"{at}.{key}" if at else key)
    return lines


async def diff(where: Address, file: Path) -> list[str]:
    now, new = flatten(cbor2.loads(await read(where))), flatten(cbor2.loads(load(file)))
    lines = []
    for key in sorted(now.keys() | new.keys()):
        if now.get(key) != new.get(key):
            lines += [f"- {key} = {now[key]!r}"] if key in now else []
            lines += [f"+ {key} = {new[key]!r}"] if key in new else []
    return lines


async def push_file(where: Address, file: Path, base: int | None) -> str:
    """Raises Unusable, before anything is sent, for a file that can't be read."""
    return await push(where, load(file), base)


# -- the state as a whole ----------------------------------------------------------------------------------------


async def backup(where: Address, file: Path) -> str:
    """What is lost with all disks is the configuration: the rest is agreed on anew. The file is whole or not there."""
    body = await read(where)
    told = await state(where)
    number = configuration.read(body).revision
    data = cbor2.dumps({"format": BACKUP_FORMAT, "revision": number, "digest": configuration.digest(body),
                        "epoch": told["epoch"], "body": body})
    write_whole(file, data)
    return f"revision {number} saved to {file}"


def read_backup(file: Path) -> tuple[int, bytes]:
    """Revision and body. Raises Unusable for what is no whole saved state."""
    try:
        saved = cbor2.loads(file.read_bytes())
        if saved["format"] != BACKUP_FORMAT:
            raise Unusable(f"{file}: format {saved['format']!r}; {BACKUP_FORMAT!r} is wanted")
        body: bytes = saved["body"]
        if configuration.digest(body) != saved["digest"]:
            raise Unusable(f"{file}: the body does not match its digest")
        return configuration.read(body).revision, body
    except (cbor2.CBORError, Invalid, KeyError, TypeError, ValueError) as err:
        raise Unusable(f"{file}: no saved state: {err}") from None


async def restore(where: Address, file: Path, over: bool) -> str:
    """Raises Refused where the system holds something newer, unless it is to go over that: nodes never take an older
    revision, so what was saved then comes back under the next number."""
    saved, body = read_backup(file)
    held = await revision(where)
    if held >= saved:
        if await read(where) == body:
            return f"revision {saved} is in force already"
        if not over:
            raise Refused(f"revision {held} is in force, {saved} was saved; --over brings it back as {held + 1}")
        body = cbor2.dumps(cbor2.loads(body) | {"revision": held + 1})
    return await push(where, body, held)
