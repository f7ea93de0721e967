"""A tree node for unit tests: its clock is set by the test, and its links record the frames that are sent."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from cypressbeam.distribution.tree_node import TreeNode
from cypressbeam.protocol import frames
from cypressbeam.protocol.settings import Settings, parse
from cypressbeam.transport.peers import CONTROL_LANE, Link, Peers

OWN_IP, ROOT_IP, OTHER_IP = "10.0.0.1", "10.0.0.9", "10.0.0.8"
SETTINGS: Settings = parse(
    f"node=n\nip={OWN_IP}\nzone=a\ninternalPorts=1,2\nseedPeers=10.0.0.7:8649\nbootstrap=true\n", "boot.conf"
)
#: Epochs of consecutive views.
EPOCH_1, EPOCH_2, EPOCH_3, EPOCH_4 = 256, 512, 768, 1024


class RecordingLink(Link):
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


class TreeNodeHarness:
    """A tree node and its links by address. Must be created within a running event loop."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.links: dict[str, RecordingLink] = {}
        self.peers = Peers(OWN_IP, 1, lambda link, frame: None, lambda link: None, 1000.0)
        self.peers.link_to = self.link  # type: ignore[method-assign]
        self.tree = TreeNode(SETTINGS, self.peers, frames.SERVES_CLIENTS)
        self.tree.context.loop = cast(Any, SimpleNamespace(time=lambda: self.now_s, call_later=lambda *_: None))

    def link(self, ip: str, lane: int = CONTROL_LANE) -> RecordingLink:
        return self.links.setdefault(ip, RecordingLink(self.peers, ip))

    def assign(self, epoch: int, parent: str = ROOT_IP) -> None:
        self.tree.on_assignment(
            self.link(ROOT_IP),
            frames.ParentAssignment(epoch, (ROOT_IP,), (parent,), (), (), 3, 3, 0, (ROOT_IP, OTHER_IP)),
        )

    def heartbeat(self, epoch: int, number: int = 1) -> None:
        self.tree.on_heartbeat(self.link(ROOT_IP), frames.RootHeartbeat(7, 0, 0, 3, number, epoch))

    def join_root(self, epoch: int) -> TreeNodeHarness:
        """Assign the root of that epoch as the parent, deliver a heartbeat, and clear the recorded frames."""
        self.assign(epoch)
        self.heartbeat(epoch)
        for link in self.links.values():
            link.sent.clear()
        return self

    def become_root(self, epoch: int) -> TreeNodeHarness:
        self.tree.become_root(7, epoch)
        return self

    def child(self, epoch: int, ip: str = "10.0.0.20", revision: int = 0) -> RecordingLink:
        link = self.link(ip)
        self.tree.feed.on_subscribe(link, frames.Subscribe(ip, revision, 0, 0, epoch))
        return link
