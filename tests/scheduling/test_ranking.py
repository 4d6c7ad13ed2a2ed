"""The ranking of backends for a volume: after any changes as ranked anew, and cheap in large fleets."""

from collections.abc import Iterable
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from gorsethread.scheduling import rendezvous_ranking
from gorsethread.scheduling.model import Backend, SchedulerSettings, TokenBucket, Volume
from gorsethread.scheduling.rendezvous_ranking import RendezvousRanking
from gorsethread.scheduling.scheduler import Scheduler
from tests.harness import FACTS, OPEN_PLAN, PrintingHost

SHARDS = 6
# (backend, shard, ready) of each entry of one list, and whether the list is whole.
LISTS = st.lists(
    st.tuples(
        st.lists(st.tuples(st.integers(1, 12), st.integers(0, SHARDS - 1), st.booleans()), max_size=6),
        st.booleans(),
    ),
    max_size=12,
)
LARGE, VOLUMES = 3200, 20
HASHES_MOST = 3 * LARGE.bit_length()  # for two backends put in their places among that many


def scheduler(host: PrintingHost) -> Scheduler:
    return Scheduler(host, SchedulerSettings(**FACTS), 7)


def volume(name: str) -> Volume:
    return Volume(
        f"0/{name}", name, OPEN_PLAN, 0.0, 1, TokenBucket(0.0, PrintingHost().now)
    )  # in use, so not forgotten


def ranked_anew(told: Scheduler, name: str) -> list[Backend]:
    return RendezvousRanking(told.shards.serving).backends_for(name)


def assigned_anew(told: Scheduler) -> dict[int, Backend]:
    """By shard, of all backends known: the ready one before one that drains, then the newest."""
    usable = [s for s in told.shards.backends.values() if s.ready or s.last_send > told.timers.now]
    return {s.shard: s for s in sorted(usable, key=lambda s: (s.ready, s.started_at, s.id))}


def tell(told: Scheduler, entries: list[tuple[int, int, bool]], whole: bool) -> None:
    told.endpoint_list_begins(whole, False)
    for id, shard, ready in entries:
        told.endpoint_listed(id, 0, shard, ready, 0.0)
    told.endpoint_list_ended()
    told.batch_ended()


@given(LISTS, st.booleans())
def test_after_any_lists_it_is_as_ranked_anew(
    lists: list[tuple[list[tuple[int, int, bool]], bool]], time_passes: bool
) -> None:
    host = PrintingHost()
    told, one = scheduler(host), volume("a")
    told.queueing.volumes[one.id] = one
    for entries, whole in lists:
        tell(told, entries, whole)
        if time_passes:
            host.now += 0.5  # some of the grace of those that drain
        assert told.admission.ranking(one) == ranked_anew(told, "a")
        assert set(told.admission.ranking(one)) == set(told.shards.serving.values())
        assert told.shards.serving == assigned_anew(told)


def test_a_change_of_one_backend_ranks_none_of_the_others_again() -> None:
    told = scheduler(PrintingHost())
    tell(told, [(n, n, True) for n in range(LARGE)], True)
    volumes = [volume(f"v{n}") for n in range(VOLUMES)]
    for one in volumes:
        told.queueing.volumes[one.id] = one
        told.admission.ranking(one)
    hashed: list[int] = []
    honest = rendezvous_ranking.positions

    def positions(name: str, backends: Iterable[Backend]) -> list[int]:
        found = honest(name, backends)
        hashed.extend(found)
        return found

    with mock.patch.object(rendezvous_ranking, "positions", positions):
        tell(told, [(1, 1, False)], False)  # drains, and holds its shard on
        tell(told, [(LARGE + 1, 1, True)], False)  # another takes its place
        for one in volumes:
            told.admission.ranking(one)
    assert 0 < len(hashed) <= VOLUMES * HASHES_MOST
    assert all(told.admission.ranking(one) == ranked_anew(told, one.id[2:]) for one in volumes)
