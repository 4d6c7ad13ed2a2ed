"""Tests the state in which a stored write is restored to the queue after a start."""

import pytest

from gorsethread.durable_log.records import WriteProgress
from gorsethread.nvme_gateway.offline.queue_recovery import RecoveredProgress, recovered_progress
from gorsethread.nvme_gateway.offline.standby_replication import UNCONFIRMED
from gorsethread.offline_writes.queued_write import WriteStage

PRIMARIES = (2, 0, 1)


def progress(stage: WriteStage, suspects: list[int], reason: str = "") -> WriteProgress:
    return WriteProgress(1, 1, stage.value, suspects, reason)


@pytest.mark.parametrize(
    ("recorded", "in_doubt", "expected"),
    [
        (None, False, RecoveredProgress(WriteStage.WAITING)),
        (None, True, RecoveredProgress(WriteStage.DEAD_LETTERED, UNCONFIRMED)),
        (progress(WriteStage.WAITING, []), False, RecoveredProgress(WriteStage.WAITING)),
        (progress(WriteStage.WAITING, []), True, RecoveredProgress(WriteStage.UNKNOWN, "", PRIMARIES)),
        (progress(WriteStage.SENT, [0]), False, RecoveredProgress(WriteStage.UNKNOWN, "", (0,))),
        (progress(WriteStage.SENT, [0]), True, RecoveredProgress(WriteStage.UNKNOWN, "", PRIMARIES)),
        (progress(WriteStage.QUERIED, [1]), False, RecoveredProgress(WriteStage.UNKNOWN, "", (1,))),
        (progress(WriteStage.UNKNOWN, []), False, RecoveredProgress(WriteStage.UNKNOWN, "", PRIMARIES)),
        (
            progress(WriteStage.DEAD_LETTERED, [1], "changed"),
            False,
            RecoveredProgress(WriteStage.DEAD_LETTERED, "changed", (1,)),
        ),
        (
            progress(WriteStage.DEAD_LETTERED, [1], "changed"),
            True,
            RecoveredProgress(WriteStage.DEAD_LETTERED, "changed", PRIMARIES),
        ),
    ],
)
def test_a_stored_write_is_restored_at_most_as_far_as_its_records_prove(
    recorded: WriteProgress | None, in_doubt: bool, expected: RecoveredProgress
) -> None:
    assert recovered_progress(recorded, in_doubt, PRIMARIES) == expected
