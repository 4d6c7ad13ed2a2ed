"""Assigns each shard to a backend, from the endpoint list and the drains in progress.

A change of the list affects only a few of thousands of shards; only these are reassigned.
"""

from gorsethread.scheduling.model import Backend
from gorsethread.scheduling.rendezvous_ranking import RendezvousRanking

NEVER = float("inf")


class ShardAssignment:
    """Holds the known backends and, for each shard, the backend that serves it.

    A ready backend is preferred over a draining one, then the one started last. A backend is removed when it
    is no longer listed and has no attempt in flight. A shard is removed with its last backend.
    """

    def __init__(self) -> None:
        self.backends: dict[int, Backend] = {}
        self.serving: dict[int, Backend] = {}  # by shard
        self.next_drain_end = NEVER  # time at which update() is due, in seconds
        self.ranking = RendezvousRanking(self.serving)
        self._by_shard: dict[int, dict[int, Backend]] = {}
        self._not_ready: dict[int, Backend] = {}
        self._changed_shards: set[int] = set()

    def place(self, backend: Backend, shard: int) -> None:
        """Assigns a listed backend to a shard; its other fields may still change until update()."""
        self._remove_from_shard(backend)
        backend.shard = shard
        self._by_shard.setdefault(shard, {})[backend.id] = backend
        self._changed_shards.add(shard)
        self._not_ready[backend.id] = backend  # update() removes it if it is ready

    def withdraw(self, backend: Backend) -> None:
        """Stops new attempts to a backend that is no longer in the list."""
        backend.ready, backend.last_send = False, 0.0
        self._not_ready[backend.id] = backend

    def end_drain(self, backend: Backend) -> None:
        """Ends the drain of a backend that accepts no new attempts; update() is due at once."""
        backend.last_send = 0.0
        self.next_drain_end = 0.0

    def update(self, now: float) -> None:
        """Ends the drains whose time is over and reassigns each shard affected by a change."""
        self.next_drain_end = NEVER
        for backend in list(self._not_ready.values()):
            self._review(backend, now)
        for shard in self._changed_shards:
            self._assign(shard, now)
        self._changed_shards.clear()

    def _review(self, backend: Backend, now: float) -> None:
        """Checks a backend that was not ready: it is ready now, still draining, or to be removed."""
        self._changed_shards.add(backend.shard)
        if backend.ready:
            del self._not_ready[backend.id]
        elif backend.last_send > now:
            self.next_drain_end = min(self.next_drain_end, backend.last_send)
        elif not backend.in_flight:
            self._remove(backend)

    def _remove(self, backend: Backend) -> None:
        del self._not_ready[backend.id]
        del self.backends[backend.id]
        self._remove_from_shard(backend)

    def _remove_from_shard(self, backend: Backend) -> None:
        in_shard = self._by_shard.get(backend.shard, {})
        if in_shard.pop(backend.id, None) is None:
            return
        self._changed_shards.add(backend.shard)
        if not in_shard:
            del self._by_shard[backend.shard]

    def _assign(self, shard: int, now: float) -> None:
        in_shard = self._by_shard.get(shard, {}).values()
        usable = [backend for backend in in_shard if backend.ready or backend.last_send > now]
        best = max(usable, key=lambda backend: (backend.ready, backend.started_at, backend.id), default=None)
        previous = self.serving.get(shard)
        if best is previous:
            return
        if previous is not None:
            del self.serving[shard]
            self.ranking.removed(previous)
        if best is not None:
            self.serving[shard] = best
            self.ranking.added(best)
