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
        "a member syncs before it passes on",
        CHAIN,
        "        self.pending_callers = [(frame.request_id, frame.origin)] if frame.origin else []\n"
        "        self.persisting = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)\n"
        "        return [PersistEntry(self.persisting)]\n",
        "        self.pending_callers = [(frame.request_id, frame.origin)] if frame.origin else []\n"
        "        self.persisting = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)\n"
        "        return [PersistEntry(self.persisting), *self.synced(self.persisting, now_s)]\n",
    ),
    state_rule(
        "entries of another epoch are refused",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.active:\n            return []\n"
        "        if frame.number",
        "if self.sealed or not self.active:\n            return []\n        if frame.number",
    ),
    state_rule(
        "a sealed member takes no entry",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.active:\n            return []\n"
        "        if frame.number",
        "if frame.epoch != self.view.epoch or not self.active:\n            return []\n        if frame.number",
    ),
    state_rule(
        "nor one whose view is not active",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.active:\n            return []\n"
        "        if frame.number",
        "if frame.epoch != self.view.epoch or self.sealed:\n            return []\n        if frame.number",
    ),
    state_rule(
        "entries come in their order",
        CHAIN,
        "if self.persisting is not None or frame.number != self.number + 1:",
        "if self.persisting is not None:",
    ),
    state_rule(
        "one write at a time",
        CHAIN,
        "if self.persisting is not None or frame.number != self.number + 1:",
        "if frame.number != self.number + 1:",
    ),
    state_rule(
        "word of another epoch commits nothing",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:",
        "if self.sealed or not self.committed < frame.number <= self.number:",
    ),
    state_rule(
        "nor word of what is not here",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:",
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number:",
    ),
    state_rule(
        "a sealed member commits nothing",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:",
        "if frame.epoch != self.view.epoch or not self.committed < frame.number <= self.number:",
    ),
    state_rule(
        "only the tail commits by its sync",
        CHAIN,
        "        if not self.is_tail():\n"
        "            return self.forward_to_successor(now_s)\n"
        "        self.committed = entry.number",
        "        self.committed = entry.number",
    ),
    state_rule(
        "one that was sealed while it wrote says nothing",
        CHAIN,
        "        if self.sealed:\n            return []\n        if not self.is_tail():",
        "        if not self.is_tail():",
    ),
    state_rule(
        "word of a commit goes up the chain",
        CHAIN,
        "            effects.append(SendMessage(previous, frames.CommitNotice(self.view.epoch, frame.number)))\n"
        "        # After",
        "            pass\n        # After",
    ),
    state_rule(
        "an entry that is not committed is sent again",
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
        "one that is known already is told of again",
        CHAIN,
        "        if self.committed >= frame.number and previous is not None:\n"
        "            return [SendMessage(previous, frames.CommitNotice(self.view.epoch, self.committed))]\n",
        "",
    ),
    state_rule(
        "a tail that lacks what others told publishes nothing",
        CHAIN,
        "        if self.is_tail() and not self.is_caught_up():\n            return []\n",
        "",
    ),
    state_rule(
        "what a view began with is committed once it is active",
        CHAIN,
        "self.number if self.is_tail() else self.view.initial_number)",
        "0)",
    ),
    state_rule(
        "a promise is on disk before it is told",
        VOTING,
        "        return [PersistPromise(frame.epoch, ip_of(frame.name))]",
        "        persist = PersistPromise(frame.epoch, ip_of(frame.name))\n"
        "        return [persist, *self.promise_persisted(frame.epoch, ip_of(frame.name))]",
    ),
    state_rule(
        "a promise never goes down",
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
        "a view that was promised over is held sealed",
        STATE,
        "self.chain.sealed = promised > view.epoch",
        "self.chain.sealed = False",
    ),
    state_rule(
        "a machine without a view on its disk promises nothing",
        VOTING,
        "if self.rollback.reason or not self.can_vote():",
        "if self.rollback.reason:",
    ),
    state_rule(
        "only the newest promise is told",
        VOTING,
        "        if epoch != self.promised:\n            return []\n",
        "",
    ),
    state_rule(
        "a promise on disk never goes down", STORE, "set value = max(value, ?) where", "set value = ? where", DISK_TESTS
    ),
    state_rule(
        "a view takes its epoch's promise with it to disk",
        STORE,
        "            write_promise(database, view.epoch)\n",
        "",
        DISK_TESTS,
    ),
    state_rule(
        "a view below the promise is not taken up",
        CONSENSUS_REPLICA,
        "if frame.epoch < self.voter.promised or self.name not in frame.chain or self.rollback.reason:",
        "if self.name not in frame.chain or self.rollback.reason:",
    ),
    state_rule(
        "nor one without this machine in its chain",
        CONSENSUS_REPLICA,
        "if frame.epoch < self.voter.promised or self.name not in frame.chain or self.rollback.reason:",
        "if frame.epoch < self.voter.promised or self.rollback.reason:",
    ),
    state_rule(
        "a view that is being taken up is written once",
        CONSENSUS_REPLICA,
        "if state.pending_view == view or (state.view is not None and state.view.epoch >= view.epoch):",
        "if state.view is not None and state.view.epoch >= view.epoch:",
    ),
    state_rule(
        "to accept a view is to promise its epoch",
        CONSENSUS_REPLICA,
        "        self.voter.promised = max(self.voter.promised, view.epoch)\n",
        "",
    ),
    state_rule(
        "and to seal the view before it",
        CONSENSUS_REPLICA,
        "        self.voter.promised = max(self.voter.promised, view.epoch)\n        self.state.seal()\n",
        "        self.voter.promised = max(self.voter.promised, view.epoch)\n",
    ),
    state_rule(
        "the founding view is taken up by a machine that has none",
        CONSENSUS_REPLICA,
        "if state.view is not None or state.pending_view is not None or self.voter.promised:",
        "if state.pending_view is not None:",
    ),
    state_rule(
        "a majority of the group decides",
        REPAIR,
        "if len(proposal.promises) >= self.state.quorum_size(proposal.group) and not proposal.quorum_s:",
        "if not proposal.quorum_s:",
    ),
    state_rule("more than half is a majority", STATE, "return majority(len(group))", "return (len(group) + 1) // 2"),
    state_rule(
        "the newest entry by epoch, then number, is what a view begins with",
        REPAIR,
        "key=lambda promise: (promise.entry_epoch, promise.number))",
        "key=lambda promise: (promise.number, promise.entry_epoch))",
    ),
    state_rule(
        "promises count by members of the group only",
        REPAIR,
        "or proposal.sent or frame.name not in proposal.group:",
        "or proposal.sent:",
    ),
    state_rule(
        "promises of another epoch count for nothing",
        REPAIR,
        "if proposal is None or proposal.epoch != frame.epoch or",
        "if proposal is None or",
    ),
    state_rule(
        "a chain has enough copies and a majority",
        REPAIR,
        "if len(chain) < min_members or",
        "if",
    ),
    state_rule(
        "enough copies, though fewer were a majority",
        REPAIR,
        "min_members = max(self.state.min_copies, self.state.quorum_size(group))",
        "min_members = self.state.quorum_size(group)",
    ),
    state_rule(
        "the tail stays where it was",
        REPAIR,
        "return joined + kept\n",
        "return kept + joined\n",
    ),
    state_rule(
        "no two machines propose one epoch",
        REPAIR,
        " | group.index(state.name)",
        "",
    ),
    state_rule(
        "an epoch is above all that were seen",
        CONSENSUS_REPLICA,
        "        self.state.observe_epoch(frame.promised, frame.epoch)\n",
        "",
    ),
    state_rule(
        "a view is active once all of its chain hold it",
        CONSENSUS_REPLICA,
        "if not chain.active and not chain.sealed and self.failure_detector.chain_has_installed():",
        "if not chain.active and not chain.sealed:",
    ),
    state_rule(
        "by their names, not their addresses",
        FAILURE_DETECTION,
        "return peer is not None and peer.name == name and peer.epoch == epoch",
        "return peer is not None and peer.epoch == epoch",
    ),
    state_rule(
        "a proposal that gathers too few lapses",
        REPAIR,
        "if now_s - proposal.started_s > PROPOSAL_TIMEOUT_S * self.backoff:",
        "if False:",
    ),
    state_rule(
        "the next one has more time",
        REPAIR,
        "            self.proposal = None\n            self.backoff = min(2 * self.backoff, MAX_BACKOFF)\n",
        "            self.proposal = None\n",
    ),
    state_rule(
        "a proposer gives the others time to promise",
        REPAIR,
        "        if self.is_missing_promises(proposal, now_s) and now_s - proposal.quorum_s < PROMISE_WAIT_S:\n"
        "            return []\n",
        "",
    ),
    state_rule(
        "what is wrong must stay wrong for a while",
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
        "a machine that hears of a newer view drops its proposal",
        CONSENSUS_REPLICA,
        "        self.proposer.proposal = None  # it was based on the previous view, whose group may have another majority\n",
        "",
    ),
    state_rule(
        "and still tells what is on its disk",
        STATE,
        "        self.stored_entry, self.stored_digests = self.newest_entry(), self.applied_digests()\n",
        "",
    ),
    state_rule(
        "a proposer that hears of a newer view by a promise drops its own",
        REPAIR,
        "if view is not None and frame.view_epoch > view.epoch:",
        "if False:",
    ),
    state_rule(
        "reads and refusals need a majority's word",
        QUORUM_READS,
        "if len(read.confirmed_by) < self.state.quorum_size(view.group):",
        "if False:",
    ),
    state_rule(
        "within 0.8 s",
        QUORUM_READS,
        "if read is None or now_s > read.deadline_s or view is None",
        "if read is None or view is None",
    ),
    state_rule(
        "on this epoch",
        QUORUM_READS,
        "or view is None or frame.epoch != view.epoch:",
        "or view is None:",
    ),
    state_rule(
        "of members",
        QUORUM_READS,
        "if frame.name in view.group and frame.name not in self.rollback.rejected:",
        "if frame.name not in self.rollback.rejected:",
    ),
    state_rule(
        "a later promise confirms nothing",
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
        "nor one that lacks what others told",
        QUORUM_READS,
        "if chain is None or chain.sealed or not chain.is_caught_up():",
        "if chain is None or chain.sealed:",
    ),
    state_rule(
        "a read tells only what is committed",
        QUORUM_READS,
        "entry = chain.last if chain.committed == chain.number else None",
        "entry = chain.last",
    ),
    state_rule(
        "what was confirmed of an epoch does not count in the next",
        CONSENSUS_REPLICA,
        "        self.state.install(view, self.voter.promised)\n        self.reads.clear()\n",
        "        self.state.install(view, self.voter.promised)\n",
    ),
    state_rule(
        "who leads no more answers no read",
        CONSENSUS_REPLICA,
        "        if not self.leadership.leads(now_s):\n            return []\n        return self.reads.begin",
        "        return self.reads.begin",
    ),
    state_rule(
        "nor takes an order",
        CONSENSUS_REPLICA,
        "if chain is None or not self.leadership.leads(now_s):",
        "if chain is None:",
    ),
    state_rule(
        "a call goes on from machine to machine twice at most",
        CONSENSUS_REPLICA,
        "if frame.hops < MAX_HOPS else []",
        "if True else []",
    ),
    state_rule(
        "contact is as old as the pulse that was echoed",
        FAILURE_DETECTION,
        "return self.sent_s.get(frame.echoed_sequence, NEVER_S)",
        "return now_s",
    ),
    state_rule(
        "echoes of a former life prove nothing",
        FAILURE_DETECTION,
        "self.sequence = int(random_fraction() * SEQUENCE_RANGE)",
        "self.sequence = 0",
    ),
    state_rule(
        "a lease runs out",
        LEADERSHIP,
        "return self.state.is_active() and self.failure_detector.has_quorum_contact(now_s)",
        "return self.state.is_active()",
    ),
    state_rule(
        "the root stays it for a bounded time without contact",
        LEADERSHIP,
        "return now_s - contact_s <= FAILURE_TIMEOUT_S + failure_detection.LEADER_CONTACT_GRACE_S",
        "return True",
    ),
    state_rule(
        "and without an active view",
        LEADERSHIP,
        "if now_s - self.last_active_tail_s >= VIEW_CHANGE_GRACE_S:",
        "if False:",
    ),
    state_rule(
        "a majority is one of the group, this machine with it",
        FAILURE_DETECTION,
        "return sorted(times_s, reverse=True)[self.state.quorum_size(view.group) - 1]",
        "return sorted(times_s, reverse=True)[0]",
    ),
    state_rule(
        "contact is with members by their names",
        FAILURE_DETECTION,
        "return peer.last_alive_s if peer is not None and peer.name == name else NEVER_S",
        "return peer.last_alive_s if peer is not None else NEVER_S",
    ),
    state_rule(
        "a pulse is answered at once",
        CONSENSUS_REPLICA,
        "return effects + self.echo(ip, frame, now_s)",
        "return effects",
    ),
    state_rule(
        "one that was not heard lately is asked in turn",
        FAILURE_DETECTION,
        "due = not self.is_alive(ip, now_s) and now_s - last_s > ECHO_REQUEST_INTERVAL_S",
        "due = False",
    ),
    state_rule(
        "a stall of the process is none of its disk",
        CONSENSUS_REPLICA,
        "            self.disk.process_paused(paused_s)\n",
        "",
    ),
    state_rule(
        "what seemed wrong before a stall must be seen again",
        CONSENSUS_REPLICA,
        "            self.disk.process_paused(paused_s)\n            self.proposer.defer()\n",
        "            self.disk.process_paused(paused_s)\n",
    ),
    state_rule(
        "a write that does not come back is a disk that does not work",
        DISK_HEALTH,
        "return not stalled and self.failed_s is None",
        "return self.failed_s is None",
    ),
    state_rule(
        "a refused write is one too",
        DISK_HEALTH,
        "return not stalled and self.failed_s is None",
        "return not stalled",
    ),
    state_rule(
        "a disk that refused is tried again",
        CONSENSUS_REPLICA,
        "            effects.append(ProbeDisk())\n",
        "            pass\n",
    ),
    state_rule(
        "a view that could not be written may be offered again",
        CONSENSUS_REPLICA,
        "        if isinstance(write, PersistView) and self.state.pending_view == write.view:\n"
        "            self.state.pending_view = None\n",
        "",
    ),
    state_rule(
        "a lost disk is a newcomer",
        REPAIR,
        "        if self.failure_detector.new_identities(now_s):\n            return True\n",
        "",
    ),
    state_rule(
        "a write of another epoch counts for nothing",
        CONSENSUS_REPLICA,
        "if chain is None or chain.view.epoch != entry.epoch:",
        "if chain is None:",
    ),
)

DISK_RULES = (
    disk_rule(
        "who tells less than it told is not heard",
        ROLLBACK_DETECTION,
        "        if known is not None and marks.is_behind(known):\n            return True\n",
        "",
    ),
    disk_rule(
        "nor do its promises count",
        REPAIR,
        "        if self.rollback.rejects(frame.name, marks):\n"
        "            return self.rollback.report_rollback(frame.name)\n",
        "",
    ),
    disk_rule(
        "it is told what it told",
        CONSENSUS_REPLICA,
        "            return [*self.rollback.report_rollback(frame.name), *self.echo(ip, frame, now_s)]",
        "            return self.echo(ip, frame, now_s)",
    ),
    disk_rule(
        "a machine judges itself by its own disk",
        ROLLBACK_DETECTION,
        "behind = frame.name == self.state.name and own.is_behind(reported)",
        "behind = frame.name == self.state.name",
    ),
    disk_rule(
        "an accusation of another machine is none",
        ROLLBACK_DETECTION,
        "behind = frame.name == self.state.name and own.is_behind(reported)",
        "behind = own.is_behind(reported)",
    ),
    disk_rule(
        "one whose disk is older seals itself",
        ROLLBACK_DETECTION,
        "        self.state.seal()\n",
        "",
    ),
    disk_rule(
        "it promises nothing",
        VOTING,
        "if self.rollback.reason or not self.can_vote():",
        "if not self.can_vote():",
    ),
    disk_rule(
        "takes up no view",
        CONSENSUS_REPLICA,
        "or self.name not in frame.chain or self.rollback.reason:",
        "or self.name not in frame.chain:",
    ),
    disk_rule(
        "confirms nothing",
        VOTING,
        "or view.epoch > frame.epoch or self.rollback.reason:",
        "or view.epoch > frame.epoch:",
    ),
    disk_rule(
        "tells that its disk does not work",
        CONSENSUS_REPLICA,
        "return self.disk.works(now_s) and not self.rollback.reason",
        "return self.disk.works(now_s)",
    ),
    disk_rule(
        "within an epoch the numbers of the chain show a loss",
        CONSENSUS_REPLICA,
        "        if self.rollback.shows_rollback(frame):\n",
        "        if False:\n",
    ),
    disk_rule(
        "one before it in the chain may have one more",
        ROLLBACK_DETECTION,
        "return frame.stored_number > own.number + precedes",
        "return frame.stored_number > own.number",
    ),
    disk_rule(
        "it starts anew only once a majority has something newer",
        CONSENSUS_REPLICA,
        "return ahead >= self.state.quorum_size(view.group)",
        "return True",
    ),
    disk_rule(
        "others count as newer only while they are heard",
        FAILURE_DETECTION,
        "if self.is_alive(ip_of(peer.name), now_s)\n            and (peer.stored_epoch",
        "if (peer.stored_epoch",
    ),
    disk_rule(
        "as a view ends what was committed in it is known of its chain",
        ROLLBACK_DETECTION,
        "                self.reported[name] = replace(known, epoch=committed[0], number=committed[1])\n",
        "                pass\n",
    ),
    disk_rule(
        "the word of a refused member confirms nothing",
        QUORUM_READS,
        "if frame.name in view.group and frame.name not in self.rollback.rejected:",
        "if frame.name in view.group:",
    ),
    disk_rule(
        "a lower incarnation is an older copy",
        HIGH_WATER_MARKS,
        "            self.incarnation < reported.incarnation\n            or",
        "            False\n            or",
    ),
    disk_rule(
        "two starts from one copy are told apart",
        HIGH_WATER_MARKS,
        "            or (self.incarnation == reported.incarnation and self.incarnation_id != reported.incarnation_id)\n",
        "",
    ),
    disk_rule(
        "a lower promise is an older copy", HIGH_WATER_MARKS, "            or self.promised < reported.promised\n", ""
    ),
    disk_rule(
        "a lower entry is an older copy",
        HIGH_WATER_MARKS,
        "            or (self.epoch, self.number) < (reported.epoch, reported.number)\n",
        "",
    ),
    disk_rule(
        "only what is on disk is told",
        ROLLBACK_DETECTION,
        "        self.durable = replace(self.durable, promised=max(self.durable.promised, epoch))\n",
        "        pass\n",
    ),
    disk_rule(
        "the incarnation is told once a write has put it on disk",
        ROLLBACK_DETECTION,
        "        self.durable = replace(\n"
        "            self.durable, incarnation=self.pending.incarnation, incarnation_id=self.pending.incarnation_id\n"
        "        )\n",
        "        pass\n",
    ),
    disk_rule(
        "each start raises the incarnation",
        STORE,
        "durable_marks.incarnation + 1, secrets.randbits(INCARNATION_ID_BITS))",
        "        durable_marks.incarnation, durable_marks.incarnation_id)",
    ),
    disk_rule(
        "with the first write",
        STORE,
        "            if pending_marks is not None:\n                database.executemany",
        "            if False:\n                database.executemany",
    ),
    disk_rule(
        "what others told goes to disk", STORE, 'if packed != (stored[0] if stored is not None else ""):', "if False:"
    ),
    disk_rule(
        "by itself too, but for numbers of entries",
        STORE,
        "return self.pending_marks is not None or without_numbers(self.staged_marks) != without_numbers(\n"
        "            self.stored_marks\n"
        "        )",
        "return self.pending_marks is not None or self.staged_marks != self.stored_marks",
    ),
    disk_rule(
        "a body is what its digest says", STORE, "        if digest(body) != entry_digest:\n", "        if False:\n"
    ),
    disk_rule(
        "the newest entry is the one that was taken",
        STORE,
        "if last is not None and applied_digests[last.revision] != entry_digest:",
        "if False:",
    ),
    disk_rule("all pages are checked at load", STORE, '    if report != "ok":\n', "    if False:\n"),
    disk_rule(
        "what is no state is set aside",
        STORE,
        "            loaded = await self.run(read_all, reset=True)\n",
        "            raise\n",
    ),
    disk_rule(
        "under a name that is free",
        STORE,
        "aside = next((path for path in paths if not path.exists()), paths[-1])",
        "aside = paths[0]",
    ),
    disk_rule(
        "the database first, then its log",
        STORE,
        "            files.replace_file(self.path, aside)\n"
        "            files.sync_folder(self.path.parent)\n"
        "            self._move_companions(aside)\n",
        "            self._move_companions(aside)\n"
        "            files.replace_file(self.path, aside)\n"
        "            files.sync_folder(self.path.parent)\n",
    ),
    disk_rule(
        "a log that was left beside is not the new database's",
        STORE,
        "            self._move_companions(\n"
        "                next((path for path in reversed(self._aside_paths()) if path.exists()), self._aside_paths()[0])\n"
        "            )\n",
        "            pass\n",
    ),
    disk_rule(
        "the state of a later program is left alone",
        STORE,
        "        if version not in (0, FORMAT_VERSION):\n",
        "        if False:\n",
    ),
    disk_rule(
        "a refused write closes the database",
        STORE,
        "            self._close_database()\n            if isinstance(err, CorruptStateError)",
        "            if isinstance(err, CorruptStateError)",
    ),
    disk_rule("the last three bodies are kept", STORE, "(entry.number - BODIES_KEPT,))", "(entry.number,))"),
    disk_rule("and no more", STORE, "(entry.number - BODIES_KEPT,))", "(-1,))"),
    disk_rule(
        "a view replaces what was there",
        STORE,
        '            database.execute("delete from entry")\n            write_digests',
        "            write_digests",
    ),
    disk_rule("each commit is synced", STORE, '"synchronous=full",', '"synchronous=off",'),
)
