"""Windows as files: a frame with length and CRC-32C round a protobuf message, so that what is cut short,
garbled, of another version or of another site is refused by name and the rest still counts."""

import struct

import google_crc32c
from google.protobuf.message import DecodeError

from gorsethread.errors import GorsethreadError
from gorsethread.latency_attribution import snapshot_pb2 as pb
from gorsethread.latency_attribution.sketch import Sketch
from gorsethread.latency_attribution.stages import STAGES
from gorsethread.latency_attribution.window import Blamed, Row, ShelfRow, Span, Window
from gorsethread.scheduling.model import RequestOutcome

MAGIC = b"GTACC"
VERSION = 1
FRAME = struct.Struct("<5sBII")  # magic, version, length and CRC-32C of the message
SUFFIX = ".acc"


class BadSnapshot(GorsethreadError):
    """Why a snapshot is refused."""

    action = "Leave that file out or fetch it again from its head; the other snapshots count without it."


def encode(site: str, window: Window) -> bytes:
    message = pb.Snapshot(site=site, remainders=window.remainders, disorders=window.disorders)
    for span in sorted(window.spans):
        message.span.add(head=span.head, life=span.life, start=span.start, end=span.end, last=span.last)
    for (volume, profile), row in sorted(window.rows.items()):
        _put_row(message.row.add(volume=volume, profile=profile), row)
    for profile, row in sorted(window.rest.items()):
        _put_row(message.rest.add(profile=profile), row)
    _put_sketch(message.lives, window.lives)
    _put_sketch(message.waited, window.waited)
    for (waiter, holder, shelf, stage), us in sorted(window.blame.items()):
        message.blame.add(waiter=waiter, holder=holder, shelf=shelf, stage=stage, us=us)
    for number, known in sorted(window.shelves.items()):
        entry = message.shelf.add(number=number, wait_us=known.wait_us, stalled_us=known.stalled_us)
        for order, (count, units, work_us) in sorted(known.classes.items()):
            getattr(entry, "class").add(order=order, count=count, units=units, work_us=work_us)
        for volume, units in sorted(known.units.items()):
            entry.units.add(volume=volume, units=units)
        for how, count in sorted(known.endings.items()):
            entry.ended.add(how=how, count=count)
    payload = message.SerializeToString(deterministic=True)
    return FRAME.pack(MAGIC, VERSION, len(payload), google_crc32c.value(payload)) + payload


def decode(raw: bytes, site: str) -> Window:
    """BadSnapshot with the reason. site: the name of the one whose snapshots are wanted."""
    if len(raw) < FRAME.size or raw[: len(MAGIC)] != MAGIC:
        raise BadSnapshot("is no snapshot of accounts" if raw[: len(MAGIC)] != MAGIC else "is cut short")
    _, version, length, crc = FRAME.unpack_from(raw)
    if version != VERSION:
        raise BadSnapshot(f"is of version {version}; this program reads version {VERSION}")
    payload = raw[FRAME.size :]
    if len(payload) < length:
        raise BadSnapshot(f"is cut short: {len(payload)} of {length} bytes")
    if len(payload) > length or google_crc32c.value(payload) != crc:
        raise BadSnapshot("is garbled: its checksum does not fit")
    message = pb.Snapshot()
    try:
        message.ParseFromString(payload)
    except DecodeError:
        raise BadSnapshot("holds no message") from None
    if message.site != site:
        raise BadSnapshot(f"is of site {message.site!r}, not {site!r}")
    return _window(message)


def _put_row(entry: pb.Row, row: Row) -> None:
    entry.lives, entry.late, entry.units, entry.life_us = row.lives, row.late, row.units, row.life_us
    entry.outcome.extend(row.outcomes)
    entry.stage.extend(row.stages)
    entry.bucket.extend(sorted(row.buckets))
    entry.count.extend(row.buckets[b] for b in sorted(row.buckets))
    entry.partly = row.partly


def _row(entry: pb.Row) -> Row:
    if (
        len(entry.outcome) != len(RequestOutcome)
        or len(entry.stage) != STAGES
        or len(entry.bucket) != len(entry.count)
    ):
        raise BadSnapshot("holds a row with other stages than this program's")
    return Row(
        entry.lives,
        entry.late,
        entry.units,
        entry.life_us,
        list(entry.outcome),
        list(entry.stage),
        dict(zip(entry.bucket, entry.count, strict=True)),
        entry.partly,
    )


def _put_sketch(entry: pb.Sketch, sketch: Sketch) -> None:
    if not sketch.total:
        return
    entry.total = sketch.total
    for cell, amount in enumerate(sketch.cells):
        if amount:
            entry.cell.append(cell)
            entry.amount.append(amount)


def _sketch(entry: pb.Sketch) -> Sketch:
    sketch = Sketch()
    sketch.total = entry.total
    for cell, amount in zip(entry.cell, entry.amount, strict=True):
        if cell >= len(sketch.cells):
            raise BadSnapshot("holds a sketch of another width")
        sketch.cells[cell] = amount
    return sketch


def _window(message: pb.Snapshot) -> Window:
    window = Window()
    window.remainders, window.disorders = message.remainders, message.disorders
    window.spans = {Span(s.head, s.life, s.start, s.end, s.last) for s in message.span}
    window.rows = {(r.volume, r.profile): _row(r) for r in message.row}
    window.rest = {r.profile: _row(r) for r in message.rest}
    window.lives, window.waited = _sketch(message.lives), _sketch(message.waited)
    window.blame = {Blamed(b.waiter, b.holder, b.shelf, b.stage): b.us for b in message.blame}
    window.shelves = {
        s.number: ShelfRow(
            {c.order: [c.count, c.units, c.work_us] for c in getattr(s, "class")},
            {u.volume: u.units for u in s.units},
            {e.how: e.count for e in s.ended},
            s.wait_us,
            s.stalled_us,
        )
        for s in message.shelf
    }
    return window
