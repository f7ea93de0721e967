"""The troubles of a day: each acts on the emulated world from its time on, and ends by itself."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import TypeVar

from cypressbeam.node.gateway_node import GatewayNode
from cypressbeam.protocol.settings import Settings
from lab.day import Trouble
from lab.emulator import World
from lab.simulation import Host
from lab.standins import Illness, Server

T = TypeVar("T")
#: A process that was killed is started again after so long; a drained server ends so long after its deadline.
AGAIN_S, AFTER_DRAIN_S = 0.5, 0.5
#: An address may serve again so long after its server has gone.
REUSE_S = 2.0


def some(world: World, things: Sequence[T], share: float) -> list[T]:
    """At least one, where there are any."""
    count = min(max(1, round(share * len(things))), len(things))
    return world.net.rng.sample(list(things), count)


async def srv_ill(world: World, trouble: Trouble) -> None:
    """Servers fail a share (`x`, up to 1) of their requests, or take `x` times as long; their health answer is good."""
    slow = trouble.how == "slow"
    illness = Illness(trouble.how, 1.0 if slow else min(trouble.x, 1.0), trouble.x if slow else 1.0)
    chosen = some(world, world.of(trouble.service), trouble.share)
    for server in chosen:
        server.illness = illness
    await asyncio.sleep(trouble.for_s)
    for server in chosen:
        server.illness = None


def power_off(world: World, server: Server) -> None:
    world.ledger.gone_s.setdefault(server.ident, world.loop.time())
    world.net.stop(world.hosts[server.ident])


async def crashed(world: World, trouble: Trouble) -> list[Server]:
    """Servers lose their power for good; the list shows them for some seconds more."""
    chosen = some(world, world.of(trouble.service), trouble.share)
    for server in chosen:
        power_off(world, server)
    await asyncio.sleep(trouble.for_s)
    for server in chosen:
        server.state = "gone"
    return chosen


async def srv_crash(world: World, trouble: Trouble) -> None:
    await crashed(world, trouble)


async def reuse(world: World, trouble: Trouble) -> None:
    """Servers crash, and `REUSE_S` after they have left the list servers of other services come to their addresses."""
    services = [*world.day.services]
    chosen = await crashed(world, trouble)
    await asyncio.sleep(REUSE_S)
    for server in chosen:
        other = next((service for service in services if service.name != server.plant), services[0])
        await world.add_server(other, server.zone, new=True, host=world.hosts[server.ident])


async def srv_flap(world: World, trouble: Trouble) -> None:
    """Servers turn away all that comes and serve it, by turns."""
    chosen = some(world, world.of(trouble.service), trouble.share)
    ends_s = world.loop.time() + trouble.for_s
    while world.loop.time() < ends_s:
        for server in chosen:
            server.illness = None if server.illness else Illness("reset")
        await asyncio.sleep(trouble.gap_s)
    for server in chosen:
        server.illness = None


async def leave(world: World, server: Server) -> None:
    """In order: draining, then gone once its time is up."""
    world.drain(server)
    await asyncio.sleep(world.day.list_delay_s + world.day.drain_s + AFTER_DRAIN_S)
    server.state = "gone"
    power_off(world, server)


async def release(world: World, trouble: Trouble) -> None:
    """Servers are replaced one after another: the new one starts, the old one leaves."""
    services = {service.name: service for service in world.day.services}
    leaving = []
    for server in some(world, world.of(trouble.service), trouble.share):
        await world.add_server(services[server.plant], server.zone, new=True)
        leaving.append(world.loop.create_task(leave(world, server)))
        await asyncio.sleep(trouble.gap_s)
    await asyncio.gather(*leaving)


async def scale_in(world: World, trouble: Trouble) -> None:
    await asyncio.gather(*(leave(world, server) for server in some(world, world.of(trouble.service), trouble.share)))


async def scale_out(world: World, trouble: Trouble) -> None:
    services = {service.name: service for service in world.day.services}
    for like in some(world, world.of(trouble.service), trouble.share):
        await world.add_server(services[like.plant], like.zone, new=True)


async def for_a_while(world: World, trouble: Trouble, name: str, value: float, usual: float) -> None:
    chosen = some(world, world.of(trouble.service), trouble.share)
    for server in chosen:
        setattr(server, name, value)
    await asyncio.sleep(trouble.for_s)
    for server in chosen:
        setattr(server, name, usual)


async def idle_race(world: World, trouble: Trouble) -> None:
    """Servers forget connections that have rested for `x` seconds, without a word."""
    await for_a_while(world, trouble, "forgets_s", trouble.x, math.inf)


async def answer_lost(world: World, trouble: Trouble) -> None:
    """A share `x` of the answers is lost after the request has run."""
    await for_a_while(world, trouble, "loses", trouble.x, 0.0)


async def surplus(world: World, trouble: Trouble) -> None:
    """Before a share `x` of the answers an earlier one comes once more."""
    await for_a_while(world, trouble, "repeats", trouble.x, 0.0)


def machines(world: World, on: str) -> list[tuple[Host, Settings]]:
    return [
        machine for machine in world.machines if machine[0].up and (machine[1].front_listener is None) == (on == "core")
    ]


async def killed(world: World, machine: tuple[Host, Settings], away_s: float) -> None:
    with world.out_of_touch([machine]):
        world.stop(*machine)
        await asyncio.sleep(away_s)
        world.start(*machine)


async def node_kill(world: World, trouble: Trouble) -> None:
    """Machines lose their power for `for_s`."""
    await asyncio.gather(
        *(killed(world, machine, trouble.for_s) for machine in some(world, machines(world, trouble.on), trouble.share))
    )


def cut_off(node: GatewayNode) -> None:
    """The process has ended: its connections with clients are reset by the machine."""
    for frontend in node.frontends:
        for connection in [*frontend.connections]:
            connection.transport.abort()


async def ended(world: World, machine: tuple[Host, Settings], node: GatewayNode) -> None:
    world.at(node, cut_off, node)
    world.stop(*machine)
    await asyncio.sleep(AGAIN_S)
    world.start(*machine)


async def roll_term(world: World, trouble: Trouble) -> None:
    """Machines are told to stop one after another, in order, and start again."""

    async def rolled(machine: tuple[Host, Settings]) -> None:
        node = world.nodes.get(machine[1].node)
        if node is None:
            return  # another trouble has ended it
        with world.out_of_touch([machine], planned=True):
            world.ledger.planned.terms[machine[1].node].append(world.loop.time())
            stop = world.loop.create_task(node.stop(), context=machine[0].context.copy())
            await asyncio.wait({stop}, timeout=world.day.grace_s)
            if world.nodes.get(machine[1].node) is node:
                await ended(world, machine, node)

    rolling = []
    for machine in some(world, machines(world, trouble.on), trouble.share):
        rolling.append(world.loop.create_task(rolled(machine)))
        await asyncio.sleep(trouble.gap_s)
    await asyncio.gather(*rolling)


async def power_off_all(world: World, trouble: Trouble) -> None:
    """Every machine of the system loses its power for `for_s`; disks stay."""
    await asyncio.gather(*(killed(world, machine, trouble.for_s) for machine in world.machines if machine[0].up))


async def zone_cut(world: World, trouble: Trouble) -> None:
    """One zone's machines of the system can't reach those of the other zones; servers and clients reach all."""
    alone = world.zones[-1]
    ours = {host for host, _ in world.machines}
    world.net.cut = lambda one, other: one in ours and other in ours and (one.zone == alone) != (other.zone == alone)
    with world.out_of_touch(world.machines):
        await asyncio.sleep(trouble.for_s)
        world.net.cut = lambda one, other: False


async def lossy(world: World, trouble: Trouble) -> None:
    """A share `x` of all packets is lost."""
    with world.out_of_touch(world.machines):
        world.net.loss = min(trouble.x, 0.5)
        await asyncio.sleep(trouble.for_s)
        world.net.loss = 0.0


async def burst(world: World, trouble: Trouble) -> None:
    """`x` times as many requests for a service, or for all."""
    services = [service.name for service in world.day.services if trouble.service in ("", service.name)]
    for population in world.populations:
        for name in services:
            population.pace[name] *= trouble.x
    await asyncio.sleep(trouble.for_s)
    for population in world.populations:
        for name in services:
            population.pace[name] /= trouble.x


async def config_change(world: World, trouble: Trouble) -> None:
    await world.as_operator(world.change_routes)


async def hup(world: World, trouble: Trouble) -> None:
    """Settings files change, one after another: the seeds in another order, told by SIGHUP."""
    for machine, settings in some(world, machines(world, trouble.on), trouble.share):
        node = world.nodes.get(settings.node)
        if machine.up and node is not None:
            world.ledger.planned.hups[settings.node].append(world.loop.time())
            seeds = tuple(world.net.rng.sample(settings.seeds, len(settings.seeds)))
            world.at(node, node.take_settings, replace(node.settings, seeds=seeds))
        await asyncio.sleep(trouble.gap_s)


async def config_race(world: World, trouble: Trouble) -> None:
    await world.as_operator(world.race)


KINDS: dict[str, Callable[[World, Trouble], Awaitable[None]]] = {
    act.__name__: act
    for act in (
        srv_ill,
        srv_crash,
        srv_flap,
        release,
        scale_in,
        scale_out,
        idle_race,
        answer_lost,
        surplus,
        node_kill,
        roll_term,
        power_off_all,
        zone_cut,
        lossy,
        burst,
        config_change,
        config_race,
        reuse,
        hup,
    )
}
