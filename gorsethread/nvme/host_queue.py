"""The host side of one NVMe/TCP queue: sends commands, receives completions, moves data. Without I/O."""

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

OnCompletion = Callable[[Completion, bytes], None]
MAX_PDU_DATA_BYTES = 1 << 20


@dataclass(slots=True)
class _CommandInFlight:
    """A command without a completion.

    Attributes:
        sent: Bytes of its data sent so far.
        incoming: The data of a read, received so far; None if it reads nothing.
        intact: The digests of all data received match.
        expected: Bytes of data still to receive.
    """

    on_completion: OnCompletion
    data: bytes
    sent: int
    incoming: bytearray | None
    intact: bool = True
    expected: int = 0


class HostQueue:
    """The host's end of one queue.

    At most size commands are in flight.

    Attributes:
        size: Entries of the queue.
        max_in_capsule: Largest number of bytes of write data that is sent inside a command capsule.
        closed: The queue has ended.
    """

    def __init__(
        self,
        send: Callable[[bytes], None],
        ready: Callable[[], None],
        ended: Callable[[str], None],
        size: int,
        digests: bool = False,
    ) -> None:
        """Sets up the queue and sends the ICReq.

        Args:
            send: Called with bytes for the controller.
            ready: Called when the controller has accepted the connection's parameters.
            ended: Called once with the reason when the queue ends.
            size: Entries of the queue.
            digests: Whether to ask for header and data digests.
        """
        self._send, self._on_ready, self._on_ended = send, ready, ended
        self.size = size
        self.max_in_capsule = 8192  # for Connect and admin commands; I/O queues get theirs from Identify
        self._digests = digests
        self._encoder = Encoder()
        self._decoder = Decoder(TO_HOST, MAX_PDU_DATA_BYTES)
        self._max_h2c_data = 0
        self._in_flight: dict[int, _CommandInFlight] = {}
        self._next_cid = 0
        self.closed = False
        send(initialize(PduType.IC_REQ, digests, digests, 0))

    def __len__(self) -> int:
        return len(self._in_flight)

    def submit(
        self, command: Command, on_completion: OnCompletion, data: bytes = b"", read_bytes: int = 0
    ) -> int:
        """Sends a command.

        Args:
            command: The command; its id and the description of its data are set here.
            on_completion: Called with the completion and the data read.
            data: Data of a write.
            read_bytes: Number of bytes that the command reads.

        Returns:
            The command id.

        Raises:
            OverflowError: The queue is full.
        """
        if len(self._in_flight) >= self.size:
            raise OverflowError("the queue is full")
        while self._next_cid in self._in_flight:
            self._next_cid = (self._next_cid + 1) % 0xFFFF
        cid, self._next_cid = self._next_cid, (self._next_cid + 1) % 0xFFFF
        incoming = bytearray(read_bytes) if read_bytes else None
        in_flight = _CommandInFlight(on_completion, data, 0, incoming, True, read_bytes)
        self._in_flight[cid] = in_flight
        if data and len(data) <= self.max_in_capsule:
            in_flight.sent = len(data)
            self._send(self._encoder.capsule_cmd(command.pack_as(cid, SGL_IN_CAPSULE, len(data)), data))
        else:
            entry = command.pack_as(cid, SGL_TRANSPORT, len(data) or read_bytes)
            self._send(self._encoder.capsule_cmd(entry))
        return cid

    def feed(self, data: bytes) -> None:
        """Processes bytes from the controller."""
        for pdu in self._decoder.feed(data):
            if self.closed:
                return
            self._pdu_received(pdu)

    def close(self, reason: str) -> None:
        """Ends the queue; commands in flight get no completion, only ended is called."""
        if not self.closed:
            self.closed = True
            self._in_flight.clear()
            self._on_ended(reason)

    def _fatal(self, error: FatalError, reason: str, information: int = 0, header: bytes = b"") -> None:
        self._send(terminate(PduType.H2C_TERM, error, information, header))
        self.close(reason)

    def _pdu_received(self, pdu: "Pdu | Malformed") -> None:
        match pdu:
            case CapsuleResp(cqe):
                self._complete(unpack_completion(cqe))
            case DataTransfer():
                self._data_received(pdu)
            case ReadyToTransfer():
                self._send_data(pdu)
            case Initialize(version=version, header_digest=header, data_digest=data, limit=limit):
                if (
                    self._max_h2c_data
                    or version != 0
                    or limit < 4096
                    or (header or data)
                    and not self._digests
                ):
                    self._fatal(FatalError.INVALID_HEADER_FIELD, "unusable ICResp", 8)
                    return
                self._max_h2c_data = limit
                self._decoder.agree(header, data)
                self._encoder.header_digest, self._encoder.data_digest = header, data
                self._on_ready()
            case Malformed():
                self._fatal(pdu.error, pdu.reason, pdu.information, pdu.header)
            case Terminate():
                self.close(f"controller ended the connection, error {pdu.error}")
            case _:
                self._fatal(FatalError.SEQUENCE_ERROR, "PDU out of place")

    def _complete(self, completion: Completion) -> None:
        in_flight = self._in_flight.pop(completion.cid, None)
        if in_flight is None:
            # The controller has answered twice, or a command that was never sent. Its other answers cannot
            # be matched to commands any more, so the queue ends, with all the commands in flight.
            self._fatal(
                FatalError.SEQUENCE_ERROR, f"completion of command {completion.cid}, which is not in flight"
            )
            return
        if (
            in_flight.incoming is not None
            and completion.succeeded
            and (in_flight.incoming and in_flight.expected or not in_flight.intact)
        ):
            status = Status.DATA_TRANSFER_ERROR if in_flight.expected else Status.TRANSIENT_TRANSPORT_ERROR
            completion = completion._replace(status=status)
        in_flight.on_completion(completion, bytes(in_flight.incoming or b""))

    def _data_received(self, pdu: DataTransfer) -> None:
        in_flight = self._in_flight.get(pdu.cid)
        if in_flight is None or in_flight.incoming is None:
            self._fatal(FatalError.SEQUENCE_ERROR, f"data for command {pdu.cid}, which reads nothing")
            return
        received = len(in_flight.incoming) - in_flight.expected
        if pdu.offset != received or len(pdu.data) > in_flight.expected:
            self._fatal(FatalError.DATA_OUT_OF_RANGE, f"data at {pdu.offset} for command {pdu.cid}", 12)
            return
        in_flight.incoming[received : received + len(pdu.data)] = pdu.data
        in_flight.expected -= len(pdu.data)
        in_flight.intact = in_flight.intact and pdu.intact

    def _send_data(self, pdu: ReadyToTransfer) -> None:
        in_flight = self._in_flight.get(pdu.cid)
        if (
            in_flight is None
            or pdu.offset != in_flight.sent
            or not 0 < pdu.length <= len(in_flight.data) - in_flight.sent
        ):
            self._fatal(FatalError.DATA_OUT_OF_RANGE, f"R2T of {pdu.length} at {pdu.offset}", 12)
            return
        end = pdu.offset + pdu.length
        while in_flight.sent < end:
            part = in_flight.data[in_flight.sent : min(end, in_flight.sent + self._max_h2c_data)]
            last = in_flight.sent + len(part) == end
            self._send(self._encoder.data(PduType.H2C_DATA, pdu.cid, pdu.tag, in_flight.sent, part, last))
            in_flight.sent += len(part)
