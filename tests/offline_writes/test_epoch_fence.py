"""Tests how long a gateway stops its replay while another one replays its queue."""

from gorsethread.offline_writes.epoch_fence import FENCE_DURATION, EpochFence


def test_a_fenced_gateway_sends_nothing_until_it_resumes_under_a_later_epoch() -> None:
    fence = EpochFence()
    fence.start(7)
    assert not fence.is_fenced(0.0)
    fence.fence(9, 10.0)
    assert fence.is_fenced(10.0)
    assert not fence.may_resume(10.0 + FENCE_DURATION / 2)
    assert fence.may_resume(10.0 + FENCE_DURATION)
    assert fence.is_fenced(10.0 + FENCE_DURATION)  # its own epoch is still the earlier one
    fence.resume()
    assert fence.epoch == 10
    assert not fence.is_fenced(10.0 + FENCE_DURATION)


def test_a_fence_by_an_epoch_that_is_not_later_ends_with_its_duration() -> None:
    fence = EpochFence()
    fence.start(7)
    fence.fence(7, 10.0)
    assert fence.is_fenced(10.0)
    assert not fence.is_fenced(10.0 + FENCE_DURATION)
