"""Why an operator's request was not done."""

from __future__ import annotations

from cypressbeam.errors import CypressbeamError


class UnusableFileError(CypressbeamError):
    """A file that can't be used, or an answer that makes no sense: one line."""


class RequestRefusedError(CypressbeamError):
    """The system has answered, and not with what was asked for: one line."""
