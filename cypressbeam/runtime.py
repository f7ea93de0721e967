"""Process-wide setup: garbage collector thresholds and log rate limiting."""

from __future__ import annotations

import logging

#: Most objects are either short-lived or permanent. Full collections are rare, because each one pauses the node.
GC_THRESHOLDS = (20_000, 20, 50)
#: Each logging statement may log this many lines per window.
MAX_LINES_PER_WINDOW = 10
WINDOW_S = 10.0


class LogRateLimiter(logging.Filter):
    """Limits the log rate of each logging statement. The first line of the next window states how many lines were
    suppressed. Without a limit, a peer that fails hundreds of times a second would slow the node down by logging."""

    def __init__(self) -> None:
        super().__init__()
        self.windows: dict[tuple[str, int], list[float]] = {}  # start of the window, lines in it

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is logged."""
        location = (record.pathname, record.lineno)
        window_start_s, lines = self.windows.get(location, (0.0, 0.0))
        if record.created - window_start_s >= WINDOW_S:
            if lines > MAX_LINES_PER_WINDOW:
                record.msg = f"{record.getMessage()} ({lines - MAX_LINES_PER_WINDOW:.0f} similar lines suppressed)"
                record.args = None
            window_start_s, lines = record.created, 0.0
        self.windows[location] = [window_start_s, lines + 1]
        return lines < MAX_LINES_PER_WINDOW
