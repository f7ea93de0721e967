"""Opens the client listener before the rest of the program is imported.

Clients that connect while the node starts wait in the listen backlog instead of being refused. This module imports
almost nothing, because it is loaded before the modules that take long to import.
"""

from __future__ import annotations

import socket
from collections.abc import Mapping

#: The same backlog as that of a frontend.
LISTEN_BACKLOG = 1024


def open_front_listener(environ: Mapping[str, str]) -> socket.socket | None:
    """Open a socket that listens at `listeners.front` of the settings file.

    Returns None if the file has no such line or the socket can't be opened. The error is reported later, when the
    settings are fully parsed or the node opens its listener.
    """
    try:
        with open(environ["CYPRESSBEAM_BOOT"], encoding="utf-8") as settings_file:
            (address,) = [
                line.partition("=")[2].strip()
                for line in settings_file
                if line.partition("=")[0].strip() == "listeners.front"
            ]
        host, _, port = address.rpartition(":")
        return listen(host, int(port))
    except (KeyError, OSError, ValueError, OverflowError):
        return None


def listen(host: str, port: int) -> socket.socket:
    """Open a non-blocking listening socket. Raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    return listener
