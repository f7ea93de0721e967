"""What a node sends to its children: what each lacks when it subscribes, and the root's heartbeats."""

from __future__ import annotations

from cypressbeam.distribution.children import Children
from cypressbeam.distribution.configuration_replica import ConfigurationReplica
from cypressbeam.distribution.endpoint_list_replica import EndpointListReplica
from cypressbeam.distribution.heartbeats import HEARTBEAT_INTERVAL_S
from cypressbeam.distribution.position import TreePosition
from cypressbeam.protocol import frames
from cypressbeam.transport.peers import Link


class ChildFeed:
    """Serves the children; at the root it also makes the heartbeats."""

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
        """A child subscribes."""
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
        if self.position.epoch_of_statements() == fence.epoch:
            self.serve(link, frame)

    def serve(self, link: Link, had: frames.Subscribe) -> None:
        """What a child lacks, and the last heartbeat unless the child has it."""
        self.children.mark_served(link)
        epoch, beat = self.position.fence.epoch, self.position.heartbeats.last
        in_force = epoch if self.position.is_root else self.servers.epoch
        for frame in (self.configuration.for_child(had.revision), self.servers.for_child(had, in_force, epoch)):
            if frame is not None:
                link.send(frame)
        if beat is not None and beat.epoch == epoch and self.position.known_leader():
            link.send(beat)

    def forward_heartbeat(self, frame: frames.RootHeartbeat) -> None:
        """To all children; those that came while this node could not vouch for what it has get that now."""
        self.position.heartbeats.last = frame
        self.children.broadcast(frame)
        for link, had in self.children.unserved():
            self.serve(link, had)

    def start_heartbeats(self, life: int) -> None:
        """The root sends a heartbeat every `HEARTBEAT_INTERVAL_S`, as long as its term lasts."""
        if self.position.is_root and self.servers.endpoints.term == life:
            self.position.context.loop.call_later(HEARTBEAT_INTERVAL_S, self.start_heartbeats, life)
            self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """The root sends a heartbeat; one that a majority does not hear has no word to give, and sends a keep-alive."""
        fence, heartbeats, listing = self.position.fence, self.position.heartbeats, self.servers.endpoints
        if not fence.vouched_leader():
            self.children.broadcast(frames.KeepAlive())
            return
        beat = frames.RootHeartbeat(
            listing.term,
            listing.sequence,
            self.configuration.revision,
            self.position.registration.edge_count,
            heartbeats.next_number(listing.term),
            fence.epoch,
        )
        heartbeats.record(beat, self.position.context.now_s())
        self.forward_heartbeat(beat)
