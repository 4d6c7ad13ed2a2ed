"""Reads and writes fault scripts: plain text, one setting or act per line, so that a person can write one.

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

In a script a head is a gateway, a shelf a backend, the list the discovery server and a room a zone. Times are
seconds since the clients started to send; '#' starts a comment.
"""

from dataclasses import dataclass, field

from gorsethread.errors import InvalidInputError

PROCESSES = ("head", "shelf", "list", "client")
# Points in a gateway's code: it admits a request, sends an attempt, rejects a request, fails a request,
# handles the end of an attempt, passes on a report of the endpoint list or of its peers, finishes a batch.
CODE_POINTS = ("take", "forward", "push_back", "give_up", "ended", "listed", "work")
# Points that only gateways with a durable log have: a placement is handed to the disk, it is flushed, its
# result is reported, records are fetched from another gateway, a replica is greeted, a new segment is in use.
DURABLE_LOG_POINTS = ("promise", "flushed", "held", "given", "greeted", "segment")


@dataclass(frozen=True)
class ActKind:
    """The parties that a kind of act can strike, and the arguments it needs besides time and target."""

    targets: tuple[str, ...]
    has_peer: bool = False  # a second party
    has_amount: bool = False  # a number
    lasts: bool = False  # a duration
    effect: str = ""
    http_only: bool = False  # only for HTTP gateways
    membership_only: bool = False  # only for simulations of the membership view
    relay_only: bool = False  # only for real processes, through the harness's relay
    durable_log_only: bool = False  # only for gateways with a durable log
    branch_only: bool = False  # only for gateways of a branch


ACT_KINDS = {
    "kill": ActKind(
        ("head", "shelf", "list"), lasts=True, effect="ends without warning; restarts after that time"
    ),
    "vanish": ActKind(
        ("head", "shelf"),
        lasts=True,
        effect="its machine is lost and peers get no notice; restarts after that time",
    ),
    "pause": ActKind(
        ("head", "shelf", "list"),
        lasts=True,
        effect="is stopped; then does at once all that fell due meanwhile",
    ),
    "cut": ActKind(
        (*PROCESSES, "room"),
        has_peer=True,
        lasts=True,
        effect="no data gets through in that direction (->), or in both (<->)",
    ),
    "reset": ActKind(PROCESSES, has_peer=True, effect="their connections break, data on its way is lost"),
    "crash": ActKind(
        ("head", "shelf"),
        has_peer=True,
        has_amount=True,
        lasts=True,
        effect="ends as the by-th message of the other arrives, if that is within the time; "
        "restarts after as long",
    ),
    "stab": ActKind(
        ("head",),
        has_peer=True,
        has_amount=True,
        lasts=True,
        effect="ends itself as it reaches a point of its code for the by-th time; restarts",
    ),
    "drain": ActKind(
        ("shelf",), lasts=True, effect="the list reports it as draining, and after that time as ready again"
    ),
    "still": ActKind(("shelf",), lasts=True, effect="accepts commands and works on none"),
    "slow": ActKind(
        ("shelf",), has_amount=True, lasts=True, effect="takes that many times as long per command"
    ),
    "errors": ActKind(
        ("shelf",), has_amount=True, lasts=True, effect="that fraction of its responses are errors"
    ),
    "late": ActKind(("list",), has_amount=True, lasts=True, effect="its updates are that many seconds later"),
    "refuse": ActKind(("list",), lasts=True, effect="responds to nobody"),
    "surge": ActKind(
        ("volume",), has_amount=True, lasts=True, effect="gets that many times its usual traffic"
    ),
    "connects": ActKind(
        ("head", "shelf", "list"),
        has_amount=True,
        lasts=True,
        effect="connections to it take that many seconds longer to open",
    ),
    "disk": ActKind(("head",), lasts=True, effect="its files can't be written"),
    "wall": ActKind(("head",), has_amount=True, effect="its wall clock jumps by that many seconds"),
    "term": ActKind(
        ("head",),
        lasts=True,
        http_only=True,
        effect="gets SIGTERM, shuts down gracefully and restarts after that time",
    ),
    "reload": ActKind(
        ("head",), http_only=True, effect="gets SIGHUP with another address of the discovery server"
    ),
    "spoil": ActKind(
        ("shelf",),
        has_amount=True,
        lasts=True,
        http_only=True,
        effect="that fraction of its responses are unusable, though the request ran",
    ),
    "lose": ActKind(
        ("head",),
        has_amount=True,
        lasts=True,
        membership_only=True,
        effect="that fraction of its datagrams, in both directions, is lost",
    ),
    "starve": ActKind(
        ("head",),
        has_amount=True,
        lasts=True,
        membership_only=True,
        effect="does everything that many seconds late",
    ),
    "mute": ActKind(
        PROCESSES,
        has_peer=True,
        relay_only=True,
        effect="open connections stay open and carry no more data that way; new ones do",
    ),
    "lag": ActKind(
        ("head",),
        has_amount=True,
        lasts=True,
        durable_log_only=True,
        effect="each flush to its disk takes that many seconds longer",
    ),
    "wipe": ActKind(
        ("head",), lasts=True, durable_log_only=True, effect="is killed and its disk lost; restarts"
    ),
    "older": ActKind(
        ("head",),
        has_amount=True,
        lasts=True,
        durable_log_only=True,
        effect="is killed; restarts with its disk as it was that many seconds before",
    ),
    "rot": ActKind(
        ("head",),
        lasts=True,
        durable_log_only=True,
        effect="is killed, and half of its newest own records become unreadable; restarts",
    ),
    "swap": ActKind(
        ("head",),
        has_peer=True,
        lasts=True,
        durable_log_only=True,
        effect="both are killed and restart with each other's disk",
    ),
    "link": ActKind(
        ("head",),
        has_amount=True,
        lasts=True,
        branch_only=True,
        effect="its branch's link is cut: both ways (by 0), what it sends (1), what it receives (2)",
    ),
    "rude": ActKind(("head",), lasts=True, http_only=True, effect="clients send it malformed requests"),
}


class InvalidScriptError(InvalidInputError):
    """A script has lines that can't be used; `faults` gives the line and the reason of each."""

    action = "Correct the lines of the script that are named; docs/faults.md lists the acts."


@dataclass(frozen=True, order=True)
class Act:
    """One fault of a script. Acts sort by time.

    Attributes:
        at: Seconds since the clients started to send.
        kind: Key of ACT_KINDS.
        target: The party struck: 'head 0', 'list', 'client archive', 'room 1' or 'volume 3'.
        to: The second party, or for a stab the point, as 'point take'; empty where the kind has none.
        both_ways: Whether the act holds for both directions between the two parties.
        amount: The number after 'by'; its meaning depends on the kind.
        seconds: The duration, after 'for'.
    """

    at: float
    kind: str
    target: str
    to: str = ""
    both_ways: bool = False
    amount: float = 0.0
    seconds: float = 0.0

    @property
    def end(self) -> float:
        return self.at + self.seconds

    def __str__(self) -> str:
        parts = [f"{self.at:.3f}", self.kind, self.target.replace(" ", "-")]
        if self.to:
            parts += ["<->" if self.both_ways else "->", self.to.replace(" ", "-")]
        if ACT_KINDS[self.kind].has_amount:
            parts += ["by", f"{self.amount:g}"]
        if ACT_KINDS[self.kind].lasts:
            parts += ["for", f"{self.seconds:.3f}"]
        return " ".join(parts)


@dataclass(frozen=True)
class Clock:
    """The error of a process's monotonic clock: an offset in seconds and a drift in seconds per second."""

    offset: float
    drift: float


@dataclass(frozen=True)
class Script:
    """The settings and acts of one simulation run. Its field names are the setting names of the text.

    Attributes:
        factor: Traffic as a multiple of what the service tiers usually get.
        leaves: Fraction of the reads whose client does not wait for the response.
        volumes: Only these volumes get traffic; empty means all.
        clocks: Clock errors by process; a process that is missing has none.
    """

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
            f"clock {process.replace(' ', '-')} {clock.offset:+g} drift {clock.drift:g}"
            for process, clock in sorted(self.clocks.items())
        ]
        lines += [str(act) for act in sorted(self.acts)]
        return "\n".join(lines) + "\n"


INTEGER_MINIMUMS = {"seed": 0, "heads": 1, "shelves": 1}  # integer settings and their minimum


def read_script(text: str) -> Script:
    """Parses a script; raises InvalidScriptError that names every line that can't be used."""
    faults: list[str] = []
    settings: dict[str, float] = {}
    volumes: tuple[int, ...] = ()
    clocks: dict[str, Clock] = {}
    acts: list[Act] = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        try:
            first = words[0]
            if first == "volumes":
                volumes = tuple(int(word) for word in words[1:])
            elif first == "clock":
                if len(words) != 5 or words[3] != "drift":
                    raise ValueError("a clock line has the form: clock head-0 +SECONDS drift FRACTION")
                clocks[_party(words[1], PROCESSES)] = Clock(float(words[2]), float(words[4]))
            elif first in ("seed", "heads", "shelves", "seconds", "factor", "leaves"):
                settings[first] = _setting(first, words[1:])
            else:
                acts.append(_act(words))
        except ValueError as error:
            faults.append(f"line {number}: {error}")
    if faults:
        raise InvalidScriptError(faults)
    defaults = Script()
    script = Script(
        int(settings.get("seed", defaults.seed)),
        int(settings.get("heads", defaults.heads)),
        int(settings.get("shelves", defaults.shelves)),
        settings.get("seconds", defaults.seconds),
        settings.get("factor", defaults.factor),
        settings.get("leaves", defaults.leaves),
        tuple(acts),
        clocks,
        volumes,
    )
    if faults := _unknown_parties(script):
        raise InvalidScriptError(faults)
    return script


def _setting(name: str, words: list[str]) -> float:
    """Parses the value of a setting; raises ValueError if it is not one number within its bounds."""
    if len(words) != 1:
        raise ValueError(f"{name} takes one number")
    value = float(words[0])
    if name in INTEGER_MINIMUMS and (value != int(value) or value < INTEGER_MINIMUMS[name]):
        raise ValueError(f"{name} is a whole number, {INTEGER_MINIMUMS[name]} or more")
    if value < 0 or name == "leaves" and value > 1 or name == "seconds" and not 1 <= value <= 3600:
        raise ValueError(f"{name} {words[0]} is out of bounds")
    return value


def _party(word: str, permitted: tuple[str, ...]) -> str:
    """Converts a party's name from the text's form, 'head-0', to an act's form, 'head 0'.

    Raises ValueError unless its kind is one of `permitted` and it names one party of that kind.
    """
    kind, dash, which = word.partition("-")
    if kind not in permitted or (kind == "list") == bool(dash):
        raise ValueError(f"{word!r} is not one of: {', '.join(permitted)}")
    if kind in ("head", "shelf", "room", "volume") and not which.isdigit():
        raise ValueError(f"{word!r} has no number")
    if kind == "point" and which not in CODE_POINTS + DURABLE_LOG_POINTS:
        raise ValueError(f"{which!r} is not a point; they are {', '.join(CODE_POINTS + DURABLE_LOG_POINTS)}")
    return f"{kind} {which}" if dash else kind


def _second_parties(kind: str) -> tuple[str, ...]:
    """The kinds of party that may follow the arrow of such an act."""
    return ("point",) if kind == "stab" else (*PROCESSES, "room") if kind in ("cut", "mute") else PROCESSES


def _act(words: list[str]) -> Act:
    """Parses the words of one act; raises ValueError if they don't fit its kind."""
    at = float(words[0])
    if len(words) < 3 or words[1] not in ACT_KINDS:
        raise ValueError(f"an act has the form: TIME KIND TARGET ...; kinds are {', '.join(ACT_KINDS)}")
    if at < 0:
        raise ValueError("a time must be 0 or more")
    name, kind = words[1], ACT_KINDS[words[1]]
    target, rest = _party(words[2], kind.targets), words[3:]
    to, both_ways, amount, seconds = "", False, 0.0, 0.0
    if kind.has_peer:
        if len(rest) < 2 or rest[0] not in ("->", "<->"):
            raise ValueError(f"{name} needs -> or <-> and a second party")
        to, both_ways, rest = _party(rest[1], _second_parties(name)), rest[0] == "<->", rest[2:]
    if kind.has_amount:
        if len(rest) < 2 or rest[0] != "by":
            raise ValueError(f"{name} needs 'by' and an amount")
        amount, rest = float(rest[1]), rest[2:]
    if kind.lasts:
        if len(rest) < 2 or rest[0] != "for" or not 0 < float(rest[1]) <= 3600:
            raise ValueError(f"{name} needs 'for' and seconds")
        seconds, rest = float(rest[1]), rest[2:]
    if rest:
        raise ValueError(f"{name} does not take {' '.join(rest)!r}")
    return Act(at, name, target, to, both_ways, amount, seconds)


def _unknown_parties(script: Script) -> list[str]:
    """Returns a message for each act that names a gateway or a backend that the script does not have."""
    sizes = {"head": script.heads, "shelf": script.shelves}
    return [
        f"{act}: there is no {name}"
        for act in script.acts
        for name in (act.target, act.to)
        if name.split(" ")[0] in sizes and int(name.split(" ")[1]) >= sizes[name.split(" ")[0]]
    ]
