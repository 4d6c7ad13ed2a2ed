"""A day in short: every process on its own, clients with the shape of three tenants, scripted troubles."""

import asyncio
import contextlib
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import psutil

from gorsethread.fakes.client import Surge
from gorsethread.fakes.discovery import DrainOrder
from gorsethread.fakes.record import Fault, Recorder
from gorsethread.harness.processes import Processes, resize_site
from gorsethread.invariants.history_checker import HistoryChecker, Verdict
from gorsethread.latency_attribution import causes, report
from gorsethread.latency_attribution.site_baseline import baseline_of
from gorsethread.latency_attribution.snapshots import SUFFIX, decode
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import RandomStream, Unreachable
from gorsethread.transport.real import RealTransport

TROUBLES = ("heads", "hang", "errors", "pause", "slow", "drain", "kill", "surge", "late")
START_UP = 3.0  # seconds from the first process to the first transaction


@dataclass(frozen=True)
class DayPlan:
    """What to play. plant: make every head break that rule (0: none), to see the witness catch it."""

    seed: int = 1
    heads: int = 3
    shelves: int = 6
    seconds: float = 40.0
    factor: float = 1.0
    troubles: tuple[str, ...] = TROUBLES
    plant: int = 0
    window: float = 1.0  # seconds of each head's accounts; 0: none are kept


@dataclass
class DayResult:
    plan: DayPlan
    verdict: Verdict
    exits: dict[str, int | None]
    memory: dict[str, tuple[float, float]]  # MiB after a quarter of the day and at its end
    descriptors: dict[str, tuple[int, int]]
    happened: list[str]
    defects: list[str] = field(default_factory=list)
    accounts: str = ""  # what they say made transactions wait

    @property
    def good(self) -> bool:
        v = self.verdict
        return not (v.violations or v.lost or v.duplicated or v.wrong_reads or self.defects)

    def as_json(self) -> dict[str, Any]:
        v, c = self.verdict, self.verdict.counts
        return {
            "seed": self.plan.seed,
            "heads": self.plan.heads,
            "shelves": self.plan.shelves,
            "seconds": self.plan.seconds,
            "troubles": list(self.plan.troubles),
            "taken": c["taken"],
            "honoured": c["honoured"],
            "pushed_back": c["pushed back"],
            "given_up": c["given up"],
            "left": c["left"],
            "unreachable": c["unreachable"],
            "not_sent": c["not sent"],
            "lost": v.lost,
            "duplicated": v.duplicated,
            "wrong_reads": v.wrong_reads,
            "rules": v.rules,
            "volumes": {str(n): {"in_time": won, "due": due} for n, (won, due) in v.volumes.items()},
            "memory_mib": {k: list(m) for k, m in self.memory.items()},
            "descriptors": {k: list(d) for k, d in self.descriptors.items()},
            "defects": self.defects,
            "accounts": self.accounts,
        }


class Day:
    def __init__(
        self, transport: RealTransport, site: pb.Site, plan: DayPlan, folder: Path, say: Callable[[str], None]
    ) -> None:
        self.transport, self.plan, self.say_line = transport, plan, say
        self.folder = folder
        if list(self.folder.glob("*.jsonl")):
            raise FileExistsError(f"{self.folder} holds the records of another day")
        self.site = resize_site(site, plan.heads, plan.shelves)
        self.processes = Processes(folder, self.site)
        self.recorder = Recorder(transport, "day", str(self.processes.record("day")))
        self.chance: RandomStream = transport.random_stream("day")
        self.happened: list[str] = []
        self.zero = 0.0
        self.scripts: dict[str, list[Fault]] = {}
        self.surges: list[Surge] = []
        self.acts: list[tuple[float, Callable[[], Any]]] = []
        self.defects: list[str] = []

    def say(self, text: str) -> None:
        line = f"{self.transport.now() - self.zero:6.1f} s  {text}"
        self.happened.append(line)
        self.say_line(line)

    # ---- the script

    def _at(self, part: float, seconds: float = 0.0) -> float:
        return self.zero + part * self.plan.seconds + seconds

    def _fault(self, name: str, at: float, kind: str, seconds: float, part: float = 0.0) -> None:
        self.scripts.setdefault(name, []).append(Fault(at, kind, seconds, part))
        self.acts.append((at, lambda: self.say(f"{name}: {kind} for {seconds:.1f} s")))

    def _write_script(self) -> None:
        """Draws who is struck and when, from the seed alone."""
        plan, chance = self.plan, self.chance
        order = sorted(range(plan.shelves), key=lambda _: chance.random())
        struck = {
            kind: order[n % plan.shelves]
            for n, kind in enumerate(("hang", "errors", "pause", "drain", "kill", "slow"))
        }
        length = 0.2 * plan.seconds
        for trouble in plan.troubles:
            at = self._at(chance.uniform(0.1, 0.55))
            shelf = f"shelf {struck.get(trouble, 0)}"
            if trouble == "heads":
                for head in sorted(range(plan.heads), key=lambda _: chance.random())[: (plan.heads + 1) // 2]:
                    back = at + chance.uniform(0.05, 0.1) * plan.seconds
                    self.acts.append((at, partial(self._kill_head, head)))
                    self.acts.append((back, partial(self._start_head, head, "started again")))
            elif trouble == "hang":
                self._fault(shelf, at, "still", length)
            elif trouble == "errors":
                self._fault(shelf, at, "errors", length, chance.uniform(0.3, 0.85))
            elif trouble == "slow":
                self._fault(shelf, at, "slow", length, chance.uniform(2.0, 4.0))
            elif trouble == "pause":
                for n in range(4):
                    self._fault(shelf, at + n * length / 4, "still", chance.uniform(0.075, 0.24))
            elif trouble == "drain":
                self._replace(struck["drain"], at, "drain")
            elif trouble == "kill":
                self._replace(struck["kill"], at, "kill")
            elif trouble == "surge":
                volume = self.site.volume[chance.randrange(len(self.site.volume))]
                self.surges.append(Surge(volume.number, at, length, chance.uniform(4.0, 8.0)))
                self.acts.append((at, partial(self.say, f"volume {volume.name} surges")))
            elif trouble == "late":
                self._fault("list", at, "late", length, 3.0)
                self._fault("list", at + 0.5 * length, "refuse", 0.3 * length)

    def _replace(self, shelf: int, at: float, how: str) -> None:
        back = at + self.chance.uniform(0.05, 0.1) * self.plan.seconds
        if how == "drain":
            self.acts.append((at, lambda: self._drain(shelf)))
            at += self.site.rules.drain_grace + self.site.list.late_most + 2.5
            back = at + 1.0
            self.acts.append((at, lambda: self._end_shelf(shelf)))
        else:
            self.acts.append((at, lambda: self._kill_shelf(shelf)))
        self.acts.append((back, lambda: self._start_shelf(shelf, False)))

    # ---- what is done to processes

    async def _kill_head(self, head: int) -> None:
        self.say(f"head {head}: killed")
        self.recorder.record("head killed", head=head)
        await self.processes.end(f"head {head}", signal.SIGKILL)

    async def _start_head(self, head: int, how: str = "") -> None:
        if how:
            self.say(f"head {head}: {how}")
        seed = self.plan.seed * 1000 + head
        extra = ["--plant", str(self.plan.plant)] if self.plan.plant else []
        if self.plan.window:
            extra += ["--accounts", str(self.folder / "accounts"), "--window", str(self.plan.window)]
        await self.processes.start(
            f"head {head}",
            "head",
            "--site",
            str(self.processes.site_path),
            "--head",
            str(head),
            "--seed",
            str(seed),
            "--remember",
            str(self.folder / f"head-{head}.list"),
            "--log",
            "json",
            *extra,
        )

    async def _start_shelf(self, shelf: int, warm: bool) -> None:
        if not warm:
            self.say(f"shelf {shelf}: started cold")
        name = f"shelf {shelf}"
        arguments = [
            "shelf",
            "--site",
            str(self.processes.site_path),
            "--shelf",
            str(shelf),
            "--seed",
            str(self.plan.seed),
            "--folder",
            str(self.folder),
            "--log",
            "json",
            "--record",
            str(self.processes.record(name)),
        ]
        if warm:
            arguments.append("--warm")
        if name in self.scripts:
            path = self.folder / f"shelf-{shelf}.script"
            faults = [f for f in self.scripts[name] if f.at > self.transport.now()]
            path.write_bytes(msgspec.json.encode(faults))
            arguments += ["--script", str(path)]
        await self.processes.start(name, *arguments)

    async def _kill_shelf(self, shelf: int) -> None:
        self.say(f"shelf {shelf}: killed")
        await self.processes.end(f"shelf {shelf}", signal.SIGKILL)
        self.recorder.record("shelf killed", shelf=shelf)

    async def _end_shelf(self, shelf: int) -> None:
        self.say(f"shelf {shelf}: ended")
        await self.processes.end(f"shelf {shelf}")
        self.recorder.record("shelf killed", shelf=shelf)

    async def _drain(self, shelf: int) -> None:
        await self._order(shelf, "draining")

    async def _order(self, shelf: int, state: str) -> None:
        self.say(f"shelf {shelf}: {'drains' if state == 'draining' else 'is ready again'}")
        try:
            stream = await self.transport.connect(*split_address(self.site.list.address), 2.0)
        except Unreachable as error:
            self.defects.append(f"the list took no order: {error}")
            return
        stream.write(msgspec.json.encode(DrainOrder(shelf, state)) + b"\n")
        await stream.read()
        stream.close()

    async def _start_all(self) -> None:
        path = str(self.processes.site_path)
        script = self.folder / "list.script"
        script.write_bytes(msgspec.json.encode(self.scripts.get("list", [])))
        seed = str(self.plan.seed)
        await self.processes.start(
            "list",
            "list",
            "--site",
            path,
            "--seed",
            seed,
            "--script",
            str(script),
            "--record",
            str(self.processes.record("list")),
            "--log",
            "json",
        )
        for shelf in self.site.shelf:
            await self._start_shelf(shelf.number, True)
        for head in self.site.head:
            await self._start_head(head.number)
        surges = self.folder / "surges.json"
        surges.write_bytes(msgspec.json.encode(self.surges))
        for tenant in self.site.tenant:
            name = f"client {tenant.name}"
            await self.processes.start(
                name,
                "client",
                "--site",
                path,
                "--tenant",
                tenant.name,
                "--seed",
                seed,
                "--factor",
                str(self.plan.factor),
                "--start-at",
                str(self.zero),
                "--seconds",
                str(self.plan.seconds),
                "--surges",
                str(surges),
                "--record",
                str(self.processes.record(name)),
                "--log",
                "json",
            )

    # ---- the day

    async def play(self) -> DayResult:
        self.zero = self.transport.now() + START_UP
        self._write_script()
        self.say(
            f"a day of {self.plan.seconds:g} s: {self.plan.heads} heads, {self.plan.shelves} shelves, "
            f"{len(self.site.volume)} volumes, seed {self.plan.seed}"
        )
        early: dict[str, tuple[float, int]] = {}
        late: dict[str, tuple[float, int]] = {}
        if self.plan.window:
            (self.folder / "accounts").mkdir()
        try:
            await self._start_all()
            self.acts.append((self._at(0.25), lambda: early.update(self._sizes())))
            self.acts.append((self._at(1.0, -0.5), lambda: late.update(self._sizes())))
            for at, act in sorted(self.acts, key=lambda a: a[0]):
                await self.transport.sleep(max(0.0, at - self.transport.now()))
                if asyncio.iscoroutine(done := act()):
                    await done
            self.say("clients stop sending; what is open is answered")
            for tenant in self.site.tenant:
                process = self.processes.running[f"client {tenant.name}"]
                with contextlib.suppress(TimeoutError):
                    longest = max(p.cut_off for p in self.site.profile) + 15.0
                    await asyncio.wait_for(process.wait(), self._at(1.0, longest) - self.transport.now())
        finally:
            exits = await self.processes.end_all()
        self.defects += [
            f"{name} ended with status {status}"
            for name, status in exits.items()
            if status != 0 and not (self.plan.plant and name.startswith("shelf"))
        ]
        both = [name for name in late if name in early]
        verdict = HistoryChecker(self.site, self.records()).check()
        if not verdict.counts["honoured"]:
            self.defects.append("nothing was honoured: this day shows nothing")
        accounts = self._accounts()
        return DayResult(
            self.plan,
            verdict,
            exits,
            {n: (early[n][0], late[n][0]) for n in both},
            {n: (early[n][1], late[n][1]) for n in both},
            self.happened,
            self.defects,
            accounts,
        )

    def findings(self) -> causes.Findings | None:
        """What the heads' accounts hold together; None where there is none."""
        kept = sorted((self.folder / "accounts").glob(f"*{SUFFIX}"))
        windows = [decode(path.read_bytes(), self.site.name) for path in kept]
        return causes.find(baseline_of(self.site), windows) if windows else None

    def _accounts(self) -> str:
        found = self.findings()
        if found is None:
            return ""
        if found.merged.remainders or found.merged.disorders:
            self.defects.append(
                f"accounts: {found.merged.remainders} transactions are not the sum of their "
                f"stages, {found.merged.disorders} events came out of order"
            )
        return report.top(found).sentence

    def _sizes(self) -> dict[str, tuple[float, int]]:
        sizes = {}
        for name in self.processes.running:
            if pid := self.processes.pid(name):
                with contextlib.suppress(psutil.Error):
                    process = psutil.Process(pid)
                    sizes[name] = process.memory_info().rss / 2**20, process.num_fds()
        return sizes

    def records(self) -> list[dict[str, Any]]:
        """All that stand-ins saw; a last line cut short by a kill is left out."""
        found = []
        for path in sorted(self.folder.glob("*.jsonl")):
            for line in path.read_bytes().splitlines():
                with contextlib.suppress(msgspec.DecodeError):
                    found.append(msgspec.json.decode(line))
        return found
