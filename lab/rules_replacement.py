"""Mutation rules for the automatic replacement of members, as described in docs/design/members.md."""

from __future__ import annotations

from lab.rule_files import CONSENSUS_REPLICA, REPLACEMENT
from lab.rules import Rule

REPLACEMENT_TESTS = (
    "tests/test_replacement_rules.py",
    "tests/test_replacement.py::test_silence_counts_only_while_the_process_runs",
    "tests/test_replacement.py::test_a_spare_that_was_never_a_member_is_preferred_to_a_former_member",
    "tests/test_replacement.py::test_every_member_tracks_silence_so_that_a_new_head_can_continue",
    "tests/test_replacement.py::test_a_started_replacement_is_completed_or_reverted",
    "tests/test_replacement.py::test_an_even_group_removes_its_silent_member",
    "tests/test_replacement.py::test_a_draining_member_requests_its_replacement_and_is_no_spare_itself",
    "tests/test_replacement.py::test_without_a_reachable_majority_no_replacement_is_requested",
    "tests/test_replacement.py::test_a_new_spare_catches_up_before_it_is_needed",
)


def replacement_rule(name: str, text: str, instead: str, file: str = REPLACEMENT) -> Rule:
    return Rule(name, "members", file, text, instead, REPLACEMENT_TESTS)


REPLACEMENT_RULES = (
    replacement_rule(
        "every member tracks how long the others are silent",
        "        self.silence.update(others, self.replica.failure_detector.is_alive, now_s)\n",
        "        if self.membership.is_active_head(now_s):\n"
        "            self.silence.update(others, self.replica.failure_detector.is_alive, now_s)\n",
    ),
    replacement_rule(
        "a paused process counts silence from zero",
        "        if paused:\n            self.since_s.clear()\n",
        "",
    ),
    replacement_rule(
        "a member without a reachable majority counts no silence",
        "if not was_running or not self.has_quorum(now_s):",
        "if not was_running:",
    ),
    replacement_rule(
        "only the head replaces members",
        '        if not self.membership.is_active_head(now_s):\n            self.status = ""\n            return []\n',
        "",
    ),
    replacement_rule(
        "a replacement delay of 0 s disables replacement",
        "self.silence.silent_for(self.replace_after_s, now_s) if self.replace_after_s else []",
        "self.silence.silent_for(self.replace_after_s, now_s)",
    ),
    replacement_rule(
        "spares that were never members are preferred",
        "key=lambda ip: (peers[ip].disk_state == DiskState.VOTER, ip)",
        "key=lambda ip: ip",
    ),
    replacement_rule(
        "a started replacement continues although the member returned",
        "            return self.second_step(pending)\n",
        "            pass\n",
    ),
    replacement_rule(
        "a spare that falls silent during a replacement is removed again",
        "if pending.new in silent and pending.old not in silent:",
        "if False:",
    ),
    replacement_rule(
        "a silent spare is removed only if the old member returned",
        "if pending.new in silent and pending.old not in silent:",
        "if pending.new in silent:",
    ),
    replacement_rule(
        "an even group removes its silent member",
        "        if self.has_surplus_member(group):\n            return MembershipChange(REMOVE, silent[0]",
        "        if False:\n            return MembershipChange(REMOVE, silent[0]",
    ),
    replacement_rule(
        "an even group of the minimum size removes no member",
        "return len(group) > min_members and len(group) % 2 == 0",
        "return len(group) % 2 == 0",
    ),
    replacement_rule(
        "an odd group removes no member without a replacement",
        "return len(group) > min_members and len(group) % 2 == 0",
        "return len(group) > min_members",
    ),
    replacement_rule(
        "a new spare catches up at once",
        "new = self.replica.failure_detector.peers[ip].disk_state == DiskState.EMPTY",
        "new = False",
    ),
    replacement_rule(
        "a draining machine is not a spare",
        "return self.disk_works(now_s) and (self.state.is_voter() or not self.is_draining)",
        "return self.disk_works(now_s)",
        CONSENSUS_REPLICA,
    ),
    replacement_rule(
        "a draining member serves its group until it is replaced",
        "return self.disk_works(now_s) and (self.state.is_voter() or not self.is_draining)",
        "return self.disk_works(now_s) and not self.is_draining",
        CONSENSUS_REPLICA,
    ),
    replacement_rule(
        "a draining member without a spare waits for nothing",
        "return MembershipChange(REPLACE, own, spares[0], group) if spares else None",
        'return MembershipChange(REPLACE, own, spares[0] if spares else "", group)',
    ),
    replacement_rule(
        "a draining member without a reachable majority waits for nothing",
        "        if not self.has_quorum(now_s):\n            return None\n",
        "",
    ),
    replacement_rule(
        "a removed member waits until its successors have persisted their view",
        "        return any(\n"
        "            self.replica.failure_detector.is_alive(ip, now_s) and peers[ip].epoch < view.epoch",
        "        return any(False and peers[ip].epoch < view.epoch",
    ),
    replacement_rule(
        "a removed member waits only for live successors",
        "return any(\n            self.replica.failure_detector.is_alive(ip, now_s) and peers[ip].epoch < view.epoch",
        "return any(ip in peers and peers[ip].epoch < view.epoch",
    ),
    replacement_rule(
        "a member of the group has no successors to wait for",
        "        if view is None or self.replica.name in view.group:\n            return False\n",
        "",
    ),
)
