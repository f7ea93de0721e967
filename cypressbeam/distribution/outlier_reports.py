"""Outlier detection of servers: reports are sent up the distribution tree, ejections are sent down."""

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

#: Failures are collected for this long and reported together; the maximum number of servers of a report, and the
#: maximum number of times that a report is forwarded.
REPORT_DELAY_S = 0.1
MAX_REPORTED, MAX_HOPS = 32, 20


class OutlierReports:
    """Reports of this node, forwarding of other nodes' reports, and at the root their evaluation."""

    def __init__(self, context: NodeContext, tree: TreeNode, on_ejected: Callable[[tuple[str, ...]], None]) -> None:
        """`on_ejected` is called with servers that were ejected in this node's zone."""
        self.context = context
        self.tree = tree
        self.on_ejected = on_ejected
        self.detector = OutlierDetector()
        self.failed_servers: dict[str, None] = {}
        """Servers that failed since the last report, in order."""

    def handlers(self) -> Handlers:
        """The messages of the outlier detection."""
        return {
            frames.OutlierReport: lambda link, frame: self.forward_to_root(frame),
            frames.OutlierEjection: self.on_ejection,
        }

    def record_failure(self, server: str) -> None:
        """Record a server that has failed a request of this node."""
        if not self.failed_servers:
            self.context.loop.call_later(REPORT_DELAY_S, self.report)
        self.failed_servers[server] = None

    def report(self) -> None:
        """Report the servers that failed since the last report."""
        servers, self.failed_servers = tuple(self.failed_servers)[:MAX_REPORTED], {}
        settings = self.context.settings
        self.forward_to_root(frames.OutlierReport(0, settings.node, settings.zone, servers))

    def forward_to_root(self, frame: frames.OutlierReport) -> None:
        """Forward a report towards the root. `MAX_HOPS` stops it if parents temporarily form a cycle."""
        if self.tree.position.is_root:
            self.evaluate(frame)
        elif self.tree.subscription.parent is not None and frame.hops < MAX_HOPS:
            self.tree.subscription.parent.send(replace(frame, hops=frame.hops + 1))

    def evaluate(self, frame: frames.OutlierReport) -> None:
        """At the root: announce the servers to eject down the tree."""
        ejected = self.detector.report(
            frame.name, frame.zone, frame.servers, len(self.tree.endpoints.endpoints.servers), self.context.now_s()
        )
        if ejected:
            log.info("ejecting servers for zone %s: %s", frame.zone, " ".join(ejected))
            self.tree.children.broadcast(frames.OutlierEjection(frame.zone, tuple(ejected), self.tree.fence.epoch))

    def on_ejection(self, link: Link, frame: frames.OutlierEjection) -> None:
        """An ejection by the root, received from the parent."""
        if link is self.tree.subscription.parent and not self.tree.fence.rejects(link, frame.epoch):
            self.tree.children.broadcast(frame)
            if frame.zone == self.context.settings.zone:
                self.on_ejected(frame.servers)
