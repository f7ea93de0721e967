"""Executes the effects of the consensus: sends messages, writes to disk and calls the core machine."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from cypressbeam.consensus.effects import (
    DiskWrite,
    Effect,
    PersistBootstrapPromise,
    PersistEntry,
    PersistPromise,
    PersistView,
    Publish,
    ResetIdentity,
    SendMessage,
    SetLeadership,
)
from cypressbeam.consensus.replica import Replica
from cypressbeam.consensus.views import Entry
from cypressbeam.node.background_tasks import BackgroundTasks
from cypressbeam.protocol import frames
from cypressbeam.storage.store import CorruptStateError, Storage, StoreError

log = logging.getLogger(__name__)


class EffectTarget(Protocol):
    """The machine on which effects are executed."""

    replica: Replica | None
    """None until the disk state is loaded, and while it is being replaced by an empty one."""

    def publish(self, entry: Entry) -> None:
        """Distribute a committed configuration."""

    def set_leadership(self, leads: bool) -> None:
        """Become the root of the distribution tree, or resign."""

    def reset_identity(self, reason: str) -> None:
        """Continue as a new member with an empty disk."""


class EffectExecutor:
    """Executes effects in order. Disk writes run concurrently, and the replica is notified when each one is done."""

    def __init__(
        self, target: EffectTarget, store: Storage, send: Callable[[str, frames.Frame], None], tasks: BackgroundTasks
    ) -> None:
        self.target = target
        self.store = store
        self.send = send
        self.tasks = tasks
        self.loop = asyncio.get_running_loop()

    def execute(self, effects: Sequence[Effect]) -> None:
        """Execute all effects."""
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.send(effect.ip, effect.frame)
            elif isinstance(effect, Publish):
                self.target.publish(effect.entry)
            elif isinstance(effect, SetLeadership):
                self.target.set_leadership(effect.leads)
            elif isinstance(effect, ResetIdentity):
                self.target.reset_identity(effect.reason)
            else:
                self.tasks.spawn(self.write(effect))

    async def write(self, effect: DiskWrite) -> None:
        """Write to disk, then execute the effects that follow from it."""
        replica = self.target.replica
        if replica is None:
            return  # the write belongs to disk state that was set aside
        self.store.stage_marks(replica.rollback.reported)
        try:
            effects = await self.persist(replica, effect)
        except CorruptStateError as err:
            if replica is self.target.replica:
                self.target.reset_identity(str(err))
            return
        except StoreError as err:
            log.error("disk write failed: %s", err)
            effects = replica.write_failed(effect, self.loop.time())
        if replica is self.target.replica:
            self.execute(effects)

    async def persist(self, replica: Replica, effect: DiskWrite) -> list[Effect]:
        """Write to disk and return the resulting effects of the replica. Raises StoreError."""
        if isinstance(effect, PersistEntry):
            await self.store.save_entry(effect.entry)
            return replica.entry_persisted(effect.entry, self.loop.time())
        if isinstance(effect, PersistPromise):
            await self.store.save_promise(effect.epoch)
            return replica.promise_persisted(effect.epoch, effect.proposer, self.loop.time())
        if isinstance(effect, PersistBootstrapPromise):
            await self.store.save_promise(effect.epoch)
            return replica.bootstrap_promise_persisted(effect.epoch, effect.arbiter)
        if isinstance(effect, PersistView):
            await self.store.save_view(effect.view, effect.entry, effect.applied_digests)
            log.info("view %d installed: chain %s", effect.view.epoch, " ".join(effect.view.chain))
            return replica.view_persisted(effect.view, effect.entry, effect.applied_digests, self.loop.time())
        await self.store.probe()
        return replica.disk_probed(self.loop.time())
