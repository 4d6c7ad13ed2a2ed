"""The cases of the independent review, played as they stand: real processes, each with its own check."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
CASE_TIMEOUT = 150.0  # seconds; a case ends by itself after 110
HELD = 0  # the exit status of a case in which its rule held


def play(case: int) -> None:
    """Plays a case with its own seed and fails with what it printed unless its rule held."""
    done = subprocess.run(
        [sys.executable, f"review/{case}/case.py"],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=CASE_TIMEOUT,
    )
    assert done.returncode == HELD, done.stdout + done.stderr


@pytest.mark.processes
def test_succeeded_writes_are_not_read_as_never_written_while_gateways_do_not_hear_each_other() -> None:
    # Guards against the release of an extent's place while its first write still waits for its record.
    play(1)


@pytest.mark.processes
def test_two_writes_to_a_new_extent_are_read_back_though_a_connection_comes_up_late() -> None:
    # Guards against a write that stays bound to a place from which the extent's first write has moved.
    play(6)


@pytest.mark.processes
def test_usual_requests_are_answered_in_time_beside_wrong_lengths() -> None:
    # Guards against a search of the lengths that holds the gateway up for seconds.
    play(2)


@pytest.mark.processes
def test_requests_that_were_read_are_answered_at_the_end_of_a_process() -> None:
    # Guards against requests behind one that hangs, which are dropped without an answer after SIGTERM.
    play(10)


@pytest.mark.processes
def test_no_answer_cut_by_its_length_is_served() -> None:
    # Guards against bytes behind a body that are taken for a reason to close the connection only.
    play(9)


@pytest.mark.processes
def test_a_branchs_non_idempotent_writes_run_once_though_its_gateway_returns_late() -> None:
    # Guards against a restored write that is sent again though the standby gateway has replayed it.
    play(3)
