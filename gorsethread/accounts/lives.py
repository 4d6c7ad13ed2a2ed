"""The pure core of the accounts: a head's events in, windows out. No I/O and no clock of its own.

Every moment of a transaction's life is given to one stage as it passes, by whole microseconds between the
events' own times, so the stages sum to the life; where they do not, the window counts it as a defect.

Held transactions are kept in lanes, one for each volume and shard (each transaction of an in-order profile
has its own): a lane's cause and the holders of what it waits for are read when the first joins it and again
at every look, and stand for the time until the next. So blame for being held is as exact as LOOK_EVERY is
short.
"""

from gorsethread.accounts.stages import HEAD, LIST, SHELF, STAGE_OF, STAGES, UNKNOWN, Outcome, Stage
from gorsethread.accounts.window import ShelfRow, Window, shares
from gorsethread.model import Ending, Held

LOOK_EVERY = 0.02  # seconds between looks at what holds the lanes
LOOKS_MOST = 128  # lanes a look; further ones keep what was last seen until their turn
# A shelf that holds forwards and answers nothing is called stalled after this long (microseconds), and beside
# it so many times what it usually works on the units out there. Short of it a queue of others' may be all.
STALL_LEAST = 100_000
STALL_TIMES = 2
SAME_SILENCE = 1_000_000  # after a last forward without an answer, one within this meets the same silence
LOST_TO_SHELF = (Ending.TIMED_OUT, Ending.UNREACHED, Ending.BROKEN, Ending.ERROR)
TO_HEAD = (Stage.RATE, Stage.LIMIT, Stage.BUDGET)
TO_SHELF = (Stage.COLD, Stage.REST, Stage.SILENT)
LOOSE, HOLD, OUT, DONE = range(4)

Where = tuple[int, int, int]  # volume, shard, and the transaction itself where its key makes it wait alone


class _Shelf:
    """What the head sees of a shelf's queue: the units each volume has there; emptied as forwards end."""

    __slots__ = ("number", "out", "forwards", "busy_since", "idle_since", "answered_at", "stall", "least_way",
                 "usual", "pending", "lanes", "backlog_until")

    def __init__(self, number: int) -> None:
        self.number = number
        self.out: dict[int, int] = {}
        self.forwards = 0
        self.busy_since = self.idle_since = self.answered_at = 0
        self.stall = (0, 0)  # the last one
        self.least_way = -1
        self.usual = 0  # microseconds of work a unit
        # Blame for its slots since it last answered, by waiter and holder: whose it was shows in how long the
        # shelf takes to answer again. Emptied by each answer and with the window.
        self.pending: dict[tuple[int, int], int] = {}
        self.lanes = 0  # that wait for it
        # What piled up in a stall waits on behind its own kind, for the stall's sake: so blame stays with the
        # shelf until no lane waits, though no longer than the stall lasted, lest a flood hides behind it.
        self.backlog_until = 0

    def quiet_from(self, now: int) -> int:
        """Since when it has answered nothing though it holds forwards; now where that is not long."""
        if not self.forwards:
            return now
        since = max(self.busy_since, self.answered_at)
        usual = self.usual * sum(self.out.values())
        return since if now - since > STALL_LEAST + STALL_TIMES * usual else now


class _Flight:
    __slots__ = ("shelf", "sent", "ahead")

    def __init__(self, shelf: _Shelf, sent: int, ahead: dict[int, int]) -> None:
        self.shelf, self.sent, self.ahead = shelf, sent, ahead


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
    __slots__ = ("volume", "profile", "units", "where", "arrived", "since", "state", "stages", "flights",
                 "lane", "mark")

    def __init__(self, volume: int, profile: int, units: int, where: Where, arrived: int, now: int) -> None:
        self.volume, self.profile, self.units, self.where = volume, profile, units, where
        self.arrived, self.since = arrived, now
        self.state = LOOSE
        self.stages = [0] * STAGES
        self.flights: dict[int, _Flight] = {}
        self.lane: _Lane | None = None
        self.mark: list[int] = []


class Accounts:
    """promised: seconds, by profile. Times of events are seconds on one clock; one that goes back is counted
    as a disorder and taken as the latest seen."""

    def __init__(self, promised: list[float], now: float) -> None:
        self.promised = [int(p * 1e6) for p in promised]
        self.window = Window()
        self.lives: dict[int, _Life] = {}  # emptied as transactions are answered with their forwards in
        self.lanes: dict[Where, _Lane] = {}  # emptied as their last member leaves
        self.shelves: dict[int, _Shelf] = {}  # emptied of idle ones as windows end
        self._asked = 0  # the lane after which the next look begins
        self._now = int(now * 1e6)

    def _at(self, when: float) -> int:
        now = int(when * 1e6)
        if now < self._now:
            self.window.disorders += 1
            return self._now
        self._now = now
        return now

    # ---- what happens

    def taken(self, id: int, volume: int, profile: int, shard: int, alone: bool, units: int, arrived: float,
              when: float) -> None:
        """alone: its key makes it wait in a line of its own. arrived: when its capsule came."""
        now = self._at(when)
        began = min(now, int(arrived * 1e6))
        life = _Life(volume, profile, units, (volume, shard, id if alone else -1), began, now)
        life.stages[Stage.ARRIVING] = now - began
        self.lives[id] = life
        self.window.took(volume, units)

    def held(self, id: int, why: Held, shelf: int, when: float) -> None:
        """A search has passed and it was not sent; or what holds its lane was asked again."""
        life = self.lives.get(id)
        if life is None or life.state not in (LOOSE, HOLD):
            return
        now = self._at(when)
        if life.state == LOOSE:
            lane = self.lanes.get(life.where)
            fresh = lane is None
            if lane is None:
                lane = self.lanes[life.where] = _Lane(life.where, now)
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
        lane.holders = self._shelf(shelf).out.copy() if why is Held.SLOTS else {}

    def looks(self) -> list[int]:
        """The first of each lane whose cause should be asked again by held(), a bounded number in turn."""
        lanes = list(self.lanes.values())
        if len(lanes) > LOOKS_MOST:
            at = self._asked % len(lanes)
            self._asked = at + LOOKS_MOST
            lanes = (lanes[at:] + lanes[:at])[:LOOKS_MOST]
        return [next(iter(lane.members)) for lane in lanes]

    def sent(self, id: int, forward: int, shelf: int, when: float) -> None:
        life = self.lives.get(id)
        if life is None or forward in life.flights:
            return
        now = self._at(when)
        s = self._shelf(shelf)
        if life.state != DONE and not life.flights:
            self._settle(life, id, now)
            life.state, life.since = OUT, now
        if not s.forwards and (s.answered_at >= s.busy_since or now - s.idle_since > SAME_SILENCE):
            s.busy_since = now
        life.flights[forward] = _Flight(s, now, s.out.copy())
        s.forwards += 1
        s.out[life.volume] = s.out.get(life.volume, 0) + life.units

    def ended(self, id: int, forward: int, how: Ending, service: float, when: float) -> None:
        """service: seconds in work as the shelf told; 0: it told none."""
        life = self.lives.get(id)
        if life is None or (flight := life.flights.pop(forward, None)) is None:
            return
        now = self._at(when)
        s = flight.shelf
        quiet = s.quiet_from(now)
        s.forwards -= 1
        if not s.forwards:
            s.idle_since = now
        left = s.out[life.volume] - life.units
        if left:
            s.out[life.volume] = left
        else:
            del s.out[life.volume]
        row = self.window.shelf(s.number)
        row.endings[how.value] = row.endings.get(how.value, 0) + 1
        if how in (Ending.HONOURED, Ending.TURNED_AWAY, Ending.ERROR):
            if quiet < now:
                row.stalled_us += now - quiet
                s.stall = (quiet, now)
                s.backlog_until = now + now - quiet
            self._blame_pending(s, quiet < now or now < s.backlog_until)
            s.answered_at = now
        if life.state == OUT:
            self._split(life, flight, how, int(service * 1e6), now, row)
            life.since = now
            if not life.flights:
                life.state = LOOSE
        elif not life.flights:
            del self.lives[id]

    def answered(self, id: int, outcome: Outcome, when: float) -> None:
        """Its one answer, or its client left."""
        life = self.lives.get(id)
        if life is None or life.state == DONE:
            return
        now = self._at(when)
        self._settle(life, id, now)
        life.state = DONE
        life_us = now - life.arrived
        if sum(life.stages) != life_us:
            self.window.remainders += 1
        late = outcome != Outcome.LEFT and (
            outcome != Outcome.HONOURED or life_us > self.promised[life.profile])
        self.window.life(life.volume, life.profile, life.units, outcome, late, life.stages, life_us)
        if not life.flights:
            del self.lives[id]

    def close_window(self, when: float) -> Window:
        """What was counted since the last; a life belongs to the window in which it was answered."""
        now = self._at(when)
        for lane in self.lanes.values():
            self._advance(lane, now)
        for s in self.shelves.values():
            self._blame_pending(s, s.quiet_from(now) < now)
        for s in [s for s in self.shelves.values() if not s.forwards and not s.lanes]:
            del self.shelves[s.number]
        for s in self.shelves.values():
            s.least_way = -1
        closed, self.window = self.window, Window()
        return closed

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
            for stage, run in enumerate(lane.run):
                life.stages[stage] += run - life.mark[stage]
            life.lane = None
            del lane.members[id]
            if not lane.members:
                self._leave_shelf(lane, now)
                del self.lanes[lane.where]
        elif life.state == LOOSE:
            life.stages[Stage.HEAD] += now - life.since
        else:
            life.stages[Stage.UNDIVIDED] += now - life.since
            self.window.blamed(life.volume, UNKNOWN, next(iter(life.flights.values())).shelf.number,
                               Stage.UNDIVIDED, now - life.since)
        life.since = now

    def _leave_shelf(self, lane: _Lane, now: int) -> None:
        s = self.shelves.get(lane.shelf)
        if s is not None and s.lanes:
            s.lanes -= 1
            if not s.lanes and now < s.backlog_until:
                self._blame_pending(s, True)
                s.backlog_until = now

    def _advance(self, lane: _Lane, now: int) -> None:
        passed, lane.since = now - lane.since, now
        if not passed or not lane.members:
            return
        stage, volume = lane.stage, lane.where[0]
        lane.run[stage] += passed
        us = passed * len(lane.members)
        blamed = self.window.blamed
        if stage == Stage.SLOTS:
            pending = self._shelf(lane.shelf).pending
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

    def _split(self, life: _Life, flight: _Flight, how: Ending, service: int, now: int,
               row: ShelfRow) -> None:
        """One forward's time, from the later of its sending and what was already given away."""
        stages, s = life.stages, flight.shelf
        passed = now - life.since
        if how is not Ending.HONOURED:
            stages[Stage.LOST_FORWARD] += passed
            if how in LOST_TO_SHELF:
                self.window.blamed(life.volume, SHELF, s.number, Stage.LOST_FORWARD, passed)
            elif how is Ending.TURNED_AWAY:
                self.window.shared_out(life.volume, flight.ahead, s.number, Stage.LOST_FORWARD, passed)
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
        row.worked(life.volume, life.units, work)
        a_unit = work // max(1, life.units)
        s.usual += (a_unit - s.usual) // 8 if s.usual else a_unit
        if wait:
            stages[Stage.AT_SHELF] += wait
            row.wait_us += wait
            stalled = min(wait, max(0, min(now, s.stall[1]) - max(flight.sent, s.stall[0])))
            if stalled:
                self.window.blamed(life.volume, SHELF, s.number, Stage.AT_SHELF, stalled)
            if wait > stalled:
                self.window.shared_out(life.volume, flight.ahead, s.number, Stage.AT_SHELF, wait - stalled)
