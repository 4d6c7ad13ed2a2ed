"""Records as bytes: a segment is a head's identity, all that held as it was begun, and what came since.

A frame is mark, length, check sum, payload. The sum also covers who the segment belongs to, so a frame of
another head's or another segment's, left where a disk put it, is not taken for one of this. Frames are found
again behind rotten bytes by their mark. What a reader of this version can't know it refuses whole.
"""

import struct
from dataclasses import dataclass, field

import google_crc32c
import msgspec

from gorsethread.durable_log.records import Fact, Record, SequenceNumber
from gorsethread.errors import GorsethreadError

VERSION = 1
MARK = b"\xa7\x5e"
HEAD = struct.Struct("<2sII")  # mark, bytes of payload, check sum
PAYLOAD_MOST = 2 << 20  # bytes; most records have some tens, a branch's write has 1 MiB of data at most


class Unusable(GorsethreadError):
    """A segment that this program must not touch; the text says why."""

    action = "Give the head its own folder, or run the version of the program that wrote this one."


class Begin(msgspec.Struct, frozen=True, array_like=True):
    """version comes first for ever. place: the last that this life had given. whole: how many frames of what
    held follow; then comes what is new. copied: kept for another head, which sends only what still holds, so
    numbers have holes. holes: what held then is known to lack something that the head once kept."""

    version: int
    fleet: int
    head: int
    life: int
    segment: int
    place: int
    whole: int
    copied: bool = False
    holes: bool = False


class Entry(msgspec.Struct, frozen=True, array_like=True):
    life: int
    place: int
    fact: Fact


_ENTRY: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)
_ENCODER = msgspec.msgpack.Encoder()


def seed_of(fleet: int, head: int, life: int, segment: int) -> int:
    return int(google_crc32c.value(struct.pack("<QQQQ", fleet, head, life, segment)))


def _frame(payload: bytes, seed: int) -> bytes:
    return HEAD.pack(MARK, len(payload), google_crc32c.extend(seed, payload)) + payload


def begun(begin: Begin, records: list[Record]) -> bytes:
    """A new segment's bytes, with what holds."""
    seed = seed_of(begin.fleet, begin.head, begin.life, begin.segment)
    return _frame(_ENCODER.encode(begin), 0) + b"".join(framed(r, seed) for r in records)


def framed(record: Record, seed: int) -> bytes:
    return _frame(_ENCODER.encode(Entry(*record.number, record.fact)), seed)


@dataclass
class Segment:
    """What can be read of one. torn: bytes at its end that are no whole frame, as a kill leaves them. rotten:
    stretches (from, to) with whole frames behind them. missing: of what held at its begin, how many frames
    are not there. gaps: numbers given since its begin that are not there, first and last of each."""

    begin: Begin
    records: list[Record] = field(default_factory=list)
    torn: int = 0
    rotten: list[tuple[int, int]] = field(default_factory=list)
    missing: int = 0
    gaps: list[tuple[SequenceNumber, SequenceNumber]] = field(default_factory=list)

    @property
    def whole(self) -> bool:
        return not (self.rotten or self.missing or self.gaps)


def _payload(data: bytes, at: int, seed: int) -> bytes | None:
    """Of the frame that begins there; None where there is no good one."""
    if len(data) - at < HEAD.size:
        return None
    mark, length, said = HEAD.unpack_from(data, at)
    if mark != MARK or length > PAYLOAD_MOST or at + HEAD.size + length > len(data):
        return None
    payload = data[at + HEAD.size : at + HEAD.size + length]
    return payload if google_crc32c.extend(seed, payload) == said else None


def read(data: bytes) -> Segment | None:
    """None where its identity can't be read, so that nothing of it can be trusted. Raises Unusable where a
    later version wrote it."""
    first = _payload(data, 0, 0)
    if first is None:
        return None
    try:
        version = msgspec.msgpack.decode(first)[0]
        if version != VERSION:
            raise Unusable(f"format version {version}; this program knows {VERSION}")
        begin: Begin = msgspec.msgpack.decode(first, type=Begin)
    except (msgspec.DecodeError, IndexError, KeyError, TypeError):
        return None
    found = Segment(begin)
    seed = seed_of(begin.fleet, begin.head, begin.life, begin.segment)
    at = HEAD.size + len(first)
    bad = -1  # where what can't be read began
    while at < len(data):
        payload = _payload(data, at, seed)
        entry = _entry(payload) if payload is not None else None
        if payload is None or entry is None:
            bad = at if bad < 0 else bad
            at = data.find(MARK, at + 1)
            if at < 0:
                break
            continue
        if bad >= 0:
            found.rotten.append((bad, at))
            bad = -1
        found.records.append(entry)
        at += HEAD.size + len(payload)
    if bad >= 0:
        found.torn = len(data) - bad
    _count(found)
    return found


def _entry(payload: bytes) -> Record | None:
    try:
        e = _ENTRY.decode(payload)
    except (msgspec.DecodeError, ValueError):
        return None
    return Record((e.life, e.place), e.fact)


def _count(found: Segment) -> None:
    """What came since the begin is told from what held then by its number: those follow without a hole."""
    last = found.begin.life, found.begin.place
    held, expected = 0, found.begin.place + 1
    for (life, place), _ in found.records:
        if (life, place) <= last:
            held += 1
            continue
        if place > expected and not found.begin.copied:
            found.gaps.append(((life, expected), (life, place - 1)))
        expected = max(expected, place + 1)
    found.missing = max(0, found.begin.whole - held)
