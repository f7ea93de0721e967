"""The program `cypressbeam`: a node, or the commands for people."""

from __future__ import annotations

import os
import sys


def main() -> int:
    """The console script. What takes time to load comes after the socket that clients connect to, and a node must not
    pay for what only people need."""
    if sys.argv[1:] == ["node"]:
        from cypressbeam.node.early_listener import open_front

        front = open_front(os.environ)
        from cypressbeam.node.run import run_node

        return run_node(front)
    from cypressbeam.cli.program import main as commands

    commands(prog_name="cypressbeam")
    return 0


if __name__ == "__main__":
    sys.exit(main())
