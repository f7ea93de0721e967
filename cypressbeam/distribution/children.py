"""The children of a node in the distribution tree, and their pending subscription requests."""

from __future__ import annotations

from collections.abc import Iterator

from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link


class Children:
    """Subscribers in order of subscription, so that simulations are deterministic."""

    def __init__(self) -> None:
        self.links: dict[Link, frames.Subscribe | None] = {}
        """Each with its subscription request until that was served, then with None."""

    def __len__(self) -> int:
        return len(self.links)

    def add(self, link: Link, request: frames.Subscribe) -> None:
        """Add a child, or replace its request if it subscribes again."""
        self.links[link] = request

    def remove(self, link: Link) -> None:
        """Remove a closed connection, if it was a child's."""
        self.links.pop(link, None)

    def unserved(self) -> Iterator[tuple[Link, frames.Subscribe]]:
        """Children whose request was not served yet."""
        for link, request in [*self.links.items()]:
            if request is not None:
                yield link, request

    def mark_served(self, link: Link) -> None:
        """Mark the request of a child as served."""
        self.links[link] = None

    def broadcast(self, frame: frames.Frame) -> None:
        """Send a message to all children."""
        if self.links:
            data = frame.pack()
            for child in [*self.links]:
                child.send_packed(data)

    def release(self) -> None:
        """Unsubscribe all children, which then look for another parent. Their connections stay open, because they also
        carry other messages."""
        links, self.links = self.links, {}
        for child in links:
            child.send(frames.Unsubscribed())
