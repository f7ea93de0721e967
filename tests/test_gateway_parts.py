"""Pure parts of the gateway: settings, configuration, routes, frames, node registry, endpoint list, headers, budget."""

from __future__ import annotations

import copy
import random
import socket
import zlib
from collections import Counter
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypressbeam import balancing as pr
from cypressbeam.balancing.balancer import Balancer
from cypressbeam.distribution import endpoint_list
from cypressbeam.distribution.node_registry import FAN_OUT, MAX_FAN_OUT, NodeRegistry
from cypressbeam.distribution.tree_node import TreeNode
from cypressbeam.node import early_listener
from cypressbeam.protocol import configuration, frames
from cypressbeam.protocol.settings import SettingsError, load, parse
from cypressbeam.proxy.attempts import ReplyKind
from cypressbeam.proxy.gateway import (
    CROSS_ZONE_PRICE_BYTES,
    MAX_CROSS_ZONE_FACTOR,
    ResponseSizes,
    balancer_settings,
    request_class,
)
from cypressbeam.proxy.http_responses import Response
from cypressbeam.proxy.protocol_profile import classify_gateway, parse_load
from cypressbeam.proxy.routing import RoutingTable
from cypressbeam.transport.peers import Link, Peers
from lab.local_cluster import demo_configuration
from tests.loopback import run

BOOT = """node=edge-1
ip=10.1.0.13
zone=a
listeners.front=10.1.0.13:8641
internalPorts=7620,7635
seedPeers=10.1.0.16:8649,10.2.0.21:8649
bootstrap=true
envelope.retrySlack=60
something.new=17
"""


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    settings = parse(BOOT, "boot.conf")
    assert settings.front_listener == ("10.1.0.13", 8641) and settings.control_listener is None and settings.bootstrap
    assert settings.seeds == (("10.1.0.16", 8649), ("10.2.0.21", 8649)) and settings.peer_port == 7620
    assert settings.envelope.retry_slack == 60 and settings.state_dir is None
    assert settings.share_faults and not parse(BOOT + "gateway.shareFaults=false\n", "boot.conf").share_faults


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("node=edge-1", "node=", "line 1: node is ''; a value is wanted"),
        ("internalPorts=7620,7635", "", "internalPorts is missing"),
        ("8641", "nowhere", "line 4: listeners.front is '10.1.0.13:nowhere'; host:port is wanted"),
        ("bootstrap=true", "bootstrap=maybe", "line 7: bootstrap is 'maybe'; true or false is wanted"),
        (
            "retrySlack=60",
            "retrySlack=-1",
            "line 8: envelope.retrySlack is '-1'; a number, true or false, at least 0, is wanted",
        ),
        ("zone=a", "zone", "line 3 is 'zone'; key=value is wanted"),
    ],
)
def test_a_settings_error_names_file_key_value_and_expected_form(old: str, new: str, message: str) -> None:
    with pytest.raises(SettingsError, match=r"^boot\.conf: ") as caught:
        parse(BOOT.replace(old, new, 1), "boot.conf")
    assert message in str(caught.value) and "\n" not in str(caught.value)


def test_a_missing_settings_file_or_variable_is_an_error() -> None:
    for environ in ({}, {"CYPRESSBEAM_BOOT": "/nowhere/boot.conf"}):
        with pytest.raises(SettingsError):
            load(environ)


def test_the_front_listener_opens_before_the_settings_are_fully_read(tmp_path: Path) -> None:
    boot = tmp_path / "boot.conf"
    environ = {"CYPRESSBEAM_BOOT": str(boot)}
    assert early_listener.open_front_listener({}) is None and early_listener.open_front_listener(environ) is None
    boot.write_text("node=n\nlisteners.control=127.0.0.1:1\n", encoding="utf-8")
    assert early_listener.open_front_listener(environ) is None
    boot.write_text("node=n\nlisteners.front=nowhere\n", encoding="utf-8")
    assert early_listener.open_front_listener(environ) is None
    boot.write_text("node=n\nlisteners.front = 127.0.0.1:0\n", encoding="utf-8")
    front = early_listener.open_front_listener(environ)
    assert front is not None
    with front, socket.create_connection(front.getsockname(), 5.0) as client:
        client.sendall(b"waits")


def changed(**changes: Any) -> dict[str, Any]:
    return demo_configuration() | changes


def channel(**changes: Any) -> dict[str, Any]:
    return changed(channels=[demo_configuration()["channels"][0] | changes])


def split(*weights: float) -> dict[str, Any]:
    first = copy.deepcopy(demo_configuration()["channels"][0])
    del first["plant"]
    first["allocation"] = [
        {"plant": name, "gain": weight} for name, weight in zip(("finder", "booker"), weights, strict=True)
    ]
    return changed(channels=[first])


def test_a_valid_configuration_is_accepted() -> None:
    for document in (demo_configuration(), split(90, 10), split(0, 1), channel(newField=1)):
        assert configuration.read(cbor2.dumps(document)).revision == 1


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (cbor2.dumps(demo_configuration())[:-3], "CBOR"),
        (b"", "CBOR"),
        (cbor2.dumps(demo_configuration()) + b"\x00", "behind"),
        (cbor2.dumps([1, 2]), "object"),
        (cbor2.dumps(channel(plant="nobody")), "unknown service nobody"),
        (cbor2.dumps(changed(channels=[demo_configuration()["channels"][0]] * 2)), "host and prefix"),
        (cbor2.dumps(channel(cutoffMs=0)), "cutoffMs"),
        (cbor2.dumps(channel(prefix="/find")), "slash"),
        (cbor2.dumps(channel(mode="perhaps")), "mode"),
        (cbor2.dumps(channel(allocation=[{"plant": "finder", "gain": 1}])), "either"),
        (cbor2.dumps(split(0, 0)), "weights"),
        (cbor2.dumps(split(2, -1)), "weights"),
        (cbor2.dumps(changed(revision=0)), "revision"),
        (cbor2.dumps(changed(revision="7")), "revision"),
    ],
)
def test_an_invalid_configuration_is_rejected(body: bytes, message: str) -> None:
    with pytest.raises(configuration.InvalidConfigurationError, match=message):
        configuration.read(body)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_configuration_or_invalid(body: bytes) -> None:
    with pytest.raises(configuration.InvalidConfigurationError):
        configuration.read(body)


def test_routes_are_found_by_host_and_longest_prefix() -> None:
    document = demo_configuration()
    first = document["channels"][0]
    document["channels"] += [
        first | {"label": "deep", "prefix": "/find/deep/"},
        first | {"label": "other", "host": "Other.example"},
    ]
    table = RoutingTable(configuration.read(cbor2.dumps(document)))

    def label(host: str, path: str) -> str | None:
        route = table.find(host, path)
        return route.configuration.label if route else None

    assert label("demo.example", "/find/a/b") == "find" and label("demo.example:80", "/find/") == "find"
    assert label("demo.example", "/find/deep/a") == "deep" and label("demo.example", "/find/deep") == "find"
    assert label("OTHER.example", "/find/x") == "other"
    assert label("demo.example", "/find") is None and label("nobody", "/find/a") is None
    assert label("demo.example", "") is None


def test_requests_are_divided_by_weight() -> None:
    route = RoutingTable(configuration.read(cbor2.dumps(split(90, 10)))).find("demo.example", "/find/")
    assert route is not None
    rng = random.Random(5)
    taken = [route.choose(rng) for _ in range(5000)]
    assert 0.08 < taken.count("booker") / len(taken) < 0.12


SAMPLES = [
    frames.JoinRequest("n", "10.0.0.1", "z", 3, 1, ""),
    frames.ParentAssignment(2**40, ("a", "b"), (), ("c",), ("d",), 3, 2, 1),
    frames.ConfigurationAnnouncement(9, b"\x00" * 300),
    frames.RootHeartbeat(1, 2, 3, 4),
    frames.WriteRequest(1, "o", 0, b""),
    frames.EndpointUpdate(1, 2, 3, 1, b"x"),
]


@pytest.mark.parametrize("frame", SAMPLES, ids=lambda frame: type(frame).__name__)
def test_frames_round_trip(frame: frames.Frame) -> None:
    data = frame.pack()
    length, kind = frames.HEADER.unpack_from(data)
    assert length == len(data) - frames.HEADER.size
    assert frames.unpack(kind, data[frames.HEADER.size :]) == frame
    for wrong in (data[frames.HEADER.size : -1], data[frames.HEADER.size :] + b"\x00"):
        with pytest.raises(frames.FrameError):
            frames.unpack(kind, wrong)


@given(st.integers(0, 30), st.binary(max_size=120))
def test_any_bytes_are_a_frame_or_an_error(kind: int, body: bytes) -> None:
    try:
        frame = frames.unpack(kind, body)
    except frames.FrameError:
        return
    if mark := frame.body_or_digest():  # the stream carries the digest of a body instead of the body
        assert mark in body
    else:
        assert frame.pack()[frames.HEADER.size :] == body


@given(st.one_of(st.binary(max_size=120), st.binary(max_size=120).map(zlib.compress)))
def test_any_bytes_are_rows_or_an_error(data: bytes) -> None:
    try:
        rows = endpoint_list.unpack_rows(data)
    except frames.FrameError:
        return
    assert endpoint_list.unpack_rows(endpoint_list.pack_rows(rows)) == rows


def test_packed_rows_are_small_and_their_unpacked_size_is_limited() -> None:
    rows = [server(f"i-{number:010x}", service="stallfind", zone="regina-hall") for number in range(112)]
    assert len(endpoint_list.pack_rows(rows)) < 2000
    for wrong in (
        zlib.compress(bytes(endpoint_list.MAX_ROW_BYTES + 1)),
        endpoint_list.pack_rows(rows)[:-1],
        endpoint_list.pack_rows(rows) + b"x",
    ):
        with pytest.raises(frames.FrameError):
            endpoint_list.unpack_rows(wrong)


def server(ident: str, **changes: Any) -> endpoint_list.Endpoint:
    return replace(endpoint_list.Endpoint(ident, "p", ("10.0.0.1", 80), "z", 4, endpoint_list.IN_SERVICE, 0), **changes)


def test_the_endpoint_list_is_propagated_as_changes_and_as_a_snapshot() -> None:
    root, child, late = endpoint_list.EndpointList(7), endpoint_list.EndpointList(), endpoint_list.EndpointList()
    first = root.update_from_platform([server("a", warmup_ms=900), server("b")])
    assert first is not None and child.apply(root.snapshot()) and child.servers == root.servers
    assert (
        root.update_from_platform([server("a", warmup_ms=100), server("b")]) is None
    )  # progress of a warm-up is no change
    second = root.update_from_platform([server("b", state=endpoint_list.DRAINING), server("c")])
    assert second is not None
    assert late.apply(second) is None  # changes need a base: the whole list is requested
    assert child.apply(second) and child.servers == root.servers
    assert set(child.servers) == {"b", "c"} and child.servers["b"].state == endpoint_list.DRAINING
    assert child.apply(second) is False and late.apply(root.snapshot()) and late.servers == child.servers
    other = endpoint_list.EndpointList(8)
    other.update_from_platform([server("d")])
    assert child.apply(other.snapshot()) and set(child.servers) == {"d"}


@pytest.mark.parametrize("nodes", [1, 10, 300])
def test_the_tree_reaches_every_node_without_a_cycle(nodes: int) -> None:
    registry = NodeRegistry("root")
    for i in range(nodes):
        registry.register(
            frames.JoinRequest(f"n{i}", f"10.0.{i // 250}.{i % 250}", f"z{i % 3}", frames.SERVES_CLIENTS, 0, ""), 0.0
        )
    places = {known.ip: registry.assignment(name, 1, ("t",), "root", nodes) for name, known in registry.nodes.items()}
    children: dict[str, int] = {}
    for ip, place in places.items():
        up, hops = ip, 0
        while up != "root":
            up, hops = places[up].parents[0], hops + 1
            assert hops <= nodes
        children[place.parents[0]] = children.get(place.parents[0], 0) + 1
        assert place.parents[-1] == "root" and place.edge_count == nodes and ip not in place.probed_ips
    assert all(count <= FAN_OUT for ip, count in children.items() if ip != "root")
    assert children["root"] <= 3  # one per zone


def test_a_lost_parent_gets_no_children_until_it_registers_again() -> None:
    registry = NodeRegistry("root")
    joins = [frames.JoinRequest(f"n{i}", f"10.0.0.{i}", "z", frames.SERVES_CLIENTS, 1, "") for i in range(4)]
    for join in joins:
        registry.register(join, 0.0)
    first = registry.order("z")[0]
    child = next(join for join in joins if join.name != first.name)
    assert registry.assignment(child.name, 1, (), "root", 4).parents[0] == first.ip
    registry.register(replace(child, lost_parent=first.ip), 1.0)
    assert first.ip not in registry.assignment(child.name, 1, (), "root", 4).parents
    registry.register(next(join for join in joins if join.name == first.name), 2.0)
    assert registry.assignment(child.name, 1, (), "root", 4).parents[0] == first.ip
    assert registry.expire(11.5) == [join.name for join in joins if join.name not in (first.name,)]


def test_fast_links_get_more_children_than_slow_ones_and_overloaded_nodes_none() -> None:
    registry = NodeRegistry("root")
    core = frames.JoinRequest("core", "10.0.1.1", "z", frames.MAY_BE_MEMBER, 1, "", kbps=30_000)
    edges = [
        frames.JoinRequest(f"n{i}", f"10.0.0.{i}", "z", frames.SERVES_CLIENTS, 1, "", kbps=2_750) for i in range(30)
    ]
    for join in [core, *edges]:
        registry.register(join, 0.0)

    def child_counts() -> Counter[str]:
        return Counter(registry.assignment(join.name, 1, (), "root", 30).parents[0] for join in [core, *edges])

    by_ip = child_counts()
    assert by_ip["root"] == 1 and by_ip[core.ip] == MAX_FAN_OUT  # and not 10.9 x 4, in proportion to the bandwidth
    assert max(count for ip, count in by_ip.items() if ip not in ("root", core.ip)) <= FAN_OUT
    relay = next(join for join in edges if by_ip[join.ip])
    registry.register(replace(relay, flags=frames.SERVES_CLIENTS | frames.IS_OVERLOADED), 1.0)
    assert child_counts()[relay.ip] == 0
    registry.register(replace(core, flags=frames.MAY_BE_MEMBER | frames.IS_OVERLOADED), 1.0)
    assert child_counts()[core.ip] == 0 and sum(child_counts().values()) == 31


def test_a_node_with_event_loop_lag_reports_overload_until_the_lag_decays(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        peers = Peers("127.0.0.1", 1, lambda link, frame: None, lambda link: None, 1000.0)
        relay = TreeNode(parse(BOOT, "boot.conf"), peers, frames.SERVES_CLIENTS)
        now_s, sent_frames = 100.0, list[frames.Frame]()
        monkeypatch.setattr(relay.context, "loop", SimpleNamespace(time=lambda: now_s, call_later=lambda *_: None))
        monkeypatch.setattr(peers, "send", lambda ip, frame: sent_frames.append(frame))
        for lag_s in (0.0, 0.5, *[0.0] * 60):
            relay.tick()
            now_s += 0.1 + lag_s
        slow = [
            bool(frame.flags & frames.IS_OVERLOADED) for frame in sent_frames if isinstance(frame, frames.JoinRequest)
        ]
        assert not slow[0] and any(slow) and not slow[-1]

    run(scenario())


def test_only_proof_counts_as_not_executed() -> None:
    proof = [(b"Not-Executed", b"1")]
    assert classify_gateway(Response(201)) is ReplyKind.SUCCESS
    assert (
        classify_gateway(Response(503, proof)) is ReplyKind.NOT_EXECUTED
        and classify_gateway(Response(429, proof)) is ReplyKind.NOT_EXECUTED
    )
    assert classify_gateway(Response(421)) is ReplyKind.MISDIRECTED
    for status in (503, 429, 500, 504):
        assert classify_gateway(Response(status)) is ReplyKind.FAILURE


def test_the_load_header_is_parsed() -> None:
    report = parse_load(b"3, 2,4")
    assert report is not None and (report.in_flight, report.queue, report.utilization) == (3.0, 2.0, 0.75)
    assert parse_load(b"3,2") is None and parse_load(b"a,b,c") is None and parse_load(None) is None


def test_fleet_wide_retries_stay_within_the_budget_for_any_number_of_nodes() -> None:
    """All nodes together never retry more within a window than the ratio and the slack allow."""
    channels = list(configuration.read(cbor2.dumps(demo_configuration())).routes[:1])
    for nodes in (1, 3, 10, 100):
        settings = balancer_settings(channels, parse(BOOT, "boot.conf"), nodes, 0)
        budgets = [Balancer(settings, seed).budget for seed in range(nodes)]
        assert not any(budget.spend(0) for budget in budgets)  # a starting node has no tokens
        for budget in budgets:
            for _ in range(10_000):
                budget.earn(settings.retry_share)
        spent, first_tries = 0, 0
        for budget in budgets:
            for _ in range(40):
                budget.earn(settings.retry_share)
                first_tries += 1
                while budget.spend(0):
                    spent += 1
        assert spent <= 0.2 * first_tries + 60


def test_changed_settings_keep_statistics_and_requests_in_flight() -> None:
    channels = list(configuration.read(cbor2.dumps(demo_configuration())).routes)
    old = balancer_settings(channels[:1], parse(BOOT, "boot.conf"), 10, 0)
    balancer = Balancer(old, 1)
    balancer.handle(0, pr.ListChanged(1, pr.ListScope.WHOLE, (pr.ServerEntry("s1"), pr.ServerEntry("s2"))))
    kind = old.classes[0].name
    (send,) = (a for a in balancer.handle(1, pr.RequestArrived("r", kind, 5_000_000)) if isinstance(a, pr.Send))
    new = balancer_settings(channels[1:], parse(BOOT, "boot.conf"), 20, 0)
    balancer.handle(2, pr.SettingsChanged(new))
    ended = pr.AttemptEnded("r", 0, send.server, pr.AttemptOutcome.OK, 2000, True)
    balancer.handle(3, ended)
    assert balancer.servers[send.server].latency_us == 2000 and not balancer.requests
    assert balancer.budget.capacity == old.retry_burst / 2
    assert any(
        isinstance(a, pr.Send) for a in balancer.handle(4, pr.RequestArrived("r2", new.classes[0].name, 5_000_000))
    )


def test_a_route_limits_the_number_of_servers_tried_per_request() -> None:
    (first, _) = (
        configuration.read(cbor2.dumps(channel(tries=1) | {"plants": demo_configuration()["plants"]})).routes * 2
    )
    assert request_class(first).tries == 1
    balancer = Balancer(balancer_settings([first], parse(BOOT, "boot.conf"), 1, 0), 1)
    balancer.budget.tokens = 5.0
    balancer.handle(0, pr.ListChanged(1, pr.ListScope.WHOLE, (pr.ServerEntry("s1"), pr.ServerEntry("s2"))))
    kind = request_class(first).name
    (send,) = (a for a in balancer.handle(1, pr.RequestArrived("r", kind, 5_000_000)) if isinstance(a, pr.Send))
    actions = balancer.handle(2, pr.AttemptEnded("r", 0, send.server, pr.AttemptOutcome.RESET, 1, False))
    assert any(isinstance(a, pr.Refuse) for a in actions)


def test_a_large_request_leaves_its_zone_only_if_no_local_server_has_capacity() -> None:
    channels = list(configuration.read(cbor2.dumps(demo_configuration())).routes)
    settings = balancer_settings(channels, parse(BOOT, "boot.conf"), 3, 0)
    balancer = Balancer(settings, 1)
    entries = (pr.ServerEntry("near", "a"), pr.ServerEntry("far", "b"))
    balancer.handle(0, pr.ListChanged(1, pr.ListScope.WHOLE, entries))
    kind = settings.classes[1].name
    for number in range(4):  # the local server gets more requests than its rank alone would allow
        request = pr.RequestArrived(f"r{number}", kind, 5_000_000, is_large=True)
        (send,) = (a for a in balancer.handle(number, request) if isinstance(a, pr.Send))
        assert send.server == "near"
    balancer.handle(10, pr.ListChanged(2, pr.ListScope.WHOLE, entries[1:]))
    (send,) = (
        a
        for a in balancer.handle(11, pr.RequestArrived("last", kind, 5_000_000, is_large=True))
        if isinstance(a, pr.Send)
    )
    assert send.server == "far"


def sent_locally(cross_zone_cost: float) -> int:
    """How many consecutive requests go to the local server before one goes to the other zone, from equal load."""
    channels = list(configuration.read(cbor2.dumps(demo_configuration())).routes)
    settings = balancer_settings(channels, parse(BOOT, "boot.conf"), 10, 0)
    balancer = Balancer(settings, 1)
    entries = (pr.ServerEntry("near", "a"), pr.ServerEntry("far", "b"))
    balancer.handle(0, pr.ListChanged(1, pr.ListScope.WHOLE, entries))
    kind = settings.classes[0].name
    for number in range(40):  # establish a latency of 50 ms and the service rate of both servers
        at_us = number * 60_000
        (send,) = (
            a
            for a in balancer.handle(
                at_us, pr.RequestArrived(f"w{number}", kind, at_us + 5_000_000, cross_zone_cost=0.0)
            )
            if isinstance(a, pr.Send)
        )
        balancer.handle(
            at_us + 50_000, pr.AttemptEnded(f"w{number}", 0, send.server, pr.AttemptOutcome.OK, 50_000, True)
        )
    for number in range(60):
        request = pr.RequestArrived(f"r{number}", kind, 9_000_000, cross_zone_cost=cross_zone_cost)
        (send,) = (a for a in balancer.handle(3_000_000 + number, request) if isinstance(a, pr.Send))
        if send.server == "far":
            return number
    return 60


def test_requests_that_are_expensive_to_transfer_stay_in_their_zone_longer() -> None:
    assert 0 < sent_locally(1.0) < sent_locally(4.0) < sent_locally(10.0) < 60


def test_the_cross_zone_price_is_proportional_to_the_transferred_bytes() -> None:
    sizes = ResponseSizes()
    assert sizes.price_factor("a", 0) == 1.0  # no data yet
    for size in [400] * 3 + [600] * 200:
        sizes.record("a", size)
    assert sizes.price_factor("a", 0) == pytest.approx(600 / CROSS_ZONE_PRICE_BYTES, rel=0.01)
    assert sizes.price_factor("a", 300) == pytest.approx(900 / CROSS_ZONE_PRICE_BYTES, rel=0.01)
    assert sizes.price_factor("a", 10**9) == MAX_CROSS_ZONE_FACTOR


def test_a_node_that_registers_again_keeps_its_parents() -> None:
    registry = NodeRegistry("root")
    joins = [frames.JoinRequest(f"n{i}", f"10.0.0.{i}", "z", frames.SERVES_CLIENTS, 1, "") for i in range(9)]
    for join in joins:
        registry.register(join, 0.0)
    before = [registry.assignment(join.name, 1, (), "root", 9).parents for join in joins]
    for now_s, join in enumerate(joins):
        registry.register(join, float(now_s))
    assert [registry.assignment(join.name, 1, (), "root", 9).parents for join in joins] == before


def test_a_repeated_heartbeat_is_neither_forwarded_nor_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        sent_frames: list[frames.Frame] = []
        peers = Peers("127.0.0.1", 1, lambda link, frame: None, lambda link: None, 1000.0)
        relay = TreeNode(parse(BOOT, "boot.conf"), peers, frames.SERVES_CLIENTS)
        monkeypatch.setattr(relay.children, "broadcast", sent_frames.append)
        parent = relay.subscription.parent = Link(peers, "10.0.0.9")
        heartbeat = frames.RootHeartbeat(7, 0, 0, 1, 5)
        relay.on_heartbeat(parent, heartbeat)
        relay.subscription.heard_s = 0.0
        for repeated in (heartbeat, frames.RootHeartbeat(7, 0, 0, 1, 4)):
            relay.on_heartbeat(parent, repeated)
        assert sent_frames == [heartbeat] and relay.subscription.heard_s == 0.0
        relay.on_heartbeat(parent, frames.RootHeartbeat(7, 0, 0, 1, 6))
        assert len(sent_frames) == 2 and relay.subscription.heard_s > 0.0

    run(scenario())


def test_a_parent_without_a_heartbeat_is_kept_for_a_limited_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        peers = Peers("127.0.0.1", 1, lambda link, frame: None, lambda link: None, 1000.0)
        relay = TreeNode(parse(BOOT, "boot.conf"), peers, frames.SERVES_CLIENTS)
        now_s = 100.0
        monkeypatch.setattr(relay.context, "loop", SimpleNamespace(time=lambda: now_s, call_later=lambda *_: None))
        monkeypatch.setattr(relay, "register_or_search", lambda now_s: None)
        sent_frames: list[frames.Frame] = []
        monkeypatch.setattr(relay.children, "broadcast", sent_frames.append)
        parent = relay.subscription.parent = Link(peers, "10.0.0.9")
        relay.on_heartbeat(parent, frames.RootHeartbeat(7, 0, 0, 1, 1))
        sent_frames.clear()
        while now_s < 101.4:
            now_s += 0.1
            relay.on_keep_alive(parent, frames.KeepAlive())
            relay.tick()
        assert (
            relay.subscription.parent is parent and 2 <= sent_frames.count(frames.KeepAlive()) <= 4
        )  # it forwards them to its own children
        now_s += 0.4
        relay.on_keep_alive(parent, frames.KeepAlive())
        relay.tick()
        assert relay.subscription.parent is not parent

    run(scenario())


def test_a_parent_replaced_by_a_better_one_is_not_reported_as_lost() -> None:
    async def scenario() -> None:
        peers = Peers("127.0.0.1", 1, lambda link, frame: None, lambda link: relay.link_lost(link), 1000.0)
        relay = TreeNode(parse(BOOT, "boot.conf"), peers, frames.SERVES_CLIENTS)
        root = Link(peers, "127.0.0.9")
        relay.on_assignment(
            root, frames.ParentAssignment(1, ("127.0.0.9",), ("127.0.0.8", "127.0.0.9"), (), (), 3, 3, 0)
        )
        relay.on_assignment(
            root, frames.ParentAssignment(1, ("127.0.0.9",), ("127.0.0.7", "127.0.0.9"), (), (), 3, 3, 0)
        )
        assert (
            relay.registration.lost_parent == ""
            and relay.subscription.parent is not None
            and relay.subscription.parent.ip == "127.0.0.7"
        )
        relay.subscription.parent.close()  # a real loss: the next parent is tried, and the root will be informed
        assert (
            relay.registration.lost_parent == "127.0.0.7"
            and relay.subscription.parent is not None
            and relay.subscription.parent.ip == "127.0.0.9"
        )

    run(scenario())
