"""Errors of operators' requests."""

from __future__ import annotations

from cypressbeam.errors import CypressbeamError


class InvalidFileError(CypressbeamError):
    """A file that is unreadable or invalid. The message is one line."""


class RequestRejectedError(CypressbeamError):
    """The system rejected the request. The message is one line."""
