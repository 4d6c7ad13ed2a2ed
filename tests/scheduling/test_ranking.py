"""Tests that a volume's ranking of backends is updated correctly, and at low cost in large fleets."""

from collections.abc import Iterable
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from gorsethread.scheduling import rendezvous_ranking
from gorsethread.scheduling.model import Backend, SchedulerSettings, TokenBucket, Volume
from gorsethread.scheduling.rendezvous_ranking import RendezvousRanking
from gorsethread.scheduling.scheduler import Scheduler
from tests.harness import SCHEDULER_SETTINGS, UNLIMITED_TIER, RecordingActions

SHARDS = 6
# The (backend, shard, ready) entries of a list, and whether the list is complete.
LISTS = st.lists(
    st.tuples(
        st.lists(st.tuples(st.integers(1, 12), st.integers(0, SHARDS - 1), st.booleans()), max_size=6),
        st.booleans(),
    ),
    max_size=12,
)
LARGE_FLEET, VOLUMES = 3200, 20
MAX_HASHES = 3 * LARGE_FLEET.bit_length()  # for inserting two backends in the ranking of a large fleet


def new_scheduler(actions: RecordingActions) -> Scheduler:
    return Scheduler(actions, SchedulerSettings(**SCHEDULER_SETTINGS), 7)


def new_volume(name: str) -> Volume:
    """Returns a volume in use, which the scheduler does not drop."""
    return Volume(f"0/{name}", name, UNLIMITED_TIER, 0.0, 1, TokenBucket(0.0, RecordingActions().now))


def ranked_from_scratch(scheduler: Scheduler, name: str) -> list[Backend]:
    return RendezvousRanking(scheduler.shards.serving).backends_for(name)


def assigned_from_scratch(scheduler: Scheduler) -> dict[int, Backend]:
    """Returns the backend for each shard: a ready one before a draining one, then the one started last."""
    usable = [b for b in scheduler.shards.backends.values() if b.ready or b.last_send > scheduler.timers.now]
    return {b.shard: b for b in sorted(usable, key=lambda b: (b.ready, b.started_at, b.id))}


def pass_list(scheduler: Scheduler, entries: list[tuple[int, int, bool]], complete: bool) -> None:
    scheduler.endpoint_list_begins(complete, False)
    for id, shard, ready in entries:
        scheduler.endpoint_listed(id, 0, shard, ready, 0.0)
    scheduler.endpoint_list_ended()
    scheduler.batch_ended()


@given(LISTS, st.booleans())
def test_after_any_lists_the_ranking_equals_one_from_scratch(
    lists: list[tuple[list[tuple[int, int, bool]], bool]], time_passes: bool
) -> None:
    actions = RecordingActions()
    scheduler, volume = new_scheduler(actions), new_volume("a")
    scheduler.queueing.volumes[volume.id] = volume
    for entries, complete in lists:
        pass_list(scheduler, entries, complete)
        if time_passes:
            actions.now += 0.5  # part of the grace of draining backends
        assert scheduler.admission.ranking(volume) == ranked_from_scratch(scheduler, "a")
        assert set(scheduler.admission.ranking(volume)) == set(scheduler.shards.serving.values())
        assert scheduler.shards.serving == assigned_from_scratch(scheduler)


def test_a_change_of_one_backend_does_not_rank_the_others_again() -> None:
    scheduler = new_scheduler(RecordingActions())
    pass_list(scheduler, [(n, n, True) for n in range(LARGE_FLEET)], True)
    volumes = [new_volume(f"v{n}") for n in range(VOLUMES)]
    for volume in volumes:
        scheduler.queueing.volumes[volume.id] = volume
        scheduler.admission.ranking(volume)
    hashed: list[int] = []
    original = rendezvous_ranking.positions

    def positions(name: str, backends: Iterable[Backend]) -> list[int]:
        hashes = original(name, backends)
        hashed.extend(hashes)
        return hashes

    with mock.patch.object(rendezvous_ranking, "positions", positions):
        pass_list(scheduler, [(1, 1, False)], False)  # drains and still serves its shard
        pass_list(scheduler, [(LARGE_FLEET + 1, 1, True)], False)  # another backend replaces it
        for volume in volumes:
            scheduler.admission.ranking(volume)
    assert 0 < len(hashed) <= VOLUMES * MAX_HASHES
    assert all(
        scheduler.admission.ranking(volume) == ranked_from_scratch(scheduler, volume.id[2:])
        for volume in volumes
    )
