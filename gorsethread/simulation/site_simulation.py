"""Simulates a whole site in one process on a virtual clock, under a script of faults.

The discovery server, backends, gateways and clients run the same code as in real processes. Every rule is
checked with what backends and clients recorded.
"""

import asyncio
import contextlib
import gc
from collections.abc import Callable, Sized
from dataclasses import dataclass, field, replace
from operator import attrgetter
from typing import Any, NamedTuple

import msgspec

from gorsethread.fakes.backend import FakeBackend
from gorsethread.fakes.client import LoadClient, Surge
from gorsethread.fakes.discovery import DrainOrder, FakeDiscovery
from gorsethread.fakes.record import Fault, Recorder
from gorsethread.invariants.history_checker import HistoryChecker, Verdict, Violation
from gorsethread.invariants.online_checker import OnlineChecker
from gorsethread.latency_attribution.snapshots import decode
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.scheduling.model import SlowStartRule
from gorsethread.simulation.script import ACT_KINDS, DURABLE_LOG_POINTS, Act, Clock, Script
from gorsethread.simulation.slow_start_checker import SlowStartChecker
from gorsethread.simulation.states import STATES, current_states
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.site_config.sizing import resized_site
from gorsethread.transport.base import StreamClosed, Unreachable
from gorsethread.transport.virtual import MAX_RESEND_DELAY, Disk, Network, VirtualLoop, VirtualTransport

# Seconds of slack for the invariant checkers; little, as the simulation knows when bytes left and arrived.
TIMING_SLACK = 0.03
START_UP = 2.0  # seconds from the start of the first process to the first request
FINAL_INTERVAL = 2.5  # the last seconds of traffic, in which a gateway that runs must complete some request
MIN_REQUESTS_TO_CHECK = 20  # requests within FINAL_INTERVAL, below which a gateway is not checked for that
SETTLE_SECONDS = 3.0  # seconds after the last response, within which everything must have come to rest
CHECK_INTERVAL = 0.1  # seconds between checks of what must be bounded
MAX_UNSENT_BYTES = 4 << 20  # bytes that one end of a connection may buffer
SLOW_START_UNITS_PER_GATEWAY = 3.0  # what a backend in slow start gets with every second seed
LATENCY_FOLDER = "accounts"


class PointMethod(NamedTuple):
    """A method after which a gateway can be made to end itself.

    Attributes:
        part: Path of attributes from the gateway to the object, for simulations.
        module: Module of the object's class, for real processes, as the next two.
        class_name: Name of that class.
        method: Name of the method.
    """

    part: str
    module: str
    class_name: str
    method: str


def _point_methods(
    part: str, module: str, class_name: str, methods: dict[str, str]
) -> dict[str, PointMethod]:
    """Returns the points of one class by their names in scripts."""
    return {
        name: PointMethod(part, f"gorsethread.{module}", class_name, method)
        for name, method in methods.items()
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
        "replicated_log",
        "nvme_gateway.replicated_log",
        "ReplicatedLog",
        {"promise": "placed", "flushed": "_on_flushed", "held": "_on_placed", "given": "_on_records_fetched"},
    ),
    **_point_methods(
        "replica_server", "nvme_gateway.replica_server", "ReplicaServer", {"greeted": "_greeted"}
    ),
    **_point_methods(
        "replicated_log.store", "durable_log.log_store", "LogStore", {"segment": "_remove_old_segments"}
    ),
}
# Counters of a driver that count each request once, when it ends.
OUTCOME_COUNTERS = ("succeeded", "rejected", "failed", "client left")


def mismatched_acts(site: pb.Site, script: Script, web: bool = False, kept: bool = False) -> list[str]:
    """Returns a message for each thing a script names that this site or kind of gateway does not have.

    Args:
        web: Whether the gateways are HTTP gateways.
        kept: Whether the gateways keep a durable log.
    """
    names_by_kind = {
        "volume": {str(v.number) for v in site.volume},
        "client": {t.name for t in site.tenant},
        "room": {str(s.zone) for s in site.shelf},
    }
    named = [
        (str(act), *name.split(" ", 1))
        for act in script.acts
        for name in (act.target, act.to)
        if name.split(" ")[0] in names_by_kind
    ]
    named += [("volumes", "volume", str(n)) for n in script.volumes]
    messages = [
        f"{act}: not for this kind of gateway"
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
    messages += [
        f"{act}: not for gateways without a durable log"
        for act in script.acts
        if act.kind == "stab" and act.to.split(" ")[1] in DURABLE_LOG_POINTS and not kept
    ]
    return messages + [
        f"{place}: the site has no {kind} {name}"
        for place, kind, name in named
        if name not in names_by_kind[kind]
    ]


class NullLogger:
    """A logger that discards everything."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_, **__: None


class MemoryRecorder(Recorder):
    """Passes the events of a fake server or client to the simulation, which keeps them in memory.

    Adds to an arrival when its bytes left the gateway's socket, as a cut may delay them for long and the
    rules on what a gateway sends are checked by that time.
    """

    def __init__(self, simulation: "SiteSimulation", transport: VirtualTransport, who: str) -> None:
        super().__init__(transport, who, "")
        self._simulation, self._process, self._name = simulation, transport, who

    def record(self, event: str, **facts: Any) -> None:
        if not self._process.alive:
            return
        if event == "told":
            self._simulation.list_update_sent(facts)
            return
        if event == "arrived":
            facts["left"] = self._simulation.network.last_read_sent_at
        self._simulation.record_event(self._name, event, facts)


@dataclass
class Outcome:
    """The result of one simulation run.

    Attributes:
        verdict: What the check of the whole history found.
        defects: What else is wrong, each text with its reason before the first colon.
        digest: Hash of all events; equal runs have equal digests.
        seconds: Duration on the virtual clock.
        states: How often a kind of act struck gateways in a state, by "KIND | STATE".
        online_breaks: Rules broken by what was known at the time, each with the time.
    """

    script: Script
    verdict: Verdict
    defects: list[str]
    digest: str
    seconds: float
    records: list[dict[str, Any]] = field(default_factory=list)
    states: dict[str, int] = field(default_factory=dict)
    online_breaks: list[tuple[float, Violation]] = field(default_factory=list)

    @property
    def good(self) -> bool:
        v = self.verdict
        return not (
            v.violations or self.online_breaks or v.lost or v.duplicated or v.wrong_reads or self.defects
        )

    @property
    def reasons(self) -> list[str]:
        """Short texts of what is wrong. The same fault gives the same text; script reduction relies on it."""
        v = self.verdict
        rules = {b.rule for b in v.violations} | {b.rule for _, b in self.online_breaks}
        found = [f"rule {n}" for n in sorted(rules)]
        found += ["wrong reads"] if v.wrong_reads else []
        return found + sorted({d.split(":")[0] for d in self.defects})


class SiteSimulation:
    """One run of a script on a site. An instance can be played once.

    Args:
        change: Called with each gateway before it starts, to make it a mutant.

    Attributes:
        applied_by_fakes: Kinds of act that the fake servers and clients apply themselves.
        traffic_start: When clients start to send; the acts' times count from here.
        day: The process of the simulation itself, under whose name it records its own events.
    """

    known_states = STATES
    discovery_class: type[FakeDiscovery] = FakeDiscovery
    backend_class: type[FakeBackend] = FakeBackend
    client_class: type[LoadClient] = LoadClient
    applied_by_fakes: tuple[str, ...] = ("late", "refuse", "still", "slow", "errors", "surge")

    def __init__(self, site: pb.Site, script: Script, change: Callable[[Any], None] | None = None) -> None:
        self.script, self.change = script, change
        addresses = [
            "list:4400",
            *(f"head-{n}:4420" for n in range(script.heads)),
            *(f"shelf-{n}:4430" for n in range(script.shelves)),
            *(f"head-{n}:4520" for n in range(script.heads)),
        ]
        self.site = resized_site(site, script.heads, script.shelves, addresses)
        self.loop = VirtualLoop()
        self.network = Network(self.loop, script.seed)
        self.loop.set_exception_handler(self._on_callback_error)
        self.network.on_arrival = self._on_arrival
        self.network.on_lost = lambda source, destination: self._record_unreachable(source, destination, 0.0)
        self.disk = Disk()
        self.records: list[dict[str, Any]] = []
        self.online_checker = OnlineChecker(self.site, TIMING_SLACK)
        self.defects: list[str] = []
        cold = self.site.rules.cold
        if script.seed % 2:
            # So few units that one gateway leases them to the others, over a network that loses, duplicates
            # and delays their messages.
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
        self.discovery: FakeDiscovery
        self.backends: dict[int, FakeBackend] = {}
        self.gateways: dict[int, Any] = {}  # their class depends on the variant
        self.clients: dict[str, LoadClient] = {}
        # Updates of the endpoint list that have not arrived yet, with the time each was sent, by pipe.
        self._pending_list_updates: dict[int, list[tuple[float, dict[str, Any]]]] = {}
        # Crashes that wait for a message: process, sender, the number of arrivals from the sender at which
        # the process ends, and the act.
        self._crashes: list[tuple[str, str, int, Act]] = []
        # How often a kind of act struck gateways in a state; no more entries than pairs of both.
        self.states: dict[str, int] = {}

    # ---- records

    def record_event(self, who: str, event: str, facts: dict[str, Any]) -> None:
        """Adds an event to the history and passes it to the online checker."""
        record = {"t": self.loop.time(), "who": who, "e": event, **facts}
        self.records.append(record)
        self.online_checker.add(record)
        self.network.add_to_digest(who, event, *facts.values())

    def list_update_sent(self, facts: dict[str, Any]) -> None:
        """Keeps the event of an update that the discovery server has just sent until it is received."""
        if self.network.last_written_pipe:
            self._pending_list_updates.setdefault(self.network.last_written_pipe, []).append(
                (self.loop.time(), facts)
            )

    def _on_arrival(self, source: str, destination: str, count: int, sent_at: float, pipe: int) -> None:
        if source == "list" and pipe in self._pending_list_updates:
            updates = self._pending_list_updates.pop(pipe)
            arrived = [facts for at, facts in updates if at <= sent_at]
            if later := [update for update in updates if update[0] > sent_at]:
                self._pending_list_updates[pipe] = later
            if arrived:
                self.processes[destination].deliver(lambda: self._list_update_arrived(arrived))
        for crash in [c for c in self._crashes if c[:2] == (destination, source) and c[2] <= count]:
            self._crashes.remove(crash)
            # The process still reads the message and does what follows from it at once; then it ends.
            self.loop.call_soon(self.loop.call_soon, self._stop_process, crash[3], crash[0], "crash")

    def _list_update_arrived(self, arrived: list[dict[str, Any]]) -> None:
        for facts in arrived:
            self.record_event("list", "told", facts)

    # ---- processes

    def _process(self, name: str) -> VirtualTransport:
        clock = self.script.clocks.get(name, Clock(0.0, 0.0))
        return VirtualTransport(self.network, self.disk, name, clock.offset, clock.drift)

    def _start(self, name: str) -> VirtualTransport:
        process = self.processes[name] = self._process(name)
        return process

    def _start_discovery(self) -> None:
        process = self._start("list")
        faults = [
            Fault(self.traffic_start + a.at, a.kind, a.seconds, a.amount)
            for a in self.script.acts
            if a.kind in ("late", "refuse") and self.traffic_start + a.at > self.loop.time()
        ]
        self.discovery = self.discovery_class(
            process, self.site, MemoryRecorder(self, process, "list"), faults, NullLogger()
        )
        self.discovery.start()

    def _start_backend(self, number: int, warm: bool) -> None:
        name = f"shelf {number}"
        process = self._start(name)
        faults = [
            Fault(self.traffic_start + a.at, a.kind, a.seconds, a.amount)
            for a in self.script.acts
            if a.target == name
            and a.kind in ("still", "slow", "errors", "spoil")
            and self.traffic_start + a.at > self.loop.time()
        ]
        backend = self.backend_class(
            process,
            self.site,
            number,
            MemoryRecorder(self, process, name),
            "disk",
            faults,
            warm,
            NullLogger(),
            lambda: self._on_backend_overloaded(number),
        )
        self.backends[number] = backend
        backend.start()

    def _on_backend_overloaded(self, number: int) -> None:
        self.loop.call_soon(self._stop_process, None, f"shelf {number}", "fall")

    def _start_gateway(self, number: int) -> None:
        name = f"head {number}"
        process = self._start(name)
        gateway = NvmeGateway(
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
        self.gateways[number] = gateway
        self.slow_start_checker.watch(gateway.driver, number, self.loop.time)
        if self.change:
            self.change(gateway)
        gateway.start()

    def records_folder(self, number: int) -> str:
        """The folder of a gateway's durable log; empty if it keeps none."""
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
        client.abandon_fraction = self.script.leaves
        self.clients[tenant] = client

        async def run_and_finish() -> None:
            await client.run()
            process.finish()

        process.spawn(run_and_finish())

    # ---- acts

    def _stop_process(self, act: Act | None, name: str, how: str) -> None:
        """Ends a process; an act brings it back after the act's duration."""
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
        self.record_event("day", f"{kind} killed", {kind: int(number or 0)})
        if act is not None:
            self.loop.call_later(act.seconds, self._restart_process, name)

    def _restart_process(self, name: str) -> None:
        if self.processes[name].alive:
            return
        kind, _, number = name.partition(" ")
        self.record_event("day", f"{kind} back", {kind: int(number or 0)})
        if kind == "list":
            self._start_discovery()
        elif kind == "head":
            self._start_gateway(int(number))
        else:
            self._start_backend(int(number), False)

    def _processes_of(self, name: str) -> list[str]:
        """The processes of a party: a zone's backends and every n-th gateway, else the process itself."""
        kind, _, which = name.partition(" ")
        if kind != "room":
            return [name]
        rooms = max((s.zone for s in self.site.shelf), default=0) + 1
        return [f"shelf {s.number}" for s in self.site.shelf if s.zone == int(which)] + [
            f"head {n}" for n in range(self.script.heads) if n % rooms == int(which)
        ]

    def _directions(self, act: Act) -> list[tuple[str, str]]:
        """The pairs of source and destination that an act between two parties affects."""
        pairs = [
            (source, destination)
            for source in self._processes_of(act.target)
            for destination in self._processes_of(act.to)
            if source != destination
        ]
        return pairs + [(destination, source) for source, destination in pairs] if act.both_ways else pairs

    def _record_unreachable(self, source: str, destination: str, seconds: float) -> None:
        """Records that a gateway and a client may not reach each other for some seconds.

        The invariant checkers don't expect responses from the gateway to that client then.
        """
        client, gateway = (source, destination) if source.startswith("client") else (destination, source)
        if client.startswith("client") and gateway.startswith("head"):
            self.record_event(
                "day",
                "apart",
                {"client": client, "head": int(gateway.split(" ")[1]), "until": self.loop.time() + seconds},
            )

    def _record_act(self, act: Act) -> None:
        """Records that an act begins, and counts it for each state that gateways are in."""
        self.record_event("day", "fault", {"act": str(act)})
        alive = [g for n, g in self.gateways.items() if self.processes[f"head {n}"].alive]
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
            delayed_until = act.seconds + MAX_RESEND_DELAY  # data sent during the cut arrives by then
            for source, destination in self._directions(act):
                self.network.cut(source, destination)
                self._record_unreachable(source, destination, delayed_until)
                self.loop.call_later(act.seconds, self.network.heal, source, destination)
        elif kind == "reset":
            for source, destination in self._directions(act):
                self._record_unreachable(source, destination, 0.0)
                self.network.reset(source, destination)
        elif kind == "crash":
            arrived = self.network.arrivals.get((act.to, name), 0)
            crash = (name, act.to, arrived + int(act.amount), act)
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
        """Applies an act that only a variant of the simulation knows."""
        raise ValueError(f"{act}: not for this kind of gateway")

    def _kill_at_point(self, act: Act) -> None:
        """Ends a gateway after the n-th call of a point's method from now on.

        What it has written by then and the network has not yet accepted is lost.
        """
        process = self.processes[act.target]
        if not process.alive:
            return
        point = POINT_METHODS[act.to.split(" ")[1]]
        part = attrgetter(point.part)(self.gateways[int(act.target.split(" ")[1])])
        original, calls_left = getattr(part, point.method), [int(act.amount)]

        def count_call(*arguments: Any, **named: Any) -> Any:
            result = original(*arguments, **named)
            calls_left[0] -= 1
            if calls_left[0] == 0 and self.processes[act.target] is process:
                self._stop_process(act, act.target, "stab")
            return result

        setattr(part, point.method, count_call)

    def _cancel_crash(self, crash: tuple[str, str, int, Act]) -> None:
        if crash in self._crashes:
            self._crashes.remove(crash)

    def _end_drain(self, backend: int) -> None:
        self.day.spawn(self._set_backend_state(backend, "ready"))

    async def _set_backend_state(self, backend: int, state: str) -> None:
        """Has the discovery server report a state; tries 20 times, 0.2 s apart, if it can't be reached."""
        for _ in range(20):
            try:
                stream = await self.day.connect(*split_address(self.site.list.address), 2.0)
                stream.write(msgspec.json.encode(DrainOrder(backend, state)) + b"\n")
                await stream.read()
                stream.close()
                return
            except (Unreachable, StreamClosed):
                await self.day.sleep(0.2)

    # ---- running

    def play(self) -> Outcome:
        """Runs the script and returns the result. Exceptions of processes are reported as defects."""
        # The garbage collector closes coroutines, which runs their code; when that happens must not depend on
        # whatever else is in memory.
        gc_was_enabled = gc.isenabled()
        gc.disable()
        try:
            self.loop.run_until_complete(self._play())
        finally:
            self._close()
            if gc_was_enabled:
                gc.enable()
        for name, process in self.processes.items():
            if process.failed is not None:
                self.defects.append(f"{name.split(' ')[0]} raised: {process.failed!r}")
        self.online_checker.finish(self.loop.time())
        verdict = HistoryChecker(self.site, self.records, TIMING_SLACK).check()
        if not verdict.counts["honoured"]:
            self.defects.append("nothing was honoured: this run shows nothing")
        return Outcome(
            self.script,
            verdict,
            self.defects,
            self.network.digest.hexdigest(),
            self.loop.time() - self.traffic_start + START_UP,
            self.records,
            self.states,
            self.online_checker.violations,
        )

    async def _play(self) -> None:
        self._start_discovery()
        for backend in self.site.shelf:
            self._start_backend(backend.number, True)
        await self.day.sleep(0.5)
        for gateway in self.site.head:
            self._start_gateway(gateway.number)
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
        # A gateway that the discovery server refused often waits long before it asks again, and then gets its
        # updates late.
        deadline = self.loop.time() + self.site.list.ask_within + 1.0
        while (
            not all(self._follows_discovery(g) for g in self.gateways.values())
            and self.loop.time() < deadline
        ):
            await self.day.sleep(0.2)
        await self.day.sleep(max(SETTLE_SECONDS, self.site.list.late_most + 1.0))
        self._check_end_state()
        self._check_latency_windows()

    def _follows_discovery(self, gateway: Any) -> bool:
        """Whether the gateway has an open stream of updates from the discovery server."""
        return gateway.discovery._stream is not None

    def _close(self) -> None:
        for process in (*self.processes.values(), self.day):
            process._die()
        with contextlib.suppress(RuntimeError):
            self.loop.run_until_complete(_run_loop_iterations(5))
        self.loop.close()

    # ---- checks besides the rules

    def _check_bounds(self) -> None:
        """Checks, now and every CHECK_INTERVAL seconds, what must hold at every moment."""
        for number, gateway in self.gateways.items():
            if self.processes[f"head {number}"].alive:
                self._check_attempts(number, gateway)
        for process in self.processes.values():
            for stream in process.streams.values():
                if stream.unsent > MAX_UNSENT_BYTES:
                    self._add_defect(f"unbounded: {process.name} has {stream.unsent} unsent bytes")
        self.loop.call_later(CHECK_INTERVAL, self._check_bounds)

    def _on_callback_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Reports an exception in a timer or another callback, which an event loop would only log."""
        self._add_defect(f"raised: {context.get('exception') or context.get('message')!r}")

    def _add_defect(self, text: str) -> None:
        """Reports a defect once; at most 20 are kept."""
        if text not in self.defects and len(self.defects) < 20:
            self.defects.append(text)

    def _ready_backends(self, gateway: Any) -> set[int]:
        """The backends that the gateway's scheduler has as ready, by their numbers in the endpoint list."""
        return {b.id for b in gateway.driver.scheduler.shards.backends.values() if b.ready}

    def _check_attempts(self, number: int, gateway: Any) -> None:
        """Checks that each attempt in flight belongs to a request, and each of a request to a link."""
        driver = gateway.driver
        for owner in driver.open_requests.values():
            for attempt in owner.in_flight.values():
                link = driver.links.get(attempt.backend)
                if attempt in driver.awaiting_placement:
                    continue  # waits for the disk, or for replicas
                if not attempt.ended and (
                    link is None
                    or link.in_flight.get(attempt.cid) is not attempt
                    and attempt not in link.awaiting_connection
                ):
                    self._add_defect(
                        f"forward that no link holds: head {number}, shelf {attempt.backend}, transaction "
                        f"{owner.id}"
                    )
        for link in driver.links.values():
            for attempt in (*link.in_flight.values(), *link.awaiting_connection):
                request = driver.open_requests.get(attempt.request)
                if (
                    not attempt.ended
                    and attempt.number >= 0
                    and (request is None or request.in_flight.get(attempt.number) is not attempt)
                ):
                    self._add_defect(
                        f"forward without an owner: head {number}, shelf {link.backend}, transaction "
                        f"{attempt.request}"
                    )

    def _check_counters(self, number: int) -> None:
        """Checks that the requests admitted are those that ended, whose client left or that are open."""
        driver = self.gateways[number].driver
        counts = driver.counts
        waiting = sum(not request.answered for request in driver.open_requests.values())
        answered = sum(counts[name] for name in OUTCOME_COUNTERS)
        if counts["requests"] != answered + waiting:
            self._add_defect(
                f"counts do not add up: head {number}: taken {counts['requests']}, answered or left "
                f"{answered}, open {waiting}"
            )

    def _check_latency_windows(self) -> None:
        """Checks that every latency window on disk is readable, and each latency the sum of its stages."""
        for name in self.day.list_files(LATENCY_FOLDER):
            raw = self.day.load(f"{LATENCY_FOLDER}/{name}")
            window = decode(raw or b"", self.site.name)
            if window.remainders or window.disorders:
                self._add_defect(
                    f"accounts do not add up: {name}: {window.remainders} remainders, "
                    f"{window.disorders} out of order"
                )

    def _check_end_state(self) -> None:
        """Checks, when faults and traffic are over, that gateways serve and have nothing left open."""
        succeeded_by: dict[int, int] = {}  # by gateway
        sent_to: dict[int, int] = {}  # by gateway
        sent: dict[tuple[int, int], int] = {}
        begin = self.traffic_start + self.script.seconds - FINAL_INTERVAL
        for r in self.records:
            if r["e"] == "sent" and r["t"] >= begin:
                sent[r["label"], r["attempt"]] = r["head"]
                sent_to[r["head"]] = sent_to.get(r["head"], 0) + 1
            elif r["e"] == "answer" and r["how"] == "honoured" and (r["label"], r["attempt"]) in sent:
                number = sent[r["label"], r["attempt"]]
                succeeded_by[number] = succeeded_by.get(number, 0) + 1
        for number, gateway in self.gateways.items():
            if not self.processes[f"head {number}"].alive:
                self._add_defect(f"a head did not come back: head {number}")
                continue
            self._check_counters(number)
            driver, scheduler = gateway.driver, gateway.driver.scheduler
            remaining: dict[str, Sized] = {
                "open transactions": driver.open_requests,
                "transactions of the policy": scheduler.requests,
                "busy volumes": scheduler.queueing.busy,
                "lines of keys": scheduler.key_ordering.queues,
                "forwards at the policy's shelves": [
                    attempt for b in scheduler.shards.backends.values() for attempt in b.in_flight
                ],
            }
            for name, items in remaining.items():
                if items:
                    self._add_defect(f"left behind: head {number}: {len(items)} {name}")
            listed = {n for n, (_, state, _) in self.discovery.entries.items() if state == "ready"}
            used = self._ready_backends(gateway)
            if listed != used:
                self._add_defect(
                    f"not what the list says: head {number} uses {sorted(used)}, ready are "
                    f"{sorted(listed)}"
                )
            if sent_to.get(number, 0) >= MIN_REQUESTS_TO_CHECK and not succeeded_by.get(number):
                self._add_defect(
                    f"does not serve again: head {number} honoured none of the last " f"{sent_to[number]}"
                )


async def _run_loop_iterations(number: int) -> None:
    for _ in range(number):
        await asyncio.sleep(0)


def play(site: pb.Site, script: Script, change: Callable[[Any], None] | None = None) -> Outcome:
    """Runs a script once, in a simulation of its own."""
    return SiteSimulation(site, script, change).play()
