"""Executes operators' commands: `gorsethread branch show | history | parked | release | discard`."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from gorsethread.nvme_gateway.offline.branch_settings import BranchSettings
from gorsethread.nvme_gateway.offline.change_history import ChangeHistory
from gorsethread.nvme_gateway.offline.dead_letters import DeadLetters
from gorsethread.nvme_gateway.offline.replay import Replay
from gorsethread.nvme_gateway.offline.replay_sources import ReplaySources
from gorsethread.nvme_gateway.offline.standby_writes import StandbyWrites
from gorsethread.offline_writes.epoch_fence import EpochFence
from gorsethread.offline_writes.link_monitor import LinkMonitor
from gorsethread.offline_writes.messages import OperatorQuery
from gorsethread.offline_writes.queued_write import QueuedWrite
from gorsethread.offline_writes.write_queue import WriteQueue
from gorsethread.offline_writes.writes import WriteNumber
from gorsethread.transport.base import Transport

SECONDS_DIGITS = 1

JsonObject = dict[str, Any]


class OperatorQueries:
    """Executes operators' commands; owns no state.

    Args:
        transport: Provides the time.
        settings: Settings of this gateway.
        link: State of the link to the main site.
        fence: Fence of this gateway's epoch.
        queue: This gateway's own queue.
        standby_writes: Writes of the branch's other gateway.
        sources: The queues that this gateway replays.
        replay: Replays those queues.
        dead_letters: Carries out release and discard.
        history: Changes and counters.
        is_finished: Whether a write of either gateway is finished.
    """

    def __init__(
        self,
        transport: Transport,
        settings: BranchSettings,
        link: LinkMonitor,
        fence: EpochFence,
        queue: WriteQueue,
        standby_writes: StandbyWrites,
        sources: ReplaySources,
        replay: Replay,
        dead_letters: DeadLetters,
        history: ChangeHistory,
        is_finished: Callable[[WriteNumber], bool],
    ) -> None:
        self._transport = transport
        self._settings = settings
        self._link = link
        self._fence = fence
        self._queue = queue
        self._standby_writes = standby_writes
        self._sources = sources
        self._replay = replay
        self._dead_letters = dead_letters
        self._history = history
        self._is_finished = is_finished
        self._reports: dict[str, Callable[[], JsonObject]] = {
            "show": self._state,
            "history": lambda: {"changes": history.changes},
            "parked": self._list_dead_letters,
        }

    def answer(self, query: OperatorQuery) -> JsonObject:
        """Returns the answer as a JSON object, with the key `error` if the command failed."""
        report = self._reports.get(query.command)
        if report is not None:
            return report()
        number = WriteNumber(*query.number) if query.number is not None else None
        queue = self._sources.queue_with(number)
        queued = queue.get(number) if queue is not None and number is not None else None
        if queue is None or queued is None or not queued.is_dead_lettered:
            return {"error": "there is no parked write of that number"}
        if query.command == "release":
            released = self._dead_letters.release(queue, queued.write.number)
            return {"released": [list(each) for each in released]}
        if query.command == "discard":
            return self._discard(queue, queued)
        return {"error": f"there is no '{query.command}'"}

    def _discard(self, queue: WriteQueue, queued: QueuedWrite) -> JsonObject:
        number = queued.write.number
        if number.gateway != self._settings.gateway:
            return {"error": f"it is head {number.gateway}'s: discard it there"}
        if not self._dead_letters.discard(queue, queued):
            return {"error": "another write depends on it: discard that first, or release this one"}
        return {"discarded": list(number)}

    def _list_dead_letters(self) -> JsonObject:
        return {
            "parked": [
                self._description(queued)
                for source in self._sources.all()
                for queued in source.queue.dead_letters
            ]
        }

    def _description(self, queued: QueuedWrite) -> JsonObject:
        write = queued.write
        return {
            "number": list(write.number),
            "volume": write.volume,
            "block": write.block,
            "bytes": write.size,
            "waits_for": [list(number) for number in write.dependencies if not self._is_finished(number)],
            "stage": queued.stage.value,
            "reason": queued.reason,
            "age": round(self._transport.wall_time() - write.accepted_at, SECONDS_DIGITS),
        }

    def _state(self) -> JsonObject:
        wall = self._transport.wall_time()
        now = self._transport.now()
        taken_over = self._sources.taken_over
        oldest = max((wall - queued.write.accepted_at for queued in self._queue), default=0.0)
        return {
            "branch": self._settings.name,
            "head": self._settings.gateway,
            "link": self._link.state.value,
            "link_since": round(now - self._link.since, SECONDS_DIGITS),
            "writes": len(self._queue),
            "bytes": self._queue.size,
            "stages": dict(Counter(queued.stage.value for queued in self._queue)),
            "oldest": round(oldest, SECONDS_DIGITS),
            "window": self._replay.window_size,
            "of_the_other_head": len(self._standby_writes),
            "stands_in_for": len(taken_over) if taken_over is not None else 0,
            "shut_out": self._fence.is_fenced(now),
            "counts": dict(self._history.counts),
        }


def as_json(answer: JsonObject) -> bytes:
    """Encodes an answer for the operator's command."""
    return msgspec.json.encode(answer)
