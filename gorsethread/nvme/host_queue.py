"""The host side of one queue: commands out, completions back, data both ways. Bytes in, bytes out, no I/O."""

from collections.abc import Callable
from dataclasses import dataclass

from gorsethread.nvme.command import (
    SGL_IN_CAPSULE,
    SGL_TRANSPORT,
    Command,
    Completion,
    Status,
    unpack_completion,
)
from gorsethread.nvme.pdu import (
    TO_HOST,
    CapsuleResp,
    DataTransfer,
    Decoder,
    Encoder,
    FatalError,
    Initialize,
    Malformed,
    Pdu,
    PduType,
    ReadyToTransfer,
    Terminate,
    initialize,
    terminate,
)

Done = Callable[[Completion, bytes], None]
MOST_DATA_A_PDU = 1 << 20


@dataclass(slots=True)
class _Out:
    """One command out; emptied by its completion."""

    done: Done
    data: bytes
    sent: int
    incoming: bytearray | None
    intact: bool = True
    expected: int = 0


class HostQueue:
    """send is called with bytes for the controller; ended with a reason once nothing more can come of it.

    The number of commands out is bounded by the queue's size: submit() of one more raises OverflowError.
    """

    def __init__(
        self,
        send: Callable[[bytes], None],
        ready: Callable[[], None],
        ended: Callable[[str], None],
        size: int,
        digests: bool = False,
    ) -> None:
        self._send, self._ready, self._ended = send, ready, ended
        self.size = size
        self.in_capsule = 8192  # Connect and admin commands; I/O queues learn theirs from Identify
        self._digests = digests
        self._encoder = Encoder()
        self._decoder = Decoder(TO_HOST, MOST_DATA_A_PDU)
        self._most_h2c = 0
        self._out: dict[int, _Out] = {}
        self._next = 0
        self.closed = False
        send(initialize(PduType.IC_REQ, digests, digests, 0))

    def __len__(self) -> int:
        return len(self._out)

    def submit(self, command: Command, done: Done, data: bytes = b"", read: int = 0) -> int:
        """Sends a command with its data, or room for read bytes of answer; gives its command id."""
        if len(self._out) >= self.size:
            raise OverflowError("the queue is full")
        while self._next in self._out:
            self._next = (self._next + 1) % 0xFFFF
        cid, self._next = self._next, (self._next + 1) % 0xFFFF
        out = _Out(done, data, 0, bytearray(read) if read else None, True, read)
        self._out[cid] = out
        if data and len(data) <= self.in_capsule:
            out.sent = len(data)
            self._send(self._encoder.capsule_cmd(command.pack_as(cid, SGL_IN_CAPSULE, len(data)), data))
        else:
            entry = command.pack_as(cid, SGL_TRANSPORT, len(data) or read)
            self._send(self._encoder.capsule_cmd(entry))
        return cid

    def feed(self, data: bytes) -> None:
        for pdu in self._decoder.feed(data):
            if self.closed:
                return
            self._take(pdu)

    def close(self, reason: str) -> None:
        """The stream is gone: every command out ends without a completion, told by ended alone."""
        if not self.closed:
            self.closed = True
            self._out.clear()
            self._ended(reason)

    def _fatal(self, error: FatalError, reason: str, information: int = 0, header: bytes = b"") -> None:
        self._send(terminate(PduType.H2C_TERM, error, information, header))
        self.close(reason)

    def _take(self, pdu: "Pdu | Malformed") -> None:
        match pdu:
            case CapsuleResp(cqe):
                self._complete(unpack_completion(cqe))
            case DataTransfer():
                self._take_data(pdu)
            case ReadyToTransfer():
                self._send_data(pdu)
            case Initialize(version=version, header_digest=header, data_digest=data, most=most):
                if self._most_h2c or version != 0 or most < 4096 or (header or data) and not self._digests:
                    self._fatal(FatalError.INVALID_HEADER_FIELD, "unusable ICResp", 8)
                    return
                self._most_h2c = most
                self._decoder.agree(header, data)
                self._encoder.header_digest, self._encoder.data_digest = header, data
                self._ready()
            case Malformed():
                self._fatal(pdu.error, pdu.reason, pdu.information, pdu.header)
            case Terminate():
                self.close(f"controller ended the connection, error {pdu.error}")
            case _:
                self._fatal(FatalError.SEQUENCE_ERROR, "PDU out of place")

    def _complete(self, completion: Completion) -> None:
        out = self._out.pop(completion.cid, None)
        if out is None:
            # Guards against a controller that answers twice or answers what was never sent: which of its
            # other answers belongs to which command can't be known any more. Costs all commands out here.
            self._fatal(FatalError.SEQUENCE_ERROR, f"answer to command {completion.cid}, which is not out")
            return
        if (
            out.incoming is not None
            and completion.succeeded
            and (out.incoming and out.expected or not out.intact)
        ):
            wrong = Status.DATA_TRANSFER_ERROR if out.expected else Status.TRANSIENT_TRANSPORT_ERROR
            completion = completion._replace(status=wrong)
        out.done(completion, bytes(out.incoming or b""))

    def _take_data(self, pdu: DataTransfer) -> None:
        out = self._out.get(pdu.cid)
        if out is None or out.incoming is None:
            self._fatal(FatalError.SEQUENCE_ERROR, f"data for command {pdu.cid}, which reads nothing")
            return
        got = len(out.incoming) - out.expected
        if pdu.offset != got or len(pdu.data) > out.expected:
            self._fatal(FatalError.DATA_OUT_OF_RANGE, f"data at {pdu.offset} for command {pdu.cid}", 12)
            return
        out.incoming[got : got + len(pdu.data)] = pdu.data
        out.expected -= len(pdu.data)
        out.intact = out.intact and pdu.intact

    def _send_data(self, pdu: ReadyToTransfer) -> None:
        out = self._out.get(pdu.cid)
        if out is None or pdu.offset != out.sent or not 0 < pdu.length <= len(out.data) - out.sent:
            self._fatal(FatalError.DATA_OUT_OF_RANGE, f"R2T of {pdu.length} at {pdu.offset}", 12)
            return
        end = pdu.offset + pdu.length
        while out.sent < end:
            part = out.data[out.sent : min(end, out.sent + self._most_h2c)]
            last = out.sent + len(part) == end
            self._send(self._encoder.data(PduType.H2C_DATA, pdu.cid, pdu.tag, out.sent, part, last))
            out.sent += len(part)
