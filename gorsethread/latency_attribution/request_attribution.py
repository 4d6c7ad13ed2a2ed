"""The pure core of the accounts: a head's events in, windows out. No I/O and no clock of its own.

Every moment of a transaction's life is given to one stage as it passes, by whole microseconds between the
events' own times, so the stages sum to the life; where they do not, the window counts it as a defect.

Held transactions are kept in lanes, one for each volume and shard (each transaction of an in-order profile
has its own): a lane's cause and the holders of what it waits for are read when the first joins it and again
at every look, and stand for the time until the next. So blame for being held is as exact as LOOK_EVERY is
short.
"""

from gorsethread.latency_attribution.batch_counting import ORDINARY, count
from gorsethread.latency_attribution.stages import HEAD, LIST, SHELF, STAGE_OF, STAGES, UNKNOWN, Stage
from gorsethread.latency_attribution.window import ShelfRow, Window, shares
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome

LOOK_EVERY = 0.02  # seconds between looks at what holds the lanes
LOOKS_MOST = 128  # lanes a look; further ones keep what was last seen until their turn
# A shelf that holds forwards and answers nothing is called stalled after this long (seconds), and beside it
# so many times what it usually works on the units out there. Short of it a queue of others' may be all.
STALL_LEAST = 0.1
STALL_TIMES = 2
SAME_SILENCE = 1.0  # seconds; after a last forward without an answer, one within this meets the same silence
SHORT = 20_000  # microseconds; a shorter wait at a shelf has one holder, drawn from those ahead in turn
RECENT = 64  # a shelf's last forwards, of which a later one finds who was ahead of it
TOGETHER = 4096
LOST_TO_SHELF = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.ERROR,
)
HELD_STAGES = sorted({int(stage) for stage in STAGE_OF.values()})
TO_HEAD = (Stage.RATE, Stage.LIMIT, Stage.BUDGET)
TO_SHELF = (Stage.COLD, Stage.REST, Stage.SILENT)
SHORT_SECONDS = SHORT / 1e6
LOOSE, HOLD, OUT, DONE = range(4)

_pack = ORDINARY.pack_into
Where = tuple[int, int, int]  # volume, shard, and the transaction itself where its key makes it wait alone


def _us(seconds: float) -> int:
    return int(seconds * 1e6)


class _Shelf:
    """What the head sees of a shelf's queue: the units each volume has there; emptied as forwards end.
    Moments are seconds, lengths microseconds."""

    __slots__ = (
        "number",
        "out",
        "forwards",
        "busy_since",
        "idle_since",
        "answered_at",
        "stall",
        "least_way",
        "usual",
        "pending",
        "lanes",
        "backlog_until",
        "honoured",
        "sent",
        "turn",
    )

    def __init__(self, number: int) -> None:
        self.number = number
        self.out: dict[int, int] = {}
        self.forwards = 0
        self.busy_since = self.idle_since = self.answered_at = 0.0
        self.stall = (0.0, 0.0)  # the last one
        self.least_way = -1
        self.usual = 0  # microseconds of work a unit
        # Blame for its slots since it last answered, by waiter and holder: whose it was shows in how long the
        # shelf takes to answer again. Emptied by each answer and with the window.
        self.pending: dict[tuple[int, int], int] = {}
        self.lanes = 0  # that wait for it
        # What piled up in a stall waits on behind its own kind, for the stall's sake: so blame stays with the
        # shelf until no lane waits, though no longer than the stall lasted, lest a flood hides behind it.
        self.backlog_until = 0.0
        self.honoured = 0  # ordinary ones; begins anew with the window
        self.sent = [(0, 0)] * RECENT  # volume and units of the last forwards, round and round
        self.turn = 0

    def quiet_from(self, now: float) -> float:
        """Since when it has answered nothing though it holds forwards; now where that is not long."""
        if not self.forwards:
            return now
        since = self.answered_at if self.answered_at > self.busy_since else self.busy_since
        if now - since <= STALL_LEAST:
            return now
        usual = self.usual * sum(self.out.values()) / 1e6
        return since if now - since > STALL_LEAST + STALL_TIMES * usual else now

    def takes(self, volume: int, units: int, now: float) -> int:
        """A forward goes there; its turn among all."""
        if not self.forwards and (
            self.answered_at >= self.busy_since or now - self.idle_since > SAME_SILENCE
        ):
            self.busy_since = now
        self.forwards += 1
        turn = self.turn = self.turn + 1
        self.sent[turn % RECENT] = (volume, units)
        self.out[volume] = self.out.get(volume, 0) + units
        return turn

    def behind(self, turn: int, out: int) -> int:
        """Of the out forwards that went before this turn, the volume of one: another at each turn, so that
        over many each volume comes up as often as it is there."""
        if not out:
            return UNKNOWN
        return self.sent[(turn - 1 - turn * 7 % (out if out < RECENT else RECENT)) % RECENT][0]

    def ahead(self, turn: int, out: int) -> dict[int, int]:
        """Units by volume of the out forwards before this turn, or of the last that are known."""
        units: dict[int, int] = {}
        for n in range(turn - min(out, RECENT - 1), turn):
            volume, its = self.sent[n % RECENT]
            units[volume] = units.get(volume, 0) + its
        return units

    def gives_back(self, volume: int, units: int, now: float) -> None:
        self.forwards -= 1
        if not self.forwards:
            self.idle_since = now
        if left := self.out[volume] - units:
            self.out[volume] = left
        else:
            del self.out[volume]

    def saw_work(self, a_unit: int) -> None:
        """a_unit: microseconds of work a unit, of late."""
        self.usual += (a_unit - self.usual) // 8 if self.usual else a_unit


class _Flight:
    __slots__ = ("shelf", "sent", "turn", "out")

    def __init__(self, shelf: _Shelf, sent: float, turn: int, out: int) -> None:
        self.shelf, self.sent, self.turn, self.out = shelf, sent, turn, out

    def ahead(self) -> dict[int, int]:
        return self.shelf.ahead(self.turn, self.out)


class _Lane:
    """Transactions held together. run: microseconds by stage since the lane began."""

    __slots__ = ("where", "stage", "shelf", "holders", "since", "members", "run")

    def __init__(self, where: Where, now: int) -> None:
        self.where, self.since = where, now
        self.stage, self.shelf = Stage.HELD_UNKNOWN, -1
        self.holders: dict[int, int] = {}
        self.members: dict[int, None] = {}
        self.run = [0] * STAGES


class _Life:
    __slots__ = (
        "volume",
        "profile",
        "units",
        "where",
        "arrived",
        "since",
        "state",
        "stages",
        "flights",
        "lane",
        "mark",
    )

    def __init__(self, volume: int, profile: int, units: int, where: Where, arrived: int, now: int) -> None:
        self.volume, self.profile, self.units, self.where = volume, profile, units, where
        self.arrived, self.since = arrived, now
        self.state = LOOSE
        self.stages = [0] * STAGES
        self.flights: dict[int, _Flight] = {}
        self.lane: _Lane | None = None
        self.mark: list[int] = []


# An ordinary life until it shows to be another: volume, profile, units, shard, alone, arrived and taken; once
# sent the same, the shelf, when, its turn there, and how many forwards were out.
Taken = tuple[int, int, int, int, bool, float, float]
_Sent = tuple[Taken, _Shelf, float, int, int]


class Accounts:
    """promised: seconds, by profile. Times of events are seconds on one clock; one that goes back is counted
    as a disorder and taken as the latest seen. together: how many ordinary lives are counted at once; 0: each
    is counted by itself, as any other."""

    def __init__(self, promised: list[float], now: float, together: int = TOGETHER) -> None:
        self.promised = [int(p * 1e6) for p in promised]
        self.window = Window()
        self.lives: dict[int, _Life] = {}  # emptied as transactions are answered with their forwards in
        self._taken: dict[int, Taken] = {}  # these two emptied as lives end or are moved to lives
        self._sent: dict[int, _Sent] = {}
        # Packed, as kept tuples would push all else out of the processor's caches; emptied by counting.
        self._ordinary = bytearray(together * ORDINARY.size)
        self._ordinary_end = 0
        self._together = together
        self.lanes: dict[Where, _Lane] = {}  # emptied as their last member leaves
        self.shelves: dict[int, _Shelf] = {}  # emptied of idle ones as windows end
        self._asked = 0  # the lane after which the next look begins
        self._loose: dict[int, None] = {}  # those of lives that wait for a search; emptied by it and by ends
        self._now = now

    def _at(self, when: float) -> float:
        if when < self._now:
            self.window.disorders += 1
            return self._now
        self._now = when
        return when

    def renewed(self, now: float) -> "Accounts":
        """The same counts with nothing open, for a head that stops telling and begins anew."""
        new = Accounts([], now, self._together)
        new.promised, new.window = self.promised, self.window
        new._ordinary, new._ordinary_end = self._ordinary, self._ordinary_end
        for s in self.shelves.values():
            mine = new._shelf(s.number)
            mine.honoured, mine.least_way, mine.usual = s.honoured, s.least_way, s.usual
        return new

    @property
    def open(self) -> int:
        return len(self._taken) + len(self._sent) + len(self.lives)

    # ---- what happens

    def taken(
        self,
        id: int,
        volume: int,
        profile: int,
        shard: int,
        alone: bool,
        units: int,
        arrived: float,
        when: float,
    ) -> None:
        """alone: its key makes it wait in a line of its own. arrived: when its capsule came."""
        if when < self._now:
            when = self._at(when)
        self._now = when
        self._taken[id] = (volume, profile, units, shard, alone, arrived if arrived < when else when, when)

    def begun(self, id: int, taken: Taken) -> None:
        """Taken, and left unsent by the search that followed: told only now, as most are sent by it."""
        self._taken[id] = taken

    def _life(self, id: int) -> _Life | None:
        """A life that is not, or no longer, an ordinary one."""
        if (life := self.lives.get(id)) is not None:
            return life
        flight = None
        if (sent := self._sent.pop(id, None)) is not None:
            taken, shelf, at, turn, out = sent
            flight = _Flight(shelf, at, turn, out)
        elif (known := self._taken.pop(id, None)) is not None:
            taken = known
        else:
            return None
        volume, profile, units, shard, alone, arrived, when = taken
        began, since = _us(arrived), _us(when)
        where = (volume, shard, id if alone else -1)
        life = self.lives[id] = _Life(volume, profile, units, where, began, since)
        life.stages[Stage.ARRIVING] = since - began
        if flight is not None:
            life.since = _us(flight.sent)
            life.stages[Stage.HEAD] = life.since - since
            life.state, life.flights = OUT, {0: flight}
        return life

    def unsent(self) -> list[int]:
        """What the last search left unsent, and held() does not know of yet."""
        return [*self._taken, *self._loose]

    def held(self, id: int, why: HoldReason, shelf: int, when: float) -> None:
        """A search has passed and it was not sent; or what holds its lane was asked again."""
        life = self._life(id)
        if life is None or life.state not in (LOOSE, HOLD):
            return
        now = _us(self._at(when))
        if life.state == LOOSE:
            self._loose.pop(id, None)
            lane = self.lanes.get(life.where)
            if fresh := lane is None:
                lane = self.lanes[life.where] = _Lane(life.where, now)
            else:
                self._advance(lane, now)
            life.stages[Stage.HEAD] += now - life.since
            life.state, life.lane, life.mark = HOLD, lane, lane.run.copy()
            lane.members[id] = None
            if not fresh:
                return
        lane = life.lane
        assert lane is not None
        self._advance(lane, now)
        if lane.shelf != shelf:
            self._leave_shelf(lane, now)
            if shelf >= 0:
                self._shelf(shelf).lanes += 1
        lane.stage, lane.shelf = STAGE_OF[why], shelf
        lane.holders = self._shelf(shelf).out.copy() if why is HoldReason.SLOTS else {}

    def looks(self) -> list[int]:
        """The first of each lane whose cause should be asked again by held(), a bounded number in turn."""
        lanes = list(self.lanes.values())
        if len(lanes) > LOOKS_MOST:
            at = self._asked % len(lanes)
            self._asked = at + LOOKS_MOST
            lanes = (lanes[at:] + lanes[:at])[:LOOKS_MOST]
        return [next(iter(lane.members)) for lane in lanes]

    def sent(self, id: int, forward: int, shelf: int, when: float, taken: Taken | None = None) -> None:
        """taken: where nothing was told of the transaction yet."""
        s = self.shelves.get(shelf)
        if s is None:
            s = self._shelf(shelf)
        if taken is None and not forward:
            taken = self._taken.pop(id, None)
        if taken is not None:
            if when < self._now:
                when = self._at(when)
            self._now = when
            # As _Shelf.takes(), in place: every transaction passes here.
            volume, out = taken[0], s.forwards
            if not out and (s.answered_at >= s.busy_since or when - s.idle_since > SAME_SILENCE):
                s.busy_since = when
            s.forwards = out + 1
            s.turn = turn = s.turn + 1
            units = taken[2]
            s.sent[turn % RECENT] = (volume, units)
            s.out[volume] = s.out.get(volume, 0) + units
            self._sent[id] = (taken, s, when, turn, out)
            return
        life = self._life(id)
        if life is None or forward in life.flights:
            return
        when = self._at(when)
        if life.state != DONE and not life.flights:
            now = _us(when)
            self._settle(life, id, now)
            self._loose.pop(id, None)
            life.state, life.since = OUT, now
        out = s.forwards
        life.flights[forward] = _Flight(s, when, s.takes(life.volume, life.units, when), out)

    def ended(
        self,
        id: int,
        forward: int,
        how: AttemptOutcome,
        service: float,
        when: float,
        outcome: RequestOutcome | None = None,
    ) -> None:
        """service: seconds in work as the shelf told; 0: it told none. outcome: the answer that this gave."""
        sent = self._sent.pop(id, None) if self._together and not forward else None
        if sent is not None and outcome is RequestOutcome.SUCCEEDED:
            taken, s, at, turn, out = sent
            if when < self._now:
                when = self._at(when)
            self._now = when
            quiet = when - (s.answered_at if s.answered_at > s.busy_since else s.busy_since)
            if when - at - service < SHORT_SECONDS and quiet <= STALL_LEAST and s.stall[1] <= at:
                if s.pending:
                    self._blame_pending(s, when < s.backlog_until)
                s.honoured += 1
                s.answered_at = when
                # As _Shelf.gives_back(), in place.
                volume, profile, units, _, _, arrived, took = taken
                s.forwards -= 1
                if not s.forwards:
                    s.idle_since = when
                if left := s.out[volume] - units:
                    s.out[volume] = left
                else:
                    del s.out[volume]
                behind = UNKNOWN
                if out:
                    behind = s.sent[(turn - 1 - turn * 7 % (out if out < RECENT else RECENT)) % RECENT][0]
                end = self._ordinary_end
                _pack(
                    self._ordinary,
                    end,
                    volume,
                    profile,
                    units,
                    s.number,
                    behind,
                    arrived,
                    took,
                    at,
                    when,
                    service,
                )
                self._ordinary_end = end = end + ORDINARY.size
                if end == len(self._ordinary):
                    self._count_ordinary()
                return
        if sent is not None:
            self._sent[id] = sent
        life = self._life(id)
        if life is None or (flight := life.flights.pop(forward, None)) is None:
            return
        when = self._at(when)
        now = _us(when)
        s = flight.shelf
        quiet = s.quiet_from(when)
        s.gives_back(life.volume, life.units, when)
        row = self.window.shelf(s.number)
        row.endings[how.value] = row.endings.get(how.value, 0) + 1
        if how in (AttemptOutcome.SUCCEEDED, AttemptOutcome.REJECTED, AttemptOutcome.ERROR):
            if quiet < when:
                row.stalled_us += now - _us(quiet)
                s.stall = (quiet, when)
                s.backlog_until = when + when - quiet
            self._blame_pending(s, quiet < when or when < s.backlog_until)
            s.answered_at = when
        if life.state == OUT:
            self._split(life, flight, how, int(service * 1e6), now, row)
            life.since = now
            if not life.flights:
                life.state = LOOSE
                self._loose[id] = None
            if outcome is not None:
                self._finish(life, id, outcome, now)
        elif not life.flights:
            del self.lives[id]

    def answered(self, id: int, outcome: RequestOutcome, when: float) -> None:
        """Its one answer, or its client left."""
        life = self._life(id)
        if life is None or life.state == DONE:
            return
        now = _us(self._at(when))
        self._settle(life, id, now)
        self._finish(life, id, outcome, now)

    def _finish(self, life: _Life, id: int, outcome: RequestOutcome, now: int) -> None:
        life.state = DONE
        self._loose.pop(id, None)
        life_us = now - life.arrived
        late = outcome != RequestOutcome.CLIENT_LEFT and (
            outcome != RequestOutcome.SUCCEEDED or life_us > self.promised[life.profile]
        )
        self.window.life(life.volume, life.profile, life.units, outcome, late, life.stages, life_us)
        if not life.flights:
            del self.lives[id]

    def close_window(self, when: float) -> Window:
        """What was counted since the last; a life belongs to the window in which it was answered."""
        when = self._at(when)
        for lane in self.lanes.values():
            self._advance(lane, _us(when))
        self._count_ordinary()
        for s in self.shelves.values():
            self._blame_pending(s, s.quiet_from(when) < when)
        for s in [s for s in self.shelves.values() if not s.forwards and not s.lanes]:
            del self.shelves[s.number]
        for s in self.shelves.values():
            s.least_way = -1
        self.window.settle()
        closed, self.window = self.window, Window()
        return closed

    def _count_ordinary(self) -> None:
        if not self._ordinary_end:
            return
        ways = {s.number: s.least_way for s in self.shelves.values()}
        works = count(memoryview(self._ordinary)[: self._ordinary_end], self.promised, ways, self.window)
        self._ordinary_end = 0
        for s in self.shelves.values():
            s.least_way = ways[s.number]
            if s.number in works:
                s.saw_work(works[s.number])
            if s.honoured:
                endings = self.window.shelf(s.number).endings
                endings[AttemptOutcome.SUCCEEDED.value] = (
                    endings.get(AttemptOutcome.SUCCEEDED.value, 0) + s.honoured
                )
                s.honoured = 0

    # ---- dividing

    def _shelf(self, number: int) -> _Shelf:
        s = self.shelves.get(number)
        return s if s is not None else self.shelves.setdefault(number, _Shelf(number))

    def _settle(self, life: _Life, id: int, now: int) -> None:
        """Gives the time since its last event to the stage it was in."""
        if life.state == HOLD:
            lane = life.lane
            assert lane is not None
            self._advance(lane, now)
            stages, mark, run = life.stages, life.mark, lane.run
            for stage in HELD_STAGES:
                stages[stage] += run[stage] - mark[stage]
            life.lane = None
            del lane.members[id]
            if not lane.members:
                self._leave_shelf(lane, now)
                del self.lanes[lane.where]
        elif life.state == LOOSE:
            life.stages[Stage.HEAD] += now - life.since
        else:
            life.stages[Stage.UNDIVIDED] += now - life.since
            self.window.blamed(
                life.volume,
                UNKNOWN,
                next(iter(life.flights.values())).shelf.number,
                Stage.UNDIVIDED,
                now - life.since,
            )
        life.since = now

    def _leave_shelf(self, lane: _Lane, now: int) -> None:
        s = self.shelves.get(lane.shelf)
        if s is not None and s.lanes:
            s.lanes -= 1
            if not s.lanes and now < s.backlog_until * 1e6:
                self._blame_pending(s, True)
                s.backlog_until = 0.0

    def _advance(self, lane: _Lane, now: int) -> None:
        passed, lane.since = now - lane.since, now
        if not passed or not lane.members:
            return
        stage, volume = lane.stage, lane.where[0]
        lane.run[stage] += passed
        us = passed * len(lane.members)
        blamed = self.window.blamed
        if stage == Stage.SLOTS:
            s = self._shelf(lane.shelf)
            pending = s.pending
            if passed < SHORT:
                holder = s.behind(s.turn + 1, s.forwards)
                pending[volume, holder] = pending.get((volume, holder), 0) + us
                return
            for holder, part in shares(lane.holders, us):
                pending[volume, holder] = pending.get((volume, holder), 0) + part
        elif stage == Stage.KEY_TURN:
            blamed(volume, volume, lane.shelf, stage, us)
        elif stage in TO_HEAD:
            blamed(volume, HEAD, lane.shelf, stage, us)
        elif stage in TO_SHELF:
            blamed(volume, SHELF, lane.shelf, stage, us)
        else:
            blamed(volume, LIST if stage == Stage.NO_SHELF else UNKNOWN, lane.shelf, stage, us)

    def _blame_pending(self, s: _Shelf, stalled: bool) -> None:
        for (waiter, holder), us in s.pending.items():
            self.window.blamed(waiter, SHELF if stalled else holder, s.number, Stage.SLOTS, us)
        s.pending.clear()

    def _split(
        self, life: _Life, flight: _Flight, how: AttemptOutcome, service: int, now: int, row: ShelfRow
    ) -> None:
        """One forward's time, from the later of its sending and what was already given away."""
        stages, s = life.stages, flight.shelf
        passed = now - life.since
        if how is not AttemptOutcome.SUCCEEDED:
            stages[Stage.LOST_FORWARD] += passed
            if how in LOST_TO_SHELF:
                self.window.blamed(life.volume, SHELF, s.number, Stage.LOST_FORWARD, passed)
            elif how is AttemptOutcome.REJECTED:
                self.window.shared_out(life.volume, flight.ahead(), s.number, Stage.LOST_FORWARD, passed)
            else:
                self.window.blamed(life.volume, HEAD, s.number, Stage.LOST_FORWARD, passed)
            return
        if service <= 0:
            stages[Stage.UNDIVIDED] += passed
            self.window.blamed(life.volume, UNKNOWN, s.number, Stage.UNDIVIDED, passed)
            return
        work = min(service, passed)
        rest = passed - work
        # The way is the least that went on anything but work of late; half of it each way is a guess.
        way = s.least_way = rest if s.least_way < 0 else min(rest, s.least_way)
        wait = rest - way
        stages[Stage.WORK] += work
        stages[Stage.WAY_THERE] += way // 2
        stages[Stage.WAY_BACK] += way - way // 2
        row.worked(life.volume, life.units.bit_length(), 1, life.units, work)
        s.saw_work(work // max(1, life.units))
        if wait:
            stages[Stage.AT_SHELF] += wait
            row.wait_us += wait
            stalled = min(wait, max(0, _us(s.stall[1]) - _us(max(flight.sent, s.stall[0]))))
            if stalled:
                self.window.blamed(life.volume, SHELF, s.number, Stage.AT_SHELF, stalled)
                wait -= stalled
            if 0 < wait < SHORT:
                behind = s.behind(flight.turn, flight.out)
                self.window.blamed(life.volume, behind, s.number, Stage.AT_SHELF, wait)
            elif wait:
                self.window.shared_out(life.volume, flight.ahead(), s.number, Stage.AT_SHELF, wait)
