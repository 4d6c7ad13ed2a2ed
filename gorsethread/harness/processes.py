"""The processes of a day or a bench: a folder of their own, free ports, started and ended by name."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

import psutil
from google.protobuf import text_format

from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.sizing import needed, sized
from gorsethread.transport.real import free_ports


def resize_site(site: pb.Site, heads: int, shelves: int) -> pb.Site:
    """The same site on free loopback ports, with another number of heads and shelves."""
    ports = free_ports(needed(site, heads, shelves))
    return sized(site, heads, shelves, [f"127.0.0.1:{port}" for port in ports])


class Processes:
    """Children of this one, each with its log and its record in the folder."""

    def __init__(self, folder: Path, site: pb.Site) -> None:
        self.folder = folder
        self.site_path = folder / "site.txtpb"
        self.site_path.write_text(text_format.MessageToString(site))
        self.running: dict[str, asyncio.subprocess.Process] = {}

    def record(self, name: str) -> Path:
        return self.folder / f"{name.replace(' ', '-')}.jsonl"

    async def start(
        self,
        name: str,
        *arguments: str,
        begins: tuple[str, ...] = ("-m", "gorsethread"),
        settings: dict[str, str] | None = None,
    ) -> None:
        """begins: what the interpreter runs; settings: of the environment, besides this one's."""
        with (self.folder / f"{name.replace(' ', '-')}.log").open("ab") as log:
            self.running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *begins,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONHASHSEED": "0", **(settings or {})},
            )

    def owner_of(self, peer: str) -> str:
        """The child whose end of a connection on this machine that is (host:port); "": none's."""
        port = int(peer.rpartition(":")[2])
        for name, process in self.running.items():
            with contextlib.suppress(psutil.Error):
                ends = psutil.Process(process.pid).net_connections("tcp4")
                if any(end.laddr.port == port for end in ends if end.raddr):
                    return name
        return ""

    def pid(self, name: str) -> int | None:
        process = self.running.get(name)
        return process.pid if process and process.returncode is None else None

    async def end(
        self, name: str, number: signal.Signals = signal.SIGTERM, within: float = 15.0
    ) -> int | None:
        """Its exit status; a process that does not end in time is killed."""
        process = self.running.pop(name, None)
        if process is None:
            return None
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)
        try:
            return await asyncio.wait_for(process.wait(), within)
        except TimeoutError:
            process.kill()
            await process.wait()
            return None

    async def end_all(self) -> dict[str, int | None]:
        names = list(self.running)
        statuses = await asyncio.gather(*(self.end(name) for name in names))
        return dict(zip(names, statuses, strict=True))
