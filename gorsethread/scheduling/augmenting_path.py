"""The search that hands out backends' free slots: LexAS with weights.

Algorithm 2 of Gulati and Varman, "Lexicographic QoS Scheduling for Parallel I/O" (section 3.1). Its flows are
volumes, its disks backends; a backend has as many slots as are free, not one.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from gorsethread.scheduling.attempt_admission import AttemptAdmission
from gorsethread.scheduling.model import NEW_OBJECT, Backend, Request, Volume


class Edge(NamedTuple):
    """A request that may go to a backend: an edge of the paper's resource graph."""

    backend_id: int
    request: Request


class Unsaturated(NamedTuple):
    """A volume that may get one more slot, its first edge, and the count of its changes at that time."""

    volume: Volume
    edge: Edge
    changes_seen: int


class AugmentingPathSearch:
    """One search, over all backends with free slots; its state ends with it."""

    def __init__(self, admission: AttemptAdmission) -> None:
        self._admission = admission
        self._free: dict[int, int] = {}  # slots by backend, worked out as a volume asks for them
        self._chosen: dict[int, list[Request]] = {}  # by backend
        self._units_chosen: dict[str, float] = {}  # by volume
        self._changes: dict[str, int] = {}  # how often a volume's choices changed

    def run(self, volumes: Iterable[Volume]) -> dict[int, list[Request]]:
        """Returns the requests chosen for each backend (Algorithm 2).

        The unsaturated volume with the least virtual time gets a slot by an augmenting path. One without a
        path is saturated.
        """
        unsaturated: dict[str, Unsaturated] = {}
        for volume in volumes:
            if volume.queues:
                self._update(unsaturated, volume)
        while unsaturated:
            least = min(unsaturated.values(), key=self._virtual_time)
            if self._give_slot(least):
                self._update(unsaturated, least.volume)
            else:
                del unsaturated[least.volume.id]
        for requests in self._chosen.values():
            for request in requests:
                request.chosen = False
        return self._chosen

    def _update(self, unsaturated: dict[str, Unsaturated], volume: Volume) -> None:
        """A volume is saturated once it has no edge left."""
        edge = next(self._edges(volume), None)
        if edge is not None:
            unsaturated[volume.id] = Unsaturated(volume, edge, self._changes.get(volume.id, 0))
        else:
            unsaturated.pop(volume.id, None)

    def _virtual_time(self, entry: Unsaturated) -> float:
        """Returns the priority of a volume: (B + cost) / w, as its next request would make it."""
        volume = entry.volume
        chosen = self._units_chosen.get(volume.id, 0.0)
        return (volume.service_received + chosen + entry.edge.request.units) / volume.tier.weight

    def _give_slot(self, entry: Unsaturated) -> bool:
        """Chooses one more request of a volume; whether that was possible and more may wait."""
        volume = entry.volume
        backend_id, request = entry.edge
        # An edge seen before holds if the volume's choices are the same; it is the first that a path takes.
        unchanged = self._changes.get(volume.id, 0) == entry.changes_seen
        if unchanged and request.shard != NEW_OBJECT and self._has_free_slot(backend_id):
            self._mark(request)
            self._chosen[backend_id].append(request)
            return len(volume.queues) > 1 or len(volume.queues[request.shard]) > 1
        return self._find_path(volume, set())

    def _find_path(self, volume: Volume, visited: set[int]) -> bool:
        """Finds an augmenting path from a volume and takes it (path conditioning, section 3).

        Args:
            volume: The volume that gets one more slot.
            visited: The backends that this path has tried, which grows.
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
        """Takes a slot of another volume that finds one at a backend not visited yet."""
        chosen = self._chosen[backend_id]
        for index, other in enumerate(chosen):
            self._unmark(other)
            if other.volume is not request.volume and self._find_path(other.volume, visited):
                chosen[index] = request
                return True
            self._mark(other)
        return False

    def _has_free_slot(self, backend_id: int) -> bool:
        return len(self._chosen[backend_id]) < self._free[backend_id]

    def _mark(self, request: Request) -> None:
        request.chosen = True
        self._count(request.volume.id, request.units)

    def _unmark(self, request: Request) -> None:
        request.chosen = False
        self._count(request.volume.id, -request.units)

    def _count(self, volume_id: str, units: float) -> None:
        self._units_chosen[volume_id] = self._units_chosen.get(volume_id, 0.0) + units
        self._changes[volume_id] = self._changes.get(volume_id, 0) + 1

    def _edges(self, volume: Volume) -> Iterator[Edge]:
        """Yields the edge of each of the volume's queues that has one, in the order of the queues."""
        units_chosen = self._units_chosen.get(volume.id, 0.0)
        units_left = self._admission.units_left(volume) - units_chosen
        for queue in volume.queues.values():
            request = next((one for one in queue if not one.chosen), None) if queue[0].chosen else queue[0]
            if request is None or (not request.attempts and request.units > units_left):
                continue
            backend = self._suitable_backend(request)
            if backend is not None and self._admission.admits(request, backend, units_chosen):
                yield Edge(backend.id, request)

    def _suitable_backend(self, request: Request) -> Backend | None:
        """Returns the first candidate with free slots that suits the request."""
        for backend in self._admission.candidates(request.volume, request.shard):
            if self._free_slots(backend) > 0:
                chosen_there = len(self._chosen[backend.id])
                if self._admission.is_suitable(request, backend, chosen_there):
                    return backend
        return None

    def _free_slots(self, backend: Backend) -> int:
        """Returns the backend's free slots as the search began, also of those that it has given out since."""
        free = self._free.get(backend.id)
        if free is None:
            free = self._free[backend.id] = self._admission.free_slots(backend)
            self._chosen[backend.id] = []
        return free
