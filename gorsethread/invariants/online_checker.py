"""The seven rules as they are broken: records one by one, in the order of time, each judged by what was known
at that moment. Where the judge of the whole history sees that a forward turned out not to have run, this one
asks whether that was known when the next one left.

State grows with what was seen, as it must to judge it; it is for worlds and tests, which end.
"""

from bisect import insort
from collections import defaultdict, deque
from dataclasses import dataclass, field

from gorsethread.invariants.history_checker import (
    FINAL,
    NEVER_RAN,
    SAME_INSTANT_SECONDS,
    SLACK,
    Identity,
    Record,
    Violation,
    left_at,
)
from gorsethread.site_config import site_pb2 as pb


@dataclass(slots=True)
class _Arrival:
    record: Record
    left: float
    end: Record | None = None


@dataclass(slots=True)
class _Seen:
    """What was seen of one command of a client."""

    sent: Record
    order: int
    arrivals: list[_Arrival] = field(default_factory=list)
    over_at: float = float("inf")
    how: str = ""
    finals: int = 0
    received_at: float = 0.0  # when it was whole at its head, where the network was watched

    def before(self, other: "_Seen") -> bool:
        if self.received_at and other.received_at:
            return self.received_at < other.received_at - SAME_INSTANT_SECONDS
        return self.order < other.order


class OnlineChecker:
    """take() each record; breaks has what was broken, with the moment."""

    def __init__(self, site: pb.Site, slack: float = SLACK) -> None:
        self.site, self.slack = site, slack
        self.violations: list[tuple[float, Violation]] = []
        self.seen: dict[Identity, _Seen] = {}
        self.ran: dict[int, int] = defaultdict(int)  # by label
        self.told: dict[tuple[int, int], float] = {}
        self.shards = {s.number: (s.shard, s.zone) for s in site.shelf}
        self.plans = {p.name: p for p in site.plan}
        self.volumes = {v.number: v for v in site.volume}
        self._away: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
        self._down: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self._shelf_deaths: dict[int, list[float]] = defaultdict(list)
        self._head_deaths: dict[int, float] = {}
        self._lines: dict[tuple[int, str], tuple[_Seen, _Arrival]] = {}  # the last of each key
        self._taken: dict[int, deque[float]] = defaultdict(deque)
        self._further: dict[int, deque[float]] = defaultdict(deque)
        self._spent: dict[int, list[tuple[float, float]]] = defaultdict(list)  # first forwards as they left
        self._store: dict[int, tuple[float, float]] = {}  # of each volume's limit: level, when
        self._missed: set[Identity] = set()
        self._accepted: set[int] = set()  # labels that a branch took, to be in effect later
        self._start = float("nan")
        self._said: set[tuple[int, object]] = set()

    def add(self, r: Record) -> None:
        if self._start != self._start:
            self._start = r["t"]
        match r["e"]:
            case "sent":
                self.seen[r["label"], r["attempt"]] = _Seen(r, len(self.seen))
                self._taken[r["head"]].append(r["t"])
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
                self._broken(r["t"], 4, f"shelf {r['shelf']} was pushed over while cold", r["t"])
            case "accepted":
                self._accepted.add(r["label"])
            case "abort missed":
                self._missed.add((r["label"], r["attempt"]))
            case "apart":
                self._away[r["client"], r["head"]].append((r["t"], r["until"]))
            case "head killed":
                self._down[r["head"]].append((r["t"], float("inf")))
                self._head_deaths[r["head"]] = r["t"]
                # Another life of the head knows nothing of what this one spent or took.
                self._further[r["head"]].clear()
                self._taken[r["head"]].clear()
                self.told = {pair: at for pair, at in self.told.items() if pair[0] != r["head"]}
            case "head back":
                self._down[r["head"]][-1] = (self._down[r["head"]][-1][0], r["t"])
            case "shelf killed":
                self._shelf_deaths[r["shelf"]].append(r["t"])

    def finish(self, at: float) -> None:
        """Nothing more comes: what has no answer now has none."""
        for (label, _), s in self.seen.items():
            if not s.how and not self._out_of_reach(s.sent, at):
                self._broken(at, 1, f"no answer at all (head {s.sent['head']})", label)

    # ---- parts

    def _broken(self, at: float, rule: int, reason: str, about: object) -> None:
        """Once for each transaction and rule."""
        if (rule, about) not in self._said:
            self._said.add((rule, about))
            self.violations.append((at, Violation(rule, reason)))

    def _out_of_reach(self, sent: Record, until: float) -> bool:
        spans = self._down[sent["head"]] + self._away[sent["who"], sent["head"]]
        return any(begin - self.slack <= until and sent["t"] <= end + self.slack for begin, end in spans)

    def _profile(self, s: _Seen) -> pb.Profile:
        return self.site.profile[s.sent["profile"]]

    def _answered(self, r: Record) -> None:
        s = self.seen.get((r["label"], r["attempt"]))
        if s is None:
            return
        label, how = r["label"], r.get("how", "late")
        s.finals += how in FINAL or how == "late"
        if s.finals > 1:
            self._broken(r["t"], 1, "more than one answer", label)
        if s.how:
            return
        s.over_at, s.how = r["t"], how
        if how in ("unanswered", "unreachable") and not self._out_of_reach(s.sent, r["t"]):
            self._broken(
                r["t"], 1, f"no answer before the client's time was up (head {s.sent['head']})", label
            )
        if how == "pushed back":
            self._pushed_back(s, r)

    def _pushed_back(self, s: _Seen, r: Record) -> None:
        """Nothing that may have run is pushed back, by what had come back by now."""
        profile = self._profile(s)
        may = [a for a in s.arrivals if not self._known_not_to_have_run(a, r["t"])]
        if not may or profile.effect == pb.REDOABLE:
            return
        late = r["t"] > may[0].record["t"] + profile.remembered + self.slack
        if profile.effect == pb.IRREVERSIBLE or profile.group != pb.ALL or late:
            self._broken(r["t"], 2, "what may have run was pushed back", r["label"])

    def _known_not_to_have_run(self, a: _Arrival, by: float) -> bool:
        return a.end is not None and a.end["how"] in NEVER_RAN and a.end["t"] <= by

    def _arrived(self, r: Record) -> None:
        s = self.seen.get((r["label"], r["attempt"]))
        if s is None:
            return
        mine, label, head = _Arrival(r, left_at(r)), r["label"], r["head"]
        missed = (label, r["attempt"]) in self._missed or label in self._accepted
        if mine.left > s.over_at + self.slack and not missed and not self._out_of_reach(s.sent, s.over_at):
            self._broken(r["t"], 1, f"sent to shelf {r['shelf']} after it was over", label)
        if label in self._accepted:
            # At the head that puts it into effect each coming is a transaction of its own.
            insort(self._taken[head], mine.left)
        if s.arrivals:
            self._again(s, mine, label)
        if s.arrivals and label not in self._accepted:
            # Where a cut held the first one, what came before it was the further one.
            self._further_forward(head, max(mine.left, min(a.left for a in s.arrivals)))
        told = self.told.get((head, r["shelf"]))
        if told is not None and mine.left > told + self.site.rules.drain_grace + self.slack:
            self._broken(
                r["t"], 3, f"head {head} sent to shelf {r['shelf']} after it was told of its end", label
            )
        if not s.arrivals:
            self._limit(r, mine.left)
        s.arrivals.append(mine)
        if s.sent["key"]:
            self._in_line(s, mine)

    def _again(self, s: _Seen, mine: _Arrival, label: int) -> None:
        profile = self._profile(s)
        may = [a for a in s.arrivals if not self._known_not_to_have_run(a, mine.left)]
        if not may or profile.effect == pb.REDOABLE:
            return
        if profile.effect == pb.IRREVERSIBLE:
            self._broken(
                mine.record["t"],
                2,
                "an irreversible transaction was sent again though it may have run",
                label,
            )
            return
        one, other = self.shards[may[0].record["shelf"]], self.shards[mine.record["shelf"]]
        outside = (
            profile.group == pb.SHARD
            and one[0] != other[0]
            or profile.group == pb.ZONE
            and one[1] != other[1]
        )
        if outside or mine.left > may[0].record["t"] + profile.remembered + self.slack:
            self._broken(
                mine.record["t"],
                2,
                "a labelled transaction was sent again outside its group or window",
                label,
            )

    def _ended(self, r: Record) -> None:
        s = self.seen.get((r["label"], r["attempt"]))
        for a in s.arrivals if s is not None else ():
            if a.end is None and (a.record["shelf"], a.record["start"]) == (r["shelf"], r["start"]):
                a.end = r
                return

    def _ran(self, r: Record) -> None:
        self.ran[r["label"]] += 1
        s = self.seen.get((r["label"], r["attempt"]))
        if s is not None and self.ran[r["label"]] > 1 and self._profile(s).effect == pb.IRREVERSIBLE:
            self._broken(
                r["t"], 2, f"an irreversible transaction ran {self.ran[r['label']]} times", r["label"]
            )

    def _in_line(self, s: _Seen, mine: _Arrival) -> None:
        head, label = s.sent["head"], s.sent["label"]
        before = self._lines.get((head, s.sent["key"]))
        if before is not None and mine.left < before[1].left:
            return  # it left before, and a cut held it
        self._lines[head, s.sent["key"]] = (s, mine)
        if before is None or before[0] is s or before[1].left < self._head_deaths.get(head, 0.0) <= mine.left:
            return
        earlier, its = before
        if s.before(earlier):
            self._broken(mine.record["t"], 5, f"head {head} sent a key's transactions out of turn", label)
        if its.end is not None and its.end["t"] <= mine.left:
            return
        known_over = [at for at in self._shelf_deaths[its.record["shelf"]] if its.record["t"] <= at]
        known_over.append(earlier.over_at)
        if not any(at + self.site.rules.key_rest - self.slack <= mine.left for at in known_over):
            self._broken(mine.record["t"], 5, f"head {head} sent a key's next transaction early", label)

    def _further_forward(self, head: int, at: float) -> None:
        if not self.site.rules.HasField("budget") or at < self._head_deaths.get(head, 0.0):
            return
        budget, window, taken = self.site.rules.budget, self._further[head], self._taken[head]
        insort(window, at) if window and at < window[-1] else window.append(at)
        while window[0] < window[-1] - 2 * budget.span:
            window.popleft()
        while taken and taken[0] < at - 4 * budget.span:
            taken.popleft()
        # One that a cut held counts in the spans of those that left after it, too.
        for end in [t for t in window if t >= at]:
            made = sum(end - budget.span + self.slack <= t <= end for t in window)
            earned = sum(end - budget.span - self.slack <= t <= end + self.slack for t in taken)
            if made > budget.free + budget.part * earned:
                self._broken(
                    at,
                    6,
                    f"head {head} made {made} further forwards in {budget.span:g} s, "
                    f"{earned} transactions taken",
                    head,
                )

    def _limit(self, r: Record, left: float) -> None:
        volume = self.volumes[r["volume"]]
        plan = self.plans[volume.plan]
        if not plan.limit:
            return
        spent = self._spent[volume.number]
        level, at = self._store.get(volume.number, (plan.limit_burst, self._start))
        if spent and left < spent[-1][0]:
            # A cut held it while others passed: all that left after it is counted anew.
            insort(spent, (left, r["units"]))
            level, at, again = plan.limit_burst, self._start, spent
        else:
            spent.append((left, r["units"]))
            again = spent[-1:]
        for when, units in again:
            level = min(plan.limit_burst, level + (when - at) * plan.limit) - units
            at = when
            if level < -plan.limit_slack - self.slack * plan.limit:
                self._broken(
                    r["t"],
                    7,
                    f"volume {volume.name} was sent {-level:.1f} units past its limit",
                    volume.number,
                )
        self._store[volume.number] = (level, at)
