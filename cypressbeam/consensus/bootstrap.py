"""Bootstrap of a new system: proposes its first view (docs/design/bootstrap.md). Performs no I/O.

One of the seeds of the first start is the arbiter: the first one that takes part in the bootstrap. A machine takes part
if it was started for the first start of the system, or if its disk says that it was. One that has lost its disk does
not, and says so in its registrations; then the next seed takes over. It first has all candidates promise, on disk, to
accept no view of an earlier arbiter, and adopts a view that one of them has accepted already."""

from __future__ import annotations

from cypressbeam.consensus.effects import SendMessage
from cypressbeam.consensus.views import View, ip_of
from cypressbeam.protocol import frames

#: The epoch of the view that the first seed proposes; each later seed has the next one. Later views have higher epochs.
BOOTSTRAP_EPOCH = 1 << 8
#: The view is proposed once no further candidate has joined for this long.
CANDIDATE_WAIT_S = 0.3
#: The same for a seed that takes over. All running machines register several times in this time.
TAKEOVER_WAIT_S = 2.0
#: How often a request is sent to the machines that have not answered it.
REQUEST_INTERVAL_S = 0.4
#: The first epoch of a view that is not proposed by a bootstrap.
FIRST_REPAIR_EPOCH = 2 << 8


class Bootstrap:
    """Collects the machines with a disk and proposes the first view. Runs on each seed of a new system."""

    def __init__(self, own_ip: str, seeds: tuple[str, ...], min_members: int) -> None:
        """
        :param own_ip: the address of this machine, which is one of the seeds.
        :param seeds: the seeds of the first start, the same at all machines.
        :param min_members: how many candidates are needed before a view is proposed.
        """
        rank = seeds.index(own_ip)
        self.own_ip = own_ip
        self.epoch = BOOTSTRAP_EPOCH + rank
        self.earlier_arbiters = set(seeds[:rank])
        """Earlier seeds that may still propose a view."""
        self.is_takeover = rank > 0
        self.min_members = min_members
        self.candidates: dict[str, str] = {}
        """Member names by address."""
        self.last_change_s = 0.0
        """When a candidate joined, or an earlier seed turned out to take no part."""
        self.promised: set[str] = set()
        """Names of the candidates that accept no view of an earlier arbiter."""
        self.view: View | None = None
        self.acknowledged: set[str] = set()
        self.requested_s = 0.0
        self.is_superseded = False
        """Whether a machine has a later view, so that no first one is to be proposed any more."""

    # -- what is learned -----------------------------------------------------------------------------------

    def on_registration(self, ip: str, name: str, takes_part: bool, now_s: float) -> None:
        """Record a registration of a node without an assignment. `name` is empty if the machine has no disk."""
        if not takes_part and ip in self.earlier_arbiters:
            self.earlier_arbiters.discard(ip)
            self.last_change_s = now_s
        if name:
            self.add_candidate(name, now_s)

    def add_candidate(self, name: str, now_s: float) -> None:
        """Record a machine with a disk. One that has lost its disk has a new name, which replaces the former one."""
        if self.candidates.get(ip_of(name)) != name:
            self.candidates[ip_of(name)] = name
            self.last_change_s = now_s

    def on_promise(self, name: str, epoch: int) -> None:
        """Record that a candidate accepts no view of an earlier arbiter."""
        if epoch == self.epoch:
            self.promised.add(name)

    def on_ack(self, name: str, view: View) -> None:
        """Record that a machine has a view on disk. One that another arbiter proposed is adopted. A member that has a
        later view needs the first one no more."""
        if view.epoch >= FIRST_REPAIR_EPOCH:
            self.is_superseded = True
        elif self.view is None:
            self.adopt(view)
        is_known = name in self.acknowledged
        if self.view is not None and (view == self.view or view.epoch >= FIRST_REPAIR_EPOCH):
            self.acknowledged.add(name)
            if ip_of(name) == self.own_ip and not is_known:
                self.requested_s = 0.0  # the other members are asked without delay

    def adopt(self, view: View) -> None:
        """Complete the proposal of a view that some machine has on disk."""
        self.view = view
        self.requested_s = 0.0

    # -- what is sent --------------------------------------------------------------------------------------

    def tick(self, now_s: float) -> list[SendMessage]:
        """Propose the view once it may be; resend requests until they are answered."""
        if self.view is None:
            if not self.may_propose(now_s):
                return []
            if self.is_takeover and not self.promised.issuperset(self.candidates.values()):
                return self.prepare_messages(now_s)
            members = tuple(sorted(self.candidates.values()))
            self.adopt(View(self.epoch, members, members))
        return self.request_messages(now_s)

    def may_propose(self, now_s: float) -> bool:
        """Whether this machine is the arbiter, and has heard from enough candidates and lately from no new one."""
        wait_s = TAKEOVER_WAIT_S if self.is_takeover else CANDIDATE_WAIT_S
        return (
            not self.earlier_arbiters
            and len(self.candidates) >= self.min_members
            and now_s - self.last_change_s >= wait_s
        )

    def prepare_messages(self, now_s: float) -> list[SendMessage]:
        """Ask the candidates for their promises."""
        if not self.is_request_due(now_s):
            return []
        return [
            SendMessage(ip, frames.BootstrapPrepare(self.epoch))
            for ip, name in self.candidates.items()
            if name not in self.promised
        ]

    def request_messages(self, now_s: float) -> list[SendMessage]:
        """Ask the members to store the view. A member that proposes it stores it first, so that it proposes no other
        one after a restart."""
        assert self.view is not None
        if not self.is_request_due(now_s):
            return []
        waiting = [name for name in self.view.chain if name not in self.acknowledged]
        own = [name for name in waiting if ip_of(name) == self.own_ip]
        frame = frames.BootstrapRequest(self.view.epoch, self.view.chain)
        return [SendMessage(ip_of(name), frame) for name in own or waiting]

    def is_request_due(self, now_s: float) -> bool:
        """Whether requests are due; if so, the next ones come later."""
        if now_s - self.requested_s < REQUEST_INTERVAL_S:
            return False
        self.requested_s = now_s
        return True

    def is_done(self) -> bool:
        """Whether every member of the view has a view on disk, or there is a later view and none to complete."""
        if self.view is None:
            return self.is_superseded
        return self.acknowledged >= set(self.view.chain)
