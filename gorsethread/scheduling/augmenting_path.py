"""Assigns the backends' free slots to waiting requests: LexAS with weights.

Implements algorithm 2 of Gulati and Varman, "Lexicographic QoS Scheduling for Parallel I/O" (section 3.1).
The paper's flows are volumes here and its disks are backends. A disk has one slot in the paper; a backend has
all its free slots.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from gorsethread.scheduling.attempt_admission import AttemptAdmission
from gorsethread.scheduling.model import NEW_OBJECT, Backend, Request, Volume


class Edge(NamedTuple):
    """A request that may be sent to a backend: an edge of the paper's resource graph."""

    backend_id: int
    request: Request


class Unsaturated(NamedTuple):
    """A volume that may get one more slot.

    edge: the volume's first edge; changes_seen: the volume's change count when that edge was found.
    """

    volume: Volume
    edge: Edge
    changes_seen: int


class AugmentingPathSearch:
    """One search over all backends with free slots. A new instance is made for each search."""

    def __init__(self, admission: AttemptAdmission) -> None:
        self._admission = admission
        self._free: dict[int, int] = {}  # slots by backend id, computed when first needed
        self._chosen: dict[int, list[Request]] = {}  # by backend id
        self._units_chosen: dict[str, float] = {}  # by volume id
        self._changes: dict[str, int] = {}  # by volume id: how often its choices changed

    def run(self, volumes: Iterable[Volume]) -> dict[int, list[Request]]:
        """Returns the requests chosen for each backend (Algorithm 2).

        The unsaturated volume with the smallest virtual time gets a slot by an augmenting path. A volume for
        which no path is found is saturated.
        """
        unsaturated: dict[str, Unsaturated] = {}
        for volume in volumes:
            if volume.queues:
                self._update(unsaturated, volume)
        while unsaturated:
            entry = min(unsaturated.values(), key=self._virtual_time)
            if self._assign_slot(entry):
                self._update(unsaturated, entry.volume)
            else:
                del unsaturated[entry.volume.id]
        for requests in self._chosen.values():
            for request in requests:
                request.chosen = False
        return self._chosen

    def _update(self, unsaturated: dict[str, Unsaturated], volume: Volume) -> None:
        """Updates a volume's entry, or removes it if the volume has no edge left."""
        edge = next(self._edges(volume), None)
        if edge is not None:
            unsaturated[volume.id] = Unsaturated(volume, edge, self._changes.get(volume.id, 0))
        else:
            unsaturated.pop(volume.id, None)

    def _virtual_time(self, entry: Unsaturated) -> float:
        """Returns a volume's virtual time after its next request: (B + cost) / w in the paper."""
        volume = entry.volume
        chosen = self._units_chosen.get(volume.id, 0.0)
        return (volume.service_received + chosen + entry.edge.request.units) / volume.tier.weight

    def _assign_slot(self, entry: Unsaturated) -> bool:
        """Chooses one more request of a volume; returns False if the volume is saturated now."""
        volume = entry.volume
        backend_id, request = entry.edge
        # The edge found before is still the volume's first edge if the volume's choices have not changed.
        unchanged = self._changes.get(volume.id, 0) == entry.changes_seen
        if unchanged and request.shard != NEW_OBJECT and self._has_free_slot(backend_id):
            self._mark(request)
            self._chosen[backend_id].append(request)
            return len(volume.queues) > 1 or len(volume.queues[request.shard]) > 1
        return self._augment_path(volume, set())

    def _augment_path(self, volume: Volume, visited: set[int]) -> bool:
        """Finds an augmenting path from a volume and applies it (path conditioning, section 3).

        Args:
            volume: The volume that gets one more slot.
            visited: The ids of the backends that this path has tried; the search adds to it.

        Returns:
            Whether a path was found.
        """
        for backend_id, request in self._edges(volume):
            if backend_id in visited:
                continue
            visited.add(backend_id)
            self._mark(request)
            if self._has_free_slot(backend_id):
                self._chosen[backend_id].append(request)
                return True
            if self._take_over_slot(backend_id, request, visited):
                return True
            self._unmark(request)
        return False

    def _take_over_slot(self, backend_id: int, request: Request, visited: set[int]) -> bool:
        """Moves a request of another volume to a backend not yet visited and reuses its slot, if possible."""
        chosen = self._chosen[backend_id]
        for index, candidate in enumerate(chosen):
            self._unmark(candidate)
            if candidate.volume is not request.volume and self._augment_path(candidate.volume, visited):
                chosen[index] = request
                return True
            self._mark(candidate)
        return False

    def _has_free_slot(self, backend_id: int) -> bool:
        return len(self._chosen[backend_id]) < self._free[backend_id]

    def _mark(self, request: Request) -> None:
        request.chosen = True
        self._record_change(request.volume.id, request.units)

    def _unmark(self, request: Request) -> None:
        request.chosen = False
        self._record_change(request.volume.id, -request.units)

    def _record_change(self, volume_id: str, units: float) -> None:
        self._units_chosen[volume_id] = self._units_chosen.get(volume_id, 0.0) + units
        self._changes[volume_id] = self._changes.get(volume_id, 0) + 1

    def _edges(self, volume: Volume) -> Iterator[Edge]:
        """Yields at most one edge for each of the volume's queues, in the order of the queues."""
        units_chosen = self._units_chosen.get(volume.id, 0.0)
        units_left = self._admission.units_left(volume) - units_chosen
        for queue in volume.queues.values():
            request = next((item for item in queue if not item.chosen), None) if queue[0].chosen else queue[0]
            if request is None or (not request.attempts and request.units > units_left):
                continue
            backend = self._suitable_backend(request)
            if backend is not None and self._admission.admits(request, backend, units_chosen):
                yield Edge(backend.id, request)

    def _suitable_backend(self, request: Request) -> Backend | None:
        """Returns the first suitable candidate with free slots, or None."""
        for backend in self._admission.candidates(request.volume, request.shard):
            if self._free_slots(backend) > 0:
                chosen_count = len(self._chosen[backend.id])
                if self._admission.is_suitable(request, backend, chosen_count):
                    return backend
        return None

    def _free_slots(self, backend: Backend) -> int:
        """Returns the backend's free slots at the start of the search, including those assigned since."""
        free = self._free.get(backend.id)
        if free is None:
            free = self._free[backend.id] = self._admission.free_slots(backend)
            self._chosen[backend.id] = []
        return free
