"""Outlier detection of servers: reports of nodes go up the distribution tree, findings come down."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.outlier_detection import Verdicts
from cypressbeam.distribution.relay import Handlers, Relay
from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link

log = logging.getLogger(__name__)

#: Faults of servers are gathered for so long before they are reported, so many at once, over so many relays at most.
REPORT_S = 0.1
MOST_REPORTED, MOST_HOPS = 32, 20


class OutlierReports:
    """What failed this node's requests, and at the root what failed those of many."""

    def __init__(self, context: NodeContext, relay: Relay, on_finding: Callable[[tuple[str, ...]], None]) -> None:
        """`on_finding` gets servers that fail for many nodes of this node's zone."""
        self.context = context
        self.relay = relay
        self.on_finding = on_finding
        self.verdicts = Verdicts()
        self.faults: dict[str, None] = {}
        """Servers that failed here and are to be reported, in the order in which they did."""

    def handlers(self) -> Handlers:
        """The messages of the outlier detection."""
        return {frames.OutlierReport: lambda link, frame: self.pass_up(frame), frames.OutlierEjection: self.on_verdict}

    def note_fault(self, server: str) -> None:
        """A server has failed a request here."""
        if not self.faults:
            self.context.loop.call_later(REPORT_S, self.report)
        self.faults[server] = None

    def report(self) -> None:
        """Report what has failed since the last report."""
        servers, self.faults = tuple(self.faults)[:MOST_REPORTED], {}
        settings = self.context.settings
        self.pass_up(frames.OutlierReport(0, settings.node, settings.zone, servers))

    def pass_up(self, frame: frames.OutlierReport) -> None:
        """To the root, from parent to parent. A circle of parents ends, and so must what goes round in it."""
        if self.relay.position.is_root:
            self.conclude(frame)
        elif self.relay.subscription.parent is not None and frame.hops < MOST_HOPS:
            self.relay.subscription.parent.send(replace(frame, hops=frame.hops + 1))

    def conclude(self, frame: frames.OutlierReport) -> None:
        """At the root: servers that fail for many are told down the tree."""
        found = self.verdicts.report(
            frame.name, frame.zone, frame.servers, len(self.relay.servers.listing.servers), self.context.now_s()
        )
        if found:
            log.info("servers that fail for many of %s: %s", frame.zone, " ".join(found))
            self.relay.children.tell(frames.OutlierEjection(frame.zone, tuple(found), self.relay.fence.epoch))

    def on_verdict(self, link: Link, frame: frames.OutlierEjection) -> None:
        """A finding of the root's, from the parent."""
        if link is self.relay.subscription.parent and not self.relay.fence.rejects(link, frame.epoch):
            self.relay.children.tell(frame)
            if frame.zone == self.context.settings.zone:
                self.on_finding(frame.servers)
