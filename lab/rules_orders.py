"""What docs/design/orders.md tells, rule by rule: what is taken and refused, what a valid configuration is, and that
added routes are served."""

from __future__ import annotations

from lab.rule_files import (
    CHAIN,
    CONFIGURATION,
    CONFIGURATION_REPLICA,
    CONSENSUS_REPLICA,
    CONTROL,
    DEDUPLICATION,
    GATE,
    REPAIR,
    ROUTING,
    STATE,
    STORE,
    VOTING,
)
from lab.rules import Rule

ORDERS = (
    "tests/test_validity.py",
    "tests/test_order_rules.py",
    "tests/test_chain.py",
    "tests/test_orders.py::test_what_may_have_been_taken_is_left_without_a_clear_answer",
    "tests/test_orders.py::test_an_order_on_a_version_that_may_come_is_not_refused",
    "tests/test_orders.py::test_what_was_taken_is_known_before_it_is_checked_again",
    "tests/test_orders.py::test_an_order_that_comes_again_waits_once",
    "tests/test_orders.py::test_digests_that_can_not_be_are_refused",
    "tests/test_orders.py::test_a_machine_takes_up_no_view_whose_digests_it_can_not_complete",
    "tests/test_orders.py::test_a_write_that_was_refused_and_is_there_all_the_same_was_not_taken",
    "tests/test_orders.py::test_the_digests_on_disk_are_bounded_and_written_as_far_as_they_change",
)
ROUTES = ("tests/test_added_routes.py",)


def orders(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = ORDERS) -> Rule:
    return Rule(name, "orders", file, text, instead, tests)


ORDERS_RULES = (
    orders(
        "what was taken is answered 200, before it is checked",
        CHAIN,
        "if self.digest(request.body) in self.applied_digests.values():",
        "if False:",
    ),
    orders(
        "an order on an older base is refused unread",
        CHAIN,
        "if deduplication.forgotten_up_to(self.applied_digests, self.number) <= request.base < self.revision:",
        "if False:",
    ),
    orders(
        "not where its digest may have gone",
        CHAIN,
        "if deduplication.forgotten_up_to(self.applied_digests, self.number) <= request.base < self.revision:",
        "if request.base < self.revision:",
    ),
    orders(
        "no valid configuration is refused",
        CHAIN,
        "            return [write_result(request, 400, str(err))]\n",
        "            revision = self.revision + 1\n",
    ),
    orders(
        "one whose base may come into force yet is not refused",
        CHAIN,
        "if self.base_may_become_current(request.base, revision):",
        "if False:",
    ),
    orders(
        "it is one only if its number is above its base",
        CHAIN,
        "return self.revision < base < revision",
        "return self.revision < base",
    ),
    orders(
        "one that may have been taken is not refused",
        CHAIN,
        "if self.may_have_been_applied(request.base, revision):",
        "if False:",
    ),
    orders(
        "it is one only if its base is below its number",
        CHAIN,
        "return base < revision <= deduplication",
        "return revision <= taken",
    ),
    orders("the base must be the version in force", CHAIN, "if request.base != self.revision:", "if False:"),
    orders("numbers only rise", CHAIN, "if revision <= self.revision:", "if revision < self.revision:"),
    orders(
        "orders are decided one at a time, once what came before is committed",
        CHAIN,
        "return self.persisting is not None or self.number > self.committed",
        "return self.persisting is not None",
    ),
    orders(
        "none while a write is under way",
        CHAIN,
        "return self.persisting is not None or self.number > self.committed",
        "return self.number > self.committed",
    ),
    orders(
        "the same bytes get the answer of those under way",
        CHAIN,
        "            if self.has_uncommitted():\n                self.coalesce_duplicates()\n",
        "            if self.has_uncommitted():\n",
    ),
    orders(
        "by their bytes, not by their base", CHAIN, "if request.body == entry.body]:", "if request.base == entry.base]:"
    ),
    orders(
        "an order that comes again waits once",
        CHAIN,
        "if (\n"
        "            any(other.request_id == request.request_id for other in self.queue)\n"
        "            or (request.request_id, request.origin) in self.pending_callers\n"
        "        ):",
        "if False:",
    ),
    orders("too many that wait are told to come back", CHAIN, "if len(self.queue) >= MAX_QUEUED_WRITES:", "if False:"),
    orders(
        "only the head decides",
        CHAIN,
        "if not self.is_head() or self.sealed or not self.active:",
        "if self.sealed or not self.active:",
    ),
    orders(
        "not one that has promised a later epoch",
        CHAIN,
        "if not self.is_head() or self.sealed or not self.active:",
        "if not self.is_head() or not self.active:",
    ),
    orders(
        "not before its view is active",
        CHAIN,
        "if not self.is_head() or self.sealed or not self.active:",
        "if not self.is_head() or self.sealed:",
    ),
    orders(
        "the tail answers the first asker",
        CHAIN,
        "        effects += [\n"
        '            SendMessage(origin, frames.WriteResult(request_id, 200, "taken"))\n'
        "            for request_id, origin in self.pending_callers\n"
        "        ]\n",
        "",
    ),
    orders(
        "the head answers the others",
        CHAIN,
        "            effects += [\n"
        '                SendMessage(origin, frames.WriteResult(request_id, 200, "taken"))\n'
        "                for request_id, origin in self.pending_callers[1:]\n"
        "            ]\n",
        "",
    ),
    orders(
        "word of an earlier entry acknowledges no later one",
        CHAIN,
        "if self.is_head() and self.committed == self.number:",
        "if self.is_head():",
    ),
    orders(
        "a disk that refuses is no clear answer",
        CHAIN,
        "return [\n"
        '            SendMessage(origin, frames.WriteResult(request_id, 503, "the disk refuses"))\n'
        "            for request_id, origin in callers\n"
        "        ]",
        'return [SendMessage(origin, frames.WriteResult(request_id, 400, "the disk refuses")) for request_id, origin in callers]',
    ),
    orders(
        "what waited is decided once the entry is committed",
        CHAIN,
        "return effects + self.process_queue(now_s)",
        "return effects",
    ),
    orders(
        "a refusal waits for a majority's word",
        CONSENSUS_REPLICA,
        "if result.status in REFUSALS:",
        "if False:",
    ),
    orders(
        "both kinds of refusal do",
        CONSENSUS_REPLICA,
        "REFUSALS = (INVALID, PRECONDITION_FAILED)",
        "REFUSALS = (PRECONDITION_FAILED,)",
    ),
    orders("a refusal's text fits into its frame", CHAIN, "text[:MAX_RESULT_TEXT]", "text"),
    orders(
        "an entry drops the digests above its base", DEDUPLICATION, "        del applied[refused]\n", "        pass\n"
    ),
    orders("on disk too", STORE, '    database.execute("delete from taken where revision > ?", (entry.base,))\n', ""),
    orders(
        "the newest digests are kept, in memory",
        DEDUPLICATION,
        "    while len(applied) > MAX_DIGESTS:\n        del applied[next(iter(applied))]\n",
        "",
    ),
    orders("and on disk", STORE, "        (MAX_DIGESTS,),\n", "        (10**9,),\n"),
    orders(
        "digests are missing when there are fewer than entries", DEDUPLICATION, "if len(applied) >= number:", "if True:"
    ),
    orders(
        "all below the lowest are missing then",
        DEDUPLICATION,
        "return next(iter(applied)) - 1 if applied else MAX_REVISION",
        "return 0 if applied else MAX_REVISION",
    ),
    orders(
        "without any all may be",
        DEDUPLICATION,
        "return next(iter(applied)) - 1 if applied else MAX_REVISION",
        "return next(iter(applied)) - 1 if applied else 0",
    ),
    orders("digests that cannot be are refused: cut off", DEDUPLICATION, "if len(data) % RECORD.size:", "if False:"),
    orders("too many", DEDUPLICATION, "if len(found) > MAX_DIGESTS:", "if False:"),
    orders("out of order", DEDUPLICATION, "if any(one[0] >= other[0] for one, other in pairwise(found)):", "if False:"),
    orders(
        "one's own digests count up to the revision that all hold",
        DEDUPLICATION,
        "for revision, digest in sorted(own.items()) if revision <= above} | reported",
        "for revision, digest in sorted(own.items())} | reported",
    ),
    orders(
        "a proposer names the base of its newest entry",
        STATE,
        "return entry.base if entry is not None else 0",
        "return entry.revision if entry is not None else 0",
    ),
    orders(
        "a promise brings the digests above that",
        VOTING,
        "deduplication.pack(state.applied_digests(), self.digests_since),",
        "deduplication.pack(state.applied_digests(), 1 << 60),",
    ),
    orders(
        "who lacks the base takes no part",
        CONSENSUS_REPLICA,
        "if frame.digests_since and frame.digests_since not in digests:",
        "if False:",
    ),
    orders(
        "to each member go the digests above its own base",
        REPAIR,
        "since = promise.base if promise is not None else 0",
        "since = promise.revision if promise is not None else 0",
    ),
    orders(
        "a member that takes a view up keeps its own digests",
        CONSENSUS_REPLICA,
        "digests = deduplication.merge(digests, frame.digests_since, deduplication.unpack(frame.applied_digests))",
        "digests = deduplication.unpack(frame.applied_digests)",
    ),
    orders(
        "an edge node passes on what it can't read",
        CONTROL,
        "        # The head judges whether it is valid",
        '        if not message.body.startswith(b"\\xa4"):\n'
        '            raise BadRequestError(400, "no configuration")\n'
        "        # The head judges whether it is valid",
    ),
    orders("an edge node refuses a base that is no number", CONTROL, "or not given[0].isdigit()", ""),
    orders(
        "or none that a version can have",
        CONTROL,
        "len(given[0]) > 19 or int(given[0]) > MAX_REVISION:",
        "len(given[0]) > 19:",
    ),
    orders(
        "any that a version can have is passed on",
        CONTROL,
        "len(given[0]) > 19 or int(given[0]) > MAX_REVISION:",
        "len(given[0]) > 18:",
    ),
    orders(
        "a call is sent again until its caller goes on",
        CONTROL,
        "        self.loop.call_later(\n"
        "            min(RESEND_INTERVAL_S, max(call.deadline_s - self.loop.time(), 0.001)), self.send_pending, name\n"
        "        )\n",
        "",
    ),
    orders("and then answered 503", CONTROL, "        if self.loop.time() >= call.deadline_s:", "        if False:"),
    orders(
        "valid: whole CBOR",
        CONFIGURATION,
        '    except Exception as err:  # noqa: BLE001 (the decoder raises what it likes on hostile bytes)\n        raise InvalidConfigurationError(f"no CBOR: {err}") from None\n',
        '    except Exception:\n        value = {"revision": 99, "channels": [], "plants": []}\n'
        "        stream.seek(0, 2)\n",
    ),
    orders("valid: nothing behind the item", CONFIGURATION, "if stream.tell() != len(body):", "if False:"),
    orders("valid: no key twice", CONFIGURATION, "allow_duplicate_keys=committed)", "allow_duplicate_keys=True)"),
    orders(
        "what was committed with a key twice is read",
        CONFIGURATION,
        "return convert(decode(body, committed=True))",
        "return convert(decode(body))",
    ),
    orders(
        "what was committed is not checked again",
        CONFIGURATION,
        "return convert(decode(body, committed=True))",
        "return read(body)",
    ),
    orders(
        "valid: a revision that fits",
        CONFIGURATION,
        "if not 0 < configuration.revision <= MAX_REVISION:",
        "if not 0 < configuration.revision:",
    ),
    orders(
        "valid: a revision above 0",
        CONFIGURATION,
        "if not 0 < configuration.revision <= MAX_REVISION:",
        "if not configuration.revision <= MAX_REVISION:",
    ),
    orders(
        "valid: constraints that are numbers above 0",
        CONFIGURATION,
        "if not all(\n        0 < figure < math.inf\n        for figure in",
        "if not all(True for figure in",
    ),
    orders(
        "valid: byte limits that fit",
        CONFIGURATION,
        "if max(limits.header_max_bytes, limits.body_max_bytes) > MAX_INTEGER:",
        "if False:",
    ),
    orders(
        "valid: no two services of one label",
        CONFIGURATION,
        "if len(services) != len(configuration.services):",
        "if False:",
    ),
    orders("valid: no two routes at one place", CONFIGURATION, "        if place in places:", "        if False:"),
    orders(
        "places are compared as requests are matched",
        CONFIGURATION,
        "place = (host_name(channel.host), channel.prefix)",
        "place = (channel.host, channel.prefix)",
    ),
    orders("valid: a host", CONFIGURATION, "if not host_name(channel.host):", "if not channel.host:"),
    orders(
        "valid: a prefix between slashes",
        CONFIGURATION,
        'if not (channel.prefix.startswith("/") and channel.prefix.endswith("/")):',
        "if False:",
    ),
    orders(
        "valid: a timeout above 0",
        CONFIGURATION,
        "if not 0 < channel.timeout_ms < 1e9 or",
        "if not 0 <= channel.timeout_ms < 1e9 or",
    ),
    orders(
        "valid: numbers of tries and ranks that can be written",
        CONFIGURATION,
        "if not (0 <= channel.tries <= MAX_INTEGER and 0 <= channel.rank <= MAX_INTEGER):",
        "if channel.tries < 0 or channel.rank < 0:",
    ),
    orders(
        "valid: either a service or shares",
        CONFIGURATION,
        "if (channel.service is None) == (not channel.allocation):",
        "if False:",
    ),
    orders("valid: services that there are", CONFIGURATION, "if unknown := named - services:", "if unknown := set():"),
    orders(
        "valid: weights that add up to more than 0",
        CONFIGURATION,
        "or not 0 < total < math.inf:",
        "or not total < math.inf:",
    ),
    orders("valid: weights whose sum is a number", CONFIGURATION, "or not 0 < total < math.inf:", "or not 0 < total:"),
    orders(
        "valid: no weight below 0",
        CONFIGURATION,
        "if any(not share.weight >= 0 for share in channel.allocation) or",
        "if",
    ),
    orders(
        "a host is matched without its port and in any case",
        ROUTING,
        "self.routes.setdefault(host_name(configured.host), {})",
        "self.routes.setdefault(configured.host, {})",
    ),
    orders(
        "a new service's balancer knows its servers at once",
        GATE,
        "                self.notify_servers(service)\n            elif",
        "            elif",
        ROUTES,
    ),
    orders(
        "servers that are listed later reach the balancer",
        GATE,
        "        for service in changed_services:\n            self.notify_servers(service)\n",
        "",
        ROUTES,
    ),
    orders(
        "a balancer learns of new kinds of requests",
        GATE,
        "                host.handle(it.SettingsChanged(settings))\n",
        "                pass\n",
        ROUTES,
    ),
    orders(
        "an older version is not taken",
        CONFIGURATION_REPLICA,
        "        if revision <= self.revision:\n            return\n        before",
        "        before",
        ROUTES,
    ),
    orders(
        "nor asked for",
        CONFIGURATION_REPLICA,
        "if revision <= self.revision or revision < self.newest[0]:",
        "if False:",
        ROUTES,
    ),
    orders(
        "while members judge by two versions of the check nothing is said to be invalid",
        CONSENSUS_REPLICA,
        "if result.status == INVALID and not self.checks_agree():",
        "if False:",
    ),
    orders(
        "all members count for that",
        CONSENSUS_REPLICA,
        "return view is None or all(\n"
        "            self.peer_check_versions.get(ip_of(name), self.check_version) == self.check_version for name in view.group\n"
        "        )",
        "return True",
    ),
    orders(
        "members only",
        CONSENSUS_REPLICA,
        "self.check_version for name in view.group\n",
        "self.check_version\n            for name in [*view.group, *self.peer_check_versions]\n",
    ),
    orders(
        "a pulse tells the version of the check",
        CONSENSUS_REPLICA,
        "1 + 2 * self.check_version if self.offers_disk(now_s) else 0,",
        "int(self.offers_disk(now_s)),",
    ),
    orders(
        "which stays known of a disk in trouble",
        CONSENSUS_REPLICA,
        "        if frame.disk_flags:\n            self.peer_check_versions[ip]",
        "        if True:\n            self.peer_check_versions[ip]",
    ),
)
