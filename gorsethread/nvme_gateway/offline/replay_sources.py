"""The queues that this gateway replays: its own, and the other gateway's while that one is dead."""

from typing import NamedTuple

from gorsethread.offline_writes.epoch_fence import EpochFence
from gorsethread.offline_writes.messages import ReplayProgress
from gorsethread.offline_writes.write_queue import WriteQueue
from gorsethread.offline_writes.writes import WriteNumber


class ReplaySource(NamedTuple):
    """A queue, the gateway that accepted its writes, and the epoch under which they are replayed."""

    queue: WriteQueue
    gateway: int
    epoch: int


class ReplaySources:
    """Owns the queue taken over from the other gateway, until it is given back."""

    def __init__(self, own_queue: WriteQueue, gateway: int, fence: EpochFence) -> None:
        self._own_queue = own_queue
        self._gateway = gateway
        self._fence = fence
        self._taken_over: ReplaySource | None = None

    def all(self) -> list[ReplaySource]:
        """Returns all sources, this gateway's own first."""
        sources = [ReplaySource(self._own_queue, self._gateway, self._fence.epoch)]
        if self._taken_over is not None:
            sources.append(self._taken_over)
        return sources

    def of_gateway(self, gateway: int) -> ReplaySource | None:
        """Returns the source with the writes that the gateway accepted."""
        return next((source for source in self.all() if source.gateway == gateway), None)

    def queue_with(self, number: WriteNumber | None) -> WriteQueue | None:
        """Returns the queue that contains the write."""
        return next((source.queue for source in self.all() if number in source.queue), None)

    @property
    def taken_over(self) -> WriteQueue | None:
        """The other gateway's queue while this gateway replays it, otherwise None."""
        return self._taken_over.queue if self._taken_over is not None else None

    def take_over(self, source: ReplaySource) -> None:
        """Adds the other gateway's queue to the sources."""
        self._taken_over = source

    def give_back(self) -> None:
        """Removes the other gateway's queue from the sources."""
        self._taken_over = None

    def mark_connection_lost(self, gateway: int | None = None) -> None:
        """Marks the writes under way to a gateway of the main site, or to any, as unknown."""
        for source in self.all():
            source.queue.mark_connection_lost(gateway)

    def progress(self) -> list[ReplayProgress]:
        """Returns the progress message for each source."""
        return [
            ReplayProgress(
                source.gateway,
                source.epoch,
                source.queue.completed_up_to if source.gateway == self._gateway else (0, 0),
                source.queue.completed_exceptions,
            )
            for source in self.all()
        ]
