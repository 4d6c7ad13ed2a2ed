"""Draws scripts from seeds, swarm style: each seed first draws which kinds of fault there are at all, so that
some worlds have much of little and others a little of much. No I/O, no clock."""

from collections.abc import Callable, Sequence
from typing import Any

from gorsethread.simulation.script import CODE_POINTS, DURABLE_LOG_POINTS, Act, Clock, Script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.program import SeededRandom

LAST = 0.55  # part of the time after which nothing new strikes
CLEAR = 0.72  # part of the time at which every fault has ended
KIND_PART = 0.4  # of the kinds, how many a seed has on average


class Draw:
    """seed: all of the script. seconds, volumes of the site: how long it is, and who may surge. web: for
    heads on the operators' platform, whose machines have one Unix clock and no disk. kept: for heads that
    keep records, of which one machine at most is lost with its disk."""

    def __init__(
        self,
        seed: int,
        volumes: Sequence[int],
        tenants: Sequence[str],
        seconds: float = 12.0,
        web: bool = False,
        kept: bool = False,
    ) -> None:
        self.chance = SeededRandom(f"{'web ' if web else 'kept ' if kept else ''}script {seed}")
        self.troubles = WEB_TROUBLES if web else KEPT_TROUBLES if kept else TROUBLES
        self.seed, self.volumes, self.tenants, self.seconds = seed, volumes, tenants, seconds
        c = self.chance
        self.heads, self.shelves = c.choice((1, 2, 3, 3, 4, 8)), c.choice((2, 4, 6, 6, 8))
        if kept:
            self.heads = c.choice((1, 3, 3, 4, 6))
        self.acts: list[Act] = []
        self.away: set[str] = set()  # who is killed or so already: once a world is enough

    def script(self) -> Script:
        c = self.chance
        known = self.troubles
        kinds = [k for k in known if c.random() < KIND_PART] or [c.choice(list(known))]
        for kind in kinds:
            for _ in range(c.choice((1, 1, 2, 3))):
                known[kind](self)
        clocks = {}
        if c.random() < 0.3:
            clocks = {
                f"head {n}": Clock(round(c.uniform(-900.0, 900.0), 3), c.choice((0.0, 2e-5, -2e-5)))
                for n in range(self.heads)
            }
        factor = c.choice((0.7, 1.0, 1.0, 1.5, 2.5))
        leaves = c.choice((0.01, 0.01, 0.05, 0.2))
        return Script(
            self.seed,
            self.heads,
            self.shelves,
            self.seconds,
            factor,
            leaves,
            tuple(sorted(self.acts)),
            clocks,
        )

    # ---- parts

    def _at(self) -> float:
        return round(self.chance.uniform(0.03, LAST) * self.seconds, 3)

    def _lasts(self, at: float, least: float, most: float) -> float:
        longest = CLEAR * self.seconds - at
        return round(min(longest, self.chance.uniform(least, most)), 3)

    def _head(self) -> str:
        return f"head {self.chance.randrange(self.heads)}"

    def _shelf(self) -> str:
        return f"shelf {self.chance.randrange(self.shelves)}"

    def _client(self) -> str:
        return f"client {self.chance.choice(list(self.tenants))}"

    def _add(
        self,
        kind: str,
        whom: str,
        least: float,
        most: float,
        to: str = "",
        both: bool = False,
        by: float = 0.0,
        at: float | None = None,
    ) -> Act:
        when = self._at() if at is None else at
        act = Act(when, kind, whom, to, both, round(by, 3), self._lasts(when, least, most))
        self.acts.append(act)
        return act

    # ---- troubles

    def half_the_heads(self) -> None:
        at = self._at()
        for n in self.chance.sample(range(self.heads), (self.heads + 1) // 2):
            if f"head {n}" not in self.away:
                self.away.add(f"head {n}")
                self._add(self.chance.choice(("kill", "kill", "vanish")), f"head {n}", 0.3, 3.0, at=at)

    def shelf_dies(self) -> None:
        shelf = self._shelf()
        if shelf in self.away:
            return
        self.away.add(shelf)
        at = self._at()
        if self.chance.random() < 0.3:  # first slow, then dead with what it took
            self._add("slow", shelf, 1.0, 2.0, by=self.chance.uniform(3, 12), at=max(0.1, at - 1.5))
        act = self._add(self.chance.choice(("kill", "kill", "vanish")), shelf, 0.3, 2.5, at=at)
        if self.chance.random() < 0.3 and act.end + 0.4 < CLEAR * self.seconds:
            self._add("kill", shelf, 0.2, 0.8, at=round(act.end + 0.3, 3))  # a second time within its ramp

    def stab(self) -> None:
        """In the middle of its own code."""
        self._stab(CODE_POINTS, 60)

    def _stab(self, points: tuple[str, ...], visits: int) -> None:
        """One head ends at one of the points, as it comes there for up to so many times."""
        head = self._head()
        if head not in self.away:
            self.away.add(head)
            point, visit = f"point {self.chance.choice(points)}", 1 + self.chance.randrange(visits)
            self._add("stab", head, 0.2, 2.0, to=point, by=visit)

    def crash(self) -> None:
        """Just as a message comes: a head with a shelf's answer in hand, a shelf with a command in hand."""
        struck, other = self.chance.choice(
            (
                (self._head(), self._shelf()),
                (self._head(), self._client()),
                (self._head(), "list"),
                (self._shelf(), self._head()),
            )
        )
        if struck not in self.away:
            self.away.add(struck)
            self._add("crash", struck, 0.2, 2.0, to=other, by=1 + self.chance.randrange(40))

    def pause(self) -> None:
        whom = self.chance.choice((self._head(), self._shelf(), "list"))
        self._add("pause", whom, 0.1, 3.0)

    def cut(self) -> None:
        one, other = self.chance.choice(
            (
                (self._head(), self._shelf()),
                (self._shelf(), self._head()),
                (self._head(), "list"),
                ("list", self._head()),
                (self._client(), self._head()),
                (self._head(), self._client()),
                (self._shelf(), "list"),
            )
        )
        self._add("cut", one, 0.1, 4.0, to=other, both=self.chance.random() < 0.5)

    def room_cut(self) -> None:
        room = self.chance.randrange(2)
        at = self._at()
        for other in (f"room {1 - room}", *(["list"] if self.chance.random() < 0.5 else [])):
            self._add("cut", f"room {room}", 0.5, 4.0, to=other, both=True, at=at)

    def reset(self) -> None:
        one, other = self.chance.choice(
            ((self._head(), self._shelf()), (self._head(), "list"), (self._client(), self._head()))
        )
        self._add("reset", one, 0.001, 0.001, to=other)

    def drain(self) -> None:
        shelf = self._shelf()
        if shelf in self.away:
            return
        act = self._add("drain", shelf, 1.0, 4.0)
        if self.chance.random() < 0.5:  # its news lost on the way just then
            self._add(
                "reset",
                self._head(),
                0.001,
                0.001,
                to="list",
                at=round(act.at + self.chance.uniform(0.0, 1.0), 3),
            )
        if self.chance.random() < 0.4:
            self.away.add(shelf)
            self._add("kill", shelf, 0.3, 1.0, at=round(act.at + self.chance.uniform(0.5, act.seconds), 3))

    def still(self) -> None:
        self._add("still", self._shelf(), 0.08, 3.0)

    def slow(self) -> None:
        self._add("slow", self._shelf(), 0.5, 5.0, by=self.chance.uniform(1.5, 15.0))

    def errors(self) -> None:
        self._add("errors", self._shelf(), 0.3, 3.0, by=self.chance.uniform(0.1, 1.0))

    def late_list(self) -> None:
        self._add("late", "list", 0.5, 4.0, by=self.chance.uniform(0.5, 4.0))

    def refusing_list(self) -> None:
        self._add("refuse", "list", 0.5, 4.0)

    def list_dies(self) -> None:
        """It comes back knowing nobody, and counts its versions anew."""
        if "list" not in self.away:
            self.away.add("list")
            self._add("kill", "list", 0.2, 2.5)

    def surge(self) -> None:
        self._add(
            "surge",
            f"volume {self.chance.choice(list(self.volumes))}",
            0.5,
            4.0,
            by=self.chance.uniform(2.0, 12.0),
        )

    def slow_connects(self) -> None:
        whom = self.chance.choice((self._head(), self._shelf(), self._shelf(), "list"))
        act = self._add("connects", whom, 0.5, 3.0, by=self.chance.uniform(0.05, 2.5))
        if whom.startswith("shelf"):  # and every link to it has to be made anew in that time
            for n in range(self.heads):
                self._add("reset", f"head {n}", 0.001, 0.001, to=whom, at=round(act.at + 0.05, 3))

    def disk(self) -> None:
        self._add("disk", self._head(), 0.5, 3.0)

    def wall(self) -> None:
        self.acts.append(Act(self._at(), "wall", self._head(), amount=round(self.chance.uniform(-50, 50), 3)))

    def term(self) -> None:
        head = self._head()
        if head not in self.away:
            self.away.add(head)
            self._add("term", head, 0.2, 1.5)

    def reload(self) -> None:
        self.acts.append(Act(self._at(), "reload", self._head()))

    def spoil(self) -> None:
        self._add("spoil", self._shelf(), 0.5, 4.0, by=self.chance.uniform(0.02, 0.5))

    def rude(self) -> None:
        self._add("rude", self._head(), 0.5, 4.0)

    def disk_lost(self) -> None:
        """Once a world is what records are made for, where others can hold copies."""
        kind = self.chance.choice(("wipe", "older", "rot", "swap"))
        if "disk" in self.away or self.heads < 3:
            return
        self.away.add("disk")
        one = self.chance.randrange(self.heads)
        other = (one + 1 + self.chance.randrange(self.heads - 1)) % self.heads
        if self.away & {f"head {one}", f"head {other}"}:
            return
        self.away |= {f"head {one}", f"head {other}"}
        self._add(
            kind,
            f"head {one}",
            0.2,
            2.0,
            to=f"head {other}" if kind == "swap" else "",
            by=self.chance.uniform(0.3, 3.0) if kind == "older" else 0.0,
        )

    def kept_stab(self) -> None:
        """In the middle of keeping, or of coming back."""
        self._stab(DURABLE_LOG_POINTS, 12)

    def lag(self) -> None:
        self._add("lag", self._head(), 0.5, 3.0, by=self.chance.choice((0.01, 0.1, 0.1, 0.8)))


TROUBLES: dict[str, Callable[[Draw], None]] = {
    "half the heads": Draw.half_the_heads,
    "shelf dies": Draw.shelf_dies,
    "crash": Draw.crash,
    "stab": Draw.stab,
    "pause": Draw.pause,
    "cut": Draw.cut,
    "room cut": Draw.room_cut,
    "reset": Draw.reset,
    "drain": Draw.drain,
    "still": Draw.still,
    "slow": Draw.slow,
    "errors": Draw.errors,
    "late list": Draw.late_list,
    "refusing list": Draw.refusing_list,
    "list dies": Draw.list_dies,
    "surge": Draw.surge,
    "slow connects": Draw.slow_connects,
    "disk": Draw.disk,
    "wall clock": Draw.wall,
}
WEB_TROUBLES = {name: trouble for name, trouble in TROUBLES.items() if name not in ("disk", "wall clock")} | {
    "term": Draw.term,
    "reload": Draw.reload,
    "spoil": Draw.spoil,
    "rude": Draw.rude,
}
KEPT_TROUBLES = TROUBLES | {"disk lost": Draw.disk_lost, "lag": Draw.lag, "stab in keeping": Draw.kept_stab}


class BranchDraw(Draw):
    """For a site with branches, whose heads are as many as it names: their links go, once at least."""

    def __init__(self, seed: int, site: pb.Site, seconds: float = 16.0) -> None:
        super().__init__(
            seed, [v.number for v in site.volume], [t.name for t in site.tenant], seconds, kept=True
        )
        self.chance = SeededRandom(f"branch script {seed}")
        self.troubles = BRANCH_TROUBLES
        self.heads, self.shelves = len(site.head), self.chance.choice((4, 6))
        self.branches = [list(b.head) for b in site.branch]
        for _ in range(self.chance.choice((1, 1, 2))):
            self.link()

    def link(self) -> None:
        """Of both heads at once mostly; one way, or again and again, now and then."""
        c = self.chance
        heads = c.choice(self.branches)
        if len(heads) > 1 and c.random() < 0.2:
            heads = [c.choice(heads)]
        at, by = round(c.uniform(0.03, 0.3) * self.seconds, 3), c.choice((0, 0, 0, 1, 2))
        if c.random() < 0.2:
            for n in range(3):
                for head in heads:
                    self._add("link", f"head {head}", 0.5, 1.5, by=by, at=round(at + 2.0 * n, 3))
        else:
            seconds = c.uniform(1.0, 6.0)
            for head in heads:
                self._add("link", f"head {head}", seconds, seconds, by=by, at=at)
            if c.random() < 0.6:
                self._in_replay(heads, at + seconds)

    def _in_replay(self, heads: list[int], back: float) -> None:
        """Soon after a link is trusted again: a head of the main site dies, or a way to it, or the link."""
        c = self.chance
        away = {n for heads in self.branches for n in heads}
        main = f"head {c.choice([n for n in range(self.heads) if n not in away])}"
        at = round(min(back + 2.0 + c.uniform(0.05, 0.8), CLEAR * self.seconds - 0.7), 3)
        kind = c.choice(("kill", "reset", "link"))
        if kind == "kill" and main not in self.away:
            self.away.add(main)
            self._add("kill", main, 0.3, 0.6, at=at)
        elif kind == "reset":
            self._add("reset", f"head {c.choice(heads)}", 0.001, 0.001, to=main, at=at)
        else:
            for head in heads:
                self._add("link", f"head {head}", 0.6, 0.6, at=at)

    def branch_disk_lost(self) -> None:
        heads = self.chance.choice(self.branches)
        head = self.chance.choice(heads)
        if "disk" not in self.away and len(heads) > 1 and not self.away & {f"head {n}" for n in heads}:
            self.away |= {"disk", *(f"head {n}" for n in heads)}
            self._add("wipe", f"head {head}", 0.2, 3.0)


BRANCH_TROUBLES: dict[str, Callable[[Any], None]] = {
    name: trouble
    for name, trouble in KEPT_TROUBLES.items()
    if name not in ("disk lost", "wall clock", "slow connects")
} | {"branch's disk lost": BranchDraw.branch_disk_lost, "another link": BranchDraw.link}
