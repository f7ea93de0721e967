"""The standalone program: `python -m cypressbeam.standalone`."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Entry point."""
    # Before the slow imports: SIGHUP must not end a node that starts. Its event loop handles the signal later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from cypressbeam.standalone.program import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
