"""Which backend serves each shard, as the endpoint list and the drains stand now.

A list change touches few shards of thousands: only these are assigned anew.
"""

from gorsethread.scheduling.model import Backend
from gorsethread.scheduling.rendezvous_ranking import RendezvousRanking

NEVER = float("inf")


class ShardAssignment:
    """The backends known, and of each shard the one that serves it: ready before draining, then the newest.

    Emptied as backends leave the list with no attempt in flight; no more shards than the backends have.
    """

    def __init__(self) -> None:
        self.backends: dict[int, Backend] = {}
        self.serving: dict[int, Backend] = {}  # by shard
        self.next_drain_end = NEVER  # seconds on the gateway's clock: update() is due then
        self.ranking = RendezvousRanking(self.serving)
        self._by_shard: dict[int, dict[int, Backend]] = {}
        self._not_ready: dict[int, Backend] = {}
        self._changed_shards: set[int] = set()

    def place(self, backend: Backend, shard: int) -> None:
        """The list names the backend for that shard; its other fields may change until update()."""
        self._leave_shard(backend)
        backend.shard = shard
        self._by_shard.setdefault(shard, {})[backend.id] = backend
        self._changed_shards.add(shard)
        self._not_ready[backend.id] = backend  # update() takes out those that are ready

    def withdraw(self, backend: Backend) -> None:
        """The list does not name the backend any more: it gets no new attempt."""
        backend.ready, backend.last_send = False, 0.0
        self._not_ready[backend.id] = backend

    def end_drain(self, backend: Backend) -> None:
        """The backend takes no new attempt any more: update() is due at once."""
        backend.last_send = 0.0
        self.next_drain_end = 0.0

    def update(self, now: float) -> None:
        """Ends the drains whose time is over and assigns each shard that something changed for."""
        self.next_drain_end = NEVER
        for backend in list(self._not_ready.values()):
            self._review(backend, now)
        for shard in self._changed_shards:
            self._assign(shard, now)
        self._changed_shards.clear()

    def _review(self, backend: Backend, now: float) -> None:
        """Whether a backend that was not ready may still be sent to."""
        self._changed_shards.add(backend.shard)
        if backend.ready:
            del self._not_ready[backend.id]
        elif backend.last_send > now:
            self.next_drain_end = min(self.next_drain_end, backend.last_send)
        elif not backend.in_flight:
            self._forget(backend)

    def _forget(self, backend: Backend) -> None:
        del self._not_ready[backend.id]
        del self.backends[backend.id]
        self._leave_shard(backend)

    def _leave_shard(self, backend: Backend) -> None:
        of_shard = self._by_shard.get(backend.shard, {})
        if of_shard.pop(backend.id, None) is None:
            return
        self._changed_shards.add(backend.shard)
        if not of_shard:
            del self._by_shard[backend.shard]

    def _assign(self, shard: int, now: float) -> None:
        of_shard = self._by_shard.get(shard, {}).values()
        usable = [backend for backend in of_shard if backend.ready or backend.last_send > now]
        best = max(usable, key=lambda backend: (backend.ready, backend.started_at, backend.id), default=None)
        before = self.serving.get(shard)
        if best is before:
            return
        if before is not None:
            del self.serving[shard]
            self.ranking.left(before)
        if best is not None:
            self.serving[shard] = best
            self.ranking.joined(best)
