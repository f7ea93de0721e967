"""The replica of the list of servers that goes down the distribution tree."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from cypressbeam.distribution.endpoint_list import EndpointList
from cypressbeam.protocol import frames


class EndpointListReplica:
    """The list as it is here, and the epoch in which it was in force."""

    def __init__(self) -> None:
        self.endpoints = EndpointList()
        self.epoch = 0
        """The newest epoch in which the list that is here was in force."""
        self.on_change: Callable[[], None] = lambda: None

    def begin_term(self, term: int) -> None:
        """This node is the root: its own list goes down from here."""
        self.endpoints = EndpointList(term)

    def is_at(self, term: int, sequence: int) -> bool:
        """Whether the list that is here is that of a term and sequence number."""
        return (term, sequence) == (self.endpoints.term, self.endpoints.sequence)

    def confirm(self, heartbeat: frames.RootHeartbeat) -> None:
        """A heartbeat names the list that is in force in its epoch."""
        if self.is_at(heartbeat.term, heartbeat.sequence):
            self.epoch = heartbeat.epoch

    def is_missing(self, heartbeat: frames.RootHeartbeat) -> bool:
        """Whether a heartbeat names a list that is not here."""
        return bool(heartbeat.sequence) and not self.is_at(heartbeat.term, heartbeat.sequence)

    def for_child(self, had: frames.Subscribe, in_force: int, epoch: int) -> frames.EndpointUpdate | None:
        """The whole list, if a child has another one and the list that is here, in force in one epoch, is that of the
        current one."""
        if not self.endpoints.sequence or in_force != epoch or self.is_at(had.term, had.sequence):
            return None
        return replace(self.endpoints.snapshot(), epoch=in_force)

    def apply(self, frame: frames.EndpointUpdate) -> bool | None:
        """Take rows of the parent's. Returns whether they were new, or None if they don't follow on what is here."""
        fresh = self.endpoints.apply(frame)
        if fresh is None:
            return None
        self.epoch = frame.epoch
        return bool(fresh)
