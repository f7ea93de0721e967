"""Parses the balancer settings of a proxy from a flat mapping of setting paths to text values.

Shared by the simulator adapter (cypressbeam/standalone/simulator.py) and the configuration file of a standalone node.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from cypressbeam.balancing import interface as it
from cypressbeam.errors import CypressbeamError

T = TypeVar("T")

REPEAT_BY_SEMANTICS = {
    "read_like": it.Repeat.SAFE,
    "idempotency_key": it.Repeat.KEYED,
    "non_idempotent": it.Repeat.UNSAFE,
}
DEDUPLICATION_GROUPS = {"all": it.Group.ALL, "zone": it.Group.ZONE, "cell": it.Group.CELL}
WEIGHT_MEANINGS = {
    "none": it.WeightMeaning.NONE,
    "nominal": it.WeightMeaning.SIZE,
    "rough": it.WeightMeaning.SIZE,
    "live": it.WeightMeaning.LIVE,
}
MUST_SUBSCRIBE_BY_MODE = {"push": False, "ask": True}
BOOLEANS = {"true": True, "false": False, "1": True, "0": False}
REPORTS_IN_ANSWERS = {"answers": True, "probe": False, "none": False}


class ProfileError(CypressbeamError, ValueError):
    """An invalid setting: its path and the reason."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


def parse_integer(text: str, path: str, minimum: int | None = None) -> int:
    try:
        value = int(text)
    except ValueError:
        raise ProfileError(path, f"a whole number is needed, not {text!r}") from None
    if minimum is not None and value < minimum:
        raise ProfileError(path, f"at least {minimum} is needed, not {value}")
    return value


def parse_number(text: str, path: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ProfileError(path, f"a number is needed, not {text!r}") from None
    if not 0 <= value < float("inf"):
        raise ProfileError(path, f"a number of at least 0 is needed, not {text!r}")
    return value


def parse_choice(text: str, path: str, choices: Mapping[str, T]) -> T:
    if text not in choices:
        raise ProfileError(path, f"unknown value {text!r}; known are {', '.join(choices)}")
    return choices[text]


class Profile:
    """Settings by path. Unknown paths are ignored; an empty value or `-` means the default."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str) -> str:
        value = self.values.get(path, "")
        return default if value in ("", "-") else value

    def integer(self, path: str, default: int) -> int:
        text = self.text(path, "")
        return parse_integer(text, path, 0) if text else default

    def number(self, path: str, default: float) -> float:
        text = self.text(path, "")
        return parse_number(text, path) if text else default

    def choice(self, path: str, choices: Mapping[str, T], default: T) -> T:
        text = self.text(path, "")
        return parse_choice(text, path, choices) if text else default

    def settings(self) -> it.Settings:
        classes = []
        for i in range(self.integer("classes.count", 0)):
            prefix = f"classes.{i}."
            if not self.text(prefix + "semantics", ""):
                raise ProfileError(prefix + "semantics", "a value is needed")
            classes.append(
                it.RequestClass(
                    name=self.text(prefix + "name", str(i)),
                    repeat=self.choice(prefix + "semantics", REPEAT_BY_SEMANTICS, it.Repeat.UNSAFE),
                    latency_target_us=self.integer(prefix + "objectiveUs", 0),
                    deadline_us=self.integer(prefix + "deadlineUs", 0),
                    group=self.choice(prefix + "group", DEDUPLICATION_GROUPS, it.Group.ALL),
                    window_us=self.integer(prefix + "dedupWindowUs", 0),
                    value=self.number(prefix + "value", 1.0),
                    late_value=self.number(prefix + "lateWorth", 0.0),
                    streamed=self.choice(prefix + "streamed", BOOLEANS, False),
                    latency_target_stretch=self.number(prefix + "aimStretch", 0.0),
                )
            )
        tenants = {}
        for i in range(self.integer("tenants.count", 0)):
            name = self.text(f"tenants.{i}.name", str(i))
            tenants[name] = self.number(f"tenants.{i}.quotaPerS", 0.0)
        prices = it.Prices(
            cross_zone=self.number("prices.crossZone", 0.0),
            waste=self.number("prices.waste", 0.0),
            handshake=self.number("prices.handshake", 0.0),
            probe=self.number("prices.probe", 0.0),
            message=self.number("prices.peer", 0.0),
            late_failure=self.number("prices.lateFail", 0.0),
        )
        reports = tuple(name for name in self.text("report.fields", "").split(",") if name)
        return it.Settings(
            classes=tuple(classes),
            proxies=self.integer("siblings", 1),
            own_name=self.integer("me", 0),
            zone=self.text("myZone", ""),
            must_subscribe=self.choice("membershipMode", MUST_SUBSCRIBE_BY_MODE, False),
            may_cancel=self.choice("bounds.cancelling", BOOLEANS, False),
            may_overlap=self.choice("bounds.secondCopies", BOOLEANS, False),
            may_probe=self.choice("bounds.probes", BOOLEANS, False),
            may_message=self.choice("bounds.mayTell", BOOLEANS, False),
            retry_advice=self.choice("bounds.retryAfter", BOOLEANS, False),
            max_attempts=self.integer("bounds.maxAttempts", 1),
            max_advice_us=self.integer("bounds.maxRetryAfterUs", 0),
            warm_keys=self.choice("familyInfo.warmKeys", BOOLEANS, False),
            weights=self.choice("weights", WEIGHT_MEANINGS, it.WeightMeaning.NONE),
            value_is_per_work=self.text("worthBy", "request") == "work",
            reports=reports,
            reports_in_answers=self.choice("report.via", REPORTS_IN_ANSWERS, False),
            prices=prices,
            drain_grace_us=self.integer("safety.drainGraceUs", 0),
            ask_within_us=self.integer("safety.askWithinUs", 10_000_000),
            cold_share=self.number("safety.coldFrom", 1.0),
            cold_us=self.integer("safety.coldUs", 0),
            fall_multiple=self.number("safety.fallMultiple", 1.0),
            fall_us=self.integer("safety.overloadForUs", 0),
            answer_slack_us=self.integer("safety.graceToAnswerUs", 0),
            tick_us=self.integer("resolutionUs", 1000),
            tenants=tenants,
        )
