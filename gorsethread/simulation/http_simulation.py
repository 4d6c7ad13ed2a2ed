"""A site whose heads serve on the operators' platform, in one process on a virtual clock: HTTP clients,
shelves and discovery round the live head as it is, the same scripts, rules and judges as the other front."""

import json
from typing import Any

from gorsethread.fakes.web.backend import WebShelf
from gorsethread.fakes.web.bad_clients import OWED_WITHIN, RudeClient
from gorsethread.fakes.web.clients import WebClient, WebLink, WebTry
from gorsethread.fakes.web.discovery import WebList
from gorsethread.fakes.web.messages import HEADS_FROM, instance, settings_of
from gorsethread.http_gateway.configuration import read_configuration
from gorsethread.http_gateway.endpoint_list import backend_number
from gorsethread.http_gateway.gateway import (
    CLIENTS_FRACTION,
    KILL_AFTER_SECONDS,
    MAX_COUNTED_WAIT_SECONDS,
    Gateway,
)
from gorsethread.invariants.history_checker import MOMENT
from gorsethread.simulation.script import Act
from gorsethread.simulation.site_simulation import MemoryRecorder, NullLogger, SiteSimulation
from gorsethread.simulation.states import WEB_STATES
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address

PEER_PORT = 7946
FULL_FRACTION = 0.9  # of the connections a head may hold: so many fill it
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 512}
MAX_REFUSED_FRACTION, MIN_REFUSED_REQUESTS = (
    0.005,
    5,
)  # of the requests, from which on those that found no room are lost
DELIVERY_SECONDS = 0.05  # seconds in which what was written is with whom it was for
DEFECT_EVENTS = (
    "bad request",
    "rude",
    "closed early",
)  # what stand-ins record and no honest head gives cause for


class HttpSimulation(SiteSimulation):
    """Play it once."""

    known_states = WEB_STATES
    applied_by_fakes = (*SiteSimulation.applied_by_fakes, "spoil")
    discovery_class, backend_class, client_class = WebList, WebShelf, WebClient

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.reported_states: dict[
            int, dict[int, str]
        ] = {}  # by head: the state of each shelf, as it was told last
        self._last_cold_start: dict[int, int] = {}  # by shelf: the last start of it that was no warm one
        self._pending_requests: dict[
            int, tuple[int, int]
        ] = {}  # requests on their way to heads, by the network's ways

    def record_event(self, who: str, event: str, facts: dict[str, Any]) -> None:
        if event == "rude" and facts["late"] and self._was_stopped(f"head {facts['head']}", OWED_WITHIN):
            return
        if event == "shut out":
            links = [c.links.get(facts["head"]) for c in self.clients.values()]
            facts["held"] = sum(link.open for link in links if isinstance(link, WebLink))
        if event == "closed early" and self._may_close_connections(facts["head"]):
            return
        if event in DEFECT_EVENTS:
            self._add_defect(
                f"{event}: {' '.join(f'{k}={v}' for k, v in facts.items() if k != 'head')}"[:200]
            )
            return
        if event == "arrived" and (facts["label"], facts["attempt"]) not in self.online_checker.seen:
            self._add_defect(f"sent what no client asked for: head {facts['head']}, label {facts['label']}")
        if event == "told":
            self.reported_states.setdefault(facts["head"], {})[facts["shelf"]] = facts["state"]
            if facts["state"] == "ready" and facts["start"] == self._last_cold_start.get(facts["shelf"]):
                self.slow_start_checker.gateway_notified(
                    facts["head"], backend_number(f"s-{facts['shelf']}"), self.loop.time()
                )
        if event == "up" and not facts["warm"]:
            self._last_cold_start[facts["shelf"]] = facts["start"]
            self.slow_start_checker.backend_started(backend_number(f"s-{facts['shelf']}"), self.loop.time())
        super().record_event(who, event, facts)
        if event in ("sent", "sent anew"):
            self._pending_requests[self.network.last_written_pipe] = facts["label"], facts["attempt"]

    def _on_arrival(self, one: str, other: str, count: int, left: float, way: int) -> None:
        super()._on_arrival(one, other, count, left, way)
        # Requests of one client come on several connections: a head takes them in the order they are there.
        if way in self._pending_requests and other.startswith("head"):
            label, attempt = self._pending_requests.pop(way)
            self.processes[other].deliver(
                lambda: self.record_event("day", "came", {"label": label, "attempt": attempt})
            )

    def _start_client(self, tenant: str) -> None:
        super()._start_client(tenant)
        client: Any = self.clients[tenant]
        client.crosses = self._is_unread

    def _is_unread(self, one: WebTry) -> bool:
        """It had not come, or had only just and was not read yet."""
        came = self.online_checker.seen[one.t.label, one.attempt].came
        return not came or self.loop.time() - came < MOMENT

    # ---- heads

    def _gateway_index(self, number: int) -> int:
        return [h.number for h in self.site.head].index(number)

    def _peer_address(self, head: pb.Head) -> str:
        return f"{split_address(head.address)[0]}:{PEER_PORT}"

    def _configure(self, number: int) -> str:
        """Writes its configuration; the list it is told of is as this head last had it."""
        me = next(h for h in self.site.head if h.number == number)
        states = self.reported_states.get(number, {})
        known = [
            instance(s.number, s.address, s.shard, s.zone, states.get(s.number, "ready"), 0.0, number)
            for s in self.site.shelf
            if states.get(s.number) != "gone"
        ]
        host, _ = split_address(self.site.list.address)
        order = {
            "name": f"n{number}",
            "listen": me.address,
            "discovery": f"{host}:{HEADS_FROM + number}",
            "seed": f"{self.script.seed * 1000 + number:016x}",
            "limits": LIMITS,
            "settings": {**settings_of(self.site), "index": self._gateway_index(number)},
            "peers": [self._peer_address(h) for h in self.site.head],
            "peer_listen": self._peer_address(me),
            "known": {"generation": 1, "reset": True, "instances": known},
        }
        path = f"config/{number}.json"
        self.disk.files[path] = bytearray(json.dumps(order).encode())
        return path

    def _start_gateway(self, number: int) -> None:
        name = f"head {number}"
        process = self._start(name)
        path = self._configure(number)
        head = Gateway(process, read_configuration(process.load(path), path), path, NullLogger())
        self.gateways[number] = head
        self.slow_start_checker.watch(head.driver, number, self.loop.time)
        process.on_reload(head.reload)
        if self.change:
            self.change(head)
        head.start()

    def _apply_variant_act(self, act: Act) -> None:
        process, number = self.processes[act.target], int(act.target.split(" ")[1])
        head = self.gateways[number]
        if not process.alive:
            return
        if act.kind == "reload":
            process.reload()
        elif act.kind == "term":
            process.on_terminate(lambda: process.spawn(self._end_gateway(act, head)))
            process.terminate()
            longest = (
                min(max(p.cut_off for p in self.site.profile), MAX_COUNTED_WAIT_SECONDS) + KILL_AFTER_SECONDS
            )
            self.loop.call_later(longest, self._kill_after_timeout, act, process)
        elif act.kind == "rude":
            rude = self._process("rude")
            struck = next(h for h in self.site.head if h.number == number)
            client = RudeClient(rude, self.site, MemoryRecorder(self, rude, "rude"))
            rude.spawn(client.at(struck, rude.now() + act.seconds))

    async def _end_gateway(self, act: Act, head: Any) -> None:
        await head.end()
        number = int(act.target.split(" ")[1])
        taken = [
            s for s in self.online_checker.seen.values() if s.came and not s.how and s.sent["head"] == number
        ]
        self.loop.call_later(DELIVERY_SECONDS, self._check_graceful_end, act.target, taken)
        self.loop.call_soon(self._stop_process, act, act.target, "end")

    def _check_graceful_end(self, name: str, taken: list[Any]) -> None:
        """Answers that were on their way as the head ended are there now."""
        reached = [
            s
            for s in taken
            if not any(
                begin <= self.loop.time() and s.sent["t"] <= until
                for begin, until in self.online_checker._away[s.sent["who"], s.sent["head"]]
            )
        ]
        if any(s.how in ("", "unreachable") for s in reached):
            self._add_defect(f"ended under requests it had taken: {name}")

    def _kill_after_timeout(self, act: Act, process: Any) -> None:
        if self.processes[act.target] is process and process.alive:
            if not self._was_stopped(act.target, self.loop.time() - self.traffic_start - act.at):
                self._add_defect(f"did not end in time after SIGTERM: {act.target}")
            self._stop_process(act, act.target, "kill")

    def _was_stopped(self, head: str, within: float) -> bool:
        """Whether a fault of the script held that head up or ended it in the last so many seconds."""
        now = self.loop.time() - self.traffic_start
        return any(
            a.kind in ("pause", "vanish", "kill", "stab", "crash", "term")
            and a.target == head
            and a.at < now
            and a.end > now - within
            for a in self.script.acts
            if a.kind == "pause" or within == OWED_WITHIN
        )

    def _may_close_connections(self, head: int) -> bool:
        """Whether it was told to end, and may close what is idle, or its machine closed all as it died."""
        now, name = self.loop.time() - self.traffic_start, f"head {head}"
        told = any(a.kind == "term" and a.target == name and a.at <= now for a in self.script.acts)
        return told or not self.processes[name].alive or self._was_stopped(name, OWED_WITHIN)

    # ---- what must hold

    def _follows_discovery(self, head: Any) -> bool:
        return head.discovery._stream is not None

    def _ready_backends(self, head: Any) -> set[int]:
        names = {backend_number(f"s-{s.number}"): s.number for s in self.site.shelf}
        return {names[s.id] for s in head.driver.scheduler.shards.backends.values() if s.ready}

    def _check_attempts(self, number: int, head: Any) -> None:
        """Each connection counted is one that is kept, carries a forward or comes up, and none carries a
        forward that no transaction owns."""
        pool, driver = head.pool, head.driver
        kept = sum(len(link.idle_connections) for link in driver.links.values())
        if not 0 <= kept + len(pool.busy) <= pool.open_connections <= pool.max_connections:
            self._add_defect(
                f"connections do not add up: head {number}: held {pool.open_connections} of "
                f"{pool.max_connections}, kept {kept}, busy {len(pool.busy)}"
            )
        for connection in pool.busy.values():
            f = connection.attempt
            t = driver.open_requests.get(f.request) if f is not None else None
            if f is not None and not f.ended and (t is None or t.in_flight.get(f.number) is not f):
                self._add_defect(f"forward without an owner: head {number}, shelf {connection.link.host}")

    def _check_latency_windows(self) -> None:
        """None are kept on this front; beside, too many must not have found it full, unless it was: by
        connections that its clients held there as they see it."""
        full = FULL_FRACTION * CLIENTS_FRACTION * LIMITS["sockets"]
        out = sum(r["e"] == "shut out" and r["held"] < full for r in self.records)
        sent = sum(r["e"] == "sent" for r in self.records)
        if out > max(MIN_REFUSED_REQUESTS, MAX_REFUSED_FRACTION * sent):
            self._add_defect(f"no room: {out} of {sent} requests found none")
