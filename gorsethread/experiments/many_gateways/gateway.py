"""A model gateway: the host of one scheduler, without sockets."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from gorsethread.experiments.many_gateways.backend import WAY, Sent
from gorsethread.experiments.many_gateways.workload import Ask
from gorsethread.scheduling.model import (
    AttemptEnded,
    AttemptOutcome,
    RequestReceived,
)
from gorsethread.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from gorsethread.experiments.many_gateways.simulation import World

DEADLINES = (14.6, 18.0, 36.5)
RESTART = 0.5  # seconds that a head is away


@dataclass(eq=False)
class Held:
    ask: Ask
    deadline: float
    forwards: int = 0
    out: "Sent | None" = None
    answered: bool = False


class ModelGateway:
    """The host of one scheduler."""

    def __init__(self, world: "World", number: int, scheduler: Callable[..., Scheduler]) -> None:
        self.world, self.number, self.kind = world, number, scheduler
        self.life = 0
        self.told: dict[int, tuple[int, int, int, bool, float]] = {
            n: (n, 0, n, True, 0.0) for n in range(world.day.scene.shelves)
        }  # entries as its list has them
        self._begin()

    def _begin(self) -> None:
        scene = self.world.day.scene
        self.open: dict[int, Held] = {}
        self.life += 1
        self.away = False
        self.scheduler = self.kind(
            self,
            replace(self.world.day.facts, gateway_index=self.number),
            (scene.seed * 1000 + self.number) * 8 + self.life,
        )
        self._listed(list(self.told.values()), True)

    def _listed(self, entries: list[tuple[int, int, int, bool, float]], whole: bool) -> None:
        self.scheduler.endpoint_list_begins(whole, whole)
        for entry in entries:
            self.scheduler.endpoint_listed(*entry)
        self.scheduler.endpoint_list_ended()
        self.scheduler.batch_ended()

    def renewed(self, old: int, new: int, shard: int, since: float) -> None:
        """Its list tells of a shelf's end and of the cold one in its place."""
        self.told.pop(old)
        self.told[new] = (new, 0, shard, True, since)
        if not self.away:
            self._listed([(old, 0, shard, False, 0.0), self.told[new]], False)

    def killed(self) -> None:
        for t in self.open.values():
            if t.out is not None:
                t.out.over = True
                self.world.machines[t.out.shelf].drop(t.out)
            self.world.ends["lost with a head"] += not t.answered
        self.open, self.away = {}, True
        self.world.at(self.world.now + RESTART, self._begin)

    def take(self, id: int, ask: Ask) -> None:
        if self.away:
            self.world.ends["found no head"] += 1
            return
        store = self.world.day.stores[ask.volume]
        t = self.open[id] = Held(ask, self.world.now + DEADLINES[ask.profile])
        self.scheduler.request_received(
            RequestReceived(
                id,
                ask.profile,
                store.plan,
                None,
                t.deadline,
                f"v{ask.volume}",
                float(ask.units),
                ask.shard,
                len(store.heads),
                False,
            )
        )
        self.scheduler.batch_ended()
        self.world.at(t.deadline, lambda: self._time_is_up(id))

    def _time_is_up(self, id: int) -> None:
        t = self.open.get(id)
        if t is not None and t.out is not None:
            self.ended(t.out, AttemptOutcome.TIMED_OUT)

    def ended(self, f: Sent, how: AttemptOutcome) -> None:
        if f.over:
            return
        f.over = True
        t = self.open[f.id]
        t.out = None
        if how is AttemptOutcome.SUCCEEDED:
            t.answered = True
            self.world.honoured(t.ask)
        else:
            self.world.machines[f.shelf].drop(f)
        elapsed = self.world.now - f.at
        self.scheduler.attempt_ended(
            AttemptEnded(f.id, f.number, how, f.shelf, elapsed, t.answered, 0.0, 0.0)
        )
        self.scheduler.batch_ended()
        if t.answered and t.out is None:
            self.open.pop(f.id, None)

    # ---- the policy's acts

    def clock(self) -> float:
        return self.world.now

    def send_attempt(self, transaction: int, shelf: int, wait: float) -> None:
        t = self.open[transaction]
        f = t.out = Sent(self, transaction, t.forwards, t.ask, shelf, self.world.now)
        t.forwards += 1
        self.world.forwards += 1
        self.world.forwarded(shelf, t.ask.units)
        self.world.at(self.world.now + WAY, lambda: self.world.machines[shelf].take(f))

    def cancel_attempt(self, transaction: int, number: int) -> None:
        t = self.open[transaction]
        if t.out is not None and t.out.number == number:
            self.ended(t.out, AttemptOutcome.CANCELLED)

    def reject(self, transaction: int, retry_after: float) -> None:
        self._answer(transaction, "pushed back")

    def fail(self, transaction: int) -> None:
        self._answer(transaction, "given up")

    def _answer(self, id: int, how: str) -> None:
        t = self.open[id]
        t.answered = True
        self.world.ends[how] += 1
        if t.out is None:
            del self.open[id]

    def set_timer(self, delay: float, name: str) -> None:
        self.world.at(self.world.now + delay, partial(self._woken, name, self.life))

    def _woken(self, name: str, life: int) -> None:
        if not self.away and life == self.life:
            self.scheduler.timer_fired(name)
            self.scheduler.batch_ended()

    def send_peer_message(self, head: int, words: str) -> None:
        self.world.tell(self.number, head, words)

    def hear(self, origin: int, words: str) -> None:
        if not self.away:
            self.scheduler.peer_message_received(origin, words)
            self.scheduler.batch_ended()

    def poll_endpoints(self) -> None:
        pass
