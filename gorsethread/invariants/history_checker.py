"""Checks the seven invariants against the complete records of the fakes; no report of a gateway is used.

All records carry times of one clock of the machine. Where a rule compares records of two parties, SLACK
covers the transit time and a busy machine; a violation within it is not found. If the network itself was
observed, an arrival's record says when it left the gateway, and the rules on what a gateway may send use that
time.
"""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from gorsethread.site_config import site_pb2 as pb

SLACK = 0.25  # seconds
SAME_INSTANT_SECONDS = 0.002  # bytes of two connections this close may be read in either order
Record = dict[str, Any]
AttemptId = tuple[int, int]  # a request's label and attempt: one request at a gateway
FINAL = ("honoured", "pushed back", "given up")
NEVER_RAN = ("turned away", "dropped", "repeat")


def sent_at(arrival: Record) -> float:
    """Returns when a command left the gateway if that was observed, else when it arrived."""
    sent: float = arrival.get("left", arrival["t"])
    return sent


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule, with the history of the request if it concerns one."""

    rule: int
    reason: str
    history: tuple[str, ...] = ()

    def __str__(self) -> str:
        return "\n".join((f"rule {self.rule}: {self.reason}", *(f"    {line}" for line in self.history)))


@dataclass(slots=True)
class Verdict:
    """The result of a check. rules[n - 1] is the number of violations of rule n."""

    violations: list[Violation] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    lost: int = 0
    duplicated: int = 0
    wrong_reads: int = 0
    # By volume: the value earned by answers within the latency objective, and the value of all requests.
    volumes: dict[int, tuple[float, float]] = field(default_factory=dict)

    @property
    def rules(self) -> list[int]:
        return [sum(b.rule == n for b in self.violations) for n in range(1, 8)]


class HistoryChecker:
    """Checks one run's records.

    slack: seconds; may be less than SLACK only if the network itself was observed.
    """

    def __init__(self, site: pb.Site, records: Iterable[Record], slack: float = SLACK) -> None:
        self.site, self.slack = site, slack
        self.records = sorted(records, key=lambda r: r["t"])
        self.first_time = self.records[0]["t"] if self.records else 0.0
        self.verdict = Verdict()
        self.sent: dict[AttemptId, Record] = {}
        self.answers: dict[AttemptId, list[Record]] = defaultdict(list)
        self.arrivals: dict[AttemptId, list[Record]] = defaultdict(list)
        self.endings: dict[tuple[int, int, int, int], list[Record]] = defaultdict(list)
        self.ran: dict[int, list[Record]] = defaultdict(list)  # by label
        self.by_label: dict[int, list[Record]] = defaultdict(list)
        self.backend_deaths: dict[int, list[float]] = defaultdict(list)
        self.gateway_deaths: dict[int, list[float]] = defaultdict(list)
        # When a request was complete at its gateway; empty unless the network itself was observed.
        self.received_at: dict[AttemptId, float] = {}
        self.accepted: set[int] = set()  # labels of requests that a branch accepted to replay later
        self.missed_aborts: set[AttemptId] = set()  # attempts whose abort did not reach the gateway in time
        self.down: dict[int, list[tuple[float, float]]] = defaultdict(list)  # by gateway: from and until
        # By client and gateway: from and until when they were cut off or the gateway was stopped.
        self.unreachable: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
        self.backends: dict[int, pb.Shelf] = {s.number: s for s in site.shelf}
        for r in self.records:
            self._index(r)

    def _index(self, r: Record) -> None:
        event = r["e"]
        if "label" in r:
            self.by_label[r["label"]].append(r)
        if event == "sent":
            self.sent[r["label"], r["attempt"]] = r
        elif event in ("answer", "answered late"):
            self.answers[r["label"], r["attempt"]].append(r)
        elif event == "arrived":
            self.arrivals[r["label"], r["attempt"]].append(r)
        elif event == "ended":
            self.endings[r["shelf"], r["start"], r["label"], r["attempt"]].append(r)
        elif event == "ran":
            self.ran[r["label"]].append(r)
        elif event == "shelf killed":
            self.backend_deaths[r["shelf"]].append(r["t"])
        elif event == "head killed":
            self.gateway_deaths[r["head"]].append(r["t"])
            self.down[r["head"]].append((r["t"], r["t"]))
        elif event == "head back" and self.down[r["head"]]:
            self.down[r["head"]][-1] = (self.down[r["head"]][-1][0], r["t"])
        elif event == "accepted":
            self.accepted.add(r["label"])
        elif event == "came":
            self.received_at[r["label"], r["attempt"]] = r["t"]
        elif event == "abort missed":
            self.missed_aborts.add((r["label"], r["attempt"]))
        elif event == "apart":
            self.unreachable[r["client"], r["head"]].append((r["t"], r["until"]))

    def check(self) -> Verdict:
        self._count()
        self._check_answers()
        self._check_effects()
        self._check_drains()
        self._check_slow_start()
        self._check_order()
        self._check_retry_budget()
        self._check_rate_limits()
        return self.verdict

    # ---- violations

    def _add_violation(self, rule: int, reason: str, label: int | None = None) -> None:
        history: tuple[str, ...] = ()
        if label is not None:
            history = tuple(self.history(label))
        self.verdict.violations.append(Violation(rule, reason, history))

    def history(self, label: int) -> list[str]:
        """Returns a request's records at client and backends, one line each."""
        hidden = {"t", "who", "e", "label", "start", "by", "due"}
        return [
            f"{r['t'] - self.first_time:9.3f}  {r['who']:<18} {r['e']:<14} "
            + " ".join(f"{k}={v}" for k, v in r.items() if k not in hidden)
            for r in self.by_label[label]
        ]

    def _profile(self, r: Record) -> pb.Profile:
        return self.site.profile[r["profile"]]

    def _ending_of(self, arrival: Record) -> Record | None:
        """Returns the record of how the backend ended a command, or None if it never did."""
        key = (arrival["shelf"], arrival["start"], arrival["label"], arrival["attempt"])
        return next((e for e in self.endings.get(key, ()) if e["t"] >= arrival["t"]), None)

    def _never_ran(self, arrival: Record) -> bool:
        end = self._ending_of(arrival)
        return end is not None and end["how"] in NEVER_RAN

    # ---- counts

    def _count(self) -> None:
        counts = dict.fromkeys(("taken", *FINAL, "left", "unreachable", "unanswered", "not sent"), 0)
        counts["taken"] = len(self.sent)
        values: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])  # by volume: earned, due
        seen: set[int] = set()  # labels
        for r in self.records:
            if r["e"] == "answer":
                counts[r["how"]] += 1
                self.verdict.wrong_reads += r["wrong"]
                sent = self.sent[r["label"], r["attempt"]]
                profile = self._profile(sent)
                if r["how"] == "honoured" and r["t"] - sent["due"] <= profile.promised:
                    values[sent["volume"]][0] += profile.value
            elif r["e"] in ("sent", "not sent"):
                counts["not sent"] += r["e"] == "not sent"
                if r["label"] not in seen:
                    seen.add(r["label"])
                    values[r["volume"]][1] += self._profile(r).value
        self.verdict.counts = counts
        self.verdict.volumes = {volume: (pair[0], pair[1]) for volume, pair in sorted(values.items())}

    # ---- the rules

    def _check_answers(self) -> None:
        for identity, sent in self.sent.items():
            label = identity[0]
            answers = self.answers.get(identity, [])
            outcomes = [a.get("how", "late") for a in answers]
            end = answers[0]["t"] if answers else float("inf")
            unreachable = self._was_unreachable(sent, end)
            if not answers or "unanswered" in outcomes or (outcomes[0] == "unreachable" and not unreachable):
                if not unreachable:
                    self.verdict.lost += 1
                    self._add_violation(
                        1, f"no answer before the client's deadline (gateway {sent['head']})", label
                    )
            elif sum(how in (*FINAL, "late") for how in outcomes) > 1:
                self._add_violation(1, f"more than one answer: {', '.join(outcomes)}", label)
            for arrival in self.arrivals.get(identity, ()) if label not in self.accepted else ():
                if (
                    sent_at(arrival) > end + self.slack
                    and not unreachable
                    and identity not in self.missed_aborts
                ):
                    self._add_violation(
                        1, f"sent to backend {arrival['shelf']} after the request had ended", label
                    )

    def _was_unreachable(self, sent: Record, end: float) -> bool:
        """Returns whether, between sending and `end`, its gateway was down, stopped or cut off."""
        intervals = self.down[sent["head"]] + self.unreachable[sent["who"], sent["head"]]
        return any(
            begin - self.slack <= end and sent["t"] <= until + self.slack for begin, until in intervals
        )

    def _check_effects(self) -> None:
        for label, ran in self.ran.items():
            sent = next((s for (known, _), s in self._attempts(label)), None)
            if sent and self._profile(sent).effect == pb.IRREVERSIBLE and len(ran) > 1:
                self.verdict.duplicated += 1
                self._add_violation(2, f"a non-idempotent request ran {len(ran)} times", label)
        for identity, sent in self.sent.items():
            profile, label = self._profile(sent), identity[0]
            if profile.effect == pb.REDOABLE:
                continue
            arrivals = self.arrivals.get(identity, [])
            may_have_run = [a for a in arrivals if not self._never_ran(a)]
            rejected = next(
                (a for a in self.answers.get(identity, ()) if a.get("how") == "pushed back"), None
            )
            if profile.effect == pb.IRREVERSIBLE:
                if may_have_run and arrivals[-1] is not may_have_run[0]:
                    self._add_violation(
                        2, "a non-idempotent request was sent again after it may have run", label
                    )
                if may_have_run and rejected:
                    self._add_violation(2, "a non-idempotent request that may have run was rejected", label)
            elif may_have_run:
                self._check_keyed(profile, may_have_run[0], arrivals, rejected, label)

    def _attempts(self, label: int) -> list[tuple[AttemptId, Record]]:
        return [((label, n), self.sent[label, n]) for n in range(4) if (label, n) in self.sent]

    def _check_keyed(
        self, profile: pb.Profile, first: Record, arrivals: list[Record], rejected: Record | None, label: int
    ) -> None:
        for later in arrivals:
            if later["t"] <= first["t"]:
                continue
            first_backend, backend = self.backends[first["shelf"]], self.backends[later["shelf"]]
            outside = (
                profile.group == pb.SHARD
                and first_backend.shard != backend.shard
                or profile.group == pb.ZONE
                and first_backend.zone != backend.zone
            )
            if outside or later["t"] > first["t"] + profile.remembered + self.slack:
                self._add_violation(
                    2, "a keyed request was sent again outside its idempotency scope or window", label
                )
        if rejected and (
            profile.group != pb.ALL or rejected["t"] > first["t"] + profile.remembered + self.slack
        ):
            self._add_violation(2, "a keyed request that may have run was rejected", label)

    def _check_drains(self) -> None:
        grace = self.site.rules.drain_grace
        told: dict[tuple[int, int], float] = {}
        for r in self.records:
            if r["e"] == "told":
                pair = r["head"], r["shelf"]
                if r["state"] == "ready":
                    told.pop(pair, None)
                else:
                    told.setdefault(pair, r["t"])
            elif r["e"] == "head killed":
                # A restarted gateway knows only the list that it stored, until discovery sends it a new one.
                told = {pair: at for pair, at in told.items() if pair[0] != r["head"]}
            elif r["e"] == "arrived" and sent_at(r) > grace + self.slack + told.get(
                (r["head"], r["shelf"]), sent_at(r)
            ):
                self._add_violation(
                    3,
                    f"gateway {r['head']} sent to backend {r['shelf']} after it was told that it stops",
                    r["label"],
                )

    def _check_slow_start(self) -> None:
        for r in self.records:
            if r["e"] == "fell":
                self._add_violation(
                    4,
                    f"backend {r['shelf']} was overloaded during slow start, "
                    f"{r['t'] - r['start'] / 1e6:.2f} s after its start",
                )

    def _check_order(self) -> None:
        arrivals_by_key: dict[tuple[int, str], list[Record]] = defaultdict(list)
        # On one connection, requests arrive in the order of sending. Otherwise the times of receipt give the
        # order; requests received within SAME_INSTANT_SECONDS have none.
        order = {identity: n for n, identity in enumerate(self.sent)}
        if self.received_at:
            order = {identity: int(at / SAME_INSTANT_SECONDS) for identity, at in self.received_at.items()}
        for identity, arrivals in self.arrivals.items():
            sent = self.sent.get(identity)
            if sent and sent["key"]:
                for a in arrivals:
                    arrivals_by_key[sent["head"], sent["key"]].append(a)
        for (gateway, _), arrivals in arrivals_by_key.items():
            arrivals.sort(key=sent_at)
            for earlier, later in zip(arrivals, arrivals[1:], strict=False):
                first, second = (earlier["label"], earlier["attempt"]), (later["label"], later["attempt"])
                if any(sent_at(earlier) < at <= sent_at(later) for at in self.gateway_deaths[gateway]):
                    continue  # the gateway restarted between and knows nothing of the earlier command
                if first == second:
                    continue
                if order.get(second, 0) < order.get(first, 0) - (1 if self.received_at else 0):
                    self._add_violation(
                        5, f"gateway {gateway} sent a key's requests out of order", later["label"]
                    )
                if not self._ended_before(earlier, later):
                    self._add_violation(
                        5,
                        f"gateway {gateway} sent a key's next request early",
                        later["label"],
                    )

    def _ended_before(self, earlier: Record, later: Record) -> bool:
        end = self._ending_of(earlier)
        if end is not None and end["t"] <= sent_at(later):
            return True
        # The backend had not ended it: the gateway may send the next one only key_rest after a timeout, which
        # the client's answer shows, or after a lost connection, which the backend's death shows.
        rest = self.site.rules.key_rest - self.slack
        end_times = [at for at in self.backend_deaths[earlier["shelf"]] if earlier["t"] <= at]
        end_times += [a["t"] for a in self.answers.get((earlier["label"], earlier["attempt"]), ())]
        return any(at + rest <= sent_at(later) for at in end_times)

    def _check_retry_budget(self) -> None:
        if not self.site.rules.HasField("budget"):
            return
        budget = self.site.rules.budget
        requests: dict[int, list[float]] = defaultdict(list)  # by gateway: times
        retries: dict[int, list[float]] = defaultdict(list)
        for sent in self.sent.values():
            requests[sent["head"]].append(sent["t"])
        for (label, _), arrivals in self.arrivals.items():
            if label in self.accepted:
                # At the gateway that replays it, each arrival counts as a request of its own.
                for a in arrivals:
                    requests[a["head"]].append(sent_at(a))
                continue
            for a in sorted(arrivals, key=sent_at)[1:]:
                retries[a["head"]].append(sent_at(a))
        for gateway, times in retries.items():
            window: deque[float] = deque()
            for at in sorted(times):
                window.append(at)
                # A restarted gateway knows nothing of the retries and requests before.
                restart = max((d for d in self.gateway_deaths[gateway] if d < at), default=0.0)
                while window[0] < max(restart, at - budget.span + self.slack):
                    window.popleft()
                since = max(restart, at - budget.span - self.slack)
                earned = sum(since <= t <= at + self.slack for t in requests[gateway])
                if len(window) > budget.free + budget.part * earned:
                    self._add_violation(
                        6,
                        f"gateway {gateway} made {len(window)} retries in {budget.span:g} s, "
                        f"{earned} requests received",
                    )
                    break

    def _check_rate_limits(self) -> None:
        plans = {p.name: p for p in self.site.plan}
        first_attempts: dict[int, list[tuple[float, float]]] = defaultdict(list)
        for arrivals in self.arrivals.values():
            first = min(arrivals, key=sent_at)
            first_attempts[first["volume"]].append((sent_at(first), first["units"]))
        for volume in self.site.volume:
            plan = plans[volume.plan]
            if not plan.limit:
                continue
            tokens, at = plan.limit_burst, self.first_time
            for t, units in sorted(first_attempts[volume.number]):
                tokens = min(plan.limit_burst, tokens + (t - at) * plan.limit)
                at = t
                tokens -= units
                if tokens < -plan.limit_slack - self.slack * plan.limit:
                    self._add_violation(
                        7, f"volume {volume.name} was sent {-tokens:.1f} units beyond its rate limit"
                    )
                    break
