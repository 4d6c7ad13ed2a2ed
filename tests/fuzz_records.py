"""Coverage-guided fuzzing of the decoders of segments and of messages between gateways, run by hand:

    .venv/bin/python tests/fuzz_records.py -max_total_time=300

The seeds are valid segments and messages. Expected exceptions are caught; any other is a finding.
"""

import sys
from pathlib import Path

import atheris

sys.path.insert(0, str(Path(__file__).parent.parent))
with atheris.instrument_imports(include=["gorsethread.durable_log", "gorsethread.offline_writes"]):
    from gorsethread.durable_log import replication_messages
    from gorsethread.durable_log.records import (
        ExtentPlaced,
        ExtentReleased,
        Record,
        Tombstone,
        WriteApplied,
        WriteDiscarded,
        WriteProgress,
        WriteQueued,
    )
    from gorsethread.durable_log.recovery import recover, segment_file_name
    from gorsethread.durable_log.segments import (
        SegmentHeader,
        UnusableSegmentError,
        checksum_seed,
        encode_record,
        encode_segment,
        read_segment,
    )
    from gorsethread.offline_writes import messages as offline_messages

OWN = [Record((9, n), ExtentPlaced(1, n, n % 3) if n % 4 else ExtentReleased(1, n)) for n in range(1, 9)]
QUEUED = WriteQueued(9, 6, 1, 2, 1, 0, "1/0", "h", 7, 0, 16, 1.5, [(1, 9, 5)], [], 3, b"data" * 9)
OWN[5:] = [
    Record((9, 6), QUEUED),
    Record((9, 7), WriteProgress(9, 6, "parked", [0], "why")),
    Record((9, 8), Tombstone([-1, 9, 6])),
]
OTHER_RECORDS = [
    Record((9, 9), WriteApplied(3, 9, 6, True)),
    Record((9, 10), WriteDiscarded(9, 6, 1, 2, 1.5, "why")),
]
SEGMENT_NAMES = [segment_file_name(9, 1), segment_file_name(9, 2)]


def segment(number: int) -> bytes:
    seed = checksum_seed(1, 2, 9, number)
    return encode_segment(SegmentHeader(1, 1, 2, 9, number, 4, 4), OWN[:4]) + b"".join(
        encode_record(r, seed) for r in OWN[4:]
    )


def messages() -> bytes:
    return b"".join(
        replication_messages.encode(m)
        for m in (
            replication_messages.Hello(1, 2, 9),
            replication_messages.HelloReply(9, (9, 4)),
            replication_messages.FetchRecords((9, 1)),
            replication_messages.FetchedRecords(replication_messages.to_entries(OWN), True),
            replication_messages.StoreRecords(
                9, True, replication_messages.to_entries(OWN + OTHER_RECORDS), (9, 10)
            ),
            replication_messages.RecordsStored((9, 8)),
            replication_messages.IncarnationFenced(10),
            replication_messages.StoreFailed(),
            offline_messages.BranchHello(1, 3),
            offline_messages.Heartbeat(1),
            offline_messages.HeartbeatReply(1),
            offline_messages.ReplayProgress(3, 9, (9, 4), [(9, 2)]),
            offline_messages.StatusQuery((3, 9, 6), 9, 0),
            offline_messages.ReplayReply((3, 9, 6), 1, 5, 0.5),
            offline_messages.ReplayWrite((3, 9, 6), 9, 5, 0, 1, 2, 16, 7, 0, 3, False, b"data" * 9),
            offline_messages.OperatorQuery(1, "release", (3, 9, 6)),
            offline_messages.OperatorReply(b"{}"),
        )
    )


def fuzz_one_input(data: bytes) -> None:
    if not data:
        return
    selector, data = data[0], data[1:]
    if selector % 3 == 0:
        try:
            segment_read = read_segment(data)
        except UnusableSegmentError:
            return
        if segment_read is not None:
            # Short of a collision, a frame with a valid checksum is one that was written.
            seed_header = SegmentHeader(1, 1, 2, 9, 1, 4, 4)
            assert all(r in OWN for r in segment_read.records) or segment_read.header != seed_header
    elif selector % 3 == 1:
        cut = data[0] % len(data) if data else 0
        try:
            recover({SEGMENT_NAMES[0]: data[:cut], SEGMENT_NAMES[1]: data[cut:]}, 1, 2)
        except UnusableSegmentError:
            return
    else:
        reader = replication_messages.MessageReader(offline_messages.DECODER)
        try:
            for offset in range(0, len(data), 1 + selector):
                reader.feed(data[offset : offset + 1 + selector])
        except replication_messages.ProtocolError:
            return


def main() -> None:
    corpus = Path(sys.argv[-1]) if len(sys.argv) > 1 and Path(sys.argv[-1]).is_dir() else None
    for selector, data in ((0, segment(1)), (1, segment(1) + segment(2)), (2, messages())):
        fuzz_one_input(bytes([selector]) + data)
        if corpus is not None:
            (corpus / f"seed-{selector}").write_bytes(bytes([selector]) + data)
    atheris.Setup(sys.argv, fuzz_one_input)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
