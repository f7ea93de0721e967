"""Why an operator's request was not done."""

from __future__ import annotations


class UnusableFileError(Exception):
    """A file that can't be used, or an answer that makes no sense: one line."""


class RequestRefusedError(Exception):
    """The system has answered, and not with what was asked for: one line."""
