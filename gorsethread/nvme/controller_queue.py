"""The controller side of one NVMe/TCP queue: receives commands and data, sends completions. Without I/O.

The controller requests the data of writes by R2T, one per command, and only while the data requested for all
commands stays under a limit. A host that announces data and does not send it thus costs bounded memory.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from gorsethread.nvme.command import (
    SGL_IN_CAPSULE,
    SGL_TRANSPORT,
    Command,
    Completion,
    Status,
    unpack_command,
)
from gorsethread.nvme.pdu import (
    TO_CONTROLLER,
    CapsuleCmd,
    DataTransfer,
    Decoder,
    Encoder,
    FatalError,
    Initialize,
    Malformed,
    Pdu,
    PduType,
    Terminate,
    initialize,
    terminate,
)

MAX_IN_CAPSULE_BYTES = 8192  # data inside a command capsule (IOCCSZ of Identify)
MAX_H2C_DATA_BYTES = 65536  # MAXH2CDATA
MAX_C2H_DATA_BYTES = 65536
MAX_PENDING_WRITE_BYTES = 4 << 20  # data requested by R2T and not yet received, on one queue


@dataclass(slots=True)
class _Incoming:
    """A write whose data has not all arrived; removed by its last byte or the end of the queue.

    Attributes:
        received: Bytes received so far.
        requested: Bytes requested by R2T.
        intact: The digests of all data received match.
    """

    command: Command
    data: bytearray
    received: int = 0
    requested: int = 0
    intact: bool = True


class ControllerQueue:
    """The controller's end of one queue.

    Attributes:
        max_data: Largest number of data bytes of a command.
        size: Entries of the queue; set by Connect.
        number: The queue's identifier; 0 for the admin queue.
        closed: The queue has ended.
    """

    def __init__(
        self,
        send: Callable[[bytes], None],
        announced: Callable[[Command], bool],
        received: Callable[[Command, bytes], None],
        ended: Callable[[str], None],
        max_data: int,
    ) -> None:
        """Sets up the queue.

        Args:
            send: Called with bytes for the host.
            announced: Called when a command's capsule has arrived; returns whether to receive its data. If it
                returns False, it has answered the command.
            received: Called when a command has arrived with all its data.
            ended: Called once with the reason when the queue ends.
            max_data: Largest number of data bytes of a command.
        """
        self._send, self._on_announced, self._on_received, self._on_ended = send, announced, received, ended
        self.max_data = max_data
        self.size = 64
        self.number = 0
        self._encoder = Encoder()
        self._decoder = Decoder(TO_CONTROLLER, max(MAX_IN_CAPSULE_BYTES, MAX_H2C_DATA_BYTES))
        self._started = False
        self._open: set[int] = set()
        self._incoming: dict[int, _Incoming] = {}
        self._awaiting_room: deque[int] = deque()  # commands whose R2T waits for room
        self._pending_write_bytes = 0
        self._sq_head = 0
        self.closed = False

    def __len__(self) -> int:
        return len(self._open)

    def feed(self, data: bytes) -> None:
        """Processes bytes from the host."""
        for pdu in self._decoder.feed(data):
            if self.closed:
                return
            self._pdu_received(pdu)

    def close(self, reason: str) -> None:
        """Ends the queue; open commands get no completion."""
        if not self.closed:
            self.closed = True
            self._incoming.clear()
            self._awaiting_room.clear()
            self._on_ended(reason)

    def respond(self, completion: Completion, data: bytes = b"") -> None:
        """Answers a command by its completion's command id, with the data that it reads.

        The answer is dropped if the command is not open, for instance because it was answered before.
        """
        self.answer(completion.cid, completion, data)

    def answer(self, cid: int, completion: Completion, data: bytes = b"") -> None:
        """Answers the command of that id as respond() does; the completion's own command id is ignored."""
        if self.closed or cid not in self._open:
            return
        self._open.discard(cid)
        self._drop_incoming(cid)
        for offset in range(0, len(data), MAX_C2H_DATA_BYTES):
            part = data[offset : offset + MAX_C2H_DATA_BYTES]
            last = offset + len(part) == len(data)
            self._send(self._encoder.data(PduType.C2H_DATA, cid, 0, offset, part, last))
        self._sq_head = (self._sq_head + 1) % self.size
        entry = completion.pack_as(cid, self._sq_head, self.number)
        self._send(self._encoder.capsule_resp(entry))

    def is_open(self, cid: int) -> bool:
        """Whether a command with that id is still to be answered."""
        return cid in self._open

    def _fatal(self, error: FatalError, reason: str, information: int = 0, header: bytes = b"") -> None:
        self._send(terminate(PduType.C2H_TERM, error, information, header))
        self.close(reason)

    def _pdu_received(self, pdu: "Pdu | Malformed") -> None:
        match pdu:
            case Malformed():
                self._fatal(pdu.error, pdu.reason, pdu.information, pdu.header)
            case Initialize():
                self._start(pdu)
            case Terminate():
                self.close(f"host ended the connection, error {pdu.error}")
            case _ if not self._started:
                self._fatal(FatalError.SEQUENCE_ERROR, "a PDU before the ICReq")
            case CapsuleCmd(sqe, data, intact):
                self._command_received(unpack_command(sqe), data, intact)
            case DataTransfer():
                self._data_received(pdu)

    def _start(self, pdu: Initialize) -> None:
        if self._started:
            self._fatal(FatalError.SEQUENCE_ERROR, "a second ICReq")
        elif pdu.version != 0:
            self._fatal(FatalError.UNSUPPORTED_PARAMETER, f"PDU format version {pdu.version}", 8)
        elif pdu.alignment != 0:
            self._fatal(FatalError.UNSUPPORTED_PARAMETER, f"data alignment {pdu.alignment}", 10)
        else:
            self._started = True
            self._send(initialize(PduType.IC_RESP, pdu.header_digest, pdu.data_digest, MAX_H2C_DATA_BYTES))
            self._decoder.agree(pdu.header_digest, pdu.data_digest)
            self._encoder.header_digest, self._encoder.data_digest = pdu.header_digest, pdu.data_digest

    def _fail(self, cid: int, status: Status, do_not_retry: bool = True) -> None:
        self.respond(Completion(cid, status, do_not_retry))

    def _command_received(self, command: Command, data: bytes, intact: bool) -> None:
        cid = command.cid
        if cid in self._open:
            # The host could not tell the answers of the two commands apart, so the queue ends.
            self._fatal(FatalError.SEQUENCE_ERROR, f"command id {cid} is already in use")
            return
        if len(self._open) > 2 * self.size:
            # The host violates flow control; this bounds the memory that it can use here.
            self._fatal(FatalError.SEQUENCE_ERROR, "more commands than the queue has entries")
            return
        queue_full = len(self._open) >= self.size
        self._open.add(cid)
        if queue_full:
            self._fail(cid, Status.COMMAND_INTERRUPTED, do_not_retry=False)
        elif not intact:
            self._fail(cid, Status.TRANSIENT_TRANSPORT_ERROR, do_not_retry=False)
        elif not command.to_controller or not command.sgl_length:
            # The opcode only permits data to the controller; the length says whether there is any.
            if data:
                self._fail(cid, Status.SGL_LENGTH_INVALID)
            elif command.sgl_length > self.max_data:
                self._fail(cid, Status.INVALID_FIELD)
            elif self._on_announced(command):
                self._on_received(command, b"")
        elif command.sgl_type == SGL_IN_CAPSULE:
            if command.sgl_length != len(data) or command.sgl_address:
                self._fail(cid, Status.SGL_LENGTH_INVALID)
            elif self._on_announced(command):
                self._on_received(command, data)
        elif command.sgl_type != SGL_TRANSPORT:
            self._fail(cid, Status.SGL_TYPE_INVALID)
        elif data or command.sgl_length > self.max_data:
            self._fail(cid, Status.SGL_LENGTH_INVALID)
        elif self._on_announced(command):
            self._incoming[cid] = _Incoming(command, bytearray())
            self._awaiting_room.append(cid)
            self._request_more_data()

    def _request_more_data(self) -> None:
        while self._awaiting_room:
            incoming = self._incoming.get(self._awaiting_room[0])
            if incoming is not None:
                length = incoming.command.sgl_length
                if self._pending_write_bytes and self._pending_write_bytes + length > MAX_PENDING_WRITE_BYTES:
                    return
                self._pending_write_bytes += length
                self._request_data(incoming)
            self._awaiting_room.popleft()

    def _request_data(self, incoming: _Incoming) -> None:
        cid = incoming.command.cid
        incoming.requested = incoming.command.sgl_length
        self._send(self._encoder.ready_to_transfer(cid, cid, 0, incoming.requested))

    def _drop_incoming(self, cid: int) -> None:
        if (incoming := self._incoming.pop(cid, None)) and incoming.requested:
            self._pending_write_bytes -= incoming.requested
            self._request_more_data()

    def _data_received(self, pdu: DataTransfer) -> None:
        incoming = self._incoming.get(pdu.cid)
        if incoming is None or not incoming.requested:
            if pdu.cid == pdu.tag and pdu.cid not in self._open:
                return  # the command was answered (failed, aborted) while its data was on the way
            self._fatal(
                FatalError.SEQUENCE_ERROR, f"data for command {pdu.cid}, for which none was requested"
            )
            return
        if pdu.tag != pdu.cid:
            self._fatal(FatalError.INVALID_HEADER_FIELD, f"transfer tag {pdu.tag}", 10)
            return
        if pdu.offset != incoming.received:
            self._fatal(FatalError.DATA_OUT_OF_RANGE, f"data at {pdu.offset}, not {incoming.received}", 12)
            return
        if incoming.received + len(pdu.data) > incoming.requested:
            self._fatal(FatalError.DATA_LIMIT_EXCEEDED, "more data than was requested", 16)
            return
        incoming.data += pdu.data
        incoming.received += len(pdu.data)
        incoming.intact = incoming.intact and pdu.intact
        complete = incoming.received == incoming.requested
        if pdu.last != complete:
            self._fatal(FatalError.INVALID_HEADER_FIELD, "last PDU flag does not match the data received", 1)
            return
        if complete:
            self._drop_incoming(pdu.cid)
            if incoming.intact:
                self._on_received(incoming.command, bytes(incoming.data))
            else:
                self._fail(pdu.cid, Status.TRANSIENT_TRANSPORT_ERROR, do_not_retry=False)
