"""Which servers fail for many: nodes report what failed them, the root of the relays tells what several saw. Pure.

Trouble: each of 77 nodes paid its own failures to learn that one server was ill, requests among them that can't be
sent again. A verdict only begins the rest that a fault of a node's own would begin: after it each node tries for
itself. It goes to the nodes of the zone that its reports came from, for a server may fail for one zone's callers alone.
"""

from __future__ import annotations

from collections.abc import Iterable

#: Reports count for so long; a server that was ejected is not ejected again while that lasts.
WINDOW_S = 2.0
EJECTION_S = 1.5
#: So many nodes make a verdict: one may be ill itself.
MIN_REPORTERS = 2
#: A node that reports more than this share of all servers is ill; no more than this share is ejected in a window.
MAX_EJECTED_SHARE = 0.25
MIN_EJECTABLE = 2


class OutlierDetector:
    """At the root. Times in seconds of its steady clock."""

    def __init__(self) -> None:
        self.reports: dict[tuple[str, str], dict[str, float]] = {}
        """By zone and server: who has reported it, and when last."""
        self.ejected: dict[tuple[str, str], float] = {}

    def forget(self, now_s: float) -> None:
        """Drop what counts no more."""
        fresh = {
            about: {node: at_s for node, at_s in by.items() if now_s - at_s <= WINDOW_S}
            for about, by in self.reports.items()
        }
        self.reports = {about: by for about, by in fresh.items() if by}
        self.ejected = {about: at_s for about, at_s in self.ejected.items() if now_s - at_s <= WINDOW_S}

    def report(self, node: str, zone: str, servers: Iterable[str], listed: int, now_s: float) -> list[str]:
        """A node's report, where so many servers are listed; returns those that are to be ejected in its zone now."""
        self.forget(now_s)
        named = [*dict.fromkeys(servers)]
        for server in named:
            self.reports.setdefault((zone, server), {})[node] = now_s
        most = max(int(MAX_EJECTED_SHARE * listed), MIN_EJECTABLE)
        found = []
        for server in named:
            lately = sum(told_zone == zone for told_zone, _ in self.ejected)
            if (
                now_s - self.ejected.get((zone, server), now_s - EJECTION_S) >= EJECTION_S
                and lately < most
                and self.reporters(zone, server, most) >= MIN_REPORTERS
            ):
                self.ejected[zone, server] = now_s
                found.append(server)
        return found

    def reporters(self, zone: str, server: str, most: int) -> int:
        """How many nodes that are well themselves have reported a server."""
        return sum(sum(node in by for by in self.reports.values()) <= most for node in self.reports[zone, server])
