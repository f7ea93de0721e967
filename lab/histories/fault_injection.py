"""Kinds of trouble that a plan's steps begin and end: losses of power, cuts, machines that stand still, bad disks."""

from __future__ import annotations

from typing import Protocol

from lab.histories.network import CLIENT, Directions
from lab.histories.plans import DOWNSTREAM, INSTEAD, POWER_OLDER, Step
from lab.histories.simulated_core import SimulatedCore


class Trouble(Protocol):
    """One kind of trouble; its end comes by itself after the step's time."""

    def begin(self, core: SimulatedCore, step: Step) -> None: ...

    def end(self, core: SimulatedCore, step: Step) -> None: ...


class Stop:
    """Power is lost, of one machine or of all."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        for ip in self.which(core, step):
            core.stop(ip, wipe=step.kind == "wipe" and core.may_lose_disk(ip))
        if step.kind in INSTEAD.values():
            core.copies_of_disks.put_back(core.disks, step.where)

    def end(self, core: SimulatedCore, step: Step) -> None:
        for ip in self.which(core, step):
            if ip not in core.replicas:
                core.start(ip)

    def which(self, core: SimulatedCore, step: Step) -> tuple[str, ...]:
        return core.ips if step.kind in ("power", POWER_OLDER) else (step.where,)


class Cut:
    """One machine is cut off from the others. Operators and the downstream nodes still reach it, unless all is cut."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        view = core.newest_view()
        placed = {"lead": view.head, "tail": view.tail} if view is not None else {}
        ip = placed.get(step.kind, step.where)
        others = [other for other in core.ips if other != ip] + [CLIENT, *DOWNSTREAM] * (step.kind == "cut")
        pairs: Directions = set()
        if step.kind != "deaf":
            pairs |= {(ip, other) for other in others}
        if step.kind != "one-way":
            pairs |= {(other, ip) for other in others}
        core.network.cut_off(step, pairs)

    def end(self, core: SimulatedCore, step: Step) -> None:
        core.network.join_up(step)


class Freeze:
    """A machine stands still; what is sent to it waits in its sockets."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        if step.where in core.replicas:
            core.frozen.setdefault(step.where, [])

    def end(self, core: SimulatedCore, step: Step) -> None:
        core.thaw(step.where)


class FreezeCut:
    """The same, and a part of the time it is cut off too, longer than it stands still: what it reads is from before."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        Freeze().begin(core, step)
        later = Step(step.at_s + step.for_s / 3, "cut", step.where, step.for_s)
        core.at(step.for_s / 3, "begin", "", later)

    def end(self, core: SimulatedCore, step: Step) -> None:
        Freeze().end(core, step)


class Orphan:
    """Whoever first puts a view on disk that names a newcomer loses its power a moment later."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        core.orphans.append(step)
        view = core.newest_view()
        core.identities = set(view.group) if view is not None else set()

    def end(self, core: SimulatedCore, step: Step) -> None:
        core.orphans = [other for other in core.orphans if other != step]


class BadDisk:
    """A disk refuses all writes, or does not come back from them."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        (core.refusing if step.kind == "refuse" else core.stalled).add(step.where)

    def end(self, core: SimulatedCore, step: Step) -> None:
        (core.refusing if step.kind == "refuse" else core.stalled).discard(step.where)


#: By the name that steps have. Other modules may add theirs.
KINDS: dict[str, Trouble] = {
    **dict.fromkeys(("kill", "wipe", "power", *INSTEAD.values()), Stop()),
    **dict.fromkeys(("cut", "one-way", "deaf", "lead", "tail"), Cut()),
    "freeze": Freeze(),
    "freeze-cut": FreezeCut(),
    "orphan": Orphan(),
    **dict.fromkeys(("refuse", "stall"), BadDisk()),
}
