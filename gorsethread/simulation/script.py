"""The language of fault scripts: a line an act, read and written as text, so that a person can run one too.

    seed 17
    heads 3
    shelves 6
    seconds 14
    factor 1.5
    leaves 0.02
    clock head-1 +2.5 drift 0.0001
    2.350 kill head-0 for 1.2
    3.1 cut head-1 -> shelf-2 for 2
    4 cut room-1 <-> list for 3
    5.2 slow shelf-4 by 3 for 4

Times are seconds from when clients begin; '#' begins a remark.
"""

from dataclasses import dataclass, field

from gorsethread.errors import InvalidInputError

PROCESSES = ("head", "shelf", "list", "client")
# Points of a head's code: a transaction is taken, sent to a shelf, pushed back, given up, a forward ended,
# the list's or peers' word handed on, a batch done.
POINTS = ("take", "forward", "push_back", "give_up", "ended", "listed", "work")
# And where heads keep records: a promise goes to the disk, is there, is told of, records are given back by
# another, another's copies are greeted, a new segment is in use.
KEPT_POINTS = ("promise", "flushed", "held", "given", "greeted", "segment")


@dataclass(frozen=True)
class Kind:
    """What an act needs beside its time and whom it strikes."""

    strikes: tuple[str, ...]
    to: bool = False  # a second party
    by: bool = False  # an amount
    lasts: bool = False  # a time after which it ends
    says: str = ""
    web: bool = False  # only heads on the operators' platform meet it
    fleet: bool = False  # only worlds of the fleet's view play it
    relay: bool = False  # only real processes meet it, through the harness's relay
    kept: bool = False  # only heads that keep records meet it
    branch: bool = False  # only heads of a branch meet it


KINDS = {
    "kill": Kind(
        ("head", "shelf", "list"), lasts=True, says="ends without warning; comes back after that time"
    ),
    "vanish": Kind(("head", "shelf"), lasts=True, says="its machine is gone, peers hear nothing; comes back"),
    "pause": Kind(
        ("head", "shelf", "list"), lasts=True, says="stands still; then all that was due is, at once"
    ),
    "cut": Kind(
        (*PROCESSES, "room"), to=True, lasts=True, says="nothing gets through that way (->), or both (<->)"
    ),
    "reset": Kind(PROCESSES, to=True, says="their connections break, what was on the way is lost"),
    "crash": Kind(
        ("head", "shelf"),
        to=True,
        by=True,
        lasts=True,
        says="ends just as the by-th message of the other arrives, if that is within the time; "
        "comes back after as long",
    ),
    "stab": Kind(
        ("head",),
        to=True,
        by=True,
        lasts=True,
        says="ends inside its own code, as it comes to a point for the by-th time; comes back",
    ),
    "drain": Kind(
        ("shelf",), lasts=True, says="the list says that it drains, and after that time that it is back"
    ),
    "still": Kind(("shelf",), lasts=True, says="takes commands and works on none"),
    "slow": Kind(("shelf",), by=True, lasts=True, says="works that many times as long"),
    "errors": Kind(("shelf",), by=True, lasts=True, says="that part of its answers are failures"),
    "late": Kind(("list",), by=True, lasts=True, says="its news is that many seconds later"),
    "refuse": Kind(("list",), lasts=True, says="answers nobody"),
    "surge": Kind(("volume",), by=True, lasts=True, says="asks for that many times its usual"),
    "connects": Kind(
        ("head", "shelf", "list"), by=True, lasts=True, says="takes that many seconds more to connect to"
    ),
    "disk": Kind(("head",), lasts=True, says="its files can't be written"),
    "wall": Kind(("head",), by=True, says="its wall clock jumps by so many seconds"),
    "term": Kind(
        ("head",),
        lasts=True,
        web=True,
        says="is told to end, by SIGTERM, ends in order and comes back after that time",
    ),
    "reload": Kind(("head",), web=True, says="is told, by SIGHUP, that discovery is at another address"),
    "spoil": Kind(
        ("shelf",),
        by=True,
        lasts=True,
        web=True,
        says="that part of its answers can't be used, though it ran",
    ),
    "lose": Kind(
        ("head",), by=True, lasts=True, fleet=True, says="that part of its datagrams, both ways, is lost"
    ),
    "starve": Kind(
        ("head",), by=True, lasts=True, fleet=True, says="does all that it does that many seconds late"
    ),
    "mute": Kind(
        PROCESSES,
        to=True,
        relay=True,
        says="connections of now stay open and carry nothing more that way; new ones do",
    ),
    "lag": Kind(
        ("head",), by=True, lasts=True, kept=True, says="each flush to its disk takes that many seconds more"
    ),
    "wipe": Kind(("head",), lasts=True, kept=True, says="is killed and its disk lost; comes back"),
    "older": Kind(
        ("head",),
        by=True,
        lasts=True,
        kept=True,
        says="is killed; comes back with its disk as it was that many seconds before",
    ),
    "rot": Kind(
        ("head",),
        lasts=True,
        kept=True,
        says="is killed, and half of its newest own records can't be read; comes back",
    ),
    "swap": Kind(
        ("head",), to=True, lasts=True, kept=True, says="both are killed and come back with each other's disk"
    ),
    "link": Kind(
        ("head",),
        by=True,
        lasts=True,
        branch=True,
        says="its branch's link is gone: both ways (by 0), what it sends (1), what it hears (2)",
    ),
    "rude": Kind(("head",), lasts=True, web=True, says="clients that send nonsense come to it"),
}


class BadScript(InvalidInputError):
    """Line and reason of each fault found."""

    action = "Correct the script's lines named; docs/faults.md lists what an act may be."


@dataclass(frozen=True, order=True)
class Act:
    """One fault. Whom: as 'head 0', 'list', 'client archive', 'room 1', 'volume 3'."""

    at: float
    kind: str
    whom: str
    to: str = ""
    both: bool = False
    by: float = 0.0
    seconds: float = 0.0

    @property
    def end(self) -> float:
        return self.at + self.seconds

    def __str__(self) -> str:
        parts = [f"{self.at:.3f}", self.kind, self.whom.replace(" ", "-")]
        if self.to:
            parts += ["<->" if self.both else "->", self.to.replace(" ", "-")]
        if KINDS[self.kind].by:
            parts += ["by", f"{self.by:g}"]
        if KINDS[self.kind].lasts:
            parts += ["for", f"{self.seconds:.3f}"]
        return " ".join(parts)


@dataclass(frozen=True)
class Clock:
    """How a process's monotonic clock differs: seconds, and seconds a second."""

    offset: float
    drift: float


@dataclass(frozen=True)
class Script:
    """A world to play. factor: times the plans' usual traffic; leaves: part of the reads whose client does
    not wait for the answer; volumes: only these ask for anything (empty: all of them)."""

    seed: int = 1
    heads: int = 3
    shelves: int = 6
    seconds: float = 12.0
    factor: float = 1.0
    leaves: float = 0.01
    acts: tuple[Act, ...] = ()
    clocks: dict[str, Clock] = field(default_factory=dict)
    volumes: tuple[int, ...] = ()

    def __str__(self) -> str:
        lines = [
            f"seed {self.seed}",
            f"heads {self.heads}",
            f"shelves {self.shelves}",
            f"seconds {self.seconds:g}",
            f"factor {self.factor:g}",
            f"leaves {self.leaves:g}",
        ]
        if self.volumes:
            lines.append("volumes " + " ".join(map(str, self.volumes)))
        lines += [
            f"clock {whom.replace(' ', '-')} {c.offset:+g} drift {c.drift:g}"
            for whom, c in sorted(self.clocks.items())
        ]
        lines += [str(act) for act in sorted(self.acts)]
        return "\n".join(lines) + "\n"


WHOLE = {"seed": 0, "heads": 1, "shelves": 1}  # settings that are whole numbers, and their least


def read_script(text: str) -> Script:
    """BadScript where a line can't be followed; all such lines are named."""
    faults: list[str] = []
    known: dict[str, float] = {}
    volumes: tuple[int, ...] = ()
    clocks: dict[str, Clock] = {}
    acts: list[Act] = []
    for number, raw in enumerate(text.splitlines(), 1):
        words = raw.split("#")[0].split()
        if not words:
            continue
        try:
            first = words[0]
            if first == "volumes":
                volumes = tuple(int(w) for w in words[1:])
            elif first == "clock":
                if len(words) != 5 or words[3] != "drift":
                    raise ValueError("a clock is: clock head-0 +SECONDS drift PART")
                clocks[_name(words[1], PROCESSES)] = Clock(float(words[2]), float(words[4]))
            elif first in ("seed", "heads", "shelves", "seconds", "factor", "leaves"):
                known[first] = _setting(first, words[1:])
            else:
                acts.append(_act(words))
        except ValueError as error:
            faults.append(f"line {number}: {error}")
    if faults:
        raise BadScript(faults)
    plain = Script()
    script = Script(
        int(known.get("seed", plain.seed)),
        int(known.get("heads", plain.heads)),
        int(known.get("shelves", plain.shelves)),
        known.get("seconds", plain.seconds),
        known.get("factor", plain.factor),
        known.get("leaves", plain.leaves),
        tuple(acts),
        clocks,
        volumes,
    )
    if faults := _beyond(script):
        raise BadScript(faults)
    return script


def _setting(name: str, words: list[str]) -> float:
    if len(words) != 1:
        raise ValueError(f"{name} takes one number")
    value = float(words[0])
    if name in WHOLE and (value != int(value) or value < WHOLE[name]):
        raise ValueError(f"{name} is a whole number, {WHOLE[name]} or more")
    if value < 0 or name == "leaves" and value > 1 or name == "seconds" and not 1 <= value <= 3600:
        raise ValueError(f"{name} {words[0]} is out of bounds")
    return value


def _name(word: str, permitted: tuple[str, ...]) -> str:
    kind, dash, which = word.partition("-")
    if kind not in permitted or (kind == "list") == bool(dash):
        raise ValueError(f"{word!r} is none of: {', '.join(permitted)}")
    if kind in ("head", "shelf", "room", "volume") and not which.isdigit():
        raise ValueError(f"{word!r} has no number")
    if kind == "point" and which not in POINTS + KEPT_POINTS:
        raise ValueError(f"{which!r} is no point; there are {', '.join(POINTS + KEPT_POINTS)}")
    return f"{kind} {which}" if dash else kind


def _others(kind: str) -> tuple[str, ...]:
    return ("point",) if kind == "stab" else (*PROCESSES, "room") if kind in ("cut", "mute") else PROCESSES


def _act(words: list[str]) -> Act:
    at = float(words[0])
    if len(words) < 3 or words[1] not in KINDS:
        raise ValueError(f"an act is: TIME KIND WHOM ...; kinds are {', '.join(KINDS)}")
    if at < 0:
        raise ValueError("a time is 0 or more")
    name, kind = words[1], KINDS[words[1]]
    whom, rest = _name(words[2], kind.strikes), words[3:]
    to, both, by, seconds = "", False, 0.0, 0.0
    if kind.to:
        if len(rest) < 2 or rest[0] not in ("->", "<->"):
            raise ValueError(f"{name} needs -> or <-> and whom")
        to, both, rest = _name(rest[1], _others(name)), rest[0] == "<->", rest[2:]
    if kind.by:
        if len(rest) < 2 or rest[0] != "by":
            raise ValueError(f"{name} needs 'by' and an amount")
        by, rest = float(rest[1]), rest[2:]
    if kind.lasts:
        if len(rest) < 2 or rest[0] != "for" or not 0 < float(rest[1]) <= 3600:
            raise ValueError(f"{name} needs 'for' and seconds")
        seconds, rest = float(rest[1]), rest[2:]
    if rest:
        raise ValueError(f"{name} does not take {' '.join(rest)!r}")
    return Act(at, name, whom, to, both, by, seconds)


def _beyond(script: Script) -> list[str]:
    """Acts on what the world does not have."""
    sizes = {"head": script.heads, "shelf": script.shelves}
    return [
        f"{act}: there is no {name}"
        for act in script.acts
        for name in (act.whom, act.to)
        if name.split(" ")[0] in sizes and int(name.split(" ")[1]) >= sizes[name.split(" ")[0]]
    ]
