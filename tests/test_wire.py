"""The simulator adapter: every event and action, and the error message for each kind of invalid input."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from cypressbeam import balancing
from cypressbeam.standalone import simulator

SETTINGS = (
    "classes.count=1 classes.0.name=a classes.0.semantics=read_like classes.0.objectiveUs=500000 "
    "classes.0.deadlineUs=1000000 siblings=3 me=0 bounds.maxAttempts=3 myZone=z new.key=unknown"
)
PROVISION = f"PROVISION 0 7 {SETTINGS}"
LIST = "SYNC 0 1 SAVED 1\nM 10.0.0.1:80 z k 0 active 1 -"


def replies_to(*batches: str) -> list[str]:
    source = "".join(f"TICK {1_000_000 + n * 10_000} {n}\n{text}\nOVER_TO_YOU\n" for n, text in enumerate(batches, 1))
    sink = io.StringIO()
    simulator.serve(io.StringIO(source), sink)
    return sink.getvalue().splitlines()


def error_of(*lines: str) -> str:
    proxies = simulator.SimulatedProxies()
    with pytest.raises(simulator.ProtocolError) as caught:
        proxies.handle_batch("TICK 1000000 9", list(lines))
    return str(caught.value)


def test_an_empty_batch_is_acknowledged() -> None:
    sink = io.StringIO()
    simulator.serve(io.StringIO("TICK 8412250 1\nOVER_TO_YOU\n"), sink)
    assert sink.getvalue() == "ACK 1\n"


def test_a_request_is_sent_to_a_server_and_completed() -> None:
    reply = replies_to(
        PROVISION + "\n" + LIST,
        "ACCEPT 0 r1 a - 1900000 k 12000 1",
        "ATTEMPT_END 0 r1 0 10.0.0.1:80 100 9000 1 backlog:3,recent_ms:14.5,odd:1",
    )
    assert "PASS_ON 0 r1 10.0.0.1:80 0" in reply
    assert reply[-1] == "ACK 3"
    assert not any(line.startswith(("REPORT_FAILURE", "TURN_AWAY")) for line in reply)


def test_every_event_is_parsed() -> None:
    reply = replies_to(
        PROVISION + "\n" + LIST,
        "ACCEPT 0 r1 a t1 1900000 - - 2\nSTREAMING 0 r1 0 10.0.0.1:80 50",
        "SAMPLED 0 10.0.0.1:80 100 1400 -\nPEER_DATA 0 2 68692037\nWAKEUP 0 12345\nTIMED_OUT_CLIENT 0 nobody",
        "SYNC 0 2 INCREMENTAL 1\nM 10.0.0.1:80 z k 0 left 1 6100000",
        "SYNC 0 3 FAILED 0",
        "POWER_OFF 0\n" + PROVISION,
    )
    assert reply[-1] == "ACK 6"
    assert not any(line.startswith("BUG") for line in reply)


@pytest.mark.parametrize("code", [301, 302, 303, 304, 305, 306, 307])
def test_every_attempt_outcome_is_parsed(code: int) -> None:
    reply = replies_to(
        PROVISION + "\n" + LIST,
        "ACCEPT 0 r1 a - 1020001 - - 0",
        f"ATTEMPT_END 0 r1 0 10.0.0.1:80 {code} 9000 0 -",
        "TIMED_OUT_CLIENT 0 r1",
    )
    assert reply[-1] == "ACK 4" and not any(line.startswith("BUG") for line in reply)


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (balancing.Send("r", "s:1", 80), "PASS_ON 3 r s:1 80"),
        (balancing.Cancel("r", 1), "WITHDRAW 3 r 1"),
        (balancing.Fail("r"), "REPORT_FAILURE 3 r"),
        (balancing.Refuse("r", 250), "TURN_AWAY 3 r 250"),
        (balancing.Subscribe(), "TAIL 3 1"),
        (balancing.FetchList(), "READ_LIST 3"),
        (balancing.SetTimer(5, 77), "SLEEP 3 5 77"),
        (balancing.Probe("s:1"), "TOUCH 3 s:1"),
        (balancing.SendMessage(-1, b"hi"), "SAY 3 -1 6869"),
        (balancing.Log("two\nservers  known"), "RECORD 3 two servers known"),
    ],
)
def test_every_action_is_formatted(action: balancing.Action, text: str) -> None:
    assert simulator.format_action(3, action) == text


def test_settings_are_parsed() -> None:
    message = simulator.Message(
        PROVISION + " bounds.secondCopies=true weights=rough membershipMode=ask "
        "report.fields=backlog,recent_ms tenants.count=1 tenants.0.name=t "
        "tenants.0.quotaPerS=5",
        "1",
    )
    settings = simulator.parse_profile(message, 3).settings()
    assert settings.proxies == 3 and settings.zone == "z" and settings.may_overlap and settings.must_subscribe
    assert settings.weights is balancing.WeightMeaning.SIZE and settings.reports == ("backlog", "recent_ms")
    assert settings.classes[0].repeat is balancing.Repeat.SAFE and settings.tenants == {"t": 5.0}


@pytest.mark.parametrize(
    ("lines", "text"),
    [
        (["NONSENSE 0"], "batch 9: NONSENSE: message: unknown message"),
        (["ACCEPT 4 r a - 5 - - 0"], "batch 9: ACCEPT: who: instance 4 is not running"),
        ([PROVISION, "ACCEPT 0 r a"], "batch 9: ACCEPT: number of fields: 8 needed, 3 given"),
        ([PROVISION, "ACCEPT 0 r a - soon - - 0"], "batch 9: ACCEPT: giveUpAtUs: a whole number is needed, not 'soon'"),
        ([PROVISION, "ACCEPT 0 - a - 5 - - 0"], "batch 9: ACCEPT: ref: a value is needed"),
        ([PROVISION, "ATTEMPT_END 0 r 0 s 999 5 1 -"], "batch 9: ATTEMPT_END: ending: unknown value '999'"),
        ([PROVISION, "ATTEMPT_END 0 r -1 s 100 5 1 -"], "batch 9: ATTEMPT_END: go: at least 0 is needed, not -1"),
        (
            [PROVISION, "ATTEMPT_END 0 r 0 s 100 5 1 backlog"],
            "batch 9: ATTEMPT_END: telemetry: name:value is needed, not 'backlog'",
        ),
        (
            [PROVISION, "ATTEMPT_END 0 r 0 s 100 5 1 backlog:x"],
            "batch 9: ATTEMPT_END: telemetry.backlog: a number is needed, not 'x'",
        ),
        (
            [PROVISION, "SYNC 0 1 FULL 2", "M s z k 0 active 1 -"],
            "batch 9: SYNC: rowsIn: 2 entries were announced, but 1 follow",
        ),
        ([PROVISION, "SYNC 0 1 FULL 1", "M s z k 0 asleep 1 -"], "batch 9: M: status: unknown value 'asleep'"),
        ([PROVISION, "PEER_DATA 0 1 xyz"], "batch 9: PEER_DATA: bytes: hex digits are needed, not 'xyz'"),
        (["PROVISION 0"], "batch 9: PROVISION: number of fields: the field nonce64 is needed"),
        (["PROVISION 0 7 nonsense"], "batch 9: PROVISION: profileData: path=value is needed, not 'nonsense'"),
        (["PROVISION 0 7 siblings=3"], "settings.classes: at least one class is needed"),
        ([PROVISION.replace("read_like", "lucky")], "batch 9: PROVISION: classes.0.semantics: unknown value 'lucky'"),
        (
            [PROVISION.replace("siblings=3", "siblings=0")],
            "settings.proxies: a whole number of at least 1 is needed, not 0",
        ),
        (
            [PROVISION.replace("siblings=3", "siblings=-3")],
            "batch 9: PROVISION: siblings: at least 0 is needed, not -3",
        ),
        ([""], "batch 9: (empty line): message: unknown message"),
        (["ACCEPT"], "batch 9: ACCEPT: number of fields: the field who is needed"),
        ([PROVISION, "SYNC 0 1 FULL 1", "ACCEPT 0 r a - 5 - - 0"], "batch 9: ACCEPT: rowsIn: an M line is needed here"),
        (
            [PROVISION, "ATTEMPT_END 0 r 0 s 100 5 1 backlog:-1"],
            "batch 9: ATTEMPT_END: telemetry.backlog: a number of at least 0 is needed, not '-1'",
        ),
        (
            [PROVISION.replace("classes.0.semantics=read_like", "classes.0.semantics=")],
            "batch 9: PROVISION: classes.0.semantics: a value is needed",
        ),
    ],
)
def test_errors_name_the_invalid_field(lines: list[str], text: str) -> None:
    assert text in error_of(*lines)


def run_adapter(text: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "cypressbeam.standalone.simulator"],
        input=text,
        text=True,
        capture_output=True,
        check=False,
    )


def test_end_of_input_between_batches_exits_cleanly() -> None:
    process = run_adapter("TICK 1 1\nOVER_TO_YOU\n")
    assert (process.returncode, process.stdout, process.stderr) == (0, "ACK 1\n", "")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("TICK 1 1\n", "OVER_TO_YOU: the input ended inside the batch"),
        ("TICK 1 1\nWAKEUP 0 5\nOVER_TO_", "OVER_TO_YOU: the input ended inside the batch"),
        ("TICK 1 1\nWAKEUP 0 5\nOVER_TO_YOU\n", "batch 1: WAKEUP: who: instance 0 is not running"),
        ("TOCK 1 1\nOVER_TO_YOU\n", "TOCK: message: a batch must start with TICK"),
    ],
)
def test_invalid_input_exits_with_one_error_line_and_no_reply(text: str, message: str) -> None:
    process = run_adapter(text)
    assert process.returncode == 1 and process.stdout == ""
    assert message in process.stderr and process.stderr.count("\n") == 1


def test_an_exception_in_a_balancer_is_reported_for_its_instance(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: balancing.Balancer, now_us: int, event: balancing.Event) -> list[balancing.Action]:
        raise KeyError("lost\nkey")

    monkeypatch.setattr(balancing.Balancer, "handle", broken)
    reply = replies_to(PROVISION + "\n" + LIST)
    assert reply[0].startswith("BUG 0 KeyError:") and reply[-1] == "ACK 1"


def test_a_restart_within_one_batch_discards_all_state() -> None:
    reply = replies_to(
        PROVISION + "\n" + LIST + "\nACCEPT 0 r1 a - 1900000 - - 0",
        "POWER_OFF 0\n" + PROVISION + "\nSYNC 0 2 SAVED 1\nM 10.0.0.2:80 z k 0 active 1 -",
        "ACCEPT 0 r2 a - 1900000 - - 0",
    )
    assert [line for line in reply if line.startswith("PASS_ON")] == [
        "PASS_ON 0 r1 10.0.0.1:80 0",
        "PASS_ON 0 r2 10.0.0.2:80 0",
    ]


def test_replies_do_not_depend_on_the_hash_seed() -> None:
    text = (
        f"TICK 1000000 1\n{PROVISION} warm=1\nSYNC 0 1 SAVED 3\n"
        + "".join(f"M 10.0.0.{i}:80 z k 0 active 1 -\n" for i in range(3))
        + "".join(f"ACCEPT 0 r{i} a - 1900000 k{i % 3} - 0\n" for i in range(40))
        + "OVER_TO_YOU\n"
    )
    replies = [
        subprocess.run(
            [sys.executable, "-m", "cypressbeam.standalone.simulator"],
            input=text,
            text=True,
            check=True,
            capture_output=True,
            env={"PYTHONHASHSEED": seed},
        ).stdout
        for seed in "123"
    ]
    assert replies[0] == replies[1] == replies[2] and replies[0].count("PASS_ON") == 40
