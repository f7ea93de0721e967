"""Listener addresses, as host and port."""

from __future__ import annotations

Address = tuple[str, int]


def read_address(text: object) -> Address:
    """Parses "host:port". Raises ValueError for any other text."""
    if not isinstance(text, str):
        raise ValueError(f"expected host:port, not {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdecimal()) or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, not {text!r}")
    return host.strip("[]"), int(port)
