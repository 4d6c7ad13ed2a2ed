"""Generates fault scripts from seeds by swarm testing; no I/O and no clock.

Each seed first selects the kinds of fault that occur at all, so that some scripts have many faults of few
kinds and others a few faults of many kinds.
"""

from collections.abc import Callable, Sequence
from typing import Any

from gorsethread.simulation.script import CODE_POINTS, DURABLE_LOG_POINTS, Act, Clock, Script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.program import SeededRandom

LAST_START_PORTION = 0.55  # portion of the run after which no fault starts
LAST_END_PORTION = 0.72  # portion of the run after which every fault has ended
FAULT_KIND_PROBABILITY = 0.4  # that a script has faults of a kind


class ScriptGenerator:
    """Generates one script, which depends on nothing but the arguments.

    volumes: numbers of the site's volumes, which may surge. seconds: length of the run. http: for HTTP
    gateways, whose machines have one Unix clock and no disk. durable_log: for gateways that keep a durable
    log; at most one machine is lost together with its disk.
    """

    def __init__(
        self,
        seed: int,
        volumes: Sequence[int],
        tenants: Sequence[str],
        seconds: float = 12.0,
        http: bool = False,
        durable_log: bool = False,
    ) -> None:
        self.rng = SeededRandom(f"{'web ' if http else 'kept ' if durable_log else ''}script {seed}")
        self.faults = HTTP_FAULTS if http else DURABLE_LOG_FAULTS if durable_log else FAULTS
        self.seed, self.volumes, self.tenants, self.seconds = seed, volumes, tenants, seconds
        rng = self.rng
        self.gateways, self.backends = rng.choice((1, 2, 3, 3, 4, 8)), rng.choice((2, 4, 6, 6, 8))
        if durable_log:
            self.gateways = rng.choice((1, 3, 3, 4, 6))
        self.acts: list[Act] = []
        self.struck: set[str] = set()  # what ended already, or lost its disk: at most once a script is enough

    def generate(self) -> Script:
        """Returns the script; called once."""
        rng = self.rng
        faults = self.faults
        kinds = [k for k in faults if rng.random() < FAULT_KIND_PROBABILITY] or [rng.choice(list(faults))]
        for kind in kinds:
            for _ in range(rng.choice((1, 1, 2, 3))):
                faults[kind](self)
        clocks = {}
        if rng.random() < 0.3:
            clocks = {
                f"head {n}": Clock(round(rng.uniform(-900.0, 900.0), 3), rng.choice((0.0, 2e-5, -2e-5)))
                for n in range(self.gateways)
            }
        factor = rng.choice((0.7, 1.0, 1.0, 1.5, 2.5))
        leaves = rng.choice((0.01, 0.01, 0.05, 0.2))
        return Script(
            self.seed,
            self.gateways,
            self.backends,
            self.seconds,
            factor,
            leaves,
            tuple(sorted(self.acts)),
            clocks,
        )

    # ---- random choices

    def _time(self) -> float:
        return round(self.rng.uniform(0.03, LAST_START_PORTION) * self.seconds, 3)

    def _duration(self, at: float, shortest: float, longest: float) -> float:
        limit = LAST_END_PORTION * self.seconds - at
        return round(min(limit, self.rng.uniform(shortest, longest)), 3)

    def _gateway(self) -> str:
        return f"head {self.rng.randrange(self.gateways)}"

    def _backend(self) -> str:
        return f"shelf {self.rng.randrange(self.backends)}"

    def _client(self) -> str:
        return f"client {self.rng.choice(list(self.tenants))}"

    def _add(
        self,
        kind: str,
        target: str,
        shortest: float,
        longest: float,
        to: str = "",
        both: bool = False,
        by: float = 0.0,
        at: float | None = None,
    ) -> Act:
        start = self._time() if at is None else at
        act = Act(start, kind, target, to, both, round(by, 3), self._duration(start, shortest, longest))
        self.acts.append(act)
        return act

    # ---- faults

    def half_of_gateways(self) -> None:
        at = self._time()
        for n in self.rng.sample(range(self.gateways), (self.gateways + 1) // 2):
            if f"head {n}" not in self.struck:
                self.struck.add(f"head {n}")
                self._add(self.rng.choice(("kill", "kill", "vanish")), f"head {n}", 0.3, 3.0, at=at)

    def backend_dies(self) -> None:
        backend = self._backend()
        if backend in self.struck:
            return
        self.struck.add(backend)
        at = self._time()
        if self.rng.random() < 0.3:  # first slow, then dead together with the requests that it accepted
            self._add("slow", backend, 1.0, 2.0, by=self.rng.uniform(3, 12), at=max(0.1, at - 1.5))
        act = self._add(self.rng.choice(("kill", "kill", "vanish")), backend, 0.3, 2.5, at=at)
        if self.rng.random() < 0.3 and act.end + 0.4 < LAST_END_PORTION * self.seconds:
            # A second time within its slow start.
            self._add("kill", backend, 0.2, 0.8, at=round(act.end + 0.3, 3))

    def stab(self) -> None:
        """Ends a gateway in the middle of its own code."""
        self._add_stab(CODE_POINTS, 60)

    def _add_stab(self, points: tuple[str, ...], visits: int) -> None:
        """Ends one gateway at one of the points, on its n-th visit there; visits: the largest n."""
        gateway = self._gateway()
        if gateway not in self.struck:
            self.struck.add(gateway)
            point, visit = f"point {self.rng.choice(points)}", 1 + self.rng.randrange(visits)
            self._add("stab", gateway, 0.2, 2.0, to=point, by=visit)

    def crash(self) -> None:
        """Ends a process just as a message arrives: a gateway with a response, a backend with a command."""
        target, peer = self.rng.choice(
            (
                (self._gateway(), self._backend()),
                (self._gateway(), self._client()),
                (self._gateway(), "list"),
                (self._backend(), self._gateway()),
            )
        )
        if target not in self.struck:
            self.struck.add(target)
            self._add("crash", target, 0.2, 2.0, to=peer, by=1 + self.rng.randrange(40))

    def pause(self) -> None:
        target = self.rng.choice((self._gateway(), self._backend(), "list"))
        self._add("pause", target, 0.1, 3.0)

    def cut(self) -> None:
        source, peer = self.rng.choice(
            (
                (self._gateway(), self._backend()),
                (self._backend(), self._gateway()),
                (self._gateway(), "list"),
                ("list", self._gateway()),
                (self._client(), self._gateway()),
                (self._gateway(), self._client()),
                (self._backend(), "list"),
            )
        )
        self._add("cut", source, 0.1, 4.0, to=peer, both=self.rng.random() < 0.5)

    def zone_cut(self) -> None:
        zone = self.rng.randrange(2)
        at = self._time()
        for peer in (f"room {1 - zone}", *(["list"] if self.rng.random() < 0.5 else [])):
            self._add("cut", f"room {zone}", 0.5, 4.0, to=peer, both=True, at=at)

    def reset(self) -> None:
        source, peer = self.rng.choice(
            ((self._gateway(), self._backend()), (self._gateway(), "list"), (self._client(), self._gateway()))
        )
        self._add("reset", source, 0.001, 0.001, to=peer)

    def drain(self) -> None:
        backend = self._backend()
        if backend in self.struck:
            return
        act = self._add("drain", backend, 1.0, 4.0)
        if self.rng.random() < 0.5:  # the notification is lost on its way
            self._add(
                "reset",
                self._gateway(),
                0.001,
                0.001,
                to="list",
                at=round(act.at + self.rng.uniform(0.0, 1.0), 3),
            )
        if self.rng.random() < 0.4:
            self.struck.add(backend)
            self._add("kill", backend, 0.3, 1.0, at=round(act.at + self.rng.uniform(0.5, act.seconds), 3))

    def unresponsive_backend(self) -> None:
        self._add("still", self._backend(), 0.08, 3.0)

    def slow_backend(self) -> None:
        self._add("slow", self._backend(), 0.5, 5.0, by=self.rng.uniform(1.5, 15.0))

    def errors(self) -> None:
        self._add("errors", self._backend(), 0.3, 3.0, by=self.rng.uniform(0.1, 1.0))

    def late_endpoint_list(self) -> None:
        self._add("late", "list", 0.5, 4.0, by=self.rng.uniform(0.5, 4.0))

    def refusing_endpoint_list(self) -> None:
        self._add("refuse", "list", 0.5, 4.0)

    def endpoint_list_dies(self) -> None:
        """Ends the endpoint list's server, which restarts with an empty list and new version numbers."""
        if "list" not in self.struck:
            self.struck.add("list")
            self._add("kill", "list", 0.2, 2.5)

    def surge(self) -> None:
        self._add(
            "surge",
            f"volume {self.rng.choice(list(self.volumes))}",
            0.5,
            4.0,
            by=self.rng.uniform(2.0, 12.0),
        )

    def slow_connects(self) -> None:
        target = self.rng.choice((self._gateway(), self._backend(), self._backend(), "list"))
        act = self._add("connects", target, 0.5, 3.0, by=self.rng.uniform(0.05, 2.5))
        if target.startswith("shelf"):  # every gateway has to reconnect to it in that time
            for n in range(self.gateways):
                self._add("reset", f"head {n}", 0.001, 0.001, to=target, at=round(act.at + 0.05, 3))

    def disk(self) -> None:
        self._add("disk", self._gateway(), 0.5, 3.0)

    def wall_clock(self) -> None:
        self.acts.append(
            Act(self._time(), "wall", self._gateway(), amount=round(self.rng.uniform(-50, 50), 3))
        )

    def terminate(self) -> None:
        gateway = self._gateway()
        if gateway not in self.struck:
            self.struck.add(gateway)
            self._add("term", gateway, 0.2, 1.5)

    def reload(self) -> None:
        self.acts.append(Act(self._time(), "reload", self._gateway()))

    def unusable_responses(self) -> None:
        self._add("spoil", self._backend(), 0.5, 4.0, by=self.rng.uniform(0.02, 0.5))

    def malformed_requests(self) -> None:
        self._add("rude", self._gateway(), 0.5, 4.0)

    def lost_disk(self) -> None:
        """Loses or damages one gateway's disk, at most once a script and only where replicas can exist."""
        kind = self.rng.choice(("wipe", "older", "rot", "swap"))
        if "disk" in self.struck or self.gateways < 3:
            return
        self.struck.add("disk")
        source = self.rng.randrange(self.gateways)
        peer = (source + 1 + self.rng.randrange(self.gateways - 1)) % self.gateways
        if self.struck & {f"head {source}", f"head {peer}"}:
            return
        self.struck |= {f"head {source}", f"head {peer}"}
        self._add(
            kind,
            f"head {source}",
            0.2,
            2.0,
            to=f"head {peer}" if kind == "swap" else "",
            by=self.rng.uniform(0.3, 3.0) if kind == "older" else 0.0,
        )

    def stab_in_durable_log(self) -> None:
        """Ends a gateway in the middle of writing to the durable log or of recovering from it."""
        self._add_stab(DURABLE_LOG_POINTS, 12)

    def slow_flush(self) -> None:
        self._add("lag", self._gateway(), 0.5, 3.0, by=self.rng.choice((0.01, 0.1, 0.1, 0.8)))


FAULTS: dict[str, Callable[[ScriptGenerator], None]] = {
    "half the heads": ScriptGenerator.half_of_gateways,
    "shelf dies": ScriptGenerator.backend_dies,
    "crash": ScriptGenerator.crash,
    "stab": ScriptGenerator.stab,
    "pause": ScriptGenerator.pause,
    "cut": ScriptGenerator.cut,
    "room cut": ScriptGenerator.zone_cut,
    "reset": ScriptGenerator.reset,
    "drain": ScriptGenerator.drain,
    "still": ScriptGenerator.unresponsive_backend,
    "slow": ScriptGenerator.slow_backend,
    "errors": ScriptGenerator.errors,
    "late list": ScriptGenerator.late_endpoint_list,
    "refusing list": ScriptGenerator.refusing_endpoint_list,
    "list dies": ScriptGenerator.endpoint_list_dies,
    "surge": ScriptGenerator.surge,
    "slow connects": ScriptGenerator.slow_connects,
    "disk": ScriptGenerator.disk,
    "wall clock": ScriptGenerator.wall_clock,
}
HTTP_FAULTS = {name: fault for name, fault in FAULTS.items() if name not in ("disk", "wall clock")} | {
    "term": ScriptGenerator.terminate,
    "reload": ScriptGenerator.reload,
    "spoil": ScriptGenerator.unusable_responses,
    "rude": ScriptGenerator.malformed_requests,
}
DURABLE_LOG_FAULTS = FAULTS | {
    "disk lost": ScriptGenerator.lost_disk,
    "lag": ScriptGenerator.slow_flush,
    "stab in keeping": ScriptGenerator.stab_in_durable_log,
}


class BranchScriptGenerator(ScriptGenerator):
    """For a site with branches, which gives the number of gateways; at least one branch link fails."""

    def __init__(self, seed: int, site: pb.Site, seconds: float = 16.0) -> None:
        super().__init__(
            seed, [v.number for v in site.volume], [t.name for t in site.tenant], seconds, durable_log=True
        )
        self.rng = SeededRandom(f"branch script {seed}")
        self.faults = BRANCH_FAULTS
        self.gateways, self.backends = len(site.head), self.rng.choice((4, 6))
        self.branches = [list(b.head) for b in site.branch]
        for _ in range(self.rng.choice((1, 1, 2))):
            self.link()

    def link(self) -> None:
        """Cuts a branch's link, mostly for both gateways; at times one way only, or three times in a row."""
        rng = self.rng
        gateways = rng.choice(self.branches)
        if len(gateways) > 1 and rng.random() < 0.2:
            gateways = [rng.choice(gateways)]
        at, by = round(rng.uniform(0.03, 0.3) * self.seconds, 3), rng.choice((0, 0, 0, 1, 2))
        if rng.random() < 0.2:
            for n in range(3):
                for gateway in gateways:
                    self._add("link", f"head {gateway}", 0.5, 1.5, by=by, at=round(at + 2.0 * n, 3))
        else:
            seconds = rng.uniform(1.0, 6.0)
            for gateway in gateways:
                self._add("link", f"head {gateway}", seconds, seconds, by=by, at=at)
            if rng.random() < 0.6:
                self._add_fault_in_replay(gateways, at + seconds)

    def _add_fault_in_replay(self, gateways: list[int], link_restored_at: float) -> None:
        """Adds a fault soon after the restored link is trusted again, during the replay.

        A gateway of the main site ends, a connection to it is reset, or the link fails again.
        """
        rng = self.rng
        branch_gateways = {n for gateways in self.branches for n in gateways}
        main_gateway = f"head {rng.choice([n for n in range(self.gateways) if n not in branch_gateways])}"
        at = round(
            min(link_restored_at + 2.0 + rng.uniform(0.05, 0.8), LAST_END_PORTION * self.seconds - 0.7), 3
        )
        kind = rng.choice(("kill", "reset", "link"))
        if kind == "kill" and main_gateway not in self.struck:
            self.struck.add(main_gateway)
            self._add("kill", main_gateway, 0.3, 0.6, at=at)
        elif kind == "reset":
            self._add("reset", f"head {rng.choice(gateways)}", 0.001, 0.001, to=main_gateway, at=at)
        else:
            for gateway in gateways:
                self._add("link", f"head {gateway}", 0.6, 0.6, at=at)

    def lost_branch_disk(self) -> None:
        gateways = self.rng.choice(self.branches)
        gateway = self.rng.choice(gateways)
        if (
            "disk" not in self.struck
            and len(gateways) > 1
            and not self.struck & {f"head {n}" for n in gateways}
        ):
            self.struck |= {"disk", *(f"head {n}" for n in gateways)}
            self._add("wipe", f"head {gateway}", 0.2, 3.0)


BRANCH_FAULTS: dict[str, Callable[[Any], None]] = {
    name: fault
    for name, fault in DURABLE_LOG_FAULTS.items()
    if name not in ("disk lost", "wall clock", "slow connects")
} | {"branch's disk lost": BranchScriptGenerator.lost_branch_disk, "another link": BranchScriptGenerator.link}
