"""The `cypressbeam` program: runs a node or an administration command."""

from __future__ import annotations

import os
import signal
import sys


def main() -> int:
    """Entry point of the console script.

    The listening socket for clients is opened before the slow imports, and a node does not import the command-line
    interface.
    """
    if sys.argv[1:] == ["node"]:
        # Before the slow imports: SIGHUP must not end a node that starts. Its event loop handles the signal later.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from cypressbeam.node.early_listener import open_front_listener

        front_socket = open_front_listener(os.environ)
        from cypressbeam.node.run import run_node

        return run_node(front_socket)
    from cypressbeam.cli.program import main as commands

    commands(prog_name="cypressbeam")
    return 0


if __name__ == "__main__":
    sys.exit(main())
