"""Checks the seven invariants record by record, in order of time, and finds a violation as it happens.

Each record is checked against what was known at its time. HistoryChecker uses that an attempt turned out not
to have run; OnlineChecker asks whether that was known when the next attempt was sent.

The state grows with the number of records, so the checker is only for simulations and tests, which end.
"""

from bisect import insort
from collections import defaultdict, deque
from dataclasses import dataclass, field

from gorsethread.invariants.history_checker import (
    FINAL,
    NEVER_RAN,
    SAME_INSTANT_SECONDS,
    SLACK,
    AttemptId,
    Record,
    Violation,
    sent_at,
)
from gorsethread.site_config import site_pb2 as pb


@dataclass(slots=True)
class _Arrival:
    """One arrival of an attempt at a backend; end: the record of how the backend ended it."""

    record: Record
    sent_at: float
    end: Record | None = None


@dataclass(slots=True)
class _Attempt:
    """The records of one attempt of a client.

    order: the number of attempts that were sent before. ended_at, how: time and outcome of its first answer.
    answers: how many answers a gateway sent.
    """

    sent: Record
    order: int
    arrivals: list[_Arrival] = field(default_factory=list)
    ended_at: float = float("inf")
    how: str = ""
    answers: int = 0
    received_at: float = 0.0  # when it was complete at its gateway; 0 unless the network was observed

    def before(self, other: "_Attempt") -> bool:
        if self.received_at and other.received_at:
            return self.received_at < other.received_at - SAME_INSTANT_SECONDS
        return self.order < other.order


class OnlineChecker:
    """Checks records that are passed to add(); violations holds what was found, with its time."""

    def __init__(self, site: pb.Site, slack: float = SLACK) -> None:
        self.site, self.slack = site, slack
        self.violations: list[tuple[float, Violation]] = []
        self.seen: dict[AttemptId, _Attempt] = {}
        self.run_count: dict[int, int] = defaultdict(int)  # by label
        self.told: dict[tuple[int, int], float] = {}  # by gateway and backend: when told that it stops
        self.locations = {s.number: (s.shard, s.zone) for s in site.shelf}  # shard and zone of each backend
        self.plans = {p.name: p for p in site.plan}
        self.volumes = {v.number: v for v in site.volume}
        self._unreachable: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
        self._down: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self._backend_deaths: dict[int, list[float]] = defaultdict(list)
        self._gateway_deaths: dict[int, float] = {}
        self._last_arrival: dict[tuple[int, str], tuple[_Attempt, _Arrival]] = {}  # by gateway and key
        self._requests: dict[int, deque[float]] = defaultdict(deque)
        self._retries: dict[int, deque[float]] = defaultdict(deque)
        # By volume: time and units of first attempts, in order of sending.
        self._spent: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self._tokens: dict[int, tuple[float, float]] = {}  # by volume: level of its rate limit's bucket, when
        self._missed_aborts: set[AttemptId] = set()
        self._accepted: set[int] = set()  # labels of requests that a branch accepted to replay later
        self._started_at = float("nan")
        self._reported: set[tuple[int, object]] = set()  # rule and what it concerns

    def add(self, r: Record) -> None:
        if self._started_at != self._started_at:
            self._started_at = r["t"]
        match r["e"]:
            case "sent":
                self.seen[r["label"], r["attempt"]] = _Attempt(r, len(self.seen))
                self._requests[r["head"]].append(r["t"])
            case "arrived":
                self._arrived(r)
            case "came":
                if (seen := self.seen.get((r["label"], r["attempt"]))) is not None:
                    seen.received_at = r["t"]
            case "ended":
                self._ended(r)
            case "answer" | "answered late":
                self._answered(r)
            case "ran":
                self._ran(r)
            case "told":
                if r["state"] == "ready":
                    self.told.pop((r["head"], r["shelf"]), None)
                else:
                    self.told.setdefault((r["head"], r["shelf"]), r["t"])
            case "fell":
                self._add_violation(
                    r["t"], 4, f"backend {r['shelf']} was overloaded during slow start", r["t"]
                )
            case "accepted":
                self._accepted.add(r["label"])
            case "abort missed":
                self._missed_aborts.add((r["label"], r["attempt"]))
            case "apart":
                self._unreachable[r["client"], r["head"]].append((r["t"], r["until"]))
            case "head killed":
                self._down[r["head"]].append((r["t"], float("inf")))
                self._gateway_deaths[r["head"]] = r["t"]
                # A restarted gateway knows nothing of the retries and requests before.
                self._retries[r["head"]].clear()
                self._requests[r["head"]].clear()
                self.told = {pair: at for pair, at in self.told.items() if pair[0] != r["head"]}
            case "head back":
                self._down[r["head"]][-1] = (self._down[r["head"]][-1][0], r["t"])
            case "shelf killed":
                self._backend_deaths[r["shelf"]].append(r["t"])

    def finish(self, at: float) -> None:
        """Ends the check: an attempt without an answer until now counts as unanswered."""
        for (label, _), s in self.seen.items():
            if not s.how and not self._was_unreachable(s.sent, at):
                self._add_violation(at, 1, f"no answer at all (gateway {s.sent['head']})", label)

    # ---- rules

    def _add_violation(self, at: float, rule: int, reason: str, about: object) -> None:
        """Adds a violation, once for each rule and subject."""
        if (rule, about) not in self._reported:
            self._reported.add((rule, about))
            self.violations.append((at, Violation(rule, reason)))

    def _was_unreachable(self, sent: Record, until: float) -> bool:
        intervals = self._down[sent["head"]] + self._unreachable[sent["who"], sent["head"]]
        return any(begin - self.slack <= until and sent["t"] <= end + self.slack for begin, end in intervals)

    def _profile(self, s: _Attempt) -> pb.Profile:
        return self.site.profile[s.sent["profile"]]

    def _answered(self, r: Record) -> None:
        s = self.seen.get((r["label"], r["attempt"]))
        if s is None:
            return
        label, how = r["label"], r.get("how", "late")
        s.answers += how in FINAL or how == "late"
        if s.answers > 1:
            self._add_violation(r["t"], 1, "more than one answer", label)
        if s.how:
            return
        s.ended_at, s.how = r["t"], how
        if how in ("unanswered", "unreachable") and not self._was_unreachable(s.sent, r["t"]):
            self._add_violation(
                r["t"], 1, f"no answer before the client's deadline (gateway {s.sent['head']})", label
            )
        if how == "pushed back":
            self._check_rejection(s, r)

    def _check_rejection(self, s: _Attempt, r: Record) -> None:
        """Checks that a rejected request had not run, by what was known at that time."""
        profile = self._profile(s)
        may_have_run = [a for a in s.arrivals if not self._known_not_to_have_run(a, r["t"])]
        if not may_have_run or profile.effect == pb.REDOABLE:
            return
        late = r["t"] > may_have_run[0].record["t"] + profile.remembered + self.slack
        if profile.effect == pb.IRREVERSIBLE or profile.group != pb.ALL or late:
            self._add_violation(r["t"], 2, "a request that may have run was rejected", r["label"])

    def _known_not_to_have_run(self, arrival: _Arrival, by: float) -> bool:
        return arrival.end is not None and arrival.end["how"] in NEVER_RAN and arrival.end["t"] <= by

    def _arrived(self, r: Record) -> None:
        s = self.seen.get((r["label"], r["attempt"]))
        if s is None:
            return
        arrival, label, gateway = _Arrival(r, sent_at(r)), r["label"], r["head"]
        excused = (label, r["attempt"]) in self._missed_aborts or label in self._accepted
        if (
            arrival.sent_at > s.ended_at + self.slack
            and not excused
            and not self._was_unreachable(s.sent, s.ended_at)
        ):
            self._add_violation(r["t"], 1, f"sent to backend {r['shelf']} after the request had ended", label)
        if label in self._accepted:
            # At the gateway that replays it, each arrival counts as a request of its own.
            insort(self._requests[gateway], arrival.sent_at)
        if s.arrivals:
            self._check_resend(s, arrival, label)
        if s.arrivals and label not in self._accepted:
            # If a cut delayed the first attempt, the one that arrived before it was the retry.
            self._check_retry_budget(gateway, max(arrival.sent_at, min(a.sent_at for a in s.arrivals)))
        told = self.told.get((gateway, r["shelf"]))
        if told is not None and arrival.sent_at > told + self.site.rules.drain_grace + self.slack:
            self._add_violation(
                r["t"],
                3,
                f"gateway {gateway} sent to backend {r['shelf']} after it was told that it stops",
                label,
            )
        if not s.arrivals:
            self._check_rate_limit(r, arrival.sent_at)
        s.arrivals.append(arrival)
        if s.sent["key"]:
            self._check_order(s, arrival)

    def _check_resend(self, s: _Attempt, arrival: _Arrival, label: int) -> None:
        profile = self._profile(s)
        may_have_run = [a for a in s.arrivals if not self._known_not_to_have_run(a, arrival.sent_at)]
        if not may_have_run or profile.effect == pb.REDOABLE:
            return
        if profile.effect == pb.IRREVERSIBLE:
            self._add_violation(
                arrival.record["t"],
                2,
                "a non-idempotent request was sent again although it may have run",
                label,
            )
            return
        first = self.locations[may_have_run[0].record["shelf"]]
        second = self.locations[arrival.record["shelf"]]
        outside = (
            profile.group == pb.SHARD
            and first[0] != second[0]
            or profile.group == pb.ZONE
            and first[1] != second[1]
        )
        if outside or arrival.sent_at > may_have_run[0].record["t"] + profile.remembered + self.slack:
            self._add_violation(
                arrival.record["t"],
                2,
                "a keyed request was sent again outside its idempotency scope or window",
                label,
            )

    def _ended(self, r: Record) -> None:
        s = self.seen.get((r["label"], r["attempt"]))
        for a in s.arrivals if s is not None else ():
            if a.end is None and (a.record["shelf"], a.record["start"]) == (r["shelf"], r["start"]):
                a.end = r
                return

    def _ran(self, r: Record) -> None:
        self.run_count[r["label"]] += 1
        s = self.seen.get((r["label"], r["attempt"]))
        if s is not None and self.run_count[r["label"]] > 1 and self._profile(s).effect == pb.IRREVERSIBLE:
            self._add_violation(
                r["t"], 2, f"a non-idempotent request ran {self.run_count[r['label']]} times", r["label"]
            )

    def _check_order(self, s: _Attempt, arrival: _Arrival) -> None:
        gateway, label = s.sent["head"], s.sent["label"]
        before = self._last_arrival.get((gateway, s.sent["key"]))
        if before is not None and arrival.sent_at < before[1].sent_at:
            return  # it was sent earlier and a cut delayed it
        self._last_arrival[gateway, s.sent["key"]] = (s, arrival)
        if (
            before is None
            or before[0] is s
            or before[1].sent_at < self._gateway_deaths.get(gateway, 0.0) <= arrival.sent_at
        ):
            return
        earlier, earlier_arrival = before
        if s.before(earlier):
            self._add_violation(
                arrival.record["t"], 5, f"gateway {gateway} sent a key's requests out of order", label
            )
        if earlier_arrival.end is not None and earlier_arrival.end["t"] <= arrival.sent_at:
            return
        deaths = self._backend_deaths[earlier_arrival.record["shelf"]]
        end_times = [at for at in deaths if earlier_arrival.record["t"] <= at]
        end_times.append(earlier.ended_at)
        if not any(at + self.site.rules.key_rest - self.slack <= arrival.sent_at for at in end_times):
            self._add_violation(
                arrival.record["t"],
                5,
                f"gateway {gateway} sent a key's next request early",
                label,
            )

    def _check_retry_budget(self, gateway: int, at: float) -> None:
        if not self.site.rules.HasField("budget") or at < self._gateway_deaths.get(gateway, 0.0):
            return
        budget, retries, requests = self.site.rules.budget, self._retries[gateway], self._requests[gateway]
        insort(retries, at) if retries and at < retries[-1] else retries.append(at)
        while retries[0] < retries[-1] - 2 * budget.span:
            retries.popleft()
        while requests and requests[0] < at - 4 * budget.span:
            requests.popleft()
        # A retry that a cut delayed also counts in the spans of those that were sent after it.
        for end in [t for t in retries if t >= at]:
            retry_count = sum(end - budget.span + self.slack <= t <= end for t in retries)
            earned = sum(end - budget.span - self.slack <= t <= end + self.slack for t in requests)
            if retry_count > budget.free + budget.part * earned:
                self._add_violation(
                    at,
                    6,
                    f"gateway {gateway} made {retry_count} retries in {budget.span:g} s, "
                    f"{earned} requests received",
                    gateway,
                )

    def _check_rate_limit(self, r: Record, sent_time: float) -> None:
        volume = self.volumes[r["volume"]]
        plan = self.plans[volume.plan]
        if not plan.limit:
            return
        spent = self._spent[volume.number]
        level, at = self._tokens.get(volume.number, (plan.limit_burst, self._started_at))
        if spent and sent_time < spent[-1][0]:
            # A cut delayed it while others arrived: all first attempts are counted again in order of sending.
            insort(spent, (sent_time, r["units"]))
            level, at, uncounted = plan.limit_burst, self._started_at, spent
        else:
            spent.append((sent_time, r["units"]))
            uncounted = spent[-1:]
        for when, units in uncounted:
            level = min(plan.limit_burst, level + (when - at) * plan.limit) - units
            at = when
            if level < -plan.limit_slack - self.slack * plan.limit:
                self._add_violation(
                    r["t"],
                    7,
                    f"volume {volume.name} was sent {-level:.1f} units beyond its rate limit",
                    volume.number,
                )
        self._tokens[volume.number] = (level, at)
