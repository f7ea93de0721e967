"""The children of a node in the distribution tree: who subscribed here, and what each had when it came."""

from __future__ import annotations

from collections.abc import Iterator

from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link


class Children:
    """Subscribers, in the order in which they came: runs can be repeated."""

    def __init__(self) -> None:
        self.links: dict[Link, frames.Subscribe | None] = {}
        """With what each had when it came, until it was given what it lacks."""

    def __len__(self) -> int:
        return len(self.links)

    def add(self, link: Link, had: frames.Subscribe) -> None:
        """A child has subscribed, or again."""
        self.links[link] = had

    def remove(self, link: Link) -> None:
        """A connection is lost; it may have been a child's."""
        self.links.pop(link, None)

    def unserved(self) -> Iterator[tuple[Link, frames.Subscribe]]:
        """Children that were given nothing yet."""
        for link, had in [*self.links.items()]:
            if had is not None:
                yield link, had

    def mark_served(self, link: Link) -> None:
        """A child is given what it lacks."""
        self.links[link] = None

    def broadcast(self, frame: frames.Frame) -> None:
        """Send a message to all children."""
        if self.links:
            data = frame.pack()
            for child in [*self.links]:
                child.send_packed(data)

    def release(self) -> None:
        """Children look for others. Connections stay: what else goes over them must not be lost."""
        links, self.links = self.links, {}
        for child in links:
            child.send(frames.Unsubscribed())
