"""What a folder still holds of a head: its segments read and put together. No I/O.

The newest segment begins with all that held as its making began, so where it is whole no more of the one
before is used than what was flushed to it since, which a kill may have kept from being moved; where it is
not whole, the others fill in what they can. What is lost all the same is said, as only others' copies can
bring it.
"""

from dataclasses import dataclass, field

from gorsethread.durable_log.records import RecordTable
from gorsethread.durable_log.segments import Segment, Unusable, read

SUFFIX = ".seg"
LOCK = "lock"
ACCEPTED = "accepted"  # a person's word that what is lost is lost: gorsethread records accept


class NotItsOwn(Unusable):
    """The folder is another head's, or another fleet's."""

    action = "Give each head the folder that it had before; two may have been exchanged."


def name_of(life: int, segment: int) -> str:
    return f"{life:016x}-{segment:08x}{SUFFIX}"


def place_of(name: str) -> tuple[int, int] | None:
    """Life and segment by a file's name; None for a file that is no segment."""
    life, _, segment = name.removesuffix(SUFFIX).partition("-")
    if not name.endswith(SUFFIX) or len(life) != 16 or len(segment) != 8:
        return None
    try:
        return int(life, 16), int(segment, 16)
    except ValueError:
        return None


@dataclass
class Recovered:
    """whole: nothing that this folder held is known to be lost. empty: there was nothing in it. faults: a
    line each, for people. highest: life and segment of the newest file, also of one that can't be read."""

    table: RecordTable = field(default_factory=RecordTable)
    whole: bool = True
    empty: bool = True
    highest: tuple[int, int] = (0, 0)
    faults: list[str] = field(default_factory=list)
    torn: int = 0  # bytes at segments' ends, as a kill leaves them: no fault
    segments: list[tuple[str, Segment | None]] = field(default_factory=list)


def recover(files: dict[str, bytes], fleet: int | None, head: int | None) -> Recovered:
    """files: all of the folder by their names. fleet, head: whose it must be; None: whoever's. NotItsOwn and
    Unusable where the head must not start on it."""
    r = Recovered()
    named = sorted((place, name) for name in files if (place := place_of(name)) is not None)
    for place, name in reversed(named):
        r.highest, r.empty = max(r.highest, place), False
        s = read(files[name])
        r.segments.append((name, s))
        if s is None:
            r.faults.append(f"{name}: its begin can't be read")
            continue
        _check(s, name, place, fleet, head)
        r.torn += s.torn
        r.faults += [f"{name}: bytes {a} to {b} can't be read" for a, b in s.rotten]
        if s.missing:
            r.faults.append(f"{name}: {s.missing} of the {s.begin.whole} records it began with are not there")
        r.faults += [f"{name}: records {a[1]} to {b[1]} of life {a[0]} are not there" for a, b in s.gaps]
    newest = r.segments[0][1] if r.segments else None
    for n, (_, s) in enumerate(r.segments):  # newest first
        if s is None:
            continue
        r.table.merge(
            RecordTable(
                x
                for x in s.records
                if n == 0
                or newest is None
                or not newest.whole
                or x.number > (newest.begin.life, newest.begin.place)
            )
        )
        if not s.begin.copied:  # of a copy, what was before the begin may not have come yet
            r.table.last = max(r.table.last, (s.begin.life, s.begin.place))
    # Of older segments nobody knows what was freed or replaced by what was lost since.
    r.whole = bool(r.empty or newest is not None and newest.whole and not newest.begin.holes)
    if newest is not None and r.whole and len(r.segments) > 1:
        begin, before = newest.begin, r.segments[1][1]
        taken_over = any(x.number > (begin.life, begin.place) for x in newest.records)
        same_life = place_of(r.segments[1][0]) == (begin.life, begin.segment - 1)
        # Its own part of what was flushed meanwhile may be what rotted.
        r.whole = taken_over or not same_life or before is not None and before.whole
    if newest is not None and newest.begin.holes:
        r.faults.append(f"{r.segments[0][0]}: what it began with was known to lack something")
    return r


def _check(s: Segment, name: str, place: tuple[int, int], fleet: int | None, head: int | None) -> None:
    b = s.begin
    if fleet is not None and b.fleet != fleet:
        raise NotItsOwn(f"{name}: written for another site ({b.fleet}, not {fleet})")
    if head is not None and b.head != head:
        raise NotItsOwn(f"{name}: written by head {b.head}, not {head}")
    if (b.life, b.segment) != place:
        raise NotItsOwn(f"{name}: holds segment {b.segment} of life {b.life}")
