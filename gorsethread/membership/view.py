"""The pure core of the fleet's view: who lives, which life, in which zone. No I/O, no clock, no chance of its
own.

SWIM as published by Das, Gupta and Motivala: one member probed a period, in turn; others asked to probe it
where it does not answer; suspicion before death, which the suspected refutes by its next incarnation; all of
it told on the probes themselves. From Lifeguard: a head that seems to be in trouble itself is slower to
accuse, and a suspicion shortens as more say the same. Whole tables go in pieces: each message is filled with
the next words of the sender's table, so views that parted come together, at the same bytes whatever the fleet
does. The dead are pinged now and then, so a partition heals without an operator.

Bounded: one word a name, and no more names than the fleet may have; one probe out; a fixed number of messages
answered a second.
"""

import math
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from gorsethread.membership.gossip_messages import (
    HEADER_MOST,
    MOST_BYTES,
    PAST,
    Address,
    Kind,
    Message,
    State,
    Word,
    beats,
    size_of,
)

HELPERS = 3  # asked to probe one that did not answer
SLOWEST = 8  # of the own health: from here on it is as bad as it gets
TOLD_TIMES = 1.5  # times the logarithm of the fleet: how often a new word is sent on
SUSPICION = 4.0  # periods times the logarithm of the fleet: the shortest a suspicion lasts
LAST_ASKED = 3  # times that it is asked before it is held dead, a patience apart: one answer may be lost
LONGEST_SUSPICION = 3.0  # times the shortest, while nobody else says the same
CONFIRMED = 3  # others that say the same shorten a suspicion to its shortest
APART = 4.0  # periods without a word from anyone
STARVED = 3.0  # periods that a tick may be late before this head holds that it stood still
DEAD_EVERY = 3.0  # periods between two pings to one that is held dead, has left or was never met
JOINING, JOINS_FOR = 4.0, 20.0  # times the usual pace while views differ; periods at most, saved up again
AGREED = 5  # of those heard last, by which it is told whether views differ
ANSWERED = 30.0  # messages a second that are read: what peers' own paces bring, and some more
HISTORY = 256  # changes kept for people
RELAYED = 64  # pings on others' behalf


class Pace(NamedTuple):
    """period: seconds between probes; patience: seconds until one that is silent is asked through others."""

    period: float = 1.0
    patience: float = 0.3


USUAL_PACE = Pace()


class Change(NamedTuple):
    at: float
    word: Word


@dataclass(slots=True)
class _Suspicion:
    life: int
    incarnation: int
    since: float
    by: set[int] = field(default_factory=set)
    asked: float = -math.inf  # when this head asked it last, before it holds it dead
    asks: int = 0


@dataclass(slots=True)
class _Probe:
    name: int
    seq: int
    sent: float
    asked: bool = False
    answered: bool = False
    nacks: int = 0


class View:
    """me: this head's own word, in its first incarnation. contacts: where others may be found. most: names
    that a fleet may have. draw: chance from 0 to 1. out: (where to, what), to be taken after each call."""

    def __init__(
        self,
        me: Word,
        contacts: tuple[Address, ...],
        now: float,
        draw: Callable[[], float],
        pace: Pace = USUAL_PACE,
        most: int = 1024,
    ) -> None:
        self.me, self.contacts, self.draw, self.pace, self.most = me, contacts, draw, pace, most
        self.words: dict[int, Word] = {me.name: me}  # one a name; a word stays when its head is gone
        self.since: dict[int, float] = {me.name: now}  # of the state that each is in
        self.out: list[tuple[Address, Message]] = []
        self.history: deque[Change] = deque([Change(now, me)], maxlen=HISTORY)
        self.health = 0
        self.doubles = 0  # how often another process was met under this name
        self.refused = 0  # messages over the bound, and words on names that the fleet has no room for
        self.leaving = False
        self._news: dict[int, int] = {}  # by name: how often its word was sent on; emptied as it is enough
        self._suspicions: dict[int, _Suspicion] = {}  # emptied as they end
        self._turn: list[int] = []  # whom to probe next, last first; drawn anew when empty
        self._probe: _Probe | None = None
        self._relayed: dict[int, tuple[Address, int, float]] = {}  # emptied as they end
        self._seq = 0
        self._cursor = 0  # the first name to tell of next
        self._wanted = 0  # the first name to hear of next, until the table has come once
        self._whole = False
        self._now = self._ticked = self._heard = now
        self._next = now
        self._gossip_at = now
        self._hurries = JOINS_FOR * JOINING  # how many more times it may; grows again by one a period
        self._dead_at = now + DEAD_EVERY * pace.period
        self._contact = int(draw() * max(1, len(contacts)))  # else all would come to the same one first
        self._store = ANSWERED
        self._agree: dict[int, int] = {}  # by name: the digest it told last; as many as names
        self._names: list[int] = [me.name]  # in order
        self._by_address: dict[Address, int] = {}  # who is said to be there; as many as names
        self._sizes: dict[int, int] = {me.name: size_of(me)}  # bytes of each word
        self._alive: list[Word] | None = None  # made anew after each change, as the digest
        self._digest = 0

    # ---- what is asked

    @property
    def alive(self) -> list[Word]:
        """Those not known to be over, by name; suspects are among them."""
        if self._alive is None:
            self._alive = [self.words[n] for n in self._names if not self.words[n].over]
            told = ",".join(f"{w.name}:{w.life}" for w in self._alive)
            self._digest = xxhash.xxh32_intdigest(told.encode())
        return self._alive

    @property
    def apart(self) -> bool:
        """Nothing was heard from anyone for long, though there are others: this head accuses nobody."""
        return len(self.words) > 1 and self._now - self._heard > APART * self.pace.period

    @property
    def minority(self) -> bool:
        """No more than half of those known that did not leave in order: what only one may hold is not
        promised here."""
        known = [w for w in self.words.values() if w.state != State.LEFT]
        return 2 * sum(not w.over for w in known) <= len(known) and len(known) > 1

    @property
    def digest(self) -> int:
        """The same at all heads that see the same lives alive."""
        return self._digest if self.alive else 0

    @property
    def settled(self) -> bool:
        """Nobody is suspected, and all that live tell the same view as this head's."""
        mine, others = self.digest, [w.name for w in self.alive if w.name != self.me.name]
        return not self._suspicions and not self.apart and all(self._agree.get(n) == mine for n in others)

    # ---- what happens

    def tick(self, now: float) -> None:
        """To be called several times a period."""
        gap, self._ticked = now - self._ticked, now
        self._now = now
        self._store = min(ANSWERED, self._store + gap * ANSWERED)
        if gap > STARVED * self.pace.period:
            self._stood_still(gap)
        if self.leaving:
            return
        self._suspicions_end()
        self._relays_end()
        p = self._probe
        slow = self.pace.period * (1 + self.health)
        patience = self.pace.patience * (1 + self.health)
        if p is not None and not p.answered and not p.asked and now >= p.sent + patience:
            p.asked = True
            self._ask_others(p)
        if now >= self._next:
            if p is not None and not p.answered:
                self._no_answer(p)
            self._next = now + slow
            self._probe_next()
        if now >= self._gossip_at:
            self._gossip_at = now + self.pace.period / JOINING
            self._gossip()
        if now >= self._dead_at:
            self._dead_at = now + DEAD_EVERY * self.pace.period
            self._ask_the_dead()

    def heard(self, source: Address, m: Message) -> None:
        """A message came. The caller has checked that it may come from there."""
        if self._store < 1.0:
            self.refused += 1
            return
        self._store -= 1.0
        self._heard = self._now
        if m.sender == self.me.name:
            # Only another process under this name can send it.
            self.doubles += 1
            return
        for w in m.words:
            self._hear(w)
        self._agree.pop(m.sender, None)
        self._agree[m.sender] = m.digest  # the latest last
        if m.kind == Kind.PING:
            words, after = self._piece(m.cursor, m.sender)
            self._send(source, Kind.ACK, m.seq, words, after)
        elif m.kind == Kind.ACK:
            self._answered(m)
        elif m.kind == Kind.ASK:
            self._ping_for(source, m)
        elif m.kind == Kind.NACK and (p := self._probe) is not None and p.seq == m.seq:
            p.nacks += 1

    def show(self, begin: int) -> Message:
        """For an operator: the own word, and the table from a name on, with what this head says of itself."""
        words, after = self._table(begin)
        said = sum(
            held << bit for bit, held in enumerate((self.settled, self.apart, self.minority, self.leaving))
        )
        return Message(Kind.SHOWN, self.me.name, said, after, self.digest, words)

    def past(self, begin: int, now: float) -> Message:
        """For an operator: changes kept, from one on, oldest first, and in tenths of a second how long ago
        each was. One may fall out at the front while pieces are asked for; then it is not told."""
        words, ages = [self.me], list[str]()
        room = MOST_BYTES - HEADER_MOST - self._sizes[self.me.name]
        kept = list(self.history)
        for change in kept[begin:]:
            age = str(max(0, int(10.0 * (now - change.at))))
            room -= size_of(change.word) + len(age) + 1
            if room < 0:
                break
            words.append(change.word)
            ages.append(age)
        after = begin + len(ages)
        return Message(
            Kind.SHOWN,
            self.me.name,
            0,
            after if ages and after < len(kept) else 0,
            self.digest,
            tuple(words),
            PAST,
            ",".join(ages),
        )

    def leave(self) -> None:
        """In order: the others hear it from this head itself, a few of them at once."""
        self.leaving = True
        self._mine(self.me._replace(state=State.LEFT))
        for w in self._some(2 * HELPERS, {self.me.name}):
            self._ping(w.address)

    # ---- words

    def _hear(self, w: Word) -> None:
        if w.name == self.me.name:
            self._heard_of_me(w)
            return
        known = self.words.get(w.name)
        if known is None and len(self.words) >= self.most:
            self.refused += 1
            return
        s = self._suspicions.get(w.name)
        says = (w.life, w.incarnation) if w.state == State.SUSPECT else None
        if s is not None and (s.life, s.incarnation) == says and w.by not in s.by and len(s.by) <= CONFIRMED:
            s.by.add(w.by)
            self._news[w.name] = 0
        if beats(w, known):
            self._believe(w)

    def _heard_of_me(self, w: Word) -> None:
        mine = self.me
        if w.life > mine.life:
            # An earlier life whose clock ran ahead, or another process under this name: this one goes on as a
            # later life, and counts how often, since two of them would do so in turn for ever.
            self.doubles += 1
            self._mine(mine._replace(life=w.life + 1, incarnation=0))
        elif w.life == mine.life and w.over and not self.leaving:
            self._mine(mine._replace(life=mine.life + 1, incarnation=0))
        elif w.life == mine.life and w.state == State.SUSPECT and w.incarnation >= mine.incarnation:
            self.health = min(SLOWEST, self.health + 1)
            self._mine(mine._replace(incarnation=w.incarnation + 1))

    def _mine(self, w: Word) -> None:
        self.me = w
        self._believe(w)

    def _believe(self, w: Word) -> None:
        known = self.words.get(w.name)
        if known is None or (known.life, known.state) != (w.life, w.state):
            self.since[w.name] = self._now
            self.history.append(Change(self._now, w))
        self.words[w.name] = w
        self._sizes[w.name], self._alive = size_of(w), None
        if known is not None and known.address != w.address:
            self._by_address.pop(known.address, None)
        self._by_address[w.address] = w.name
        if known is None:
            insort(self._names, w.name)
        self._news[w.name] = 0
        if w.state == State.SUSPECT:
            s = self._suspicions.get(w.name)
            if s is None or (s.life, s.incarnation) != (w.life, w.incarnation):
                self._suspicions[w.name] = _Suspicion(w.life, w.incarnation, self._now, {w.by})
        else:
            self._suspicions.pop(w.name, None)
        if known is None and w.name != self.me.name:
            self._turn.insert(int(self.draw() * (len(self._turn) + 1)), w.name)

    # ---- suspicion

    def _logarithm(self) -> float:
        return max(1.0, math.log2(1 + len(self.alive)))

    def _lasts(self, s: _Suspicion) -> float:
        shortest = SUSPICION * self.pace.period * self._logarithm() / 2.0
        part = math.log(len(s.by)) / math.log(1 + CONFIRMED) if s.by else 0.0
        return shortest * (LONGEST_SUSPICION - (LONGEST_SUSPICION - 1.0) * min(1.0, part))

    def _suspicions_end(self) -> None:
        for name, s in list(self._suspicions.items()):
            if self.apart:
                s.since = self._now  # whoever hears nobody knows nothing of others
            elif self._now < max(s.since + self._lasts(s), s.asked + self.pace.patience):
                continue
            elif s.asks < LAST_ASKED:
                # Guards against hearsay from where it is not heard: this head itself asks it once more.
                s.asked, s.asks = self._now, s.asks + 1
                self._ping(self.words[name].address)
            else:
                self._believe(self.words[name]._replace(state=State.DEAD, by=self.me.name))

    def _stood_still(self, gap: float) -> None:
        """Guards against a head that was paused, or starved, and takes its own silence for that of others."""
        self.health = min(SLOWEST, self.health + 2)
        self._probe, self._heard = None, self._now
        for s in self._suspicions.values():
            s.since += gap

    # ---- probes

    def _probe_next(self) -> None:
        self._probe = None
        name = self._draw_turn()
        if name is not None:
            self._probe = _Probe(name, self._ping(self.words[name].address), self._now)
        if name is None:
            self._ping_contact()

    def _gossip(self) -> None:
        """While views differ more is told, for a bounded time: the table of a joiner, or of many that came at
        once, would go round at the usual pace for minutes."""
        self._hurries = min(JOINS_FOR * JOINING, self._hurries + 1.0 / JOINING)
        last = list(self._agree.values())[-AGREED:]
        differ = not self._whole or 2 * sum(digest != self.digest for digest in last) > len(last)
        if not differ or self._hurries < 1.0:
            return
        self._hurries -= 1.0
        others = self._some(1, {self.me.name})
        if others and (self._whole or self.draw() < 0.5):
            self._ping(others[0].address)
        else:
            self._ping_contact()

    def _draw_turn(self) -> int | None:
        for _ in range(2):
            while self._turn:
                name = self._turn.pop()
                if name != self.me.name and not self.words[name].over:
                    return name
            others = [w.name for w in self.alive if w.name != self.me.name]
            while others:
                self._turn.append(others.pop(int(self.draw() * len(others))))
        return None

    def _ping_contact(self) -> None:
        if self.contacts:
            self._contact = (self._contact + 1) % len(self.contacts)
            address = self.contacts[self._contact]
            if address != self.me.address:
                self._ping(address)

    def _ping(self, address: Address) -> int:
        self._seq += 1
        words, self._cursor = self._piece(self._cursor, self._by_address.get(address, -1))
        self._send(address, Kind.PING, self._seq, words, self._cursor if self._whole else self._wanted)
        return self._seq

    def _ask_others(self, p: _Probe) -> None:
        for w in self._some(HELPERS, {self.me.name, p.name}):
            self._send(w.address, Kind.ASK, p.seq, (), 0, p.name)

    def _ping_for(self, source: Address, m: Message) -> None:
        target = self.words.get(m.target)
        if target is not None and len(self._relayed) < RELAYED:
            self._relayed[self._ping(target.address)] = source, m.seq, self._now + self.pace.patience

    def _relays_end(self) -> None:
        for seq, (source, asked, until) in list(self._relayed.items()):
            if self._now >= until:
                del self._relayed[seq]
                self._send(source, Kind.NACK, asked, (), 0)

    def _answered(self, m: Message) -> None:
        if (relayed := self._relayed.pop(m.seq, None)) is not None:
            self._send(relayed[0], Kind.ACK, relayed[1], (), 0)
        if (p := self._probe) is not None and p.seq == m.seq and not p.answered:
            p.answered = True
            self.health = max(0, self.health - 1)
        if not self._whole and m.words:
            # The piece began where this head wished; once it has come round the table is whole.
            self._whole, self._wanted = m.cursor <= self._wanted, m.cursor

    def _no_answer(self, p: _Probe) -> None:
        w = self.words[p.name]
        helpers = min(HELPERS, max(0, len(self.alive) - 2))
        # Helpers that were asked and said nothing at all hint that it is this head that is not heard.
        self.health = min(SLOWEST, self.health + (1 if helpers and p.nacks == 0 else 0))
        if not self.apart and not w.over and w.state == State.ALIVE:
            self._believe(w._replace(state=State.SUSPECT, by=self.me.name))
        elif w.state == State.SUSPECT:
            self._hear(w._replace(by=self.me.name))

    def _ask_the_dead(self) -> None:
        """Guards against parts of a fleet that hold each other dead, or never met, and never ask again."""
        living = {w.address for w in self.alive}
        away = [w.address for w in self.words.values() if w.over and w.address not in living]
        away += [address for address in self.contacts if address not in living and address not in away]
        if away:
            self._ping(away[int(self.draw() * len(away))])

    def _some(self, number: int, but: set[int]) -> list[Word]:
        others = [w for w in self.alive if w.name not in but]
        return [others.pop(int(self.draw() * len(others))) for _ in range(min(number, len(others)))]

    # ---- messages

    def _send(
        self, to: Address, kind: Kind, seq: int, words: tuple[Word, ...], cursor: int, target: int = -1
    ) -> None:
        self.out.append((to, Message(kind, self.me.name, seq, cursor, self.digest, words, target)))

    def _piece(self, begin: int, other: int) -> tuple[tuple[Word, ...], int]:
        """The own word, what is new, least told first, in half of the room, and then the table from a name
        on, as far as it fits; and the name after that."""
        room, chosen = MOST_BYTES - HEADER_MOST - self._sizes[self.me.name], {self.me.name: self.me}
        if (w := self.words.get(other)) is not None and w.state != State.ALIVE:
            chosen[other] = w  # it hears what is held of it, whatever else there is
            room -= self._sizes[other]
        half, enough = room // 2, math.ceil(TOLD_TIMES * self._logarithm())
        for name in sorted(self._news, key=lambda n: (self._news[n], n)):
            if name not in chosen:
                if room - self._sizes[name] < half:
                    break
                chosen[name] = self.words[name]
                room -= self._sizes[name]
            self._news[name] += 1
            if self._news[name] >= enough:
                del self._news[name]
        return self._table(begin, room, chosen)

    def _table(
        self, begin: int, room: int = MOST_BYTES - HEADER_MOST, chosen: dict[int, Word] | None = None
    ) -> tuple[tuple[Word, ...], int]:
        """More words from a name on, as far as they fit, and the name after them; 0 at the table's end."""
        if chosen is None:
            chosen, room = {self.me.name: self.me}, room - self._sizes[self.me.name]
        at = bisect_left(self._names, begin)
        after = begin
        for name in self._names[at:] + self._names[:at]:
            if name not in chosen:
                if room < self._sizes[name]:
                    break
                chosen[name] = self.words[name]
                room -= self._sizes[name]
            after = name + 1
        else:
            after = 0
        return tuple(chosen.values()), after if after <= self._names[-1] else 0
