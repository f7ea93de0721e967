"""How a node finds the root: it asks the one that it knows, and beside it one after another of all that may know it.

`root_search.py` has the order and pace of those requests. A root that was named is asked once, and has
`registration.RESPONSE_TIMEOUT_S` to answer.
"""

from __future__ import annotations

from collections.abc import Callable

from cypressbeam.distribution.context import NodeContext
from cypressbeam.distribution.fencing import EpochFence
from cypressbeam.distribution.registration import RESPONSE_TIMEOUT_S, Registration
from cypressbeam.distribution.root_search import RootSearch


class RootLocator:
    """The root's address, as far as it is known, and the search for it."""

    def __init__(
        self,
        context: NodeContext,
        fence: EpochFence,
        registration: Registration,
        ask: Callable[[str], None],
        resume: Callable[[], None],
    ) -> None:
        """`ask` sends the registration to an address; `resume` is called when the search may go on."""
        self.context = context
        self.fence = fence
        self.registration = registration
        self.send_request = ask
        self.resume = resume
        self.root = ""
        """Who has given the last assignment, or was named since, as long as it answers."""
        self.asked_s = 0.0
        """When it was asked; 0: it has answered."""
        self.search = RootSearch(context.settings.ip)
        self.is_searching = False
        self.search_count = 0
        """How many were begun."""

    def candidates(self) -> tuple[list[str], list[str]]:
        """Who may know the root: machines of the core, and the seeds."""
        group = [*self.fence.group, *self.registration.chain()]
        return group, [host for host, _ in self.context.settings.seeds]

    def confirm_root(self, ip: str) -> None:
        """The root has answered."""
        self.root, self.asked_s = ip, 0.0

    def forget(self) -> None:
        """The known root is none any more."""
        self.root, self.asked_s = "", 0.0

    def forget_if(self, ip: str) -> None:
        """The same, if it is this one."""
        if self.root == ip:
            self.forget()

    def forget_silent(self, now_s: float) -> None:
        """The same, if it has not answered in time."""
        if self.asked_s and now_s - self.asked_s >= RESPONSE_TIMEOUT_S:
            self.forget()

    def renew(self, now_s: float) -> None:
        """Register again at the root that is known; one that does not answer is searched for."""
        self.forget_silent(now_s)
        if self.root:
            self.request_root(self.root, now_s)
        else:
            self.search_step(now_s)

    def search_step(self, now_s: float) -> None:
        """Ask the root that is known, and beside it the next one that may know it."""
        self.search_count += not self.is_searching
        self.is_searching = True
        self.forget_silent(now_s)
        if self.root and not self.asked_s and now_s - self.registration.registered_s >= RESPONSE_TIMEOUT_S:
            self.request_root(self.root, now_s)
        target = self.search.next_target(now_s, *self.candidates(), self.registration.edge_count, self.context.rng)
        if target is not None and not (target == self.root and self.asked_s):
            self.send_request(target)

    def request_root(self, ip: str, now_s: float) -> None:
        """One that was named, by whomever: it is asked once, and has its time to answer."""
        if ip != self.root or not self.asked_s:
            self.root, self.asked_s = ip, now_s
            self.send_request(ip)

    def on_redirect(self, sender: str, root: str, now_s: float, seeking: bool) -> None:
        """A node names the root, or nobody. `seeking`: this node needs it now."""
        if sender == self.root and root != self.root:
            self.forget()  # it is the root no more, or not yet
        if root and root != self.context.settings.ip and (seeking or not self.root):
            self.request_root(root, now_s)
        elif not root:
            self.on_unhelpful(sender)

    def on_unhelpful(self, ip: str) -> None:
        """One that was asked names nobody, or can't be reached: the next one has its turn."""
        group, seeds = self.candidates()
        soon_s = self.search.skip(ip, self.context.now_s(), [*group, *seeds], self.context.rng)
        if soon_s is not None:
            self.context.loop.call_later(soon_s, self.resume)
