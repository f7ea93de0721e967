"""What a node sends to its children: missing state after they subscribe, and the root's heartbeats."""

from __future__ import annotations

from cypressbeam.distribution.children import Children
from cypressbeam.distribution.configuration_replica import ConfigurationReplica
from cypressbeam.distribution.endpoint_list_replica import EndpointListReplica
from cypressbeam.distribution.heartbeats import HEARTBEAT_INTERVAL_S
from cypressbeam.distribution.position import TreePosition
from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link


class ChildFeed:
    """Serves the children; at the root it also generates the heartbeats."""

    def __init__(
        self,
        position: TreePosition,
        children: Children,
        configuration: ConfigurationReplica,
        servers: EndpointListReplica,
    ) -> None:
        self.position = position
        self.children = children
        self.configuration = configuration
        self.servers = servers

    def on_subscribe(self, link: Link, frame: frames.Subscribe) -> None:
        """A node subscribes. It is served now, or with the next heartbeat if the local state is of an older epoch."""
        fence = self.position.fence
        if self.position.registration.is_draining:
            link.close()
            return
        if frame.epoch < fence.epoch:
            link.send(fence.redirect())
        fence.observe(frame.epoch)
        if not self.position.may_have_children():
            link.send(frames.Unsubscribed())
            return
        self.children.add(link, frame)
        if self.position.message_epoch() == fence.epoch:
            self.serve(link, frame)

    def serve(self, link: Link, request: frames.Subscribe) -> None:
        """Send a child the state that it lacks, and the last heartbeat if it is still valid."""
        self.children.mark_served(link)
        epoch, heartbeat = self.position.fence.epoch, self.position.heartbeats.last
        list_epoch = epoch if self.position.is_root else self.servers.epoch
        for frame in (
            self.configuration.update_for_child(request.revision),
            self.servers.update_for_child(request, list_epoch, epoch),
        ):
            if frame is not None:
                link.send(frame)
        if heartbeat is not None and heartbeat.epoch == epoch and self.position.known_leader():
            link.send(heartbeat)

    def forward_heartbeat(self, frame: frames.RootHeartbeat) -> None:
        """Send a heartbeat to all children, and serve those that subscribed while the local state was outdated."""
        self.position.heartbeats.last = frame
        self.children.broadcast(frame)
        for link, request in self.children.unserved():
            self.serve(link, request)

    def start_heartbeats(self, term: int) -> None:
        """At the root: send a heartbeat every `HEARTBEAT_INTERVAL_S` until its term ends."""
        if self.position.is_root and self.servers.endpoints.term == term:
            self.position.context.loop.call_later(HEARTBEAT_INTERVAL_S, self.start_heartbeats, term)
            self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """At the root: send a heartbeat, or only a keep-alive while it can't confirm its leadership, for example
        without contact with a majority of the core."""
        fence, heartbeats, endpoints = self.position.fence, self.position.heartbeats, self.servers.endpoints
        if not fence.vouched_leader():
            self.children.broadcast(frames.KeepAlive())
            return
        heartbeat = frames.RootHeartbeat(
            endpoints.term,
            endpoints.sequence,
            self.configuration.revision,
            self.position.registration.edge_count,
            heartbeats.next_number(endpoints.term),
            fence.epoch,
        )
        heartbeats.record(heartbeat, self.position.context.now_s())
        self.forward_heartbeat(heartbeat)
