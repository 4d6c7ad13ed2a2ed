"""A whole site in one process on a virtual clock: list, shelves, heads and clients as they are, a script of
faults, and every rule judged from what shelves and clients saw."""

import asyncio
import contextlib
import gc
from collections.abc import Callable, Sized
from dataclasses import dataclass, field, replace
from operator import attrgetter
from typing import Any, NamedTuple

import msgspec

from gorsethread.fakes.backend import Shelf
from gorsethread.fakes.client import LoadClient, Surge
from gorsethread.fakes.discovery import NodeList, Order
from gorsethread.fakes.record import Fault, Recorder
from gorsethread.invariants.history_checker import Break, Verdict, Witness
from gorsethread.invariants.online_checker import OnlineWitness
from gorsethread.latency_attribution.snapshots import decode
from gorsethread.nvme_gateway.gateway import Head
from gorsethread.scheduling.model import SlowStartRule
from gorsethread.simulation.script import ACT_KINDS, DURABLE_LOG_POINTS, Act, Clock, Script
from gorsethread.simulation.slow_start_checker import SlowStartChecker
from gorsethread.simulation.states import STATES, current_states
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.site_config.sizing import sized
from gorsethread.transport.base import StreamClosed, Unreachable
from gorsethread.transport.virtual import MAX_RESEND_DELAY, Disk, Network, VirtualLoop, VirtualTransport

TIMING_SLACK = 0.03  # seconds of slack for the judges, as the world knows when each byte left and came
START_UP = 2.0  # seconds from the first process to the first transaction
MIN_REQUESTS_TO_JUDGE = 20  # transactions in that time from which on a head is judged by them
FINAL_INTERVAL = 2.5  # the last seconds of sending, in which a head that stands must honour something
SETTLE_SECONDS = 3.0  # seconds after the last answer in which everything must have come to rest
CHECK_INTERVAL = 0.1  # seconds between looks at what must be bounded
MAX_UNSENT_BYTES = 4 << 20  # bytes one end of a connection may hold back
SLOW_START_UNITS_PER_GATEWAY = 3.0  # a head, that a cold shelf of every second world bears
LATENCY_FOLDER = "accounts"


class PointMethod(NamedTuple):
    """A method that a head may end itself behind: of which part of a Head, and its class, for processes."""

    part: str
    module: str
    kind: str
    method: str


def _point_methods(part: str, module: str, kind: str, methods: dict[str, str]) -> dict[str, PointMethod]:
    return {
        name: PointMethod(part, f"gorsethread.{module}", kind, method) for name, method in methods.items()
    }


POINT_METHODS = {
    **_point_methods(
        "driver",
        "gateway.driver",
        "Driver",
        {
            "take": "admit",
            "forward": "send_attempt",
            "push_back": "reject",
            "give_up": "fail",
            "ended": "_ended",
            "listed": "endpoints_listed",
            "work": "_run_batch",
        },
    ),
    **_point_methods(
        "promises",
        "nvme_gateway.replicated_log",
        "ReplicatedLog",
        {"promise": "placed", "flushed": "_on_flushed", "held": "_on_placed", "given": "_on_records_fetched"},
    ),
    **_point_methods("holding", "nvme_gateway.replica_server", "ReplicaServer", {"greeted": "_greeted"}),
    **_point_methods(
        "promises.store", "durable_log.log_store", "LogStore", {"segment": "_remove_old_segments"}
    ),
}
OUTCOME_COUNTERS = ("succeeded", "rejected", "failed", "client left")


def unsupported_acts(site: pb.Site, script: Script, web: bool = False, kept: bool = False) -> list[str]:
    """What a script names and this site, or its heads' front, does not have."""
    there = {
        "volume": {str(v.number) for v in site.volume},
        "client": {t.name for t in site.tenant},
        "room": {str(s.zone) for s in site.shelf},
    }
    named = [
        (str(act), *name.split(" ", 1))
        for act in script.acts
        for name in (act.target, act.to)
        if name.split(" ")[0] in there
    ]
    named += [("volumes", "volume", str(n)) for n in script.volumes]
    foreign = [
        f"{act}: not for heads of this front"
        for act in script.acts
        if ACT_KINDS[act.kind].http_only
        and not web
        or ACT_KINDS[act.kind].membership_only
        or ACT_KINDS[act.kind].relay_only
        or ACT_KINDS[act.kind].durable_log_only
        and not kept
        or ACT_KINDS[act.kind].branch_only
        and not any(act.target == f"head {n}" for b in site.branch for n in b.head)
    ]
    foreign += [
        f"{act}: not for heads without records"
        for act in script.acts
        if act.kind == "stab" and act.to.split(" ")[1] in DURABLE_LOG_POINTS and not kept
    ]
    return foreign + [
        f"{place}: the site has no {kind} {which}" for place, kind, which in named if which not in there[kind]
    ]


class NullLogger:
    """A log that keeps nothing."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_, **__: None


class MemoryRecorder(Recorder):
    """Keeps what a stand-in saw in memory. An arrival also says when its bytes left the head's socket, as a
    cut may hold them for long: the rules on what a head sends are judged by that."""

    def __init__(self, world: "SiteSimulation", transport: VirtualTransport, who: str) -> None:
        super().__init__(transport, who, "")
        self._world, self._process, self._name = world, transport, who

    def saw(self, event: str, **facts: Any) -> None:
        if not self._process.alive:
            return
        if event == "told":
            self._world.list_update_sent(facts)
            return
        if event == "arrived":
            facts["left"] = self._world.network.last_read_sent_at
        self._world.saw(self._name, event, facts)


@dataclass
class Outcome:
    """What came of a world."""

    script: Script
    verdict: Verdict
    defects: list[str]
    digest: str
    seconds: float  # virtual
    records: list[dict[str, Any]] = field(default_factory=list)
    states: dict[str, int] = field(default_factory=dict)
    online_breaks: list[tuple[float, Break]] = field(default_factory=list)  # breaks at the moment of each

    @property
    def good(self) -> bool:
        v = self.verdict
        return not (v.breaks or self.online_breaks or v.lost or v.duplicated or v.wrong_reads or self.defects)

    @property
    def reasons(self) -> list[str]:
        """What is wrong, a short line each, the same for the same fault: what shrinking holds on to."""
        v = self.verdict
        rules = {b.rule for b in v.breaks} | {b.rule for _, b in self.online_breaks}
        found = [f"rule {n}" for n in sorted(rules)]
        found += ["wrong reads"] if v.wrong_reads else []
        return found + sorted({d.split(":")[0] for d in self.defects})


class SiteSimulation:
    """change: what is done to each head before it starts, to plant a defect. Play it once."""

    known_states = STATES
    discovery_class: type[NodeList] = NodeList
    backend_class: type[Shelf] = Shelf
    client_class: type[LoadClient] = LoadClient
    applied_by_fakes: tuple[str, ...] = ("late", "refuse", "still", "slow", "errors", "surge")  # which acts

    def __init__(self, site: pb.Site, script: Script, change: Callable[[Any], None] | None = None) -> None:
        self.script, self.change = script, change
        addresses = [
            "list:4400",
            *(f"head-{n}:4420" for n in range(script.heads)),
            *(f"shelf-{n}:4430" for n in range(script.shelves)),
            *(f"head-{n}:4520" for n in range(script.heads)),
        ]
        self.site = sized(site, script.heads, script.shelves, addresses)
        self.loop = VirtualLoop()
        self.network = Network(self.loop, script.seed)
        self.loop.set_exception_handler(self._on_callback_error)
        self.network.on_arrival = self._on_arrival
        self.network.on_lost = lambda one, other: self._record_unreachable(one, other, 0.0)
        self.disk = Disk()
        self.records: list[dict[str, Any]] = []
        self.online_checker = OnlineWitness(self.site, TIMING_SLACK)
        self.defects: list[str] = []
        cold = self.site.rules.cold
        if script.seed % 2:
            # So little that one head lends it, over a network that loses, doubles and delays its messages.
            cold.units = SLOW_START_UNITS_PER_GATEWAY * script.heads
            self.network.conditions = replace(
                self.network.conditions, lost=0.05, doubled=0.05, late=0.05, max_late_delay=1.0
            )
        self.slow_start_checker = SlowStartChecker(
            SlowStartRule(cold.units, cold.span, cold.warm_after, cold.first_part), self._add_defect
        )
        self.traffic_start = self.loop.time() + START_UP
        self.day = self._process("day")
        self.processes: dict[str, VirtualTransport] = {}
        self.discovery: NodeList
        self.backends: dict[int, Shelf] = {}
        self.gateways: dict[int, Any] = {}  # of the front's own kind
        self.clients: dict[str, LoadClient] = {}
        self._pending_list_updates: dict[
            int, list[tuple[float, dict[str, Any]]]
        ] = {}  # on its way, by the network's ways
        self._crashes: list[tuple[str, str, int, Act]] = []
        self.states: dict[
            str, int
        ] = {}  # how often a kind of fault current_states heads in a state; no more than pairs

    # ---- records

    def saw(self, who: str, event: str, facts: dict[str, Any]) -> None:
        record = {"t": self.loop.time(), "who": who, "e": event, **facts}
        self.records.append(record)
        self.online_checker.take(record)
        self.network.add_to_digest(who, event, *facts.values())

    def list_update_sent(self, facts: dict[str, Any]) -> None:
        """News left the list; a head is told when it has come."""
        if self.network.last_written_pipe:
            self._pending_list_updates.setdefault(self.network.last_written_pipe, []).append(
                (self.loop.time(), facts)
            )

    def _on_arrival(self, one: str, other: str, count: int, left: float, way: int) -> None:
        if one == "list" and way in self._pending_list_updates:
            news = self._pending_list_updates.pop(way)
            come = [facts for at, facts in news if at <= left]
            if later := [entry for entry in news if entry[0] > left]:
                self._pending_list_updates[way] = later
            if come:
                self.processes[other].deliver(lambda: self._list_update_arrived(come))
        for crash in [c for c in self._crashes if c[:2] == (other, one) and c[2] <= count]:
            self._crashes.remove(crash)
            # The message is there, and what the process makes of it at once; then it is gone.
            self.loop.call_soon(self.loop.call_soon, self._stop_process, crash[3], crash[0], "crash")

    def _list_update_arrived(self, come: list[dict[str, Any]]) -> None:
        for facts in come:
            self.saw("list", "told", facts)

    # ---- processes

    def _process(self, name: str) -> VirtualTransport:
        clock = self.script.clocks.get(name, Clock(0.0, 0.0))
        return VirtualTransport(self.network, self.disk, name, clock.offset, clock.drift)

    def _start(self, name: str) -> VirtualTransport:
        process = self.processes[name] = self._process(name)
        return process

    def _start_discovery(self) -> None:
        process = self._start("list")
        script = [
            Fault(self.traffic_start + a.at, a.kind, a.seconds, a.amount)
            for a in self.script.acts
            if a.kind in ("late", "refuse") and self.traffic_start + a.at > self.loop.time()
        ]
        self.discovery = self.discovery_class(
            process, self.site, MemoryRecorder(self, process, "list"), script, NullLogger()
        )
        self.discovery.start()

    def _start_backend(self, number: int, warm: bool) -> None:
        name = f"shelf {number}"
        process = self._start(name)
        script = [
            Fault(self.traffic_start + a.at, a.kind, a.seconds, a.amount)
            for a in self.script.acts
            if a.target == name
            and a.kind in ("still", "slow", "errors", "spoil")
            and self.traffic_start + a.at > self.loop.time()
        ]
        shelf = self.backend_class(
            process,
            self.site,
            number,
            MemoryRecorder(self, process, name),
            "disk",
            script,
            warm,
            NullLogger(),
            lambda: self._on_backend_overloaded(number),
        )
        self.backends[number] = shelf
        shelf.start()

    def _on_backend_overloaded(self, number: int) -> None:
        self.loop.call_soon(self._stop_process, None, f"shelf {number}", "fall")

    def _start_gateway(self, number: int) -> None:
        name = f"head {number}"
        process = self._start(name)
        head = Head(
            process,
            self.site,
            number,
            self.script.seed * 1000 + number,
            f"remember/{number}",
            NullLogger(),
            accounts=LATENCY_FOLDER,
            window=1.0,
            records=self.records_folder(number),
        )
        self.gateways[number] = head
        self.slow_start_checker.watch(head.driver, number, self.loop.time)
        if self.change:
            self.change(head)
        head.start()

    def records_folder(self, number: int) -> str:
        """Where a head keeps records; "": nowhere."""
        return ""

    def _start_client(self, tenant: str) -> None:
        name = f"client {tenant}"
        process = self._start(name)
        surges = [
            Surge(int(a.target.split(" ")[1]), self.traffic_start + a.at, a.seconds, a.amount)
            for a in self.script.acts
            if a.kind == "surge"
        ]
        client = self.client_class(
            process,
            self.site,
            tenant,
            MemoryRecorder(self, process, name),
            self.script.factor,
            self.traffic_start,
            self.traffic_start + self.script.seconds,
            surges,
            NullLogger(),
        )
        if self.script.volumes:
            client.volumes = [v for v in client.volumes if v.number in self.script.volumes]
        client.leaves = self.script.leaves
        self.clients[tenant] = client

        async def whole() -> None:
            await client.run()
            process.finish()

        process.spawn(whole())

    # ---- acts

    def _stop_process(self, act: Act | None, name: str, how: str) -> None:
        process = self.processes[name]
        if not process.alive:
            return
        kind, _, number = name.partition(" ")
        if kind == "head":
            self._check_counters(int(number))
        if how == "vanish":
            process.vanish()
        else:
            process.kill()
        self.saw("day", f"{kind} killed", {kind: int(number or 0)})
        if act is not None:
            self.loop.call_later(act.seconds, self._restart_process, name)

    def _restart_process(self, name: str) -> None:
        if self.processes[name].alive:
            return
        kind, _, number = name.partition(" ")
        self.saw("day", f"{kind} back", {kind: int(number or 0)})
        if kind == "list":
            self._start_discovery()
        elif kind == "head":
            self._start_gateway(int(number))
        else:
            self._start_backend(int(number), False)

    def _processes_of(self, name: str) -> list[str]:
        """The processes of a room: its shelves, and its heads in turn; or the one process itself."""
        kind, _, which = name.partition(" ")
        if kind != "room":
            return [name]
        rooms = max((s.zone for s in self.site.shelf), default=0) + 1
        return [f"shelf {s.number}" for s in self.site.shelf if s.zone == int(which)] + [
            f"head {n}" for n in range(self.script.heads) if n % rooms == int(which)
        ]

    def _directions(self, act: Act) -> list[tuple[str, str]]:
        pairs = [
            (one, other)
            for one in self._processes_of(act.target)
            for other in self._processes_of(act.to)
            if one != other
        ]
        return pairs + [(other, one) for one, other in pairs] if act.both_ways else pairs

    def _record_unreachable(self, one: str, other: str, seconds: float) -> None:
        """The witness can't ask a head for answers to a client that it does not reach."""
        client, head = (one, other) if one.startswith("client") else (other, one)
        if client.startswith("client") and head.startswith("head"):
            self.saw(
                "day",
                "apart",
                {"client": client, "head": int(head.split(" ")[1]), "until": self.loop.time() + seconds},
            )

    def _record_act(self, act: Act) -> None:
        self.saw("day", "fault", {"act": str(act)})
        alive = [h for n, h in self.gateways.items() if self.processes[f"head {n}"].alive]
        for state in current_states(alive, self.known_states):
            self.states[f"{act.kind} | {state}"] = self.states.get(f"{act.kind} | {state}", 0) + 1

    def _apply(self, act: Act) -> None:
        self._record_act(act)
        kind, name = act.kind, act.target
        if kind in ("kill", "vanish"):
            self._stop_process(act, name, kind)
        elif kind == "pause":
            process = self.processes[name]
            if not process.alive:
                return
            if name.startswith("head"):
                for tenant in self.clients:
                    self._record_unreachable(f"client {tenant}", name, act.seconds)
            process.pause()
            self.loop.call_later(act.seconds, process.resume)
        elif kind == "cut":
            for one, other in self._directions(act):
                self.network.cut(one, other)
                self._record_unreachable(
                    one, other, act.seconds + MAX_RESEND_DELAY
                )  # what was held comes by then
                self.loop.call_later(act.seconds, self.network.heal, one, other)
        elif kind == "reset":
            for one, other in self._directions(act):
                self._record_unreachable(one, other, 0.0)
                self.network.reset(one, other)
        elif kind == "crash":
            came = self.network.arrivals.get((act.to, name), 0)
            crash = (name, act.to, came + int(act.amount), act)
            self._crashes.append(crash)
            self.loop.call_later(act.seconds, self._cancel_crash, crash)
        elif kind == "stab":
            self._kill_at_point(act)
        elif kind == "drain":
            self.day.spawn(self._set_backend_state(int(name.split(" ")[1]), "draining"))
            self.loop.call_later(act.seconds, self._end_drain, int(name.split(" ")[1]))
        elif kind == "connects":
            self.network.extra_connect_delay[name] = act.amount
            self.loop.call_later(act.seconds, self.network.extra_connect_delay.pop, name, None)
        elif kind == "disk":
            self.disk.broken.add(name)
            self.loop.call_later(act.seconds, self.disk.broken.discard, name)
        elif kind == "wall":
            self.processes[name].wall_offset += act.amount
        else:
            self._apply_variant_act(act)

    def _apply_variant_act(self, act: Act) -> None:
        """Acts that only this front knows."""
        raise ValueError(f"{act}: heads of this front don't meet it")

    def _kill_at_point(self, act: Act) -> None:
        """From now on counts how often the head comes to a point, and ends it there, with all that it has
        written and the network has not taken."""
        process = self.processes[act.target]
        if not process.alive:
            return
        point_at = POINT_METHODS[act.to.split(" ")[1]]
        part = attrgetter(point_at.part)(self.gateways[int(act.target.split(" ")[1])])
        honest, left = getattr(part, point_at.method), [int(act.amount)]

        def point(*arguments: Any, **named: Any) -> Any:
            result = honest(*arguments, **named)
            left[0] -= 1
            if left[0] == 0 and self.processes[act.target] is process:
                self._stop_process(act, act.target, "stab")
            return result

        setattr(part, point_at.method, point)

    def _cancel_crash(self, crash: tuple[str, str, int, Act]) -> None:
        if crash in self._crashes:
            self._crashes.remove(crash)

    def _end_drain(self, shelf: int) -> None:
        self.day.spawn(self._set_backend_state(shelf, "ready"))

    async def _set_backend_state(self, shelf: int, state: str) -> None:
        for _ in range(20):
            try:
                stream = await self.day.connect(*split_address(self.site.list.address), 2.0)
                stream.write(msgspec.json.encode(Order(shelf, state)) + b"\n")
                await stream.read()
                stream.close()
                return
            except (Unreachable, StreamClosed):
                await self.day.sleep(0.2)

    # ---- the whole

    def play(self) -> Outcome:
        # Coroutines that the collector ends run code; when it runs must not depend on what else there is.
        was_on = gc.isenabled()
        gc.disable()
        try:
            self.loop.run_until_complete(self._play())
        finally:
            self._close()
            if was_on:
                gc.enable()
        for name, process in self.processes.items():
            if process.failed is not None:
                self.defects.append(f"{name.split(' ')[0]} raised: {process.failed!r}")
        self.online_checker.end(self.loop.time())
        verdict = Witness(self.site, self.records, TIMING_SLACK).judge()
        if not verdict.counts["honoured"]:
            self.defects.append("nothing was honoured: this world shows nothing")
        return Outcome(
            self.script,
            verdict,
            self.defects,
            self.network.digest.hexdigest(),
            self.loop.time() - self.traffic_start + START_UP,
            self.records,
            self.states,
            self.online_checker.breaks,
        )

    async def _play(self) -> None:
        self._start_discovery()
        for shelf in self.site.shelf:
            self._start_backend(shelf.number, True)
        await self.day.sleep(0.5)
        for head in self.site.head:
            self._start_gateway(head.number)
        for tenant in self.site.tenant:
            self._start_client(tenant.name)
        for act in sorted(self.script.acts):
            if act.kind not in self.applied_by_fakes:
                self.loop.call_at(self.traffic_start + act.at, self._apply, act)
            else:
                self.loop.call_at(self.traffic_start + act.at, self._record_act, act)
        self.loop.call_later(CHECK_INTERVAL, self._check_bounds)
        for name in list(self.clients):
            await self.processes[f"client {name}"].until_finished()
        # A head that was refused often asks again late; what it is told then comes late too.
        by = self.loop.time() + self.site.list.ask_within + 1.0
        while not all(self._follows_discovery(h) for h in self.gateways.values()) and self.loop.time() < by:
            await self.day.sleep(0.2)
        await self.day.sleep(max(SETTLE_SECONDS, self.site.list.late_most + 1.0))
        self._check_end_state()
        self._check_latency_windows()

    def _follows_discovery(self, head: Any) -> bool:
        return head.follower._stream is not None

    def _close(self) -> None:
        for process in (*self.processes.values(), self.day):
            process._die()
        with contextlib.suppress(RuntimeError):
            self.loop.run_until_complete(_run_loop_iterations(5))
        self.loop.close()

    # ---- what must hold beside the rules

    def _check_bounds(self) -> None:
        """What must be bounded at every moment."""
        for number, head in self.gateways.items():
            if self.processes[f"head {number}"].alive:
                self._check_attempts(number, head)
        for process in self.processes.values():
            for stream in process.streams.values():
                if stream.unsent > MAX_UNSENT_BYTES:
                    self._add_defect(f"unbounded: {process.name} holds {stream.unsent} bytes back")
        self.loop.call_later(CHECK_INTERVAL, self._check_bounds)

    def _on_callback_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """An exception in a timer or another callback, which a loop would only log."""
        self._add_defect(f"raised: {context.get('exception') or context.get('message')!r}")

    def _add_defect(self, text: str) -> None:
        if text not in self.defects and len(self.defects) < 20:
            self.defects.append(text)

    def _ready_backends(self, head: Any) -> set[int]:
        """Shelves that its decisions take as ready, by the list's numbers."""
        return {s.id for s in head.driver.scheduler.shards.backends.values() if s.ready}

    def _check_attempts(self, number: int, head: Any) -> None:
        """No forward out without a transaction that owns it, and none awaited that no link holds."""
        driver = head.driver
        for owner in driver.open_requests.values():
            for f in owner.in_flight.values():
                held = driver.links.get(f.backend)
                if f in driver.awaiting_placement:
                    continue  # waits for the disk, or for copies
                if not f.ended and (held is None or held.out.get(f.cid) is not f and f not in held.waiting):
                    self._add_defect(
                        f"forward that no link holds: head {number}, shelf {f.backend}, transaction "
                        f"{owner.id}"
                    )
        for link in driver.links.values():
            for f in (*link.out.values(), *link.waiting):
                t = driver.open_requests.get(f.request)
                if not f.ended and f.number >= 0 and (t is None or t.in_flight.get(f.number) is not f):
                    self._add_defect(
                        f"forward without an owner: head {number}, shelf {link.shelf}, transaction "
                        f"{f.request}"
                    )

    def _check_counters(self, number: int) -> None:
        """taken is the sum of what was answered, who left, and what is open."""
        driver = self.gateways[number].driver
        counts = driver.counts
        waiting = sum(not t.answered for t in driver.open_requests.values())
        answered = sum(counts[how] for how in OUTCOME_COUNTERS)
        if counts["requests"] != answered + waiting:
            self._add_defect(
                f"counts do not add up: head {number}: taken {counts['requests']}, answered or left "
                f"{answered}, open {waiting}"
            )

    def _check_latency_windows(self) -> None:
        """Every window that a head kept can be read, and each life in it is the sum of its stages."""
        for name in self.day.list_files(LATENCY_FOLDER):
            raw = self.day.load(f"{LATENCY_FOLDER}/{name}")
            window = decode(raw or b"", self.site.name)
            if window.remainders or window.disorders:
                self._add_defect(
                    f"accounts do not add up: {name}: {window.remainders} remainders, "
                    f"{window.disorders} out of order"
                )

    def _check_end_state(self) -> None:
        """The faults are over and nobody asks for anything: all is answered, nothing is left behind."""
        honoured_by: dict[int, int] = {}
        sent_to: dict[int, int] = {}
        sent: dict[tuple[int, int], int] = {}
        begin = self.traffic_start + self.script.seconds - FINAL_INTERVAL
        for r in self.records:
            if r["e"] == "sent" and r["t"] >= begin:
                sent[r["label"], r["attempt"]] = r["head"]
                sent_to[r["head"]] = sent_to.get(r["head"], 0) + 1
            elif r["e"] == "answer" and r["how"] == "honoured" and (r["label"], r["attempt"]) in sent:
                by = sent[r["label"], r["attempt"]]
                honoured_by[by] = honoured_by.get(by, 0) + 1
        for number, head in self.gateways.items():
            if not self.processes[f"head {number}"].alive:
                self._add_defect(f"a head did not come back: head {number}")
                continue
            self._check_counters(number)
            driver, scheduler = head.driver, head.driver.scheduler
            left: dict[str, Sized] = {
                "open transactions": driver.open_requests,
                "transactions of the policy": scheduler.requests,
                "busy volumes": scheduler.queueing.busy,
                "lines of keys": scheduler.key_ordering.queues,
                "forwards at the policy's shelves": [
                    o for s in scheduler.shards.backends.values() for o in s.in_flight
                ],
            }
            for what, things in left.items():
                if things:
                    self._add_defect(f"left behind: head {number}: {len(things)} {what}")
            listed = {n for n, (_, state, _) in self.discovery.entries.items() if state == "ready"}
            used = self._ready_backends(head)
            if listed != used:
                self._add_defect(
                    f"not what the list says: head {number} uses {sorted(used)}, ready are "
                    f"{sorted(listed)}"
                )
            if sent_to.get(number, 0) >= MIN_REQUESTS_TO_JUDGE and not honoured_by.get(number):
                self._add_defect(
                    f"does not serve again: head {number} honoured none of the last " f"{sent_to[number]}"
                )


async def _run_loop_iterations(number: int) -> None:
    for _ in range(number):
        await asyncio.sleep(0)


def play(site: pb.Site, script: Script, change: Callable[[Any], None] | None = None) -> Outcome:
    """Plays a script once, in a world of its own."""
    return SiteSimulation(site, script, change).play()
