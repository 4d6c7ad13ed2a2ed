"""The codec: any split of the stream, field offsets as published, what a malformed PDU ends in."""

import struct
import unittest
from typing import Any

import google_crc32c
from hypothesis import given, settings
from hypothesis import strategies as st

from gorsethread.nvme.command import (
    Command,
    Completion,
    Opcode,
    Status,
    connect,
    io_command,
    unpack_command,
    unpack_completion,
)
from gorsethread.nvme.controller_queue import ControllerQueue
from gorsethread.nvme.host_queue import HostQueue
from gorsethread.nvme.pdu import (
    TO_CONTROLLER,
    TO_HOST,
    Decoder,
    Encoder,
    FatalError,
    Malformed,
    PduType,
    initialize,
)

MOST = 65536
u16, u32, u64 = (st.integers(0, 2**bits - 1) for bits in (16, 32, 64))


class Pair:
    """A host queue and a controller queue joined by bytes, split as a test says."""

    def __init__(self, digests: bool, split: int, size: int = 16) -> None:
        self.to_host, self.to_controller = bytearray(), bytearray()
        self.taken: list[tuple[Command, bytes]] = []
        self.done: list[tuple[Completion, bytes]] = []
        self.ended: list[str] = []
        self.split = split
        self.controller = ControllerQueue(
            self.to_host.extend,
            lambda c: True,
            lambda c, d: self.taken.append((c, d)),
            self.ended.append,
            1 << 20,
        )
        self.controller.size = size
        self.host = HostQueue(self.to_controller.extend, lambda: None, self.ended.append, size, digests)

    def carry(self) -> None:
        while self.to_host or self.to_controller:
            for held, side in ((self.to_controller, self.controller), (self.to_host, self.host)):
                data = bytes(held)
                held.clear()
                for at in range(0, len(data), self.split):
                    side.feed(data[at : at + self.split])

    def submit(self, command: Command, data: bytes = b"", read: int = 0) -> None:
        self.host.submit(command, lambda c, d: self.done.append((c, d)), data, read)


class Layout(unittest.TestCase):
    def test_submission_entry_as_published(self) -> None:
        raw = io_command(
            Opcode.WRITE, 7, 0x123456789, 3, hints=0x10, client_timeout=1.5, attempt=1, label=99
        ).pack()
        self.assertEqual(64, len(raw))
        self.assertEqual((1, 7), (raw[0], struct.unpack_from("<I", raw, 4)[0]))
        self.assertEqual(0x123456789, struct.unpack_from("<Q", raw, 40)[0], "SLBA, bytes 47:40")
        self.assertEqual(2, struct.unpack_from("<H", raw, 48)[0], "NLB is 0's based, bytes 49:48")
        self.assertEqual(0x10, raw[52], "DSM, byte 52")
        self.assertEqual(0x40, raw[1] & 0xC0, "PSDT: SGL")

    def test_connect_as_published(self) -> None:
        raw = connect(3, 32, 5.0).pack()
        self.assertEqual((0x7F, 1), (raw[0], raw[4]))
        self.assertEqual((0, 3, 31), struct.unpack_from("<HHH", raw, 40))
        self.assertEqual(5000, struct.unpack_from("<I", raw, 48)[0])

    def test_completion_as_published(self) -> None:
        raw = Completion(9, Status.COMMAND_INTERRUPTED, False, 2, sq_head=4, queue=1).pack()
        field = struct.unpack_from("<H", raw, 14)[0]
        self.assertEqual((4, 1, 9), struct.unpack_from("<HHH", raw, 8))
        self.assertEqual((0x21, 0, 2, 0), (field >> 1 & 0xFF, field >> 9 & 7, field >> 12 & 3, field >> 15))

    def test_icreq_as_published(self) -> None:
        raw = initialize(PduType.IC_REQ, True, True, 0)
        self.assertEqual((128, 0, 0, 128, 0, 128, 3), (len(raw), *struct.unpack_from("<BBBBI", raw), raw[11]))

    def test_capsule_with_digests_as_published(self) -> None:
        encoder = Encoder()
        encoder.header_digest = encoder.data_digest = True
        raw = encoder.capsule_cmd(bytes(64), b"x" * 512)
        self.assertEqual((4, 3, 72, 76, 76 + 512 + 4), struct.unpack_from("<BBBBI", raw))
        self.assertEqual(google_crc32c.value(raw[:72]), struct.unpack_from("<I", raw, 72)[0])
        self.assertEqual(google_crc32c.value(b"x" * 512), struct.unpack_from("<I", raw, 588)[0])

    @given(u16, u32, u32, u32, u64, u32, u32)
    def test_submission_entries_come_back(
        self, cid: int, nsid: int, two: int, three: int, meta: int, ten: int, twelve: int
    ) -> None:
        command = Command(2, cid, nsid, two, three, meta, cdw10=ten, cdw12=twelve)
        self.assertEqual(command, unpack_command(command.pack()))

    @given(u16, st.integers(0, 0x7FF), st.booleans(), st.integers(0, 3), u32, u32)
    def test_completions_come_back(
        self, cid: int, status: int, do_not_retry: bool, retry: int, a: int, b: int
    ) -> None:
        completion = Completion(cid, status, do_not_retry, retry, a, b, 5, 1)
        self.assertEqual(completion, unpack_completion(completion.pack()))


class Streams(unittest.TestCase):
    @settings(deadline=None, max_examples=60)
    @given(st.booleans(), st.integers(1, 9000), st.lists(st.integers(1, 40000), min_size=1, max_size=5))
    def test_any_split_carries_reads_and_writes(self, digests: bool, split: int, sizes: list[int]) -> None:
        pair = Pair(digests, split)
        pair.carry()
        for n, size in enumerate(sizes):
            pair.submit(Command(1, nsid=n), bytes([n + 1]) * size)
            pair.submit(Command(2, nsid=n), read=size)
        pair.carry()
        self.assertEqual(2 * len(sizes), len(pair.taken))
        for command, data in pair.taken:
            if command.opcode == 1:
                self.assertEqual(bytes([command.nsid + 1]) * sizes[command.nsid], data)
            answer = b"" if data else bytes([command.nsid + 9]) * sizes[command.nsid]
            pair.controller.respond(Completion(command.cid), answer)
        pair.carry()
        self.assertEqual(sorted([0] * len(sizes) + sizes), sorted(len(d) for _, d in pair.done))
        self.assertEqual([], pair.ended)

    @settings(deadline=None, max_examples=200)
    @given(st.binary(max_size=400), st.integers(1, 50), st.booleans())
    def test_garbage_ends_in_a_term_request_or_waits(self, garbage: bytes, split: int, started: bool) -> None:
        pair = Pair(False, 4096)
        if started:
            pair.carry()
        pair.to_host.clear()
        for at in range(0, len(garbage), split):
            pair.controller.feed(garbage[at : at + split])
        if pair.controller.closed and pair.to_host:
            last = bytes(pair.to_host)
            self.assertIn(last[0], (PduType.IC_RESP, PduType.C2H_TERM, PduType.CAPSULE_RESP, PduType.R2T))
        self.assertLess(len(pair.controller._decoder._buffer), MOST + 1024)

    @settings(deadline=None, max_examples=200)
    @given(st.data())
    def test_a_changed_byte_never_raises(self, data: Any) -> None:
        pair = Pair(data.draw(st.booleans()), 4096)
        pair.carry()
        pair.submit(Command(1, nsid=3), b"w" * 600)
        pair.submit(Command(2, nsid=4), read=600)
        raw = bytearray(pair.to_controller)
        raw[data.draw(st.integers(0, len(raw) - 1))] ^= data.draw(st.integers(1, 255))
        pair.controller.feed(bytes(raw))
        for command, _ in pair.taken:
            pair.controller.respond(Completion(command.cid), b"r" * 600)
        answer = bytearray(pair.to_host)
        if answer:
            answer[data.draw(st.integers(0, len(answer) - 1))] ^= data.draw(st.integers(0, 255))
        pair.host.feed(bytes(answer))

    def test_what_each_fault_ends_in(self) -> None:
        """One line a fault: the fatal error status and what it points at."""
        e = Encoder()
        good = e.capsule_cmd(bytes(64))

        def changed(at: int, value: int) -> bytes:
            return good[:at] + bytes([value]) + good[at + 1 :]

        h2c = PduType.H2C_DATA
        cases = {
            "unknown type": (changed(0, 0x0B), FatalError.INVALID_HEADER_FIELD, 0),
            "a host's own PDU": (changed(0, 0x05), FatalError.INVALID_HEADER_FIELD, 0),
            "digest not agreed": (changed(1, 1), FatalError.INVALID_HEADER_FIELD, 1),
            "header length": (changed(2, 71), FatalError.INVALID_HEADER_FIELD, 2),
            "endless": (good[:4] + b"\xff\xff\xff\x7f" + good[8:], FatalError.INVALID_HEADER_FIELD, 4),
            "data offset": (
                e.capsule_cmd(bytes(64), b"x" * 8)[:3] + b"\x07" + e.capsule_cmd(bytes(64), b"x" * 8)[4:],
                FatalError.INVALID_HEADER_FIELD,
                3,
            ),
            "second ICReq": (initialize(PduType.IC_REQ, False, False, 0), FatalError.SEQUENCE_ERROR, 0),
            "data nobody asked for": (e.data(h2c, 1, 2, 0, b"x", True), FatalError.SEQUENCE_ERROR, 0),
        }
        for name, (raw, error, points_at) in cases.items():
            with self.subTest(name):
                pair = Pair(False, 4096)
                pair.carry()
                pair.controller.feed(raw)
                self.assertTrue(pair.controller.closed)
                sent = bytes(pair.to_host)
                self.assertEqual(
                    (PduType.C2H_TERM, error, points_at), (sent[0], *struct.unpack_from("<HI", sent, 8))
                )

    def test_a_rotten_digest(self) -> None:
        """Of a header: fatal. Of data: the command fails and may come again, the queue goes on."""
        decoder = Decoder(TO_CONTROLLER, MOST)
        decoder.agree(True, False)
        encoder = Encoder()
        encoder.header_digest = True
        raw = bytearray(encoder.capsule_cmd(bytes(64)))
        raw[20] ^= 1
        fault = decoder.feed(bytes(raw))[0]
        self.assertIsInstance(fault, Malformed)
        self.assertEqual(FatalError.HEADER_DIGEST_ERROR, fault.error)  # type: ignore[union-attr]
        pair = Pair(True, 4096)
        pair.carry()
        pair.submit(Command(1), b"w" * 100)
        pair.to_controller[-50] ^= 1
        pair.carry()
        self.assertEqual(
            [(Status.TRANSIENT_TRANSPORT_ERROR, False)], [(c.status, c.do_not_retry) for c, _ in pair.done]
        )
        self.assertEqual([], pair.taken + pair.ended)

    def test_held_writes_are_bounded(self) -> None:
        """A host that announces much and sends nothing is asked for no more than the bound."""
        pair = Pair(False, 4096, size=64)
        pair.carry()
        for _ in range(20):
            pair.submit(Command(1), b"w" * (1 << 20))
        pair.controller.feed(bytes(pair.to_controller))
        self.assertEqual(4, len(Decoder(TO_HOST, MOST).feed(bytes(pair.to_host))))
        pair.to_controller.clear()
        pair.carry()
        self.assertEqual(20, len(pair.taken), "and all of it comes in the end")

    def test_an_answer_too_many_ends_the_queue(self) -> None:
        pair = Pair(False, 4096)
        pair.carry()
        pair.host.feed(Encoder().capsule_resp(Completion(5).pack()))
        self.assertEqual(["completion of command 5, which is not in flight"], pair.ended)

    def test_a_short_read_is_not_taken_for_whole(self) -> None:
        pair = Pair(False, 4096)
        pair.carry()
        pair.submit(Command(2), read=100)
        pair.carry()
        pair.controller.respond(Completion(pair.taken[0][0].cid), b"r" * 60)
        pair.carry()
        self.assertEqual([Status.DATA_TRANSFER_ERROR], [c.status for c, _ in pair.done])
