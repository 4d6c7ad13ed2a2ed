"""Two writes to a new extent while the first connection to their shelf does not come up in time.

The gateway of a site file is a process of its own, started as docs/operating.md says, without records. Shelfs
and the list are the project's own stand-ins and run here. A front of this case stands before each shelf: it
passes bytes on, or leaves new connections unanswered.
"""

import asyncio
import contextlib
import os
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
sys.path.insert(0, str(ROOT))

from gorsethread.fakes.client import stamped_blocks  # noqa: E402
from gorsethread.harness.processes import Processes  # noqa: E402
from gorsethread.harness.site import SiteTrial  # noqa: E402
from gorsethread.logs import log_for, start_logs  # noqa: E402
from gorsethread.nvme.command import Opcode, Status, io_command  # noqa: E402
from gorsethread.nvme_transport.host_connection import AssociationNames, connect_association  # noqa: E402
from gorsethread.simulation.script import Script  # noqa: E402
from gorsethread.site_config.reading import read_site, split_address  # noqa: E402
from gorsethread.transport.real import RealTransport, free_ports, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
HEAD, VOLUME = 0, 4  # a volume whose extents lie where they are first written; this gateway is its only one
HOST = "nqn.2026-12.org.gorsethread:host:archive"
EXTENT_BLOCKS = 64
FIRST_BLOCK = 3 * EXTENT_BLOCKS
GAP_SECONDS = 0.05  # between the two writes
LATE_SECONDS = 0.4  # for which the front leaves the first connection unanswered; links.connect_within is 0.25
CONNECTING = "02"  # SYN_SENT in /proc/net/tcp


class CannotRun(Exception):
    """The case could not run."""


class Front:
    """Listens at a shelf's address and passes bytes on to the shelf; closed, it leaves new ones unanswered."""

    def __init__(self, address: tuple[str, int], shelf: tuple[str, int]) -> None:
        self.address, self.shelf = address, shelf
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(0)
        self._listener.setblocking(False)
        # The system completes one connection more than the backlog and leaves further ones unanswered.
        self._filler = socket.create_connection(address, 2.0)
        self._tasks: set[asyncio.Task[None]] = set()

    def has_caller(self) -> bool:
        """Returns whether a connection to this address waits to be established."""
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            row = line.split()
            if int(row[2][-4:], 16) == self.address[1] and row[3] == CONNECTING:
                return True
        return False

    def open(self) -> None:
        """Establishes connections from now on."""
        self._listener.listen(64)
        self._keep(asyncio.ensure_future(self._accept()))

    def _keep(self, task: "asyncio.Task[None]") -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        filled, _ = await loop.sock_accept(self._listener)
        filled.close()
        self._filler.close()
        while True:
            caller, _ = await loop.sock_accept(self._listener)
            self._keep(asyncio.ensure_future(self._pass_on(caller)))

    async def _pass_on(self, caller: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        caller.setblocking(False)
        with socket.socket() as shelf:
            shelf.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.sock_connect(shelf, self.shelf)
                for one in (caller, shelf):
                    one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                ways = [asyncio.ensure_future(self._copy(a, b)) for a, b in ((caller, shelf), (shelf, caller))]
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
                for way in ways:
                    way.cancel()
        caller.close()

    async def _copy(self, source: socket.socket, target: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await loop.sock_recv(source, 65536):
                await loop.sock_sendall(target, data)

    def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        self._listener.close()
        self._filler.close()


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


class Trial(SiteTrial):
    """The project's stand-ins round real gateways; the client is played by the steps below."""

    client_class = NoLoad  # type: ignore[assignment]

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.breaks: list[str] = []
        self.lines: list[str] = []
        self.succeeded: dict[int, int] = {}  # shard that the answer named, by block
        self.ports = dict(zip((s.number for s in self.site.shelf), free_ports(len(self.site.shelf)), strict=True))
        self.fronts: list[Front] = []

    def make_backend(self, *given: Any) -> Any:
        backend = super().make_backend(*given)
        listen, port = backend._listen, self.ports[backend.number]
        backend._listen = lambda host, _: listen(host, port)
        return backend

    def note(self, text: str) -> None:
        self.lines.append(f"{self.transport.now() - self.zero:8.3f} {text}")

    def _check_records(self) -> Any:
        return None

    async def command(self, operation: Opcode, block: int) -> tuple[Any, bytes]:
        data = stamped_blocks(block, VOLUME, block, 1) if operation == Opcode.WRITE else b""
        kind = "write" if data else "read"
        self.note(f"{kind} sent block={block}")
        command = io_command(operation, VOLUME, block, 1, label=block)
        completion, received = await self.client.io.call(command, data, 0 if data else 4096)
        self.note(f"{kind} answered block={block} status=0x{completion.status:03x} dw0={completion.dw0}")
        return completion, received

    async def write(self, block: int) -> None:
        completion, _ = await self.command(Opcode.WRITE, block)
        if completion.succeeded:
            self.succeeded[block] = completion.dw0 - 1

    async def read_back(self, block: int) -> None:
        until = self.transport.now() + 10.0
        while True:
            completion, data = await self.command(Opcode.READ, block)
            if completion.succeeded or completion.status == Status.UNWRITTEN_BLOCK:
                break
            if self.transport.now() > until:
                self.note(f"block {block} could not be read in time: not judged")
                return
            await self.transport.sleep(0.3)
        if not completion.succeeded:
            self.breaks.append(f"block {block}: the write succeeded, the read says it was never written")
        elif data != stamped_blocks(block, VOLUME, block, 1):
            self.breaks.append(
                f"block {block}: the write succeeded at shard {self.succeeded[block]}, the read from shard"
                f" {completion.dw0 - 1} has other bytes ({'zeros' if not any(data) else 'not zeros'})"
            )

    async def open_fronts(self) -> None:
        """Opens all fronts; with the trouble, the one that is called first a little later than the others."""
        late = None
        if TROUBLE:
            until = self.transport.now() + 5.0
            while late is None:
                if self.transport.now() > until:
                    raise CannotRun("the gateway connects to no shelf")
                await self.transport.sleep(0.002)
                late = next((front for front in self.fronts if front.has_caller()), None)
        for front in self.fronts:
            if front is not late:
                front.open()
        if late is not None:
            self.note(f"the connection to port {late.address[1]} does not come up")
            await self.transport.sleep(LATE_SECONDS)
            late.open()
            self.note("connections to it come up again")

    async def _play_faults(self) -> None:
        for shelf in self.site.shelf:
            host, port = split_address(shelf.address)
            self.fronts.append(Front((host, port), (host, self.ports[shelf.number])))
        opening = asyncio.ensure_future(self.open_fronts())
        address = split_address(next(h.address for h in self.site.head if h.number == HEAD))
        names = AssociationNames(self.site.subsystem, HOST, bytes([HEAD]) * 16)
        self.client = await connect_association(self.transport, address, names, timeout=3.0)
        await self.transport.sleep(2.0)  # the gateway hears the list
        first = asyncio.ensure_future(self.write(FIRST_BLOCK))
        await self.transport.sleep(GAP_SECONDS)
        await self.write(FIRST_BLOCK + 1)
        await first
        await opening
        await self.transport.sleep(1.0)
        for block in sorted(self.succeeded):
            await self.read_back(block)
        for front in self.fronts:
            front.close()


def main() -> int:
    site = read_site(ROOT / "deploy" / "site.txtpb")
    script = Script(SEED, len(site.head), len(site.shelf), 1.0, 1.0, acts=())
    found: dict[str, Trial] = {}
    status = 2

    async def work(transport: RealTransport) -> None:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            trial = Trial(transport, PlainProcesses(Path(folder), site), site, log_for(), script)
            trial.zero = transport.now()
            found["trial"] = trial
            await asyncio.wait_for(trial.play(), 100.0)
            for line in Path(folder, "head-0.log").read_text().splitlines()[-12:]:
                trial.lines.append(f"log of the gateway: {line}")

    try:
        start_logs(True, "critical")
        run(work, SEED)
        trial = found["trial"]
        for line in trial.breaks:
            trial.note(f"BROKEN {line}")
            print(line)
        print(f"writes that succeeded {len(trial.succeeded)} of 2, not read back {len(trial.breaks)}")
        status = 1 if trial.breaks else 0 if len(trial.succeeded) == 2 else 2
    except BaseException as error:
        print(f"could not run: {type(error).__name__}: {error}")
    if "trial" in found:
        (FOLDER / "record.txt").write_text("\n".join(found["trial"].lines) + "\n")
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[status])
    return status


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)
