"""Runs HTTP gateways as real processes on loopback; backends, discovery and clients run in this process.

A relay forwards what gateways send each other and what discovery sends them. A script injects faults;
checkers use only the records of the fakes.

A gateway counts as told of a change of the list, as the operators' page defines it:
- when discovery wrote the change;
- if the relay held it on all connections, when the relay delivered it;
- if only connections that existed before were muted, NOTICE_SECONDS later, the time that the page allows a
  gateway to notice a silent connection.
"""

import asyncio
import json
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gorsethread.fakes.backend import FakeBackend
from gorsethread.fakes.client import LoadClient, Surge
from gorsethread.fakes.discovery import FakeDiscovery
from gorsethread.fakes.record import Fault, Recorder
from gorsethread.fakes.web.backend import HttpFakeBackend
from gorsethread.fakes.web.clients import HttpLoadClient
from gorsethread.fakes.web.discovery import HttpFakeDiscovery
from gorsethread.fakes.web.messages import FIRST_GATEWAY_PORT, instance, settings_of
from gorsethread.harness.kill_points import kill_point_code
from gorsethread.harness.process_faults import FaultPlayer
from gorsethread.harness.processes import Processes
from gorsethread.harness.relay import DatagramRelay, StreamRelay
from gorsethread.invariants.history_checker import HistoryChecker, Verdict, Violation
from gorsethread.simulation.script import Act, Script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.sizing import resized_site
from gorsethread.transport.base import Transport, Unreachable
from gorsethread.transport.real import RealTransport, free_ports

SUPPORTED_ACTS = ("kill", "pause", "term", "cut", "lose", "drain", "refuse", "late", "reset", "mute", "stab")
SUPPORTED_PARTIES = ("head", "room", "shelf", "list", "point")
SETTLE_SECONDS = 0.3  # after a pause, in which a gateway works on what arrived during it
START_TIMEOUT_SECONDS = 30.0  # until all gateways listen
NOTICE_SECONDS = 6.0  # after a connection was muted, until its messages count as told
GATEWAY_CODE = "import runpy; runpy.run_module('gorsethread.http_gateway', run_name='__main__')"


@dataclass
class Result:
    """The figures of one trial.

    rules: violations of each rule, 1 to 7. messages: datagrams that gateways sent each other.
    """

    processes: int
    rules: list[int] = field(default_factory=list)
    lost: int = 0
    duplicated: int = 0
    honoured: int = 0
    taken: int = 0
    messages: int = 0
    reasons: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        # Not rule 5 (order): nobody knows in which order a paused gateway read the requests that had arrived.
        broken = [n for rule, n in enumerate(self.rules, 1) if rule != 5]
        return not (any(broken) or self.lost or self.duplicated or self.reasons)


class MemoryRecorder(Recorder):
    """Keeps the records of all parties in one list in memory."""

    def __init__(self, transport: Transport, who: str, records: list[dict[str, Any]]) -> None:
        super().__init__(transport, who, "")
        self._records, self._clock, self._name = records, transport, who

    def record(self, event: str, **facts: Any) -> None:
        self._records.append({"t": self._clock.now(), "who": self._name, "e": event, **facts})


class BackendRun:
    """One run of a backend, on a transport of its own so that all its tasks end with it."""

    def __init__(self, trial: "ServiceTrial", number: int, warm: bool) -> None:
        self.transport = RealTransport(trial.script.seed * 100 + number)
        recorder = MemoryRecorder(self.transport, f"shelf {number}", trial.records)
        self.backend = trial.make_backend(
            self.transport,
            trial.site,
            number,
            recorder,
            str(trial.processes.folder),
            [],
            warm,
            trial.log,
            lambda: trial.backend_overloaded(number),
        )
        self.backend.start()

    async def end(self) -> None:
        self.backend.stop()
        await self.transport.end()


class ServiceTrial:
    """Runs one script against gateways as real processes; play() may be called once.

    The script gives the number of gateways and backends, the duration and the faults.
    defect_code: Python code that each gateway process runs before it starts, to make it faulty.
    result_class: class of the result; a subclass adds figures of its own.
    """

    result_class: Callable[[int], Any] = Result
    discovery_class: type[FakeDiscovery] = HttpFakeDiscovery
    backend_class: type[FakeBackend] = HttpFakeBackend
    client_class: type[LoadClient] = HttpLoadClient

    def __init__(
        self,
        transport: RealTransport,
        processes: Processes,
        site: pb.Site,
        log: Any,
        script: Script,
        defect_code: str = "",
    ) -> None:
        self.say: Callable[[str], None] = lambda line: None
        self.transport, self.processes, self.log, self.script = transport, processes, log, script
        self.defect_code = defect_code
        gateways, backends = script.heads, script.shelves
        # Loopback addresses that only this process uses, so that trials can run at the same time.
        self.net = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 200}"
        ports = free_ports(3 * gateways + 2 + backends)
        addresses = [
            f"{self.net}.250:{ports[0]}",
            *(f"127.0.0.1:{p}" for p in ports[1 : 1 + gateways]),
            *(f"{self.net}.{1 + n}:{ports[1 + gateways + n]}" for n in range(backends)),
            *(f"127.0.0.1:{p}" for p in ports[1 + gateways + backends : 1 + 2 * gateways + backends]),
        ]
        self.site = resized_site(site, gateways, backends, addresses)
        # The relay's address of the list, for gateways with a site file.
        self.relayed_list_address = f"{self.net}.251:{ports[-1]}"
        self.records: list[dict[str, Any]] = []
        self.day = MemoryRecorder(transport, "day", self.records)
        self.discovery = self.discovery_class(
            transport, self.site, MemoryRecorder(transport, "list", self.records), [], log
        )
        self.fault_player = FaultPlayer(
            transport, processes, gateways, self._start_gateway, lambda line: self.say(line)
        )
        self.fault_player.in_process_acts = {"shelf": self._backend_act, "list": self._discovery_act}
        self.fault_player.on_act = self._record_act
        names = [f"head {n}" for n in range(gateways)]
        self.private = ports[1 + 2 * gateways + backends : -1]
        self.public = [int(h.peers.rpartition(":")[2]) for h in self.site.head]
        self.relay = DatagramRelay(
            transport,
            self.fault_player.faults,
            dict(zip(names, self.public, strict=True)),
            dict(zip(names, self.private, strict=True)),
        )
        self.streams = self.fault_player.streams = StreamRelay(transport, self.fault_player.faults)
        self.backends: dict[int, BackendRun] = {}
        self.result = self.result_class(gateways)

    def make_backend(self, *given: Any) -> Any:
        return self.backend_class(*given)

    def _site_for(self, tenant: str) -> pb.Site:
        return self.site

    def backend_overloaded(self, number: int) -> None:
        """Called when a backend was overloaded during slow start."""

    # ---- gateways

    def _configure(self, number: int) -> str:
        """Writes a gateway's configuration and returns its path.

        The endpoint list in it is as before any restart: every backend is ready and started long ago.
        """
        known = [
            instance(s.number, s.address, s.shard, s.zone, "ready", 0.0, number) for s in self.site.shelf
        ]
        settings = {**settings_of(self.site), "index": number}
        configuration = {
            "name": f"n{number}",
            "listen": self.site.head[number].address,
            "discovery": f"{self.net}.251:{FIRST_GATEWAY_PORT + number}",
            "seed": f"{self.script.seed * 1000 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
            "settings": settings,
            "known": {"generation": 1, "reset": True, "instances": known},
            "peer_listen": f"127.0.0.1:{self.private[number]}",
            "peers": [f"127.0.0.1:{port}" for port in self.public],
        }
        path = self.processes.folder / f"config-{number}.json"
        path.write_text(json.dumps(configuration))
        return str(path)

    async def _start_gateway(self, name: str) -> None:
        flags = {
            a.to.split(" ")[1]: self.fault_player.flag(a)
            for a in self.script.acts
            if a.kind == "stab" and a.target == name
        }
        points = kill_point_code(flags) if flags else ""
        await self.processes.start(
            name,
            begins=("-c", f"{points}\n{self.defect_code}\n{GATEWAY_CODE}"),
            settings={"GW_CONFIG": self._configure(int(name.split(" ")[1]))},
        )

    async def _all_listen(self) -> None:
        deadline = self.transport.now() + START_TIMEOUT_SECONDS
        for head in self.site.head:
            host, _, port = head.address.rpartition(":")
            while True:
                try:
                    (await self.transport.connect(host, int(port), 1.0)).close()
                    break
                except Unreachable:
                    if self.transport.now() > deadline:
                        raise RuntimeError(f"gateway {head.number} does not listen") from None
                    await self.transport.sleep(0.1)

    # ---- the script

    def _record_act(self, event: str, act: Act) -> None:
        """Records when gateways were killed, stopped or cut off from clients, for the checker."""
        if event in ("cut", "reset", "mute"):
            client, gateway = (
                (act.target, act.to) if act.target.startswith("client") else (act.to, act.target)
            )
            if client.startswith("client") and gateway.startswith("head"):
                self.day.record(
                    "apart",
                    client=client,
                    head=int(gateway.split(" ")[1]),
                    until=self.transport.now() + act.seconds + SETTLE_SECONDS,
                )
            return
        number = int(act.target.split(" ")[1])
        if event == "stopped":
            for t in self.site.tenant:
                # Requests that it did not read while stopped, or had no time left for, are not lost.
                self.day.record(
                    "apart",
                    client=f"client {t.name}",
                    head=number,
                    until=self.transport.now() + act.seconds + SETTLE_SECONDS,
                )
        elif event == "killed":
            self.day.record("head killed", head=number)

    async def _backend_act(self, act: Act) -> None:
        number = int(act.target.split(" ")[1])
        if act.kind == "kill":
            await self.backends[number].end()
            self.day.record("shelf killed", shelf=number)
            await self.transport.sleep(act.seconds)
            self.backends[number] = BackendRun(self, number, False)
        elif act.kind == "drain":
            self.discovery.set_state(number, "draining")
            await self.transport.sleep(act.seconds)
            self.discovery.set_state(number, "ready")
        else:
            self.backends[number].backend._fault(
                Fault(self.transport.now(), act.kind, act.seconds, act.amount)
            )

    async def _discovery_act(self, act: Act) -> None:
        self.discovery._fault(Fault(self.transport.now(), act.kind, act.seconds, act.amount))

    def _add_routes(self) -> None:
        """Adds the relay's routes from gateways to discovery, before any gateway starts."""
        list_host = self.site.list.address.rpartition(":")[0]
        for n in range(self.script.heads):
            self.streams.add_route(
                f"head {n}",
                "list",
                (f"{self.net}.251", FIRST_GATEWAY_PORT + n),
                (list_host, FIRST_GATEWAY_PORT + n),
            )

    def _clients_started(self) -> None:
        """Called when the clients exist and have not sent anything."""

    async def _play_faults(self) -> None:
        """Plays the script's faults; returns when the last is over."""
        await self.fault_player.play(self.script, self.zero)

    async def _clients_finished(self) -> None:
        """Called when the script is over and clients have their answers; gateways still run."""

    async def play(self) -> Any:
        """Runs the trial and returns its result."""
        site, transport, script = self.site, self.transport, self.script
        self.discovery.start()
        self._add_routes()
        try:
            for shelf in site.shelf:
                self.backends[shelf.number] = BackendRun(self, shelf.number, True)
            await asyncio.gather(*(self._start_gateway(f"head {h.number}") for h in site.head))
            await self._all_listen()
            self.zero = zero = transport.now() + 1.0
            surges = [
                Surge(int(a.target.split(" ")[1]), zero + a.at, a.seconds, a.amount)
                for a in script.acts
                if a.kind == "surge"
            ]
            clients = self.clients = [
                self.client_class(
                    transport,
                    self._site_for(t.name),
                    t.name,
                    MemoryRecorder(transport, f"client {t.name}", self.records),
                    script.factor,
                    zero,
                    zero + script.seconds,
                    surges,
                    self.log,
                )
                for t in site.tenant
            ]
            runs = [asyncio.ensure_future(c.run()) for c in clients]
            self._clients_started()
            await self._play_faults()
            # Waits for restarted gateways: a new process has no handler of SIGTERM yet and would die of it.
            await self._all_listen()
            await asyncio.gather(*runs)
            await self._clients_finished()
        finally:
            statuses = await self.fault_player.end()
            self.relay.close()
            self.streams.close()
            self.discovery.stop()
            for backend in self.backends.values():
                await backend.end()
        self.result.reasons += [f"{name} ended with {status}" for name, status in statuses.items() if status]
        self.result.reasons += [
            f"the kill point was not reached: {act}" for act in self.fault_player.unreached_points
        ]
        return self._check_records()

    # ---- checks

    def _check_records(self) -> Any:
        self._postpone_told_records()
        verdict, r = HistoryChecker(self.site, self.records).check(), self.result
        self.verdict = verdict
        r.rules, r.lost, r.duplicated = verdict.rules, verdict.lost, verdict.duplicated
        r.honoured, r.taken = verdict.counts["honoured"], verdict.counts["taken"]
        r.messages = self.relay.datagrams
        r.reasons += [str(b) for b in self._judged_violations(verdict)[:3]]
        self.judge(verdict)
        return r

    def _judged_violations(self, verdict: Verdict) -> list[Violation]:
        """Returns the violations that count as a failure of the trial."""
        return verdict.violations

    def judge(self, verdict: Verdict) -> None:
        """Checks what a subclass checks in addition to the rules."""

    def _postpone_told_records(self) -> None:
        """Sets each told record to the time at which its gateway counts as told."""
        faults = self.fault_player.faults
        silences = list(faults.silences)
        silences += [(direction, begin, begin + NOTICE_SECONDS) for direction, begin in faults.mutes]
        for r in self.records:
            for direction, begin, end in silences:
                if r["e"] == "told" and direction == ("list", f"head {r['head']}") and begin <= r["t"] < end:
                    r["t"] = end
        self.records.sort(key=lambda r: r["t"])
