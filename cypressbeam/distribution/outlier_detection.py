"""Outlier detection of servers: nodes report failures, and the root ejects servers that several nodes reported.

Does no I/O. Without sharing, each of 77 nodes had to fail requests of its own to learn that one server was faulty,
among them requests that can't be retried. An ejection has the same effect as one fault seen by the node itself:
afterwards each node tries the server on its own. It applies to the zone of the reporters, because a server may fail for
clients of one zone only."""

from __future__ import annotations

from collections.abc import Iterable

#: Time for which reports and ejections count.
WINDOW_S = 2.0
#: Time for which an ejected server is not ejected again.
EJECTION_S = 1.5
#: Number of reporting nodes that eject a server; a single reporter may itself be faulty.
MIN_REPORTERS = 2
#: A node that reports more than this share of all servers is considered faulty and not counted. At most this share, and
#: at least `MIN_EJECTABLE` servers, can be ejected in a zone within `WINDOW_S`.
MAX_EJECTED_SHARE = 0.25
MIN_EJECTABLE = 2


class OutlierDetector:
    """The detector at the root. Times are seconds of its monotonic clock."""

    def __init__(self) -> None:
        self.reports: dict[tuple[str, str], dict[str, float]] = {}
        """By zone and server: the reporting nodes, each with the time of its last report."""
        self.ejected: dict[tuple[str, str], float] = {}

    def expire(self, now_s: float) -> None:
        """Drop reports and ejections older than `WINDOW_S`."""
        fresh = {
            key: {node: at_s for node, at_s in reporters.items() if now_s - at_s <= WINDOW_S}
            for key, reporters in self.reports.items()
        }
        self.reports = {key: reporters for key, reporters in fresh.items() if reporters}
        self.ejected = {key: at_s for key, at_s in self.ejected.items() if now_s - at_s <= WINDOW_S}

    def report(self, node: str, zone: str, servers: Iterable[str], server_count: int, now_s: float) -> list[str]:
        """Process a node's report; `server_count` is the number of all servers. Returns those to eject in its zone."""
        self.expire(now_s)
        named = [*dict.fromkeys(servers)]
        for server in named:
            self.reports.setdefault((zone, server), {})[node] = now_s
        max_ejected = max(int(MAX_EJECTED_SHARE * server_count), MIN_EJECTABLE)
        to_eject = []
        for server in named:
            recent_count = sum(ejected_zone == zone for ejected_zone, _ in self.ejected)
            if (
                now_s - self.ejected.get((zone, server), now_s - EJECTION_S) >= EJECTION_S
                and recent_count < max_ejected
                and self.healthy_reporters(zone, server, max_ejected) >= MIN_REPORTERS
            ):
                self.ejected[zone, server] = now_s
                to_eject.append(server)
        return to_eject

    def healthy_reporters(self, zone: str, server: str, max_ejected: int) -> int:
        """Number of nodes that reported a server, without those that reported more than `max_ejected` servers."""
        return sum(
            sum(node in reporters for reporters in self.reports.values()) <= max_ejected
            for node in self.reports[zone, server]
        )
