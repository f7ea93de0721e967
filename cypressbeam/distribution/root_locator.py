"""How a node finds the root: it asks the known root and, in parallel, one after another all nodes that may know it.

`root_search.py` determines the order and rate of those requests. A node that was named as the root is sent one request,
and is forgotten if it does not answer within `registration.RESPONSE_TIMEOUT_S`.
"""

from __future__ import annotations

from collections.abc import Callable

from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.fencing import EpochFence
from cypressbeam.distribution.registration import RESPONSE_TIMEOUT_S, Registration
from cypressbeam.distribution.root_search import RootSearch


class RootLocator:
    """The root's address, if known, and the search for it."""

    def __init__(
        self,
        context: NodeContext,
        fence: EpochFence,
        registration: Registration,
        send_request: Callable[[str], None],
        resume: Callable[[], None],
    ) -> None:
        """`send_request` sends the registration to an address; `resume` continues the search."""
        self.context = context
        self.fence = fence
        self.registration = registration
        self.send_request = send_request
        self.resume = resume
        self.root = ""
        """The sender of the last assignment, or the node that was named as the root since; empty if it did not
        answer."""
        self.request_sent_s = 0.0
        """When a request was sent to it; 0 once it has answered."""
        self.search = RootSearch(context.settings.ip)
        self.is_searching = False
        self.search_count = 0
        """Number of searches started."""

    def candidates(self) -> tuple[list[str], list[str]]:
        """Addresses of nodes that may know the root: the machines of the core, and the seeds."""
        group = [*self.fence.group, *self.registration.chain()]
        return group, [host for host, _ in self.context.settings.seeds]

    def confirm_root(self, ip: str) -> None:
        """Record that the root has answered."""
        self.root, self.request_sent_s = ip, 0.0

    def forget(self) -> None:
        """Forget the known root."""
        self.root, self.request_sent_s = "", 0.0

    def forget_if(self, ip: str) -> None:
        """Forget the known root if it has this address."""
        if self.root == ip:
            self.forget()

    def forget_silent(self, now_s: float) -> None:
        """Forget the known root if it has not answered in time."""
        if self.request_sent_s and now_s - self.request_sent_s >= RESPONSE_TIMEOUT_S:
            self.forget()

    def renew(self, now_s: float) -> None:
        """Renew the registration at the known root, or search for the root if none is known."""
        self.forget_silent(now_s)
        if self.root:
            self.request_root(self.root, now_s)
        else:
            self.search_step(now_s)

    def search_step(self, now_s: float) -> None:
        """Send a request to the known root, and one to the next node that may know it."""
        self.search_count += not self.is_searching
        self.is_searching = True
        self.forget_silent(now_s)
        if self.root and not self.request_sent_s and now_s - self.registration.registered_s >= RESPONSE_TIMEOUT_S:
            self.request_root(self.root, now_s)
        target = self.search.next_target(now_s, *self.candidates(), self.registration.edge_count, self.context.rng)
        if target is not None and not (target == self.root and self.request_sent_s):
            self.send_request(target)

    def request_root(self, ip: str, now_s: float) -> None:
        """Send one request to a node that was named as the root, and wait for its answer."""
        if ip != self.root or not self.request_sent_s:
            self.root, self.request_sent_s = ip, now_s
            self.send_request(ip)

    def on_redirect(self, sender: str, root: str, now_s: float, needs_root: bool) -> None:
        """A node names the root, or says that it knows none. `needs_root`: this node is searching for it."""
        if sender == self.root and root != self.root:
            self.forget()  # it is not, or no longer, the root
        if root and root != self.context.settings.ip and (needs_root or not self.root):
            self.request_root(root, now_s)
        elif not root:
            self.on_no_root(sender)

    def on_no_root(self, ip: str) -> None:
        """A node that was asked knows no root or can't be reached: ask the next one soon."""
        group, seeds = self.candidates()
        delay_s = self.search.skip(ip, self.context.now_s(), [*group, *seeds], self.context.rng)
        if delay_s is not None:
            self.context.loop.call_later(delay_s, self.resume)
