"""Hands what happens to the scheduler, a batch a turn of the loop, and carries out its acts.

One final answer a command is kept here mechanically: a request that was answered, or whose client left,
takes no further act. A time-out at the deadline is the wire's; what follows from it is the policy's.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gorsethread.gateway.carrying import (
    NOTHING,
    UNPLACED,
    Accounts,
    Attempt,
    Client,
    Keeper,
    Place,
    Placement,
    Taken,
    Told,
)
from gorsethread.gateway.held_reasons import why_held
from gorsethread.scheduling.model import (
    AttemptEnded,
    AttemptOutcome,
    HoldReason,
    RequestOutcome,
    RequestTaken,
    SchedulerSettings,
)
from gorsethread.scheduling.scheduler import Scheduler
from gorsethread.transport.base import Timer, Transport

NEVER = float("inf")
PASSED_OVER = 0.1  # seconds ahead that answered requests are cleared from the deadlines in one go


@dataclass(slots=True, eq=False)
class Open:
    """A request from its taking until it is answered and its attempts are in. place: what a first write
    of it may part; None where the wire names the shard of all that has one."""

    id: int
    client: Client
    payload: Any
    place: Place | None
    shard: int
    deadline: float
    attempts: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)
    answered: bool = False
    untold: Taken | None = None  # what the accounts have not heard of it yet


class Driver:
    """The host of one scheduler. All times are the transport's."""

    def __init__(
        self,
        transport: Transport,
        facts: SchedulerSettings,
        seed: int,
        placement: Placement,
        follow_list: Callable[[], None],
        log: Any,
    ) -> None:
        self.transport, self.placement, self.log = transport, placement, log
        self._follow_list = follow_list
        self._now = transport.now()
        self._batch: list[tuple[str, tuple[Any, ...]]] = []
        self._due = False
        self.open: dict[int, Open] = {}  # emptied as requests end
        # A Link each, of the kind that the front's own wire has; emptied as backends leave the list and their
        # attempts are in.
        self.links: dict[int, Any] = {}
        self.shards: dict[int, int] = {}  # of every backend in links
        # First writes out of extents being placed: how many, and if one may have run; emptied as they end.
        self._placing: dict[Place, tuple[int, bool]] = {}
        self.counts: Counter[str] = Counter()
        self._last_id = 0
        # One timer for the soonest deadline, as one each costs several times as much. Each entry goes as its
        # time passes, so there are no more than were taken within the longest deadline.
        self._deadlines: list[tuple[float, int]] = []
        self._deadline_timer: Timer | None = None
        self._deadline_at = NEVER
        self.scheduler = Scheduler(self, facts, seed)
        # Carries messages to other gateways, where a front has a way to them.
        self.teller: Callable[[int, str], None] | None = None
        self.recorder: Callable[[tuple[Any, ...]], None] | None = None  # sees events and acts, for replays
        self.accounts: Accounts | None = None
        self.keeper: Keeper | None = None  # where what is placed is to last
        self.unkept: dict[Attempt, None] = {}  # first writes that wait for that; emptied as it is told
        self._fresh: list[Open] = []  # taken since the last batch, which empties it
        # The first batch is empty: the scheduler asks for the list in it.
        self._due = True
        transport.soon(self._work)

    # ---- what happens

    def happened(self, method: str, *facts: Any) -> None:
        """Queues one call on the scheduler; all of a turn are worked on together."""
        self._batch.append((method, facts))
        if not self._due:
            self._due = True
            self.transport.soon(self._work)

    def take(
        self,
        client: Client,
        payload: Any,
        *,
        profile: int,
        plan: int,
        key: str | None,
        deadline: float,
        volume: int | str,
        units: float,
        shard: int,
        heads: int,
        repeat: bool,
        arrived: float,
        place: Place | None = None,
        awaited: bool = False,
    ) -> Open:
        self._last_id = (self._last_id + 1) % 2**32
        while self._last_id in self.open:
            self._last_id = (self._last_id + 1) % 2**32
        t = Open(self._last_id, client, payload, place, shard, deadline)
        self.open[t.id] = t
        heapq.heappush(self._deadlines, (deadline, t.id))
        if deadline < self._deadline_at:
            self._await_deadline(deadline)
        self.counts["taken"] += 1
        if self.accounts is not None:
            # What came whole in its capsule was taken as it arrived.
            when = self.transport.now() if awaited else arrived
            t.untold = (volume, profile, int(units), shard, key is not None, arrived, when)
            self._fresh.append(t)
        taken = RequestTaken(t.id, profile, plan, key, deadline, str(volume), units, shard, heads, repeat)
        self.happened("request_taken", taken)
        return t

    def client_left(self, t: Open) -> None:
        """Its client no longer awaits an answer."""
        if t.answered:
            return
        t.answered = True
        self._account(t, RequestOutcome.CLIENT_LEFT)
        self.counts["left"] += 1
        for f in list(t.out.values()):
            if link := self.links.get(f.backend):
                link.cancel(f)
        self.happened("client_left", t.id)
        self._close(t)

    def ends_by(self, when: float) -> None:
        """The program ends then: each open request is answered before, however long its client would wait."""
        for t in self.open.values():
            if t.deadline > when:
                t.deadline = when
                heapq.heappush(self._deadlines, (when, t.id))
        if self.open and when < self._deadline_at:
            self._await_deadline(when)
        self.happened("shutting_down_by", when)

    def listed(self, entries: list[tuple[int, int, int, bool, float]], whole: bool, remembered: bool) -> None:
        """(backend, zone, shard, ready, since) of each entry; since in this gateway's time, 0: long ago."""
        self.happened("endpoint_list_begins", whole, remembered)
        for entry in entries:
            self.happened("endpoint_listed", *entry)
        self.happened("endpoint_list_ended")

    def list_refused(self, waited: float = 0.0) -> None:
        """waited: seconds that the call took until it failed."""
        self.happened("endpoint_poll_failed", waited)

    def peer_told(self, origin: int, words: str) -> None:
        self.happened("peer_message_received", origin, words)

    def _work(self) -> None:
        self._due = False
        self._now = self.transport.now()
        batch, self._batch = self._batch, []
        for method, facts in batch:
            if self.recorder:
                self.recorder(("event", self._now, method, *facts))
            getattr(self.scheduler, method)(*facts)
        if self.recorder:
            self.recorder(("batch", self._now))
        self.scheduler.batch_ended()
        if self.accounts is not None:
            for t in self._fresh:
                if t.untold is not None:
                    self.accounts.begun(t.id, t.untold)
                    t.untold = None
            if unsent := self.accounts.unsent():
                self._account_held(self.accounts, unsent)
        if self._fresh:
            self._fresh = []

    def _await_deadline(self, when: float) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._deadline_at = when
        self._deadline_timer = self.transport.at(when, self._deadlines_passed)

    def _deadlines_passed(self) -> None:
        now, due = self.transport.now(), self._deadlines
        self._deadline_timer, self._deadline_at = None, NEVER
        while due:
            when, id = due[0]
            t = self.open.get(id)
            # An id may have come to another request since.
            if t is not None and t.deadline == when:
                if when > now:
                    self._await_deadline(when)
                    return
                self._time_is_up(t)
            elif when > now + PASSED_OVER:
                self._await_deadline(now + PASSED_OVER)
                return
            heapq.heappop(due)

    def _time_is_up(self, t: Open) -> None:
        for f in list(t.out.values()):
            self._time_out(f)

    def _account(self, t: Open, outcome: RequestOutcome) -> None:
        if self.accounts is not None:
            if t.untold is not None:
                self.accounts.begun(t.id, t.untold)
                t.untold = None
            self.accounts.answered(t.id, outcome, self.transport.now())

    def _account_held(self, accounts: Accounts, unsent: list[int]) -> None:
        """Of what the last search left unsent, the scheduler says why; what it has not seen it holds not."""
        now = self.transport.now()
        for id in unsent:
            why, backend = why_held(self.scheduler, id)
            if why is not HoldReason.NOT:
                accounts.held(id, why, backend, now)

    def _ended(self, f: Attempt, how: AttemptOutcome, told: Told) -> None:
        t = self.open.get(f.request)
        if t is None:
            return
        now = self.transport.now()
        succeeded = how is AttemptOutcome.SUCCEEDED and not t.answered
        if self.accounts is not None:
            self.accounts.ended(
                t.id, f.number, how, told.service, now, RequestOutcome.SUCCEEDED if succeeded else None
            )
        t.out.pop(f.number, None)
        self.counts["forwards honoured" if how is AttemptOutcome.SUCCEEDED else f"forwards {how.value}"] += 1
        if f.first_write:
            self._placing_ended(t, how)
        if succeeded:
            # Not held back until the batch: the answer goes to the client at once.
            t.answered = True
            self.counts["honoured"] += 1
            t.client.succeeded(self.shards.get(f.backend, UNPLACED), told.data)
        end = AttemptEnded(
            t.id, f.number, how, f.backend, now - f.sent_at, t.answered, told.elsewhere, told.usage
        )
        self.happened("attempt_ended", end)
        self._close(t)

    def _close(self, t: Open) -> None:
        if t.answered and not t.out:
            self.open.pop(t.id, None)

    # ---- the policy's acts (gorsethread/scheduling/actions.py)

    def clock(self) -> float:
        return self._now

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        if self.recorder:
            self.recorder(("act", "send_attempt", request, backend, wait))
        t = self.open.get(request)
        if t is None:
            return
        f = Attempt(t.id, t.attempts, backend, self._now, t.payload, self._ended)
        t.attempts += 1
        t.out[f.number] = f
        link = self.links.get(backend)
        if (
            t.answered
            or self._now >= t.deadline
            or link is None
            or not (t.shard == self.shards[backend] if t.shard != UNPLACED else self._holds(t, f))
        ):
            f.over = True
            self._ended(f, AttemptOutcome.NOT_SENT, NOTHING)
            return
        self.counts["forwards"] += 1
        if wait > 0 and self._now + wait < t.deadline:
            self.transport.at(self._now + wait, lambda: self._time_out(f))
        if self.accounts is not None:
            self.accounts.sent(t.id, f.number, backend, self.transport.now(), t.untold)
            t.untold = None
        if f.first_write and self.keeper is not None and t.place is not None:
            self.unkept[f] = None
            self.keeper.placed(t.place, self.shards[backend], lambda kept: self._kept(f, kept))
        else:
            link.send(f)

    def _kept(self, f: Attempt, kept: bool) -> None:
        """Where this extent belongs lasts, or can't be made to: then nothing has gone to a backend."""
        self.unkept.pop(f, None)
        if f.over:
            return
        t, link, s = (
            self.open.get(f.request),
            self.links.get(f.backend),
            self.scheduler.shards.backends.get(f.backend),
        )
        # While it waited its client may have left, or the backend begun to drain.
        if kept and link is not None and t is not None and not t.answered and s is not None and s.ready:
            link.send(f)
        else:
            f.over = True
            self._ended(f, AttemptOutcome.NOT_SENT, NOTHING)

    def _holds(self, t: Open, f: Attempt) -> bool:
        """Two first writes of one extent must not part it: the second goes where the first went."""
        if t.place is None:
            return True
        shard = self.shards[f.backend]
        owner = self.placement.shard_of(*t.place)
        if owner == UNPLACED:
            self.placement.placed(*t.place, shard)
            self._placing[t.place] = (0, False)
        elif owner != shard:
            return False
        if (placing := self._placing.get(t.place)) is not None:
            f.first_write = True
            self._placing[t.place] = (placing[0] + 1, placing[1])
        return True

    def _placing_ended(self, t: Open, how: AttemptOutcome) -> None:
        """An extent stays where a first write of it may have run; it is free again once none has."""
        assert t.place is not None
        out, ran = self._placing[t.place]
        out, ran = out - 1, ran or not how.never_ran
        if out:
            self._placing[t.place] = (out, ran)
            return
        del self._placing[t.place]
        if not ran:
            self.placement.released(*t.place)
            if self.keeper is not None:
                self.keeper.freed(t.place)

    def _time_out(self, f: Attempt) -> None:
        if not f.over:
            f.over = True
            if link := self.links.get(f.backend):
                link.cancel(f)
            self._ended(f, AttemptOutcome.TIMED_OUT, NOTHING)

    def cancel_attempt(self, request: int, number: int) -> None:
        if self.recorder:
            self.recorder(("act", "cancel_attempt", request, number))
        t = self.open.get(request)
        if t and (f := t.out.get(number)) and not f.over:
            f.over = True
            if link := self.links.get(f.backend):
                link.cancel(f)
            self._ended(f, AttemptOutcome.CANCELLED, NOTHING)

    def reject(self, request: int, return_after: float) -> None:
        if self.recorder:
            self.recorder(("act", "reject", request, return_after))
        t = self.open.get(request)
        if t and not t.answered:
            t.answered = True
            self._account(t, RequestOutcome.REJECTED)
            self.counts["pushed back"] += 1
            t.client.rejected(return_after)
            self._close(t)

    def fail(self, request: int) -> None:
        if self.recorder:
            self.recorder(("act", "fail", request))
        t = self.open.get(request)
        if t and not t.answered:
            t.answered = True
            self._account(t, RequestOutcome.FAILED)
            self.counts["given up"] += 1
            t.client.failed()
            self._close(t)

    def set_timer(self, delay: float, name: str) -> None:
        if self.recorder:
            self.recorder(("act", "set_timer", delay, name))
        self.transport.at(self._now + delay, lambda: self.happened("timer_fired", name))

    def send_peer_message(self, head: int, words: str) -> None:
        if self.recorder:
            self.recorder(("act", "send_peer_message", head, words))
        self.counts["told"] += 1
        if self.teller is not None:
            self.teller(head, words)

    def poll_endpoints(self) -> None:
        if self.recorder:
            self.recorder(("act", "poll_endpoints"))
        self._follow_list()
