"""All decisions of a gateway. The program round it calls one method for each thing that happens, then
batch_ended(); the scheduler answers by calls on the host interface in gorsethread/scheduling/actions.py.

Ordinary path: LexAS, DUaL variant (docs/design.md), in _share_out. Beside it stand six mechanisms:
(1) a backend's bound and health, (2) the cold ramp, (3) the limit store, (4) shedding,
(5) retries, (6) key turns.
"""

import heapq
from bisect import insort
from collections import deque
from collections.abc import Iterator
from hashlib import blake2b

from gorsethread.scheduling.actions import Host
from gorsethread.scheduling.draws import Draws
from gorsethread.scheduling.model import (
    AttemptEnded,
    AttemptOutcome,
    Backend,
    Request,
    RequestTaken,
    SchedulerSettings,
    Volume,
)
from gorsethread.scheduling.shard_assignment import ShardAssignment

FIRST_BOUND = 4.0  # the design's start and ceiling
HIGHEST_BOUND = 32.0
ATTEMPTS_MOST = 3
NEW = -1  # the shard of a new object, which any backend may take
FREE_RATE = 8.0  # times the usual rate of a unit of weight; from here on a backend holds nothing back
LOWEST_RATE = 0.1  # from lower, a backend overloaded for a moment rests for ten seconds for want of answers
WAIT_PART = 0.3  # of the shortest promise: the longest wait at a backend that is not crowded
LINE_PART = 0.1  # of the shortest promise: a wait that shows a line at the backend
SILENT_PAUSE = 12.0  # usual times of a backend that fell silent, until it gets one more attempt
BREAKS_MOST = 3  # connections broken in turn from which a backend needs no rest
DRAIN_PART = 0.75  # of the grace: a send may still have to wait for a connection
HELD_UP = 0.25  # seconds of the grace for a process held up before it hears of a drain, or as it sends
LENT_PART = 0.4  # of the shortest promise: how long a lent part of a cold backend holds, from the asking
ASK_PART, FIRST_ASK_PART = 0.05, 0.2  # of the time a list may stand, over which those that ask at once spread
ASK_SPREAD_MOST = 10.0  # seconds of that time
ASK_PAUSE_MOST, LEAST_PAUSE_MOST = 4.0, 0.8  # seconds: a change counts as told after 6, whatever call failed
LOOK_AGAIN, KNOWN = 0.02, 5.0  # seconds until what held something back is looked at; that a rate tells of now


def _turn(t: Request) -> tuple[bool, float, float, int]:
    """Order inside a volume: what can keep its latency target, then by value, the nearest promise first."""
    return (t.late, -t.profile.priority_weight / max(t.units, 1.0), t.promised_by, t.order)


class Scheduler:
    def __init__(self, host: Host, facts: SchedulerSettings, seed: int) -> None:
        self.host, self.facts = host, facts
        self.draws = Draws(seed)
        self.born = self.now = self.aged = host.clock()
        self.dearest = max(p.priority_weight for p in facts.request_classes) or 1.0
        self.quickest = min(p.latency_objective for p in facts.request_classes)
        # Holding units beyond the reserve costs less the less they earn, so a backend's rate starts lower.
        self.first_rate = max(1.0, FREE_RATE * facts.excess_value**2)
        self.kept_slots = max(1.0, FIRST_BOUND / facts.gateways)  # at a backend with a line
        # An even part too small for a request rests at gateways that have nothing for the backend.
        self.lends = (
            facts.may_send_messages and facts.slow_start.units < facts.gateways * facts.largest_request_units
        )
        self.lent_for = LENT_PART * self.quickest
        self.lent_kept = facts.slow_start.window + self.lent_for
        self.lent: dict[int, list[tuple[float, float]]] = {}  # by shard; emptied by _age
        self.usual = sum(p.expected_rate / p.weight for p in facts.service_tiers) / len(facts.service_tiers)
        self.order = self.list_waits = 0
        self.spans = [0.0] * len(facts.request_classes)  # the longest first try seen of each profile
        self.requests: dict[int, Request] = {}  # emptied as each is over with its attempts in
        self.volumes: dict[str, Volume] = {}  # emptied of idle volumes by _age
        self.busy: dict[str, Volume] = {}  # volumes with something waiting or out; emptied with them
        self.stirred: dict[str, Volume] = {}  # got something to send since the last search, which empties it
        self.floor = self.overload_until = 0.0
        self.shards = ShardAssignment()
        self.backends, self.held_by = self.shards.backends, self.shards.serving
        self.wanted: dict[int, int] = {}  # how many wait, by shard; no more entries than shards
        self.list_whole, self.changed = False, True
        self.named: set[int] = set()
        # Guards against the calls of all gateways that came back at once filling the list service for long.
        self.ask_spread = min(facts.poll_within, ASK_SPREAD_MOST) * (1.0 - 1.0 / facts.gateways)
        first = self.born + FIRST_ASK_PART * self.ask_spread * self.draws.next()
        self.list_ask_at = first if facts.polls_endpoints else float("inf")
        self.lines: dict[str, deque[Request]] = {}  # emptied as keys fall idle and their rest ends
        self.key_rests: dict[str, float] = {}
        self.agenda: list[tuple[float, int, Request | str]] = []  # emptied as its times pass
        self.alarm = self.look_at = float("inf")
        self.taken: deque[float] = deque()  # both emptied as the budget's span passes
        self.further: deque[float] = deque()

    # ---- what can happen

    def request_taken(self, new: RequestTaken) -> None:
        now = self.now = self.host.clock()
        # One tenant's volume is not another's of the same name: each has the plan that its requests name.
        if not (v := self.volumes.get(own := f"{new.service_tier}/{new.volume}")):
            plan = self.facts.service_tiers[new.service_tier]
            v = self.volumes[own] = Volume(own, plan, self.floor * plan.weight, new.gateways, 0.0, self.born)
        v.heads = new.gateways
        # A client's repeat belongs to its first try, whose age shows in how little time is left.
        left = new.deadline - now
        longest = self.spans[new.request_class] = max(self.spans[new.request_class], left)
        age = longest - left if new.is_retry or not self.facts.repeats_marked else 0.0
        p = self.facts.request_classes[new.request_class]
        # Guards rule 1 where a client leaves before its latency target: no look is set past the deadline.
        promised_by = min(new.deadline, now - age + p.latency_objective)
        self.order += 1
        key = new.key if p.keyed_order else None
        t = Request(new.id, self.order, p, v, key, new.deadline, promised_by, new.units, new.shard)
        self.requests[new.id] = t
        if self.facts.retry_budget:
            self.taken.append(now)
        self._note(max(now, t.promised_by - self._expected(t)), t)
        if t.key is not None:
            line = self.lines.setdefault(t.key, deque())
            line.append(t)
            if line[0] is not t or self.key_rests.get(t.key, 0.0) > now:
                return
        self._hold(t)

    def attempt_ended(self, end: AttemptEnded) -> None:
        now = self.now = self.host.clock()
        s, t = self.backends.get(end.backend), self.requests.get(end.request)
        if s is None or t is None or (sent := s.out.pop((end.request, end.number), None)) is None:
            return
        self.changed = True
        self._judge(s, end.outcome, end.elapsed, t, sent)
        v = t.volume
        t.out, v.out = t.out - 1, v.out - 1
        v.total += end.units_elsewhere  # what others' gateways sent for the volume counts as if sent here
        if not v.out and not v.lanes:
            self.busy.pop(v.id, None)
        if not end.outcome.never_ran and t.ran_at is None:
            t.ran_at, t.ran_on = now - end.elapsed, s
        if t.key is not None and end.outcome.may_still_run:
            self.key_rests[t.key] = now + self.facts.key_cool_down
        if end.request_finished:
            t.over = True
        elif not t.over:
            if self._may_go_again(t):
                self._hold(t)
                self._note(now, t)
            else:
                self._end(t)
        self._close(t)

    def client_left(self, id: int) -> None:
        self.now = self.host.clock()
        if t := self.requests.get(id):
            self._unhold(t)
            t.over = True
            self._close(t)

    def shutting_down_by(self, when: float) -> None:
        """This gateway itself ends then: what its clients would wait longer for is answered before."""
        self.now = self.host.clock()
        for t in self.requests.values():
            if t.deadline > when:
                t.deadline, t.promised_by = when, min(t.promised_by, when)
                self._note(max(self.now, when - self._expected(t)), t)

    def timer_fired(self, name: str) -> None:
        if self.host.clock() >= self.alarm - 0.001:  # a clock may round a delay down
            self.alarm = float("inf")

    def peer_message_received(self, origin: int, words: str) -> None:
        """Of a cold backend's part: "ask" or "lent", shard, which asking, units, age. Else passed over."""
        self.now = self.host.clock()
        try:
            kind, named, number, units, age = words.split()
            shard, wanted = int(named), (float(units), float(age))
        except ValueError:
            return
        home, s = self._home(shard), self.held_by.get(shard)
        if kind == "ask" and home == self.facts.gateway_index and self._lend(shard, *wanted):
            self.host.send_peer_message(origin, f"lent {shard} {number} {units} {age}")
        elif kind == "lent" and home == origin and s and s.asked == number:
            self._borrow(s)

    def may_begin_attempt(self, id: int, backend: int, decided: float, now: float) -> bool:
        """Whether an attempt that waited for its connection since it was decided may still go out."""
        t, s = self.requests.get(id), self.backends.get(backend)
        if t is None or s is None or not s.ready and now > s.last_send or not self._is_repeatable(t, now):
            return False
        return not 0.0 < now - s.since < self.facts.slow_start.warm_after or now <= decided + self.lent_for

    def endpoint_poll_failed(self, waited: float = 0.0) -> None:
        self.now = self.host.clock()
        self.list_waits += 1
        step = max(0.25, ASK_PART * self.ask_spread) * 2.0 ** min(self.list_waits, 30)
        left = max(LEAST_PAUSE_MOST, ASK_PAUSE_MOST - waited)
        most = min(self.facts.poll_within or 0.5 * self.facts.drain_grace, step, left)
        self.list_ask_at = self.now + most * (0.1 + 0.9 * self.draws.next())

    def endpoint_list_begins(self, whole: bool, remembered: bool) -> None:
        self.now = self.host.clock()
        self.list_whole, self.named = whole, set()
        if not remembered:
            self.list_waits = 0

    def endpoint_listed(self, id: int, zone: int, shard: int, ready: bool, since: float) -> None:
        self.named.add(id)
        new = Backend(id, zone, shard, 0.0, ready, self.now, FIRST_BOUND, self.first_rate)
        s = self.backends.setdefault(id, new)
        if since > max(s.since, self.born):
            # Guards against all gateways rushing to one that just came back; costs half of what it lacks.
            cold = self.facts.slow_start
            missing = min(cold.window, cold.warm_after) * (1.0 - cold.initial_part)
            s.first_send = 0.0 if self.lends else self.now + 0.5 * missing * self.draws.next()
            s.rate = max(1.0, FREE_RATE * cold.initial_part)
            s.bound, s.rest_until, s.misses, s.errors, s.lent, s.asked = FIRST_BOUND, 0.0, 0, 0.0, 0.0, ""
        if not ready:
            # Guards against a shard without a backend until another holds it. Told again, it has gone.
            usable = min(DRAIN_PART * self.facts.drain_grace, max(0.0, self.facts.drain_grace - HELD_UP))
            s.last_send = self.now + usable if s.ready else 0.0
        s.zone, s.ready, s.since = zone, ready, max(since, s.since)
        self.shards.place(s, shard)

    def endpoint_list_ended(self) -> None:
        for id in self.backends.keys() - self.named if self.list_whole else ():
            self.shards.withdraw(self.backends[id])
        self._find_holders()

    def _find_holders(self) -> None:
        self.shards.update(self.now)
        self.changed = True

    def batch_ended(self) -> None:
        now = self.now = self.host.clock()
        while self.agenda and self.agenda[0][0] <= now:
            _, _, item = heapq.heappop(self.agenda)
            if isinstance(item, Request):
                self._look_at(item)
            else:
                self._next_in_line(item)
        if now >= self.look_at:
            self.look_at, self.changed = float("inf"), True
        if now >= self.shards.next_drain_end:
            self._find_holders()
        if now >= self.list_ask_at:
            self.list_ask_at = float("inf")
            self.host.poll_endpoints()
        if now - self.aged >= 0.5:
            self._age()
        if self.changed or self.stirred:
            # A new request changes nothing for other volumes, which found no path just before.
            self._share_out(list((self.busy if self.changed else self.stirred).values()))
            self.changed = False
            self.stirred.clear()
        noted = self.agenda[0][0] if self.agenda else float("inf")
        need = min(noted, self.list_ask_at, self.look_at, self.shards.next_drain_end)
        if need < self.alarm:
            self.alarm = need
            self.host.set_timer(max(0.0, need - now), "look")

    # ---- the ordinary path

    def _share_out(self, asking: list[Volume]) -> None:
        """LexAS: the unsaturated volume with the least (B + cost) / w gets a slot by an augmenting path."""
        free: dict[int, int] = {}  # worked out for backends that are asked for, and no others
        given: dict[int, list[Request]] = {}
        spent: dict[str, float] = {}  # units chosen so far of each volume
        moves: dict[str, int] = {}  # how often its choices changed: an edge seen before holds if they did not

        def room(s: Backend) -> bool:
            if s.id not in free:
                free[s.id], given[s.id] = self._free_slots(s), []
            return free[s.id] > 0

        def mark(t: Request, sign: int) -> None:
            t.chosen = sign > 0
            spent[t.volume.id] = spent.get(t.volume.id, 0.0) + sign * t.units
            moves[t.volume.id] = moves.get(t.volume.id, 0) + 1

        def edges(v: Volume) -> Iterator[tuple[int, Request]]:
            used = spent.get(v.id, 0.0)
            left = self._limit_left(v) - used
            for shard, lane in v.lanes.items():
                t = next((t for t in lane if not t.chosen), None) if lane[0].chosen else lane[0]
                if t is None or not t.attempts and t.units > left:
                    continue
                held_by = self.held_by.get(shard)
                for s in self._ranking(v) if shard == NEW else (held_by,) if held_by else ():
                    if not room(s) or not self._may_go_to(t, s):
                        continue
                    if shard == NEW and not t.attempts and self._has_enough(s, len(given[s.id])):
                        continue
                    if (t.attempts or s.rate >= FREE_RATE or self._in_pace(t, s, used)) and self._bears(t, s):
                        yield s.id, t
                    break

        def path(v: Volume, seen: set[int]) -> bool:
            for id, t in edges(v):
                if id in seen:
                    continue
                seen.add(id)
                mark(t, 1)
                if len(given[id]) < free[id]:
                    given[id].append(t)
                    return True
                for i, other in enumerate(given[id]):
                    mark(other, -1)
                    if other.volume is not v and path(other.volume, seen):  # noqa: F821
                        given[id][i] = t
                        return True
                    mark(other, 1)
                mark(t, -1)
            return False

        def scaled(entry: tuple[Volume, tuple[int, Request], int]) -> float:
            v, (_, t), _ = entry
            return (v.total + spent.get(v.id, 0.0) + t.units) / v.plan.weight

        unsaturated = {v.id: (v, edge, 0) for v in asking if v.lanes and (edge := next(edges(v), None))}
        while unsaturated:
            v, (id, t), at = min(unsaturated.values(), key=scaled)
            if moves.get(v.id, 0) == at and t.shard != NEW and len(given[id]) < free[id]:
                mark(t, 1)  # as path() would, whose first edge it is
                given[id].append(t)
                more = len(v.lanes) > 1 or len(v.lanes[t.shard]) > 1
            else:
                more = path(v, set())
            edge = next(edges(v), None) if more else None
            if edge:
                unsaturated[v.id] = (v, edge, moves.get(v.id, 0))
            else:
                del unsaturated[v.id]
        for id, chosen in given.items():
            for t in chosen:
                t.chosen = False
                self._send(t, self.backends[id])
        # It holds itself; each search would wait for the collector, which then stops a gateway noticeably.
        del path

    def _send(self, t: Request, s: Backend) -> None:
        v = t.volume
        cold = self._cold_left(s)
        if t.units > cold or t.attempts and not self._within_budget():
            self.look_at = min(self.look_at, self.now + LOOK_AGAIN)
            return
        if cold < float("inf"):
            s.lent -= t.units
            if not self.lends:
                self.lent.setdefault(s.shard, []).append((self.now, t.units))
        if t.attempts == 0:
            if v.plan.rate_limit:
                v.limit_store -= t.units
            if t.shard in v.paces:
                v.paces[t.shard] = (v.paces[t.shard][0] - t.units, v.paces[t.shard][1])
            v.total += t.units
        elif self.facts.retry_budget:
            self.further.append(self.now)
        t.out, v.out = t.out + 1, v.out + 1
        self._unhold(t)
        s.out[(t.id, t.attempts)] = self.now
        t.attempts += 1
        self.host.send_attempt(t.id, s.id, 0.0)

    def _hold(self, t: Request) -> None:
        v = t.volume
        if v.id not in self.busy:
            # DUaL: a waking volume starts at the busy minimum.
            if self.busy:
                self.floor = min(b.total / b.plan.weight for b in self.busy.values())
            v.total = max(v.total, self.floor * v.plan.weight)
            self.busy[v.id] = v
        t.waiting = True
        self.stirred[v.id] = v
        insort(v.lanes.setdefault(t.shard, []), t, key=_turn)
        self.wanted[t.shard] = self.wanted.get(t.shard, 0) + 1

    def _unhold(self, t: Request) -> None:
        if not t.waiting:
            return
        t.waiting, v, lane = False, t.volume, t.volume.lanes[t.shard]
        lane.remove(t)
        self.wanted[t.shard] -= 1
        if not lane:
            del v.lanes[t.shard]
        if not v.lanes and not v.out:
            self.busy.pop(v.id, None)

    def _ranking(self, v: Volume) -> list[Backend]:
        return self.shards.ranking.of(v.id.partition("/")[2])

    def _has_enough(self, s: Backend, chosen: int) -> bool:
        """A new object passes over a backend whose slots its pinned requests want, or that fails."""
        return len(s.out) + max(self.wanted.get(s.shard, 0), chosen) >= max(1, int(s.bound)) or s.errors > 0.2

    def _age(self) -> None:
        """Leads and lags fade over about a second, over which worth is counted; forgets idle volumes."""
        if self.busy:
            self.floor = min(v.total / v.plan.weight for v in self.busy.values())
        for id, v in list(self.volumes.items()):
            lead = v.total / v.plan.weight - self.floor
            v.total = (self.floor + lead * 0.5 ** (self.now - self.aged)) * v.plan.weight
            if id not in self.busy and self.now - v.filled > 60.0:
                self._refill(v)
                if v.limit_store >= v.plan.burst / v.heads:
                    del self.volumes[id]
                    self.shards.ranking.forget(id.partition("/")[2])
        self.aged = self.now
        self.lent = {n: log for n, log in self.lent.items() if log[-1][0] > self.now - self.lent_kept}

    # ---- (1) a backend's bound and health

    def _free_slots(self, s: Backend) -> int:
        waits = not self.lends and self._cold_left(s) < 1.0
        rests = max(s.first_send, s.rest_until, self.now + LOOK_AGAIN if waits else 0.0)
        if self.now < rests:
            self.look_at = min(self.look_at, rests)
            return 0
        if self._silent(s) or s.misses:
            # One lost answer would keep a backend of little traffic idle; each one more waits twice as long.
            last = next(reversed(s.out.values()), -float("inf"))
            pause = max(self.quickest, SILENT_PAUSE * s.time)
            due = last + pause * 2.0 ** min(len(s.out) + s.misses - 1, 6)
            if self.now < due:
                self.look_at = min(self.look_at, due)
            return 1 if self.now >= due else 0
        if s.out and not self._comes_in_time(s):
            return int(self.kept_slots) - len(s.out)
        return max(1, int(s.bound)) - len(s.out)

    def _comes_in_time(self, s: Backend) -> bool:
        """Guards against slots at a backend of which no answer has told yet, or told of long ago, that it has
        a line: the first attempt that is out there waits in it already, and a further one would behind it."""
        first = self._oldest(s)
        by = first + WAIT_PART * self.quickest + (2.0 * s.unit_time if s.unit_time < float("inf") else 0.0)
        if self.now > by:
            # Nothing may come that asks again; from then on it counts as silent.
            self.look_at = min(self.look_at, max(first, s.answered_at) + self.quickest + LOOK_AGAIN)
        return self.now <= by

    def _silent(self, s: Backend) -> bool:
        """Guards against a hung backend holding slots: one attempt at a time until it answers. One that goes
        on answering is not silent; an attempt passed over by the answer to a later one is late by itself."""
        if (overdue := self._is_overdue(s)) and self._oldest(s) >= s.cut_at:
            self._cut(s, self.first_rate, 0.5)
        return overdue

    def _oldest(self, s: Backend) -> float:
        return next((at for at in s.out.values() if at >= s.answered_of), self.now)

    def _is_overdue(self, s: Backend) -> bool:
        return self.now - max(self._oldest(s), s.answered_at) > self.quickest

    def _judge(self, s: Backend, how: AttemptOutcome, elapsed: float, t: Request, sent: float) -> None:
        if not s.ready and how.never_ran:
            # It takes nothing new already, or is gone: no sign of overload.
            s.last_send = self.shards.next_drain_end = 0.0
        if how in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT) or not s.ready and how.never_ran:
            return  # says nothing of the backend's health
        if how in (AttemptOutcome.SUCCEEDED, AttemptOutcome.ERROR, AttemptOutcome.REJECTED):
            s.answered_at, s.answered_of = self.now, max(s.answered_of, sent)
        elif how in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_LOST) and s.answered_of > sent:
            # Guards against taking one lost answer or broken connection for the backend's own state: it has
            # answered what was sent later. Hurts where a backend hangs while some of its answers still come.
            return
        s.errors += 0.1 * ((how is AttemptOutcome.ERROR) - s.errors)
        if how in (AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST):
            s.misses += 1
            # A connection may break alone, several in turn; a dead backend takes no new one.
            if s.misses > (1 if how is AttemptOutcome.UNREACHABLE else BREAKS_MOST):
                s.rest_until = self.now + min(2.0, 0.1 * 2.0 ** min(s.misses, 9))
            return
        s.misses = s.misses + 1 if how is AttemptOutcome.TIMED_OUT else 0
        wait, part = 0.0, 1.0  # part: of what was sent, how much the backend could take in good time
        if how is AttemptOutcome.REJECTED:
            part = 0.5
            self.overload_until = self.now + 1.0
        elif how in (AttemptOutcome.SUCCEEDED, AttemptOutcome.TIMED_OUT):
            if how is AttemptOutcome.SUCCEEDED:
                s.time += (0.3 if s.time else 1.0) * (elapsed - s.time)
                seen = s.times.get(t.profile, elapsed)
                s.times[t.profile] = seen + 0.3 * (elapsed - seen)
                s.unit_time = min(1.02 * s.unit_time, elapsed / max(t.units, 1.0))
            wait = elapsed - 2.0 * s.unit_time * t.units if s.unit_time < float("inf") else elapsed
            part = WAIT_PART * self.quickest / max(wait, 0.001)
        in_line = how is AttemptOutcome.SUCCEEDED and wait > LINE_PART * self.quickest
        if in_line:
            # Guards against many gateways' slots adding up: more of this gateway's would only wait in the
            # line, where no gateway can put what is dearer first. Hurts where work of one size differs much.
            s.bound = min(s.bound, self.kept_slots)
        if part < 1.0:
            # Answers to what was sent before the last cut say nothing of the cut.
            if self.now - elapsed >= s.cut_at:
                late = elapsed > t.profile.latency_objective  # else it may have met a short stop only
                self._cut(s, self.first_rate * (1.0 if late else 2.0), max(0.2 if late else 0.5, part))
        elif how is AttemptOutcome.SUCCEEDED:
            s.rate = min(FREE_RATE, s.rate * 2.0 ** min(1.0, self.now - s.grown_at))
            if not in_line and len(s.out) + 1 >= int(s.bound):
                s.bound = min(HIGHEST_BOUND, s.bound + 0.5 / s.bound)
        s.grown_at = self.now

    def _cut(self, s: Backend, most: float, part: float) -> None:
        s.cut_at = s.grown_at = self.now
        s.rate = max(LOWEST_RATE, min(s.rate, most) * part)
        s.bound = max(1.0, s.bound * part)

    def _in_pace(self, t: Request, s: Backend, chosen: float) -> bool:
        """Many gateways crowd a backend though none has more than one attempt there: below one slot a gateway
        the bound is a rate, the same for a unit of weight at every gateway, so volumes are held alike
        whichever and however many gateways they come through, and what all gateways send adds up."""
        v = t.volume
        fill = (v.plan.reservation * min(1.0, s.rate) + v.plan.weight * self.usual * s.rate) / v.heads
        if fill <= 0.0:
            return True
        most = 1.5 * self.facts.largest_request_units + fill
        level, at = v.paces.get(t.shard, (most, self.now))
        level = min(most, level + fill * (self.now - at))
        v.paces[t.shard] = (level, self.now)
        # Where a volume is held, its low values leave a part of the store to its high ones.
        keep = (most - fill) * (1.0 - t.profile.priority_weight / self.dearest)
        short = min(most, t.units + keep) + chosen - level
        if short > 0.0 and self.now + short / fill < t.promised_by:
            self.look_at = min(self.look_at, self.now + max(LOOK_AGAIN, short / fill))
        return short <= 0.0

    # ---- (2) the cold ramp

    def _cold_left(self, s: Backend) -> float:
        """Of what a cold backend always bears: the units lent to this gateway, or the rest of its even
        part."""
        rule, age = self.facts.slow_start, self.now - s.since
        if s.since <= 0 or age >= rule.warm_after:
            return float("inf")
        if self.lends:
            return s.lent if self.now < s.lent_until else 0.0
        if s.since <= self.born and self.now - self.born < rule.window:
            return 0.0  # an earlier life of this gateway may have spent the part
        # By shard: a list that began anew may leave out a backend for a moment, which is as cold as before.
        spent = sum(units for at, units in self.lent.get(s.shard, ()) if at > self.now - rule.window)
        return rule.units_allowed(age) / self.facts.gateways - spent

    def _home(self, shard: int) -> int:
        """The gateway that lends what the shard's backend bears while it is cold, the same one at every
        gateway."""
        return int.from_bytes(blake2b(f"{shard}".encode(), digest_size=8).digest()) % self.facts.gateways

    def _lend(self, shard: int, units: float, age: float) -> bool:
        """A lent part may be sent until lent_for after its asking, which was before now, then counts for the
        span. Guards rule 4 through a restart too: an earlier life may just have lent it all."""
        log = [entry for entry in self.lent.get(shard, ()) if entry[0] > self.now - self.lent_kept]
        # No word of another makes a backend older than this gateway's own list has it.
        own = self.now - s.since if (s := self.held_by.get(shard)) and s.since > 0.0 else 0.0
        borne = self.facts.slow_start.units_allowed(
            min(age, own) if own < self.facts.slow_start.warm_after else 0.0
        )
        lends = (
            0.0 <= age < self.facts.slow_start.warm_after
            and 0.0 < units <= self.facts.largest_request_units
            and self.now - self.born >= self.lent_kept
            and units + sum(n for _, n in log) <= borne
        )
        if lends:
            self.lent[shard] = [*log, (self.now, units)]
        return lends

    def _borrow(self, s: Backend) -> None:
        s.lent, s.lent_until, s.asked, self.changed = s.asked_units, s.asked_at + self.lent_for, "", True

    def _bears(self, t: Request, s: Backend) -> bool:
        """Whether the cold ramp lets it go; if not, asks the backend's home, once at a time."""
        if not self.lends or t.units <= self._cold_left(s):
            return True
        if not s.asked or self.now >= s.asked_at + self.lent_for:
            self.order += 1  # no asking before has the same number, also of an earlier life
            s.asked, s.asked_at, s.asked_units = f"{self.now}/{self.order}", self.now, t.units
            age, home = self.now - s.since, self._home(s.shard)
            if home != self.facts.gateway_index:
                self.host.send_peer_message(home, f"ask {s.shard} {s.asked} {t.units:g} {age:.3f}")
            elif self._lend(s.shard, t.units, age):
                self._borrow(s)
                return True
        self.look_at = min(self.look_at, s.asked_at + self.lent_for)
        return False

    # ---- (3) the limit store

    def _limit_left(self, v: Volume) -> float:
        if not v.plan.rate_limit:
            v.filled = self.now
            return float("inf")
        self._refill(v)
        if v.limit_store < self.facts.largest_request_units:
            self.look_at = min(self.look_at, self.now + LOOK_AGAIN)
        return v.limit_store

    def _refill(self, v: Volume) -> None:
        filled = v.limit_store + (self.now - v.filled) * v.plan.rate_limit / v.heads
        v.limit_store, v.filled = min(v.plan.burst / v.heads, filled), self.now

    # ---- (4) shedding

    def _look_at(self, t: Request) -> None:
        """A waiting request past its latency target gives way where others still can keep theirs."""
        if t.over or t.out or self.requests.get(t.id) is not t:
            return
        last = t.deadline - (expected := self._expected(t))
        if self.now < min(last, t.promised_by - expected):
            self._note(min(last, t.promised_by - expected), t)
            return
        s = self.held_by.get(t.shard)
        # Guards against a cut of long ago: what comes alone would show that the backend is well again.
        old = s is not None and self.now < t.promised_by and self.now > s.grown_at + KNOWN
        crowded = self.wanted.get(t.shard, 0) > 1 or (s is not None and s.rate < 2.0 and not old)
        if self.now >= last or (t.waiting and crowded):
            self._unhold(t)
            self._end(t)
            return self._close(t)
        if t.waiting and not t.late:
            self._unhold(t)
            t.late = True
            self._hold(t)
        self._note(min(last, self.now + 0.5 * self.quickest), t)

    def _expected(self, t: Request) -> float:
        """How long the backend would take over it, as seen of late."""
        s = self._ranking(t.volume)[0] if t.shard == NEW and self.held_by else self.held_by.get(t.shard)
        return 0.5 * s.times.get(t.profile, s.time) if s else 0.0

    def _end(self, t: Request) -> None:
        t.over = True
        harmless = (
            t.ran_at is None or t.profile.repeats_dropped_everywhere and self._is_repeatable(t, self.now)
        )
        if harmless and t.out == 0 and self.now < t.deadline:
            s = self.held_by.get(t.shard)
            self.host.reject(t.id, min(self.facts.max_retry_after, s.time if s else self.quickest))
        else:
            self.host.fail(t.id)

    # ---- (5) retries

    def _may_go_again(self, t: Request) -> bool:
        if t.out or t.attempts >= min(self.facts.max_attempts, ATTEMPTS_MOST) or self.now >= t.deadline:
            return False
        if self.now < self.overload_until or not self._within_budget():
            return False
        return t.ran_at is None or self._is_repeatable(t, self.now)

    def _is_repeatable(self, t: Request, now: float) -> bool:
        """Whether one more run of what may have run changes nothing, as far as its profile goes."""
        if t.profile.idempotent or t.ran_at is None:
            return True
        return t.profile.keyed and now < t.ran_at + t.profile.idempotency_window

    def _within_budget(self) -> bool:
        if not (budget := self.facts.retry_budget):
            return True
        for log in (self.taken, self.further):
            while log and log[0] <= self.now - budget.window:
                log.popleft()
        return len(self.further) + 1 <= budget.free + budget.ratio * len(self.taken)

    def _may_go_to(self, t: Request, s: Backend) -> bool:
        """A keyed request that may have run stays where its repeat would be known."""
        if t.ran_on is None or t.profile.idempotent:
            return True
        return self._is_repeatable(t, self.now) and t.profile.idempotency_scope.spans(s, t.ran_on)

    # ---- (6) key turns

    def _close(self, t: Request) -> None:
        if not t.over or t.out:
            return
        self.requests.pop(t.id, None)
        if t.key is not None and t.key in self.lines:
            if t in self.lines[t.key]:
                self.lines[t.key].remove(t)
            self._next_in_line(t.key)

    def _next_in_line(self, key: str) -> None:
        line, rest = self.lines.get(key), self.key_rests.get(key, 0.0)
        if rest > self.now:
            self._note(rest, key)
            return
        self.key_rests.pop(key, None)
        if not line:
            self.lines.pop(key, None)
        elif not line[0].waiting and not line[0].out and not line[0].over:
            self._hold(line[0])

    # ---- small helpers

    def _note(self, at: float, item: "Request | str") -> None:
        self.order += 1
        heapq.heappush(self.agenda, (at, self.order, item))
