"""The rules of docs/design/orders.md: which writes are applied and rejected, which configurations are valid, and that
added routes are served."""

from __future__ import annotations

from lab.rule_files import (
    CHAIN,
    CONFIGURATION,
    CONFIGURATION_REPLICA,
    CONSENSUS_REPLICA,
    CONTROL_API,
    DEDUPLICATION,
    GATEWAY,
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
    "tests/test_orders.py::test_a_write_that_may_have_been_applied_gets_no_definite_answer",
    "tests/test_orders.py::test_a_write_whose_base_may_become_current_is_not_rejected",
    "tests/test_orders.py::test_an_applied_write_is_recognised_before_validation",
    "tests/test_orders.py::test_a_repeated_write_is_queued_once",
    "tests/test_orders.py::test_digests_that_can_not_be_are_refused",
    "tests/test_orders.py::test_a_view_whose_digests_cannot_be_completed_is_not_accepted",
    "tests/test_orders.py::test_an_entry_that_was_stored_by_a_failed_write_does_not_count_as_applied",
    "tests/test_orders.py::test_the_digests_on_disk_are_bounded_and_only_changes_are_written",
)
ROUTES = ("tests/test_added_routes.py",)


def orders(name: str, file: str, text: str, instead: str, tests: tuple[str, ...] = ORDERS) -> Rule:
    return Rule(name, "orders", file, text, instead, tests)


ORDERS_RULES = (
    orders(
        "a write that was already applied gets 200 before it is validated",
        CHAIN,
        "if self.digest(request.body) in self.applied_digests.values():",
        "if False:",
    ),
    orders(
        "a write on an older base is rejected without reading its body",
        CHAIN,
        "if deduplication.forgotten_up_to(self.applied_digests, self.number) <= request.base < self.revision:",
        "if False:",
    ),
    orders(
        "unless its digest may have been discarded",
        CHAIN,
        "if deduplication.forgotten_up_to(self.applied_digests, self.number) <= request.base < self.revision:",
        "if request.base < self.revision:",
    ),
    orders(
        "an invalid configuration is rejected",
        CHAIN,
        "            return [write_result(request, 400, str(err))]\n",
        "            revision = self.revision + 1\n",
    ),
    orders(
        "a write whose base may still become current is not rejected",
        CHAIN,
        "if self.base_may_become_current(request.base, revision):",
        "if False:",
    ),
    orders(
        "a base may become current only if it is below the revision of the write",
        CHAIN,
        "return self.revision < base < revision",
        "return self.revision < base",
    ),
    orders(
        "a write that may have been applied is not rejected",
        CHAIN,
        "if self.may_have_been_applied(request.base, revision):",
        "if False:",
    ),
    orders(
        "a write may have been applied only if its base is below its revision",
        CHAIN,
        "return base < revision <= deduplication",
        "return revision <= deduplication",
    ),
    orders("the base must be the current version", CHAIN, "if request.base != self.revision:", "if False:"),
    orders("revisions only increase", CHAIN, "if revision <= self.revision:", "if revision < self.revision:"),
    orders(
        "writes are decided one at a time, after the entry before them is committed",
        CHAIN,
        "return self.persisting is not None or self.number > self.committed",
        "return self.persisting is not None",
    ),
    orders(
        "no write is decided while an entry is being written to disk",
        CHAIN,
        "return self.persisting is not None or self.number > self.committed",
        "return self.number > self.committed",
    ),
    orders(
        "a write with the same body as the entry in flight gets its result",
        CHAIN,
        "            if self.has_uncommitted():\n                self.coalesce_duplicates()\n",
        "            if self.has_uncommitted():\n",
    ),
    orders(
        "writes are coalesced by body, not by base",
        CHAIN,
        "if request.body == entry.body]:",
        "if request.base == entry.base]:",
    ),
    orders(
        "a repeated write is queued once",
        CHAIN,
        "if (\n"
        "            any(other.request_id == request.request_id for other in self.queue)\n"
        "            or (request.request_id, request.origin) in self.pending_callers\n"
        "        ):",
        "if False:",
    ),
    orders(
        "writes beyond the queue limit are rejected with 503",
        CHAIN,
        "if len(self.queue) >= MAX_QUEUED_WRITES:",
        "if False:",
    ),
    orders(
        "only the head accepts writes",
        CHAIN,
        "if not self.is_head() or self.sealed or not self.active:",
        "if self.sealed or not self.active:",
    ),
    orders(
        "a head that has promised a later epoch accepts no writes",
        CHAIN,
        "if not self.is_head() or self.sealed or not self.active:",
        "if not self.is_head() or not self.active:",
    ),
    orders(
        "a head accepts no writes before its view is active",
        CHAIN,
        "if not self.is_head() or self.sealed or not self.active:",
        "if not self.is_head() or self.sealed:",
    ),
    orders(
        "the tail answers the first caller",
        CHAIN,
        "        effects += [\n"
        '            SendMessage(origin, frames.WriteResult(request_id, 200, "taken"))\n'
        "            for request_id, origin in self.pending_callers\n"
        "        ]\n",
        "",
    ),
    orders(
        "the head answers the other callers",
        CHAIN,
        "            effects += [\n"
        '                SendMessage(origin, frames.WriteResult(request_id, 200, "taken"))\n'
        "                for request_id, origin in self.pending_callers[1:]\n"
        "            ]\n",
        "",
    ),
    orders(
        "a commit notice for an earlier entry does not acknowledge a later one",
        CHAIN,
        "if self.is_head() and self.committed == self.number:",
        "if self.is_head():",
    ),
    orders(
        "a failed disk write gives no definite answer",
        CHAIN,
        "return [\n"
        '            SendMessage(origin, frames.WriteResult(request_id, 503, "the disk refuses"))\n'
        "            for request_id, origin in callers\n"
        "        ]",
        'return [SendMessage(origin, frames.WriteResult(request_id, 400, "the disk refuses")) for request_id, origin in callers]',
    ),
    orders(
        "queued writes are decided once the entry is committed",
        CHAIN,
        "return effects + self.process_queue(now_s)",
        "return effects",
    ),
    orders(
        "a rejection waits for the confirmation of a majority",
        CONSENSUS_REPLICA,
        "if result.status in REJECTION_STATUSES:",
        "if False:",
    ),
    orders(
        "both kinds of rejection wait for it",
        CONSENSUS_REPLICA,
        "REJECTION_STATUSES = (INVALID, PRECONDITION_FAILED)",
        "REJECTION_STATUSES = (PRECONDITION_FAILED,)",
    ),
    orders("the text of a result fits into its frame", CHAIN, "text[:MAX_RESULT_TEXT]", "text"),
    orders(
        "an entry drops the digests above its base", DEDUPLICATION, "        del applied[discarded]\n", "        pass\n"
    ),
    orders(
        "an entry drops the digests above its base on disk",
        STORE,
        '    database.execute("delete from taken where revision > ?", (entry.base,))\n',
        "",
    ),
    orders(
        "only the newest digests are kept in memory",
        DEDUPLICATION,
        "    while len(applied) > MAX_DIGESTS:\n        del applied[next(iter(applied))]\n",
        "",
    ),
    orders("only the newest digests are kept on disk", STORE, "        (MAX_DIGESTS,),\n", "        (10**9,),\n"),
    orders(
        "digests are missing if there are fewer than entries", DEDUPLICATION, "if len(applied) >= number:", "if True:"
    ),
    orders(
        "then all digests below the lowest are missing",
        DEDUPLICATION,
        "return next(iter(applied)) - 1 if applied else MAX_REVISION",
        "return 0 if applied else MAX_REVISION",
    ),
    orders(
        "without digests every version may be forgotten",
        DEDUPLICATION,
        "return next(iter(applied)) - 1 if applied else MAX_REVISION",
        "return next(iter(applied)) - 1 if applied else 0",
    ),
    orders("truncated digests are rejected", DEDUPLICATION, "if len(data) % RECORD.size:", "if False:"),
    orders("too many digests are rejected", DEDUPLICATION, "if len(found) > MAX_DIGESTS:", "if False:"),
    orders(
        "digests out of order are rejected",
        DEDUPLICATION,
        "if any(record[0] >= following[0] for record, following in pairwise(found)):",
        "if False:",
    ),
    orders(
        "own digests count up to the revision that all members hold",
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
        "a promise returns the digests above that base",
        VOTING,
        "deduplication.pack(state.applied_digests(), self.digests_since),",
        "deduplication.pack(state.applied_digests(), 1 << 60),",
    ),
    orders(
        "a member that lacks the base does not accept the view",
        CONSENSUS_REPLICA,
        "if frame.digests_since and frame.digests_since not in digests:",
        "if False:",
    ),
    orders(
        "each member is sent the digests above its own base",
        REPAIR,
        "since = promise.base if promise is not None else 0",
        "since = promise.revision if promise is not None else 0",
    ),
    orders(
        "a member that accepts a view keeps its own digests",
        CONSENSUS_REPLICA,
        "digests = deduplication.merge(digests, frame.digests_since, deduplication.unpack(frame.applied_digests))",
        "digests = deduplication.unpack(frame.applied_digests)",
    ),
    orders(
        "an edge node forwards a body that it can't read",
        CONTROL_API,
        "        # The head validates the body",
        '        if not message.body.startswith(b"\\xa4"):\n'
        '            raise BadRequestError(400, "no configuration")\n'
        "        # The head validates the body",
    ),
    orders("an edge node rejects a base that is not a number", CONTROL_API, "or not values[0].isdigit()", ""),
    orders(
        "an edge node rejects a base above the highest revision",
        CONTROL_API,
        "len(values[0]) > 19 or int(values[0]) > MAX_REVISION:",
        "len(values[0]) > 19:",
    ),
    orders(
        "an edge node forwards any base up to the highest revision",
        CONTROL_API,
        "len(values[0]) > 19 or int(values[0]) > MAX_REVISION:",
        "len(values[0]) > 18:",
    ),
    orders(
        "a call is resent until its timeout",
        CONTROL_API,
        "        self.loop.call_later(\n"
        "            min(RESEND_INTERVAL_S, max(call.deadline_s - self.loop.time(), 0.001)), self.send_pending, name\n"
        "        )\n",
        "",
    ),
    orders(
        "a call gets 503 after its timeout",
        CONTROL_API,
        "        if self.loop.time() >= call.deadline_s:",
        "        if False:",
    ),
    orders(
        "valid: well-formed CBOR",
        CONFIGURATION,
        '    except Exception as err:  # noqa: BLE001 (the decoder raises arbitrary exceptions on malformed bytes)\n        raise InvalidConfigurationError(f"no CBOR: {err}") from None\n',
        '    except Exception:\n        value = {"revision": 99, "channels": [], "plants": []}\n'
        "        stream.seek(0, 2)\n",
    ),
    orders("valid: no data after the item", CONFIGURATION, "if stream.tell() != len(body):", "if False:"),
    orders("valid: no duplicate key", CONFIGURATION, "allow_duplicate_keys=committed)", "allow_duplicate_keys=True)"),
    orders(
        "a committed configuration with a duplicate key is read",
        CONFIGURATION,
        "return convert(decode(body, committed=True))",
        "return convert(decode(body))",
    ),
    orders(
        "a committed configuration is not validated again",
        CONFIGURATION,
        "return convert(decode(body, committed=True))",
        "return read(body)",
    ),
    orders(
        "valid: a revision up to the highest one",
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
        "valid: constraints above 0",
        CONFIGURATION,
        "if not all(\n        0 < limit < math.inf\n        for limit in",
        "if not all(True for limit in",
    ),
    orders(
        "valid: byte limits within the range of an integer",
        CONFIGURATION,
        "if max(limits.header_max_bytes, limits.body_max_bytes) > MAX_INTEGER:",
        "if False:",
    ),
    orders(
        "valid: no two services with the same label",
        CONFIGURATION,
        "if len(services) != len(configuration.services):",
        "if False:",
    ),
    orders(
        "valid: no two routes for the same host and prefix",
        CONFIGURATION,
        "        if match in labels:",
        "        if False:",
    ),
    orders(
        "routes are compared as requests are matched",
        CONFIGURATION,
        "match = (normalize_host(route.host), route.prefix)",
        "match = (route.host, route.prefix)",
    ),
    orders("valid: a host", CONFIGURATION, "if not normalize_host(route.host):", "if not route.host:"),
    orders(
        "valid: a prefix that begins and ends with a slash",
        CONFIGURATION,
        'if not (route.prefix.startswith("/") and route.prefix.endswith("/")):',
        "if False:",
    ),
    orders(
        "valid: a timeout above 0",
        CONFIGURATION,
        "if not 0 < route.timeout_ms < 1e9 or",
        "if not 0 <= route.timeout_ms < 1e9 or",
    ),
    orders(
        "valid: tries and ranks within the range of an integer",
        CONFIGURATION,
        "if not (0 <= route.tries <= MAX_INTEGER and 0 <= route.rank <= MAX_INTEGER):",
        "if route.tries < 0 or route.rank < 0:",
    ),
    orders(
        "valid: either a service or an allocation",
        CONFIGURATION,
        "if (route.service is None) == (not route.allocation):",
        "if False:",
    ),
    orders("valid: only services that exist", CONFIGURATION, "if unknown := named - services:", "if unknown := set():"),
    orders(
        "valid: weights with a sum above 0",
        CONFIGURATION,
        "or not 0 < total < math.inf:",
        "or not total < math.inf:",
    ),
    orders("valid: weights with a finite sum", CONFIGURATION, "or not 0 < total < math.inf:", "or not 0 < total:"),
    orders(
        "valid: no weight below 0",
        CONFIGURATION,
        "if any(not weighted.weight >= 0 for weighted in route.allocation) or",
        "if",
    ),
    orders(
        "a host is matched without its port and ignoring case",
        ROUTING,
        "self.routes.setdefault(normalize_host(configured.host), {})",
        "self.routes.setdefault(configured.host, {})",
    ),
    orders(
        "the balancer of a new service knows its servers immediately",
        GATEWAY,
        "                self.notify_servers(service)\n            elif",
        "            elif",
        ROUTES,
    ),
    orders(
        "servers listed later reach the balancer",
        GATEWAY,
        "        for service in changed_services:\n            self.notify_servers(service)\n",
        "",
        ROUTES,
    ),
    orders(
        "a balancer learns of new kinds of requests",
        GATEWAY,
        "                host.handle(it.SettingsChanged(settings))\n",
        "                pass\n",
        ROUTES,
    ),
    orders(
        "an older version is not applied",
        CONFIGURATION_REPLICA,
        "        if revision <= self.revision:\n            return\n        base_revision",
        "        base_revision",
        ROUTES,
    ),
    orders(
        "an older version is not requested",
        CONFIGURATION_REPLICA,
        "if revision <= self.revision or revision < self.newest[0]:",
        "if False:",
        ROUTES,
    ),
    orders(
        "nothing is rejected as invalid while members use two check versions",
        CONSENSUS_REPLICA,
        "if result.status == INVALID and not self.checks_agree():",
        "if False:",
    ),
    orders(
        "the check versions of all members count",
        CONSENSUS_REPLICA,
        "return view is None or all(\n"
        "            self.peer_check_versions.get(ip_of(name), self.check_version) == self.check_version for name in view.group\n"
        "        )",
        "return True",
    ),
    orders(
        "only the check versions of members count",
        CONSENSUS_REPLICA,
        "self.check_version for name in view.group\n",
        "self.check_version\n            for name in [*view.group, *self.peer_check_versions]\n",
    ),
    orders(
        "a heartbeat reports the check version",
        CONSENSUS_REPLICA,
        "1 + 2 * self.check_version if self.offers_disk(now_s) else 0,",
        "int(self.offers_disk(now_s)),",
    ),
    orders(
        "the check version of a member with a failed disk stays known",
        CONSENSUS_REPLICA,
        "        if frame.disk_flags:\n            self.peer_check_versions[ip]",
        "        if True:\n            self.peer_check_versions[ip]",
    ),
)
