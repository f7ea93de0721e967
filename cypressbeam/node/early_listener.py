"""Listening before all else: until a node's parts are loaded, clients that connect wait a little and are not refused.

What this module needs is loaded before everything that takes time, so it imports next to nothing.
"""

from __future__ import annotations

import socket
from collections.abc import Mapping

#: As many as a frontend lets wait.
BACKLOG = 1024


def open_front(environ: Mapping[str, str]) -> socket.socket | None:
    """A socket that listens where the settings file says that clients come. None where there is no such line, or it
    can't be done: what is wrong then is told by those who read the settings in full and listen in the usual way."""
    try:
        with open(environ["CYPRESSBEAM_BOOT"], encoding="utf-8") as lines:
            (place,) = [
                line.partition("=")[2].strip() for line in lines if line.partition("=")[0].strip() == "listeners.front"
            ]
        host, _, port = place.rpartition(":")
        return listen(host, int(port))
    except (KeyError, OSError, ValueError, OverflowError):
        return None


def listen(host: str, port: int) -> socket.socket:
    """Raises OSError."""
    front = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        front.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        front.bind((host, port))
        front.listen(BACKLOG)
        front.setblocking(False)
    except BaseException:
        front.close()
        raise
    return front
