"""A tree node for unit tests: its clock is set by the test, and its links record the frames that are sent."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from cypressbeam.distribution.tree_node import TreeNode
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import Settings, parse
from cypressbeam.transport.peers import CONTROL_LANE, Link, Peers

ME, ROOT, OTHER = "10.0.0.1", "10.0.0.9", "10.0.0.8"
SETTINGS: Settings = parse(
    f"node=n\nip={ME}\nzone=a\ninternalPorts=1,2\nseedPeers=10.0.0.7:8649\nbootstrap=true\n", "boot.conf"
)
#: Epochs of consecutive views.
FIRST, SECOND, THIRD, FOURTH = 256, 512, 768, 1024


class Wire(Link):
    """A connection without a network that records the frames that are sent."""

    def __init__(self, peers: Peers, ip: str) -> None:
        super().__init__(peers, ip)
        self.sent: list[frames.Frame] = []

    def send(self, frame: frames.Frame) -> None:
        self.sent.append(frame)

    def send_packed(self, data: bytes) -> None:
        _, kind = frames.HEADER.unpack_from(data)
        self.sent.append(frames.unpack(kind, data[frames.HEADER.size :]))

    def kinds(self) -> list[str]:
        return [type(frame).__name__ for frame in self.sent]


class Part:
    """A tree node and its links by address. Must be created within a running event loop."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.wires: dict[str, Wire] = {}
        self.peers = Peers(ME, 1, lambda link, frame: None, lambda link: None, 1000.0)
        self.peers.link_to = self.wire  # type: ignore[method-assign]
        self.relay = TreeNode(SETTINGS, self.peers, frames.SERVES_CLIENTS)
        self.relay.context.loop = cast(Any, SimpleNamespace(time=lambda: self.now_s, call_later=lambda *_: None))

    def wire(self, ip: str, lane: int = CONTROL_LANE) -> Wire:
        return self.wires.setdefault(ip, Wire(self.peers, ip))

    def place(self, epoch: int, parent: str = ROOT) -> None:
        self.relay.on_assignment(
            self.wire(ROOT), frames.ParentAssignment(epoch, (ROOT,), (parent,), (), (), 3, 3, 0, (ROOT, OTHER))
        )

    def beat(self, epoch: int, number: int = 1) -> None:
        self.relay.on_heartbeat(self.wire(ROOT), frames.RootHeartbeat(7, 0, 0, 3, number, epoch))

    def under(self, epoch: int) -> Part:
        """Assign the root of that epoch as the parent, deliver a heartbeat, and clear the recorded frames."""
        self.place(epoch)
        self.beat(epoch)
        for wire in self.wires.values():
            wire.sent.clear()
        return self

    def lead(self, epoch: int) -> Part:
        self.relay.become_root(7, epoch)
        return self

    def child(self, epoch: int, ip: str = "10.0.0.20", revision: int = 0) -> Wire:
        link = self.wire(ip)
        self.relay.feed.on_subscribe(link, frames.Subscribe(ip, revision, 0, 0, epoch))
        return link
