"""The seven rules, judged from records of stand-ins. Nothing that a head says of itself is read.

All records carry the one clock of the machine. A message takes time on the way: wherever a rule compares
what two sides saw, SLACK covers the way and a busy machine; a break within it is not seen. Where the network
itself was watched, an arrival says when it left the head, which then counts for what a head may send.
"""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from gorsethread.site_config import site_pb2 as pb

SLACK = 0.25  # seconds
SAME_INSTANT_SECONDS = 0.002  # seconds in which two connections' bytes may be read in either order
Record = dict[str, Any]
Identity = tuple[int, int]  # a client's label and which try of it: one transaction at a head
FINAL = ("honoured", "pushed back", "given up")
NEVER_RAN = ("turned away", "dropped", "repeat")


def left_at(arrival: Record) -> float:
    """When it left the head, as far as that was seen."""
    left: float = arrival.get("left", arrival["t"])
    return left


@dataclass(frozen=True, slots=True)
class Violation:
    """One break of a rule, with the history of the transaction where there is one."""

    rule: int
    reason: str
    history: tuple[str, ...] = ()

    def __str__(self) -> str:
        return "\n".join((f"rule {self.rule}: {self.reason}", *(f"    {line}" for line in self.history)))


@dataclass(slots=True)
class Verdict:
    violations: list[Violation] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    lost: int = 0
    duplicated: int = 0
    wrong_reads: int = 0
    volumes: dict[int, tuple[float, float]] = field(default_factory=dict)  # honoured in time, due (value)

    @property
    def rules(self) -> list[int]:
        return [sum(b.rule == n for b in self.violations) for n in range(1, 8)]


class HistoryChecker:
    """slack: seconds; less than SLACK only where the network itself was watched."""

    def __init__(self, site: pb.Site, records: Iterable[Record], slack: float = SLACK) -> None:
        self.site, self.slack = site, slack
        self.records = sorted(records, key=lambda r: r["t"])
        self.zero = self.records[0]["t"] if self.records else 0.0
        self.verdict = Verdict()
        self.sent: dict[Identity, Record] = {}
        self.answers: dict[Identity, list[Record]] = defaultdict(list)
        self.arrivals: dict[Identity, list[Record]] = defaultdict(list)
        self.ends: dict[tuple[int, int, int, int], list[Record]] = defaultdict(list)
        self.ran: dict[int, list[Record]] = defaultdict(list)  # by label
        self.by_label: dict[int, list[Record]] = defaultdict(list)
        self.shelf_deaths: dict[int, list[float]] = defaultdict(list)
        self.head_deaths: dict[int, list[float]] = defaultdict(list)
        # When a request was complete at its gateway; empty unless the network itself was observed.
        self.received_at: dict[Identity, float] = {}
        self.accepted: set[int] = set()  # labels that a branch took, to be in effect later
        self.missed: set[Identity] = set()  # whose client's leaving the head was not told of
        self.down: dict[int, list[tuple[float, float]]] = defaultdict(list)  # of each head, from and until
        # Client and head that did not reach each other, or a head that stood still: from and until.
        self.apart: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
        self.shelves: dict[int, pb.Shelf] = {s.number: s for s in site.shelf}
        for r in self.records:
            self._sort_in(r)

    def _sort_in(self, r: Record) -> None:
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
            self.ends[r["shelf"], r["start"], r["label"], r["attempt"]].append(r)
        elif event == "ran":
            self.ran[r["label"]].append(r)
        elif event == "shelf killed":
            self.shelf_deaths[r["shelf"]].append(r["t"])
        elif event == "head killed":
            self.head_deaths[r["head"]].append(r["t"])
            self.down[r["head"]].append((r["t"], r["t"]))
        elif event == "head back" and self.down[r["head"]]:
            self.down[r["head"]][-1] = (self.down[r["head"]][-1][0], r["t"])
        elif event == "accepted":
            self.accepted.add(r["label"])
        elif event == "came":
            self.received_at[r["label"], r["attempt"]] = r["t"]
        elif event == "abort missed":
            self.missed.add((r["label"], r["attempt"]))
        elif event == "apart":
            self.apart[r["client"], r["head"]].append((r["t"], r["until"]))

    def check(self) -> Verdict:
        self._count()
        self._one_answer()
        self._no_effect_twice()
        self._drains()
        self._cold_shelves()
        self._order()
        self._budget()
        self._limits()
        return self.verdict

    # ---- telling

    def _broken(self, rule: int, reason: str, label: int | None = None) -> None:
        history: tuple[str, ...] = ()
        if label is not None:
            history = tuple(self.history(label))
        self.verdict.violations.append(Violation(rule, reason, history))

    def history(self, label: int) -> list[str]:
        """A transaction's steps across client, head and shelves, as each saw them."""
        hidden = {"t", "who", "e", "label", "start", "by", "due"}
        return [
            f"{r['t'] - self.zero:9.3f}  {r['who']:<18} {r['e']:<14} "
            + " ".join(f"{k}={v}" for k, v in r.items() if k not in hidden)
            for r in self.by_label[label]
        ]

    def _profile(self, r: Record) -> pb.Profile:
        return self.site.profile[r["profile"]]

    def _end_of(self, arrival: Record) -> Record | None:
        """How the shelf ended what arrived; None: it never did."""
        key = (arrival["shelf"], arrival["start"], arrival["label"], arrival["attempt"])
        return next((e for e in self.ends.get(key, ()) if e["t"] >= arrival["t"]), None)

    def _never_ran(self, arrival: Record) -> bool:
        end = self._end_of(arrival)
        return end is not None and end["how"] in NEVER_RAN

    # ---- counts

    def _count(self) -> None:
        counts = dict.fromkeys(("taken", *FINAL, "left", "unreachable", "unanswered", "not sent"), 0)
        counts["taken"] = len(self.sent)
        earned: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        first_seen: set[int] = set()
        for r in self.records:
            if r["e"] == "answer":
                counts[r["how"]] += 1
                self.verdict.wrong_reads += r["wrong"]
                sent = self.sent[r["label"], r["attempt"]]
                profile = self._profile(sent)
                if r["how"] == "honoured" and r["t"] - sent["due"] <= profile.promised:
                    earned[sent["volume"]][0] += profile.value
            elif r["e"] in ("sent", "not sent"):
                counts["not sent"] += r["e"] == "not sent"
                if r["label"] not in first_seen:
                    first_seen.add(r["label"])
                    earned[r["volume"]][1] += self._profile(r).value
        self.verdict.counts = counts
        self.verdict.volumes = {v: (worth[0], worth[1]) for v, worth in sorted(earned.items())}

    # ---- the rules

    def _one_answer(self) -> None:
        for identity, sent in self.sent.items():
            label = identity[0]
            answers = self.answers.get(identity, [])
            hows = [a.get("how", "late") for a in answers]
            end = answers[0]["t"] if answers else float("inf")
            away = self._out_of_reach(sent, end)
            if not answers or "unanswered" in hows or (hows[0] == "unreachable" and not away):
                if not away:
                    self.verdict.lost += 1
                    self._broken(1, f"no answer before the client's time was up (head {sent['head']})", label)
            elif sum(how in (*FINAL, "late") for how in hows) > 1:
                self._broken(1, f"more than one answer: {', '.join(hows)}", label)
            for arrival in self.arrivals.get(identity, ()) if label not in self.accepted else ():
                if left_at(arrival) > end + self.slack and not away and identity not in self.missed:
                    self._broken(1, f"sent to shelf {arrival['shelf']} after it was over", label)

    def _out_of_reach(self, sent: Record, end: float) -> bool:
        """Its head was down, stood still or did not reach its client for some of that time."""
        spans = self.down[sent["head"]] + self.apart[sent["who"], sent["head"]]
        return any(begin - self.slack <= end and sent["t"] <= until + self.slack for begin, until in spans)

    def _no_effect_twice(self) -> None:
        for label, ran in self.ran.items():
            sent = next((s for (known, _), s in self._tries(label)), None)
            if sent and self._profile(sent).effect == pb.IRREVERSIBLE and len(ran) > 1:
                self.verdict.duplicated += 1
                self._broken(2, f"an irreversible transaction ran {len(ran)} times", label)
        for identity, sent in self.sent.items():
            profile, label = self._profile(sent), identity[0]
            if profile.effect == pb.REDOABLE:
                continue
            arrivals = self.arrivals.get(identity, [])
            may_have_run = [a for a in arrivals if not self._never_ran(a)]
            pushed = next((a for a in self.answers.get(identity, ()) if a.get("how") == "pushed back"), None)
            if profile.effect == pb.IRREVERSIBLE:
                if may_have_run and arrivals[-1] is not may_have_run[0]:
                    self._broken(2, "an irreversible transaction was sent again after it may have run", label)
                if may_have_run and pushed:
                    self._broken(2, "an irreversible transaction that may have run was pushed back", label)
            elif may_have_run:
                self._labelled(profile, may_have_run[0], arrivals, pushed, label)

    def _tries(self, label: int) -> list[tuple[Identity, Record]]:
        return [((label, n), self.sent[label, n]) for n in range(4) if (label, n) in self.sent]

    def _labelled(
        self, profile: pb.Profile, first: Record, arrivals: list[Record], pushed: Record | None, label: int
    ) -> None:
        for later in arrivals:
            if later["t"] <= first["t"]:
                continue
            one, other = self.shelves[first["shelf"]], self.shelves[later["shelf"]]
            outside = (
                profile.group == pb.SHARD
                and one.shard != other.shard
                or profile.group == pb.ZONE
                and one.zone != other.zone
            )
            if outside or later["t"] > first["t"] + profile.remembered + self.slack:
                self._broken(2, "a labelled transaction was sent again outside its group or window", label)
        if pushed and (profile.group != pb.ALL or pushed["t"] > first["t"] + profile.remembered + self.slack):
            self._broken(2, "a labelled transaction that may have run was pushed back", label)

    def _drains(self) -> None:
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
                # A new life of the head knows only the list it remembers, until it is told again.
                told = {pair: at for pair, at in told.items() if pair[0] != r["head"]}
            elif r["e"] == "arrived" and left_at(r) > grace + self.slack + told.get(
                (r["head"], r["shelf"]), left_at(r)
            ):
                self._broken(
                    3, f"head {r['head']} sent to shelf {r['shelf']} after it was told of its end", r["label"]
                )

    def _cold_shelves(self) -> None:
        for r in self.records:
            if r["e"] == "fell":
                self._broken(
                    4,
                    f"shelf {r['shelf']} was pushed over while cold, "
                    f"{r['t'] - r['start'] / 1e6:.2f} s after its start",
                )

    def _order(self) -> None:
        lines: dict[tuple[int, str], list[Record]] = defaultdict(list)
        # On one connection the order of sending is that of coming; else what came in one moment has none.
        order = {identity: n for n, identity in enumerate(self.sent)}
        if self.received_at:
            order = {identity: int(at / SAME_INSTANT_SECONDS) for identity, at in self.received_at.items()}
        for identity, arrivals in self.arrivals.items():
            sent = self.sent.get(identity)
            if sent and sent["key"]:
                for a in arrivals:
                    lines[sent["head"], sent["key"]].append(a)
        for (head, _), line in lines.items():
            line.sort(key=left_at)
            for earlier, later in zip(line, line[1:], strict=False):
                one, two = (earlier["label"], earlier["attempt"]), (later["label"], later["attempt"])
                if any(left_at(earlier) < at <= left_at(later) for at in self.head_deaths[head]):
                    continue  # another life of the head, which knows nothing of what this one had out
                if one == two:
                    continue
                if order.get(two, 0) < order.get(one, 0) - (1 if self.received_at else 0):
                    self._broken(5, f"head {head} sent a key's transactions out of turn", later["label"])
                if not self._over_before(earlier, later):
                    self._broken(5, f"head {head} sent a key's next transaction early", later["label"])

    def _over_before(self, earlier: Record, later: Record) -> bool:
        end = self._end_of(earlier)
        if end is not None and end["t"] <= left_at(later):
            return True
        # The shelf had not ended it: the head may go on only after a time-out or a broken link, and a rest.
        rest = self.site.rules.key_rest - self.slack
        known_over = [at for at in self.shelf_deaths[earlier["shelf"]] if earlier["t"] <= at]
        known_over += [a["t"] for a in self.answers.get((earlier["label"], earlier["attempt"]), ())]
        return any(at + rest <= left_at(later) for at in known_over)

    def _budget(self) -> None:
        if not self.site.rules.HasField("budget"):
            return
        budget = self.site.rules.budget
        taken: dict[int, list[float]] = defaultdict(list)
        further: dict[int, list[float]] = defaultdict(list)
        for sent in self.sent.values():
            taken[sent["head"]].append(sent["t"])
        for (label, _), arrivals in self.arrivals.items():
            if label in self.accepted:
                # At the head that puts it into effect each coming is a transaction of its own.
                for a in arrivals:
                    taken[a["head"]].append(left_at(a))
                continue
            for a in sorted(arrivals, key=left_at)[1:]:
                further[a["head"]].append(left_at(a))
        for head, times in further.items():
            window: deque[float] = deque()
            for at in sorted(times):
                window.append(at)
                # Another life of the head knows nothing of what this one spent or took.
                life = max((d for d in self.head_deaths[head] if d < at), default=0.0)
                while window[0] < max(life, at - budget.span + self.slack):
                    window.popleft()
                since = max(life, at - budget.span - self.slack)
                earned = sum(since <= t <= at + self.slack for t in taken[head])
                if len(window) > budget.free + budget.part * earned:
                    self._broken(
                        6,
                        f"head {head} made {len(window)} further forwards in {budget.span:g} s, "
                        f"{earned} transactions taken",
                    )
                    break

    def _limits(self) -> None:
        plans = {p.name: p for p in self.site.plan}
        firsts: dict[int, list[tuple[float, float]]] = defaultdict(list)
        for arrivals in self.arrivals.values():
            first = min(arrivals, key=left_at)
            firsts[first["volume"]].append((left_at(first), first["units"]))
        for volume in self.site.volume:
            plan = plans[volume.plan]
            if not plan.limit:
                continue
            store, at = plan.limit_burst, self.zero
            for t, units in sorted(firsts[volume.number]):
                store = min(plan.limit_burst, store + (t - at) * plan.limit)
                at = t
                store -= units
                if store < -plan.limit_slack - self.slack * plan.limit:
                    self._broken(7, f"volume {volume.name} was sent {-store:.1f} units past its limit")
                    break
