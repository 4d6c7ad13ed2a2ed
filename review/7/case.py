"""A branch's link is cut for 8 s while a client writes, and goes on writing when the link is back.

Gateways run as processes of their own, started as the operating page says. Shelfs, the list and the relay of the
branch's link are the project's own stand-ins and run here, as does the client. The shelfs record what they run.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
sys.path.insert(0, str(ROOT))

from gorsethread.fakes.client import stamped_blocks  # noqa: E402
from gorsethread.harness import relay  # noqa: E402
from gorsethread.harness.branches import BranchTrial  # noqa: E402
from gorsethread.harness.processes import Processes  # noqa: E402
from gorsethread.logs import log_for, start_logs  # noqa: E402
from gorsethread.nvme.command import Opcode, io_command  # noqa: E402
from gorsethread.nvme_transport.host_connection import AssociationNames, connect_association  # noqa: E402
from gorsethread.simulation.script import Act, Script  # noqa: E402
from gorsethread.site_config.reading import read_site, split_address  # noqa: E402
from gorsethread.transport.real import RealTransport, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
BRANCH_HEADS = (3, 4)
BRANCH_HEAD = 3  # the one that the client writes through
VOLUME = 9  # "quay-scans": its writes may run again and may be queued
HOST = "nqn.2026-12.org.gorsethread:host:harbour"
BLOCKS = 1024  # of the volume that are written, one after the other
LANES = 16  # writes of the client under way at once
CUT_SECONDS = 8.0  # brief: a room is cut off for 7.4 to 17 s
ENOUGH = 6000  # accepted writes, after which the client stops
WRITE_SECONDS = 62.0  # from the cut, after which the client stops in any case
QUIET_SECONDS = 25.0  # without any run at the shelfs, after which nothing more is waited for
END_SECONDS = 95.0  # from the start, after which nothing more is waited for: a run has to end within 120 s
LEAST_RUN = 4000  # writes in effect, below which the case says nothing
PAUSE = 0.2  # seconds until a write that was pushed back is sent again

# The relay's own losses and delays of datagrams are left out: no other disruption than the named one.
relay.LOST_PORTION = relay.DUPLICATED_PORTION = relay.DELAYED_PORTION = 0.0


class PlainProcesses(Processes):
    """Starts each gateway as the operating page says: python -m gorsethread head."""

    async def start(self, name: str, *arguments: str, **_: Any) -> None:
        await super().start(name, *arguments)


class NoLoad:
    """In place of the project's load clients: the client of this case is in Trial."""

    def __init__(self, *_: Any) -> None:
        pass

    async def run(self) -> None:
        pass


class Trial(BranchTrial):
    """The project's stand-ins round real gateways; the client and the cut are played by the steps below."""

    client_class = NoLoad  # type: ignore[assignment]

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.lines: list[str] = []
        self.accepted: set[int] = set()  # labels
        self.honoured = self.refused = 0
        self.stopped = False
        self.quiet = False  # nothing has run for QUIET_SECONDS
        self.in_effect: set[int] = set()
        self.last_run_at = 0.0
        self._looked_at = 0

    def note(self, text: str) -> None:
        self.lines.append(f"{self.transport.now() - self.zero:8.3f} {text}")

    def _check_records(self) -> Any:
        return None

    async def _clients_finished(self) -> None:
        pass

    def look(self) -> None:
        """Takes over what the shelfs have run since the last look."""
        for record in self.records[self._looked_at :]:
            if record["e"] == "ran":
                self.in_effect.add(record["label"])
                self.last_run_at = record["t"]
        self._looked_at = len(self.records)

    @property
    def left(self) -> int:
        return len(self.accepted - self.in_effect)

    def report(self) -> None:
        self.look()
        self.note(
            f"accepted {len(self.accepted)}, of these in effect {len(self.accepted) - self.left},"
            f" honoured {self.honoured}, pushed back {self.refused}"
        )

    async def write(self, lane: int) -> None:
        """Sends one write after the other; what is pushed back is sent again as another."""
        count = 0
        while not self.stopped:
            count += 1
            label = 100_000 * (lane + 1) + count
            block = (lane * 61 + count) % BLOCKS
            command = io_command(Opcode.WRITE, VOLUME, block, 1, label=label)
            completion, _ = await self.client.io.call(command, stamped_blocks(label, VOLUME, block, 1))
            if not completion.succeeded:
                self.refused += 1
                await self.transport.sleep(PAUSE)
            elif completion.dw0:
                self.honoured += 1
            else:
                self.accepted.add(label)

    async def _play_faults(self) -> None:
        address = split_address(next(h.address for h in self.site.head if h.number == BRANCH_HEAD))
        names = AssociationNames(self.site.subsystem, HOST, bytes([BRANCH_HEAD]) * 16)
        self.client = await connect_association(self.transport, address, names, timeout=3.0)
        await self.transport.sleep(2.0)
        cut_at = self.last_run_at = self.transport.now()
        if TROUBLE:
            self.note(f"the branch's link is cut for {CUT_SECONDS} s")
            for head in BRANCH_HEADS:
                act = Act(0.0, "link", f"head {head}", seconds=CUT_SECONDS)
                asyncio.ensure_future(self.fault_player.apply(act))
            await self.transport.sleep(4.0)
        lanes = [asyncio.ensure_future(self.write(lane)) for lane in range(LANES)]
        until = cut_at + (WRITE_SECONDS if TROUBLE else 15.0)
        while self.transport.now() < until and len(self.accepted) < ENOUGH:
            await self.transport.sleep(1.0)
            self.report()
            quiet_since = max(self.last_run_at, cut_at + CUT_SECONDS + 5.0)
            if self.transport.now() - quiet_since > 10.0:
                break
        self.stopped = True
        await asyncio.gather(*lanes)
        self.note("the client writes no more")
        self.report()
        while self.left and not self.quiet and self.transport.now() - self.zero < END_SECONDS:
            await self.transport.sleep(1.0)
            self.report()
            self.quiet = self.transport.now() - self.last_run_at >= QUIET_SECONDS
        self.note(f"the last write ran {self.transport.now() - self.last_run_at:.1f} s ago")


def main() -> int:
    site = read_site(ROOT / "deploy" / "branch.txtpb")
    # The stand-in shelfs work fast and put nothing off, so that enough writes are replayed in the time.
    site.machine.unit_time, site.machine.put_off, site.machine.put_off_every = 0.004, 0.0, 0.0
    script = Script(
        SEED, len(site.head), len(site.shelf), 1.0, 1.0,
        # Named so that the relay stands on the way to the shelfs; the steps above play the cut.
        acts=(Act(0.0, "link", f"head {BRANCH_HEAD}", seconds=CUT_SECONDS),),
    )
    found: dict[str, Trial] = {}
    status = 2

    async def work(transport: RealTransport) -> None:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            trial = Trial(transport, PlainProcesses(Path(folder), site), site, log_for(), script)
            trial.zero = transport.now()
            found["trial"] = trial
            await asyncio.wait_for(trial.play(), 100.0)

    try:
        start_logs(True, "critical")
        run(work, SEED)
        trial = found["trial"]
        ran = len(trial.in_effect)
        print(
            f"accepted {len(trial.accepted)}, honoured {trial.honoured}, run by shelfs {ran}, accepted and not in"
            f" effect {trial.left}"
        )
        if trial.left and trial.quiet and ran >= LEAST_RUN:
            status = 1
        elif not trial.left and (ran >= LEAST_RUN or not TROUBLE):
            status = 0
    except BaseException as error:
        print(f"could not run: {type(error).__name__}: {error}")
    if "trial" in found:
        trial = found["trial"]
        for record in trial.records:
            if record["e"] in ("arrived", "ran"):
                trial.lines.append(
                    f"{record['t'] - trial.zero:8.3f} {record['who']}: {record['e']} label={record['label']}"
                )
        (FOLDER / "record.txt").write_text("\n".join(sorted(trial.lines, key=lambda s: float(s.split()[0]))) + "\n")
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[status])
    return status


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)
