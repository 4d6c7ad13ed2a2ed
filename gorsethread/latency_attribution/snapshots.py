"""Encodes windows as files: a frame with a length and a CRC-32C around a protobuf message.

A file that is truncated, corrupted, or of another version or site is refused with the reason; the other files
still count.
"""

import struct

import google_crc32c
from google.protobuf.message import DecodeError

from gorsethread.errors import GorsethreadError
from gorsethread.latency_attribution import snapshot_pb2 as pb
from gorsethread.latency_attribution.sketch import Sketch
from gorsethread.latency_attribution.stages import STAGES
from gorsethread.latency_attribution.window import BackendRow, BlameKey, Row, Span, Window
from gorsethread.scheduling.model import RequestOutcome

MAGIC = b"GTACC"
VERSION = 1
FRAME = struct.Struct("<5sBII")  # magic, version, length and CRC-32C of the message
SUFFIX = ".acc"


class BadSnapshot(GorsethreadError):
    """A snapshot file was refused; the text is the reason."""

    action = "Leave the file out, or copy it again from its gateway; the other snapshots are used without it."


def encode(site: str, window: Window) -> bytes:
    """Returns a window as the contents of a snapshot file."""
    message = pb.Snapshot(site=site, remainders=window.remainders, disorders=window.disorders)
    for span in sorted(window.spans):
        message.span.add(
            head=span.gateway, life=span.incarnation, start=span.start, end=span.end, last=span.last
        )
    for (volume, request_class), row in sorted(window.rows.items()):
        _put_row(message.row.add(volume=volume, profile=request_class), row)
    for request_class, row in sorted(window.rest.items()):
        _put_row(message.rest.add(profile=request_class), row)
    _put_sketch(message.lives, window.rest_requests)
    _put_sketch(message.waited, window.rest_waits)
    for (waiter, holder, backend, stage), us in sorted(window.blame.items()):
        message.blame.add(waiter=waiter, holder=holder, shelf=backend, stage=stage, us=us)
    for number, backend_row in sorted(window.backends.items()):
        entry = message.shelf.add(
            number=number, wait_us=backend_row.wait_us, stalled_us=backend_row.stalled_us
        )
        for order, (count, units, work_us) in sorted(backend_row.classes.items()):
            getattr(entry, "class").add(order=order, count=count, units=units, work_us=work_us)
        for volume, units in sorted(backend_row.units.items()):
            entry.units.add(volume=volume, units=units)
        for how, count in sorted(backend_row.endings.items()):
            entry.ended.add(how=how, count=count)
    payload = message.SerializeToString(deterministic=True)
    return FRAME.pack(MAGIC, VERSION, len(payload), google_crc32c.value(payload)) + payload


def decode(raw: bytes, site: str) -> Window:
    """Returns the window of a snapshot file; raises BadSnapshot if it can't be used or is of another site."""
    if len(raw) < FRAME.size or raw[: len(MAGIC)] != MAGIC:
        raise BadSnapshot(
            "is not a snapshot of latency accounts" if raw[: len(MAGIC)] != MAGIC else "is truncated"
        )
    _, version, length, crc = FRAME.unpack_from(raw)
    if version != VERSION:
        raise BadSnapshot(f"is of version {version}; this program reads version {VERSION}")
    payload = raw[FRAME.size :]
    if len(payload) < length:
        raise BadSnapshot(f"is truncated: has {len(payload)} of {length} bytes")
    if len(payload) > length or google_crc32c.value(payload) != crc:
        raise BadSnapshot("is corrupted: its checksum does not match")
    message = pb.Snapshot()
    try:
        message.ParseFromString(payload)
    except DecodeError:
        raise BadSnapshot("does not contain a snapshot message") from None
    if message.site != site:
        raise BadSnapshot(f"is of site {message.site!r}, not {site!r}")
    return _window(message)


def _put_row(entry: pb.Row, row: Row) -> None:
    entry.lives, entry.late = row.requests, row.late
    entry.units, entry.life_us = row.units, row.duration_us
    entry.outcome.extend(row.outcomes)
    entry.stage.extend(row.stages)
    entry.bucket.extend(sorted(row.buckets))
    entry.count.extend(row.buckets[b] for b in sorted(row.buckets))
    entry.partly = row.partial


def _row(entry: pb.Row) -> Row:
    if (
        len(entry.outcome) != len(RequestOutcome)
        or len(entry.stage) != STAGES
        or len(entry.bucket) != len(entry.count)
    ):
        raise BadSnapshot("contains a row whose outcomes, stages or buckets this version can't read")
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
            raise BadSnapshot("contains a sketch of another size")
        sketch.cells[cell] = amount
    return sketch


def _window(message: pb.Snapshot) -> Window:
    window = Window()
    window.remainders, window.disorders = message.remainders, message.disorders
    window.spans = {Span(s.head, s.life, s.start, s.end, s.last) for s in message.span}
    window.rows = {(r.volume, r.profile): _row(r) for r in message.row}
    window.rest = {r.profile: _row(r) for r in message.rest}
    window.rest_requests, window.rest_waits = _sketch(message.lives), _sketch(message.waited)
    window.blame = {BlameKey(b.waiter, b.holder, b.shelf, b.stage): b.us for b in message.blame}
    window.backends = {
        s.number: BackendRow(
            {c.order: [c.count, c.units, c.work_us] for c in getattr(s, "class")},
            {u.volume: u.units for u in s.units},
            {e.how: e.count for e in s.ended},
            s.wait_us,
            s.stalled_us,
        )
        for s in message.shelf
    }
    return window
