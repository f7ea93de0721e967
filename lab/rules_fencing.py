"""What docs/design/fencing.md and members.md tell, rule by rule."""

from __future__ import annotations

from lab.rule_files import (
    CODEC,
    CONFIGURATION_REPLICA,
    CONTROL,
    ENDPOINT_LIST,
    FEED,
    FENCE,
    LEADER_ROLE,
    LOCATOR,
    MACHINE,
    MEMBERSHIP_RULES,
    NODE,
    NODE_REGISTRY,
    OUTLIERS,
    POSITION,
    REGISTRATION,
    RELAY,
    REPAIR,
    SEARCH,
    SUBSCRIPTION,
)
from lab.rules import Rule

FENCING = ("tests/test_fencing_rules.py", "tests/test_word_rules.py")
SEARCHES = (
    "tests/test_cuts.py::test_a_round_over_all_that_may_know_ends_in_time_though_all_are_silent",
    "tests/test_cuts.py::test_one_that_names_nobody_gives_way_at_once_and_only_once",
    "tests/test_cuts.py::test_a_large_fleet_that_looks_for_the_root_asks_no_more_often_than_a_small_one_can",
)
REJOINING = (
    "tests/test_cuts.py::"
    "test_a_node_whose_parent_is_cut_off_from_the_root_tells_the_root_though_that_parent_fed_it_before",
)
MEMBERSHIP = (
    "tests/test_members.py::test_an_invalid_change_is_refused_with_its_reason",
    "tests/test_members.py::test_a_replacement_is_an_add_then_a_remove_and_its_request_may_be_sent_at_any_time",
    "tests/test_members.py::test_a_view_is_changed_to_one_other_group_only_and_not_by_a_restarted_head",
    "tests/test_member_rules.py",
)


def fencing(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = FENCING) -> Rule:
    return Rule(name, "fencing", file, text, instead, tests)


def members(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = MEMBERSHIP) -> Rule:
    return Rule(name, "members", file, text, instead, tests)


FENCING_RULES = (
    fencing(
        "nothing of a lower epoch is taken",
        FENCE,
        "            link.send(self.redirect())\n            return True\n",
        "            link.send(self.redirect())\n            return False\n",
    ),
    fencing(
        "who says something of a lower epoch learns why",
        FENCE,
        "            link.send(self.redirect())\n            return True\n",
        "            return True\n",
    ),
    fencing(
        "the highest epoch holds",
        FENCE,
        "        if epoch > self.epoch:\n            self.epoch = epoch",
        "        if epoch != self.epoch:\n            self.epoch = epoch",
    ),
    fencing(
        "the epoch of whatever is taken is seen",
        FENCE,
        "            return True\n        self.observe(epoch)\n",
        "            return True\n",
    ),
    fencing(
        "news is fenced",
        CONFIGURATION_REPLICA,
        "if not self.fence.rejects(link, frame.epoch) and self.should_fetch(frame.revision, frame.digest):\n"
        "            self.fetch(link.ip)",
        "if self.should_fetch(frame.revision, frame.digest):\n            self.fetch(link.ip)",
    ),
    fencing(
        "an update is fenced",
        CONFIGURATION_REPLICA,
        "elif not self.fence.rejects(link, frame.epoch) and self.should_fetch(",
        "elif self.should_fetch(",
    ),
    fencing(
        "the list is fenced",
        RELAY,
        "if link is not self.subscription.parent or self.fence.rejects(link, frame.epoch):",
        "if link is not self.subscription.parent:",
    ),
    fencing(
        "a beat is fenced",
        RELAY,
        "if (\n            link is not subscription.parent\n            or self.fence.rejects(link, frame.epoch)\n",
        "if (link is not subscription.parent\n",
    ),
    fencing(
        "a place is fenced",
        RELAY,
        "if self.fence.rejects(link, frame.epoch) or self.position.is_root:",
        "if self.position.is_root:",
    ),
    fencing(
        "a root that is named is fenced",
        RELAY,
        "if frame.leader and self.fence.rejects(link, frame.epoch):",
        "if False:",
    ),
    fencing(
        "who names nobody is not answered",
        RELAY,
        "if frame.leader and self.fence.rejects(link, frame.epoch):",
        "if self.fence.rejects(link, frame.epoch):",
    ),
    fencing(
        "a verdict is fenced",
        OUTLIERS,
        "if link is self.tree.subscription.parent and not self.tree.fence.rejects(link, frame.epoch):",
        "if link is self.tree.subscription.parent:",
    ),
    fencing(
        "an epoch that is told with a reference is seen",
        RELAY,
        "            return\n        self.fence.observe(frame.epoch)\n        if not self.position.is_root:",
        "            return\n        if not self.position.is_root:",
    ),
    fencing(
        "an epoch that a child tells is seen",
        FEED,
        "        fence.observe(frame.epoch)\n        if not self.position.may_have_children()",
        "        if not self.position.may_have_children()",
    ),
    fencing(
        "an epoch that a join tells is seen",
        NODE,
        "        self.tree.fence.observe(frame.epoch)\n        if self.tree.position.is_root and self.core",
        "        if self.tree.position.is_root and self.core",
    ),
    fencing(
        "a beat carries the root's epoch",
        FEED,
        "heartbeats.next_number(listing.term),\n            fence.epoch,\n        )",
        "heartbeats.next_number(listing.term), self.position.subscription.epoch)",
    ),
    fencing(
        "news carries the epoch under which it stands",
        CONFIGURATION_REPLICA,
        "else frames.ConfigurationAnnouncement(self.revision, blob_digest, self.epoch_of_statements())\n"
        "        )\n"
        "        self.announced",
        "else frames.ConfigurationAnnouncement(self.revision, blob_digest, 0))\n        self.announced",
    ),
    fencing(
        "a small change carries the epoch",
        CONFIGURATION_REPLICA,
        "former, brief, self.epoch_of_statements())\n            if brief",
        "former, brief, 0) if brief",
    ),
    fencing(
        "what a child lacks is told under the epoch of now",
        CONFIGURATION_REPLICA,
        "        return frames.ConfigurationAnnouncement(newest, blob_digest, self.epoch_of_statements())",
        "        return frames.ConfigurationAnnouncement(newest, blob_digest, 0)",
    ),
    fencing(
        "a small change that a child lacks is told under the epoch of now",
        CONFIGURATION_REPLICA,
        "return replace(self.announced.message, epoch=self.epoch_of_statements())",
        "return self.announced.message",
    ),
    fencing(
        "a relay that begins to fetch tells of it under its beat's epoch",
        CONFIGURATION_REPLICA,
        "self.broadcast(frames.ConfigurationAnnouncement(revision, blob_digest, self.epoch_of_statements()))",
        "self.broadcast(frames.ConfigurationAnnouncement(revision, blob_digest, 0))",
    ),
    fencing(
        "a node's own news stands under its beat's epoch, not under what it has seen",
        POSITION,
        "return self.fence.epoch if self.is_root else self.subscription.epoch",
        "return self.fence.epoch",
    ),
    fencing(
        "the list that a child lacks is told under its epoch",
        ENDPOINT_LIST,
        "return replace(self.endpoints.snapshot(), epoch=in_force)",
        "return self.endpoints.snapshot()",
    ),
    fencing(
        "a list of another epoch is told to nobody",
        ENDPOINT_LIST,
        "if not self.endpoints.sequence or in_force != epoch or",
        "if not self.endpoints.sequence or",
    ),
    fencing(
        "a list that a beat confirms is in force",
        ENDPOINT_LIST,
        "            self.epoch = heartbeat.epoch\n",
        "            pass\n",
    ),
    fencing(
        "a beat of an epoch that is over is passed to no child",
        FEED,
        "if beat is not None and beat.epoch == epoch and self.position.known_leader():",
        "if beat is not None and self.position.known_leader():",
    ),
    fencing(
        "a beat of a root whose word is old is passed to no child",
        FEED,
        "if beat is not None and beat.epoch == epoch and self.position.known_leader():",
        "if beat is not None and beat.epoch == epoch:",
    ),
    fencing(
        "a child waits while the news here is of an epoch that is over",
        FEED,
        "        if self.position.epoch_of_statements() == fence.epoch:\n            self.serve",
        "        if True:\n            self.serve",
    ),
    fencing(
        "children that waited are served with the next beat",
        FEED,
        "        for link, had in self.children.unserved():\n            self.serve(link, had)\n",
        "",
    ),
    fencing(
        "a child of a lower epoch learns the higher one",
        FEED,
        "        if frame.epoch < fence.epoch:\n            link.send(fence.redirect())\n",
        "",
    ),
    fencing(
        "a join tells the highest epoch seen",
        REGISTRATION,
        "max(int(settings.link_mbps * 1000), 1),\n            epoch,\n            given,\n        )",
        "max(int(settings.link_mbps * 1000), 1), given, given)",
    ),
    fencing(
        "a join tells under which epoch its sender was given a place or a beat",
        REGISTRATION,
        "max(int(settings.link_mbps * 1000), 1),\n            epoch,\n            given,\n        )",
        "max(int(settings.link_mbps * 1000), 1), epoch, epoch)",
    ),
    fencing(
        "an attach tells the highest epoch seen",
        RELAY,
        "listing.term, listing.sequence, self.fence.epoch\n        )",
        "listing.term, listing.sequence,\n                             self.subscription.epoch)",
    ),
    fencing(
        "a place carries the root's epoch",
        LEADER_ROLE,
        "self.registry.assignment(frame.name, epoch,",
        "self.registry.assignment(frame.name, 0,",
    ),
    fencing(
        "changes of the list carry the root's epoch",
        LEADER_ROLE,
        "replace(changes, epoch=relay.fence.epoch)",
        "changes",
    ),
    fencing("a verdict carries the root's epoch", OUTLIERS, "tuple(found), self.tree.fence.epoch))", "tuple(found)))"),
    fencing(
        "an epoch counts as seen only once somebody leads in it",
        MACHINE,
        "if replica.leadership.leads(self.loop.time()):\n                self.tree.fence.observe",
        "if True:\n                self.tree.fence.observe",
    ),
    fencing(
        "a machine without a majority names nobody",
        MACHINE,
        "return detector.has_quorum_contact(self.loop.time()) and all(",
        "return all(",
    ),
    fencing(
        "a machine that knows of a later view names nobody",
        MACHINE,
        "detector.has_quorum_contact(self.loop.time()) and all(\n"
        "            peer.epoch <= view.epoch for peer in detector.peers.values()\n"
        "        )",
        "detector.has_quorum_contact(self.loop.time())",
    ),
    fencing(
        "a machine that has promised a later view, or seen a higher epoch, names nobody",
        MACHINE,
        'return view.tail if highest_epoch <= view.epoch else ""',
        "return view.tail",
    ),
    fencing(
        "a machine without a part in the group names the root by hearsay rules",
        MACHINE,
        "if replica is None or view is None or replica.name not in view.group:\n            return self.tree",
        "if replica is None or view is None:\n            return self.tree",
    ),
    fencing(
        "a root without a majority sends no beat",
        FEED,
        "        if not fence.vouched_leader():\n"
        "            self.children.broadcast(frames.KeepAlive())\n"
        "            return\n",
        "",
    ),
    fencing(
        "a root without a majority places nobody",
        LEADER_ROLE,
        "if not self.tree.position.is_root or not self.vouched_leader():\n            link.send",
        "if not self.tree.position.is_root:\n            link.send",
    ),
    fencing(
        "a root without a majority takes up no list",
        LEADER_ROLE,
        "        if not self.vouched_leader():\n            return  # whoever leads by now asks the platform too\n",
        "",
    ),
    fencing(
        "a root without a majority names itself to no seed",
        LEADER_ROLE,
        "        if not self.vouched_leader():\n            return\n        known",
        "        known",
    ),
    fencing(
        "a root without a majority takes no children",
        POSITION,
        "return bool(self.fence.vouched_leader()) if self.is_root else",
        "return True if self.is_root else",
    ),
    fencing(
        "a relay that looks for the root takes no children",
        POSITION,
        "if self.is_root else not self.needs_root(self.context.now_s())",
        "if self.is_root else True",
    ),
    fencing(
        "a node without a parent names nobody",
        POSITION,
        "if fresh and self.subscription.parent is not None and not self.is_stale() else",
        "if fresh and not self.is_stale() else",
    ),
    fencing(
        "a node names the root by a fresh word only",
        POSITION,
        "if fresh and self.subscription.parent is not None and not self.is_stale() else",
        "if self.subscription.parent is not None and not self.is_stale() else",
    ),
    fencing(
        "a node that has seen a higher epoch names nobody",
        POSITION,
        "if fresh and self.subscription.parent is not None and not self.is_stale() else",
        "if fresh and self.subscription.parent is not None else",
    ),
    fencing(
        "a root that is over resigns at once",
        MACHINE,
        "view.epoch, epoch)\n            self.set_leadership(False)",
        "view.epoch, epoch)",
    ),
    fencing(
        "a root whose own view is the higher one tells so at once",
        MACHINE,
        "            self.tree.feed.send_heartbeat()\n",
        "            pass\n",
    ),
    fencing(
        "a machine below what was seen does not become the root",
        MACHINE,
        "if leads is self.tree.position.is_root or (leads and self.tree.fence.epoch > view.epoch):",
        "if leads is self.tree.position.is_root:",
    ),
    fencing(
        "a root that resigns lets its children go",
        RELAY,
        "        self.locator.forget()\n        self.registration.due_s = 0.0\n        self.children.release()\n",
        "        self.locator.forget()\n        self.registration.due_s = 0.0\n",
    ),
    fencing(
        "a tail below what nodes have seen proposes a view",
        MACHINE,
        "self.executor.execute(proposer.propose(now_s))",
        "pass",
    ),
    fencing(
        "that view is above what nodes have seen",
        MACHINE,
        "            replica.state.observe_epoch(epoch)\n",
        "",
    ),
    fencing(
        "it waits a second before that", MACHINE, "elif now_s - self.higher_epoch_since_s >= HIGHER_EPOCH_S and", "elif"
    ),
    fencing(
        "a root is the root only as long as its replica says so",
        MACHINE,
        "leads = leadership.is_leader and self.tree.fence.epoch <= view.epoch",
        "leads = self.tree.fence.epoch <= view.epoch",
    ),
    fencing(
        "one that does not hear the root feeds nobody",
        NODE_REGISTRY,
        "self.is_deaf = self.is_deaf or now_s - self.unacknowledged_since_s >= DEAF_S",
        "pass",
    ),
    fencing(
        "one that hears it again feeds others again",
        NODE_REGISTRY,
        "self.unacknowledged_since_s, self.is_deaf = None, False",
        "self.unacknowledged_since_s = None",
    ),
    fencing(
        "only joins again and again show that",
        NODE_REGISTRY,
        "elif self.unacknowledged_since_s is None or now_s - self.seen_s > RETRY_WINDOW_S:",
        "elif self.unacknowledged_since_s is None:",
    ),
    fencing(
        "an epoch that cannot be is no frame",
        CODEC,
        'if form == "e" and value and not MIN_EPOCH <= value <= MAX_EPOCH:',
        "if False:",
    ),
    fencing(
        "a node without a parent looks for the root",
        POSITION,
        "return self.subscription.parent is None or self.is_stale() or",
        "return self.is_stale() or",
    ),
    fencing(
        "a node whose place is of an epoch that is over looks for the root",
        POSITION,
        "return self.subscription.parent is None or self.is_stale() or",
        "return self.subscription.parent is None or",
    ),
    fencing(
        "a node without a beat looks for the root",
        POSITION,
        "self.is_stale() or self.subscription.misses_heartbeat(now_s)",
        "self.is_stale()",
    ),
    fencing(
        "a place of the same epoch moves nobody who waits for a beat",
        RELAY,
        "        if waits:\n            subscription.attempted_parents = -1\n            return\n",
        "",
    ),
    fencing(
        "one of a higher epoch does",
        RELAY,
        "subscription.misses_heartbeat(now_s)\n            and subscription.epoch == frame.epoch\n        )",
        "subscription.misses_heartbeat(now_s))",
    ),
    fencing(
        "a root that is named is asked once",
        LOCATOR,
        "        if ip != self.root or not self.asked_s:\n",
        "        if True:\n",
    ),
    fencing(
        "a root that does not answer is forgotten",
        LOCATOR,
        "if self.asked_s and now_s - self.asked_s >= RESPONSE_TIMEOUT_S:",
        "if False:",
    ),
    fencing(
        "one that says that it is not the root is none",
        LOCATOR,
        "if sender == self.root and root != self.root:",
        "if False:",
    ),
    fencing(
        "the group is known by the newest word on it", FENCE, "if group and epoch >= self.group_epoch:", "if group:"
    ),
    fencing(
        "a parent without a beat is left",
        SUBSCRIPTION,
        "if now_s - self.heartbeat_s > HEARTBEAT_TIMEOUT_S:",
        "if False:",
    ),
    fencing(
        "a parent that is taken anew was never heard",
        SUBSCRIPTION,
        "        self.source = None  # what it gave before says nothing: it may be cut off from the root since\n",
        "",
        REJOINING,
    ),
    fencing(
        "a step of the search does not wait for an answer",
        SEARCH,
        "step_s = max(STEP_INTERVAL_S, fleet / MAX_REQUESTS_PER_S)",
        "step_s = 10 * max(STEP_INTERVAL_S, fleet / MAX_REQUESTS_PER_S)",
        SEARCHES,
    ),
    fencing(
        "a large fleet asks more slowly",
        SEARCH,
        "max(STEP_INTERVAL_S, fleet / MAX_REQUESTS_PER_S)",
        "STEP_INTERVAL_S",
        SEARCHES,
    ),
    fencing("one that names nobody ends its step", SEARCH, "        self.due_s = now_s + soon_s\n", "", SEARCHES),
    fencing("and only once", SEARCH, "        self.unanswered.discard(ip)\n", "", SEARCHES),
    fencing("a node that reaches nobody refuses control calls at once", CONTROL, "if self.is_isolated():", "if False:"),
    fencing(
        "it is alone only after it has heard nobody for a while",
        NODE,
        "return all(now_s - self.peers.last_heard_s.get(ip, 0.0) > ISOLATED_AFTER_S for ip in [*group, *seeds])",
        "return True",
    ),
    fencing("and only when the root's word is old", NODE, " or now_s - heard_s < ISOLATED_AFTER_S:", ":"),
)

MEMBERS_RULES = (
    members(
        "a member is no newcomer",
        MEMBERSHIP_RULES,
        "if change.kind in (ADD, REPLACE) and change.new in change.base:",
        "if False:",
    ),
    members(
        "who is no member is not let go",
        MEMBERSHIP_RULES,
        "if change.kind in (REMOVE, REPLACE) and change.old not in change.base:",
        "if False:",
    ),
    members(
        "the same order gets the same answer", MEMBERSHIP_RULES, "    if current == steps[-1]:\n", "    if False:\n"
    ),
    members(
        "an order is for the group that it names",
        MEMBERSHIP_RULES,
        "    if current not in steps:\n",
        "    if not steps:\n",
    ),
    members(
        "a newcomer must stand by",
        MEMBERSHIP_RULES,
        "    if name is None:\n        return ChangeDecision(NOT_FOUND",
        "    if False:\n        return ChangeDecision(NOT_FOUND",
    ),
    members("nine members are the most", MEMBERSHIP_RULES, "if len(state.view.group) >= MAX_MEMBERS:", "if False:"),
    members(
        "a newcomer is level before it counts",
        MEMBERSHIP_RULES,
        "    if name not in state.caught_up:\n",
        "    if False:\n",
    ),
    members("enough members are left", MEMBERSHIP_RULES, "    if len(group) < min_members:\n", "    if False:\n"),
    members("enough whole copies are left", MEMBERSHIP_RULES, "    if len(chain) < min_copies:\n", "    if False:\n"),
    members(
        "one address at a time: an add, then a remove",
        MEMBERSHIP_RULES,
        "    target = steps[steps.index(current) + 1]\n",
        "    target = steps[-1]\n",
    ),
    members(
        "only the head of an active view steps",
        MEMBERSHIP_RULES,
        "return replica.state.chain is not None and replica.state.chain.is_head() and replica.leadership.leads(now_s)",
        "return replica.state.chain is not None and replica.leadership.leads(now_s)",
    ),
    members(
        "to one other group only",
        MEMBERSHIP_RULES,
        "return installed and (\n"
        "            self.proposed_group is None or self.proposed_group[0] != epoch or self.proposed_group[1] == addresses\n"
        "        )",
        "return installed",
    ),
    members(
        "not from memory that a restart has emptied",
        MEMBERSHIP_RULES,
        "return installed and (\n            self.proposed_group is None or",
        "return (self.proposed_group is None or",
    ),
    members(
        "the new chain holds the newcomer",
        REPAIR,
        "return all(name in chain for name in group if ip_of(name) not in old)",
        "return True",
    ),
    members(
        "one that stands by and is in the group already is not levelled",
        MEMBERSHIP_RULES,
        "if frame.name != replica.name or replica.name in frame.group or stale or replica.state.pending_view is not None:",
        "if frame.name != replica.name or stale or replica.state.pending_view is not None:",
    ),
    members(
        "a level of an older view is not taken",
        MEMBERSHIP_RULES,
        "if frame.name != replica.name or replica.name in frame.group or stale or replica.state.pending_view is not None:",
        "if frame.name != replica.name or replica.name in frame.group or replica.state.pending_view is not None:",
    ),
    members(
        "a level is for the one that it names",
        MEMBERSHIP_RULES,
        "if frame.name != replica.name or replica.name in frame.group or stale or replica.state.pending_view is not None:",
        "if replica.name in frame.group or stale or replica.state.pending_view is not None:",
    ),
    members(
        "it tells that it is level only with the body's digest",
        MEMBERSHIP_RULES,
        "        if not mismatch:\n",
        "        if True:\n",
    ),
    members(
        "a stand-by may be one entry behind",
        MEMBERSHIP_RULES,
        "min_number = max(number - MAX_SPARE_LAG_ENTRIES, min(number, 1))",
        "min_number = number",
    ),
    members(
        "and no more",
        MEMBERSHIP_RULES,
        "min_number = max(number - MAX_SPARE_LAG_ENTRIES, min(number, 1))",
        "min_number = 0",
    ),
    members(
        "no step while a proposal is under way or a newcomer waits",
        MEMBERSHIP_RULES,
        "        if replica.proposer.proposal is not None or replica.failure_detector.new_identities(now_s):\n"
        "            return []\n",
        "",
    ),
)
