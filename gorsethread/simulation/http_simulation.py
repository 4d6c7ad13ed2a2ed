"""Simulates a site with HTTP gateways in one process on a virtual clock.

HTTP clients, backends and a discovery server surround the gateway's production code; scripts, rules and
invariant checkers are those of the simulation with NVMe gateways.
"""

import json
from typing import Any

from gorsethread.fakes.web.backend import HttpFakeBackend
from gorsethread.fakes.web.bad_clients import ANSWER_WITHIN_SECONDS, MalformedClient
from gorsethread.fakes.web.clients import HttpAttempt, HttpConnections, HttpLoadClient
from gorsethread.fakes.web.discovery import HttpFakeDiscovery
from gorsethread.fakes.web.messages import FIRST_GATEWAY_PORT, instance, settings_of
from gorsethread.http_gateway.configuration import read_configuration
from gorsethread.http_gateway.endpoint_list import backend_number
from gorsethread.http_gateway.gateway import (
    CLIENTS_FRACTION,
    KILL_AFTER_SECONDS,
    MAX_COUNTED_WAIT_SECONDS,
    Gateway,
)
from gorsethread.invariants.history_checker import SAME_INSTANT_SECONDS
from gorsethread.simulation.script import Act
from gorsethread.simulation.site_simulation import MemoryRecorder, NullLogger, SiteSimulation
from gorsethread.simulation.states import WEB_STATES
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address

PEER_PORT = 7946
FULL_FRACTION = 0.9  # of the connections that a gateway may hold; from here on it counts as full
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 512}
# Refused connections that are tolerated while the gateway is not full: a fraction of the requests, or that
# number if it is larger.
TOLERATED_REFUSED_FRACTION = 0.005
TOLERATED_REFUSALS = 5
DELIVERY_SECONDS = 0.05  # within which data that was sent has reached its receiver
DEFECT_EVENTS = ("bad request", "rude", "closed early")  # recorded by fakes; a correct gateway causes none


class HttpSimulation(SiteSimulation):
    """One run of a script on a site with HTTP gateways. An instance can be played once."""

    known_states = WEB_STATES
    applied_by_fakes = (*SiteSimulation.applied_by_fakes, "spoil")
    discovery_class, backend_class, client_class = HttpFakeDiscovery, HttpFakeBackend, HttpLoadClient

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        # The last state that the discovery server reported of each backend, by gateway.
        self.reported_states: dict[int, dict[int, str]] = {}
        self._last_cold_start: dict[int, int] = {}  # by backend, its start number; warm starts don't count
        # Label and attempt of requests on their way to gateways, by pipe.
        self._pending_requests: dict[int, tuple[int, int]] = {}

    def record_event(self, who: str, event: str, facts: dict[str, Any]) -> None:
        """Records an event, or a defect where no correct gateway causes such an event."""
        if (
            event == "rude"
            and facts["late"]
            and self._was_stopped(f"head {facts['head']}", ANSWER_WITHIN_SECONDS)
        ):
            return
        if event == "shut out":
            links = [client.links.get(facts["head"]) for client in self.clients.values()]
            facts["held"] = sum(link.open for link in links if isinstance(link, HttpConnections))
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

    def _on_arrival(self, source: str, destination: str, count: int, sent_at: float, pipe: int) -> None:
        super()._on_arrival(source, destination, count, sent_at, pipe)
        # A client sends requests on several connections; a gateway admits them in the order of arrival.
        if pipe in self._pending_requests and destination.startswith("head"):
            label, attempt = self._pending_requests.pop(pipe)
            self.processes[destination].deliver(
                lambda: self.record_event("day", "came", {"label": label, "attempt": attempt})
            )

    def _start_client(self, tenant: str) -> None:
        super()._start_client(tenant)
        client: Any = self.clients[tenant]
        client.may_be_unread = self._may_be_unread

    def _may_be_unread(self, attempt: HttpAttempt) -> bool:
        """Whether a request has not reached its gateway, or too recently for the gateway to have read it."""
        arrived_at = self.online_checker.seen[attempt.request.label, attempt.attempt].received_at
        return not arrived_at or self.loop.time() - arrived_at < SAME_INSTANT_SECONDS

    # ---- gateways

    def _gateway_index(self, number: int) -> int:
        return [gateway.number for gateway in self.site.head].index(number)

    def _peer_address(self, gateway: pb.Head) -> str:
        return f"{split_address(gateway.address)[0]}:{PEER_PORT}"

    def _configure(self, number: int) -> str:
        """Writes a gateway's configuration, with the backends as it last saw them, and returns the path."""
        gateway = next(g for g in self.site.head if g.number == number)
        states = self.reported_states.get(number, {})
        known = [
            instance(s.number, s.address, s.shard, s.zone, states.get(s.number, "ready"), 0.0, number)
            for s in self.site.shelf
            if states.get(s.number) != "gone"
        ]
        host, _ = split_address(self.site.list.address)
        configuration = {
            "name": f"n{number}",
            "listen": gateway.address,
            "discovery": f"{host}:{FIRST_GATEWAY_PORT + number}",
            "seed": f"{self.script.seed * 1000 + number:016x}",
            "limits": LIMITS,
            "settings": {**settings_of(self.site), "index": self._gateway_index(number)},
            "peers": [self._peer_address(g) for g in self.site.head],
            "peer_listen": self._peer_address(gateway),
            "known": {"generation": 1, "reset": True, "instances": known},
        }
        path = f"config/{number}.json"
        self.disk.files[path] = bytearray(json.dumps(configuration).encode())
        return path

    def _start_gateway(self, number: int) -> None:
        name = f"head {number}"
        process = self._start(name)
        path = self._configure(number)
        gateway = Gateway(process, read_configuration(process.load(path), path), path, NullLogger())
        self.gateways[number] = gateway
        self.slow_start_checker.watch(gateway.driver, number, self.loop.time)
        process.on_reload(gateway.reload)
        if self.change:
            self.change(gateway)
        gateway.start()

    def _apply_variant_act(self, act: Act) -> None:
        process, number = self.processes[act.target], int(act.target.split(" ")[1])
        gateway = self.gateways[number]
        if not process.alive:
            return
        if act.kind == "reload":
            process.reload()
        elif act.kind == "term":
            process.on_terminate(lambda: process.spawn(self._end_gateway(act, gateway)))
            process.terminate()
            timeout = (
                min(max(p.cut_off for p in self.site.profile), MAX_COUNTED_WAIT_SECONDS) + KILL_AFTER_SECONDS
            )
            self.loop.call_later(timeout, self._kill_after_timeout, act, process)
        elif act.kind == "rude":
            client_process = self._process("rude")
            target = next(g for g in self.site.head if g.number == number)
            recorder = MemoryRecorder(self, client_process, "rude")
            client = MalformedClient(client_process, self.site, recorder)
            client_process.spawn(client.at(target, client_process.now() + act.seconds))

    async def _end_gateway(self, act: Act, gateway: Any) -> None:
        """Shuts a gateway down gracefully, then ends its process and checks what became of its requests."""
        await gateway.end()
        number = int(act.target.split(" ")[1])
        unanswered = [
            request
            for request in self.online_checker.seen.values()
            if request.received_at and not request.how and request.sent["head"] == number
        ]
        self.loop.call_later(DELIVERY_SECONDS, self._check_graceful_end, act.target, unanswered)
        self.loop.call_soon(self._stop_process, act, act.target, "end")

    def _check_graceful_end(self, name: str, unanswered: list[Any]) -> None:
        """Checks that the requests which were open when the gateway ended have got their responses by now.

        Requests of clients that the gateway could not reach meanwhile are left out.
        """
        reached = [
            request
            for request in unanswered
            if not any(
                begin <= self.loop.time() and request.sent["t"] <= until
                for begin, until in self.online_checker._unreachable[
                    request.sent["who"], request.sent["head"]
                ]
            )
        ]
        if any(request.how in ("", "unreachable") for request in reached):
            self._add_defect(f"ended under requests it had taken: {name}")

    def _kill_after_timeout(self, act: Act, process: Any) -> None:
        """Kills a gateway that has not ended since its SIGTERM; a defect unless a fault had stopped it."""
        if self.processes[act.target] is process and process.alive:
            if not self._was_stopped(act.target, self.loop.time() - self.traffic_start - act.at):
                self._add_defect(f"did not end in time after SIGTERM: {act.target}")
            self._stop_process(act, act.target, "kill")

    def _was_stopped(self, name: str, within: float) -> bool:
        """Whether an act of the script paused or ended that gateway in the last `within` seconds.

        Only pauses count unless `within` is ANSWER_WITHIN_SECONDS.
        """
        now = self.loop.time() - self.traffic_start
        return any(
            a.kind in ("pause", "vanish", "kill", "stab", "crash", "term")
            and a.target == name
            and a.at < now
            and a.end > now - within
            for a in self.script.acts
            if a.kind == "pause" or within == ANSWER_WITHIN_SECONDS
        )

    def _may_close_connections(self, number: int) -> bool:
        """Whether a gateway got SIGTERM and so may close idle connections, or its death closed them all."""
        now, name = self.loop.time() - self.traffic_start, f"head {number}"
        terminated = any(a.kind == "term" and a.target == name and a.at <= now for a in self.script.acts)
        return terminated or not self.processes[name].alive or self._was_stopped(name, ANSWER_WITHIN_SECONDS)

    # ---- checks

    def _follows_discovery(self, gateway: Any) -> bool:
        return gateway.discovery._stream is not None

    def _ready_backends(self, gateway: Any) -> set[int]:
        numbers = {backend_number(f"s-{s.number}"): s.number for s in self.site.shelf}
        return {numbers[b.id] for b in gateway.driver.scheduler.shards.backends.values() if b.ready}

    def _check_attempts(self, number: int, gateway: Any) -> None:
        """Checks the count of connections, and that a request owns each attempt that a connection carries.

        A counted connection is idle, carries an attempt or is being opened.
        """
        pool, driver = gateway.pool, gateway.driver
        idle = sum(len(link.idle_connections) for link in driver.links.values())
        if not 0 <= idle + len(pool.busy) <= pool.open_connections <= pool.max_connections:
            self._add_defect(
                f"connections do not add up: head {number}: held {pool.open_connections} of "
                f"{pool.max_connections}, kept {idle}, busy {len(pool.busy)}"
            )
        for connection in pool.busy.values():
            attempt = connection.attempt
            request = driver.open_requests.get(attempt.request) if attempt is not None else None
            if (
                attempt is not None
                and not attempt.ended
                and (request is None or request.in_flight.get(attempt.number) is not attempt)
            ):
                self._add_defect(f"forward without an owner: head {number}, shelf {connection.link.host}")

    def _check_latency_windows(self) -> None:
        """Checks that gateways refused few connections while they were not full.

        HTTP gateways write no latency windows. Whether a gateway was full follows from the connections that
        clients held open to it.
        """
        full = FULL_FRACTION * CLIENTS_FRACTION * LIMITS["sockets"]
        refused = sum(r["e"] == "shut out" and r["held"] < full for r in self.records)
        sent = sum(r["e"] == "sent" for r in self.records)
        if refused > max(TOLERATED_REFUSALS, TOLERATED_REFUSED_FRACTION * sent):
            self._add_defect(f"no room: {refused} of {sent} requests found none")
