"""The part of a node in the bootstrap of a new system (docs/design/bootstrap.md)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cypressbeam.consensus.bootstrap import Bootstrap
from cypressbeam.consensus.views import View
from cypressbeam.distribution.tree_node import TreeNode
from cypressbeam.node.core_machine import CoreMachine
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import Settings

BOOTSTRAP_INTERVAL_S = 0.1
#: A member that has not stored the first view is asked for this long. Its disk may be lost for good.
MAX_DURATION_S = 600.0


class SystemBootstrap:
    """Runs the bootstrap on a seed until a view is stored at all of its members, also when a leader is known already:
    a member that was killed before it stored the view has no other way to get it."""

    def __init__(
        self,
        settings: Settings,
        tree: TreeNode,
        core: CoreMachine | None,
        send: Callable[[str, frames.Frame], None],
    ) -> None:
        self.settings = settings
        self.tree = tree
        self.core = core
        self.send = send
        self.loop = asyncio.get_running_loop()
        self.bootstrap: Bootstrap | None = None
        self.until_s = 0.0
        """When the bootstrap is given up."""

    def first_seeds(self) -> tuple[str, ...]:
        """The seeds of the system's first start; empty if this node does not take part in its bootstrap."""
        if self.core is not None and self.settings.quorum_member:
            return self.core.bootstrap_seeds
        return tuple(host for host, _ in self.settings.seeds) if self.settings.bootstrap else ()

    def begin(self) -> None:
        """Take part in the bootstrap, if this node is a seed of the first start."""
        seeds = self.first_seeds()
        if self.settings.ip in seeds:
            self.bootstrap = Bootstrap(self.settings.ip, seeds, 2 * self.settings.machine_losses + 1)
            self.until_s = self.loop.time() + MAX_DURATION_S
            self.step()

    def step(self) -> None:
        """Send what is due. Repeated until the bootstrap is complete."""
        bootstrap = self.bootstrap
        if bootstrap is None:
            return
        now_s = self.loop.time()
        self.observe_own_state(bootstrap, now_s)
        for message in bootstrap.tick(now_s):
            self.send(message.ip, message.frame)
        has_leader = self.tree.registration.assignment is not None
        if bootstrap.is_done() or (has_leader and bootstrap.view is None) or now_s > self.until_s:
            self.bootstrap = None
        else:
            self.loop.call_later(BOOTSTRAP_INTERVAL_S, self.step)

    def observe_own_state(self, bootstrap: Bootstrap, now_s: float) -> None:
        """Pass what this machine itself has on disk to the bootstrap."""
        identity = self.tree.registration.identity
        if self.settings.quorum_member and identity:
            bootstrap.add_candidate(identity, now_s)
        stored_view = self.core.stored_view() if self.core is not None else None
        if stored_view is not None:
            bootstrap.on_ack(identity, stored_view)

    def on_registration(self, frame: frames.JoinRequest) -> None:
        """Handle the registration of a node. One with a disk has an identity once it has read it."""
        is_reading_disk = frame.flags & frames.MAY_BE_MEMBER and not frame.identity
        if self.bootstrap is None or frame.has_assignment or is_reading_disk:
            return
        takes_part = bool(frame.flags & frames.MAY_BOOTSTRAP)
        self.bootstrap.on_registration(frame.ip, frame.identity, takes_part, self.loop.time())

    def on_ack(self, frame: frames.BootstrapAck) -> None:
        """Handle the answer of a machine that has a view on disk."""
        if self.bootstrap is not None and frame.chain:
            self.bootstrap.on_ack(frame.name, View(frame.epoch, frame.chain, frame.chain))

    def on_promise(self, frame: frames.BootstrapPromise) -> None:
        """Handle the promise of a machine to accept no view of an earlier arbiter."""
        if self.bootstrap is not None:
            self.bootstrap.on_promise(frame.name, frame.epoch)
