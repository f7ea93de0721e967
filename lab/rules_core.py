"""Mutation rules for the replicated state, as described in docs/design/control-state.md and disk.md."""

from __future__ import annotations

from lab.rule_files import (
    CHAIN,
    CONSENSUS_REPLICA,
    DISK_HEALTH,
    FAILURE_DETECTION,
    HIGH_WATER_MARKS,
    LEADERSHIP,
    QUORUM_READS,
    REPAIR,
    ROLLBACK_DETECTION,
    STATE,
    STORE,
    VOTING,
)
from lab.rules import Rule

STATE_TESTS = (
    "tests/test_core_rules.py",
    "tests/test_chain_rules.py",
    "tests/test_chain.py",
    "tests/test_agreement.py::test_a_heartbeat_is_echoed_immediately",
    "tests/test_agreement.py::test_a_head_rejects_a_write_only_after_a_majority_has_confirmed_its_epoch",
    "tests/test_agreement.py::test_confirmations_of_an_epoch_do_not_count_in_the_next",
    "tests/test_agreement.py::test_a_request_is_not_forwarded_endlessly_between_two_machines",
    "tests/test_contact.py::test_a_replica_frozen_for_20_s_does_not_lead_or_answer_and_resigns",
    "tests/test_contact.py::test_after_a_short_pause_the_root_keeps_its_role_and_answers_only_after_an_echo",
    "tests/test_contact.py::test_a_partitioned_root_resigns_within_its_time_limit",
    "tests/test_contact.py::test_a_new_identity_counts_by_its_own_echo_and_not_by_earlier_ones_of_its_address",
    "tests/test_contact.py::test_nobody_proposes_without_a_majority_that_can_promise",
    "tests/test_contact.py::test_echoes_for_an_earlier_process_are_ignored",
    "tests/test_contact.py::test_a_pause_of_the_process_is_not_a_disk_stall",
    "tests/test_contact.py::test_the_repair_delay_starts_again_after_a_pause",
    "tests/test_contact.py::test_a_confirmation_that_is_read_late_answers_nothing",
)
DISK_TESTS = (
    "tests/test_disk_rules.py",
    "tests/test_store.py",
    "tests/test_disk.py::test_two_starts_from_one_copy_are_distinguished",
)


def state_rule(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = STATE_TESTS) -> Rule:
    return Rule(name, "control-state", file, text, instead, tests)


def disk_rule(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = DISK_TESTS) -> Rule:
    return Rule(name, "disk", file, text, instead, tests)


CORE_RULES = (
    state_rule(
        "a member syncs an entry before it forwards it",
        CHAIN,
        "        self.pending_callers = [(frame.request_id, frame.origin)] if frame.origin else []\n"
        "        self.persisting = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)\n"
        "        return [PersistEntry(self.persisting)]\n",
        "        self.pending_callers = [(frame.request_id, frame.origin)] if frame.origin else []\n"
        "        self.persisting = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)\n"
        "        return [PersistEntry(self.persisting), *self.synced(self.persisting, now_s)]\n",
    ),
    state_rule(
        "an entry of another epoch is ignored",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.active:\n            return []\n"
        "        if frame.number",
        "if self.sealed or not self.active:\n            return []\n        if frame.number",
    ),
    state_rule(
        "a sealed member accepts no entry",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.active:\n            return []\n"
        "        if frame.number",
        "if frame.epoch != self.view.epoch or not self.active:\n            return []\n        if frame.number",
    ),
    state_rule(
        "a member of an inactive view accepts no entry",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.active:\n            return []\n"
        "        if frame.number",
        "if frame.epoch != self.view.epoch or self.sealed:\n            return []\n        if frame.number",
    ),
    state_rule(
        "entries are accepted in sequence",
        CHAIN,
        "if self.persisting is not None or frame.number != self.number + 1:",
        "if self.persisting is not None:",
    ),
    state_rule(
        "one entry is written at a time",
        CHAIN,
        "if self.persisting is not None or frame.number != self.number + 1:",
        "if frame.number != self.number + 1:",
    ),
    state_rule(
        "a commit notice of another epoch is ignored",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:",
        "if self.sealed or not self.committed < frame.number <= self.number:",
    ),
    state_rule(
        "a commit notice for an entry that is not stored is ignored",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:",
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number:",
    ),
    state_rule(
        "a sealed member ignores commit notices",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:",
        "if frame.epoch != self.view.epoch or not self.committed < frame.number <= self.number:",
    ),
    state_rule(
        "only the tail commits when it has synced",
        CHAIN,
        "        if not self.is_tail():\n"
        "            return self.forward_to_successor(now_s)\n"
        "        self.committed = entry.number",
        "        self.committed = entry.number",
    ),
    state_rule(
        "a member that was sealed during a write sends nothing",
        CHAIN,
        "        if self.sealed:\n            return []\n        if not self.is_tail():",
        "        if not self.is_tail():",
    ),
    state_rule(
        "commit notices are passed up the chain",
        CHAIN,
        "            effects.append(SendMessage(previous, frames.CommitNotice(self.view.epoch, frame.number)))\n"
        "        # After",
        "            pass\n        # After",
    ),
    state_rule(
        "an uncommitted entry is resent",
        CHAIN,
        "if (\n"
        "            self.active\n"
        "            and not self.sealed\n"
        "            and self.number > self.committed\n"
        "            and now_s - self.forwarded_s >= RESEND_INTERVAL_S\n"
        "        ):",
        "if False:",
    ),
    state_rule(
        "a commit notice is repeated for a resent entry",
        CHAIN,
        "        if self.committed >= frame.number and previous is not None:\n"
        "            return [SendMessage(previous, frames.CommitNotice(self.view.epoch, self.committed))]\n",
        "",
    ),
    state_rule(
        "a tail that lacks reported entries publishes nothing",
        CHAIN,
        "        if self.is_tail() and not self.is_caught_up():\n            return []\n",
        "",
    ),
    state_rule(
        "the first entry of a view is committed on activation",
        CHAIN,
        "self.number if self.is_tail() else self.view.initial_number)",
        "0)",
    ),
    state_rule(
        "a promise is persisted before it is sent",
        VOTING,
        "        return [PersistPromise(frame.epoch, ip_of(frame.name))]",
        "        persist = PersistPromise(frame.epoch, ip_of(frame.name))\n"
        "        return [persist, *self.promise_persisted(frame.epoch, ip_of(frame.name))]",
    ),
    state_rule(
        "a promise never decreases",
        VOTING,
        "        if frame.epoch <= self.promised:\n            return []\n        self.state.observe_epoch",
        "        self.state.observe_epoch",
    ),
    state_rule(
        "a promise seals lower epochs",
        VOTING,
        "        self.state.seal()\n",
        "",
    ),
    state_rule(
        "a view below a promise is installed sealed",
        STATE,
        "self.chain.sealed = promised > view.epoch",
        "self.chain.sealed = False",
    ),
    state_rule(
        "a machine without a view on disk does not promise",
        VOTING,
        "if self.rollback.reason or not self.can_vote():",
        "if self.rollback.reason:",
    ),
    state_rule(
        "only the newest promise is sent",
        VOTING,
        "        if epoch != self.promised:\n            return []\n",
        "",
    ),
    state_rule(
        "a persisted promise never decreases",
        STORE,
        "set value = max(value, ?) where",
        "set value = ? where",
        DISK_TESTS,
    ),
    state_rule(
        "a view is persisted with the promise of its epoch",
        STORE,
        "            write_promise(database, view.epoch)\n",
        "",
        DISK_TESTS,
    ),
    state_rule(
        "a view below the promise is not accepted",
        CONSENSUS_REPLICA,
        "if frame.epoch < self.voter.promised or self.name not in frame.chain or self.rollback.reason:",
        "if self.name not in frame.chain or self.rollback.reason:",
    ),
    state_rule(
        "a view without this machine in its chain is not accepted",
        CONSENSUS_REPLICA,
        "if frame.epoch < self.voter.promised or self.name not in frame.chain or self.rollback.reason:",
        "if frame.epoch < self.voter.promised or self.rollback.reason:",
    ),
    state_rule(
        "a view that is being written is not written again",
        CONSENSUS_REPLICA,
        "if state.pending_view == view or (state.view is not None and state.view.epoch >= view.epoch):",
        "if state.view is not None and state.view.epoch >= view.epoch:",
    ),
    state_rule(
        "accepting a view promises its epoch",
        CONSENSUS_REPLICA,
        "        self.voter.promised = max(self.voter.promised, view.epoch)\n",
        "",
    ),
    state_rule(
        "accepting a view seals the previous one",
        CONSENSUS_REPLICA,
        "        self.voter.promised = max(self.voter.promised, view.epoch)\n        self.state.seal()\n",
        "        self.voter.promised = max(self.voter.promised, view.epoch)\n",
    ),
    state_rule(
        "the bootstrap view is accepted only by a machine without a view",
        CONSENSUS_REPLICA,
        "if has_view or self.voter.promised > view.epoch:",
        "if state.pending_view is not None:",
    ),
    state_rule(
        "a majority of the group decides on a view",
        REPAIR,
        "if len(proposal.promises) >= self.state.quorum_size(proposal.group) and not proposal.quorum_s:",
        "if not proposal.quorum_s:",
    ),
    state_rule("a majority is more than half", STATE, "return majority(len(group))", "return (len(group) + 1) // 2"),
    state_rule(
        "a view starts with the newest entry by epoch, then number",
        REPAIR,
        "key=lambda promise: (promise.entry_epoch, promise.number))",
        "key=lambda promise: (promise.number, promise.entry_epoch))",
    ),
    state_rule(
        "only promises of group members count",
        REPAIR,
        "or proposal.sent or frame.name not in proposal.group:",
        "or proposal.sent:",
    ),
    state_rule(
        "promises of another epoch are ignored",
        REPAIR,
        "if proposal is None or proposal.epoch != frame.epoch or",
        "if proposal is None or",
    ),
    state_rule(
        "a chain has enough copies and a majority of the group",
        REPAIR,
        "if len(chain) < min_members or",
        "if",
    ),
    state_rule(
        "a chain has enough copies even if a majority needs fewer",
        REPAIR,
        "min_members = max(self.state.min_copies, self.state.quorum_size(group))",
        "min_members = self.state.quorum_size(group)",
    ),
    state_rule(
        "the tail is kept in a new chain",
        REPAIR,
        "return joined + kept\n",
        "return kept + joined\n",
    ),
    state_rule(
        "no two machines propose the same epoch",
        REPAIR,
        " | group.index(state.name)",
        "",
    ),
    state_rule(
        "proposed epochs are above all epochs seen",
        CONSENSUS_REPLICA,
        "        self.state.observe_epoch(frame.promised, frame.epoch)\n",
        "",
    ),
    state_rule(
        "a view is active once all members of its chain have it",
        CONSENSUS_REPLICA,
        "if not chain.active and not chain.sealed and self.failure_detector.chain_has_installed():",
        "if not chain.active and not chain.sealed:",
    ),
    state_rule(
        "members of the chain are identified by name, not by address",
        FAILURE_DETECTION,
        "return peer is not None and peer.name == name and peer.epoch == epoch",
        "return peer is not None and peer.epoch == epoch",
    ),
    state_rule(
        "a proposal without a majority times out",
        REPAIR,
        "if now_s - proposal.started_s > PROPOSAL_TIMEOUT_S * self.backoff:",
        "if False:",
    ),
    state_rule(
        "the next proposal has more time",
        REPAIR,
        "            self.proposal = None\n            self.backoff = min(2 * self.backoff, MAX_BACKOFF)\n",
        "            self.proposal = None\n",
    ),
    state_rule(
        "a proposer waits for the remaining promises",
        REPAIR,
        "        if self.is_missing_promises(proposal, now_s) and now_s - proposal.quorum_s < PROMISE_WAIT_S:\n"
        "            return []\n",
        "",
    ),
    state_rule(
        "a view is repaired only after a delay",
        REPAIR,
        "        if now_s - self.needs_repair_since_s < self.delay_s(available.index(self.state.name)):\n"
        "            return []\n",
        "",
    ),
    state_rule(
        "nobody proposes without a majority that can promise",
        REPAIR,
        "if self.state.name not in available or len(voters) < self.state.quorum_size(view.group):",
        "if self.state.name not in available:",
    ),
    state_rule(
        "a proposer counts only members that can promise",
        REPAIR,
        "or len(voters) < self.state.quorum_size(view.group):",
        "or len(available) < self.state.quorum_size(view.group):",
    ),
    state_rule(
        "a newer view cancels the proposal",
        CONSENSUS_REPLICA,
        "        self.proposer.proposal = None  # it was based on the previous view, whose group may have another majority\n",
        "",
    ),
    state_rule(
        "a machine that learns of a newer view keeps reporting its persisted state",
        STATE,
        "        self.stored_entry, self.stored_digests = self.newest_entry(), self.applied_digests()\n",
        "",
    ),
    state_rule(
        "a newer view reported by a promise cancels the proposal",
        REPAIR,
        "if view is not None and frame.view_epoch > view.epoch:",
        "if False:",
    ),
    state_rule(
        "reads and refusals need confirmation by a majority",
        QUORUM_READS,
        "if len(read.confirmed_by) < self.state.quorum_size(view.group):",
        "if False:",
    ),
    state_rule(
        "confirmations arrive within 0.8 s",
        QUORUM_READS,
        "if read is None or now_s > read.deadline_s or view is None",
        "if read is None or view is None",
    ),
    state_rule(
        "confirmations are for the current epoch",
        QUORUM_READS,
        "or view is None or frame.epoch != view.epoch:",
        "or view is None:",
    ),
    state_rule(
        "confirmations are from members of the group",
        QUORUM_READS,
        "if frame.name in view.group and frame.name not in self.rollback.rejected:",
        "if frame.name not in self.rollback.rejected:",
    ),
    state_rule(
        "a member that promised a later epoch confirms nothing",
        VOTING,
        "if self.promised > frame.epoch or view is None",
        "if view is None",
    ),
    state_rule(
        "a sealed member answers no read",
        QUORUM_READS,
        "if chain is None or chain.sealed or not chain.is_caught_up():",
        "if chain is None or not chain.is_caught_up():",
    ),
    state_rule(
        "a member that lacks reported entries answers no read",
        QUORUM_READS,
        "if chain is None or chain.sealed or not chain.is_caught_up():",
        "if chain is None or chain.sealed:",
    ),
    state_rule(
        "a read returns only committed entries",
        QUORUM_READS,
        "entry = chain.last if chain.committed == chain.number else None",
        "entry = chain.last",
    ),
    state_rule(
        "confirmations of one epoch do not count in the next",
        CONSENSUS_REPLICA,
        "        self.state.install(view, self.voter.promised)\n        self.reads.clear()\n",
        "        self.state.install(view, self.voter.promised)\n",
    ),
    state_rule(
        "a former leader answers no read",
        CONSENSUS_REPLICA,
        "        if not self.leadership.leads(now_s):\n            return []\n        return self.reads.begin",
        "        return self.reads.begin",
    ),
    state_rule(
        "a former leader accepts no write",
        CONSENSUS_REPLICA,
        "if chain is None or not self.leadership.leads(now_s):",
        "if chain is None:",
    ),
    state_rule(
        "a request is forwarded at most twice",
        CONSENSUS_REPLICA,
        "if frame.hops < MAX_HOPS else []",
        "if True else []",
    ),
    state_rule(
        "contact dates from the echoed heartbeat",
        FAILURE_DETECTION,
        "return self.sent_s.get(frame.echoed_sequence, NEVER_S)",
        "return now_s",
    ),
    state_rule(
        "echoes for an earlier process are ignored",
        FAILURE_DETECTION,
        "self.sequence = int(random_fraction() * SEQUENCE_RANGE)",
        "self.sequence = 0",
    ),
    state_rule(
        "a lease expires without contact to a majority",
        LEADERSHIP,
        "return self.state.is_active() and self.failure_detector.has_quorum_contact(now_s)",
        "return self.state.is_active()",
    ),
    state_rule(
        "the root keeps its role without contact for a limited time",
        LEADERSHIP,
        "return now_s - contact_s <= FAILURE_TIMEOUT_S + failure_detection.LEADER_CONTACT_GRACE_S",
        "return True",
    ),
    state_rule(
        "the root keeps its role without an active view for a limited time",
        LEADERSHIP,
        "if now_s - self.last_active_tail_s >= VIEW_CHANGE_GRACE_S:",
        "if False:",
    ),
    state_rule(
        "a majority is one of the group and includes this machine",
        FAILURE_DETECTION,
        "return sorted(times_s, reverse=True)[self.state.quorum_size(view.group) - 1]",
        "return sorted(times_s, reverse=True)[0]",
    ),
    state_rule(
        "contact counts members by name",
        FAILURE_DETECTION,
        "return peer.last_alive_s if peer is not None and peer.name == name else NEVER_S",
        "return peer.last_alive_s if peer is not None else NEVER_S",
    ),
    state_rule(
        "a heartbeat is answered at once",
        CONSENSUS_REPLICA,
        "return effects + self.echo(ip, frame, now_s)",
        "return effects",
    ),
    state_rule(
        "a reply requests an echo from a peer that is not known to be alive",
        FAILURE_DETECTION,
        "due = not self.is_alive(ip, now_s) and now_s - last_s > ECHO_REQUEST_INTERVAL_S",
        "due = False",
    ),
    state_rule(
        "a pause of the process is not a disk stall",
        CONSENSUS_REPLICA,
        "            self.disk.process_paused(paused_s)\n",
        "",
    ),
    state_rule(
        "the repair delay starts again after a pause",
        CONSENSUS_REPLICA,
        "            self.disk.process_paused(paused_s)\n            self.proposer.defer()\n",
        "            self.disk.process_paused(paused_s)\n",
    ),
    state_rule(
        "a stalled write makes the disk unhealthy",
        DISK_HEALTH,
        "return not stalled and self.failed_s is None",
        "return self.failed_s is None",
    ),
    state_rule(
        "a failed write makes the disk unhealthy",
        DISK_HEALTH,
        "return not stalled and self.failed_s is None",
        "return not stalled",
    ),
    state_rule(
        "a disk that failed a write is probed",
        CONSENSUS_REPLICA,
        "            effects.append(ProbeDisk())\n",
        "            pass\n",
    ),
    state_rule(
        "a view that could not be written may be accepted again",
        CONSENSUS_REPLICA,
        "        if isinstance(write, PersistView) and self.state.pending_view == write.view:\n"
        "            self.state.pending_view = None\n",
        "",
    ),
    state_rule(
        "a member with a lost disk needs a new view",
        REPAIR,
        "        if self.failure_detector.new_identities(now_s):\n            return True\n",
        "",
    ),
    state_rule(
        "a completed write of another epoch is ignored",
        CONSENSUS_REPLICA,
        "if chain is None or chain.view.epoch != entry.epoch:",
        "if chain is None:",
    ),
)

DISK_RULES = (
    disk_rule(
        "a member that reports less than before is rejected",
        ROLLBACK_DETECTION,
        "        if known is not None and marks.is_behind(known):\n            return True\n",
        "",
    ),
    disk_rule(
        "promises of a rejected member do not count",
        REPAIR,
        "        if self.rollback.rejects(frame.name, marks):\n"
        "            return self.rollback.report_rollback(frame.name)\n",
        "",
    ),
    disk_rule(
        "a rejected member is sent what it reported before",
        CONSENSUS_REPLICA,
        "            return [*self.rollback.report_rollback(frame.name), *self.echo(ip, frame, now_s)]",
        "            return self.echo(ip, frame, now_s)",
    ),
    disk_rule(
        "a machine compares a rollback notice with its own disk",
        ROLLBACK_DETECTION,
        "behind = frame.name == self.state.name and own.is_behind(reported)",
        "behind = frame.name == self.state.name",
    ),
    disk_rule(
        "a rollback notice for another machine is ignored",
        ROLLBACK_DETECTION,
        "behind = frame.name == self.state.name and own.is_behind(reported)",
        "behind = own.is_behind(reported)",
    ),
    disk_rule(
        "a rolled-back machine seals itself",
        ROLLBACK_DETECTION,
        "        self.state.seal()\n",
        "",
    ),
    disk_rule(
        "a rolled-back machine does not promise",
        VOTING,
        "if self.rollback.reason or not self.can_vote():",
        "if not self.can_vote():",
    ),
    disk_rule(
        "a rolled-back machine accepts no view",
        CONSENSUS_REPLICA,
        "or self.name not in frame.chain or self.rollback.reason:",
        "or self.name not in frame.chain:",
    ),
    disk_rule(
        "a rolled-back machine confirms nothing",
        VOTING,
        "or view.epoch > frame.epoch or self.rollback.reason:",
        "or view.epoch > frame.epoch:",
    ),
    disk_rule(
        "a rolled-back machine reports an unhealthy disk",
        CONSENSUS_REPLICA,
        "return self.disk.works(now_s) and not self.rollback.reason",
        "return self.disk.works(now_s)",
    ),
    disk_rule(
        "entry numbers of the chain reveal a rollback within an epoch",
        CONSENSUS_REPLICA,
        "        if self.rollback.shows_rollback(frame):\n",
        "        if False:\n",
    ),
    disk_rule(
        "a predecessor in the chain may have one entry more",
        ROLLBACK_DETECTION,
        "return frame.stored_number > own.number + precedes",
        "return frame.stored_number > own.number",
    ),
    disk_rule(
        "a rolled-back machine resets its identity only once a majority has newer state",
        CONSENSUS_REPLICA,
        "return ahead >= self.state.quorum_size(view.group)",
        "return True",
    ),
    disk_rule(
        "only live members count as having newer state",
        FAILURE_DETECTION,
        "if self.is_alive(ip_of(peer.name), now_s)\n            and (peer.stored_epoch",
        "if (peer.stored_epoch",
    ),
    disk_rule(
        "the end of a view records its committed entry for the chain",
        ROLLBACK_DETECTION,
        "                self.reported[name] = replace(known, epoch=committed[0], number=committed[1])\n",
        "                pass\n",
    ),
    disk_rule(
        "a rejected member confirms nothing",
        QUORUM_READS,
        "if frame.name in view.group and frame.name not in self.rollback.rejected:",
        "if frame.name in view.group:",
    ),
    disk_rule(
        "a lower incarnation reveals an older copy",
        HIGH_WATER_MARKS,
        "            self.incarnation < reported.incarnation\n            or",
        "            False\n            or",
    ),
    disk_rule(
        "two starts from one copy are distinguished",
        HIGH_WATER_MARKS,
        "            or (self.incarnation == reported.incarnation and self.incarnation_id != reported.incarnation_id)\n",
        "",
    ),
    disk_rule(
        "a lower promise reveals an older copy",
        HIGH_WATER_MARKS,
        "            or self.promised < reported.promised\n",
        "",
    ),
    disk_rule(
        "a lower entry reveals an older copy",
        HIGH_WATER_MARKS,
        "            or (self.epoch, self.number) < (reported.epoch, reported.number)\n",
        "",
    ),
    disk_rule(
        "only persisted promises are reported",
        ROLLBACK_DETECTION,
        "        self.durable = replace(self.durable, promised=max(self.durable.promised, epoch))\n",
        "        pass\n",
    ),
    disk_rule(
        "the incarnation is reported once a write has persisted it",
        ROLLBACK_DETECTION,
        "        self.durable = replace(\n"
        "            self.durable, incarnation=self.pending.incarnation, incarnation_id=self.pending.incarnation_id\n"
        "        )\n",
        "        pass\n",
    ),
    disk_rule(
        "each start increments the incarnation",
        STORE,
        "durable_marks.incarnation + 1, secrets.randbits(INCARNATION_ID_BITS))",
        "        durable_marks.incarnation, durable_marks.incarnation_id)",
    ),
    disk_rule(
        "the first write persists the incarnation",
        STORE,
        "            if pending_marks is not None:\n                database.executemany",
        "            if False:\n                database.executemany",
    ),
    disk_rule(
        "marks of other members are persisted",
        STORE,
        'if packed != (stored[0] if stored is not None else ""):',
        "if False:",
    ),
    disk_rule(
        "changed marks cause a write, except for entry numbers",
        STORE,
        "return self.pending_marks is not None or without_numbers(self.staged_marks) != without_numbers(\n"
        "            self.stored_marks\n"
        "        )",
        "return self.pending_marks is not None or self.staged_marks != self.stored_marks",
    ),
    disk_rule(
        "a body must match its digest", STORE, "        if digest(body) != entry_digest:\n", "        if False:\n"
    ),
    disk_rule(
        "the newest entry must match the digest of its write",
        STORE,
        "if last is not None and applied_digests[last.revision] != entry_digest:",
        "if False:",
    ),
    disk_rule("all pages are checked at load", STORE, '    if report != "ok":\n', "    if False:\n"),
    disk_rule(
        "a file that is not a valid state is set aside",
        STORE,
        "            loaded = await self.run(read_all, reset=True)\n",
        "            raise\n",
    ),
    disk_rule(
        "a state is set aside under a free name",
        STORE,
        "aside = next((path for path in paths if not path.exists()), paths[-1])",
        "aside = paths[0]",
    ),
    disk_rule(
        "the database is set aside before its log",
        STORE,
        "            files.replace_file(self.path, aside)\n"
        "            files.sync_folder(self.path.parent)\n"
        "            self._move_companions(aside)\n",
        "            self._move_companions(aside)\n"
        "            files.replace_file(self.path, aside)\n"
        "            files.sync_folder(self.path.parent)\n",
    ),
    disk_rule(
        "a leftover log is not used for a new database",
        STORE,
        "            self._move_companions(\n"
        "                next((path for path in reversed(self._aside_paths()) if path.exists()), self._aside_paths()[0])\n"
        "            )\n",
        "            pass\n",
    ),
    disk_rule(
        "the state of a later version of the program is left unchanged",
        STORE,
        "        if version not in (0, FORMAT_VERSION):\n",
        "        if False:\n",
    ),
    disk_rule(
        "a failed write closes the database",
        STORE,
        "            self._close_database()\n            if isinstance(err, CorruptStateError)",
        "            if isinstance(err, CorruptStateError)",
    ),
    disk_rule("the last three bodies are kept", STORE, "(entry.number - BODIES_KEPT,))", "(entry.number,))"),
    disk_rule("no more than three bodies are kept", STORE, "(entry.number - BODIES_KEPT,))", "(-1,))"),
    disk_rule(
        "a view replaces the stored entries",
        STORE,
        '            database.execute("delete from entry")\n            write_digests',
        "            write_digests",
    ),
    disk_rule("each commit is synced", STORE, '"synchronous=full",', '"synchronous=off",'),
)
