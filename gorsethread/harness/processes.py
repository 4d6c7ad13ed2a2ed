"""Child processes of a run: started and ended by name, with a folder of their own and free ports."""

import asyncio
import contextlib
import os
import re
import signal
import sys
from pathlib import Path

from google.protobuf import text_format

from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.sizing import addresses_needed, resized_site
from gorsethread.transport.real import free_ports

CONNECTION_TABLE = Path("/proc/net/tcp")
STATE_FIELD, INODE_FIELD = 3, 9  # of a row of the table
LISTENING = b"0A"


def resize_site(site: pb.Site, gateways: int, backends: int) -> pb.Site:
    """Returns the site on free loopback ports with the given numbers of gateways and backends."""
    ports = free_ports(addresses_needed(site, gateways, backends))
    return resized_site(site, gateways, backends, [f"127.0.0.1:{port}" for port in ports])


def _sockets_at(port: int) -> set[str]:
    """Returns the links in /proc of the connected sockets at a local port of this machine.

    Asking psutil for the connections of each child reads the system's whole table once a child, which held
    this process up for long while gateways connected often.
    """
    rows = re.findall(rb"^ *\d+: [0-9A-F]{8}:%04X .*$" % port, CONNECTION_TABLE.read_bytes(), re.MULTILINE)
    fields = [row.split() for row in rows]
    return {f"socket:[{row[INODE_FIELD].decode()}]" for row in fields if row[STATE_FIELD] != LISTENING}


def _open_sockets(pid: int) -> set[str]:
    """Returns the links of a process's descriptors; empty if it has ended."""
    links = set()
    with contextlib.suppress(OSError):
        for descriptor in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):  # closed since
                links.add(os.readlink(descriptor.path))
    return links


class Processes:
    """The child processes, each with a log file and a file of records in the folder."""

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
        """Starts a process.

        begins: arguments that tell the interpreter what to run.
        settings: environment variables in addition to those of this process.
        """
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
        """Returns the child that owns a connection's local address (host:port), or "" if none does."""
        sockets = _sockets_at(int(peer.rpartition(":")[2]))
        for name, process in self.running.items():
            if sockets & _open_sockets(process.pid):
                return name
        return ""

    def pid(self, name: str) -> int | None:
        process = self.running.get(name)
        return process.pid if process and process.returncode is None else None

    async def end(
        self, name: str, signal_number: signal.Signals = signal.SIGTERM, timeout: float = 15.0
    ) -> int | None:
        """Sends the signal and returns the exit status.

        Returns None if the process is not running, or if it did not end within timeout (seconds) and was
        killed.
        """
        process = self.running.pop(name, None)
        if process is None:
            return None
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal_number)
        try:
            return await asyncio.wait_for(process.wait(), timeout)
        except TimeoutError:
            process.kill()
            await process.wait()
            return None

    async def end_all(self) -> dict[str, int | None]:
        names = list(self.running)
        statuses = await asyncio.gather(*(self.end(name) for name in names))
        return dict(zip(names, statuses, strict=True))
