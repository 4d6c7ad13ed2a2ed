"""Heads in service as real processes on loopback, among shelves, a list and clients of this process, with a
relay between the heads and between each head and the list; a script strikes them, judges outside look on.

What a head has to know of the list counts as told as the operators' page has it: when the list wrote it;
where the relay kept it from coming through on any connection, when it came; where only connections of before
had fallen silent, as long after as the page gives a head to notice.
"""

import asyncio
import json
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gorsethread.fakes.backend import Shelf
from gorsethread.fakes.client import LoadClient, Surge
from gorsethread.fakes.discovery import NodeList
from gorsethread.fakes.record import Fault, Recorder
from gorsethread.fakes.web.backend import WebShelf
from gorsethread.fakes.web.clients import WebClient
from gorsethread.fakes.web.discovery import WebList
from gorsethread.fakes.web.messages import HEADS_FROM, instance, settings_of
from gorsethread.harness.kill_points import planted
from gorsethread.harness.process_faults import Cast
from gorsethread.harness.processes import Processes
from gorsethread.harness.relay import DatagramRelay, StreamRelay
from gorsethread.invariants.history_checker import Verdict, Witness
from gorsethread.simulation.script import Act, Script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.sizing import sized
from gorsethread.transport.base import Transport, Unreachable
from gorsethread.transport.real import RealTransport, free_ports

PLAYED = ("kill", "pause", "term", "cut", "lose", "drain", "refuse", "late", "reset", "mute", "stab")
PARTIES = ("head", "room", "shelf", "list", "point")
HELD = 0.3  # seconds after a pause in which a head works on what came meanwhile
START_WITHIN = 30.0  # seconds until all heads listen
TOLD_AFTER = 6.0  # seconds from a silence until what it hides counts as told
HEAD = "import runpy; runpy.run_module('gorsethread.http_gateway', run_name='__main__')"


@dataclass
class Result:
    """rules: breaks by rule, 1 to 7. messages: that heads sent each other."""

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
        # Of a head that stood still nobody outside knows in which order it read what came meanwhile (rule 5).
        broken = [n for rule, n in enumerate(self.rules, 1) if rule != 5]
        return not (any(broken) or self.lost or self.duplicated or self.reasons)


class Kept(Recorder):
    """In memory, those of all parties in one list."""

    def __init__(self, transport: Transport, who: str, records: list[dict[str, Any]]) -> None:
        super().__init__(transport, who, "")
        self._records, self._clock, self._name = records, transport, who

    def saw(self, event: str, **facts: Any) -> None:
        self._records.append({"t": self._clock.now(), "who": self._name, "e": event, **facts})


class Life:
    """One life of a shelf: its own transport, so that all of it ends together."""

    def __init__(self, trial: "ServiceTrial", number: int, warm: bool) -> None:
        self.transport = RealTransport(trial.script.seed * 100 + number)
        recorder = Kept(self.transport, f"shelf {number}", trial.records)
        self.shelf = trial.made_shelf(
            self.transport,
            trial.site,
            number,
            recorder,
            str(trial.processes.folder),
            [],
            warm,
            trial.log,
            lambda: trial.fell(number),
        )
        self.shelf.start()

    async def end(self) -> None:
        self.shelf.stop()
        await self.transport.end()


class ServiceTrial:
    """Play it once. The script says how many heads and shelves, how long, and what strikes them. plant: code
    that each head runs before it starts, for a defect. result_kind: what a trial of its own finds besides."""

    result_kind: Callable[[int], Any] = Result
    list_kind: type[NodeList] = WebList
    shelf_kind: type[Shelf] = WebShelf
    client_kind: type[LoadClient] = WebClient

    def __init__(
        self,
        transport: RealTransport,
        processes: Processes,
        site: pb.Site,
        log: Any,
        script: Script,
        plant: str = "",
    ) -> None:
        self.say: Callable[[str], None] = lambda line: None
        self.transport, self.processes, self.log, self.script = transport, processes, log, script
        self.plant = plant
        heads, shelves = script.heads, script.shelves
        # Addresses of this process alone on loopback, so that trials may run beside each other.
        self.net = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 200}"
        ports = free_ports(3 * heads + 2 + shelves)
        addresses = [
            f"{self.net}.250:{ports[0]}",
            *(f"127.0.0.1:{p}" for p in ports[1 : 1 + heads]),
            *(f"{self.net}.{1 + n}:{ports[1 + heads + n]}" for n in range(shelves)),
            *(f"127.0.0.1:{p}" for p in ports[1 + heads + shelves : 1 + 2 * heads + shelves]),
        ]
        self.site = sized(site, heads, shelves, addresses)
        self.list_led = f"{self.net}.251:{ports[-1]}"  # where heads of a site file find the list
        self.records: list[dict[str, Any]] = []
        self.day = Kept(transport, "day", self.records)
        self.nodes = self.list_kind(transport, self.site, Kept(transport, "list", self.records), [], log)
        self.cast = Cast(transport, processes, heads, self._start_head, lambda line: self.say(line))
        self.cast.own = {"shelf": self._shelf_act, "list": self._list_act}
        self.cast.saw = self._struck
        names = [f"head {n}" for n in range(heads)]
        self.private = ports[1 + 2 * heads + shelves : -1]
        self.public = [int(h.peers.rpartition(":")[2]) for h in self.site.head]
        self.relay = DatagramRelay(
            transport,
            self.cast.faults,
            dict(zip(names, self.public, strict=True)),
            dict(zip(names, self.private, strict=True)),
        )
        self.streams = self.cast.streams = StreamRelay(transport, self.cast.faults)
        self.lives: dict[int, Life] = {}
        self.result = self.result_kind(heads)

    def made_shelf(self, *given: Any) -> Any:
        return self.shelf_kind(*given)

    def _site_for(self, tenant: str) -> pb.Site:
        return self.site

    def fell(self, number: int) -> None:
        """A cold shelf got more than it bears."""

    # ---- heads

    def _configure(self, number: int) -> str:
        """What it is told at its start: the list as it knew it before any shelf came back."""
        known = [
            instance(s.number, s.address, s.shard, s.zone, "ready", 0.0, number) for s in self.site.shelf
        ]
        settings = {**settings_of(self.site), "index": number}
        order = {
            "name": f"n{number}",
            "listen": self.site.head[number].address,
            "discovery": f"{self.net}.251:{HEADS_FROM + number}",
            "seed": f"{self.script.seed * 1000 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
            "settings": settings,
            "known": {"generation": 1, "reset": True, "instances": known},
            "peer_listen": f"127.0.0.1:{self.private[number]}",
            "peers": [f"127.0.0.1:{port}" for port in self.public],
        }
        path = self.processes.folder / f"config-{number}.json"
        path.write_text(json.dumps(order))
        return str(path)

    async def _start_head(self, name: str) -> None:
        flags = {
            a.to.split(" ")[1]: self.cast.flag(a)
            for a in self.script.acts
            if a.kind == "stab" and a.target == name
        }
        points = planted(flags) if flags else ""
        await self.processes.start(
            name,
            begins=("-c", f"{points}\n{self.plant}\n{HEAD}"),
            settings={"GW_CONFIG": self._configure(int(name.split(" ")[1]))},
        )

    async def _all_listen(self) -> None:
        by = self.transport.now() + START_WITHIN
        for head in self.site.head:
            host, _, port = head.address.rpartition(":")
            while True:
                try:
                    (await self.transport.connect(host, int(port), 1.0)).close()
                    break
                except Unreachable:
                    if self.transport.now() > by:
                        raise RuntimeError(f"head {head.number} does not listen") from None
                    await self.transport.sleep(0.1)

    # ---- the script

    def _struck(self, event: str, act: Act) -> None:
        if event in ("cut", "reset", "mute"):
            client, head = (act.target, act.to) if act.target.startswith("client") else (act.to, act.target)
            if client.startswith("client") and head.startswith("head"):
                self.day.saw(
                    "apart",
                    client=client,
                    head=int(head.split(" ")[1]),
                    until=self.transport.now() + act.seconds + HELD,
                )
            return
        number = int(act.target.split(" ")[1])
        if event == "stopped":
            for t in self.site.tenant:
                # What it did not take while it stood still, or had no time left for, is no loss of its.
                self.day.saw(
                    "apart",
                    client=f"client {t.name}",
                    head=number,
                    until=self.transport.now() + act.seconds + HELD,
                )
        elif event == "killed":
            self.day.saw("head killed", head=number)

    async def _shelf_act(self, act: Act) -> None:
        number = int(act.target.split(" ")[1])
        if act.kind == "kill":
            await self.lives[number].end()
            self.day.saw("shelf killed", shelf=number)
            await self.transport.sleep(act.seconds)
            self.lives[number] = Life(self, number, False)
        elif act.kind == "drain":
            self.nodes.order(number, "draining")
            await self.transport.sleep(act.seconds)
            self.nodes.order(number, "ready")
        else:
            self.lives[number].shelf._fault(Fault(self.transport.now(), act.kind, act.seconds, act.amount))

    async def _list_act(self, act: Act) -> None:
        self.nodes._fault(Fault(self.transport.now(), act.kind, act.seconds, act.amount))

    def _ways(self) -> None:
        """What leads heads to the list, before any starts."""
        list_host = self.site.list.address.rpartition(":")[0]
        for n in range(self.script.heads):
            self.streams.way(
                f"head {n}", "list", (f"{self.net}.251", HEADS_FROM + n), (list_host, HEADS_FROM + n)
            )

    def _begun(self) -> None:
        """Clients are there, and have sent nothing yet."""

    async def _settled(self) -> None:
        """The script is played and clients have their answers; heads still run."""

    async def play(self) -> Any:
        site, transport, script = self.site, self.transport, self.script
        self.nodes.start()
        self._ways()
        try:
            for shelf in site.shelf:
                self.lives[shelf.number] = Life(self, shelf.number, True)
            await asyncio.gather(*(self._start_head(f"head {h.number}") for h in site.head))
            await self._all_listen()
            self.zero = zero = transport.now() + 1.0
            surges = [
                Surge(int(a.target.split(" ")[1]), zero + a.at, a.seconds, a.amount)
                for a in script.acts
                if a.kind == "surge"
            ]
            clients = self.clients = [
                self.client_kind(
                    transport,
                    self._site_for(t.name),
                    t.name,
                    Kept(transport, f"client {t.name}", self.records),
                    script.factor,
                    zero,
                    zero + script.seconds,
                    surges,
                    self.log,
                )
                for t in site.tenant
            ]
            runs = [asyncio.ensure_future(c.run()) for c in clients]
            self._begun()
            await self.cast.play(script, zero)
            # A process that was started just now has no handler of SIGTERM yet, and would end by the signal.
            await self._all_listen()
            await asyncio.gather(*runs)
            await self._settled()
        finally:
            statuses = await self.cast.end()
            self.relay.close()
            self.streams.close()
            self.nodes.stop()
            for life in self.lives.values():
                await life.end()
        self.result.reasons += [f"{name} ended with {status}" for name, status in statuses.items() if status]
        self.result.reasons += [f"never came to its point: {act}" for act in self.cast.unreached]
        return self._judged()

    # ---- judging

    def _judged(self) -> Any:
        self._tell_late()
        verdict, r = Witness(self.site, self.records).judge(), self.result
        self.verdict = verdict
        r.rules, r.lost, r.duplicated = verdict.rules, verdict.lost, verdict.duplicated
        r.honoured, r.taken = verdict.counts["honoured"], verdict.counts["taken"]
        r.messages = self.relay.datagrams
        r.reasons += [str(b) for b in verdict.breaks[:3]]
        self.judge(verdict)
        return r

    def judge(self, verdict: Verdict) -> None:
        """What a trial of its own looks at besides the rules."""

    def _tell_late(self) -> None:
        faults = self.cast.faults
        silences = list(faults.silences)
        silences += [(way, begun, begun + TOLD_AFTER) for way, begun in faults.mutes]
        for r in self.records:
            for way, begun, over in silences:
                if r["e"] == "told" and way == ("list", f"head {r['head']}") and begun <= r["t"] < over:
                    r["t"] = over
        self.records.sort(key=lambda r: r["t"])
