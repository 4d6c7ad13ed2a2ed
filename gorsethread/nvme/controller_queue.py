"""The controller side of one queue: commands and their data in, completions out. Bytes in, bytes out.

Data of writes is asked for by R2T, one at a time a command, and only while what is held of all of them stays
under a bound, so a host that sends nothing of what it announced costs a bounded piece of memory.
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

IN_CAPSULE_MOST = 8192  # bytes of data inside a capsule (IOCCSZ of Identify)
H2C_MOST = 65536  # MAXH2CDATA
C2H_MOST = 65536
HELD_MOST = 4 << 20  # bytes of writes under way on one queue


@dataclass(slots=True)
class _Incoming:
    """A write whose data is still coming; emptied by its last byte or the end of the queue."""

    command: Command
    data: bytearray
    got: int = 0
    asked: int = 0
    intact: bool = True


class ControllerQueue:
    """send: bytes for the host; announced: a command's capsule came, and whether its data is wanted (else it
    has been answered); taken: it is here with its data; ended: why nothing more comes. most_data in bytes."""

    def __init__(
        self,
        send: Callable[[bytes], None],
        announced: Callable[[Command], bool],
        taken: Callable[[Command, bytes], None],
        ended: Callable[[str], None],
        most_data: int,
    ) -> None:
        self._send, self._announced, self._taken, self._ended = send, announced, taken, ended
        self.most_data = most_data
        self.size = 64  # entries; set by Connect
        self.number = 0
        self._encoder = Encoder()
        self._decoder = Decoder(TO_CONTROLLER, max(IN_CAPSULE_MOST, H2C_MOST))
        self._started = False
        self._open: set[int] = set()
        self._incoming: dict[int, _Incoming] = {}
        self._waiting: deque[int] = deque()  # commands whose first R2T waits for room
        self._held = 0
        self._head = 0
        self.closed = False

    def __len__(self) -> int:
        return len(self._open)

    def feed(self, data: bytes) -> None:
        for pdu in self._decoder.feed(data):
            if self.closed:
                return
            self._take(pdu)

    def close(self, reason: str) -> None:
        if not self.closed:
            self.closed = True
            self._incoming.clear()
            self._waiting.clear()
            self._ended(reason)

    def respond(self, completion: Completion, data: bytes = b"") -> None:
        """The one answer to a command; a second one, or one to a command not open, is dropped."""
        self.answer(completion.cid, completion, data)

    def answer(self, cid: int, completion: Completion, data: bytes = b"") -> None:
        """respond() for the command of that id, whatever id the completion carries."""
        if self.closed or cid not in self._open:
            return
        self._open.discard(cid)
        self._drop_incoming(cid)
        for at in range(0, len(data), C2H_MOST):
            part = data[at : at + C2H_MOST]
            last = at + len(part) == len(data)
            self._send(self._encoder.data(PduType.C2H_DATA, cid, 0, at, part, last))
        self._head = (self._head + 1) % self.size
        entry = completion.pack_as(cid, self._head, self.number)
        self._send(self._encoder.capsule_resp(entry))

    def is_open(self, cid: int) -> bool:
        return cid in self._open

    def _fatal(self, error: FatalError, reason: str, information: int = 0, header: bytes = b"") -> None:
        self._send(terminate(PduType.C2H_TERM, error, information, header))
        self.close(reason)

    def _take(self, pdu: "Pdu | Malformed") -> None:
        match pdu:
            case Malformed():
                self._fatal(pdu.error, pdu.reason, pdu.information, pdu.header)
            case Initialize():
                self._start(pdu)
            case Terminate():
                self.close(f"host ended the connection, error {pdu.error}")
            case _ if not self._started:
                self._fatal(FatalError.SEQUENCE_ERROR, "a PDU came before ICReq")
            case CapsuleCmd(sqe, data, intact):
                self._take_command(unpack_command(sqe), data, intact)
            case DataTransfer():
                self._take_data(pdu)

    def _start(self, pdu: Initialize) -> None:
        if self._started:
            self._fatal(FatalError.SEQUENCE_ERROR, "a second ICReq")
        elif pdu.version != 0:
            self._fatal(FatalError.UNSUPPORTED_PARAMETER, f"PDU format version {pdu.version}", 8)
        elif pdu.alignment != 0:
            self._fatal(FatalError.UNSUPPORTED_PARAMETER, f"data alignment {pdu.alignment}", 10)
        else:
            self._started = True
            self._send(initialize(PduType.IC_RESP, pdu.header_digest, pdu.data_digest, H2C_MOST))
            self._decoder.agree(pdu.header_digest, pdu.data_digest)
            self._encoder.header_digest, self._encoder.data_digest = pdu.header_digest, pdu.data_digest

    def _refuse(self, cid: int, status: Status, do_not_retry: bool = True) -> None:
        self.respond(Completion(cid, status, do_not_retry))

    def _take_command(self, command: Command, data: bytes, intact: bool) -> None:
        cid = command.cid
        if cid in self._open:
            # Which of the two an answer belongs to could not be told apart, so the queue ends.
            self._fatal(FatalError.SEQUENCE_ERROR, f"command id {cid} is already in use")
            return
        if len(self._open) > 2 * self.size:
            # A host that runs past its queue's size breaks flow control; bounds what it can make us hold.
            self._fatal(FatalError.SEQUENCE_ERROR, "more commands than the queue holds")
            return
        over = len(self._open) >= self.size
        self._open.add(cid)
        if over:
            self._refuse(cid, Status.COMMAND_INTERRUPTED, do_not_retry=False)
        elif not intact:
            self._refuse(cid, Status.TRANSIENT_TRANSPORT_ERROR, do_not_retry=False)
        elif not command.to_controller or not command.sgl_length:
            # The opcode permits data to the controller; the length says whether there is any.
            if data:
                self._refuse(cid, Status.SGL_LENGTH_INVALID)
            elif command.sgl_length > self.most_data:
                self._refuse(cid, Status.INVALID_FIELD)
            elif self._announced(command):
                self._taken(command, b"")
        elif command.sgl_type == SGL_IN_CAPSULE:
            if command.sgl_length != len(data) or command.sgl_address:
                self._refuse(cid, Status.SGL_LENGTH_INVALID)
            elif self._announced(command):
                self._taken(command, data)
        elif command.sgl_type != SGL_TRANSPORT:
            self._refuse(cid, Status.SGL_TYPE_INVALID)
        elif data or command.sgl_length > self.most_data:
            self._refuse(cid, Status.SGL_LENGTH_INVALID)
        elif self._announced(command):
            self._incoming[cid] = _Incoming(command, bytearray())
            self._waiting.append(cid)
            self._ask_more()

    def _ask_more(self) -> None:
        while self._waiting:
            incoming = self._incoming.get(self._waiting[0])
            if incoming is not None:
                length = incoming.command.sgl_length
                if self._held and self._held + length > HELD_MOST:
                    return
                self._held += length
                self._ask(incoming)
            self._waiting.popleft()

    def _ask(self, incoming: _Incoming) -> None:
        cid = incoming.command.cid
        incoming.asked = incoming.command.sgl_length
        self._send(self._encoder.ready_to_transfer(cid, cid, 0, incoming.asked))

    def _drop_incoming(self, cid: int) -> None:
        if (incoming := self._incoming.pop(cid, None)) and incoming.asked:
            self._held -= incoming.asked
            self._ask_more()

    def _take_data(self, pdu: DataTransfer) -> None:
        incoming = self._incoming.get(pdu.cid)
        if incoming is None or not incoming.asked:
            if pdu.cid == pdu.tag and pdu.cid not in self._open:
                return  # the command was answered (given up, aborted) while its data was on the way
            self._fatal(FatalError.SEQUENCE_ERROR, f"data for command {pdu.cid}, which asked for none")
            return
        if pdu.tag != pdu.cid:
            self._fatal(FatalError.INVALID_HEADER_FIELD, f"transfer tag {pdu.tag}", 10)
            return
        if pdu.offset != incoming.got:
            self._fatal(FatalError.DATA_OUT_OF_RANGE, f"data at {pdu.offset}, not {incoming.got}", 12)
            return
        if incoming.got + len(pdu.data) > incoming.asked:
            self._fatal(FatalError.DATA_LIMIT_EXCEEDED, "more data than was asked for", 16)
            return
        incoming.data += pdu.data
        incoming.got += len(pdu.data)
        incoming.intact = incoming.intact and pdu.intact
        whole = incoming.got == incoming.asked
        if pdu.last != whole:
            self._fatal(FatalError.INVALID_HEADER_FIELD, "last PDU flag out of place", 1)
            return
        if whole:
            self._drop_incoming(pdu.cid)
            if incoming.intact:
                self._taken(incoming.command, bytes(incoming.data))
            else:
                self._refuse(pdu.cid, Status.TRANSIENT_TRANSPORT_ERROR, do_not_retry=False)
