"""The rules of docs/design/fencing.md and members.md."""

from __future__ import annotations

from lab.rule_files import (
    CODEC,
    CONFIGURATION_REPLICA,
    CONTROL_API,
    CORE_MACHINE,
    ENDPOINT_LIST,
    FEED,
    FENCE,
    GATEWAY_NODE,
    LEADER_ROLE,
    MEMBERSHIP_RULES,
    NODE_REGISTRY,
    OUTLIER_REPORTS,
    POSITION,
    REGISTRATION,
    REPAIR,
    ROOT_LOCATOR,
    ROOT_SEARCH,
    SUBSCRIPTION,
    TREE_NODE,
)
from lab.rules import Rule

FENCING_TESTS = ("tests/test_fencing_rules.py", "tests/test_word_rules.py")
SEARCH_TESTS = (
    "tests/test_cuts.py::test_search_round_over_silent_nodes_ends_in_time",
    "tests/test_cuts.py::test_reply_without_a_root_ends_the_interval_only_once",
    "tests/test_cuts.py::test_request_rate_of_a_large_system_searching_for_the_root_is_limited",
)
PARTITION_TESTS = ("tests/test_cuts.py::test_node_reports_a_parent_that_is_partitioned_from_the_root",)
MEMBERSHIP_TESTS = (
    "tests/test_members.py::test_an_invalid_change_is_refused_with_its_reason",
    "tests/test_members.py::test_a_replacement_is_an_add_then_a_remove_and_its_request_may_be_sent_at_any_time",
    "tests/test_members.py::test_a_view_is_changed_to_one_other_group_only_and_not_by_a_restarted_head",
    "tests/test_member_rules.py",
)


def fencing(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = FENCING_TESTS) -> Rule:
    return Rule(name, "fencing", file, text, instead, tests)


def members(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = MEMBERSHIP_TESTS) -> Rule:
    return Rule(name, "members", file, text, instead, tests)


FENCING_RULES = (
    fencing(
        "messages of a lower epoch are rejected",
        FENCE,
        "            link.send(self.redirect())\n            return True\n",
        "            link.send(self.redirect())\n            return False\n",
    ),
    fencing(
        "the sender of a rejected message is told the current epoch",
        FENCE,
        "            link.send(self.redirect())\n            return True\n",
        "            return True\n",
    ),
    fencing(
        "the epoch never decreases",
        FENCE,
        "        if epoch > self.epoch:\n            self.epoch = epoch",
        "        if epoch != self.epoch:\n            self.epoch = epoch",
    ),
    fencing(
        "the epoch of an accepted message is recorded",
        FENCE,
        "            return True\n        self.observe(epoch)\n",
        "            return True\n",
    ),
    fencing(
        "a configuration announcement is fenced",
        CONFIGURATION_REPLICA,
        "if not self.fence.rejects(link, frame.epoch) and self.should_fetch(frame.revision, frame.digest):\n"
        "            self.fetch(link.ip)",
        "if self.should_fetch(frame.revision, frame.digest):\n            self.fetch(link.ip)",
    ),
    fencing(
        "a configuration delta is fenced",
        CONFIGURATION_REPLICA,
        "elif not self.fence.rejects(link, frame.epoch) and self.should_fetch(",
        "elif self.should_fetch(",
    ),
    fencing(
        "an endpoint update is fenced",
        TREE_NODE,
        "if link is not self.subscription.parent or self.fence.rejects(link, frame.epoch):",
        "if link is not self.subscription.parent:",
    ),
    fencing(
        "a heartbeat is fenced",
        TREE_NODE,
        "if (\n            link is not subscription.parent\n            or self.fence.rejects(link, frame.epoch)\n",
        "if (link is not subscription.parent\n",
    ),
    fencing(
        "an assignment is fenced",
        TREE_NODE,
        "if self.fence.rejects(link, frame.epoch) or self.position.is_root:",
        "if self.position.is_root:",
    ),
    fencing(
        "a redirect that names a root is fenced",
        TREE_NODE,
        "if frame.leader and self.fence.rejects(link, frame.epoch):",
        "if False:",
    ),
    fencing(
        "a redirect without a root is not answered",
        TREE_NODE,
        "if frame.leader and self.fence.rejects(link, frame.epoch):",
        "if self.fence.rejects(link, frame.epoch):",
    ),
    fencing(
        "an ejection is fenced",
        OUTLIER_REPORTS,
        "if link is self.tree.subscription.parent and not self.tree.fence.rejects(link, frame.epoch):",
        "if link is self.tree.subscription.parent:",
    ),
    fencing(
        "the epoch of a redirect is recorded",
        TREE_NODE,
        "            return\n        self.fence.observe(frame.epoch)\n        if not self.position.is_root:",
        "            return\n        if not self.position.is_root:",
    ),
    fencing(
        "the epoch of a subscription is recorded",
        FEED,
        "        fence.observe(frame.epoch)\n        if not self.position.may_have_children()",
        "        if not self.position.may_have_children()",
    ),
    fencing(
        "the epoch of a registration is recorded",
        GATEWAY_NODE,
        "        self.tree.fence.observe(frame.epoch)\n        if self.tree.position.is_root and self.core",
        "        if self.tree.position.is_root and self.core",
    ),
    fencing(
        "a heartbeat carries the root's epoch",
        FEED,
        "heartbeats.next_number(endpoints.term),\n            fence.epoch,\n        )",
        "heartbeats.next_number(endpoints.term), self.position.subscription.epoch)",
    ),
    fencing(
        "a configuration announcement carries its epoch",
        CONFIGURATION_REPLICA,
        "else frames.ConfigurationAnnouncement(self.revision, blob_digest, self.message_epoch())\n"
        "        )\n"
        "        self.announced",
        "else frames.ConfigurationAnnouncement(self.revision, blob_digest, 0))\n        self.announced",
    ),
    fencing(
        "a configuration delta carries its epoch",
        CONFIGURATION_REPLICA,
        "base_digest, inline_delta, self.message_epoch())\n            if inline_delta",
        "base_digest, inline_delta, 0) if inline_delta",
    ),
    fencing(
        "an announcement to a new child carries the current epoch",
        CONFIGURATION_REPLICA,
        "        return frames.ConfigurationAnnouncement(newest, blob_digest, self.message_epoch())",
        "        return frames.ConfigurationAnnouncement(newest, blob_digest, 0)",
    ),
    fencing(
        "a delta to a new child carries the current epoch",
        CONFIGURATION_REPLICA,
        "return replace(self.announced.message, epoch=self.message_epoch())",
        "return self.announced.message",
    ),
    fencing(
        "a node that starts a fetch announces the version with its last heartbeat's epoch",
        CONFIGURATION_REPLICA,
        "self.broadcast(frames.ConfigurationAnnouncement(revision, blob_digest, self.message_epoch()))",
        "self.broadcast(frames.ConfigurationAnnouncement(revision, blob_digest, 0))",
    ),
    fencing(
        "a node's messages carry its last heartbeat's epoch, not the highest one seen",
        POSITION,
        "return self.fence.epoch if self.is_root else self.subscription.epoch",
        "return self.fence.epoch",
    ),
    fencing(
        "a server list sent to a new child carries its epoch",
        ENDPOINT_LIST,
        "return replace(self.endpoints.snapshot(), epoch=list_epoch)",
        "return self.endpoints.snapshot()",
    ),
    fencing(
        "a server list of another epoch is not sent to children",
        ENDPOINT_LIST,
        "if not self.endpoints.sequence or list_epoch != epoch or",
        "if not self.endpoints.sequence or",
    ),
    fencing(
        "a server list that a heartbeat names is confirmed for its epoch",
        ENDPOINT_LIST,
        "            self.epoch = heartbeat.epoch\n",
        "            pass\n",
    ),
    fencing(
        "a heartbeat of an old epoch is not sent to a new child",
        FEED,
        "if heartbeat is not None and heartbeat.epoch == epoch and self.position.known_leader():",
        "if heartbeat is not None and self.position.known_leader():",
    ),
    fencing(
        "a heartbeat of a root that was not heard recently is not sent to a new child",
        FEED,
        "if heartbeat is not None and heartbeat.epoch == epoch and self.position.known_leader():",
        "if heartbeat is not None and heartbeat.epoch == epoch:",
    ),
    fencing(
        "a child waits while the local state is of an old epoch",
        FEED,
        "        if self.position.message_epoch() == fence.epoch:\n            self.serve",
        "        if True:\n            self.serve",
    ),
    fencing(
        "children that waited are served with the next heartbeat",
        FEED,
        "        for link, request in self.children.unserved():\n            self.serve(link, request)\n",
        "",
    ),
    fencing(
        "a child of a lower epoch is told the current one",
        FEED,
        "        if frame.epoch < fence.epoch:\n            link.send(fence.redirect())\n",
        "",
    ),
    fencing(
        "a registration carries the highest epoch seen",
        REGISTRATION,
        "settings.link_kbps,\n            epoch,\n            assigned_epoch,\n        )",
        "settings.link_kbps, assigned_epoch, assigned_epoch)",
    ),
    fencing(
        "a registration carries the epoch of the last assignment or heartbeat",
        REGISTRATION,
        "settings.link_kbps,\n            epoch,\n            assigned_epoch,\n        )",
        "settings.link_kbps, epoch, epoch)",
    ),
    fencing(
        "a subscription carries the highest epoch seen",
        TREE_NODE,
        "endpoints.sequence,\n            self.fence.epoch,\n        )",
        "endpoints.sequence, self.subscription.epoch)",
    ),
    fencing(
        "an assignment carries the root's epoch",
        LEADER_ROLE,
        "self.registry.assignment(frame.name, epoch,",
        "self.registry.assignment(frame.name, 0,",
    ),
    fencing(
        "changes of the server list carry the root's epoch",
        LEADER_ROLE,
        "replace(changes, epoch=tree.fence.epoch)",
        "changes",
    ),
    fencing(
        "an ejection carries the root's epoch",
        OUTLIER_REPORTS,
        "tuple(ejected), self.tree.fence.epoch))",
        "tuple(ejected)))",
    ),
    fencing(
        "an epoch is recorded only once a machine leads in it",
        CORE_MACHINE,
        "if replica.leadership.leads(self.loop.time()):\n                self.tree.fence.observe",
        "if True:\n                self.tree.fence.observe",
    ),
    fencing(
        "a machine without contact with a majority names no root",
        CORE_MACHINE,
        "return detector.has_quorum_contact(self.loop.time()) and all(",
        "return all(",
    ),
    fencing(
        "a machine that knows of a later view names no root",
        CORE_MACHINE,
        "detector.has_quorum_contact(self.loop.time()) and all(\n"
        "            peer.epoch <= view.epoch for peer in detector.peers.values()\n"
        "        )",
        "detector.has_quorum_contact(self.loop.time())",
    ),
    fencing(
        "a machine that has promised a later view or seen a higher epoch names no root",
        CORE_MACHINE,
        'return view.tail if highest_epoch <= view.epoch else ""',
        "return view.tail",
    ),
    fencing(
        "a machine outside the group names the root by the rules of other nodes",
        CORE_MACHINE,
        "if replica is None or view is None or replica.name not in view.group:\n            return self.tree",
        "if replica is None or view is None:\n            return self.tree",
    ),
    fencing(
        "a root without a majority sends no heartbeat",
        FEED,
        "        if not fence.vouched_leader():\n"
        "            self.children.broadcast(frames.KeepAlive())\n"
        "            return\n",
        "",
    ),
    fencing(
        "a root without a majority assigns no parents",
        LEADER_ROLE,
        "if not self.tree.position.is_root or not self.vouched_leader():\n            link.send",
        "if not self.tree.position.is_root:\n            link.send",
    ),
    fencing(
        "a root without a majority accepts no server list",
        LEADER_ROLE,
        "        if not self.vouched_leader():\n            return  # the actual leader polls the platform itself\n",
        "",
    ),
    fencing(
        "a root without a majority does not introduce itself to seeds",
        LEADER_ROLE,
        "        if not self.vouched_leader():\n            return\n        directory",
        "        directory",
    ),
    fencing(
        "a root without a majority sends its directory to no member",
        LEADER_ROLE,
        "            if self.vouched_leader():\n                self.replication.share(now_s)\n",
        "            self.replication.share(now_s)\n",
        tests=("tests/test_node_directory.py",),
    ),
    fencing(
        "a root without a majority accepts no children",
        POSITION,
        "return bool(self.fence.vouched_leader()) if self.is_root else",
        "return True if self.is_root else",
    ),
    fencing(
        "a node that searches for the root accepts no children",
        POSITION,
        "if self.is_root else not self.needs_root(self.context.now_s())",
        "if self.is_root else True",
    ),
    fencing(
        "a node without a parent names no root",
        POSITION,
        "if fresh and self.subscription.parent is not None and not self.is_stale() else",
        "if fresh and not self.is_stale() else",
    ),
    fencing(
        "a node names the root only if it was heard recently",
        POSITION,
        "if fresh and self.subscription.parent is not None and not self.is_stale() else",
        "if self.subscription.parent is not None and not self.is_stale() else",
    ),
    fencing(
        "a node that has seen a higher epoch names no root",
        POSITION,
        "if fresh and self.subscription.parent is not None and not self.is_stale() else",
        "if fresh and self.subscription.parent is not None else",
    ),
    fencing(
        "a superseded root resigns immediately",
        CORE_MACHINE,
        "view.epoch, epoch)\n            self.set_leadership(False)",
        "view.epoch, epoch)",
    ),
    fencing(
        "a root whose own view has the higher epoch sends a heartbeat immediately",
        CORE_MACHINE,
        "            self.tree.feed.send_heartbeat()\n",
        "            pass\n",
    ),
    fencing(
        "a machine below the highest epoch seen does not become the root",
        CORE_MACHINE,
        "if leads is self.tree.position.is_root or (leads and self.tree.fence.epoch > view.epoch):",
        "if leads is self.tree.position.is_root:",
    ),
    fencing(
        "a root that resigns unsubscribes its children",
        TREE_NODE,
        "        self.locator.forget()\n        self.registration.due_s = 0.0\n        self.children.release()\n",
        "        self.locator.forget()\n        self.registration.due_s = 0.0\n",
    ),
    fencing(
        "a tail below the highest epoch seen proposes a view",
        CORE_MACHINE,
        "self.executor.execute(proposer.propose(now_s))",
        "pass",
    ),
    fencing(
        "the view that it proposes is above the highest epoch seen",
        CORE_MACHINE,
        "            replica.state.observe_epoch(epoch)\n",
        "",
    ),
    fencing(
        "it waits a second before it proposes the view",
        CORE_MACHINE,
        "elif now_s - self.higher_epoch_since_s >= HIGHER_EPOCH_TIMEOUT_S and",
        "elif",
    ),
    fencing(
        "a root stays the root only while its replica leads",
        CORE_MACHINE,
        "leads = leadership.is_leader and self.tree.fence.epoch <= view.epoch",
        "leads = self.tree.fence.epoch <= view.epoch",
    ),
    fencing(
        "a node that does not receive the root's answers gets no children",
        NODE_REGISTRY,
        "self.is_unreachable = self.is_unreachable or now_s - self.unacknowledged_since_s >= UNREACHABLE_AFTER_S",
        "pass",
    ),
    fencing(
        "a node that receives them again may get children again",
        NODE_REGISTRY,
        "self.unacknowledged_since_s, self.is_unreachable = None, False",
        "self.unacknowledged_since_s = None",
    ),
    fencing(
        "only repeated registrations in quick succession show that",
        NODE_REGISTRY,
        "elif self.unacknowledged_since_s is None or now_s - self.seen_s > RETRY_WINDOW_S:",
        "elif self.unacknowledged_since_s is None:",
    ),
    fencing(
        "a frame with an invalid epoch is rejected",
        CODEC,
        'if code == "e" and value and not MIN_EPOCH <= value <= MAX_EPOCH:',
        "if False:",
    ),
    fencing(
        "a node without a parent searches for the root",
        POSITION,
        "return self.subscription.parent is None or self.is_stale() or",
        "return self.is_stale() or",
    ),
    fencing(
        "a node whose assignment is of an old epoch searches for the root",
        POSITION,
        "return self.subscription.parent is None or self.is_stale() or",
        "return self.subscription.parent is None or",
    ),
    fencing(
        "a node without heartbeats searches for the root",
        POSITION,
        "self.is_stale() or self.subscription.misses_heartbeat(now_s)",
        "self.is_stale()",
    ),
    fencing(
        "an assignment of the same epoch does not move a node that waits for a heartbeat",
        TREE_NODE,
        "        if awaits_heartbeat:\n            subscription.attempted_parents = -1\n            return\n",
        "",
    ),
    fencing(
        "an assignment of a higher epoch moves it",
        TREE_NODE,
        "subscription.misses_heartbeat(now_s)\n            and subscription.epoch == frame.epoch\n        )",
        "subscription.misses_heartbeat(now_s))",
    ),
    fencing(
        "a node that is named as the root is asked once",
        ROOT_LOCATOR,
        "        if ip != self.root or not self.request_sent_s:\n",
        "        if True:\n",
    ),
    fencing(
        "a root that does not answer is forgotten",
        ROOT_LOCATOR,
        "if self.request_sent_s and now_s - self.request_sent_s >= RESPONSE_TIMEOUT_S:",
        "if False:",
    ),
    fencing(
        "a known root that names another one or none is forgotten",
        ROOT_LOCATOR,
        "if sender == self.root and root != self.root:",
        "if False:",
    ),
    fencing("the group of the newest epoch is kept", FENCE, "if group and epoch >= self.group_epoch:", "if group:"),
    fencing(
        "a parent without heartbeats is left",
        SUBSCRIPTION,
        "if now_s - self.heartbeat_s > HEARTBEAT_TIMEOUT_S:",
        "if False:",
    ),
    fencing(
        "heartbeats from before a new subscription do not count",
        SUBSCRIPTION,
        "        self.source = None  # earlier heartbeats don't count: it may have been partitioned from the root since\n",
        "",
        PARTITION_TESTS,
    ),
    fencing(
        "the search does not wait for answers",
        ROOT_SEARCH,
        "interval_s = max(STEP_INTERVAL_S, node_count / MAX_REQUESTS_PER_S)",
        "interval_s = 10 * max(STEP_INTERVAL_S, node_count / MAX_REQUESTS_PER_S)",
        SEARCH_TESTS,
    ),
    fencing(
        "the nodes of a large system search at a lower rate",
        ROOT_SEARCH,
        "max(STEP_INTERVAL_S, node_count / MAX_REQUESTS_PER_S)",
        "STEP_INTERVAL_S",
        SEARCH_TESTS,
    ),
    fencing(
        "a reply without a root ends the interval",
        ROOT_SEARCH,
        "        self.due_s = now_s + delay_s\n",
        "",
        SEARCH_TESTS,
    ),
    fencing(
        "a reply without a root counts only once",
        ROOT_SEARCH,
        "        self.unanswered.discard(ip)\n",
        "",
        SEARCH_TESTS,
    ),
    fencing("an isolated node rejects control calls immediately", CONTROL_API, "if self.is_isolated():", "if False:"),
    fencing(
        "a node is isolated only after hearing from no core machine or seed for a while",
        GATEWAY_NODE,
        "return all(now_s - self.peers.last_heard_s.get(ip, 0.0) > ISOLATED_AFTER_S for ip in [*group, *seeds])",
        "return True",
    ),
    fencing(
        "a node that heard the root recently is not isolated",
        GATEWAY_NODE,
        " or now_s - heard_s < ISOLATED_AFTER_S:",
        ":",
    ),
)

MEMBERS_RULES = (
    members(
        "a member can't be added again",
        MEMBERSHIP_RULES,
        "if change.kind in (ADD, REPLACE) and change.new in change.base:",
        "if False:",
    ),
    members(
        "only a member can be removed",
        MEMBERSHIP_RULES,
        "if change.kind in (REMOVE, REPLACE) and change.old not in change.base:",
        "if False:",
    ),
    members(
        "the same request gets the same answer", MEMBERSHIP_RULES, "    if current == steps[-1]:\n", "    if False:\n"
    ),
    members(
        "a request applies only to the group that it names",
        MEMBERSHIP_RULES,
        "    if current not in steps:\n",
        "    if not steps:\n",
    ),
    members(
        "a new member must be a known spare",
        MEMBERSHIP_RULES,
        "    if name is None:\n        return ChangeDecision(NOT_FOUND",
        "    if False:\n        return ChangeDecision(NOT_FOUND",
    ),
    members(
        "a group has at most nine members", MEMBERSHIP_RULES, "if len(state.view.group) >= MAX_MEMBERS:", "if False:"
    ),
    members(
        "a new member must be caught up before it is added",
        MEMBERSHIP_RULES,
        "    if name not in state.caught_up:\n",
        "    if False:\n",
    ),
    members(
        "a removal leaves enough members", MEMBERSHIP_RULES, "    if len(group) < min_members:\n", "    if False:\n"
    ),
    members(
        "a removal leaves enough complete copies",
        MEMBERSHIP_RULES,
        "    if len(chain) < min_copies:\n",
        "    if False:\n",
    ),
    members(
        "a replacement is an add followed by a remove",
        MEMBERSHIP_RULES,
        "    target = steps[steps.index(current) + 1]\n",
        "    target = steps[-1]\n",
    ),
    members(
        "only the head of an active view changes the group",
        MEMBERSHIP_RULES,
        "return replica.state.chain is not None and replica.state.chain.is_head() and replica.leadership.leads(now_s)",
        "return replica.state.chain is not None and replica.leadership.leads(now_s)",
    ),
    members(
        "a view is followed by only one other group",
        MEMBERSHIP_RULES,
        "return installed and (\n"
        "            self.proposed_group is None or self.proposed_group[0] != epoch or self.proposed_group[1] == addresses\n"
        "        )",
        "return installed",
    ),
    members(
        "a head that restarted since its view was installed does not change the group",
        MEMBERSHIP_RULES,
        "return installed and (\n            self.proposed_group is None or",
        "return (self.proposed_group is None or",
    ),
    members(
        "the new chain contains the new member",
        REPAIR,
        "return all(name in chain for name in group if ip_of(name) not in old)",
        "return True",
    ),
    members(
        "a spare that is in the group already takes no catch-up message",
        MEMBERSHIP_RULES,
        "if frame.name != replica.name or replica.name in frame.group or stale or replica.state.pending_view is not None:",
        "if frame.name != replica.name or stale or replica.state.pending_view is not None:",
    ),
    members(
        "a catch-up message of an older view is ignored",
        MEMBERSHIP_RULES,
        "if frame.name != replica.name or replica.name in frame.group or stale or replica.state.pending_view is not None:",
        "if frame.name != replica.name or replica.name in frame.group or replica.state.pending_view is not None:",
    ),
    members(
        "a catch-up message applies only to the spare that it names",
        MEMBERSHIP_RULES,
        "if frame.name != replica.name or replica.name in frame.group or stale or replica.state.pending_view is not None:",
        "if replica.name in frame.group or stale or replica.state.pending_view is not None:",
    ),
    members(
        "a catch-up acknowledgement counts only with the body's digest",
        MEMBERSHIP_RULES,
        "        if not mismatch:\n",
        "        if True:\n",
    ),
    members(
        "a spare may lag by one entry",
        MEMBERSHIP_RULES,
        "min_number = max(number - MAX_SPARE_LAG_ENTRIES, min(number, 1))",
        "min_number = number",
    ),
    members(
        "a spare may not lag further",
        MEMBERSHIP_RULES,
        "min_number = max(number - MAX_SPARE_LAG_ENTRIES, min(number, 1))",
        "min_number = 0",
    ),
    members(
        "the group does not change during a proposal or while a new identity waits",
        MEMBERSHIP_RULES,
        "        if replica.proposer.proposal is not None or replica.failure_detector.new_identities(now_s):\n"
        "            return []\n",
        "",
    ),
)
