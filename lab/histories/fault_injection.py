"""The faults that a plan's steps inject: power loss, partitions, paused machines, and failing disks."""

from __future__ import annotations

from typing import Protocol

from lab.histories.network import CLIENT, Directions
from lab.histories.plans import DOWNSTREAM, OLDER_COPY_VARIANTS, POWER_AND_OLDER_COPY, Step
from lab.histories.simulated_core import SimulatedCore


class Fault(Protocol):
    """A kind of fault; `end` is called when the step's time is over."""

    def begin(self, core: SimulatedCore, step: Step) -> None: ...

    def end(self, core: SimulatedCore, step: Step) -> None: ...


class PowerLoss:
    """Power loss of one machine or of all."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        for ip in self.targets(core, step):
            core.stop(ip, wipe=step.kind == "wipe" and core.may_lose_disk(ip))
        if step.kind in OLDER_COPY_VARIANTS.values():
            core.disk_snapshots.restore(core.disks, step.where)

    def end(self, core: SimulatedCore, step: Step) -> None:
        for ip in self.targets(core, step):
            if ip not in core.replicas:
                core.start(ip)

    def targets(self, core: SimulatedCore, step: Step) -> tuple[str, ...]:
        return core.ips if step.kind in ("power", POWER_AND_OLDER_COPY) else (step.where,)


class Partition:
    """One machine is partitioned from the others. Except for `cut`, operators and downstream nodes still reach it."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        view = core.newest_view()
        by_position = {"lead": view.head, "tail": view.tail} if view is not None else {}
        ip = by_position.get(step.kind, step.where)
        others = [other for other in core.ips if other != ip] + [CLIENT, *DOWNSTREAM] * (step.kind == "cut")
        pairs: Directions = set()
        if step.kind != "deaf":
            pairs |= {(ip, other) for other in others}
        if step.kind != "one-way":
            pairs |= {(other, ip) for other in others}
        core.network.add_cut(step, pairs)

    def end(self, core: SimulatedCore, step: Step) -> None:
        core.network.remove_cut(step)


class Pause:
    """A machine is paused; messages to it wait in its socket buffers."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        if step.where in core.replicas:
            core.paused_events.setdefault(step.where, [])

    def end(self, core: SimulatedCore, step: Step) -> None:
        core.resume(step.where)


class PauseAndPartition:
    """A pause with a partition that starts later and outlasts it: the machine resumes with stale messages only."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        Pause().begin(core, step)
        later = Step(step.at_s + step.for_s / 3, "cut", step.where, step.for_s)
        core.at(step.for_s / 3, "begin", "", later)

    def end(self, core: SimulatedCore, step: Step) -> None:
        Pause().end(core, step)


class CrashOnNewIdentity:
    """The first machine that persists a view with a new identity loses power shortly afterwards."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        core.pending_crashes.append(step)
        view = core.newest_view()
        core.known_identities = set(view.group) if view is not None else set()

    def end(self, core: SimulatedCore, step: Step) -> None:
        core.pending_crashes = [other for other in core.pending_crashes if other != step]


class DiskFault:
    """A disk refuses all writes, or stalls on them."""

    def begin(self, core: SimulatedCore, step: Step) -> None:
        (core.refusing if step.kind == "refuse" else core.stalled).add(step.where)

    def end(self, core: SimulatedCore, step: Step) -> None:
        (core.refusing if step.kind == "refuse" else core.stalled).discard(step.where)


#: By the kind of a step. Other modules may add kinds.
KINDS: dict[str, Fault] = {
    **dict.fromkeys(("kill", "wipe", "power", *OLDER_COPY_VARIANTS.values()), PowerLoss()),
    **dict.fromkeys(("cut", "one-way", "deaf", "lead", "tail"), Partition()),
    "freeze": Pause(),
    "freeze-cut": PauseAndPartition(),
    "orphan": CrashOnNewIdentity(),
    **dict.fromkeys(("refuse", "stall"), DiskFault()),
}
