"""Tests the NVMe/TCP codec: field layouts, any split of the byte stream, malformed PDUs."""

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

MAX_DATA = 65536
u16, u32, u64 = (st.integers(0, 2**bits - 1) for bits in (16, 32, 64))


class QueuePair:
    """A host queue and a controller queue that exchange bytes in pieces of split bytes."""

    def __init__(self, digests: bool, split: int, size: int = 16) -> None:
        self.to_host, self.to_controller = bytearray(), bytearray()
        self.received: list[tuple[Command, bytes]] = []
        self.completed: list[tuple[Completion, bytes]] = []
        self.ended: list[str] = []
        self.split = split
        self.controller = ControllerQueue(
            self.to_host.extend,
            lambda command: True,
            lambda command, data: self.received.append((command, data)),
            self.ended.append,
            1 << 20,
        )
        self.controller.size = size
        self.host = HostQueue(self.to_controller.extend, lambda: None, self.ended.append, size, digests)

    def transfer(self) -> None:
        while self.to_host or self.to_controller:
            for buffer, queue in ((self.to_controller, self.controller), (self.to_host, self.host)):
                data = bytes(buffer)
                buffer.clear()
                for at in range(0, len(data), self.split):
                    queue.feed(data[at : at + self.split])

    def submit(self, command: Command, data: bytes = b"", read: int = 0) -> None:
        self.host.submit(
            command, lambda completion, received: self.completed.append((completion, received)), data, read
        )


class FieldLayout(unittest.TestCase):
    def test_a_submission_entry_has_the_specified_layout(self) -> None:
        raw = io_command(
            Opcode.WRITE, 7, 0x123456789, 3, hints=0x10, client_timeout=1.5, attempt=1, label=99
        ).pack()
        self.assertEqual(64, len(raw))
        self.assertEqual((1, 7), (raw[0], struct.unpack_from("<I", raw, 4)[0]))
        self.assertEqual(0x123456789, struct.unpack_from("<Q", raw, 40)[0], "SLBA, bytes 47:40")
        self.assertEqual(2, struct.unpack_from("<H", raw, 48)[0], "NLB is 0's based, bytes 49:48")
        self.assertEqual(0x10, raw[52], "DSM, byte 52")
        self.assertEqual(0x40, raw[1] & 0xC0, "PSDT: SGL")

    def test_a_connect_has_the_specified_layout(self) -> None:
        raw = connect(3, 32, 5.0).pack()
        self.assertEqual((0x7F, 1), (raw[0], raw[4]))
        self.assertEqual((0, 3, 31), struct.unpack_from("<HHH", raw, 40))
        self.assertEqual(5000, struct.unpack_from("<I", raw, 48)[0])

    def test_a_completion_has_the_specified_layout(self) -> None:
        raw = Completion(9, Status.COMMAND_INTERRUPTED, False, 2, sq_head=4, queue=1).pack()
        field = struct.unpack_from("<H", raw, 14)[0]
        self.assertEqual((4, 1, 9), struct.unpack_from("<HHH", raw, 8))
        self.assertEqual((0x21, 0, 2, 0), (field >> 1 & 0xFF, field >> 9 & 7, field >> 12 & 3, field >> 15))

    def test_an_icreq_has_the_specified_layout(self) -> None:
        raw = initialize(PduType.IC_REQ, True, True, 0)
        self.assertEqual((128, 0, 0, 128, 0, 128, 3), (len(raw), *struct.unpack_from("<BBBBI", raw), raw[11]))

    def test_a_capsule_with_digests_has_the_specified_layout(self) -> None:
        encoder = Encoder()
        encoder.header_digest = encoder.data_digest = True
        raw = encoder.capsule_cmd(bytes(64), b"x" * 512)
        self.assertEqual((4, 3, 72, 76, 76 + 512 + 4), struct.unpack_from("<BBBBI", raw))
        self.assertEqual(google_crc32c.value(raw[:72]), struct.unpack_from("<I", raw, 72)[0])
        self.assertEqual(google_crc32c.value(b"x" * 512), struct.unpack_from("<I", raw, 588)[0])

    @given(u16, u32, u32, u32, u64, u32, u32)
    def test_submission_entries_survive_encoding_and_decoding(
        self, cid: int, nsid: int, cdw2: int, cdw3: int, metadata: int, cdw10: int, cdw12: int
    ) -> None:
        command = Command(2, cid, nsid, cdw2, cdw3, metadata, cdw10=cdw10, cdw12=cdw12)
        self.assertEqual(command, unpack_command(command.pack()))

    @given(u16, st.integers(0, 0x7FF), st.booleans(), st.integers(0, 3), u32, u32)
    def test_completions_survive_encoding_and_decoding(
        self, cid: int, status: int, do_not_retry: bool, retry: int, dw0: int, dw1: int
    ) -> None:
        completion = Completion(cid, status, do_not_retry, retry, dw0, dw1, 5, 1)
        self.assertEqual(completion, unpack_completion(completion.pack()))


class ByteStreams(unittest.TestCase):
    @settings(deadline=None, max_examples=60)
    @given(st.booleans(), st.integers(1, 9000), st.lists(st.integers(1, 40000), min_size=1, max_size=5))
    def test_reads_and_writes_work_with_any_split_of_the_stream(
        self, digests: bool, split: int, sizes: list[int]
    ) -> None:
        pair = QueuePair(digests, split)
        pair.transfer()
        for n, size in enumerate(sizes):
            pair.submit(Command(1, nsid=n), bytes([n + 1]) * size)
            pair.submit(Command(2, nsid=n), read=size)
        pair.transfer()
        self.assertEqual(2 * len(sizes), len(pair.received))
        for command, data in pair.received:
            if command.opcode == 1:
                self.assertEqual(bytes([command.nsid + 1]) * sizes[command.nsid], data)
            answer = b"" if data else bytes([command.nsid + 9]) * sizes[command.nsid]
            pair.controller.respond(Completion(command.cid), answer)
        pair.transfer()
        self.assertEqual(sorted([0] * len(sizes) + sizes), sorted(len(d) for _, d in pair.completed))
        self.assertEqual([], pair.ended)

    @settings(deadline=None, max_examples=200)
    @given(st.binary(max_size=400), st.integers(1, 50), st.booleans())
    def test_garbage_ends_the_queue_or_is_buffered_within_bounds(
        self, garbage: bytes, split: int, started: bool
    ) -> None:
        pair = QueuePair(False, 4096)
        if started:
            pair.transfer()
        pair.to_host.clear()
        for at in range(0, len(garbage), split):
            pair.controller.feed(garbage[at : at + split])
        if pair.controller.closed and pair.to_host:
            last = bytes(pair.to_host)
            self.assertIn(last[0], (PduType.IC_RESP, PduType.C2H_TERM, PduType.CAPSULE_RESP, PduType.R2T))
        self.assertLess(len(pair.controller._decoder._buffer), MAX_DATA + 1024)

    @settings(deadline=None, max_examples=200)
    @given(st.data())
    def test_a_changed_byte_never_raises_an_exception(self, data: Any) -> None:
        pair = QueuePair(data.draw(st.booleans()), 4096)
        pair.transfer()
        pair.submit(Command(1, nsid=3), b"w" * 600)
        pair.submit(Command(2, nsid=4), read=600)
        raw = bytearray(pair.to_controller)
        raw[data.draw(st.integers(0, len(raw) - 1))] ^= data.draw(st.integers(1, 255))
        pair.controller.feed(bytes(raw))
        for command, _ in pair.received:
            pair.controller.respond(Completion(command.cid), b"r" * 600)
        answer = bytearray(pair.to_host)
        if answer:
            answer[data.draw(st.integers(0, len(answer) - 1))] ^= data.draw(st.integers(0, 255))
        pair.host.feed(bytes(answer))

    def test_each_protocol_violation_ends_with_its_fatal_error(self) -> None:
        """Each case has the bytes, the fatal error status and the offset that it reports."""
        encoder = Encoder()
        valid = encoder.capsule_cmd(bytes(64))

        def with_byte(at: int, value: int) -> bytes:
            return valid[:at] + bytes([value]) + valid[at + 1 :]

        h2c = PduType.H2C_DATA
        cases = {
            "unknown type": (with_byte(0, 0x0B), FatalError.INVALID_HEADER_FIELD, 0),
            "a PDU type for hosts": (with_byte(0, 0x05), FatalError.INVALID_HEADER_FIELD, 0),
            "digest not agreed": (with_byte(1, 1), FatalError.INVALID_HEADER_FIELD, 1),
            "header length": (with_byte(2, 71), FatalError.INVALID_HEADER_FIELD, 2),
            "length too large": (
                valid[:4] + b"\xff\xff\xff\x7f" + valid[8:],
                FatalError.INVALID_HEADER_FIELD,
                4,
            ),
            "data offset": (
                encoder.capsule_cmd(bytes(64), b"x" * 8)[:3]
                + b"\x07"
                + encoder.capsule_cmd(bytes(64), b"x" * 8)[4:],
                FatalError.INVALID_HEADER_FIELD,
                3,
            ),
            "second ICReq": (initialize(PduType.IC_REQ, False, False, 0), FatalError.SEQUENCE_ERROR, 0),
            "data that was not requested": (
                encoder.data(h2c, 1, 2, 0, b"x", True),
                FatalError.SEQUENCE_ERROR,
                0,
            ),
        }
        for name, (raw, error, information) in cases.items():
            with self.subTest(name):
                pair = QueuePair(False, 4096)
                pair.transfer()
                pair.controller.feed(raw)
                self.assertTrue(pair.controller.closed)
                sent = bytes(pair.to_host)
                self.assertEqual(
                    (PduType.C2H_TERM, error, information), (sent[0], *struct.unpack_from("<HI", sent, 8))
                )

    def test_a_wrong_digest_of_a_header_is_fatal_and_of_data_fails_the_command(self) -> None:
        """After a wrong data digest the command may be retried, and the queue continues."""
        decoder = Decoder(TO_CONTROLLER, MAX_DATA)
        decoder.agree(True, False)
        encoder = Encoder()
        encoder.header_digest = True
        raw = bytearray(encoder.capsule_cmd(bytes(64)))
        raw[20] ^= 1
        malformed = decoder.feed(bytes(raw))[0]
        self.assertIsInstance(malformed, Malformed)
        self.assertEqual(FatalError.HEADER_DIGEST_ERROR, malformed.error)  # type: ignore[union-attr]
        pair = QueuePair(True, 4096)
        pair.transfer()
        pair.submit(Command(1), b"w" * 100)
        pair.to_controller[-50] ^= 1
        pair.transfer()
        self.assertEqual(
            [(Status.TRANSIENT_TRANSPORT_ERROR, False)],
            [(completion.status, completion.do_not_retry) for completion, _ in pair.completed],
        )
        self.assertEqual([], pair.received + pair.ended)

    def test_data_requested_for_writes_is_bounded(self) -> None:
        """From a host that announces much data and sends none, only a bounded amount is requested."""
        pair = QueuePair(False, 4096, size=64)
        pair.transfer()
        for _ in range(20):
            pair.submit(Command(1), b"w" * (1 << 20))
        pair.controller.feed(bytes(pair.to_controller))
        self.assertEqual(4, len(Decoder(TO_HOST, MAX_DATA).feed(bytes(pair.to_host))))
        pair.to_controller.clear()
        pair.transfer()
        self.assertEqual(20, len(pair.received), "all of the data arrives in the end")

    def test_a_completion_of_an_unknown_command_ends_the_queue(self) -> None:
        pair = QueuePair(False, 4096)
        pair.transfer()
        pair.host.feed(Encoder().capsule_resp(Completion(5).pack()))
        self.assertEqual(["completion of command 5, which is not in flight"], pair.ended)

    def test_a_read_with_too_little_data_fails(self) -> None:
        pair = QueuePair(False, 4096)
        pair.transfer()
        pair.submit(Command(2), read=100)
        pair.transfer()
        pair.controller.respond(Completion(pair.received[0][0].cid), b"r" * 60)
        pair.transfer()
        self.assertEqual(
            [Status.DATA_TRANSFER_ERROR], [completion.status for completion, _ in pair.completed]
        )
