"""The replica of the list of servers, distributed down the tree."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from cypressbeam.distribution.endpoint_list import EndpointList
from cypressbeam.protocol import frames


class EndpointListReplica:
    """The local list, and the epoch in which it was confirmed."""

    def __init__(self) -> None:
        self.endpoints = EndpointList()
        self.epoch = 0
        """The newest epoch in which the root confirmed the local list."""
        self.on_change: Callable[[], None] = lambda: None

    def begin_term(self, term: int) -> None:
        """This node became the root: start an empty list of its own term."""
        self.endpoints = EndpointList(term)

    def is_at(self, term: int, sequence: int) -> bool:
        """Whether the local list has this term and sequence number."""
        return (term, sequence) == (self.endpoints.term, self.endpoints.sequence)

    def confirm(self, heartbeat: frames.RootHeartbeat) -> None:
        """Record the epoch of a heartbeat that names the local list as the current one."""
        if self.is_at(heartbeat.term, heartbeat.sequence):
            self.epoch = heartbeat.epoch

    def is_missing(self, heartbeat: frames.RootHeartbeat) -> bool:
        """Whether a heartbeat names another list than the local one."""
        return bool(heartbeat.sequence) and not self.is_at(heartbeat.term, heartbeat.sequence)

    def update_for_child(self, request: frames.Subscribe, list_epoch: int, epoch: int) -> frames.EndpointUpdate | None:
        """The complete list for a child that has another one; None if the child has it, or if the local list, confirmed
        in `list_epoch`, is not known to be current in `epoch`."""
        if not self.endpoints.sequence or list_epoch != epoch or self.is_at(request.term, request.sequence):
            return None
        return replace(self.endpoints.snapshot(), epoch=list_epoch)

    def apply(self, frame: frames.EndpointUpdate) -> bool | None:
        """Apply an update from the parent. Returns whether it was new, or None if it does not follow on the local
        list."""
        changed = self.endpoints.apply(frame)
        if changed is None:
            return None
        self.epoch = frame.epoch
        return bool(changed)
