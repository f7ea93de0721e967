"""The base of all errors that the program raises itself. Each names what is wrong in one line."""

from __future__ import annotations


class CypressbeamError(Exception):
    """An error of this program: the settings, the configuration, a message, the disk, a request."""
