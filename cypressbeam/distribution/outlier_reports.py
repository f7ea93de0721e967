"""Outlier detection of servers: reports of nodes go up the distribution tree, findings come down."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.outlier_detection import OutlierDetector
from cypressbeam.distribution.tree_node import Handlers, TreeNode
from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link

log = logging.getLogger(__name__)

#: Faults of servers are gathered for so long before they are reported, so many at once, over so many relays at most.
REPORT_DELAY_S = 0.1
MAX_REPORTED, MAX_HOPS = 32, 20


class OutlierReports:
    """What failed this node's requests, and at the root what failed those of many."""

    def __init__(self, context: NodeContext, relay: TreeNode, on_finding: Callable[[tuple[str, ...]], None]) -> None:
        """`on_finding` gets servers that fail for many nodes of this node's zone."""
        self.context = context
        self.tree = relay
        self.on_ejected = on_finding
        self.detector = OutlierDetector()
        self.failed_servers: dict[str, None] = {}
        """Servers that failed here and are to be reported, in the order in which they did."""

    def handlers(self) -> Handlers:
        """The messages of the outlier detection."""
        return {frames.OutlierReport: lambda link, frame: self.pass_up(frame), frames.OutlierEjection: self.on_ejection}

    def record_failure(self, server: str) -> None:
        """A server has failed a request here."""
        if not self.failed_servers:
            self.context.loop.call_later(REPORT_DELAY_S, self.report)
        self.failed_servers[server] = None

    def report(self) -> None:
        """Report what has failed since the last report."""
        servers, self.failed_servers = tuple(self.failed_servers)[:MAX_REPORTED], {}
        settings = self.context.settings
        self.pass_up(frames.OutlierReport(0, settings.node, settings.zone, servers))

    def pass_up(self, frame: frames.OutlierReport) -> None:
        """To the root, from parent to parent. A circle of parents ends, and so must what goes round in it."""
        if self.tree.position.is_root:
            self.conclude(frame)
        elif self.tree.subscription.parent is not None and frame.hops < MAX_HOPS:
            self.tree.subscription.parent.send(replace(frame, hops=frame.hops + 1))

    def conclude(self, frame: frames.OutlierReport) -> None:
        """At the root: servers that fail for many are announced down the tree."""
        found = self.detector.report(
            frame.name, frame.zone, frame.servers, len(self.tree.endpoints.endpoints.servers), self.context.now_s()
        )
        if found:
            log.info("ejecting servers for zone %s: %s", frame.zone, " ".join(found))
            self.tree.children.broadcast(frames.OutlierEjection(frame.zone, tuple(found), self.tree.fence.epoch))

    def on_ejection(self, link: Link, frame: frames.OutlierEjection) -> None:
        """A finding of the root's, from the parent."""
        if link is self.tree.subscription.parent and not self.tree.fence.rejects(link, frame.epoch):
            self.tree.children.broadcast(frame)
            if frame.zone == self.context.settings.zone:
                self.on_ejected(frame.servers)
