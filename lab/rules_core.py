"""What docs/design/control-state.md and disk.md tell, rule by rule."""

from __future__ import annotations

from lab.rules import Rule

AGREEMENT = "cypressbeam/consensus/replica.py"
CHAIN = "cypressbeam/consensus/chain.py"
MARKS = "cypressbeam/consensus/rollback_detection.py"
STORE = "cypressbeam/storage/store.py"
CORE = (
    "tests/test_core_rules.py",
    "tests/test_chain_rules.py",
    "tests/test_chain.py",
    "tests/test_agreement.py::test_a_member_that_waits_for_the_others_hears_them_at_once",
    "tests/test_agreement.py::test_a_head_names_the_version_in_force_only_once_others_have_confirmed_its_epoch",
    "tests/test_agreement.py::test_what_others_confirmed_of_an_epoch_does_not_count_in_the_next",
    "tests/test_agreement.py::test_a_call_does_not_go_round_between_two_that_hold_each_other_for_the_head",
    "tests/test_contact.py::test_one_that_was_frozen_for_20_s_leads_nothing_answers_nothing_and_resigns",
    "tests/test_contact.py::test_after_a_short_stall_the_root_stays_it_and_answers_only_once_it_is_echoed",
    "tests/test_contact.py::test_a_root_that_is_cut_off_is_it_for_no_longer_than_its_bound",
    "tests/test_contact.py::test_a_newcomer_counts_once_it_has_echoed_and_not_by_what_its_address_echoed_before",
    "tests/test_contact.py::test_nobody_proposes_while_too_few_are_there_that_can_promise",
    "tests/test_contact.py::test_echoes_of_a_former_life_prove_nothing",
    "tests/test_contact.py::test_a_stall_of_the_process_is_none_of_its_disk",
    "tests/test_contact.py::test_what_seemed_wrong_before_a_stall_must_be_seen_again_after_it",
    "tests/test_contact.py::test_a_majority_s_word_that_is_read_late_answers_nothing",
)
DISKS = (
    "tests/test_disk_rules.py",
    "tests/test_store.py",
    "tests/test_disk.py::test_two_starts_from_one_copy_are_told_apart",
)


def state(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = CORE) -> Rule:
    return Rule(name, "control-state", file, text, instead, tests)


def disk(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = DISKS) -> Rule:
    return Rule(name, "disk", file, text, instead, tests)


CORE_RULES = (
    state(
        "a member syncs before it passes on",
        CHAIN,
        "        self.pending_callers = [(frame.request_id, frame.origin)] if frame.origin else []\n"
        "        self.persisting = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)\n"
        "        return [PersistEntry(self.persisting)]\n",
        "        self.pending_callers = [(frame.request_id, frame.origin)] if frame.origin else []\n"
        "        self.persisting = Entry(frame.number, frame.epoch, frame.revision, frame.base, frame.body)\n"
        "        return [PersistEntry(self.persisting), *self.synced(self.persisting, now_s)]\n",
    ),
    state(
        "entries of another epoch are refused",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.active:\n            return []\n"
        "        if frame.number",
        "if self.sealed or not self.active:\n            return []\n        if frame.number",
    ),
    state(
        "a sealed member takes no entry",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.active:\n            return []\n"
        "        if frame.number",
        "if frame.epoch != self.view.epoch or not self.active:\n            return []\n        if frame.number",
    ),
    state(
        "nor one whose view is not active",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.active:\n            return []\n"
        "        if frame.number",
        "if frame.epoch != self.view.epoch or self.sealed:\n            return []\n        if frame.number",
    ),
    state(
        "entries come in their order",
        CHAIN,
        "if self.persisting is not None or frame.number != self.number + 1:",
        "if self.persisting is not None:",
    ),
    state(
        "one write at a time",
        CHAIN,
        "if self.persisting is not None or frame.number != self.number + 1:",
        "if frame.number != self.number + 1:",
    ),
    state(
        "word of another epoch commits nothing",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:",
        "if self.sealed or not self.committed < frame.number <= self.number:",
    ),
    state(
        "nor word of what is not here",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:",
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number:",
    ),
    state(
        "a sealed member commits nothing",
        CHAIN,
        "if frame.epoch != self.view.epoch or self.sealed or not self.committed < frame.number <= self.number:",
        "if frame.epoch != self.view.epoch or not self.committed < frame.number <= self.number:",
    ),
    state(
        "only the tail commits by its sync",
        CHAIN,
        "        if not self.is_tail():\n"
        "            return self.forward_to_successor(now_s)\n"
        "        self.committed = entry.number",
        "        self.committed = entry.number",
    ),
    state(
        "one that was sealed while it wrote says nothing",
        CHAIN,
        "        if self.sealed:\n            return []\n        if not self.is_tail():",
        "        if not self.is_tail():",
    ),
    state(
        "word of a commit goes up the chain",
        CHAIN,
        "            actions.append(SendMessage(previous, frames.CommitNotice(self.view.epoch, frame.number)))\n"
        "        # After",
        "            pass\n        # After",
    ),
    state(
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
    state(
        "one that is known already is told of again",
        CHAIN,
        "        if self.committed >= frame.number and previous is not None:\n"
        "            return [SendMessage(previous, frames.CommitNotice(self.view.epoch, self.committed))]\n",
        "",
    ),
    state(
        "a tail that lacks what others told publishes nothing",
        CHAIN,
        "        if self.is_tail() and not self.is_caught_up():\n            return []\n",
        "",
    ),
    state(
        "what a view began with is committed once it is active",
        CHAIN,
        "self.number if self.is_tail() else self.view.initial_number)",
        "0)",
    ),
    state(
        "a promise is on disk before it is told",
        AGREEMENT,
        "        self.writes.append(now_s)\n        return [SavePromise(frame.epoch, ip_of(frame.name))]",
        "        self.writes.append(now_s)\n        return [SavePromise(frame.epoch, ip_of(frame.name)), "
        "*self.promise_saved(frame.epoch, ip_of(frame.name), now_s)]",
    ),
    state(
        "a promise never goes down",
        AGREEMENT,
        "        if frame.epoch <= self.promised:\n            return []\n        self.seen_epoch",
        "        self.seen_epoch",
    ),
    state(
        "a promise seals lower epochs",
        AGREEMENT,
        "        self.promised, self.promised_since = frame.epoch, frame.digests_since\n"
        "        if self.member is not None:\n"
        "            self.member.sealed = True\n",
        "        self.promised, self.promised_since = frame.epoch, frame.digests_since\n",
    ),
    state(
        "a view that was promised over is held sealed",
        AGREEMENT,
        "self.member.sealed = self.promised > view.epoch",
        "self.member.sealed = False",
    ),
    state(
        "a machine without a view on its disk promises nothing",
        AGREEMENT,
        "if self.lacks or not self.may_promise():",
        "if self.lacks:",
    ),
    state(
        "only the newest promise is told",
        AGREEMENT,
        "        if epoch != self.promised:\n            return []\n        view = self.view",
        "        view = self.view",
    ),
    state("a promise on disk never goes down", STORE, "set value = max(value, ?) where", "set value = ? where", DISKS),
    state(
        "a view takes its epoch's promise with it to disk",
        STORE,
        "            write_promise(database, view.epoch)\n",
        "",
        DISKS,
    ),
    state(
        "a view below the promise is not taken up",
        AGREEMENT,
        "if frame.epoch < self.promised or self.name not in frame.chain or self.lacks:",
        "if self.name not in frame.chain or self.lacks:",
    ),
    state(
        "nor one without this machine in its chain",
        AGREEMENT,
        "if frame.epoch < self.promised or self.name not in frame.chain or self.lacks:",
        "if frame.epoch < self.promised or self.lacks:",
    ),
    state(
        "a view that is being taken up is written once",
        AGREEMENT,
        "if self.accepting == view or (self.view is not None and self.view.epoch >= view.epoch):",
        "if self.view is not None and self.view.epoch >= view.epoch:",
    ),
    state(
        "to accept a view is to promise its epoch",
        AGREEMENT,
        "        self.promised = max(self.promised, view.epoch)\n        if self.member",
        "        if self.member",
    ),
    state(
        "and to seal the view before it",
        AGREEMENT,
        "        self.promised = max(self.promised, view.epoch)\n        if self.member is not None:\n"
        "            self.member.sealed = True\n",
        "        self.promised = max(self.promised, view.epoch)\n",
    ),
    state(
        "the founding view is taken up by a machine that has none",
        AGREEMENT,
        "if self.view is not None or self.accepting is not None or self.promised or self.name not in view.chain:",
        "if self.accepting is not None or self.name not in view.chain:",
    ),
    state(
        "a majority of the group decides",
        AGREEMENT,
        "if len(proposal.promises) >= self.majority(proposal.group) and not proposal.enough_s:",
        "if not proposal.enough_s:",
    ),
    state("more than half is a majority", AGREEMENT, "return len(group) // 2 + 1", "return (len(group) + 1) // 2"),
    state(
        "the newest entry by epoch, then number, is what a view begins with",
        AGREEMENT,
        "key=lambda promise: (promise.entry_epoch, promise.number))",
        "key=lambda promise: (promise.number, promise.entry_epoch))",
    ),
    state(
        "promises count by members of the group only",
        AGREEMENT,
        "or proposal.sent or frame.name not in proposal.group:",
        "or proposal.sent:",
    ),
    state(
        "promises of another epoch count for nothing",
        AGREEMENT,
        "if proposal is None or proposal.epoch != frame.epoch or",
        "if proposal is None or",
    ),
    state(
        "a chain has enough copies and a majority",
        AGREEMENT,
        "if len(members) < max(self.copies, self.majority(group)) or",
        "if",
    ),
    state(
        "enough copies, though fewer were a majority",
        AGREEMENT,
        "max(self.copies, self.majority(group))",
        "self.majority(group)",
    ),
    state(
        "the tail stays where it was",
        AGREEMENT,
        "members = [name for name in group if name in there and name not in kept] + kept",
        "members = kept + [name for name in group if name in there and name not in kept]",
    ),
    state(
        "no two machines propose one epoch",
        AGREEMENT,
        "(self.seen_epoch >> 8) + 1 << 8 | group.index(self.name)",
        "(self.seen_epoch >> 8) + 1 << 8",
    ),
    state(
        "an epoch is above all that were seen",
        AGREEMENT,
        "        self.seen_epoch = max(self.seen_epoch, frame.promised, frame.epoch)\n        actions",
        "        actions",
    ),
    state(
        "a view is active once all of its chain hold it",
        AGREEMENT,
        "if not member.active and not member.sealed and self.all_hold(now_s):",
        "if not member.active and not member.sealed:",
    ),
    state(
        "by their names, not their addresses",
        AGREEMENT,
        "                and heard.name == name\n                and heard.epoch == self.view.epoch\n            )",
        "                                         and heard.epoch == self.view.epoch)",
    ),
    state(
        "a proposal that gathers too few lapses",
        AGREEMENT,
        "if now_s - proposal.began_s > PROPOSAL_S * self.patience:",
        "if False:",
    ),
    state(
        "the next one has more time",
        AGREEMENT,
        "            self.proposal = None\n            self.patience = min(2 * self.patience, MOST_PATIENCE)\n",
        "            self.proposal = None\n",
    ),
    state(
        "a proposer gives the others time to promise",
        AGREEMENT,
        "        if missing and now_s - proposal.enough_s < GATHER_S:\n            return []\n",
        "",
    ),
    state(
        "what is wrong must stay wrong for a while",
        AGREEMENT,
        "        if now_s - self.wrong_since_s < wait_s:\n            return []\n",
        "",
    ),
    state(
        "nobody proposes without a majority that can promise",
        AGREEMENT,
        "if self.name not in present or len(able) < self.majority(view.group) or self.proposal is not None:",
        "if self.name not in present or self.proposal is not None:",
    ),
    state(
        "a proposer counts only members that can promise",
        AGREEMENT,
        "or len(able) < self.majority(view.group) or",
        "or len(present) < self.majority(view.group) or",
    ),
    state(
        "a machine that hears of a newer view drops its proposal",
        AGREEMENT,
        "        self.proposal = None  # it was to follow on another view, and its majority is that of another group\n",
        "",
    ),
    state(
        "and still tells what is on its disk",
        AGREEMENT,
        "        self.last, self.taken = self.newest(), self.all_taken()\n",
        "",
    ),
    state(
        "a proposer that hears of a newer view by a promise drops its own",
        AGREEMENT,
        "if self.view is not None and frame.view_epoch > self.view.epoch:",
        "if False:",
    ),
    state(
        "reads and refusals need a majority's word",
        AGREEMENT,
        "            len(asked.names) < self.majority(self.view.group)\n            or member is None\n",
        "            member is None\n",
    ),
    state(
        "within 0.8 s",
        AGREEMENT,
        "if asked is None or now_s > asked.due_s or self.view is None or frame.epoch != self.view.epoch:",
        "if asked is None or self.view is None or frame.epoch != self.view.epoch:",
    ),
    state(
        "on this epoch",
        AGREEMENT,
        "if asked is None or now_s > asked.due_s or self.view is None or frame.epoch != self.view.epoch:",
        "if asked is None or now_s > asked.due_s or self.view is None:",
    ),
    state(
        "of members",
        AGREEMENT,
        "if frame.name in self.view.group and frame.name not in self.refused:",
        "if frame.name not in self.refused:",
    ),
    state(
        "a later promise confirms nothing",
        AGREEMENT,
        "if self.promised > frame.epoch or self.view is None or self.view.epoch > frame.epoch or self.lacks:",
        "if self.view is None or self.view.epoch > frame.epoch or self.lacks:",
    ),
    state(
        "a sealed member answers no read",
        AGREEMENT,
        "            or member.sealed\n            or not member.is_caught_up()\n",
        "            or not member.is_caught_up()\n",
    ),
    state(
        "nor one that lacks what others told",
        AGREEMENT,
        "            or member.sealed\n            or not member.is_caught_up()\n",
        "            or member.sealed\n",
    ),
    state(
        "a read tells only what is committed",
        AGREEMENT,
        "entry = member.last if member.committed == member.number else None",
        "entry = member.last",
    ),
    state(
        "what was confirmed of an epoch does not count in the next",
        AGREEMENT,
        "        self.reads.clear()  # what others have confirmed was the epoch before; callers ask again\n",
        "",
    ),
    state(
        "who leads no more answers no read",
        AGREEMENT,
        "return self.confirm(frame.request_id, frame.origin, None, now_s) if self.leads(now_s) else []",
        "return self.confirm(frame.request_id, frame.origin, None, now_s)",
    ),
    state(
        "nor takes an order",
        AGREEMENT,
        "        if self.member is None or not self.leads(now_s):\n"
        "            return []\n"
        "        return self.note_syncs(self.member.submit",
        "        if self.member is None:\n            return []\n        return self.note_syncs(self.member.submit",
    ),
    state(
        "a call goes on from machine to machine twice at most",
        AGREEMENT,
        "if frame.hops < MOST_HOPS else []",
        "if True else []",
    ),
    state(
        "contact is as old as the pulse that was echoed",
        AGREEMENT,
        "return self.sent.get(frame.echoed_sequence, NEVER_S)",
        "return now_s",
    ),
    state(
        "echoes of a former life prove nothing",
        AGREEMENT,
        "self.pulse_number = int(jitter() * (1 << 40))",
        "self.pulse_number = 0",
    ),
    state(
        "a lease runs out",
        AGREEMENT,
        "return self.stands() and now_s - self.contact_s(now_s) <= DEAD_S",
        "return self.stands()",
    ),
    state(
        "the root stays it for a bounded time without contact",
        AGREEMENT,
        " and now_s - self.contact_s(now_s) <= DEAD_S + ROOT_ALONE_S\n",
        "\n",
    ),
    state(
        "and without an active view",
        AGREEMENT,
        "return now_s - self.root_s < ROOT_GRACE_S and",
        "return True and",
    ),
    state(
        "a majority is one of the group, this machine with it",
        AGREEMENT,
        "return sorted(times_s, reverse=True)[self.majority(self.view.group) - 1]",
        "return sorted(times_s, reverse=True)[0]",
    ),
    state(
        "contact is with members by their names",
        AGREEMENT,
        "if (heard := self.heard.get(ip_of(name))) is not None and heard.name == name\n            else NEVER_S",
        "if (heard := self.heard.get(ip_of(name))) is not None else NEVER_S",
    ),
    state("a pulse is answered at once", AGREEMENT, "return actions + self.echo(ip, frame, now_s)", "return actions"),
    state(
        "one that was not heard lately is asked in turn",
        AGREEMENT,
        "asks = not self.heard_lately(ip, now_s) and now_s - self.asked_s.get(ip, NEVER_S) > ANSWER_S",
        "asks = False",
    ),
    state(
        "a stall of the process is none of its disk",
        AGREEMENT,
        "            self.writes = [began_s + still_s for began_s in self.writes]\n",
        "",
    ),
    state(
        "what seemed wrong before a stall must be seen again",
        AGREEMENT,
        "            self.wrong_since_s = None\n\n    def tick",
        "\n    def tick",
    ),
    state(
        "a write that does not come back is a disk that does not work",
        AGREEMENT,
        "return not stalled and self.disk_failed_s is None and not self.lacks",
        "return self.disk_failed_s is None and not self.lacks",
    ),
    state(
        "a refused write is one too",
        AGREEMENT,
        "return not stalled and self.disk_failed_s is None and not self.lacks",
        "return not stalled and not self.lacks",
    ),
    state(
        "a disk that refused is tried again",
        AGREEMENT,
        "            actions.append(TryDisk())\n        if self.view",
        "            pass\n        if self.view",
    ),
    state(
        "a view that could not be written may be offered again",
        AGREEMENT,
        "            self.accepting = None\n"
        "        actions: list[Action] = []\n"
        "        if isinstance(what, PersistEntry)",
        "            pass\n        actions: list[ChainEffect] = []\n        if isinstance(what, PersistEntry)",
    ),
    state("a lost disk is a newcomer", AGREEMENT, "        if self.newcomers(now_s):\n            return True\n", ""),
    state(
        "a write of another epoch counts for nothing",
        AGREEMENT,
        "if self.member is None or self.member.view.epoch != entry.epoch:",
        "if self.member is None:",
    ),
)

DISK_RULES = (
    disk(
        "who tells less than it told is not heard",
        AGREEMENT,
        "        if known is not None and told.is_behind(known):\n            return True\n",
        "",
    ),
    disk(
        "nor do its promises count",
        AGREEMENT,
        "        if self.refuses(\n"
        "            frame.name, HighWaterMarks(frame.incarnation, frame.draw, frame.epoch, frame.stored_epoch, frame.number)\n"
        "        ):\n"
        "            return self.accuse(frame.name)\n",
        "",
    ),
    disk(
        "it is told what it told",
        AGREEMENT,
        "            return [*self.accuse(frame.name), *self.echo(ip, frame, now_s)]",
        "            return self.echo(ip, frame, now_s)",
    ),
    disk(
        "a machine judges itself by its own disk",
        AGREEMENT,
        "if frame.name == self.name and own.is_behind(told):",
        "if frame.name == self.name:",
    ),
    disk(
        "an accusation of another machine is none",
        AGREEMENT,
        "if frame.name == self.name and own.is_behind(told):",
        "if own.is_behind(told):",
    ),
    disk(
        "one whose disk is older seals itself",
        AGREEMENT,
        "        self.lacks = self.lacks or why\n        if self.member is not None:\n"
        "            self.member.sealed = True\n",
        "        self.lacks = self.lacks or why\n",
    ),
    disk("it promises nothing", AGREEMENT, "if self.lacks or not self.may_promise():", "if not self.may_promise():"),
    disk(
        "takes up no view",
        AGREEMENT,
        "or self.name not in frame.chain or self.lacks:",
        "or self.name not in frame.chain:",
    ),
    disk(
        "confirms nothing",
        AGREEMENT,
        "or self.view.epoch > frame.epoch or self.lacks:",
        "or self.view.epoch > frame.epoch:",
    ),
    disk(
        "tells that its disk does not work",
        AGREEMENT,
        "return not stalled and self.disk_failed_s is None and not self.lacks",
        "return not stalled and self.disk_failed_s is None",
    ),
    disk(
        "within an epoch the numbers of the chain show a loss",
        AGREEMENT,
        "        if self.shows_a_loss(frame):\n",
        "        if False:\n",
    ),
    disk(
        "one before it in the chain may have one more",
        AGREEMENT,
        "return frame.stored_number > own.number + before",
        "return frame.stored_number > own.number",
    ),
    disk(
        "it starts anew only once a majority has something newer",
        AGREEMENT,
        "if self.lacks and self.newer(now_s) >= self.majority(self.view.group):",
        "if self.lacks:",
    ),
    disk(
        "others count as newer only while they are heard",
        AGREEMENT,
        "            if self.heard_lately(ip_of(heard.name), now_s) and (heard.held",
        "                   if (heard.held",
    ),
    disk(
        "as a view ends what was committed in it is known of its chain",
        AGREEMENT,
        "                self.marks[name] = replace(known, epoch=has[0], number=has[1])\n",
        "                pass\n",
    ),
    disk(
        "the word of a refused member confirms nothing",
        AGREEMENT,
        "if frame.name in self.view.group and frame.name not in self.refused:",
        "if frame.name in self.view.group:",
    ),
    disk(
        "a lower incarnation is an older copy",
        MARKS,
        "return (\n            self.incarnation < told.incarnation\n            or",
        "return (False\n                or",
    ),
    disk(
        "two starts from one copy are told apart",
        MARKS,
        "or (self.incarnation == told.incarnation and self.incarnation_id != told.incarnation_id)",
        "",
    ),
    disk("a lower promise is an older copy", MARKS, "            or self.promised < told.promised\n", ""),
    disk(
        "a lower entry is an older copy",
        MARKS,
        "            or (self.epoch, self.number) < (told.epoch, told.number)\n        )",
        "                )",
    ),
    disk(
        "only what is on disk is told",
        AGREEMENT,
        "self.own = replace(self.own, promised=max(self.own.promised, epoch))",
        "pass",
    ),
    disk(
        "the incarnation is told once a write has put it on disk",
        AGREEMENT,
        "        self.own = replace(self.own, incarnation=self.raised.incarnation, incarnation_id=self.raised.incarnation_id)\n",
        "",
    ),
    disk(
        "each start raises the incarnation",
        STORE,
        "own.incarnation + 1, secrets.randbits(DRAW_BITS))",
        "        own.incarnation, own.incarnation_id)",
    ),
    disk(
        "with the first write",
        STORE,
        "            if raised is not None:\n                database.executemany",
        "            if False:\n                database.executemany",
    ),
    disk("what others told goes to disk", STORE, 'if packed != (held[0] if held is not None else ""):', "if False:"),
    disk(
        "by itself too, but for numbers of entries",
        STORE,
        "return self.raised is not None or rises(self.noted) != rises(self.stored)",
        "return self.raised is not None or self.noted != self.stored",
    ),
    disk("a body is what its digest says", STORE, "        if digest(body) != mark:\n", "        if False:\n"),
    disk(
        "the newest entry is the one that was taken",
        STORE,
        "if last is not None and taken[last.revision] != mark:",
        "if False:",
    ),
    disk("all pages are checked at load", STORE, '    if told != "ok":\n', "    if False:\n"),
    disk(
        "what is no state is set aside",
        STORE,
        "            found = await self.run(read_all, anew=True)\n",
        "            raise\n",
    ),
    disk(
        "under a name that is free",
        STORE,
        "aside = next((name for name in names if not name.exists()), names[-1])",
        "aside = names[0]",
    ),
    disk(
        "the database first, then its log",
        STORE,
        "            files.rename(self.path, aside)\n            files.sync_folder(self.path.parent)\n"
        "            self._move_beside(aside)\n",
        "            self._move_beside(aside)\n            files.rename(self.path, aside)\n"
        "            files.sync_folder(self.path.parent)\n",
    ),
    disk(
        "a log that was left beside is not the new database's",
        STORE,
        "            self._move_beside(next((name for name in reversed(self._asides()) if "
        "name.exists()), self._asides()[0]))\n",
        "            pass\n",
    ),
    disk(
        "the state of a later program is left alone",
        STORE,
        "        if version not in (0, FORMAT):\n",
        "        if False:\n",
    ),
    disk(
        "a refused write closes the database",
        STORE,
        "            self._shut()\n            if isinstance(err, TornError)",
        "            if isinstance(err, TornError)",
    ),
    disk("the last three bodies are kept", STORE, "(entry.number - BODIES_KEPT,))", "(entry.number,))"),
    disk("and no more", STORE, "(entry.number - BODIES_KEPT,))", "(-1,))"),
    disk(
        "a view replaces what was there",
        STORE,
        '            database.execute("delete from entry")\n            write_taken',
        "            write_taken",
    ),
    disk("each commit is synced", STORE, '"synchronous=full",', '"synchronous=off",'),
)
