"""Real heads in service on loopback that lend cold shelves' parts to each other, through a relay that loses,
delays, doubles and cuts their messages; heads are killed and stopped with a part in hand, shelves come back
cold. Shelves, discovery and clients are this process's stand-ins; the judges see only what came to these.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, replace
from typing import Any

from gorsethread.harness import service
from gorsethread.harness.processes import Processes
from gorsethread.harness.service import ServiceTrial
from gorsethread.invariants.history_checker import Verdict
from gorsethread.scheduling.model import SlowStartRule
from gorsethread.simulation.script import Script, read_script
from gorsethread.simulation.slow_start_checker import OverloadMeasure, slow_start_allowance
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.real import RealTransport

LENT_UNITS = 3.0  # a head, that a cold shelf bears: less than a transaction may have
JITTER = 0.1  # seconds that a forward may be under way, by which a window seen here may be shorter
LOSSY = 0.2  # part of every head's messages that is lost
# Two shelves come back cold; heads are stopped, killed and cut off while the parts of these are being lent.
# The start of a third is told late, so heads that know nothing of it push it.
SCRIPT = """
heads 6
shelves 4
seconds 10
factor 3
1 kill shelf-0 for 0.3
1 kill shelf-1 for 0.3
3 pause head-1 for 1
3.6 kill head-0 for 0.001
3.6 kill head-2 for 0.001
4.4 cut head-3 <-> room-0 for 1.5
4.4 cut head-3 <-> room-1 for 1.5
5 kill head-4 for 0.001
5 kill head-1 for 0.001
6 late list by 2 for 1.5
6.5 kill shelf-2 for 0.3
8 pause head-5 for 1.5
8 pause head-0 for 1.5
8.6 kill head-3 for 0.001
"""


def script_of(seed: int = 1, heads: int = 6, seconds: float = 10.0, factor: float = 3.0) -> Script:
    return replace(read_script(SCRIPT), seed=seed, heads=heads, seconds=seconds, factor=factor)


@dataclass
class Result(service.Result):
    """beyond: forwards that came to a cold shelf beyond what it bears, of heads that knew of its start.
    cold_units: what came to cold shelves in all. told_late: of what came to a cold shelf, by heads that had
    not been told. falls_by_page: that break the rule as the operators' page has it."""

    cold_units: float = 0.0
    beyond: int = 0
    fell: int = 0
    told_late: int = 0
    falls_by_page: int = 0

    @property
    def good(self) -> bool:
        return super().good and not (self.beyond or self.fell or self.falls_by_page)


class Trial(ServiceTrial):
    """plant: code that each head runs before it starts, for a defect."""

    result_class = Result

    def __init__(
        self,
        transport: RealTransport,
        processes: Processes,
        site: pb.Site,
        log: Any,
        script: Script,
        plant: str = "",
    ) -> None:
        super().__init__(transport, processes, site, log, script, plant)
        self.jitter = JITTER
        self.site.rules.cold.units = LENT_UNITS * script.heads
        self.fault_player.faults.lossy = {f"head {n}": LOSSY for n in range(script.heads)}

    def backend_overloaded(self, number: int) -> None:
        self.result.fell += 1

    def judge(self, verdict: Verdict) -> None:
        self._judge_cold()
        if not self.result.messages or not self.result.cold_units:
            self.result.reasons.append("no part was lent: this trial shows nothing")

    def _judge_cold(self) -> None:
        """Of what came, by heads that had been told of the shelf's start and have lived since."""
        said = self.site.rules.cold
        cold = SlowStartRule(said.units, said.span, said.warm_after, said.first_part)
        units = {(x["label"], x["attempt"]): x["units"] for x in self.records if x["e"] == "sent"}
        starts: dict[int, tuple[int, float]] = {}
        told: set[tuple[int, int]] = set()
        came: dict[int, deque[tuple[float, float]]] = defaultdict(deque)
        mean = sum(units.values()) / max(1, len(units))
        falls: list[OverloadMeasure] = []
        page: dict[int, OverloadMeasure] = {}  # by shelf, of its last start
        for x in sorted(self.records, key=lambda x: x["t"]):
            if x["e"] == "up" and not x["warm"]:
                starts[x["shelf"]] = x["start"], x["t"]
                told = {pair for pair in told if pair[1] != x["shelf"]}
                came[x["shelf"]].clear()
                page[x["shelf"]] = OverloadMeasure(cold, mean)
                falls.append(page[x["shelf"]])
            elif x["e"] == "told" and x["shelf"] in starts and x["start"] == starts[x["shelf"]][0]:
                told.add((x["head"], x["shelf"]))
            elif x["e"] == "head killed":
                told = {pair for pair in told if pair[0] != x["head"]}
            elif x["e"] == "arrived" and x["shelf"] in starts:
                age, log = x["t"] - starts[x["shelf"]][1], came[x["shelf"]]
                knew = (x["head"], x["shelf"]) in told
                size = units.get((x["label"], x["attempt"]), 0.0)
                page[x["shelf"]].record_arrival(x["t"], size, knew, age)
                self.result.told_late += age < cold.warm_after and not knew
                if age >= cold.warm_after or not knew:
                    continue
                self.result.cold_units += size
                log.append((x["t"], size))
                while log[0][0] <= x["t"] - cold.window + self.jitter:
                    log.popleft()
                if sum(n for _, n in log) > slow_start_allowance(cold, age + self.jitter):
                    self.result.beyond += 1
        self.result.falls_by_page = sum(f.violated for f in falls)
