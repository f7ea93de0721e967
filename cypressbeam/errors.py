"""The base class of all errors that the program raises. Each message is a single line."""

from __future__ import annotations


class CypressbeamError(Exception):
    """An error in the settings, the configuration, a message, the disk state or a request."""
