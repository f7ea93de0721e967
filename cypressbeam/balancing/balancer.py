"""The load balancer's decisions. Its settings, events and actions are defined in cypressbeam/balancing/interface.py.

Reading order: constants, latency histogram, token bucket, throttle, request and server state, then `Balancer` with its
events, membership, request lifecycle, server selection and eligibility checks. Times are whole microseconds; randomness
comes from the balancer's own seeded generator.
"""

from __future__ import annotations

import hashlib
import math
import random
from statistics import median_low

from cypressbeam.balancing import interface as it
from cypressbeam.balancing.interface import AttemptOutcome, Repeat

# Attempt timeout: the accepted share of responses cut off by mistake, the minimum multiple of the median latency, and
# the number of samples from which the percentile is read off the histogram. With fewer, from MIN_LOGNORMAL_SAMPLES on,
# the tail is estimated from a log-normal fit: TAIL_Z_SCORE standard deviations above the mean, widened for small
# samples, with the variance shrunk towards a prior of PRIOR_SIGMA that counts as PRIOR_SAMPLES samples.
FALSE_TIMEOUT_RATE = 0.001
PADDING = 2.0
MIN_SAMPLES = 300
MIN_LOGNORMAL_SAMPLES = 20
TAIL_Z_SCORE = 3.09
PRIOR_SIGMA, PRIOR_SAMPLES = 0.8, 20.0
# Maximum number of retries per request; the settings and the request's class may allow fewer.
RETRIES_EACH = 2
# Exponential backoff with full jitter.
BACKOFF_BASE_US = 10_000
BACKOFF_CAP_US = 200_000
# Health: EWMA weight of the newest outcome in a success rate, the rates below which a server counts as unhealthy and
# below which retries stop, and the time until an unhealthy server is tried again.
SUCCESS_EWMA_WEIGHT = 0.2
MIN_SERVER_SUCCESS = 0.5
MIN_FLEET_SUCCESS = 0.7
BASE_EJECTION_US = 2_000_000
# Where many proxies share a server, each sees few of its responses, so an error or a broken connection weighs more. A
# timeout doesn't, since load causes timeouts too. Each further fault doubles the ejection time, up to this many times.
FAULT_EWMA_WEIGHT = 0.6
MAX_EJECTION_DOUBLINGS = 3
# The higher weight applies only while at least half of the servers have at most this share of faults, counted without
# it. Where most servers fail occasionally, a single fault doesn't distinguish them and would eject nearly all of them.
RARE_FAULT_SHARE = 0.1
FAULT_OUTCOMES = frozenset({AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED})
MIN_RETRY_AFTER_US = 50_000
# EWMA weights of the newest value: observed latency, reported service time, and slowly moving baselines.
LATENCY_EWMA_WEIGHT = 0.1
SERVICE_EWMA_WEIGHT = 0.3
BASELINE_EWMA_WEIGHT = 0.01
# EWMA weight of the newest interval between responses. A wait counts as slow once it exceeds INTERVAL_SLACK mean
# intervals: random variation rarely produces a gap that long.
INTERVAL_EWMA_WEIGHT = 0.1
INTERVAL_SLACK = 4.0
# A server is saturated if its response interval and its latency both exceed their baselines by SATURATION_RATIO, or if
# its reported service time exceeds its baseline by SLOW_SERVICE_RATIO.
SATURATION_RATIO = 1.6
SLOW_SERVICE_RATIO = 2.5
# Under overload, delay limits scale with value per unit of work to this power (0: not at all). The work of a class is
# estimated as the latency that UNQUEUED_SHARE of its responses exceed, which contains little queueing time.
VALUE_EXPONENT = 0.5
UNQUEUED_SHARE = 0.9
# A server is congested if its expected delay exceeds this multiple of the typical median latency, or of its own
# baseline latency. The delay limit for refusals is divided by the typical spread of latencies: the latency that
# SPREAD_SHARE of the responses exceed, relative to the median.
CONGESTION_RATIO = 1.2
SERVER_CONGESTION_RATIO = 1.5
SPREAD_SHARE = 0.25
# An attempt is presumed lost once it has been out for this multiple of the latency that LOST_LATENCY_SHARE of the
# responses exceed, and an attempt sent later was answered.
LOST_LATENCY_RATIO = 2.0
LOST_LATENCY_SHARE = 0.1
# Adaptive throttle: the share of admitted requests to be answered within their latency target, the largest change per
# response, and the bounds of the admission level. Above 1, the level is credit that absorbs a few late responses.
ON_TIME_SHARE = 0.85
MANY_PROXIES = 12.0  # per server: from here on, no proxy can see a server's queue in its own attempts
THROTTLE_STEP = 0.05
MAX_ADMISSION = 1.5
MIN_ADMISSION = 0.1  # below it, too few responses would return to open the throttle again
THROTTLE_WINDOW_US = 4_000_000  # at high rates, the level moves by 1 over the responses of about this time
# Tenants: below this admission level, requests over a tenant's share are shed. A tenant may save up this many seconds
# of its share, plus a few requests for random variation.
TENANT_LIMIT_ADMISSION = 1.25
TENANT_BURST_S = 5.0
TENANT_BURST_REQUESTS = 2.0
# Interval of the periodic timer.
HOUSEKEEPING_US = 200_000
# Share of a cold server's traffic budget that is used, leaving a margin for uneven traffic.
COLD_BUDGET_SHARE = 0.4
# Extra load, in requests in flight, that sending a request across zones counts as for each unit of its price (a share
# of the request's value). At a price of 0.06 that is slightly more than one request of this proxy (with 3 proxies). A
# higher factor would let the zone override the load.
CROSS_ZONE_LOAD = 65.0
# Where many proxies share the servers, sending across zones becomes cheaper when it pays off: when the share of late
# responses in the own zone exceeds that of the other zones by this part of the price (each extra request delays others
# too). Then the EWMA weight of the newest response in those shares, and how far each moves the level, times the gain.
SPILLOVER_MIN_GAIN = 0.5
SPILLOVER_EWMA_WEIGHT = 0.05
SPILLOVER_STEP = 0.1
# A request that the throttle would refuse goes to the best of a few random servers of other zones, as long as at most
# this share of the responses from there is late.
MAX_REMOTE_LATE_SHARE = 0.1
REMOTE_CANDIDATES = 4
SPILLOVER_DECAY = 0.005  # reduction of one side's share of late responses with each response from the other side
# Subsetting: how many proxies may keep a connection to one server (with more, each would hear from the server too
# rarely to judge it), the minimum number of servers of the own zone in the pool, and the share of that number taken
# from other zones.
MAX_PROXIES_PER_SERVER = 14
MIN_POOL_SIZE = 6
REMOTE_POOL_SHARE = 1 / 3
# Where many proxies share the servers, a request considers this many candidates, sampled by capacity, for each server
# that the proxy would have to itself. Reports change the weight of a server by at most MAX_SPEED_FACTOR.
CANDIDATES_PER_OWN_SERVER = 24
MIN_CANDIDATES = 2
MAX_SPEED_FACTOR = 5.0
# A cold server receives at most this multiple of its share, by current capacity, of the traffic of this proxy. Zones
# differ in traffic, and it takes more than this to overload a server.
COLD_TRAFFIC_FACTOR = 1.5
# Key affinity: how long a server is assumed to keep a key cached, and the factors on the rank of a server that has
# served the key and of the server where all proxies meet for it.
KEY_RETENTION_US = 5_000_000
WARM_RANK_FACTOR = 0.05
AFFINITY_RANK_FACTOR = 0.06
UNKNOWN_KEY_LIMIT_FACTOR = 0.6  # on the delay limit of a server without the key: it displaces the keys that it holds
MAX_KEYS = 20_000  # bounds memory; what is known of keys is discarded beyond it
# Backoff with jitter before the server list is called again after a failure.
RESUBSCRIBE_BASE_US = 300_000
RESUBSCRIBE_CAP_US = 4_000_000


class LatencyPercentile:
    """Latency percentiles from a histogram with geometric buckets and decaying counts."""

    STEP = math.log(2) / 8
    HALVE_AT = 4000

    def __init__(self) -> None:
        self.counts = [0.0] * 256
        self.total = 0.0
        self.log_sum = self.log_square_sum = 0.0

    def add(self, value_us: float) -> None:
        """Add a sample, and halve all counts once there are HALVE_AT samples."""
        log = math.log(max(value_us, 1.0))
        self.log_sum += log
        self.log_square_sum += log * log
        bucket = int(math.log(value_us) / self.STEP) if value_us > 1 else 0
        self.counts[min(bucket, 255)] += 1.0
        self.total += 1.0
        if self.total >= self.HALVE_AT:
            self.counts = [c / 2 for c in self.counts]
            self.total, self.log_sum, self.log_square_sum = self.total / 2, self.log_sum / 2, self.log_square_sum / 2

    def exceeding(self, share: float) -> float:
        """The latency that a share of the responses exceeds (the upper edge of its bucket)."""
        remaining = share * self.total
        for bucket in range(255, -1, -1):
            remaining -= self.counts[bucket]
            if remaining < 0:
                return math.exp((bucket + 1) * self.STEP)
        return 0.0

    def tail_us(self, allow_estimate: bool) -> float:
        """The latency that FALSE_TIMEOUT_RATE of the responses exceed; 0 if there are too few samples.

        With `allow_estimate`, few samples are enough for an estimate. Each of 77 proxies sees about one response of a
        class per second, so 300 samples may never accumulate; without an estimate a request to an unresponsive server
        is held until its client gives up, for instance after 20 s.
        """
        if self.total >= MIN_SAMPLES:
            return self.exceeding(FALSE_TIMEOUT_RATE)
        if not allow_estimate or self.total < MIN_LOGNORMAL_SAMPLES:
            return 0.0
        mean_log = self.log_sum / self.total
        variance = max(self.log_square_sum - self.total * mean_log * mean_log, 0.0) + PRIOR_SAMPLES * PRIOR_SIGMA**2
        sigma = math.sqrt(variance / (self.total + PRIOR_SAMPLES))
        return math.exp(mean_log + sigma * (TAIL_Z_SCORE + TAIL_Z_SCORE / math.sqrt(self.total)))


class TokenBudget:
    """A token bucket, for the retry budget and for the shares of tenants."""

    def __init__(self, capacity: float, rate_per_s: float = 0.0) -> None:
        self.tokens = self.capacity = capacity
        self.rate_per_s = rate_per_s
        self.updated_us = 0

    def earn(self, tokens: float) -> None:
        """Add tokens, up to the bucket's capacity."""
        self.tokens = min(self.capacity, self.tokens + tokens)

    def spend(self, now_us: int) -> bool:
        """Refill the bucket at its rate, then take one token if there is one."""
        self.earn(self.rate_per_s * (now_us - self.updated_us) / 1e6)
        self.updated_us = now_us
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class AdaptiveThrottle:
    """Refuses requests on arrival in proportion to late responses, whatever causes the lateness.

    With hundreds of proxies each has about one attempt in flight, so none of them sees a queue grow.
    """

    def __init__(self) -> None:
        self.admission = MAX_ADMISSION
        self.recent_count = 0.0  # responses within about THROTTLE_WINDOW_US, exponentially decayed
        self.updated_us = 0

    def record(self, on_time: bool, now_us: int) -> None:
        """Move the admission level up after a response on time, and down after a late one."""
        self.recent_count = self.recent_count * math.exp((self.updated_us - now_us) / THROTTLE_WINDOW_US) + 1.0
        self.updated_us = now_us
        step = 1.0 if on_time else -ON_TIME_SHARE / (1.0 - ON_TIME_SHARE)
        self.admission += step * min(THROTTLE_STEP, 1.0 / self.recent_count)
        self.admission = min(max(self.admission, MIN_ADMISSION), MAX_ADMISSION)

    def shed_share(self) -> float:
        """The share of the offered work to refuse."""
        return max(0.0, 1.0 - self.admission)


class ClassDemand:
    """Recent work offered by each request class, and how a limited total is divided between them.

    Shedding all classes alike would spend the remaining capacity on low-value requests as readily as on high-value
    ones, even where all of the high-value requests would fit.
    """

    def __init__(self, names: list[str]) -> None:
        self.offered_work = dict.fromkeys(names, 0.0)
        self.updated_us = 0

    def record(self, name: str, work: float, now_us: int) -> None:
        """Add the work of an arriving request; earlier work decays exponentially."""
        decay = math.exp((self.updated_us - now_us) / THROTTLE_WINDOW_US)
        for other in self.offered_work:
            self.offered_work[other] *= decay
        self.offered_work[name] += work
        self.updated_us = now_us

    def admitted_share(self, name: str, share: float, value_per_work: dict[str, float]) -> float:
        """The share of a class to admit: proportional to its value per unit of work, at most 1."""
        capacity = share * sum(self.offered_work.values())
        claims = sum(value_per_work[other] * work for other, work in self.offered_work.items())
        for candidate in sorted(value_per_work, key=lambda other: -value_per_work[other]):
            if not claims or capacity * value_per_work[candidate] < claims:
                break  # this class doesn't fit completely: it shares what is left with the classes of lower value
            if candidate == name:
                return 1.0
            capacity -= self.offered_work[candidate]
            claims -= value_per_work[candidate] * self.offered_work[candidate]
        return min(1.0, max(capacity, 0.0) * value_per_work[name] / claims) if claims > 0 else 1.0


class ZoneSpillover:
    """How readily requests leave their zone.

    The level rises while late responses are more frequent in the own zone than in others, by more than the price of
    crossing. By the price alone, proxies of a zone with 3 times the traffic per server of another zone kept all
    requests in their zone although responses were late.
    """

    def __init__(self, price: float) -> None:
        self.min_gain = SPILLOVER_MIN_GAIN * price
        self.late_share = {True: 0.0, False: 0.0}  # by whether the server is in the own zone
        self.level = 0.0  # 0: crossing costs its full price; 1: nothing

    def record(self, local: bool, late: bool) -> None:
        """Update the shares of late responses, and the spillover level by their difference."""
        self.late_share[local] = ewma(self.late_share[local], float(late), SPILLOVER_EWMA_WEIGHT)
        self.late_share[not local] *= 1.0 - SPILLOVER_DECAY  # or a side without traffic would keep its last value
        gain = self.late_share[True] - self.late_share[False] - self.min_gain
        self.level = min(max(self.level + SPILLOVER_STEP * gain, 0.0), 1.0)


class Attempt:
    """One attempt of a request at one server."""

    __slots__ = ("ended", "entry", "never_ran", "sent_us", "server", "streaming")

    def __init__(self, entry: it.ServerEntry, sent_us: int) -> None:
        self.server = entry.server
        self.entry = entry
        self.sent_us = sent_us
        self.ended = False
        self.never_ran = False
        self.streaming = False


class Request:
    """A client request and its attempts."""

    __slots__ = (
        "arrived",
        "arrived_us",
        "attempts",
        "closed",
        "in_flight",
        "outcome_recorded",
        "request_class",
        "retry_token",
    )

    def __init__(self, arrived: it.RequestArrived, request_class: it.RequestClass, now_us: int) -> None:
        self.arrived = arrived
        self.request_class = request_class
        self.arrived_us = now_us
        self.attempts: list[Attempt] = []
        self.in_flight = 0
        self.closed = False
        self.outcome_recorded = False  # by the throttle, as on time or late
        self.retry_token = 0

    def first_that_may_have_run(self) -> Attempt | None:
        """The earliest attempt that the server may have executed."""
        return next((a for a in self.attempts if not a.never_ran), None)


class ServerView:
    """What this proxy knows about one server, from its list entry and from its own traffic."""

    def __init__(self, entry: it.ServerEntry) -> None:
        self.ring_position = stable_hash(entry.server)
        self.update_entry(entry)
        self.in_flight: dict[tuple[str, int], int] = {}
        self.latency_us: float | None = None
        self.service_us: float | None = None
        self.baseline_service_us: float | None = None
        self.baseline_latency_us: float | None = None
        self.queue = 0.0
        self.success = 1.0
        self.unweighted_success = 1.0  # all outcomes count the same
        self.fault_share = 0.0  # likewise
        self.last_sent_us = 0
        self.consecutive_faults = 0
        self.ejection_us = BASE_EJECTION_US  # how long an unhealthy server is left alone before the next trial
        self.rank = self.rank_base_us = self.load = self.rank_work_us = 0.0  # C3 rank and its components
        self.response_interval_us: float | None = None  # time between responses while any is outstanding
        self.baseline_interval_us: float | None = None
        self.waited_us = 0
        self.wait_updated_us = 0
        self.last_answered_sent_us = 0  # when the latest of the answered attempts was sent
        self.is_unhealthy = False

    def update_entry(self, entry: it.ServerEntry) -> None:
        """Apply a new list entry of the same server process."""
        self.entry = entry
        self.is_inactive = entry.state is not it.ServerState.ACTIVE
        self.listed = entry.state is not it.ServerState.GONE

    def rank_with(self, extra_load: float) -> float:
        """The C3 rank of the server with this many more requests in flight."""
        return self.rank_base_us + (1.0 + self.load + extra_load) ** 3 * self.rank_work_us

    def outstanding(self, now_us: int, lost_after_us: float) -> tuple[int, int]:
        """The number of attempts that still expect a response, and when the first of them was sent.

        Requests on connections that went silent never get a response. They must not count as a queue at a server that
        answers all others promptly, or in the end every request is refused.
        """
        cutoff_us = min(self.last_answered_sent_us, now_us - lost_after_us)
        for lost, sent_us in enumerate(self.in_flight.values()):  # in the order of sending
            if sent_us >= cutoff_us:
                return len(self.in_flight) - lost, sent_us
        return 0, now_us

    def update_waited(self, now_us: int, lost_after_us: float) -> None:
        """Add up the time with a response outstanding; call before `in_flight` changes."""
        if self.in_flight and self.outstanding(now_us, lost_after_us)[0]:
            self.waited_us += now_us - self.wait_updated_us
        self.wait_updated_us = now_us

    def apply_report(self, report: it.Report | None) -> None:
        """Update the queue length and the service times from a server's load report."""
        if report is None:
            return
        if report.queue is not None:
            self.queue = report.queue
        if report.service_us:  # 0: nothing served yet; as a service time it would rank the server first at any load
            self.service_us = ewma(self.service_us, report.service_us, SERVICE_EWMA_WEIGHT)
            self.baseline_service_us = ewma(self.baseline_service_us, report.service_us, BASELINE_EWMA_WEIGHT)


def ewma(old: float | None, new: float, weight: float) -> float:
    """The exponentially weighted moving average after a new value; the first value stands for itself."""
    return new if old is None else old + weight * (new - old)


def track_baseline(old: float | None, new: float) -> float:
    """Follows low values quickly and high ones slowly, so that congestion at the start doesn't become the baseline."""
    return ewma(old, new, BASELINE_EWMA_WEIGHT if old is not None and new > old else LATENCY_EWMA_WEIGHT)


def mean(values: list[float]) -> float | None:
    """The arithmetic mean, or None without values."""
    return sum(values) / len(values) if values else None


class Balancer:
    """The decisions of one proxy: feed it events in order and carry out the actions it returns."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.servers: dict[str, ServerView] = {}
        self.pool: list[ServerView] = []
        self.cumulative_weights: list[float] = []  # for sampling from the pool
        self.capacity = 0.0  # of the pool, in servers of average speed
        self.sampled_cold_server = ""  # the cold server that the current request may be sent to
        self.proxies_per_server = 1.0  # on average
        self.requests: dict[str, Request] = {}
        self.percentiles = {request_class.name: LatencyPercentile() for request_class in settings.classes}
        self.mean_hints_us: dict[str, float] = {}
        self.budget = TokenBudget(settings.retry_burst)
        if settings.retry_from_empty:
            self.budget.tokens = 0.0
        self.throttle = AdaptiveThrottle()
        self.spillover = ZoneSpillover(settings.prices.cross_zone)
        # This proxy's part of the rate of each tenant; tenants without a rate are unlimited.
        rates = {name: rate / settings.proxies for name, rate in settings.tenants.items() if rate}
        self.tenant_buckets = {
            name: TokenBudget(TENANT_BURST_S * own_rate + TENANT_BURST_REQUESTS, own_rate)
            for name, own_rate in rates.items()
        }
        self.timers: dict[int, tuple[str, str]] = {}
        self.last_token = 0
        self.actions: list[it.Action] = []
        self.now_us = 0
        self.started = False
        self.failed_list_calls = 0
        self.fleet_latency_us = self.fleet_service_us = 1.0
        self.fleet_interval_us = 0.0
        self.congestion_delay_us = math.inf
        self.faults_are_rare = True
        self.latency_spread = 1.0
        self.demand = ClassDemand([request_class.name for request_class in settings.classes])
        self.value_weights = {request_class.name: 1.0 for request_class in settings.classes}
        self.limit_factors = {request_class.name: 1.0 for request_class in settings.classes}
        # What is known of keys, in two generations, since most keys never occur again.
        self.key_servers: dict[str, dict[str, int]] = {}  # when each server last answered a request for a key
        self.previous_key_servers: dict[str, dict[str, int]] = {}
        self.affinity: dict[str, str] = {}
        self.previous_affinity: dict[str, str] = {}
        self.keys_rotated_us = 0
        self.lost_after_us = math.inf
        self.capacity_wait_us = 0.0  # expected time until a server can take the request that was refused last
        self.attempt_timeouts_us: dict[str, float] = {}
        # Spreads the proxies evenly over [0, 1) by their index (golden ratio sequence).
        self.phase = (settings.own_name * 0.6180339887498949) % 1.0
        self.last_logged_us: dict[str, int] = {}

    # -- events --------------------------------------------------------------------------------------

    def handle(self, now_us: int, event: it.Event) -> list[it.Action]:
        """Process one event and return the actions to carry out, in their order."""
        self.now_us = now_us
        self.actions = []
        if not self.started:
            self.started = True
            self.keys_rotated_us = now_us
            if self.settings.must_subscribe:
                self.actions.append(it.Subscribe())
            self.set_timer(int(HOUSEKEEPING_US * (0.5 + self.phase)), "housekeeping")
        if isinstance(event, it.RequestArrived):
            self.on_arrival(event)
        elif isinstance(event, it.AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, it.TimerFired):
            self.on_timer(event.token)
        elif isinstance(event, it.ListChanged):
            self.on_list_changed(event)
        elif isinstance(event, it.ClientGone):
            request = self.requests.get(event.request)
            if request is not None:
                self.close(request)
        elif isinstance(event, it.StreamBegan):
            self.on_stream_began(event)
        elif isinstance(event, it.SettingsChanged):
            self.on_settings_changed(event.settings)
        elif isinstance(event, it.ServerUnhealthy):
            self.on_server_unhealthy(self.servers.get(event.server))
        elif isinstance(event, it.ProbeEnded) and event.server in self.servers:
            self.servers[event.server].apply_report(event.report)
        return self.actions

    def set_timer(self, delay_us: int, purpose: str, request: str = "") -> int:
        """Request a timer and return its token."""
        self.last_token += 1
        self.timers[self.last_token] = (purpose, request)
        self.actions.append(it.SetTimer(max(delay_us, 1), self.last_token))
        return self.last_token

    def on_timer(self, token: int) -> None:
        """Run the housekeeping, subscription or retry that the timer was set for."""
        purpose, name = self.timers.pop(token, ("", ""))
        if purpose == "housekeeping":
            for pending in self.requests.values():
                self.record_outcome(pending, served=False)
            self.discard_stale()
            self.refresh_all()
            self.set_timer(HOUSEKEEPING_US, "housekeeping")
        elif purpose == "subscribe":
            self.actions.append(it.Subscribe())
        elif purpose == "retry":
            request = self.requests.get(name)
            if request is not None and not request.closed and request.retry_token == token:
                request.retry_token = 0
                self.dispatch(request)

    def discard_stale(self) -> None:
        """Discard keys that haven't occurred for a while and servers that are gone."""
        if self.now_us - self.keys_rotated_us >= KEY_RETENTION_US:
            self.keys_rotated_us = self.now_us
            self.previous_key_servers, self.key_servers = self.key_servers, {}
            self.previous_affinity, self.affinity = self.affinity, {}
        for name in [name for name, server in self.servers.items() if not server.listed and not server.in_flight]:
            del self.servers[name]

    def log(self, text: str, reason: str) -> None:
        """Write a log line, at most one in 10 seconds for each reason."""
        if self.now_us - self.last_logged_us.get(reason, -10_000_000) >= 10_000_000:
            self.last_logged_us[reason] = self.now_us
            self.actions.append(it.Log(text))

    def on_settings_changed(self, settings: it.Settings) -> None:
        """Replace the settings, keeping what was learned of servers and of the classes that remain."""
        classes = {request.request_class.name: request.request_class for request in self.requests.values()}
        classes |= {request_class.name: request_class for request_class in settings.classes}
        self.settings, self.classes = settings, classes
        self.percentiles = {name: self.percentiles.get(name) or LatencyPercentile() for name in classes}
        self.demand.offered_work = {name: self.demand.offered_work.get(name, 0.0) for name in classes}
        self.budget.capacity = settings.retry_burst
        self.budget.earn(0.0)
        self.spillover.min_gain = SPILLOVER_MIN_GAIN * settings.prices.cross_zone
        self.phase = (settings.own_name * 0.6180339887498949) % 1.0
        self.rebuild_pool()

    # -- membership ------------------------------------------------------------------------------------

    def on_list_changed(self, event: it.ListChanged) -> None:
        """Apply an update of the server list, or schedule a new subscription if the call to the list failed."""
        if event.scope is it.ListScope.FAILED:
            # The subscription may be broken. A proxy without one is soon treated as informed of draining servers.
            cap_us = min(RESUBSCRIBE_CAP_US, RESUBSCRIBE_BASE_US << min(self.failed_list_calls, 8))
            self.failed_list_calls += 1
            self.set_timer(int(cap_us * (0.5 + 0.5 * self.rng.random())), "subscribe")
            self.log("server list: call failed, subscribing again", "list")
            return
        if event.scope is not it.ListScope.SAVED:
            self.failed_list_calls = 0
        pool_changed = False
        if event.scope is not it.ListScope.CHANGES:
            listed = {entry.server for entry in event.entries}
            for name, server in self.servers.items():
                if name not in listed:
                    server.listed = False
                    if not server.is_inactive:
                        server.is_inactive = pool_changed = True
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if known is not None and entry.started_us <= known.entry.started_us:
                was_inactive = known.is_inactive
                known.update_entry(entry)
                pool_changed = pool_changed or known.is_inactive is not was_inactive
                continue
            # A new process: statistics of the previous one don't apply to it.
            pool_changed = True
            self.servers[entry.server] = ServerView(entry)
            if known is not None:
                self.servers[entry.server].in_flight = known.in_flight
        # With live weights, lists arrive every second and rarely change which servers are active. Rebuilding the pool
        # of a large fleet for each of them cost more CPU than all requests.
        if pool_changed:
            self.rebuild_pool()

    def rebuild_pool(self) -> None:
        """Select again which servers this proxy uses."""
        self.affinity.clear()
        self.previous_affinity.clear()
        active = [s for s in self.servers.values() if not s.is_inactive]
        self.pool = self.select_pool(active)
        self.proxies_per_server = self.settings.proxies * len(self.pool) / max(len(active), 1)
        self.refresh_all()

    def select_pool(self, active: list[ServerView]) -> list[ServerView]:
        """The servers that this proxy sends first attempts to: all of them, unless there are many proxies.

        Connections of hundreds of proxies to every server would fill the servers' connection tables, and each proxy
        would hear from a server too rarely to judge it. So each proxy takes a segment of a hash ring that is the same
        on all proxies, starting at its own position; together the segments cover all servers evenly.
        """
        count = max(MIN_POOL_SIZE, math.ceil(len(active) * MAX_PROXIES_PER_SERVER / self.settings.proxies))
        if count >= len(active):
            return active
        local = [s for s in active if s.entry.zone == self.settings.zone]
        remote = [s for s in active if s.entry.zone != self.settings.zone]
        # Other zones make up for a small zone, except with key affinity: keys stay cached only on few servers.
        missing = 0 if local and self.settings.warm_keys else count - len(local)
        return self.ring_segment(local, count) + self.ring_segment(remote, max(int(count * REMOTE_POOL_SHARE), missing))

    def ring_segment(self, servers: list[ServerView], count: int) -> list[ServerView]:
        """Consecutive servers on the hash ring, from the position of this proxy."""
        ring = sorted(servers, key=lambda s: s.ring_position)
        first = int(self.phase * len(ring))
        return [ring[(first + i) % len(ring)] for i in range(min(count, len(ring)))]

    # -- request lifecycle -------------------------------------------------------------------------------

    def on_arrival(self, event: it.RequestArrived) -> None:
        """Admit a request and send it to a server, or refuse it."""
        request_class = self.classes.get(event.class_name)
        if request_class is None or event.request in self.requests:
            if request_class is None:
                self.actions.append(it.Fail(event.request))
            return
        request = self.requests[event.request] = Request(event, request_class, self.now_us)
        if not event.is_client_retry:
            self.budget.earn(self.settings.retry_share)
        if event.hint_us:
            self.mean_hints_us[request_class.name] = ewma(
                self.mean_hints_us.get(request_class.name), event.hint_us, 0.02
            )
        work_us = (
            self.mean_hints_us.get(request_class.name)
            or self.percentiles[request_class.name].exceeding(UNQUEUED_SHARE)
            or 1.0
        )
        self.demand.record(request_class.name, work_us, self.now_us)
        if self.proxies_per_server >= MANY_PROXIES and self.should_shed(event.tenant or "", request_class.name):
            request.outcome_recorded = True  # its latency in another zone says nothing about the overload here
            server = self.server_in_other_zone(request)
            return self.finish(request) if server is None else self.send(request, server)
        self.dispatch(request)

    def server_in_other_zone(self, request: Request) -> ServerView | None:
        """A server of another zone for a request that the throttle refuses, while responses from there are on time.

        When a zone lost one of its two servers, its proxies refused up to three quarters of the requests to save on
        crossing zones, while half of the servers of the other zones were idle.
        """
        if self.spillover.late_share[False] > MAX_REMOTE_LATE_SHARE:
            return None
        remote = [
            s
            for s in self.pool
            if s.entry.zone != self.settings.zone
            and self.slow_start_factor(s) >= 1.0
            and not self.is_excluded(request, s)
        ]
        server = (
            self.best_server(request, self.rng.sample(remote, min(REMOTE_CANDIDATES, len(remote)))) if remote else None
        )
        return server if server is not None and self.expected_delay_us(server) <= self.congestion_delay_us else None

    def should_shed(self, tenant: str, class_name: str) -> bool:
        """Whether to refuse a request on arrival: over its tenant's share under load, or by the throttle."""
        bucket = self.tenant_buckets.get(tenant)
        # A burst of one tenant must not cost the others, so requests over a tenant's share are shed first.
        if bucket is not None and not bucket.spend(self.now_us) and self.throttle.admission < TENANT_LIMIT_ADMISSION:
            self.log("refusing requests over a tenant's share: answers are late", "share")
            return True
        admitted = self.demand.admitted_share(class_name, 1.0 - self.throttle.shed_share(), self.value_weights)
        if self.rng.random() < admitted:
            return False
        self.log(f"throttling: {self.throttle.shed_share():.0%} of requests refused, answers are late", "throttle")
        return True

    def record_outcome(self, request: Request, served: bool) -> None:
        """Tell the throttle once whether a request was on time. A client that left before the target shows neither."""
        late = self.now_us - request.arrived_us > request.request_class.latency_target_us
        if (served or late) and not request.outcome_recorded:
            request.outcome_recorded = True
            self.throttle.record(not late, self.now_us)

    def on_stream_began(self, event: it.StreamBegan) -> None:
        """Mark an attempt as streaming, which protects it from cancellation."""
        request = self.requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            request.attempts[event.attempt].streaming = True

    def on_attempt_ended(self, event: it.AttemptEnded) -> None:
        """Record the outcome of an attempt, then retry, finish or close its request."""
        request = self.requests.get(event.request)
        server = self.servers.get(event.server)
        if server is not None:
            server.update_waited(self.now_us, self.lost_after_us)
            server.in_flight.pop((event.request, event.attempt), None)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.ended:
            return
        attempt.ended = True
        attempt.never_ran = event.ending in it.NEVER_RAN
        request.in_flight -= 1
        if server is not None:
            if event.ending in (AttemptOutcome.OK, AttemptOutcome.ERROR):
                server.last_answered_sent_us = max(server.last_answered_sent_us, attempt.sent_us)
            self.record_attempt(request, server, event)
            self.refresh_server(server)
        if event.final or event.ending is AttemptOutcome.OK:
            self.record_outcome(request, event.ending is AttemptOutcome.OK)
            self.close(request)
        elif not request.closed and request.in_flight == 0 and not request.retry_token:
            self.retry_or_finish(request)
        if request.closed and request.in_flight == 0:
            self.requests.pop(event.request, None)

    def record_attempt(self, request: Request, server: ServerView, event: it.AttemptEnded) -> None:
        """Update the statistics of a server, and of the request's class, from the outcome of an attempt."""
        server.apply_report(event.report)
        late = event.latency_us > request.request_class.latency_target_us
        if self.proxies_per_server >= MANY_PROXIES and (late or event.ending is AttemptOutcome.OK):
            self.spillover.record(server.entry.zone == self.settings.zone, late)
        if event.ending in (AttemptOutcome.CANCELLED, AttemptOutcome.DROPPED):
            return
        ok = event.ending is AttemptOutcome.OK
        server.unweighted_success = ewma(server.unweighted_success, float(ok), SUCCESS_EWMA_WEIGHT)
        server.fault_share = ewma(server.fault_share, float(event.ending in FAULT_OUTCOMES), SUCCESS_EWMA_WEIGHT)
        if self.proxies_per_server >= MANY_PROXIES and event.ending in FAULT_OUTCOMES:
            self.record_fault(server)
        else:
            server.consecutive_faults, server.ejection_us = 0, BASE_EJECTION_US
            server.success = ewma(server.success, float(ok), SUCCESS_EWMA_WEIGHT)
        if ok or event.ending is AttemptOutcome.TIMEOUT:
            if server.latency_us is None:
                server.latency_us = float(event.latency_us)
                self.refresh_all()  # the first latency sets the mean that servers without responses assume
            server.latency_us = ewma(server.latency_us, event.latency_us, LATENCY_EWMA_WEIGHT)
            server.baseline_latency_us = track_baseline(server.baseline_latency_us, server.latency_us)
            self.percentiles[request.request_class.name].add(event.latency_us)
        if ok and self.settings.warm_keys and request.arrived.key is not None:
            if len(self.key_servers) >= MAX_KEYS:
                self.key_servers.clear()
            self.key_servers.setdefault(request.arrived.key, {})[server.entry.server] = self.now_us
        if event.ending in (AttemptOutcome.OK, AttemptOutcome.ERROR):
            server.response_interval_us = ewma(server.response_interval_us, server.waited_us, INTERVAL_EWMA_WEIGHT)
            server.baseline_interval_us = ewma(server.baseline_interval_us, server.waited_us, BASELINE_EWMA_WEIGHT)
            server.waited_us = 0

    def record_fault(self, server: ServerView) -> None:
        """Eject a server after a single fault, and for longer after each further one.

        With plain averaging, each of 40 proxies sent four requests to a server that failed fast before it stopped using
        it, and then one every 2 seconds, including payments, which can't be sent again.
        """
        server.success = ewma(server.success, 0.0, FAULT_EWMA_WEIGHT)
        ejection_us = BASE_EJECTION_US << min(server.consecutive_faults, MAX_EJECTION_DOUBLINGS)
        server.ejection_us = int(ejection_us * (0.75 + 0.5 * self.rng.random()))
        server.consecutive_faults += 1

    def on_server_unhealthy(self, server: ServerView | None) -> None:
        """Other proxies report a failing server: count it as one fault, unless the server is ejected already."""
        if server is not None and not server.is_unhealthy:
            self.record_fault(server)
            server.last_sent_us = self.now_us
            self.refresh_server(server)

    def retry_or_finish(self, request: Request) -> None:
        """Schedule a retry after a failed attempt if one is allowed and useful; otherwise answer the client."""
        attempts = len(request.attempts)
        max_attempts = request.request_class.tries or self.settings.max_attempts
        executed = request.first_that_may_have_run()
        if (
            request.arrived.is_client_retry
            or attempts > RETRIES_EACH
            or attempts >= max_attempts
            or (request.request_class.repeat is Repeat.UNSAFE and executed is not None)
        ):
            return self.finish(request)
        cap_us = min(BACKOFF_CAP_US, BACKOFF_BASE_US << (attempts - 1))
        backoff_us = int(self.rng.random() * cap_us)
        if backoff_us >= request.arrived.give_up_at_us - self.now_us:
            return self.finish(request)
        # Over the servers that a retry could use: a failed part of the fleet must not stop retries on the rest.
        success = mean([self.success_rate(s) for s in self.pool if not s.is_unhealthy]) or 0.0
        if success < MIN_FLEET_SUCCESS:
            self.log(f"retries off: {success:.0%} of recent attempts on healthy servers succeeded", "retries")
            return self.finish(request)
        if not self.budget.spend(self.now_us):
            self.log("retry skipped: the retry budget is exhausted", "budget")
            return self.finish(request)
        request.retry_token = self.set_timer(backoff_us, "retry", request.arrived.request)

    def dispatch(self, request: Request) -> None:
        """Send a request to the best server, or finish it if there is none."""
        server = self.choose(request)
        if server is None:
            return self.finish(request)
        self.send(request, server)

    def finish(self, request: Request) -> None:
        """Answer the client with a refusal or a failure. No other code gives a final answer (rule 1)."""
        if request.closed:
            return
        executed = request.first_that_may_have_run()
        may_refuse = (
            executed is None
            or request.request_class.repeat is Repeat.SAFE
            or (request.request_class.repeat is Repeat.KEYED and request.request_class.group is it.Group.ALL)
        )
        name = request.arrived.request
        self.actions.append(it.Refuse(name, self.retry_after_us()) if may_refuse else it.Fail(name))
        self.close(request)

    def retry_after_us(self) -> int:
        """When a refused client should retry: once capacity is likely to be available, jittered."""
        if not self.settings.retry_advice:
            return 0
        wait_us, self.capacity_wait_us = max(self.capacity_wait_us, MIN_RETRY_AFTER_US), 0.0
        return min(int(wait_us * (1.0 + self.rng.random())), self.settings.max_advice_us)

    def close(self, request: Request) -> None:
        """End a request: cancel its open attempts, where allowed, and send nothing more for it."""
        request.closed = True
        for number, attempt in enumerate(request.attempts):
            if not attempt.ended and not attempt.streaming and self.settings.may_cancel:
                self.actions.append(it.Cancel(request.arrived.request, number))
        if request.in_flight == 0:
            self.requests.pop(request.arrived.request, None)

    # -- server selection --------------------------------------------------------------------------------

    def choose(self, request: Request) -> ServerView | None:
        """The best of all servers or, where many proxies share them, of a few sampled by capacity."""
        self.sampled_cold_server = ""
        if self.proxies_per_server < MANY_PROXIES or request.arrived.is_large:
            return self.best_server(request, self.pool)
        return self.best_server(request, self.sample_candidates(request)) or self.best_server(request, self.pool)

    def sample_candidates(self, request: Request) -> list[ServerView]:
        """A few servers, sampled by capacity. A cold server is taken only if drawn first, and then as the only one.

        With few responses from each server, the ranks of 40 proxies contain little but stale noise: all proxies sent to
        the same servers, while cold servers without responses ranked last and stayed idle as the warm ones were
        overloaded. Sampling spreads the load by capacity, and the rank only has to order the few candidates.
        """
        if not self.cumulative_weights or self.cumulative_weights[-1] <= 0.0:
            return []
        count = max(MIN_CANDIDATES, math.ceil(CANDIDATES_PER_OWN_SERVER * len(self.pool) / self.proxies_per_server))
        sampled = self.rng.choices(self.pool, cum_weights=self.cumulative_weights, k=count)
        first = sampled[0]
        if self.slow_start_factor(first) < 1.0:
            # Rule 4: no proxy sends to it more often than its share of the total capacity allows.
            oversampling = self.capacity * self.zone_weight(first) / self.cumulative_weights[-1]
            if (
                not first.in_flight
                and not self.is_excluded(request, first)
                and self.rng.random() * oversampling < COLD_TRAFFIC_FACTOR
            ):
                self.sampled_cold_server = first.entry.server
                return [first]
        return [
            s for s in dict.fromkeys(sampled) if self.slow_start_factor(s) >= 1.0 and not self.is_excluded(request, s)
        ]

    def is_excluded(self, request: Request, server: ServerView) -> bool:
        """Whether a server was tried before, or is ejected. Only requests that are safe to repeat serve as trials."""
        trial = request.request_class.repeat is Repeat.SAFE and self.trial_due(server)
        return (server.is_unhealthy and not trial) or any(
            attempt.server == server.entry.server for attempt in request.attempts
        )

    def zone_weight(self, server: ServerView) -> float:
        """The sampling weight of a server's zone, by the price of crossing to it."""
        return 1.0 / (1.0 + self.cross_zone_load(server))

    def cross_zone_load(self, server: ServerView) -> float:
        """The extra load, in requests in flight, that crossing to the zone of a server counts as."""
        if server.entry.zone == self.settings.zone:
            return 0.0
        return CROSS_ZONE_LOAD * self.settings.prices.cross_zone * (1.0 - self.spillover.level)

    def estimated_capacity(self, server: ServerView) -> float:
        """The current capacity of a server relative to one of average speed, reduced by its failures."""
        slow_start = self.slow_start_factor(server)
        speed = 1.0
        if slow_start >= 1.0 and server.service_us:
            speed = self.fleet_service_us / server.service_us
        return slow_start * min(max(speed, 1.0 / MAX_SPEED_FACTOR), MAX_SPEED_FACTOR) * self.success_rate(server)

    def update_weights(self) -> None:
        """Recompute the sampling weights of the servers, once per housekeeping interval."""
        self.capacity = total = 0.0
        self.cumulative_weights = []
        for server in self.pool:
            capacity = self.estimated_capacity(server)
            self.capacity += capacity
            total += capacity * self.zone_weight(server)
            self.cumulative_weights.append(total)

    def best_server(self, request: Request, pool: list[ServerView]) -> ServerView | None:
        """The eligible server with the lowest C3 rank; a retry prefers servers not tried before."""
        request_class = request.request_class
        if request.attempts and request_class.repeat is Repeat.KEYED and request_class.group is not it.Group.ALL:
            # The servers that share the deduplication table may be outside the pool, where ranks aren't kept current.
            pool = pool + [s for s in self.servers.values() if s not in pool]
            for server in pool:
                self.refresh_server(server)
        tried = [a.server for a in request.attempts]
        ranked = []
        key = request.arrived.key if self.settings.warm_keys else None
        key_servers = self.previous_key_servers.get(key, {}) | self.key_servers.get(key, {}) if key is not None else {}
        preferred = self.affinity_server(key) if key is not None else ""
        for server in pool:
            name = server.entry.server
            score = self.rank_for(request, server) * (1.0 + 0.01 * self.rng.random())
            lacks_key = key is not None
            if name in key_servers and self.now_us - key_servers[name] < KEY_RETENTION_US:
                score *= WARM_RANK_FACTOR
                lacks_key = False
            elif name == preferred:
                score *= AFFINITY_RANK_FACTOR
                lacks_key = False
            remote = request.arrived.is_large and server.entry.zone != self.settings.zone
            ranked.append(
                (name in tried, server.is_unhealthy and not self.trial_due(server), remote, score, name, lacks_key)
            )
        ranked.sort()
        eligible = 0
        healthy = 0
        limit_us = request_class.latency_target_us / self.latency_spread * self.limit_factors[request_class.name]
        congested: ServerView | None = None
        stalled: ServerView | None = None
        excess_us = math.inf
        for _, unhealthy, _, _, name, lacks_key in ranked:
            server = self.servers[name]
            if unhealthy and healthy:
                break  # that healthy servers are busy is no reason to send to one that fails
            if self.may_send(request, server):
                healthy += not unhealthy
                # Beyond capacity every queue grows until all responses are late, so it is better to refuse.
                delay_us = self.expected_delay_us(server)
                # A server that was congested once may stay slow until it is nearly empty, so it is left to drain while
                # another server isn't congested.
                congestion_us = min(
                    self.congestion_delay_us, SERVER_CONGESTION_RATIO * (server.baseline_latency_us or math.inf)
                )
                # The more expensive a request is to send across zones, the longer it waits for a local server.
                local = server.entry.zone == self.settings.zone
                patience = max(1.0, min(0.5 + 0.5 * request.arrived.cross_zone_cost, 6.0)) if local else 1.0
                if delay_us <= min(limit_us, congestion_us) * patience:
                    return server
                bound_us = limit_us / 2 if self.is_saturated(server) else limit_us
                # Under overload, sending a key to any server with capacity makes every server do more work for each
                # request.
                bound_us *= UNKNOWN_KEY_LIMIT_FACTOR if lacks_key else 1.0
                if delay_us <= bound_us and congested is None:
                    congested = server
                excess_us = min(excess_us, delay_us - bound_us)
                # One request without a response must not keep all others away from a server that would answer them.
                # If nothing was sent to it for long, another attempt shows whether it is stalled.
                if stalled is None and not unhealthy and self.now_us - server.last_sent_us >= self.lost_after_us:
                    stalled = server
                eligible += 1
        if congested is not None or stalled is not None:
            return congested or stalled
        if eligible:
            self.capacity_wait_us = excess_us
            self.log(f"refusing requests: {eligible} servers have more in flight than they answer in time", "overload")
        else:
            self.capacity_wait_us = BASE_EJECTION_US  # by then an ejected server is tried again
            self.log(f"no eligible server for a request: {len(ranked)} considered", "nowhere")
        return None

    def rank_for(self, request: Request, server: ServerView) -> float:
        """The rank of a server for a request, by what the request costs to send across zones."""
        if request.arrived.cross_zone_cost == 1.0 or server.entry.zone == self.settings.zone:
            return server.rank
        return server.rank_with(self.cross_zone_load(server) * request.arrived.cross_zone_cost)

    def affinity_server(self, key: str) -> str:
        """The server for a key on which all proxies agree without communication (rendezvous hashing)."""
        found = self.affinity.get(key)
        if found is None:
            found = self.previous_affinity.get(key)
        if found is None:
            if len(self.affinity) >= MAX_KEYS:
                self.affinity.clear()
            best = -1.0
            found = ""
            for server in self.pool:
                name = server.entry.server
                weight = server.entry.weight if self.settings.weights is it.WeightMeaning.SIZE else 1.0
                uniform = (stable_hash(f"{key} {name}") + 1) / 2.0**64
                score = -(weight or 1.0) / math.log(uniform) if uniform < 1.0 else math.inf
                if score > best:
                    best, found = score, name
        self.affinity[key] = found
        return found

    def is_saturated(self, server: ServerView) -> bool:
        """Whether a server answers more slowly than usual, so that more requests in flight would gain nothing.

        Once congested, some servers answer at a fraction of their rate until they are nearly empty.
        """
        slow = (server.service_us or 0.0) > SLOW_SERVICE_RATIO * (server.baseline_service_us or math.inf)
        # Responses are also rare when few requests are in flight, but then they are prompt. They are both rare and late
        # at a saturated server.
        late = (server.latency_us or 0.0) > SATURATION_RATIO * (server.baseline_latency_us or math.inf)
        return slow or (
            late and (server.response_interval_us or 0.0) > SATURATION_RATIO * (server.baseline_interval_us or math.inf)
        )

    def expected_delay_us(self, server: ServerView) -> float:
        """Expected time until a response: the requests in flight times the server's response interval.

        An idle server counts as free; otherwise one that was slow once would never be tried again.
        """
        # New servers start cold and without responses. Without an assumed interval they were sent requests until they
        # saturated, before the first response.
        interval_us = server.response_interval_us or self.fleet_interval_us / self.slow_start_factor(server)
        count, first_us = server.outstanding(self.now_us, self.lost_after_us)
        if not count:
            return 0.0
        # A silent server reports no failure, so a response that is long outstanding counts as a long delay.
        waited_us = min(server.waited_us + self.now_us - server.wait_updated_us, self.now_us - first_us)
        return count * max(interval_us, waited_us / INTERVAL_SLACK)

    def refresh_server(self, server: ServerView) -> None:
        """Recompute the rank of a server. Ranks are cached between changes, since the fleet may be large."""
        latency_us = self.fleet_latency_us if server.latency_us is None else server.latency_us
        service_us = self.fleet_service_us if server.service_us is None else server.service_us
        load = server.outstanding(self.now_us, self.lost_after_us)[0] * self.settings.proxies + server.queue
        service_us /= self.slow_start_factor(server)
        server.rank_base_us, server.load, server.rank_work_us = latency_us - service_us, load, service_us
        server.rank = server.rank_with(self.cross_zone_load(server))
        server.is_unhealthy = self.success_rate(server) < MIN_SERVER_SUCCESS

    def success_rate(self, server: ServerView) -> float:
        """The recent success rate of a server; faults weigh more while they are rare in the fleet.

        When all servers failed a quarter of their requests, the higher weight kept 13 of 15 servers ejected for their
        latest fault, and the proxies refused over half of the requests, more than the other two could take.
        """
        return server.success if self.faults_are_rare else server.unweighted_success

    def refresh_all(self) -> None:
        """Recompute fleet means, percentiles and ranks, once per housekeeping interval.

        The fleet means stand in for servers without data.
        """
        self.fleet_latency_us = mean([s.latency_us for s in self.pool if s.latency_us is not None]) or 1.0
        service_times = [s.service_us for s in self.pool if s.service_us is not None]
        self.fleet_service_us = mean(service_times) or self.fleet_latency_us
        self.fleet_interval_us = (
            mean([s.response_interval_us for s in self.pool if s.response_interval_us is not None]) or 0.0
        )
        for name, percentile in self.percentiles.items():
            if tail_us := percentile.tail_us(allow_estimate=self.proxies_per_server >= MANY_PROXIES):
                self.attempt_timeouts_us[name] = max(tail_us, PADDING * percentile.exceeding(0.5))
        self.faults_are_rare = not self.pool or median_low(s.fault_share for s in self.pool) <= RARE_FAULT_SHARE
        for server in self.pool:
            self.refresh_server(server)
        self.update_weights()
        median_us = max(p.exceeding(0.5) for p in self.percentiles.values())
        self.congestion_delay_us = CONGESTION_RATIO * median_us if median_us else math.inf
        lost_us = LOST_LATENCY_RATIO * max(p.exceeding(LOST_LATENCY_SHARE) for p in self.percentiles.values())
        self.lost_after_us = lost_us or math.inf
        spreads = [p.exceeding(SPREAD_SHARE) / p.exceeding(0.5) for p in self.percentiles.values() if p.total]
        self.latency_spread = mean(spreads) or 1.0
        # Value per unit of work relative to the highest class: under overload, classes of low value are refused first.
        value_per_work = {}
        for name, request_class in self.classes.items():
            unqueued_us = self.percentiles[name].exceeding(UNQUEUED_SHARE)
            if unqueued_us:  # a class without responses is treated like the highest
                value_per_work[name] = request_class.value / (1.0 if self.settings.value_is_per_work else unqueued_us)
        highest = max(value_per_work.values(), default=0.0) or 1.0
        self.value_weights = {name: max(value_per_work.get(name, highest) / highest, 0.01) for name in self.classes}
        self.limit_factors = {name: weight**VALUE_EXPONENT for name, weight in self.value_weights.items()}

    def slow_start_factor(self, server: ServerView) -> float:
        """The share of its full capacity that a recently started server is expected to have."""
        started_us = server.entry.started_us
        cold_us = self.settings.cold_us
        if not started_us or not cold_us or self.now_us - started_us >= cold_us:
            return 1.0
        share = self.settings.cold_share
        return share + (1.0 - share) * max(self.now_us - started_us, 0) / cold_us

    def trial_due(self, server: ServerView) -> bool:
        """Whether an unhealthy server should be tried again."""
        return not server.in_flight and self.now_us - server.last_sent_us >= server.ejection_us

    # -- eligibility -------------------------------------------------------------------------------------

    def may_send(self, request: Request, server: ServerView) -> bool:
        """Whether a request may be sent to a server. Every attempt passes this check, which enforces rules 2 to 4."""
        if request.closed or self.now_us >= request.arrived.give_up_at_us or server.is_inactive:
            return False
        if len(request.attempts) >= (request.request_class.tries or self.settings.max_attempts):
            return False
        if request.in_flight and not self.settings.may_overlap:
            return False
        executed = request.first_that_may_have_run()
        if executed is not None and request.request_class.repeat is not Repeat.SAFE:
            if request.request_class.repeat is Repeat.UNSAFE:
                return False
            if self.now_us + self.settings.tick_us >= executed.sent_us + request.request_class.window_us:
                return False
            origin = executed.entry
            if request.request_class.group is it.Group.ZONE and origin.zone != server.entry.zone:
                return False
            if request.request_class.group is it.Group.CELL and origin.cell != server.entry.cell:
                return False
        return self.slow_start_permits(server)

    def slow_start_permits(self, server: ServerView) -> bool:
        """Rule 4: keeps this proxy to its part of what a cold server can take within `Settings.fall_us`."""
        share = self.slow_start_factor(server)
        if share >= 1.0:
            return True
        # A single request from each of hundreds of proxies already exceeds the budget of a cold server, and a proxy
        # that has just started knows no rates. While load is at most about the capacity, a server's fair share is 1/n
        # of all traffic. If each proxy sends it this fraction of its own requests at random, that adds up to the share.
        if self.proxies_per_server >= MANY_PROXIES:
            return server.entry.server == self.sampled_cold_server  # sampling has already limited it to its share
        budget = COLD_BUDGET_SHARE * self.settings.fall_multiple * share
        return server in self.pool and self.rng.random() < budget / len(self.pool)

    def send(self, request: Request, server: ServerView) -> None:
        """Start the next attempt of a request."""
        name = server.entry.server
        server.update_waited(self.now_us, self.lost_after_us)
        server.in_flight[(request.arrived.request, len(request.attempts))] = self.now_us
        request.attempts.append(Attempt(server.entry, self.now_us))
        request.in_flight += 1
        server.last_sent_us = self.now_us
        self.refresh_server(server)
        self.actions.append(it.Send(request.arrived.request, name, self.attempt_timeout_us(request)))

    def attempt_timeout_us(self, request: Request) -> int:
        """The timeout of an attempt, by the latency percentile of its class; 0 to wait until the client's deadline."""
        timeout_us = self.attempt_timeouts_us.get(request.request_class.name, 0.0)
        if request.request_class.repeat is Repeat.UNSAFE or not timeout_us or request.arrived.is_client_retry:
            return 0  # a timeout is useless where no retry may follow
        mean_hint_us = self.mean_hints_us.get(request.request_class.name)
        if mean_hint_us and request.arrived.hint_us:
            timeout_us *= max(1.0, request.arrived.hint_us / mean_hint_us)
        return int(timeout_us) if timeout_us < request.arrived.give_up_at_us - self.now_us else 0


def stable_hash(text: str) -> int:
    """A hash that is the same on every proxy and in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
